//! The inputs and outputs of the state machine.

use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_distribution::frame::FrameKind;
use whinspindle_distribution::{Report, SubscriberId, ToBalancer};
use whinspindle_replica::{DurableWrite, Message};

use crate::api::{Call, Response};
use crate::pending_commands::CallId;

/// An input of a controller.
#[derive(Debug)]
pub enum Event {
    /// Time has passed; to be given every few tens of milliseconds.
    Tick,
    /// A caller makes a call.
    Call {
        /// The number of the call.
        id: CallId,
        /// What is called.
        call: Call,
    },
    /// The caller has closed its connection before the answer.
    CallDropped {
        /// The number of the call.
        id: CallId,
    },
    /// A connection to another controller is established.
    PeerConnected {
        /// Its address.
        peer: SocketAddr,
    },
    /// A message of another controller's replica was received.
    ReplicaMessage {
        /// The address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A gossip message of another controller was received.
    GossipReceived {
        /// The address of the sender.
        from: SocketAddr,
        /// The encoded gossip.
        payload: Bytes,
    },
    /// A balancer has reported; its first report subscribes it.
    Report {
        /// The connection of the balancer.
        subscriber: SubscriberId,
        /// What it reports.
        report: Report,
    },
    /// The connection of a balancer has ended.
    SubscriberClosed {
        /// The connection.
        subscriber: SubscriberId,
    },
    /// A write of [`Action::Persist`] is durable.
    Persisted {
        /// The token of the write.
        token: u64,
        /// The size of the log after it.
        log_bytes: usize,
    },
    /// A write of [`Action::Persist`] has failed.
    PersistFailed {
        /// The token of the write.
        token: u64,
    },
    /// A write of [`Action::Compact`] has ended, successful or not.
    Compacted,
    /// The disk holds the state that an earlier process saved.
    StateRestored {
        /// The bytes of its last [`Action::SaveState`].
        state: Bytes,
    },
    /// A write of [`Action::SaveState`] has ended, successful or not.
    StateSaved,
    /// The process begins its graceful shutdown.
    Shutdown,
}

/// An output of a controller, to be carried out by its process.
#[derive(Debug)]
pub enum Action {
    /// Answer a call.
    Answer {
        /// The number of the call.
        id: CallId,
        /// The answer.
        response: Response,
    },
    /// Send a frame to another controller.
    SendPeer {
        /// Its address.
        to: SocketAddr,
        /// The kind of the frame.
        kind: FrameKind,
        /// The encoded message.
        payload: Bytes,
    },
    /// Send a message to a balancer.
    SendBalancer {
        /// The connection of the balancer.
        to: SubscriberId,
        /// The message.
        message: ToBalancer,
    },
    /// Make a write of the replica durable; the result is reported with the token.
    Persist {
        /// The token of the write.
        token: u64,
        /// What is to be written.
        write: DurableWrite,
    },
    /// Write a checkpoint that takes the place of the log.
    Compact {
        /// The encoded state.
        state: Vec<u8>,
    },
    /// Write the state that a restarted process restores, in place of the one before; not urgent.
    SaveState {
        /// The encoded state.
        state: Vec<u8>,
    },
}
