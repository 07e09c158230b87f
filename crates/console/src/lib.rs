//! Terminal console that shows every softswitch and every node (an exchange with its host), live over the HTTP interface
//! for operators or played back from record files.
//!
//! [`Model`] is a pure function of the snapshots received and of the time; [`view`] draws it on any backend;
//! [`run_live`] and [`run_replay`] control the terminal, handle keys and start the threads that poll.

mod fetch;
mod model;
mod replay;
mod screen;
pub mod view;

pub use fetch::fetch_snapshot;
pub use model::{
    ExchangeState, Model, NodeRow, Snapshot, SnapshotError, SoftswitchRow, SoftswitchState, SortOrder,
};
pub use replay::Replay;
pub use screen::{run_live, run_replay};
