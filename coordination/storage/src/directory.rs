//! The operations of a folder on which a journal builds.

use std::io;

use snafu::Snafu;

/// A folder of files.
///
/// What was written lasts through a loss of power once the file was synced; before that, each write may be there,
/// missing or torn. A new file lasts once it or the folder was synced.
pub trait Directory {
    /// The content of a file, or `None` if there is no such file.
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>, DirectoryError>;

    /// Writes at a position. The file is created where it is missing, and grows as needed.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), DirectoryError>;

    /// Cuts a file short or extends it by zeros. The file is created where it is missing.
    fn set_length(&mut self, name: &str, length: u64) -> Result<(), DirectoryError>;

    /// Waits until all that was written to a file is durable.
    fn sync(&mut self, name: &str) -> Result<(), DirectoryError>;

    /// Waits until the names of all files are durable.
    fn sync_directory(&mut self) -> Result<(), DirectoryError>;
}

/// Why an operation on a folder failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DirectoryError {
    #[snafu(display("no space left to write `{name}`"))]
    Full { name: String },

    #[snafu(display("another process uses `{name}`"))]
    Taken { name: String },

    #[snafu(display("`{name}`: {source}"))]
    Io { name: String, source: io::Error },
}
