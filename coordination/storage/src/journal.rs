//! The journal: the order of writes, and recovery after a restart.

use snafu::ensure;

use crate::checkpoint::{self, Checkpoint};
use crate::directory::Directory;
use crate::error::{DamagedSnafu, StorageError};
use crate::log::{self, Scan};

/// The checkpoint slots; odd and even generations alternate between them.
const SLOT_FILES: [&str; 2] = ["slot-a", "slot-b"];
/// The log files; odd and even generations alternate between them.
const LOG_FILES: [&str; 2] = ["log-a", "log-b"];

/// A log of durable records after a durable checkpoint.
///
/// An operation that fails leaves everything that was durable before in place, and may be retried. Whether its own
/// records are recovered after a restart is not known until a later operation succeeds: then they are not.
#[derive(Debug)]
pub struct Journal<D> {
    /// The folder of the files.
    directory: D,
    /// The generation of the newest checkpoint; 0 while there is none.
    generation: u64,
    /// The length of the log in bytes.
    log_end: u64,
    /// The number of records in the log.
    log_records: u64,
    /// Bytes of unknown content may follow the end of the log.
    tail_is_dirty: bool,
}

/// What a journal holds when it is opened.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The state of the newest checkpoint.
    pub checkpoint: Option<Vec<u8>>,
    /// The records appended after the checkpoint, oldest first.
    pub log: Vec<Vec<u8>>,
}

impl<D: Directory> Journal<D> {
    /// Opens a journal: creates missing files and recovers what was durable. All that is returned is durable.
    ///
    /// # Errors
    ///
    /// The files are damaged, or an operation of the folder failed.
    pub fn open(mut directory: D) -> Result<(Self, RecoveredState), StorageError> {
        prepare_files(&mut directory)?;
        let checkpoint = read_newest_checkpoint(&mut directory)?;
        let generation = checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.generation);
        let mut log = match &checkpoint {
            Some(checkpoint) => read_uncovered_records(&mut directory, checkpoint)?,
            None => Vec::new(),
        };
        let scan = read_log(&mut directory, generation)?;
        let journal = Journal {
            directory,
            generation,
            log_end: scan.end,
            log_records: scan.records.len() as u64,
            tail_is_dirty: scan.has_more,
        };
        log.extend(scan.records);
        Ok((journal, RecoveredState { checkpoint: checkpoint.map(|checkpoint| checkpoint.state), log }))
    }

    /// Empties the files of a journal that cannot be opened ([`StorageError::Damaged`]), and leaves all others alone.
    ///
    /// A loss of power in between leaves a journal that is still damaged, or an empty one: the first slot, by which damage
    /// is recognised, is emptied last, after the logs whose records an emptied journal might take for its own.
    ///
    /// # Errors
    ///
    /// An operation of the folder failed.
    pub fn discard(directory: &mut D) -> Result<(), StorageError> {
        for name in LOG_FILES.into_iter().chain(SLOT_FILES.into_iter().rev()) {
            directory.set_length(name, 0)?;
            directory.sync(name)?;
        }
        Ok(())
    }

    /// Appends records by one write and one sync. They are durable when this returns.
    ///
    /// # Errors
    ///
    /// A record is too long, or an operation of the folder failed.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        for (index, record) in (self.log_records..).zip(records) {
            log::encode(self.generation, index, record, &mut buffer)?;
        }
        if buffer.is_empty() {
            return Ok(());
        }
        self.clean_tail()?;
        self.tail_is_dirty = true;
        self.directory.write_at(log_file(self.generation), self.log_end, &buffer)?;
        self.directory.sync(log_file(self.generation))?;
        self.tail_is_dirty = false;
        self.log_end += buffer.len() as u64;
        self.log_records += records.len() as u64;
        Ok(())
    }

    /// Makes a state durable that covers every record appended before. The log starts empty after it.
    ///
    /// # Errors
    ///
    /// An operation of the folder failed.
    pub fn checkpoint(&mut self, state: &[u8]) -> Result<(), StorageError> {
        self.clean_tail()?;
        let generation = self.generation + 1;
        let slot = checkpoint::encode(generation, self.log_records, state);
        let name = slot_file(generation);
        self.directory.write_at(name, 0, &slot)?;
        self.directory.set_length(name, slot.len() as u64)?;
        self.directory.sync(name)?;
        self.generation = generation;
        self.log_end = 0;
        self.log_records = 0;
        Ok(())
    }

    /// The bytes appended since the last checkpoint.
    pub fn log_bytes(&self) -> usize {
        usize::try_from(self.log_end).unwrap_or(usize::MAX)
    }

    /// Removes what a failed write may have left before anything is written in its place: otherwise a record of the failed
    /// write could follow a new one.
    fn clean_tail(&mut self) -> Result<(), StorageError> {
        if !self.tail_is_dirty {
            return Ok(());
        }
        let name = log_file(self.generation);
        self.directory.set_length(name, self.log_end)?;
        self.directory.sync(name)?;
        self.tail_is_dirty = false;
        Ok(())
    }
}

/// The slot of a generation.
fn slot_file(generation: u64) -> &'static str {
    SLOT_FILES[usize::from(!generation.is_multiple_of(2))]
}

/// The log of the records after the checkpoint of a generation.
fn log_file(generation: u64) -> &'static str {
    LOG_FILES[usize::from(!generation.is_multiple_of(2))]
}

/// Creates missing files, and syncs the others: a process that ended without a loss of power may have left them
/// unsynced.
fn prepare_files<D: Directory>(directory: &mut D) -> Result<(), StorageError> {
    let mut created = false;
    for name in SLOT_FILES.into_iter().chain(LOG_FILES) {
        if directory.read(name)?.is_some() {
            directory.sync(name)?;
        } else {
            directory.set_length(name, 0)?;
            created = true;
        }
    }
    if created {
        directory.sync_directory()?;
    }
    Ok(())
}

/// The newest complete checkpoint; `None` in an empty folder.
fn read_newest_checkpoint<D: Directory>(directory: &mut D) -> Result<Option<Checkpoint>, StorageError> {
    let mut newest: Option<Checkpoint> = None;
    let mut has_first_slot = false;
    for name in SLOT_FILES {
        let slot = directory.read(name)?.unwrap_or_default();
        has_first_slot |= name == SLOT_FILES[0] && !slot.is_empty();
        let checkpoint = checkpoint::decode(&slot);
        newest = newest.into_iter().chain(checkpoint).max_by_key(|checkpoint| checkpoint.generation);
    }
    // Generation 1 is in the second slot, and was durable before the first slot was ever written.
    ensure!(newest.is_some() || !has_first_slot, DamagedSnafu { name: SLOT_FILES[0] });
    Ok(newest)
}

/// The records that were appended to the preceding log after the state of the checkpoint was taken: the write of the
/// checkpoint was reported as failed, but has reached the disk.
fn read_uncovered_records<D: Directory>(
    directory: &mut D,
    checkpoint: &Checkpoint,
) -> Result<Vec<Vec<u8>>, StorageError> {
    let scan = read_log(directory, checkpoint.generation - 1)?;
    let covered = usize::try_from(checkpoint.covered_records).unwrap_or(usize::MAX);
    Ok(scan.records.into_iter().skip(covered).collect())
}

/// The records of the log of a generation.
fn read_log<D: Directory>(directory: &mut D, generation: u64) -> Result<Scan, StorageError> {
    let file = directory.read(log_file(generation))?.unwrap_or_default();
    Ok(log::scan(generation, &file))
}
