//! The reducer under virtual time: what it guards against, whatever the exchanges, callers and list do.

#[path = "common/desk.rs"]
mod desk;

use std::time::Duration;

use desk::{Desk, LINK, entry, name};
use swiftlb::engine::{CallerMessage, Effect, ExchangeMessage, Front, Input, SetUp};
use swiftlb::interface::{Outcome, Readiness, Reason};

const FAILED: CallerMessage = CallerMessage::Failed { busy: false };
const CUT: CallerMessage = CallerMessage::Released { cut: true };

#[test]
fn a_call_is_set_up_answered_and_released_with_its_fields_unchanged() {
    let mut desk = Desk::new(3);
    desk.call(1, 2, 1_500);
    let sent = desk.sent(1);
    let ExchangeMessage::SetUp { class, called_number, remaining, description } = &sent[0].1 else {
        panic!("{sent:?}")
    };
    assert_eq!((sent.len(), sent[0].0, class.as_str()), (1, desk.way(2), "status"));
    assert_eq!(
        (called_number.as_deref(), *remaining),
        (Some("7f3a9c21e0b4d655"), Duration::from_millis(1_500))
    );
    assert_eq!(description.as_deref(), Some("v=0\r\n"));
    desk.answer(1, 2);
    assert_eq!(desk.told(1), [CallerMessage::Answered { description: Some("answer".into()) }]);
    desk.seen.clear();
    desk.pass(5_000);
    desk.end(1, 2, Outcome::Completed, Reason::Unspecified);
    assert_eq!(desk.told(1), [CallerMessage::Released { cut: false }]);
    assert_eq!(desk.engine.calls(), 0);
}

#[test]
fn a_stalled_exchange_costs_one_final_answer_at_the_callers_time() {
    let mut desk = Desk::new(3);
    // Received 40 ms before its turn came: the caller's clock runs from then.
    let mut setup = desk.setup(2, 1_000);
    setup.received = desk.now - Duration::from_millis(40);
    let way = desk.way(2);
    desk.put(Input::SetUp { caller_conn: LINK, call: name(1), setup });
    desk.pass(955);
    assert_eq!(desk.told(1), []);
    desk.pass(10);
    assert_eq!(desk.told(1), [FAILED]);
    assert_eq!(desk.sent(1).last(), Some(&(way, ExchangeMessage::Cancel)));
    // A late answer changes nothing, nor does a late release.
    desk.answer(1, 2);
    desk.end(1, 2, Outcome::Completed, Reason::Unspecified);
    desk.pass(3_000);
    assert_eq!(desk.told(1), [FAILED]);
}

#[test]
fn after_a_reset_the_call_waits_out_the_release_pause_and_has_one_attempt_out() {
    let mut desk = Desk::new(4);
    desk.call(1, 2, 2_500);
    desk.end(1, 2, Outcome::Reset, Reason::Unspecified);
    assert_eq!(desk.setups(1), 1);
    // What the exchange still says of it is stale.
    desk.answer(1, 2);
    assert_eq!(desk.told(1), []);
    desk.pass(499);
    assert_eq!(desk.setups(1), 1, "sent within the release pause");
    desk.pass(2);
    assert_eq!(desk.setups(1), 2);
    let second = desk.sent(1).last().map(|(exchange_conn, _)| *exchange_conn);
    let place = (1..4).find(|place| Some(desk.way(*place)) == second).expect("it went somewhere");
    desk.answer(1, place);
    assert_eq!(desk.told(1).len(), 1);
}

#[test]
fn a_caller_that_gives_up_is_owed_nothing_and_its_attempt_is_called_off() {
    let mut desk = Desk::new(3);
    desk.call(1, 2, 1_500);
    desk.put(Input::HangUp { caller_conn: LINK, call: name(1), cause: 16 });
    assert_eq!(desk.sent(1).last(), Some(&(desk.way(2), ExchangeMessage::Cancel)));
    desk.pass(3_000);
    assert_eq!((desk.told(1), desk.engine.calls()), (vec![], 0));
}

#[test]
fn a_closed_connection_gives_up_its_open_set_ups_and_leaves_standing_calls() {
    let mut desk = Desk::new(3);
    desk.call(1, 2, 1_500);
    desk.call(2, 2, 1_500);
    desk.answer(1, 2);
    desk.seen.clear();
    desk.put(Input::CallerDisconnected { caller_conn: LINK });
    assert_eq!(desk.sent(2), [(desk.way(2), ExchangeMessage::Cancel)]);
    assert_eq!((desk.sent(1), desk.engine.calls()), (vec![], 1));
    // Its end waits for the next connection of the same front.
    desk.end(1, 2, Outcome::Completed, Reason::Unspecified);
    desk.put(Input::CallerConnected { caller_conn: 8, front: Front::Iax2 });
    assert_eq!(desk.told(1), []);
    desk.put(Input::CallerConnected { caller_conn: 9, front: Front::JsonLines });
    desk.pass(300);
    let message = CallerMessage::Released { cut: false };
    assert!(desk.seen.contains(&Effect::ToCaller { caller_conn: 9, call: name(1), message }));
}

#[test]
fn a_release_goes_where_calls_were_served_rather_than_where_nothing_was_said() {
    let mut desk = Desk::new(3);
    for caller_conn in [8, 9, 10] {
        desk.put(Input::CallerConnected { caller_conn, front: Front::JsonLines });
    }
    let setup = desk.setup(1, 1_500);
    desk.put(Input::SetUp { caller_conn: 9, call: name(9), setup });
    desk.answer(9, 1);
    desk.call(1, 2, 1_500);
    desk.answer(1, 2);
    desk.put(Input::CallerDisconnected { caller_conn: LINK });
    desk.end(1, 2, Outcome::Completed, Reason::Unspecified);
    let message = CallerMessage::Released { cut: false };
    assert_eq!(desk.seen.last(), Some(&Effect::ToCaller { caller_conn: 9, call: name(1), message }));
}

#[test]
fn a_caller_may_release_a_standing_call_on_any_connection() {
    let mut desk = Desk::new(3);
    desk.call(1, 2, 1_500);
    desk.answer(1, 2);
    desk.put(Input::HangUp { caller_conn: LINK, call: name(1), cause: 16 });
    assert_eq!(desk.sent(1).last(), Some(&(desk.way(2), ExchangeMessage::Release { cause: 16 })));
    assert_eq!(desk.engine.calls(), 0);
}

#[test]
fn a_broken_connection_cuts_nothing_that_stands_and_a_refused_one_does() {
    let mut desk = Desk::new(4);
    for (call, dest) in [(1, 2), (2, 3)] {
        desk.call(call, dest, 1_500);
        desk.answer(call, dest as usize);
    }
    desk.pass(300);
    for place in [2, 3] {
        desk.put(Input::ExchangeDisconnected { exchange_conn: desk.way(place) });
    }
    // Both are dialled again at once. One lives, and the call that stands there ends as it should.
    let exchange_conn = desk.way(2);
    desk.put(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    assert_eq!((desk.told(1).len(), desk.told(2).len()), (1, 1));
    desk.put(Input::Ended {
        exchange_conn,
        call: name(1),
        outcome: Outcome::Completed,
        reason: Reason::Unspecified,
    });
    assert_eq!(desk.told(1).last(), Some(&CallerMessage::Released { cut: false }));
    // Nothing runs at an exchange that refuses to connect.
    desk.put(Input::ExchangeConnectFailed { exchange_conn: desk.way(3), refused: true });
    assert_eq!(desk.told(2).last(), Some(&CUT));
}

#[test]
fn what_ran_on_a_connection_that_broke_is_released_before_it_is_sent_there_again() {
    let mut desk = Desk::new(2);
    desk.pass(300);
    desk.call(1, 1, 2_500);
    let broken = desk.way(1);
    desk.put(Input::ExchangeDisconnected { exchange_conn: broken });
    let exchange_conn = desk.way(1);
    assert_ne!(exchange_conn, broken);
    desk.put(Input::ExchangeConnected { exchange_conn, carries_calls: false });
    desk.pass(600);
    let sent: Vec<_> =
        desk.sent(1).into_iter().filter(|(on, _)| *on == exchange_conn).map(|(_, word)| word).collect();
    let [ExchangeMessage::Release { cause: 16 }, ExchangeMessage::SetUp { .. }] = &sent[..] else {
        panic!("{sent:?}")
    };
    desk.answer(1, 1);
    assert_eq!(desk.told(1).len(), 1);
}

#[test]
fn a_connection_that_is_silent_after_a_set_up_is_replaced_and_one_with_news_is_not() {
    let mut desk = Desk::new(2);
    let dead = desk.way(1);
    // One that never tells of its group is given more time.
    let mut other = Desk::new(2);
    other.call(1, 1, 3_000);
    other.pass(1_500);
    assert_eq!(other.ways.len(), 1);
    desk.put(Input::GroupState { exchange_conn: dead, report: vec![9.0, 10.0] });
    desk.pass(1);
    desk.call(1, 1, 3_000);
    desk.pass(140);
    assert_eq!(desk.way(1), dead);
    desk.pass(500);
    let spare = desk.way(1);
    assert_ne!(spare, dead, "nothing was tried beside a silent connection");
    assert_eq!(desk.ways.iter().filter(|(n, _)| n == "s-1").count(), 2, "one at a time");
    desk.put(Input::ExchangeConnected { exchange_conn: spare, carries_calls: false });
    assert!(desk.seen.contains(&Effect::CloseExchangeConn { exchange_conn: dead }));
    desk.pass(500);
    // It comes again on the new one; the exchange is slow, but news of its group shows that the way is not dead.
    assert_eq!(
        desk.sent(1).last().map(|(exchange_conn, word)| (*exchange_conn, word != &ExchangeMessage::Cancel)),
        Some((spare, true))
    );
    desk.pass(1);
    desk.put(Input::GroupState { exchange_conn: spare, report: vec![9.0, 10.0] });
    desk.pass(1_500);
    assert_eq!((desk.setups(1), desk.way(1)), (2, spare));
    desk.answer(1, 1);
    assert_eq!(desk.told(1).len(), 1);
}

#[test]
fn a_machine_that_has_vanished_is_noticed_and_its_calls_are_cut_within_8_seconds() {
    let mut desk = Desk::new(3);
    desk.call(1, 2, 1_500);
    desk.answer(1, 2);
    let vanished = desk.now;
    // Its connection stays open and silent, and no new one comes up.
    while desk.told(1).len() < 2 {
        let dialled = desk.ways.len();
        desk.pass(250);
        if desk.ways.len() > dialled {
            let exchange_conn = desk.ways.last().expect("a way").1;
            desk.pass(500);
            desk.put(Input::ExchangeConnectFailed { exchange_conn, refused: false });
        }
        assert!(desk.now.duration_since(vanished).expect("later") < Duration::from_secs(8));
    }
    assert_eq!(desk.told(1).last(), Some(&CUT));
}

#[test]
fn a_connection_from_callers_that_says_nothing_or_has_no_call_is_closed() {
    let mut desk = Desk::new(3);
    for caller_conn in [8, 9] {
        desk.put(Input::CallerConnected { caller_conn, front: Front::JsonLines });
    }
    let closed = |desk: &Desk, caller_conn| desk.seen.contains(&Effect::CloseCallerConn { caller_conn });
    let setup = desk.setup(2, 1_500);
    desk.put(Input::SetUp { caller_conn: 9, call: name(1), setup });
    desk.answer(1, 2);
    // A first call may be written over 2 s, on a poor link.
    desk.pass(2_200);
    assert!(!closed(&desk, 8));
    desk.pass(500);
    assert_eq!((closed(&desk, 8), closed(&desk, 9)), (true, false), "owed within 3 s");
    desk.pass(10_000);
    assert!(!closed(&desk, 9), "its call stands");
    desk.end(1, 2, Outcome::Completed, Reason::Unspecified);
    desk.pass(10_000);
    assert!(closed(&desk, 9));
}

#[test]
fn at_the_limit_the_longest_idle_connection_makes_room_and_none_with_an_open_set_up() {
    let mut desk = Desk::new(3);
    // The limit is half of 1,024 descriptors, and the desk's own connection is the first.
    let setup = desk.setup(2, 3_000);
    desk.put(Input::SetUp { caller_conn: LINK, call: name(1), setup });
    for caller_conn in 100..611 {
        desk.put(Input::CallerConnected { caller_conn, front: Front::JsonLines });
        if caller_conn < 102 {
            desk.put(Input::HealthCheck { caller_conn, call: name(5) });
        }
        desk.pass(if caller_conn < 102 { 1 } else { 0 });
    }
    desk.pass(300);
    let closed = |desk: &Desk| -> Vec<_> {
        let closed = desk.seen.iter().filter_map(|effect| match effect {
            Effect::CloseCallerConn { caller_conn } => Some(*caller_conn),
            _ => None,
        });
        closed.collect()
    };
    assert_eq!(closed(&desk), [0_u64; 0]);
    desk.put(Input::CallerConnected { caller_conn: 700, front: Front::JsonLines });
    assert_eq!(closed(&desk), [102], "the oldest that has said nothing");
    for caller_conn in 103..611 {
        desk.put(Input::HealthCheck { caller_conn, call: name(5) });
    }
    desk.put(Input::CallerConnected { caller_conn: 701, front: Front::JsonLines });
    assert_eq!(closed(&desk), [102, 100], "then the one idle for longest; the open set-up stays");
}

#[test]
fn figures_that_no_caller_of_the_class_can_mean_go_to_no_exchange() {
    let mut desk = Desk::new(3);
    desk.put(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    let good = desk.setup(2, 3_000);
    let wrong = [
        SetUp { remaining: Some(Duration::from_secs(1 << 40)), ..good.clone() },
        SetUp { width: Some(2.0), ..good.clone() },
        SetUp { class: "other".to_owned(), ..good.clone() },
    ];
    for (call, setup) in (1..).zip(wrong) {
        desk.put(Input::SetUp { caller_conn: 8, call: name(call), setup });
        assert_eq!((desk.told(call), desk.setups(call)), (vec![FAILED], 0));
    }
    // Whoever goes on like that is not listened to for ever.
    desk.put(Input::MalformedSetUp { caller_conn: 8, call: name(9) });
    assert!(desk.seen.contains(&Effect::CloseCallerConn { caller_conn: 8 }));
}

#[test]
fn state_shrinks_again_however_many_exchanges_calls_and_connections_have_come_and_gone() {
    let mut desk = Desk::new(3);
    let mut entries = Vec::new();
    for round in 0..40 {
        let mut list = vec![entry(0, Readiness::Ready), entry(1, Readiness::Ready)];
        let mut later = entry(2, Readiness::Ready);
        later.name = format!("s-{round}-2").into();
        list.push(later);
        desk.put(Input::List(list));
        let exchange_conn = desk.ways.last().expect("a way").1;
        desk.put(Input::ExchangeConnected { exchange_conn, carries_calls: false });
        for call in 0..50 {
            let (caller_conn, call) = (1_000 + 50 * round + call, 50 * round + call);
            desk.put(Input::CallerConnected { caller_conn, front: Front::JsonLines });
            let setup = desk.setup(2, 1_000);
            desk.put(Input::SetUp { caller_conn, call: name(call), setup });
            desk.put(Input::Answered { exchange_conn, call: name(call), description: Some("answer".into()) });
            desk.pass(40);
            desk.put(Input::Ended {
                exchange_conn,
                call: name(call),
                outcome: Outcome::Completed,
                reason: Reason::Unspecified,
            });
        }
        desk.seen.clear();
        entries.push(desk.engine.entries());
    }
    let (middle, end) = (entries[20], entries[39]);
    assert!(end <= middle + middle / 10, "{entries:?}");
    desk.pass(60_000);
    assert!(desk.engine.entries() < 40, "{}", desk.engine.entries());
}

#[test]
fn a_refused_connection_proves_that_nothing_ran_and_the_call_goes_elsewhere_at_once() {
    let mut desk = Desk::new(4);
    desk.put(Input::ExchangeDisconnected { exchange_conn: desk.way(2) });
    desk.call(1, 2, 1_500);
    assert_eq!(desk.setups(1), 0);
    desk.put(Input::ExchangeConnectFailed { exchange_conn: desk.way(2), refused: true });
    assert_eq!(desk.setups(1), 1);
}

#[test]
fn nothing_goes_to_an_exchange_that_drains_and_one_that_is_gone_cuts_its_calls() {
    let mut desk = Desk::new(4);
    desk.call(1, 2, 1_500);
    desk.answer(1, 2);
    let list = |two: Option<Readiness>| {
        let places = [Some(Readiness::Ready), Some(Readiness::Ready), two, Some(Readiness::Ready)];
        let entries = places.iter().enumerate().filter_map(|(i, r)| r.map(|r| entry(i, r)));
        Input::List(entries.collect())
    };
    desk.put(list(Some(Readiness::Draining)));
    let drained = desk.way(2);
    desk.call(2, 2, 1_500);
    assert!(desk.sent(2).iter().all(|(exchange_conn, _)| *exchange_conn != drained));
    assert_eq!(desk.told(1).len(), 1);
    desk.put(list(None));
    desk.pass(1_000);
    assert_eq!(desk.told(1).last(), Some(&CUT));
    assert!(desk.seen.contains(&Effect::CloseExchangeConn { exchange_conn: drained }));
}

#[test]
fn a_new_exchange_at_an_old_address_is_another_one() {
    let mut desk = Desk::new(3);
    let mut later = entry(2, Readiness::Ready);
    later.name = "s-2b".into();
    let list = vec![entry(0, Readiness::Ready), entry(1, Readiness::Ready), later];
    desk.put(Input::List(list));
    let dialled = desk.ways.last().expect("a way").clone();
    assert_eq!(dialled.0, "s-2b");
    desk.put(Input::ExchangeConnected { exchange_conn: dialled.1, carries_calls: false });
    desk.call(1, 2, 1_500);
    assert_eq!(desk.sent(1).first().map(|(exchange_conn, _)| *exchange_conn), Some(dialled.1));
}

#[test]
fn a_set_up_under_an_id_in_use_costs_its_own_connection_and_not_the_call_that_has_it() {
    let mut desk = Desk::new(3);
    desk.call(1, 2, 1_500);
    for (caller_conn, malformed) in [(8, false), (9, true)] {
        desk.put(Input::CallerConnected { caller_conn, front: Front::JsonLines });
        let setup = desk.setup(1, 1_500);
        desk.put(Input::SetUp { caller_conn, call: name(caller_conn), setup });
        // Nor may another connection give it up.
        desk.put(Input::HangUp { caller_conn, call: name(1), cause: 16 });
        let setup = desk.setup(1, 1_500);
        desk.put(if malformed {
            Input::MalformedSetUp { caller_conn, call: name(1) }
        } else {
            Input::SetUp { caller_conn, call: name(1), setup }
        });
        // What else was open there gets its one answer, and the connection is closed.
        assert_eq!(desk.told(caller_conn), [FAILED]);
        assert_eq!(desk.seen.last(), Some(&Effect::CloseCallerConn { caller_conn }));
    }
    desk.answer(1, 2);
    assert_eq!((desk.setups(1), desk.told(1).len()), (1, 1));
    // Twice under one id on one connection: one answer, whatever the exchange says later.
    desk.call(2, 2, 1_500);
    desk.call(2, 2, 1_500);
    desk.answer(2, 2);
    assert_eq!((desk.told(2), desk.told(1).len()), (vec![FAILED], 1));
    assert_eq!(desk.sent(2).last().map(|(_, word)| word.clone()), Some(ExchangeMessage::Cancel));
}

#[test]
fn a_new_configuration_changes_settings_and_resolver_and_loses_no_call() {
    let mut desk = Desk::new(3);
    desk.call(1, 2, 2_000);
    desk.call(2, 1, 2_000);
    desk.answer(2, 1);
    let mut config = desk::config(3);
    config.names = "127.0.0.9:53".parse().expect("an address");
    config.classes.reverse();
    config.settings.classes.reverse();
    config.settings.max_retry_after_ms = 50.0;
    let config = Box::new(config);
    let ways = desk.ways.len();
    desk.put(Input::Reload(config.clone()));
    assert!(desk.seen.contains(&Effect::Reconfigure(config.clone())));
    assert_eq!((desk.ways.len(), desk.engine.calls()), (ways, 2), "nothing is dialled or lost");
    desk.answer(1, 2);
    desk.end(2, 1, Outcome::Completed, Reason::Unspecified);
    assert_eq!((desk.told(1).len(), desk.told(2).last()), (1, Some(&CallerMessage::Released { cut: false })));
    desk.put(Input::GroupState { exchange_conn: desk.way(2), report: vec![0.0, 10.0] });
    desk.put(Input::GroupState { exchange_conn: desk.way(1), report: vec![0.0, 10.0] });
    desk.call(3, 2, 2_000);
    let refused = CallerMessage::Refused { retry_after: Duration::from_millis(50) };
    assert_eq!(desk.told(3), std::slice::from_ref(&refused));
    // One that makes no sense is refused whole: neither its settings nor its resolver count.
    let mut wrong = config;
    wrong.settings.attempt_limit = 0;
    wrong.settings.max_retry_after_ms = 0.0;
    desk.seen.clear();
    desk.put(Input::Reload(wrong));
    assert!(!desk.seen.iter().any(|effect| matches!(effect, Effect::Reconfigure(_))));
    desk.call(4, 2, 2_000);
    assert_eq!(desk.told(4), [refused]);
}

#[test]
fn after_the_order_to_stop_it_serves_on_and_ends_with_the_last_call() {
    let mut desk = Desk::new(3);
    desk.call(1, 2, 2_000);
    desk.put(Input::Drain);
    desk.pass(500);
    desk.call(2, 1, 2_000);
    desk.pass(600);
    assert!(!desk.seen.contains(&Effect::Exit));
    desk.answer(1, 2);
    assert!(!desk.seen.contains(&Effect::Exit));
    desk.answer(2, 1);
    desk.end(1, 2, Outcome::Completed, Reason::Unspecified);
    // A call that stands would be cut with the process.
    desk.pass(1_000);
    assert!(!desk.seen.contains(&Effect::Exit));
    desk.put(Input::HangUp { caller_conn: LINK, call: name(2), cause: 16 });
    assert!(desk.seen.contains(&Effect::Exit));
}

#[test]
fn a_call_that_stands_for_long_does_not_keep_a_process_that_was_told_to_stop() {
    let mut desk = Desk::new(3);
    desk.call(1, 1, 3_000);
    desk.answer(1, 1);
    desk.put(Input::Drain);
    desk.pass(9_900);
    assert!(!desk.seen.contains(&Effect::Exit));
    desk.pass(200);
    assert!(desk.seen.contains(&Effect::Exit));
}

#[test]
fn a_refused_call_hears_at_once_when_to_come_back() {
    let mut desk = Desk::new(2);
    let report = vec![0.0, 10.0];
    desk.put(Input::GroupState { exchange_conn: desk.way(1), report });
    desk.call(1, 1, 1_500);
    assert_eq!(desk.told(1), [CallerMessage::Refused { retry_after: Duration::from_millis(300) }]);
}

#[test]
fn the_end_of_a_call_from_before_the_last_start_is_passed_on_and_that_of_one_from_here_is_not() {
    let mut desk = Desk::new(3);
    desk.end(9, 2, Outcome::Completed, Reason::Unspecified);
    desk.end(9, 1, Outcome::Completed, Reason::Unspecified);
    desk.pass(300);
    assert_eq!(desk.told(9), [CallerMessage::Released { cut: false }]);
    desk.call(1, 2, 1_500);
    desk.put(Input::HangUp { caller_conn: LINK, call: name(1), cause: 16 });
    desk.end(1, 2, Outcome::Completed, Reason::Unspecified);
    assert_eq!(desk.told(1), []);
}

#[test]
fn a_release_that_crossed_the_close_of_its_connection_is_sent_again_on_another() {
    let mut desk = Desk::new(3);
    for call in [1, 2] {
        desk.call(call, 2, 1_500);
        desk.answer(call, 2);
    }
    desk.end(1, 2, Outcome::Completed, Reason::Unspecified);
    desk.pass(1_200);
    desk.end(2, 2, Outcome::Completed, Reason::Unspecified);
    desk.put(Input::CallerDisconnected { caller_conn: LINK });
    desk.seen.clear();
    desk.put(Input::CallerMessagesUnread { caller_conn: LINK });
    assert_eq!(desk.told(2), []);
    desk.put(Input::CallerConnected { caller_conn: 8, front: Front::JsonLines });
    desk.pass(300);
    assert_eq!((desk.told(1), desk.told(2)), (vec![], vec![CallerMessage::Released { cut: false }]));
}

#[test]
fn an_exchange_that_has_just_started_gets_a_part_of_its_calls_only() {
    let mut desk = Desk::new(3);
    for call in 0..60 {
        desk.pass(100);
        desk.call(call, 2, 1_500);
        desk.answer(call, 2);
    }
    // Both ways of telling its start: the list as it comes, and the list of the configuration.
    let mut list: Vec<_> = (0..3).map(|place| entry(place, Readiness::Ready)).collect();
    let started = swiftlb::engine::millis(desk.now.duration_since(std::time::UNIX_EPOCH).expect("a time"));
    list[2].started_at = Some(std::time::UNIX_EPOCH + swiftlb::engine::span(started));
    assert_eq!(
        list[2].started_at.map(|born| desk.now.duration_since(born).is_ok_and(|d| d.as_millis() < 2)),
        Some(true)
    );
    desk.put(Input::List(list));
    desk.seen.clear();
    desk.pass(400);
    (100..140).for_each(|call| desk.call(call, 2, 1_500));
    let cold = desk.way(2);
    let sent = (100..140)
        .filter(|call| desk.sent(*call).iter().any(|(exchange_conn, _)| *exchange_conn == cold))
        .count();
    assert!((1..20).contains(&sent), "{sent} of 40 at once to a cold exchange");
}

#[test]
fn transit_that_is_reset_is_turned_back_at_once_and_not_after_the_release_pause() {
    let mut desk = Desk::new(3);
    let mut setup = desk.setup(2, 1_500);
    setup.transit_from = Some(1);
    desk.put(Input::SetUp { caller_conn: LINK, call: name(1), setup });
    desk.end(1, 2, Outcome::Reset, Reason::Unspecified);
    assert_eq!((desk.told(1), desk.setups(1)), (vec![FAILED], 1));
}

#[test]
fn a_call_is_not_kept_waiting_for_an_exchange_that_is_gone() {
    let mut desk = Desk::new(4);
    desk.put(Input::ExchangeDisconnected { exchange_conn: desk.way(2) });
    desk.call(1, 2, 1_500);
    // Its connection is being dialled when the list tells that it is gone; its address is dialled no more.
    desk.put(Input::List([0, 1, 3].map(|place| entry(place, Readiness::Ready)).to_vec()));
    let dialled = desk.ways.len();
    desk.put(Input::ExchangeConnectFailed { exchange_conn: desk.way(2), refused: true });
    desk.pass(2_000);
    assert_eq!((desk.ways.len(), desk.told(1).len()), (dialled, 1));
}

/// Guards against a second set-up of a call that stood without its answer having come: its caller was never told that
/// the first one was over.
#[test]
fn a_call_whose_answer_was_lost_fails_when_its_normal_end_comes() {
    let mut desk = Desk::new(3);
    desk.call(1, 1, 3_000);
    desk.pass(600);
    desk.end(1, 1, Outcome::Completed, Reason::Unspecified);
    desk.pass(1_000);
    assert_eq!(desk.told(1), [CallerMessage::Failed { busy: false }]);
    assert_eq!(desk.sent(1).len(), 1, "neither set up again nor called off: {:?}", desk.sent(1));
}
