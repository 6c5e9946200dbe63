//! The interface of a simulated process.

use std::net::SocketAddr;

/// The contents of a disk: the last checkpoint and the records appended after it.
pub type Recovered = (Option<Vec<u8>>, Vec<Vec<u8>>);

/// A state machine that runs on a node. Times are in milliseconds of the simulated clock.
pub trait Process: Sized {
    /// A message between processes.
    type Message: Clone;
    /// An input from outside of the cluster.
    type Command;
    /// An output to the outside of the cluster.
    type Answer;

    /// Handles an event. Returns the effects to perform, in order.
    fn handle(&mut self, now: u64, event: Event<Self>) -> Vec<Effect<Self>>;

    /// The size of a message on a link of limited bandwidth, in bytes.
    fn message_bytes(_message: &Self::Message) -> usize {
        0
    }
}

/// An input of a process.
pub enum Event<P: Process> {
    /// Time has passed. Sent at a fixed interval.
    Tick,
    /// A message of another process was received.
    Message {
        /// The sender.
        from: SocketAddr,
        /// The message.
        message: P::Message,
    },
    /// An input from outside of the cluster was received.
    Command(P::Command),
    /// A write is durable.
    Persisted {
        /// The token of the write.
        token: u64,
    },
    /// A write has failed.
    PersistFailed {
        /// The token of the write.
        token: u64,
    },
}

/// An output of a process.
pub enum Effect<P: Process> {
    /// Send a message to another process.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: P::Message,
    },
    /// Append records to the log of the disk.
    Append {
        /// The token with which the result is reported.
        token: u64,
        /// The records.
        records: Vec<Vec<u8>>,
    },
    /// Replace the checkpoint of the disk and empty its log.
    Checkpoint {
        /// The token with which the result is reported.
        token: u64,
        /// The new checkpoint.
        state: Vec<u8>,
    },
    /// Send an output to the outside of the cluster.
    Answer(P::Answer),
}

/// The parameters of a process at its start.
#[derive(Clone, Debug)]
pub struct Start {
    /// The address of the node.
    pub endpoint: SocketAddr,
    /// The current time.
    pub now: u64,
    /// A number that is drawn at each start.
    pub random_number: u64,
    /// Whether this is the first start of a node that belongs to the initial cluster.
    pub is_bootstrap: bool,
    /// The addresses of all current nodes.
    pub nodes: Vec<SocketAddr>,
    /// The contents of the disk.
    pub recovered: Recovered,
}
