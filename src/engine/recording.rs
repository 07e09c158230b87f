//! Recording of the reducer's inputs and decisions as events for later analysis.
//!
//! Events are buffered while an input is handled and leave the reducer as [`Effect::Record`]. While recording is off
//! they are not created.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use swiftlb_record::{
    AttemptOutcome, AttemptReason, CallUid as RecordedUid, ConnectionChange, DrainSource, Event,
    FailureReason, Front as RecordedFront, ListedReadiness, Record, RefusalReason, ReleasedBy,
};

use super::{
    Call, CallId, CallUid, Effect, Engine, ExchangeId, Front, ListEntry, Number, Outcome, Readiness, Reason,
    Timer, elapsed,
};

/// Interval at which the expected delay of every exchange is recorded.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// The events of the current input, and the values last recorded.
#[derive(Debug, Default)]
pub(super) struct RecordBuffer {
    enabled: bool,
    events: Vec<Event>,
    /// Whether each exchange was avoided, as last recorded.
    avoided: Vec<(ExchangeId, bool)>,
    /// Number of caller connections, as last recorded.
    caller_conns: usize,
    /// Whether the end of the process is recorded.
    stopped: bool,
}

fn whole_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn unix_us(at: SystemTime) -> u64 {
    whole_us(elapsed(UNIX_EPOCH, at))
}

fn whole_ms(ms: f64) -> u32 {
    ms.clamp(0.0, f64::from(u32::MAX)) as u32
}

fn recorded_uid(uid: CallUid) -> RecordedUid {
    RecordedUid(u64::from_str_radix(uid.as_str(), 16).unwrap_or_default())
}

fn recorded_readiness(readiness: Readiness) -> ListedReadiness {
    match readiness {
        Readiness::Ready => ListedReadiness::Ready,
        Readiness::Draining => ListedReadiness::Draining,
        Readiness::Removed => ListedReadiness::Removed,
    }
}

fn recorded_outcome(outcome: Outcome) -> AttemptOutcome {
    match outcome {
        Outcome::Completed => AttemptOutcome::AnswerLost,
        Outcome::Busy => AttemptOutcome::Busy,
        Outcome::Congested => AttemptOutcome::Congested,
        Outcome::TimedOut => AttemptOutcome::TimedOut,
        Outcome::NoConnection => AttemptOutcome::NoConnection,
        Outcome::Reset => AttemptOutcome::Reset,
        Outcome::Cancelled => AttemptOutcome::Cancelled,
        Outcome::NotSent => AttemptOutcome::NotSent,
    }
}

fn recorded_reason(reason: Reason) -> AttemptReason {
    match reason {
        Reason::Unspecified => AttemptReason::Unspecified,
        Reason::NoCircuit => AttemptReason::NoCircuit,
        Reason::CrankBack => AttemptReason::CrankBack,
        Reason::DestinationFull => AttemptReason::DestinationFull,
        Reason::ProcessorFull(wait_ms) => AttemptReason::ProcessorFull(whole_ms(wait_ms)),
        Reason::UserBusy => AttemptReason::UserBusy,
    }
}

/// How an attempt ended, and why; part of the recorded reason of a refusal or failure.
pub(super) type AttemptResult = (AttemptOutcome, AttemptReason);

impl Engine {
    /// Starts recording, beginning with the classes and exchanges that later events refer to.
    pub fn start_recording(&mut self, is_replacement: bool, effects: &mut Vec<Effect>) {
        self.record_buffer.enabled = true;
        let version = env!("CARGO_PKG_VERSION").to_owned();
        self.record(|engine| Event::Started { version, home: engine.home, is_replacement });
        self.record_classes();
        let ids: Vec<ExchangeId> = self.exchanges.keys().copied().collect();
        for id in ids {
            self.record_exchange(id);
        }
        self.set_timer(SAMPLE_INTERVAL, Timer::Sample);
        self.flush_records(effects);
    }

    /// Adds an event to the buffer; it is created only while recording is on.
    pub(super) fn record(&mut self, event: impl FnOnce(&Self) -> Event) {
        if self.record_buffer.enabled {
            let event = event(self);
            self.record_buffer.events.push(event);
        }
    }

    /// Requests the recording of the buffered events.
    pub(super) fn flush_records(&mut self, effects: &mut Vec<Effect>) {
        if self.record_buffer.events.is_empty() {
            return;
        }
        let at_us = unix_us(self.now);
        let records =
            self.record_buffer.events.drain(..).map(|event| Effect::Record(Record { at_us, event }));
        effects.extend(records);
    }

    pub(super) fn record_classes(&mut self) {
        self.record(|engine| Event::Classes(engine.classes.iter().map(|class| class.name.clone()).collect()));
    }

    pub(super) fn record_setup(
        &mut self,
        id: CallId,
        dest: Number,
        transit_from: Option<Number>,
        was_cut: bool,
    ) {
        self.record(|engine| {
            let call = &engine.calls[&id];
            let class = engine.classes.iter().position(|class| class.name == call.class);
            Event::SetUp {
                call: recorded_uid(call.uid),
                class: class.unwrap_or_default() as u8,
                dest,
                transit_from,
                remaining_ms: elapsed(engine.now, call.deadline).as_millis() as u32,
                was_cut,
                front: match call.front {
                    Front::JsonLines => RecordedFront::JsonLines,
                    Front::Iax2 => RecordedFront::Iax2,
                },
            }
        });
    }

    fn exchange_number(&self, id: ExchangeId) -> u32 {
        self.exchanges.get(&id).map_or(u32::MAX, |exchange| exchange.number)
    }

    pub(super) fn record_attempt(&mut self, id: CallId, to: ExchangeId, awaits_connection: bool) {
        self.record(|engine| {
            let call = &engine.calls[&id];
            let attempt = call.attempt_count.min(255) as u8;
            Event::Attempt {
                call: recorded_uid(call.uid),
                attempt,
                exchange: engine.exchange_number(to),
                awaits_connection,
            }
        });
    }

    /// Records the end of an attempt that did not establish its call.
    pub(super) fn record_attempt_end(
        &mut self,
        id: CallId,
        to: ExchangeId,
        (outcome, reason): (Outcome, Reason),
        duration: Duration,
    ) {
        let (outcome, reason) = (recorded_outcome(outcome), recorded_reason(reason));
        if let Some(call) = self.calls.get_mut(&id) {
            call.last_attempt = Some((outcome, reason));
        }
        self.record(|engine| {
            let call = &engine.calls[&id];
            let (attempt, elapsed_us) = (call.attempt_count.min(255) as u8, whole_us(duration));
            let (call, exchange) = (recorded_uid(call.uid), engine.exchange_number(to));
            Event::AttemptEnded { call, attempt, exchange, outcome, reason, elapsed_us }
        });
    }

    pub(super) fn record_answer(&mut self, id: CallId, at: ExchangeId) {
        self.record(|engine| {
            let call = &engine.calls[&id];
            let elapsed_us = whole_us(elapsed(call.received_at, engine.now));
            Event::Answered { call: recorded_uid(call.uid), exchange: engine.exchange_number(at), elapsed_us }
        });
    }

    /// Records that the decision module refused a call.
    pub(super) fn record_refused_call(&mut self, call: &Call, retry_after: Duration) {
        let reason = match call.last_attempt {
            Some((outcome, reason)) => RefusalReason::AfterAttempt(outcome, reason),
            None if self.lacks_circuits(call) => RefusalReason::NoCircuit,
            None => RefusalReason::Shed,
        };
        self.record_refusal(call.uid, reason, retry_after);
    }

    pub(super) fn record_refusal(&mut self, uid: CallUid, reason: RefusalReason, retry_after: Duration) {
        self.metrics.count_refusal(reason.label());
        let retry_after_ms = retry_after.as_millis() as u32;
        self.record(|_| Event::Refused { call: recorded_uid(uid), reason, retry_after_ms });
    }

    /// Whether the direct group to a call's destination has too few free circuits for it, as last reported.
    fn lacks_circuits(&self, call: &Call) -> bool {
        let free = self
            .exchanges
            .values()
            .filter(|exchange| exchange.number == call.dest)
            .filter_map(|exchange| exchange.group);
        free.map(|(free, _)| free).min().is_some_and(|free| f64::from(free) < call.width)
    }

    pub(super) fn record_failed_call(&mut self, call: &Call, busy: bool) {
        let reason = match call.last_attempt {
            _ if busy => FailureReason::Busy,
            Some((outcome, reason)) => FailureReason::AfterAttempt(outcome, reason),
            None => FailureReason::NoRoute,
        };
        self.record_failure(call.uid, reason);
    }

    pub(super) fn record_failure(&mut self, uid: CallUid, reason: FailureReason) {
        self.record(|_| Event::Failed { call: recorded_uid(uid), reason });
    }

    pub(super) fn record_abandoned(&mut self, id: CallId) {
        self.record(|engine| Event::Abandoned { call: recorded_uid(engine.calls[&id].uid) });
    }

    pub(super) fn record_released(
        &mut self,
        uid: CallUid,
        at: Option<ExchangeId>,
        by: ReleasedBy,
        cut: bool,
    ) {
        self.record(|engine| {
            let exchange = at.map(|id| engine.exchange_number(id));
            Event::Released { call: recorded_uid(uid), exchange, by, cut }
        });
    }

    /// Records the entry of an exchange in the list.
    pub(super) fn record_exchange(&mut self, id: ExchangeId) {
        self.record(|engine| {
            let exchange = &engine.exchanges[&id];
            Event::Exchange {
                exchange: exchange.number,
                name: exchange.name.to_string(),
                zone: exchange.zone,
                readiness: recorded_readiness(exchange.readiness),
                started_us: exchange.started_at.map_or(0, unix_us),
            }
        });
    }

    /// Whether an entry of the list differs from the previous one of the same exchange.
    pub(super) fn entry_changed(&self, id: ExchangeId, entry: &ListEntry) -> bool {
        self.exchanges.get(&id).is_none_or(|exchange| {
            (exchange.readiness, exchange.number, exchange.zone, exchange.started_at)
                != (entry.readiness, entry.number, entry.zone, entry.started_at)
        })
    }

    pub(super) fn record_group(&mut self, id: ExchangeId) {
        self.record(|engine| {
            let (free, total) = engine.exchanges[&id].group.unwrap_or_default();
            Event::Group { exchange: engine.exchanges[&id].number, free, total }
        });
    }

    pub(super) fn record_connection(&mut self, id: ExchangeId, change: ConnectionChange) {
        self.record(|engine| Event::ExchangeConnection { exchange: engine.exchange_number(id), change });
    }

    /// Records the end of the process, once; whether this was the first time.
    pub(super) fn record_stopped(&mut self) -> bool {
        let first = !std::mem::replace(&mut self.record_buffer.stopped, true);
        if first {
            self.record(|_| Event::Stopped);
        }
        first
    }

    pub(super) fn record_drain(&mut self, on: bool, by: DrainSource) {
        self.record(|_| Event::Drain { on, by });
    }

    /// Records the number of caller connections and the avoided exchanges where they have changed, and the expected
    /// delay of every exchange.
    pub(super) fn record_samples(&mut self) {
        self.set_timer(SAMPLE_INTERVAL, Timer::Sample);
        let open = self.caller_conns.len();
        if std::mem::replace(&mut self.record_buffer.caller_conns, open) != open {
            self.record(|_| Event::CallerConnections { open: open as u32 });
        }
        let others = |exchange: &&super::Exchange| {
            exchange.readiness != Readiness::Removed && Some(exchange.number) != self.home
        };
        let listed: Vec<(ExchangeId, u32)> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| others(exchange))
            .map(|(id, exchange)| (*id, exchange.number))
            .collect();
        let counts = self.calls_by_exchange();
        let mut avoided = Vec::with_capacity(listed.len());
        for (id, exchange) in listed {
            let is_avoided = self.controller.avoids(id);
            let was_avoided =
                self.record_buffer.avoided.iter().any(|(known, avoided)| *known == id && *avoided);
            if is_avoided != was_avoided {
                self.record(|_| Event::Avoidance { exchange, avoided: is_avoided });
            }
            avoided.push((id, is_avoided));
            let expected_ms = whole_ms(self.controller.expected_delay_ms(id));
            let open_attempts = counts.get(&id).map_or(0, |(open_attempts, _)| *open_attempts) as u32;
            self.record(|_| Event::ExpectedDelay { exchange, expected_ms, open_attempts });
        }
        self.record_buffer.avoided = avoided;
    }
}
