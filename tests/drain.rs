//! Sending callers away at an operator's order, in virtual time and on loopback.

#[path = "common/endpoints.rs"]
mod endpoints;
#[path = "common/engine_harness.rs"]
mod engine_harness;

use endpoints::{Iax2Endpoint, JsonLinesConn, ListeningExchange, Softswitch, launch_line};
use engine_harness::{CALLER_CONN, EngineHarness, call_uid};
use swiftlb::engine::{CallerMessage, Effect, Front, Input};
use swiftlb::iax2::frame::{FrameType, control, iax};
use swiftlb::interface::{Outcome, Reason};
use swiftlb::ops::{OperatorReply, OperatorRequest};

fn order(harness: &mut EngineHarness, request: OperatorRequest) {
    harness.handle(Input::OperatorRequest { request_id: 1, request });
}

/// What the front's test says now.
fn takes_work(harness: &mut EngineHarness) -> bool {
    harness.effects.clear();
    harness.handle(Input::HealthCheck { caller_conn: CALLER_CONN, call: call_uid(99) });
    harness.caller_messages(99) == [CallerMessage::HealthCheckResult { passed: true }]
}

/// Ways to callers that were to be closed since it was last looked at.
fn closed(harness: &EngineHarness) -> Vec<u64> {
    let closed = harness.effects.iter().filter_map(|effect| match effect {
        Effect::CloseCallerConnIfIdle { caller_conn } | Effect::CloseCallerConn { caller_conn } => {
            Some(*caller_conn)
        }
        _ => None,
    });
    closed.collect()
}

#[test]
fn the_test_fails_at_once_and_passes_again_at_once() {
    let mut harness = EngineHarness::new(3);
    assert!(takes_work(&mut harness));
    order(&mut harness, OperatorRequest::DrainStart);
    assert!(!takes_work(&mut harness));
    // A second order is as good as one.
    order(&mut harness, OperatorRequest::DrainStart);
    harness.advance(5_000);
    assert!(!takes_work(&mut harness));
    // The process still can serve, which is another question.
    order(&mut harness, OperatorRequest::Readiness);
    assert!(harness.effects.contains(&Effect::ToOperator { request_id: 1, reply: OperatorReply::Done }));
    order(&mut harness, OperatorRequest::DrainStop);
    assert!(takes_work(&mut harness));
    order(&mut harness, OperatorRequest::DrainStop);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.advance(1_000);
    assert!(
        takes_work(&mut harness) && !closed(&harness).contains(&CALLER_CONN),
        "nobody is sent away any more"
    );
}

#[test]
fn a_connection_is_closed_once_nothing_is_open_on_it_and_calls_are_served_meanwhile() {
    let mut harness = EngineHarness::new(3);
    order(&mut harness, OperatorRequest::DrainStart);
    harness.place_call(1, 1, 3_000);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.advance(290);
    assert_eq!(closed(&harness), [0; 0], "the front may still be sending");
    harness.advance(20);
    assert_eq!(closed(&harness), [8], "one with an open set-up stays");
    harness.effects.clear();
    harness.end_call(1, 1, Outcome::Busy, Reason::UserBusy);
    assert_eq!(harness.caller_messages(1), [CallerMessage::Failed { busy: true }]);
    assert_eq!(closed(&harness), [CALLER_CONN], "closed behind its answer");
}

#[test]
fn a_connection_that_goes_on_being_used_is_emptied_in_time() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    order(&mut harness, OperatorRequest::DrainStart);
    harness.advance(1_500);
    harness.place_call(2, 1, 3_000);
    harness.advance(1_000);
    harness.place_call(3, 1, 3_000);
    harness.advance(1_250);
    assert!(closed(&harness).contains(&CALLER_CONN));
    for call in [2, 3] {
        assert_eq!(harness.caller_messages(call), [CallerMessage::Failed { busy: false }], "one answer each");
    }
}

#[test]
fn one_connection_is_kept_for_the_ends_of_calls_that_stand_while_that_is_allowed() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    let setup = harness.new_setup(1, 3_000);
    harness.handle(Input::SetUp { caller_conn: 8, call: call_uid(2), setup });
    harness.answer(2, 1);
    order(&mut harness, OperatorRequest::DrainStart);
    harness.advance(320);
    assert_eq!(closed(&harness), [8]);
    harness.handle(Input::CallerDisconnected { caller_conn: 8 });
    harness.advance(3_350);
    assert!(!closed(&harness).contains(&CALLER_CONN));
    harness.end_call(2, 1, Outcome::Completed, Reason::Unspecified);
    assert!(harness.caller_messages(2).contains(&CallerMessage::Released { cut: false }));
    harness.advance(80);
    assert!(closed(&harness).contains(&CALLER_CONN), "well before 4 s it goes too");
}

#[test]
fn a_call_that_stands_is_released_whenever_a_way_comes() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    order(&mut harness, OperatorRequest::DrainStart);
    harness.advance(400);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    harness.advance(15_000);
    harness.effects.clear();
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.handle(Input::HealthCheck { caller_conn: 8, call: call_uid(99) });
    harness.handle(Input::CallerConnected { caller_conn: 10, front: Front::JsonLines });
    harness.advance(1_000);
    assert_eq!(harness.caller_messages(1), [], "whoever only tests or says nothing does not read it");
    order(&mut harness, OperatorRequest::DrainStop);
    harness.advance(200);
    assert_eq!(harness.caller_messages(1), [], "callers are on their way back");
    harness.handle(Input::CallerConnected { caller_conn: 9, front: Front::JsonLines });
    let setup = harness.new_setup(1, 3_000);
    harness.handle(Input::SetUp { caller_conn: 9, call: call_uid(2), setup });
    let released = Effect::ToCaller {
        caller_conn: 9,
        call: call_uid(1),
        message: CallerMessage::Released { cut: false },
    };
    assert!(harness.effects.contains(&released));
}

#[test]
fn on_sockets_bytes_that_crossed_are_served_and_handsets_are_told_themselves() {
    let exchange = ListeningExchange::new();
    let switch = Softswitch::start(&[exchange.address()], &[]);
    let mut exchange = exchange.accept();
    let handsets = switch.iax2_address.expect("it is on");
    let (mut caller, mut idle) =
        (JsonLinesConn::connect(switch.address), JsonLinesConn::connect(switch.address));
    let (mut standing, mut late) = (Iax2Endpoint::new(20), Iax2Endpoint::new(30));
    standing.call(handsets, "17");
    let handset = exchange.receive().expect("a set-up").text("uid");
    exchange.send(&format!(r#"{{"kind":"running","uid":"{handset}","meta":{{}},"body":""}}"#));
    standing.expect(FrameType::Iax, iax::ACCEPT);
    standing.expect(FrameType::Control, control::ANSWER);
    idle.assert_quiet();
    assert_eq!(switch.operator_request("PUT /ops/drain/start").0, 200);
    // Half a set-up keeps its connection; the whole of it is served, and then the connection is closed.
    let setup = launch_line("00000000000000aa", 1, 3_000);
    caller.send_raw(&setup.as_bytes()[..40]);
    assert!(idle.receive().is_none());
    caller.send_raw(format!("{}\n", &setup[40..]).as_bytes());
    exchange.expect("launch", "00000000000000aa");
    exchange.send(r#"{"kind":"stop","uid":"00000000000000aa","meta":{"note":"user_busy"},"reason":17}"#);
    caller.expect("stop", "00000000000000aa");
    assert!(caller.receive().is_none());
    late.call(handsets, "17");
    assert_eq!(late.expect(FrameType::Iax, iax::REJECT).cause_code, Some(34));
    exchange.send(&format!(r#"{{"kind":"stop","uid":"{handset}","meta":{{}},"reason":16}}"#));
    assert_eq!(standing.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
    assert_eq!(switch.operator_request("PUT /ops/drain/stop").0, 200);
    JsonLinesConn::connect(switch.address).assert_quiet();
    let mut phone = Iax2Endpoint::new(40);
    phone.call(handsets, "17");
    assert_eq!(exchange.receive().expect("a set-up").text("kind"), "launch");
}
