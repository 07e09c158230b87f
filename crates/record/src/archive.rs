//! The files of a folder: which softswitch and which of its runs each belongs to, and what is wrong with some.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::format::{FileHeader, FormatError};
use crate::read::FileReader;
use crate::retention::parse_file_name;

/// A file that cannot be used; the others can.
#[derive(Debug, Error)]
#[error("{}: {error}", path.display())]
pub struct FileError {
    /// The file.
    pub path: PathBuf,
    /// What is wrong.
    pub error: io::Error,
}

impl FileError {
    /// What is wrong with its form, if that is it.
    pub fn format_error(&self) -> Option<&FormatError> {
        self.error.get_ref().and_then(|error| error.downcast_ref())
    }
}

/// One process's life: its files in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Name of the softswitch.
    pub softswitch: String,
    /// Number of its own exchange, if a head says.
    pub home: Option<u32>,
    /// When its process started, in Unix microseconds by its own clock.
    pub started_us: u64,
    /// Its files.
    pub files: Vec<PathBuf>,
}

/// What was found of a run: the number of its exchange, its files by number.
type Found = (Option<u32>, Vec<(u32, PathBuf)>);

/// All runs that were found, by softswitch and start.
#[derive(Debug, Default)]
pub struct Archive {
    /// The runs.
    pub runs: Vec<Run>,
    /// Files that cannot be used.
    pub file_errors: Vec<FileError>,
}

impl Archive {
    /// Looks through these files and folders (not through folders within them). What cannot be used is told in
    /// `troubles`.
    pub fn open(paths: &[PathBuf]) -> Self {
        let (mut files, mut file_errors) = (Vec::new(), Vec::new());
        for path in paths {
            let found = if path.is_dir() { record_files(path) } else { Ok(vec![path.clone()]) };
            match found {
                Ok(found) => files.extend(found),
                Err(error) => file_errors.push(FileError { path: path.clone(), error }),
            }
        }
        files.sort();
        files.dedup();
        let mut runs: BTreeMap<(String, u64), Found> = BTreeMap::new();
        for path in files {
            match head_of(&path) {
                Ok(head) => {
                    let (home, files) = runs.entry((head.softswitch, head.run_started_us)).or_default();
                    *home = home.or(head.home);
                    files.push((head.file_number, path));
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

fn record_files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name().to_str().and_then(parse_file_name).is_some() {
            files.push(entry.path());
        }
    }
    Ok(files)
}

/// Whose file it is: by its head, or by its name where the head is damaged.
fn head_of(path: &Path) -> io::Result<FileHeader> {
    let reader = FileReader::open(BufReader::new(File::open(path)?))?;
    let named = || path.file_name()?.to_str().and_then(parse_file_name);
    let nobody = || {
        io::Error::new(
            io::ErrorKind::InvalidData,
            "its head is damaged and its name does not say whose it is",
        )
    };
    reader.header().cloned().or_else(named).ok_or_else(nobody)
}
