//! Addresses of exchanges that change their owner, in virtual time.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use std::time::Duration;

use engine_harness::{EngineHarness, list_entry};
use swiftlb::engine::{CallerMessage, Effect, ExchangeMessage, Input, ListEntry};
use swiftlb::interface::Readiness;

/// Exchange 1 of the harness, under another name.
fn successor_of_1() -> ListEntry {
    ListEntry { name: "s-new".into(), number: 2, ..list_entry(1, Readiness::Ready) }
}

/// Exchange 1 at another address.
fn moved_1() -> ListEntry {
    ListEntry { address: "10.0.0.77:5070".parse().expect("an address"), ..list_entry(1, Readiness::Ready) }
}

fn connects_to(harness: &EngineHarness, at: &str) -> bool {
    harness
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::ConnectExchange { address, .. } if address.to_string() == at))
}

/// Guards against set-ups for an exchange that is gone, sent to the one that has its address now (picture d): the connection
/// was lost with the old process and opened again before the list told the change.
#[test]
fn nothing_is_sent_to_an_exchange_whose_address_another_one_has() {
    let mut harness = EngineHarness::new(3);
    harness.advance(1_000);
    let lost = harness.exchange_conn(1);
    harness.handle(Input::ExchangeDisconnected { exchange_conn: lost });
    let wrong = harness.exchange_conn(1);
    harness.handle(Input::ExchangeConnected { exchange_conn: wrong, carries_calls: false });
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.place_call(2, 1, 3_000);
    harness.effects.clear();
    harness.handle(Input::List(vec![list_entry(0, Readiness::Ready), successor_of_1()]));
    // The call that is established there is released on both sides, and the connection is closed.
    let release = ExchangeMessage::Release { cause: 16 };
    assert_eq!(harness.exchange_messages(1).last(), Some(&(wrong, release)));
    assert_eq!(harness.caller_messages(1), [CallerMessage::Released { cut: true }]);
    assert!(harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn: wrong }));
    harness.place_call(3, 1, 3_000);
    harness.advance(1_500);
    let on_wrong = harness.effects.iter().filter(|effect| {
        matches!(effect, Effect::ToExchange { exchange_conn, message: ExchangeMessage::SetUp { .. }, .. }
            if *exchange_conn == wrong)
    });
    assert_eq!(on_wrong.count(), 0);
}

/// Guards against a connection that stays at the earlier address of an exchange, where another process may listen.
#[test]
fn a_connection_to_an_earlier_address_of_an_exchange_is_replaced() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    let old = harness.exchange_conn(1);
    harness.effects.clear();
    harness.handle(Input::List(vec![
        list_entry(0, Readiness::Ready),
        moved_1(),
        list_entry(2, Readiness::Ready),
    ]));
    assert!(harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn: old }));
    assert!(connects_to(&harness, "10.0.0.77:5070"));
    // Its process may be the same: the call goes on until something shows that it has ended.
    assert!(harness.caller_messages(1).is_empty());
    let new = harness.exchange_conn(1);
    harness.handle(Input::ExchangeConnected { exchange_conn: new, carries_calls: false });
    harness.place_call(2, 1, 3_000);
    assert_eq!(harness.exchange_messages(2).len(), 1);
    assert_eq!(harness.exchange_messages(2)[0].0, new);
}

/// Guards against an exchange that is cut off too early: nobody has its address, so it may still report how its calls end.
#[test]
fn an_exchange_that_leaves_the_list_keeps_its_connection_for_a_while_if_its_address_is_free() {
    let mut harness = EngineHarness::new(3);
    let conn = harness.exchange_conn(1);
    harness.handle(Input::List(vec![list_entry(0, Readiness::Ready), list_entry(2, Readiness::Ready)]));
    let closed = Effect::CloseExchangeConn { exchange_conn: conn };
    assert!(!harness.effects.contains(&closed));
    harness.now += Duration::from_millis(1);
    harness.advance(800);
    assert!(harness.effects.contains(&closed));
}
