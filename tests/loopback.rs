//! The whole program on loopback sockets, between stand-ins of both fronts: the same rules on either.

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
/// The release pause that the configuration asks for.
const PAUSE: Duration = Duration::from_millis(500);

fn stop(call: &str, cause: u32, meta: &str) -> String {
    format!(r#"{{"kind":"stop","uid":"{call}","meta":{{{meta}}},"reason":{cause}}}"#)
}

fn running(call: &str) -> String {
    format!(r#"{{"kind":"running","uid":"{call}","meta":{{}},"body":"ok\r\n"}}"#)
}

/// Two exchanges that speak JSON lines, connected.
fn two_exchanges() -> (Softswitch, [JsonLinesConn; 2]) {
    let exchanges = [ListeningExchange::new(), ListeningExchange::new()];
    let switch = Softswitch::start(&exchanges.each_ref().map(ListeningExchange::address), &[]);
    let lines = exchanges.map(|exchange| exchange.accept());
    (switch, lines)
}

/// Whichever of the two is sent the next set-up gets it first.
fn pass_on(lines: [JsonLinesConn; 2], first: usize) -> (JsonLinesConn, JsonLinesConn) {
    let [one, two] = lines;
    if first == 0 { (one, two) } else { (two, one) }
}

#[test]
fn a_call_goes_from_json_lines_to_json_lines_with_its_fields_unchanged() {
    let (switch, lines) = two_exchanges();
    let (mut one, _two) = pass_on(lines, 0);
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(r#"{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}"#);
    assert_eq!(caller.expect("checked", "0000000000000001").cause(), 1.0);
    caller.send(&launch_line(CALL, 1, 1_500));
    let setup = one.expect("launch", CALL);
    assert_eq!((setup.text("meta.class").as_str(), setup.text("meta.key").as_str()), ("status", "7F3a"));
    assert_eq!(setup.text("body"), "v=0\r\n\u{fc} \"q\" \u{1f600}");
    let left: u32 = setup.text("meta.left").parse().expect("milliseconds");
    assert!((1_000..=1_500).contains(&left), "{left}");
    one.send(&running(CALL));
    assert_eq!(caller.expect("running", CALL).text("body"), "ok\r\n");
    // Its end comes while the caller's connection is gone: it waits for the next one.
    drop(caller);
    one.send(&stop(CALL, 16, ""));
    let mut caller = JsonLinesConn::connect(switch.address);
    assert_eq!(caller.expect("stop", CALL).cause(), 16.0);
    caller.assert_quiet();
}

#[test]
fn what_cannot_be_read_is_answered_where_it_names_a_call_and_never_ends_the_program() {
    let (switch, lines) = two_exchanges();
    let (mut one, _two) = pass_on(lines, 0);
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&format!(r#"{{"kind":"launch","uid":"{CALL}","meta":{{"class":"status"}}}}"#));
    assert_eq!(caller.expect("stop", CALL).cause(), 41.0);
    let long = "x".repeat(17 * 1024);
    caller.assert_quiet();
    let mut other = JsonLinesConn::connect(switch.address);
    other.send_raw(format!(r#"{{"kind":"launch","uid":"00000000000000aa","body":"{long}"}}"#).as_bytes());
    assert_eq!(other.expect("stop", "00000000000000aa").cause(), 41.0);
    assert!(other.receive().is_none(), "what does not end is not read to its end");
    for garbage in [long.as_str(), "{}\n", "\u{1}\n", &format!("{}\n", "[".repeat(9_000)), "half a li"] {
        let mut other = JsonLinesConn::connect(switch.address);
        other.send_raw(garbage.as_bytes());
        let (end, waited) = timed(|| other.receive());
        assert!(end.is_none() && waited < Duration::from_secs(3), "{garbage:?} is owed a word within 3 s");
    }
    caller.send(&launch_line(CALL, 1, 1_500));
    one.expect("launch", CALL);
}

#[test]
fn an_order_to_stop_leaves_nothing_unanswered() {
    let (mut switch, lines) = two_exchanges();
    let (mut one, _two) = pass_on(lines, 0);
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 3_000));
    one.expect("launch", CALL);
    let answer = std::thread::spawn(move || {
        one.expect("launch", "00000000000000bb");
        one.send(&running("00000000000000bb"));
        std::thread::sleep(Duration::from_millis(900));
        one.send(&running(CALL));
    });
    switch
        .loop_sender
        .send(swiftlb::net::LoopMessage::Input(swiftlb::engine::Input::Drain))
        .expect("it runs");
    // What comes on a new connection after the order is still served.
    let mut late = JsonLinesConn::connect(switch.address);
    late.send(&launch_line("00000000000000bb", 1, 3_000));
    late.expect("running", "00000000000000bb");
    caller.expect("running", CALL);
    answer.join().expect("the exchange saw what it should");
    assert!(switch.stop());
}

#[test]
fn an_exchange_that_dies_cuts_what_stands_there_and_resets_what_waits() {
    let (switch, lines) = two_exchanges();
    let (mut one, _two) = pass_on(lines, 0);
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 3_000));
    one.expect("launch", CALL);
    one.send(&running(CALL));
    caller.expect("running", CALL);
    caller.send(&launch_line("00000000000000cc", 1, 400));
    caller.assert_quiet();
    one.reset();
    assert_ne!(caller.expect("stop", "00000000000000cc").cause(), 16.0);
    assert_eq!(caller.expect("stop", CALL).cause(), 41.0);
}

#[test]
fn a_connection_that_is_reset_or_spoilt_cuts_nothing_that_stands_on_either_front() {
    let (switch, mut lines) = two_exchanges();
    let mut caller = JsonLinesConn::connect(switch.address);
    let mut phone = Iax2Endpoint::new(20);
    caller.send(&launch_line(CALL, 1, 3_000));
    lines[0].expect("launch", CALL);
    lines[0].send(&running(CALL));
    caller.expect("running", CALL);
    phone.call(switch.iax2_address.expect("it is on"), "17");
    let handset = lines[0].receive().expect("a set-up").text("uid");
    lines[0].send(&running(&handset));
    phone.expect(FrameType::Iax, iax::ACCEPT);
    phone.expect(FrameType::Control, control::ANSWER);
    // An answer that cannot be read names the call that it is for; the connection is left all the same, the
    // call is released there and set up again.
    caller.send(&launch_line("00000000000000cc", 1, 3_000));
    lines[0].expect("launch", "00000000000000cc");
    lines[0]
        .send_raw(b"{\"kind\":\"running\",\"uid\":\"00000000000000cc\",\"meta\":{},\"body\":\"\xff\xfe\"}\n");
    lines[0].accept_next();
    assert_eq!(lines[0].expect("stop", "00000000000000cc").cause(), 16.0);
    lines[0].expect("launch", "00000000000000cc");
    lines[0].send(&running("00000000000000cc"));
    caller.expect("running", "00000000000000cc");
    // Broken under a set-up that waits: dialled again, and what stands ends as the exchange says.
    caller.send(&launch_line("00000000000000dd", 1, 400));
    caller.assert_quiet();
    let listener = lines[0].reset_and_listen();
    lines[0] = listener.accept();
    lines[0].send(&stop(CALL, 16, ""));
    lines[0].send(&stop(&handset, 16, ""));
    assert_ne!(caller.expect("stop", "00000000000000dd").cause(), 16.0);
    assert_eq!(caller.expect("stop", CALL).cause(), 16.0);
    assert_eq!(phone.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
}

#[test]
fn a_new_configuration_under_load_loses_no_call_of_either_front() {
    let (switch, mut lines) = two_exchanges();
    let mut caller = JsonLinesConn::connect(switch.address);
    let mut phone = Iax2Endpoint::new(20);
    caller.send(&launch_line(CALL, 1, 3_000));
    phone.call(switch.iax2_address.expect("it is on"), "17");
    let uids: Vec<String> = (0..2).map(|_| lines[0].receive().expect("a set-up").text("uid")).collect();
    let config = Box::new(engine_harness::config(3));
    switch
        .loop_sender
        .send(swiftlb::net::LoopMessage::Input(swiftlb::engine::Input::Reload(config)))
        .expect("it runs");
    caller.assert_quiet();
    for uid in &uids {
        lines[0].send(&running(uid));
    }
    caller.expect("running", CALL);
    phone.expect(FrameType::Iax, iax::ACCEPT);
    phone.expect(FrameType::Control, control::ANSWER);
    caller.send(&stop(CALL, 16, ""));
    lines[0].expect("stop", CALL);
    phone.hang_up(16);
    assert!(uids.contains(&lines[0].receive().expect("a release").text("uid")));
}

#[test]
fn handsets_that_flood_and_fall_silent_keep_nobody_from_being_served() {
    let (switch, mut lines) = two_exchanges();
    let handsets = switch.iax2_address.expect("it is on");
    // Hostile frames, and set-ups of a number that leads nowhere, from a phone that acknowledges nothing.
    let flood = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let elements = InformationElements {
        version: Some(2),
        called_number: Some("9".to_owned()),
        ..InformationElements::default()
    };
    let mut phone = Iax2Endpoint::new(20);
    phone.peer = Some(handsets);
    for source_call in 1..400_u16 {
        // Now and then all of it has been read: what the system drops would show nothing.
        if source_call.is_multiple_of(20) {
            phone.frames_before_pong();
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
        flood.send_to(&new, handsets).expect("sent");
        flood.send_to(&new[..usize::from(source_call) % new.len()], handsets).expect("sent");
        flood.send_to(&[0xff; 40][..usize::from(source_call) % 40], handsets).expect("sent");
    }
    phone.frames_before_pong();
    phone.call(handsets, "17");
    let call = lines[0].receive().expect("a set-up").text("uid");
    lines[0].send(&running(&call));
    phone.expect(FrameType::Iax, iax::ACCEPT);
    phone.expect(FrameType::Control, control::ANSWER);
}

#[test]
fn an_order_to_stop_repeats_an_iax2_rejection_that_was_lost() {
    let (mut switch, mut lines) = two_exchanges();
    let mut phone = Iax2Endpoint::new(20);
    phone.call(switch.iax2_address.expect("it is on"), "17");
    let call = lines[0].receive().expect("a set-up").text("uid");
    switch
        .loop_sender
        .send(swiftlb::net::LoopMessage::Input(swiftlb::engine::Input::Drain))
        .expect("it runs");
    std::thread::sleep(Duration::from_millis(800));
    lines[0].send(&stop(&call, 17, r#""note":"user_busy""#));
    let mut rejections = 0;
    while rejections < 2 {
        if let swiftlb::iax2::frame::Frame::Full(frame) = phone.receive_unacked()
            && frame.is_iax(iax::REJECT)
        {
            assert_eq!(frame.retransmitted, rejections == 1);
            rejections += 1;
        }
    }
    assert!(switch.thread.take().expect("it ran").join().expect("it did not panic"));
}

/// The same script for a caller of either front: the first attempt is reset, the second one answered. What
/// broke says nothing of the exchange, so that the second goes the same way.
fn reset_then_answer(lines: &mut [JsonLinesConn; 2]) -> String {
    let call = lines[0].receive().expect("a set-up").text("uid");
    let (_, waited) = timed(|| {
        lines[0].send(&stop(&call, 41, ""));
        lines[0].expect("launch", &call)
    });
    assert!(waited >= PAUSE, "{waited:?}");
    lines[0].send(&running(&call));
    call
}

#[test]
fn the_release_pause_is_kept_for_a_caller_on_json_lines() {
    let (switch, mut lines) = two_exchanges();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    assert_eq!(reset_then_answer(&mut lines), CALL);
    caller.expect("running", CALL);
    // One attempt at a time and one outcome: nothing more was said to anyone.
    caller.assert_quiet();
    lines[1].assert_exchange_quiet();
}

#[test]
fn the_release_pause_is_kept_for_an_iax2_caller() {
    let (switch, mut lines) = two_exchanges();
    let mut phone = Iax2Endpoint::new(20);
    phone.call(switch.iax2_address.expect("it is on"), "17");
    reset_then_answer(&mut lines);
    phone.expect(FrameType::Iax, iax::ACCEPT);
    phone.expect(FrameType::Control, control::ANSWER);
    assert!(phone.frames_before_pong().iter().all(|frame| !frame.is_sequenced()));
    lines[1].assert_exchange_quiet();
}

#[test]
fn a_route_enters_by_iax2_and_leaves_by_json_lines() {
    let (switch, lines) = two_exchanges();
    let (mut one, _two) = pass_on(lines, 0);
    let mut phone = Iax2Endpoint::new(20);
    phone.call(switch.iax2_address.expect("it is on"), "1700");
    let setup = one.receive().expect("a set-up");
    let call = setup.text("uid");
    // No caller's time on this wire: the class's deadline holds.
    let left: u32 = setup.text("meta.left").parse().expect("milliseconds");
    assert!((1_200..=2_000).contains(&left), "{left}");
    assert_eq!((setup.text("meta.class").as_str(), setup.text("meta.key").as_str()), ("lookup", "1700"));
    one.send(&running(&call));
    phone.expect(FrameType::Iax, iax::ACCEPT);
    phone.expect(FrameType::Control, control::ANSWER);
    one.send(&stop(&call, 41, ""));
    assert_eq!(phone.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(41));
    assert!(
        phone.frames_before_pong().iter().all(|frame| !frame.is_sequenced()),
        "more than one final outcome"
    );
}

#[test]
fn a_refusal_reaches_an_iax2_caller_with_its_cause_and_advice() {
    let (switch, lines) = two_exchanges();
    let (mut one, mut two) = pass_on(lines, 0);
    let mut busy = Iax2Endpoint::new(21);
    busy.call(switch.iax2_address.expect("it is on"), "11");
    let call = one.receive().expect("a set-up").text("uid");
    one.send(&stop(&call, 17, r#""note":"user_busy""#));
    assert_eq!(busy.expect(FrameType::Iax, iax::REJECT).cause_code, Some(17));
    let mut phone = Iax2Endpoint::new(20);
    phone.call(switch.iax2_address.expect("it is on"), "1");
    let call = one.receive().expect("a set-up").text("uid");
    one.send(&stop(&call, 34, r#""note":"group_full""#));
    two.expect("launch", &call);
    two.send(&stop(&call, 34, r#""note":"group_full""#));
    let why = phone.expect(FrameType::Iax, iax::REJECT);
    assert_eq!((why.cause_code, why.cause.as_deref()), (Some(34), Some("retry after 300 ms")));
    let mut lost = Iax2Endpoint::new(22);
    lost.call(switch.iax2_address.expect("it is on"), "900");
    assert_eq!(lost.expect(FrameType::Iax, iax::REJECT).cause_code, Some(1));
}

/// A softswitch whose exchange 1 is an IAX2 node, and exchange 2 speaks JSON lines.
fn node_and_exchange() -> (Softswitch, Iax2Endpoint, JsonLinesConn) {
    let (node, exchange) = (Iax2Endpoint::new(700), ListeningExchange::new());
    let switch = Softswitch::start(&[node.address(), exchange.address()], &[1]);
    let lines = exchange.accept();
    (switch, node, lines)
}

#[test]
fn a_route_enters_by_json_lines_and_leaves_by_iax2() {
    let (switch, mut node, _lines) = node_and_exchange();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    let setup = node.expect(FrameType::Iax, iax::NEW);
    assert_eq!((setup.called_number.as_deref(), setup.version), (Some("7F3a"), Some(2)));
    node.answer();
    let answer = caller.expect("running", CALL);
    assert!(answer.text("body").contains("a=iax2-format:00000004"), "{answer:?}");
    caller.send(&stop(CALL, 16, ""));
    assert_eq!(node.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
    caller.assert_quiet();
}

#[test]
fn a_node_without_a_circuit_sends_a_call_elsewhere_and_a_full_one_ends_it_at_once() {
    let (switch, mut node, mut two) = node_and_exchange();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    node.expect(FrameType::Iax, iax::NEW);
    node.send(FrameType::Iax, iax::REJECT, InformationElements::with_cause(34, "").encode());
    two.expect("launch", CALL);
    two.send(&running(CALL));
    caller.expect("running", CALL);
    drop(switch);

    let (switch, mut node, mut two) = node_and_exchange();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    node.expect(FrameType::Iax, iax::NEW);
    node.send(
        FrameType::Iax,
        iax::REJECT,
        InformationElements::with_cause(42, "retry after 2000 ms").encode(),
    );
    let refused = caller.expect("stop", CALL);
    assert_eq!((refused.cause(), refused.text("meta.wait").as_str()), (34.0, "300"));
    caller.assert_quiet();
    two.assert_exchange_quiet();
}

#[test]
fn a_node_that_knows_a_standing_call_no_more_has_cut_it() {
    let (switch, mut node, _two) = node_and_exchange();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    node.expect(FrameType::Iax, iax::NEW);
    node.answer();
    caller.expect("running", CALL);
    node.send(FrameType::Iax, iax::INVAL, vec![]);
    assert_eq!(caller.expect("stop", CALL).cause(), 41.0);
    caller.assert_quiet();
}

#[test]
fn a_call_between_iax2_peers_relays_media_both_ways() {
    let (switch, mut node, _lines) = node_and_exchange();
    let mut phone = Iax2Endpoint::new(20);
    phone.call(switch.iax2_address.expect("it is on"), "1");
    assert_eq!(node.expect(FrameType::Iax, iax::NEW).format, Some(4));
    node.answer();
    assert_eq!(phone.expect(FrameType::Iax, iax::ACCEPT).format, Some(4));
    phone.expect(FrameType::Control, control::ANSWER);
    phone.send(FrameType::Voice, 4, vec![1; 160]);
    let voice = node.receive();
    assert_eq!((voice.frame_type, voice.subclass, voice.payload), (FrameType::Voice, 4, vec![1; 160]));
    let stamp = phone.oseqno as u16 * 20;
    let mini = MiniFrame { source_call: phone.local, timestamp: stamp, payload: vec![2; 160] };
    phone.socket.send_to(&mini.encode(), phone.peer.expect("a peer")).expect("sent");
    assert_eq!(node.receive_mini().payload, vec![2; 160]);
    node.send(FrameType::Voice, 4, vec![3; 160]);
    assert_eq!(phone.receive().payload, vec![3; 160]);
    phone.send(FrameType::Dtmf, u32::from(b'5'), vec![]);
    assert_eq!(node.receive().subclass, u32::from(b'5'));
    node.hang_up(16);
    assert_eq!(phone.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
}

#[test]
fn a_caller_hangs_up_while_its_set_up_waits_in_a_stalled_nodes_queue() {
    let (switch, mut node, mut two) = node_and_exchange();
    let mut phone = Iax2Endpoint::new(20);
    phone.call(switch.iax2_address.expect("it is on"), "1");
    // The node takes the set-up and says nothing more of it.
    node.expect(FrameType::Iax, iax::NEW);
    let raw = phone.receive_unacked();
    let acked = matches!(raw, swiftlb::iax2::frame::Frame::Full(FullFrame { subclass: iax::ACK, .. }));
    assert!(acked, "{raw:?}");
    phone.hang_up(16);
    assert_eq!(node.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
    // The stalled node wakes up and answers the dead call: nobody is told, nothing is sent again.
    node.answer();
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.assert_quiet();
    two.assert_exchange_quiet();
    let owed = phone.frames_before_pong();
    assert!(owed.iter().all(|frame| !frame.is_sequenced()), "told after hanging up: {owed:?}");
}

#[test]
fn a_caller_hangs_up_while_its_set_up_waits_at_a_stalled_exchange_on_json_lines() {
    let (switch, lines) = two_exchanges();
    let (mut one, mut two) = pass_on(lines, 0);
    let mut phone = Iax2Endpoint::new(20);
    phone.call(switch.iax2_address.expect("it is on"), "17");
    let call = one.receive().expect("a set-up").text("uid");
    phone.hang_up(16);
    assert_eq!(one.expect("stop", &call).cause(), 16.0);
    one.send(&running(&call));
    let owed = phone.frames_before_pong();
    assert!(owed.iter().all(|frame| !frame.is_sequenced()), "told after hanging up: {owed:?}");
    two.assert_exchange_quiet();
}

#[test]
fn the_release_pause_is_kept_after_an_iax2_node_has_reset_a_set_up() {
    let (switch, mut node, mut two) = node_and_exchange();
    let mut phone = Iax2Endpoint::new(20);
    phone.call(switch.iax2_address.expect("it is on"), "1");
    node.expect(FrameType::Iax, iax::NEW);
    let (_, waited) = timed(|| {
        node.send(FrameType::Iax, iax::HANGUP, InformationElements::with_cause(41, "").encode());
        // The set-up that comes again is a leg of its own.
        node.new_leg();
        node.expect(FrameType::Iax, iax::NEW)
    });
    assert!(waited >= PAUSE, "{waited:?}");
    node.answer();
    two.assert_exchange_quiet();
    phone.expect(FrameType::Iax, iax::ACCEPT);
    phone.expect(FrameType::Control, control::ANSWER);
    assert!(
        phone.frames_before_pong().iter().all(|frame| !frame.is_sequenced()),
        "more than one final outcome"
    );
}

#[test]
fn a_stalled_node_costs_an_iax2_caller_one_rejection_at_its_classs_deadline() {
    let (switch, mut node, _two) = node_and_exchange();
    let mut phone = Iax2Endpoint::new(20);
    let (why, waited) = timed(|| {
        phone.call(switch.iax2_address.expect("it is on"), "1");
        node.expect(FrameType::Iax, iax::NEW);
        phone.expect(FrameType::Iax, iax::REJECT)
    });
    assert_eq!(why.cause_code, Some(41));
    // 2 s for this class. How punctual it is shows under virtual time; a busy machine may be late here.
    assert!((Duration::from_millis(1_990)..Duration::from_secs(4)).contains(&waited), "{waited:?}");
    assert_eq!(node.expect(FrameType::Iax, iax::HANGUP).cause_code, Some(16));
}

#[test]
fn lost_and_repeated_datagrams_make_one_call_and_one_outcome() {
    let (switch, mut node, mut two) = node_and_exchange();
    let mut phone = Iax2Endpoint::new(20);
    // The first set-up reaches us three times.
    let new = phone.call(switch.iax2_address.expect("it is on"), "2");
    phone.send_frame(&FullFrame { retransmitted: true, ..new.clone() });
    phone.send_frame(&new);
    let call = two.receive().expect("a set-up").text("uid");
    two.send(&stop(&call, 17, r#""note":"user_busy""#));
    // The rejection is not acknowledged the first time: it comes again, as a repetition.
    let rejection = loop {
        if let swiftlb::iax2::frame::Frame::Full(frame) = phone.receive_unacked()
            && frame.is_iax(iax::REJECT)
        {
            break frame;
        }
    };
    assert!(!rejection.retransmitted);
    assert_eq!(phone.expect(FrameType::Iax, iax::REJECT).cause_code, Some(17));
    // A copy of the set-up that was long on its way is no new call.
    phone.send_frame(&new);
    assert!(phone.frames_before_pong().iter().all(|frame| !frame.is_sequenced()));
    two.assert_exchange_quiet();
    // Toward a node: the set-up gets lost once and comes again; a repeated answer is one answer.
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 2_500));
    let first = loop {
        match node.receive_unacked() {
            swiftlb::iax2::frame::Frame::Full(frame) if frame.is_iax(iax::NEW) => break frame,
            swiftlb::iax2::frame::Frame::Full(frame) if frame.is_iax(iax::POKE) => {
                let (source_call, dest_call) = (1, frame.source_call);
                node.send_frame(&FullFrame {
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
    assert_eq!(node.expect(FrameType::Iax, iax::NEW).called_number.as_deref(), Some("7F3a"));
    node.send(FrameType::Iax, iax::ACCEPT, vec![]);
    let answer = node.send(FrameType::Control, control::ANSWER, vec![]);
    node.send_frame(&answer);
    caller.expect("running", CALL);
    caller.assert_quiet();
    let hang_up = node.hang_up(16);
    node.send_frame(&hang_up);
    assert_eq!(caller.expect("stop", CALL).cause(), 16.0);
    caller.assert_quiet();
}

/// Guards against descriptors that no limit counts, when callers leave by the hundreds.
#[test]
fn few_closed_connections_are_kept_to_see_whether_all_was_read() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let now = std::time::SystemTime::now();
    let mut echoes = ClosedConnections::default();
    for id in 0..100 {
        let _caller = std::net::TcpStream::connect(address).expect("it listens");
        let stream = listener.accept().expect("a connection").0;
        stream.set_nonblocking(true).expect("it can be");
        let connection = Connection::accepted(mio::net::TcpStream::from_std(stream), PAUSE);
        assert_eq!(echoes.keep(now + PAUSE, id, connection), None, "all was read");
        assert!(echoes.len() <= MAX_CLOSED_CONNECTIONS);
    }
    assert!(echoes.unread(now).is_empty());
    echoes.unread(now + PAUSE);
    assert!(echoes.is_empty());
}
