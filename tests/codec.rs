//! Tests of the codec of the simulator's protocol: every event and action, malformed frames, settings, and the program
//! that speaks it.

mod common;

use std::io::Write;
use std::process::{Command, Stdio};

use common::settings_text;
use swiftlb::interface::{Action, Event, ExchangeId, ListUpdateKind, Outcome, Readiness, Reason};
use swiftlb::wire::{ExchangeLists, Header, Message, Reply, WireError, read_batch, read_settings};

/// Encoder of a batch.
struct Batch {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Batch {
    fn new() -> Self {
        Self { records: Vec::new(), tail: Vec::new(), count: 0 }
    }

    fn record(mut self, code: u16, fields: &[&[u8]]) -> Self {
        let end = self.records.len() + 48;
        self.records.extend(code.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend(*field));
        self.records.resize(end, 0);
        self.count += 1;
        self
    }

    /// Selects the instance for the records that follow.
    fn to(self, instance: u16) -> Self {
        self.record(1030, &[&instance.to_le_bytes()])
    }

    fn tail(mut self, bytes: &[u8]) -> Self {
        self.tail.extend(bytes);
        self
    }

    fn frame(&self, now: f64) -> Vec<u8> {
        let mut frame = self.count.to_le_bytes().to_vec();
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        frame.extend(now.to_le_bytes());
        frame.extend(&self.records);
        frame.extend(&self.tail);
        frame
    }

    fn read(&self) -> Result<Vec<(u16, Message)>, WireError> {
        read(&self.frame(1.0))
    }
}

fn read(frame: &[u8]) -> Result<Vec<(u16, Message)>, WireError> {
    let (head, body) = frame.split_at(Header::BYTES.min(frame.len()));
    let mut messages = Vec::new();
    let mut lists = ExchangeLists::default();
    read_batch(Header::read(head)?, body, &mut lists, |to, message| messages.push((to, message)))?;
    Ok(messages)
}

fn hex(text: &str) -> Vec<u8> {
    let digits: String = text.chars().filter(|c| !c.is_whitespace()).collect();
    (0..digits.len() / 2).map(|i| u8::from_str_radix(&digits[2 * i..2 * i + 2], 16).unwrap()).collect()
}

const EXCHANGE: ExchangeId = ExchangeId { address: [0x0a, 0x12, 0x4a, 0x07], port: 0x1f43 };

fn exchange_bytes() -> Vec<u8> {
    hex("0a124a07 431f")
}

#[test]
fn every_field_of_a_call_is_decoded() {
    let fields = hex(
        "c4913a5d 0000000000002840 0900 0100 640ad2557c3bf091 02 00008043 00000040 0000000000006e40 00006442",
    );
    let got = Batch::new().to(3).record(1080, &[&fields]).read().unwrap();
    let [(3, Message::Event(Event::Call(call)))] = &got[..] else { panic!("{got:?}") };
    assert_eq!((call.call, call.class, call.tenant), (0x5d3a_91c4, 2, 1));
    assert_eq!((call.width, call.remaining_ms, call.dest), (2.0, 240.0, 57));
    assert_eq!(call.transit_from, Some(256));
    assert_eq!(call.advised_route, None);
    assert!(!call.redial && !call.was_cut);
}

#[test]
fn the_end_of_an_attempt_carries_reason_and_load_report() {
    let fields = hex(
        "c4913a5d 02 0a124a07 431f f701 0000000000803240 00 33010000 03 cdcccc3e 0000a03f 00006841 00000000",
    );
    let got = Batch::new().to(3).record(1100, &[&fields]).read().unwrap();
    let [
        (
            3,
            Message::Event(Event::AttemptEnded {
                attempt,
                exchange,
                outcome,
                reason,
                elapsed_ms,
                call_closed,
                report,
                ..
            }),
        ),
    ] = &got[..]
    else {
        panic!("{got:?}")
    };
    assert_eq!((*attempt, *exchange, *outcome, *call_closed), (2, EXCHANGE, Outcome::Congested, false));
    assert_eq!((*reason, *elapsed_ms), (Reason::ProcessorFull(19.0), 18.5));
    assert_eq!(report.as_ref().map(Vec::len), Some(3));
}

#[test]
fn reason_codes_map_to_reasons() {
    for (code, reason) in [
        (0u32, Reason::Unspecified),
        (1, Reason::NoCircuit),
        (2, Reason::CrankBack),
        (18, Reason::DestinationFull),
        (3, Reason::ProcessorFull(0.0)),
        (4, Reason::UserBusy),
    ] {
        let got = Batch::new()
            .to(0)
            .record(1100, &[&[0; 11], &503u16.to_le_bytes(), &[0; 9], &code.to_le_bytes()])
            .read()
            .unwrap();
        assert!(
            matches!(&got[0].1, Message::Event(Event::AttemptEnded { reason: r, report: None, .. }) if *r == reason)
        );
    }
}

#[test]
fn a_list_event_refers_to_the_list_last_sent_before_it() {
    let entry = |state: &str| hex(&format!("0000000000d4b740 0000c03f 0000 0000 {state} 0700 0a124a07 431f"));
    let got = Batch::new()
        .to(1)
        .record(1070, &[&hex("00000000 00000000 01000000")])
        .record(1010, &[&hex("00000000 03 29000000")])
        .record(1070, &[&hex("00000000 19000000 01000000")])
        .record(1010, &[&hex("00000000 02 2a000000")])
        .record(1010, &[&hex("ffffffff 01 00000000")])
        .tail(&entry("02"))
        .tail(&entry("03"))
        .read()
        .unwrap();
    let lists: Vec<_> = got
        .iter()
        .map(|(_, message)| match message {
            Message::Event(Event::List { kind, entries }) => (*kind, entries.first().map(|e| e.readiness)),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(
        lists,
        [
            (ListUpdateKind::Cached, Some(Readiness::Ready)),
            (ListUpdateKind::Changes, Some(Readiness::Draining)),
            (ListUpdateKind::FetchFailed, None)
        ]
    );
    let Message::Event(Event::List { entries, .. }) = &got[0].1 else { unreachable!() };
    assert_eq!((entries[0].id, entries[0].number, entries[0].started_ms), (EXCHANGE, 7, 6100.0));
}

#[test]
fn the_other_events_are_decoded() {
    let got = Batch::new()
        .to(9)
        .record(1040, &[&7u32.to_le_bytes(), &[1], &exchange_bytes(), &9.25f64.to_le_bytes()])
        .record(1050, &[&7u32.to_le_bytes()])
        .record(1000, &[&0x4du64.to_le_bytes()])
        .record(
            1110,
            &[&0f64.to_le_bytes(), &exchange_bytes(), &200u16.to_le_bytes(), &[1], &5f32.to_le_bytes()],
        )
        .record(1060, &[&2u32.to_le_bytes(), &0u32.to_le_bytes(), &4u32.to_le_bytes()])
        .record(1020, &[])
        .tail(b"hi C")
        .read()
        .unwrap();
    let want = [
        Message::Event(Event::Answered { call: 7, attempt: 1, exchange: EXCHANGE, elapsed_ms: 9.25 }),
        Message::Event(Event::Abandoned { call: 7 }),
        Message::Event(Event::TimerExpired { tag: 0x4d }),
        Message::Event(Event::ProbeResult {
            exchange: EXCHANGE,
            answered: true,
            elapsed_ms: 0.0,
            report: Some(vec![5.0]),
        }),
        Message::Event(Event::PeerMessage { from: 2, bytes: b"hi C".to_vec() }),
        Message::Stop,
    ];
    assert_eq!(got.into_iter().map(|(_, message)| message).collect::<Vec<_>>(), want);
}

#[test]
fn replies_have_the_layout_of_the_protocol() {
    let mut reply = Reply::default();
    assert_eq!(reply.finish(), [0; 8]);
    reply.push(
        3,
        &[
            Action::Send { call: 0x5d3a_91c4, exchange: EXCHANGE, timeout_ms: 80.0 },
            Action::SetTimer { delay_ms: 500.0, tag: 0x4d },
        ],
    );
    reply.push(4, &[]);
    reply.push(5, &[Action::Log { text: "two servers silent".to_owned() }]);
    let want = "8a000000 05000000
        6004 0300 0000000000000000000000000000000000000000
        e803 c4913a5d 0000000000005440 0a124a07 431f 00000000
        1004 0000000000407f40 4d00000000000000 000000000000
        6004 0500 0000000000000000000000000000000000000000
        3804 00000000 12000000 0000000000000000000000000000
        74776f207365727665727320 73696c656e74";
    assert_eq!(reply.finish(), hex(want));
    reply.push(
        1,
        &[
            Action::Refuse { call: 1, retry_after_ms: 250.0 },
            Action::Fail { call: 2 },
            Action::Cancel { call: 3, attempt: 4 },
            Action::Probe { exchange: EXCHANGE },
            Action::SendPeerMessage { to: None, bytes: vec![1, 2, 3] },
            Action::SendPeerMessage { to: Some(2), bytes: vec![9] },
            Action::Subscribe,
            Action::FetchList,
        ],
    );
    let frame = reply.finish();
    assert_eq!(&frame[..8], &hex("dc000000 09000000")[..]);
    let records: Vec<&[u8]> = frame[8..8 + 9 * 24].chunks(24).collect();
    assert_eq!(&records[1][..14], &hex("f203 01000000 0000000000406f40")[..]);
    assert_eq!(&records[2][..6], &hex("fc03 02000000")[..]);
    assert_eq!(&records[3][..7], &hex("0604 03000000 04")[..]);
    assert_eq!(&records[4][..8], &hex("1a04 0a124a07 431f")[..]);
    assert_eq!(&records[5][..14], &hex("2e04 ffffffff 00000000 03000000")[..]);
    assert_eq!(&records[6][..14], &hex("2e04 02000000 03000000 01000000")[..]);
    assert_eq!(&records[7][..3], &hex("4c04 01")[..]);
    assert_eq!(&records[8][..2], &hex("5604")[..]);
    assert_eq!(&frame[8 + 9 * 24..], [1, 2, 3, 9]);
}

#[test]
fn malformed_frames_are_rejected() {
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("short header", vec![0; 10]),
        ("records beyond the length", {
            let mut frame = Batch::new().to(1).frame(1.0);
            frame[0] = 9;
            frame
        }),
        ("body cut short", {
            let mut frame = Batch::new().to(1).frame(1.0);
            frame.pop();
            frame
        }),
        ("time not a number", Batch::new().frame(f64::NAN)),
        ("unknown record", Batch::new().to(1).record(1234, &[]).frame(1.0)),
        ("record before any instance was selected", Batch::new().record(1020, &[]).frame(1.0)),
        ("unknown outcome", Batch::new().to(1).record(1100, &[&[0; 11], &[1, 1]]).frame(1.0)),
        ("unknown kind of list update", Batch::new().to(1).record(1010, &[&[0, 0, 0, 0, 7]]).frame(1.0)),
        ("list that was not sent", Batch::new().to(1).record(1010, &[&[3, 0, 0, 0, 0]]).frame(1.0)),
        (
            "list outside the tail",
            Batch::new().record(1070, &[&hex("00000000 00000000 01000000")]).frame(1.0),
        ),
        (
            "number of list entries that overflows",
            Batch::new().record(1070, &[&hex("00000000 ffffffff ffffffff")]).frame(1.0),
        ),
        (
            "unknown readiness",
            Batch::new().record(1070, &[&hex("00000000 00000000 01000000")]).tail(&[9; 25]).frame(1.0),
        ),
        (
            "message outside the tail",
            Batch::new().to(1).record(1060, &[&hex("02000000 01000000 04000000")]).frame(1.0),
        ),
        (
            "load report too long",
            Batch::new().to(1).record(1110, &[&[0; 14], &200u16.to_le_bytes(), &[5]]).frame(1.0),
        ),
        (
            "settings not valid UTF-8",
            Batch::new().to(1).record(1090, &[&[0; 8], &hex("00000000 01000000")]).tail(&[0xff]).frame(1.0),
        ),
    ];
    for (what, frame) in cases {
        assert!(read(&frame).is_err(), "{what} was accepted");
    }
}

#[test]
fn settings_are_parsed_and_errors_name_the_key() {
    let text = settings_text();
    let settings = read_settings(&text).unwrap();
    assert_eq!((settings.softswitch_count, settings.home, settings.classes.len()), (4, Some(0), 3));
    assert_eq!((settings.classes[1].width, settings.classes[1].worth), (2.0, 4.0));
    assert_eq!(read_settings(&format!("{text}future.key=odd words\n")).unwrap(), settings);
    for key in ["balancers", "classes.1.aimMs", "specifics.releaseMs", "invariants.coldFrom", "report.fields"]
    {
        let without: String =
            text.lines().filter(|l| !l.starts_with(&format!("{key}="))).map(|l| format!("{l}\n")).collect();
        assert_eq!(read_settings(&without), Err(WireError::MissingKey(key.to_owned())));
        if key != "report.fields" {
            let error = read_settings(&format!("{text}{key}=many\n")).unwrap_err();
            assert!(error.to_string().contains(key), "{error}");
        }
    }
}

fn run_benchlink(input: &[u8]) -> (Option<i32>, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_swiftlb-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // The program may stop reading at the first error, so a broken pipe is no failure of the test.
    let _ = stdin.write_all(input);
    drop(stdin);
    let out = child.wait_with_output().unwrap();
    (out.status.code(), out.stdout, String::from_utf8_lossy(&out.stderr).into_owned())
}

#[test]
fn benchlink_replies_to_each_batch_and_ends_at_the_end_of_input() {
    assert_eq!(run_benchlink(&[]), (Some(0), Vec::new(), String::new()));
    let empty = Batch::new().frame(60_000.0);
    let (code, out, _) = run_benchlink(&[empty.clone(), empty].concat());
    assert_eq!((code, out), (Some(0), vec![0; 16]));
}

#[test]
fn benchlink_restarts_an_instance_within_one_batch() {
    let text = settings_text();
    let length = (text.len() as u32).to_le_bytes();
    let start: Vec<&[u8]> = vec![&[1; 8], &[0; 4], &length];
    let call = hex(
        "07000000 0000000000002840 0000 0000 0000000000000000 00 000080bf 0000803f 0000000000006e40 0000803f",
    );
    let batch = Batch::new()
        .to(2)
        .record(1090, &start)
        .record(1020, &[])
        .record(1080, &[&call])
        .record(1090, &start)
        .record(1080, &[&call])
        .tail(text.as_bytes());
    let (code, out, error) = run_benchlink(&batch.frame(5.0));
    assert_eq!(code, Some(0), "{error}");
    let codes: Vec<u16> = out[8..].chunks(24).map(|r| u16::from_le_bytes([r[0], r[1]])).collect();
    assert_eq!(
        codes.iter().filter(|code| **code == 1010).count(),
        1,
        "one refusal, from the instance started last: {codes:?}"
    );
}

#[test]
fn benchlink_reports_malformed_input_and_fails() {
    let good = Batch::new().frame(1.0);
    for bad in [vec![1, 2, 3], Batch::new().to(1).record(4321, &[]).frame(2.0), {
        let mut cut = Batch::new().to(1).frame(2.0);
        cut.truncate(30);
        cut
    }] {
        let (code, out, error) = run_benchlink(&[good.clone(), bad].concat());
        assert_eq!(code, Some(1));
        assert_eq!(out, vec![0; 8], "the valid batch gets a reply, the malformed one does not");
        assert!(error.starts_with("swiftlb-benchlink: ") && !error.contains("panicked"), "{error}");
    }
    let text = settings_text().replace("policyLimits.tryLimit=5", "policyLimits.tryLimit=0");
    let length = (text.len() as u32).to_le_bytes();
    let batch = Batch::new().to(2).record(1090, &[&[1; 8], &[0; 4], &length]).tail(text.as_bytes());
    let (code, _, error) = run_benchlink(&batch.frame(5.0));
    assert_eq!(code, Some(1));
    assert!(error.contains("attempt limit"), "{error}");
}
