//! Releases towards callers while strangers are connected.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid};
use swiftlb::engine::{CallerConnId, CallerMessage, Effect, Front, Input};
use swiftlb::interface::{Outcome, Reason};

/// The first of the connections of strangers.
const STRANGERS: CallerConnId = 100;
/// The connection on which the caller comes back.
const NEXT_CONN: CallerConnId = 8;

fn connect(harness: &mut EngineHarness, caller_conn: CallerConnId) {
    harness.handle(Input::CallerConnected { caller_conn, front: Front::JsonLines });
}

fn place_call(harness: &mut EngineHarness, caller_conn: CallerConnId, call: u64, dest: u32) {
    let setup = harness.new_setup(dest, 3_000);
    harness.handle(Input::SetUp { caller_conn, call: call_uid(call), setup });
}

/// The connections on which the release of a call was sent.
fn released_on(harness: &EngineHarness, call: u64) -> Vec<CallerConnId> {
    let releases = harness.effects.iter().filter_map(|effect| match effect {
        Effect::ToCaller { caller_conn, call: c, message: CallerMessage::Released { .. } }
            if *c == call_uid(call) =>
        {
            Some(*caller_conn)
        }
        _ => None,
    });
    releases.collect()
}

/// A call stands, its caller has no connection, and the call ends.
fn with_ended_call() -> EngineHarness {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    harness
}

/// The caller is back and places a call that is served.
fn caller_is_served(harness: &mut EngineHarness) {
    connect(harness, NEXT_CONN);
    place_call(harness, NEXT_CONN, 2, 2);
    harness.answer(2, 2);
}

/// Guards against a crowd that connects and says nothing and displaces a caller whose calls stand (review case 8).
#[test]
fn a_crowd_of_new_connections_does_not_displace_a_caller_with_established_calls() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    for stranger in 0..2_000 {
        connect(&mut harness, STRANGERS + stranger);
    }
    assert!(!harness.effects.contains(&Effect::CloseCallerConn { caller_conn: CALLER_CONN }));
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    assert_eq!(released_on(&harness, 1), [CALLER_CONN]);
}

/// Guards against a release that a stranger got, counted as delivered, and its caller never did (review case 8).
#[test]
fn a_release_that_went_to_a_silent_connection_is_sent_again_to_the_caller_that_is_served() {
    let mut harness = with_ended_call();
    connect(&mut harness, STRANGERS);
    harness.advance(600);
    assert_eq!(released_on(&harness, 1), [STRANGERS], "it might be the caller's");
    harness.advance(5_000);
    caller_is_served(&mut harness);
    assert_eq!(released_on(&harness, 1), [STRANGERS, NEXT_CONN]);
    place_call(&mut harness, NEXT_CONN, 3, 2);
    harness.answer(3, 2);
    assert_eq!(released_on(&harness, 1).len(), 2, "once for each connection");
}

/// Guards against the same with a bad client that places set-ups which are turned away.
#[test]
fn a_release_that_went_to_a_client_that_was_never_served_is_sent_again_to_the_caller_that_is() {
    let mut harness = with_ended_call();
    connect(&mut harness, STRANGERS);
    place_call(&mut harness, STRANGERS, 66, 60);
    assert_eq!(released_on(&harness, 1), [STRANGERS]);
    caller_is_served(&mut harness);
    assert_eq!(released_on(&harness, 1), [STRANGERS, NEXT_CONN]);
}

/// Guards against a client that sends only what is invalid, or hang-ups of unknown calls, being taken for a caller.
#[test]
fn a_release_is_not_sent_at_once_to_a_client_without_a_valid_set_up() {
    let mut harness = with_ended_call();
    connect(&mut harness, STRANGERS);
    harness.handle(Input::MalformedSetUp { caller_conn: STRANGERS, call: call_uid(66) });
    harness.handle(Input::HangUp { caller_conn: STRANGERS, call: call_uid(67), cause: 16 });
    assert!(released_on(&harness, 1).is_empty());
    caller_is_served(&mut harness);
    assert_eq!(released_on(&harness, 1), [NEXT_CONN]);
}

/// Guards against a repetition to the same caller: its own connection is the one that is served later.
#[test]
fn a_release_that_its_caller_got_before_it_was_served_is_not_sent_again() {
    let mut harness = with_ended_call();
    connect(&mut harness, NEXT_CONN);
    place_call(&mut harness, NEXT_CONN, 2, 2);
    assert_eq!(released_on(&harness, 1), [NEXT_CONN]);
    harness.answer(2, 2);
    assert_eq!(released_on(&harness, 1), [NEXT_CONN]);
}

/// Guards against releases that are dropped after a fixed time although nobody was there to hear them.
#[test]
fn a_release_waits_for_a_caller_that_is_away_for_a_minute() {
    let mut harness = with_ended_call();
    harness.advance(60_000);
    caller_is_served(&mut harness);
    assert_eq!(released_on(&harness, 1), [NEXT_CONN]);
}
