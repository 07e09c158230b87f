//! The remote end of a connection of a softswitch: it reads and writes JSON lines without blocking.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use swiftlb::config::parse_json;
use tinyjson::JsonValue;

/// A received line: kind, call, cause, fields and description.
#[derive(Clone, Debug)]
pub struct Line(JsonValue);

impl Line {
    fn parse(text: &str) -> Option<Self> {
        parse_json(text).ok().map(Self)
    }

    fn field(&self, path: &str) -> Option<&JsonValue> {
        path.split('.').try_fold(&self.0, |value, key| {
            value.get::<std::collections::HashMap<String, JsonValue>>()?.get(key)
        })
    }

    /// The text at this path; empty if there is none.
    pub fn text(&self, path: &str) -> &str {
        self.field(path).and_then(|value| value.get::<String>()).map_or("", String::as_str)
    }

    /// The call; `None` if the id is not a number.
    pub fn call(&self) -> Option<u64> {
        u64::from_str_radix(self.text("uid"), 16).ok()
    }

    /// The cause; 0 if there is none.
    pub fn cause(&self) -> u32 {
        self.field("reason").and_then(|value| value.get::<f64>()).copied().unwrap_or_default() as u32
    }
}

/// A connection with its incomplete line.
#[derive(Debug)]
pub struct LinePeer {
    stream: TcpStream,
    unread: Vec<u8>,
    unsent: Vec<u8>,
    open: bool,
}

impl LinePeer {
    /// Takes over an open connection.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nonblocking(true).expect("set the socket non-blocking");
        let _ = stream.set_nodelay(true);
        Self { stream, unread: Vec::new(), unsent: Vec::new(), open: true }
    }

    /// Whether the remote end has neither closed nor reset the connection.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Whether everything queued is written.
    pub fn is_flushed(&self) -> bool {
        self.unsent.is_empty()
    }

    /// Queues bytes and writes as many as the socket accepts.
    pub fn send(&mut self, bytes: &[u8]) {
        self.unsent.extend_from_slice(bytes);
        self.flush();
    }

    /// Writes queued bytes as far as the socket accepts them.
    pub fn flush(&mut self) {
        while self.open && !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(length) => {
                    self.unsent.drain(..length);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.open = false,
            }
        }
    }

    /// Reads what has arrived; returns the complete lines, `Err` for one that cannot be parsed.
    pub fn read_lines(&mut self) -> Vec<Result<Line, String>> {
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.open = false,
                Ok(length) => {
                    self.unread.extend_from_slice(&buffer[..length]);
                    continue;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => self.open = false,
            }
            break;
        }
        let mut lines = Vec::new();
        while let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
            let text = String::from_utf8_lossy(&self.unread[..end]).into_owned();
            self.unread.drain(..=end);
            lines.push(Line::parse(&text).ok_or(text));
        }
        lines
    }
}
