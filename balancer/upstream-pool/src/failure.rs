//! Why an exchange came to nothing, and how far it had come.

use std::fmt;

/// How far an exchange has come; only the last step can have made the server begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No connection, or none of the request's bytes written.
    NotStarted,
    /// Some of the request's bytes are written, the last is not.
    Partial,
    /// The request's last byte is written.
    Complete,
}

/// An exchange that brought no response.
#[derive(Debug)]
pub struct ExchangeError {
    /// How far it had come.
    pub progress: Progress,
    /// Why it failed.
    pub cause: Cause,
    /// The connection had stood idle and broke before any answer: it may have been gone already.
    pub is_stale_connection: bool,
    /// Some of an answer had come.
    pub response_started: bool,
}

#[derive(Debug)]
pub enum Cause {
    /// All connections that may be open are in use.
    PoolExhausted,
    /// Nothing was wanted of the server any more, before the first byte.
    NotNeeded,
    Connect(std::io::Error),
    ConnectTimeOut,
    Connection(hyper::Error),
    /// There is no memory for a body so long, in bytes.
    ResponseTooLong(u64),
    /// The response tells its length in two ways.
    ConflictingLengths,
    /// The response has begun and does not go on.
    Stalled,
}

impl ExchangeError {
    /// Whether the exchange came to nothing here, through no fault of the server, which has seen none of it or not
    /// all.
    pub fn is_local(&self) -> bool {
        matches!(self.cause, Cause::PoolExhausted | Cause::NotNeeded)
            || (self.is_stale_connection && self.progress != Progress::Complete)
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match &self.cause {
            Cause::PoolExhausted => write!(to, "all connections are in use"),
            Cause::NotNeeded => write!(to, "wanted no more"),
            Cause::Connect(e) => write!(to, "connect: {e}"),
            Cause::ConnectTimeOut => write!(to, "connect: timed out"),
            Cause::Connection(e) if self.is_stale_connection => {
                write!(to, "kept connection: {e}, request {:?}", self.progress)
            }
            Cause::Connection(e) => write!(to, "connection: {e}, request {:?}", self.progress),
            Cause::ResponseTooLong(bytes) => write!(to, "response too long: {bytes} bytes or more"),
            Cause::ConflictingLengths => write!(to, "response with two kinds of length"),
            Cause::Stalled => write!(to, "response begun and not ended"),
        }
    }
}

impl std::error::Error for ExchangeError {}

#[cfg(test)]
mod tests;
