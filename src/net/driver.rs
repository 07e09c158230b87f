//! The driver: owns every connection and carries out what the reducer asks for.

use std::collections::{HashMap, VecDeque};
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
use super::connection::{ClosedConnections, Connection, Ending, Late, Received};
use super::dns::ListSource;
use super::handover::Handover;
use super::jsonl::{self, CallerLine, ExchangeLine, LineError, SplitLine};
use super::operator::{OperatorServer, RequestId};
use crate::config::Config;
use crate::edge::SkewedClock;
use crate::engine::{CallUid, CallerConnId, Effect, ExchangeConnId, ExchangeMessage, Front, Input};
use crate::iax2::{Endpoint, Iax2Config, Output};
use crate::interface::Number;
use crate::ops::{OperatorReply, OperatorRequest};

/// The one link of all IAX2 callers; connections count on from it.
pub(super) const HANDSETS: CallerConnId = 0;
/// What the poll calls the waker and the listener.
pub(super) const WAKER: Token = Token(0);
const LISTENER: Token = Token(1);
/// A line from a caller must end within this time of its first byte, and one from an exchange: callers may be
/// on poor links, exchanges are not, and what waits for an answer there has no time to lose.
const CALLER_LINE: Duration = Duration::from_millis(2_500);
const EXCHANGE_LINE: Duration = Duration::from_secs(1);
/// Connections that are accepted before others have their turn.
const ACCEPTS: usize = 16;
/// Time between two looks at what connections wait for.
const SWEEP: Duration = Duration::from_millis(50);
/// Time before the next try to accept where the system has nothing left for a connection.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// How long the peer's reset may take to come back: a round trip on a poor link, and well within the second in
/// which a release has to be sent.
const ECHO: Duration = Duration::from_millis(300);
/// How long a connection that is being closed may take for its last words.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// How long the last records may take to be written at the end.
const LAST_RECORDS: Duration = Duration::from_secs(1);
/// How long the last frames on IAX2 legs are repeated at the end, if nobody acknowledges them.
const LAST_REPEATS: Duration = Duration::from_secs(1);

/// The IAX2 side: one socket and the legs on it.
pub(super) struct Handsets {
    pub(super) iax2: Iax2Config,
    pub(super) endpoint: Endpoint,
    pub(super) socket: Arc<UdpSocket>,
}

/// Whose connection it is, told by the lowest bit of its token.
#[derive(Clone, Copy)]
enum Whose {
    Caller(CallerConnId),
    Exchange(ExchangeConnId),
}

impl Whose {
    fn token(self) -> Token {
        Token(match self {
            Self::Caller(caller_conn) => 2 * (caller_conn as usize + 1),
            Self::Exchange(exchange_conn) => 2 * (exchange_conn as usize + 1) + 1,
        })
    }

    fn of(token: Token) -> Self {
        let id = (token.0 / 2).saturating_sub(1) as u64;
        if token.0.is_multiple_of(2) { Self::Caller(id) } else { Self::Exchange(id) }
    }
}

/// Owns every connection, and carries out what the reducer asks for.
pub(super) struct Driver {
    report: Arc<[String]>,
    connect_timeout: Duration,
    source: Sender<ListSource>,
    registry: Registry,
    listener: TcpListener,
    /// When to try to accept again, if not all that wait have been accepted.
    accept_at: Option<SystemTime>,
    links: HashMap<CallerConnId, Connection>,
    conns: HashMap<ExchangeConnId, Connection>,
    /// Connections that are closed once their last words are written, and until when they have for that.
    closing: Vec<(SystemTime, Connection)>,
    closed_connections: ClosedConnections,
    /// Those with messages to be written, and those with more to be read.
    unsent: Vec<Token>,
    ready: Vec<Token>,
    sweep_at: SystemTime,
    /// Whether connections from callers are taken.
    accepting: bool,
    door: Option<OperatorServer>,
    handover: Option<Handover>,
    handsets: Option<Handsets>,
    recorder: Option<(Recorder, SkewedClock)>,
    last_link: CallerConnId,
    /// What the reducer is to be told next.
    inputs: VecDeque<Input>,
    /// Set once all is answered: when to end at the latest.
    done: Option<SystemTime>,
}

impl Driver {
    pub(super) fn new(
        config: &Config,
        mut listener: TcpListener,
        (door, handover): (Option<OperatorServer>, Option<Handover>),
        registry: Registry,
        source: Sender<ListSource>,
        handsets: Option<Handsets>,
        inputs: VecDeque<Input>,
    ) -> std::io::Result<Self> {
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(Self {
            report: config.report_field_names.clone().into(),
            connect_timeout: config.connect_timeout,
            source,
            registry,
            listener,
            accept_at: None,
            links: HashMap::new(),
            conns: HashMap::new(),
            closing: Vec::new(),
            closed_connections: ClosedConnections::default(),
            unsent: Vec::new(),
            ready: Vec::new(),
            sweep_at: SystemTime::now(),
            accepting: true,
            door,
            handover,
            handsets,
            recorder: None,
            last_link: HANDSETS,
            inputs,
            done: None,
        })
    }

    /// Keeps records from now on.
    pub(super) fn record(&mut self, recorder: Recorder, clock: SkewedClock) {
        self.recorder = Some((recorder, clock));
    }

    /// What the reducer is to be told next.
    pub(super) fn next_input(&mut self) -> Option<Input> {
        self.inputs.pop_front()
    }

    /// Takes a message of another thread.
    pub(super) fn admit(&mut self, message: LoopMessage) {
        match message {
            LoopMessage::Input(input) => self.inputs.push_back(input),
            LoopMessage::Datagram(from, bytes, received) => {
                self.on_handsets(|h, out| h.endpoint.receive(received, from, &bytes, out));
            }
        }
    }

    /// When it wants to be woken: for IAX2 legs, for what connections wait for, at the end.
    pub(super) fn next_wake(&self) -> Option<SystemTime> {
        let legs = self.handsets.as_ref().and_then(|h| h.endpoint.next_timeout());
        let ready = (!self.ready.is_empty()).then_some(SystemTime::UNIX_EPOCH);
        let none = self.links.is_empty() && self.conns.is_empty() && self.closing.is_empty();
        let sweep = (!none || !self.closed_connections.is_empty()).then_some(self.sweep_at);
        let door = self.door.as_ref().and_then(OperatorServer::next_wake);
        [legs, self.done, self.accept_at, ready, sweep, door].into_iter().flatten().min()
    }

    /// Whether the program may end: all is answered, and IAX2 peers have it or had the time to ask again.
    pub(super) fn is_done(&self) -> bool {
        let heard = self.handsets.as_ref().is_none_or(|h| h.endpoint.all_acknowledged());
        self.done.is_some_and(|until| heard || until <= SystemTime::now())
    }

    /// Writes what is still to be written to connections, for this long at most, and then what is recorded.
    pub(super) fn finish(&mut self, limit: Duration) {
        self.write_last_words(limit);
        if self.recorder.take().is_some_and(|(recorder, _)| !recorder.stop(LAST_RECORDS)) {
            tracing::warn!("the last records are not written");
        }
    }

    fn write_last_words(&mut self, limit: Duration) {
        let until = SystemTime::now() + limit;
        loop {
            let all = self.links.values_mut().chain(self.conns.values_mut());
            let all = all.chain(self.closing.iter_mut().map(|(_, connection)| connection));
            let mut waits = false;
            for connection in all {
                connection.flush();
                waits |= !connection.is_flushed() && !connection.is_opening();
            }
            if !waits || SystemTime::now() >= until {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Does what is due.
    pub(super) fn wake(&mut self) {
        let now = SystemTime::now();
        self.on_handsets(|h, out| h.endpoint.handle_timeout(now, out));
        self.on_door(|door, _, _| door.sweep(now));
        if self.accept_at.is_some_and(|at| at <= now) {
            self.accept_at = None;
            self.accept();
        }
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP;
            self.sweep(now);
        }
        self.inputs.push_back(Input::Wake);
    }

    /// Gives the system what it takes of all that was said since the last time.
    pub(super) fn flush(&mut self) {
        for token in std::mem::take(&mut self.unsent) {
            let whose = Whose::of(token);
            if let Some(connection) = self.connection(whose) {
                connection.flush();
                let attempts = connection.take_written();
                self.note_written(attempts);
            }
        }
    }

    /// Connections of which more can be read. One that is read now comes back for the next turn, so that the
    /// poll has its say between.
    pub(super) fn take_ready(&mut self) -> Vec<Token> {
        std::mem::take(&mut self.ready)
    }

    fn connection(&mut self, whose: Whose) -> Option<&mut Connection> {
        match whose {
            Whose::Caller(caller_conn) => self.links.get_mut(&caller_conn),
            Whose::Exchange(exchange_conn) => self.conns.get_mut(&exchange_conn),
        }
    }

    /// The poll has something to say.
    pub(super) fn on_event(&mut self, token: Token) {
        if OperatorServer::owns(token) {
            return self.on_door(|door, registry, orders| door.on_event(token, registry, orders));
        }
        if Handover::owns(token) {
            return self.on_handover(|handover, registry, inputs| handover.on_event(token, registry, inputs));
        }
        match (token, Whose::of(token)) {
            (WAKER, _) => {}
            (LISTENER, _) => self.accept(),
            (_, Whose::Caller(caller_conn)) => self.read_caller(caller_conn),
            (_, Whose::Exchange(exchange_conn)) => self.read_exchange(exchange_conn),
        }
    }

    /// Works on the operators' side and queues what it has for the reducer.
    fn on_door(
        &mut self,
        work: impl FnOnce(&mut OperatorServer, &Registry, &mut Vec<(RequestId, OperatorRequest)>),
    ) {
        let Some(door) = &mut self.door else { return };
        let mut orders = Vec::new();
        work(door, &self.registry, &mut orders);
        self.inputs.extend(
            orders.into_iter().map(|(request_id, request)| Input::OperatorRequest { request_id, request }),
        );
    }

    /// Works on the side of the other process of this softswitch.
    fn on_handover(&mut self, work: impl FnOnce(&mut Handover, &Registry, &mut VecDeque<Input>)) {
        if let Some(handover) = &mut self.handover {
            work(handover, &self.registry, &mut self.inputs);
        }
    }

    /// Takes connections from callers, or leaves them to the other process that listens on the same socket.
    fn accept_or_not(&mut self, accepting: bool) {
        if std::mem::replace(&mut self.accepting, accepting) == accepting {
            return;
        }
        let watched = if accepting {
            self.registry.register(&mut self.listener, LISTENER, Interest::READABLE)
        } else {
            self.accept_at = None;
            self.registry.deregister(&mut self.listener)
        };
        if let Err(error) = watched {
            tracing::error!(%error, "listening socket");
        }
    }

    fn answer_operator(&mut self, ticket: RequestId, reply: &OperatorReply) {
        self.on_door(|door, _, _| door.answer(ticket, reply));
    }

    fn accept(&mut self) {
        if !self.accepting {
            return;
        }
        for _ in 0..ACCEPTS {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.last_link += 1;
                    let caller_conn = self.last_link;
                    let mut connection = Connection::accepted(stream, CALLER_LINE);
                    if connection.watch(&self.registry, Whose::Caller(caller_conn).token()).is_ok() {
                        self.links.insert(caller_conn, connection);
                        self.inputs
                            .push_back(Input::CallerConnected { caller_conn, front: Front::JsonLines });
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(error) => {
                    // Out of descriptors, most likely: those that are open must end first.
                    tracing::warn!(%error, "accept");
                    self.accept_at = Some(SystemTime::now() + ACCEPT_AGAIN);
                    return;
                }
            }
        }
        self.accept_at = Some(SystemTime::now());
    }

    fn read_caller(&mut self, caller_conn: CallerConnId) {
        let Some(connection) = self.links.get_mut(&caller_conn) else { return };
        connection.flush();
        let inputs = &mut self.inputs;
        let received = connection.receive(|cut, received| {
            inputs.push_back(match &cut {
                SplitLine::Complete(line) => match jsonl::parse_caller_line(line, received) {
                    Ok(CallerLine::SetUp(call, setup)) => Input::SetUp { caller_conn, call, setup },
                    Ok(CallerLine::Stop(call, cause)) => Input::HangUp { caller_conn, call, cause },
                    Ok(CallerLine::Check(call)) => Input::HealthCheck { caller_conn, call },
                    Ok(CallerLine::Ignored) => return ControlFlow::Continue(()),
                    Err(LineError::Malformed(call)) => Input::MalformedSetUp { caller_conn, call },
                    Err(LineError::Unreadable) => return ControlFlow::Break(()),
                },
                // Its end may be far away, and nothing behind it is worth the wait.
                SplitLine::TooLong(start) => {
                    inputs.extend(
                        jsonl::find_call_uid(start).map(|call| Input::MalformedSetUp { caller_conn, call }),
                    );
                    return ControlFlow::Break(());
                }
            });
            ControlFlow::Continue(())
        });
        match received {
            Received::All => {}
            Received::More => self.ready.push(Whose::Caller(caller_conn).token()),
            // The reducer answers what is open on it, and then has it closed.
            Received::Ended(Ending::Spoilt) => {
                self.inputs.push_back(Input::CallerStreamCorrupt { caller_conn })
            }
            Received::Ended(ending) => {
                self.inputs.push_back(Input::CallerDisconnected { caller_conn });
                if ending == Ending::Reset {
                    self.inputs.push_back(Input::CallerMessagesUnread { caller_conn });
                    self.links.remove(&caller_conn);
                } else if let Some(connection) = self.links.remove(&caller_conn) {
                    let unheard =
                        self.closed_connections.keep(SystemTime::now() + ECHO, caller_conn, connection);
                    self.inputs
                        .extend(unheard.map(|caller_conn| Input::CallerMessagesUnread { caller_conn }));
                }
            }
        }
    }

    fn read_exchange(&mut self, exchange_conn: ExchangeConnId) {
        let Some(connection) = self.conns.get_mut(&exchange_conn) else { return };
        if connection.is_opening() {
            match connection.has_opened() {
                Ok(true) => {
                    self.inputs.push_back(Input::ExchangeConnected { exchange_conn, carries_calls: false })
                }
                Ok(false) => return,
                Err(error) => {
                    let refused = error.kind() == ErrorKind::ConnectionRefused;
                    self.conns.remove(&exchange_conn);
                    self.inputs.push_back(Input::ExchangeConnectFailed { exchange_conn, refused });
                    return;
                }
            }
        }
        connection.flush();
        let attempts = connection.take_written();
        self.note_written(attempts);
        let Some(connection) = self.conns.get_mut(&exchange_conn) else { return };
        let (inputs, report) = (&mut self.inputs, &self.report);
        let received = connection.receive(|cut, _| {
            let read = match &cut {
                SplitLine::Complete(line) => jsonl::parse_exchange_line(line, report),
                SplitLine::TooLong(_) => Err(LineError::Unreadable),
            };
            inputs.push_back(match read {
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
                Ok(ExchangeLine::Ignored) => Input::ExchangeActivity { exchange_conn },
                // After something that cannot be read nothing that follows on the same connection counts: the
                // calls on it would wait for answers that never come.
                Err(_) => return ControlFlow::Break(()),
            });
            ControlFlow::Continue(())
        });
        match received {
            Received::All => {}
            Received::More => self.ready.push(Whose::Exchange(exchange_conn).token()),
            Received::Ended(_) => self.lose_exchange(exchange_conn),
        }
    }

    fn lose_exchange(&mut self, exchange_conn: ExchangeConnId) {
        if let Some(connection) = self.conns.remove(&exchange_conn) {
            connection.cut();
            self.inputs.push_back(Input::ExchangeDisconnected { exchange_conn });
        }
    }

    /// Ends what has waited in vain, and what is closing.
    fn sweep(&mut self, now: SystemTime) {
        let late = |(id, connection): (&u64, &mut Connection)| Some((*id, connection.late(now)?));
        let links: Vec<_> = self.links.iter_mut().filter_map(late).collect();
        let conns: Vec<_> = self.conns.iter_mut().filter_map(late).collect();
        for (caller_conn, late) in links {
            if late == Late::Line {
                self.inputs.push_back(Input::CallerStreamCorrupt { caller_conn });
            } else {
                self.links.remove(&caller_conn);
                self.inputs.push_back(Input::CallerDisconnected { caller_conn });
            }
        }
        for (exchange_conn, late) in conns {
            if late == Late::Opening {
                self.conns.remove(&exchange_conn);
                self.inputs.push_back(Input::ExchangeConnectFailed { exchange_conn, refused: false });
            } else {
                self.lose_exchange(exchange_conn);
            }
        }
        self.closing.retain_mut(|(until, connection)| {
            connection.flush();
            let keep = !connection.is_flushed() && *until > now;
            if !keep {
                connection.cut();
            }
            keep
        });
        let unheard = self.closed_connections.unread(now);
        self.inputs
            .extend(unheard.into_iter().map(|caller_conn| Input::CallerMessagesUnread { caller_conn }));
    }

    /// Works on the IAX2 side, sends its datagrams and queues what it has for the reducer.
    fn on_handsets(&mut self, work: impl FnOnce(&mut Handsets, &mut Output)) {
        let Some(handsets) = &mut self.handsets else { return };
        let mut out = Output::default();
        work(handsets, &mut out);
        for (to, bytes) in out.datagrams {
            // A datagram that cannot be sent is a lost one: the leg repeats it.
            let _ = handsets.socket.send_to(&bytes, to);
        }
        self.inputs.extend(out.inputs);
    }

    /// The IAX2 side can be had at last.
    pub(super) fn begin_handsets(&mut self, handsets: Handsets) {
        self.handsets = Some(handsets);
        self.inputs.push_back(Input::CallerConnected { caller_conn: HANDSETS, front: Front::Iax2 });
    }

    /// Whether a way to an exchange goes over IAX2.
    fn speaks_iax2(&self, number: Number) -> bool {
        self.handsets.as_ref().is_some_and(|h| h.iax2.is_iax2_exchange(number))
    }

    /// Carries out what the reducer asks for.
    pub(super) fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::ToCaller { caller_conn: HANDSETS, call, message } => {
                self.on_handsets(|h, out| h.endpoint.send_to_caller(SystemTime::now(), call, &message, out));
            }
            Effect::ToCaller { caller_conn, call, message } => {
                self.say(Whose::Caller(caller_conn), &jsonl::format_caller_message(call, &message));
            }
            Effect::ToExchange { exchange_conn, call, message } => {
                self.say_to_exchange(exchange_conn, call, &message)
            }
            Effect::ToSibling(message) => self.on_handover(|handover, registry, inputs| {
                handover.say(&message, registry, inputs);
            }),
            Effect::Accept(accepting) => self.accept_or_not(accepting),
            Effect::ToOperator { request_id, reply } => self.answer_operator(request_id, &reply),
            Effect::CloseCallerConn { caller_conn } => {
                if let Some(mut connection) = self.links.remove(&caller_conn) {
                    connection.flush();
                    if !connection.is_flushed() {
                        self.closing.push((SystemTime::now() + LAST_WORDS, connection));
                    }
                }
            }
            Effect::CloseCallerConnIfIdle { caller_conn } => self.close_if_quiet(caller_conn),
            Effect::ConnectExchange { exchange_conn, number, address, .. } if self.speaks_iax2(number) => {
                let limit = self.connect_timeout;
                self.on_handsets(|h, out| {
                    h.endpoint.connect_exchange(SystemTime::now(), exchange_conn, address, limit, out)
                });
            }
            Effect::ConnectExchange { exchange_conn, address, .. } => self.dial(exchange_conn, address),
            Effect::CloseExchangeConn { exchange_conn } => match self.conns.remove(&exchange_conn) {
                Some(mut connection) => {
                    connection.flush();
                    let attempts = connection.take_written();
                    self.note_written(attempts);
                    connection.cut();
                }
                None => self.on_handsets(|h, _| h.endpoint.close_exchange(SystemTime::now(), exchange_conn)),
            },
            Effect::Reconfigure(config) => {
                let config = *config;
                self.report = config.report_field_names.into();
                self.connect_timeout = config.connect_timeout;
                let moved = ListSource { resolver: config.resolver, zones: config.zones };
                if self.source.try_send(moved).is_err() {
                    tracing::warn!("the resolver's new address came while too many others wait");
                }
            }
            Effect::Log(text) => tracing::info!("{text}"),
            Effect::Record(record) => {
                if let Some((recorder, clock)) = &mut self.recorder {
                    recorder.record(Record { at_us: clock.skewed_us(record.at_us), ..record });
                }
            }
            Effect::Exit => {
                self.done.get_or_insert(SystemTime::now() + LAST_REPEATS);
            }
        }
    }

    /// Closes a connection from callers if all that has come on it is read and nothing has begun. A set-up that
    /// waits in it unread would be lost with it.
    fn close_if_quiet(&mut self, caller_conn: CallerConnId) {
        let waiting = self.inputs.len();
        self.read_caller(caller_conn);
        if self.inputs.len() > waiting || self.links.get(&caller_conn).is_none_or(Connection::has_begun) {
            return;
        }
        let Some(mut connection) = self.links.remove(&caller_conn) else { return };
        connection.flush();
        // The reducer hears of it before anything else comes, so that it sends nothing more there.
        self.inputs.push_front(Input::CallerDisconnected { caller_conn });
        if !connection.is_flushed() {
            self.closing.push((SystemTime::now() + LAST_WORDS, connection));
        }
    }

    fn say_to_exchange(&mut self, exchange_conn: ExchangeConnId, call: CallUid, word: &ExchangeMessage) {
        let attempt = matches!(word, ExchangeMessage::SetUp { .. });
        if let Some(connection) = self.conns.get_mut(&exchange_conn) {
            let message = jsonl::format_exchange_message(call, word);
            if attempt {
                connection.count_next(message.len());
            }
            self.say(Whose::Exchange(exchange_conn), &message);
        } else {
            self.note_written(u64::from(attempt));
            self.on_handsets(|h, out| {
                h.endpoint.send_to_exchange(SystemTime::now(), exchange_conn, call, word, out)
            });
        }
    }

    /// Set-ups were written whole to an exchange.
    fn note_written(&mut self, attempts: u64) {
        if attempts > 0 {
            self.inputs.push_back(Input::AttemptsWritten { attempts });
        }
    }

    /// Queues a message; whoever lets too much pile up is cut off.
    fn say(&mut self, whose: Whose, message: &[u8]) {
        let Some(connection) = self.connection(whose) else {
            if let Whose::Caller(caller_conn) = whose {
                // Closed a moment ago: a release that was meant for it finds another way.
                self.inputs.push_back(Input::CallerMessagesUnread { caller_conn });
            }
            return;
        };
        if connection.send(message) {
            self.unsent.push(whose.token());
            return;
        }
        match whose {
            Whose::Caller(caller_conn) => {
                self.links.remove(&caller_conn);
                self.inputs.push_back(Input::CallerDisconnected { caller_conn });
            }
            Whose::Exchange(exchange_conn) => self.lose_exchange(exchange_conn),
        }
    }

    fn dial(&mut self, exchange_conn: ExchangeConnId, address: SocketAddr) {
        let until = SystemTime::now() + self.connect_timeout;
        let dialled = Connection::dial(address, until, EXCHANGE_LINE).and_then(|mut connection| {
            connection.watch(&self.registry, Whose::Exchange(exchange_conn).token())?;
            Ok(connection)
        });
        match dialled {
            Ok(connection) => {
                self.conns.insert(exchange_conn, connection);
            }
            Err(error) => {
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                self.inputs.push_back(Input::ExchangeConnectFailed { exchange_conn, refused });
            }
        }
    }
}
