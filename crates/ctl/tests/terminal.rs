//! Tests of the console in a pseudo-terminal: contents of the screen at 80x24, keys, a resize, and the state of the
//! terminal after the console ends.

use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use rustix::fs::{Mode, OFlags};
use rustix::pty::{OpenptFlags, grantpt, openpt, ptsname, unlockpt};
use rustix::termios::{Winsize, tcsetwinsize};

const TIMEOUT: Duration = Duration::from_secs(10);

/// `swiftlbctl` running in a pseudo-terminal, and an emulation of the screen.
struct Terminal {
    child: Child,
    master: File,
    output: Receiver<Vec<u8>>,
    screen: vt100::Parser,
}

fn window_size(columns: u16, rows: u16) -> Winsize {
    Winsize { ws_row: rows, ws_col: columns, ws_xpixel: 0, ws_ypixel: 0 }
}

impl Terminal {
    fn start(args: &[&str]) -> Self {
        let pty = openpt(OpenptFlags::RDWR | OpenptFlags::NOCTTY).expect("a pseudo-terminal");
        grantpt(&pty).expect("access granted");
        unlockpt(&pty).expect("unlocked");
        let name = ptsname(&pty, Vec::new()).expect("a name of the slave side");
        tcsetwinsize(&pty, window_size(80, 24)).expect("size set");
        let open_slave = || {
            rustix::fs::open(&name, OFlags::RDWR | OFlags::NOCTTY, Mode::empty())
                .expect("the slave side opens")
        };
        let stdio = |slave: OwnedFd| Stdio::from(slave);
        let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlbctl"));
        command
            .args(args)
            .env("TERM", "xterm-256color")
            .stdin(stdio(open_slave()))
            .stdout(stdio(open_slave()))
            .stderr(stdio(open_slave()));
        let child = command.spawn().expect("swiftlbctl starts");
        let master = File::from(pty);
        let mut reader = master.try_clone().expect("a descriptor");
        let (sender, output) = channel();
        std::thread::spawn(move || {
            let mut buffer = [0; 4_096];
            // The read fails with EIO once the slave side is closed everywhere.
            while let Ok(length @ 1..) = reader.read(&mut buffer) {
                if sender.send(buffer[..length].to_vec()).is_err() {
                    return;
                }
            }
        });
        Self { child, master, output, screen: vt100::Parser::new(24, 80, 0) }
    }

    /// Waits until this text is on the screen; returns the whole screen.
    fn wait_for(&mut self, text: &str) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let contents = self.screen.screen().contents();
            if contents.contains(text) {
                return contents;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(bytes) = self.output.recv_timeout(remaining) else {
                panic!("'{text}' is not on the screen:\n{contents}")
            };
            self.screen.process(&bytes);
        }
    }

    fn press(&mut self, keys: &str) {
        self.master.write_all(keys.as_bytes()).expect("the terminal accepts keys");
    }

    fn resize(&mut self, columns: u16, rows: u16) {
        tcsetwinsize(&self.master, window_size(columns, rows)).expect("size set");
        self.screen.screen_mut().set_size(rows, columns);
        // The pseudo-terminal is not the controlling terminal of the process, so the kernel sends no SIGWINCH by itself.
        let process_id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-WINCH", &process_id]).status().expect("kill runs").success());
    }
}

impl Drop for Terminal {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts an HTTP server that replies to every request with the same state of one softswitch and this many exchanges;
/// returns its address.
fn start_operator_server(nodes: u32) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let exchanges: Vec<String> = (0..nodes)
        .map(|n| {
            let connection = ["up", "down"][usize::from(n == 2)];
            format!(
                r#"{{"exchange":{n},"name":"s-{n}","listing":"ready","way":"{connection}","free":{n},"total":9,"heard_ms":5,
                "expected_ms":{},"out":0,"standing":0,"avoided":false}}"#,
                40 + n
            )
        })
        .collect();
    let body = format!(
        r#"{{"softswitch":"n0","home":null,"at_us":5,"up_ms":7,"draining":false,"waiting":1,"standing":2,"answered":3,
        "refused":4,"failed":5,"refusals":{{"shed":4}},"exchanges":[{}]}}"#,
        exchanges.join(",")
    );
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let _ = stream.read(&mut [0; 512]);
            let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let _ = stream.write_all(reply.as_bytes());
        }
    });
    address
}

#[test]
fn the_console_handles_keys_and_resizes_and_restores_the_terminal() {
    // Outside the range from which the system assigns ports: nothing else can get it.
    let (address, silent_address) = (start_operator_server(5), "127.0.0.1:9");
    let mut terminal = Terminal::start(&["console", &address, silent_address]);
    let screen = terminal.wait_for("shed 100%");
    assert!(screen.starts_with("swiftlb  1 softswitches live, 1 silent"), "{screen}");
    let screen = terminal.wait_for("DOWN");
    assert!(screen.contains("no word") && screen.lines().all(|line| line.chars().count() <= 80), "{screen}");
    terminal.press("s");
    terminal.wait_for("s: sort (trouble)");
    terminal.press("/down\r");
    terminal.wait_for("/: filter 'down'");
    let deadline = Instant::now() + TIMEOUT;
    while terminal.screen.screen().contents().contains("s-4") {
        assert!(Instant::now() < deadline, "the filter has no effect");
        terminal.wait_for("s-2");
        if let Ok(bytes) = terminal.output.recv_timeout(Duration::from_millis(100)) {
            terminal.screen.process(&bytes);
        }
    }
    terminal.press("\x1b");
    terminal.resize(120, 40);
    terminal.wait_for("s-4");
    let last_line = |terminal: &Terminal| terminal.screen.screen().contents_between(39, 0, 39, 119);
    let deadline = Instant::now() + TIMEOUT;
    while !last_line(&terminal).starts_with("q: end") {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let Ok(bytes) = terminal.output.recv_timeout(remaining) else {
            panic!("the last line is '{}'", last_line(&terminal))
        };
        terminal.screen.process(&bytes);
    }
    terminal.press("q");
    assert_eq!(terminal.child.wait().expect("swiftlbctl ends").code(), Some(0));
    while let Ok(bytes) = terminal.output.recv_timeout(Duration::from_millis(300)) {
        terminal.screen.process(&bytes);
    }
    assert!(
        !terminal.screen.screen().alternate_screen() && !terminal.screen.screen().hide_cursor(),
        "the screen and the cursor are not restored"
    );
}

#[test]
fn once_prints_one_screen_as_plain_text_without_a_terminal() {
    let address = start_operator_server(3);
    let output =
        Command::new(env!("CARGO_BIN_EXE_swiftlbctl")).args(["console", &address, "--once"]).output();
    let output = output.expect("swiftlbctl starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success() && text.contains("1 softswitches live, 0 silent") && text.contains("DOWN"),
        "{text}"
    );
    assert!(!text.contains('\x1b'), "escape sequences in: {text}");
}
