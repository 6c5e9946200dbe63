//! A [`Directory`] in the file system.

use std::collections::HashMap;
use std::fs::{self, File, Metadata, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

use snafu::{ResultExt, ensure};

use crate::directory::{Directory, DirectoryError, FullSnafu, IoSnafu, LockedSnafu, RemovedSnafu};

/// The file that is locked against other processes.
const LOCK_FILE: &str = "lock";

/// A folder that only one process uses. Files are opened once and kept open.
#[derive(Debug)]
pub struct FolderDirectory {
    /// The path of the folder.
    path: PathBuf,
    /// The open files, by name.
    files: HashMap<String, File>,
    /// The lock file. Closing it releases the lock.
    _lock: File,
}

impl FolderDirectory {
    /// Opens and locks a folder. Creates a missing folder.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has locked the folder, or if the file system reports an error.
    pub fn open(path: &Path) -> Result<Self, DirectoryError> {
        let name = path.display().to_string();
        fs::create_dir_all(path).context(IoSnafu { name: &name })?;
        let lock = open_file(&path.join(LOCK_FILE), true).context(IoSnafu { name: LOCK_FILE })?;
        match lock.try_lock() {
            Err(TryLockError::WouldBlock) => return LockedSnafu { name }.fail(),
            // On a file system without locks, the operator must ensure that no other process uses the folder.
            Ok(()) | Err(TryLockError::Error(_)) => {}
        }
        Ok(FolderDirectory { path: path.to_owned(), files: HashMap::new(), _lock: lock })
    }

    /// The open file of this name. Creates a missing file.
    fn open_or_create(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.files.contains_key(name) {
            let file = open_file(&self.path.join(name), true)?;
            self.files.insert(name.to_owned(), file);
        }
        self.files.get_mut(name).ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// The open file of this name; `None` if it does not exist.
    fn open_existing(&mut self, name: &str) -> io::Result<Option<&mut File>> {
        if !self.files.contains_key(name) {
            let file = match open_file(&self.path.join(name), false) {
                Ok(file) => file,
                Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
                Err(error) => return Err(error),
            };
            self.files.insert(name.to_owned(), file);
        }
        Ok(self.files.get_mut(name))
    }

    /// Whether the path of an open file still refers to the same file.
    fn is_path_unchanged(&self, name: &str) -> bool {
        let identity = |metadata: io::Result<Metadata>| metadata.ok().map(|file| (file.dev(), file.ino()));
        let open_file = self.files.get(name).map(File::metadata).and_then(identity);
        open_file.is_some() && open_file == identity(fs::metadata(self.path.join(name)))
    }

    /// Reads all bytes of a file; `None` if it does not exist.
    fn read_existing(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let Some(file) = self.open_existing(name)? else { return Ok(None) };
        let mut content = Vec::new();
        file.seek(SeekFrom::Start(0))?;
        file.read_to_end(&mut content)?;
        Ok(Some(content))
    }
}

impl Directory for FolderDirectory {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>, DirectoryError> {
        self.read_existing(name).map_err(|error| directory_error(name, error))
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), DirectoryError> {
        let result = self.open_or_create(name).and_then(|file| file.write_all_at(bytes, offset));
        result.map_err(|error| directory_error(name, error))
    }

    fn set_length(&mut self, name: &str, length: u64) -> Result<(), DirectoryError> {
        let result = self.open_or_create(name).and_then(|file| file.set_len(length));
        result.map_err(|error| directory_error(name, error))
    }

    /// Fails if the file was removed or replaced, since its writes would be missing after a restart.
    fn sync(&mut self, name: &str) -> Result<(), DirectoryError> {
        let result = self.open_or_create(name).and_then(|file| file.sync_data());
        result.map_err(|error| directory_error(name, error))?;
        ensure!(self.is_path_unchanged(name), RemovedSnafu { name });
        Ok(())
    }

    fn sync_directory(&mut self) -> Result<(), DirectoryError> {
        let result = File::open(&self.path).and_then(|folder| folder.sync_all());
        result.with_context(|_| IoSnafu { name: self.path.display().to_string() })
    }
}

fn open_file(path: &Path, create: bool) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(create).truncate(false).open(path)
}

/// Converts the error of an operation on a file.
fn directory_error(name: &str, error: io::Error) -> DirectoryError {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
            FullSnafu { name }.build()
        }
        _ => DirectoryError::Io { name: name.to_owned(), source: error },
    }
}
