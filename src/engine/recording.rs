//! What the reducer records of itself: its inputs and decisions as events, for whoever reads them later.
//!
//! Events are gathered while one input is worked on and leave as [`Effect::Record`]. Where nothing is recorded they
//! are not even made.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use swiftlb_record::{
    AttemptOutcome, AttemptReason, CallUid as RecordedCall, ConnectionChange, DrainSource, Event,
    FailureReason, Front as RecordedFront, ListedReadiness, Record, RefusalReason, ReleasedBy,
};

use super::{
    Call, CallId, CallUid, Effect, Engine, ExchangeId, Front, ListEntry, Number, Outcome, Readiness, Reason,
    Timer, elapsed,
};

/// Time between two looks at what the decisions believe of each exchange.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Where the notes of one input gather.
#[derive(Debug, Default)]
pub(super) struct RecordBuffer {
    enabled: bool,
    events: Vec<Event>,
    /// Exchanges that were avoided when last looked at.
    avoided: Vec<(ExchangeId, bool)>,
    /// Connections from callers when last noted.
    caller_conns: usize,
    /// The end is noted.
    stopped: bool,
}

fn whole_us(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn unix_us(at: SystemTime) -> u64 {
    whole_us(elapsed(UNIX_EPOCH, at))
}

fn whole_ms(ms: f64) -> u32 {
    ms.clamp(0.0, f64::from(u32::MAX)) as u32
}

fn recorded_uid(name: CallUid) -> RecordedCall {
    RecordedCall(u64::from_str_radix(name.as_str(), 16).unwrap_or_default())
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

/// How the last attempt of a call ended, for the reason of its refusal.
pub(super) type AttemptResult = (AttemptOutcome, AttemptReason);

impl Engine {
    /// Records from now on, beginning with all that a reader has to know first.
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

    /// RecordBuffer an event, made only where it is recorded.
    pub(super) fn record(&mut self, event: impl FnOnce(&Self) -> Event) {
        if self.record_buffer.enabled {
            let event = event(self);
            self.record_buffer.events.push(event);
        }
    }

    /// Hands the notes of this input on.
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
        self.record(|engine| Event::Classes(engine.classes.iter().map(|(name, ..)| name.clone()).collect()));
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
            let class = engine.classes.iter().position(|(name, ..)| *name == call.class);
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

    /// An attempt has ended without setting the call up.
    pub(super) fn record_attempt_end(
        &mut self,
        id: CallId,
        to: ExchangeId,
        (outcome, reason): (Outcome, Reason),
        took: Duration,
    ) {
        let (outcome, reason) = (recorded_outcome(outcome), recorded_reason(reason));
        if let Some(call) = self.calls.get_mut(&id) {
            call.last_attempt = Some((outcome, reason));
        }
        self.record(|engine| {
            let call = &engine.calls[&id];
            let (attempt, elapsed_us) = (call.attempt_count.min(255) as u8, whole_us(took));
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

    /// The decisions turned a call away.
    pub(super) fn record_refused_call(&mut self, call: &Call, wait: Duration) {
        let why = match call.last_attempt {
            Some((outcome, cause)) => RefusalReason::AfterAttempt(outcome, cause),
            None if self.lacks_circuits(call) => RefusalReason::NoCircuit,
            None => RefusalReason::Shed,
        };
        self.record_refusal(call.uid, why, wait);
    }

    pub(super) fn record_refusal(&mut self, name: CallUid, reason: RefusalReason, wait: Duration) {
        self.metrics.count_refusal(reason.label());
        let retry_after_ms = wait.as_millis() as u32;
        self.record(|_| Event::Refused { call: recorded_uid(name), reason, retry_after_ms });
    }

    /// Whether the group straight to a call's exchange has too few circuits free for it, as last heard.
    fn lacks_circuits(&self, call: &Call) -> bool {
        let free = self
            .exchanges
            .values()
            .filter(|exchange| exchange.number == call.dest)
            .filter_map(|exchange| exchange.group);
        free.map(|(free, _)| free).min().is_some_and(|free| f64::from(free) < call.width)
    }

    pub(super) fn record_failed_call(&mut self, call: &Call, busy: bool) {
        let why = match call.last_attempt {
            _ if busy => FailureReason::Busy,
            Some((outcome, cause)) => FailureReason::AfterAttempt(outcome, cause),
            None => FailureReason::NoRoute,
        };
        self.record_failure(call.uid, why);
    }

    pub(super) fn record_failure(&mut self, name: CallUid, reason: FailureReason) {
        self.record(|_| Event::Failed { call: recorded_uid(name), reason });
    }

    pub(super) fn record_abandoned(&mut self, id: CallId) {
        self.record(|engine| Event::Abandoned { call: recorded_uid(engine.calls[&id].uid) });
    }

    pub(super) fn record_released(
        &mut self,
        name: CallUid,
        at: Option<ExchangeId>,
        by: ReleasedBy,
        cut: bool,
    ) {
        self.record(|engine| {
            let exchange = at.map(|id| engine.exchange_number(id));
            Event::Released { call: recorded_uid(name), exchange, by, cut }
        });
    }

    /// RecordBuffer what the list says of an exchange, as it now stands.
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

    /// Whether the list says something else of an exchange than it did.
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

    /// The process ends; noted once.
    pub(super) fn record_stopped(&mut self) {
        if !std::mem::replace(&mut self.record_buffer.stopped, true) {
            self.record(|_| Event::Stopped);
        }
    }

    pub(super) fn record_drain(&mut self, on: bool, by: DrainSource) {
        self.record(|_| Event::Drain { on, by });
    }

    /// RecordBuffer what the decisions believe of each exchange, and where that has crossed a line.
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
            let is = self.controller.avoids(id);
            let was = self.record_buffer.avoided.iter().any(|(known, avoided)| *known == id && *avoided);
            if is != was {
                self.record(|_| Event::Avoidance { exchange, avoided: is });
            }
            avoided.push((id, is));
            let expected_ms = whole_ms(self.controller.expected_delay_ms(id));
            let open_attempts = counts.get(&id).map_or(0, |(open_attempts, _)| *open_attempts) as u32;
            self.record(|_| Event::ExpectedDelay { exchange, expected_ms, open_attempts });
        }
        self.record_buffer.avoided = avoided;
    }
}
