//! Recovery from damaged files, locking and failed writes.

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
fn reads_the_last_complete_version_after_damage() {
    // Truncates or changes the newest file at each byte. Reads must return the previous version.
    let folder = folder("damaged");
    let store = RecordStore::open(&folder).expect("a folder");
    assert_eq!(store.read("r"), None);
    for version in [b"one".as_slice(), b"two, longer", b"three"] {
        store.write("r", version).expect("written");
        assert_eq!(store.read("r").as_deref(), Some(version));
    }
    let newest = folder.join("r.a");
    let complete = fs::read(&newest).expect("the third version");
    assert!(complete.ends_with(b"three"));
    for length in 0..complete.len() {
        fs::write(&newest, &complete[..length]).expect("damaged");
        assert_eq!(store.read("r").as_deref(), Some(b"two, longer".as_slice()), "cut at {length}");
    }
    for offset in 0..complete.len() {
        let mut damaged = complete.clone();
        damaged[offset] ^= 0x40;
        fs::write(&newest, &damaged).expect("damaged");
        assert_eq!(store.read("r").as_deref(), Some(b"two, longer".as_slice()), "damaged at {offset}");
    }
    // The next write does not overwrite the only valid file.
    store.write("r", b"four").expect("written");
    assert_eq!(store.read("r").as_deref(), Some(b"four".as_slice()));
    assert!(fs::read(folder.join("r.b")).expect("kept").ends_with(b"two, longer"));
    // A leftover temporary file is ignored.
    fs::write(folder.join("r.new"), b"half").expect("written");
    assert_eq!(store.read("r").as_deref(), Some(b"four".as_slice()));
    store.remove("r");
    assert_eq!(store.read("r"), None);
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn folder_is_locked_and_failed_writes_change_nothing() {
    let folder = folder("held");
    let store = RecordStore::open(&folder).expect("a folder");
    assert!(matches!(RecordStore::open(&folder), Err(StoreError::Locked(_))));
    store.write("r", b"kept").expect("written");
    // A folder with the name of the temporary file makes writes fail, even for root.
    fs::create_dir(folder.join("r.new")).expect("a folder");
    assert!(matches!(store.write("r", b"lost"), Err(StoreError::Io(..))));
    assert_eq!(store.read("r").as_deref(), Some(b"kept".as_slice()));
    drop(store);
    assert!(RecordStore::open(&folder).is_ok());
    let _ = fs::remove_dir_all(&folder);
}

/// A process that has ended may hold its lock slightly longer through a child process.
#[test]
fn open_waits_for_a_lock_that_is_released_soon() {
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
