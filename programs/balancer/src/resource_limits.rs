//! Divides the configured limits on memory and sockets among clients, upstream connections and requests, so that
//! the process never runs out of either under load.

use std::fmt::{self, Display, Formatter};

use whinspindle_protocol::query::MAX_BODY_BYTES;

use crate::configuration::Limits;

/// Descriptors that are kept free at the least: for the watch of the endpoint list, the listener, standard streams,
/// the runtime, and one connection above the limit.
const MIN_SPARE_SOCKETS: usize = 24;

/// How many connections and requests the process takes, and how much memory long answers may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Maximum number of connections that clients have opened.
    pub accepted: usize,
    /// Maximum number of connections to upstreams, for executions and probes.
    pub upstream: usize,
    /// Maximum number of requests in flight, each of which may hold a request body and an answer body. There are
    /// fewer of them than client connections, so that one more request can always be read and rejected.
    pub queries: usize,
    /// Bytes of memory for the part of answers that exceeds the usual size.
    pub long_answers: usize,
}

impl ResourceLimits {
    /// Divides the limits of the process among the uses.
    pub fn divide(limits: Limits) -> Self {
        let sockets = limits.sockets as usize;
        let spare = (sockets / 16).max(MIN_SPARE_SOCKETS);
        let upstream = (sockets - spare) * 2 / 5;
        let accepted = sockets - spare - upstream;
        // Half of the memory is for bodies and a quarter for long answers; the rest is for buffers of connections
        // and for the program. Shifting megabytes by 19 gives half of them in bytes.
        let bodies = (limits.memory_mb as usize) << 19;
        let queries = (accepted - accepted / 8).min(bodies / (2 * MAX_BODY_BYTES));
        ResourceLimits { accepted, upstream, queries, long_answers: bodies / 2 }
    }
}

/// The form of the log line at the start, which operators search for under this name.
impl Display for ResourceLimits {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ResourceLimits { accepted, upstream, queries, long_answers } = self;
        write!(
            f,
            "Shares {{ accepted: {accepted}, upstream: {upstream}, queries: {queries}, long_answers: {long_answers} }}"
        )
    }
}

#[cfg(test)]
mod tests;
