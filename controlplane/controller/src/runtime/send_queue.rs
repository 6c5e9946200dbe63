//! A queue of frames for the task that writes them to a connection.

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

/// A bounded queue with a single reader. When it is full, the oldest frames are dropped.
pub struct SendQueue {
    max_bytes: usize,
    frames: RefCell<VecDeque<QueuedFrame>>,
    queued_bytes: Cell<usize>,
    has_dropped_frames: Cell<bool>,
    frame_pushed: Notify,
}

impl SendQueue {
    /// Creates an empty queue that holds at most `max_bytes` of payload.
    pub fn new(max_bytes: usize) -> SendQueue {
        SendQueue {
            max_bytes,
            frames: RefCell::new(VecDeque::new()),
            queued_bytes: Cell::new(0),
            has_dropped_frames: Cell::new(false),
            frame_pushed: Notify::new(),
        }
    }

    /// Queues a frame at the time `now`.
    pub fn push(&self, now: u64, kind: FrameKind, payload: Bytes) {
        let mut frames = self.frames.borrow_mut();
        let mut bytes = self.queued_bytes.get() + payload.len();
        frames.push_back(QueuedFrame { queued_at: now, kind, payload });
        while bytes > self.max_bytes && frames.len() > 1 {
            bytes -= frames.pop_front().map_or(0, |oldest| oldest.payload.len());
            self.has_dropped_frames.set(true);
        }
        self.queued_bytes.set(bytes);
        self.frame_pushed.notify_one();
    }

    /// Waits until at least one frame is queued.
    pub async fn wait_until_filled(&self) {
        while self.frames.borrow().is_empty() {
            self.frame_pushed.notified().await;
        }
    }

    /// Moves all queued frames into a buffer.
    pub fn drain_into(&self, buffer: &mut FrameBuffer) -> Result<(), FrameError> {
        self.queued_bytes.set(0);
        self.frames.borrow_mut().drain(..).try_for_each(|queued| buffer.push(queued.kind, &queued.payload))
    }

    /// Drops the frames that were pushed before `time`.
    pub fn drop_before(&self, time: u64) {
        let mut frames = self.frames.borrow_mut();
        while frames.front().is_some_and(|queued| queued.queued_at < time) {
            let bytes = frames.pop_front().map_or(0, |queued| queued.payload.len());
            self.queued_bytes.set(self.queued_bytes.get() - bytes);
        }
    }

    /// Whether any frame was dropped because the queue was full.
    pub fn has_dropped(&self) -> bool {
        self.has_dropped_frames.get()
    }
}
