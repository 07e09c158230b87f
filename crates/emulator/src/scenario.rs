//! Scenarios: size of the mesh, load and incidents. A scenario is built in or read from a script in JSON, which is
//! validated before anything starts.

use std::collections::HashMap;
use std::time::Duration;

use thiserror::Error;
use tinyjson::JsonValue;

/// Properties of a class of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallClass {
    /// Name of the class.
    pub name: &'static str,
    /// Fraction of all calls that belong to the class.
    pub share: f64,
    /// Mean duration of an established call.
    pub mean_hold: Duration,
    /// Target set-up time.
    pub target_setup: Duration,
    /// Time after which a caller abandons the call, over all its attempts.
    pub abandon_after: Duration,
    /// Worth of a call that is established within the target set-up time.
    pub worth: f64,
    /// Fraction of the worth that remains when the call is established later.
    pub late_worth_factor: f64,
}

/// The classes of all scenarios.
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

/// Kind of a scripted incident.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ScriptedKind {
    /// The exchange dies, which cuts its calls; at the end of the incident it starts again, cold.
    Die,
    /// The list shows the exchange as draining; at the end of the incident it stops and a cold one with another name
    /// replaces it.
    Replace,
    /// The processor accepts set-ups but processes none, and the exchange doesn't reply to probes.
    Stall,
    /// The processor is slower by this factor.
    Slow(f64),
    /// The resolver delivers changes of the list later by this additional time.
    Lag(Duration),
    /// The softswitch of a node is killed; at the end of the incident it is started again.
    Kill,
    /// The clock of the softswitch's records is ahead by this many ms and drifts by this many ppm. This holds for the
    /// whole run, whatever the times of the incident.
    Clock(i64, i64),
}

impl ScriptedKind {
    /// Value of `kind` in scripts.
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

/// Incident of a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScriptedIncident {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The node that it affects; ignored for [`ScriptedKind::Lag`].
    pub node: usize,
    /// What happens.
    pub kind: ScriptedKind,
}

/// Size of the mesh, load and incidents of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Number of nodes; each has an exchange and a softswitch.
    pub nodes: usize,
    /// Time during which new calls are offered.
    pub duration: Duration,
    /// New calls per second over all nodes, without redials.
    pub calls_per_s: f64,
    /// Time until the resolver delivers a change of the list of exchanges.
    pub list_lag: Duration,
    /// The incidents.
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

/// Why a script or the name of a built-in scenario is rejected.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ScenarioError {
    /// The script is not JSON.
    #[error("not JSON: {0}")]
    InvalidJson(String),
    /// A key is unknown or missing, or its value is invalid.
    #[error("{key}: expected {expected}")]
    InvalidKey {
        /// Path of the key.
        key: String,
        /// What was expected.
        expected: String,
    },
    /// There is no built-in scenario of this name.
    #[error("no incident is built in under the name '{0}': expected one of {names}, or a file", names = Scenario::BUILT_IN_NAMES.join(", "))]
    UnknownName(String),
}

type Object = HashMap<String, JsonValue>;

fn invalid_key(key: &str, expected: impl Into<String>) -> ScenarioError {
    ScenarioError::InvalidKey { key: key.to_owned(), expected: expected.into() }
}

/// Reads a number within a range, or the default if the key is missing. `path` is that of the object and ends in a dot
/// unless it is empty.
fn number(
    object: &Object,
    path: &str,
    key: &str,
    range: (f64, f64),
    default: Option<f64>,
) -> Result<f64, ScenarioError> {
    let value = match object.get(key) {
        None => default,
        Some(value) => value.get::<f64>().copied(),
    };
    let value = value.filter(|n| (range.0..=range.1).contains(n));
    value.ok_or_else(|| {
        invalid_key(&format!("{path}{key}"), format!("a number from {} to {}", range.0, range.1))
    })
}

/// Rejects an object with an unknown key.
fn check_keys(object: &Object, path: &str, keys: &[&str]) -> Result<(), ScenarioError> {
    let mut unknown: Vec<&String> = object.keys().filter(|key| !keys.contains(&key.as_str())).collect();
    unknown.sort();
    match unknown.first() {
        Some(key) => Err(invalid_key(&format!("{path}{key}"), format!("one of {}", keys.join(", ")))),
        None => Ok(()),
    }
}

impl Scenario {
    /// Names of the built-in scenarios.
    pub const BUILT_IN_NAMES: [&str; 5] = ["calm", "death", "winter", "stall", "restart"];

    /// The built-in scenario of this name; its incidents are placed at fixed fractions of the duration.
    ///
    /// # Errors
    /// If there is no scenario of this name.
    pub fn built_in(name: &str, duration: Duration) -> Result<Self, ScenarioError> {
        let fraction_of_run = |fraction: f64| duration.mul_f64(fraction);
        let incident = |at, length, node, kind| ScriptedIncident {
            at: fraction_of_run(at),
            duration: fraction_of_run(length),
            node,
            kind,
        };
        let more_lag = ScriptedKind::Lag(Duration::from_secs(6));
        let incidents = match name {
            "calm" => vec![],
            // An exchange dies and returns cold while the list lags.
            "death" => vec![incident(0.28, 0.35, 0, more_lag), incident(0.3, 0.2, 2, ScriptedKind::Die)],
            // One exchange is slow, another dies while the list lags, and a third is replaced.
            "winter" => vec![
                incident(0.15, 0.2, 1, ScriptedKind::Slow(3.0)),
                incident(0.38, 0.3, 0, more_lag),
                incident(0.4, 0.15, 2, ScriptedKind::Die),
                incident(0.7, 0.15, 3, ScriptedKind::Replace),
            ],
            "stall" => vec![incident(0.3, 0.2, 2, ScriptedKind::Stall)],
            // A softswitch whose clock is ahead and drifts is killed and started again.
            "restart" => vec![
                incident(0.0, 1.0, 1, ScriptedKind::Clock(80, 50)),
                incident(0.4, 0.1, 1, ScriptedKind::Kill),
            ],
            _ => return Err(ScenarioError::UnknownName(name.to_owned())),
        };
        Ok(Self { duration, incidents, ..Self::default() })
    }

    /// Parses a script.
    ///
    /// # Errors
    /// If the script is invalid; the error names the key and what is expected.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let json: JsonValue = text.parse().map_err(|error| ScenarioError::InvalidJson(format!("{error}")))?;
        let top = json.get::<Object>().ok_or_else(|| invalid_key("the script", "an object"))?;
        check_keys(top, "", &["nodes", "seconds", "calls_per_s", "lag_ms", "incidents"])?;
        let default = Self::default();
        let nodes = number(top, "", "nodes", (2.0, 32.0), Some(default.nodes as f64))?;
        if nodes.fract() != 0.0 {
            return Err(invalid_key("nodes", "a whole number"));
        }
        let seconds = number(top, "", "seconds", (1.0, 86_400.0), Some(default.duration.as_secs_f64()))?;
        let duration = Duration::from_secs_f64(seconds);
        let calls_per_s = number(top, "", "calls_per_s", (0.0, 10_000.0), Some(default.calls_per_s))?;
        let lag_ms = number(top, "", "lag_ms", (0.0, 60_000.0), Some(2_000.0))?;
        let mut incidents = Vec::new();
        if let Some(list) = top.get("incidents") {
            let list = list.get::<Vec<JsonValue>>().ok_or_else(|| invalid_key("incidents", "a list"))?;
            for (i, entry) in list.iter().enumerate() {
                let path = format!("incidents.{i}.");
                let entry = entry.get::<Object>().ok_or_else(|| invalid_key(&path, "an object"))?;
                incidents.push(parse_incident(entry, &path, nodes as usize, seconds)?);
            }
        }
        Ok(Self {
            nodes: nodes as usize,
            duration,
            calls_per_s,
            list_lag: Duration::from_secs_f64(lag_ms / 1e3),
            incidents,
        })
    }
}

fn parse_incident(
    entry: &Object,
    path: &str,
    nodes: usize,
    seconds: f64,
) -> Result<ScriptedIncident, ScenarioError> {
    let common_keys = ["at", "for", "node", "kind"];
    let check_own_keys = |own: &[&'static str]| check_keys(entry, path, &[&common_keys[..], own].concat());
    let label =
        entry.get("kind").and_then(|kind| kind.get::<String>()).map(String::as_str).unwrap_or_default();
    let kind = match label {
        "die" => ScriptedKind::Die,
        "replace" => ScriptedKind::Replace,
        "stall" => ScriptedKind::Stall,
        "kill" => ScriptedKind::Kill,
        "slow" => ScriptedKind::Slow(number(entry, path, "factor", (1.0, 100.0), None)?),
        "lag" => ScriptedKind::Lag(Duration::from_secs_f64(
            number(entry, path, "extra_ms", (0.0, 60_000.0), None)? / 1e3,
        )),
        "clock" => {
            let ahead_ms = number(entry, path, "ahead_ms", (-60_000.0, 60_000.0), None)?;
            ScriptedKind::Clock(
                ahead_ms as i64,
                number(entry, path, "drift_ppm", (-1_000.0, 1_000.0), Some(0.0))? as i64,
            )
        }
        _ => {
            return Err(invalid_key(
                &format!("{path}kind"),
                "one of die, replace, stall, slow, lag, kill, clock",
            ));
        }
    };
    check_own_keys(match kind {
        ScriptedKind::Slow(_) => &["factor"],
        ScriptedKind::Lag(_) => &["extra_ms"],
        ScriptedKind::Clock(..) => &["ahead_ms", "drift_ppm"],
        _ => &[],
    })?;
    let needs_node = !matches!(kind, ScriptedKind::Lag(_));
    let node = number(entry, path, "node", (0.0, nodes as f64 - 1.0), (!needs_node).then_some(0.0))?;
    let begin = number(entry, path, "at", (0.0, seconds), None)?;
    let duration = number(entry, path, "for", (0.0, seconds), Some(seconds - begin))?;
    Ok(ScriptedIncident {
        at: Duration::from_secs_f64(begin),
        duration: Duration::from_secs_f64(duration),
        node: node as usize,
        kind,
    })
}
