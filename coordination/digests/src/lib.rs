//! Range digests over a sorted map, to find where two replicas differ.
//!
//! Two replicas with the same records in a range have the same digest of it. Where digests differ, the range is narrowed
//! down, and only the records of small ranges that differ are sent.
//!
//! For one round trip, send the digests of a [`partition`] and have the other replica list the differing ranges ([`differing_ranges`]). For
//! as few bytes as possible, let a [`Reconciliation`] narrow the ranges down over several round trips.
//!
//! ```
//! use std::collections::BTreeMap;
//! use whinspindle_digests::{Change, Reconciliation, answer_question};
//!
//! let source = BTreeMap::from([("a".to_owned(), (1, b"first".to_vec())), ("b".to_owned(), (2, b"second".to_vec()))]);
//! let mut target = BTreeMap::from([("a".to_owned(), (1, b"first".to_vec()))]);
//! let mut reconciliation = Reconciliation::new();
//! while let Some(question) = reconciliation.next_question(&target) {
//!     let answer = answer_question(&source, &question);
//!     for change in reconciliation.apply(&target, answer)? {
//!         match change {
//!             Change::Write { key, record } => target.insert(key, record),
//!             Change::Remove { key } => target.remove(&key),
//!         };
//!     }
//! }
//! assert_eq!(target, source);
//! # Ok::<(), whinspindle_digests::UnexpectedAnswer>(())
//! ```

mod digest;
mod range;
mod reconciliation;

pub use digest::{Digest, FAN_OUT, RangeDigest, VersionedRecord, differing_ranges, digest, partition, split};
pub use range::KeyRange;
pub use reconciliation::{
    Answer, Change, MAX_ANSWER_BYTES, MAX_QUESTION_RANGES, Question, RangeAnswer, Reconciliation,
    UnexpectedAnswer, answer_question,
};
