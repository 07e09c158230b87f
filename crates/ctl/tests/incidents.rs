//! Incidents that the detector finds in records, compared with the scripted incidents that caused them.

mod common;

use std::path::PathBuf;
use std::time::Duration;

use common::{ClockSkew, EPOCH, VirtualMesh};
use swiftlb_emulator::{MeshModel, Scenario, ScriptedIncident, ScriptedKind};
use swiftlb_record::Archive;
use swiftlb_record::merge::Merge;
use swiftlb_report::incident::{Analysis, Detector, Incident, IncidentKind};

fn test_directory(test: &str) -> PathBuf {
    std::env::temp_dir().join(format!("swiftlb-{test}-{}", std::process::id()))
}

fn scripted(at_ms: u64, duration_ms: u64, node: usize, kind: ScriptedKind) -> ScriptedIncident {
    ScriptedIncident {
        at: Duration::from_millis(at_ms),
        duration: Duration::from_millis(duration_ms),
        node,
        kind,
    }
}

/// Runs a mesh with these incidents for 45 s, and analyzes its records.
fn run_and_analyze(
    test: &str,
    incidents: Vec<ScriptedIncident>,
    seed: u64,
    clock_skews: &[ClockSkew],
) -> (MeshModel, Analysis) {
    let directory = test_directory(test);
    let scenario = Scenario { duration: Duration::from_secs(45), incidents, ..Scenario::default() };
    let model = VirtualMesh::run(scenario, seed, clock_skews, &directory);
    let archive = Archive::open(std::slice::from_ref(&directory));
    assert!(archive.file_errors.is_empty(), "{:?}", archive.file_errors);
    let mut timeline = Merge::open(&archive, (0, u64::MAX));
    let mut detector = Detector::new(timeline.home_exchanges());
    for entry in timeline.by_ref() {
        detector.observe(&entry);
    }
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
    (model, detector.finish())
}

/// Converts Unix microseconds to milliseconds since the start of the model.
fn model_ms(at_us: u64) -> i64 {
    (at_us as i64 - EPOCH.as_micros() as i64) / 1_000
}

fn incidents_of_kind(analysis: &Analysis, kind: IncidentKind) -> Vec<&Incident> {
    analysis.incidents.iter().filter(|incident| incident.kind == kind).collect()
}

#[test]
fn a_run_without_scripted_incidents_has_no_incident() {
    for seed in 0..5 {
        let (model, analysis) = run_and_analyze(&format!("calm-{seed}"), vec![], seed, &[]);
        assert!(model.service_level() > 0.9, "seed {seed}: {}", model.service_level());
        assert_eq!(model.protocol_violations(), 0);
        assert_eq!(analysis.incidents, [], "seed {seed}");
    }
}

#[test]
fn a_death_a_cold_return_and_a_list_lag_are_found_in_order_with_clocks_80_ms_off_and_drifting() {
    for seed in 0..20_u64 {
        let node = 1 + (seed % 4) as usize;
        let (begin, duration) = (15_000 + 37 * seed, 6_000 + 150 * seed);
        let incidents = vec![
            scripted(begin - 2_000, 22_000, 0, ScriptedKind::Lag(Duration::from_secs(6))),
            scripted(begin, duration, node, ScriptedKind::Die),
        ];
        let clock_skews = [
            ClockSkew(0, 0),
            ClockSkew(80_000, 50),
            ClockSkew(-40_000, -80),
            ClockSkew(25_000, 0),
            ClockSkew(-80_000, 100),
        ];
        let (_, analysis) = run_and_analyze(&format!("death-{seed}"), incidents, seed, &clock_skews);
        let death = incidents_of_kind(&analysis, IncidentKind::NodeDied);
        assert_eq!(death.len(), 1, "seed {seed}: {:#?}", analysis.incidents);
        let death = death[0];
        assert_eq!(death.exchange, Some(node as u32), "seed {seed}");
        // The analysis uses one of the clocks as its reference, and no clock is off by more than 80 ms and a little drift.
        let error_ms = (model_ms(death.begin_us) - begin as i64).abs();
        assert!(error_ms < 400, "seed {seed}: begin is {error_ms} ms off");
        let return_error_ms = model_ms(death.end_us.expect("the node returned")) - (begin + duration) as i64;
        assert!((-150..1_000).contains(&return_error_ms), "seed {seed}: return is {return_error_ms} ms off");
        let lag = incidents_of_kind(&analysis, IncidentKind::ListLag);
        assert_eq!(lag.len(), 1, "seed {seed}: {:#?}", analysis.incidents);
        let (from, to) = (model_ms(lag[0].begin_us), model_ms(lag[0].end_us.expect("the lag ended")));
        assert!(from >= begin as i64 - 2_200 && from < begin as i64 + 1_000, "seed {seed}: lag from {from}");
        assert!(
            to > model_ms(death.end_us.expect("the node returned")) && to < begin as i64 + 22_000,
            "seed {seed}: lag to {to}"
        );
        let order: Vec<&str> = analysis
            .events
            .iter()
            .map(|event| event.kind)
            .filter(|kind| {
                ["node-died", "list-lost", "node-returned-cold", "list-has", "list-caught-up"].contains(kind)
            })
            .collect();
        let index = |kind: &str| order.iter().position(|other| *other == kind);
        assert!(index("node-died") < index("node-returned-cold"), "{order:?}");
        assert!(index("node-returned-cold") < index("list-caught-up"), "{order:?}");
        assert!(death.affected_calls.cut > 0, "seed {seed}: expected established calls to be cut");
        // Every other incident follows from the death, so it has a trigger, and all incidents are one episode.
        for other in analysis
            .incidents
            .iter()
            .filter(|i| ![IncidentKind::NodeDied, IncidentKind::ListLag].contains(&i.kind))
        {
            let trigger = other.triggered_by.map(|index| analysis.incidents[index].kind);
            assert!(trigger.is_some(), "seed {seed}: {other:#?}");
        }
        assert_eq!(analysis.episodes.len(), 1, "seed {seed}: {:#?}", analysis.incidents);
    }
}

#[test]
fn a_stalled_node_and_a_slow_processor_are_distinguished() {
    for seed in 0..10 {
        let (_, stalled) = run_and_analyze(
            &format!("stall-{seed}"),
            vec![scripted(15_000, 8_000, 2, ScriptedKind::Stall)],
            seed,
            &[],
        );
        let stall = incidents_of_kind(&stalled, IncidentKind::NodeStalled);
        assert!(stall.len() == 1 && stall[0].exchange == Some(2), "seed {seed}: {:#?}", stalled.incidents);
        assert!(
            (model_ms(stall[0].begin_us) - 15_000).abs() < 1_500,
            "seed {seed}: {}",
            model_ms(stall[0].begin_us)
        );
        assert!(
            (model_ms(stall[0].end_us.expect("the stall ended")) - 23_000).abs() < 1_500,
            "seed {seed}: {stall:?}"
        );
        assert_eq!(stalled.incidents.len(), 1, "seed {seed}: {:#?}", stalled.incidents);
        let (_, slowed) = run_and_analyze(
            &format!("slow-{seed}"),
            vec![scripted(15_000, 15_000, 3, ScriptedKind::Slow(4.0))],
            seed,
            &[],
        );
        let slow = incidents_of_kind(&slowed, IncidentKind::NodeSlow);
        assert!(slow.len() == 1 && slow[0].exchange == Some(3), "seed {seed}: {:#?}", slowed.incidents);
        assert!(
            (model_ms(slow[0].begin_us) - 15_000).abs() < 4_000,
            "seed {seed}: {}",
            model_ms(slow[0].begin_us)
        );
        assert!(
            (model_ms(slow[0].end_us.expect("the slow period ended")) - 30_000).abs() < 6_000,
            "seed {seed}: {slow:?}"
        );
    }
}

#[test]
fn a_node_that_flaps_is_one_incident() {
    let flaps = (0..8).map(|i| scripted(12_000 + 3_000 * i, 1_200, 2, ScriptedKind::Die)).collect();
    let (_, analysis) = run_and_analyze("flaps", flaps, 4, &[]);
    let deaths = incidents_of_kind(&analysis, IncidentKind::NodeDied);
    assert_eq!(deaths.len(), 1, "{:#?}", analysis.incidents);
    assert!(deaths[0].flaps >= 5, "{:#?}", deaths[0]);
}

#[test]
fn a_killed_softswitch_that_restarts_under_its_name_is_reported_as_a_crash() {
    for seed in 0..5 {
        let incidents = vec![
            scripted(20_000, 4_000, 1, ScriptedKind::Kill),
            scripted(21_000, 6_000, 3, ScriptedKind::Die),
        ];
        let (_, analysis) = run_and_analyze(
            &format!("kill-{seed}"),
            incidents,
            seed,
            &[ClockSkew(0, 0), ClockSkew(80_000, 50)],
        );
        let crash = incidents_of_kind(&analysis, IncidentKind::SoftswitchCrashed);
        assert!(crash.len() == 1 && crash[0].softswitch == Some(1), "seed {seed}: {:#?}", analysis.incidents);
        assert!(
            (model_ms(crash[0].begin_us) - 20_000).abs() < 1_200,
            "seed {seed}: {}",
            model_ms(crash[0].begin_us)
        );
        assert!(
            (model_ms(crash[0].end_us.expect("the softswitch is back")) - 24_000).abs() < 300,
            "seed {seed}: {crash:?}"
        );
        let death = incidents_of_kind(&analysis, IncidentKind::NodeDied);
        assert!(death.len() == 1 && death[0].exchange == Some(3), "seed {seed}: {:#?}", analysis.incidents);
        assert!(
            analysis.events.iter().any(|event| event.kind == "gap"),
            "expected a gap for the incomplete last block"
        );
    }
}

#[test]
fn a_replacement_is_one_incident_of_the_replaced_node() {
    let (_, analysis) =
        run_and_analyze("replace", vec![scripted(15_000, 10_000, 2, ScriptedKind::Replace)], 2, &[]);
    let replaced = incidents_of_kind(&analysis, IncidentKind::NodeReplaced);
    assert!(replaced.len() == 1 && replaced[0].exchange == Some(2), "{:#?}", analysis.incidents);
}
