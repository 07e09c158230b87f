//! The effects: sockets, threads and the one loop in which the reducer runs.
//!
//! Every thread that reads a socket turns what it reads into inputs and puts them into one bounded channel.
//! The loop takes them out one by one, runs the reducer and carries out what it asks for. It never waits for
//! a peer: writing is left to a thread for each connection.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use thiserror::Error;

use crate::config::Config;
use crate::decide::SettingsError;
use crate::engine::{CallName, CallerWord, ConnId, Effect, Engine, Front, Input, LinkId};
use connection::{Ending, Outlet, small_thread};
use jsonl::{Cut, FromCaller, FromExchange, LineError};

pub mod connection;
pub mod dns;
pub mod jsonl;

/// Inputs that may wait for the reducer; readers wait beyond that.
const WAITING: usize = 4_096;
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
    /// A connection from callers is over.
    CallerGone(LinkId),
    /// A connection to an exchange is over.
    ExchangeGone(ConnId, Ending),
}

/// A softswitch that listens but has not begun to serve.
#[derive(Debug)]
pub struct Server {
    config: Config,
    listener: TcpListener,
    inbox: Receiver<Message>,
    sender: Sender<Message>,
}

impl Server {
    /// Takes the address on which callers connect.
    ///
    /// # Errors
    /// If it cannot be had.
    pub fn bind(config: Config) -> Result<Self, ServeError> {
        let listener = TcpListener::bind(config.listen).map_err(system("listen"))?;
        let (sender, inbox) = bounded(WAITING);
        Ok(Self { config, listener, inbox, sender })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// If the system does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
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
        let Self { config, listener, inbox, sender } = self;
        let to_loop = sender.clone();
        small_thread("accept", move || accept(&listener, &to_loop)).map_err(system("accept thread"))?;
        let (names, serial, zones) = (config.names, config.serial, config.zones.clone());
        let to_loop = sender.clone();
        let follow = move || {
            let news = |list| to_loop.send(Message::Input(Input::List(list))).is_ok();
            if let Err(error) = dns::follow(names, serial, &zones, news) {
                eprintln!("swiftlb: resolver: {error}");
            }
        };
        // The message parser of the resolver keeps its work on the stack; it gets a roomier one.
        std::thread::Builder::new()
            .name("resolver".to_owned())
            .stack_size(4 * connection::STACK)
            .spawn(follow)
            .map_err(system("resolver thread"))?;
        let mut effects = Vec::new();
        let mut engine = Engine::new(&config, SystemTime::now(), &mut effects)?;
        let mut driver = Driver {
            report: config.report.into(),
            connect_timeout: config.connect_timeout,
            // Callers hold at most a third of the descriptors; the rest is for exchanges and growth.
            most_links: config.sockets / 2,
            sender,
            links: HashMap::new(),
            conns: HashMap::new(),
            last_link: 0,
            done: false,
        };
        loop {
            for effect in effects.drain(..) {
                driver.perform(effect);
            }
            if driver.done {
                drop(driver);
                std::thread::sleep(LAST_WRITES);
                return Ok(());
            }
            let message = match engine.next_wake() {
                None => inbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(at) => inbox.recv_timeout(at.duration_since(SystemTime::now()).unwrap_or_default()),
            };
            let input = match message {
                Ok(message) => driver.admit(message),
                Err(RecvTimeoutError::Timeout) => Some(Input::Wake),
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            if let Some(input) = input {
                engine.handle(SystemTime::now(), input, &mut effects);
            }
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

/// Owns every connection, and carries out what the reducer asks for.
struct Driver {
    report: Arc<[String]>,
    connect_timeout: Duration,
    most_links: usize,
    sender: Sender<Message>,
    links: HashMap<LinkId, Outlet>,
    conns: HashMap<ConnId, Outlet>,
    last_link: LinkId,
    done: bool,
}

impl Driver {
    /// What a message means to the reducer, after the books of connections are kept.
    fn admit(&mut self, message: Message) -> Option<Input> {
        match message {
            Message::Input(input) => Some(input),
            Message::Accepted(stream) => self.accepted(stream),
            Message::Dialled(conn, stream) => match connection::outlet(stream) {
                Ok(outlet) => {
                    self.conns.insert(conn, outlet);
                    Some(Input::Connected { conn })
                }
                Err(_) => Some(Input::ConnectFailed { conn, refused: false }),
            },
            Message::CallerGone(link) => {
                self.links.remove(&link);
                Some(Input::LinkDown { link })
            }
            Message::ExchangeGone(conn, ending) => {
                self.conns.remove(&conn);
                Some(Input::ConnectionLost { conn, reset: ending == Ending::Reset })
            }
        }
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
            Effect::ToCaller { link, call, word } => self.to_caller(link, call, &word),
            Effect::ToExchange { conn, call, word } => {
                if let Some(outlet) = self.conns.get(&conn) {
                    outlet.send(jsonl::write_exchange(call, &word));
                }
            }
            Effect::Connect { conn, address, .. } => self.dial(conn, address),
            Effect::Close { conn } => {
                if let Some(outlet) = self.conns.remove(&conn) {
                    outlet.cut();
                }
            }
            Effect::Trace(text) => eprintln!("swiftlb: {text}"),
            Effect::Exit => self.done = true,
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
    connection::read(stream, each);
    let _ = to_loop.send(Message::CallerGone(link));
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
