//! One leg of a call under IAX2 (RFC 5456, section 7): numbering, acknowledgement, repetition and liveness.
//!
//! No sockets and no clock: datagrams and times go in, datagrams come out. What frames mean for the call is
//! for the endpoint to say.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use super::frame::{Full, Kind, Mini, iax};

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
    frame: Full,
    next: SystemTime,
    gap: Duration,
    repeated: u32,
}

/// What a frame that came means to the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The next frame in order, for the first time.
    Frame(Full),
    /// Nothing: the leg has seen to it.
    Nothing,
    /// The peer knows no such call.
    Invalid,
}

/// One voice frame on its way through, stamped in the time of the leg it came on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voice {
    /// Whole time stamp.
    pub stamp: u32,
    /// Format.
    pub format: u32,
    /// Sound.
    pub payload: Vec<u8>,
}

/// State of a leg.
#[derive(Clone, Debug)]
pub struct Leg {
    /// Our number of the call.
    pub local: u16,
    /// The peer's number; 0 until it has told.
    pub remote: u16,
    started: SystemTime,
    oseq: u8,
    iseq: u8,
    unacked: VecDeque<Unacked>,
    ping_at: SystemTime,
    last_stamp: u32,
    voice_in: Option<(u32, u32)>,
    voice_out: Option<(u32, u32)>,
    offset: Option<i64>,
}

impl Leg {
    /// A leg that begins now.
    pub fn new(local: u16, remote: u16, now: SystemTime) -> Self {
        Self {
            local,
            remote,
            started: now,
            oseq: 0,
            iseq: 0,
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

    fn frame(&self, kind: Kind, subclass: u32, timestamp: u32, payload: Vec<u8>) -> Full {
        Full {
            source: self.local,
            dest: self.remote,
            again: false,
            timestamp,
            oseq: self.oseq,
            iseq: self.iseq,
            kind,
            subclass,
            payload,
        }
    }

    /// Sends a frame that the peer has to acknowledge.
    pub fn send(
        &mut self,
        now: SystemTime,
        kind: Kind,
        subclass: u32,
        payload: Vec<u8>,
        out: &mut Vec<Vec<u8>>,
    ) {
        let stamp = self.stamp(now);
        self.send_stamped(now, kind, subclass, stamp, payload, out);
    }

    fn send_stamped(
        &mut self,
        now: SystemTime,
        kind: Kind,
        subclass: u32,
        stamp: u32,
        payload: Vec<u8>,
        out: &mut Vec<Vec<u8>>,
    ) {
        let frame = self.frame(kind, subclass, stamp, payload);
        self.oseq = self.oseq.wrapping_add(1);
        out.push(frame.write());
        self.unacked.push_back(Unacked { frame, next: now + REPEAT, gap: REPEAT, repeated: 0 });
    }

    /// Reports on a frame of the peer, outside the numbering.
    fn report(&self, subclass: u32, timestamp: u32, out: &mut Vec<Vec<u8>>) {
        out.push(self.frame(Kind::Iax, subclass, timestamp, Vec::new()).write());
    }

    /// Takes a full frame that came for this leg.
    pub fn receive(&mut self, now: SystemTime, frame: Full, out: &mut Vec<Vec<u8>>) -> Heard {
        if self.remote == 0 {
            self.remote = frame.source;
        }
        if frame.is(iax::INVAL) {
            return Heard::Invalid;
        }
        self.ping_at = now + PING_EVERY;
        self.acknowledged(frame.iseq);
        if frame.is(iax::VNAK) {
            for waiting in &mut self.unacked {
                repeat(waiting, self.remote, self.iseq, out);
                waiting.next = now + waiting.gap;
            }
        }
        if !frame.counts() {
            return Heard::Nothing;
        }
        match frame.oseq.wrapping_sub(self.iseq) {
            0 => self.iseq = self.iseq.wrapping_add(1),
            // One that has come before: its acknowledgement was lost.
            128.. => {
                self.report(iax::ACK, frame.timestamp, out);
                return Heard::Nothing;
            }
            // Frames before it are missing.
            _ => {
                self.report(iax::VNAK, frame.timestamp, out);
                return Heard::Nothing;
            }
        }
        self.report(iax::ACK, frame.timestamp, out);
        match (frame.kind, frame.subclass) {
            (Kind::Iax, iax::PING) => {
                self.send_stamped(now, Kind::Iax, iax::PONG, frame.timestamp, Vec::new(), out);
            }
            (Kind::Iax, iax::LAGRQ) => {
                self.send_stamped(now, Kind::Iax, iax::LAGRP, frame.timestamp, Vec::new(), out);
            }
            (Kind::Iax, iax::PONG | iax::LAGRP) => {}
            _ => return Heard::Frame(frame),
        }
        Heard::Nothing
    }

    /// Everything before this number has come.
    fn acknowledged(&mut self, iseq: u8) {
        let Some(first) = self.unacked.front() else { return };
        let count = usize::from(iseq.wrapping_sub(first.frame.oseq));
        // More than was ever sent is a stray number, as from a frame that was long on its way.
        if count <= self.unacked.len() {
            self.unacked.drain(..count);
        }
    }

    /// Whether all that was sent has come.
    pub fn is_quiet(&self) -> bool {
        self.unacked.is_empty()
    }

    /// When it wants to be woken. A leg that is closing is not pinged.
    pub fn next_wake(&self, closing: bool) -> Option<SystemTime> {
        let next = self.unacked.iter().map(|waiting| waiting.next).min();
        if closing { next } else { Some(next.map_or(self.ping_at, |next| next.min(self.ping_at))) }
    }

    /// Repeats what is due and pings a quiet peer. False if the peer is taken for dead.
    pub fn wake(&mut self, now: SystemTime, closing: bool, out: &mut Vec<Vec<u8>>) -> bool {
        for waiting in self.unacked.iter_mut().filter(|waiting| waiting.next <= now) {
            if waiting.repeated >= REPETITIONS {
                return false;
            }
            waiting.repeated += 1;
            waiting.gap = (waiting.gap * 2).min(LONGEST_GAP);
            waiting.next = now + waiting.gap;
            repeat(waiting, self.remote, self.iseq, out);
        }
        if !closing && self.ping_at <= now {
            self.ping_at = now + PING_EVERY;
            if self.unacked.is_empty() {
                self.send(now, Kind::Iax, iax::PING, Vec::new(), out);
            }
        }
        true
    }

    /// Ends the leg with this message. A set-up that was never acknowledged is not repeated any more: it could
    /// reach the peer after it was given up, while the next attempt is already out.
    pub fn end(&mut self, now: SystemTime, subclass: u32, payload: Vec<u8>, out: &mut Vec<Vec<u8>>) {
        self.unacked.retain(|waiting| !waiting.frame.is(iax::NEW));
        self.send(now, Kind::Iax, subclass, payload, out);
    }

    /// Voice from a full frame.
    pub fn voice_of_full(&mut self, frame: Full) -> Voice {
        self.voice_in = Some((frame.timestamp, frame.subclass));
        Voice { stamp: frame.timestamp, format: frame.subclass, payload: frame.payload }
    }

    /// Voice from a mini frame, which has half a time stamp and no format; `None` before any full one.
    pub fn voice_of_mini(&mut self, mini: Mini) -> Option<Voice> {
        let (last, format) = self.voice_in?;
        // The nearest time stamp with this lower half.
        let step = mini.timestamp.wrapping_sub(last as u16) as i16;
        let stamp = last.wrapping_add_signed(i32::from(step));
        self.voice_in = Some((stamp.max(last), format));
        Some(Voice { stamp, format, payload: mini.payload })
    }

    /// Passes voice from the other leg on, in a mini frame wherever the peer can complete it.
    pub fn send_voice(&mut self, now: SystemTime, voice: Voice, out: &mut Vec<Vec<u8>>) {
        let elapsed = now.duration_since(self.started).unwrap_or_default().as_millis() as i64;
        let offset = *self.offset.get_or_insert(elapsed - i64::from(voice.stamp));
        let stamp = (i64::from(voice.stamp) + offset).max(0) as u32;
        if self.voice_out == Some((stamp >> 16, voice.format)) {
            out.push(Mini { source: self.local, timestamp: stamp as u16, payload: voice.payload }.write());
        } else {
            self.voice_out = Some((stamp >> 16, voice.format));
            self.send_stamped(now, Kind::Voice, voice.format, stamp, voice.payload, out);
        }
    }
}

fn repeat(waiting: &mut Unacked, remote: u16, iseq: u8, out: &mut Vec<Vec<u8>>) {
    let frame = &mut waiting.frame;
    (frame.again, frame.dest, frame.iseq) = (true, remote, iseq);
    out.push(frame.write());
}
