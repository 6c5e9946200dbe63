//! The connections to upstreams: a small pool, and one exchange of a request for a response. Nothing here
//! sends anything twice by itself.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod exchange;
mod failure;
mod pool;
mod room;

pub use exchange::Trail;
pub use failure::{Failure, Progress};
pub use pool::{Connections, Terms, Upstream};
pub use room::Room;
