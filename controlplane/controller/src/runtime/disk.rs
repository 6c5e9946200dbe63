//! The thread that performs blocking disk operations on the replica's journal and on the saved state of the
//! registries.

use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use spdlog::warn;
use tokio::sync::{mpsc as async_mpsc, oneshot};
use whinspindle_replica::DurableWrite;
use whinspindle_storage::{
    FolderDirectory, FormatError, Journal, RecoveredState, StorageError, check_format,
};

use super::prefixed_directory::PrefixedDirectory;

/// The time between two attempts to open the disk.
const REOPEN_BACKOFF: Duration = Duration::from_millis(200);
/// The version of the format in which this release writes its durable records, checkpoints and saved state.
/// It increases with each change after which an earlier release cannot read them.
const FORMAT_VERSION: u32 = 1;
/// The file name prefix of the saved state.
const SAVED_STATE_PREFIX: &str = "memory-";

/// An error while starting the disk thread or opening the disk.
#[derive(Debug, Snafu)]
pub enum DiskError {
    /// The operating system could not create the thread.
    #[snafu(display("could not start the disk thread"))]
    Thread {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The thread ended before it had opened the disk.
    #[snafu(display("the disk thread ended unexpectedly"))]
    Ended,
    /// The folder was written by a release whose format this release cannot read. The folder is unchanged.
    #[snafu(display("{source}"))]
    Format {
        /// The format error, with the version of the folder.
        source: FormatError,
    },
}

/// A handle that queues writes for the disk thread.
pub struct Disk {
    jobs: mpsc::Sender<Job>,
}

/// A finished job of the disk thread.
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
    /// The state that an earlier process saved was read.
    StateRestored {
        state: Vec<u8>,
    },
    /// A write of saved state has succeeded or failed.
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
    /// Whether the files were damaged and have been discarded.
    pub was_damaged: bool,
    pub reports: async_mpsc::UnboundedReceiver<DiskReport>,
}

/// Starts the disk thread, opens the journal in a folder, and waits until the disk can be read. The saved
/// state of an earlier process is reported only if `should_restore_state` is true.
pub async fn open(folder: PathBuf, should_restore_state: bool) -> Result<OpenedDisk, DiskError> {
    let (jobs, job_receiver) = mpsc::channel();
    let (report_sender, reports) = async_mpsc::unbounded_channel();
    let (opened_sender, opened) = oneshot::channel();
    let run_thread = move || {
        let opened = match open_journal(&folder) {
            Ok(opened) => opened,
            Err(error) => {
                // The receiver is dropped only when the process is stopping.
                let _ = opened_sender.send(Err(error));
                return;
            }
        };
        if opened_sender.send(Ok((opened.recovered, opened.was_damaged))).is_ok() {
            let OpenedJournal { files, journal, .. } = opened;
            let mut worker =
                Worker { files, journal, saved_state: None, jobs: job_receiver, reports: report_sender };
            if should_restore_state {
                worker.report_saved_state();
            }
            worker.run();
        }
    };
    thread::Builder::new().name("disk".to_owned()).spawn(run_thread).context(ThreadSnafu)?;
    let opened = opened.await.ok().ok_or(DiskError::Ended)?;
    let (recovered, was_damaged) = opened.context(FormatSnafu)?;
    Ok(OpenedDisk { disk: Disk { jobs }, recovered, was_damaged, reports })
}

impl Disk {
    /// Makes a write durable. The report carries the token.
    pub fn persist(&self, token: u64, write: DurableWrite) {
        self.send(Job::Persist { token, write });
    }

    /// Writes a checkpoint that replaces the current log.
    pub fn compact(&self, state: Vec<u8>) {
        self.send(Job::Compact { state });
    }

    /// Saves the state that a restarted process restores, replacing the previously saved state.
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

/// Opens the journal, and retries until the disk can be read. Damaged files are discarded, and the node then
/// rejoins like one whose disk was lost. A folder in a format that this release cannot read is not modified.
fn open_journal(folder: &Path) -> Result<OpenedJournal, FormatError> {
    let mut was_damaged = false;
    let mut has_warned = false;
    loop {
        let error = match open_once(folder) {
            Ok((files, journal, recovered)) => {
                return Ok(OpenedJournal { files, journal, recovered, was_damaged });
            }
            Err(OpenError::Format(error)) => return Err(error),
            Err(OpenError::Storage(error)) => error,
        };
        if !has_warned {
            warn!("could not open the disk, retrying: {error}");
            has_warned = true;
        }
        if matches!(error, StorageError::Damaged { .. }) && discard_journal(folder).is_ok() {
            was_damaged = true;
        }
        thread::sleep(REOPEN_BACKOFF);
    }
}

/// The error of an attempt to open the disk.
enum OpenError {
    /// A permanent error, after which opening is not retried.
    Format(FormatError),
    /// A temporary error, after which opening is retried.
    Storage(StorageError),
}

impl From<StorageError> for OpenError {
    fn from(error: StorageError) -> Self {
        OpenError::Storage(error)
    }
}

impl From<FormatError> for OpenError {
    fn from(error: FormatError) -> Self {
        match error {
            FormatError::Disk { source } => OpenError::Storage(source.into()),
            permanent => OpenError::Format(permanent),
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
    /// None until the files of the saved state could be opened.
    saved_state: Option<Journal<PrefixedDirectory>>,
    jobs: mpsc::Receiver<Job>,
    reports: async_mpsc::UnboundedSender<DiskReport>,
}

/// Log records that are appended together, with a single sync.
#[derive(Default)]
struct Batch {
    tokens: Vec<u64>,
    records: Vec<Vec<u8>>,
}

impl Worker {
    fn run(mut self) {
        while let Ok(first_job) = self.jobs.recv() {
            let mut batch = Batch::default();
            let queued_jobs: Vec<Job> = std::iter::once(first_job).chain(self.jobs.try_iter()).collect();
            for job in queued_jobs {
                self.perform(job, &mut batch);
            }
            self.append_batch(&mut batch);
        }
    }

    fn perform(&mut self, job: Job, batch: &mut Batch) {
        match job {
            Job::Persist { token, write: DurableWrite::Append(records) } => {
                batch.tokens.push(token);
                batch.records.extend(records);
            }
            Job::Persist { token, write: DurableWrite::Checkpoint(state) } => {
                self.append_batch(batch);
                let result = self.journal.checkpoint(&state);
                self.report_write(vec![token], result);
            }
            Job::Compact { state } => {
                self.append_batch(batch);
                if let Err(error) = self.journal.checkpoint(&state) {
                    warn!("could not write a checkpoint: {error}");
                }
                self.send(DiskReport::Compacted);
            }
            Job::SaveState { state } => {
                self.append_batch(batch);
                if let Err(error) = self.save_state(&state) {
                    warn!("could not save the state for the next restart: {error}");
                }
                self.send(DiskReport::StateSaved);
            }
        }
    }

    fn report_saved_state(&mut self) {
        match self.open_saved_state() {
            Ok(Some(state)) => self.send(DiskReport::StateRestored { state }),
            Ok(None) => {}
            Err(error) => warn!("could not read the saved state: {error}"),
        }
    }

    /// Opens the saved state and returns it. Damaged files are discarded, since the controller can start
    /// without them.
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

    fn append_batch(&mut self, batch: &mut Batch) {
        let Batch { tokens, records } = std::mem::take(batch);
        if tokens.is_empty() {
            return;
        }
        let result = self.journal.append(&records);
        self.report_write(tokens, result);
    }

    fn report_write(&self, tokens: Vec<u64>, result: Result<(), StorageError>) {
        self.send(match result {
            Ok(()) => DiskReport::Persisted { tokens, log_bytes: self.journal.log_bytes() },
            Err(error) => {
                warn!("a write to the disk failed: {error}");
                DiskReport::PersistFailed { tokens }
            }
        });
    }

    fn send(&self, report: DiskReport) {
        // The receiver is dropped only when the process ends.
        let _ = self.reports.send(report);
    }
}
