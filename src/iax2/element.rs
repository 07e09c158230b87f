//! Information elements (RFC 5456, section 8.6), and what hang-up causes and retry advice mean.

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
const UNKNOWN: u8 = 0x17;
const CAUSE_CODE: u8 = 0x2a;

/// The version of the protocol.
pub const PROTOCOL_VERSION: u16 = 2;
/// G.711 mu-law and A-law: what is offered where nobody says what is wanted.
pub const G711_FORMATS: u32 = 0x0c;

/// The elements that mean something here; others are passed over, as the specification asks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InformationElements {
    /// The number called.
    pub called_number: Option<String>,
    /// The caller's number.
    pub calling_number: Option<String>,
    /// The context it is called in.
    pub called_context: Option<String>,
    /// Media formats that can be taken, a bit each.
    pub capability: Option<u32>,
    /// The one that is wanted or chosen.
    pub format: Option<u32>,
    /// Version of the protocol.
    pub version: Option<u16>,
    /// Why a call ended, in words.
    pub cause: Option<String>,
    /// The same as a number (Q.850).
    pub cause_code: Option<u8>,
    /// A message that was not understood.
    pub unknown: Option<u8>,
}

impl InformationElements {
    /// Reads the payload of a frame of the protocol itself. An element of a wrong length is passed over.
    ///
    /// # Errors
    /// If an element runs past the end.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, FrameError> {
        let mut read = Self::default();
        while let [id, rest @ ..] = bytes {
            let (length, rest) = rest.split_first().ok_or(FrameError::TruncatedElement(*id))?;
            let (value, rest) =
                rest.split_at_checked(usize::from(*length)).ok_or(FrameError::TruncatedElement(*id))?;
            bytes = rest;
            let text = || String::from_utf8(value.to_vec()).ok();
            let four = || value.try_into().ok().map(u32::from_be_bytes);
            let one = || value.first().copied().filter(|_| value.len() == 1);
            match *id {
                CALLED_NUMBER => read.called_number = text(),
                CALLING_NUMBER => read.calling_number = text(),
                CALLED_CONTEXT => read.called_context = text(),
                CAPABILITY => read.capability = four(),
                FORMAT => read.format = four(),
                VERSION => read.version = value.try_into().ok().map(u16::from_be_bytes),
                CAUSE => read.cause = text(),
                CAUSE_CODE => read.cause_code = one(),
                UNKNOWN => read.unknown = one(),
                _ => {}
            }
        }
        Ok(read)
    }

    /// Their bytes, the version first, as the specification asks of a set-up.
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
        put(UNKNOWN, self.unknown.map(|code| [code]).as_ref().map(|b| &b[..]));
        bytes
    }

    /// Elements that say why a call ended.
    pub fn with_cause(code: u8, cause: impl Into<String>) -> Self {
        Self { cause_code: Some(code), cause: Some(cause.into()), ..Self::default() }
    }
}

/// How advice is worded in a CAUSE element, and read again there.
const ADVICE: &str = "retry after ";

/// What a caller is told at the end of a call: cause and words.
pub fn cause_elements(word: &CallerMessage) -> InformationElements {
    match word {
        CallerMessage::Refused { retry_after } if retry_after.is_zero() => {
            InformationElements::with_cause(34, "no circuit")
        }
        CallerMessage::Refused { retry_after } => {
            InformationElements::with_cause(34, format!("{ADVICE}{:.0} ms", duration_to_ms(*retry_after)))
        }
        CallerMessage::Failed { busy: true } => InformationElements::with_cause(17, "user busy"),
        CallerMessage::Failed { busy: false } => InformationElements::with_cause(41, "temporary failure"),
        CallerMessage::Released { cut: true } => InformationElements::with_cause(41, "call cut"),
        CallerMessage::Released { cut: false }
        | CallerMessage::Answered { .. }
        | CallerMessage::HealthCheckResult { .. } => InformationElements::with_cause(16, "normal clearing"),
    }
}

/// The advice in a CAUSE element.
pub fn parse_retry_after(cause: &str) -> Option<Duration> {
    let rest = &cause[cause.find(ADVICE)? + ADVICE.len()..];
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok().map(Duration::from_millis)
}

/// What a node means by the end of a call, as on the platform's wire. A node that does not say why ended it
/// normally.
pub fn outcome_of(elements: &InformationElements) -> (Outcome, Reason) {
    let wait = elements.cause.as_deref().and_then(parse_retry_after);
    match elements.cause_code.unwrap_or(16) {
        0 | 16 => (Outcome::Completed, Reason::Unspecified),
        17 => (Outcome::Busy, Reason::UserBusy),
        34 => {
            (Outcome::Congested, wait.map_or(Reason::NoCircuit, |w| Reason::ProcessorFull(duration_to_ms(w))))
        }
        42 => (Outcome::Congested, Reason::ProcessorFull(duration_to_ms(wait.unwrap_or_default()))),
        41 => (Outcome::Reset, Reason::Unspecified),
        102 => (Outcome::NotSent, Reason::Unspecified),
        _ => (Outcome::Busy, Reason::Unspecified),
    }
}
