//! swiftlb: a softswitch. See the README for its sub-commands.

use std::error::Error;
use std::process::ExitCode;

use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use swiftlb::config::Config;
use swiftlb::engine::Input;
use swiftlb::net::{Message, Server};

const USAGE: &str = "\
usage: swiftlb [serve] [--config FILE]   serve calls; the file is $NODE_CONFIG if none is given
       swiftlb check-config [FILE]       say whether a configuration can be served
       swiftlb version                   say which version this is";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("swiftlb: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let (mut command, mut file) = (None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("config") => file = Some(parser.value()?.string()?),
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            Value(word) if command.is_none() => command = Some(word.string()?),
            Value(word) if file.is_none() => file = Some(word.string()?),
            _ => return Err(format!("{}\n{USAGE}", arg.unexpected()).into()),
        }
    }
    match command.as_deref().unwrap_or("serve") {
        "serve" => serve(config(file)?),
        "check-config" => {
            let config = config(file)?;
            println!("{}: {} exchanges, {} classes", config.name, config.known.len(), config.classes.len());
            Ok(())
        }
        "version" => {
            println!("swiftlb {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        word => Err(format!("no such command: {word}\n{USAGE}").into()),
    }
}

fn config(file: Option<String>) -> Result<Config, Box<dyn Error>> {
    let path = match file {
        Some(path) => path,
        None => std::env::var("NODE_CONFIG").map_err(|_| "no --config and no NODE_CONFIG")?,
    };
    Ok(Config::load(&path)?)
}

fn serve(config: Config) -> Result<(), Box<dyn Error>> {
    let server = Server::bind(config)?;
    let to_loop = server.sender();
    let mut signals = Signals::new([SIGTERM])?;
    swiftlb::net::connection::small_thread("signals", move || {
        for _ in signals.forever() {
            if to_loop.send(Message::Input(Input::Drain)).is_err() {
                return;
            }
        }
    })?;
    server.run()?;
    Ok(())
}
