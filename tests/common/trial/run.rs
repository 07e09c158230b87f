//! Runs one trial: starts everything, plays the schedule of faults and lets the calls come to their end.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use super::caller::Callers;
use super::checker::{Violation, check};
use super::exchange::{Behaviour, Exchange, Mode};
use super::plan::{Fault, Plan};
use super::process::{DESCRIPTORS, MEMORY_MB, Softswitch, TrialDirectory, own_address};
use super::resolver::Resolver;
use super::strangers::Strangers;
use super::{Journal, Node, Observation, TICK};
use crate::dns_answer::ListedTarget;
use crate::engine_harness;

/// Port of every address of a trial.
pub const PORT: u16 = 5_070;
/// Time for which new connections arrive after SIGTERM.
const NEW_CONN_TIME: Duration = Duration::from_millis(300);
/// A softswitch that stops does not hang later than this before SIGKILL.
const HANG_MARGIN: Duration = Duration::from_millis(150);
/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Interval between two looks at the memory and descriptors of the processes.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// After the load has ended, releases are due within 8 s.
const SETTLE_TIME: Duration = Duration::from_millis(8_500);

/// The result of a trial.
#[derive(Debug)]
pub struct Trial {
    pub violations: Vec<Violation>,
    pub setups: usize,
}

/// What is to be done later.
#[derive(Debug)]
enum Task {
    Play(Fault),
    Continue(usize),
    Serve(usize),
    Remove(usize),
    ResolverAnswers,
    NoNewConns(usize, Instant),
    Start(usize),
}

/// The list of exchanges at these addresses.
fn listed_targets(addresses: &[SocketAddr]) -> Vec<ListedTarget> {
    let target = |(cell, address): (usize, &SocketAddr)| {
        let SocketAddr::V4(address) = *address else { unreachable!("IPv4 only") };
        let address: SocketAddrV4 = address;
        ListedTarget {
            target: format!("s-{cell}.north.hosts"),
            address,
            draining: false,
            cell,
            started_ms: 0,
        }
    };
    addresses.iter().enumerate().map(target).collect()
}

/// The exchanges and the resolver.
pub struct Network {
    pub exchanges: Vec<Exchange>,
    pub resolver: Resolver,
    /// Addresses of the exchanges for each softswitch, those of the home exchange first.
    addresses: Vec<Vec<SocketAddr>>,
}

impl Network {
    /// Starts exchanges with the numbers from 1 on, and a resolver that lists them and the home exchange.
    pub fn start(
        softswitches: usize,
        exchanges: usize,
        behaviour: &Behaviour,
        seed: u64,
        journal: &Journal,
    ) -> Self {
        let addresses: Vec<Vec<SocketAddr>> =
            (0..softswitches).map(|_| (0..=exchanges).map(|_| own_address(PORT)).collect()).collect();
        let start_exchange = |node: usize| {
            let own = addresses.iter().map(|of_softswitch| of_softswitch[node]).collect();
            Exchange::start(node, own, behaviour.clone(), seed ^ node as u64, journal)
        };
        let exchanges = (1..=exchanges).map(start_exchange).collect();
        let lists = addresses.iter().map(|of_softswitch| listed_targets(of_softswitch)).collect();
        Self { exchanges, resolver: Resolver::start(lists, journal), addresses }
    }

    /// A softswitch that is not started.
    pub fn softswitch(
        &self,
        node: Node,
        deadlines_ms: [u32; 2],
        directory: &TrialDirectory,
        journal: &Journal,
    ) -> Softswitch {
        let address = own_address(PORT);
        let config = self.config(node, address, deadlines_ms, None);
        Softswitch::new(node, address, &config, &directory.0, journal)
    }

    /// The configuration with which a softswitch is started now. Calls of the class `lookup` may not run twice.
    fn config(
        &self,
        node: Node,
        address: SocketAddr,
        deadlines_ms: [u32; 2],
        withdrawn: Option<Withdrawn>,
    ) -> String {
        let mut exchanges: Vec<String> = self.addresses[node].iter().map(ToString::to_string).collect();
        if let Some(Withdrawn { exchange, gone: true }) = withdrawn {
            exchanges.truncate(exchange);
        }
        let config = engine_harness::config_json_with_deadlines(
            &address.to_string(),
            &self.resolver.addresses[node].to_string(),
            &exchanges,
            deadlines_ms,
        );
        let config = match withdrawn {
            Some(Withdrawn { exchange, gone: false }) => {
                let (others, entry) = config.split_once(&format!("\"cell\":{exchange},")).expect("its entry");
                let entry = entry.replacen("in_service", "terminating", 1);
                format!("{others}\"cell\":{exchange},{entry}")
            }
            _ => config,
        };
        let (status, lookup) = config.split_once("\"semantics\":\"pure\"").expect("two classes");
        let lookup = lookup.replacen("\"semantics\":\"pure\"", "\"semantics\":\"side_effect\"", 1);
        let config = format!("{status}\"semantics\":\"pure\"{lookup}");
        let limits = "\"memory_mb\":192,\"sockets\":1024";
        assert!(config.contains(limits), "{config}");
        config.replace(limits, &format!("\"memory_mb\":{MEMORY_MB},\"sockets\":{DESCRIPTORS}"))
    }
}

/// The exchange with the highest number, which drains or is gone.
#[derive(Clone, Copy, Debug)]
struct Withdrawn {
    exchange: Node,
    gone: bool,
}

struct Runner {
    plan: Plan,
    softswitches: Vec<Softswitch>,
    callers: Vec<Callers>,
    network: Network,
    withdrawn: Option<Withdrawn>,
    tasks: Vec<(Instant, Task)>,
    next_limit_check: Instant,
    journal: Journal,
}

/// Runs the trial of this plan.
pub fn run(plan: &Plan) -> Trial {
    let directory = TrialDirectory::new("trial");
    let journal = Journal::default();
    let mut runner = Runner::start(plan, &directory, &journal);
    let start = Instant::now();
    runner.tasks = plan.faults.iter().map(|(at, fault)| (start + *at, Task::Play(fault.clone()))).collect();
    let strangers: Vec<Strangers> = runner.start_strangers();
    runner.work_until(start + plan.duration);
    drop(strangers);
    runner.callers.iter().for_each(|callers| callers.set_sending(false));
    runner.work_until(Instant::now() + plan.longest_deadline().max(SETTLE_TIME) + Duration::from_secs(1));
    let violations = check(&journal);
    if !violations.is_empty() {
        directory.keep();
    }
    Trial { violations, setups: journal.setup_count() }
}

impl Runner {
    fn start(plan: &Plan, directory: &TrialDirectory, journal: &Journal) -> Self {
        let network = Network::start(plan.softswitches, plan.exchanges, &plan.behaviour, plan.seed, journal);
        let mut softswitches: Vec<Softswitch> = (0..plan.softswitches)
            .map(|node| network.softswitch(node, plan.deadlines_ms, directory, journal))
            .collect();
        softswitches.iter_mut().for_each(Softswitch::start);
        softswitches.iter_mut().for_each(Softswitch::wait_until_ready);
        let callers = softswitches
            .iter()
            .map(|softswitch| {
                let seed = plan.seed.rotate_left(8) ^ softswitch.node as u64;
                Callers::start(softswitch.node, softswitch.address, plan.habits.clone(), seed, journal)
            })
            .collect();
        Self {
            plan: plan.clone(),
            softswitches,
            callers,
            network,
            withdrawn: None,
            tasks: Vec::new(),
            next_limit_check: Instant::now(),
            journal: journal.clone(),
        }
    }

    fn start_strangers(&self) -> Vec<Strangers> {
        let start = |(index, (node, kind)): (usize, &(Node, _))| {
            let address = self.softswitches[*node].address;
            Strangers::start(*kind, *node, address, self.plan.seed ^ index as u64, &self.journal)
        };
        self.plan.strangers.iter().enumerate().map(start).collect()
    }

    fn work_until(&mut self, end: Instant) {
        while Instant::now() < end {
            let now = Instant::now();
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.tasks).into_iter().partition(|(at, _)| *at <= now);
            self.tasks = later;
            for (_, task) in due {
                self.perform(task);
            }
            self.look_after_processes();
            if now >= self.next_limit_check {
                self.next_limit_check = now + LIMIT_CHECK_INTERVAL;
                self.softswitches.iter().for_each(|softswitch| softswitch.check_limits(&self.journal));
            }
            std::thread::sleep(TICK);
        }
    }

    fn after(&mut self, delay: Duration, task: Task) {
        self.tasks.push((Instant::now() + delay, task));
    }

    fn perform(&mut self, task: Task) {
        match task {
            Task::Play(fault) => self.play(fault),
            Task::Continue(softswitch) => {
                self.softswitches[softswitch].signal("-CONT");
                self.journal.note(Observation::Continued { softswitch });
            }
            Task::Serve(exchange) => self.network.exchanges[exchange - 1].set_mode(Mode::Serving),
            Task::Remove(exchange) => self.withdraw(exchange, true),
            Task::ResolverAnswers => self.network.resolver.set_silent(false),
            Task::NoNewConns(softswitch, terminated) => {
                // It may have ended and started again meanwhile.
                if self.softswitches[softswitch].terminated_at() == Some(terminated) {
                    self.callers[softswitch].set_new_conns(false);
                }
            }
            Task::Start(softswitch) => {
                let address = self.softswitches[softswitch].address;
                let config = self.network.config(softswitch, address, self.plan.deadlines_ms, self.withdrawn);
                self.softswitches[softswitch].write_config(&config);
                self.softswitches[softswitch].start();
                self.softswitches[softswitch].wait_until_ready();
                self.callers[softswitch].set_new_conns(true);
            }
        }
    }

    fn withdraw(&mut self, exchange: Node, gone: bool) {
        self.network.resolver.withdraw(exchange, gone);
        self.withdrawn = Some(Withdrawn { exchange, gone });
    }

    fn play(&mut self, fault: Fault) {
        let ms = Duration::from_millis;
        match fault {
            Fault::Terminate(softswitch) => {
                let first = self.softswitches[softswitch].terminated_at().is_none();
                self.softswitches[softswitch].signal("-TERM");
                if let Some(at) = self.softswitches[softswitch].terminated_at().filter(|_| first) {
                    self.after(NEW_CONN_TIME, Task::NoNewConns(softswitch, at));
                }
            }
            Fault::Reload(softswitch) => self.softswitches[softswitch].signal("-HUP"),
            Fault::Kill(softswitch) if self.softswitches[softswitch].terminated_at().is_none() => {
                self.softswitches[softswitch].kill();
            }
            Fault::Kill(_) => {}
            Fault::Hang(softswitch, duration) => {
                // A process that hangs until SIGKILL cannot answer what it has taken.
                let kill_at = self.softswitches[softswitch].kill_time(self.plan.longest_deadline());
                let end = Instant::now() + ms(duration) + HANG_MARGIN;
                if kill_at.is_none_or(|kill_at| end < kill_at) {
                    self.softswitches[softswitch].signal("-STOP");
                    self.after(ms(duration), Task::Continue(softswitch));
                }
            }
            Fault::Silent(exchange, duration) => {
                self.network.exchanges[exchange - 1].set_mode(Mode::Silent);
                self.after(ms(duration), Task::Serve(exchange));
            }
            Fault::Down(exchange, duration) => {
                self.network.exchanges[exchange - 1].set_mode(Mode::Down);
                self.after(ms(duration), Task::Serve(exchange));
            }
            Fault::Reset(exchange) => self.network.exchanges[exchange - 1].reset_conns(),
            Fault::Withdraw(exchange, duration) => {
                self.withdraw(exchange, false);
                self.after(ms(duration), Task::Remove(exchange));
            }
            Fault::ResolverSilent(duration) => {
                self.network.resolver.set_silent(true);
                self.after(ms(duration), Task::ResolverAnswers);
            }
        }
    }

    /// Kills the processes whose time after SIGTERM is over, and starts those again that have ended.
    fn look_after_processes(&mut self) {
        let longest = self.plan.longest_deadline();
        for index in 0..self.softswitches.len() {
            let softswitch = &mut self.softswitches[index];
            let starts = self.tasks.iter().any(|(_, task)| matches!(task, Task::Start(n) if *n == index));
            if softswitch.kill_time(longest).is_some_and(|at| at <= Instant::now()) {
                softswitch.kill();
            }
            if !softswitch.is_running() && !starts {
                self.callers[index].set_new_conns(false);
                self.after(RESTART_DELAY, Task::Start(index));
            }
        }
    }
}
