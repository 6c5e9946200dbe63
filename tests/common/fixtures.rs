//! Binary fixtures: bytes in stored or sent formats, kept in the `tests/data` folder of a package. Packages
//! include this file with `#[path]`.

use std::fs;
use std::path::PathBuf;

/// Returns the fixture with this name and checks that it is equal to `written`, the bytes that the current
/// code writes.
///
/// With `WRITE_FIXTURES=1` in the environment, the file is first overwritten with `written`. Do so only for
/// an intended change of a format together with its migration, because running systems then have both formats
/// on disk and in datagrams. A renaming must not change the format.
pub fn fixture(name: &str, written: &[u8]) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name);
    if std::env::var_os("WRITE_FIXTURES").is_some_and(|value| value == "1") {
        fs::write(&path, written).expect("the fixture can be written");
    }
    let bytes = fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    assert!(bytes == written, "{name}: the written bytes differ from the fixture");
    bytes
}
