//! Durable state: two checkpoint slots written alternately, and a short log after the newest one.
//!
//! A [`Journal`] keeps the state of one state machine in a folder. Records are appended to a log; a checkpoint of the
//! whole state replaces the records before it. Four files of fixed names are used, so nothing is ever renamed or
//! removed: a checkpoint is written to the slot that holds the older one, and each checkpoint has a log file of its own.
//!
//! After a loss of power, each write that was not yet synced may be present, missing or torn. Every record and every
//! checkpoint therefore carries a hash.
//!
//! ```no_run
//! use whinspindle_storage::{FolderDirectory, Journal};
//!
//! let folder = FolderDirectory::open("state".as_ref())?;
//! let (mut journal, recovered) = Journal::open(folder)?;
//! println!("{} records after the checkpoint", recovered.log.len());
//! journal.append(&[b"first".to_vec(), b"second".to_vec()])?;
//! journal.checkpoint(b"the state with both")?;
//! # Ok::<(), whinspindle_storage::StorageError>(())
//! ```

mod checkpoint;
mod directory;
mod error;
mod folder;
mod format;
mod journal;
mod log;

pub use directory::{Directory, DirectoryError};
pub use error::StorageError;
pub use folder::FolderDirectory;
pub use format::{FormatError, check_format};
pub use journal::{Journal, RecoveredState};
