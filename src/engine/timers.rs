//! The timers of the reducer, in the order in which they expire.
//!
//! Whatever ends before its timer expires cancels it. Otherwise the number of timers would grow with the rate of set-ups
//! and connections, which callers determine.

use std::collections::BTreeMap;
use std::time::SystemTime;

use super::{CallId, CallUid, CallerConnId, ExchangeConnId, ExchangeId};

/// What happens when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the decision module, with its tag.
    Controller(u64),
    /// An attempt of a call times out; attempts count from 1 here.
    AttemptTimeout(CallId, u32),
    /// The decision module is late with the final outcome of a call.
    DecisionOverdue(CallId),
    /// Open another connection to an unreachable exchange.
    Reconnect(ExchangeId),
    /// Close the connections to an exchange that was removed from the list, and later drop its state.
    RemoveExchange(ExchangeId),
    /// Periodic check of the connection to an exchange.
    CheckExchange(ExchangeId),
    /// Check whether anything was received on a connection since a set-up was sent on it.
    CheckSilence(ExchangeConnId),
    /// Check whether a caller connection is idle.
    CheckIdle(CallerConnId),
    /// Try again to send the releases that wait for a caller connection.
    CallerReleases,
    /// The sibling process is late with its reply to the claim of an id.
    ClaimOverdue(CallUid),
    /// Pass on the next hang-up of an unknown call.
    UnknownHangUps,
    /// Check whether the process can exit after a request to stop.
    CheckStopped,
    /// End all open set-ups, and close caller connections from now on, before the process may be killed.
    ShutdownDeadline,
    /// Close caller connections that are no longer in use, for the operator's drain that started at this time.
    DrainCallers(SystemTime),
    /// Check whether the process can begin to serve.
    CheckReady,
    /// Close idle caller connections and exit once nothing is left, after a request to stop while a successor serves.
    StopForSuccessor,
    /// Record the expected delays of the exchanges, and changes of other values that are sampled.
    Sample,
}

/// Identifies a timer that is set: when it expires, and its number among all timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey(SystemTime, u64);

/// The timers that are set. Those of the same time expire in the order in which they were set.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    timers: BTreeMap<TimerKey, Timer>,
    /// Number of timers ever set.
    count: u64,
}

impl TimerQueue {
    /// Sets a timer for a point in time.
    pub(super) fn set(&mut self, at: SystemTime, timer: Timer) -> TimerKey {
        self.count += 1;
        let key = TimerKey(at, self.count);
        self.timers.insert(key, timer);
        key
    }

    /// Cancels a timer, unless it has expired.
    pub(super) fn cancel(&mut self, key: Option<TimerKey>) {
        if let Some(key) = key {
            self.timers.remove(&key);
        }
    }

    /// When the next timer expires.
    pub(super) fn next_expiry(&self) -> Option<SystemTime> {
        self.timers.first_key_value().map(|(TimerKey(at, _), _)| *at)
    }

    /// Removes the next timer that has expired by now.
    pub(super) fn pop_expired(&mut self, now: SystemTime) -> Option<Timer> {
        let next = self.timers.first_entry()?;
        (next.key().0 <= now).then(|| next.remove())
    }

    /// Number of timers that are set.
    pub(super) fn len(&self) -> usize {
        self.timers.len()
    }
}
