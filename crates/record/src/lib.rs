//! Records of calls and decisions: what a softswitch writes while it serves, and how it is read again.
//!
//! ```
//! use swiftlb_record::{Event, FileReader, FileWriter, Head, Item, Record};
//! use std::io::Cursor;
//!
//! let mut writer = FileWriter::create(Vec::new(), &Head::of("n0", 0, 1_700_000_000_000_000))?;
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

pub use archive::{Archive, Run, Trouble};
pub use event::{
    AttemptOutcome, AttemptReason, CallUid, ConnectionChange, DrainSource, Event, FailureReason, Front,
    ListedReadiness, Record, RefusalReason, ReleasedBy,
};
pub use format::{BlockHead, BlockKind, FormatError, Head, VERSION};
pub use read::{Block, Damage, FileReader, Gap, Item};
pub use recorder::{Folder, Recorder, RecorderError, Settings, Storage};
pub use retention::{Retention, file_name, parse_file_name, surplus};
pub use write::FileWriter;
