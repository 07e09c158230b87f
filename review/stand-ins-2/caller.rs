//! A stand-in for callers: a client with connections to the softswitch, and everything that it receives on any of them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::json::Message;
use crate::record::Record;

static LAST_UID: AtomicU64 = AtomicU64::new(0);

/// A new id of a call: 16 hexadecimal digits.
pub fn new_uid() -> String {
    let count = LAST_UID.fetch_add(1, Ordering::Relaxed);
    let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    // The output function of SplitMix64, so that ids do not follow one another.
    let mixed = (start ^ count.rotate_left(40)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    format!("{:016x}", (mixed ^ (mixed >> 29)).wrapping_add(count))
}

/// The line of a set-up.
pub fn launch_line(call: &str, class: &str, dest: u32, left_ms: u32, body: &str) -> String {
    format!(
        r#"{{"kind":"launch","uid":"{call}","meta":{{"class":"{class}","left":"{left_ms}","key":"7f3a9c21e0b4d655","extras":"dest:{dest};width:1;via:-1"}},"body":"{body}"}}"#
    )
}

#[derive(Default)]
struct State {
    /// Messages about calls, by call, with the time and the connection.
    received: BTreeMap<String, Vec<(f64, u64, Message)>>,
    /// Connections that the softswitch has closed, with the time.
    closed: BTreeMap<u64, f64>,
    last_connection: u64,
}

#[derive(Clone)]
pub struct Client {
    name: String,
    softswitch: SocketAddr,
    record: Record,
    state: Arc<Mutex<State>>,
}

/// A connection of a client.
pub struct Line {
    pub number: u64,
    client: Client,
    stream: TcpStream,
}

impl Client {
    pub fn new(name: &str, softswitch: SocketAddr, record: &Record) -> Self {
        Self { name: name.to_owned(), softswitch, record: record.clone(), state: Arc::default() }
    }

    pub fn connect(&self) -> std::io::Result<Line> {
        let stream = TcpStream::connect_timeout(&self.softswitch, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let mut state = self.state.lock().unwrap();
        state.last_connection += 1;
        let number = state.last_connection;
        drop(state);
        self.record.note(&self.name, &format!("opens connection {number}"));
        let (reader, client) = (stream.try_clone()?, self.clone());
        thread::spawn(move || client.read(number, reader));
        Ok(Line { number, client: self.clone(), stream })
    }

    fn read(&self, number: u64, stream: TcpStream) {
        let mut lines = BufReader::new(stream);
        let mut line = String::new();
        while lines.read_line(&mut line).is_ok_and(|length| length > 0) {
            let Some(message) = Message::parse(&line) else {
                self.record.note(&self.name, &format!("cannot read on {number}: {line:?}"));
                break;
            };
            self.record.note(&self.name, &format!("receives on {number}: {}", line.trim_end()));
            let mut state = self.state.lock().unwrap();
            let entry = (self.record.now(), number, message.clone());
            state.received.entry(message.uid).or_default().push(entry);
            line.clear();
        }
        self.record.note(&self.name, &format!("connection {number} has ended"));
        let now = self.record.now();
        self.state.lock().unwrap().closed.insert(number, now);
    }

    /// Everything that was received about a call.
    pub fn received(&self, call: &str) -> Vec<(f64, u64, Message)> {
        self.state.lock().unwrap().received.get(call).cloned().unwrap_or_default()
    }

    /// When a connection ended, if it has.
    pub fn closed_at(&self, line: &Line) -> Option<f64> {
        self.state.lock().unwrap().closed.get(&line.number).copied()
    }

    /// Whether the call was answered.
    pub fn is_answered(&self, call: &str) -> bool {
        self.received(call).iter().any(|(_, _, message)| message.kind == "running")
    }

    /// When the client was told that the answered call is over.
    pub fn told_of_end_at(&self, call: &str) -> Option<f64> {
        let received = self.received(call);
        let answered = received.iter().position(|(_, _, message)| message.kind == "running")?;
        received[answered..].iter().find(|(_, _, message)| message.kind == "stop").map(|(at, ..)| *at)
    }

    /// Waits until something was received about a call; `None` after `limit`.
    pub fn wait(&self, call: &str, limit: Duration) -> Option<Message> {
        let end = self.record.now() + limit.as_secs_f64();
        loop {
            if let Some((_, _, message)) = self.received(call).first() {
                return Some(message.clone());
            }
            if self.record.now() >= end {
                return None;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Line {
    pub fn send(&self, line: &str) -> bool {
        self.client.record.note(&self.client.name, &format!("sends on {}: {line}", self.number));
        (&self.stream).write_all(format!("{line}\n").as_bytes()).is_ok()
    }

    /// Writes a piece of a line.
    pub fn write(&self, piece: &[u8]) -> bool {
        (&self.stream).write_all(piece).is_ok()
    }

    /// Sends a set-up and returns its call.
    pub fn launch(&self, class: &str, dest: u32, left_ms: u32) -> String {
        let call = new_uid();
        self.send(&launch_line(&call, class, dest, left_ms, &format!("offer of {call}")));
        call
    }

    /// Hangs up or gives up a call.
    pub fn stop(&self, call: &str) -> bool {
        self.send(&format!(r#"{{"kind":"stop","uid":"{call}","meta":{{}},"reason":16}}"#))
    }

    /// Asks whether the softswitch is ready; the result is the cause of its reply, `None` without one within `limit`.
    pub fn check(&self, limit: Duration) -> Option<u32> {
        let call = new_uid();
        self.send(&format!(r#"{{"kind":"check","uid":"{call}","meta":{{}},"reason":0}}"#));
        self.client.wait(&call, limit)?.cause
    }

    pub fn close(self) {
        self.client.record.note(&self.client.name, &format!("closes connection {}", self.number));
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
