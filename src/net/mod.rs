//! The effects: sockets, threads and the one loop in which the reducer runs.
//!
//! Every thread that reads a socket turns what it reads into inputs and puts them into one bounded channel.
//! The loop takes them out one by one, runs the reducer and carries out what it asks for. It never waits for
//! a peer: writing is left to a thread for each connection.

use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use thiserror::Error;

use crate::config::Config;
use crate::decide::SettingsError;
use crate::engine::{CallName, CallerWord, ConnId, Effect, Engine, Front, Input, LinkId};
use crate::iax2::{Endpoint, Iax2Config, Output};
use crate::interface::Number;
use connection::{Ending, Outlet, small_thread};
use dns::Source;
use jsonl::{Cut, FromCaller, FromExchange, LineError};

pub mod connection;
pub mod dns;
pub mod jsonl;

/// Inputs that may wait for the reducer; readers wait beyond that.
const WAITING: usize = 4_096;
/// New addresses of the resolver that may wait for its thread, which looks ten times a second.
const MOVES: usize = 16;
/// The one link of all IAX2 callers; connections count on from it.
const HANDSETS: LinkId = 0;
/// How long the last frames on IAX2 legs are repeated at the end, if nobody acknowledges them.
const LAST_REPEATS: Duration = Duration::from_secs(1);
/// How long the last answers may take to be written at the end.
const LAST_WRITES: Duration = Duration::from_millis(50);

/// Why a softswitch cannot serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A socket or a thread cannot be had.
    #[error("{what}: {error}")]
    System {
        /// What for.
        what: &'static str,
        /// The system's word.
        error: io::Error,
    },
    /// The module makes no decisions with these settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

fn system(what: &'static str) -> impl FnOnce(io::Error) -> ServeError {
    move |error| ServeError::System { what, error }
}

/// What the threads tell the loop.
#[derive(Debug)]
pub enum Message {
    /// An input for the reducer.
    Input(Input),
    /// A caller has connected.
    Accepted(TcpStream),
    /// A connection to an exchange is up.
    Dialled(ConnId, Arc<TcpStream>),
    /// A datagram has come on the IAX2 socket, at this time.
    Datagram(SocketAddr, Vec<u8>, SystemTime),
    /// A connection from callers is over.
    CallerGone(LinkId),
    /// It broke with something unread.
    Unheard(LinkId),
    /// A connection to an exchange is over.
    ExchangeGone(ConnId, Ending),
}

/// A softswitch that listens but has not begun to serve.
#[derive(Debug)]
pub struct Server {
    config: Config,
    listener: TcpListener,
    handsets: Option<(Iax2Config, Arc<UdpSocket>)>,
    inbox: Receiver<Message>,
    sender: Sender<Message>,
}

impl Server {
    /// Takes the addresses on which callers connect; IAX2 is off without a configuration of its own.
    ///
    /// # Errors
    /// If one cannot be had.
    pub fn bind(config: Config, iax2: Option<Iax2Config>) -> Result<Self, ServeError> {
        let listener = TcpListener::bind(config.listen).map_err(system("listen"))?;
        let handsets = match iax2 {
            Some(iax2) => {
                let socket = UdpSocket::bind(iax2.listen).map_err(system("listen for IAX2"))?;
                Some((iax2, Arc::new(socket)))
            }
            None => None,
        };
        let (sender, inbox) = bounded(WAITING);
        Ok(Self { config, listener, handsets, inbox, sender })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// If the system does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Where IAX2 callers reach it; `None` where that front is off.
    pub fn handset_address(&self) -> Option<SocketAddr> {
        self.handsets.as_ref().and_then(|(_, socket)| socket.local_addr().ok())
    }

    /// A way to hand inputs in from outside, such as the order to stop.
    pub fn sender(&self) -> Sender<Message> {
        self.sender.clone()
    }

    /// Serves until it was told to stop and has answered all that it had taken.
    ///
    /// # Errors
    /// If something that it cannot do without is not to be had.
    pub fn run(self) -> Result<(), ServeError> {
        let Self { config, listener, handsets, inbox, sender } = self;
        if let Ok(address) = listener.local_addr() {
            eprintln!("swiftlb: {} serves on {address}", config.name);
        }
        if let Some(address) = handsets.as_ref().and_then(|(_, socket)| socket.local_addr().ok()) {
            eprintln!("swiftlb: IAX2 on {address}");
        }
        let to_loop = sender.clone();
        small_thread("accept", move || accept(&listener, &to_loop)).map_err(system("accept thread"))?;
        let source = follow_resolver(&config, &sender)?;
        let mut inputs = VecDeque::new();
        let handsets = match handsets {
            Some((iax2, socket)) => {
                let (reader, to_loop) = (socket.clone(), sender.clone());
                small_thread("iax2", move || read_datagrams(&reader, &to_loop))
                    .map_err(system("IAX2 thread"))?;
                inputs.push_back(Input::LinkUp { link: HANDSETS, front: Front::Handsets });
                let endpoint = Endpoint::new(iax2.clone(), HANDSETS, config.seed);
                Some(Handsets { iax2, endpoint, socket })
            }
            None => None,
        };
        let mut effects = Vec::new();
        let mut engine = Engine::new(&config, SystemTime::now(), &mut effects)?;
        let mut driver = Driver {
            report: config.report.into(),
            connect_timeout: config.connect_timeout,
            // Callers hold at most a third of the descriptors; the rest is for exchanges and growth.
            most_links: config.sockets / 2,
            source,
            sender,
            links: HashMap::new(),
            conns: HashMap::new(),
            handsets,
            last_link: HANDSETS,
            inputs,
            done: None,
        };
        loop {
            for effect in effects.drain(..) {
                driver.perform(effect);
            }
            while let Some(input) = driver.inputs.pop_front() {
                engine.handle(SystemTime::now(), input, &mut effects);
                for effect in effects.drain(..) {
                    driver.perform(effect);
                }
            }
            if driver.is_done() {
                drop(driver);
                std::thread::sleep(LAST_WRITES);
                return Ok(());
            }
            let message = match engine.next_wake().into_iter().chain(driver.next_wake()).min() {
                None => inbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(at) => inbox.recv_timeout(at.duration_since(SystemTime::now()).unwrap_or_default()),
            };
            match message {
                Ok(message) => driver.admit(message),
                Err(RecvTimeoutError::Timeout) => {
                    driver.wake();
                    driver.inputs.push_back(Input::Wake);
                }
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
    }
}

/// Starts the thread that follows the list of exchanges, and says how to tell it that the resolver has moved.
fn follow_resolver(config: &Config, sender: &Sender<Message>) -> Result<Sender<Source>, ServeError> {
    let source = Source { resolver: config.names, zones: config.zones.clone() };
    let (serial, seed, to_loop) = (config.serial, config.seed, sender.clone());
    let (mover, moves) = bounded(MOVES);
    let follow = move || {
        let news = |list| to_loop.send(Message::Input(Input::List(list))).is_ok();
        if let Err(error) = dns::follow(source, serial, seed, &moves, news) {
            eprintln!("swiftlb: resolver: {error}");
        }
    };
    // The message parser of the resolver keeps its work on the stack; it gets a roomier one.
    let builder = std::thread::Builder::new().name("resolver".to_owned()).stack_size(4 * connection::STACK);
    builder.spawn(follow).map_err(system("resolver thread"))?;
    Ok(mover)
}

fn read_datagrams(socket: &UdpSocket, to_loop: &Sender<Message>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        // An error is the echo of a datagram that a dead peer refused; the leg's own time-out sees to it.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let message = Message::Datagram(from, buffer[..length].to_vec(), SystemTime::now());
        if to_loop.send(message).is_err() {
            return;
        }
    }
}

fn accept(listener: &TcpListener, to_loop: &Sender<Message>) {
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                if to_loop.send(Message::Accepted(stream)).is_err() {
                    return;
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
            Err(error) => {
                // Out of descriptors, most likely: those that are open must end first.
                eprintln!("swiftlb: accept: {error}");
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

/// The IAX2 side: one socket and the legs on it.
struct Handsets {
    iax2: Iax2Config,
    endpoint: Endpoint,
    socket: Arc<UdpSocket>,
}

/// Owns every connection, and carries out what the reducer asks for.
struct Driver {
    report: Arc<[String]>,
    connect_timeout: Duration,
    most_links: usize,
    source: Sender<Source>,
    sender: Sender<Message>,
    links: HashMap<LinkId, Outlet>,
    conns: HashMap<ConnId, Outlet>,
    handsets: Option<Handsets>,
    last_link: LinkId,
    /// What the reducer is to be told next.
    inputs: VecDeque<Input>,
    /// Set once all is answered: when to end at the latest.
    done: Option<SystemTime>,
}

impl Driver {
    /// Keeps the books of connections and queues what a message means to the reducer.
    fn admit(&mut self, message: Message) {
        let input = match message {
            Message::Input(input) => Some(input),
            Message::Accepted(stream) => self.accepted(stream),
            Message::Dialled(conn, stream) => match connection::outlet(stream) {
                Ok(outlet) => {
                    self.conns.insert(conn, outlet);
                    Some(Input::Connected { conn })
                }
                Err(_) => Some(Input::ConnectFailed { conn, refused: false }),
            },
            Message::Datagram(from, bytes, received) => {
                self.on_handsets(|h, out| h.endpoint.receive(received, from, &bytes, out));
                None
            }
            Message::CallerGone(link) => {
                self.links.remove(&link);
                Some(Input::LinkDown { link })
            }
            Message::Unheard(link) => Some(Input::Unheard { link }),
            Message::ExchangeGone(conn, ending) => {
                self.conns.remove(&conn);
                Some(Input::ConnectionLost { conn, reset: ending == Ending::Reset })
            }
        };
        self.inputs.extend(input);
    }

    /// When the legs of the IAX2 side, or the end, want to be seen to.
    fn next_wake(&self) -> Option<SystemTime> {
        let legs = self.handsets.as_ref().and_then(|h| h.endpoint.next_wake());
        legs.into_iter().chain(self.done).min()
    }

    /// Whether the program may end: all is answered, and IAX2 peers have it or had the time to ask again.
    fn is_done(&self) -> bool {
        let heard = self.handsets.as_ref().is_none_or(|h| h.endpoint.all_heard());
        self.done.is_some_and(|until| heard || until <= SystemTime::now())
    }

    fn wake(&mut self) {
        self.on_handsets(|h, out| h.endpoint.wake(SystemTime::now(), out));
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

    /// Whether a way to an exchange goes over IAX2.
    fn speaks_iax2(&self, number: Number) -> bool {
        self.handsets.as_ref().is_some_and(|h| h.iax2.speaks(number))
    }

    fn accepted(&mut self, stream: TcpStream) -> Option<Input> {
        if self.links.len() >= self.most_links {
            eprintln!("swiftlb: more connections from callers than are allowed, one closed");
            return None;
        }
        self.last_link += 1;
        let link = self.last_link;
        let stream = Arc::new(stream);
        let to_loop = self.sender.clone();
        let reader = stream.clone();
        let outlet = connection::outlet(stream).ok()?;
        small_thread("caller", move || read_caller(link, &reader, &to_loop)).ok()?;
        self.links.insert(link, outlet);
        Some(Input::LinkUp { link, front: Front::Platform })
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::ToCaller { link: HANDSETS, call, word } => {
                self.on_handsets(|h, out| h.endpoint.to_caller(SystemTime::now(), call, &word, out));
            }
            Effect::ToCaller { link, call, word } => self.to_caller(link, call, &word),
            Effect::ToExchange { conn, call, word } => match self.conns.get(&conn) {
                Some(outlet) => outlet.send(jsonl::write_exchange(call, &word)),
                None => {
                    self.on_handsets(|h, out| h.endpoint.to_node(SystemTime::now(), conn, call, &word, out));
                }
            },
            Effect::Connect { conn, number, address, .. } if self.speaks_iax2(number) => {
                let limit = self.connect_timeout;
                self.on_handsets(|h, out| h.endpoint.connect(SystemTime::now(), conn, address, limit, out));
            }
            Effect::Connect { conn, address, .. } => self.dial(conn, address),
            Effect::Close { conn } => match self.conns.remove(&conn) {
                Some(outlet) => outlet.cut(),
                None => self.on_handsets(|h, _| h.endpoint.close(SystemTime::now(), conn)),
            },
            Effect::Reconfigure(config) => {
                let config = *config;
                self.report = config.report.into();
                self.connect_timeout = config.connect_timeout;
                self.most_links = config.sockets / 2;
                let moved = Source { resolver: config.names, zones: config.zones };
                if self.source.try_send(moved).is_err() {
                    eprintln!("swiftlb: the resolver's new address came while too many others wait");
                }
            }
            Effect::Trace(text) => eprintln!("swiftlb: {text}"),
            Effect::Exit => {
                self.done.get_or_insert(SystemTime::now() + LAST_REPEATS);
            }
        }
    }

    fn to_caller(&self, link: LinkId, call: CallName, word: &CallerWord) {
        if let Some(outlet) = self.links.get(&link) {
            outlet.send(jsonl::write_caller(call, word));
        }
    }

    /// Dials on a thread of its own, which then reads the connection.
    fn dial(&self, conn: ConnId, address: SocketAddr) {
        let (to_loop, report, timeout) = (self.sender.clone(), self.report.clone(), self.connect_timeout);
        let dial = move || match TcpStream::connect_timeout(&address, timeout) {
            Ok(stream) => {
                let stream = Arc::new(stream);
                if to_loop.send(Message::Dialled(conn, stream.clone())).is_ok() {
                    read_exchange(conn, &stream, &report, &to_loop);
                }
            }
            Err(error) => {
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                // The loop has ended if nobody takes this, and with it the need for the connection.
                let _ = to_loop.send(Message::Input(Input::ConnectFailed { conn, refused }));
            }
        };
        if small_thread("exchange", dial).is_err() {
            eprintln!("swiftlb: no thread left to reach an exchange");
            // Said from here the channel could be full and wait for this very loop; the time-out of the
            // attempts that wait for this connection ends them.
        }
    }
}

fn read_caller(link: LinkId, stream: &TcpStream, to_loop: &Sender<Message>) {
    let each = |cut: Cut, received: SystemTime| {
        let read = match &cut {
            Cut::Whole(line) => jsonl::read_caller(line, received),
            Cut::TooLong(start) => {
                Err(jsonl::named_call(start).map_or(LineError::Unreadable, LineError::Call))
            }
        };
        let input = match read {
            Ok(FromCaller::SetUp(call, setup)) => Input::SetUp { link, call, setup },
            Ok(FromCaller::Stop(call, cause)) => Input::HangUp { call, cause },
            Ok(FromCaller::Check(call)) => Input::Check { link, call },
            Ok(FromCaller::Nothing) => return,
            Err(LineError::Call(call)) => Input::Malformed { link, call },
            Err(LineError::Unreadable) => {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        };
        let _ = to_loop.send(Message::Input(input));
    };
    let ending = connection::read(stream, each);
    let _ = to_loop.send(Message::CallerGone(link));
    if ending == Ending::Reset || connection::unread(stream) {
        let _ = to_loop.send(Message::Unheard(link));
    }
}

fn read_exchange(conn: ConnId, stream: &TcpStream, report: &[String], to_loop: &Sender<Message>) {
    let each = |cut: Cut, _| {
        let read = match &cut {
            Cut::Whole(line) => jsonl::read_exchange(line, report),
            Cut::TooLong(_) => Err(LineError::Unreadable),
        };
        let input = match read {
            Ok(FromExchange::Answer(call, description)) => Input::Answered { conn, call, description },
            Ok(FromExchange::Stop(call, outcome, reason)) => Input::Ended { conn, call, outcome, reason },
            Ok(FromExchange::Usage(report)) => Input::GroupState { conn, report },
            Ok(FromExchange::Checked(passed, report)) => Input::Tested { conn, passed, report },
            Ok(FromExchange::Nothing) => return,
            // An answer that cannot be read is no answer; the call's time-out ends it.
            Err(LineError::Call(_)) => return,
            Err(LineError::Unreadable) => {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        };
        let _ = to_loop.send(Message::Input(input));
    };
    let ending = connection::read(stream, each);
    let _ = to_loop.send(Message::ExchangeGone(conn, ending));
}
