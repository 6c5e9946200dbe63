//! The inputs of a replica.

use std::net::SocketAddr;

use crate::message::Message;

/// An event that the embedding program passes to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A periodic timer event, expected at least every 50 ms.
    Tick,
    /// A message has arrived.
    Message {
        /// The endpoint of the sender.
        from: SocketAddr,
        /// The received message.
        message: Message,
    },
    /// A command from a local caller.
    Submit {
        /// Identifies the command within this process.
        ticket: u64,
        /// The command, which the application evaluates.
        command: Vec<u8>,
    },
    /// A write is durable.
    Persisted {
        /// The token of the [`crate::Output::Persist`] that requested the write.
        token: u64,
    },
    /// A write failed, or it is unknown whether it is durable.
    PersistFailed {
        /// The token of the [`crate::Output::Persist`] that requested the write.
        token: u64,
    },
    /// An operator declares voters permanently lost ([`crate::Replica::forced_reconfiguration`]).
    DeclareLost {
        /// The endpoints of the lost voters.
        endpoints: Vec<SocketAddr>,
    },
    /// The process is shutting down.
    Shutdown,
}
