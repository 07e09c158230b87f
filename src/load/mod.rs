//! Readers of recorded load: HAR files and access logs are merged into one chronological list of calls. Nothing
//! is sent.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, SystemTime};

use thiserror::Error;

use crate::engine::CallUid;
use crate::net::jsonl::format_set_up;

pub mod clf;
pub mod har;

/// Why a source cannot be read.
#[derive(Debug, Error)]
pub enum LoadError {
    /// Reading the file failed.
    #[error("cannot be read: {0}")]
    Io(#[from] std::io::Error),
    /// The text is not a valid HAR file.
    #[error("not a HAR file: {0}")]
    InvalidHar(String),
}

/// A recorded request, taken as a call.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedCall {
    /// When the request was sent or logged.
    pub at: SystemTime,
    /// Requested path, without the query.
    pub path: String,
    /// Duration of the request, if the source has it.
    pub elapsed: Option<Duration>,
    /// Whether the request succeeded (a status below 400).
    pub served: bool,
}

/// Calls from any number of sources, in chronological order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordedLoad {
    /// The calls, in chronological order.
    pub calls: Vec<RecordedCall>,
    /// Number of lines or entries that could not be parsed.
    pub skipped: usize,
}

impl RecordedLoad {
    /// Parses a source: a HAR file if it begins with `{`, an access log otherwise.
    ///
    /// # Errors
    /// If it begins with `{` and is not a HAR file.
    pub fn parse(text: &str) -> Result<Self, LoadError> {
        let text = text.trim_start_matches('\u{feff}');
        if text.trim_start().starts_with('{') { har::parse(text) } else { Ok(clf::parse(text)) }
    }

    /// Adds the calls of another source.
    pub fn merge(&mut self, other: Self) {
        self.skipped += other.skipped;
        self.calls.extend(other.calls);
        self.calls.sort_by_key(|call| call.at);
    }

    fn start(&self) -> Option<SystemTime> {
        self.calls.first().map(|call| call.at)
    }

    /// Time from the first call to this one.
    fn offset(&self, call: &RecordedCall) -> Duration {
        self.start().and_then(|start| call.at.duration_since(start).ok()).unwrap_or_default()
    }

    /// Statistics of all calls.
    pub fn summary(&self) -> Summary {
        let mut calls_per_second: BTreeMap<u64, usize> = BTreeMap::new();
        let mut calls_per_path: BTreeMap<&str, usize> = BTreeMap::new();
        for call in &self.calls {
            *calls_per_second.entry(self.offset(call).as_secs()).or_default() += 1;
            *calls_per_path.entry(&call.path).or_default() += 1;
        }
        let mut paths: Vec<(String, usize)> =
            calls_per_path.into_iter().map(|(path, count)| (path.to_owned(), count)).collect();
        paths.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        let mut elapsed: Vec<Duration> = self.calls.iter().filter_map(|call| call.elapsed).collect();
        elapsed.sort_unstable();
        Summary {
            calls: self.calls.len(),
            skipped: self.skipped,
            duration: self.calls.last().map(|last| self.offset(last)).unwrap_or_default(),
            peak_per_second: calls_per_second.into_values().max().unwrap_or(0),
            served: self.calls.iter().filter(|call| call.served).count(),
            distinct_paths: paths.len(),
            busiest_paths: paths.into_iter().take(5).collect(),
            median_elapsed: elapsed.get(elapsed.len() / 2).copied(),
        }
    }

    /// The calls as set-ups of the JSON lines protocol, each with the time since the first one.
    pub fn setups<'a>(&'a self, options: &'a SetUpOptions) -> impl Iterator<Item = (Duration, String)> + 'a {
        self.calls.iter().enumerate().map(|(index, call)| {
            let hash = fnv1a(&call.path);
            let dest = options.dest.unwrap_or_else(|| (hash % u64::from(options.exchanges.max(1))) as u32);
            // The calls of one path differ by their index.
            let uid = CallUid::from_u64(hash.rotate_left(32) ^ (index as u64 + 1));
            let called_number = format!("{hash:016x}");
            (self.offset(call), format_set_up(uid, &options.class, options.remaining, &called_number, dest))
        })
    }
}

/// Values of the set-ups that recorded requests do not have.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUpOptions {
    /// Class of every call.
    pub class: String,
    /// How long the caller of each call waits.
    pub remaining: Duration,
    /// Destination exchange of every call; `None` to choose it by a hash of the path.
    pub dest: Option<u32>,
    /// Number of exchanges to choose from.
    pub exchanges: u32,
}

/// Statistics of a recorded load.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Number of calls.
    pub calls: usize,
    /// Number of lines or entries that could not be parsed.
    pub skipped: usize,
    /// Time from the first call to the last.
    pub duration: Duration,
    /// Most calls in one second; the seconds are counted from the first call.
    pub peak_per_second: usize,
    /// Number of calls whose request succeeded.
    pub served: usize,
    /// Number of different paths.
    pub distinct_paths: usize,
    /// The five most requested paths, with the number of calls.
    pub busiest_paths: Vec<(String, usize)>,
    /// Median duration of the requests that have one.
    pub median_elapsed: Option<Duration>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.duration.as_secs_f64();
        let rate = if seconds > 0.0 { self.calls as f64 / seconds } else { self.calls as f64 };
        writeln!(f, "calls      {} ({} served, {} not readable)", self.calls, self.served, self.skipped)?;
        writeln!(f, "span       {seconds:.3} s")?;
        writeln!(f, "rate       {rate:.2} a second, {} in the busiest one", self.peak_per_second)?;
        if let Some(median) = self.median_elapsed {
            writeln!(f, "took       {:.1} ms (median)", median.as_secs_f64() * 1_000.0)?;
        }
        writeln!(f, "keys       {}", self.distinct_paths)?;
        for (path, count) in &self.busiest_paths {
            writeln!(f, "{count:>10} {path}")?;
        }
        Ok(())
    }
}

/// Path of a request target, without host, query and fragment.
fn path_of(target: &str) -> String {
    let path = match target.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => target,
    };
    path.split(['?', '#']).next().unwrap_or(path).to_owned()
}

/// 64-bit FNV-1a hash.
fn fnv1a(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}
