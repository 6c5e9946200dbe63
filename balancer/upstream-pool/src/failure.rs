//! Why an exchange came to nothing, and how far it had come.

use std::fmt;

/// How far an exchange has come; only the last step can have made the server begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No connection, or none of the request's bytes written.
    Nothing,
    /// Some of the request's bytes are written, the last is not.
    Begun,
    /// The request's last byte is written.
    Complete,
}

/// An exchange that brought no response.
#[derive(Debug)]
pub struct Failure {
    /// How far it had come.
    pub progress: Progress,
    /// Why it failed.
    pub cause: Cause,
    /// The connection had stood idle and broke before any answer: it may have been gone already.
    pub stale: bool,
    /// Some of an answer had come.
    pub answered: bool,
}

#[derive(Debug)]
pub enum Cause {
    /// All connections that may be open are in use.
    PoolExhausted,
    /// Nothing was wanted of the server any more, before the first byte.
    NotWanted,
    Connect(std::io::Error),
    ConnectTimeOut,
    Connection(hyper::Error),
    /// There is no memory for a body so long, in bytes.
    TooLong(u64),
    /// The response tells its length in two ways.
    ConflictingLengths,
    /// The response has begun and does not go on.
    Stalled,
}

impl Failure {
    /// Whether the exchange came to nothing here, through no fault of the server, which has seen none of it or not
    /// all.
    pub fn is_own(&self) -> bool {
        matches!(self.cause, Cause::PoolExhausted | Cause::NotWanted)
            || (self.stale && self.progress != Progress::Complete)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match &self.cause {
            Cause::PoolExhausted => write!(to, "all connections are in use"),
            Cause::NotWanted => write!(to, "wanted no more"),
            Cause::Connect(e) => write!(to, "connect: {e}"),
            Cause::ConnectTimeOut => write!(to, "connect: timed out"),
            Cause::Connection(e) if self.stale => {
                write!(to, "kept connection: {e}, request {:?}", self.progress)
            }
            Cause::Connection(e) => write!(to, "connection: {e}, request {:?}", self.progress),
            Cause::TooLong(bytes) => write!(to, "response too long: {bytes} bytes or more"),
            Cause::ConflictingLengths => write!(to, "response with two kinds of length"),
            Cause::Stalled => write!(to, "response begun and not ended"),
        }
    }
}

impl std::error::Error for Failure {}

#[cfg(test)]
mod tests;
