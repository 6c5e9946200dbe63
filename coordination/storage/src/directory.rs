//! The file operations that a journal needs. They are a trait so that tests can simulate a loss of power.

use std::io;

use snafu::Snafu;

/// A folder of files.
///
/// Written bytes survive a loss of power once the file is synced. Before that, each write may be present,
/// missing or torn. A new file survives once the file or the folder is synced.
pub trait Directory {
    /// Reads all bytes of a file; `None` if it does not exist.
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>, DirectoryError>;

    /// Writes at an offset in bytes. Creates a missing file, and extends the file as needed.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), DirectoryError>;

    /// Truncates a file or extends it with zeros. Creates a missing file.
    fn set_length(&mut self, name: &str, length: u64) -> Result<(), DirectoryError>;

    /// Waits until all writes to a file are durable.
    fn sync(&mut self, name: &str) -> Result<(), DirectoryError>;

    /// Waits until the names of all files are durable.
    fn sync_directory(&mut self) -> Result<(), DirectoryError>;
}

/// Why an operation on a folder failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DirectoryError {
    /// The disk or a quota is full.
    #[snafu(display("no space left to write `{name}`"))]
    Full {
        /// The file that was written.
        name: String,
    },

    /// Another process holds the lock of the folder.
    #[snafu(display("another process has locked `{name}`"))]
    Locked {
        /// The folder.
        name: String,
    },

    /// The file was removed or replaced while it was open, so its writes would be missing after a restart.
    #[snafu(display("`{name}` was removed or replaced by another process"))]
    Removed {
        /// The file.
        name: String,
    },

    /// Any other error of the file system.
    #[snafu(display("`{name}`: {source}"))]
    Io {
        /// The file or folder.
        name: String,
        /// The error of the operating system.
        source: io::Error,
    },
}
