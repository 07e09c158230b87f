//! A stand-in for an exchange, with the messages of the protocol page and nothing else.
//!
//! It reports the state of its group first on each new connection and whenever that changes. It answers each set-up after
//! `answer_after`; the call ends `hold` later. It sends the release of an ended call on the connection of the set-up,
//! otherwise on any open one, and also on the next connection that is opened. A set-up whose connection closes before the
//! answer is given up. `die` is the end of its process: connections are reset, and the calls are cut.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::json::Message;
use crate::record::Record;

/// How an exchange treats its calls.
#[derive(Clone, Copy)]
pub struct Habits {
    pub answer_after: Duration,
    pub hold: Duration,
}

#[derive(Default)]
struct State {
    last_connection: u64,
    connections: BTreeMap<u64, TcpStream>,
    /// Set-ups without an answer, and the connection of each.
    open: BTreeMap<String, u64>,
    /// Calls that stand, and the connection of the set-up.
    standing: BTreeMap<String, u64>,
    /// Releases that are sent on the next connection as well.
    repeat: Vec<String>,
    /// Set-ups that arrived: the time, the call, and the description.
    launches: Vec<(f64, String, String)>,
    /// Calls that were answered, ended here, or were released by the softswitch, with the time.
    answered: BTreeMap<String, f64>,
    ended: BTreeMap<String, f64>,
    released: BTreeMap<String, f64>,
    /// How long the calls last that are set up from now on.
    hold: Duration,
    is_dead: bool,
}

#[derive(Clone)]
pub struct Exchange {
    name: String,
    pub address: SocketAddr,
    habits: Habits,
    record: Record,
    state: Arc<Mutex<State>>,
}

const CIRCUITS: usize = 200;

impl Exchange {
    pub fn start(name: &str, habits: Habits, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { hold: habits.hold, ..State::default() }));
        let this = Self { name: name.to_owned(), address, habits, record: record.clone(), state };
        let acceptor = this.clone();
        thread::spawn(move || acceptor.accept(listener));
        Ok(this)
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let mut state = self.state.lock().unwrap();
            if state.is_dead {
                return;
            }
            let _ = stream.set_nodelay(true);
            let Ok(reader) = stream.try_clone() else { continue };
            state.last_connection += 1;
            let connection = state.last_connection;
            state.connections.insert(connection, stream);
            self.record.note(&self.name, &format!("connection {connection} opens"));
            let usage = usage(&state);
            self.send(&mut state, connection, &usage);
            for call in std::mem::take(&mut state.repeat) {
                self.send(&mut state, connection, &stop(&call, 16));
            }
            let this = self.clone();
            thread::spawn(move || this.read(connection, reader));
        }
    }

    fn send(&self, state: &mut State, connection: u64, line: &str) -> bool {
        let Some(mut stream) = state.connections.get(&connection) else { return false };
        if !line.contains("\"usage\"") {
            self.record.note(&self.name, &format!("sends on {connection}: {line}"));
        }
        stream.write_all(format!("{line}\n").as_bytes()).is_ok()
    }

    fn report_group(&self, state: &mut State) {
        let usage = usage(state);
        for connection in state.connections.keys().copied().collect::<Vec<_>>() {
            self.send(state, connection, &usage);
        }
    }

    fn read(&self, connection: u64, stream: TcpStream) {
        let mut lines = BufReader::new(stream);
        let mut line = String::new();
        while lines.read_line(&mut line).is_ok_and(|length| length > 0) {
            if let Some(message) = Message::parse(&line) {
                self.handle(connection, message);
            }
            line.clear();
        }
        let mut state = self.state.lock().unwrap();
        state.connections.remove(&connection);
        let given_up: Vec<String> =
            state.open.iter().filter(|(_, on)| **on == connection).map(|(call, _)| call.clone()).collect();
        for call in given_up {
            self.record
                .note(&self.name, &format!("connection {connection} is closed: set-up {call} is given up"));
            state.open.remove(&call);
        }
    }

    fn handle(&self, connection: u64, message: Message) {
        let mut state = self.state.lock().unwrap();
        if state.is_dead {
            return;
        }
        self.record.note(&self.name, &format!("receives on {connection}: {}", message.short()));
        let call = message.uid.clone();
        match message.kind.as_str() {
            "launch" => {
                let body = message.body.clone().unwrap_or_default();
                state.launches.push((self.record.now(), call.clone(), body));
                state.open.insert(call.clone(), connection);
                self.report_group(&mut state);
                let (this, hold) = (self.clone(), state.hold);
                thread::spawn(move || {
                    thread::sleep(this.habits.answer_after);
                    if this.answer(connection, &call) {
                        thread::sleep(hold);
                        this.end(&call);
                    }
                });
            }
            "stop" => {
                state.open.remove(&call);
                if state.standing.remove(&call).is_some() {
                    let now = self.record.now();
                    state.released.insert(call.clone(), now);
                }
                let heard = format!(r#"{{"kind":"stopped","uid":"{call}","meta":{{}}}}"#);
                self.send(&mut state, connection, &heard);
                self.report_group(&mut state);
            }
            "check" => {
                let reply = format!(r#"{{"kind":"checked","uid":"{call}","meta":{{}},"reason":1}}"#);
                self.send(&mut state, connection, &reply);
            }
            _ => {}
        }
    }

    fn answer(&self, connection: u64, call: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.open.get(call) != Some(&connection) {
            return false;
        }
        state.open.remove(call);
        state.standing.insert(call.to_owned(), connection);
        let now = self.record.now();
        state.answered.insert(call.to_owned(), now);
        let line =
            format!(r#"{{"kind":"running","uid":"{call}","meta":{{}},"body":"{}"}}"#, self.description(call));
        self.send(&mut state, connection, &line)
    }

    /// The description that this exchange gives for a call.
    pub fn description(&self, call: &str) -> String {
        format!("{} answers {call}", self.name)
    }

    fn end(&self, call: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(connection) = state.standing.remove(call) else { return };
        let now = self.record.now();
        state.ended.insert(call.to_owned(), now);
        let others: Vec<u64> = state.connections.keys().copied().collect();
        let sent =
            std::iter::once(connection).chain(others).any(|on| self.send(&mut state, on, &stop(call, 16)));
        if !sent {
            self.record.note(&self.name, &format!("call {call} ends; no connection is open"));
        }
        state.repeat.push(call.to_owned());
        self.report_group(&mut state);
    }

    /// Ends the process of the exchange: its connections are reset, and its calls are cut. Nobody listens after that.
    pub fn die(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_dead = true;
        let now = self.record.now();
        let cut: Vec<String> = state.standing.keys().cloned().collect();
        self.record.note(&self.name, &format!("its process ends; calls cut: {cut:?}"));
        for call in cut {
            state.ended.insert(call, now);
        }
        state.standing.clear();
        state.open.clear();
        for stream in state.connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        state.connections.clear();
        drop(state);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Sets how long the calls last that are set up from now on.
    pub fn set_hold(&self, hold: Duration) {
        self.state.lock().unwrap().hold = hold;
    }

    /// Set-ups that arrived: the time, the call, and the description.
    pub fn launches(&self) -> Vec<(f64, String, String)> {
        self.state.lock().unwrap().launches.clone()
    }

    pub fn stands(&self, call: &str) -> bool {
        self.state.lock().unwrap().standing.contains_key(call)
    }

    /// When the call ended here, if it did.
    pub fn ended_at(&self, call: &str) -> Option<f64> {
        self.state.lock().unwrap().ended.get(call).copied()
    }

    /// When the softswitch released the call, if it did.
    pub fn released_at(&self, call: &str) -> Option<f64> {
        self.state.lock().unwrap().released.get(call).copied()
    }
}

fn usage(state: &State) -> String {
    let taken = state.open.len() + state.standing.len();
    let free = CIRCUITS.saturating_sub(taken);
    format!(
        r#"{{"kind":"usage","uid":"00000000000000ee","meta":{{"load":"spare:{free};total:{CIRCUITS}"}}}}"#
    )
}

fn stop(call: &str, cause: u32) -> String {
    format!(r#"{{"kind":"stop","uid":"{call}","meta":{{}},"reason":{cause}}}"#)
}
