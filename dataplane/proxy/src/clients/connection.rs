//! The state of one client connection, and which of its time limits has passed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use whinspindle_metered_sockets::Meter;

use super::Clients;
use crate::node::Node;
use crate::request_framing::RequestFraming;

/// A connection is closed this much later than the idle time-out that clients know, so that a close never crosses a
/// request that was sent in time.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// The same for the time-out of a request's head.
pub(super) const HEADER_MARGIN: Duration = Duration::from_secs(1);
/// An answer that the client has not read this long after its deadline is given up.
const UNREAD_MARGIN: Duration = Duration::from_secs(1);
/// Where a connection has to make way for another, one that has been open for so long without a request goes first.
const UNUSED: Duration = Duration::from_millis(500);

/// The state of one client connection.
pub struct Client {
    /// Since when no request is in progress; none while one is.
    pub(super) idle_since: Cell<Option<Instant>>,
    /// No complete head of a request has been received yet.
    pub(super) fresh: Cell<bool>,
    /// Deadline of the answer in progress.
    answer_deadline: Cell<Option<Instant>>,
    /// The longest idle time-out that has been in force since it was opened.
    idle_timeout: Cell<Duration>,
    /// Counts bytes; its time is set from the first bytes of a request until the answer.
    pub(super) meter: Rc<Meter>,
    pub(super) head: Rc<RefCell<RequestFraming>>,
    /// When it was told to close.
    closing: Cell<Option<Instant>>,
    pub(super) close: Notify,
    pub(super) drop: Notify,
    /// It is in lingering close: everything is answered, and only the client's end is waited for.
    pub(super) lingering: Cell<bool>,
}

/// Marks a connection as busy with a request; it is idle again once this is dropped.
pub struct RequestInProgress {
    client: Rc<Client>,
    clients: Rc<Clients>,
}

impl RequestInProgress {
    pub(super) fn begin(client: &Rc<Client>, clients: &Rc<Clients>) -> RequestInProgress {
        client.idle_since.set(None);
        client.fresh.set(false);
        RequestInProgress { client: Rc::clone(client), clients: Rc::clone(clients) }
    }

    /// When the first bytes of the request were received.
    pub fn received(&self) -> Instant {
        self.client.meter.first_received_at.get().unwrap_or_else(Instant::now)
    }

    /// Whether the request's head has both `Content-Length` and `Transfer-Encoding`.
    pub fn is_ambiguous(&self) -> bool {
        self.client.head.borrow().is_ambiguous()
    }

    /// Whether no further request may be served on the connection.
    pub fn is_last(&self) -> bool {
        self.is_ambiguous() || self.client.head.borrow().is_lost()
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
        self.client.head.borrow_mut().restart();
        self.clients.capacity_freed.notify_one();
    }
}

impl Client {
    pub(super) fn new(idle_timeout: Duration) -> Self {
        Client {
            idle_since: Cell::new(Some(Instant::now())),
            fresh: Cell::new(true),
            answer_deadline: Cell::default(),
            idle_timeout: Cell::new(idle_timeout),
            meter: Rc::default(),
            head: Rc::default(),
            closing: Cell::default(),
            close: Notify::new(),
            drop: Notify::new(),
            lingering: Cell::default(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.idle_since.get().is_some()
    }

    /// Whether the head of a request has begun and is incomplete.
    pub(super) fn has_begun(&self) -> bool {
        self.is_idle() && self.meter.first_received_at.get().is_some()
    }

    /// Waits until the connection is to be dropped. A drop that crosses the begin of a request is ignored.
    pub(super) async fn dropped(&self) {
        loop {
            self.drop.notified().await;
            let unread =
                self.answer_deadline.get().is_some_and(|deadline| deadline + UNREAD_MARGIN <= Instant::now());
            if self.is_idle() || unread {
                return;
            }
        }
    }

    /// Whether it can be closed in favour of another connection.
    pub(super) fn may_make_way(&self) -> bool {
        self.is_idle() && (self.closing.get().is_none() || self.lingering.get())
    }

    /// Sorts the connections that may make way, the first to close first: lingering ones, then those without a request
    /// since they were opened, then the longest idle.
    pub(super) fn eviction_order(&self, now: Instant) -> (bool, bool, Option<Instant>) {
        let idle_since = self.idle_since.get();
        let is_unused = self.fresh.get() && idle_since.is_some_and(|at| at + UNUSED <= now);
        (!self.lingering.get(), !is_unused, idle_since)
    }

    /// Closes it in favour of another connection; at once where it only lingers.
    pub(super) fn make_way(&self) {
        if self.lingering.get() {
            self.drop.notify_one();
        } else {
            self.close();
        }
    }

    /// Has it closed gracefully.
    pub(super) fn close(&self) {
        if self.closing.get().is_none() {
            self.closing.set(Some(Instant::now()));
            self.close.notify_one();
        }
    }

    /// Closes or drops the connection if one of its time limits has passed.
    pub(super) fn sweep(&self, now: Instant, times: &ClientTimeouts) {
        let Some(idle_since) = self.idle_since.get() else {
            if self.answer_deadline.get().is_some_and(|deadline| deadline + UNREAD_MARGIN <= now) {
                self.drop.notify_one();
            }
            return;
        };
        self.idle_timeout.set(self.idle_timeout.get().max(times.idle));
        let begun = self.meter.first_received_at.get();
        let late = begun.is_some_and(|begun| begun + times.header + HEADER_MARGIN <= now);
        let unclosed = self.closing.get().is_some_and(|at| at.max(idle_since) + times.header <= now);
        if late || unclosed {
            self.drop.notify_one();
        } else if begun.is_none() && idle_since + self.idle_timeout.get() + IDLE_MARGIN <= now {
            self.close();
        }
    }
}

/// Time-outs of connections without a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClientTimeouts {
    /// From the first byte of a request to the end of its head.
    pub(super) header: Duration,
    /// Between two requests.
    pub(super) idle: Duration,
}

impl ClientTimeouts {
    pub(super) fn of(node: &Node) -> Self {
        let limits = node.limits.borrow();
        ClientTimeouts {
            header: Duration::from_millis(limits.header_timeout_ms()),
            idle: Duration::from_millis(limits.idle_timeout_ms()),
        }
    }
}
