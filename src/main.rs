//! swiftlb, a softswitch. The sub-commands are described in the README.

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
           serve calls; default files: $NODE_CONFIG, deploy/iax2.json and deploy/edge.json;
           log to standard error from this level on: off, error, warn, info, debug or trace;
           default: $NODE_LOG, otherwise info
           example: swiftlb serve --config examples/toy/config.json --log warn --log-format json
       swiftlb check-config [FILE] [--iax2 FILE] [--edge FILE]
           check whether the configuration is valid
       swiftlb load [--setups] [--times] [--class NAME] [--left MS] [--dest N | --exchanges N] FILE ...
           read HAR files and access logs; print a summary, or their calls as set-ups (JSON lines)
       swiftlb version
           print the version";

/// Configuration of the IAX2 front, relative to the directory in which the platform starts the program.
const IAX2_FILE: &str = "deploy/iax2.json";
/// Settings of the optional subsystems, relative to the same directory.
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
    if std::env::args_os().nth(1).is_some_and(|command| command == "load") {
        return load(parser);
    }
    let (mut command, mut file, mut iax2_file, mut edge_file) = (None, None, None, None);
    let (mut format, mut min_level) = (LogFormat::default(), None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("config") => file = Some(parser.value()?.string()?),
            Long("iax2") => iax2_file = Some(parser.value()?.string()?),
            Long("edge") => edge_file = Some(parser.value()?.string()?),
            Long("log-format") => {
                format = with_option_name("--log-format", parser.value()?.string()?.parse())?
            }
            Long("log") => {
                min_level = Some(with_option_name("--log", log::parse_level(&parser.value()?.string()?))?)
            }
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            Value(value) if command.is_none() => command = Some(value.string()?),
            Value(value) if file.is_none() => file = Some(value.string()?),
            _ => return Err(format!("{}\n{USAGE}", arg.unexpected()).into()),
        }
    }
    let load_edge = || match &edge_file {
        Some(file) => EdgeSettings::load(file, true),
        None => EdgeSettings::load(EDGE_FILE, false),
    };
    match command.as_deref().unwrap_or("serve") {
        "serve" => {
            let _log = Log::open(format, min_level.map_or_else(default_log_level, Ok)?);
            serve(&config_path(file)?, load_iax2(iax2_file)?, load_edge()?)
        }
        "check-config" => {
            let config = Config::load(&config_path(file)?)?;
            println!(
                "{}: {} exchanges, {} classes",
                config.name,
                config.exchanges.len(),
                config.classes.len()
            );
            match load_iax2(iax2_file)? {
                Some(iax2) => println!("IAX2 on {}", iax2.listen),
                None => println!("IAX2 off"),
            }
            match load_edge()?.records {
                Some(records) => {
                    println!(
                        "records in {}, {} MB at most",
                        records.directory.display(),
                        records.budget_bytes >> 20
                    );
                }
                None => println!("records off"),
            }
            Ok(())
        }
        "version" => {
            println!("swiftlb {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        command => Err(format!("unknown command: {command}\n{USAGE}").into()),
    }
}

/// The minimum level that is logged unless an option gives it: that in $NODE_LOG, otherwise info.
fn default_log_level() -> Result<LevelFilter, String> {
    match std::env::var("NODE_LOG").ok().filter(|level| !level.is_empty()) {
        Some(level) => with_option_name("NODE_LOG", log::parse_level(&level)),
        None => Ok(LevelFilter::INFO),
    }
}

/// Adds the name of the option to an error.
fn with_option_name<T, E: std::fmt::Display>(option: &str, value: Result<T, E>) -> Result<T, String> {
    value.map_err(|error| format!("{option}: {error}"))
}

/// Reads recorded load and prints a summary or its set-ups; sends nothing.
fn load(mut parser: lexopt::Parser) -> Result<(), Box<dyn Error>> {
    use lexopt::prelude::*;
    let (mut files, mut setups, mut times) = (Vec::new(), false, false);
    let mut options = SetUpOptions {
        class: "unit-status".to_owned(),
        remaining: Duration::from_secs(9),
        dest: None,
        exchanges: 1,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("setups") => setups = true,
            Long("times") => times = true,
            Long("class") => options.class = parser.value()?.string()?,
            Long("left") => options.remaining = Duration::from_millis(parser.value()?.parse()?),
            Long("dest") => options.dest = Some(parser.value()?.parse()?),
            Long("exchanges") => options.exchanges = parser.value()?.parse()?,
            Value(value) => files.push(value.string()?),
            _ => return Err(format!("{}\n{USAGE}", arg.unexpected()).into()),
        }
    }
    // The first argument is the command itself.
    let mut total = RecordedLoad::default();
    for file in files.get(1..).filter(|files| !files.is_empty()).ok_or("load: expected at least one file")? {
        let text = std::fs::read(file).map_err(|error| format!("{file}: {error}"))?;
        let load = RecordedLoad::parse(&String::from_utf8_lossy(&text))
            .map_err(|error| format!("{file}: {error}"))?;
        total.merge(load);
    }
    let mut out = std::io::stdout().lock();
    if !setups {
        write!(out, "{}", total.summary())?;
        return Ok(());
    }
    for (at, line) in total.setups(&options) {
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
        None => Ok(std::env::var("NODE_CONFIG")
            .map_err(|_| "expected --config FILE or the environment variable NODE_CONFIG")?),
    }
}

/// Configuration of the IAX2 front. A file given as an option must exist; if the default file does not exist, the
/// front is off.
fn load_iax2(file: Option<String>) -> Result<Option<Iax2Config>, Box<dyn Error>> {
    let text = match file {
        Some(path) => std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?,
        None if std::path::Path::new(IAX2_FILE).exists() => std::fs::read_to_string(IAX2_FILE)?,
        None => return Ok(None),
    };
    Ok(Iax2Config::parse(&text)?)
}

/// The listening socket inherited from the platform, whose descriptor number is in $NODE_FD.
fn inherited_listener() -> Option<TcpListener> {
    let number = std::env::var("NODE_FD").ok().filter(|number| !number.is_empty())?;
    let listener = number.parse().map_err(std::io::Error::other).and_then(listener_from_fd);
    // Without the inherited socket, the address may still be free to bind.
    listener
        .inspect_err(|error| {
            tracing::warn!(number, %error, "inherited descriptor is not usable; binding the configured address")
        })
        .ok()
}

fn serve(path: &str, iax2: Option<Iax2Config>, edge: EdgeSettings) -> Result<(), Box<dyn Error>> {
    // Registered first: until then either signal kills the process without waiting for its calls.
    let mut signals = Signals::new([SIGTERM, SIGHUP])?;
    let mut config = Config::load(path)?;
    // The environment overrides the file, because several processes may be started with the same file.
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
                        tracing::warn!(%error, "configuration refused; the previous one stays in use");
                        continue;
                    }
                },
                _ => {
                    tracing::info!(signal, "signal received: request to stop");
                    Input::Stop
                }
            };
            if loop_sender.send(LoopMessage::Input(input)).is_err() {
                return;
            }
        }
    })?;
    server.run()?;
    Ok(())
}
