//! Files: what was written comes back, whatever happened to the file since.

mod common;

use std::io::Cursor;

use common::{FEW, file_of, load, records};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use swiftlb_record::{
    Block, BlockKind, Damage, Event, FileHeader, FileReader, FileWriter, FormatError, Gap, Item, Record,
};

fn read(bytes: &[u8]) -> (Vec<Block>, Vec<Gap>) {
    let mut reader = FileReader::open(Cursor::new(bytes)).expect("a record file");
    let (mut blocks, mut gaps) = (Vec::new(), Vec::new());
    while let Some(item) = reader.next_item().expect("it can be read") {
        match item {
            Item::Block(block) => blocks.push(block),
            Item::Gap(gap) => gaps.push(gap),
        }
    }
    (blocks, gaps)
}

fn all(blocks: &[Block]) -> Vec<Record> {
    blocks.iter().flat_map(|block| block.records.clone()).collect()
}

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config { cases, failure_persistence: None, ..Config::default() }, rng)
}

#[test]
fn what_was_written_comes_back_in_order() {
    let written = records(20_000, 1);
    let (file, blocks) = file_of(&written, FEW);
    let (read, gaps) = read(&file);
    assert_eq!((all(&read), gaps), (written.clone(), vec![]));
    assert_eq!(read.len(), blocks.len());
    let mut reader = FileReader::open(Cursor::new(&file)).expect("a record file");
    assert_eq!(reader.header(), Some(&FileHeader::first_of_run("n0", 0, 1_000)));
    assert_eq!(reader.record_count().expect("read"), written.len() as u64);
    let times = written.iter().map(|r| r.at_us);
    assert_eq!(reader.time_range().expect("read"), times.clone().min().zip(times.max()));
}

#[test]
fn a_time_is_found_without_reading_what_lies_before() {
    let written = records(20_000, 2);
    let (file, _) = file_of(&written, FEW);
    let cut = file.len() - 12;
    let (from, to) = (written[9_000].at_us, written[11_000].at_us);
    // With the index at the end of the file, and without it as after a crash.
    for bytes in [&file[..], &file[..cut]] {
        let mut reader = FileReader::open(Cursor::new(bytes)).expect("a record file");
        reader.select_time_range(from, to).expect("read");
        let mut found = Vec::new();
        while let Some(item) = reader.next_item().expect("read") {
            if let Item::Block(block) = item {
                assert!(block.header.last_us >= from && block.header.first_us <= to);
                found.extend(block.records);
            }
        }
        let inside = |r: &&Record| (from..=to).contains(&r.at_us);
        let wanted: Vec<&Record> = written.iter().filter(inside).collect();
        assert_eq!(found.iter().filter(inside).collect::<Vec<_>>(), wanted);
        assert!(found.len() < 4_000, "{} read for {}", found.len(), wanted.len());
    }
}

#[test]
fn a_file_cut_at_any_byte_of_its_last_two_blocks_gives_every_whole_block() {
    let written = records(600, 3);
    let (file, ends) = file_of(&written, 200);
    let ends: Vec<usize> = ends.iter().map(|end| *end as usize).collect();
    let whole_at = |cut: usize| ends.iter().filter(|end| **end <= cut).count();
    for cut in ends[0]..file.len() {
        let (blocks, gaps) = read(&file[..cut]);
        assert_eq!(blocks.len(), whole_at(cut), "cut at {cut}");
        assert_eq!(all(&blocks), written[..200 * blocks.len()], "cut at {cut}");
        // Behind the last block there is but the index, and behind that the tail of 12 bytes.
        let clean = ends.contains(&cut) || cut >= file.len() - 12;
        assert_eq!(gaps.is_empty(), clean, "cut at {cut}: {gaps:?}");
        assert!(
            gaps.iter().all(|gap| gap.damage == Damage::Cut && gap.offset + gap.bytes == cut as u64),
            "{gaps:?}"
        );
    }
}

#[test]
fn flipped_bytes_cost_the_blocks_that_they_are_in() {
    let written = records(3_000, 4);
    let (file, ends) = file_of(&written, 300);
    let flips = prop::collection::vec((8..file.len(), 1..=255_u8), 1..4);
    runner(300)
        .run(&flips, |flips| {
            let mut bytes = file.clone();
            flips.iter().for_each(|(at, with)| bytes[*at] ^= with);
            let (blocks, gaps) = read(&bytes);
            let mut begin = 0;
            let mut wanted = Vec::new();
            for (i, end) in ends.iter().enumerate() {
                // The first block is behind the file's head, which may be damaged for itself.
                let begins = if i == 0 { ends[0] - common::block_len(&file, ends[0]) } else { begin };
                if !flips.iter().any(|(at, _)| (begins..*end).contains(&(*at as u64))) {
                    wanted.extend_from_slice(&written[300 * i..300 * (i + 1)]);
                }
                begin = *end;
            }
            prop_assert_eq!(all(&blocks), wanted);
            let last = ends[ends.len() - 1];
            let hit = flips.iter().any(|(at, _)| (*at as u64) < last);
            prop_assert!(!hit || blocks.len() == ends.len() || !gaps.is_empty(), "damage that is not named");
            Ok(())
        })
        .expect("no case fails");
}

#[test]
fn garbage_is_no_file_and_never_a_panic() {
    let error = |bytes: &[u8]| {
        let error = FileReader::open(Cursor::new(bytes)).err()?;
        error.get_ref()?.downcast_ref::<FormatError>().cloned()
    };
    assert_eq!(error(b""), Some(FormatError::Empty));
    assert_eq!(error(b"swl"), Some(FormatError::NotRecordFile));
    assert_eq!(error(b"swlbrec\x00"), Some(FormatError::UnsupportedVersion(0)));
    assert_eq!(error(b"swlbrec\x02 and more"), Some(FormatError::UnsupportedVersion(2)));
    runner(400)
        .run(&prop::collection::vec(any::<u8>(), 0..4_000), |garbage| {
            let _ = error(&garbage);
            let mut bytes = b"swlbrec\x01".to_vec();
            // Marks all over, so that heads are looked at.
            for chunk in garbage.chunks(50) {
                bytes.extend_from_slice(b"SWB\x1e");
                bytes.extend_from_slice(chunk);
            }
            let (blocks, _) = read(&bytes);
            prop_assert!(blocks.is_empty());
            Ok(())
        })
        .expect("no case fails");
}

#[test]
fn a_file_is_read_while_it_is_written() {
    let written = records(300, 5);
    let mut writer =
        FileWriter::create(Vec::new(), &FileHeader::first_of_run("n0", 0, 1_000)).expect("memory");
    let mut sizes = vec![writer.written_bytes() as usize];
    for part in written.chunks(100) {
        part.iter().for_each(|record| writer.push(record).expect("memory"));
        writer.flush().expect("memory");
        sizes.push(writer.written_bytes() as usize);
    }
    let file = writer.finish().expect("memory");
    let path = std::env::temp_dir().join(format!("swiftlb-grow-{}.swr", std::process::id()));
    // Half of the second block is there at the first look.
    let half = (sizes[1] + sizes[2]) / 2;
    std::fs::write(&path, &file[..half]).expect("a file");
    let mut reader =
        FileReader::open(std::fs::File::open(&path).expect("it is there")).expect("a record file");
    let mut found = Vec::new();
    let mut cuts = 0;
    let mut take = |reader: &mut FileReader<std::fs::File>| {
        while let Some(item) = reader.next_item().expect("read") {
            match item {
                Item::Block(block) => found.extend(block.records),
                Item::Gap(gap) => cuts += usize::from(gap.damage == Damage::Cut),
            }
        }
        found.len()
    };
    assert_eq!(take(&mut reader), 100);
    assert!(!reader.refresh().expect("read"), "nothing has come");
    std::fs::write(&path, &file[..sizes[3]]).expect("a file");
    assert!(reader.refresh().expect("read"));
    assert_eq!(take(&mut reader), 300);
    assert_eq!((found, cuts), (written, 1));
    std::fs::remove_file(&path).expect("it was there");
}

#[test]
fn an_event_that_only_a_newer_program_knows_is_passed_over() {
    // An encoder of its own, after the description of the format: the oracle for the one under test.
    let known = postcard::to_stdvec(&(0_i64, &Event::Stopping)).expect("memory");
    let newer = [&[2_u8, 250, 1][..], &[9; 20]].concat();
    let mut raw = Vec::new();
    for body in [&known, &newer, &known] {
        raw.push(body.len() as u8);
        raw.extend_from_slice(body);
    }
    let block = |kind: u8, count: u32, raw: &[u8]| {
        let body = zstd::bulk::compress(raw, 1).expect("memory");
        let mut head = b"SWB\x1e".to_vec();
        head.extend_from_slice(&[kind, 0, 0, 0]);
        [count, body.len() as u32, raw.len() as u32]
            .iter()
            .for_each(|n| head.extend_from_slice(&n.to_le_bytes()));
        [5_000_u64, 5_000].iter().for_each(|n| head.extend_from_slice(&n.to_le_bytes()));
        head.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        head.extend_from_slice(&crc32fast::hash(&head).to_le_bytes());
        [head, body].concat()
    };
    let head = postcard::to_stdvec(&FileHeader::first_of_run("n0", 0, 1)).expect("memory");
    let file = [&b"swlbrec\x01"[..], &block(0, 0, &head), &block(77, 1, b"?"), &block(1, 3, &raw)].concat();
    let (blocks, gaps) = read(&file);
    assert_eq!(gaps, vec![]);
    assert_eq!((blocks.len(), blocks[0].unknown_records, blocks[0].header.kind), (1, 1, BlockKind::Records));
    assert_eq!(blocks[0].records, vec![Record { at_us: 5_000, event: Event::Stopping }; 2]);
}

#[test]
fn a_call_takes_few_bytes() {
    // Set-up, attempt, answer, two pieces of news of a group and release of each, as the softswitch records them.
    let (calls, written) = load(20_000);
    let (file, _) = file_of(&written, usize::MAX);
    let each = file.len() as f64 / calls as f64;
    println!("{each:.1} bytes a call, {} raw", written.len());
    assert!((16.0..64.0).contains(&each), "{each:.1} bytes a call");
}
