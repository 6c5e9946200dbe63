//! Errors of decoding, and the decoding of byte strings of a fixed length.

use snafu::{OptionExt, Snafu};

/// Received bytes are not a message of their schema.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DecodeError {
    /// The bytes are not a Cap'n Proto message, or it is longer to read through than allowed.
    #[snafu(display("the message is broken"), context(false))]
    Malformed {
        /// The error of the decoder.
        source: capnp::Error,
    },
    /// A text is not UTF-8.
    #[snafu(display("a text of the message is not UTF-8"), context(false))]
    InvalidUtf8 {
        /// Where the text is not UTF-8.
        source: std::str::Utf8Error,
    },
    /// A union or enum holds a variant that this release does not know.
    #[snafu(display("the message holds a variant that this release does not know"), context(false))]
    UnknownVariant {
        /// The number of the variant.
        source: capnp::NotInSchema,
    },
    /// An IP address has another length than its kind.
    #[snafu(display("an address of the message has {length} bytes"))]
    AddressLength {
        /// Its length in bytes.
        length: usize,
    },
    /// A digest has another length.
    #[snafu(display("a digest of the message has {length} bytes"))]
    DigestLength {
        /// Its length in bytes.
        length: usize,
    },
}

/// The bytes of an IP address.
///
/// # Errors
///
/// Their number is another one.
pub fn address_octets<const LENGTH: usize>(octets: &[u8]) -> Result<[u8; LENGTH], DecodeError> {
    octets.try_into().ok().context(AddressLengthSnafu { length: octets.len() })
}
