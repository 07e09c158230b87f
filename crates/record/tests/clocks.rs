//! Clock offsets and the merged timeline. The tests generate records with true times and stamp them with wrong clocks,
//! so that the results can be compared with the true times.

mod common;

use std::collections::HashMap;
use std::path::PathBuf;

use common::SplitMix64;
use swiftlb_record::clocks::{Bound, BoundCollector, Bounds, ClockOffsets};
use swiftlb_record::merge::{EntryContent, Merge, TimelineEntry};
use swiftlb_record::{
    Archive, CallUid, Damage, Event, FileHeader, FileWriter, Front, Record, ReleasedBy, file_name,
};

const START: u64 = 1_700_000_000_000_000;

/// A clock with a constant offset and a drift.
#[derive(Clone, Copy)]
struct Clock {
    ahead_us: i64,
    drift_ppm: i64,
}

impl Clock {
    /// The time that the clock shows at a true time.
    fn reading(&self, at: u64) -> u64 {
        at.saturating_add_signed(self.ahead_us + (at - START) as i64 / 1_000 * self.drift_ppm / 1_000)
    }
}

/// Records of calls in transit and direct calls between this many nodes, with true times, and the node of each.
fn true_records(nodes: u64, calls: u64, seed: u64) -> Vec<(usize, Record)> {
    let mut rng = SplitMix64(seed);
    let mut all = Vec::new();
    for i in 0..calls {
        let call = CallUid(rng.next_u64());
        let begin_us = START + 1_000_000 + i * 25_000 + rng.below(20_000);
        let origin = rng.below(nodes);
        let other = |rng: &mut SplitMix64, excluded: u64| (excluded + 1 + rng.below(nodes - 1)) % nodes;
        let tandem = other(&mut rng, origin);
        let set_up = |dest: u64, transit_from: Option<u64>| {
            let (dest, transit_from) = (dest as u32, transit_from.map(|n| n as u32));
            let front = Front::JsonLines;
            Event::SetUp { call, class: 0, dest, transit_from, remaining_ms: 3_000, was_cut: false, front }
        };
        let attempt = |exchange: u64| Event::Attempt {
            call,
            attempt: 1,
            exchange: exchange as u32,
            awaits_connection: false,
        };
        let answer = |exchange: u64| Event::Answered { call, exchange: exchange as u32, elapsed_us: 0 };
        let released = |exchange: u64| Event::Released {
            call,
            exchange: Some(exchange as u32),
            by: ReleasedBy::Exchange,
            cut: false,
        };
        let mut record_at =
            |node: u64, at_us: u64, event: Event| all.push((node as usize, Record { at_us, event }));
        // Delays in queues: mostly short, sometimes up to 2 s, and different in each direction.
        let mut delay =
            || 9_000 + rng.below(4_000) + if rng.below(5) == 0 { rng.below(2_000_000) } else { 0 };
        if i % 4 == 0 {
            let dest = (0..nodes).find(|n| ![origin, tandem].contains(n)).expect("at least three nodes");
            let arrived_us = begin_us + 300 + delay();
            let answered_us = arrived_us + 200 + delay();
            let answer_seen_us = answered_us + delay();
            record_at(origin, begin_us, set_up(dest, None));
            record_at(origin, begin_us + 300, attempt(tandem));
            record_at(tandem, arrived_us, set_up(dest, Some(origin)));
            record_at(tandem, arrived_us + 200, attempt(dest));
            record_at(tandem, answered_us, answer(dest));
            record_at(origin, answer_seen_us, answer(tandem));
            let released_us = answer_seen_us + 1_000_000 + delay();
            record_at(tandem, released_us, released(dest));
            record_at(origin, released_us + delay(), released(tandem));
        } else {
            record_at(origin, begin_us, set_up(tandem, None));
            record_at(origin, begin_us + 300, attempt(tandem));
            record_at(origin, begin_us + 300 + delay(), answer(tandem));
        }
    }
    all.sort_by_key(|(_, record)| record.at_us);
    all
}

fn solve_offsets(nodes: usize, clocks: &[Clock], seed: u64) -> ClockOffsets {
    let homes: Vec<Option<u32>> = (0..nodes as u32).map(Some).collect();
    let mut collector = BoundCollector::new(&homes);
    for (node, record) in true_records(nodes as u64, 4_000, seed) {
        let at_us = clocks[node].reading(record.at_us);
        collector.observe(node, &Record { at_us, ..record });
    }
    collector.finish().solve(nodes)
}

fn random_clocks(nodes: usize, seed: u64) -> Vec<Clock> {
    let mut rng = SplitMix64(seed ^ 0xabc);
    let clock = |i: usize| Clock {
        ahead_us: if i == 1 { 80_000 } else { rng.below(160_000) as i64 - 80_000 },
        drift_ppm: rng.below(200) as i64 - 100,
    };
    (0..nodes).map(clock).collect()
}

#[test]
fn true_offsets_lie_within_the_stated_uncertainty_which_is_small() {
    for seed in 0..20 {
        let true_clocks = random_clocks(5, seed);
        let solved = solve_offsets(5, &true_clocks, seed);
        assert_eq!(solved.contradictions, 0, "seed {seed}");
        let reference = solved.reference().expect("there are clocks");
        for second in (3..97).step_by(2) {
            let at = START + second * 1_000_000;
            for i in 0..5 {
                let local_us = true_clocks[i].reading(at);
                let offset = solved.offset(i, local_us).expect("all clocks are tied to the reference");
                let true_offset = local_us as i64 - true_clocks[reference].reading(at) as i64;
                let error_us = (offset.ahead_us - true_offset).abs();
                assert!(
                    error_us <= offset.uncertainty_us,
                    "seed {seed}, {second} s, clock {i}: {error_us} of {offset:?}"
                );
                assert!(offset.uncertainty_us < 25_000, "seed {seed}, {second} s, clock {i}: {offset:?}");
            }
        }
    }
}

#[test]
fn corrected_clocks_satisfy_all_bounds_at_once() {
    let mut rng = SplitMix64(3);
    for _ in 0..50 {
        let true_us: Vec<i64> = (0..6).map(|_| rng.below(200_000) as i64 - 100_000).collect();
        let mut bounds = Bounds::default();
        let mut all = Vec::new();
        for _ in 0..60 {
            let (from, to) = (rng.below(6) as usize, rng.below(6) as usize);
            let max_difference_us = true_us[to] - true_us[from] + rng.below(30_000) as i64;
            let bound = Bound { from, to, at_us: START, max_difference_us };
            bounds.add(bound);
            all.push(bound);
        }
        let solved = bounds.solve(6);
        assert_eq!(solved.contradictions, 0);
        // Drift allowed within one window and the rounding of the offsets, in microseconds.
        let slack = 401;
        for Bound { from, to, max_difference_us, .. } in all {
            if let Some((a, b)) = solved.offset(from, START).zip(solved.offset(to, START)) {
                assert!(b.ahead_us - a.ahead_us <= max_difference_us + slack);
            }
        }
    }
}

#[test]
fn clocks_without_common_calls_are_not_tied_and_contradictory_bounds_are_ignored() {
    let bound = |from, to, window: u64, max_difference_us| Bound {
        from,
        to,
        at_us: START + window * 2_000_000,
        max_difference_us,
    };
    let mut bounds = Bounds::default();
    for window in 0..30 {
        bounds.add(bound(0, 1, window, 90_000));
        bounds.add(bound(1, 0, window, -70_000));
    }
    let solved = bounds.solve(4);
    let ahead = solved.offset(1, START + 30_000_000).expect("the clock is tied");
    assert!((ahead.ahead_us - 80_000).abs() < 2_000 && ahead.uncertainty_us < 12_000, "{ahead:?}");
    assert_eq!(
        (solved.offset(2, START), solved.correct(3, START)),
        (None, START),
        "clocks without an offset are not corrected"
    );
    // A wrong bound that contradicts the rest of its window invalidates only that window.
    bounds.add(bound(0, 1, 15, -500_000));
    let with_wrong_bound = bounds.solve(4);
    assert!(with_wrong_bound.contradictions > 0);
    let ahead = with_wrong_bound.offset(1, START + 30_000_000).expect("the neighbouring windows tie it");
    assert!((ahead.ahead_us - 80_000).abs() < 3_000, "{ahead:?}");
    // A clock that is set forward by half a second: the offset is right before and after the step.
    let mut stepped = Bounds::default();
    for window in 0..30 {
        let ahead = if window < 15 { 0 } else { 500_000 };
        stepped.add(bound(0, 1, window, ahead + 5_000));
        stepped.add(bound(1, 0, window, 5_000 - ahead));
    }
    let stepped = stepped.solve(2);
    assert!(stepped.contradictions > 0);
    let at = |window: u64| stepped.offset(1, START + window * 2_000_000).expect("the clock is tied").ahead_us;
    assert!(at(3).abs() < 3_000 && (at(27) - 500_000).abs() < 3_000, "{} {}", at(3), at(27));
    // Bounds that are years apart: memory use does not grow with the time in between.
    let mut distant = Bounds::default();
    distant.add(Bound { from: 0, to: 1, at_us: 0, max_difference_us: 1 });
    distant.add(Bound { from: 1, to: 0, at_us: u64::MAX / 2, max_difference_us: 1 });
    assert_eq!(distant.solve(2).reference(), Some(0));
    assert_eq!(Bounds::default().solve(0).reference(), None);
}

/// Writes the files of a mesh to a temporary directory. Node 2 is killed while it writes a block, and starts again.
/// Returns the directory and the true time of each record by node and local time.
fn write_files(
    test: &str,
    nodes: usize,
    true_clocks: &[Clock],
    seed: u64,
) -> (PathBuf, HashMap<(usize, u64), u64>) {
    let directory = std::env::temp_dir().join(format!("swiftlb-{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let records = true_records(nodes as u64, 2_000, seed);
    let middle = START + 25_000_000;
    let mut true_times = HashMap::new();
    for (node, clock) in true_clocks.iter().enumerate().take(nodes) {
        for (run, is_first_run) in [(0, true), (1, false)] {
            let in_run = |at: u64| (at < middle) == is_first_run;
            let run_us = if is_first_run { START } else { middle };
            let header = FileHeader {
                file_number: 0,
                ..FileHeader::first_of_run(&format!("n{node}"), node as u32, clock.reading(run_us))
            };
            let mut writer = FileWriter::create(Vec::new(), &header).expect("writing to memory succeeds");
            let whole_run = node != 2 && run == 0;
            if node != 2 && run == 1 {
                continue;
            }
            for (_, record) in records.iter().filter(|(n, r)| *n == node && (whole_run || in_run(r.at_us))) {
                let at_us = clock.reading(record.at_us);
                true_times.insert((node, at_us), record.at_us);
                writer
                    .push(&Record { at_us, event: record.event.clone() })
                    .expect("writing to memory succeeds");
            }
            let is_killed = node == 2 && run == 0;
            let bytes = if is_killed {
                writer.flush().expect("writing to memory succeeds");
                let complete_bytes = writer.written_bytes() as usize;
                let bytes = writer.finish().expect("writing to memory succeeds");
                bytes[..complete_bytes - 7].to_vec()
            } else {
                writer
                    .push(&Record { at_us: clock.reading(START + 90_000_000), event: Event::Stopped })
                    .expect("writing to memory succeeds");
                writer.finish().expect("writing to memory succeeds")
            };
            std::fs::write(directory.join(file_name(&header)), bytes).expect("the file is written");
        }
    }
    (directory, true_times)
}

#[test]
fn the_timeline_has_causes_before_effects_although_clocks_are_off_by_80_ms_and_drift() {
    for seed in 0..5 {
        let true_clocks = random_clocks(4, seed);
        let (directory, true_times) = write_files(&format!("timeline-{seed}"), 4, &true_clocks, seed);
        let merge = Merge::open(&Archive::open(std::slice::from_ref(&directory)), (0, u64::MAX));
        assert_eq!(merge.softswitches(), ["n0", "n1", "n2", "n3"]);
        let reference = merge.clock_offsets().reference().expect("there are clocks");
        let mut merge = merge;
        let entries: Vec<TimelineEntry> = merge.by_ref().collect();
        assert!(
            entries.windows(2).all(|pair| pair[0].at_us <= pair[1].at_us),
            "entries are not in chronological order"
        );
        let mut sent: HashMap<(CallUid, u32), u64> = HashMap::new();
        let (mut pairs, mut events) = (0, 0);
        for entry in &entries {
            let EntryContent::Event(event) = &entry.content else { continue };
            events += 1;
            if let Some(true_us) = true_times.get(&(entry.softswitch, entry.local_us)) {
                let error_us = entry.at_us as i64 - true_clocks[reference].reading(*true_us) as i64;
                assert!(error_us.abs() < 30_000, "seed {seed}: {error_us} us off");
            }
            match event {
                Event::Attempt { call, exchange, .. } => {
                    sent.insert((*call, *exchange), entry.at_us);
                }
                // The attempt of node 2 may be among the records that were lost when it was killed.
                Event::SetUp { call, transit_from: Some(from), .. } if *from != 2 => {
                    let here = entry.softswitch as u32;
                    assert!(
                        sent.contains_key(&(*call, here)),
                        "seed {seed}: set-up at the tandem precedes the attempt"
                    );
                    pairs += 1;
                }
                _ => {}
            }
        }
        assert!(pairs > 300 && events > 5_000, "{pairs} pairs of {events} events");
        let ends: Vec<(usize, bool)> = entries
            .iter()
            .filter_map(|entry| match entry.content {
                EntryContent::RunEnded { clean } => Some((entry.softswitch, clean)),
                _ => None,
            })
            .collect();
        assert_eq!(ends.len(), 5);
        assert_eq!(
            ends.iter().filter(|(node, clean)| *node == 2 && !clean).count(),
            1,
            "only the killed process did not end cleanly"
        );
        let cuts = entries
            .iter()
            .filter(|entry| matches!(&entry.content, EntryContent::Gap(gap) if gap.damage == Damage::Cut))
            .count();
        assert_eq!(cuts, 1, "its last block is reported as incomplete");
        std::fs::remove_dir_all(&directory).expect("removal succeeds");
    }
}

#[test]
fn only_events_within_the_time_range_are_returned() {
    let true_clocks = vec![Clock { ahead_us: 0, drift_ppm: 0 }; 4];
    let (directory, _) = write_files("time-range", 4, &true_clocks, 9);
    let (from, to) = (START + 10_000_000, START + 12_000_000);
    let merge = Merge::open(&Archive::open(std::slice::from_ref(&directory)), (from, to));
    let events: Vec<TimelineEntry> =
        merge.filter(|entry| matches!(entry.content, EntryContent::Event(_))).collect();
    assert!(events.len() > 100 && events.iter().all(|entry| (from..=to).contains(&entry.local_us)));
    std::fs::remove_dir_all(&directory).expect("removal succeeds");
}
