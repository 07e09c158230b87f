//! Callers that hang up: established calls that they release, set-ups that they abandon, and calls that this process does
//! not know.

use super::unknown_hang_ups::{Added, PASS_ON_INTERVAL, UnknownHangUp};
use super::{
    CallId, CallUid, CallerConnId, Effect, Engine, Event, Front, NO_CALLER_CONN, Outcome, Phase, Reason,
    SiblingMessage, Timer, duration_to_ms, elapsed,
};
use swiftlb_record::{FailureReason, ReleasedBy};

impl Engine {
    /// Handles a hang-up. `NO_CALLER_CONN` stands for the sibling process, which does not know the call.
    pub(super) fn hang_up(
        &mut self,
        caller_conn: CallerConnId,
        uid: CallUid,
        cause: u8,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = self.call_ids.get(&uid).copied() else {
            if caller_conn != NO_CALLER_CONN
                && !self.abandon_claimed_setup(caller_conn, uid)
                && !self.ended_calls.was_used(&uid)
            {
                self.hang_up_unknown(caller_conn, UnknownHangUp { call: uid, cause }, effects);
            }
            return;
        };
        // An established call may be released on any connection; a set-up may be abandoned only on its own.
        match self.calls[&id].phase {
            Phase::Established { .. } => {}
            _ if self.calls[&id].caller_conn == caller_conn => {}
            _ => return,
        }
        match self.calls[&id].phase {
            Phase::Established { exchange, .. } => {
                self.release_at_exchange(id, exchange, cause, effects);
                self.record_released(uid, Some(exchange), ReleasedBy::Caller, false);
                // A release by the caller is reported as `Cancelled`, whether the call was established or not.
                self.report_outcome(id, exchange, Outcome::Cancelled, Reason::Unspecified, true);
                self.remove_call(id, effects);
            }
            _ => self.abandon_call(id, effects),
        }
    }

    /// Removes a call that its caller has abandoned. The open attempt is cancelled, and the caller gets no message.
    pub(super) fn abandon_call(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        self.record_abandoned(id);
        self.abandon_attempt(id, effects);
        self.remove_call(id, effects);
    }

    /// Cancels the open attempt of a call that ends with it, and reports how long it was open.
    pub(super) fn abandon_attempt(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else { return };
        let Phase::Attempting { exchange, sent_at, .. } = call.phase else { return };
        let attempt = call.attempt_count.saturating_sub(1);
        self.cancel_at_exchange(id, effects);
        self.controller_events.push_back(Event::AttemptEnded {
            call: id,
            attempt,
            exchange,
            outcome: Outcome::Cancelled,
            reason: Reason::Unspecified,
            elapsed_ms: duration_to_ms(elapsed(sent_at, self.now)),
            call_closed: true,
            report: None,
        });
    }

    /// Handles the hang-up of a call that may be established in the sibling process, or was established before this process
    /// started.
    fn hang_up_unknown(
        &mut self,
        caller_conn: CallerConnId,
        hang_up: UnknownHangUp,
        effects: &mut Vec<Effect>,
    ) {
        if !self.can_concern_other_call(caller_conn) {
            return;
        }
        if self.unknown_hang_ups.may_pass(self.now) {
            return self.pass_on_hang_up(hang_up, effects);
        }
        if self.unknown_hang_ups.len() == 0 {
            let wait = self.unknown_hang_ups.next_at().map(|at| elapsed(self.now, at)).unwrap_or_default();
            self.set_timer(wait, Timer::UnknownHangUps);
        }
        if self.unknown_hang_ups.add(caller_conn, hang_up) == Added::TooManyOfConn {
            effects.push(Effect::Log(format!(
                "too many hang-ups of unknown calls wait from caller connection {caller_conn}, which is closed"
            )));
            self.abort_caller_conn(caller_conn, FailureReason::TooManyUnknownCalls, effects);
        }
        if let Some(dropped) = self.unknown_hang_ups.take_report(self.now) {
            effects.push(Effect::Log(format!(
                "{dropped} hang-ups of unknown calls are dropped: too many wait; those of the connections with the most"
            )));
        }
    }

    /// Whether a hang-up on this connection may concern a call of another process.
    fn can_concern_other_call(&self, caller_conn: CallerConnId) -> bool {
        let is_json_lines =
            self.caller_conns.get(&caller_conn).is_some_and(|conn| conn.front == Front::JsonLines);
        self.sibling.is_some() || (is_json_lines && self.expects_earlier_calls())
    }

    /// Passes on the next of the hang-ups that wait; those from connections on which calls were served go first.
    pub(super) fn pass_on_next_hang_up(&mut self, effects: &mut Vec<Effect>) {
        let served = |conn: CallerConnId| self.caller_conns.get(&conn).is_some_and(|conn| conn.served_call);
        if let Some((_, hang_up)) = self.unknown_hang_ups.take_next(served) {
            self.pass_on_hang_up(hang_up, effects);
        }
        if self.unknown_hang_ups.len() > 0 {
            self.set_timer(PASS_ON_INTERVAL, Timer::UnknownHangUps);
        }
    }

    fn pass_on_hang_up(&mut self, hang_up: UnknownHangUp, effects: &mut Vec<Effect>) {
        let UnknownHangUp { call, cause } = hang_up;
        self.unknown_hang_ups.passed_on(self.now);
        if self.sibling.is_some() {
            effects.push(Effect::ToSibling(SiblingMessage::HangUp { call, cause }));
        } else {
            self.release_earlier_call(call, cause, effects);
        }
    }
}
