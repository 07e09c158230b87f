//! The command line of the program: sub-commands, configuration files and signals.

#[path = "common/engine_harness.rs"]
mod engine_harness;
#[path = "common/retry.rs"]
mod retry;

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpStream, UdpSocket};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use retry::retry_interrupted;
use swiftlb::iax2::Iax2Config;

/// Time within which a query of the program must arrive.
const QUERY_TIMEOUT: Duration = Duration::from_secs(8);

/// A started program that is killed at the end of the test. A program that outlives its test would hold the pipe of
/// the test's output open, and its reader would wait.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn swiftlb(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
    command.args(args).env_remove("NODE_CONFIG").current_dir(env!("CARGO_MANIFEST_DIR"));
    command.output().expect("start the program")
}

fn status_and_stdout(output: &Output) -> (bool, String) {
    (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn the_sub_commands_print_what_the_readme_documents() {
    assert_eq!(
        status_and_stdout(&swiftlb(&["version"])),
        (true, format!("swiftlb {}\n", env!("CARGO_PKG_VERSION")))
    );
    let toy = ["check-config", "examples/toy/config.json", "--iax2", "examples/toy/iax2.json"];
    assert_eq!(
        status_and_stdout(&swiftlb(&toy)),
        (true, "toy: 3 exchanges, 2 classes\nIAX2 on 127.0.0.1:4569\nrecords off\n".to_owned())
    );
    let (success, text) = status_and_stdout(&swiftlb(&["check-config", "examples/toy/config.json"]));
    assert!(
        success && text.ends_with("IAX2 off\nrecords off\n"),
        "the optional subsystems are off without their files: {text}"
    );
    let log = std::env::temp_dir().join(format!("swiftlb-cli-{}.log", std::process::id()));
    let line = "h - - [01/Jul/2026:10:00:01 +0000] \"GET /parts/3 HTTP/1.1\" 200 5\n";
    std::fs::write(&log, line).expect("write the file");
    let path = log.to_str().expect("UTF-8 path");
    assert!(
        status_and_stdout(&swiftlb(&["load", path]))
            .1
            .starts_with("calls      1 (1 served, 0 not readable)\n")
    );
    let (success, setups) =
        status_and_stdout(&swiftlb(&["load", "--setups", "--times", "--dest", "2", path]));
    assert!(
        success && setups.starts_with("0.000\t{\"kind\":\"launch\"") && setups.contains("dest:2;"),
        "{setups}"
    );
    std::fs::remove_file(&log).expect("remove the file");
}

#[test]
fn invalid_arguments_and_files_are_reported_with_a_failure_status() {
    for args in [&["serve"][..], &["nonsense"], &["load"], &["check-config", "README.md"], &["--nonsense"]] {
        let output = swiftlb(args);
        assert!(!output.status.success() && output.stderr.starts_with(b"swiftlb: "), "{args:?}: {output:?}");
    }
    for invalid in
        ["{}", "[]", r#"{"enabled":1}"#, r#"{"enabled":true,"listen":"here","contexts":[],"nodes":[]}"#]
    {
        assert!(Iax2Config::parse(invalid).is_err(), "{invalid}");
    }
}

#[test]
fn the_program_reloads_its_configuration_on_sighup_and_exits_with_success_on_sigterm() {
    let file = std::env::temp_dir().join(format!("swiftlb-serve-{}.json", std::process::id()));
    let resolvers = [0, 1].map(|_| UdpSocket::bind("127.0.0.1:0").expect("bind a loopback port"));
    let text = resolvers.each_ref().map(|resolver| {
        resolver.set_read_timeout(Some(QUERY_TIMEOUT)).expect("set the read time-out");
        let resolver_address = resolver.local_addr().expect("local address").to_string();
        engine_harness::config_json("127.0.0.1:0", &resolver_address, &["127.0.0.1:9".to_owned()])
    });
    std::fs::write(&file, &text[0]).expect("write the file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
    command.env("NODE_CONFIG", &file).stderr(Stdio::piped());
    let mut child = KillOnDrop(command.spawn().expect("start the program"));
    let mut log = BufReader::new(child.0.stderr.take().expect("piped standard error")).lines();
    let line = log.next().expect("next line").expect("UTF-8 text");
    let address =
        line.split_once("serves name=\"n0\" address=").expect("address in the log line").1.to_owned();
    let check_health = || {
        let mut stream = TcpStream::connect(&address).expect("connect");
        stream
            .write_all(b"{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n")
            .expect("send a message");
        let mut reply = String::new();
        BufReader::new(stream).read_line(&mut reply).expect("next line");
        assert_eq!(reply, "{\"kind\":\"checked\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":1}\n");
    };
    check_health();
    let id = child.0.id().to_string();
    let signal =
        |name: &str| assert!(Command::new("kill").args([name, &id]).status().expect("run kill").success());
    // The program queries the first resolver, and the second one after a reload; an invalid file changes nothing.
    let receive_query = |resolver: &UdpSocket| {
        retry_interrupted(QUERY_TIMEOUT, || resolver.recv(&mut [0; 512])).expect("receive a query");
    };
    receive_query(&resolvers[0]);
    std::fs::write(&file, "{").expect("write the file");
    signal("-HUP");
    let mut log_lines = log.by_ref().map(|line| line.expect("UTF-8 text"));
    assert!(
        log_lines.any(|line| line.contains("configuration refused")),
        "the refused configuration must be logged"
    );
    check_health();
    std::fs::write(&file, &text[1]).expect("write the file");
    signal("-HUP");
    receive_query(&resolvers[1]);
    check_health();
    signal("-TERM");
    assert!(child.0.wait().expect("wait for the process").success());
    std::fs::remove_file(&file).expect("remove the file");
}

#[test]
fn an_unread_log_does_not_block_calls() {
    let file = std::env::temp_dir().join(format!("swiftlb-log-{}.json", std::process::id()));
    std::fs::write(&file, engine_harness::config_json("127.0.0.1:0", "127.0.0.1:9", &[]))
        .expect("write the file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
    command.args(["serve", "--log-format", "json"]).env("NODE_CONFIG", &file).stderr(Stdio::piped());
    let mut child = KillOnDrop(command.spawn().expect("start the program"));
    let mut log = BufReader::new(child.0.stderr.take().expect("piped standard error"));
    let mut line = String::new();
    log.read_line(&mut line).expect("next line");
    let json: tinyjson::JsonValue = line.parse().expect("valid JSON");
    let field = |key: &str| json["fields"][key].get::<String>().expect("JSON string").clone();
    assert_eq!(
        (field("message"), json["level"].get::<String>().expect("JSON string").as_str()),
        ("serves".into(), "INFO")
    );
    let address = field("address");
    let id = child.0.id().to_string();
    // Each reload of an invalid configuration logs one line; these lines fill the pipe, which the test does not read.
    std::fs::write(&file, "{").expect("write the file");
    for _ in 0..2_000 {
        assert!(Command::new("kill").args(["-HUP", &id]).status().expect("run kill").success());
    }
    let mut stream = TcpStream::connect(&address).expect("connect");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("set the read time-out");
    stream
        .write_all(b"{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n")
        .expect("send a message");
    let mut reply = String::new();
    BufReader::new(stream).read_line(&mut reply).expect("next line");
    assert!(reply.contains("\"checked\""), "{reply}");
    assert!(Command::new("kill").args(["-KILL", &id]).status().expect("run kill").success());
    child.0.wait().expect("wait for the process");
    std::fs::remove_file(&file).expect("remove the file");
}
