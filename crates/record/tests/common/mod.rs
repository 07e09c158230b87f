//! Pseudo-random records and files for the tests of this crate.
#![allow(dead_code)]

#[path = "../../../../tests/common/rng.rs"]
mod rng;

pub use rng::SplitMix64;
use swiftlb_record::{
    AttemptOutcome, AttemptReason, CallUid, ConnectionChange, Event, FileHeader, FileWriter, Front,
    ListedReadiness, Record, RefusalReason, ReleasedBy,
};

/// Pseudo-random records of most kinds, in chronological order.
pub fn random_records(count: usize, seed: u64) -> Vec<Record> {
    let mut rng = SplitMix64(seed);
    let mut at_us = 1_700_000_000_000_000;
    let mut all = Vec::with_capacity(count);
    for _ in 0..count {
        at_us += rng.below(4_000);
        let (call, exchange) = (CallUid(rng.next_u64()), rng.below(9) as u32);
        let elapsed_us = rng.below(1 << 40);
        let event = match rng.below(14) {
            0 => {
                let (dest, transit_from) = (exchange, (rng.below(4) == 0).then_some(3));
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
            1 => Event::Attempt { call, attempt: 1, exchange, awaits_connection: rng.below(2) == 0 },
            2 => {
                let (outcome, reason) =
                    (AttemptOutcome::Congested, AttemptReason::ProcessorFull(rng.below(4_000) as u32));
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
            8 => Event::Group { exchange, free: rng.below(140) as u32, total: 140 },
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

/// Records of ordinary calls at 61 per second. Returns the number of calls and the records, in chronological order.
pub fn steady_load(calls: usize) -> (usize, Vec<Record>) {
    let mut rng = SplitMix64(9);
    let mut all = Vec::new();
    for i in 0..calls as u64 {
        let (call, exchange) = (CallUid(rng.next_u64()), rng.below(7) as u32);
        let begin_us = 1_700_000_000_000_000 + i * 16_400 + rng.below(16_000);
        let answer_us = begin_us + 40_000 + rng.below(60_000);
        let end_us = answer_us + 5_000_000 + rng.below(9_000_000);
        let class = if rng.below(4) == 0 { 2 } else { 0 };
        let mut record_at = |at_us, event| all.push(Record { at_us, event });
        let (transit_from, remaining_ms) = (None, 9_000);
        let front = Front::JsonLines;
        record_at(
            begin_us,
            Event::SetUp { call, class, dest: exchange, transit_from, remaining_ms, was_cut: false, front },
        );
        record_at(begin_us + 40, Event::Attempt { call, attempt: 1, exchange, awaits_connection: false });
        record_at(begin_us + 900, Event::Group { exchange, free: 20 + rng.below(60) as u32, total: 137 });
        record_at(answer_us, Event::Answered { call, exchange, elapsed_us: answer_us - begin_us });
        record_at(
            end_us,
            Event::Released { call, exchange: Some(exchange), by: ReleasedBy::Exchange, cut: false },
        );
        record_at(end_us + 300, Event::Group { exchange, free: 20 + rng.below(60) as u32, total: 137 });
    }
    all.sort_by_key(|record| record.at_us);
    (calls, all)
}

/// Block size for tests that need many blocks.
pub const RECORDS_PER_BLOCK: usize = 1_000;

/// Writes a file with this many records per block, or fewer if a block becomes full. Returns the file and the offset
/// after every `records_per_block` records.
pub fn write_file(records: &[Record], records_per_block: usize) -> (Vec<u8>, Vec<u64>) {
    let mut writer = FileWriter::create(Vec::new(), &FileHeader::first_of_run("n0", 0, 1_000))
        .expect("writing to memory succeeds");
    let mut ends = Vec::new();
    for chunk in records.chunks(records_per_block.min(records.len())) {
        for record in chunk {
            writer.push(record).expect("writing to memory succeeds");
        }
        writer.flush().expect("writing to memory succeeds");
        ends.push(writer.written_bytes());
    }
    (writer.finish().expect("writing to memory succeeds"), ends)
}

/// Length of the block that ends at this offset, measured from the last block marker before it.
pub fn block_length(file: &[u8], end: u64) -> u64 {
    let before_end = &file[..end as usize];
    let marker = before_end.windows(4).rposition(|bytes| bytes == b"SWB\x1e").expect("a block marker");
    end - marker as u64
}
