//! The volatile state of a chain member in one view. Times are in milliseconds of the caller's clock.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::entry::Read;
use crate::records::Records;

/// What is known of the successor in the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    /// Where it is reached.
    pub endpoint: SocketAddr,
    /// It has reported its state: entries may be sent.
    pub is_ready: bool,
    /// Entries up to here were sent.
    pub sent: u64,
    /// Entries up to here are durable there.
    pub acknowledged: u64,
    /// Since when an acknowledgement has been awaited.
    pub awaiting_since: Option<u64>,
    /// When entries were last sent.
    sent_at: u64,
}

impl Successor {
    /// A successor that has reported nothing yet.
    pub fn new(endpoint: SocketAddr, now: u64) -> Successor {
        Successor {
            endpoint,
            is_ready: false,
            sent: 0,
            acknowledged: 0,
            awaiting_since: Some(now),
            sent_at: now,
        }
    }

    /// The successor has reported its last durable entry: sending continues after it.
    pub fn resume_at(&mut self, last: u64) {
        self.is_ready = true;
        self.sent = last;
        self.acknowledged = last;
        self.awaiting_since = None;
    }

    /// Entries up to `last` are durable at the successor.
    pub fn acknowledge(&mut self, now: u64, last: u64) {
        if !self.is_ready {
            self.resume_at(last);
            return;
        }
        if last > self.acknowledged {
            self.acknowledged = last;
            self.sent = self.sent.max(last);
            self.awaiting_since = Some(now);
        }
        if self.acknowledged == self.sent {
            self.awaiting_since = None;
        }
    }

    /// Entries up to `last` are sent now.
    pub fn send(&mut self, now: u64, last: u64) {
        if last > self.sent {
            self.sent = last;
            self.sent_at = now;
            self.awaiting_since.get_or_insert(now);
        }
    }

    /// Has entries sent again that were not acknowledged for `resend` milliseconds.
    pub fn rewind_unacknowledged(&mut self, now: u64, resend: u64) {
        if self.sent > self.acknowledged && now >= self.sent_at + resend {
            self.sent = self.acknowledged;
        }
    }
}

/// What is known of the predecessor in the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// Where it is reached.
    pub endpoint: SocketAddr,
    /// It knows the state of this member.
    pub has_answered: bool,
    /// When the state was last reported to it.
    pub requested_at: u64,
}

impl Predecessor {
    /// A predecessor that nothing was reported to yet.
    pub fn new(endpoint: SocketAddr) -> Predecessor {
        Predecessor { endpoint, has_answered: false, requested_at: 0 }
    }
}

/// The part of this replica in the chain of one view.
#[derive(Clone, Debug)]
pub struct Session {
    /// The number of the view.
    pub view: u64,
    /// The view since which this replica is in the chain.
    pub since: u64,
    /// The member before this one; `None` at the head.
    pub predecessor: Option<Predecessor>,
    /// The member after this one; `None` at the tail.
    pub successor: Option<Successor>,
    /// The log is durably complete: what is in it may be forwarded.
    pub is_complete: bool,
    /// At the head: the records with all entries of the log applied.
    pub newest: Option<Records>,
    /// At the head: reads that wait until the entries they were evaluated on are durable. At the tail: until these are
    /// committed.
    pub reads: VecDeque<Read>,
}
