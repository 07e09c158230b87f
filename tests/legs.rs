//! Two IAX2 endpoints over a simulated network that loses, duplicates and delays datagrams, in virtual time.

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

/// Two connected endpoints: 0 places calls, 1 receives them.
struct EndpointPair {
    endpoints: [Endpoint; 2],
    now: SystemTime,
    /// Datagrams in transit: arrival time, receiving endpoint and content.
    in_transit: Vec<(SystemTime, usize, Vec<u8>)>,
    rng: TestRng,
    /// Percentage of datagrams that are lost.
    loss_percent: u32,
    inputs: [Vec<Input>; 2],
}

impl EndpointPair {
    fn new(seed: u8, loss_percent: u32) -> Self {
        let config = || Iax2Config::parse(CONFIG).expect("a configuration").expect("IAX2 is enabled");
        let endpoints = [Endpoint::new(config(), 0, 1), Endpoint::new(config(), 0, 2)];
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        Self {
            endpoints,
            now: UNIX_EPOCH,
            in_transit: Vec::new(),
            rng,
            loss_percent,
            inputs: [Vec::new(), Vec::new()],
        }
    }

    fn apply(&mut self, side: usize, action: impl FnOnce(&mut Endpoint, SystemTime, &mut Output)) {
        let mut out = Output::default();
        action(&mut self.endpoints[side], self.now, &mut out);
        for (_, bytes) in out.datagrams {
            // One in ten of the datagrams that are not lost is duplicated.
            let copies = if self.rng.next_u32() % 100 < self.loss_percent {
                0
            } else {
                1 + self.rng.next_u32() % 10 / 9
            };
            for _ in 0..copies {
                let delay = Duration::from_millis(u64::from(5 + self.rng.next_u32() % 60));
                self.in_transit.push((self.now + delay, 1 - side, bytes.clone()));
            }
        }
        self.inputs[side].extend(out.inputs);
    }

    /// Delivers datagrams and fires timers until `condition` holds. Returns false if it does not hold within 120 s
    /// or nothing is left to do.
    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) -> bool {
        while !condition(self) {
            let arrival = self.in_transit.iter().enumerate().min_by_key(|(_, d)| d.0).map(|(i, d)| (d.0, i));
            let timeout =
                (0..2).filter_map(|side| self.endpoints[side].next_timeout().map(|at| (at, side))).min();
            match (arrival, timeout) {
                (Some((at, i)), timeout) if timeout.is_none_or(|(timeout, _)| at <= timeout) => {
                    let (_, side, bytes) = self.in_transit.remove(i);
                    self.now = self.now.max(at);
                    let from = address(1 - side as u16);
                    self.apply(side, |endpoint, now, out| endpoint.receive(now, from, &bytes, out));
                }
                (_, Some((at, side))) => {
                    self.now = self.now.max(at);
                    self.apply(side, |endpoint, now, out| endpoint.handle_timeout(now, out));
                }
                _ => return false,
            }
            if self.now > UNIX_EPOCH + Duration::from_secs(120) {
                return false;
            }
        }
        true
    }

    fn count(&self, side: usize, predicate: impl Fn(&Input) -> bool) -> usize {
        self.inputs[side].iter().filter(|input| predicate(input)).count()
    }
}

fn is_answered(input: &Input) -> bool {
    matches!(input, Input::Answered { .. })
}

fn is_ended(input: &Input) -> bool {
    matches!(input, Input::Ended { .. })
}

fn is_set_up(input: &Input) -> bool {
    matches!(input, Input::SetUp { .. })
}

#[test]
fn with_packet_loss_every_call_is_set_up_at_most_once_and_ends_exactly_once() {
    let (mut completed, mut failed) = (0, 0);
    for seed in 0..60 {
        let mut pair = EndpointPair::new(seed, 25);
        let call = CallUid::from_u64(7);
        pair.apply(0, |e, now, out| e.connect_exchange(now, 3, address(1), Duration::from_secs(5), out));
        let is_connected =
            |p: &EndpointPair| p.count(0, |i| matches!(i, Input::ExchangeConnected { .. })) == 1;
        assert!(pair.run_until(is_connected), "seed {seed}");
        let (class, called_number) = ("status".to_owned(), Some("1".to_owned()));
        let message = ExchangeMessage::SetUp {
            class,
            called_number,
            remaining: Duration::from_secs(3),
            description: None,
        };
        pair.apply(0, |e, now, out| e.send_to_exchange(now, 3, call, &message, out));
        pair.run_until(|p| p.count(1, is_set_up) + p.count(0, is_ended) > 0);
        if let Some(Input::SetUp { call: incoming_call, .. }) =
            pair.inputs[1].iter().find(|i| is_set_up(i)).cloned()
        {
            let description = None;
            pair.apply(1, |e, now, out| {
                e.send_to_caller(now, incoming_call, &CallerMessage::Answered { description }, out)
            });
            pair.run_until(|p| p.count(0, is_answered) + p.count(0, is_ended) > 0);
            pair.apply(1, |e, now, out| {
                e.send_to_caller(now, incoming_call, &CallerMessage::Released { cut: false }, out)
            });
        }
        pair.run_until(|p| p.count(0, is_ended) > 0);
        // Whichever side ends the call, both endpoints remove their legs, and no delayed duplicate creates a leg.
        let idle =
            |p: &EndpointPair| p.in_transit.is_empty() && p.endpoints.iter().all(|e| e.leg_count() == 0);
        assert!(pair.run_until(idle), "seed {seed}: legs are left");
        assert_eq!((pair.count(0, is_ended), pair.count(1, is_set_up)), (1, 1), "seed {seed}");
        assert!(pair.count(0, is_answered) <= 1, "seed {seed}");
        let is_completed = |i: &Input| matches!(i, Input::Ended { outcome: Outcome::Completed, .. });
        if pair.count(0, is_completed) == 1 { completed += 1 } else { failed += 1 }
    }
    assert!(completed >= 40, "{completed} of 60 calls completed, {failed} failed");
}

#[test]
fn a_set_up_that_is_cancelled_before_its_acknowledgement_is_not_retransmitted() {
    let mut pair = EndpointPair::new(1, 0);
    pair.apply(0, |e, now, out| e.connect_exchange(now, 3, address(1), Duration::from_secs(5), out));
    assert!(pair.run_until(|p| p.count(0, |i| matches!(i, Input::ExchangeConnected { .. })) == 1));
    // From here on, every datagram is lost.
    pair.loss_percent = 100;
    pair.in_transit.clear();
    let call = CallUid::from_u64(7);
    let message = ExchangeMessage::SetUp {
        class: "status".into(),
        called_number: None,
        remaining: Duration::from_secs(3),
        description: None,
    };
    pair.apply(0, |e, now, out| e.send_to_exchange(now, 3, call, &message, out));
    pair.apply(0, |e, now, out| e.send_to_exchange(now, 3, call, &ExchangeMessage::Cancel, out));
    // The network works again: only the HANGUP arrives, and the other endpoint never gets a set-up.
    pair.loss_percent = 0;
    assert!(pair.run_until(|p| p.in_transit.is_empty() && p.endpoints.iter().all(|e| e.leg_count() == 0)));
    assert_eq!(pair.count(1, is_set_up), 0);
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

fn single_frame(sent: &[Vec<u8>]) -> FullFrame {
    assert_eq!(sent.len(), 1, "{sent:?}");
    match decode(&sent[0]) {
        Ok(Frame::Full(frame)) => frame,
        other => panic!("{other:?}"),
    }
}

#[test]
fn frames_are_delivered_once_and_in_sequence_and_missing_ones_are_requested() {
    let mut leg = Leg::new(5, 9, UNIX_EPOCH);
    let mut receive = |frame: FullFrame| {
        let mut sent = Vec::new();
        (leg.receive(UNIX_EPOCH, frame, &mut sent), sent)
    };
    let (received, sent) = receive(frame(1, iax::ACCEPT, vec![]));
    assert_eq!(
        (received, single_frame(&sent).is_iax(iax::VNAK), single_frame(&sent).iseqno),
        (Received::Handled, true, 0)
    );
    let first = frame(0, iax::ACCEPT, vec![]);
    let (received, sent) = receive(first.clone());
    assert_eq!(
        (received, single_frame(&sent).is_iax(iax::ACK), single_frame(&sent).timestamp),
        (Received::Frame(first.clone()), true, 77)
    );
    let (received, sent) = receive(first);
    assert_eq!((received, single_frame(&sent).is_iax(iax::ACK)), (Received::Handled, true));
    // PONG and LAGRP carry the timestamp of the request.
    for (oseqno, request, reply) in [(1, iax::PING, iax::PONG), (2, iax::LAGRQ, iax::LAGRP)] {
        let (received, sent) = receive(frame(oseqno, request, vec![]));
        let reply_frame = single_frame(&sent[1..]);
        assert_eq!(
            (received, reply_frame.is_iax(reply), reply_frame.timestamp),
            (Received::Handled, true, 77)
        );
    }
    assert_eq!(receive(frame(3, iax::INVAL, vec![])).0, Received::UnknownCall);
}

/// Guards against calls whose peer vanishes while nothing is sent, and whose end is told too late: it is due within 8 s.
#[test]
fn a_peer_that_vanishes_is_considered_dead_7_500_ms_after_its_last_frame() {
    let mut leg = Leg::new(5, 9, UNIX_EPOCH);
    let last_frame = UNIX_EPOCH + Duration::from_secs(60);
    leg.receive(last_frame, frame(0, iax::ACCEPT, vec![]), &mut Vec::new());
    let declared_dead_at = loop {
        let at = leg.next_timeout(false).expect("a timer");
        if !leg.handle_timeout(at, false, &mut Vec::new()) {
            break at;
        }
    };
    assert_eq!(declared_dead_at, last_frame + Duration::from_millis(7_500));
}

/// Guards against peers that are considered dead because this process was stopped for a while, and against others that are
/// heard by their voice alone.
#[test]
fn a_peer_is_not_considered_dead_before_retransmissions_or_while_its_voice_is_heard() {
    let mut leg = Leg::new(5, 9, UNIX_EPOCH);
    let mut sent = Vec::new();
    assert!(leg.handle_timeout(UNIX_EPOCH + Duration::from_secs(3), false, &mut sent));
    assert!(single_frame(&sent).is_iax(iax::PING));
    let resumed = UNIX_EPOCH + Duration::from_secs(30);
    assert!(leg.handle_timeout(resumed, false, &mut sent));
    assert!(leg.next_timeout(false).expect("a timer") > resumed, "it waits for the retransmission");
    let mut leg = Leg::new(5, 9, UNIX_EPOCH);
    for seconds in 0..8 {
        let now = UNIX_EPOCH + Duration::from_secs(seconds);
        leg.mark_heard(now);
        assert!(leg.handle_timeout(now, false, &mut sent));
    }
}

#[test]
fn unacknowledged_frames_are_retransmitted_with_back_off_until_the_peer_is_considered_dead() {
    let mut leg = Leg::new(5, 9, UNIX_EPOCH);
    let mut sent = Vec::new();
    leg.send(UNIX_EPOCH, FrameType::Iax, iax::ACCEPT, vec![], &mut sent);
    leg.send(UNIX_EPOCH, FrameType::Iax, iax::PING, vec![], &mut sent);
    // A VNAK that acknowledges the first frame and requests the second.
    sent.clear();
    let vnak = FullFrame { iseqno: 1, ..frame(0, iax::VNAK, vec![]) };
    leg.receive(UNIX_EPOCH, vnak, &mut sent);
    assert!(single_frame(&sent).is_iax(iax::PING) && single_frame(&sent).retransmitted);
    let mut times = Vec::new();
    let declared_dead_at = loop {
        let at = leg.next_timeout(true).expect("a timer");
        sent.clear();
        if !leg.handle_timeout(at, true, &mut sent) {
            break at;
        }
        times.push(at.duration_since(UNIX_EPOCH).expect("later").as_millis());
        assert!(single_frame(&sent).retransmitted);
    };
    assert_eq!(times, [500, 1_500, 3_500, 5_500]);
    assert_eq!(declared_dead_at, UNIX_EPOCH + Duration::from_millis(7_500));
}

#[test]
fn unsupport_gets_no_reply_and_any_frame_may_acknowledge_the_final_message() {
    let mut pair = EndpointPair::new(1, 0);
    let payload = vec![0x0b, 2, 0, 2, 1, 1, b'1', 5, 6, b's', b't', b'a', b't', b'u', b's'];
    let new = FullFrame { source_call: 9, dest_call: 0, ..frame(0, iax::NEW, payload) };
    pair.apply(1, |e, now, out| e.receive(now, address(0), &new.encode(), out));
    assert_eq!(pair.count(1, is_set_up), 1);
    let call_number = match pair.in_transit.first().map(|(_, _, bytes)| decode(bytes)) {
        Some(Ok(Frame::Full(ack))) => ack.source_call,
        other => panic!("{other:?}"),
    };
    pair.in_transit.clear();
    let unsupport = FullFrame { dest_call: call_number, ..frame(1, iax::UNSUPPORT, vec![]) };
    pair.apply(1, |e, now, out| e.receive(now, address(0), &unsupport.encode(), out));
    assert!(single_frame(&[pair.in_transit[0].2.clone()]).is_iax(iax::ACK) && pair.in_transit.len() == 1);

    // Any frame may acknowledge the final message; the leg is then removed.
    let call = match &pair.inputs[1][0] {
        Input::SetUp { call, .. } => *call,
        other => panic!("{other:?}"),
    };
    pair.apply(1, |e, now, out| e.send_to_caller(now, call, &CallerMessage::Failed { busy: false }, out));
    let last =
        FullFrame { dest_call: call_number, frame_type: FrameType::Text, iseqno: 1, ..frame(2, 0, vec![]) };
    pair.apply(1, |e, now, out| e.receive(now, address(0), &last.encode(), out));
    assert_eq!(pair.endpoints[1].leg_count(), 0);
}

/// Guards against a delayed duplicate of the NEW of a long call that sets the call up again after its end.
#[test]
fn a_late_duplicate_of_a_new_frame_does_not_set_up_a_call_again_after_its_end() {
    let mut pair = EndpointPair::new(1, 0);
    pair.apply(0, |e, now, out| e.connect_exchange(now, 3, address(1), Duration::from_secs(5), out));
    assert!(pair.run_until(|p| p.count(0, |i| matches!(i, Input::ExchangeConnected { .. })) == 1));
    let call = CallUid::from_u64(7);
    let message = ExchangeMessage::SetUp {
        class: "status".into(),
        called_number: Some("1".into()),
        remaining: Duration::from_secs(3),
        description: None,
    };
    pair.apply(0, |e, now, out| e.send_to_exchange(now, 3, call, &message, out));
    let new_frame = pair.in_transit.last().expect("the NEW frame").2.clone();
    assert!(pair.run_until(|p| p.count(1, is_set_up) == 1));
    let Some(Input::SetUp { call: incoming, .. }) = pair.inputs[1].iter().find(|i| is_set_up(i)).cloned()
    else {
        panic!("a set-up");
    };
    pair.apply(1, |e, now, out| {
        e.send_to_caller(now, incoming, &CallerMessage::Answered { description: None }, out)
    });
    assert!(pair.run_until(|p| p.count(0, is_answered) == 1));
    let long_after = pair.now + Duration::from_secs(10);
    pair.run_until(|p| p.now >= long_after);
    pair.now = pair.now.max(long_after);
    pair.apply(1, |e, now, out| e.handle_timeout(now, out));
    pair.apply(1, |e, now, out| {
        e.send_to_caller(now, incoming, &CallerMessage::Released { cut: false }, out)
    });
    assert!(pair.run_until(|p| p.endpoints.iter().all(|e| e.leg_count() == 0)));
    let from = address(0);
    pair.apply(1, |e, now, out| e.receive(now, from, &new_frame, out));
    assert_eq!(pair.count(1, is_set_up), 1);
}
