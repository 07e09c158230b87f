//! The model: exchanges, circuits, callers, the list, incidents. No sockets and no clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{CLASSES, Scenario, ScriptedIncident, ScriptedKind};

/// A processor turns set-ups away once its wait passes this.
const FULL: Duration = Duration::from_millis(3_000);
/// Part of its speed that a cold processor starts with, and when it is warm.
const COLD: f64 = 0.34;
const WARM: Duration = Duration::from_secs(13);
/// Most work that a set-up is for a warm processor; less where the load would be too much.
const MOST_WORK: f64 = 0.04;
/// Part of its time that a processor is busy at the planned load.
const PLANNED: f64 = 0.7;
/// Part of the class's limit after which one try is given up, and how often a caller dials again.
const TRY: f64 = 0.35;
const REDIALS: u32 = 2;
/// Where calls go shifts this often.
const SHIFT: Duration = Duration::from_secs(15);
/// Calls that stand at the end may go on for this long.
const GRACE: Duration = Duration::from_secs(12);

/// What a softswitch hears from its callers: subscribers, or exchanges with calls in transit.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageFromCaller {
    /// A set-up.
    SetUp {
        /// Name of the class.
        class: &'static str,
        /// How long the caller waits.
        remaining: Duration,
        /// The exchange it is for.
        dest: usize,
        /// Where a call in transit comes from.
        transit_from: Option<usize>,
    },
    /// The set-up is given up, or the call that stands is released.
    HangUp,
}

/// What callers hear from a softswitch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageToCaller {
    /// The call stands.
    Answered,
    /// Refused, failed or over, with a cause and how long to stay away.
    Ended(u8, Duration),
}

/// What an exchange hears from a softswitch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageToExchange {
    /// Set the call up.
    SetUp,
    /// The set-up is given up, or the call is over.
    Release,
    /// A test.
    Probe,
}

/// What an exchange says to a softswitch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageFromExchange {
    /// The call stands.
    Answered,
    /// It does not, or no longer: cause, note, wait at the full processor.
    Ended(u8, &'static str, Duration),
    /// Free circuits of the group between the two, and its size.
    GroupState(u32, u32),
    /// The test is passed.
    ProbePassed,
}

/// Something that has happened outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Only time has passed.
    Wake,
    /// A softswitch takes calls.
    SoftswitchUp(usize),
    /// It is gone.
    SoftswitchDown(usize),
    /// It has opened a way to an exchange.
    ExchangeConnected {
        /// The softswitch.
        softswitch: usize,
        /// The exchange.
        exchange: usize,
    },
    /// It says something to an exchange.
    ToExchange {
        /// The softswitch.
        softswitch: usize,
        /// The exchange.
        exchange: usize,
        /// The call.
        call: u64,
        /// What.
        message: MessageToExchange,
    },
    /// It says something to a caller.
    ToCaller {
        /// The softswitch.
        softswitch: usize,
        /// The call.
        call: u64,
        /// What.
        message: MessageToCaller,
    },
}

/// What the model asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A caller says something to a softswitch.
    FromCaller {
        /// The softswitch.
        softswitch: usize,
        /// The call.
        call: u64,
        /// What.
        message: MessageFromCaller,
    },
    /// An exchange does.
    FromExchange {
        /// The softswitch.
        softswitch: usize,
        /// The exchange.
        exchange: usize,
        /// The call; 0 for none.
        call: u64,
        /// What.
        message: MessageFromExchange,
    },
    /// An exchange's process is gone: its ways break, and none comes up.
    ExchangeDown(usize),
    /// It is there again.
    ExchangeUp(usize),
    /// Kill a softswitch's process.
    KillSoftswitch(usize),
    /// Start it again.
    StartSoftswitch(usize),
}

/// A line of the list of exchanges.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedExchange {
    /// Its name.
    pub name: String,
    /// Its number.
    pub exchange: usize,
    /// When its processor last started, from the start of the world; `None` for long ago.
    pub started_at: Option<Duration>,
    /// It finishes what it has.
    pub draining: bool,
}

/// How the calls of one class have gone: first tries, those that follow count with them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassTotals {
    /// Calls offered.
    pub offered: u64,
    /// Stood within the wanted time.
    pub in_time: u64,
    /// Stood later.
    pub late: u64,
    /// Never stood.
    pub unserved: u64,
    /// Of those that stood, cut before their end.
    pub cut: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Arrival,
    Shift,
    /// A try is given up.
    GiveUp(u64),
    /// A caller dials again.
    Redial(u64),
    /// The processor has done its job (counted, as one that dies leaves its job).
    Done(usize, u64),
    /// A call that stands has come to its end.
    End(u64),
    Begin(usize),
    Over(usize),
    /// A stalled processor goes on.
    GoOn(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Queued,
    Passed,
    Standing,
}

#[derive(Clone, Copy, Debug)]
struct Leg {
    from: usize,
    to: usize,
    phase: Phase,
}

#[derive(Clone, Debug)]
struct Call {
    origin: usize,
    dest: usize,
    class: usize,
    first: Duration,
    tries: u32,
    /// Its caller waits for an answer; it stands for its caller; its caller has gone.
    waiting: bool,
    stands: bool,
    legs: Vec<Leg>,
}

#[derive(Debug)]
struct Exchange {
    name: String,
    alive: bool,
    stalled: bool,
    draining: bool,
    factor: f64,
    born: Option<Duration>,
    queue: VecDeque<(u64, usize)>,
    /// It works on the first of its queue; jobs are counted.
    busy: bool,
    job: u64,
    starts: u32,
}

/// The mesh.
#[derive(Debug)]
pub struct MeshModel {
    scenario: Scenario,
    rng: Pcg64Mcg,
    now: Duration,
    timers: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    timer_count: u64,
    exchanges: Vec<Exchange>,
    switches: Vec<bool>,
    groups: BTreeMap<(usize, usize), (u32, u32)>,
    calls: HashMap<u64, Call>,
    weights: Vec<f64>,
    work: f64,
    /// Lists that have counted, when they began to, and how many of them are told by now.
    lists: Vec<(Duration, Vec<ListedExchange>)>,
    told: usize,
    lag: Duration,
    /// Ends that a softswitch that is down has still to hear.
    owed: Vec<(usize, usize, u64, MessageFromExchange)>,
    summary: [ClassTotals; CLASSES.len()],
    /// Set-ups that no caller made, and second attempts while one is out: never, if the rules are kept.
    broken: u64,
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl MeshModel {
    /// A world that is about to begin.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = scenario.nodes;
        let held: f64 = CLASSES.iter().map(|class| class.share * class.mean_hold.as_secs_f64()).sum();
        let load = 2.0 * scenario.calls_per_s * held / (nodes * (nodes - 1)) as f64;
        let mut groups = BTreeMap::new();
        for a in 0..nodes {
            for b in a + 1..nodes {
                let size = (load * 1.25 + 2.0 * load.sqrt()) * rng.random_range(0.8..1.3);
                let size = size.ceil().max(4.0) as u32;
                groups.insert((a, b), (size, size));
            }
        }
        let exchange = |n: usize| Exchange {
            name: format!("s-{n}"),
            alive: true,
            stalled: false,
            draining: false,
            factor: 1.0,
            born: None,
            queue: VecDeque::new(),
            busy: false,
            job: 0,
            starts: 0,
        };
        let work = (PLANNED * nodes as f64 / scenario.calls_per_s.max(0.1) / 1.15).min(MOST_WORK);
        let mut world = Self {
            rng,
            now: Duration::ZERO,
            timers: BinaryHeap::new(),
            timer_count: 0,
            exchanges: (0..nodes).map(exchange).collect(),
            switches: vec![false; nodes],
            groups,
            calls: HashMap::new(),
            weights: vec![1.0; nodes],
            work,
            lists: Vec::new(),
            told: 0,
            lag: scenario.list_lag,
            owed: Vec::new(),
            summary: [ClassTotals::default(); CLASSES.len()],
            broken: 0,
            scenario,
        };
        world.list_changes();
        world.set(Duration::ZERO, Timer::Arrival);
        world.set(SHIFT, Timer::Shift);
        for (i, incident) in world.scenario.incidents.clone().iter().enumerate() {
            world.set(incident.at, Timer::Begin(i));
            world.set(incident.at + incident.duration, Timer::Over(i));
        }
        world
    }

    /// What is played.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// When it wants to be woken.
    pub fn next_wake(&self) -> Option<Duration> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Whether all is over.
    pub fn is_finished(&self) -> bool {
        let end = self.scenario.duration;
        self.now >= end + GRACE || (self.now >= end && self.calls.is_empty())
    }

    /// How the calls have gone, by class in the order of [`CLASSES`].
    pub fn totals(&self) -> [ClassTotals; CLASSES.len()] {
        self.summary
    }

    /// Set-ups that no caller made, and second attempts while one was out.
    pub fn protocol_violations(&self) -> u64 {
        self.broken
    }

    /// Worth of the calls that stood in time or late and were not cut, over the worth offered.
    pub fn service_level(&self) -> f64 {
        let classes = || self.summary.iter().zip(CLASSES);
        let offered: f64 = classes().map(|(s, class)| s.offered as f64 * class.worth).sum();
        let earned = classes().map(|(s, class)| {
            (s.in_time.saturating_sub(s.cut) as f64 + class.late_worth_factor * s.late as f64) * class.worth
        });
        if offered > 0.0 { earned.sum::<f64>() / offered } else { 1.0 }
    }

    /// Whether the process of an exchange runs.
    pub fn is_exchange_running(&self, exchange: usize) -> bool {
        self.exchanges[exchange].alive
    }

    /// The list of exchanges as the resolver tells it now, and its serial.
    pub fn list(&mut self, now: Duration) -> (u32, &[ListedExchange]) {
        self.now = self.now.max(now);
        // What was told once stays told, however far the list lags behind later on.
        while self.lists.get(self.told + 1).is_some_and(|(at, _)| *at + self.lag <= self.now) {
            self.told += 1;
        }
        (self.told as u32 + 1, &self.lists[self.told].1)
    }

    fn set(&mut self, at: Duration, timer: Timer) {
        self.timer_count += 1;
        self.timers.push(Reverse((at, self.timer_count, timer)));
    }

    /// Takes one input and adds what follows; what is due by then comes first.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        while let Some(Reverse((at, _, timer))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            self.now = self.now.max(at);
            self.ring(timer, out);
        }
        self.now = self.now.max(now);
        match input {
            Input::Wake => {}
            Input::SoftswitchUp(softswitch) => self.switches[softswitch] = true,
            Input::SoftswitchDown(softswitch) => self.lose_switch(softswitch, out),
            Input::ExchangeConnected { softswitch, exchange } => self.way_up(softswitch, exchange, out),
            Input::ToExchange { softswitch, exchange, call, message } => {
                if self.exchanges[exchange].alive {
                    self.hear_switch(softswitch, exchange, call, message, out);
                }
            }
            Input::ToCaller { softswitch, call, message } => self.hear_caller(softswitch, call, message, out),
        }
    }

    fn ring(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Arrival => self.arrive(out),
            Timer::Shift => {
                for weight in &mut self.weights {
                    *weight = self.rng.random_range(0.6..1.4);
                }
                self.set(self.now + SHIFT, Timer::Shift);
            }
            Timer::GiveUp(call) => {
                if let Some(held) = self.calls.get(&call).filter(|held| held.waiting) {
                    out.push(Output::FromCaller {
                        softswitch: held.origin,
                        call,
                        message: MessageFromCaller::HangUp,
                    });
                    self.unanswered(call, Duration::ZERO);
                }
            }
            Timer::Redial(call) => self.dial(call, out),
            Timer::Done(exchange, job) => self.job_done(exchange, job, out),
            Timer::End(call) => self.end(call, out),
            Timer::Begin(i) => self.begin(self.scenario.incidents[i], out),
            Timer::Over(i) => self.over(self.scenario.incidents[i], out),
            Timer::GoOn(exchange) => self.work_on(exchange),
        }
    }

    // ---- callers ----

    fn arrive(&mut self, out: &mut Vec<Output>) {
        if self.now >= self.scenario.duration || self.scenario.calls_per_s <= 0.0 {
            return;
        }
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / self.scenario.calls_per_s;
        self.set(self.now + Duration::from_secs_f64(gap), Timer::Arrival);
        if self.now.is_zero() {
            return;
        }
        let origin = self.rng.random_range(0..self.scenario.nodes);
        let total: f64 = (0..self.scenario.nodes).filter(|n| *n != origin).map(|n| self.weights[n]).sum();
        let mut point = self.rng.random_range(0.0..total);
        let others = (0..self.scenario.nodes).filter(|n| *n != origin);
        let mut dest = (origin + 1) % self.scenario.nodes;
        for n in others {
            if point < self.weights[n] {
                dest = n;
                break;
            }
            point -= self.weights[n];
        }
        let mut point = self.rng.random::<f64>();
        let class = CLASSES.iter().position(|class| {
            point -= class.share;
            point < 0.0
        });
        let class = class.unwrap_or(0);
        self.summary[class].offered += 1;
        let call = self.rng.random::<u64>();
        let (first, legs) = (self.now, Vec::new());
        let fresh = Call { origin, dest, class, first, tries: 0, waiting: false, stands: false, legs };
        self.calls.insert(call, fresh);
        self.dial(call, out);
    }

    fn dial(&mut self, call: u64, out: &mut Vec<Output>) {
        let Some(held) = self.calls.get_mut(&call) else { return };
        let class = CLASSES[held.class];
        held.waiting = true;
        let left = class.abandon_after.mul_f64(TRY);
        let (softswitch, dest) = (held.origin, held.dest);
        if self.switches[softswitch] {
            let message =
                MessageFromCaller::SetUp { class: class.name, remaining: left, dest, transit_from: None };
            out.push(Output::FromCaller { softswitch, call, message });
        }
        self.set(self.now + left, Timer::GiveUp(call));
    }

    /// A try has come to nothing: its caller dials again, or was not served.
    fn unanswered(&mut self, call: u64, wait: Duration) {
        let Some(held) = self.calls.get_mut(&call) else { return };
        held.waiting = false;
        let (class, first, tries) = (held.class, held.first, held.tries);
        let next = Call { tries: tries + 1, legs: Vec::new(), ..held.clone() };
        self.forget_if_over(call);
        let pause = wait.max(Duration::from_secs_f64(self.rng.random_range(0.5..2.0)));
        if tries < REDIALS && self.now + pause < first + CLASSES[class].abandon_after {
            // Every try has an id of its own.
            let again = self.rng.random::<u64>();
            self.calls.insert(again, next);
            self.set(self.now + pause, Timer::Redial(again));
        } else {
            self.summary[class].unserved += 1;
        }
    }

    fn hear_caller(&mut self, softswitch: usize, call: u64, message: MessageToCaller, out: &mut Vec<Output>) {
        let Some(held) = self.calls.get_mut(&call) else { return };
        if held.origin != softswitch {
            return self.hear_transit(softswitch, call, message, out);
        }
        match message {
            MessageToCaller::Answered if held.waiting => {
                (held.waiting, held.stands) = (false, true);
                let (class, took) = (held.class, self.now - held.first);
                let summary = &mut self.summary[class];
                if took <= CLASSES[class].target_setup {
                    summary.in_time += 1;
                } else {
                    summary.late += 1;
                }
            }
            MessageToCaller::Ended(cause, _) if held.stands => {
                held.stands = false;
                self.summary[held.class].cut += u64::from(cause != 16);
                self.forget_if_over(call);
            }
            MessageToCaller::Ended(_, wait) if held.waiting => self.unanswered(call, wait),
            _ => {}
        }
    }

    /// A softswitch has answered for a call in transit: the tandem passes that back.
    fn hear_transit(
        &mut self,
        softswitch: usize,
        call: u64,
        message: MessageToCaller,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.calls.get_mut(&call) else { return };
        let Some(leg) = held.legs.iter_mut().find(|leg| leg.to == softswitch) else { return };
        let back = leg.from;
        match message {
            MessageToCaller::Answered => {
                leg.phase = Phase::Standing;
                self.say(back, softswitch, call, MessageFromExchange::Answered, out);
            }
            MessageToCaller::Ended(cause, _) => {
                let stood = leg.phase == Phase::Standing;
                let message = if stood {
                    MessageFromExchange::Ended(cause, "", Duration::ZERO)
                } else {
                    MessageFromExchange::Ended(34, "tandem_refused", Duration::ZERO)
                };
                self.drop_leg(call, back, softswitch, out);
                self.say(back, softswitch, call, message, out);
            }
        }
    }

    // ---- exchanges ----

    fn say(
        &mut self,
        softswitch: usize,
        exchange: usize,
        call: u64,
        message: MessageFromExchange,
        out: &mut Vec<Output>,
    ) {
        if self.switches[softswitch] {
            out.push(Output::FromExchange { softswitch, exchange, call, message });
        } else if matches!(message, MessageFromExchange::Ended(..)) {
            self.owed.push((softswitch, exchange, call, message));
        }
    }

    fn way_up(&mut self, softswitch: usize, exchange: usize, out: &mut Vec<Output>) {
        let (free, total) = self.groups[&pair(softswitch, exchange)];
        self.say(softswitch, exchange, 0, MessageFromExchange::GroupState(free, total), out);
        let (now, later) = std::mem::take(&mut self.owed)
            .into_iter()
            .partition(|(s, e, ..)| (*s, *e) == (softswitch, exchange));
        self.owed = later;
        let now: Vec<_> = now;
        for (_, _, call, message) in now {
            self.say(softswitch, exchange, call, message, out);
        }
    }

    fn hear_switch(
        &mut self,
        softswitch: usize,
        exchange: usize,
        call: u64,
        message: MessageToExchange,
        out: &mut Vec<Output>,
    ) {
        match message {
            MessageToExchange::SetUp => {
                if let Some(message) = self.set_up(softswitch, exchange, call, out) {
                    self.say(softswitch, exchange, call, message, out);
                }
            }
            MessageToExchange::Release => {
                let Some(leg) = self.drop_leg(call, softswitch, exchange, out) else { return };
                if leg.phase != Phase::Queued && self.calls.get(&call).is_some_and(|c| c.dest != exchange) {
                    out.push(Output::FromCaller {
                        softswitch: exchange,
                        call,
                        message: MessageFromCaller::HangUp,
                    });
                }
                self.forget_if_over(call);
            }
            MessageToExchange::Probe => {
                if !self.exchanges[exchange].stalled {
                    self.say(softswitch, exchange, call, MessageFromExchange::ProbePassed, out);
                }
            }
        }
    }

    /// A set-up has come; `Some` is why it is turned back at once.
    fn set_up(
        &mut self,
        softswitch: usize,
        exchange: usize,
        call: u64,
        out: &mut Vec<Output>,
    ) -> Option<MessageFromExchange> {
        let Some(held) = self.calls.get(&call) else {
            // Its caller may have given up a moment ago; an id that was never there is another matter, but looks the same.
            return Some(MessageFromExchange::Ended(47, "", Duration::ZERO));
        };
        if held.legs.iter().any(|leg| leg.from == softswitch) {
            self.broken += 1;
            return Some(MessageFromExchange::Ended(47, "", Duration::ZERO));
        }
        let own_call = held.origin == softswitch || held.legs.iter().any(|leg| leg.to == softswitch);
        if !own_call {
            self.broken += 1;
            return Some(MessageFromExchange::Ended(47, "", Duration::ZERO));
        }
        if !self.exchanges[softswitch].alive {
            return Some(MessageFromExchange::Ended(102, "", Duration::ZERO));
        }
        if self.groups[&pair(softswitch, exchange)].0 == 0 {
            return Some(MessageFromExchange::Ended(34, "group_full", Duration::ZERO));
        }
        let wait = self.wait(exchange);
        if wait > FULL {
            return Some(MessageFromExchange::Ended(34, "processor_full", wait));
        }
        let leg = Leg { from: softswitch, to: exchange, phase: Phase::Queued };
        if let Some(held) = self.calls.get_mut(&call) {
            held.legs.push(leg);
        }
        self.take_circuits(softswitch, exchange, -1, out);
        self.exchanges[exchange].queue.push_back((call, softswitch));
        self.work_on(exchange);
        None
    }

    fn take_circuits(&mut self, a: usize, b: usize, more: i64, out: &mut Vec<Output>) {
        let Some((free, total)) = self.groups.get_mut(&pair(a, b)) else { return };
        *free = (i64::from(*free) + more).clamp(0, i64::from(*total)) as u32;
        let message = MessageFromExchange::GroupState(*free, *total);
        for (softswitch, exchange) in [(a, b), (b, a)] {
            if self.switches[softswitch] && self.exchanges[exchange].alive {
                out.push(Output::FromExchange { softswitch, exchange, call: 0, message });
            }
        }
    }

    fn speed(&self, exchange: usize) -> f64 {
        let held = &self.exchanges[exchange];
        let age = held.born.map_or(1.0, |born| (self.now - born).as_secs_f64() / WARM.as_secs_f64());
        (COLD + (1.0 - COLD) * age.min(1.0)) / held.factor
    }

    fn wait(&self, exchange: usize) -> Duration {
        let queue = self.exchanges[exchange].queue.len() as f64;
        Duration::from_secs_f64(queue * self.work / self.speed(exchange))
    }

    /// Begins the next job, unless one is being done.
    fn work_on(&mut self, exchange: usize) {
        let work = self.work / self.speed(exchange);
        let held = &mut self.exchanges[exchange];
        if held.busy || held.stalled || !held.alive || held.queue.is_empty() {
            return;
        }
        held.busy = true;
        held.job += 1;
        let job = held.job;
        self.set(self.now + Duration::from_secs_f64(work), Timer::Done(exchange, job));
    }

    fn job_done(&mut self, exchange: usize, job: u64, out: &mut Vec<Output>) {
        let held = &mut self.exchanges[exchange];
        if held.job != job || !held.busy || !held.alive {
            return;
        }
        held.busy = false;
        if held.stalled {
            return;
        }
        let next = held.queue.pop_front();
        self.work_on(exchange);
        let Some((call, from)) = next else { return };
        let Some(held) = self.calls.get_mut(&call) else { return };
        let (dest, class, transit) = (held.dest, CLASSES[held.class], held.origin != from);
        let Some(leg) = held.legs.iter_mut().find(|leg| (leg.from, leg.to) == (from, exchange)) else {
            return;
        };
        if dest == exchange {
            leg.phase = Phase::Standing;
            let hold = -self.rng.random::<f64>().max(1e-12).ln() * class.mean_hold.as_secs_f64();
            self.set(self.now + Duration::from_secs_f64(hold), Timer::End(call));
            self.say(from, exchange, call, MessageFromExchange::Answered, out);
        } else if transit || !self.switches[exchange] {
            self.drop_leg(call, from, exchange, out);
            self.say(
                from,
                exchange,
                call,
                MessageFromExchange::Ended(34, "tandem_refused", Duration::ZERO),
                out,
            );
        } else {
            leg.phase = Phase::Passed;
            let left = class.abandon_after.mul_f64(TRY);
            let message = MessageFromCaller::SetUp {
                class: class.name,
                remaining: left,
                dest,
                transit_from: Some(from),
            };
            out.push(Output::FromCaller { softswitch: exchange, call, message });
        }
    }

    /// A call has come to its end at its exchange.
    fn end(&mut self, call: u64, out: &mut Vec<Output>) {
        let Some(held) = self.calls.get(&call) else { return };
        let dest = held.dest;
        let at = held.legs.iter().find(|leg| leg.to == dest && leg.phase == Phase::Standing).copied();
        if let Some(leg) = at {
            self.drop_leg(call, leg.from, dest, out);
            self.say(leg.from, dest, call, MessageFromExchange::Ended(16, "", Duration::ZERO), out);
            self.forget_if_over(call);
        }
    }

    /// Gives a leg and its circuit back.
    fn drop_leg(&mut self, call: u64, from: usize, to: usize, out: &mut Vec<Output>) -> Option<Leg> {
        let held = self.calls.get_mut(&call)?;
        let place = held.legs.iter().position(|leg| (leg.from, leg.to) == (from, to))?;
        let leg = held.legs.remove(place);
        self.take_circuits(from, to, 1, out);
        Some(leg)
    }

    fn forget_if_over(&mut self, call: u64) {
        if self.calls.get(&call).is_some_and(|held| !held.waiting && !held.stands && held.legs.is_empty()) {
            self.calls.remove(&call);
        }
    }

    // ---- incidents ----

    fn begin(&mut self, incident: ScriptedIncident, out: &mut Vec<Output>) {
        let node = incident.node;
        match incident.kind {
            ScriptedKind::Die => self.die(node, out),
            ScriptedKind::Replace => {
                self.exchanges[node].draining = true;
                self.list_changes();
            }
            ScriptedKind::Stall => self.exchanges[node].stalled = true,
            ScriptedKind::Slow(factor) => self.exchanges[node].factor = factor,
            ScriptedKind::Lag(extra) => self.lag = self.scenario.list_lag + extra,
            ScriptedKind::Kill => out.push(Output::KillSoftswitch(node)),
            ScriptedKind::Clock(..) => {}
        }
    }

    fn over(&mut self, incident: ScriptedIncident, out: &mut Vec<Output>) {
        let node = incident.node;
        match incident.kind {
            ScriptedKind::Die => self.start(node, out),
            ScriptedKind::Replace => {
                self.die(node, out);
                let held = &mut self.exchanges[node];
                held.starts += 1;
                held.name = format!("s-{node}-{}", held.starts);
                held.draining = false;
                self.start(node, out);
            }
            ScriptedKind::Stall => {
                self.exchanges[node].stalled = false;
                self.exchanges[node].busy = false;
                self.set(self.now, Timer::GoOn(node));
            }
            ScriptedKind::Slow(_) => self.exchanges[node].factor = 1.0,
            ScriptedKind::Lag(_) => self.lag = self.scenario.list_lag,
            ScriptedKind::Kill => out.push(Output::StartSoftswitch(node)),
            ScriptedKind::Clock(..) => {}
        }
    }

    /// The processor dies, and all calls that touch it are cut.
    fn die(&mut self, node: usize, out: &mut Vec<Output>) {
        let held = &mut self.exchanges[node];
        (held.alive, held.busy, held.stalled) = (false, false, false);
        held.queue.clear();
        out.push(Output::ExchangeDown(node));
        let mut calls: Vec<u64> = self.calls.keys().copied().collect();
        calls.sort_unstable();
        for call in calls {
            let legs = self.calls[&call].legs.clone();
            for leg in legs.iter().filter(|leg| leg.to == node || leg.from == node) {
                self.drop_leg(call, leg.from, leg.to, out);
                if leg.from == node {
                    // What had come through it is over at the far end.
                    self.say(node, leg.to, call, MessageFromExchange::Ended(41, "", Duration::ZERO), out);
                }
            }
            self.forget_if_over(call);
        }
        self.list_changes();
    }

    fn start(&mut self, node: usize, out: &mut Vec<Output>) {
        let held = &mut self.exchanges[node];
        held.alive = true;
        held.born = Some(self.now);
        out.push(Output::ExchangeUp(node));
        self.list_changes();
    }

    fn list_changes(&mut self) {
        let listed = self.exchanges.iter().enumerate().filter(|(_, held)| held.alive);
        let listed = listed.map(|(exchange, held)| ListedExchange {
            name: held.name.clone(),
            exchange,
            started_at: held.born,
            draining: held.draining,
        });
        self.lists.push((self.now, listed.collect()));
    }

    fn lose_switch(&mut self, softswitch: usize, out: &mut Vec<Output>) {
        self.switches[softswitch] = false;
        let mut calls: Vec<u64> = self.calls.keys().copied().collect();
        calls.sort_unstable();
        for call in calls {
            let held = &self.calls[&call];
            let waits = held.waiting && held.origin == softswitch;
            for leg in held.legs.clone() {
                // Its connections are closed, and with them the set-ups that were out on them.
                if leg.from == softswitch && leg.phase != Phase::Standing {
                    self.drop_leg(call, leg.from, leg.to, out);
                    if leg.phase == Phase::Passed {
                        out.push(Output::FromCaller {
                            softswitch: leg.to,
                            call,
                            message: MessageFromCaller::HangUp,
                        });
                    }
                } else if leg.to == softswitch && leg.phase == Phase::Passed {
                    self.drop_leg(call, leg.from, leg.to, out);
                    let message = MessageFromExchange::Ended(34, "tandem_refused", Duration::ZERO);
                    self.say(leg.from, softswitch, call, message, out);
                }
            }
            if waits {
                self.unanswered(call, Duration::ZERO);
            } else {
                self.forget_if_over(call);
            }
        }
    }
}
