//! The journal in a folder of the file system.

use std::path::{Path, PathBuf};
use std::{env, fs, process};

use whinspindle_storage::{DirectoryError, FolderDirectory, Journal, RecoveredState, StorageError};

/// A folder that is removed at the end of the test.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> Self {
        TemporaryFolder(env::temp_dir().join(format!("whinspindle-storage-{name}-{}", process::id())))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn open(path: &Path) -> (Journal<FolderDirectory>, RecoveredState) {
    let directory = FolderDirectory::open(path).expect("the folder can be used");
    Journal::open(directory).expect("the journal can be read")
}

#[test]
fn a_new_process_reads_what_the_last_one_wrote() {
    let folder = TemporaryFolder::new("reopen");
    let path = folder.0.join("new").join("folders");
    for round in 0..5_u8 {
        let (mut journal, recovered) = open(&path);
        let expected = match round {
            0 => RecoveredState::default(),
            _ => RecoveredState {
                checkpoint: Some(vec![round - 1; 100]),
                log: vec![vec![round - 1; 10], vec![]],
            },
        };
        assert_eq!(recovered, expected);
        journal.append(&[vec![round; 1000]]).expect("the folder can be written");
        journal.checkpoint(&[round; 100]).expect("the folder can be written");
        journal.append(&[vec![round; 10], vec![]]).expect("the folder can be written");
    }
}

#[test]
fn a_folder_serves_one_process_at_a_time() {
    let folder = TemporaryFolder::new("taken");
    let first = FolderDirectory::open(&folder.0).expect("the folder can be used");
    let error = FolderDirectory::open(&folder.0).expect_err("the folder is taken");
    assert!(matches!(error, DirectoryError::Locked { .. }), "{error}");
    drop(first);
    FolderDirectory::open(&folder.0).expect("the folder is free again");
}

#[test]
fn a_file_in_place_of_the_folder_is_reported() {
    let folder = TemporaryFolder::new("file");
    fs::write(&folder.0, "no folder").expect("the file can be written");
    let error = FolderDirectory::open(&folder.0).expect_err("there is a file");
    assert!(matches!(error, DirectoryError::Io { .. }), "{error}");
    fs::remove_file(&folder.0).expect("the file can be removed");
}

#[test]
fn a_damaged_journal_is_discarded_beside_files_and_folders_of_others() {
    let folder = TemporaryFolder::new("discard");
    let path = &folder.0;
    let (mut journal, _) = open(path);
    journal.checkpoint(b"first").expect("the folder can be written");
    journal.checkpoint(b"second").expect("the folder can be written");
    drop(journal);
    fs::create_dir(path.join("lost+found")).expect("the folder can be written");
    fs::write(path.join("notes"), b"of another").expect("the folder can be written");
    fs::write(path.join("slot-a"), b"neither whole").expect("the folder can be written");
    fs::write(path.join("slot-b"), b"nor empty").expect("the folder can be written");
    let mut directory = FolderDirectory::open(path).expect("the folder can be used");
    Journal::discard(&mut directory).expect("the folder can be written");
    drop(directory);
    let (_, recovered) = open(path);
    assert_eq!(recovered, RecoveredState::default());
    assert_eq!(fs::read(path.join("notes")).expect("it is there"), b"of another");
}

/// A process that lost its files, or had them replaced by those of another one, must not confirm a write.
#[test]
fn nothing_is_durable_once_the_files_are_removed_or_replaced() {
    for is_replaced in [false, true] {
        let folder = TemporaryFolder::new(if is_replaced { "replaced" } else { "removed" });
        let (mut journal, _) = open(&folder.0);
        journal.append(&[vec![1]]).expect("the folder can be written");
        fs::remove_dir_all(&folder.0).expect("the folder can be removed");
        let successor = is_replaced.then(|| open(&folder.0));
        for _ in 0..2 {
            let appended = journal.append(&[vec![2]]);
            assert!(matches!(appended, Err(StorageError::Removed { .. })), "{appended:?}");
            let checkpoint = journal.checkpoint(&[3]);
            assert!(matches!(checkpoint, Err(StorageError::Removed { .. })), "{checkpoint:?}");
        }
        drop(successor);
        if is_replaced {
            assert_eq!(open(&folder.0).1, RecoveredState::default(), "nothing was written for the successor");
        }
    }
}
