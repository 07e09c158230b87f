//! Tests of the drain that an operator orders, in virtual time and on loopback.

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

fn request(harness: &mut EngineHarness, request: OperatorRequest) {
    harness.handle(Input::OperatorRequest { request_id: 1, request });
}

/// Whether a health check passes now.
fn health_check_passes(harness: &mut EngineHarness) -> bool {
    harness.effects.clear();
    harness.handle(Input::HealthCheck { caller_conn: CALLER_CONN, call: call_uid(99) });
    harness.caller_messages(99) == [CallerMessage::HealthCheckResult { passed: true }]
}

/// Caller connections that the engine has closed since the effects were last cleared.
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
fn the_health_check_fails_as_soon_as_a_drain_begins_and_passes_as_soon_as_it_ends() {
    let mut harness = EngineHarness::new(3);
    assert!(health_check_passes(&mut harness));
    request(&mut harness, OperatorRequest::BeginDrain);
    assert!(!health_check_passes(&mut harness));
    // A second request to begin has no further effect.
    request(&mut harness, OperatorRequest::BeginDrain);
    harness.advance(5_000);
    assert!(!health_check_passes(&mut harness));
    // The process is still ready to serve: readiness does not depend on the drain.
    request(&mut harness, OperatorRequest::Readiness);
    assert!(harness.effects.contains(&Effect::ToOperator { request_id: 1, reply: OperatorReply::Done }));
    request(&mut harness, OperatorRequest::EndDrain);
    assert!(health_check_passes(&mut harness));
    request(&mut harness, OperatorRequest::EndDrain);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.advance(1_000);
    assert!(
        health_check_passes(&mut harness) && !closed(&harness).contains(&CALLER_CONN),
        "no connection is closed any more"
    );
}

#[test]
fn during_a_drain_calls_are_served_and_connections_without_an_open_set_up_are_closed() {
    let mut harness = EngineHarness::new(3);
    request(&mut harness, OperatorRequest::BeginDrain);
    harness.place_call(1, 1, 3_000);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.advance(290);
    assert_eq!(closed(&harness), [0; 0], "callers may still open connections");
    harness.advance(20);
    assert_eq!(closed(&harness), [8], "one with an open set-up is kept");
    harness.effects.clear();
    harness.end_call(1, 1, Outcome::Busy, Reason::UserBusy);
    assert_eq!(harness.caller_messages(1), [CallerMessage::Failed { busy: true }]);
    assert_eq!(closed(&harness), [CALLER_CONN], "closed after the outcome");
}

#[test]
fn a_connection_that_is_used_throughout_a_drain_is_closed_before_4_s() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    request(&mut harness, OperatorRequest::BeginDrain);
    harness.advance(1_500);
    harness.place_call(2, 1, 3_000);
    harness.advance(1_000);
    harness.place_call(3, 1, 3_000);
    harness.advance(1_250);
    assert!(closed(&harness).contains(&CALLER_CONN));
    for call in [2, 3] {
        assert_eq!(
            harness.caller_messages(call),
            [CallerMessage::Failed { busy: false }],
            "one outcome each"
        );
    }
}

#[test]
fn one_connection_is_kept_for_the_releases_of_established_calls_until_shortly_before_4_s() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    let setup = harness.new_setup(1, 3_000);
    harness.handle(Input::SetUp { caller_conn: 8, call: call_uid(2), setup });
    harness.answer(2, 1);
    request(&mut harness, OperatorRequest::BeginDrain);
    harness.advance(320);
    assert_eq!(closed(&harness), [8]);
    harness.handle(Input::CallerDisconnected { caller_conn: 8 });
    harness.advance(3_350);
    assert!(!closed(&harness).contains(&CALLER_CONN));
    harness.end_call(2, 1, Outcome::Completed, Reason::Unspecified);
    assert!(harness.caller_messages(2).contains(&CallerMessage::Released { cut: false }));
    harness.advance(80);
    assert!(closed(&harness).contains(&CALLER_CONN), "it is closed too, before 4 s");
}

#[test]
fn a_release_without_a_caller_connection_is_sent_once_callers_are_back() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    request(&mut harness, OperatorRequest::BeginDrain);
    harness.advance(400);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    harness.advance(15_000);
    harness.effects.clear();
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.handle(Input::HealthCheck { caller_conn: 8, call: call_uid(99) });
    harness.handle(Input::CallerConnected { caller_conn: 10, front: Front::JsonLines });
    harness.advance(1_000);
    assert_eq!(
        harness.caller_messages(1),
        [],
        "not sent on connections with health checks only or without a message"
    );
    request(&mut harness, OperatorRequest::EndDrain);
    harness.advance(200);
    assert_eq!(harness.caller_messages(1), [], "callers are only about to connect");
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

/// Guards against a client that writes a line slowly, or sends health checks without end, and so keeps its connection open beyond
/// the end of a drain (review, `slow-writer`): the harness closes no connection that is only to be closed if it is idle.
#[test]
fn a_drain_closes_a_connection_in_time_whatever_has_begun_to_arrive_on_it() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.handle(Input::HealthCheck { caller_conn: 8, call: call_uid(98) });
    request(&mut harness, OperatorRequest::BeginDrain);
    harness.advance(3_790);
    harness.effects.clear();
    harness.advance(70);
    let unless_unread = Effect::CloseCallerConnUnlessUnread { caller_conn: CALLER_CONN };
    assert!(harness.effects.contains(&unless_unread), "a line that has begun does not count any more");
    harness.handle(Input::HealthCheck { caller_conn: 8, call: call_uid(99) });
    harness.advance(100);
    for caller_conn in [CALLER_CONN, 8] {
        assert!(harness.effects.contains(&Effect::CloseCallerConn { caller_conn }), "{caller_conn}");
    }
}

/// Guards against the same end for set-ups from before: one that arrived before the last 2 s may still be answered.
#[test]
fn a_drain_leaves_an_early_set_up_its_time() {
    let mut harness = EngineHarness::new(3);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    request(&mut harness, OperatorRequest::BeginDrain);
    harness.advance(1_500);
    harness.place_call(1, 1, 3_000);
    harness.advance(2_900);
    assert!(!harness.effects.contains(&Effect::CloseCallerConn { caller_conn: CALLER_CONN }));
    harness.answer(1, 1);
    assert!(matches!(harness.caller_messages(1)[..], [CallerMessage::Answered { .. }]));
}

/// Guards against a drain before a planned restart in which the process takes the repetition of releases that it cannot
/// pass on, and against connections that are missing after the drain.
#[test]
fn without_callers_a_draining_process_opens_no_connection_to_an_exchange_until_the_drain_ends() {
    let mut harness = EngineHarness::new(2);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    request(&mut harness, OperatorRequest::BeginDrain);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    let requested = harness.exchange_conns.len();
    harness.advance(4_000);
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(1) });
    harness.advance(4_000);
    assert_eq!(harness.exchange_conns.len(), requested);
    request(&mut harness, OperatorRequest::EndDrain);
    harness.advance(250);
    assert_eq!(harness.exchange_conns.len(), requested + 1);
}

#[test]
fn on_sockets_a_set_up_in_transit_is_served_and_iax2_calls_are_refused_during_a_drain() {
    let exchange = ListeningExchange::new();
    let softswitch = Softswitch::start(&[exchange.address()], &[]);
    let mut exchange = exchange.accept();
    let iax2_address = softswitch.iax2_address.expect("IAX2 is enabled");
    let (mut caller, mut idle) =
        (JsonLinesConn::connect(softswitch.address), JsonLinesConn::connect(softswitch.address));
    let (mut established, mut late) = (Iax2Endpoint::new(20), Iax2Endpoint::new(30));
    established.call(iax2_address, "17");
    let iax2_uid = exchange.receive().expect("a set-up").text("uid");
    exchange.send(&format!(r#"{{"kind":"running","uid":"{iax2_uid}","meta":{{}},"body":""}}"#));
    established.expect(FrameType::Iax, iax::ACCEPT);
    established.expect(FrameType::Control, control::ANSWER);
    idle.assert_quiet();
    assert_eq!(softswitch.operator_request("PUT /ops/drain/start").0, 200);
    // A connection with half a set-up is kept. When the rest arrives, the call is served and the connection is closed.
    let setup = launch_line("00000000000000aa", 1, 3_000);
    caller.send_raw(&setup.as_bytes()[..40]);
    assert!(idle.receive().is_none());
    caller.send_raw(format!("{}\n", &setup[40..]).as_bytes());
    exchange.expect("launch", "00000000000000aa");
    exchange.send(r#"{"kind":"stop","uid":"00000000000000aa","meta":{"note":"user_busy"},"reason":17}"#);
    caller.expect("stop", "00000000000000aa");
    assert!(caller.receive().is_none());
    late.call(iax2_address, "17");
    assert_eq!(late.expect(FrameType::Iax, iax::REJECT).cause_code, Some(34));
    exchange.send(&format!(r#"{{"kind":"stop","uid":"{iax2_uid}","meta":{{}},"reason":16}}"#));
    assert_eq!(established.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
    assert_eq!(softswitch.operator_request("PUT /ops/drain/stop").0, 200);
    JsonLinesConn::connect(softswitch.address).assert_quiet();
    let mut next = Iax2Endpoint::new(40);
    next.call(iax2_address, "17");
    assert_eq!(exchange.receive().expect("a set-up").text("kind"), "launch");
}
