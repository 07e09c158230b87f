//! Information elements (RFC 5456, section 8.6), and the mapping between outcomes and Q.850 causes.

use std::time::Duration;

use super::frame::FrameError;
use crate::engine::{CallerMessage, duration_to_ms};
use crate::interface::{Outcome, Reason};

const CALLED_NUMBER: u8 = 0x01;
const CALLING_NUMBER: u8 = 0x02;
const CALLED_CONTEXT: u8 = 0x05;
const CAPABILITY: u8 = 0x08;
const FORMAT: u8 = 0x09;
const VERSION: u8 = 0x0b;
const CAUSE: u8 = 0x16;
const IAX_UNKNOWN: u8 = 0x17;
const CAUSE_CODE: u8 = 0x2a;

// Q.850 causes.
pub(super) const Q850_UNALLOCATED_NUMBER: u8 = 1;
pub(super) const Q850_NORMAL_CLEARING: u8 = 16;
pub(super) const Q850_USER_BUSY: u8 = 17;
pub(super) const Q850_CALL_REJECTED: u8 = 21;
pub(super) const Q850_NO_CIRCUIT: u8 = 34;
pub(super) const Q850_TEMPORARY_FAILURE: u8 = 41;
pub(super) const Q850_SWITCHING_EQUIPMENT_CONGESTION: u8 = 42;
pub(super) const Q850_INVALID_MESSAGE: u8 = 95;
pub(super) const Q850_RECOVERY_ON_TIMER_EXPIRY: u8 = 102;
pub(super) const Q850_PROTOCOL_ERROR: u8 = 111;

/// Protocol version of IAX2.
pub const PROTOCOL_VERSION: u16 = 2;
/// Media formats G.711 mu-law and A-law; used where the other party specifies none.
pub const G711_FORMATS: u32 = 0x0c;

/// The information elements that are supported. Others are ignored, as RFC 5456 requires.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InformationElements {
    /// Called number.
    pub called_number: Option<String>,
    /// Number of the caller.
    pub calling_number: Option<String>,
    /// Context to look the called number up in.
    pub called_context: Option<String>,
    /// Supported media formats, one bit each.
    pub capability: Option<u32>,
    /// Requested or selected media format.
    pub format: Option<u32>,
    /// Protocol version.
    pub version: Option<u16>,
    /// Cause of the end of a call, as text.
    pub cause: Option<String>,
    /// Cause of the end of a call, as a Q.850 code.
    pub cause_code: Option<u8>,
    /// Subclass of an unsupported message.
    pub unknown: Option<u8>,
}

impl InformationElements {
    /// Decodes the payload of an IAX control frame. An element whose value has the wrong length or is not valid
    /// UTF-8 counts as absent.
    ///
    /// # Errors
    /// If an element extends past the end of the payload.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, FrameError> {
        let mut elements = Self::default();
        while let [id, rest @ ..] = bytes {
            let (length, rest) = rest.split_first().ok_or(FrameError::TruncatedElement(*id))?;
            let (value, rest) =
                rest.split_at_checked(usize::from(*length)).ok_or(FrameError::TruncatedElement(*id))?;
            bytes = rest;
            let text_value = || String::from_utf8(value.to_vec()).ok();
            let u32_value = || value.try_into().ok().map(u32::from_be_bytes);
            let u8_value = || value.first().copied().filter(|_| value.len() == 1);
            match *id {
                CALLED_NUMBER => elements.called_number = text_value(),
                CALLING_NUMBER => elements.calling_number = text_value(),
                CALLED_CONTEXT => elements.called_context = text_value(),
                CAPABILITY => elements.capability = u32_value(),
                FORMAT => elements.format = u32_value(),
                VERSION => elements.version = value.try_into().ok().map(u16::from_be_bytes),
                CAUSE => elements.cause = text_value(),
                CAUSE_CODE => elements.cause_code = u8_value(),
                IAX_UNKNOWN => elements.unknown = u8_value(),
                _ => {}
            }
        }
        Ok(elements)
    }

    /// Encodes the elements. The version comes first, as RFC 5456 requires for NEW. A value is truncated to 255 bytes,
    /// the maximum that an element can hold.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut put = |id: u8, value: Option<&[u8]>| {
            if let Some(value) = value.map(|v| &v[..v.len().min(255)]) {
                bytes.extend([id, value.len() as u8]);
                bytes.extend(value);
            }
        };
        put(VERSION, self.version.map(u16::to_be_bytes).as_ref().map(|b| &b[..]));
        put(CALLED_NUMBER, self.called_number.as_deref().map(str::as_bytes));
        put(CALLING_NUMBER, self.calling_number.as_deref().map(str::as_bytes));
        put(CALLED_CONTEXT, self.called_context.as_deref().map(str::as_bytes));
        put(CAPABILITY, self.capability.map(u32::to_be_bytes).as_ref().map(|b| &b[..]));
        put(FORMAT, self.format.map(u32::to_be_bytes).as_ref().map(|b| &b[..]));
        put(CAUSE, self.cause.as_deref().map(str::as_bytes));
        put(CAUSE_CODE, self.cause_code.map(|code| [code]).as_ref().map(|b| &b[..]));
        put(IAX_UNKNOWN, self.unknown.map(|code| [code]).as_ref().map(|b| &b[..]));
        bytes
    }

    /// Elements of a message that ends a call: its Q.850 cause as code and text.
    pub fn with_cause(code: u8, cause: impl Into<String>) -> Self {
        Self { cause_code: Some(code), cause: Some(cause.into()), ..Self::default() }
    }
}

/// Prefix of a retry-after time in the text of a CAUSE element.
const RETRY_AFTER_PREFIX: &str = "retry after ";

/// Cause elements for the message that ends a caller's leg.
pub fn cause_elements(message: &CallerMessage) -> InformationElements {
    match message {
        CallerMessage::Refused { retry_after } if retry_after.is_zero() => {
            InformationElements::with_cause(Q850_NO_CIRCUIT, "no circuit")
        }
        CallerMessage::Refused { retry_after } => InformationElements::with_cause(
            Q850_NO_CIRCUIT,
            format!("{RETRY_AFTER_PREFIX}{:.0} ms", duration_to_ms(*retry_after)),
        ),
        CallerMessage::Failed { busy: true } => InformationElements::with_cause(Q850_USER_BUSY, "user busy"),
        CallerMessage::Failed { busy: false } => {
            InformationElements::with_cause(Q850_TEMPORARY_FAILURE, "temporary failure")
        }
        CallerMessage::Released { cut: true } => {
            InformationElements::with_cause(Q850_TEMPORARY_FAILURE, "call cut")
        }
        // Answered and HealthCheckResult do not end a leg; the endpoint does not pass them here.
        CallerMessage::Released { cut: false }
        | CallerMessage::Answered { .. }
        | CallerMessage::HealthCheckResult { .. } => {
            InformationElements::with_cause(Q850_NORMAL_CLEARING, "normal clearing")
        }
    }
}

/// Parses the retry-after time from the text of a CAUSE element, if there is one.
pub fn parse_retry_after(cause: &str) -> Option<Duration> {
    let rest = &cause[cause.find(RETRY_AFTER_PREFIX)? + RETRY_AFTER_PREFIX.len()..];
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok().map(Duration::from_millis)
}

/// Outcome and reason of a call that an exchange ends with these elements. Q.850 causes give the same outcome as in
/// JSON lines, except that 0 or a missing cause means normal clearing, and 42 means that the processor is full.
pub fn outcome_of(elements: &InformationElements) -> (Outcome, Reason) {
    let retry_after = elements.cause.as_deref().and_then(parse_retry_after);
    match elements.cause_code.unwrap_or(Q850_NORMAL_CLEARING) {
        0 | Q850_NORMAL_CLEARING => (Outcome::Completed, Reason::Unspecified),
        Q850_USER_BUSY => (Outcome::Busy, Reason::UserBusy),
        Q850_NO_CIRCUIT => (
            Outcome::Congested,
            retry_after.map_or(Reason::NoCircuit, |time| Reason::ProcessorFull(duration_to_ms(time))),
        ),
        Q850_SWITCHING_EQUIPMENT_CONGESTION => {
            (Outcome::Congested, Reason::ProcessorFull(duration_to_ms(retry_after.unwrap_or_default())))
        }
        Q850_TEMPORARY_FAILURE => (Outcome::Reset, Reason::Unspecified),
        Q850_RECOVERY_ON_TIMER_EXPIRY => (Outcome::NotSent, Reason::Unspecified),
        _ => (Outcome::Busy, Reason::Unspecified),
    }
}
