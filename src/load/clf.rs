//! Access logs in the Common and Combined formats: one call for each line.

use chrono::DateTime;

use super::{RecordedCall, RecordedLoad, path_of};

/// Reads an access log. Lines that are neither empty nor in one of the formats are counted as skipped.
pub fn parse(text: &str) -> RecordedLoad {
    let mut load = RecordedLoad::default();
    for line in text.lines().map(str::trim).filter(|line| !line.is_empty()) {
        match parse_line(line) {
            Some(offer) => load.calls.push(offer),
            None => load.skipped += 1,
        }
    }
    load.calls.sort_by_key(|offer| offer.at);
    load
}

/// `host ident user [time] "request" status bytes`, and whatever follows in the Combined format.
fn parse_line(line: &str) -> Option<RecordedCall> {
    let (_, rest) = line.split_once('[')?;
    let (time, rest) = rest.split_once(']')?;
    let at = DateTime::parse_from_str(time, "%d/%b/%Y:%H:%M:%S %z").ok()?;
    let (request, rest) = quoted(rest.trim_start())?;
    let status: u16 = rest.split_whitespace().next()?.parse().ok()?;
    // `GET /path HTTP/1.1`; the version is missing in the oldest form.
    let target = request.split(' ').nth(1)?;
    Some(RecordedCall {
        at: at.into(),
        path: path_of(target),
        elapsed: None,
        served: (100..400).contains(&status),
    })
}

/// What stands in quotes at the start, and what follows. A quote with a backslash before it does not end it.
fn quoted(text: &str) -> Option<(&str, &str)> {
    let text = text.strip_prefix('"')?;
    let mut escaped = false;
    let end = text.bytes().position(|byte| {
        let ends = byte == b'"' && !escaped;
        escaped = byte == b'\\' && !escaped;
        ends
    })?;
    Some((&text[..end], &text[end + 1..]))
}
