//! A stand-in for the callers of one softswitch, on a thread of its own.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::exchange::NEXT_CONN;
use super::line_peer::{Line, LinePeer};
use super::{CallId, CallerMessage, ConnEnd, ConnId, Journal, Node, Observation, TICK};
use crate::rng::SplitMix64;

/// Ids of the calls of all callers.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);
/// The class whose calls may run more than once.
const REPEATABLE_CLASS: &str = "status";
/// A set-up that is this old at the end of its connection cannot have crossed it.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// Time between two attempts to open a connection on which nothing is sent.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Callers close a connection with no call on it after this time.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// What callers do, and how often. Shares are in percent of the set-ups.
#[derive(Clone, Debug)]
pub struct Habits {
    /// Time between two set-ups.
    pub interval: Duration,
    /// Connections that are kept.
    pub conns: usize,
    /// Class and waiting time in ms of a set-up, drawn with equal chance.
    pub waits: Vec<(&'static str, Range<u64>)>,
    /// Exchanges that are called.
    pub dests: Vec<Node>,
    /// Set-ups on a connection that was just opened.
    pub new_conn_percent: u64,
    /// Set-ups written in two pieces, up to 20 ms apart.
    pub pieces_percent: u64,
    /// Set-ups that are given up before their time.
    pub give_up_percent: u64,
    /// Calls that their caller releases before the exchange does.
    pub hang_up_percent: u64,
    /// Refused set-ups that come again at once, however long the advice is.
    pub repeat_percent: u64,
    /// Malformed lines, on connections of their own.
    pub malformed_percent: u64,
}

/// Which set-ups callers send now.
#[derive(Debug)]
struct Control {
    habits: Mutex<Habits>,
    address: Mutex<SocketAddr>,
    sending: AtomicBool,
    new_conns: AtomicBool,
    stopped: AtomicBool,
}

/// Running callers; they end when this is dropped.
pub struct Callers {
    control: Arc<Control>,
    thread: Option<JoinHandle<()>>,
}

impl Callers {
    /// Starts the callers of a softswitch.
    pub fn start(
        softswitch: Node,
        address: SocketAddr,
        habits: Habits,
        seed: u64,
        journal: &Journal,
    ) -> Self {
        let control = Arc::new(Control {
            habits: Mutex::new(habits),
            address: Mutex::new(address),
            sending: AtomicBool::new(true),
            new_conns: AtomicBool::new(true),
            stopped: AtomicBool::new(false),
        });
        let mut worker = Worker {
            softswitch,
            control: control.clone(),
            conns: HashMap::new(),
            calls: HashMap::new(),
            repeats: 0,
            next_setup: Instant::now(),
            next_connect: Instant::now(),
            random: SplitMix64(seed),
            journal: journal.clone(),
        };
        let thread = std::thread::spawn(move || {
            while !worker.control.stopped.load(Ordering::Relaxed) {
                worker.work();
                std::thread::sleep(TICK);
            }
        });
        Self { control, thread: Some(thread) }
    }

    /// Sends set-ups, or none.
    pub fn set_sending(&self, sending: bool) {
        self.control.sending.store(sending, Ordering::Relaxed);
    }

    /// Opens new connections, or uses the open ones only.
    pub fn set_new_conns(&self, new_conns: bool) {
        self.control.new_conns.store(new_conns, Ordering::Relaxed);
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.control.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

#[derive(Debug)]
struct Call {
    conn: ConnId,
    sent_at: Instant,
    give_up_at: Option<Instant>,
    hang_up_after: Option<Duration>,
    /// When it was answered.
    stands_since: Option<Instant>,
    was_sent_again: bool,
}

#[derive(Debug)]
struct Conn {
    peer: LinePeer,
    last_used: Instant,
    /// The rest of a set-up that is written in pieces, when it is written, and its call.
    rest: Option<(Instant, SetUp)>,
}

struct Worker {
    softswitch: Node,
    control: Arc<Control>,
    conns: HashMap<ConnId, Conn>,
    calls: HashMap<CallId, Call>,
    /// Refused set-ups that are to come again at once.
    repeats: u32,
    next_setup: Instant,
    next_connect: Instant,
    random: SplitMix64,
    journal: Journal,
}

impl Worker {
    fn work(&mut self) {
        let habits = self.control.habits.lock().expect("habits").clone();
        for conn in self.conns.keys().copied().collect::<Vec<_>>() {
            self.read(conn, &habits);
        }
        self.write_rests();
        self.give_up_and_hang_up();
        self.close_idle();
        self.keep_conn_for_releases();
        let now = Instant::now();
        if !self.control.sending.load(Ordering::Relaxed) {
            self.repeats = 0;
            return;
        }
        while self.next_setup <= now || self.repeats > 0 {
            if self.next_setup <= now {
                self.next_setup = (self.next_setup + habits.interval).max(now - habits.interval);
            } else {
                self.repeats -= 1;
            }
            self.place_call(&habits);
        }
    }

    fn percent(&mut self, share: u64) -> bool {
        self.random.below(100) < share
    }

    fn place_call(&mut self, habits: &Habits) {
        let may_open = self.control.new_conns.load(Ordering::Relaxed);
        if may_open && self.percent(habits.malformed_percent) {
            return self.send_malformed();
        }
        let (class, wait) = habits.waits[self.random.below(habits.waits.len() as u64) as usize].clone();
        let left = wait.start + self.random.below((wait.end - wait.start).max(1));
        let dest = habits.dests[self.random.below(habits.dests.len() as u64) as usize];
        let open: Vec<ConnId> =
            self.conns.iter().filter(|(_, conn)| conn.rest.is_none()).map(|(id, _)| *id).collect();
        let wants_new = may_open && (open.len() < habits.conns || self.percent(habits.new_conn_percent));
        let conn = if wants_new { self.connect() } else { None };
        let Some(conn) = conn.or_else(|| {
            let index = self.random.below(open.len().max(1) as u64) as usize;
            open.get(index).copied()
        }) else {
            return;
        };
        let line = setup_line(NEXT_CALL.fetch_add(1, Ordering::Relaxed), class, dest, left);
        self.send_setup(conn, line, habits, false);
    }

    fn connect(&mut self) -> Option<ConnId> {
        let address = *self.control.address.lock().expect("address");
        let stream = TcpStream::connect(address).ok()?;
        let conn = NEXT_CONN.fetch_add(1, Ordering::Relaxed);
        let peer = LinePeer::new(stream);
        self.conns.insert(conn, Conn { peer, last_used: Instant::now(), rest: None });
        self.journal.note(Observation::CallerConnOpened { softswitch: self.softswitch, conn });
        Some(conn)
    }

    fn send_setup(&mut self, conn: ConnId, setup: SetUp, habits: &Habits, was_sent_again: bool) {
        let give_up_at = self.percent(habits.give_up_percent).then(|| {
            Instant::now() + Duration::from_millis(1 + self.random.below(setup.left.as_millis() as u64))
        });
        let hang_up_after =
            self.percent(habits.hang_up_percent).then(|| Duration::from_millis(self.random.below(800)));
        let in_pieces = self.percent(habits.pieces_percent);
        let pause = Duration::from_millis(1 + self.random.below(20));
        let cut = 1 + self.random.below(setup.line.len() as u64 - 1) as usize;
        let now = Instant::now();
        let call = Call { conn, sent_at: now, give_up_at, hang_up_after, stands_since: None, was_sent_again };
        self.calls.insert(setup.call, call);
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        connection.last_used = now;
        if in_pieces {
            connection.peer.send(&setup.line[..cut]);
            let line = setup.line[cut..].to_vec();
            connection.rest = Some((now + pause, SetUp { line, ..setup }));
        } else {
            // Noted before it is written: an exchange may see it before this thread goes on.
            self.note_setup(conn, &setup);
            if let Some(connection) = self.conns.get_mut(&conn) {
                connection.peer.send(&setup.line);
            }
        }
    }

    fn note_setup(&mut self, conn: ConnId, setup: &SetUp) {
        let SetUp { call, left, dest, may_repeat, .. } = *setup;
        let softswitch = self.softswitch;
        self.journal.note(Observation::SetUp { softswitch, conn, call, left, dest, may_repeat });
        if let Some(call) = self.calls.get_mut(&call) {
            call.sent_at = Instant::now();
        }
    }

    fn write_rests(&mut self) {
        let now = Instant::now();
        let due: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, conn)| conn.rest.as_ref().is_some_and(|(at, ..)| *at <= now))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(conn) = self.conns.get_mut(&id) else { continue };
            let Some((_, rest)) = conn.rest.take() else { continue };
            self.note_setup(id, &rest);
            if let Some(conn) = self.conns.get_mut(&id) {
                conn.peer.send(&rest.line);
            }
        }
    }

    fn send_malformed(&mut self) {
        let Some(conn) = self.connect() else { return };
        let lines: [&[u8]; 4] = [b"\n\x00\xff\n", b"{\"kind\":\"launch\"}\n", b"{\"kind\":", b"[[[[[[[[\n"];
        let line = lines[self.random.below(lines.len() as u64) as usize];
        if let Some(mut conn) = self.conns.remove(&conn) {
            conn.peer.send(line);
        }
    }

    fn read(&mut self, conn: ConnId, habits: &Habits) {
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        connection.peer.flush();
        let (lines, open) = (connection.peer.read_lines(), connection.peer.is_open());
        for line in lines {
            self.handle(line, habits);
        }
        if !open {
            self.conn_ended(conn, habits);
        }
    }

    fn handle(&mut self, line: Result<Line, String>, habits: &Habits) {
        let softswitch = self.softswitch;
        let (call, message) = match line {
            Ok(line) => match (line.call(), line.text("kind")) {
                (Some(call), "running") => (call, CallerMessage::Answer(line.text("body").to_owned())),
                (Some(call), "stop") => (call, CallerMessage::Release(line.cause())),
                _ => (0, CallerMessage::Invalid(format!("{line:?}"))),
            },
            Err(text) => (0, CallerMessage::Invalid(text)),
        };
        match (&message, self.calls.get_mut(&call)) {
            (CallerMessage::Answer(_), Some(call)) => call.stands_since = Some(Instant::now()),
            (CallerMessage::Release(cause), Some(_)) => {
                self.calls.remove(&call);
                if matches!(cause, 34 | 42 | 102) && self.percent(habits.repeat_percent) {
                    self.repeats += 1;
                }
            }
            _ => {}
        }
        self.journal.note(Observation::ToCaller { softswitch, call, message });
    }

    fn conn_ended(&mut self, conn: ConnId, habits: &Habits) {
        let now = Instant::now();
        let Some(ended) = self.conns.remove(&conn) else { return };
        let softswitch = self.softswitch;
        self.journal.note(Observation::CallerConnEnded { softswitch, conn, end: ConnEnd::Remote });
        if let Some((_, rest)) = ended.rest {
            // The set-up was never written whole.
            self.calls.remove(&rest.call);
        }
        let open: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.conn == conn && call.stands_since.is_none())
            .map(|(id, _)| *id)
            .collect();
        let crossed: HashSet<CallId> =
            open.iter().copied().filter(|id| now - self.calls[id].sent_at <= CROSSING_TIME).collect();
        for id in &open {
            let was_sent_again = self.calls.remove(id).is_some_and(|call| call.was_sent_again);
            // A set-up that was open before the close forbade it.
            if crossed.len() == open.len() && !was_sent_again {
                self.journal.note(Observation::Crossed { call: *id });
                self.send_again(habits);
            }
        }
    }

    fn send_again(&mut self, habits: &Habits) {
        let Some(conn) = self.connect() else { return };
        let (class, wait) = habits.waits[0].clone();
        let setup = setup_line(NEXT_CALL.fetch_add(1, Ordering::Relaxed), class, habits.dests[0], wait.start);
        self.send_setup(conn, setup, habits, true);
    }

    fn give_up_and_hang_up(&mut self) {
        let now = Instant::now();
        let due = |call: &Call| match call.stands_since {
            None => call.give_up_at.is_some_and(|at| at <= now),
            Some(since) => call.hang_up_after.is_some_and(|after| since + after <= now),
        };
        let due: Vec<CallId> = self.calls.iter().filter(|(_, call)| due(call)).map(|(id, _)| *id).collect();
        for id in due {
            let call = &self.calls[&id];
            let own = self.conns.contains_key(&call.conn).then_some(call.conn);
            let stands = call.stands_since.is_some();
            // A call that stands may be released on any connection, a set-up only on its own.
            let conn = if stands { own.or_else(|| self.conns.keys().next().copied()) } else { own };
            let Some(conn) = conn.and_then(|conn| self.conns.get_mut(&conn)) else { continue };
            if conn.rest.is_some() {
                continue;
            }
            self.calls.remove(&id);
            self.journal.note(if stands {
                Observation::HungUp { call: id }
            } else {
                Observation::GivenUp { call: id }
            });
            let line = format!("{{\"kind\":\"stop\",\"uid\":\"{id:016x}\",\"meta\":{{}},\"reason\":16}}\n");
            conn.peer.send(line.as_bytes());
        }
    }

    /// Callers that wait for the end of a call that stands open a connection if they have none.
    fn keep_conn_for_releases(&mut self) {
        let may_open = self.control.new_conns.load(Ordering::Relaxed) && self.next_connect <= Instant::now();
        let waits = self.calls.values().any(|call| call.stands_since.is_some());
        if may_open && waits && self.conns.is_empty() {
            self.next_connect = Instant::now() + RECONNECT_INTERVAL;
            self.connect();
        }
    }

    fn close_idle(&mut self) {
        let used: HashSet<ConnId> = self.calls.values().map(|call| call.conn).collect();
        let idle = |id: &ConnId, conn: &Conn| !used.contains(id) && conn.last_used.elapsed() >= IDLE_TIME;
        let idle: Vec<ConnId> =
            self.conns.iter().filter(|(id, conn)| idle(id, conn)).map(|(id, _)| *id).collect();
        for conn in idle {
            self.conns.remove(&conn);
            let softswitch = self.softswitch;
            self.journal.note(Observation::CallerConnEnded { softswitch, conn, end: ConnEnd::Own });
        }
    }
}

/// A set-up, or the rest of one.
#[derive(Debug)]
struct SetUp {
    call: CallId,
    line: Vec<u8>,
    left: Duration,
    dest: Node,
    may_repeat: bool,
}

fn setup_line(call: CallId, class: &str, dest: Node, left_ms: u64) -> SetUp {
    let line = format!(
        "{{\"kind\":\"launch\",\"uid\":\"{call:016x}\",\"meta\":{{\"class\":\"{class}\",\"left\":\"{left_ms}\",\
         \"key\":\"{call:016x}\",\"extras\":\"dest:{dest};width:1;via:-1\"}},\"body\":\"v=0\\r\\n\"}}\n"
    );
    let left = Duration::from_millis(left_ms);
    SetUp { call, line: line.into_bytes(), left, dest, may_repeat: class == REPEATABLE_CLASS }
}
