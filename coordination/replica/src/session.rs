//! The volatile state of a chain member in one view. Times are in milliseconds of the caller's clock.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::entry::Read;
use crate::records::Records;

/// The state of the successor in the chain, as known to this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The endpoint of the successor.
    pub endpoint: SocketAddr,
    /// Whether the successor has reported its state, so that entries may be sent to it.
    pub is_ready: bool,
    /// The last entry sent to the successor.
    pub last_sent: u64,
    /// The last entry that is durable at the successor.
    pub last_acknowledged: u64,
    /// Since when an acknowledgement has been awaited; `None` if none is due.
    pub awaiting_since: Option<u64>,
    /// When entries were last sent.
    sent_at: u64,
}

impl Successor {
    /// Creates the state of a successor that has not reported its state yet.
    pub fn new(endpoint: SocketAddr, now: u64) -> Successor {
        Successor {
            endpoint,
            is_ready: false,
            last_sent: 0,
            last_acknowledged: 0,
            awaiting_since: Some(now),
            sent_at: now,
        }
    }

    /// Handles that the successor has reported its last durable entry. Sending continues after this entry.
    pub fn resume_at(&mut self, last: u64) {
        self.is_ready = true;
        self.last_sent = last;
        self.last_acknowledged = last;
        self.awaiting_since = None;
    }

    /// Handles that entries up to `last` are durable at the successor.
    pub fn acknowledge(&mut self, now: u64, last: u64) {
        if !self.is_ready {
            self.resume_at(last);
            return;
        }
        if last > self.last_acknowledged {
            self.last_acknowledged = last;
            self.last_sent = self.last_sent.max(last);
            self.awaiting_since = Some(now);
        }
        if self.last_acknowledged == self.last_sent {
            self.awaiting_since = None;
        }
    }

    /// Records that entries up to `last` are sent now.
    pub fn record_sent(&mut self, now: u64, last: u64) {
        if last > self.last_sent {
            self.last_sent = last;
            self.sent_at = now;
            self.awaiting_since.get_or_insert(now);
        }
    }

    /// Lets unacknowledged entries be sent again once `resend_interval_ms` has passed since the last sending.
    pub fn rewind_unacknowledged(&mut self, now: u64, resend_interval_ms: u64) {
        if self.last_sent > self.last_acknowledged && now >= self.sent_at + resend_interval_ms {
            self.last_sent = self.last_acknowledged;
        }
    }
}

/// The state of the predecessor in the chain, as known to this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// The endpoint of the predecessor.
    pub endpoint: SocketAddr,
    /// Whether the predecessor knows the state of this member.
    pub has_answered: bool,
    /// When the state of this member was last reported to the predecessor.
    pub reported_at: u64,
}

impl Predecessor {
    /// Creates the state of a predecessor to which nothing has been reported yet.
    pub fn new(endpoint: SocketAddr) -> Predecessor {
        Predecessor { endpoint, has_answered: false, reported_at: 0 }
    }
}

/// The state of this replica as a member of the chain of one view.
#[derive(Clone, Debug)]
pub struct Session {
    /// The number of the view.
    pub view: u64,
    /// The view since which this replica has been in the chain.
    pub since_view: u64,
    /// The member before this one; `None` at the head.
    pub predecessor: Option<Predecessor>,
    /// The member after this one; `None` at the tail.
    pub successor: Option<Successor>,
    /// Whether the log is durably complete, so that its entries may be forwarded.
    pub is_complete: bool,
    /// At the head: the records with all entries of the log applied.
    pub newest_records: Option<Records>,
    /// Reads that wait for the entries they were evaluated on. At the head, these entries must become
    /// durable; at the tail, they must be committed.
    pub waiting_reads: VecDeque<Read>,
}
