//! The thread that does the blocking work on the disk: the replica's journal, and the saved state of the registries.

use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use spdlog::warn;
use tokio::sync::{mpsc as reports, oneshot};
use whinspindle_replica::DurableWrite;
use whinspindle_storage::{
    FolderDirectory, FormatError, Journal, RecoveredState, StorageError, check_format,
};

use super::prefixed_directory::PrefixedDirectory;

/// The time between two attempts to open a disk that can't be read.
const REOPEN_BACKOFF: Duration = Duration::from_millis(200);
/// The version of the format that this release writes: that of its durable records, checkpoints and saved state. A change
/// after which an earlier release can't read them raises it.
const FORMAT_VERSION: u32 = 1;
/// The prefix of the files that hold the saved state.
const SAVED_STATE_PREFIX: &str = "memory-";

/// Why the disk's thread can't be used.
#[derive(Debug, Snafu)]
pub enum DiskError {
    /// The operating system refused the thread.
    #[snafu(display("the thread for the disk can't be started"))]
    Thread {
        /// What the system reports.
        source: std::io::Error,
    },
    /// The thread ended before it had opened the disk.
    #[snafu(display("the thread for the disk has ended"))]
    Ended,
    /// The folder is of a release that this one can't read. Nothing in it was changed.
    #[snafu(display("{source}"))]
    Format {
        /// The version of the folder.
        source: FormatError,
    },
}

/// The handle of the disk's thread: queues writes.
pub struct Disk {
    jobs: mpsc::Sender<Job>,
}

/// A finished job of the disk's thread.
#[derive(Debug, PartialEq, Eq)]
pub enum DiskReport {
    Persisted {
        tokens: Vec<u64>,
        log_bytes: usize,
    },
    PersistFailed {
        tokens: Vec<u64>,
    },
    Compacted,
    /// The state that an earlier process saved.
    StateRestored {
        state: Vec<u8>,
    },
    /// A write of saved state has ended, successful or not.
    StateSaved,
}

enum Job {
    Persist { token: u64, write: DurableWrite },
    Compact { state: Vec<u8> },
    SaveState { state: Vec<u8> },
}

/// The result of [`open`].
pub struct OpenedDisk {
    pub disk: Disk,
    pub recovered: RecoveredState,
    /// The files of the disk were damaged and have been discarded.
    pub was_damaged: bool,
    pub reports: reports::UnboundedReceiver<DiskReport>,
}

/// Opens the journal in a folder, on a thread of its own; waits until the disk can be read. The state that
/// an earlier process saved is reported only if the controller restores it.
pub async fn open(folder: PathBuf, restores_state: bool) -> Result<OpenedDisk, DiskError> {
    let (jobs, job_receiver) = mpsc::channel();
    let (report_sender, reports) = reports::unbounded_channel();
    let (opened_sender, opened) = oneshot::channel();
    let work = move || {
        let opened = match open_journal(&folder) {
            Ok(opened) => opened,
            Err(failure) => {
                // The receiver is gone only if the process is stopping.
                let _ = opened_sender.send(Err(failure));
                return;
            }
        };
        if opened_sender.send(Ok((opened.recovered, opened.was_damaged))).is_ok() {
            let OpenedJournal { files, journal, .. } = opened;
            let mut worker =
                Worker { files, journal, saved_state: None, jobs: job_receiver, reports: report_sender };
            if restores_state {
                worker.report_saved_state();
            }
            worker.run();
        }
    };
    thread::Builder::new().name("disk".to_owned()).spawn(work).context(ThreadSnafu)?;
    let opened = opened.await.ok().ok_or(DiskError::Ended)?;
    let (recovered, was_damaged) = opened.context(FormatSnafu)?;
    Ok(OpenedDisk { disk: Disk { jobs }, recovered, was_damaged, reports })
}

impl Disk {
    /// Makes a write durable; the report carries its token.
    pub fn persist(&self, token: u64, write: DurableWrite) {
        self.send(Job::Persist { token, write });
    }

    /// Writes a checkpoint that takes the place of the log so far.
    pub fn compact(&self, state: Vec<u8>) {
        self.send(Job::Compact { state });
    }

    /// Writes the state that a restarted process restores, in place of the one before.
    pub fn save_state(&self, state: Vec<u8>) {
        self.send(Job::SaveState { state });
    }

    fn send(&self, job: Job) {
        // The thread ends only with the process.
        let _ = self.jobs.send(job);
    }
}

struct OpenedJournal {
    files: PrefixedDirectory,
    journal: Journal<PrefixedDirectory>,
    recovered: RecoveredState,
    was_damaged: bool,
}

/// Retries until the disk can be read. Damaged files are discarded: the node then joins again like one whose disk was lost.
/// A folder of a format that this release can't read is left alone.
fn open_journal(folder: &Path) -> Result<OpenedJournal, FormatError> {
    let mut was_damaged = false;
    let mut warned = false;
    loop {
        let failure = match open_once(folder) {
            Ok((files, journal, recovered)) => {
                return Ok(OpenedJournal { files, journal, recovered, was_damaged });
            }
            Err(OpenError::Format(refused)) => return Err(refused),
            Err(OpenError::Storage(failure)) => failure,
        };
        if !warned {
            warn!("the disk can't be used yet: {failure}");
            warned = true;
        }
        if matches!(failure, StorageError::Damaged { .. }) && discard_journal(folder).is_ok() {
            was_damaged = true;
        }
        thread::sleep(REOPEN_BACKOFF);
    }
}

/// Why an attempt to open the disk has failed.
enum OpenError {
    /// It is not tried again.
    Format(FormatError),
    /// It is tried again.
    Storage(StorageError),
}

impl From<StorageError> for OpenError {
    fn from(failure: StorageError) -> Self {
        OpenError::Storage(failure)
    }
}

impl From<FormatError> for OpenError {
    fn from(failure: FormatError) -> Self {
        match failure {
            FormatError::Disk { source } => OpenError::Storage(source.into()),
            refused => OpenError::Format(refused),
        }
    }
}

fn open_once(
    folder: &Path,
) -> Result<(PrefixedDirectory, Journal<PrefixedDirectory>, RecoveredState), OpenError> {
    let mut files = PrefixedDirectory::new(FolderDirectory::open(folder).map_err(StorageError::from)?);
    check_format(&mut files, FORMAT_VERSION)?;
    let (journal, recovered) = Journal::open(files.clone())?;
    Ok((files, journal, recovered))
}

fn discard_journal(folder: &Path) -> Result<(), StorageError> {
    let mut files = FolderDirectory::open(folder)?;
    Journal::discard(&mut files)
}

struct Worker {
    files: PrefixedDirectory,
    journal: Journal<PrefixedDirectory>,
    /// None while its files can't be used.
    saved_state: Option<Journal<PrefixedDirectory>>,
    jobs: mpsc::Receiver<Job>,
    reports: reports::UnboundedSender<DiskReport>,
}

/// Appends that one sync makes durable together.
#[derive(Default)]
struct Batch {
    tokens: Vec<u64>,
    records: Vec<Vec<u8>>,
}

impl Worker {
    fn run(mut self) {
        while let Ok(first) = self.jobs.recv() {
            let mut batch = Batch::default();
            let waiting: Vec<Job> = std::iter::once(first).chain(self.jobs.try_iter()).collect();
            for job in waiting {
                self.take(job, &mut batch);
            }
            self.append(&mut batch);
        }
    }

    fn take(&mut self, job: Job, batch: &mut Batch) {
        match job {
            Job::Persist { token, write: DurableWrite::Append(records) } => {
                batch.tokens.push(token);
                batch.records.extend(records);
            }
            Job::Persist { token, write: DurableWrite::Checkpoint(state) } => {
                self.append(batch);
                let result = self.journal.checkpoint(&state);
                self.report(vec![token], result);
            }
            Job::Compact { state } => {
                self.append(batch);
                if let Err(failure) = self.journal.checkpoint(&state) {
                    warn!("a checkpoint was not written: {failure}");
                }
                self.send(DiskReport::Compacted);
            }
            Job::SaveState { state } => {
                self.append(batch);
                if let Err(failure) = self.save_state(&state) {
                    warn!("the state for the next restart was not written: {failure}");
                }
                self.send(DiskReport::StateSaved);
            }
        }
    }

    fn report_saved_state(&mut self) {
        match self.open_saved_state() {
            Ok(Some(state)) => self.send(DiskReport::StateRestored { state }),
            Ok(None) => {}
            Err(failure) => warn!("the saved state can't be read: {failure}"),
        }
    }

    /// Opens the saved state and returns it. Damaged files are discarded: the controller can start without them.
    fn open_saved_state(&mut self) -> Result<Option<Vec<u8>>, StorageError> {
        let files = self.files.with_prefix(SAVED_STATE_PREFIX);
        let opened = match Journal::open(files.clone()) {
            Err(StorageError::Damaged { .. }) => {
                Journal::discard(&mut files.clone())?;
                Journal::open(files)
            }
            opened => opened,
        };
        let (journal, recovered) = opened?;
        self.saved_state = Some(journal);
        Ok(recovered.checkpoint)
    }

    fn save_state(&mut self, state: &[u8]) -> Result<(), StorageError> {
        if self.saved_state.is_none() {
            self.open_saved_state()?;
        }
        self.saved_state.as_mut().map_or(Ok(()), |journal| journal.checkpoint(state))
    }

    fn append(&mut self, batch: &mut Batch) {
        let Batch { tokens, records } = std::mem::take(batch);
        if tokens.is_empty() {
            return;
        }
        let result = self.journal.append(&records);
        self.report(tokens, result);
    }

    fn report(&self, tokens: Vec<u64>, result: Result<(), StorageError>) {
        self.send(match result {
            Ok(()) => DiskReport::Persisted { tokens, log_bytes: self.journal.log_bytes() },
            Err(failure) => {
                warn!("a write to the disk failed: {failure}");
                DiskReport::PersistFailed { tokens }
            }
        });
    }

    fn send(&self, report: DiskReport) {
        // The receiver ends only with the process.
        let _ = self.reports.send(report);
    }
}
