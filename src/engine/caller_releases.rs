//! Releases towards callers.
//!
//! No connection owns an established call: its release is sent on the connection of its set-up while that is open,
//! otherwise on another one, and waits as long as there is none. Whoever connects need not be a caller: a connection counts
//! as a caller's once an exchange has answered a call on it. One that has only placed set-ups, or nothing, may belong to a
//! stranger. A release that was sent on such a one is sent again on the first connection that does count.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use super::callers::CallerConn;
use super::{
    CallUid, CallerConnId, CallerMessage, Effect, Engine, ExchangeId, Front, NO_CALLER_CONN, SiblingMessage,
    Timer, elapsed,
};

/// How long a release waits for a connection of its caller.
const MAX_WAIT: Duration = Duration::from_secs(300);
/// Maximum number of releases that wait, and of those that may have to be sent again.
const MAX_WAITING: usize = 4_096;
/// How long a release waits for a connection on which set-ups were placed before a silent one is used.
const PLACED_CONN_WAIT: Duration = Duration::from_millis(250);
/// How long after it was sent a release may be reported as unread.
const UNREAD_REPORT_WINDOW: Duration = Duration::from_secs(1);

/// A release to be sent to a caller.
#[derive(Clone, Debug)]
pub(super) struct CallerRelease {
    queued_at: SystemTime,
    front: Front,
    call: CallUid,
    message: CallerMessage,
    /// The exchange that reported the end of the call to this process, if one did.
    reported_by: Option<ExchangeId>,
}

/// A release that was sent to a caller.
#[derive(Clone, Debug)]
struct SentRelease {
    sent_at: SystemTime,
    caller_conn: CallerConnId,
    release: CallerRelease,
}

/// The releases that wait for a caller connection, and those that may have to be sent again.
#[derive(Debug, Default)]
pub(super) struct CallerReleases {
    waiting: VecDeque<CallerRelease>,
    /// Sent a short time ago; their caller may not have read them.
    sent: VecDeque<SentRelease>,
    /// Sent on a connection that does not count as a caller's.
    unproven: VecDeque<SentRelease>,
    /// Whether a timer for those that wait is set.
    is_timer_set: bool,
    /// Number of releases that were dropped since the last report.
    dropped: u64,
}

impl CallerReleases {
    /// Whether no release waits for a connection.
    pub(super) fn none_waits(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of releases that wait for a connection.
    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a release that this exchange reported has not reached its caller for certain.
    pub(super) fn any_undelivered_of(&self, exchange: ExchangeId) -> bool {
        let unproven = self.unproven.iter().map(|sent| &sent.release);
        self.waiting.iter().chain(unproven).any(|release| release.reported_by == Some(exchange))
    }

    /// Number of entries.
    pub(super) fn entry_count(&self) -> usize {
        self.waiting.len() + self.sent.len() + self.unproven.len()
    }

    fn add_waiting(&mut self, release: CallerRelease) {
        self.waiting.push_back(release);
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_front();
            self.dropped += 1;
        }
    }

    fn add_sent(&mut self, sent: SentRelease, is_caller: bool) {
        if !is_caller {
            self.unproven.push_back(sent.clone());
            if self.unproven.len() > MAX_WAITING {
                self.unproven.pop_front();
            }
        }
        self.sent.push_back(sent);
    }

    /// Drops what is too old; returns the number of releases that were dropped since the last call.
    fn expire(&mut self, now: SystemTime) -> u64 {
        let count = self.waiting.len();
        self.waiting.retain(|release| elapsed(release.queued_at, now) < MAX_WAIT);
        self.dropped += (count - self.waiting.len()) as u64;
        self.sent.retain(|sent| elapsed(sent.sent_at, now) <= UNREAD_REPORT_WINDOW);
        self.unproven.retain(|sent| elapsed(sent.sent_at, now) < MAX_WAIT);
        std::mem::take(&mut self.dropped)
    }
}

impl CallerRelease {
    /// The same release, of a call whose end an exchange reported.
    pub(super) fn reported_by(self, exchange: Option<ExchangeId>) -> Self {
        Self { reported_by: exchange, ..self }
    }
}

impl Engine {
    pub(super) fn caller_release(
        &self,
        front: Front,
        call: CallUid,
        message: CallerMessage,
    ) -> CallerRelease {
        CallerRelease { queued_at: self.now, front, call, message, reported_by: None }
    }

    /// Sends a release to a caller, on the connection of its set-up or another one of the caller's. Without any, the release
    /// of a JSON-lines call goes to the sibling process, if that can pass it on; every other release waits.
    pub(super) fn send_release(
        &mut self,
        own_conn: CallerConnId,
        release: CallerRelease,
        effects: &mut Vec<Effect>,
    ) {
        let own_conn = Some(own_conn).filter(|conn| self.caller_conns.contains_key(conn));
        match own_conn.or_else(|| self.conn_for_release(&release)) {
            Some(caller_conn) => {
                let is_caller = own_conn.is_some() || self.is_served_conn(caller_conn);
                self.send_on_caller_conn(caller_conn, is_caller, release, effects);
            }
            None => self.queue_release(release, effects),
        }
    }

    fn is_served_conn(&self, caller_conn: CallerConnId) -> bool {
        self.caller_conns.get(&caller_conn).is_some_and(|conn| conn.served_call || conn.front == Front::Iax2)
    }

    /// The connection to send a release on: one of the same front on which calls were served, otherwise one on which set-ups
    /// were placed; otherwise, outside an operator's drain and once the release has waited for `PLACED_CONN_WAIT`, one that
    /// has been silent for that long and has not been used for health checks only. Any will do for IAX2.
    fn conn_for_release(&self, release: &CallerRelease) -> Option<CallerConnId> {
        let waited = elapsed(release.queued_at, self.now) >= PLACED_CONN_WAIT;
        // A connection that opens during an operator's drain and carries no call does not belong to the caller of an
        // established call.
        let may_use_silent = waited && self.operator_drain_since.is_none();
        let is_silent = |conn: &CallerConn| {
            !conn.health_checks_only && elapsed(conn.last_received, self.now) >= PLACED_CONN_WAIT
        };
        let usable = self.caller_conns.iter().filter(|(_, conn)| {
            conn.front == release.front
                && (conn.front == Front::Iax2 || conn.placed_setup || (may_use_silent && is_silent(conn)))
        });
        let best = usable.max_by_key(|(_, conn)| (conn.served_call, conn.placed_setup, conn.last_received));
        best.map(|(caller_conn, _)| *caller_conn)
    }

    fn send_on_caller_conn(
        &mut self,
        caller_conn: CallerConnId,
        is_caller: bool,
        release: CallerRelease,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::ToCaller { caller_conn, call: release.call, message: release.message.clone() });
        self.caller_releases.add_sent(SentRelease { sent_at: self.now, caller_conn, release }, is_caller);
    }

    fn queue_release(&mut self, release: CallerRelease, effects: &mut Vec<Effect>) {
        if self.sibling_takes_releases() && release.front == Front::JsonLines {
            let cut = release.message == CallerMessage::Released { cut: true };
            return effects.push(Effect::ToSibling(SiblingMessage::Release { call: release.call, cut }));
        }
        if !std::mem::replace(&mut self.caller_releases.is_timer_set, true) {
            self.set_timer(PLACED_CONN_WAIT, Timer::CallerReleases);
        }
        self.caller_releases.add_waiting(release);
    }

    /// Tries to send the releases that wait.
    pub(super) fn send_caller_releases(&mut self, effects: &mut Vec<Effect>) {
        for release in std::mem::take(&mut self.caller_releases.waiting) {
            self.send_release(NO_CALLER_CONN, release, effects);
        }
    }

    /// Tries again to send the releases that wait, `PLACED_CONN_WAIT` after the last time.
    pub(super) fn retry_caller_releases(&mut self, effects: &mut Vec<Effect>) {
        self.caller_releases.is_timer_set = false;
        self.send_caller_releases(effects);
    }

    /// Registers that a valid set-up arrived on a connection. What waits is sent on it.
    pub(super) fn conn_placed_setup(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        let Some(conn) = self.caller_conns.get_mut(&caller_conn) else { return };
        if !std::mem::replace(&mut conn.placed_setup, true) && !self.caller_releases.none_waits() {
            self.send_caller_releases(effects);
        }
    }

    /// Registers that a call was served on a connection, which counts as a caller's from now on: the releases that went to
    /// connections that do not count are sent on it.
    pub(super) fn conn_served_call(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        let Some(conn) = self.caller_conns.get_mut(&caller_conn) else { return };
        let front = conn.front;
        if std::mem::replace(&mut conn.served_call, true) {
            return;
        }
        let (of_front, others): (VecDeque<SentRelease>, VecDeque<SentRelease>) =
            std::mem::take(&mut self.caller_releases.unproven)
                .into_iter()
                .partition(|sent| sent.release.front == front);
        self.caller_releases.unproven = others;
        for sent in of_front {
            if sent.caller_conn != caller_conn {
                self.send_on_caller_conn(caller_conn, true, sent.release, effects);
            }
        }
    }

    /// Sends the releases again that were sent on a connection a short time ago: its caller closed it before it had read them.
    pub(super) fn resend_unread_releases(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        let (unread, others): (VecDeque<SentRelease>, VecDeque<SentRelease>) =
            std::mem::take(&mut self.caller_releases.sent)
                .into_iter()
                .partition(|sent| sent.caller_conn == caller_conn);
        self.caller_releases.sent = others;
        self.caller_releases.unproven.retain(|sent| sent.caller_conn != caller_conn);
        let now = self.now;
        for sent in unread.into_iter().filter(|sent| elapsed(sent.sent_at, now) <= UNREAD_REPORT_WINDOW) {
            self.caller_releases.add_waiting(sent.release);
        }
        self.send_caller_releases(effects);
    }

    /// Restarts the wait of all releases, after a drain: callers connect again soon, and what is connected now may not be
    /// theirs.
    pub(super) fn restart_release_wait(&mut self) {
        let now = self.now;
        for release in &mut self.caller_releases.waiting {
            release.queued_at = now;
        }
    }

    /// Drops the releases that nobody has fetched, and those that are known to be read.
    pub(super) fn expire_caller_releases(&mut self, effects: &mut Vec<Effect>) {
        let dropped = self.caller_releases.expire(self.now);
        if dropped > 0 {
            effects.push(Effect::Log(format!(
                "{dropped} releases towards callers are dropped: no caller came for them in time, or too many wait"
            )));
        }
    }
}
