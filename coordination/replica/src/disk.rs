//! Group commit: queues records, writes them in groups, and runs deferred actions once the records are
//! durable.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::durable::DurableWrite;
use crate::message::Message;

/// An action that is deferred until all earlier records are durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeferredAction {
    /// Send a message.
    Send {
        /// The endpoint of the receiver.
        to: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Handle that the entry with this sequence number is durable.
    Entry(u64),
    /// Handle that the log is durably complete in this view.
    Complete(u64),
}

/// A checkpoint replaces a longer log, unless the log is shorter than twice the last checkpoint.
const MIN_LOG_LIMIT_BYTES: usize = 64 * 1024;
/// The delay before a failed write is retried.
const RETRY_DELAY_MS: u64 = 250;

/// The state of the current write. Times are in milliseconds of the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// No write is in progress.
    Idle,
    /// A write of the records up to this number was requested and is not confirmed yet.
    InProgress { token: u64, up_to_record: u64, started_at: u64 },
    /// The last write failed.
    Failed { at: u64 },
}

/// The queue of records in front of the disk.
#[derive(Clone, Debug)]
pub struct Disk {
    /// Encoded records that are not part of a write yet.
    queue: Vec<Vec<u8>>,
    /// The size of the queued records in bytes.
    queued_bytes: usize,
    /// The number of appended records, durable or not.
    appended_records: u64,
    /// The number of durable records.
    durable_records: u64,
    /// Whether a queued record must be written as soon as the disk is free.
    is_write_urgent: bool,
    /// The state of the current write.
    write_state: WriteState,
    /// Deferred actions, each with the number of records that must be durable before it.
    deferred: VecDeque<(u64, DeferredAction)>,
    /// The token of the next write.
    next_token: u64,
    /// The size of the log on the disk, in bytes.
    log_bytes: usize,
    /// The size of the last checkpoint, in bytes.
    checkpoint_bytes: usize,
    /// The next write must be a checkpoint, because the disk has no state to append to or its content is
    /// unknown.
    needs_checkpoint: bool,
}

impl Disk {
    /// Creates a queue for a disk with a log and a checkpoint of these sizes. `checkpoint_bytes` is 0
    /// without a checkpoint.
    pub fn new(log_bytes: usize, checkpoint_bytes: usize) -> Disk {
        Disk {
            queue: Vec::new(),
            queued_bytes: 0,
            appended_records: 0,
            durable_records: 0,
            is_write_urgent: false,
            write_state: WriteState::Idle,
            deferred: VecDeque::new(),
            next_token: 1,
            log_bytes,
            checkpoint_bytes,
            needs_checkpoint: checkpoint_bytes == 0,
        }
    }

    /// Queues a record. An urgent record is written as soon as the disk is free.
    ///
    /// If the queue exceeds the size limit of the log, as with a stalled disk, a checkpoint replaces the
    /// queued records. This bounds the memory of the queue and the size of the next write.
    pub fn append(&mut self, record: Vec<u8>, is_urgent: bool) {
        self.appended_records += 1;
        self.is_write_urgent |= is_urgent;
        if self.needs_checkpoint {
            return;
        }
        self.queued_bytes += record.len();
        self.queue.push(record);
        if self.queued_bytes > self.max_log_bytes() {
            self.needs_checkpoint = true;
            self.discard_queue();
        }
    }

    /// Discards the queued records, because the next checkpoint covers them.
    fn discard_queue(&mut self) {
        self.queue = Vec::new();
        self.queued_bytes = 0;
    }

    /// The size above which a checkpoint replaces the log.
    fn max_log_bytes(&self) -> usize {
        MIN_LOG_LIMIT_BYTES.max(2 * self.checkpoint_bytes)
    }

    /// Defers an action until all records appended so far are durable.
    pub fn defer_until_durable(&mut self, action: DeferredAction) {
        self.deferred.push_back((self.appended_records, action));
        self.is_write_urgent = true;
    }

    /// Requests that the records appended so far are written as soon as the disk is free.
    pub fn flush(&mut self) {
        self.is_write_urgent |= self.durable_records < self.appended_records;
    }

    /// Cancels the deferred actions for entries after `last`, which were truncated.
    pub fn cancel_entries_after(&mut self, last: u64) {
        let is_truncated =
            |action: &DeferredAction| matches!(action, DeferredAction::Entry(entry) if *entry > last);
        self.deferred.retain(|(_, action)| !is_truncated(action));
    }

    /// The token and content of the next write, if one is due. `encode_state` encodes the state with all
    /// appended records.
    pub fn next_write(
        &mut self,
        now: u64,
        encode_state: impl FnOnce() -> Vec<u8>,
    ) -> Option<(u64, DurableWrite)> {
        let is_due = match self.write_state {
            WriteState::Idle => self.is_write_urgent || self.needs_checkpoint,
            WriteState::InProgress { .. } => false,
            WriteState::Failed { at } => now >= at + RETRY_DELAY_MS,
        };
        if !is_due {
            return None;
        }
        let write = self.build_write(encode_state);
        let token = self.next_token;
        self.next_token += 1;
        self.is_write_urgent = false;
        self.write_state =
            WriteState::InProgress { token, up_to_record: self.appended_records, started_at: now };
        Some((token, write))
    }

    /// Builds an append of the queued records, or a checkpoint that replaces the log.
    fn build_write(&mut self, encode_state: impl FnOnce() -> Vec<u8>) -> DurableWrite {
        if self.needs_checkpoint || self.log_bytes > self.max_log_bytes() {
            self.discard_queue();
            let checkpoint = encode_state();
            self.checkpoint_bytes = checkpoint.len();
            self.log_bytes = 0;
            self.needs_checkpoint = false;
            return DurableWrite::Checkpoint(checkpoint);
        }
        self.log_bytes += self.queued_bytes;
        self.queued_bytes = 0;
        DurableWrite::Append(std::mem::take(&mut self.queue))
    }

    /// Handles that a write is durable. Returns the deferred actions that are now due, in order.
    pub fn complete_write(&mut self, token: u64) -> Vec<DeferredAction> {
        let WriteState::InProgress { token: current_token, up_to_record, .. } = self.write_state else {
            return Vec::new();
        };
        if token != current_token {
            return Vec::new();
        }
        self.write_state = WriteState::Idle;
        self.durable_records = up_to_record;
        let due = self.deferred.iter().take_while(|(after, _)| *after <= up_to_record).count();
        self.deferred.drain(..due).map(|(_, action)| action).collect()
    }

    /// Handles that a write failed. The content of the disk is then unknown, so the next write is a
    /// checkpoint.
    pub fn fail_write(&mut self, now: u64, token: u64) {
        if matches!(self.write_state, WriteState::InProgress { token: current, .. } if current == token) {
            self.write_state = WriteState::Failed { at: now };
            self.needs_checkpoint = true;
            self.discard_queue();
        }
    }

    /// Whether the last write has failed, or the current one has taken at least `timeout_ms`.
    pub fn is_stalled(&self, now: u64, timeout_ms: u64) -> bool {
        match self.write_state {
            WriteState::Idle => false,
            WriteState::InProgress { started_at, .. } => now >= started_at + timeout_ms,
            WriteState::Failed { .. } => true,
        }
    }

    /// The size of the last checkpoint, in bytes.
    pub fn checkpoint_bytes(&self) -> usize {
        self.checkpoint_bytes
    }

    /// Whether all records are durable.
    pub fn is_idle(&self) -> bool {
        self.write_state == WriteState::Idle && self.durable_records == self.appended_records
    }
}
