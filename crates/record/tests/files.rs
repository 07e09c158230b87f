//! Record files: writing and reading, also of damaged, truncated and growing files.

mod common;

use std::io::Cursor;

use common::{RECORDS_PER_BLOCK, random_records, steady_load, write_file};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use swiftlb_record::{
    Block, BlockKind, Damage, Event, FileHeader, FileReader, FileWriter, FormatError, Gap, Item, Record,
};

fn read_file(bytes: &[u8]) -> (Vec<Block>, Vec<Gap>) {
    let mut reader = FileReader::open(Cursor::new(bytes)).expect("the file opens");
    let (mut blocks, mut gaps) = (Vec::new(), Vec::new());
    while let Some(item) = reader.next_item().expect("reading succeeds") {
        match item {
            Item::Block(block) => blocks.push(block),
            Item::Gap(gap) => gaps.push(gap),
        }
    }
    (blocks, gaps)
}

fn records_of(blocks: &[Block]) -> Vec<Record> {
    blocks.iter().flat_map(|block| block.records.clone()).collect()
}

fn property_runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config { cases, failure_persistence: None, ..Config::default() }, rng)
}

#[test]
fn records_are_read_in_the_order_written() {
    let written = random_records(20_000, 1);
    let (file, ends) = write_file(&written, RECORDS_PER_BLOCK);
    let (blocks, gaps) = read_file(&file);
    assert_eq!((records_of(&blocks), gaps), (written.clone(), vec![]));
    assert_eq!(blocks.len(), ends.len());
    let mut reader = FileReader::open(Cursor::new(&file)).expect("the file opens");
    assert_eq!(reader.header(), Some(&FileHeader::first_of_run("n0", 0, 1_000)));
    assert_eq!(reader.record_count().expect("reading succeeds"), written.len() as u64);
    let times = written.iter().map(|r| r.at_us);
    assert_eq!(reader.time_range().expect("reading succeeds"), times.clone().min().zip(times.max()));
}

#[test]
fn a_time_range_is_read_without_the_blocks_before_it() {
    let written = random_records(20_000, 2);
    let (file, _) = write_file(&written, RECORDS_PER_BLOCK);
    let trailer_begin = file.len() - 12;
    let (from, to) = (written[9_000].at_us, written[11_000].at_us);
    // With the index, and without the trailer that locates it, as after a crash.
    for bytes in [&file[..], &file[..trailer_begin]] {
        let mut reader = FileReader::open(Cursor::new(bytes)).expect("the file opens");
        reader.select_time_range(from, to).expect("reading succeeds");
        let mut found = Vec::new();
        while let Some(item) = reader.next_item().expect("reading succeeds") {
            if let Item::Block(block) = item {
                assert!(block.header.last_us >= from && block.header.first_us <= to);
                found.extend(block.records);
            }
        }
        let inside = |r: &&Record| (from..=to).contains(&r.at_us);
        let expected: Vec<&Record> = written.iter().filter(inside).collect();
        assert_eq!(found.iter().filter(inside).collect::<Vec<_>>(), expected);
        assert!(found.len() < 4_000, "{} read for {}", found.len(), expected.len());
    }
}

#[test]
fn a_file_truncated_at_any_byte_of_its_last_two_blocks_yields_every_complete_block() {
    let written = random_records(600, 3);
    let (file, ends) = write_file(&written, 200);
    let ends: Vec<usize> = ends.iter().map(|end| *end as usize).collect();
    let complete_blocks = |cut: usize| ends.iter().filter(|end| **end <= cut).count();
    for cut in ends[0]..file.len() {
        let (blocks, gaps) = read_file(&file[..cut]);
        assert_eq!(blocks.len(), complete_blocks(cut), "cut at {cut}");
        assert_eq!(records_of(&blocks), written[..200 * blocks.len()], "cut at {cut}");
        // The last block of records is followed by the index, and that by the trailer of 12 bytes.
        let at_block_end = ends.contains(&cut) || cut >= file.len() - 12;
        assert_eq!(gaps.is_empty(), at_block_end, "cut at {cut}: {gaps:?}");
        assert!(
            gaps.iter().all(|gap| gap.damage == Damage::Cut && gap.offset + gap.bytes == cut as u64),
            "{gaps:?}"
        );
    }
}

#[test]
fn corrupt_bytes_lose_only_the_blocks_that_contain_them() {
    let written = random_records(3_000, 4);
    let (file, ends) = write_file(&written, 300);
    let flips = prop::collection::vec((8..file.len(), 1..=255_u8), 1..4);
    property_runner(300)
        .run(&flips, |flips| {
            let mut bytes = file.clone();
            flips.iter().for_each(|(at, mask)| bytes[*at] ^= mask);
            let (blocks, gaps) = read_file(&bytes);
            let mut previous_end = 0;
            let mut expected = Vec::new();
            for (i, end) in ends.iter().enumerate() {
                // The file header precedes the first block, and damage to it loses no records.
                let block_begin =
                    if i == 0 { ends[0] - common::block_length(&file, ends[0]) } else { previous_end };
                if !flips.iter().any(|(at, _)| (block_begin..*end).contains(&(*at as u64))) {
                    expected.extend_from_slice(&written[300 * i..300 * (i + 1)]);
                }
                previous_end = *end;
            }
            prop_assert_eq!(records_of(&blocks), expected);
            let last = ends[ends.len() - 1];
            let hit = flips.iter().any(|(at, _)| (*at as u64) < last);
            prop_assert!(!hit || blocks.len() == ends.len() || !gaps.is_empty(), "damage is not reported");
            Ok(())
        })
        .expect("all cases pass");
}

#[test]
fn garbage_is_rejected_without_a_panic() {
    let error = |bytes: &[u8]| {
        let error = FileReader::open(Cursor::new(bytes)).err()?;
        error.get_ref()?.downcast_ref::<FormatError>().cloned()
    };
    assert_eq!(error(b""), Some(FormatError::Empty));
    assert_eq!(error(b"swl"), Some(FormatError::NotRecordFile));
    assert_eq!(error(b"swlbrec\x00"), Some(FormatError::UnsupportedVersion(0)));
    assert_eq!(error(b"swlbrec\x02 and more"), Some(FormatError::UnsupportedVersion(2)));
    property_runner(400)
        .run(&prop::collection::vec(any::<u8>(), 0..4_000), |garbage| {
            let _ = error(&garbage);
            let mut bytes = b"swlbrec\x01".to_vec();
            // Many block markers, so that the header decoder runs.
            for chunk in garbage.chunks(50) {
                bytes.extend_from_slice(b"SWB\x1e");
                bytes.extend_from_slice(chunk);
            }
            let (blocks, _) = read_file(&bytes);
            prop_assert!(blocks.is_empty());
            Ok(())
        })
        .expect("all cases pass");
}

#[test]
fn a_file_can_be_read_while_it_is_written() {
    let written = random_records(300, 5);
    let mut writer = FileWriter::create(Vec::new(), &FileHeader::first_of_run("n0", 0, 1_000))
        .expect("writing to memory succeeds");
    let mut sizes = vec![writer.written_bytes() as usize];
    for chunk in written.chunks(100) {
        chunk.iter().for_each(|record| writer.push(record).expect("writing to memory succeeds"));
        writer.flush().expect("writing to memory succeeds");
        sizes.push(writer.written_bytes() as usize);
    }
    let file = writer.finish().expect("writing to memory succeeds");
    let path = std::env::temp_dir().join(format!("swiftlb-grow-{}.swr", std::process::id()));
    // The first read finds half of the second block.
    let half = (sizes[1] + sizes[2]) / 2;
    std::fs::write(&path, &file[..half]).expect("the file is written");
    let mut reader =
        FileReader::open(std::fs::File::open(&path).expect("the file exists")).expect("the file opens");
    let mut found = Vec::new();
    let mut cuts = 0;
    let mut read_available = |reader: &mut FileReader<std::fs::File>| {
        while let Some(item) = reader.next_item().expect("reading succeeds") {
            match item {
                Item::Block(block) => found.extend(block.records),
                Item::Gap(gap) => cuts += usize::from(gap.damage == Damage::Cut),
            }
        }
        found.len()
    };
    assert_eq!(read_available(&mut reader), 100);
    assert!(!reader.refresh().expect("reading succeeds"), "the file has not grown");
    std::fs::write(&path, &file[..sizes[3]]).expect("the file is written");
    assert!(reader.refresh().expect("reading succeeds"));
    assert_eq!(read_available(&mut reader), 300);
    assert_eq!((found, cuts), (written, 1));
    std::fs::remove_file(&path).expect("the file is removed");
}

#[test]
fn events_and_blocks_of_unknown_kinds_are_skipped() {
    // An independent encoder, written from the description of the format: `FileWriter` writes known kinds only.
    let known = postcard::to_stdvec(&(0_i64, &Event::Stopping)).expect("writing to memory succeeds");
    // Relative time 1 as a zigzag varint, then the index of an unknown variant (250 as a varint), then its fields.
    let newer = [&[2_u8, 250, 1][..], &[9; 20]].concat();
    let mut raw = Vec::new();
    for body in [&known, &newer, &known] {
        raw.push(body.len() as u8);
        raw.extend_from_slice(body);
    }
    let block = |kind: u8, count: u32, raw: &[u8]| {
        let body = zstd::bulk::compress(raw, 1).expect("writing to memory succeeds");
        let mut header = b"SWB\x1e".to_vec();
        header.extend_from_slice(&[kind, 0, 0, 0]);
        [count, body.len() as u32, raw.len() as u32]
            .iter()
            .for_each(|n| header.extend_from_slice(&n.to_le_bytes()));
        [5_000_u64, 5_000].iter().for_each(|n| header.extend_from_slice(&n.to_le_bytes()));
        header.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
        [header, body].concat()
    };
    let file_header =
        postcard::to_stdvec(&FileHeader::first_of_run("n0", 0, 1)).expect("writing to memory succeeds");
    let file =
        [&b"swlbrec\x01"[..], &block(0, 0, &file_header), &block(77, 1, b"?"), &block(1, 3, &raw)].concat();
    let (blocks, gaps) = read_file(&file);
    assert_eq!(gaps, vec![]);
    assert_eq!((blocks.len(), blocks[0].unknown_records, blocks[0].header.kind), (1, 1, BlockKind::Records));
    assert_eq!(blocks[0].records, vec![Record { at_us: 5_000, event: Event::Stopping }; 2]);
}

#[test]
fn a_recorded_call_takes_between_16_and_64_bytes() {
    // Each call has the records of a softswitch: set-up, attempt, answer, release and two states of a group.
    let (calls, written) = steady_load(20_000);
    let (file, _) = write_file(&written, usize::MAX);
    let bytes_per_call = file.len() as f64 / calls as f64;
    println!("{bytes_per_call:.1} bytes per call, {} records", written.len());
    assert!((16.0..64.0).contains(&bytes_per_call), "{bytes_per_call:.1} bytes per call");
}
