//! A toy world for one softswitch: two exchanges that answer every call and end it after two seconds, and a
//! caller. See the README beside this file.

use std::error::Error;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftlb::config::parse_json;
use swiftlb::engine::CallUid;
use swiftlb::net::jsonl::format_set_up;
use tinyjson::JsonValue;

/// Where the exchanges of `config.json` listen.
const EXCHANGES: [&str; 2] = ["127.0.0.1:5081", "127.0.0.1:5082"];
/// Where the softswitch of `config.json` listens.
const SWITCH: &str = "127.0.0.1:5070";
/// How long a toy call lasts.
const HOLD: Duration = Duration::from_secs(2);

fn main() -> Result<(), Box<dyn Error>> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["exchanges"] => exchanges(),
        ["call"] => call(1),
        ["call", dest] => call(dest.parse()?),
        _ => Err("say 'exchanges' or 'call [1|2]'".into()),
    }
}

fn exchanges() -> Result<(), Box<dyn Error>> {
    let mut threads = Vec::new();
    for address in EXCHANGES {
        let listener = TcpListener::bind(address)?;
        println!("exchange on {address}");
        threads.push(std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || {
                    if let Err(error) = serve(stream, address) {
                        println!("{address}: {error}");
                    }
                });
            }
        }));
    }
    for thread in threads {
        thread.join().map_err(|_| "an exchange has panicked")?;
    }
    Ok(())
}

/// One connection from the softswitch: tells of the group, answers set-ups and ends calls.
fn serve(stream: TcpStream, address: &str) -> Result<(), Box<dyn Error>> {
    let lines = BufReader::new(stream.try_clone()?);
    let stream = Arc::new(Mutex::new(stream));
    say(&stream, r#"{"kind":"usage","uid":"0000000000000000","meta":{"load":"spare:10;total:10"}}"#)?;
    for line in lines.lines() {
        let line = line?;
        println!("{address} hears {line}");
        let (kind, uid) = kind_and_id(&line)?;
        match kind.as_str() {
            "launch" => {
                say(&stream, &format!(r#"{{"kind":"running","uid":"{uid}","meta":{{}},"body":"toy\r\n"}}"#))?;
                let later = stream.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(HOLD);
                    let end = format!(r#"{{"kind":"stop","uid":"{uid}","meta":{{}},"reason":16}}"#);
                    // The softswitch may have gone in the meantime; then nobody is left to tell.
                    let _ = say(&later, &end);
                });
            }
            "check" => {
                say(&stream, &format!(r#"{{"kind":"checked","uid":"{uid}","meta":{{}},"reason":1}}"#))?;
            }
            _ => {}
        }
    }
    Ok(())
}

fn say(stream: &Mutex<TcpStream>, line: &str) -> Result<(), Box<dyn Error>> {
    let mut stream = stream.lock().map_err(|_| "a writer has panicked")?;
    Ok(stream.write_all(format!("{line}\n").as_bytes())?)
}

fn kind_and_id(line: &str) -> Result<(String, String), Box<dyn Error>> {
    let json = parse_json(line)?;
    let object = json.get::<std::collections::HashMap<String, JsonValue>>().ok_or("not an object")?;
    let text =
        |key: &str| object.get(key).and_then(|v| v.get::<String>()).cloned().ok_or("a field is missing");
    Ok((text("kind")?, text("uid")?))
}

/// One call through the softswitch, from set-up to release.
fn call(dest: u32) -> Result<(), Box<dyn Error>> {
    let mut stream = TcpStream::connect(SWITCH)?;
    let id = CallUid::from_u64(u64::from(std::process::id()) << 8 | u64::from(dest));
    let setup = format_set_up(id, "unit-status", Duration::from_secs(3), "7f3a9c21e0b4d655", dest);
    println!("caller says {setup}");
    stream.write_all(format!("{setup}\n").as_bytes())?;
    for line in BufReader::new(stream).lines() {
        let line = line?;
        println!("caller hears {line}");
        if kind_and_id(&line)?.0 == "stop" {
            return Ok(());
        }
    }
    Err("the softswitch closed the connection".into())
}
