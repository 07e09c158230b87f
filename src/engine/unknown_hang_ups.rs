//! Hang-ups of calls that this process does not know.
//!
//! Such a call may have been established before this process started, or in the sibling process, so its hang-up is passed
//! on: to the sibling, or to all exchanges. Bad clients send hang-ups of calls that nobody knows, as fast as they can.
//! Therefore they are passed on at a limited rate, and those of one connection wait behind each other, not before those of
//! another one.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, SystemTime};

use super::{CallUid, CallerConnId};

/// Time between two hang-ups that are passed on. All calls of a busy softswitch could be hung up in a few seconds.
pub(super) const PASS_ON_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of hang-ups from one connection that wait. They are passed on within the 8 s in which a call that is over
/// must be released.
const MAX_WAITING_PER_CONN: usize = 800;
/// Maximum number of hang-ups that wait.
const MAX_WAITING: usize = 4_096;

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
    /// It waits.
    Waits,
    /// Too many wait; the last one of this connection was dropped, which has the most.
    Dropped(CallerConnId),
}

/// The hang-ups that wait to be passed on.
#[derive(Debug, Default)]
pub(super) struct UnknownHangUps {
    /// Those of each connection, oldest first; no entry is empty.
    waiting: BTreeMap<CallerConnId, VecDeque<UnknownHangUp>>,
    count: usize,
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
        let of_conn = self.waiting.entry(caller_conn).or_default();
        of_conn.push_back(hang_up);
        self.count += 1;
        if of_conn.len() > MAX_WAITING_PER_CONN {
            return self.drop_last_of(caller_conn);
        }
        if self.count > MAX_WAITING {
            let most = self.waiting.iter().max_by_key(|(_, waiting)| waiting.len());
            let conn_with_most = most.map_or(caller_conn, |(conn, _)| *conn);
            return self.drop_last_of(conn_with_most);
        }
        Added::Waits
    }

    fn drop_last_of(&mut self, caller_conn: CallerConnId) -> Added {
        if let Some(waiting) = self.waiting.get_mut(&caller_conn) {
            self.count -= usize::from(waiting.pop_back().is_some());
            if waiting.is_empty() {
                self.waiting.remove(&caller_conn);
            }
        }
        Added::Dropped(caller_conn)
    }

    /// Takes the next one: of the connection that `is_preferred`, if there is one, otherwise of all connections in turn.
    pub(super) fn take_next(
        &mut self,
        is_preferred: impl Fn(CallerConnId) -> bool,
    ) -> Option<(CallerConnId, UnknownHangUp)> {
        let after_last = self.waiting.range(self.last_conn.saturating_add(1)..).map(|(conn, _)| *conn);
        let in_turn: Vec<CallerConnId> = after_last.chain(self.waiting.keys().copied()).collect();
        let preferred = in_turn.iter().copied().find(|conn| is_preferred(*conn));
        let caller_conn = preferred.or(in_turn.first().copied())?;
        self.last_conn = caller_conn;
        let waiting = self.waiting.get_mut(&caller_conn)?;
        let hang_up = waiting.pop_front()?;
        self.count -= 1;
        if waiting.is_empty() {
            self.waiting.remove(&caller_conn);
        }
        Some((caller_conn, hang_up))
    }

    /// Number of hang-ups that wait.
    pub(super) fn len(&self) -> usize {
        self.count
    }
}
