//! The model: exchanges, circuits, callers, the list of exchanges and incidents, in virtual time and without sockets.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

mod incidents;
mod messages;

pub use messages::{
    ClassTotals, Input, ListedExchange, MessageFromCaller, MessageFromExchange, MessageToCaller,
    MessageToExchange, Output,
};

use crate::scenario::{CLASSES, Scenario};

/// A processor refuses set-ups while the wait in its queue is longer than this.
const MAX_PROCESSOR_WAIT: Duration = Duration::from_millis(3_000);
/// Fraction of its full speed that a cold processor starts with; the softswitches are configured with the same value.
const COLD_INITIAL_SPEED: f64 = 0.34;
/// Time after its start until a processor has its full speed; the softswitches are configured with the same value.
const COLD_PERIOD: Duration = Duration::from_secs(13);
/// Longest processing time of a set-up at full speed, in seconds; it is shorter where the load needs it.
const MAX_SETUP_WORK_S: f64 = 0.04;
/// Utilization of a processor at the planned load.
const PLANNED_UTILIZATION: f64 = 0.7;
/// Set-ups per call that the processors are sized for.
const PLANNED_SETUPS_PER_CALL: f64 = 1.15;
/// Time-out of one attempt, as a fraction of the time after which a caller of the class abandons the call.
const ATTEMPT_TIMEOUT_FRACTION: f64 = 0.35;
/// Maximum number of redials of a caller after its first attempt.
const MAX_REDIALS: u32 = 2;
/// The distribution of calls over destinations changes at this interval.
const TRAFFIC_SHIFT_INTERVAL: Duration = Duration::from_secs(15);
/// Calls that are open when the load ends may continue for this long.
const GRACE_PERIOD: Duration = Duration::from_secs(12);

/// Q.850 cause: normal call clearing.
const CAUSE_NORMAL_CLEARING: u8 = 16;
/// Q.850 cause: no circuit or channel available.
const CAUSE_NO_CIRCUIT: u8 = 34;
/// Q.850 cause: temporary failure.
const CAUSE_TEMPORARY_FAILURE: u8 = 41;
/// Q.850 cause: resource unavailable, unspecified.
const CAUSE_RESOURCE_UNAVAILABLE: u8 = 47;
/// Q.850 cause: recovery on timer expiry.
const CAUSE_RECOVERY_ON_TIMER_EXPIRY: u8 = 102;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    NextArrival,
    TrafficShift,
    /// An attempt of a caller times out, if the caller still waits.
    AttemptTimeout(u64),
    /// A caller redials.
    Redial(u64),
    /// The processor of an exchange finished a job. Jobs are numbered so that the timer of a job that was lost when the
    /// processor stopped is ignored.
    JobDone(usize, u64),
    /// The parties of an established call end it.
    CallEnd(u64),
    IncidentBegin(usize),
    IncidentEnd(usize),
    /// A stalled processor resumes.
    Resume(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LegPhase {
    /// The set-up waits for the processor of the exchange or is being processed.
    Queued,
    /// The tandem has forwarded the set-up.
    Forwarded,
    /// The call is established on this leg.
    Established,
}

/// Leg of a route: a set-up or call on one circuit from one exchange to another.
#[derive(Clone, Copy, Debug)]
struct Leg {
    from: usize,
    to: usize,
    phase: LegPhase,
}

#[derive(Clone, Debug)]
struct Call {
    origin: usize,
    dest: usize,
    class: usize,
    first_attempt_at: Duration,
    redials: u32,
    /// The caller waits for an answer. If neither this nor `established` is set, the caller has left or will redial
    /// with this call.
    waiting: bool,
    /// The call is established for its caller.
    established: bool,
    legs: Vec<Leg>,
}

#[derive(Debug)]
struct Exchange {
    name: String,
    running: bool,
    stalled: bool,
    draining: bool,
    slow_factor: f64,
    started_at: Option<Duration>,
    /// Set-ups that wait for the processor or, at the front, are being processed: id of the call, and the exchange that
    /// sent it.
    queue: VecDeque<(u64, usize)>,
    /// The processor works on the first set-up of the queue.
    busy: bool,
    /// Number of the current or last job.
    job: u64,
    replacements: u32,
}

/// Model of a mesh of exchanges with their callers.
#[derive(Debug)]
pub struct MeshModel {
    scenario: Scenario,
    rng: Pcg64Mcg,
    now: Duration,
    timers: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    timer_count: u64,
    exchanges: Vec<Exchange>,
    /// Whether each softswitch accepts calls.
    softswitches: Vec<bool>,
    /// Free circuits and size of each group.
    groups: BTreeMap<(usize, usize), (u32, u32)>,
    calls: HashMap<u64, Call>,
    /// Relative frequency of each exchange as a destination.
    dest_weights: Vec<f64>,
    /// Processing time of a set-up at full speed, in seconds.
    setup_work_s: f64,
    /// All versions of the list of exchanges, with the time of each change.
    lists: Vec<(Duration, Vec<ListedExchange>)>,
    /// Index of the version that the resolver delivers now.
    delivered_index: usize,
    list_lag: Duration,
    /// Ends of calls to be sent once their softswitch connects again: softswitch, exchange, call and message.
    undelivered: Vec<(usize, usize, u64, MessageFromExchange)>,
    totals: [ClassTotals; CLASSES.len()],
    protocol_violations: u64,
}

/// Key of the group between two exchanges in [`MeshModel::groups`].
fn group_key(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl MeshModel {
    /// A model at time zero, with all exchanges running and no softswitch.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = scenario.nodes;
        let mean_hold_s: f64 = CLASSES.iter().map(|class| class.share * class.mean_hold.as_secs_f64()).sum();
        // Offered load of each pair of exchanges. A group is sized for it with a reserve, varied at random.
        let offered_erlangs = 2.0 * scenario.calls_per_s * mean_hold_s / (nodes * (nodes - 1)) as f64;
        let mut groups = BTreeMap::new();
        for a in 0..nodes {
            for b in a + 1..nodes {
                let size =
                    (offered_erlangs * 1.25 + 2.0 * offered_erlangs.sqrt()) * rng.random_range(0.8..1.3);
                let size = size.ceil().max(4.0) as u32;
                groups.insert((a, b), (size, size));
            }
        }
        let new_exchange = |n: usize| Exchange {
            name: format!("s-{n}"),
            running: true,
            stalled: false,
            draining: false,
            slow_factor: 1.0,
            started_at: None,
            queue: VecDeque::new(),
            busy: false,
            job: 0,
            replacements: 0,
        };
        let setup_work_s =
            (PLANNED_UTILIZATION * nodes as f64 / scenario.calls_per_s.max(0.1) / PLANNED_SETUPS_PER_CALL)
                .min(MAX_SETUP_WORK_S);
        let mut model = Self {
            rng,
            now: Duration::ZERO,
            timers: BinaryHeap::new(),
            timer_count: 0,
            exchanges: (0..nodes).map(new_exchange).collect(),
            softswitches: vec![false; nodes],
            groups,
            calls: HashMap::new(),
            dest_weights: vec![1.0; nodes],
            setup_work_s,
            lists: Vec::new(),
            delivered_index: 0,
            list_lag: scenario.list_lag,
            undelivered: Vec::new(),
            totals: [ClassTotals::default(); CLASSES.len()],
            protocol_violations: 0,
            scenario,
        };
        model.publish_list();
        model.set_timer(Duration::ZERO, Timer::NextArrival);
        model.set_timer(TRAFFIC_SHIFT_INTERVAL, Timer::TrafficShift);
        for (i, incident) in model.scenario.incidents.clone().iter().enumerate() {
            model.set_timer(incident.at, Timer::IncidentBegin(i));
            model.set_timer(incident.at + incident.duration, Timer::IncidentEnd(i));
        }
        model
    }

    /// The scenario of this run.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// When the next timer expires: [`MeshModel::handle`] should be called by then.
    pub fn next_wake(&self) -> Option<Duration> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Whether the load has ended, and either all calls have ended or the grace period is over.
    pub fn is_finished(&self) -> bool {
        let end = self.scenario.duration;
        self.now >= end + GRACE_PERIOD || (self.now >= end && self.calls.is_empty())
    }

    /// Outcomes of the calls by class, in the order of [`CLASSES`].
    pub fn totals(&self) -> [ClassTotals; CLASSES.len()] {
        self.totals
    }

    /// Number of set-ups that break the protocol: from a softswitch that does not have the call, or a second one from
    /// the same softswitch while the first is open. 0 if the softswitches work correctly.
    pub fn protocol_violations(&self) -> u64 {
        self.protocol_violations
    }

    /// Worth of the served calls as a fraction of the worth offered; 1 if no calls were offered. A late call counts
    /// with its reduced worth; a cut call is subtracted from those established in time.
    pub fn service_level(&self) -> f64 {
        let classes = || self.totals.iter().zip(CLASSES);
        let offered: f64 = classes().map(|(s, class)| s.offered as f64 * class.worth).sum();
        let served = classes().map(|(s, class)| {
            (s.in_time.saturating_sub(s.cut) as f64 + class.late_worth_factor * s.late as f64) * class.worth
        });
        if offered > 0.0 { served.sum::<f64>() / offered } else { 1.0 }
    }

    /// Whether the process of an exchange runs.
    pub fn is_exchange_running(&self, exchange: usize) -> bool {
        self.exchanges[exchange].running
    }

    /// The list of exchanges that the resolver delivers now, and its serial.
    pub fn list(&mut self, now: Duration) -> (u32, &[ListedExchange]) {
        self.now = self.now.max(now);
        // A version once delivered is not withdrawn when the lag grows.
        while self.lists.get(self.delivered_index + 1).is_some_and(|(at, _)| *at + self.list_lag <= self.now)
        {
            self.delivered_index += 1;
        }
        (self.delivered_index as u32 + 1, &self.lists[self.delivered_index].1)
    }

    fn set_timer(&mut self, at: Duration, timer: Timer) {
        self.timer_count += 1;
        self.timers.push(Reverse((at, self.timer_count, timer)));
    }

    /// Handles the timers that have expired by `now` and then one input; appends the effects to `out`.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        while let Some(Reverse((at, _, timer))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            self.now = self.now.max(at);
            self.handle_timer(timer, out);
        }
        self.now = self.now.max(now);
        match input {
            Input::Wake => {}
            Input::SoftswitchUp(softswitch) => self.softswitches[softswitch] = true,
            Input::SoftswitchDown(softswitch) => self.handle_softswitch_down(softswitch, out),
            Input::ExchangeConnected { softswitch, exchange } => {
                self.handle_exchange_connected(softswitch, exchange, out)
            }
            Input::ToExchange { softswitch, exchange, call, message } => {
                if self.exchanges[exchange].running {
                    self.handle_message_to_exchange(softswitch, exchange, call, message, out);
                }
            }
            Input::ToCaller { softswitch, call, message } => {
                self.handle_message_to_caller(softswitch, call, message, out)
            }
        }
    }

    fn handle_timer(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::NextArrival => self.place_new_call(out),
            Timer::TrafficShift => {
                for weight in &mut self.dest_weights {
                    *weight = self.rng.random_range(0.6..1.4);
                }
                self.set_timer(self.now + TRAFFIC_SHIFT_INTERVAL, Timer::TrafficShift);
            }
            Timer::AttemptTimeout(call) => {
                if let Some(state) = self.calls.get(&call).filter(|state| state.waiting) {
                    out.push(Output::FromCaller {
                        softswitch: state.origin,
                        call,
                        message: MessageFromCaller::HangUp,
                    });
                    self.end_failed_attempt(call, Duration::ZERO);
                }
            }
            Timer::Redial(call) => self.dial(call, out),
            Timer::JobDone(exchange, job) => self.finish_job(exchange, job, out),
            Timer::CallEnd(call) => self.end_call(call, out),
            Timer::IncidentBegin(i) => self.begin_incident(self.scenario.incidents[i], out),
            Timer::IncidentEnd(i) => self.end_incident(self.scenario.incidents[i], out),
            Timer::Resume(exchange) => self.start_next_job(exchange),
        }
    }

    // ---- callers ----

    /// Draws a new call and the time of the next one. The timer at time zero only starts the arrivals.
    fn place_new_call(&mut self, out: &mut Vec<Output>) {
        if self.now >= self.scenario.duration || self.scenario.calls_per_s <= 0.0 {
            return;
        }
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / self.scenario.calls_per_s;
        self.set_timer(self.now + Duration::from_secs_f64(gap), Timer::NextArrival);
        if self.now.is_zero() {
            return;
        }
        let origin = self.rng.random_range(0..self.scenario.nodes);
        let total: f64 =
            (0..self.scenario.nodes).filter(|n| *n != origin).map(|n| self.dest_weights[n]).sum();
        let mut point = self.rng.random_range(0.0..total);
        let others = (0..self.scenario.nodes).filter(|n| *n != origin);
        let mut dest = (origin + 1) % self.scenario.nodes;
        for n in others {
            if point < self.dest_weights[n] {
                dest = n;
                break;
            }
            point -= self.dest_weights[n];
        }
        let mut point = self.rng.random::<f64>();
        let class = CLASSES.iter().position(|class| {
            point -= class.share;
            point < 0.0
        });
        let class = class.unwrap_or(0);
        self.totals[class].offered += 1;
        let call = self.rng.random::<u64>();
        let (first_attempt_at, legs) = (self.now, Vec::new());
        let new_call = Call {
            origin,
            dest,
            class,
            first_attempt_at,
            redials: 0,
            waiting: false,
            established: false,
            legs,
        };
        self.calls.insert(call, new_call);
        self.dial(call, out);
    }

    /// Sends the set-up of a call to the softswitch of its origin; nothing is sent if that is down.
    fn dial(&mut self, call: u64, out: &mut Vec<Output>) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        let class = CLASSES[state.class];
        state.waiting = true;
        let remaining = class.abandon_after.mul_f64(ATTEMPT_TIMEOUT_FRACTION);
        let (softswitch, dest) = (state.origin, state.dest);
        if self.softswitches[softswitch] {
            let message = MessageFromCaller::SetUp { class: class.name, remaining, dest, transit_from: None };
            out.push(Output::FromCaller { softswitch, call, message });
        }
        self.set_timer(self.now + remaining, Timer::AttemptTimeout(call));
    }

    /// Ends an attempt that failed or timed out. The caller redials after 0.5 to 2 s, or after `retry_after` if that is
    /// longer; the call counts as unserved if no redial is left or the redial would come after `abandon_after`.
    fn end_failed_attempt(&mut self, call: u64, retry_after: Duration) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.waiting = false;
        let (class, first_attempt_at, redials) = (state.class, state.first_attempt_at, state.redials);
        let next_attempt = Call { redials: redials + 1, legs: Vec::new(), ..state.clone() };
        self.remove_if_ended(call);
        let pause = retry_after.max(Duration::from_secs_f64(self.rng.random_range(0.5..2.0)));
        if redials < MAX_REDIALS && self.now + pause < first_attempt_at + CLASSES[class].abandon_after {
            // Every attempt of a caller has a call id of its own.
            let next_call = self.rng.random::<u64>();
            self.calls.insert(next_call, next_attempt);
            self.set_timer(self.now + pause, Timer::Redial(next_call));
        } else {
            self.totals[class].unserved += 1;
        }
    }

    fn handle_message_to_caller(
        &mut self,
        softswitch: usize,
        call: u64,
        message: MessageToCaller,
        out: &mut Vec<Output>,
    ) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        if state.origin != softswitch {
            return self.handle_transit_message(softswitch, call, message, out);
        }
        match message {
            MessageToCaller::Answered if state.waiting => {
                (state.waiting, state.established) = (false, true);
                let (class, elapsed) = (state.class, self.now - state.first_attempt_at);
                let totals = &mut self.totals[class];
                if elapsed <= CLASSES[class].target_setup {
                    totals.in_time += 1;
                } else {
                    totals.late += 1;
                }
            }
            MessageToCaller::Ended(cause, _) if state.established => {
                state.established = false;
                self.totals[state.class].cut += u64::from(cause != CAUSE_NORMAL_CLEARING);
                self.remove_if_ended(call);
            }
            MessageToCaller::Ended(_, retry_after) if state.waiting => {
                self.end_failed_attempt(call, retry_after)
            }
            _ => {}
        }
    }

    /// Handles the message of a softswitch about a call in transit: the tandem passes it back to the exchange that the
    /// call came from, with the failure of a set-up as `tandem_refused`.
    fn handle_transit_message(
        &mut self,
        softswitch: usize,
        call: u64,
        message: MessageToCaller,
        out: &mut Vec<Output>,
    ) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        let Some(leg) = state.legs.iter_mut().find(|leg| leg.to == softswitch) else { return };
        let previous = leg.from;
        match message {
            MessageToCaller::Answered => {
                leg.phase = LegPhase::Established;
                self.send_to_softswitch(previous, softswitch, call, MessageFromExchange::Answered, out);
            }
            MessageToCaller::Ended(cause, _) => {
                let was_established = leg.phase == LegPhase::Established;
                let message = if was_established {
                    MessageFromExchange::Ended(cause, "", Duration::ZERO)
                } else {
                    MessageFromExchange::Ended(CAUSE_NO_CIRCUIT, "tandem_refused", Duration::ZERO)
                };
                self.release_leg(call, previous, softswitch, out);
                self.send_to_softswitch(previous, softswitch, call, message, out);
            }
        }
    }

    // ---- exchanges ----

    /// Sends a message to a softswitch. If that is down, the end of a call is kept until it connects again and other
    /// messages are dropped.
    fn send_to_softswitch(
        &mut self,
        softswitch: usize,
        exchange: usize,
        call: u64,
        message: MessageFromExchange,
        out: &mut Vec<Output>,
    ) {
        if self.softswitches[softswitch] {
            out.push(Output::FromExchange { softswitch, exchange, call, message });
        } else if matches!(message, MessageFromExchange::Ended(..)) {
            self.undelivered.push((softswitch, exchange, call, message));
        }
    }

    /// A new connection gets the state of the group, then the ends of calls that could not be delivered before.
    fn handle_exchange_connected(&mut self, softswitch: usize, exchange: usize, out: &mut Vec<Output>) {
        let (free, total) = self.groups[&group_key(softswitch, exchange)];
        self.send_to_softswitch(softswitch, exchange, 0, MessageFromExchange::GroupState(free, total), out);
        let (deliverable, others) = std::mem::take(&mut self.undelivered)
            .into_iter()
            .partition(|(s, e, ..)| (*s, *e) == (softswitch, exchange));
        self.undelivered = others;
        let deliverable: Vec<_> = deliverable;
        for (_, _, call, message) in deliverable {
            self.send_to_softswitch(softswitch, exchange, call, message, out);
        }
    }

    fn handle_message_to_exchange(
        &mut self,
        softswitch: usize,
        exchange: usize,
        call: u64,
        message: MessageToExchange,
        out: &mut Vec<Output>,
    ) {
        match message {
            MessageToExchange::SetUp => {
                if let Some(message) = self.handle_set_up(softswitch, exchange, call, out) {
                    self.send_to_softswitch(softswitch, exchange, call, message, out);
                }
            }
            MessageToExchange::Release => {
                let Some(leg) = self.release_leg(call, softswitch, exchange, out) else { return };
                if leg.phase != LegPhase::Queued && self.calls.get(&call).is_some_and(|c| c.dest != exchange)
                {
                    out.push(Output::FromCaller {
                        softswitch: exchange,
                        call,
                        message: MessageFromCaller::HangUp,
                    });
                }
                self.remove_if_ended(call);
            }
            MessageToExchange::Probe => {
                if !self.exchanges[exchange].stalled {
                    self.send_to_softswitch(
                        softswitch,
                        exchange,
                        call,
                        MessageFromExchange::ProbePassed,
                        out,
                    );
                }
            }
        }
    }

    /// Puts a set-up into the queue of an exchange. Returns the refusal if it cannot be accepted.
    fn handle_set_up(
        &mut self,
        softswitch: usize,
        exchange: usize,
        call: u64,
        out: &mut Vec<Output>,
    ) -> Option<MessageFromExchange> {
        let Some(state) = self.calls.get(&call) else {
            // Not counted as a violation: the caller may just have abandoned the call, which cannot be distinguished
            // from an unknown id.
            return Some(MessageFromExchange::Ended(CAUSE_RESOURCE_UNAVAILABLE, "", Duration::ZERO));
        };
        if state.legs.iter().any(|leg| leg.from == softswitch) {
            self.protocol_violations += 1;
            return Some(MessageFromExchange::Ended(CAUSE_RESOURCE_UNAVAILABLE, "", Duration::ZERO));
        }
        let has_call = state.origin == softswitch || state.legs.iter().any(|leg| leg.to == softswitch);
        if !has_call {
            self.protocol_violations += 1;
            return Some(MessageFromExchange::Ended(CAUSE_RESOURCE_UNAVAILABLE, "", Duration::ZERO));
        }
        if !self.exchanges[softswitch].running {
            return Some(MessageFromExchange::Ended(CAUSE_RECOVERY_ON_TIMER_EXPIRY, "", Duration::ZERO));
        }
        if self.groups[&group_key(softswitch, exchange)].0 == 0 {
            return Some(MessageFromExchange::Ended(CAUSE_NO_CIRCUIT, "group_full", Duration::ZERO));
        }
        let wait = self.processor_wait(exchange);
        if wait > MAX_PROCESSOR_WAIT {
            return Some(MessageFromExchange::Ended(CAUSE_NO_CIRCUIT, "processor_full", wait));
        }
        let leg = Leg { from: softswitch, to: exchange, phase: LegPhase::Queued };
        if let Some(state) = self.calls.get_mut(&call) {
            state.legs.push(leg);
        }
        self.change_free_circuits(softswitch, exchange, -1, out);
        self.exchanges[exchange].queue.push_back((call, softswitch));
        self.start_next_job(exchange);
        None
    }

    /// Changes the number of free circuits of a group and reports it to the softswitches at both ends.
    fn change_free_circuits(&mut self, a: usize, b: usize, change: i64, out: &mut Vec<Output>) {
        let Some((free, total)) = self.groups.get_mut(&group_key(a, b)) else { return };
        *free = (i64::from(*free) + change).clamp(0, i64::from(*total)) as u32;
        let message = MessageFromExchange::GroupState(*free, *total);
        for (softswitch, exchange) in [(a, b), (b, a)] {
            if self.softswitches[softswitch] && self.exchanges[exchange].running {
                out.push(Output::FromExchange { softswitch, exchange, call: 0, message });
            }
        }
    }

    /// Speed of a processor as a fraction of its full speed. It grows linearly while the processor is cold; a `slow`
    /// incident divides it.
    fn speed(&self, exchange: usize) -> f64 {
        let state = &self.exchanges[exchange];
        let warm_fraction =
            state.started_at.map_or(1.0, |at| (self.now - at).as_secs_f64() / COLD_PERIOD.as_secs_f64());
        (COLD_INITIAL_SPEED + (1.0 - COLD_INITIAL_SPEED) * warm_fraction.min(1.0)) / state.slow_factor
    }

    /// Time until the processor has processed all set-ups of its queue at its present speed.
    fn processor_wait(&self, exchange: usize) -> Duration {
        let queued = self.exchanges[exchange].queue.len() as f64;
        Duration::from_secs_f64(queued * self.setup_work_s / self.speed(exchange))
    }

    /// Starts to process the next set-up, unless the processor is busy, stalled or not running.
    fn start_next_job(&mut self, exchange: usize) {
        let work_s = self.setup_work_s / self.speed(exchange);
        let state = &mut self.exchanges[exchange];
        if state.busy || state.stalled || !state.running || state.queue.is_empty() {
            return;
        }
        state.busy = true;
        state.job += 1;
        let job = state.job;
        self.set_timer(self.now + Duration::from_secs_f64(work_s), Timer::JobDone(exchange, job));
    }

    /// The processor of an exchange has processed a set-up. At its destination the call is answered. A tandem forwards
    /// it through its own softswitch; it refuses the set-up if that is down or the call has already passed a tandem.
    fn finish_job(&mut self, exchange: usize, job: u64, out: &mut Vec<Output>) {
        let state = &mut self.exchanges[exchange];
        if state.job != job || !state.busy || !state.running {
            return;
        }
        state.busy = false;
        if state.stalled {
            return;
        }
        let set_up = state.queue.pop_front();
        self.start_next_job(exchange);
        let Some((call, from)) = set_up else { return };
        let Some(state) = self.calls.get_mut(&call) else { return };
        let (dest, class, transit) = (state.dest, CLASSES[state.class], state.origin != from);
        let Some(leg) = state.legs.iter_mut().find(|leg| (leg.from, leg.to) == (from, exchange)) else {
            return;
        };
        if dest == exchange {
            leg.phase = LegPhase::Established;
            let hold_s = -self.rng.random::<f64>().max(1e-12).ln() * class.mean_hold.as_secs_f64();
            self.set_timer(self.now + Duration::from_secs_f64(hold_s), Timer::CallEnd(call));
            self.send_to_softswitch(from, exchange, call, MessageFromExchange::Answered, out);
        } else if transit || !self.softswitches[exchange] {
            self.release_leg(call, from, exchange, out);
            self.send_to_softswitch(
                from,
                exchange,
                call,
                MessageFromExchange::Ended(CAUSE_NO_CIRCUIT, "tandem_refused", Duration::ZERO),
                out,
            );
        } else {
            leg.phase = LegPhase::Forwarded;
            let remaining = class.abandon_after.mul_f64(ATTEMPT_TIMEOUT_FRACTION);
            let message =
                MessageFromCaller::SetUp { class: class.name, remaining, dest, transit_from: Some(from) };
            out.push(Output::FromCaller { softswitch: exchange, call, message });
        }
    }

    /// Ends an established call normally, at its destination.
    fn end_call(&mut self, call: u64, out: &mut Vec<Output>) {
        let Some(state) = self.calls.get(&call) else { return };
        let dest = state.dest;
        let leg = state.legs.iter().find(|leg| leg.to == dest && leg.phase == LegPhase::Established).copied();
        if let Some(leg) = leg {
            self.release_leg(call, leg.from, dest, out);
            self.send_to_softswitch(
                leg.from,
                dest,
                call,
                MessageFromExchange::Ended(CAUSE_NORMAL_CLEARING, "", Duration::ZERO),
                out,
            );
            self.remove_if_ended(call);
        }
    }

    /// Removes a leg of a call and frees its circuit.
    fn release_leg(&mut self, call: u64, from: usize, to: usize, out: &mut Vec<Output>) -> Option<Leg> {
        let state = self.calls.get_mut(&call)?;
        let index = state.legs.iter().position(|leg| (leg.from, leg.to) == (from, to))?;
        let leg = state.legs.remove(index);
        self.change_free_circuits(from, to, 1, out);
        Some(leg)
    }

    /// Removes a call that has no leg and that its caller neither waits for nor has established. This applies to a call
    /// that is to be redialled, too.
    fn remove_if_ended(&mut self, call: u64) {
        if self
            .calls
            .get(&call)
            .is_some_and(|state| !state.waiting && !state.established && state.legs.is_empty())
        {
            self.calls.remove(&call);
        }
    }
}
