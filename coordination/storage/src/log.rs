//! The encoding of records in a log file.
//!
//! A record is its length (4 bytes), a hash (16 bytes) and its content. The hash also covers the generation of the log
//! and the position of the record, so that what an earlier generation left in the file is never taken for a record.

use crate::error::{RecordTooLongSnafu, StorageError};

/// Length of the length field.
const LENGTH_BYTES: usize = 4;
/// Length of the hash.
const HASH_BYTES: usize = 16;
/// Length of everything before the content.
const HEADER_BYTES: usize = LENGTH_BYTES + HASH_BYTES;

/// The complete records at the start of a log file.
#[derive(Debug, Default)]
pub struct Scan {
    /// Their contents, oldest first.
    pub records: Vec<Vec<u8>>,
    /// The offset in bytes at which the last complete record ends.
    pub end: u64,
    /// Whether other bytes follow.
    pub has_more: bool,
}

/// Appends a record to a buffer that is written to the log at once.
pub fn encode(generation: u64, index: u64, record: &[u8], buffer: &mut Vec<u8>) -> Result<(), StorageError> {
    let Ok(length) = u32::try_from(record.len()) else {
        return RecordTooLongSnafu { length: record.len() }.fail();
    };
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&hash(generation, index, record));
    buffer.extend_from_slice(record);
    Ok(())
}

/// Reads the records of one generation.
pub fn scan(generation: u64, file: &[u8]) -> Scan {
    let mut records = Vec::new();
    let mut rest = file;
    while let Some((record, remaining)) = split_record(generation, records.len() as u64, rest) {
        records.push(record.to_vec());
        rest = remaining;
    }
    Scan { records, end: (file.len() - rest.len()) as u64, has_more: !rest.is_empty() }
}

/// Splits the first record off the bytes, if it is complete and of this generation and position.
fn split_record(generation: u64, index: u64, bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let (length, expected_hash) = header.split_at(LENGTH_BYTES);
    let length = u32::from_le_bytes(length.try_into().ok()?);
    let (record, remaining) = rest.split_at_checked(usize::try_from(length).ok()?)?;
    (hash(generation, index, record) == expected_hash).then_some((record, remaining))
}

/// The hash of a record.
fn hash(generation: u64, index: u64, record: &[u8]) -> [u8; HASH_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    hasher.update(record);
    let mut hash = [0; HASH_BYTES];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
    hash
}
