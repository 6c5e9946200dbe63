//! Durable state: two checkpoint slots that are written alternately, and a short log after the newest
//! checkpoint.
//!
//! A [`Journal`] stores the state of one state machine in a folder. Records are appended to a log, and a
//! checkpoint of the whole state replaces the records before it. The journal uses four files with fixed
//! names and never renames or removes a file. A new checkpoint overwrites the older of the two checkpoints,
//! and each checkpoint has its own log.
//!
//! After a loss of power, each write that was not synced may be present, missing or torn. Therefore each
//! record and each checkpoint contains a hash.
//!
//! ```no_run
//! use whinspindle_storage::{FolderDirectory, Journal};
//!
//! let folder = FolderDirectory::open("state".as_ref())?;
//! let (mut journal, recovered) = Journal::open(folder)?;
//! println!("{} records after the checkpoint", recovered.log.len());
//! journal.append(&[b"first".to_vec(), b"second".to_vec()])?;
//! journal.checkpoint(b"the state after both records")?;
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
