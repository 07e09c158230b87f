//! The settings of everything beyond the platform's own configuration: one JSON file, `deploy/edge.json`, with a key
//! for each subsystem. Where the file or a key is missing, that subsystem is off.

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use swiftlb_record::RecorderSettings;
use thiserror::Error;
use tinyjson::JsonValue;

use crate::config::parse_json;

/// What is wrong with the file, and where.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EdgeError {
    /// It is not JSON.
    #[error("{file}: not JSON: {what}")]
    NotJson {
        /// The file.
        file: String,
        /// The parser's word.
        what: String,
    },
    /// A key is unknown, missing, there twice, or has a value that makes no sense.
    #[error("{file}:{line}: {key}: expected {expected}")]
    Key {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The key, with those that lead to it.
        key: String,
        /// What was expected.
        expected: String,
    },
    /// It cannot be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// The system's word.
        error: String,
    },
}

/// What is switched on beyond the platform's own configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EdgeSettings {
    /// Records of calls and decisions.
    pub records: Option<RecorderSettings>,
    /// What this softswitch knows of the fleet is told to consoles, at `/edge/fleet` of the operators' door.
    pub fleet_endpoint: bool,
    /// For rehearsals: a clock that is off.
    pub clock_skew: ClockSkew,
}

/// A clock for records that is off, so that it can be rehearsed what one does to a report. Nothing else reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockSkew {
    /// Ahead of the time at the start by so many ms; behind it if negative.
    pub ahead_ms: i64,
    /// Gains so many microseconds a second.
    pub drift_ppm: i64,
}

impl ClockSkew {
    /// The clock, if it is set at this moment.
    pub fn start_clock(self, start: SystemTime) -> SkewedClock {
        let start_us = start.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        SkewedClock { start_us, skew: self }
    }
}

/// See [`ClockSkew`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SkewedClock {
    start_us: u64,
    skew: ClockSkew,
}

impl SkewedClock {
    /// What it shows at this time, both in Unix microseconds.
    pub fn skewed_us(&self, at_us: u64) -> u64 {
        let ClockSkew { ahead_ms, drift_ppm } = self.skew;
        let gone_us = at_us.saturating_sub(self.start_us).min(1 << 50) as i64;
        at_us.saturating_add_signed(ahead_ms * 1_000 + gone_us / 1_000 * drift_ppm / 1_000)
    }
}

impl EdgeSettings {
    /// Reads the file. One that is not there means that all is off, unless it was asked for by name.
    ///
    /// # Errors
    /// If it makes no sense; the error says where and what is expected.
    pub fn load(file: &str, named: bool) -> Result<Self, EdgeError> {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(file, &text),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound && !named => Ok(Self::default()),
            Err(error) => Err(EdgeError::Unreadable { file: file.to_owned(), error: error.to_string() }),
        }
    }

    /// Decodes the text of this file.
    ///
    /// # Errors
    /// If it makes no sense.
    pub fn parse(file: &str, text: &str) -> Result<Self, EdgeError> {
        let json = parse_json(text);
        let json = json.map_err(|what| EdgeError::NotJson { file: file.to_owned(), what })?;
        let places = Places::of(text);
        if let Some((key, line)) = places.twice {
            let expected = "each key once".to_owned();
            return Err(EdgeError::Key { file: file.to_owned(), line, key, expected });
        }
        let top = Section { file, places: &places.lines, path: String::new(), value: &json };
        top.knows(&["records", "fleet", "rehearsal"])?;
        let mut edge = Self::default();
        if let Some(records) = top.section("records")? {
            edge.records = read_records(&records)?;
        }
        if let Some(fleet) = top.section("fleet")? {
            fleet.knows(&["enabled"])?;
            edge.fleet_endpoint = fleet.flag("enabled")?;
        }
        if let Some(rehearsal) = top.section("rehearsal")? {
            rehearsal.knows(&["clock_ahead_ms", "clock_drift_ppm"])?;
            edge.clock_skew = ClockSkew {
                ahead_ms: rehearsal.signed("clock_ahead_ms", -60_000..=60_000)?,
                drift_ppm: rehearsal.signed("clock_drift_ppm", -1_000..=1_000)?,
            };
        }
        Ok(edge)
    }
}

fn read_records(section: &Section<'_>) -> Result<Option<RecorderSettings>, EdgeError> {
    section.knows(&["enabled", "directory", "file_mb", "file_minutes", "budget_mb", "queue"])?;
    let usual = RecorderSettings::default();
    let enabled = section.flag("enabled")?;
    let file_mb = section.whole("file_mb", 1..=1_024, usual.max_file_bytes >> 20)?;
    let minutes = section.whole("file_minutes", 1..=1_440, usual.max_file_age.as_secs() / 60)?;
    // Less than two files could never hold the one that is written and the one before.
    let least = 2 * file_mb;
    let budget_mb = section.whole("budget_mb", least..=1 << 20, (usual.budget_bytes >> 20).max(least))?;
    let queue = section.whole("queue", 64..=1 << 20, usual.max_queued_records as u64)?;
    let settings = RecorderSettings {
        directory: section.text("directory")?.map_or(usual.directory, PathBuf::from),
        max_file_bytes: file_mb << 20,
        max_file_age: Duration::from_secs(60 * minutes),
        budget_bytes: budget_mb << 20,
        max_queued_records: queue as usize,
    };
    Ok(enabled.then_some(settings))
}

/// An object of the file and the keys that lead to it.
struct Section<'a> {
    file: &'a str,
    places: &'a BTreeMap<String, usize>,
    path: String,
    value: &'a JsonValue,
}

impl<'a> Section<'a> {
    fn join(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// An error about a key, or about this object itself where the key is not there.
    fn wrong(&self, key: &str, expected: impl Into<String>) -> EdgeError {
        let key = self.join(key);
        let line = [&key, &self.path].into_iter().find_map(|key| self.places.get(key));
        let line = line.copied().unwrap_or(1);
        EdgeError::Key { file: self.file.to_owned(), line, key, expected: expected.into() }
    }

    fn object(&self) -> Result<&'a HashMap<String, JsonValue>, EdgeError> {
        let line = self.places.get(&self.path).copied().unwrap_or(1);
        let (file, key) = (self.file.to_owned(), self.path.clone());
        let key = if key.is_empty() { "the file".to_owned() } else { key };
        self.value.get().ok_or(EdgeError::Key { file, line, key, expected: "an object".to_owned() })
    }

    /// Turns away keys that mean nothing: most are mistyped ones that mean something.
    fn knows(&self, keys: &[&str]) -> Result<(), EdgeError> {
        let mut unknown: Vec<&String> =
            self.object()?.keys().filter(|key| !keys.contains(&key.as_str())).collect();
        unknown.sort_by_key(|key| self.places.get(&self.join(key)));
        match unknown.first() {
            Some(key) => Err(self.wrong(key, format!("one of {}", keys.join(", ")))),
            None => Ok(()),
        }
    }

    fn section(&self, key: &str) -> Result<Option<Section<'a>>, EdgeError> {
        let value = self.object()?.get(key);
        let section = |value| Section { file: self.file, places: self.places, path: self.join(key), value };
        Ok(value.map(section))
    }

    fn flag(&self, key: &str) -> Result<bool, EdgeError> {
        let value = self.object()?.get(key).and_then(|value| value.get::<bool>());
        value.copied().ok_or_else(|| self.wrong(key, "true or false"))
    }

    fn text(&self, key: &str) -> Result<Option<String>, EdgeError> {
        let Some(value) = self.object()?.get(key) else { return Ok(None) };
        let text = value.get::<String>().filter(|text| !text.is_empty());
        text.cloned().map(Some).ok_or_else(|| self.wrong(key, "a text that is not empty"))
    }

    /// A whole number that may be negative; 0 where it is not there.
    fn signed(&self, key: &str, range: std::ops::RangeInclusive<i64>) -> Result<i64, EdgeError> {
        let Some(value) = self.object()?.get(key) else { return Ok(0) };
        let value = value.get::<f64>().filter(|n| n.fract() == 0.0 && n.abs() < 9e15).map(|n| *n as i64);
        let expected = || format!("a whole number from {} to {}", range.start(), range.end());
        value.filter(|n| range.contains(n)).ok_or_else(|| self.wrong(key, expected()))
    }

    fn whole(&self, key: &str, range: std::ops::RangeInclusive<u64>, usual: u64) -> Result<u64, EdgeError> {
        let Some(value) = self.object()?.get(key) else { return Ok(usual) };
        let value = value.get::<f64>().filter(|n| n.fract() == 0.0 && **n >= 0.0 && **n < 9e15);
        let value = value.map(|n| *n as u64).filter(|n| range.contains(n));
        let expected = || format!("a whole number from {} to {}", range.start(), range.end());
        value.ok_or_else(|| self.wrong(key, expected()))
    }
}

/// The lines on which keys stand, by the keys that lead to them. The parser tells no places.
#[derive(Default)]
struct Places {
    lines: BTreeMap<String, usize>,
    /// The first key that is in an object twice.
    twice: Option<(String, usize)>,
}

impl Places {
    /// Walks text that is known to be JSON.
    fn of(text: &str) -> Self {
        let mut places = Self::default();
        // Whether each bracket that is open is an object's, and the path of what it is the value of.
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
                // What stands before a colon is a key.
                ':' => {
                    let (Some((key, line)), Some((true, parent))) = (last.take(), open.last()) else {
                        continue;
                    };
                    path = if parent.is_empty() { key.to_owned() } else { format!("{parent}.{key}") };
                    if places.lines.insert(path.clone(), line).is_some() {
                        places.twice.get_or_insert((path.clone(), line));
                    }
                }
                _ => {}
            }
        }
        places
    }
}
