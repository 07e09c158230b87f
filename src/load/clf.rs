//! Parser of access logs in the Common and the Combined Log Format. Each line becomes one call.

use chrono::DateTime;

use super::{RecordedCall, RecordedLoad, path_of};

/// Parses an access log. Lines that are neither empty nor in one of the formats are counted as skipped.
pub fn parse(text: &str) -> RecordedLoad {
    let mut recorded = RecordedLoad::default();
    for line in text.lines().map(str::trim).filter(|line| !line.is_empty()) {
        match parse_line(line) {
            Some(call) => recorded.calls.push(call),
            None => recorded.skipped += 1,
        }
    }
    recorded.calls.sort_by_key(|call| call.at);
    recorded
}

/// Parses `host ident user [time] "request" status bytes`; further fields (Combined format) are ignored.
fn parse_line(line: &str) -> Option<RecordedCall> {
    let (_, rest) = line.split_once('[')?;
    let (time, rest) = rest.split_once(']')?;
    let at = DateTime::parse_from_str(time, "%d/%b/%Y:%H:%M:%S %z").ok()?;
    let (request, rest) = split_quoted(rest.trim_start())?;
    let status: u16 = rest.split_whitespace().next()?.parse().ok()?;
    // `GET /path HTTP/1.1`; an HTTP/0.9 request has no version.
    let target = request.split(' ').nth(1)?;
    Some(RecordedCall {
        at: at.into(),
        path: path_of(target),
        elapsed: None,
        served: (100..400).contains(&status),
    })
}

/// Splits a quoted string from the start of `text` and returns its content and the rest. `\"` does not end it.
fn split_quoted(text: &str) -> Option<(&str, &str)> {
    let text = text.strip_prefix('"')?;
    let mut escaped = false;
    let end = text.bytes().position(|byte| {
        let ends = byte == b'"' && !escaped;
        escaped = byte == b'\\' && !escaped;
        ends
    })?;
    Some((&text[..end], &text[end + 1..]))
}
