//! The file format of a record: fixtures are compared field by field, read, and written again with the same
//! bytes.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;

use std::fs;
use std::path::PathBuf;

use fixtures::fixture;
use whinspindle_record_store::RecordStore;

const VERSIONS: [&[u8]; 3] = [b"the first version", b"", b"the third, with bytes \x00\x80\xff"];

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("whinspindle-stored-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn little_endian(bytes: &[u8]) -> u64 {
    bytes.iter().rev().fold(0, |value, byte| value << 8 | u64::from(*byte))
}

#[test]
fn record_files_match_the_fixtures() {
    let written = folder("written");
    let store = RecordStore::open(&written).expect("a folder");
    VERSIONS.iter().for_each(|version| store.write("record", version).expect("written"));
    // The third version overwrites the first, so that the second stays complete.
    let files = ["record.a", "record.b"].map(|file| {
        let now = fs::read(written.join(file)).expect("a file");
        (file, fixture(&format!("{file}.bin"), &now))
    });
    let mut names: Vec<_> = fs::read_dir(&written).expect("the folder").map(|f| f.expect("a file")).collect();
    names.sort_by_key(fs::DirEntry::file_name);
    let names: Vec<_> = names.iter().map(fs::DirEntry::file_name).collect();
    assert_eq!(names, ["lock", "record.a", "record.b"]);
    assert_eq!(fs::read(written.join("lock")).expect("the lock"), b"");
    for ((file, bytes), generation) in files.iter().zip([3, 2u64]) {
        let version = VERSIONS[generation as usize - 1];
        assert_eq!(&bytes[..8], b"whspin-1", "{file}: magic");
        assert_eq!(little_endian(&bytes[8..16]), generation, "{file}: generation");
        assert_eq!(little_endian(&bytes[16..24]), version.len() as u64, "{file}: length");
        let hashed = [&generation.to_le_bytes(), version].concat();
        assert_eq!(&bytes[24..56], blake3::hash(&hashed).as_bytes(), "{file}: hash");
        assert_eq!(&bytes[56..], version, "{file}: record");
    }
    // Reads the fixtures: the newest version, and the other one without the newest file.
    let read = folder("read");
    let store = RecordStore::open(&read).expect("a folder");
    files.iter().for_each(|(file, bytes)| fs::write(read.join(file), bytes).expect("written"));
    assert_eq!(store.read("record").as_deref(), Some(VERSIONS[2]));
    fs::remove_file(read.join("record.a")).expect("removed");
    assert_eq!(store.read("record").as_deref(), Some(VERSIONS[1]));
    // Writing the third version again produces the same bytes.
    store.write("record", VERSIONS[2]).expect("written");
    assert_eq!(fs::read(read.join("record.a")).expect("a file"), files[0].1);
    let _ = fs::remove_dir_all(&written);
    let _ = fs::remove_dir_all(&read);
}
