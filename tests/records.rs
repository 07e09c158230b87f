//! Tests of the records that a softswitch writes, and of the edge settings that enable them.

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

/// A harness with recording on.
fn recording_harness(exchanges: usize) -> EngineHarness {
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

fn events_of_call(harness: &EngineHarness, call: u64) -> Vec<Event> {
    events(harness).into_iter().filter(|event| event.call() == Some(CallUid(call))).collect()
}

#[test]
fn nothing_is_recorded_while_recording_is_off() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 2_000);
    harness.answer(1, 1);
    harness.advance(5_000);
    assert_eq!(events(&harness), []);
}

#[test]
fn a_recording_begins_with_the_start_event_the_classes_and_the_exchanges() {
    let harness = recording_harness(3);
    let first = events(&harness);
    assert!(matches!(&first[0], Event::Started { home: Some(0), is_replacement: false, .. }), "{first:?}");
    assert_eq!(first[1], Event::Classes(vec!["status".to_owned(), "lookup".to_owned()]));
    let listed = |event: &Event| {
        matches!(event, Event::Exchange { readiness: ListedReadiness::Ready, started_us: 0, .. })
    };
    assert_eq!(first.iter().filter(|event| listed(event)).count(), 3);
}

#[test]
fn every_event_of_a_call_is_recorded_from_set_up_to_release() {
    let mut harness = recording_harness(3);
    harness.place_call(1, 1, 2_000);
    harness.advance(40);
    harness.end_call(1, 1, Outcome::Congested, Reason::ProcessorFull(300.0));
    harness.advance(10);
    let recorded = events_of_call(&harness, 1);
    assert!(
        matches!(
            recorded[0],
            Event::SetUp { dest: 1, class: 0, remaining_ms: 2_000, transit_from: None, .. }
        ),
        "{recorded:?}"
    );
    assert_eq!(
        recorded[1],
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
    assert_eq!(recorded[2], end);
    harness.place_call(2, 2, 2_000);
    harness.advance(50);
    harness.answer(2, 2);
    harness.advance(1_000);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(2), cause: 16 });
    let recorded = events_of_call(&harness, 2);
    assert_eq!(recorded[2], Event::Answered { call: CallUid(2), exchange: 2, elapsed_us: 50_000 });
    let released =
        Event::Released { call: CallUid(2), exchange: Some(2), by: ReleasedBy::Caller, cut: false };
    assert_eq!(recorded[3..], [released]);
}

#[test]
fn the_end_of_a_call_is_recorded_with_its_reason() {
    let mut harness = recording_harness(3);
    // There is no answer: the attempt times out, and the call fails.
    harness.place_call(1, 1, 1_000);
    harness.advance(3_000);
    let reason = FailureReason::AfterAttempt(AttemptOutcome::TimedOut, AttemptReason::Unspecified);
    assert_eq!(events_of_call(&harness, 1).last(), Some(&Event::Failed { call: CallUid(1), reason }));
    // The caller abandons the call.
    harness.place_call(2, 1, 2_000);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(2), cause: 16 });
    assert_eq!(events_of_call(&harness, 2).last(), Some(&Event::Abandoned { call: CallUid(2) }));
    // The call is established, and its exchange is removed from the list.
    harness.place_call(3, 2, 2_000);
    harness.answer(3, 2);
    harness.handle(Input::List(vec![list_entry(0, Readiness::Ready), list_entry(1, Readiness::Draining)]));
    harness.advance(1_000);
    let cut =
        Event::Released { call: CallUid(3), exchange: Some(2), by: ReleasedBy::ExchangeLost, cut: true };
    assert_eq!(events_of_call(&harness, 3).last(), Some(&cut));
    let all = events(&harness);
    let entry = |exchange, readiness| {
        let name = format!("s-{exchange}");
        Event::Exchange { exchange, name, zone: 0, readiness, started_us: 0 }
    };
    assert!(
        all.contains(&entry(2, ListedReadiness::Removed))
            && all.contains(&entry(1, ListedReadiness::Draining)),
        "{all:?}"
    );
    // There is no route to an exchange that is not in the list.
    harness.place_call(4, 2, 2_000);
    harness.advance(100);
    let last = events_of_call(&harness, 4).last().cloned();
    assert!(
        matches!(last, Some(Event::Refused { reason: RefusalReason::Shed | RefusalReason::NoCircuit, .. })),
        "{last:?}"
    );
}

/// Guards against a record that names an unreadable connection for every connection that is closed with its set-ups.
#[test]
fn set_ups_that_fail_with_their_connection_are_recorded_with_the_reason_of_its_end() {
    let failure_of_call_1 = |steps: &[&dyn Fn(&mut EngineHarness)]| {
        let mut harness = recording_harness(3);
        steps.iter().for_each(|step| step(&mut harness));
        match events_of_call(&harness, 1).last() {
            Some(Event::Failed { reason, .. }) => *reason,
            last => panic!("{last:?}"),
        }
    };
    let place = |h: &mut EngineHarness| h.place_call(1, 1, 3_000);
    let corrupt = |h: &mut EngineHarness| h.handle(Input::CallerStreamCorrupt { caller_conn: CALLER_CONN });
    assert_eq!(failure_of_call_1(&[&place, &corrupt]), FailureReason::CallerStreamCorrupt);
    assert_eq!(failure_of_call_1(&[&place, &place]), FailureReason::DuplicateCallId);
    let malformed = |h: &mut EngineHarness| {
        h.handle(Input::MalformedSetUp { caller_conn: CALLER_CONN, call: call_uid(9) })
    };
    let steps: [&dyn Fn(&mut EngineHarness); 5] = [&place, &malformed, &malformed, &malformed, &malformed];
    assert_eq!(failure_of_call_1(&steps), FailureReason::TooManyMalformed);
    let begin_drain = |h: &mut EngineHarness| {
        h.handle(Input::OperatorRequest { request_id: 1, request: OperatorRequest::BeginDrain });
        h.advance(2_000);
    };
    let wait = |h: &mut EngineHarness| h.advance(1_800);
    assert_eq!(failure_of_call_1(&[&begin_drain, &place, &wait]), FailureReason::Draining);
}

#[test]
fn groups_connections_drains_and_expected_delays_are_recorded_as_they_change() {
    let mut harness = recording_harness(3);
    let exchange_conn = harness.exchange_conn(1);
    for free in [20.0, 20.0, 19.0] {
        harness.handle(Input::GroupState { exchange_conn, report: vec![free, 30.0] });
    }
    let all = events(&harness);
    let groups: Vec<&Event> = all.iter().filter(|event| matches!(event, Event::Group { .. })).collect();
    let group = |free| Event::Group { exchange: 1, free, total: 30 };
    assert_eq!(groups, [&group(20), &group(19)], "an unchanged group is not recorded again");
    harness.handle(Input::ExchangeDisconnected { exchange_conn });
    harness.advance(400);
    let second = harness.exchange_conn(1);
    assert_ne!(second, exchange_conn);
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: second, refused: true });
    harness.handle(Input::OperatorRequest { request_id: 1, request: OperatorRequest::BeginDrain });
    harness.handle(Input::OperatorRequest { request_id: 2, request: OperatorRequest::BeginDrain });
    harness.handle(Input::OperatorRequest { request_id: 3, request: OperatorRequest::EndDrain });
    harness.advance(1_000);
    let all = events(&harness);
    let connection = |change| Event::ExchangeConnection { exchange: 1, change };
    let count = |event: &Event| all.iter().filter(|recorded| *recorded == event).count();
    assert_eq!(
        (count(&connection(ConnectionChange::Lost)), count(&connection(ConnectionChange::Refused))),
        (1, 1)
    );
    let drains = all.iter().filter(|event| matches!(event, Event::Drain { .. })).count();
    assert_eq!(drains, 2, "a repeated request is not recorded");
    assert!(
        all.iter().any(|event| matches!(event, Event::ExpectedDelay { exchange: 2, open_attempts: 0, .. })),
        "{all:?}"
    );
    harness.handle(Input::Stop);
    harness.advance(11_000);
    assert_eq!(events(&harness).iter().filter(|event| **event == Event::Stopped).count(), 1);
}

/// Checks the records of any sequence of inputs against the messages sent to callers, which the records are not made
/// from.
fn check_records(harness: &EngineHarness, calls: u64) {
    let mut events_by_call: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    for event in events(harness) {
        if let Some(call) = event.call() {
            events_by_call.entry(call.0).or_default().push(event);
        }
    }
    for call in 1..=calls {
        let recorded = events_by_call.remove(&call).unwrap_or_default();
        let sent = harness.caller_messages(call);
        assert!(matches!(recorded[0], Event::SetUp { .. }), "{recorded:?}");
        let answers = sent.iter().filter(|message| matches!(message, CallerMessage::Answered { .. })).count();
        let refusals = sent.iter().filter(|message| matches!(message, CallerMessage::Refused { .. })).count();
        let failures = sent.iter().filter(|message| matches!(message, CallerMessage::Failed { .. })).count();
        let count = |predicate: fn(&Event) -> bool| recorded.iter().filter(|event| predicate(event)).count();
        assert_eq!(count(|e| matches!(e, Event::Answered { .. })), answers, "{recorded:?} {sent:?}");
        assert_eq!(count(|e| matches!(e, Event::Refused { .. })), refusals, "{recorded:?} {sent:?}");
        assert_eq!(count(|e| matches!(e, Event::Failed { .. })), failures, "{recorded:?} {sent:?}");
        let abandoned = count(|e| matches!(e, Event::Abandoned { .. }));
        assert_eq!(answers + refusals + failures + abandoned, 1, "one outcome each: {recorded:?}");
        assert_eq!(
            count(|e| matches!(e, Event::Released { .. })),
            answers,
            "every established call is released: {recorded:?}"
        );
        // An attempt that waits for a connection may never be sent.
        let sent_at_once = count(|e| matches!(e, Event::Attempt { awaits_connection: false, .. }));
        let all = count(|e| matches!(e, Event::Attempt { .. }));
        assert!((sent_at_once..=all).contains(&harness.setup_count(call)), "{recorded:?}");
        // Every attempt ends before the next one begins.
        let mut open = None;
        for event in &recorded {
            match event {
                Event::Attempt { attempt, .. } => {
                    assert!(open.replace(*attempt).is_none(), "{recorded:?}")
                }
                Event::AttemptEnded { attempt, .. } => {
                    assert_eq!(open.take(), Some(*attempt), "{recorded:?}")
                }
                Event::SetUp { .. } | Event::Released { .. } => {}
                _ => open = None,
            }
        }
    }
    assert!(events_by_call.is_empty(), "of calls that nobody placed: {events_by_call:?}");
}

#[test]
fn records_of_random_inputs_agree_with_the_messages_to_callers() {
    for seed in 0..30 {
        let mut rng = SplitMix64(seed);
        let mut harness = recording_harness(4);
        for exchange in 1..4 {
            let exchange_conn = harness.exchange_conn(exchange);
            harness.handle(Input::GroupState { exchange_conn, report: vec![30.0, 30.0] });
        }
        let mut placed = 1;
        harness.place_call(placed, 1, 1_000);
        for _ in 0..400 {
            let (exchange, call) = (1 + rng.below(3) as usize, 1 + rng.below(placed.max(1)));
            match rng.below(10) {
                0..=3 => {
                    placed += 1;
                    harness.place_call(placed, exchange as u32, 500 + rng.below(2_400));
                }
                4 | 5 => harness.answer(call, exchange),
                6 => {
                    let outcomes = [Outcome::Congested, Outcome::Reset, Outcome::Completed, Outcome::Busy];
                    let outcome = outcomes[rng.below(4) as usize];
                    let reason =
                        if outcome == Outcome::Busy { Reason::UserBusy } else { Reason::Unspecified };
                    harness.end_call(call, exchange, outcome, reason);
                }
                7 => harness.handle(Input::HangUp {
                    caller_conn: CALLER_CONN,
                    call: call_uid(call),
                    cause: 16,
                }),
                8 if rng.below(8) == 0 => {
                    let exchange_conn = harness.exchange_conn(exchange);
                    harness.handle(Input::ExchangeDisconnected { exchange_conn });
                    let exchange_conn = harness.exchange_conn(exchange);
                    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
                }
                _ => harness.advance(rng.below(300)),
            }
        }
        // Every call ends: open set-ups pass their deadline, established calls are released.
        harness.advance(4_000);
        for call in 1..=placed {
            harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(call), cause: 16 });
        }
        harness.advance(1_000);
        check_records(&harness, placed);
    }
}

// ---- the program ----

struct Program {
    child: Child,
    address: String,
    directory: PathBuf,
}

impl Program {
    /// Starts the program with recording on, in a directory of its own.
    fn start(test: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("swiftlb-{test}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("a directory");
        let (config, edge) = (directory.join("config.json"), directory.join("edge.json"));
        std::fs::write(&config, engine_harness::config_json("127.0.0.1:0", "127.0.0.1:9", &[]))
            .expect("a file");
        let records = directory.join("records");
        let text = format!(r#"{{"records":{{"enabled":true,"directory":"{}"}}}}"#, records.display());
        std::fs::write(&edge, text).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
        command.args(["serve", "--log-format", "json", "--config"]).arg(&config).arg("--edge").arg(&edge);
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("standard error")).lines();
        let address = loop {
            let line = log.next().expect("a line").expect("text");
            if let Some((_, rest)) = line.split_once("\"address\":\"") {
                break rest.split('"').next().expect("an address").to_owned();
            }
        };
        std::thread::spawn(move || log.for_each(drop));
        Self { child, address, directory }
    }

    /// Places calls to an exchange that does not exist; each is refused.
    fn place_calls(&self, calls: std::ops::Range<u64>) {
        let mut stream = TcpStream::connect(&self.address).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        for call in calls {
            let line = format!(
                r#"{{"kind":"launch","uid":"{call:016x}","meta":{{"class":"status","left":"1500","key":"1","extras":"dest:3;width:1;via:-1"}},"body":"v=0"}}"#
            );
            // Line and newline in one write: a second write would wait for the acknowledgement of the first.
            stream.write_all(format!("{line}\n").as_bytes()).expect("the line is written");
            let mut reply = String::new();
            reader.read_line(&mut reply).expect("a reply");
            assert!(reply.contains("\"stop\""), "{reply}");
        }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    }

    fn records(&self) -> (Vec<Record>, Vec<Damage>) {
        read_records(&self.directory.join("records"))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn read_records(directory: &Path) -> (Vec<Record>, Vec<Damage>) {
    let archive = Archive::open(&[directory.to_owned()]);
    assert!(archive.file_errors.is_empty(), "{archive:?}");
    let (mut records, mut damage) = (Vec::new(), Vec::new());
    for file in archive.runs.iter().flat_map(|run| &run.files) {
        let mut reader =
            FileReader::open(std::fs::File::open(file).expect("the file exists")).expect("a record file");
        while let Some(item) = reader.next_item().expect("a readable file") {
            match item {
                Item::Block(block) => records.extend(block.records),
                Item::Gap(gap) => damage.push(gap.damage),
            }
        }
    }
    (records, damage)
}

#[test]
fn a_program_that_ends_normally_has_recorded_everything() {
    let mut program = Program::start("record-term");
    program.place_calls(1..51);
    program.signal("-TERM");
    assert!(program.child.wait().expect("the program ends").success());
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
    program.place_calls(1..21);
    // The writer thread writes them in the background: the records can be read while the program runs.
    let deadline = Instant::now() + Duration::from_secs(8);
    let refused =
        |records: &[Record]| records.iter().filter(|r| matches!(r.event, Event::Refused { .. })).count();
    while refused(&program.records().0) < 20 {
        assert!(Instant::now() < deadline, "nothing is written");
        std::thread::sleep(Duration::from_millis(10));
    }
    program.place_calls(21..31);
    program.signal("-KILL");
    program.child.wait().expect("the program ends");
    let (records, _) = program.records();
    assert!((20..=30).contains(&refused(&records)));
    assert!(!records.iter().any(|r| r.event == Event::Stopped));
}

#[test]
fn an_unusable_records_directory_is_reported_at_the_start() {
    let program = Program::start("record-none");
    let (config, edge) = (program.directory.join("config.json"), program.directory.join("wrong.json"));
    std::fs::write(&edge, r#"{"records":{"enabled":true,"directory":"/proc/nowhere"}}"#).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
    let output = command.arg("serve").arg("--config").arg(&config).arg("--edge").arg(&edge).output();
    let output = output.expect("the program runs");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.lines().any(|line| line.starts_with("swiftlb: records in /proc/nowhere: ")), "{stderr}");
}

#[test]
fn errors_in_the_edge_settings_are_reported_with_their_line() {
    let error = |text: &str| EdgeSettings::parse("edge.json", text).expect_err(text).to_string();
    let all = "one of enabled, directory, file_mb, file_minutes, budget_mb, queue";
    for (text, message) in [
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
        assert_eq!(error(text), message, "{text}");
    }
    assert!(matches!(EdgeSettings::parse("f", "{"), Err(EdgeError::NotJson { .. })));
    assert_eq!(EdgeSettings::parse("f", "{}"), Ok(EdgeSettings::default()));
    let text = r#"{"records":{"enabled":false,"directory":"a \" : \\"}}"#;
    assert_eq!(EdgeSettings::parse("f", text), Ok(EdgeSettings::default()));
    assert_eq!(EdgeSettings::load("no such file", false), Ok(EdgeSettings::default()));
    assert!(EdgeSettings::load("no such file", true).is_err());
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/edge.json");
    assert_eq!(
        EdgeSettings::load(shipped, true),
        Ok(EdgeSettings::default()),
        "everything is off in the shipped file"
    );
}

#[test]
fn the_fleet_endpoint_reports_the_state_of_the_exchanges_and_exists_only_if_enabled() {
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
    assert_eq!(exchanges.len(), 2, "a removed exchange is not shown");
    let one = &exchanges[1];
    let text = |key: &str| one[key].get::<String>().cloned().expect("a text");
    assert_eq!((text("name"), text("listing"), text("way")), ("s-1".into(), "draining".into(), "up".into()));
    assert_eq!((number(&one["free"]), number(&one["total"])), (Some(20.0), Some(30.0)));
    assert_eq!((number(&one["out"]), number(&one["standing"])), (Some(1.0), Some(1.0)));
    assert_eq!(one["avoided"].get::<bool>(), Some(&true), "it is draining");
    assert_eq!(number(&exchanges[0]["free"]), None, "no group state was reported");
}

#[test]
fn a_skewed_clock_has_the_configured_offset_and_drift() {
    let edge = EdgeSettings::parse("f", r#"{"rehearsal":{"clock_ahead_ms":-80,"clock_drift_ppm":50}}"#)
        .expect("settings");
    let clock = edge.clock_skew.start_clock(SystemTime::UNIX_EPOCH + Duration::from_secs(100));
    assert_eq!(clock.skewed_us(100_000_000), 100_000_000 - 80_000);
    assert_eq!(clock.skewed_us(200_000_000), 200_000_000 - 80_000 + 5_000);
    let unskewed = EdgeSettings::default().clock_skew.start_clock(SystemTime::UNIX_EPOCH);
    assert_eq!(unskewed.skewed_us(77), 77);
}

#[test]
fn a_full_disk_stops_recording_with_one_log_line_and_calls_continue() {
    let directory = std::env::temp_dir().join(format!("swiftlb-record-full-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).expect("a directory");
    let (config, edge) = (directory.join("config.json"), directory.join("edge.json"));
    std::fs::write(&config, engine_harness::config_json("127.0.0.1:0", "127.0.0.1:9", &[])).expect("a file");
    let text =
        format!(r#"{{"records":{{"enabled":true,"directory":"{}"}}}}"#, directory.join("records").display());
    std::fs::write(&edge, text).expect("a file");
    // The size of a file is limited to 4 KB: a write beyond that fails, as it does on a full disk.
    let script = "trap '' XFSZ; ulimit -f 8; exec \"$0\" serve --config \"$1\" --edge \"$2\"";
    let mut command = Command::new("sh");
    command.args(["-c", script, env!("CARGO_BIN_EXE_swiftlb")]).arg(&config).arg(&edge);
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
    let mut log = BufReader::new(child.stderr.take().expect("standard error")).lines();
    let first = log.next().expect("a line").expect("text");
    let address = first.split_once("address=").expect("the address").1.to_owned();
    let program = Program { child, address, directory };
    let (line_sender, lines) = std::sync::mpsc::channel();
    std::thread::spawn(move || log.map_while(Result::ok).try_for_each(|line| line_sender.send(line)));
    let mut calls = 1;
    let mut stopped = Vec::new();
    let deadline = Instant::now() + Duration::from_secs(20);
    while stopped.is_empty() {
        assert!(Instant::now() < deadline, "recording has not stopped");
        program.place_calls(calls..calls + 200);
        calls += 200;
        stopped.extend(lines.try_iter().filter(|line| line.contains("recording has stopped")));
    }
    assert!(stopped[0].contains("ERROR") && stopped[0].contains("records in "), "{stopped:?}");
    program.place_calls(calls..calls + 500);
    program.signal("-TERM");
    let later: Vec<String> = lines.iter().filter(|line| line.contains("recording has stopped")).collect();
    assert_eq!(later, Vec::<String>::new(), "one line, not one for each record");
}
