//! Tests of the reducer in virtual time: what a process that stops leaves to the process that is started after it.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use std::time::Duration;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid, list_entry};
use swiftlb::engine::{CallerMessage, Effect, ExchangeMessage, Front, Input};
use swiftlb::interface::{Outcome, Readiness, Reason};

/// The caller connection that stands for all IAX2 callers.
const IAX2_CALLERS: u64 = 0;
const CUT: CallerMessage = CallerMessage::Released { cut: true };

/// Establishes a call to exchange 1 whose caller uses this connection.
fn establish(harness: &mut EngineHarness, call: u64, caller_conn: u64) {
    let setup = harness.new_setup(1, 3_000);
    harness.handle(Input::SetUp { caller_conn, call: call_uid(call), setup });
    harness.answer(call, 1);
}

/// Number of connections to exchanges that were requested since the harness was created.
fn requested_conns(harness: &EngineHarness) -> usize {
    harness.exchange_conns.len()
}

/// Guards against a process that lives on without a caller connection, hears the ends of calls and cannot pass them on.
#[test]
fn exchanges_are_left_to_the_next_process_once_no_caller_can_be_told_of_the_end_of_a_call() {
    let mut harness = EngineHarness::new(3);
    establish(&mut harness, 1, CALLER_CONN);
    let closed = Effect::CloseExchangeConn { exchange_conn: harness.exchange_conn(1) };
    harness.handle(Input::Stop);
    harness.advance(3_670);
    assert!(!harness.effects.contains(&closed), "a connection is kept for the release");
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    let requested = requested_conns(&harness);
    harness.advance(6_320);
    assert!(harness.effects.contains(&closed), "the exchange keeps the release for the next process");
    assert_eq!(requested_conns(&harness), requested);
    assert!(!harness.effects.contains(&Effect::Exit), "the caller may hang up");
    harness.advance(20);
    assert!(harness.effects.contains(&Effect::Exit));
}

/// Guards against releases that arrive in the last ms before the kill, while a connection that a caller has just written to
/// is still open, or after a connection was opened for a hang-up that is not confirmed.
#[test]
fn exchanges_are_left_to_the_next_process_although_a_caller_connection_is_still_open() {
    let mut harness = EngineHarness::new(3);
    for call in [1, 2] {
        establish(&mut harness, call, CALLER_CONN);
    }
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::Stop);
    harness.advance(3_000);
    harness.handle(Input::ExchangeActivity { exchange_conn });
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(2), cause: 16 });
    let requested = requested_conns(&harness);
    harness.advance(690);
    assert!(harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn }));
    harness.advance(5_000);
    assert_eq!(requested_conns(&harness), requested);
}

/// Guards against hang-ups that a process without connections to exchanges does not pass on.
#[test]
fn a_hang_up_reaches_its_exchange_after_the_connections_were_left_to_the_next_process() {
    let mut harness = EngineHarness::new(3);
    establish(&mut harness, 1, CALLER_CONN);
    harness.handle(Input::Stop);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.advance(3_620);
    // Accepted from the backlog when the process stopped listening.
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.handle(Input::HangUp { caller_conn: 8, call: call_uid(1), cause: 16 });
    harness.handle(Input::CallerDisconnected { caller_conn: 8 });
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    let release = (exchange_conn, ExchangeMessage::Release { cause: 16 });
    assert_eq!(harness.exchange_messages(1).last(), Some(&release));
}

/// Guards against an exit that leaves the next process no time to tell a caller, within 8 s, of the end of a call that
/// ended as soon as the last caller connection was closed.
#[test]
fn with_short_deadlines_established_calls_delay_the_exit_for_less_than_the_release_limit() {
    let mut harness = EngineHarness::new(3);
    establish(&mut harness, 1, CALLER_CONN);
    let mut config = engine_harness::config(3);
    config.classes.iter_mut().for_each(|(_, max_wait)| *max_wait = Duration::from_millis(300));
    harness.handle(Input::Reload(Box::new(config)));
    harness.handle(Input::Stop);
    harness.advance(980);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.advance(7_000);
    assert!(harness.effects.contains(&Effect::Exit));
}

/// Guards against a stopping process that opens a connection and so takes the repetition of a release, which the
/// exchange sends on its next connection only.
#[test]
fn without_a_caller_connection_a_stopping_process_opens_no_connection_for_established_calls() {
    let mut harness = EngineHarness::new(3);
    establish(&mut harness, 1, CALLER_CONN);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.handle(Input::Stop);
    let requested = requested_conns(&harness);
    harness.advance(3_500);
    assert_eq!(requested_conns(&harness), requested, "a silent connection is not replaced");
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(1) });
    harness.handle(Input::List(vec![list_entry(1, Readiness::Ready), list_entry(2, Readiness::Ready)]));
    harness.advance(100);
    assert_eq!(requested_conns(&harness), requested, "a lost connection is not opened again");
}

/// Guards against the loss of set-ups and hang-ups during a shutdown, which need a connection.
#[test]
fn a_stopping_process_opens_a_connection_that_a_set_up_or_a_hang_up_needs() {
    let mut harness = EngineHarness::new(3);
    harness.handle(Input::Stop);
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(1) });
    harness.place_call(1, 1, 2_000);
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    assert_eq!(harness.setup_count(1), 1);
    harness.answer(1, 1);
    harness.handle(Input::ExchangeDisconnected { exchange_conn });
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: harness.exchange_conn(1), refused: false });
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.advance(500);
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    let release = (exchange_conn, ExchangeMessage::Release { cause: 16 });
    assert_eq!(harness.exchange_messages(1).last(), Some(&release));
}

/// Guards against IAX2 calls, whose legs end with the process, being cut early, and against their standing on at the
/// exchange after the exit.
#[test]
fn an_iax2_call_delays_the_exit_by_10_s_at_most_and_is_then_released_on_both_sides() {
    let mut harness = EngineHarness::new(3);
    harness.handle(Input::CallerConnected { caller_conn: IAX2_CALLERS, front: Front::Iax2 });
    establish(&mut harness, 1, IAX2_CALLERS);
    harness.handle(Input::Stop);
    harness.advance(9_900);
    assert!(!harness.effects.contains(&Effect::Exit));
    harness.advance(200);
    assert!(harness.effects.contains(&Effect::Exit));
    assert_eq!(harness.caller_messages(1).last(), Some(&CUT));
    assert!(matches!(harness.exchange_messages(1).last(), Some((_, ExchangeMessage::Release { .. }))));
}

/// Guards against the same while the process lives on for an IAX2 call at another exchange.
#[test]
fn while_it_waits_for_an_iax2_call_a_stopping_process_closes_the_connections_to_other_exchanges() {
    let mut harness = EngineHarness::new(3);
    harness.handle(Input::CallerConnected { caller_conn: IAX2_CALLERS, front: Front::Iax2 });
    establish(&mut harness, 1, IAX2_CALLERS);
    harness.place_call(2, 2, 3_000);
    harness.answer(2, 2);
    let (kept, other) = (harness.exchange_conn(1), harness.exchange_conn(2));
    harness.handle(Input::Stop);
    harness.advance(3_670);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    let requested = requested_conns(&harness);
    harness.advance(100);
    assert!(harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn: other }));
    assert!(!harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn: kept }));
    assert_eq!(requested_conns(&harness), requested);
}

/// Guards against callers on JSON lines that are never told of the end of a call whose other leg ends with the process.
#[test]
fn a_call_to_an_iax2_exchange_is_cut_before_its_callers_connection_is_closed_for_the_kill() {
    let mut harness = EngineHarness::unconnected(3);
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: true });
    establish(&mut harness, 1, CALLER_CONN);
    harness.handle(Input::Stop);
    harness.advance(3_670);
    assert_eq!(harness.caller_messages(1).len(), 1);
    harness.advance(20);
    assert_eq!(harness.caller_messages(1).last(), Some(&CUT));
    let position = |effect: &dyn Fn(&Effect) -> bool| harness.effects.iter().position(effect);
    let released = position(&|e| matches!(e, Effect::ToCaller { message, .. } if *message == CUT));
    let closed = position(&|e| matches!(e, Effect::CloseCallerConnUnlessUnread { .. }));
    assert!(released < closed, "{released:?} {closed:?}");
    assert!(matches!(harness.exchange_messages(1).last(), Some((_, ExchangeMessage::Release { .. }))));
}

/// Guards against the same for a call whose exchange was removed from the list, so that the next process does not connect
/// to it.
#[test]
fn a_call_at_a_removed_exchange_is_cut_before_its_callers_connection_is_closed_for_the_kill() {
    let mut harness = EngineHarness::new(3);
    establish(&mut harness, 1, CALLER_CONN);
    harness.handle(Input::Stop);
    harness.advance(3_600);
    harness.handle(Input::List(vec![list_entry(2, Readiness::Ready)]));
    harness.advance(90);
    assert_eq!(harness.caller_messages(1).last(), Some(&CUT));
    let last = harness.exchange_messages(1).pop();
    assert!(matches!(last, Some((_, ExchangeMessage::Release { cause: 16 }))), "{last:?}");
}

/// Guards against a release that reaches the stopping process and no one else.
#[test]
fn a_release_that_arrives_while_a_caller_connection_is_kept_is_passed_on() {
    let mut harness = EngineHarness::new(3);
    establish(&mut harness, 1, CALLER_CONN);
    harness.handle(Input::Stop);
    harness.advance(3_675);
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    assert_eq!(harness.caller_messages(1).last(), Some(&CallerMessage::Released { cut: false }));
}

/// Two calls stand at exchange 1, their caller has no connection, and the first of them ends there.
fn with_release_that_waits() -> EngineHarness {
    let mut harness = EngineHarness::new(3);
    for call in [1, 2] {
        establish(&mut harness, call, CALLER_CONN);
    }
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    harness
}

/// Guards against a process that takes the repetition of a release which it has not passed on, and then ends with both
/// (review case 9): the exchange repeats it on its next connection only.
#[test]
fn no_further_connection_is_opened_to_an_exchange_whose_release_waits_for_a_caller() {
    let mut harness = with_release_that_waits();
    let requested = requested_conns(&harness);
    harness.advance(10_000);
    assert_eq!(requested_conns(&harness), requested, "not because of silence");
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(1) });
    harness.advance(10_000);
    assert_eq!(requested_conns(&harness), requested, "and not after a loss");
    harness.handle(Input::Stop);
    harness.advance(10_000);
    assert_eq!(requested_conns(&harness), requested);
    assert!(harness.effects.contains(&Effect::Exit));
}

/// Guards against the same with a stranger that is connected and silent, and gets the release in vain.
#[test]
fn no_further_connection_is_opened_while_a_release_went_to_a_stranger_only() {
    let mut harness = with_release_that_waits();
    let requested = requested_conns(&harness);
    harness.handle(Input::CallerConnected { caller_conn: 66, front: Front::JsonLines });
    harness.advance(2_000);
    assert_eq!(harness.caller_messages(1).len(), 2, "answered and released");
    harness.advance(8_000);
    assert_eq!(requested_conns(&harness), requested);
}

/// Guards against an exchange that stays without a connection, or unwatched, after the release has reached its caller.
#[test]
fn the_connection_to_an_exchange_is_watched_and_opened_again_once_its_release_has_reached_a_caller() {
    let mut harness = with_release_that_waits();
    harness.advance(5_000);
    let requested = requested_conns(&harness);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    let setup = harness.new_setup(2, 3_000);
    harness.handle(Input::SetUp { caller_conn: 8, call: call_uid(3), setup });
    harness.answer(3, 2);
    harness.advance(300);
    assert_eq!(requested_conns(&harness), requested + 1, "it has been silent for more than 3 s");
}

/// Guards against a call that waits for a connection which is held back for a release.
#[test]
fn a_set_up_to_an_exchange_whose_release_waits_opens_a_connection() {
    let mut harness = with_release_that_waits();
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(1) });
    let requested = requested_conns(&harness);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    let setup = harness.new_setup(1, 3_000);
    harness.handle(Input::SetUp { caller_conn: 8, call: call_uid(3), setup });
    assert_eq!(requested_conns(&harness), requested + 1);
}
