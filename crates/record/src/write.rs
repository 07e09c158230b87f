//! Writing one file.

use std::io::{self, Write};

use crate::event::Record;
use crate::format::{self, BlockKind, FORMAT_VERSION, FULL, FileHeader, MAGIC, Place, TAIL};

/// Writes one file, block by block. What is pushed is on its way to the disk once [`FileWriter::flush`] is called or a
/// block is full.
#[derive(Debug)]
pub struct FileWriter<W: Write> {
    out: W,
    /// Bytes written so far.
    at: u64,
    places: Vec<Place>,
    raw: Vec<u8>,
    count: u32,
    first_us: u64,
    last_us: u64,
}

fn failed(error: format::FormatError) -> io::Error {
    io::Error::other(error)
}

impl<W: Write> FileWriter<W> {
    /// Begins a file.
    ///
    /// # Errors
    /// Of the writer.
    pub fn create(mut out: W, head: &FileHeader) -> io::Result<Self> {
        let mut start = MAGIC.to_vec();
        start.push(FORMAT_VERSION);
        let raw = postcard::to_stdvec(head).map_err(io::Error::other)?;
        start.extend(
            format::block(BlockKind::FileHeader, 0, (head.run_started_us, head.run_started_us), &raw)
                .map_err(failed)?,
        );
        out.write_all(&start)?;
        out.flush()?;
        let (places, raw) = (Vec::new(), Vec::with_capacity(FULL + 1_024));
        Ok(Self { out, at: start.len() as u64, places, raw, count: 0, first_us: 0, last_us: 0 })
    }

    /// Bytes of the file so far, without what waits for its block to be full.
    pub fn written_bytes(&self) -> u64 {
        self.at
    }

    /// Adds a record.
    ///
    /// # Errors
    /// Of the writer, if a block was full.
    pub fn push(&mut self, record: &Record) -> io::Result<()> {
        if self.count == 0 {
            (self.first_us, self.last_us) = (record.at_us, record.at_us);
        }
        format::put_record(&mut self.raw, self.first_us, record).map_err(failed)?;
        self.count += 1;
        self.last_us = self.last_us.max(record.at_us);
        if self.raw.len() >= FULL { self.flush() } else { Ok(()) }
    }

    /// Writes what still counts of earlier files of the run, as a block of its own.
    ///
    /// # Errors
    /// Of the writer.
    pub fn write_context<'a>(&mut self, records: impl Iterator<Item = &'a Record>) -> io::Result<()> {
        self.flush()?;
        for record in records {
            self.push(record)?;
        }
        self.put(BlockKind::Context)
    }

    /// Writes the block that has begun, if one has.
    ///
    /// # Errors
    /// Of the writer.
    pub fn flush(&mut self) -> io::Result<()> {
        self.put(BlockKind::Records)
    }

    fn put(&mut self, kind: BlockKind) -> io::Result<()> {
        if self.count == 0 {
            return Ok(());
        }
        let times = (self.first_us, self.last_us);
        let bytes = format::block(kind, self.count, times, &self.raw).map_err(failed)?;
        self.out.write_all(&bytes)?;
        self.out.flush()?;
        if kind == BlockKind::Records {
            let (first_us, last_us) = times;
            self.places.push(Place { at: self.at, count: self.count, first_us, last_us });
        }
        self.at += bytes.len() as u64;
        self.raw.clear();
        self.count = 0;
        Ok(())
    }

    /// Ends the file in good order, with its index.
    ///
    /// # Errors
    /// Of the writer.
    pub fn finish(mut self) -> io::Result<W> {
        self.flush()?;
        let raw = postcard::to_stdvec(&self.places).map_err(io::Error::other)?;
        // A file with more blocks than an index holds is read by the heads of its blocks.
        if raw.len() <= format::LARGEST_BODY {
            let first = self.places.first().map_or(0, |place| place.first_us);
            let last = self.places.iter().map(|place| place.last_us).max().unwrap_or(0);
            let mut end = format::block(BlockKind::Index, 0, (first, last), &raw).map_err(failed)?;
            end.extend_from_slice(&self.at.to_le_bytes());
            end.extend_from_slice(&TAIL);
            self.out.write_all(&end)?;
        }
        self.out.flush()?;
        Ok(self.out)
    }
}
