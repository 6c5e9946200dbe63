//! The source files of the workspace, for tests that check the documentation against them.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// The text of each source file, by its path relative to the root of the workspace.
pub struct Sources(pub BTreeMap<String, String>);

impl Sources {
    /// Reads all source files in these folders.
    pub fn read(folders: &[&str]) -> Sources {
        let mut sources = Sources(BTreeMap::new());
        for folder in folders {
            sources.read_folder(&root().join(folder));
        }
        sources
    }

    fn read_folder(&mut self, folder: &Path) {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                self.read_folder(&path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let name = path.strip_prefix(root()).unwrap().to_str().unwrap().to_owned();
                self.0.insert(name, fs::read_to_string(&path).unwrap());
            }
        }
    }
}

/// The root of the workspace.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
