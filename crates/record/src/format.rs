//! The file: a magic word with the version, then blocks, each with a head that is checked by itself.
//!
//! | bytes | what (little endian) |
//! | --- | --- |
//! | 0..8 | `swlbrec`, version |
//! | then for each block: 0..4 | the mark `S W B 0x1e` |
//! | 4..8 | kind, three zeros |
//! | 8..12, 12..16, 16..20 | records in it; bytes of the body as it is and once it is decompressed |
//! | 20..28, 28..36 | time of its first and of its last record, Unix microseconds |
//! | 36..40, 40..44 | CRC-32 of the body; of the 40 bytes before |
//! | 44.. | the body: postcard, compressed by zstd |
//!
//! The first block is the [`FileHeader`]. A file that was closed in good order ends with an index block and a tail of 12
//! bytes: where the index begins, and `end\n`. All sizes are bounded, so that a damaged figure cannot cost memory.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::Record;

/// The version that this program writes, and the latest that it reads.
pub const FORMAT_VERSION: u8 = 1;
pub(crate) const MAGIC: [u8; 7] = *b"swlbrec";
pub(crate) const MARK: [u8; 4] = *b"SWB\x1e";
pub(crate) const TAIL: [u8; 4] = *b"end\n";
/// Bytes of the magic word with the version.
pub(crate) const PREFIX: usize = 8;
/// Bytes of a block's head.
pub(crate) const BLOCK_HEAD: usize = 44;
/// Bytes of the tail.
pub(crate) const TAIL_LEN: usize = 12;
/// Most bytes of a body, compressed or not.
pub(crate) const LARGEST_BODY: usize = 1 << 20;
/// Bytes of records after which a block is full.
pub(crate) const FULL: usize = 64 << 10;
/// How hard zstd tries: higher levels saved under 4 in 100 and cost twice the time.
const EFFORT: i32 = 3;

/// What is wrong with a file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FormatError {
    /// Nothing in it.
    #[error("empty file: expected a record file")]
    Empty,
    /// It does not begin as one.
    #[error("not a record file: expected it to begin with 'swlbrec'")]
    NotRecordFile,
    /// A newer program wrote it.
    #[error(
        "record file of version {0}: expected version 1 to {FORMAT_VERSION}; read it with a newer program"
    )]
    UnsupportedVersion(u8),
    /// A body does not hold what its head says.
    #[error("block that does not hold what its head says")]
    CorruptBody,
    /// The compressor's word.
    #[error("compression: {0}")]
    Compression(String),
}

/// Whose records a file holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileHeader {
    /// Name of the softswitch.
    pub softswitch: String,
    /// Number of its own exchange, if it has one.
    pub home: Option<u32>,
    /// When its process started, in Unix microseconds: it tells the runs of a name apart.
    pub run_started_us: u64,
    /// Number of the file within the run, from 0.
    pub file_number: u32,
}

impl FileHeader {
    /// The first file of a run.
    pub fn first_of_run(softswitch: &str, home: u32, run_started_us: u64) -> Self {
        Self { softswitch: softswitch.to_owned(), home: Some(home), run_started_us, file_number: 0 }
    }
}

/// What a block is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockKind {
    /// The file's [`FileHeader`].
    FileHeader,
    /// Records in the order in which they happened.
    Records,
    /// Records of earlier files of the run that still count: classes, exchanges, groups. They keep their times.
    Context,
    /// Where the blocks of the file are.
    Index,
    /// Something that a newer program writes.
    Unknown(u8),
}

impl BlockKind {
    fn byte(self) -> u8 {
        match self {
            Self::FileHeader => 0,
            Self::Records => 1,
            Self::Context => 2,
            Self::Index => 3,
            Self::Unknown(byte) => byte,
        }
    }

    fn of(byte: u8) -> Self {
        [Self::FileHeader, Self::Records, Self::Context, Self::Index]
            .into_iter()
            .find(|kind| kind.byte() == byte)
            .unwrap_or(Self::Unknown(byte))
    }
}

/// The head of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockHeader {
    /// What it is.
    pub kind: BlockKind,
    /// Records in it.
    pub record_count: u32,
    /// Bytes of its body.
    pub body_bytes: u32,
    /// Bytes of its body once decompressed.
    pub raw_bytes: u32,
    /// Time of its first record, in Unix microseconds.
    pub first_us: u64,
    /// Time of its last record.
    pub last_us: u64,
    /// CRC-32 of the body.
    pub body_crc32: u32,
}

impl BlockHeader {
    pub(crate) fn bytes(&self) -> [u8; BLOCK_HEAD] {
        let mut bytes = [0; BLOCK_HEAD];
        bytes[..4].copy_from_slice(&MARK);
        bytes[4] = self.kind.byte();
        bytes[8..12].copy_from_slice(&self.record_count.to_le_bytes());
        bytes[12..16].copy_from_slice(&self.body_bytes.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.raw_bytes.to_le_bytes());
        bytes[20..28].copy_from_slice(&self.first_us.to_le_bytes());
        bytes[28..36].copy_from_slice(&self.last_us.to_le_bytes());
        bytes[36..40].copy_from_slice(&self.body_crc32.to_le_bytes());
        let crc = crc32fast::hash(&bytes[..40]);
        bytes[40..].copy_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// The head in these bytes; `None` unless it is whole and its sizes are within bounds.
    pub(crate) fn read(bytes: &[u8; BLOCK_HEAD]) -> Option<Self> {
        let word = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let long = |at: usize| u64::from(word(at)) | u64::from(word(at + 4)) << 32;
        if bytes[..4] != MARK || word(40) != crc32fast::hash(&bytes[..40]) {
            return None;
        }
        let head = Self {
            kind: BlockKind::of(bytes[4]),
            record_count: word(8),
            body_bytes: word(12),
            raw_bytes: word(16),
            first_us: long(20),
            last_us: long(28),
            body_crc32: word(36),
        };
        let bounded = head.body_bytes as usize <= LARGEST_BODY && head.raw_bytes as usize <= LARGEST_BODY;
        bounded.then_some(head)
    }
}

/// A whole block with this raw body.
pub(crate) fn block(
    kind: BlockKind,
    count: u32,
    times: (u64, u64),
    raw: &[u8],
) -> Result<Vec<u8>, FormatError> {
    let compressed = zstd::bulk::compress(raw, EFFORT);
    let body = compressed.map_err(|error| FormatError::Compression(error.to_string()))?;
    let head = BlockHeader {
        kind,
        record_count: count,
        body_bytes: body.len() as u32,
        raw_bytes: raw.len() as u32,
        first_us: times.0,
        last_us: times.1,
        body_crc32: crc32fast::hash(&body),
    };
    let mut bytes = Vec::with_capacity(BLOCK_HEAD + body.len());
    bytes.extend_from_slice(&head.bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// The raw body behind this head.
pub(crate) fn open_body(head: &BlockHeader, body: &[u8]) -> Result<Vec<u8>, FormatError> {
    let raw = zstd::bulk::decompress(body, head.raw_bytes as usize);
    raw.ok().filter(|raw| raw.len() == head.raw_bytes as usize).ok_or(FormatError::CorruptBody)
}

/// One place of the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Place {
    pub(crate) at: u64,
    pub(crate) count: u32,
    pub(crate) first_us: u64,
    pub(crate) last_us: u64,
}

/// Adds a record to a raw body: its length, its time after `base_us` (which may be negative), the event.
pub(crate) fn put_record(raw: &mut Vec<u8>, base_us: u64, record: &Record) -> Result<(), FormatError> {
    let after = record.at_us.wrapping_sub(base_us) as i64;
    let body = postcard::to_stdvec(&(after, &record.event)).map_err(|_| FormatError::CorruptBody)?;
    let length = u32::try_from(body.len()).map_err(|_| FormatError::CorruptBody)?;
    let mut prefix = [0; 5];
    let prefix = postcard::to_slice(&length, &mut prefix).map_err(|_| FormatError::CorruptBody)?;
    raw.extend_from_slice(prefix);
    raw.extend_from_slice(&body);
    Ok(())
}

/// The records of a raw body, and how many there are that this program does not know.
pub(crate) fn take_records(mut raw: &[u8], base_us: u64) -> Result<(Vec<Record>, u32), FormatError> {
    let (mut records, mut unknown) = (Vec::new(), 0);
    while !raw.is_empty() {
        let (length, rest) = postcard::take_from_bytes::<u32>(raw).map_err(|_| FormatError::CorruptBody)?;
        let body = rest.get(..length as usize).ok_or(FormatError::CorruptBody)?;
        raw = &rest[length as usize..];
        match postcard::from_bytes::<(i64, crate::event::Event)>(body) {
            Ok((after, event)) => records.push(Record { at_us: base_us.wrapping_add(after as u64), event }),
            Err(_) => unknown += 1,
        }
    }
    Ok((records, unknown))
}
