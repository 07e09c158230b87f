//! Rotation and retention of record files: when a file is closed, by size and age, and which files are removed to keep
//! the directory within its size budget. Performs no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::format::FileHeader;

const EXTENSION: &str = ".swr";

/// Name of a record file: softswitch, start of the run in microseconds, number of the file. Bytes of the softswitch's name
/// that a file system might reject are percent-encoded, so different names stay different. The names of one softswitch
/// sort by run and number.
pub fn file_name(header: &FileHeader) -> String {
    let mut name = String::new();
    for byte in header.softswitch.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.".contains(&byte) {
            name.push(char::from(byte));
        } else {
            name.push_str(&format!("%{byte:02x}"));
        }
    }
    format!("{name}-{:016}-{:06}{EXTENSION}", header.run_started_us, header.file_number)
}

/// Inverse of [`file_name`]: the header fields that the name contains; `None` if it is not the name of a record file.
pub fn parse_file_name(name: &str) -> Option<FileHeader> {
    let (rest, file) = name.strip_suffix(EXTENSION)?.rsplit_once('-')?;
    let (softswitch, run) = rest.rsplit_once('-')?;
    let is_digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !is_digits(file) || !is_digits(run) || softswitch.is_empty() {
        return None;
    }
    let (run_started_us, file_number) = (run.parse().ok()?, file.parse().ok()?);
    Some(FileHeader { softswitch: percent_decoded(softswitch)?, home: None, run_started_us, file_number })
}

/// The name that was percent-encoded; `None` if it cannot be decoded.
fn percent_decoded(name: &str) -> Option<String> {
    let mut parts = name.split('%');
    let mut decoded = parts.next()?.as_bytes().to_vec();
    for part in parts {
        decoded.push(u8::from_str_radix(part.get(..2)?, 16).ok()?);
        decoded.extend_from_slice(&part.as_bytes()[2..]);
    }
    String::from_utf8(decoded).ok()
}

/// Limits for record files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Size at which a file is closed, in bytes.
    pub max_file_bytes: u64,
    /// Age at which a file is closed.
    pub max_file_age: Duration,
    /// Limit of the total size of all record files in the directory, in bytes.
    pub budget_bytes: u64,
}

impl Retention {
    /// Whether a file of this size and age is to be closed and the next one opened.
    pub fn is_due(&self, written_bytes: u64, age: Duration) -> bool {
        self.is_full(written_bytes) || age >= self.max_file_age
    }

    /// Whether a file of this size is to be closed, regardless of its age.
    pub fn is_full(&self, written_bytes: u64) -> bool {
        written_bytes >= self.max_file_bytes
    }

    /// Names of the files to remove, given names and sizes of all files. Leaves room for the file that was just opened
    /// to grow to its full size.
    pub fn files_to_remove(&self, files: &[(String, u64)]) -> Vec<String> {
        files_to_remove(files, self.budget_bytes.saturating_sub(self.max_file_bytes))
    }
}

/// Names of the files to remove so that the others fit into the budget: the oldest ones, but never the latest of a
/// softswitch, which may still be open for writing. Files that are not record files do not count and stay.
pub fn files_to_remove(files: &[(String, u64)], budget_bytes: u64) -> Vec<String> {
    let mut record_files: Vec<(FileHeader, &str, u64)> = files
        .iter()
        .filter_map(|(name, size)| Some((parse_file_name(name)?, name.as_str(), *size)))
        .collect();
    record_files.sort_by(|(a, ..), (b, ..)| {
        (a.run_started_us, a.file_number, &a.softswitch).cmp(&(
            b.run_started_us,
            b.file_number,
            &b.softswitch,
        ))
    });
    let latest: BTreeMap<&str, &str> =
        record_files.iter().map(|(header, name, _)| (header.softswitch.as_str(), *name)).collect();
    let kept: BTreeSet<&str> = latest.into_values().collect();
    let mut total_bytes: u64 = record_files.iter().map(|(.., size)| size).sum();
    let mut to_remove = Vec::new();
    for (_, name, size) in &record_files {
        if total_bytes <= budget_bytes {
            break;
        }
        if !kept.contains(name) {
            total_bytes -= size;
            to_remove.push((*name).to_owned());
        }
    }
    to_remove
}
