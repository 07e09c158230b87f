//! One process takes the place of another: in virtual time between two engines, and as two started programs that
//! share a listening socket.

#[path = "common/endpoints.rs"]
mod endpoints;
#[path = "common/engine_harness.rs"]
mod engine_harness;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use endpoints::{Iax2Endpoint, JsonLinesConn, ListeningExchange, launch_line, operator_request};
use engine_harness::{CALLER_CONN, EngineHarness, call_uid, config};
use swiftlb::Controller;
use swiftlb::engine::{
    CallerMessage, Effect, Engine, ExchangeMessage, Front, HandoverState, Input, SiblingMessage,
};
use swiftlb::iax2::Iax2Config;
use swiftlb::iax2::frame::{FrameType, iax};
use swiftlb::interface::{Event, ListUpdateKind, ListedExchange, Outcome, Readiness, Reason};
use swiftlb::net::handover;

/// What one process has said to the other since it was last looked at.
fn said(harness: &mut EngineHarness) -> Vec<SiblingMessage> {
    let words = harness.effects.iter().filter_map(|effect| match effect {
        Effect::ToSibling(word) => Some(word.clone()),
        _ => None,
    });
    let words = words.collect();
    harness.effects.clear();
    words
}

fn listen(from: &mut EngineHarness, to: &mut EngineHarness) {
    for word in said(from) {
        to.handle(Input::SiblingMessage(word));
    }
}

/// A process that takes the place of this one, started from what that hands over.
fn successor(old: &mut EngineHarness) -> EngineHarness {
    old.effects.clear();
    old.handle(Input::SiblingMessage(SiblingMessage::HandoverRequest));
    let mut inheritance = HandoverState::default();
    for word in said(old) {
        // Through the wire: nothing may be lost on the way.
        let line = handover::format_message(&word);
        match handover::parse_message(&line).expect("a word") {
            SiblingMessage::Exchange(entry) => inheritance.list.push(entry),
            SiblingMessage::Learned { topic, exchange, values } => {
                inheritance.learned.push((topic, exchange, values))
            }
            SiblingMessage::HandoverComplete { serial } => inheritance.serial = serial,
            word => panic!("{word:?}"),
        }
    }
    let mut new = EngineHarness::unconnected(3);
    new.effects.clear();
    new.now = old.now;
    new.exchange_conns.clear();
    new.engine = Engine::take_over(&config(3), inheritance, old.now, &mut new.effects)
        .expect("settings that make sense");
    let ways = new.effects.iter().filter_map(|effect| match effect {
        Effect::ConnectExchange { exchange_conn, name, .. } => Some((name.to_string(), *exchange_conn)),
        _ => None,
    });
    new.exchange_conns = ways.collect();
    new
}

/// Two processes of which the new one serves, and the old one has been told so.
fn pair(old: &mut EngineHarness) -> EngineHarness {
    let mut new = successor(old);
    assert!(new.effects.contains(&Effect::Accept(false)) && !new.effects.contains(&Effect::Accept(true)));
    for place in [1, 2] {
        assert!(said(&mut new).is_empty(), "it cannot serve yet");
        new.handle(Input::ExchangeConnected {
            exchange_conn: new.exchange_conn(place),
            carries_calls: false,
        });
    }
    assert!(new.effects.contains(&Effect::Accept(true)));
    listen(&mut new, old);
    assert!(old.effects.contains(&Effect::Accept(false)));
    new.handle(Input::CallerConnected { caller_conn: CALLER_CONN, front: Front::JsonLines });
    new
}

#[test]
fn a_new_process_knows_what_the_old_one_has_learned_and_its_list() {
    let mut old = EngineHarness::new(3);
    old.handle(Input::List([0, 1].map(|place| engine_harness::list_entry(place, Readiness::Ready)).to_vec()));
    old.handle(Input::ListConfirmed { serial: 7 });
    old.handle(Input::GroupState { exchange_conn: old.exchange_conn(1), report: vec![0.0, 30.0] });
    let mut new = successor(&mut old);
    assert_eq!(new.exchange_conns.len(), 1, "the list of the start has two others");
    new.handle(Input::ExchangeConnected { exchange_conn: new.exchange_conn(1), carries_calls: false });
    new.handle(Input::CallerConnected { caller_conn: CALLER_CONN, front: Front::JsonLines });
    new.place_call(1, 1, 3_000);
    assert!(
        matches!(new.caller_messages(1)[..], [CallerMessage::Refused { .. }]),
        "the group is full: {:?}",
        new.caller_messages(1)
    );
}

#[test]
fn the_old_process_leaves_once_nothing_is_open_or_stands() {
    let mut old = EngineHarness::new(3);
    old.place_call(1, 1, 3_000);
    old.answer(1, 1);
    old.place_call(2, 1, 3_000);
    let _new = pair(&mut old);
    old.handle(Input::Drain);
    old.advance(1_000);
    old.handle(Input::HealthCheck { caller_conn: CALLER_CONN, call: call_uid(99) });
    assert_eq!(
        old.caller_messages(99),
        [CallerMessage::HealthCheckResult { passed: true }],
        "the softswitch takes work"
    );
    assert!(
        !old.effects.contains(&Effect::CloseCallerConnIfIdle { caller_conn: CALLER_CONN }),
        "a set-up is open on it"
    );
    old.answer(2, 1);
    old.advance(60);
    assert!(old.effects.contains(&Effect::CloseCallerConnIfIdle { caller_conn: CALLER_CONN }));
    old.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    old.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    old.advance(2_000);
    assert!(!old.effects.contains(&Effect::Exit), "a call still stands");
    // Its caller is with the other process by now.
    old.end_call(2, 1, Outcome::Completed, Reason::Unspecified);
    old.advance(60);
    assert!(old.effects.contains(&Effect::Exit));
    assert!(said(&mut old).contains(&SiblingMessage::Release { call: call_uid(2), cut: false }));
}

#[test]
fn what_concerns_a_call_of_the_other_process_gets_there_and_is_told_once() {
    let mut old = EngineHarness::new(3);
    for call in [1, 2, 3] {
        old.place_call(call, 1, 3_000);
        old.answer(call, 1);
    }
    let mut new = pair(&mut old);
    // The caller's release comes to the new process, the exchange's word to either.
    new.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    listen(&mut new, &mut old);
    assert!(old.exchange_messages(1).iter().any(|(_, word)| *word == ExchangeMessage::Release { cause: 16 }));
    new.end_call(2, 1, Outcome::Completed, Reason::Unspecified);
    assert!(new.caller_messages(2).is_empty());
    listen(&mut new, &mut old);
    assert_eq!(old.caller_messages(2), [CallerMessage::Released { cut: false }]);
    old.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    old.end_call(3, 1, Outcome::Reset, Reason::Unspecified);
    listen(&mut old, &mut new);
    new.place_call(9, 1, 3_000);
    assert_eq!(new.caller_messages(3), [CallerMessage::Released { cut: true }]);
    // JsonMessage again, it is old news on both sides.
    new.end_call(3, 1, Outcome::Reset, Reason::Unspecified);
    listen(&mut new, &mut old);
    listen(&mut old, &mut new);
    assert!(new.caller_messages(3).is_empty() && old.caller_messages(3).is_empty());
}

#[test]
fn a_successor_that_dies_leaves_the_old_process_serving_and_an_old_one_that_is_gone_leaves_the_new_one() {
    let mut old = EngineHarness::new(3);
    let mut new = pair(&mut old);
    old.effects.clear();
    old.handle(Input::SiblingDisconnected);
    assert!(old.effects.contains(&Effect::Accept(true)));
    old.place_call(5, 1, 3_000);
    assert_eq!(old.setup_count(5), 1);
    // An end of which nobody knows has nobody else to ask now.
    new.handle(Input::SiblingDisconnected);
    new.effects.clear();
    new.end_call(77, 1, Outcome::Completed, Reason::Unspecified);
    assert!(said(&mut new).is_empty());
    // One that dies before it serves had taken nothing.
    let _dead = successor(&mut old);
    old.handle(Input::SiblingDisconnected);
    assert!(!old.effects.contains(&Effect::Accept(false)));
    old.handle(Input::Drain);
    old.advance(800);
    assert!(!old.effects.contains(&Effect::Exit), "a call is open");
    old.end_call(5, 1, Outcome::Busy, Reason::UserBusy);
    assert!(old.effects.contains(&Effect::Exit), "without a successor, as ever");
}

#[test]
fn beliefs_live_on_and_both_processes_together_keep_the_cold_budget() {
    let mut settings = config(3).settings;
    settings.release_pause_ms = 500.0;
    let listed = |number: u32, started_ms: f64| {
        let id = swiftlb::interface::ExchangeId { address: number.to_be_bytes(), port: 0 };
        ListedExchange { id, number, zone: 0, started_ms, readiness: Readiness::Ready }
    };
    let start = 1_800_000_000_000.0;
    let feed =
        |controller: &mut Controller, at: f64, event: Event| controller.handle(at, event, &mut Vec::new());
    let list =
        |born| Event::List { kind: ListUpdateKind::Complete, entries: vec![listed(0, 0.0), listed(1, born)] };
    let mut old = Controller::new(settings.clone(), 1).expect("settings that make sense");
    feed(&mut old, start, list(0.0));
    let report = Some(vec![17.0, 30.0]);
    let exchange = listed(1, 0.0).id;
    feed(&mut old, start, Event::ProbeResult { exchange, answered: true, elapsed_ms: 0.0, report });
    let sent = |controller: &mut Controller, from: u32, at: f64| {
        let mut actions = Vec::new();
        let harness = EngineHarness::new(3);
        for call in from..from + 200 {
            controller.handle(at, Event::Call(engine_harness::new_call(call, 1)), &mut actions);
            controller.handle(
                at,
                Event::Answered { call, attempt: 0, exchange, elapsed_ms: 5.0 },
                &mut actions,
            );
            let report = Some(vec![200.0, 300.0]);
            controller.handle(
                at,
                Event::ProbeResult { exchange, answered: true, elapsed_ms: 0.0, report },
                &mut actions,
            );
        }
        drop(harness);
        actions.iter().filter(|a| matches!(a, swiftlb::interface::Action::Send { .. })).count()
    };
    assert_eq!(sent(&mut old, 1, start), 200);
    let mut new = Controller::new(settings, 2).expect("settings that make sense");
    feed(&mut new, start, list(0.0));
    for belief in old.learned_values() {
        new.apply_learned(&belief);
    }
    assert_eq!(new.learned_values(), old.learned_values());
    // The exchange starts again, cold, while both processes live: two halves are less than one whole.
    let mut alone = old.clone();
    for (controller, processes) in [(&mut old, 2), (&mut new, 2), (&mut alone, 1)] {
        controller.set_process_count(processes);
        feed(controller, start + 100.0, list(start + 100.0));
    }
    let later = start + 600.0;
    let (one, both) =
        (sent(&mut alone, 1_000, later), sent(&mut old, 1_000, later) + sent(&mut new, 1_000, later));
    assert!(one > 4 && both <= one + 2, "{both} by two processes, {one} by one");
}

// ---- two programs ----

/// A folder of its own, gone with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("swiftlb-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A started program; it is killed with the test.
struct Program {
    child: Child,
    operator_address: SocketAddr,
}

impl Program {
    /// Inherits the listener as its standard input, which is a descriptor like any other.
    fn start(listener: &TcpListener, folder: &Path) -> Self {
        // A port that is free now; the system gives each only once in a while.
        let operator_address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
        let listener: OwnedFd = listener.try_clone().expect("a descriptor").into();
        let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
        command.env("NODE_CONFIG", folder.join("config.json")).env("NODE_FD", "0").env("TMPDIR", folder);
        command
            .env("NODE_OPERATOR", operator_address.to_string())
            .stdin(Stdio::from(listener))
            .stderr(Stdio::piped());
        command.arg("--iax2").arg(folder.join("iax2.json"));
        let mut child = command.spawn().expect("it starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        while !line.contains("serves name=") {
            line.clear();
            assert!(log.read_line(&mut line).expect("a line") > 0, "it ended");
        }
        std::thread::spawn(move || log.read_to_string(&mut String::new()));
        Self { child, operator_address }
    }

    /// Waits until it says that it can serve; one without a predecessor would wait for the resolver, too.
    fn ready(self) -> Self {
        while operator_request(self.operator_address, "GET /ops/readiness").0 != 200 {
            std::thread::sleep(Duration::from_millis(10));
        }
        self
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().expect("it runs").success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What two programs share: the listening socket, the folder, one exchange.
fn stage(name: &str) -> (TcpListener, Folder, ListeningExchange, UdpSocket) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (folder, exchange) = (Folder::new(name), ListeningExchange::new());
    let resolver = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = |a: std::io::Result<SocketAddr>| a.expect("an address").to_string();
    let all = ["127.0.0.1:9".to_owned(), exchange.address().to_string()];
    let text =
        engine_harness::config_json(&address(listener.local_addr()), &address(resolver.local_addr()), &all);
    std::fs::write(folder.0.join("config.json"), text).expect("a file");
    let iax2 = format!(
        r#"{{"enabled":true,"listen":"{}","nodes":[],"contexts":[
        {{"context":"service","class":"lookup","numbers":[{{"prefix":"1","exchange":1}}]}}]}}"#,
        address(UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()))
    );
    std::fs::write(folder.0.join("iax2.json"), iax2).expect("a file");
    (listener, folder, exchange, resolver)
}

fn set_up(caller: &mut JsonLinesConn, exchange: &mut JsonLinesConn, call: &str) {
    caller.send(&launch_line(call, 1, 3_000));
    exchange.expect("launch", call);
    exchange.send(&format!(r#"{{"kind":"running","uid":"{call}","meta":{{}},"body":""}}"#));
    caller.expect("running", call);
}

#[test]
fn two_programs_serve_as_one_on_an_inherited_listener() {
    let (listener, folder, exchange, _resolver) = stage("two");
    let address = listener.local_addr().expect("an address");
    let mut old = Program::start(&listener, &folder.0);
    let mut at_old = exchange.accept();
    let mut caller = JsonLinesConn::connect(address);
    set_up(&mut caller, &mut at_old, "00000000000000a1");
    set_up(&mut caller, &mut at_old, "00000000000000a2");
    let new = Program::start(&listener, &folder.0).ready();
    let mut at_new = at_old.accept_another();
    old.terminate();
    // The old one's connection is closed as nothing is open on it; new ones are the new one's.
    assert!(caller.receive().is_none());
    let mut caller = JsonLinesConn::connect(address);
    set_up(&mut caller, &mut at_new, "00000000000000b1");
    // Each word on a call of the old one gets there: the caller's release, and the exchange's.
    caller.send(r#"{"kind":"stop","uid":"00000000000000a1","meta":{},"reason":16}"#);
    at_old.expect("stop", "00000000000000a1");
    at_old.send(r#"{"kind":"stop","uid":"00000000000000a2","meta":{},"reason":16}"#);
    assert_eq!(caller.expect("stop", "00000000000000a2").cause(), 16.0);
    assert!(old.child.wait().expect("it ends").success(), "nothing is left at the old one");
    // Handsets are the new one's as well, once it has their address.
    let iax2 = std::fs::read_to_string(folder.0.join("iax2.json")).expect("a file");
    let handsets = Iax2Config::parse(&iax2).expect("a configuration").expect("it is on").listen;
    let mut phone = Iax2Endpoint::new(20);
    let new_call = phone.call(handsets, "17");
    phone.socket.set_read_timeout(Some(Duration::from_millis(50))).expect("a time-out");
    let mut tries = 0;
    while phone.socket.peek(&mut [0]).is_err() {
        tries += 1;
        assert!(tries < 160, "the address is free");
        phone.send_frame(&new_call);
    }
    phone.socket.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
    let handset = at_new.receive().expect("a set-up").text("uid");
    at_new.send(&format!(r#"{{"kind":"running","uid":"{handset}","meta":{{}},"body":""}}"#));
    phone.expect(FrameType::Iax, iax::ACCEPT);
    set_up(&mut caller, &mut at_new, "00000000000000b2");
    assert_eq!(operator_request(new.operator_address, "GET /ops/readiness").0, 200);
    // The next one finds it, and it serves on when that dies.
    let next = Program::start(&listener, &folder.0).ready();
    let _at_next = at_old.accept_another();
    drop(next);
    let mut again = JsonLinesConn::connect(address);
    set_up(&mut again, &mut at_new, "00000000000000b3");
}

#[test]
fn a_place_that_is_stale_or_full_of_nonsense_makes_a_start_like_any_other() {
    let (listener, folder, exchange, _resolver) = stage("stale");
    let address = listener.local_addr().expect("an address");
    let place = handover::socket_path(&folder.0, address);
    let mut listener_of_nonsense = Some(UnixListener::bind(&place).expect("a place"));
    let mut exchange = Some(exchange);
    let mut lines: Option<JsonLinesConn> = None;
    for round in 0..3 {
        let nonsense = listener_of_nonsense.take().filter(|_| round == 0).map(|listener| {
            std::thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("it asks");
                stream.write_all(b"{\"say\":\"exchange\"}\nnonsense\n").expect("it reads");
            })
        });
        if round == 2 {
            // A file that is no socket at all.
            let _ = std::fs::remove_file(&place);
            std::fs::write(&place, "nonsense").expect("a file");
        }
        let program = Program::start(&listener, &folder.0);
        let mut at = match (exchange.take(), lines.take()) {
            (Some(exchange), _) => exchange.accept(),
            (None, Some(mut lines)) => {
                lines.accept_next();
                lines
            }
            (None, None) => unreachable!("one of them is there"),
        };
        let mut caller = JsonLinesConn::connect(address);
        set_up(&mut caller, &mut at, "00000000000000c1");
        if let Some(nonsense) = nonsense {
            nonsense.join().expect("it was asked");
        }
        lines = Some(at);
        drop(program);
    }
}
