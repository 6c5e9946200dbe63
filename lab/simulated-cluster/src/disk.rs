//! A disk that takes its time, and loses what was not synced when power fails.

use std::collections::VecDeque;

use whinspindle::pcg::Pcg;

use crate::process::Recovered;

/// How long the disk takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskTiming {
    /// Milliseconds for a write with its sync.
    pub sync: u64,
    /// Bytes that are written in a millisecond; without a limit only the sync takes time.
    pub bytes_per_ms: Option<u64>,
}

impl Default for DiskTiming {
    fn default() -> Self {
        DiskTiming { sync: 5, bytes_per_ms: None }
    }
}

#[derive(Clone, Debug)]
enum Write {
    Append(Vec<Vec<u8>>),
    Checkpoint(Vec<u8>),
}

/// The disk of one node. Writes are carried out in order.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    checkpoint: Option<Vec<u8>>,
    log: Vec<Vec<u8>>,
    under_way: VecDeque<(u64, Write)>,
    /// When the last write under way will be done.
    busy_until: u64,
    /// Writes begun before this time are done only after it.
    stalled_until: u64,
    /// Writes begun before this time fail.
    failing_until: u64,
    /// Added to each write.
    pub slowness: u64,
    /// Of all writes that were begun, since the disk was empty.
    pub traffic: DiskTraffic,
}

/// What a disk was given to write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskTraffic {
    pub bytes: usize,
    pub checkpoints: usize,
    /// The size of the largest write.
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

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    Done,
    Failed,
}

impl Disk {
    pub fn stall(&mut self, until: u64) {
        self.stalled_until = until;
    }

    pub fn fail(&mut self, until: u64) {
        self.failing_until = until;
    }

    pub fn append(&mut self, now: u64, timing: DiskTiming, token: u64, records: Vec<Vec<u8>>) -> u64 {
        self.begin(now, timing, token, Write::Append(records))
    }

    pub fn checkpoint(&mut self, now: u64, timing: DiskTiming, token: u64, state: Vec<u8>) -> u64 {
        self.begin(now, timing, token, Write::Checkpoint(state))
    }

    /// Returns when the write will be done.
    fn begin(&mut self, now: u64, timing: DiskTiming, token: u64, write: Write) -> u64 {
        let bytes = write.bytes();
        self.traffic.bytes += bytes;
        self.traffic.checkpoints += usize::from(matches!(write, Write::Checkpoint(_)));
        self.traffic.largest_write = self.traffic.largest_write.max(bytes);
        let begins = now.max(self.busy_until).max(self.stalled_until);
        let writing = timing.bytes_per_ms.map_or(0, |width| bytes as u64 / width.max(1));
        self.busy_until = begins + timing.sync + self.slowness + writing;
        self.under_way.push_back((token, write));
        self.busy_until
    }

    /// The time of a write has come.
    pub fn finish(&mut self, now: u64, chance: &mut Pcg, token: u64) -> Option<Written> {
        let (oldest, _) = self.under_way.front()?;
        if *oldest != token {
            return None;
        }
        let (_, write) = self.under_way.pop_front()?;
        if now < self.failing_until {
            self.write_partly(chance, write);
            return Some(Written::Failed);
        }
        self.write(write);
        Some(Written::Done)
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

    /// Some first records of it are there, or nothing of it.
    fn write_partly(&mut self, chance: &mut Pcg, write: Write) {
        match write {
            Write::Append(records) => {
                let kept = chance.next_below(records.len() + 1);
                self.log.extend(records.into_iter().take(kept));
            }
            Write::Checkpoint(_) if chance.next_below(2) == 0 => {}
            checkpoint => self.write(checkpoint),
        }
    }

    /// The process or the power is gone: of what was under way the oldest write may be there in part.
    pub fn interrupt(&mut self, chance: &mut Pcg) {
        let under_way = std::mem::take(&mut self.under_way);
        if let Some((_, write)) = under_way.into_iter().next() {
            self.write_partly(chance, write);
        }
        self.busy_until = 0;
    }

    pub fn wipe(&mut self) {
        *self = Disk { stalled_until: self.stalled_until, slowness: self.slowness, ..Disk::default() };
    }

    pub fn recover(&self) -> Recovered {
        (self.checkpoint.clone(), self.log.clone())
    }
}
