//! A stand-in for an exchange, on a thread of its own.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::line_peer::{Line, LinePeer};
use super::strangers::is_strangers_call;
use super::{CallId, ConnId, Journal, Node, Observation, TICK};
use crate::rng::SplitMix64;

/// Numbers of the connections of all exchanges and callers.
pub static NEXT_CONN: AtomicU64 = AtomicU64::new(1);
/// Share of the open set-ups that have run when their connection is reset, in percent.
const RAN_BEFORE_RESET_PERCENT: u64 = 50;
/// Cause with which an exchange answers what it cannot use.
const ERROR: u32 = 47;
/// How long a release is repeated on connections that open after it was sent.
const REPEAT_RELEASES: Duration = Duration::from_secs(12);

/// Whether an exchange works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It works.
    Serving,
    /// Its connections stay open and say nothing, and nothing is read: it hangs, or it is cut off.
    Silent,
    /// Its listener is closed and its connections are reset.
    Down,
}

/// How an exchange treats set-ups.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Time from a set-up to its end, in ms.
    pub setup_ms: Range<u64>,
    /// Time for which a call stands, in ms.
    pub hold_ms: Range<u64>,
    /// Share of the set-ups that find the number busy, in percent.
    pub busy_percent: u64,
    /// Share of the answers that are followed by a second one some ms later, in percent.
    pub doubled_percent: u64,
    /// Share of the answers that are written in two pieces, in percent.
    pub pieces_percent: u64,
    /// Share of the answers that are cut short, after which the connection is closed, in percent.
    pub spoilt_percent: u64,
    pub mode: Mode,
}

impl Behaviour {
    /// Answers after this time, in ms; a call stands for `hold_ms`.
    pub fn answering(setup_ms: Range<u64>, hold_ms: Range<u64>) -> Self {
        Self {
            setup_ms,
            hold_ms,
            busy_percent: 0,
            doubled_percent: 0,
            pieces_percent: 0,
            spoilt_percent: 0,
            mode: Mode::Serving,
        }
    }
}

enum Step {
    Answer,
    AnswerAgain,
    Busy,
    Error,
    EndCall,
}

struct Worker {
    node: Node,
    /// Where each softswitch connects: its connections are told apart by that.
    addresses: Vec<SocketAddr>,
    /// Empty while the exchange is down.
    listeners: Vec<TcpListener>,
    conns: HashMap<ConnId, (Node, LinePeer)>,
    /// Open set-ups, with their connection.
    open: HashMap<CallId, ConnId>,
    /// Calls that stand, with their softswitch and the connection of their set-up.
    standing: HashMap<CallId, (Node, ConnId)>,
    steps: Vec<(Instant, CallId, ConnId, Step)>,
    /// Releases to repeat on the next connection of their softswitch.
    released: Vec<(Instant, Node, CallId)>,
    /// Connections that were opened since releases were last repeated.
    opened: Vec<ConnId>,
    random: SplitMix64,
    journal: Journal,
}

/// A running exchange; it ends when it is dropped.
pub struct Exchange {
    node: Node,
    journal: Journal,
    behaviour: Arc<Mutex<Behaviour>>,
    reset: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Exchange {
    /// Starts an exchange at these addresses, one for each softswitch.
    pub fn start(
        node: Node,
        addresses: Vec<SocketAddr>,
        behaviour: Behaviour,
        seed: u64,
        journal: &Journal,
    ) -> Self {
        let behaviour = Arc::new(Mutex::new(behaviour));
        let stopped = Arc::new(AtomicBool::new(false));
        let mut worker = Worker {
            node,
            addresses,
            listeners: Vec::new(),
            conns: HashMap::new(),
            open: HashMap::new(),
            standing: HashMap::new(),
            steps: Vec::new(),
            released: Vec::new(),
            opened: Vec::new(),
            random: SplitMix64(seed),
            journal: journal.clone(),
        };
        worker.listen();
        let (shared, stop) = (behaviour.clone(), stopped.clone());
        let reset = Arc::new(AtomicBool::new(false));
        let reset_now = reset.clone();
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let behaviour = shared.lock().expect("behaviour").clone();
                if reset_now.swap(false, Ordering::Relaxed) {
                    worker.drop_all_conns();
                }
                worker.work(&behaviour);
                std::thread::sleep(TICK);
            }
        });
        Self { node, journal: journal.clone(), behaviour, reset, stopped, thread: Some(thread) }
    }

    /// Makes it work, hang or go down.
    pub fn set_mode(&self, mode: Mode) {
        self.behaviour.lock().expect("behaviour").mode = mode;
        self.journal.note(Observation::ModeChanged { exchange: self.node, mode });
    }

    /// Ends all of its connections, also under set-ups that have begun; it goes on listening.
    pub fn reset_conns(&self) {
        self.reset.store(true, Ordering::Relaxed);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Worker {
    fn listen(&mut self) {
        for address in &self.addresses {
            let listener = TcpListener::bind(address).expect("listen");
            listener.set_nonblocking(true).expect("set the socket non-blocking");
            self.listeners.push(listener);
        }
    }

    fn work(&mut self, behaviour: &Behaviour) {
        match behaviour.mode {
            Mode::Silent => return,
            Mode::Down => return self.go_down(),
            Mode::Serving if self.listeners.is_empty() => self.listen(),
            Mode::Serving => {}
        }
        self.accept();
        let conns: Vec<ConnId> = self.conns.keys().copied().collect();
        for conn in conns {
            self.read(conn, behaviour);
        }
        self.repeat_releases();
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.steps).into_iter().partition(|(at, ..)| *at <= now);
        self.steps = later;
        for (_, call, conn, step) in due {
            self.take_step(call, conn, &step, behaviour);
        }
    }

    fn go_down(&mut self) {
        self.listeners.clear();
        self.drop_all_conns();
        // A processor that restarts has cut all of its calls.
        for (call, (softswitch, _)) in std::mem::take(&mut self.standing) {
            self.released.push((Instant::now(), softswitch, call));
            self.journal.note(Observation::Ended { exchange: self.node, call, cause: 41 });
        }
    }

    /// Ends all connections. Some of the set-ups that are open on them have run.
    fn drop_all_conns(&mut self) {
        let mut open: Vec<CallId> = self.open.keys().copied().collect();
        open.sort_unstable();
        for call in open {
            if self.random.below(100) < RAN_BEFORE_RESET_PERCENT {
                self.journal.note(Observation::Ran { exchange: self.node, call });
            }
        }
        for conn in self.conns.keys().copied().collect::<Vec<_>>() {
            self.drop_conn(conn);
        }
    }

    fn accept(&mut self) {
        for softswitch in 0..self.listeners.len() {
            while let Ok((stream, _)) = self.listeners[softswitch].accept() {
                self.add_conn(softswitch, LinePeer::new(stream));
            }
        }
    }

    fn add_conn(&mut self, softswitch: Node, mut peer: LinePeer) {
        peer.send(USAGE);
        let conn = NEXT_CONN.fetch_add(1, Ordering::Relaxed);
        self.conns.insert(conn, (softswitch, peer));
        self.opened.push(conn);
    }

    /// Repeats, on the connections that were just opened and still are, the releases that were sent to their softswitch.
    fn repeat_releases(&mut self) {
        self.released.retain(|(at, ..)| at.elapsed() < REPEAT_RELEASES);
        for conn in std::mem::take(&mut self.opened) {
            let Some(softswitch) = self.conns.get(&conn).map(|(softswitch, _)| *softswitch) else { continue };
            let (repeated, others): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.released).into_iter().partition(|(_, node, _)| *node == softswitch);
            self.released = others;
            for (_, _, call) in repeated {
                self.send(conn, &release_line(call, 16));
                self.journal.note(Observation::Ended { exchange: self.node, call, cause: 16 });
            }
        }
    }

    fn drop_conn(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
        self.open.retain(|_, c| *c != conn);
        self.journal.note(Observation::ExchangeConnEnded { exchange: self.node, conn });
    }

    fn read(&mut self, conn: ConnId, behaviour: &Behaviour) {
        let Some((_, peer)) = self.conns.get_mut(&conn) else { return };
        peer.flush();
        let (lines, open) = (peer.read_lines(), peer.is_open());
        for line in lines.into_iter().flatten() {
            self.handle(conn, &line, behaviour);
        }
        if !open {
            self.drop_conn(conn);
        }
    }

    fn handle(&mut self, conn: ConnId, line: &Line, behaviour: &Behaviour) {
        let Some(call) = line.call() else { return };
        match line.text("kind") {
            "launch" => {
                let left = Duration::from_millis(line.text("meta.left").parse().unwrap_or_default());
                self.journal.note(Observation::Attempt { exchange: self.node, conn, call, left });
                self.open.insert(call, conn);
                let delay = self.draw(&behaviour.setup_ms);
                let busy = self.random.below(100) < behaviour.busy_percent;
                let step = if is_strangers_call(call) {
                    Step::Error
                } else if busy {
                    Step::Busy
                } else {
                    Step::Answer
                };
                self.after(delay, call, conn, step);
                self.send(conn, USAGE);
            }
            "stop" => {
                self.journal.note(Observation::ReleasedAtExchange { exchange: self.node, call });
                self.open.remove(&call);
                self.standing.remove(&call);
            }
            "check" => {
                let line =
                    format!("{{\"kind\":\"checked\",\"uid\":\"{call:016x}\",\"meta\":{{}},\"reason\":1}}\n");
                self.send(conn, line.as_bytes());
            }
            _ => {}
        }
    }

    fn draw(&mut self, range: &Range<u64>) -> Duration {
        Duration::from_millis(range.start + self.random.below((range.end - range.start).max(1)))
    }

    fn after(&mut self, delay: Duration, call: CallId, conn: ConnId, step: Step) {
        self.steps.push((Instant::now() + delay, call, conn, step));
    }

    fn take_step(&mut self, call: CallId, conn: ConnId, step: &Step, behaviour: &Behaviour) {
        let is_open = self.open.get(&call) == Some(&conn);
        match step {
            Step::Busy if is_open => {
                self.open.remove(&call);
                self.journal.note(Observation::Ended { exchange: self.node, call, cause: 17 });
                self.send(conn, &busy_line(call));
            }
            Step::Error if is_open => {
                self.open.remove(&call);
                self.journal.note(Observation::Ended { exchange: self.node, call, cause: ERROR });
                self.send(conn, &release_line(call, ERROR));
            }
            Step::Answer if is_open => self.answer(call, conn, behaviour),
            Step::AnswerAgain if self.standing.contains_key(&call) => {
                self.send(conn, &answer_line(call, &description(self.node, call)));
            }
            Step::EndCall => {
                if let Some((softswitch, conn)) = self.standing.remove(&call) {
                    self.end_call(call, softswitch, conn);
                }
            }
            _ => {}
        }
    }

    fn answer(&mut self, call: CallId, conn: ConnId, behaviour: &Behaviour) {
        let description = description(self.node, call);
        let line = answer_line(call, &description);
        self.open.remove(&call);
        if self.random.below(100) < behaviour.spoilt_percent {
            self.send(conn, &line[..line.len() / 2]);
            self.journal.note(Observation::Ended { exchange: self.node, call, cause: 41 });
            return self.drop_conn(conn);
        }
        self.journal.note(Observation::Answered { exchange: self.node, call, description });
        if self.random.below(100) < behaviour.pieces_percent {
            // Small enough to be one piece each on the wire; the rest follows within a tick.
            self.send(conn, &line[..line.len() / 3]);
            std::thread::sleep(TICK);
            self.send(conn, &line[line.len() / 3..]);
        } else {
            self.send(conn, &line);
        }
        let softswitch = self.conns.get(&conn).map_or(0, |(softswitch, _)| *softswitch);
        self.standing.insert(call, (softswitch, conn));
        if self.random.below(100) < behaviour.doubled_percent {
            self.after(Duration::from_millis(3), call, conn, Step::AnswerAgain);
        }
        let hold = self.draw(&behaviour.hold_ms);
        self.after(hold, call, conn, Step::EndCall);
    }

    /// Ends a call that stands: on the connection of its set-up, otherwise on any of its softswitch, and on the next one
    /// that it opens.
    fn end_call(&mut self, call: CallId, softswitch: Node, conn: ConnId) {
        self.released.push((Instant::now(), softswitch, call));
        let any = || self.conns.iter().find(|(_, (node, _))| *node == softswitch).map(|(id, _)| *id);
        let conn = if self.conns.contains_key(&conn) { Some(conn) } else { any() };
        if let Some(conn) = conn {
            self.send(conn, &release_line(call, 16));
            self.journal.note(Observation::Ended { exchange: self.node, call, cause: 16 });
        }
    }

    fn send(&mut self, conn: ConnId, line: &[u8]) {
        if let Some((_, peer)) = self.conns.get_mut(&conn) {
            peer.send(line);
        }
    }
}

const USAGE: &[u8] =
    b"{\"kind\":\"usage\",\"uid\":\"00000000000000ee\",\"meta\":{\"load\":\"spare:900;total:1000\"}}\n";

fn description(node: Node, call: CallId) -> String {
    format!("made by {node} for {call:016x}")
}

fn answer_line(call: CallId, description: &str) -> Vec<u8> {
    format!("{{\"kind\":\"running\",\"uid\":\"{call:016x}\",\"meta\":{{}},\"body\":\"{description}\"}}\n")
        .into_bytes()
}

fn release_line(call: CallId, cause: u32) -> Vec<u8> {
    format!("{{\"kind\":\"stop\",\"uid\":\"{call:016x}\",\"meta\":{{}},\"reason\":{cause}}}\n").into_bytes()
}

fn busy_line(call: CallId) -> Vec<u8> {
    let meta = "{\"note\":\"user_busy\"}";
    format!("{{\"kind\":\"stop\",\"uid\":\"{call:016x}\",\"meta\":{meta},\"reason\":17}}\n").into_bytes()
}
