//! `swiftlbctl console`: the fleet in a terminal, live or played back.

use std::net::{SocketAddr, ToSocketAddrs};
use std::path::PathBuf;
use std::time::Duration;

use swiftlb_console::{Model, Replay, fetch, run as watch, run_replay, view};
use swiftlb_record::Archive;

use crate::Failure;

const USAGE: &str = "\
usage: swiftlbctl console ADDRESS ... [--once]
       swiftlbctl console --replay DIR ... [--at SECONDS] [--once]

Shows every softswitch and node: state, expected set-up time, free circuits, attempts out, why calls are refused. The
addresses are those of operators' doors with \"fleet\" turned on in edge.json. A softswitch that does not answer is shown
as silent, with the age of its last figures.

  --replay DIR    plays records back: space pauses, + and - change the speed, left and right go 10 s
  --at SECONDS    begins so long after the first record (0)
  --once          prints one screen as text and ends

keys: q ends, s sorts the nodes, / filters them, up and down scroll

example: swiftlbctl console 10.1.0.4:9901 10.1.0.5:9901";

/// How long a softswitch may take to answer with `--once`.
const ANSWER: Duration = Duration::from_secs(2);
/// The screen that is printed where nobody says how large it is.
const SCREEN: (u16, u16) = (80, 24);

pub fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    use lexopt::prelude::*;
    let (mut addresses, mut folders, mut once, mut at) = (Vec::new(), Vec::new(), false, 0.0);
    let mut replay = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("replay") => {
                replay = true;
                folders.push(PathBuf::from(parser.value()?));
            }
            Long("at") => at = parser.value()?.parse::<f64>()?,
            Long("once") => once = true,
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            Value(word) if replay => folders.push(PathBuf::from(word)),
            Value(word) => addresses.push(address(&word.string()?)?),
            _ => return Err(Failure::User(format!("{}\n{USAGE}", arg.unexpected()))),
        }
    }
    if !(0.0..1e9).contains(&at) {
        return Err(Failure::User("--at: expected seconds after the first record".to_owned()));
    }
    match (replay, addresses.is_empty()) {
        (true, true) => play(&folders, Duration::from_secs_f64(at), once),
        (false, false) if once => {
            print!("{}", look(&addresses));
            Ok(())
        }
        (false, false) => Ok(watch(&addresses)?),
        (true, false) => {
            Err(Failure::User("--replay: expected folders of records, not addresses as well".to_owned()))
        }
        (false, true) => Err(Failure::User(format!("no address to watch\n{USAGE}"))),
    }
}

fn address(word: &str) -> Result<SocketAddr, Failure> {
    let found = word.to_socket_addrs().ok().and_then(|mut all| all.next());
    found.ok_or_else(|| Failure::User(format!("'{word}': expected ADDRESS:PORT of an operators' door")))
}

/// One screen of what all softswitches say now; they are asked at the same time.
fn look(addresses: &[SocketAddr]) -> String {
    let asked: Vec<_> = addresses
        .iter()
        .map(|address| {
            let address = *address;
            std::thread::spawn(move || fetch(address, ANSWER))
        })
        .collect();
    let mut model = Model::new(addresses.iter().map(ToString::to_string));
    for (place, answer) in asked.into_iter().enumerate() {
        let answer = answer.join().unwrap_or_else(|_| Err("no answer".to_owned()));
        model.take(place, Duration::ZERO, answer);
    }
    view::text(&model, SCREEN.0, screen_height(model.softswitches().len() + model.nodes().len()))
}

/// As many lines as there is to say, and a screen at least.
fn screen_height(rows: usize) -> u16 {
    u16::try_from(2 * rows + 6).unwrap_or(u16::MAX).clamp(SCREEN.1, 2_000)
}

fn play(folders: &[PathBuf], at: Duration, once: bool) -> Result<(), Failure> {
    let archive = Archive::open(folders);
    for trouble in &archive.file_errors {
        eprintln!("swiftlbctl: {trouble}");
    }
    if archive.runs.is_empty() {
        return Err(Failure::User("--replay: no record files that can be used".to_owned()));
    }
    let mut replay = Replay::new(archive);
    replay.seek(at);
    if !once {
        return Ok(run_replay(replay)?);
    }
    let (_, now) = replay.at();
    let model = replay.model();
    model.title = format!("recorded +{:.1}s", now.as_secs_f64());
    print!(
        "{}",
        view::text(model, SCREEN.0, screen_height(model.softswitches().len() + model.nodes().len()))
    );
    Ok(())
}
