//! Fault trials of real softswitch processes on loopback: a seed draws settings, load and a schedule of faults.
//!
//! `SWIFTLB_TRIALS=FIRST..END cargo test --release --test trials -- --nocapture` plays other seeds, one line each.

#[path = "common/dns_answer.rs"]
mod dns_answer;
#[path = "common/engine_harness.rs"]
mod engine_harness;
#[path = "common/rng.rs"]
mod rng;
#[path = "common/trial/mod.rs"]
mod trial;

use std::ops::Range;
use std::sync::Mutex;

use trial::checker;
use trial::plan::Plan;

/// Seeds that CI plays.
const CI_SEEDS: Range<u64> = 0..6;
/// Trials that run at the same time.
const PARALLEL_TRIALS: usize = 6;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SWIFTLB_TRIALS") else { return CI_SEEDS };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Guards against faults that show only when shutdowns, restarts, hung or lost exchanges, a silent resolver and bad callers
/// come together.
#[test]
fn no_rule_is_broken_in_seeded_fault_trials() {
    let next = Mutex::new(seeds());
    let failed = Mutex::new(Vec::new());
    let worker = || {
        while let Some(seed) = { next.lock().expect("seeds").next() } {
            let plan = Plan::new(seed);
            let trial = trial::run::run(&plan);
            let verdict = if trial.violations.is_empty() { "passed" } else { "FAILED" };
            println!(
                "seed {seed} {verdict}: {} set-ups, {} violations",
                trial.setups,
                trial.violations.len()
            );
            if !trial.violations.is_empty() {
                let text = format!("{}\n{}", plan.describe(), checker::summary(&trial.violations));
                failed.lock().expect("failures").push(text);
            }
        }
    };
    std::thread::scope(|scope| (0..PARALLEL_TRIALS).for_each(|_| drop(scope.spawn(worker))));
    let failed = failed.into_inner().expect("failures");
    assert!(failed.is_empty(), "{} failed trials\n{}", failed.len(), failed.join("\n"));
}
