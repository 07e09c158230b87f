//! Tests of route choice, transit, crank-back, admission, and messages to and from the peers.

mod common;

use common::{Host, SEEDS};
use swiftlb::interface::{
    Action, Event, ExchangeId, ListUpdateKind, ListedExchange, Outcome, Readiness, Reason,
};

/// Timer tag of the periodic maintenance, which the first event starts.
const MAINTENANCE_TAG: u64 = 1 << 32;

#[test]
fn a_call_goes_direct_while_its_group_has_free_circuits() {
    for seed in 0..SEEDS {
        let mut host = Host::mesh(3, seed);
        host.report_free_circuits(1, 2.0, 30.0);
        host.report_free_circuits(2, 30.0, 30.0);
        assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(1));
        assert_eq!(
            host.offer_call(2, 1, 1).sent_to(),
            Some(2),
            "one free circuit is too few for a call of width 2; only tandem 2 remains"
        );
    }
}

#[test]
fn the_sampled_tandem_with_most_free_circuits_is_chosen_and_the_larger_group_on_ties() {
    for seed in 0..SEEDS {
        let mut host = Host::mesh(4, seed);
        host.report_free_circuits(1, 0.0, 30.0);
        host.report_free_circuits(2, 20.0, 30.0);
        host.report_free_circuits(3, 21.0, 30.0);
        assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(3));
        let mut host = Host::mesh(4, seed);
        host.report_free_circuits(1, 0.0, 30.0);
        host.report_free_circuits(2, 20.0, 40.0);
        host.report_free_circuits(3, 20.0, 30.0);
        assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(2));
    }
}

/// Two tandems are sampled where the settings allow no messages to peers, six where they do; the one with most free
/// circuits is chosen.
#[test]
fn tandems_are_sampled_at_random_and_more_of_them_where_peers_send_messages() {
    let picked = |may_message_peers: bool| -> std::collections::BTreeSet<u32> {
        (0..60)
            .filter_map(|seed| {
                let mut host = Host::mesh(12, seed);
                let mut settings = host.settings.clone();
                settings.may_message_peers = may_message_peers;
                host.restart_with_exchanges(settings, seed, 12);
                host.report_free_circuits(1, 0.0, 30.0);
                (2..12).for_each(|n| host.report_free_circuits(n, 10.0 + f64::from(n), 30.0));
                host.offer_call(1, 0, 1).sent_to()
            })
            .collect()
    };
    let (few, more) = (picked(false), picked(true));
    assert!(few.len() >= 6, "without sampling, 11 would be chosen each time: {few:?}");
    assert!(!few.contains(&2), "2 never has the most free circuits of two samples");
    assert!(more.iter().all(|n| *n >= 7), "6 never has the most free circuits of six samples: {more:?}");
    assert!(more.len() >= 3);
}

/// In large deployments a third to a half of the pairs of exchanges have no group. When all tandems were sampled, most
/// of the samples lacked one of the two legs.
#[test]
fn only_tandems_with_an_own_group_are_sampled() {
    for seed in 0..SEEDS {
        let mut host = Host::mesh(12, seed);
        (1..12).for_each(|n| host.report_free_circuits(n, 0.0, 0.0));
        assert_eq!(host.offer_call(1, 0, 1).sent_to(), None, "there is no route to 1");
        host.report_free_circuits(7, 4.0, 9.0);
        assert_eq!(host.offer_call(2, 0, 1).sent_to(), Some(7));
    }
}

/// Where no group exists, the tandem is the first route: no overflow reserve applies on its first leg, and
/// the wait at the destination does not stop the call.
#[test]
fn a_pair_without_a_group_uses_its_tandem_as_the_first_route() {
    let mut host = Host::mesh(3, 1);
    host.report_free_circuits(1, 0.0, 0.0);
    host.report_free_circuits(2, 1.0, 30.0);
    assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(2));
    host.report_free_circuits(1, 0.0, 9.0);
    host.report_free_circuits(2, 1.0, 30.0);
    assert_eq!(host.offer_call(2, 0, 1).sent_to(), None, "overflow leaves the reserve free");
}

/// In a mesh of 80 exchanges, two of five calls over a tandem not used before were cranked back. The rule has a cost
/// where a leg was only full at its first call: it stays unused for a minute.
#[test]
fn tandems_that_carried_a_call_are_preferred_and_a_leg_that_cranked_back_its_first_call_counts_as_absent() {
    for seed in 0..SEEDS {
        let mut host = Host::mesh(4, seed);
        host.report_free_circuits(1, 0.0, 0.0);
        host.report_free_circuits(2, 30.0, 30.0);
        host.report_free_circuits(3, 20.0, 30.0);
        assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(2));
        assert_eq!(host.end_attempt(1, 0, 2, Outcome::Congested, Reason::CrankBack).sent_to(), Some(3));
        host.answer(1, 3, 40.0);
        host.advance(30_000.0);
        assert_eq!(host.offer_call(2, 0, 1).sent_to(), Some(3), "the leg from 2 counts as absent");
        host.answer(2, 3, 40.0);
        host.advance(31_000.0);
        assert_eq!(
            host.offer_call(3, 0, 1).sent_to(),
            Some(3),
            "2 may be used again, but 3 is known to have a leg"
        );
        host.report_free_circuits(3, 0.0, 30.0);
        assert_eq!(host.offer_call(4, 0, 1).sent_to(), Some(2));
    }
}

#[test]
fn a_call_without_free_circuits_on_any_route_is_refused_with_a_retry_after() {
    let mut host = Host::mesh(4, 1);
    (1..4).for_each(|n| host.report_free_circuits(n, 0.0, 30.0));
    let actions = host.offer_call(1, 0, 1).actions;
    let [Action::Refuse { call: 1, retry_after_ms }] = actions[..] else { panic!("{actions:?}") };
    let target_setup_ms = host.settings.classes[0].target_setup_ms;
    assert!(
        retry_after_ms > 0.0 && 2.0 * retry_after_ms < target_setup_ms,
        "two redials fit into the target set-up time"
    );
}

#[test]
fn overflow_leaves_a_reserve_on_its_first_leg() {
    let mut host = Host::mesh(3, 1);
    host.report_free_circuits(1, 0.0, 30.0);
    host.report_free_circuits(2, 2.0, 30.0);
    assert_eq!(host.offer_call(1, 0, 1).sent_to(), None);
    host.report_free_circuits(2, 3.0, 30.0);
    assert_eq!(host.offer_call(2, 0, 1).sent_to(), Some(2));
}

#[test]
fn a_transit_call_goes_to_its_destination_down_to_the_exact_reserve_and_never_over_a_second_tandem() {
    let mut host = Host::mesh(4, 1);
    (2..4).for_each(|n| host.report_free_circuits(n, 30.0, 30.0));
    host.report_free_circuits(1, 3.0, 30.0);
    assert_eq!(host.offer_transit_call(1, 0, 1, 2).sent_to(), Some(1));
    host.report_free_circuits(1, 2.99, 30.0);
    let refused = host.offer_transit_call(2, 0, 1, 2);
    assert!(
        matches!(refused.actions[..], [Action::Refuse { call: 2, .. }]),
        "a transit call goes over no second tandem"
    );
}

#[test]
fn a_crank_back_marks_the_second_leg_full_for_ten_seconds() {
    let mut host = Host::mesh(4, 1);
    host.report_free_circuits(1, 0.0, 30.0);
    host.report_free_circuits(2, 30.0, 30.0);
    host.report_free_circuits(3, 10.0, 30.0);
    assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(2));
    host.answer(1, 2, 40.0);
    assert_eq!(host.offer_call(2, 0, 1).sent_to(), Some(2));
    assert_eq!(
        host.end_attempt(2, 0, 2, Outcome::Congested, Reason::CrankBack).sent_to(),
        Some(3),
        "the call goes over the other tandem"
    );
    host.answer(2, 3, 40.0);
    host.advance(9_900.0);
    assert_eq!(host.offer_call(3, 0, 1).sent_to(), Some(3));
    host.answer(3, 3, 40.0);
    host.advance(200.0);
    assert_eq!(host.offer_call(4, 0, 1).sent_to(), Some(2));
}

/// In a mesh of 80 exchanges without peer messages, five of six calls over a leg not used before were cranked back.
/// Tandems with large groups, and those that cranked few calls back, have groups to most others. The rule has a cost
/// where a tandem with a low success ratio is the only one with a group to the destination and this is not known of
/// the others yet.
#[test]
fn unused_legs_are_sampled_at_the_tandems_with_the_best_success_ratio() {
    let mut picked = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let mut host = Host::mesh(14, seed);
        let mut settings = host.settings.clone();
        settings.may_message_peers = false;
        host.restart_with_exchanges(settings, seed, 14);
        host.report_free_circuits(1, 0.0, 0.0);
        (2..14).for_each(|n| host.report_free_circuits(n, 9.0, if n < 6 { 40.0 } else { 9.0 }));
        let first = host.offer_call(1, 0, 1).sent_to().expect("there are free circuits");
        assert!(first < 6, "large groups first, not {first}");
        let next = host.end_attempt(1, 0, first, Outcome::Congested, Reason::CrankBack).sent_to().unwrap();
        host.end_attempt(1, 1, next, Outcome::Congested, Reason::CrankBack);
        host.handle(Event::Abandoned { call: 1 });
        host.report_free_circuits(13, 0.0, 0.0);
        picked.extend(host.offer_call(2, 0, 13).sent_to());
        assert!(!picked.contains(&first) || first != next);
    }
    assert!(
        picked.iter().any(|n| *n >= 6),
        "a tandem that cranked calls back is replaced by others: {picked:?}"
    );
}

/// A third of the calls between exchanges without a group was refused without an attempt, because a tandem without
/// free circuits was sampled.
#[test]
fn a_first_route_is_sampled_among_tandems_with_free_circuits() {
    for seed in 0..SEEDS {
        let mut host = Host::mesh(14, seed);
        (1..14).for_each(|n| host.report_free_circuits(n, 0.0, if n == 1 { 0.0 } else { 9.0 }));
        host.report_free_circuits(9, 1.0, 9.0);
        assert_eq!(host.offer_call(1, 2, 1).sent_to(), Some(9));
    }
}

/// The messages that are sent to the peers in ten runs of the maintenance.
fn messages_in_ten_seconds(host: &mut Host) -> Vec<Vec<u8>> {
    let mut reports = Vec::new();
    for _ in 0..10 {
        host.advance(1_000.0);
        let actions = host.handle(Event::TimerExpired { tag: MAINTENANCE_TAG }).actions;
        reports.extend(actions.into_iter().filter_map(|action| match action {
            Action::SendPeerMessage { to: None, bytes } => Some(bytes),
            _ => None,
        }));
    }
    reports
}

/// A message of peer `from` on the exchange numbers 0, 1, 2, and so on: free circuits, 255 for no group, 254 for
/// unknown.
fn message(from: u8, stamp: u8, group_states: &[u8]) -> Vec<u8> {
    [&[2, from, 0, stamp, 0, 0, 0], group_states].concat()
}

#[test]
fn a_peer_s_report_of_its_free_circuits_is_valid_for_ten_seconds() {
    let mut host = Host::mesh(4, 1);
    host.report_free_circuits(1, 0.0, 30.0);
    host.report_free_circuits(2, 30.0, 30.0);
    host.report_free_circuits(3, 10.0, 30.0);
    host.receive(2, &message(2, 0, &[20, 4, 255, 20]));
    assert_eq!(
        host.offer_call(1, 0, 1).sent_to(),
        Some(3),
        "the route over 2 has the 4 free circuits of its second leg"
    );
    host.receive(3, &message(3, 0, &[20, 3, 20, 255]));
    host.receive(2, &message(2, 1, &[20, 2, 255, 20]));
    assert_eq!(
        host.offer_call(2, 0, 1).sent_to(),
        Some(3),
        "the leg from 2 has only the reserve, the leg from 3 has one circuit more"
    );
    host.receive(3, &message(3, 1, &[20, 2, 20, 255]));
    assert_eq!(host.offer_call(3, 0, 1).sent_to(), None, "the last 2 circuits are the reserve");
    host.handle(Event::Abandoned { call: 1 });
    host.handle(Event::Abandoned { call: 2 });
    host.advance(10_100.0);
    assert_eq!(host.offer_call(4, 0, 1).sent_to(), Some(2), "an old report is ignored");
}

/// A report says which groups exist, and a time without reports must not make absent legs look usable.
#[test]
fn a_leg_that_a_peer_reported_as_absent_is_not_sampled() {
    for seed in 0..SEEDS {
        let mut host = Host::mesh(4, seed);
        host.report_free_circuits(1, 0.0, 0.0);
        host.report_free_circuits(2, 30.0, 30.0);
        host.report_free_circuits(3, 10.0, 30.0);
        host.receive(2, &message(2, 0, &[20, 255, 255, 20]));
        host.advance(50_000.0);
        assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(3));
        host.receive(2, &message(2, 200, &[20, 8, 255, 20]));
        assert_eq!(
            host.offer_call(2, 0, 1).sent_to(),
            Some(3),
            "8 are fewer than the 9 that are left over 3"
        );
        host.receive(3, &message(3, 200, &[20, 255, 20, 255]));
        assert_eq!(host.offer_call(3, 0, 1).sent_to(), Some(2), "2 has a group to 1 now");
    }
}

/// Messages are ignored that are cut short, of another version, out of order, or from an unknown or the own number.
#[test]
fn invalid_peer_messages_are_ignored() {
    let good = message(2, 100, &[20, 255, 255, 20]);
    let mut host = Host::mesh(4, 1);
    host.report_free_circuits(1, 0.0, 30.0);
    host.report_free_circuits(2, 30.0, 30.0);
    host.report_free_circuits(3, 5.0, 30.0);
    let other_version = [&[1], &good[1..]].concat();
    for bad in [&good[..7], &good[..6], &[], &[2], &other_version, &message(9, 1, &[1, 255]), &[255; 256]] {
        host.receive(2, bad);
        assert_eq!(host.offer_call(u32::MAX, 0, 1).sent_to(), Some(2), "{bad:?}");
        host.handle(Event::Abandoned { call: u32::MAX });
        host.report_free_circuits(2, 30.0, 30.0);
    }
    host.receive(2, &message(0, 1, &[9, 9, 9]));
    host.receive(2, &message(2, 101, &[20, 9, 255, 20]));
    host.receive(2, &good);
    assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(2), "an older message that arrives late is ignored");
    host.receive(2, &message(2, 102, &[0, 255, 0, 0, 0, 0, 77, 0, 0]));
    assert_eq!(
        host.offer_call(2, 0, 1).sent_to(),
        Some(3),
        "numbers that no exchange has are skipped, the rest counts"
    );
    assert_eq!(host.offer_call(3, 0, 6).sent_to(), None, "and none of them becomes a destination");
}

/// A peer message covers 249 exchange numbers; more go into several messages, each complete for those that it covers.
#[test]
fn reports_to_peers_cover_every_number_of_a_large_mesh() {
    let mut host = Host::mesh(4, 1);
    let ids = |n: u16| ExchangeId { address: [10, 1, n.to_le_bytes()[0], n.to_le_bytes()[1]], port: 1 };
    let entries = (4..600)
        .map(|n| ListedExchange {
            id: ids(n),
            number: n.into(),
            zone: 0,
            started_ms: 0.0,
            readiness: Readiness::Ready,
        })
        .collect();
    host.handle(Event::List { kind: ListUpdateKind::Changes, entries });
    let report = Some(vec![17.0, 20.0, -1.0]);
    host.handle(Event::ProbeResult { exchange: ids(598), answered: true, elapsed_ms: 0.0, report });
    let reports = messages_in_ten_seconds(&mut host);
    assert!(reports.iter().all(|bytes| bytes.len() <= 256));
    let first_number = |bytes: &Vec<u8>| usize::from(u16::from_le_bytes([bytes[5], bytes[6]]));
    let free_to_598: Vec<_> =
        reports.iter().filter_map(|b| b[7..].get(598_usize.checked_sub(first_number(b))?)).collect();
    assert!(!free_to_598.is_empty() && free_to_598.iter().all(|free| **free == 17), "{free_to_598:?}");
}

/// While other softswitches were down, their callers came here, and some called the own exchange as their destination.
#[test]
fn a_call_for_the_own_exchange_is_never_sent_there() {
    let mut host = Host::mesh(4, 1);
    (0..4).for_each(|n| host.report_free_circuits(n, 30.0, 30.0));
    for id in 0..20 {
        assert_ne!(host.offer_call(id, 0, 0).sent_to(), Some(0));
    }
}

/// On a full group, calls of high worth were blocked as often as calls of low worth.
#[test]
fn a_recently_full_group_keeps_a_circuit_for_calls_of_higher_worth() {
    let mut host = Host::mesh(2, 1);
    host.report_free_circuits(1, 0.0, 30.0);
    host.report_free_circuits(1, 1.0, 30.0);
    assert_eq!(
        host.offer_call(1, 0, 1).sent_to(),
        None,
        "the class with the lowest worth leaves the last circuit"
    );
    assert_eq!(host.offer_call(2, 2, 1).sent_to(), Some(1), "the class with the highest worth takes it");
    host.answer(2, 1, 40.0);
    host.advance(60_000.0);
    host.report_free_circuits(1, 1.0, 30.0);
    assert_eq!(host.offer_call(3, 0, 1).sent_to(), Some(1), "the group is no longer recently full");
}

/// On recently full groups 70% of the calls of the wide class were served and 90% of the others, because a wide call
/// had to leave the reserve on top of its width. The rule has a small cost where the wide class is without worth.
#[test]
fn on_a_recently_full_group_a_wide_call_needs_as_many_free_circuits_as_a_narrow_call_of_low_worth() {
    for (free, goes) in [(1.0, false), (2.0, true)] {
        for class in [0, 1] {
            let mut host = Host::mesh(2, 1);
            host.report_free_circuits(1, 0.0, 30.0);
            host.report_free_circuits(1, free, 30.0);
            assert_eq!(host.offer_call(1, class, 1).sent_to().is_some(), goes, "class {class}, {free} free");
        }
    }
}

/// Under overload, calls that would be established too late are shed, those of low worth first.
#[test]
fn calls_of_low_worth_to_slow_processors_are_shed_first_on_every_route() {
    let mut host = Host::mesh(4, 1);
    (1..4).for_each(|n| host.report_free_circuits(n, 30.0, 30.0));
    for (id, to) in [(1, 1), (2, 2), (3, 3)] {
        assert_eq!(host.offer_call(id, 0, to).sent_to(), Some(to));
    }
    host.advance(300.0);
    assert_eq!(host.offer_call(4, 0, 1).sent_to(), None, "low worth");
    assert_eq!(host.offer_call(5, 2, 1).sent_to(), Some(1), "high worth");
    host.report_free_circuits(1, 0.0, 30.0);
    assert_eq!(host.offer_call(6, 0, 1).sent_to(), None, "it does not go over a tandem either");
    host.advance(200.0);
    assert_eq!(
        host.offer_call(7, 2, 1).sent_to(),
        None,
        "beyond its own limit a call of high worth is shed too"
    );
}

/// Callers of a number in demand redial fast, and each call that finds all lines busy takes time of two processors.
#[test]
fn a_number_with_all_lines_busy_is_gapped_and_others_are_not() {
    let mut host = Host::mesh(3, 1);
    (1..3).for_each(|n| host.report_free_circuits(n, 30.0, 30.0));
    assert_eq!(host.offer_call_to_number(1, 1, 77).sent_to(), Some(1));
    let busy = host.end_attempt(1, 0, 1, Outcome::Busy, Reason::UserBusy);
    let longest = host.settings.max_retry_after_ms;
    assert!(matches!(busy.actions[..], [Action::Fail { .. } | Action::Refuse { .. }]));
    let gapped = host.offer_call_to_number(2, 1, 77).actions;
    assert_eq!(gapped, [Action::Refuse { call: 2, retry_after_ms: longest }]);
    assert_eq!(host.offer_call_to_number(3, 1, 78).sent_to(), Some(1));
    host.answer(3, 1, 40.0);
    host.advance(5_100.0);
    assert_eq!(host.offer_call_to_number(4, 1, 77).sent_to(), Some(1));
}

/// Second legs are judged by the messages of peers, so each softswitch reports its free circuits and can read such a
/// message.
#[test]
fn free_circuits_are_reported_to_the_peers_and_the_report_is_understood() {
    let mut host = Host::mesh(4, 1);
    host.report_free_circuits(1, 9.0, 30.0);
    host.report_free_circuits(2, 1.0, 30.0);
    let reports = messages_in_ten_seconds(&mut host);
    assert!((1..=3).contains(&reports.len()), "messages take processor time: {reports:?}");
    assert_eq!(reports[0][..3], [2, 0, 0], "version and own number");
    assert_eq!(reports[0][7..], [255, 9, 1, 254], "no group to itself, two known groups, one unknown");
    let mut peer = Host::mesh(4, 1);
    peer.report_free_circuits(1, 0.0, 9.0);
    (2..4).for_each(|n| peer.report_free_circuits(n, 9.0, 9.0));
    let mut from_three = reports[0].clone();
    from_three[1] = 3;
    peer.receive(3, &from_three);
    peer.receive(2, &message(2, 0, &[9, 255, 255, 9]));
    assert_eq!(peer.offer_call(1, 0, 1).sent_to(), Some(3), "2 has no group to 1, but 3 has one");
    assert!(reports.iter().all(|bytes| bytes.len() <= 256));
}

/// Cut calls return all at once (seen in a simulated large mesh), and no answer is late yet when the overload begins.
#[test]
fn a_burst_is_shed_by_the_backlog_before_any_answer_is_late() {
    let mut host = Host::mesh(4, 1);
    (1..4).for_each(|n| host.report_free_circuits(n, 1_000.0, 1_000.0));
    let sent = (0..60).filter(|id| host.offer_call(*id, 0, 1 + id % 3).sent_to().is_some()).count();
    assert!((4..20).contains(&sent), "a few are open at the same time, not {sent} of 60");
    assert!(host.offer_call(100, 0, 1).sent_to().is_none());
}

/// Set-ups that hung at one dead exchange counted as backlog of the own processor and blocked the calls to all others.
#[test]
fn attempts_that_hang_at_one_exchange_do_not_shed_calls_to_another() {
    let mut host = Host::mesh(3, 1);
    (1..3).for_each(|n| host.report_free_circuits(n, 1_000.0, 1_000.0));
    for id in 0..8 {
        host.offer_call(id, 2, 1);
    }
    host.advance(1_100.0);
    assert_eq!(host.offer_call(100, 0, 2).sent_to(), Some(2));
    assert_eq!(host.offer_call(101, 0, 1).sent_to(), Some(1), "one trial call goes to the dead exchange");
    assert_eq!(host.offer_call(102, 0, 1).sent_to(), None, "and all other calls to it are shed");
}

/// With only one call to each exchange every few seconds, the delay that an overload of the own processor had caused
/// decayed between two of them. The common delay therefore applies to all exchanges. It may shed a call too many just
/// after an overload.
#[test]
fn the_delay_of_the_own_processor_applies_to_exchanges_that_no_call_went_to() {
    let mut host = Host::mesh(40, 1);
    (1..40).for_each(|n| host.report_free_circuits(n, 30.0, 30.0));
    for id in 1..21 {
        host.offer_call(id, 2, id);
        host.advance(20.0);
        host.answer(id, id, 900.0);
    }
    assert_eq!(host.offer_call(100, 0, 30).sent_to(), None, "set-ups everywhere take 0.9 s");
    host.advance(10_000.0);
    assert_eq!(host.offer_call(101, 0, 30).sent_to(), Some(30), "the delay has decayed");
    host.offer_call(102, 0, 31);
    host.advance(900.0);
    assert_eq!(
        host.offer_call(103, 0, 32).sent_to(),
        None,
        "no reply from two exchanges: the own processor is slow"
    );
}

/// A call goes to the first choice while that has a free agent, else to a pool that serves the class.
#[test]
fn a_pool_call_goes_to_its_first_choice_and_then_only_to_pools_that_serve_its_class() {
    let text = common::settings_text()
        .replace("specifics.shape=meshed", "specifics.shape=groups")
        .replace("specifics.homeOffice=0", "specifics.homeOffice=-1")
        .replace("specifics.classCells=", "specifics.classCells.0=1,2");
    for seed in 0..SEEDS {
        let mut host = Host::mesh(4, seed);
        host.restart(swiftlb::wire::read_settings(&text).unwrap(), seed);
        (0..4).for_each(|n| host.report_free_circuits(n, 9.0, 9.0));
        assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(1));
        host.report_free_circuits(1, 0.0, 9.0);
        assert_eq!(host.offer_call(2, 0, 1).sent_to(), Some(2), "0 and 3 do not serve the class");
        assert_eq!(host.offer_call(3, 0, 0).sent_to(), Some(0), "with pools, no number is the own one");
    }
}

#[test]
fn a_broken_subscription_to_the_list_is_requested_again() {
    let mut host = Host::mesh(3, 1);
    let mut settings = host.settings.clone();
    settings.must_fetch_list = true;
    let first = host.restart(settings, 1);
    assert!(first.actions.contains(&Action::Subscribe));
    host.advance(1_000.0);
    assert!(
        !host.handle(Event::TimerExpired { tag: MAINTENANCE_TAG }).actions.contains(&Action::Subscribe),
        "the subscription is not broken"
    );
    host.handle(Event::List { kind: ListUpdateKind::FetchFailed, entries: vec![] });
    host.advance(1_000.0);
    assert!(host.handle(Event::TimerExpired { tag: MAINTENANCE_TAG }).actions.contains(&Action::Subscribe));
}

#[test]
fn a_refused_connection_does_not_make_a_slow_exchange_look_fast() {
    let mut host = Host::mesh(3, 1);
    assert_eq!(host.offer_call(9, 0, 1).sent_to(), Some(1));
    host.answer(9, 1, 10.0);
    (1..=3).for_each(|call| assert_eq!(host.offer_call(call, 0, 1).sent_to(), Some(1)));
    host.advance(900.0);
    host.answer(1, 1, 900.0);
    for call in [2, 3] {
        // A connection is refused at once, however slow the processor behind it is.
        host.end_attempt(call, 0, 1, Outcome::NoConnection, Reason::Unspecified);
    }
    assert_eq!(host.offer_call(4, 0, 1).sent_to(), None);
}

#[test]
fn refused_connections_do_not_reduce_the_free_circuits_of_the_group() {
    let mut host = Host::mesh(3, 1);
    host.report_free_circuits(1, 2.0, 20.0);
    for call in 1..=5 {
        assert_eq!(host.offer_call(call, 0, 1).sent_to(), Some(1));
        host.end_attempt(call, 0, 1, Outcome::NoConnection, Reason::Unspecified);
    }
}

#[test]
fn calls_to_an_exchange_with_a_long_path_are_not_shed_while_its_processor_is_not_loaded() {
    let mut host = Host::mesh(3, 1);
    for call in 1..=20 {
        // Always 300 ms of the target of 1,000 ms: nothing waits at the exchange.
        assert_eq!(host.offer_call(call, 0, 1).sent_to(), Some(1), "call {call}");
        host.advance(300.0);
        host.answer(call, 1, 300.0);
    }
    (21..=22).for_each(|call| assert_eq!(host.offer_call(call, 0, 1).sent_to(), Some(1)));
    host.advance(900.0);
    (21..=22).for_each(|call| host.answer(call, 1, 900.0));
    assert_eq!(host.offer_call(23, 0, 1).sent_to(), None, "600 ms of wait beyond the path are too much");
}

/// One lost reply among others excluded its exchange until the call timed out and for seconds afterwards.
#[test]
fn an_open_attempt_shows_no_wait_once_a_later_one_is_answered() {
    let mut host = Host::mesh(2, 1);
    host.report_free_circuits(1, 30.0, 30.0);
    assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(1));
    host.advance(20.0);
    assert_eq!(host.offer_call(2, 0, 1).sent_to(), Some(1));
    host.advance(300.0);
    assert_eq!(
        host.offer_call(3, 0, 1).sent_to(),
        None,
        "no attempt got a reply for so long: the exchange may have failed"
    );
    host.answer(2, 1, 40.0);
    assert_eq!(host.offer_call(4, 0, 1).sent_to(), Some(1), "the reply to the first attempt is lost");
    host.answer(4, 1, 40.0);
    host.advance(2_000.0);
    host.handle(Event::AttemptEnded {
        call: 1,
        attempt: 0,
        exchange: common::exchange_id(1),
        outcome: Outcome::TimedOut,
        reason: Reason::Unspecified,
        elapsed_ms: 2_920.0,
        call_closed: true,
        report: None,
    });
    assert_eq!(host.offer_call(5, 0, 1).sent_to(), Some(1), "its time-out shows no wait either");
}

/// After a stall an exchange got no calls for as long again, because nothing was sent there that could have shown
/// that the stall was over.
#[test]
fn a_silent_exchange_gets_trial_calls_at_doubling_intervals_and_all_calls_once_it_replies() {
    let mut host = Host::mesh(2, 1);
    host.report_free_circuits(1, 30.0, 30.0);
    let sent = |response: &common::Response| response.sent_to() == Some(1);
    assert!(sent(&host.offer_call(1, 0, 1)));
    host.advance(300.0);
    assert!(!sent(&host.offer_call(2, 0, 1)), "the exchange may have failed");
    host.advance(100.0);
    assert!(sent(&host.offer_call(3, 0, 1)), "a trial call");
    // One trial call at a time, at doubling intervals.
    for (call, (interval_ms, is_trial)) in
        (4..).zip([(150.0, false), (60.0, true), (390.0, false), (20.0, true)])
    {
        host.advance(interval_ms);
        assert_eq!(sent(&host.offer_call(call, 0, 1)), is_trial, "call {call}");
    }
    host.advance(40.0);
    host.answer(7, 1, 40.0);
    assert!((10..13).all(|call| sent(&host.offer_call(call, 0, 1))));
}

/// An exchange that replied to four of five set-ups with a signalling fault lost four of five calls, where four
/// attempts per call would have lost only a few.
#[test]
fn a_signalling_fault_is_retried_at_the_same_exchange_and_a_busy_number_is_not() {
    let mut host = Host::mesh(2, 1);
    host.report_free_circuits(1, 30.0, 30.0);
    assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(1));
    assert_eq!(host.end_attempt(1, 0, 1, Outcome::Busy, Reason::Unspecified).sent_to(), Some(1));
    let busy = host.end_attempt(1, 1, 1, Outcome::Busy, Reason::UserBusy);
    assert!(matches!(busy.actions[..], [Action::Fail { call: 1 }]), "{busy:?}");
}

/// One answer that came a second late excluded its exchange for 1.5 s, although later calls had been answered at
/// once.
#[test]
fn a_late_answer_shows_no_wait_once_a_later_attempt_was_answered() {
    let mut host = Host::mesh(2, 1);
    host.report_free_circuits(1, 30.0, 30.0);
    for call in 1..=2 {
        assert_eq!(host.offer_call(call, 0, 1).sent_to(), Some(1));
        host.advance(20.0);
    }
    host.answer(2, 1, 40.0);
    host.advance(1_000.0);
    host.answer(1, 1, 1_040.0);
    assert_eq!(host.offer_call(3, 0, 1).sent_to(), Some(1));
    // An answer that no later attempt overtook does count.
    host.advance(900.0);
    host.answer(3, 1, 900.0);
    assert_eq!(host.offer_call(4, 0, 1).sent_to(), None, "no later attempt was answered before this one");
}
