//! Frames that are queued for the task that writes them to a connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use bytes::Bytes;
use tokio::sync::Notify;
use whinspindle_distribution::frame::{FrameBuffer, FrameError, FrameKind};

struct QueuedFrame {
    queued_at: u64,
    kind: FrameKind,
    payload: Bytes,
}

/// A bounded queue with one reader. When it is full the oldest frames are dropped.
pub struct SendQueue {
    max_bytes: usize,
    queue: RefCell<VecDeque<QueuedFrame>>,
    queued_bytes: Cell<usize>,
    dropped: Cell<bool>,
    changed: Notify,
}

impl SendQueue {
    /// An empty queue that holds `max_bytes` of payload at most.
    pub fn new(max_bytes: usize) -> SendQueue {
        SendQueue {
            max_bytes,
            queue: RefCell::new(VecDeque::new()),
            queued_bytes: Cell::new(0),
            dropped: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Queues a frame at the time `now`.
    pub fn push(&self, now: u64, kind: FrameKind, payload: Bytes) {
        let mut queue = self.queue.borrow_mut();
        let mut bytes = self.queued_bytes.get() + payload.len();
        queue.push_back(QueuedFrame { queued_at: now, kind, payload });
        while bytes > self.max_bytes && queue.len() > 1 {
            bytes -= queue.pop_front().map_or(0, |oldest| oldest.payload.len());
            self.dropped.set(true);
        }
        self.queued_bytes.set(bytes);
        self.changed.notify_one();
    }

    /// Waits until at least one frame is queued.
    pub async fn wait_until_filled(&self) {
        while self.queue.borrow().is_empty() {
            self.changed.notified().await;
        }
    }

    /// Moves all queued frames into a buffer.
    pub fn drain_into(&self, buffer: &mut FrameBuffer) -> Result<(), FrameError> {
        self.queued_bytes.set(0);
        self.queue.borrow_mut().drain(..).try_for_each(|queued| buffer.push(queued.kind, &queued.payload))
    }

    /// Drops frames that were pushed before a time.
    pub fn drop_before(&self, time: u64) {
        let mut queue = self.queue.borrow_mut();
        while queue.front().is_some_and(|queued| queued.queued_at < time) {
            let bytes = queue.pop_front().map_or(0, |queued| queued.payload.len());
            self.queued_bytes.set(self.queued_bytes.get() - bytes);
        }
    }

    /// Whether frames were dropped because the queue was full.
    pub fn has_dropped(&self) -> bool {
        self.dropped.get()
    }
}
