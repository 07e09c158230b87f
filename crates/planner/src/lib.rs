//! Planner for circuits: how much of each demand to carry on the direct route and how much over which tandem, within
//! the sizes of the circuit groups and the transit limits of the regions. A library without I/O; see
//! `docs/design/0002-planner.md`.
//!
//! ```
//! use swiftlb_planner::{Network, check_plan, exhaustive};
//!
//! let network = Network::parse(r#"{"regions":["wien"],
//!     "exchanges":[{"number":0,"region":"wien"},{"number":1,"region":"wien"},{"number":2,"region":"wien"}],
//!     "groups":[{"between":[0,1],"circuits":1,"cost":1},{"between":[0,2],"circuits":2,"cost":1},
//!               {"between":[1,2],"circuits":2,"cost":1}],
//!     "demand":[{"from":0,"to":1,"circuits":2,"worth":1}]}"#)?;
//! let plan = exhaustive::best_plan(&network).expect("no circuit must be carried, so there is a plan");
//! assert_eq!(plan.flows.len(), 2, "one circuit on the direct route, one over the tandem");
//! assert!(check_plan(&network, &plan.flows).is_ok());
//! # Ok::<(), swiftlb_planner::NetworkError>(())
//! ```

pub mod conflict;
pub mod exhaustive;
mod network;
mod plan;
pub mod solve;

pub use network::{Demand, Exchange, Group, MICRO, Network, NetworkError};
pub use plan::{Flow, Objective, Plan, Violation, check_plan, compare_canonical, objective};
