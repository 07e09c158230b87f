//! The record files of directories, grouped by softswitch and run, and the errors of files that cannot be used.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::format::{FileHeader, FormatError};
use crate::read::FileReader;
use crate::retention::parse_file_name;

/// Error of a record file or directory that cannot be used. It does not affect the other files.
#[derive(Debug, Error)]
#[error("{}: {error}", path.display())]
pub struct FileError {
    /// Path of the file or directory.
    pub path: PathBuf,
    /// Why it cannot be used.
    pub error: io::Error,
}

impl FileError {
    /// The format error, if the file was readable but its format is wrong.
    pub fn format_error(&self) -> Option<&FormatError> {
        self.error.get_ref().and_then(|error| error.downcast_ref())
    }
}

/// The records of one process of a softswitch, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Name of the softswitch.
    pub softswitch: String,
    /// Number of its home exchange, if a file header gives it.
    pub home: Option<u32>,
    /// When the process started, in Unix microseconds by its own clock.
    pub started_us: u64,
    /// Its files, in order.
    pub files: Vec<PathBuf>,
}

/// A run while files are collected: the number of its home exchange, and its files with their numbers.
type RunFiles = (Option<u32>, Vec<(u32, PathBuf)>);

/// All runs in a set of files, sorted by softswitch and start.
#[derive(Debug, Default)]
pub struct Archive {
    /// The runs.
    pub runs: Vec<Run>,
    /// Errors of the files and directories that cannot be used.
    pub file_errors: Vec<FileError>,
}

impl Archive {
    /// Collects the record files among these files and directories, without subdirectories. Those that cannot be used
    /// are reported in `file_errors`.
    pub fn open(paths: &[PathBuf]) -> Self {
        let (mut files, mut file_errors) = (Vec::new(), Vec::new());
        for path in paths {
            let found = if path.is_dir() { list_record_files(path) } else { Ok(vec![path.clone()]) };
            match found {
                Ok(found) => files.extend(found),
                Err(error) => file_errors.push(FileError { path: path.clone(), error }),
            }
        }
        files.sort();
        files.dedup();
        let mut runs: BTreeMap<(String, u64), RunFiles> = BTreeMap::new();
        for path in files {
            match read_header(&path) {
                Ok(header) => {
                    let (home, files) = runs.entry((header.softswitch, header.run_started_us)).or_default();
                    *home = home.or(header.home);
                    files.push((header.file_number, path));
                }
                Err(error) => file_errors.push(FileError { path, error }),
            }
        }
        let runs = runs.into_iter().map(|((softswitch, started_us), (home, mut files))| {
            files.sort();
            Run { softswitch, home, started_us, files: files.into_iter().map(|(_, path)| path).collect() }
        });
        Self { runs: runs.collect(), file_errors }
    }

    /// Names of the softswitches, each once.
    pub fn softswitches(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.runs.iter().map(|run| run.softswitch.as_str()).collect();
        names.dedup();
        names
    }
}

fn list_record_files(directory: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(directory)? {
        let entry = entry?;
        if entry.file_name().to_str().and_then(parse_file_name).is_some() {
            files.push(entry.path());
        }
    }
    Ok(files)
}

/// Header of a file; if it is corrupt, the fields that the file name contains.
fn read_header(path: &Path) -> io::Result<FileHeader> {
    let reader = FileReader::open(BufReader::new(File::open(path)?))?;
    let from_name = || path.file_name()?.to_str().and_then(parse_file_name);
    let no_header = || {
        io::Error::new(
            io::ErrorKind::InvalidData,
            "its head is damaged and its name does not say whose it is",
        )
    };
    reader.header().cloned().or_else(from_name).ok_or_else(no_header)
}
