//! A folder that several journals share. Each journal accesses only the files whose names start with its
//! prefix.

use std::cell::RefCell;
use std::rc::Rc;

use whinspindle_storage::{Directory, DirectoryError, FolderDirectory};

/// The files of a folder whose names start with a prefix.
#[derive(Clone, Debug)]
pub struct PrefixedDirectory {
    folder: Rc<RefCell<FolderDirectory>>,
    prefix: &'static str,
}

impl PrefixedDirectory {
    /// Creates a view of all files of the folder.
    pub fn new(folder: FolderDirectory) -> PrefixedDirectory {
        PrefixedDirectory { folder: Rc::new(RefCell::new(folder)), prefix: "" }
    }

    /// Creates a view of the files of the same folder whose names start with `prefix`.
    pub fn with_prefix(&self, prefix: &'static str) -> PrefixedDirectory {
        PrefixedDirectory { folder: Rc::clone(&self.folder), prefix }
    }

    fn prefixed_name(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }
}

impl Directory for PrefixedDirectory {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>, DirectoryError> {
        self.folder.borrow_mut().read(&self.prefixed_name(name))
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), DirectoryError> {
        self.folder.borrow_mut().write_at(&self.prefixed_name(name), offset, bytes)
    }

    fn set_length(&mut self, name: &str, length: u64) -> Result<(), DirectoryError> {
        self.folder.borrow_mut().set_length(&self.prefixed_name(name), length)
    }

    fn sync(&mut self, name: &str) -> Result<(), DirectoryError> {
        self.folder.borrow_mut().sync(&self.prefixed_name(name))
    }

    fn sync_directory(&mut self) -> Result<(), DirectoryError> {
        self.folder.borrow_mut().sync_directory()
    }
}
