//! Messages to and from the bytes of a frame's payload. The schema is in schema/distribution.capnp.

mod balancer;
mod gossip;
mod parts;
mod report;

use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::{self, OwnedSegments};
use snafu::Snafu;

pub use balancer::{decode_to_balancer, encode_to_balancer};
pub use gossip::{decode_gossip, encode_gossip};
pub use report::{decode_hello, decode_report, encode_hello, encode_report};

const WORD_BYTES: usize = 8;
/// A message may be read through this many times over, so that shared pointers cannot make it seem endless.
const TRAVERSALS: usize = 8;
/// Words that a message of any length may be read through.
const LEAST_TRAVERSED_WORDS: usize = 64;
/// Enough for a report or a keep-alive in one segment.
const FIRST_SEGMENT_WORDS: u32 = 128;

/// Received bytes are no message of the schema.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    #[snafu(display("the message is broken"), context(false))]
    Broken { source: capnp::Error },
    #[snafu(display("a text of the message is not UTF-8"), context(false))]
    Text { source: std::str::Utf8Error },
    #[snafu(display("the message holds a variant that this release does not know"), context(false))]
    UnknownVariant { source: capnp::NotInSchema },
    #[snafu(display("an address of the message has {length} bytes"))]
    AddressLength { length: usize },
}

fn new_message() -> Builder<HeapAllocator> {
    Builder::new(HeapAllocator::new().first_segment_words(FIRST_SEGMENT_WORDS))
}

fn read_message(mut bytes: &[u8]) -> Result<Reader<OwnedSegments>, DecodeError> {
    let words = bytes.len() / WORD_BYTES * TRAVERSALS + LEAST_TRAVERSED_WORDS;
    let options = ReaderOptions { traversal_limit_in_words: Some(words), ..ReaderOptions::default() };
    Ok(serialize::read_message(&mut bytes, options)?)
}
