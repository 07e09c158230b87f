//! Sources of load: HAR files and access logs, read into one timed list of calls. Nothing is sent from here.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, SystemTime};

use thiserror::Error;

use crate::engine::CallUid;
use crate::net::jsonl::format_set_up;

pub mod clf;
pub mod har;

/// What is wrong with a source.
#[derive(Debug, Error)]
pub enum LoadError {
    /// It cannot be read.
    #[error("cannot be read: {0}")]
    Io(#[from] std::io::Error),
    /// It is no HAR file.
    #[error("not a HAR file: {0}")]
    InvalidHar(String),
}

/// One request of the recorded past, as a call.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedCall {
    /// When it came.
    pub at: SystemTime,
    /// What it was for: the path asked for, without its query.
    pub path: String,
    /// How long it took, where the source says.
    pub elapsed: Option<Duration>,
    /// Whether it was served (a status below 400).
    pub served: bool,
}

/// Calls in the order of their times, from any number of sources.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordedLoad {
    /// The calls.
    pub calls: Vec<RecordedCall>,
    /// Lines or entries that could not be read.
    pub skipped: usize,
}

impl RecordedLoad {
    /// Reads a source: a HAR file if it begins as JSON does, else an access log.
    ///
    /// # Errors
    /// If it begins as JSON and is no HAR file.
    pub fn parse(text: &str) -> Result<Self, LoadError> {
        let text = text.trim_start_matches('\u{feff}');
        if text.trim_start().starts_with('{') { har::parse(text) } else { Ok(clf::parse(text)) }
    }

    /// Merges another source in.
    pub fn merge(&mut self, other: Self) {
        self.skipped += other.skipped;
        self.calls.extend(other.calls);
        self.calls.sort_by_key(|offer| offer.at);
    }

    fn start(&self) -> Option<SystemTime> {
        self.calls.first().map(|offer| offer.at)
    }

    /// How long after the first call this one came.
    fn offset(&self, offer: &RecordedCall) -> Duration {
        self.start().and_then(|start| offer.at.duration_since(start).ok()).unwrap_or_default()
    }

    /// The figures of the whole.
    pub fn summary(&self) -> Summary {
        let mut seconds: BTreeMap<u64, usize> = BTreeMap::new();
        let mut keys: BTreeMap<&str, usize> = BTreeMap::new();
        for offer in &self.calls {
            *seconds.entry(self.offset(offer).as_secs()).or_default() += 1;
            *keys.entry(&offer.path).or_default() += 1;
        }
        let mut busiest: Vec<(String, usize)> = keys.into_iter().map(|(k, n)| (k.to_owned(), n)).collect();
        busiest.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        let mut took: Vec<Duration> = self.calls.iter().filter_map(|offer| offer.elapsed).collect();
        took.sort_unstable();
        Summary {
            calls: self.calls.len(),
            skipped: self.skipped,
            duration: self.calls.last().map(|last| self.offset(last)).unwrap_or_default(),
            peak_per_second: seconds.into_values().max().unwrap_or(0),
            served: self.calls.iter().filter(|offer| offer.served).count(),
            distinct_paths: busiest.len(),
            busiest_paths: busiest.into_iter().take(5).collect(),
            median_elapsed: took.get(took.len() / 2).copied(),
        }
    }

    /// The calls as set-ups of the platform's JSON lines, each with the time from the first one.
    pub fn setups<'a>(&'a self, plan: &'a SetUpOptions) -> impl Iterator<Item = (Duration, String)> + 'a {
        self.calls.iter().enumerate().map(|(i, offer)| {
            let hash = fnv(&offer.path);
            let dest = plan.dest.unwrap_or_else(|| (hash % u64::from(plan.exchanges.max(1))) as u32);
            let call = CallUid::from_u64(hash.rotate_left(32) ^ (i as u64 + 1));
            let key = format!("{hash:016x}");
            (self.offset(offer), format_set_up(call, &plan.class, plan.remaining, &key, dest))
        })
    }
}

/// How recorded requests become calls.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUpOptions {
    /// Class of every call.
    pub class: String,
    /// How long its caller waits.
    pub remaining: Duration,
    /// The exchange of every call; `None` to spread them by key.
    pub dest: Option<u32>,
    /// Exchanges to spread over.
    pub exchanges: u32,
}

/// Figures of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Calls.
    pub calls: usize,
    /// What could not be read.
    pub skipped: usize,
    /// From the first to the last.
    pub duration: Duration,
    /// Most in one second, counted from the first.
    pub peak_per_second: usize,
    /// Served at the time.
    pub served: usize,
    /// Different keys.
    pub distinct_paths: usize,
    /// The five busiest.
    pub busiest_paths: Vec<(String, usize)>,
    /// Median time taken, where known.
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
        for (key, count) in &self.busiest_paths {
            writeln!(f, "{count:>10} {key}")?;
        }
        Ok(())
    }
}

/// What a request was for: its path without host and query.
fn path_of(target: &str) -> String {
    let path = match target.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => target,
    };
    path.split(['?', '#']).next().unwrap_or(path).to_owned()
}

fn fnv(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}
