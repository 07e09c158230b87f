//! Calls from before both processes of a replacement, in virtual time: their ends and hang-ups.

#[path = "common/engine_harness.rs"]
mod engine_harness;
#[path = "common/sibling_harness.rs"]
mod sibling_harness;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid};
use sibling_harness::{deliver_until_quiet, serving_successor};
use swiftlb::engine::{CallerMessage, Effect, ExchangeMessage, Input, SiblingMessage};
use swiftlb::interface::{Outcome, Reason};

const ENDED: CallerMessage = CallerMessage::Released { cut: false };
/// A call that was established before both processes were started.
const EARLIER_CALL: u64 = 77;

/// Two processes; callers are connected to the old one only, where calls were served.
fn callers_at_the_old_process() -> (EngineHarness, EngineHarness) {
    let mut old = EngineHarness::new(3);
    old.place_call(1, 1, 3_000);
    old.answer(1, 1);
    let mut new = serving_successor(&mut old);
    new.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    deliver_until_quiet(&mut old, &mut new);
    (old, new)
}

/// Guards against the end of an earlier call that waits in the process without callers (review, `orphans`), whichever process
/// hears of it.
#[test]
fn the_end_of_an_earlier_call_is_passed_on_by_the_process_that_has_callers() {
    for heard_by_old in [true, false] {
        let (mut old, mut new) = callers_at_the_old_process();
        let hears = if heard_by_old { &mut old } else { &mut new };
        hears.end_call(EARLIER_CALL, 2, Outcome::Completed, Reason::Unspecified);
        deliver_until_quiet(&mut old, &mut new);
        assert_eq!(old.caller_messages(EARLIER_CALL), [ENDED], "heard by the old process: {heard_by_old}");
        assert!(new.caller_messages(EARLIER_CALL).is_empty());
        // The exchange repeats it to the other one.
        for process in [&mut old, &mut new] {
            process.end_call(EARLIER_CALL, 1, Outcome::Completed, Reason::Unspecified);
        }
        deliver_until_quiet(&mut old, &mut new);
        assert_eq!(old.caller_messages(EARLIER_CALL).len(), 1, "told once");
    }
}

/// Guards against a release that the two processes send to each other without end when the last caller leaves.
#[test]
fn a_release_waits_in_the_successor_when_no_process_has_callers() {
    let (mut old, mut new) = callers_at_the_old_process();
    old.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    new.end_call(EARLIER_CALL, 2, Outcome::Completed, Reason::Unspecified);
    let messages = deliver_until_quiet(&mut old, &mut new);
    assert!(messages < 10, "{messages} messages");
    old.advance(1_000);
    new.advance(1_000);
    deliver_until_quiet(&mut old, &mut new);
    new.handle(Input::SiblingDisconnected);
    new.handle(Input::CallerConnected { caller_conn: 9, front: swiftlb::engine::Front::JsonLines });
    let setup = new.new_setup(2, 3_000);
    new.handle(Input::SetUp { caller_conn: 9, call: call_uid(2), setup });
    assert_eq!(new.caller_messages(EARLIER_CALL), [ENDED]);
}

/// Guards against the hang-up of an earlier call that is dropped because neither process knows it (review, `orphans`).
#[test]
fn the_hang_up_of_an_earlier_call_reaches_the_exchanges() {
    for at_old in [true, false] {
        let (mut old, mut new) = callers_at_the_old_process();
        new.handle(Input::CallerConnected {
            caller_conn: CALLER_CONN,
            front: swiftlb::engine::Front::JsonLines,
        });
        let hears = if at_old { &mut old } else { &mut new };
        hears.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(EARLIER_CALL), cause: 16 });
        deliver_until_quiet(&mut old, &mut new);
        let sent = |process: &EngineHarness| {
            let is_release = |effect: &&Effect| {
                matches!(effect, Effect::ToExchange { call, message: ExchangeMessage::Release { .. }, .. }
                    if *call == call_uid(EARLIER_CALL))
            };
            process.effects.iter().filter(is_release).count()
        };
        assert_eq!(sent(&old) + sent(&new), 2, "to each exchange once; at the old process: {at_old}");
    }
}

/// Guards against a message that a sibling of the first release does not know.
#[test]
fn a_sibling_of_the_first_release_is_not_told_of_callers() {
    let mut old = EngineHarness::new(3);
    old.handle(Input::SiblingMessage(SiblingMessage::HandoverRequest { version: 1 }));
    old.effects.clear();
    old.place_call(1, 1, 3_000);
    assert!(!old.effects.iter().any(|effect| matches!(effect, Effect::ToSibling(_))));
}
