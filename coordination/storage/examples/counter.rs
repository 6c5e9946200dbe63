//! A counter that survives a restart. Each step is appended to the log until a checkpoint replaces the log.

use std::error::Error;

use whinspindle_storage::{FolderDirectory, Journal, RecoveredState};

/// A checkpoint replaces a log that is longer than this.
const MAX_LOG_BYTES: usize = 1024;

fn recovered_count(recovered: &RecoveredState) -> u64 {
    let checkpoint = recovered.checkpoint.as_deref().and_then(|bytes| bytes.try_into().ok());
    checkpoint.map_or(0, u64::from_le_bytes) + recovered.log.len() as u64
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::temp_dir().join("whinspindle-counter");
    let (mut journal, recovered) = Journal::open(FolderDirectory::open(&folder)?)?;
    let mut counter = recovered_count(&recovered);
    println!("recovered {counter} from {}", folder.display());
    for _ in 0..100 {
        journal.append(&[b"step".to_vec()])?;
        counter += 1;
        if journal.log_bytes() > MAX_LOG_BYTES {
            journal.checkpoint(&counter.to_le_bytes())?;
        }
    }
    println!("now {counter}, {} bytes in the log; run it again to continue", journal.log_bytes());
    Ok(())
}
