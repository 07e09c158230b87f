//! A softswitch for a mesh of exchanges: the decision module, the engine that runs it, and two fronts.
#![doc = include_str!("../README.md")]

pub mod config;
pub mod decide;
pub mod edge;
pub mod engine;
pub mod iax2;
pub mod interface;
pub mod load;
pub mod log;
pub mod net;
pub mod ops;
pub mod wire;

pub use decide::Controller;
