//! Errors that end the adapter.

use std::fmt::{self, Display, Formatter};
use std::io;

/// Why the adapter cannot go on.
#[derive(Debug)]
pub enum AdapterError {
    /// Standard input could not be read.
    Input(io::Error),
    /// Standard output could not be written.
    Output(io::Error),
    /// The input ended within the header of a batch, after this many bytes.
    TruncatedHeader(usize),
    /// The input ended within a batch.
    TruncatedBatch {
        /// Number of the batch.
        number: u32,
        /// Bytes that were read.
        read: usize,
        /// Bytes that the header announced.
        length: usize,
    },
    /// The reply to the batch with this number exceeds the maximum length.
    ReplyTooLong(u32),
    /// A record ends within a field.
    Truncated {
        /// Name of the record.
        record: &'static str,
        /// Name of the field.
        field: String,
    },
    /// A record has bytes after its last field.
    TrailingBytes {
        /// Name of the record.
        record: &'static str,
        /// Number of bytes after the last field.
        count: usize,
    },
    /// A record with an unknown code.
    UnknownCode(u8),
    /// An event for an instance that is not attached.
    NotAttached {
        /// Name of the record.
        record: &'static str,
        /// Id of the instance.
        balancer: u16,
    },
    /// A reference to an unknown endpoint list.
    UnknownList(u16),
    /// An unknown form of the event `endpoints`.
    UnknownForm(u8),
    /// An unknown state of an upstream.
    UnknownAvailability(u8),
    /// An unknown outcome of an execution.
    UnknownState(u8),
    /// The settings of an instance are invalid.
    Options(String),
}

impl Display for AdapterError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Input(error) => write!(f, "input: {error}"),
            AdapterError::Output(error) => write!(f, "output: {error}"),
            AdapterError::TruncatedHeader(read) => write!(f, "batch header: {read} bytes of 16"),
            AdapterError::TruncatedBatch { number, read, length } => {
                write!(f, "batch {number}: {read} bytes of {length}")
            }
            AdapterError::ReplyTooLong(number) => write!(f, "batch {number}: reply too long"),
            AdapterError::Truncated { record, field } => write!(f, "{record}: cut short in field {field}"),
            AdapterError::TrailingBytes { record, count } => {
                write!(f, "{record}: {count} bytes after the last field")
            }
            AdapterError::UnknownCode(code) => write!(f, "record of unknown code {code}"),
            AdapterError::NotAttached { record, balancer } => {
                write!(f, "{record}: balancer {balancer} was never attached")
            }
            AdapterError::UnknownList(number) => write!(f, "endpoints: no list {number}"),
            AdapterError::UnknownForm(form) => write!(f, "endpoints: unknown form {form}"),
            AdapterError::UnknownAvailability(state) => write!(f, "list: unknown availability {state}"),
            AdapterError::UnknownState(state) => write!(f, "completed: unknown stateCode {state}"),
            AdapterError::Options(error) => write!(f, "attach: options: {error}"),
        }
    }
}

impl std::error::Error for AdapterError {}
