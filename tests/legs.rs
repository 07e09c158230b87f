//! Two IAX2 endpoints over a network that loses, repeats and delays datagrams, under virtual time.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use proptest::prelude::RngCore;
use proptest::test_runner::{RngAlgorithm, TestRng};
use swiftlb::engine::{CallUid, CallerMessage, ExchangeMessage, Input};
use swiftlb::iax2::frame::{Frame, FrameType, FullFrame, decode, iax};
use swiftlb::iax2::leg::{Leg, Received};
use swiftlb::iax2::{Endpoint, Iax2Config, Output};
use swiftlb::interface::Outcome;

const CONFIG: &str = r#"{"enabled":true,"listen":"127.0.0.1:0","nodes":[1],
    "contexts":[{"context":"status","class":"status","numbers":[{"prefix":"","exchange":1}]}]}"#;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The switch that sends a call out (0) and the one that takes it in (1).
struct Pair {
    ends: [Endpoint; 2],
    now: SystemTime,
    /// Datagrams on their way: when they arrive, at which end, and their bytes.
    wire: Vec<(SystemTime, usize, Vec<u8>)>,
    rng: TestRng,
    /// Datagrams lost, in a hundred.
    loss: u32,
    seen: [Vec<Input>; 2],
}

impl Pair {
    fn new(seed: u8, loss: u32) -> Self {
        let config = || Iax2Config::parse(CONFIG).expect("a configuration").expect("it is on");
        let ends = [Endpoint::new(config(), 0, 1), Endpoint::new(config(), 0, 2)];
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        Self { ends, now: UNIX_EPOCH, wire: Vec::new(), rng, loss, seen: [Vec::new(), Vec::new()] }
    }

    fn act(&mut self, end: usize, work: impl FnOnce(&mut Endpoint, SystemTime, &mut Output)) {
        let mut out = Output::default();
        work(&mut self.ends[end], self.now, &mut out);
        for (_, bytes) in out.datagrams {
            let copies =
                if self.rng.next_u32() % 100 < self.loss { 0 } else { 1 + self.rng.next_u32() % 10 / 9 };
            for _ in 0..copies {
                let delay = Duration::from_millis(u64::from(5 + self.rng.next_u32() % 60));
                self.wire.push((self.now + delay, 1 - end, bytes.clone()));
            }
        }
        self.seen[end].extend(out.inputs);
    }

    /// Lets everything happen until this holds or nothing is left to happen.
    fn until(&mut self, holds: impl Fn(&Self) -> bool) -> bool {
        while !holds(self) {
            let arrival = self.wire.iter().enumerate().min_by_key(|(_, d)| d.0).map(|(i, d)| (d.0, i));
            let wakes = (0..2).filter_map(|end| self.ends[end].next_timeout().map(|at| (at, end))).min();
            match (arrival, wakes) {
                (Some((at, i)), wake) if wake.is_none_or(|(wake, _)| at <= wake) => {
                    let (_, end, bytes) = self.wire.remove(i);
                    self.now = self.now.max(at);
                    let from = address(1 - end as u16);
                    self.act(end, |endpoint, now, out| endpoint.receive(now, from, &bytes, out));
                }
                (_, Some((at, end))) => {
                    self.now = self.now.max(at);
                    self.act(end, |endpoint, now, out| endpoint.handle_timeout(now, out));
                }
                _ => return false,
            }
            if self.now > UNIX_EPOCH + Duration::from_secs(120) {
                return false;
            }
        }
        true
    }

    fn count(&self, end: usize, of: impl Fn(&Input) -> bool) -> usize {
        self.seen[end].iter().filter(|input| of(input)).count()
    }
}

fn answered(input: &Input) -> bool {
    matches!(input, Input::Answered { .. })
}

fn ended(input: &Input) -> bool {
    matches!(input, Input::Ended { .. })
}

fn set_up(input: &Input) -> bool {
    matches!(input, Input::SetUp { .. })
}

#[test]
fn on_a_poor_link_every_call_is_set_up_at_most_once_and_ends_exactly_once() {
    let (mut stood, mut died) = (0, 0);
    for seed in 0..60 {
        let mut pair = Pair::new(seed, 25);
        let call = CallUid::from_u64(7);
        pair.act(0, |e, now, out| e.connect_exchange(now, 3, address(1), Duration::from_secs(5), out));
        let connected = |p: &Pair| p.count(0, |i| matches!(i, Input::ExchangeConnected { .. })) == 1;
        assert!(pair.until(connected), "seed {seed}");
        let (class, called_number) = ("status".to_owned(), Some("1".to_owned()));
        let word = ExchangeMessage::SetUp {
            class,
            called_number,
            remaining: Duration::from_secs(3),
            description: None,
        };
        pair.act(0, |e, now, out| e.send_to_exchange(now, 3, call, &word, out));
        pair.until(|p| p.count(1, set_up) + p.count(0, ended) > 0);
        if let Some(Input::SetUp { call: far, .. }) = pair.seen[1].iter().find(|i| set_up(i)).cloned() {
            let description = None;
            pair.act(1, |e, now, out| {
                e.send_to_caller(now, far, &CallerMessage::Answered { description }, out)
            });
            pair.until(|p| p.count(0, answered) + p.count(0, ended) > 0);
            pair.act(1, |e, now, out| {
                e.send_to_caller(now, far, &CallerMessage::Released { cut: false }, out)
            });
        }
        pair.until(|p| p.count(0, ended) > 0);
        // Whoever ended it, both ends forget it, and no late copy brings anything back.
        let quiet = |p: &Pair| p.wire.is_empty() && p.ends.iter().all(|e| e.leg_count() == 0);
        assert!(pair.until(quiet), "seed {seed}: legs are left");
        assert_eq!((pair.count(0, ended), pair.count(1, set_up)), (1, 1), "seed {seed}");
        assert!(pair.count(0, answered) <= 1, "seed {seed}");
        let normal = |i: &Input| matches!(i, Input::Ended { outcome: Outcome::Completed, .. });
        if pair.count(0, normal) == 1 { stood += 1 } else { died += 1 }
    }
    assert!(stood >= 40, "{stood} of 60 calls reached their end, {died} legs died");
}

#[test]
fn a_set_up_that_is_given_up_unacknowledged_is_not_repeated() {
    let mut pair = Pair::new(1, 0);
    pair.act(0, |e, now, out| e.connect_exchange(now, 3, address(1), Duration::from_secs(5), out));
    assert!(pair.until(|p| p.count(0, |i| matches!(i, Input::ExchangeConnected { .. })) == 1));
    // From here on everything is lost.
    pair.loss = 100;
    pair.wire.clear();
    let call = CallUid::from_u64(7);
    let word = ExchangeMessage::SetUp {
        class: "status".into(),
        called_number: None,
        remaining: Duration::from_secs(3),
        description: None,
    };
    pair.act(0, |e, now, out| e.send_to_exchange(now, 3, call, &word, out));
    pair.act(0, |e, now, out| e.send_to_exchange(now, 3, call, &ExchangeMessage::Cancel, out));
    // The link heals: only the hang-up comes through, and the other end never saw a call.
    pair.loss = 0;
    assert!(pair.until(|p| p.wire.is_empty() && p.ends.iter().all(|e| e.leg_count() == 0)));
    assert_eq!(pair.count(1, set_up), 0);
}

fn frame(oseqno: u8, subclass: u32, payload: Vec<u8>) -> FullFrame {
    let (source_call, dest_call, frame_type) = (9, 5, FrameType::Iax);
    FullFrame {
        source_call,
        dest_call,
        retransmitted: false,
        timestamp: 77,
        oseqno,
        iseqno: 0,
        frame_type,
        subclass,
        payload,
    }
}

fn only(sent: &[Vec<u8>]) -> FullFrame {
    assert_eq!(sent.len(), 1, "{sent:?}");
    match decode(&sent[0]) {
        Ok(Frame::Full(frame)) => frame,
        other => panic!("{other:?}"),
    }
}

#[test]
fn frames_come_in_order_and_once_and_gaps_are_asked_for() {
    let mut leg = Leg::new(5, 9, UNIX_EPOCH);
    let mut take = |frame: FullFrame| {
        let mut sent = Vec::new();
        (leg.receive(UNIX_EPOCH, frame, &mut sent), sent)
    };
    let (heard, sent) = take(frame(1, iax::ACCEPT, vec![]));
    assert_eq!((heard, only(&sent).is_iax(iax::VNAK), only(&sent).iseqno), (Received::Handled, true, 0));
    let first = frame(0, iax::ACCEPT, vec![]);
    let (heard, sent) = take(first.clone());
    assert_eq!(
        (heard, only(&sent).is_iax(iax::ACK), only(&sent).timestamp),
        (Received::Frame(first.clone()), true, 77)
    );
    let (heard, sent) = take(first);
    assert_eq!((heard, only(&sent).is_iax(iax::ACK)), (Received::Handled, true));
    // Questions about the link are answered with the time stamp of the question.
    for (oseqno, asked, told) in [(1, iax::PING, iax::PONG), (2, iax::LAGRQ, iax::LAGRP)] {
        let (heard, sent) = take(frame(oseqno, asked, vec![]));
        let answer = only(&sent[1..]);
        assert_eq!((heard, answer.is_iax(told), answer.timestamp), (Received::Handled, true, 77));
    }
    assert_eq!(take(frame(3, iax::INVAL, vec![])).0, Received::UnknownCall);
}

#[test]
fn unacknowledged_frames_are_repeated_with_back_off_until_the_peer_is_taken_for_dead() {
    let mut leg = Leg::new(5, 9, UNIX_EPOCH);
    let mut sent = Vec::new();
    leg.send(UNIX_EPOCH, FrameType::Iax, iax::ACCEPT, vec![], &mut sent);
    leg.send(UNIX_EPOCH, FrameType::Iax, iax::PING, vec![], &mut sent);
    // A report that the first has come, and that the second is missing.
    sent.clear();
    let vnak = FullFrame { iseqno: 1, ..frame(0, iax::VNAK, vec![]) };
    leg.receive(UNIX_EPOCH, vnak, &mut sent);
    assert!(only(&sent).is_iax(iax::PING) && only(&sent).retransmitted);
    let mut times = Vec::new();
    let alive = loop {
        let at = leg.next_timeout(true).expect("it waits");
        sent.clear();
        if !leg.handle_timeout(at, true, &mut sent) {
            break at;
        }
        times.push(at.duration_since(UNIX_EPOCH).expect("later").as_millis());
        assert!(only(&sent).retransmitted);
    };
    assert_eq!(times, [500, 1_500, 3_500, 5_500]);
    assert_eq!(alive, UNIX_EPOCH + Duration::from_millis(7_500));
}

#[test]
fn two_ends_that_do_not_understand_each_other_do_not_go_on_about_it() {
    let mut pair = Pair::new(1, 0);
    let payload = vec![0x0b, 2, 0, 2, 1, 1, b'1', 5, 6, b's', b't', b'a', b't', b'u', b's'];
    let new = FullFrame { source_call: 9, dest_call: 0, ..frame(0, iax::NEW, payload) };
    pair.act(1, |e, now, out| e.receive(now, address(0), &new.encode(), out));
    assert_eq!(pair.count(1, set_up), 1);
    let number = match pair.wire.first().map(|(_, _, bytes)| decode(bytes)) {
        Some(Ok(Frame::Full(ack))) => ack.source_call,
        other => panic!("{other:?}"),
    };
    pair.wire.clear();
    let strange = FullFrame { dest_call: number, ..frame(1, iax::UNSUPPORT, vec![]) };
    pair.act(1, |e, now, out| e.receive(now, address(0), &strange.encode(), out));
    assert!(only(&[pair.wire[0].2.clone()]).is_iax(iax::ACK) && pair.wire.len() == 1);

    // The last message may be acknowledged by any frame; the leg is given back all the same.
    let call = match &pair.seen[1][0] {
        Input::SetUp { call, .. } => *call,
        other => panic!("{other:?}"),
    };
    pair.act(1, |e, now, out| e.send_to_caller(now, call, &CallerMessage::Failed { busy: false }, out));
    let last = FullFrame { dest_call: number, frame_type: FrameType::Text, iseqno: 1, ..frame(2, 0, vec![]) };
    pair.act(1, |e, now, out| e.receive(now, address(0), &last.encode(), out));
    assert_eq!(pair.ends[1].leg_count(), 0);
}
