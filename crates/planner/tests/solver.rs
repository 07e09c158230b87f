//! The solver against the search that tries every plan. The two share no model: only the network and the weighing.

#[path = "../../../tests/common/rng.rs"]
mod rng;

use std::time::{Duration, Instant};

use rng::SplitMix64;
use swiftlb_planner::clash::{self, Claim};
use swiftlb_planner::{Network, check, exhaustive, solve};

/// A network of 3 to 6 exchanges in up to 3 regions, small enough to try every plan: few demands of few circuits, many
/// equal worths and costs, so that ties are common; groups of nothing and pairs without a group.
fn network(seed: u64) -> String {
    let mut draw = SplitMix64(seed);
    let nodes = 3 + draw.below(4);
    let regions = 1 + draw.below(3);
    let names = ["wien", "linz", "graz"];
    let exchanges: Vec<String> = (0..nodes)
        .map(|n| format!(r#"{{"number":{},"region":"{}"}}"#, 10 * n, names[(n % regions) as usize]))
        .collect();
    let mut groups = Vec::new();
    for a in 0..nodes {
        for b in a + 1..nodes {
            if draw.below(8) > 0 {
                let (circuits, cost) = (draw.below(4), [0.0, 0.25, 0.5, 1.0][draw.below(4) as usize]);
                groups.push(format!(
                    r#"{{"between":[{},{}],"circuits":{circuits},"cost":{cost}}}"#,
                    10 * b,
                    10 * a
                ));
            }
        }
    }
    let mut pairs = Vec::new();
    for _ in 0..1 + draw.below(if nodes > 4 { 3 } else { 4 }) {
        let (from, to) = (draw.below(nodes), draw.below(nodes));
        if from != to && !pairs.contains(&(from, to)) {
            pairs.push((from, to));
        }
    }
    let demands: Vec<String> = pairs
        .iter()
        .map(|(from, to)| {
            let circuits = 1 + draw.below(3);
            let must = if draw.below(3) == 0 { draw.below(circuits + 1) } else { 0 };
            let worth = [0.0, 1.0, 1.0, 2.5][draw.below(4) as usize];
            format!(
                r#"{{"from":{},"to":{},"circuits":{circuits},"worth":{worth},"must":{must}}}"#,
                10 * from,
                10 * to
            )
        })
        .collect();
    let limit = if draw.below(2) == 0 { format!(r#""wien":{}"#, draw.below(3)) } else { String::new() };
    format!(
        r#"{{"regions":["wien","linz","graz"],"exchanges":[{}],"groups":[{}],"demand":[{}],"limits":{{"transit":{{{limit}}}}},"tandem_cost":{}}}"#,
        exchanges.join(","),
        groups.join(","),
        demands.join(","),
        [0.0, 0.5][draw.below(2) as usize]
    )
}

#[test]
fn the_solver_finds_the_very_plan_that_the_search_finds_each_within_seconds() {
    let (mut infeasible, mut over_tandems, mut left) = (0, 0, 0);
    for seed in 0..600 {
        let text = network(seed);
        let net = Network::parse(&text).expect("a network");
        let begin = Instant::now();
        let solved = solve::best(&net);
        assert!(begin.elapsed() < Duration::from_secs(5), "seed {seed} took {:?}", begin.elapsed());
        match exhaustive::best(&net) {
            None => {
                assert_eq!(solved, Err(solve::SolveError::Infeasible), "seed {seed}: {text}");
                infeasible += 1;
            }
            Some(best) => {
                let solved = solved.unwrap_or_else(|error| panic!("seed {seed}: {error}: {text}"));
                assert_eq!(solved, best, "seed {seed}: {text}");
                assert_eq!(check(&net, &solved.flows), Ok(()));
                over_tandems += usize::from(best.flows.iter().any(|flow| flow.via.is_some()));
                left += usize::from(best.objective.uncarried > 0);
            }
        }
    }
    // The cases are worth something only if all kinds are among them.
    assert!(infeasible > 40 && over_tandems > 150 && left > 100, "{infeasible} {over_tandems} {left}");
}

#[test]
fn what_clashes_is_a_set_from_which_nothing_can_be_left_out() {
    let (mut with_limits, mut sizes) = (0, [0; 8]);
    for seed in 0..600 {
        let net = Network::parse(&network(seed)).expect("a network");
        let found = clash::find(&net).expect("the solver works");
        // The oracle knows nothing of the solver.
        let possible = |claims: &[Claim]| exhaustive::best(&clash::with(&net, claims)).is_some();
        match found {
            None => assert!(possible(&clash::claims(&net)), "seed {seed}"),
            Some(claims) => {
                assert!(!possible(&claims), "seed {seed}: {claims:?} do not clash");
                for place in 0..claims.len() {
                    let mut without = claims.clone();
                    without.remove(place);
                    assert!(possible(&without), "seed {seed}: {:?} is not needed", claims[place]);
                }
                sizes[claims.len().min(7)] += 1;
                with_limits += usize::from(claims.iter().any(|c| matches!(c, Claim::Transit { .. })));
                assert!(claims.iter().all(|claim| !claim.words(&net).is_empty()));
            }
        }
    }
    assert!(sizes[1] > 10 && sizes[2] > 5 && with_limits > 3, "{sizes:?} {with_limits}");
}
