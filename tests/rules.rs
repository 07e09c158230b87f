//! Tests of the five rules that `Controller` keeps: single cases, and generated sequences of events with fixed seeds.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Host, START_MS, exchange_id, number_of, settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use swiftlb::Controller;
use swiftlb::interface::*;

#[test]
fn rule_1_a_call_that_times_out_and_cannot_be_sent_again_fails_at_once() {
    let mut host = Host::mesh(3, 1);
    host.report_free_circuits(1, 9.0, 9.0);
    assert_eq!(host.offer_call(1, 0, 1).sent_to(), Some(1));
    host.advance(3_000.0);
    let response = host.end_attempt(1, 0, 1, Outcome::TimedOut, Reason::Unspecified);
    assert_eq!(response.actions, [Action::Fail { call: 1 }]);
    let late = host.end_attempt(1, 0, 1, Outcome::Congested, Reason::NoCircuit);
    assert_eq!(late.actions, [], "no action after the final outcome");
}

#[test]
fn rule_3_no_set_up_goes_to_an_exchange_that_is_draining_or_removed() {
    for readiness in [Readiness::Draining, Readiness::Removed] {
        let mut host = Host::mesh(3, 1);
        (1..3).for_each(|n| host.report_free_circuits(n, 9.0, 9.0));
        host.update_list(1, readiness, 0.0);
        assert_ne!(host.offer_call(1, 0, 1).sent_to(), Some(1));
        host.update_list(1, Readiness::Ready, 0.0);
        assert_eq!(host.offer_call(2, 0, 1).sent_to(), Some(1), "it accepts calls again");
        host.handle(Event::List {
            kind: ListUpdateKind::Complete,
            entries: vec![common::list_entry(0, Readiness::Ready, 0.0)],
        });
        assert_eq!(
            host.offer_call(3, 0, 1).sent_to(),
            None,
            "an exchange missing from a complete list is removed"
        );
    }
}

#[test]
fn rule_4_a_cold_exchange_gets_fewer_set_ups_than_the_overload_at_which_it_fails() {
    let mut host = Host::mesh(3, 1);
    (1..3).for_each(|n| host.report_free_circuits(n, 1_000.0, 1_000.0));
    // Eight seconds of two calls per second set the usual rate to exchange 1.
    for id in 0..16 {
        host.offer_call(id, 2, 1);
        host.answer(id, 1, 20.0);
        host.advance(500.0);
    }
    host.advance(1_000.0);
    host.update_list(1, Readiness::Ready, host.now);
    let (mut sent, max_per_s) =
        (0, host.settings.overload_factor * host.settings.cold_initial_capacity * 2.0);
    for id in 100..300 {
        if let Some(to) = host.offer_call(id, 2, 1).sent_to() {
            host.answer(id, to, 20.0);
            sent += i32::from(to == 1);
        }
        host.advance(5.0);
    }
    let settings = &host.settings;
    assert!(
        sent >= 1 && f64::from(sent) <= max_per_s * settings.overload_duration_ms / 1_000.0,
        "{sent} sent, at most {max_per_s} per second"
    );
    host.advance(settings.cold_period_ms);
    assert_eq!(host.offer_call(400, 2, 1).sent_to(), Some(1), "warm again");
}

/// Rule 4 limits all softswitches together. Many softswitches, a tenth of them just restarted, are each offered far more
/// calls than usual to one cold exchange, own calls and calls in transit. A minimum of one set-up for each softswitch
/// would exceed the limit.
#[test]
fn rule_4_holds_for_all_softswitches_together_at_any_number_of_them() {
    use rand::{Rng, SeedableRng};
    for (softswitch_count, warm_rate) in [(6_u32, 30.0_f64), (40, 30.0), (150, 40.0)] {
        for seed in 0..4 {
            let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
            let cold = softswitch_count;
            let list = |started_ms: f64| {
                (0..=softswitch_count)
                    .map(|n| {
                        common::list_entry(n, Readiness::Ready, if n == cold { started_ms } else { 0.0 })
                    })
                    .collect::<Vec<_>>()
            };
            let mut settings = settings();
            settings.may_message_peers = false;
            let start = |softswitch: u32, now: f64, started_ms: f64| {
                let own_settings = Settings {
                    softswitch_count,
                    self_index: softswitch,
                    home: Some(softswitch),
                    ..settings.clone()
                };
                let mut controller =
                    Controller::new(own_settings, u64::from(softswitch) + 1_000 * seed).unwrap();
                controller.handle(
                    now,
                    Event::List { kind: ListUpdateKind::Cached, entries: list(started_ms) },
                    &mut Vec::new(),
                );
                controller
            };
            let mut all: Vec<Controller> =
                (0..softswitch_count).map(|softswitch| start(softswitch, START_MS, 0.0)).collect();
            let (mut now, mut id) = (START_MS, 0);
            let mut offer = |to: &mut Controller, now: f64, dest: u32, transit_from: Option<u32>| {
                id += 1;
                let call = NewCall {
                    call: id,
                    class: 2,
                    tenant: 0,
                    width: 1.0,
                    dest,
                    called_number: 0,
                    remaining_ms: 3_000.0,
                    transit_from,
                    advised_route: None,
                    redial: false,
                    was_cut: false,
                };
                let mut actions = Vec::new();
                to.handle(now, Event::Call(call), &mut actions);
                let sent = actions.iter().any(
                    |action| matches!(action, Action::Send { exchange, .. } if *exchange == exchange_id(cold)),
                );
                for action in &actions {
                    if let Action::Send { call, exchange, .. } = *action {
                        let answered = Event::Answered { call, attempt: 0, exchange, elapsed_ms: 20.0 };
                        to.handle(now, answered, &mut Vec::new());
                    }
                }
                sent
            };
            for _ in 0..1_500 {
                now += 20.0;
                for softswitch in &mut all {
                    if rng.random_bool(0.02 * warm_rate / f64::from(softswitch_count)) {
                        offer(softswitch, now, cold, None);
                    }
                }
            }
            let restarted_at = now;
            for softswitch in 0..softswitch_count {
                if softswitch % 10 == 3 {
                    all[softswitch as usize] = start(softswitch, now, restarted_at);
                }
                let entries = vec![common::list_entry(cold, Readiness::Ready, restarted_at)];
                let update = Event::List { kind: ListUpdateKind::Changes, entries };
                all[softswitch as usize].handle(now, update, &mut Vec::new());
            }
            let mut sent: Vec<f64> = Vec::new();
            while now < restarted_at + 3_000.0 {
                for softswitch in &mut all {
                    if rng.random_bool((0.1 * warm_rate / f64::from(softswitch_count)).min(1.0)) {
                        let transit = rng.random_bool(0.4).then_some(softswitch_count + 7);
                        sent.extend(offer(softswitch, now, cold, transit).then_some(now));
                    }
                }
                now += 20.0;
            }
            let capacity = |at: f64| {
                settings.cold_initial_capacity
                    + (1.0 - settings.cold_initial_capacity) * (at - restarted_at) / settings.cold_period_ms
            };
            for at in &sent {
                let span =
                    sent.iter().filter(|t| **t >= *at && **t < at + settings.overload_duration_ms).count();
                let max =
                    settings.overload_factor * capacity(*at) * warm_rate * settings.overload_duration_ms
                        / 1_000.0;
                assert!(
                    span as f64 <= 1.1 * max,
                    "{softswitch_count} softswitches, seed {seed}: {span} sent, at most {max}"
                );
            }
            assert!(
                sent.len() as f64 > 0.5 * warm_rate,
                "{softswitch_count} softswitches: {} sent in 3 s",
                sent.len()
            );
        }
    }
}

#[test]
fn rule_5_a_call_is_sent_again_after_a_reset_only_after_the_release_pause() {
    let mut host = Host::mesh(4, 1);
    host.report_free_circuits(1, 0.0, 9.0);
    host.report_free_circuits(2, 9.0, 9.0);
    host.report_free_circuits(3, 9.0, 9.0);
    let first = host.offer_call(1, 0, 1).sent_to();
    host.advance(50.0);
    let response = host.end_attempt(1, 0, first.unwrap(), Outcome::Reset, Reason::Unspecified);
    let [Action::SetTimer { delay_ms, tag }] = response.actions[..] else { panic!("{response:?}") };
    assert!(delay_ms >= host.settings.release_pause_ms);
    host.advance(delay_ms / 2.0);
    assert_eq!(
        host.handle(Event::TimerExpired { tag }).sent_to(),
        None,
        "nothing is sent when the timer expires early"
    );
    host.advance(delay_ms / 2.0);
    assert!(host.handle(Event::TimerExpired { tag }).sent_to().is_some_and(|to| Some(to) != first));
}

#[test]
fn a_call_that_is_not_idempotent_is_not_sent_again_once_it_may_have_been_set_up() {
    let mut settings = settings();
    settings.classes[0].idempotent = false;
    let mut host = Host::mesh(4, 1);
    host.restart(settings, 1);
    (1..4).for_each(|n| host.report_free_circuits(n, 9.0, 9.0));
    let first = host.offer_call(1, 0, 1).sent_to().unwrap();
    host.end_attempt(1, 0, first, Outcome::Reset, Reason::Unspecified);
    host.advance(600.0);
    assert_eq!(host.handle(Event::TimerExpired { tag: 1 }).actions, [Action::Fail { call: 1 }]);
}

/// What the test knows of one call.
struct ObservedCall {
    deadline: f64,
    open_attempt: Option<(u32, ExchangeId)>,
    attempts: u32,
    not_before: f64,
    ended: bool,
    transit_to: Option<Number>,
}

/// Sends the events that `steps` stand for to a controller, as a host could, and checks every action against the rules.
fn run_steps(seed: u64, steps: &[(u8, u8, u16, u8)]) -> Vec<Action> {
    let mut settings = settings();
    settings.must_fetch_list = seed & 1 == 1;
    let mut controller = Controller::new(settings.clone(), seed).unwrap();
    let mut now = START_MS;
    let mut observed: BTreeMap<CallId, ObservedCall> = BTreeMap::new();
    let mut not_ready: BTreeMap<ExchangeId, f64> = BTreeMap::new();
    let mut timers: BTreeSet<(u64, u64)> = BTreeSet::new();
    let (mut next, mut log) = (0, Vec::new());
    let entries = (0..6).map(|n| common::list_entry(n, Readiness::Ready, 0.0)).collect();
    let mut queue = vec![Event::List { kind: ListUpdateKind::Cached, entries }];
    for (kind, pick, value, step) in steps.iter().copied().chain(std::iter::repeat_n((9, 0, 0, 255), 60)) {
        now += f64::from(step) * 2.0;
        // Time-outs and timers that are due come first, as with a host.
        for (id, call) in
            observed.iter().filter(|(_, call)| call.open_attempt.is_some() && call.deadline <= now)
        {
            let (attempt, exchange) = call.open_attempt.unwrap();
            queue.push(Event::AttemptEnded {
                call: *id,
                attempt,
                exchange,
                outcome: Outcome::TimedOut,
                reason: Reason::Unspecified,
                elapsed_ms: 1_000.0,
                call_closed: false,
                report: None,
            });
        }
        while let Some(first) = timers.first().copied().filter(|(at, _)| f64::from_bits(*at) <= now) {
            timers.remove(&first);
            queue.push(Event::TimerExpired { tag: first.1 });
        }
        let odd_values = [-1.0, f64::NAN, f64::INFINITY, 0.0, 1.0, 2.0, 9.0, 40.0];
        let to = exchange_id(u32::from(pick % 7));
        let open = observed
            .iter()
            .filter(|(_, c)| c.open_attempt.is_some() && c.deadline > now)
            .nth(usize::from(pick) % 5)
            .map(|(id, c)| (*id, c.open_attempt.unwrap()));
        match kind % 9 {
            0..=2 => {
                next += 1;
                let transit_to = (value % 5 == 0).then_some(u32::from(pick % 6));
                let remaining_ms = f64::from(value) % 4_000.0;
                observed.insert(
                    next,
                    ObservedCall {
                        deadline: now + remaining_ms,
                        open_attempt: None,
                        attempts: 0,
                        not_before: 0.0,
                        ended: false,
                        transit_to,
                    },
                );
                queue.push(Event::Call(NewCall {
                    call: next,
                    class: usize::from(pick % 4),
                    tenant: usize::from(pick),
                    width: f64::from(pick % 3 + 1),
                    dest: u32::from(pick % 6),
                    called_number: u64::from(value % 3),
                    remaining_ms,
                    transit_from: transit_to.map(|_| 5),
                    advised_route: None,
                    redial: false,
                    was_cut: pick % 11 == 0,
                }));
            }
            3 | 4 => {
                if let Some((call, (attempt, exchange))) = open {
                    if value % 2 == 0 {
                        queue.push(Event::Answered { call, attempt, exchange, elapsed_ms: f64::from(step) });
                    } else {
                        let all = [
                            Outcome::Busy,
                            Outcome::Congested,
                            Outcome::TimedOut,
                            Outcome::NoConnection,
                            Outcome::Reset,
                            Outcome::NotSent,
                        ];
                        let reasons = [
                            Reason::Unspecified,
                            Reason::NoCircuit,
                            Reason::CrankBack,
                            Reason::DestinationFull,
                            Reason::ProcessorFull(f64::from(value)),
                        ];
                        queue.push(Event::AttemptEnded {
                            call,
                            attempt,
                            exchange,
                            outcome: all[usize::from(value / 2) % 6],
                            reason: reasons[usize::from(value / 16) % 5],
                            elapsed_ms: f64::from(step),
                            call_closed: false,
                            report: Some(vec![odd_values[usize::from(value) % 8]; 3]),
                        });
                    }
                }
            }
            5 => queue.push(Event::ProbeResult {
                exchange: to,
                answered: value % 3 > 0,
                elapsed_ms: 0.0,
                report: Some(vec![
                    odd_values[usize::from(value) % 8],
                    40.0,
                    odd_values[usize::from(step) % 8],
                ]),
            }),
            6 => {
                let readiness =
                    [Readiness::Ready, Readiness::Draining, Readiness::Removed][usize::from(value) % 3];
                queue.push(Event::List {
                    kind: ListUpdateKind::Changes,
                    entries: vec![common::list_entry(
                        number_of(to),
                        readiness,
                        if value % 2 == 0 { now } else { 0.0 },
                    )],
                });
            }
            7 => queue.push(Event::PeerMessage {
                from: u32::from(pick),
                bytes: vec![pick; usize::from(value % 30)],
            }),
            _ => {
                if value % 4 == 0 {
                    queue.push(Event::List { kind: ListUpdateKind::FetchFailed, entries: vec![] });
                } else if let Some((call, _)) = open
                    && value % 4 == 1
                {
                    queue.push(Event::Abandoned { call });
                }
            }
        }
        for event in queue.drain(..) {
            if let Event::List { entries, .. } = &event {
                for entry in entries {
                    if entry.readiness == Readiness::Ready {
                        not_ready.remove(&entry.id);
                    } else {
                        not_ready.entry(entry.id).or_insert(now);
                    }
                }
            }
            if let Event::Answered { call, .. } | Event::Abandoned { call } = &event {
                let call_state = observed.get_mut(call).unwrap();
                (call_state.ended, call_state.open_attempt) = (true, None);
            }
            if let Event::AttemptEnded { call, attempt, outcome, .. } = &event {
                let call_state = observed.get_mut(call).unwrap();
                let current = call_state.attempts == *attempt + 1;
                if call_state.open_attempt.map(|o| o.0) == Some(*attempt) {
                    call_state.open_attempt = None;
                }
                if current && matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                    call_state.not_before = now + settings.release_pause_ms;
                }
            }
            let mut actions = Vec::new();
            controller.handle(now, event, &mut actions);
            for action in &actions {
                match action {
                    Action::Send { call, exchange, timeout_ms } => {
                        let call_state = observed.get_mut(call).unwrap();
                        assert!(!call_state.ended, "rule 1: sent after its end");
                        assert!(call_state.open_attempt.is_none(), "rule 2: two open attempts");
                        assert!(
                            not_ready.get(exchange).is_none_or(|at| now - at <= settings.drain_grace_ms),
                            "rule 3"
                        );
                        assert!(
                            now >= call_state.not_before,
                            "rule 5: sent before the end of the release pause"
                        );
                        assert!(*timeout_ms > 0.0 && now + timeout_ms <= call_state.deadline + 1e-6);
                        assert_ne!(number_of(*exchange), 0, "sent to the own exchange");
                        assert!(
                            call_state.transit_to.is_none_or(|dest| dest == number_of(*exchange)),
                            "a call in transit was sent to another exchange than its destination"
                        );
                        call_state.open_attempt = Some((call_state.attempts, *exchange));
                        call_state.attempts += 1;
                        assert!(call_state.attempts <= settings.attempt_limit);
                    }
                    Action::Refuse { call, .. } | Action::Fail { call } => {
                        let call_state = observed.get_mut(call).unwrap();
                        assert!(
                            !call_state.ended && call_state.open_attempt.is_none(),
                            "one final outcome, with no open attempt"
                        );
                        assert!(now <= call_state.deadline + 600.0);
                        call_state.ended = true;
                    }
                    Action::SetTimer { delay_ms, tag } => {
                        assert!(*delay_ms > 0.0);
                        timers.insert(((now + delay_ms).to_bits(), *tag));
                    }
                    _ => {}
                }
            }
            log.extend(actions);
        }
        for (id, call) in &observed {
            assert!(
                call.ended || call.open_attempt.is_some() || now <= call.deadline + 600.0,
                "rule 1: call {id} got no final outcome in time"
            );
        }
    }
    log
}

fn steps() -> impl Strategy<Value = Vec<(u8, u8, u16, u8)>> {
    prop::collection::vec((any::<u8>(), any::<u8>(), any::<u16>(), any::<u8>()), 1..400)
}

#[test]
fn every_rule_holds_and_equal_events_give_equal_actions() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
        .run(&(any::<u64>(), steps()), |(seed, steps)| {
            prop_assert_eq!(run_steps(seed, &steps), run_steps(seed, &steps));
            Ok(())
        })
        .unwrap();
}

/// Values of a setting that a configuration accepts: any number from 0 on.
fn setting() -> impl Strategy<Value = f64> {
    prop::sample::select(vec![
        0.0,
        f64::MIN_POSITIVE,
        1e-9,
        0.1,
        0.5,
        1.0,
        2.5,
        40.0,
        1e3,
        1e9,
        1e300,
        f64::MAX,
    ])
}

/// Figures of calls, exchanges and peers, which may be anything.
fn figure() -> impl Strategy<Value = f64> {
    let odd =
        prop::sample::select(vec![-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MIN, f64::MAX]);
    prop_oneof![odd, setting()]
}

/// Settings with these values in place of every number.
fn settings_of(values: &[f64], attempt_limit: u32, softswitch_count: u32) -> Settings {
    let mut settings = settings();
    for (class, values) in settings.classes.iter_mut().zip(values.chunks_exact(5)) {
        (class.target_setup_ms, class.worth, class.late_worth_factor) = (values[0], values[1], values[2]);
        (class.width, class.mean_hold_ms) = (values[3], values[4]);
    }
    let rest = &values[5 * settings.classes.len()..];
    (settings.over_quota_worth_factor, settings.list_fetch_interval_ms) = (rest[0], rest[1]);
    (settings.max_retry_after_ms, settings.drain_grace_ms, settings.release_pause_ms) =
        (rest[2], rest[3], rest[4]);
    (settings.cold_initial_capacity, settings.cold_period_ms) = (rest[5], rest[6]);
    (settings.overload_factor, settings.overload_duration_ms) = (rest[7], rest[8]);
    (settings.retransmit_ms, settings.tick_ms) = (rest[9], rest[10]);
    Settings { attempt_limit, softswitch_count, ..settings }
}

/// Number of values that [`settings_of`] takes.
const SETTING_COUNT: usize = 26;

/// The event that these numbers stand for, about one of a few calls and exchanges.
fn any_event(kind: u8, pick: u8, values: [f64; 3]) -> Event {
    let [first, second, third] = values;
    let (call, exchange) = (u32::from(pick % 6), exchange_id(u32::from(pick % 5)));
    let outcomes = [
        (Outcome::Congested, Reason::NoCircuit),
        (Outcome::Congested, Reason::CrankBack),
        (Outcome::Congested, Reason::ProcessorFull(third)),
        (Outcome::Busy, Reason::UserBusy),
        (Outcome::NoConnection, Reason::Unspecified),
        (Outcome::TimedOut, Reason::Unspecified),
    ];
    let (outcome, reason) = outcomes[usize::from(pick) % outcomes.len()];
    match kind % 7 {
        0 | 1 => Event::Call(NewCall {
            call,
            class: usize::from(pick % 4),
            tenant: 0,
            width: first,
            dest: u32::from(pick % 5),
            called_number: u64::from(pick % 3),
            remaining_ms: second,
            transit_from: kind.is_multiple_of(3).then_some(u32::from(pick % 5)),
            advised_route: None,
            redial: false,
            was_cut: false,
        }),
        2 | 3 => Event::AttemptEnded {
            call,
            attempt: u32::from(kind % 3),
            exchange,
            outcome,
            reason,
            elapsed_ms: first,
            call_closed: false,
            report: Some(vec![second, third]),
        },
        4 => Event::Answered { call, attempt: u32::from(kind % 3), exchange, elapsed_ms: first },
        5 => Event::ProbeResult {
            exchange,
            answered: true,
            elapsed_ms: first,
            report: Some(vec![first, second, third]),
        },
        _ => Event::TimerExpired { tag: if pick.is_multiple_of(2) { 1 << 32 } else { u64::from(call) } },
    }
}

/// Guards against panics on settings that a configuration accepts, such as a class width below 1, with any figures from
/// callers, exchanges and peers.
#[test]
fn no_accepted_settings_and_no_figures_cause_a_panic() {
    const CASES: u32 = 1_000;
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let values = prop::collection::vec(setting(), SETTING_COUNT);
    let event = (any::<u8>(), any::<u8>(), [figure(), figure(), figure()], setting());
    let events = prop::collection::vec(event, 1..120);
    TestRunner::new_with_rng(config, rng)
        .run(&(values, 1_u32..6, 1_u32..300, events), |(values, attempt_limit, softswitches, events)| {
            // Settings that are refused are refused with an error.
            let settings = settings_of(&values, attempt_limit, softswitches);
            let Ok(mut controller) = Controller::new(settings, 1) else { return Ok(()) };
            let (mut now, mut actions) = (START_MS, Vec::new());
            let entries =
                (0..5).map(|n| common::list_entry(n, Readiness::Ready, START_MS * f64::from(n % 2)));
            let list = Event::List { kind: ListUpdateKind::Cached, entries: entries.collect() };
            controller.handle(now, list, &mut actions);
            for (kind, pick, figures, step) in events {
                now += step.min(5_000.0);
                controller.handle(now, any_event(kind, pick, figures), &mut actions);
                let message =
                    Event::PeerMessage { from: u32::from(pick), bytes: vec![pick; usize::from(kind)] };
                controller.handle(now, message, &mut actions);
            }
            Ok(())
        })
        .unwrap();
}
