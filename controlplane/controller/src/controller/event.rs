//! The inputs and outputs of the controller's state machine.

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
    /// Time has passed. Sent every few tens of milliseconds.
    Tick,
    /// A call was received.
    Call {
        /// The id of the call.
        id: CallId,
        /// The parsed call.
        call: Call,
    },
    /// A caller has closed its connection before its call was answered.
    CallDropped {
        /// The id of the call.
        id: CallId,
    },
    /// A connection to another controller is established.
    PeerConnected {
        /// The address of the other controller.
        peer: SocketAddr,
    },
    /// A message from another controller's replica was received.
    ReplicaMessage {
        /// The address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A gossip message from another controller was received.
    GossipReceived {
        /// The address of the sender.
        from: SocketAddr,
        /// The encoded gossip.
        payload: Bytes,
    },
    /// A report from a balancer was received. The first report subscribes the balancer.
    Report {
        /// The connection of the balancer.
        subscriber: SubscriberId,
        /// The report.
        report: Report,
    },
    /// The connection of a balancer has closed.
    SubscriberClosed {
        /// The closed connection.
        subscriber: SubscriberId,
    },
    /// A write requested by [`Action::Persist`] is durable.
    Persisted {
        /// The token of the write.
        token: u64,
        /// The size of the log after the write, in bytes.
        log_bytes: usize,
    },
    /// A write requested by [`Action::Persist`] has failed.
    PersistFailed {
        /// The token of the write.
        token: u64,
    },
    /// A write requested by [`Action::Compact`] has succeeded or failed.
    Compacted,
    /// State that an earlier process saved was read from the disk.
    StateRestored {
        /// The state of the last [`Action::SaveState`] of that process.
        state: Bytes,
    },
    /// A write requested by [`Action::SaveState`] has succeeded or failed.
    StateSaved,
    /// The process has started its graceful shutdown.
    Shutdown,
}

/// An output of a controller, to be performed by its process.
#[derive(Debug)]
pub enum Action {
    /// Answer a call.
    Answer {
        /// The id of the call.
        id: CallId,
        /// The response.
        response: Response,
    },
    /// Send a frame to another controller.
    SendPeer {
        /// The address of the other controller.
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
    /// Make a write of the replica durable. The result is reported with the token.
    Persist {
        /// The token of the write.
        token: u64,
        /// The data to write.
        write: DurableWrite,
    },
    /// Write a checkpoint that replaces the log.
    Compact {
        /// The encoded state.
        state: Vec<u8>,
    },
    /// Save the state that a restarted process restores, replacing the previously saved state. Not urgent.
    SaveState {
        /// The encoded state.
        state: Vec<u8>,
    },
}
