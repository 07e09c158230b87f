//! A stand-in for the mesh round the softswitches, written from the platform's protocol: exchanges with a processor of
//! one line, groups of circuits shared by both ends, callers by class who dial again, the resolver that lags, and
//! incidents from a script.
//!
//! [`MeshModel`] is a pure model: it is handed the time and what softswitches say, and asked for what they hear. The same
//! seed and the same words give the same world. [`loopback`] puts sockets on loopback round it, for real softswitches.
//!
//! What it leaves out: the work that a call costs its own exchange, and set-ups that the network repeats.

mod config;
pub mod loopback;
mod model;
mod scenario;

pub use config::SoftswitchConfig;
pub use model::{
    ClassTotals, Input, ListedExchange, MeshModel, MessageFromCaller, MessageFromExchange, MessageToCaller,
    MessageToExchange, Output,
};
pub use scenario::{CLASSES, CallClass, Scenario, ScenarioError, ScriptedIncident, ScriptedKind};
