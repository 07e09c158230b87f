//! When a file of records is closed, and which files go: by size, age and a budget for the whole folder. No I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::format::FileHeader;

/// The ending of record files.
const ENDING: &str = ".swr";

/// Name of a record file: softswitch, start of its run in microseconds, number of the file. What a file system might
/// not take in a softswitch's name becomes `_`; names sort by run and number.
pub fn file_name(head: &FileHeader) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '_' };
    let name: String = head.softswitch.chars().map(plain).collect();
    format!("{name}-{:016}-{:06}{ENDING}", head.run_started_us, head.file_number)
}

/// What [`file_name`] made a name of, as far as the name tells; `None` if it is none of ours.
pub fn parse_file_name(name: &str) -> Option<FileHeader> {
    let (rest, file) = name.strip_suffix(ENDING)?.rsplit_once('-')?;
    let (softswitch, run) = rest.rsplit_once('-')?;
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !digits(file) || !digits(run) || softswitch.is_empty() {
        return None;
    }
    let (run_started_us, file_number) = (run.parse().ok()?, file.parse().ok()?);
    Some(FileHeader { softswitch: softswitch.to_owned(), home: None, run_started_us, file_number })
}

/// How long records are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// A file is closed once it has so many bytes.
    pub max_file_bytes: u64,
    /// A file is closed once it is this old.
    pub max_file_age: Duration,
    /// All record files of the folder together may have so many bytes.
    pub budget_bytes: u64,
}

impl Retention {
    /// Whether a file with so many bytes and of this age is to be closed for the next.
    pub fn is_due(&self, written: u64, age: Duration) -> bool {
        self.is_full(written) || age >= self.max_file_age
    }

    /// Whether a file with so many bytes is to be closed, however old it is.
    pub fn is_full(&self, written: u64) -> bool {
        written >= self.max_file_bytes
    }

    /// Which files go, by name and size, when another file has begun, which may grow to its full size.
    pub fn files_to_remove(&self, files: &[(String, u64)]) -> Vec<String> {
        files_to_remove(files, self.budget_bytes.saturating_sub(self.max_file_bytes))
    }
}

/// Which files go so that all fit into the budget: the oldest, and never the last of a softswitch, which it may be
/// writing. Files that are not ours count for nothing and stay.
pub fn files_to_remove(files: &[(String, u64)], budget: u64) -> Vec<String> {
    let mut ours: Vec<(FileHeader, &str, u64)> = files
        .iter()
        .filter_map(|(name, size)| Some((parse_file_name(name)?, name.as_str(), *size)))
        .collect();
    ours.sort_by(|(a, ..), (b, ..)| {
        (a.run_started_us, a.file_number, &a.softswitch).cmp(&(
            b.run_started_us,
            b.file_number,
            &b.softswitch,
        ))
    });
    let last: BTreeMap<&str, &str> =
        ours.iter().map(|(head, name, _)| (head.softswitch.as_str(), *name)).collect();
    let kept: BTreeSet<&str> = last.into_values().collect();
    let mut total: u64 = ours.iter().map(|(.., size)| size).sum();
    let mut gone = Vec::new();
    for (_, name, size) in &ours {
        if total <= budget {
            break;
        }
        if !kept.contains(name) {
            total -= size;
            gone.push((*name).to_owned());
        }
    }
    gone
}
