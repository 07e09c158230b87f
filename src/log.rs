//! The log of the running softswitch: structured, as lines of text or of JSON, on standard error.
//!
//! Whoever logs never waits: lines go into a bounded queue, and a thread writes them. Where that thread cannot keep up,
//! because nobody reads standard error, lines are dropped and counted, and calls go on.

use std::io;
use std::str::FromStr;

use thiserror::Error;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

/// Lines that may wait to be written: some seconds of the worst that was seen, and less than 1 MB.
const WAITING: usize = 4_096;

/// How a line of the log looks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Time, level, part and message with its fields, for people.
    #[default]
    Text,
    /// One JSON object a line, for programs.
    Json,
}

/// A word that is no format or no level.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("'{word}': expected {expected}")]
pub struct UnknownValue {
    word: String,
    expected: &'static str,
}

impl FromStr for LogFormat {
    type Err = UnknownValue;

    fn from_str(word: &str) -> Result<Self, UnknownValue> {
        match word {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownValue { word: word.to_owned(), expected: "text or json" }),
        }
    }
}

/// Reads the least level that is logged.
///
/// # Errors
/// If it is not one of the six words.
pub fn parse_level(word: &str) -> Result<LevelFilter, UnknownValue> {
    let known = ["off", "error", "warn", "info", "debug", "trace"];
    let level = known.contains(&word).then(|| word.parse().ok()).flatten();
    let expected = "off, error, warn, info, debug or trace";
    level.ok_or_else(|| UnknownValue { word: word.to_owned(), expected })
}

/// The log while it is open. What still waits is written when this is dropped, for a second at most.
pub struct Log {
    dropped: ErrorCounter,
    guard: Option<WorkerGuard>,
}

impl Log {
    /// Opens the log of this process on standard error; a second call changes nothing but costs a thread.
    pub fn open(format: LogFormat, least: LevelFilter) -> Self {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING);
        let (writer, guard) = builder.thread_name("log").finish(io::stderr());
        let dropped = writer.error_counter();
        let lines = tracing_subscriber::fmt().with_max_level(least).with_writer(writer);
        // Fails only where there is a log already, which then stays.
        let _ = match format {
            LogFormat::Text => lines.with_ansi(false).try_init(),
            LogFormat::Json => lines.json().try_init(),
        };
        Self { dropped, guard: Some(guard) }
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            tracing::warn!(dropped, "lines of the log were dropped: nobody read them in time");
        }
        drop(self.guard.take());
    }
}
