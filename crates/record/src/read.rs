//! Reader of a record file, which may be damaged, incomplete or still being written.

use std::io::{self, ErrorKind, Read, Seek, SeekFrom};

use crate::event::Record;
use crate::format::{
    self, BLOCK_HEADER_BYTES, BLOCK_MARKER, BlockHeader, BlockKind, FILE_PREFIX_BYTES, FORMAT_VERSION,
    FileHeader, FormatError, IndexEntry, MAGIC, MAX_BODY_BYTES, TRAILER_BYTES, TRAILER_MAGIC,
};

/// Kind of damage that made records unreadable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Damage {
    /// The file ends before the end of a block: the program was killed, or is still writing it.
    Cut,
    /// Bytes that do not form a block with a valid header.
    Head,
    /// A block whose body does not match its checksum or cannot be decoded.
    Body,
}

/// A damaged part of a file, where records are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Offset in the file, in bytes.
    pub offset: u64,
    /// Length in bytes.
    pub bytes: u64,
    /// Kind of the first damage in it.
    pub damage: Damage,
    /// Number of missing records, if known.
    pub lost_records: Option<u32>,
    /// Times of the last record before it and the first record after it, in Unix microseconds, if there are any.
    pub between_us: (Option<u64>, Option<u64>),
}

/// An undamaged block.
#[derive(Clone, Debug, PartialEq)]
pub struct Block {
    /// Its header.
    pub header: BlockHeader,
    /// Its records.
    pub records: Vec<Record>,
    /// Number of records in it of kinds that this program does not know.
    pub unknown_records: u32,
}

/// An item read from a file.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A block of records or context.
    Block(Block),
    /// A damaged part. The second time of [`Gap::between_us`] is that of the block that follows.
    Gap(Gap),
}

/// Reads one record file.
#[derive(Debug)]
pub struct FileReader<R> {
    source: R,
    length: u64,
    offset: u64,
    header: Option<FileHeader>,
    last_us: Option<u64>,
    /// The current gap, which is returned once the block that follows it has been read.
    gap: Option<Gap>,
    /// The block to return after a gap.
    block: Option<Block>,
    /// Offset of an incomplete block at the end of the file.
    incomplete_at: Option<u64>,
    /// Record blocks entirely outside this time range are skipped.
    time_range_us: (u64, u64),
}

/// Reads until the buffer is full or the end of the file is reached; returns the number of bytes read.
fn read_up_to(source: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut read_bytes = 0;
    while read_bytes < buffer.len() {
        match source.read(&mut buffer[read_bytes..]) {
            Ok(0) => break,
            Ok(length) => read_bytes += length,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(read_bytes)
}

impl<R: Read + Seek> FileReader<R> {
    /// Opens a file.
    ///
    /// # Errors
    /// If the file is empty, not a record file or of an unsupported version (the error contains a [`FormatError`]), or
    /// if reading fails. A corrupt file header is not an error: [`FileReader::header`] is then `None`, and the blocks
    /// after it are read.
    pub fn open(mut source: R) -> io::Result<Self> {
        let length = source.seek(SeekFrom::End(0))?;
        source.seek(SeekFrom::Start(0))?;
        let mut prefix = [0; FILE_PREFIX_BYTES];
        let read_bytes = read_up_to(&mut source, &mut prefix)?;
        let invalid = |error: FormatError| Err(io::Error::new(ErrorKind::InvalidData, error));
        match (read_bytes, prefix.split_at(MAGIC.len())) {
            (0, _) => return invalid(FormatError::Empty),
            (FILE_PREFIX_BYTES, (magic, [1..=FORMAT_VERSION])) if magic == MAGIC => {}
            (FILE_PREFIX_BYTES, (magic, [version])) if magic == MAGIC => {
                return invalid(FormatError::UnsupportedVersion(*version));
            }
            _ => return invalid(FormatError::NotRecordFile),
        }
        let time_range_us = (0, u64::MAX);
        let (offset, header, last_us, gap, block) = (FILE_PREFIX_BYTES as u64, None, None, None, None);
        let mut reader =
            Self { source, length, offset, header, last_us, gap, block, incomplete_at: None, time_range_us };
        if let Some((header, body)) = reader.read_block()?
            && header.kind == BlockKind::FileHeader
        {
            reader.header =
                format::decompress_body(&header, &body).ok().and_then(|raw| postcard::from_bytes(&raw).ok());
            reader.offset += (BLOCK_HEADER_BYTES + body.len()) as u64;
        }
        Ok(reader)
    }

    /// The file header; `None` if it is corrupt.
    pub fn header(&self) -> Option<&FileHeader> {
        self.header.as_ref()
    }

    /// Skips record blocks entirely outside this time range (Unix microseconds, both ends included). If the file has an
    /// index, continues at the first block in the range. Context blocks are never skipped.
    ///
    /// # Errors
    /// If reading fails.
    pub fn select_time_range(&mut self, from_us: u64, to_us: u64) -> io::Result<()> {
        self.time_range_us = (from_us, to_us);
        let Some(entries) = self.read_index()? else { return Ok(()) };
        let first = entries.iter().find(|entry| entry.last_us >= from_us);
        // Context precedes the first block of records and must still be read.
        let Some(records_begin) = entries.first().map(|entry| entry.offset) else { return Ok(()) };
        if self.offset >= records_begin {
            self.offset = first.map_or(self.length, |entry| entry.offset).max(self.offset);
        }
        Ok(())
    }

    /// Times of the first and the last record, from the index or from the block headers; bodies are not read.
    ///
    /// # Errors
    /// If reading fails.
    pub fn time_range(&mut self) -> io::Result<Option<(u64, u64)>> {
        let entries = self.record_blocks()?;
        let first = entries.iter().map(|entry| entry.first_us).min();
        Ok(first.zip(entries.iter().map(|entry| entry.last_us).max()))
    }

    /// Number of records in all blocks with valid headers.
    ///
    /// # Errors
    /// If reading fails.
    pub fn record_count(&mut self) -> io::Result<u64> {
        Ok(self.record_blocks()?.iter().map(|entry| u64::from(entry.record_count)).sum())
    }

    /// The blocks of records, from the index or else from the block headers.
    fn record_blocks(&mut self) -> io::Result<Vec<IndexEntry>> {
        if let Some(entries) = self.read_index()? {
            return Ok(entries);
        }
        let saved_offset = std::mem::replace(&mut self.offset, FILE_PREFIX_BYTES as u64);
        let mut entries = Vec::new();
        while let Some(header) = self.next_header()? {
            if header.kind == BlockKind::Records {
                let BlockHeader { record_count, first_us, last_us, .. } = header;
                entries.push(IndexEntry { offset: self.offset, record_count, first_us, last_us });
            }
            self.offset += BLOCK_HEADER_BYTES as u64 + u64::from(header.body_bytes);
        }
        self.offset = saved_offset;
        Ok(entries)
    }

    /// The index at the end of a file that was closed cleanly.
    fn read_index(&mut self) -> io::Result<Option<Vec<IndexEntry>>> {
        if self.length < (FILE_PREFIX_BYTES + BLOCK_HEADER_BYTES + TRAILER_BYTES) as u64 {
            return Ok(None);
        }
        let mut trailer = [0; TRAILER_BYTES];
        self.source.seek(SeekFrom::Start(self.length - TRAILER_BYTES as u64))?;
        if read_up_to(&mut self.source, &mut trailer)? < TRAILER_BYTES || trailer[8..] != TRAILER_MAGIC {
            return Ok(None);
        }
        let index_offset = u64::from_le_bytes([
            trailer[0], trailer[1], trailer[2], trailer[3], trailer[4], trailer[5], trailer[6], trailer[7],
        ]);
        let saved_offset = std::mem::replace(&mut self.offset, index_offset);
        let block = self.read_block()?.filter(|(header, _)| header.kind == BlockKind::Index);
        self.offset = saved_offset;
        let raw = block.and_then(|(header, body)| format::decompress_body(&header, &body).ok());
        Ok(raw.and_then(|raw| postcard::from_bytes(&raw).ok()))
    }

    /// The block header at the current offset.
    fn read_header(&mut self) -> io::Result<Option<BlockHeader>> {
        let mut bytes = [0; BLOCK_HEADER_BYTES];
        self.source.seek(SeekFrom::Start(self.offset))?;
        let read_bytes = read_up_to(&mut self.source, &mut bytes)?;
        Ok((read_bytes == BLOCK_HEADER_BYTES).then(|| BlockHeader::decode(&bytes)).flatten())
    }

    /// Advances to the next valid block header, which may be at the current offset.
    fn next_header(&mut self) -> io::Result<Option<BlockHeader>> {
        loop {
            if let Some(header) = self.read_header()? {
                return Ok(Some(header));
            }
            let Some(marker) = self.find_marker(self.offset + 1)? else { return Ok(None) };
            self.offset = marker;
        }
    }

    /// Offset of the next block marker at or after `from`.
    fn find_marker(&mut self, from: u64) -> io::Result<Option<u64>> {
        let mut at = from;
        let mut buffer = [0; 16 << 10];
        loop {
            self.source.seek(SeekFrom::Start(at))?;
            let read_bytes = read_up_to(&mut self.source, &mut buffer)?;
            if let Some(position) =
                buffer[..read_bytes].windows(BLOCK_MARKER.len()).position(|bytes| bytes == BLOCK_MARKER)
            {
                return Ok(Some(at + position as u64));
            }
            if read_bytes < buffer.len() {
                return Ok(None);
            }
            at += (read_bytes - BLOCK_MARKER.len() + 1) as u64;
        }
    }

    /// Header and body of the block at the current offset, if both match their checksums.
    fn read_block(&mut self) -> io::Result<Option<(BlockHeader, Vec<u8>)>> {
        let Some(header) = self.read_header()? else { return Ok(None) };
        Ok(self.read_body(&header)?.map(|body| (header, body)))
    }

    /// The body of the block at the current offset, if it matches its checksum. The size limit was checked when the
    /// header was decoded.
    fn read_body(&mut self, header: &BlockHeader) -> io::Result<Option<Vec<u8>>> {
        debug_assert!(header.body_bytes as usize <= MAX_BODY_BYTES);
        let mut body = vec![0; header.body_bytes as usize];
        self.source.seek(SeekFrom::Start(self.offset + BLOCK_HEADER_BYTES as u64))?;
        let is_valid = read_up_to(&mut self.source, &mut body)? == body.len()
            && crc32fast::hash(&body) == header.body_crc32;
        Ok(is_valid.then_some(body))
    }

    /// The next item; `None` at the end. For a file that is still being written, call [`FileReader::refresh`] to
    /// continue.
    ///
    /// # Errors
    /// If reading fails.
    pub fn next_item(&mut self) -> io::Result<Option<Item>> {
        if let Some(block) = self.block.take() {
            return Ok(Some(Item::Block(block)));
        }
        loop {
            let begin = self.offset;
            let Some(header) = self.next_header()? else {
                return Ok(self.finish_at_end(begin));
            };
            if self.offset > begin {
                self.extend_gap(begin, self.offset - begin, Damage::Head, None);
            }
            let block_bytes = BLOCK_HEADER_BYTES as u64 + u64::from(header.body_bytes);
            let is_selected = header.kind == BlockKind::Context
                || (header.kind == BlockKind::Records
                    && header.last_us >= self.time_range_us.0
                    && header.first_us <= self.time_range_us.1);
            if !is_selected {
                if self.offset + block_bytes > self.length {
                    return Ok(self.finish_at_end(self.offset));
                }
                self.offset += block_bytes;
                if header.kind == BlockKind::Index {
                    self.offset += TRAILER_BYTES as u64;
                }
                continue;
            }
            if self.offset + block_bytes > self.length {
                // The body is incomplete: the file was truncated, or this is a stray header within a damaged part.
                return Ok(self.finish_at_end(self.offset));
            }
            let body = self.read_body(&header)?;
            let decoded = body.and_then(|body| {
                let raw = format::decompress_body(&header, &body).ok()?;
                format::decode_records(&raw, header.first_us).ok()
            });
            let Some((records, unknown_records)) = decoded else {
                self.extend_gap(self.offset, block_bytes, Damage::Body, Some(header.record_count));
                self.offset += block_bytes;
                continue;
            };
            self.offset += block_bytes;
            let block = Block { header, records, unknown_records };
            let last_before_us = self.last_us;
            if header.kind == BlockKind::Records {
                self.last_us = Some(header.last_us);
            }
            if let Some(mut gap) = self.gap.take() {
                gap.between_us = (last_before_us, Some(header.first_us));
                self.block = Some(block);
                return Ok(Some(Item::Gap(gap)));
            }
            return Ok(Some(Item::Block(block)));
        }
    }

    /// Adds damage to the current gap, or starts a new one.
    fn extend_gap(&mut self, offset: u64, bytes: u64, damage: Damage, lost_records: Option<u32>) {
        let between_us = (self.last_us, None);
        let gap = self.gap.get_or_insert(Gap { offset, bytes: 0, damage, lost_records: Some(0), between_us });
        gap.bytes += bytes;
        gap.lost_records = gap.lost_records.zip(lost_records).map(|(total, more)| total.saturating_add(more));
    }

    /// Handles the end of the file. Any bytes from `begin` on do not form a complete block.
    fn finish_at_end(&mut self, begin: u64) -> Option<Item> {
        let remaining_bytes = self.length.saturating_sub(begin);
        if remaining_bytes > 0 {
            self.extend_gap(begin, remaining_bytes, Damage::Cut, None);
            self.incomplete_at = Some(begin);
        }
        self.offset = self.length.max(begin);
        self.gap.take().map(Item::Gap)
    }

    /// Checks whether the file has grown, for a file that is still being written. If it has, reading continues at the
    /// block that was incomplete.
    ///
    /// # Errors
    /// If reading fails.
    pub fn refresh(&mut self) -> io::Result<bool> {
        let length = self.source.seek(SeekFrom::End(0))?;
        let has_grown = length > self.length;
        self.length = length;
        if has_grown {
            self.offset = self.incomplete_at.take().unwrap_or(self.offset);
        }
        Ok(has_grown)
    }
}
