//! Format of record files: magic bytes with the version, then blocks. Each block header has a checksum of its own.
//!
//! | bytes | content (little-endian) |
//! | --- | --- |
//! | 0..8 | `swlbrec`, version |
//! | then for each block: 0..4 | the marker `S W B 0x1e` |
//! | 4..8 | kind, three zero bytes |
//! | 8..12, 12..16, 16..20 | number of records; size of the body in bytes, compressed and decompressed |
//! | 20..28, 28..36 | times of the first and the last record, in Unix microseconds |
//! | 36..40, 40..44 | CRC-32 of the body; CRC-32 of the 40 bytes before |
//! | 44.. | the body: postcard, compressed with zstd |
//!
//! The first block holds the [`FileHeader`]. A file that was closed cleanly ends with an index block and a 12-byte
//! trailer: the offset of the index, and `end\n`. All sizes are limited, so that a corrupt size field cannot cause a
//! large allocation.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::Record;

/// The format version that this program writes, and the latest that it reads.
pub const FORMAT_VERSION: u8 = 1;
pub(crate) const MAGIC: [u8; 7] = *b"swlbrec";
pub(crate) const BLOCK_MARKER: [u8; 4] = *b"SWB\x1e";
pub(crate) const TRAILER_MAGIC: [u8; 4] = *b"end\n";
/// Magic bytes and version.
pub(crate) const FILE_PREFIX_BYTES: usize = 8;
pub(crate) const BLOCK_HEADER_BYTES: usize = 44;
pub(crate) const TRAILER_BYTES: usize = 12;
/// Limit of a block's body, both compressed and decompressed.
pub(crate) const MAX_BODY_BYTES: usize = 1 << 20;
/// Decompressed size at which a block is complete and is written.
pub(crate) const FULL_BLOCK_BYTES: usize = 64 << 10;
/// Level of zstd. Higher levels save less than 4 % of the size and take twice the time.
const COMPRESSION_LEVEL: i32 = 3;

/// Error in the format of a record file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FormatError {
    /// The file is empty.
    #[error("empty file: expected a record file")]
    Empty,
    /// The file does not start with the magic bytes.
    #[error("not a record file: expected it to begin with 'swlbrec'")]
    NotRecordFile,
    /// The version is 0, or a newer program wrote the file.
    #[error(
        "record file of version {0}: expected version 1 to {FORMAT_VERSION}; read it with a newer program"
    )]
    UnsupportedVersion(u8),
    /// The body of a block does not match its header, or cannot be decoded.
    #[error("block body does not match its header")]
    CorruptBody,
    /// The compressor failed; its message.
    #[error("zstd compression failed: {0}")]
    Compression(String),
}

/// Header of a record file: the softswitch and the run that its records belong to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileHeader {
    /// Name of the softswitch.
    pub softswitch: String,
    /// Number of its home exchange, if it has one.
    pub home: Option<u32>,
    /// When its process started, in Unix microseconds; distinguishes the runs of one softswitch.
    pub run_started_us: u64,
    /// Number of the file within the run, from 0.
    pub file_number: u32,
}

impl FileHeader {
    /// Header of the first file of a run.
    pub fn first_of_run(softswitch: &str, home: u32, run_started_us: u64) -> Self {
        Self { softswitch: softswitch.to_owned(), home: Some(home), run_started_us, file_number: 0 }
    }
}

/// Kind of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockKind {
    /// The file's [`FileHeader`].
    FileHeader,
    /// Records in chronological order.
    Records,
    /// Records of earlier files of the run that describe the current state, such as classes, exchanges and groups.
    /// They keep their times.
    Context,
    /// Index of the record blocks of the file.
    Index,
    /// A kind that only a newer program knows.
    Unknown(u8),
}

impl BlockKind {
    fn to_byte(self) -> u8 {
        match self {
            Self::FileHeader => 0,
            Self::Records => 1,
            Self::Context => 2,
            Self::Index => 3,
            Self::Unknown(byte) => byte,
        }
    }

    fn from_byte(byte: u8) -> Self {
        [Self::FileHeader, Self::Records, Self::Context, Self::Index]
            .into_iter()
            .find(|kind| kind.to_byte() == byte)
            .unwrap_or(Self::Unknown(byte))
    }
}

/// Header of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockHeader {
    /// Kind of the block.
    pub kind: BlockKind,
    /// Number of records in the block.
    pub record_count: u32,
    /// Size of the compressed body, in bytes.
    pub body_bytes: u32,
    /// Size of the decompressed body, in bytes.
    pub raw_bytes: u32,
    /// Time of the first record, in Unix microseconds.
    pub first_us: u64,
    /// Time of the last record, in Unix microseconds.
    pub last_us: u64,
    /// CRC-32 of the compressed body.
    pub body_crc32: u32,
}

impl BlockHeader {
    pub(crate) fn encode(&self) -> [u8; BLOCK_HEADER_BYTES] {
        let mut bytes = [0; BLOCK_HEADER_BYTES];
        bytes[..4].copy_from_slice(&BLOCK_MARKER);
        bytes[4] = self.kind.to_byte();
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

    /// Decodes a header; `None` if the marker or the checksum is wrong or a size exceeds its limit.
    pub(crate) fn decode(bytes: &[u8; BLOCK_HEADER_BYTES]) -> Option<Self> {
        let u32_at = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let u64_at = |at: usize| u64::from(u32_at(at)) | u64::from(u32_at(at + 4)) << 32;
        if bytes[..4] != BLOCK_MARKER || u32_at(40) != crc32fast::hash(&bytes[..40]) {
            return None;
        }
        let header = Self {
            kind: BlockKind::from_byte(bytes[4]),
            record_count: u32_at(8),
            body_bytes: u32_at(12),
            raw_bytes: u32_at(16),
            first_us: u64_at(20),
            last_us: u64_at(28),
            body_crc32: u32_at(36),
        };
        let within_limits =
            header.body_bytes as usize <= MAX_BODY_BYTES && header.raw_bytes as usize <= MAX_BODY_BYTES;
        within_limits.then_some(header)
    }
}

/// Compresses a raw body and encodes it as a block with its header.
pub(crate) fn encode_block(
    kind: BlockKind,
    record_count: u32,
    time_range_us: (u64, u64),
    raw: &[u8],
) -> Result<Vec<u8>, FormatError> {
    let compressed = zstd::bulk::compress(raw, COMPRESSION_LEVEL);
    let body = compressed.map_err(|error| FormatError::Compression(error.to_string()))?;
    let header = BlockHeader {
        kind,
        record_count,
        body_bytes: body.len() as u32,
        raw_bytes: raw.len() as u32,
        first_us: time_range_us.0,
        last_us: time_range_us.1,
        body_crc32: crc32fast::hash(&body),
    };
    let mut bytes = Vec::with_capacity(BLOCK_HEADER_BYTES + body.len());
    bytes.extend_from_slice(&header.encode());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decompresses the body of the block with this header.
pub(crate) fn decompress_body(header: &BlockHeader, body: &[u8]) -> Result<Vec<u8>, FormatError> {
    let raw = zstd::bulk::decompress(body, header.raw_bytes as usize);
    raw.ok().filter(|raw| raw.len() == header.raw_bytes as usize).ok_or(FormatError::CorruptBody)
}

/// Entry of the index: the offset of a block of records, and three fields of its header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IndexEntry {
    pub(crate) offset: u64,
    pub(crate) record_count: u32,
    pub(crate) first_us: u64,
    pub(crate) last_us: u64,
}

/// Appends a record to a raw body: its length, its time relative to `base_us` (may be negative), the event.
pub(crate) fn encode_record(raw: &mut Vec<u8>, base_us: u64, record: &Record) -> Result<(), FormatError> {
    let relative_us = record.at_us.wrapping_sub(base_us) as i64;
    let body = postcard::to_stdvec(&(relative_us, &record.event)).map_err(|_| FormatError::CorruptBody)?;
    let length = u32::try_from(body.len()).map_err(|_| FormatError::CorruptBody)?;
    let mut length_buffer = [0; 5];
    let length = postcard::to_slice(&length, &mut length_buffer).map_err(|_| FormatError::CorruptBody)?;
    raw.extend_from_slice(length);
    raw.extend_from_slice(&body);
    Ok(())
}

/// Decodes the records of a raw body. Also returns the number of records of kinds that this program does not know.
pub(crate) fn decode_records(mut raw: &[u8], base_us: u64) -> Result<(Vec<Record>, u32), FormatError> {
    let (mut records, mut unknown_count) = (Vec::new(), 0);
    while !raw.is_empty() {
        let (length, rest) = postcard::take_from_bytes::<u32>(raw).map_err(|_| FormatError::CorruptBody)?;
        let body = rest.get(..length as usize).ok_or(FormatError::CorruptBody)?;
        raw = &rest[length as usize..];
        match postcard::from_bytes::<(i64, crate::event::Event)>(body) {
            Ok((relative_us, event)) => {
                records.push(Record { at_us: base_us.wrapping_add(relative_us as u64), event })
            }
            Err(_) => unknown_count += 1,
        }
    }
    Ok((records, unknown_count))
}
