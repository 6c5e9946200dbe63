//! What a member of the chain remembers for the time of one view, and only in memory.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::entry::Read;
use crate::records::Records;

/// What is known of the next member of the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    pub endpoint: SocketAddr,
    /// It has said where it stands: entries may be sent.
    pub is_ready: bool,
    /// Entries up to here were sent.
    pub sent: u64,
    /// Entries up to here are durable there.
    pub acknowledged: u64,
    /// Since when it owes a sign of progress.
    pub awaiting_since: Option<u64>,
    /// When entries were sent last.
    sent_at: u64,
}

impl Successor {
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

    /// It has said that entries up to here are durable there.
    pub fn resume_at(&mut self, last: u64) {
        self.is_ready = true;
        self.sent = last;
        self.acknowledged = last;
        self.awaiting_since = None;
    }

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

    /// Entries up to here are sent now.
    pub fn send(&mut self, now: u64, last: u64) {
        if last > self.sent {
            self.sent = last;
            self.sent_at = now;
            self.awaiting_since.get_or_insert(now);
        }
    }

    /// What was not acknowledged for long is sent again.
    pub fn rewind_unacknowledged(&mut self, now: u64, resend: u64) {
        if self.sent > self.acknowledged && now >= self.sent_at + resend {
            self.sent = self.acknowledged;
        }
    }
}

/// What is known of the member before in the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    pub endpoint: SocketAddr,
    /// It knows where this member stands.
    pub has_answered: bool,
    pub requested_at: u64,
}

impl Predecessor {
    pub fn new(endpoint: SocketAddr) -> Predecessor {
        Predecessor { endpoint, has_answered: false, requested_at: 0 }
    }
}

/// The part in the chain of one view.
#[derive(Clone, Debug)]
pub struct Session {
    pub view: u64,
    /// The view since which this replica is in the chain.
    pub since: u64,
    pub predecessor: Option<Predecessor>,
    pub successor: Option<Successor>,
    /// The own log is durably complete: what is in it may be passed on.
    pub is_complete: bool,
    /// At the head: the records with all entries, committed or not.
    pub newest: Option<Records>,
    /// At the head: reads that wait until the entries that they saw are durable. At the tail: until they are
    /// committed.
    pub reads: VecDeque<Read>,
}
