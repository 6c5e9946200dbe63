//! Crash-safe storage of small binary records in a folder. Each record has two files that are written
//! alternately, with a temporary file, a sync and a rename, so that one complete version always exists.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

const MAGIC: &[u8; 8] = b"whspin-1";
/// Size of magic, generation, length and hash.
const HEADER_BYTES: usize = 8 + 8 + 8 + 32;
/// How long to wait for a lock held by another process. A process that has just ended may hold it slightly
/// longer through a child process, which inherits the open files until its `exec`.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between attempts to take the lock.
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum size of a record.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// The error of opening a folder or writing a record.
#[derive(Debug)]
pub enum StoreError {
    /// Another process has locked the folder.
    Locked(PathBuf),
    /// An I/O operation on this path failed.
    Io(PathBuf, io::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Locked(folder) => write!(f, "{}: locked by another process", folder.display()),
            StoreError::Io(path, error) => write!(f, "{}: {error}", path.display()),
        }
    }
}

/// A folder of records, locked for this process.
pub struct RecordStore {
    folder: PathBuf,
    _lock: File,
}

/// The content of a complete file.
struct StoredVersion {
    generation: u64,
    bytes: Vec<u8>,
}

fn read_file(path: &Path) -> Option<StoredVersion> {
    let mut file = File::open(path).ok()?;
    let mut header = [0; HEADER_BYTES];
    file.read_exact(&mut header).ok()?;
    let read_u64 = |offset: usize| header[offset..offset + 8].try_into().map_or(0, u64::from_le_bytes);
    let (generation, length) = (read_u64(8), read_u64(16));
    if &header[..8] != MAGIC || length > MAX_RECORD_BYTES as u64 {
        return None;
    }
    let mut bytes = vec![0; length as usize];
    file.read_exact(&mut bytes).ok()?;
    // Detects partially written files; the hash covers the generation too.
    (hash(generation, &bytes) == header[24..HEADER_BYTES]).then_some(StoredVersion { generation, bytes })
}

fn hash(generation: u64, bytes: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(bytes);
    *hasher.finalize().as_bytes()
}

/// Takes a lock, and waits up to `timeout` while another process holds it.
fn try_lock_for(lock: &File, timeout: Duration) -> Result<(), TryLockError> {
    let deadline = Instant::now() + timeout;
    loop {
        match lock.try_lock() {
            Err(TryLockError::WouldBlock) if Instant::now() < deadline => thread::sleep(LOCK_RETRY_DELAY),
            result => return result,
        }
    }
}

impl RecordStore {
    /// Creates the folder if necessary and locks it, so that no two processes write to it.
    pub fn open(folder: &Path) -> Result<RecordStore, StoreError> {
        let io_error = |error| StoreError::Io(folder.to_path_buf(), error);
        fs::create_dir_all(folder).map_err(io_error)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join("lock"));
        let lock = lock.map_err(io_error)?;
        match try_lock_for(&lock, LOCK_TIMEOUT) {
            Ok(()) => Ok(RecordStore { folder: folder.to_path_buf(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(StoreError::Locked(folder.to_path_buf())),
            Err(TryLockError::Error(error)) => Err(io_error(error)),
        }
    }

    fn files(&self, name: &str) -> [PathBuf; 2] {
        ["a", "b"].map(|slot| self.folder.join(format!("{name}.{slot}")))
    }

    /// Reads the newest complete version of a record.
    pub fn read(&self, name: &str) -> Option<Vec<u8>> {
        let version = self
            .files(name)
            .iter()
            .filter_map(|file| read_file(file))
            .max_by_key(|version| version.generation);
        version.map(|version| version.bytes)
    }

    /// Writes a record durably. If this fails, the previous version stays.
    pub fn write(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let files = self.files(name);
        let generations =
            files.each_ref().map(|file| read_file(file).map_or(0, |version| version.generation));
        let next_file = usize::from(generations[0] > generations[1]);
        let generation = generations[0].max(generations[1]) + 1;
        let temporary = self.folder.join(format!("{name}.new"));
        let result = (|| {
            let mut file = File::create(&temporary)?;
            file.write_all(MAGIC)?;
            file.write_all(&generation.to_le_bytes())?;
            file.write_all(&(bytes.len() as u64).to_le_bytes())?;
            file.write_all(&hash(generation, bytes))?;
            file.write_all(bytes)?;
            file.sync_all()?;
            fs::rename(&temporary, &files[next_file])?;
            File::open(&self.folder)?.sync_all()
        })();
        result.map_err(|error| StoreError::Io(files[next_file].clone(), error))
    }

    /// Removes a record.
    pub fn remove(&self, name: &str) {
        for file in self.files(name) {
            let _ = fs::remove_file(file);
        }
    }
}
