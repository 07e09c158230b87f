//! An operator's drain and a replacement of the process, in either order and in virtual time: the two processes are one
//! softswitch.

#[path = "common/engine_harness.rs"]
mod engine_harness;
#[path = "common/sibling_harness.rs"]
mod sibling_harness;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid};
use sibling_harness::{deliver, serving_successor, successor, take_sibling_messages};
use swiftlb::engine::{CallerMessage, Effect, Front, Input, SiblingMessage};
use swiftlb::ops::OperatorRequest;

fn operator(harness: &mut EngineHarness, request: OperatorRequest) {
    harness.handle(Input::OperatorRequest { request_id: 1, request });
}

/// Whether the process answers a health check with yes.
fn passes_health_check(harness: &mut EngineHarness) -> bool {
    harness.effects.clear();
    harness.handle(Input::CallerConnected { caller_conn: 9, front: Front::JsonLines });
    harness.handle(Input::HealthCheck { caller_conn: 9, call: call_uid(99) });
    harness.handle(Input::CallerDisconnected { caller_conn: 9 });
    harness.caller_messages(99) == [CallerMessage::HealthCheckResult { passed: true }]
}

/// Whether the process closes its caller's connection: if it is idle, or at the end of a drain in any case.
fn closes_callers(harness: &EngineHarness) -> bool {
    [
        Effect::CloseCallerConnIfIdle { caller_conn: CALLER_CONN },
        Effect::CloseCallerConn { caller_conn: CALLER_CONN },
    ]
    .iter()
    .any(|close| harness.effects.contains(close))
}

/// Guards against a successor that forgets the drain of its predecessor (review case 10, first scene).
#[test]
fn a_successor_continues_the_drain_of_its_predecessor() {
    let mut old = EngineHarness::new(3);
    operator(&mut old, OperatorRequest::BeginDrain);
    old.advance(1_000);
    let mut new = serving_successor(&mut old);
    assert!(!passes_health_check(&mut new));
    old.handle(Input::Stop);
    new.handle(Input::SiblingDisconnected);
    new.advance(5_000);
    assert!(!passes_health_check(&mut new), "nobody has ended the drain");
    new.handle(Input::CallerConnected { caller_conn: CALLER_CONN, front: Front::JsonLines });
    new.effects.clear();
    new.advance(400);
    assert!(closes_callers(&new));
    operator(&mut new, OperatorRequest::EndDrain);
    assert!(passes_health_check(&mut new));
}

/// Guards against a drain that is known only to the process at whose door it was ordered (review case 10, second scene).
#[test]
fn a_drain_that_is_ordered_at_one_process_is_kept_by_both() {
    let mut old = EngineHarness::new(3);
    let mut new = serving_successor(&mut old);
    old.effects.clear();
    operator(&mut new, OperatorRequest::BeginDrain);
    deliver(&mut new, &mut old);
    old.advance(400);
    assert!(closes_callers(&old) && !passes_health_check(&mut old));
    operator(&mut new, OperatorRequest::EndDrain);
    deliver(&mut new, &mut old);
    assert!(passes_health_check(&mut old) && passes_health_check(&mut new));
    operator(&mut old, OperatorRequest::BeginDrain);
    deliver(&mut old, &mut new);
    assert!(!passes_health_check(&mut new), "the order may reach the other door as well");
}

/// Guards against an order that arrives between the handover and the first second of the successor.
#[test]
fn a_drain_that_is_ordered_before_the_successor_serves_is_kept_by_both() {
    let mut old = EngineHarness::new(3);
    let mut new = successor(&mut old);
    operator(&mut old, OperatorRequest::BeginDrain);
    deliver(&mut old, &mut new);
    assert!(!passes_health_check(&mut new));
    operator(&mut old, OperatorRequest::EndDrain);
    deliver(&mut old, &mut new);
    assert!(passes_health_check(&mut new));
}

/// Guards against a message that a sibling of an earlier release does not know, and takes for an error of the connection.
#[test]
fn a_sibling_of_the_first_release_is_not_told_of_a_drain() {
    let mut old = EngineHarness::new(3);
    operator(&mut old, OperatorRequest::BeginDrain);
    old.effects.clear();
    old.handle(Input::SiblingMessage(SiblingMessage::HandoverRequest { version: 1 }));
    let is_drain = |message: &SiblingMessage| matches!(message, SiblingMessage::Drain { .. });
    assert!(!take_sibling_messages(&mut old).iter().any(is_drain));
    operator(&mut old, OperatorRequest::EndDrain);
    assert!(take_sibling_messages(&mut old).is_empty());
}
