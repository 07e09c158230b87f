//! Hang-ups of calls that this process does not know.
//!
//! Such a call may have been established before this process started, or in the sibling process, so its hang-up is passed
//! on: to the sibling, or to all exchanges. Bad clients send hang-ups of calls that nobody knows, as fast as they can.
//! Therefore they are passed on at a limited rate, and those of one connection wait behind each other, not before those of
//! another one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, SystemTime};

use super::{CallUid, CallerConnId, elapsed};

/// Time between two hang-ups that are passed on. All calls of a busy softswitch could be hung up in a few seconds.
pub(super) const PASS_ON_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of hang-ups from one connection that wait. They are passed on within the 8 s in which a call that is over
/// must be released.
const MAX_WAITING_PER_CONN: usize = 800;
/// Maximum number of hang-ups that wait.
const MAX_WAITING: usize = 4_096;

/// Shortest time between two reports of dropped hang-ups.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A hang-up of a call that is unknown here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnknownHangUp {
    pub(super) call: CallUid,
    /// Q.850 cause.
    pub(super) cause: u8,
}

/// What became of a hang-up that was added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Added {
    /// It waits; in its place another one may have been dropped, of the connection with the most.
    Waits,
    /// It was dropped: no connection has more that wait.
    Dropped,
    /// It was dropped: too many wait from its own connection.
    TooManyOfConn,
}

/// The hang-ups that wait to be passed on.
#[derive(Debug, Default)]
pub(super) struct UnknownHangUps {
    /// Those of each connection, oldest first; no entry is empty.
    waiting: BTreeMap<CallerConnId, VecDeque<UnknownHangUp>>,
    /// The number that waits from each connection.
    by_count: BTreeSet<(usize, CallerConnId)>,
    count: usize,
    /// Number of hang-ups that were dropped since the last report.
    dropped: u64,
    reported_at: Option<SystemTime>,
    /// The connection whose hang-up was passed on last.
    last_conn: CallerConnId,
    /// When the next one may be passed on.
    next_at: Option<SystemTime>,
}

impl UnknownHangUps {
    /// Whether a hang-up may be passed on now without waiting.
    pub(super) fn may_pass(&self, now: SystemTime) -> bool {
        self.waiting.is_empty() && self.next_at.is_none_or(|at| at <= now)
    }

    /// When the next one may be passed on.
    pub(super) fn next_at(&self) -> Option<SystemTime> {
        self.next_at
    }

    /// Registers that one is passed on.
    pub(super) fn passed_on(&mut self, now: SystemTime) {
        self.next_at = Some(now + PASS_ON_INTERVAL);
    }

    /// Adds a hang-up that has to wait.
    pub(super) fn add(&mut self, caller_conn: CallerConnId, hang_up: UnknownHangUp) -> Added {
        let of_conn = self.waiting.get(&caller_conn).map_or(0, VecDeque::len);
        if of_conn >= MAX_WAITING_PER_CONN {
            self.dropped += 1;
            return Added::TooManyOfConn;
        }
        if self.count >= MAX_WAITING {
            self.dropped += 1;
            match self.by_count.last().copied() {
                Some((most, conn)) if most > of_conn + 1 => self.change(conn, VecDeque::pop_back),
                _ => return Added::Dropped,
            };
        }
        self.change(caller_conn, |waiting| {
            waiting.push_back(hang_up);
            None
        });
        Added::Waits
    }

    /// Changes the hang-ups of a connection, and what is counted of them.
    fn change(
        &mut self,
        caller_conn: CallerConnId,
        change: impl FnOnce(&mut VecDeque<UnknownHangUp>) -> Option<UnknownHangUp>,
    ) -> Option<UnknownHangUp> {
        let waiting = self.waiting.entry(caller_conn).or_default();
        let before = waiting.len();
        let taken = change(waiting);
        let after = waiting.len();
        if after == 0 {
            self.waiting.remove(&caller_conn);
        }
        self.by_count.remove(&(before, caller_conn));
        self.by_count.extend((after > 0).then_some((after, caller_conn)));
        self.count = self.count + after - before;
        taken
    }

    /// The number of hang-ups that were dropped since the last report, if one is due.
    pub(super) fn take_report(&mut self, now: SystemTime) -> Option<u64> {
        let is_due = self.reported_at.is_none_or(|at| elapsed(at, now) >= REPORT_INTERVAL);
        if !is_due || self.dropped == 0 {
            return None;
        }
        self.reported_at = Some(now);
        Some(std::mem::take(&mut self.dropped))
    }

    /// Takes the next one: of the connection that `is_preferred`, if there is one, otherwise of all connections in turn.
    pub(super) fn take_next(
        &mut self,
        is_preferred: impl Fn(CallerConnId) -> bool,
    ) -> Option<(CallerConnId, UnknownHangUp)> {
        let preferred = self.waiting.keys().copied().find(|conn| is_preferred(*conn));
        let after_last = self.waiting.range(self.last_conn.saturating_add(1)..).next().map(|(conn, _)| *conn);
        let first = self.waiting.keys().next().copied();
        let caller_conn = preferred.or(after_last).or(first)?;
        self.last_conn = caller_conn;
        let hang_up = self.change(caller_conn, VecDeque::pop_front)?;
        Some((caller_conn, hang_up))
    }

    /// Number of hang-ups that wait.
    pub(super) fn len(&self) -> usize {
        self.count
    }
}
