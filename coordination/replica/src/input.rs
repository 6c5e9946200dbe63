//! What a replica is given.

use std::net::SocketAddr;

use crate::message::Message;

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed; expected at least every 50 ms.
    Tick,
    /// A message has arrived.
    Message {
        /// The endpoint of the sender.
        from: SocketAddr,
        /// What it sent.
        message: Message,
    },
    /// A command of a local caller.
    Submit {
        /// Identifies the command among those of this process.
        ticket: u64,
        /// What the application evaluates.
        command: Vec<u8>,
    },
    /// A write is durable.
    Persisted {
        /// The token of its [`crate::Output::Persist`].
        token: u64,
    },
    /// A write failed, or it is unknown whether it is durable.
    PersistFailed {
        /// The token of its [`crate::Output::Persist`].
        token: u64,
    },
    /// An operator answers for it that these voters never come back ([`crate::Replica::forced_reconfiguration`]).
    DeclareLost {
        /// Their endpoints.
        endpoints: Vec<SocketAddr>,
    },
    /// The process is shutting down.
    Shutdown,
}
