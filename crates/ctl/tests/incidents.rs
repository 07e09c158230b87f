//! From a scripted incident to what the records say of it: the script is the truth.

mod common;

use std::path::PathBuf;
use std::time::Duration;

use common::{Clock, EPOCH, Mesh};
use swiftlb_emulator::{MeshModel, Scenario, ScriptedIncident, ScriptedKind};
use swiftlb_record::Archive;
use swiftlb_record::merge::Merge;
use swiftlb_report::incident::{Analysis, Detector, Incident, IncidentKind};

fn folder(test: &str) -> PathBuf {
    std::env::temp_dir().join(format!("swiftlb-{test}-{}", std::process::id()))
}

fn scripted(at_ms: u64, for_ms: u64, node: usize, kind: ScriptedKind) -> ScriptedIncident {
    ScriptedIncident { at: Duration::from_millis(at_ms), duration: Duration::from_millis(for_ms), node, kind }
}

/// Plays it and tells its course; times of the course are from the start of the world then, in ms.
fn course(
    test: &str,
    incidents: Vec<ScriptedIncident>,
    seed: u64,
    clocks: &[Clock],
) -> (MeshModel, Analysis) {
    let folder = folder(test);
    let scenario = Scenario { duration: Duration::from_secs(45), incidents, ..Scenario::default() };
    let world = Mesh::play(scenario, seed, clocks, &folder);
    let archive = Archive::open(std::slice::from_ref(&folder));
    assert!(archive.file_errors.is_empty(), "{:?}", archive.file_errors);
    let mut merge = Merge::open(&archive, (0, u64::MAX));
    let mut detector = Detector::new(merge.home_exchanges());
    for told in merge.by_ref() {
        detector.observe(&told);
    }
    std::fs::remove_dir_all(&folder).expect("it was there");
    (world, detector.finish())
}

/// From the start of the world, in ms.
fn ms(at_us: u64) -> i64 {
    (at_us as i64 - EPOCH.as_micros() as i64) / 1_000
}

fn all(course: &Analysis, kind: IncidentKind) -> Vec<&Incident> {
    course.incidents.iter().filter(|incident| incident.kind == kind).collect()
}

#[test]
fn a_calm_day_has_no_incident() {
    for seed in 0..5 {
        let (world, course) = course(&format!("calm-{seed}"), vec![], seed, &[]);
        assert!(world.service_level() > 0.9, "seed {seed}: {}", world.service_level());
        assert_eq!(world.protocol_violations(), 0);
        assert_eq!(course.incidents, [], "seed {seed}");
    }
}

#[test]
fn death_cold_return_and_list_lag_are_told_in_order_with_clocks_80_ms_apart_and_drifting() {
    for seed in 0..20_u64 {
        let node = 1 + (seed % 4) as usize;
        let (begin, lasts) = (15_000 + 37 * seed, 6_000 + 150 * seed);
        let incidents = vec![
            scripted(begin - 2_000, 22_000, 0, ScriptedKind::Lag(Duration::from_secs(6))),
            scripted(begin, lasts, node, ScriptedKind::Die),
        ];
        let clocks =
            [Clock(0, 0), Clock(80_000, 50), Clock(-40_000, -80), Clock(25_000, 0), Clock(-80_000, 100)];
        let (_, course) = course(&format!("death-{seed}"), incidents, seed, &clocks);
        let death = all(&course, IncidentKind::NodeDied);
        assert_eq!(death.len(), 1, "seed {seed}: {:#?}", course.incidents);
        let death = death[0];
        assert_eq!(death.exchange, Some(node as u32), "seed {seed}");
        // The reference is one of the clocks, none of which is off by more than 80 ms and a little drift.
        let off = (ms(death.begin_us) - begin as i64).abs();
        assert!(off < 400, "seed {seed}: told {off} ms off");
        let returned = ms(death.end_us.expect("it came back")) - (begin + lasts) as i64;
        assert!((-150..1_000).contains(&returned), "seed {seed}: back {returned} ms off");
        let lag = all(&course, IncidentKind::ListLag);
        assert_eq!(lag.len(), 1, "seed {seed}: {:#?}", course.incidents);
        let (from, to) = (ms(lag[0].begin_us), ms(lag[0].end_us.expect("it ended")));
        assert!(from >= begin as i64 - 2_200 && from < begin as i64 + 1_000, "seed {seed}: lag from {from}");
        assert!(
            to > ms(death.end_us.expect("it came back")) && to < begin as i64 + 22_000,
            "seed {seed}: lag to {to}"
        );
        let order: Vec<&str> = course
            .events
            .iter()
            .map(|line| line.kind)
            .filter(|kind| {
                ["node-died", "list-lost", "node-returned-cold", "list-has", "list-caught-up"].contains(kind)
            })
            .collect();
        let place = |kind: &str| order.iter().position(|known| *known == kind);
        assert!(place("node-died") < place("node-returned-cold"), "{order:?}");
        assert!(place("node-returned-cold") < place("list-caught-up"), "{order:?}");
        assert!(death.affected_calls.cut > 0, "seed {seed}: calls stood there");
        // Whatever else there was came of the death, and all of it is one episode.
        for other in course
            .incidents
            .iter()
            .filter(|i| ![IncidentKind::NodeDied, IncidentKind::ListLag].contains(&i.kind))
        {
            let cause = other.triggered_by.map(|place| course.incidents[place].kind);
            assert!(cause.is_some(), "seed {seed}: {other:#?}");
        }
        assert_eq!(course.episodes.len(), 1, "seed {seed}: {:#?}", course.incidents);
    }
}

#[test]
fn a_stall_and_a_slow_processor_are_told_apart() {
    for seed in 0..10 {
        let (_, stalled) = course(
            &format!("stall-{seed}"),
            vec![scripted(15_000, 8_000, 2, ScriptedKind::Stall)],
            seed,
            &[],
        );
        let stall = all(&stalled, IncidentKind::NodeStalled);
        assert!(stall.len() == 1 && stall[0].exchange == Some(2), "seed {seed}: {:#?}", stalled.incidents);
        assert!((ms(stall[0].begin_us) - 15_000).abs() < 1_500, "seed {seed}: {}", ms(stall[0].begin_us));
        assert!((ms(stall[0].end_us.expect("it went on")) - 23_000).abs() < 1_500, "seed {seed}: {stall:?}");
        assert_eq!(stalled.incidents.len(), 1, "seed {seed}: {:#?}", stalled.incidents);
        let (_, slowed) = course(
            &format!("slow-{seed}"),
            vec![scripted(15_000, 15_000, 3, ScriptedKind::Slow(4.0))],
            seed,
            &[],
        );
        let slow = all(&slowed, IncidentKind::NodeSlow);
        assert!(slow.len() == 1 && slow[0].exchange == Some(3), "seed {seed}: {:#?}", slowed.incidents);
        assert!((ms(slow[0].begin_us) - 15_000).abs() < 4_000, "seed {seed}: {}", ms(slow[0].begin_us));
        assert!((ms(slow[0].end_us.expect("it ended")) - 30_000).abs() < 6_000, "seed {seed}: {slow:?}");
    }
}

#[test]
fn a_node_that_flaps_is_one_incident() {
    let flaps = (0..8).map(|i| scripted(12_000 + 3_000 * i, 1_200, 2, ScriptedKind::Die)).collect();
    let (_, course) = course("flaps", flaps, 4, &[]);
    let deaths = all(&course, IncidentKind::NodeDied);
    assert_eq!(deaths.len(), 1, "{:#?}", course.incidents);
    assert!(deaths[0].flaps >= 5, "{:#?}", deaths[0]);
}

#[test]
fn a_softswitch_that_is_killed_and_starts_again_under_its_name_is_told() {
    for seed in 0..5 {
        let incidents = vec![
            scripted(20_000, 4_000, 1, ScriptedKind::Kill),
            scripted(21_000, 6_000, 3, ScriptedKind::Die),
        ];
        let (_, course) = course(&format!("kill-{seed}"), incidents, seed, &[Clock(0, 0), Clock(80_000, 50)]);
        let crash = all(&course, IncidentKind::SoftswitchCrashed);
        assert!(crash.len() == 1 && crash[0].softswitch == Some(1), "seed {seed}: {:#?}", course.incidents);
        assert!((ms(crash[0].begin_us) - 20_000).abs() < 1_200, "seed {seed}: {}", ms(crash[0].begin_us));
        assert!((ms(crash[0].end_us.expect("it is back")) - 24_000).abs() < 300, "seed {seed}: {crash:?}");
        let death = all(&course, IncidentKind::NodeDied);
        assert!(death.len() == 1 && death[0].exchange == Some(3), "seed {seed}: {:#?}", course.incidents);
        assert!(course.events.iter().any(|line| line.kind == "gap"), "its last block is named as missing");
    }
}

#[test]
fn a_replaced_node_did_not_die() {
    let (_, course) = course("replace", vec![scripted(15_000, 10_000, 2, ScriptedKind::Replace)], 2, &[]);
    let replaced = all(&course, IncidentKind::NodeReplaced);
    assert!(replaced.len() == 1 && replaced[0].exchange == Some(2), "{:#?}", course.incidents);
}
