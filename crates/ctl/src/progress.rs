//! Progress of a long task, shown on standard error.

use std::io::Write;
use std::time::{Duration, Instant};

/// Interval between two progress lines if standard error is not a terminal.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Progress display of one task: in a terminal one line that is overwritten, otherwise at most one new line per
/// [`LINE_INTERVAL`].
pub struct Progress {
    overwrite: bool,
    last_line: Option<Instant>,
}

impl Progress {
    pub fn new() -> Self {
        Self { overwrite: crate::stderr_is_terminal(), last_line: None }
    }

    /// Shows this line. If standard error is not a terminal, the line is dropped if the last one is too recent.
    pub fn show(&mut self, line: &str) {
        if self.overwrite {
            eprint!("\r\x1b[K{line}");
            let _ = std::io::stderr().flush();
        } else if self.last_line.is_none_or(|last_line| last_line.elapsed() >= LINE_INTERVAL) {
            self.last_line = Some(Instant::now());
            eprintln!("{line}");
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if self.overwrite {
            eprint!("\r\x1b[K");
        }
    }
}
