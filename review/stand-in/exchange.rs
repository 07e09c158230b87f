//! An exchange that speaks JSON lines, as the protocol page describes it. It is a process of its own, prints what happens
//! to its calls, and ends when its standard input ends.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::platform::{field, unix_ms};

struct Conn {
    stream: TcpStream,
    buffer: Vec<u8>,
}

struct Exchange {
    name: String,
    address: String,
    setup: Duration,
    /// How long calls stand, in the order of their answers; then from the first one again.
    holds: Vec<Duration>,
    answered: usize,
    /// Connections that it accepts at most; 0 for no limit. At the limit it does not listen, so further ones are refused.
    limit: usize,
    listener: Option<TcpListener>,
    conns: HashMap<u64, Conn>,
    last_conn: u64,
    /// Open set-ups: connection and time of the answer.
    open: HashMap<String, (u64, Instant)>,
    /// Calls that stand: connection of the set-up and time of the end.
    standing: HashMap<String, (u64, Instant)>,
    /// Releases to be sent also on the next connection that is opened.
    repeat: Vec<String>,
}

const CIRCUITS: usize = 200;

fn say(name: &str, text: &str) {
    println!("{} {name} {text}", unix_ms());
}

impl Exchange {
    fn send(&mut self, conn: u64, line: &str) {
        if let Some(conn) = self.conns.get_mut(&conn) {
            let _ = conn.stream.write_all(format!("{line}\n").as_bytes());
        }
    }

    /// The state of the group, on every open connection.
    fn report(&mut self, only: Option<u64>) {
        let spare = CIRCUITS.saturating_sub(self.open.len() + self.standing.len());
        let line = format!(
            r#"{{"kind":"usage","uid":"0000000000000000","meta":{{"load":"spare:{spare};total:{CIRCUITS}"}}}}"#
        );
        let conns: Vec<u64> =
            self.conns.keys().copied().filter(|id| only.is_none_or(|only| only == *id)).collect();
        conns.into_iter().for_each(|conn| self.send(conn, &line));
    }

    fn accept(&mut self) {
        let full = |exchange: &Self| exchange.limit > 0 && exchange.conns.len() >= exchange.limit;
        if self.listener.is_none() && !full(self) {
            self.listener = TcpListener::bind(&self.address).ok();
            if let Some(listener) = &self.listener {
                listener.set_nonblocking(true).expect("non-blocking listener");
            }
        }
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(TcpListener::accept) {
            stream.set_nonblocking(true).expect("non-blocking connection");
            let _ = stream.set_nodelay(true);
            self.last_conn += 1;
            let id = self.last_conn;
            self.conns.insert(id, Conn { stream, buffer: Vec::new() });
            say(&self.name, &format!("connection {id} opened, {} are open", self.conns.len()));
            self.report(Some(id));
            for uid in std::mem::take(&mut self.repeat) {
                self.send(id, &release(&uid));
            }
            if full(self) {
                self.listener = None;
            }
        }
    }

    fn read(&mut self) {
        let ids: Vec<u64> = self.conns.keys().copied().collect();
        for id in ids {
            let mut ended = false;
            let mut bytes = [0; 4096];
            while let Some(conn) = self.conns.get_mut(&id) {
                match conn.stream.read(&mut bytes) {
                    Ok(0) => ended = true,
                    Ok(length) => {
                        conn.buffer.extend(&bytes[..length]);
                        continue;
                    }
                    Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => ended = true,
                }
                break;
            }
            while let Some(conn) = self.conns.get_mut(&id) {
                let Some(end) = conn.buffer.iter().position(|byte| *byte == b'\n') else { break };
                let line: Vec<u8> = conn.buffer.drain(..=end).collect();
                self.handle(id, &String::from_utf8_lossy(&line));
            }
            if ended {
                self.conns.remove(&id);
                say(&self.name, &format!("connection {id} ended"));
                let given_up: Vec<String> = self
                    .open
                    .iter()
                    .filter(|(_, (conn, _))| *conn == id)
                    .map(|(uid, _)| uid.clone())
                    .collect();
                for uid in given_up {
                    self.open.remove(&uid);
                    say(&self.name, &format!("given-up {uid} with its connection"));
                    self.report(None);
                }
            }
        }
    }

    fn handle(&mut self, conn: u64, line: &str) {
        let uid = field(line, "uid").unwrap_or_default();
        match field(line, "kind").unwrap_or_default().as_str() {
            "launch" => {
                say(&self.name, &format!("set-up {uid} on connection {conn}"));
                self.open.insert(uid, (conn, Instant::now() + self.setup));
                self.report(None);
            }
            "stop" => {
                if self.open.remove(&uid).is_some() {
                    say(&self.name, &format!("given-up {uid}"));
                    self.report(None);
                } else if self.standing.remove(&uid).is_some() {
                    say(&self.name, &format!("released-by-softswitch {uid}"));
                    self.send(conn, &format!(r#"{{"kind":"stopped","uid":"{uid}","meta":{{}}}}"#));
                    self.report(None);
                } else {
                    say(&self.name, &format!("release of a call that does not stand: {uid}"));
                }
            }
            "check" => {
                self.send(conn, &format!(r#"{{"kind":"checked","uid":"{uid}","meta":{{}},"reason":1}}"#))
            }
            _ => {}
        }
    }

    fn timers(&mut self) {
        let now = Instant::now();
        let due: Vec<(String, u64)> = self
            .open
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(uid, (conn, _))| (uid.clone(), *conn))
            .collect();
        for (uid, conn) in due {
            self.open.remove(&uid);
            let hold = self.holds[self.answered % self.holds.len()];
            self.answered += 1;
            self.standing.insert(uid.clone(), (conn, now + hold));
            self.send(
                conn,
                &format!(r#"{{"kind":"running","uid":"{uid}","meta":{{}},"body":"answer {uid}"}}"#),
            );
            say(&self.name, &format!("answered {uid}"));
        }
        let due: Vec<(String, u64)> = self
            .standing
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(uid, (conn, _))| (uid.clone(), *conn))
            .collect();
        for (uid, conn) in due {
            self.standing.remove(&uid);
            let newest = self.conns.keys().copied().max().unwrap_or_default();
            let conn = if self.conns.contains_key(&conn) { conn } else { newest };
            self.send(conn, &release(&uid));
            self.repeat.push(uid.clone());
            say(&self.name, &format!("ended {uid}"));
            self.report(None);
        }
    }
}

fn release(uid: &str) -> String {
    format!(r#"{{"kind":"stop","uid":"{uid}","meta":{{}},"reason":16}}"#)
}

/// `NAME ADDRESS SETUP_MS HOLD_MS[,HOLD_MS ...] LIMIT`
pub fn run(args: &[&str]) {
    let [name, address, setup, hold, limit] = args else { panic!("NAME ADDRESS SETUP_MS HOLD_MS LIMIT") };
    let ms = |text: &str| Duration::from_millis(text.parse().expect("a number of ms"));
    let mut exchange = Exchange {
        name: name.to_string(),
        address: address.to_string(),
        setup: ms(setup),
        holds: hold.split(',').map(ms).collect(),
        answered: 0,
        limit: limit.parse().expect("a limit"),
        listener: None,
        conns: HashMap::new(),
        last_conn: 0,
        open: HashMap::new(),
        standing: HashMap::new(),
        repeat: Vec::new(),
    };
    end_with_parent();
    loop {
        exchange.accept();
        exchange.read();
        exchange.timers();
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Ends this process when its standard input ends, so that it does not outlive the case.
pub fn end_with_parent() {
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
}
