//! Stand-ins on loopback: a softswitch under test, exchanges and callers of both fronts.
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

/// Nothing that is waited for takes this long; a test that gets there has failed.
const PATIENCE: Duration = Duration::from_secs(8);

/// A running softswitch; it ends with the test.
pub struct Softswitch {
    pub address: SocketAddr,
    pub iax2_address: Option<SocketAddr>,
    pub operator_address: SocketAddr,
    pub loop_sender: LoopSender,
    pub thread: Option<std::thread::JoinHandle<bool>>,
    _resolver: UdpSocket,
}

impl Softswitch {
    /// One whose exchanges 1, 2 ... are at these addresses; those in `nodes` speak IAX2.
    pub fn start(exchanges: &[SocketAddr], nodes: &[u32]) -> Self {
        let resolver = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let names = resolver.local_addr().expect("an address").to_string();
        // The own exchange is never dialled; its address only has to be one.
        let all: Vec<String> = std::iter::once("127.0.0.1:9".to_owned())
            .chain(exchanges.iter().map(|a| a.to_string()))
            .collect();
        let config = Config::parse(&config_json("127.0.0.1:0", &names, &all)).expect("a configuration");
        let iax2 = format!(
            r#"{{"enabled":true,"listen":"127.0.0.1:0","nodes":{nodes:?},"contexts":[
            {{"context":"service","class":"lookup","numbers":[{{"prefix":"1","exchange":1}},{{"prefix":"2","exchange":2}}]}}]}}"#
        );
        let iax2 = Iax2Config::parse(&iax2).expect("an IAX2 configuration");
        let server = Server::bind(config, iax2).expect("ports on loopback");
        let (address, iax2_address) = (server.address().expect("an address"), server.iax2_address());
        let operator_address = server.operator_address().expect("a door");
        let loop_sender = server.loop_sender();
        let thread = Some(std::thread::spawn(move || server.run().is_ok()));
        Self { address, iax2_address, operator_address, loop_sender, thread, _resolver: resolver }
    }

    /// An operator's call: the status and the body of its answer.
    pub fn operator_request(&self, call: &str) -> (u32, String) {
        operator_request(self.operator_address, call)
    }

    /// One figure.
    pub fn metric(&self, name: &str) -> String {
        let text = self.operator_request("GET /ops/stats").1;
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or("none").to_owned()
    }

    /// Waits until a figure has this value.
    pub fn await_metric(&self, name: &str, value: &str) {
        let until = Instant::now() + PATIENCE;
        while self.metric(name) != value {
            assert!(Instant::now() < until, "{name} is {}, not {value}", self.metric(name));
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Tells it to stop and waits until it has.
    pub fn stop(&mut self) -> bool {
        // An earlier order may have ended it already; what counts is how it ended.
        let _ = self.loop_sender.send(LoopMessage::Input(Input::Drain));
        self.thread.take().expect("it ran").join().expect("it did not panic")
    }
}

/// One call at an operators' operator_address: the status and the body of its answer.
pub fn operator_request(operator_address: SocketAddr, call: &str) -> (u32, String) {
    let mut stream = TcpStream::connect(operator_address).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    write!(stream, "{call} HTTP/1.1\r\nHost: localhost\r\nContent-Length: 0\r\n\r\n").expect("it reads");
    read_reply(stream)
}

/// The answer to a call at the operators' door.
pub fn read_reply(mut stream: TcpStream) -> (u32, String) {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer in time");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    assert!(head.contains(&format!("Content-Length: {}", body.len())), "{answer}");
    (head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status"), body.to_owned())
}

/// One end of a connection that speaks JSON lines.
pub struct JsonLinesConn {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// At an exchange: it listens for as long as it lives.
    listener: Option<TcpListener>,
}

impl JsonLinesConn {
    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        Self { stream, reader, listener: None }
    }

    pub fn connect(to: SocketAddr) -> Self {
        Self::from_stream(TcpStream::connect(to).expect("it listens"))
    }

    pub fn send(&mut self, line: &str) {
        self.stream.write_all(line.as_bytes()).expect("it reads");
        self.stream.write_all(b"\n").expect("it reads");
    }

    /// Sends whatever it is, and does not care how much of it is read.
    pub fn send_raw(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// At an exchange: one more connection beside this one.
    pub fn accept_another(&self) -> Self {
        Self::from_stream(self.listener.as_ref().expect("an exchange").accept().expect("a connection").0)
    }

    /// At an exchange whose connection has broken or was left: the next one.
    pub fn accept_next(&mut self) {
        let listener = self.listener.take().expect("an exchange");
        *self = ListeningExchange { listener }.accept();
    }

    /// The next line; `None` at the end of the connection, however it ends.
    pub fn receive(&mut self) -> Option<JsonMessage> {
        let mut line = String::new();
        let length = match self.reader.read_line(&mut line) {
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => 0,
            length => length.expect("a line in time"),
        };
        let said = (length > 0).then(|| JsonMessage(parse_json(&line).expect("JSON")))?;
        if self.listener.is_some() && said.text("kind") == "launch" {
            // A set-up takes a circuit, and an exchange tells of that at once.
            self.send(r#"{"kind":"usage","uid":"00000000000000ee","meta":{"load":"spare:20;total:30"}}"#);
        }
        Some(said)
    }

    pub fn expect(&mut self, kind: &str, call: &str) -> JsonMessage {
        let said = self.receive().expect("a line");
        assert_eq!((said.text("kind").as_str(), said.text("uid").as_str()), (kind, call), "{said:?}");
        said
    }

    /// Passes a test, which shows that nothing else was on its way here before.
    pub fn assert_quiet(&mut self) {
        self.send(r#"{"kind":"check","uid":"00000000000000ff","meta":{},"reason":0}"#);
        self.expect("checked", "00000000000000ff");
    }

    /// At an exchange: nothing has come that is not read yet.
    pub fn assert_exchange_quiet(&mut self) {
        self.stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a time-out");
        let mut line = String::new();
        let read = self.reader.read_line(&mut line);
        self.stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        assert!(read.is_err(), "unexpected: {line}");
    }

    /// Breaks the connection and goes on listening.
    pub fn reset_and_listen(&mut self) -> ListeningExchange {
        let listener = self.listener.take().expect("an exchange");
        self.stream.peek(&mut [0]).expect("bytes to leave unread");
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        ListeningExchange { listener }
    }

    /// Breaks the connection as a dying process does.
    pub fn reset(self) {
        // Closing with bytes unread makes the system send a reset; so wait until some are there.
        self.stream.peek(&mut [0]).expect("bytes to leave unread");
    }
}

/// A JSON line.
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

/// An exchange that speaks JSON lines.
pub struct ListeningExchange {
    listener: TcpListener,
}

impl ListeningExchange {
    pub fn new() -> Self {
        Self { listener: TcpListener::bind("127.0.0.1:0").expect("a port") }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Takes a connection.
    pub fn accept(self) -> JsonLinesConn {
        let mut lines = JsonLinesConn::from_stream(self.listener.accept().expect("a connection").0);
        lines.listener = Some(self.listener);
        lines
    }
}

/// A set-up as callers of the platform write it.
pub fn launch_line(call: &str, dest: u32, left: u32) -> String {
    format!(
        r#"{{"kind":"launch","uid":"{call}","meta":{{"class":"status","left":"{left}","key":"7F3a","extras":"dest:{dest};width:1;via:-1"}},"body":"v=0\r\n\u00fc \"q\" \ud83d\ude00"}}"#
    )
}

/// One leg of an IAX2 peer, caller or node, with numbering and acknowledgements of its own.
pub struct Iax2Endpoint {
    pub socket: UdpSocket,
    pub peer: Option<SocketAddr>,
    pub local: u16,
    pub remote: u16,
    pub oseqno: u8,
    pub iseqno: u8,
    /// Frames that came again.
    pub repeated: usize,
}

impl Iax2Endpoint {
    pub fn new(local: u16) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Self { socket, peer: None, local, remote: 0, oseqno: 0, iseqno: 0, repeated: 0 }
    }

    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("an address")
    }

    /// Leaves the leg behind: the next frames are those of another one.
    pub fn new_leg(&mut self) {
        self.local += 1;
        (self.remote, self.oseqno, self.iseqno) = (0, 0, 0);
    }

    /// Calls a number; the frame is given back so that it can be sent again.
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
        let (source_call, dest_call, oseqno, iseqno) = (self.local, self.remote, self.oseqno, self.iseqno);
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
        self.socket.send_to(&frame.encode(), self.peer.expect("a peer")).expect("sent");
    }

    fn report(&self, subclass: u32, timestamp: u32) {
        let (source_call, dest_call, oseqno, iseqno) = (self.local, self.remote, self.oseqno, self.iseqno);
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

    /// The next datagram, whatever it is and unanswered.
    pub fn receive_unacked(&mut self) -> Frame {
        let mut bytes = [0; 2_048];
        let (length, from) = self.socket.recv_from(&mut bytes).expect("a datagram in time");
        self.peer = Some(from);
        decode_frame(&bytes[..length]).expect("a frame")
    }

    /// The next new frame in order, acknowledged; a poke is answered on the way.
    pub fn receive(&mut self) -> FullFrame {
        loop {
            let Frame::Full(frame) = self.receive_unacked() else { continue };
            if frame.is_iax(iax::POKE) {
                let (source_call, dest_call) = (1, frame.source_call);
                let pong = FullFrame { source_call, dest_call, iseqno: 1, subclass: iax::PONG, ..frame };
                self.send_frame(&pong);
                continue;
            }
            // An acknowledgement of the pong, under the number that pongs have.
            if !frame.is_sequenced() || frame.dest_call == 1 {
                continue;
            }
            if frame.oseqno != self.iseqno {
                self.repeated += 1;
                self.report(iax::ACK, frame.timestamp);
                continue;
            }
            self.iseqno = self.iseqno.wrapping_add(1);
            self.remote = frame.source_call;
            self.report(iax::ACK, frame.timestamp);
            return frame;
        }
    }

    /// The next new frame, which is this message.
    pub fn expect(&mut self, frame_type: FrameType, subclass: u32) -> InformationElements {
        let frame = self.receive();
        assert_eq!((frame.frame_type, frame.subclass), (frame_type, subclass), "{frame:?}");
        if frame_type == FrameType::Iax {
            InformationElements::decode(&frame.payload).expect("elements")
        } else {
            InformationElements::default()
        }
    }

    /// A node's reply that the call stands.
    pub fn answer(&mut self) {
        let accept = InformationElements { format: Some(4), ..InformationElements::default() };
        self.send(FrameType::Iax, iax::ACCEPT, accept.encode());
        self.send(FrameType::Control, swiftlb::iax2::frame::control::ANSWER, Vec::new());
    }

    pub fn hang_up(&mut self, cause: u8) -> FullFrame {
        self.send(FrameType::Iax, iax::HANGUP, InformationElements::with_cause(cause, "").encode())
    }

    /// The next mini frame.
    pub fn receive_mini(&mut self) -> MiniFrame {
        loop {
            if let Frame::Mini(mini) = self.receive_unacked() {
                return mini;
            }
        }
    }

    /// Pokes the softswitch and takes what comes before its answer: all that was on its way here.
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
        let mut seen = Vec::new();
        loop {
            match self.receive_unacked() {
                Frame::Full(frame) if frame.is_iax(iax::PONG) && frame.dest_call == 99 => return seen,
                Frame::Full(frame) => seen.push(frame),
                Frame::Mini(_) => {}
            }
        }
    }
}

/// How long something takes.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let done = work();
    (done, start.elapsed())
}
