//! Clocks that differ, and the one story made of them. The truth is known here: the world is drawn, then mis-stamped.

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

/// What a clock shows at a true time.
#[derive(Clone, Copy)]
struct Clock {
    ahead_us: i64,
    ppm: i64,
}

impl Clock {
    fn shows(&self, at: u64) -> u64 {
        at.saturating_add_signed(self.ahead_us + (at - START) as i64 / 1_000 * self.ppm / 1_000)
    }
}

/// Calls in transit and direct ones between so many nodes, each with true times, by the node that records it.
fn world(nodes: u64, calls: u64, seed: u64) -> Vec<(usize, Record)> {
    let mut draw = SplitMix64(seed);
    let mut all = Vec::new();
    for i in 0..calls {
        let call = CallUid(draw.next_u64());
        let begin = START + 1_000_000 + i * 25_000 + draw.below(20_000);
        let origin = draw.below(nodes);
        let other = |draw: &mut SplitMix64, not: u64| (not + 1 + draw.below(nodes - 1)) % nodes;
        let tandem = other(&mut draw, origin);
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
        let mut at = |node: u64, at_us: u64, event: Event| all.push((node as usize, Record { at_us, event }));
        // Queues: mostly short, at times seconds, and never the same both ways.
        let mut queue =
            || 9_000 + draw.below(4_000) + if draw.below(5) == 0 { draw.below(2_000_000) } else { 0 };
        if i % 4 == 0 {
            let dest = (0..nodes).find(|n| ![origin, tandem].contains(n)).expect("three nodes");
            let came = begin + 300 + queue();
            let done = came + 200 + queue();
            let heard = done + queue();
            at(origin, begin, set_up(dest, None));
            at(origin, begin + 300, attempt(tandem));
            at(tandem, came, set_up(dest, Some(origin)));
            at(tandem, came + 200, attempt(dest));
            at(tandem, done, answer(dest));
            at(origin, heard, answer(tandem));
            let over = heard + 1_000_000 + queue();
            at(tandem, over, released(dest));
            at(origin, over + queue(), released(tandem));
        } else {
            at(origin, begin, set_up(tandem, None));
            at(origin, begin + 300, attempt(tandem));
            at(origin, begin + 300 + queue(), answer(tandem));
        }
    }
    all.sort_by_key(|(_, record)| record.at_us);
    all
}

fn solve(nodes: usize, clocks: &[Clock], seed: u64) -> ClockOffsets {
    let homes: Vec<Option<u32>> = (0..nodes as u32).map(Some).collect();
    let mut collector = BoundCollector::new(&homes);
    for (node, record) in world(nodes as u64, 4_000, seed) {
        let at_us = clocks[node].shows(record.at_us);
        collector.observe(node, &Record { at_us, ..record });
    }
    collector.finish().solve(nodes)
}

fn clocks(nodes: usize, seed: u64) -> Vec<Clock> {
    let mut draw = SplitMix64(seed ^ 0xabc);
    let clock = |i: usize| Clock {
        ahead_us: if i == 1 { 80_000 } else { draw.below(160_000) as i64 - 80_000 },
        ppm: draw.below(200) as i64 - 100,
    };
    (0..nodes).map(clock).collect()
}

#[test]
fn the_truth_lies_within_what_is_stated_and_that_is_narrow() {
    for seed in 0..20 {
        let truth = clocks(5, seed);
        let solved = solve(5, &truth, seed);
        assert_eq!(solved.contradictions, 0, "seed {seed}");
        let reference = solved.reference().expect("there are some");
        for second in (3..97).step_by(2) {
            let at = START + second * 1_000_000;
            for i in 0..5 {
                let shown = truth[i].shows(at);
                let offset = solved.offset(i, shown).expect("all are tied");
                let true_offset = shown as i64 - truth[reference].shows(at) as i64;
                let wrong = (offset.ahead_us - true_offset).abs();
                assert!(
                    wrong <= offset.uncertainty_us,
                    "seed {seed}, {second} s, clock {i}: {wrong} of {offset:?}"
                );
                assert!(offset.uncertainty_us < 25_000, "seed {seed}, {second} s, clock {i}: {offset:?}");
            }
        }
    }
}

#[test]
fn all_bounds_hold_at_once_after_correction() {
    let mut draw = SplitMix64(3);
    for _ in 0..50 {
        let true_us: Vec<i64> = (0..6).map(|_| draw.below(200_000) as i64 - 100_000).collect();
        let mut bounds = Bounds::default();
        let mut all = Vec::new();
        for _ in 0..60 {
            let (from, to) = (draw.below(6) as usize, draw.below(6) as usize);
            let max_difference_us = true_us[to] - true_us[from] + draw.below(30_000) as i64;
            let bound = Bound { from, to, at_us: START, max_difference_us };
            bounds.add(bound);
            all.push(bound);
        }
        let solved = bounds.solve(6);
        assert_eq!(solved.contradictions, 0);
        // What one window allows for drift.
        let slack = 401;
        for Bound { from, to, max_difference_us, .. } in all {
            if let Some((a, b)) = solved.offset(from, START).zip(solved.offset(to, START)) {
                assert!(b.ahead_us - a.ahead_us <= max_difference_us + slack);
            }
        }
    }
}

#[test]
fn clocks_that_share_no_call_are_not_tied_and_nonsense_is_left_out() {
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
    let ahead = solved.offset(1, START + 30_000_000).expect("tied");
    assert!((ahead.ahead_us - 80_000).abs() < 2_000 && ahead.uncertainty_us < 12_000, "{ahead:?}");
    assert_eq!(
        (solved.offset(2, START), solved.correct(3, START)),
        (None, START),
        "unknown clocks are left alone"
    );
    // One wrong word contradicts the rest of its window, and costs no more than that window.
    bounds.add(bound(0, 1, 15, -500_000));
    let spoilt = bounds.solve(4);
    assert!(spoilt.contradictions > 0);
    let again = spoilt.offset(1, START + 30_000_000).expect("its neighbours tie it");
    assert!((again.ahead_us - 80_000).abs() < 3_000, "{again:?}");
    // A clock that is set by half a second: each side keeps its own truth.
    let mut stepped = Bounds::default();
    for window in 0..30 {
        let ahead = if window < 15 { 0 } else { 500_000 };
        stepped.add(bound(0, 1, window, ahead + 5_000));
        stepped.add(bound(1, 0, window, 5_000 - ahead));
    }
    let stepped = stepped.solve(2);
    assert!(stepped.contradictions > 0);
    let at = |window: u64| stepped.offset(1, START + window * 2_000_000).expect("tied").ahead_us;
    assert!(at(3).abs() < 3_000 && (at(27) - 500_000).abs() < 3_000, "{} {}", at(3), at(27));
    // Years apart: no memory for each second between.
    let mut far = Bounds::default();
    far.add(Bound { from: 0, to: 1, at_us: 0, max_difference_us: 1 });
    far.add(Bound { from: 1, to: 0, at_us: u64::MAX / 2, max_difference_us: 1 });
    assert_eq!(far.solve(2).reference(), Some(0));
    assert_eq!(Bounds::default().solve(0).reference(), None);
}

/// Files of a mesh in a folder of their own; node 2 is killed in the middle of a block, and starts again.
fn files(test: &str, nodes: usize, truth: &[Clock], seed: u64) -> (PathBuf, HashMap<(usize, u64), u64>) {
    let folder = std::env::temp_dir().join(format!("swiftlb-{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let world = world(nodes as u64, 2_000, seed);
    let middle = START + 25_000_000;
    let mut true_times = HashMap::new();
    for (node, clock) in truth.iter().enumerate().take(nodes) {
        for (run, keep) in [(0, true), (1, false)] {
            let first = |at: u64| (at < middle) == keep;
            let run_us = if keep { START } else { middle };
            let head = FileHeader {
                file_number: 0,
                ..FileHeader::first_of_run(&format!("n{node}"), node as u32, clock.shows(run_us))
            };
            let mut writer = FileWriter::create(Vec::new(), &head).expect("memory");
            let whole_run = node != 2 && run == 0;
            if node != 2 && run == 1 {
                continue;
            }
            for (_, record) in world.iter().filter(|(n, r)| *n == node && (whole_run || first(r.at_us))) {
                let at_us = clock.shows(record.at_us);
                true_times.insert((node, at_us), record.at_us);
                writer.push(&Record { at_us, event: record.event.clone() }).expect("memory");
            }
            let killed = node == 2 && run == 0;
            let bytes = if killed {
                writer.flush().expect("memory");
                let whole = writer.written_bytes() as usize;
                let bytes = writer.finish().expect("memory");
                bytes[..whole - 7].to_vec()
            } else {
                writer
                    .push(&Record { at_us: clock.shows(START + 90_000_000), event: Event::Stopped })
                    .expect("memory");
                writer.finish().expect("memory")
            };
            std::fs::write(folder.join(file_name(&head)), bytes).expect("a file");
        }
    }
    (folder, true_times)
}

#[test]
fn the_story_has_causes_before_effects_though_the_clocks_are_80_ms_apart_and_drift() {
    for seed in 0..5 {
        let truth = clocks(4, seed);
        let (folder, true_times) = files(&format!("story-{seed}"), 4, &truth, seed);
        let merge = Merge::open(&Archive::open(std::slice::from_ref(&folder)), (0, u64::MAX));
        assert_eq!(merge.softswitches(), ["n0", "n1", "n2", "n3"]);
        let reference = merge.clock_offsets().reference().expect("there are some");
        let mut merge = merge;
        let told: Vec<TimelineEntry> = merge.by_ref().collect();
        assert!(told.windows(2).all(|pair| pair[0].at_us <= pair[1].at_us), "in order");
        let mut sent: HashMap<(CallUid, u32), u64> = HashMap::new();
        let (mut pairs, mut events) = (0, 0);
        for one in &told {
            let EntryContent::Event(event) = &one.content else { continue };
            events += 1;
            if let Some(true_us) = true_times.get(&(one.softswitch, one.local_us)) {
                let wrong = one.at_us as i64 - truth[reference].shows(*true_us) as i64;
                assert!(wrong.abs() < 30_000, "seed {seed}: {wrong} us off");
            }
            match event {
                Event::Attempt { call, exchange, .. } => {
                    sent.insert((*call, *exchange), one.at_us);
                }
                // What node 2 sent may have died with it.
                Event::SetUp { call, transit_from: Some(from), .. } if *from != 2 => {
                    let here = one.softswitch as u32;
                    assert!(sent.contains_key(&(*call, here)), "seed {seed}: came before it was sent");
                    pairs += 1;
                }
                _ => {}
            }
        }
        assert!(pairs > 300 && events > 5_000, "{pairs} pairs of {events} events");
        let ends: Vec<(usize, bool)> = told
            .iter()
            .filter_map(|one| match one.content {
                EntryContent::RunEnded { clean } => Some((one.softswitch, clean)),
                _ => None,
            })
            .collect();
        assert_eq!(ends.len(), 5);
        assert_eq!(
            ends.iter().filter(|(node, well)| *node == 2 && !well).count(),
            1,
            "the one that was killed"
        );
        let cuts = told
            .iter()
            .filter(|one| matches!(&one.content, EntryContent::Gap(gap) if gap.damage == Damage::Cut))
            .count();
        assert_eq!(cuts, 1, "its last block is named as missing");
        std::fs::remove_dir_all(&folder).expect("it was there");
    }
}

#[test]
fn a_window_of_time_is_told_alone() {
    let truth = vec![Clock { ahead_us: 0, ppm: 0 }; 4];
    let (folder, _) = files("window", 4, &truth, 9);
    let (from, to) = (START + 10_000_000, START + 12_000_000);
    let merge = Merge::open(&Archive::open(std::slice::from_ref(&folder)), (from, to));
    let events: Vec<TimelineEntry> =
        merge.filter(|one| matches!(one.content, EntryContent::Event(_))).collect();
    assert!(events.len() > 100 && events.iter().all(|one| (from..=to).contains(&one.local_us)));
    std::fs::remove_dir_all(&folder).expect("it was there");
}
