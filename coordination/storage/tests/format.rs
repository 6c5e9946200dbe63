//! The format version of a folder: which versions a release writes, accepts and rejects.

use std::path::PathBuf;
use std::{env, fs, process};

use whinspindle_storage::{FolderDirectory, FormatError, Journal, check_format};

const CURRENT_VERSION: u32 = 1;

/// A folder that is removed at the end of the test.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> Self {
        let folder = env::temp_dir().join(format!("whinspindle-format-{name}-{}", process::id()));
        fs::create_dir_all(&folder).expect("the folder can be created");
        TemporaryFolder(folder)
    }

    fn check(&self, supported: u32) -> Result<(), FormatError> {
        check_format(&mut FolderDirectory::open(&self.0).expect("the folder can be used"), supported)
    }

    fn format_file(&self) -> Vec<u8> {
        fs::read(self.0.join("format")).unwrap_or_default()
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_current_version_is_written_to_a_folder_without_a_version() {
    // Possible contents of the file after a loss of power before its first sync.
    for (index, initial_content) in
        [None, Some(&b""[..]), Some(b"\0"), Some(b"\0\n"), Some(b"\n")].into_iter().enumerate()
    {
        let folder = TemporaryFolder::new(&format!("none-{index}"));
        if let Some(content) = initial_content {
            fs::write(folder.0.join("format"), content).expect("the file can be written");
        }
        folder.check(CURRENT_VERSION).unwrap();
        assert_eq!(folder.format_file(), b"1\n", "{initial_content:?}");
        folder.check(CURRENT_VERSION).unwrap();
    }
}

#[test]
fn a_later_release_updates_the_version_and_an_earlier_release_rejects_the_folder() {
    let folder = TemporaryFolder::new("newer");
    folder.check(CURRENT_VERSION).unwrap();
    let (mut journal, _) = Journal::open(FolderDirectory::open(&folder.0).unwrap()).unwrap();
    journal.append(&[b"kept".to_vec()]).unwrap();
    drop(journal);
    folder.check(12).unwrap();
    assert_eq!(folder.format_file(), b"12\n");
    let error = folder.check(CURRENT_VERSION).unwrap_err();
    assert!(
        matches!(error, FormatError::UnsupportedVersion { found: 12, supported: CURRENT_VERSION }),
        "{error}"
    );
    assert_eq!(folder.format_file(), b"12\n");
    let (_, recovered) = Journal::open(FolderDirectory::open(&folder.0).unwrap()).unwrap();
    assert_eq!(recovered.log, [b"kept".to_vec()]);
}

#[test]
fn a_format_file_without_a_version_is_rejected() {
    for content in [&b"one\n"[..], b"-1\n", b"1.5\n", b"99999999999\n", b"\xff\n", b"1 2\n"] {
        let folder = TemporaryFolder::new("garbled");
        fs::write(folder.0.join("format"), content).expect("the file can be written");
        assert!(matches!(folder.check(CURRENT_VERSION), Err(FormatError::InvalidVersion)), "{content:?}");
        assert_eq!(folder.format_file(), content);
    }
}
