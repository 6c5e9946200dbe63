//! Anti-entropy: makes the records of one replica equal to those of another.
//!
//! The replica that is behind asks with its digests of some ranges. The other one answers for each whether it is the same
//! there; if not, it sends the records of a small range, or the digests of the parts of a large one. The next question is
//! about the parts that differ. Questions and answers are bounded in size.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::digest::{RangeDigest, VersionedRecord, split};
use crate::range::KeyRange;

/// The number of ranges in one question at most.
pub const MAX_QUESTION_RANGES: usize = 64;

/// An answer ends with the range that brings its keys and values to this size, in bytes.
pub const MAX_ANSWER_BYTES: usize = 256 << 10;

/// Up to this size in bytes, the records of a range are sent rather than the digests of its parts.
const SMALL_RANGE_BYTES: usize = 4 << 10;

/// The asking replica's digests of ranges that may differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The digests of the ranges.
    pub ranges: Vec<RangeDigest>,
}

/// Answers to the first ranges of a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer<R> {
    /// The answers, in the order of the ranges of the question.
    pub ranges: Vec<RangeAnswer<R>>,
}

/// The answer about one range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RangeAnswer<R> {
    /// Both replicas have the same digest.
    Same,
    /// All records of the range.
    Records(Vec<(String, R)>),
    /// The digests of the parts of the range, in their order and without gaps.
    Parts(Vec<RangeDigest>),
}

/// A change that the asking replica has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<R> {
    /// Write a record.
    Write {
        /// Its key.
        key: String,
        /// Its content.
        record: R,
    },
    /// Remove a record.
    Remove {
        /// Its key.
        key: String,
    },
}

/// The answer does not match the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnexpectedAnswer;

/// The asking side.
#[derive(Clone, Debug)]
pub struct Reconciliation {
    /// Ranges that may differ and do not overlap, the next one first.
    open: VecDeque<KeyRange>,
    /// The number of ranges of `open` that the last question was about.
    asked: usize,
}

impl std::fmt::Display for UnexpectedAnswer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer doesn't fit the question")
    }
}

impl std::error::Error for UnexpectedAnswer {}

impl Default for Reconciliation {
    fn default() -> Self {
        Reconciliation { open: VecDeque::from([KeyRange::all()]), asked: 0 }
    }
}

impl Reconciliation {
    /// Starts with all keys.
    pub fn new() -> Self {
        Reconciliation::default()
    }

    /// The next question; `None` once the records are equal. Without an answer, it may be asked again.
    pub fn next_question<R: VersionedRecord>(&mut self, records: &BTreeMap<String, R>) -> Option<Question> {
        self.asked = self.open.len().min(MAX_QUESTION_RANGES);
        let asked = self.open.range(..self.asked);
        let ranges: Vec<RangeDigest> =
            asked.map(|range| RangeDigest::compute(records, range.clone())).collect();
        (!ranges.is_empty()).then_some(Question { ranges })
    }

    /// Processes the answer to the last question. The changes have to be made before the next question.
    ///
    /// # Errors
    ///
    /// The answer does not match the question.
    pub fn apply<R: VersionedRecord + Clone + PartialEq>(
        &mut self,
        records: &BTreeMap<String, R>,
        answer: Answer<R>,
    ) -> Result<Vec<Change<R>>, UnexpectedAnswer> {
        if answer.ranges.len() > self.asked {
            return Err(UnexpectedAnswer);
        }
        let answered = self.open.range(..answer.ranges.len()).zip(&answer.ranges);
        if !answered.into_iter().all(|(range, answer)| answer.fits(range)) {
            return Err(UnexpectedAnswer);
        }
        self.asked = 0;
        let mut changes = Vec::new();
        let mut parts = Vec::new();
        for (range, answer) in self.open.drain(..answer.ranges.len()).zip(answer.ranges) {
            match answer {
                RangeAnswer::Same => {}
                RangeAnswer::Records(newer) => changes.extend(changes_of_range(records, &range, newer)),
                RangeAnswer::Parts(digests) => {
                    let different = digests.into_iter().filter(|digest| !digest.matches(records));
                    parts.extend(different.map(|digest| digest.range));
                }
            }
        }
        // Depth first, so that few ranges are open at a time.
        for range in parts.into_iter().rev() {
            self.open.push_front(range);
        }
        Ok(changes)
    }
}

impl<R> RangeAnswer<R> {
    /// Whether this can be the answer about the range.
    fn fits(&self, range: &KeyRange) -> bool {
        match self {
            RangeAnswer::Same => true,
            RangeAnswer::Records(records) => records.iter().all(|(key, _)| range.contains(key)),
            RangeAnswer::Parts(parts) => are_parts_of(parts, range),
        }
    }
}

/// Whether the parts cover the range without gaps or overlaps.
fn are_parts_of(parts: &[RangeDigest], range: &KeyRange) -> bool {
    let (Some(first), Some(last)) = (parts.first(), parts.last()) else { return false };
    let has_no_gap = parts.windows(2).all(|pair| {
        let border = &pair[1].range.start;
        pair[0].range.end.as_ref() == Some(border) && range.contains(border) && pair[0].range.start < *border
    });
    parts.len() >= 2 && first.range.start == range.start && last.range.end == range.end && has_no_gap
}

/// The changes that make the records of a range equal to the newer ones.
fn changes_of_range<R: Clone + PartialEq>(
    records: &BTreeMap<String, R>,
    range: &KeyRange,
    newer: Vec<(String, R)>,
) -> Vec<Change<R>> {
    let newer: BTreeMap<String, R> = newer.into_iter().collect();
    let gone = range.entries(records).filter(|(key, _)| !newer.contains_key(*key));
    let mut changes: Vec<Change<R>> = gone.map(|(key, _)| Change::Remove { key: key.clone() }).collect();
    let written = newer.into_iter().filter(|(key, record)| records.get(key) != Some(record));
    changes.extend(written.map(|(key, record)| Change::Write { key, record }));
    changes
}

/// Answers a question of another replica, or the first ranges of it.
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
        bytes += answer.bytes();
        ranges.push(answer);
    }
    Answer { ranges }
}

/// Answers about one range.
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
    /// The size in bytes, which the limit of an answer is about.
    fn bytes(&self) -> usize {
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

/// The size of a record in bytes.
fn record_bytes<R: VersionedRecord>(key: &str, record: &R) -> usize {
    key.len() + record.value().len()
}
