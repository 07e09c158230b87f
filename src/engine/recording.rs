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
    Timer, since,
};

/// Time between two looks at what the decisions believe of each exchange.
const BELIEFS_EVERY: Duration = Duration::from_secs(1);

/// Where the notes of one input gather.
#[derive(Debug, Default)]
pub(super) struct Notes {
    on: bool,
    events: Vec<Event>,
    /// Exchanges that were avoided when last looked at.
    avoided: Vec<(ExchangeId, bool)>,
    /// Connections from callers when last noted.
    links: usize,
    /// The end is noted.
    stopped: bool,
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn unix_micros(at: SystemTime) -> u64 {
    micros(since(UNIX_EPOCH, at))
}

fn whole_millis(ms: f64) -> u32 {
    ms.clamp(0.0, f64::from(u32::MAX)) as u32
}

fn recorded(name: CallUid) -> RecordedCall {
    RecordedCall(u64::from_str_radix(name.as_str(), 16).unwrap_or_default())
}

fn listing(readiness: Readiness) -> ListedReadiness {
    match readiness {
        Readiness::Ready => ListedReadiness::Ready,
        Readiness::Draining => ListedReadiness::Draining,
        Readiness::Removed => ListedReadiness::Removed,
    }
}

fn outcome_of(outcome: Outcome) -> AttemptOutcome {
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

fn cause_of(reason: Reason) -> AttemptReason {
    match reason {
        Reason::Unspecified => AttemptReason::Unspecified,
        Reason::NoCircuit => AttemptReason::NoCircuit,
        Reason::CrankBack => AttemptReason::CrankBack,
        Reason::DestinationFull => AttemptReason::DestinationFull,
        Reason::ProcessorFull(wait_ms) => AttemptReason::ProcessorFull(whole_millis(wait_ms)),
        Reason::UserBusy => AttemptReason::UserBusy,
    }
}

/// How the last attempt of a call ended, for the reason of its refusal.
pub(super) type LastEnd = (AttemptOutcome, AttemptReason);

impl Engine {
    /// Records from now on, beginning with all that a reader has to know first.
    pub fn start_recording(&mut self, is_replacement: bool, effects: &mut Vec<Effect>) {
        self.notes.on = true;
        let version = env!("CARGO_PKG_VERSION").to_owned();
        self.note(|engine| Event::Started { version, home: engine.home, is_replacement });
        self.note_classes();
        let ids: Vec<ExchangeId> = self.peers.keys().copied().collect();
        for id in ids {
            self.note_exchange(id);
        }
        self.set_timer(BELIEFS_EVERY, Timer::Beliefs);
        self.give_notes(effects);
    }

    /// Notes an event, made only where it is recorded.
    pub(super) fn note(&mut self, event: impl FnOnce(&Self) -> Event) {
        if self.notes.on {
            let event = event(self);
            self.notes.events.push(event);
        }
    }

    /// Hands the notes of this input on.
    pub(super) fn give_notes(&mut self, effects: &mut Vec<Effect>) {
        if self.notes.events.is_empty() {
            return;
        }
        let at_us = unix_micros(self.now);
        let records = self.notes.events.drain(..).map(|event| Effect::Record(Record { at_us, event }));
        effects.extend(records);
    }

    pub(super) fn note_classes(&mut self) {
        self.note(|engine| Event::Classes(engine.classes.iter().map(|(name, ..)| name.clone()).collect()));
    }

    pub(super) fn note_set_up(
        &mut self,
        id: CallId,
        dest: Number,
        transit_from: Option<Number>,
        was_cut: bool,
    ) {
        self.note(|engine| {
            let call = &engine.calls[&id];
            let class = engine.classes.iter().position(|(name, ..)| *name == call.class);
            Event::SetUp {
                call: recorded(call.name),
                class: class.unwrap_or_default() as u8,
                dest,
                transit_from,
                remaining_ms: since(engine.now, call.deadline).as_millis() as u32,
                was_cut,
                front: match call.front {
                    Front::JsonLines => RecordedFront::JsonLines,
                    Front::Iax2 => RecordedFront::Iax2,
                },
            }
        });
    }

    fn number_of(&self, id: ExchangeId) -> u32 {
        self.peers.get(&id).map_or(u32::MAX, |peer| peer.number)
    }

    pub(super) fn note_attempt(&mut self, id: CallId, to: ExchangeId, awaits_connection: bool) {
        self.note(|engine| {
            let call = &engine.calls[&id];
            let attempt = call.attempts.min(255) as u8;
            Event::Attempt {
                call: recorded(call.name),
                attempt,
                exchange: engine.number_of(to),
                awaits_connection,
            }
        });
    }

    /// An attempt has ended without setting the call up.
    pub(super) fn note_attempt_end(
        &mut self,
        id: CallId,
        to: ExchangeId,
        (outcome, reason): (Outcome, Reason),
        took: Duration,
    ) {
        let (outcome, reason) = (outcome_of(outcome), cause_of(reason));
        if let Some(call) = self.calls.get_mut(&id) {
            call.last_end = Some((outcome, reason));
        }
        self.note(|engine| {
            let call = &engine.calls[&id];
            let (attempt, elapsed_us) = (call.attempts.min(255) as u8, micros(took));
            let (call, exchange) = (recorded(call.name), engine.number_of(to));
            Event::AttemptEnded { call, attempt, exchange, outcome, reason, elapsed_us }
        });
    }

    pub(super) fn note_answer(&mut self, id: CallId, at: ExchangeId) {
        self.note(|engine| {
            let call = &engine.calls[&id];
            let elapsed_us = micros(since(call.came, engine.now));
            Event::Answered { call: recorded(call.name), exchange: engine.number_of(at), elapsed_us }
        });
    }

    /// The decisions turned a call away.
    pub(super) fn note_refused(&mut self, call: &Call, wait: Duration) {
        let why = match call.last_end {
            Some((outcome, cause)) => RefusalReason::AfterAttempt(outcome, cause),
            None if self.lacks_circuits(call) => RefusalReason::NoCircuit,
            None => RefusalReason::Shed,
        };
        self.note_refusal(call.name, why, wait);
    }

    pub(super) fn note_refusal(&mut self, name: CallUid, reason: RefusalReason, wait: Duration) {
        self.figures.count_refusal(reason.label());
        let retry_after_ms = wait.as_millis() as u32;
        self.note(|_| Event::Refused { call: recorded(name), reason, retry_after_ms });
    }

    /// Whether the group straight to a call's exchange has too few circuits free for it, as last heard.
    fn lacks_circuits(&self, call: &Call) -> bool {
        let free = self.peers.values().filter(|peer| peer.number == call.dest).filter_map(|peer| peer.group);
        free.map(|(free, _)| free).min().is_some_and(|free| f64::from(free) < call.width)
    }

    pub(super) fn note_failed(&mut self, call: &Call, busy: bool) {
        let why = match call.last_end {
            _ if busy => FailureReason::Busy,
            Some((outcome, cause)) => FailureReason::AfterAttempt(outcome, cause),
            None => FailureReason::NoRoute,
        };
        self.note_failure(call.name, why);
    }

    pub(super) fn note_failure(&mut self, name: CallUid, reason: FailureReason) {
        self.note(|_| Event::Failed { call: recorded(name), reason });
    }

    pub(super) fn note_given_up(&mut self, id: CallId) {
        self.note(|engine| Event::Abandoned { call: recorded(engine.calls[&id].name) });
    }

    pub(super) fn note_released(&mut self, name: CallUid, at: Option<ExchangeId>, by: ReleasedBy, cut: bool) {
        self.note(|engine| {
            let exchange = at.map(|id| engine.number_of(id));
            Event::Released { call: recorded(name), exchange, by, cut }
        });
    }

    /// Notes what the list says of an exchange, as it now stands.
    pub(super) fn note_exchange(&mut self, id: ExchangeId) {
        self.note(|engine| {
            let peer = &engine.peers[&id];
            Event::Exchange {
                exchange: peer.number,
                name: peer.name.to_string(),
                zone: peer.zone,
                readiness: listing(peer.readiness),
                started_us: peer.born.map_or(0, unix_micros),
            }
        });
    }

    /// Whether the list says something else of an exchange than it did.
    pub(super) fn differs(&self, id: ExchangeId, entry: &ListEntry) -> bool {
        self.peers.get(&id).is_none_or(|peer| {
            (peer.readiness, peer.number, peer.zone, peer.born)
                != (entry.readiness, entry.number, entry.zone, entry.started_at)
        })
    }

    pub(super) fn note_group(&mut self, id: ExchangeId) {
        self.note(|engine| {
            let (free, total) = engine.peers[&id].group.unwrap_or_default();
            Event::Group { exchange: engine.peers[&id].number, free, total }
        });
    }

    pub(super) fn note_way(&mut self, id: ExchangeId, change: ConnectionChange) {
        self.note(|engine| Event::ExchangeConnection { exchange: engine.number_of(id), change });
    }

    /// The process ends; noted once.
    pub(super) fn note_stopped(&mut self) {
        if !std::mem::replace(&mut self.notes.stopped, true) {
            self.note(|_| Event::Stopped);
        }
    }

    pub(super) fn note_drain(&mut self, on: bool, by: DrainSource) {
        self.note(|_| Event::Drain { on, by });
    }

    /// Notes what the decisions believe of each exchange, and where that has crossed a line.
    pub(super) fn note_beliefs(&mut self) {
        self.set_timer(BELIEFS_EVERY, Timer::Beliefs);
        let open = self.links.len();
        if std::mem::replace(&mut self.notes.links, open) != open {
            self.note(|_| Event::CallerConnections { open: open as u32 });
        }
        let others =
            |peer: &&super::Peer| peer.readiness != Readiness::Removed && Some(peer.number) != self.home;
        let listed: Vec<(ExchangeId, u32)> =
            self.peers.iter().filter(|(_, peer)| others(peer)).map(|(id, peer)| (*id, peer.number)).collect();
        let counts = self.calls_by_exchange();
        let mut avoided = Vec::with_capacity(listed.len());
        for (id, exchange) in listed {
            let is = self.module.avoids(id);
            let was = self.notes.avoided.iter().any(|(known, avoided)| *known == id && *avoided);
            if is != was {
                self.note(|_| Event::Avoidance { exchange, avoided: is });
            }
            avoided.push((id, is));
            let expected_ms = whole_millis(self.module.expected_delay_ms(id));
            let open_attempts = counts.get(&id).map_or(0, |(open_attempts, _)| *open_attempts) as u32;
            self.note(|_| Event::ExpectedDelay { exchange, expected_ms, open_attempts });
        }
        self.notes.avoided = avoided;
    }
}
