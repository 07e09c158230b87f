//! The reducer: the state of every call, attempt, timer and exchange of a softswitch, without I/O and without a
//! clock of its own.
//!
//! [`Engine::handle`] is the only entry point. It takes the current time and one [`Input`], lets the decision
//! module decide, and appends the resulting [`Effect`]s. Some rules are enforced here, whatever the decision
//! module, the callers and the exchanges do:
//!
//! - every call gets exactly one final outcome, at most `DECISION_GRACE` after its deadline;
//! - a call has at most one open attempt;
//! - after a time-out, reset or cancel a call is not sent again before the release pause is over;
//! - no attempt is started at an exchange that has been draining, or removed from the list, for
//!   `DRAIN_GRACE_FRACTION` of the grace period.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Controller;
use crate::config::Config;
use crate::decide::SettingsError;
use crate::decide::learned::LearnedValues;
use crate::interface::{
    Action, CallId, Event, ExchangeId, ListUpdateKind, ListedExchange, NewCall, Number, Outcome, Readiness,
    Reason, ReportField,
};
use crate::ops::{Gauges, Metrics, OperatorReply, OperatorRequest};

mod attempts;
mod caller_releases;
mod callers;
mod ended_calls;
mod exchange_state;
mod exchanges;
mod hang_ups;
mod id_claims;
mod messages;
mod recent_ids;
mod recording;
mod releases;
mod restarts;
mod setups;
mod shutdown;
mod sibling;
mod status;
mod timers;
mod unknown_hang_ups;

use caller_releases::CallerReleases;
use callers::CallerConn;
use ended_calls::EndedCalls;
use exchange_state::{ConnState, Exchange, ExchangeConn};
use id_claims::IdClaims;
pub use messages::{
    CallUid, CallerConnId, CallerMessage, Effect, ExchangeConnId, ExchangeMessage, Front, HandoverState,
    Input, ListEntry, SIBLING_PROTOCOL_VERSION, SetUp, SiblingMessage,
};
use recording::{AttemptResult, RecordBuffer};
use shutdown::ShutdownDeadline;
use sibling::Role;
use swiftlb_record::{Event as RecordEvent, FailureReason};
use timers::{Timer, TimerKey, TimerQueue};
use unknown_hang_ups::UnknownHangUps;

/// Time after a caller's deadline at which the engine fails the call if the decision module has not decided on its
/// final outcome. Callers on sockets must get it within 50 ms of the deadline.
const DECISION_GRACE: Duration = Duration::from_millis(15);
/// Pause before another connection to an unreachable exchange is opened. Short, because the state of its circuit
/// group arrives only on an open connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);
/// How long an exchange that was removed from the list may still report how its calls ended.
const REMOVAL_GRACE: Duration = Duration::from_millis(700);
/// An id that no caller connection has. It stands for a release without a connection of its own, and for a hang-up that
/// the sibling process passed on, which must not be sent back to it.
const NO_CALLER_CONN: CallerConnId = CallerConnId::MAX;
/// Time after its start from which a process may be ready although connections to exchanges are still being opened.
const MAX_CONNECT_WAIT: Duration = Duration::from_secs(1);
/// Time after its start from which a process may be ready although the resolver has not confirmed the list of
/// exchanges.
const MAX_LIST_WAIT: Duration = Duration::from_secs(3);
/// How long the state of an exchange is kept after its removal from the list.
const REMOVED_EXCHANGE_RETENTION: Duration = Duration::from_secs(30);

/// Converts a duration to milliseconds.
pub fn duration_to_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Longest duration that [`duration_from_ms`] returns, in seconds. It must exceed the Unix time: a limit of 1e9 put
/// the start of every exchange in the year 2001, and none was ever treated as cold.
const MAX_DURATION_S: f64 = 1e11;

/// Converts milliseconds to a duration; 0 for a negative value and for one that is not finite.
pub fn duration_from_ms(ms: f64) -> Duration {
    let seconds = if ms.is_finite() { ms / 1_000.0 } else { 0.0 };
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_DURATION_S))
}

/// Unix time in milliseconds, the clock of the decision module.
fn unix_ms(at: SystemTime) -> f64 {
    duration_to_ms(elapsed(UNIX_EPOCH, at))
}

/// Time from one moment to a later one; zero if the clock was set back between them.
fn elapsed(from: SystemTime, to: SystemTime) -> Duration {
    to.duration_since(from).unwrap_or_default()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No attempt is open.
    Waiting,
    /// One attempt is open; `conn` is `None` until there is a connection to send it on.
    Attempting { exchange: ExchangeId, sent_at: SystemTime, conn: Option<ExchangeConnId> },
    /// The call is established.
    Established { exchange: ExchangeId, since: SystemTime },
}

#[derive(Debug)]
struct Call {
    uid: CallUid,
    caller_conn: CallerConnId,
    front: Front,
    class: String,
    dest: Number,
    width: f64,
    called_number: Option<String>,
    description: Option<Arc<str>>,
    /// Size of its texts when it arrived, in bytes.
    text_bytes: usize,
    received_at: SystemTime,
    deadline: SystemTime,
    phase: Phase,
    /// Number of attempts so far, thus the number of the last one in timers and records, which count from 1. The
    /// decision module counts attempts from 0.
    attempt_count: u32,
    /// End of the release pause: until then the circuits of the last attempt may still be taken.
    paused_until: Option<SystemTime>,
    /// Whether the last attempt found the number busy.
    busy: bool,
    /// How the last attempt ended.
    last_attempt: Option<AttemptResult>,
    /// The timer for an overdue decision, while the call has no final outcome.
    overdue_timer: Option<TimerKey>,
    /// The time-out of the open attempt.
    attempt_timer: Option<TimerKey>,
}

/// What the engine has to know about a class of calls.
#[derive(Clone, Debug)]
struct ClassLimits {
    name: String,
    width: f64,
    /// Longest time that a caller waits.
    max_wait: Duration,
    /// Time within which its calls should be answered.
    target_setup: Duration,
}

/// The state of a softswitch.
pub struct Engine {
    name: String,
    controller: Controller,
    now: SystemTime,
    classes: Vec<ClassLimits>,
    home: Option<Number>,
    attempt_limit: u32,
    release_pause: Duration,
    exchange_drain_grace: Duration,
    calls: HashMap<CallId, Call>,
    call_ids: HashMap<CallUid, CallId>,
    last_call: CallId,
    exchanges: BTreeMap<ExchangeId, Exchange>,
    exchange_ids: HashMap<Arc<str>, ExchangeId>,
    exchange_conns: HashMap<ExchangeConnId, ExchangeConn>,
    last_exchange_conn: ExchangeConnId,
    last_exchange: u32,
    caller_conns: BTreeMap<CallerConnId, CallerConn>,
    max_caller_conns: usize,
    /// File descriptors that the softswitch may use.
    max_descriptors: usize,
    /// Number of open set-ups, those without a final outcome.
    open_setups: usize,
    /// Size of their texts, in bytes.
    open_text_bytes: usize,
    max_open_text_bytes: usize,
    max_retry_after: Duration,
    caller_releases: CallerReleases,
    ended_calls: EndedCalls,
    unknown_hang_ups: UnknownHangUps,
    id_claims: IdClaims,
    last_probe: u64,
    timers: TimerQueue,
    /// Events that the decision module has yet to handle.
    controller_events: VecDeque<Event>,
    /// The limits of the shutdown, from the first request to stop on.
    shutdown_deadline: Option<ShutdownDeadline>,
    /// Whether it has stopped listening for callers, shortly before the process may be killed.
    listening_stopped: bool,
    /// When the request to stop arrived.
    stopping_since: Option<SystemTime>,
    /// When the operator's drain that is in progress began.
    operator_drain_since: Option<SystemTime>,
    /// Role of the sibling process, while there is one.
    sibling: Option<Role>,
    /// Version of the messages that the sibling process knows.
    sibling_version: u32,
    /// Whether callers are connected to the sibling process.
    sibling_has_callers: bool,
    /// What the sibling process was told last about callers that are connected here.
    told_sibling_of_callers: bool,
    /// Whether it accepts caller connections; a successor does so once it is ready.
    accepting_callers: bool,
    /// Whether it was asked to stop while a successor serves.
    stopping_for_successor: bool,
    list_serial: u32,
    metrics: Metrics,
    record_buffer: RecordBuffer,
    /// Indexes of the free circuits and of the group size in a load report.
    group_fields: (Option<usize>, Option<usize>),
    started_at: SystemTime,
    /// Whether the resolver has confirmed that the list of exchanges is current.
    list_confirmed: bool,
}

impl Engine {
    /// Creates the state of a softswitch that has just started, and requests its first effects.
    ///
    /// # Errors
    /// If the decision module rejects the settings.
    pub fn new(config: &Config, now: SystemTime, effects: &mut Vec<Effect>) -> Result<Self, SettingsError> {
        let mut engine = Self {
            name: config.name.clone(),
            controller: Controller::new(config.settings.clone(), config.seed)?,
            now,
            classes: Vec::new(),
            home: None,
            attempt_limit: 0,
            release_pause: Duration::ZERO,
            exchange_drain_grace: Duration::ZERO,
            calls: HashMap::new(),
            call_ids: HashMap::new(),
            last_call: 0,
            exchanges: BTreeMap::new(),
            exchange_ids: HashMap::new(),
            exchange_conns: HashMap::new(),
            last_exchange_conn: 0,
            last_exchange: 0,
            caller_conns: BTreeMap::new(),
            max_caller_conns: 0,
            max_descriptors: 0,
            open_setups: 0,
            open_text_bytes: 0,
            max_open_text_bytes: 0,
            max_retry_after: Duration::ZERO,
            caller_releases: CallerReleases::default(),
            ended_calls: EndedCalls::default(),
            unknown_hang_ups: UnknownHangUps::default(),
            id_claims: IdClaims::default(),
            // Probe ids count up from a value made from the seed. The seed differs between the processes of a
            // replacement, so they are very unlikely to use the same id.
            last_probe: !config.seed,
            timers: TimerQueue::default(),
            controller_events: VecDeque::new(),
            shutdown_deadline: None,
            listening_stopped: false,
            stopping_since: None,
            operator_drain_since: None,
            sibling: None,
            sibling_version: 0,
            sibling_has_callers: false,
            told_sibling_of_callers: false,
            accepting_callers: true,
            stopping_for_successor: false,
            list_serial: config.list_serial,
            metrics: Metrics::default(),
            record_buffer: RecordBuffer::default(),
            group_fields: (None, None),
            started_at: now,
            list_confirmed: false,
        };
        engine.configure(config);
        engine.apply_list(config.exchanges.clone(), ListUpdateKind::Cached, effects);
        engine.run_controller(effects);
        Ok(engine)
    }

    /// When the next timer expires; the host must pass an input at that time, [`Input::Wake`] if there is no other.
    pub fn next_wake(&self) -> Option<SystemTime> {
        self.timers.next_expiry()
    }

    /// Number of open and established calls.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Number of entries in all collections, which must not grow without bound.
    pub fn entry_count(&self) -> usize {
        let exchanges =
            self.exchanges.values().map(|exchange| 1 + exchange.pending_releases.len()).sum::<usize>();
        let ids = self.call_ids.len() + self.exchange_ids.len() + self.ended_calls.entry_count();
        let unconfirmed =
            self.exchange_conns.values().map(|conn| conn.unconfirmed_releases.len()).sum::<usize>();
        let conns_and_releases = self.exchange_conns.len()
            + unconfirmed
            + self.caller_conns.len()
            + self.caller_releases.entry_count()
            + self.unknown_hang_ups.len()
            + self.id_claims.entry_count();
        self.calls.len()
            + exchanges
            + ids
            + conns_and_releases
            + self.timers.len()
            + self.controller_events.len()
    }

    /// Handles one input at this time and appends the resulting effects. Timers that have expired are handled first.
    pub fn handle(&mut self, now: SystemTime, input: Input, effects: &mut Vec<Effect>) {
        // The system clock may be set back; the engine's time never decreases.
        self.now = self.now.max(now);
        while let Some(timer) = self.timers.pop_expired(self.now) {
            self.handle_timer(timer, effects);
            self.run_controller(effects);
        }
        self.handle_input(input, effects);
        self.run_controller(effects);
        self.serve_when_ready(effects);
        self.tell_sibling_of_callers(effects);
        self.exit_if_done(effects);
        self.flush_records(effects);
    }

    fn handle_input(&mut self, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Wake => {}
            Input::CallerConnected { caller_conn, front } => {
                self.caller_connected(caller_conn, front, effects)
            }
            Input::CallerStreamCorrupt { caller_conn } => {
                self.abort_caller_conn(caller_conn, FailureReason::CallerStreamCorrupt, effects)
            }
            Input::CallerDisconnected { caller_conn } => self.caller_disconnected(caller_conn, effects),
            Input::CallerMessagesUnread { caller_conn } => {
                self.resend_unread_releases(caller_conn, effects);
            }
            Input::SetUp { caller_conn, call, setup } => {
                self.caller_message_received(caller_conn);
                self.handle_setup(caller_conn, call, setup, effects);
            }
            Input::MalformedSetUp { caller_conn, call } => {
                self.caller_message_received(caller_conn);
                self.fail_malformed(caller_conn, call, effects);
            }
            Input::HangUp { caller_conn, call, cause } => {
                self.caller_message_received(caller_conn);
                self.hang_up(caller_conn, call, cause, effects);
            }
            Input::HealthCheck { caller_conn, call } => {
                // Releases must not be sent on connections that the platform uses for health checks only: it
                // would not read them.
                if let Some(conn) = self.caller_conns.get_mut(&caller_conn) {
                    conn.health_checks_only = !conn.sent_call_message;
                    conn.last_received = self.now;
                }
                let passed = self.stopping_since.is_none() && self.operator_drain_since.is_none();
                effects.push(Effect::ToCaller {
                    caller_conn,
                    call,
                    message: CallerMessage::HealthCheckResult { passed },
                });
            }
            Input::List(entries) => self.apply_list(entries, ListUpdateKind::Complete, effects),
            Input::ListConfirmed { serial } => {
                if (self.list_confirmed, self.list_serial) != (true, serial) {
                    let known = self
                        .exchanges
                        .values()
                        .filter(|exchange| exchange.readiness != Readiness::Removed)
                        .count();
                    self.record(|_| RecordEvent::List { serial, exchanges: known as u32 });
                }
                (self.list_confirmed, self.list_serial) = (true, serial);
            }
            Input::SiblingMessage(message) => self.handle_sibling_message(message, effects),
            Input::SiblingDisconnected => self.sibling_disconnected(effects),
            Input::AttemptsWritten { attempts } => self.metrics.count_attempts(attempts),
            Input::OperatorRequest { request_id, request } => {
                let reply = self.handle_operator_request(request, effects);
                effects.push(Effect::ToOperator { request_id, reply });
            }
            Input::ExchangeConnected { exchange_conn, carries_calls } => {
                self.exchange_connected(exchange_conn, carries_calls, effects)
            }
            Input::ExchangeConnectFailed { exchange_conn, refused } => {
                self.exchange_connect_failed(exchange_conn, refused, effects)
            }
            Input::ExchangeDisconnected { exchange_conn } => {
                self.exchange_disconnected(exchange_conn, effects)
            }
            Input::ExchangeActivity { exchange_conn } => self.mark_active(exchange_conn),
            Input::ReleaseConfirmed { exchange_conn, call } => self.release_confirmed(exchange_conn, call),
            Input::Answered { exchange_conn, call, description } => {
                self.exchange_answered(exchange_conn, call, description, effects)
            }
            Input::Ended { exchange_conn, call, outcome, reason } => {
                self.exchange_ended_call(exchange_conn, call, outcome, reason, effects);
            }
            Input::GroupState { exchange_conn, report } => self.group_state_received(exchange_conn, report),
            Input::ProbeResult { exchange_conn, passed, report } => {
                self.probe_result_received(exchange_conn, passed, report)
            }
            Input::Reload(config) => self.reload(config, effects),
            Input::Stop => self.request_stop(effects),
        }
    }

    fn handle_operator_request(
        &mut self,
        request: OperatorRequest,
        effects: &mut Vec<Effect>,
    ) -> OperatorReply {
        match request {
            OperatorRequest::Readiness if self.is_ready() => OperatorReply::Done,
            OperatorRequest::Readiness => OperatorReply::NotReady,
            OperatorRequest::Metrics => {
                let listed =
                    || self.exchanges.iter().filter(|(_, exchange)| exchange.readiness != Readiness::Removed);
                let avoided = |id: &ExchangeId, exchange: &Exchange| {
                    Some(exchange.number) != self.home && self.controller.avoids(*id)
                };
                let unavailable = listed().filter(|(id, exchange)| avoided(id, exchange)).count();
                let gauges = Gauges {
                    pending: self.calls.len() + self.id_claims.waiting_count(),
                    waiting: self.open_setups,
                    members: listed().count(),
                    unavailable,
                    is_stopping: self.stopping_since.is_some() || self.stopping_for_successor,
                };
                OperatorReply::Metrics(self.metrics.prometheus_text(gauges))
            }
            OperatorRequest::Fleet => OperatorReply::Fleet(self.fleet().to_json()),
            OperatorRequest::BeginDrain => {
                self.begin_drain(self.now);
                self.tell_sibling_of_drain(effects);
                OperatorReply::Done
            }
            OperatorRequest::EndDrain => {
                self.end_drain();
                self.tell_sibling_of_drain(effects);
                OperatorReply::Done
            }
        }
    }

    /// Whether this process is ready to serve. It handles calls from its start on, but at first its list of exchanges
    /// may be out of date and connections to exchanges are still being opened.
    fn is_ready(&self) -> bool {
        let age = elapsed(self.started_at, self.now);
        let connecting = |exchange: &Exchange| matches!(exchange.conn, ConnState::Connecting(_));
        (self.list_confirmed || age >= MAX_LIST_WAIT)
            && (age >= MAX_CONNECT_WAIT || !self.exchanges.values().any(connecting))
    }

    /// Applies a new configuration, completely or not at all. The list of exchanges and its serial are kept; the
    /// resolver reports changes since then.
    fn reload(&mut self, config: Box<Config>, effects: &mut Vec<Effect>) {
        let new_index = |name: &String| config.classes.iter().position(|(class, _)| class == name);
        let new_indexes: Vec<Option<usize>> =
            self.classes.iter().map(|class| new_index(&class.name)).collect();
        if let Err(error) = self.controller.reconfigure(config.settings.clone(), &new_indexes) {
            effects.push(Effect::Log(format!(
                "configuration refused, the previous one stays in force: {error}"
            )));
            return;
        }
        self.configure(&config);
        self.record_classes();
        effects.push(Effect::Log(format!("configuration reloaded; resolver at {}", config.resolver)));
        effects.push(Effect::Reconfigure(config));
    }

    fn configure(&mut self, config: &Config) {
        let settings = &config.settings;
        let classes = config.classes.iter().zip(&settings.classes);
        self.classes = classes
            .map(|((name, max_wait), class)| ClassLimits {
                name: name.clone(),
                width: class.width,
                max_wait: *max_wait,
                target_setup: duration_from_ms(class.target_setup_ms),
            })
            .collect();
        self.update_shutdown_deadline();
        self.metrics.add_classes(config.classes.iter().map(|(name, _)| name.clone()));
        self.home = settings.home;
        self.attempt_limit = settings.attempt_limit;
        self.release_pause = duration_from_ms(settings.release_pause_ms);
        self.exchange_drain_grace = duration_from_ms(settings.drain_grace_ms);
        self.max_retry_after = duration_from_ms(settings.max_retry_after_ms);
        self.max_descriptors = config.max_sockets;
        self.max_open_text_bytes = setups::max_open_text_bytes(config.memory_limit_bytes);
        let index = |field| settings.report_fields.iter().position(|known| *known == field);
        self.group_fields = (index(ReportField::FreeCircuits), index(ReportField::TotalCircuits));
        self.apply_limits();
    }

    fn set_timer(&mut self, delay: Duration, timer: Timer) -> TimerKey {
        self.timers.set(self.now + delay, timer)
    }

    fn handle_timer(&mut self, timer: Timer, effects: &mut Vec<Effect>) {
        match timer {
            Timer::Controller(tag) => self.controller_events.push_back(Event::TimerExpired { tag }),
            Timer::AttemptTimeout(id, attempt) => self.attempt_timed_out(id, attempt, effects),
            Timer::DecisionOverdue(id) => {
                // The call gets its final outcome even if the decision module fails to decide.
                if let Some(call) = self.calls.get(&id)
                    && !matches!(call.phase, Phase::Established { .. })
                {
                    effects.push(Effect::Log(format!(
                        "no final decision on call {:?} after its deadline; ending it as failed",
                        call.uid
                    )));
                    self.cancel_at_exchange(id, effects);
                    self.end_call_with_reason(
                        id,
                        CallerMessage::Failed { busy: false },
                        Some(FailureReason::DecisionOverdue),
                        effects,
                    );
                }
            }
            Timer::Reconnect(exchange) => self.reconnect(exchange, effects),
            Timer::RemoveExchange(exchange) => self.remove_exchange(exchange, effects),
            Timer::CheckExchange(exchange) => {
                self.expire_old_entries(effects);
                self.check_exchange(exchange, effects);
            }
            Timer::CheckSilence(exchange_conn) => self.check_silence(exchange_conn, effects),
            Timer::CheckIdle(caller_conn) => self.close_if_idle(caller_conn, effects),
            Timer::CallerReleases => self.retry_caller_releases(effects),
            Timer::ClaimOverdue(call) => self.claim_timed_out(call, effects),
            Timer::UnknownHangUps => self.pass_on_next_hang_up(effects),
            // `handle` checks the exit after every input.
            Timer::CheckStopped => self.cut_calls_after_max_stop_time(effects),
            Timer::ShutdownDeadline => self.enforce_shutdown_deadline(effects),
            Timer::DrainCallers(drain_start) => self.drain_caller_conns(drain_start, effects),
            // `handle` checks the readiness after every input.
            Timer::CheckReady => {}
            Timer::StopForSuccessor => self.continue_stop_for_successor(effects),
            Timer::Sample => self.record_samples(),
        }
    }

    // ---- decision module ----

    /// Passes the queued events to the decision module and applies its actions.
    fn run_controller(&mut self, effects: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        while let Some(event) = self.controller_events.pop_front() {
            self.controller.handle(unix_ms(self.now), event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action, effects);
            }
        }
    }

    fn apply_action(&mut self, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Send { call, exchange, timeout_ms } => {
                self.start_attempt(call, exchange, duration_from_ms(timeout_ms), effects);
            }
            Action::Refuse { call, retry_after_ms } => {
                self.end_call(
                    call,
                    CallerMessage::Refused { retry_after: duration_from_ms(retry_after_ms) },
                    effects,
                );
            }
            Action::Fail { call } => {
                let busy = self.calls.get(&call).is_some_and(|call| call.busy);
                self.end_call(call, CallerMessage::Failed { busy }, effects);
            }
            Action::Cancel { call, attempt } => {
                if self.calls.get(&call).is_some_and(|call| call.attempt_count == attempt + 1) {
                    self.cancel_and_report(call, effects);
                }
            }
            Action::SetTimer { delay_ms, tag } => {
                self.set_timer(duration_from_ms(delay_ms), Timer::Controller(tag));
            }
            Action::Probe { exchange } => {
                if let Some(ConnState::Up(exchange_conn)) =
                    self.exchanges.get(&exchange).map(|exchange| exchange.conn)
                {
                    self.last_probe = self.last_probe.wrapping_add(1);
                    let call = CallUid::from_u64(self.last_probe);
                    effects.push(Effect::ToExchange { exchange_conn, call, message: ExchangeMessage::Probe });
                }
            }
            Action::Log { text } => effects.push(Effect::Log(text)),
            // Peer messages have no transport here, and the resolver delivers the list unasked.
            Action::SendPeerMessage { .. } | Action::Subscribe | Action::FetchList => {}
        }
    }

    // ---- calls ----

    /// Ends a set-up: sends its caller the final outcome, and frees everything that the call holds.
    fn end_call(&mut self, id: CallId, message: CallerMessage, effects: &mut Vec<Effect>) {
        self.end_call_with_reason(id, message, None, effects);
    }

    /// Ends a call like [`Self::end_call`], with a failure reason other than the end of its last attempt.
    fn end_call_with_reason(
        &mut self,
        id: CallId,
        message: CallerMessage,
        reason: Option<FailureReason>,
        effects: &mut Vec<Effect>,
    ) {
        // An established call has had its one final outcome; only its release may follow.
        if self.calls.get(&id).is_some_and(|call| matches!(call.phase, Phase::Established { .. })) {
            return;
        }
        let Some(call) = self.remove_call(id, effects) else { return };
        match message {
            CallerMessage::Refused { retry_after } => {
                self.metrics.count_refused(&call.class);
                self.record_refused_call(&call, retry_after);
            }
            CallerMessage::Failed { busy } => {
                self.metrics.count_failed(&call.class);
                match reason {
                    Some(reason) => self.record_failure(call.uid, reason),
                    None => self.record_failed_call(&call, busy),
                }
            }
            _ => {}
        }
        if self.caller_conns.contains_key(&call.caller_conn) {
            effects.push(Effect::ToCaller { caller_conn: call.caller_conn, call: call.uid, message });
            self.close_conn_after_outcome(call.caller_conn, effects);
        }
    }

    /// Removes a call, cancels its open attempt, if it has one, and tells the decision module that the call is gone.
    fn remove_call(&mut self, id: CallId, effects: &mut Vec<Effect>) -> Option<Call> {
        self.cancel_at_exchange(id, effects);
        let call = self.calls.remove(&id)?;
        if !matches!(call.phase, Phase::Established { .. }) {
            self.uncount_open_setup(call.text_bytes);
        }
        self.timers.cancel(call.overdue_timer);
        self.timers.cancel(call.attempt_timer);
        self.call_ids.remove(&call.uid);
        self.ended_calls.add(self.now, call.uid, call.attempt_count > 0);
        // Sent for every removed call, not only for abandoned ones: the decision module still knows the call if it was
        // late with its decision or the caller connection was lost. It ignores the event for a call that it has ended
        // itself.
        self.controller_events.push_back(Event::Abandoned { call: id });
        Some(call)
    }

    /// Remembers for a while an id that a caller sent and that became no call here.
    fn remember_turned_away(&mut self, call: CallUid) {
        self.ended_calls.add(self.now, call, false);
    }

    /// Remembers for a while that a call has ended that was established before this process started.
    fn remember_ended(&mut self, call: CallUid) {
        self.ended_calls.add(self.now, call, true);
    }

    /// Drops ended calls and sent releases whose retention time is over.
    fn expire_old_entries(&mut self, effects: &mut Vec<Effect>) {
        self.ended_calls.expire(self.now);
        if let Some(forgotten) = self.ended_calls.take_report(self.now) {
            effects.push(Effect::Log(format!(
                "too many ended calls to remember; ids forgotten early: {} of calls sent to an exchange, {} of others",
                forgotten.attempted, forgotten.unattempted
            )));
        }
        self.expire_sibling_ids(effects);
        self.expire_caller_releases(effects);
        self.expire_releases();
    }
}
