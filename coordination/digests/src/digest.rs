//! Digests of key ranges, and the splitting of ranges into parts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::range::KeyRange;

/// The maximum number of parts that [`split`] returns.
pub const FAN_OUT: usize = 16;

const DIGEST_BYTES: usize = 16;

/// A record as covered by a digest: its value and the sequence number of its last write.
pub trait VersionedRecord {
    /// The position in the history of the write that produced the record.
    fn sequence(&self) -> u64;

    /// The value of the record.
    fn value(&self) -> &[u8];
}

/// A hash of the keys, sequence numbers and values in a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; DIGEST_BYTES]);

/// The digest of a range at one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeDigest {
    /// The range.
    pub range: KeyRange,
    /// The digest of the range.
    pub digest: Digest,
}

impl VersionedRecord for (u64, Vec<u8>) {
    fn sequence(&self) -> u64 {
        self.0
    }

    fn value(&self) -> &[u8] {
        &self.1
    }
}

impl Digest {
    /// The bytes of the digest, for sending.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Converts received bytes to a digest; `None` if their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Digest> {
        bytes.try_into().ok().map(Digest)
    }
}

impl RangeDigest {
    /// Computes the digest of a range of the records.
    pub fn compute<R: VersionedRecord>(records: &BTreeMap<String, R>, range: KeyRange) -> Self {
        let digest = digest(records, &range);
        RangeDigest { range, digest }
    }

    /// Whether the digest of the range in `records` is the same.
    pub fn matches<R: VersionedRecord>(&self, records: &BTreeMap<String, R>) -> bool {
        digest(records, &self.range) == self.digest
    }
}

/// Computes the digest of a range of the records.
pub fn digest<R: VersionedRecord>(records: &BTreeMap<String, R>, range: &KeyRange) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for (key, record) in range.entries(records) {
        update_length_prefixed(&mut hasher, key.as_bytes());
        hasher.update(&record.sequence().to_le_bytes());
        update_length_prefixed(&mut hasher, record.value());
    }
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
    Digest(digest)
}

/// Hashes bytes prefixed with their length, so that adjacent fields cannot be confused.
fn update_length_prefixed(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}

/// Splits a range into parts with about the same number of records.
///
/// Returns at most [`FAN_OUT`] parts and at most one for each record. A range without records is one part.
pub fn split<R: VersionedRecord>(records: &BTreeMap<String, R>, range: &KeyRange) -> Vec<RangeDigest> {
    split_into(records, range, FAN_OUT)
}

/// Splits all keys into at most `max_parts` ranges with about the same number of records.
pub fn partition<R: VersionedRecord>(records: &BTreeMap<String, R>, max_parts: usize) -> Vec<RangeDigest> {
    split_into(records, &KeyRange::all(), max_parts)
}

/// The ranges whose digests differ from the digests of the local records.
pub fn differing_ranges<R: VersionedRecord>(
    records: &BTreeMap<String, R>,
    digests: &[RangeDigest],
) -> Vec<KeyRange> {
    let different = digests.iter().filter(|digest| !digest.matches(records));
    different.map(|digest| digest.range.clone()).collect()
}

/// Splits a range into at most `max_parts` parts.
fn split_into<R: VersionedRecord>(
    records: &BTreeMap<String, R>,
    range: &KeyRange,
    max_parts: usize,
) -> Vec<RangeDigest> {
    let keys: Vec<&String> = range.entries(records).map(|(key, _)| key).collect();
    let parts = max_parts.min(keys.len()).max(1);
    // The first part starts where the range starts, not at the first key in it.
    let inner_starts = (1..parts).map(|part| keys[part * keys.len() / parts].clone());
    let starts: Vec<String> = std::iter::once(range.start.clone()).chain(inner_starts).collect();
    let ends = starts[1..].iter().cloned().map(Some).chain(std::iter::once(range.end.clone()));
    let ranges = starts.iter().cloned().zip(ends).map(|(start, end)| KeyRange { start, end });
    ranges.map(|range| RangeDigest::compute(records, range)).collect()
}
