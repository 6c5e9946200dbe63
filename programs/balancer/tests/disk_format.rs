//! A controller on the disk of a later release: it refuses, says why, and changes nothing.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::{env, fs, process};

/// A folder that is removed at the end of the test.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new() -> Self {
        let folder = env::temp_dir().join(format!("whinspindle-disk-format-{}", process::id()));
        fs::create_dir_all(folder.join("data")).expect("the folder can be made");
        TemporaryFolder(folder)
    }

    fn data(&self, name: &str) -> PathBuf {
        self.0.join("data").join(name)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The settings of a controller on loopback with its data in this folder.
fn settings(folder: &TemporaryFolder) -> String {
    let example = include_str!("../../../controlplane/configuration/tests/data/settings.json");
    let data = folder.0.join("data");
    let loopback = example.replace("10.1.0.12", "127.0.0.1").replace("8166", "0").replace("8164", "0");
    loopback.replace("/data/keeper", &data.display().to_string())
}

fn start(folder: &TemporaryFolder) -> Output {
    let file = folder.0.join("boot.json");
    fs::write(&file, settings(folder)).expect("it can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinspindle"));
    command.arg("controller").arg("--settings").arg(&file).output().expect("the program starts")
}

#[test]
fn a_controller_refuses_the_disk_of_a_later_release() {
    let folder = TemporaryFolder::new();
    let files = [("format", &b"7\n"[..]), ("slot-a", b"of a later release"), ("log-b", b"also")];
    for (name, content) in files {
        fs::write(folder.data(name), content).expect("it can be written");
    }
    let ended = start(&folder);
    let log = String::from_utf8_lossy(&ended.stdout) + String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(1), "{log}");
    assert!(log.contains("format version 7") && log.contains("versions up to 1"), "{log}");
    for (name, content) in files {
        assert_eq!(fs::read(folder.data(name)).expect("it is there"), content, "{name}");
    }
    assert!(!folder.data("slot-b").exists(), "no file is made");
}
