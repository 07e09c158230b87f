//! The platform's configuration: one JSON file, decoded into [`Config`] and the `Settings` of the decision module.

use std::collections::HashMap;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::time::Duration;

use thiserror::Error;
use tinyjson::JsonValue;

use crate::engine::{ListEntry, duration_from_ms};
use crate::interface::{Class, LoadReportMode, Readiness, ReportField, Settings, Tenant};

/// Why a configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read the configuration file: {0}")]
    Unreadable(#[from] std::io::Error),
    /// It is not JSON, or nested too deep.
    #[error("the configuration is not valid JSON: {0}")]
    NotJson(String),
    /// A key is missing, or its value has the wrong type or is out of range.
    #[error("key {0} is missing, or its value has the wrong type or is out of range")]
    Key(String),
    /// A text is not one of the values that its key accepts.
    #[error("key {key} does not accept the value '{value}'")]
    UnknownValue {
        /// The key, with the path to it.
        key: String,
        /// The value.
        value: String,
    },
    /// An address is invalid.
    #[error("expected an IP address and a port: {0}")]
    Address(#[from] AddrParseError),
    /// The seed is invalid.
    #[error("the seed is not a hexadecimal number of 64 bits: {0}")]
    Hex(#[from] ParseIntError),
}

/// The configuration of a softswitch.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of the softswitch.
    pub name: String,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address that operators connect to, if any.
    pub operator: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors.
    pub max_sockets: usize,
    /// Memory beyond which the platform kills the process, in bytes.
    pub memory_limit_bytes: usize,
    /// Address of the resolver.
    pub resolver: SocketAddr,
    /// Serial of the initial list of exchanges.
    pub list_serial: u32,
    /// The initial list of exchanges.
    pub exchanges: Vec<ListEntry>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, in the order of `settings.classes`, and the longest time that a caller of each waits.
    pub classes: Vec<(String, Duration)>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the values of a load report, in the order of `settings.report_fields`.
    pub report_field_names: Vec<String>,
    /// Time for establishing a connection to an exchange.
    pub connect_timeout: Duration,
}

impl Config {
    /// Reads the configuration file at this path.
    ///
    /// # Errors
    /// If the file cannot be read or is invalid; the error says why.
    pub fn load(path: &str) -> Result<Self, ConfigError> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses a configuration.
    ///
    /// # Errors
    /// If a required key is missing or a value is invalid.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let json = parse_json(text).map_err(ConfigError::NotJson)?;
        let top = JsonNode { path: String::new(), value: &json };
        let settings = top.get("settings")?;
        let known = top.get("known")?;
        let zones: Vec<String> = settings.get("zones")?.strings()?;
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
            memory_limit_bytes: memory_limit_bytes(&top.get("limits")?),
            resolver: top.text("names")?.parse()?,
            list_serial: known.number("n")? as u32,
            exchanges: parse_exchanges(&known, &zones)?,
            classes: classes
                .iter()
                .map(|c| Ok((c.text("name")?, duration_from_ms(c.number("hardLimitMs")?))))
                .collect::<Result<_, ConfigError>>()?,
            report_field_names: settings.get("report")?.get("fields")?.strings()?,
            connect_timeout: duration_from_ms(settings.get("policyLimits")?.number("connectTimeoutMs")?),
            zones,
            settings: parse_settings(&settings)?,
        })
    }
}

/// The memory limit of a configuration that has none.
const DEFAULT_MEMORY_MB: f64 = 32.0;

fn memory_limit_bytes(limits: &JsonNode<'_>) -> usize {
    let memory_mb = limits.number("memory_mb").unwrap_or(DEFAULT_MEMORY_MB);
    (memory_mb * 1_048_576.0) as usize
}

/// Maximum nesting of messages and configurations. The parser recurses, so a line of brackets from a hostile sender
/// would otherwise overflow the small stack of a thread and abort the process.
const MAX_DEPTH: usize = 24;

/// Parses JSON from an untrusted source.
///
/// # Errors
/// If it is malformed or nested too deep.
pub fn parse_json(text: &str) -> Result<JsonValue, String> {
    parse_json_to_depth(MAX_DEPTH, text)
}

/// Parses JSON from an untrusted source that has at most this many values in objects and arrays. Each value takes many times
/// the time and memory of its text.
///
/// # Errors
/// If it is malformed, nested too deep, or has too many values.
pub fn parse_json_with_values(max_values: usize, text: &str) -> Result<JsonValue, String> {
    check_json_size(MAX_DEPTH, max_values, text)?;
    text.parse::<JsonValue>().map_err(|error| error.to_string())
}

/// Like [`parse_json`], with another maximum nesting, for files that are parsed on a large stack.
pub(crate) fn parse_json_to_depth(max_depth: usize, text: &str) -> Result<JsonValue, String> {
    check_json_size(max_depth, usize::MAX, text)?;
    text.parse::<JsonValue>().map_err(|error| error.to_string())
}

/// Checks the nesting and the number of values of JSON before it is parsed.
fn check_json_size(max_depth: usize, max_values: usize, text: &str) -> Result<(), String> {
    let (mut depth, mut separators, mut in_string, mut escaped) = (0_usize, 0_usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                depth += 1;
                if depth > max_depth {
                    return Err("nested too deep".to_owned());
                }
            }
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            b',' if !in_string => {
                separators += 1;
                if separators >= max_values {
                    return Err("too many values".to_owned());
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// A JSON value and the path to it, which errors report.
pub(crate) struct JsonNode<'a> {
    pub(crate) path: String,
    pub(crate) value: &'a JsonValue,
}

impl<'a> JsonNode<'a> {
    fn key_error(&self, key: &str) -> ConfigError {
        ConfigError::Key(self.path_of(key))
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    pub(crate) fn get(&self, key: &str) -> Result<JsonNode<'a>, ConfigError> {
        let object = self.value.get::<HashMap<String, JsonValue>>().ok_or_else(|| self.key_error(key))?;
        let value = object.get(key).ok_or_else(|| self.key_error(key))?;
        Ok(JsonNode { path: self.path_of(key), value })
    }

    pub(crate) fn text(&self, key: &str) -> Result<String, ConfigError> {
        self.get(key)?.value.get::<String>().cloned().ok_or_else(|| self.key_error(key))
    }

    pub(crate) fn number(&self, key: &str) -> Result<f64, ConfigError> {
        let number = self.get(key)?.value.get::<f64>().copied();
        number.filter(|n| n.is_finite()).ok_or_else(|| self.key_error(key))
    }

    /// A non-negative number.
    fn non_negative(&self, key: &str) -> Result<f64, ConfigError> {
        let number = self.number(key)?;
        if number >= 0.0 { Ok(number) } else { Err(self.key_error(key)) }
    }

    pub(crate) fn flag(&self, key: &str) -> Result<bool, ConfigError> {
        self.get(key)?.value.get::<bool>().copied().ok_or_else(|| self.key_error(key))
    }

    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, ConfigError> {
        let value = self.text(key)?;
        let found = choices.iter().find(|(name, _)| *name == value);
        found
            .map(|(_, choice)| *choice)
            .ok_or_else(|| ConfigError::UnknownValue { key: self.path_of(key), value })
    }

    pub(crate) fn items(&self) -> Result<Vec<JsonNode<'a>>, ConfigError> {
        let items = self.value.get::<Vec<JsonValue>>().ok_or_else(|| ConfigError::Key(self.path.clone()))?;
        Ok(items
            .iter()
            .enumerate()
            .map(|(i, value)| JsonNode { path: format!("{}.{i}", self.path), value })
            .collect())
    }

    fn strings(&self) -> Result<Vec<String>, ConfigError> {
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

fn parse_settings(settings: &JsonNode<'_>) -> Result<Settings, ConfigError> {
    let (limits, invariants, specifics) =
        (settings.get("policyLimits")?, settings.get("invariants")?, settings.get("specifics")?);
    let has_pools = specifics.choice("shape", &[("meshed", false), ("groups", true)])?;
    let home = specifics.number("homeOffice")?;
    let max_retry_after_ms = limits.non_negative("maxRetryAfterMs")?;
    Ok(Settings {
        softswitch_count: (settings.non_negative("balancers")? as u32).max(1),
        self_index: settings.non_negative("selfIndex")? as u32,
        home: (!has_pools && home >= 0.0).then_some(home as u32),
        classes: parse_classes(settings, &specifics, has_pools)?,
        tenants: settings
            .get("tenants")?
            .items()?
            .iter()
            .map(|t| Ok(Tenant { quota_per_s: t.non_negative("quotaRps")? }))
            .collect::<Result<_, ConfigError>>()?,
        over_quota_worth_factor: settings.non_negative("overShareWorth")?,
        must_fetch_list: settings.choice("discovery", &[("push", false), ("ask", true)])?,
        list_fetch_interval_ms: invariants.non_negative("askEveryMs")?,
        report_fields: settings
            .get("report")?
            .get("fields")?
            .strings()?
            .iter()
            .map(|name| report_field(name))
            .collect(),
        load_report_mode: specifics.choice(
            "farState",
            &[
                ("inline", LoadReportMode::Inline),
                ("on_probe", LoadReportMode::OnProbe),
                ("off", LoadReportMode::Off),
            ],
        )?,
        attempt_limit: limits.non_negative("tryLimit")? as u32,
        may_cancel: limits.flag("cancelling")?,
        may_probe: limits.flag("probes")?,
        may_message_peers: limits.flag("mayTell")?,
        max_retry_after_ms: if limits.flag("retryAfter")? { max_retry_after_ms } else { 0.0 },
        drain_grace_ms: invariants.non_negative("stopSendingWithinMs")?,
        release_pause_ms: specifics.non_negative("releaseMs")?,
        cold_initial_capacity: invariants.non_negative("coldFrom")?,
        cold_period_ms: invariants.non_negative("coldMs")?,
        overload_factor: invariants.non_negative("fallMultiple")?,
        overload_duration_ms: invariants.non_negative("tipAfterMs")?,
        retransmit_ms: specifics.non_negative("resendMs")?,
        tick_ms: settings.non_negative("tickMs")?,
    })
}

fn parse_classes(
    settings: &JsonNode<'_>,
    specifics: &JsonNode<'_>,
    has_pools: bool,
) -> Result<Vec<Class>, ConfigError> {
    let widths = specifics.get("channelsNeeded")?.numbers()?;
    let hold_times_ms = specifics.get("classHoldMs")?.numbers()?;
    let class_pools = specifics.get("classCells")?.items()?;
    let positive = |values: &[f64], i: usize, key: &str| {
        values.get(i).copied().filter(|v| *v > 0.0).ok_or_else(|| specifics.key_error(key))
    };
    let classes = settings.get("classes")?.items()?;
    classes
        .iter()
        .enumerate()
        .map(|(i, class)| {
            Ok(Class {
                target_setup_ms: class.non_negative("aimMs")?,
                worth: class.non_negative("worth")?,
                late_worth_factor: class.non_negative("lateShare")?,
                width: positive(&widths, i, "channelsNeeded")?,
                mean_hold_ms: positive(&hold_times_ms, i, "classHoldMs")?,
                idempotent: class
                    .choice("semantics", &[("pure", true), ("token", false), ("side_effect", false)])?,
                pools: match class_pools.get(i) {
                    Some(numbers) if has_pools => numbers.numbers()?.into_iter().map(|n| n as u32).collect(),
                    _ => Vec::new(),
                },
            })
        })
        .collect()
}

/// Meaning of the value of a load report with this name.
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

/// Index of a zone in the list of zones; an unknown name gets the index after the last.
pub fn zone_index(zones: &[String], name: &str) -> u16 {
    zones.iter().position(|zone| zone == name).unwrap_or(zones.len()) as u16
}

/// Applies the list events of the configuration in order: the first one contains the complete list, later ones the
/// changes.
fn parse_exchanges(known: &JsonNode<'_>, zones: &[String]) -> Result<Vec<ListEntry>, ConfigError> {
    let mut entries: Vec<ListEntry> = Vec::new();
    for event in known.get("events")?.items()? {
        let members = event.get("members")?;
        if members.flag("complete")? {
            entries.clear();
        }
        for member in members.get("members")?.items()? {
            let entry = parse_list_entry(&member, zones)?;
            entries.retain(|e| e.name != entry.name);
            if entry.readiness != Readiness::Removed {
                entries.push(entry);
            }
        }
    }
    Ok(entries)
}

fn parse_list_entry(member: &JsonNode<'_>, zones: &[String]) -> Result<ListEntry, ConfigError> {
    let phases = [
        ("in_service", Readiness::Ready),
        ("terminating", Readiness::Draining),
        ("terminated", Readiness::Removed),
    ];
    let up_since_ms = member.non_negative("up_since_ms")?;
    Ok(ListEntry {
        name: member.text("id")?.into(),
        address: member.text("host_port")?.parse()?,
        number: member.non_negative("cell")? as u32,
        zone: zone_index(zones, &member.text("locality")?),
        started_at: (up_since_ms > 0.0).then(|| std::time::UNIX_EPOCH + duration_from_ms(up_since_ms)),
        readiness: member.choice("phase", &phases)?,
    })
}
