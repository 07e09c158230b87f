//! Tests of the console: the rows computed from snapshots, the screen at 80x24, the HTTP client and the playback of
//! records.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use swiftlb_console::{
    ExchangeState, Model, Replay, Snapshot, SoftswitchState, SortOrder, fetch_snapshot, view,
};
use swiftlb_record::{
    Archive, CallUid, ConnectionChange, Event, FileHeader, FileWriter, Front, ListedReadiness, Record,
    file_name,
};

const TIMEOUT: Duration = Duration::from_secs(8);

fn exchange_state(number: u32, connection: &str, free: u32, expected_ms: u64) -> ExchangeState {
    ExchangeState {
        number,
        name: format!("s-{number}"),
        readiness: "ready".to_owned(),
        connection: connection.to_owned(),
        group: Some((free, 100)),
        since_heard: Some(Duration::from_millis(100)),
        expected_delay: Duration::from_millis(expected_ms),
        open_attempts: number,
        established_calls: 2,
        avoided: false,
    }
}

fn snapshot(node: u32, second: u64, answered: u64) -> Snapshot {
    let mut snapshot = Snapshot {
        softswitch: format!("n{node}"),
        home: Some(node),
        at_us: second * 1_000_000,
        uptime: Duration::from_secs(second),
        totals: (answered, 10, 1),
        waiting_calls: 3,
        established_calls: 40,
        ..Snapshot::default()
    };
    snapshot.refusals.extend([("shed".to_owned(), 9), ("group-full".to_owned(), 1)]);
    snapshot.exchanges = (0..4)
        .map(|n| {
            if n == node {
                exchange_state(n, "own", 0, 0)
            } else {
                exchange_state(n, "up", 30 + 10 * n, 50 * u64::from(n))
            }
        })
        .collect();
    snapshot
}

/// A model with two softswitches that replied twice, one second apart, and one that never replied.
fn sample_model() -> Model {
    let mut model = Model::new(["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"].map(str::to_owned));
    for second in 1..=2 {
        let at = Duration::from_secs(second);
        model.update(0, at, Ok(snapshot(0, second, 100 * second)));
        model.update(1, at, Ok(snapshot(1, second, 50 * second)));
        model.update(2, at, Err("connection refused".to_owned()));
    }
    model
}

#[test]
fn rates_and_ages_are_computed_and_silent_softswitches_are_left_out_of_the_nodes() {
    let mut model = sample_model();
    let rows = model.softswitches();
    assert_eq!(
        rows.iter().map(|row| row.state).collect::<Vec<_>>(),
        [SoftswitchState::Live, SoftswitchState::Live, SoftswitchState::NeverReplied]
    );
    assert_eq!((rows[0].rates, rows[1].rates), (Some((100.0, 0.0, 0.0)), Some((50.0, 0.0, 0.0))));
    assert_eq!(rows[0].top_refusal, Some(("shed".to_owned(), 0.9)));
    assert_eq!((rows[2].name.as_str(), rows[2].error.as_deref()), ("10.0.0.3:1", Some("connection refused")));
    // The first softswitch stops replying: its snapshot ages, then it is shown as silent and no longer counts for the
    // nodes.
    let nodes_before = model.nodes();
    for second in 3..=6 {
        model.update(0, Duration::from_secs(second), Err("timed out".to_owned()));
        model.update(1, Duration::from_secs(second), Ok(snapshot(1, second, 50 * second)));
    }
    let rows = model.softswitches();
    assert_eq!(
        (rows[0].state, rows[0].age, rows[0].rates),
        (SoftswitchState::Silent, Some(Duration::from_secs(4)), None)
    );
    let node = |rows: &[swiftlb_console::NodeRow], n: u32| {
        rows.iter().find(|row| row.exchange == n).cloned().expect("the node is listed")
    };
    assert_eq!((node(&nodes_before, 2).connections, node(&model.nodes(), 2).connections), ((2, 2), (1, 1)));
    assert_eq!(
        (node(&nodes_before, 2).group, node(&model.nodes(), 2).group),
        (Some((100, 200)), Some((50, 100)))
    );
    assert_eq!(node(&nodes_before, 2).since_heard, Some(Duration::from_millis(100)));
    // A restarted softswitch counts from zero, so there is no rate until its second snapshot.
    model.update(1, Duration::from_secs(7), Ok(snapshot(1, 1, 7)));
    assert_eq!(model.softswitches()[1].rates, None);
}

/// Guards against an age whose unit is cut off: `4321ms` shown as `4321m`, which reads as minutes.
#[test]
fn an_age_of_seconds_is_shown_with_its_unit() {
    let mut model = sample_model();
    model.update(1, Duration::from_millis(6_321), Err("timed out".to_owned()));
    let text = view::render_text(&model, 80, 24);
    assert!(text.contains(" 4.3s ") && !text.contains("4321m"), "{text}");
}

#[test]
fn nodes_are_sorted_and_filtered_and_show_the_worst_state_of_any_softswitch() {
    let mut model = sample_model();
    let mut exchange_2_down = snapshot(1, 3, 150);
    exchange_2_down.exchanges[2].connection = "down".to_owned();
    exchange_2_down.exchanges[3].avoided = true;
    let mut exchange_2_opening = snapshot(0, 3, 300);
    exchange_2_opening.exchanges[2].connection = "opening".to_owned();
    model.update(1, Duration::from_secs(3), Ok(exchange_2_down));
    let states = |model: &Model| -> Vec<(u32, &'static str)> {
        model.nodes().iter().map(|row| (row.exchange, row.state())).collect()
    };
    assert_eq!(states(&model), [(0, "ok"), (1, "ok"), (2, "partly"), (3, "slow")]);
    model.update(0, Duration::from_secs(3), Ok(exchange_2_opening));
    model.sort_order = SortOrder::Severity;
    assert_eq!(states(&model)[..2], [(2, "DOWN"), (3, "slow")]);
    model.sort_order = SortOrder::ExpectedDelay;
    assert_eq!(states(&model)[0].0, 3);
    model.sort_order = SortOrder::FreeCircuits;
    assert_eq!(states(&model)[0].0, 0);
    model.filter = "down".to_owned();
    assert_eq!(states(&model), [(2, "DOWN")]);
    model.filter = "S-3".to_owned();
    assert_eq!(states(&model), [(3, "slow")]);
    let mut order = SortOrder::Number;
    (0..5).for_each(|_| order = order.next());
    assert_eq!(order, SortOrder::Number);
}

#[test]
fn the_screen_fits_80_by_24_and_any_other_size_is_drawn_without_a_panic() {
    let mut model = sample_model();
    let text = view::render_text(&model, 80, 24);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!((lines.len(), lines.iter().map(|line| line.chars().count()).max() <= Some(80)), (24, true));
    assert_eq!(lines[0], "swiftlb  2 softswitches live, 1 silent");
    assert!(
        lines[2].starts_with("n0              live      0ms     3    40 100.0   0.0   0.0 shed 90%"),
        "{text}"
    );
    assert!(
        lines[4].starts_with("10.0.0.3:1      no word") && lines[4].ends_with("connection refused"),
        "{text}"
    );
    let node = lines.iter().find(|line| line.contains("s-3")).expect("node 3");
    assert_eq!(
        node.split_whitespace().collect::<Vec<_>>(),
        ["3", "s-3", "ok", "2/2", "100ms", "150ms", "120/200", "6", "4", "-"]
    );
    assert!(lines[23].starts_with("q: end  s: sort (number)"), "{text}");
    model.editing_filter = true;
    model.filter = "wien".to_owned();
    assert!(view::render_text(&model, 80, 24).lines().last().is_some_and(|line| line.starts_with("/wien_")));
    for (width, height) in [(1, 1), (10, 3), (79, 5), (80, 24), (300, 100), (2, 60)] {
        assert_eq!(view::render_text(&model, width, height).lines().count(), usize::from(height));
    }
    // With many softswitches there is still room for nodes, and the list of nodes scrolls to its end.
    let mut large = Model::new((0..60).map(|n| format!("10.0.0.{n}:1")));
    let mut snapshot = snapshot(0, 1, 1);
    snapshot.exchanges = (0..200).map(|n| exchange_state(n, "up", 1, 1)).collect();
    large.update(0, Duration::ZERO, Ok(snapshot));
    large.scroll = 10_000;
    let text = view::render_text(&large, 80, 24);
    assert!(text.contains("s-199") && text.contains("10.0.0.5:1"), "{text}");
}

#[test]
fn an_invalid_snapshot_is_an_error_that_names_the_key() {
    let valid = r#"{"softswitch":"n0","home":0,"at_us":5,"up_ms":7,"draining":false,"waiting":1,"standing":2,
        "answered":3,"refused":4,"failed":5,"refusals":{"shed":4},"exchanges":[{"exchange":1,"name":"s-1",
        "listing":"ready","way":"up","free":null,"total":null,"heard_ms":null,"expected_ms":12,"out":1,"standing":2,"avoided":true}]}"#;
    let snapshot = Snapshot::parse(valid).expect("a snapshot");
    assert_eq!(
        (snapshot.totals, snapshot.exchanges[0].group, snapshot.exchanges[0].avoided),
        ((3, 4, 5), None, true)
    );
    let parse_error = |text: &str| Snapshot::parse(text).expect_err(text).to_string();
    assert!(parse_error("{").starts_with("not JSON"));
    assert_eq!(parse_error("[]"), "the answer: expected an object");
    assert_eq!(parse_error(&valid.replace("\"out\":1,", "")), "key out is missing or of the wrong type");
    assert_eq!(
        parse_error(&valid.replace("\"waiting\":1", "\"waiting\":-1")),
        "key waiting is missing or of the wrong type"
    );
    for length in 0..valid.len() {
        assert!(Snapshot::parse(&valid[..length]).is_err(), "truncated to {length} bytes");
    }
}

#[test]
fn fetching_a_snapshot_reports_http_errors_and_refused_connections_in_a_few_words() {
    let fetch_reply = |reply: &'static str| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let thread = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = [0; 512];
            let length = stream.read(&mut request).expect("a request");
            assert!(request[..length].starts_with(b"GET /edge/fleet HTTP/1.1\r\n"));
            stream.write_all(reply.as_bytes()).expect("the reply is written");
        });
        let result = fetch_snapshot(address, TIMEOUT);
        thread.join().expect("the server thread ends");
        result
    };
    assert_eq!(
        fetch_reply("HTTP/1.1 404 Not Found\r\n\r\nno such path\n"),
        Err("fleet is off there".to_owned())
    );
    assert_eq!(fetch_reply("HTTP/1.1 503 No\r\n\r\n"), Err("status 503".to_owned()));
    assert_eq!(fetch_reply("SSH-2.0"), Err("no HTTP".to_owned()));
    assert!(fetch_reply("HTTP/1.1 200 OK\r\n\r\n{}").is_err_and(|error| error.starts_with("refusals: ")));
    // Outside the range from which the system assigns ports: nothing else can get it.
    let closed = "127.0.0.1:9".parse().expect("an address");
    assert_eq!(fetch_snapshot(closed, TIMEOUT), Err("connection refused".to_owned()));
}

#[test]
fn records_are_played_back_with_seeks_forward_and_back() {
    let directory = std::env::temp_dir().join(format!("swiftlb-replay-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let start_us = 1_800_000_000_000_000;
    let header = FileHeader::first_of_run("n0", 0, start_us);
    let mut writer = FileWriter::create(Vec::new(), &header).expect("a write to memory");
    let mut record = |ms: u64, event| {
        writer.push(&Record { at_us: start_us + ms * 1_000, event }).expect("a write to memory")
    };
    record(0, Event::Started { version: "0".to_owned(), home: Some(0), is_replacement: false });
    let list_entry = |exchange: u32| {
        let name = format!("s-{exchange}");
        Event::Exchange { exchange, name, zone: 0, readiness: ListedReadiness::Ready, started_us: 0 }
    };
    (0..2).for_each(|n| record(0, list_entry(n)));
    record(10, Event::ExchangeConnection { exchange: 1, change: ConnectionChange::Up });
    for n in 0..300_u64 {
        let (call, front) = (CallUid(n), Front::JsonLines);
        if n == 201 {
            record(20_100, Event::ExchangeConnection { exchange: 1, change: ConnectionChange::Lost });
        }
        record(
            100 * n + 20,
            Event::SetUp {
                call,
                class: 0,
                dest: 1,
                transit_from: None,
                remaining_ms: 1,
                was_cut: false,
                front,
            },
        );
        record(100 * n + 60, Event::Answered { call, exchange: 1, elapsed_us: 40_000 });
        record(100 * n + 60, Event::Group { exchange: 1, free: 400 - n as u32, total: 400 });
    }
    record(31_000, Event::Stopped);
    std::fs::write(directory.join(file_name(&header)), writer.finish().expect("a write to memory"))
        .expect("the file is written");
    let mut replay = Replay::new(Archive::open(std::slice::from_ref(&directory)));
    let mut state_at = |seconds: u64| {
        replay.seek(Duration::from_secs(seconds));
        let model = replay.model();
        let (softswitch, node) = (model.softswitches().remove(0), model.nodes().remove(1));
        (softswitch.calls.1, softswitch.rates.map(|r| r.0.round()), node.group, node.state())
    };
    let state_at_10 = state_at(10);
    assert_eq!(state_at_10, (100, Some(10.0), Some((301, 400)), "ok"));
    assert_eq!(state_at(25).3, "DOWN");
    assert_eq!(state_at(10), state_at_10, "seeking back gives the same state");
    assert_eq!(state_at(29).0, 290);
    assert!(!replay.is_finished());
    replay.seek(Duration::from_secs(60));
    assert!(replay.is_finished());
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
}
