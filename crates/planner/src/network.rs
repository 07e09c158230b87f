//! The network to plan for, parsed from JSON and validated.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use thiserror::Error;
use tinyjson::JsonValue;

/// Worth and cost are integers in millionths of a unit; this is the number of millionths in one unit.
pub const MICRO: f64 = 1e6;
/// Highest number of circuits of a group, demand or limit. Larger values are rejected as mistakes; the bound also keeps
/// the sums of the objective far from overflow.
const MAX_CIRCUITS: f64 = 1e6;
/// Highest worth or cost of a circuit, in units.
const MAX_UNITS: f64 = 1e6;
const MAX_EXCHANGE_NUMBER: f64 = 65_535.0;

/// An exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Number of the exchange.
    pub number: u32,
    /// Index of its region in [`Network::regions`].
    pub region: usize,
}

/// A group of circuits between two exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// Numbers of the two exchanges, the lower one first.
    pub between: (u32, u32),
    /// Number of circuits.
    pub circuits: u32,
    /// Cost of each circuit in use, in millionths.
    pub cost: i64,
}

/// Circuits demanded from one exchange to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Number of the originating exchange.
    pub from: u32,
    /// Number of the destination exchange.
    pub to: u32,
    /// Circuits that all calls from the origin to the destination would occupy.
    pub circuits: u32,
    /// Worth of each circuit carried, in millionths.
    pub worth: i64,
    /// Minimum number of circuits that a plan must carry.
    pub min_circuits: u32,
}

/// A complete, consistent network.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Network {
    /// Names of the regions.
    pub regions: Vec<String>,
    /// The exchanges, in order of their numbers.
    pub exchanges: Vec<Exchange>,
    /// The groups, by the numbers of their two exchanges.
    pub groups: BTreeMap<(u32, u32), Group>,
    /// The demands, by origin and destination.
    pub demands: BTreeMap<(u32, u32), Demand>,
    /// Maximum number of circuits over the tandems of a region, by index of the region.
    pub transit_limits: BTreeMap<usize, u32>,
    /// Cost of each circuit over a tandem, in addition to that of its two legs, in millionths.
    pub tandem_cost: i64,
}

/// Why a network file is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum NetworkError {
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    InvalidJson(String),
    /// An entry is unknown, missing or invalid.
    #[error("{entry}: expected {expected}")]
    InvalidEntry {
        /// Path of the entry.
        entry: String,
        /// What was expected.
        expected: String,
    },
}

fn invalid_entry(entry: impl Into<String>, expected: impl Into<String>) -> NetworkError {
    NetworkError::InvalidEntry { entry: entry.into(), expected: expected.into() }
}

/// A JSON object and its path.
struct Entry<'a> {
    path: String,
    object: &'a HashMap<String, JsonValue>,
}

impl<'a> Entry<'a> {
    /// The object, if the value is one and has no other keys than these.
    fn new(value: &'a JsonValue, path: &str, keys: &[&str]) -> Result<Self, NetworkError> {
        let name = if path.is_empty() { "the network" } else { path };
        let object =
            value.get::<HashMap<String, JsonValue>>().ok_or_else(|| invalid_entry(name, "an object"))?;
        let entry = Self { path: path.to_owned(), object };
        let mut unknown: Vec<&String> = object.keys().filter(|key| !keys.contains(&key.as_str())).collect();
        unknown.sort();
        match unknown.first() {
            Some(key) => Err(invalid_entry(entry.path_of(key), format!("one of {}", keys.join(", ")))),
            None => Ok(entry),
        }
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// The elements of a list; none if the key is missing.
    fn list(&self, key: &str) -> Result<&'a [JsonValue], NetworkError> {
        match self.object.get(key) {
            None => Ok(&[]),
            Some(value) => {
                let list = value
                    .get::<Vec<JsonValue>>()
                    .ok_or_else(|| invalid_entry(self.path_of(key), "a list"))?;
                Ok(list)
            }
        }
    }

    fn text(&self, key: &str) -> Result<&'a str, NetworkError> {
        let text = self.object.get(key).and_then(|value| value.get::<String>());
        text.map(String::as_str).ok_or_else(|| invalid_entry(self.path_of(key), "a text"))
    }

    /// A whole number from 0 to `max`; the default, if there is one, if the key is missing.
    fn whole(&self, key: &str, max: f64, default: Option<u32>) -> Result<u32, NetworkError> {
        match self.object.get(key) {
            None if default.is_some() => Ok(default.unwrap_or_default()),
            value => parse_whole(value, &self.path_of(key), max),
        }
    }

    /// A number of units from 0 to [`MAX_UNITS`], in millionths; the default, if there is one, if the key is missing.
    fn micro(&self, key: &str, default: Option<f64>) -> Result<i64, NetworkError> {
        let value = match self.object.get(key) {
            None => default,
            Some(value) => value.get::<f64>().copied(),
        };
        let value = value.filter(|n| (0.0..=MAX_UNITS).contains(n));
        let value = value
            .ok_or_else(|| invalid_entry(self.path_of(key), format!("a number from 0 to {MAX_UNITS}")))?;
        Ok((value * MICRO).round() as i64)
    }
}

fn parse_whole(value: Option<&JsonValue>, path: &str, max: f64) -> Result<u32, NetworkError> {
    let value =
        value.and_then(|value| value.get::<f64>()).filter(|n| n.fract() == 0.0 && (0.0..=max).contains(*n));
    value.map(|n| *n as u32).ok_or_else(|| invalid_entry(path, format!("a whole number from 0 to {max}")))
}

impl Network {
    /// Parses a network.
    ///
    /// # Errors
    /// If the text is not JSON, or an entry is unknown, missing, duplicate, negative, not finite, too large, or refers
    /// to an unknown exchange or region. The error names the entry.
    pub fn parse(text: &str) -> Result<Self, NetworkError> {
        let json: JsonValue = text.parse().map_err(|error| NetworkError::InvalidJson(format!("{error}")))?;
        let keys = ["regions", "exchanges", "groups", "demand", "limits", "tandem_cost"];
        let top = Entry::new(&json, "", &keys)?;
        let mut network = Self { tandem_cost: top.micro("tandem_cost", Some(0.0))?, ..Self::default() };
        for (i, region) in top.list("regions")?.iter().enumerate() {
            let path = format!("regions.{i}");
            let name = region
                .get::<String>()
                .filter(|name| !name.is_empty())
                .ok_or_else(|| invalid_entry(&path, "a name"))?;
            if network.regions.contains(name) {
                return Err(invalid_entry(path, format!("each region once, but '{name}' is listed before")));
            }
            network.regions.push(name.clone());
        }
        network.parse_exchanges(&top)?;
        network.parse_groups(&top)?;
        network.parse_demands(&top)?;
        network.parse_limits(&top)?;
        Ok(network)
    }

    fn parse_exchanges(&mut self, top: &Entry<'_>) -> Result<(), NetworkError> {
        let mut known = BTreeSet::new();
        for (i, value) in top.list("exchanges")?.iter().enumerate() {
            let entry = Entry::new(value, &format!("exchanges.{i}"), &["number", "region"])?;
            let number = entry.whole("number", MAX_EXCHANGE_NUMBER, None)?;
            if !known.insert(number) {
                return Err(invalid_entry(
                    entry.path_of("number"),
                    format!("each exchange once, but {number} is listed before"),
                ));
            }
            let region = self.region_index(entry.text("region")?, &entry.path_of("region"))?;
            self.exchanges.push(Exchange { number, region });
        }
        if self.exchanges.len() < 2 {
            return Err(invalid_entry("exchanges", "at least two"));
        }
        self.exchanges.sort_by_key(|exchange| exchange.number);
        Ok(())
    }

    fn region_index(&self, name: &str, path: &str) -> Result<usize, NetworkError> {
        let index = self.regions.iter().position(|region| region == name);
        index.ok_or_else(|| invalid_entry(path, format!("one of the regions, but '{name}' is unknown")))
    }

    /// Index of an exchange in [`Network::exchanges`], by its number.
    pub fn exchange_index(&self, number: u32) -> Option<usize> {
        self.exchanges.binary_search_by_key(&number, |exchange| exchange.number).ok()
    }

    fn parse_groups(&mut self, top: &Entry<'_>) -> Result<(), NetworkError> {
        for (i, value) in top.list("groups")?.iter().enumerate() {
            let entry = Entry::new(value, &format!("groups.{i}"), &["between", "circuits", "cost"])?;
            let path = entry.path_of("between");
            let ends = entry.list("between")?;
            let [a, b] = ends else { return Err(invalid_entry(path, "two exchange numbers")) };
            let (a, b) = (
                parse_whole(Some(a), &path, MAX_EXCHANGE_NUMBER)?,
                parse_whole(Some(b), &path, MAX_EXCHANGE_NUMBER)?,
            );
            self.check_pair(a, b, &path)?;
            let between = (a.min(b), a.max(b));
            let group = Group {
                between,
                circuits: entry.whole("circuits", MAX_CIRCUITS, None)?,
                cost: entry.micro("cost", Some(0.0))?,
            };
            if self.groups.insert(between, group).is_some() {
                return Err(invalid_entry(
                    path,
                    format!("each pair once, but {a} and {b} are listed before"),
                ));
            }
        }
        Ok(())
    }

    /// Checks that these are two different exchanges of the network.
    fn check_pair(&self, a: u32, b: u32, path: &str) -> Result<(), NetworkError> {
        match [a, b].into_iter().find(|number| self.exchange_index(*number).is_none()) {
            Some(number) => {
                Err(invalid_entry(path, format!("exchanges of the network, but {number} is unknown")))
            }
            None if a == b => Err(invalid_entry(path, "two different exchanges")),
            None => Ok(()),
        }
    }

    fn parse_demands(&mut self, top: &Entry<'_>) -> Result<(), NetworkError> {
        for (i, value) in top.list("demand")?.iter().enumerate() {
            let keys = ["from", "to", "circuits", "worth", "must"];
            let entry = Entry::new(value, &format!("demand.{i}"), &keys)?;
            let (from, to) = (
                entry.whole("from", MAX_EXCHANGE_NUMBER, None)?,
                entry.whole("to", MAX_EXCHANGE_NUMBER, None)?,
            );
            self.check_pair(from, to, &entry.path)?;
            let circuits = entry.whole("circuits", MAX_CIRCUITS, None)?;
            // The minimum cannot exceed the demand.
            let min_circuits = entry.whole("must", f64::from(circuits), Some(0))?;
            let demand = Demand { from, to, circuits, worth: entry.micro("worth", Some(1.0))?, min_circuits };
            if self.demands.insert((from, to), demand).is_some() {
                return Err(invalid_entry(
                    entry.path,
                    format!("each pair once, but {from} to {to} is listed before"),
                ));
            }
        }
        Ok(())
    }

    fn parse_limits(&mut self, top: &Entry<'_>) -> Result<(), NetworkError> {
        let Some(limits) = top.object.get("limits") else { return Ok(()) };
        let limits = Entry::new(limits, "limits", &["transit"])?;
        let Some(transit) = limits.object.get("transit") else { return Ok(()) };
        let path = limits.path_of("transit");
        let transit =
            transit.get::<HashMap<String, JsonValue>>().ok_or_else(|| invalid_entry(&path, "an object"))?;
        for (name, max) in transit {
            let path = format!("{path}.{name}");
            let region = self.region_index(name, &path)?;
            self.transit_limits.insert(region, parse_whole(Some(max), &path, MAX_CIRCUITS)?);
        }
        Ok(())
    }

    /// The group between two exchanges, if there is one.
    pub fn group(&self, a: u32, b: u32) -> Option<&Group> {
        self.groups.get(&(a.min(b), a.max(b)))
    }

    /// The routes that a demand may take, in canonical order: the direct route (`None`), then by the number of the
    /// tandem. Only routes whose groups exist.
    pub fn routes(&self, from: u32, to: u32) -> Vec<Option<u32>> {
        let direct = self.group(from, to).map(|_| None);
        let tandems = self.exchanges.iter().map(|exchange| exchange.number).filter(|via| {
            *via != from && *via != to && self.group(from, *via).is_some() && self.group(*via, to).is_some()
        });
        direct.into_iter().chain(tandems.map(Some)).collect()
    }
}
