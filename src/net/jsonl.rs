//! The platform's JSON lines: what a line means, and how one is written. No sockets here.

use std::collections::HashMap;
use std::fmt::Write;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use thiserror::Error;
use tinyjson::JsonValue;

use crate::config::parse_json;
use crate::engine::{CallUid, CallerMessage, ExchangeMessage, SetUp, duration_from_ms, duration_to_ms};
use crate::interface::{LoadReport, Outcome, Reason};

/// No message holds more bytes than this.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// Longest wait at a processor that an exchange can mean: a spoilt figure must not shut it out for good.
const LONGEST_WAIT_MS: f64 = 60_000.0;

/// Cause of a normal end.
const NORMAL: u8 = 16;

/// What is wrong with a line.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LineError {
    /// It is wrong, but the call is named that it is about.
    #[error("malformed, of call {0:?}")]
    Malformed(CallUid),
    /// It cannot be read.
    #[error("malformed")]
    Unreadable,
}

/// A line from a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerLine {
    /// A set-up.
    SetUp(CallUid, SetUp),
    /// A set-up given up, or a release.
    Stop(CallUid, u8),
    /// A test.
    Check(CallUid),
    /// Something free that means nothing here.
    Ignored,
}

/// A line from an exchange.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeLine {
    /// The call stands.
    Answered(CallUid, Option<Arc<str>>),
    /// A release, before or after the answer.
    Stop(CallUid, Outcome, Reason),
    /// State of the group.
    Usage(LoadReport),
    /// Answer to a test.
    Checked(bool, Option<LoadReport>),
    /// Something free that means nothing here.
    Ignored,
}

type Object = HashMap<String, JsonValue>;

struct Line {
    kind: String,
    call: CallUid,
    fields: Object,
}

/// A field that may be a string or a number, as text.
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
    fn read(line: &[u8]) -> Result<Self, LineError> {
        // What cannot be read as a whole may still name its call.
        let lost = || find_call_uid(line).map_or(LineError::Unreadable, LineError::Malformed);
        let text = std::str::from_utf8(line).map_err(|_| lost())?;
        let Ok(JsonValue::Object(fields)) = parse_json(text) else { return Err(lost()) };
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

/// The call that a line names which cannot be read: malformed, or cut at the longest length.
pub fn find_call_uid(line: &[u8]) -> Option<CallUid> {
    let line = &line[..line.len().min(MAX_LINE_BYTES)];
    let at = line.windows(5).position(|w| w == b"\"uid\"")?;
    let mut rest = line[at + 5..].trim_ascii_start().strip_prefix(b":")?.trim_ascii_start();
    rest = rest.strip_prefix(b"\"")?;
    CallUid::parse(std::str::from_utf8(rest.get(..16)?).ok()?)
}

/// Reads a line from a caller.
///
/// # Errors
/// If it is malformed; the error names the call if the line does.
pub fn parse_caller_line(line: &[u8], received: SystemTime) -> Result<CallerLine, LineError> {
    let line = Line::read(line)?;
    Ok(match line.kind.as_str() {
        "launch" => CallerLine::SetUp(line.call, read_setup(&line, received)?),
        "stop" => CallerLine::Stop(line.call, line.cause().unwrap_or(NORMAL)),
        "check" => CallerLine::Check(line.call),
        _ => CallerLine::Ignored,
    })
}

fn read_setup(line: &Line, received: SystemTime) -> Result<SetUp, LineError> {
    let wrong = || LineError::Malformed(line.call);
    let meta = line.meta()?;
    let extras = text(meta, "extras").ok_or_else(wrong)?;
    // A figure that is there must be one that a caller can mean: what is made up for a wrong one would go to
    // an exchange as if it were good.
    let figure = |name: &str, range: std::ops::RangeInclusive<f64>| {
        let pair = extras.split(';').filter_map(|pair| pair.split_once(':')).find(|(key, _)| *key == name);
        let value = pair.map(|(_, value)| value.trim().parse::<f64>().map_err(|_| wrong())).transpose()?;
        match value {
            Some(value) if !range.contains(&value) || value.fract() != 0.0 => Err(wrong()),
            value => Ok(value),
        }
    };
    let flag = |name: &str| Ok(figure(name, 0.0..=1.0)?.is_some_and(|n| n != 0.0));
    let transit = flag("transit")?;
    let via = figure("via", -1.0..=65_535.0)?.filter(|n| *n >= 0.0).map(|n| n as u32);
    Ok(SetUp {
        class: text(meta, "class").ok_or_else(wrong)?,
        received,
        remaining: Some(duration_from_ms(number(meta, "left").filter(|n| *n >= 0.0).ok_or_else(wrong)?)),
        called_number: Some(read_key(meta).ok_or_else(wrong)?),
        dest: figure("dest", 0.0..=65_535.0)?.ok_or_else(wrong)? as u32,
        width: figure("width", 1.0..=65_535.0)?,
        transit_from: transit.then(|| via.unwrap_or(u32::MAX)),
        advised_route: if transit { None } else { via },
        was_cut: flag("again")?,
        description: Some(line.body()?.ok_or_else(wrong)?),
    })
}

/// The number called, which must go on as it came: a JSON number only where it is whole and exact.
fn read_key(meta: &Object) -> Option<String> {
    match meta.get("key")? {
        JsonValue::String(key) => Some(key.clone()),
        JsonValue::Number(key) if key.fract() == 0.0 && (0.0..9e15).contains(key) => Some(key.to_string()),
        _ => None,
    }
}

/// Reads a line from an exchange; a report has its values in the order of these names.
///
/// # Errors
/// If it is malformed, or nothing that an exchange says: an answer without a description, a release without
/// a cause, an unknown type.
pub fn parse_exchange_line(line: &[u8], report: &[String]) -> Result<ExchangeLine, LineError> {
    let line = Line::read(line)?;
    let wrong = || LineError::Malformed(line.call);
    Ok(match line.kind.as_str() {
        "running" => ExchangeLine::Answered(line.call, Some(line.body()?.ok_or_else(wrong)?)),
        "stop" => {
            line.cause().ok_or_else(wrong)?;
            let (outcome, reason) = read_end(&line);
            ExchangeLine::Stop(line.call, outcome, reason)
        }
        "usage" => read_report(&line, report).map_or(ExchangeLine::Ignored, ExchangeLine::Usage),
        "checked" => ExchangeLine::Checked(line.cause() == Some(1), read_report(&line, report)),
        "staging" | "stopped" => ExchangeLine::Ignored,
        _ => return Err(wrong()),
    })
}

/// How a release ends a call. Which of them stand for an end before the answer and which for one after it is
/// for the engine to say, which knows whether there was one.
fn read_end(line: &Line) -> (Outcome, Reason) {
    let outcome = match line.cause() {
        Some(NORMAL) => Outcome::Completed,
        Some(34) => Outcome::Congested,
        Some(41) => Outcome::Reset,
        Some(102) => Outcome::NotSent,
        _ => Outcome::Busy,
    };
    let meta = line.meta().ok();
    let waited = meta.and_then(|meta| number(meta, "waited")).unwrap_or(0.0).clamp(0.0, LONGEST_WAIT_MS);
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

/// The values of `load`, such as `spare:27;total:137`. What is missing is no number, which the module skips.
fn read_report(line: &Line, names: &[String]) -> Option<LoadReport> {
    let load = text(line.meta().ok()?, "load")?;
    let value = |name: &String| {
        let pair = load.split(';').filter_map(|pair| pair.split_once(':')).find(|(key, _)| key == name);
        pair.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(f64::NAN)
    };
    Some(names.iter().map(value).collect())
}

/// A string as JSON.
fn quoted(text: &str) -> String {
    JsonValue::String(text.to_owned()).stringify().unwrap_or_default()
}

fn line(kind: &str, call: CallUid, meta: &str, cause: Option<u8>, body: Option<&str>) -> Vec<u8> {
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

fn whole_millis(span: Duration) -> u64 {
    duration_to_ms(span).round() as u64
}

/// A line to a caller.
pub fn format_caller_message(call: CallUid, word: &CallerMessage) -> Vec<u8> {
    match word {
        CallerMessage::Answered { description } => line("running", call, "", None, description.as_deref()),
        CallerMessage::Refused { retry_after } if retry_after.is_zero() => {
            line("stop", call, "", Some(34), None)
        }
        CallerMessage::Refused { retry_after } => {
            let retry_after = format!(r#""wait":"{}""#, whole_millis(*retry_after));
            line("stop", call, &retry_after, Some(34), None)
        }
        CallerMessage::Failed { busy: true } => line("stop", call, "", Some(17), None),
        CallerMessage::Failed { busy: false } => line("stop", call, "", Some(41), None),
        CallerMessage::Released { cut } => line("stop", call, "", Some(if *cut { 41 } else { NORMAL }), None),
        CallerMessage::HealthCheckResult { passed } => {
            line("checked", call, "", Some((*passed).into()), None)
        }
    }
}

/// A set-up as a caller of the platform writes it, without its line feed.
pub fn format_set_up(call: CallUid, class: &str, left: Duration, key: &str, dest: u32) -> String {
    let meta = format!(
        r#""class":{},"left":"{}","key":{},"extras":"dest:{dest};width:1;via:-1""#,
        quoted(class),
        whole_millis(left),
        quoted(key)
    );
    let mut line = String::from_utf8(line("launch", call, &meta, None, Some(""))).unwrap_or_default();
    line.truncate(line.trim_end().len());
    line
}

/// A line to an exchange.
pub fn format_exchange_message(call: CallUid, word: &ExchangeMessage) -> Vec<u8> {
    match word {
        ExchangeMessage::SetUp { class, called_number, remaining, description } => {
            let mut meta = format!(r#""class":{}"#, quoted(class));
            if let Some(called_number) = called_number {
                let _ = write!(meta, r#","key":{}"#, quoted(called_number));
            }
            let _ = write!(meta, r#","left":"{}""#, whole_millis(*remaining));
            line("launch", call, &meta, None, description.as_deref())
        }
        ExchangeMessage::Cancel => line("stop", call, "", Some(NORMAL), None),
        ExchangeMessage::Release { cause } => line("stop", call, "", Some(*cause), None),
        ExchangeMessage::Probe => line("check", call, "", Some(1), None),
    }
}

/// Cuts a stream of bytes into lines, and holds no more than the longest one.
#[derive(Debug, Default)]
pub struct LineSplitter {
    buffer: Vec<u8>,
    /// The rest of an oversized line is passed over.
    skipping: bool,
}

/// A line, or the start of one that is too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SplitLine {
    /// A whole line, without its line feed.
    Complete(Vec<u8>),
    /// The first bytes of one that is too long.
    TooLong(Vec<u8>),
}

impl LineSplitter {
    /// Takes what has come and hands on each line that it completes, until one breaks it off.
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
                let whole = std::mem::take(&mut self.buffer);
                if !std::mem::take(&mut self.skipping) && !whole.trim_ascii().is_empty() {
                    each(SplitLine::Complete(whole))?;
                }
            }
        }
        ControlFlow::Continue(())
    }

    /// Whether a line has begun that has not ended.
    pub fn has_begun(&self) -> bool {
        self.skipping || !self.buffer.is_empty()
    }
}
