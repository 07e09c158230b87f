//! Tests of the reducer in virtual time: releases of calls towards exchanges whose connections break.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid, list_entry};
use swiftlb::engine::{CallerMessage, Effect, ExchangeConnId, ExchangeMessage, Front, Input};
use swiftlb::interface::{Outcome, Readiness, Reason};

const CUT: CallerMessage = CallerMessage::Released { cut: true };
const RELEASE: ExchangeMessage = ExchangeMessage::Release { cause: 16 };

fn hang_up(harness: &mut EngineHarness, call: u64) {
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(call), cause: 16 });
}

/// A harness whose caller has hung up call 1, established at exchange 1, and the connection with the release.
fn with_hang_up() -> (EngineHarness, ExchangeConnId) {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 1_500);
    harness.answer(1, 1);
    harness.advance(300);
    let exchange_conn = harness.exchange_conn(1);
    hang_up(&mut harness, 1);
    assert_eq!(harness.exchange_messages(1).last(), Some(&(exchange_conn, RELEASE)));
    (harness, exchange_conn)
}

/// The connection is lost, and another one opens; returns it.
fn reconnect(harness: &mut EngineHarness, lost: ExchangeConnId) -> ExchangeConnId {
    harness.handle(Input::ExchangeDisconnected { exchange_conn: lost });
    let exchange_conn = harness.exchange_conn(1);
    assert_ne!(exchange_conn, lost);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    exchange_conn
}

/// Guards against releases that are lost with the connection on which they were sent, so that calls are left standing.
#[test]
fn a_release_is_sent_again_on_the_next_connection_unless_the_exchange_has_confirmed_it() {
    let (mut harness, lost) = with_hang_up();
    harness.advance(20);
    let exchange_conn = reconnect(&mut harness, lost);
    assert_eq!(harness.exchange_messages(1).last(), Some(&(exchange_conn, RELEASE)));
    // It is sent again as long as it is not confirmed.
    harness.advance(300);
    let exchange_conn = reconnect(&mut harness, exchange_conn);
    assert_eq!(harness.exchange_messages(1).last(), Some(&(exchange_conn, RELEASE)));
    harness.handle(Input::ReleaseConfirmed { exchange_conn, call: call_uid(1) });
    harness.advance(300);
    harness.effects.clear();
    reconnect(&mut harness, exchange_conn);
    assert_eq!(harness.exchange_messages(1), []);
}

/// Guards against releases that are repeated without end towards exchanges that confirm nothing.
#[test]
fn a_release_is_not_sent_again_after_8_s() {
    let (mut harness, lost) = with_hang_up();
    // Messages arrive, so the connection is not taken for dead.
    for _ in 0..9 {
        harness.advance(1_000);
        harness.handle(Input::ExchangeActivity { exchange_conn: lost });
    }
    harness.effects.clear();
    reconnect(&mut harness, lost);
    assert_eq!(harness.exchange_messages(1), []);
}

/// Guards against a release that was written to a connection that is dead, while no call is left whose silence would show
/// that.
#[test]
fn a_connection_that_is_silent_after_a_release_is_replaced_and_the_release_is_sent_again() {
    let (mut harness, silent) = with_hang_up();
    harness.advance(3_500);
    let replacement = harness.exchange_conn(1);
    assert_ne!(replacement, silent);
    harness.handle(Input::ExchangeConnected { exchange_conn: replacement, carries_calls: false });
    assert_eq!(harness.exchange_messages(1).last(), Some(&(replacement, RELEASE)));
}

/// Guards against a cancelled attempt whose answer crossed the cancel, if the cancel is lost with its connection; and against
/// the old cancel reaching a later attempt of the call.
#[test]
fn a_cancel_is_sent_again_before_later_attempts_and_never_after_them() {
    let mut harness = EngineHarness::new(2);
    harness.advance(300);
    harness.place_call(1, 1, 1_500);
    hang_up(&mut harness, 1);
    let lost = harness.exchange_conn(1);
    let exchange_conn = reconnect(&mut harness, lost);
    assert_eq!(harness.exchange_messages(1).last(), Some(&(exchange_conn, RELEASE)));
    // A later attempt of the same call: nothing that was sent before concerns it.
    harness.advance(300);
    harness.place_call(2, 1, 3_000);
    let exchange_conn = reconnect(&mut harness, exchange_conn);
    assert_eq!(harness.exchange_messages(2).last(), Some(&(exchange_conn, RELEASE)));
    harness.advance(600);
    assert_eq!(harness.setup_count(2), 2);
    harness.answer(2, 1);
    harness.effects.clear();
    reconnect(&mut harness, exchange_conn);
    assert_eq!(harness.exchange_messages(2), []);
}

/// Guards against calls that are cut for their callers only, when a late list removes an exchange that is back already.
#[test]
fn calls_of_an_exchange_that_is_removed_from_the_list_are_released_on_its_open_connection() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 1_500);
    harness.answer(1, 1);
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::List(vec![list_entry(2, Readiness::Ready)]));
    harness.advance(700);
    assert_eq!(harness.caller_messages(1).last(), Some(&CUT));
    assert_eq!(harness.exchange_messages(1).last(), Some(&(exchange_conn, RELEASE)));
    let position = |wanted: &dyn Fn(&Effect) -> bool| harness.effects.iter().position(wanted);
    let released = position(&|e| matches!(e, Effect::ToExchange { message, .. } if *message == RELEASE));
    let closed = position(&|e| *e == Effect::CloseExchangeConn { exchange_conn });
    assert!(released.is_some() && released < closed);
}

/// Guards against releases that are dropped because their exchange is removed from the list while no connection is open.
#[test]
fn releases_wait_for_an_exchange_that_was_removed_from_the_list_and_returns() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 1_500);
    harness.answer(1, 1);
    harness.advance(300);
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(1) });
    hang_up(&mut harness, 1);
    harness.handle(Input::List(vec![list_entry(2, Readiness::Ready)]));
    harness.advance(1_000);
    harness.handle(Input::List(vec![list_entry(1, Readiness::Ready), list_entry(2, Readiness::Ready)]));
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    assert_eq!(harness.exchange_messages(1).last(), Some(&(exchange_conn, RELEASE)));
}

/// Guards against calls that are cut because an exchange refuses a second connection: it may hold as many as it accepts.
#[test]
fn a_refused_second_connection_cuts_no_call_while_the_first_one_is_open() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 1_500);
    harness.answer(1, 1);
    let first = harness.exchange_conn(1);
    harness.advance(3_250);
    let second = harness.exchange_conn(1);
    assert_ne!(second, first);
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: second, refused: true });
    assert_eq!(harness.caller_messages(1).len(), 1, "answered, not cut");
    assert!(!harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn: first }));
    // A message shows that the first connection works.
    harness.handle(Input::ExchangeActivity { exchange_conn: first });
    harness.advance(2_900);
    assert_eq!(harness.exchange_conn(1), second, "nothing is suspected");
    assert_eq!(harness.caller_messages(1).len(), 1);
}

/// The second connection to exchange 1 is refused for `MAX_UNREACHABLE_TIME` while the first one stays silent.
fn with_refusals() -> (EngineHarness, ExchangeConnId) {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 1_500);
    harness.answer(1, 1);
    let first = harness.exchange_conn(1);
    let closed = Effect::CloseExchangeConn { exchange_conn: first };
    harness.advance(3_250);
    while !harness.effects.contains(&closed) {
        let refused = harness.exchange_conn(1);
        assert_ne!(refused, first);
        harness.handle(Input::ExchangeConnectFailed { exchange_conn: refused, refused: true });
        harness.advance(250);
    }
    (harness, first)
}

/// Guards against the same while the first connection is silent for long: closing it makes room for another one.
#[test]
fn after_refusals_the_silent_connection_is_closed_and_the_calls_stand_if_the_next_one_opens() {
    let (mut harness, first) = with_refusals();
    harness.advance(250);
    let next = harness.exchange_conn(1);
    assert_ne!(next, first);
    harness.handle(Input::ExchangeConnected { exchange_conn: next, carries_calls: false });
    harness.advance(2_900);
    assert_eq!(harness.caller_messages(1).len(), 1, "answered, not cut");
}

/// Guards against calls that stand for ever, or at their exchange, where nobody listens after the refusals.
#[test]
fn after_refusals_calls_are_cut_within_8_s_if_no_connection_opens_and_are_released_if_one_opens_later() {
    let (mut harness, _) = with_refusals();
    harness.advance(250);
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: harness.exchange_conn(1), refused: true });
    assert_eq!(harness.caller_messages(1).last(), Some(&CUT));
    harness.advance(300);
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    assert_eq!(harness.exchange_messages(1).last(), Some(&(exchange_conn, RELEASE)));
}

/// The exchanges, by their connections, that got a release of a call.
fn released_at(harness: &EngineHarness, call: u64) -> Vec<ExchangeConnId> {
    let messages = harness.exchange_messages(call).into_iter();
    messages.filter(|(_, message)| *message == RELEASE).map(|(exchange_conn, _)| exchange_conn).collect()
}

/// Guards against calls from before a restart that are left standing when their callers hang up.
#[test]
fn the_hang_up_of_a_call_from_before_the_start_is_sent_to_all_exchanges_once() {
    let mut harness = EngineHarness::unconnected(3);
    let (first, second) = (harness.exchange_conn(1), harness.exchange_conn(2));
    harness.handle(Input::ExchangeConnected { exchange_conn: first, carries_calls: false });
    hang_up(&mut harness, 1);
    assert_eq!(released_at(&harness, 1), [first]);
    harness.handle(Input::ExchangeConnected { exchange_conn: second, carries_calls: false });
    assert_eq!(released_at(&harness, 1), [first, second]);
    hang_up(&mut harness, 1);
    assert_eq!(released_at(&harness, 1).len(), 2);
    // Exchanges that do not know the call need not reply: their connections are not taken for dead.
    harness.advance(5_000);
    assert_eq!((harness.exchange_conn(1), harness.exchange_conn(2)), (first, second));
}

/// Guards against a flood of releases for hang-ups that concern no earlier call.
#[test]
fn hang_ups_of_calls_that_this_process_has_ended_or_refused_and_of_no_early_call_are_not_sent_to_exchanges() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 1_500);
    harness.end_call(1, 1, Outcome::Busy, Reason::UserBusy);
    assert_eq!(harness.caller_messages(1).len(), 1);
    harness.handle(Input::MalformedSetUp { caller_conn: CALLER_CONN, call: call_uid(2) });
    harness.effects.clear();
    for call in [1, 2] {
        hang_up(&mut harness, call);
        assert_eq!(released_at(&harness, call), [0_u64; 0]);
    }
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.advance(600_000);
    harness.handle(Input::CallerConnected { caller_conn: 9, front: Front::JsonLines });
    harness.handle(Input::HangUp { caller_conn: 9, call: call_uid(3), cause: 16 });
    assert_eq!(released_at(&harness, 3), [0_u64; 0]);
}
