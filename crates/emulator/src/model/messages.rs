//! What enters and leaves the model: messages of softswitches, callers and exchanges, the list, and the totals.

use std::time::Duration;

/// Message to a softswitch from one of its callers: a subscriber, or its own exchange with a call in transit.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageFromCaller {
    /// A set-up.
    SetUp {
        /// Name of the class.
        class: &'static str,
        /// How long the caller still waits for an answer.
        remaining: Duration,
        /// The destination exchange.
        dest: usize,
        /// The exchange that a call in transit comes from.
        transit_from: Option<usize>,
    },
    /// The caller abandons the set-up or releases the established call.
    HangUp,
}

/// Message from a softswitch to a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageToCaller {
    /// The call is established.
    Answered,
    /// The call was refused, failed or has ended: Q.850 cause, and the time for which the caller should not redial.
    Ended(u8, Duration),
}

/// Message from a softswitch to an exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageToExchange {
    /// A set-up.
    SetUp,
    /// Cancels the set-up or releases the established call.
    Release,
    /// A probe.
    Probe,
}

/// Message from an exchange to a softswitch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageFromExchange {
    /// The call is established.
    Answered,
    /// The attempt failed or the call has ended: Q.850 cause, note, and the wait at the processor; the wait is zero
    /// unless the processor refused the set-up as full.
    Ended(u8, &'static str, Duration),
    /// Free circuits and size of the group between this exchange and the exchange of the softswitch.
    GroupState(u32, u32),
    /// The probe succeeded.
    ProbePassed,
}

/// Input of the model.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// No event; time has passed.
    Wake,
    /// A softswitch started to accept calls.
    SoftswitchUp(usize),
    /// The process of a softswitch has ended.
    SoftswitchDown(usize),
    /// A softswitch opened a connection to an exchange.
    ExchangeConnected {
        /// Number of the softswitch.
        softswitch: usize,
        /// Number of the exchange.
        exchange: usize,
    },
    /// A softswitch sent a message to an exchange.
    ToExchange {
        /// Number of the softswitch.
        softswitch: usize,
        /// Number of the exchange.
        exchange: usize,
        /// Id of the call.
        call: u64,
        /// The message.
        message: MessageToExchange,
    },
    /// A softswitch sent a message to a caller.
    ToCaller {
        /// Number of the softswitch.
        softswitch: usize,
        /// Id of the call.
        call: u64,
        /// The message.
        message: MessageToCaller,
    },
}

/// Effect that the model requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Deliver a message from a caller to a softswitch.
    FromCaller {
        /// Number of the softswitch.
        softswitch: usize,
        /// Id of the call.
        call: u64,
        /// The message.
        message: MessageFromCaller,
    },
    /// Deliver a message from an exchange to a softswitch.
    FromExchange {
        /// Number of the softswitch.
        softswitch: usize,
        /// Number of the exchange.
        exchange: usize,
        /// Id of the call; 0 for none.
        call: u64,
        /// The message.
        message: MessageFromExchange,
    },
    /// The process of an exchange has stopped: close its connections and accept no new ones.
    ExchangeDown(usize),
    /// The process of an exchange runs again: accept connections.
    ExchangeUp(usize),
    /// Kill the process of a softswitch.
    KillSoftswitch(usize),
    /// Start the process of a softswitch again.
    StartSoftswitch(usize),
}

/// Entry of the list of exchanges.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedExchange {
    /// Name of the exchange.
    pub name: String,
    /// Number of the exchange.
    pub exchange: usize,
    /// When its processor last started, as time since the start of the run; `None` if it started before the run.
    pub started_at: Option<Duration>,
    /// Whether it is draining, so that softswitches should send it no new calls; the model would still accept them.
    pub draining: bool,
}

/// Outcomes of the calls of one class. Redials belong to the call of the first attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassTotals {
    /// Calls offered.
    pub offered: u64,
    /// Calls established within the target set-up time.
    pub in_time: u64,
    /// Calls established later.
    pub late: u64,
    /// Calls never established.
    pub unserved: u64,
    /// Established calls that were cut before their end.
    pub cut: u64,
}
