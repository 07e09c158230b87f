//! The best plan by exhaustive search, for small networks and as a reference for the solver. It shares with the integer
//! programs of [`crate::solve`] only the network and the objective: it assigns circuits to one route after the other
//! and backtracks.

use std::collections::BTreeMap;

use crate::network::Network;
use crate::plan::{Flow, Plan, objective};

/// A route of a demand.
struct Route {
    /// Index of the demand.
    demand: usize,
    /// The flow on this route, without its circuits.
    flow: Flow,
    /// Indices in [`Search::free`] of the groups and of the transit limit that the route uses.
    resources: Vec<usize>,
}

struct Search<'a> {
    network: &'a Network,
    routes: Vec<Route>,
    /// Free circuits of each group, then of the transit limit of each region.
    free: Vec<u32>,
    /// Circuits of each demand that are not carried yet.
    uncarried: Vec<u32>,
    /// Circuits of each demand that must still be carried to reach its minimum.
    required: Vec<u32>,
    /// End of the routes of each demand: index of its last route + 1.
    route_ends: Vec<usize>,
    /// Circuits assigned to each route.
    circuits: Vec<u32>,
    best: Option<Plan>,
}

/// The best plan; `None` if there is no plan that carries what must be carried.
///
/// The number of plans grows as the product of the possible numbers of circuits of all routes: a dozen routes with
/// three circuits each take seconds.
pub fn best_plan(network: &Network) -> Option<Plan> {
    let mut free: Vec<u32> = network.groups.values().map(|group| group.circuits).collect();
    let groups: BTreeMap<(u32, u32), usize> = network.groups.keys().copied().zip(0..).collect();
    let mut regions = BTreeMap::new();
    for (region, max_circuits) in &network.transit_limits {
        regions.insert(*region, free.len());
        free.push(*max_circuits);
    }
    let mut routes = Vec::new();
    let mut route_ends = Vec::new();
    for (demand, (from, to)) in network.demands.keys().copied().enumerate() {
        for via in network.routes(from, to) {
            let group = |a: u32, b: u32| groups[&(a.min(b), a.max(b))];
            let mut resources = match via {
                None => vec![group(from, to)],
                Some(via) => vec![group(from, via), group(via, to)],
            };
            let region = via.and_then(|via| Some(network.exchanges[network.exchange_index(via)?].region));
            resources.extend(region.and_then(|region| regions.get(&region).copied()));
            routes.push(Route { demand, flow: Flow { from, to, via, circuits: 0 }, resources });
        }
        route_ends.push(routes.len());
    }
    let demands = || network.demands.values();
    let mut search = Search {
        network,
        circuits: vec![0; routes.len()],
        routes,
        free,
        uncarried: demands().map(|demand| demand.circuits).collect(),
        required: demands().map(|demand| demand.min_circuits).collect(),
        route_ends,
        best: None,
    };
    search.assign_from(0, 0);
    search.best
}

impl Search<'_> {
    /// Tries all assignments of circuits to the routes from this index on. All routes of the first `done` demands have
    /// their circuits already.
    fn assign_from(&mut self, route: usize, done: usize) {
        if let Some(end) = self.route_ends.get(done)
            && *end == route
        {
            if self.required[done] == 0 {
                self.assign_from(route, done + 1);
            }
            return;
        }
        if route == self.routes.len() {
            return self.evaluate();
        }
        let (demand, resources) = (self.routes[route].demand, self.routes[route].resources.clone());
        let max = resources
            .iter()
            .map(|resource| self.free[*resource])
            .chain([self.uncarried[demand]])
            .min()
            .unwrap_or(0);
        // Most circuits first: of several equally good plans, the search then finds the first in canonical order first.
        for circuits in (0..=max).rev() {
            let required = self.required[demand];
            resources.iter().for_each(|resource| self.free[*resource] -= circuits);
            self.uncarried[demand] -= circuits;
            self.required[demand] = required.saturating_sub(circuits);
            self.circuits[route] = circuits;
            self.assign_from(route + 1, done);
            resources.iter().for_each(|resource| self.free[*resource] += circuits);
            self.uncarried[demand] += circuits;
            self.required[demand] = required;
        }
    }

    /// Keeps the current plan if its objective is lower than that of the best plan so far.
    fn evaluate(&mut self) {
        let used = self.routes.iter().zip(&self.circuits).filter(|(_, circuits)| **circuits > 0);
        let flows: Vec<Flow> =
            used.map(|(route, circuits)| Flow { circuits: *circuits, ..route.flow }).collect();
        let objective = objective(self.network, &flows);
        if self.best.as_ref().is_none_or(|best| objective < best.objective) {
            self.best = Some(Plan { flows, objective });
        }
    }
}
