//! The driver: owns all connections, turns received data into inputs and performs the effects of the reducer.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crossbeam_channel::Sender;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use swiftlb_record::{Record, Recorder};

use super::LoopMessage;
use super::buffer_limits::max_buffer_bytes;
use super::connection::{ClosedConnections, Connection, ExpiredTimeout, ReadOutcome};
use super::dns::ListSource;
use super::handover::Handover;
use super::jsonl::{self, ExchangeLine, LineError, SplitLine};
use super::operator::{OperatorServer, RequestId};
use super::read_queue::ReadQueue;
use crate::config::Config;
use crate::edge::SkewedClock;
use crate::engine::{
    CallUid, CallerConnId, CallerMessage, Effect, ExchangeConnId, ExchangeMessage, Front, Input,
};
use crate::iax2::{Endpoint, Iax2Config, Output};
use crate::interface::Number;
use crate::ops::{OperatorReply, OperatorRequest};

mod callers;

/// Id of the caller connection that represents all IAX2 callers; TCP connections of callers have the ids from 1 on.
pub(super) const IAX2_CONN: CallerConnId = 0;
/// Poll token of the waker; the next one is that of the listener for callers.
pub(super) const WAKER: Token = Token(0);
const LISTENER: Token = Token(1);
/// The same on a connection to an exchange. It is shorter: exchanges are on good links, and calls with a deadline
/// wait for the replies on these connections.
const EXCHANGE_LINE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of reads from a connection to an exchange before others are read. A line fits into them.
const EXCHANGE_READS: usize = 4;
/// Time between two checks of the connections for expired timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
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

    /// Gives the exit up until the reducer requests it again: a call has begun meanwhile.
    pub(super) fn postpone_exit(&mut self) {
        self.exit = None;
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

    fn reply_to_operator(&mut self, request_id: RequestId, reply: &OperatorReply) {
        self.with_operator_server(|operator_server, _, _| operator_server.reply(request_id, reply));
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
