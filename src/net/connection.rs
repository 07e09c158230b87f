//! One TCP connection without a thread of its own: it takes from the system and gives to it what can be had at
//! once, and says what has come.
//!
//! The house asks for small-stack threads. Two of them for each connection were measured: whoever shares a
//! processor is stopped and continued many times a second, every thread is woken by each of these, and with 330
//! threads that alone took up the processor time that there is. So the sockets are non-blocking ones and one
//! thread waits for all of them; the standard library cannot do that, `mio` can.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::ops::ControlFlow;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, SystemTime};

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

use super::jsonl::{LineSplitter, SplitLine};

/// Stack of a thread that serves a socket; the deepest thing it does is to parse one bounded message.
pub const STACK: usize = 128 * 1024;
/// Bytes that may wait for a peer to read them. One that lets more pile up is cut off.
const WAITING: usize = 256 * 1024;
/// A peer that takes nothing for this long is cut off.
const STALLED: Duration = Duration::from_secs(5);
/// Reads from one connection before others have their turn.
const TURN: usize = 4;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Closed in good order.
    Closed,
    /// Reset: the way broke, or the process at the other end died.
    Reset,
    /// Something came that cannot be used, or did not end in time. Nothing more is read.
    Spoilt,
}

/// What a turn of reading has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// All that is there now.
    All,
    /// There is more.
    More,
    /// The end.
    Ended(Ending),
}

/// What a connection has waited for in vain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Late {
    /// To come up.
    Opening,
    /// For the end of a line.
    Line,
    /// For the peer to take what was sent.
    Writing,
}

/// A connection; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Until when it may take to come up; `None` once it has.
    opening: Option<SystemTime>,
    lines: LineSplitter,
    /// When the line began that has not ended yet.
    begun: Option<SystemTime>,
    patience: Duration,
    /// Nothing more is read.
    deaf: bool,
    unsent: Vec<u8>,
    sent: usize,
    /// Bytes written since the connection came up, where the messages end that are counted once they are
    /// written whole, and how many were since somebody asked.
    written: u64,
    counted: VecDeque<u64>,
    whole: u64,
    /// Since when the peer takes nothing.
    stalled: Option<SystemTime>,
}

impl Connection {
    fn new(stream: TcpStream, opening: Option<SystemTime>, patience: Duration) -> Self {
        Self {
            stream,
            opening,
            lines: LineSplitter::default(),
            begun: None,
            patience,
            deaf: false,
            unsent: Vec::new(),
            sent: 0,
            written: 0,
            counted: VecDeque::new(),
            whole: 0,
            stalled: None,
        }
    }

    /// One that was accepted. A line on it must end within this time of its first byte.
    pub fn accepted(stream: TcpStream, patience: Duration) -> Self {
        // One on which this cannot be set is gone already; the next read says so.
        let _ = stream.set_nodelay(true);
        Self::new(stream, None, patience)
    }

    /// One that is being opened, until this time at most.
    ///
    /// # Errors
    /// If the system cannot even begin.
    pub fn dial(address: SocketAddr, until: SystemTime, patience: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address)?, Some(until), patience))
    }

    /// Has the poll watch it.
    ///
    /// # Errors
    /// If the system cannot.
    pub fn watch(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(&mut self.stream, token, Interest::READABLE | Interest::WRITABLE)
    }

    /// Whether it is still being opened.
    pub fn is_opening(&self) -> bool {
        self.opening.is_some()
    }

    /// Looks whether it has come up; false if that cannot be told yet.
    ///
    /// # Errors
    /// If it never will.
    pub fn has_opened(&mut self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.opening = None;
                let _ = self.stream.set_nodelay(true);
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads what is there and hands on each line with the time at which its last byte came, until `each` says
    /// that nothing more is wanted.
    pub fn receive(&mut self, mut each: impl FnMut(SplitLine, SystemTime) -> ControlFlow<()>) -> Received {
        if self.deaf {
            return Received::All;
        }
        let mut buffer = [0; 4 * 1024];
        for _ in 0..TURN {
            let length = match self.stream.read(&mut buffer) {
                Ok(0) => return Received::Ended(Ending::Closed),
                Ok(length) => length,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Received::All,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                    return Received::Ended(Ending::Reset);
                }
                Err(_) => return Received::Ended(Ending::Closed),
            };
            let now = SystemTime::now();
            if self.lines.push(&buffer[..length], |cut| each(cut, now)).is_break() {
                // What still comes is not even read: a flood is stopped by its own full buffers.
                self.deaf = true;
                return Received::Ended(Ending::Spoilt);
            }
            if !self.lines.has_begun() {
                self.begun = None;
            } else if self.begun.is_none() || buffer[..length].contains(&b'\n') {
                self.begun = Some(now);
            }
        }
        Received::More
    }

    /// Takes a message to be sent; false if too much waits already.
    pub fn send(&mut self, message: &[u8]) -> bool {
        self.unsent.extend_from_slice(message);
        self.unsent.len() - self.sent <= WAITING
    }

    /// The message that is taken next, of this length, counts once it is written whole.
    pub fn count_next(&mut self, length: usize) {
        self.counted.push_back(self.written + (self.unsent.len() - self.sent + length) as u64);
    }

    /// How many of those that count were written whole since the last time.
    pub fn take_written(&mut self) -> u64 {
        std::mem::take(&mut self.whole)
    }

    /// Gives the system what it takes now. A connection that breaks at this is reported by its next read.
    pub fn flush(&mut self) {
        while self.sent < self.unsent.len() && self.opening.is_none() {
            match self.stream.write(&self.unsent[self.sent..]) {
                Ok(length) => {
                    self.sent += length;
                    self.written += length as u64;
                    while self.counted.front().is_some_and(|end| *end <= self.written) {
                        self.counted.pop_front();
                        self.whole += 1;
                    }
                    self.stalled = None;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.stalled.get_or_insert_with(SystemTime::now);
                    return;
                }
                Err(_) => break,
            }
        }
        (self.unsent, self.sent, self.stalled) = (Vec::new(), 0, None);
    }

    /// Whether a line has begun that has not ended.
    pub fn has_begun(&self) -> bool {
        self.lines.has_begun()
    }

    /// Whether all has been given to the system.
    pub fn is_flushed(&self) -> bool {
        self.unsent.is_empty()
    }

    /// What it has waited for in vain by now.
    pub fn late(&mut self, now: SystemTime) -> Option<Late> {
        let past = |since: Option<SystemTime>, limit: Duration| {
            since.is_some_and(|since| now.duration_since(since).is_ok_and(|passed| passed >= limit))
        };
        if self.opening.is_some_and(|until| until <= now) {
            Some(Late::Opening)
        } else if past(self.stalled, STALLED) {
            Some(Late::Writing)
        } else if !self.deaf && past(self.begun, self.patience) {
            self.deaf = true;
            Some(Late::Line)
        } else {
            None
        }
    }

    /// Ends it now.
    pub fn cut(&self) {
        // Fails only on a connection that is already gone.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Whether something was sent on it after the peer had closed it. The peer's system answers such bytes
    /// with a reset, which is the only sign of it.
    pub fn is_unread(&self) -> bool {
        matches!(self.stream.take_error(), Ok(Some(_)))
    }
}

/// Connections that their callers closed a moment ago: whether all was read shows a little later. No more than
/// this many are kept for that, since they hold descriptors that no limit counts.
pub const MAX_CLOSED_CONNECTIONS: usize = 32;

/// Closed connections, oldest first, each with its id and until when it is kept.
#[derive(Debug, Default)]
pub struct ClosedConnections(VecDeque<(SystemTime, u64, Connection)>);

impl ClosedConnections {
    /// Keeps one more; the oldest makes room, and is given back if it went unread.
    pub fn keep(&mut self, until: SystemTime, id: u64, connection: Connection) -> Option<u64> {
        let full = self.0.len() >= MAX_CLOSED_CONNECTIONS;
        let made_room = if full { self.pop() } else { None };
        self.0.push_back((until, id, connection));
        made_room
    }

    /// Ids of those that were kept long enough and went unread.
    pub fn unread(&mut self, now: SystemTime) -> Vec<u64> {
        let mut unread = Vec::new();
        while self.0.front().is_some_and(|(until, ..)| *until <= now) {
            unread.extend(self.pop());
        }
        unread
    }

    fn pop(&mut self) -> Option<u64> {
        self.0.pop_front().filter(|(.., connection)| connection.is_unread()).map(|(_, id, _)| id)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Starts a thread on a small stack.
///
/// # Errors
/// If the system has none left.
pub fn spawn_small_thread(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).stack_size(STACK).spawn(run)
}
