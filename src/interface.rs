//! Interface between a host and the decision module, the [`Controller`](crate::Controller) of a softswitch: the events
//! that it receives and the actions that it returns.
//!
//! The types contain no logic and depend on no protocol, so a host can fill them from any source.

/// Address of the processor that serves an exchange at present. An exchange that is replaced gets another address and
/// keeps its [`Number`]. Opaque to the controller, which only compares and returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId {
    /// IPv4 address, first byte first.
    pub address: [u8; 4],
    /// Port at that address.
    pub port: u16,
}

/// Id of a call, assigned by the host and never reused.
pub type CallId = u32;

/// Number of an exchange (or pool) in the numbering plan: its identity, by which calls name their destination.
pub type Number = u32;

/// Configuration that a controller receives at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of softswitches in service, including this one.
    pub softswitch_count: u32,
    /// Index of this softswitch, from 0.
    pub self_index: u32,
    /// Number of the home exchange; `None` where the exchanges are pools shared by all softswitches.
    pub home: Option<Number>,
    /// Classes of call; events refer to them by index.
    pub classes: Vec<Class>,
    /// Tenants; events refer to them by index. May be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a call beyond its tenant's quota, as a fraction of its class's worth.
    pub over_quota_worth_factor: f64,
    /// Whether the list of exchanges has to be fetched.
    pub must_fetch_list: bool,
    /// Longest time without a fetch of the list before it counts as delivered, in ms.
    pub list_fetch_interval_ms: f64,
    /// Meaning of each value of a load report.
    pub report_fields: Vec<ReportField>,
    /// When remote processors report their load.
    pub load_report_mode: LoadReportMode,
    /// Maximum number of attempts per call.
    pub attempt_limit: u32,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether exchanges may be probed.
    pub may_probe: bool,
    /// Whether messages may be sent to peers, the other softswitches.
    pub may_message_peers: bool,
    /// Longest retry-after that callers honour, in ms; 0 where callers receive none.
    pub max_retry_after_ms: f64,
    /// Time after a drain notice by which set-ups to the exchange must stop, in ms.
    pub drain_grace_ms: f64,
    /// Pause after a time-out, reset or cancel before the call may be sent again, in ms.
    pub release_pause_ms: f64,
    /// Fraction of its capacity that a cold exchange starts with.
    pub cold_initial_capacity: f64,
    /// Time after its start until an exchange has its full capacity, in ms.
    pub cold_period_ms: f64,
    /// Multiple of its current capacity at which a cold exchange fails under overload.
    pub overload_factor: f64,
    /// Time for which that multiple must last, in ms.
    pub overload_duration_ms: f64,
    /// The network retransmits a set-up without a reply after this time, in ms; 0 for never.
    pub retransmit_ms: f64,
    /// Shortest interval between two events, in ms.
    pub tick_ms: f64,
}

/// A class of call.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Target set-up time, in ms.
    pub target_setup_ms: f64,
    /// Worth of a call that is established within the target.
    pub worth: f64,
    /// Fraction of the worth that remains when the call is established late.
    pub late_worth_factor: f64,
    /// Circuits that a call takes.
    pub width: f64,
    /// Mean duration of a call, in ms.
    pub mean_hold_ms: f64,
    /// Whether a call of the class may safely be set up twice.
    pub idempotent: bool,
    /// Pools that serve the class; empty for any.
    pub pools: Vec<Number>,
}

/// A tenant of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Calls per second within its quota, summed over all softswitches.
    pub quota_per_s: f64,
}

/// When remote processors report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportMode {
    /// With every outcome and probe result.
    Inline,
    /// With probe results only.
    OnProbe,
    /// Never.
    Off,
}

/// Meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Free circuits of the group toward the exchange (free agents of a pool).
    FreeCircuits,
    /// Size of that group or pool.
    TotalCircuits,
    /// Wait at the remote processor, in ms.
    WaitMs,
    /// Set-ups per second that the remote processor accepts from all senders.
    AllowedRate,
    /// Messages being processed there.
    ActiveMessages,
    /// Messages queued there.
    QueuedMessages,
    /// Fraction of the remote processor in use.
    Utilization,
    /// Fraction of set-ups that each sender is asked to hold back.
    RequestedReduction,
    /// A field that this version does not know.
    Unknown,
}

/// A load report: values in the order of [`Settings::report_fields`]. Values may be missing, negative or not finite.
pub type LoadReport = Vec<f64>;

/// Whether an exchange accepts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts calls.
    Ready,
    /// Completes its calls and accepts no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// An entry of the list of exchanges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedExchange {
    /// Its address.
    pub id: ExchangeId,
    /// Its number.
    pub number: Number,
    /// Its zone; only compared. Traffic inside a zone is heavier, and its groups are larger accordingly.
    pub zone: u16,
    /// When its processor last started, on the host's clock in ms; 0 for long ago.
    pub started_ms: f64,
    /// Whether it accepts calls.
    pub readiness: Readiness,
}

/// How to apply the entries of a list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// The complete list: an exchange that is not in it has been removed.
    Complete,
    /// The complete list as last stored, possibly out of date.
    Cached,
    /// Only the entries that changed.
    Changes,
    /// The fetch failed; the earlier list remains valid.
    FetchFailed,
}

/// A call offered to this softswitch.
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
    pub called_number: u64,
    /// Time until the caller stops waiting, in ms.
    pub remaining_ms: f64,
    /// Exchange that a call in transit comes from; `None` for a call of an own caller.
    pub transit_from: Option<Number>,
    /// Route that a route centre advises, if any.
    pub advised_route: Option<Number>,
    /// Whether the caller is known to dial again.
    pub redial: bool,
    /// Whether the call was established before, was cut and is set up again.
    pub was_cut: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call was established and has ended.
    Completed,
    /// All lines of the number are busy, or a signalling fault.
    Busy,
    /// Not set up: cranked back or no capacity.
    Congested,
    /// No reply in time.
    TimedOut,
    /// No connection to the exchange.
    NoConnection,
    /// The set-up or the established call was cut.
    Reset,
    /// Cancelled by this softswitch.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// Why an attempt was not served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// No reason given.
    Unspecified,
    /// No free circuit, or no free agent in the pool.
    NoCircuit,
    /// The tandem had no free circuit (crank-back).
    CrankBack,
    /// The tandem cranked the call back because the processor of the destination was full.
    DestinationFull,
    /// The processor is full, with the wait that it reported in ms (0 for none). For an attempt with
    /// [`Outcome::NotSent`]: the own processor is down.
    ProcessorFull(f64),
    /// All lines of the number are busy.
    UserBusy,
}

/// Event that a host reports to a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Update of the list of exchanges.
    List {
        /// How to apply the entries.
        kind: ListUpdateKind,
        /// The entries.
        entries: Vec<ListedExchange>,
    },
    /// A call to decide on.
    Call(NewCall),
    /// An attempt established the call.
    Answered {
        /// The call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Exchange that it was sent to.
        exchange: ExchangeId,
        /// Time since it was sent, in ms.
        elapsed_ms: f64,
    },
    /// An attempt, or the call that it established, ended.
    AttemptEnded {
        /// The call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Exchange that it was sent to.
        exchange: ExchangeId,
        /// How it ended.
        outcome: Outcome,
        /// Why it was not served.
        reason: Reason,
        /// Time since it was sent, in ms.
        elapsed_ms: f64,
        /// Whether the call is closed and needs no further action.
        call_closed: bool,
        /// Load report, if one was attached.
        report: Option<LoadReport>,
    },
    /// The caller abandoned the call.
    Abandoned {
        /// The call.
        call: CallId,
    },
    /// A timer expired.
    TimerExpired {
        /// Tag given in [`Action::SetTimer`].
        tag: u64,
    },
    /// Result of a probe, or an unsolicited report of free circuits (`elapsed_ms` 0).
    ProbeResult {
        /// The exchange.
        exchange: ExchangeId,
        /// Whether it replied.
        answered: bool,
        /// Time since the probe was sent, in ms; 0 for an unsolicited report.
        elapsed_ms: f64,
        /// Load report, if one was attached.
        report: Option<LoadReport>,
    },
    /// A message from a peer, another softswitch.
    PeerMessage {
        /// Index of the sender.
        from: u32,
        /// Content, not validated.
        bytes: Vec<u8>,
    },
}

/// Action that a controller requests of its host; actions are executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up to an exchange.
    Send {
        /// The call.
        call: CallId,
        /// The exchange.
        exchange: ExchangeId,
        /// Time-out of the attempt, in ms.
        timeout_ms: f64,
    },
    /// Refuse the call (crank back a call in transit).
    Refuse {
        /// The call.
        call: CallId,
        /// Time for which the caller should not retry, in ms; 0 for no advice.
        retry_after_ms: f64,
    },
    /// End the call as failed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// Delay from now, in ms.
        delay_ms: f64,
        /// Returned in [`Event::TimerExpired`].
        tag: u64,
    },
    /// Probe an exchange.
    Probe {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Send a message to a peer, or with `None` to every peer. The engine of this repository has no transport between
    /// softswitches and ignores this action; the simulator's adapter carries the messages.
    SendPeerMessage {
        /// Index of the peer.
        to: Option<u32>,
        /// Content, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// Fetch the complete list once.
    FetchList,
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}
