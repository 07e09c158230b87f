//! Inputs and effects of the reducer, independent of any protocol.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::config::Config;
use crate::interface::{ExchangeId, LoadReport, Number, Outcome, Readiness, Reason};
use crate::ops::{OperatorReply, OperatorRequest};
use swiftlb_record::Record;

/// Id of a call as all parties use it: 16 hexadecimal digits, with upper and lower case kept.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallUid([u8; Self::DIGITS]);

impl CallUid {
    /// Number of digits of an id.
    pub const DIGITS: usize = 16;

    /// Parses an id; `None` unless the text is 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits: [u8; Self::DIGITS] = text.as_bytes().try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(Self(digits))
    }

    /// Makes an id from a number, for a call that arrived without one and for a probe.
    pub fn from_u64(number: u64) -> Self {
        let mut digits = [0; 16];
        for (digit, shift) in digits.iter_mut().zip((0..16).rev()) {
            *digit = b"0123456789abcdef"[(number >> (4 * shift)) as usize & 15];
        }
        Self(digits)
    }

    /// The digits as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Debug for CallUid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Id of a connection from callers, or of the socket of a datagram front.
pub type CallerConnId = u64;

/// Id of a connection to an exchange; each reconnect gets a new one.
pub type ExchangeConnId = u64;

/// The front that a caller connection belongs to. A message that ends a call may be sent on any caller connection of
/// the call's front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Front {
    /// JSON lines, spoken by the platform.
    JsonLines,
    /// IAX2, spoken by handsets and gateways.
    Iax2,
}

/// An entry of the list of exchanges.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// Its name, which is kept when its processor restarts and changes when the exchange is replaced.
    pub name: Arc<str>,
    /// Address that it listens on; a later exchange may reuse it.
    pub address: SocketAddr,
    /// Its number.
    pub number: Number,
    /// Its zone, only compared.
    pub zone: u16,
    /// When its processor last started; `None` for long ago.
    pub started_at: Option<SystemTime>,
    /// Whether it accepts calls.
    pub readiness: Readiness,
}

/// A call set-up received on a front.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    /// Name of its class.
    pub class: String,
    /// When its last byte was received.
    pub received: SystemTime,
    /// How long the caller waits; `None` for the default of the class.
    pub remaining: Option<Duration>,
    /// The number called, as received.
    pub called_number: Option<String>,
    /// Number of the destination exchange.
    pub dest: Number,
    /// Circuits that it takes; `None` for the default of the class.
    pub width: Option<f64>,
    /// Exchange that a call in transit comes from.
    pub transit_from: Option<Number>,
    /// Route that a route centre advises.
    pub advised_route: Option<Number>,
    /// Whether the call was established before, was cut and is set up again.
    pub was_cut: bool,
    /// Description, passed on unchanged.
    pub description: Option<Arc<str>>,
}

/// Message between the two processes of a softswitch while one replaces the other.
#[derive(Clone, Debug, PartialEq)]
pub enum SiblingMessage {
    /// From the successor: request to hand over.
    HandoverRequest {
        /// Version of the messages that the successor knows.
        version: u32,
    },
    /// From the predecessor: an exchange of its list.
    Exchange(ListEntry),
    /// From the predecessor: values that its decision module learned, in general or about one exchange.
    Learned {
        /// What the values describe.
        topic: String,
        /// Name of the exchange, if they concern one.
        exchange: Option<Arc<str>>,
        /// The values.
        values: Vec<f64>,
    },
    /// From the predecessor: the state has been sent in full, and the list has this serial.
    HandoverComplete {
        /// Number of the last event in the list.
        serial: u32,
        /// Version of the messages that the predecessor knows.
        version: u32,
    },
    /// From the successor: it serves.
    Serving,
    /// An operator's drain has begun, or has ended. From version 2 on.
    Drain {
        /// When it began; `None` once it has ended.
        since: Option<SystemTime>,
    },
    /// Whether callers are connected to the sender, who read releases. From version 2 on.
    Callers {
        /// Whether there are any.
        connected: bool,
    },
    /// A set-up has arrived under this id: may the sender use it? From version 2 on.
    Claim {
        /// The call.
        call: CallUid,
    },
    /// Reply to a claim. From version 2 on.
    ClaimReply {
        /// The call.
        call: CallUid,
        /// Whether the sender of the claim may use the id.
        granted: bool,
    },
    /// From the predecessor: ids that it has used. From version 2 on.
    UsedIds {
        /// The calls.
        calls: Vec<CallUid>,
    },
    /// A caller hung up an established call that may belong to the other process.
    HangUp {
        /// The call.
        call: CallUid,
        /// Cause (Q.850).
        cause: u8,
    },
    /// An exchange ended a call that may belong to the other process.
    Ended {
        /// The call.
        call: CallUid,
        /// Whether it was cut before its end.
        cut: bool,
    },
    /// A call has ended, and the other process may have a connection to its caller.
    Release {
        /// The call.
        call: CallUid,
        /// Whether it was cut before its end.
        cut: bool,
    },
}

/// Version of the messages that this program knows. A process sends no message that its sibling, which may be of an earlier
/// release, does not know.
pub const SIBLING_PROTOCOL_VERSION: u32 = 2;

/// State that a process takes over from its predecessor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// The list of exchanges.
    pub list: Vec<ListEntry>,
    /// Number of the last event in the list.
    pub serial: u32,
    /// Version of the messages that the predecessor knows.
    pub version: u32,
    /// Learned values in the order received: topic, name of the exchange, values.
    pub learned: Vec<(String, Option<Arc<str>>, Vec<f64>)>,
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed and nothing else happened.
    Wake,
    /// A caller connection opened.
    CallerConnected {
        /// The connection.
        caller_conn: CallerConnId,
        /// Its front.
        front: Front,
    },
    /// A caller connection closed.
    CallerDisconnected {
        /// The connection.
        caller_conn: CallerConnId,
    },
    /// A caller connection broke before the messages last sent on it were read.
    CallerMessagesUnread {
        /// The connection.
        caller_conn: CallerConnId,
    },
    /// A call set-up arrived.
    SetUp {
        /// Connection that it arrived on.
        caller_conn: CallerConnId,
        /// Its id.
        call: CallUid,
        /// The set-up.
        setup: SetUp,
    },
    /// Data on a caller connection is unreadable or does not end; the connection is unusable.
    CallerStreamCorrupt {
        /// The connection.
        caller_conn: CallerConnId,
    },
    /// A message with a call id arrived that is not a valid set-up.
    MalformedSetUp {
        /// Connection that it arrived on.
        caller_conn: CallerConnId,
        /// The call.
        call: CallUid,
    },
    /// The caller abandoned the set-up or released an established call.
    HangUp {
        /// Connection that it arrived on.
        caller_conn: CallerConnId,
        /// The call.
        call: CallUid,
        /// Cause (Q.850).
        cause: u8,
    },
    /// The platform checks whether this softswitch serves.
    HealthCheck {
        /// Connection that it arrived on.
        caller_conn: CallerConnId,
        /// Id of the check.
        call: CallUid,
    },
    /// The list of exchanges changed; this is the complete new list.
    List(Vec<ListEntry>),
    /// A connection to an exchange opened.
    ExchangeConnected {
        /// The connection.
        exchange_conn: ExchangeConnId,
        /// Whether established calls belong to the connection and end with it.
        carries_calls: bool,
    },
    /// A connection to an exchange could not be opened.
    ExchangeConnectFailed {
        /// The connection.
        exchange_conn: ExchangeConnId,
        /// Whether the exchange refused the connection: no process listens there.
        refused: bool,
    },
    /// A connection to an exchange broke, was closed, or is unusable because of unreadable data. This does not prove
    /// that the process there is dead.
    ExchangeDisconnected {
        /// The connection.
        exchange_conn: ExchangeConnId,
    },
    /// Data that concerns no call arrived on a connection to an exchange.
    ExchangeActivity {
        /// The connection.
        exchange_conn: ExchangeConnId,
    },
    /// An exchange has heard the release of a call.
    ReleaseConfirmed {
        /// The connection.
        exchange_conn: ExchangeConnId,
        /// The call.
        call: CallUid,
    },
    /// An exchange answered: the call is established.
    Answered {
        /// The connection.
        exchange_conn: ExchangeConnId,
        /// The call.
        call: CallUid,
        /// Description, passed on unchanged.
        description: Option<Arc<str>>,
    },
    /// An exchange ended the call.
    Ended {
        /// The connection.
        exchange_conn: ExchangeConnId,
        /// The call.
        call: CallUid,
        /// How it ended.
        outcome: Outcome,
        /// Why it was not served.
        reason: Reason,
    },
    /// State of the group toward an exchange.
    GroupState {
        /// The connection.
        exchange_conn: ExchangeConnId,
        /// Values of the fields that the settings list.
        report: LoadReport,
    },
    /// An exchange answered a probe.
    ProbeResult {
        /// The connection.
        exchange_conn: ExchangeConnId,
        /// Whether the exchange can serve.
        passed: bool,
        /// Load report, if one was attached.
        report: Option<LoadReport>,
    },
    /// The resolver confirmed that the list last received is current and has this serial.
    ListConfirmed {
        /// Number of the last event in it.
        serial: u32,
    },
    /// A message from the sibling process, the other process of a replacement.
    SiblingMessage(SiblingMessage),
    /// The sibling process is gone.
    SiblingDisconnected,
    /// This many more set-ups were written completely to an exchange.
    AttemptsWritten {
        /// Number of set-ups.
        attempts: u64,
    },
    /// Request of an operator.
    OperatorRequest {
        /// Id that the reply must carry.
        request_id: usize,
        /// The request.
        request: OperatorRequest,
    },
    /// A new, validated configuration. Settings and the resolver's address change; calls, exchanges and everything
    /// known about them are kept.
    Reload(Box<Config>),
    /// The process was asked to stop (SIGTERM). For a short time it still serves new calls, and those already accepted.
    Stop,
}

/// Message to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerMessage {
    /// The call is established.
    Answered {
        /// Description, as received from the exchange.
        description: Option<Arc<str>>,
    },
    /// The call was refused; the caller may safely retry.
    Refused {
        /// Time for which the caller should not retry; zero for no advice.
        retry_after: Duration,
    },
    /// The call failed.
    Failed {
        /// Whether the number was busy.
        busy: bool,
    },
    /// An established call has ended.
    Released {
        /// Whether it was cut before its end.
        cut: bool,
    },
    /// Reply to a health check.
    HealthCheckResult {
        /// Whether this softswitch accepts calls.
        passed: bool,
    },
}

/// Message to an exchange.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeMessage {
    /// Set the call up.
    SetUp {
        /// Name of its class.
        class: String,
        /// The number called.
        called_number: Option<String>,
        /// How long the softswitch will wait.
        remaining: Duration,
        /// Description, as received from the caller.
        description: Option<Arc<str>>,
    },
    /// Cancel the set-up.
    Cancel,
    /// An established call has ended.
    Release {
        /// Cause (Q.850).
        cause: u8,
    },
    /// A probe.
    Probe,
}

/// Effect that the reducer requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to a caller.
    ToCaller {
        /// Connection to send it on.
        caller_conn: CallerConnId,
        /// Call that it concerns.
        call: CallUid,
        /// The message.
        message: CallerMessage,
    },
    /// Send a message to an exchange.
    ToExchange {
        /// Connection to send it on.
        exchange_conn: ExchangeConnId,
        /// Call that it concerns.
        call: CallUid,
        /// The message.
        message: ExchangeMessage,
    },
    /// Reply to an operator.
    ToOperator {
        /// Id of the request.
        request_id: usize,
        /// The reply.
        reply: OperatorReply,
    },
    /// Send a message to the sibling process, the other process of a replacement.
    ToSibling(SiblingMessage),
    /// Accept connections from callers from now on, or leave them to the sibling process.
    Accept(bool),
    /// Accept the connections that wait in the backlog and stop listening for callers for good.
    StopListening,
    /// Close a caller connection after everything sent on it is written.
    CloseCallerConn {
        /// The connection.
        caller_conn: CallerConnId,
    },
    /// Close a caller connection unless more data has arrived on it: then that is handled first, and this effect is
    /// requested again.
    CloseCallerConnIfIdle {
        /// The connection.
        caller_conn: CallerConnId,
    },
    /// Close a caller connection if no complete line is unread on it; a line that has begun does not keep it open.
    CloseCallerConnUnlessUnread {
        /// The connection.
        caller_conn: CallerConnId,
    },
    /// Open a connection to an exchange.
    ConnectExchange {
        /// The connection.
        exchange_conn: ExchangeConnId,
        /// Id of the exchange in the decision module.
        exchange: ExchangeId,
        /// Its name.
        name: Arc<str>,
        /// Its number.
        number: Number,
        /// Its address.
        address: SocketAddr,
    },
    /// Close a connection to an exchange.
    CloseExchangeConn {
        /// The connection.
        exchange_conn: ExchangeConnId,
    },
    /// Apply this configuration: the resolver's address and how exchanges are reached.
    Reconfigure(Box<Config>),
    /// Write a line to the log.
    Log(String),
    /// Record an event, where recording is on.
    Record(Record),
    /// End the process: it was asked to stop, and nothing delays that any more.
    Exit,
}
