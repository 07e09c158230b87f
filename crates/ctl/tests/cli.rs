//! The operators' command as it is started.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use swiftlb_record::{
    AttemptOutcome, AttemptReason, CallUid, ConnectionChange, Event, FileHeader, FileWriter, Front, Record,
    file_name,
};

const START: u64 = 1_800_000_000_000_000;

fn ctl(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_swiftlbctl")).args(words).output().expect("it starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("swiftlb-{test}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).to_string_lossy().into_owned()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Records of a softswitch that was refused by exchange 2 for four seconds.
fn records(folder: &Path, node: u32) -> PathBuf {
    let head = FileHeader::first_of_run(&format!("n{node}"), node, START);
    let mut writer = FileWriter::create(Vec::new(), &head).expect("memory");
    let mut at = |ms: u64, event: Event| {
        writer.push(&Record { at_us: START + ms * 1_000, event }).expect("memory");
    };
    at(0, Event::Started { version: "<1>&".to_owned(), home: Some(node), is_replacement: false });
    at(0, Event::Classes(vec!["fault-lookup".to_owned()]));
    let way = |change| Event::ExchangeConnection { exchange: 2, change };
    at(10, way(ConnectionChange::Up));
    for n in 0..200_u64 {
        let (call, exchange) = (CallUid(u64::from(node) << 32 | n), 2);
        let gone = (100..140).contains(&n);
        if n == 100 {
            at(100 * n, way(ConnectionChange::Lost));
            at(100 * n + 1, way(ConnectionChange::Refused));
        }
        if n == 140 {
            at(100 * n, way(ConnectionChange::Up));
        }
        let (dest, front) = (2, Front::JsonLines);
        at(
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
        at(100 * n + 2, Event::Attempt { call, attempt: 1, exchange, awaits_connection: gone });
        if gone {
            let (outcome, reason) = (AttemptOutcome::NoConnection, AttemptReason::Unspecified);
            at(
                100 * n + 3,
                Event::AttemptEnded { call, attempt: 1, exchange, outcome, reason, elapsed_us: 1_000 },
            );
            let reason = swiftlb_record::RefusalReason::AfterAttempt(outcome, reason);
            at(100 * n + 3, Event::Refused { call, reason, retry_after_ms: 300 });
        } else {
            at(100 * n + 50, Event::Answered { call, exchange, elapsed_us: 48_000 });
        }
    }
    at(20_100, Event::Stopped);
    let path = folder.join(file_name(&head));
    std::fs::write(&path, writer.finish().expect("memory")).expect("a file");
    path
}

#[test]
fn each_verb_has_help_with_an_example_and_what_is_wrong_is_one_line_and_code_2() {
    for words in [&["--help"][..], &["demo", "--help"], &["report", "--help"]] {
        let output = ctl(words);
        assert!(output.status.success(), "{words:?}");
        assert!(words.len() == 1 || text(&output.stdout).contains("example: swiftlbctl "), "{words:?}");
    }
    let folder = Folder::new("ctl-wrong");
    let out = folder.path("r.html");
    for (words, said) in [
        (vec!["fly"], "swiftlbctl: no such verb: fly"),
        (vec!["demo", "--seconds", "1"], "swiftlbctl: --seconds: expected a number from 5 to 3600"),
        (
            vec!["demo", "--incident", "flood"],
            "swiftlbctl: --incident: no incident is built in under the name 'flood'",
        ),
        (vec!["demo", "--nodes", "2"], "swiftlbctl: --nodes: the incident is at node 2: expected 3 or more"),
        (vec!["report"], "swiftlbctl: no file or folder to read"),
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
        let output = ctl(&words);
        assert_eq!(output.status.code(), Some(2), "{words:?}: {output:?}");
        assert!(text(&output.stderr).starts_with(said), "{words:?}: {}", text(&output.stderr));
    }
    let script = folder.path("script.json");
    std::fs::write(&script, r#"{"incidents":[{"at":1,"kind":"burn"}]}"#).expect("a file");
    let output = ctl(&["demo", "--incident", &script]);
    let said = format!("swiftlbctl: {script}: incidents.0.kind: expected one of ");
    assert!(output.status.code() == Some(2) && text(&output.stderr).starts_with(&said), "{output:?}");
}

#[test]
fn a_report_is_one_self_contained_page_and_a_timeline() {
    let folder = Folder::new("ctl-report");
    (0..2).for_each(|node| drop(records(&folder.0, node)));
    let (out, events) = (folder.path("r.html"), folder.path("e.jsonl"));
    let dir = folder.path("");
    let output = ctl(&["report", &dir, "--out", &out, "--events", &events, "--json"]);
    assert!(output.status.success(), "{output:?}");
    let said = text(&output.stdout);
    assert!(
        said.contains(r#""incidents":[{"kind":"node-died","exchange":2,"#)
            && said.contains(r#""lost":80,"given_up":0,"delayed":0"#),
        "{said}"
    );
    let page = std::fs::read_to_string(&out).expect("a page");
    for outside in ["http://", "https://", "<script", "<link", "@import", "<img"] {
        let own = page.replace("http://www.w3.org/2000/svg", "");
        assert!(!own.contains(outside), "{outside}");
    }
    assert!(
        page.contains("node 2 died") && page.contains("&lt;1&gt;&amp;"),
        "told, and nothing told is markup"
    );
    assert!(page.contains("refused after an attempt: no connection"));
    let lines: Vec<String> =
        std::fs::read_to_string(&events).expect("a file").lines().map(str::to_owned).collect();
    assert!(lines.iter().all(|line| line.starts_with("{\"at_us\":") && line.ends_with('}')), "{lines:?}");
    let died = lines.iter().position(|line| line.contains("\"kind\":\"node-died\",\"exchange\":2"));
    let back = lines.iter().position(|line| line.contains("\"kind\":\"node-returned-cold\",\"exchange\":2"));
    assert!(died.is_some() && died < back, "{lines:?}");
    // Only what lies in the window is told: the death began before it.
    let from = format!("{}", START / 1_000_000 + 15);
    let output = ctl(&["report", &dir, "--out", &out, "--from", &from, "--json"]);
    assert!(text(&output.stdout).contains("\"incidents\":[]"), "{output:?}");
}

#[test]
fn damaged_files_are_named_with_code_2_and_the_others_are_told() {
    let folder = Folder::new("ctl-damaged");
    let cut = records(&folder.0, 0);
    let bytes = std::fs::read(&cut).expect("it is there");
    std::fs::write(&cut, &bytes[..bytes.len() - 60]).expect("a file");
    records(&folder.0, 1);
    std::fs::write(folder.0.join("n7-0000000000000001-000000.swr"), "").expect("a file");
    std::fs::write(folder.0.join("n8-0000000000000001-000000.swr"), b"swlbrec\x63").expect("a file");
    std::fs::write(folder.0.join("n9-0000000000000001-000000.swr"), b"nonsense of some length")
        .expect("a file");
    let (out, dir) = (folder.path("r.html"), folder.path(""));
    let output = ctl(&["report", &dir, "--out", &out]);
    assert_eq!(output.status.code(), Some(2));
    let said = text(&output.stderr);
    for (file, what) in [("n7-", "empty file"), ("n8-", "version 99"), ("n9-", "not a record file")] {
        assert!(said.lines().any(|line| line.contains(file) && line.contains(what)), "{file}: {said}");
    }
    let page = std::fs::read_to_string(&out).expect("a page all the same");
    assert!(page.contains("node 2 died") && page.contains("Not read: ") && page.contains("version 99"));
}

/// The softswitch that cargo built beside this command, if it has.
fn softswitch() -> Option<PathBuf> {
    let beside = Path::new(env!("CARGO_BIN_EXE_swiftlbctl")).with_file_name("swiftlb");
    beside.is_file().then_some(beside)
}

/// Processes whose parent this is.
fn children_of(id: &str) -> Vec<String> {
    let all = std::fs::read_dir("/proc").expect("processes").flatten();
    let ids = all.filter_map(|entry| entry.file_name().into_string().ok());
    // Behind the name in brackets: state, parent.
    let parent = |id: &String| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1).map(str::to_owned)
    };
    ids.filter(|child| parent(child).as_deref() == Some(id)).collect()
}

#[test]
fn a_demo_that_is_interrupted_leaves_nothing_running() {
    let Some(program) = softswitch() else {
        // Built with the workspace, as the README's test command does; alone there is nothing to play with.
        panic!("no softswitch beside the command: run 'cargo test --workspace'");
    };
    let folder = Folder::new("ctl-demo");
    let out = folder.path("");
    let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlbctl"));
    command.args(["demo", "--seconds", "600", "--nodes", "3", "--incident", "death", "--out", &out]);
    command.arg("--program").arg(program).stdout(Stdio::null()).stderr(Stdio::null());
    let mut child = command.spawn().expect("it starts");
    let records = || {
        let plays = std::fs::read_dir(&folder.0).into_iter().flatten().flatten();
        plays
            .filter(|play| {
                std::fs::read_dir(play.path().join("records")).is_ok_and(|files| files.count() == 3)
            })
            .count()
    };
    let until = Instant::now() + Duration::from_secs(20);
    while records() == 0 {
        assert!(Instant::now() < until, "nothing is recorded");
        std::thread::sleep(Duration::from_millis(20));
    }
    let id = child.id().to_string();
    let children = children_of(&id);
    assert_eq!(children.len(), 3);
    assert!(Command::new("kill").args(["-INT", &id]).status().expect("it runs").success());
    assert_eq!(child.wait().expect("it ends").code(), Some(130));
    for child in children {
        assert!(!Path::new("/proc").join(&child).exists(), "{child} still runs");
    }
}
