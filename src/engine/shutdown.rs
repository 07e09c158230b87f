//! Shutdown and draining: which caller connections are closed, and when the process exits, after a request to stop,
//! after one while a successor serves, and during an operator's drain.

use std::collections::HashSet;
use std::time::{Duration, SystemTime};

use swiftlb_record::{DrainSource, Event as RecordEvent, FailureReason, ReleasedBy};

use super::{
    Call, CallId, CallerConnId, CallerMessage, Effect, Engine, ExchangeId, Front, Outcome, Phase, Readiness,
    Timer, callers::CallerConn, elapsed, exchange_state::CAUSE_NORMAL_CLEARING,
};

/// Shortest time from the request to stop to the end of the process: after the request, set-ups arrive for 0.4 s on new
/// connections, and for another 0.2 s on open ones.
const MIN_STOP_TIME: Duration = Duration::from_millis(700);
/// Longest time for which established calls delay the end of the process after a request to stop. Callers may still hang
/// them up, and IAX2 legs end with the process. Most calls end by then.
const MAX_STOP_TIME: Duration = Duration::from_secs(10);
/// Time after the start of an operator's drain from which caller connections are closed: the platform opens new ones
/// until a health check has failed. A connection that has carried no message is left open for this long after it
/// opened.
const DRAIN_CLOSE_DELAY: Duration = Duration::from_millis(300);
/// Interval between two checks for connections that can be closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the start of an operator's drain until which one connection is kept open for the releases of established
/// calls: releases are due within 1 s, and it may be long before callers connect again. Then that connection is closed
/// too: 4 s after the start there must be no idle connection, and none with a set-up that arrived in the last 2 s.
const DRAIN_KEEP_TIME: Duration = Duration::from_millis(3_700);
/// Time after the start of an operator's drain from which a connection without an open set-up is closed although a line has
/// begun to arrive on it.
const DRAIN_PARTIAL_LINE_TIME: Duration = Duration::from_millis(3_800);
/// Time after the start of an operator's drain from which it is closed whatever arrives on it: a set-up that is closed in its
/// last 50 ms is sent again.
const DRAIN_END_TIME: Duration = Duration::from_millis(3_900);
/// A connection with open set-ups that carried a message this long after the start of an operator's drain, or later, is
/// closed once `DRAIN_KEEP_TIME` is over, and its set-ups fail. A set-up that arrives 2 s after the start or later must
/// not be open 4 s after it; this limit is 0.1 s earlier.
const DRAIN_LATE_MESSAGE_TIME: Duration = Duration::from_millis(1_900);

/// Longest class deadline that delays the kill after a request to stop.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Time from the request to stop to the kill, in addition to the longest class deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time before the kill at which no set-up is open any more. Set-ups that arrive on time after a request to stop, within
/// 0.6 s, keep their whole waiting time.
const KILL_MARGIN: Duration = Duration::from_millis(100);

/// Time from the end of an established call within which its caller must be told.
const RELEASE_LIMIT: Duration = Duration::from_secs(8);
/// Time that the next process has to start and to tell callers of the calls that ended after the last caller connection of
/// this one was closed.
const NEXT_PROCESS_START_TIME: Duration = Duration::from_millis(1_500);
/// Interval between two looks at the caller connections after the shutdown deadline.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the shutdown deadline for which one connection is kept for releases. The rest until the kill covers what
/// still crosses its close.
const RELEASE_CONN_KEEP_TIME: Duration = Duration::from_millis(80);
/// Time after the shutdown deadline from which a connection is closed although a line has begun to arrive on it, or although
/// it was just opened. The rest until the kill covers what still crosses the close.
const BEGUN_LINE_GRACE: Duration = Duration::from_millis(40);
/// Time after the request to stop for which releases that wait for a connection to an exchange delay the exit. It covers a
/// failed attempt to connect and another one; an exchange that is silent for longer is not waited for.
const EXCHANGE_RELEASE_WAIT: Duration = Duration::from_millis(1_500);

/// The time limit of a shutdown: the platform may kill the process shortly after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ShutdownDeadline {
    requested_at: SystemTime,
    /// When every set-up must have its final outcome.
    answer_by: SystemTime,
}

impl ShutdownDeadline {
    fn new(requested_at: SystemTime, longest_wait: Duration) -> Self {
        let time_to_kill = longest_wait.min(MAX_KILL_DEADLINE) + KILL_DELAY;
        Self { requested_at, answer_by: requested_at + (time_to_kill - KILL_MARGIN) }
    }
}

impl Engine {
    /// Handles a request to stop. Only the first one sets the shutdown deadline: the platform counts from it.
    pub(super) fn request_stop(&mut self, effects: &mut Vec<Effect>) {
        if self.shutdown_deadline.is_none() {
            self.shutdown_deadline = Some(ShutdownDeadline::new(self.now, self.longest_wait()));
            self.shorten_open_deadlines();
        }
        if self.successor_serves() {
            self.stop_for_successor(effects);
        } else {
            self.stop(effects);
        }
    }

    fn longest_wait(&self) -> Duration {
        self.classes.iter().map(|class| class.max_wait).max().unwrap_or_default()
    }

    /// Adapts the shutdown deadline to a new configuration, which may bring it forward.
    pub(super) fn update_shutdown_deadline(&mut self) {
        let Some(current) = self.shutdown_deadline else { return };
        let new = ShutdownDeadline::new(current.requested_at, self.longest_wait());
        if new.answer_by < current.answer_by {
            self.shutdown_deadline = Some(new);
            self.shorten_open_deadlines();
        }
    }

    /// No open set-up may wait for longer than until the shutdown deadline.
    fn shorten_open_deadlines(&mut self) {
        let Some(ShutdownDeadline { answer_by, .. }) = self.shutdown_deadline else { return };
        for call in self.calls.values_mut() {
            call.deadline = call.deadline.min(answer_by);
        }
        self.set_timer(elapsed(self.now, answer_by), Timer::ShutdownDeadline);
    }

    /// The deadline of a set-up, brought forward if the process may be killed before.
    pub(super) fn deadline_before_exit(&self, deadline: SystemTime) -> SystemTime {
        self.shutdown_deadline.map_or(deadline, |shutdown| deadline.min(shutdown.answer_by))
    }

    /// Whether a set-up with this deadline can be accepted: the shutdown leaves it its whole waiting time, or at least the
    /// time within which calls of its class should be answered.
    pub(super) fn fits_before_exit(&self, deadline: SystemTime, target_setup: Duration) -> bool {
        self.shutdown_deadline.is_none_or(|shutdown| {
            deadline <= shutdown.answer_by || elapsed(self.now, shutdown.answer_by) >= target_setup
        })
    }

    /// During a shutdown, the time after which another process may serve a refused call.
    pub(super) fn retry_after_exit(&self) -> Option<Duration> {
        let shutdown = self.shutdown_deadline?;
        Some(elapsed(self.now, shutdown.answer_by + KILL_MARGIN).min(self.max_retry_after))
    }

    /// Whether the shutdown deadline is over.
    fn shutdown_deadline_is_over(&self) -> bool {
        self.shutdown_deadline.is_some_and(|shutdown| shutdown.answer_by <= self.now)
    }

    /// Once the shutdown deadline is over, ends the open set-ups and closes the caller connections: a set-up that arrives
    /// on one of them just before the kill would have no outcome.
    pub(super) fn enforce_shutdown_deadline(&mut self, effects: &mut Vec<Effect>) {
        let Some(shutdown) = self.shutdown_deadline.filter(|shutdown| shutdown.answer_by <= self.now) else {
            return;
        };
        let open = |call: &Call| !matches!(call.phase, Phase::Established { .. });
        self.refuse_claimed_setups(effects);
        for id in self.calls_where(open) {
            self.end_at_shutdown(id, effects);
        }
        self.set_timer(SHUTDOWN_CHECK_INTERVAL, Timer::ShutdownDeadline);
        self.stop_listening(effects);
        if self.release_time_is_over() {
            self.cut_calls_without_later_report(effects);
        }
        if elapsed(shutdown.answer_by, self.now) < BEGUN_LINE_GRACE {
            self.close_unused_conns(effects);
        } else {
            self.close_all_conns(effects);
        }
        self.close_conns_without_use(effects);
    }

    /// Stops listening for callers. A set-up on a connection that is accepted shortly before the kill could not be answered.
    fn stop_listening(&mut self, effects: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.listening_stopped, true) {
            effects.push(Effect::StopListening);
        }
    }

    /// Whether the next process has to start now to tell callers in time of the calls that have ended since the last caller
    /// connection was closed.
    fn next_process_is_due(&self) -> bool {
        let max_wait = RELEASE_CONN_KEEP_TIME + RELEASE_LIMIT - NEXT_PROCESS_START_TIME;
        self.shutdown_deadline.is_some_and(|shutdown| shutdown.answer_by + max_wait <= self.now)
    }

    /// Whether the shutdown has closed, or closes now, the last connection on which releases are sent to JSON-lines callers.
    fn release_time_is_over(&self) -> bool {
        self.shutdown_deadline.is_some_and(|shutdown| shutdown.answer_by + RELEASE_CONN_KEEP_TIME <= self.now)
    }

    /// Cuts the established calls of JSON-lines callers of whose end no later process hears: their exchange was removed
    /// from the list, so that none connects to it, or their other leg is IAX2 and ends with this process.
    fn cut_calls_without_later_report(&mut self, effects: &mut Vec<Effect>) {
        let is_removed = |id: ExchangeId| {
            self.exchanges.get(&id).is_none_or(|exchange| exchange.readiness == Readiness::Removed)
        };
        let is_unheard = |call: &Call| match call.phase {
            Phase::Established { exchange, .. } => {
                call.front == Front::JsonLines && (is_removed(exchange) || self.conn_carries_calls(exchange))
            }
            _ => false,
        };
        for id in self.calls_where(is_unheard) {
            self.cut_at_shutdown(id, effects);
        }
    }

    /// Cuts the established calls with an IAX2 caller once they have delayed the exit for `MAX_STOP_TIME`.
    pub(super) fn cut_calls_after_max_stop_time(&mut self, effects: &mut Vec<Effect>) {
        if self.stopping_since.is_none_or(|start| elapsed(start, self.now) < MAX_STOP_TIME) {
            return;
        }
        let is_iax2 =
            |call: &Call| call.front == Front::Iax2 && matches!(call.phase, Phase::Established { .. });
        for id in self.calls_where(is_iax2) {
            self.cut_at_shutdown(id, effects);
        }
    }

    /// Releases an established call towards its exchange and its caller.
    fn cut_at_shutdown(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let Some(Phase::Established { exchange, .. }) = self.calls.get(&id).map(|call| call.phase) else {
            return;
        };
        self.release_at_exchange(id, exchange, CAUSE_NORMAL_CLEARING, effects);
        self.end_established(id, exchange, Outcome::Reset, ReleasedBy::Shutdown, effects);
    }

    /// Closes the connections to exchanges that this process has no use for any more, so that the exchanges keep the
    /// releases of their calls for the next process.
    fn close_conns_without_use(&mut self, effects: &mut Vec<Effect>) {
        let without_use: Vec<ExchangeId> =
            self.exchanges.keys().copied().filter(|id| self.leaves_exchange_to_next_process(*id)).collect();
        for id in without_use {
            // What was sent is delivered before the close.
            self.forget_unconfirmed_releases(id);
            self.close_exchange_conns(id, effects);
        }
    }

    /// Whether this process must not open a connection to an exchange. An exchange repeats the release of a call on the next
    /// connection only, which has to be the one of the next process if this one may end before it has passed the release on:
    /// because it stops or drains and no caller is connected, or the last caller connection is being closed; or, at any time,
    /// because a release that the exchange has sent here still waits for its caller.
    pub(super) fn leaves_exchange_to_next_process(&self, id: ExchangeId) -> bool {
        let stops_or_drains = self.stopping_since.is_some() || self.operator_drain_since.is_some();
        let reaches_no_caller = self.release_time_is_over() || !self.has_json_lines_callers();
        let is_needed_now = self.needs_exchange(id);
        (stops_or_drains && reaches_no_caller && !is_needed_now)
            || (self.caller_releases.any_undelivered_of(id)
                && !is_needed_now
                && !self.has_attempt_at(id)
                && !self.awaits_release_confirmation(id))
    }

    /// Whether a release waits for a connection to an exchange, or an IAX2 call is there, which ends with this process.
    fn needs_exchange(&self, id: ExchangeId) -> bool {
        let has_iax2_caller = |call: &Call| {
            call.front == Front::Iax2
                && matches!(call.phase, Phase::Established { exchange, .. }
                    | Phase::Attempting { exchange, .. } if exchange == id)
        };
        self.exchanges.get(&id).is_some_and(|exchange| !exchange.pending_releases.is_empty())
            || self.calls.values().any(has_iax2_caller)
    }

    fn has_attempt_at(&self, id: ExchangeId) -> bool {
        let is_there =
            |call: &Call| matches!(call.phase, Phase::Attempting { exchange, .. } if exchange == id);
        self.calls.values().any(is_there)
    }

    /// Whether a connection is open on which a JSON-lines caller may read releases.
    pub(super) fn has_json_lines_callers(&self) -> bool {
        self.caller_conns.values().any(|conn| conn.front == Front::JsonLines && conn.placed_setup)
    }

    /// Closes the caller connections; no set-up is open. What has begun to arrive will not be complete in time.
    fn close_all_conns(&self, effects: &mut Vec<Effect>) {
        let kept = self.conn_kept_in_shutdown();
        let closed = self
            .caller_conns
            .iter()
            .filter(|(id, conn)| conn.front == Front::JsonLines && kept != Some(**id))
            .map(|(id, _)| Effect::CloseCallerConnUnlessUnread { caller_conn: *id });
        effects.extend(closed);
    }

    /// The connection that is kept after the shutdown deadline, until shortly before the kill, for the releases of
    /// established calls.
    fn conn_kept_in_shutdown(&self) -> Option<CallerConnId> {
        let shutdown = self.shutdown_deadline?;
        let is_kept = elapsed(shutdown.answer_by, self.now) < RELEASE_CONN_KEEP_TIME;
        if is_kept && !self.stopping_for_successor { self.conn_kept_for_releases() } else { None }
    }

    /// Ends an open set-up: refused if it was never sent to an exchange, otherwise failed.
    fn end_at_shutdown(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let was_attempted = self.calls.get(&id).is_some_and(|call| call.attempt_count > 0);
        self.cancel_and_report(id, effects);
        if was_attempted {
            let message = CallerMessage::Failed { busy: false };
            self.end_call_with_reason(id, message, Some(FailureReason::ShuttingDown), effects);
        } else {
            let retry_after = self.retry_after_exit().unwrap_or_default();
            self.end_call(id, CallerMessage::Refused { retry_after }, effects);
        }
    }

    /// Closes the caller connections without an open set-up, as far as the drain or the shutdown requires it.
    fn close_unused_conns(&mut self, effects: &mut Vec<Effect>) {
        let with_open_setups = self.conns_with_open_setups();
        let kept = self.conn_kept_in_shutdown();
        let unused = self
            .caller_conns
            .keys()
            .filter(|caller_conn| !with_open_setups.contains(caller_conn) && kept != Some(**caller_conn));
        for caller_conn in unused {
            self.close_draining_conn(*caller_conn, effects);
        }
    }

    /// Handles a request to stop while no successor serves.
    fn stop(&mut self, effects: &mut Vec<Effect>) {
        self.record(|_| RecordEvent::Stopping);
        self.stopping_since.get_or_insert(self.now);
        self.log_shutdown("request to stop", effects);
        self.set_timer(MIN_STOP_TIME, Timer::CheckStopped);
        self.set_timer(EXCHANGE_RELEASE_WAIT, Timer::CheckStopped);
        self.set_timer(MAX_STOP_TIME, Timer::CheckStopped);
    }

    /// Begins an operator's drain that was ordered at this time, here or at the sibling process, unless one is in progress.
    pub(super) fn begin_drain(&mut self, since: SystemTime) {
        if self.operator_drain_since.is_none() {
            self.record_drain(true, DrainSource::Operator);
            self.operator_drain_since = Some(since);
            let close_delay = elapsed(self.now, since + DRAIN_CLOSE_DELAY);
            self.set_timer(close_delay, Timer::DrainCallers(since));
        }
    }

    /// Ends the operator's drain, if one is in progress.
    pub(super) fn end_drain(&mut self) {
        if self.operator_drain_since.take().is_some() {
            self.record_drain(false, DrainSource::Operator);
        }
        self.restart_release_wait();
    }

    /// Stops while a successor serves: caller connections are closed as soon as no set-up is open on them, and the
    /// process exits once no call is left.
    pub(super) fn stop_for_successor(&mut self, effects: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.stopping_for_successor, true) {
            self.stopping_since = None;
            self.log_shutdown("stops while a successor serves", effects);
            self.set_timer(Duration::ZERO, Timer::StopForSuccessor);
        }
    }

    /// Closes the caller connections without an open set-up, and exits if nothing is left.
    pub(super) fn continue_stop_for_successor(&mut self, effects: &mut Vec<Effect>) {
        if !self.stopping_for_successor {
            return;
        }
        self.set_timer(DRAIN_CHECK_INTERVAL, Timer::StopForSuccessor);
        self.close_unused_conns(effects);
    }

    /// Closes the caller connections without an open set-up during an operator's drain. Once `DRAIN_KEEP_TIME` is
    /// over, also closes those with open set-ups that carried a message `DRAIN_LATE_MESSAGE_TIME` or more after the
    /// start of the drain, and fails their set-ups.
    pub(super) fn drain_caller_conns(&mut self, drain_start: SystemTime, effects: &mut Vec<Effect>) {
        if self.operator_drain_since != Some(drain_start) {
            return;
        }
        self.set_timer(DRAIN_CHECK_INTERVAL, Timer::DrainCallers(drain_start));
        let keep_time_over = elapsed(drain_start, self.now) >= DRAIN_KEEP_TIME;
        let must_abort = |conn: &CallerConn| {
            keep_time_over && elapsed(drain_start, conn.last_received) >= DRAIN_LATE_MESSAGE_TIME
        };
        let conns: Vec<(CallerConnId, bool)> =
            self.caller_conns.iter().map(|(id, conn)| (*id, must_abort(conn))).collect();
        let with_open_setups = self.conns_with_open_setups();
        let kept = if keep_time_over { None } else { self.conn_kept_for_releases() };
        for (caller_conn, must_abort) in conns {
            if !with_open_setups.contains(&caller_conn) && kept != Some(caller_conn) {
                self.close_unused_conn_in_drain(caller_conn, drain_start, effects);
            } else if must_abort {
                self.abort_caller_conn(caller_conn, FailureReason::Draining, effects);
            }
        }
    }

    /// Closes a caller connection without an open set-up, as soon as nothing arrives on it. The later it is in the drain, the
    /// less has to arrive in order to delay that.
    fn close_unused_conn_in_drain(
        &mut self,
        caller_conn: CallerConnId,
        drain_start: SystemTime,
        effects: &mut Vec<Effect>,
    ) {
        let opened_before = |conn: &CallerConn| elapsed(conn.opened_at, self.now) >= DRAIN_CLOSE_DELAY;
        let is_old = self.caller_conns.get(&caller_conn).is_some_and(opened_before);
        let is_json_lines =
            self.caller_conns.get(&caller_conn).is_some_and(|conn| conn.front == Front::JsonLines);
        let time = elapsed(drain_start, self.now);
        if is_old && time >= DRAIN_END_TIME {
            self.abort_caller_conn(caller_conn, FailureReason::Draining, effects);
        } else if is_old && is_json_lines && time >= DRAIN_PARTIAL_LINE_TIME {
            effects.push(Effect::CloseCallerConnUnlessUnread { caller_conn });
        } else {
            self.close_draining_conn(caller_conn, effects);
        }
    }

    /// The connection that an operator's drain closes last, because the releases of established calls are sent on it.
    fn conn_kept_for_releases(&self) -> Option<CallerConnId> {
        let established =
            |call: &Call| call.front == Front::JsonLines && matches!(call.phase, Phase::Established { .. });
        let any = self.calls.values().any(established);
        let candidates = self
            .caller_conns
            .iter()
            .filter(|(_, conn)| any && conn.front == Front::JsonLines && conn.placed_setup);
        candidates.max_by_key(|(id, conn)| (conn.served_call, std::cmp::Reverse(**id))).map(|(id, _)| *id)
    }

    /// Closes a caller connection without an open set-up, if an operator's drain requires it, the end of the shutdown
    /// deadline, or a request to stop while a successor serves.
    pub(super) fn close_draining_conn(&self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        let Some(conn) = self.caller_conns.get(&caller_conn).filter(|conn| conn.front == Front::JsonLines)
        else {
            return;
        };
        let closing = self.stopping_for_successor
            || self.shutdown_deadline_is_over()
            || self.operator_drain_since.is_some_and(|start| elapsed(start, self.now) >= DRAIN_CLOSE_DELAY);
        // On a connection that opened less than `DRAIN_CLOSE_DELAY` ago, the first message may still be to come.
        if closing
            && (conn.sent_call_message
                || conn.health_checks_only
                || elapsed(conn.last_received, self.now) >= DRAIN_CLOSE_DELAY)
        {
            effects.push(Effect::CloseCallerConnIfIdle { caller_conn });
        }
    }

    /// The caller connections with open set-ups.
    pub(super) fn conns_with_open_setups(&self) -> HashSet<CallerConnId> {
        let open = self.calls.values().filter(|call| !matches!(call.phase, Phase::Established { .. }));
        open.map(|call| call.caller_conn).chain(self.id_claims.caller_conns()).collect()
    }

    /// Closes the connection of a set-up that just got its final outcome, if no other set-up is open on it and an
    /// operator's drain requires it, the end of the shutdown deadline, or a request to stop while a successor serves.
    pub(super) fn close_conn_after_outcome(&self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        let kept = match self.operator_drain_since {
            Some(start) => {
                elapsed(start, self.now) < DRAIN_KEEP_TIME
                    && self.conn_kept_for_releases() == Some(caller_conn)
            }
            None if self.stopping_for_successor => false,
            None if self.shutdown_deadline_is_over() => self.conn_kept_in_shutdown() == Some(caller_conn),
            None => return,
        };
        if !kept && !self.conns_with_open_setups().contains(&caller_conn) {
            self.close_draining_conn(caller_conn, effects);
        }
    }

    /// Requests the exit if the process was asked to stop and nothing delays it any more.
    pub(super) fn exit_if_done(&mut self, effects: &mut Vec<Effect>) {
        if self.may_exit() {
            self.exit(effects);
        }
    }

    /// Whether the process was asked to stop and nothing delays the exit. While a successor serves: once no call, no
    /// waiting release and no JSON-lines caller connection is left. Otherwise: once `MIN_STOP_TIME` is over and no call
    /// delays it. Established calls do so for `MAX_STOP_TIME`, on JSON lines also no longer than until the next process
    /// is due. Releases that wait for a caller delay it until the shutdown deadline, those that wait for an
    /// exchange for `EXCHANGE_RELEASE_WAIT`.
    pub fn may_exit(&self) -> bool {
        if self.exchange_releases_delay_exit() || self.id_claims.waiting_count() > 0 {
            return false;
        }
        if self.stopping_for_successor {
            let mut caller_conns = self.caller_conns.values();
            return self.calls.is_empty()
                && self.caller_releases.none_waits()
                && !caller_conns.any(|conn| conn.front == Front::JsonLines);
        }
        let Some(start) = self.stopping_since else { return false };
        let max_stop_time_is_over = elapsed(start, self.now) >= MAX_STOP_TIME;
        let delays_exit = |call: &Call| match (call.phase, call.front) {
            (Phase::Established { .. }, Front::Iax2) => !max_stop_time_is_over,
            (Phase::Established { .. }, Front::JsonLines) => {
                !max_stop_time_is_over && !self.next_process_is_due()
            }
            _ => true,
        };
        elapsed(start, self.now) >= MIN_STOP_TIME
            && (self.caller_releases.none_waits() || self.shutdown_deadline_is_over())
            && !self.calls.values().any(delays_exit)
    }

    fn exchange_releases_delay_exit(&self) -> bool {
        let requested_at = self.shutdown_deadline.map(|shutdown| shutdown.requested_at);
        requested_at.is_some_and(|at| elapsed(at, self.now) < EXCHANGE_RELEASE_WAIT)
            && self.exchanges.values().any(|exchange| !exchange.pending_releases.is_empty())
    }

    fn exit(&mut self, effects: &mut Vec<Effect>) {
        if self.record_stopped() {
            self.log_shutdown("ready to exit", effects);
        }
        effects.push(Effect::Exit);
    }

    /// Logs a step of the shutdown with everything that may still delay the exit, or be lost with it.
    fn log_shutdown(&self, step: &str, effects: &mut Vec<Effect>) {
        let established = self.calls.len() + self.id_claims.waiting_count() - self.open_setups;
        let exchange_releases: usize =
            self.exchanges.values().map(|exchange| exchange.pending_releases.len()).sum();
        effects.push(Effect::Log(format!(
            "{step}: set-ups open: {}, calls established: {established}, caller connections: {}, releases waiting \
             for a caller: {}, for an exchange: {exchange_releases}",
            self.open_setups,
            self.caller_conns.len(),
            self.caller_releases.waiting_count(),
        )));
    }
}
