//! The state and time limits of a client connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use whinspindle_metered_sockets::Meter;

use super::Clients;
use crate::node::Node;
use crate::request_framing::RequestFraming;

/// Time added to the idle time-out that clients know, so that a connection is never closed while a request
/// that was sent in time is in transit.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time added to the time-out of a request's head that clients know.
pub(super) const HEADER_MARGIN: Duration = Duration::from_secs(1);
/// Time after an answer's deadline at which the connection of a client that does not read the answer is
/// dropped.
const UNREAD_MARGIN: Duration = Duration::from_secs(1);
/// Time without any request after which a new connection is preferred for eviction.
const UNUSED_TIME: Duration = Duration::from_millis(500);

/// The state of one client connection.
pub struct Client {
    /// When the connection became idle, or `None` while a request is in progress.
    pub(super) idle_since: Cell<Option<Instant>>,
    /// Whether no complete request head has been received yet.
    pub(super) is_fresh: Cell<bool>,
    /// The deadline of the answer in progress.
    answer_deadline: Cell<Option<Instant>>,
    /// The longest idle time-out in effect since the connection was opened.
    idle_timeout: Cell<Duration>,
    /// Counts bytes. `first_received_at` is set from the first bytes of a request until its answer.
    pub(super) meter: Rc<Meter>,
    pub(super) framing: Rc<RefCell<RequestFraming>>,
    /// When a graceful close was requested.
    close_requested_at: Cell<Option<Instant>>,
    pub(super) close: Notify,
    pub(super) drop: Notify,
    /// Whether the connection is in lingering close: all requests are answered, and the client has yet to
    /// close.
    pub(super) lingering: Cell<bool>,
}

/// Marks a connection as busy with a request until the marker is dropped.
pub struct RequestInProgress {
    client: Rc<Client>,
    clients: Rc<Clients>,
}

impl RequestInProgress {
    pub(super) fn begin(client: &Rc<Client>, clients: &Rc<Clients>) -> RequestInProgress {
        client.idle_since.set(None);
        client.is_fresh.set(false);
        RequestInProgress { client: Rc::clone(client), clients: Rc::clone(clients) }
    }

    /// Returns when the first bytes of the request were received.
    pub fn received(&self) -> Instant {
        self.client.meter.first_received_at.get().unwrap_or_else(Instant::now)
    }

    /// Whether the request's head has both `Content-Length` and `Transfer-Encoding`.
    pub fn is_ambiguous(&self) -> bool {
        self.client.framing.borrow().is_ambiguous()
    }

    /// Whether no further request may be served on the connection.
    pub fn is_last(&self) -> bool {
        self.is_ambiguous() || self.client.framing.borrow().is_end_unknown()
    }

    /// Sets the deadline of the answer.
    pub fn set_answer_deadline(&self, deadline: Instant) {
        self.client.answer_deadline.set(Some(deadline));
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.client.idle_since.set(Some(Instant::now()));
        self.client.answer_deadline.set(None);
        self.client.meter.first_received_at.set(None);
        self.client.framing.borrow_mut().finish_request();
        self.clients.capacity_freed.notify_one();
    }
}

impl Client {
    pub(super) fn new(idle_timeout: Duration) -> Self {
        Client {
            idle_since: Cell::new(Some(Instant::now())),
            is_fresh: Cell::new(true),
            answer_deadline: Cell::default(),
            idle_timeout: Cell::new(idle_timeout),
            meter: Rc::default(),
            framing: Rc::default(),
            close_requested_at: Cell::default(),
            close: Notify::new(),
            drop: Notify::new(),
            lingering: Cell::default(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.idle_since.get().is_some()
    }

    /// Whether an incomplete request head has been received.
    pub(super) fn has_partial_head(&self) -> bool {
        self.is_idle() && self.meter.first_received_at.get().is_some()
    }

    /// Waits for a request to drop the connection. The drop is ignored if a client request has started
    /// meanwhile.
    pub(super) async fn wait_for_drop(&self) {
        loop {
            self.drop.notified().await;
            let is_answer_unread =
                self.answer_deadline.get().is_some_and(|deadline| deadline + UNREAD_MARGIN <= Instant::now());
            if self.is_idle() || is_answer_unread {
                return;
            }
        }
    }

    /// Whether the connection can be closed in favour of another one.
    pub(super) fn is_evictable(&self) -> bool {
        self.is_idle() && (self.close_requested_at.get().is_none() || self.lingering.get())
    }

    /// Returns the sort key for eviction: first connections in lingering close, then connections without any
    /// request, then the longest idle connections.
    pub(super) fn eviction_order(&self, now: Instant) -> (bool, bool, Option<Instant>) {
        let idle_since = self.idle_since.get();
        let is_unused = self.is_fresh.get() && idle_since.is_some_and(|at| at + UNUSED_TIME <= now);
        (!self.lingering.get(), !is_unused, idle_since)
    }

    /// Closes the connection in favour of another one, immediately if it is in lingering close.
    pub(super) fn evict(&self) {
        if self.lingering.get() {
            self.drop.notify_one();
        } else {
            self.close();
        }
    }

    /// Requests a graceful close.
    pub(super) fn close(&self) {
        if self.close_requested_at.get().is_none() {
            self.close_requested_at.set(Some(Instant::now()));
            self.close.notify_one();
        }
    }

    /// Closes or drops the connection if one of its time limits has passed.
    pub(super) fn sweep(&self, now: Instant, timeouts: &ClientTimeouts) {
        let Some(idle_since) = self.idle_since.get() else {
            if self.answer_deadline.get().is_some_and(|deadline| deadline + UNREAD_MARGIN <= now) {
                self.drop.notify_one();
            }
            return;
        };
        self.idle_timeout.set(self.idle_timeout.get().max(timeouts.idle));
        let first_byte_at = self.meter.first_received_at.get();
        let is_head_late =
            first_byte_at.is_some_and(|first_byte_at| first_byte_at + timeouts.header + HEADER_MARGIN <= now);
        let is_close_late =
            self.close_requested_at.get().is_some_and(|at| at.max(idle_since) + timeouts.header <= now);
        if is_head_late || is_close_late {
            self.drop.notify_one();
        } else if first_byte_at.is_none() && idle_since + self.idle_timeout.get() + IDLE_MARGIN <= now {
            self.close();
        }
    }
}

/// Time-outs of connections while no request is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClientTimeouts {
    /// From the first byte of a request to the end of its head.
    pub(super) header: Duration,
    /// Between two requests.
    pub(super) idle: Duration,
}

impl ClientTimeouts {
    pub(super) fn in_force(node: &Node) -> Self {
        let limits = node.limits.borrow();
        ClientTimeouts {
            header: Duration::from_millis(limits.header_timeout_ms()),
            idle: Duration::from_millis(limits.idle_timeout_ms()),
        }
    }
}
