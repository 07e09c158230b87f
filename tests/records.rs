//! What the softswitch records of itself, and the settings that switch it on.

#[path = "common/engine_harness.rs"]
mod engine_harness;
#[path = "common/rng.rs"]
mod rng;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime};

use engine_harness::{CALLER_CONN, EngineHarness, call_uid, list_entry};
use rng::SplitMix64;
use swiftlb::edge::{EdgeError, EdgeSettings};
use swiftlb::engine::{CallerMessage, Effect, Input};
use swiftlb::interface::{Outcome, Readiness, Reason};
use swiftlb::ops::{self, OperatorRequest};
use swiftlb_record::{
    Archive, AttemptOutcome, AttemptReason, CallUid, ConnectionChange, Damage, Event, FailureReason,
    FileReader, Item, ListedReadiness, Record, RefusalReason, ReleasedBy,
};
use tinyjson::JsonValue;

/// A harness whose engine records.
fn recording(exchanges: usize) -> EngineHarness {
    let mut harness = EngineHarness::new(exchanges);
    let mut effects = Vec::new();
    harness.engine.start_recording(false, &mut effects);
    harness.effects.extend(effects);
    harness
}

fn events(harness: &EngineHarness) -> Vec<Event> {
    let recorded = harness.effects.iter().filter_map(|effect| match effect {
        Effect::Record(record) => Some(record.event.clone()),
        _ => None,
    });
    recorded.collect()
}

fn of_call(harness: &EngineHarness, call: u64) -> Vec<Event> {
    events(harness).into_iter().filter(|event| event.call() == Some(CallUid(call))).collect()
}

#[test]
fn nothing_is_recorded_unless_it_is_switched_on() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 2_000);
    harness.answer(1, 1);
    harness.advance(5_000);
    assert_eq!(events(&harness), []);
}

#[test]
fn a_reader_is_told_first_what_it_has_to_know() {
    let harness = recording(3);
    let first = events(&harness);
    assert!(matches!(&first[0], Event::Started { home: Some(0), is_replacement: false, .. }), "{first:?}");
    assert_eq!(first[1], Event::Classes(vec!["status".to_owned(), "lookup".to_owned()]));
    let listed = |event: &Event| {
        matches!(event, Event::Exchange { readiness: ListedReadiness::Ready, started_us: 0, .. })
    };
    assert_eq!(first.iter().filter(|event| listed(event)).count(), 3);
}

#[test]
fn a_call_s_life_is_told_from_set_up_to_release() {
    let mut harness = recording(3);
    harness.place_call(1, 1, 2_000);
    harness.advance(40);
    harness.end_call(1, 1, Outcome::Congested, Reason::ProcessorFull(300.0));
    harness.advance(10);
    let life = of_call(&harness, 1);
    assert!(
        matches!(life[0], Event::SetUp { dest: 1, class: 0, remaining_ms: 2_000, transit_from: None, .. }),
        "{life:?}"
    );
    assert_eq!(
        life[1],
        Event::Attempt { call: CallUid(1), attempt: 1, exchange: 1, awaits_connection: false }
    );
    let (outcome, reason) = (AttemptOutcome::Congested, AttemptReason::ProcessorFull(300));
    let end = Event::AttemptEnded {
        call: CallUid(1),
        attempt: 1,
        exchange: 1,
        outcome,
        reason,
        elapsed_us: 40_000,
    };
    assert_eq!(life[2], end);
    harness.place_call(2, 2, 2_000);
    harness.advance(50);
    harness.answer(2, 2);
    harness.advance(1_000);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(2), cause: 16 });
    let life = of_call(&harness, 2);
    assert_eq!(life[2], Event::Answered { call: CallUid(2), exchange: 2, elapsed_us: 50_000 });
    let released =
        Event::Released { call: CallUid(2), exchange: Some(2), by: ReleasedBy::Caller, cut: false };
    assert_eq!(life[3..], [released]);
}

#[test]
fn the_end_of_a_call_is_told_with_its_reason() {
    let mut harness = recording(3);
    // No answer comes: the attempt times out, and the call is given up for that.
    harness.place_call(1, 1, 1_000);
    harness.advance(3_000);
    let reason = FailureReason::AfterAttempt(AttemptOutcome::TimedOut, AttemptReason::Unspecified);
    assert_eq!(of_call(&harness, 1).last(), Some(&Event::Failed { call: CallUid(1), reason }));
    // Its caller stops waiting.
    harness.place_call(2, 1, 2_000);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(2), cause: 16 });
    assert_eq!(of_call(&harness, 2).last(), Some(&Event::Abandoned { call: CallUid(2) }));
    // It stood, and its exchange is gone from the list.
    harness.place_call(3, 2, 2_000);
    harness.answer(3, 2);
    harness.handle(Input::List(vec![list_entry(0, Readiness::Ready), list_entry(1, Readiness::Draining)]));
    harness.advance(1_000);
    let cut =
        Event::Released { call: CallUid(3), exchange: Some(2), by: ReleasedBy::ExchangeLost, cut: true };
    assert_eq!(of_call(&harness, 3).last(), Some(&cut));
    let all = events(&harness);
    let listing = |exchange, readiness| {
        let name = format!("s-{exchange}");
        Event::Exchange { exchange, name, zone: 0, readiness, started_us: 0 }
    };
    assert!(
        all.contains(&listing(2, ListedReadiness::Removed))
            && all.contains(&listing(1, ListedReadiness::Draining)),
        "{all:?}"
    );
    // A call to an exchange that nobody lists has no route.
    harness.place_call(4, 2, 2_000);
    harness.advance(100);
    let last = of_call(&harness, 4).last().cloned();
    assert!(
        matches!(last, Some(Event::Refused { reason: RefusalReason::Shed | RefusalReason::NoCircuit, .. })),
        "{last:?}"
    );
}

#[test]
fn groups_ways_drains_and_beliefs_are_told_as_they_change() {
    let mut harness = recording(3);
    let exchange_conn = harness.exchange_conn(1);
    for free in [20.0, 20.0, 19.0] {
        harness.handle(Input::GroupState { exchange_conn, report: vec![free, 30.0] });
    }
    let all = events(&harness);
    let groups: Vec<&Event> = all.iter().filter(|event| matches!(event, Event::Group { .. })).collect();
    let group = |free| Event::Group { exchange: 1, free, total: 30 };
    assert_eq!(groups, [&group(20), &group(19)], "what has not changed is not told again");
    harness.handle(Input::ExchangeDisconnected { exchange_conn });
    harness.advance(400);
    let again = harness.exchange_conn(1);
    assert_ne!(again, exchange_conn);
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: again, refused: true });
    harness.handle(Input::OperatorRequest { request_id: 1, request: OperatorRequest::DrainStart });
    harness.handle(Input::OperatorRequest { request_id: 2, request: OperatorRequest::DrainStart });
    harness.handle(Input::OperatorRequest { request_id: 3, request: OperatorRequest::DrainStop });
    harness.advance(1_000);
    let all = events(&harness);
    let way = |change| Event::ExchangeConnection { exchange: 1, change };
    let told = |event: &Event| all.iter().filter(|known| *known == event).count();
    assert_eq!((told(&way(ConnectionChange::Lost)), told(&way(ConnectionChange::Refused))), (1, 1));
    let drains = all.iter().filter(|event| matches!(event, Event::Drain { .. })).count();
    assert_eq!(drains, 2, "an order repeated is none");
    assert!(
        all.iter().any(|event| matches!(event, Event::ExpectedDelay { exchange: 2, open_attempts: 0, .. })),
        "{all:?}"
    );
    harness.handle(Input::Drain);
    harness.advance(11_000);
    assert_eq!(events(&harness).iter().filter(|event| **event == Event::Stopped).count(), 1);
}

/// What must hold of the records of any history: checked against what callers were told, which is not what the
/// records are made from.
fn check_history(harness: &EngineHarness, calls: u64) {
    let mut lives: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    for event in events(harness) {
        if let Some(call) = event.call() {
            lives.entry(call.0).or_default().push(event);
        }
    }
    for call in 1..=calls {
        let life = lives.remove(&call).unwrap_or_default();
        let told = harness.caller_messages(call);
        assert!(matches!(life[0], Event::SetUp { .. }), "{life:?}");
        let answers = told.iter().filter(|word| matches!(word, CallerMessage::Answered { .. })).count();
        let refusals = told.iter().filter(|word| matches!(word, CallerMessage::Refused { .. })).count();
        let failures = told.iter().filter(|word| matches!(word, CallerMessage::Failed { .. })).count();
        let count = |holds: fn(&Event) -> bool| life.iter().filter(|event| holds(event)).count();
        assert_eq!(count(|e| matches!(e, Event::Answered { .. })), answers, "{life:?} {told:?}");
        assert_eq!(count(|e| matches!(e, Event::Refused { .. })), refusals, "{life:?} {told:?}");
        assert_eq!(count(|e| matches!(e, Event::Failed { .. })), failures, "{life:?} {told:?}");
        let given_up = count(|e| matches!(e, Event::Abandoned { .. }));
        assert_eq!(answers + refusals + failures + given_up, 1, "one outcome each: {life:?}");
        assert_eq!(
            count(|e| matches!(e, Event::Released { .. })),
            answers,
            "what stood is released: {life:?}"
        );
        // One that waits for a way may never be sent.
        let at_once = count(|e| matches!(e, Event::Attempt { awaits_connection: false, .. }));
        let all = count(|e| matches!(e, Event::Attempt { .. }));
        assert!((at_once..=all).contains(&harness.setup_count(call)), "{life:?}");
        // Attempts count up, and each ends before the next begins.
        let mut out = None;
        for event in &life {
            match event {
                Event::Attempt { attempt, .. } => assert!(out.replace(*attempt).is_none(), "{life:?}"),
                Event::AttemptEnded { attempt, .. } => assert_eq!(out.take(), Some(*attempt), "{life:?}"),
                Event::SetUp { .. } | Event::Released { .. } => {}
                _ => out = None,
            }
        }
    }
    assert!(lives.is_empty(), "of calls that nobody made: {lives:?}");
}

#[test]
fn any_history_is_told_whole() {
    for seed in 0..30 {
        let mut draw = SplitMix64(seed);
        let mut harness = recording(4);
        for place in 1..4 {
            let exchange_conn = harness.exchange_conn(place);
            harness.handle(Input::GroupState { exchange_conn, report: vec![30.0, 30.0] });
        }
        let mut made = 1;
        harness.place_call(made, 1, 1_000);
        for _ in 0..400 {
            let (place, call) = (1 + draw.below(3) as usize, 1 + draw.below(made.max(1)));
            match draw.below(10) {
                0..=3 => {
                    made += 1;
                    harness.place_call(made, place as u32, 500 + draw.below(2_400));
                }
                4 | 5 => harness.answer(call, place),
                6 => {
                    let ends = [Outcome::Congested, Outcome::Reset, Outcome::Completed, Outcome::Busy];
                    let end = ends[draw.below(4) as usize];
                    let reason = if end == Outcome::Busy { Reason::UserBusy } else { Reason::Unspecified };
                    harness.end_call(call, place, end, reason);
                }
                7 => harness.handle(Input::HangUp {
                    caller_conn: CALLER_CONN,
                    call: call_uid(call),
                    cause: 16,
                }),
                8 if draw.below(8) == 0 => {
                    let exchange_conn = harness.exchange_conn(place);
                    harness.handle(Input::ExchangeDisconnected { exchange_conn });
                    let exchange_conn = harness.exchange_conn(place);
                    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
                }
                _ => harness.advance(draw.below(300)),
            }
        }
        // Everything ends: what stands is released, what waits runs out.
        harness.advance(4_000);
        for call in 1..=made {
            harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(call), cause: 16 });
        }
        harness.advance(1_000);
        check_history(&harness, made);
    }
}

// ---- the program ----

struct Program {
    child: Child,
    address: String,
    folder: PathBuf,
}

impl Program {
    /// Starts it with records in a folder of its own.
    fn start(test: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("swiftlb-{test}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let (config, edge) = (folder.join("config.json"), folder.join("edge.json"));
        std::fs::write(&config, engine_harness::config_json("127.0.0.1:0", "127.0.0.1:9", &[]))
            .expect("a file");
        let records = folder.join("records");
        let text = format!(r#"{{"records":{{"enabled":true,"directory":"{}"}}}}"#, records.display());
        std::fs::write(&edge, text).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
        command.args(["serve", "--log-format", "json", "--config"]).arg(&config).arg("--edge").arg(&edge);
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
        let address = loop {
            let line = log.next().expect("a line").expect("text");
            if let Some((_, rest)) = line.split_once("\"address\":\"") {
                break rest.split('"').next().expect("an address").to_owned();
            }
        };
        std::thread::spawn(move || log.for_each(drop));
        Self { child, address, folder }
    }

    /// Places calls to an exchange that is not there; each is refused.
    fn call(&self, calls: std::ops::Range<u64>) {
        let mut stream = TcpStream::connect(&self.address).expect("it listens");
        stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        for call in calls {
            let line = format!(
                r#"{{"kind":"launch","uid":"{call:016x}","meta":{{"class":"status","left":"1500","key":"1","extras":"dest:3;width:1;via:-1"}},"body":"v=0"}}"#
            );
            // In one piece: the second of two waits for the other end to acknowledge the first.
            stream.write_all(format!("{line}\n").as_bytes()).expect("it reads");
            let mut answer = String::new();
            reader.read_line(&mut answer).expect("an answer");
            assert!(answer.contains("\"stop\""), "{answer}");
        }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("it runs").success());
    }

    fn records(&self) -> (Vec<Record>, Vec<Damage>) {
        read(&self.folder.join("records"))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn read(folder: &Path) -> (Vec<Record>, Vec<Damage>) {
    let archive = Archive::open(&[folder.to_owned()]);
    assert!(archive.file_errors.is_empty(), "{archive:?}");
    let (mut records, mut damage) = (Vec::new(), Vec::new());
    for file in archive.runs.iter().flat_map(|run| &run.files) {
        let mut reader =
            FileReader::open(std::fs::File::open(file).expect("it is there")).expect("a record file");
        while let Some(item) = reader.next_item().expect("it can be read") {
            match item {
                Item::Block(block) => records.extend(block.records),
                Item::Gap(gap) => damage.push(gap.damage),
            }
        }
    }
    (records, damage)
}

#[test]
fn a_program_that_ends_well_has_recorded_everything() {
    let mut program = Program::start("record-term");
    program.call(1..51);
    program.signal("-TERM");
    assert!(program.child.wait().expect("it ends").success());
    let (records, damage) = program.records();
    assert_eq!(damage, []);
    let refused = records.iter().filter(|r| matches!(r.event, Event::Refused { .. })).count();
    assert_eq!(refused, 50);
    assert!(matches!(records[0].event, Event::Started { .. }));
    assert_eq!(records.last().map(|r| &r.event), Some(&Event::Stopped));
    assert!(records.windows(2).all(|pair| pair[0].at_us <= pair[1].at_us), "in order");
}

#[test]
fn a_program_that_is_killed_has_recorded_all_but_the_last_half_second() {
    let mut program = Program::start("record-kill");
    program.call(1..21);
    // The writer has its turn: the calls are readable while the program runs.
    let until = Instant::now() + Duration::from_secs(8);
    let refused =
        |records: &[Record]| records.iter().filter(|r| matches!(r.event, Event::Refused { .. })).count();
    while refused(&program.records().0) < 20 {
        assert!(Instant::now() < until, "nothing is written");
        std::thread::sleep(Duration::from_millis(10));
    }
    program.call(21..31);
    program.signal("-KILL");
    program.child.wait().expect("it ends");
    let (records, _) = program.records();
    assert!((20..=30).contains(&refused(&records)));
    assert!(!records.iter().any(|r| r.event == Event::Stopped));
}

#[test]
fn records_that_cannot_be_kept_are_said_at_the_start() {
    let program = Program::start("record-none");
    let (config, edge) = (program.folder.join("config.json"), program.folder.join("wrong.json"));
    std::fs::write(&edge, r#"{"records":{"enabled":true,"directory":"/proc/nowhere"}}"#).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
    let output = command.arg("serve").arg("--config").arg(&config).arg("--edge").arg(&edge).output();
    let output = output.expect("it runs");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.lines().any(|line| line.starts_with("swiftlb: records in /proc/nowhere: ")), "{said}");
}

#[test]
fn what_is_wrong_with_the_settings_is_said_with_its_line() {
    let wrong = |text: &str| EdgeSettings::parse("edge.json", text).expect_err(text).to_string();
    let all = "one of enabled, directory, file_mb, file_minutes, budget_mb, queue";
    for (text, said) in [
        ("[]", "edge.json:1: the file: expected an object".to_owned()),
        (
            "{\n \"record\": {}\n}",
            "edge.json:2: record: expected one of records, fleet, rehearsal".to_owned(),
        ),
        ("{\"records\":\n1}", "edge.json:1: records: expected an object".to_owned()),
        ("{\n\"records\": {\n}\n}", "edge.json:2: records.enabled: expected true or false".to_owned()),
        (
            "{\"records\": {\n\"enabled\": true,\n\"file-mb\": 1}}",
            format!("edge.json:3: records.file-mb: expected {all}"),
        ),
        (
            "{\"records\": {\n\"enabled\": true,\n\"file_mb\": 0.5}}",
            "edge.json:3: records.file_mb: expected a whole number from 1 to 1024".to_owned(),
        ),
        (
            "{\"records\": {\n\"enabled\": true, \"file_mb\": 600,\n\n\"budget_mb\": 1000}}",
            "edge.json:4: records.budget_mb: expected a whole number from 1200 to 1048576".to_owned(),
        ),
        (
            "{\"records\": {\n\"enabled\": true,\n\"directory\": \"\"}}",
            "edge.json:3: records.directory: expected a text that is not empty".to_owned(),
        ),
        (
            "{\"records\": {\"enabled\": true,\n\"queue\": 100,\n\"queue\": 200}}",
            "edge.json:3: records.queue: expected each key once".to_owned(),
        ),
    ] {
        assert_eq!(wrong(text), said, "{text}");
    }
    assert!(matches!(EdgeSettings::parse("f", "{"), Err(EdgeError::NotJson { .. })));
    assert_eq!(EdgeSettings::parse("f", "{}"), Ok(EdgeSettings::default()));
    let text = r#"{"records":{"enabled":false,"directory":"a \" : \\"}}"#;
    assert_eq!(EdgeSettings::parse("f", text), Ok(EdgeSettings::default()));
    assert_eq!(EdgeSettings::load("no such file", false), Ok(EdgeSettings::default()));
    assert!(EdgeSettings::load("no such file", true).is_err());
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/edge.json");
    assert_eq!(EdgeSettings::load(shipped, true), Ok(EdgeSettings::default()), "the platform has none of it");
}

#[test]
fn the_fleet_is_told_as_it_is_seen_from_here_and_only_where_that_is_on() {
    assert_eq!(
        ops::parse_request(b"GET /edge/fleet HTTP/1.1\r\n\r\n", true),
        Ok(Some(OperatorRequest::Fleet))
    );
    assert_eq!(
        ops::parse_request(b"GET /edge/fleet HTTP/1.1\r\n\r\n", false),
        Err(ops::RequestError::UnknownPath)
    );
    let mut harness = EngineHarness::new(3);
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::GroupState { exchange_conn, report: vec![20.0, 30.0] });
    harness.place_call(1, 1, 2_000);
    harness.place_call(2, 1, 2_000);
    harness.answer(1, 1);
    harness.advance(400);
    harness.handle(Input::List(vec![list_entry(0, Readiness::Ready), list_entry(1, Readiness::Draining)]));
    harness.effects.clear();
    harness.handle(Input::OperatorRequest { request_id: 1, request: OperatorRequest::Fleet });
    let Some(Effect::ToOperator { reply: ops::OperatorReply::Fleet(text), .. }) = harness.effects.first()
    else {
        panic!("{:?}", harness.effects)
    };
    let json: JsonValue = text.parse().expect("JSON");
    let number = |value: &JsonValue| value.get::<f64>().copied();
    assert_eq!(json["softswitch"].get::<String>().map(String::as_str), Some("n0"));
    assert_eq!((number(&json["waiting"]), number(&json["standing"])), (Some(1.0), Some(1.0)));
    let exchanges: &Vec<JsonValue> = json["exchanges"].get().expect("a list");
    assert_eq!(exchanges.len(), 2, "one that is gone is not shown");
    let one = &exchanges[1];
    let text = |key: &str| one[key].get::<String>().cloned().expect("a text");
    assert_eq!((text("name"), text("listing"), text("way")), ("s-1".into(), "draining".into(), "up".into()));
    assert_eq!((number(&one["free"]), number(&one["total"])), (Some(20.0), Some(30.0)));
    assert_eq!((number(&one["out"]), number(&one["standing"])), (Some(1.0), Some(1.0)));
    assert_eq!(one["avoided"].get::<bool>(), Some(&true), "it drains");
    assert_eq!(number(&exchanges[0]["free"]), None, "nobody has told");
}

#[test]
fn a_rehearsal_s_clock_is_ahead_and_drifts() {
    let edge = EdgeSettings::parse("f", r#"{"rehearsal":{"clock_ahead_ms":-80,"clock_drift_ppm":50}}"#)
        .expect("settings");
    let clock = edge.clock_skew.start_clock(SystemTime::UNIX_EPOCH + Duration::from_secs(100));
    assert_eq!(clock.skewed_us(100_000_000), 100_000_000 - 80_000);
    assert_eq!(clock.skewed_us(200_000_000), 200_000_000 - 80_000 + 5_000);
    let right = EdgeSettings::default().clock_skew.start_clock(SystemTime::UNIX_EPOCH);
    assert_eq!(right.skewed_us(77), 77);
}

#[test]
fn a_full_disk_ends_recording_with_one_line_in_the_log_and_calls_go_on() {
    let folder = std::env::temp_dir().join(format!("swiftlb-record-full-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let (config, edge) = (folder.join("config.json"), folder.join("edge.json"));
    std::fs::write(&config, engine_harness::config_json("127.0.0.1:0", "127.0.0.1:9", &[])).expect("a file");
    let text =
        format!(r#"{{"records":{{"enabled":true,"directory":"{}"}}}}"#, folder.join("records").display());
    std::fs::write(&edge, text).expect("a file");
    // No file may grow past 4 KB: a write beyond that fails, as one on a full disk does.
    let order = "trap '' XFSZ; ulimit -f 8; exec \"$0\" serve --config \"$1\" --edge \"$2\"";
    let mut command = Command::new("sh");
    command.args(["-c", order, env!("CARGO_BIN_EXE_swiftlb")]).arg(&config).arg(&edge);
    let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
    let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
    let first = log.next().expect("a line").expect("text");
    let address = first.split_once("address=").expect("its address").1.to_owned();
    let program = Program { child, address, folder };
    let (tell, lines) = std::sync::mpsc::channel();
    std::thread::spawn(move || log.map_while(Result::ok).try_for_each(|line| tell.send(line)));
    let mut calls = 1;
    let mut stopped = Vec::new();
    let until = Instant::now() + Duration::from_secs(20);
    while stopped.is_empty() {
        assert!(Instant::now() < until, "it records on");
        program.call(calls..calls + 200);
        calls += 200;
        stopped.extend(lines.try_iter().filter(|line| line.contains("recording has stopped")));
    }
    assert!(stopped[0].contains("ERROR") && stopped[0].contains("records in "), "{stopped:?}");
    program.call(calls..calls + 500);
    program.signal("-TERM");
    let last: Vec<String> = lines.iter().filter(|line| line.contains("recording has stopped")).collect();
    assert_eq!(last, Vec::<String>::new(), "one line, not one for each record");
}
