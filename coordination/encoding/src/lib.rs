//! Building and bounded reading of Cap'n Proto messages, for all schemas of the internal protocol.
//!
//! Use [`new_message`] to build a message and [`read_message`] to read received bytes. [`read_message`]
//! limits the work that a short message can cause. The decoders of all packages return [`DecodeError`].

mod decode_error;

use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::{self, OwnedSegments};

pub use decode_error::{DecodeError, DigestLengthSnafu, address_octets};

/// Length of a Cap'n Proto word.
const WORD_BYTES: usize = 8;
/// The number of times that a message may be traversed. The limit guards against messages whose pointers
/// share data.
const MAX_TRAVERSALS: usize = 8;
/// The traversal limit is at least this number of words, however short the message is.
const MIN_TRAVERSAL_LIMIT_WORDS: usize = 64;
/// Large enough for a heartbeat, a report or a keep-alive in one segment.
const FIRST_SEGMENT_WORDS: u32 = 128;

/// Creates an empty message.
pub fn new_message() -> Builder<HeapAllocator> {
    Builder::new(HeapAllocator::new().first_segment_words(FIRST_SEGMENT_WORDS))
}

/// Opens a received message. Reading it fails once the traversal limit for its length is exceeded.
///
/// # Errors
///
/// Returns an error if the bytes are not a Cap'n Proto message.
pub fn read_message(mut bytes: &[u8]) -> Result<Reader<OwnedSegments>, capnp::Error> {
    let limit_words = bytes.len() / WORD_BYTES * MAX_TRAVERSALS + MIN_TRAVERSAL_LIMIT_WORDS;
    let options = ReaderOptions { traversal_limit_in_words: Some(limit_words), ..ReaderOptions::default() };
    serialize::read_message(&mut bytes, options)
}
