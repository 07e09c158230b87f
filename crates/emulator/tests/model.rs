//! The model by itself, with the plainest softswitch there is: direct or not at all.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftlb_emulator::{
    Input, MeshModel, MessageFromCaller, MessageFromExchange, MessageToCaller, MessageToExchange, Output,
    Scenario, ScriptedIncident, ScriptedKind,
};

/// What came of a play: all that was put out, with its time, and the free circuits as last told.
struct Play {
    model: MeshModel,
    out: Vec<(Duration, Output)>,
    free: BTreeMap<(usize, usize), (u32, u32)>,
}

/// Plays a scenario with softswitches that send every call direct and pass on what they hear.
fn play(scenario: Scenario, seed: u64) -> Play {
    let nodes = scenario.nodes;
    let mut play = Play { model: MeshModel::new(scenario, seed), out: Vec::new(), free: BTreeMap::new() };
    let mut dest: BTreeMap<u64, usize> = BTreeMap::new();
    let mut inputs: Vec<Input> = (0..nodes).map(Input::SoftswitchUp).collect();
    for softswitch in 0..nodes {
        inputs.extend(
            (0..nodes)
                .filter(|e| *e != softswitch)
                .map(|exchange| Input::ExchangeConnected { softswitch, exchange }),
        );
    }
    let mut now = Duration::ZERO;
    while !play.model.is_finished() {
        let mut out = Vec::new();
        for input in inputs.drain(..) {
            play.model.handle(now, input, &mut out);
        }
        play.model.handle(now, Input::Wake, &mut out);
        for output in out {
            match output {
                Output::FromCaller {
                    softswitch,
                    call,
                    message: MessageFromCaller::SetUp { dest: to, .. },
                } => {
                    dest.insert(call, to);
                    inputs.push(Input::ToExchange {
                        softswitch,
                        exchange: to,
                        call,
                        message: MessageToExchange::SetUp,
                    });
                }
                Output::FromCaller { softswitch, call, message: MessageFromCaller::HangUp } => {
                    let exchange = dest[&call];
                    inputs.push(Input::ToExchange {
                        softswitch,
                        exchange,
                        call,
                        message: MessageToExchange::Release,
                    });
                }
                Output::FromExchange { softswitch, call, message: MessageFromExchange::Answered, .. } => {
                    inputs.push(Input::ToCaller { softswitch, call, message: MessageToCaller::Answered });
                }
                Output::FromExchange {
                    softswitch,
                    call,
                    message: MessageFromExchange::Ended(cause, ..),
                    ..
                } => {
                    inputs.push(Input::ToCaller {
                        softswitch,
                        call,
                        message: MessageToCaller::Ended(cause, Duration::ZERO),
                    });
                }
                Output::FromExchange {
                    softswitch,
                    exchange,
                    message: MessageFromExchange::GroupState(free, total),
                    ..
                } => {
                    play.free.insert((softswitch, exchange), (free, total));
                }
                _ => {}
            }
            play.out.push((now, output));
        }
        if inputs.is_empty() {
            now = play.model.next_wake().unwrap_or(now + Duration::from_secs(1)).max(now);
        }
    }
    play
}

fn scenario(incidents: Vec<ScriptedIncident>) -> Scenario {
    Scenario { duration: Duration::from_secs(40), incidents, ..Scenario::default() }
}

fn incident(at: u64, duration: u64, node: usize, kind: ScriptedKind) -> ScriptedIncident {
    ScriptedIncident { at: Duration::from_secs(at), duration: Duration::from_secs(duration), node, kind }
}

#[test]
fn a_calm_day_serves_nearly_all_and_gives_every_circuit_back() {
    let play = play(scenario(vec![]), 1);
    assert!(play.model.service_level() > 0.95, "{}", play.model.service_level());
    let offered: u64 = play.model.totals().iter().map(|s| s.offered).sum();
    assert!((1_400..1_800).contains(&offered), "40 a second for 40 s: {offered}");
    assert_eq!(play.model.protocol_violations(), 0);
    let left: u32 = play.free.values().map(|(free, total)| total - free).sum();
    let ended = |(_, out): &&(Duration, Output)| {
        matches!(out, Output::FromExchange { message: MessageFromExchange::Ended(16, ..), .. })
    };
    let answered = |(_, out): &&(Duration, Output)| {
        matches!(out, Output::FromExchange { message: MessageFromExchange::Answered, .. })
    };
    let standing = play.out.iter().filter(answered).count() - play.out.iter().filter(ended).count();
    // Both ends of a group are told.
    assert_eq!(left as usize, 2 * standing, "circuits are held by the calls that stand, and by nothing else");
}

#[test]
fn the_same_seed_is_the_same_day() {
    let incidents = vec![incident(10, 5, 2, ScriptedKind::Die), incident(20, 5, 1, ScriptedKind::Slow(3.0))];
    let [one, two] = [(); 2].map(|()| play(scenario(incidents.clone()), 5).out);
    assert_eq!(one, two);
    assert_ne!(one, play(scenario(incidents), 6).out);
}

#[test]
fn a_death_cuts_what_touches_it_and_the_list_tells_late() {
    let kinds = vec![
        incident(10, 8, 2, ScriptedKind::Die),
        incident(9, 20, 0, ScriptedKind::Lag(Duration::from_secs(6))),
    ];
    let mut play = play(scenario(kinds), 3);
    let at = |wanted: &Output| play.out.iter().find(|(_, out)| out == wanted).map(|(at, _)| at.as_secs());
    assert_eq!((at(&Output::ExchangeDown(2)), at(&Output::ExchangeUp(2))), (Some(10), Some(18)));
    let quiet = |(at, out): &(Duration, Output)| {
        (10..18).contains(&at.as_secs())
            && matches!(out, Output::FromExchange { exchange: 2, message: MessageFromExchange::Answered, .. })
    };
    assert!(!play.out.iter().any(quiet), "the dead say nothing");
    let cut: u64 = play.model.totals().iter().map(|s| s.cut).sum();
    assert!(cut > 0, "calls that came through it are told at their far ends");
    // Asked from the start on, with the lag that holds at the end: first the whole list, then without, then reborn.
    let (serial, list) = play.model.list(Duration::from_secs(41));
    assert_eq!((serial, list.len()), (3, 5));
    assert_eq!(list[2].started_at, Some(Duration::from_secs(18)));
}

#[test]
fn a_stall_answers_nothing_and_a_slow_processor_turns_away() {
    let stalled = play(scenario(vec![incident(10, 10, 2, ScriptedKind::Stall)]), 3);
    let said = |(at, out): &(Duration, Output)| {
        let answer =
            matches!(out, Output::FromExchange { exchange: 2, message: MessageFromExchange::Answered, .. });
        answer && (Duration::from_millis(10_001)..Duration::from_secs(20)).contains(at)
    };
    assert!(!stalled.out.iter().any(said));
    let slow = play(scenario(vec![incident(5, 30, 2, ScriptedKind::Slow(12.0))]), 3);
    let full = |(_, out): &(Duration, Output)| {
        matches!(
            out,
            Output::FromExchange {
                exchange: 2,
                message: MessageFromExchange::Ended(34, "processor_full", _),
                ..
            }
        )
    };
    assert!(slow.out.iter().any(full));
}

#[test]
fn a_replaced_exchange_drains_first_and_has_another_name() {
    let mut play = play(scenario(vec![incident(10, 5, 1, ScriptedKind::Replace)]), 3);
    let (serial, list) = play.model.list(Duration::from_secs(41));
    assert_eq!((serial, list[1].name.as_str(), list[1].draining), (4, "s-1-1", false));
    assert!(play.out.contains(&(Duration::from_secs(15), Output::ExchangeUp(1))));
}

#[test]
fn scripts_are_checked_before_anything_starts() {
    let good = r#"{"nodes":7,"seconds":30,"calls_per_s":61,"lag_ms":2000,"incidents":[
        {"at":5,"for":4,"node":2,"kind":"die"},{"at":3,"for":9,"kind":"lag","extra_ms":6000},
        {"at":0,"node":1,"kind":"clock","ahead_ms":80,"drift_ppm":50},{"at":1,"for":2,"node":0,"kind":"slow","factor":3}]}"#;
    let scenario = Scenario::parse(good).expect("a script");
    assert_eq!((scenario.nodes, scenario.incidents.len(), scenario.list_lag), (7, 4, Duration::from_secs(2)));
    assert_eq!(scenario.incidents[0], incident(5, 4, 2, ScriptedKind::Die));
    assert_eq!(scenario.incidents[2].kind, ScriptedKind::Clock(80, 50));
    let wrong = |text: &str| Scenario::parse(text).expect_err(text).to_string();
    assert!(wrong("{").starts_with("not JSON: "));
    assert_eq!(wrong("[]"), "the script: expected an object");
    assert_eq!(wrong(r#"{"nodes":1}"#), "nodes: expected a number from 2 to 32");
    assert_eq!(
        wrong(r#"{"speed":1}"#),
        "speed: expected one of nodes, seconds, calls_per_s, lag_ms, incidents"
    );
    let of = |entry: &str| wrong(&format!(r#"{{"incidents":[{entry}]}}"#));
    assert_eq!(
        of(r#"{"at":1,"kind":"burn"}"#),
        "incidents.0.kind: expected one of die, replace, stall, slow, lag, kill, clock"
    );
    assert_eq!(of(r#"{"at":1,"kind":"die","node":9}"#), "incidents.0.node: expected a number from 0 to 4");
    assert_eq!(
        of(r#"{"at":1,"kind":"slow","node":1}"#),
        "incidents.0.factor: expected a number from 1 to 100"
    );
    assert_eq!(
        of(r#"{"at":1,"kind":"die","node":1,"factor":2}"#),
        "incidents.0.factor: expected one of at, for, node, kind"
    );
    for name in Scenario::BUILT_IN_NAMES {
        assert!(Scenario::built_in(name, Duration::from_secs(60)).is_ok(), "{name}");
    }
    assert!(Scenario::built_in("flood", Duration::from_secs(60)).is_err());
}
