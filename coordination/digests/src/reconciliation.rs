//! Anti-entropy: makes the records of one replica equal to those of another.
//!
//! The replica that is behind sends its digests of some ranges. For each range, the other replica answers
//! that the digests are the same, or sends the records of a small range or the digests of the parts of a
//! large range. The next question contains the differing parts. Questions and answers are bounded in size.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::digest::{RangeDigest, VersionedRecord, split};
use crate::range::KeyRange;

/// The maximum number of ranges in one question.
pub const MAX_QUESTION_RANGES: usize = 64;

/// An answer ends with the range whose keys and values bring it to this size, in bytes.
pub const MAX_ANSWER_BYTES: usize = 256 << 10;

/// Ranges up to this size are answered with their records, larger ranges with the digests of their parts.
const SMALL_RANGE_BYTES: usize = 4 << 10;

/// The digests of ranges that may differ, computed by the replica that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The digests of the ranges.
    pub ranges: Vec<RangeDigest>,
}

/// The answers to the first ranges of a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer<R> {
    /// The answers, in the order of the ranges of the question.
    pub ranges: Vec<RangeAnswer<R>>,
}

/// The answer for one range of a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RangeAnswer<R> {
    /// Both replicas have the same digest.
    Same,
    /// All records of the range.
    Records(Vec<(String, R)>),
    /// The digests of the parts of the range, in key order and without gaps.
    Parts(Vec<RangeDigest>),
}

/// A change that the replica that is behind has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<R> {
    /// Write a record.
    Write {
        /// The key of the record.
        key: String,
        /// The new record.
        record: R,
    },
    /// Remove a record.
    Remove {
        /// The key of the record.
        key: String,
    },
}

/// An answer that does not match the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnexpectedAnswer;

/// The state of a reconciliation at the replica that is behind.
#[derive(Clone, Debug)]
pub struct Reconciliation {
    /// The ranges still to compare, without overlaps, the next one first.
    unresolved: VecDeque<KeyRange>,
    /// The number of ranges at the front of `unresolved` that are in the last question.
    asked_ranges: usize,
}

impl std::fmt::Display for UnexpectedAnswer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer does not match the question")
    }
}

impl std::error::Error for UnexpectedAnswer {}

impl Default for Reconciliation {
    fn default() -> Self {
        Reconciliation { unresolved: VecDeque::from([KeyRange::all()]), asked_ranges: 0 }
    }
}

impl Reconciliation {
    /// Creates a reconciliation of all keys.
    pub fn new() -> Self {
        Reconciliation::default()
    }

    /// The next question; `None` once the records are equal. If no answer arrives, the question may be
    /// repeated.
    pub fn next_question<R: VersionedRecord>(&mut self, records: &BTreeMap<String, R>) -> Option<Question> {
        self.asked_ranges = self.unresolved.len().min(MAX_QUESTION_RANGES);
        let asked = self.unresolved.range(..self.asked_ranges);
        let ranges: Vec<RangeDigest> =
            asked.map(|range| RangeDigest::compute(records, range.clone())).collect();
        (!ranges.is_empty()).then_some(Question { ranges })
    }

    /// Processes the answer to the last question. The caller must make the returned changes before the next
    /// question.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer does not match the question.
    pub fn apply<R: VersionedRecord + Clone + PartialEq>(
        &mut self,
        records: &BTreeMap<String, R>,
        answer: Answer<R>,
    ) -> Result<Vec<Change<R>>, UnexpectedAnswer> {
        if answer.ranges.len() > self.asked_ranges {
            return Err(UnexpectedAnswer);
        }
        let answered = self.unresolved.range(..answer.ranges.len()).zip(&answer.ranges);
        if !answered.into_iter().all(|(range, answer)| answer.is_valid_for(range)) {
            return Err(UnexpectedAnswer);
        }
        self.asked_ranges = 0;
        let mut changes = Vec::new();
        let mut parts = Vec::new();
        for (range, answer) in self.unresolved.drain(..answer.ranges.len()).zip(answer.ranges) {
            match answer {
                RangeAnswer::Same => {}
                RangeAnswer::Records(newer) => changes.extend(changes_of_range(records, &range, newer)),
                RangeAnswer::Parts(digests) => {
                    let different = digests.into_iter().filter(|digest| !digest.matches(records));
                    parts.extend(different.map(|digest| digest.range));
                }
            }
        }
        // Depth first, to keep the number of unresolved ranges small.
        for range in parts.into_iter().rev() {
            self.unresolved.push_front(range);
        }
        Ok(changes)
    }
}

impl<R> RangeAnswer<R> {
    /// Whether this is a possible answer for the range.
    fn is_valid_for(&self, range: &KeyRange) -> bool {
        match self {
            RangeAnswer::Same => true,
            RangeAnswer::Records(records) => records.iter().all(|(key, _)| range.contains(key)),
            RangeAnswer::Parts(parts) => cover_range(parts, range),
        }
    }
}

/// Whether there are at least two parts and they cover the range without gaps or overlaps.
fn cover_range(parts: &[RangeDigest], range: &KeyRange) -> bool {
    let (Some(first), Some(last)) = (parts.first(), parts.last()) else { return false };
    let has_no_gap = parts.windows(2).all(|pair| {
        let boundary = &pair[1].range.start;
        pair[0].range.end.as_ref() == Some(boundary)
            && range.contains(boundary)
            && pair[0].range.start < *boundary
    });
    parts.len() >= 2 && first.range.start == range.start && last.range.end == range.end && has_no_gap
}

/// The changes that make the records in a range equal to the received newer records.
fn changes_of_range<R: Clone + PartialEq>(
    records: &BTreeMap<String, R>,
    range: &KeyRange,
    newer: Vec<(String, R)>,
) -> Vec<Change<R>> {
    let newer: BTreeMap<String, R> = newer.into_iter().collect();
    let removed = range.entries(records).filter(|(key, _)| !newer.contains_key(*key));
    let mut changes: Vec<Change<R>> = removed.map(|(key, _)| Change::Remove { key: key.clone() }).collect();
    let written = newer.into_iter().filter(|(key, record)| records.get(key) != Some(record));
    changes.extend(written.map(|(key, record)| Change::Write { key, record }));
    changes
}

/// Answers a question of another replica. A long answer covers only the first ranges of the question.
pub fn answer_question<R: VersionedRecord + Clone>(
    records: &BTreeMap<String, R>,
    question: &Question,
) -> Answer<R> {
    let mut ranges = Vec::new();
    let mut bytes = 0;
    for asked in question.ranges.iter().take(MAX_QUESTION_RANGES) {
        if bytes >= MAX_ANSWER_BYTES {
            break;
        }
        let answer = answer_range(records, asked);
        bytes += answer.size_bytes();
        ranges.push(answer);
    }
    Answer { ranges }
}

/// The answer for one range.
fn answer_range<R: VersionedRecord + Clone>(
    records: &BTreeMap<String, R>,
    asked: &RangeDigest,
) -> RangeAnswer<R> {
    if asked.matches(records) {
        return RangeAnswer::Same;
    }
    let is_single = asked.range.entries(records).nth(1).is_none();
    let range_bytes: usize =
        asked.range.entries(records).map(|(key, record)| record_bytes(key, record)).sum();
    if is_single || range_bytes <= SMALL_RANGE_BYTES {
        let entries = asked.range.entries(records);
        return RangeAnswer::Records(entries.map(|(key, record)| (key.clone(), record.clone())).collect());
    }
    RangeAnswer::Parts(split(records, &asked.range))
}

impl<R: VersionedRecord> RangeAnswer<R> {
    /// The size that counts towards [`MAX_ANSWER_BYTES`].
    fn size_bytes(&self) -> usize {
        match self {
            RangeAnswer::Same => 0,
            RangeAnswer::Records(records) => {
                records.iter().map(|(key, record)| record_bytes(key, record)).sum()
            }
            RangeAnswer::Parts(parts) => {
                parts.iter().map(|part| part.range.start.len() * 2 + size_of_val(part)).sum()
            }
        }
    }
}

fn record_bytes<R: VersionedRecord>(key: &str, record: &R) -> usize {
    key.len() + record.value().len()
}
