//! The program as it is started: its sub-commands, its files, and the order to stop.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpStream, UdpSocket};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use swiftlb::iax2::Iax2Config;

/// A program that does not outlive its test, which would keep whoever reads the test's output waiting.
struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn swiftlb(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
    command.args(words).env_remove("NODE_CONFIG").current_dir(env!("CARGO_MANIFEST_DIR"));
    command.output().expect("it starts")
}

fn said(output: &Output) -> (bool, String) {
    (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn the_sub_commands_do_what_the_readme_says() {
    assert_eq!(said(&swiftlb(&["version"])), (true, format!("swiftlb {}\n", env!("CARGO_PKG_VERSION"))));
    let toy = ["check-config", "examples/toy/config.json", "--iax2", "examples/toy/iax2.json"];
    assert_eq!(
        said(&swiftlb(&toy)),
        (true, "toy: 3 exchanges, 2 classes\nIAX2 on 127.0.0.1:4569\nrecords off\n".to_owned())
    );
    let (fine, text) = said(&swiftlb(&["check-config", "examples/toy/config.json"]));
    assert!(
        fine && text.ends_with("IAX2 off\nrecords off\n"),
        "the platform's own files leave all off: {text}"
    );
    let log = std::env::temp_dir().join(format!("swiftlb-cli-{}.log", std::process::id()));
    let line = "h - - [01/Jul/2026:10:00:01 +0000] \"GET /parts/3 HTTP/1.1\" 200 5\n";
    std::fs::write(&log, line).expect("a file");
    let path = log.to_str().expect("a path");
    assert!(said(&swiftlb(&["load", path])).1.starts_with("calls      1 (1 served, 0 not readable)\n"));
    let (fine, setups) = said(&swiftlb(&["load", "--setups", "--times", "--dest", "2", path]));
    assert!(
        fine && setups.starts_with("0.000\t{\"kind\":\"launch\"") && setups.contains("dest:2;"),
        "{setups}"
    );
    std::fs::remove_file(&log).expect("it was there");
}

#[test]
fn what_cannot_be_done_is_said_and_is_a_failure() {
    for words in [&["serve"][..], &["nonsense"], &["load"], &["check-config", "README.md"], &["--nonsense"]] {
        let output = swiftlb(words);
        assert!(!output.status.success() && output.stderr.starts_with(b"swiftlb: "), "{words:?}: {output:?}");
    }
    for wrong in
        ["{}", "[]", r#"{"enabled":1}"#, r#"{"enabled":true,"listen":"here","contexts":[],"nodes":[]}"#]
    {
        assert!(Iax2Config::parse(wrong).is_err(), "{wrong}");
    }
}

#[test]
fn a_started_program_reads_its_configuration_again_on_sighup_and_ends_well_on_sigterm() {
    let file = std::env::temp_dir().join(format!("swiftlb-serve-{}.json", std::process::id()));
    let resolvers = [0, 1].map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port"));
    let text = resolvers.each_ref().map(|resolver| {
        resolver.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
        let names = resolver.local_addr().expect("an address").to_string();
        engine_harness::config_json("127.0.0.1:0", &names, &["127.0.0.1:9".to_owned()])
    });
    std::fs::write(&file, &text[0]).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
    command.env("NODE_CONFIG", &file).stderr(Stdio::piped());
    let mut child = Ended(command.spawn().expect("it starts"));
    let mut log = BufReader::new(child.0.stderr.take().expect("its log")).lines();
    let line = log.next().expect("a line").expect("text");
    let address = line.split_once("serves name=\"n0\" address=").expect("its address").1.to_owned();
    let passes_a_test = || {
        let mut stream = TcpStream::connect(&address).expect("it listens");
        stream
            .write_all(b"{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n")
            .expect("sent");
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).expect("a line");
        assert_eq!(answer, "{\"kind\":\"checked\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":1}\n");
    };
    passes_a_test();
    let id = child.0.id().to_string();
    let signal =
        |name: &str| assert!(Command::new("kill").args([name, &id]).status().expect("it runs").success());
    // The first resolver is asked, and after the order the second; a file that makes no sense changes nothing.
    resolvers[0].recv(&mut [0; 512]).expect("a query");
    std::fs::write(&file, "{").expect("a file");
    signal("-HUP");
    let mut said = log.by_ref().map(|line| line.expect("text"));
    assert!(said.any(|line| line.contains("configuration refused")), "it says so");
    passes_a_test();
    std::fs::write(&file, &text[1]).expect("a file");
    signal("-HUP");
    resolvers[1].recv(&mut [0; 512]).expect("a query");
    passes_a_test();
    signal("-TERM");
    assert!(child.0.wait().expect("it ends").success());
    std::fs::remove_file(&file).expect("it was there");
}

#[test]
fn a_log_that_nobody_reads_holds_no_call_up() {
    let file = std::env::temp_dir().join(format!("swiftlb-log-{}.json", std::process::id()));
    std::fs::write(&file, engine_harness::config_json("127.0.0.1:0", "127.0.0.1:9", &[])).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
    command.args(["serve", "--log-format", "json"]).env("NODE_CONFIG", &file).stderr(Stdio::piped());
    let mut child = Ended(command.spawn().expect("it starts"));
    let mut log = BufReader::new(child.0.stderr.take().expect("its log"));
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    let json: tinyjson::JsonValue = line.parse().expect("JSON");
    let field = |key: &str| json["fields"][key].get::<String>().expect("text").clone();
    assert_eq!(
        (field("message"), json["level"].get::<String>().expect("text").as_str()),
        ("serves".into(), "INFO")
    );
    let address = field("address");
    let id = child.0.id().to_string();
    // Each refused order to read the configuration again is a line of the log: these fill the pipe, which nobody reads.
    std::fs::write(&file, "{").expect("a file");
    for _ in 0..2_000 {
        assert!(Command::new("kill").args(["-HUP", &id]).status().expect("it runs").success());
    }
    let mut stream = TcpStream::connect(&address).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
    stream
        .write_all(b"{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n")
        .expect("sent");
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).expect("a line");
    assert!(answer.contains("\"checked\""), "{answer}");
    assert!(Command::new("kill").args(["-KILL", &id]).status().expect("it runs").success());
    child.0.wait().expect("it ends");
    std::fs::remove_file(&file).expect("it was there");
}
