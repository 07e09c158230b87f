//! The connections of callers: which are closed, and what is done about invalid messages on them.

use std::collections::HashMap;
use std::time::{Duration, SystemTime};

use super::{
    Call, CallUid, CallerConnId, CallerMessage, Effect, Engine, Front, Phase, Timer, TimerKey, elapsed,
};
use swiftlb_record::FailureReason;

/// Time within which a caller connection must carry its first line. A well-behaved caller may take 2 s to write
/// it, and a faulty one must get a reply or be disconnected within 3 s.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a caller connection without a call is closed. Callers close idle connections after 4 s
/// themselves, so one that is open for longer would stay open indefinitely.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Age below which a connection without a message is closed for a new one only after those without a call: its first line
/// may be in transit.
const NEW_CONN_GRACE: Duration = Duration::from_millis(200);
/// Number of malformed messages at which a caller connection is closed.
const MAX_MALFORMED_MESSAGES: u32 = 4;
/// A caller connection.
#[derive(Debug)]
pub(super) struct CallerConn {
    pub(super) front: Front,
    pub(super) opened_at: SystemTime,
    /// When it opened or last carried a message from the caller.
    pub(super) last_received: SystemTime,
    /// Whether it has carried a message about a call.
    pub(super) sent_call_message: bool,
    /// Whether it has carried health checks only. The sender of those reads no messages about calls.
    pub(super) health_checks_only: bool,
    /// Whether a valid set-up arrived on it.
    pub(super) placed_setup: bool,
    /// Whether an exchange answered a call that arrived on it: only callers get that far.
    pub(super) served_call: bool,
    pub(super) malformed_count: u32,
    /// The timer for the next check whether it is idle.
    idle_timer: Option<TimerKey>,
}

impl Engine {
    /// Handles the close of a caller connection. The set-ups open on it are abandoned; an established call does not
    /// depend on its connection and continues.
    pub(super) fn caller_disconnected(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        self.remove_caller_conn(caller_conn);
        let open =
            |call: &Call| call.caller_conn == caller_conn && !matches!(call.phase, Phase::Established { .. });
        for id in self.calls_where(open) {
            self.abandon_call(id, effects);
        }
        self.drop_claimed_setups_of(caller_conn);
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
            opened_at: self.now,
            last_received: self.now,
            sent_call_message: false,
            health_checks_only: false,
            placed_setup: false,
            served_call: false,
            malformed_count: 0,
            idle_timer,
        };
        self.caller_conns.insert(caller_conn, new);
        if front == Front::Iax2 {
            self.send_caller_releases(effects);
        }
    }

    /// Closes one caller connection to make room for another. Never one with an open set-up; first those that have
    /// carried no message for a while, then those without a call, then new ones, and those with established calls last, as
    /// their callers wait for releases on them. Among equals, the one that has been silent longest is closed.
    pub(super) fn close_least_used_conn(&mut self, effects: &mut Vec<Effect>) -> bool {
        let mut calls: HashMap<CallerConnId, (bool, bool)> = HashMap::new();
        for call in self.calls.values() {
            let (any_open, any_established) = calls.entry(call.caller_conn).or_default();
            let established = matches!(call.phase, Phase::Established { .. });
            *any_open |= !established;
            *any_established |= established;
        }
        for caller_conn in self.id_claims.caller_conns() {
            calls.entry(caller_conn).or_default().0 = true;
        }
        let rank = |id: &CallerConnId, conn: &CallerConn| match calls.get(id).copied().unwrap_or_default() {
            (true, _) => None,
            (false, true) => Some(3),
            _ if conn.sent_call_message || conn.health_checks_only => Some(1),
            _ if elapsed(conn.last_received, self.now) >= NEW_CONN_GRACE => Some(0),
            _ => Some(2),
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
    pub(super) fn caller_message_received(&mut self, caller_conn: CallerConnId) {
        let now = self.now;
        let Some(conn) = self.caller_conns.get_mut(&caller_conn) else { return };
        (conn.last_received, conn.health_checks_only, conn.sent_call_message) = (now, false, true);
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
        self.ended_calls.add_invalid(self.now, uid);
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
        for call in self.drop_claimed_setups_of(caller_conn) {
            let message = CallerMessage::Failed { busy: false };
            effects.push(Effect::ToCaller { caller_conn, call, message });
        }
        self.close_caller_conn(caller_conn, effects);
    }
}
