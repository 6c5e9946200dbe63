//! Errors of a journal.

use snafu::Snafu;

use crate::directory::DirectoryError;

/// Why a journal could not be opened or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The disk is full. No data was lost, and the operation may succeed once there is free space.
    #[snafu(display("the disk is full: {source}"))]
    Full {
        /// The operation that failed.
        source: DirectoryError,
    },

    /// Another process has locked the folder.
    #[snafu(display("the folder is locked: {source}"))]
    Locked {
        /// The operation that failed.
        source: DirectoryError,
    },

    /// The files were removed or replaced while the journal was open.
    #[snafu(display("the files of the journal were removed: {source}"))]
    Removed {
        /// The operation that failed.
        source: DirectoryError,
    },

    /// An operation of the file system failed.
    #[snafu(display("{source}"))]
    Disk {
        /// The operation that failed.
        source: DirectoryError,
    },

    /// The content of the files cannot be the result of a loss of power.
    #[snafu(display("`{name}` is damaged"))]
    Damaged {
        /// The damaged file.
        name: String,
    },

    /// A record exceeds the maximum length of the log format.
    #[snafu(display("a record of {length} bytes is too long"))]
    RecordTooLong {
        /// The length of the record in bytes.
        length: usize,
    },
}

impl From<DirectoryError> for StorageError {
    fn from(source: DirectoryError) -> Self {
        match source {
            DirectoryError::Full { .. } => StorageError::Full { source },
            DirectoryError::Locked { .. } => StorageError::Locked { source },
            DirectoryError::Removed { .. } => StorageError::Removed { source },
            DirectoryError::Io { .. } => StorageError::Disk { source },
        }
    }
}
