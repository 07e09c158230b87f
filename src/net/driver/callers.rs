//! The caller connections of the driver: how they are accepted, read and closed.

use std::io::ErrorKind;
use std::ops::ControlFlow;
use std::time::{Duration, SystemTime};

use mio::Interest;
use mio::net::TcpStream;

use super::{CLOSE_TIMEOUT, ConnId, Driver, LISTENER};
use crate::engine::{CallerConnId, Front, Input};
use crate::net::buffer_limits::largest_beyond;
use crate::net::connection::{Connection, EndReason, ReadOutcome};
use crate::net::jsonl::{self, CallerLine, LineError, SplitLine};
use crate::net::read_queue::ReadAmount;

/// Maximum number of reads from a caller connection at one turn.
const CALLER_READS: usize = 1;
/// Maximum number of connections accepted before other events are handled.
const MAX_ACCEPTS: usize = 16;
/// Time before the next accept when the operating system has no resources for another connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time from the first byte of a line to its end, on a caller connection. Callers may be on poor links.
const CALLER_LINE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which a closed connection is kept to see whether the remote end replies to unread data with a reset: it
/// covers a round trip on a poor link, and is well within the second in which a release has to be sent.
const CLOSED_CONN_KEEP_TIME: Duration = Duration::from_millis(300);

/// How far the connections that wait in the backlog were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accepted {
    /// All of them.
    All,
    /// As many as are accepted at once.
    MoreMayWait,
    /// The operating system has no resources for another one now.
    Failed,
}

/// What a line from a caller means for the reducer.
enum LineInput {
    /// An input.
    Input(Input),
    /// Nothing.
    None,
    /// The line is unreadable, and so is the rest of the connection; the input is for a call that the line names.
    Corrupt(Option<Input>),
}

fn line_input(caller_conn: CallerConnId, line: &SplitLine, received: SystemTime) -> LineInput {
    let malformed = |call| Input::MalformedSetUp { caller_conn, call };
    let bytes = match line {
        SplitLine::Complete(bytes) => bytes,
        // The end of the line may never come, so the rest of the connection is not read.
        SplitLine::TooLong(start) => return LineInput::Corrupt(jsonl::find_call_uid(start).map(malformed)),
    };
    match jsonl::parse_caller_line(bytes, received) {
        Ok(CallerLine::SetUp(call, setup)) => LineInput::Input(Input::SetUp { caller_conn, call, setup }),
        Ok(CallerLine::Stop(call, cause)) => LineInput::Input(Input::HangUp { caller_conn, call, cause }),
        Ok(CallerLine::Check(call)) => LineInput::Input(Input::HealthCheck { caller_conn, call }),
        Ok(CallerLine::Ignored) => LineInput::None,
        Err(LineError::Malformed(call)) => LineInput::Input(malformed(call)),
        Err(LineError::Unreadable) => LineInput::Corrupt(None),
    }
}

impl Driver {
    pub(super) fn accept(&mut self) {
        if !self.accepting {
            return;
        }
        match self.accept_some() {
            Accepted::All => {}
            Accepted::MoreMayWait => self.accept_retry_at = Some(SystemTime::now()),
            Accepted::Failed => self.accept_retry_at = Some(SystemTime::now() + ACCEPT_RETRY_DELAY),
        }
    }

    /// Accepts up to `MAX_ACCEPTS` connections.
    fn accept_some(&mut self) -> Accepted {
        for _ in 0..MAX_ACCEPTS {
            let Some(listener) = &self.listener else { return Accepted::All };
            match listener.accept() {
                Ok((stream, _)) => self.add_caller_conn(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Accepted::All,
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(error) => {
                    // Most likely out of file descriptors: other connections have to close first.
                    tracing::warn!(%error, "cannot accept a connection from a caller; retrying shortly");
                    return Accepted::Failed;
                }
            }
        }
        Accepted::MoreMayWait
    }

    fn add_caller_conn(&mut self, stream: TcpStream) {
        self.last_caller_conn += 1;
        let caller_conn = self.last_caller_conn;
        let mut connection = Connection::accepted(stream, CALLER_LINE_TIMEOUT);
        if connection.register(&self.registry, ConnId::Caller(caller_conn).token()).is_ok() {
            self.caller_conns.insert(caller_conn, connection);
            self.inputs.push_back(Input::CallerConnected { caller_conn, front: Front::JsonLines });
        }
    }

    /// Reads the caller connection whose turn it is; false if none has data.
    pub(in crate::net) fn read_next_caller(&mut self) -> bool {
        let Some(caller_conn) = self.read_queue.take_next() else { return false };
        self.read_caller(caller_conn);
        true
    }

    /// Reads a caller connection once.
    fn read_caller(&mut self, caller_conn: CallerConnId) -> Option<ReadOutcome> {
        let connection = self.caller_conns.get_mut(&caller_conn)?;
        connection.flush();
        let (read_before, caller_has_left) = (connection.read_bytes(), connection.is_remote_closed());
        let inputs = &mut self.inputs;
        let mut lines = 0;
        let read = connection.read_lines(CALLER_READS, |line, received| {
            lines += 1;
            match line_input(caller_conn, &line, received) {
                // Its caller has left before it was read, and would get no answer.
                LineInput::Input(Input::SetUp { .. }) if caller_has_left => ControlFlow::Continue(()),
                LineInput::Input(input) => {
                    inputs.push_back(input);
                    ControlFlow::Continue(())
                }
                LineInput::None => ControlFlow::Continue(()),
                LineInput::Corrupt(input) => {
                    inputs.extend(input);
                    ControlFlow::Break(())
                }
            }
        });
        let amount = ReadAmount { bytes: connection.read_bytes() - read_before, lines };
        self.read_queue.charge(caller_conn, amount);
        self.handle_caller_read(caller_conn, read);
        Some(read)
    }

    fn handle_caller_read(&mut self, caller_conn: CallerConnId, read: ReadOutcome) {
        match read {
            ReadOutcome::WouldBlock => {}
            ReadOutcome::More => self.read_queue.add(caller_conn),
            // The reducer fails the open set-ups of the connection and then closes it.
            ReadOutcome::Ended(EndReason::Corrupt) => {
                self.inputs.push_back(Input::CallerStreamCorrupt { caller_conn })
            }
            ReadOutcome::Ended(reason) => {
                self.inputs.push_back(Input::CallerDisconnected { caller_conn });
                if reason == EndReason::Reset {
                    self.inputs.push_back(Input::CallerMessagesUnread { caller_conn });
                    self.remove_caller(caller_conn);
                } else if let Some(connection) = self.remove_caller(caller_conn) {
                    let unread = self.closed_connections.push(
                        SystemTime::now() + CLOSED_CONN_KEEP_TIME,
                        caller_conn,
                        connection,
                    );
                    self.inputs.extend(unread.map(|caller_conn| Input::CallerMessagesUnread { caller_conn }));
                }
            }
        }
    }

    /// Removes a caller connection; dropping it closes it.
    pub(super) fn remove_caller(&mut self, caller_conn: CallerConnId) -> Option<Connection> {
        self.read_queue.remove(caller_conn);
        self.caller_conns.remove(&caller_conn)
    }

    /// Closes the caller connections with the largest buffers, as far as all of them together are beyond their limits.
    pub(in crate::net) fn enforce_buffer_limits(&mut self) {
        let partial_lines = self.caller_conns.iter().map(|(id, conn)| (*id, conn.partial_line_bytes()));
        for (caller_conn, bytes) in largest_beyond(partial_lines, self.max_buffer_bytes) {
            tracing::warn!(
                caller_conn,
                bytes,
                "closing a connection with an incomplete line: too many of them"
            );
            self.inputs.push_back(Input::CallerStreamCorrupt { caller_conn });
        }
        let unread = self.caller_conns.iter().map(|(id, conn)| (Some(*id), conn.unsent_bytes()));
        let closing = self.closing.iter().map(|(_, conn)| (None, conn.unsent_bytes()));
        for (caller_conn, bytes) in largest_beyond(unread.chain(closing), self.max_buffer_bytes) {
            tracing::warn!(caller_conn, bytes, "closing a connection that does not read: too much is unsent");
            match caller_conn {
                Some(caller_conn) => {
                    self.remove_caller(caller_conn);
                    self.inputs.push_back(Input::CallerDisconnected { caller_conn });
                }
                None => self.closing.retain(|(_, conn)| conn.unsent_bytes() < bytes),
            }
        }
    }

    /// During the exit, closes each caller connection on which nothing has arrived that is still to be read. No set-up may
    /// be open on any.
    pub(in crate::net) fn close_callers_for_exit(&mut self) {
        if self.exit.is_none_or(|exit| SystemTime::now() < exit.close_at) {
            return;
        }
        for caller_conn in self.caller_conns.keys().copied().collect::<Vec<_>>() {
            self.close_if_idle(caller_conn);
        }
    }

    /// Closes a caller connection if all its data is read and no line is incomplete: a set-up that is still unread
    /// would be lost.
    pub(super) fn close_if_idle(&mut self, caller_conn: CallerConnId) {
        if self.has_no_unread_line(caller_conn)
            && self.caller_conns.get(&caller_conn).is_some_and(|connection| !connection.has_partial_line())
        {
            self.close_caller_conn(caller_conn);
        }
    }

    /// Closes a caller connection if no complete line is unread; an incomplete one is dropped.
    pub(super) fn close_unless_unread(&mut self, caller_conn: CallerConnId) {
        if self.has_no_unread_line(caller_conn) {
            self.close_caller_conn(caller_conn);
        }
    }

    /// Reads a caller connection; whether no set-up from it waits that the reducer has to handle first. It is read once in
    /// each iteration of the loop: a client that sends all the time would otherwise keep the loop from everything else.
    fn has_no_unread_line(&mut self, caller_conn: CallerConnId) -> bool {
        let is_from_it =
            |input: &Input| matches!(input, Input::SetUp { caller_conn: from, .. } if *from == caller_conn);
        if self.inputs.iter().any(is_from_it) {
            return false;
        }
        if !self.read_before_close.insert(caller_conn) {
            if self.caller_conns.contains_key(&caller_conn) {
                self.read_queue.add(caller_conn);
            }
            return false;
        }
        let queued = self.inputs.len();
        self.read_caller(caller_conn) != Some(ReadOutcome::More) && self.inputs.len() == queued
    }

    fn close_caller_conn(&mut self, caller_conn: CallerConnId) {
        let Some(mut connection) = self.remove_caller(caller_conn) else { return };
        connection.flush();
        // Goes before all queued inputs, so that the reducer sends nothing more on this connection.
        self.inputs.push_front(Input::CallerDisconnected { caller_conn });
        if !connection.is_flushed() {
            self.closing.push((SystemTime::now() + CLOSE_TIMEOUT, connection));
        }
    }

    /// Accepts connections from callers, or leaves them to the sibling process that listens on the same socket.
    pub(super) fn set_accepting(&mut self, accepting: bool) {
        if std::mem::replace(&mut self.accepting, accepting) == accepting {
            return;
        }
        let Some(listener) = &mut self.listener else { return };
        let result = if accepting {
            self.registry.register(listener, LISTENER, Interest::READABLE)
        } else {
            self.accept_retry_at = None;
            self.registry.deregister(listener)
        };
        if let Err(error) = result {
            tracing::error!(%error, "cannot start or stop polling the listening socket for callers");
        }
    }

    /// Accepts the connections that wait in the backlog and stops listening.
    pub(super) fn stop_listening(&mut self) {
        if self.accepting {
            while self.accept_some() == Accepted::MoreMayWait {}
        }
        self.accept_retry_at = None;
        self.listener = None;
    }
}
