//! The parsers of external input, with valid messages, truncated messages and random data from fixed seeds.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use swiftlb::config::{Config, parse_json};
use swiftlb::engine::{CallUid, CallerMessage, ExchangeMessage, Input, ListEntry, SiblingMessage};
use swiftlb::iax2::element::{InformationElements, cause_elements, outcome_of, parse_retry_after};
use swiftlb::iax2::frame::{Frame, FrameError, FrameType, FullFrame, MiniFrame, decode, iax};
use swiftlb::iax2::{Endpoint, Iax2Config, Output};
use swiftlb::interface::{Outcome, Readiness, Reason};
use swiftlb::net::jsonl::{
    CallerLine, ExchangeLine, LineError, LineSplitter, MAX_LINE_BYTES, SplitLine, format_caller_message,
    format_exchange_message, parse_caller_line, parse_exchange_line,
};
use swiftlb::net::{dns, handover};

const CALL: &str = "9b1f03aa5c7e2d41";
const IAX2: &str = r#"{"enabled":true,"listen":"127.0.0.1:0","nodes":[1],"contexts":[{"context":"service",
    "class":"lookup","numbers":[{"prefix":"","exchange":0},{"prefix":"1","exchange":1}]}]}"#;

fn runner(seed: u8) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(Cases { cases: 400, failure_persistence: None, ..Cases::default() }, rng)
}

fn call_uid() -> CallUid {
    CallUid::parse(CALL).expect("16 digits")
}

fn report_fields() -> Vec<String> {
    vec!["spare".to_owned(), "total".to_owned()]
}

fn launch_line() -> String {
    format!(
        r#"{{"kind":"launch","uid":"{CALL}","meta":{{"class":"voice","left":"1500","key":"7f3a","extras":"dest:2;width:1;via:3;transit:1;again:1"}},"body":"a\r\n\u00fc"}}"#
    )
}

#[test]
fn a_stream_split_at_any_bytes_yields_the_same_lines() {
    let stream =
        format!("{}\n\n{{\"kind\":\"check\"}}\n{}\nrest", launch_line(), "y".repeat(MAX_LINE_BYTES + 5));
    let split = |cuts: &[usize]| {
        let (mut splitter, mut lines, mut start) = (LineSplitter::default(), Vec::new(), 0);
        for end in cuts.iter().copied().chain([stream.len()]) {
            let pushed = splitter.push(&stream.as_bytes()[start..end], |line| {
                lines.push(line);
                std::ops::ControlFlow::Continue(())
            });
            assert!(pushed.is_continue());
            start = end;
        }
        lines
    };
    let unsplit = split(&[]);
    assert_eq!(unsplit.len(), 3);
    assert!(matches!(&unsplit[2], SplitLine::TooLong(_)));
    let cuts = vec(0..stream.len(), 0..6);
    let yields_same_lines = |mut cuts: Vec<usize>| {
        cuts.sort_unstable();
        let content = |line: &SplitLine| match line {
            SplitLine::Complete(line) => Some(line.clone()),
            // How much of an oversized line is kept depends on where the stream is split.
            SplitLine::TooLong(_) => None,
        };
        prop_assert!(split(&cuts).iter().map(content).eq(unsplit.iter().map(content)));
        Ok(())
    };
    runner(1).run(&cuts, yields_same_lines).expect("the same lines");
}

#[test]
fn truncated_lines_and_random_data_are_errors_without_panics() {
    let line = launch_line();
    for end in 0..line.len() {
        assert!(parse_caller_line(&line.as_bytes()[..end], UNIX_EPOCH).is_err(), "{end}");
    }
    let parse_random_bytes = |bytes: Vec<u8>| {
        let _ = (parse_caller_line(&bytes, UNIX_EPOCH), parse_exchange_line(&bytes, &report_fields()));
        let _ = (dns::parse_answer(&[1], &bytes, &[]), decode(&bytes), InformationElements::decode(&bytes));
        let text = String::from_utf8_lossy(&bytes);
        prop_assert!(Config::parse(&text).is_err());
        Ok(())
    };
    runner(2).run(&vec(any::<u8>(), 0..200), parse_random_bytes).expect("errors only");
    let token = prop::sample::select(vec![
        "{", "}", "[", "]", ":", ",", "\"", "\\", "\\u", "d83d", "1e9", "null", "kind", "uid", CALL, "meta",
    ]);
    let parse_tokens = |tokens: Vec<&str>| {
        let _ = parse_caller_line(tokens.concat().as_bytes(), UNIX_EPOCH);
        Ok(())
    };
    runner(3).run(&vec(token, 0..60), parse_tokens).expect("errors only");
    assert!(parse_json(&"[".repeat(9_000)).is_err(), "deep nesting must not overflow the stack");
}

#[test]
fn a_set_up_is_parsed_and_a_malformed_one_is_reported_with_its_call() {
    let now = SystemTime::now();
    let Ok(CallerLine::SetUp(call, setup)) = parse_caller_line(launch_line().as_bytes(), now) else {
        panic!()
    };
    assert_eq!((call, setup.class.as_str(), setup.dest), (call_uid(), "voice", 2));
    assert_eq!((setup.remaining, setup.received), (Some(Duration::from_millis(1_500)), now));
    assert_eq!((setup.transit_from, setup.advised_route, setup.was_cut), (Some(3), None, true));
    assert_eq!(setup.description.as_deref(), Some("a\r\n\u{fc}"));
    for (from, to) in
        [("dest:2", "dest:x"), ("\"1500\"", "\"soon\""), ("\"voice\"", "[]"), ("launch", "l\nunch")]
    {
        let malformed = launch_line().replace(from, to);
        assert_eq!(
            parse_caller_line(malformed.as_bytes(), now),
            Err(LineError::Malformed(call_uid())),
            "{malformed}"
        );
    }
    let invalid_uid = launch_line().replace(CALL, "9b1f");
    assert_eq!(parse_caller_line(invalid_uid.as_bytes(), now), Err(LineError::Unreadable));
}

#[test]
fn causes_and_notes_of_exchanges_map_to_outcomes_and_reasons() {
    let stop = |cause: u32, meta: &str| {
        let line = format!(r#"{{"kind":"stop","uid":"{CALL}","meta":{{{meta}}},"reason":{cause}}}"#);
        match parse_exchange_line(line.as_bytes(), &report_fields()) {
            Ok(ExchangeLine::Stop(_, outcome, reason)) => (outcome, reason),
            other => panic!("{other:?}"),
        }
    };
    let note = |note: &str| format!(r#""note":"{note}""#);
    assert_eq!(stop(16, ""), (Outcome::Completed, Reason::Unspecified));
    assert_eq!(stop(41, ""), (Outcome::Reset, Reason::Unspecified));
    assert_eq!(stop(47, ""), (Outcome::Busy, Reason::Unspecified));
    assert_eq!(stop(17, &note("user_busy")), (Outcome::Busy, Reason::UserBusy));
    assert_eq!(stop(102, &note("group_full")), (Outcome::NotSent, Reason::NoCircuit));
    assert_eq!(stop(34, &note("tandem_refused")), (Outcome::Congested, Reason::CrankBack));
    assert_eq!(stop(34, &note("destination_full")), (Outcome::Congested, Reason::DestinationFull));
    let processor_full = r#""note":"processor_full","waited":"2400""#;
    assert_eq!(stop(34, processor_full), (Outcome::Congested, Reason::ProcessorFull(2_400.0)));
    assert_eq!(stop(102, &note("processor_full")), (Outcome::NotSent, Reason::ProcessorFull(0.0)));
}

#[test]
fn load_report_values_are_parsed_by_name_and_missing_ones_are_nan() {
    let usage = |load: &str| {
        let line = format!(r#"{{"kind":"usage","meta":{{"load":"{load}"}},"uid":"0000000000000000"}}"#);
        match parse_exchange_line(line.as_bytes(), &report_fields()) {
            Ok(ExchangeLine::Usage(report)) => report,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(usage("total:137;spare:27"), [27.0, 137.0]);
    let partial = usage("total:137;later:1");
    assert!(partial[0].is_nan() && partial[1] == 137.0);
}

#[test]
fn messages_are_formatted_as_lines_of_the_protocol() {
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let refused = CallerMessage::Refused { retry_after: Duration::from_millis(300) };
    assert_eq!(
        text(format_caller_message(call_uid(), &refused)),
        format!("{{\"kind\":\"stop\",\"uid\":\"{CALL}\",\"meta\":{{\"wait\":\"300\"}},\"reason\":34}}\n")
    );
    // A failure never has a cause that callers take for a refusal.
    for busy in [true, false] {
        let line = text(format_caller_message(call_uid(), &CallerMessage::Failed { busy }));
        assert!(["34}", "42}", "102}"].iter().all(|cause| !line.contains(cause)), "{line}");
    }
    let description = Some("a\r\n\"\u{fc}\u{1f600}".into());
    let remaining = Duration::from_millis(1_500);
    let setup = ExchangeMessage::SetUp {
        class: "voice".into(),
        called_number: Some("7F3a".into()),
        remaining,
        description,
    };
    let line = text(format_exchange_message(call_uid(), &setup));
    assert!(line.ends_with("}\n") && line.matches('\n').count() == 1, "{line}");
    assert!(line.contains(r#""class":"voice","key":"7F3a","left":"1500""#), "{line}");
}

#[test]
fn a_recorded_answer_of_a_resolver_is_parsed() {
    // Recorded from a resolver, with compressed names.
    let hex = "123485800001000300010006045f617069045f74637003737663056c6f63616c0000210001c00c0021000100000001001d\
        0000000a13ce0a732d3066656134393536047769656e05686f73747300c00c0021000100000001001d0000000a13ce0a732d326662\
        3232646163046772617a05686f73747300c00c0021000100000001001d0000000a13ce0a732d3366313233653538046c696e7a0568\
        6f73747300c00c00060001000000010018c00cc00c0000000100000001000000010000000100000001c03700010001000000010004\
        7f080101c0370010000100000001001f0d6b696e643d7374616e646172640663656c6c3d3109737461727465643d30";
    let hex: String = hex.split_whitespace().collect();
    let digits = |i: usize| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hexadecimal");
    let mut bytes: Vec<u8> = (0..hex.len() / 2).map(digits).collect();
    bytes[11] = 2; // The recording ends after the records of the first target.
    let zones = ["graz".to_owned(), "wien".to_owned()];
    // An exchange that is missing from the list counts as removed, so an answer that lacks records is rejected.
    assert!(matches!(dns::parse_answer(&[0x1234], &bytes, &zones), Err(dns::AnswerError::Incomplete)));
    // The same answer without the two targets that have no further records.
    let (first, second) = (12 + 26 + 41, 12 + 26 + 3 * 41);
    bytes.drain(first..second);
    bytes[7] = 1;
    let (serial, list) = dns::parse_answer(&[7, 0x1234], &bytes, &zones).expect("an answer");
    assert_eq!((serial, list.len()), (1, 1));
    assert_eq!((&*list[0].name, list[0].number, list[0].zone), ("s-0fea4956", 1, 1));
    assert_eq!(list[0].address, "127.8.1.1:5070".parse().expect("an address"));
    assert_eq!((list[0].started_at, list[0].readiness), (None, Readiness::Ready));
    assert!(dns::parse_answer(&[0x1235], &bytes, &zones).is_err(), "an answer to another query");
    for end in 0..bytes.len() {
        assert!(dns::parse_answer(&[0x1234], &bytes[..end], &zones).is_err(), "{end}");
    }
    let query = dns::build_query(0x1234).expect("a query");
    assert_eq!(&query[12..], &bytes[12..12 + query.len() - 12], "the question equals that of the answer");
}

#[test]
fn frames_have_the_layout_of_rfc_5456() {
    let bytes = [0x80, 0x05, 0x80, 0x07, 0, 0, 1, 2, 3, 4, 6, 1, 0x0b, 2, 0, 2];
    let Ok(Frame::Full(frame)) = decode(&bytes) else { panic!() };
    assert_eq!(
        (frame.source_call, frame.dest_call, frame.retransmitted, frame.timestamp),
        (5, 7, true, 0x102)
    );
    assert_eq!((frame.oseqno, frame.iseqno, frame.is_iax(iax::NEW)), (3, 4, true));
    assert_eq!(InformationElements::decode(&frame.payload).expect("elements").version, Some(2));
    assert_eq!(frame.encode(), bytes);
    let Ok(Frame::Full(h264)) = decode(&[0x80, 1, 0, 0, 0, 0, 0, 0, 0, 0, 3, 0x95]) else { panic!() };
    assert_eq!((h264.frame_type, h264.subclass, h264.encode()[11]), (FrameType::Video, 1 << 21, 0x95));
    let mini = MiniFrame { source_call: 5, timestamp: 0x1234, payload: vec![9] };
    assert_eq!((mini.encode(), decode(&mini.encode())), (vec![0, 5, 0x12, 0x34, 9], Ok(Frame::Mini(mini))));
    assert_eq!(decode(&[0, 0, 1, 1, 0, 0]), Err(FrameError::MetaFrame));
    for end in 0..12 {
        assert!(decode(&bytes[..end]).is_err(), "{end}");
    }
}

#[test]
fn information_elements_round_trip_and_truncated_ones_are_errors() {
    let text = "[ -~]{0,40}";
    let any_text = || prop::option::of(text.prop_map(String::from));
    let numbers = (any::<Option<u32>>(), any::<Option<u32>>(), any::<Option<u16>>(), any::<Option<u8>>());
    let texts = (any_text(), any_text(), any_text(), any_text());
    let round_trip = |((called, calling, context, cause), (capability, format, version, code))| {
        let elements = InformationElements {
            called_number: called,
            calling_number: calling,
            called_context: context,
            capability,
            format,
            version,
            cause,
            cause_code: code,
            unknown: None,
        };
        let bytes = elements.encode();
        prop_assert_eq!(InformationElements::decode(&bytes), Ok(elements));
        Ok(())
    };
    runner(4).run(&(texts, numbers), round_trip).expect("the same elements");
    assert_eq!(InformationElements::decode(&[1, 5, b'1']), Err(FrameError::TruncatedElement(1)));
    assert_eq!(InformationElements::decode(&[1]), Err(FrameError::TruncatedElement(1)));
}

#[test]
fn causes_and_retry_after_times_mean_the_same_in_both_directions() {
    let refused = cause_elements(&CallerMessage::Refused { retry_after: Duration::from_millis(700) });
    assert_eq!(outcome_of(&refused), (Outcome::Congested, Reason::ProcessorFull(700.0)));
    assert_eq!(
        outcome_of(&cause_elements(&CallerMessage::Failed { busy: true })),
        (Outcome::Busy, Reason::UserBusy)
    );
    assert_eq!(
        outcome_of(&cause_elements(&CallerMessage::Released { cut: true })),
        (Outcome::Reset, Reason::Unspecified)
    );
    assert_eq!(
        outcome_of(&cause_elements(&CallerMessage::Released { cut: false })),
        (Outcome::Completed, Reason::Unspecified)
    );
    assert_eq!(outcome_of(&InformationElements::with_cause(34, "")), (Outcome::Congested, Reason::NoCircuit));
    assert_eq!(
        outcome_of(&InformationElements::with_cause(102, "")),
        (Outcome::NotSent, Reason::Unspecified)
    );
    assert_eq!(parse_retry_after("retry after 99999999999999999999999 ms"), None);
}

#[test]
fn random_datagrams_do_not_panic_and_legs_of_unresponsive_callers_are_removed() {
    let config = || Iax2Config::parse(IAX2).expect("a configuration").expect("IAX2 is enabled");
    let from = "127.0.0.1:4000".parse().expect("an address");
    let receive_all = |datagrams: Vec<Vec<u8>>| {
        let mut endpoint = Endpoint::new(config(), 0, 1);
        let mut out = Output::default();
        for (ms, bytes) in datagrams.iter().enumerate() {
            endpoint.receive(UNIX_EPOCH + Duration::from_millis(ms as u64), from, bytes, &mut out);
        }
        let set_ups = out.inputs.iter().filter(|input| matches!(input, Input::SetUp { .. })).count();
        prop_assert!(set_ups <= datagrams.len() && out.datagrams.len() <= 3 * datagrams.len());
        endpoint.handle_timeout(UNIX_EPOCH + Duration::from_secs(60), &mut out);
        Ok(())
    };
    // Complete headers with random fields reach more code than random bytes.
    let frame = (0u8..4, 0u8..4, 0u8..3, 0u8..3, 0u8..7, 0u8..0x23, vec(any::<u8>(), 0..12));
    let frame = frame.prop_map(|(source_call, dest_call, oseqno, iseqno, frame_type, subclass, payload)| {
        let mut bytes =
            vec![0x80, source_call, 0, dest_call, 0, 0, 0, 1, oseqno, iseqno, frame_type, subclass];
        bytes.extend(payload);
        bytes
    });
    let datagram = prop_oneof![frame, vec(any::<u8>(), 0..40)];
    runner(5).run(&vec(datagram, 0..30), receive_all).expect("no panic");
    let mut endpoint = Endpoint::new(config(), 0, 1);
    let mut out = Output::default();
    let (frame_type, payload) =
        (FrameType::Iax, vec![0x0b, 2, 0, 2, 5, 7, b's', b'e', b'r', b'v', b'i', b'c', b'e']);
    let new = FullFrame {
        source_call: 3,
        dest_call: 0,
        retransmitted: false,
        timestamp: 1,
        oseqno: 0,
        iseqno: 0,
        frame_type,
        subclass: iax::NEW,
        payload,
    };
    endpoint.receive(UNIX_EPOCH, from, &new.encode(), &mut out);
    assert!(matches!(out.inputs[..], [Input::SetUp { .. }]));
    // If the caller does not respond any more, its leg is removed after a few retransmissions.
    let call = match &out.inputs[0] {
        Input::SetUp { call, .. } => *call,
        _ => return,
    };
    endpoint.send_to_caller(UNIX_EPOCH, call, &CallerMessage::Failed { busy: false }, &mut out);
    let mut now = UNIX_EPOCH;
    while let Some(at) = endpoint.next_timeout() {
        assert!(at <= UNIX_EPOCH + Duration::from_secs(8), "the leg of a dead peer is kept for too long");
        now = now.max(at);
        endpoint.handle_timeout(now, &mut out);
    }
    assert_eq!(endpoint.leg_count(), 0);
}

#[test]
fn sibling_messages_round_trip_truncated_ones_are_errors_and_corrupted_ones_do_not_panic() {
    let values = vec(prop_oneof![-1e300..1e300, Just(0.0), -3.0..3.0], 0..20);
    let (started_at, call) = (proptest::option::of(0..1_u64 << 62), any::<u64>().prop_map(CallUid::from_u64));
    let input =
        (values, started_at, call, any::<u32>(), any::<bool>(), 0_usize..400, vec(any::<u8>(), 0..60));
    runner(11)
        .run(&input, |(values, started_at, call, number, flag, cut, garbage)| {
            let started_at = started_at.map(|nanos| UNIX_EPOCH + Duration::from_nanos(nanos));
            let readiness = if flag { Readiness::Draining } else { Readiness::Ready };
            let address = "10.1.0.9:5070".parse().expect("an address");
            let entry =
                ListEntry { name: "s-1".into(), address, number, zone: number as u16, started_at, readiness };
            for message in [
                SiblingMessage::HandoverRequest { version: number },
                SiblingMessage::Serving,
                SiblingMessage::Exchange(entry),
                SiblingMessage::Learned {
                    topic: "rate".to_owned(),
                    exchange: flag.then(|| "s-1".into()),
                    values,
                },
                SiblingMessage::HandoverComplete { serial: number, version: number },
                SiblingMessage::Drain { since: Some(UNIX_EPOCH + Duration::from_nanos(u64::from(number))) },
                SiblingMessage::Drain { since: None },
                SiblingMessage::Callers { connected: flag },
                SiblingMessage::Claim { call },
                SiblingMessage::ClaimReply { call, granted: flag },
                SiblingMessage::UsedIds { calls: vec![call; number as usize % 500] },
                SiblingMessage::HangUp { call, cause: number as u8 },
                SiblingMessage::Ended { call, cut: flag },
                SiblingMessage::Release { call, cut: flag },
            ] {
                let mut line = handover::format_message(&message);
                prop_assert_eq!(line.pop(), Some(b'\n'));
                prop_assert_eq!(handover::parse_message(&line), Ok(message));
                let cut = cut % line.len();
                prop_assert!(handover::parse_message(&line[..cut]).is_err());
                line.splice(cut..cut, garbage.iter().copied());
                // A corrupted line may or may not parse, but must not panic.
                let _ = handover::parse_message(&line);
            }
            prop_assert!(handover::parse_message(&garbage).is_err());
            Ok(())
        })
        .expect("equal messages");
}
