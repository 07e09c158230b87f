//! Tests of `swiftlbctl` as a process: arguments, exit codes, reports and an interrupted demo.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use swiftlb_record::{
    AttemptOutcome, AttemptReason, CallUid, ConnectionChange, Event, FileHeader, FileWriter, Front, Record,
    file_name,
};

/// Unix time at which the records start, in microseconds.
const START_US: u64 = 1_800_000_000_000_000;

fn swiftlbctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_swiftlbctl")).args(args).output().expect("swiftlbctl starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A temporary directory that is removed at the end of a test.
struct TempDir(PathBuf);

impl TempDir {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("swiftlb-{test}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("the directory is created");
        Self(path)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).to_string_lossy().into_owned()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Writes records of a softswitch that loses its connection to exchange 2 after 10 s. The exchange refuses connections
/// and returns after four seconds; the calls in that time are refused.
fn write_records(directory: &Path, node: u32) -> PathBuf {
    let header = FileHeader::first_of_run(&format!("n{node}"), node, START_US);
    let mut writer = FileWriter::create(Vec::new(), &header).expect("a write to memory");
    let mut record = |ms: u64, event: Event| {
        writer.push(&Record { at_us: START_US + ms * 1_000, event }).expect("a write to memory");
    };
    record(0, Event::Started { version: "<1>&".to_owned(), home: Some(node), is_replacement: false });
    record(0, Event::Classes(vec!["fault-lookup".to_owned()]));
    let connection = |change| Event::ExchangeConnection { exchange: 2, change };
    record(10, connection(ConnectionChange::Up));
    for n in 0..200_u64 {
        let (call, exchange) = (CallUid(u64::from(node) << 32 | n), 2);
        let refused = (100..140).contains(&n);
        if n == 100 {
            record(100 * n, connection(ConnectionChange::Lost));
            record(100 * n + 1, connection(ConnectionChange::Refused));
        }
        if n == 140 {
            record(100 * n, connection(ConnectionChange::Up));
        }
        let (dest, front) = (2, Front::JsonLines);
        record(
            100 * n + 2,
            Event::SetUp {
                call,
                class: 0,
                dest,
                transit_from: None,
                remaining_ms: 2_000,
                was_cut: false,
                front,
            },
        );
        record(100 * n + 2, Event::Attempt { call, attempt: 1, exchange, awaits_connection: refused });
        if refused {
            let (outcome, reason) = (AttemptOutcome::NoConnection, AttemptReason::Unspecified);
            record(
                100 * n + 3,
                Event::AttemptEnded { call, attempt: 1, exchange, outcome, reason, elapsed_us: 1_000 },
            );
            let reason = swiftlb_record::RefusalReason::AfterAttempt(outcome, reason);
            record(100 * n + 3, Event::Refused { call, reason, retry_after_ms: 300 });
        } else {
            record(100 * n + 50, Event::Answered { call, exchange, elapsed_us: 48_000 });
        }
    }
    record(20_100, Event::Stopped);
    let path = directory.join(file_name(&header));
    std::fs::write(&path, writer.finish().expect("a write to memory")).expect("a file");
    path
}

#[test]
fn every_command_has_help_with_an_example_and_invalid_input_is_an_error_with_exit_code_2() {
    for args in [&["--help"][..], &["demo", "--help"], &["report", "--help"]] {
        let output = swiftlbctl(args);
        assert!(output.status.success(), "{args:?}");
        assert!(args.len() == 1 || text(&output.stdout).contains("example: swiftlbctl "), "{args:?}");
    }
    let directory = TempDir::new("ctl-wrong");
    let out = directory.path("r.html");
    for (args, message) in [
        (vec!["fly"], "swiftlbctl: unknown command: fly"),
        (vec!["demo", "--seconds", "1"], "swiftlbctl: --seconds: expected a number from 5 to 3600"),
        (
            vec!["demo", "--incident", "flood"],
            "swiftlbctl: --incident: no incident is built in under the name 'flood'",
        ),
        (vec!["demo", "--nodes", "2"], "swiftlbctl: --nodes: the incident is at node 2: expected 3 or more"),
        (vec!["report"], "swiftlbctl: no file or directory to read"),
        (vec!["report", "x"], "swiftlbctl: --out: expected the file for the page"),
        (
            vec!["report", "x", "--out", &out, "--from", "noon"],
            "swiftlbctl: --from: 'noon': expected seconds since 1970",
        ),
        (
            vec!["report", "x", "--out", &out, "--from", "5", "--to", "4"],
            "swiftlbctl: --from: expected a time before",
        ),
        (vec!["report", "/nowhere", "--out", &out], "swiftlbctl: /nowhere: "),
    ] {
        let output = swiftlbctl(&args);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {output:?}");
        assert!(text(&output.stderr).starts_with(message), "{args:?}: {}", text(&output.stderr));
    }
    let script = directory.path("script.json");
    std::fs::write(&script, r#"{"incidents":[{"at":1,"kind":"burn"}]}"#).expect("a file");
    let output = swiftlbctl(&["demo", "--incident", &script]);
    let message = format!("swiftlbctl: {script}: incidents.0.kind: expected one of ");
    assert!(output.status.code() == Some(2) && text(&output.stderr).starts_with(&message), "{output:?}");
}

#[test]
fn a_report_is_one_self_contained_page_and_a_timeline() {
    let directory = TempDir::new("ctl-report");
    (0..2).for_each(|node| drop(write_records(&directory.0, node)));
    let (out, events) = (directory.path("r.html"), directory.path("e.jsonl"));
    let dir = directory.path("");
    let output = swiftlbctl(&["report", &dir, "--out", &out, "--events", &events, "--json"]);
    assert!(output.status.success(), "{output:?}");
    let stdout = text(&output.stdout);
    assert!(
        stdout.contains(r#""incidents":[{"kind":"node-died","exchange":2,"#)
            && stdout.contains(r#""lost":80,"given_up":0,"delayed":0"#),
        "{stdout}"
    );
    let page = std::fs::read_to_string(&out).expect("a page");
    for external in ["http://", "https://", "<script", "<link", "@import", "<img"] {
        let without_namespace = page.replace("http://www.w3.org/2000/svg", "");
        assert!(!without_namespace.contains(external), "{external}");
    }
    assert!(
        page.contains("node 2 died") && page.contains("&lt;1&gt;&amp;"),
        "the incident is on the page, and texts from records are escaped"
    );
    assert!(page.contains("refused after an attempt: no connection"));
    let lines: Vec<String> =
        std::fs::read_to_string(&events).expect("a file").lines().map(str::to_owned).collect();
    assert!(lines.iter().all(|line| line.starts_with("{\"at_us\":") && line.ends_with('}')), "{lines:?}");
    let death = lines.iter().position(|line| line.contains("\"kind\":\"node-died\",\"exchange\":2"));
    let cold_return =
        lines.iter().position(|line| line.contains("\"kind\":\"node-returned-cold\",\"exchange\":2"));
    assert!(death.is_some() && death < cold_return, "{lines:?}");
    // The node died and returned before the time given by --from, so the death is not in the report.
    let from = format!("{}", START_US / 1_000_000 + 15);
    let output = swiftlbctl(&["report", &dir, "--out", &out, "--from", &from, "--json"]);
    assert!(text(&output.stdout).contains("\"incidents\":[]"), "{output:?}");
}

#[test]
fn damaged_files_are_named_with_exit_code_2_and_the_others_are_reported() {
    let directory = TempDir::new("ctl-damaged");
    let truncated = write_records(&directory.0, 0);
    let bytes = std::fs::read(&truncated).expect("the file is read");
    std::fs::write(&truncated, &bytes[..bytes.len() - 60]).expect("a file");
    write_records(&directory.0, 1);
    std::fs::write(directory.0.join("n7-0000000000000001-000000.swr"), "").expect("a file");
    std::fs::write(directory.0.join("n8-0000000000000001-000000.swr"), b"swlbrec\x63").expect("a file");
    std::fs::write(directory.0.join("n9-0000000000000001-000000.swr"), b"nonsense of some length")
        .expect("a file");
    let (out, dir) = (directory.path("r.html"), directory.path(""));
    let output = swiftlbctl(&["report", &dir, "--out", &out]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = text(&output.stderr);
    for (file, reason) in [("n7-", "empty file"), ("n8-", "version 99"), ("n9-", "not a record file")] {
        assert!(stderr.lines().any(|line| line.contains(file) && line.contains(reason)), "{file}: {stderr}");
    }
    let page = std::fs::read_to_string(&out).expect("the page is written");
    assert!(page.contains("node 2 died") && page.contains("Not read: ") && page.contains("version 99"));
}

/// The softswitch program that cargo built in the same directory as `swiftlbctl`, if it is there.
fn softswitch_program() -> Option<PathBuf> {
    let program = Path::new(env!("CARGO_BIN_EXE_swiftlbctl")).with_file_name("swiftlb");
    program.is_file().then_some(program)
}

/// Ids of the processes whose parent has this id.
fn children_of(parent_id: &str) -> Vec<String> {
    let entries = std::fs::read_dir("/proc").expect("/proc is readable").flatten();
    let ids = entries.filter_map(|entry| entry.file_name().into_string().ok());
    // In /proc/PID/stat, the state and the id of the parent follow the name in parentheses.
    let parent = |id: &String| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1).map(str::to_owned)
    };
    ids.filter(|child| parent(child).as_deref() == Some(parent_id)).collect()
}

#[test]
fn an_interrupted_demo_leaves_no_process_running() {
    let Some(program) = softswitch_program() else {
        // Testing only this package does not build the softswitch program.
        panic!("no softswitch program in the directory of swiftlbctl: run 'cargo test --workspace'");
    };
    let directory = TempDir::new("ctl-demo");
    let out = directory.path("");
    let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlbctl"));
    command.args(["demo", "--seconds", "600", "--nodes", "3", "--incident", "death", "--out", &out]);
    command.arg("--program").arg(program).stdout(Stdio::null()).stderr(Stdio::null());
    let mut child = command.spawn().expect("swiftlbctl starts");
    let recorded_runs = || {
        let runs = std::fs::read_dir(&directory.0).into_iter().flatten().flatten();
        runs.filter(|run| std::fs::read_dir(run.path().join("records")).is_ok_and(|files| files.count() == 3))
            .count()
    };
    let deadline = Instant::now() + Duration::from_secs(20);
    while recorded_runs() == 0 {
        assert!(Instant::now() < deadline, "nothing is recorded");
        std::thread::sleep(Duration::from_millis(20));
    }
    let process_id = child.id().to_string();
    let children = children_of(&process_id);
    assert_eq!(children.len(), 3);
    assert!(Command::new("kill").args(["-INT", &process_id]).status().expect("kill runs").success());
    assert_eq!(child.wait().expect("swiftlbctl ends").code(), Some(130));
    for child in children {
        assert!(!Path::new("/proc").join(&child).exists(), "{child} still runs");
    }
}
