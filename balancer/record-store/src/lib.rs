//! Small records in a folder, each read whole or not at all, whatever moment the process or the machine died in.
//! Knows nothing of what is in them. A record has two files that are written in turn, each by way of a temporary file
//! beside it, a sync and a rename: the other one stays whole meanwhile.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

const MAGIC: &[u8; 8] = b"whspin-1";
/// Magic, generation, length, hash.
const HEADER_BYTES: usize = 8 + 8 + 8 + 32;
/// A lock that another process holds is waited for so long. One that has just ended may hold it a moment longer: by a child
/// that was started meanwhile, which has its open files until it runs another program.
const LOCK_PATIENCE: Duration = Duration::from_millis(500);
/// Between two attempts to take the lock.
const LOCK_RETRY: Duration = Duration::from_millis(10);
/// A record may be so long.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Why a folder can't be opened or a record not written.
#[derive(Debug)]
pub enum StoreError {
    /// Another process has the folder.
    Locked(PathBuf),
    /// The system refused an operation on this path.
    Io(PathBuf, io::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Locked(folder) => write!(to, "{}: another process holds it", folder.display()),
            StoreError::Io(path, fault) => write!(to, "{}: {fault}", path.display()),
        }
    }
}

/// The folder, held for this process alone.
pub struct RecordStore {
    folder: PathBuf,
    _lock: File,
}

/// What a file holds, if it is whole.
struct StoredVersion {
    generation: u64,
    bytes: Vec<u8>,
}

fn read(path: &Path) -> Option<StoredVersion> {
    let mut file = File::open(path).ok()?;
    let mut head = [0; HEADER_BYTES];
    file.read_exact(&mut head).ok()?;
    let number = |at: usize| head[at..at + 8].try_into().map_or(0, u64::from_le_bytes);
    let (generation, length) = (number(8), number(16));
    if &head[..8] != MAGIC || length > MAX_RECORD_BYTES as u64 {
        return None;
    }
    let mut bytes = vec![0; length as usize];
    file.read_exact(&mut bytes).ok()?;
    // Guards against a file that was written over in part: the hash takes in the generation too.
    (hash(generation, &bytes) == head[24..HEADER_BYTES]).then_some(StoredVersion { generation, bytes })
}

fn hash(generation: u64, bytes: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(bytes);
    *hasher.finalize().as_bytes()
}

/// Takes a lock; one that another process holds is waited for, but no longer than `patience`.
fn try_lock_for(lock: &File, patience: Duration) -> Result<(), TryLockError> {
    let until = Instant::now() + patience;
    loop {
        match lock.try_lock() {
            Err(TryLockError::WouldBlock) if Instant::now() < until => thread::sleep(LOCK_RETRY),
            taken => return taken,
        }
    }
}

impl RecordStore {
    /// Makes the folder if there is none, and holds it. Guards against two processes that write over one another.
    pub fn open(folder: &Path) -> Result<RecordStore, StoreError> {
        let as_error = |fault| StoreError::Io(folder.to_path_buf(), fault);
        fs::create_dir_all(folder).map_err(as_error)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join("lock"));
        let lock = lock.map_err(as_error)?;
        match try_lock_for(&lock, LOCK_PATIENCE) {
            Ok(()) => Ok(RecordStore { folder: folder.to_path_buf(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(StoreError::Locked(folder.to_path_buf())),
            Err(TryLockError::Error(fault)) => Err(as_error(fault)),
        }
    }

    fn files(&self, name: &str) -> [PathBuf; 2] {
        ["a", "b"].map(|turn| self.folder.join(format!("{name}.{turn}")))
    }

    /// The newest whole version of a record.
    pub fn read(&self, name: &str) -> Option<Vec<u8>> {
        let version =
            self.files(name).iter().filter_map(|file| read(file)).max_by_key(|version| version.generation);
        version.map(|version| version.bytes)
    }

    /// Writes a record; it is durable when this returns. Where it fails, the version before stands.
    pub fn write(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let files = self.files(name);
        let generations = files.each_ref().map(|file| read(file).map_or(0, |version| version.generation));
        let turn = usize::from(generations[0] > generations[1]);
        let generation = generations[0].max(generations[1]) + 1;
        let temporary = self.folder.join(format!("{name}.new"));
        let written = (|| {
            let mut file = File::create(&temporary)?;
            file.write_all(MAGIC)?;
            file.write_all(&generation.to_le_bytes())?;
            file.write_all(&(bytes.len() as u64).to_le_bytes())?;
            file.write_all(&hash(generation, bytes))?;
            file.write_all(bytes)?;
            file.sync_all()?;
            fs::rename(&temporary, &files[turn])?;
            File::open(&self.folder)?.sync_all()
        })();
        written.map_err(|fault| StoreError::Io(files[turn].clone(), fault))
    }

    /// Forgets a record.
    pub fn remove(&self, name: &str) {
        for file in self.files(name) {
            let _ = fs::remove_file(file);
        }
    }
}
