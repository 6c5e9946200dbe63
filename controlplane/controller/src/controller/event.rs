//! What a controller is given and what it wants done.

use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_distribution::frame::FrameKind;
use whinspindle_distribution::{Report, SubscriberId, ToBalancer};
use whinspindle_replica::{DurableWrite, Message};

use crate::api::{Call, Response};
use crate::pending::CallId;

/// What happens to a controller.
#[derive(Debug)]
pub enum Event {
    /// Some time has passed.
    Tick,
    Call {
        id: CallId,
        call: Call,
    },
    /// The caller doesn't wait any more.
    CallDropped {
        id: CallId,
    },
    /// A connection to another controller stands.
    PeerConnected {
        peer: SocketAddr,
    },
    ReplicaMessage {
        from: SocketAddr,
        message: Message,
    },
    GossipReceived {
        payload: Bytes,
    },
    Report {
        subscriber: SubscriberId,
        report: Report,
    },
    SubscriberClosed {
        subscriber: SubscriberId,
    },
    Persisted {
        token: u64,
        log_bytes: usize,
    },
    PersistFailed {
        token: u64,
    },
    /// A checkpoint that shortens the log has ended, well or not.
    Compacted,
    /// The disk holds what an earlier process remembered.
    Recalled {
        memory: Bytes,
    },
    /// A write of `Action::Remember` has ended, well or not.
    Remembered,
    /// The process is about to stop.
    Leave,
}

/// What a controller wants done.
#[derive(Debug)]
pub enum Action {
    Answer {
        id: CallId,
        response: Response,
    },
    SendPeer {
        to: SocketAddr,
        kind: FrameKind,
        payload: Bytes,
    },
    SendBalancer {
        to: SubscriberId,
        message: ToBalancer,
    },
    Persist {
        token: u64,
        write: DurableWrite,
    },
    /// Write a checkpoint that shortens the log.
    Compact {
        state: Vec<u8>,
    },
    /// Write what a restarted process is to recall; not urgent.
    Remember {
        memory: Vec<u8>,
    },
}
