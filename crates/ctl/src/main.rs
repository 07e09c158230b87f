//! Command-line tool for operators, with one subcommand per task. See `swiftlbctl --help`.

mod console;
mod demo;
mod progress;
mod report;

use std::io::IsTerminal;
use std::process::ExitCode;

use thiserror::Error;

const USAGE: &str = "\
usage: swiftlbctl COMMAND [OPTION ...]

  console   show all softswitches and nodes in a terminal, live or from records
  demo      run a mesh with an incident on loopback, record it and write a report of it
  report    write a report of the incidents found in records, as an HTML page

swiftlbctl COMMAND --help describes the options of a command, with an example.";

/// Why a command failed. The variant determines the exit code.
#[derive(Debug, Error)]
enum CommandError {
    /// Invalid arguments, or a file that is missing or invalid: exit code 2.
    #[error("{0}")]
    InvalidInput(String),
    /// I/O error that is not due to the arguments or to a file that the user named: exit code 1.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Interrupted by a signal: exit code 130.
    #[error("interrupted")]
    Interrupted,
}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        Self::InvalidInput(error.to_string())
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("swiftlbctl: {error}");
            ExitCode::from(match error {
                CommandError::InvalidInput(_) => 2,
                CommandError::Io(_) => 1,
                CommandError::Interrupted => 130,
            })
        }
    }
}

fn run() -> Result<(), CommandError> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(Long("help") | Short('h')) | None => println!("{USAGE}"),
        Some(Long("version") | Short('V')) => println!("swiftlbctl {}", env!("CARGO_PKG_VERSION")),
        Some(Value(command)) => match command.to_str() {
            Some("console") => console::run(parser)?,
            Some("demo") => demo::run(parser)?,
            Some("report") => report::run(parser)?,
            _ => {
                return Err(CommandError::InvalidInput(format!(
                    "unknown command: {}\n{USAGE}",
                    command.to_string_lossy()
                )));
            }
        },
        Some(other) => return Err(CommandError::InvalidInput(format!("{}\n{USAGE}", other.unexpected()))),
    }
    Ok(())
}

/// Whether standard error is a terminal.
fn stderr_is_terminal() -> bool {
    std::io::stderr().is_terminal()
}
