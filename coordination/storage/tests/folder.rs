//! Journals in folders of the file system.

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

fn open_journal(path: &Path) -> (Journal<FolderDirectory>, RecoveredState) {
    let directory = FolderDirectory::open(path).expect("the folder can be used");
    Journal::open(directory).expect("the journal can be read")
}

#[test]
fn a_restarted_process_recovers_the_journal() {
    let folder = TemporaryFolder::new("reopen");
    let path = folder.0.join("new").join("folders");
    for round in 0..5_u8 {
        let (mut journal, recovered) = open_journal(&path);
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
    let folder = TemporaryFolder::new("locked");
    let locked_directory = FolderDirectory::open(&folder.0).expect("the folder can be used");
    let error = FolderDirectory::open(&folder.0).expect_err("the folder is locked");
    assert!(matches!(error, DirectoryError::Locked { .. }), "{error}");
    drop(locked_directory);
    FolderDirectory::open(&folder.0).expect("the folder is unlocked");
}

#[test]
fn a_file_in_place_of_the_folder_is_reported() {
    let folder = TemporaryFolder::new("file");
    fs::write(&folder.0, "a regular file").expect("the file can be written");
    let error = FolderDirectory::open(&folder.0).expect_err("the path is a file");
    assert!(matches!(error, DirectoryError::Io { .. }), "{error}");
    fs::remove_file(&folder.0).expect("the file can be removed");
}

#[test]
fn discarding_a_damaged_journal_keeps_other_files_and_folders() {
    let folder = TemporaryFolder::new("discard");
    let path = &folder.0;
    let (mut journal, _) = open_journal(path);
    journal.checkpoint(b"first").expect("the folder can be written");
    journal.checkpoint(b"second").expect("the folder can be written");
    drop(journal);
    fs::create_dir(path.join("lost+found")).expect("the folder can be written");
    fs::write(path.join("notes"), b"of another process").expect("the folder can be written");
    fs::write(path.join("slot-a"), b"damaged slot a").expect("the folder can be written");
    fs::write(path.join("slot-b"), b"damaged slot b").expect("the folder can be written");
    let mut directory = FolderDirectory::open(path).expect("the folder can be used");
    Journal::discard(&mut directory).expect("the folder can be written");
    drop(directory);
    let (_, recovered) = open_journal(path);
    assert_eq!(recovered, RecoveredState::default());
    assert_eq!(fs::read(path.join("notes")).expect("the file exists"), b"of another process");
}

/// A process whose files were removed, or replaced by those of another process, must not report a write as
/// durable.
#[test]
fn writes_fail_after_the_files_are_removed_or_replaced() {
    for is_replaced in [false, true] {
        let folder = TemporaryFolder::new(if is_replaced { "replaced" } else { "removed" });
        let (mut journal, _) = open_journal(&folder.0);
        journal.append(&[vec![1]]).expect("the folder can be written");
        fs::remove_dir_all(&folder.0).expect("the folder can be removed");
        let successor = is_replaced.then(|| open_journal(&folder.0));
        for _ in 0..2 {
            let appended = journal.append(&[vec![2]]);
            assert!(matches!(appended, Err(StorageError::Removed { .. })), "{appended:?}");
            let checkpoint = journal.checkpoint(&[3]);
            assert!(matches!(checkpoint, Err(StorageError::Removed { .. })), "{checkpoint:?}");
        }
        drop(successor);
        if is_replaced {
            assert_eq!(
                open_journal(&folder.0).1,
                RecoveredState::default(),
                "the journal of the successor is empty"
            );
        }
    }
}
