//! The outputs of a replica.

use std::net::SocketAddr;

use snafu::Snafu;

use crate::durable::DurableWrite;
use crate::message::Message;
use crate::records::RecordWrite;

/// An action that the embedding program has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The endpoint of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Make a write durable. Writes must be carried out in the order in which they are requested.
    Persist {
        /// Identifies the write in [`crate::Input::Persisted`] or [`crate::Input::PersistFailed`].
        token: u64,
        /// The write.
        write: DurableWrite,
    },
    /// Answer a command that was submitted to this replica.
    Reply {
        /// The ticket of the command.
        ticket: u64,
        /// The answer, or the reason why there is none.
        result: Result<Reply, SubmitError>,
    },
    /// [`crate::Replica::committed_records`] have advanced by one command.
    Committed {
        /// The position of the command in the history.
        sequence: u64,
        /// The writes of the command.
        writes: Vec<RecordWrite>,
    },
    /// [`crate::Replica::committed_records`] were replaced by a state transfer.
    RecordsReplaced,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The position in the history of the write, or of the state that was read.
    pub sequence: u64,
    /// The answer of the application.
    pub answer: Vec<u8>,
}

/// Why a command has no answer. The texts are sent to callers in HTTP answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SubmitError {
    /// The command was never sent, so it has no effect.
    #[snafu(display("there was no chain to take the command; it has no effect"))]
    NoQuorum,
    /// The command was sent, and may have an effect.
    #[snafu(display("no answer came in time; the command may have an effect"))]
    OutcomeUnknown,
}
