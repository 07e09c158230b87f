//! The program itself on an inherited listener, with what two processes of a replacement share.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::endpoints::{JsonLinesConn, ListeningExchange, launch_line, operator_request};
use crate::engine_harness;

/// A temporary directory that is removed at the end of the test.
pub struct TempDirectory(pub PathBuf);

impl TempDirectory {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("swiftlb-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("create the directory");
        Self(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// First port and number of ports that [`reserved_address`] returns. They lie below the range from which Linux assigns
/// ports to sockets that are bound to port 0 or connect.
const FIRST_RESERVED_PORT: u16 = 20_000;
const RESERVED_PORTS: u16 = 10_000;
/// Addresses that one process of tests may ask for; processes with neighbouring ids get different ports.
const PORTS_PER_PROCESS: u32 = 16;

/// A loopback address for a program that binds its port later. A port that the system assigns to a test and that is
/// released again can be assigned to another process before the program binds it.
pub fn reserved_address() -> SocketAddr {
    static ADDRESSES: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset =
            std::process::id().wrapping_mul(PORTS_PER_PROCESS) + ADDRESSES.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_RESERVED_PORT + (offset % u32::from(RESERVED_PORTS)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// A started program; it is killed at the end of the test.
pub struct Program {
    pub child: Child,
    pub operator_address: SocketAddr,
}

impl Program {
    /// Starts the program with the listener as its standard input, descriptor 0.
    pub fn start(listener: &TcpListener, directory: &Path) -> Self {
        let operator_address = reserved_address();
        let listener: OwnedFd = listener.try_clone().expect("duplicate the descriptor").into();
        let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
        command
            .env("NODE_CONFIG", directory.join("config.json"))
            .env("NODE_FD", "0")
            .env("TMPDIR", directory);
        command
            .env("NODE_OPERATOR", operator_address.to_string())
            .stdin(Stdio::from(listener))
            .stderr(Stdio::piped());
        command.arg("--iax2").arg(directory.join("iax2.json"));
        let mut child = command.spawn().expect("start the program");
        let mut log = BufReader::new(child.stderr.take().expect("piped standard error"));
        let mut line = String::new();
        log.read_line(&mut line).expect("next line");
        while !line.contains("serves name=") {
            line.clear();
            assert!(log.read_line(&mut line).expect("next line") > 0, "it ended");
        }
        std::thread::spawn(move || log.read_to_string(&mut String::new()));
        Self { child, operator_address }
    }

    /// Waits until the program is ready. Only for successors: without a predecessor, a program is not ready before the
    /// resolver has answered.
    pub fn ready(self) -> Self {
        while operator_request(self.operator_address, "GET /ops/readiness").0 != 200 {
            std::thread::sleep(Duration::from_millis(10));
        }
        self
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal to the program.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("run kill").success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What two programs share: the listening socket, a directory, one exchange and the resolver.
pub fn shared_setup(name: &str) -> (TcpListener, TempDirectory, ListeningExchange, UdpSocket) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let (directory, exchange) = (TempDirectory::new(name), ListeningExchange::new());
    let resolver = UdpSocket::bind("127.0.0.1:0").expect("bind a loopback port");
    let address = |a: std::io::Result<SocketAddr>| a.expect("local address").to_string();
    let all = ["127.0.0.1:9".to_owned(), exchange.address().to_string()];
    let text =
        engine_harness::config_json(&address(listener.local_addr()), &address(resolver.local_addr()), &all);
    std::fs::write(directory.0.join("config.json"), text).expect("write the file");
    let iax2 = format!(
        r#"{{"enabled":true,"listen":"{}","nodes":[],"contexts":[
        {{"context":"service","class":"lookup","numbers":[{{"prefix":"1","exchange":1}}]}}]}}"#,
        reserved_address()
    );
    std::fs::write(directory.0.join("iax2.json"), iax2).expect("write the file");
    (listener, directory, exchange, resolver)
}

/// Places a call and waits for its answer.
pub fn set_up(caller: &mut JsonLinesConn, exchange: &mut JsonLinesConn, call: &str) {
    caller.send(&launch_line(call, 1, 3_000));
    exchange.expect("launch", call);
    exchange.send(&format!(r#"{{"kind":"running","uid":"{call}","meta":{{}},"body":""}}"#));
    caller.expect("running", call);
}
