//! The whole softswitch on loopback sockets, with simulated exchanges and callers: the same rules hold on both fronts.

#[path = "common/endpoints.rs"]
mod endpoints;
#[path = "common/engine_harness.rs"]
mod engine_harness;

use std::time::Duration;

use endpoints::{Iax2Endpoint, JsonLinesConn, ListeningExchange, Softswitch, launch_line, timed};
use swiftlb::iax2::element::InformationElements;
use swiftlb::iax2::frame::{FrameType, FullFrame, MiniFrame, control, iax};
use swiftlb::net::connection::{ClosedConnections, Connection, MAX_CLOSED_CONNECTIONS};

const CALL: &str = "9b1f03aa5c7e2d41";
/// The configured release pause.
const RELEASE_PAUSE: Duration = Duration::from_millis(500);

fn stop(call: &str, cause: u32, meta: &str) -> String {
    format!(r#"{{"kind":"stop","uid":"{call}","meta":{{{meta}}},"reason":{cause}}}"#)
}

fn running(call: &str) -> String {
    format!(r#"{{"kind":"running","uid":"{call}","meta":{{}},"body":"ok\r\n"}}"#)
}

/// A softswitch with two connected exchanges on JSON lines.
fn two_exchanges() -> (Softswitch, [JsonLinesConn; 2]) {
    let exchanges = [ListeningExchange::new(), ListeningExchange::new()];
    let switch = Softswitch::start(&exchanges.each_ref().map(ListeningExchange::address), &[]);
    let exchanges = exchanges.map(|exchange| exchange.accept());
    (switch, exchanges)
}

/// Orders the exchanges: first the one, by index, that receives the next set-up.
fn in_order(exchanges: [JsonLinesConn; 2], first: usize) -> (JsonLinesConn, JsonLinesConn) {
    let [exchange_1, exchange_2] = exchanges;
    if first == 0 { (exchange_1, exchange_2) } else { (exchange_2, exchange_1) }
}

#[test]
fn a_json_lines_call_keeps_its_fields_on_the_way_to_a_json_lines_exchange() {
    let (switch, exchanges) = two_exchanges();
    let (mut exchange_1, _exchange_2) = in_order(exchanges, 0);
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(r#"{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}"#);
    assert_eq!(caller.expect("checked", "0000000000000001").cause(), 1.0);
    caller.send(&launch_line(CALL, 1, 1_500));
    let setup = exchange_1.expect("launch", CALL);
    assert_eq!((setup.text("meta.class").as_str(), setup.text("meta.key").as_str()), ("status", "7F3a"));
    assert_eq!(setup.text("body"), "v=0\r\n\u{fc} \"q\" \u{1f600}");
    let remaining: u32 = setup.text("meta.left").parse().expect("milliseconds");
    assert!((1_000..=1_500).contains(&remaining), "{remaining}");
    exchange_1.send(&running(CALL));
    assert_eq!(caller.expect("running", CALL).text("body"), "ok\r\n");
    // The release arrives while the caller has no connection; it is sent on the next one.
    drop(caller);
    exchange_1.send(&stop(CALL, 16, ""));
    let mut caller = JsonLinesConn::connect(switch.address);
    assert_eq!(caller.expect("stop", CALL).cause(), 16.0);
    caller.assert_quiet();
}

#[test]
fn malformed_lines_are_answered_if_they_contain_a_call_id_and_never_crash_the_softswitch() {
    let (switch, exchanges) = two_exchanges();
    let (mut exchange_1, _exchange_2) = in_order(exchanges, 0);
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&format!(r#"{{"kind":"launch","uid":"{CALL}","meta":{{"class":"status"}}}}"#));
    assert_eq!(caller.expect("stop", CALL).cause(), 41.0);
    let long = "x".repeat(17 * 1024);
    caller.assert_quiet();
    let mut other = JsonLinesConn::connect(switch.address);
    other.send_raw(format!(r#"{{"kind":"launch","uid":"00000000000000aa","body":"{long}"}}"#).as_bytes());
    assert_eq!(other.expect("stop", "00000000000000aa").cause(), 41.0);
    assert!(other.receive().is_none(), "the connection must be closed after a line that is too long");
    for garbage in [long.as_str(), "{}\n", "\u{1}\n", &format!("{}\n", "[".repeat(9_000)), "half a li"] {
        let mut other = JsonLinesConn::connect(switch.address);
        other.send_raw(garbage.as_bytes());
        let (end, elapsed) = timed(|| other.receive());
        assert!(
            end.is_none() && elapsed < Duration::from_secs(3),
            "{garbage:?}: the connection must be closed within 3 s"
        );
    }
    let other_call = "00000000000000ab";
    caller.send(&launch_line(other_call, 1, 1_500));
    exchange_1.expect("launch", other_call);
    // A set-up under the id of the one that has failed would be its second outcome.
    caller.send(&launch_line(CALL, 1, 1_500));
    assert_eq!(caller.expect("stop", other_call).cause(), 41.0);
    assert!(caller.receive().is_none(), "the connection must be closed after an id that was used before");
}

#[test]
fn a_request_to_stop_answers_all_open_calls_before_the_exit() {
    let (mut switch, exchanges) = two_exchanges();
    let (mut exchange_1, _exchange_2) = in_order(exchanges, 0);
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 3_000));
    exchange_1.expect("launch", CALL);
    let answer = std::thread::spawn(move || {
        exchange_1.expect("launch", "00000000000000bb");
        exchange_1.send(&running("00000000000000bb"));
        std::thread::sleep(Duration::from_millis(900));
        exchange_1.send(&running(CALL));
    });
    switch
        .loop_sender
        .send(swiftlb::net::LoopMessage::Input(swiftlb::engine::Input::Stop))
        .expect("running event loop");
    // A call on a connection opened after the request to stop is still served.
    let mut late = JsonLinesConn::connect(switch.address);
    late.send(&launch_line("00000000000000bb", 1, 3_000));
    late.expect("running", "00000000000000bb");
    caller.expect("running", CALL);
    answer.join().expect("thread of the exchange without a panic");
    assert!(switch.stop());
}

#[test]
fn the_death_of_an_exchange_cuts_its_established_calls_and_resets_its_open_attempts() {
    let (switch, exchanges) = two_exchanges();
    let (mut exchange_1, _exchange_2) = in_order(exchanges, 0);
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 3_000));
    exchange_1.expect("launch", CALL);
    exchange_1.send(&running(CALL));
    caller.expect("running", CALL);
    caller.send(&launch_line("00000000000000cc", 1, 400));
    caller.assert_quiet();
    exchange_1.reset();
    assert_ne!(caller.expect("stop", "00000000000000cc").cause(), 16.0);
    assert_eq!(caller.expect("stop", CALL).cause(), 41.0);
}

#[test]
fn a_reset_or_corrupt_exchange_connection_cuts_no_established_call_of_either_front() {
    let (switch, mut exchanges) = two_exchanges();
    let mut caller = JsonLinesConn::connect(switch.address);
    let mut iax2_caller = Iax2Endpoint::new(20);
    caller.send(&launch_line(CALL, 1, 3_000));
    exchanges[0].expect("launch", CALL);
    exchanges[0].send(&running(CALL));
    caller.expect("running", CALL);
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "17");
    let iax2_call = exchanges[0].receive().expect("a set-up").text("uid");
    exchanges[0].send(&running(&iax2_call));
    iax2_caller.expect(FrameType::Iax, iax::ACCEPT);
    iax2_caller.expect(FrameType::Control, control::ANSWER);
    // An answer with invalid text, but a readable call id: the connection is dropped all the same, the call is
    // released at the exchange and set up again.
    caller.send(&launch_line("00000000000000cc", 1, 3_000));
    exchanges[0].expect("launch", "00000000000000cc");
    exchanges[0]
        .send_raw(b"{\"kind\":\"running\",\"uid\":\"00000000000000cc\",\"meta\":{},\"body\":\"\xff\xfe\"}\n");
    exchanges[0].accept_next();
    assert_eq!(exchanges[0].expect("stop", "00000000000000cc").cause(), 16.0);
    exchanges[0].expect("launch", "00000000000000cc");
    exchanges[0].send(&running("00000000000000cc"));
    caller.expect("running", "00000000000000cc");
    // The connection breaks while an attempt is open: it is opened again, and the established calls end when the
    // exchange releases them.
    caller.send(&launch_line("00000000000000dd", 1, 400));
    caller.assert_quiet();
    let listener = exchanges[0].reset_and_listen();
    exchanges[0] = listener.accept();
    exchanges[0].send(&stop(CALL, 16, ""));
    exchanges[0].send(&stop(&iax2_call, 16, ""));
    assert_ne!(caller.expect("stop", "00000000000000dd").cause(), 16.0);
    assert_eq!(caller.expect("stop", CALL).cause(), 16.0);
    assert_eq!(iax2_caller.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
}

#[test]
fn a_reload_of_the_configuration_loses_no_call_of_either_front() {
    let (switch, mut exchanges) = two_exchanges();
    let mut caller = JsonLinesConn::connect(switch.address);
    let mut iax2_caller = Iax2Endpoint::new(20);
    caller.send(&launch_line(CALL, 1, 3_000));
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "17");
    let uids: Vec<String> = (0..2).map(|_| exchanges[0].receive().expect("a set-up").text("uid")).collect();
    let config = Box::new(engine_harness::config(3));
    switch
        .loop_sender
        .send(swiftlb::net::LoopMessage::Input(swiftlb::engine::Input::Reload(config)))
        .expect("running event loop");
    caller.assert_quiet();
    for uid in &uids {
        exchanges[0].send(&running(uid));
    }
    caller.expect("running", CALL);
    iax2_caller.expect(FrameType::Iax, iax::ACCEPT);
    iax2_caller.expect(FrameType::Control, control::ANSWER);
    caller.send(&stop(CALL, 16, ""));
    exchanges[0].expect("stop", CALL);
    iax2_caller.hang_up(16);
    assert!(uids.contains(&exchanges[0].receive().expect("a release").text("uid")));
}

#[test]
fn a_flood_of_iax2_frames_without_acknowledgements_does_not_block_other_callers() {
    let (switch, mut exchanges) = two_exchanges();
    let iax2_address = switch.iax2_address.expect("address of the IAX2 front");
    // Truncated and random frames, and set-ups of an unknown number, from a peer that acknowledges nothing.
    let flood = std::net::UdpSocket::bind("127.0.0.1:0").expect("bind a loopback port");
    let elements = InformationElements {
        version: Some(2),
        called_number: Some("9".to_owned()),
        ..InformationElements::default()
    };
    let mut iax2_caller = Iax2Endpoint::new(20);
    iax2_caller.peer = Some(iax2_address);
    for source_call in 1..400_u16 {
        // Every 20 rounds, wait until everything is read: datagrams that the system drops would test nothing.
        if source_call.is_multiple_of(20) {
            iax2_caller.frames_before_pong();
        }
        let (dest_call, retransmitted, timestamp, oseqno, iseqno) = (0, false, 1, 0, 0);
        let (frame_type, subclass, payload) = (FrameType::Iax, iax::NEW, elements.encode());
        let new = FullFrame {
            source_call,
            dest_call,
            retransmitted,
            timestamp,
            oseqno,
            iseqno,
            frame_type,
            subclass,
            payload,
        }
        .encode();
        flood.send_to(&new, iax2_address).expect("send a message");
        flood.send_to(&new[..usize::from(source_call) % new.len()], iax2_address).expect("send a message");
        flood.send_to(&[0xff; 40][..usize::from(source_call) % 40], iax2_address).expect("send a message");
    }
    iax2_caller.frames_before_pong();
    iax2_caller.call(iax2_address, "17");
    let call = exchanges[0].receive().expect("a set-up").text("uid");
    exchanges[0].send(&running(&call));
    iax2_caller.expect(FrameType::Iax, iax::ACCEPT);
    iax2_caller.expect(FrameType::Control, control::ANSWER);
}

#[test]
fn after_a_request_to_stop_an_iax2_rejection_that_was_not_acknowledged_is_retransmitted() {
    let (mut switch, mut exchanges) = two_exchanges();
    let mut iax2_caller = Iax2Endpoint::new(20);
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "17");
    let call = exchanges[0].receive().expect("a set-up").text("uid");
    switch
        .loop_sender
        .send(swiftlb::net::LoopMessage::Input(swiftlb::engine::Input::Stop))
        .expect("running event loop");
    std::thread::sleep(Duration::from_millis(800));
    exchanges[0].send(&stop(&call, 17, r#""note":"user_busy""#));
    let mut rejections = 0;
    while rejections < 2 {
        if let swiftlb::iax2::frame::Frame::Full(frame) = iax2_caller.receive_unacked()
            && frame.is_iax(iax::REJECT)
        {
            assert_eq!(frame.retransmitted, rejections == 1);
            rejections += 1;
        }
    }
    // From the exit on: 1 s of retransmissions, 50 ms for the last writes, 50 ms of slack.
    let thread = switch.thread.take().expect("running thread");
    let (ended, elapsed) = timed(|| thread.join().expect("thread without a panic"));
    assert!(ended && elapsed < Duration::from_millis(1_100), "ended after {elapsed:?}");
}

/// Script of an exchange for a caller of either front: it resets the first attempt and answers the second one. A reset
/// does not count against the exchange, so the second attempt takes the same route.
fn reset_then_answer(exchanges: &mut [JsonLinesConn; 2]) -> String {
    let call = exchanges[0].receive().expect("a set-up").text("uid");
    let (_, elapsed) = timed(|| {
        exchanges[0].send(&stop(&call, 41, ""));
        exchanges[0].expect("launch", &call)
    });
    assert!(elapsed >= RELEASE_PAUSE, "{elapsed:?}");
    exchanges[0].send(&running(&call));
    call
}

#[test]
fn the_release_pause_is_kept_for_a_caller_on_json_lines() {
    let (switch, mut exchanges) = two_exchanges();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    assert_eq!(reset_then_answer(&mut exchanges), CALL);
    caller.expect("running", CALL);
    // One attempt at a time, and one outcome: no further message to the caller or the other exchange.
    caller.assert_quiet();
    exchanges[1].assert_exchange_quiet();
}

#[test]
fn the_release_pause_is_kept_for_an_iax2_caller() {
    let (switch, mut exchanges) = two_exchanges();
    let mut iax2_caller = Iax2Endpoint::new(20);
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "17");
    reset_then_answer(&mut exchanges);
    iax2_caller.expect(FrameType::Iax, iax::ACCEPT);
    iax2_caller.expect(FrameType::Control, control::ANSWER);
    assert!(iax2_caller.frames_before_pong().iter().all(|frame| !frame.is_sequenced()));
    exchanges[1].assert_exchange_quiet();
}

#[test]
fn an_iax2_call_is_routed_to_a_json_lines_exchange() {
    let (switch, exchanges) = two_exchanges();
    let (mut exchange_1, _exchange_2) = in_order(exchanges, 0);
    let mut iax2_caller = Iax2Endpoint::new(20);
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "1700");
    let setup = exchange_1.receive().expect("a set-up");
    let call = setup.text("uid");
    // IAX2 does not carry the time that the caller waits: the deadline of the class applies.
    let remaining: u32 = setup.text("meta.left").parse().expect("milliseconds");
    assert!((1_200..=2_000).contains(&remaining), "{remaining}");
    assert_eq!((setup.text("meta.class").as_str(), setup.text("meta.key").as_str()), ("lookup", "1700"));
    exchange_1.send(&running(&call));
    iax2_caller.expect(FrameType::Iax, iax::ACCEPT);
    iax2_caller.expect(FrameType::Control, control::ANSWER);
    exchange_1.send(&stop(&call, 41, ""));
    assert_eq!(iax2_caller.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(41));
    assert!(
        iax2_caller.frames_before_pong().iter().all(|frame| !frame.is_sequenced()),
        "more than one final outcome"
    );
}

#[test]
fn a_refusal_reaches_an_iax2_caller_with_its_cause_and_retry_after() {
    let (switch, exchanges) = two_exchanges();
    let (mut exchange_1, mut exchange_2) = in_order(exchanges, 0);
    let mut busy = Iax2Endpoint::new(21);
    busy.call(switch.iax2_address.expect("address of the IAX2 front"), "11");
    let call = exchange_1.receive().expect("a set-up").text("uid");
    exchange_1.send(&stop(&call, 17, r#""note":"user_busy""#));
    assert_eq!(busy.expect(FrameType::Iax, iax::REJECT).cause_code, Some(17));
    let mut iax2_caller = Iax2Endpoint::new(20);
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "1");
    let call = exchange_1.receive().expect("a set-up").text("uid");
    exchange_1.send(&stop(&call, 34, r#""note":"group_full""#));
    exchange_2.expect("launch", &call);
    exchange_2.send(&stop(&call, 34, r#""note":"group_full""#));
    let rejection = iax2_caller.expect(FrameType::Iax, iax::REJECT);
    assert_eq!((rejection.cause_code, rejection.cause.as_deref()), (Some(34), Some("retry after 300 ms")));
    let mut unknown_number = Iax2Endpoint::new(22);
    unknown_number.call(switch.iax2_address.expect("address of the IAX2 front"), "900");
    assert_eq!(unknown_number.expect(FrameType::Iax, iax::REJECT).cause_code, Some(1));
}

/// A softswitch whose exchange 1 speaks IAX2 and exchange 2 JSON lines.
fn iax2_and_json_lines_exchanges() -> (Softswitch, Iax2Endpoint, JsonLinesConn) {
    let (iax2_exchange, exchange) = (Iax2Endpoint::new(700), ListeningExchange::new());
    let switch = Softswitch::start(&[iax2_exchange.address(), exchange.address()], &[1]);
    let exchange_2 = exchange.accept();
    (switch, iax2_exchange, exchange_2)
}

#[test]
fn a_json_lines_call_is_routed_to_an_iax2_exchange() {
    let (switch, mut iax2_exchange, _exchange_2) = iax2_and_json_lines_exchanges();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    let setup = iax2_exchange.expect(FrameType::Iax, iax::NEW);
    assert_eq!((setup.called_number.as_deref(), setup.version), (Some("7F3a"), Some(2)));
    iax2_exchange.answer();
    let answer = caller.expect("running", CALL);
    assert!(answer.text("body").contains("a=iax2-format:00000004"), "{answer:?}");
    caller.send(&stop(CALL, 16, ""));
    assert_eq!(iax2_exchange.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
    caller.assert_quiet();
}

#[test]
fn an_iax2_exchange_without_circuits_makes_the_call_overflow_and_an_overloaded_one_refuses_it() {
    let (switch, mut iax2_exchange, mut exchange_2) = iax2_and_json_lines_exchanges();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    iax2_exchange.expect(FrameType::Iax, iax::NEW);
    iax2_exchange.send(FrameType::Iax, iax::REJECT, InformationElements::with_cause(34, "").encode());
    exchange_2.expect("launch", CALL);
    exchange_2.send(&running(CALL));
    caller.expect("running", CALL);
    drop(switch);

    let (switch, mut iax2_exchange, mut exchange_2) = iax2_and_json_lines_exchanges();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    iax2_exchange.expect(FrameType::Iax, iax::NEW);
    iax2_exchange.send(
        FrameType::Iax,
        iax::REJECT,
        InformationElements::with_cause(42, "retry after 2000 ms").encode(),
    );
    let refused = caller.expect("stop", CALL);
    assert_eq!((refused.cause(), refused.text("meta.wait").as_str()), (34.0, "300"));
    caller.assert_quiet();
    exchange_2.assert_exchange_quiet();
}

#[test]
fn an_inval_from_an_iax2_exchange_cuts_the_established_call() {
    let (switch, mut iax2_exchange, _exchange_2) = iax2_and_json_lines_exchanges();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    iax2_exchange.expect(FrameType::Iax, iax::NEW);
    iax2_exchange.answer();
    caller.expect("running", CALL);
    iax2_exchange.send(FrameType::Iax, iax::INVAL, vec![]);
    assert_eq!(caller.expect("stop", CALL).cause(), 41.0);
    caller.assert_quiet();
}

#[test]
fn a_call_between_iax2_peers_relays_media_both_ways() {
    let (switch, mut iax2_exchange, _exchange_2) = iax2_and_json_lines_exchanges();
    let mut iax2_caller = Iax2Endpoint::new(20);
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "1");
    assert_eq!(iax2_exchange.expect(FrameType::Iax, iax::NEW).format, Some(4));
    iax2_exchange.answer();
    assert_eq!(iax2_caller.expect(FrameType::Iax, iax::ACCEPT).format, Some(4));
    iax2_caller.expect(FrameType::Control, control::ANSWER);
    iax2_caller.send(FrameType::Voice, 4, vec![1; 160]);
    let voice = iax2_exchange.receive();
    assert_eq!((voice.frame_type, voice.subclass, voice.payload), (FrameType::Voice, 4, vec![1; 160]));
    let mini_timestamp = iax2_caller.oseqno as u16 * 20;
    let mini =
        MiniFrame { source_call: iax2_caller.local_call, timestamp: mini_timestamp, payload: vec![2; 160] };
    iax2_caller
        .socket
        .send_to(&mini.encode(), iax2_caller.peer.expect("address of the peer"))
        .expect("send a message");
    assert_eq!(iax2_exchange.receive_mini().payload, vec![2; 160]);
    iax2_exchange.send(FrameType::Voice, 4, vec![3; 160]);
    assert_eq!(iax2_caller.receive().payload, vec![3; 160]);
    iax2_caller.send(FrameType::Dtmf, u32::from(b'5'), vec![]);
    assert_eq!(iax2_exchange.receive().subclass, u32::from(b'5'));
    iax2_exchange.hang_up(16);
    assert_eq!(iax2_caller.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
}

#[test]
fn a_hang_up_releases_the_open_attempt_at_a_stalled_iax2_exchange_whose_late_answer_is_ignored() {
    let (switch, mut iax2_exchange, mut exchange_2) = iax2_and_json_lines_exchanges();
    let mut iax2_caller = Iax2Endpoint::new(20);
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "1");
    // The exchange receives the set-up and does not answer.
    iax2_exchange.expect(FrameType::Iax, iax::NEW);
    let raw = iax2_caller.receive_unacked();
    let acked = matches!(raw, swiftlb::iax2::frame::Frame::Full(FullFrame { subclass: iax::ACK, .. }));
    assert!(acked, "{raw:?}");
    iax2_caller.hang_up(16);
    assert_eq!(iax2_exchange.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
    // The stalled exchange answers the released call later: the caller receives nothing, and no other attempt is made.
    iax2_exchange.answer();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.assert_quiet();
    exchange_2.assert_exchange_quiet();
    let frames = iax2_caller.frames_before_pong();
    assert!(frames.iter().all(|frame| !frame.is_sequenced()), "sent after the hang-up: {frames:?}");
}

#[test]
fn a_hang_up_releases_the_open_attempt_at_a_stalled_json_lines_exchange_whose_late_answer_is_ignored() {
    let (switch, exchanges) = two_exchanges();
    let (mut exchange_1, mut exchange_2) = in_order(exchanges, 0);
    let mut iax2_caller = Iax2Endpoint::new(20);
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "17");
    let call = exchange_1.receive().expect("a set-up").text("uid");
    iax2_caller.hang_up(16);
    assert_eq!(exchange_1.expect("stop", &call).cause(), 16.0);
    exchange_1.send(&running(&call));
    let frames = iax2_caller.frames_before_pong();
    assert!(frames.iter().all(|frame| !frame.is_sequenced()), "sent after the hang-up: {frames:?}");
    exchange_2.assert_exchange_quiet();
}

#[test]
fn the_release_pause_is_kept_after_an_iax2_exchange_has_reset_a_set_up() {
    let (switch, mut iax2_exchange, mut exchange_2) = iax2_and_json_lines_exchanges();
    let mut iax2_caller = Iax2Endpoint::new(20);
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "1");
    iax2_exchange.expect(FrameType::Iax, iax::NEW);
    let (_, elapsed) = timed(|| {
        iax2_exchange.send(FrameType::Iax, iax::HANGUP, InformationElements::with_cause(41, "").encode());
        // The next attempt is another leg.
        iax2_exchange.new_leg();
        iax2_exchange.expect(FrameType::Iax, iax::NEW)
    });
    assert!(elapsed >= RELEASE_PAUSE, "{elapsed:?}");
    iax2_exchange.answer();
    exchange_2.assert_exchange_quiet();
    iax2_caller.expect(FrameType::Iax, iax::ACCEPT);
    iax2_caller.expect(FrameType::Control, control::ANSWER);
    assert!(
        iax2_caller.frames_before_pong().iter().all(|frame| !frame.is_sequenced()),
        "more than one final outcome"
    );
}

#[test]
fn a_call_at_a_stalled_iax2_exchange_is_rejected_once_at_the_deadline_of_its_class() {
    let (switch, mut iax2_exchange, _exchange_2) = iax2_and_json_lines_exchanges();
    let mut iax2_caller = Iax2Endpoint::new(20);
    let (rejection, elapsed) = timed(|| {
        iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "1");
        iax2_exchange.expect(FrameType::Iax, iax::NEW);
        iax2_caller.expect(FrameType::Iax, iax::REJECT)
    });
    assert_eq!(rejection.cause_code, Some(41));
    // The deadline of this class is 2 s. A busy machine may be late here; tests in virtual time check the exact time.
    assert!((Duration::from_millis(1_990)..Duration::from_secs(4)).contains(&elapsed), "{elapsed:?}");
    assert_eq!(iax2_exchange.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
}

#[test]
fn lost_and_duplicate_datagrams_result_in_one_call_and_one_outcome() {
    let (switch, mut iax2_exchange, mut exchange_2) = iax2_and_json_lines_exchanges();
    let mut iax2_caller = Iax2Endpoint::new(20);
    // The softswitch receives the first set-up three times.
    let new = iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "2");
    iax2_caller.send_frame(&FullFrame { retransmitted: true, ..new.clone() });
    iax2_caller.send_frame(&new);
    let call = exchange_2.receive().expect("a set-up").text("uid");
    exchange_2.send(&stop(&call, 17, r#""note":"user_busy""#));
    // The first rejection is not acknowledged, so it is retransmitted.
    let rejection = loop {
        if let swiftlb::iax2::frame::Frame::Full(frame) = iax2_caller.receive_unacked()
            && frame.is_iax(iax::REJECT)
        {
            break frame;
        }
    };
    assert!(!rejection.retransmitted);
    assert_eq!(iax2_caller.expect(FrameType::Iax, iax::REJECT).cause_code, Some(17));
    // A delayed duplicate of the set-up does not start a new call.
    iax2_caller.send_frame(&new);
    assert!(iax2_caller.frames_before_pong().iter().all(|frame| !frame.is_sequenced()));
    exchange_2.assert_exchange_quiet();
    // Toward an IAX2 exchange: the set-up is lost once and retransmitted; a duplicate answer counts once.
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    let first = loop {
        match iax2_exchange.receive_unacked() {
            swiftlb::iax2::frame::Frame::Full(frame) if frame.is_iax(iax::NEW) => break frame,
            swiftlb::iax2::frame::Frame::Full(frame) if frame.is_iax(iax::POKE) => {
                let (source_call, dest_call) = (1, frame.source_call);
                iax2_exchange.send_frame(&FullFrame {
                    source_call,
                    dest_call,
                    iseqno: 1,
                    subclass: iax::PONG,
                    ..frame
                });
            }
            _ => {}
        }
    };
    assert!(!first.retransmitted);
    assert_eq!(iax2_exchange.expect(FrameType::Iax, iax::NEW).called_number.as_deref(), Some("7F3a"));
    iax2_exchange.send(FrameType::Iax, iax::ACCEPT, vec![]);
    let answer = iax2_exchange.send(FrameType::Control, control::ANSWER, vec![]);
    iax2_exchange.send_frame(&answer);
    caller.expect("running", CALL);
    caller.assert_quiet();
    let hang_up = iax2_exchange.hang_up(16);
    iax2_exchange.send_frame(&hang_up);
    assert_eq!(caller.expect("stop", CALL).cause(), 16.0);
    caller.assert_quiet();
}

/// Guards against running out of file descriptors when hundreds of callers disconnect: the closed connections are not
/// counted toward the limit.
#[test]
fn at_most_32_closed_connections_are_kept() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let address = listener.local_addr().expect("local address");
    let now = std::time::SystemTime::now();
    let mut closed = ClosedConnections::default();
    for id in 0..100 {
        let _caller = std::net::TcpStream::connect(address).expect("connect");
        let stream = listener.accept().expect("accept a connection").0;
        stream.set_nonblocking(true).expect("set the non-blocking mode");
        let connection = Connection::accepted(mio::net::TcpStream::from_std(stream), RELEASE_PAUSE);
        assert_eq!(closed.push(now + RELEASE_PAUSE, id, connection), None, "nothing is unread");
        assert!(closed.len() <= MAX_CLOSED_CONNECTIONS);
    }
    assert!(closed.take_unread(now).is_empty());
    closed.take_unread(now + RELEASE_PAUSE);
    assert!(closed.is_empty());
}
