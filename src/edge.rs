//! Settings of the optional subsystems, which are not part of the platform's configuration: one JSON file,
//! `deploy/edge.json`, with a key for each subsystem. Without the file or the key, the subsystem is off.

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use swiftlb_record::RecorderSettings;
use thiserror::Error;
use tinyjson::JsonValue;

use crate::config::parse_json;

/// Why the settings file is rejected, with the place of the error.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EdgeError {
    /// The file is not JSON.
    #[error("{file}: not valid JSON: {what}")]
    NotJson {
        /// The file.
        file: String,
        /// The error of the JSON parser.
        what: String,
    },
    /// A key is unknown, missing or duplicate, or its value is invalid.
    #[error("{file}:{line}: {key}: expected {expected}")]
    Key {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The key, with the path to it.
        key: String,
        /// What was expected.
        expected: String,
    },
    /// The file cannot be read.
    #[error("{file}: cannot read the file: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        error: String,
    },
}

/// Settings of the optional subsystems.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EdgeSettings {
    /// Recording of calls and decisions, if enabled.
    pub records: Option<RecorderSettings>,
    /// Whether the operators' server has the endpoint `/edge/fleet`, which gives consoles the state of the fleet.
    pub fleet_endpoint: bool,
    /// Simulated error of the clock of the records, for rehearsals.
    pub clock_skew: ClockSkew,
}

/// Simulated error of the clock of the records: a rehearsal shows how a wrong clock affects a report. Nothing but the
/// recording uses this clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockSkew {
    /// Offset at the start, in ms; negative if the clock is behind.
    pub ahead_ms: i64,
    /// Drift, in microseconds per second.
    pub drift_ppm: i64,
}

impl ClockSkew {
    /// Returns a clock whose drift begins at this time.
    pub fn start_clock(self, start: SystemTime) -> SkewedClock {
        let start_us = start.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        SkewedClock { start_us, skew: self }
    }
}

/// A clock with the error given by a [`ClockSkew`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SkewedClock {
    start_us: u64,
    skew: ClockSkew,
}

impl SkewedClock {
    /// Time that the clock shows at this true time, both in Unix microseconds.
    pub fn skewed_us(&self, at_us: u64) -> u64 {
        let ClockSkew { ahead_ms, drift_ppm } = self.skew;
        let elapsed_us = at_us.saturating_sub(self.start_us).min(1 << 50) as i64;
        at_us.saturating_add_signed(ahead_ms * 1_000 + elapsed_us / 1_000 * drift_ppm / 1_000)
    }
}

impl EdgeSettings {
    /// Reads the settings file. A missing file means that all subsystems are off, unless it is `required`.
    ///
    /// # Errors
    /// If the file cannot be read or is invalid; the error says where, and what is expected.
    pub fn load(file: &str, required: bool) -> Result<Self, EdgeError> {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(file, &text),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound && !required => Ok(Self::default()),
            Err(error) => Err(EdgeError::Unreadable { file: file.to_owned(), error: error.to_string() }),
        }
    }

    /// Parses the text of the settings file; `file` is its name in errors.
    ///
    /// # Errors
    /// If the text is invalid.
    pub fn parse(file: &str, text: &str) -> Result<Self, EdgeError> {
        let json = parse_json(text);
        let json = json.map_err(|what| EdgeError::NotJson { file: file.to_owned(), what })?;
        let key_lines = KeyLines::scan(text);
        if let Some((key, line)) = key_lines.duplicate {
            let expected = "each key once".to_owned();
            return Err(EdgeError::Key { file: file.to_owned(), line, key, expected });
        }
        let top = Section { file, key_lines: &key_lines.lines, path: String::new(), value: &json };
        top.check_keys(&["records", "fleet", "rehearsal"])?;
        let mut edge = Self::default();
        if let Some(records) = top.section("records")? {
            edge.records = parse_records(&records)?;
        }
        if let Some(fleet) = top.section("fleet")? {
            fleet.check_keys(&["enabled"])?;
            edge.fleet_endpoint = fleet.flag("enabled")?;
        }
        if let Some(rehearsal) = top.section("rehearsal")? {
            rehearsal.check_keys(&["clock_ahead_ms", "clock_drift_ppm"])?;
            edge.clock_skew = ClockSkew {
                ahead_ms: rehearsal.signed_integer("clock_ahead_ms", -60_000..=60_000)?,
                drift_ppm: rehearsal.signed_integer("clock_drift_ppm", -1_000..=1_000)?,
            };
        }
        Ok(edge)
    }
}

fn parse_records(section: &Section<'_>) -> Result<Option<RecorderSettings>, EdgeError> {
    section.check_keys(&["enabled", "directory", "file_mb", "file_minutes", "budget_mb", "queue"])?;
    let defaults = RecorderSettings::default();
    let enabled = section.flag("enabled")?;
    let file_mb = section.integer("file_mb", 1..=1_024, defaults.max_file_bytes >> 20)?;
    let minutes = section.integer("file_minutes", 1..=1_440, defaults.max_file_age.as_secs() / 60)?;
    // The smallest budget holds two files: the one being written and the one before.
    let min_budget_mb = 2 * file_mb;
    let budget_mb = section.integer(
        "budget_mb",
        min_budget_mb..=1 << 20,
        (defaults.budget_bytes >> 20).max(min_budget_mb),
    )?;
    let queue = section.integer("queue", 64..=1 << 20, defaults.max_queued_records as u64)?;
    let settings = RecorderSettings {
        directory: section.text("directory")?.map_or(defaults.directory, PathBuf::from),
        max_file_bytes: file_mb << 20,
        max_file_age: Duration::from_secs(60 * minutes),
        budget_bytes: budget_mb << 20,
        max_queued_records: queue as usize,
    };
    Ok(enabled.then_some(settings))
}

/// A JSON object of the settings file and the path to it.
struct Section<'a> {
    file: &'a str,
    key_lines: &'a BTreeMap<String, usize>,
    path: String,
    value: &'a JsonValue,
}

impl<'a> Section<'a> {
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// An error about a key, with the line of the key, or the line of this object if the key is missing.
    fn key_error(&self, key: &str, expected: impl Into<String>) -> EdgeError {
        let key = self.path_of(key);
        let line = [&key, &self.path].into_iter().find_map(|key| self.key_lines.get(key));
        let line = line.copied().unwrap_or(1);
        EdgeError::Key { file: self.file.to_owned(), line, key, expected: expected.into() }
    }

    fn object(&self) -> Result<&'a HashMap<String, JsonValue>, EdgeError> {
        let line = self.key_lines.get(&self.path).copied().unwrap_or(1);
        let (file, key) = (self.file.to_owned(), self.path.clone());
        let key = if key.is_empty() { "the file".to_owned() } else { key };
        self.value.get().ok_or(EdgeError::Key { file, line, key, expected: "an object".to_owned() })
    }

    /// Rejects unknown keys, most of which are misspelled ones.
    fn check_keys(&self, keys: &[&str]) -> Result<(), EdgeError> {
        let mut unknown: Vec<&String> =
            self.object()?.keys().filter(|key| !keys.contains(&key.as_str())).collect();
        unknown.sort_by_key(|key| self.key_lines.get(&self.path_of(key)));
        match unknown.first() {
            Some(key) => Err(self.key_error(key, format!("one of {}", keys.join(", ")))),
            None => Ok(()),
        }
    }

    fn section(&self, key: &str) -> Result<Option<Section<'a>>, EdgeError> {
        let value = self.object()?.get(key);
        let section =
            |value| Section { file: self.file, key_lines: self.key_lines, path: self.path_of(key), value };
        Ok(value.map(section))
    }

    fn flag(&self, key: &str) -> Result<bool, EdgeError> {
        let value = self.object()?.get(key).and_then(|value| value.get::<bool>());
        value.copied().ok_or_else(|| self.key_error(key, "true or false"))
    }

    fn text(&self, key: &str) -> Result<Option<String>, EdgeError> {
        let Some(value) = self.object()?.get(key) else { return Ok(None) };
        let text = value.get::<String>().filter(|text| !text.is_empty());
        text.cloned().map(Some).ok_or_else(|| self.key_error(key, "a text that is not empty"))
    }

    /// An integer that may be negative; 0 if the key is missing.
    fn signed_integer(&self, key: &str, range: std::ops::RangeInclusive<i64>) -> Result<i64, EdgeError> {
        let Some(value) = self.object()?.get(key) else { return Ok(0) };
        let value = value.get::<f64>().filter(|n| n.fract() == 0.0 && n.abs() < 9e15).map(|n| *n as i64);
        let expected = || format!("a whole number from {} to {}", range.start(), range.end());
        value.filter(|n| range.contains(n)).ok_or_else(|| self.key_error(key, expected()))
    }

    fn integer(
        &self,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, EdgeError> {
        let Some(value) = self.object()?.get(key) else { return Ok(default) };
        let value = value.get::<f64>().filter(|n| n.fract() == 0.0 && **n >= 0.0 && **n < 9e15);
        let value = value.map(|n| *n as u64).filter(|n| range.contains(n));
        let expected = || format!("a whole number from {} to {}", range.start(), range.end());
        value.ok_or_else(|| self.key_error(key, expected()))
    }
}

/// Line of each key, by its path. The JSON parser does not report lines.
#[derive(Default)]
struct KeyLines {
    lines: BTreeMap<String, usize>,
    /// The first duplicate key and its line.
    duplicate: Option<(String, usize)>,
}

impl KeyLines {
    /// Scans text that is valid JSON.
    fn scan(text: &str) -> Self {
        let mut key_lines = Self::default();
        // For each open bracket: whether it belongs to an object, and the path of that value.
        let mut open: Vec<(bool, String)> = Vec::new();
        let (mut line, mut path) = (1, String::new());
        let mut chars = text.char_indices();
        let mut last = None;
        while let Some((at, c)) = chars.next() {
            match c {
                '\n' => line += 1,
                '{' | '[' => open.push((c == '{', path.clone())),
                '}' | ']' => path = open.pop().map_or(String::new(), |(_, path)| path),
                '"' => {
                    let mut escaped = false;
                    let end = chars.by_ref().find(|(_, c)| {
                        let is_end = *c == '"' && !escaped;
                        escaped = *c == '\\' && !escaped;
                        is_end
                    });
                    last = end.map(|(end, _)| (&text[at + 1..end], line));
                }
                // The string before a colon is a key.
                ':' => {
                    let (Some((key, line)), Some((true, parent))) = (last.take(), open.last()) else {
                        continue;
                    };
                    path = if parent.is_empty() { key.to_owned() } else { format!("{parent}.{key}") };
                    if key_lines.lines.insert(path.clone(), line).is_some() {
                        key_lines.duplicate.get_or_insert((path.clone(), line));
                    }
                }
                _ => {}
            }
        }
        key_lines
    }
}
