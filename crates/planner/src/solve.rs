//! The best plan by integer programs that are solved one after the other: the first minimizes the uncarried worth, the
//! second the cost, and the others select the first of the remaining plans in canonical order.
//!
//! Each program keeps the values that the earlier ones found. Worths and costs are divided by their greatest common
//! divisors, so that the objectives of two plans are equal or differ by at least 1 and rounding errors cannot change
//! their order. The solution is rounded to whole circuits, checked against the network, and its objective is computed in
//! integers.

use std::collections::BTreeMap;

use good_lp::{
    Constraint, Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable, constraint,
    microlp, variable,
};
use thiserror::Error;

use crate::network::Network;
use crate::plan::{Flow, Plan, check_plan, objective};

/// Why there is no plan.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SolveError {
    /// No plan carries all the circuits that must be carried.
    #[error("no plan carries all circuits that must be carried")]
    Infeasible,
    /// The solver failed, or its solution is not a valid plan.
    #[error("the solver failed: {0}")]
    Solver(String),
}

/// Variable of the program: the circuits of one demand on one route.
#[derive(Clone, Copy, Debug)]
struct RouteVariable {
    from: u32,
    to: u32,
    via: Option<u32>,
    max_circuits: u32,
    worth: i64,
    cost: i64,
}

/// The network as variables and linear constraints.
struct Formulation {
    variables: Vec<RouteVariable>,
    /// Constraints: indices of variables, and the upper or lower bound of their sum.
    upper_bounds: Vec<(Vec<usize>, u32)>,
    lower_bounds: Vec<(Vec<usize>, u32)>,
    /// Greatest common divisor of all worths, and of all costs.
    worth_unit: i64,
    cost_unit: i64,
}

fn gcd(a: i64, b: i64) -> i64 {
    if b == 0 { a } else { gcd(b, a % b) }
}

impl Formulation {
    fn new(network: &Network) -> Self {
        let mut variables = Vec::new();
        let (mut upper_bounds, mut lower_bounds) = (Vec::new(), Vec::new());
        let mut groups: BTreeMap<(u32, u32), Vec<usize>> = BTreeMap::new();
        let mut regions: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for ((from, to), demand) in &network.demands {
            let (from, to) = (*from, *to);
            let mut routes = Vec::new();
            for via in network.routes(from, to) {
                let index = variables.len();
                let legs = match via {
                    None => vec![(from, to)],
                    Some(via) => vec![(from, via), (via, to)],
                };
                let mut cost = if via.is_some() { network.tandem_cost } else { 0 };
                let mut max_circuits = demand.circuits;
                for (a, b) in legs {
                    let Some(group) = network.group(a, b) else { continue };
                    cost += group.cost;
                    max_circuits = max_circuits.min(group.circuits);
                    groups.entry(group.between).or_default().push(index);
                }
                if let Some(region) =
                    via.and_then(|via| network.exchange_index(via)).map(|at| network.exchanges[at].region)
                {
                    regions.entry(region).or_default().push(index);
                }
                variables.push(RouteVariable { from, to, via, max_circuits, worth: demand.worth, cost });
                routes.push(index);
            }
            upper_bounds.push((routes.clone(), demand.circuits));
            if demand.min_circuits > 0 {
                lower_bounds.push((routes, demand.min_circuits));
            }
        }
        for (between, indices) in groups {
            upper_bounds.push((indices, network.groups[&between].circuits));
        }
        for (region, indices) in regions {
            if let Some(max_circuits) = network.transit_limits.get(&region) {
                upper_bounds.push((indices, *max_circuits));
            }
        }
        let common_divisor =
            |value: fn(&RouteVariable) -> i64| variables.iter().map(value).fold(0, gcd).max(1);
        let (worth_unit, cost_unit) =
            (common_divisor(|variable| variable.worth), common_divisor(|variable| variable.cost));
        Self { variables, upper_bounds, lower_bounds, worth_unit, cost_unit }
    }
}

impl Formulation {
    /// Upper bound of a variable, given the values of the variables before it.
    fn remaining_capacity(&self, index: usize, fixed: &[u32]) -> u32 {
        let constraints = self.upper_bounds.iter().filter(|(indices, _)| indices.contains(&index));
        let remaining = constraints.map(|(indices, max)| {
            let used: u32 = indices.iter().filter_map(|other| fixed.get(*other)).sum();
            max.saturating_sub(used)
        });
        remaining.chain([self.variables[index].max_circuits]).min().unwrap_or(0)
    }
}

/// Objective of one program.
#[derive(Clone, Copy)]
enum Goal {
    /// Maximize the worth carried.
    Worth,
    /// Minimize the cost.
    Cost,
    /// Maximize the variable of this index.
    Circuits(usize),
}

/// Results of earlier programs, which later ones must keep: worth and cost in multiples of the common divisors, and the
/// values of the first variables.
#[derive(Clone, Default)]
struct Fixed {
    worth: Option<i64>,
    cost: Option<i64>,
    circuits: Vec<u32>,
}

/// The best plan: the one with the lowest objective, and among equals the first in canonical order.
///
/// # Errors
/// If there is no plan that carries what must be carried, or the solver fails.
pub fn best_plan(network: &Network) -> Result<Plan, SolveError> {
    let formulation = Formulation::new(network);
    if formulation.lower_bounds.iter().any(|(indices, _)| indices.is_empty()) {
        return Err(SolveError::Infeasible);
    }
    let sum = |circuits: &[u32], value: fn(&RouteVariable) -> i64, unit: i64| -> i64 {
        formulation
            .variables
            .iter()
            .zip(circuits)
            .map(|(variable, n)| value(variable) / unit * i64::from(*n))
            .sum()
    };
    let mut fixed = Fixed::default();
    let mut circuits = solve_program(&formulation, &fixed, Goal::Worth)?;
    fixed.worth = Some(sum(&circuits, |variable| variable.worth, formulation.worth_unit));
    if !formulation.variables.is_empty() {
        circuits = solve_program(&formulation, &fixed, Goal::Cost)?;
        fixed.cost = Some(sum(&circuits, |variable| variable.cost, formulation.cost_unit));
    }
    for index in 0..formulation.variables.len() {
        // No program is needed for a variable that is already at its upper bound.
        if circuits[index] < formulation.remaining_capacity(index, &fixed.circuits) {
            circuits = solve_program(&formulation, &fixed, Goal::Circuits(index))?;
        }
        fixed.circuits.push(circuits[index]);
    }
    let used = formulation.variables.iter().zip(&circuits).filter(|(_, n)| **n > 0);
    let flow = |(route, n): (&RouteVariable, &u32)| Flow {
        from: route.from,
        to: route.to,
        via: route.via,
        circuits: *n,
    };
    let flows: Vec<Flow> = used.map(flow).collect();
    // The solver uses floating point, so its solution is checked before it counts as a plan.
    if let Err(violations) = check_plan(network, &flows) {
        return Err(SolveError::Solver(format!("its solution is not a valid plan: {}", violations[0])));
    }
    Ok(Plan { objective: objective(network, &flows), flows })
}

/// Solves one program; returns the circuits of each variable.
fn solve_program(formulation: &Formulation, fixed: &Fixed, goal: Goal) -> Result<Vec<u32>, SolveError> {
    let mut variables = ProblemVariables::new();
    let handles: Vec<Variable> = formulation
        .variables
        .iter()
        .enumerate()
        .map(|(index, route)| {
            let (min, max) = match fixed.circuits.get(index) {
                Some(circuits) => (*circuits, *circuits),
                None => (0, route.max_circuits),
            };
            variables.add(variable().integer().min(min).max(max))
        })
        .collect();
    let weighted_sum = |weight: &dyn Fn(&RouteVariable) -> i64| -> Expression {
        formulation.variables.iter().zip(&handles).map(|(route, handle)| weight(route) as f64 * *handle).sum()
    };
    let worth = weighted_sum(&|route| route.worth / formulation.worth_unit);
    let cost = weighted_sum(&|route| route.cost / formulation.cost_unit);
    let objective: Expression = match goal {
        Goal::Worth => worth.clone(),
        Goal::Cost => -cost.clone(),
        Goal::Circuits(index) => handles[index].into(),
    };
    let mut model = variables.maximise(objective).using(microlp);
    let sum = |indices: &[usize]| -> Expression {
        indices.iter().map(|index| Expression::from(handles[*index])).sum()
    };
    let mut constraints: Vec<Constraint> = Vec::new();
    constraints.extend(
        formulation
            .upper_bounds
            .iter()
            .filter(|(indices, _)| !indices.is_empty())
            .map(|(indices, max)| constraint!(sum(indices) <= f64::from(*max))),
    );
    constraints.extend(
        formulation.lower_bounds.iter().map(|(indices, min)| constraint!(sum(indices) >= f64::from(*min))),
    );
    // No tolerance: sums of integers are exact, and the linear relaxation would use any tolerance for a fraction of a
    // circuit, which then has to be removed by branching. A tolerance of half a unit raised the time for 7 exchanges
    // from 18 ms to over 40 s.
    constraints.extend(fixed.worth.map(|found| constraint!(worth >= found as f64)));
    constraints.extend(fixed.cost.map(|found| constraint!(cost <= found as f64)));
    for constraint in constraints {
        model = model.with(constraint);
    }
    let solution = model.solve().map_err(|error| match error {
        ResolutionError::Infeasible => SolveError::Infeasible,
        error => SolveError::Solver(error.to_string()),
    })?;
    Ok(handles.iter().map(|handle| solution.value(*handle).round().max(0.0) as u32).collect())
}
