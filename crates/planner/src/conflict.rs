//! Why a network has no plan: a minimal set of constraints that cannot all hold (an irreducible infeasible subset).

use crate::network::Network;
use crate::solve::{SolveError, best_plan};

/// Constraint of a network that could be dropped to make a plan possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Constraint {
    /// At least this many circuits of a demand must be carried.
    MinCircuits {
        /// Number of the originating exchange.
        from: u32,
        /// Number of the destination exchange.
        to: u32,
        /// Minimum number of circuits.
        circuits: u32,
    },
    /// At most this many circuits may pass the tandems of a region.
    TransitLimit {
        /// Index of the region in [`Network::regions`].
        region: usize,
        /// Maximum number of circuits.
        max_circuits: u32,
    },
}

impl Constraint {
    /// The constraint in words.
    pub fn describe(&self, network: &Network) -> String {
        match self {
            Self::MinCircuits { from, to, circuits } => {
                format!("{circuits} circuits from {from} to {to} must be carried")
            }
            Self::TransitLimit { region, max_circuits } => {
                format!(
                    "{max_circuits} circuits at most may pass the tandems of {}",
                    network.regions[*region]
                )
            }
        }
    }
}

/// All constraints of a network that could be dropped.
pub fn constraints(network: &Network) -> Vec<Constraint> {
    let minima = network.demands.values().filter(|demand| demand.min_circuits > 0);
    let minima = minima.map(|demand| Constraint::MinCircuits {
        from: demand.from,
        to: demand.to,
        circuits: demand.min_circuits,
    });
    let limits = network.transit_limits.iter().map(|(region, max_circuits)| Constraint::TransitLimit {
        region: *region,
        max_circuits: *max_circuits,
    });
    minima.chain(limits).collect()
}

/// The network with only these of its constraints.
pub fn with_only(network: &Network, constraints: &[Constraint]) -> Network {
    let mut reduced = network.clone();
    for ((from, to), demand) in &mut reduced.demands {
        let is_kept = |c: &Constraint| matches!(c, Constraint::MinCircuits { from: f, to: t, .. } if (f, t) == (from, to));
        if !constraints.iter().any(is_kept) {
            demand.min_circuits = 0;
        }
    }
    reduced.transit_limits.retain(|region, _| {
        constraints.iter().any(|c| matches!(c, Constraint::TransitLimit { region: r, .. } if r == region))
    });
    reduced
}

/// A minimal set of conflicting constraints: there is no plan that meets them all, but there is one as soon as any one
/// of them is dropped. `None` if the network has a plan. If there are several such sets, this is the one that remains
/// when constraints are dropped in their order: demands by origin and destination, then regions.
///
/// # Errors
/// If the solver fails for another reason than that there is no plan.
pub fn find(network: &Network) -> Result<Option<Vec<Constraint>>, SolveError> {
    let has_plan = |constraints: &[Constraint]| match best_plan(&with_only(network, constraints)) {
        Ok(_) => Ok(true),
        Err(SolveError::Infeasible) => Ok(false),
        Err(error) => Err(error),
    };
    let mut remaining = constraints(network);
    if has_plan(&remaining)? {
        return Ok(None);
    }
    let mut index = 0;
    while index < remaining.len() {
        let mut without = remaining.clone();
        without.remove(index);
        // A constraint stays dropped if the others conflict without it.
        if has_plan(&without)? { index += 1 } else { remaining = without }
    }
    Ok(Some(remaining))
}
