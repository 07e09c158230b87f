//! The driver: owns all connections, turns received data into inputs and performs the effects of the reducer.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crossbeam_channel::Sender;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use swiftlb_record::{Record, Recorder};

use super::LoopMessage;
use super::buffer_limits::{largest_beyond, max_buffer_bytes};
use super::connection::{ClosedConnections, Connection, EndReason, ExpiredTimeout, ReadOutcome};
use super::dns::ListSource;
use super::handover::Handover;
use super::jsonl::{self, CallerLine, ExchangeLine, LineError, SplitLine};
use super::operator::{OperatorServer, RequestId};
use super::read_queue::{ReadAmount, ReadQueue};
use crate::config::Config;
use crate::edge::SkewedClock;
use crate::engine::{
    CallUid, CallerConnId, CallerMessage, Effect, ExchangeConnId, ExchangeMessage, Front, Input,
};
use crate::iax2::{Endpoint, Iax2Config, Output};
use crate::interface::Number;
use crate::ops::{OperatorReply, OperatorRequest};

/// Id of the caller connection that represents all IAX2 callers; TCP connections of callers have the ids from 1 on.
pub(super) const IAX2_CONN: CallerConnId = 0;
/// Poll token of the waker; the next one is that of the listener for callers.
pub(super) const WAKER: Token = Token(0);
const LISTENER: Token = Token(1);
/// Time from the first byte of a line to its end, on a caller connection. Callers may be on poor links.
const CALLER_LINE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The same on a connection to an exchange. It is shorter: exchanges are on good links, and calls with a deadline
/// wait for the replies on these connections.
const EXCHANGE_LINE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of reads from a connection to an exchange before others are read. A line fits into them.
const EXCHANGE_READS: usize = 4;
/// Maximum number of reads from a caller connection at one turn.
const CALLER_READS: usize = 1;
/// Maximum number of connections accepted before other events are handled.
const MAX_ACCEPTS: usize = 16;
/// Time between two checks of the connections for expired timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the next accept when the operating system has no resources for another connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a closed connection is kept to see whether the remote end replies to unread data with a reset: it
/// covers a round trip on a poor link, and is well within the second in which a release has to be sent.
const CLOSED_CONN_KEEP_TIME: Duration = Duration::from_millis(300);
/// Time for writing the messages still queued on a connection that is being closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for writing the remaining records before the process exits.
const FINAL_RECORDS_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from the reducer's request to exit to the close of the callers' connections. What callers had sent by then on a
/// connection that was just accepted has arrived.
const EXIT_SETTLE_TIME: Duration = Duration::from_millis(20);
/// Time for which unacknowledged frames on IAX2 legs are retransmitted before the process exits.
const FINAL_RETRANSMIT_TIME: Duration = Duration::from_secs(1);

/// The IAX2 front: its configuration, its legs and the socket that they share.
pub(super) struct Iax2Front {
    pub(super) config: Iax2Config,
    pub(super) endpoint: Endpoint,
    pub(super) socket: Arc<UdpSocket>,
}

/// Id of a connection. The lowest bit of its poll token tells caller connections from exchange connections.
#[derive(Clone, Copy)]
enum ConnId {
    Caller(CallerConnId),
    Exchange(ExchangeConnId),
}

impl ConnId {
    fn token(self) -> Token {
        Token(match self {
            Self::Caller(caller_conn) => 2 * (caller_conn as usize + 1),
            Self::Exchange(exchange_conn) => 2 * (exchange_conn as usize + 1) + 1,
        })
    }

    fn from_token(token: Token) -> Self {
        let id = (token.0 / 2).saturating_sub(1) as u64;
        if token.0.is_multiple_of(2) { Self::Caller(id) } else { Self::Exchange(id) }
    }
}

/// The exit of the process, from the reducer's request on.
#[derive(Clone, Copy, Debug)]
struct Exit {
    /// From this time on the connections of callers are closed.
    close_at: SystemTime,
    /// Then the process exits at the latest, if the reducer has no open call.
    deadline: SystemTime,
}

impl Exit {
    /// When the driver has to look again.
    fn next_time(self, now: SystemTime) -> SystemTime {
        if now < self.close_at { self.close_at } else { self.deadline }
    }
}

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

/// Owns all connections and performs the effects of the reducer.
pub(super) struct Driver {
    report_field_names: Arc<[String]>,
    connect_timeout: Duration,
    /// Sends new addresses of the resolver to its thread.
    source_sender: Sender<ListSource>,
    registry: Registry,
    /// Listens for callers; closed at the shutdown deadline, or when the exit begins.
    listener: Option<TcpListener>,
    /// When to accept again, if connections may be left in the backlog.
    accept_retry_at: Option<SystemTime>,
    caller_conns: HashMap<CallerConnId, Connection>,
    exchange_conns: HashMap<ExchangeConnId, Connection>,
    /// Connections that are closed as soon as their queued messages are written, or at this time at the latest.
    closing: Vec<(SystemTime, Connection)>,
    closed_connections: ClosedConnections,
    /// Connections with queued messages.
    unsent: Vec<Token>,
    /// Connections to exchanges with more data to read.
    readable: Vec<Token>,
    /// Caller connections with data to read.
    read_queue: ReadQueue,
    /// Caller connections that were read in this iteration of the loop because they are to be closed.
    read_before_close: HashSet<CallerConnId>,
    /// Maximum size of the incomplete lines from callers, and of the replies that they have not read.
    max_buffer_bytes: usize,
    timeout_check_at: SystemTime,
    /// Whether connections from callers are accepted.
    accepting: bool,
    operator_server: Option<OperatorServer>,
    handover: Option<Handover>,
    iax2_front: Option<Iax2Front>,
    recorder: Option<(Recorder, SkewedClock)>,
    last_caller_conn: CallerConnId,
    /// Inputs for the reducer, oldest first.
    inputs: VecDeque<Input>,
    /// The exit that [`Effect::Exit`] has begun.
    exit: Option<Exit>,
}

impl Driver {
    pub(super) fn new(
        config: &Config,
        mut listener: TcpListener,
        (operator_server, handover): (Option<OperatorServer>, Option<Handover>),
        registry: Registry,
        source_sender: Sender<ListSource>,
        iax2_front: Option<Iax2Front>,
        inputs: VecDeque<Input>,
    ) -> std::io::Result<Self> {
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(Self {
            report_field_names: config.report_field_names.clone().into(),
            connect_timeout: config.connect_timeout,
            source_sender,
            registry,
            listener: Some(listener),
            accept_retry_at: None,
            caller_conns: HashMap::new(),
            exchange_conns: HashMap::new(),
            closing: Vec::new(),
            closed_connections: ClosedConnections::default(),
            unsent: Vec::new(),
            readable: Vec::new(),
            read_queue: ReadQueue::default(),
            read_before_close: HashSet::new(),
            max_buffer_bytes: max_buffer_bytes(config.memory_limit_bytes),
            timeout_check_at: SystemTime::now(),
            accepting: true,
            operator_server,
            handover,
            iax2_front,
            recorder: None,
            last_caller_conn: IAX2_CONN,
            inputs,
            exit: None,
        })
    }

    /// Starts to write records; their times are those of this clock.
    pub(super) fn set_recorder(&mut self, recorder: Recorder, clock: SkewedClock) {
        self.recorder = Some((recorder, clock));
    }

    /// Whether an input for the reducer waits.
    pub(super) fn has_input(&self) -> bool {
        !self.inputs.is_empty()
    }

    /// Takes the next input for the reducer.
    pub(super) fn next_input(&mut self) -> Option<Input> {
        self.inputs.pop_front()
    }

    /// Handles a message from another thread.
    pub(super) fn handle_message(&mut self, message: LoopMessage) {
        match message {
            LoopMessage::Input(input) => self.inputs.push_back(input),
            LoopMessage::Datagram(from, bytes, received) => {
                self.with_iax2(|iax2, out| iax2.endpoint.receive(received, from, &bytes, out));
            }
        }
    }

    /// When [`Self::handle_timeouts`] has to run next.
    pub(super) fn next_timeout(&self) -> Option<SystemTime> {
        let iax2_timeout = self.iax2_front.as_ref().and_then(|iax2| iax2.endpoint.next_timeout());
        // A time in the past, so that the next poll does not wait.
        let has_readable = !self.readable.is_empty() || !self.read_queue.is_empty();
        let readable = has_readable.then_some(SystemTime::UNIX_EPOCH);
        let idle = self.caller_conns.is_empty() && self.exchange_conns.is_empty() && self.closing.is_empty();
        let timeout_check = (!idle || !self.closed_connections.is_empty()).then_some(self.timeout_check_at);
        let operator_server = self.operator_server.as_ref().and_then(OperatorServer::next_timeout);
        let exit = self.exit.map(|exit| exit.next_time(SystemTime::now()));
        [iax2_timeout, exit, self.accept_retry_at, readable, timeout_check, operator_server]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether the process may exit as far as the driver knows: the reducer has asked for it, everything that callers sent
    /// is read, their connections are closed, and IAX2 peers have acknowledged the last frames; or the time for that is
    /// over.
    pub(super) fn is_done(&self) -> bool {
        let Some(exit) = self.exit else { return false };
        let all_acknowledged = self.iax2_front.as_ref().is_none_or(|iax2| iax2.endpoint.all_acknowledged());
        let nothing_left = all_acknowledged && self.caller_conns.is_empty() && self.inputs.is_empty();
        let now = SystemTime::now();
        (nothing_left && exit.close_at <= now) || exit.deadline <= now
    }

    /// Begins the exit: stops listening, so that further callers learn at once that nothing of theirs was taken.
    fn begin_exit(&mut self) {
        if self.exit.is_some() {
            return;
        }
        let now = SystemTime::now();
        self.exit = Some(Exit { close_at: now + EXIT_SETTLE_TIME, deadline: now + FINAL_RETRANSMIT_TIME });
        self.stop_listening();
    }

    /// Accepts the connections that wait in the backlog and stops listening.
    fn stop_listening(&mut self) {
        if self.accepting {
            while self.accept_some() == Accepted::MoreMayWait {}
        }
        self.accept_retry_at = None;
        self.listener = None;
    }

    /// Gives the exit up until the reducer requests it again: a call has begun meanwhile.
    pub(super) fn postpone_exit(&mut self) {
        self.exit = None;
    }

    /// During the exit, closes each caller connection on which nothing has arrived that is still to be read. No set-up may
    /// be open on any.
    pub(super) fn close_callers_for_exit(&mut self) {
        if self.exit.is_none_or(|exit| SystemTime::now() < exit.close_at) {
            return;
        }
        for caller_conn in self.caller_conns.keys().copied().collect::<Vec<_>>() {
            self.close_if_idle(caller_conn);
        }
    }

    /// Writes all queued messages, for at most `limit`, and then the remaining records.
    pub(super) fn flush_and_stop(&mut self, limit: Duration) {
        self.flush_all_connections(limit);
        if self.recorder.take().is_some_and(|(recorder, _)| !recorder.stop(FINAL_RECORDS_TIMEOUT)) {
            tracing::warn!("time-out while writing the last records; some are lost");
        }
    }

    fn flush_all_connections(&mut self, limit: Duration) {
        let deadline = SystemTime::now() + limit;
        loop {
            let all = self.caller_conns.values_mut().chain(self.exchange_conns.values_mut());
            let all = all.chain(self.closing.iter_mut().map(|(_, connection)| connection));
            let mut unfinished = false;
            for connection in all {
                connection.flush();
                unfinished |= !connection.is_flushed() && !connection.is_connecting();
            }
            if !unfinished || SystemTime::now() >= deadline {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Handles all timeouts that have expired and wakes the reducer.
    pub(super) fn handle_timeouts(&mut self) {
        let now = SystemTime::now();
        self.read_before_close.clear();
        self.with_iax2(|iax2, out| iax2.endpoint.handle_timeout(now, out));
        self.with_operator_server(|operator_server, _, _| operator_server.close_expired(now));
        if self.accept_retry_at.is_some_and(|at| at <= now) {
            self.accept_retry_at = None;
            self.accept();
        }
        if self.timeout_check_at <= now {
            self.timeout_check_at = now + TIMEOUT_CHECK_INTERVAL;
            self.check_timeouts(now);
        }
        self.inputs.push_back(Input::Wake);
    }

    /// Writes the messages queued since the last call, as far as the sockets accept them.
    pub(super) fn flush(&mut self) {
        for token in std::mem::take(&mut self.unsent) {
            let conn_id = ConnId::from_token(token);
            if let Some(connection) = self.connection(conn_id) {
                connection.flush();
                let attempts = connection.take_written_count();
                self.report_written_attempts(attempts);
            }
        }
    }

    /// Takes the connections to exchanges with more data to read. A connection that still has data after one read is listed
    /// again for the next iteration of the loop, so that the poll runs in between.
    pub(super) fn take_readable(&mut self) -> Vec<Token> {
        std::mem::take(&mut self.readable)
    }

    fn connection(&mut self, conn_id: ConnId) -> Option<&mut Connection> {
        match conn_id {
            ConnId::Caller(caller_conn) => self.caller_conns.get_mut(&caller_conn),
            ConnId::Exchange(exchange_conn) => self.exchange_conns.get_mut(&exchange_conn),
        }
    }

    /// Reads the caller connection whose turn it is; false if none has data.
    pub(super) fn read_next_caller(&mut self) -> bool {
        let Some(caller_conn) = self.read_queue.take_next() else { return false };
        self.read_caller(caller_conn);
        true
    }

    /// Registers that the remote end has closed a connection, or its sending side.
    pub(super) fn mark_remote_closed(&mut self, token: Token) {
        if let Some(connection) = self.connection(ConnId::from_token(token)) {
            connection.mark_remote_closed();
        }
    }

    /// Handles an event of the poll.
    pub(super) fn handle_event(&mut self, token: Token) {
        if OperatorServer::owns(token) {
            return self.with_operator_server(|operator_server, registry, requests| {
                operator_server.handle_event(token, registry, requests)
            });
        }
        if Handover::owns(token) {
            return self
                .with_handover(|handover, registry, inputs| handover.handle_event(token, registry, inputs));
        }
        match (token, ConnId::from_token(token)) {
            (WAKER, _) => {}
            (LISTENER, _) => self.accept(),
            (_, ConnId::Caller(caller_conn)) => {
                if let Some(connection) = self.caller_conns.get_mut(&caller_conn) {
                    connection.flush();
                    self.read_queue.add(caller_conn);
                }
            }
            (_, ConnId::Exchange(exchange_conn)) => self.read_exchange(exchange_conn),
        }
    }

    /// Runs `work` on the operators' server and queues the requests that it returns.
    fn with_operator_server(
        &mut self,
        work: impl FnOnce(&mut OperatorServer, &Registry, &mut Vec<(RequestId, OperatorRequest)>),
    ) {
        let Some(operator_server) = &mut self.operator_server else { return };
        let mut requests = Vec::new();
        work(operator_server, &self.registry, &mut requests);
        self.inputs.extend(
            requests.into_iter().map(|(request_id, request)| Input::OperatorRequest { request_id, request }),
        );
    }

    /// Runs `work` on the handover socket and queues its inputs; does nothing without an inherited listener.
    fn with_handover(&mut self, work: impl FnOnce(&mut Handover, &Registry, &mut VecDeque<Input>)) {
        if let Some(handover) = &mut self.handover {
            work(handover, &self.registry, &mut self.inputs);
        }
    }

    /// Accepts connections from callers, or leaves them to the sibling process that listens on the same socket.
    fn set_accepting(&mut self, accepting: bool) {
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

    fn reply_to_operator(&mut self, request_id: RequestId, reply: &OperatorReply) {
        self.with_operator_server(|operator_server, _, _| operator_server.reply(request_id, reply));
    }

    fn accept(&mut self) {
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
    fn remove_caller(&mut self, caller_conn: CallerConnId) -> Option<Connection> {
        self.read_queue.remove(caller_conn);
        self.caller_conns.remove(&caller_conn)
    }

    /// Closes the caller connections with the largest buffers, as far as all of them together are beyond their limits.
    pub(super) fn enforce_buffer_limits(&mut self) {
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

    fn read_exchange(&mut self, exchange_conn: ExchangeConnId) {
        let Some(connection) = self.exchange_conns.get_mut(&exchange_conn) else { return };
        if connection.is_connecting() {
            match connection.finish_connect() {
                Ok(true) => {
                    self.inputs.push_back(Input::ExchangeConnected { exchange_conn, carries_calls: false })
                }
                Ok(false) => return,
                Err(error) => {
                    let refused = error.kind() == ErrorKind::ConnectionRefused;
                    self.exchange_conns.remove(&exchange_conn);
                    self.inputs.push_back(Input::ExchangeConnectFailed { exchange_conn, refused });
                    return;
                }
            }
        }
        connection.flush();
        let attempts = connection.take_written_count();
        self.report_written_attempts(attempts);
        let Some(connection) = self.exchange_conns.get_mut(&exchange_conn) else { return };
        let (inputs, names) = (&mut self.inputs, &self.report_field_names);
        let read = connection.read_lines(EXCHANGE_READS, |line, _| {
            let parsed = match &line {
                SplitLine::Complete(bytes) => jsonl::parse_exchange_line(bytes, names),
                SplitLine::TooLong(_) => Err(LineError::Unreadable),
            };
            inputs.push_back(match parsed {
                Ok(ExchangeLine::Answered(call, description)) => {
                    Input::Answered { exchange_conn, call, description }
                }
                Ok(ExchangeLine::Stop(call, outcome, reason)) => {
                    Input::Ended { exchange_conn, call, outcome, reason }
                }
                Ok(ExchangeLine::Usage(report)) => Input::GroupState { exchange_conn, report },
                Ok(ExchangeLine::Checked(passed, report)) => {
                    Input::ProbeResult { exchange_conn, passed, report }
                }
                Ok(ExchangeLine::ReleaseConfirmed(call)) => Input::ReleaseConfirmed { exchange_conn, call },
                Ok(ExchangeLine::Ignored) => Input::ExchangeActivity { exchange_conn },
                // The connection is dropped after an unreadable line: it may have been the reply to a set-up, which
                // its call would wait for in vain.
                Err(_) => return ControlFlow::Break(()),
            });
            ControlFlow::Continue(())
        });
        match read {
            ReadOutcome::WouldBlock => {}
            ReadOutcome::More => self.readable.push(ConnId::Exchange(exchange_conn).token()),
            ReadOutcome::Ended(_) => self.drop_exchange_conn(exchange_conn),
        }
    }

    fn drop_exchange_conn(&mut self, exchange_conn: ExchangeConnId) {
        if let Some(connection) = self.exchange_conns.remove(&exchange_conn) {
            connection.shutdown();
            self.inputs.push_back(Input::ExchangeDisconnected { exchange_conn });
        }
    }

    /// Closes connections whose timeout has expired, and those whose last messages are written.
    fn check_timeouts(&mut self, now: SystemTime) {
        let expired =
            |(id, connection): (&u64, &mut Connection)| Some((*id, connection.expired_timeout(now)?));
        let caller_conns: Vec<_> = self.caller_conns.iter_mut().filter_map(expired).collect();
        let exchange_conns: Vec<_> = self.exchange_conns.iter_mut().filter_map(expired).collect();
        for (caller_conn, expired) in caller_conns {
            if expired == ExpiredTimeout::Line {
                self.inputs.push_back(Input::CallerStreamCorrupt { caller_conn });
            } else {
                self.remove_caller(caller_conn);
                self.inputs.push_back(Input::CallerDisconnected { caller_conn });
            }
        }
        for (exchange_conn, expired) in exchange_conns {
            if expired == ExpiredTimeout::Connect {
                self.exchange_conns.remove(&exchange_conn);
                self.inputs.push_back(Input::ExchangeConnectFailed { exchange_conn, refused: false });
            } else {
                self.drop_exchange_conn(exchange_conn);
            }
        }
        self.closing.retain_mut(|(deadline, connection)| {
            connection.flush();
            let keep = !connection.is_flushed() && *deadline > now;
            if !keep {
                connection.shutdown();
            }
            keep
        });
        let unread = self.closed_connections.take_unread(now);
        self.inputs.extend(unread.into_iter().map(|caller_conn| Input::CallerMessagesUnread { caller_conn }));
    }

    /// Runs `work` on the IAX2 front, sends its datagrams and queues its inputs.
    fn with_iax2(&mut self, work: impl FnOnce(&mut Iax2Front, &mut Output)) {
        let Some(iax2_front) = &mut self.iax2_front else { return };
        let mut out = Output::default();
        work(iax2_front, &mut out);
        for (to, bytes) in out.datagrams {
            // A datagram that cannot be sent counts as lost: the leg retransmits it.
            let _ = iax2_front.socket.send_to(&bytes, to);
        }
        self.inputs.extend(out.inputs);
    }

    /// Starts the IAX2 front after its address has become free.
    pub(super) fn start_iax2(&mut self, iax2_front: Iax2Front) {
        self.iax2_front = Some(iax2_front);
        self.inputs.push_back(Input::CallerConnected { caller_conn: IAX2_CONN, front: Front::Iax2 });
    }

    /// Whether the exchange with this number is reached by IAX2.
    fn uses_iax2(&self, number: Number) -> bool {
        self.iax2_front.as_ref().is_some_and(|iax2| iax2.config.is_iax2_exchange(number))
    }

    /// Performs an effect of the reducer.
    pub(super) fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::ToCaller { caller_conn: IAX2_CONN, call, message } => {
                self.with_iax2(|iax2, out| {
                    iax2.endpoint.send_to_caller(SystemTime::now(), call, &message, out)
                });
            }
            Effect::ToCaller { caller_conn, call, message } => {
                if matches!(message, CallerMessage::Answered { .. })
                    && self.caller_conns.contains_key(&caller_conn)
                {
                    self.read_queue.mark_served(caller_conn);
                }
                self.send(ConnId::Caller(caller_conn), &jsonl::format_caller_message(call, &message));
            }
            Effect::ToExchange { exchange_conn, call, message } => {
                self.send_to_exchange(exchange_conn, call, &message)
            }
            Effect::ToSibling(message) => self.with_handover(|handover, registry, inputs| {
                handover.send(&message, registry, inputs);
            }),
            Effect::Accept(accepting) => self.set_accepting(accepting),
            Effect::StopListening => self.stop_listening(),
            Effect::ToOperator { request_id, reply } => self.reply_to_operator(request_id, &reply),
            Effect::CloseCallerConn { caller_conn } => {
                if let Some(mut connection) = self.remove_caller(caller_conn) {
                    connection.flush();
                    if !connection.is_flushed() {
                        self.closing.push((SystemTime::now() + CLOSE_TIMEOUT, connection));
                    }
                }
            }
            Effect::CloseCallerConnIfIdle { caller_conn } => self.close_if_idle(caller_conn),
            Effect::CloseCallerConnUnlessUnread { caller_conn } => self.close_unless_unread(caller_conn),
            Effect::ConnectExchange { exchange_conn, number, address, .. } if self.uses_iax2(number) => {
                let limit = self.connect_timeout;
                self.with_iax2(|iax2, out| {
                    iax2.endpoint.connect_exchange(SystemTime::now(), exchange_conn, address, limit, out)
                });
            }
            Effect::ConnectExchange { exchange_conn, address, .. } => {
                self.connect_exchange(exchange_conn, address)
            }
            Effect::CloseExchangeConn { exchange_conn } => match self.exchange_conns.remove(&exchange_conn) {
                Some(mut connection) => {
                    connection.flush();
                    let attempts = connection.take_written_count();
                    self.report_written_attempts(attempts);
                    connection.shutdown();
                }
                None => {
                    self.with_iax2(|iax2, _| iax2.endpoint.close_exchange(SystemTime::now(), exchange_conn))
                }
            },
            Effect::Reconfigure(config) => {
                let config = *config;
                self.report_field_names = config.report_field_names.into();
                self.connect_timeout = config.connect_timeout;
                let source = ListSource { resolver: config.resolver, zones: config.zones };
                if self.source_sender.try_send(source).is_err() {
                    tracing::warn!(
                        "cannot pass the address of the resolver to its thread; a change of it is ignored"
                    );
                }
            }
            Effect::Log(text) => tracing::info!("{text}"),
            Effect::Record(record) => {
                tracing::debug!(event = ?record.event);
                if let Some((recorder, clock)) = &mut self.recorder {
                    recorder.record(Record { at_us: clock.skewed_us(record.at_us), ..record });
                }
            }
            Effect::Exit => self.begin_exit(),
        }
    }

    /// Closes a caller connection if all its data is read and no line is incomplete: a set-up that is still unread
    /// would be lost.
    fn close_if_idle(&mut self, caller_conn: CallerConnId) {
        if self.has_no_unread_line(caller_conn)
            && self.caller_conns.get(&caller_conn).is_some_and(|connection| !connection.has_partial_line())
        {
            self.close_caller_conn(caller_conn);
        }
    }

    /// Closes a caller connection if no complete line is unread; an incomplete one is dropped.
    fn close_unless_unread(&mut self, caller_conn: CallerConnId) {
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

    fn send_to_exchange(&mut self, exchange_conn: ExchangeConnId, call: CallUid, message: &ExchangeMessage) {
        let is_attempt = matches!(message, ExchangeMessage::SetUp { .. });
        if let Some(connection) = self.exchange_conns.get_mut(&exchange_conn) {
            let message = jsonl::format_exchange_message(call, message);
            if is_attempt {
                connection.count_next_message(message.len());
            }
            self.send(ConnId::Exchange(exchange_conn), &message);
        } else {
            self.report_written_attempts(u64::from(is_attempt));
            self.with_iax2(|iax2, out| {
                iax2.endpoint.send_to_exchange(SystemTime::now(), exchange_conn, call, message, out)
            });
        }
    }

    /// Tells the reducer how many set-ups were completely written to an exchange.
    fn report_written_attempts(&mut self, attempts: u64) {
        if attempts > 0 {
            self.inputs.push_back(Input::AttemptsWritten { attempts });
        }
    }

    /// Queues a message on a connection; a connection with too many unsent bytes is closed.
    fn send(&mut self, conn_id: ConnId, message: &[u8]) {
        let Some(connection) = self.connection(conn_id) else {
            if let ConnId::Caller(caller_conn) = conn_id {
                // The connection is already closed: the reducer sends a release on another one.
                self.inputs.push_back(Input::CallerMessagesUnread { caller_conn });
            }
            return;
        };
        if connection.queue(message) {
            self.unsent.push(conn_id.token());
            return;
        }
        match conn_id {
            ConnId::Caller(caller_conn) => {
                self.remove_caller(caller_conn);
                self.inputs.push_back(Input::CallerDisconnected { caller_conn });
            }
            ConnId::Exchange(exchange_conn) => self.drop_exchange_conn(exchange_conn),
        }
    }

    fn connect_exchange(&mut self, exchange_conn: ExchangeConnId, address: SocketAddr) {
        let deadline = SystemTime::now() + self.connect_timeout;
        let result =
            Connection::connect(address, deadline, EXCHANGE_LINE_TIMEOUT).and_then(|mut connection| {
                connection.register(&self.registry, ConnId::Exchange(exchange_conn).token())?;
                Ok(connection)
            });
        match result {
            Ok(connection) => {
                self.exchange_conns.insert(exchange_conn, connection);
            }
            Err(error) => {
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                self.inputs.push_back(Input::ExchangeConnectFailed { exchange_conn, refused });
            }
        }
    }
}
