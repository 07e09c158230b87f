//! Records of calls and decisions: what a softswitch writes while it serves, and how it is read again.
//!
//! ```
//! use swiftlb_record::{Event, FileReader, FileWriter, FileHeader, Item, Record};
//! use std::io::Cursor;
//!
//! let mut writer = FileWriter::create(Vec::new(), &FileHeader::first_of_run("n0", 0, 1_700_000_000_000_000))?;
//! writer.push(&Record { at_us: 1_700_000_000_000_250, event: Event::Stopping })?;
//! let file = writer.finish()?;
//!
//! let mut reader = FileReader::open(Cursor::new(file))?;
//! while let Some(item) = reader.next_item()? {
//!     if let Item::Block(block) = item {
//!         assert_eq!(block.records[0].event, Event::Stopping);
//!     }
//! }
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! [`Recorder`] is the writing side of a program that must never wait for a disk. [`Archive`] finds the files of a
//! folder and tells which softswitch and which of its runs each belongs to.

mod archive;
pub mod clocks;
mod event;
mod format;
pub mod merge;
mod read;
mod recorder;
mod retention;
mod write;

pub use archive::{Archive, FileError, Run};
pub use event::{
    AttemptOutcome, AttemptReason, CallUid, ConnectionChange, DrainSource, Event, FailureReason, Front,
    ListedReadiness, Record, RefusalReason, ReleasedBy,
};
pub use format::{BlockHeader, BlockKind, FORMAT_VERSION, FileHeader, FormatError};
pub use read::{Block, Damage, FileReader, Gap, Item};
pub use recorder::{DirectoryStorage, Recorder, RecorderError, RecorderSettings, Storage};
pub use retention::{Retention, file_name, files_to_remove, parse_file_name};
pub use write::FileWriter;
