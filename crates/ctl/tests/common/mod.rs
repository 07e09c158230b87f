//! A mesh in one process and in virtual time: real engines of softswitches connected to the emulator's model, with
//! clocks that may be wrong.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use swiftlb::config::Config;
use swiftlb::engine::{
    CallUid, CallerMessage, Effect, Engine, ExchangeConnId, ExchangeMessage, Front, Input, ListEntry, SetUp,
};
use swiftlb::interface::{Outcome, Readiness, Reason};
use swiftlb_emulator::{
    Input as ModelInput, ListedExchange, MeshModel, MessageFromCaller, MessageFromExchange, MessageToCaller,
    MessageToExchange, Output, Scenario, SoftswitchConfig,
};
use swiftlb_record::{FileHeader, FileWriter, Record, file_name};

/// Unix time at which the time of the model starts.
pub const EPOCH: Duration = Duration::from_secs(1_800_000_000);
/// Interval between two fetches of the list of exchanges, as in the client of the resolver.
const LIST_FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which record files are flushed, as in the recorder.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which every softswitch has stopped: the engine lets established calls continue for up to 10 s.
const STOP_TIME: Duration = Duration::from_secs(11);
/// Q.850 causes of the messages between the engines and the model.
const NORMAL_CLEARING: u8 = 16;
const NO_CIRCUIT: u8 = 34;
const TEMPORARY_FAILURE: u8 = 41;
const TIMER_EXPIRED: u8 = 102;
/// Id of the caller connection of a softswitch; each has one.
const CALLER_CONN: u64 = 1;

/// Error of the clock of a softswitch: offset in microseconds, and drift in microseconds per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockSkew(pub i64, pub i64);

/// An event that is scheduled for a time of the model.
enum ScheduledEvent {
    ModelInput(ModelInput),
    /// Input of a softswitch's engine: softswitch, number of its process, input.
    EngineInput(usize, u32, Input),
    /// A connect arrives at an exchange: softswitch, number of its process, connection, exchange.
    Connect(usize, u32, ExchangeConnId, usize),
    /// A softswitch fetches the list of exchanges: softswitch, number of its process.
    FetchList(usize, u32),
}

/// A softswitch of the mesh: the engine of its current process, and the resources around the engine.
struct Softswitch {
    /// `None` while no process runs.
    engine: Option<Engine>,
    /// Number of the current process; events that were scheduled for an earlier process are dropped.
    process: u32,
    /// Exchange at the other end of each open connection.
    exchange_conns: BTreeMap<ExchangeConnId, usize>,
    list_serial: u32,
    record_file: Option<(FileHeader, FileWriter<Vec<u8>>)>,
    last_flush: Duration,
}

/// The mesh of engines and their environment, the model.
pub struct VirtualMesh {
    pub model: MeshModel,
    softswitches: Vec<Softswitch>,
    clock_skews: Vec<ClockSkew>,
    /// Due time, order of scheduling and id of the events in [`Self::scheduled`].
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    scheduled: BTreeMap<usize, ScheduledEvent>,
    scheduled_count: u64,
    now: Duration,
    directory: PathBuf,
    seed: u64,
}

/// Converts a time of the model to the correct time of day.
fn system_time(now: Duration) -> SystemTime {
    UNIX_EPOCH + EPOCH + now
}

/// One-way latency between two nodes.
fn latency(a: usize, b: usize) -> Duration {
    if a == b { Duration::from_micros(200) } else { Duration::from_millis(9 + 4 * ((a + b) % 3) as u64) }
}

fn address(exchange: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, exchange as u8 + 1], 5070))
}

fn list_entry(listed: &ListedExchange) -> ListEntry {
    ListEntry {
        name: listed.name.as_str().into(),
        address: address(listed.exchange),
        number: listed.exchange as u32,
        zone: (listed.exchange % 3) as u16,
        // The list has this time in whole milliseconds.
        started_at: listed
            .started_at
            .map(|started_at| UNIX_EPOCH + EPOCH + Duration::from_millis(started_at.as_millis() as u64)),
        readiness: if listed.draining { Readiness::Draining } else { Readiness::Ready },
    }
}

impl VirtualMesh {
    /// Runs a scenario to its end, writes the records to this directory and returns the model.
    pub fn run(scenario: Scenario, seed: u64, clock_skews: &[ClockSkew], directory: &Path) -> MeshModel {
        let _ = std::fs::remove_dir_all(directory);
        std::fs::create_dir_all(directory).expect("the directory is created");
        let nodes = scenario.nodes;
        let softswitch = |_| Softswitch {
            engine: None,
            process: 0,
            exchange_conns: BTreeMap::new(),
            list_serial: 0,
            record_file: None,
            last_flush: Duration::ZERO,
        };
        let mut mesh = Self {
            model: MeshModel::new(scenario, seed),
            softswitches: (0..nodes).map(softswitch).collect(),
            clock_skews: clock_skews
                .iter()
                .copied()
                .chain(std::iter::repeat(ClockSkew::default()))
                .take(nodes)
                .collect(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            now: Duration::ZERO,
            directory: directory.to_owned(),
            seed,
        };
        for softswitch in 0..nodes {
            mesh.start_softswitch(softswitch);
        }
        while !mesh.model.is_finished() {
            mesh.step();
        }
        for softswitch in 0..nodes {
            mesh.handle_engine_input(softswitch, Input::Stop);
            mesh.now += STOP_TIME;
            mesh.handle_engine_input(softswitch, Input::Wake);
            mesh.now -= STOP_TIME;
            mesh.write_records(softswitch, false);
        }
        mesh.model
    }

    /// Schedules an event this long after now.
    fn schedule(&mut self, after: Duration, event: ScheduledEvent) {
        self.scheduled_count += 1;
        let id = self.scheduled_count as usize;
        self.scheduled.insert(id, event);
        self.queue.push(Reverse((self.now + after, self.scheduled_count, id)));
    }

    /// Advances to the next event or timeout and handles it.
    fn step(&mut self) {
        let event = self.queue.peek().map(|Reverse((at, ..))| *at);
        let wake_times = self.softswitches.iter().filter_map(|s| s.engine.as_ref()?.next_wake());
        let wake =
            wake_times.min().map(|wake| wake.duration_since(system_time(Duration::ZERO)).unwrap_or_default());
        let next = [event, wake, self.model.next_wake()].into_iter().flatten().min();
        self.now = self.now.max(next.unwrap_or(self.now + LIST_FETCH_INTERVAL));
        if event.is_some_and(|at| at <= self.now) {
            let Some(Reverse((_, _, id))) = self.queue.pop() else { return };
            match self.scheduled.remove(&id) {
                Some(ScheduledEvent::ModelInput(input)) => self.handle_model_input(input),
                Some(ScheduledEvent::EngineInput(softswitch, process, input))
                    if self.softswitches[softswitch].process == process =>
                {
                    self.handle_engine_input(softswitch, input);
                }
                Some(ScheduledEvent::Connect(softswitch, process, exchange_conn, to))
                    if self.softswitches[softswitch].process == process =>
                {
                    self.connect_exchange(softswitch, exchange_conn, to);
                }
                Some(ScheduledEvent::FetchList(softswitch, process))
                    if self.softswitches[softswitch].process == process =>
                {
                    self.fetch_list(softswitch)
                }
                _ => {}
            }
            return;
        }
        for softswitch in 0..self.softswitches.len() {
            let due = |engine: &Engine| engine.next_wake().is_some_and(|wake| wake <= system_time(self.now));
            if self.softswitches[softswitch].engine.as_ref().is_some_and(due) {
                self.handle_engine_input(softswitch, Input::Wake);
            }
        }
        self.handle_model_input(ModelInput::Wake);
    }

    /// Starts a process of a softswitch with an empty engine and a new record file.
    fn start_softswitch(&mut self, softswitch: usize) {
        let nodes = self.softswitches.len();
        let unused_address = address(softswitch);
        let (serial, list) = self.model.list(self.now);
        let list: Vec<(ListedExchange, SocketAddr)> =
            list.iter().map(|l| (l.clone(), address(l.exchange))).collect();
        let epoch = UNIX_EPOCH + EPOCH;
        let softswitch_config = SoftswitchConfig {
            number: softswitch,
            node_count: nodes,
            listen: unused_address,
            operator: unused_address,
            resolver: unused_address,
            seed: self.seed,
            epoch,
        };
        let config = Config::parse(&softswitch_config.to_json(serial, &list)).expect("a valid configuration");
        let mut effects = Vec::new();
        let mut engine = Engine::new(&config, system_time(self.now), &mut effects).expect("valid settings");
        engine.start_recording(false, &mut effects);
        let started_us = self.skewed_us(softswitch, (EPOCH + self.now).as_micros() as u64);
        let header = FileHeader::first_of_run(&format!("n{softswitch}"), softswitch as u32, started_us);
        let writer = FileWriter::create(Vec::new(), &header).expect("a write to memory");
        let state = &mut self.softswitches[softswitch];
        (state.engine, state.process, state.list_serial) = (Some(engine), state.process + 1, serial);
        (state.record_file, state.last_flush) = (Some((header, writer)), self.now);
        let process = state.process;
        self.apply_effects(softswitch, effects);
        self.handle_engine_input(
            softswitch,
            Input::CallerConnected { caller_conn: CALLER_CONN, front: Front::JsonLines },
        );
        self.schedule(LIST_FETCH_INTERVAL, ScheduledEvent::FetchList(softswitch, process));
        self.handle_model_input(ModelInput::SoftswitchUp(softswitch));
    }

    /// Time that the clock of a softswitch shows.
    fn skewed_us(&self, softswitch: usize, at_us: u64) -> u64 {
        let ClockSkew(ahead_us, drift_ppm) = self.clock_skews[softswitch];
        let elapsed_us = at_us as i64 - EPOCH.as_micros() as i64;
        at_us.saturating_add_signed(ahead_us + elapsed_us / 1_000 * drift_ppm / 1_000)
    }

    /// Writes the record file of a process that ended: complete, or cut in the middle of its last block if it was killed.
    fn write_records(&mut self, softswitch: usize, killed: bool) {
        let Some((header, mut writer)) = self.softswitches[softswitch].record_file.take() else { return };
        let path = self.directory.join(file_name(&header));
        let flushed_bytes = writer.written_bytes() as usize;
        writer.flush().expect("a write to memory");
        let all_bytes = writer.written_bytes() as usize;
        let bytes = writer.finish().expect("a write to memory");
        let keep = if killed { flushed_bytes + (all_bytes - flushed_bytes) / 2 } else { bytes.len() };
        std::fs::write(path, &bytes[..keep]).expect("the file is written");
    }

    fn fetch_list(&mut self, softswitch: usize) {
        let (serial, list) = self.model.list(self.now);
        let entries: Vec<ListEntry> = list.iter().map(list_entry).collect();
        if serial > self.softswitches[softswitch].list_serial {
            self.softswitches[softswitch].list_serial = serial;
            self.handle_engine_input(softswitch, Input::List(entries));
        }
        self.handle_engine_input(softswitch, Input::ListConfirmed { serial });
        let process = self.softswitches[softswitch].process;
        self.schedule(LIST_FETCH_INTERVAL, ScheduledEvent::FetchList(softswitch, process));
    }

    /// Handles a connect at the exchange: accepts it, or refuses it if the exchange is not running.
    fn connect_exchange(&mut self, softswitch: usize, exchange_conn: ExchangeConnId, to: usize) {
        let delay = latency(softswitch, to);
        let process = self.softswitches[softswitch].process;
        if !self.model.is_exchange_running(to) {
            return self.schedule(
                delay,
                ScheduledEvent::EngineInput(
                    softswitch,
                    process,
                    Input::ExchangeConnectFailed { exchange_conn, refused: true },
                ),
            );
        }
        self.softswitches[softswitch].exchange_conns.insert(exchange_conn, to);
        self.schedule(
            delay,
            ScheduledEvent::EngineInput(
                softswitch,
                process,
                Input::ExchangeConnected { exchange_conn, carries_calls: false },
            ),
        );
        self.handle_model_input(ModelInput::ExchangeConnected { softswitch, exchange: to });
    }

    fn handle_engine_input(&mut self, softswitch: usize, input: Input) {
        let mut effects = Vec::new();
        let now = system_time(self.now);
        let Some(engine) = &mut self.softswitches[softswitch].engine else { return };
        engine.handle(now, input, &mut effects);
        self.apply_effects(softswitch, effects);
    }

    fn apply_effects(&mut self, softswitch: usize, effects: Vec<Effect>) {
        let process = self.softswitches[softswitch].process;
        for effect in effects {
            match effect {
                Effect::ConnectExchange { exchange_conn, number, .. } => {
                    let to = number as usize;
                    self.schedule(
                        latency(softswitch, to),
                        ScheduledEvent::Connect(softswitch, process, exchange_conn, to),
                    );
                }
                Effect::CloseExchangeConn { exchange_conn } => {
                    self.softswitches[softswitch].exchange_conns.remove(&exchange_conn);
                }
                Effect::ToExchange { exchange_conn, call, message } => {
                    let Some(exchange) =
                        self.softswitches[softswitch].exchange_conns.get(&exchange_conn).copied()
                    else {
                        continue;
                    };
                    let message = match message {
                        ExchangeMessage::SetUp { .. } => MessageToExchange::SetUp,
                        ExchangeMessage::Cancel | ExchangeMessage::Release { .. } => {
                            MessageToExchange::Release
                        }
                        ExchangeMessage::Probe => MessageToExchange::Probe,
                    };
                    let call = u64::from_str_radix(call.as_str(), 16).expect("a call id");
                    let input = ModelInput::ToExchange { softswitch, exchange, call, message };
                    self.schedule(latency(softswitch, exchange), ScheduledEvent::ModelInput(input));
                }
                Effect::ToCaller { call, message, .. } => {
                    let message = match message {
                        CallerMessage::Answered { .. } => MessageToCaller::Answered,
                        CallerMessage::Refused { retry_after } => {
                            MessageToCaller::Ended(NO_CIRCUIT, retry_after)
                        }
                        CallerMessage::Failed { .. } => {
                            MessageToCaller::Ended(TEMPORARY_FAILURE, Duration::ZERO)
                        }
                        CallerMessage::Released { cut } => MessageToCaller::Ended(
                            if cut { TEMPORARY_FAILURE } else { NORMAL_CLEARING },
                            Duration::ZERO,
                        ),
                        CallerMessage::HealthCheckResult { .. } => continue,
                    };
                    let call = u64::from_str_radix(call.as_str(), 16).expect("a call id");
                    let input = ModelInput::ToCaller { softswitch, call, message };
                    self.schedule(latency(softswitch, softswitch), ScheduledEvent::ModelInput(input));
                }
                Effect::Record(Record { at_us, event }) => {
                    let at_us = self.skewed_us(softswitch, at_us);
                    let now = self.now;
                    let state = &mut self.softswitches[softswitch];
                    if let Some((_, writer)) = &mut state.record_file {
                        if now >= state.last_flush + FLUSH_INTERVAL {
                            state.last_flush = now;
                            writer.flush().expect("a write to memory");
                        }
                        writer.push(&Record { at_us, event }).expect("a write to memory");
                    }
                }
                _ => {}
            }
        }
    }

    fn handle_model_input(&mut self, input: ModelInput) {
        let mut out = Vec::new();
        self.model.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::FromCaller { softswitch, call, message } => {
                    let call = CallUid::from_u64(call);
                    let input = match message {
                        MessageFromCaller::SetUp { class, remaining, dest, transit_from } => {
                            let setup = SetUp {
                                class: class.to_owned(),
                                received: system_time(self.now) + latency(softswitch, softswitch),
                                remaining: Some(remaining),
                                called_number: Some(call.as_str().to_owned()),
                                dest: dest as u32,
                                width: Some(1.0),
                                transit_from: transit_from.map(|from| from as u32),
                                advised_route: None,
                                was_cut: false,
                                description: Some(Arc::from("v=0\r\n")),
                            };
                            Input::SetUp { caller_conn: CALLER_CONN, call, setup }
                        }
                        MessageFromCaller::HangUp => {
                            Input::HangUp { caller_conn: CALLER_CONN, call, cause: NORMAL_CLEARING }
                        }
                    };
                    let process = self.softswitches[softswitch].process;
                    self.schedule(
                        latency(softswitch, softswitch),
                        ScheduledEvent::EngineInput(softswitch, process, input),
                    );
                }
                Output::FromExchange { softswitch, exchange, call, message } => {
                    self.deliver_from_exchange(softswitch, exchange, call, message)
                }
                Output::ExchangeDown(exchange) => {
                    for softswitch in 0..self.softswitches.len() {
                        let state = &mut self.softswitches[softswitch];
                        let lost_conns: Vec<ExchangeConnId> = state
                            .exchange_conns
                            .iter()
                            .filter(|(_, to)| **to == exchange)
                            .map(|(exchange_conn, _)| *exchange_conn)
                            .collect();
                        let process = state.process;
                        for exchange_conn in lost_conns {
                            self.softswitches[softswitch].exchange_conns.remove(&exchange_conn);
                            let lost = ScheduledEvent::EngineInput(
                                softswitch,
                                process,
                                Input::ExchangeDisconnected { exchange_conn },
                            );
                            self.schedule(latency(softswitch, exchange), lost);
                        }
                    }
                }
                Output::ExchangeUp(_) => {}
                Output::KillSoftswitch(softswitch) => {
                    self.write_records(softswitch, true);
                    let state = &mut self.softswitches[softswitch];
                    (state.engine, state.process) = (None, state.process + 1);
                    state.exchange_conns.clear();
                    self.schedule(
                        Duration::ZERO,
                        ScheduledEvent::ModelInput(ModelInput::SoftswitchDown(softswitch)),
                    );
                }
                Output::StartSoftswitch(softswitch) => self.start_softswitch(softswitch),
            }
        }
    }

    /// Delivers a message of an exchange over the newest connection of the softswitch to it; without one it is lost.
    fn deliver_from_exchange(
        &mut self,
        softswitch: usize,
        exchange: usize,
        call: u64,
        message: MessageFromExchange,
    ) {
        let state = &self.softswitches[softswitch];
        let Some(exchange_conn) = state
            .exchange_conns
            .iter()
            .filter(|(_, to)| **to == exchange)
            .map(|(exchange_conn, _)| *exchange_conn)
            .max()
        else {
            return;
        };
        let call = CallUid::from_u64(call);
        let input = match message {
            MessageFromExchange::Answered => {
                Input::Answered { exchange_conn, call, description: Some(Arc::from("v=0\r\n")) }
            }
            MessageFromExchange::Ended(cause, note, wait) => {
                let outcome = match cause {
                    NORMAL_CLEARING => Outcome::Completed,
                    NO_CIRCUIT => Outcome::Congested,
                    TEMPORARY_FAILURE => Outcome::Reset,
                    TIMER_EXPIRED => Outcome::NotSent,
                    _ => Outcome::Busy,
                };
                let reason = match note {
                    "group_full" => Reason::NoCircuit,
                    "tandem_refused" => Reason::CrankBack,
                    "processor_full" => Reason::ProcessorFull(wait.as_secs_f64() * 1e3),
                    _ => Reason::Unspecified,
                };
                Input::Ended { exchange_conn, call, outcome, reason }
            }
            MessageFromExchange::GroupState(free, total) => {
                Input::GroupState { exchange_conn, report: vec![f64::from(free), f64::from(total)] }
            }
            MessageFromExchange::ProbePassed => {
                Input::ProbeResult { exchange_conn, passed: true, report: None }
            }
        };
        self.schedule(
            latency(softswitch, exchange),
            ScheduledEvent::EngineInput(softswitch, state.process, input),
        );
    }
}
