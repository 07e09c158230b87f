//! What incidents cost: a ledger of open calls, and of those that were lost, each charged to one incident.

use std::collections::{HashMap, VecDeque};

use swiftlb_record::{CallUid, Event};

use super::node::Key;
use super::{AffectedCalls, Incident, IncidentKind};

/// Losses are charged once they are so old: the beginning of an incident is told some seconds after it.
pub(super) const SETTLED_US: u64 = 30_000_000;
/// A call is charged to an incident that was over for no longer than this.
const AFTER_US: u64 = 3_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Cut,
    Lost,
    GivenUp,
    Delayed,
}

#[derive(Clone, Debug, Default)]
struct Open {
    dest: u32,
    /// Where its attempt is out.
    out_at: Option<u32>,
    /// Where earlier ones came to nothing.
    vain: Vec<u32>,
}

/// What an event meant for its call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spent {
    /// The call at this softswitch.
    pub(super) key: Key,
    /// The attempt goes straight to the call's own exchange.
    pub(super) direct: bool,
    /// The call's own exchange, where it has had its outcome.
    pub(super) dest: Option<u32>,
    /// Where an attempt was out.
    pub(super) out_at: Option<u32>,
}

/// Calls that are open, and those that were lost.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    open: HashMap<Key, Open>,
    /// The exchange of each softswitch: what is lost there may be lost because of its own node.
    homes: Vec<Option<u32>>,
    /// When, how, and the exchanges that it may have been because of, the last first.
    losses: VecDeque<(u64, Loss, Vec<u32>)>,
    /// What incidents have cost so far, by kind, exchange and beginning.
    charged: HashMap<(IncidentKind, Option<u32>, u64), AffectedCalls>,
}

impl Ledger {
    pub(super) fn new(homes: &[Option<u32>]) -> Self {
        Self { homes: homes.to_vec(), ..Self::default() }
    }

    /// The own node of a softswitch, as the last place that a loss may be because of.
    fn home(&self, who: usize) -> Option<u32> {
        self.homes.get(who).copied().flatten()
    }

    pub(super) fn see(&mut self, at: u64, who: usize, event: &Event) -> Spent {
        let Some(CallUid(call)) = event.call() else { return Spent::default() };
        let key = (who, call);
        let mut spent = Spent { key, ..Spent::default() };
        match event {
            Event::SetUp { dest, .. } => {
                self.open.insert(key, Open { dest: *dest, ..Open::default() });
            }
            Event::Attempt { exchange, .. } => {
                if let Some(open) = self.open.get_mut(&key) {
                    open.out_at = Some(*exchange);
                }
            }
            Event::AttemptEnded { exchange, .. } => {
                if let Some(open) = self.open.get_mut(&key) {
                    open.out_at = None;
                    open.vain.push(*exchange);
                }
            }
            Event::Answered { exchange, .. } => {
                if let Some(open) = self.open.remove(&key) {
                    spent.direct = open.dest == *exchange;
                    spent.dest = Some(open.dest);
                    self.lose(at, who, Loss::Delayed, &open);
                }
            }
            Event::Refused { .. } | Event::Failed { .. } => {
                if let Some(open) = self.open.remove(&key) {
                    (spent.out_at, spent.dest) = (open.out_at, Some(open.dest));
                    self.lose(at, who, Loss::Lost, &open);
                }
            }
            Event::Abandoned { .. } => {
                if let Some(open) = self.open.remove(&key) {
                    (spent.out_at, spent.dest) = (open.out_at, Some(open.dest));
                    self.lose(at, who, Loss::GivenUp, &open);
                }
            }
            Event::Released { exchange: Some(exchange), cut: true, .. } => {
                let places = [Some(*exchange), self.home(who)];
                self.losses.push_back((at, Loss::Cut, places.into_iter().flatten().collect()));
            }
            _ => {}
        }
        spent
    }

    fn lose(&mut self, at: u64, who: usize, loss: Loss, open: &Open) {
        let out_at = open.out_at.filter(|_| loss != Loss::Delayed);
        let mut places: Vec<u32> = out_at.into_iter().chain(open.vain.iter().rev().copied()).collect();
        // One that was never sent was kept from its own exchange.
        if loss == Loss::Lost {
            places.push(open.dest);
        }
        places.extend(self.home(who).filter(|_| loss != Loss::Delayed));
        places.dedup();
        if !places.is_empty() {
            self.losses.push_back((at, loss, places));
        }
    }

    /// Charges each loss up to a time to the incident that it was because of: one at the exchange where it was lost,
    /// that had begun and was not long over; of several the one that began last. What is because of none is forgotten:
    /// by then every incident that it could be because of is known.
    pub(super) fn settle(&mut self, until: u64, incidents: &[&Incident]) {
        while self.losses.front().is_some_and(|(at, ..)| *at <= until) {
            let Some((at, loss, places)) = self.losses.pop_front() else { return };
            let of = |incident: &&&Incident, place: u32| {
                incident.exchange == Some(place)
                    && incident.begin_us <= at
                    && incident.end_us.is_none_or(|end| at <= end + AFTER_US)
            };
            let found = places.iter().find_map(|place| {
                let at_place = incidents.iter().filter(|incident| of(incident, *place));
                at_place.max_by_key(|incident| incident.begin_us)
            });
            let Some(incident) = found else { continue };
            let cost = self.charged.entry((incident.kind, incident.exchange, incident.begin_us)).or_default();
            match loss {
                Loss::Cut => cost.cut += 1,
                Loss::Lost => cost.lost += 1,
                Loss::GivenUp => cost.abandoned += 1,
                Loss::Delayed => cost.delayed += 1,
            }
        }
    }

    /// Writes what each incident cost beside it.
    pub(super) fn charge(mut self, incidents: &mut [Incident]) {
        self.settle(u64::MAX, &incidents.iter().collect::<Vec<_>>());
        for incident in incidents {
            let cost = self.charged.get(&(incident.kind, incident.exchange, incident.begin_us));
            incident.affected_calls = cost.copied().unwrap_or_default();
        }
    }
}
