//! The five rules, case by case and under arbitrary legal histories with fixed seeds.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Host, START, number, place, settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use swiftlb::Controller;
use swiftlb::interface::*;

#[test]
fn rule_1_a_timed_out_call_that_cannot_be_sent_again_fails_at_once() {
    let mut host = Host::mesh(3, 1);
    host.free(1, 9.0, 9.0);
    assert_eq!(host.call(1, 0, 1).sent_to(), Some(1));
    host.pass(3_000.0);
    let answer = host.outcome(1, 0, 1, Outcome::TimedOut, Reason::Unspecified);
    assert_eq!(answer.actions, [Action::Fail { call: 1 }]);
    let late = host.outcome(1, 0, 1, Outcome::Congested, Reason::NoCircuit);
    assert_eq!(late.actions, [], "nothing after the final answer");
}

#[test]
fn rule_3_nothing_new_goes_to_an_exchange_that_drains_or_is_gone() {
    for off in [Readiness::Draining, Readiness::Removed] {
        let mut host = Host::mesh(3, 1);
        (1..3).for_each(|n| host.free(n, 9.0, 9.0));
        host.list(1, off, 0.0);
        assert_ne!(host.call(1, 0, 1).sent_to(), Some(1));
        host.list(1, Readiness::Ready, 0.0);
        assert_eq!(host.call(2, 0, 1).sent_to(), Some(1), "it takes work again");
        host.event(Event::List {
            kind: ListUpdateKind::Complete,
            entries: vec![common::listed(0, Readiness::Ready, 0.0)],
        });
        assert_eq!(host.call(3, 0, 1).sent_to(), None, "not in a full list is gone");
    }
}

#[test]
fn rule_4_a_cold_exchange_gets_no_burst() {
    let mut host = Host::mesh(3, 1);
    (1..3).for_each(|n| host.free(n, 1_000.0, 1_000.0));
    // Eight seconds of two calls a second: the usual rate to exchange 1.
    for id in 0..16 {
        host.call(id, 2, 1);
        host.stands(id, 1, 20.0);
        host.pass(500.0);
    }
    host.pass(1_000.0);
    host.list(1, Readiness::Ready, host.now);
    let (mut sent, most) = (0, host.settings.overload_factor * host.settings.cold_initial_capacity * 2.0);
    for id in 100..300 {
        if let Some(to) = host.call(id, 2, 1).sent_to() {
            host.stands(id, to, 20.0);
            sent += i32::from(to == 1);
        }
        host.pass(5.0);
    }
    let set = &host.settings;
    assert!(
        sent >= 1 && f64::from(sent) <= most * set.overload_duration_ms / 1_000.0,
        "{sent} of at most {most}"
    );
    host.pass(set.cold_period_ms);
    assert_eq!(host.call(400, 2, 1).sent_to(), Some(1), "warm again");
}

/// Rule 4 as a budget of all agents: many agents, a tenth of them restarted a moment ago, each offered far more calls
/// to one cold exchange than usual, own ones and transit. A floor of one set-up for each agent would add up.
#[test]
fn rule_4_holds_for_all_agents_together_at_any_number_of_them() {
    use rand::{Rng, SeedableRng};
    for (agent_count, warm_rate) in [(6_u32, 30.0_f64), (40, 30.0), (150, 40.0)] {
        for seed in 0..4 {
            let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
            let cold = agent_count;
            let list = |born: f64| {
                (0..=agent_count)
                    .map(|n| common::listed(n, Readiness::Ready, if n == cold { born } else { 0.0 }))
                    .collect::<Vec<_>>()
            };
            let mut set = settings();
            set.may_message_peers = false;
            let start = |agent: u32, now: f64, born: f64| {
                let set = Settings { agent_count, self_index: agent, home: Some(agent), ..set.clone() };
                let mut made = Controller::new(set, u64::from(agent) + 1_000 * seed).unwrap();
                made.handle(
                    now,
                    Event::List { kind: ListUpdateKind::Cached, entries: list(born) },
                    &mut Vec::new(),
                );
                made
            };
            let mut all: Vec<Controller> = (0..agent_count).map(|agent| start(agent, START, 0.0)).collect();
            let (mut now, mut id) = (START, 0);
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
                    |action| matches!(action, Action::Send { exchange, .. } if *exchange == place(cold)),
                );
                for action in &actions {
                    if let Action::Send { call, exchange, .. } = *action {
                        let stands = Event::Answered { call, attempt: 0, exchange, elapsed_ms: 20.0 };
                        to.handle(now, stands, &mut Vec::new());
                    }
                }
                sent
            };
            for _ in 0..1_500 {
                now += 20.0;
                for agent in &mut all {
                    if rng.random_bool(0.02 * warm_rate / f64::from(agent_count)) {
                        offer(agent, now, cold, None);
                    }
                }
            }
            let born = now;
            for agent in 0..agent_count {
                if agent % 10 == 3 {
                    all[agent as usize] = start(agent, now, born);
                }
                let entries = vec![common::listed(cold, Readiness::Ready, born)];
                let news = Event::List { kind: ListUpdateKind::Changes, entries };
                all[agent as usize].handle(now, news, &mut Vec::new());
            }
            let mut sent: Vec<f64> = Vec::new();
            while now < born + 3_000.0 {
                for agent in &mut all {
                    if rng.random_bool((0.1 * warm_rate / f64::from(agent_count)).min(1.0)) {
                        let transit = rng.random_bool(0.4).then_some(agent_count + 7);
                        sent.extend(offer(agent, now, cold, transit).then_some(now));
                    }
                }
                now += 20.0;
            }
            let grown = |at: f64| {
                set.cold_initial_capacity
                    + (1.0 - set.cold_initial_capacity) * (at - born) / set.cold_period_ms
            };
            for at in &sent {
                let span = sent.iter().filter(|t| **t >= *at && **t < at + set.overload_duration_ms).count();
                let most = set.overload_factor * grown(*at) * warm_rate * set.overload_duration_ms / 1_000.0;
                assert!(span as f64 <= 1.1 * most, "{agent_count} agents, seed {seed}: {span} of {most}");
            }
            assert!(sent.len() as f64 > 0.5 * warm_rate, "{agent_count} agents: {} sent in 3 s", sent.len());
        }
    }
}

#[test]
fn rule_5_the_release_is_awaited_after_a_reset() {
    let mut host = Host::mesh(4, 1);
    host.free(1, 0.0, 9.0);
    host.free(2, 9.0, 9.0);
    host.free(3, 9.0, 9.0);
    let first = host.call(1, 0, 1).sent_to();
    host.pass(50.0);
    let answer = host.outcome(1, 0, first.unwrap(), Outcome::Reset, Reason::Unspecified);
    let [Action::SetTimer { delay_ms, tag }] = answer.actions[..] else { panic!("{answer:?}") };
    assert!(delay_ms >= host.settings.release_pause_ms);
    host.pass(delay_ms / 2.0);
    assert_eq!(
        host.event(Event::TimerExpired { tag }).sent_to(),
        None,
        "a timer that rings early sends nothing"
    );
    host.pass(delay_ms / 2.0);
    assert!(host.event(Event::TimerExpired { tag }).sent_to().is_some_and(|to| Some(to) != first));
}

#[test]
fn a_class_that_must_not_run_twice_is_not_sent_again_once_it_may_have_run() {
    let mut set = settings();
    set.classes[0].idempotent = false;
    let mut host = Host::mesh(4, 1);
    host.restart(set, 1);
    (1..4).for_each(|n| host.free(n, 9.0, 9.0));
    let first = host.call(1, 0, 1).sent_to().unwrap();
    host.outcome(1, 0, first, Outcome::Reset, Reason::Unspecified);
    host.pass(600.0);
    assert_eq!(host.event(Event::TimerExpired { tag: 1 }).actions, [Action::Fail { call: 1 }]);
}

/// What a checker outside the module knows of one call.
struct Seen {
    deadline: f64,
    out: Option<(u32, ExchangeId)>,
    attempts: u32,
    not_before: f64,
    over: bool,
    transit_to: Option<Number>,
}

/// Plays `steps` against a controller as a legal host would and checks every action against the rules.
fn play(seed: u64, steps: &[(u8, u8, u16, u8)]) -> Vec<Action> {
    let mut set = settings();
    set.must_fetch_list = seed & 1 == 1;
    let mut controller = Controller::new(set.clone(), seed).unwrap();
    let mut now = START;
    let mut seen: BTreeMap<CallId, Seen> = BTreeMap::new();
    let mut off: BTreeMap<ExchangeId, f64> = BTreeMap::new();
    let mut timers: BTreeSet<(u64, u64)> = BTreeSet::new();
    let (mut next, mut log) = (0, Vec::new());
    let entries = (0..6).map(|n| common::listed(n, Readiness::Ready, 0.0)).collect();
    let mut queue = vec![Event::List { kind: ListUpdateKind::Cached, entries }];
    for (kind, pick, value, step) in steps.iter().copied().chain(std::iter::repeat_n((9, 0, 0, 255), 60)) {
        now += f64::from(step) * 2.0;
        // Time-outs and timers that are due come first, as they do from a host.
        for (id, call) in seen.iter().filter(|(_, call)| call.out.is_some() && call.deadline <= now) {
            let (attempt, exchange) = call.out.unwrap();
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
        let odd = [-1.0, f64::NAN, f64::INFINITY, 0.0, 1.0, 2.0, 9.0, 40.0];
        let to = place(u32::from(pick % 7));
        let out = seen
            .iter()
            .filter(|(_, c)| c.out.is_some() && c.deadline > now)
            .nth(usize::from(pick) % 5)
            .map(|(id, c)| (*id, c.out.unwrap()));
        match kind % 9 {
            0..=2 => {
                next += 1;
                let transit_to = (value % 5 == 0).then_some(u32::from(pick % 6));
                let remaining_ms = f64::from(value) % 4_000.0;
                seen.insert(
                    next,
                    Seen {
                        deadline: now + remaining_ms,
                        out: None,
                        attempts: 0,
                        not_before: 0.0,
                        over: false,
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
                if let Some((call, (attempt, exchange))) = out {
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
                            report: Some(vec![odd[usize::from(value) % 8]; 3]),
                        });
                    }
                }
            }
            5 => queue.push(Event::ProbeResult {
                exchange: to,
                answered: value % 3 > 0,
                elapsed_ms: 0.0,
                report: Some(vec![odd[usize::from(value) % 8], 40.0, odd[usize::from(step) % 8]]),
            }),
            6 => {
                let readiness =
                    [Readiness::Ready, Readiness::Draining, Readiness::Removed][usize::from(value) % 3];
                queue.push(Event::List {
                    kind: ListUpdateKind::Changes,
                    entries: vec![common::listed(
                        number(to),
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
                } else if let Some((call, _)) = out
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
                        off.remove(&entry.id);
                    } else {
                        off.entry(entry.id).or_insert(now);
                    }
                }
            }
            if let Event::Answered { call, .. } | Event::Abandoned { call } = &event {
                let held = seen.get_mut(call).unwrap();
                (held.over, held.out) = (true, None);
            }
            if let Event::AttemptEnded { call, attempt, outcome, .. } = &event {
                let held = seen.get_mut(call).unwrap();
                let current = held.attempts == *attempt + 1;
                if held.out.map(|o| o.0) == Some(*attempt) {
                    held.out = None;
                }
                if current && matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                    held.not_before = now + set.release_pause_ms;
                }
            }
            let mut actions = Vec::new();
            controller.handle(now, event, &mut actions);
            for action in &actions {
                match action {
                    Action::Send { call, exchange, timeout_ms } => {
                        let held = seen.get_mut(call).unwrap();
                        assert!(!held.over, "rule 1: sent after its end");
                        assert!(held.out.is_none(), "rule 2: two attempts out");
                        assert!(off.get(exchange).is_none_or(|at| now - at <= set.drain_grace_ms), "rule 3");
                        assert!(now >= held.not_before, "rule 5: release not awaited");
                        assert!(*timeout_ms > 0.0 && now + timeout_ms <= held.deadline + 1e-6);
                        assert_ne!(number(*exchange), 0, "sent to the own exchange");
                        assert!(
                            held.transit_to.is_none_or(|dest| dest == number(*exchange)),
                            "transit past its destination"
                        );
                        held.out = Some((held.attempts, *exchange));
                        held.attempts += 1;
                        assert!(held.attempts <= set.attempt_limit);
                    }
                    Action::Refuse { call, .. } | Action::Fail { call } => {
                        let held = seen.get_mut(call).unwrap();
                        assert!(!held.over && held.out.is_none(), "one final answer, with nothing out");
                        assert!(now <= held.deadline + 600.0);
                        held.over = true;
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
        for (id, call) in &seen {
            assert!(
                call.over || call.out.is_some() || now <= call.deadline + 600.0,
                "rule 1: call {id} is lost"
            );
        }
    }
    log
}

fn steps() -> impl Strategy<Value = Vec<(u8, u8, u16, u8)>> {
    prop::collection::vec((any::<u8>(), any::<u8>(), any::<u16>(), any::<u8>()), 1..400)
}

#[test]
fn every_rule_holds_and_equal_histories_give_equal_actions() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
        .run(&(any::<u64>(), steps()), |(seed, steps)| {
            prop_assert_eq!(play(seed, &steps), play(seed, &steps));
            Ok(())
        })
        .unwrap();
}
