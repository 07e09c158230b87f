//! Handover from a running process to its successor: between two engines in virtual time, and between two started
//! programs that share a listening socket.

#[path = "common/endpoints.rs"]
mod endpoints;
#[path = "common/engine_harness.rs"]
mod engine_harness;
#[path = "common/program.rs"]
mod program;
#[path = "common/sibling_harness.rs"]
mod sibling_harness;

use std::io::Write;
use std::os::unix::net::UnixListener;
use std::time::Duration;

use endpoints::{Iax2Endpoint, JsonLinesConn, operator_request};
use engine_harness::{CALLER_CONN, EngineHarness, call_uid, config};
use program::{Program, set_up, shared_setup};
use sibling_harness::{deliver, serving_successor, successor, take_sibling_messages};
use swiftlb::Controller;
use swiftlb::engine::{CallerMessage, Effect, ExchangeMessage, Front, Input, SiblingMessage};
use swiftlb::iax2::Iax2Config;
use swiftlb::iax2::frame::{FrameType, iax};
use swiftlb::interface::{Event, ListUpdateKind, ListedExchange, Outcome, Readiness, Reason};
use swiftlb::net::handover;

#[test]
fn a_successor_has_the_list_and_the_learned_values_of_its_predecessor() {
    let mut old = EngineHarness::new(3);
    old.handle(Input::List([0, 1].map(|place| engine_harness::list_entry(place, Readiness::Ready)).to_vec()));
    old.handle(Input::ListConfirmed { serial: 7 });
    old.handle(Input::GroupState { exchange_conn: old.exchange_conn(1), report: vec![0.0, 30.0] });
    let mut new = successor(&mut old);
    assert_eq!(new.exchange_conns.len(), 1, "the list in the configuration has two other exchanges");
    new.handle(Input::ExchangeConnected { exchange_conn: new.exchange_conn(1), carries_calls: false });
    new.handle(Input::CallerConnected { caller_conn: CALLER_CONN, front: Front::JsonLines });
    new.place_call(1, 1, 3_000);
    // The old process is asked whether it has used the id.
    deliver(&mut new, &mut old);
    deliver(&mut old, &mut new);
    assert!(
        matches!(new.caller_messages(1)[..], [CallerMessage::Refused { .. }]),
        "the group is full: {:?}",
        new.caller_messages(1)
    );
}

#[test]
fn the_predecessor_exits_when_no_call_is_open_or_established() {
    let mut old = EngineHarness::new(3);
    old.place_call(1, 1, 3_000);
    old.answer(1, 1);
    old.place_call(2, 1, 3_000);
    let _new = serving_successor(&mut old);
    old.handle(Input::Stop);
    old.advance(1_000);
    old.handle(Input::HealthCheck { caller_conn: CALLER_CONN, call: call_uid(99) });
    assert_eq!(
        old.caller_messages(99),
        [CallerMessage::HealthCheckResult { passed: true }],
        "the softswitch as a whole still accepts calls"
    );
    assert!(
        !old.effects.contains(&Effect::CloseCallerConnIfIdle { caller_conn: CALLER_CONN }),
        "a call on this connection is open"
    );
    old.answer(2, 1);
    old.advance(60);
    assert!(old.effects.contains(&Effect::CloseCallerConnIfIdle { caller_conn: CALLER_CONN }));
    old.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    old.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    old.advance(2_000);
    assert!(!old.effects.contains(&Effect::Exit), "a call is still established");
    // The caller is connected to the successor by now.
    old.end_call(2, 1, Outcome::Completed, Reason::Unspecified);
    old.advance(60);
    assert!(old.effects.contains(&Effect::Exit));
    assert!(
        take_sibling_messages(&mut old).contains(&SiblingMessage::Release { call: call_uid(2), cut: false })
    );
}

#[test]
fn releases_of_the_siblings_calls_are_forwarded_and_reach_the_caller_once() {
    let mut old = EngineHarness::new(3);
    for call in [1, 2, 3] {
        old.place_call(call, 1, 3_000);
        old.answer(call, 1);
    }
    let mut new = serving_successor(&mut old);
    // The caller's release arrives at the new process, that of the exchange at either one.
    new.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    deliver(&mut new, &mut old);
    assert!(
        old.exchange_messages(1)
            .iter()
            .any(|(_, message)| *message == ExchangeMessage::Release { cause: 16 })
    );
    new.end_call(2, 1, Outcome::Completed, Reason::Unspecified);
    assert!(new.caller_messages(2).is_empty());
    deliver(&mut new, &mut old);
    assert_eq!(old.caller_messages(2), [CallerMessage::Released { cut: false }]);
    old.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    old.end_call(3, 1, Outcome::Reset, Reason::Unspecified);
    deliver(&mut old, &mut new);
    new.place_call(9, 1, 3_000);
    assert_eq!(new.caller_messages(3), [CallerMessage::Released { cut: true }]);
    // A repeated release is ignored by both processes.
    new.end_call(3, 1, Outcome::Reset, Reason::Unspecified);
    deliver(&mut new, &mut old);
    deliver(&mut old, &mut new);
    assert!(new.caller_messages(3).is_empty() && old.caller_messages(3).is_empty());
}

#[test]
fn either_process_continues_to_serve_when_its_sibling_dies() {
    let mut old = EngineHarness::new(3);
    let mut new = serving_successor(&mut old);
    old.effects.clear();
    old.handle(Input::SiblingDisconnected);
    assert!(old.effects.contains(&Effect::Accept(true)));
    old.place_call(5, 1, 3_000);
    assert_eq!(old.setup_count(5), 1);
    // The release of an unknown call is not forwarded, because there is no sibling any more.
    new.handle(Input::SiblingDisconnected);
    new.effects.clear();
    new.end_call(77, 1, Outcome::Completed, Reason::Unspecified);
    assert!(take_sibling_messages(&mut new).is_empty());
    // A successor that dies before it serves has not taken over anything.
    let _dead = successor(&mut old);
    old.handle(Input::SiblingDisconnected);
    assert!(!old.effects.contains(&Effect::Accept(false)));
    old.handle(Input::Stop);
    old.advance(800);
    assert!(!old.effects.contains(&Effect::Exit), "a call is open");
    old.end_call(5, 1, Outcome::Busy, Reason::UserBusy);
    assert!(old.effects.contains(&Effect::Exit), "without a successor the stop ends as usual");
}

/// Guards against a shutdown deadline that starts anew when the successor dies, and against one that does not hold while a
/// successor serves.
#[test]
fn the_time_to_the_kill_counts_from_the_first_request_to_stop_also_when_the_successor_dies() {
    let mut old = EngineHarness::new(3);
    old.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    let _new = serving_successor(&mut old);
    old.place_call(1, 1, 3_000);
    old.handle(Input::Stop);
    old.advance(2_000);
    old.place_call(2, 1, 3_000);
    old.handle(Input::SiblingDisconnected);
    old.advance(1_610);
    for call in [1, 2] {
        assert!(matches!(old.caller_messages(call)[..], [CallerMessage::Failed { .. }]), "call {call}");
    }
}

#[test]
fn learned_values_are_handed_over_and_both_processes_together_keep_the_budget_of_a_cold_exchange() {
    let mut settings = config(3).settings;
    settings.release_pause_ms = 500.0;
    let listed = |number: u32, started_ms: f64| {
        let id = swiftlb::interface::ExchangeId { address: number.to_be_bytes(), port: 0 };
        ListedExchange { id, number, zone: 0, started_ms, readiness: Readiness::Ready }
    };
    let start = 1_800_000_000_000.0;
    let handle =
        |controller: &mut Controller, at: f64, event: Event| controller.handle(at, event, &mut Vec::new());
    let list = |started_ms| Event::List {
        kind: ListUpdateKind::Complete,
        entries: vec![listed(0, 0.0), listed(1, started_ms)],
    };
    let mut old = Controller::new(settings.clone(), 1).expect("valid settings");
    handle(&mut old, start, list(0.0));
    let report = Some(vec![17.0, 30.0]);
    let exchange = listed(1, 0.0).id;
    handle(&mut old, start, Event::ProbeResult { exchange, answered: true, elapsed_ms: 0.0, report });
    let count_sent = |controller: &mut Controller, from: u32, at: f64| {
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
    assert_eq!(count_sent(&mut old, 1, start), 200);
    let mut new = Controller::new(settings, 2).expect("valid settings");
    handle(&mut new, start, list(0.0));
    for learned in old.learned_values() {
        new.apply_learned(&learned);
    }
    assert_eq!(new.learned_values(), old.learned_values());
    // The exchange restarts, cold, while both processes run: each one may use half of the budget.
    let mut alone = old.clone();
    for (controller, processes) in [(&mut old, 2), (&mut new, 2), (&mut alone, 1)] {
        controller.set_process_count(processes);
        handle(controller, start + 100.0, list(start + 100.0));
    }
    let later = start + 600.0;
    let (one_process, two_processes) = (
        count_sent(&mut alone, 1_000, later),
        count_sent(&mut old, 1_000, later) + count_sent(&mut new, 1_000, later),
    );
    assert!(
        one_process > 4 && two_processes <= one_process + 2,
        "{two_processes} calls by two processes, {one_process} by one"
    );
}

// ---- two programs ----

#[test]
fn two_programs_serve_as_one_on_an_inherited_listener() {
    let (listener, directory, exchange, _resolver) = shared_setup("two");
    let address = listener.local_addr().expect("local address");
    let mut old = Program::start(&listener, &directory.0);
    let mut exchange_at_old = exchange.accept();
    let mut caller = JsonLinesConn::connect(address);
    set_up(&mut caller, &mut exchange_at_old, "00000000000000a1");
    set_up(&mut caller, &mut exchange_at_old, "00000000000000a2");
    let new = Program::start(&listener, &directory.0).ready();
    let mut exchange_at_new = exchange_at_old.accept_another();
    old.terminate();
    // The predecessor closes its idle connection; the successor accepts new ones.
    assert!(caller.receive().is_none());
    let mut caller = JsonLinesConn::connect(address);
    set_up(&mut caller, &mut exchange_at_new, "00000000000000b1");
    // Releases of the predecessor's calls reach it from both sides: from the caller and from the exchange.
    caller.send(r#"{"kind":"stop","uid":"00000000000000a1","meta":{},"reason":16}"#);
    exchange_at_old.expect("stop", "00000000000000a1");
    exchange_at_old.send(r#"{"kind":"stop","uid":"00000000000000a2","meta":{},"reason":16}"#);
    assert_eq!(caller.expect("stop", "00000000000000a2").cause(), 16.0);
    assert!(old.child.wait().expect("wait for the process").success(), "the predecessor exits without calls");
    // The successor serves IAX2 as well, once it has bound the address.
    let iax2 = std::fs::read_to_string(directory.0.join("iax2.json")).expect("read the file");
    let iax2_address =
        Iax2Config::parse(&iax2).expect("valid configuration").expect("address of the IAX2 front").listen;
    let mut iax2_caller = Iax2Endpoint::new(20);
    let new_call = iax2_caller.call(iax2_address, "17");
    iax2_caller.socket.set_read_timeout(Some(Duration::from_millis(50))).expect("set the read time-out");
    let mut attempts = 0;
    while iax2_caller.socket.peek(&mut [0]).is_err() {
        attempts += 1;
        assert!(attempts < 160, "the successor must bind the IAX2 address");
        iax2_caller.send_frame(&new_call);
    }
    iax2_caller.socket.set_read_timeout(Some(Duration::from_secs(8))).expect("set the read time-out");
    let iax2_call = exchange_at_new.receive().expect("a set-up").text("uid");
    exchange_at_new.send(&format!(r#"{{"kind":"running","uid":"{iax2_call}","meta":{{}},"body":""}}"#));
    iax2_caller.expect(FrameType::Iax, iax::ACCEPT);
    set_up(&mut caller, &mut exchange_at_new, "00000000000000b2");
    assert_eq!(operator_request(new.operator_address, "GET /ops/readiness").0, 200);
    // The next successor connects to this process, which continues to serve when that successor dies.
    let next = Program::start(&listener, &directory.0).ready();
    let _exchange_at_next = exchange_at_old.accept_another();
    drop(next);
    let mut again = JsonLinesConn::connect(address);
    set_up(&mut again, &mut exchange_at_new, "00000000000000b3");
}

#[test]
fn a_stale_or_invalid_handover_socket_leads_to_an_ordinary_start() {
    let (listener, directory, exchange, _resolver) = shared_setup("stale");
    let address = listener.local_addr().expect("local address");
    let socket_path = handover::socket_path(&directory.0, address);
    let mut invalid_listener = Some(UnixListener::bind(&socket_path).expect("bind the Unix socket"));
    let mut exchange = Some(exchange);
    let mut last_conn: Option<JsonLinesConn> = None;
    for round in 0..3 {
        let invalid_peer = invalid_listener.take().filter(|_| round == 0).map(|listener| {
            std::thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("accept the successor");
                stream.write_all(b"{\"say\":\"exchange\"}\nnonsense\n").expect("write to the socket");
            })
        });
        if round == 2 {
            // A regular file instead of a socket.
            let _ = std::fs::remove_file(&socket_path);
            std::fs::write(&socket_path, "nonsense").expect("write the file");
        }
        let program = Program::start(&listener, &directory.0);
        let mut exchange_conn = match (exchange.take(), last_conn.take()) {
            (Some(exchange), _) => exchange.accept(),
            (None, Some(mut last_conn)) => {
                last_conn.accept_next();
                last_conn
            }
            (None, None) => unreachable!("one of them is set"),
        };
        let mut caller = JsonLinesConn::connect(address);
        set_up(&mut caller, &mut exchange_conn, "00000000000000c1");
        if let Some(invalid_peer) = invalid_peer {
            invalid_peer.join().expect("thread without a panic");
        }
        last_conn = Some(exchange_conn);
        drop(program);
    }
}
