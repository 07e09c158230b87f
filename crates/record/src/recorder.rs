//! Recording in a program that must never wait for a disk: a bounded queue, a thread that writes, files that rotate.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Builder;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use thiserror::Error;

use crate::event::{Event, ListedReadiness, Record};
use crate::format::FileHeader;
use crate::retention::{Retention, file_name};
use crate::write::FileWriter;

/// The writer looks at the queue this often. It is not woken: a wake-up for each record would cost the loop more than
/// the record itself.
const POLL: Duration = Duration::from_millis(50);
/// A block that has begun is written after this time, full or not: what a crash can cost.
const FLUSH: Duration = Duration::from_millis(500);
/// Stack of the writer; the compressor keeps its state on the heap.
const STACK: usize = 256 * 1024;

/// How records are kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecorderSettings {
    /// DirectoryStorage for the files; it is made if it is not there.
    pub directory: PathBuf,
    /// A file is closed once it has so many bytes.
    pub max_file_bytes: u64,
    /// A file is closed once it is this old.
    pub max_file_age: Duration,
    /// All record files of the folder together may have so many bytes; the oldest go first.
    pub budget_bytes: u64,
    /// Records that may wait for the writer.
    pub max_queued_records: usize,
}

impl Default for RecorderSettings {
    fn default() -> Self {
        Self {
            directory: PathBuf::from("records"),
            max_file_bytes: 64 << 20,
            max_file_age: Duration::from_secs(3_600),
            budget_bytes: 2 << 30,
            max_queued_records: 16_384,
        }
    }
}

/// Why nothing is recorded, or no longer.
#[derive(Debug, Error)]
pub enum RecorderError {
    /// The folder or a file in it.
    #[error("records in {}: {error}", place.display())]
    Storage {
        /// The folder.
        place: PathBuf,
        /// The system's word.
        error: io::Error,
    },
    /// The writer's thread cannot be had.
    #[error("thread for records: {0}")]
    Thread(io::Error),
}

/// Where files are kept.
pub trait Storage: Send + 'static {
    /// A file that is being written.
    type File: Write + Send;

    /// Makes a new file.
    ///
    /// # Errors
    /// Of the system.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Names and sizes of all files.
    ///
    /// # Errors
    /// Of the system.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;

    /// Removes a file.
    ///
    /// # Errors
    /// Of the system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder of the system.
#[derive(Clone, Debug)]
pub struct DirectoryStorage(pub PathBuf);

impl Storage for DirectoryStorage {
    type File = BufWriter<File>;

    fn create(&mut self, name: &str) -> io::Result<Self::File> {
        fs::create_dir_all(&self.0)?;
        let file = OpenOptions::new().write(true).create_new(true).open(self.0.join(name))?;
        Ok(BufWriter::new(file))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.0)? {
            let entry = entry?;
            if let Ok(name) = entry.file_name().into_string() {
                files.push((name, entry.metadata().map_or(0, |data| data.len())));
            }
        }
        Ok(files)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}

/// The order to end: records that were lost and not yet told, and when.
type Order = (u64, u64);

/// The side of the program: hands records over and never waits.
#[derive(Debug)]
pub struct Recorder {
    queue: Sender<Record>,
    stop: Sender<Order>,
    done: Receiver<()>,
    failed: Arc<AtomicBool>,
    /// Records that found no room since one last did.
    lost: u64,
    last_us: u64,
}

impl Recorder {
    /// Starts the writer with a first file, so that a folder that cannot be used shows at once. What ends it later on
    /// is told to `trouble`, once.
    ///
    /// # Errors
    /// If the first file or the thread cannot be had.
    pub fn start(
        settings: RecorderSettings,
        head: FileHeader,
        trouble: impl Fn(&RecorderError) + Send + 'static,
    ) -> Result<Self, RecorderError> {
        let folder = DirectoryStorage(settings.directory.clone());
        Self::start_with_storage(folder, settings, head, trouble)
    }

    /// The same with a storage of another kind.
    ///
    /// # Errors
    /// If the first file or the thread cannot be had.
    pub fn start_with_storage<S: Storage>(
        storage: S,
        settings: RecorderSettings,
        head: FileHeader,
        trouble: impl Fn(&RecorderError) + Send + 'static,
    ) -> Result<Self, RecorderError> {
        let place = settings.directory.clone();
        let failing = move |error| RecorderError::Storage { place: place.clone(), error };
        let (queue, records) = bounded(settings.max_queued_records.max(1));
        let (stop, stopping) = bounded(1);
        let (ended, done) = bounded(1);
        let failed = Arc::new(AtomicBool::new(false));
        let last_us = head.run_started_us;
        let mut writer = Writer::open(storage, settings, head).map_err(&failing)?;
        let has_failed = failed.clone();
        let work = move || {
            if let Err(error) = writer.run(&records, &stopping) {
                has_failed.store(true, Ordering::Relaxed);
                trouble(&failing(error));
            }
            let _ = ended.send(());
        };
        let builder = Builder::new().name("records".to_owned()).stack_size(STACK);
        builder.spawn(work).map_err(RecorderError::Thread)?;
        Ok(Self { queue, stop, done, failed, lost: 0, last_us })
    }

    /// Hands a record over. One that finds no room is lost, and so counted that the count is recorded in its place.
    pub fn record(&mut self, record: Record) {
        if self.failed.load(Ordering::Relaxed) {
            return;
        }
        self.last_us = record.at_us;
        if self.lost > 0 {
            let told = Record { at_us: record.at_us, event: Event::RecordsLost { records: self.lost } };
            if self.queue.try_send(told).is_err() {
                self.lost += 1;
                return;
            }
            self.lost = 0;
        }
        if let Err(TrySendError::Full(_)) = self.queue.try_send(record) {
            self.lost += 1;
        }
    }

    /// Whether anything is still recorded.
    pub fn is_recording(&self) -> bool {
        !self.failed.load(Ordering::Relaxed)
    }

    /// Has what waits written and the file closed in good order, for this long at most. Returns whether it was.
    pub fn stop(self, limit: Duration) -> bool {
        let _ = self.stop.try_send((self.lost, self.last_us));
        self.done.recv_timeout(limit).is_ok() && self.is_recording()
    }
}

/// The side of the thread.
struct Writer<S: Storage> {
    storage: S,
    settings: RecorderSettings,
    head: FileHeader,
    file: Option<FileWriter<S::File>>,
    opened: Instant,
    flushed: Instant,
    /// What a reader of a later file needs of earlier ones.
    context: BTreeMap<(u8, u32, String), Record>,
}

impl<S: Storage> Writer<S> {
    fn open(mut storage: S, settings: RecorderSettings, head: FileHeader) -> io::Result<Self> {
        let file = FileWriter::create(storage.create(&file_name(&head))?, &head)?;
        let now = Instant::now();
        let (file, context) = (Some(file), BTreeMap::new());
        let mut writer = Self { storage, settings, head, file, opened: now, flushed: now, context };
        writer.make_room()?;
        Ok(writer)
    }

    fn run(&mut self, records: &Receiver<Record>, stopping: &Receiver<Order>) -> io::Result<()> {
        loop {
            // A sender that is gone without a word means the same as the order.
            let order = match stopping.recv_timeout(POLL) {
                Ok(order) => Some(order),
                Err(error) => error.is_disconnected().then_some((0, 0)),
            };
            // No more than were there: whoever records without end must not keep the file from its turn.
            for record in records.try_iter().take(self.settings.max_queued_records.max(1)) {
                self.write(&record)?;
            }
            if let Some((lost, at_us)) = order {
                // Whatever was handed over before the order is in the queue by now.
                for record in records.try_iter() {
                    self.write(&record)?;
                }
                if lost > 0 {
                    self.write(&Record { at_us, event: Event::RecordsLost { records: lost } })?;
                }
                return self.file.take().map_or(Ok(()), |file| file.finish()?.flush());
            }
            if self.flushed.elapsed() >= FLUSH {
                self.flushed = Instant::now();
                if let Some(file) = &mut self.file {
                    file.flush()?;
                }
            }
            self.rotate_if_due()?;
        }
    }

    fn write(&mut self, record: &Record) -> io::Result<()> {
        self.keep_context(record);
        if let Some(file) = &mut self.file {
            file.push(record)?;
        }
        // Within a burst too: a file must not outgrow its size by all that waits. Its age is looked at between bursts.
        let full = self.file.as_ref().is_some_and(|file| self.retention().is_full(file.written_bytes()));
        if full { self.rotate() } else { Ok(()) }
    }

    fn keep_context(&mut self, record: &Record) {
        let none = String::new;
        let key = match &record.event {
            Event::Started { .. } => (0, 0, none()),
            Event::Classes(_) => (1, 0, none()),
            Event::Exchange { exchange, name, .. } => (2, *exchange, name.clone()),
            Event::Group { exchange, .. } => (3, *exchange, none()),
            Event::Avoidance { exchange, .. } => (4, *exchange, none()),
            Event::Drain { .. } => (5, 0, none()),
            _ => return,
        };
        if matches!(&record.event, Event::Exchange { readiness: ListedReadiness::Removed, .. }) {
            self.context.remove(&key);
        } else {
            self.context.insert(key, record.clone());
        }
    }

    fn rotate_if_due(&mut self) -> io::Result<()> {
        let Some(file) = &self.file else { return Ok(()) };
        let due = self.retention().is_due(file.written_bytes(), self.opened.elapsed());
        if due { self.rotate() } else { Ok(()) }
    }

    fn retention(&self) -> Retention {
        let RecorderSettings { max_file_bytes, max_file_age, budget_bytes, .. } = self.settings;
        Retention { max_file_bytes, max_file_age, budget_bytes }
    }

    fn rotate(&mut self) -> io::Result<()> {
        if let Some(file) = self.file.take() {
            file.finish()?.flush()?;
        }
        self.head.file_number += 1;
        let mut file = FileWriter::create(self.storage.create(&file_name(&self.head))?, &self.head)?;
        file.write_context(self.context.values())?;
        self.file = Some(file);
        self.opened = Instant::now();
        self.make_room()
    }

    /// Removes old files until what is there and the file that has begun fit into the budget.
    fn make_room(&mut self) -> io::Result<()> {
        for name in self.retention().files_to_remove(&self.storage.list()?) {
            match self.storage.remove(&name) {
                // Another softswitch that shares the folder was first.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                removed => removed?,
            }
        }
        Ok(())
    }
}
