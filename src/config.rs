//! What a softswitch is told at its start: one JSON file, decoded straight into the module's own `Settings`.

use std::collections::HashMap;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::time::Duration;

use thiserror::Error;
use tinyjson::JsonValue;

use crate::engine::{ListEntry, duration_from_ms};
use crate::interface::{Class, LoadReportMode, Readiness, ReportField, Settings, Tenant};

/// What is wrong with a configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read the configuration: {0}")]
    Unreadable(#[from] std::io::Error),
    /// It is not JSON, or nested deeper than any message is.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// A key is missing or of another type.
    #[error("key {0} is missing or of the wrong type")]
    Key(String),
    /// A value makes no sense.
    #[error("key {key} has the value '{value}', which is not one of the known words")]
    UnknownValue {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// An address cannot be read.
    #[error("not an address: {0}")]
    Address(#[from] AddrParseError),
    /// A hexadecimal number cannot be read.
    #[error("not a hexadecimal number: {0}")]
    Hex(#[from] ParseIntError),
}

/// Everything that a softswitch is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect, if anywhere.
    pub operator: Option<SocketAddr>,
    /// Seed of its random numbers.
    pub seed: u64,
    /// File descriptors that it may hold.
    pub max_sockets: usize,
    /// Address of the resolver.
    pub resolver: SocketAddr,
    /// Number of the last event that the list of the start holds.
    pub list_serial: u32,
    /// The exchanges of the start.
    pub exchanges: Vec<ListEntry>,
    /// What the decisions are told.
    pub settings: Settings,
    /// Names of the classes, in the order of `settings.classes`, and how long a caller of each waits at most.
    pub classes: Vec<(String, Duration)>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the values of a load report, in the order of `settings.report_fields`.
    pub report_field_names: Vec<String>,
    /// How long a connection to an exchange may take to come up.
    pub connect_timeout: Duration,
}

impl Config {
    /// Reads the file at this path.
    ///
    /// # Errors
    /// If it cannot be read or makes no sense; the error says why.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Decodes a configuration.
    ///
    /// # Errors
    /// If something that a softswitch cannot do without is missing or makes no sense.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let json = parse_json(text).map_err(ConfigError::NotJson)?;
        let top = JsonNode { path: String::new(), value: &json };
        let settings = top.get("settings")?;
        let known = top.get("known")?;
        let zones: Vec<String> = settings.get("zones")?.texts()?;
        let classes = settings.get("classes")?.items()?;
        Ok(Self {
            name: top.text("name")?,
            listen: top.text("listen")?.parse()?,
            operator: match top.get("operator") {
                Ok(_) => Some(top.text("operator")?.parse()?),
                Err(_) => None,
            },
            seed: u64::from_str_radix(&top.text("seed")?, 16)?,
            max_sockets: top.get("limits")?.number("sockets")? as usize,
            resolver: top.text("names")?.parse()?,
            list_serial: known.number("n")? as u32,
            exchanges: read_known(&known, &zones)?,
            classes: classes
                .iter()
                .map(|c| Ok((c.text("name")?, duration_from_ms(c.number("hardLimitMs")?))))
                .collect::<Result<_, ConfigError>>()?,
            report_field_names: settings.get("report")?.get("fields")?.texts()?,
            connect_timeout: duration_from_ms(settings.get("policyLimits")?.number("connectTimeoutMs")?),
            zones,
            settings: read_settings(&settings)?,
        })
    }
}

/// Deepest nesting of any message or configuration. The parser recurses, and a line of brackets from a
/// hostile peer would otherwise run a small stack over, which ends the whole process.
const DEEPEST: usize = 24;

/// Parses JSON that may come from anyone.
///
/// # Errors
/// If it is malformed or nested too deep.
pub fn parse_json(text: &str) -> Result<JsonValue, String> {
    parse_json_to_depth(DEEPEST, text)
}

/// The same with another bound, for files that are read on a large stack.
pub(crate) fn parse_json_to_depth(deepest: usize, text: &str) -> Result<JsonValue, String> {
    let (mut depth, mut in_string, mut escaped) = (0_usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                depth += 1;
                if depth > deepest {
                    return Err("nested too deep".to_owned());
                }
            }
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    text.parse::<JsonValue>().map_err(|error| error.to_string())
}

/// A value and the path that leads to it, for errors that say where.
pub(crate) struct JsonNode<'a> {
    pub(crate) path: String,
    pub(crate) value: &'a JsonValue,
}

impl<'a> JsonNode<'a> {
    fn wrong(&self, key: &str) -> ConfigError {
        ConfigError::Key(self.join(key))
    }

    fn join(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    pub(crate) fn get(&self, key: &str) -> Result<JsonNode<'a>, ConfigError> {
        let object = self.value.get::<HashMap<String, JsonValue>>().ok_or_else(|| self.wrong(key))?;
        let value = object.get(key).ok_or_else(|| self.wrong(key))?;
        Ok(JsonNode { path: self.join(key), value })
    }

    pub(crate) fn text(&self, key: &str) -> Result<String, ConfigError> {
        self.get(key)?.value.get::<String>().cloned().ok_or_else(|| self.wrong(key))
    }

    pub(crate) fn number(&self, key: &str) -> Result<f64, ConfigError> {
        let number = self.get(key)?.value.get::<f64>().copied();
        number.filter(|n| n.is_finite()).ok_or_else(|| self.wrong(key))
    }

    /// A number that is at least 0.
    fn size(&self, key: &str) -> Result<f64, ConfigError> {
        let number = self.number(key)?;
        if number >= 0.0 { Ok(number) } else { Err(self.wrong(key)) }
    }

    pub(crate) fn flag(&self, key: &str) -> Result<bool, ConfigError> {
        self.get(key)?.value.get::<bool>().copied().ok_or_else(|| self.wrong(key))
    }

    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, ConfigError> {
        let value = self.text(key)?;
        let found = choices.iter().find(|(word, _)| *word == value);
        found
            .map(|(_, choice)| *choice)
            .ok_or_else(|| ConfigError::UnknownValue { key: self.join(key), value })
    }

    pub(crate) fn items(&self) -> Result<Vec<JsonNode<'a>>, ConfigError> {
        let items = self.value.get::<Vec<JsonValue>>().ok_or_else(|| ConfigError::Key(self.path.clone()))?;
        Ok(items
            .iter()
            .enumerate()
            .map(|(i, value)| JsonNode { path: format!("{}.{i}", self.path), value })
            .collect())
    }

    fn texts(&self) -> Result<Vec<String>, ConfigError> {
        let text = |n: JsonNode<'_>| {
            n.value.get::<String>().cloned().ok_or_else(|| ConfigError::Key(n.path.clone()))
        };
        self.items()?.into_iter().map(text).collect()
    }

    fn numbers(&self) -> Result<Vec<f64>, ConfigError> {
        let number =
            |n: JsonNode<'_>| n.value.get::<f64>().copied().ok_or_else(|| ConfigError::Key(n.path.clone()));
        self.items()?.into_iter().map(number).collect()
    }
}

fn read_settings(s: &JsonNode<'_>) -> Result<Settings, ConfigError> {
    let (limits, rules, facts) = (s.get("policyLimits")?, s.get("invariants")?, s.get("specifics")?);
    let pools = facts.choice("shape", &[("meshed", false), ("groups", true)])?;
    let home = facts.number("homeOffice")?;
    let max_retry_after_ms = limits.size("maxRetryAfterMs")?;
    Ok(Settings {
        agent_count: (s.size("balancers")? as u32).max(1),
        self_index: s.size("selfIndex")? as u32,
        home: (!pools && home >= 0.0).then_some(home as u32),
        classes: read_classes(s, &facts, pools)?,
        tenants: s
            .get("tenants")?
            .items()?
            .iter()
            .map(|t| Ok(Tenant { quota_per_s: t.size("quotaRps")? }))
            .collect::<Result<_, ConfigError>>()?,
        over_quota_worth_factor: s.size("overShareWorth")?,
        must_fetch_list: s.choice("discovery", &[("push", false), ("ask", true)])?,
        list_fetch_interval_ms: rules.size("askEveryMs")?,
        report_fields: s
            .get("report")?
            .get("fields")?
            .texts()?
            .iter()
            .map(|name| report_field(name))
            .collect(),
        load_report_mode: facts.choice(
            "farState",
            &[
                ("inline", LoadReportMode::Inline),
                ("on_probe", LoadReportMode::OnProbe),
                ("off", LoadReportMode::Off),
            ],
        )?,
        attempt_limit: limits.size("tryLimit")? as u32,
        may_cancel: limits.flag("cancelling")?,
        may_probe: limits.flag("probes")?,
        may_message_peers: limits.flag("mayTell")?,
        max_retry_after_ms: if limits.flag("retryAfter")? { max_retry_after_ms } else { 0.0 },
        drain_grace_ms: rules.size("stopSendingWithinMs")?,
        release_pause_ms: facts.size("releaseMs")?,
        cold_initial_capacity: rules.size("coldFrom")?,
        cold_period_ms: rules.size("coldMs")?,
        overload_factor: rules.size("fallMultiple")?,
        overload_duration_ms: rules.size("tipAfterMs")?,
        retransmit_ms: facts.size("resendMs")?,
        tick_ms: s.size("tickMs")?,
    })
}

fn read_classes(s: &JsonNode<'_>, facts: &JsonNode<'_>, pools: bool) -> Result<Vec<Class>, ConfigError> {
    let widths = facts.get("channelsNeeded")?.numbers()?;
    let holds = facts.get("classHoldMs")?.numbers()?;
    let cells = facts.get("classCells")?.items()?;
    let of = |values: &[f64], i: usize, key: &str| {
        values.get(i).copied().filter(|v| *v > 0.0).ok_or_else(|| facts.wrong(key))
    };
    let classes = s.get("classes")?.items()?;
    classes
        .iter()
        .enumerate()
        .map(|(i, class)| {
            Ok(Class {
                target_setup_ms: class.size("aimMs")?,
                worth: class.size("worth")?,
                late_worth_factor: class.size("lateShare")?,
                width: of(&widths, i, "channelsNeeded")?,
                mean_hold_ms: of(&holds, i, "classHoldMs")?,
                idempotent: class
                    .choice("semantics", &[("pure", true), ("token", false), ("side_effect", false)])?,
                pools: match cells.get(i) {
                    Some(cells) if pools => cells.numbers()?.into_iter().map(|n| n as u32).collect(),
                    _ => Vec::new(),
                },
            })
        })
        .collect()
}

/// The value of a load report that goes by this name.
pub(crate) fn report_field(name: &str) -> ReportField {
    match name {
        "spare" => ReportField::FreeCircuits,
        "total" => ReportField::TotalCircuits,
        "svc_ms" => ReportField::WaitMs,
        "allowed" => ReportField::AllowedRate,
        "busy_reqs" => ReportField::ActiveMessages,
        "pending" => ReportField::QueuedMessages,
        "cpu_share" => ReportField::Utilization,
        "cut_by" => ReportField::RequestedReduction,
        _ => ReportField::Unknown,
    }
}

/// Place of a zone among the known ones; a new name counts as one more.
pub fn zone_index(zones: &[String], name: &str) -> u16 {
    zones.iter().position(|zone| zone == name).unwrap_or(zones.len()) as u16
}

/// Plays the events of the start in order: the first holds the whole list, later ones what has changed.
fn read_known(known: &JsonNode<'_>, zones: &[String]) -> Result<Vec<ListEntry>, ConfigError> {
    let mut entries: Vec<ListEntry> = Vec::new();
    for event in known.get("events")?.items()? {
        let members = event.get("members")?;
        if members.flag("complete")? {
            entries.clear();
        }
        for member in members.get("members")?.items()? {
            let entry = read_member(&member, zones)?;
            entries.retain(|e| e.name != entry.name);
            if entry.readiness != Readiness::Removed {
                entries.push(entry);
            }
        }
    }
    Ok(entries)
}

fn read_member(member: &JsonNode<'_>, zones: &[String]) -> Result<ListEntry, ConfigError> {
    let states = [
        ("in_service", Readiness::Ready),
        ("terminating", Readiness::Draining),
        ("terminated", Readiness::Removed),
    ];
    let born = member.size("up_since_ms")?;
    Ok(ListEntry {
        name: member.text("id")?.into(),
        address: member.text("host_port")?.parse()?,
        number: member.size("cell")? as u32,
        zone: zone_index(zones, &member.text("locality")?),
        started_at: (born > 0.0).then(|| std::time::UNIX_EPOCH + duration_from_ms(born)),
        readiness: member.choice("phase", &states)?,
    })
}
