//! Writer of a record file.

use std::io::{self, Write};

use crate::event::Record;
use crate::format::{
    self, BlockKind, FORMAT_VERSION, FULL_BLOCK_BYTES, FileHeader, IndexEntry, MAGIC, TRAILER_MAGIC,
};

/// Writes one file, block by block. Records are buffered until their block is full or [`FileWriter::flush`] is called.
#[derive(Debug)]
pub struct FileWriter<W: Write> {
    output: W,
    written_bytes: u64,
    index: Vec<IndexEntry>,
    /// Encoded records of the current block.
    raw: Vec<u8>,
    record_count: u32,
    first_us: u64,
    last_us: u64,
}

fn io_error(error: format::FormatError) -> io::Error {
    io::Error::other(error)
}

impl<W: Write> FileWriter<W> {
    /// Writes the file header.
    ///
    /// # Errors
    /// If the underlying writer fails.
    pub fn create(mut output: W, header: &FileHeader) -> io::Result<Self> {
        let mut prefix = MAGIC.to_vec();
        prefix.push(FORMAT_VERSION);
        let raw = postcard::to_stdvec(header).map_err(io::Error::other)?;
        prefix.extend(
            format::encode_block(
                BlockKind::FileHeader,
                0,
                (header.run_started_us, header.run_started_us),
                &raw,
            )
            .map_err(io_error)?,
        );
        output.write_all(&prefix)?;
        output.flush()?;
        let (index, raw) = (Vec::new(), Vec::with_capacity(FULL_BLOCK_BYTES + 1_024));
        Ok(Self {
            output,
            written_bytes: prefix.len() as u64,
            index,
            raw,
            record_count: 0,
            first_us: 0,
            last_us: 0,
        })
    }

    /// Size of the file so far in bytes, without the records of the current block.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Appends a record, and writes the block if that makes it full.
    ///
    /// # Errors
    /// If the block is full and the underlying writer fails.
    pub fn push(&mut self, record: &Record) -> io::Result<()> {
        if self.record_count == 0 {
            (self.first_us, self.last_us) = (record.at_us, record.at_us);
        }
        format::encode_record(&mut self.raw, self.first_us, record).map_err(io_error)?;
        self.record_count += 1;
        self.last_us = self.last_us.max(record.at_us);
        if self.raw.len() >= FULL_BLOCK_BYTES { self.flush() } else { Ok(()) }
    }

    /// Writes a [`BlockKind::Context`] block: records of earlier files of the run that describe the current state.
    ///
    /// # Errors
    /// If the underlying writer fails.
    pub fn write_context<'a>(&mut self, records: impl Iterator<Item = &'a Record>) -> io::Result<()> {
        self.flush()?;
        for record in records {
            self.push(record)?;
        }
        self.write_block(BlockKind::Context)
    }

    /// Writes the current block, unless it is empty.
    ///
    /// # Errors
    /// If the underlying writer fails.
    pub fn flush(&mut self) -> io::Result<()> {
        self.write_block(BlockKind::Records)
    }

    fn write_block(&mut self, kind: BlockKind) -> io::Result<()> {
        if self.record_count == 0 {
            return Ok(());
        }
        let time_range_us = (self.first_us, self.last_us);
        let bytes =
            format::encode_block(kind, self.record_count, time_range_us, &self.raw).map_err(io_error)?;
        self.output.write_all(&bytes)?;
        self.output.flush()?;
        if kind == BlockKind::Records {
            let (first_us, last_us) = time_range_us;
            self.index.push(IndexEntry {
                offset: self.written_bytes,
                record_count: self.record_count,
                first_us,
                last_us,
            });
        }
        self.written_bytes += bytes.len() as u64;
        self.raw.clear();
        self.record_count = 0;
        Ok(())
    }

    /// Closes the file with its index and trailer.
    ///
    /// # Errors
    /// If the underlying writer fails.
    pub fn finish(mut self) -> io::Result<W> {
        self.flush()?;
        let raw = postcard::to_stdvec(&self.index).map_err(io::Error::other)?;
        // If the index exceeds the size limit of a body it is left out: the reader then scans the block headers.
        if raw.len() <= format::MAX_BODY_BYTES {
            let first = self.index.first().map_or(0, |entry| entry.first_us);
            let last = self.index.iter().map(|entry| entry.last_us).max().unwrap_or(0);
            let mut index =
                format::encode_block(BlockKind::Index, 0, (first, last), &raw).map_err(io_error)?;
            index.extend_from_slice(&self.written_bytes.to_le_bytes());
            index.extend_from_slice(&TRAILER_MAGIC);
            self.output.write_all(&index)?;
        }
        self.output.flush()?;
        Ok(self.output)
    }
}
