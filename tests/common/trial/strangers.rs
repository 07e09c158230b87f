//! Bad clients of one softswitch, on a thread of its own. No outcome is owed to them; the checker looks at what their
//! set-ups do at exchanges, and at what sound callers and the limits of the process suffer.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::{CallId, Journal, Node, Observation, TICK};
use crate::rng::SplitMix64;

/// The first id of the calls of strangers; those of callers count up from 1.
const FIRST_CALL: CallId = 0xbad0_0000_0000_0000;
static NEXT_CALL: AtomicU64 = AtomicU64::new(FIRST_CALL);
/// A number of an exchange that does not exist.
const NO_EXCHANGE: u64 = 60;
/// Connections of a flood.
const FLOOD_CONNS: usize = 3;
/// Requests that a flood sends on each of them in one tick.
const FLOOD_PER_TICK: usize = 25;
/// Connections of a crowd.
const CROWD: usize = 150;
/// Set-ups that a client writes before it leaves.
const SETUPS_BEFORE_LEAVING: usize = 30;
/// Time between two clients that leave.
const LEAVE_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which a client of a crowd connects again.
const CONNECT_INTERVAL: Duration = Duration::from_millis(300);

/// What bad clients do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Set-ups that are refused, under new ids, as fast as the process reads them.
    RefusedSetUps,
    /// Hang-ups of calls that nobody knows.
    UnknownHangUps,
    /// Connections that say nothing.
    Idle,
    /// Connections with half of a large line.
    HalfWritten,
    /// Health checks without reading the replies.
    NotReading,
    /// A set-up whose client leaves, and the same id again on another connection.
    IdsAgain,
    /// Many set-ups whose client leaves at once.
    Leaving,
}

/// All kinds.
pub const KINDS: [Kind; 7] = [
    Kind::RefusedSetUps,
    Kind::UnknownHangUps,
    Kind::Idle,
    Kind::HalfWritten,
    Kind::NotReading,
    Kind::IdsAgain,
    Kind::Leaving,
];

/// Whether a call is a stranger's. Exchanges answer its set-up with an error: they cannot use it.
pub fn is_strangers_call(call: CallId) -> bool {
    call >= FIRST_CALL
}

/// Running bad clients; they end when this is dropped.
pub struct Strangers {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Strangers {
    /// Starts bad clients of this kind.
    pub fn start(kind: Kind, softswitch: Node, address: SocketAddr, seed: u64, journal: &Journal) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let mut worker = Worker {
            softswitch,
            address,
            conns: Vec::new(),
            next_connect: Instant::now(),
            next_leave: Instant::now(),
            again: Vec::new(),
            random: SplitMix64(seed),
            journal: journal.clone(),
        };
        let is_stopped = stopped.clone();
        let thread = std::thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                worker.work(kind);
                std::thread::sleep(TICK);
            }
        });
        Self { stopped, thread: Some(thread) }
    }
}

impl Drop for Strangers {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Worker {
    softswitch: Node,
    address: SocketAddr,
    conns: Vec<TcpStream>,
    next_connect: Instant,
    next_leave: Instant,
    /// Set-ups that come again, with their time.
    again: Vec<(Instant, Vec<u8>)>,
    random: SplitMix64,
    journal: Journal,
}

impl Worker {
    fn work(&mut self, kind: Kind) {
        match kind {
            Kind::RefusedSetUps => self.flood(true, || setup_line(next_call(), NO_EXCHANGE)),
            Kind::UnknownHangUps => self.flood(true, || stop_line(next_call())),
            Kind::NotReading => self.flood(false, || check_line(next_call())),
            Kind::Idle => self.keep_crowd(&[]),
            Kind::HalfWritten => self.keep_crowd(&half_of_a_line()),
            Kind::IdsAgain => {
                self.send_again();
                self.leave(1, true);
            }
            Kind::Leaving => self.leave(SETUPS_BEFORE_LEAVING, false),
        }
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.address).ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    /// Drops the connections that were closed; reads what has arrived on the others.
    fn read_all(&mut self) {
        let mut buffer = [0; 16 * 1024];
        self.conns.retain_mut(|stream| {
            loop {
                match stream.read(&mut buffer) {
                    Ok(0) => return false,
                    Ok(_) => {}
                    Err(error) => return error.kind() == ErrorKind::WouldBlock,
                }
            }
        });
    }

    fn flood(&mut self, reads: bool, line: impl Fn() -> Vec<u8>) {
        if reads {
            self.read_all();
        }
        while self.conns.len() < FLOOD_CONNS {
            let Some(stream) = self.connect() else { break };
            let _ = stream.set_nonblocking(true);
            self.conns.push(stream);
        }
        self.conns.retain_mut(|stream| {
            let lines: Vec<u8> = (0..FLOOD_PER_TICK).flat_map(|_| line()).collect();
            match stream.write(&lines) {
                // The rest of a line that was cut off would spoil the next one.
                Ok(length) => length == lines.len(),
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            }
        });
    }

    fn keep_crowd(&mut self, text: &[u8]) {
        if self.next_connect > Instant::now() {
            return;
        }
        self.next_connect = Instant::now() + CONNECT_INTERVAL;
        self.read_all();
        while self.conns.len() < CROWD {
            let Some(mut stream) = self.connect() else { return };
            let _ = stream.write_all(text);
            let _ = stream.set_nonblocking(true);
            self.conns.push(stream);
        }
    }

    /// A client writes set-ups that exchange 1 could serve, and leaves.
    fn leave(&mut self, setups: usize, comes_again: bool) {
        if self.next_leave > Instant::now() {
            return;
        }
        self.next_leave = Instant::now() + LEAVE_INTERVAL;
        let Some(mut stream) = self.connect() else { return };
        let calls: Vec<CallId> = (0..setups).map(|_| next_call()).collect();
        let lines: Vec<u8> = calls.iter().flat_map(|call| setup_line(*call, 1)).collect();
        if stream.write_all(&lines).is_err() {
            return;
        }
        if comes_again {
            std::thread::sleep(Duration::from_millis(self.random.below(30)));
        }
        drop(stream);
        for call in calls {
            let softswitch = self.softswitch;
            self.journal.note(Observation::StrangerLeft { softswitch, call, comes_again });
        }
        if comes_again {
            let at = Instant::now() + Duration::from_millis(self.random.below(1_000));
            self.again.push((at, lines));
        }
    }

    /// Sends the set-ups that are due again, and waits until their connection is closed or has an answer.
    fn send_again(&mut self) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.again).into_iter().partition(|(at, _)| *at <= now);
        self.again = later;
        for (_, lines) in due {
            let Some(mut stream) = self.connect() else { continue };
            let _ = stream.write_all(&lines);
            let _ = stream.set_nonblocking(true);
            self.conns.push(stream);
        }
        self.read_all();
    }
}

fn next_call() -> CallId {
    NEXT_CALL.fetch_add(1, Ordering::Relaxed)
}

fn setup_line(call: CallId, dest: u64) -> Vec<u8> {
    format!(
        "{{\"kind\":\"launch\",\"uid\":\"{call:016x}\",\"meta\":{{\"class\":\"status\",\"left\":\"300\",\
         \"key\":\"{call:016x}\",\"extras\":\"dest:{dest};width:1;via:-1\"}},\"body\":\"v=0\\r\\n\"}}\n"
    )
    .into_bytes()
}

fn stop_line(call: CallId) -> Vec<u8> {
    format!("{{\"kind\":\"stop\",\"uid\":\"{call:016x}\",\"meta\":{{}},\"reason\":16}}\n").into_bytes()
}

fn check_line(call: CallId) -> Vec<u8> {
    format!("{{\"kind\":\"check\",\"uid\":\"{call:016x}\",\"meta\":{{}},\"reason\":0}}\n").into_bytes()
}

fn half_of_a_line() -> Vec<u8> {
    let mut line = setup_line(next_call(), 1);
    line.truncate(line.len() - 4);
    line.extend([b'x'; 12_000]);
    line
}
