//! Records drawn from a seed.
#![allow(dead_code)]

#[path = "../../../../tests/common/rng.rs"]
mod rng;

pub use rng::SplitMix64;
use swiftlb_record::{
    AttemptOutcome, AttemptReason, CallUid, ConnectionChange, Event, FileHeader, FileWriter, Front,
    ListedReadiness, Record, RefusalReason, ReleasedBy,
};

/// Records of all kinds, in the order of their times.
pub fn records(count: usize, seed: u64) -> Vec<Record> {
    let mut draw = SplitMix64(seed);
    let mut at_us = 1_700_000_000_000_000;
    let mut all = Vec::with_capacity(count);
    for _ in 0..count {
        at_us += draw.below(4_000);
        let (call, exchange) = (CallUid(draw.next_u64()), draw.below(9) as u32);
        let elapsed_us = draw.below(1 << 40);
        let event = match draw.below(14) {
            0 => {
                let (dest, transit_from) = (exchange, (draw.below(4) == 0).then_some(3));
                Event::SetUp {
                    call,
                    class: 1,
                    dest,
                    transit_from,
                    remaining_ms: 9_000,
                    was_cut: false,
                    front: Front::JsonLines,
                }
            }
            1 => Event::Attempt { call, attempt: 1, exchange, awaits_connection: draw.below(2) == 0 },
            2 => {
                let (outcome, reason) =
                    (AttemptOutcome::Congested, AttemptReason::ProcessorFull(draw.below(4_000) as u32));
                Event::AttemptEnded { call, attempt: 2, exchange, outcome, reason, elapsed_us }
            }
            3 => Event::Answered { call, exchange, elapsed_us },
            4 => {
                let reason = RefusalReason::AfterAttempt(AttemptOutcome::TimedOut, AttemptReason::CrankBack);
                Event::Refused { call, reason, retry_after_ms: 300 }
            }
            5 => Event::Abandoned { call },
            6 => Event::Released { call, exchange: None, by: ReleasedBy::ExchangeLost, cut: true },
            7 => Event::Exchange {
                exchange,
                name: "s-00c41f7a".to_owned(),
                zone: 2,
                readiness: ListedReadiness::Ready,
                started_us: elapsed_us,
            },
            8 => Event::Group { exchange, free: draw.below(140) as u32, total: 140 },
            9 => Event::ExchangeConnection { exchange, change: ConnectionChange::Refused },
            10 => Event::Avoidance { exchange, avoided: true },
            11 => Event::ExpectedDelay { exchange, expected_ms: 80, open_attempts: 3 },
            12 => Event::Classes(vec!["unit-status".to_owned(), "fault-lookup".to_owned()]),
            _ => Event::RecordsLost { records: elapsed_us },
        };
        all.push(Record { at_us, event });
    }
    all
}

/// Plain calls at 61 a second: how many, and what is recorded of them.
pub fn load(calls: usize) -> (usize, Vec<Record>) {
    let mut draw = SplitMix64(9);
    let mut all = Vec::new();
    for i in 0..calls as u64 {
        let (call, exchange) = (CallUid(draw.next_u64()), draw.below(7) as u32);
        let begin = 1_700_000_000_000_000 + i * 16_400 + draw.below(16_000);
        let answer = begin + 40_000 + draw.below(60_000);
        let end = answer + 5_000_000 + draw.below(9_000_000);
        let class = if draw.below(4) == 0 { 2 } else { 0 };
        let mut at = |at_us, event| all.push(Record { at_us, event });
        let (transit_from, remaining_ms) = (None, 9_000);
        let front = Front::JsonLines;
        at(
            begin,
            Event::SetUp { call, class, dest: exchange, transit_from, remaining_ms, was_cut: false, front },
        );
        at(begin + 40, Event::Attempt { call, attempt: 1, exchange, awaits_connection: false });
        at(begin + 900, Event::Group { exchange, free: 20 + draw.below(60) as u32, total: 137 });
        at(answer, Event::Answered { call, exchange, elapsed_us: answer - begin });
        at(end, Event::Released { call, exchange: Some(exchange), by: ReleasedBy::Exchange, cut: false });
        at(end + 300, Event::Group { exchange, free: 20 + draw.below(60) as u32, total: 137 });
    }
    all.sort_by_key(|record| record.at_us);
    (calls, all)
}

/// Blocks of this many records where nothing else is asked for.
pub const FEW: usize = 1_000;

/// A file with blocks of so many records, and where each block ends. More than fill a block begin another.
pub fn file_of(records: &[Record], block: usize) -> (Vec<u8>, Vec<u64>) {
    let mut writer =
        FileWriter::create(Vec::new(), &FileHeader::first_of_run("n0", 0, 1_000)).expect("memory");
    let mut ends = Vec::new();
    for part in records.chunks(block.min(records.len())) {
        for record in part {
            writer.push(record).expect("memory");
        }
        writer.flush().expect("memory");
        ends.push(writer.written_bytes());
    }
    (writer.finish().expect("memory"), ends)
}

/// Length of the block that ends here, by its head: the last mark before its end.
pub fn block_len(file: &[u8], end: u64) -> u64 {
    let until = &file[..end as usize];
    let mark = until.windows(4).rposition(|word| word == b"SWB\x1e").expect("a mark");
    end - mark as u64
}
