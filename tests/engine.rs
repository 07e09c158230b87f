//! Tests of the reducer in virtual time: the rules that it enforces whatever the exchanges, the callers and the list of
//! exchanges do.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use std::time::Duration;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid, list_entry};
use swiftlb::engine::{CallerMessage, Effect, ExchangeMessage, Front, Input, SetUp};
use swiftlb::interface::{Outcome, Readiness, Reason};
use swiftlb::ops::{OperatorReply, OperatorRequest};
use tinyjson::JsonValue;

const FAILED: CallerMessage = CallerMessage::Failed { busy: false };
const CUT: CallerMessage = CallerMessage::Released { cut: true };

#[test]
fn a_call_is_set_up_answered_and_released_with_its_fields_unchanged() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 1_500);
    let sent = harness.exchange_messages(1);
    let ExchangeMessage::SetUp { class, called_number, remaining, description } = &sent[0].1 else {
        panic!("{sent:?}")
    };
    assert_eq!((sent.len(), sent[0].0, class.as_str()), (1, harness.exchange_conn(2), "status"));
    assert_eq!(
        (called_number.as_deref(), *remaining),
        (Some("7f3a9c21e0b4d655"), Duration::from_millis(1_500))
    );
    assert_eq!(description.as_deref(), Some("v=0\r\n"));
    harness.answer(1, 2);
    assert_eq!(harness.caller_messages(1), [CallerMessage::Answered { description: Some("answer".into()) }]);
    harness.effects.clear();
    harness.advance(5_000);
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    assert_eq!(harness.caller_messages(1), [CallerMessage::Released { cut: false }]);
    assert_eq!(harness.engine.call_count(), 0);
}

#[test]
fn a_call_to_a_stalled_exchange_fails_once_at_its_deadline() {
    let mut harness = EngineHarness::new(3);
    // Handled 40 ms after it was received: the caller's waiting time starts with the reception.
    let mut setup = harness.new_setup(2, 1_000);
    setup.received = harness.now - Duration::from_millis(40);
    let exchange_conn = harness.exchange_conn(2);
    harness.handle(Input::SetUp { caller_conn: CALLER_CONN, call: call_uid(1), setup });
    harness.advance(955);
    assert_eq!(harness.caller_messages(1), []);
    harness.advance(10);
    assert_eq!(harness.caller_messages(1), [FAILED]);
    assert_eq!(harness.exchange_messages(1).last(), Some(&(exchange_conn, ExchangeMessage::Cancel)));
    // A late answer has no effect, nor has a late release.
    harness.answer(1, 2);
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    harness.advance(3_000);
    assert_eq!(harness.caller_messages(1), [FAILED]);
}

#[test]
fn after_a_reset_the_next_attempt_is_sent_once_the_release_pause_is_over() {
    let mut harness = EngineHarness::new(4);
    harness.place_call(1, 2, 2_500);
    harness.end_call(1, 2, Outcome::Reset, Reason::Unspecified);
    assert_eq!(harness.setup_count(1), 1);
    // A late message of the exchange about the first attempt is ignored.
    harness.answer(1, 2);
    assert_eq!(harness.caller_messages(1), []);
    harness.advance(499);
    assert_eq!(harness.setup_count(1), 1, "sent within the release pause");
    harness.advance(2);
    assert_eq!(harness.setup_count(1), 2);
    let second = harness.exchange_messages(1).last().map(|(exchange_conn, _)| *exchange_conn);
    let exchange = (1..4)
        .find(|exchange| Some(harness.exchange_conn(*exchange)) == second)
        .expect("the second attempt was sent");
    harness.answer(1, exchange);
    assert_eq!(harness.caller_messages(1).len(), 1);
}

#[test]
fn when_a_caller_abandons_its_call_the_attempt_is_cancelled_and_no_message_is_sent_to_it() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 1_500);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    assert_eq!(
        harness.exchange_messages(1).last(),
        Some(&(harness.exchange_conn(2), ExchangeMessage::Cancel))
    );
    harness.advance(3_000);
    assert_eq!((harness.caller_messages(1), harness.engine.call_count()), (vec![], 0));
}

#[test]
fn a_closed_caller_connection_abandons_its_open_set_ups_and_keeps_established_calls() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 1_500);
    harness.place_call(2, 2, 1_500);
    harness.answer(1, 2);
    harness.effects.clear();
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    assert_eq!(harness.exchange_messages(2), [(harness.exchange_conn(2), ExchangeMessage::Cancel)]);
    assert_eq!((harness.exchange_messages(1), harness.engine.call_count()), (vec![], 1));
    // The release waits for the next connection of the same front.
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::Iax2 });
    assert_eq!(harness.caller_messages(1), []);
    harness.handle(Input::CallerConnected { caller_conn: 9, front: Front::JsonLines });
    harness.advance(300);
    let message = CallerMessage::Released { cut: false };
    assert!(harness.effects.contains(&Effect::ToCaller { caller_conn: 9, call: call_uid(1), message }));
}

#[test]
fn a_release_is_sent_on_a_connection_that_served_calls_rather_than_on_a_silent_one() {
    let mut harness = EngineHarness::new(3);
    for caller_conn in [8, 9, 10] {
        harness.handle(Input::CallerConnected { caller_conn, front: Front::JsonLines });
    }
    let setup = harness.new_setup(1, 1_500);
    harness.handle(Input::SetUp { caller_conn: 9, call: call_uid(9), setup });
    harness.answer(9, 1);
    harness.place_call(1, 2, 1_500);
    harness.answer(1, 2);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    let message = CallerMessage::Released { cut: false };
    assert_eq!(
        harness.effects.last(),
        Some(&Effect::ToCaller { caller_conn: 9, call: call_uid(1), message })
    );
}

#[test]
fn a_caller_may_release_an_established_call_on_any_connection() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 1_500);
    harness.answer(1, 2);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    assert_eq!(
        harness.exchange_messages(1).last(),
        Some(&(harness.exchange_conn(2), ExchangeMessage::Release { cause: 16 }))
    );
    assert_eq!(harness.engine.call_count(), 0);
}

#[test]
fn a_lost_exchange_connection_keeps_established_calls_and_a_refused_one_cuts_them() {
    let mut harness = EngineHarness::new(4);
    for (call, dest) in [(1, 2), (2, 3)] {
        harness.place_call(call, dest, 1_500);
        harness.answer(call, dest as usize);
    }
    harness.advance(300);
    for exchange in [2, 3] {
        harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(exchange) });
    }
    // Connections to both are opened at once. Exchange 2 still runs, and its call ends normally.
    let exchange_conn = harness.exchange_conn(2);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    assert_eq!((harness.caller_messages(1).len(), harness.caller_messages(2).len()), (1, 1));
    harness.handle(Input::Ended {
        exchange_conn,
        call: call_uid(1),
        outcome: Outcome::Completed,
        reason: Reason::Unspecified,
    });
    assert_eq!(harness.caller_messages(1).last(), Some(&CallerMessage::Released { cut: false }));
    // No process listens at an exchange that refuses the connection.
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: harness.exchange_conn(3), refused: true });
    assert_eq!(harness.caller_messages(2).last(), Some(&CUT));
}

#[test]
fn a_call_of_a_lost_connection_is_released_at_the_exchange_before_it_is_sent_there_again() {
    let mut harness = EngineHarness::new(2);
    harness.advance(300);
    harness.place_call(1, 1, 2_500);
    let broken = harness.exchange_conn(1);
    harness.handle(Input::ExchangeDisconnected { exchange_conn: broken });
    let exchange_conn = harness.exchange_conn(1);
    assert_ne!(exchange_conn, broken);
    harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    harness.advance(600);
    let sent: Vec<_> = harness
        .exchange_messages(1)
        .into_iter()
        .filter(|(conn, _)| *conn == exchange_conn)
        .map(|(_, message)| message)
        .collect();
    let [ExchangeMessage::Release { cause: 16 }, ExchangeMessage::SetUp { .. }] = &sent[..] else {
        panic!("{sent:?}")
    };
    harness.answer(1, 1);
    assert_eq!(harness.caller_messages(1).len(), 1);
}

#[test]
fn an_exchange_connection_is_replaced_if_silent_after_a_set_up_and_kept_if_it_reports_group_state() {
    let mut harness = EngineHarness::new(2);
    let dead = harness.exchange_conn(1);
    // An exchange that never reports the state of its group is given more time.
    let mut other = EngineHarness::new(2);
    other.place_call(1, 1, 3_000);
    other.advance(1_500);
    assert_eq!(other.exchange_conns.len(), 1);
    harness.handle(Input::GroupState { exchange_conn: dead, report: vec![9.0, 10.0] });
    harness.advance(1);
    harness.place_call(1, 1, 3_000);
    harness.advance(140);
    assert_eq!(harness.exchange_conn(1), dead);
    harness.advance(500);
    let replacement = harness.exchange_conn(1);
    assert_ne!(replacement, dead, "no second connection was opened beside the silent one");
    assert_eq!(harness.exchange_conns.iter().filter(|(n, _)| n == "s-1").count(), 2, "one at a time");
    harness.handle(Input::ExchangeConnected { exchange_conn: replacement, carries_calls: false });
    assert!(harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn: dead }));
    harness.advance(500);
    // The set-up is sent again on the new connection. The exchange is slow, but its group reports show that the
    // connection works.
    assert_eq!(
        harness
            .exchange_messages(1)
            .last()
            .map(|(exchange_conn, message)| (*exchange_conn, message != &ExchangeMessage::Cancel)),
        Some((replacement, true))
    );
    harness.advance(1);
    harness.handle(Input::GroupState { exchange_conn: replacement, report: vec![9.0, 10.0] });
    harness.advance(1_500);
    assert_eq!((harness.setup_count(1), harness.exchange_conn(1)), (2, replacement));
    harness.answer(1, 1);
    assert_eq!(harness.caller_messages(1).len(), 1);
}

#[test]
fn calls_of_an_exchange_that_became_unreachable_are_cut_within_8_seconds() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 1_500);
    harness.answer(1, 2);
    let failed_at = harness.now;
    // Its connection stays open and silent, and no new one can be opened.
    while harness.caller_messages(1).len() < 2 {
        let requested = harness.exchange_conns.len();
        harness.advance(250);
        if harness.exchange_conns.len() > requested {
            let exchange_conn = harness.exchange_conns.last().expect("a requested connection").1;
            harness.advance(500);
            harness.handle(Input::ExchangeConnectFailed { exchange_conn, refused: false });
        }
        assert!(harness.now.duration_since(failed_at).expect("later") < Duration::from_secs(8));
    }
    assert_eq!(harness.caller_messages(1).last(), Some(&CUT));
}

#[test]
fn a_caller_connection_without_a_message_or_without_a_call_is_closed() {
    let mut harness = EngineHarness::new(3);
    for caller_conn in [8, 9] {
        harness.handle(Input::CallerConnected { caller_conn, front: Front::JsonLines });
    }
    let closed = |harness: &EngineHarness, caller_conn| {
        harness.effects.contains(&Effect::CloseCallerConn { caller_conn })
    };
    let setup = harness.new_setup(2, 1_500);
    harness.handle(Input::SetUp { caller_conn: 9, call: call_uid(1), setup });
    harness.answer(1, 2);
    // On a slow network it may take a caller 2 s to write its first set-up.
    harness.advance(2_200);
    assert!(!closed(&harness, 8));
    harness.advance(500);
    assert_eq!((closed(&harness, 8), closed(&harness, 9)), (true, false), "due within 3 s");
    harness.advance(10_000);
    assert!(!closed(&harness, 9), "its call is established");
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    harness.advance(10_000);
    assert!(closed(&harness, 9));
}

#[test]
fn at_the_limit_the_longest_idle_caller_connection_is_closed_and_never_one_with_an_open_set_up() {
    let mut harness = EngineHarness::new(3);
    // The limit is half of 1,024 descriptors, and the harness's own connection is the first.
    let setup = harness.new_setup(2, 3_000);
    harness.handle(Input::SetUp { caller_conn: CALLER_CONN, call: call_uid(1), setup });
    for caller_conn in 100..611 {
        harness.handle(Input::CallerConnected { caller_conn, front: Front::JsonLines });
        if caller_conn < 102 {
            harness.handle(Input::HealthCheck { caller_conn, call: call_uid(5) });
        }
        harness.advance(if caller_conn < 102 { 1 } else { 0 });
    }
    harness.advance(300);
    let closed = |harness: &EngineHarness| -> Vec<_> {
        let closed = harness.effects.iter().filter_map(|effect| match effect {
            Effect::CloseCallerConn { caller_conn } => Some(*caller_conn),
            _ => None,
        });
        closed.collect()
    };
    assert_eq!(closed(&harness), [0_u64; 0]);
    harness.handle(Input::CallerConnected { caller_conn: 700, front: Front::JsonLines });
    assert_eq!(closed(&harness), [102], "the oldest without a message");
    for caller_conn in 103..611 {
        harness.handle(Input::HealthCheck { caller_conn, call: call_uid(5) });
    }
    harness.handle(Input::CallerConnected { caller_conn: 701, front: Front::JsonLines });
    assert_eq!(closed(&harness), [102, 100], "then the one idle for longest; the open set-up stays");
}

#[test]
fn a_set_up_with_values_that_are_invalid_for_its_class_fails_and_is_not_sent() {
    let mut harness = EngineHarness::new(3);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    let valid = harness.new_setup(2, 3_000);
    let invalid = [
        SetUp { remaining: Some(Duration::from_secs(1 << 40)), ..valid.clone() },
        SetUp { width: Some(2.0), ..valid.clone() },
        SetUp { class: "other".to_owned(), ..valid.clone() },
    ];
    for (call, setup) in (1..).zip(invalid) {
        harness.handle(Input::SetUp { caller_conn: 8, call: call_uid(call), setup });
        assert_eq!((harness.caller_messages(call), harness.setup_count(call)), (vec![FAILED], 0));
    }
    // After the fourth malformed message the connection is closed.
    harness.handle(Input::MalformedSetUp { caller_conn: 8, call: call_uid(9) });
    assert!(harness.effects.contains(&Effect::CloseCallerConn { caller_conn: 8 }));
}

#[test]
fn state_does_not_grow_with_the_number_of_past_exchanges_calls_and_connections() {
    let mut harness = EngineHarness::new(3);
    let mut entries = Vec::new();
    for round in 0..40 {
        let mut list = vec![list_entry(0, Readiness::Ready), list_entry(1, Readiness::Ready)];
        let mut replaced = list_entry(2, Readiness::Ready);
        replaced.name = format!("s-{round}-2").into();
        list.push(replaced);
        harness.handle(Input::List(list));
        let exchange_conn = harness.exchange_conns.last().expect("a requested connection").1;
        harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
        for call in 0..50 {
            let (caller_conn, call) = (1_000 + 50 * round + call, 50 * round + call);
            harness.handle(Input::CallerConnected { caller_conn, front: Front::JsonLines });
            let setup = harness.new_setup(2, 1_000);
            harness.handle(Input::SetUp { caller_conn, call: call_uid(call), setup });
            harness.handle(Input::Answered {
                exchange_conn,
                call: call_uid(call),
                description: Some("answer".into()),
            });
            harness.advance(40);
            harness.handle(Input::Ended {
                exchange_conn,
                call: call_uid(call),
                outcome: Outcome::Completed,
                reason: Reason::Unspecified,
            });
        }
        harness.effects.clear();
        entries.push(harness.engine.entry_count());
    }
    let (middle, end) = (entries[20], entries[39]);
    assert!(end <= middle + middle / 10, "{entries:?}");
    harness.advance(60_000);
    assert!(harness.engine.entry_count() < 40, "{}", harness.engine.entry_count());
}

#[test]
fn a_call_whose_exchange_refuses_the_connection_is_sent_to_another_one_at_once() {
    let mut harness = EngineHarness::new(4);
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(2) });
    harness.place_call(1, 2, 1_500);
    assert_eq!(harness.setup_count(1), 0);
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: harness.exchange_conn(2), refused: true });
    assert_eq!(harness.setup_count(1), 1);
}

#[test]
fn a_draining_exchange_gets_no_set_ups_and_calls_of_a_removed_one_are_cut() {
    let mut harness = EngineHarness::new(4);
    harness.place_call(1, 2, 1_500);
    harness.answer(1, 2);
    let list = |readiness_of_2: Option<Readiness>| {
        let all = [Some(Readiness::Ready), Some(Readiness::Ready), readiness_of_2, Some(Readiness::Ready)];
        let entries = all.iter().enumerate().filter_map(|(i, r)| r.map(|r| list_entry(i, r)));
        Input::List(entries.collect())
    };
    harness.handle(list(Some(Readiness::Draining)));
    let draining = harness.exchange_conn(2);
    harness.place_call(2, 2, 1_500);
    assert!(harness.exchange_messages(2).iter().all(|(exchange_conn, _)| *exchange_conn != draining));
    assert_eq!(harness.caller_messages(1).len(), 1);
    harness.handle(list(None));
    harness.advance(1_000);
    assert_eq!(harness.caller_messages(1).last(), Some(&CUT));
    assert!(harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn: draining }));
}

/// Guards against set-ups that are sent to a draining exchange because their connection comes up after the grace period.
#[test]
fn a_set_up_whose_connection_comes_up_late_is_not_sent_to_an_exchange_that_drains_by_then() {
    for (drains_for_ms, sent) in [(100, 1), (250, 0)] {
        let mut harness = EngineHarness::unconnected(2);
        let mut config = engine_harness::config(2);
        config.settings.drain_grace_ms = 250.0;
        harness.handle(Input::Reload(Box::new(config)));
        harness.place_call(1, 1, 3_000);
        harness.handle(Input::List(vec![list_entry(1, Readiness::Draining)]));
        harness.advance(drains_for_ms);
        let exchange_conn = harness.exchange_conn(1);
        harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
        assert_eq!(harness.setup_count(1), sent, "after {drains_for_ms} ms");
    }
}

#[test]
fn an_exchange_with_a_new_name_at_a_known_address_gets_its_own_connection() {
    let mut harness = EngineHarness::new(3);
    let mut replaced = list_entry(2, Readiness::Ready);
    replaced.name = "s-2b".into();
    let list = vec![list_entry(0, Readiness::Ready), list_entry(1, Readiness::Ready), replaced];
    harness.handle(Input::List(list));
    let requested = harness.exchange_conns.last().expect("a requested connection").clone();
    assert_eq!(requested.0, "s-2b");
    harness.handle(Input::ExchangeConnected { exchange_conn: requested.1, carries_calls: false });
    harness.place_call(1, 2, 1_500);
    assert_eq!(
        harness.exchange_messages(1).first().map(|(exchange_conn, _)| *exchange_conn),
        Some(requested.1)
    );
}

#[test]
fn a_set_up_with_an_id_in_use_closes_its_connection_and_does_not_affect_the_call_with_that_id() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 1_500);
    for (caller_conn, malformed) in [(8, false), (9, true)] {
        harness.handle(Input::CallerConnected { caller_conn, front: Front::JsonLines });
        let setup = harness.new_setup(1, 1_500);
        harness.handle(Input::SetUp { caller_conn, call: call_uid(caller_conn), setup });
        // A set-up cannot be abandoned on another connection either.
        harness.handle(Input::HangUp { caller_conn, call: call_uid(1), cause: 16 });
        let setup = harness.new_setup(1, 1_500);
        harness.handle(if malformed {
            Input::MalformedSetUp { caller_conn, call: call_uid(1) }
        } else {
            Input::SetUp { caller_conn, call: call_uid(1), setup }
        });
        // The other set-up that is open there gets its one outcome, and the connection is closed.
        assert_eq!(harness.caller_messages(caller_conn), [FAILED]);
        assert_eq!(harness.effects.last(), Some(&Effect::CloseCallerConn { caller_conn }));
    }
    harness.answer(1, 2);
    assert_eq!((harness.setup_count(1), harness.caller_messages(1).len()), (1, 1));
    // Two set-ups with one id on one connection get one outcome, whatever the exchange reports later.
    harness.place_call(2, 2, 1_500);
    harness.place_call(2, 2, 1_500);
    harness.answer(2, 2);
    assert_eq!((harness.caller_messages(2), harness.caller_messages(1).len()), (vec![FAILED], 1));
    assert_eq!(
        harness.exchange_messages(2).last().map(|(_, message)| message.clone()),
        Some(ExchangeMessage::Cancel)
    );
}

#[test]
fn a_reload_changes_settings_and_resolver_and_keeps_calls_and_connections() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 2_000);
    harness.place_call(2, 1, 2_000);
    harness.answer(2, 1);
    let mut config = engine_harness::config(3);
    config.resolver = "127.0.0.9:53".parse().expect("an address");
    config.classes.reverse();
    config.settings.classes.reverse();
    config.settings.max_retry_after_ms = 50.0;
    let config = Box::new(config);
    let requested = harness.exchange_conns.len();
    harness.handle(Input::Reload(config.clone()));
    assert!(harness.effects.contains(&Effect::Reconfigure(config.clone())));
    assert_eq!(
        (harness.exchange_conns.len(), harness.engine.call_count()),
        (requested, 2),
        "no new connection, no lost call"
    );
    harness.answer(1, 2);
    harness.end_call(2, 1, Outcome::Completed, Reason::Unspecified);
    assert_eq!(
        (harness.caller_messages(1).len(), harness.caller_messages(2).last()),
        (1, Some(&CallerMessage::Released { cut: false }))
    );
    harness.handle(Input::GroupState { exchange_conn: harness.exchange_conn(2), report: vec![0.0, 10.0] });
    harness.handle(Input::GroupState { exchange_conn: harness.exchange_conn(1), report: vec![0.0, 10.0] });
    harness.place_call(3, 2, 2_000);
    let refused = CallerMessage::Refused { retry_after: Duration::from_millis(50) };
    assert_eq!(harness.caller_messages(3), std::slice::from_ref(&refused));
    // An invalid configuration is rejected completely: neither its settings nor its resolver apply.
    let mut invalid = config;
    invalid.settings.attempt_limit = 0;
    invalid.settings.max_retry_after_ms = 0.0;
    harness.effects.clear();
    harness.handle(Input::Reload(invalid));
    assert!(!harness.effects.iter().any(|effect| matches!(effect, Effect::Reconfigure(_))));
    harness.place_call(4, 2, 2_000);
    assert_eq!(harness.caller_messages(4), [refused]);
}

#[test]
fn after_the_request_to_stop_it_still_serves_calls_and_exits_with_the_end_of_the_last_one() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 2_000);
    harness.handle(Input::Stop);
    harness.advance(500);
    harness.place_call(2, 1, 2_000);
    harness.advance(600);
    assert!(!harness.effects.contains(&Effect::Exit));
    harness.answer(1, 2);
    assert!(!harness.effects.contains(&Effect::Exit));
    harness.answer(2, 1);
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    // The exit of the process would cut an established call.
    harness.advance(1_000);
    assert!(!harness.effects.contains(&Effect::Exit));
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(2), cause: 16 });
    assert!(harness.effects.contains(&Effect::Exit));
}

#[test]
fn a_long_call_delays_the_exit_after_the_request_to_stop_by_10_s_at_most() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.handle(Input::Stop);
    harness.advance(9_900);
    assert!(!harness.effects.contains(&Effect::Exit));
    harness.advance(200);
    assert!(harness.effects.contains(&Effect::Exit));
}

/// Guards against set-ups that are taken during a shutdown and still open when the process may be killed, 3.7 s after the
/// request to stop where the longest deadline is 3 s.
#[test]
fn a_set_up_that_arrives_during_a_shutdown_has_its_outcome_before_the_kill_or_is_refused_at_once() {
    let mut harness = EngineHarness::new(3);
    harness.handle(Input::Stop);
    harness.advance(2_000);
    harness.place_call(1, 1, 3_000);
    assert_eq!(harness.setup_count(1), 1, "there is time for an answer");
    harness.advance(700);
    harness.place_call(2, 1, 800);
    assert_eq!(harness.setup_count(2), 1, "it has its whole waiting time");
    harness.place_call(3, 1, 3_000);
    assert_eq!(
        harness.caller_messages(3),
        [CallerMessage::Refused { retry_after: Duration::from_millis(1_000) }],
        "another process can serve after the kill"
    );
    harness.advance(910);
    assert_eq!(harness.caller_messages(1), [CallerMessage::Failed { busy: false }]);
    assert!(matches!(harness.caller_messages(2)[..], [CallerMessage::Failed { .. }]));
    let closed = Effect::CloseCallerConnIfIdle { caller_conn: CALLER_CONN };
    assert!(harness.effects.contains(&closed), "nothing can arrive on it just before the kill");
}

/// Guards against callers that go on sending, until the kill, on the connection on which they were refused.
#[test]
fn after_the_shutdown_deadline_a_connection_is_closed_as_soon_as_its_set_up_is_refused() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.handle(Input::Stop);
    harness.advance(3_620);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.effects.clear();
    let setup = harness.new_setup(1, 3_000);
    harness.handle(Input::SetUp { caller_conn: 8, call: call_uid(2), setup });
    assert!(matches!(harness.caller_messages(2)[..], [CallerMessage::Refused { .. }]));
    assert!(harness.effects.contains(&Effect::CloseCallerConnIfIdle { caller_conn: 8 }));
}

/// Guards against ends of calls that find no caller connection in the last 0.1 s before the kill.
#[test]
fn one_connection_is_kept_for_releases_until_shortly_before_the_kill() {
    let mut harness = EngineHarness::new(3);
    for call in [1, 2] {
        harness.place_call(call, 1, 3_000);
        harness.answer(call, 1);
    }
    harness.handle(Input::Stop);
    harness.advance(3_000);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.advance(670);
    let closed = |harness: &EngineHarness, conn: u64| {
        harness.effects.iter().any(|effect| {
            matches!(effect, Effect::CloseCallerConnIfIdle { caller_conn }
                | Effect::CloseCallerConnUnlessUnread { caller_conn } if *caller_conn == conn)
        })
    };
    assert!(closed(&harness, 8) && !closed(&harness, CALLER_CONN));
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    assert_eq!(harness.caller_messages(1).last(), Some(&CallerMessage::Released { cut: false }));
    harness.place_call(3, 1, 3_000);
    assert!(matches!(harness.caller_messages(3)[..], [CallerMessage::Refused { .. }]));
    harness.advance(15);
    assert!(closed(&harness, CALLER_CONN), "before the kill at 3.7 s");
}

/// Guards against the same for set-ups that were open at the request to stop, in a class with a deadline over 3 s, and
/// after a reload with shorter deadlines.
#[test]
fn set_ups_that_are_open_at_the_request_to_stop_have_their_outcome_before_the_kill() {
    let long = |seconds| {
        let mut config = engine_harness::config(3);
        config.classes.iter_mut().for_each(|(_, max_wait)| *max_wait = Duration::from_secs(seconds));
        Input::Reload(Box::new(config))
    };
    let mut harness = EngineHarness::new(3);
    harness.handle(long(9));
    harness.place_call(1, 1, 9_000);
    harness.handle(Input::Stop);
    harness.advance(3_590);
    assert!(harness.caller_messages(1).is_empty());
    harness.advance(20);
    assert_eq!(harness.caller_messages(1), [CallerMessage::Failed { busy: false }]);
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.handle(Input::Stop);
    harness.handle(long(1));
    harness.advance(1_610);
    assert_eq!(harness.caller_messages(1), [CallerMessage::Failed { busy: false }]);
}

/// Guards against releases that wait for a connection, to a caller or to an exchange, and are dropped with the exit.
#[test]
fn a_release_that_waits_for_a_connection_delays_the_exit() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    harness.handle(Input::Stop);
    harness.advance(1_000);
    assert!(!harness.effects.contains(&Effect::Exit), "the caller does not know of the end of its call");
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.advance(600);
    assert_eq!(harness.caller_messages(1).last(), Some(&CallerMessage::Released { cut: false }));
    assert!(harness.effects.contains(&Effect::Exit));

    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(1) });
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    harness.handle(Input::Stop);
    harness.advance(1_000);
    assert!(!harness.effects.contains(&Effect::Exit), "the exchange does not know of the end of the call");
    harness
        .handle(Input::ExchangeConnected { exchange_conn: harness.exchange_conn(1), carries_calls: false });
    assert!(harness.effects.contains(&Effect::Exit));
}

#[test]
fn a_refused_call_gets_its_retry_after_at_once() {
    let mut harness = EngineHarness::new(2);
    let report = vec![0.0, 10.0];
    harness.handle(Input::GroupState { exchange_conn: harness.exchange_conn(1), report });
    harness.place_call(1, 1, 1_500);
    assert_eq!(
        harness.caller_messages(1),
        [CallerMessage::Refused { retry_after: Duration::from_millis(300) }]
    );
}

#[test]
fn the_end_of_a_call_established_before_the_start_is_forwarded_once_and_that_of_an_abandoned_call_is_not() {
    let mut harness = EngineHarness::new(3);
    harness.end_call(9, 2, Outcome::Completed, Reason::Unspecified);
    harness.end_call(9, 1, Outcome::Completed, Reason::Unspecified);
    harness.advance(300);
    assert_eq!(harness.caller_messages(9), [CallerMessage::Released { cut: false }]);
    harness.place_call(1, 2, 1_500);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    assert_eq!(harness.caller_messages(1), []);
}

#[test]
fn a_release_sent_while_its_connection_was_being_closed_is_sent_again_on_another() {
    let mut harness = EngineHarness::new(3);
    for call in [1, 2] {
        harness.place_call(call, 2, 1_500);
        harness.answer(call, 2);
    }
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    harness.advance(1_200);
    harness.end_call(2, 2, Outcome::Completed, Reason::Unspecified);
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    harness.effects.clear();
    harness.handle(Input::CallerMessagesUnread { caller_conn: CALLER_CONN });
    assert_eq!(harness.caller_messages(2), []);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    harness.advance(300);
    assert_eq!(
        (harness.caller_messages(1), harness.caller_messages(2)),
        (vec![], vec![CallerMessage::Released { cut: false }])
    );
}

#[test]
fn a_cold_exchange_gets_only_a_part_of_its_calls() {
    let mut harness = EngineHarness::new(3);
    for call in 0..60 {
        harness.advance(100);
        harness.place_call(call, 2, 1_500);
        harness.answer(call, 2);
    }
    // The start time is converted to milliseconds and back, as it is in the resolver and the configuration.
    let mut list: Vec<_> = (0..3).map(|exchange| list_entry(exchange, Readiness::Ready)).collect();
    let started_ms =
        swiftlb::engine::duration_to_ms(harness.now.duration_since(std::time::UNIX_EPOCH).expect("a time"));
    list[2].started_at = Some(std::time::UNIX_EPOCH + swiftlb::engine::duration_from_ms(started_ms));
    assert_eq!(
        list[2]
            .started_at
            .map(|started_at| harness.now.duration_since(started_at).is_ok_and(|d| d.as_millis() < 2)),
        Some(true)
    );
    harness.handle(Input::List(list));
    harness.effects.clear();
    harness.advance(400);
    (100..140).for_each(|call| harness.place_call(call, 2, 1_500));
    let cold = harness.exchange_conn(2);
    let sent = (100..140)
        .filter(|call| {
            harness.exchange_messages(*call).iter().any(|(exchange_conn, _)| *exchange_conn == cold)
        })
        .count();
    assert!((1..20).contains(&sent), "{sent} of 40 at once to a cold exchange");
}

#[test]
fn a_call_in_transit_whose_attempt_is_reset_fails_at_once_without_a_release_pause() {
    let mut harness = EngineHarness::new(3);
    let mut setup = harness.new_setup(2, 1_500);
    setup.transit_from = Some(1);
    harness.handle(Input::SetUp { caller_conn: CALLER_CONN, call: call_uid(1), setup });
    harness.end_call(1, 2, Outcome::Reset, Reason::Unspecified);
    assert_eq!((harness.caller_messages(1), harness.setup_count(1)), (vec![FAILED], 1));
}

#[test]
fn a_call_does_not_wait_for_an_exchange_that_was_removed_from_the_list() {
    let mut harness = EngineHarness::new(4);
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(2) });
    harness.place_call(1, 2, 1_500);
    // The exchange is removed while a connection to it is being opened; no further connection is requested.
    harness.handle(Input::List([0, 1, 3].map(|exchange| list_entry(exchange, Readiness::Ready)).to_vec()));
    let requested = harness.exchange_conns.len();
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: harness.exchange_conn(2), refused: true });
    harness.advance(2_000);
    assert_eq!((harness.exchange_conns.len(), harness.caller_messages(1).len()), (requested, 1));
}

/// Guards against a second set-up of a call that was established but whose answer was lost. Its caller was never told
/// that the first one had ended.
#[test]
fn a_call_whose_answer_was_lost_fails_at_its_normal_end() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.advance(600);
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    harness.advance(1_000);
    assert_eq!(harness.caller_messages(1), [CallerMessage::Failed { busy: false }]);
    assert_eq!(
        harness.exchange_messages(1).len(),
        1,
        "neither set up again nor cancelled: {:?}",
        harness.exchange_messages(1)
    );
}

/// The set-up time that the softswitch expects of an exchange, in ms.
fn expected_ms(harness: &mut EngineHarness, exchange: u32) -> f64 {
    harness.effects.clear();
    harness.handle(Input::OperatorRequest { request_id: 1, request: OperatorRequest::Fleet });
    let json = harness.effects.iter().find_map(|effect| match effect {
        Effect::ToOperator { reply: OperatorReply::Fleet(json), .. } => Some(json.clone()),
        _ => None,
    });
    let fleet: JsonValue = json.expect("the state of the fleet").parse().expect("valid JSON");
    let exchanges: &Vec<JsonValue> = fleet["exchanges"].get().expect("a list");
    let number = |entry: &&JsonValue| entry["exchange"].get::<f64>() == Some(&f64::from(exchange));
    *exchanges.iter().find(number).expect("the exchange")["expected_ms"].get().expect("a number")
}

/// Guards against an exchange that looks quicker with each call that its caller gives up.
#[test]
fn an_abandoned_attempt_does_not_lower_the_expected_set_up_time() {
    const ABANDONED_CALLS: u64 = 20;
    const OPEN_MS: u64 = 5;
    let learned = || {
        let mut harness = EngineHarness::new(3);
        for call in 1..20 {
            harness.place_call(call, 1, 3_000);
            harness.advance(300);
            harness.answer(call, 1);
        }
        harness
    };
    let mut harness = learned();
    for call in 20..20 + ABANDONED_CALLS {
        harness.place_call(call, 1, 3_000);
        harness.advance(OPEN_MS);
        harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(call), cause: 16 });
    }
    let mut idle = learned();
    idle.advance(ABANDONED_CALLS * OPEN_MS);
    // The decision module's clock moves with its events.
    idle.place_call(20, 2, 3_000);
    let (with_calls, without) = (expected_ms(&mut harness, 1), expected_ms(&mut idle, 1));
    assert!(without > 200.0 && with_calls >= without, "{with_calls} with abandoned calls, {without} without");
}
