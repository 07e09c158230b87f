//! The records of several softswitches as one story: by corrected time, with causes before their effects, and in
//! memory that does not grow with the number of records.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

use crate::archive::{Archive, FileError};
use crate::clocks::{BoundCollector, ClockOffsets};
use crate::event::{CallUid, Event, Record};
use crate::format::BlockKind;
use crate::read::{FileReader, Gap, Item};

/// An effect waits so long, in microseconds of its own time, for a cause that may come from another softswitch. Corrected
/// clocks keep to every bound but for what drift is allowed within a window and between two: 0.4 and 0.8 ms.
const WAIT_US: u64 = 5_000;
/// Steps in which it waits.
const STEP_US: u64 = 500;
/// Causes are remembered for this long.
const REMEMBER_US: u64 = 30_000_000;

/// Something of one softswitch, by the common time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// Corrected Unix time in microseconds; never less than that of what was told before.
    pub at_us: u64,
    /// Time by the softswitch's own clock.
    pub local_us: u64,
    /// Its place in [`Merge::softswitches`].
    pub softswitch: usize,
    /// What.
    pub content: EntryContent,
}

/// What is told.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryContent {
    /// An event that was recorded.
    Event(Event),
    /// A state that was still valid when the records begin: the event that led to it is in no file any more.
    Context(Event),
    /// Records are missing here.
    Gap(Gap),
    /// The records of a process end here; whether it ended in good order.
    RunEnded {
        /// It said that it stops.
        clean: bool,
    },
}

/// One process's files, read block by block.
struct Stream {
    softswitch: usize,
    files: VecDeque<PathBuf>,
    reader: Option<FileReader<BufReader<File>>>,
    waiting: VecDeque<(u64, EntryContent)>,
    window_us: (u64, u64),
    last_us: u64,
    /// Context counts in the first file alone: later files repeat what was told.
    first_file: bool,
    stopped: bool,
    ended: bool,
}

impl Stream {
    fn next(&mut self, file_errors: &mut Vec<FileError>) -> Option<(u64, EntryContent)> {
        loop {
            if let Some(next) = self.waiting.pop_front() {
                return Some(next);
            }
            if self.ended {
                return None;
            }
            self.refill(file_errors);
        }
    }

    fn refill(&mut self, file_errors: &mut Vec<FileError>) {
        let Some(reader) = &mut self.reader else {
            let Some(path) = self.files.pop_front() else {
                self.ended = true;
                self.waiting.push_back((self.last_us, EntryContent::RunEnded { clean: self.stopped }));
                return;
            };
            let (from, to) = self.window_us;
            let opened = File::open(&path).and_then(|file| FileReader::open(BufReader::new(file)));
            match opened.and_then(|mut reader| reader.select_time_range(from, to).map(|()| reader)) {
                Ok(reader) => self.reader = Some(reader),
                Err(error) => file_errors.push(FileError { path, error }),
            }
            return;
        };
        match reader.next_item() {
            Ok(Some(Item::Block(block))) => {
                let context = block.header.kind == BlockKind::Context;
                if context && !self.first_file {
                    return;
                }
                for Record { at_us, event } in block.records {
                    self.stopped = event == Event::Stopped;
                    if context {
                        self.waiting.push_back((block.header.last_us, EntryContent::Context(event)));
                    } else if (self.window_us.0..=self.window_us.1).contains(&at_us) {
                        self.last_us = at_us;
                        self.waiting.push_back((at_us, EntryContent::Event(event)));
                    }
                }
            }
            Ok(Some(Item::Gap(gap))) => self.waiting.push_back((self.last_us, EntryContent::Gap(gap))),
            Ok(None) | Err(_) => {
                self.reader = None;
                self.first_file = false;
            }
        }
    }
}

/// A cause and its effect at another softswitch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Link {
    /// A call was sent from the softswitch of this exchange to that of the other.
    Sent(CallUid, u32, u32),
    /// It was answered or ended at the softswitch of this exchange.
    Done(CallUid, u32),
}

/// The records of an archive as one story.
pub struct Merge {
    softswitches: Vec<String>,
    homes: Vec<Option<u32>>,
    clocks: ClockOffsets,
    streams: Vec<Stream>,
    /// The next of each stream: when, which, and since when it waits for its cause.
    heads: BinaryHeap<Reverse<(u64, usize)>>,
    held: Vec<Option<(u64, u64, EntryContent)>>,
    causes: HashMap<Link, u64>,
    causes_by_time: BTreeMap<u64, Vec<Link>>,
    last_us: u64,
    file_errors: Vec<FileError>,
    /// Effects whose cause was in no record.
    pub effects_without_cause: u64,
}

impl Merge {
    /// Reads all records once for their clocks, and is then ready to tell them.
    pub fn open(archive: &Archive, window_us: (u64, u64)) -> Self {
        let names: Vec<String> = archive.softswitches().iter().map(|name| (*name).to_owned()).collect();
        let place = |name: &str| names.iter().position(|known| known == name).unwrap_or_default();
        let mut homes = vec![None; names.len()];
        for run in &archive.runs {
            let home: &mut Option<u32> = &mut homes[place(&run.softswitch)];
            *home = home.or(run.home);
        }
        let streams = || -> Vec<Stream> {
            let stream = |run: &crate::archive::Run| Stream {
                softswitch: place(&run.softswitch),
                files: run.files.iter().cloned().collect(),
                reader: None,
                waiting: VecDeque::new(),
                window_us,
                last_us: run.started_us,
                first_file: true,
                stopped: false,
                ended: false,
            };
            archive.runs.iter().map(stream).collect()
        };
        let mut file_errors = Vec::new();
        let mut collector = BoundCollector::new(&homes);
        // By their own times: what the collector make of them does not depend on a few seconds.
        let mut raw = streams();
        let mut heads = BinaryHeap::new();
        let mut held: Vec<Option<(u64, EntryContent)>> = Vec::new();
        for (i, stream) in raw.iter_mut().enumerate() {
            held.push(stream.next(&mut file_errors));
            heads.extend(held[i].as_ref().map(|(at_us, _)| Reverse((*at_us, i))));
        }
        while let Some(Reverse((at_us, i))) = heads.pop() {
            if let Some((_, EntryContent::Event(event))) = held[i].take() {
                collector.observe(raw[i].softswitch, &Record { at_us, event });
            }
            held[i] = raw[i].next(&mut file_errors);
            heads.extend(held[i].as_ref().map(|(at_us, _)| Reverse((*at_us, i))));
        }
        let clocks = collector.finish().solve(names.len());
        let mut merge = Self {
            softswitches: names.clone(),
            homes,
            clocks,
            streams: streams(),
            heads: BinaryHeap::new(),
            held: Vec::new(),
            causes: HashMap::new(),
            causes_by_time: BTreeMap::new(),
            last_us: 0,
            file_errors,
            effects_without_cause: 0,
        };
        for i in 0..merge.streams.len() {
            merge.held.push(None);
            merge.advance(i);
        }
        merge
    }

    /// Names of the softswitches.
    pub fn softswitches(&self) -> &[String] {
        &self.softswitches
    }

    /// Numbers of their own exchanges.
    pub fn home_exchanges(&self) -> &[Option<u32>] {
        &self.homes
    }

    /// How their clocks were made one.
    pub fn clock_offsets(&self) -> &ClockOffsets {
        &self.clocks
    }

    /// Files that could not be read after all.
    pub fn file_errors(&self) -> &[FileError] {
        &self.file_errors
    }

    /// Puts the next of a stream among the heads.
    fn advance(&mut self, i: usize) {
        let mut late = Vec::new();
        let next = self.streams[i].next(&mut late);
        // The first reading has told of these already.
        drop(late);
        self.held[i] = next.map(|(local_us, what)| {
            let at_us = self.clocks.correct(self.streams[i].softswitch, local_us);
            self.heads.push(Reverse((at_us, i)));
            (local_us, at_us, what)
        });
    }

    fn home(&self, softswitch: usize) -> Option<u32> {
        self.homes[softswitch]
    }

    /// The cause at another softswitch that must be told before this, if there is one.
    fn cause(&self, softswitch: usize, what: &EntryContent) -> Option<(Link, u32)> {
        let EntryContent::Event(event) = what else { return None };
        match event {
            Event::SetUp { call, transit_from: Some(from), .. } => {
                Some((Link::Sent(*call, *from, self.home(softswitch)?), *from))
            }
            Event::Answered { call, exchange, .. } => {
                // Of a direct call the exchange itself is the cause, which records nothing.
                let passed = self.causes.contains_key(&Link::Sent(*call, self.home(softswitch)?, *exchange));
                let came = self.causes.contains_key(&Link::Done(*call, u32::MAX - *exchange));
                (passed && came).then_some((Link::Done(*call, *exchange), *exchange))
            }
            _ => None,
        }
    }

    /// What this is a cause of.
    fn remember(&mut self, softswitch: usize, what: &EntryContent, at_us: u64) {
        let (EntryContent::Event(event), Some(home)) = (what, self.home(softswitch)) else { return };
        let links: Vec<Link> = match event {
            Event::Attempt { call, exchange, .. } => vec![Link::Sent(*call, home, *exchange)],
            // That it came there at all: only then its answer there is a cause.
            Event::SetUp { call, transit_from: Some(_), .. } => vec![Link::Done(*call, u32::MAX - home)],
            Event::Answered { call, .. } => vec![Link::Done(*call, home)],
            _ => return,
        };
        for link in links {
            self.causes.insert(link, at_us);
            self.causes_by_time.entry(at_us).or_default().push(link);
        }
        while let Some(entry) = self.causes_by_time.first_entry()
            && entry.key() + REMEMBER_US < at_us
        {
            for link in entry.remove() {
                if self.causes.get(&link).is_some_and(|at| at + REMEMBER_US < at_us) {
                    self.causes.remove(&link);
                }
            }
        }
    }

    /// Whether records of the softswitch of this exchange may still come.
    fn may_come(&self, exchange: u32) -> bool {
        let mut held = self.streams.iter().zip(&self.held);
        held.any(|(stream, held)| held.is_some() && self.homes[stream.softswitch] == Some(exchange))
    }
}

impl Iterator for Merge {
    type Item = TimelineEntry;

    fn next(&mut self) -> Option<TimelineEntry> {
        loop {
            let Reverse((at_us, i)) = self.heads.pop()?;
            let Some((local_us, first_us, what)) = self.held[i].take() else { continue };
            let softswitch = self.streams[i].softswitch;
            if let Some((cause, exchange)) = self.cause(softswitch, &what)
                && !self.causes.contains_key(&cause)
            {
                if at_us < first_us + WAIT_US && self.may_come(exchange) {
                    self.heads.push(Reverse((at_us + STEP_US, i)));
                    self.held[i] = Some((local_us, first_us, what));
                    continue;
                }
                self.effects_without_cause += 1;
            }
            self.last_us = self.last_us.max(at_us);
            self.remember(softswitch, &what, self.last_us);
            self.advance(i);
            return Some(TimelineEntry { at_us: self.last_us, local_us, softswitch, content: what });
        }
    }
}
