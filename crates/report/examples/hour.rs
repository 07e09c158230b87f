//! Generates records of a mesh of seven softswitches, to measure how long a report of them takes:
//!
//! ```sh
//! cargo run --release -p swiftlb-report --example hour -- DIR [SECONDS] [CALLS_A_SECOND]
//! /usr/bin/time -v target/release/swiftlbctl report DIR --out hour.html
//! ```
//!
//! The default is one hour at 61 calls per second. 12,000 s at 140 calls per second give about 10 million records.

#[path = "../../../tests/common/rng.rs"]
mod rng;

use std::fs::File;
use std::io::BufWriter;
use std::path::PathBuf;

use rng::SplitMix64;
use swiftlb_record::{
    CallUid, ConnectionChange, Event, FileHeader, FileWriter, Front, ListedReadiness, Record, ReleasedBy,
    file_name,
};

const NODES: u64 = 7;
const START_US: u64 = 1_800_000_000_000_000;

fn main() -> std::io::Result<()> {
    let mut args = std::env::args().skip(1);
    let directory = PathBuf::from(args.next().unwrap_or_else(|| "hour".to_owned()));
    let number = |arg: Option<String>, default: u64| arg.and_then(|arg| arg.parse().ok()).unwrap_or(default);
    let seconds = number(args.next(), 3_600);
    let rate = number(args.next(), 61);
    std::fs::create_dir_all(&directory)?;
    let mut rng = SplitMix64(1);
    let mut files = Vec::new();
    for node in 0..NODES {
        let header = FileHeader::first_of_run(&format!("n{node}"), node as u32, START_US);
        files.push(FileWriter::create(
            BufWriter::new(File::create(directory.join(file_name(&header)))?),
            &header,
        )?);
    }
    // Records by node that are not written yet. A record is written when its second is over, so that each file is in
    // order of time; those after the last second are dropped.
    let mut pending: Vec<Vec<(u64, Event)>> = vec![Vec::new(); NODES as usize];
    let mut written = 0_u64;
    for (node, records) in pending.iter_mut().enumerate() {
        let home = Some(node as u32);
        records.push((START_US, Event::Started { version: "0".to_owned(), home, is_replacement: false }));
        records.push((
            START_US,
            Event::Classes(["unit-status", "fault-lookup", "parts-check"].map(str::to_owned).to_vec()),
        ));
        for exchange in 0..NODES as u32 {
            let (name, readiness) = (format!("s-{exchange}"), ListedReadiness::Ready);
            records.push((START_US, Event::Exchange { exchange, name, zone: 0, readiness, started_us: 0 }));
            if exchange != node as u32 {
                records
                    .push((START_US, Event::ExchangeConnection { exchange, change: ConnectionChange::Up }));
            }
        }
    }
    for second in 0..seconds {
        let begin_us = START_US + second * 1_000_000;
        for _ in 0..rate {
            let call = CallUid(rng.below(u64::MAX));
            let (origin, front) = (rng.below(NODES), Front::JsonLines);
            let dest = (origin + 1 + rng.below(NODES - 1)) % NODES;
            let arrived_us = begin_us + rng.below(1_000_000);
            let class = [0, 0, 0, 0, 0, 0, 0, 1, 2, 2][rng.below(10) as usize];
            let tandem = (0..NODES).find(|n| *n != origin && *n != dest && rng.below(4) == 0);
            let tandem = tandem.filter(|_| rng.below(5) == 0);
            let mut record =
                |node: u64, at_us: u64, event: Event| pending[node as usize].push((at_us, event));
            let set_up = |transit_from| {
                let dest = dest as u32;
                Event::SetUp { call, class, dest, transit_from, remaining_ms: 3_000, was_cut: false, front }
            };
            let attempt =
                |to: u64| Event::Attempt { call, attempt: 1, exchange: to as u32, awaits_connection: false };
            let group_state = |rng: &mut SplitMix64, to: u64| Event::Group {
                exchange: to as u32,
                free: 20 + rng.below(60) as u32,
                total: 137,
            };
            let answered = |to: u64, elapsed_us| Event::Answered { call, exchange: to as u32, elapsed_us };
            let released = |to: u64| Event::Released {
                call,
                exchange: Some(to as u32),
                by: ReleasedBy::Exchange,
                cut: false,
            };
            let first_exchange = tandem.unwrap_or(dest);
            let setup_us = 40_000 + rng.below(60_000);
            let released_us = arrived_us + setup_us + 3_000_000 + rng.below(12_000_000);
            record(origin, arrived_us, set_up(None));
            record(origin, arrived_us + 40, attempt(first_exchange));
            record(origin, arrived_us + 900, group_state(&mut rng, first_exchange));
            if let Some(tandem) = tandem {
                record(tandem, arrived_us + 10_000, set_up(Some(origin as u32)));
                record(tandem, arrived_us + 10_040, attempt(dest));
                record(tandem, arrived_us + setup_us - 9_000, answered(dest, setup_us - 19_000));
                record(tandem, released_us - 9_000, released(dest));
            }
            record(origin, arrived_us + setup_us, answered(first_exchange, setup_us));
            record(origin, released_us, released(first_exchange));
            record(origin, released_us + 300, group_state(&mut rng, first_exchange));
        }
        for (node, records) in pending.iter_mut().enumerate() {
            for exchange in (0..NODES as u32).filter(|exchange| *exchange != node as u32) {
                let (expected_ms, open_attempts) = (30 + rng.below(60) as u32, rng.below(4) as u32);
                records.push((
                    begin_us + 500_000,
                    Event::ExpectedDelay { exchange, expected_ms, open_attempts },
                ));
            }
            records.sort_by_key(|(at_us, _)| *at_us);
            let end_us = begin_us + 1_000_000;
            let ready = records.partition_point(|(at_us, _)| *at_us < end_us);
            for (at_us, event) in records.drain(..ready) {
                files[node].push(&Record { at_us, event })?;
                written += 1;
            }
        }
    }
    let mut bytes = 0;
    for (node, mut file) in files.into_iter().enumerate() {
        file.push(&Record { at_us: START_US + seconds * 1_000_000, event: Event::Stopped })?;
        file.flush()?;
        bytes += file.written_bytes();
        let _ = (node, file.finish()?);
    }
    println!("{written} records, {bytes} bytes, {:.1} bytes a call", bytes as f64 / (seconds * rate) as f64);
    Ok(())
}
