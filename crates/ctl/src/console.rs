//! `swiftlbctl console`: shows all softswitches and nodes in a terminal, live or played back from records.

use std::net::{SocketAddr, ToSocketAddrs};
use std::path::PathBuf;
use std::time::Duration;

use swiftlb_console::{Model, Replay, fetch_snapshot, run_live, run_replay, view};
use swiftlb_record::Archive;

use crate::CommandError;

const USAGE: &str = "\
usage: swiftlbctl console ADDRESS ... [--once]
       swiftlbctl console --replay DIR ... [--at SECONDS] [--once]

Shows every softswitch and node: state, expected set-up time, free circuits, open attempts, why calls are refused. Each
ADDRESS is the HOST:PORT of a softswitch's HTTP interface for operators, with \"fleet\" turned on in its edge.json. A
softswitch that does not answer is shown as silent, with the age of its last data.

  --replay DIR    play records back; space pauses, + and - change the speed, left and right seek by 10 s
  --at SECONDS    start this long after the first record (default: 0)
  --once          print one screen as text and exit

keys: q quits, s changes the sort order of the nodes, / filters them, up and down scroll

example: swiftlbctl console 10.1.0.4:9901 10.1.0.5:9901";

/// Timeout of the fetch with `--once`, for the connect and for each read and write.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Width and minimum height of the screen that `--once` prints, in columns and lines.
const SCREEN_SIZE: (u16, u16) = (80, 24);
/// Maximum height of that screen, in lines.
const MAX_SCREEN_HEIGHT: u16 = 2_000;

pub fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    use lexopt::prelude::*;
    let (mut addresses, mut directories, mut once, mut at) = (Vec::new(), Vec::new(), false, 0.0);
    let mut replay = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("replay") => {
                replay = true;
                directories.push(PathBuf::from(parser.value()?));
            }
            Long("at") => at = parser.value()?.parse::<f64>()?,
            Long("once") => once = true,
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            Value(value) if replay => directories.push(PathBuf::from(value)),
            Value(value) => addresses.push(parse_address(&value.string()?)?),
            _ => return Err(CommandError::InvalidInput(format!("{}\n{USAGE}", arg.unexpected()))),
        }
    }
    if !(0.0..1e9).contains(&at) {
        return Err(CommandError::InvalidInput("--at: expected seconds after the first record".to_owned()));
    }
    match (replay, addresses.is_empty()) {
        (true, true) => play_back(&directories, Duration::from_secs_f64(at), once),
        (false, false) if once => {
            print!("{}", render_snapshot(&addresses));
            Ok(())
        }
        (false, false) => Ok(run_live(&addresses)?),
        (true, false) => Err(CommandError::InvalidInput(
            "--replay: expected directories of records without addresses".to_owned(),
        )),
        (false, true) => Err(CommandError::InvalidInput(format!("no address given\n{USAGE}"))),
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, CommandError> {
    let address = text.to_socket_addrs().ok().and_then(|mut all| all.next());
    address.ok_or_else(|| {
        CommandError::InvalidInput(format!(
            "'{text}': expected HOST:PORT of a softswitch's HTTP interface for operators"
        ))
    })
}

/// Fetches a snapshot of each softswitch, all at the same time, and renders one screen.
fn render_snapshot(addresses: &[SocketAddr]) -> String {
    let fetches: Vec<_> = addresses
        .iter()
        .map(|address| {
            let address = *address;
            std::thread::spawn(move || fetch_snapshot(address, FETCH_TIMEOUT))
        })
        .collect();
    let mut model = Model::new(addresses.iter().map(ToString::to_string));
    for (source, fetch) in fetches.into_iter().enumerate() {
        let result = fetch.join().unwrap_or_else(|_| Err("no answer".to_owned()));
        model.update(source, Duration::ZERO, result);
    }
    view::render_text(&model, SCREEN_SIZE.0, screen_height(model.softswitches().len() + model.nodes().len()))
}

/// Height in lines at which both tables show all their rows, from that of [`SCREEN_SIZE`] to [`MAX_SCREEN_HEIGHT`].
fn screen_height(rows: usize) -> u16 {
    u16::try_from(2 * rows + 6).unwrap_or(u16::MAX).clamp(SCREEN_SIZE.1, MAX_SCREEN_HEIGHT)
}

fn play_back(directories: &[PathBuf], at: Duration, once: bool) -> Result<(), CommandError> {
    let archive = Archive::open(directories);
    for error in &archive.file_errors {
        eprintln!("swiftlbctl: {error}");
    }
    if archive.runs.is_empty() {
        return Err(CommandError::InvalidInput("--replay: no usable record files found".to_owned()));
    }
    let mut replay = Replay::new(archive);
    replay.seek(at);
    if !once {
        return Ok(run_replay(replay)?);
    }
    let (_, position) = replay.position();
    let model = replay.model();
    model.playback_status = format!("recorded +{:.1}s", position.as_secs_f64());
    print!(
        "{}",
        view::render_text(
            model,
            SCREEN_SIZE.0,
            screen_height(model.softswitches().len() + model.nodes().len())
        )
    );
    Ok(())
}
