//! Tests of the reducer in virtual time: calls that were established at an exchange whose process is another one now.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use std::time::{Duration, SystemTime};

use engine_harness::{EngineHarness, list_entry};
use swiftlb::engine::{CallerMessage, Effect, ExchangeMessage, Input};
use swiftlb::interface::Readiness;

const CUT: CallerMessage = CallerMessage::Released { cut: true };

/// A harness with calls 1 and 2 established at exchange 1, one at once and one 100 ms later.
fn with_two_calls() -> EngineHarness {
    let mut harness = EngineHarness::new(3);
    for call in [1, 2] {
        harness.place_call(call, 1, 1_500);
        harness.answer(call, 1);
        harness.advance(100);
    }
    harness
}

/// The list says that exchange 1 was started at this time.
fn report_start(harness: &mut EngineHarness, started_at: SystemTime) {
    let mut entry = list_entry(1, Readiness::Ready);
    entry.started_at = Some(started_at);
    harness.handle(Input::List(vec![entry, list_entry(2, Readiness::Ready)]));
}

fn is_cut(harness: &EngineHarness, call: u64) -> bool {
    harness.caller_messages(call).last() == Some(&CUT)
}

/// The connection to exchange 1 falls silent, one attempt to open another one fails, and the next one succeeds.
fn lose_and_regain(harness: &mut EngineHarness) {
    let silent = harness.exchange_conn(1);
    harness.advance(3_200);
    let failed = harness.exchange_conn(1);
    assert_ne!(failed, silent, "a second connection is opened");
    harness.advance(500);
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: failed, refused: false });
    harness.advance(500);
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
}

/// The exchange reports these free circuits of 30 on its latest connection.
fn report_free_circuits(harness: &mut EngineHarness, free: f64) {
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::GroupState { exchange_conn, report: vec![free, 30.0] });
}

/// Guards against calls that stand for ever at a process that ended unnoticed: its connection fell silent, and the next
/// process answered before it was found to be unreachable.
#[test]
fn a_new_start_in_the_list_cuts_the_calls_established_before_it_and_no_others() {
    let mut harness = with_two_calls();
    let started_at = harness.now - Duration::from_millis(150);
    report_start(&mut harness, started_at);
    assert!(is_cut(&harness, 1) && !is_cut(&harness, 2));
    harness.advance(2_000);
    report_start(&mut harness, started_at);
    assert!(!is_cut(&harness, 2), "the same start is reported again");
}

/// Guards against calls cut by the start of a list that cannot be true, or that is not new.
#[test]
fn a_start_in_the_future_or_long_ago_cuts_no_call() {
    let mut harness = with_two_calls();
    for started_at in [harness.now + Duration::from_secs(60), harness.now - Duration::from_secs(60)] {
        report_start(&mut harness, started_at);
        assert!(!is_cut(&harness, 1) && !is_cut(&harness, 2));
    }
}

/// Guards against a connection to a process that has ended, which is silent for good and on which set-ups would be lost.
#[test]
fn a_connection_that_has_been_silent_since_before_a_new_start_is_replaced() {
    let mut harness = with_two_calls();
    harness.advance(500);
    let silent = harness.exchange_conn(1);
    let started_at = harness.now - Duration::from_millis(50);
    report_start(&mut harness, started_at);
    assert!(harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn: silent }));
    assert_ne!(harness.exchange_conn(1), silent);
    // A message after the start shows that the connection is the new process's.
    let mut harness = with_two_calls();
    harness.advance(500);
    report_free_circuits(&mut harness, 28.0);
    let (used, started_at) = (harness.exchange_conn(1), harness.now - Duration::from_millis(50));
    report_start(&mut harness, started_at);
    assert_eq!(harness.exchange_conn(1), used);
}

/// Guards against the same while the list is late: the first report of the group shows that nobody holds the circuits of
/// the calls.
#[test]
fn after_a_failed_connect_free_circuits_of_established_calls_show_that_the_calls_are_gone() {
    let mut harness = with_two_calls();
    lose_and_regain(&mut harness);
    report_free_circuits(&mut harness, 30.0);
    assert!(!is_cut(&harness, 1), "a release may be on its way");
    harness.place_call(3, 1, 1_500);
    harness.answer(3, 1);
    harness.advance(1_300);
    assert!(is_cut(&harness, 1) && is_cut(&harness, 2));
    assert!(!is_cut(&harness, 3), "established with the process that runs now");
    let released = harness.exchange_messages(1);
    assert!(
        matches!(released.last(), Some((_, ExchangeMessage::Release { .. }))),
        "in case it runs after all"
    );
}

/// Guards against calls cut after a network failure that both ends survived.
#[test]
fn after_a_failed_connect_calls_stand_if_their_circuits_are_in_use_or_nothing_is_reported() {
    let mut harness = with_two_calls();
    lose_and_regain(&mut harness);
    report_free_circuits(&mut harness, 28.0);
    harness.advance(2_000);
    assert!(!is_cut(&harness, 1) && !is_cut(&harness, 2));
    let mut harness = with_two_calls();
    lose_and_regain(&mut harness);
    harness.advance(2_000);
    assert!(!is_cut(&harness, 1) && !is_cut(&harness, 2));
}

/// Guards against calls cut while the state of the group is on its way.
#[test]
fn free_circuits_cut_no_call_if_a_later_report_shows_them_in_use() {
    let mut harness = with_two_calls();
    lose_and_regain(&mut harness);
    report_free_circuits(&mut harness, 30.0);
    harness.advance(500);
    report_free_circuits(&mut harness, 28.0);
    harness.advance(2_000);
    assert!(!is_cut(&harness, 1) && !is_cut(&harness, 2));
}

/// Guards against calls cut because the end of another call was lost: one circuit is free, and the process is the same.
#[test]
fn free_circuits_of_some_calls_do_not_cut_the_others() {
    let mut harness = with_two_calls();
    lose_and_regain(&mut harness);
    report_free_circuits(&mut harness, 29.0);
    harness.advance(2_000);
    assert!(!is_cut(&harness, 1) && !is_cut(&harness, 2));
}
