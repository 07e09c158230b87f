//! The console: what it makes of answers, what it draws at 80x24, and records played back.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use swiftlb_console::{Model, Order, Replay, Seen, Snapshot, SwitchState, fetch, view};
use swiftlb_record::{
    Archive, CallUid, ConnectionChange, Event, FileHeader, FileWriter, Front, ListedReadiness, Record,
    file_name,
};

const PATIENCE: Duration = Duration::from_secs(8);

fn seen(exchange: u32, way: &str, free: u32, expected_ms: u64) -> Seen {
    Seen {
        exchange,
        name: format!("s-{exchange}"),
        listing: "ready".to_owned(),
        way: way.to_owned(),
        group: Some((free, 100)),
        heard: Some(Duration::from_millis(100)),
        expected: Duration::from_millis(expected_ms),
        out: exchange,
        standing: 2,
        avoided: false,
    }
}

fn snapshot(node: u32, second: u64, answered: u64) -> Snapshot {
    let mut snapshot = Snapshot {
        softswitch: format!("n{node}"),
        home: Some(node),
        at_us: second * 1_000_000,
        up: Duration::from_secs(second),
        ended: (answered, 10, 1),
        waiting: 3,
        standing: 40,
        ..Snapshot::default()
    };
    snapshot.refusals.extend([("shed".to_owned(), 9), ("group-full".to_owned(), 1)]);
    snapshot.exchanges = (0..4)
        .map(|n| if n == node { seen(n, "own", 0, 0) } else { seen(n, "up", 30 + 10 * n, 50 * u64::from(n)) })
        .collect();
    snapshot
}

/// Two softswitches that answered twice, a second apart, and one that never did.
fn model() -> Model {
    let mut model = Model::new(["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"].map(str::to_owned));
    for second in 1..=2 {
        let at = Duration::from_secs(second);
        model.take(0, at, Ok(snapshot(0, second, 100 * second)));
        model.take(1, at, Ok(snapshot(1, second, 50 * second)));
        model.take(2, at, Err("connection refused".to_owned()));
    }
    model
}

#[test]
fn rates_ages_and_silence_are_functions_of_what_was_fetched_and_of_the_time() {
    let mut model = model();
    let rows = model.softswitches();
    assert_eq!(
        rows.iter().map(|row| row.state).collect::<Vec<_>>(),
        [SwitchState::Live, SwitchState::Live, SwitchState::Unknown]
    );
    assert_eq!((rows[0].rates, rows[1].rates), (Some((100.0, 0.0, 0.0)), Some((50.0, 0.0, 0.0))));
    assert_eq!(rows[0].reason, Some(("shed".to_owned(), 0.9)));
    assert_eq!(
        (rows[2].name.as_str(), rows[2].trouble.as_deref()),
        ("10.0.0.3:1", Some("connection refused"))
    );
    // The first says nothing more: its figures grow old, then it is silent, and its view of the nodes no longer counts.
    let all = model.nodes();
    for second in 3..=6 {
        model.take(0, Duration::from_secs(second), Err("timed out".to_owned()));
        model.take(1, Duration::from_secs(second), Ok(snapshot(1, second, 50 * second)));
    }
    let rows = model.softswitches();
    assert_eq!(
        (rows[0].state, rows[0].age, rows[0].rates),
        (SwitchState::Silent, Some(Duration::from_secs(4)), None)
    );
    let node = |rows: &[swiftlb_console::NodeRow], n: u32| {
        rows.iter().find(|row| row.exchange == n).cloned().expect("it is there")
    };
    assert_eq!((node(&all, 2).ways, node(&model.nodes(), 2).ways), ((2, 2), (1, 1)));
    assert_eq!((node(&all, 2).group, node(&model.nodes(), 2).group), (Some((100, 200)), Some((50, 100))));
    assert_eq!(node(&all, 2).heard, Some(Duration::from_millis(100)));
    // One that has started anew counts from nothing: no rate is made up for it.
    model.take(1, Duration::from_secs(7), Ok(snapshot(1, 1, 7)));
    assert_eq!(model.softswitches()[1].rates, None);
}

#[test]
fn nodes_are_sorted_and_filtered_and_the_worst_view_counts() {
    let mut model = model();
    let mut bad = snapshot(1, 3, 150);
    bad.exchanges[2].way = "down".to_owned();
    bad.exchanges[3].avoided = true;
    let mut worse = snapshot(0, 3, 300);
    worse.exchanges[2].way = "opening".to_owned();
    model.take(1, Duration::from_secs(3), Ok(bad));
    let states = |model: &Model| -> Vec<(u32, &'static str)> {
        model.nodes().iter().map(|row| (row.exchange, row.state())).collect()
    };
    assert_eq!(states(&model), [(0, "ok"), (1, "ok"), (2, "partly"), (3, "slow")]);
    model.take(0, Duration::from_secs(3), Ok(worse));
    model.order = Order::Trouble;
    assert_eq!(states(&model)[..2], [(2, "DOWN"), (3, "slow")]);
    model.order = Order::Expected;
    assert_eq!(states(&model)[0].0, 3);
    model.order = Order::Free;
    assert_eq!(states(&model)[0].0, 0);
    model.filter = "down".to_owned();
    assert_eq!(states(&model), [(2, "DOWN")]);
    model.filter = "S-3".to_owned();
    assert_eq!(states(&model), [(3, "slow")]);
    let mut order = Order::Number;
    (0..5).for_each(|_| order = order.next());
    assert_eq!(order, Order::Number);
}

#[test]
fn it_is_drawn_at_80_by_24_and_survives_any_size() {
    let mut model = model();
    let text = view::text(&model, 80, 24);
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
    model.typing = true;
    model.filter = "wien".to_owned();
    assert!(view::text(&model, 80, 24).lines().last().is_some_and(|line| line.starts_with("/wien_")));
    for (width, height) in [(1, 1), (10, 3), (79, 5), (80, 24), (300, 100), (2, 60)] {
        assert_eq!(view::text(&model, width, height).lines().count(), usize::from(height));
    }
    // Many softswitches leave room for the nodes, many nodes scroll.
    let mut many = Model::new((0..60).map(|n| format!("10.0.0.{n}:1")));
    let mut snapshot = snapshot(0, 1, 1);
    snapshot.exchanges = (0..200).map(|n| seen(n, "up", 1, 1)).collect();
    many.take(0, Duration::ZERO, Ok(snapshot));
    many.scroll = 10_000;
    let text = view::text(&many, 80, 24);
    assert!(text.contains("s-199") && text.contains("10.0.0.5:1"), "{text}");
}

#[test]
fn what_is_no_answer_is_said_with_the_key_and_never_a_panic() {
    let whole = r#"{"softswitch":"n0","home":0,"at_us":5,"up_ms":7,"draining":false,"waiting":1,"standing":2,
        "answered":3,"refused":4,"failed":5,"refusals":{"shed":4},"exchanges":[{"exchange":1,"name":"s-1",
        "listing":"ready","way":"up","free":null,"total":null,"heard_ms":null,"expected_ms":12,"out":1,"standing":2,"avoided":true}]}"#;
    let read = Snapshot::parse(whole).expect("a snapshot");
    assert_eq!((read.ended, read.exchanges[0].group, read.exchanges[0].avoided), ((3, 4, 5), None, true));
    let wrong = |text: &str| Snapshot::parse(text).expect_err(text).to_string();
    assert!(wrong("{").starts_with("not JSON"));
    assert_eq!(wrong("[]"), "the answer: expected an object");
    assert_eq!(wrong(&whole.replace("\"out\":1,", "")), "key out is missing or of the wrong type");
    assert_eq!(
        wrong(&whole.replace("\"waiting\":1", "\"waiting\":-1")),
        "key waiting is missing or of the wrong type"
    );
    for cut in 0..whole.len() {
        assert!(Snapshot::parse(&whole[..cut]).is_err(), "cut at {cut}");
    }
}

#[test]
fn a_door_is_asked_and_what_is_wrong_there_is_said_in_few_words() {
    let answer = |answer: &'static str| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let thread = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a visitor");
            let mut head = [0; 512];
            let length = stream.read(&mut head).expect("a call");
            assert!(head[..length].starts_with(b"GET /edge/fleet HTTP/1.1\r\n"));
            stream.write_all(answer.as_bytes()).expect("it reads");
        });
        let fetched = fetch(address, PATIENCE);
        thread.join().expect("it answered");
        fetched
    };
    assert_eq!(answer("HTTP/1.1 404 Not Found\r\n\r\nno such path\n"), Err("fleet is off there".to_owned()));
    assert_eq!(answer("HTTP/1.1 503 No\r\n\r\n"), Err("status 503".to_owned()));
    assert_eq!(answer("SSH-2.0"), Err("no HTTP".to_owned()));
    assert!(answer("HTTP/1.1 200 OK\r\n\r\n{}").is_err_and(|error| error.starts_with("refusals: ")));
    let closed = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    assert_eq!(fetch(closed, PATIENCE), Err("connection refused".to_owned()));
}

#[test]
fn records_are_played_back_and_forth() {
    let folder = std::env::temp_dir().join(format!("swiftlb-replay-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let start = 1_800_000_000_000_000;
    let head = FileHeader::first_of_run("n0", 0, start);
    let mut writer = FileWriter::create(Vec::new(), &head).expect("memory");
    let mut at = |ms: u64, event| writer.push(&Record { at_us: start + ms * 1_000, event }).expect("memory");
    at(0, Event::Started { version: "0".to_owned(), home: Some(0), is_replacement: false });
    let listed = |exchange: u32| {
        let name = format!("s-{exchange}");
        Event::Exchange { exchange, name, zone: 0, readiness: ListedReadiness::Ready, started_us: 0 }
    };
    (0..2).for_each(|n| at(0, listed(n)));
    at(10, Event::ExchangeConnection { exchange: 1, change: ConnectionChange::Up });
    for n in 0..300_u64 {
        let (call, front) = (CallUid(n), Front::JsonLines);
        if n == 201 {
            at(20_100, Event::ExchangeConnection { exchange: 1, change: ConnectionChange::Lost });
        }
        at(
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
        at(100 * n + 60, Event::Answered { call, exchange: 1, elapsed_us: 40_000 });
        at(100 * n + 60, Event::Group { exchange: 1, free: 400 - n as u32, total: 400 });
    }
    at(31_000, Event::Stopped);
    std::fs::write(folder.join(file_name(&head)), writer.finish().expect("memory")).expect("a file");
    let mut replay = Replay::new(Archive::open(std::slice::from_ref(&folder)));
    let mut look = |seconds: u64| {
        replay.seek(Duration::from_secs(seconds));
        let model = replay.model();
        let (switch, node) = (model.softswitches().remove(0), model.nodes().remove(1));
        (switch.calls.1, switch.rates.map(|r| r.0.round()), node.group, node.state())
    };
    let ten = look(10);
    assert_eq!(ten, (100, Some(10.0), Some((301, 400)), "ok"));
    assert_eq!(look(25).3, "DOWN");
    assert_eq!(look(10), ten, "back is the same as it was");
    assert_eq!(look(29).0, 290);
    assert!(!replay.is_over());
    replay.seek(Duration::from_secs(60));
    assert!(replay.is_over());
    std::fs::remove_dir_all(&folder).expect("it was there");
}
