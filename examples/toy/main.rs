//! Simulated environment of one softswitch: two exchanges, which answer every call and end it after two seconds,
//! and a caller. See the README in this directory.

use std::error::Error;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftlb::config::parse_json;
use swiftlb::engine::CallUid;
use swiftlb::net::jsonl::format_set_up;
use tinyjson::JsonValue;

/// Addresses of the exchanges in `config.json`.
const EXCHANGE_ADDRESSES: [&str; 2] = ["127.0.0.1:5081", "127.0.0.1:5082"];
/// Address that the softswitch listens on, from `config.json`.
const SOFTSWITCH_ADDRESS: &str = "127.0.0.1:5070";
/// Duration of an established call.
const CALL_DURATION: Duration = Duration::from_secs(2);

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["exchanges"] => run_exchanges(),
        ["call"] => place_call(1),
        ["call", dest] => place_call(dest.parse()?),
        _ => Err("usage: 'exchanges' or 'call [1|2]'".into()),
    }
}

fn run_exchanges() -> Result<(), Box<dyn Error>> {
    let mut threads = Vec::new();
    for address in EXCHANGE_ADDRESSES {
        let listener = TcpListener::bind(address)?;
        println!("exchange on {address}");
        threads.push(std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || {
                    if let Err(error) = serve_connection(stream, address) {
                        println!("{address}: {error}");
                    }
                });
            }
        }));
    }
    for thread in threads {
        thread.join().map_err(|_| "the thread of an exchange panicked")?;
    }
    Ok(())
}

/// Serves a connection from the softswitch: reports free circuits, answers set-ups and probes, and ends calls.
fn serve_connection(stream: TcpStream, address: &str) -> Result<(), Box<dyn Error>> {
    let lines = BufReader::new(stream.try_clone()?);
    let stream = Arc::new(Mutex::new(stream));
    send_line(&stream, r#"{"kind":"usage","uid":"0000000000000000","meta":{"load":"spare:10;total:10"}}"#)?;
    for line in lines.lines() {
        let line = line?;
        println!("{address} received {line}");
        let (kind, uid) = kind_and_uid(&line)?;
        match kind.as_str() {
            "launch" => {
                send_line(
                    &stream,
                    &format!(r#"{{"kind":"running","uid":"{uid}","meta":{{}},"body":"toy\r\n"}}"#),
                )?;
                let call_stream = stream.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(CALL_DURATION);
                    let stop = format!(r#"{{"kind":"stop","uid":"{uid}","meta":{{}},"reason":16}}"#);
                    // The softswitch may have closed the connection in the meantime; the error is ignored then.
                    let _ = send_line(&call_stream, &stop);
                });
            }
            "check" => {
                send_line(&stream, &format!(r#"{{"kind":"checked","uid":"{uid}","meta":{{}},"reason":1}}"#))?;
            }
            _ => {}
        }
    }
    Ok(())
}

fn send_line(stream: &Mutex<TcpStream>, line: &str) -> Result<(), Box<dyn Error>> {
    let mut stream = stream.lock().map_err(|_| "another thread panicked while writing")?;
    Ok(stream.write_all(format!("{line}\n").as_bytes())?)
}

fn kind_and_uid(line: &str) -> Result<(String, String), Box<dyn Error>> {
    let json = parse_json(line)?;
    let object =
        json.get::<std::collections::HashMap<String, JsonValue>>().ok_or("the line is not a JSON object")?;
    let text =
        |key: &str| object.get(key).and_then(|v| v.get::<String>()).cloned().ok_or("kind or uid is missing");
    Ok((text("kind")?, text("uid")?))
}

/// Places a call through the softswitch and waits for its release.
fn place_call(dest: u32) -> Result<(), Box<dyn Error>> {
    let mut stream = TcpStream::connect(SOFTSWITCH_ADDRESS)?;
    let uid = CallUid::from_u64(u64::from(std::process::id()) << 8 | u64::from(dest));
    let setup = format_set_up(uid, "unit-status", Duration::from_secs(3), "7f3a9c21e0b4d655", dest);
    println!("caller sends {setup}");
    stream.write_all(format!("{setup}\n").as_bytes())?;
    for line in BufReader::new(stream).lines() {
        let line = line?;
        println!("caller received {line}");
        if kind_and_uid(&line)?.0 == "stop" {
            return Ok(());
        }
    }
    Err("the softswitch closed the connection".into())
}
