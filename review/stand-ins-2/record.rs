//! The record of a run: what was sent, answered and run, with the time of the Unix clock since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

#[derive(Clone)]
pub struct Record {
    start: SystemTime,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: SystemTime::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        SystemTime::now().duration_since(self.start).unwrap_or_default().as_secs_f64()
    }

    /// Writes a line: the time, who did it, and what.
    pub fn note(&self, who: &str, what: &str) {
        let line = format!("{:9.3} {who}: {what}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line and prints it as well.
    pub fn say(&self, text: &str) {
        self.note("test", text);
        println!("{text}");
    }
}
