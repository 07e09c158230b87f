//! Recording without blocking the caller on disk I/O: a bounded queue and a writer thread that rotates the files.

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

/// Interval at which the writer thread polls the queue. A wake-up per record would cost the event loop more than the
/// record itself.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A block is written after this time even if it is not full, which limits what a crash can lose.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// A small stack is enough for the writer thread: the compressor keeps its state on the heap.
const WRITER_STACK_BYTES: usize = 256 * 1024;

/// Where records are written, and their limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecorderSettings {
    /// Directory for the files; created if it does not exist.
    pub directory: PathBuf,
    /// Size at which a file is closed, in bytes.
    pub max_file_bytes: u64,
    /// Age at which a file is closed.
    pub max_file_age: Duration,
    /// Limit of the total size of all record files in the directory, in bytes; the oldest are removed first.
    pub budget_bytes: u64,
    /// Capacity of the queue to the writer thread, in records.
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

/// Why recording cannot start or has stopped.
#[derive(Debug, Error)]
pub enum RecorderError {
    /// An operation on the directory or on a file in it failed.
    #[error("records in {}: {error}", directory.display())]
    Storage {
        /// The directory.
        directory: PathBuf,
        /// The I/O error.
        error: io::Error,
    },
    /// The writer thread could not be started.
    #[error("cannot start the thread that writes records: {0}")]
    Thread(io::Error),
}

/// Storage for record files.
pub trait Storage: Send + 'static {
    /// A file open for writing.
    type File: Write + Send;

    /// Creates a new file.
    ///
    /// # Errors
    /// If the file exists or cannot be created.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Names and sizes in bytes of all files.
    ///
    /// # Errors
    /// If the files cannot be listed.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;

    /// Removes a file.
    ///
    /// # Errors
    /// If the file cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory of the file system.
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

/// Request to stop: the number of lost records that is not yet recorded, and the time of the last record.
type StopRequest = (u64, u64);

/// Hands records over to the writer thread. [`Recorder::record`] never blocks.
#[derive(Debug)]
pub struct Recorder {
    queue: Sender<Record>,
    stop: Sender<StopRequest>,
    finished: Receiver<()>,
    has_failed: Arc<AtomicBool>,
    /// Records lost since the last one that was queued.
    lost_count: u64,
    last_us: u64,
}

impl Recorder {
    /// Starts the writer thread. Creates the first file before it returns, so that an unusable directory is reported at
    /// once. An error that ends recording later is passed to `on_error`, once.
    ///
    /// # Errors
    /// If the first file or the thread cannot be created.
    pub fn start(
        settings: RecorderSettings,
        header: FileHeader,
        on_error: impl Fn(&RecorderError) + Send + 'static,
    ) -> Result<Self, RecorderError> {
        let storage = DirectoryStorage(settings.directory.clone());
        Self::start_with_storage(storage, settings, header, on_error)
    }

    /// Like [`Recorder::start`], with another [`Storage`]. `settings.directory` only appears in error messages.
    ///
    /// # Errors
    /// If the first file or the thread cannot be created.
    pub fn start_with_storage<S: Storage>(
        storage: S,
        settings: RecorderSettings,
        header: FileHeader,
        on_error: impl Fn(&RecorderError) + Send + 'static,
    ) -> Result<Self, RecorderError> {
        let directory = settings.directory.clone();
        let storage_error = move |error| RecorderError::Storage { directory: directory.clone(), error };
        let (queue, records) = bounded(settings.max_queued_records.max(1));
        let (stop, stop_requests) = bounded(1);
        let (finished_sender, finished) = bounded(1);
        let has_failed = Arc::new(AtomicBool::new(false));
        let last_us = header.run_started_us;
        let mut writer = Writer::open(storage, settings, header).map_err(&storage_error)?;
        let failure_flag = has_failed.clone();
        let run_writer = move || {
            if let Err(error) = writer.run(&records, &stop_requests) {
                failure_flag.store(true, Ordering::Relaxed);
                on_error(&storage_error(error));
            }
            let _ = finished_sender.send(());
        };
        let builder = Builder::new().name("records".to_owned()).stack_size(WRITER_STACK_BYTES);
        builder.spawn(run_writer).map_err(RecorderError::Thread)?;
        Ok(Self { queue, stop, finished, has_failed, lost_count: 0, last_us })
    }

    /// Queues a record. If the queue is full the record is lost, and an [`Event::RecordsLost`] with the number of lost
    /// records is recorded in their place.
    pub fn record(&mut self, record: Record) {
        if self.has_failed.load(Ordering::Relaxed) {
            return;
        }
        self.last_us = record.at_us;
        if self.lost_count > 0 {
            let lost_records =
                Record { at_us: record.at_us, event: Event::RecordsLost { records: self.lost_count } };
            if self.queue.try_send(lost_records).is_err() {
                self.lost_count += 1;
                return;
            }
            self.lost_count = 0;
        }
        if let Err(TrySendError::Full(_)) = self.queue.try_send(record) {
            self.lost_count += 1;
        }
    }

    /// Whether records are still written; `false` after an error.
    pub fn is_recording(&self) -> bool {
        !self.has_failed.load(Ordering::Relaxed)
    }

    /// Writes all queued records and closes the file cleanly. Waits no longer than `timeout`; returns whether it has
    /// succeeded by then.
    pub fn stop(self, timeout: Duration) -> bool {
        let _ = self.stop.try_send((self.lost_count, self.last_us));
        self.finished.recv_timeout(timeout).is_ok() && self.is_recording()
    }
}

/// State of the writer thread.
struct Writer<S: Storage> {
    storage: S,
    settings: RecorderSettings,
    header: FileHeader,
    file: Option<FileWriter<S::File>>,
    opened_at: Instant,
    flushed_at: Instant,
    /// Records of the current state, which are repeated at the start of each later file. The key is a number for the
    /// kind of event, and the number and name of the exchange for events that concern one.
    context: BTreeMap<(u8, u32, String), Record>,
}

impl<S: Storage> Writer<S> {
    fn open(mut storage: S, settings: RecorderSettings, header: FileHeader) -> io::Result<Self> {
        let file = FileWriter::create(storage.create(&file_name(&header))?, &header)?;
        let now = Instant::now();
        let (file, context) = (Some(file), BTreeMap::new());
        let mut writer = Self { storage, settings, header, file, opened_at: now, flushed_at: now, context };
        writer.enforce_budget()?;
        Ok(writer)
    }

    fn run(&mut self, records: &Receiver<Record>, stop_requests: &Receiver<StopRequest>) -> io::Result<()> {
        loop {
            // A recorder that was dropped without a request stops the thread as well.
            let stop_request = match stop_requests.recv_timeout(POLL_INTERVAL) {
                Ok(stop_request) => Some(stop_request),
                Err(error) => error.is_disconnected().then_some((0, 0)),
            };
            // At most one full queue: records that keep arriving must not delay flush and rotation indefinitely.
            for record in records.try_iter().take(self.settings.max_queued_records.max(1)) {
                self.write(&record)?;
            }
            if let Some((lost_count, at_us)) = stop_request {
                // All records that precede the request are in the queue by now.
                for record in records.try_iter() {
                    self.write(&record)?;
                }
                if lost_count > 0 {
                    self.write(&Record { at_us, event: Event::RecordsLost { records: lost_count } })?;
                }
                return self.file.take().map_or(Ok(()), |file| file.finish()?.flush());
            }
            if self.flushed_at.elapsed() >= FLUSH_INTERVAL {
                self.flushed_at = Instant::now();
                if let Some(file) = &mut self.file {
                    file.flush()?;
                }
            }
            self.rotate_if_due()?;
        }
    }

    fn write(&mut self, record: &Record) -> io::Result<()> {
        self.update_context(record);
        if let Some(file) = &mut self.file {
            file.push(record)?;
        }
        // The size is checked after each record, so that a full queue cannot take the file far beyond its limit. The
        // age is checked once per poll.
        let full = self.file.as_ref().is_some_and(|file| self.retention().is_full(file.written_bytes()));
        if full { self.rotate() } else { Ok(()) }
    }

    fn update_context(&mut self, record: &Record) {
        let no_name = String::new;
        let key = match &record.event {
            Event::Started { .. } => (0, 0, no_name()),
            Event::Classes(_) => (1, 0, no_name()),
            Event::Exchange { exchange, name, .. } => (2, *exchange, name.clone()),
            Event::Group { exchange, .. } => (3, *exchange, no_name()),
            Event::Avoidance { exchange, .. } => (4, *exchange, no_name()),
            Event::Drain { .. } => (5, 0, no_name()),
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
        let due = self.retention().is_due(file.written_bytes(), self.opened_at.elapsed());
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
        self.header.file_number += 1;
        let mut file = FileWriter::create(self.storage.create(&file_name(&self.header))?, &self.header)?;
        file.write_context(self.context.values())?;
        self.file = Some(file);
        self.opened_at = Instant::now();
        self.enforce_budget()
    }

    /// Removes old files until the others and the file just opened fit into the budget.
    fn enforce_budget(&mut self) -> io::Result<()> {
        for name in self.retention().files_to_remove(&self.storage.list()?) {
            match self.storage.remove(&name) {
                // Another softswitch that shares the directory has already removed it.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                removed => removed?,
            }
        }
        Ok(())
    }
}
