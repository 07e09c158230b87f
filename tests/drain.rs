//! Sending callers away at an operator's order, in virtual time and on loopback.

#[path = "common/desk.rs"]
mod desk;
#[path = "common/peers.rs"]
mod peers;

use desk::{Desk, LINK, name};
use peers::{Exchange, Lines, Phone, Switch, launch};
use swiftlb::engine::{CallerMessage, Effect, Front, Input};
use swiftlb::iax2::frame::{FrameType, control, iax};
use swiftlb::interface::{Outcome, Reason};
use swiftlb::ops::{OperatorReply, OperatorRequest};

fn order(desk: &mut Desk, request: OperatorRequest) {
    desk.put(Input::OperatorRequest { request_id: 1, request });
}

/// What the front's test says now.
fn takes_work(desk: &mut Desk) -> bool {
    desk.seen.clear();
    desk.put(Input::HealthCheck { caller_conn: LINK, call: name(99) });
    desk.told(99) == [CallerMessage::HealthCheckResult { passed: true }]
}

/// Ways to callers that were to be closed since it was last looked at.
fn closed(desk: &Desk) -> Vec<u64> {
    let closed = desk.seen.iter().filter_map(|effect| match effect {
        Effect::CloseCallerConnIfIdle { caller_conn } | Effect::CloseCallerConn { caller_conn } => {
            Some(*caller_conn)
        }
        _ => None,
    });
    closed.collect()
}

#[test]
fn the_test_fails_at_once_and_passes_again_at_once() {
    let mut desk = Desk::new(3);
    assert!(takes_work(&mut desk));
    order(&mut desk, OperatorRequest::DrainStart);
    assert!(!takes_work(&mut desk));
    // A second order is as good as one.
    order(&mut desk, OperatorRequest::DrainStart);
    desk.pass(5_000);
    assert!(!takes_work(&mut desk));
    // The process still can serve, which is another question.
    order(&mut desk, OperatorRequest::Readiness);
    assert!(desk.seen.contains(&Effect::ToOperator { request_id: 1, reply: OperatorReply::Done }));
    order(&mut desk, OperatorRequest::DrainStop);
    assert!(takes_work(&mut desk));
    order(&mut desk, OperatorRequest::DrainStop);
    desk.put(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    desk.call(1, 1, 3_000);
    desk.answer(1, 1);
    desk.pass(1_000);
    assert!(takes_work(&mut desk) && !closed(&desk).contains(&LINK), "nobody is sent away any more");
}

#[test]
fn a_connection_is_closed_once_nothing_is_open_on_it_and_calls_are_served_meanwhile() {
    let mut desk = Desk::new(3);
    order(&mut desk, OperatorRequest::DrainStart);
    desk.call(1, 1, 3_000);
    desk.put(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    desk.pass(290);
    assert_eq!(closed(&desk), [0; 0], "the front may still be sending");
    desk.pass(20);
    assert_eq!(closed(&desk), [8], "one with an open set-up stays");
    desk.seen.clear();
    desk.end(1, 1, Outcome::Busy, Reason::UserBusy);
    assert_eq!(desk.told(1), [CallerMessage::Failed { busy: true }]);
    assert_eq!(closed(&desk), [LINK], "closed behind its answer");
}

#[test]
fn a_connection_that_goes_on_being_used_is_emptied_in_time() {
    let mut desk = Desk::new(3);
    desk.call(1, 1, 3_000);
    order(&mut desk, OperatorRequest::DrainStart);
    desk.pass(1_500);
    desk.call(2, 1, 3_000);
    desk.pass(1_000);
    desk.call(3, 1, 3_000);
    desk.pass(1_250);
    assert!(closed(&desk).contains(&LINK));
    for call in [2, 3] {
        assert_eq!(desk.told(call), [CallerMessage::Failed { busy: false }], "one answer each");
    }
}

#[test]
fn one_connection_is_kept_for_the_ends_of_calls_that_stand_while_that_is_allowed() {
    let mut desk = Desk::new(3);
    desk.call(1, 1, 3_000);
    desk.answer(1, 1);
    desk.put(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    let setup = desk.setup(1, 3_000);
    desk.put(Input::SetUp { caller_conn: 8, call: name(2), setup });
    desk.answer(2, 1);
    order(&mut desk, OperatorRequest::DrainStart);
    desk.pass(320);
    assert_eq!(closed(&desk), [8]);
    desk.put(Input::CallerDisconnected { caller_conn: 8 });
    desk.pass(3_350);
    assert!(!closed(&desk).contains(&LINK));
    desk.end(2, 1, Outcome::Completed, Reason::Unspecified);
    assert!(desk.told(2).contains(&CallerMessage::Released { cut: false }));
    desk.pass(80);
    assert!(closed(&desk).contains(&LINK), "well before 4 s it goes too");
}

#[test]
fn a_call_that_stands_is_released_whenever_a_way_comes() {
    let mut desk = Desk::new(3);
    desk.call(1, 1, 3_000);
    desk.answer(1, 1);
    order(&mut desk, OperatorRequest::DrainStart);
    desk.pass(400);
    desk.put(Input::CallerDisconnected { caller_conn: LINK });
    desk.end(1, 1, Outcome::Completed, Reason::Unspecified);
    desk.pass(15_000);
    desk.seen.clear();
    desk.put(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    desk.put(Input::HealthCheck { caller_conn: 8, call: name(99) });
    desk.put(Input::CallerConnected { caller_conn: 10, front: Front::JsonLines });
    desk.pass(1_000);
    assert_eq!(desk.told(1), [], "whoever only tests or says nothing does not read it");
    order(&mut desk, OperatorRequest::DrainStop);
    desk.pass(200);
    assert_eq!(desk.told(1), [], "callers are on their way back");
    desk.put(Input::CallerConnected { caller_conn: 9, front: Front::JsonLines });
    let setup = desk.setup(1, 3_000);
    desk.put(Input::SetUp { caller_conn: 9, call: name(2), setup });
    let released =
        Effect::ToCaller { caller_conn: 9, call: name(1), message: CallerMessage::Released { cut: false } };
    assert!(desk.seen.contains(&released));
}

#[test]
fn on_sockets_bytes_that_crossed_are_served_and_handsets_are_told_themselves() {
    let exchange = Exchange::new();
    let switch = Switch::start(&[exchange.address()], &[]);
    let mut exchange = exchange.accept();
    let handsets = switch.handsets.expect("it is on");
    let (mut caller, mut idle) = (Lines::connect(switch.address), Lines::connect(switch.address));
    let (mut standing, mut late) = (Phone::new(20), Phone::new(30));
    standing.call(handsets, "17");
    let handset = exchange.next().expect("a set-up").text("uid");
    exchange.send(&format!(r#"{{"kind":"running","uid":"{handset}","meta":{{}},"body":""}}"#));
    standing.expect(FrameType::Iax, iax::ACCEPT);
    standing.expect(FrameType::Control, control::ANSWER);
    idle.quiet();
    assert_eq!(switch.ask("PUT /ops/drain/start").0, 200);
    // Half a set-up keeps its connection; the whole of it is served, and then the connection is closed.
    let setup = launch("00000000000000aa", 1, 3_000);
    caller.pour(&setup.as_bytes()[..40]);
    assert!(idle.next().is_none());
    caller.pour(format!("{}\n", &setup[40..]).as_bytes());
    exchange.expect("launch", "00000000000000aa");
    exchange.send(r#"{"kind":"stop","uid":"00000000000000aa","meta":{"note":"user_busy"},"reason":17}"#);
    caller.expect("stop", "00000000000000aa");
    assert!(caller.next().is_none());
    late.call(handsets, "17");
    assert_eq!(late.expect(FrameType::Iax, iax::REJECT).cause_code, Some(34));
    exchange.send(&format!(r#"{{"kind":"stop","uid":"{handset}","meta":{{}},"reason":16}}"#));
    assert_eq!(standing.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
    assert_eq!(switch.ask("PUT /ops/drain/stop").0, 200);
    Lines::connect(switch.address).quiet();
    let mut phone = Phone::new(40);
    phone.call(handsets, "17");
    assert_eq!(exchange.next().expect("a set-up").text("kind"), "launch");
}
