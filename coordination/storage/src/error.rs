//! Errors of a journal.

use snafu::Snafu;

use crate::directory::DirectoryError;

/// Why a journal could not be opened or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The disk is full. Nothing was lost; the operation may succeed once there is space again.
    #[snafu(display("the disk is full: {source}"))]
    Full {
        /// The operation that failed.
        source: DirectoryError,
    },

    /// Another process uses the folder.
    #[snafu(display("the folder is in use: {source}"))]
    Locked {
        /// The operation that failed.
        source: DirectoryError,
    },

    /// The files were removed or replaced while the journal was open.
    #[snafu(display("the files are gone: {source}"))]
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

    /// The files are not in a state that a loss of power can leave.
    #[snafu(display("`{name}` is damaged"))]
    Damaged {
        /// The file in which it shows.
        name: String,
    },

    /// A record does not fit the log's format.
    #[snafu(display("a record of {length} bytes is too long"))]
    RecordTooLong {
        /// Its length in bytes.
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
