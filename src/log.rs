//! Structured logging to standard error, as lines of text or JSON.
//!
//! Logging never blocks: lines go into a bounded queue, which a thread writes out. If standard error is not read fast
//! enough, lines are dropped and counted, and calls are not delayed.

use std::io;
use std::str::FromStr;

use thiserror::Error;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

/// Maximum number of queued lines: some seconds of the heaviest logging, in less than 1 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Time, level, module and message with its fields.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The value of an option is not a log format or not a log level.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("'{value}': expected {expected}")]
pub struct UnknownValue {
    value: String,
    expected: &'static str,
}

impl FromStr for LogFormat {
    type Err = UnknownValue;

    fn from_str(value: &str) -> Result<Self, UnknownValue> {
        match value {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownValue { value: value.to_owned(), expected: "text or json" }),
        }
    }
}

/// Parses the minimum level that is logged.
///
/// # Errors
/// If the value is not one of the six levels.
pub fn parse_level(value: &str) -> Result<LevelFilter, UnknownValue> {
    let known = ["off", "error", "warn", "info", "debug", "trace"];
    let level = known.contains(&value).then(|| value.parse().ok()).flatten();
    let expected = "off, error, warn, info, debug or trace";
    level.ok_or_else(|| UnknownValue { value: value.to_owned(), expected })
}

/// The open log. When it is dropped, the queued lines are written, which takes one second at most.
pub struct Log {
    dropped: ErrorCounter,
    guard: Option<WorkerGuard>,
}

impl Log {
    /// Opens the log of this process on standard error. A second call has no effect but starts another thread.
    pub fn open(format: LogFormat, min_level: LevelFilter) -> Self {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
        let (writer, guard) = builder.thread_name("log").finish(io::stderr());
        let dropped = writer.error_counter();
        let lines = tracing_subscriber::fmt().with_max_level(min_level).with_writer(writer);
        // Fails only if a log is already open, which stays in use.
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
            tracing::warn!(dropped, "log lines were dropped: standard error was not read fast enough");
        }
        drop(self.guard.take());
    }
}
