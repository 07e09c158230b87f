//! Handover from a running process to its successor: the listening socket that both processes share, and the Unix
//! socket on which they exchange messages while both run.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::ops::ControlFlow;
use std::os::unix::net as blocking;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use thiserror::Error;
use tinyjson::JsonValue;

use super::jsonl::{LineSplitter, SplitLine};
use crate::config::parse_json;
use crate::engine::{CallUid, HandoverState, Input, ListEntry, SIBLING_PROTOCOL_VERSION, SiblingMessage};
use crate::interface::Readiness;

/// Time for the whole handover. The predecessor begins its reply within one iteration of its event loop.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes of a handover, and of unsent bytes to the sibling process.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// First poll token of the handover; its tokens end where those of the operators' server begin.
const FIRST_TOKEN: usize = 1 << 61;
const END_TOKEN: usize = 1 << 62;
const LISTENER: Token = Token(FIRST_TOKEN);

/// A line from the sibling process is not a valid message.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a valid message of the handover protocol")]
pub struct MessageError;

/// Duplicates the inherited listening socket with this descriptor number. The original descriptor stays open, and
/// the non-blocking mode is shared by all processes that hold the socket.
///
/// # Errors
/// If there is no such descriptor, or it is not a socket with a local address.
pub fn listener_from_fd(number: i32) -> io::Result<TcpListener> {
    let this = pidfd_open(getpid(), PidfdFlags::empty())?;
    let listener = TcpListener::from(pidfd_getfd(&this, number, PidfdGetfdFlags::empty())?);
    listener.local_addr()?;
    Ok(listener)
}

/// Path of the Unix socket of the handover, for processes that share this directory for temporary files and listen
/// at this address.
pub fn socket_path(directory: &Path, listen: SocketAddr) -> PathBuf {
    directory.join(format!("swiftlb-{listen}"))
}

fn json_line(name: &str, fields: Vec<(&str, JsonValue)>) -> Vec<u8> {
    let mut object: HashMap<String, JsonValue> = fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect();
    object.insert("say".to_owned(), name.to_owned().into());
    let mut line = JsonValue::from(object).stringify().unwrap_or_default().into_bytes();
    line.push(b'\n');
    line
}

/// A point in time in nanoseconds: a rounded start time would look like another start of an exchange.
fn nanos(at: Option<SystemTime>) -> JsonValue {
    let since_epoch = at.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
    since_epoch.map_or(JsonValue::Null, |since_epoch| since_epoch.as_nanos().to_string().into())
}

/// Formats a message as one JSON line.
pub fn format_message(message: &SiblingMessage) -> Vec<u8> {
    let call = |call: &CallUid| ("call", call.as_str().to_owned().into());
    match message {
        SiblingMessage::HandoverRequest { version } => {
            json_line("hello", vec![("version", f64::from(*version).into())])
        }
        SiblingMessage::Serving => json_line("serving", Vec::new()),
        SiblingMessage::HandoverComplete { serial, version } => json_line(
            "whole",
            vec![("serial", f64::from(*serial).into()), ("version", f64::from(*version).into())],
        ),
        SiblingMessage::Drain { since } => json_line("drain", vec![("since", nanos(*since))]),
        SiblingMessage::Callers { connected } => {
            json_line("callers", vec![("connected", (*connected).into())])
        }
        SiblingMessage::Claim { call: uid } => json_line("claim", vec![call(uid)]),
        SiblingMessage::ClaimReply { call: uid, granted } => {
            json_line("claimed", vec![call(uid), ("granted", (*granted).into())])
        }
        SiblingMessage::UsedIds { calls } => {
            let digits: String = calls.iter().map(CallUid::as_str).collect();
            json_line("used", vec![("calls", digits.into())])
        }
        SiblingMessage::HangUp { call: uid, cause } => {
            json_line("hangup", vec![call(uid), ("cause", f64::from(*cause).into())])
        }
        SiblingMessage::Ended { call: uid, cut } => {
            json_line("ended", vec![call(uid), ("cut", (*cut).into())])
        }
        SiblingMessage::Release { call: uid, cut } => {
            json_line("release", vec![call(uid), ("cut", (*cut).into())])
        }
        SiblingMessage::Learned { topic, exchange, values } => {
            let values: Vec<JsonValue> = values.iter().map(|value| (*value).into()).collect();
            let exchange = exchange.as_ref().map_or(JsonValue::Null, |name| name.to_string().into());
            json_line(
                "belief",
                vec![("topic", topic.clone().into()), ("of", exchange), ("values", values.into())],
            )
        }
        SiblingMessage::Exchange(entry) => {
            let draining = entry.readiness == Readiness::Draining;
            let fields = vec![
                ("name", entry.name.to_string().into()),
                ("address", entry.address.to_string().into()),
                ("number", f64::from(entry.number).into()),
                ("zone", f64::from(entry.zone).into()),
                ("born", nanos(entry.started_at)),
                ("draining", draining.into()),
            ];
            json_line("exchange", fields)
        }
    }
}

/// Parses call ids that are written one after the other.
fn parse_ids(digits: &str) -> Result<Vec<CallUid>, MessageError> {
    let ids = digits.as_bytes().chunks(CallUid::DIGITS);
    ids.map(|id| std::str::from_utf8(id).ok().and_then(CallUid::parse).ok_or(MessageError)).collect()
}

/// Parses a message from one JSON line.
///
/// # Errors
/// If the line is not a valid message.
pub fn parse_message(line: &[u8]) -> Result<SiblingMessage, MessageError> {
    let text = std::str::from_utf8(line).map_err(|_| MessageError)?;
    let json = parse_json(text).map_err(|_| MessageError)?;
    let object = json.get::<HashMap<String, JsonValue>>().ok_or(MessageError)?;
    let field = |key: &str| object.get(key).ok_or(MessageError);
    let text = |key: &str| field(key)?.get::<String>().cloned().ok_or(MessageError);
    let integer = |key: &str, max: f64| {
        let number = field(key)?.get::<f64>().copied();
        number.filter(|n| n.fract() == 0.0 && (0.0..=max).contains(n)).ok_or(MessageError)
    };
    let flag = |key: &str| field(key)?.get::<bool>().copied().ok_or(MessageError);
    let call = || CallUid::parse(&text("call")?).ok_or(MessageError);
    // The first release sent no version.
    let version = || match object.get("version") {
        Some(_) => Ok(integer("version", f64::from(u32::MAX))? as u32),
        None => Ok(1),
    };
    let time = |key: &str| {
        if field(key)?.is_null() {
            return Ok(None);
        }
        let nanos: u64 = text(key)?.parse().map_err(|_| MessageError)?;
        Ok(Some(UNIX_EPOCH + Duration::from_nanos(nanos)))
    };
    Ok(match text("say")?.as_str() {
        "hello" => SiblingMessage::HandoverRequest { version: version()? },
        "serving" => SiblingMessage::Serving,
        "whole" => SiblingMessage::HandoverComplete {
            serial: integer("serial", f64::from(u32::MAX))? as u32,
            version: version()?,
        },
        "drain" => SiblingMessage::Drain { since: time("since")? },
        "callers" => SiblingMessage::Callers { connected: flag("connected")? },
        "claim" => SiblingMessage::Claim { call: call()? },
        "claimed" => SiblingMessage::ClaimReply { call: call()?, granted: flag("granted")? },
        "used" => SiblingMessage::UsedIds { calls: parse_ids(&text("calls")?)? },
        "hangup" => SiblingMessage::HangUp { call: call()?, cause: integer("cause", 255.0)? as u8 },
        "ended" => SiblingMessage::Ended { call: call()?, cut: flag("cut")? },
        "release" => SiblingMessage::Release { call: call()?, cut: flag("cut")? },
        "belief" => {
            let values = field("values")?.get::<Vec<JsonValue>>().ok_or(MessageError)?;
            let values: Option<Vec<f64>> = values.iter().map(|value| value.get::<f64>().copied()).collect();
            let exchange = if field("of")?.is_null() { None } else { Some(text("of")?.into()) };
            SiblingMessage::Learned { topic: text("topic")?, exchange, values: values.ok_or(MessageError)? }
        }
        "exchange" => SiblingMessage::Exchange(ListEntry {
            name: text("name")?.into(),
            address: text("address")?.parse().map_err(|_| MessageError)?,
            number: integer("number", f64::from(u32::MAX))? as u32,
            zone: integer("zone", f64::from(u16::MAX))? as u16,
            started_at: time("born")?,
            readiness: if flag("draining")? { Readiness::Draining } else { Readiness::Ready },
        }),
        _ => return Err(MessageError),
    })
}

/// Connection to the predecessor after it has sent its state.
#[derive(Debug)]
pub struct PredecessorConn {
    stream: blocking::UnixStream,
    lines: LineSplitter,
    /// Messages received along with the state that are not part of it.
    other_messages: Vec<SiblingMessage>,
}

/// Requests a handover from the process that serves now and receives its state.
///
/// # Errors
/// If no process serves, or its state is late, invalid or incomplete. This process then starts without the state.
pub fn request_handover(socket_path: &Path) -> io::Result<(PredecessorConn, HandoverState)> {
    let mut stream = blocking::UnixStream::connect(socket_path)?;
    let deadline = SystemTime::now() + HANDOVER_TIMEOUT;
    stream.set_write_timeout(Some(HANDOVER_TIMEOUT))?;
    stream
        .write_all(&format_message(&SiblingMessage::HandoverRequest { version: SIBLING_PROTOCOL_VERSION }))?;
    let (mut state, mut lines, mut other_messages) =
        (HandoverState::default(), LineSplitter::default(), Vec::new());
    let (mut complete, mut received_bytes, mut buffer) = (false, 0, vec![0; 16 * 1024]);
    let invalid_data = || io::Error::new(ErrorKind::InvalidData, MessageError);
    while !complete {
        let remaining = deadline.duration_since(SystemTime::now()).map_err(|_| ErrorKind::TimedOut)?;
        stream.set_read_timeout(Some(remaining.max(Duration::from_millis(1))))?;
        let length = stream.read(&mut buffer)?;
        received_bytes += length;
        if length == 0 || received_bytes > MAX_BUFFERED_BYTES {
            return Err(invalid_data());
        }
        let read = lines.push(&buffer[..length], |line| {
            let SplitLine::Complete(line) = line else { return ControlFlow::Break(()) };
            match parse_message(&line) {
                Ok(message) if complete => other_messages.push(message),
                Ok(SiblingMessage::Exchange(entry)) => state.list.push(entry),
                Ok(SiblingMessage::Learned { topic, exchange, values }) => {
                    state.learned.push((topic, exchange, values))
                }
                Ok(SiblingMessage::HandoverComplete { serial, version }) => {
                    (state.serial, state.version, complete) = (serial, version, true);
                }
                Ok(message) => other_messages.push(message),
                Err(MessageError) => return ControlFlow::Break(()),
            }
            ControlFlow::Continue(())
        });
        if read.is_break() {
            return Err(invalid_data());
        }
    }
    if state.list.is_empty() {
        return Err(invalid_data());
    }
    Ok((PredecessorConn { stream, lines, other_messages }, state))
}

struct Sibling {
    stream: UnixStream,
    token: Token,
    lines: LineSplitter,
    unsent: Vec<u8>,
    /// Whether a message was received from it.
    received_any: bool,
}

/// The Unix socket for successors and the connection to the sibling process, while there is one.
pub(super) struct Handover {
    socket_path: PathBuf,
    listener: Option<UnixListener>,
    sibling: Option<Sibling>,
    last_id: usize,
}

impl Handover {
    /// Continues the connection to the predecessor, or listens for a successor if there is no predecessor.
    pub(super) fn new(
        socket_path: PathBuf,
        predecessor: Option<PredecessorConn>,
        registry: &Registry,
        inputs: &mut impl Extend<Input>,
    ) -> Self {
        let mut this = Self { socket_path, listener: None, sibling: None, last_id: 0 };
        match predecessor {
            Some(PredecessorConn { stream, lines, other_messages }) => {
                inputs.extend(other_messages.into_iter().map(Input::SiblingMessage));
                let sibling = stream.set_nonblocking(true).map(|()| UnixStream::from_std(stream));
                if !sibling.is_ok_and(|stream| this.attach(stream, lines, registry)) {
                    inputs.extend([Input::SiblingDisconnected]);
                }
            }
            None => this.listen(registry),
        }
        this
    }

    /// Whether this poll token belongs to the handover.
    pub(super) fn owns(token: Token) -> bool {
        (FIRST_TOKEN..END_TOKEN).contains(&token.0)
    }

    /// Listens for a successor. Without this socket, a successor would start without the state of this process.
    pub(super) fn listen(&mut self, registry: &Registry) {
        // A socket file left behind by an earlier process would make the bind fail.
        let _ = std::fs::remove_file(&self.socket_path);
        let listener = UnixListener::bind(&self.socket_path).and_then(|mut listener| {
            registry.register(&mut listener, LISTENER, Interest::READABLE)?;
            Ok(listener)
        });
        match listener {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                tracing::warn!(%error, "cannot listen for a successor; the next process starts without a handover")
            }
        }
    }

    fn attach(&mut self, mut stream: UnixStream, lines: LineSplitter, registry: &Registry) -> bool {
        self.last_id += 1;
        let token = Token(FIRST_TOKEN + self.last_id);
        let registered =
            registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_ok();
        if registered {
            self.sibling = Some(Sibling { stream, token, lines, unsent: Vec::new(), received_any: false });
        }
        registered
    }

    /// Handles an event of the poll.
    pub(super) fn handle_event(
        &mut self,
        token: Token,
        registry: &Registry,
        inputs: &mut impl Extend<Input>,
    ) {
        if token == LISTENER {
            while let Some(Ok((stream, _))) = self.listener.as_ref().map(UnixListener::accept) {
                // One sibling at a time; a connection on which nothing was received yet is replaced.
                if self.sibling.as_ref().is_none_or(|sibling| !sibling.received_any) {
                    self.attach(stream, LineSplitter::default(), registry);
                }
            }
        }
        let Some(sibling) =
            self.sibling.as_mut().filter(|sibling| token == LISTENER || sibling.token == token)
        else {
            return;
        };
        let mut buffer = [0; 4 * 1024];
        let disconnected = loop {
            match sibling.stream.read(&mut buffer) {
                Ok(0) => break true,
                Ok(length) => {
                    let read = sibling.lines.push(&buffer[..length], |line| {
                        let SplitLine::Complete(line) = line else { return ControlFlow::Break(()) };
                        let Ok(message) = parse_message(&line) else { return ControlFlow::Break(()) };
                        sibling.received_any = true;
                        inputs.extend([Input::SiblingMessage(message)]);
                        ControlFlow::Continue(())
                    });
                    if read.is_break() {
                        break true;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(_) => break true,
            }
        };
        if disconnected {
            self.disconnect(registry, inputs);
        } else {
            self.flush(registry, inputs);
        }
    }

    fn disconnect(&mut self, registry: &Registry, inputs: &mut impl Extend<Input>) {
        if self.sibling.take().is_some() {
            // A successor that has begun to serve has bound the path itself, so this process has to bind it again.
            self.listen(registry);
            inputs.extend([Input::SiblingDisconnected]);
        }
    }

    /// Sends a message to the sibling process.
    pub(super) fn send(
        &mut self,
        message: &SiblingMessage,
        registry: &Registry,
        inputs: &mut impl Extend<Input>,
    ) {
        let Some(sibling) = &mut self.sibling else { return };
        sibling.unsent.extend(format_message(message));
        if sibling.unsent.len() > MAX_BUFFERED_BYTES {
            return self.disconnect(registry, inputs);
        }
        self.flush(registry, inputs);
        // This process serves now, so the next successor has to connect to it.
        if *message == SiblingMessage::Serving {
            self.listen(registry);
        }
    }

    fn flush(&mut self, registry: &Registry, inputs: &mut impl Extend<Input>) {
        let Some(sibling) = &mut self.sibling else { return };
        while !sibling.unsent.is_empty() {
            match sibling.stream.write(&sibling.unsent) {
                Ok(length) => {
                    sibling.unsent.drain(..length);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.disconnect(registry, inputs),
            }
        }
    }
}
