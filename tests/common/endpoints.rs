//! Endpoints on loopback sockets: a softswitch under test, and simulated exchanges and callers of both fronts.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use swiftlb::config::{Config, parse_json};
use swiftlb::engine::Input;
use swiftlb::iax2::Iax2Config;
use swiftlb::iax2::element::InformationElements;
use swiftlb::iax2::frame::{Frame, FrameType, FullFrame, MiniFrame, decode as decode_frame, iax};
use swiftlb::net::{LoopMessage, LoopSender, Server};
use tinyjson::JsonValue;

use crate::engine_harness::config_json;
use retry::retry_interrupted;

#[path = "retry.rs"]
mod retry;

/// Time-out of every wait; a test that reaches it fails.
const TIMEOUT: Duration = Duration::from_secs(8);

/// A softswitch that runs in a thread of the test.
pub struct Softswitch {
    pub address: SocketAddr,
    pub iax2_address: Option<SocketAddr>,
    pub operator_address: SocketAddr,
    pub loop_sender: LoopSender,
    pub thread: Option<std::thread::JoinHandle<bool>>,
    _resolver: UdpSocket,
}

impl Softswitch {
    /// Starts a softswitch whose exchanges 1, 2 ... are at these addresses; those with a number in `iax2_exchanges`
    /// speak IAX2, the others JSON lines.
    pub fn start(exchanges: &[SocketAddr], iax2_exchanges: &[u32]) -> Self {
        let resolver = UdpSocket::bind("127.0.0.1:0").expect("bind a loopback port");
        let resolver_address = resolver.local_addr().expect("local address").to_string();
        // The softswitch does not connect to its home exchange, so any address will do.
        let addresses: Vec<String> = std::iter::once("127.0.0.1:9".to_owned())
            .chain(exchanges.iter().map(|a| a.to_string()))
            .collect();
        let config = Config::parse(&config_json("127.0.0.1:0", &resolver_address, &addresses))
            .expect("valid configuration");
        let iax2 = format!(
            r#"{{"enabled":true,"listen":"127.0.0.1:0","nodes":{iax2_exchanges:?},"contexts":[
            {{"context":"service","class":"lookup","numbers":[{{"prefix":"1","exchange":1}},{{"prefix":"2","exchange":2}}]}}]}}"#
        );
        let iax2 = Iax2Config::parse(&iax2).expect("valid IAX2 configuration");
        let server = Server::bind(config, iax2).expect("bind loopback ports");
        let (address, iax2_address) = (server.address().expect("local address"), server.iax2_address());
        let operator_address = server.operator_address().expect("address of the operators' server");
        let loop_sender = server.loop_sender();
        let thread = Some(std::thread::spawn(move || server.run().is_ok()));
        Self { address, iax2_address, operator_address, loop_sender, thread, _resolver: resolver }
    }

    /// Sends an operator's request such as `GET /ops/stats`; returns the status and the body of the reply.
    pub fn operator_request(&self, request: &str) -> (u32, String) {
        operator_request(self.operator_address, request)
    }

    /// Value of a metric, with its labels in the name.
    pub fn metric(&self, name: &str) -> String {
        let text = self.operator_request("GET /ops/stats").1;
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or("none").to_owned()
    }

    /// Waits until a metric has this value.
    pub fn await_metric(&self, name: &str, value: &str) {
        let deadline = Instant::now() + TIMEOUT;
        while self.metric(name) != value {
            assert!(Instant::now() < deadline, "{name} is {}, not {value}", self.metric(name));
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Asks the softswitch to stop and waits for its end; true if it ended without an error.
    pub fn stop(&mut self) -> bool {
        // Sending fails if an earlier request to stop has ended the event loop already.
        let _ = self.loop_sender.send(LoopMessage::Input(Input::Stop));
        self.thread.take().expect("running thread").join().expect("thread without a panic")
    }
}

/// Sends an operator's request to this address; returns the status and the body of the reply.
pub fn operator_request(operator_address: SocketAddr, request: &str) -> (u32, String) {
    let mut stream = TcpStream::connect(operator_address).expect("connect");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set the read time-out");
    write!(stream, "{request} HTTP/1.1\r\nHost: localhost\r\nContent-Length: 0\r\n\r\n")
        .expect("write to the socket");
    read_reply(stream)
}

/// Reads the reply to an operator's request: status and body.
pub fn read_reply(mut stream: TcpStream) -> (u32, String) {
    let mut reply = String::new();
    stream.read_to_string(&mut reply).expect("reply before the time-out");
    let (head, body) = reply.split_once("\r\n\r\n").expect("HTTP head");
    assert!(head.contains(&format!("Content-Length: {}", body.len())), "{reply}");
    (head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("HTTP status"), body.to_owned())
}

/// The remote end, caller or exchange, of a connection that carries JSON lines.
pub struct JsonLinesConn {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// The listener of an exchange, which stays open along with the connection.
    listener: Option<TcpListener>,
}

impl JsonLinesConn {
    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).expect("set the read time-out");
        let reader = BufReader::new(stream.try_clone().expect("duplicate the descriptor"));
        Self { stream, reader, listener: None }
    }

    pub fn connect(to: SocketAddr) -> Self {
        Self::from_stream(TcpStream::connect(to).expect("connect"))
    }

    pub fn send(&mut self, line: &str) {
        self.stream.write_all(line.as_bytes()).expect("write to the socket");
        self.stream.write_all(b"\n").expect("write to the socket");
    }

    /// Sends any bytes; ignores the error if the softswitch closes the connection before it has read them.
    pub fn send_raw(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Accepts a further connection at an exchange and keeps this one.
    pub fn accept_another(&self) -> Self {
        Self::from_stream(
            self.listener.as_ref().expect("listener of an exchange").accept().expect("accept a connection").0,
        )
    }

    /// Accepts the next connection at an exchange in place of this one.
    pub fn accept_next(&mut self) {
        let listener = self.listener.take().expect("listener of an exchange");
        *self = ListeningExchange { listener }.accept();
    }

    /// Receives the next line; `None` if the connection was closed or reset.
    pub fn receive(&mut self) -> Option<JsonMessage> {
        let mut line = String::new();
        let length = match self.reader.read_line(&mut line) {
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => 0,
            length => length.expect("line before the time-out"),
        };
        let message = (length > 0).then(|| JsonMessage(parse_json(&line).expect("valid JSON")))?;
        if self.listener.is_some() && message.text("kind") == "launch" {
            // An exchange reports its free circuits after each set-up, because the set-up takes one.
            self.send(r#"{"kind":"usage","uid":"00000000000000ee","meta":{"load":"spare:20;total:30"}}"#);
        }
        Some(message)
    }

    pub fn expect(&mut self, kind: &str, call: &str) -> JsonMessage {
        let message = self.receive().expect("next line");
        assert_eq!(
            (message.text("kind").as_str(), message.text("uid").as_str()),
            (kind, call),
            "{message:?}"
        );
        message
    }

    /// Sends a health check and expects its reply as the next line: no other line was sent to this caller before.
    pub fn assert_quiet(&mut self) {
        self.send(r#"{"kind":"check","uid":"00000000000000ff","meta":{},"reason":0}"#);
        self.expect("checked", "00000000000000ff");
    }

    /// Checks that an exchange receives nothing for 50 ms.
    pub fn assert_exchange_quiet(&mut self) {
        self.stream.set_read_timeout(Some(Duration::from_millis(50))).expect("set the read time-out");
        let mut line = String::new();
        let read = self.reader.read_line(&mut line);
        self.stream.set_read_timeout(Some(TIMEOUT)).expect("set the read time-out");
        assert!(read.is_err(), "unexpected: {line}");
    }

    /// Breaks the connection of an exchange and keeps its listener.
    pub fn reset_and_listen(&mut self) -> ListeningExchange {
        let listener = self.listener.take().expect("listener of an exchange");
        retry_interrupted(TIMEOUT, || self.stream.peek(&mut [0])).expect("bytes to leave unread");
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        ListeningExchange { listener }
    }

    /// Resets the connection, as the system does when a process dies.
    pub fn reset(self) {
        // Closing a socket with unread bytes makes the system send a reset, so this waits for some bytes.
        retry_interrupted(TIMEOUT, || self.stream.peek(&mut [0])).expect("bytes to leave unread");
    }
}

/// A received JSON line.
#[derive(Debug)]
pub struct JsonMessage(pub JsonValue);

impl JsonMessage {
    fn field(&self, path: &str) -> Option<&JsonValue> {
        path.split('.').try_fold(&self.0, |value, key| {
            value.get::<std::collections::HashMap<String, JsonValue>>()?.get(key)
        })
    }

    pub fn text(&self, path: &str) -> String {
        self.field(path).and_then(|v| v.get::<String>()).cloned().unwrap_or_default()
    }

    pub fn cause(&self) -> f64 {
        self.field("reason").and_then(|v| v.get::<f64>()).copied().unwrap_or(-1.0)
    }
}

/// An exchange on JSON lines that has no connection yet.
pub struct ListeningExchange {
    listener: TcpListener,
}

impl ListeningExchange {
    pub fn new() -> Self {
        Self { listener: TcpListener::bind("127.0.0.1:0").expect("bind a loopback port") }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("local address")
    }

    /// Accepts the connection of the softswitch.
    pub fn accept(self) -> JsonLinesConn {
        let mut connection =
            JsonLinesConn::from_stream(self.listener.accept().expect("accept a connection").0);
        connection.listener = Some(self.listener);
        connection
    }
}

/// A set-up as callers of the platform send it, with the time that the caller waits, in ms.
pub fn launch_line(call: &str, dest: u32, remaining_ms: u32) -> String {
    format!(
        r#"{{"kind":"launch","uid":"{call}","meta":{{"class":"status","left":"{remaining_ms}","key":"7F3a","extras":"dest:{dest};width:1;via:-1"}},"body":"v=0\r\n\u00fc \"q\" \ud83d\ude00"}}"#
    )
}

/// An IAX2 peer, caller or exchange, with one leg: it numbers its frames and acknowledges those it receives.
pub struct Iax2Endpoint {
    pub socket: UdpSocket,
    pub peer: Option<SocketAddr>,
    pub local_call: u16,
    pub remote_call: u16,
    pub oseqno: u8,
    pub iseqno: u8,
    /// Number of received frames that were out of order or duplicates.
    pub duplicates: usize,
}

impl Iax2Endpoint {
    pub fn new(local_call: u16) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a loopback port");
        socket.set_read_timeout(Some(TIMEOUT)).expect("set the read time-out");
        Self { socket, peer: None, local_call, remote_call: 0, oseqno: 0, iseqno: 0, duplicates: 0 }
    }

    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("local address")
    }

    /// Starts another leg: the next frames have a new call number and count from 0.
    pub fn new_leg(&mut self) {
        self.local_call += 1;
        (self.remote_call, self.oseqno, self.iseqno) = (0, 0, 0);
    }

    /// Calls a number; returns the NEW frame, so that a test can retransmit it.
    pub fn call(&mut self, to: SocketAddr, number: &str) -> FullFrame {
        self.peer = Some(to);
        let elements = InformationElements {
            version: Some(2),
            called_number: Some(number.to_owned()),
            called_context: Some("service".to_owned()),
            capability: Some(4),
            format: Some(4),
            ..InformationElements::default()
        };
        self.send(FrameType::Iax, iax::NEW, elements.encode())
    }

    pub fn send(&mut self, frame_type: FrameType, subclass: u32, payload: Vec<u8>) -> FullFrame {
        let (source_call, dest_call, oseqno, iseqno) =
            (self.local_call, self.remote_call, self.oseqno, self.iseqno);
        let timestamp = 10 + 20 * u32::from(oseqno);
        let frame = FullFrame {
            source_call,
            dest_call,
            retransmitted: false,
            timestamp,
            oseqno,
            iseqno,
            frame_type,
            subclass,
            payload,
        };
        self.oseqno = self.oseqno.wrapping_add(1);
        self.send_frame(&frame);
        frame
    }

    pub fn send_frame(&self, frame: &FullFrame) {
        self.socket
            .send_to(&frame.encode(), self.peer.expect("address of the peer"))
            .expect("send a message");
    }

    fn send_empty(&self, subclass: u32, timestamp: u32) {
        let (source_call, dest_call, oseqno, iseqno) =
            (self.local_call, self.remote_call, self.oseqno, self.iseqno);
        let (frame_type, payload) = (FrameType::Iax, Vec::new());
        self.send_frame(&FullFrame {
            source_call,
            dest_call,
            retransmitted: false,
            timestamp,
            oseqno,
            iseqno,
            frame_type,
            subclass,
            payload,
        });
    }

    /// Receives the next frame and does not acknowledge it.
    pub fn receive_unacked(&mut self) -> Frame {
        let mut bytes = [0; 2_048];
        let (length, from) = retry_interrupted(TIMEOUT, || self.socket.recv_from(&mut bytes))
            .expect("datagram before the time-out");
        self.peer = Some(from);
        decode_frame(&bytes[..length]).expect("valid frame")
    }

    /// Receives and acknowledges the next sequenced frame in order. POKE gets a PONG; frames out of order and duplicates
    /// are counted and acknowledged, and all other frames are skipped.
    pub fn receive(&mut self) -> FullFrame {
        loop {
            let Frame::Full(frame) = self.receive_unacked() else { continue };
            if frame.is_iax(iax::POKE) {
                let (source_call, dest_call) = (1, frame.source_call);
                let pong = FullFrame { source_call, dest_call, iseqno: 1, subclass: iax::PONG, ..frame };
                self.send_frame(&pong);
                continue;
            }
            // Call number 1 is that of PONG frames, so this is the acknowledgement of a PONG.
            if !frame.is_sequenced() || frame.dest_call == 1 {
                continue;
            }
            if frame.oseqno != self.iseqno {
                self.duplicates += 1;
                self.send_empty(iax::ACK, frame.timestamp);
                continue;
            }
            self.iseqno = self.iseqno.wrapping_add(1);
            self.remote_call = frame.source_call;
            self.send_empty(iax::ACK, frame.timestamp);
            return frame;
        }
    }

    /// Receives the next frame, checks its type and returns its information elements.
    pub fn expect(&mut self, frame_type: FrameType, subclass: u32) -> InformationElements {
        let frame = self.receive();
        assert_eq!((frame.frame_type, frame.subclass), (frame_type, subclass), "{frame:?}");
        if frame_type == FrameType::Iax {
            InformationElements::decode(&frame.payload).expect("valid information elements")
        } else {
            InformationElements::default()
        }
    }

    /// Answers a call as an exchange does.
    pub fn answer(&mut self) {
        let accept = InformationElements { format: Some(4), ..InformationElements::default() };
        self.send(FrameType::Iax, iax::ACCEPT, accept.encode());
        self.send(FrameType::Control, swiftlb::iax2::frame::control::ANSWER, Vec::new());
    }

    pub fn hang_up(&mut self, cause: u8) -> FullFrame {
        self.send(FrameType::Iax, iax::HANGUP, InformationElements::with_cause(cause, "").encode())
    }

    /// Receives the next mini frame; other frames are skipped.
    pub fn receive_mini(&mut self) -> MiniFrame {
        loop {
            if let Frame::Mini(mini) = self.receive_unacked() {
                return mini;
            }
        }
    }

    /// Sends POKE and returns the full frames received before the PONG: all that were sent before.
    pub fn frames_before_pong(&mut self) -> Vec<FullFrame> {
        let (source_call, frame_type, subclass) = (99, FrameType::Iax, iax::POKE);
        let poke = FullFrame {
            source_call,
            dest_call: 0,
            retransmitted: false,
            timestamp: 0,
            oseqno: 0,
            iseqno: 0,
            frame_type,
            subclass,
            payload: vec![],
        };
        self.send_frame(&poke);
        let mut frames = Vec::new();
        loop {
            match self.receive_unacked() {
                Frame::Full(frame) if frame.is_iax(iax::PONG) && frame.dest_call == 99 => return frames,
                Frame::Full(frame) => frames.push(frame),
                Frame::Mini(_) => {}
            }
        }
    }
}

/// Runs `work` and measures how long it takes.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed())
}
