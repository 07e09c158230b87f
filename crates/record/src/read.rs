//! Reading one file, whatever has become of it.

use std::io::{self, ErrorKind, Read, Seek, SeekFrom};

use crate::event::Record;
use crate::format::{
    self, BLOCK_HEAD, BlockHeader, BlockKind, FORMAT_VERSION, FileHeader, FormatError, LARGEST_BODY, MAGIC,
    MARK, PREFIX, Place, TAIL, TAIL_LEN,
};

/// What was wrong where records are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Damage {
    /// The file ends in the middle of a block: the program was killed, or writes it just now.
    Cut,
    /// Bytes that are no block.
    Head,
    /// A block whose body is not the one that was written.
    Body,
}

/// A place of a file where records are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Where it begins in the file, in bytes.
    pub offset: u64,
    /// How long it is, in bytes.
    pub bytes: u64,
    /// What was wrong.
    pub damage: Damage,
    /// Records that are missing, if that is known.
    pub lost_records: Option<u32>,
    /// Time of the last record before it and of the first after it, in Unix microseconds, where there are such.
    pub between_us: (Option<u64>, Option<u64>),
}

/// A whole block.
#[derive(Clone, Debug, PartialEq)]
pub struct Block {
    /// Its head.
    pub header: BlockHeader,
    /// Its records.
    pub records: Vec<Record>,
    /// Records in it that this program does not know.
    pub unknown_records: u32,
}

/// What comes next in a file.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A block of records or of context.
    Block(Block),
    /// A place where records are missing. Its later time is that of the block that follows.
    Gap(Gap),
}

/// Reads one file.
#[derive(Debug)]
pub struct FileReader<R> {
    from: R,
    length: u64,
    at: u64,
    head: Option<FileHeader>,
    last_us: Option<u64>,
    /// A gap that is told once the block behind it is known, and that block.
    gap: Option<Gap>,
    block: Option<Block>,
    /// Where a block was not whole at the end.
    cut_at: Option<u64>,
    /// Blocks that lie wholly before or after these times are passed over.
    window_us: (u64, u64),
}

/// Reads as many bytes as there are, up to the length of the buffer.
fn fill(from: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match from.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(length) => got += length,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(got)
}

impl<R: Read + Seek> FileReader<R> {
    /// Opens a file.
    ///
    /// # Errors
    /// If it is empty, no record file, or of a version not known ([`FormatError`] inside), or cannot be read at all.
    /// A damaged head is no error: [`FileReader::header`] is then `None`, and the blocks behind it are read.
    pub fn open(mut from: R) -> io::Result<Self> {
        let length = from.seek(SeekFrom::End(0))?;
        from.seek(SeekFrom::Start(0))?;
        let mut prefix = [0; PREFIX];
        let got = fill(&mut from, &mut prefix)?;
        let wrong = |error: FormatError| Err(io::Error::new(ErrorKind::InvalidData, error));
        match (got, prefix.split_at(MAGIC.len())) {
            (0, _) => return wrong(FormatError::Empty),
            (PREFIX, (magic, [1..=FORMAT_VERSION])) if magic == MAGIC => {}
            (PREFIX, (magic, [version])) if magic == MAGIC => {
                return wrong(FormatError::UnsupportedVersion(*version));
            }
            _ => return wrong(FormatError::NotRecordFile),
        }
        let window_us = (0, u64::MAX);
        let (at, head, last_us, gap, block) = (PREFIX as u64, None, None, None, None);
        let mut reader = Self { from, length, at, head, last_us, gap, block, cut_at: None, window_us };
        if let Some((head, body)) = reader.whole_block()?
            && head.kind == BlockKind::FileHeader
        {
            reader.head =
                format::open_body(&head, &body).ok().and_then(|raw| postcard::from_bytes(&raw).ok());
            reader.at += (BLOCK_HEAD + body.len()) as u64;
        }
        Ok(reader)
    }

    /// Whose records these are; `None` if that part is damaged.
    pub fn header(&self) -> Option<&FileHeader> {
        self.head.as_ref()
    }

    /// Passes over blocks that lie wholly outside these times (Unix microseconds, both included) and begins at the
    /// first that does not. Context is never passed over.
    ///
    /// # Errors
    /// Of the system.
    pub fn select_time_range(&mut self, from_us: u64, to_us: u64) -> io::Result<()> {
        self.window_us = (from_us, to_us);
        let Some(places) = self.index()? else { return Ok(()) };
        let first = places.iter().find(|place| place.last_us >= from_us);
        // Context stands before the first block of records and is still wanted.
        let Some(begin) = places.first().map(|place| place.at) else { return Ok(()) };
        if self.at >= begin {
            self.at = first.map_or(self.length, |place| place.at).max(self.at);
        }
        Ok(())
    }

    /// Time of the first and of the last record, without reading bodies where the file was closed in good order.
    ///
    /// # Errors
    /// Of the system.
    pub fn time_range(&mut self) -> io::Result<Option<(u64, u64)>> {
        let places = self.places()?;
        let first = places.iter().map(|place| place.first_us).min();
        Ok(first.zip(places.iter().map(|place| place.last_us).max()))
    }

    /// Records in the blocks whose heads are whole.
    ///
    /// # Errors
    /// Of the system.
    pub fn record_count(&mut self) -> io::Result<u64> {
        Ok(self.places()?.iter().map(|place| u64::from(place.count)).sum())
    }

    /// The blocks of records: from the index, or else by walking the heads.
    fn places(&mut self) -> io::Result<Vec<Place>> {
        if let Some(places) = self.index()? {
            return Ok(places);
        }
        let at = std::mem::replace(&mut self.at, PREFIX as u64);
        let mut places = Vec::new();
        while let Some(head) = self.next_head()? {
            if head.kind == BlockKind::Records {
                let BlockHeader { record_count: count, first_us, last_us, .. } = head;
                places.push(Place { at: self.at, count, first_us, last_us });
            }
            self.at += BLOCK_HEAD as u64 + u64::from(head.body_bytes);
        }
        self.at = at;
        Ok(places)
    }

    /// The index at the end of a file that was closed in good order.
    fn index(&mut self) -> io::Result<Option<Vec<Place>>> {
        if self.length < (PREFIX + BLOCK_HEAD + TAIL_LEN) as u64 {
            return Ok(None);
        }
        let mut tail = [0; TAIL_LEN];
        self.from.seek(SeekFrom::Start(self.length - TAIL_LEN as u64))?;
        if fill(&mut self.from, &mut tail)? < TAIL_LEN || tail[8..] != TAIL {
            return Ok(None);
        }
        let place =
            u64::from_le_bytes([tail[0], tail[1], tail[2], tail[3], tail[4], tail[5], tail[6], tail[7]]);
        let at = std::mem::replace(&mut self.at, place);
        let block = self.whole_block()?.filter(|(head, _)| head.kind == BlockKind::Index);
        self.at = at;
        let raw = block.and_then(|(head, body)| format::open_body(&head, &body).ok());
        Ok(raw.and_then(|raw| postcard::from_bytes(&raw).ok()))
    }

    /// The head at the present place.
    fn head_here(&mut self) -> io::Result<Option<BlockHeader>> {
        let mut bytes = [0; BLOCK_HEAD];
        self.from.seek(SeekFrom::Start(self.at))?;
        let got = fill(&mut self.from, &mut bytes)?;
        Ok((got == BLOCK_HEAD).then(|| BlockHeader::read(&bytes)).flatten())
    }

    /// Moves to the next head that is whole, from the present place on.
    fn next_head(&mut self) -> io::Result<Option<BlockHeader>> {
        loop {
            if let Some(head) = self.head_here()? {
                return Ok(Some(head));
            }
            let Some(mark) = self.find_mark(self.at + 1)? else { return Ok(None) };
            self.at = mark;
        }
    }

    /// The next place from here on where a head may begin.
    fn find_mark(&mut self, from: u64) -> io::Result<Option<u64>> {
        let mut at = from;
        let mut buffer = [0; 16 << 10];
        loop {
            self.from.seek(SeekFrom::Start(at))?;
            let got = fill(&mut self.from, &mut buffer)?;
            if let Some(found) = buffer[..got].windows(MARK.len()).position(|word| word == MARK) {
                return Ok(Some(at + found as u64));
            }
            if got < buffer.len() {
                return Ok(None);
            }
            at += (got - MARK.len() + 1) as u64;
        }
    }

    /// FileHeader and body at the present place, if both are whole.
    fn whole_block(&mut self) -> io::Result<Option<(BlockHeader, Vec<u8>)>> {
        let Some(head) = self.head_here()? else { return Ok(None) };
        Ok(self.body_of(&head)?.map(|body| (head, body)))
    }

    /// The body behind a head at the present place. Its length was bounded when the head was read.
    fn body_of(&mut self, head: &BlockHeader) -> io::Result<Option<Vec<u8>>> {
        debug_assert!(head.body_bytes as usize <= LARGEST_BODY);
        let mut body = vec![0; head.body_bytes as usize];
        self.from.seek(SeekFrom::Start(self.at + BLOCK_HEAD as u64))?;
        let whole =
            fill(&mut self.from, &mut body)? == body.len() && crc32fast::hash(&body) == head.body_crc32;
        Ok(whole.then_some(body))
    }

    /// What comes next; `None` at the end. A file that is still being written may have more when asked again.
    ///
    /// # Errors
    /// Of the system.
    pub fn next_item(&mut self) -> io::Result<Option<Item>> {
        if let Some(block) = self.block.take() {
            return Ok(Some(Item::Block(block)));
        }
        loop {
            let begin = self.at;
            let Some(head) = self.next_head()? else {
                return Ok(self.end(begin));
            };
            if self.at > begin {
                self.note_gap(begin, self.at - begin, Damage::Head, None);
            }
            let whole = BLOCK_HEAD as u64 + u64::from(head.body_bytes);
            let wanted = head.kind == BlockKind::Context
                || (head.kind == BlockKind::Records
                    && head.last_us >= self.window_us.0
                    && head.first_us <= self.window_us.1);
            if !wanted {
                if self.at + whole > self.length {
                    return Ok(self.end(self.at));
                }
                self.at += whole;
                if head.kind == BlockKind::Index {
                    self.at += TAIL_LEN as u64;
                }
                continue;
            }
            if self.at + whole > self.length {
                // Its body is not there: cut, unless the head is a stray one in the middle of damage.
                return Ok(self.end(self.at));
            }
            let body = self.body_of(&head)?;
            let read = body.and_then(|body| {
                let raw = format::open_body(&head, &body).ok()?;
                format::take_records(&raw, head.first_us).ok()
            });
            let Some((records, unknown)) = read else {
                self.note_gap(self.at, whole, Damage::Body, Some(head.record_count));
                self.at += whole;
                continue;
            };
            self.at += whole;
            let block = Block { header: head, records, unknown_records: unknown };
            let before = self.last_us;
            if head.kind == BlockKind::Records {
                self.last_us = Some(head.last_us);
            }
            if let Some(mut gap) = self.gap.take() {
                gap.between_us = (before, Some(head.first_us));
                self.block = Some(block);
                return Ok(Some(Item::Gap(gap)));
            }
            return Ok(Some(Item::Block(block)));
        }
    }

    /// Joins damage to a gap that is open.
    fn note_gap(&mut self, at: u64, bytes: u64, damage: Damage, records: Option<u32>) {
        let between_us = (self.last_us, None);
        let gap =
            self.gap.get_or_insert(Gap { offset: at, bytes: 0, damage, lost_records: Some(0), between_us });
        gap.bytes += bytes;
        gap.lost_records = gap.lost_records.zip(records).map(|(all, more)| all.saturating_add(more));
    }

    /// The end has come; whatever lies behind this place is no whole block.
    fn end(&mut self, begin: u64) -> Option<Item> {
        let rest = self.length.saturating_sub(begin);
        if rest > 0 {
            self.note_gap(begin, rest, Damage::Cut, None);
            self.cut_at = Some(begin);
        }
        self.at = self.length.max(begin);
        self.gap.take().map(Item::Gap)
    }

    /// Looks whether the file has grown, for reading it while it is written: goes on at the block that was not whole.
    ///
    /// # Errors
    /// Of the system.
    pub fn refresh(&mut self) -> io::Result<bool> {
        let length = self.from.seek(SeekFrom::End(0))?;
        let grown = length > self.length;
        self.length = length;
        if grown {
            self.at = self.cut_at.take().unwrap_or(self.at);
        }
        Ok(grown)
    }
}
