//! The operators' server on loopback: its replies, its metrics, and that clients without a request cannot block it.

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
fn each_endpoint_replies_and_invalid_requests_are_rejected() {
    let (switch, _exchange) = one_exchange();
    for (request, status) in [
        ("GET /ops/stats", 200),
        ("GET /ops/stats?all=1", 200),
        ("PUT /ops/drain/stop", 200),
        ("GET /ops/nonsense", 404),
        ("PUT /ops/readiness", 405),
        ("GET /ops/drain/start", 405),
    ] {
        assert_eq!(switch.operator_request(request).0, status, "{request}");
    }
    let mut stream = TcpStream::connect(switch.operator_address).expect("connect");
    stream.write_all(b"\x01\x02\r\n\r\n").expect("write to the socket");
    assert_eq!(read_reply(stream).0, 400);
    let mut stream = TcpStream::connect(switch.operator_address).expect("connect");
    stream.write_all(format!("GET /{}", "x".repeat(MAX_HEAD_BYTES)).as_bytes()).expect("write to the socket");
    assert_eq!(read_reply(stream).0, 431);
    // A head in several pieces, with an incomplete body that the server does not wait for.
    let mut stream = TcpStream::connect(switch.operator_address).expect("connect");
    for piece in ["PUT /ops/dra", "in/stop HTTP/1.1\r\nContent-Length: 9\r\n", "\r\nabc"] {
        stream.write_all(piece.as_bytes()).expect("write to the socket");
    }
    assert_eq!(read_reply(stream).0, 200);
}

#[test]
fn connections_without_a_complete_request_are_closed_for_new_ones() {
    let (switch, _exchange) = one_exchange();
    let mut idle: Vec<TcpStream> = (0..40)
        .map(|n| {
            let mut stream = TcpStream::connect(switch.operator_address).expect("connect");
            // The write fails if the server has closed the connection already.
            let _ = stream.write_all(&b"GET /ops/sta"[..n % 12]);
            stream
        })
        .collect();
    assert_eq!(switch.operator_request("GET /ops/stats").0, 200);
    // The oldest connection is closed long before the time-out for a request.
    let (end, elapsed) = timed(|| idle[0].read(&mut [0]));
    assert!(!matches!(end, Ok(1..)) && elapsed < Duration::from_secs(4), "{end:?} after {elapsed:?}");
}

#[test]
fn metrics_count_the_calls_of_both_fronts_by_class_and_result_and_the_attempts() {
    let (switch, mut exchange) = one_exchange();
    let counter = |class: &str, result: &str| {
        format!("svc_downstream_requests{{lane=\"{class}\",result=\"{result}\"}}")
    };
    for class in ["status", "lookup"] {
        for result in ["completed", "rejected", "failed"] {
            assert_eq!(switch.metric(&counter(class, result)), "0", "all are reported from the start");
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
    assert_eq!(switch.metric("svc_waiting"), "1");
    exchange.send(&format!(r#"{{"kind":"running","uid":"{CALL}","meta":{{}},"body":""}}"#));
    caller.expect("running", CALL);
    assert_eq!(switch.metric("svc_pending"), "1", "an established call has not ended");
    assert_eq!(switch.metric("svc_waiting"), "0", "it has its outcome");
    exchange.send(&format!(r#"{{"kind":"stop","uid":"{CALL}","meta":{{}},"reason":16}}"#));
    caller.expect("stop", CALL);
    // A call to an unknown destination is refused; one to a busy number fails.
    caller.send(&launch_line("00000000000000aa", 9, 1_500));
    caller.expect("stop", "00000000000000aa");
    let mut iax2_caller = Iax2Endpoint::new(20);
    iax2_caller.call(switch.iax2_address.expect("address of the IAX2 front"), "17");
    let iax2_call = exchange.receive().expect("a set-up").text("uid");
    exchange
        .send(&format!(r#"{{"kind":"stop","uid":"{iax2_call}","meta":{{"note":"user_busy"}},"reason":17}}"#));
    iax2_caller.expect(FrameType::Iax, iax::REJECT);
    for (name, value) in [
        (counter("status", "completed"), "1"),
        (counter("status", "rejected"), "1"),
        (counter("status", "failed"), "0"),
        (counter("lookup", "failed"), "1"),
        ("svc_upstream_requests".to_owned(), "2"),
        ("svc_pending".to_owned(), "0"),
        ("svc_refusals{reason=\"shed\"}".to_owned(), "1"),
        ("svc_stopping".to_owned(), "0"),
    ] {
        assert_eq!(switch.metric(&name), value, "{name}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn a_truncated_request_is_incomplete_and_garbage_is_never_another_request(
        cut in 0_usize..60, noise in prop::collection::vec(any::<u8>(), 0..200), at in 0_usize..40,
    ) {
        let complete = b"PUT /ops/drain/start HTTP/1.1\r\nHost: a\r\n\r\n";
        let cut = cut.min(complete.len());
        let expected = if cut == complete.len() { Some(OperatorRequest::BeginDrain) } else { None };
        prop_assert_eq!(ops::parse_request(&complete[..cut], false), Ok(expected));
        let mut corrupt = complete.to_vec();
        corrupt.splice(at..at, noise.iter().copied());
        // Any result is fine, except for a panic or another request.
        if let Ok(Some(request)) = ops::parse_request(&corrupt, false) {
            prop_assert_eq!(request, OperatorRequest::BeginDrain);
        }
        prop_assert_ne!(ops::parse_request(&noise, false), Ok(Some(OperatorRequest::BeginDrain)));
        prop_assert_eq!(ops::parse_request(&vec![b'a'; MAX_HEAD_BYTES], false), Err(RequestError::TooLong));
    }
}
