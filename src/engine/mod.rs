//! The reducer: every call, attempt, timer and peer of a softswitch, and no wire, socket or clock.
//!
//! [`Engine::handle`] is the only way in. It takes the time and one [`Input`], lets the decision module decide
//! and adds [`Effect`]s. It trusts neither side with the rules: whatever comes, a call gets one final outcome
//! in its time, has one attempt out at most, keeps the release pause, and nothing new goes to an exchange that
//! drains.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
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

mod exchanges;
mod messages;
mod recording;
mod sibling;
mod status;

use exchanges::{Conn, Peer, QUIET, Way};
pub use messages::{
    CallUid, CallerConnId, CallerMessage, Effect, ExchangeConnId, ExchangeMessage, Front, HandoverState,
    Input, ListEntry, SetUp, SiblingMessage,
};
use recording::{LastEnd, Notes};
use sibling::Role;
use swiftlb_record::{DrainSource, Event as Recorded, FailureReason, RefusalReason, ReleasedBy};

/// A final answer that the module has not given this long after the caller's time is given for it: well
/// inside the 50 ms that the rules allow on sockets.
const OVERDUE: Duration = Duration::from_millis(15);
/// Time between two tries to reach an exchange that is down, so that news of its group comes soon after.
const REDIAL: Duration = Duration::from_millis(250);
/// An exchange that the list no longer has may still say how its calls ended for this long.
const LAST_WORDS: Duration = Duration::from_millis(700);
/// A release that finds no way to callers is kept for this long: past it nobody waits for it.
const KEEP_RELEASE: Duration = Duration::from_secs(10);
/// No way has this id.
const NO_LINK: CallerConnId = CallerConnId::MAX;
/// A release whose own way is gone waits this long for a way on which calls have come: a connection that has
/// said nothing yet may never read it.
const BETTER_WAY: Duration = Duration::from_millis(250);
/// A connection from callers must bring its first line within this time: good callers may write it over 2 s, and bad
/// ones are owed a word within 3 s.
const FIRST_LINE: Duration = Duration::from_millis(2_500);
/// A connection from callers with no call on it is closed after this time; callers themselves close it
/// after 4 s, so whoever is still there holds it for good.
const IDLE: Duration = Duration::from_secs(5);
/// A connection younger than this is not closed to make room: its first line is on its way.
const FRESH: Duration = Duration::from_millis(200);
/// Lines that cannot be used before the connection they come on is closed.
const MOST_MALFORMED: u32 = 4;
/// Set-ups that may wait for an answer at once, and bytes of their descriptions: memory is bounded, and what
/// lies beyond would not be answered in time anyway.
const MOST_OPEN: usize = 1_000;
const MOST_OPEN_BYTES: usize = 4 << 20;
/// A release may prove unheard for this long after it was sent.
const UNHEARD: Duration = Duration::from_secs(1);
/// After the order to stop, set-ups arrive for 0.4 s on new connections and 0.2 s more on open ones.
const DRAIN: Duration = Duration::from_millis(700);
/// Calls that stand may go on for this long after it, unless the platform ends the process before: they are cut with
/// it, and most of them end by then.
const STAY: Duration = Duration::from_secs(10);
/// A call that is over is remembered for this long, so that what an exchange still says of it is told from
/// news of a call that stood before this softswitch last started.
const REMEMBER: Duration = Duration::from_secs(30);
/// A process that has just started may say that it can serve with ways still being opened after this time.
const CONNECTED: Duration = Duration::from_secs(1);
/// From this long after the order to drain on, callers' connections are closed: until then the front sends new
/// ones, and finds out what the test says.
const EMPTY_AFTER: Duration = Duration::from_millis(300);
/// Time between two looks at what is still open.
const EMPTY_EVERY: Duration = Duration::from_millis(50);
/// Until this long after the order one connection is kept while calls stand: releases are owed within 1 s, and
/// while the front sends nobody, callers may not connect for long. Then it is emptied too: at 4 s none may be open
/// that is idle or that brought a call less than 2 s before.
const EMPTY_BY: Duration = Duration::from_millis(3_700);
const EMPTY_RECENT: Duration = Duration::from_millis(1_900);
/// Where the resolver says nothing for this long, the list of the start has to do.
const UNLISTED: Duration = Duration::from_secs(3);
/// An exchange that is gone is forgotten after this long.
const FORGET: Duration = Duration::from_secs(30);

/// Milliseconds of a span, as the module counts them.
pub fn duration_to_ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

/// Longest span in seconds. It holds times since 1970 too: a bound of 1e9 made every start of an exchange lie
/// in 2001, so that none ever counted as cold.
const LONGEST_SPAN: f64 = 1e11;

/// A span of the module's milliseconds; whatever is no time at all counts as zero.
pub fn duration_from_ms(ms: f64) -> Duration {
    let seconds = if ms.is_finite() { ms / 1_000.0 } else { 0.0 };
    Duration::from_secs_f64(seconds.clamp(0.0, LONGEST_SPAN))
}

/// The module's clock: milliseconds since 1970.
fn clock(at: SystemTime) -> f64 {
    duration_to_ms(since(UNIX_EPOCH, at))
}

/// Time from one moment to a later one; zero if the clock was set back between them.
fn since(from: SystemTime, to: SystemTime) -> Duration {
    to.duration_since(from).unwrap_or_default()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Of the module.
    Module(u64),
    /// The time-out of this attempt of a call.
    Attempt(CallId, u32),
    /// The caller's time is over.
    Overdue(CallId),
    /// An exchange may be dialled again.
    Redial(ExchangeId),
    /// The last words of an exchange that is gone.
    Bury(ExchangeId),
    /// Look whether an exchange is still there.
    Watch(ExchangeId),
    /// Look whether anything has come on a way since a set-up went out on it.
    Quiet(ExchangeConnId),
    /// A connection from callers may have been idle for too long.
    Idle(CallerConnId),
    /// Releases have waited for a better way.
    Held,
    /// The drain may be over.
    Drained,
    /// Close what callers hold open (since this order to drain).
    Empty(SystemTime),
    /// The process may be ready to serve.
    Begin,
    /// Nothing may be left to stay for.
    Leave,
    /// Time to record what the decisions believe.
    Beliefs,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Taken, nothing out.
    Open,
    /// One attempt out; no way if it still waits for one.
    Out { to: ExchangeId, sent: SystemTime, on: Option<ExchangeConnId> },
    /// It stands.
    Standing { at: ExchangeId },
}

#[derive(Debug)]
struct Call {
    name: CallUid,
    caller_conn: CallerConnId,
    front: Front,
    class: String,
    dest: Number,
    width: f64,
    key: Option<String>,
    description: Option<Arc<str>>,
    came: SystemTime,
    deadline: SystemTime,
    phase: Phase,
    attempts: u32,
    /// Until when what the last attempt took may not be free (release pause).
    paused_until: Option<SystemTime>,
    /// Whether the last attempt found the number busy.
    busy: bool,
    /// How the last attempt ended.
    last_end: Option<LastEnd>,
}

/// A way to callers.
#[derive(Debug)]
struct Link {
    front: Front,
    /// When it came up or last brought a line.
    heard: SystemTime,
    /// It has brought a line.
    spoke: bool,
    /// It has brought tests and nothing else: whoever only tests reads nothing that concerns calls.
    tester: bool,
    /// A call that came on it was answered by an exchange.
    served: bool,
    malformed: u32,
}

#[derive(Clone)]
struct Held {
    since: SystemTime,
    until: SystemTime,
    front: Front,
    call: CallUid,
    word: CallerMessage,
}

/// All state of a softswitch.
pub struct Engine {
    name: String,
    module: Controller,
    now: SystemTime,
    classes: Vec<(String, f64, Duration)>,
    home: Option<Number>,
    try_limit: u32,
    release_pause: Duration,
    drain_grace: Duration,
    calls: HashMap<CallId, Call>,
    by_name: HashMap<CallUid, CallId>,
    last_call: CallId,
    peers: BTreeMap<ExchangeId, Peer>,
    by_peer_name: HashMap<Arc<str>, ExchangeId>,
    conns: HashMap<ExchangeConnId, Conn>,
    last_conn: ExchangeConnId,
    last_peer: u32,
    links: BTreeMap<CallerConnId, Link>,
    most_links: usize,
    /// Descriptors that the softswitch may hold.
    sockets: usize,
    /// Set-ups without an answer, and bytes of their descriptions.
    open: usize,
    open_bytes: usize,
    most_wait: Duration,
    held: VecDeque<Held>,
    /// A timer runs for them.
    held_timer: bool,
    /// Releases that were sent a moment ago, and on which way: it may turn out that nobody read them.
    fresh: VecDeque<(SystemTime, CallerConnId, Held)>,
    /// Calls that are over, oldest first, and the same for looking them up.
    over: VecDeque<(SystemTime, CallUid)>,
    over_names: HashSet<CallUid>,
    tests: u64,
    timers: BinaryHeap<Reverse<(SystemTime, u64, Timer)>>,
    timer_count: u64,
    events: VecDeque<Event>,
    draining_since: Option<SystemTime>,
    /// Since when an operator has callers sent away.
    emptying: Option<SystemTime>,
    /// The other process of this softswitch, while there is one.
    twin: Option<Role>,
    /// It takes connections from callers; one that takes the place of another does so once it is ready.
    accepting: bool,
    /// It was told to stop, and another process has taken its place.
    leaving: bool,
    serial: u32,
    figures: Metrics,
    notes: Notes,
    /// Places of the free circuits and of the size of the group in a report.
    in_report: (Option<usize>, Option<usize>),
    /// Since when it runs, and whether its list of exchanges is known to be the latest.
    started: SystemTime,
    listed: bool,
}

impl Engine {
    /// A softswitch that has just started, and what it asks for first.
    ///
    /// # Errors
    /// If the module can make no decisions with these settings.
    pub fn new(config: &Config, now: SystemTime, effects: &mut Vec<Effect>) -> Result<Self, SettingsError> {
        let mut engine = Self {
            name: config.name.clone(),
            module: Controller::new(config.settings.clone(), config.seed)?,
            now,
            classes: Vec::new(),
            home: None,
            try_limit: 0,
            release_pause: Duration::ZERO,
            drain_grace: Duration::ZERO,
            calls: HashMap::new(),
            by_name: HashMap::new(),
            last_call: 0,
            peers: BTreeMap::new(),
            by_peer_name: HashMap::new(),
            conns: HashMap::new(),
            last_conn: 0,
            last_peer: 0,
            links: BTreeMap::new(),
            most_links: 0,
            sockets: 0,
            open: 0,
            open_bytes: 0,
            most_wait: Duration::ZERO,
            held: VecDeque::new(),
            held_timer: false,
            fresh: VecDeque::new(),
            over: VecDeque::new(),
            over_names: HashSet::new(),
            // Ids of tests are its own: no other process with the same seed may have had them.
            tests: !config.seed,
            timers: BinaryHeap::new(),
            timer_count: 0,
            events: VecDeque::new(),
            draining_since: None,
            emptying: None,
            twin: None,
            accepting: true,
            leaving: false,
            serial: config.list_serial,
            figures: Metrics::default(),
            notes: Notes::default(),
            in_report: (None, None),
            started: now,
            listed: false,
        };
        engine.configure(config);
        engine.learn_list(config.exchanges.clone(), ListUpdateKind::Cached, effects);
        engine.run_module(effects);
        Ok(engine)
    }

    /// When it wants to be woken if nothing happens before.
    pub fn next_wake(&self) -> Option<SystemTime> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Calls that stand or wait, for the log.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Everything that it holds, counted: what must not grow for ever.
    pub fn entry_count(&self) -> usize {
        let peers = self.peers.values().map(|peer| 1 + peer.releases.len()).sum::<usize>();
        let names = self.by_name.len() + self.by_peer_name.len() + self.over.len() + self.over_names.len();
        let ways = self.conns.len() + self.links.len() + self.held.len() + self.fresh.len();
        self.calls.len() + peers + names + ways + self.timers.len() + self.events.len()
    }

    /// Takes one input at this time and adds what follows from it. Timers that are due ring first.
    pub fn handle(&mut self, now: SystemTime, input: Input, effects: &mut Vec<Effect>) {
        // The system's clock may be set back; time here never runs backwards.
        self.now = self.now.max(now);
        while let Some(Reverse((at, _, timer))) = self.timers.peek().copied()
            && at <= self.now
        {
            self.timers.pop();
            self.ring(timer, effects);
            self.run_module(effects);
        }
        self.take(input, effects);
        self.run_module(effects);
        self.begin(effects);
        self.give_notes(effects);
    }

    fn take(&mut self, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Wake => {}
            Input::CallerConnected { caller_conn, front } => self.link_up(caller_conn, front, effects),
            Input::CallerStreamCorrupt { caller_conn } => self.spoil(caller_conn, effects),
            Input::CallerDisconnected { caller_conn } => self.lose_link(caller_conn, effects),
            Input::CallerMessagesUnread { caller_conn } => {
                // Guards against the loss of a release that crossed the caller's close of the connection.
                let unheard = self.fresh.iter().filter(|(_, on, _)| *on == caller_conn);
                self.held.extend(unheard.map(|(_, _, held)| held.clone()));
                self.fresh.retain(|(_, on, _)| *on != caller_conn);
                self.send_held(effects);
            }
            Input::SetUp { caller_conn, call, setup } => {
                self.heard(caller_conn, effects);
                self.take_call(caller_conn, call, setup, effects);
            }
            Input::MalformedSetUp { caller_conn, call } => {
                self.heard(caller_conn, effects);
                self.malformed(caller_conn, call, effects);
            }
            Input::HangUp { caller_conn, call, cause } => {
                self.heard(caller_conn, effects);
                self.hang_up(caller_conn, call, cause, effects);
            }
            Input::HealthCheck { caller_conn, call } => {
                // Guards against the loss of releases on the connections that the front only tests with.
                if let Some(held) = self.links.get_mut(&caller_conn) {
                    held.tester = !held.spoke;
                    held.heard = self.now;
                }
                let passed = self.draining_since.is_none() && self.emptying.is_none();
                effects.push(Effect::ToCaller {
                    caller_conn,
                    call,
                    message: CallerMessage::HealthCheckResult { passed },
                });
            }
            Input::List(entries) => self.learn_list(entries, ListUpdateKind::Complete, effects),
            Input::ListConfirmed { serial } => {
                if (self.listed, self.serial) != (true, serial) {
                    let known =
                        self.peers.values().filter(|peer| peer.readiness != Readiness::Removed).count();
                    self.note(|_| Recorded::List { serial, exchanges: known as u32 });
                }
                (self.listed, self.serial) = (true, serial);
            }
            Input::SiblingMessage(word) => self.hear_twin(word, effects),
            Input::SiblingDisconnected => self.lose_twin(effects),
            Input::AttemptsWritten { attempts } => self.figures.count_attempts(attempts),
            Input::OperatorRequest { request_id, request } => {
                let reply = self.operate(request);
                effects.push(Effect::ToOperator { request_id, reply });
            }
            Input::ExchangeConnected { exchange_conn, carries_calls } => {
                self.connected(exchange_conn, carries_calls, effects)
            }
            Input::ExchangeConnectFailed { exchange_conn, refused } => {
                self.connect_failed(exchange_conn, refused, effects)
            }
            Input::ExchangeDisconnected { exchange_conn } => self.connection_lost(exchange_conn, effects),
            Input::ExchangeActivity { exchange_conn } => self.note_heard(exchange_conn),
            Input::Answered { exchange_conn, call, description } => {
                self.answered(exchange_conn, call, description, effects)
            }
            Input::Ended { exchange_conn, call, outcome, reason } => {
                self.ended(exchange_conn, call, outcome, reason, effects);
            }
            Input::GroupState { exchange_conn, report } => self.group_told(exchange_conn, report),
            Input::ProbeResult { exchange_conn, passed, report } => {
                self.probed(exchange_conn, passed, report)
            }
            Input::Reload(config) => self.reload(config, effects),
            Input::Drain if self.succeeded() => self.leave_to_successor(effects),
            Input::Drain => {
                self.note(|_| Recorded::Stopping);
                self.draining_since.get_or_insert(self.now);
                self.set_timer(DRAIN, Timer::Drained);
                self.set_timer(STAY, Timer::Drained);
            }
        }
    }

    fn operate(&mut self, order: OperatorRequest) -> OperatorReply {
        match order {
            OperatorRequest::Readiness if self.is_ready() => OperatorReply::Done,
            OperatorRequest::Readiness => OperatorReply::NotReady,
            OperatorRequest::Metrics => {
                let listed = || self.peers.iter().filter(|(_, peer)| peer.readiness != Readiness::Removed);
                let avoided =
                    |id: &ExchangeId, peer: &Peer| Some(peer.number) != self.home && self.module.avoids(*id);
                let unavailable = listed().filter(|(id, peer)| avoided(id, peer)).count();
                let now = Gauges { pending: self.calls.len(), members: listed().count(), unavailable };
                OperatorReply::Metrics(self.figures.prometheus_text(now))
            }
            OperatorRequest::Fleet => OperatorReply::Fleet(self.fleet().to_json()),
            OperatorRequest::DrainStart => {
                if self.emptying.is_none() {
                    self.note_drain(true, DrainSource::Operator);
                    self.emptying = Some(self.now);
                    self.set_timer(EMPTY_AFTER, Timer::Empty(self.now));
                }
                OperatorReply::Done
            }
            OperatorRequest::DrainStop => {
                if self.emptying.take().is_some() {
                    self.note_drain(false, DrainSource::Operator);
                }
                // Callers come back in a moment: what waits for them is not told to whoever is there by chance.
                let now = self.now;
                self.held.iter_mut().for_each(|held| (held.since, held.until) = (now, now + KEEP_RELEASE));
                OperatorReply::Done
            }
        }
    }

    /// Whether this process can serve: it does from its start on, but the list of that may be old news, and its
    /// ways to the exchanges take a moment.
    fn is_ready(&self) -> bool {
        let age = since(self.started, self.now);
        let dials = |peer: &Peer| matches!(peer.way, Way::Dialling(_));
        (self.listed || age >= UNLISTED) && (age >= CONNECTED || !self.peers.values().any(dials))
    }

    /// Takes a new configuration whole, or none of it. The list of exchanges is not read again: it lives on
    /// with its serial, and the resolver tells what has changed since.
    fn reload(&mut self, config: Box<Config>, effects: &mut Vec<Effect>) {
        let place = |name: &String| config.classes.iter().position(|(class, _)| class == name);
        let places: Vec<Option<usize>> = self.classes.iter().map(|(name, ..)| place(name)).collect();
        if let Err(error) = self.module.reconfigure(config.settings.clone(), &places) {
            effects.push(Effect::Log(format!("configuration refused, the old one stays: {error}")));
            return;
        }
        self.configure(&config);
        self.note_classes();
        effects.push(Effect::Log(format!("configuration read again, resolver at {}", config.resolver)));
        effects.push(Effect::Reconfigure(config));
    }

    fn configure(&mut self, config: &Config) {
        let set = &config.settings;
        let classes = config.classes.iter().zip(&set.classes);
        self.classes = classes.map(|((name, most), class)| (name.clone(), class.width, *most)).collect();
        self.figures.add_classes(config.classes.iter().map(|(name, _)| name.clone()));
        self.home = set.home;
        self.try_limit = set.attempt_limit;
        self.release_pause = duration_from_ms(set.release_pause_ms);
        self.drain_grace = duration_from_ms(set.drain_grace_ms);
        self.most_wait = duration_from_ms(set.max_retry_after_ms);
        self.sockets = config.max_sockets;
        let place = |field| set.report_fields.iter().position(|known| *known == field);
        self.in_report = (place(ReportField::FreeCircuits), place(ReportField::TotalCircuits));
        self.divide();
    }

    fn set_timer(&mut self, delay: Duration, timer: Timer) {
        self.timer_count += 1;
        self.timers.push(Reverse((self.now + delay, self.timer_count, timer)));
    }

    fn ring(&mut self, timer: Timer, effects: &mut Vec<Effect>) {
        match timer {
            Timer::Module(tag) => self.events.push_back(Event::TimerExpired { tag }),
            Timer::Attempt(id, attempt) => self.time_out(id, attempt, effects),
            Timer::Overdue(id) => {
                // Guards rule 1 against the module: its answer is overdue.
                if let Some(call) = self.calls.get(&id)
                    && !matches!(call.phase, Phase::Standing { .. })
                {
                    effects.push(Effect::Log(format!("{:?} overdue, failed for the module", call.name)));
                    self.abandon(id, effects);
                    self.conclude_as(
                        id,
                        CallerMessage::Failed { busy: false },
                        Some(FailureReason::DecisionOverdue),
                        effects,
                    );
                }
            }
            Timer::Redial(peer) => self.redial(peer, effects),
            Timer::Bury(peer) => self.bury(peer, effects),
            Timer::Watch(peer) => {
                self.forget_old();
                self.watch(peer, effects);
            }
            Timer::Quiet(exchange_conn) => self.check_quiet(exchange_conn, effects),
            Timer::Idle(caller_conn) => self.check_idle(caller_conn, effects),
            Timer::Held => {
                self.held_timer = false;
                self.send_held(effects);
            }
            Timer::Drained => self.try_exit(effects),
            Timer::Empty(order) => self.empty(order, effects),
            // What it waits for is looked at after each input.
            Timer::Begin => {}
            Timer::Leave => self.look_whether_empty(effects),
            Timer::Beliefs => self.note_beliefs(),
        }
    }

    /// Sends callers away while a drain lasts: closes each connection of theirs that holds nothing open.
    fn empty(&mut self, order: SystemTime, effects: &mut Vec<Effect>) {
        if self.emptying != Some(order) {
            return;
        }
        self.set_timer(EMPTY_EVERY, Timer::Empty(order));
        let late = since(order, self.now) >= EMPTY_BY;
        let in_use = |caller_conn: &Link| late && since(order, caller_conn.heard) >= EMPTY_RECENT;
        let links: Vec<(CallerConnId, bool)> =
            self.links.iter().map(|(id, caller_conn)| (*id, in_use(caller_conn))).collect();
        let open = self.links_in_use();
        let kept = if late { None } else { self.kept_for_releases() };
        for (caller_conn, in_use) in links {
            if !open.contains(&caller_conn) && kept != Some(caller_conn) {
                self.close_if_empty(caller_conn, effects);
            } else if in_use {
                self.spoil(caller_conn, effects);
            }
        }
    }

    /// The connection that goes last, because the ends of the calls that stand are told on it.
    fn kept_for_releases(&self) -> Option<CallerConnId> {
        let stands =
            |call: &Call| call.front == Front::JsonLines && matches!(call.phase, Phase::Standing { .. });
        let any = self.calls.values().any(stands);
        let callers = self
            .links
            .iter()
            .filter(|(_, caller_conn)| any && caller_conn.front == Front::JsonLines && caller_conn.spoke);
        callers
            .max_by_key(|(id, caller_conn)| (caller_conn.served, std::cmp::Reverse(**id)))
            .map(|(id, _)| *id)
    }

    /// Closes a connection of callers that are being sent away; no set-up is open on it.
    fn close_if_empty(&self, id: CallerConnId, effects: &mut Vec<Effect>) {
        let Some(caller_conn) =
            self.links.get(&id).filter(|caller_conn| caller_conn.front == Front::JsonLines)
        else {
            return;
        };
        let leaving =
            self.leaving || self.emptying.is_some_and(|order| since(order, self.now) >= EMPTY_AFTER);
        // One that has just come has something to say.
        if leaving
            && (caller_conn.spoke || caller_conn.tester || since(caller_conn.heard, self.now) >= EMPTY_AFTER)
        {
            effects.push(Effect::CloseCallerConnIfIdle { caller_conn: id });
        }
    }

    /// Ways to callers on which set-ups are open.
    fn links_in_use(&self) -> HashSet<CallerConnId> {
        let open = self.calls.values().filter(|call| !matches!(call.phase, Phase::Standing { .. }));
        open.map(|call| call.caller_conn).collect()
    }

    /// A call has had its answer: its connection may have nothing more open.
    fn answered_on(&self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        let kept = match self.emptying {
            Some(order) => since(order, self.now) < EMPTY_BY && self.kept_for_releases() == Some(caller_conn),
            None if self.leaving => false,
            None => return,
        };
        if !kept && !self.links_in_use().contains(&caller_conn) {
            self.close_if_empty(caller_conn, effects);
        }
    }

    fn try_exit(&mut self, effects: &mut Vec<Effect>) {
        let callers = || self.links.values().any(|caller_conn| caller_conn.front == Front::JsonLines);
        if self.leaving && self.calls.is_empty() && self.held.is_empty() && !callers() {
            self.exit(effects);
        }
        let Some(start) = self.draining_since else { return };
        let gone_on = since(start, self.now) >= STAY;
        let stays = |call: &Call| !gone_on || !matches!(call.phase, Phase::Standing { .. });
        if !self.calls.values().any(stays) && since(start, self.now) >= DRAIN {
            self.exit(effects);
        }
    }

    fn exit(&mut self, effects: &mut Vec<Effect>) {
        self.note_stopped();
        effects.push(Effect::Exit);
    }

    // ---- the module ----

    fn run_module(&mut self, effects: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.module.handle(clock(self.now), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action, effects);
            }
        }
    }

    fn act(&mut self, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Send { call, exchange, timeout_ms } => {
                self.attempt(call, exchange, duration_from_ms(timeout_ms), effects);
            }
            Action::Refuse { call, retry_after_ms } => {
                self.conclude(
                    call,
                    CallerMessage::Refused { retry_after: duration_from_ms(retry_after_ms) },
                    effects,
                );
            }
            Action::Fail { call } => {
                let busy = self.calls.get(&call).is_some_and(|held| held.busy);
                self.conclude(call, CallerMessage::Failed { busy }, effects);
            }
            Action::Cancel { call, attempt } => {
                if self.calls.get(&call).is_some_and(|held| held.attempts == attempt + 1) {
                    self.cancel(call, effects);
                }
            }
            Action::SetTimer { delay_ms, tag } => {
                self.set_timer(duration_from_ms(delay_ms), Timer::Module(tag))
            }
            Action::Probe { exchange } => {
                if let Some(Way::Up(exchange_conn)) = self.peers.get(&exchange).map(|peer| peer.way) {
                    self.tests = self.tests.wrapping_add(1);
                    let call = CallUid::from_u64(self.tests);
                    effects.push(Effect::ToExchange { exchange_conn, call, message: ExchangeMessage::Probe });
                }
            }
            Action::Log { text } => effects.push(Effect::Log(text)),
            // Softswitches have no way to talk to each other here, and the list comes unasked.
            Action::SendPeerMessage { .. } | Action::Subscribe | Action::FetchList => {}
        }
    }

    // ---- calls ----

    fn take_call(
        &mut self,
        caller_conn: CallerConnId,
        name: CallUid,
        setup: SetUp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(front) = self.links.get(&caller_conn).map(|caller_conn| caller_conn.front) else { return };
        if self.by_name.contains_key(&name) {
            // A message under this id could be taken for the answer of the call that has it.
            return self.spoil(caller_conn, effects);
        }
        let class = self.classes.iter().position(|(class, ..)| *class == setup.class);
        // What no caller of the class can mean must not reach an exchange, which would take it for good.
        let fits = |class: &usize| {
            let (_, width, most) = &self.classes[*class];
            setup.remaining.is_none_or(|left| left <= *most) && setup.width.is_none_or(|w| w == *width)
        };
        let Some(class) = class.filter(fits) else { return self.malformed(caller_conn, name, effects) };
        let bytes = setup.description.as_ref().map_or(0, |text| text.len());
        // Handsets have no front that stops sending: they are told themselves.
        let sent_away = (self.emptying.is_some() || self.leaving) && front == Front::Iax2;
        if sent_away || self.open >= MOST_OPEN || self.open_bytes + bytes > MOST_OPEN_BYTES {
            self.figures.count_rejected(&setup.class);
            let why = if sent_away { RefusalReason::Draining } else { RefusalReason::TooManySetUps };
            self.note_refusal(name, why, self.most_wait);
            let message = CallerMessage::Refused { retry_after: self.most_wait };
            effects.push(Effect::ToCaller { caller_conn, call: name, message });
            return;
        }
        self.open += 1;
        self.open_bytes += bytes;
        let (width, most) = (self.classes[class].1, self.classes[class].2);
        // The clock of the caller runs from the last byte of the set-up, not from when its turn came here.
        let deadline = setup.received + setup.remaining.unwrap_or(most);
        self.last_call = self.last_call.wrapping_add(1);
        let id = self.last_call;
        self.events.push_back(Event::Call(NewCall {
            call: id,
            class,
            tenant: 0,
            width: setup.width.unwrap_or(width),
            dest: setup.dest,
            called_number: setup.called_number.as_deref().map_or(0, key_number),
            remaining_ms: duration_to_ms(since(self.now, deadline)),
            transit_from: setup.transit_from,
            advised_route: setup.advised_route,
            redial: false,
            was_cut: setup.was_cut,
        }));
        self.set_timer(since(self.now, deadline) + OVERDUE, Timer::Overdue(id));
        self.by_name.insert(name, id);
        self.calls.insert(
            id,
            Call {
                name,
                caller_conn,
                front,
                class: setup.class,
                dest: setup.dest,
                width: setup.width.unwrap_or(width),
                key: setup.called_number,
                description: setup.description,
                came: setup.received,
                deadline,
                phase: Phase::Open,
                attempts: 0,
                paused_until: None,
                busy: false,
                last_end: None,
            },
        );
        self.note_set_up(id, setup.dest, setup.transit_from, setup.was_cut);
    }

    /// The one place where a call is given back: its final answer, if one is owed, and all that it held.
    fn conclude(&mut self, id: CallId, word: CallerMessage, effects: &mut Vec<Effect>) {
        self.conclude_as(id, word, None, effects);
    }

    /// The same where the reason is not how its last attempt ended.
    fn conclude_as(
        &mut self,
        id: CallId,
        message: CallerMessage,
        why: Option<FailureReason>,
        effects: &mut Vec<Effect>,
    ) {
        // Rule 1: a call that stands has had its answer; all that may follow is its release.
        let released = matches!(message, CallerMessage::Released { .. });
        let stands = |call: &Call| matches!(call.phase, Phase::Standing { .. });
        if !released && self.calls.get(&id).is_some_and(stands) {
            return;
        }
        let Some(call) = self.forget(id, effects) else { return };
        match message {
            CallerMessage::Refused { retry_after } => {
                self.figures.count_rejected(&call.class);
                self.note_refused(&call, retry_after);
            }
            CallerMessage::Failed { busy } => {
                self.figures.count_failed(&call.class);
                match why {
                    Some(why) => self.note_failure(call.name, why),
                    None => self.note_failed(&call, busy),
                }
            }
            _ => {}
        }
        if released {
            self.release_caller(call.caller_conn, self.held(call.front, call.name, message), effects);
        } else if self.links.contains_key(&call.caller_conn) {
            effects.push(Effect::ToCaller { caller_conn: call.caller_conn, call: call.name, message });
            self.answered_on(call.caller_conn, effects);
        }
        self.try_exit(effects);
    }

    /// Takes a call off the books. An attempt of its still out is called off: a call that is over has none.
    fn forget(&mut self, id: CallId, effects: &mut Vec<Effect>) -> Option<Call> {
        self.abandon(id, effects);
        let call = self.calls.remove(&id)?;
        if !matches!(call.phase, Phase::Standing { .. }) {
            self.no_longer_open(call.description.as_ref());
        }
        self.by_name.remove(&call.name);
        if self.over_names.insert(call.name) {
            self.over.push_back((self.now, call.name));
        }
        // The module may still hold it (overdue, link lost); it passes over an id it has ended itself.
        self.events.push_back(Event::Abandoned { call: id });
        Some(call)
    }

    /// Forgets calls that have been over for long.
    fn forget_old(&mut self) {
        while let Some((at, name)) = self.over.front().copied()
            && since(at, self.now) > REMEMBER
        {
            self.over.pop_front();
            self.over_names.remove(&name);
        }
        let now = self.now;
        self.fresh.retain(|(sent, ..)| since(*sent, now) <= UNHEARD);
    }

    fn no_longer_open(&mut self, description: Option<&Arc<str>>) {
        self.open = self.open.saturating_sub(1);
        self.open_bytes = self.open_bytes.saturating_sub(description.map_or(0, |text| text.len()));
    }

    fn held(&self, front: Front, call: CallUid, word: CallerMessage) -> Held {
        Held { since: self.now, until: self.now + KEEP_RELEASE, front, call, word }
    }

    /// Releases a call towards its caller: on the way that its set-up came on, else on one on which calls were
    /// served or at least came, else, after a moment, on any, else on the next.
    fn release_caller(&mut self, first: CallerConnId, held: Held, effects: &mut Vec<Effect>) {
        let waited = since(held.since, self.now) >= BETTER_WAY;
        let of_front = self
            .links
            .iter()
            .filter(|(_, caller_conn)| caller_conn.front == held.front && !caller_conn.tester);
        // While callers are sent away, who comes and says nothing is none of those that calls stand for.
        let waited = waited && self.emptying.is_none();
        let silent = |caller_conn: &Link| waited && since(caller_conn.heard, self.now) >= BETTER_WAY;
        let good = of_front.filter(|(_, caller_conn)| {
            caller_conn.spoke || caller_conn.front == Front::Iax2 || silent(caller_conn)
        });
        let good =
            good.max_by_key(|(_, caller_conn)| (caller_conn.served, caller_conn.spoke, caller_conn.heard));
        let caller_conn = if self.links.contains_key(&first) {
            Some(first)
        } else {
            good.map(|(caller_conn, _)| *caller_conn)
        };
        let Some(caller_conn) = caller_conn else {
            let now = self.now;
            // While callers are sent away there may be no way for long.
            self.held.retain(|held| held.until > now || self.emptying.is_some());
            if self.succeeded() && held.front == Front::JsonLines {
                let cut = held.word == CallerMessage::Released { cut: true };
                return effects.push(Effect::ToSibling(SiblingMessage::Release { call: held.call, cut }));
            }
            if !std::mem::replace(&mut self.held_timer, true) {
                self.set_timer(BETTER_WAY, Timer::Held);
            }
            self.held.push_back(held);
            return;
        };
        effects.push(Effect::ToCaller { caller_conn, call: held.call, message: held.word.clone() });
        let now = self.now;
        self.fresh.retain(|(sent, ..)| since(*sent, now) <= UNHEARD);
        self.fresh.push_back((now, caller_conn, held));
    }

    /// Sends what waits for a way to callers.
    fn send_held(&mut self, effects: &mut Vec<Effect>) {
        for held in std::mem::take(&mut self.held) {
            if held.until > self.now || self.emptying.is_some() {
                self.release_caller(NO_LINK, held, effects);
            }
        }
    }

    /// A connection from callers is closed. Set-ups open on it are lost, so they are given up; a standing
    /// call belongs to no connection and stays.
    fn lose_link(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        self.links.remove(&caller_conn);
        self.try_exit(effects);
        let open =
            |call: &Call| call.caller_conn == caller_conn && !matches!(call.phase, Phase::Standing { .. });
        for id in self.calls_where(open) {
            self.leave(id, effects);
        }
    }

    fn link_up(&mut self, caller_conn: CallerConnId, front: Front, effects: &mut Vec<Effect>) {
        if front == Front::JsonLines {
            let taken =
                self.links.values().filter(|caller_conn| caller_conn.front == Front::JsonLines).count();
            if taken >= self.most_links && !self.make_room(effects) {
                effects.push(Effect::Log("no connection from callers can be closed for another".to_owned()));
                effects.push(Effect::CloseCallerConn { caller_conn });
                return;
            }
            self.set_timer(FIRST_LINE, Timer::Idle(caller_conn));
        }
        let new = Link { front, heard: self.now, spoke: false, tester: false, served: false, malformed: 0 };
        self.links.insert(caller_conn, new);
        self.send_held(effects);
    }

    /// Closes one connection from callers so that another can be taken: never one with a set-up open on it;
    /// first those that have said nothing, then those without a call, then those whose calls stand, which are
    /// released on any connection. Of each kind the one that has been quiet longest goes.
    fn make_room(&mut self, effects: &mut Vec<Effect>) -> bool {
        let mut calls: HashMap<CallerConnId, (bool, bool)> = HashMap::new();
        for call in self.calls.values() {
            let (open, standing) = calls.entry(call.caller_conn).or_default();
            let stands = matches!(call.phase, Phase::Standing { .. });
            *open |= !stands;
            *standing |= stands;
        }
        let rank = |id: &CallerConnId, caller_conn: &Link| match calls.get(id).copied().unwrap_or_default() {
            (true, _) => None,
            (false, true) => Some(2),
            _ if caller_conn.spoke || caller_conn.tester => Some(1),
            _ if since(caller_conn.heard, self.now) >= FRESH => Some(0),
            _ => Some(3),
        };
        let platform = self.links.iter().filter(|(_, caller_conn)| caller_conn.front == Front::JsonLines);
        let ranked =
            platform.filter_map(|(id, caller_conn)| Some((rank(id, caller_conn)?, caller_conn.heard, *id)));
        let Some((_, _, caller_conn)) = ranked.min() else { return false };
        self.close_link(caller_conn, effects);
        true
    }

    fn close_link(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        if self.links.get(&caller_conn).is_some_and(|held| held.front == Front::JsonLines) {
            self.links.remove(&caller_conn);
            effects.push(Effect::CloseCallerConn { caller_conn });
        }
    }

    /// A line has come on a connection from callers.
    fn heard(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(caller_conn) = self.links.get_mut(&caller_conn) else { return };
        (caller_conn.heard, caller_conn.tester) = (now, false);
        if !std::mem::replace(&mut caller_conn.spoke, true) && !self.held.is_empty() {
            self.send_held(effects);
        }
    }

    /// Closes a connection from callers that says nothing, or that is held on to without a call.
    fn check_idle(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        let Some(held) = self.links.get(&caller_conn) else { return };
        let limit = if held.spoke || held.tester { IDLE } else { FIRST_LINE };
        let idle = since(held.heard, self.now);
        if self.calls.values().any(|call| call.caller_conn == caller_conn) {
            self.set_timer(IDLE, Timer::Idle(caller_conn));
        } else if idle < limit {
            self.set_timer(limit - idle, Timer::Idle(caller_conn));
        } else {
            self.close_link(caller_conn, effects);
        }
    }

    /// Something that names a call but cannot be used. Callers of the platform never send such a thing, and
    /// whoever goes on with it would keep this processor busy with answers.
    fn malformed(&mut self, caller_conn: CallerConnId, name: CallUid, effects: &mut Vec<Effect>) {
        if self.by_name.contains_key(&name) {
            return self.spoil(caller_conn, effects);
        }
        effects.push(Effect::ToCaller {
            caller_conn,
            call: name,
            message: CallerMessage::Failed { busy: false },
        });
        let Some(held) = self.links.get_mut(&caller_conn) else { return };
        held.malformed += 1;
        if held.malformed >= MOST_MALFORMED {
            self.spoil(caller_conn, effects);
        }
    }

    /// A connection from callers is of no further use. The set-ups open on it get their one answer, then it
    /// is closed; a call that stands, or that came on another one, is not touched.
    fn spoil(&mut self, caller_conn: CallerConnId, effects: &mut Vec<Effect>) {
        if self.links.get(&caller_conn).is_none_or(|held| held.front != Front::JsonLines) {
            return;
        }
        let open =
            |call: &Call| call.caller_conn == caller_conn && !matches!(call.phase, Phase::Standing { .. });
        for id in self.calls_where(open) {
            if let Some(Phase::Out { to, .. }) = self.calls.get(&id).map(|call| call.phase) {
                self.abandon(id, effects);
                self.module_outcome(id, to, Outcome::Cancelled, Reason::Unspecified, true);
            }
            self.conclude_as(
                id,
                CallerMessage::Failed { busy: false },
                Some(FailureReason::CallerStreamCorrupt),
                effects,
            );
        }
        self.close_link(caller_conn, effects);
    }

    fn hang_up(&mut self, caller_conn: CallerConnId, name: CallUid, cause: u8, effects: &mut Vec<Effect>) {
        let Some(id) = self.by_name.get(&name).copied() else {
            // It may stand at the other process: what ends a call may come on any connection.
            if self.twin.is_some() && caller_conn != NO_LINK && !self.over_names.contains(&name) {
                effects.push(Effect::ToSibling(SiblingMessage::HangUp { call: name, cause }));
            }
            return;
        };
        // A call that stands belongs to no connection; a set-up is its own connection's alone to give up.
        match self.calls[&id].phase {
            Phase::Standing { .. } => {}
            _ if self.calls[&id].caller_conn == caller_conn => {}
            _ => return,
        }
        match self.calls[&id].phase {
            Phase::Standing { at } => {
                self.release_far(id, at, cause, effects);
                self.note_released(name, Some(at), ReleasedBy::Caller, false);
                self.module_outcome(id, at, Outcome::Cancelled, Reason::Unspecified, true);
                self.forget(id, effects);
                self.try_exit(effects);
            }
            _ => self.leave(id, effects),
        }
    }

    /// The caller no longer waits: no answer is owed, and whatever is out is called off.
    fn leave(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        self.note_given_up(id);
        if let Some(Phase::Out { to, .. }) = self.calls.get(&id).map(|call| call.phase) {
            self.abandon(id, effects);
            self.module_outcome(id, to, Outcome::Cancelled, Reason::Unspecified, true);
        }
        self.forget(id, effects);
        self.try_exit(effects);
    }

    // ---- attempts ----

    /// Starts an attempt, if the rules allow it; else the module hears at once that nothing was sent.
    fn attempt(&mut self, id: CallId, to: ExchangeId, timeout: Duration, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let already_out = !matches!(call.phase, Phase::Open);
        if already_out {
            // Rule 2: never two attempts at once. The module's record of the first stays true.
            effects.push(Effect::Log(format!("{:?} has an attempt out, second one not sent", call.name)));
            return;
        }
        call.attempts += 1;
        let paused = call.paused_until.is_some_and(|until| self.now < until);
        let told_off = self.peers.get(&to).is_none_or(|p| match p.readiness {
            Readiness::Ready => false,
            _ => since(p.told_at, self.now) >= self.drain_grace.mul_f64(0.9),
        });
        let own = self.peers.get(&to).is_some_and(|p| Some(p.number) == self.home);
        if paused || told_off || own || call.attempts > self.try_limit || self.now >= call.deadline {
            let name = call.name;
            effects.push(Effect::Log(format!(
                "{name:?} not sent: pause {paused} told off {told_off} own {own}"
            )));
            self.note_attempt_end(id, to, (Outcome::NotSent, Reason::Unspecified), Duration::ZERO);
            self.module_outcome(id, to, Outcome::NotSent, Reason::Unspecified, false);
            return;
        }
        let left = since(self.now, call.deadline);
        let cap = if timeout.is_zero() { left } else { timeout.min(left) };
        let attempt = call.attempts;
        call.phase = Phase::Out { to, sent: self.now, on: None };
        self.set_timer(cap, Timer::Attempt(id, attempt));
        let open = self.peers.get(&to).is_some_and(|peer| matches!(peer.way, Way::Up(_)));
        self.note_attempt(id, to, !open);
        match self.peers.get(&to).map(|peer| peer.way) {
            Some(Way::Up(_)) => self.transmit(id, effects),
            Some(Way::Down) => {
                self.dial(to, effects);
                // One that is gone is not dialled: whoever answers at its address is another one.
                if self.peers.get(&to).is_none_or(|peer| peer.way == Way::Down) {
                    self.attempt_over(id, Outcome::NoConnection, Reason::Unspecified);
                }
            }
            _ => {}
        }
    }

    /// Puts the set-up of a call on the way to its exchange.
    fn transmit(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Phase::Out { to, on, sent } = &mut call.phase else { return };
        let Some(Way::Up(exchange_conn)) = self.peers.get(to).map(|peer| peer.way) else { return };
        (*on, *sent) = (Some(exchange_conn), now);
        self.set_timer(QUIET, Timer::Quiet(exchange_conn));
        let Some(call) = self.calls.get(&id) else { return };
        let message = ExchangeMessage::SetUp {
            class: call.class.clone(),
            called_number: call.key.clone(),
            remaining: since(now, call.deadline),
            description: call.description.clone(),
        };
        effects.push(Effect::ToExchange { exchange_conn, call: call.name, message });
    }

    /// Calls off the attempt of a call that is out, toward the exchange only.
    fn abandon(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else { return };
        // Where its way is gone, its loss has given the set-up up.
        if let Phase::Out { on: Some(exchange_conn), .. } = call.phase
            && self.conns.contains_key(&exchange_conn)
        {
            effects.push(Effect::ToExchange {
                exchange_conn,
                call: call.name,
                message: ExchangeMessage::Cancel,
            });
        }
        if let Some(call) = self.calls.get_mut(&id)
            && matches!(call.phase, Phase::Out { .. })
        {
            call.phase = Phase::Open;
        }
    }

    fn cancel(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        if let Some(Phase::Out { to, sent, .. }) = self.calls.get(&id).map(|call| call.phase) {
            self.abandon(id, effects);
            self.close_attempt(id, to, sent, Outcome::Cancelled, Reason::Unspecified);
        }
    }

    fn time_out(&mut self, id: CallId, attempt: u32, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id).filter(|call| call.attempts == attempt) else { return };
        let Phase::Out { to, sent, on } = call.phase else { return };
        self.abandon(id, effects);
        // One that waited for a connection all along has proved that nothing ran.
        let outcome = if on.is_some() { Outcome::TimedOut } else { Outcome::NoConnection };
        self.close_attempt(id, to, sent, outcome, Reason::Unspecified);
    }

    /// Nothing is out for the call any more, so nothing is called off either.
    fn attempt_ended(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.phase = Phase::Open;
        }
    }

    /// The attempt that is out has ended without setting the call up.
    fn attempt_over(&mut self, id: CallId, outcome: Outcome, reason: Reason) {
        let Some(Phase::Out { to, sent, .. }) = self.calls.get(&id).map(|call| call.phase) else { return };
        self.close_attempt(id, to, sent, outcome, reason);
    }

    fn close_attempt(
        &mut self,
        id: CallId,
        to: ExchangeId,
        sent: SystemTime,
        outcome: Outcome,
        reason: Reason,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.phase = Phase::Open;
        call.busy = reason == Reason::UserBusy;
        // Rule 5: what such an attempt took may stay taken for a while.
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            call.paused_until = Some(self.now + self.release_pause);
        }
        let (attempt, took) = (call.attempts - 1, since(sent, self.now));
        let elapsed_ms = duration_to_ms(took);
        self.note_attempt_end(id, to, (outcome, reason), took);
        self.events.push_back(Event::AttemptEnded {
            call: id,
            attempt,
            exchange: to,
            outcome,
            reason,
            elapsed_ms,
            call_closed: false,
            report: None,
        });
    }

    /// Tells the module of an outcome that is not the end of an attempt on its way.
    fn module_outcome(
        &mut self,
        id: CallId,
        at: ExchangeId,
        outcome: Outcome,
        reason: Reason,
        call_closed: bool,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        let attempt = call.attempts.saturating_sub(1);
        let event = Event::AttemptEnded {
            call: id,
            attempt,
            exchange: at,
            outcome,
            reason,
            elapsed_ms: 0.0,
            call_closed,
            report: None,
        };
        self.events.push_back(event);
    }

    /// The call of this name, if it has to do with the exchange at the other end of this way. What an
    /// exchange says of a call that has moved on from it is stale.
    fn call_at(&self, exchange_conn: ExchangeConnId, name: CallUid) -> Option<(CallId, ExchangeId)> {
        let (id, peer) = (*self.by_name.get(&name)?, self.conns.get(&exchange_conn)?.peer);
        let there = match self.calls.get(&id)?.phase {
            // On another way it is about an earlier attempt, which was given up.
            Phase::Out { on, .. } => on == Some(exchange_conn),
            Phase::Standing { at } => at == peer,
            Phase::Open => false,
        };
        there.then_some((id, peer))
    }

    fn answered(
        &mut self,
        exchange_conn: ExchangeConnId,
        name: CallUid,
        description: Option<Arc<str>>,
        effects: &mut Vec<Effect>,
    ) {
        self.note_heard(exchange_conn);
        let Some((id, peer)) = self.call_at(exchange_conn, name) else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Phase::Out { sent, .. } = call.phase else { return };
        call.phase = Phase::Standing { at: peer };
        // A call may stand for long; what only its set-up needed is given back.
        self.figures.count_completed(&std::mem::take(&mut call.class));
        call.key = None;
        let asked = call.description.take();
        let (attempt, elapsed_ms) = (call.attempts - 1, duration_to_ms(since(sent, self.now)));
        let (caller_conn, call) = (call.caller_conn, call.name);
        self.no_longer_open(asked.as_ref());
        if let Some(caller_conn) = self.links.get_mut(&caller_conn) {
            caller_conn.served = true;
        }
        effects.push(Effect::ToCaller {
            caller_conn,
            call,
            message: CallerMessage::Answered { description },
        });
        self.answered_on(caller_conn, effects);
        self.note_answer(id, peer);
        self.events.push_back(Event::Answered { call: id, attempt, exchange: peer, elapsed_ms });
        self.try_exit(effects);
    }

    fn ended(
        &mut self,
        exchange_conn: ExchangeConnId,
        name: CallUid,
        outcome: Outcome,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        self.note_heard(exchange_conn);
        let unknown = !self.by_name.contains_key(&name) && !self.over_names.contains(&name);
        if unknown && self.conns.contains_key(&exchange_conn) {
            if self.twin.is_some() && matches!(outcome, Outcome::Completed | Outcome::Reset) {
                let cut = outcome == Outcome::Reset;
                return effects.push(Effect::ToSibling(SiblingMessage::Ended { call: name, cut }));
            }
            return self.pass_release(name, outcome, effects);
        }
        let Some((id, peer)) = self.call_at(exchange_conn, name) else { return };
        match self.calls[&id].phase {
            Phase::Standing { .. } => self.end_standing(id, peer, outcome, ReleasedBy::Exchange, effects),
            // A normal end before any answer: the call stood, its answer was lost, and now it is over. Guards
            // against setting it up once more, under an id that is over for the exchange and its caller.
            Phase::Out { sent, .. } if outcome == Outcome::Completed => {
                self.note_attempt_end(id, peer, (Outcome::Completed, reason), since(sent, self.now));
                self.module_outcome(id, peer, Outcome::Reset, Reason::Unspecified, true);
                self.attempt_ended(id);
                self.conclude(id, CallerMessage::Failed { busy: false }, effects);
            }
            _ => self.attempt_over(id, outcome, reason),
        }
    }

    /// The end of a call that nobody here has ever heard of: it stood before the last start, and its caller,
    /// whom the front knows, still has to be told.
    fn pass_release(&mut self, call: CallUid, outcome: Outcome, effects: &mut Vec<Effect>) {
        if !matches!(outcome, Outcome::Completed | Outcome::Reset) {
            return;
        }
        self.over_names.insert(call);
        self.over.push_back((self.now, call));
        self.note_released(call, None, ReleasedBy::Exchange, outcome == Outcome::Reset);
        let word = CallerMessage::Released { cut: outcome == Outcome::Reset };
        self.release_caller(NO_LINK, self.held(Front::JsonLines, call, word), effects);
    }

    /// A call that stood is over on the far side: its caller is told, whichever way is open.
    fn end_standing(
        &mut self,
        id: CallId,
        at: ExchangeId,
        outcome: Outcome,
        by: ReleasedBy,
        effects: &mut Vec<Effect>,
    ) {
        let outcome = if outcome == Outcome::Completed { Outcome::Completed } else { Outcome::Reset };
        if let Some(name) = self.calls.get(&id).map(|call| call.name) {
            self.note_released(name, Some(at), by, outcome == Outcome::Reset);
        }
        self.module_outcome(id, at, outcome, Reason::Unspecified, true);
        self.conclude(id, CallerMessage::Released { cut: outcome == Outcome::Reset }, effects);
    }

    fn release_far(&mut self, id: CallId, at: ExchangeId, cause: u8, effects: &mut Vec<Effect>) {
        let call = self.calls[&id].name;
        match self.peers.get(&at).map(|peer| peer.way) {
            Some(Way::Up(exchange_conn)) => {
                effects.push(Effect::ToExchange {
                    exchange_conn,
                    call,
                    message: ExchangeMessage::Release { cause },
                });
            }
            Some(way) => {
                if let Some(peer) = self.peers.get_mut(&at) {
                    peer.releases.push((call, cause));
                }
                if way == Way::Down {
                    self.dial(at, effects);
                }
            }
            None => {}
        }
    }
}

/// The number called, as the module knows it: hexadecimal as the platform writes it, else a hash of the text
/// (FNV-1a), never 0, which would mean that none was called.
fn key_number(key: &str) -> u64 {
    let hash = || {
        key.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    u64::from_str_radix(key, 16).unwrap_or_else(|_| hash()).max(1)
}
