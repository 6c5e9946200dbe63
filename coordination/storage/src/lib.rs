//! Durable state: two checkpoint slots written in turn and a short log between.
//!
//! A [`Journal`] keeps the state of one state machine in a folder. Records are appended to a log; a checkpoint of the
//! whole state takes the place of the records before it. Four files of fixed names are used, so nothing is ever
//! renamed or removed: a checkpoint goes to the slot that holds the older one, and each checkpoint has a log file of
//! its own.
//!
//! After a loss of power, each write that was not yet synced may be there, missing or torn. Every record and every
//! checkpoint therefore carries a hash.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod checkpoint;
mod directory;
mod error;
mod folder;
mod journal;
mod log;

pub use directory::{Directory, DirectoryError};
pub use error::StorageError;
pub use folder::FolderDirectory;
pub use journal::{Journal, Recovered};
