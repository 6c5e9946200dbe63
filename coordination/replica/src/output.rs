//! What a replica returns.

use std::net::SocketAddr;

use snafu::Snafu;

use crate::durable::DurableWrite;
use crate::message::Message;
use crate::records::RecordWrite;

/// What the embedding program has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The endpoint of the receiver.
        to: SocketAddr,
        /// What to send.
        message: Message,
    },
    /// Make a write durable. Writes are carried out in the order in which they are requested.
    Persist {
        /// Returned with [`crate::Input::Persisted`] or [`crate::Input::PersistFailed`].
        token: u64,
        /// What to write.
        write: DurableWrite,
    },
    /// Answer a command that was submitted here.
    Reply {
        /// The ticket that it was submitted with.
        ticket: u64,
        /// Its answer.
        result: Result<Reply, SubmitError>,
    },
    /// [`crate::Replica::committed_records`] has advanced by one command.
    Committed {
        /// The position of the command in the history.
        sequence: u64,
        /// What it has written.
        writes: Vec<RecordWrite>,
    },
    /// [`crate::Replica::committed_records`] was replaced as a whole.
    RecordsReplaced,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The position in the history of the write, or of the state that was read.
    pub sequence: u64,
    /// What the application answered.
    pub answer: Vec<u8>,
}

/// Why a command has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SubmitError {
    /// The command was never sent, so it has no effect.
    #[snafu(display("there was no chain to take the command; it has no effect"))]
    NoQuorum,
    /// The command was sent, and may have an effect.
    #[snafu(display("no answer came in time; the command may have an effect"))]
    OutcomeUnknown,
}
