//! Merges the records of several softswitches into one timeline: by corrected time, with causes before their effects.
//! Memory use does not grow with the number of records.

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

/// An effect whose cause at another softswitch is not yet in the timeline is delayed by up to this much corrected time.
/// Corrected clocks violate a bound only by the drift allowed within a window and between two windows: 0.4 and 0.8 ms.
const MAX_EFFECT_DELAY_US: u64 = 5_000;
/// Step in which an effect is delayed.
const EFFECT_DELAY_STEP_US: u64 = 500;
/// A cause is forgotten after this much corrected time.
const CAUSE_RETENTION_US: u64 = 30_000_000;

/// An entry of the merged timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// Corrected Unix time in microseconds; never earlier than that of the entry before.
    pub at_us: u64,
    /// Unix time in microseconds by the clock of the softswitch.
    pub local_us: u64,
    /// Index in [`Merge::softswitches`].
    pub softswitch: usize,
    /// The event, or what else the entry stands for.
    pub content: EntryContent,
}

/// Content of a [`TimelineEntry`].
#[derive(Clone, Debug, PartialEq)]
pub enum EntryContent {
    /// A recorded event.
    Event(Event),
    /// An event before the first records that describes the state at their beginning. The file that it was recorded in
    /// has been removed.
    Context(Event),
    /// Records are missing here.
    Gap(Gap),
    /// The records of a process end here.
    RunEnded {
        /// Whether the process recorded that it stopped.
        clean: bool,
    },
}

/// Reads the files of one run, block by block.
struct RunReader {
    softswitch: usize,
    files: VecDeque<PathBuf>,
    reader: Option<FileReader<BufReader<File>>>,
    /// Entries that were read and are not returned yet, with their local times.
    buffered: VecDeque<(u64, EntryContent)>,
    time_range_us: (u64, u64),
    last_us: u64,
    /// Context blocks are used from the first file only: those of later files repeat events that were already read.
    in_first_file: bool,
    /// Whether the last record that was read is [`Event::Stopped`].
    stopped: bool,
    /// Whether all files have been read.
    ended: bool,
}

impl RunReader {
    fn next(&mut self, file_errors: &mut Vec<FileError>) -> Option<(u64, EntryContent)> {
        loop {
            if let Some(next) = self.buffered.pop_front() {
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
                self.buffered.push_back((self.last_us, EntryContent::RunEnded { clean: self.stopped }));
                return;
            };
            let (from, to) = self.time_range_us;
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
                if context && !self.in_first_file {
                    return;
                }
                for Record { at_us, event } in block.records {
                    self.stopped = event == Event::Stopped;
                    if context {
                        self.buffered.push_back((block.header.last_us, EntryContent::Context(event)));
                    } else if (self.time_range_us.0..=self.time_range_us.1).contains(&at_us) {
                        self.last_us = at_us;
                        self.buffered.push_back((at_us, EntryContent::Event(event)));
                    }
                }
            }
            Ok(Some(Item::Gap(gap))) => self.buffered.push_back((self.last_us, EntryContent::Gap(gap))),
            Ok(None) | Err(_) => {
                self.reader = None;
                self.in_first_file = false;
            }
        }
    }
}

/// A cause that has an effect at another softswitch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Cause {
    /// The softswitch of the first exchange sent a call to the second exchange.
    Sent(CallUid, u32, u32),
    /// The call was answered at the softswitch of this exchange. With `u32::MAX - exchange` instead: it arrived there
    /// as a call in transit.
    Answered(CallUid, u32),
}

/// The records of an archive, merged into one timeline.
pub struct Merge {
    softswitches: Vec<String>,
    homes: Vec<Option<u32>>,
    clock_offsets: ClockOffsets,
    runs: Vec<RunReader>,
    /// Time and run of the next entry of each run.
    pending: BinaryHeap<Reverse<(u64, usize)>>,
    /// The next entry of each run, with its local time and its corrected time.
    next_entries: Vec<Option<(u64, u64, EntryContent)>>,
    /// Corrected time of each cause that is in the timeline.
    causes: HashMap<Cause, u64>,
    causes_by_time: BTreeMap<u64, Vec<Cause>>,
    last_us: u64,
    file_errors: Vec<FileError>,
    /// Number of effects whose cause was not found in any record.
    pub effects_without_cause: u64,
}

impl Merge {
    /// Reads all records once to estimate the clock offsets; iteration reads them again. Events outside the time range
    /// (local Unix time in microseconds, both ends included) are left out.
    pub fn open(archive: &Archive, time_range_us: (u64, u64)) -> Self {
        let names: Vec<String> = archive.softswitches().iter().map(|name| (*name).to_owned()).collect();
        let index_of = |name: &str| names.iter().position(|known| known == name).unwrap_or_default();
        let mut homes = vec![None; names.len()];
        for run in &archive.runs {
            let home: &mut Option<u32> = &mut homes[index_of(&run.softswitch)];
            *home = home.or(run.home);
        }
        let open_runs = || -> Vec<RunReader> {
            let open_run = |run: &crate::archive::Run| RunReader {
                softswitch: index_of(&run.softswitch),
                files: run.files.iter().cloned().collect(),
                reader: None,
                buffered: VecDeque::new(),
                time_range_us,
                last_us: run.started_us,
                in_first_file: true,
                stopped: false,
                ended: false,
            };
            archive.runs.iter().map(open_run).collect()
        };
        let mut file_errors = Vec::new();
        let mut collector = BoundCollector::new(&homes);
        // Ordered by local times: the collector tolerates differences of some seconds.
        let mut first_pass = open_runs();
        let mut pending = BinaryHeap::new();
        let mut next_contents: Vec<Option<(u64, EntryContent)>> = Vec::new();
        for (i, run) in first_pass.iter_mut().enumerate() {
            next_contents.push(run.next(&mut file_errors));
            pending.extend(next_contents[i].as_ref().map(|(at_us, _)| Reverse((*at_us, i))));
        }
        while let Some(Reverse((at_us, i))) = pending.pop() {
            if let Some((_, EntryContent::Event(event))) = next_contents[i].take() {
                collector.observe(first_pass[i].softswitch, &Record { at_us, event });
            }
            next_contents[i] = first_pass[i].next(&mut file_errors);
            pending.extend(next_contents[i].as_ref().map(|(at_us, _)| Reverse((*at_us, i))));
        }
        let clock_offsets = collector.finish().solve(names.len());
        let mut merge = Self {
            softswitches: names.clone(),
            homes,
            clock_offsets,
            runs: open_runs(),
            pending: BinaryHeap::new(),
            next_entries: Vec::new(),
            causes: HashMap::new(),
            causes_by_time: BTreeMap::new(),
            last_us: 0,
            file_errors,
            effects_without_cause: 0,
        };
        for i in 0..merge.runs.len() {
            merge.next_entries.push(None);
            merge.advance(i);
        }
        merge
    }

    /// Names of the softswitches.
    pub fn softswitches(&self) -> &[String] {
        &self.softswitches
    }

    /// Numbers of their home exchanges, in the order of [`Merge::softswitches`].
    pub fn home_exchanges(&self) -> &[Option<u32>] {
        &self.homes
    }

    /// Offsets of their clocks.
    pub fn clock_offsets(&self) -> &ClockOffsets {
        &self.clock_offsets
    }

    /// Errors of files that could not be opened again after [`Archive::open`] had read their headers. An error while a
    /// file is read only ends that file and is not reported.
    pub fn file_errors(&self) -> &[FileError] {
        &self.file_errors
    }

    /// Queues the next entry of a run.
    fn advance(&mut self, i: usize) {
        // The first pass has already reported these errors.
        let mut known_errors = Vec::new();
        let next = self.runs[i].next(&mut known_errors);
        drop(known_errors);
        self.next_entries[i] = next.map(|(local_us, content)| {
            let at_us = self.clock_offsets.correct(self.runs[i].softswitch, local_us);
            self.pending.push(Reverse((at_us, i)));
            (local_us, at_us, content)
        });
    }

    fn home(&self, softswitch: usize) -> Option<u32> {
        self.homes[softswitch]
    }

    /// The cause at another softswitch that must precede this entry, if there is one, and the exchange of that
    /// softswitch.
    fn cause(&self, softswitch: usize, content: &EntryContent) -> Option<(Cause, u32)> {
        let EntryContent::Event(event) = content else { return None };
        match event {
            Event::SetUp { call, transit_from: Some(from), .. } => {
                Some((Cause::Sent(*call, *from, self.home(softswitch)?), *from))
            }
            Event::Answered { call, exchange, .. } => {
                // A direct call is answered by the exchange itself, which records nothing.
                let sent = self.causes.contains_key(&Cause::Sent(*call, self.home(softswitch)?, *exchange));
                let arrived = self.causes.contains_key(&Cause::Answered(*call, u32::MAX - *exchange));
                (sent && arrived).then_some((Cause::Answered(*call, *exchange), *exchange))
            }
            _ => None,
        }
    }

    /// Stores the causes that this entry constitutes, and removes expired ones.
    fn add_causes(&mut self, softswitch: usize, content: &EntryContent, at_us: u64) {
        let (EntryContent::Event(event), Some(home)) = (content, self.home(softswitch)) else { return };
        let new_causes: Vec<Cause> = match event {
            Event::Attempt { call, exchange, .. } => vec![Cause::Sent(*call, home, *exchange)],
            // The arrival of a call in transit: only then is the answer there a cause.
            Event::SetUp { call, transit_from: Some(_), .. } => vec![Cause::Answered(*call, u32::MAX - home)],
            Event::Answered { call, .. } => vec![Cause::Answered(*call, home)],
            _ => return,
        };
        for cause in new_causes {
            self.causes.insert(cause, at_us);
            self.causes_by_time.entry(at_us).or_default().push(cause);
        }
        while let Some(entry) = self.causes_by_time.first_entry()
            && entry.key() + CAUSE_RETENTION_US < at_us
        {
            for cause in entry.remove() {
                if self.causes.get(&cause).is_some_and(|at| at + CAUSE_RETENTION_US < at_us) {
                    self.causes.remove(&cause);
                }
            }
        }
    }

    /// Whether there are more records of the softswitch of this exchange.
    fn has_more_records(&self, exchange: u32) -> bool {
        let mut runs = self.runs.iter().zip(&self.next_entries);
        runs.any(|(run, next_entry)| next_entry.is_some() && self.homes[run.softswitch] == Some(exchange))
    }
}

impl Iterator for Merge {
    type Item = TimelineEntry;

    fn next(&mut self) -> Option<TimelineEntry> {
        loop {
            let Reverse((at_us, i)) = self.pending.pop()?;
            let Some((local_us, first_us, content)) = self.next_entries[i].take() else { continue };
            let softswitch = self.runs[i].softswitch;
            if let Some((cause, exchange)) = self.cause(softswitch, &content)
                && !self.causes.contains_key(&cause)
            {
                if at_us < first_us + MAX_EFFECT_DELAY_US && self.has_more_records(exchange) {
                    self.pending.push(Reverse((at_us + EFFECT_DELAY_STEP_US, i)));
                    self.next_entries[i] = Some((local_us, first_us, content));
                    continue;
                }
                self.effects_without_cause += 1;
            }
            self.last_us = self.last_us.max(at_us);
            self.add_causes(softswitch, &content, self.last_us);
            self.advance(i);
            return Some(TimelineEntry { at_us: self.last_us, local_us, softswitch, content });
        }
    }
}
