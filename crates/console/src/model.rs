//! Model of the console: what it shows, as a pure function of the snapshots received and of the time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tinyjson::JsonValue;

/// Time without a snapshot after which a softswitch is shown as silent.
const SILENT_AFTER: Duration = Duration::from_secs(3);

/// State of an exchange as reported by one softswitch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExchangeState {
    /// Number of the exchange.
    pub number: u32,
    /// Name of the exchange.
    pub name: String,
    /// Readiness according to the list of exchanges: `ready`, `draining` or `gone`.
    pub readiness: String,
    /// Connection to the exchange: `up`, `opening` or `down`; `own` if it is the softswitch's home exchange.
    pub connection: String,
    /// Free circuits of the circuit group toward the exchange, and the size of the group.
    pub group: Option<(u32, u32)>,
    /// Time since data last arrived from the exchange.
    pub since_heard: Option<Duration>,
    /// Expected set-up time.
    pub expected_delay: Duration,
    /// Number of open attempts to the exchange.
    pub open_attempts: u32,
    /// Number of established calls at the exchange.
    pub established_calls: u32,
    /// Whether the softswitch sends no calls of any class to the exchange.
    pub avoided: bool,
}

/// State of one softswitch, and of the exchanges as it sees them, at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Name of the softswitch.
    pub softswitch: String,
    /// Number of its home exchange.
    pub home: Option<u32>,
    /// Time of the snapshot by the clock of the softswitch, in Unix microseconds.
    pub at_us: u64,
    /// Time since the start of its process.
    pub uptime: Duration,
    /// Whether it refuses new calls because it is draining or stopping.
    pub draining: bool,
    /// Number of calls that wait for an answer.
    pub waiting_calls: u32,
    /// Number of established calls.
    pub established_calls: u32,
    /// Calls answered, refused and failed since its start.
    pub totals: (u64, u64, u64),
    /// Refusals since its start, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// State of each exchange.
    pub exchanges: Vec<ExchangeState>,
}

/// Error of [`Snapshot::parse`]: the text is not a valid reply of `/edge/fleet`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotError(pub String);

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SnapshotError {}

type Object = HashMap<String, JsonValue>;

/// Typed access to the fields of a JSON object; errors name the key.
struct JsonFields<'a>(&'a Object);

impl JsonFields<'_> {
    fn invalid(key: &str) -> SnapshotError {
        SnapshotError(format!("key {key} is missing or of the wrong type"))
    }

    fn string(&self, key: &str) -> Result<String, SnapshotError> {
        self.0.get(key).and_then(|value| value.get::<String>()).cloned().ok_or_else(|| Self::invalid(key))
    }

    fn boolean(&self, key: &str) -> Result<bool, SnapshotError> {
        self.0.get(key).and_then(|value| value.get::<bool>()).copied().ok_or_else(|| Self::invalid(key))
    }

    /// A non-negative number, or `None` if the value is null. A missing key is an error.
    fn number_or_null(&self, key: &str) -> Result<Option<f64>, SnapshotError> {
        match self.0.get(key) {
            Some(JsonValue::Null) => Ok(None),
            Some(JsonValue::Number(n)) if n.is_finite() && *n >= 0.0 => Ok(Some(*n)),
            _ => Err(Self::invalid(key)),
        }
    }

    fn number(&self, key: &str) -> Result<f64, SnapshotError> {
        self.number_or_null(key)?.ok_or_else(|| Self::invalid(key))
    }

    /// A duration given in milliseconds.
    fn duration(&self, key: &str) -> Result<Duration, SnapshotError> {
        Ok(duration_from_ms(self.number(key)?))
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_millis(ms.clamp(0.0, 1e14) as u64)
}

impl Snapshot {
    /// Parses the body of a reply of `/edge/fleet`.
    ///
    /// # Errors
    /// If the text is not JSON or a key is missing or has a value of the wrong type; the error names the key.
    pub fn parse(text: &str) -> Result<Self, SnapshotError> {
        let json: JsonValue = text.parse().map_err(|error| SnapshotError(format!("not JSON: {error}")))?;
        let object = |value: &JsonValue, context: &str| {
            value
                .get::<Object>()
                .cloned()
                .ok_or_else(|| SnapshotError(format!("{context}: expected an object")))
        };
        let root = object(&json, "the answer")?;
        let root = JsonFields(&root);
        let mut refusals = BTreeMap::new();
        for (reason, count) in object(root.0.get("refusals").unwrap_or(&JsonValue::Null), "refusals")? {
            let count = count.get::<f64>().copied().ok_or_else(|| JsonFields::invalid("refusals"))?;
            refusals.insert(reason, count as u64);
        }
        let list = root.0.get("exchanges").and_then(|value| value.get::<Vec<JsonValue>>());
        let mut exchanges = Vec::new();
        for entry in list.ok_or_else(|| JsonFields::invalid("exchanges"))? {
            let entry = object(entry, "exchanges")?;
            let entry = JsonFields(&entry);
            let (free, total) = (entry.number_or_null("free")?, entry.number_or_null("total")?);
            exchanges.push(ExchangeState {
                number: entry.number("exchange")? as u32,
                name: entry.string("name")?,
                readiness: entry.string("listing")?,
                connection: entry.string("way")?,
                group: free.zip(total).map(|(free, total)| (free as u32, total as u32)),
                since_heard: entry.number_or_null("heard_ms")?.map(duration_from_ms),
                expected_delay: entry.duration("expected_ms")?,
                open_attempts: entry.number("out")? as u32,
                established_calls: entry.number("standing")? as u32,
                avoided: entry.boolean("avoided")?,
            });
        }
        let count = |key| Ok::<u64, SnapshotError>(root.number(key)? as u64);
        Ok(Self {
            softswitch: root.string("softswitch")?,
            home: root.number_or_null("home")?.map(|home| home as u32),
            at_us: count("at_us")?,
            uptime: root.duration("up_ms")?,
            draining: root.boolean("draining")?,
            waiting_calls: root.number("waiting")? as u32,
            established_calls: root.number("standing")? as u32,
            totals: (count("answered")?, count("refused")?, count("failed")?),
            refusals,
            exchanges,
        })
    }
}

/// A source of snapshots: one softswitch that is polled, or whose records are played back.
#[derive(Clone, Debug)]
struct Source {
    /// Address that is polled, or name of the softswitch in its records.
    label: String,
    /// Latest snapshot, and when it was received by the console's clock.
    latest: Option<(Duration, Snapshot)>,
    /// Snapshot before the latest, from which rates are computed; `None` after a restart of the softswitch.
    previous: Option<(Duration, Snapshot)>,
    /// Why the last poll failed, if it did.
    error: Option<String>,
}

/// Whether a softswitch replies to polls. In a playback, a snapshot counts as a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoftswitchState {
    /// It replies.
    Live,
    /// It replies, and it is draining or stopping.
    Draining,
    /// It no longer replies; what is shown of it is out of date.
    Silent,
    /// It has never replied.
    NeverReplied,
}

/// A row of the table of softswitches.
#[derive(Clone, Debug, PartialEq)]
pub struct SoftswitchRow {
    /// Name of the softswitch, or its address until the name is known.
    pub name: String,
    /// Whether it replies.
    pub state: SoftswitchState,
    /// Age of its latest snapshot; `None` without one.
    pub age: Option<Duration>,
    /// Numbers of waiting and of established calls.
    pub calls: (u32, u32),
    /// Calls answered, refused and failed per second, between the last two snapshots.
    pub rates: Option<(f64, f64, f64)>,
    /// Most frequent reason of refusals, and its share of all refusals since the start of the softswitch.
    pub top_refusal: Option<(String, f64)>,
    /// Why the last poll failed, if it did.
    pub error: Option<String>,
}

/// A row of the table of nodes: an exchange as seen by all softswitches that reply.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRow {
    /// Number of the exchange.
    pub exchange: u32,
    /// Name of the exchange.
    pub name: String,
    /// Worst readiness that any softswitch has from its list: `gone`, `draining` or `ready`.
    pub readiness: String,
    /// Number of connections that are up, and number of softswitches that should have one.
    pub connections: (usize, usize),
    /// Longest set-up time that any softswitch expects, which shows how long the queue at the exchange is.
    pub expected_delay: Duration,
    /// Free circuits and total size of all groups toward the exchange; `None` if no softswitch reports a group.
    pub group: Option<(u32, u32)>,
    /// Numbers of open attempts and of established calls.
    pub calls: (u32, u32),
    /// Number of softswitches that avoid the exchange.
    pub avoided_by: usize,
    /// Time since data last arrived from the exchange at any softswitch; includes the age of the snapshot.
    pub since_heard: Option<Duration>,
}

impl NodeRow {
    /// State of the node as shown on the screen; if several apply, the first of `gone`, `DOWN`, `partly`, `drains` and
    /// `slow`. [`SortOrder::Severity`] ranks `DOWN` above `gone` and `slow` above `drains`.
    pub fn state(&self) -> &'static str {
        match (self.readiness.as_str(), self.connections, self.avoided_by) {
            ("gone", ..) => "gone",
            (_, (0, expected), _) if expected > 0 => "DOWN",
            (_, (up, expected), _) if up < expected => "partly",
            ("draining", ..) => "drains",
            (_, _, avoided_by) if avoided_by > 0 => "slow",
            _ => "ok",
        }
    }

    /// Rank of the state, from 0 for `ok` to the worst, `DOWN`.
    fn severity(&self) -> u8 {
        ["ok", "drains", "slow", "partly", "gone", "DOWN"]
            .iter()
            .position(|s| *s == self.state())
            .unwrap_or(0) as u8
    }
}

/// Sort order of the nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SortOrder {
    /// Ascending by number.
    #[default]
    Number,
    /// Worst state first.
    Severity,
    /// Longest expected set-up time first.
    ExpectedDelay,
    /// Fewest free circuits first; nodes without a known group last.
    FreeCircuits,
    /// Most open attempts first.
    OpenAttempts,
}

impl SortOrder {
    const ALL: [Self; 5] =
        [Self::Number, Self::Severity, Self::ExpectedDelay, Self::FreeCircuits, Self::OpenAttempts];

    /// The next order; after the last one the first again.
    #[must_use]
    pub fn next(self) -> Self {
        let index = Self::ALL.iter().position(|order| *order == self).unwrap_or(0);
        Self::ALL[(index + 1) % Self::ALL.len()]
    }

    /// Name of the order as shown in the footer.
    pub fn label(self) -> &'static str {
        ["number", "trouble", "set-up time", "free circuits", "attempts out"]
            [Self::ALL.iter().position(|order| *order == self).unwrap_or(0)]
    }
}

/// State of the console.
#[derive(Clone, Debug, Default)]
pub struct Model {
    sources: Vec<Source>,
    /// Current time since the start of the console, or since the first record in a playback.
    pub now: Duration,
    /// Sort order of the nodes.
    pub sort_order: SortOrder,
    /// Only nodes with this text in their number, name or state are shown; case does not matter.
    pub filter: String,
    /// Whether the user is typing the filter.
    pub editing_filter: bool,
    /// Index of the first row of nodes that is shown.
    pub scroll: usize,
    /// Time and speed of a playback, shown in the header; empty for a live console.
    pub playback_status: String,
}

impl Model {
    /// Creates a model with one source of snapshots per label.
    pub fn new(labels: impl IntoIterator<Item = String>) -> Self {
        let source = |label| Source { label, latest: None, previous: None, error: None };
        Self { sources: labels.into_iter().map(source).collect(), ..Self::default() }
    }

    /// Applies the result of polling the source with this index, received at this time of the console's clock.
    pub fn update(&mut self, source: usize, at: Duration, result: Result<Snapshot, String>) {
        self.now = self.now.max(at);
        let Some(source) = self.sources.get_mut(source) else { return };
        match result {
            Ok(snapshot) => {
                source.error = None;
                // A restarted process counts from zero, so no rate can be computed from its predecessor's totals.
                let same_process =
                    source.latest.as_ref().is_some_and(|(_, latest)| latest.uptime <= snapshot.uptime);
                source.previous = source.latest.take().filter(|_| same_process);
                source.latest = Some((at, snapshot));
            }
            Err(error) => source.error = Some(error),
        }
    }

    fn state(&self, source: &Source) -> SoftswitchState {
        match &source.latest {
            None => SoftswitchState::NeverReplied,
            Some((at, _)) if self.now.saturating_sub(*at) >= SILENT_AFTER => SoftswitchState::Silent,
            Some((_, snapshot)) if snapshot.draining => SoftswitchState::Draining,
            Some(_) => SoftswitchState::Live,
        }
    }

    /// The rows of the table of softswitches, in the order of the labels given to [`Self::new`].
    pub fn softswitches(&self) -> Vec<SoftswitchRow> {
        let row = |source: &Source| {
            let state = self.state(source);
            let snapshot = source.latest.as_ref().map(|(_, snapshot)| snapshot);
            let rates = source.latest.as_ref().zip(source.previous.as_ref()).and_then(|((_, b), (_, a))| {
                let seconds = b.at_us.saturating_sub(a.at_us) as f64 / 1e6;
                let rate = |b: u64, a: u64| b.saturating_sub(a) as f64 / seconds;
                let rates = (
                    rate(b.totals.0, a.totals.0),
                    rate(b.totals.1, a.totals.1),
                    rate(b.totals.2, a.totals.2),
                );
                (seconds > 0.0 && state != SoftswitchState::Silent).then_some(rates)
            });
            let top_reason = snapshot.and_then(|s| {
                let all: u64 = s.refusals.values().sum();
                let (reason, count) =
                    s.refusals.iter().max_by_key(|(reason, count)| (**count, reason.len()))?;
                (all > 0).then(|| (reason.clone(), *count as f64 / all as f64))
            });
            SoftswitchRow {
                name: snapshot.map_or_else(|| source.label.clone(), |s| s.softswitch.clone()),
                state,
                age: source.latest.as_ref().map(|(at, _)| self.now.saturating_sub(*at)),
                calls: snapshot.map_or((0, 0), |s| (s.waiting_calls, s.established_calls)),
                rates,
                top_refusal: top_reason,
                error: source.error.clone(),
            }
        };
        self.sources.iter().map(row).collect()
    }

    /// The nodes that match the filter, sorted. Snapshots of silent softswitches are ignored.
    pub fn nodes(&self) -> Vec<NodeRow> {
        let mut nodes: BTreeMap<u32, NodeRow> = BTreeMap::new();
        for source in &self.sources {
            let live = matches!(self.state(source), SoftswitchState::Live | SoftswitchState::Draining);
            let Some((at, snapshot)) = source.latest.as_ref().filter(|_| live) else { continue };
            let age = self.now.saturating_sub(*at);
            for exchange in &snapshot.exchanges {
                let row = nodes.entry(exchange.number).or_insert_with(|| NodeRow {
                    exchange: exchange.number,
                    name: exchange.name.clone(),
                    readiness: exchange.readiness.clone(),
                    connections: (0, 0),
                    expected_delay: Duration::ZERO,
                    group: None,
                    calls: (0, 0),
                    avoided_by: 0,
                    since_heard: None,
                });
                merge_into_row(row, exchange, age);
            }
        }
        let mut rows: Vec<NodeRow> = nodes.into_values().collect();
        let filter = self.filter.to_lowercase();
        rows.retain(|row| {
            let text = format!("{} {} {}", row.exchange, row.name, row.state()).to_lowercase();
            text.contains(&filter)
        });
        match self.sort_order {
            SortOrder::Number => {}
            SortOrder::Severity => rows.sort_by_key(|row| std::cmp::Reverse(row.severity())),
            SortOrder::ExpectedDelay => rows.sort_by_key(|row| std::cmp::Reverse(row.expected_delay)),
            SortOrder::FreeCircuits => rows.sort_by_key(|row| row.group.map_or(u32::MAX, |(free, _)| free)),
            SortOrder::OpenAttempts => rows.sort_by_key(|row| std::cmp::Reverse(row.calls.0)),
        }
        rows
    }
}

/// Merges one softswitch's state of an exchange, from a snapshot of this age, into the row of its node.
fn merge_into_row(row: &mut NodeRow, exchange: &ExchangeState, age: Duration) {
    let rank =
        |readiness: &str| ["ready", "draining", "gone"].iter().position(|r| *r == readiness).unwrap_or(0);
    if rank(&exchange.readiness) > rank(&row.readiness) {
        row.readiness.clone_from(&exchange.readiness);
    }
    if exchange.connection != "own" {
        row.connections.1 += 1;
        row.connections.0 += usize::from(exchange.connection == "up");
    }
    row.expected_delay = row.expected_delay.max(exchange.expected_delay);
    if let Some((free, total)) = exchange.group {
        let (all_free, all_total) = row.group.unwrap_or_default();
        row.group = Some((all_free + free, all_total + total));
    }
    row.calls = (row.calls.0 + exchange.open_attempts, row.calls.1 + exchange.established_calls);
    row.avoided_by += usize::from(exchange.avoided);
    let since_heard = exchange.since_heard.map(|since_heard| since_heard + age);
    row.since_heard = row.since_heard.into_iter().chain(since_heard).min();
}
