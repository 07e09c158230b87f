//! Parser of HAR files (HTTP Archive 1.2). Each entry becomes one call.

use std::time::Duration;

use chrono::DateTime;

use super::{LoadError, RecordedCall, RecordedLoad, path_of};
use crate::config::{ConfigError, JsonNode, parse_json_to_depth};

/// Maximum nesting depth of a HAR file. Browsers write the call stack of each request as nested objects.
const MAX_NESTING: usize = 400;
/// Longer durations of requests are capped at this, so that `Duration::from_secs_f64` cannot panic.
const MAX_ELAPSED_MS: f64 = 1e9;

/// Parses a HAR file. Entries without a valid time or URL are counted as skipped.
///
/// # Errors
/// If the text is not JSON or has no list of entries.
pub fn parse(text: &str) -> Result<RecordedLoad, LoadError> {
    let json = parse_json_to_depth(MAX_NESTING, text).map_err(LoadError::InvalidHar)?;
    let top = JsonNode { path: String::new(), value: &json };
    let invalid_har = |error: ConfigError| LoadError::InvalidHar(error.to_string());
    let entries = top.get("log").and_then(|log| log.get("entries")?.items()).map_err(invalid_har)?;
    let mut recorded = RecordedLoad::default();
    for entry in entries {
        match parse_entry(&entry) {
            Some(call) => recorded.calls.push(call),
            None => recorded.skipped += 1,
        }
    }
    recorded.calls.sort_by_key(|call| call.at);
    Ok(recorded)
}

fn parse_entry(entry: &JsonNode<'_>) -> Option<RecordedCall> {
    let started = DateTime::parse_from_rfc3339(&entry.text("startedDateTime").ok()?).ok()?;
    let elapsed = entry.number("time").ok().filter(|ms| *ms >= 0.0);
    let status = entry.get("response").and_then(|r| r.number("status")).unwrap_or(0.0);
    Some(RecordedCall {
        at: started.into(),
        path: path_of(&entry.get("request").ok()?.text("url").ok()?),
        elapsed: elapsed.map(|ms| Duration::from_secs_f64(ms.min(MAX_ELAPSED_MS) / 1_000.0)),
        // Status 0 means that the request got no response.
        served: (1.0..400.0).contains(&status),
    })
}
