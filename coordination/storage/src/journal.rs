//! The journal: appends, checkpoints, and recovery after a restart.

use snafu::ensure;

use crate::checkpoint::{self, Checkpoint};
use crate::directory::Directory;
use crate::error::{DamagedSnafu, StorageError};
use crate::log::{self, Scan};

/// The checkpoint slots for even and odd generations.
const SLOT_FILES: [&str; 2] = ["slot-a", "slot-b"];
/// The log files for even and odd generations.
const LOG_FILES: [&str; 2] = ["log-a", "log-b"];

/// A durable checkpoint and the log of durable records after it.
///
/// A failed operation keeps all data that was durable before, and may be retried. After a restart, the
/// records of a failed append may be recovered, unless a later operation has succeeded.
#[derive(Debug)]
pub struct Journal<D> {
    /// The folder of the journal.
    directory: D,
    /// The generation of the newest checkpoint; 0 without a checkpoint.
    generation: u64,
    /// The length of the log in bytes.
    log_bytes: u64,
    /// The number of records in the log.
    log_record_count: u64,
    /// Bytes of a failed write may follow the end of the log.
    is_tail_dirty: bool,
}

/// The content of a journal when it is opened.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The state of the newest checkpoint.
    pub checkpoint: Option<Vec<u8>>,
    /// The records appended after the checkpoint, oldest first.
    pub log: Vec<Vec<u8>>,
}

impl<D: Directory> Journal<D> {
    /// Opens a journal. Creates missing files, and returns the recovered content, all of which is durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the files are damaged or a file operation failed.
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
            log_bytes: scan.end_offset,
            log_record_count: scan.records.len() as u64,
            is_tail_dirty: scan.has_trailing_bytes,
        };
        log.extend(scan.records);
        Ok((journal, RecoveredState { checkpoint: checkpoint.map(|checkpoint| checkpoint.state), log }))
    }

    /// Truncates the files of a journal that cannot be opened ([`StorageError::Damaged`]). Other files in
    /// the folder are not changed.
    ///
    /// After a loss of power during this operation, the journal is either still damaged or empty. The logs
    /// are truncated first, because an empty journal might recover their records. The first slot is
    /// truncated last, because its content is the sign of a damaged journal.
    ///
    /// # Errors
    ///
    /// Returns an error if a file operation failed.
    pub fn discard(directory: &mut D) -> Result<(), StorageError> {
        for name in LOG_FILES.into_iter().chain(SLOT_FILES.into_iter().rev()) {
            directory.set_length(name, 0)?;
            directory.sync(name)?;
        }
        Ok(())
    }

    /// Appends records with one write and one sync. They are durable when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if a record is too long or a file operation failed.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        for (index, record) in (self.log_record_count..).zip(records) {
            log::encode(self.generation, index, record, &mut buffer)?;
        }
        if buffer.is_empty() {
            return Ok(());
        }
        self.truncate_tail()?;
        self.is_tail_dirty = true;
        self.directory.write_at(log_file(self.generation), self.log_bytes, &buffer)?;
        self.directory.sync(log_file(self.generation))?;
        self.is_tail_dirty = false;
        self.log_bytes += buffer.len() as u64;
        self.log_record_count += records.len() as u64;
        Ok(())
    }

    /// Writes a durable checkpoint. `state` must include the effects of all appended records. The log is
    /// empty afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error if a file operation failed.
    pub fn checkpoint(&mut self, state: &[u8]) -> Result<(), StorageError> {
        self.truncate_tail()?;
        let generation = self.generation + 1;
        let slot = checkpoint::encode(generation, self.log_record_count, state);
        let name = slot_file(generation);
        self.directory.write_at(name, 0, &slot)?;
        self.directory.set_length(name, slot.len() as u64)?;
        self.directory.sync(name)?;
        self.generation = generation;
        self.log_bytes = 0;
        self.log_record_count = 0;
        Ok(())
    }

    /// The number of bytes appended since the last checkpoint.
    pub fn log_bytes(&self) -> usize {
        usize::try_from(self.log_bytes).unwrap_or(usize::MAX)
    }

    /// Truncates bytes that a failed write may have left after the log. Otherwise a record of the failed
    /// write could follow a new record and be recovered.
    fn truncate_tail(&mut self) -> Result<(), StorageError> {
        if !self.is_tail_dirty {
            return Ok(());
        }
        let name = log_file(self.generation);
        self.directory.set_length(name, self.log_bytes)?;
        self.directory.sync(name)?;
        self.is_tail_dirty = false;
        Ok(())
    }
}

/// The slot of the checkpoint of a generation.
fn slot_file(generation: u64) -> &'static str {
    SLOT_FILES[usize::from(!generation.is_multiple_of(2))]
}

/// The log of the records after the checkpoint of a generation.
fn log_file(generation: u64) -> &'static str {
    LOG_FILES[usize::from(!generation.is_multiple_of(2))]
}

/// Creates missing files. Syncs existing files, because the last process may have ended before it synced
/// them.
fn prepare_files<D: Directory>(directory: &mut D) -> Result<(), StorageError> {
    let mut has_created_file = false;
    for name in SLOT_FILES.into_iter().chain(LOG_FILES) {
        if directory.read(name)?.is_some() {
            directory.sync(name)?;
        } else {
            directory.set_length(name, 0)?;
            has_created_file = true;
        }
    }
    if has_created_file {
        directory.sync_directory()?;
    }
    Ok(())
}

/// The newest complete checkpoint; `None` in an empty folder.
fn read_newest_checkpoint<D: Directory>(directory: &mut D) -> Result<Option<Checkpoint>, StorageError> {
    let mut newest: Option<Checkpoint> = None;
    let mut has_written_first_slot = false;
    for name in SLOT_FILES {
        let slot = directory.read(name)?.unwrap_or_default();
        has_written_first_slot |= name == SLOT_FILES[0] && !slot.is_empty();
        let checkpoint = checkpoint::decode(&slot);
        newest = newest.into_iter().chain(checkpoint).max_by_key(|checkpoint| checkpoint.generation);
    }
    // Generation 1 is in the second slot and was durable before the first slot was written.
    ensure!(newest.is_some() || !has_written_first_slot, DamagedSnafu { name: SLOT_FILES[0] });
    Ok(newest)
}

/// The records of the preceding log that the checkpoint does not cover. There are such records if the write
/// of the checkpoint was reported as failed although it reached the disk, and records were appended after
/// it.
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
