//! Detects when circuits toward a node run out and when softswitches shed calls to it. Neither incident begins while
//! the node's own state explains the refused calls: an incident of the node, or that it is cold.
//!
//! Each destination has a window of recent call outcomes. For each of the two kinds of incident a state machine with
//! hysteresis watches the fraction of refused calls: it has a threshold to begin, a lower one to end, and a time for
//! which either must hold, so that load that varies around a threshold is one incident.

use std::collections::{BTreeMap, VecDeque};

use swiftlb_record::{AttemptOutcome, AttemptReason, RefusalReason};

use super::{AffectedCalls, Incident, IncidentKind};

/// Window of the recent outcomes.
const OUTCOME_WINDOW_US: u64 = 5_000_000;
/// Minimum number of outcomes in the window; with fewer, the fraction counts as 0.
const MIN_OUTCOMES: usize = 8;
/// Fraction of refused calls at which an incident begins.
const BEGIN_FRACTION: f64 = 0.25;
/// Fraction of refused calls below which it ends.
const END_FRACTION: f64 = 0.08;
/// Time for which the fraction must stay beyond a threshold for an incident to begin or to end.
const MIN_DURATION_US: u64 = 2_000_000;
/// An incident that recurs less than this after its end (flaps) is continued, not counted as a new one.
const MAX_FLAP_GAP_US: u64 = 15_000_000;

/// Outcome of a call to a node, as far as it shows load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// It was established.
    Served,
    /// It was refused because no circuit was free.
    NoCircuit,
    /// A softswitch shed it, or it was refused because a processor on its route was full.
    Shed,
    /// Any other outcome; it counts only in the total.
    Other,
}

impl CallOutcome {
    /// Outcome for a refused call.
    pub(super) fn of_refusal(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::NoCircuit
            | RefusalReason::AfterAttempt(_, AttemptReason::NoCircuit | AttemptReason::CrankBack) => {
                Self::NoCircuit
            }
            RefusalReason::Shed
            | RefusalReason::AfterAttempt(
                _,
                AttemptReason::ProcessorFull(_) | AttemptReason::DestinationFull,
            ) => Self::Shed,
            // Congestion without a reason means that the circuit group was full.
            RefusalReason::AfterAttempt(AttemptOutcome::Congested, AttemptReason::Unspecified) => {
                Self::NoCircuit
            }
            RefusalReason::TooManySetUps | RefusalReason::Draining | RefusalReason::AfterAttempt(..) => {
                Self::Other
            }
        }
    }
}

/// State of one kind of incident for one destination.
#[derive(Debug, Default)]
struct IncidentState {
    current: Option<Incident>,
    /// Since when the fraction has been at or above the threshold to begin, without another explanation.
    above_begin_since_us: Option<u64>,
    /// Since when the fraction has been below the threshold to end.
    below_end_since_us: Option<u64>,
}

#[derive(Debug, Default)]
struct DestinationState {
    recent: VecDeque<(u64, CallOutcome)>,
    no_free_circuits: IncidentState,
    calls_shed: IncidentState,
}

/// Detects incidents from the outcomes of the calls to all nodes.
#[derive(Debug, Default)]
pub(super) struct RefusalDetector {
    destinations: BTreeMap<u32, DestinationState>,
    past: Vec<Incident>,
}

impl RefusalDetector {
    /// Adds the outcome of a call to this node.
    pub(super) fn call_ended(&mut self, at_us: u64, dest: u32, outcome: CallOutcome) {
        self.destinations.entry(dest).or_default().recent.push_back((at_us, outcome));
    }

    /// Updates the incidents of all destinations. `is_explained` tells for a node whether its own state explains
    /// refused calls.
    pub(super) fn tick(&mut self, now_us: u64, is_explained: impl Fn(u32) -> bool) {
        for (dest, destination) in &mut self.destinations {
            while destination.recent.front().is_some_and(|(at_us, _)| at_us + OUTCOME_WINDOW_US < now_us) {
                destination.recent.pop_front();
            }
            let total = destination.recent.len();
            let fraction = |wanted: CallOutcome| {
                let count = destination.recent.iter().filter(|(_, outcome)| *outcome == wanted).count();
                if total >= MIN_OUTCOMES { Some(count as f64 / total as f64) } else { None }
            };
            let (no_circuit, shed) = (fraction(CallOutcome::NoCircuit), fraction(CallOutcome::Shed));
            let is_explained = is_explained(*dest);
            let begin_us = destination.recent.front().map_or(now_us, |(at_us, _)| *at_us);
            for (state, kind, fraction) in [
                (&mut destination.no_free_circuits, IncidentKind::NoFreeCircuits, no_circuit),
                (&mut destination.calls_shed, IncidentKind::CallsShed, shed),
            ] {
                // Too few calls, as at night, count as no refusals, so that they end an incident.
                let fraction = fraction.unwrap_or(0.0);
                if let Some(incident) = state.update(now_us, begin_us, *dest, kind, fraction, is_explained) {
                    add_or_extend(&mut self.past, incident);
                }
            }
        }
    }

    /// All incidents so far, the current ones included.
    pub(super) fn incidents(&self) -> impl Iterator<Item = &Incident> {
        let current = self.destinations.values().flat_map(|destination| {
            destination.no_free_circuits.current.iter().chain(&destination.calls_shed.current)
        });
        self.past.iter().chain(current)
    }

    /// All incidents at the end of the timeline; the current ones have no end.
    pub(super) fn finish(mut self) -> Vec<Incident> {
        for destination in std::mem::take(&mut self.destinations).into_values() {
            for current in
                destination.no_free_circuits.current.into_iter().chain(destination.calls_shed.current)
            {
                add_or_extend(&mut self.past, current);
            }
        }
        self.past
    }
}

/// Adds an incident, or extends the last one of the same kind and node if that ended less than `MAX_FLAP_GAP_US`
/// before.
fn add_or_extend(past: &mut Vec<Incident>, incident: Incident) {
    let continues = |earlier: &&mut Incident| {
        let ended_recently = earlier.end_us.is_some_and(|end| incident.begin_us < end + MAX_FLAP_GAP_US);
        (earlier.kind, earlier.exchange) == (incident.kind, incident.exchange) && ended_recently
    };
    match past.iter_mut().rev().find(continues) {
        Some(earlier) => {
            earlier.end_us = incident.end_us;
            earlier.flaps += 1;
        }
        None => past.push(incident),
    }
}

impl IncidentState {
    /// Updates the state with the fraction of the recent calls that were refused for the reason of this kind.
    /// `begin_us` is the time of the first outcome in the window. Returns an incident that has ended.
    fn update(
        &mut self,
        now_us: u64,
        begin_us: u64,
        dest: u32,
        kind: IncidentKind,
        fraction: f64,
        is_explained: bool,
    ) -> Option<Incident> {
        if self.current.is_none() {
            if fraction < BEGIN_FRACTION || is_explained {
                self.above_begin_since_us = None;
                return None;
            }
            let since_us = *self.above_begin_since_us.get_or_insert(now_us);
            if now_us >= since_us + MIN_DURATION_US {
                let what =
                    if kind == IncidentKind::NoFreeCircuits { "found no circuit free" } else { "were shed" };
                self.current = Some(Incident {
                    kind,
                    exchange: Some(dest),
                    softswitch: None,
                    // The refusals began before their fraction reached the threshold: the first outcome in the window
                    // is taken as the beginning, even if that call was not refused.
                    begin_us: begin_us.min(since_us),
                    end_us: None,
                    evidence: format!("{:.0}% of the calls to it {what}", 100.0 * fraction),
                    flaps: 0,
                    affected_calls: AffectedCalls::default(),
                    triggered_by: None,
                });
                (self.above_begin_since_us, self.below_end_since_us) = (None, None);
            }
            return None;
        }
        if fraction >= END_FRACTION {
            self.below_end_since_us = None;
            return None;
        }
        let since_us = *self.below_end_since_us.get_or_insert(now_us);
        if now_us < since_us + MIN_DURATION_US {
            return None;
        }
        self.below_end_since_us = None;
        let mut incident = self.current.take()?;
        incident.end_us = Some(since_us);
        Some(incident)
    }
}
