//! Events that a softswitch records: its inputs and decisions, without call descriptions and called numbers.

use serde::{Deserialize, Serialize};

/// Id of a call: its 16 hexadecimal digits as a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallUid(#[serde(with = "postcard::fixint::le")] pub u64);

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unix time in microseconds by the clock of the softswitch, which may be wrong.
    pub at_us: u64,
    /// The event.
    pub event: Event,
}

/// A recorded event. New kinds are added at the end: readers skip kinds that they do not know.
///
/// Exchanges are identified by their numbers in the numbering plan, classes by their index in the last
/// [`Event::Classes`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The process begins to serve.
    Started {
        /// Version of the program.
        version: String,
        /// Number of the home exchange.
        home: Option<u32>,
        /// Whether it replaced a running process.
        is_replacement: bool,
    },
    /// Names of the classes of call, by index.
    Classes(Vec<String>),
    /// The process was requested to stop.
    Stopping,
    /// The process ends normally.
    Stopped,
    /// A call set-up arrived.
    SetUp {
        /// The call.
        call: CallUid,
        /// Its class.
        class: u8,
        /// Destination exchange.
        dest: u32,
        /// For a call in transit, the exchange that it comes from; `u32::MAX` where that is not given.
        transit_from: Option<u32>,
        /// How long its caller still waits, in ms.
        remaining_ms: u32,
        /// Whether the call was established before, was cut and is set up again.
        was_cut: bool,
        /// The front that it arrived by.
        front: Front,
    },
    /// An attempt began: the call was sent to an exchange, or waits for a connection to it.
    Attempt {
        /// The call.
        call: CallUid,
        /// Number of the attempt, from 1.
        attempt: u8,
        /// Exchange that is attempted.
        exchange: u32,
        /// Whether the set-up waits for a connection to open.
        awaits_connection: bool,
    },
    /// An attempt ended without an answer that reached this softswitch.
    AttemptEnded {
        /// The call.
        call: CallUid,
        /// Number of the attempt, from 1.
        attempt: u8,
        /// Exchange that was attempted.
        exchange: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Reason that the exchange gave.
        reason: AttemptReason,
        /// Time since it was sent, in microseconds.
        elapsed_us: u64,
    },
    /// The call is established.
    Answered {
        /// The call.
        call: CallUid,
        /// Exchange that answered.
        exchange: u32,
        /// Time since the set-up arrived, in microseconds.
        elapsed_us: u64,
    },
    /// The call was refused.
    Refused {
        /// The call.
        call: CallUid,
        /// Why, as far as this softswitch knew.
        reason: RefusalReason,
        /// Time for which its caller should not retry, in ms; 0 for no advice.
        retry_after_ms: u32,
    },
    /// The call failed.
    Failed {
        /// The call.
        call: CallUid,
        /// Why.
        reason: FailureReason,
    },
    /// The caller abandoned the call before it was established.
    Abandoned {
        /// The call.
        call: CallUid,
    },
    /// An established call has ended.
    Released {
        /// The call.
        call: CallUid,
        /// Exchange that it was established to; `None` if that was before this process started.
        exchange: Option<u32>,
        /// Who ended it.
        by: ReleasedBy,
        /// Whether it was cut before its end.
        cut: bool,
    },
    /// A new list of exchanges takes effect.
    List {
        /// Its serial: the number of the last event in it.
        serial: u32,
        /// Number of exchanges in it.
        exchanges: u32,
    },
    /// The list's entry for an exchange changed.
    Exchange {
        /// Its number.
        exchange: u32,
        /// Its name, which is kept when its processor restarts and changes when the exchange is replaced.
        name: String,
        /// Its zone, which is only compared with other zones.
        zone: u16,
        /// Whether it accepts calls.
        readiness: ListedReadiness,
        /// When its processor last started, in Unix microseconds; 0 for long ago.
        started_us: u64,
    },
    /// State of the group toward an exchange.
    Group {
        /// The exchange.
        exchange: u32,
        /// Free circuits.
        free: u32,
        /// Size of the group.
        total: u32,
    },
    /// A connection to an exchange opened, failed to open or was lost.
    ExchangeConnection {
        /// The exchange.
        exchange: u32,
        /// What happened.
        change: ConnectionChange,
    },
    /// The number of open connections from callers changed.
    CallerConnections {
        /// Connections that are open now.
        open: u32,
    },
    /// A drain of the softswitch began or ended.
    Drain {
        /// Whether it began.
        on: bool,
        /// Who ordered it.
        by: DrainSource,
    },
    /// The softswitch began or ceased to avoid an exchange.
    Avoidance {
        /// The exchange.
        exchange: u32,
        /// Whether calls of every class are kept from it because it drains or is far too slow.
        avoided: bool,
    },
    /// Delay at an exchange as the decision module expects it.
    ExpectedDelay {
        /// The exchange.
        exchange: u32,
        /// Expected set-up time, in ms.
        expected_ms: u32,
        /// Attempts to it that are open now.
        open_attempts: u32,
    },
    /// Records were lost here because they came faster than they could be written.
    RecordsLost {
        /// How many.
        records: u64,
    },
}

/// The front that a call arrived by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Front {
    /// JSON lines, spoken by the platform.
    JsonLines,
    /// IAX2, spoken by handsets and gateways.
    Iax2,
}

/// How an attempt ended if no answer to it reached this softswitch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// All lines of the number are busy, or a signalling fault.
    Busy,
    /// Cranked back or no capacity.
    Congested,
    /// No reply in time.
    TimedOut,
    /// No connection to the exchange could be opened.
    NoConnection,
    /// The connection broke during the attempt.
    Reset,
    /// Cancelled by the softswitch.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The call was established and ended, but the answer was lost.
    AnswerLost,
}

/// Why an attempt was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AttemptReason {
    /// No reason given.
    Unspecified,
    /// No free circuit.
    NoCircuit,
    /// The tandem had no free circuit (crank-back).
    CrankBack,
    /// The processor of the destination, beyond the tandem, was full.
    DestinationFull,
    /// The processor was full, with the wait that it reported, in ms.
    ProcessorFull(u32),
    /// All lines of the number are busy.
    UserBusy,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// Before any attempt: too few circuits toward its exchange were known to be free, and no tandem was chosen.
    NoCircuit,
    /// Before any attempt, although circuits were free: its exchange is avoided or too slow, or this softswitch
    /// sheds calls.
    Shed,
    /// After an attempt with this outcome and reason.
    AfterAttempt(AttemptOutcome, AttemptReason),
    /// Too many set-ups were open in this softswitch.
    TooManySetUps,
    /// This softswitch is draining.
    Draining,
}

impl RefusalReason {
    /// The reason as the label used in metrics and consoles.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoCircuit => "no-circuit",
            Self::Shed => "shed",
            Self::TooManySetUps => "too-many",
            Self::Draining => "sent-away",
            Self::AfterAttempt(_, AttemptReason::NoCircuit) => "group-full",
            Self::AfterAttempt(_, AttemptReason::CrankBack) => "turned-back",
            Self::AfterAttempt(_, AttemptReason::DestinationFull) => "full-beyond",
            Self::AfterAttempt(_, AttemptReason::ProcessorFull(_)) => "processor-full",
            Self::AfterAttempt(AttemptOutcome::TimedOut, _) => "timed-out",
            Self::AfterAttempt(AttemptOutcome::NoConnection, _) => "no-connection",
            Self::AfterAttempt(AttemptOutcome::Reset, _) => "reset",
            Self::AfterAttempt(..) => "other",
        }
    }
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FailureReason {
    /// The number is busy.
    Busy,
    /// The decision module failed it before any attempt.
    NoRoute,
    /// The decision module failed it after an attempt with this outcome and reason.
    AfterAttempt(AttemptOutcome, AttemptReason),
    /// The decision module was late with the final outcome, so the engine failed the call.
    DecisionOverdue,
    /// Data on its caller connection could not be read.
    CallerStreamCorrupt,
    /// The process was about to be killed after a request to stop.
    ShuttingDown,
    /// A set-up with the id of another call arrived on its caller connection, which was closed.
    DuplicateCallId,
    /// Its caller connection was closed for too many malformed messages.
    TooManyMalformed,
    /// Its caller connection was closed at the end of an operator's drain.
    Draining,
    /// Its caller connection was closed for too many hang-ups of unknown calls.
    TooManyUnknownCalls,
}

/// Who ended an established call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReleasedBy {
    /// The caller.
    Caller,
    /// The exchange reported its end.
    Exchange,
    /// The exchange is gone or unreachable.
    ExchangeLost,
    /// The softswitch stops, and the call ends with it.
    Shutdown,
}

/// Whether an exchange accepts calls, according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ListedReadiness {
    /// Accepts calls.
    Ready,
    /// Completes its calls and accepts no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// Change of a connection to an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ConnectionChange {
    /// It opened.
    Up,
    /// The exchange refused it: no process listens there.
    Refused,
    /// It did not open in time.
    TimedOut,
    /// It broke or was closed.
    Lost,
}

/// Who ordered a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DrainSource {
    /// An operator.
    Operator,
    /// A signal to the process. This version records [`Event::Stopping`] instead.
    Signal,
}

impl Event {
    /// The exchange that the event concerns, if any.
    pub fn exchange(&self) -> Option<u32> {
        match self {
            Self::Attempt { exchange, .. }
            | Self::AttemptEnded { exchange, .. }
            | Self::Answered { exchange, .. }
            | Self::Exchange { exchange, .. }
            | Self::Group { exchange, .. }
            | Self::ExchangeConnection { exchange, .. }
            | Self::Avoidance { exchange, .. }
            | Self::ExpectedDelay { exchange, .. } => Some(*exchange),
            Self::Released { exchange, .. } => *exchange,
            _ => None,
        }
    }

    /// The call that the event concerns, if any.
    pub fn call(&self) -> Option<CallUid> {
        match self {
            Self::SetUp { call, .. }
            | Self::Attempt { call, .. }
            | Self::AttemptEnded { call, .. }
            | Self::Answered { call, .. }
            | Self::Refused { call, .. }
            | Self::Failed { call, .. }
            | Self::Abandoned { call }
            | Self::Released { call, .. } => Some(*call),
            _ => None,
        }
    }

    /// The kind of event as the label used in reports.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Started { .. } => "started",
            Self::Classes(_) => "classes",
            Self::Stopping => "stopping",
            Self::Stopped => "stopped",
            Self::SetUp { .. } => "set-up",
            Self::Attempt { .. } => "attempt",
            Self::AttemptEnded { .. } => "attempt-end",
            Self::Answered { .. } => "answer",
            Self::Refused { .. } => "refused",
            Self::Failed { .. } => "failed",
            Self::Abandoned { .. } => "given-up",
            Self::Released { .. } => "released",
            Self::List { .. } => "list",
            Self::Exchange { .. } => "exchange",
            Self::Group { .. } => "group",
            Self::ExchangeConnection { .. } => "way",
            Self::CallerConnections { .. } => "links",
            Self::Drain { .. } => "drain",
            Self::Avoidance { .. } => "level",
            Self::ExpectedDelay { .. } => "delay",
            Self::RecordsLost { .. } => "lost",
        }
    }
}
