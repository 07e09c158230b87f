//! One leg of a call under IAX2 (RFC 5456, section 7): numbering, acknowledgement, repetition and liveness.
//!
//! No sockets and no clock: datagrams and times go in, datagrams come out. What frames mean for the call is
//! for the endpoint to say.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use super::frame::{FrameType, FullFrame, MiniFrame, iax};

/// A frame that is not acknowledged is repeated after this time, then at doubling gaps.
const REPEAT: Duration = Duration::from_millis(500);
/// Longest gap between two repetitions. The specification allows 10 s; here a peer that has died must be
/// noticed within the 8 s in which the end of its calls has to be told.
const LONGEST_GAP: Duration = Duration::from_secs(2);
/// A peer that leaves this many repetitions unanswered is taken for dead.
const REPETITIONS: u32 = 4;
/// A quiet leg is pinged this often.
const PING_EVERY: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Unacked {
    frame: FullFrame,
    next: SystemTime,
    gap: Duration,
    repeated: u32,
}

/// What a frame that came means to the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The next frame in order, for the first time.
    Frame(FullFrame),
    /// Nothing: the leg has seen to it.
    Handled,
    /// The peer knows no such call.
    UnknownCall,
}

/// One voice frame on its way through, stamped in the time of the leg it came on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoiceFrame {
    /// Whole time stamp.
    pub timestamp: u32,
    /// Format.
    pub format: u32,
    /// Sound.
    pub payload: Vec<u8>,
}

/// State of a leg.
#[derive(Clone, Debug)]
pub struct Leg {
    /// Our number of the call.
    pub local_call: u16,
    /// The peer's number; 0 until it has told.
    pub remote_call: u16,
    started: SystemTime,
    oseqno: u8,
    iseqno: u8,
    unacked: VecDeque<Unacked>,
    ping_at: SystemTime,
    last_stamp: u32,
    voice_in: Option<(u32, u32)>,
    voice_out: Option<(u32, u32)>,
    offset: Option<i64>,
}

impl Leg {
    /// A leg that begins now.
    pub fn new(local_call: u16, remote_call: u16, now: SystemTime) -> Self {
        Self {
            local_call,
            remote_call,
            started: now,
            oseqno: 0,
            iseqno: 0,
            unacked: VecDeque::new(),
            ping_at: now + PING_EVERY,
            last_stamp: 0,
            voice_in: None,
            voice_out: None,
            offset: None,
        }
    }

    fn stamp(&mut self, now: SystemTime) -> u32 {
        let elapsed = now.duration_since(self.started).unwrap_or_default().as_millis() as u32;
        self.last_stamp = elapsed.max(self.last_stamp.wrapping_add(1));
        self.last_stamp
    }

    fn frame(&self, frame_type: FrameType, subclass: u32, timestamp: u32, payload: Vec<u8>) -> FullFrame {
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

    /// Sends a frame that the peer has to acknowledge.
    pub fn send(
        &mut self,
        now: SystemTime,
        frame_type: FrameType,
        subclass: u32,
        payload: Vec<u8>,
        out: &mut Vec<Vec<u8>>,
    ) {
        let stamp = self.stamp(now);
        self.send_stamped(now, frame_type, subclass, stamp, payload, out);
    }

    fn send_stamped(
        &mut self,
        now: SystemTime,
        frame_type: FrameType,
        subclass: u32,
        stamp: u32,
        payload: Vec<u8>,
        out: &mut Vec<Vec<u8>>,
    ) {
        let frame = self.frame(frame_type, subclass, stamp, payload);
        self.oseqno = self.oseqno.wrapping_add(1);
        out.push(frame.encode());
        self.unacked.push_back(Unacked { frame, next: now + REPEAT, gap: REPEAT, repeated: 0 });
    }

    /// Reports on a frame of the peer, outside the numbering.
    fn report(&self, subclass: u32, timestamp: u32, out: &mut Vec<Vec<u8>>) {
        out.push(self.frame(FrameType::Iax, subclass, timestamp, Vec::new()).encode());
    }

    /// Takes a full frame that came for this leg.
    pub fn receive(&mut self, now: SystemTime, frame: FullFrame, out: &mut Vec<Vec<u8>>) -> Received {
        if self.remote_call == 0 {
            self.remote_call = frame.source_call;
        }
        if frame.is_iax(iax::INVAL) {
            return Received::UnknownCall;
        }
        self.ping_at = now + PING_EVERY;
        self.acknowledged(frame.iseqno);
        if frame.is_iax(iax::VNAK) {
            for waiting in &mut self.unacked {
                repeat(waiting, self.remote_call, self.iseqno, out);
                waiting.next = now + waiting.gap;
            }
        }
        if !frame.is_sequenced() {
            return Received::Handled;
        }
        match frame.oseqno.wrapping_sub(self.iseqno) {
            0 => self.iseqno = self.iseqno.wrapping_add(1),
            // One that has come before: its acknowledgement was lost.
            128.. => {
                self.report(iax::ACK, frame.timestamp, out);
                return Received::Handled;
            }
            // Frames before it are missing.
            _ => {
                self.report(iax::VNAK, frame.timestamp, out);
                return Received::Handled;
            }
        }
        self.report(iax::ACK, frame.timestamp, out);
        match (frame.frame_type, frame.subclass) {
            (FrameType::Iax, iax::PING) => {
                self.send_stamped(now, FrameType::Iax, iax::PONG, frame.timestamp, Vec::new(), out);
            }
            (FrameType::Iax, iax::LAGRQ) => {
                self.send_stamped(now, FrameType::Iax, iax::LAGRP, frame.timestamp, Vec::new(), out);
            }
            (FrameType::Iax, iax::PONG | iax::LAGRP) => {}
            _ => return Received::Frame(frame),
        }
        Received::Handled
    }

    /// Everything before this number has come.
    fn acknowledged(&mut self, iseqno: u8) {
        let Some(first) = self.unacked.front() else { return };
        let count = usize::from(iseqno.wrapping_sub(first.frame.oseqno));
        // More than was ever sent is a stray number, as from a frame that was long on its way.
        if count <= self.unacked.len() {
            self.unacked.drain(..count);
        }
    }

    /// Whether all that was sent has come.
    pub fn all_acknowledged(&self) -> bool {
        self.unacked.is_empty()
    }

    /// When it wants to be woken. A leg that is closing is not pinged.
    pub fn next_timeout(&self, closing: bool) -> Option<SystemTime> {
        let next = self.unacked.iter().map(|waiting| waiting.next).min();
        if closing { next } else { Some(next.map_or(self.ping_at, |next| next.min(self.ping_at))) }
    }

    /// Repeats what is due and pings a quiet peer. False if the peer is taken for dead.
    pub fn handle_timeout(&mut self, now: SystemTime, closing: bool, out: &mut Vec<Vec<u8>>) -> bool {
        for waiting in self.unacked.iter_mut().filter(|waiting| waiting.next <= now) {
            if waiting.repeated >= REPETITIONS {
                return false;
            }
            waiting.repeated += 1;
            waiting.gap = (waiting.gap * 2).min(LONGEST_GAP);
            waiting.next = now + waiting.gap;
            repeat(waiting, self.remote_call, self.iseqno, out);
        }
        if !closing && self.ping_at <= now {
            self.ping_at = now + PING_EVERY;
            if self.unacked.is_empty() {
                self.send(now, FrameType::Iax, iax::PING, Vec::new(), out);
            }
        }
        true
    }

    /// Ends the leg with this message. A set-up that was never acknowledged is not repeated any more: it could
    /// reach the peer after it was given up, while the next attempt is already out.
    pub fn end(&mut self, now: SystemTime, subclass: u32, payload: Vec<u8>, out: &mut Vec<Vec<u8>>) {
        self.unacked.retain(|waiting| !waiting.frame.is_iax(iax::NEW));
        self.send(now, FrameType::Iax, subclass, payload, out);
    }

    /// Voice from a full frame.
    pub fn voice_from_full(&mut self, frame: FullFrame) -> VoiceFrame {
        self.voice_in = Some((frame.timestamp, frame.subclass));
        VoiceFrame { timestamp: frame.timestamp, format: frame.subclass, payload: frame.payload }
    }

    /// Voice from a mini frame, which has half a time stamp and no format; `None` before any full one.
    pub fn voice_from_mini(&mut self, mini: MiniFrame) -> Option<VoiceFrame> {
        let (last, format) = self.voice_in?;
        // The nearest time stamp with this lower half.
        let step = mini.timestamp.wrapping_sub(last as u16) as i16;
        let stamp = last.wrapping_add_signed(i32::from(step));
        self.voice_in = Some((stamp.max(last), format));
        Some(VoiceFrame { timestamp: stamp, format, payload: mini.payload })
    }

    /// Passes voice from the other leg on, in a mini frame wherever the peer can complete it.
    pub fn send_voice(&mut self, now: SystemTime, voice: VoiceFrame, out: &mut Vec<Vec<u8>>) {
        let elapsed = now.duration_since(self.started).unwrap_or_default().as_millis() as i64;
        let offset = *self.offset.get_or_insert(elapsed - i64::from(voice.timestamp));
        let stamp = (i64::from(voice.timestamp) + offset).max(0) as u32;
        if self.voice_out == Some((stamp >> 16, voice.format)) {
            out.push(
                MiniFrame { source_call: self.local_call, timestamp: stamp as u16, payload: voice.payload }
                    .encode(),
            );
        } else {
            self.voice_out = Some((stamp >> 16, voice.format));
            self.send_stamped(now, FrameType::Voice, voice.format, stamp, voice.payload, out);
        }
    }
}

fn repeat(waiting: &mut Unacked, remote_call: u16, iseqno: u8, out: &mut Vec<Vec<u8>>) {
    let frame = &mut waiting.frame;
    (frame.retransmitted, frame.dest_call, frame.iseqno) = (true, remote_call, iseqno);
    out.push(frame.encode());
}
