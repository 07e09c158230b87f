//! The attempts of a call, from the decision to send it to an exchange until the attempt has failed or the call is
//! established and has ended there.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use super::exchange_state::ConnState;
use super::exchanges::SETUP_SILENCE_LIMIT;
use super::{
    CallId, CallUid, CallerMessage, Effect, Engine, Event, ExchangeConnId, ExchangeId, ExchangeMessage,
    Front, NO_CALLER_CONN, Outcome, Phase, Readiness, Reason, SiblingMessage, Timer, TimerKey,
    duration_to_ms, elapsed,
};
use swiftlb_record::ReleasedBy;

/// Set-ups to an exchange that is draining or was removed from the list stop at this fraction of the grace period.
const DRAIN_GRACE_FRACTION: f64 = 0.9;

impl Engine {
    /// Starts an attempt if the rules allow it; otherwise the decision module is told that it was not sent.
    pub(super) fn start_attempt(
        &mut self,
        id: CallId,
        to: ExchangeId,
        timeout: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let unavailable = self.is_unavailable(to);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let attempting_or_established = !matches!(call.phase, Phase::Waiting);
        if attempting_or_established {
            // Nothing is reported to the decision module: it would take that as the end of the first attempt.
            effects.push(Effect::Log(format!(
                "call {:?} has an open attempt or is established; another attempt is not sent",
                call.uid
            )));
            return;
        }
        call.attempt_count += 1;
        let paused = call.paused_until.is_some_and(|until| self.now < until);
        let own = self.exchanges.get(&to).is_some_and(|exchange| Some(exchange.number) == self.home);
        if paused
            || unavailable
            || own
            || call.attempt_count > self.attempt_limit
            || self.now >= call.deadline
        {
            let uid = call.uid;
            effects.push(Effect::Log(format!(
                "attempt of call {uid:?} not sent (release pause: {paused}, exchange unknown, or draining or removed \
                 for too long: {unavailable}, own exchange: {own}; if none of these, the attempt limit is reached or \
                 the deadline has passed); the decision module decides again"
            )));
            self.record_attempt_end(id, to, (Outcome::NotSent, Reason::Unspecified), Duration::ZERO);
            self.report_outcome(id, to, Outcome::NotSent, Reason::Unspecified, false);
            return;
        }
        let remaining = elapsed(self.now, call.deadline);
        let timeout = if timeout.is_zero() { remaining } else { timeout.min(remaining) };
        let attempt = call.attempt_count;
        call.phase = Phase::Attempting { exchange: to, sent_at: self.now, conn: None };
        let attempt_timer = self.set_timer(timeout, Timer::AttemptTimeout(id, attempt));
        self.replace_attempt_timer(id, Some(attempt_timer));
        let connected =
            self.exchanges.get(&to).is_some_and(|exchange| matches!(exchange.conn, ConnState::Up(_)));
        self.record_attempt(id, to, !connected);
        match self.exchanges.get(&to).map(|exchange| exchange.conn) {
            Some(ConnState::Up(_)) => self.send_setup(id, effects),
            Some(ConnState::Down) => {
                self.connect(to, effects);
                // No connection is opened to an exchange that was removed from the list: another exchange may
                // have its address by now.
                if self.exchanges.get(&to).is_none_or(|exchange| exchange.conn == ConnState::Down) {
                    self.end_attempt(id, Outcome::NoConnection, Reason::Unspecified);
                }
            }
            _ => {}
        }
    }

    /// Replaces the time-out of the last attempt of a call.
    fn replace_attempt_timer(&mut self, id: CallId, timer: Option<TimerKey>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let previous = std::mem::replace(&mut call.attempt_timer, timer);
        self.timers.cancel(previous);
    }

    /// Cancels the timers of a call that has its final outcome.
    fn cancel_call_timers(&mut self, id: CallId) {
        self.replace_attempt_timer(id, None);
        let overdue_timer = self.calls.get_mut(&id).and_then(|call| call.overdue_timer.take());
        self.timers.cancel(overdue_timer);
    }

    /// Whether no set-up may be sent to an exchange: it is unknown, or was reported as draining or removed too long ago.
    pub(super) fn is_unavailable(&self, id: ExchangeId) -> bool {
        self.exchanges.get(&id).is_none_or(|exchange| match exchange.readiness {
            Readiness::Ready => false,
            _ => {
                elapsed(exchange.readiness_changed_at, self.now)
                    >= self.exchange_drain_grace.mul_f64(DRAIN_GRACE_FRACTION)
            }
        })
    }

    /// Sends the set-up of a call on the connection to its exchange.
    pub(super) fn send_setup(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Phase::Attempting { exchange, conn, sent_at } = &mut call.phase else { return };
        let Some(ConnState::Up(exchange_conn)) = self.exchanges.get(exchange).map(|exchange| exchange.conn)
        else {
            return;
        };
        (*conn, *sent_at) = (Some(exchange_conn), now);
        self.set_timer(SETUP_SILENCE_LIMIT, Timer::CheckSilence(exchange_conn));
        let Some(call) = self.calls.get(&id) else { return };
        let message = ExchangeMessage::SetUp {
            class: call.class.clone(),
            called_number: call.called_number.clone(),
            remaining: elapsed(now, call.deadline),
            description: call.description.clone(),
        };
        let uid = call.uid;
        effects.push(Effect::ToExchange { exchange_conn, call: uid, message });
        self.forget_releases(exchange_conn, uid);
    }

    /// Cancels the open attempt of a call at the exchange, without reporting its end to the decision module.
    pub(super) fn cancel_at_exchange(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else { return };
        // A closed connection needs no cancel: its loss has ended the set-up.
        if let Phase::Attempting { conn: Some(exchange_conn), .. } = call.phase
            && self.exchange_conns.contains_key(&exchange_conn)
        {
            let uid = call.uid;
            self.send_cancel_on(exchange_conn, uid, effects);
        }
        if let Some(call) = self.calls.get_mut(&id)
            && matches!(call.phase, Phase::Attempting { .. })
        {
            call.phase = Phase::Waiting;
        }
    }

    /// Cancels the open attempt of a call at the exchange, and reports its end to the decision module.
    pub(super) fn cancel_and_report(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        if let Some(Phase::Attempting { exchange, sent_at, .. }) = self.calls.get(&id).map(|call| call.phase)
        {
            self.cancel_at_exchange(id, effects);
            self.report_attempt_end(id, exchange, sent_at, Outcome::Cancelled, Reason::Unspecified);
        }
    }

    pub(super) fn attempt_timed_out(&mut self, id: CallId, attempt: u32, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id).filter(|call| call.attempt_count == attempt) else { return };
        let Phase::Attempting { exchange, sent_at, conn } = call.phase else { return };
        self.cancel_at_exchange(id, effects);
        // Without a connection the set-up was never sent, so it cannot have taken effect.
        let outcome = if conn.is_some() { Outcome::TimedOut } else { Outcome::NoConnection };
        self.report_attempt_end(id, exchange, sent_at, outcome, Reason::Unspecified);
    }

    /// Marks a call as without an open attempt; no cancel is sent, and nothing is reported.
    pub(super) fn forget_attempt(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.phase = Phase::Waiting;
        }
    }

    /// Ends the open attempt of a call, if it has one, without establishing it; no cancel is sent.
    pub(super) fn end_attempt(&mut self, id: CallId, outcome: Outcome, reason: Reason) {
        let Some(Phase::Attempting { exchange, sent_at, .. }) = self.calls.get(&id).map(|call| call.phase)
        else {
            return;
        };
        self.report_attempt_end(id, exchange, sent_at, outcome, reason);
    }

    /// Ends an attempt that did not establish its call: starts the release pause if one is due, records the end and
    /// reports it to the decision module.
    pub(super) fn report_attempt_end(
        &mut self,
        id: CallId,
        exchange: ExchangeId,
        sent_at: SystemTime,
        outcome: Outcome,
        reason: Reason,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.phase = Phase::Waiting;
        call.busy = reason == Reason::UserBusy;
        // Circuits that such an attempt took may stay taken during the release pause.
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            call.paused_until = Some(self.now + self.release_pause);
        }
        let (attempt, duration) = (call.attempt_count - 1, elapsed(sent_at, self.now));
        let elapsed_ms = duration_to_ms(duration);
        self.record_attempt_end(id, exchange, (outcome, reason), duration);
        self.controller_events.push_back(Event::AttemptEnded {
            call: id,
            attempt,
            exchange,
            outcome,
            reason,
            elapsed_ms,
            call_closed: false,
            report: None,
        });
    }

    /// Reports an outcome to the decision module without a duration (0 ms): the attempt was not sent, its answer was lost,
    /// or the call was established and has ended.
    pub(super) fn report_outcome(
        &mut self,
        id: CallId,
        exchange: ExchangeId,
        outcome: Outcome,
        reason: Reason,
        call_closed: bool,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        let attempt = call.attempt_count.saturating_sub(1);
        let event = Event::AttemptEnded {
            call: id,
            attempt,
            exchange,
            outcome,
            reason,
            elapsed_ms: 0.0,
            call_closed,
            report: None,
        };
        self.controller_events.push_back(event);
    }

    /// The call with this id and the exchange of this connection, if the call is attempted or established there. A
    /// message of an exchange about a call that is elsewhere by now is stale.
    pub(super) fn call_on_conn(
        &self,
        exchange_conn: ExchangeConnId,
        uid: CallUid,
    ) -> Option<(CallId, ExchangeId)> {
        let (id, exchange) = (*self.call_ids.get(&uid)?, self.exchange_conns.get(&exchange_conn)?.exchange);
        let is_there = match self.calls.get(&id)?.phase {
            // A message on another connection concerns an earlier attempt, which has ended.
            Phase::Attempting { conn, .. } => conn == Some(exchange_conn),
            Phase::Established { exchange: established_at, .. } => established_at == exchange,
            Phase::Waiting => false,
        };
        is_there.then_some((id, exchange))
    }

    /// Handles the answer of an exchange, which establishes the call.
    pub(super) fn exchange_answered(
        &mut self,
        exchange_conn: ExchangeConnId,
        uid: CallUid,
        description: Option<Arc<str>>,
        effects: &mut Vec<Effect>,
    ) {
        self.mark_active(exchange_conn);
        let Some((id, exchange)) = self.call_on_conn(exchange_conn, uid) else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Phase::Attempting { sent_at, .. } = call.phase else { return };
        call.phase = Phase::Established { exchange, since: self.now };
        // A call may last long, so memory that only the set-up needed is freed.
        self.metrics.count_established(&std::mem::take(&mut call.class));
        call.called_number = None;
        call.description = None;
        let text_bytes = call.text_bytes;
        let (attempt, elapsed_ms) = (call.attempt_count - 1, duration_to_ms(elapsed(sent_at, self.now)));
        let (caller_conn, call) = (call.caller_conn, call.uid);
        self.uncount_open_setup(text_bytes);
        self.cancel_call_timers(id);
        effects.push(Effect::ToCaller {
            caller_conn,
            call,
            message: CallerMessage::Answered { description },
        });
        self.conn_served_call(caller_conn, effects);
        self.close_conn_after_outcome(caller_conn, effects);
        self.record_answer(id, exchange);
        self.controller_events.push_back(Event::Answered { call: id, attempt, exchange, elapsed_ms });
    }

    /// Handles the end of an attempt or of an established call, as reported by an exchange.
    pub(super) fn exchange_ended_call(
        &mut self,
        exchange_conn: ExchangeConnId,
        uid: CallUid,
        outcome: Outcome,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        self.mark_active(exchange_conn);
        let unknown = !self.call_ids.contains_key(&uid) && !self.ended_calls.is_over(&uid);
        if unknown && self.exchange_conns.contains_key(&exchange_conn) {
            if self.sibling.is_some() && matches!(outcome, Outcome::Completed | Outcome::Reset) {
                let cut = outcome == Outcome::Reset;
                return effects.push(Effect::ToSibling(SiblingMessage::Ended { call: uid, cut }));
            }
            let exchange = self.exchange_conns.get(&exchange_conn).map(|conn| conn.exchange);
            return self.release_unknown_call(uid, outcome, exchange, effects);
        }
        let Some((id, exchange)) = self.call_on_conn(exchange_conn, uid) else { return };
        match self.calls[&id].phase {
            Phase::Established { .. } => {
                self.end_established(id, exchange, outcome, ReleasedBy::Exchange, effects)
            }
            // A normal end before an answer: the call was established, its answer was lost, and it has ended. It
            // must not be set up again with an id that has ended for the exchange and for its caller.
            Phase::Attempting { sent_at, .. } if outcome == Outcome::Completed => {
                self.record_attempt_end(
                    id,
                    exchange,
                    (Outcome::Completed, reason),
                    elapsed(sent_at, self.now),
                );
                self.report_outcome(id, exchange, Outcome::Reset, Reason::Unspecified, true);
                self.forget_attempt(id);
                self.end_call(id, CallerMessage::Failed { busy: false }, effects);
            }
            _ => self.end_attempt(id, outcome, reason),
        }
    }

    /// Releases a call that ended at an exchange and is unknown here: it was established before this process started,
    /// and its caller, whom the platform knows, must be told.
    pub(super) fn release_unknown_call(
        &mut self,
        call: CallUid,
        outcome: Outcome,
        reported_by: Option<ExchangeId>,
        effects: &mut Vec<Effect>,
    ) {
        if !matches!(outcome, Outcome::Completed | Outcome::Reset) {
            return;
        }
        self.remember_ended(call);
        self.record_released(call, None, ReleasedBy::Exchange, outcome == Outcome::Reset);
        let message = CallerMessage::Released { cut: outcome == Outcome::Reset };
        let release = self.caller_release(Front::JsonLines, call, message).reported_by(reported_by);
        self.send_release(NO_CALLER_CONN, release, effects);
    }

    /// Ends an established call that is over at its exchange, and releases its caller.
    pub(super) fn end_established(
        &mut self,
        id: CallId,
        exchange: ExchangeId,
        outcome: Outcome,
        by: ReleasedBy,
        effects: &mut Vec<Effect>,
    ) {
        let outcome = if outcome == Outcome::Completed { Outcome::Completed } else { Outcome::Reset };
        if let Some(uid) = self.calls.get(&id).map(|call| call.uid) {
            self.record_released(uid, Some(exchange), by, outcome == Outcome::Reset);
        }
        self.report_outcome(id, exchange, outcome, Reason::Unspecified, true);
        let Some(call) = self.remove_call(id, effects) else { return };
        let message = CallerMessage::Released { cut: outcome == Outcome::Reset };
        let reported_by = (by == ReleasedBy::Exchange).then_some(exchange);
        let release = self.caller_release(call.front, call.uid, message).reported_by(reported_by);
        self.send_release(call.caller_conn, release, effects);
    }
}
