//! Fault trials: real softswitch processes on loopback with stand-ins for callers, exchanges and the resolver. Each
//! stand-in notes what it saw in one [`Journal`]; the checker works from that alone.
#![allow(dead_code)]

pub mod caller;
pub mod checker;
pub mod exchange;
pub mod line_peer;
pub mod plan;
pub mod process;
pub mod resolver;
pub mod run;
pub mod strangers;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval at which the stand-ins look at their sockets and clocks.
pub const TICK: Duration = Duration::from_millis(1);

/// Id of a call; callers never use an id twice.
pub type CallId = u64;
/// Number of a softswitch, and of an exchange.
pub type Node = usize;
/// Number of a connection, unique in a trial.
pub type ConnId = u64;

/// How a connection ended, as its caller or exchange saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnEnd {
    /// Closed by this side.
    Own,
    /// Closed or reset by the softswitch.
    Remote,
}

/// A final message to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// The call stands, with this description.
    Answer(String),
    /// A release with this cause: refused, failed, or the end of a call that stood.
    Release(u32),
    /// A message that is not a valid one of a softswitch.
    Invalid(String),
}

/// What a stand-in saw or did.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A caller has written the last byte of a set-up.
    SetUp { softswitch: Node, conn: ConnId, call: CallId, left: Duration, dest: Node, may_repeat: bool },
    /// A set-up crossed the end of a connection on which no other one was open; its caller sends it again.
    Crossed { call: CallId },
    /// A caller has given a set-up up, or closed its connection.
    GivenUp { call: CallId },
    /// A bad client has left after it wrote a set-up, which comes again later or not.
    StrangerLeft { softswitch: Node, call: CallId, comes_again: bool },
    /// A caller has released a call that stood.
    HungUp { call: CallId },
    /// A caller has received a final message about a call.
    ToCaller { softswitch: Node, call: CallId, message: CallerMessage },
    /// A connection between a caller and a softswitch is open.
    CallerConnOpened { softswitch: Node, conn: ConnId },
    /// It has ended.
    CallerConnEnded { softswitch: Node, conn: ConnId, end: ConnEnd },
    /// A set-up has reached an exchange whole.
    Attempt { exchange: Node, conn: ConnId, call: CallId, left: Duration },
    /// An exchange has answered a set-up with this description.
    Answered { exchange: Node, call: CallId, description: String },
    /// A set-up has run at an exchange, and its answer is lost with its connection.
    Ran { exchange: Node, call: CallId },
    /// An exchange has ended an attempt or a call with this cause.
    Ended { exchange: Node, call: CallId, cause: u32 },
    /// A softswitch has given a set-up up at an exchange, or released a call there.
    ReleasedAtExchange { exchange: Node, call: CallId },
    /// A connection between a softswitch and an exchange has ended, and with it the open set-ups on it.
    ExchangeConnEnded { exchange: Node, conn: ConnId },
    /// An exchange works, hangs or is down from now on.
    ModeChanged { exchange: Node, mode: exchange::Mode },
    /// The resolver answers no query, or answers again.
    ResolverSilent { on: bool },
    /// A process went over a limit.
    Limits { softswitch: Node, detail: String },
    /// The resolver's list says that an exchange drains or is gone.
    ListedUnavailable { exchange: Node },
    /// A process was started.
    Started { softswitch: Node },
    /// It passed a health check.
    Ready { softswitch: Node },
    /// It was sent SIGCONT after it had hung.
    Continued { softswitch: Node },
    /// It was sent SIGTERM.
    Terminated { softswitch: Node },
    /// It was sent SIGKILL; `planned` if that was at the end of a shutdown.
    Killed { softswitch: Node, planned: bool },
    /// It ended by itself, with success or not.
    Exited { softswitch: Node, success: bool },
}

/// Everything that the stand-ins of a trial saw, with the time.
#[derive(Clone, Debug, Default)]
pub struct Journal(Arc<Mutex<Vec<(Instant, Observation)>>>);

impl Journal {
    /// Adds an observation made now.
    pub fn note(&self, observation: Observation) {
        self.note_at(Instant::now(), observation);
    }

    /// Adds an observation made at this time.
    pub fn note_at(&self, at: Instant, observation: Observation) {
        self.0.lock().expect("journal").push((at, observation));
    }

    /// Number of set-ups so far.
    pub fn setup_count(&self) -> usize {
        let entries = self.0.lock().expect("journal");
        entries.iter().filter(|(_, observation)| matches!(observation, Observation::SetUp { .. })).count()
    }

    /// All observations so far, oldest first.
    pub fn entries(&self) -> Vec<(Instant, Observation)> {
        let mut entries = self.0.lock().expect("journal").clone();
        entries.sort_by_key(|(at, _)| *at);
        entries
    }
}
