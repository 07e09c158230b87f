//! Measures the time of the solver and the uncarried worth for a network of N exchanges:
//! `cargo run --release -p swiftlb-planner --example size -- N`.

#[path = "../../../tests/common/rng.rs"]
mod rng;

use std::time::Instant;

use rng::SplitMix64;
use swiftlb_planner::{Network, solve};

/// A full mesh whose groups are sized for a planned load; the demand differs from it by up to 60%.
fn network_json(nodes: u64, seed: u64) -> String {
    let mut rng = SplitMix64(seed);
    let regions = ["wien", "linz", "graz"];
    let exchanges: Vec<String> =
        (0..nodes).map(|n| format!(r#"{{"number":{n},"region":"{}"}}"#, regions[(n % 3) as usize])).collect();
    let (mut groups, mut demands) = (Vec::new(), Vec::new());
    for a in 0..nodes {
        for b in a + 1..nodes {
            let planned = 6 + rng.below(12);
            let cost = [1.0, 1.0, 1.5, 2.0][rng.below(4) as usize];
            groups.push(format!(r#"{{"between":[{a},{b}],"circuits":{},"cost":{cost}}}"#, 2 * planned + 2));
            for (from, to) in [(a, b), (b, a)] {
                let circuits = planned * (40 + rng.below(121)) / 100;
                demands.push(format!(r#"{{"from":{from},"to":{to},"circuits":{circuits},"worth":1.0}}"#));
            }
        }
    }
    format!(
        r#"{{"regions":["wien","linz","graz"],"exchanges":[{}],"groups":[{}],"demand":[{}],"limits":{{"transit":{{"wien":{}}}}},"tandem_cost":0.5}}"#,
        exchanges.join(","),
        groups.join(","),
        demands.join(","),
        4 * nodes
    )
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let nodes: u64 = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(7);
    let network = Network::parse(&network_json(nodes, 1))?;
    let begin = Instant::now();
    let plan = solve::best_plan(&network)?;
    let demanded: u64 = network.demands.values().map(|demand| u64::from(demand.circuits)).sum();
    let over_tandems: u32 =
        plan.flows.iter().filter(|flow| flow.via.is_some()).map(|flow| flow.circuits).sum();
    println!(
        "{nodes} exchanges, {} demands, {demanded} circuits demanded: {:.2} s, {:.0} worth uncarried, cost {:.1}, {over_tandems} over tandems",
        network.demands.len(),
        begin.elapsed().as_secs_f64(),
        plan.objective.uncarried_worth as f64 / 1e6,
        plan.objective.cost as f64 / 1e6,
    );
    Ok(())
}
