//! The thread that waits for the disk.

use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use spdlog::warn;
use tokio::sync::{mpsc as reports, oneshot};
use whinspindle_replica::DurableWrite;
use whinspindle_storage::{FolderDirectory, Journal, Recovered, StorageError};

use super::shared_folder::SharedFolder;

/// A disk that can't be read at the start is tried again after this time.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);
/// The names of the files of the memory begin with this.
const MEMORY_PREFIX: &str = "memory-";

#[derive(Debug, Snafu)]
pub enum DiskError {
    #[snafu(display("the thread for the disk can't be started"))]
    Thread { source: std::io::Error },
    #[snafu(display("the thread for the disk has ended"))]
    Ended,
}

/// Tells the thread what to write.
pub struct Disk {
    jobs: mpsc::Sender<Job>,
}

/// What the thread has done.
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
    /// What an earlier process remembered.
    Recalled {
        memory: Vec<u8>,
    },
    Remembered,
}

enum Job {
    Persist { token: u64, write: DurableWrite },
    Compact { state: Vec<u8> },
    Remember { memory: Vec<u8> },
}

/// A disk that was opened.
pub struct OpenedDisk {
    pub disk: Disk,
    pub recovered: Recovered,
    /// What the disk held could not be used.
    pub was_damaged: bool,
    pub reports: reports::UnboundedReceiver<DiskReport>,
}

/// Opens the journal in a folder, on a thread of its own; waits until the disk can be read. What an earlier process
/// remembered is reported only if the controller recalls it.
pub async fn open(folder: PathBuf, recalls: bool) -> Result<OpenedDisk, DiskError> {
    let (jobs, job_receiver) = mpsc::channel();
    let (report_sender, reports) = reports::unbounded_channel();
    let (opened_sender, opened) = oneshot::channel();
    let work = move || {
        let found = open_journal(&folder);
        if opened_sender.send((found.recovered, found.was_damaged)).is_ok() {
            let Found { files, journal, .. } = found;
            let mut worker =
                Worker { files, journal, memory: None, jobs: job_receiver, reports: report_sender };
            if recalls {
                worker.recall();
            }
            worker.run();
        }
    };
    thread::Builder::new().name("disk".to_owned()).spawn(work).context(ThreadSnafu)?;
    let (recovered, was_damaged) = opened.await.ok().ok_or(DiskError::Ended)?;
    Ok(OpenedDisk { disk: Disk { jobs }, recovered, was_damaged, reports })
}

impl Disk {
    /// Makes a write durable; the report carries its token.
    pub fn persist(&self, token: u64, write: DurableWrite) {
        self.send(Job::Persist { token, write });
    }

    /// Writes a checkpoint that stands for the log so far.
    pub fn compact(&self, state: Vec<u8>) {
        self.send(Job::Compact { state });
    }

    /// Writes what a restarted process is to recall, in place of what was written before.
    pub fn remember(&self, memory: Vec<u8>) {
        self.send(Job::Remember { memory });
    }

    fn send(&self, job: Job) {
        // The thread ends only with the process.
        let _ = self.jobs.send(job);
    }
}

struct Found {
    files: SharedFolder,
    journal: Journal<SharedFolder>,
    recovered: Recovered,
    was_damaged: bool,
}

/// Tries until the disk can be read. Damaged files are emptied: the node joins again like one whose disk was lost.
fn open_journal(folder: &Path) -> Found {
    let mut was_damaged = false;
    let mut warned = false;
    loop {
        let failure = match try_open(folder) {
            Ok((files, journal, recovered)) => {
                return Found { files, journal, recovered, was_damaged };
            }
            Err(failure) => failure,
        };
        if !warned {
            warn!("the disk can't be used yet: {failure}");
            warned = true;
        }
        if matches!(failure, StorageError::Damaged { .. }) && empty_journal(folder).is_ok() {
            was_damaged = true;
        }
        thread::sleep(REOPEN_PAUSE);
    }
}

fn try_open(folder: &Path) -> Result<(SharedFolder, Journal<SharedFolder>, Recovered), StorageError> {
    let files = SharedFolder::new(FolderDirectory::open(folder)?);
    let (journal, recovered) = Journal::open(files.clone())?;
    Ok((files, journal, recovered))
}

fn empty_journal(folder: &Path) -> Result<(), StorageError> {
    let mut files = FolderDirectory::open(folder)?;
    Journal::discard(&mut files)
}

struct Worker {
    files: SharedFolder,
    journal: Journal<SharedFolder>,
    /// None while its files can't be used.
    memory: Option<Journal<SharedFolder>>,
    jobs: mpsc::Receiver<Job>,
    reports: reports::UnboundedSender<DiskReport>,
}

/// Appends that share a sync.
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
            Job::Remember { memory } => {
                self.append(batch);
                if let Err(failure) = self.remember(&memory) {
                    warn!("what a restart is to recall was not written: {failure}");
                }
                self.send(DiskReport::Remembered);
            }
        }
    }

    fn recall(&mut self) {
        match self.open_memory() {
            Ok(Some(memory)) => self.send(DiskReport::Recalled { memory }),
            Ok(None) => {}
            Err(failure) => warn!("what an earlier process remembered can't be read: {failure}"),
        }
    }

    /// Answers what an earlier process remembered. Damaged files are emptied: they are a help, not a promise.
    fn open_memory(&mut self) -> Result<Option<Vec<u8>>, StorageError> {
        let files = self.files.with_prefix(MEMORY_PREFIX);
        let opened = match Journal::open(files.clone()) {
            Err(StorageError::Damaged { .. }) => {
                Journal::discard(&mut files.clone())?;
                Journal::open(files)
            }
            opened => opened,
        };
        let (journal, recovered) = opened?;
        self.memory = Some(journal);
        Ok(recovered.checkpoint)
    }

    fn remember(&mut self, memory: &[u8]) -> Result<(), StorageError> {
        if self.memory.is_none() {
            self.open_memory()?;
        }
        self.memory.as_mut().map_or(Ok(()), |journal| journal.checkpoint(memory))
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
