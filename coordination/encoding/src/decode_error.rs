//! Why received bytes are no message, and the reading of byte strings of a fixed length.

use snafu::{OptionExt, Snafu};

/// Received bytes are no message of their schema.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DecodeError {
    #[snafu(display("the message is broken"), context(false))]
    Broken { source: capnp::Error },
    #[snafu(display("a text of the message is not UTF-8"), context(false))]
    Text { source: std::str::Utf8Error },
    #[snafu(display("the message holds a variant that this release does not know"), context(false))]
    UnknownVariant { source: capnp::NotInSchema },
    #[snafu(display("an address of the message has {length} bytes"))]
    AddressLength { length: usize },
    #[snafu(display("a digest of the message has {length} bytes"))]
    DigestLength { length: usize },
}

/// The bytes of an address.
pub fn address_octets<const LENGTH: usize>(octets: &[u8]) -> Result<[u8; LENGTH], DecodeError> {
    octets.try_into().ok().context(AddressLengthSnafu { length: octets.len() })
}
