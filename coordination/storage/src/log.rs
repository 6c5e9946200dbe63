//! The form of records in a log file.
//!
//! A record is its length (4 bytes), a hash (16 bytes) and its content. The hash also covers the generation of the log
//! and the position of the record, so that what an earlier generation left in the file is never taken for a record.

use crate::error::{RecordTooLongSnafu, StorageError};

const LENGTH_BYTES: usize = 4;
const HASH_BYTES: usize = 16;
const HEADER_BYTES: usize = LENGTH_BYTES + HASH_BYTES;

/// The whole records at the start of a log file.
#[derive(Debug, Default)]
pub struct Scan {
    pub records: Vec<Vec<u8>>,
    /// Where the last whole record ends.
    pub end: u64,
    /// Whether other bytes follow.
    pub has_more: bool,
}

/// Adds a record to a buffer that goes to the log in one write.
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
    while let Some((record, behind)) = split_record(generation, records.len() as u64, rest) {
        records.push(record.to_vec());
        rest = behind;
    }
    Scan { records, end: (file.len() - rest.len()) as u64, has_more: !rest.is_empty() }
}

fn split_record(generation: u64, index: u64, bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let (length, expected_hash) = header.split_at(LENGTH_BYTES);
    let length = u32::from_le_bytes(length.try_into().ok()?);
    let (record, behind) = rest.split_at_checked(usize::try_from(length).ok()?)?;
    (hash(generation, index, record) == expected_hash).then_some((record, behind))
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
