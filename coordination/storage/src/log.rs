//! The encoding of records in a log file.
//!
//! A record consists of its length (4 bytes), a hash (16 bytes) and its content. The hash also covers the
//! generation of the log and the position of the record, so that bytes left by an earlier generation never
//! decode as a record.

use crate::error::{RecordTooLongSnafu, StorageError};

const LENGTH_BYTES: usize = 4;
const HASH_BYTES: usize = 16;
/// Length of everything before the content.
const HEADER_BYTES: usize = LENGTH_BYTES + HASH_BYTES;

/// The complete records at the start of a log file.
#[derive(Debug, Default)]
pub struct Scan {
    /// The contents of the records, oldest first.
    pub records: Vec<Vec<u8>>,
    /// The offset in bytes at which the last complete record ends.
    pub end_offset: u64,
    /// Whether other bytes follow the last complete record.
    pub has_trailing_bytes: bool,
}

/// Appends an encoded record to a buffer.
pub fn encode(generation: u64, index: u64, record: &[u8], buffer: &mut Vec<u8>) -> Result<(), StorageError> {
    let Ok(length) = u32::try_from(record.len()) else {
        return RecordTooLongSnafu { length: record.len() }.fail();
    };
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&hash(generation, index, record));
    buffer.extend_from_slice(record);
    Ok(())
}

/// Decodes the complete records of a generation at the start of a log file.
pub fn scan(generation: u64, file: &[u8]) -> Scan {
    let mut records = Vec::new();
    let mut rest = file;
    while let Some((record, remaining)) = split_record(generation, records.len() as u64, rest) {
        records.push(record.to_vec());
        rest = remaining;
    }
    Scan { records, end_offset: (file.len() - rest.len()) as u64, has_trailing_bytes: !rest.is_empty() }
}

/// Splits the bytes after the first record; `None` unless it is complete and has this generation and
/// position.
fn split_record(generation: u64, index: u64, bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let (length, expected_hash) = header.split_at(LENGTH_BYTES);
    let length = u32::from_le_bytes(length.try_into().ok()?);
    let (record, remaining) = rest.split_at_checked(usize::try_from(length).ok()?)?;
    (hash(generation, index, record) == expected_hash).then_some((record, remaining))
}

fn hash(generation: u64, index: u64, record: &[u8]) -> [u8; HASH_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    hasher.update(record);
    let mut hash = [0; HASH_BYTES];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
    hash
}
