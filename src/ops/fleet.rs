//! What one softswitch knows of the fleet at this moment, as JSON for consoles: itself, and each exchange.

use std::fmt::Write;
use std::time::Duration;

use tinyjson::JsonValue;

/// An exchange as it is exchange from here.
#[derive(Clone, Debug, PartialEq)]
pub struct ExchangeState {
    /// Its number.
    pub number: u32,
    /// Its name.
    pub name: String,
    /// What the list says: `ready` or `draining`.
    pub readiness: &'static str,
    /// The way to it: `up`, `opening`, `down`, or `own` for the own exchange.
    pub connection: &'static str,
    /// Free circuits of the group and its size, if it ever told.
    pub group: Option<(u32, u32)>,
    /// Time since something was heard on the way.
    pub since_heard: Option<Duration>,
    /// Time that a set-up is expected to take.
    pub expected_delay: Duration,
    /// Attempts out there.
    pub open_attempts: usize,
    /// Calls that stand there.
    pub established_calls: usize,
    /// Calls of every class are kept from it.
    pub avoided: bool,
}

/// Everything that a console is shown of one softswitch.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Name of the softswitch.
    pub softswitch: String,
    /// Number of its own exchange.
    pub home: Option<u32>,
    /// Unix time in microseconds.
    pub at_us: u64,
    /// Time since its process started.
    pub uptime: Duration,
    /// Callers are sent away.
    pub draining: bool,
    /// Calls that wait for an answer, and calls that stand.
    pub calls: (usize, usize),
    /// Answered, refused and failed since the start.
    pub totals: (u64, u64, u64),
    /// Refusals since the start, by reason.
    pub refusals: Vec<(&'static str, u64)>,
    /// The exchanges, by number.
    pub exchanges: Vec<ExchangeState>,
}

fn quoted(text: &str) -> String {
    JsonValue::String(text.to_owned()).stringify().unwrap_or_default()
}

impl Fleet {
    /// As one JSON object. Times are in ms unless the key says otherwise; what is not known is null.
    pub fn to_json(&self) -> String {
        let number = |n: Option<u32>| n.map_or("null".to_owned(), |n| n.to_string());
        let mut text = format!(
            "{{\"softswitch\":{},\"home\":{},\"at_us\":{},\"up_ms\":{},\"draining\":{},\"waiting\":{},\"standing\":{},\
             \"answered\":{},\"refused\":{},\"failed\":{},\"refusals\":{{",
            quoted(&self.softswitch),
            number(self.home),
            self.at_us,
            self.uptime.as_millis(),
            self.draining,
            self.calls.0,
            self.calls.1,
            self.totals.0,
            self.totals.1,
            self.totals.2
        );
        for (i, (reason, count)) in self.refusals.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            let _ = write!(text, "{comma}{}:{count}", quoted(reason));
        }
        text.push_str("},\"exchanges\":[");
        for (i, exchange) in self.exchanges.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            let heard = exchange.since_heard.map_or("null".to_owned(), |heard| heard.as_millis().to_string());
            let _ = write!(
                text,
                "{comma}{{\"exchange\":{},\"name\":{},\"listing\":\"{}\",\"way\":\"{}\",\"free\":{},\"total\":{},\
                 \"heard_ms\":{heard},\"expected_ms\":{},\"out\":{},\"standing\":{},\"avoided\":{}}}",
                exchange.number,
                quoted(&exchange.name),
                exchange.readiness,
                exchange.connection,
                number(exchange.group.map(|(free, _)| free)),
                number(exchange.group.map(|(_, total)| total)),
                exchange.expected_delay.as_millis(),
                exchange.open_attempts,
                exchange.established_calls,
                exchange.avoided,
            );
        }
        text.push_str("]}\n");
        text
    }
}
