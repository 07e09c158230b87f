//! Decisions of a call control for a mesh of switches.
#![doc = include_str!("../README.md")]

pub mod decide;
pub mod interface;
pub mod wire;

pub use decide::Controller;
