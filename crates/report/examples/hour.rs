//! Writes records of a mesh as seven softswitches would leave them, for measuring how long a report of them takes:
//!
//! ```sh
//! cargo run --release -p swiftlb-report --example hour -- DIR [SECONDS] [CALLS_A_SECOND]
//! /usr/bin/time -v target/release/swiftlbctl report DIR --out hour.html
//! ```
//!
//! Usually one hour at 61 calls a second; 12,000 s at 140 a second are some 10 million records.

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
const START: u64 = 1_800_000_000_000_000;

fn main() -> std::io::Result<()> {
    let mut words = std::env::args().skip(1);
    let folder = PathBuf::from(words.next().unwrap_or_else(|| "hour".to_owned()));
    let number = |word: Option<String>, usual: u64| word.and_then(|word| word.parse().ok()).unwrap_or(usual);
    let seconds = number(words.next(), 3_600);
    let rate = number(words.next(), 61);
    std::fs::create_dir_all(&folder)?;
    let mut draw = SplitMix64(1);
    let mut files = Vec::new();
    for node in 0..NODES {
        let head = FileHeader::first_of_run(&format!("n{node}"), node as u32, START);
        files.push(FileWriter::create(BufWriter::new(File::create(folder.join(file_name(&head)))?), &head)?);
    }
    // Records wait here until their second is over, so that each file is in order.
    let mut waiting: Vec<Vec<(u64, Event)>> = vec![Vec::new(); NODES as usize];
    let mut written = 0_u64;
    for (node, records) in waiting.iter_mut().enumerate() {
        let home = Some(node as u32);
        records.push((START, Event::Started { version: "0".to_owned(), home, is_replacement: false }));
        records.push((
            START,
            Event::Classes(["unit-status", "fault-lookup", "parts-check"].map(str::to_owned).to_vec()),
        ));
        for exchange in 0..NODES as u32 {
            let (name, readiness) = (format!("s-{exchange}"), ListedReadiness::Ready);
            records.push((START, Event::Exchange { exchange, name, zone: 0, readiness, started_us: 0 }));
            if exchange != node as u32 {
                records.push((START, Event::ExchangeConnection { exchange, change: ConnectionChange::Up }));
            }
        }
    }
    for second in 0..seconds {
        let begin = START + second * 1_000_000;
        for _ in 0..rate {
            let call = CallUid(draw.below(u64::MAX));
            let (origin, front) = (draw.below(NODES), Front::JsonLines);
            let dest = (origin + 1 + draw.below(NODES - 1)) % NODES;
            let came = begin + draw.below(1_000_000);
            let class = [0, 0, 0, 0, 0, 0, 0, 1, 2, 2][draw.below(10) as usize];
            let via = (0..NODES).find(|n| *n != origin && *n != dest && draw.below(4) == 0);
            let via = via.filter(|_| draw.below(5) == 0);
            let mut at = |node: u64, at_us: u64, event: Event| waiting[node as usize].push((at_us, event));
            let set_up = |transit_from| {
                let dest = dest as u32;
                Event::SetUp { call, class, dest, transit_from, remaining_ms: 3_000, was_cut: false, front }
            };
            let attempt =
                |to: u64| Event::Attempt { call, attempt: 1, exchange: to as u32, awaits_connection: false };
            let group = |draw: &mut SplitMix64, to: u64| Event::Group {
                exchange: to as u32,
                free: 20 + draw.below(60) as u32,
                total: 137,
            };
            let answer = |to: u64, elapsed_us| Event::Answered { call, exchange: to as u32, elapsed_us };
            let released = |to: u64| Event::Released {
                call,
                exchange: Some(to as u32),
                by: ReleasedBy::Exchange,
                cut: false,
            };
            let first = via.unwrap_or(dest);
            let took = 40_000 + draw.below(60_000);
            let over = came + took + 3_000_000 + draw.below(12_000_000);
            at(origin, came, set_up(None));
            at(origin, came + 40, attempt(first));
            at(origin, came + 900, group(&mut draw, first));
            if let Some(tandem) = via {
                at(tandem, came + 10_000, set_up(Some(origin as u32)));
                at(tandem, came + 10_040, attempt(dest));
                at(tandem, came + took - 9_000, answer(dest, took - 19_000));
                at(tandem, over - 9_000, released(dest));
            }
            at(origin, came + took, answer(first, took));
            at(origin, over, released(first));
            at(origin, over + 300, group(&mut draw, first));
        }
        for (node, records) in waiting.iter_mut().enumerate() {
            for exchange in (0..NODES as u32).filter(|exchange| *exchange != node as u32) {
                let (expected_ms, open_attempts) = (30 + draw.below(60) as u32, draw.below(4) as u32);
                records
                    .push((begin + 500_000, Event::ExpectedDelay { exchange, expected_ms, open_attempts }));
            }
            records.sort_by_key(|(at_us, _)| *at_us);
            let until = begin + 1_000_000;
            let ready = records.partition_point(|(at_us, _)| *at_us < until);
            for (at_us, event) in records.drain(..ready) {
                files[node].push(&Record { at_us, event })?;
                written += 1;
            }
        }
    }
    let mut bytes = 0;
    for (node, mut file) in files.into_iter().enumerate() {
        file.push(&Record { at_us: START + seconds * 1_000_000, event: Event::Stopped })?;
        file.flush()?;
        bytes += file.written_bytes();
        let _ = (node, file.finish()?);
    }
    println!("{written} records, {bytes} bytes, {:.1} bytes a call", bytes as f64 / (seconds * rate) as f64);
    Ok(())
}
