//! Building and bounded reading of Cap'n Proto messages, for all schemas of the internal protocol.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod decode_error;

use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::{self, OwnedSegments};

pub use decode_error::{DecodeError, DigestLengthSnafu, address_octets};

const WORD_BYTES: usize = 8;
/// A message may be read through this many times over, so that shared pointers cannot make it seem endless.
const TRAVERSALS: usize = 8;
/// Words that a message of any length may be read through.
const LEAST_TRAVERSED_WORDS: usize = 64;
/// Enough for a heartbeat, a report or a keep-alive in one segment.
const FIRST_SEGMENT_WORDS: u32 = 128;

/// An empty message.
pub fn new_message() -> Builder<HeapAllocator> {
    Builder::new(HeapAllocator::new().first_segment_words(FIRST_SEGMENT_WORDS))
}

/// Opens a received message. Reading through it fails once its parts have been visited too often for its length.
pub fn read_message(mut bytes: &[u8]) -> Result<Reader<OwnedSegments>, capnp::Error> {
    let words = bytes.len() / WORD_BYTES * TRAVERSALS + LEAST_TRAVERSED_WORDS;
    let options = ReaderOptions { traversal_limit_in_words: Some(words), ..ReaderOptions::default() };
    serialize::read_message(&mut bytes, options)
}
