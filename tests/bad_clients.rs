//! Bad clients in virtual time: what they send at full speed must not add up in the reducer.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid};
use swiftlb::engine::{Effect, ExchangeMessage, Front, Input};
use swiftlb::interface::{Outcome, Reason};

/// Set-ups that are turned away in one test.
const TURNED_AWAY: u64 = 200_000;
/// Entries that the reducer may hold after them: the limit for ids of set-ups that were never sent, which are counted
/// twice, and a few others.
const MAX_ENTRIES: usize = 20_000;

/// Guards against memory that grows with every set-up that is turned away (review case 6): ids and timers were kept for
/// each, for 30 s and until the deadline of its caller.
#[test]
fn set_ups_turned_away_at_full_speed_do_not_add_up() {
    let mut harness = EngineHarness::new(3);
    for call in 0..TURNED_AWAY {
        harness.place_call(1_000 + call, 60, 3_000);
        if call % 25 == 0 {
            harness.advance(1);
            harness.effects.clear();
        }
        let entries = harness.engine.entry_count();
        assert!(entries < MAX_ENTRIES, "{entries} entries after {call} set-ups");
    }
}

/// Guards against ids of calls that were sent to an exchange being displaced by those of set-ups that were not: an
/// exchange's late message about such a call would be taken for the end of a call from before this process started.
#[test]
fn set_ups_turned_away_do_not_displace_calls_that_were_sent() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    for call in 0..TURNED_AWAY / 10 {
        harness.place_call(1_000 + call, 60, 3_000);
    }
    harness.effects.clear();
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    assert!(harness.caller_messages(1).is_empty(), "{:?}", harness.caller_messages(1));
}

/// A second caller connection.
const OTHER_CONN: u64 = 8;

fn hang_up(harness: &mut EngineHarness, caller_conn: u64, call: u64) {
    harness.handle(Input::HangUp { caller_conn, call: call_uid(call), cause: 16 });
}

/// The numbers of releases sent to exchanges, of all calls and of one.
fn releases_sent(harness: &EngineHarness, call: u64) -> (usize, usize) {
    let is_release = |effect: &&Effect| {
        matches!(effect, Effect::ToExchange { message: ExchangeMessage::Release { .. }, .. })
    };
    let all = harness.effects.iter().filter(is_release).count();
    let of_call = harness.exchange_messages(call).len();
    (all, of_call)
}

/// Guards against hang-ups of unknown calls at full speed (review case 6, second way, and picture b): each was sent to every
/// exchange at once and kept for each of them.
#[test]
fn hang_ups_of_unknown_calls_at_full_speed_neither_add_up_nor_crowd_the_exchanges() {
    let mut harness = EngineHarness::unconnected(3);
    let exchange_conn = harness.exchange_conn(1);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    let mut most = 0;
    for call in 0..10_000 {
        // A bad client comes again under a new connection when it is closed.
        let caller_conn = 100 + call / 1_000;
        if call % 1_000 == 0 {
            harness.handle(Input::CallerConnected { caller_conn, front: Front::JsonLines });
        }
        hang_up(&mut harness, caller_conn, 1_000 + call);
        if call % 10 == 0 {
            harness.advance(1);
        }
        most = most.max(harness.engine.entry_count());
    }
    assert!(most < 8_000, "{most} entries");
    // One in 10 ms, to the one exchange that is connected.
    let (all, _) = releases_sent(&harness, 0);
    assert!((50..=120).contains(&all), "{all} releases in 1 s");
}

/// Guards against the hang-up of a sound caller waiting behind those of a bad client.
#[test]
fn the_hang_up_of_an_earlier_call_does_not_wait_behind_those_of_another_client() {
    let mut harness = EngineHarness::new(3);
    harness.handle(Input::CallerConnected { caller_conn: OTHER_CONN, front: Front::JsonLines });
    for call in 0..500 {
        hang_up(&mut harness, OTHER_CONN, 1_000 + call);
    }
    hang_up(&mut harness, CALLER_CONN, 1);
    harness.advance(50);
    let (_, of_call) = releases_sent(&harness, 1);
    assert_eq!(of_call, 2, "sent to both exchanges");
    // The bad client's wait their turn, and all are passed on within the 8 s of the page.
    harness.advance(7_900);
    let (all, _) = releases_sent(&harness, 1);
    assert_eq!(all, 2 * 501);
}

/// Guards against a bound that drops hang-ups without a word: the connection that goes beyond it is closed.
#[test]
fn a_connection_with_too_many_hang_ups_of_unknown_calls_is_closed_and_another_one_is_not() {
    let mut harness = EngineHarness::new(3);
    harness.handle(Input::CallerConnected { caller_conn: OTHER_CONN, front: Front::JsonLines });
    hang_up(&mut harness, CALLER_CONN, 1);
    for call in 0..900 {
        hang_up(&mut harness, OTHER_CONN, 1_000 + call);
    }
    assert!(harness.effects.contains(&Effect::CloseCallerConn { caller_conn: OTHER_CONN }));
    assert!(!harness.effects.contains(&Effect::CloseCallerConn { caller_conn: CALLER_CONN }));
    let is_told = |effect: &Effect| matches!(effect, Effect::Log(text) if text.contains("are dropped"));
    assert!(harness.effects.iter().any(is_told));
}
