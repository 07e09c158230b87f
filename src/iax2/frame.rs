//! Stateless encoder and decoder of IAX2 frames (RFC 5456, section 8).

use thiserror::Error;

/// Why a datagram cannot be decoded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// It is shorter than the header of its frame.
    #[error("datagram of {0} bytes is too short")]
    TooShort(usize),
    /// It is a meta frame (trunk or video).
    #[error("meta frames are not supported")]
    MetaFrame,
    /// An information element extends past the end of the frame.
    #[error("information element {0:#04x} extends past the end of the frame")]
    TruncatedElement(u8),
}

/// Type of a full frame (RFC 5456, section 8.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameType {
    /// A DTMF digit; the subclass is its character.
    Dtmf,
    /// Voice; the subclass is the media format.
    Voice,
    /// Video.
    Video,
    /// Call control, with the subclasses of [`control`].
    Control,
    /// Null frame.
    Null,
    /// IAX control, with the subclasses of [`iax`].
    Iax,
    /// Text.
    Text,
    /// An image.
    Image,
    /// HTML.
    Html,
    /// Comfort noise.
    ComfortNoise,
    /// A type that RFC 5456 does not define.
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
    /// The call ends.
    pub const HANGUP: u32 = 0x01;
    /// The called party's line rings.
    pub const RINGING: u32 = 0x03;
    /// The call is answered.
    pub const ANSWER: u32 = 0x04;
    /// All lines of the number are busy.
    pub const BUSY: u32 = 0x05;
    /// No free circuit.
    pub const CONGESTION: u32 = 0x08;
    /// The call makes progress.
    pub const PROGRESS: u32 = 0x0e;
    /// The call is being set up.
    pub const PROCEEDING: u32 = 0x0f;
}

/// Subclasses of [`FrameType::Iax`].
pub mod iax {
    /// Sets a call up.
    pub const NEW: u32 = 0x01;
    /// Asks whether the peer responds.
    pub const PING: u32 = 0x02;
    /// Reply to [`PING`] and [`POKE`].
    pub const PONG: u32 = 0x03;
    /// Acknowledges a frame.
    pub const ACK: u32 = 0x04;
    /// Ends the call.
    pub const HANGUP: u32 = 0x05;
    /// Rejects the set-up.
    pub const REJECT: u32 = 0x06;
    /// Accepts the set-up.
    pub const ACCEPT: u32 = 0x07;
    /// Requests authentication.
    pub const AUTHREQ: u32 = 0x08;
    /// The call is unknown.
    pub const INVAL: u32 = 0x0a;
    /// Requests a lag measurement.
    pub const LAGRQ: u32 = 0x0b;
    /// Reply to [`LAGRQ`].
    pub const LAGRP: u32 = 0x0c;
    /// Asks for the retransmission of missing frames.
    pub const VNAK: u32 = 0x12;
    /// Asks whether an endpoint responds, outside of any call.
    pub const POKE: u32 = 0x1e;
    /// The message is not supported.
    pub const UNSUPPORT: u32 = 0x21;
}

/// A full frame: it is delivered reliably and in sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullFrame {
    /// Call number of the sender.
    pub source_call: u16,
    /// Call number of the receiver; 0 while it is unknown.
    pub dest_call: u16,
    /// The R bit: whether the frame is a retransmission.
    pub retransmitted: bool,
    /// Time since the sender's leg began, in ms.
    pub timestamp: u32,
    /// Outbound sequence number: that of this frame.
    pub oseqno: u8,
    /// Inbound sequence number: the next one that the sender expects.
    pub iseqno: u8,
    /// Frame type.
    pub frame_type: FrameType,
    /// Subclass; its meaning depends on the frame type.
    pub subclass: u32,
    /// Data after the header.
    pub payload: Vec<u8>,
}

/// A mini frame: voice in the format of the last full voice frame, without acknowledgement or sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MiniFrame {
    /// Call number of the sender.
    pub source_call: u16,
    /// Lower 16 bits of the timestamp.
    pub timestamp: u16,
    /// Encoded audio.
    pub payload: Vec<u8>,
}

/// The frame that a datagram contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A full frame.
    Full(FullFrame),
    /// A mini frame.
    Mini(MiniFrame),
}

/// Highest bit of a call number field: the F bit (full frame) for the source, the R bit (retransmission) for the
/// destination.
const HIGH_BIT: u16 = 0x8000;
/// The C bit of a subclass byte: the subclass is two to the power of the other bits. If that does not fit
/// in 32 bits, it is decoded as 0.
const POWER_OF_TWO: u8 = 0x80;

/// Decodes a datagram.
///
/// # Errors
/// If the datagram is too short or contains a meta frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    let too_short = FrameError::TooShort(bytes.len());
    let [s0, s1, rest @ ..] = bytes else { return Err(too_short) };
    let source_call = u16::from_be_bytes([*s0, *s1]);
    if source_call & HIGH_BIT == 0 {
        let [t0, t1, payload @ ..] = rest else { return Err(too_short) };
        if source_call == 0 {
            return Err(FrameError::MetaFrame);
        }
        let timestamp = u16::from_be_bytes([*t0, *t1]);
        return Ok(Frame::Mini(MiniFrame { source_call, timestamp, payload: payload.to_vec() }));
    }
    let [d0, d1, t0, t1, t2, t3, oseqno, iseqno, frame_type, subclass, payload @ ..] = rest else {
        return Err(too_short);
    };
    let dest_call = u16::from_be_bytes([*d0, *d1]);
    let value = u32::from(*subclass & !POWER_OF_TWO);
    Ok(Frame::Full(FullFrame {
        source_call: source_call & !HIGH_BIT,
        dest_call: dest_call & !HIGH_BIT,
        retransmitted: dest_call & HIGH_BIT != 0,
        timestamp: u32::from_be_bytes([*t0, *t1, *t2, *t3]),
        oseqno: *oseqno,
        iseqno: *iseqno,
        frame_type: FrameType::from_code(*frame_type),
        subclass: if subclass & POWER_OF_TWO == 0 { value } else { 1_u32.checked_shl(value).unwrap_or(0) },
        payload: payload.to_vec(),
    }))
}

impl FullFrame {
    /// Encodes the frame as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(12 + self.payload.len());
        bytes.extend((self.source_call | HIGH_BIT).to_be_bytes());
        bytes.extend((self.dest_call | if self.retransmitted { HIGH_BIT } else { 0 }).to_be_bytes());
        bytes.extend(self.timestamp.to_be_bytes());
        bytes.extend([self.oseqno, self.iseqno, self.frame_type.code(), subclass_byte(self.subclass)]);
        bytes.extend(&self.payload);
        bytes
    }

    /// Whether the frame takes a sequence number. ACK, INVAL and VNAK do not.
    pub fn is_sequenced(&self) -> bool {
        self.frame_type != FrameType::Iax || !matches!(self.subclass, iax::ACK | iax::INVAL | iax::VNAK)
    }

    /// Whether this is an IAX control frame with the given subclass.
    pub fn is_iax(&self, subclass: u32) -> bool {
        self.frame_type == FrameType::Iax && self.subclass == subclass
    }
}

/// Encodes a subclass. One above 127 must be a power of two.
fn subclass_byte(subclass: u32) -> u8 {
    match u8::try_from(subclass) {
        Ok(byte) if byte & POWER_OF_TWO == 0 => byte,
        _ => POWER_OF_TWO | subclass.trailing_zeros() as u8,
    }
}

impl MiniFrame {
    /// Encodes the frame as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(4 + self.payload.len());
        bytes.extend((self.source_call & !HIGH_BIT).to_be_bytes());
        bytes.extend(self.timestamp.to_be_bytes());
        bytes.extend(&self.payload);
        bytes
    }
}
