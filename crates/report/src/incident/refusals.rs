//! How the calls to each node fare: when circuits toward it run out, and when softswitches shed calls to it, apart from
//! what its own troubles explain.
//!
//! One window of recent outcomes for each destination, and a state machine for each of the two troubles with a level to
//! enter, a lower one to leave, and a time that either must last: load that hovers round a level is one incident.

use std::collections::{BTreeMap, VecDeque};

use swiftlb_record::{AttemptOutcome, AttemptReason, RefusalReason};

use super::{AffectedCalls, Incident, IncidentKind};

/// Outcomes of this time count; fewer than so many say nothing.
const RECENT_US: u64 = 5_000_000;
const FEWEST: usize = 8;
/// Part of the calls that must be turned away to begin an incident, and under which it ends.
const ENTER: f64 = 0.25;
const LEAVE: f64 = 0.08;
/// How long it must last so, either way.
const FOR_US: u64 = 2_000_000;
/// Trouble that comes back this soon after its end is the same incident.
const SAME_US: u64 = 15_000_000;

/// What became of a call to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fared {
    /// It stood.
    Served,
    /// No circuit was free on any way that was tried.
    NoCircuit,
    /// It was kept from the node, or the node's processor turned it away.
    Shed,
    /// Anything else: it says nothing of load.
    Other,
}

impl Fared {
    /// What a refusal says of load.
    pub(super) fn refused(why: RefusalReason) -> Self {
        match why {
            RefusalReason::NoCircuit
            | RefusalReason::AfterAttempt(_, AttemptReason::NoCircuit | AttemptReason::CrankBack) => {
                Self::NoCircuit
            }
            RefusalReason::Shed
            | RefusalReason::AfterAttempt(
                _,
                AttemptReason::ProcessorFull(_) | AttemptReason::DestinationFull,
            ) => Self::Shed,
            // Without a word on why, an attempt that found no room was one too many for the group.
            RefusalReason::AfterAttempt(AttemptOutcome::Congested, AttemptReason::Unspecified) => {
                Self::NoCircuit
            }
            RefusalReason::TooManySetUps | RefusalReason::Draining | RefusalReason::AfterAttempt(..) => {
                Self::Other
            }
        }
    }
}

/// One trouble of one destination.
#[derive(Debug, Default)]
struct Trouble {
    open: Option<Incident>,
    /// Since when the level to enter is passed, or since when that to leave is not reached.
    enters: Option<u64>,
    leaves: Option<u64>,
}

#[derive(Debug, Default)]
struct Destination {
    recent: VecDeque<(u64, Fared)>,
    blocked: Trouble,
    shed: Trouble,
}

/// How calls to all nodes fare.
#[derive(Debug, Default)]
pub(super) struct ServiceWatch {
    destinations: BTreeMap<u32, Destination>,
    over: Vec<Incident>,
}

impl ServiceWatch {
    /// A call to this node has had its outcome.
    pub(super) fn fared(&mut self, at: u64, dest: u32, how: Fared) {
        self.destinations.entry(dest).or_default().recent.push_back((at, how));
    }

    /// Looks at all destinations. `explained` says which nodes have a trouble of their own that explains refusals.
    pub(super) fn tick(&mut self, now: u64, explained: impl Fn(u32) -> bool) {
        for (dest, held) in &mut self.destinations {
            while held.recent.front().is_some_and(|(at, _)| at + RECENT_US < now) {
                held.recent.pop_front();
            }
            let all = held.recent.len();
            let part = |how: Fared| {
                let those = held.recent.iter().filter(|(_, fared)| *fared == how).count();
                if all >= FEWEST { Some(those as f64 / all as f64) } else { None }
            };
            let (no_circuit, shed) = (part(Fared::NoCircuit), part(Fared::Shed));
            let explained = explained(*dest);
            let begin = held.recent.front().map_or(now, |(at, _)| *at);
            for (trouble, kind, part) in [
                (&mut held.blocked, IncidentKind::NoFreeCircuits, no_circuit),
                (&mut held.shed, IncidentKind::CallsShed, shed),
            ] {
                // Few calls at night end a trouble as well: nobody is turned away.
                let part = part.unwrap_or(0.0);
                if let Some(ended) = trouble.step(now, begin, *dest, kind, part, explained) {
                    keep(&mut self.over, ended);
                }
            }
        }
    }

    /// All that is known so far.
    pub(super) fn incidents(&self) -> impl Iterator<Item = &Incident> {
        let open =
            self.destinations.values().flat_map(|held| held.blocked.open.iter().chain(&held.shed.open));
        self.over.iter().chain(open)
    }

    pub(super) fn finish(mut self) -> Vec<Incident> {
        for held in std::mem::take(&mut self.destinations).into_values() {
            for open in held.blocked.open.into_iter().chain(held.shed.open) {
                keep(&mut self.over, open);
            }
        }
        self.over
    }
}

/// Adds an incident, or goes on with the one before it of the same kind that had only just ended.
fn keep(over: &mut Vec<Incident>, incident: Incident) {
    let same = |known: &&mut Incident| {
        let ended = known.end_us.is_some_and(|end| incident.begin_us < end + SAME_US);
        (known.kind, known.exchange) == (incident.kind, incident.exchange) && ended
    };
    match over.iter_mut().rev().find(same) {
        Some(known) => {
            known.end_us = incident.end_us;
            known.flaps += 1;
        }
        None => over.push(incident),
    }
}

impl Trouble {
    /// One look: the part of the calls that are turned away now. Returns an incident that has ended.
    fn step(
        &mut self,
        now: u64,
        begin_us: u64,
        dest: u32,
        kind: IncidentKind,
        part: f64,
        explained: bool,
    ) -> Option<Incident> {
        if self.open.is_none() {
            if part < ENTER || explained {
                self.enters = None;
                return None;
            }
            let since = *self.enters.get_or_insert(now);
            if now >= since + FOR_US {
                let what =
                    if kind == IncidentKind::NoFreeCircuits { "found no circuit free" } else { "were shed" };
                self.open = Some(Incident {
                    kind,
                    exchange: Some(dest),
                    softswitch: None,
                    // The window that passed the level began before it did.
                    begin_us: begin_us.min(since),
                    end_us: None,
                    evidence: format!("{:.0}% of the calls to it {what}", 100.0 * part),
                    flaps: 0,
                    affected_calls: AffectedCalls::default(),
                    triggered_by: None,
                });
                (self.enters, self.leaves) = (None, None);
            }
            return None;
        }
        if part >= LEAVE {
            self.leaves = None;
            return None;
        }
        let since = *self.leaves.get_or_insert(now);
        if now < since + FOR_US {
            return None;
        }
        self.leaves = None;
        let mut ended = self.open.take()?;
        ended.end_us = Some(since);
        Some(ended)
    }
}
