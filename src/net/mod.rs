//! The effects: sockets, threads and the one loop in which the reducer runs.
//!
//! One thread waits for all connections at once. It turns what comes on one into inputs, runs the reducer on
//! each and carries out what it asks for, and never waits for a peer. What is no connection (signals, the
//! resolver, datagrams of IAX2) has a thread of its own, which puts its messages into one bounded channel.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crossbeam_channel::{Receiver, SendError, Sender, bounded};
use mio::{Events, Poll, Waker};
use swiftlb_record::{FileHeader, Recorder, RecorderError};
use thiserror::Error;

use crate::config::Config;
use crate::decide::SettingsError;
use crate::edge::EdgeSettings;
use crate::engine::{Engine, Front, HandoverState, Input};
use crate::iax2::{Endpoint, Iax2Config};
use connection::spawn_small_thread;
use dns::ListSource;
use driver::{Driver, HANDSETS, Handsets};
use handover::{Handover, PredecessorConn};
use operator::OperatorServer;

pub mod connection;
pub mod dns;
mod driver;
pub mod handover;
pub mod jsonl;
mod operator;

/// Messages of other threads that may wait for the loop; their senders wait beyond that.
const WAITING: usize = 512;
/// New addresses of the resolver that may wait for its thread, which looks ten times a second.
const MOVES: usize = 16;
/// Events that are taken from the system at once.
const EVENTS: usize = 256;
/// Time between two tries to have the address of IAX2, where another process still has it.
const BIND_AGAIN: Duration = Duration::from_millis(100);
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
    /// Records were asked for and cannot be kept.
    #[error(transparent)]
    Records(#[from] RecorderError),
}

fn system(what: &'static str) -> impl FnOnce(io::Error) -> ServeError {
    move |error| ServeError::System { what, error }
}

/// What other threads tell the loop.
#[derive(Debug)]
pub enum LoopMessage {
    /// An input for the reducer.
    Input(Input),
    /// A datagram has come on the IAX2 socket, at this time.
    Datagram(SocketAddr, Vec<u8>, SystemTime),
}

/// The way into the loop for other threads.
#[derive(Clone, Debug)]
pub struct LoopSender {
    sender: Sender<LoopMessage>,
    waker: Arc<Waker>,
}

impl LoopSender {
    /// Hands a message to the loop; waits while too many others do.
    ///
    /// # Errors
    /// If the loop has ended.
    pub fn send(&self, message: LoopMessage) -> Result<(), Box<SendError<LoopMessage>>> {
        self.sender.send(message)?;
        // Fails only once the loop and its poll are gone.
        let _ = self.waker.wake();
        Ok(())
    }
}

/// A softswitch that listens but has not begun to serve.
#[derive(Debug)]
pub struct Server {
    config: Config,
    listener: TcpListener,
    door: Option<TcpListener>,
    /// The front for IAX2, and its socket; none where another process still has the address.
    handsets: Option<(Iax2Config, Option<UdpSocket>)>,
    poll: Poll,
    messages: Receiver<LoopMessage>,
    loop_sender: LoopSender,
    succession: Option<Succession>,
    edge: EdgeSettings,
}

/// How it came to its listening socket, where another process may take its place or it takes another's.
#[derive(Debug)]
struct Succession {
    place: PathBuf,
    handed: Option<(PredecessorConn, HandoverState)>,
}

impl Server {
    /// Takes the addresses on which callers connect; IAX2 is off without a configuration of its own.
    ///
    /// # Errors
    /// If one cannot be had.
    pub fn bind(config: Config, iax2: Option<Iax2Config>) -> Result<Self, ServeError> {
        let listener = TcpListener::bind(config.listen).map_err(system("listen"))?;
        Self::on(listener, false, config, iax2)
    }

    /// Takes a listening socket that was inherited, and the place of the process that serves on it now, if one
    /// is met in this folder. Whatever goes wrong at that, this is then a start like any other.
    ///
    /// # Errors
    /// If another address cannot be had.
    pub fn from_inherited(
        listener: TcpListener,
        folder: &Path,
        config: Config,
        iax2: Option<Iax2Config>,
    ) -> Result<Self, ServeError> {
        let place = handover::socket_path(folder, listener.local_addr().map_err(system("listen"))?);
        let handed = match handover::request_handover(&place) {
            Ok(handed) => Some(handed),
            Err(error) if matches!(error.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => None,
            Err(error) => {
                tracing::warn!(%error, "nothing can be taken over");
                None
            }
        };
        // The seed is that of the process before: random choices, and ids that are made from them, must differ.
        let now =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        let seed = config.seed.rotate_left(17) ^ now ^ (u64::from(std::process::id()) << 32);
        let server = Self::on(listener, true, Config { seed, ..config }, iax2)?;
        Ok(Self { succession: Some(Succession { place, handed }), ..server })
    }

    fn on(
        listener: TcpListener,
        inherited: bool,
        config: Config,
        iax2: Option<Iax2Config>,
    ) -> Result<Self, ServeError> {
        listener.set_nonblocking(true).map_err(system("listen"))?;
        let door =
            config.operator.map(OperatorServer::bind).transpose().map_err(system("listen for operators"))?;
        let handsets = match iax2 {
            Some(iax2) => {
                let socket = match UdpSocket::bind(iax2.listen) {
                    Err(error) if inherited && error.kind() == ErrorKind::AddrInUse => None,
                    socket => Some(socket.map_err(system("listen for IAX2"))?),
                };
                Some((iax2, socket))
            }
            None => None,
        };
        let poll = Poll::new().map_err(system("poll"))?;
        let waker = Arc::new(Waker::new(poll.registry(), driver::WAKER).map_err(system("waker"))?);
        let (sender, messages) = bounded(WAITING);
        Ok(Self {
            config,
            listener,
            door,
            handsets,
            poll,
            messages,
            loop_sender: LoopSender { sender, waker },
            succession: None,
            edge: EdgeSettings::default(),
        })
    }

    /// Serves with what is switched on beyond the platform's configuration.
    #[must_use]
    pub fn with_edge(self, edge: EdgeSettings) -> Self {
        Self { edge, ..self }
    }

    /// Where it listens.
    ///
    /// # Errors
    /// If the system does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Where operators reach it; `None` where there is no door for them.
    pub fn operator_address(&self) -> Option<SocketAddr> {
        self.door.as_ref().and_then(|door| door.local_addr().ok())
    }

    /// Where IAX2 callers reach it; `None` where that front is off.
    pub fn iax2_address(&self) -> Option<SocketAddr> {
        self.handsets.as_ref().and_then(|(_, socket)| socket.as_ref()?.local_addr().ok())
    }

    /// A way to hand inputs in from outside, such as the order to stop.
    pub fn loop_sender(&self) -> LoopSender {
        self.loop_sender.clone()
    }

    /// Serves until it was told to stop and has answered all that it had taken.
    ///
    /// # Errors
    /// If something that it cannot do without is not to be had.
    pub fn run(self) -> Result<(), ServeError> {
        let Self { mut config, listener, door, handsets, mut poll, messages, loop_sender, succession, edge } =
            self;
        if let Ok(address) = listener.local_addr() {
            tracing::info!(name = config.name, %address, "serves");
        }
        if let Some(address) = door.as_ref().and_then(|door| door.local_addr().ok()) {
            tracing::info!(%address, "operators");
        }
        let (place, handed) = succession.map_or((None, None), |s| (Some(s.place), s.handed));
        let (handed, inheritance) = handed.unzip();
        if let Some(inheritance) = &inheritance {
            tracing::info!(exchanges = inheritance.list.len(), "takes the place of another process");
            config.list_serial = inheritance.serial;
        }
        let source = follow_resolver(&config, &loop_sender)?;
        let mut inputs = VecDeque::new();
        // Another process still has the address of IAX2: it is tried for until that one is gone.
        let (handsets, mut awaited) = match handsets {
            Some((iax2, Some(socket))) => {
                (Some(open_handsets(iax2, socket, config.seed, &loop_sender)?), None)
            }
            Some((iax2, None)) => (None, Some((iax2, SystemTime::now()))),
            None => (None, None),
        };
        if handsets.is_some() {
            inputs.push_back(Input::CallerConnected { caller_conn: HANDSETS, front: Front::Iax2 });
        }
        let mut effects = Vec::new();
        let now = SystemTime::now();
        let inherited = inheritance.is_some();
        let mut engine = match inheritance {
            Some(inheritance) => Engine::take_over(&config, inheritance, now, &mut effects)?,
            None => Engine::new(&config, now, &mut effects)?,
        };
        let recorder = start_recorder(&config, &edge, now)?;
        if recorder.is_some() {
            engine.start_recording(inherited, &mut effects);
        }
        let registry = poll.registry().try_clone().map_err(system("poll"))?;
        let handover = place.map(|place| Handover::new(place, handed, &registry, &mut inputs));
        let listener = mio::net::TcpListener::from_std(listener);
        let door = door
            .map(|door| OperatorServer::open(door, &registry, edge.fleet_endpoint))
            .transpose()
            .map_err(system("listen for operators"))?;
        let mut driver = Driver::new(&config, listener, (door, handover), registry, source, handsets, inputs)
            .map_err(system("listen"))?;
        if let Some(recorder) = recorder {
            driver.record(recorder, edge.clock_skew.start_clock(now));
        }
        let mut events = Events::with_capacity(EVENTS);
        for effect in effects.drain(..) {
            driver.perform(effect);
        }
        let mut turn = |driver: &mut Driver| {
            while let Some(input) = driver.next_input() {
                engine.handle(SystemTime::now(), input, &mut effects);
                for effect in effects.drain(..) {
                    driver.perform(effect);
                }
            }
            engine.next_wake()
        };
        loop {
            let wake = turn(&mut driver);
            driver.flush();
            if driver.is_done() {
                driver.finish(LAST_WRITES);
                return Ok(());
            }
            if let Some((iax2, at)) = awaited.take_if(|(_, at)| *at <= SystemTime::now()) {
                match UdpSocket::bind(iax2.listen) {
                    Ok(socket) => {
                        driver.begin_handsets(open_handsets(iax2, socket, config.seed, &loop_sender)?)
                    }
                    Err(_) => awaited = Some((iax2, at + BIND_AGAIN)),
                }
            }
            let again = awaited.as_ref().map(|(_, at)| *at);
            let wake = wake.into_iter().chain(driver.next_wake()).chain(again).min();
            let wait = wake.map(|at| at.duration_since(SystemTime::now()).unwrap_or_default());
            match poll.poll(&mut events, wait) {
                Err(error) if error.kind() != ErrorKind::Interrupted => {
                    return Err(ServeError::System { what: "poll", error });
                }
                _ => {}
            }
            // Operators first: they are owed an answer whatever callers do.
            // The reducer runs after each connection, so that none can pile up inputs before the others.
            for event in events.iter().filter(|event| OperatorServer::owns(event.token())) {
                driver.on_event(event.token());
                turn(&mut driver);
            }
            for event in events.iter().filter(|event| !OperatorServer::owns(event.token())) {
                driver.on_event(event.token());
                turn(&mut driver);
            }
            for message in messages.try_iter().take(WAITING) {
                driver.admit(message);
                turn(&mut driver);
            }
            for token in driver.take_ready() {
                driver.on_event(token);
                turn(&mut driver);
            }
            driver.wake();
        }
    }
}

/// Begins to keep records, where that is switched on. What ends them later is a line of the log and no more.
fn start_recorder(
    config: &Config,
    edge: &EdgeSettings,
    now: SystemTime,
) -> Result<Option<Recorder>, ServeError> {
    let Some(settings) = edge.records.clone() else { return Ok(None) };
    let run_started_us = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let head = FileHeader {
        softswitch: config.name.clone(),
        home: config.settings.home,
        run_started_us,
        file_number: 0,
    };
    tracing::info!(directory = %settings.directory.display(), "records");
    let trouble = |error: &RecorderError| tracing::error!(%error, "recording has stopped");
    Ok(Some(Recorder::start(settings, head, trouble)?))
}

/// The IAX2 side on its socket, read by a thread of its own.
fn open_handsets(
    iax2: Iax2Config,
    socket: UdpSocket,
    seed: u64,
    loop_sender: &LoopSender,
) -> Result<Handsets, ServeError> {
    if let Ok(address) = socket.local_addr() {
        tracing::info!(%address, "IAX2");
    }
    let socket = Arc::new(socket);
    let (reader, loop_sender) = (socket.clone(), loop_sender.clone());
    spawn_small_thread("iax2", move || read_datagrams(&reader, &loop_sender))
        .map_err(system("IAX2 thread"))?;
    let endpoint = Endpoint::new(iax2.clone(), HANDSETS, seed);
    Ok(Handsets { iax2, endpoint, socket })
}

/// Starts the thread that follows the list of exchanges, and says how to tell it that the resolver has moved.
fn follow_resolver(config: &Config, loop_sender: &LoopSender) -> Result<Sender<ListSource>, ServeError> {
    let source = ListSource { resolver: config.resolver, zones: config.zones.clone() };
    let (serial, seed, loop_sender) = (config.list_serial, config.seed, loop_sender.clone());
    let (mover, moves) = bounded(MOVES);
    let follow = move || {
        let tell = |input| loop_sender.send(LoopMessage::Input(input)).is_ok();
        let news = |serial, list: Option<_>| {
            list.is_none_or(|list| tell(Input::List(list))) && tell(Input::ListConfirmed { serial })
        };
        if let Err(error) = dns::follow_list(source, serial, seed, &moves, news) {
            tracing::error!(%error, "the resolver cannot be followed");
        }
    };
    // The message parser of the resolver keeps its work on the stack; it gets a roomier one.
    let builder = std::thread::Builder::new().name("resolver".to_owned()).stack_size(4 * connection::STACK);
    builder.spawn(follow).map_err(system("resolver thread"))?;
    Ok(mover)
}

fn read_datagrams(socket: &UdpSocket, loop_sender: &LoopSender) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        // An error is the echo of a datagram that a dead peer refused; the leg's own time-out sees to it.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let message = LoopMessage::Datagram(from, buffer[..length].to_vec(), SystemTime::now());
        if loop_sender.send(message).is_err() {
            return;
        }
    }
}
