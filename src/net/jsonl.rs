//! The platform's JSON lines protocol: parsing and formatting of lines, without sockets.

use std::collections::HashMap;
use std::fmt::Write;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use thiserror::Error;
use tinyjson::JsonValue;

use crate::config::parse_json_with_values;
use crate::engine::{CallUid, CallerMessage, ExchangeMessage, SetUp, duration_from_ms, duration_to_ms};
use crate::interface::{LoadReport, Outcome, Reason};

/// Maximum length of a line with its line feed, in bytes.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// Maximum number of values in a line. A set-up has about ten.
const MAX_LINE_VALUES: usize = 128;

/// Maximum wait at the processor of an exchange. A longer reported wait is reduced to it, so that a wrong value does
/// not exclude the exchange for good.
const MAX_WAIT_MS: f64 = 60_000.0;

// Q.850 causes.
const NORMAL_CLEARING: u8 = 16;
const USER_BUSY: u8 = 17;
const NO_CIRCUIT: u8 = 34;
const TEMPORARY_FAILURE: u8 = 41;
const RECOVERY_ON_TIMER_EXPIRY: u8 = 102;

/// Why a line cannot be parsed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LineError {
    /// The line is malformed, but the id of its call is readable.
    #[error("malformed line for call {0:?}")]
    Malformed(CallUid),
    /// The line is malformed, and no call id can be found in it.
    #[error("malformed line without a call id")]
    Unreadable,
}

/// A line from a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerLine {
    /// A set-up.
    SetUp(CallUid, SetUp),
    /// The caller abandons a set-up or releases a call; with the cause.
    Stop(CallUid, u8),
    /// A health check.
    Check(CallUid),
    /// A valid line that needs no action.
    Ignored,
}

/// A line from an exchange.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeLine {
    /// The call is established; with the session description.
    Answered(CallUid, Option<Arc<str>>),
    /// A refusal before the answer, or a release after it.
    Stop(CallUid, Outcome, Reason),
    /// State of the circuit group.
    Usage(LoadReport),
    /// Reply to a probe: whether it passed, and the load report.
    Checked(bool, Option<LoadReport>),
    /// The exchange has heard the release of this call.
    ReleaseConfirmed(CallUid),
    /// A valid line that needs no action.
    Ignored,
}

type Object = HashMap<String, JsonValue>;

struct Line {
    kind: String,
    call: CallUid,
    fields: Object,
}

/// Text of a field that may be a string or a number.
fn text(fields: &Object, key: &str) -> Option<String> {
    match fields.get(key)? {
        JsonValue::String(text) => Some(text.clone()),
        JsonValue::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

fn number(fields: &Object, key: &str) -> Option<f64> {
    text(fields, key)?.trim().parse().ok().filter(|n: &f64| n.is_finite())
}

impl Line {
    fn parse(line: &[u8]) -> Result<Self, LineError> {
        // The call id may be readable even if the line is not valid JSON.
        let malformed = || find_call_uid(line).map_or(LineError::Unreadable, LineError::Malformed);
        let text = std::str::from_utf8(line).map_err(|_| malformed())?;
        let Ok(JsonValue::Object(fields)) = parse_json_with_values(MAX_LINE_VALUES, text) else {
            return Err(malformed());
        };
        let uid = fields.get("uid").and_then(|v| v.get::<String>());
        let call = uid.and_then(|uid| CallUid::parse(uid)).ok_or(LineError::Unreadable)?;
        let kind = fields.get("kind").and_then(|v| v.get::<String>()).cloned();
        Ok(Self { kind: kind.ok_or(LineError::Malformed(call))?, call, fields })
    }

    fn meta(&self) -> Result<&Object, LineError> {
        self.fields.get("meta").and_then(|v| v.get::<Object>()).ok_or(LineError::Malformed(self.call))
    }

    fn cause(&self) -> Option<u8> {
        let cause = number(&self.fields, "reason")?;
        (cause.fract() == 0.0 && (0.0..=255.0).contains(&cause)).then_some(cause as u8)
    }

    fn body(&self) -> Result<Option<Arc<str>>, LineError> {
        match self.fields.get("body") {
            None => Ok(None),
            Some(JsonValue::String(body)) => Ok(Some(body.as_str().into())),
            Some(_) => Err(LineError::Malformed(self.call)),
        }
    }
}

/// Finds the call id in a line that is not valid JSON, or in the start of one that is too long.
pub fn find_call_uid(line: &[u8]) -> Option<CallUid> {
    let line = &line[..line.len().min(MAX_LINE_BYTES)];
    let at = line.windows(5).position(|w| w == b"\"uid\"")?;
    let mut rest = line[at + 5..].trim_ascii_start().strip_prefix(b":")?.trim_ascii_start();
    rest = rest.strip_prefix(b"\"")?;
    CallUid::parse(std::str::from_utf8(rest.get(..16)?).ok()?)
}

/// Parses a line from a caller.
///
/// # Errors
/// If the line is malformed; the error contains the call id if it can be found.
pub fn parse_caller_line(line: &[u8], received: SystemTime) -> Result<CallerLine, LineError> {
    let line = Line::parse(line)?;
    Ok(match line.kind.as_str() {
        "launch" => CallerLine::SetUp(line.call, parse_set_up(&line, received)?),
        "stop" => CallerLine::Stop(line.call, line.cause().unwrap_or(NORMAL_CLEARING)),
        "check" => CallerLine::Check(line.call),
        _ => CallerLine::Ignored,
    })
}

fn parse_set_up(line: &Line, received: SystemTime) -> Result<SetUp, LineError> {
    let malformed = || LineError::Malformed(line.call);
    let meta = line.meta()?;
    let extras = text(meta, "extras").ok_or_else(malformed)?;
    // An invalid value is an error, because a default in its place would be sent to an exchange as if it were valid.
    let extra = |name: &str, range: std::ops::RangeInclusive<f64>| {
        let pair = extras.split(';').filter_map(|pair| pair.split_once(':')).find(|(key, _)| *key == name);
        let value =
            pair.map(|(_, value)| value.trim().parse::<f64>().map_err(|_| malformed())).transpose()?;
        match value {
            Some(value) if !range.contains(&value) || value.fract() != 0.0 => Err(malformed()),
            value => Ok(value),
        }
    };
    let flag = |name: &str| Ok(extra(name, 0.0..=1.0)?.is_some_and(|n| n != 0.0));
    // `via` is the tandem that a transit call comes from, or the route that is advised for another call; -1 for none.
    let transit = flag("transit")?;
    let via = extra("via", -1.0..=65_535.0)?.filter(|n| *n >= 0.0).map(|n| n as u32);
    Ok(SetUp {
        class: text(meta, "class").ok_or_else(malformed)?,
        received,
        remaining: Some(duration_from_ms(number(meta, "left").filter(|n| *n >= 0.0).ok_or_else(malformed)?)),
        called_number: Some(parse_called_number(meta).ok_or_else(malformed)?),
        dest: extra("dest", 0.0..=65_535.0)?.ok_or_else(malformed)? as u32,
        width: extra("width", 1.0..=65_535.0)?,
        transit_from: transit.then(|| via.unwrap_or(u32::MAX)),
        advised_route: if transit { None } else { via },
        was_cut: flag("again")?,
        description: Some(line.body()?.ok_or_else(malformed)?),
    })
}

/// The number called. It is passed on unchanged, so a JSON number is accepted only if it is an exact integer.
fn parse_called_number(meta: &Object) -> Option<String> {
    match meta.get("key")? {
        JsonValue::String(key) => Some(key.clone()),
        JsonValue::Number(key) if key.fract() == 0.0 && (0.0..9e15).contains(key) => Some(key.to_string()),
        _ => None,
    }
}

/// Parses a line from an exchange. A load report has its values in the order of `report_field_names`.
///
/// # Errors
/// If the line is malformed, is an answer without a session description or a release without a cause, or has an
/// unknown kind.
pub fn parse_exchange_line(line: &[u8], report_field_names: &[String]) -> Result<ExchangeLine, LineError> {
    let line = Line::parse(line)?;
    let malformed = || LineError::Malformed(line.call);
    Ok(match line.kind.as_str() {
        "running" => ExchangeLine::Answered(line.call, Some(line.body()?.ok_or_else(malformed)?)),
        "stop" => {
            line.cause().ok_or_else(malformed)?;
            let (outcome, reason) = parse_outcome(&line);
            ExchangeLine::Stop(line.call, outcome, reason)
        }
        "usage" => {
            parse_load_report(&line, report_field_names).map_or(ExchangeLine::Ignored, ExchangeLine::Usage)
        }
        "checked" => {
            ExchangeLine::Checked(line.cause() == Some(1), parse_load_report(&line, report_field_names))
        }
        "stopped" => ExchangeLine::ReleaseConfirmed(line.call),
        "staging" => ExchangeLine::Ignored,
        _ => return Err(malformed()),
    })
}

/// Outcome and reason of a release. Whether the call was established before is known to the engine only.
fn parse_outcome(line: &Line) -> (Outcome, Reason) {
    let outcome = match line.cause() {
        Some(NORMAL_CLEARING) => Outcome::Completed,
        Some(NO_CIRCUIT) => Outcome::Congested,
        Some(TEMPORARY_FAILURE) => Outcome::Reset,
        Some(RECOVERY_ON_TIMER_EXPIRY) => Outcome::NotSent,
        _ => Outcome::Busy,
    };
    let meta = line.meta().ok();
    let waited = meta.and_then(|meta| number(meta, "waited")).unwrap_or(0.0).clamp(0.0, MAX_WAIT_MS);
    let reason = match meta.and_then(|meta| text(meta, "note")).as_deref() {
        Some("group_full") => Reason::NoCircuit,
        Some("tandem_refused") => Reason::CrankBack,
        Some("destination_full") => Reason::DestinationFull,
        Some("processor_full") => Reason::ProcessorFull(waited),
        Some("user_busy") => Reason::UserBusy,
        _ => Reason::Unspecified,
    };
    (outcome, reason)
}

/// The values of `load`, such as `spare:27;total:137`. A missing value becomes NaN, which the decision module skips.
fn parse_load_report(line: &Line, field_names: &[String]) -> Option<LoadReport> {
    let load = text(line.meta().ok()?, "load")?;
    let value = |name: &String| {
        let pair = load.split(';').filter_map(|pair| pair.split_once(':')).find(|(key, _)| key == name);
        pair.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(f64::NAN)
    };
    Some(field_names.iter().map(value).collect())
}

/// Formats a string as JSON.
fn quoted(text: &str) -> String {
    JsonValue::String(text.to_owned()).stringify().unwrap_or_default()
}

fn format_line(kind: &str, call: CallUid, meta: &str, cause: Option<u8>, body: Option<&str>) -> Vec<u8> {
    let mut line = format!(r#"{{"kind":"{kind}","uid":"{}","meta":{{{meta}}}"#, call.as_str());
    if let Some(cause) = cause {
        let _ = write!(line, r#","reason":{cause}"#);
    }
    if let Some(body) = body {
        let _ = write!(line, r#","body":{}"#, quoted(body));
    }
    line.push_str("}\n");
    line.into_bytes()
}

fn rounded_ms(duration: Duration) -> u64 {
    duration_to_ms(duration).round() as u64
}

/// Formats a message to a caller as one line.
pub fn format_caller_message(call: CallUid, message: &CallerMessage) -> Vec<u8> {
    match message {
        CallerMessage::Answered { description } => {
            format_line("running", call, "", None, description.as_deref())
        }
        CallerMessage::Refused { retry_after } if retry_after.is_zero() => {
            format_line("stop", call, "", Some(NO_CIRCUIT), None)
        }
        CallerMessage::Refused { retry_after } => {
            let retry_after = format!(r#""wait":"{}""#, rounded_ms(*retry_after));
            format_line("stop", call, &retry_after, Some(NO_CIRCUIT), None)
        }
        CallerMessage::Failed { busy: true } => format_line("stop", call, "", Some(USER_BUSY), None),
        CallerMessage::Failed { busy: false } => format_line("stop", call, "", Some(TEMPORARY_FAILURE), None),
        CallerMessage::Released { cut } => {
            format_line("stop", call, "", Some(if *cut { TEMPORARY_FAILURE } else { NORMAL_CLEARING }), None)
        }
        CallerMessage::HealthCheckResult { passed } => {
            format_line("checked", call, "", Some((*passed).into()), None)
        }
    }
}

/// Formats a set-up as a caller sends it, without the line feed.
pub fn format_set_up(
    call: CallUid,
    class: &str,
    remaining: Duration,
    called_number: &str,
    dest: u32,
) -> String {
    let meta = format!(
        r#""class":{},"left":"{}","key":{},"extras":"dest:{dest};width:1;via:-1""#,
        quoted(class),
        rounded_ms(remaining),
        quoted(called_number)
    );
    let mut line = String::from_utf8(format_line("launch", call, &meta, None, Some(""))).unwrap_or_default();
    line.truncate(line.trim_end().len());
    line
}

/// Formats a message to an exchange as one line.
pub fn format_exchange_message(call: CallUid, message: &ExchangeMessage) -> Vec<u8> {
    match message {
        ExchangeMessage::SetUp { class, called_number, remaining, description } => {
            let mut meta = format!(r#""class":{}"#, quoted(class));
            if let Some(called_number) = called_number {
                let _ = write!(meta, r#","key":{}"#, quoted(called_number));
            }
            let _ = write!(meta, r#","left":"{}""#, rounded_ms(*remaining));
            format_line("launch", call, &meta, None, description.as_deref())
        }
        ExchangeMessage::Cancel => format_line("stop", call, "", Some(NORMAL_CLEARING), None),
        ExchangeMessage::Release { cause } => format_line("stop", call, "", Some(*cause), None),
        ExchangeMessage::Probe => format_line("check", call, "", Some(1), None),
    }
}

/// Splits a stream of bytes into lines. Of a line that is too long, it buffers no more than the maximum length and the
/// bytes of one `push`.
#[derive(Debug, Default)]
pub struct LineSplitter {
    buffer: Vec<u8>,
    /// Whether the rest of a line that is too long is being skipped.
    skipping: bool,
}

/// A complete line, or the start of one that is too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SplitLine {
    /// A complete line, without its line feed.
    Complete(Vec<u8>),
    /// The first bytes of a line that is too long.
    TooLong(Vec<u8>),
}

impl LineSplitter {
    /// Adds received bytes and calls `each` for every line that they complete or make too long, until `each` returns
    /// `Break`. Blank lines are skipped.
    pub fn push(
        &mut self,
        mut bytes: &[u8],
        mut each: impl FnMut(SplitLine) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        while !bytes.is_empty() {
            let end = bytes.iter().position(|b| *b == b'\n');
            let (part, rest) = match end {
                Some(end) => (&bytes[..end], &bytes[end + 1..]),
                None => (bytes, &[][..]),
            };
            bytes = rest;
            if !self.skipping {
                self.buffer.extend_from_slice(part);
                if self.buffer.len() >= MAX_LINE_BYTES {
                    self.skipping = true;
                    each(SplitLine::TooLong(std::mem::take(&mut self.buffer)))?;
                }
            }
            if end.is_some() {
                let line = std::mem::take(&mut self.buffer);
                if !std::mem::take(&mut self.skipping) && !line.trim_ascii().is_empty() {
                    each(SplitLine::Complete(line))?;
                }
            }
        }
        ControlFlow::Continue(())
    }

    /// Memory that the incomplete line takes up, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether an incomplete line is buffered, or the rest of one that is too long is still awaited.
    pub fn has_partial_line(&self) -> bool {
        self.skipping || !self.buffer.is_empty()
    }
}
