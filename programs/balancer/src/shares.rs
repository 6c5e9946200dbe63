//! How memory and descriptors are shared out among what the program holds.

use whinspindle_protocol::query::MAX_BODY_BYTES;

use crate::placement::Limits;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections that clients have opened.
    pub accepted: usize,
    /// Connections to upstreams, for executions and probes.
    pub upstream: usize,
    /// Queries in hand, each of which may hold a body both ways. They are fewer than the connections, so that
    /// one more can always be read and turned away.
    pub queries: usize,
    /// Memory for the part of answers that goes beyond what is usual.
    pub long_answers: usize,
}

impl Shares {
    pub fn of(limits: Limits) -> Self {
        let sockets = limits.sockets as usize;
        // For the list, the listener, standard streams, the runtime, and a connection over the brim.
        let spare = (sockets / 16).max(24);
        let upstream = (sockets - spare) * 2 / 5;
        let accepted = sockets - spare - upstream;
        // Half of the memory is for bodies and a quarter for what is longer; the rest is for buffers of connections
        // and for the program.
        let bodies = (limits.memory_mb as usize) << 19;
        let queries = (accepted - accepted / 8).min(bodies / (2 * MAX_BODY_BYTES));
        Shares { accepted, upstream, queries, long_answers: bodies / 2 }
    }
}

#[cfg(test)]
mod tests;
