//! HAR files (HTTP Archive 1.2): one call for each entry.

use std::time::Duration;

use chrono::DateTime;

use super::{LoadError, RecordedCall, RecordedLoad, path_of};
use crate::config::{ConfigError, JsonNode, parse_json_to_depth};

/// Deepest nesting of a HAR file: browsers nest the stacks that led to a request.
const DEEPEST: usize = 400;

/// Reads a HAR file. An entry that lacks what a call needs is counted as skipped.
///
/// # Errors
/// If it is not JSON or has no list of entries.
pub fn parse(text: &str) -> Result<RecordedLoad, LoadError> {
    let json = parse_json_to_depth(DEEPEST, text).map_err(LoadError::InvalidHar)?;
    let top = JsonNode { path: String::new(), value: &json };
    let invalid_har = |error: ConfigError| LoadError::InvalidHar(error.to_string());
    let entries = top.get("log").and_then(|log| log.get("entries")?.items()).map_err(invalid_har)?;
    let mut load = RecordedLoad::default();
    for entry in entries {
        match parse_entry(&entry) {
            Some(offer) => load.calls.push(offer),
            None => load.skipped += 1,
        }
    }
    load.calls.sort_by_key(|offer| offer.at);
    Ok(load)
}

fn parse_entry(entry: &JsonNode<'_>) -> Option<RecordedCall> {
    let started = DateTime::parse_from_rfc3339(&entry.text("startedDateTime").ok()?).ok()?;
    let elapsed = entry.number("time").ok().filter(|ms| *ms >= 0.0);
    let status = entry.get("response").and_then(|r| r.number("status")).unwrap_or(0.0);
    Some(RecordedCall {
        at: started.into(),
        path: path_of(&entry.get("request").ok()?.text("url").ok()?),
        elapsed: elapsed.map(|ms| Duration::from_secs_f64(ms.min(1e9) / 1_000.0)),
        // 0 stands for a request that got no answer at all.
        served: (1.0..400.0).contains(&status),
    })
}
