//! Every decision of swiftlb. The types that come in and go out are in `interface.rs`.
//!
//! Reads top to bottom: constants, state, events, admission, route choice, the one place that sends, what is
//! learned of other exchanges, upkeep. Time comes from events alone, randomness from the seed alone.

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

/// Tandems sampled at random for a call that cannot go direct (the design's d).
const SAMPLED_TANDEMS: usize = 2;
/// The same where peers tell their free circuits: each sample is then judged on both legs, and in a large
/// mesh two of them too often are both short. Unheard, more samples would only crowd onto the emptiest own
/// groups.
const SAMPLED_TOLD: usize = 6;
/// Part of the tandems that are sampled among far legs of which nothing is known: those with the best
/// record. A half is as good, an eighth crowds onto a few.
const BEST_PART: f64 = 1.0 / 3.0;
/// Size of a group that says as much for the exchange beyond as against it, in circuits: exchanges with
/// large groups have groups to most others, and thin groups leave no room beyond the reserve.
const FAIR_GROUP: f64 = 10.0;
/// How much less often an exchange has a group to one in another zone: traffic is thicker inside a zone.
const FAR_ZONE: f64 = 0.7;
/// Circuits beyond its width that must be free onward for a call in transit (the design's reserve).
const TRANSIT_RESERVE: f64 = 2.0;
/// How long a far leg counts as last reported, in ms (the design's figure).
const FAR_REPORT_MS: f64 = 10_000.0;
/// How long a far leg counts as full after a crank-back, in ms (the design's figure).
const CRANKBACK_MS: f64 = 10_000.0;
/// How long a far leg counts as not there at all, in ms: a full one may be mistaken for none.
const ABSENT_MS: f64 = 60_000.0;
/// Half-life of what is known of a processor's delay while nothing new is heard, in ms.
const DELAY_HALF_LIFE_MS: f64 = 1_000.0;
/// Weight of a new set-up time in the running delay: a few calls outvote one odd one.
const DELAY_WEIGHT: f64 = 0.4;
/// Weight of a set-up time in the common delay where it is longer, and where it is shorter.
const LONGER_WEIGHT: f64 = 0.03;
const SHORTER_WEIGHT: f64 = 0.1;
/// A call of the dearest class is shed once its set-up is expected to take this part of its wanted time:
/// past that it stands too late to earn and only feeds the jam.
const SHED_AT: f64 = 0.4;
/// Calls of the cheapest class are shed from this part of the wanted time on.
const SHED_CHEAP_AT: f64 = 0.15;
/// Circuits of a group kept free for dearer calls by the cheapest one while the group is short.
const WORTH_RESERVE: f64 = 1.5;
/// A group counts as short for this long after it was last seen full, in ms; longer blocks cheap calls.
const SHORT_MS: f64 = 3_000.0;
/// A refused caller is asked to dial again after this part of the wanted time: two redials may be in time.
const REDIAL_AT: f64 = 0.3;
/// After a call found all lines of a number busy, none goes there for this long, in ms (call gapping).
const GAP_MS: f64 = 5_000.0;
/// Set-ups out that say nothing of a backlog: fewer than this go out together by chance.
const FREE_OUT: usize = 4;
/// An attempt out for longer says that its far end is stuck, not that the own processor has work, in ms.
const STUCK_MS: f64 = 1_000.0;
/// Time between two trial calls to an exchange that has answered nothing for long, in ms, doubled up to four
/// times: a call that would be turned away costs little as a trial, and nothing else shows that it answers.
const TRIAL_MS: f64 = 100.0;
/// An answer counts as lost after three usual set-up times, and after no less and no more ms than these.
const LOST_MS: (f64, f64) = (350.0, 2_500.0);
/// Time constant of send rates, in ms: some calls per exchange, well under the time in which traffic shifts.
const RATE_MS: f64 = 8_000.0;
/// Time between two messages to the peers, in ms: they are work for processors, and news counts for 10 s.
const TELL_MS: f64 = 5_000.0;
/// First byte of a message to the peers; one of another version is passed over.
const MESSAGE_VERSION: u8 = 2;
/// Numbers told of in one message, which holds 256 bytes: 7 ahead, then one for each number.
const MESSAGE_NUMBERS: usize = 249;
/// Said of a number that no own group leads to, and of one whose group is not known; lower bytes are
/// circuits.
const NO_GROUP: u8 = 255;
const NOT_KNOWN: u8 = 254;
/// An exchange told off for this long is forgotten, in ms.
const FORGET_MS: f64 = 60_000.0;
/// Part of the cold budget that is used; the rest is slack for chance and for clocks that differ.
const COLD_PART: f64 = 0.8;
/// Most of a span's budget that may be sent in one burst: no span then holds more than the budget.
const COLD_BURST: f64 = 0.25;
/// Shortest time left in which a further attempt may still be answered, in ms: a network round trip.
const LEAST_LEFT_MS: f64 = 50.0;
/// Time between requests for the list while a subscription is broken, in ms.
const ASK_AGAIN_MS: f64 = 1_000.0;
/// Time between two rounds of upkeep, in ms.
const UPKEEP_MS: f64 = 1_000.0;
/// Timer tag of the upkeep round; lower tags are call ids.
const UPKEEP_TAG: u64 = 1 << 32;

/// Settings that no decision can be made with.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("settings make no sense: {0}")]
pub struct SettingsError(&'static str);

/// Where a call stands. A call that ended is no longer held at all.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Being decided on, nothing out.
    Waiting,
    /// One attempt out, to this exchange.
    Out { to: ExchangeId },
    /// Nothing out, but what the last attempt took may not be free before this time.
    Held { until: f64 },
    /// Set up; nothing owed until it ends.
    Standing,
}

#[derive(Clone, Debug)]
struct Call {
    class: usize,
    width: f64,
    dest: Number,
    called: u64,
    deadline: f64,
    transit: bool,
    attempts: u32,
    tried: BTreeSet<ExchangeId>,
    may_have_run: bool,
    phase: Phase,
}

/// What is known of the group between a tandem and a destination.
#[derive(Clone, Copy, Debug, Default)]
struct Leg {
    /// Free circuits as the peer reported them, and when.
    told: Option<(f64, f64)>,
    /// Until when it counts as full after a crank-back.
    full_until: f64,
    /// Until when it counts as not there: the peer's message said so, or the first call of ours was turned
    /// back.
    absent_until: f64,
    /// It has carried a call of ours.
    carried: bool,
}

/// What is known of one exchange. `told_off` is set from the moment that it was told to drain or be gone.
#[derive(Clone, Debug)]
struct Exchange {
    number: Number,
    zone: u16,
    born: f64,
    told_off: bool,
    told_off_at: f64,
    /// Calls that stood over it as a tandem, and calls that it turned back.
    carried: f64,
    turned_back: f64,
    /// Stamp of its last message, and when that came.
    heard: Option<(u16, f64)>,
    free: Option<f64>,
    total: f64,
    /// When its group was last seen with no circuit free.
    full_at: f64,
    delay: f64,
    delay_at: f64,
    /// The delay is that of a wait in vain: the next answer replaces it.
    in_vain: bool,
    /// When the last attempt was sent there.
    sent_at: f64,
    /// Shortest time in which a call of ours stood there: the way itself, which no shedding makes shorter.
    floor: f64,
    out: BTreeMap<CallId, f64>,
    /// When the latest of the attempts that were answered was sent, and when the last answer came.
    answered: f64,
    answered_at: f64,
    /// Trial calls since then.
    trials: u32,
    /// Own sends a second there before it last started: what is sent while it is cold must not raise its
    /// budget.
    usual: f64,
    /// Set-ups that it may still be sent while cold, and when that was counted.
    credit: f64,
    credit_at: f64,
}

impl Exchange {
    /// When the oldest attempt that is still out there and tells of a wait was sent; now if none is. One that
    /// a later attempt's answer has overtaken does not: a processor works in turn, so its own answer is lost.
    /// Counted as a wait, each lost answer shut its exchange out for seconds.
    fn oldest_out(&self, now: f64) -> f64 {
        self.out.values().filter(|at| **at > self.answered).fold(now, |a, b| a.min(*b))
    }

    /// How long an answer may take before it counts as lost.
    fn patience(&self) -> f64 {
        (3.0 * self.delay).clamp(LOST_MS.0, LOST_MS.1)
    }
}

/// The decisions of one call agent.
#[derive(Clone, Debug)]
pub struct Controller {
    set: Settings,
    /// Processes that make up the softswitch: each has its part of the cold budgets.
    processes: f64,
    rng: Pcg64Mcg,
    now: f64,
    started: bool,
    subscribed: bool,
    asked_at: f64,
    told_at: f64,
    calls: BTreeMap<CallId, Call>,
    exchanges: BTreeMap<ExchangeId, Exchange>,
    /// Own sends a second to each exchange number, a running figure.
    rates: BTreeMap<Number, (f64, f64)>,
    /// The exchange with each number that takes work: the last started of those not told off.
    by_number: BTreeMap<Number, ExchangeId>,
    /// Far legs, by tandem and destination.
    legs: BTreeMap<(Number, Number), Leg>,
    /// Until when no call goes to a number that had all its lines busy.
    gapped: BTreeMap<u64, f64>,
    /// What set-ups take in common, wherever they go, and when that was last heard.
    common: f64,
    common_at: f64,
    /// Highest worth of a class for each circuit and ms, and for each call.
    top_value: f64,
    top_worth: f64,
}

impl Controller {
    /// A controller that knows nothing but its settings.
    ///
    /// # Errors
    /// If the settings make no sense; the error says which.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let (top_value, top_worth) = tops(&settings)?;
        Ok(Self {
            processes: 1.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            started: false,
            subscribed: false,
            asked_at: f64::MIN,
            told_at: f64::MIN,
            calls: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            rates: BTreeMap::new(),
            by_number: BTreeMap::new(),
            legs: BTreeMap::new(),
            gapped: BTreeMap::new(),
            common: 0.0,
            common_at: 0.0,
            top_value,
            top_worth,
            set: settings,
        })
    }

    /// Goes on with other settings; what is known and held lives on. Each class of the old settings has a
    /// place in the new ones, or none: calls of such a class count as the first one's.
    ///
    /// # Errors
    /// If the new settings make no sense; the old ones then stay.
    pub fn reconfigure(&mut self, settings: Settings, places: &[Option<usize>]) -> Result<(), SettingsError> {
        (self.top_value, self.top_worth) = tops(&settings)?;
        for call in self.calls.values_mut() {
            let place = places.get(call.class).copied().flatten().unwrap_or(0);
            call.class = place.min(settings.classes.len() - 1);
        }
        self.set = settings;
        Ok(())
    }

    /// So many processes make up this softswitch from now on.
    pub fn set_process_count(&mut self, processes: u8) {
        self.processes = f64::from(processes.max(1));
    }

    /// Takes one event at this time (ms) and adds the actions that answer it.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.started {
            self.started = true;
            self.upkeep(actions);
        }
        match event {
            Event::List { kind, entries } => self.learn_list(kind, &entries),
            Event::Call(call) => self.take(call, actions),
            Event::Answered { call, attempt, exchange, elapsed_ms } => {
                self.settle(call, exchange, elapsed_ms, true);
                if let Some(there) = self.exchanges.get_mut(&exchange).filter(|_| elapsed_ms > 0.0) {
                    there.floor = there.floor.min(elapsed_ms);
                }
                if let Some(held) = self.calls.get_mut(&call).filter(|held| held.attempts == attempt + 1) {
                    held.phase = Phase::Standing;
                    if let Some(tandem) = self.exchanges.get_mut(&exchange).filter(|e| e.number != held.dest)
                    {
                        tandem.carried += 1.0;
                        self.legs.entry((tandem.number, held.dest)).or_default().carried = true;
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
                self.learn_report(exchange, report.as_ref());
                if self.calls.get(&call).is_none_or(|held| held.attempts == attempt + 1) {
                    self.resolve(call, exchange, outcome, reason, elapsed_ms, call_closed, actions);
                }
            }
            Event::Abandoned { call } => self.forget(call),
            Event::TimerExpired { tag: UPKEEP_TAG } => self.upkeep(actions),
            Event::TimerExpired { tag } => self.release(tag, actions),
            Event::ProbeResult { exchange, report, .. } => self.learn_report(exchange, report.as_ref()),
            Event::PeerMessage { bytes, .. } => self.learn_message(&bytes),
        }
    }

    // ---- calls: one state each, one place that ends them ----

    fn take(&mut self, new: NewCall, actions: &mut Vec<Action>) {
        let left = if new.remaining_ms.is_finite() { new.remaining_ms.max(0.0) } else { 0.0 };
        let call = Call {
            class: new.class.min(self.set.classes.len() - 1),
            width: if new.width.is_finite() { new.width.max(0.0) } else { f64::MAX },
            dest: new.dest,
            called: new.called_number,
            deadline: self.now + left,
            transit: new.transit_from.is_some(),
            attempts: 0,
            tried: BTreeSet::new(),
            may_have_run: false,
            phase: Phase::Waiting,
        };
        self.calls.insert(new.call, call);
        self.decide(new.call, actions);
    }

    /// Sends the call on or gives its final answer.
    fn decide(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let time_left = call.deadline - self.now;
        let retry_barred = call.may_have_run && !self.set.classes[call.class].idempotent;
        if time_left < LEAST_LEFT_MS
            || self.crowded(call)
            || call.attempts >= self.set.attempt_limit
            || retry_barred
        {
            return self.end(id, actions);
        }
        match self.choose(id) {
            Some(to) => self.send(id, to, actions),
            None => self.end(id, actions),
        }
    }

    /// The final answer of a call that does not stand. Nothing may be out for it.
    fn end(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        if call.may_have_run {
            actions.push(Action::Fail { call: id });
        } else {
            let target_setup_ms = self.set.classes[call.class].target_setup_ms;
            let redial_ms = if self.crowded(&call) { f64::MAX } else { REDIAL_AT * target_setup_ms };
            let retry_after_ms = redial_ms.min(self.set.max_retry_after_ms);
            actions.push(Action::Refuse { call: id, retry_after_ms });
        }
    }

    /// The only place that sends. A call leaves it with exactly one attempt out; the exchange is one that was
    /// never told off, and its cold budget has been charged.
    fn send(&mut self, id: CallId, to: ExchangeId, actions: &mut Vec<Action>) {
        let now = self.now;
        let credit = self.exchanges.get(&to).map_or(0.0, |e| self.cold_credit(e));
        let trial = self.on_trial(to);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(exchange) = self.exchanges.get_mut(&to) else { return };
        debug_assert!(call.phase == Phase::Waiting && !exchange.told_off);
        call.phase = Phase::Out { to };
        call.attempts += 1;
        call.tried.insert(to);
        exchange.out.insert(id, now);
        exchange.sent_at = now;
        exchange.trials += u32::from(trial);
        (exchange.credit, exchange.credit_at) = (credit - 1.0, now);
        if let Some(free) = &mut exchange.free {
            *free -= call.width;
        }
        let rate = self.rates.entry(exchange.number).or_insert((0.0, now));
        *rate = (faded_rate(*rate, now) + 1_000.0 / RATE_MS, now);
        actions.push(Action::Send { call: id, exchange: to, timeout_ms: call.deadline - now });
    }

    /// Takes an attempt off the books of its exchange and learns from how long it took; from a wait in vain
    /// only if no later attempt was answered meanwhile.
    fn settle(&mut self, id: CallId, at: ExchangeId, took: f64, answer: bool) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(&at) else { return };
        let Some(sent) = exchange.out.remove(&id) else { return };
        let tells = if answer { sent >= exchange.answered } else { sent > exchange.answered };
        if answer {
            exchange.answered = exchange.answered.max(sent);
            (exchange.answered_at, exchange.trials) = (now, 0);
        }
        if tells && took.is_finite() {
            let common = decayed(self.common, now - self.common_at);
            let old = common + decayed(exchange.delay - common, now - exchange.delay_at);
            let weight = if answer && exchange.in_vain && took < old { 0.7 } else { DELAY_WEIGHT };
            exchange.delay = old + weight * (took - old);
            exchange.in_vain = !answer;
            exchange.delay_at = now;
            let weight = if took > common { LONGER_WEIGHT } else { SHORTER_WEIGHT };
            self.common = common + weight * (took - common);
            self.common_at = now;
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn resolve(
        &mut self,
        id: CallId,
        at: ExchangeId,
        outcome: Outcome,
        reason: Reason,
        took: f64,
        closed: bool,
        actions: &mut Vec<Action>,
    ) {
        let proven = matches!(outcome, Outcome::Congested | Outcome::NoConnection | Outcome::NotSent);
        let never_stood = self.exchanges.get(&at).is_some_and(|e| e.out.contains_key(&id));
        // A connection that is refused takes no time at all, and one that breaks does so at any time: neither
        // says anything of a processor's delay.
        if never_stood && !matches!(outcome, Outcome::NotSent | Outcome::NoConnection | Outcome::Reset) {
            self.settle(id, at, took, !matches!(outcome, Outcome::TimedOut | Outcome::Cancelled));
        } else if let Some(exchange) = self.exchanges.get_mut(&at) {
            exchange.out.remove(&id);
        }
        let number = self.exchanges.get(&at).map_or(Number::MAX, |e| e.number);
        let Some(call) = self.calls.get_mut(&id) else { return };
        if closed {
            return self.forget(id);
        }
        let Phase::Out { to } = call.phase else { return };
        if to != at {
            return;
        }
        call.phase = Phase::Waiting;
        call.may_have_run |= !proven;
        let (dest, called) = (call.dest, call.called);
        if reason == Reason::CrankBack {
            if let Some(tandem) = self.exchanges.get_mut(&at) {
                tandem.turned_back += 1.0;
            }
            let leg = self.legs.entry((number, dest)).or_default();
            leg.full_until = self.now + CRANKBACK_MS;
            if !leg.carried && leg.told.is_none() {
                leg.absent_until = self.now + ABSENT_MS;
            }
        }
        // Nothing was sent, so nothing is taken. No news says so where news comes on the connection that
        // failed: the group would look full after some calls, and its exchange would lose its usual rate.
        if outcome == Outcome::NoConnection
            && let Some(free) = self.exchanges.get_mut(&at).and_then(|e| e.free.as_mut())
        {
            *free += call.width;
        }
        if reason == Reason::NoCircuit
            && let Some(exchange) = self.exchanges.get_mut(&at)
        {
            exchange.free = Some(exchange.free.unwrap_or(0.0).clamp(0.0, call.width - 1.0));
        }
        if let (Reason::ProcessorFull(wait), Some(exchange)) = (reason, self.exchanges.get_mut(&at)) {
            exchange.delay = exchange.delay.max(wait).max(2.0 * self.set.classes[call.class].target_setup_ms);
            exchange.delay_at = self.now;
        }
        // What breaks is mostly the way to an exchange: one that has died refuses the next attempt, and any
        // other is reached as well as before.
        if matches!(outcome, Outcome::Reset | Outcome::Cancelled | Outcome::Busy) {
            call.tried.remove(&at);
        }
        match outcome {
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                let until = self.now + self.set.release_pause_ms;
                // Transit has no second route: the exchange it came from has, and must hear at once.
                if call.transit || until + LEAST_LEFT_MS > call.deadline {
                    return self.end(id, actions);
                }
                call.phase = Phase::Held { until };
                actions.push(Action::SetTimer { delay_ms: self.set.release_pause_ms, tag: u64::from(id) });
            }
            // A busy number stays busy. A fault in signalling passes: one exchange answered four in five so.
            Outcome::Busy if reason == Reason::UserBusy => {
                if called != 0 {
                    self.gapped.insert(called, self.now + GAP_MS);
                }
                self.end(id, actions);
            }
            _ => self.decide(id, actions),
        }
    }

    /// The release wait of a held call is over.
    fn release(&mut self, tag: u64, actions: &mut Vec<Action>) {
        let Ok(id) = CallId::try_from(tag) else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        match call.phase {
            Phase::Held { until } if until <= self.now => {
                call.phase = Phase::Waiting;
                self.decide(id, actions);
            }
            Phase::Held { until } => actions.push(Action::SetTimer { delay_ms: until - self.now, tag }),
            _ => {}
        }
    }

    fn forget(&mut self, id: CallId) {
        if let Some(Call { phase: Phase::Out { to }, .. }) = self.calls.remove(&id)
            && let Some(exchange) = self.exchanges.get_mut(&to)
        {
            exchange.out.remove(&id);
        }
    }

    // ---- route choice: the design's mechanism ----

    /// The route of a call: direct while the own group has room, else the freest of a few random tandems.
    fn choose(&mut self, id: CallId) -> Option<ExchangeId> {
        let call = self.calls.get(&id)?.clone();
        if self.set.home.is_none() {
            return self.choose_pool(&call);
        }
        let direct = self.usable(call.dest);
        let reserve =
            if call.transit { TRANSIT_RESERVE } else { direct.map_or(0.0, |to| self.reserve(&call, to)) };
        if let Some(to) = direct
            && !call.tried.contains(&to)
            && self.room(to) >= call.width + reserve
        {
            return (self.admit(&call, &[to]) || self.on_trial(to)).then_some(to);
        }
        // No tandem leads on to an exchange that is told off or was never listed; the own one is reached
        // that way.
        let listed = self.by_number.contains_key(&call.dest) || Some(call.dest) == self.set.home;
        if call.transit || !listed {
            return None;
        }
        // Without a group of its own the pair was planned over a tandem: that is its first route, not
        // overflow.
        let overflow = direct.is_none_or(|to| self.linked(to));
        let tandem = self.choose_tandem(&call, !overflow)?;
        let own_reserve = self.reserve(&call, tandem) + if overflow { TRANSIT_RESERVE } else { 0.0 };
        let fits = self.room(tandem) >= call.width + own_reserve
            && self.far_room(tandem, call.dest) >= call.width + TRANSIT_RESERVE;
        let way: Vec<ExchangeId> = direct.filter(|_| overflow).into_iter().chain([tandem]).collect();
        (fits && self.admit(&call, &way)).then_some(tandem)
    }

    /// Whether a group leads to this exchange; one that was never heard of may.
    fn linked(&self, to: ExchangeId) -> bool {
        self.exchanges.get(&to).is_some_and(|e| e.free.is_none() || e.total > 0.0)
    }

    /// The freest of a few random tandems. Only routes that exist are sampled, as far as known: an own
    /// group and no far leg known to be absent. While some have carried a call to the destination and have
    /// room, only those; else, where peers tell nothing, only the tandems with the best record. A `first`
    /// route is not drawn without room.
    fn choose_tandem(&mut self, call: &Call, first: bool) -> Option<ExchangeId> {
        let mut open = Vec::new();
        let mut sure = Vec::new();
        for (number, to) in self.by_number.iter().filter(|(number, _)| **number != call.dest) {
            let leg = self.legs.get(&(*number, call.dest)).copied().unwrap_or_default();
            if self.usable(*number).is_none()
                || !self.linked(*to)
                || call.tried.contains(to)
                || leg.absent_until > self.now
            {
                continue;
            }
            let (own, far) = (self.room(*to), self.far_room(*to, call.dest));
            let room = own >= call.width && far >= call.width + TRANSIT_RESERVE;
            if !room && first {
                continue;
            }
            if room && leg.carried {
                sure.push(*to);
            }
            open.push(*to);
        }
        if !sure.is_empty() {
            open = sure;
        } else if !self.set.may_message_peers {
            let zone = self.by_number.get(&call.dest).map(|id| self.exchanges[id].zone);
            let record = |to: &ExchangeId| {
                let e = &self.exchanges[to];
                let near = if Some(e.zone) == zone { 1.0 } else { FAR_ZONE };
                near * (e.carried + e.total / (e.total + FAIR_GROUP)) / (e.carried + e.turned_back + 1.0)
            };
            open.shuffle(&mut self.rng);
            open.sort_by(|a, b| record(b).total_cmp(&record(a)));
            open.truncate(((open.len() as f64 * BEST_PART).ceil() as usize).max(SAMPLED_TANDEMS));
        }
        self.freest(open, |this, picked| this.route_room(picked, call.dest)).map(|(_, picked)| picked)
    }

    /// The freest of a few random ones, by room then size, and what it has; on ties the one drawn first.
    fn freest(
        &mut self,
        mut open: Vec<ExchangeId>,
        room: impl Fn(&Self, ExchangeId) -> (f64, f64),
    ) -> Option<((f64, f64), ExchangeId)> {
        let mut best: Option<((f64, f64), ExchangeId)> = None;
        let d = if self.set.may_message_peers { SAMPLED_TOLD } else { SAMPLED_TANDEMS };
        for _ in 0..d.min(open.len()) {
            let picked = open.swap_remove(self.rng.random_range(0..open.len()));
            let key = room(self, picked);
            if best.is_none_or(|(top, _)| key > top) {
                best = Some((key, picked));
            }
        }
        best
    }

    /// Pools: the first choice while it has room, else the freest of a few random ones that serve the class.
    fn choose_pool(&mut self, call: &Call) -> Option<ExchangeId> {
        if let Some(first) = self.usable(call.dest)
            && !call.tried.contains(&first)
            && self.room(first) >= call.width
        {
            return self.admit(call, &[first]).then_some(first);
        }
        let skilled = &self.set.classes[call.class].pools;
        let open: Vec<ExchangeId> = self
            .exchanges
            .iter()
            .filter(|(id, e)| e.number != call.dest && !call.tried.contains(id))
            .filter(|(_, e)| skilled.contains(&e.number))
            .filter_map(|(_, e)| self.usable(e.number))
            .collect();
        let size = |this: &Self, picked| this.exchanges.get(&picked).map_or(0.0, |e| e.total);
        let (key, picked) = self.freest(open, |this, picked| (this.room(picked), size(this, picked)))?;
        (key.0 >= call.width && self.admit(call, &[picked])).then_some(picked)
    }

    /// The exchange with this number that takes work now: not the own one, never told off, inside its cold
    /// budget. A call can name the own exchange as its destination (seen while other call agents were down
    /// and their callers came here); no group leads there, so such a call only has tandems.
    fn usable(&self, number: Number) -> Option<ExchangeId> {
        if Some(number) == self.set.home {
            return None;
        }
        let id = *self.by_number.get(&number)?;
        let exchange = self.exchanges.get(&id)?;
        (self.cold_credit(exchange) >= 1.0).then_some(id)
    }

    /// Free circuits of the own group or the pool; open until something is heard of it.
    fn room(&self, to: ExchangeId) -> f64 {
        self.exchanges.get(&to).and_then(|e| e.free).unwrap_or(f64::MAX)
    }

    /// Free circuits of a far leg: as last reported, full after a crank-back, open if unheard.
    fn far_room(&self, tandem: ExchangeId, dest: Number) -> f64 {
        let number = self.exchanges.get(&tandem).map_or(Number::MAX, |e| e.number);
        match self.legs.get(&(number, dest)) {
            Some(leg) if leg.full_until > self.now => 0.0,
            Some(Leg { told: Some((free, at)), .. }) if self.now - at <= FAR_REPORT_MS => *free,
            _ => f64::MAX,
        }
    }

    /// Room of a two-leg route (the smaller leg), then the size of its own group.
    fn route_room(&self, tandem: ExchangeId, dest: Number) -> (f64, f64) {
        let size = self.exchanges.get(&tandem).map_or(0.0, |e| e.total);
        (self.room(tandem).min(self.far_room(tandem, dest)), size)
    }

    // ---- admission ----

    /// How long a set-up to this exchange is expected to take: recent set-up times, or the age of the oldest
    /// attempt still out there where that is more.
    fn expected(&self, to: ExchangeId) -> f64 {
        let Some(exchange) = self.exchanges.get(&to) else { return 0.0 };
        let oldest = exchange.oldest_out(self.now);
        let common = self.own_delay();
        (common + decayed(exchange.delay - common, self.now - exchange.delay_at)).max(self.now - oldest)
    }

    /// Delay of the own processor: what set-ups take in common, or how long none was answered while some
    /// are out at two exchanges at least (at one alone, that one is stuck).
    fn own_delay(&self) -> f64 {
        let mut waits = [0.0_f64; 2];
        for exchange in self.exchanges.values() {
            let oldest = exchange.oldest_out(self.now);
            let wait = self.now - oldest.max(self.common_at);
            waits = [waits[0].max(wait), waits[1].max(wait.min(waits[0]))];
        }
        decayed(self.common, self.now - self.common_at).max(waits[1])
    }

    /// Exception on a short group (trunk reservation): while a group was seen full within `SHORT_MS`, a
    /// call leaves some of its circuits to calls that earn more for each circuit and second. A wide call
    /// leaves its further circuits less: it meets the same edge as a cheap narrow one, not a later one.
    fn reserve(&self, call: &Call, to: ExchangeId) -> f64 {
        let short = self.exchanges.get(&to).is_some_and(|e| self.now - e.full_at < SHORT_MS);
        let value = circuit_value(&self.set.classes[call.class]) / self.top_value;
        let kept = (WORTH_RESERVE * (1.0 - value)).round() - (call.width - 1.0);
        if short { kept.max(0.0) } else { 0.0 }
    }

    /// Exception for a crowded number: no call goes there for a while after one found all lines busy, and its
    /// callers are asked to keep away as long as they will. Transit is left to the agent it came from.
    fn crowded(&self, call: &Call) -> bool {
        !call.transit && self.gapped.get(&call.called).is_some_and(|until| *until > self.now)
    }

    /// Whether no call goes there now but on trial: told off, or so slow that every class is shed.
    pub fn avoids(&self, id: ExchangeId) -> bool {
        let most = self.set.classes.iter().map(|c| SHED_AT * c.target_setup_ms).fold(0.0, f64::max);
        let shed = |e: &Exchange| self.expected(id) - if e.floor < f64::MAX { e.floor } else { 0.0 } >= most;
        self.exchanges.get(&id).is_none_or(|e| e.told_off || shed(e))
    }

    /// How long the set-ups that are out will keep the own processor, by the rate at which it has taken them:
    /// sees a burst before any answer is late. A few are always free, and what hangs at a dead far end
    /// (incident i590c1c) or was overtaken (r8ab643) is no backlog.
    fn backlog(&self) -> f64 {
        let young = |e: &Exchange, at: f64| self.now - at < STUCK_MS && at > e.answered;
        let out = |e: &Exchange| e.out.values().filter(|at| young(e, **at)).count();
        let out: usize = self.exchanges.values().map(out).sum();
        let rate: f64 = self.rates.values().map(|rate| faded_rate(*rate, self.now)).sum();
        out.saturating_sub(FREE_OUT) as f64 / rate.max(1.0) * 1_000.0
    }

    /// Exception under overload: a set-up that is expected to stand too late is shed, cheap calls first.
    fn admit(&self, call: &Call, way: &[ExchangeId]) -> bool {
        let class = &self.set.classes[call.class];
        let rank = class.worth / self.top_worth;
        let patience = class.target_setup_ms.min(call.deadline - self.now);
        let limit = patience * (SHED_CHEAP_AT + (SHED_AT - SHED_CHEAP_AT) * rank);
        // What counts is the wait on top of the way itself: where the way alone takes a good part of the
        // wanted time, a healthy exchange would else be shed for being far.
        let wait = |to: &ExchangeId| {
            let floor =
                self.exchanges.get(to).map_or(0.0, |e| if e.floor < f64::MAX { e.floor } else { 0.0 });
            self.expected(*to) - floor
        };
        self.backlog() < limit && way.iter().all(|to| wait(to) < limit)
    }

    /// Exception for an exchange that seems stuck: now and then a call goes there all the same. Without it
    /// one that had come back was left out until the last call stuck there had run out of time and what was
    /// learned from that had faded. One that is slow does answer.
    fn on_trial(&self, to: ExchangeId) -> bool {
        let Some(exchange) = self.exchanges.get(&to) else { return false };
        let patience = exchange.patience();
        let stuck = exchange.in_vain || self.now - exchange.oldest_out(self.now) >= patience;
        let gap = TRIAL_MS * f64::from(1 << exchange.trials.min(4));
        stuck && self.now - exchange.answered_at >= patience && self.now - exchange.sent_at >= gap
    }

    /// Rule 4. Set-ups that a cold exchange may still be sent by this agent; one is needed for a send. They
    /// grow with what it usually sent there (an agent that just started: a fair part of what it sends
    /// elsewhere), times the multiple and the part of its capacity that the exchange has by now. If every
    /// agent keeps to that, all together stay under the multiple of what the warm exchange carried. The
    /// first credits of many agents come due at random times: a floor of one set-up each would add up, as
    /// cut calls come back to all agents at once.
    fn cold_credit(&self, exchange: &Exchange) -> f64 {
        let age = self.now - exchange.born;
        if exchange.born <= 0.0 || age >= self.set.cold_period_ms {
            return f64::MAX;
        }
        let grown = self.set.cold_initial_capacity
            + (1.0 - self.set.cold_initial_capacity) * (age / self.set.cold_period_ms).clamp(0.0, 1.0);
        let others = self.rates.iter().filter(|(number, _)| **number != exchange.number);
        let all: f64 = others.map(|(_, rate)| faded_rate(*rate, self.now)).sum();
        let fair = all / self.by_number.len().max(1) as f64;
        let usual = if exchange.usual > 0.0 { exchange.usual } else { fair };
        let per_ms = COLD_PART * self.set.overload_factor * grown * usual / self.processes / 1_000.0;
        let most = (COLD_BURST * per_ms * self.set.overload_duration_ms).max(1.0);
        (exchange.credit + per_ms * (self.now - exchange.credit_at)).min(most)
    }

    // ---- what is learned ----

    fn learn_list(&mut self, kind: ListUpdateKind, entries: &[ListedExchange]) {
        if kind == ListUpdateKind::FetchFailed {
            self.subscribed = false;
            return;
        }
        if matches!(kind, ListUpdateKind::Complete | ListUpdateKind::Cached) {
            let named: BTreeSet<_> = entries.iter().map(|entry| entry.id).collect();
            for (_, exchange) in
                self.exchanges.iter_mut().filter(|(id, e)| !e.told_off && !named.contains(id))
            {
                exchange.told_off = true;
                exchange.told_off_at = self.now;
            }
        }
        for entry in entries {
            // A new processor takes over the group of the one it replaces.
            let former = self.by_number.get(&entry.number).and_then(|id| self.exchanges.get(id));
            let (free, total) = former.map_or((None, 0.0), |e| (e.free, e.total));
            let exchange = self.exchanges.entry(entry.id).or_insert_with(|| Exchange {
                number: entry.number,
                zone: entry.zone,
                born: 0.0,
                told_off: false,
                told_off_at: 0.0,
                carried: 0.0,
                turned_back: 0.0,
                heard: None,
                free,
                total,
                full_at: f64::MIN,
                delay: 0.0,
                delay_at: 0.0,
                in_vain: false,
                sent_at: f64::MIN,
                floor: f64::MAX,
                out: BTreeMap::new(),
                answered: f64::MIN,
                answered_at: f64::MIN,
                trials: 0,
                usual: 0.0,
                credit: 0.0,
                credit_at: 0.0,
            });
            exchange.number = entry.number;
            exchange.zone = entry.zone;
            exchange.told_off = entry.readiness != Readiness::Ready;
            exchange.told_off_at = self.now;
            let born = if entry.started_ms.is_finite() { entry.started_ms } else { self.now };
            if exchange.born != born {
                exchange.born = born;
                // Less the last send itself: a rate taken at a send is that much too high.
                let rate = self.rates.get(&entry.number).map_or(0.0, |rate| rate.0);
                exchange.usual = (rate - 1_000.0 / RATE_MS).max(0.0);
                exchange.credit = self.rng.random();
                exchange.credit_at = self.now;
            }
        }
        self.by_number.clear();
        for (id, exchange) in self.exchanges.iter().filter(|(_, e)| !e.told_off) {
            let held = self.by_number.entry(exchange.number).or_insert(*id);
            if self.exchanges[held].born < exchange.born {
                *held = *id;
            }
        }
    }

    fn learn_report(&mut self, from: ExchangeId, report: Option<&LoadReport>) {
        let (Some(report), Some(exchange)) = (report, self.exchanges.get_mut(&from)) else { return };
        for (value, field) in report.iter().zip(&self.set.report_fields) {
            if !value.is_finite() || *value < 0.0 {
                continue;
            }
            match field {
                ReportField::FreeCircuits => {
                    exchange.free = Some(*value);
                    if *value < 1.0 {
                        exchange.full_at = self.now;
                    }
                }
                ReportField::TotalCircuits => exchange.total = *value,
                _ => {}
            }
        }
    }

    /// Tells every peer the free circuits of the own groups and which numbers have none, so that it judges
    /// far legs by news. Nothing is sent while the own processor is slow: messages are work there. A
    /// message is the version, the own number, a stamp, the first number it tells of, then a byte for each
    /// number from there on.
    fn tell_peers(&self, actions: &mut Vec<Action>) {
        let Some(home) = self.set.home.filter(|_| self.set.may_message_peers && self.set.agent_count > 1)
        else {
            return;
        };
        let slowest =
            self.set.classes.iter().map(|c| c.target_setup_ms).fold(f64::MAX, f64::min) * SHED_CHEAP_AT;
        if self.own_delay() >= slowest {
            return;
        }
        let numbers: Vec<u16> = self.by_number.keys().filter_map(|n| u16::try_from(*n).ok()).collect();
        let (Ok(home), Some(last)) = (u16::try_from(home), numbers.last()) else { return };
        let said =
            |number: &u16| match self.by_number.get(&Number::from(*number)).map(|id| &self.exchanges[id]) {
                _ if *number == home => NO_GROUP,
                Some(Exchange { free: None, .. }) => NOT_KNOWN,
                Some(Exchange { free: Some(free), total, .. }) if *total > 0.0 => {
                    free.clamp(0.0, f64::from(NOT_KNOWN - 1)) as u8
                }
                _ => NO_GROUP,
            };
        for first in (0..=*last).step_by(MESSAGE_NUMBERS) {
            let block = first..=first.saturating_add(MESSAGE_NUMBERS as u16 - 1).min(*last);
            if numbers.iter().any(|number| block.contains(number)) {
                let mut bytes = vec![MESSAGE_VERSION];
                for word in [home, stamp(self.now), first] {
                    bytes.extend(word.to_le_bytes());
                }
                bytes.extend(block.map(|number| said(&number)));
                actions.push(Action::SendPeerMessage { to: None, bytes });
            }
        }
    }

    /// A peer's message, passed over if it is of another version, older than the last, or from an unknown
    /// peer.
    fn learn_message(&mut self, bytes: &[u8]) {
        let [MESSAGE_VERSION, home_low, home_high, stamp_low, stamp_high, low, high, legs @ ..] = bytes
        else {
            return;
        };
        let peer = Number::from(u16::from_le_bytes([*home_low, *home_high]));
        let sent = u16::from_le_bytes([*stamp_low, *stamp_high]);
        let first = Number::from(u16::from_le_bytes([*low, *high]));
        let Some(id) = self.by_number.get(&peer).filter(|_| Some(peer) != self.set.home) else { return };
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        let late =
            |(last, at): (u16, f64)| sent.wrapping_sub(last) > u16::MAX / 2 && self.now - at < FAR_REPORT_MS;
        if exchange.heard.is_some_and(late) {
            return;
        }
        exchange.heard = Some((sent, self.now));
        for (dest, said) in
            (first..).zip(legs).filter(|(dest, _)| self.by_number.contains_key(dest) && *dest != peer)
        {
            let leg = self.legs.entry((peer, dest)).or_default();
            match *said {
                NO_GROUP => *leg = Leg { absent_until: self.now + ABSENT_MS, ..Leg::default() },
                NOT_KNOWN => {}
                free => {
                    leg.told = Some((f64::from(free), self.now));
                    leg.absent_until = 0.0;
                }
            }
        }
    }

    // ---- upkeep ----

    fn upkeep(&mut self, actions: &mut Vec<Action>) {
        let heard = self.exchanges.values().any(|e| e.free.is_some());
        actions.push(Action::SetTimer { delay_ms: UPKEEP_MS, tag: UPKEEP_TAG });
        if self.set.must_fetch_list && !self.subscribed && self.now - self.asked_at >= ASK_AGAIN_MS {
            self.subscribed = true;
            self.asked_at = self.now;
            actions.push(Action::Subscribe);
        }
        if heard && self.now - self.told_at >= TELL_MS {
            self.told_at = self.now;
            self.tell_peers(actions);
        }
        let now = self.now;
        self.gapped.retain(|_, until| *until > now);
        self.exchanges.retain(|_, e| !e.told_off || !e.out.is_empty() || now - e.told_off_at < FORGET_MS);
        let listed: BTreeSet<Number> = self.exchanges.values().map(|e| e.number).collect();
        self.legs.retain(|(tandem, dest), _| listed.contains(tandem) && listed.contains(dest));
        self.rates.retain(|number, _| listed.contains(number));
    }
}

/// The highest worth of a class for each circuit and ms, and for each call, if the settings make sense.
fn tops(settings: &Settings) -> Result<(f64, f64), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError("there is no class of call"));
    }
    if settings.classes.iter().any(|c| !(c.width > 0.0 && c.mean_hold_ms > 0.0 && c.target_setup_ms > 0.0)) {
        return Err(SettingsError("a class has no width, no length or no wanted time"));
    }
    if settings.attempt_limit == 0 {
        return Err(SettingsError("no call may be attempted (try limit 0)"));
    }
    let value = settings.classes.iter().map(circuit_value).fold(f64::MIN_POSITIVE, f64::max);
    Ok((value, settings.classes.iter().map(|c| c.worth).fold(f64::MIN_POSITIVE, f64::max)))
}

/// A delay after some time without news.
fn decayed(delay: f64, idle_ms: f64) -> f64 {
    delay * 0.5f64.powf(idle_ms.max(0.0) / DELAY_HALF_LIFE_MS)
}

/// A time as messages carry it: tenths of a second, counted round.
fn stamp(now: f64) -> u16 {
    (now / 100.0).rem_euclid(65_536.0) as u16
}

/// A running rate after some time without a send.
fn faded_rate((rate, at): (f64, f64), now: f64) -> f64 {
    rate * (-(now - at) / RATE_MS).exp()
}

/// What a class earns for each circuit and ms.
fn circuit_value(class: &Class) -> f64 {
    class.worth / (class.width * class.mean_hold_ms)
}
