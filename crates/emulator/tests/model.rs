//! Tests of the model without sockets, with minimal softswitches that send every call on the direct route only.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftlb_emulator::{
    Input, MeshModel, MessageFromCaller, MessageFromExchange, MessageToCaller, MessageToExchange, Output,
    Scenario, ScriptedIncident, ScriptedKind,
};

/// A finished run: the model, all outputs with their time, and the last reported state of each group (free, size).
struct Run {
    model: MeshModel,
    outputs: Vec<(Duration, Output)>,
    groups: BTreeMap<(usize, usize), (u32, u32)>,
}

/// Runs a scenario with softswitches that send every call on the direct route and pass answers and ends of calls on to
/// the callers.
fn run(scenario: Scenario, seed: u64) -> Run {
    let nodes = scenario.nodes;
    let mut run = Run { model: MeshModel::new(scenario, seed), outputs: Vec::new(), groups: BTreeMap::new() };
    let mut dests: BTreeMap<u64, usize> = BTreeMap::new();
    let mut inputs: Vec<Input> = (0..nodes).map(Input::SoftswitchUp).collect();
    for softswitch in 0..nodes {
        inputs.extend(
            (0..nodes)
                .filter(|e| *e != softswitch)
                .map(|exchange| Input::ExchangeConnected { softswitch, exchange }),
        );
    }
    let mut now = Duration::ZERO;
    while !run.model.is_finished() {
        let mut out = Vec::new();
        for input in inputs.drain(..) {
            run.model.handle(now, input, &mut out);
        }
        run.model.handle(now, Input::Wake, &mut out);
        for output in out {
            match output {
                Output::FromCaller {
                    softswitch,
                    call,
                    message: MessageFromCaller::SetUp { dest: to, .. },
                } => {
                    dests.insert(call, to);
                    inputs.push(Input::ToExchange {
                        softswitch,
                        exchange: to,
                        call,
                        message: MessageToExchange::SetUp,
                    });
                }
                Output::FromCaller { softswitch, call, message: MessageFromCaller::HangUp } => {
                    let exchange = dests[&call];
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
                    run.groups.insert((softswitch, exchange), (free, total));
                }
                _ => {}
            }
            run.outputs.push((now, output));
        }
        if inputs.is_empty() {
            now = run.model.next_wake().unwrap_or(now + Duration::from_secs(1)).max(now);
        }
    }
    run
}

fn scenario(incidents: Vec<ScriptedIncident>) -> Scenario {
    Scenario { duration: Duration::from_secs(40), incidents, ..Scenario::default() }
}

fn incident(at: u64, duration: u64, node: usize, kind: ScriptedKind) -> ScriptedIncident {
    ScriptedIncident { at: Duration::from_secs(at), duration: Duration::from_secs(duration), node, kind }
}

#[test]
fn run_without_incidents_serves_almost_all_calls_and_frees_their_circuits() {
    let run = run(scenario(vec![]), 1);
    assert!(run.model.service_level() > 0.95, "{}", run.model.service_level());
    let offered: u64 = run.model.totals().iter().map(|s| s.offered).sum();
    assert!((1_400..1_800).contains(&offered), "40 calls per second for 40 s: {offered}");
    assert_eq!(run.model.protocol_violations(), 0);
    let circuits_in_use: u32 = run.groups.values().map(|(free, total)| total - free).sum();
    let ended = |(_, out): &&(Duration, Output)| {
        matches!(out, Output::FromExchange { message: MessageFromExchange::Ended(16, ..), .. })
    };
    let answered = |(_, out): &&(Duration, Output)| {
        matches!(out, Output::FromExchange { message: MessageFromExchange::Answered, .. })
    };
    let established = run.outputs.iter().filter(answered).count() - run.outputs.iter().filter(ended).count();
    // Each group is reported to both ends.
    assert_eq!(circuits_in_use as usize, 2 * established, "only established calls hold circuits");
}

#[test]
fn same_seed_gives_the_same_run() {
    let incidents = vec![incident(10, 5, 2, ScriptedKind::Die), incident(20, 5, 1, ScriptedKind::Slow(3.0))];
    let [first, second] = [(); 2].map(|()| run(scenario(incidents.clone()), 5).outputs);
    assert_eq!(first, second);
    assert_ne!(first, run(scenario(incidents), 6).outputs);
}

#[test]
fn dead_exchange_cuts_its_calls_and_the_list_changes_late() {
    let incidents = vec![
        incident(10, 8, 2, ScriptedKind::Die),
        incident(9, 20, 0, ScriptedKind::Lag(Duration::from_secs(6))),
    ];
    let mut run = run(scenario(incidents), 3);
    let time_of =
        |wanted: &Output| run.outputs.iter().find(|(_, out)| out == wanted).map(|(at, _)| at.as_secs());
    assert_eq!((time_of(&Output::ExchangeDown(2)), time_of(&Output::ExchangeUp(2))), (Some(10), Some(18)));
    let answers_while_down = |(at, out): &(Duration, Output)| {
        (10..18).contains(&at.as_secs())
            && matches!(out, Output::FromExchange { exchange: 2, message: MessageFromExchange::Answered, .. })
    };
    assert!(!run.outputs.iter().any(answers_while_down), "a dead exchange answers nothing");
    let cut: u64 = run.model.totals().iter().map(|s| s.cut).sum();
    assert!(cut > 0, "calls over the dead exchange are cut at their other ends");
    // The lag is back to normal, so all three versions have been delivered: complete, without the dead exchange, and
    // with it started again.
    let (serial, list) = run.model.list(Duration::from_secs(41));
    assert_eq!((serial, list.len()), (3, 5));
    assert_eq!(list[2].started_at, Some(Duration::from_secs(18)));
}

#[test]
fn stalled_processor_answers_nothing_and_slow_processor_refuses_set_ups() {
    let stalled = run(scenario(vec![incident(10, 10, 2, ScriptedKind::Stall)]), 3);
    let answers_while_stalled = |(at, out): &(Duration, Output)| {
        let answer =
            matches!(out, Output::FromExchange { exchange: 2, message: MessageFromExchange::Answered, .. });
        answer && (Duration::from_millis(10_001)..Duration::from_secs(20)).contains(at)
    };
    assert!(!stalled.outputs.iter().any(answers_while_stalled));
    let slow = run(scenario(vec![incident(5, 30, 2, ScriptedKind::Slow(12.0))]), 3);
    let refuses_as_full = |(_, out): &(Duration, Output)| {
        matches!(
            out,
            Output::FromExchange {
                exchange: 2,
                message: MessageFromExchange::Ended(34, "processor_full", _),
                ..
            }
        )
    };
    assert!(slow.outputs.iter().any(refuses_as_full));
}

#[test]
fn replaced_exchange_drains_and_returns_under_another_name() {
    let mut run = run(scenario(vec![incident(10, 5, 1, ScriptedKind::Replace)]), 3);
    let (serial, list) = run.model.list(Duration::from_secs(41));
    assert_eq!((serial, list[1].name.as_str(), list[1].draining), (4, "s-1-1", false));
    assert!(run.outputs.contains(&(Duration::from_secs(15), Output::ExchangeUp(1))));
}

#[test]
fn invalid_scripts_are_rejected_with_the_key_and_what_is_expected() {
    let valid = r#"{"nodes":7,"seconds":30,"calls_per_s":61,"lag_ms":2000,"incidents":[
        {"at":5,"for":4,"node":2,"kind":"die"},{"at":3,"for":9,"kind":"lag","extra_ms":6000},
        {"at":0,"node":1,"kind":"clock","ahead_ms":80,"drift_ppm":50},{"at":1,"for":2,"node":0,"kind":"slow","factor":3}]}"#;
    let scenario = Scenario::parse(valid).expect("a valid script");
    assert_eq!((scenario.nodes, scenario.incidents.len(), scenario.list_lag), (7, 4, Duration::from_secs(2)));
    assert_eq!(scenario.incidents[0], incident(5, 4, 2, ScriptedKind::Die));
    assert_eq!(scenario.incidents[2].kind, ScriptedKind::Clock(80, 50));
    let error_of = |text: &str| Scenario::parse(text).expect_err(text).to_string();
    assert!(error_of("{").starts_with("not JSON: "));
    assert_eq!(error_of("[]"), "the script: expected an object");
    assert_eq!(error_of(r#"{"nodes":1}"#), "nodes: expected a number from 2 to 32");
    assert_eq!(
        error_of(r#"{"speed":1}"#),
        "speed: expected one of nodes, seconds, calls_per_s, lag_ms, incidents"
    );
    let incident_error = |entry: &str| error_of(&format!(r#"{{"incidents":[{entry}]}}"#));
    assert_eq!(
        incident_error(r#"{"at":1,"kind":"burn"}"#),
        "incidents.0.kind: expected one of die, replace, stall, slow, lag, kill, clock"
    );
    assert_eq!(
        incident_error(r#"{"at":1,"kind":"die","node":9}"#),
        "incidents.0.node: expected a number from 0 to 4"
    );
    assert_eq!(
        incident_error(r#"{"at":1,"kind":"slow","node":1}"#),
        "incidents.0.factor: expected a number from 1 to 100"
    );
    assert_eq!(
        incident_error(r#"{"at":1,"kind":"die","node":1,"factor":2}"#),
        "incidents.0.factor: expected one of at, for, node, kind"
    );
    for name in Scenario::BUILT_IN_NAMES {
        assert!(Scenario::built_in(name, Duration::from_secs(60)).is_ok(), "{name}");
    }
    assert!(Scenario::built_in("flood", Duration::from_secs(60)).is_err());
}
