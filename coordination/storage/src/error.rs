//! Errors of a journal.

use snafu::Snafu;

use crate::directory::DirectoryError;

/// Why a journal could not be opened or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// Nothing was lost; the same may succeed when there is space again.
    #[snafu(display("the disk is full: {source}"))]
    Full { source: DirectoryError },

    #[snafu(display("the folder is in use: {source}"))]
    Taken { source: DirectoryError },

    #[snafu(display("{source}"))]
    Disk { source: DirectoryError },

    /// The files don't have the form that losses of power leave.
    #[snafu(display("`{name}` is damaged"))]
    Damaged { name: String },

    #[snafu(display("a record of {length} bytes is too long"))]
    RecordTooLong { length: usize },
}

impl From<DirectoryError> for StorageError {
    fn from(source: DirectoryError) -> Self {
        match source {
            DirectoryError::Full { .. } => StorageError::Full { source },
            DirectoryError::Taken { .. } => StorageError::Taken { source },
            DirectoryError::Io { .. } => StorageError::Disk { source },
        }
    }
}
