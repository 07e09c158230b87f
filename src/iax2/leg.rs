//! One IAX2 leg of a call (RFC 5456, section 7): sequence numbers, acknowledgement, retransmission and pings.
//!
//! A leg does no I/O and reads no clock: it gets frames and the current time, and yields datagrams to send. The
//! endpoint interprets the frames for the call.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use super::frame::{FrameType, FullFrame, MiniFrame, iax};

/// Delay before the first retransmission of an unacknowledged frame; it doubles with each retransmission.
const INITIAL_RETRANSMIT_DELAY: Duration = Duration::from_millis(500);
/// Maximum delay between two retransmissions. RFC 5456 allows 10 s, but the end of a call must be reported
/// within 8 s of the failure of its peer.
const MAX_RETRANSMIT_DELAY: Duration = Duration::from_secs(2);
/// A peer that does not acknowledge a frame after this many retransmissions is considered dead.
const MAX_RETRANSMISSIONS: u32 = 4;
/// Time without a full frame from the peer after which it is pinged.
const PING_INTERVAL: Duration = Duration::from_secs(3);
/// A peer from which nothing arrives for this long, although frames await its acknowledgement, is considered dead. The end
/// of an established call must be reported within 8 s.
const MAX_SILENCE: Duration = Duration::from_millis(7_500);
/// Retransmissions of a frame without which a silent peer is not considered dead.
const MIN_RETRANSMISSIONS: u32 = 3;

/// A frame that was sent and is not acknowledged yet.
#[derive(Clone, Debug)]
struct Unacked {
    frame: FullFrame,
    retransmit_at: SystemTime,
    delay: Duration,
    retransmissions: u32,
}

/// What the endpoint has to do about a received frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// Interpret this frame: it is the next in sequence and not a duplicate.
    Frame(FullFrame),
    /// Nothing; the leg handled the frame or dropped it.
    Handled,
    /// Remove the leg: the peer does not know the call (INVAL).
    UnknownCall,
}

/// A voice frame to be relayed, with its timestamp on the leg that it was received on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoiceFrame {
    /// Timestamp in ms, with all 32 bits.
    pub timestamp: u32,
    /// Media format.
    pub format: u32,
    /// Encoded audio.
    pub payload: Vec<u8>,
}

/// An IAX2 leg.
#[derive(Clone, Debug)]
pub struct Leg {
    /// Local call number.
    pub local_call: u16,
    /// Call number of the peer; 0 while it is unknown.
    pub remote_call: u16,
    started: SystemTime,
    oseqno: u8,
    iseqno: u8,
    unacked: VecDeque<Unacked>,
    ping_at: SystemTime,
    last_heard: SystemTime,
    last_timestamp: u32,
    /// Reference for the timestamps of mini frames, and media format of the voice received. The reference is the
    /// timestamp of the last full voice frame, or the highest of the mini frames after it.
    received_voice: Option<(u32, u32)>,
    /// Upper half of the timestamp and format of the last full voice frame sent.
    sent_voice: Option<(u32, u32)>,
    /// Difference between timestamps on this leg and on the leg that voice is relayed from, in ms; set by the
    /// first voice that is relayed.
    voice_offset: Option<i64>,
}

impl Leg {
    /// Creates a leg that starts at `now`; timestamps count from then. `remote_call` is 0 if it is unknown.
    pub fn new(local_call: u16, remote_call: u16, now: SystemTime) -> Self {
        Self {
            local_call,
            remote_call,
            started: now,
            oseqno: 0,
            iseqno: 0,
            unacked: VecDeque::new(),
            ping_at: now + PING_INTERVAL,
            last_heard: now,
            last_timestamp: 0,
            received_voice: None,
            sent_voice: None,
            voice_offset: None,
        }
    }

    fn next_timestamp(&mut self, now: SystemTime) -> u32 {
        let elapsed = now.duration_since(self.started).unwrap_or_default().as_millis() as u32;
        self.last_timestamp = elapsed.max(self.last_timestamp.wrapping_add(1));
        self.last_timestamp
    }

    fn build_frame(
        &self,
        frame_type: FrameType,
        subclass: u32,
        timestamp: u32,
        payload: Vec<u8>,
    ) -> FullFrame {
        FullFrame {
            source_call: self.local_call,
            dest_call: self.remote_call,
            retransmitted: false,
            timestamp,
            oseqno: self.oseqno,
            iseqno: self.iseqno,
            frame_type,
            subclass,
            payload,
        }
    }

    /// Sends a frame reliably: it is retransmitted until the peer acknowledges it.
    pub fn send(
        &mut self,
        now: SystemTime,
        frame_type: FrameType,
        subclass: u32,
        payload: Vec<u8>,
        out: &mut Vec<Vec<u8>>,
    ) {
        let timestamp = self.next_timestamp(now);
        self.send_with_timestamp(now, frame_type, subclass, timestamp, payload, out);
    }

    fn send_with_timestamp(
        &mut self,
        now: SystemTime,
        frame_type: FrameType,
        subclass: u32,
        timestamp: u32,
        payload: Vec<u8>,
        out: &mut Vec<Vec<u8>>,
    ) {
        let frame = self.build_frame(frame_type, subclass, timestamp, payload);
        self.oseqno = self.oseqno.wrapping_add(1);
        out.push(frame.encode());
        self.unacked.push_back(Unacked {
            frame,
            retransmit_at: now + INITIAL_RETRANSMIT_DELAY,
            delay: INITIAL_RETRANSMIT_DELAY,
            retransmissions: 0,
        });
    }

    /// Sends an ACK or VNAK about a frame of the peer. It takes no sequence number.
    fn send_unsequenced(&self, subclass: u32, timestamp: u32, out: &mut Vec<Vec<u8>>) {
        out.push(self.build_frame(FrameType::Iax, subclass, timestamp, Vec::new()).encode());
    }

    /// Registers that something arrived from the peer.
    pub fn mark_heard(&mut self, now: SystemTime) {
        self.last_heard = now;
    }

    /// When the peer is considered dead for its silence; `None` as long as no frame was retransmitted often enough.
    fn silence_deadline(&self) -> Option<SystemTime> {
        let is_unanswered = |pending: &Unacked| pending.retransmissions >= MIN_RETRANSMISSIONS;
        self.unacked.iter().any(is_unanswered).then(|| self.last_heard + MAX_SILENCE)
    }

    /// Handles a full frame received on this leg.
    pub fn receive(&mut self, now: SystemTime, frame: FullFrame, out: &mut Vec<Vec<u8>>) -> Received {
        if self.remote_call == 0 {
            self.remote_call = frame.source_call;
        }
        if frame.is_iax(iax::INVAL) {
            return Received::UnknownCall;
        }
        self.ping_at = now + PING_INTERVAL;
        self.mark_heard(now);
        self.acknowledge(frame.iseqno);
        if frame.is_iax(iax::VNAK) {
            for pending in &mut self.unacked {
                retransmit(pending, self.remote_call, self.iseqno, out);
                pending.retransmit_at = now + pending.delay;
            }
        }
        if !frame.is_sequenced() {
            return Received::Handled;
        }
        match frame.oseqno.wrapping_sub(self.iseqno) {
            0 => self.iseqno = self.iseqno.wrapping_add(1),
            // A frame before the expected one, as sequence numbers wrap around: a duplicate. The acknowledgement of
            // the first one may have been lost.
            128.. => {
                self.send_unsequenced(iax::ACK, frame.timestamp, out);
                return Received::Handled;
            }
            // Earlier frames are missing.
            _ => {
                self.send_unsequenced(iax::VNAK, frame.timestamp, out);
                return Received::Handled;
            }
        }
        self.send_unsequenced(iax::ACK, frame.timestamp, out);
        match (frame.frame_type, frame.subclass) {
            (FrameType::Iax, iax::PING) => {
                self.send_with_timestamp(now, FrameType::Iax, iax::PONG, frame.timestamp, Vec::new(), out);
            }
            (FrameType::Iax, iax::LAGRQ) => {
                self.send_with_timestamp(now, FrameType::Iax, iax::LAGRP, frame.timestamp, Vec::new(), out);
            }
            (FrameType::Iax, iax::PONG | iax::LAGRP) => {}
            _ => return Received::Frame(frame),
        }
        Received::Handled
    }

    /// Drops the frames that the peer acknowledged: those before sequence number `iseqno`.
    fn acknowledge(&mut self, iseqno: u8) {
        let Some(first) = self.unacked.front() else { return };
        let count = usize::from(iseqno.wrapping_sub(first.frame.oseqno));
        // A number outside the window of unacknowledged frames comes from a delayed frame and is ignored.
        if count <= self.unacked.len() {
            self.unacked.drain(..count);
        }
    }

    /// Whether the peer has acknowledged every frame that was sent.
    pub fn all_acknowledged(&self) -> bool {
        self.unacked.is_empty()
    }

    /// When [`Self::handle_timeout`] must be called next. A closing leg sends no pings.
    pub fn next_timeout(&self, closing: bool) -> Option<SystemTime> {
        let retransmissions = self.unacked.iter().map(|pending| pending.retransmit_at);
        let next = retransmissions.chain(self.silence_deadline()).min();
        if closing { next } else { Some(next.map_or(self.ping_at, |next| next.min(self.ping_at))) }
    }

    /// Retransmits frames that are due, and pings a silent peer. Returns false if the peer is considered dead.
    pub fn handle_timeout(&mut self, now: SystemTime, closing: bool, out: &mut Vec<Vec<u8>>) -> bool {
        if self.silence_deadline().is_some_and(|deadline| deadline <= now) {
            return false;
        }
        for pending in self.unacked.iter_mut().filter(|pending| pending.retransmit_at <= now) {
            if pending.retransmissions >= MAX_RETRANSMISSIONS {
                return false;
            }
            pending.retransmissions += 1;
            pending.delay = (pending.delay * 2).min(MAX_RETRANSMIT_DELAY);
            pending.retransmit_at = now + pending.delay;
            retransmit(pending, self.remote_call, self.iseqno, out);
        }
        if !closing && self.ping_at <= now {
            self.ping_at = now + PING_INTERVAL;
            if self.unacked.is_empty() {
                self.send(now, FrameType::Iax, iax::PING, Vec::new(), out);
            }
        }
        true
    }

    /// Ends the leg with this message. An unacknowledged NEW is not retransmitted any more: it could reach the
    /// peer after the attempt was cancelled, when the next attempt has already been sent.
    pub fn end(&mut self, now: SystemTime, subclass: u32, payload: Vec<u8>, out: &mut Vec<Vec<u8>>) {
        self.unacked.retain(|pending| !pending.frame.is_iax(iax::NEW));
        self.send(now, FrameType::Iax, subclass, payload, out);
    }

    /// Extracts the voice of a full frame.
    pub fn voice_from_full(&mut self, frame: FullFrame) -> VoiceFrame {
        self.received_voice = Some((frame.timestamp, frame.subclass));
        VoiceFrame { timestamp: frame.timestamp, format: frame.subclass, payload: frame.payload }
    }

    /// Extracts the voice of a mini frame, which has neither a format nor the upper half of its timestamp. `None`
    /// if no full voice frame came before it.
    pub fn voice_from_mini(&mut self, mini: MiniFrame) -> Option<VoiceFrame> {
        let (last, format) = self.received_voice?;
        // Of the timestamps with this lower half, the one nearest to the last timestamp.
        let difference = mini.timestamp.wrapping_sub(last as u16) as i16;
        let timestamp = last.wrapping_add_signed(i32::from(difference));
        self.received_voice = Some((timestamp.max(last), format));
        Some(VoiceFrame { timestamp, format, payload: mini.payload })
    }

    /// Relays voice from the other leg. A full frame is sent only if the format or the upper half of the
    /// timestamp changed; the peer takes both from the last full frame when it receives a mini frame.
    pub fn send_voice(&mut self, now: SystemTime, voice: VoiceFrame, out: &mut Vec<Vec<u8>>) {
        let elapsed = now.duration_since(self.started).unwrap_or_default().as_millis() as i64;
        let voice_offset = *self.voice_offset.get_or_insert(elapsed - i64::from(voice.timestamp));
        let timestamp = (i64::from(voice.timestamp) + voice_offset).max(0) as u32;
        if self.sent_voice == Some((timestamp >> 16, voice.format)) {
            out.push(
                MiniFrame {
                    source_call: self.local_call,
                    timestamp: timestamp as u16,
                    payload: voice.payload,
                }
                .encode(),
            );
        } else {
            self.sent_voice = Some((timestamp >> 16, voice.format));
            self.send_with_timestamp(now, FrameType::Voice, voice.format, timestamp, voice.payload, out);
        }
    }
}

fn retransmit(pending: &mut Unacked, remote_call: u16, iseqno: u8, out: &mut Vec<Vec<u8>>) {
    let frame = &mut pending.frame;
    (frame.retransmitted, frame.dest_call, frame.iseqno) = (true, remote_call, iseqno);
    out.push(frame.encode());
}
