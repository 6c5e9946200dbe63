//! Decoding errors, and the decoding of IP addresses of a fixed length.

use snafu::{OptionExt, Snafu};

/// Why received bytes could not be decoded as a message of the expected schema.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DecodeError {
    /// The bytes are not a Cap'n Proto message, or reading the message exceeds the traversal limit.
    #[snafu(display("the message is malformed"), context(false))]
    Malformed {
        /// The error of the decoder.
        source: capnp::Error,
    },
    /// A text field is not UTF-8.
    #[snafu(display("a text field of the message is not UTF-8"), context(false))]
    InvalidUtf8 {
        /// The position of the invalid bytes.
        source: std::str::Utf8Error,
    },
    /// A union or enum contains a variant that this release does not support.
    #[snafu(display("the message contains a variant that this release does not support"), context(false))]
    UnknownVariant {
        /// The number of the variant.
        source: capnp::NotInSchema,
    },
    /// The length of an IP address does not match its version.
    #[snafu(display("an IP address in the message has an invalid length of {length} bytes"))]
    AddressLength {
        /// The received length in bytes.
        length: usize,
    },
    /// A digest has an invalid length.
    #[snafu(display("a digest in the message has an invalid length of {length} bytes"))]
    DigestLength {
        /// The received length in bytes.
        length: usize,
    },
}

/// Converts the bytes of an IP address to an array.
///
/// # Errors
///
/// Returns an error if the number of bytes is not `LENGTH`.
pub fn address_octets<const LENGTH: usize>(octets: &[u8]) -> Result<[u8; LENGTH], DecodeError> {
    octets.try_into().ok().context(AddressLengthSnafu { length: octets.len() })
}
