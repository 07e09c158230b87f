//! How one process of a softswitch takes the place of another: the listening socket that both hold, and the Unix
//! socket on which they talk while both live.

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
use crate::engine::{CallUid, HandoverState, Input, ListEntry, SiblingMessage};
use crate::interface::Readiness;

/// How long the other process may take for all that it hands over. It answers between two turns of its loop.
const PATIENCE: Duration = Duration::from_secs(1);
/// Bytes that may be handed over, and that may wait to be written.
const MOST: usize = 1 << 20;
/// Its tokens count from here up to those of the operators' door.
const BASE: usize = 1 << 61;
const END: usize = 1 << 62;
const LISTENER: Token = Token(BASE);

/// What is wrong with what the other process says.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a word between two processes of a softswitch")]
pub struct MessageError;

/// The listening socket that this process inherited as the descriptor of this number. The number stays open beside
/// it, and whether the socket blocks is the same for all who hold it.
///
/// # Errors
/// If there is no such descriptor, or it is no socket that listens.
pub fn listener_from_fd(number: i32) -> io::Result<TcpListener> {
    let this = pidfd_open(getpid(), PidfdFlags::empty())?;
    let listener = TcpListener::from(pidfd_getfd(&this, number, PidfdGetfdFlags::empty())?);
    listener.local_addr()?;
    Ok(listener)
}

/// Where two processes meet that share this folder for temporary files and listen at this address.
pub fn socket_path(folder: &Path, listen: SocketAddr) -> PathBuf {
    folder.join(format!("swiftlb-{listen}"))
}

fn object(say: &str, fields: Vec<(&str, JsonValue)>) -> Vec<u8> {
    let mut object: HashMap<String, JsonValue> = fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect();
    object.insert("say".to_owned(), say.to_owned().into());
    let mut line = JsonValue::from(object).stringify().unwrap_or_default().into_bytes();
    line.push(b'\n');
    line
}

/// A word as it is sent.
pub fn format_message(word: &SiblingMessage) -> Vec<u8> {
    let call = |call: &CallUid| ("call", call.as_str().to_owned().into());
    match word {
        SiblingMessage::HandoverRequest => object("hello", Vec::new()),
        SiblingMessage::Serving => object("serving", Vec::new()),
        SiblingMessage::HandoverComplete { serial } => {
            object("whole", vec![("serial", f64::from(*serial).into())])
        }
        SiblingMessage::HangUp { call: name, cause } => {
            object("hangup", vec![call(name), ("cause", f64::from(*cause).into())])
        }
        SiblingMessage::Ended { call: name, cut } => {
            object("ended", vec![call(name), ("cut", (*cut).into())])
        }
        SiblingMessage::Release { call: name, cut } => {
            object("release", vec![call(name), ("cut", (*cut).into())])
        }
        SiblingMessage::Learned { topic, exchange, values } => {
            let values: Vec<JsonValue> = values.iter().map(|value| (*value).into()).collect();
            let exchange = exchange.as_ref().map_or(JsonValue::Null, |name| name.to_string().into());
            object(
                "belief",
                vec![("topic", topic.clone().into()), ("of", exchange), ("values", values.into())],
            )
        }
        SiblingMessage::Exchange(entry) => {
            // Exactly the moment that it was: another one would be another start.
            let born = entry.started_at.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
            let born = born.map_or(JsonValue::Null, |span| span.as_nanos().to_string().into());
            let draining = entry.readiness == Readiness::Draining;
            let fields = vec![
                ("name", entry.name.to_string().into()),
                ("address", entry.address.to_string().into()),
                ("number", f64::from(entry.number).into()),
                ("zone", f64::from(entry.zone).into()),
                ("born", born),
                ("draining", draining.into()),
            ];
            object("exchange", fields)
        }
    }
}

/// Reads a word.
///
/// # Errors
/// If it is none.
pub fn parse_message(line: &[u8]) -> Result<SiblingMessage, MessageError> {
    let text = std::str::from_utf8(line).map_err(|_| MessageError)?;
    let json = parse_json(text).map_err(|_| MessageError)?;
    let object = json.get::<HashMap<String, JsonValue>>().ok_or(MessageError)?;
    let field = |key: &str| object.get(key).ok_or(MessageError);
    let text = |key: &str| field(key)?.get::<String>().cloned().ok_or(MessageError);
    let whole = |key: &str, most: f64| {
        let number = field(key)?.get::<f64>().copied();
        number.filter(|n| n.fract() == 0.0 && (0.0..=most).contains(n)).ok_or(MessageError)
    };
    let flag = |key: &str| field(key)?.get::<bool>().copied().ok_or(MessageError);
    let call = || CallUid::parse(&text("call")?).ok_or(MessageError);
    Ok(match text("say")?.as_str() {
        "hello" => SiblingMessage::HandoverRequest,
        "serving" => SiblingMessage::Serving,
        "whole" => SiblingMessage::HandoverComplete { serial: whole("serial", f64::from(u32::MAX))? as u32 },
        "hangup" => SiblingMessage::HangUp { call: call()?, cause: whole("cause", 255.0)? as u8 },
        "ended" => SiblingMessage::Ended { call: call()?, cut: flag("cut")? },
        "release" => SiblingMessage::Release { call: call()?, cut: flag("cut")? },
        "belief" => {
            let values = field("values")?.get::<Vec<JsonValue>>().ok_or(MessageError)?;
            let values: Option<Vec<f64>> = values.iter().map(|value| value.get::<f64>().copied()).collect();
            let exchange = if field("of")?.is_null() { None } else { Some(text("of")?.into()) };
            SiblingMessage::Learned { topic: text("topic")?, exchange, values: values.ok_or(MessageError)? }
        }
        "exchange" => {
            let started_at = if field("born")?.is_null() {
                None
            } else {
                let nanos: u64 = text("born")?.parse().map_err(|_| MessageError)?;
                Some(UNIX_EPOCH + Duration::from_nanos(nanos))
            };
            SiblingMessage::Exchange(ListEntry {
                name: text("name")?.into(),
                address: text("address")?.parse().map_err(|_| MessageError)?,
                number: whole("number", f64::from(u32::MAX))? as u32,
                zone: whole("zone", f64::from(u16::MAX))? as u16,
                started_at,
                readiness: if flag("draining")? { Readiness::Draining } else { Readiness::Ready },
            })
        }
        _ => return Err(MessageError),
    })
}

/// What another process has handed over, and the connection to it.
#[derive(Debug)]
pub struct PredecessorConn {
    stream: blocking::UnixStream,
    lines: LineSplitter,
    /// Words that came behind.
    later: Vec<SiblingMessage>,
}

/// Asks the process that serves now, if there is one, to hand over.
///
/// # Errors
/// If none is there, or what it says is not whole: then this process starts as if there were none.
pub fn request_handover(place: &Path) -> io::Result<(PredecessorConn, HandoverState)> {
    let mut stream = blocking::UnixStream::connect(place)?;
    let until = SystemTime::now() + PATIENCE;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.write_all(&format_message(&SiblingMessage::HandoverRequest))?;
    let (mut inheritance, mut lines, mut later) =
        (HandoverState::default(), LineSplitter::default(), Vec::new());
    let (mut whole, mut taken, mut buffer) = (false, 0, vec![0; 16 * 1024]);
    let spoilt = || io::Error::new(ErrorKind::InvalidData, MessageError);
    while !whole {
        let left = until.duration_since(SystemTime::now()).map_err(|_| ErrorKind::TimedOut)?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let length = stream.read(&mut buffer)?;
        taken += length;
        if length == 0 || taken > MOST {
            return Err(spoilt());
        }
        let read = lines.push(&buffer[..length], |cut| {
            let SplitLine::Complete(line) = cut else { return ControlFlow::Break(()) };
            match parse_message(&line) {
                Ok(word) if whole => later.push(word),
                Ok(SiblingMessage::Exchange(entry)) => inheritance.list.push(entry),
                Ok(SiblingMessage::Learned { topic, exchange, values }) => {
                    inheritance.learned.push((topic, exchange, values))
                }
                Ok(SiblingMessage::HandoverComplete { serial }) => {
                    (inheritance.serial, whole) = (serial, true)
                }
                Ok(word) => later.push(word),
                Err(MessageError) => return ControlFlow::Break(()),
            }
            ControlFlow::Continue(())
        });
        if read.is_break() {
            return Err(spoilt());
        }
    }
    if inheritance.list.is_empty() {
        return Err(spoilt());
    }
    Ok((PredecessorConn { stream, lines, later }, inheritance))
}

struct Other {
    stream: UnixStream,
    token: Token,
    lines: LineSplitter,
    unsent: Vec<u8>,
    /// It has said something.
    heard: bool,
}

/// The meeting place and the other process, while there is one.
pub(super) struct Handover {
    place: PathBuf,
    listener: Option<UnixListener>,
    other: Option<Other>,
    last: usize,
}

impl Handover {
    /// Goes on with the process that has handed over, or waits for one that takes this one's place.
    pub(super) fn new(
        place: PathBuf,
        handed: Option<PredecessorConn>,
        registry: &Registry,
        inputs: &mut impl Extend<Input>,
    ) -> Self {
        let mut this = Self { place, listener: None, other: None, last: 0 };
        match handed {
            Some(PredecessorConn { stream, lines, later }) => {
                inputs.extend(later.into_iter().map(Input::SiblingMessage));
                let other = stream.set_nonblocking(true).map(|()| UnixStream::from_std(stream));
                if !other.is_ok_and(|stream| this.take(stream, lines, registry)) {
                    inputs.extend([Input::SiblingDisconnected]);
                }
            }
            None => this.listen(registry),
        }
        this
    }

    /// Whether the poll means it by this token.
    pub(super) fn owns(token: Token) -> bool {
        (BASE..END).contains(&token.0)
    }

    /// Waits where the next process will ask. Without that place it would start as if this one were not there.
    pub(super) fn listen(&mut self, registry: &Registry) {
        // A file that a former process left is of no use to anyone.
        let _ = std::fs::remove_file(&self.place);
        let listener = UnixListener::bind(&self.place).and_then(|mut listener| {
            registry.register(&mut listener, LISTENER, Interest::READABLE)?;
            Ok(listener)
        });
        match listener {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => tracing::warn!(%error, "no process can take the place of this one"),
        }
    }

    fn take(&mut self, mut stream: UnixStream, lines: LineSplitter, registry: &Registry) -> bool {
        self.last += 1;
        let token = Token(BASE + self.last);
        let watched = registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_ok();
        if watched {
            self.other = Some(Other { stream, token, lines, unsent: Vec::new(), heard: false });
        }
        watched
    }

    /// The poll has something to say.
    pub(super) fn on_event(&mut self, token: Token, registry: &Registry, inputs: &mut impl Extend<Input>) {
        if token == LISTENER {
            while let Some(Ok((stream, _))) = self.listener.as_ref().map(UnixListener::accept) {
                // One at a time; who has said nothing yet has no place to lose.
                if self.other.as_ref().is_none_or(|other| !other.heard) {
                    self.take(stream, LineSplitter::default(), registry);
                }
            }
        }
        let Some(other) = self.other.as_mut().filter(|other| token == LISTENER || other.token == token)
        else {
            return;
        };
        let mut buffer = [0; 4 * 1024];
        let gone = loop {
            match other.stream.read(&mut buffer) {
                Ok(0) => break true,
                Ok(length) => {
                    let read = other.lines.push(&buffer[..length], |cut| {
                        let SplitLine::Complete(line) = cut else { return ControlFlow::Break(()) };
                        let Ok(word) = parse_message(&line) else { return ControlFlow::Break(()) };
                        other.heard = true;
                        inputs.extend([Input::SiblingMessage(word)]);
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
        if gone {
            self.lose(registry, inputs);
        } else {
            self.flush(registry, inputs);
        }
    }

    fn lose(&mut self, registry: &Registry, inputs: &mut impl Extend<Input>) {
        if self.other.take().is_some() {
            // A process that had taken this one's place may have moved into the meeting place.
            self.listen(registry);
            inputs.extend([Input::SiblingDisconnected]);
        }
    }

    /// Tells the other process.
    pub(super) fn say(
        &mut self,
        word: &SiblingMessage,
        registry: &Registry,
        inputs: &mut impl Extend<Input>,
    ) {
        let Some(other) = &mut self.other else { return };
        other.unsent.extend(format_message(word));
        if other.unsent.len() > MOST {
            return self.lose(registry, inputs);
        }
        self.flush(registry, inputs);
        // From here on a third process is to ask this one.
        if *word == SiblingMessage::Serving {
            self.listen(registry);
        }
    }

    fn flush(&mut self, registry: &Registry, inputs: &mut impl Extend<Input>) {
        let Some(other) = &mut self.other else { return };
        while !other.unsent.is_empty() {
            match other.stream.write(&other.unsent) {
                Ok(length) => {
                    other.unsent.drain(..length);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.lose(registry, inputs),
            }
        }
    }
}
