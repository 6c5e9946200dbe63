//! Encodes messages as frame payloads and decodes them. The schema is `schema/distribution.capnp`.

mod balancer;
mod gossip;
mod parts;
mod report;

pub use balancer::{decode_to_balancer, encode_to_balancer};
pub use gossip::{decode_gossip, encode_gossip};
pub use report::{decode_hello, decode_report, encode_hello, encode_report};
pub use whinspindle_encoding::DecodeError;
