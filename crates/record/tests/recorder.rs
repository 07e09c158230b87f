//! The recorder: never in the way, and honest about what it lost.

mod common;

use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::records;
use crossbeam_channel::{Receiver, bounded, unbounded};
use swiftlb_record::{
    Archive, BlockKind, Event, FileHeader, FileReader, Item, Record, Recorder, RecorderError,
    RecorderSettings, Storage, file_name, files_to_remove, parse_file_name,
};

const PATIENCE: Duration = Duration::from_secs(10);

fn settings(directory: PathBuf) -> RecorderSettings {
    RecorderSettings { directory, ..RecorderSettings::default() }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("swiftlb-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

/// Everything in the runs of an archive: context apart from records.
fn read(archive: &Archive) -> (Vec<Record>, Vec<Vec<Record>>) {
    let (mut all, mut contexts) = (Vec::new(), Vec::new());
    for path in archive.runs.iter().flat_map(|run| &run.files) {
        let mut reader =
            FileReader::open(std::fs::File::open(path).expect("it is there")).expect("a record file");
        while let Some(item) = reader.next_item().expect("read") {
            match item {
                Item::Block(block) if block.header.kind == BlockKind::Context => contexts.push(block.records),
                Item::Block(block) => all.extend(block.records),
                Item::Gap(gap) => panic!("{gap:?}"),
            }
        }
    }
    (all, contexts)
}

/// A disk that holds writers up until it is let go, or is full from some byte on.
#[derive(Clone)]
struct Disk {
    files: Arc<Mutex<Vec<Vec<u8>>>>,
    gate: Option<Receiver<()>>,
    full_at: usize,
}

struct DiskFile(Disk, usize);

impl Write for DiskFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut files = self.0.files.lock().expect("no panic");
        let begun = files[self.1].len() > 100;
        if let Some(gate) = self.0.gate.as_ref().filter(|_| begun) {
            drop(files);
            let _ = gate.recv();
            files = self.0.files.lock().expect("no panic");
        }
        if files.iter().map(Vec::len).sum::<usize>() + bytes.len() > self.0.full_at {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no space left on device"));
        }
        files[self.1].extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Storage for Disk {
    type File = DiskFile;

    fn create(&mut self, _: &str) -> io::Result<DiskFile> {
        let mut files = self.files.lock().expect("no panic");
        files.push(Vec::new());
        Ok(DiskFile(self.clone(), files.len() - 1))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        Ok(Vec::new())
    }

    fn remove(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn what_is_recorded_is_in_the_files_in_order_with_the_context_in_each() {
    let folder = folder("rotate");
    let written = records(60_000, 11);
    let settings = RecorderSettings {
        max_file_bytes: 100 << 10,
        max_queued_records: written.len(),
        ..settings(folder.clone())
    };
    let head = FileHeader::first_of_run("n 0/x", 4, 1_700_000_000_000_000);
    let mut recorder = Recorder::start(settings, head, |error| panic!("{error}")).expect("it starts");
    written.iter().for_each(|record| recorder.record(record.clone()));
    assert!(recorder.stop(PATIENCE));
    let archive = Archive::open(std::slice::from_ref(&folder));
    assert!(archive.file_errors.is_empty() && archive.runs.len() == 1, "{archive:?}");
    assert_eq!((archive.runs[0].softswitch.as_str(), archive.runs[0].home), ("n 0/x", Some(4)));
    let files = archive.runs[0].files.len();
    assert!(files > 5, "{files} files");
    let (all, contexts) = read(&archive);
    assert_eq!(all, written);
    assert_eq!(contexts.len(), files - 1);
    let classes = |context: &Vec<Record>| context.iter().any(|r| matches!(r.event, Event::Classes(_)));
    assert!(contexts.iter().all(classes));
    std::fs::remove_dir_all(&folder).expect("it was there");
}

#[test]
fn a_slow_disk_costs_records_and_says_how_many() {
    let (open, gate) = unbounded();
    let files = Arc::default();
    let disk = Disk { files: Arc::clone(&files), gate: Some(gate), full_at: usize::MAX };
    let settings = RecorderSettings { max_queued_records: 100, ..settings(PathBuf::from("nowhere")) };
    let mut recorder =
        Recorder::start_with_storage(disk, settings, FileHeader::first_of_run("n0", 0, 1), |error| {
            panic!("{error}")
        })
        .expect("it starts");
    let written = records(50_000, 12);
    // Nothing is written while the gate is shut: this comes back at once or never.
    written.iter().for_each(|record| recorder.record(record.clone()));
    drop(open);
    assert!(recorder.stop(PATIENCE));
    let bytes = files.lock().expect("no panic").concat();
    let mut reader = FileReader::open(io::Cursor::new(bytes)).expect("a record file");
    let (mut kept, mut lost) = (0, 0);
    while let Some(item) = reader.next_item().expect("read") {
        let Item::Block(block) = item else { panic!("{item:?}") };
        for record in block.records {
            // Those of the test are drawn with figures that no count reaches.
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
fn a_full_disk_ends_recording_with_one_word_and_nothing_else() {
    let file_errors = Arc::new(AtomicUsize::new(0));
    let (told, hears) = bounded(8);
    let disk = Disk { files: Arc::default(), gate: None, full_at: 40_000 };
    let count = file_errors.clone();
    let trouble = move |error: &RecorderError| {
        count.fetch_add(1, Ordering::SeqCst);
        told.send(error.to_string()).expect("it is heard");
    };
    let settings = settings(PathBuf::from("disk"));
    let mut recorder =
        Recorder::start_with_storage(disk, settings, FileHeader::first_of_run("n0", 0, 1), trouble)
            .expect("it starts");
    records(20_000, 13).into_iter().for_each(|record| recorder.record(record));
    assert_eq!(hears.recv_timeout(PATIENCE).expect("a word"), "records in disk: no space left on device");
    assert!(!recorder.is_recording());
    records(20_000, 14).into_iter().for_each(|record| recorder.record(record));
    assert!(!recorder.stop(PATIENCE));
    assert_eq!(file_errors.load(Ordering::SeqCst), 1);
}

#[test]
fn a_folder_that_cannot_be_used_shows_at_the_start() {
    let file = folder("file");
    std::fs::write(&file, "here").expect("a file");
    let started = Recorder::start(settings(file.join("in it")), FileHeader::first_of_run("n0", 0, 1), |_| {});
    let error = started.expect_err("a file is no folder").to_string();
    assert!(error.starts_with("records in "), "{error}");
    std::fs::remove_file(&file).expect("it was there");
}

#[test]
fn the_budget_takes_the_oldest_files_and_never_the_last_of_a_softswitch() {
    let head = |softswitch: &str, run_us, file| FileHeader {
        softswitch: softswitch.to_owned(),
        home: None,
        run_started_us: run_us,
        file_number: file,
    };
    let file = |softswitch, run_us, n, size| (file_name(&head(softswitch, run_us, n)), size);
    let files = [
        file("n1", 5, 0, 10),
        file("n0", 9, 1, 10),
        file("n0", 9, 0, 10),
        file("old-2", 1, 3, 10),
        ("notes.txt".to_owned(), 1_000),
        file("n0", 2, 7, 10),
    ];
    let gone = |budget| files_to_remove(&files, budget);
    assert!(gone(50).is_empty());
    assert_eq!(gone(40), [file("n0", 2, 7, 0).0]);
    assert_eq!(gone(39), [file("n0", 2, 7, 0).0, file("n0", 9, 0, 0).0]);
    assert_eq!(gone(0).len(), 2, "the last of n0, n1 and old-2 stay");
    for (name, _) in files.iter().filter(|(name, _)| name.ends_with(".swr")) {
        assert_eq!(file_name(&parse_file_name(name).expect("ours")), *name);
    }
    for other in ["", ".swr", "x.swr", "n0-1-.swr", "n0--1.swr", "-1-2.swr", "n0-1-2.txt", "n0-+1-2.swr"] {
        assert_eq!(parse_file_name(other), None, "{other}");
    }
}

#[test]
fn what_cannot_be_read_is_named_and_the_rest_is_there() {
    let folder = folder("archive");
    for (name, run_us) in [("n0", 10), ("n1", 20), ("n0", 30)] {
        let recorder =
            Recorder::start(settings(folder.clone()), FileHeader::first_of_run(name, 0, run_us), |error| {
                panic!("{error}")
            });
        assert!(recorder.expect("it starts").stop(PATIENCE));
    }
    std::fs::write(folder.join("n2-0000000000000001-000000.swr"), "").expect("a file");
    std::fs::write(folder.join("n3-0000000000000001-000000.swr"), b"swlbrec\x09").expect("a file");
    std::fs::write(folder.join("notes.txt"), "not ours").expect("a file");
    let archive = Archive::open(&[folder.clone(), folder.join("not there")]);
    let runs: Vec<_> = archive.runs.iter().map(|run| (run.softswitch.as_str(), run.started_us)).collect();
    assert_eq!(runs, [("n0", 10), ("n0", 30), ("n1", 20)]);
    assert_eq!(archive.softswitches(), ["n0", "n1"]);
    let file_errors: Vec<String> = archive.file_errors.iter().map(ToString::to_string).collect();
    assert_eq!(file_errors.len(), 3, "{file_errors:?}");
    assert!(file_errors.iter().any(|t| t.contains("n2-") && t.contains("empty file")));
    assert!(file_errors.iter().any(|t| t.contains("n3-") && t.contains("version 9")));
    std::fs::remove_dir_all(&folder).expect("it was there");
}
