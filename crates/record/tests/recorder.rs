//! The recorder: it never blocks its caller, and it counts the records that it loses.

mod common;

use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::random_records;
use crossbeam_channel::{Receiver, bounded, unbounded};
use swiftlb_record::{
    Archive, BlockKind, Event, FileHeader, FileReader, Item, Record, Recorder, RecorderError,
    RecorderSettings, Storage, file_name, files_to_remove, parse_file_name,
};

const TIMEOUT: Duration = Duration::from_secs(10);
/// More than the header of a file, so that the recorder can start while the gate of a [`TestStorage`] is closed.
const UNGATED_BYTES: usize = 100;

fn settings(directory: PathBuf) -> RecorderSettings {
    RecorderSettings { directory, ..RecorderSettings::default() }
}

fn temp_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("swiftlb-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    directory
}

/// All records of an archive, and the records of each context block.
fn read_archive(archive: &Archive) -> (Vec<Record>, Vec<Vec<Record>>) {
    let (mut all, mut contexts) = (Vec::new(), Vec::new());
    for path in archive.runs.iter().flat_map(|run| &run.files) {
        let mut reader =
            FileReader::open(std::fs::File::open(path).expect("the file exists")).expect("the file opens");
        while let Some(item) = reader.next_item().expect("reading succeeds") {
            match item {
                Item::Block(block) if block.header.kind == BlockKind::Context => contexts.push(block.records),
                Item::Block(block) => all.extend(block.records),
                Item::Gap(gap) => panic!("{gap:?}"),
            }
        }
    }
    (all, contexts)
}

/// Storage in memory. Writes to a file of more than [`UNGATED_BYTES`] block until the sender of `gate` is dropped.
/// Writes fail if the files would exceed `capacity_bytes`.
#[derive(Clone)]
struct TestStorage {
    files: Arc<Mutex<Vec<Vec<u8>>>>,
    gate: Option<Receiver<()>>,
    capacity_bytes: usize,
}

struct TestFile(TestStorage, usize);

impl Write for TestFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut files = self.0.files.lock().expect("the lock is not poisoned");
        let is_gated = files[self.1].len() > UNGATED_BYTES;
        if let Some(gate) = self.0.gate.as_ref().filter(|_| is_gated) {
            drop(files);
            let _ = gate.recv();
            files = self.0.files.lock().expect("the lock is not poisoned");
        }
        if files.iter().map(Vec::len).sum::<usize>() + bytes.len() > self.0.capacity_bytes {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no space left on device"));
        }
        files[self.1].extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Storage for TestStorage {
    type File = TestFile;

    fn create(&mut self, _: &str) -> io::Result<TestFile> {
        let mut files = self.files.lock().expect("the lock is not poisoned");
        files.push(Vec::new());
        Ok(TestFile(self.clone(), files.len() - 1))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        Ok(Vec::new())
    }

    fn remove(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn rotated_files_hold_all_records_in_order_and_each_later_file_starts_with_context() {
    let directory = temp_directory("rotate");
    let written = random_records(60_000, 11);
    let settings = RecorderSettings {
        max_file_bytes: 100 << 10,
        max_queued_records: written.len(),
        ..settings(directory.clone())
    };
    let header = FileHeader::first_of_run("n 0/x", 4, 1_700_000_000_000_000);
    let mut recorder =
        Recorder::start(settings, header, |error| panic!("{error}")).expect("the recorder starts");
    written.iter().for_each(|record| recorder.record(record.clone()));
    assert!(recorder.stop(TIMEOUT));
    let archive = Archive::open(std::slice::from_ref(&directory));
    assert!(archive.file_errors.is_empty() && archive.runs.len() == 1, "{archive:?}");
    assert_eq!((archive.runs[0].softswitch.as_str(), archive.runs[0].home), ("n 0/x", Some(4)));
    let files = archive.runs[0].files.len();
    assert!(files > 5, "{files} files");
    let (all, contexts) = read_archive(&archive);
    assert_eq!(all, written);
    assert_eq!(contexts.len(), files - 1);
    let classes = |context: &Vec<Record>| context.iter().any(|r| matches!(r.event, Event::Classes(_)));
    assert!(contexts.iter().all(classes));
    std::fs::remove_dir_all(&directory).expect("removal succeeds");
}

#[test]
fn records_lost_to_a_slow_disk_are_counted() {
    let (gate_holder, gate) = unbounded();
    let files = Arc::default();
    let storage = TestStorage { files: Arc::clone(&files), gate: Some(gate), capacity_bytes: usize::MAX };
    let settings = RecorderSettings { max_queued_records: 100, ..settings(PathBuf::from("nowhere")) };
    let mut recorder =
        Recorder::start_with_storage(storage, settings, FileHeader::first_of_run("n0", 0, 1), |error| {
            panic!("{error}")
        })
        .expect("the recorder starts");
    let written = random_records(50_000, 12);
    // At most one block is written while the gate blocks writes. If `record` waited for the storage, this loop would
    // never end.
    written.iter().for_each(|record| recorder.record(record.clone()));
    drop(gate_holder);
    assert!(recorder.stop(TIMEOUT));
    let bytes = files.lock().expect("the lock is not poisoned").concat();
    let mut reader = FileReader::open(io::Cursor::new(bytes)).expect("the file opens");
    let (mut kept, mut lost) = (0, 0);
    while let Some(item) = reader.next_item().expect("reading succeeds") {
        let Item::Block(block) = item else { panic!("{item:?}") };
        for record in block.records {
            // Random records of this kind have larger counts than the recorder can reach here.
            match record.event {
                Event::RecordsLost { records } if records <= 50_000 => lost += records,
                _ => kept += 1,
            }
        }
    }
    assert!(kept >= 100 && lost > 0, "{kept} kept, {lost} lost");
    assert_eq!(kept + lost, written.len() as u64);
}

#[test]
fn a_full_disk_ends_recording_and_reports_one_error() {
    let error_count = Arc::new(AtomicUsize::new(0));
    let (error_sender, errors) = bounded(8);
    let storage = TestStorage { files: Arc::default(), gate: None, capacity_bytes: 40_000 };
    let count = error_count.clone();
    let on_error = move |error: &RecorderError| {
        count.fetch_add(1, Ordering::SeqCst);
        error_sender.send(error.to_string()).expect("the test receives it");
    };
    let settings = settings(PathBuf::from("disk"));
    let mut recorder =
        Recorder::start_with_storage(storage, settings, FileHeader::first_of_run("n0", 0, 1), on_error)
            .expect("the recorder starts");
    random_records(20_000, 13).into_iter().for_each(|record| recorder.record(record));
    assert_eq!(
        errors.recv_timeout(TIMEOUT).expect("an error is reported"),
        "records in disk: no space left on device"
    );
    assert!(!recorder.is_recording());
    random_records(20_000, 14).into_iter().for_each(|record| recorder.record(record));
    assert!(!recorder.stop(TIMEOUT));
    assert_eq!(error_count.load(Ordering::SeqCst), 1);
}

#[test]
fn an_unusable_directory_is_reported_at_the_start() {
    let file = temp_directory("file");
    std::fs::write(&file, "here").expect("the file is written");
    let started = Recorder::start(settings(file.join("in it")), FileHeader::first_of_run("n0", 0, 1), |_| {});
    let error = started.expect_err("a file is not a directory").to_string();
    assert!(error.starts_with("records in "), "{error}");
    std::fs::remove_file(&file).expect("removal succeeds");
}

#[test]
fn the_budget_removes_the_oldest_files_but_never_the_latest_of_a_softswitch() {
    let header = |softswitch: &str, run_started_us, file_number| FileHeader {
        softswitch: softswitch.to_owned(),
        home: None,
        run_started_us,
        file_number,
    };
    let file = |softswitch, run_us, n, size| (file_name(&header(softswitch, run_us, n)), size);
    let files = [
        file("n1", 5, 0, 10),
        file("n0", 9, 1, 10),
        file("n0", 9, 0, 10),
        file("old-2", 1, 3, 10),
        ("notes.txt".to_owned(), 1_000),
        file("n0", 2, 7, 10),
    ];
    let removed = |budget| files_to_remove(&files, budget);
    assert!(removed(50).is_empty());
    assert_eq!(removed(40), [file("n0", 2, 7, 0).0]);
    assert_eq!(removed(39), [file("n0", 2, 7, 0).0, file("n0", 9, 0, 0).0]);
    assert_eq!(removed(0).len(), 2, "the latest files of n0, n1 and old-2 stay");
    for (name, _) in files.iter().filter(|(name, _)| name.ends_with(".swr")) {
        assert_eq!(file_name(&parse_file_name(name).expect("the name of a record file")), *name);
    }
    for other in ["", ".swr", "x.swr", "n0-1-.swr", "n0--1.swr", "-1-2.swr", "n0-1-2.txt", "n0-+1-2.swr"] {
        assert_eq!(parse_file_name(other), None, "{other}");
    }
}

/// Guards against softswitches whose names differ only in special characters and that share one retention.
#[test]
fn record_files_of_different_softswitches_have_different_names_that_can_be_parsed() {
    let names = ["a/b", "a:b", "a_b", "a%b", "a b", "Zürich-1", "%2f"];
    let file_names: std::collections::BTreeSet<String> =
        names.iter().map(|name| file_name(&FileHeader::first_of_run(name, 0, 5))).collect();
    assert_eq!(file_names.len(), names.len(), "{file_names:?}");
    for name in names {
        let file_name = file_name(&FileHeader::first_of_run(name, 0, 5));
        assert_eq!(parse_file_name(&file_name).expect("the name of a record file").softswitch, name);
    }
    let files: Vec<(String, u64)> = file_names.into_iter().map(|name| (name, 10)).collect();
    assert!(files_to_remove(&files, 0).is_empty(), "the latest file of each softswitch stays");
}

#[test]
fn unreadable_files_are_reported_and_the_others_are_used() {
    let directory = temp_directory("archive");
    for (name, run_us) in [("n0", 10), ("n1", 20), ("n0", 30)] {
        let recorder = Recorder::start(
            settings(directory.clone()),
            FileHeader::first_of_run(name, 0, run_us),
            |error| panic!("{error}"),
        );
        assert!(recorder.expect("the recorder starts").stop(TIMEOUT));
    }
    std::fs::write(directory.join("n2-0000000000000001-000000.swr"), "").expect("the file is written");
    std::fs::write(directory.join("n3-0000000000000001-000000.swr"), b"swlbrec\x09")
        .expect("the file is written");
    std::fs::write(directory.join("notes.txt"), "not ours").expect("the file is written");
    let archive = Archive::open(&[directory.clone(), directory.join("not there")]);
    let runs: Vec<_> = archive.runs.iter().map(|run| (run.softswitch.as_str(), run.started_us)).collect();
    assert_eq!(runs, [("n0", 10), ("n0", 30), ("n1", 20)]);
    assert_eq!(archive.softswitches(), ["n0", "n1"]);
    let file_errors: Vec<String> = archive.file_errors.iter().map(ToString::to_string).collect();
    assert_eq!(file_errors.len(), 3, "{file_errors:?}");
    assert!(file_errors.iter().any(|t| t.contains("n2-") && t.contains("empty file")));
    assert!(file_errors.iter().any(|t| t.contains("n3-") && t.contains("version 9")));
    std::fs::remove_dir_all(&directory).expect("removal succeeds");
}
