//! Fixtures: bytes as a program has stored or sent them, kept as files in a package's `tests/data`. Packages
//! take this file in by its path.

use std::fs;
use std::path::PathBuf;

/// The bytes of the fixture with this name, which what is `written` now is held against.
///
/// With `WRITE_FIXTURES=1` in the environment the file is made anew from `written`. One may do that only where
/// a format is changed on purpose, together with its migration: what is in service then has bytes of both
/// forms on its disks and in its datagrams. A renaming is no such change.
pub fn fixture(name: &str, written: &[u8]) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name);
    if std::env::var_os("WRITE_FIXTURES").is_some_and(|value| value == "1") {
        fs::write(&path, written).expect("the fixture is written");
    }
    let bytes = fs::read(&path).unwrap_or_else(|fault| panic!("{}: {fault}", path.display()));
    assert!(bytes == written, "{name}: what is written now is not what the fixture has");
    bytes
}
