//! The ids of calls that are over, or never began.
//!
//! They tell late messages about such a call from messages about one that was established before this process started.
//! Callers determine how many there are, so the memory for them is bounded: the ids of refused set-ups, which no exchange
//! knows, cannot displace those of calls that were sent to one.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, SystemTime};

use super::{CallUid, elapsed};

/// How long an id is kept.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of kept ids of calls that were sent to an exchange, or are established there: over 1,000 a second.
const MAX_ATTEMPTED: usize = 32 * 1024;
/// Maximum number of kept ids of calls that were never sent to an exchange.
const MAX_UNATTEMPTED: usize = 8 * 1024;
/// Shortest time between two reports of forgotten ids.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Ids in the order in which they were added, each once, with the time.
#[derive(Debug, Default)]
struct RecentIds {
    queue: VecDeque<(SystemTime, CallUid)>,
    ids: HashSet<CallUid>,
}

impl RecentIds {
    fn add(&mut self, now: SystemTime, id: CallUid) {
        if self.ids.insert(id) {
            self.queue.push_back((now, id));
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.queue.pop_front() {
            self.ids.remove(&id);
        }
    }

    fn expire(&mut self, now: SystemTime) {
        while self.queue.front().is_some_and(|(at, _)| elapsed(*at, now) > RETENTION) {
            self.remove_oldest();
        }
    }

    /// Removes the oldest ids beyond a maximum number; returns how many.
    fn limit(&mut self, max: usize) -> u64 {
        let excess = self.queue.len().saturating_sub(max);
        for _ in 0..excess {
            self.remove_oldest();
        }
        excess as u64
    }
}

/// The ids of calls that ended a short time ago.
#[derive(Debug, Default)]
pub(super) struct EndedCalls {
    attempted: RecentIds,
    unattempted: RecentIds,
    /// Ids that were removed before their time since the last report, by kind.
    forgotten: ForgottenIds,
    reported_at: Option<SystemTime>,
}

/// Numbers of ids that were removed before their time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ForgottenIds {
    /// Of calls that were sent to an exchange.
    pub(super) attempted: u64,
    /// Of calls that were never sent to one.
    pub(super) unattempted: u64,
}

impl EndedCalls {
    /// Adds the id of a call; `attempted` says whether it was sent to an exchange.
    pub(super) fn add(&mut self, now: SystemTime, id: CallUid, attempted: bool) {
        if attempted {
            self.attempted.add(now, id);
            self.forgotten.attempted += self.attempted.limit(MAX_ATTEMPTED);
        } else {
            self.unattempted.add(now, id);
            self.forgotten.unattempted += self.unattempted.limit(MAX_UNATTEMPTED);
        }
    }

    /// Whether this call is known to be over.
    pub(super) fn contains(&self, id: &CallUid) -> bool {
        self.attempted.ids.contains(id) || self.unattempted.ids.contains(id)
    }

    /// Removes the ids whose time is over.
    pub(super) fn expire(&mut self, now: SystemTime) {
        self.attempted.expire(now);
        self.unattempted.expire(now);
    }

    /// The numbers of ids that were removed before their time since the last report, if one is due.
    pub(super) fn take_report(&mut self, now: SystemTime) -> Option<ForgottenIds> {
        let is_due = self.reported_at.is_none_or(|at| elapsed(at, now) >= REPORT_INTERVAL);
        if !is_due || self.forgotten == ForgottenIds::default() {
            return None;
        }
        self.reported_at = Some(now);
        Some(std::mem::take(&mut self.forgotten))
    }

    /// Number of entries, which are counted twice: in the order of their times and as a set.
    pub(super) fn entry_count(&self) -> usize {
        2 * (self.attempted.queue.len() + self.unattempted.queue.len())
    }
}
