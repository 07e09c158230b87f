//! What is played: size, load and incidents, as a script in JSON that is checked before anything starts.

use std::collections::HashMap;
use std::time::Duration;

use thiserror::Error;
use tinyjson::JsonValue;

/// A class of call, as the platform describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallClass {
    /// Its name.
    pub name: &'static str,
    /// Its part of all calls.
    pub share: f64,
    /// Mean time for which a call stands.
    pub mean_hold: Duration,
    /// Time within which it is wanted to stand.
    pub target_setup: Duration,
    /// Time after which a caller gives up, all tries together.
    pub abandon_after: Duration,
    /// Worth of a call that stands in time.
    pub worth: f64,
    /// Part of the worth left when it stands late.
    pub late_worth_factor: f64,
}

/// The classes that every scenario has.
pub const CLASSES: [CallClass; 3] = [
    CallClass {
        name: "unit-status",
        share: 0.74,
        mean_hold: Duration::from_millis(11_000),
        target_setup: Duration::from_millis(1_500),
        abandon_after: Duration::from_secs(9),
        worth: 1.0,
        late_worth_factor: 0.25,
    },
    CallClass {
        name: "fault-lookup",
        share: 0.05,
        mean_hold: Duration::from_millis(5_600),
        target_setup: Duration::from_millis(800),
        abandon_after: Duration::from_secs(6),
        worth: 5.0,
        late_worth_factor: 0.1,
    },
    CallClass {
        name: "parts-check",
        share: 0.21,
        mean_hold: Duration::from_millis(17_000),
        target_setup: Duration::from_secs(2),
        abandon_after: Duration::from_secs(9),
        worth: 2.0,
        late_worth_factor: 0.2,
    },
];

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ScriptedKind {
    /// The processor of an exchange dies and comes back cold.
    Die,
    /// Another process takes the exchange's place, cold: it drains, stops at the end, and one of another name starts.
    Replace,
    /// The processor takes set-ups and answers none.
    Stall,
    /// The processor works so many times slower.
    Slow(f64),
    /// The list is told later by so much more.
    Lag(Duration),
    /// The softswitch of a node is killed and started again.
    Kill,
    /// The softswitch's records are stamped ahead of the time by so many ms, and drift by so many millionths.
    Clock(i64, i64),
}

impl ScriptedKind {
    /// Its message in scripts.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Die => "die",
            Self::Replace => "replace",
            Self::Stall => "stall",
            Self::Slow(_) => "slow",
            Self::Lag(_) => "lag",
            Self::Kill => "kill",
            Self::Clock(..) => "clock",
        }
    }
}

/// One incident of a script.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScriptedIncident {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// At which node; of no meaning for a lag.
    pub node: usize,
    /// What it is.
    pub kind: ScriptedKind,
}

/// What is played.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Nodes: an exchange and a softswitch each.
    pub nodes: usize,
    /// How long calls are offered.
    pub duration: Duration,
    /// Calls a second, first tries, over all nodes.
    pub calls_per_s: f64,
    /// How long after a change the resolver tells of it.
    pub list_lag: Duration,
    /// What goes wrong.
    pub incidents: Vec<ScriptedIncident>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 5,
            duration: Duration::from_secs(60),
            calls_per_s: 40.0,
            list_lag: Duration::from_secs(2),
            incidents: Vec::new(),
        }
    }
}

/// What is wrong with a script.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ScenarioError {
    /// It is not JSON.
    #[error("not JSON: {0}")]
    InvalidJson(String),
    /// A key is unknown, missing or makes no sense.
    #[error("{key}: expected {expected}")]
    InvalidKey {
        /// The key, with those that lead to it.
        key: String,
        /// What was expected.
        expected: String,
    },
    /// No scenario is built in under this name.
    #[error("no incident is built in under the name '{0}': expected one of {names}, or a file", names = Scenario::BUILT_IN_NAMES.join(", "))]
    UnknownName(String),
}

type Object = HashMap<String, JsonValue>;

fn wrong(key: &str, expected: impl Into<String>) -> ScenarioError {
    ScenarioError::InvalidKey { key: key.to_owned(), expected: expected.into() }
}

fn number(
    object: &Object,
    at: &str,
    key: &str,
    range: (f64, f64),
    usual: Option<f64>,
) -> Result<f64, ScenarioError> {
    let value = match object.get(key) {
        None => usual,
        Some(value) => value.get::<f64>().copied(),
    };
    let value = value.filter(|n| (range.0..=range.1).contains(n));
    value.ok_or_else(|| wrong(&format!("{at}{key}"), format!("a number from {} to {}", range.0, range.1)))
}

fn only(object: &Object, at: &str, keys: &[&str]) -> Result<(), ScenarioError> {
    let mut unknown: Vec<&String> = object.keys().filter(|key| !keys.contains(&key.as_str())).collect();
    unknown.sort();
    match unknown.first() {
        Some(key) => Err(wrong(&format!("{at}{key}"), format!("one of {}", keys.join(", ")))),
        None => Ok(()),
    }
}

impl Scenario {
    /// Scenarios that are built in.
    pub const BUILT_IN_NAMES: [&str; 5] = ["calm", "death", "winter", "stall", "restart"];

    /// A scenario that is built in, stretched to this length.
    ///
    /// # Errors
    /// If there is none of this name.
    pub fn built_in(name: &str, duration: Duration) -> Result<Self, ScenarioError> {
        let part = |of: f64| duration.mul_f64(of);
        let incident =
            |at, length, node, kind| ScriptedIncident { at: part(at), duration: part(length), node, kind };
        let extra = ScriptedKind::Lag(Duration::from_secs(6));
        let incidents = match name {
            "calm" => vec![],
            // A processor dies and returns cold while the list lags.
            "death" => vec![incident(0.28, 0.35, 0, extra), incident(0.3, 0.2, 2, ScriptedKind::Die)],
            "winter" => vec![
                incident(0.15, 0.2, 1, ScriptedKind::Slow(3.0)),
                incident(0.38, 0.3, 0, extra),
                incident(0.4, 0.15, 2, ScriptedKind::Die),
                incident(0.7, 0.15, 3, ScriptedKind::Replace),
            ],
            "stall" => vec![incident(0.3, 0.2, 2, ScriptedKind::Stall)],
            "restart" => vec![
                incident(0.0, 1.0, 1, ScriptedKind::Clock(80, 50)),
                incident(0.4, 0.1, 1, ScriptedKind::Kill),
            ],
            _ => return Err(ScenarioError::UnknownName(name.to_owned())),
        };
        Ok(Self { duration, incidents, ..Self::default() })
    }

    /// Reads a script.
    ///
    /// # Errors
    /// If it makes no sense; the error says which key, and what is expected.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let json: JsonValue = text.parse().map_err(|error| ScenarioError::InvalidJson(format!("{error}")))?;
        let top = json.get::<Object>().ok_or_else(|| wrong("the script", "an object"))?;
        only(top, "", &["nodes", "seconds", "calls_per_s", "lag_ms", "incidents"])?;
        let usual = Self::default();
        let nodes = number(top, "", "nodes", (2.0, 32.0), Some(usual.nodes as f64))?;
        if nodes.fract() != 0.0 {
            return Err(wrong("nodes", "a whole number"));
        }
        let seconds = number(top, "", "seconds", (1.0, 86_400.0), Some(usual.duration.as_secs_f64()))?;
        let duration = Duration::from_secs_f64(seconds);
        let calls_per_s = number(top, "", "calls_per_s", (0.0, 10_000.0), Some(usual.calls_per_s))?;
        let lag = number(top, "", "lag_ms", (0.0, 60_000.0), Some(2_000.0))?;
        let mut incidents = Vec::new();
        if let Some(list) = top.get("incidents") {
            let list = list.get::<Vec<JsonValue>>().ok_or_else(|| wrong("incidents", "a list"))?;
            for (i, entry) in list.iter().enumerate() {
                let at = format!("incidents.{i}.");
                let entry = entry.get::<Object>().ok_or_else(|| wrong(&at, "an object"))?;
                incidents.push(read_incident(entry, &at, nodes as usize, seconds)?);
            }
        }
        Ok(Self {
            nodes: nodes as usize,
            duration,
            calls_per_s,
            list_lag: Duration::from_secs_f64(lag / 1e3),
            incidents,
        })
    }
}

fn read_incident(
    entry: &Object,
    at: &str,
    nodes: usize,
    seconds: f64,
) -> Result<ScriptedIncident, ScenarioError> {
    let usual = ["at", "for", "node", "kind"];
    let more = |own: &[&'static str]| only(entry, at, &[&usual[..], own].concat());
    let message =
        entry.get("kind").and_then(|kind| kind.get::<String>()).map(String::as_str).unwrap_or_default();
    let kind = match message {
        "die" => ScriptedKind::Die,
        "replace" => ScriptedKind::Replace,
        "stall" => ScriptedKind::Stall,
        "kill" => ScriptedKind::Kill,
        "slow" => ScriptedKind::Slow(number(entry, at, "factor", (1.0, 100.0), None)?),
        "lag" => ScriptedKind::Lag(Duration::from_secs_f64(
            number(entry, at, "extra_ms", (0.0, 60_000.0), None)? / 1e3,
        )),
        "clock" => {
            let ahead = number(entry, at, "ahead_ms", (-60_000.0, 60_000.0), None)?;
            ScriptedKind::Clock(
                ahead as i64,
                number(entry, at, "drift_ppm", (-1_000.0, 1_000.0), Some(0.0))? as i64,
            )
        }
        _ => return Err(wrong(&format!("{at}kind"), "one of die, replace, stall, slow, lag, kill, clock")),
    };
    more(match kind {
        ScriptedKind::Slow(_) => &["factor"],
        ScriptedKind::Lag(_) => &["extra_ms"],
        ScriptedKind::Clock(..) => &["ahead_ms", "drift_ppm"],
        _ => &[],
    })?;
    let needs_node = !matches!(kind, ScriptedKind::Lag(_));
    let node = number(entry, at, "node", (0.0, nodes as f64 - 1.0), (!needs_node).then_some(0.0))?;
    let begin = number(entry, at, "at", (0.0, seconds), None)?;
    let duration = number(entry, at, "for", (0.0, seconds), Some(seconds - begin))?;
    Ok(ScriptedIncident {
        at: Duration::from_secs_f64(begin),
        duration: Duration::from_secs_f64(duration),
        node: node as usize,
        kind,
    })
}
