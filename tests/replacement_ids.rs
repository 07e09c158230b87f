//! Call ids while one process replaces another, in virtual time: an id has one owner across both.

#[path = "common/engine_harness.rs"]
mod engine_harness;
#[path = "common/sibling_harness.rs"]
mod sibling_harness;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid};
use sibling_harness::{deliver, deliver_until_quiet, serving_successor, take_sibling_messages};
use swiftlb::engine::{CallerMessage, Effect, Input, SiblingMessage};
use swiftlb::interface::{Outcome, Reason};

/// The longest time that a set-up may wait for the other process.
const LONGEST_WAIT_MS: u64 = 50;

/// The two processes of a replacement, after all messages between them have arrived.
fn two_processes() -> (EngineHarness, EngineHarness) {
    let mut old = EngineHarness::new(3);
    let new = with_successor(&mut old);
    (old, new)
}

fn with_successor(old: &mut EngineHarness) -> EngineHarness {
    let mut new = serving_successor(old);
    new.effects.clear();
    deliver(old, &mut new);
    old.effects.clear();
    new
}

fn closes_its_caller(harness: &EngineHarness) -> bool {
    harness.effects.contains(&Effect::CloseCallerConn { caller_conn: CALLER_CONN })
}

/// Guards against an id that is open in one process and runs in the other as well, with another description (review case 7),
/// in both orders.
#[test]
fn an_id_that_is_open_in_one_process_does_not_run_in_the_other() {
    for old_first in [true, false] {
        let (mut old, mut new) = two_processes();
        let (owner, other) = if old_first { (&mut old, &mut new) } else { (&mut new, &mut old) };
        owner.place_call(1, 1, 3_000);
        deliver_until_quiet(owner, other);
        assert_eq!(owner.setup_count(1), 1);
        other.place_call(1, 2, 3_000);
        deliver_until_quiet(owner, other);
        assert!(closes_its_caller(other) && other.caller_messages(1).is_empty());
        owner.advance(200);
        other.advance(200);
        assert_eq!(other.setup_count(1), 0);
        owner.answer(1, 1);
        assert!(matches!(owner.caller_messages(1)[..], [CallerMessage::Answered { .. }]));
    }
}

/// Guards against an id that was open before the successor served, when the predecessor knows no claim.
#[test]
fn an_id_from_before_the_replacement_does_not_run_in_the_successor() {
    let mut old = EngineHarness::new(3);
    old.place_call(1, 1, 3_000);
    let mut new = with_successor(&mut old);
    new.place_call(1, 2, 3_000);
    deliver_until_quiet(&mut old, &mut new);
    new.advance(200);
    assert!(closes_its_caller(&new) && new.setup_count(1) == 0);
}

/// Guards against two attempts when both processes get the same id at the same time.
#[test]
fn of_two_set_ups_under_one_id_at_the_same_time_only_that_of_the_predecessor_runs() {
    let (mut old, mut new) = two_processes();
    old.place_call(1, 1, 3_000);
    new.place_call(1, 2, 3_000);
    deliver_until_quiet(&mut old, &mut new);
    old.advance(200);
    new.advance(200);
    assert_eq!((old.setup_count(1), new.setup_count(1)), (1, 0));
    assert!(closes_its_caller(&new) && !closes_its_caller(&old));
}

/// Guards against an id that comes again at the other process after its client has left, or after its call (picture c).
#[test]
fn an_id_that_is_over_in_one_process_does_not_run_in_the_other_also_after_the_end_of_the_first() {
    for predecessor_ends in [false, true] {
        let mut old = EngineHarness::new(3);
        old.place_call(1, 1, 3_000);
        old.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
        old.place_call(2, 1, 3_000);
        old.answer(2, 1);
        old.end_call(2, 1, Outcome::Completed, Reason::Unspecified);
        let mut new = with_successor(&mut old);
        if predecessor_ends {
            new.handle(Input::SiblingDisconnected);
        }
        for call in [1, 2] {
            new.effects.clear();
            new.handle(Input::CallerConnected {
                caller_conn: CALLER_CONN,
                front: swiftlb::engine::Front::JsonLines,
            });
            new.place_call(call, 2, 3_000);
            deliver_until_quiet(&mut old, &mut new);
            new.advance(200);
            assert!(closes_its_caller(&new) && new.setup_count(call) == 0, "call {call}");
        }
    }
}

/// Guards against set-ups that wait for a process that is stopped or slow; and against a wait for each of them.
#[test]
fn a_set_up_does_not_wait_long_for_a_process_that_does_not_reply() {
    let (_old, mut new) = two_processes();
    new.place_call(1, 1, 3_000);
    assert_eq!(new.setup_count(1), 0, "it waits for the reply");
    new.advance(LONGEST_WAIT_MS);
    assert_eq!(new.setup_count(1), 1);
    new.place_call(2, 1, 3_000);
    assert_eq!(new.setup_count(2), 1, "the other process is known to be late");
    new.handle(Input::SiblingMessage(SiblingMessage::ClaimReply { call: call_uid(1), granted: true }));
    new.place_call(3, 1, 3_000);
    assert_eq!(new.setup_count(3), 0, "it replies again");
}

/// Guards against claims that add up towards a process that does not read them.
#[test]
fn claims_towards_a_process_that_does_not_reply_are_bounded() {
    let (_old, mut new) = two_processes();
    for call in 0..5_000 {
        new.place_call(1_000 + call, 60, 3_000);
        new.advance(1);
    }
    let messages = take_sibling_messages(&mut new);
    let claims = messages.iter().filter(|message| matches!(message, SiblingMessage::Claim { .. })).count();
    assert!(claims <= 1_000, "{claims}");
    new.place_call(1, 1, 3_000);
    assert_eq!(new.setup_count(1), 1);
}

/// Guards against set-ups that wait for a process that has died.
#[test]
fn a_set_up_that_waits_goes_on_when_the_other_process_dies() {
    let (_old, mut new) = two_processes();
    new.place_call(1, 1, 3_000);
    new.handle(Input::SiblingDisconnected);
    assert_eq!(new.setup_count(1), 1);
}

/// Guards against set-ups that are sent on although their caller has given them up, or has left, while they waited.
#[test]
fn a_set_up_whose_caller_gives_up_while_it_waits_is_not_sent() {
    let (mut old, mut new) = two_processes();
    new.place_call(1, 1, 3_000);
    new.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    new.place_call(2, 1, 3_000);
    new.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    deliver_until_quiet(&mut new, &mut old);
    new.advance(200);
    assert_eq!((new.setup_count(1), new.setup_count(2)), (0, 0));
}

/// Guards against a set-up that goes on after a late reply said that the other process has the id.
#[test]
fn a_set_up_that_was_sent_before_a_late_refusal_of_its_id_is_cancelled() {
    let (_old, mut new) = two_processes();
    new.place_call(1, 1, 3_000);
    new.advance(LONGEST_WAIT_MS);
    assert_eq!(new.setup_count(1), 1);
    new.handle(Input::SiblingMessage(SiblingMessage::ClaimReply { call: call_uid(1), granted: false }));
    assert_eq!(new.caller_messages(1), [CallerMessage::Failed { busy: false }]);
    assert_eq!(new.exchange_messages(1).len(), 2, "the attempt is cancelled");
}

/// Guards against a connection that is closed, or a process that exits, while a set-up on it waits for the other process.
#[test]
fn a_set_up_that_waits_counts_as_open() {
    let (mut old, mut new) = two_processes();
    old.handle(Input::Stop);
    old.place_call(1, 1, 3_000);
    old.effects.clear();
    old.advance(30);
    assert!(!old.effects.contains(&Effect::CloseCallerConnIfIdle { caller_conn: CALLER_CONN }));
    assert!(!old.engine.may_exit());
    old.place_call(1, 1, 3_000);
    deliver_until_quiet(&mut new, &mut old);
    assert!(closes_its_caller(&old), "an id that waits is in use");
    assert_eq!(old.caller_messages(1), [CallerMessage::Failed { busy: false }]);
}

/// Guards against messages that a sibling of the first release does not know.
#[test]
fn ids_are_not_claimed_at_a_sibling_of_the_first_release() {
    let mut old = EngineHarness::new(3);
    old.handle(Input::SiblingMessage(SiblingMessage::HandoverRequest { version: 1 }));
    old.handle(Input::SiblingMessage(SiblingMessage::Serving));
    old.effects.clear();
    old.place_call(1, 1, 3_000);
    assert_eq!(old.setup_count(1), 1);
    assert!(take_sibling_messages(&mut old).is_empty());
}

/// Guards against the memory of set-ups with very long numbers that wait for the other process (picture a): only descriptions
/// were counted.
#[test]
fn long_numbers_of_set_ups_that_wait_count_towards_the_limit_of_their_memory() {
    const NUMBER_BYTES: usize = 15_000;
    const MAX_OPEN_BYTES: usize = 4 << 20;
    let (_old, mut new) = two_processes();
    for call in 0..1_000 {
        let mut setup = new.new_setup(2, 3_000);
        setup.called_number = Some("7".repeat(NUMBER_BYTES));
        new.handle(Input::SetUp { caller_conn: CALLER_CONN, call: call_uid(call), setup });
    }
    let open: Vec<u64> = (0..1_000).filter(|call| new.caller_messages(*call).is_empty()).collect();
    assert!(open.len() * NUMBER_BYTES <= MAX_OPEN_BYTES, "{} set-ups are open", open.len());
    // They are counted until they end, and no longer.
    for call in open {
        new.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(call), cause: 16 });
    }
    new.handle(Input::SiblingDisconnected);
    new.place_call(2_000, 1, 3_000);
    assert_eq!(new.setup_count(2_000), 1);
}
