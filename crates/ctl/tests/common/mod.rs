//! A whole mesh in one process and in virtual time: the emulator's world round real engines, with clocks that are off.
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
    Input as WorldInput, ListedExchange, MeshModel, MessageFromCaller, MessageFromExchange, MessageToCaller,
    MessageToExchange, Output, Scenario, SoftswitchConfig,
};
use swiftlb_record::{FileHeader, FileWriter, Record, file_name};

/// The moment at which the world begins.
pub const EPOCH: Duration = Duration::from_secs(1_800_000_000);
/// Between two looks at the list, as the resolver's client takes them.
const LIST: Duration = Duration::from_millis(100);
const LINK: u64 = 1;

/// A clock that is ahead of the time by so many microseconds and gains so many a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock(pub i64, pub i64);

enum Event {
    World(WorldInput),
    Switch(usize, u32, Input),
    Dial(usize, u32, ExchangeConnId, usize),
    List(usize, u32),
}

struct Switch {
    engine: Option<Engine>,
    /// Counts processes: what was meant for an earlier one is lost.
    start: u32,
    conns: BTreeMap<ExchangeConnId, usize>,
    serial: u32,
    file: Option<(FileHeader, FileWriter<Vec<u8>>)>,
    flushed: Duration,
}

/// The mesh.
pub struct Mesh {
    pub world: MeshModel,
    switches: Vec<Switch>,
    clocks: Vec<Clock>,
    events: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    waiting: BTreeMap<usize, Event>,
    count: u64,
    now: Duration,
    folder: PathBuf,
    seed: u64,
}

fn at(now: Duration) -> SystemTime {
    UNIX_EPOCH + EPOCH + now
}

/// One way between two nodes.
fn latency(a: usize, b: usize) -> Duration {
    if a == b { Duration::from_micros(200) } else { Duration::from_millis(9 + 4 * ((a + b) % 3) as u64) }
}

fn address(exchange: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, exchange as u8 + 1], 5070))
}

fn entry(listed: &ListedExchange) -> ListEntry {
    ListEntry {
        name: listed.name.as_str().into(),
        address: address(listed.exchange),
        number: listed.exchange as u32,
        zone: (listed.exchange % 3) as u16,
        // The platform tells it in whole milliseconds.
        started_at: listed
            .started_at
            .map(|born| UNIX_EPOCH + EPOCH + Duration::from_millis(born.as_millis() as u64)),
        readiness: if listed.draining { Readiness::Draining } else { Readiness::Ready },
    }
}

impl Mesh {
    /// Plays a scenario to its end; the records are in this folder then.
    pub fn play(scenario: Scenario, seed: u64, clocks: &[Clock], folder: &Path) -> MeshModel {
        let _ = std::fs::remove_dir_all(folder);
        std::fs::create_dir_all(folder).expect("a folder");
        let nodes = scenario.nodes;
        let softswitch = |_| Switch {
            engine: None,
            start: 0,
            conns: BTreeMap::new(),
            serial: 0,
            file: None,
            flushed: Duration::ZERO,
        };
        let mut mesh = Self {
            world: MeshModel::new(scenario, seed),
            switches: (0..nodes).map(softswitch).collect(),
            clocks: clocks.iter().copied().chain(std::iter::repeat(Clock::default())).take(nodes).collect(),
            events: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            count: 0,
            now: Duration::ZERO,
            folder: folder.to_owned(),
            seed,
        };
        for softswitch in 0..nodes {
            mesh.start(softswitch);
        }
        while !mesh.world.is_finished() {
            mesh.step();
        }
        for softswitch in 0..nodes {
            mesh.put(softswitch, Input::Drain);
            mesh.now += Duration::from_secs(11);
            mesh.put(softswitch, Input::Wake);
            mesh.now -= Duration::from_secs(11);
            mesh.save(softswitch, false);
        }
        mesh.world
    }

    fn later(&mut self, after: Duration, event: Event) {
        self.count += 1;
        let id = self.count as usize;
        self.waiting.insert(id, event);
        self.events.push(Reverse((self.now + after, self.count, id)));
    }

    fn step(&mut self) {
        let event = self.events.peek().map(|Reverse((at, ..))| *at);
        let wakes = self.switches.iter().filter_map(|s| s.engine.as_ref()?.next_wake());
        let wake = wakes.min().map(|wake| wake.duration_since(at(Duration::ZERO)).unwrap_or_default());
        let next = [event, wake, self.world.next_wake()].into_iter().flatten().min();
        self.now = self.now.max(next.unwrap_or(self.now + LIST));
        if event.is_some_and(|at| at <= self.now) {
            let Some(Reverse((_, _, id))) = self.events.pop() else { return };
            match self.waiting.remove(&id) {
                Some(Event::World(input)) => self.tell_world(input),
                Some(Event::Switch(softswitch, start, input)) if self.switches[softswitch].start == start => {
                    self.put(softswitch, input);
                }
                Some(Event::Dial(softswitch, start, exchange_conn, to))
                    if self.switches[softswitch].start == start =>
                {
                    self.dialled(softswitch, exchange_conn, to);
                }
                Some(Event::List(softswitch, start)) if self.switches[softswitch].start == start => {
                    self.list(softswitch)
                }
                _ => {}
            }
            return;
        }
        for softswitch in 0..self.switches.len() {
            let due = |engine: &Engine| engine.next_wake().is_some_and(|wake| wake <= at(self.now));
            if self.switches[softswitch].engine.as_ref().is_some_and(due) {
                self.put(softswitch, Input::Wake);
            }
        }
        self.tell_world(WorldInput::Wake);
    }

    fn start(&mut self, softswitch: usize) {
        let nodes = self.switches.len();
        let any = address(softswitch);
        let (serial, list) = self.world.list(self.now);
        let list: Vec<(ListedExchange, SocketAddr)> =
            list.iter().map(|l| (l.clone(), address(l.exchange))).collect();
        let epoch = UNIX_EPOCH + EPOCH;
        let node = SoftswitchConfig {
            number: softswitch,
            node_count: nodes,
            listen: any,
            operator: any,
            resolver: any,
            seed: self.seed,
            epoch,
        };
        let config = Config::parse(&node.to_json(serial, &list)).expect("a configuration");
        let mut effects = Vec::new();
        let mut engine = Engine::new(&config, at(self.now), &mut effects).expect("settings that make sense");
        engine.start_recording(false, &mut effects);
        let run_us = self.shows(softswitch, (EPOCH + self.now).as_micros() as u64);
        let head = FileHeader::first_of_run(&format!("n{softswitch}"), softswitch as u32, run_us);
        let writer = FileWriter::create(Vec::new(), &head).expect("memory");
        let held = &mut self.switches[softswitch];
        (held.engine, held.start, held.serial) = (Some(engine), held.start + 1, serial);
        (held.file, held.flushed) = (Some((head, writer)), self.now);
        let start = held.start;
        self.perform(softswitch, effects);
        self.put(softswitch, Input::CallerConnected { caller_conn: LINK, front: Front::JsonLines });
        self.later(LIST, Event::List(softswitch, start));
        self.tell_world(WorldInput::SoftswitchUp(softswitch));
    }

    fn shows(&self, softswitch: usize, at_us: u64) -> u64 {
        let Clock(ahead, ppm) = self.clocks[softswitch];
        let gone = at_us as i64 - EPOCH.as_micros() as i64;
        at_us.saturating_add_signed(ahead + gone / 1_000 * ppm / 1_000)
    }

    /// Ends a file: in good order, or cut in the middle of its last block.
    fn save(&mut self, softswitch: usize, killed: bool) {
        let Some((head, mut writer)) = self.switches[softswitch].file.take() else { return };
        let path = self.folder.join(file_name(&head));
        let before = writer.written_bytes() as usize;
        writer.flush().expect("memory");
        let whole = writer.written_bytes() as usize;
        let bytes = writer.finish().expect("memory");
        let keep = if killed { before + (whole - before) / 2 } else { bytes.len() };
        std::fs::write(path, &bytes[..keep]).expect("a file");
    }

    fn list(&mut self, softswitch: usize) {
        let (serial, list) = self.world.list(self.now);
        let entries: Vec<ListEntry> = list.iter().map(entry).collect();
        if serial > self.switches[softswitch].serial {
            self.switches[softswitch].serial = serial;
            self.put(softswitch, Input::List(entries));
        }
        self.put(softswitch, Input::ListConfirmed { serial });
        let start = self.switches[softswitch].start;
        self.later(LIST, Event::List(softswitch, start));
    }

    fn dialled(&mut self, softswitch: usize, exchange_conn: ExchangeConnId, to: usize) {
        let back = latency(softswitch, to);
        let start = self.switches[softswitch].start;
        if !self.world.is_exchange_running(to) {
            return self.later(
                back,
                Event::Switch(
                    softswitch,
                    start,
                    Input::ExchangeConnectFailed { exchange_conn, refused: true },
                ),
            );
        }
        self.switches[softswitch].conns.insert(exchange_conn, to);
        self.later(
            back,
            Event::Switch(
                softswitch,
                start,
                Input::ExchangeConnected { exchange_conn, carries_calls: false },
            ),
        );
        self.tell_world(WorldInput::ExchangeConnected { softswitch, exchange: to });
    }

    fn put(&mut self, softswitch: usize, input: Input) {
        let mut effects = Vec::new();
        let now = at(self.now);
        let Some(engine) = &mut self.switches[softswitch].engine else { return };
        engine.handle(now, input, &mut effects);
        self.perform(softswitch, effects);
    }

    fn perform(&mut self, softswitch: usize, effects: Vec<Effect>) {
        let start = self.switches[softswitch].start;
        for effect in effects {
            match effect {
                Effect::ConnectExchange { exchange_conn, number, .. } => {
                    let to = number as usize;
                    self.later(latency(softswitch, to), Event::Dial(softswitch, start, exchange_conn, to));
                }
                Effect::CloseExchangeConn { exchange_conn } => {
                    self.switches[softswitch].conns.remove(&exchange_conn);
                }
                Effect::ToExchange { exchange_conn, call, message } => {
                    let Some(exchange) = self.switches[softswitch].conns.get(&exchange_conn).copied() else {
                        continue;
                    };
                    let message = match message {
                        ExchangeMessage::SetUp { .. } => MessageToExchange::SetUp,
                        ExchangeMessage::Cancel | ExchangeMessage::Release { .. } => {
                            MessageToExchange::Release
                        }
                        ExchangeMessage::Probe => MessageToExchange::Probe,
                    };
                    let call = u64::from_str_radix(call.as_str(), 16).expect("an id");
                    let input = WorldInput::ToExchange { softswitch, exchange, call, message };
                    self.later(latency(softswitch, exchange), Event::World(input));
                }
                Effect::ToCaller { call, message, .. } => {
                    let message = match message {
                        CallerMessage::Answered { .. } => MessageToCaller::Answered,
                        CallerMessage::Refused { retry_after } => MessageToCaller::Ended(34, retry_after),
                        CallerMessage::Failed { .. } => MessageToCaller::Ended(41, Duration::ZERO),
                        CallerMessage::Released { cut } => {
                            MessageToCaller::Ended(if cut { 41 } else { 16 }, Duration::ZERO)
                        }
                        CallerMessage::HealthCheckResult { .. } => continue,
                    };
                    let call = u64::from_str_radix(call.as_str(), 16).expect("an id");
                    let input = WorldInput::ToCaller { softswitch, call, message };
                    self.later(latency(softswitch, softswitch), Event::World(input));
                }
                Effect::Record(Record { at_us, event }) => {
                    let at_us = self.shows(softswitch, at_us);
                    let now = self.now;
                    let held = &mut self.switches[softswitch];
                    if let Some((_, writer)) = &mut held.file {
                        if now >= held.flushed + Duration::from_millis(500) {
                            held.flushed = now;
                            writer.flush().expect("memory");
                        }
                        writer.push(&Record { at_us, event }).expect("memory");
                    }
                }
                _ => {}
            }
        }
    }

    fn tell_world(&mut self, input: WorldInput) {
        let mut out = Vec::new();
        self.world.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::FromCaller { softswitch, call, message } => {
                    let call = CallUid::from_u64(call);
                    let input = match message {
                        MessageFromCaller::SetUp { class, remaining, dest, transit_from } => {
                            let setup = SetUp {
                                class: class.to_owned(),
                                received: at(self.now) + latency(softswitch, softswitch),
                                remaining: Some(remaining),
                                called_number: Some(call.as_str().to_owned()),
                                dest: dest as u32,
                                width: Some(1.0),
                                transit_from: transit_from.map(|from| from as u32),
                                advised_route: None,
                                was_cut: false,
                                description: Some(Arc::from("v=0\r\n")),
                            };
                            Input::SetUp { caller_conn: LINK, call, setup }
                        }
                        MessageFromCaller::HangUp => Input::HangUp { caller_conn: LINK, call, cause: 16 },
                    };
                    let start = self.switches[softswitch].start;
                    self.later(latency(softswitch, softswitch), Event::Switch(softswitch, start, input));
                }
                Output::FromExchange { softswitch, exchange, call, message } => {
                    self.say(softswitch, exchange, call, message)
                }
                Output::ExchangeDown(exchange) => {
                    for softswitch in 0..self.switches.len() {
                        let held = &mut self.switches[softswitch];
                        let gone: Vec<ExchangeConnId> = held
                            .conns
                            .iter()
                            .filter(|(_, to)| **to == exchange)
                            .map(|(exchange_conn, _)| *exchange_conn)
                            .collect();
                        let start = held.start;
                        for exchange_conn in gone {
                            self.switches[softswitch].conns.remove(&exchange_conn);
                            let lost = Event::Switch(
                                softswitch,
                                start,
                                Input::ExchangeDisconnected { exchange_conn },
                            );
                            self.later(latency(softswitch, exchange), lost);
                        }
                    }
                }
                Output::ExchangeUp(_) => {}
                Output::KillSoftswitch(softswitch) => {
                    self.save(softswitch, true);
                    let held = &mut self.switches[softswitch];
                    (held.engine, held.start) = (None, held.start + 1);
                    held.conns.clear();
                    self.later(Duration::ZERO, Event::World(WorldInput::SoftswitchDown(softswitch)));
                }
                Output::StartSoftswitch(softswitch) => self.start(softswitch),
            }
        }
    }

    fn say(&mut self, softswitch: usize, exchange: usize, call: u64, message: MessageFromExchange) {
        let held = &self.switches[softswitch];
        let Some(exchange_conn) = held
            .conns
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
                    16 => Outcome::Completed,
                    34 => Outcome::Congested,
                    41 => Outcome::Reset,
                    102 => Outcome::NotSent,
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
        self.later(latency(softswitch, exchange), Event::Switch(softswitch, held.start, input));
    }
}
