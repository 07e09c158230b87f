//! The connections of callers, and the releases that are sent on them.
//!
//! No connection owns an established call: its release is sent on the connection of its set-up while that is open,
//! otherwise on another one that the same callers are likely to read, and waits as long as there is none.

use std::collections::HashMap;
use std::time::{Duration, SystemTime};

use super::{
    Call, CallUid, CallerConnId, CallerMessage, Effect, Engine, Front, NO_CALLER_CONN, Phase, SiblingMessage,
    Timer, TimerKey, elapsed,
};
use swiftlb_record::FailureReason;

/// How long a release is kept while there is no caller connection to send it on; after that no caller waits for
/// it.
pub(super) const RELEASE_EXPIRY: Duration = Duration::from_secs(10);
/// How long a release whose own connection is closed waits for a connection that has carried calls. The caller may
/// never read a connection on which it has sent nothing.
const PREFERRED_CONN_WAIT: Duration = Duration::from_millis(250);
/// Time within which a caller connection must carry its first line. A well-behaved caller may take 2 s to write
/// it, and a faulty one must get a reply or be disconnected within 3 s.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a caller connection without a call is closed. Callers close idle connections after 4 s
/// themselves, so one that is open for longer would stay open indefinitely.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Age below which a connection without a message is the last choice to be closed for a new one: its first line may
/// be in transit.
const NEW_CONN_GRACE: Duration = Duration::from_millis(200);
/// Number of malformed messages at which a caller connection is closed.
const MAX_MALFORMED_MESSAGES: u32 = 4;
/// How long after it was sent a release may be reported as unread.
pub(super) const UNREAD_REPORT_WINDOW: Duration = Duration::from_secs(1);

/// A caller connection.
#[derive(Debug)]
pub(super) struct CallerConn {
    pub(super) front: Front,
    /// When it opened or last carried a message from the caller.
    pub(super) last_received: SystemTime,
    /// Whether it has carried a message about a call.
    pub(super) sent_call_message: bool,
    /// Whether it has carried health checks only. The sender of those reads no messages about calls.
    pub(super) health_checks_only: bool,
    /// Whether an exchange answered a call that arrived on it.
    pub(super) served_call: bool,
    pub(super) malformed_count: u32,
    /// The timer for the next check whether it is idle.
    idle_timer: Option<TimerKey>,
}

/// A release to be sent to a caller.
#[derive(Clone)]
pub(super) struct CallerRelease {
    pub(super) queued_at: SystemTime,
    pub(super) expires_at: SystemTime,
    pub(super) front: Front,
    pub(super) call: CallUid,
    pub(super) message: CallerMessage,
}

impl Engine {
    pub(super) fn caller_release(
        &self,
        front: Front,
        call: CallUid,
        message: CallerMessage,
    ) -> CallerRelease {
        CallerRelease { queued_at: self.now, expires_at: self.now + RELEASE_EXPIRY, front, call, message }
    }

    /// Sends a release to a caller: on the connection that the set-up arrived on; otherwise on one of the same front on
    /// which calls were served or at least arrived. If there is none, any connection will do for IAX2; for JSON lines,
    /// outside an operator's drain and once the release has waited for `PREFERRED_CONN_WAIT`, one that has been silent
    /// for that long and has not been used for health checks only. Without any of these, the release of a JSON-lines
    /// call goes to the successor, if one serves; every other release is queued.
    pub(super) fn send_release(
        &mut self,
        own_conn: CallerConnId,
        release: CallerRelease,
        effects: &mut Vec<Effect>,
    ) {
        let waited = elapsed(release.queued_at, self.now) >= PREFERRED_CONN_WAIT;
        let of_front = self
            .caller_conns
            .iter()
            .filter(|(_, conn)| conn.front == release.front && !conn.health_checks_only);
        // A connection that opens during an operator's drain and carries no call does not belong to the caller of an
        // established call.
        let waited = waited && self.operator_drain_since.is_none();
        let silent =
            |conn: &CallerConn| waited && elapsed(conn.last_received, self.now) >= PREFERRED_CONN_WAIT;
        let usable =
            of_front.filter(|(_, conn)| conn.sent_call_message || conn.front == Front::Iax2 || silent(conn));
        let best =
            usable.max_by_key(|(_, conn)| (conn.served_call, conn.sent_call_message, conn.last_received));
        let caller_conn = if self.caller_conns.contains_key(&own_conn) {
            Some(own_conn)
        } else {
            best.map(|(caller_conn, _)| *caller_conn)
        };
        let Some(caller_conn) = caller_conn else {
            let now = self.now;
            // During an operator's drain there may be no caller connection for a long time, so nothing expires.
            self.caller_releases
                .retain(|pending| pending.expires_at > now || self.operator_drain_since.is_some());
            if self.successor_serves() && release.front == Front::JsonLines {
                let cut = release.message == CallerMessage::Released { cut: true };
                return effects.push(Effect::ToSibling(SiblingMessage::Release { call: release.call, cut }));
            }
            if !std::mem::replace(&mut self.release_timer_set, true) {
                self.set_timer(PREFERRED_CONN_WAIT, Timer::CallerReleases);
            }
            self.caller_releases.push_back(release);
            return;
        };
        effects.push(Effect::ToCaller { caller_conn, call: release.call, message: release.message.clone() });
        let now = self.now;
        self.sent_releases.retain(|(sent_at, ..)| elapsed(*sent_at, now) <= UNREAD_REPORT_WINDOW);
        self.sent_releases.push_back((now, caller_conn, release));
    }

    /// Tries to send the queued releases; those that have expired are dropped, except during an operator's drain.
    pub(super) fn send_caller_releases(&mut self, effects: &mut Vec<Effect>) {
        for release in std::mem::take(&mut self.caller_releases) {
            if release.expires_at > self.now || self.operator_drain_since.is_some() {
                self.send_release(NO_CALLER_CONN, release, effects);
            }
        }
    }

    /// Handles the close of a caller connection. The set-ups open on it are abandoned; an established call does not
    /// depend on its connection and continues.
    pub(super) fn caller_disconnected(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        self.remove_caller_conn(caller_conn);
        let open =
            |call: &Call| call.caller_conn == caller_conn && !matches!(call.phase, Phase::Established { .. });
        for id in self.calls_where(open) {
            self.abandon_call(id, effects);
        }
    }

    pub(super) fn caller_connected(
        &mut self,
        caller_conn: CallerConnId,
        front: Front,
        effects: &mut Vec<Effect>,
    ) {
        if front == Front::JsonLines {
            let open = self.caller_conns.values().filter(|conn| conn.front == Front::JsonLines).count();
            if open >= self.max_caller_conns && !self.close_least_used_conn(effects) {
                effects.push(Effect::Log(
                    "no caller connection can be closed to make room; closing the new one".to_owned(),
                ));
                effects.push(Effect::CloseCallerConn { caller_conn });
                return;
            }
        }
        let is_checked = front == Front::JsonLines;
        let idle_timer =
            is_checked.then(|| self.set_timer(FIRST_LINE_TIMEOUT, Timer::CheckIdle(caller_conn)));
        let new = CallerConn {
            front,
            last_received: self.now,
            sent_call_message: false,
            health_checks_only: false,
            served_call: false,
            malformed_count: 0,
            idle_timer,
        };
        self.caller_conns.insert(caller_conn, new);
        self.send_caller_releases(effects);
    }

    /// Closes one caller connection to make room for another. Never one with an open set-up; first those that have
    /// carried no message, then those without a call, then those with established calls, whose releases can be sent
    /// on any connection, and new ones last. Among equals, the one that has been silent longest is closed.
    pub(super) fn close_least_used_conn(&mut self, effects: &mut Vec<Effect>) -> bool {
        let mut calls: HashMap<CallerConnId, (bool, bool)> = HashMap::new();
        for call in self.calls.values() {
            let (any_open, any_established) = calls.entry(call.caller_conn).or_default();
            let established = matches!(call.phase, Phase::Established { .. });
            *any_open |= !established;
            *any_established |= established;
        }
        let rank = |id: &CallerConnId, conn: &CallerConn| match calls.get(id).copied().unwrap_or_default() {
            (true, _) => None,
            (false, true) => Some(2),
            _ if conn.sent_call_message || conn.health_checks_only => Some(1),
            _ if elapsed(conn.last_received, self.now) >= NEW_CONN_GRACE => Some(0),
            _ => Some(3),
        };
        let candidates = self.caller_conns.iter().filter(|(_, conn)| conn.front == Front::JsonLines);
        let ranked = candidates.filter_map(|(id, conn)| Some((rank(id, conn)?, conn.last_received, *id)));
        let Some((_, _, caller_conn)) = ranked.min() else { return false };
        self.close_caller_conn(caller_conn, effects);
        true
    }

    pub(super) fn close_caller_conn(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        if self.caller_conns.get(&caller_conn).is_some_and(|conn| conn.front == Front::JsonLines) {
            self.remove_caller_conn(caller_conn);
            effects.push(Effect::CloseCallerConn { caller_conn });
        }
    }

    /// Removes a caller connection and cancels its timer.
    fn remove_caller_conn(&mut self, caller_conn: CallerConnId) {
        if let Some(conn) = self.caller_conns.remove(&caller_conn) {
            self.timers.cancel(conn.idle_timer);
        }
    }

    /// Registers that a message about a call arrived on a caller connection.
    pub(super) fn caller_message_received(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(conn) = self.caller_conns.get_mut(&caller_conn) else { return };
        (conn.last_received, conn.health_checks_only) = (now, false);
        if !std::mem::replace(&mut conn.sent_call_message, true) && !self.caller_releases.is_empty() {
            self.send_caller_releases(effects);
        }
    }

    /// Closes a caller connection that carried no first line in time, or that has been idle without a call.
    pub(super) fn close_if_idle(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        let Some(conn) = self.caller_conns.get(&caller_conn) else { return };
        let limit =
            if conn.sent_call_message || conn.health_checks_only { IDLE_TIMEOUT } else { FIRST_LINE_TIMEOUT };
        let idle = elapsed(conn.last_received, self.now);
        let next_check = if self.calls.values().any(|call| call.caller_conn == caller_conn) {
            IDLE_TIMEOUT
        } else if idle < limit {
            limit - idle
        } else {
            return self.close_caller_conn(caller_conn, effects);
        };
        let idle_timer = self.set_timer(next_check, Timer::CheckIdle(caller_conn));
        if let Some(conn) = self.caller_conns.get_mut(&caller_conn) {
            conn.idle_timer = Some(idle_timer);
        }
    }

    /// Fails a malformed set-up. The platform never sends one, so a connection that carries several is closed before
    /// the replies to it take up the processor.
    pub(super) fn fail_malformed(
        &mut self,
        caller_conn: CallerConnId,
        uid: CallUid,
        effects: &mut Vec<Effect>,
    ) {
        if self.call_ids.contains_key(&uid) {
            return self.abort_caller_conn(caller_conn, FailureReason::DuplicateCallId, effects);
        }
        self.remember_turned_away(uid);
        effects.push(Effect::ToCaller {
            caller_conn,
            call: uid,
            message: CallerMessage::Failed { busy: false },
        });
        let Some(conn) = self.caller_conns.get_mut(&caller_conn) else { return };
        conn.malformed_count += 1;
        if conn.malformed_count >= MAX_MALFORMED_MESSAGES {
            self.abort_caller_conn(caller_conn, FailureReason::TooManyMalformed, effects);
        }
    }

    /// Fails the set-ups that are open on a caller connection and closes it. Established calls, and calls that arrived
    /// on other connections, are not affected.
    pub(super) fn abort_caller_conn(
        &mut self,
        caller_conn: CallerConnId,
        reason: FailureReason,
        effects: &mut Vec<Effect>,
    ) {
        if self.caller_conns.get(&caller_conn).is_none_or(|conn| conn.front != Front::JsonLines) {
            return;
        }
        let open =
            |call: &Call| call.caller_conn == caller_conn && !matches!(call.phase, Phase::Established { .. });
        for id in self.calls_where(open) {
            self.abandon_attempt(id, effects);
            self.end_call_with_reason(id, CallerMessage::Failed { busy: false }, Some(reason), effects);
        }
        self.close_caller_conn(caller_conn, effects);
    }
}
