//! Records that are read whole or not at all.

use std::fs;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use whinspindle_record_store::{RecordStore, StoreError};

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("whinspindle-store-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

#[test]
fn the_last_whole_version_is_read_whatever_became_of_the_files() {
    // Each byte of the file last written is cut off or changed in turn; what is read is that version whole, or
    // the one before it.
    let folder = folder("torn");
    let store = RecordStore::open(&folder).expect("a folder");
    assert_eq!(store.read("r"), None);
    for version in [b"one".as_slice(), b"two, longer", b"three"] {
        store.write("r", version).expect("written");
        assert_eq!(store.read("r").as_deref(), Some(version));
    }
    let newest = folder.join("r.a");
    let whole = fs::read(&newest).expect("the third version");
    assert!(whole.ends_with(b"three"));
    for length in 0..whole.len() {
        fs::write(&newest, &whole[..length]).expect("torn");
        assert_eq!(store.read("r").as_deref(), Some(b"two, longer".as_slice()), "cut at {length}");
    }
    for at in 0..whole.len() {
        let mut spoilt = whole.clone();
        spoilt[at] ^= 0x40;
        fs::write(&newest, &spoilt).expect("spoilt");
        assert_eq!(store.read("r").as_deref(), Some(b"two, longer".as_slice()), "spoilt at {at}");
    }
    // A write after that does not take the one good file's place.
    store.write("r", b"four").expect("written");
    assert_eq!(store.read("r").as_deref(), Some(b"four".as_slice()));
    assert!(fs::read(folder.join("r.b")).expect("kept").ends_with(b"two, longer"));
    // What was being written when the process died is nothing.
    fs::write(folder.join("r.new"), b"half").expect("written");
    assert_eq!(store.read("r").as_deref(), Some(b"four".as_slice()));
    store.remove("r");
    assert_eq!(store.read("r"), None);
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn a_folder_is_held_by_one_and_a_write_that_fails_changes_nothing() {
    let folder = folder("held");
    let store = RecordStore::open(&folder).expect("a folder");
    assert!(matches!(RecordStore::open(&folder), Err(StoreError::Locked(_))));
    store.write("r", b"kept").expect("written");
    // A folder stands where the temporary file is to be made, so that nobody can write, root neither.
    fs::create_dir(folder.join("r.new")).expect("a folder");
    assert!(matches!(store.write("r", b"lost"), Err(StoreError::Io(..))));
    assert_eq!(store.read("r").as_deref(), Some(b"kept".as_slice()));
    drop(store);
    assert!(RecordStore::open(&folder).is_ok());
    let _ = fs::remove_dir_all(&folder);
}

/// A process that has ended may hold its folder a moment longer, by a child that was started meanwhile.
#[test]
fn a_folder_that_is_released_soon_is_waited_for() {
    let folder = folder("released");
    let store = RecordStore::open(&folder).expect("a folder");
    store.write("r", b"kept").expect("written");
    let released = thread::spawn(move || {
        thread::sleep(Duration::from_millis(100));
        drop(store);
    });
    let next = RecordStore::open(&folder).expect("it is released in time");
    assert_eq!(next.read("r").as_deref(), Some(b"kept".as_slice()));
    released.join().expect("it ends");
    let _ = fs::remove_dir_all(&folder);
}
