//! Emulator of the mesh around the softswitches, written from the platform's protocol: exchanges whose processor
//! handles one set-up at a time, groups of circuits shared by both ends, callers of several classes that redial, a
//! resolver that lags, and scripted incidents.
//!
//! [`MeshModel`] is a pure model in virtual time: its caller passes the time and the messages of the softswitches, and
//! gets the messages to deliver to them. The same seed and the same inputs give the same outputs. [`loopback`] runs the
//! model with sockets on loopback and real softswitch processes.
//!
//! Not modelled: the processing time of a call at its originating exchange, and retransmission of set-ups by the
//! network.

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
