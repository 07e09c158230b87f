//! The decision module: admission and route choice for every call, and what it learns for them. Its input and
//! output types are in `interface.rs`.
//!
//! A reply is anything that an exchange sends back for a set-up: an answer (the call is established) or a
//! refusal. The delay of an exchange is a weighted mean of the recent reply times there. A peer is another
//! softswitch.
//!
//! Order of this file: constants, state, events, calls, route choice, admission, learning, maintenance. All
//! times are in ms on the host's clock. Time comes only from events and randomness only from the seed, so
//! equal inputs give equal outputs.

pub mod learned;

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use thiserror::Error;

use crate::interface::{
    Action, CallId, Class, Event, ExchangeId, ListUpdateKind, ListedExchange, LoadReport, NewCall, Number,
    Outcome, Readiness, Reason, ReportField, Settings,
};

/// Maximum number of tandems sampled at random for a call that cannot go direct, or of pools for a call that
/// its first choice cannot take. The routing design prescribes 2.
const MAX_SAMPLES: usize = 2;
/// The same limit where the settings allow messages to peers. Each tandem is then judged on both legs, and in
/// a large mesh two samples are too often both short of circuits. Without such messages, more samples would
/// only concentrate the calls on the tandems whose own groups have the most free circuits.
const MAX_SAMPLES_WITH_PEER_MESSAGES: usize = 6;
/// Fraction of the tandems, those with the best success ratio, that samples are drawn from where the settings
/// allow no messages to peers and no tandem with free circuits has carried a call to the destination. One
/// eighth concentrates the calls on a few tandems.
const BEST_RATIO_FRACTION: f64 = 1.0 / 3.0;
/// Size of the group to a tandem, in circuits, at which its success ratio before any call is taken as one
/// half; a larger group gives a higher ratio. Exchanges with large groups have groups to most others; small
/// groups leave no circuits beyond the reserve.
const NEUTRAL_GROUP_CIRCUITS: f64 = 10.0;
/// Factor on the success ratio of a tandem outside the destination's zone. Traffic is heavier inside a zone,
/// so an exchange has groups to exchanges of other zones less often.
const OTHER_ZONE_FACTOR: f64 = 0.7;
/// Circuits beyond its width that must be free on the onward group for a call in transit; the routing design
/// prescribes 2. A call over a tandem leaves them free on the second leg, and an overflow call on the first
/// leg too.
const TRANSIT_RESERVE_CIRCUITS: f64 = 2.0;
/// Time for which a peer's report of its free circuits is valid, in ms; the routing design prescribes 10 s.
const LEG_REPORT_VALID_MS: f64 = 10_000.0;
/// Time for which a second leg counts as full after a crank-back, in ms; the routing design prescribes 10 s.
const LEG_FULL_MS: f64 = 10_000.0;
/// Time for which a second leg counts as absent, in ms. The time is limited because a full group can be
/// mistaken for an absent one.
const LEG_ABSENT_MS: f64 = 60_000.0;
/// Half-life, in ms, of the common delay, and of the difference between the delay of an exchange and the
/// common delay, while they are not updated.
const DELAY_HALF_LIFE_MS: f64 = 1_000.0;
/// Weight of a new reply time in the delay of an exchange: a few calls outweigh one outlier.
const DELAY_WEIGHT: f64 = 0.4;
/// The same weight for a reply time that is shorter than a delay learned from an attempt without a reply.
const RECOVERY_DELAY_WEIGHT: f64 = 0.7;
/// Lowest delay of an exchange after it reported a full processor, in target set-up times of the call.
const FULL_PROCESSOR_DELAY_TARGETS: f64 = 2.0;
/// Weight in the common delay of a reply time that is longer than that delay. It is lower than the weight of
/// shorter ones, so a few slow exchanges hardly raise the common delay.
const COMMON_DELAY_RISE_WEIGHT: f64 = 0.03;
/// Weight in the common delay of a reply time that is not longer than that delay.
const COMMON_DELAY_FALL_WEIGHT: f64 = 0.1;
/// Expected wait, or backlog of the own processor, at which a call of the class with the highest worth is
/// shed: a fraction of its target set-up time, or of the time until its deadline if that is shorter. The wait
/// is the expected set-up time beyond the shortest one seen. Above this limit, the call would be established
/// too late to have its full worth and would only add to the overload.
const MAX_WAIT_FRACTION_TOP_WORTH: f64 = 0.4;
/// The same limit for a class without worth; the limits of the other classes lie in between.
const MAX_WAIT_FRACTION_NO_WORTH: f64 = 0.15;
/// Circuits of a recently full group that a call of a class without worth leaves free, before rounding. After
/// rounding, that is 2 without worth, 1 for up to two thirds of the highest worth per circuit and ms, and 0
/// above.
const WORTH_RESERVE_SCALE_CIRCUITS: f64 = 1.5;
/// Time for which a group counts as recently full after a load report showed less than one free circuit, in
/// ms. A refusal for lack of a circuit does not count. A longer time would block calls of low worth.
const RECENTLY_FULL_MS: f64 = 3_000.0;
/// Retry-after of a refused call, as a fraction of its target set-up time: two redials then fit into that
/// time.
const RETRY_AFTER_FRACTION: f64 = 0.3;
/// Time for which no call is sent to a number after a call found all its lines busy, in ms (call gapping).
const CALL_GAP_MS: f64 = 5_000.0;
/// Number of open attempts that is subtracted from the backlog: up to this many are open at the same time by
/// chance.
const ATTEMPTS_WITHOUT_BACKLOG: usize = 4;
/// Age from which an open attempt does not count as backlog, in ms. By then it shows that the remote exchange
/// does not reply, not that the own processor is loaded. When such attempts counted, set-ups that hung at one
/// dead exchange blocked the calls to all others.
const MAX_BACKLOG_AGE_MS: f64 = 1_000.0;
/// Shortest time from the last attempt at a silent exchange (see `trial_due`) to a trial call there, in ms.
/// Each trial since the last reply doubles it, up to 1.6 s. A trial costs little, because the call would be
/// refused otherwise, and nothing else shows that the exchange replies again.
const MIN_TRIAL_INTERVAL_MS: f64 = 100.0;
/// Maximum number of trials that double the interval between trial calls.
const MAX_TRIAL_DOUBLINGS: u32 = 4;
/// Time after which a reply counts as lost, in delays of the exchange.
const LOST_REPLY_DELAYS: f64 = 3.0;
/// Shortest and longest time after which a reply counts as lost, in ms.
const LOST_REPLY_RANGE_MS: (f64, f64) = (350.0, 2_500.0);
/// Time constant of the send rates, in ms: it covers several calls to each exchange and is much shorter than
/// the time in which traffic shifts.
const RATE_TIME_CONSTANT_MS: f64 = 8_000.0;
/// Shortest time between two rounds of peer messages, in ms. Each message takes processor time at its
/// receivers, and what it reports is valid for 10 s.
const MIN_PEER_MESSAGE_INTERVAL_MS: f64 = 5_000.0;
/// First byte of a peer message; a message of another version is ignored.
const PEER_MESSAGE_VERSION: u8 = 2;
/// Maximum count of exchange numbers in a peer message, which holds 256 bytes: a header of 7 bytes, then one
/// byte for each exchange number.
const MAX_NUMBERS_PER_PEER_MESSAGE: usize = 249;
/// Value in a peer message for an exchange number that the sender has no group to, that is its own, or that
/// is not in its list. Values below `UNKNOWN_GROUP` are counts of free circuits.
const NO_GROUP: u8 = 255;
/// Value in a peer message for an exchange number whose group has not been reported to the sender yet.
const UNKNOWN_GROUP: u8 = 254;
/// Time after which an exchange that is not ready is removed from the state, in ms.
const NOT_READY_RETENTION_MS: f64 = 60_000.0;
/// Fraction of the set-up rate permitted to a cold exchange (see `cold_credit`) that is used; the rest allows
/// for chance and for differences between clocks.
const COLD_RATE_FRACTION: f64 = 0.8;
/// Maximum cold credit, as a fraction of the set-ups that the used rate gives in one overload duration. As
/// 0.8 * (1 + 0.25) = 1, no period of that duration contains more set-ups than the permitted rate gives,
/// except where the maximum would be below one set-up: it is at least 1.
const MAX_COLD_BURST_FRACTION: f64 = 0.25;
/// Shortest remaining time of a call in which a further attempt can still be answered, in ms: one network
/// round trip.
const MIN_REMAINING_MS: f64 = 50.0;
/// Shortest time between two subscriptions to the list while the subscription is broken, in ms.
const MIN_SUBSCRIBE_INTERVAL_MS: f64 = 1_000.0;
/// Time between two runs of the maintenance, in ms.
const MAINTENANCE_INTERVAL_MS: f64 = 1_000.0;
/// Timer tag of the maintenance; lower tags are call ids.
const MAINTENANCE_TAG: u64 = 1 << 32;

/// Settings that no decision can be made with.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("invalid settings: {0}")]
pub struct SettingsError(&'static str);

/// State of a call until it ends; a call that has ended is not stored.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// A decision is due and no attempt is open.
    Deciding,
    /// One attempt is open, to this exchange.
    Attempting { to: ExchangeId },
    /// No attempt is open, but the circuits of the last one may be in use until this time.
    Releasing { until: f64 },
    /// The call is established and needs no action until it ends.
    Established,
}

/// The end of an attempt that did not establish its call.
#[derive(Clone, Copy, Debug)]
struct AttemptEnd {
    call: CallId,
    exchange: ExchangeId,
    outcome: Outcome,
    reason: Reason,
    /// Time since the attempt was sent.
    elapsed_ms: f64,
    /// Whether the call has ended with it.
    call_closed: bool,
}

#[derive(Clone, Debug)]
struct Call {
    /// Index into `Settings::classes`.
    class: usize,
    /// Circuits that it takes.
    width: f64,
    /// Number of the destination exchange, or of the first choice among the pools.
    dest: Number,
    /// The number called; 0 for none.
    called_number: u64,
    /// When the caller stops waiting, in ms.
    deadline: f64,
    /// Whether it comes from another exchange and not from an own caller.
    in_transit: bool,
    /// Attempts made so far.
    attempts: u32,
    /// Exchanges that it is not sent to again.
    excluded: BTreeSet<ExchangeId>,
    /// Whether an exchange may have set the call up in an attempt that ended without an answer.
    may_be_set_up: bool,
    phase: Phase,
}

/// What is known of the group between a tandem and a destination, the second leg of a route.
#[derive(Clone, Copy, Debug, Default)]
struct Leg {
    /// Free circuits that the peer reported, and when its message arrived.
    reported: Option<(f64, f64)>,
    /// Until when it counts as full after a crank-back.
    full_until: f64,
    /// Until when it counts as absent: the peer reported no group, or cranked a call back before any was
    /// established over it and before any report of it.
    absent_until: f64,
    /// Whether a call of this softswitch was established over it.
    has_carried: bool,
}

/// What is known of one exchange.
#[derive(Clone, Debug)]
struct Exchange {
    number: Number,
    zone: u16,
    /// When its processor last started; 0 for long ago.
    started_ms: f64,
    /// Whether it is draining or removed from the list.
    not_ready: bool,
    /// When its readiness was last set.
    readiness_at: f64,
    /// Calls of this softswitch that were established over it as a tandem.
    carried: f64,
    /// Calls that it cranked back.
    cranked_back: f64,
    /// Time stamp of its last message, and when that message arrived.
    last_message: Option<(u16, f64)>,
    /// Free circuits of the group to it; `None` until they are reported.
    free_circuits: Option<f64>,
    /// Circuits of the group to it.
    total_circuits: f64,
    /// When a load report last showed less than one free circuit of its group.
    full_at: f64,
    /// Weighted mean of the recent reply times, in ms; attempts that timed out or were cancelled count with
    /// their duration.
    delay: f64,
    /// When the delay was last updated.
    delay_at: f64,
    /// Whether the delay comes from an attempt that ended without a reply. The next shorter reply time then
    /// has a higher weight.
    delay_without_reply: bool,
    /// When the last attempt was sent there.
    last_sent_at: f64,
    /// Shortest set-up time of a call sent to it or over it, in ms; `f64::MAX` until there is one. It stands
    /// for the travel time of the messages, which stays the same however many calls are shed. It never rises.
    min_setup_ms: f64,
    /// Open attempts, with the time at which each was sent.
    open_attempts: BTreeMap<CallId, f64>,
    /// When the latest attempt with a reply was sent.
    replied_sent_at: f64,
    /// When the last reply came.
    last_reply_at: f64,
    /// Trial calls since the last reply.
    trials: u32,
    /// Own set-ups per second to it before it last started. Set-ups sent while it is cold do not raise it,
    /// since they would raise the cold credit.
    usual_rate: f64,
    /// Cold credit: set-ups that may still be sent to it while it is cold, as of `cold_credit_at`.
    cold_credit: f64,
    /// When the credit was computed.
    cold_credit_at: f64,
}

impl Exchange {
    /// When the oldest open attempt that may still get a reply was sent; `now` if there is none. A processor
    /// replies in order, so once a later attempt has a reply, the reply to an earlier one is lost, and the
    /// age of that attempt is no wait. When lost replies counted as a wait, each of them excluded its
    /// exchange for seconds.
    fn oldest_open_attempt_at(&self, now: f64) -> f64 {
        self.open_attempts.values().filter(|at| **at > self.replied_sent_at).fold(now, |a, b| a.min(*b))
    }

    /// Time after which a missing reply counts as lost, in ms.
    fn lost_reply_ms(&self) -> f64 {
        (LOST_REPLY_DELAYS * self.delay).clamp(LOST_REPLY_RANGE_MS.0, LOST_REPLY_RANGE_MS.1)
    }
}

/// The decision module of one softswitch. It keeps five rules:
///
/// 1. Every call gets one final outcome, in time, and nothing is sent for it afterwards.
/// 2. A call has at most one open attempt.
/// 3. No set-up goes to an exchange that is draining or removed.
/// 4. All softswitches together load a cold exchange less than the overload at which it fails.
/// 5. After a time-out, reset or cancel, a call is sent again only after the release pause.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
    /// Number of processes of this softswitch (two during a replacement): each may use its part of the cold
    /// credits.
    process_count: f64,
    rng: Pcg64Mcg,
    /// Time of the last event, in ms.
    now: f64,
    /// Whether the maintenance has been started.
    started: bool,
    /// Whether a subscription to the list has been requested and is not known to be broken.
    subscribed: bool,
    /// When the last subscription was requested.
    subscribed_at: f64,
    /// When messages were last sent to the peers.
    peer_messages_at: f64,
    calls: BTreeMap<CallId, Call>,
    exchanges: BTreeMap<ExchangeId, Exchange>,
    /// Own set-ups per second to each exchange number, and when that rate was computed.
    send_rates: BTreeMap<Number, (f64, f64)>,
    /// The ready exchange with each number; among several, the one that started last.
    ready_by_number: BTreeMap<Number, ExchangeId>,
    /// Second legs, by tandem and destination.
    legs: BTreeMap<(Number, Number), Leg>,
    /// Until when no call goes to a number of which all lines were busy.
    gapped_until: BTreeMap<u64, f64>,
    /// Common delay, in ms: a weighted mean, over all exchanges, of the same durations as in
    /// `Exchange::delay`. It rises slowly and falls faster, so it lies near the shorter ones, and stands for
    /// the part that does not depend on the exchange: the delay at the own processor.
    common_delay: f64,
    /// When the common delay was last updated.
    common_delay_at: f64,
    /// Highest worth of a class per circuit and ms.
    max_worth_per_circuit_ms: f64,
    /// Highest worth of a class per call.
    max_worth: f64,
}

impl Controller {
    /// Creates a controller that has learned nothing.
    ///
    /// # Errors
    /// If the settings are invalid; the error says which.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let (max_worth_per_circuit_ms, max_worth) = checked_max_worths(&settings)?;
        Ok(Self {
            process_count: 1.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            started: false,
            subscribed: false,
            subscribed_at: f64::MIN,
            peer_messages_at: f64::MIN,
            calls: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            send_rates: BTreeMap::new(),
            ready_by_number: BTreeMap::new(),
            legs: BTreeMap::new(),
            gapped_until: BTreeMap::new(),
            common_delay: 0.0,
            common_delay_at: 0.0,
            max_worth_per_circuit_ms,
            max_worth,
            settings,
        })
    }

    /// Continues with other settings; calls and learned values are kept. `new_classes` has, for each class of
    /// the old settings, its index in the new ones, or `None`: calls of such a class get the first class.
    ///
    /// # Errors
    /// If the new settings are invalid; the old ones then stay in force.
    pub fn reconfigure(
        &mut self,
        settings: Settings,
        new_classes: &[Option<usize>],
    ) -> Result<(), SettingsError> {
        (self.max_worth_per_circuit_ms, self.max_worth) = checked_max_worths(&settings)?;
        for call in self.calls.values_mut() {
            let new_class = new_classes.get(call.class).copied().flatten().unwrap_or(0);
            call.class = new_class.min(settings.classes.len() - 1);
        }
        self.settings = settings;
        Ok(())
    }

    /// Sets the number of processes that this softswitch consists of: they share the cold credits.
    pub fn set_process_count(&mut self, processes: u8) {
        self.process_count = f64::from(processes.max(1));
    }

    /// Handles one event at the time `now` (in ms) and appends the resulting actions.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.started {
            self.started = true;
            self.maintain(actions);
        }
        match event {
            Event::List { kind, entries } => self.apply_list(kind, &entries),
            Event::Call(call) => self.accept_call(call, actions),
            Event::Answered { call, attempt, exchange, elapsed_ms } => {
                self.close_attempt(call, exchange, elapsed_ms, true);
                if let Some(target) = self.exchanges.get_mut(&exchange).filter(|_| elapsed_ms > 0.0) {
                    target.min_setup_ms = target.min_setup_ms.min(elapsed_ms);
                }
                if let Some(state) = self.calls.get_mut(&call).filter(|state| state.attempts == attempt + 1) {
                    state.phase = Phase::Established;
                    if let Some(tandem) = self.exchanges.get_mut(&exchange).filter(|e| e.number != state.dest)
                    {
                        tandem.carried += 1.0;
                        self.legs.entry((tandem.number, state.dest)).or_default().has_carried = true;
                    }
                }
            }
            Event::AttemptEnded {
                call,
                attempt,
                exchange,
                outcome,
                reason,
                elapsed_ms,
                call_closed,
                report,
            } => {
                self.apply_load_report(exchange, report.as_ref());
                if self.calls.get(&call).is_none_or(|state| state.attempts == attempt + 1) {
                    let end = AttemptEnd { call, exchange, outcome, reason, elapsed_ms, call_closed };
                    self.end_attempt(&end, actions);
                }
            }
            Event::Abandoned { call } => self.drop_call(call),
            Event::TimerExpired { tag: MAINTENANCE_TAG } => self.maintain(actions),
            Event::TimerExpired { tag } => self.end_release_pause(tag, actions),
            Event::ProbeResult { exchange, report, .. } => self.apply_load_report(exchange, report.as_ref()),
            Event::PeerMessage { bytes, .. } => self.apply_peer_message(&bytes),
        }
    }

    // ---- calls: each has one state, and only `end_call` refuses or fails it ----

    fn accept_call(&mut self, new: NewCall, actions: &mut Vec<Action>) {
        let remaining = if new.remaining_ms.is_finite() { new.remaining_ms.max(0.0) } else { 0.0 };
        let call = Call {
            class: new.class.min(self.settings.classes.len() - 1),
            width: if new.width.is_finite() { new.width.max(0.0) } else { f64::MAX },
            dest: new.dest,
            called_number: new.called_number,
            deadline: self.now + remaining,
            in_transit: new.transit_from.is_some(),
            attempts: 0,
            excluded: BTreeSet::new(),
            may_be_set_up: false,
            phase: Phase::Deciding,
        };
        self.calls.insert(new.call, call);
        self.decide(new.call, actions);
    }

    /// Sends the call to an exchange, or ends it as refused or failed.
    fn decide(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let remaining = call.deadline - self.now;
        let retry_barred = call.may_be_set_up && !self.settings.classes[call.class].idempotent;
        if remaining < MIN_REMAINING_MS
            || self.is_gapped(call)
            || call.attempts >= self.settings.attempt_limit
            || retry_barred
        {
            return self.end_call(id, actions);
        }
        match self.choose_route(id) {
            Some(to) => self.send_attempt(id, to, actions),
            None => self.end_call(id, actions),
        }
    }

    /// Reports the final outcome of a call that is not established: failed if an exchange may have set it up,
    /// else refused. No attempt may be open for it.
    fn end_call(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        if call.may_be_set_up {
            actions.push(Action::Fail { call: id });
        } else {
            let target_setup_ms = self.settings.classes[call.class].target_setup_ms;
            let redial_ms =
                if self.is_gapped(&call) { f64::MAX } else { RETRY_AFTER_FRACTION * target_setup_ms };
            let retry_after_ms = redial_ms.min(self.settings.max_retry_after_ms);
            actions.push(Action::Refuse { call: id, retry_after_ms });
        }
    }

    /// The only place that sends set-ups. Afterwards the call has exactly one open attempt, and one set-up is
    /// subtracted from the cold credit of the exchange. The exchange must be ready.
    fn send_attempt(&mut self, id: CallId, to: ExchangeId, actions: &mut Vec<Action>) {
        let now = self.now;
        let credit = self.exchanges.get(&to).map_or(0.0, |e| self.cold_credit(e));
        let trial = self.trial_due(to);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(exchange) = self.exchanges.get_mut(&to) else { return };
        debug_assert!(call.phase == Phase::Deciding && !exchange.not_ready);
        call.phase = Phase::Attempting { to };
        call.attempts += 1;
        call.excluded.insert(to);
        exchange.open_attempts.insert(id, now);
        exchange.last_sent_at = now;
        exchange.trials += u32::from(trial);
        (exchange.cold_credit, exchange.cold_credit_at) = (credit - 1.0, now);
        if let Some(free) = &mut exchange.free_circuits {
            *free -= call.width;
        }
        let rate = self.send_rates.entry(exchange.number).or_insert((0.0, now));
        *rate = (decayed_rate(*rate, now) + 1_000.0 / RATE_TIME_CONSTANT_MS, now);
        actions.push(Action::Send { call: id, exchange: to, timeout_ms: call.deadline - now });
    }

    /// Removes an attempt from the open ones of its exchange and learns from its duration. `replied` says
    /// whether the exchange sent a reply. The duration counts only if no attempt that was sent later got a
    /// reply meanwhile.
    fn close_attempt(&mut self, id: CallId, at: ExchangeId, elapsed_ms: f64, replied: bool) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(&at) else { return };
        let Some(sent) = exchange.open_attempts.remove(&id) else { return };
        let counts = if replied { sent >= exchange.replied_sent_at } else { sent > exchange.replied_sent_at };
        if replied {
            exchange.replied_sent_at = exchange.replied_sent_at.max(sent);
            (exchange.last_reply_at, exchange.trials) = (now, 0);
        }
        let common = decayed_delay(self.common_delay, now - self.common_delay_at);
        let old = common + decayed_delay(exchange.delay - common, now - exchange.delay_at);
        // Without a reply the delay is longer than the attempt was open: a short one says nothing.
        let counts = counts && (replied || elapsed_ms >= old);
        if counts && elapsed_ms.is_finite() {
            let weight = if replied && exchange.delay_without_reply && elapsed_ms < old {
                RECOVERY_DELAY_WEIGHT
            } else {
                DELAY_WEIGHT
            };
            exchange.delay = old + weight * (elapsed_ms - old);
            exchange.delay_without_reply = !replied;
            exchange.delay_at = now;
            let weight =
                if elapsed_ms > common { COMMON_DELAY_RISE_WEIGHT } else { COMMON_DELAY_FALL_WEIGHT };
            self.common_delay = common + weight * (elapsed_ms - common);
            self.common_delay_at = now;
        }
    }

    /// Learns from the end of an attempt and decides how its call continues.
    fn end_attempt(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        self.forget_open_attempt(end);
        let AttemptEnd { call: id, exchange: at, outcome, .. } = *end;
        let Some(call) = self.calls.get_mut(&id) else { return };
        if end.call_closed {
            return self.drop_call(id);
        }
        if call.phase != (Phase::Attempting { to: at }) {
            return;
        }
        call.phase = Phase::Deciding;
        call.may_be_set_up |=
            !matches!(outcome, Outcome::Congested | Outcome::NoConnection | Outcome::NotSent);
        // The call may be sent to the same exchange again. After a reset mostly the connection failed: an
        // exchange that has died refuses the next attempt, and any other can be reached as before. After a
        // signalling fault the next attempt may succeed (see `continue_call`).
        if matches!(outcome, Outcome::Reset | Outcome::Cancelled | Outcome::Busy) {
            call.excluded.remove(&at);
        }
        let call = call.clone();
        self.learn_from_reason(end, &call);
        self.continue_call(end, &call, actions);
    }

    /// Removes an attempt from the open ones of its exchange, and learns from its duration if that shows the
    /// delay of the exchange.
    fn forget_open_attempt(&mut self, end: &AttemptEnd) {
        let AttemptEnd { call: id, exchange: at, outcome, .. } = *end;
        let was_open = self.exchanges.get(&at).is_some_and(|e| e.open_attempts.contains_key(&id));
        // A connection that is refused takes no time, and one that breaks does so at any time: neither shows
        // the delay of a processor.
        if was_open && !matches!(outcome, Outcome::NotSent | Outcome::NoConnection | Outcome::Reset) {
            let replied = !matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
            self.close_attempt(id, at, end.elapsed_ms, replied);
        } else if let Some(exchange) = self.exchanges.get_mut(&at) {
            exchange.open_attempts.remove(&id);
        }
    }

    /// Learns from the reason of the end of an attempt what it says about groups, legs and processors.
    fn learn_from_reason(&mut self, end: &AttemptEnd, call: &Call) {
        let number = self.exchanges.get(&end.exchange).map_or(Number::MAX, |e| e.number);
        if end.reason == Reason::CrankBack {
            self.learn_from_crank_back(end.exchange, number, call.dest);
        }
        let Some(exchange) = self.exchanges.get_mut(&end.exchange) else { return };
        // The circuits were subtracted at the send and are given back: nothing was sent, and no load report
        // corrects the count, because reports arrive on the connection that failed. Without this the group
        // would look full after some calls, fewer calls would be sent there, and the usual send rate, which
        // sets the cold credit, would be too low.
        if end.outcome == Outcome::NoConnection
            && let Some(free) = exchange.free_circuits.as_mut()
        {
            *free += call.width;
        }
        match end.reason {
            Reason::NoCircuit => {
                // The group had fewer free circuits than the call takes.
                let max_free = (call.width - 1.0).max(0.0);
                exchange.free_circuits = Some(exchange.free_circuits.unwrap_or(0.0).clamp(0.0, max_free));
            }
            Reason::ProcessorFull(wait) => {
                let target_setup_ms = self.settings.classes[call.class].target_setup_ms;
                let least = FULL_PROCESSOR_DELAY_TARGETS * target_setup_ms;
                exchange.delay = exchange.delay.max(wait).max(least);
                exchange.delay_at = self.now;
            }
            _ => {}
        }
    }

    /// Learns that a tandem has turned a call back: its leg to the destination is full, or there is none.
    fn learn_from_crank_back(&mut self, tandem: ExchangeId, number: Number, dest: Number) {
        if let Some(tandem) = self.exchanges.get_mut(&tandem) {
            tandem.cranked_back += 1.0;
        }
        let leg = self.legs.entry((number, dest)).or_default();
        leg.full_until = self.now + LEG_FULL_MS;
        if !leg.has_carried && leg.reported.is_none() {
            leg.absent_until = self.now + LEG_ABSENT_MS;
        }
    }

    /// Decides how a call continues after the end of an attempt that did not establish it.
    fn continue_call(&mut self, end: &AttemptEnd, call: &Call, actions: &mut Vec<Action>) {
        match end.outcome {
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                self.pause_for_release(end.call, call, actions);
            }
            // Another attempt would find all lines of the number busy again, so the call ends. `Busy` for
            // another reason is a signalling fault, which the next attempt may not meet (one exchange replied
            // to four of five set-ups with one): the call is decided again, and ends there if its class is
            // not idempotent.
            Outcome::Busy if end.reason == Reason::UserBusy => {
                if call.called_number != 0 {
                    self.gapped_until.insert(call.called_number, self.now + CALL_GAP_MS);
                }
                self.end_call(end.call, actions);
            }
            _ => self.decide(end.call, actions),
        }
    }

    /// Begins the release pause of a call, or ends the call if there is no time for another attempt after it.
    fn pause_for_release(&mut self, id: CallId, call: &Call, actions: &mut Vec<Action>) {
        let until = self.now + self.settings.release_pause_ms;
        // A call in transit has no second route here. The exchange that it came from has one and must
        // learn of the failure at once.
        if call.in_transit || until + MIN_REMAINING_MS > call.deadline {
            return self.end_call(id, actions);
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.phase = Phase::Releasing { until };
        }
        actions.push(Action::SetTimer { delay_ms: self.settings.release_pause_ms, tag: u64::from(id) });
    }

    /// Decides again on a call whose release pause is over.
    fn end_release_pause(&mut self, tag: u64, actions: &mut Vec<Action>) {
        let Ok(id) = CallId::try_from(tag) else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        match call.phase {
            Phase::Releasing { until } if until <= self.now => {
                call.phase = Phase::Deciding;
                self.decide(id, actions);
            }
            Phase::Releasing { until } => {
                actions.push(Action::SetTimer { delay_ms: until - self.now, tag });
            }
            _ => {}
        }
    }

    /// Removes a call that needs no further action, and its open attempt.
    fn drop_call(&mut self, id: CallId) {
        if let Some(Call { phase: Phase::Attempting { to }, .. }) = self.calls.remove(&id)
            && let Some(exchange) = self.exchanges.get_mut(&to)
        {
            exchange.open_attempts.remove(&id);
        }
    }

    // ---- route choice ----

    /// The route of a call. It is direct if the own group has the call's width and the reserve free; the call
    /// is then sent there or shed, and goes over no tandem. Otherwise it is the sampled tandem with the most
    /// free circuits; a call in transit is refused instead.
    fn choose_route(&mut self, id: CallId) -> Option<ExchangeId> {
        let call = self.calls.get(&id)?.clone();
        if self.settings.home.is_none() {
            return self.choose_pool(&call);
        }
        let direct = self.usable(call.dest);
        let reserve = if call.in_transit {
            TRANSIT_RESERVE_CIRCUITS
        } else {
            direct.map_or(0.0, |to| self.worth_reserve(&call, to))
        };
        if let Some(to) = direct
            && !call.excluded.contains(&to)
            && self.free_circuits(to) >= call.width + reserve
        {
            return (self.admits(&call, &[to]) || self.trial_due(to)).then_some(to);
        }
        // No tandem leads to an exchange that is not ready or was never listed. A call that names the own
        // exchange as its destination reaches it over a tandem.
        let listed = self.ready_by_number.contains_key(&call.dest) || Some(call.dest) == self.settings.home;
        if call.in_transit || !listed {
            return None;
        }
        // A pair of exchanges without a group between them is planned to use a tandem: that is its first
        // route, not overflow. Only for overflow is the wait at the destination known, from direct calls.
        let overflow = direct.is_none_or(|to| self.may_have_group(to));
        let tandem = self.choose_tandem(&call, !overflow)?;
        let own_reserve =
            self.worth_reserve(&call, tandem) + if overflow { TRANSIT_RESERVE_CIRCUITS } else { 0.0 };
        let leaves_reserves = self.free_circuits(tandem) >= call.width + own_reserve
            && self.second_leg_circuits(tandem, call.dest) >= call.width + TRANSIT_RESERVE_CIRCUITS;
        let judged: Vec<ExchangeId> = direct.filter(|_| overflow).into_iter().chain([tandem]).collect();
        (leaves_reserves && self.admits(&call, &judged)).then_some(tandem)
    }

    /// Whether a group leads to this exchange; where none was reported yet, one may.
    fn may_have_group(&self, to: ExchangeId) -> bool {
        self.exchanges.get(&to).is_some_and(|e| e.free_circuits.is_none() || e.total_circuits > 0.0)
    }

    /// The tandem with the most free circuits among a few random candidates. Candidates have an own group and
    /// a second leg that is not known to be absent. While some candidates with free circuits have carried a
    /// call to the destination, only those are sampled; else, where the settings allow no messages to peers,
    /// only those with the best success ratio. A tandem has free circuits if its own group has the call's
    /// width free and its second leg the width and the transit reserve. Tandems without are candidates for
    /// overflow only, not for a `first_route`.
    fn choose_tandem(&mut self, call: &Call, first_route: bool) -> Option<ExchangeId> {
        let mut candidates = Vec::new();
        let mut proven = Vec::new();
        for (number, to) in self.ready_by_number.iter().filter(|(number, _)| **number != call.dest) {
            let leg = self.legs.get(&(*number, call.dest)).copied().unwrap_or_default();
            if self.usable(*number).is_none()
                || !self.may_have_group(*to)
                || call.excluded.contains(to)
                || leg.absent_until > self.now
            {
                continue;
            }
            let (own, second) = (self.free_circuits(*to), self.second_leg_circuits(*to, call.dest));
            let has_free_circuits = own >= call.width && second >= call.width + TRANSIT_RESERVE_CIRCUITS;
            if !has_free_circuits && first_route {
                continue;
            }
            if has_free_circuits && leg.has_carried {
                proven.push(*to);
            }
            candidates.push(*to);
        }
        if !proven.is_empty() {
            candidates = proven;
        } else if !self.settings.may_message_peers {
            let zone = self.ready_by_number.get(&call.dest).map(|id| self.exchanges[id].zone);
            let success_ratio = |to: &ExchangeId| {
                let e = &self.exchanges[to];
                let zone_factor = if Some(e.zone) == zone { 1.0 } else { OTHER_ZONE_FACTOR };
                zone_factor * (e.carried + e.total_circuits / (e.total_circuits + NEUTRAL_GROUP_CIRCUITS))
                    / (e.carried + e.cranked_back + 1.0)
            };
            candidates.shuffle(&mut self.rng);
            candidates.sort_by(|a, b| success_ratio(b).total_cmp(&success_ratio(a)));
            candidates
                .truncate(((candidates.len() as f64 * BEST_RATIO_FRACTION).ceil() as usize).max(MAX_SAMPLES));
        }
        self.best_of_sample(candidates, |this, picked| this.route_rank(picked, call.dest))
            .map(|(_, picked)| picked)
    }

    /// The best of a few random candidates, by free circuits and then by size of the group or pool (the
    /// rank), with its rank; on ties the one that was drawn first.
    fn best_of_sample(
        &mut self,
        mut candidates: Vec<ExchangeId>,
        rank: impl Fn(&Self, ExchangeId) -> (f64, f64),
    ) -> Option<((f64, f64), ExchangeId)> {
        let mut best: Option<((f64, f64), ExchangeId)> = None;
        let samples =
            if self.settings.may_message_peers { MAX_SAMPLES_WITH_PEER_MESSAGES } else { MAX_SAMPLES };
        for _ in 0..samples.min(candidates.len()) {
            let picked = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
            let picked_rank = rank(self, picked);
            if best.is_none_or(|(top, _)| picked_rank > top) {
                best = Some((picked_rank, picked));
            }
        }
        best
    }

    /// Pools: the first choice while it has free circuits, else the pool with the most free circuits among a
    /// few random ones that serve the class.
    fn choose_pool(&mut self, call: &Call) -> Option<ExchangeId> {
        if let Some(first) = self.usable(call.dest)
            && !call.excluded.contains(&first)
            && self.free_circuits(first) >= call.width
        {
            return self.admits(call, &[first]).then_some(first);
        }
        let serving = &self.settings.classes[call.class].pools;
        let candidates: Vec<ExchangeId> = self
            .exchanges
            .iter()
            .filter(|(id, e)| e.number != call.dest && !call.excluded.contains(id))
            .filter(|(_, e)| serving.contains(&e.number))
            .filter_map(|(_, e)| self.usable(e.number))
            .collect();
        let size = |this: &Self, picked| this.exchanges.get(&picked).map_or(0.0, |e| e.total_circuits);
        let (rank, picked) =
            self.best_of_sample(candidates, |this, picked| (this.free_circuits(picked), size(this, picked)))?;
        (rank.0 >= call.width && self.admits(call, &[picked])).then_some(picked)
    }

    /// The ready exchange with this number, unless it is the own one or its cold credit is used up. A call
    /// can name the own exchange as its destination (seen while other softswitches were down and their
    /// callers came here). No group leads to the own exchange, so such a call can only go over tandems.
    fn usable(&self, number: Number) -> Option<ExchangeId> {
        if Some(number) == self.settings.home {
            return None;
        }
        let id = *self.ready_by_number.get(&number)?;
        let exchange = self.exchanges.get(&id)?;
        (self.cold_credit(exchange) >= 1.0).then_some(id)
    }

    /// Free circuits of the own group or the pool; unlimited until some are reported.
    fn free_circuits(&self, to: ExchangeId) -> f64 {
        self.exchanges.get(&to).and_then(|e| e.free_circuits).unwrap_or(f64::MAX)
    }

    /// Free circuits of a second leg: none after a crank-back, else as reported, unlimited without a report.
    fn second_leg_circuits(&self, tandem: ExchangeId, dest: Number) -> f64 {
        let number = self.exchanges.get(&tandem).map_or(Number::MAX, |e| e.number);
        match self.legs.get(&(number, dest)) {
            Some(leg) if leg.full_until > self.now => 0.0,
            Some(Leg { reported: Some((free, at)), .. }) if self.now - at <= LEG_REPORT_VALID_MS => *free,
            _ => f64::MAX,
        }
    }

    /// Rank of a route over a tandem: its free circuits (of the leg that has fewer), and the size of its own
    /// group.
    fn route_rank(&self, tandem: ExchangeId, dest: Number) -> (f64, f64) {
        let size = self.exchanges.get(&tandem).map_or(0.0, |e| e.total_circuits);
        (self.free_circuits(tandem).min(self.second_leg_circuits(tandem, dest)), size)
    }

    // ---- admission ----

    /// Expected set-up time of a call to this exchange, in ms: its delay, or the age of the oldest open
    /// attempt there that may still get a reply, if that is longer.
    fn expected_setup_ms(&self, to: ExchangeId) -> f64 {
        let Some(exchange) = self.exchanges.get(&to) else { return 0.0 };
        let oldest = exchange.oldest_open_attempt_at(self.now);
        let common = self.own_delay_ms();
        (common + decayed_delay(exchange.delay - common, self.now - exchange.delay_at)).max(self.now - oldest)
    }

    /// Delay at the own processor, in ms: the common delay, or the second-longest wait among the exchanges if
    /// that is longer. A wait begins when the oldest open attempt that may still get a reply was sent, or at
    /// the last update of the common delay if that came later. Waits at two exchanges show that the own
    /// processor is slow; a wait at one alone shows that this exchange does not reply.
    fn own_delay_ms(&self) -> f64 {
        let mut waits = [0.0_f64; 2];
        for exchange in self.exchanges.values() {
            let oldest = exchange.oldest_open_attempt_at(self.now);
            let wait = self.now - oldest.max(self.common_delay_at);
            waits = [waits[0].max(wait), waits[1].max(wait.min(waits[0]))];
        }
        decayed_delay(self.common_delay, self.now - self.common_delay_at).max(waits[1])
    }

    /// Circuits that a call leaves free on a recently full group (trunk reservation) for calls of higher
    /// worth per circuit and ms. The reserve of a wide call is lower by each circuit beyond its first, so
    /// that it is refused at the same number of free circuits as a narrow call of low worth, not earlier.
    fn worth_reserve(&self, call: &Call, to: ExchangeId) -> f64 {
        let recently_full = self.exchanges.get(&to).is_some_and(|e| self.now - e.full_at < RECENTLY_FULL_MS);
        let relative_worth_per_circuit_ms =
            worth_per_circuit_ms(&self.settings.classes[call.class]) / self.max_worth_per_circuit_ms;
        let kept = (WORTH_RESERVE_SCALE_CIRCUITS * (1.0 - relative_worth_per_circuit_ms)).round()
            - (call.width - 1.0);
        if recently_full { kept.max(0.0) } else { 0.0 }
    }

    /// Whether the number called is gapped: for a while after a call found all its lines busy, no call is
    /// sent to it, and its callers get the longest retry-after that they honour. Calls in transit are left to
    /// the softswitch that they come from.
    fn is_gapped(&self, call: &Call) -> bool {
        !call.in_transit && self.gapped_until.get(&call.called_number).is_some_and(|until| *until > self.now)
    }

    /// Whether this exchange is unknown or not ready, and so gets no calls, or so slow that it gets trial
    /// calls only. The limit of the wait is the highest of any class, taken as if each had the highest worth,
    /// so every class may be shed a little before this is true.
    pub fn avoids(&self, id: ExchangeId) -> bool {
        let shed_limit_ms = self
            .settings
            .classes
            .iter()
            .map(|c| MAX_WAIT_FRACTION_TOP_WORTH * c.target_setup_ms)
            .fold(0.0, f64::max);
        let sheds = |e: &Exchange| {
            self.expected_setup_ms(id) - if e.min_setup_ms < f64::MAX { e.min_setup_ms } else { 0.0 }
                >= shed_limit_ms
        };
        self.exchanges.get(&id).is_none_or(|e| e.not_ready || sheds(e))
    }

    /// Open attempts beyond `ATTEMPTS_WITHOUT_BACKLOG`, divided by the current send rate (at least 1 per
    /// second): about the time that the own processor needs for them, in ms. It shows a burst before any
    /// reply is late. Attempts of `MAX_BACKLOG_AGE_MS` or older do not count, nor do those sent before an
    /// attempt that got a reply: their own reply is lost. When attempts with a lost reply counted, an
    /// exchange that left three in ten set-ups without a reply caused a backlog of 90 to 280 ms although
    /// set-ups took 50 ms, and some 70 calls were refused.
    fn backlog_ms(&self) -> f64 {
        let counts = |e: &Exchange, at: f64| self.now - at < MAX_BACKLOG_AGE_MS && at > e.replied_sent_at;
        let open = |e: &Exchange| e.open_attempts.values().filter(|at| counts(e, **at)).count();
        let open: usize = self.exchanges.values().map(open).sum();
        let rate: f64 = self.send_rates.values().map(|rate| decayed_rate(*rate, self.now)).sum();
        open.saturating_sub(ATTEMPTS_WITHOUT_BACKLOG) as f64 / rate.max(1.0) * 1_000.0
    }

    /// Whether a call is admitted: under overload, a call that is expected to be established too late is
    /// shed, calls of low worth first. `judged` are the exchanges whose wait counts.
    fn admits(&self, call: &Call, judged: &[ExchangeId]) -> bool {
        let class = &self.settings.classes[call.class];
        let relative_worth = class.worth / self.max_worth;
        let time_for_setup = class.target_setup_ms.min(call.deadline - self.now);
        let shed_limit_ms = time_for_setup
            * (MAX_WAIT_FRACTION_NO_WORTH
                + (MAX_WAIT_FRACTION_TOP_WORTH - MAX_WAIT_FRACTION_NO_WORTH) * relative_worth);
        // Only the wait beyond the shortest set-up time counts. Otherwise all calls to an exchange with a
        // long path would be shed although its processor is not loaded.
        let wait = |to: &ExchangeId| {
            let path_ms = self
                .exchanges
                .get(to)
                .map_or(0.0, |e| if e.min_setup_ms < f64::MAX { e.min_setup_ms } else { 0.0 });
            self.expected_setup_ms(*to) - path_ms
        };
        self.backlog_ms() < shed_limit_ms && judged.iter().all(|to| wait(to) < shed_limit_ms)
    }

    /// Whether a trial call may go to this exchange, which must be silent: its last attempt ended without a
    /// reply, or its oldest open attempt has waited for the lost-reply time; and no reply came within that
    /// time. Without trials, an exchange that had recovered was left out until the last call that hung there
    /// had timed out and what was learned from that had decayed. An exchange that is only slow does reply and
    /// needs no trials.
    fn trial_due(&self, to: ExchangeId) -> bool {
        let Some(exchange) = self.exchanges.get(&to) else { return false };
        let lost_reply_ms = exchange.lost_reply_ms();
        let silent = exchange.delay_without_reply
            || self.now - exchange.oldest_open_attempt_at(self.now) >= lost_reply_ms;
        let interval_ms = MIN_TRIAL_INTERVAL_MS * f64::from(1 << exchange.trials.min(MAX_TRIAL_DOUBLINGS));
        silent
            && self.now - exchange.last_reply_at >= lost_reply_ms
            && self.now - exchange.last_sent_at >= interval_ms
    }

    /// Cold credit, for rule 4: set-ups that this softswitch may still send to a cold exchange now; a send
    /// takes one. The permitted rate is this softswitch's usual send rate to the exchange (for a softswitch
    /// that has just started: an equal part of what it sends elsewhere), times the overload factor and the
    /// fraction of its capacity that the exchange has by now. If every softswitch keeps to it, all together
    /// stay below the overload factor times what the warm exchange carried. The credit grows at
    /// `COLD_RATE_FRACTION` of that rate, divided among the processes of this softswitch, up to a maximum of
    /// at least one set-up, since less would bar every send. It starts at a random part of one set-up (see
    /// `apply_list`), so that the softswitches send their first set-ups at random times. A start at one
    /// set-up for each softswitch would add up, because calls that were cut return to all softswitches at
    /// once.
    fn cold_credit(&self, exchange: &Exchange) -> f64 {
        let age = self.now - exchange.started_ms;
        if exchange.started_ms <= 0.0 || age >= self.settings.cold_period_ms {
            return f64::MAX;
        }
        let capacity = self.settings.cold_initial_capacity
            + (1.0 - self.settings.cold_initial_capacity)
                * (age / self.settings.cold_period_ms).clamp(0.0, 1.0);
        let others = self.send_rates.iter().filter(|(number, _)| **number != exchange.number);
        let elsewhere: f64 = others.map(|(_, rate)| decayed_rate(*rate, self.now)).sum();
        let equal_part = elsewhere / self.ready_by_number.len().max(1) as f64;
        let usual_rate = if exchange.usual_rate > 0.0 { exchange.usual_rate } else { equal_part };
        let per_ms = COLD_RATE_FRACTION * self.settings.overload_factor * capacity * usual_rate
            / self.process_count
            / 1_000.0;
        let max_credit = (MAX_COLD_BURST_FRACTION * per_ms * self.settings.overload_duration_ms).max(1.0);
        (exchange.cold_credit + per_ms * (self.now - exchange.cold_credit_at)).min(max_credit)
    }

    // ---- learning ----

    fn apply_list(&mut self, kind: ListUpdateKind, entries: &[ListedExchange]) {
        if kind == ListUpdateKind::FetchFailed {
            self.subscribed = false;
            return;
        }
        if matches!(kind, ListUpdateKind::Complete | ListUpdateKind::Cached) {
            let listed: BTreeSet<_> = entries.iter().map(|entry| entry.id).collect();
            for (_, exchange) in
                self.exchanges.iter_mut().filter(|(id, e)| !e.not_ready && !listed.contains(id))
            {
                exchange.not_ready = true;
                exchange.readiness_at = self.now;
            }
        }
        for entry in entries {
            // An exchange that is replaced (another address, the same number) keeps its group.
            let former = self.ready_by_number.get(&entry.number).and_then(|id| self.exchanges.get(id));
            let (free_circuits, total_circuits) =
                former.map_or((None, 0.0), |e| (e.free_circuits, e.total_circuits));
            let exchange = self.exchanges.entry(entry.id).or_insert_with(|| Exchange {
                number: entry.number,
                zone: entry.zone,
                started_ms: 0.0,
                not_ready: false,
                readiness_at: 0.0,
                carried: 0.0,
                cranked_back: 0.0,
                last_message: None,
                free_circuits,
                total_circuits,
                full_at: f64::MIN,
                delay: 0.0,
                delay_at: 0.0,
                delay_without_reply: false,
                last_sent_at: f64::MIN,
                min_setup_ms: f64::MAX,
                open_attempts: BTreeMap::new(),
                replied_sent_at: f64::MIN,
                last_reply_at: f64::MIN,
                trials: 0,
                usual_rate: 0.0,
                cold_credit: 0.0,
                cold_credit_at: 0.0,
            });
            exchange.number = entry.number;
            exchange.zone = entry.zone;
            exchange.not_ready = entry.readiness != Readiness::Ready;
            exchange.readiness_at = self.now;
            let started_ms = if entry.started_ms.is_finite() { entry.started_ms } else { self.now };
            if exchange.started_ms != started_ms {
                exchange.started_ms = started_ms;
                // The rate as of the last send, not decayed to now, and without that send itself: just after
                // a send, the rate is too high by it.
                let rate = self.send_rates.get(&entry.number).map_or(0.0, |rate| rate.0);
                exchange.usual_rate = (rate - 1_000.0 / RATE_TIME_CONSTANT_MS).max(0.0);
                exchange.cold_credit = self.rng.random();
                exchange.cold_credit_at = self.now;
            }
        }
        self.ready_by_number.clear();
        for (id, exchange) in self.exchanges.iter().filter(|(_, e)| !e.not_ready) {
            let latest = self.ready_by_number.entry(exchange.number).or_insert(*id);
            if self.exchanges[latest].started_ms < exchange.started_ms {
                *latest = *id;
            }
        }
    }

    fn apply_load_report(&mut self, from: ExchangeId, report: Option<&LoadReport>) {
        let (Some(report), Some(exchange)) = (report, self.exchanges.get_mut(&from)) else { return };
        for (value, field) in report.iter().zip(&self.settings.report_fields) {
            if !value.is_finite() || *value < 0.0 {
                continue;
            }
            match field {
                ReportField::FreeCircuits => {
                    exchange.free_circuits = Some(*value);
                    if *value < 1.0 {
                        exchange.full_at = self.now;
                    }
                }
                ReportField::TotalCircuits => exchange.total_circuits = *value,
                _ => {}
            }
        }
    }

    /// Sends to every peer the free circuits of the own groups and the exchange numbers without one, so that
    /// the peers know their second legs. Nothing is sent while the own processor is slow, because messages
    /// take processor time. A message consists of the version, the own number, a time stamp, the first
    /// exchange number that it covers, and one byte for each number from there on.
    fn send_peer_messages(&self, actions: &mut Vec<Action>) {
        let Some(home) = self
            .settings
            .home
            .filter(|_| self.settings.may_message_peers && self.settings.softswitch_count > 1)
        else {
            return;
        };
        let max_delay_ms = self.settings.classes.iter().map(|c| c.target_setup_ms).fold(f64::MAX, f64::min)
            * MAX_WAIT_FRACTION_NO_WORTH;
        if self.own_delay_ms() >= max_delay_ms {
            return;
        }
        let numbers: Vec<u16> = self.ready_by_number.keys().filter_map(|n| u16::try_from(*n).ok()).collect();
        let (Ok(home), Some(last)) = (u16::try_from(home), numbers.last()) else { return };
        let group_state = |number: &u16| match self
            .ready_by_number
            .get(&Number::from(*number))
            .map(|id| &self.exchanges[id])
        {
            _ if *number == home => NO_GROUP,
            Some(Exchange { free_circuits: None, .. }) => UNKNOWN_GROUP,
            Some(Exchange { free_circuits: Some(free), total_circuits, .. }) if *total_circuits > 0.0 => {
                free.clamp(0.0, f64::from(UNKNOWN_GROUP - 1)) as u8
            }
            _ => NO_GROUP,
        };
        for first in (0..=*last).step_by(MAX_NUMBERS_PER_PEER_MESSAGE) {
            let block = first..=first.saturating_add(MAX_NUMBERS_PER_PEER_MESSAGE as u16 - 1).min(*last);
            if numbers.iter().any(|number| block.contains(number)) {
                let mut bytes = vec![PEER_MESSAGE_VERSION];
                for field in [home, message_stamp(self.now), first] {
                    bytes.extend(field.to_le_bytes());
                }
                bytes.extend(block.map(|number| group_state(&number)));
                actions.push(Action::SendPeerMessage { to: None, bytes });
            }
        }
    }

    /// Applies a peer message. It is ignored if it is of another version, older than the last one, or not
    /// from a ready exchange other than the own one.
    fn apply_peer_message(&mut self, bytes: &[u8]) {
        let [
            PEER_MESSAGE_VERSION,
            home_low,
            home_high,
            stamp_low,
            stamp_high,
            first_low,
            first_high,
            group_states @ ..,
        ] = bytes
        else {
            return;
        };
        let peer = Number::from(u16::from_le_bytes([*home_low, *home_high]));
        let stamp = u16::from_le_bytes([*stamp_low, *stamp_high]);
        let first = Number::from(u16::from_le_bytes([*first_low, *first_high]));
        let Some(id) = self.ready_by_number.get(&peer).filter(|_| Some(peer) != self.settings.home) else {
            return;
        };
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        // After LEG_REPORT_VALID_MS the last message is out of date, so an older stamp is accepted.
        let is_older = |(last, at): (u16, f64)| {
            stamp.wrapping_sub(last) > u16::MAX / 2 && self.now - at < LEG_REPORT_VALID_MS
        };
        if exchange.last_message.is_some_and(is_older) {
            return;
        }
        exchange.last_message = Some((stamp, self.now));
        for (dest, group_state) in (first..)
            .zip(group_states)
            .filter(|(dest, _)| self.ready_by_number.contains_key(dest) && *dest != peer)
        {
            let leg = self.legs.entry((peer, dest)).or_default();
            match *group_state {
                NO_GROUP => *leg = Leg { absent_until: self.now + LEG_ABSENT_MS, ..Leg::default() },
                UNKNOWN_GROUP => {}
                free => {
                    leg.reported = Some((f64::from(free), self.now));
                    leg.absent_until = 0.0;
                }
            }
        }
    }

    // ---- maintenance ----

    /// Work that is due at intervals: renews a broken subscription, sends messages to the peers and removes
    /// what is out of date.
    fn maintain(&mut self, actions: &mut Vec<Action>) {
        let has_load_reports = self.exchanges.values().any(|e| e.free_circuits.is_some());
        actions.push(Action::SetTimer { delay_ms: MAINTENANCE_INTERVAL_MS, tag: MAINTENANCE_TAG });
        if self.settings.must_fetch_list
            && !self.subscribed
            && self.now - self.subscribed_at >= MIN_SUBSCRIBE_INTERVAL_MS
        {
            self.subscribed = true;
            self.subscribed_at = self.now;
            actions.push(Action::Subscribe);
        }
        if has_load_reports && self.now - self.peer_messages_at >= MIN_PEER_MESSAGE_INTERVAL_MS {
            self.peer_messages_at = self.now;
            self.send_peer_messages(actions);
        }
        let now = self.now;
        self.gapped_until.retain(|_, until| *until > now);
        self.exchanges.retain(|_, e| {
            !e.not_ready || !e.open_attempts.is_empty() || now - e.readiness_at < NOT_READY_RETENTION_MS
        });
        let listed: BTreeSet<Number> = self.exchanges.values().map(|e| e.number).collect();
        self.legs.retain(|(tandem, dest), _| listed.contains(tandem) && listed.contains(dest));
        self.send_rates.retain(|number, _| listed.contains(number));
    }
}

/// The highest worth of a class per circuit and ms, and per call.
///
/// # Errors
/// If the settings are invalid.
fn checked_max_worths(settings: &Settings) -> Result<(f64, f64), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError("there is no class of call"));
    }
    if settings.classes.iter().any(|c| !(c.width > 0.0 && c.mean_hold_ms > 0.0 && c.target_setup_ms > 0.0)) {
        return Err(SettingsError(
            "the width, mean duration and target set-up time of every class must be above 0",
        ));
    }
    if settings.attempt_limit == 0 {
        return Err(SettingsError("the attempt limit is 0, so no call can be sent"));
    }
    let max_per_circuit_ms =
        settings.classes.iter().map(worth_per_circuit_ms).fold(f64::MIN_POSITIVE, f64::max);
    Ok((max_per_circuit_ms, settings.classes.iter().map(|c| c.worth).fold(f64::MIN_POSITIVE, f64::max)))
}

/// A delay, or a difference between delays, after `idle_ms` without an update.
fn decayed_delay(delay: f64, idle_ms: f64) -> f64 {
    delay * 0.5f64.powf(idle_ms.max(0.0) / DELAY_HALF_LIFE_MS)
}

/// Time stamp of a peer message: tenths of a second, modulo 65,536.
fn message_stamp(now: f64) -> u16 {
    (now / 100.0).rem_euclid(65_536.0) as u16
}

/// A send rate that was computed at `at`, as of now if nothing was sent since.
fn decayed_rate((rate, at): (f64, f64), now: f64) -> f64 {
    rate * (-(now - at) / RATE_TIME_CONSTANT_MS).exp()
}

/// Worth of a call of this class per circuit and ms.
fn worth_per_circuit_ms(class: &Class) -> f64 {
    class.worth / (class.width * class.mean_hold_ms)
}
