//! The version of a folder's format: what a release writes, reads and refuses.

use std::path::PathBuf;
use std::{env, fs, process};

use whinspindle_storage::{FolderDirectory, FormatError, Journal, check_format};

const PRESENT: u32 = 1;

/// A folder that is removed at the end of the test.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> Self {
        let folder = env::temp_dir().join(format!("whinspindle-format-{name}-{}", process::id()));
        fs::create_dir_all(&folder).expect("the folder can be made");
        TemporaryFolder(folder)
    }

    fn check(&self, present: u32) -> Result<(), FormatError> {
        check_format(&mut FolderDirectory::open(&self.0).expect("the folder can be used"), present)
    }

    fn content(&self) -> Vec<u8> {
        fs::read(self.0.join("format")).unwrap_or_default()
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_folder_without_a_version_gets_the_present_one() {
    // A loss of power may leave any of these before the first sync.
    for (number, before) in
        [None, Some(&b""[..]), Some(b"\0"), Some(b"\0\n"), Some(b"\n")].into_iter().enumerate()
    {
        let folder = TemporaryFolder::new(&format!("none-{number}"));
        if let Some(before) = before {
            fs::write(folder.0.join("format"), before).expect("it can be written");
        }
        folder.check(PRESENT).unwrap();
        assert_eq!(folder.content(), b"1\n", "{before:?}");
        folder.check(PRESENT).unwrap();
    }
}

#[test]
fn a_later_release_takes_over_the_folder_and_an_earlier_one_leaves_it_alone() {
    let folder = TemporaryFolder::new("newer");
    folder.check(PRESENT).unwrap();
    let (mut journal, _) = Journal::open(FolderDirectory::open(&folder.0).unwrap()).unwrap();
    journal.append(&[b"kept".to_vec()]).unwrap();
    drop(journal);
    folder.check(12).unwrap();
    assert_eq!(folder.content(), b"12\n");
    let error = folder.check(PRESENT).unwrap_err();
    assert!(matches!(error, FormatError::UnsupportedVersion { found: 12, supported: PRESENT }), "{error}");
    assert_eq!(folder.content(), b"12\n");
    let (_, recovered) = Journal::open(FolderDirectory::open(&folder.0).unwrap()).unwrap();
    assert_eq!(recovered.log, [b"kept".to_vec()]);
}

#[test]
fn a_file_that_holds_no_version_is_refused() {
    for content in [&b"one\n"[..], b"-1\n", b"1.5\n", b"99999999999\n", b"\xff\n", b"1 2\n"] {
        let folder = TemporaryFolder::new("garbled");
        fs::write(folder.0.join("format"), content).expect("it can be written");
        assert!(matches!(folder.check(PRESENT), Err(FormatError::InvalidVersion)), "{content:?}");
        assert_eq!(folder.content(), content);
    }
}
