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
    Whole,
}

#[derive(Debug)]
pub struct Failure {
    pub progress: Progress,
    pub cause: Cause,
}

#[derive(Debug)]
pub enum Cause {
    /// All connections that may be open are in use.
    NoneFree,
    /// Nothing was wanted of the server any more, before the first byte.
    Unwanted,
    Connect(std::io::Error),
    ConnectTimeOut,
    Connection(hyper::Error),
    /// The body of the response is longer than one may be.
    TooLong,
}

impl Failure {
    /// Whether the exchange was given up here, through no fault of the server.
    pub fn is_own(&self) -> bool {
        matches!(self.cause, Cause::NoneFree | Cause::Unwanted)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match &self.cause {
            Cause::NoneFree => write!(to, "all connections are in use"),
            Cause::Unwanted => write!(to, "wanted no more"),
            Cause::Connect(e) => write!(to, "connect: {e}"),
            Cause::ConnectTimeOut => write!(to, "connect: timed out"),
            Cause::Connection(e) => write!(to, "connection: {e}, request {:?}", self.progress),
            Cause::TooLong => write!(to, "response too long"),
        }
    }
}

impl std::error::Error for Failure {}
