//! Ids that come again: a call runs once, and every set-up has an id of its own.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid};
use swiftlb::engine::{CallerConnId, CallerMessage, Effect, Front, Input};
use swiftlb::interface::{Outcome, Reason};

/// The connection of another client.
const OTHER_CONN: CallerConnId = 8;

fn place_on(harness: &mut EngineHarness, caller_conn: CallerConnId, call: u64) {
    let setup = harness.new_setup(2, 3_000);
    harness.handle(Input::SetUp { caller_conn, call: call_uid(call), setup });
}

/// Sends the set-up of call 1 again on another connection, `after_ms` from now.
fn send_again(harness: &mut EngineHarness, after_ms: u64) {
    harness.advance(after_ms);
    harness.handle(Input::CallerConnected { caller_conn: OTHER_CONN, front: Front::JsonLines });
    harness.effects.clear();
    place_on(harness, OTHER_CONN, 1);
    harness.advance(600);
}

fn is_turned_away(harness: &EngineHarness) -> bool {
    harness.setup_count(1) == 0
        && harness.caller_messages(1).is_empty()
        && harness.effects.contains(&Effect::CloseCallerConn { caller_conn: OTHER_CONN })
}

/// Guards against a set-up that runs twice: its client left, the attempt was cancelled, and the same id came again, within the
/// release pause and after it (picture c).
#[test]
fn an_id_whose_client_has_left_does_not_run_again() {
    for after_ms in [0, 100, 5_000, 29_000] {
        let mut harness = EngineHarness::new(3);
        harness.place_call(1, 1, 3_000);
        harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
        send_again(&mut harness, after_ms);
        assert!(is_turned_away(&harness), "after {after_ms} ms: {:?}", harness.effects);
    }
}

/// Guards against the same after a call that was served and is over.
#[test]
fn an_id_of_a_call_that_is_over_does_not_run_again() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    send_again(&mut harness, 1_000);
    assert!(is_turned_away(&harness), "{:?}", harness.effects);
}

/// Guards against a second outcome for an id that was refused before.
#[test]
fn an_id_of_a_set_up_that_was_refused_does_not_run() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 60, 3_000);
    assert!(matches!(harness.caller_messages(1)[..], [CallerMessage::Refused { .. }]));
    send_again(&mut harness, 1_000);
    assert!(is_turned_away(&harness), "{:?}", harness.effects);
}

/// Guards against other set-ups that suffer from an id that came again on another connection.
#[test]
fn set_ups_on_other_connections_go_on_when_an_id_comes_again() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    harness.place_call(2, 1, 3_000);
    send_again(&mut harness, 100);
    assert!(is_turned_away(&harness));
    harness.answer(2, 1);
    assert!(matches!(harness.caller_messages(2)[..], [CallerMessage::Answered { .. }]));
}

/// Guards against an invalid set-up under the id of a call that an earlier process has established: the end of that call has
/// to reach its caller all the same.
#[test]
fn an_invalid_set_up_does_not_hide_the_end_of_an_earlier_call_with_its_id() {
    let mut harness = EngineHarness::new(3);
    harness.handle(Input::CallerConnected { caller_conn: OTHER_CONN, front: Front::JsonLines });
    harness.handle(Input::MalformedSetUp { caller_conn: OTHER_CONN, call: call_uid(1) });
    harness.place_call(2, 2, 3_000);
    harness.answer(2, 2);
    harness.effects.clear();
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    assert_eq!(harness.caller_messages(1), [CallerMessage::Released { cut: false }]);
}
