//! A non-blocking TCP connection: it reads lines, and queues and writes messages.
//!
//! The platform's guidelines ask for small-stack threads, but two threads per connection cost too much: on a shared
//! processor the process is stopped and continued many times a second, every thread wakes up each time, and with 330
//! threads this alone used all of the available processor time. So one thread polls all sockets, with `mio`, because
//! the standard library cannot poll.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::ops::ControlFlow;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, SystemTime};

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

use super::jsonl::{LineSplitter, SplitLine};

/// Stack size of a thread that serves a socket. The deepest recursion on it is the parsing of one message, which is
/// bounded.
pub const THREAD_STACK_BYTES: usize = 128 * 1024;
/// Maximum number of unsent bytes; a connection with more is closed.
const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// A connection whose remote end accepts no data for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of one read.
const READ_BYTES: usize = 4 * 1024;
/// Written bytes at the front of the queue of unsent ones from which on they are removed.
const MAX_WRITTEN_BYTES_KEPT: usize = 16 * 1024;

/// How the receiving side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Closed by the remote end.
    Closed,
    /// Reset: the network path broke, or the process at the remote end died.
    Reset,
    /// A line was unreadable or too long. Nothing more is read.
    Corrupt,
}

/// Result of reading from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// All available data was read.
    WouldBlock,
    /// More data may be available.
    More,
    /// The connection has ended.
    Ended(EndReason),
}

/// Timeout of a connection that has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpiredTimeout {
    /// The connection was not established in time.
    Connect,
    /// A line did not end in time.
    Line,
    /// The remote end did not accept data in time.
    Write,
}

/// A connection; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// When the attempt to connect fails; `None` once the connection is established.
    connect_deadline: Option<SystemTime>,
    lines: LineSplitter,
    /// When the first byte of the incomplete line was received, if there is one.
    line_started: Option<SystemTime>,
    line_timeout: Duration,
    /// Nothing more is read from the socket.
    read_closed: bool,
    /// Whether the remote end has closed the connection, or its sending side. There may be unread data before the end.
    remote_closed: bool,
    /// Bytes read so far.
    read_bytes: u64,
    /// Queued messages, of which the first `unsent_start` bytes are written.
    unsent: Vec<u8>,
    unsent_start: usize,
    /// Bytes written since the connection was established.
    written_bytes: u64,
    /// Positions, as a count of written bytes, at which the counted messages end.
    counted_message_ends: VecDeque<u64>,
    /// Counted messages completely written since the last `take_written_count`.
    written_messages: u64,
    /// Since when the remote end accepts no data.
    write_blocked_since: Option<SystemTime>,
}

impl Connection {
    fn new(stream: TcpStream, connect_deadline: Option<SystemTime>, line_timeout: Duration) -> Self {
        Self {
            stream,
            connect_deadline,
            lines: LineSplitter::default(),
            line_started: None,
            line_timeout,
            read_closed: false,
            remote_closed: false,
            read_bytes: 0,
            unsent: Vec::new(),
            unsent_start: 0,
            written_bytes: 0,
            counted_message_ends: VecDeque::new(),
            written_messages: 0,
            write_blocked_since: None,
        }
    }

    /// Wraps an accepted connection. A line must end within `line_timeout` of its first byte.
    pub fn accepted(stream: TcpStream, line_timeout: Duration) -> Self {
        // Fails only on a connection that is already gone; the next read reports that.
        let _ = stream.set_nodelay(true);
        Self::new(stream, None, line_timeout)
    }

    /// Starts to connect; the attempt may last until `deadline`.
    ///
    /// # Errors
    /// If the operating system cannot start the attempt.
    pub fn connect(address: SocketAddr, deadline: SystemTime, line_timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address)?, Some(deadline), line_timeout))
    }

    /// Registers the connection with the poll.
    ///
    /// # Errors
    /// If the operating system rejects it.
    pub fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(&mut self.stream, token, Interest::READABLE | Interest::WRITABLE)
    }

    /// Whether the connection is not established yet.
    pub fn is_connecting(&self) -> bool {
        self.connect_deadline.is_some()
    }

    /// Checks whether the connection is established; false while the attempt lasts.
    ///
    /// # Errors
    /// If the attempt has failed.
    pub fn finish_connect(&mut self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.connect_deadline = None;
                let _ = self.stream.set_nodelay(true);
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads available data, at most `max_reads` times 4 KiB, and calls `each` for every line, with the time at which its last
    /// data was read. If `each` returns `Break`, the connection is treated as corrupt and nothing more is read.
    pub fn read_lines(
        &mut self,
        max_reads: usize,
        mut each: impl FnMut(SplitLine, SystemTime) -> ControlFlow<()>,
    ) -> ReadOutcome {
        if self.read_closed {
            return ReadOutcome::WouldBlock;
        }
        let mut buffer = [0; READ_BYTES];
        for _ in 0..max_reads {
            let length = match self.stream.read(&mut buffer) {
                Ok(0) => return ReadOutcome::Ended(EndReason::Closed),
                Ok(length) => length,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::WouldBlock,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                    return ReadOutcome::Ended(EndReason::Reset);
                }
                Err(_) => return ReadOutcome::Ended(EndReason::Closed),
            };
            self.read_bytes += length as u64;
            let now = SystemTime::now();
            if self.lines.push(&buffer[..length], |line| each(line, now)).is_break() {
                // Further data stays unread in the socket buffer, so TCP flow control stops a sender that floods.
                self.read_closed = true;
                return ReadOutcome::Ended(EndReason::Corrupt);
            }
            if !self.lines.has_partial_line() {
                self.line_started = None;
            } else if self.line_started.is_none() || buffer[..length].contains(&b'\n') {
                self.line_started = Some(now);
            }
        }
        ReadOutcome::More
    }

    /// Registers that the remote end has closed the connection, or its sending side.
    pub fn mark_remote_closed(&mut self) {
        self.remote_closed = true;
    }

    /// Whether the remote end is known to have closed the connection, or its sending side.
    pub fn is_remote_closed(&self) -> bool {
        self.remote_closed
    }

    /// Number of bytes read since the connection was established.
    pub fn read_bytes(&self) -> u64 {
        self.read_bytes
    }

    /// Memory that the incomplete line takes up, in bytes.
    pub fn partial_line_bytes(&self) -> usize {
        self.lines.buffered_bytes()
    }

    /// Memory that queued messages take up, in bytes.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent.capacity()
    }

    /// Queues a message; false if too many bytes are unsent.
    pub fn queue(&mut self, message: &[u8]) -> bool {
        self.unsent.extend_from_slice(message);
        self.unsent.len() - self.unsent_start <= MAX_UNSENT_BYTES
    }

    /// Marks the message that is queued next, of this length, to be counted once it is completely written.
    pub fn count_next_message(&mut self, length: usize) {
        self.counted_message_ends
            .push_back(self.written_bytes + (self.unsent.len() - self.unsent_start + length) as u64);
    }

    /// Number of counted messages that were completely written since the last call.
    pub fn take_written_count(&mut self) -> u64 {
        std::mem::take(&mut self.written_messages)
    }

    /// Writes queued bytes as far as the socket accepts them. If the connection breaks, the queued bytes are dropped and
    /// the next read reports the end. Before the connection is established, nothing may be queued: this would drop it.
    pub fn flush(&mut self) {
        while self.unsent_start < self.unsent.len() && self.connect_deadline.is_none() {
            match self.stream.write(&self.unsent[self.unsent_start..]) {
                Ok(length) => {
                    self.unsent_start += length;
                    self.written_bytes += length as u64;
                    while self.counted_message_ends.front().is_some_and(|end| *end <= self.written_bytes) {
                        self.counted_message_ends.pop_front();
                        self.written_messages += 1;
                    }
                    self.write_blocked_since = None;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.write_blocked_since.get_or_insert_with(SystemTime::now);
                    return self.remove_written_bytes();
                }
                Err(_) => break,
            }
        }
        (self.unsent, self.unsent_start, self.write_blocked_since) = (Vec::new(), 0, None);
    }

    /// Removes the bytes that are written from the front of the queue, which may never become empty.
    fn remove_written_bytes(&mut self) {
        if self.unsent_start >= MAX_WRITTEN_BYTES_KEPT {
            self.unsent.drain(..self.unsent_start);
            self.unsent_start = 0;
        }
    }

    /// Whether an incomplete line has been received.
    pub fn has_partial_line(&self) -> bool {
        self.lines.has_partial_line()
    }

    /// Whether all queued messages are written to the socket.
    pub fn is_flushed(&self) -> bool {
        self.unsent.is_empty()
    }

    /// The timeout that has expired by now, if any.
    pub fn expired_timeout(&mut self, now: SystemTime) -> Option<ExpiredTimeout> {
        let past = |since: Option<SystemTime>, limit: Duration| {
            since.is_some_and(|since| now.duration_since(since).is_ok_and(|passed| passed >= limit))
        };
        if self.connect_deadline.is_some_and(|deadline| deadline <= now) {
            Some(ExpiredTimeout::Connect)
        } else if past(self.write_blocked_since, WRITE_TIMEOUT) {
            Some(ExpiredTimeout::Write)
        } else if !self.read_closed && past(self.line_started, self.line_timeout) {
            self.read_closed = true;
            Some(ExpiredTimeout::Line)
        } else {
            None
        }
    }

    /// Shuts the connection down in both directions.
    pub fn shutdown(&self) {
        // Fails only on a connection that is already gone.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Whether the remote end closed the connection before it had read everything that was sent. Its operating system
    /// replies to unread data with a reset, which is the only sign of it.
    pub fn has_unread_data(&self) -> bool {
        matches!(self.stream.take_error(), Ok(Some(_)))
    }
}

/// Maximum number of connections kept after their callers closed them, to see whether everything was read. The
/// number is low because their file descriptors are not counted toward the limit of the process.
pub const MAX_CLOSED_CONNECTIONS: usize = 32;

/// Connections closed by the remote end, oldest first: the time until which each is kept, its id and the connection.
#[derive(Debug, Default)]
pub struct ClosedConnections(VecDeque<(SystemTime, u64, Connection)>);

impl ClosedConnections {
    /// Adds a connection. If the list is full, the oldest one is dropped; its id is returned if it has unread data.
    pub fn push(&mut self, until: SystemTime, id: u64, connection: Connection) -> Option<u64> {
        let full = self.0.len() >= MAX_CLOSED_CONNECTIONS;
        let evicted = if full { self.pop() } else { None };
        self.0.push_back((until, id, connection));
        evicted
    }

    /// Drops the connections whose time is over and returns the ids of those with unread data.
    pub fn take_unread(&mut self, now: SystemTime) -> Vec<u64> {
        let mut unread = Vec::new();
        while self.0.front().is_some_and(|(until, ..)| *until <= now) {
            unread.extend(self.pop());
        }
        unread
    }

    fn pop(&mut self) -> Option<u64> {
        self.0.pop_front().filter(|(.., connection)| connection.has_unread_data()).map(|(_, id, _)| id)
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Starts a thread with a small stack.
///
/// # Errors
/// If the operating system cannot create a thread.
pub fn spawn_small_thread(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).stack_size(THREAD_STACK_BYTES).spawn(run)
}
