//! Groups durable records into few writes, and keeps what has to wait until they are durable.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::durable::DurableWrite;
use crate::message::Message;

/// What happens once the records before it are durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterDurable {
    Send {
        to: SocketAddr,
        message: Box<Message>,
    },
    /// The entry with this sequence is durable.
    Entry(u64),
    /// The log is durably complete in this view.
    Complete(u64),
}

/// A log longer than this is replaced by a checkpoint, if the checkpoint is not longer still.
const CHECKPOINT_BYTES: usize = 64 * 1024;
/// A write that failed is tried again after this, in milliseconds.
const RETRY: u64 = 250;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Writing {
    Nothing,
    Since { token: u64, up_to: u64, at: u64 },
    Failed { at: u64 },
}

/// The queue before the disk.
#[derive(Clone, Debug)]
pub struct Disk {
    queue: Vec<Vec<u8>>,
    queued_bytes: usize,
    /// Records handed in, durable or not.
    appended: u64,
    /// Of these, the first so many are durable.
    durable: u64,
    /// Whether one in the queue is waited for.
    urgent: bool,
    writing: Writing,
    waiting: VecDeque<(u64, AfterDurable)>,
    next_token: u64,
    log_bytes: usize,
    checkpoint_bytes: usize,
    /// The disk holds nothing that the log could build on, or it is unknown what.
    needs_checkpoint: bool,
}

impl Disk {
    pub fn new(log_bytes: usize, checkpoint_bytes: usize) -> Disk {
        Disk {
            queue: Vec::new(),
            queued_bytes: 0,
            appended: 0,
            durable: 0,
            urgent: false,
            writing: Writing::Nothing,
            waiting: VecDeque::new(),
            next_token: 1,
            log_bytes,
            checkpoint_bytes,
            needs_checkpoint: checkpoint_bytes == 0,
        }
    }

    /// Adds a record; an urgent one is written as soon as the disk is free.
    ///
    /// Where more has come together than a log may hold, as behind a disk that stands still, a checkpoint is due, and
    /// stands for all of it: neither the memory nor the next write grows with the time that the disk takes.
    pub fn append(&mut self, record: Vec<u8>, urgent: bool) {
        self.appended += 1;
        self.urgent |= urgent;
        if self.needs_checkpoint {
            return;
        }
        self.queued_bytes += record.len();
        self.queue.push(record);
        if self.queued_bytes > self.longest_log() {
            self.needs_checkpoint = true;
            self.drop_queue();
        }
    }

    /// Leaves the queue to the checkpoint that is due.
    fn drop_queue(&mut self) {
        self.queue = Vec::new();
        self.queued_bytes = 0;
    }

    fn longest_log(&self) -> usize {
        CHECKPOINT_BYTES.max(2 * self.checkpoint_bytes)
    }

    /// Something to do once all that was handed in is durable.
    pub fn after_durable(&mut self, what: AfterDurable) {
        self.waiting.push_back((self.appended, what));
        self.urgent = true;
    }

    /// Entries after this one were dropped: they are not waited for any more.
    pub fn forget_entries(&mut self, after: u64) {
        let is_dropped = |what: &AfterDurable| matches!(what, AfterDurable::Entry(entry) if *entry > after);
        self.waiting.retain(|(_, what)| !is_dropped(what));
    }

    /// The next write, if one is due. `state` encodes the whole state with all records handed in.
    pub fn next_write(&mut self, now: u64, state: impl FnOnce() -> Vec<u8>) -> Option<(u64, DurableWrite)> {
        let is_free = match self.writing {
            Writing::Nothing => self.urgent || self.needs_checkpoint,
            Writing::Since { .. } => false,
            Writing::Failed { at } => now >= at + RETRY,
        };
        if !is_free {
            return None;
        }
        let write = self.compose(state);
        let token = self.next_token;
        self.next_token += 1;
        self.urgent = false;
        self.writing = Writing::Since { token, up_to: self.appended, at: now };
        Some((token, write))
    }

    fn compose(&mut self, state: impl FnOnce() -> Vec<u8>) -> DurableWrite {
        if self.needs_checkpoint || self.log_bytes > self.longest_log() {
            self.drop_queue();
            let checkpoint = state();
            self.checkpoint_bytes = checkpoint.len();
            self.log_bytes = 0;
            self.needs_checkpoint = false;
            return DurableWrite::Checkpoint(checkpoint);
        }
        self.log_bytes += self.queued_bytes;
        self.queued_bytes = 0;
        DurableWrite::Append(std::mem::take(&mut self.queue))
    }

    /// Returns what has waited for this write, in order.
    pub fn persisted(&mut self, token: u64) -> Vec<AfterDurable> {
        let Writing::Since { token: awaited, up_to, .. } = self.writing else { return Vec::new() };
        if token != awaited {
            return Vec::new();
        }
        self.writing = Writing::Nothing;
        self.durable = up_to;
        let ready = self.waiting.iter().take_while(|(after, _)| *after <= up_to).count();
        self.waiting.drain(..ready).map(|(_, what)| what).collect()
    }

    /// What the failed write left on the disk is unknown: the whole state is written instead.
    pub fn failed(&mut self, now: u64, token: u64) {
        if matches!(self.writing, Writing::Since { token: awaited, .. } if awaited == token) {
            self.writing = Writing::Failed { at: now };
            self.needs_checkpoint = true;
            self.drop_queue();
        }
    }

    /// Whether a write fails or has lasted this long.
    pub fn is_stalled(&self, now: u64, longest: u64) -> bool {
        match self.writing {
            Writing::Nothing => false,
            Writing::Since { at, .. } => now >= at + longest,
            Writing::Failed { .. } => true,
        }
    }

    /// The length of the last checkpoint.
    pub fn checkpoint_bytes(&self) -> usize {
        self.checkpoint_bytes
    }

    pub fn is_idle(&self) -> bool {
        self.writing == Writing::Nothing && self.durable == self.appended
    }
}
