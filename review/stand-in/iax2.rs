//! An exchange that speaks IAX2 (RFC 5456): it answers every call at once and holds it until it is hung up. It is a process
//! of its own, prints what happens to its calls, and ends when its standard input ends.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};

use crate::exchange::end_with_parent;
use crate::platform::unix_ms;

const CONTROL: u8 = 4;
const CONTROL_ANSWER: u8 = 4;
const IAX: u8 = 6;
const NEW: u8 = 1;
const PING: u8 = 2;
const PONG: u8 = 3;
const ACK: u8 = 4;
const HANGUP: u8 = 5;
const REJECT: u8 = 6;
const ACCEPT: u8 = 7;
const INVAL: u8 = 10;
const VNAK: u8 = 18;
const POKE: u8 = 30;
/// Information elements.
const CALLED_NUMBER: u8 = 1;
const FORMAT: u8 = 9;

/// A leg, by its own call number.
struct Leg {
    peer: SocketAddr,
    remote: u16,
    oseq: u8,
    iseq: u8,
    called: String,
}

struct Received {
    source: u16,
    dest: u16,
    timestamp: u32,
    oseq: u8,
    kind: u8,
    subclass: u8,
}

fn frame(source: u16, dest: u16, timestamp: u32, seqs: (u8, u8), kind: (u8, u8), payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend((source | 0x8000).to_be_bytes());
    bytes.extend(dest.to_be_bytes());
    bytes.extend(timestamp.to_be_bytes());
    bytes.extend([seqs.0, seqs.1, kind.0, kind.1]);
    bytes.extend(payload);
    bytes
}

fn element(payload: &[u8], wanted: u8) -> Option<String> {
    let mut rest = payload;
    while let [code, length, tail @ ..] = rest {
        let value = tail.get(..usize::from(*length))?;
        if *code == wanted {
            return Some(String::from_utf8_lossy(value).into_owned());
        }
        rest = &tail[usize::from(*length)..];
    }
    None
}

pub fn run(address: &str) {
    let socket = UdpSocket::bind(address).expect("bind the exchange");
    end_with_parent();
    let say = |text: &str| println!("{} iax2 {text}", unix_ms());
    say("ready");
    let mut legs: HashMap<u16, Leg> = HashMap::new();
    let mut last = 10_u16;
    let mut bytes = [0; 2048];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut bytes) else { continue };
        let bytes = &bytes[..length];
        if length < 12 || bytes[0] & 0x80 == 0 {
            continue;
        }
        let word = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]) & 0x7fff;
        let got = Received {
            source: word(0),
            dest: word(2),
            timestamp: u32::from_be_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]),
            oseq: bytes[8],
            kind: bytes[10],
            subclass: bytes[11],
        };
        let payload = &bytes[12..];
        let send = |bytes: Vec<u8>| drop(socket.send_to(&bytes, from));
        if got.kind == IAX && got.subclass == POKE {
            send(frame(1, got.source, got.timestamp, (0, 1), (IAX, PONG), &[]));
            continue;
        }
        let known = legs.iter().find(|(own, leg)| {
            leg.peer == from && leg.remote == got.source && (got.dest == 0 || got.dest == **own)
        });
        let Some(own) = known.map(|(own, _)| *own) else {
            if got.kind == IAX && got.subclass == NEW && got.dest == 0 {
                last += 1;
                let called = element(payload, CALLED_NUMBER).unwrap_or_default();
                say(&format!("set-up {called}"));
                send(frame(last, got.source, got.timestamp, (0, 1), (IAX, ACK), &[]));
                let format = [FORMAT, 4, 0, 0, 0, 4];
                send(frame(last, got.source, 3, (0, 1), (IAX, ACCEPT), &format));
                send(frame(last, got.source, 4, (1, 1), (CONTROL, CONTROL_ANSWER), &[]));
                say(&format!("answered {called}"));
                legs.insert(last, Leg { peer: from, remote: got.source, oseq: 2, iseq: 1, called });
            } else if !(got.kind == IAX && [ACK, INVAL].contains(&got.subclass)) && got.dest > 1 {
                send(frame(got.dest, got.source, got.timestamp, (0, 0), (IAX, INVAL), &[]));
            }
            continue;
        };
        let Some(leg) = legs.get_mut(&own) else { continue };
        if got.kind == IAX && [ACK, INVAL, VNAK].contains(&got.subclass) {
            if got.subclass == INVAL {
                legs.remove(&own);
            }
            continue;
        }
        if got.oseq == leg.iseq {
            leg.iseq = leg.iseq.wrapping_add(1);
        }
        send(frame(own, got.source, got.timestamp, (leg.oseq, leg.iseq), (IAX, ACK), &[]));
        if got.kind == IAX && got.subclass == PING {
            send(frame(own, got.source, got.timestamp, (leg.oseq, leg.iseq), (IAX, PONG), &[]));
            leg.oseq = leg.oseq.wrapping_add(1);
        }
        if got.kind == IAX && [HANGUP, REJECT].contains(&got.subclass) {
            say(&format!("released-by-softswitch {}", leg.called));
            legs.remove(&own);
        }
    }
}
