//! Current state of the fleet as one softswitch knows it: itself and each exchange, formatted as JSON for consoles.

use std::fmt::Write;
use std::time::Duration;

use tinyjson::JsonValue;

/// State of one exchange, as this softswitch knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ExchangeState {
    /// Its number.
    pub number: u32,
    /// Its name.
    pub name: String,
    /// Readiness according to the list: `ready` or `draining`.
    pub readiness: &'static str,
    /// State of the connection to it: `up`, `opening`, `down`, or `own` for the home exchange.
    pub connection: &'static str,
    /// Free circuits and size of the circuit group to it, if it ever reported them.
    pub group: Option<(u32, u32)>,
    /// Time since data was last received from it.
    pub since_heard: Option<Duration>,
    /// Expected set-up time.
    pub expected_delay: Duration,
    /// Open attempts at this exchange.
    pub open_attempts: usize,
    /// Established calls at this exchange.
    pub established_calls: usize,
    /// Whether calls of all classes avoid it.
    pub avoided: bool,
}

/// State of one softswitch and of all exchanges that it knows.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Name of the softswitch.
    pub softswitch: String,
    /// Number of its home exchange.
    pub home: Option<u32>,
    /// Unix time in microseconds.
    pub at_us: u64,
    /// Time since its process started.
    pub uptime: Duration,
    /// Whether it is draining.
    pub draining: bool,
    /// Numbers of open and of established calls.
    pub calls: (usize, usize),
    /// Numbers of calls answered, refused and failed since the start.
    pub totals: (u64, u64, u64),
    /// Refused calls since the start, by reason.
    pub refusals: Vec<(&'static str, u64)>,
    /// The exchanges, ordered by number.
    pub exchanges: Vec<ExchangeState>,
}

fn quoted(text: &str) -> String {
    JsonValue::String(text.to_owned()).stringify().unwrap_or_default()
}

impl Fleet {
    /// Formats the state as one JSON object. Times are in ms unless the key says otherwise; unknown values are null.
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
            let since_heard =
                exchange.since_heard.map_or("null".to_owned(), |elapsed| elapsed.as_millis().to_string());
            let _ = write!(
                text,
                "{comma}{{\"exchange\":{},\"name\":{},\"listing\":\"{}\",\"way\":\"{}\",\"free\":{},\"total\":{},\
                 \"heard_ms\":{since_heard},\"expected_ms\":{},\"out\":{},\"standing\":{},\"avoided\":{}}}",
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
