//! The ids of calls that are over, or never began.
//!
//! They tell late messages about such a call from messages about one that was established before this process started, and
//! keep an id from being used twice. Callers determine how many there are, so the memory for them is bounded: the ids of
//! set-ups that were turned away, which no exchange knows, cannot displace those of calls that were sent to one.

use std::time::{Duration, SystemTime};

use super::recent_ids::RecentIds;
use super::{CallUid, elapsed};

/// How long an id is kept.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of kept ids of calls that an exchange may know: over 1,000 a second.
const MAX_ATTEMPTED: usize = 32 * 1024;
/// Maximum number of kept ids of calls that were never sent to an exchange.
const MAX_UNATTEMPTED: usize = 8 * 1024;
/// Maximum number of kept ids of invalid set-ups.
const MAX_INVALID: usize = 1024;
/// Shortest time between two reports of forgotten ids.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The ids of calls that ended a short time ago.
#[derive(Debug)]
pub(super) struct EndedCalls {
    attempted: RecentIds,
    unattempted: RecentIds,
    /// Ids of invalid set-ups. A call that another process has established may have such an id.
    invalid: RecentIds,
    /// Ids that were removed before their time since the last report.
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

impl Default for EndedCalls {
    fn default() -> Self {
        Self {
            attempted: RecentIds::new(RETENTION, MAX_ATTEMPTED),
            unattempted: RecentIds::new(RETENTION, MAX_UNATTEMPTED),
            invalid: RecentIds::new(RETENTION, MAX_INVALID),
            forgotten: ForgottenIds::default(),
            reported_at: None,
        }
    }
}

impl EndedCalls {
    /// Adds the id of a call; `attempted` says whether an exchange may know it.
    pub(super) fn add(&mut self, now: SystemTime, id: CallUid, attempted: bool) {
        if attempted {
            self.attempted.add(now, id);
        } else {
            self.unattempted.add(now, id);
        }
    }

    /// Adds the id of an invalid set-up.
    pub(super) fn add_invalid(&mut self, now: SystemTime, id: CallUid) {
        self.invalid.add(now, id);
    }

    /// Whether this id is known to have been used.
    pub(super) fn was_used(&self, id: &CallUid) -> bool {
        self.is_over(id) || self.invalid.contains(id)
    }

    /// Whether a call with this id has had its final outcome or its end.
    pub(super) fn is_over(&self, id: &CallUid) -> bool {
        self.attempted.contains(id) || self.unattempted.contains(id)
    }

    /// The ids, those of calls that an exchange may know first, and among them those that ended last.
    pub(super) fn newest_first(&self) -> impl Iterator<Item = CallUid> {
        self.attempted.newest_first().chain(self.unattempted.newest_first())
    }

    /// Removes the ids whose time is over.
    pub(super) fn expire(&mut self, now: SystemTime) {
        self.attempted.expire(now);
        self.unattempted.expire(now);
        self.invalid.expire(now);
        self.forgotten.attempted += self.attempted.take_forgotten();
        self.forgotten.unattempted += self.unattempted.take_forgotten() + self.invalid.take_forgotten();
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

    /// Number of entries.
    pub(super) fn entry_count(&self) -> usize {
        self.attempted.entry_count() + self.unattempted.entry_count() + self.invalid.entry_count()
    }
}
