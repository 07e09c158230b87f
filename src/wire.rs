//! Codec of the simulator's wire: frames of binary records, and the start-up settings.
//!
//! Reading is strict: a short frame, a length that does not fit, a tail reference out of range or an unknown
//! code is an error and never a guess. Unknown settings keys are skipped. Nothing is decided here.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut};
use thiserror::Error;

use crate::config::report_field;
use crate::interface::{
    Action, Class, Event, ExchangeId, ListUpdateKind, ListedExchange, LoadReport, LoadReportMode, NewCall,
    Outcome, Readiness, Reason, ReportField, Settings, Tenant,
};

const HEADER_BYTES: usize = 16;
const REPLY_HEADER_BYTES: usize = 8;
const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
const ENTRY_BYTES: usize = 25;
const EVERY_PEER: u32 = u32::MAX;

/// What is wrong with a frame or with the settings.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// A frame ends before its time.
    #[error("frame is short: {0}")]
    Short(&'static str),
    /// The record count and the length do not agree.
    #[error("frame says {records} records but only {bytes} bytes follow the header")]
    Length {
        /// Records announced.
        records: u32,
        /// Bytes announced.
        bytes: u32,
    },
    /// The clock is not a number.
    #[error("the clock of the batch is not a finite number")]
    Clock,
    /// A reference points outside the tail.
    #[error("{what}: {length} bytes at {offset} lie outside the tail of {tail} bytes")]
    Tail {
        /// The field.
        what: &'static str,
        /// Offset given.
        offset: u32,
        /// Bytes needed.
        length: u64,
        /// Bytes there.
        tail: usize,
    },
    /// A code that the wire does not have.
    #[error("unknown {what} {code}")]
    Unknown {
        /// What the code stands for.
        what: &'static str,
        /// The code.
        code: u32,
    },
    /// A list event names a census that never came.
    #[error("membership names census {0}, which was never sent")]
    NoCensus(u32),
    /// An event came before any `TO`.
    #[error("event {0} came before any TO")]
    NoInstance(u16),
    /// A settings key that a decision needs is missing.
    #[error("settings: key {0} is missing")]
    MissingKey(String),
    /// A settings value cannot be read or makes no sense.
    #[error("settings: key {key} has the value '{value}', {why}")]
    BadValue {
        /// The key.
        key: String,
        /// Its value.
        value: String,
        /// What is wrong.
        why: &'static str,
    },
    /// The settings are not text.
    #[error("settings are not UTF-8 text")]
    NotText,
}

/// One thing that happens to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The instance starts with this seed and these settings.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The instance is dead.
    Stop,
    /// Something for its controller.
    Event(Event),
}

/// Numbered lists of exchanges, which the whole process shares on the wire.
#[derive(Debug, Default)]
pub struct Banks(BTreeMap<u32, Vec<ListedExchange>>);

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// Records in the batch.
    pub records: u32,
    /// Bytes after the header.
    pub bytes: u32,
    /// The clock, in ms.
    pub now_ms: f64,
}

impl Header {
    /// Bytes that a header takes.
    pub const BYTES: usize = HEADER_BYTES;

    /// Reads a header.
    ///
    /// # Errors
    /// If the records cannot fit in the bytes, or the clock is not finite.
    pub fn read(mut raw: &[u8]) -> Result<Self, WireError> {
        let r = &mut raw;
        let header = Self { records: u32_of(r)?, bytes: u32_of(r)?, now_ms: f64_of(r)? };
        if u64::from(header.records) * EVENT_BYTES as u64 > u64::from(header.bytes) {
            return Err(WireError::Length { records: header.records, bytes: header.bytes });
        }
        if !header.now_ms.is_finite() {
            return Err(WireError::Clock);
        }
        Ok(header)
    }
}

/// Reads the body of a batch and hands each message on, in order, with the instance it is for.
///
/// # Errors
/// At the first record that is malformed.
pub fn read_batch(
    header: Header,
    body: &[u8],
    banks: &mut Banks,
    mut each: impl FnMut(u16, Message),
) -> Result<(), WireError> {
    if body.len() != header.bytes as usize {
        return Err(WireError::Short("body"));
    }
    let split = header.records as usize * EVENT_BYTES;
    let (records, tail) = body.split_at_checked(split).ok_or(WireError::Short("records"))?;
    let mut instance = None;
    for record in records.chunks_exact(EVENT_BYTES) {
        let mut raw = record;
        let code = u16_of(&mut raw)?;
        match code {
            1030 => instance = Some(u16_of(&mut raw)?),
            1070 => read_census(&mut raw, tail, banks)?,
            _ => {
                let message = read_message(code, &mut raw, tail, banks)?;
                each(instance.ok_or(WireError::NoInstance(code))?, message);
            }
        }
    }
    Ok(())
}

fn read_census(r: &mut &[u8], tail: &[u8], banks: &mut Banks) -> Result<(), WireError> {
    let bank = u32_of(r)?;
    let (offset, count) = (u32_of(r)?, u32_of(r)?);
    let mut rows = slice(tail, offset, u64::from(count) * ENTRY_BYTES as u64, "census")?;
    let mut entries = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let started_ms = f64_of(&mut rows)?;
        let _nominal = f32_of(&mut rows)?;
        let (_sku, zone) = (u16_of(&mut rows)?, u16_of(&mut rows)?);
        let readiness = match u8_of(&mut rows)? {
            2 => Readiness::Ready,
            3 => Readiness::Draining,
            0 => Readiness::Removed,
            code => return Err(WireError::Unknown { what: "readiness", code: code.into() }),
        };
        let number = u16_of(&mut rows)?.into();
        entries.push(ListedExchange { id: exchange_of(&mut rows)?, number, zone, started_ms, readiness });
    }
    banks.0.insert(bank, entries);
    Ok(())
}

fn read_message(code: u16, r: &mut &[u8], tail: &[u8], banks: &Banks) -> Result<Message, WireError> {
    let event = match code {
        1090 => {
            let seed = u64_of(r)?;
            let text = std::str::from_utf8(blob(r, tail, "settings")?).map_err(|_| WireError::NotText)?;
            return Ok(Message::Start { seed, settings: Box::new(read_settings(text)?) });
        }
        1020 => return Ok(Message::Stop),
        1010 => {
            let bank = u32_of(r)?;
            let kind = match u8_of(r)? {
                0 => ListUpdateKind::Complete,
                1 => ListUpdateKind::FetchFailed,
                2 => ListUpdateKind::Changes,
                3 => ListUpdateKind::Cached,
                code => return Err(WireError::Unknown { what: "kind of list", code: code.into() }),
            };
            let entries = match kind {
                ListUpdateKind::FetchFailed => Vec::new(),
                _ => banks.0.get(&bank).ok_or(WireError::NoCensus(bank))?.clone(),
            };
            Event::List { kind, entries }
        }
        1080 => Event::Call(read_call(r)?),
        1040 => Event::Answered {
            call: u32_of(r)?,
            attempt: u8_of(r)?.into(),
            exchange: exchange_of(r)?,
            elapsed_ms: f64_of(r)?,
        },
        1100 => {
            let (call, attempt, exchange) = (u32_of(r)?, u8_of(r)?.into(), exchange_of(r)?);
            let outcome = outcome_of(u16_of(r)?)?;
            let elapsed_ms = f64_of(r)?;
            let call_closed = u8_of(r)? != 0;
            let reason = reason_of(u32_of(r)?);
            Event::AttemptEnded {
                call,
                attempt,
                exchange,
                outcome,
                reason,
                elapsed_ms,
                call_closed,
                report: report_of(r)?,
            }
        }
        1050 => Event::Abandoned { call: u32_of(r)? },
        1000 => Event::TimerExpired { tag: u64_of(r)? },
        1110 => {
            let (elapsed_ms, exchange) = (f64_of(r)?, exchange_of(r)?);
            let answered = outcome_of(u16_of(r)?)? == Outcome::Completed;
            Event::ProbeResult { exchange, answered, elapsed_ms, report: report_of(r)? }
        }
        1060 => Event::PeerMessage { from: u32_of(r)?, bytes: blob(r, tail, "peer message")?.to_vec() },
        code => return Err(WireError::Unknown { what: "event code", code: code.into() }),
    };
    Ok(Message::Event(event))
}

fn read_call(r: &mut &[u8]) -> Result<NewCall, WireError> {
    let call = u32_of(r)?;
    let _size_hint = f64_of(r)?;
    let bits = u16_of(r)?;
    let tenant = u16_of(r)?.into();
    let called_number = u64_of(r)?;
    let class = u8_of(r)?.into();
    let (route, width) = (f32_of(r)?, f32_of(r)?.into());
    let remaining_ms = f64_of(r)?;
    let dest = number_of(f32_of(r)?).unwrap_or(u32::MAX);
    let transit = bits & 8 != 0;
    Ok(NewCall {
        call,
        class,
        tenant,
        width,
        dest,
        called_number,
        remaining_ms,
        transit_from: transit.then(|| number_of(route).unwrap_or(u32::MAX)),
        advised_route: if transit { None } else { number_of(route) },
        redial: bits & 2 != 0,
        was_cut: bits & 16 != 0,
    })
}

fn outcome_of(code: u16) -> Result<Outcome, WireError> {
    Ok(match code {
        200 => Outcome::Completed,
        500 => Outcome::Busy,
        503 => Outcome::Congested,
        504 => Outcome::TimedOut,
        502 => Outcome::NoConnection,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::NotSent,
        code => return Err(WireError::Unknown { what: "completion code", code: code.into() }),
    })
}

fn reason_of(code: u32) -> Reason {
    match code % 16 {
        1 => Reason::NoCircuit,
        2 if code == 18 => Reason::DestinationFull,
        2 => Reason::CrankBack,
        3 => Reason::ProcessorFull(f64::from(code / 16)),
        4 => Reason::UserBusy,
        _ => Reason::Unspecified,
    }
}

fn report_of(r: &mut &[u8]) -> Result<Option<LoadReport>, WireError> {
    let count = usize::from(u8_of(r)?);
    if count > 4 {
        return Err(WireError::Unknown { what: "length of a load report", code: count as u32 });
    }
    let values: Vec<f64> = (0..count).map(|_| f32_of(r).map(f64::from)).collect::<Result<_, _>>()?;
    Ok((count > 0).then_some(values))
}

/// A number that came as a float; `None` for -1 and whatever names nothing.
fn number_of(value: f32) -> Option<u32> {
    (value >= 0.0 && value <= f32::from(u16::MAX)).then_some(value as u32)
}

fn exchange_of(r: &mut &[u8]) -> Result<ExchangeId, WireError> {
    let mut address = [0; 4];
    r.try_copy_to_slice(&mut address).map_err(|_| WireError::Short("exchange"))?;
    Ok(ExchangeId { address, port: u16_of(r)? })
}

fn blob<'a>(r: &mut &[u8], tail: &'a [u8], what: &'static str) -> Result<&'a [u8], WireError> {
    let (offset, length) = (u32_of(r)?, u32_of(r)?);
    slice(tail, offset, length.into(), what)
}

fn slice<'a>(tail: &'a [u8], offset: u32, length: u64, what: &'static str) -> Result<&'a [u8], WireError> {
    let outside = WireError::Tail { what, offset, length, tail: tail.len() };
    let end = u64::from(offset) + length;
    if end > tail.len() as u64 { Err(outside) } else { Ok(&tail[offset as usize..end as usize]) }
}

fn u8_of(r: &mut &[u8]) -> Result<u8, WireError> {
    r.try_get_u8().map_err(|_| WireError::Short("u8"))
}
fn u16_of(r: &mut &[u8]) -> Result<u16, WireError> {
    r.try_get_u16_le().map_err(|_| WireError::Short("u16"))
}
fn u32_of(r: &mut &[u8]) -> Result<u32, WireError> {
    r.try_get_u32_le().map_err(|_| WireError::Short("u32"))
}
fn u64_of(r: &mut &[u8]) -> Result<u64, WireError> {
    r.try_get_u64_le().map_err(|_| WireError::Short("u64"))
}
fn f32_of(r: &mut &[u8]) -> Result<f32, WireError> {
    r.try_get_f32_le().map_err(|_| WireError::Short("f32"))
}
fn f64_of(r: &mut &[u8]) -> Result<f64, WireError> {
    r.try_get_f64_le().map_err(|_| WireError::Short("f64"))
}

/// A reply under construction.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds the actions of one instance; nothing at all where there are none.
    pub fn push(&mut self, instance: u16, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        self.record(1120, |r, _| r.put_u16_le(instance));
        for action in actions {
            self.action(action);
        }
    }

    /// The finished frame; the reply is empty again after it.
    pub fn finish(&mut self) -> Vec<u8> {
        let count = (self.records.len() / ACTION_BYTES) as u32;
        let mut frame = Vec::with_capacity(REPLY_HEADER_BYTES + self.records.len() + self.tail.len());
        frame.put_u32_le((self.records.len() + self.tail.len()) as u32);
        frame.put_u32_le(count);
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        frame
    }

    fn record(&mut self, code: u16, fill: impl FnOnce(&mut Vec<u8>, &mut Vec<u8>)) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.put_u16_le(code);
        fill(&mut self.records, &mut self.tail);
        debug_assert!(self.records.len() <= end);
        self.records.resize(end, 0);
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Send { call, exchange, timeout_ms } => self.record(1000, |r, _| {
                r.put_u32_le(*call);
                r.put_f64_le(*timeout_ms);
                put_exchange(r, *exchange);
            }),
            Action::Refuse { call, retry_after_ms } => self.record(1010, |r, _| {
                r.put_u32_le(*call);
                r.put_f64_le(*retry_after_ms);
            }),
            Action::Fail { call } => self.record(1020, |r, _| r.put_u32_le(*call)),
            Action::Cancel { call, attempt } => self.record(1030, |r, _| {
                r.put_u32_le(*call);
                r.put_u8(*attempt as u8);
            }),
            Action::SetTimer { delay_ms, tag } => self.record(1040, |r, _| {
                r.put_f64_le(*delay_ms);
                r.put_u64_le(*tag);
            }),
            Action::Probe { exchange } => self.record(1050, |r, _| put_exchange(r, *exchange)),
            Action::SendPeerMessage { to, bytes } => self.record(1070, |r, tail| {
                r.put_u32_le(to.unwrap_or(EVERY_PEER));
                put_blob(r, tail, bytes);
            }),
            Action::Subscribe => self.record(1100, |r, _| r.put_u8(1)),
            Action::FetchList => self.record(1110, |_, _| ()),
            Action::Log { text } => self.record(1080, |r, tail| put_blob(r, tail, text.as_bytes())),
        }
    }
}

fn put_exchange(r: &mut Vec<u8>, exchange: ExchangeId) {
    r.put_slice(&exchange.address);
    r.put_u16_le(exchange.port);
}

fn put_blob(r: &mut Vec<u8>, tail: &mut Vec<u8>, bytes: &[u8]) {
    r.put_u32_le(tail.len() as u32);
    r.put_u32_le(bytes.len() as u32);
    tail.put_slice(bytes);
}

struct Keys<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Keys<'a> {
    fn text(&self, key: &str) -> Result<&'a str, WireError> {
        self.0.get(key).copied().ok_or_else(|| WireError::MissingKey(key.to_owned()))
    }

    fn number(&self, key: &str) -> Result<f64, WireError> {
        let value = self.text(key)?;
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(number),
            _ => Err(bad(key, value, "which is not a finite number")),
        }
    }

    fn at_least(&self, key: &str, least: f64) -> Result<f64, WireError> {
        let number = self.number(key)?;
        if number < least { Err(bad(key, self.text(key)?, "which is too small")) } else { Ok(number) }
    }

    fn count(&self, key: &str) -> Result<u32, WireError> {
        let value = self.text(key)?;
        value.parse().map_err(|_| bad(key, value, "which is not a count"))
    }

    fn flag(&self, key: &str) -> Result<bool, WireError> {
        match self.text(key)? {
            "true" => Ok(true),
            "false" => Ok(false),
            value => Err(bad(key, value, "which is neither true nor false")),
        }
    }

    fn numbers(&self, key: &str) -> Result<Vec<f64>, WireError> {
        let value = self.text(key)?;
        let parse = |part: &str| match part.trim().parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(number),
            _ => Err(bad(key, value, "which is not a list of numbers")),
        };
        value.split(',').filter(|part| !part.trim().is_empty()).map(parse).collect()
    }

    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, WireError> {
        let value = self.text(key)?;
        let found = choices.iter().find(|(name, _)| *name == value);
        found.map(|(_, choice)| *choice).ok_or_else(|| bad(key, value, "which is not one of the known words"))
    }
}

fn bad(key: &str, value: &str, why: &'static str) -> WireError {
    WireError::BadValue { key: key.to_owned(), value: value.to_owned(), why }
}

/// Reads start-up settings: `path=value` lines, unknown keys skipped.
///
/// # Errors
/// If a key that a decision needs is missing, unreadable or makes no sense; the error names it.
pub fn read_settings(text: &str) -> Result<Settings, WireError> {
    let keys = Keys(text.lines().filter_map(|line| line.split_once('=')).collect());
    let pools = keys.choice("specifics.shape", &[("meshed", false), ("groups", true)])?;
    let home = keys.number("specifics.homeOffice")?;
    let may_retry_after = keys.flag("policyLimits.retryAfter")?;
    let max_retry_after_ms = keys.at_least("policyLimits.maxRetryAfterMs", 0.0)?;
    Ok(Settings {
        agent_count: keys.count("balancers")?.max(1),
        self_index: keys.count("selfIndex")?,
        home: if pools { None } else { number_of(home as f32) },
        classes: read_classes(&keys, pools)?,
        tenants: read_tenants(&keys)?,
        over_quota_worth_factor: keys.at_least("overShareWorth", 0.0)?,
        must_fetch_list: keys.choice("discovery", &[("push", false), ("ask", true)])?,
        list_fetch_interval_ms: keys.at_least("invariants.askEveryMs", 0.0)?,
        report_fields: read_report_fields(&keys)?,
        load_report_mode: keys.choice(
            "specifics.farState",
            &[
                ("inline", LoadReportMode::Inline),
                ("on_probe", LoadReportMode::OnProbe),
                ("off", LoadReportMode::Off),
            ],
        )?,
        attempt_limit: keys.count("policyLimits.tryLimit")?,
        may_cancel: keys.flag("policyLimits.cancelling")?,
        may_probe: keys.flag("policyLimits.probes")?,
        may_message_peers: keys.flag("policyLimits.mayTell")?,
        max_retry_after_ms: if may_retry_after { max_retry_after_ms } else { 0.0 },
        drain_grace_ms: keys.at_least("invariants.stopSendingWithinMs", 0.0)?,
        release_pause_ms: keys.at_least("specifics.releaseMs", 0.0)?,
        cold_initial_capacity: keys.at_least("invariants.coldFrom", 0.0)?,
        cold_period_ms: keys.at_least("invariants.coldMs", 0.0)?,
        overload_factor: keys.at_least("invariants.fallMultiple", 0.0)?,
        overload_duration_ms: keys.at_least("invariants.tipAfterMs", 0.0)?,
        retransmit_ms: keys.at_least("specifics.resendMs", 0.0)?,
        tick_ms: keys.at_least("tickMs", 0.0)?,
    })
}

fn read_classes(keys: &Keys<'_>, pools: bool) -> Result<Vec<Class>, WireError> {
    let count = keys.count("classes.count")?;
    let widths = keys.numbers("specifics.channelsNeeded")?;
    let holds = keys.numbers("specifics.classHoldMs")?;
    (0..count)
        .map(|i| {
            let key = |name: &str| format!("classes.{i}.{name}");
            let listed = |values: &[f64], key: &str| {
                let value = values.get(i as usize).copied().filter(|value| *value > 0.0);
                value.ok_or_else(|| bad(key, keys.0.get(key).unwrap_or(&""), "which lacks a class"))
            };
            Ok(Class {
                target_setup_ms: keys.at_least(&key("aimMs"), 0.0)?,
                worth: keys.at_least(&key("worth"), 0.0)?,
                late_worth_factor: keys.at_least(&key("lateShare"), 0.0)?,
                width: listed(&widths, "specifics.channelsNeeded")?,
                mean_hold_ms: listed(&holds, "specifics.classHoldMs")?,
                idempotent: keys
                    .choice(&key("semantics"), &[("pure", true), ("token", false), ("side_effect", false)])?,
                pools: if pools { read_cells(keys, i)? } else { Vec::new() },
            })
        })
        .collect()
}

/// The pools of one class; a list of lists may come as one key a class or as one value with separators.
fn read_cells(keys: &Keys<'_>, class: u32) -> Result<Vec<u32>, WireError> {
    let key = format!("specifics.classCells.{class}");
    let numbers = if keys.0.contains_key(key.as_str()) { keys.numbers(&key)? } else { Vec::new() };
    Ok(numbers.into_iter().filter_map(|number| number_of(number as f32)).collect())
}

fn read_tenants(keys: &Keys<'_>) -> Result<Vec<Tenant>, WireError> {
    let count = if keys.0.contains_key("tenants.count") { keys.count("tenants.count")? } else { 0 };
    (0..count)
        .map(|i| Ok(Tenant { quota_per_s: keys.at_least(&format!("tenants.{i}.quotaRps"), 0.0)? }))
        .collect()
}

fn read_report_fields(keys: &Keys<'_>) -> Result<Vec<ReportField>, WireError> {
    let names = keys.text("report.fields")?.split(',').filter(|name| !name.is_empty());
    Ok(names.map(report_field).collect())
}
