//! Tracks open calls and attributes each call that was cut, lost, abandoned or delayed to at most one incident.

use std::collections::{HashMap, VecDeque};

use swiftlb_record::{CallUid, Event};

use super::node::CallKey;
use super::{AffectedCalls, Incident, IncidentKind};

/// Age at which affected calls are attributed: the beginning of an incident is detected only some seconds later.
pub(super) const ATTRIBUTION_DELAY_US: u64 = 30_000_000;
/// Longest time since the end of an incident for a call to be attributed to it.
const MAX_TIME_AFTER_END_US: u64 = 3_000_000;

/// How a call was affected, as in [`AffectedCalls`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Impact {
    Cut,
    Lost,
    Abandoned,
    Delayed,
}

#[derive(Clone, Debug, Default)]
struct OpenCall {
    dest: u32,
    /// Exchange of the open attempt, if one is open.
    attempt_at: Option<u32>,
    /// Exchanges where earlier attempts ended without an answer.
    failed_at: Vec<u32>,
}

/// What [`CallTracker::observe`] knows about the call that an event concerns; the default for an event without a call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallUpdate {
    pub(super) call_key: CallKey,
    /// Whether the destination itself answered the call, not a tandem.
    pub(super) direct: bool,
    /// Destination of the call, if the event ends its set-up.
    pub(super) dest: Option<u32>,
    /// Exchange where an attempt was open when the call was refused, failed or abandoned.
    pub(super) attempt_at: Option<u32>,
}

/// Open calls, and affected calls with the exchanges concerned.
#[derive(Debug, Default)]
pub(super) struct CallTracker {
    open: HashMap<CallKey, OpenCall>,
    /// Home exchange of each softswitch: an incident of its own node may affect the calls that it handles.
    home_exchanges: Vec<Option<u32>>,
    /// Affected calls that are not attributed yet: when, how, and the exchanges whose incidents may be the reason, the
    /// most recently tried one first.
    unattributed: VecDeque<(u64, Impact, Vec<u32>)>,
    /// Calls attributed so far, by kind, exchange and beginning of the incident.
    attributed: HashMap<(IncidentKind, Option<u32>, u64), AffectedCalls>,
}

impl CallTracker {
    pub(super) fn new(home_exchanges: &[Option<u32>]) -> Self {
        Self { home_exchanges: home_exchanges.to_vec(), ..Self::default() }
    }

    /// Home exchange of a softswitch, which comes last among the exchanges of an affected call.
    fn home_exchange(&self, softswitch: usize) -> Option<u32> {
        self.home_exchanges.get(softswitch).copied().flatten()
    }

    /// Updates the open calls with an event and collects the calls that it shows to be affected.
    pub(super) fn observe(&mut self, at_us: u64, softswitch: usize, event: &Event) -> CallUpdate {
        let Some(CallUid(call)) = event.call() else { return CallUpdate::default() };
        let call_key = (softswitch, call);
        let mut update = CallUpdate { call_key, ..CallUpdate::default() };
        match event {
            Event::SetUp { dest, .. } => {
                self.open.insert(call_key, OpenCall { dest: *dest, ..OpenCall::default() });
            }
            Event::Attempt { exchange, .. } => {
                if let Some(open) = self.open.get_mut(&call_key) {
                    open.attempt_at = Some(*exchange);
                }
            }
            Event::AttemptEnded { exchange, .. } => {
                if let Some(open) = self.open.get_mut(&call_key) {
                    open.attempt_at = None;
                    open.failed_at.push(*exchange);
                }
            }
            Event::Answered { exchange, .. } => {
                if let Some(open) = self.open.remove(&call_key) {
                    update.direct = open.dest == *exchange;
                    update.dest = Some(open.dest);
                    self.add_affected(at_us, softswitch, Impact::Delayed, &open);
                }
            }
            Event::Refused { .. } | Event::Failed { .. } => {
                if let Some(open) = self.open.remove(&call_key) {
                    (update.attempt_at, update.dest) = (open.attempt_at, Some(open.dest));
                    self.add_affected(at_us, softswitch, Impact::Lost, &open);
                }
            }
            Event::Abandoned { .. } => {
                if let Some(open) = self.open.remove(&call_key) {
                    (update.attempt_at, update.dest) = (open.attempt_at, Some(open.dest));
                    self.add_affected(at_us, softswitch, Impact::Abandoned, &open);
                }
            }
            Event::Released { exchange: Some(exchange), cut: true, .. } => {
                let exchanges = [Some(*exchange), self.home_exchange(softswitch)];
                self.unattributed.push_back((at_us, Impact::Cut, exchanges.into_iter().flatten().collect()));
            }
            _ => {}
        }
        update
    }

    /// Adds an affected call, to be attributed later. Its exchanges are, in this order: that of the open attempt, those
    /// of earlier attempts, the destination of a lost call, and the home exchange of its softswitch. An established
    /// call only has those of earlier attempts; without any it was not delayed and is not added.
    fn add_affected(&mut self, at_us: u64, softswitch: usize, impact: Impact, open: &OpenCall) {
        let attempt_at = open.attempt_at.filter(|_| impact != Impact::Delayed);
        let mut exchanges: Vec<u32> =
            attempt_at.into_iter().chain(open.failed_at.iter().rev().copied()).collect();
        // A lost call may never have been sent there: an incident of its destination may have kept it from being sent.
        if impact == Impact::Lost {
            exchanges.push(open.dest);
        }
        exchanges.extend(self.home_exchange(softswitch).filter(|_| impact != Impact::Delayed));
        exchanges.dedup();
        if !exchanges.is_empty() {
            self.unattributed.push_back((at_us, impact, exchanges));
        }
    }

    /// Attributes the calls that were affected up to this time. The exchanges of a call are searched in order for an
    /// incident that had begun by then and had not ended more than `MAX_TIME_AFTER_END_US` before; of several at one
    /// exchange, the one that began last is taken. A call without such an incident is dropped: at that age all
    /// incidents that could apply are known.
    pub(super) fn attribute_until(&mut self, until_us: u64, incidents: &[&Incident]) {
        while self.unattributed.front().is_some_and(|(at_us, ..)| *at_us <= until_us) {
            let Some((at_us, impact, exchanges)) = self.unattributed.pop_front() else { return };
            let applies = |incident: &&&Incident, exchange: u32| {
                incident.exchange == Some(exchange)
                    && incident.begin_us <= at_us
                    && incident.end_us.is_none_or(|end| at_us <= end + MAX_TIME_AFTER_END_US)
            };
            let found = exchanges.iter().find_map(|exchange| {
                let candidates = incidents.iter().filter(|incident| applies(incident, *exchange));
                candidates.max_by_key(|incident| incident.begin_us)
            });
            let Some(incident) = found else { continue };
            let counts =
                self.attributed.entry((incident.kind, incident.exchange, incident.begin_us)).or_default();
            match impact {
                Impact::Cut => counts.cut += 1,
                Impact::Lost => counts.lost += 1,
                Impact::Abandoned => counts.abandoned += 1,
                Impact::Delayed => counts.delayed += 1,
            }
        }
    }

    /// Attributes the remaining calls and writes the counts into the incidents.
    pub(super) fn write_affected_calls(mut self, incidents: &mut [Incident]) {
        self.attribute_until(u64::MAX, &incidents.iter().collect::<Vec<_>>());
        for incident in incidents {
            let counts = self.attributed.get(&(incident.kind, incident.exchange, incident.begin_us));
            incident.affected_calls = counts.copied().unwrap_or_default();
        }
    }
}
