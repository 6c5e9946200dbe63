//! A disk whose writes take time. Writes that are not complete at a crash are lost or partial.

use std::collections::VecDeque;

use whinspindle::pcg::Pcg;

use crate::process::Recovered;

/// The speed of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskTiming {
    /// The time to write and sync, in milliseconds.
    pub sync_ms: u64,
    /// The number of bytes written in a millisecond. Without a limit only the sync takes time.
    pub bytes_per_ms: Option<u64>,
}

impl Default for DiskTiming {
    fn default() -> Self {
        DiskTiming { sync_ms: 5, bytes_per_ms: None }
    }
}

#[derive(Clone, Debug)]
enum Write {
    Append(Vec<Vec<u8>>),
    Checkpoint(Vec<u8>),
}

/// The disk of one node. Writes complete in the order in which they were started.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    checkpoint: Option<Vec<u8>>,
    log: Vec<Vec<u8>>,
    /// The pending writes with their tokens, oldest first.
    pending: VecDeque<(u64, Write)>,
    /// The time at which the last pending write completes.
    busy_until: u64,
    /// Writes that are started before this time complete after it.
    stalled_until: u64,
    /// Writes that complete before this time fail.
    failing_until: u64,
    /// The time by which each write takes longer, in milliseconds.
    pub extra_delay_ms: u64,
    /// The traffic of all started writes since the disk was empty.
    pub traffic: DiskTraffic,
}

/// The amount of data written to a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskTraffic {
    /// The total size of all writes, in bytes.
    pub bytes: usize,
    /// The number of checkpoints.
    pub checkpoints: usize,
    /// The size of the largest write, in bytes.
    pub largest_write: usize,
}

impl Write {
    fn bytes(&self) -> usize {
        match self {
            Write::Append(records) => records.iter().map(Vec::len).sum(),
            Write::Checkpoint(state) => state.len(),
        }
    }
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write is durable.
    Durable,
    /// The write has failed and may be partially on the disk.
    Failed,
}

impl Disk {
    /// Delays all writes that are started from now on until after the time `until`.
    pub fn stall(&mut self, until: u64) {
        self.stalled_until = until;
    }

    /// Fails all writes that complete before the time `until`.
    pub fn fail(&mut self, until: u64) {
        self.failing_until = until;
    }

    /// Starts to append records to the log. Returns the time at which the write completes.
    pub fn append(&mut self, now: u64, timing: DiskTiming, token: u64, records: Vec<Vec<u8>>) -> u64 {
        self.start(now, timing, token, Write::Append(records))
    }

    /// Starts to replace the checkpoint and to empty the log. Returns the time at which the write completes.
    pub fn checkpoint(&mut self, now: u64, timing: DiskTiming, token: u64, state: Vec<u8>) -> u64 {
        self.start(now, timing, token, Write::Checkpoint(state))
    }

    fn start(&mut self, now: u64, timing: DiskTiming, token: u64, write: Write) -> u64 {
        let bytes = write.bytes();
        self.traffic.bytes += bytes;
        self.traffic.checkpoints += usize::from(matches!(write, Write::Checkpoint(_)));
        self.traffic.largest_write = self.traffic.largest_write.max(bytes);
        let starts_at = now.max(self.busy_until).max(self.stalled_until);
        let transfer_ms = timing.bytes_per_ms.map_or(0, |bandwidth| bytes as u64 / bandwidth.max(1));
        self.busy_until = starts_at + timing.sync_ms + self.extra_delay_ms + transfer_ms;
        self.pending.push_back((token, write));
        self.busy_until
    }

    /// Completes the oldest pending write if it has this token. Returns its result; none if it is not pending.
    pub fn complete(&mut self, now: u64, random: &mut Pcg, token: u64) -> Option<WriteResult> {
        let (oldest, _) = self.pending.front()?;
        if *oldest != token {
            return None;
        }
        let (_, write) = self.pending.pop_front()?;
        if now < self.failing_until {
            self.write_partially(random, write);
            return Some(WriteResult::Failed);
        }
        self.write(write);
        Some(WriteResult::Durable)
    }

    fn write(&mut self, write: Write) {
        match write {
            Write::Append(records) => self.log.extend(records),
            Write::Checkpoint(state) => {
                self.checkpoint = Some(state);
                self.log.clear();
            }
        }
    }

    /// Writes a random part: some of the first records, or a checkpoint completely or not at all.
    fn write_partially(&mut self, random: &mut Pcg, write: Write) {
        match write {
            Write::Append(records) => {
                let kept = random.next_below(records.len() + 1);
                self.log.extend(records.into_iter().take(kept));
            }
            Write::Checkpoint(_) if random.next_below(2) == 0 => {}
            checkpoint => self.write(checkpoint),
        }
    }

    /// Drops the pending writes at a crash of the process or the machine. The oldest one may be partially written.
    pub fn interrupt(&mut self, random: &mut Pcg) {
        let pending = std::mem::take(&mut self.pending);
        if let Some((_, write)) = pending.into_iter().next() {
            self.write_partially(random, write);
        }
        self.busy_until = 0;
    }

    /// Empties the disk.
    pub fn wipe(&mut self) {
        *self = Disk {
            stalled_until: self.stalled_until,
            extra_delay_ms: self.extra_delay_ms,
            ..Disk::default()
        };
    }

    /// Reads the contents of the disk.
    pub fn recover(&self) -> Recovered {
        (self.checkpoint.clone(), self.log.clone())
    }
}
