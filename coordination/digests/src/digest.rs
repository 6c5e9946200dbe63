//! Digests of ranges, and the splitting of ranges into parts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::range::KeyRange;

/// The number of parts that [`split`] makes of a range at most.
pub const FAN_OUT: usize = 16;

/// Length of a digest.
const DIGEST_BYTES: usize = 16;

/// What a digest covers of a record.
pub trait VersionedRecord {
    /// The position in the history of the write that made the record.
    fn sequence(&self) -> u64;

    /// The content of the record.
    fn value(&self) -> &[u8];
}

/// A hash of the keys, sequences and values of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; DIGEST_BYTES]);

/// The digest of a range at one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeDigest {
    /// The range.
    pub range: KeyRange,
    /// Its digest.
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
    /// The bytes to send.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// A digest that was received; `None` if its length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Digest> {
        bytes.try_into().ok().map(Digest)
    }
}

impl RangeDigest {
    /// The digest of a range of these records.
    pub fn compute<R: VersionedRecord>(records: &BTreeMap<String, R>, range: KeyRange) -> Self {
        let digest = digest(records, &range);
        RangeDigest { range, digest }
    }

    /// Whether these records have the same digest of the range.
    pub fn matches<R: VersionedRecord>(&self, records: &BTreeMap<String, R>) -> bool {
        digest(records, &self.range) == self.digest
    }
}

/// The digest of a range of these records.
pub fn digest<R: VersionedRecord>(records: &BTreeMap<String, R>, range: &KeyRange) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for (key, record) in range.entries(records) {
        update_sized(&mut hasher, key.as_bytes());
        hasher.update(&record.sequence().to_le_bytes());
        update_sized(&mut hasher, record.value());
    }
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
    Digest(digest)
}

/// Hashes bytes with their length, so that neighbouring fields cannot be confused.
fn update_sized(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}

/// Splits a range into parts of about the same number of records: at most [`FAN_OUT`], and at most one for each record.
pub fn split<R: VersionedRecord>(records: &BTreeMap<String, R>, range: &KeyRange) -> Vec<RangeDigest> {
    split_into(records, range, FAN_OUT)
}

/// Splits all keys into at most `parts` ranges of about the same number of records.
pub fn partition<R: VersionedRecord>(records: &BTreeMap<String, R>, parts: usize) -> Vec<RangeDigest> {
    split_into(records, &KeyRange::all(), parts)
}

/// The ranges among these whose digests differ from those of the local records.
pub fn differing_ranges<R: VersionedRecord>(
    records: &BTreeMap<String, R>,
    digests: &[RangeDigest],
) -> Vec<KeyRange> {
    let different = digests.iter().filter(|digest| !digest.matches(records));
    different.map(|digest| digest.range.clone()).collect()
}

/// Splits a range into at most `parts` parts.
fn split_into<R: VersionedRecord>(
    records: &BTreeMap<String, R>,
    range: &KeyRange,
    parts: usize,
) -> Vec<RangeDigest> {
    let keys: Vec<&String> = range.entries(records).map(|(key, _)| key).collect();
    let parts = parts.min(keys.len()).max(1);
    // The first part begins with the range, not with its first key.
    let inner = (1..parts).map(|part| keys[part * keys.len() / parts].clone());
    let starts: Vec<String> = std::iter::once(range.start.clone()).chain(inner).collect();
    let ends = starts[1..].iter().cloned().map(Some).chain(std::iter::once(range.end.clone()));
    let ranges = starts.iter().cloned().zip(ends).map(|(start, end)| KeyRange { start, end });
    ranges.map(|range| RangeDigest::compute(records, range)).collect()
}
