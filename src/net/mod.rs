//! Network I/O: the sockets, the helper threads and the event loop that runs the reducer.
//!
//! One thread polls all TCP and Unix sockets. It turns received data into inputs, runs the reducer on each input and
//! performs the resulting effects; it never blocks on a remote end. Signals, the resolver and IAX2 datagrams have
//! a thread each; these threads send messages to the loop through one bounded channel.

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
use driver::{Driver, IAX2_CONN, Iax2Front};
use handover::{Handover, PredecessorConn};
use operator::OperatorServer;

pub mod buffer_limits;
pub mod connection;
pub mod dns;
mod driver;
pub mod handover;
pub mod jsonl;
mod operator;
pub mod read_queue;

/// Maximum number of messages queued for the event loop; senders block while the queue is full.
const MAX_QUEUED_MESSAGES: usize = 512;
/// Maximum number of queued address changes of the resolver. The resolver thread reads them ten times a second.
const MAX_QUEUED_SOURCES: usize = 16;
/// Time for which callers are read before the poll runs again, so that exchanges and operators do not wait for longer.
const CALLER_READ_TIME: Duration = Duration::from_millis(4);
/// Maximum number of events per poll.
const MAX_POLL_EVENTS: usize = 256;
/// Time between attempts to bind the IAX2 address while another process still holds it.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for writing the last messages before the process exits.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(50);
/// Size of the receive buffer for IAX2 datagrams; no UDP datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Time before the next receive from the IAX2 socket after an error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Why a softswitch cannot start or has to stop serving.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A system call for a socket, the poll or a thread failed.
    #[error("cannot {what}: {error}")]
    System {
        /// What the call was for.
        what: &'static str,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The decision module rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Recording is enabled and cannot be started.
    #[error(transparent)]
    Records(#[from] RecorderError),
}

fn io_error(what: &'static str) -> impl FnOnce(io::Error) -> ServeError {
    move |error| ServeError::System { what, error }
}

/// Message from another thread to the event loop.
#[derive(Debug)]
pub enum LoopMessage {
    /// An input for the reducer.
    Input(Input),
    /// A datagram from the IAX2 socket: sender, content and time of arrival.
    Datagram(SocketAddr, Vec<u8>, SystemTime),
}

/// Sends messages from other threads to the event loop.
#[derive(Clone, Debug)]
pub struct LoopSender {
    sender: Sender<LoopMessage>,
    waker: Arc<Waker>,
}

impl LoopSender {
    /// Sends a message to the event loop; blocks while its queue is full.
    ///
    /// # Errors
    /// If the loop has ended.
    pub fn send(&self, message: LoopMessage) -> Result<(), Box<SendError<LoopMessage>>> {
        self.sender.send(message)?;
        // Fails only if the loop and its poll no longer exist.
        let _ = self.waker.wake();
        Ok(())
    }
}

/// A softswitch whose sockets are bound but which does not serve yet.
#[derive(Debug)]
pub struct Server {
    config: Config,
    listener: TcpListener,
    operator_listener: Option<TcpListener>,
    /// Configuration of the IAX2 front and its socket; no socket while another process holds the address.
    iax2_front: Option<(Iax2Config, Option<UdpSocket>)>,
    poll: Poll,
    messages: Receiver<LoopMessage>,
    loop_sender: LoopSender,
    handover: Option<HandoverSetup>,
    edge: EdgeSettings,
}

/// Handover of a process with an inherited listening socket: it may replace another process, and may be replaced
/// itself.
#[derive(Debug)]
struct HandoverSetup {
    socket_path: PathBuf,
    predecessor: Option<(PredecessorConn, HandoverState)>,
}

impl Server {
    /// Binds the addresses on which callers connect; without an IAX2 configuration that front is off.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn bind(config: Config, iax2: Option<Iax2Config>) -> Result<Self, ServeError> {
        let listener = TcpListener::bind(config.listen).map_err(io_error("listen"))?;
        Self::from_listener(listener, false, config, iax2)
    }

    /// Uses an inherited listening socket and requests a handover from the process that serves on it now, if its
    /// Unix socket exists in `directory`. If the handover fails, this is an ordinary start.
    ///
    /// # Errors
    /// If one of the other addresses cannot be bound.
    pub fn from_inherited(
        listener: TcpListener,
        directory: &Path,
        config: Config,
        iax2: Option<Iax2Config>,
    ) -> Result<Self, ServeError> {
        let socket_path =
            handover::socket_path(directory, listener.local_addr().map_err(io_error("listen"))?);
        let predecessor = match handover::request_handover(&socket_path) {
            Ok(predecessor) => Some(predecessor),
            Err(error) if matches!(error.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => None,
            Err(error) => {
                tracing::warn!(%error, "handover from the running process failed; starting without its state");
                None
            }
        };
        // The configured seed is also the predecessor's. Both processes run at the same time, so their random choices
        // and the ids generated from them must differ.
        let now =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        let seed = config.seed.rotate_left(17) ^ now ^ (u64::from(std::process::id()) << 32);
        let server = Self::from_listener(listener, true, Config { seed, ..config }, iax2)?;
        Ok(Self { handover: Some(HandoverSetup { socket_path, predecessor }), ..server })
    }

    fn from_listener(
        listener: TcpListener,
        inherited: bool,
        config: Config,
        iax2: Option<Iax2Config>,
    ) -> Result<Self, ServeError> {
        listener.set_nonblocking(true).map_err(io_error("listen"))?;
        let operator_listener = config
            .operator
            .map(OperatorServer::bind)
            .transpose()
            .map_err(io_error("listen for operators"))?;
        let iax2_front = match iax2 {
            Some(iax2) => {
                let socket = match UdpSocket::bind(iax2.listen) {
                    Err(error) if inherited && error.kind() == ErrorKind::AddrInUse => None,
                    socket => Some(socket.map_err(io_error("listen for IAX2"))?),
                };
                Some((iax2, socket))
            }
            None => None,
        };
        let poll = Poll::new().map_err(io_error("create the poll"))?;
        let waker = Arc::new(
            Waker::new(poll.registry(), driver::WAKER).map_err(io_error("create the waker of the poll"))?,
        );
        let (sender, messages) = bounded(MAX_QUEUED_MESSAGES);
        Ok(Self {
            config,
            listener,
            operator_listener,
            iax2_front,
            poll,
            messages,
            loop_sender: LoopSender { sender, waker },
            handover: None,
            edge: EdgeSettings::default(),
        })
    }

    /// Sets the settings of the optional subsystems.
    #[must_use]
    pub fn with_edge(self, edge: EdgeSettings) -> Self {
        Self { edge, ..self }
    }

    /// Address that callers connect to.
    ///
    /// # Errors
    /// If the operating system does not return it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Address of the operators' HTTP server; `None` if there is none.
    pub fn operator_address(&self) -> Option<SocketAddr> {
        self.operator_listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Address of the IAX2 front; `None` if it is off or its address is not bound yet.
    pub fn iax2_address(&self) -> Option<SocketAddr> {
        self.iax2_front.as_ref().and_then(|(_, socket)| socket.as_ref()?.local_addr().ok())
    }

    /// Sender of messages to the event loop, for example the request to stop.
    pub fn loop_sender(&self) -> LoopSender {
        self.loop_sender.clone()
    }

    /// Serves until a stop was requested and no call delays the exit any more.
    ///
    /// # Errors
    /// If a required socket, thread or recorder fails, or the settings are rejected.
    pub fn run(self) -> Result<(), ServeError> {
        let Self {
            mut config,
            listener,
            operator_listener,
            iax2_front,
            mut poll,
            messages,
            loop_sender,
            handover,
            edge,
        } = self;
        if let Ok(address) = listener.local_addr() {
            tracing::info!(name = config.name, %address, "serves");
        }
        if let Some(address) = operator_listener.as_ref().and_then(|listener| listener.local_addr().ok()) {
            tracing::info!(%address, "operators");
        }
        let (socket_path, predecessor) =
            handover.map_or((None, None), |s| (Some(s.socket_path), s.predecessor));
        let (predecessor, handover_state) = predecessor.unzip();
        if let Some(handover_state) = &handover_state {
            tracing::info!(exchanges = handover_state.list.len(), "takes the place of another process");
            config.list_serial = handover_state.serial;
        }
        let source_sender = start_resolver_thread(&config, &loop_sender)?;
        let mut inputs = VecDeque::new();
        // While another process still holds the IAX2 address, binding is retried until that process exits.
        let (iax2_front, mut unbound_iax2) = match iax2_front {
            Some((iax2, Some(socket))) => {
                (Some(open_iax2_front(iax2, socket, config.seed, &loop_sender)?), None)
            }
            Some((iax2, None)) => (None, Some((iax2, SystemTime::now()))),
            None => (None, None),
        };
        if iax2_front.is_some() {
            inputs.push_back(Input::CallerConnected { caller_conn: IAX2_CONN, front: Front::Iax2 });
        }
        let mut effects = Vec::new();
        let now = SystemTime::now();
        let is_replacement = handover_state.is_some();
        let mut engine = match handover_state {
            Some(handover_state) => Engine::take_over(&config, handover_state, now, &mut effects)?,
            None => Engine::new(&config, now, &mut effects)?,
        };
        let recorder = start_recorder(&config, &edge, now)?;
        // The log prints the recorded events at this level.
        if recorder.is_some() || tracing::enabled!(tracing::Level::DEBUG) {
            engine.start_recording(is_replacement, &mut effects);
        }
        let registry = poll.registry().try_clone().map_err(io_error("poll"))?;
        let handover =
            socket_path.map(|socket_path| Handover::new(socket_path, predecessor, &registry, &mut inputs));
        let listener = mio::net::TcpListener::from_std(listener);
        let operator_server = operator_listener
            .map(|listener| OperatorServer::new(listener, &registry, edge.fleet_endpoint))
            .transpose()
            .map_err(io_error("listen for operators"))?;
        let mut driver = Driver::new(
            &config,
            listener,
            (operator_server, handover),
            registry,
            source_sender,
            iax2_front,
            inputs,
        )
        .map_err(io_error("listen"))?;
        if let Some(recorder) = recorder {
            driver.set_recorder(recorder, edge.clock_skew.start_clock(now));
        }
        let mut events = Events::with_capacity(MAX_POLL_EVENTS);
        for effect in effects.drain(..) {
            driver.perform(effect);
        }
        let mut run_reducer = |driver: &mut Driver, engine: &mut Engine| {
            while driver.has_input() {
                let now = SystemTime::now();
                // Timers go first, while the driver still sees the input: it closes no connection that the input is from.
                if engine.next_wake().is_some_and(|at| at <= now) {
                    engine.handle(now, Input::Wake, &mut effects);
                    effects.drain(..).for_each(|effect| driver.perform(effect));
                }
                let Some(input) = driver.next_input() else { break };
                engine.handle(now, input, &mut effects);
                effects.drain(..).for_each(|effect| driver.perform(effect));
            }
            engine.next_wake()
        };
        loop {
            let mut wake = run_reducer(&mut driver, &mut engine);
            if engine.may_exit() {
                driver.close_callers_for_exit();
                wake = run_reducer(&mut driver, &mut engine);
            } else {
                driver.postpone_exit();
            }
            driver.flush();
            if driver.is_done() && engine.may_exit() {
                tracing::info!("exits");
                driver.flush_and_stop(FINAL_WRITE_TIMEOUT);
                return Ok(());
            }
            if let Some((iax2, at)) = unbound_iax2.take_if(|(_, at)| *at <= SystemTime::now()) {
                match UdpSocket::bind(iax2.listen) {
                    Ok(socket) => {
                        driver.start_iax2(open_iax2_front(iax2, socket, config.seed, &loop_sender)?)
                    }
                    Err(_) => unbound_iax2 = Some((iax2, at + BIND_RETRY_DELAY)),
                }
            }
            let bind_retry_at = unbound_iax2.as_ref().map(|(_, at)| *at);
            let wake = wake.into_iter().chain(driver.next_timeout()).chain(bind_retry_at).min();
            let wait = wake.map(|at| at.duration_since(SystemTime::now()).unwrap_or_default());
            match poll.poll(&mut events, wait) {
                Err(error) if error.kind() != ErrorKind::Interrupted => {
                    return Err(ServeError::System { what: "poll", error });
                }
                _ => {}
            }
            // Operators' requests come first, so that load from callers cannot delay them.
            // The reducer runs after each connection, so that no connection can queue inputs ahead of the others. Callers
            // are only registered here and read below.
            for event in events.iter().filter(|event| OperatorServer::owns(event.token())) {
                driver.handle_event(event.token());
                run_reducer(&mut driver, &mut engine);
            }
            for event in events.iter().filter(|event| !OperatorServer::owns(event.token())) {
                if event.is_read_closed() {
                    driver.mark_remote_closed(event.token());
                }
                driver.handle_event(event.token());
                run_reducer(&mut driver, &mut engine);
            }
            for message in messages.try_iter().take(MAX_QUEUED_MESSAGES) {
                driver.handle_message(message);
                run_reducer(&mut driver, &mut engine);
            }
            for token in driver.take_readable() {
                driver.handle_event(token);
                run_reducer(&mut driver, &mut engine);
            }
            let reads_end = SystemTime::now() + CALLER_READ_TIME;
            while driver.read_next_caller() {
                run_reducer(&mut driver, &mut engine);
                if SystemTime::now() >= reads_end {
                    break;
                }
            }
            driver.enforce_buffer_limits();
            driver.handle_timeouts();
        }
    }
}

/// Starts the recorder if recording is enabled. A later failure only ends recording and is logged.
fn start_recorder(
    config: &Config,
    edge: &EdgeSettings,
    now: SystemTime,
) -> Result<Option<Recorder>, ServeError> {
    let Some(settings) = edge.records.clone() else { return Ok(None) };
    let run_started_us = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let header = FileHeader {
        softswitch: config.name.clone(),
        home: config.settings.home,
        run_started_us,
        file_number: 0,
    };
    tracing::info!(directory = %settings.directory.display(), "recording");
    let log_error = |error: &RecorderError| tracing::error!(%error, "recording has stopped");
    Ok(Some(Recorder::start(settings, header, log_error)?))
}

/// Starts the IAX2 front on this socket, with a thread that receives its datagrams.
fn open_iax2_front(
    iax2: Iax2Config,
    socket: UdpSocket,
    seed: u64,
    loop_sender: &LoopSender,
) -> Result<Iax2Front, ServeError> {
    if let Ok(address) = socket.local_addr() {
        tracing::info!(%address, "IAX2 front listens");
    }
    let socket = Arc::new(socket);
    let (reader, loop_sender) = (socket.clone(), loop_sender.clone());
    spawn_small_thread("iax2", move || read_datagrams(&reader, &loop_sender))
        .map_err(io_error("start the IAX2 thread"))?;
    let endpoint = Endpoint::new(iax2.clone(), IAX2_CONN, seed);
    Ok(Iax2Front { config: iax2, endpoint, socket })
}

/// Starts the thread that fetches the list of exchanges; the returned sender tells it a new resolver address.
fn start_resolver_thread(
    config: &Config,
    loop_sender: &LoopSender,
) -> Result<Sender<ListSource>, ServeError> {
    let source = ListSource { resolver: config.resolver, zones: config.zones.clone() };
    let (serial, seed, loop_sender) = (config.list_serial, config.seed, loop_sender.clone());
    let (source_sender, source_changes) = bounded(MAX_QUEUED_SOURCES);
    let run = move || {
        let send = |input| loop_sender.send(LoopMessage::Input(input)).is_ok();
        let on_list = |serial, list: Option<_>| {
            list.is_none_or(|list| send(Input::List(list))) && send(Input::ListConfirmed { serial })
        };
        if let Err(error) = dns::follow_list(source, serial, seed, &source_changes, on_list) {
            tracing::error!(%error, "cannot query the resolver; the list of exchanges is no longer updated");
        }
    };
    // The DNS message parser keeps its working data on the stack, so this thread needs a larger one.
    let builder = std::thread::Builder::new()
        .name("resolver".to_owned())
        .stack_size(4 * connection::THREAD_STACK_BYTES);
    builder.spawn(run).map_err(io_error("start the resolver thread"))?;
    Ok(source_sender)
}

fn read_datagrams(socket: &UdpSocket, loop_sender: &LoopSender) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // The error is about an earlier datagram that could not be delivered (ICMP); the time-out of its leg handles
        // that.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            std::thread::sleep(RECEIVE_RETRY_DELAY);
            continue;
        };
        let message = LoopMessage::Datagram(from, buffer[..length].to_vec(), SystemTime::now());
        if loop_sender.send(message).is_err() {
            return;
        }
    }
}
