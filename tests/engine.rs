//! The reducer under virtual time: what it guards against, whatever the exchanges, callers and list do.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use std::time::Duration;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid, list_entry};
use swiftlb::engine::{CallerMessage, Effect, ExchangeMessage, Front, Input, SetUp};
use swiftlb::interface::{Outcome, Readiness, Reason};

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
fn a_stalled_exchange_costs_one_final_answer_at_the_callers_time() {
    let mut harness = EngineHarness::new(3);
    // Received 40 ms before its turn came: the caller's clock runs from then.
    let mut setup = harness.new_setup(2, 1_000);
    setup.received = harness.now - Duration::from_millis(40);
    let way = harness.exchange_conn(2);
    harness.handle(Input::SetUp { caller_conn: CALLER_CONN, call: call_uid(1), setup });
    harness.advance(955);
    assert_eq!(harness.caller_messages(1), []);
    harness.advance(10);
    assert_eq!(harness.caller_messages(1), [FAILED]);
    assert_eq!(harness.exchange_messages(1).last(), Some(&(way, ExchangeMessage::Cancel)));
    // A late answer changes nothing, nor does a late release.
    harness.answer(1, 2);
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    harness.advance(3_000);
    assert_eq!(harness.caller_messages(1), [FAILED]);
}

#[test]
fn after_a_reset_the_call_waits_out_the_release_pause_and_has_one_attempt_out() {
    let mut harness = EngineHarness::new(4);
    harness.place_call(1, 2, 2_500);
    harness.end_call(1, 2, Outcome::Reset, Reason::Unspecified);
    assert_eq!(harness.setup_count(1), 1);
    // What the exchange still says of it is stale.
    harness.answer(1, 2);
    assert_eq!(harness.caller_messages(1), []);
    harness.advance(499);
    assert_eq!(harness.setup_count(1), 1, "sent within the release pause");
    harness.advance(2);
    assert_eq!(harness.setup_count(1), 2);
    let second = harness.exchange_messages(1).last().map(|(exchange_conn, _)| *exchange_conn);
    let place =
        (1..4).find(|place| Some(harness.exchange_conn(*place)) == second).expect("it went somewhere");
    harness.answer(1, place);
    assert_eq!(harness.caller_messages(1).len(), 1);
}

#[test]
fn a_caller_that_gives_up_is_owed_nothing_and_its_attempt_is_called_off() {
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
fn a_closed_connection_gives_up_its_open_set_ups_and_leaves_standing_calls() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 1_500);
    harness.place_call(2, 2, 1_500);
    harness.answer(1, 2);
    harness.effects.clear();
    harness.handle(Input::CallerDisconnected { caller_conn: CALLER_CONN });
    assert_eq!(harness.exchange_messages(2), [(harness.exchange_conn(2), ExchangeMessage::Cancel)]);
    assert_eq!((harness.exchange_messages(1), harness.engine.call_count()), (vec![], 1));
    // Its end waits for the next connection of the same front.
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::Iax2 });
    assert_eq!(harness.caller_messages(1), []);
    harness.handle(Input::CallerConnected { caller_conn: 9, front: Front::JsonLines });
    harness.advance(300);
    let message = CallerMessage::Released { cut: false };
    assert!(harness.effects.contains(&Effect::ToCaller { caller_conn: 9, call: call_uid(1), message }));
}

#[test]
fn a_release_goes_where_calls_were_served_rather_than_where_nothing_was_said() {
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
fn a_caller_may_release_a_standing_call_on_any_connection() {
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
fn a_broken_connection_cuts_nothing_that_stands_and_a_refused_one_does() {
    let mut harness = EngineHarness::new(4);
    for (call, dest) in [(1, 2), (2, 3)] {
        harness.place_call(call, dest, 1_500);
        harness.answer(call, dest as usize);
    }
    harness.advance(300);
    for place in [2, 3] {
        harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(place) });
    }
    // Both are dialled again at once. One lives, and the call that stands there ends as it should.
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
    // Nothing runs at an exchange that refuses to connect.
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: harness.exchange_conn(3), refused: true });
    assert_eq!(harness.caller_messages(2).last(), Some(&CUT));
}

#[test]
fn what_ran_on_a_connection_that_broke_is_released_before_it_is_sent_there_again() {
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
        .filter(|(on, _)| *on == exchange_conn)
        .map(|(_, word)| word)
        .collect();
    let [ExchangeMessage::Release { cause: 16 }, ExchangeMessage::SetUp { .. }] = &sent[..] else {
        panic!("{sent:?}")
    };
    harness.answer(1, 1);
    assert_eq!(harness.caller_messages(1).len(), 1);
}

#[test]
fn a_connection_that_is_silent_after_a_set_up_is_replaced_and_one_with_news_is_not() {
    let mut harness = EngineHarness::new(2);
    let dead = harness.exchange_conn(1);
    // One that never tells of its group is given more time.
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
    let spare = harness.exchange_conn(1);
    assert_ne!(spare, dead, "nothing was tried beside a silent connection");
    assert_eq!(harness.exchange_conns.iter().filter(|(n, _)| n == "s-1").count(), 2, "one at a time");
    harness.handle(Input::ExchangeConnected { exchange_conn: spare, carries_calls: false });
    assert!(harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn: dead }));
    harness.advance(500);
    // It comes again on the new one; the exchange is slow, but news of its group shows that the way is not dead.
    assert_eq!(
        harness
            .exchange_messages(1)
            .last()
            .map(|(exchange_conn, word)| (*exchange_conn, word != &ExchangeMessage::Cancel)),
        Some((spare, true))
    );
    harness.advance(1);
    harness.handle(Input::GroupState { exchange_conn: spare, report: vec![9.0, 10.0] });
    harness.advance(1_500);
    assert_eq!((harness.setup_count(1), harness.exchange_conn(1)), (2, spare));
    harness.answer(1, 1);
    assert_eq!(harness.caller_messages(1).len(), 1);
}

#[test]
fn a_machine_that_has_vanished_is_noticed_and_its_calls_are_cut_within_8_seconds() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 1_500);
    harness.answer(1, 2);
    let vanished = harness.now;
    // Its connection stays open and silent, and no new one comes up.
    while harness.caller_messages(1).len() < 2 {
        let dialled = harness.exchange_conns.len();
        harness.advance(250);
        if harness.exchange_conns.len() > dialled {
            let exchange_conn = harness.exchange_conns.last().expect("a way").1;
            harness.advance(500);
            harness.handle(Input::ExchangeConnectFailed { exchange_conn, refused: false });
        }
        assert!(harness.now.duration_since(vanished).expect("later") < Duration::from_secs(8));
    }
    assert_eq!(harness.caller_messages(1).last(), Some(&CUT));
}

#[test]
fn a_connection_from_callers_that_says_nothing_or_has_no_call_is_closed() {
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
    // A first call may be written over 2 s, on a poor link.
    harness.advance(2_200);
    assert!(!closed(&harness, 8));
    harness.advance(500);
    assert_eq!((closed(&harness, 8), closed(&harness, 9)), (true, false), "owed within 3 s");
    harness.advance(10_000);
    assert!(!closed(&harness, 9), "its call stands");
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    harness.advance(10_000);
    assert!(closed(&harness, 9));
}

#[test]
fn at_the_limit_the_longest_idle_connection_makes_room_and_none_with_an_open_set_up() {
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
    assert_eq!(closed(&harness), [102], "the oldest that has said nothing");
    for caller_conn in 103..611 {
        harness.handle(Input::HealthCheck { caller_conn, call: call_uid(5) });
    }
    harness.handle(Input::CallerConnected { caller_conn: 701, front: Front::JsonLines });
    assert_eq!(closed(&harness), [102, 100], "then the one idle for longest; the open set-up stays");
}

#[test]
fn figures_that_no_caller_of_the_class_can_mean_go_to_no_exchange() {
    let mut harness = EngineHarness::new(3);
    harness.handle(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    let good = harness.new_setup(2, 3_000);
    let wrong = [
        SetUp { remaining: Some(Duration::from_secs(1 << 40)), ..good.clone() },
        SetUp { width: Some(2.0), ..good.clone() },
        SetUp { class: "other".to_owned(), ..good.clone() },
    ];
    for (call, setup) in (1..).zip(wrong) {
        harness.handle(Input::SetUp { caller_conn: 8, call: call_uid(call), setup });
        assert_eq!((harness.caller_messages(call), harness.setup_count(call)), (vec![FAILED], 0));
    }
    // Whoever goes on like that is not listened to for ever.
    harness.handle(Input::MalformedSetUp { caller_conn: 8, call: call_uid(9) });
    assert!(harness.effects.contains(&Effect::CloseCallerConn { caller_conn: 8 }));
}

#[test]
fn state_shrinks_again_however_many_exchanges_calls_and_connections_have_come_and_gone() {
    let mut harness = EngineHarness::new(3);
    let mut entries = Vec::new();
    for round in 0..40 {
        let mut list = vec![list_entry(0, Readiness::Ready), list_entry(1, Readiness::Ready)];
        let mut later = list_entry(2, Readiness::Ready);
        later.name = format!("s-{round}-2").into();
        list.push(later);
        harness.handle(Input::List(list));
        let exchange_conn = harness.exchange_conns.last().expect("a way").1;
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
fn a_refused_connection_proves_that_nothing_ran_and_the_call_goes_elsewhere_at_once() {
    let mut harness = EngineHarness::new(4);
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(2) });
    harness.place_call(1, 2, 1_500);
    assert_eq!(harness.setup_count(1), 0);
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: harness.exchange_conn(2), refused: true });
    assert_eq!(harness.setup_count(1), 1);
}

#[test]
fn nothing_goes_to_an_exchange_that_drains_and_one_that_is_gone_cuts_its_calls() {
    let mut harness = EngineHarness::new(4);
    harness.place_call(1, 2, 1_500);
    harness.answer(1, 2);
    let list = |two: Option<Readiness>| {
        let places = [Some(Readiness::Ready), Some(Readiness::Ready), two, Some(Readiness::Ready)];
        let entries = places.iter().enumerate().filter_map(|(i, r)| r.map(|r| list_entry(i, r)));
        Input::List(entries.collect())
    };
    harness.handle(list(Some(Readiness::Draining)));
    let drained = harness.exchange_conn(2);
    harness.place_call(2, 2, 1_500);
    assert!(harness.exchange_messages(2).iter().all(|(exchange_conn, _)| *exchange_conn != drained));
    assert_eq!(harness.caller_messages(1).len(), 1);
    harness.handle(list(None));
    harness.advance(1_000);
    assert_eq!(harness.caller_messages(1).last(), Some(&CUT));
    assert!(harness.effects.contains(&Effect::CloseExchangeConn { exchange_conn: drained }));
}

#[test]
fn a_new_exchange_at_an_old_address_is_another_one() {
    let mut harness = EngineHarness::new(3);
    let mut later = list_entry(2, Readiness::Ready);
    later.name = "s-2b".into();
    let list = vec![list_entry(0, Readiness::Ready), list_entry(1, Readiness::Ready), later];
    harness.handle(Input::List(list));
    let dialled = harness.exchange_conns.last().expect("a way").clone();
    assert_eq!(dialled.0, "s-2b");
    harness.handle(Input::ExchangeConnected { exchange_conn: dialled.1, carries_calls: false });
    harness.place_call(1, 2, 1_500);
    assert_eq!(
        harness.exchange_messages(1).first().map(|(exchange_conn, _)| *exchange_conn),
        Some(dialled.1)
    );
}

#[test]
fn a_set_up_under_an_id_in_use_costs_its_own_connection_and_not_the_call_that_has_it() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 1_500);
    for (caller_conn, malformed) in [(8, false), (9, true)] {
        harness.handle(Input::CallerConnected { caller_conn, front: Front::JsonLines });
        let setup = harness.new_setup(1, 1_500);
        harness.handle(Input::SetUp { caller_conn, call: call_uid(caller_conn), setup });
        // Nor may another connection give it up.
        harness.handle(Input::HangUp { caller_conn, call: call_uid(1), cause: 16 });
        let setup = harness.new_setup(1, 1_500);
        harness.handle(if malformed {
            Input::MalformedSetUp { caller_conn, call: call_uid(1) }
        } else {
            Input::SetUp { caller_conn, call: call_uid(1), setup }
        });
        // What else was open there gets its one answer, and the connection is closed.
        assert_eq!(harness.caller_messages(caller_conn), [FAILED]);
        assert_eq!(harness.effects.last(), Some(&Effect::CloseCallerConn { caller_conn }));
    }
    harness.answer(1, 2);
    assert_eq!((harness.setup_count(1), harness.caller_messages(1).len()), (1, 1));
    // Twice under one id on one connection: one answer, whatever the exchange says later.
    harness.place_call(2, 2, 1_500);
    harness.place_call(2, 2, 1_500);
    harness.answer(2, 2);
    assert_eq!((harness.caller_messages(2), harness.caller_messages(1).len()), (vec![FAILED], 1));
    assert_eq!(
        harness.exchange_messages(2).last().map(|(_, word)| word.clone()),
        Some(ExchangeMessage::Cancel)
    );
}

#[test]
fn a_new_configuration_changes_settings_and_resolver_and_loses_no_call() {
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
    let ways = harness.exchange_conns.len();
    harness.handle(Input::Reload(config.clone()));
    assert!(harness.effects.contains(&Effect::Reconfigure(config.clone())));
    assert_eq!(
        (harness.exchange_conns.len(), harness.engine.call_count()),
        (ways, 2),
        "nothing is dialled or lost"
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
    // One that makes no sense is refused whole: neither its settings nor its resolver count.
    let mut wrong = config;
    wrong.settings.attempt_limit = 0;
    wrong.settings.max_retry_after_ms = 0.0;
    harness.effects.clear();
    harness.handle(Input::Reload(wrong));
    assert!(!harness.effects.iter().any(|effect| matches!(effect, Effect::Reconfigure(_))));
    harness.place_call(4, 2, 2_000);
    assert_eq!(harness.caller_messages(4), [refused]);
}

#[test]
fn after_the_order_to_stop_it_serves_on_and_ends_with_the_last_call() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 2, 2_000);
    harness.handle(Input::Drain);
    harness.advance(500);
    harness.place_call(2, 1, 2_000);
    harness.advance(600);
    assert!(!harness.effects.contains(&Effect::Exit));
    harness.answer(1, 2);
    assert!(!harness.effects.contains(&Effect::Exit));
    harness.answer(2, 1);
    harness.end_call(1, 2, Outcome::Completed, Reason::Unspecified);
    // A call that stands would be cut with the process.
    harness.advance(1_000);
    assert!(!harness.effects.contains(&Effect::Exit));
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(2), cause: 16 });
    assert!(harness.effects.contains(&Effect::Exit));
}

#[test]
fn a_call_that_stands_for_long_does_not_keep_a_process_that_was_told_to_stop() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.answer(1, 1);
    harness.handle(Input::Drain);
    harness.advance(9_900);
    assert!(!harness.effects.contains(&Effect::Exit));
    harness.advance(200);
    assert!(harness.effects.contains(&Effect::Exit));
}

#[test]
fn a_refused_call_hears_at_once_when_to_come_back() {
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
fn the_end_of_a_call_from_before_the_last_start_is_passed_on_and_that_of_one_from_here_is_not() {
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
fn a_release_that_crossed_the_close_of_its_connection_is_sent_again_on_another() {
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
fn an_exchange_that_has_just_started_gets_a_part_of_its_calls_only() {
    let mut harness = EngineHarness::new(3);
    for call in 0..60 {
        harness.advance(100);
        harness.place_call(call, 2, 1_500);
        harness.answer(call, 2);
    }
    // Both ways of telling its start: the list as it comes, and the list of the configuration.
    let mut list: Vec<_> = (0..3).map(|place| list_entry(place, Readiness::Ready)).collect();
    let started =
        swiftlb::engine::duration_to_ms(harness.now.duration_since(std::time::UNIX_EPOCH).expect("a time"));
    list[2].started_at = Some(std::time::UNIX_EPOCH + swiftlb::engine::duration_from_ms(started));
    assert_eq!(
        list[2].started_at.map(|born| harness.now.duration_since(born).is_ok_and(|d| d.as_millis() < 2)),
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
fn transit_that_is_reset_is_turned_back_at_once_and_not_after_the_release_pause() {
    let mut harness = EngineHarness::new(3);
    let mut setup = harness.new_setup(2, 1_500);
    setup.transit_from = Some(1);
    harness.handle(Input::SetUp { caller_conn: CALLER_CONN, call: call_uid(1), setup });
    harness.end_call(1, 2, Outcome::Reset, Reason::Unspecified);
    assert_eq!((harness.caller_messages(1), harness.setup_count(1)), (vec![FAILED], 1));
}

#[test]
fn a_call_is_not_kept_waiting_for_an_exchange_that_is_gone() {
    let mut harness = EngineHarness::new(4);
    harness.handle(Input::ExchangeDisconnected { exchange_conn: harness.exchange_conn(2) });
    harness.place_call(1, 2, 1_500);
    // Its connection is being dialled when the list tells that it is gone; its address is dialled no more.
    harness.handle(Input::List([0, 1, 3].map(|place| list_entry(place, Readiness::Ready)).to_vec()));
    let dialled = harness.exchange_conns.len();
    harness.handle(Input::ExchangeConnectFailed { exchange_conn: harness.exchange_conn(2), refused: true });
    harness.advance(2_000);
    assert_eq!((harness.exchange_conns.len(), harness.caller_messages(1).len()), (dialled, 1));
}

/// Guards against a second set-up of a call that stood without its answer having come: its caller was never told that
/// the first one was over.
#[test]
fn a_call_whose_answer_was_lost_fails_when_its_normal_end_comes() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.advance(600);
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    harness.advance(1_000);
    assert_eq!(harness.caller_messages(1), [CallerMessage::Failed { busy: false }]);
    assert_eq!(
        harness.exchange_messages(1).len(),
        1,
        "neither set up again nor called off: {:?}",
        harness.exchange_messages(1)
    );
}
