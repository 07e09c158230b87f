//! The operators' door on loopback: its answers, its figures, and that callers cannot hold it up.

#[path = "common/endpoints.rs"]
mod endpoints;
#[path = "common/engine_harness.rs"]
mod engine_harness;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use endpoints::{Iax2Endpoint, JsonLinesConn, ListeningExchange, Softswitch, launch_line, read_reply, timed};
use proptest::prelude::*;
use swiftlb::iax2::frame::{FrameType, iax};
use swiftlb::ops::{self, MAX_HEAD_BYTES, OperatorRequest, RequestError};

const CALL: &str = "9b1f03aa5c7e2d41";

fn one_exchange() -> (Softswitch, JsonLinesConn) {
    let exchange = ListeningExchange::new();
    let switch = Softswitch::start(&[exchange.address()], &[]);
    (switch, exchange.accept())
}

#[test]
fn each_call_has_its_answer_and_what_is_none_is_turned_away() {
    let (switch, _exchange) = one_exchange();
    for (call, status) in [
        ("GET /ops/stats", 200),
        ("GET /ops/stats?all=1", 200),
        ("PUT /ops/drain/stop", 200),
        ("GET /ops/nonsense", 404),
        ("PUT /ops/readiness", 405),
        ("GET /ops/drain/start", 405),
    ] {
        assert_eq!(switch.operator_request(call).0, status, "{call}");
    }
    let mut stream = TcpStream::connect(switch.operator_address).expect("it listens");
    stream.write_all(b"\x01\x02\r\n\r\n").expect("it reads");
    assert_eq!(read_reply(stream).0, 400);
    let mut stream = TcpStream::connect(switch.operator_address).expect("it listens");
    stream.write_all(format!("GET /{}", "x".repeat(MAX_HEAD_BYTES)).as_bytes()).expect("it reads");
    assert_eq!(read_reply(stream).0, 431);
    // A head in pieces, with a body behind it that nobody waits for.
    let mut stream = TcpStream::connect(switch.operator_address).expect("it listens");
    for piece in ["PUT /ops/dra", "in/stop HTTP/1.1\r\nContent-Length: 9\r\n", "\r\nabc"] {
        stream.write_all(piece.as_bytes()).expect("it reads");
    }
    assert_eq!(read_reply(stream).0, 200);
}

#[test]
fn those_who_hold_the_door_open_and_say_nothing_make_room() {
    let (switch, _exchange) = one_exchange();
    let mut held: Vec<TcpStream> = (0..40)
        .map(|n| {
            let mut stream = TcpStream::connect(switch.operator_address).expect("it listens");
            // One that was put out already may be found closed.
            let _ = stream.write_all(&b"GET /ops/sta"[..n % 12]);
            stream
        })
        .collect();
    assert_eq!(switch.operator_request("GET /ops/stats").0, 200);
    // The oldest is gone long before it would be for its silence.
    let (end, waited) = timed(|| held[0].read(&mut [0]));
    assert!(!matches!(end, Ok(1..)) && waited < Duration::from_secs(4), "{end:?} after {waited:?}");
}

#[test]
fn figures_count_calls_of_both_fronts_by_class_and_outcome_and_attempts() {
    let (switch, mut exchange) = one_exchange();
    let of = |class: &str, result: &str| {
        format!("svc_downstream_requests{{lane=\"{class}\",result=\"{result}\"}}")
    };
    for class in ["status", "lookup"] {
        for result in ["completed", "rejected", "failed"] {
            assert_eq!(switch.metric(&of(class, result)), "0", "each is there from the start");
        }
    }
    assert_eq!(switch.metric("svc_members"), "2");
    assert_eq!(switch.metric("svc_members_unavailable"), "0");
    let text = switch.operator_request("GET /ops/stats").1;
    for line in ["# TYPE svc_downstream_requests counter", "# TYPE svc_pending gauge", "# HELP svc_members "]
    {
        assert!(text.contains(line), "{text}");
    }
    let mut caller = JsonLinesConn::connect(switch.address);
    caller.send(&launch_line(CALL, 1, 1_500));
    exchange.expect("launch", CALL);
    assert_eq!(switch.metric("svc_pending"), "1");
    exchange.send(&format!(r#"{{"kind":"running","uid":"{CALL}","meta":{{}},"body":""}}"#));
    caller.expect("running", CALL);
    assert_eq!(switch.metric("svc_pending"), "1", "it stands, so it has not ended");
    exchange.send(&format!(r#"{{"kind":"stop","uid":"{CALL}","meta":{{}},"reason":16}}"#));
    caller.expect("stop", CALL);
    // A call to nowhere is refused, one that finds the number busy fails.
    caller.send(&launch_line("00000000000000aa", 9, 1_500));
    caller.expect("stop", "00000000000000aa");
    let mut phone = Iax2Endpoint::new(20);
    phone.call(switch.iax2_address.expect("it is on"), "17");
    let handset = exchange.receive().expect("a set-up").text("uid");
    exchange
        .send(&format!(r#"{{"kind":"stop","uid":"{handset}","meta":{{"note":"user_busy"}},"reason":17}}"#));
    phone.expect(FrameType::Iax, iax::REJECT);
    for (name, value) in [
        (of("status", "completed"), "1"),
        (of("status", "rejected"), "1"),
        (of("status", "failed"), "0"),
        (of("lookup", "failed"), "1"),
        ("svc_upstream_requests".to_owned(), "2"),
        ("svc_pending".to_owned(), "0"),
    ] {
        assert_eq!(switch.metric(&name), value, "{name}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn a_call_is_read_alike_however_it_is_cut_and_garbage_is_no_call(
        cut in 0_usize..60, noise in prop::collection::vec(any::<u8>(), 0..200), at in 0_usize..40,
    ) {
        let whole = b"PUT /ops/drain/start HTTP/1.1\r\nHost: a\r\n\r\n";
        let cut = cut.min(whole.len());
        let expected = if cut == whole.len() { Some(OperatorRequest::DrainStart) } else { None };
        prop_assert_eq!(ops::parse_request(&whole[..cut], false), Ok(expected));
        let mut spoilt = whole.to_vec();
        spoilt.splice(at..at, noise.iter().copied());
        // Whatever it says, it says so without a panic, and never that it is another call.
        if let Ok(Some(order)) = ops::parse_request(&spoilt, false) {
            prop_assert_eq!(order, OperatorRequest::DrainStart);
        }
        prop_assert_ne!(ops::parse_request(&noise, false), Ok(Some(OperatorRequest::DrainStart)));
        prop_assert_eq!(ops::parse_request(&vec![b'a'; MAX_HEAD_BYTES], false), Err(RequestError::TooLong));
    }
}
