//! HAR files (HTTP Archive 1.2): one call for each entry.

use std::time::Duration;

use chrono::DateTime;

use super::{Load, LoadError, Offer, path_of};
use crate::config::{ConfigError, Node, parse_json_to};

/// Deepest nesting of a HAR file: browsers nest the stacks that led to a request.
const DEEPEST: usize = 400;

/// Reads a HAR file. An entry that lacks what a call needs is counted as skipped.
///
/// # Errors
/// If it is not JSON or has no list of entries.
pub fn read(text: &str) -> Result<Load, LoadError> {
    let json = parse_json_to(DEEPEST, text).map_err(LoadError::NotHar)?;
    let top = Node { path: String::new(), value: &json };
    let not_har = |error: ConfigError| LoadError::NotHar(error.to_string());
    let entries = top.get("log").and_then(|log| log.get("entries")?.items()).map_err(not_har)?;
    let mut load = Load::default();
    for entry in entries {
        match read_entry(&entry) {
            Some(offer) => load.offers.push(offer),
            None => load.skipped += 1,
        }
    }
    load.offers.sort_by_key(|offer| offer.at);
    Ok(load)
}

fn read_entry(entry: &Node<'_>) -> Option<Offer> {
    let started = DateTime::parse_from_rfc3339(&entry.text("startedDateTime").ok()?).ok()?;
    let took = entry.number("time").ok().filter(|ms| *ms >= 0.0);
    let status = entry.get("response").and_then(|r| r.number("status")).unwrap_or(0.0);
    Some(Offer {
        at: started.into(),
        key: path_of(&entry.get("request").ok()?.text("url").ok()?),
        took: took.map(|ms| Duration::from_secs_f64(ms.min(1e9) / 1_000.0)),
        // 0 stands for a request that got no answer at all.
        served: (1.0..400.0).contains(&status),
    })
}
