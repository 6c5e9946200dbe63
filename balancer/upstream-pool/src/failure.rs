//! Errors of exchanges, with the progress of the request.

use std::fmt;

/// Progress of a request. The server can have processed the request only if it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No connection, or no byte of the request was written.
    NotStarted,
    /// Some bytes of the request were written, but not all.
    Partial,
    /// The last byte of the request was written.
    Complete,
}

/// The error of an exchange without a response.
#[derive(Debug)]
pub struct ExchangeError {
    /// Progress of the request.
    pub progress: Progress,
    /// Cause of the error.
    pub cause: Cause,
    /// Whether the connection was reused and broke before any response: the server may have closed it
    /// earlier.
    pub is_stale_connection: bool,
    /// Whether part of a response was received.
    pub response_started: bool,
}

#[derive(Debug)]
pub enum Cause {
    /// The maximum number of connections is in use.
    PoolExhausted,
    /// The caller no longer needed the request when its first byte was due.
    NotNeeded,
    Connect(std::io::Error),
    ConnectTimeOut,
    Connection(hyper::Error),
    /// The memory budget does not suffice for a body of this many bytes.
    ResponseTooLong(u64),
    /// The response has both a content length and a transfer encoding.
    ConflictingLengths,
    /// The response started but did not continue.
    Stalled,
}

impl ExchangeError {
    /// Whether the error is local and not caused by the server, which did not receive the complete request.
    pub fn is_local(&self) -> bool {
        matches!(self.cause, Cause::PoolExhausted | Cause::NotNeeded)
            || (self.is_stale_connection && self.progress != Progress::Complete)
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.cause {
            Cause::PoolExhausted => write!(f, "all connections are in use"),
            Cause::NotNeeded => write!(f, "request no longer needed"),
            Cause::Connect(e) => write!(f, "connect: {e}"),
            Cause::ConnectTimeOut => write!(f, "connect: timed out"),
            Cause::Connection(e) if self.is_stale_connection => {
                write!(f, "reused connection: {e}, request {:?}", self.progress)
            }
            Cause::Connection(e) => write!(f, "connection: {e}, request {:?}", self.progress),
            Cause::ResponseTooLong(bytes) => write!(f, "response too long: {bytes} bytes or more"),
            Cause::ConflictingLengths => write!(f, "response with conflicting lengths"),
            Cause::Stalled => write!(f, "response stalled"),
        }
    }
}

impl std::error::Error for ExchangeError {}

#[cfg(test)]
mod tests;
