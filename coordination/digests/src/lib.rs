//! Range digests over a sorted map, to find where two replicas differ.
//!
//! Two replicas with the same records in a range have the same digest of it. Where digests differ, the
//! range is split further, and only the records of small differing ranges are sent.
//!
//! To find the differences in one round trip, send the digests of a [`partition`] and let the other replica
//! compute the [`differing_ranges`]. To send as few bytes as possible, use a [`Reconciliation`], which
//! takes several round trips.
//!
//! ```
//! use std::collections::BTreeMap;
//! use whinspindle_digests::{Change, Reconciliation, answer_question};
//!
//! let first = ("a".to_owned(), (1, b"first".to_vec()));
//! let second = ("b".to_owned(), (2, b"second".to_vec()));
//! let source = BTreeMap::from([first.clone(), second]);
//! let mut target = BTreeMap::from([first]);
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
