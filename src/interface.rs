//! What a host tells a [`Controller`](crate::Controller) and what it gets back, in the field's terms.
//!
//! No logic lives here and nothing of the wire: a host may fill these types from whatever it speaks.

/// Address of an exchange. Opaque: it is compared and given back, never read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId {
    /// Four bytes of address, first byte first.
    pub address: [u8; 4],
    /// Port at that address.
    pub port: u16,
}

/// Id of a call, given by the host and never used twice.
pub type CallId = u32;

/// Number of an exchange (or pool) in the numbering plan; calls name their destination by it.
pub type Number = u32;

/// Everything a controller is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Call agents in service, this one included.
    pub agents: u32,
    /// Place of this agent among them, from 0.
    pub self_index: u32,
    /// Number of the own exchange; `None` where the exchanges are pools shared by all agents.
    pub home: Option<Number>,
    /// Classes of call; events name them by index.
    pub classes: Vec<Class>,
    /// Tenants; events name them by index. May be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a call past its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// Whether the list of exchanges must be asked for.
    pub must_ask: bool,
    /// Longest time without asking for the list before it counts as told, in ms.
    pub ask_every_ms: f64,
    /// Meaning of each value of a load report.
    pub report: Vec<ReportField>,
    /// When far processors report their load.
    pub far_reports: FarReports,
    /// Most attempts for one call.
    pub try_limit: u32,
    /// Whether an attempt may be called off.
    pub may_cancel: bool,
    /// Whether exchanges may be probed.
    pub may_probe: bool,
    /// Whether peers may be told things.
    pub may_tell: bool,
    /// Longest retry-after that callers follow, in ms; 0 where callers are not told.
    pub max_retry_after_ms: f64,
    /// Time after a drain notice in which sends must stop, in ms.
    pub drain_grace_ms: f64,
    /// Time after a time-out, reset or cancel before the call may be sent again, in ms.
    pub release_ms: f64,
    /// Part of its capacity that a cold exchange starts with.
    pub cold_from: f64,
    /// Time after its start by which an exchange is warm, in ms.
    pub cold_ms: f64,
    /// Multiple of its present capacity at which a cold exchange falls over.
    pub fall_multiple: f64,
    /// Time for which that multiple must last, in ms.
    pub fall_ms: f64,
    /// A waiting set-up is repeated by the network after this time, in ms; 0 for never.
    pub resend_ms: f64,
    /// Shortest gap between two events, in ms.
    pub tick_ms: f64,
}

/// A class of call.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Wanted set-up time, in ms.
    pub aim_ms: f64,
    /// Worth of a call that stands in time.
    pub worth: f64,
    /// Part of the worth left when it stands late.
    pub late_share: f64,
    /// Circuits that a call takes.
    pub width: f64,
    /// Mean length of a call, in ms.
    pub hold_ms: f64,
    /// Whether a set-up may safely run twice.
    pub repeatable: bool,
    /// Pools that serve the class; empty for any.
    pub pools: Vec<Number>,
}

/// A tenant of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Calls a second, over all agents, within its share.
    pub quota_per_s: f64,
}

/// When far processors tell of their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FarReports {
    /// In every outcome and probe result.
    Inline,
    /// In probe results alone.
    OnProbe,
    /// Never.
    Off,
}

/// Meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Free circuits of the group toward the exchange (free agents of a pool).
    Free,
    /// Size of that group or pool.
    Total,
    /// Wait at the far processor, in ms.
    Wait,
    /// Set-ups a second that the far processor can take from all senders.
    Allowed,
    /// Messages in work there.
    Busy,
    /// Messages waiting there.
    Queue,
    /// Share of the far processor in use.
    Load,
    /// Share of set-ups that each sender is asked to hold back.
    HoldBack,
    /// Something this version does not know.
    Unknown,
}

/// A load report: values in the order of [`Settings::report`]. Values may be missing, negative or not finite.
pub type Report = Vec<f64>;

/// Whether an exchange takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// A line of the list of exchanges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    /// Its address.
    pub id: ExchangeId,
    /// Its number.
    pub number: Number,
    /// The zone it stands in; only compared. Traffic inside a zone is thicker and so are its groups.
    pub zone: u16,
    /// When its processor last started, on the host's clock in ms; 0 for long ago.
    pub born_ms: f64,
    /// Whether it takes work.
    pub readiness: Readiness,
}

/// How a line of news about the list is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list: whatever is not in it is gone.
    Full,
    /// The complete list as last stored, possibly out of date.
    Cached,
    /// Only what changed.
    Changes,
    /// Asking failed; the earlier list stays.
    Failed,
}

/// A call handed to this agent.
#[derive(Clone, Debug, PartialEq)]
pub struct NewCall {
    /// Its id.
    pub call: CallId,
    /// Its class, an index into [`Settings::classes`].
    pub class: usize,
    /// Its tenant, an index into [`Settings::tenants`].
    pub tenant: usize,
    /// Circuits that it takes.
    pub width: f64,
    /// Destination (first choice among pools).
    pub dest: Number,
    /// The number called; 0 for none.
    pub called: u64,
    /// Time before the caller stops waiting, in ms.
    pub left_ms: f64,
    /// Where a call in transit comes from; `None` for an own caller's call.
    pub transit_from: Option<Number>,
    /// Route that a centre advises, if there is one.
    pub advised: Option<Number>,
    /// Whether the caller is known to dial again.
    pub redial: bool,
    /// Whether the call stood, was cut and comes again.
    pub was_cut: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call stood and has ended.
    Ended,
    /// All lines of the number busy, or a fault in signalling.
    Busy,
    /// Not set up: turned back, or no room.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection to the exchange.
    NoConnection,
    /// Set-up or standing call cut.
    Reset,
    /// Called off.
    Cancelled,
    /// Never sent.
    Moot,
}

/// Why an attempt found no room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// Nothing said.
    None,
    /// No circuit, or no agent in the pool.
    NoCircuit,
    /// Turned back by the tandem for want of circuits (crank-back).
    TurnedBack,
    /// Turned back: the processor beyond was full.
    FullBeyond,
    /// Processor full, with the wait it named in ms (0 for none). On a moot attempt: the own one is down.
    ProcessorFull(f64),
    /// All lines of the number are busy.
    LinesBusy,
}

/// What a host tells a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News about the list of exchanges.
    List {
        /// How the entries are meant.
        kind: ListKind,
        /// The entries.
        entries: Vec<Listed>,
    },
    /// A call to decide on.
    Call(NewCall),
    /// An attempt set the call up.
    Stands {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt: u32,
        /// Where it was sent.
        exchange: ExchangeId,
        /// Time since it was sent, in ms.
        took_ms: f64,
    },
    /// An attempt is over.
    Outcome {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt: u32,
        /// Where it was sent.
        exchange: ExchangeId,
        /// How it ended.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// Time since it was sent, in ms.
        took_ms: f64,
        /// Whether nothing more is owed for the call.
        closed: bool,
        /// Load report, if one came along.
        report: Option<Report>,
    },
    /// The caller has gone.
    Left {
        /// The call.
        call: CallId,
    },
    /// A timer rang.
    Timer {
        /// As given in [`Action::Timer`].
        tag: u64,
    },
    /// Answer to a probe, or unasked news of free circuits (`took_ms` 0).
    Probed {
        /// The exchange.
        exchange: ExchangeId,
        /// Whether it answered.
        answered: bool,
        /// Time since the probe was sent, in ms; 0 for unasked news.
        took_ms: f64,
        /// The report.
        report: Option<Report>,
    },
    /// A peer's message.
    Heard {
        /// Index of the sender.
        from: u32,
        /// Its bytes; anything may come.
        bytes: Vec<u8>,
    },
}

/// What a controller asks of its host, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the call up toward an exchange.
    Send {
        /// The call.
        call: CallId,
        /// The exchange.
        exchange: ExchangeId,
        /// Time-out of the attempt, in ms.
        timeout_ms: f64,
    },
    /// End the call unserved (send a call in transit back).
    Refuse {
        /// The call.
        call: CallId,
        /// How long the caller should keep away, in ms; 0 for no advice.
        retry_after_ms: f64,
    },
    /// End the call as failed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Call an attempt off.
    Cancel {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ring after a time.
    Timer {
        /// From now, in ms.
        delay_ms: f64,
        /// Given back in [`Event::Timer`].
        tag: u64,
    },
    /// Probe an exchange.
    Probe {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Tell a peer something; `None` for every peer.
    Tell {
        /// Index of the peer.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Ask to be told of changes to the list.
    Subscribe,
    /// Ask for the complete list once.
    FetchList,
    /// A line for the on-call log.
    Trace {
        /// The line.
        text: String,
    },
}
