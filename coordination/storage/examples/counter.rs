//! A counter that survives a restart: each step is appended to the log, and a checkpoint takes the steps' place.

use std::error::Error;

use whinspindle_storage::{FolderDirectory, Journal, RecoveredState};

/// A log longer than this is replaced by a checkpoint.
const LONGEST_LOG_BYTES: usize = 1024;

fn count(recovered: &RecoveredState) -> u64 {
    let checkpoint = recovered.checkpoint.as_deref().and_then(|bytes| bytes.try_into().ok());
    checkpoint.map_or(0, u64::from_le_bytes) + recovered.log.len() as u64
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::temp_dir().join("whinspindle-counter");
    let (mut journal, recovered) = Journal::open(FolderDirectory::open(&folder)?)?;
    let mut counter = count(&recovered);
    println!("recovered {counter} from {}", folder.display());
    for _ in 0..100 {
        journal.append(&[b"step".to_vec()])?;
        counter += 1;
        if journal.log_bytes() > LONGEST_LOG_BYTES {
            journal.checkpoint(&counter.to_le_bytes())?;
        }
    }
    println!("now {counter}, {} bytes in the log; start it again", journal.log_bytes());
    Ok(())
}
