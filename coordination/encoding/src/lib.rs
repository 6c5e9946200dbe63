//! Building and bounded reading of Cap'n Proto messages, for all schemas of the internal protocol.
//!
//! Use [`new_message`] to build a message, and [`read_message`] for received bytes: it limits how much a short message can
//! cost its reader. [`DecodeError`] is what the decoders of all packages return.

mod decode_error;

use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::{self, OwnedSegments};

pub use decode_error::{DecodeError, DigestLengthSnafu, address_octets};

/// Length of a word of Cap'n Proto.
const WORD_BYTES: usize = 8;
/// A message may be read through this many times, so that shared pointers cannot make it seem endless.
const TRAVERSALS: usize = 8;
/// Words that a message of any length may be read through.
const LEAST_TRAVERSED_WORDS: usize = 64;
/// Enough for a heartbeat, a report or a keep-alive in one segment.
const FIRST_SEGMENT_WORDS: u32 = 128;

/// An empty message.
pub fn new_message() -> Builder<HeapAllocator> {
    Builder::new(HeapAllocator::new().first_segment_words(FIRST_SEGMENT_WORDS))
}

/// Opens a received message. Reading fails once its parts have been visited too often for its length.
///
/// # Errors
///
/// The bytes are not a Cap'n Proto message.
pub fn read_message(mut bytes: &[u8]) -> Result<Reader<OwnedSegments>, capnp::Error> {
    let words = bytes.len() / WORD_BYTES * TRAVERSALS + LEAST_TRAVERSED_WORDS;
    let options = ReaderOptions { traversal_limit_in_words: Some(words), ..ReaderOptions::default() };
    serialize::read_message(&mut bytes, options)
}
