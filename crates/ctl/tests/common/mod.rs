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
    CallerHears, ExchangeHears, ExchangeSays, Input as WorldInput, Listed, Node, Output, Scenario,
    SwitchHears, World,
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
    pub world: World,
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

fn entry(listed: &Listed) -> ListEntry {
    ListEntry {
        name: listed.name.as_str().into(),
        address: address(listed.exchange),
        number: listed.exchange as u32,
        zone: (listed.exchange % 3) as u16,
        // The platform tells it in whole milliseconds.
        started_at: listed
            .born
            .map(|born| UNIX_EPOCH + EPOCH + Duration::from_millis(born.as_millis() as u64)),
        readiness: if listed.draining { Readiness::Draining } else { Readiness::Ready },
    }
}

impl Mesh {
    /// Plays a scenario to its end; the records are in this folder then.
    pub fn play(scenario: Scenario, seed: u64, clocks: &[Clock], folder: &Path) -> World {
        let _ = std::fs::remove_dir_all(folder);
        std::fs::create_dir_all(folder).expect("a folder");
        let nodes = scenario.nodes;
        let switch = |_| Switch {
            engine: None,
            start: 0,
            conns: BTreeMap::new(),
            serial: 0,
            file: None,
            flushed: Duration::ZERO,
        };
        let mut mesh = Self {
            world: World::new(scenario, seed),
            switches: (0..nodes).map(switch).collect(),
            clocks: clocks.iter().copied().chain(std::iter::repeat(Clock::default())).take(nodes).collect(),
            events: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            count: 0,
            now: Duration::ZERO,
            folder: folder.to_owned(),
            seed,
        };
        for switch in 0..nodes {
            mesh.start(switch);
        }
        while !mesh.world.is_over() {
            mesh.step();
        }
        for switch in 0..nodes {
            mesh.put(switch, Input::Drain);
            mesh.now += Duration::from_secs(11);
            mesh.put(switch, Input::Wake);
            mesh.now -= Duration::from_secs(11);
            mesh.save(switch, false);
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
                Some(Event::Switch(switch, start, input)) if self.switches[switch].start == start => {
                    self.put(switch, input);
                }
                Some(Event::Dial(switch, start, exchange_conn, to))
                    if self.switches[switch].start == start =>
                {
                    self.dialled(switch, exchange_conn, to);
                }
                Some(Event::List(switch, start)) if self.switches[switch].start == start => self.list(switch),
                _ => {}
            }
            return;
        }
        for switch in 0..self.switches.len() {
            let due = |engine: &Engine| engine.next_wake().is_some_and(|wake| wake <= at(self.now));
            if self.switches[switch].engine.as_ref().is_some_and(due) {
                self.put(switch, Input::Wake);
            }
        }
        self.tell_world(WorldInput::Wake);
    }

    fn start(&mut self, switch: usize) {
        let nodes = self.switches.len();
        let any = address(switch);
        let (serial, list) = self.world.list(self.now);
        let list: Vec<(Listed, SocketAddr)> = list.iter().map(|l| (l.clone(), address(l.exchange))).collect();
        let epoch = UNIX_EPOCH + EPOCH;
        let node = Node { switch, nodes, listen: any, operator: any, names: any, seed: self.seed, epoch };
        let config = Config::parse(&node.config(serial, &list)).expect("a configuration");
        let mut effects = Vec::new();
        let mut engine = Engine::new(&config, at(self.now), &mut effects).expect("settings that make sense");
        engine.start_recording(false, &mut effects);
        let run_us = self.shows(switch, (EPOCH + self.now).as_micros() as u64);
        let head = FileHeader::first_of_run(&format!("n{switch}"), switch as u32, run_us);
        let writer = FileWriter::create(Vec::new(), &head).expect("memory");
        let held = &mut self.switches[switch];
        (held.engine, held.start, held.serial) = (Some(engine), held.start + 1, serial);
        (held.file, held.flushed) = (Some((head, writer)), self.now);
        let start = held.start;
        self.perform(switch, effects);
        self.put(switch, Input::CallerConnected { caller_conn: LINK, front: Front::JsonLines });
        self.later(LIST, Event::List(switch, start));
        self.tell_world(WorldInput::SwitchUp(switch));
    }

    fn shows(&self, switch: usize, at_us: u64) -> u64 {
        let Clock(ahead, ppm) = self.clocks[switch];
        let gone = at_us as i64 - EPOCH.as_micros() as i64;
        at_us.saturating_add_signed(ahead + gone / 1_000 * ppm / 1_000)
    }

    /// Ends a file: in good order, or cut in the middle of its last block.
    fn save(&mut self, switch: usize, killed: bool) {
        let Some((head, mut writer)) = self.switches[switch].file.take() else { return };
        let path = self.folder.join(file_name(&head));
        let before = writer.written_bytes() as usize;
        writer.flush().expect("memory");
        let whole = writer.written_bytes() as usize;
        let bytes = writer.finish().expect("memory");
        let keep = if killed { before + (whole - before) / 2 } else { bytes.len() };
        std::fs::write(path, &bytes[..keep]).expect("a file");
    }

    fn list(&mut self, switch: usize) {
        let (serial, list) = self.world.list(self.now);
        let entries: Vec<ListEntry> = list.iter().map(entry).collect();
        if serial > self.switches[switch].serial {
            self.switches[switch].serial = serial;
            self.put(switch, Input::List(entries));
        }
        self.put(switch, Input::ListConfirmed { serial });
        let start = self.switches[switch].start;
        self.later(LIST, Event::List(switch, start));
    }

    fn dialled(&mut self, switch: usize, exchange_conn: ExchangeConnId, to: usize) {
        let back = latency(switch, to);
        let start = self.switches[switch].start;
        if !self.world.is_alive(to) {
            return self.later(
                back,
                Event::Switch(switch, start, Input::ExchangeConnectFailed { exchange_conn, refused: true }),
            );
        }
        self.switches[switch].conns.insert(exchange_conn, to);
        self.later(
            back,
            Event::Switch(switch, start, Input::ExchangeConnected { exchange_conn, carries_calls: false }),
        );
        self.tell_world(WorldInput::WayUp { switch, exchange: to });
    }

    fn put(&mut self, switch: usize, input: Input) {
        let mut effects = Vec::new();
        let now = at(self.now);
        let Some(engine) = &mut self.switches[switch].engine else { return };
        engine.handle(now, input, &mut effects);
        self.perform(switch, effects);
    }

    fn perform(&mut self, switch: usize, effects: Vec<Effect>) {
        let start = self.switches[switch].start;
        for effect in effects {
            match effect {
                Effect::ConnectExchange { exchange_conn, number, .. } => {
                    let to = number as usize;
                    self.later(latency(switch, to), Event::Dial(switch, start, exchange_conn, to));
                }
                Effect::CloseExchangeConn { exchange_conn } => {
                    self.switches[switch].conns.remove(&exchange_conn);
                }
                Effect::ToExchange { exchange_conn, call, message } => {
                    let Some(exchange) = self.switches[switch].conns.get(&exchange_conn).copied() else {
                        continue;
                    };
                    let word = match message {
                        ExchangeMessage::SetUp { .. } => ExchangeHears::SetUp,
                        ExchangeMessage::Cancel | ExchangeMessage::Release { .. } => ExchangeHears::Stop,
                        ExchangeMessage::Probe => ExchangeHears::Test,
                    };
                    let call = u64::from_str_radix(call.as_str(), 16).expect("an id");
                    let input = WorldInput::ToExchange { switch, exchange, call, word };
                    self.later(latency(switch, exchange), Event::World(input));
                }
                Effect::ToCaller { call, message, .. } => {
                    let word = match message {
                        CallerMessage::Answered { .. } => CallerHears::Answer,
                        CallerMessage::Refused { retry_after } => CallerHears::Stop(34, retry_after),
                        CallerMessage::Failed { .. } => CallerHears::Stop(41, Duration::ZERO),
                        CallerMessage::Released { cut } => {
                            CallerHears::Stop(if cut { 41 } else { 16 }, Duration::ZERO)
                        }
                        CallerMessage::HealthCheckResult { .. } => continue,
                    };
                    let call = u64::from_str_radix(call.as_str(), 16).expect("an id");
                    let input = WorldInput::ToCaller { switch, call, word };
                    self.later(latency(switch, switch), Event::World(input));
                }
                Effect::Record(Record { at_us, event }) => {
                    let at_us = self.shows(switch, at_us);
                    let now = self.now;
                    let held = &mut self.switches[switch];
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
                Output::FromCaller { switch, call, word } => {
                    let call = CallUid::from_u64(call);
                    let input = match word {
                        SwitchHears::SetUp { class, left, dest, transit_from } => {
                            let setup = SetUp {
                                class: class.to_owned(),
                                received: at(self.now) + latency(switch, switch),
                                remaining: Some(left),
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
                        SwitchHears::Stop => Input::HangUp { caller_conn: LINK, call, cause: 16 },
                    };
                    let start = self.switches[switch].start;
                    self.later(latency(switch, switch), Event::Switch(switch, start, input));
                }
                Output::FromExchange { switch, exchange, call, word } => {
                    self.say(switch, exchange, call, word)
                }
                Output::Shut(exchange) => {
                    for switch in 0..self.switches.len() {
                        let held = &mut self.switches[switch];
                        let gone: Vec<ExchangeConnId> = held
                            .conns
                            .iter()
                            .filter(|(_, to)| **to == exchange)
                            .map(|(exchange_conn, _)| *exchange_conn)
                            .collect();
                        let start = held.start;
                        for exchange_conn in gone {
                            self.switches[switch].conns.remove(&exchange_conn);
                            let lost =
                                Event::Switch(switch, start, Input::ExchangeDisconnected { exchange_conn });
                            self.later(latency(switch, exchange), lost);
                        }
                    }
                }
                Output::Open(_) => {}
                Output::Kill(switch) => {
                    self.save(switch, true);
                    let held = &mut self.switches[switch];
                    (held.engine, held.start) = (None, held.start + 1);
                    held.conns.clear();
                    self.later(Duration::ZERO, Event::World(WorldInput::SwitchDown(switch)));
                }
                Output::Start(switch) => self.start(switch),
            }
        }
    }

    fn say(&mut self, switch: usize, exchange: usize, call: u64, word: ExchangeSays) {
        let held = &self.switches[switch];
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
        let input = match word {
            ExchangeSays::Answer => {
                Input::Answered { exchange_conn, call, description: Some(Arc::from("v=0\r\n")) }
            }
            ExchangeSays::Stop(cause, note, wait) => {
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
            ExchangeSays::Group(free, total) => {
                Input::GroupState { exchange_conn, report: vec![f64::from(free), f64::from(total)] }
            }
            ExchangeSays::Tested => Input::ProbeResult { exchange_conn, passed: true, report: None },
        };
        self.later(latency(switch, exchange), Event::Switch(switch, held.start, input));
    }
}
