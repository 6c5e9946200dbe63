//! What a simulated process is.

use std::net::SocketAddr;

/// What a process finds on its disk: the last checkpoint and the records appended after it.
pub type Recovered = (Option<Vec<u8>>, Vec<Vec<u8>>);

/// A state machine that runs on a node. Times are milliseconds of the simulated clock.
pub trait Process: Sized {
    type Message: Clone;
    /// What a local caller asks.
    type Command;
    /// What a local caller is told.
    type Answer;

    fn handle(&mut self, now: u64, event: Event<Self>) -> Vec<Effect<Self>>;

    /// How large a message is on a link of limited width.
    fn message_bytes(_message: &Self::Message) -> usize {
        0
    }
}

/// What happens to a process.
pub enum Event<P: Process> {
    Tick,
    Message { from: SocketAddr, message: P::Message },
    Command(P::Command),
    Persisted { token: u64 },
    PersistFailed { token: u64 },
}

/// What a process does.
pub enum Effect<P: Process> {
    Send {
        to: SocketAddr,
        message: P::Message,
    },
    /// Appends records to the log of its disk.
    Append {
        token: u64,
        records: Vec<Vec<u8>>,
    },
    /// Replaces the disk's checkpoint and empties its log.
    Checkpoint {
        token: u64,
        state: Vec<u8>,
    },
    Answer(P::Answer),
}

/// What a process is told at its start.
#[derive(Clone, Debug)]
pub struct Start {
    pub endpoint: SocketAddr,
    pub now: u64,
    /// Drawn anew at each start.
    pub chance: u64,
    /// The first start of a node that is there from the beginning.
    pub is_founding: bool,
    /// All nodes that there are now.
    pub nodes: Vec<SocketAddr>,
    pub recovered: Recovered,
}
