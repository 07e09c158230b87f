//! Tests of the solver against the exhaustive search. The two share only the network and the objective.

#[path = "../../../tests/common/rng.rs"]
mod rng;

use std::time::{Duration, Instant};

use rng::SplitMix64;
use swiftlb_planner::conflict::{self, Constraint};
use swiftlb_planner::{Network, check_plan, exhaustive, solve};

/// JSON of a network of 3 to 6 exchanges in up to 3 regions, small enough for the exhaustive search: few demands of few
/// circuits, and many equal worths and costs, so that ties are common. Some groups have no circuits and some pairs no
/// group.
fn network_json(seed: u64) -> String {
    let mut rng = SplitMix64(seed);
    let nodes = 3 + rng.below(4);
    let regions = 1 + rng.below(3);
    let names = ["wien", "linz", "graz"];
    let exchanges: Vec<String> = (0..nodes)
        .map(|n| format!(r#"{{"number":{},"region":"{}"}}"#, 10 * n, names[(n % regions) as usize]))
        .collect();
    let mut groups = Vec::new();
    for a in 0..nodes {
        for b in a + 1..nodes {
            if rng.below(8) > 0 {
                let (circuits, cost) = (rng.below(4), [0.0, 0.25, 0.5, 1.0][rng.below(4) as usize]);
                groups.push(format!(
                    r#"{{"between":[{},{}],"circuits":{circuits},"cost":{cost}}}"#,
                    10 * b,
                    10 * a
                ));
            }
        }
    }
    let mut pairs = Vec::new();
    for _ in 0..1 + rng.below(if nodes > 4 { 3 } else { 4 }) {
        let (from, to) = (rng.below(nodes), rng.below(nodes));
        if from != to && !pairs.contains(&(from, to)) {
            pairs.push((from, to));
        }
    }
    let demands: Vec<String> = pairs
        .iter()
        .map(|(from, to)| {
            let circuits = 1 + rng.below(3);
            let must = if rng.below(3) == 0 { rng.below(circuits + 1) } else { 0 };
            let worth = [0.0, 1.0, 1.0, 2.5][rng.below(4) as usize];
            format!(
                r#"{{"from":{},"to":{},"circuits":{circuits},"worth":{worth},"must":{must}}}"#,
                10 * from,
                10 * to
            )
        })
        .collect();
    let limit = if rng.below(2) == 0 { format!(r#""wien":{}"#, rng.below(3)) } else { String::new() };
    format!(
        r#"{{"regions":["wien","linz","graz"],"exchanges":[{}],"groups":[{}],"demand":[{}],"limits":{{"transit":{{{limit}}}}},"tandem_cost":{}}}"#,
        exchanges.join(","),
        groups.join(","),
        demands.join(","),
        [0.0, 0.5][rng.below(2) as usize]
    )
}

#[test]
fn solver_finds_the_same_plan_as_the_exhaustive_search_within_5_s() {
    let (mut infeasible, mut over_tandems, mut not_all_carried) = (0, 0, 0);
    for seed in 0..600 {
        let text = network_json(seed);
        let net = Network::parse(&text).expect("a valid network");
        let begin = Instant::now();
        let solved = solve::best_plan(&net);
        assert!(begin.elapsed() < Duration::from_secs(5), "seed {seed} took {:?}", begin.elapsed());
        match exhaustive::best_plan(&net) {
            None => {
                assert_eq!(solved, Err(solve::SolveError::Infeasible), "seed {seed}: {text}");
                infeasible += 1;
            }
            Some(best) => {
                let solved = solved.unwrap_or_else(|error| panic!("seed {seed}: {error}: {text}"));
                assert_eq!(solved, best, "seed {seed}: {text}");
                assert_eq!(check_plan(&net, &solved.flows), Ok(()));
                over_tandems += usize::from(best.flows.iter().any(|flow| flow.via.is_some()));
                not_all_carried += usize::from(best.objective.uncarried_worth > 0);
            }
        }
    }
    // The test is conclusive only if all kinds of cases occur.
    assert!(
        infeasible > 40 && over_tandems > 150 && not_all_carried > 100,
        "{infeasible} {over_tandems} {not_all_carried}"
    );
}

#[test]
fn minimal_conflicting_constraints_are_found_exactly_for_infeasible_networks() {
    let (mut with_transit_limits, mut sizes) = (0, [0; 8]);
    for seed in 0..600 {
        let net = Network::parse(&network_json(seed)).expect("a valid network");
        let found = conflict::find(&net).expect("no solver error");
        // The reference does not use the solver.
        let has_plan = |conflicting: &[Constraint]| {
            exhaustive::best_plan(&conflict::with_only(&net, conflicting)).is_some()
        };
        match found {
            None => assert!(has_plan(&conflict::constraints(&net)), "seed {seed}"),
            Some(conflicting) => {
                assert!(!has_plan(&conflicting), "seed {seed}: {conflicting:?} do not conflict");
                for index in 0..conflicting.len() {
                    let mut without = conflicting.clone();
                    without.remove(index);
                    assert!(has_plan(&without), "seed {seed}: {:?} is not needed", conflicting[index]);
                }
                sizes[conflicting.len().min(7)] += 1;
                with_transit_limits +=
                    usize::from(conflicting.iter().any(|c| matches!(c, Constraint::TransitLimit { .. })));
                assert!(conflicting.iter().all(|constraint| !constraint.describe(&net).is_empty()));
            }
        }
    }
    assert!(sizes[1] > 10 && sizes[2] > 5 && with_transit_limits > 3, "{sizes:?} {with_transit_limits}");
}
