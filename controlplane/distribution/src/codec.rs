//! Messages to and from the bytes of a frame's payload. The schema is in schema/distribution.capnp.

mod balancer;
mod gossip;
mod parts;
mod report;

use snafu::Snafu;

pub use balancer::{decode_to_balancer, encode_to_balancer};
pub use gossip::{decode_gossip, encode_gossip};
pub use report::{decode_hello, decode_report, encode_hello, encode_report};

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
