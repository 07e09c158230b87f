//! Frames of IAX2 (RFC 5456, section 8): bytes to frames and back. Nothing is remembered here.

use thiserror::Error;

/// What is wrong with a datagram.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// It ends before its header does.
    #[error("datagram of {0} bytes is too short")]
    TooShort(usize),
    /// A meta frame (trunk or video): not spoken here.
    #[error("meta frames are not spoken here")]
    MetaFrame,
    /// An information element runs past the end.
    #[error("information element {0:#04x} runs past the end of the frame")]
    TruncatedElement(u8),
}

/// Type of a full frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameType {
    /// A digit.
    Dtmf,
    /// Voice; the subclass is its format.
    Voice,
    /// Video.
    Video,
    /// Call control: [`control`].
    Control,
    /// Nothing.
    Null,
    /// The protocol itself: [`iax`].
    Iax,
    /// Text.
    Text,
    /// An image.
    Image,
    /// HTML.
    Html,
    /// Comfort noise.
    ComfortNoise,
    /// Something later than the specification.
    Other(u8),
}

impl FrameType {
    fn from_code(code: u8) -> Self {
        match code {
            1 => Self::Dtmf,
            2 => Self::Voice,
            3 => Self::Video,
            4 => Self::Control,
            5 => Self::Null,
            6 => Self::Iax,
            7 => Self::Text,
            8 => Self::Image,
            9 => Self::Html,
            10 => Self::ComfortNoise,
            other => Self::Other(other),
        }
    }

    fn code(self) -> u8 {
        match self {
            Self::Dtmf => 1,
            Self::Voice => 2,
            Self::Video => 3,
            Self::Control => 4,
            Self::Null => 5,
            Self::Iax => 6,
            Self::Text => 7,
            Self::Image => 8,
            Self::Html => 9,
            Self::ComfortNoise => 10,
            Self::Other(code) => code,
        }
    }
}

/// Subclasses of [`FrameType::Control`].
pub mod control {
    /// The call is over.
    pub const HANGUP: u32 = 0x01;
    /// The called party's line rings.
    pub const RINGING: u32 = 0x03;
    /// The call stands.
    pub const ANSWER: u32 = 0x04;
    /// All lines of the number are busy.
    pub const BUSY: u32 = 0x05;
    /// No circuit.
    pub const CONGESTION: u32 = 0x08;
    /// Progress is made.
    pub const PROGRESS: u32 = 0x0e;
    /// The call is being worked on.
    pub const PROCEEDING: u32 = 0x0f;
}

/// Subclasses of [`FrameType::Iax`].
pub mod iax {
    /// A set-up.
    pub const NEW: u32 = 0x01;
    /// Is the call alive?
    pub const PING: u32 = 0x02;
    /// It is.
    pub const PONG: u32 = 0x03;
    /// A frame has come.
    pub const ACK: u32 = 0x04;
    /// The call is over.
    pub const HANGUP: u32 = 0x05;
    /// The set-up is turned down.
    pub const REJECT: u32 = 0x06;
    /// The set-up is accepted.
    pub const ACCEPT: u32 = 0x07;
    /// Prove who you are.
    pub const AUTHREQ: u32 = 0x08;
    /// No such call.
    pub const INVAL: u32 = 0x0a;
    /// How long does a frame take?
    pub const LAGRQ: u32 = 0x0b;
    /// So long.
    pub const LAGRP: u32 = 0x0c;
    /// Frames are missing.
    pub const VNAK: u32 = 0x12;
    /// Is anyone there?
    pub const POKE: u32 = 0x1e;
    /// Not understood.
    pub const UNSUPPORT: u32 = 0x21;
}

/// A full frame: delivered in order and once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullFrame {
    /// The sender's call number.
    pub source_call: u16,
    /// The receiver's; 0 if not known yet.
    pub dest_call: u16,
    /// Sent again.
    pub retransmitted: bool,
    /// Milliseconds of the sender's call.
    pub timestamp: u32,
    /// Its sequence number.
    pub oseqno: u8,
    /// The next one that its sender expects.
    pub iseqno: u8,
    /// Type.
    pub frame_type: FrameType,
    /// Subclass.
    pub subclass: u32,
    /// All that follows.
    pub payload: Vec<u8>,
}

/// A mini frame: voice in the format last named in a full one, neither repeated nor ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MiniFrame {
    /// The sender's call number.
    pub source_call: u16,
    /// The lower half of the time stamp.
    pub timestamp: u16,
    /// Voice.
    pub payload: Vec<u8>,
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A full frame.
    Full(FullFrame),
    /// A mini frame.
    Mini(MiniFrame),
}

/// The highest bit of a 16-bit field: full frame, sent again.
const FLAG: u16 = 0x8000;
/// In a subclass byte: the value is two to the power of the rest.
const POWER: u8 = 0x80;

/// Reads a datagram.
///
/// # Errors
/// If it is no frame that is spoken here.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    let short = FrameError::TooShort(bytes.len());
    let [s0, s1, rest @ ..] = bytes else { return Err(short) };
    let source_call = u16::from_be_bytes([*s0, *s1]);
    if source_call & FLAG == 0 {
        let [t0, t1, payload @ ..] = rest else { return Err(short) };
        if source_call == 0 {
            return Err(FrameError::MetaFrame);
        }
        let timestamp = u16::from_be_bytes([*t0, *t1]);
        return Ok(Frame::Mini(MiniFrame { source_call, timestamp, payload: payload.to_vec() }));
    }
    let [d0, d1, t0, t1, t2, t3, oseqno, iseqno, frame_type, subclass, payload @ ..] = rest else {
        return Err(short);
    };
    let dest_call = u16::from_be_bytes([*d0, *d1]);
    let value = u32::from(*subclass & !POWER);
    Ok(Frame::Full(FullFrame {
        source_call: source_call & !FLAG,
        dest_call: dest_call & !FLAG,
        retransmitted: dest_call & FLAG != 0,
        timestamp: u32::from_be_bytes([*t0, *t1, *t2, *t3]),
        oseqno: *oseqno,
        iseqno: *iseqno,
        frame_type: FrameType::from_code(*frame_type),
        subclass: if subclass & POWER == 0 { value } else { 1_u32.checked_shl(value).unwrap_or(0) },
        payload: payload.to_vec(),
    }))
}

impl FullFrame {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(12 + self.payload.len());
        bytes.extend((self.source_call | FLAG).to_be_bytes());
        bytes.extend((self.dest_call | if self.retransmitted { FLAG } else { 0 }).to_be_bytes());
        bytes.extend(self.timestamp.to_be_bytes());
        bytes.extend([self.oseqno, self.iseqno, self.frame_type.code(), subclass_byte(self.subclass)]);
        bytes.extend(&self.payload);
        bytes
    }

    /// Whether it takes part in the numbering of frames: those that only report on it do not.
    pub fn is_sequenced(&self) -> bool {
        self.frame_type != FrameType::Iax || !matches!(self.subclass, iax::ACK | iax::INVAL | iax::VNAK)
    }

    /// Whether it is this message of the protocol itself.
    pub fn is_iax(&self, subclass: u32) -> bool {
        self.frame_type == FrameType::Iax && self.subclass == subclass
    }
}

fn subclass_byte(subclass: u32) -> u8 {
    match u8::try_from(subclass) {
        Ok(byte) if byte & POWER == 0 => byte,
        _ => POWER | subclass.trailing_zeros() as u8,
    }
}

impl MiniFrame {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(4 + self.payload.len());
        bytes.extend((self.source_call & !FLAG).to_be_bytes());
        bytes.extend(self.timestamp.to_be_bytes());
        bytes.extend(&self.payload);
        bytes
    }
}
