//! Plans: their objective, their canonical order, and the check whether a network can carry them.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use thiserror::Error;

use crate::network::Network;

/// Circuits of one demand on one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// Number of the originating exchange.
    pub from: u32,
    /// Number of the destination exchange.
    pub to: u32,
    /// Number of the tandem; `None` for the direct route, which comes first in the order of flows.
    pub via: Option<u32>,
    /// Number of circuits, at least 1.
    pub circuits: u32,
}

/// Objective of the planner, in millionths: minimize the uncarried worth, then the cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Objective {
    /// Worth of the circuits that are demanded and not carried.
    pub uncarried_worth: i128,
    /// Cost of the circuits in use.
    pub cost: i128,
}

/// A plan with its objective.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The flows, in canonical order.
    pub flows: Vec<Flow>,
    /// Uncarried worth and cost of the flows.
    pub objective: Objective,
}

/// Why a network cannot carry a plan.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Violation {
    /// The network has no demand from this origin to this destination.
    #[error("flow from {from} to {to}: the network has no such demand")]
    NoDemand {
        /// Number of the originating exchange.
        from: u32,
        /// Number of the destination exchange.
        to: u32,
    },
    /// The route does not exist.
    #[error("flow from {from} to {to}: there is no {}", via.map_or("direct route".to_owned(), |via| format!("route over {via}")))]
    NoRoute {
        /// Number of the originating exchange.
        from: u32,
        /// Number of the destination exchange.
        to: u32,
        /// Number of the tandem; `None` for the direct route.
        via: Option<u32>,
    },
    /// A flow without circuits, or a second flow on the same route.
    #[error("flow from {from} to {to}: expected each route once, with at least one circuit")]
    InvalidFlow {
        /// Number of the originating exchange.
        from: u32,
        /// Number of the destination exchange.
        to: u32,
    },
    /// More circuits are carried than demanded.
    #[error("from {from} to {to}: {carried} circuits are carried, but only {demanded} are demanded")]
    ExceedsDemand {
        /// Number of the originating exchange.
        from: u32,
        /// Number of the destination exchange.
        to: u32,
        /// Circuits carried.
        carried: u64,
        /// Circuits demanded.
        demanded: u32,
    },
    /// Fewer circuits are carried than the minimum of the demand.
    #[error("from {from} to {to}: {carried} circuits are carried, but {min_circuits} must be")]
    BelowMinimum {
        /// Number of the originating exchange.
        from: u32,
        /// Number of the destination exchange.
        to: u32,
        /// Circuits carried.
        carried: u64,
        /// Minimum number of circuits to be carried.
        min_circuits: u32,
    },
    /// More circuits than the group has.
    #[error("group between {} and {}: {used} circuits are used, but it has only {circuits}", between.0, between.1)]
    GroupExceeded {
        /// The two exchanges of the group.
        between: (u32, u32),
        /// Circuits used.
        used: u64,
        /// Circuits of the group.
        circuits: u32,
    },
    /// More circuits over tandems of a region than its limit.
    #[error("transit in region {region}: {used} circuits are used, but the limit is {max_circuits}")]
    TransitLimitExceeded {
        /// Name of the region.
        region: String,
        /// Circuits used.
        used: u64,
        /// Maximum number of circuits.
        max_circuits: u32,
    },
}

/// Whether a network can carry these flows.
///
/// # Errors
/// All violations: first those of single flows, in the order of the flows, then those of demands, groups and regions.
pub fn check_plan(network: &Network, flows: &[Flow]) -> Result<(), Vec<Violation>> {
    let mut violations = Vec::new();
    let mut carried: BTreeMap<(u32, u32), u64> = BTreeMap::new();
    let mut used: BTreeMap<(u32, u32), u64> = BTreeMap::new();
    let mut transit_used: BTreeMap<usize, u64> = BTreeMap::new();
    let mut seen = std::collections::BTreeSet::new();
    for Flow { from, to, via, circuits } in flows.iter().copied() {
        if circuits == 0 || !seen.insert((from, to, via)) {
            violations.push(Violation::InvalidFlow { from, to });
            continue;
        }
        if !network.demands.contains_key(&(from, to)) {
            violations.push(Violation::NoDemand { from, to });
            continue;
        }
        let legs = match via {
            None => vec![(from, to)],
            Some(via) => vec![(from, via), (via, to)],
        };
        let valid_tandem =
            via.is_none_or(|via| via != from && via != to && network.exchange_index(via).is_some());
        if !valid_tandem || legs.iter().any(|(a, b)| network.group(*a, *b).is_none()) {
            violations.push(Violation::NoRoute { from, to, via });
            continue;
        }
        *carried.entry((from, to)).or_default() += u64::from(circuits);
        for (a, b) in legs {
            *used.entry((a.min(b), a.max(b))).or_default() += u64::from(circuits);
        }
        if let Some(index) = via.and_then(|via| network.exchange_index(via)) {
            *transit_used.entry(network.exchanges[index].region).or_default() += u64::from(circuits);
        }
    }
    for ((from, to), demand) in &network.demands {
        let (from, to) = (*from, *to);
        let carried = carried.get(&(from, to)).copied().unwrap_or(0);
        if carried > u64::from(demand.circuits) {
            violations.push(Violation::ExceedsDemand { from, to, carried, demanded: demand.circuits });
        }
        if carried < u64::from(demand.min_circuits) {
            violations.push(Violation::BelowMinimum { from, to, carried, min_circuits: demand.min_circuits });
        }
    }
    for (between, used) in used {
        let circuits = network.groups.get(&between).map_or(0, |group| group.circuits);
        if used > u64::from(circuits) {
            violations.push(Violation::GroupExceeded { between, used, circuits });
        }
    }
    for (region, max_circuits) in &network.transit_limits {
        let used = transit_used.get(region).copied().unwrap_or(0);
        if used > u64::from(*max_circuits) {
            violations.push(Violation::TransitLimitExceeded {
                region: network.regions[*region].clone(),
                used,
                max_circuits: *max_circuits,
            });
        }
    }
    if violations.is_empty() { Ok(()) } else { Err(violations) }
}

/// Uncarried worth and cost of these flows. The network need not be able to carry them; a group that does not exist
/// costs nothing.
pub fn objective(network: &Network, flows: &[Flow]) -> Objective {
    let demanded =
        network.demands.values().map(|demand| i128::from(demand.circuits) * i128::from(demand.worth));
    let mut objective = Objective { uncarried_worth: demanded.sum(), cost: 0 };
    for flow in flows {
        let circuits = i128::from(flow.circuits);
        let worth = network.demands.get(&(flow.from, flow.to)).map_or(0, |demand| demand.worth);
        objective.uncarried_worth -= circuits * i128::from(worth);
        let cost = |a, b| network.group(a, b).map_or(0, |group| i128::from(group.cost));
        objective.cost += circuits
            * match flow.via {
                None => cost(flow.from, flow.to),
                Some(via) => cost(flow.from, via) + cost(via, flow.to) + i128::from(network.tandem_cost),
            };
    }
    objective
}

/// Compares two plans in canonical order. The routes are compared by origin, destination and tandem, the direct route
/// first; at the first route whose circuits differ, the plan with more circuits comes first.
pub fn compare_canonical(a: &[Flow], b: &[Flow]) -> Ordering {
    let by_route = |flows: &[Flow]| -> BTreeMap<(u32, u32, Option<u32>), u32> {
        flows.iter().map(|flow| ((flow.from, flow.to, flow.via), flow.circuits)).collect()
    };
    let (a, b) = (by_route(a), by_route(b));
    let routes: std::collections::BTreeSet<_> = a.keys().chain(b.keys()).collect();
    let circuits = routes.into_iter().map(|route| (a.get(route).unwrap_or(&0), b.get(route).unwrap_or(&0)));
    circuits.map(|(a, b)| b.cmp(a)).find(|order| *order != Ordering::Equal).unwrap_or(Ordering::Equal)
}
