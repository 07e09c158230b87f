//! swiftlb: a softswitch. See the README for its sub-commands.

use std::error::Error;
use std::io::Write;
use std::net::TcpListener;
use std::process::ExitCode;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use swiftlb::config::Config;
use swiftlb::edge::EdgeSettings;
use swiftlb::engine::Input;
use swiftlb::iax2::Iax2Config;
use swiftlb::load::{RecordedLoad, SetUpOptions};
use swiftlb::log::{self, Log, LogFormat};
use swiftlb::net::handover::listener_from_fd;
use swiftlb::net::{LoopMessage, Server};
use tracing_subscriber::filter::LevelFilter;

const USAGE: &str = "\
usage: swiftlb [serve] [--config FILE] [--iax2 FILE] [--edge FILE]
                       [--log LEVEL] [--log-format text|json]
           serve calls; the files are $NODE_CONFIG, deploy/iax2.json and deploy/edge.json if none is given;
           the log goes to standard error from this level on: off, error, warn, info, debug or trace
           example: swiftlb serve --config examples/toy/config.json --log warn --log-format json
       swiftlb check-config [FILE] [--iax2 FILE] [--edge FILE]
           say whether the configuration can be served
       swiftlb load [--setups] [--times] [--class NAME] [--left MS] [--dest N | --exchanges N] FILE ...
           read HAR files and access logs; sum them up, or print their calls as set-ups (JSON lines)
       swiftlb version
           say which version this is";

/// Where the IAX2 front's own file is, from the folder in which the platform starts the program.
const IAX2_FILE: &str = "deploy/iax2.json";
/// The same for the settings of everything beyond the platform's configuration.
const EDGE_FILE: &str = "deploy/edge.json";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("swiftlb: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    if std::env::args_os().nth(1).is_some_and(|word| word == "load") {
        return load(parser);
    }
    let (mut command, mut file, mut iax2_file, mut edge_file) = (None, None, None, None);
    let (mut format, mut least) = (LogFormat::default(), LevelFilter::INFO);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("config") => file = Some(parser.value()?.string()?),
            Long("iax2") => iax2_file = Some(parser.value()?.string()?),
            Long("edge") => edge_file = Some(parser.value()?.string()?),
            Long("log-format") => format = in_option("--log-format", parser.value()?.string()?.parse())?,
            Long("log") => least = in_option("--log", log::parse_level(&parser.value()?.string()?))?,
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            Value(word) if command.is_none() => command = Some(word.string()?),
            Value(word) if file.is_none() => file = Some(word.string()?),
            _ => return Err(format!("{}\n{USAGE}", arg.unexpected()).into()),
        }
    }
    let edge = || match &edge_file {
        Some(file) => EdgeSettings::load(file, true),
        None => EdgeSettings::load(EDGE_FILE, false),
    };
    match command.as_deref().unwrap_or("serve") {
        "serve" => {
            let _log = Log::open(format, least);
            serve(&config_path(file)?, iax2(iax2_file)?, edge()?)
        }
        "check-config" => {
            let config = Config::load(&config_path(file)?)?;
            println!(
                "{}: {} exchanges, {} classes",
                config.name,
                config.exchanges.len(),
                config.classes.len()
            );
            match iax2(iax2_file)? {
                Some(iax2) => println!("IAX2 on {}", iax2.listen),
                None => println!("IAX2 off"),
            }
            match edge()?.records {
                Some(set) => {
                    println!("records in {}, {} MB at most", set.directory.display(), set.budget_bytes >> 20);
                }
                None => println!("records off"),
            }
            Ok(())
        }
        "version" => {
            println!("swiftlb {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        word => Err(format!("no such command: {word}\n{USAGE}").into()),
    }
}

/// An error that says which option it is about.
fn in_option<T, E: std::fmt::Display>(option: &str, value: Result<T, E>) -> Result<T, String> {
    value.map_err(|error| format!("{option}: {error}"))
}

/// Reads sources of load and prints them; sends nothing.
fn load(mut parser: lexopt::Parser) -> Result<(), Box<dyn Error>> {
    use lexopt::prelude::*;
    let (mut files, mut setups, mut times) = (Vec::new(), false, false);
    let mut plan = SetUpOptions {
        class: "unit-status".to_owned(),
        remaining: Duration::from_secs(9),
        dest: None,
        exchanges: 1,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("setups") => setups = true,
            Long("times") => times = true,
            Long("class") => plan.class = parser.value()?.string()?,
            Long("left") => plan.remaining = Duration::from_millis(parser.value()?.parse()?),
            Long("dest") => plan.dest = Some(parser.value()?.parse()?),
            Long("exchanges") => plan.exchanges = parser.value()?.parse()?,
            Value(word) => files.push(word.string()?),
            _ => return Err(format!("{}\n{USAGE}", arg.unexpected()).into()),
        }
    }
    // The first word is the command itself.
    let mut all = RecordedLoad::default();
    for file in files.get(1..).filter(|files| !files.is_empty()).ok_or("no file to read")? {
        let text = std::fs::read(file).map_err(|error| format!("{file}: {error}"))?;
        let load = RecordedLoad::parse(&String::from_utf8_lossy(&text))
            .map_err(|error| format!("{file}: {error}"))?;
        all.merge(load);
    }
    let mut out = std::io::stdout().lock();
    if !setups {
        write!(out, "{}", all.summary())?;
        return Ok(());
    }
    for (at, line) in all.setups(&plan) {
        if times {
            write!(out, "{:.3}\t", at.as_secs_f64())?;
        }
        writeln!(out, "{line}")?;
    }
    Ok(())
}

fn config_path(file: Option<String>) -> Result<String, Box<dyn Error>> {
    match file {
        Some(path) => Ok(path),
        None => Ok(std::env::var("NODE_CONFIG").map_err(|_| "no --config and no NODE_CONFIG")?),
    }
}

/// The IAX2 front's configuration. A file that is named must be there; the usual one may be missing, and the
/// front is then off.
fn iax2(file: Option<String>) -> Result<Option<Iax2Config>, Box<dyn Error>> {
    let text = match file {
        Some(path) => std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?,
        None if std::path::Path::new(IAX2_FILE).exists() => std::fs::read_to_string(IAX2_FILE)?,
        None => return Ok(None),
    };
    Ok(Iax2Config::parse(&text)?)
}

/// The listening socket that the platform holds and names in $NODE_FD.
fn inherited_listener() -> Option<TcpListener> {
    let number = std::env::var("NODE_FD").ok().filter(|number| !number.is_empty())?;
    let adopted = number.parse().map_err(std::io::Error::other).and_then(listener_from_fd);
    // Without it the address may still be free.
    adopted.inspect_err(|error| tracing::warn!(number, %error, "inherited descriptor")).ok()
}

fn serve(path: &str, iax2: Option<Iax2Config>, edge: EdgeSettings) -> Result<(), Box<dyn Error>> {
    // First of all: until they are handled, either signal ends the process without a word.
    let mut signals = Signals::new([SIGTERM, SIGHUP])?;
    let mut config = Config::load(path)?;
    // The process's own word counts: the file may be one that several processes are started with.
    if let Some(address) = std::env::var("NODE_OPERATOR").ok().filter(|address| !address.is_empty()) {
        config.operator = Some(address.parse().map_err(|error| format!("NODE_OPERATOR: {error}"))?);
    }
    let server = match inherited_listener() {
        Some(listener) => Server::from_inherited(listener, &std::env::temp_dir(), config, iax2)?,
        None => Server::bind(config, iax2)?,
    }
    .with_edge(edge);
    let (loop_sender, path) = (server.loop_sender(), path.to_owned());
    swiftlb::net::connection::spawn_small_thread("signals", move || {
        for signal in signals.forever() {
            let input = match signal {
                SIGHUP => match Config::load(&path) {
                    Ok(config) => Input::Reload(Box::new(config)),
                    Err(error) => {
                        tracing::warn!(%error, "configuration refused, the old one stays");
                        continue;
                    }
                },
                _ => Input::Drain,
            };
            if loop_sender.send(LoopMessage::Input(input)).is_err() {
                return;
            }
        }
    })?;
    server.run()?;
    Ok(())
}
