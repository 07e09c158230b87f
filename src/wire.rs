//! Codec of the simulator's protocol: frames of binary records, and the settings that a controller starts
//! with.
//!
//! A batch is a header, records of a fixed size, and a tail that holds the parts of variable length; records
//! refer to the tail by offset and length. A record begins with its code; batches and replies have separate
//! codes. All integers and floats are little-endian. Decoding is strict: a frame that is too short, a length
//! that does not fit, a reference outside the tail or an unknown code is an error. Unknown settings keys are
//! ignored. Nothing is decided here.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut};
use thiserror::Error;

use crate::config::report_field;
use crate::interface::{
    Action, Class, Event, ExchangeId, ListUpdateKind, ListedExchange, LoadReport, LoadReportMode, NewCall,
    Outcome, Readiness, Reason, ReportField, Settings, Tenant,
};

/// Size of the header of a batch.
const BATCH_HEADER_BYTES: usize = 16;
/// Size of the header of a reply.
const REPLY_HEADER_BYTES: usize = 8;
/// Size of a record of a batch.
const BATCH_RECORD_BYTES: usize = 48;
/// Size of a record of a reply.
const REPLY_RECORD_BYTES: usize = 24;
/// Size of an entry of a list of exchanges.
const LIST_ENTRY_BYTES: usize = 25;
/// Maximum number of values of a load report.
const MAX_REPORT_VALUES: usize = 4;
/// Index that addresses a message to every peer.
const EVERY_PEER: u32 = u32::MAX;

/// What is wrong with a frame or with the settings.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// A frame ends before the named part is complete.
    #[error("frame is too short: {0}")]
    TooShort(&'static str),
    /// The records do not fit into the length of the frame.
    #[error("{records} records do not fit into the {bytes} bytes that follow the header")]
    RecordsExceedLength {
        /// Number of records that the header gives.
        records: u32,
        /// Number of bytes that the header gives.
        bytes: u32,
    },
    /// The time of a batch is not a finite number.
    #[error("the time of the batch is not a finite number")]
    TimeNotFinite,
    /// A reference points outside the tail.
    #[error("{what}: {length} bytes at offset {offset} are outside the tail of {tail} bytes")]
    OutsideTail {
        /// What the reference is for.
        what: &'static str,
        /// Offset in the tail.
        offset: u32,
        /// Number of bytes.
        length: u64,
        /// Size of the tail.
        tail: usize,
    },
    /// A code that the protocol does not define.
    #[error("unknown {what} {code}")]
    UnknownCode {
        /// Kind of code.
        what: &'static str,
        /// The code.
        code: u32,
    },
    /// A list event refers to a stored list that was not sent.
    #[error("list event refers to list {0}, which was not sent")]
    NoList(u32),
    /// A record for an instance came before any record that selects the instance.
    #[error("record {0} came before an instance was selected")]
    NoInstance(u16),
    /// A required settings key is missing.
    #[error("settings: key {0} is missing")]
    MissingKey(String),
    /// A settings value is invalid.
    #[error("settings: key {key} has the value '{value}', {problem}")]
    InvalidValue {
        /// The key.
        key: String,
        /// Its value.
        value: String,
        /// Why it is invalid.
        problem: &'static str,
    },
    /// The settings are not valid UTF-8.
    #[error("settings are not valid UTF-8")]
    NotUtf8,
}

/// Message to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The instance starts, or starts again without state.
    Start {
        /// Seed of its random generator.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The instance ends and loses its state.
    Stop,
    /// An event for its controller.
    Event(Event),
}

/// Lists of exchanges by index, shared by all instances of the process. A list event refers to the list that
/// was last sent with its index.
#[derive(Debug, Default)]
pub struct ExchangeLists(BTreeMap<u32, Vec<ListedExchange>>);

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// Number of records in the batch.
    pub records: u32,
    /// Number of bytes after the header.
    pub bytes: u32,
    /// Time of all events of the batch, in ms.
    pub now_ms: f64,
}

impl Header {
    /// Size of a header.
    pub const BYTES: usize = BATCH_HEADER_BYTES;

    /// Decodes a header.
    ///
    /// # Errors
    /// If the data is too short, the records do not fit into the bytes, or the time is not finite.
    pub fn read(mut raw: &[u8]) -> Result<Self, WireError> {
        let data = &mut raw;
        let header = Self { records: read_u32(data)?, bytes: read_u32(data)?, now_ms: read_f64(data)? };
        if u64::from(header.records) * BATCH_RECORD_BYTES as u64 > u64::from(header.bytes) {
            return Err(WireError::RecordsExceedLength { records: header.records, bytes: header.bytes });
        }
        if !header.now_ms.is_finite() {
            return Err(WireError::TimeNotFinite);
        }
        Ok(header)
    }
}

/// Decodes the body of a batch and passes each message, in order and with its instance, to `handle`.
///
/// # Errors
/// At the first malformed record; the messages before it have been handled.
pub fn read_batch(
    header: Header,
    body: &[u8],
    lists: &mut ExchangeLists,
    mut handle: impl FnMut(u16, Message),
) -> Result<(), WireError> {
    if body.len() != header.bytes as usize {
        return Err(WireError::TooShort("body"));
    }
    let split = header.records as usize * BATCH_RECORD_BYTES;
    let (records, tail) = body.split_at_checked(split).ok_or(WireError::TooShort("records"))?;
    let mut instance = None;
    for record in records.chunks_exact(BATCH_RECORD_BYTES) {
        let mut raw = record;
        let code = read_u16(&mut raw)?;
        match code {
            // Selects the instance for the records that follow.
            1030 => instance = Some(read_u16(&mut raw)?),
            1070 => read_list(&mut raw, tail, lists)?,
            _ => {
                let message = read_message(code, &mut raw, tail, lists)?;
                handle(instance.ok_or(WireError::NoInstance(code))?, message);
            }
        }
    }
    Ok(())
}

fn read_list(data: &mut &[u8], tail: &[u8], lists: &mut ExchangeLists) -> Result<(), WireError> {
    let index = read_u32(data)?;
    let (offset, count) = (read_u32(data)?, read_u32(data)?);
    let mut entry_data =
        tail_slice(tail, offset, u64::from(count) * LIST_ENTRY_BYTES as u64, "list of exchanges")?;
    let mut entries = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let started_ms = read_f64(&mut entry_data)?;
        let _nominal = read_f32(&mut entry_data)?;
        let (_sku, zone) = (read_u16(&mut entry_data)?, read_u16(&mut entry_data)?);
        let readiness = match read_u8(&mut entry_data)? {
            2 => Readiness::Ready,
            3 => Readiness::Draining,
            0 => Readiness::Removed,
            code => return Err(WireError::UnknownCode { what: "readiness", code: code.into() }),
        };
        let number = read_u16(&mut entry_data)?.into();
        entries.push(ListedExchange {
            id: read_exchange(&mut entry_data)?,
            number,
            zone,
            started_ms,
            readiness,
        });
    }
    lists.0.insert(index, entries);
    Ok(())
}

fn read_message(
    code: u16,
    data: &mut &[u8],
    tail: &[u8],
    lists: &ExchangeLists,
) -> Result<Message, WireError> {
    let event = match code {
        1090 => {
            let seed = read_u64(data)?;
            let text = std::str::from_utf8(read_tail_ref(data, tail, "settings")?)
                .map_err(|_| WireError::NotUtf8)?;
            return Ok(Message::Start { seed, settings: Box::new(read_settings(text)?) });
        }
        1020 => return Ok(Message::Stop),
        1010 => {
            let index = read_u32(data)?;
            let kind = match read_u8(data)? {
                0 => ListUpdateKind::Complete,
                1 => ListUpdateKind::FetchFailed,
                2 => ListUpdateKind::Changes,
                3 => ListUpdateKind::Cached,
                code => {
                    return Err(WireError::UnknownCode { what: "kind of list update", code: code.into() });
                }
            };
            let entries = match kind {
                ListUpdateKind::FetchFailed => Vec::new(),
                _ => lists.0.get(&index).ok_or(WireError::NoList(index))?.clone(),
            };
            Event::List { kind, entries }
        }
        1080 => Event::Call(read_call(data)?),
        1040 => Event::Answered {
            call: read_u32(data)?,
            attempt: read_u8(data)?.into(),
            exchange: read_exchange(data)?,
            elapsed_ms: read_f64(data)?,
        },
        1100 => {
            let (call, attempt, exchange) = (read_u32(data)?, read_u8(data)?.into(), read_exchange(data)?);
            let outcome = outcome_from_code(read_u16(data)?)?;
            let elapsed_ms = read_f64(data)?;
            let call_closed = read_u8(data)? != 0;
            let reason = reason_from_code(read_u32(data)?);
            Event::AttemptEnded {
                call,
                attempt,
                exchange,
                outcome,
                reason,
                elapsed_ms,
                call_closed,
                report: read_load_report(data)?,
            }
        }
        1050 => Event::Abandoned { call: read_u32(data)? },
        1000 => Event::TimerExpired { tag: read_u64(data)? },
        1110 => {
            let (elapsed_ms, exchange) = (read_f64(data)?, read_exchange(data)?);
            let answered = outcome_from_code(read_u16(data)?)? == Outcome::Completed;
            Event::ProbeResult { exchange, answered, elapsed_ms, report: read_load_report(data)? }
        }
        1060 => Event::PeerMessage {
            from: read_u32(data)?,
            bytes: read_tail_ref(data, tail, "peer message")?.to_vec(),
        },
        code => return Err(WireError::UnknownCode { what: "record", code: code.into() }),
    };
    Ok(Message::Event(event))
}

fn read_call(data: &mut &[u8]) -> Result<NewCall, WireError> {
    let call = read_u32(data)?;
    let _size_hint = read_f64(data)?;
    let flags = read_u16(data)?;
    let tenant = read_u16(data)?.into();
    let called_number = read_u64(data)?;
    let class = read_u8(data)?.into();
    let (route, width) = (read_f32(data)?, read_f32(data)?.into());
    let remaining_ms = read_f64(data)?;
    let dest = exchange_number(read_f32(data)?).unwrap_or(u32::MAX);
    let transit = flags & 8 != 0;
    Ok(NewCall {
        call,
        class,
        tenant,
        width,
        dest,
        called_number,
        remaining_ms,
        transit_from: transit.then(|| exchange_number(route).unwrap_or(u32::MAX)),
        advised_route: if transit { None } else { exchange_number(route) },
        redial: flags & 2 != 0,
        was_cut: flags & 16 != 0,
    })
}

fn outcome_from_code(code: u16) -> Result<Outcome, WireError> {
    Ok(match code {
        200 => Outcome::Completed,
        500 => Outcome::Busy,
        503 => Outcome::Congested,
        504 => Outcome::TimedOut,
        502 => Outcome::NoConnection,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::NotSent,
        code => return Err(WireError::UnknownCode { what: "outcome", code: code.into() }),
    })
}

/// The reason is in the lower four bits, the wait of a full processor in ms in the others. A crank-back has a 1 in the
/// others if the destination was full.
fn reason_from_code(code: u32) -> Reason {
    match code % 16 {
        1 => Reason::NoCircuit,
        2 if code == 18 => Reason::DestinationFull,
        2 => Reason::CrankBack,
        3 => Reason::ProcessorFull(f64::from(code / 16)),
        4 => Reason::UserBusy,
        _ => Reason::Unspecified,
    }
}

fn read_load_report(data: &mut &[u8]) -> Result<Option<LoadReport>, WireError> {
    let count = usize::from(read_u8(data)?);
    if count > MAX_REPORT_VALUES {
        return Err(WireError::UnknownCode { what: "length of a load report", code: count as u32 });
    }
    let values: Vec<f64> = (0..count).map(|_| read_f32(data).map(f64::from)).collect::<Result<_, _>>()?;
    Ok((count > 0).then_some(values))
}

/// A number of an exchange, which is sent as a float; `None` for -1 and other values out of range.
fn exchange_number(value: f32) -> Option<u32> {
    (value >= 0.0 && value <= f32::from(u16::MAX)).then_some(value as u32)
}

fn read_exchange(data: &mut &[u8]) -> Result<ExchangeId, WireError> {
    let mut address = [0; 4];
    data.try_copy_to_slice(&mut address).map_err(|_| WireError::TooShort("exchange"))?;
    Ok(ExchangeId { address, port: read_u16(data)? })
}

/// The part of the tail that a record refers to.
fn read_tail_ref<'a>(data: &mut &[u8], tail: &'a [u8], what: &'static str) -> Result<&'a [u8], WireError> {
    let (offset, length) = (read_u32(data)?, read_u32(data)?);
    tail_slice(tail, offset, length.into(), what)
}

fn tail_slice<'a>(
    tail: &'a [u8],
    offset: u32,
    length: u64,
    what: &'static str,
) -> Result<&'a [u8], WireError> {
    let outside = WireError::OutsideTail { what, offset, length, tail: tail.len() };
    let end = u64::from(offset) + length;
    if end > tail.len() as u64 { Err(outside) } else { Ok(&tail[offset as usize..end as usize]) }
}

fn read_u8(data: &mut &[u8]) -> Result<u8, WireError> {
    data.try_get_u8().map_err(|_| WireError::TooShort("u8"))
}
fn read_u16(data: &mut &[u8]) -> Result<u16, WireError> {
    data.try_get_u16_le().map_err(|_| WireError::TooShort("u16"))
}
fn read_u32(data: &mut &[u8]) -> Result<u32, WireError> {
    data.try_get_u32_le().map_err(|_| WireError::TooShort("u32"))
}
fn read_u64(data: &mut &[u8]) -> Result<u64, WireError> {
    data.try_get_u64_le().map_err(|_| WireError::TooShort("u64"))
}
fn read_f32(data: &mut &[u8]) -> Result<f32, WireError> {
    data.try_get_f32_le().map_err(|_| WireError::TooShort("f32"))
}
fn read_f64(data: &mut &[u8]) -> Result<f64, WireError> {
    data.try_get_f64_le().map_err(|_| WireError::TooShort("f64"))
}

/// Encoder of a reply.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds the actions of one instance. Without actions, the instance is not mentioned.
    pub fn push(&mut self, instance: u16, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        self.push_record(1120, |record, _| record.put_u16_le(instance));
        for action in actions {
            self.push_action(action);
        }
    }

    /// Returns the frame and empties the encoder for the next reply.
    pub fn finish(&mut self) -> Vec<u8> {
        let count = (self.records.len() / REPLY_RECORD_BYTES) as u32;
        let mut frame = Vec::with_capacity(REPLY_HEADER_BYTES + self.records.len() + self.tail.len());
        frame.put_u32_le((self.records.len() + self.tail.len()) as u32);
        frame.put_u32_le(count);
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        frame
    }

    fn push_record(&mut self, code: u16, fill: impl FnOnce(&mut Vec<u8>, &mut Vec<u8>)) {
        let end = self.records.len() + REPLY_RECORD_BYTES;
        self.records.put_u16_le(code);
        fill(&mut self.records, &mut self.tail);
        debug_assert!(self.records.len() <= end);
        self.records.resize(end, 0);
    }

    fn push_action(&mut self, action: &Action) {
        match action {
            Action::Send { call, exchange, timeout_ms } => self.push_record(1000, |record, _| {
                record.put_u32_le(*call);
                record.put_f64_le(*timeout_ms);
                put_exchange(record, *exchange);
            }),
            Action::Refuse { call, retry_after_ms } => self.push_record(1010, |record, _| {
                record.put_u32_le(*call);
                record.put_f64_le(*retry_after_ms);
            }),
            Action::Fail { call } => self.push_record(1020, |record, _| record.put_u32_le(*call)),
            Action::Cancel { call, attempt } => self.push_record(1030, |record, _| {
                record.put_u32_le(*call);
                record.put_u8(*attempt as u8);
            }),
            Action::SetTimer { delay_ms, tag } => self.push_record(1040, |record, _| {
                record.put_f64_le(*delay_ms);
                record.put_u64_le(*tag);
            }),
            Action::Probe { exchange } => self.push_record(1050, |record, _| put_exchange(record, *exchange)),
            Action::SendPeerMessage { to, bytes } => self.push_record(1070, |record, tail| {
                record.put_u32_le(to.unwrap_or(EVERY_PEER));
                put_tail_ref(record, tail, bytes);
            }),
            Action::Subscribe => self.push_record(1100, |record, _| record.put_u8(1)),
            Action::FetchList => self.push_record(1110, |_, _| ()),
            Action::Log { text } => {
                self.push_record(1080, |record, tail| put_tail_ref(record, tail, text.as_bytes()))
            }
        }
    }
}

fn put_exchange(record: &mut Vec<u8>, exchange: ExchangeId) {
    record.put_slice(&exchange.address);
    record.put_u16_le(exchange.port);
}

fn put_tail_ref(record: &mut Vec<u8>, tail: &mut Vec<u8>, bytes: &[u8]) {
    record.put_u32_le(tail.len() as u32);
    record.put_u32_le(bytes.len() as u32);
    tail.put_slice(bytes);
}

/// Settings as text, by key.
struct Keys<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Keys<'a> {
    fn text(&self, key: &str) -> Result<&'a str, WireError> {
        self.0.get(key).copied().ok_or_else(|| WireError::MissingKey(key.to_owned()))
    }

    fn number(&self, key: &str) -> Result<f64, WireError> {
        let value = self.text(key)?;
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(number),
            _ => Err(invalid(key, value, "which is not a finite number")),
        }
    }

    fn at_least(&self, key: &str, min: f64) -> Result<f64, WireError> {
        let number = self.number(key)?;
        if number < min { Err(invalid(key, self.text(key)?, "which is too small")) } else { Ok(number) }
    }

    fn count(&self, key: &str) -> Result<u32, WireError> {
        let value = self.text(key)?;
        value.parse().map_err(|_| invalid(key, value, "which is not a whole number from 0"))
    }

    fn flag(&self, key: &str) -> Result<bool, WireError> {
        match self.text(key)? {
            "true" => Ok(true),
            "false" => Ok(false),
            value => Err(invalid(key, value, "which is neither true nor false")),
        }
    }

    fn numbers(&self, key: &str) -> Result<Vec<f64>, WireError> {
        let value = self.text(key)?;
        let parse = |part: &str| match part.trim().parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(number),
            _ => Err(invalid(key, value, "which is not a list of numbers")),
        };
        value.split(',').filter(|part| !part.trim().is_empty()).map(parse).collect()
    }

    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, WireError> {
        let value = self.text(key)?;
        let found = choices.iter().find(|(name, _)| *name == value);
        found
            .map(|(_, choice)| *choice)
            .ok_or_else(|| invalid(key, value, "which is not one of the accepted values"))
    }
}

fn invalid(key: &str, value: &str, problem: &'static str) -> WireError {
    WireError::InvalidValue { key: key.to_owned(), value: value.to_owned(), problem }
}

/// Parses the settings that a controller starts with: lines `key=value`, where unknown keys are ignored.
///
/// # Errors
/// If a required key is missing or its value is invalid; the error names the key.
pub fn read_settings(text: &str) -> Result<Settings, WireError> {
    let keys = Keys(text.lines().filter_map(|line| line.split_once('=')).collect());
    let has_pools = keys.choice("specifics.shape", &[("meshed", false), ("groups", true)])?;
    let home = keys.number("specifics.homeOffice")?;
    let may_retry_after = keys.flag("policyLimits.retryAfter")?;
    let max_retry_after_ms = keys.at_least("policyLimits.maxRetryAfterMs", 0.0)?;
    Ok(Settings {
        softswitch_count: keys.count("balancers")?.max(1),
        self_index: keys.count("selfIndex")?,
        home: if has_pools { None } else { exchange_number(home as f32) },
        classes: read_classes(&keys, has_pools)?,
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

fn read_classes(keys: &Keys<'_>, has_pools: bool) -> Result<Vec<Class>, WireError> {
    let count = keys.count("classes.count")?;
    let widths = keys.numbers("specifics.channelsNeeded")?;
    let hold_times_ms = keys.numbers("specifics.classHoldMs")?;
    (0..count)
        .map(|i| {
            let key = |name: &str| format!("classes.{i}.{name}");
            let positive = |values: &[f64], key: &str| {
                let value = values.get(i as usize).copied().filter(|value| *value > 0.0);
                value.ok_or_else(|| {
                    invalid(key, keys.0.get(key).unwrap_or(&""), "which has no positive value for a class")
                })
            };
            Ok(Class {
                target_setup_ms: keys.at_least(&key("aimMs"), 0.0)?,
                worth: keys.at_least(&key("worth"), 0.0)?,
                late_worth_factor: keys.at_least(&key("lateShare"), 0.0)?,
                width: positive(&widths, "specifics.channelsNeeded")?,
                mean_hold_ms: positive(&hold_times_ms, "specifics.classHoldMs")?,
                idempotent: keys
                    .choice(&key("semantics"), &[("pure", true), ("token", false), ("side_effect", false)])?,
                pools: if has_pools { read_pools(keys, i)? } else { Vec::new() },
            })
        })
        .collect()
}

/// The pools of one class, from the key of that class; none without the key.
fn read_pools(keys: &Keys<'_>, class: u32) -> Result<Vec<u32>, WireError> {
    let key = format!("specifics.classCells.{class}");
    let numbers = if keys.0.contains_key(key.as_str()) { keys.numbers(&key)? } else { Vec::new() };
    Ok(numbers.into_iter().filter_map(|number| exchange_number(number as f32)).collect())
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
