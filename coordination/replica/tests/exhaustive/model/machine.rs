//! A machine with its replica, its disk and its current write.

use std::cell::OnceCell;

use whinspindle_replica::{DurableWrite, ProtocolRules, Replica};

use crate::common::node::Registers;
use crate::observer::hash_of;

/// A machine and the replica process on it.
#[derive(Clone, Debug)]
pub struct Machine<L> {
    pub replica: Option<Replica<Registers, L>>,
    pub(super) disk: (Option<Vec<u8>>, Vec<Vec<u8>>),
    /// The token and the content of the current write.
    pub(super) writing: Option<(u64, DurableWrite)>,
    pub(super) starts: u64,
    pub(super) is_gone: bool,
    /// Computed on first use.
    pub(super) fingerprint: OnceCell<u64>,
}

impl<L: ProtocolRules> Machine<L> {
    pub(super) fn empty() -> Machine<L> {
        let (replica, disk, writing) = (None, (None, Vec::new()), None);
        Machine { replica, disk, writing, starts: 0, is_gone: false, fingerprint: OnceCell::new() }
    }

    pub(super) fn fingerprint(&self) -> u64 {
        let Machine { replica, disk, writing, starts, is_gone, fingerprint } = self;
        let current_write = writing.as_ref().map(|(token, write)| match write {
            DurableWrite::Append(records) => (*token, false, hash_of(records)),
            DurableWrite::Checkpoint(state) => (*token, true, hash_of(state)),
        });
        // Only the debug text of a replica covers its whole state.
        let state = || hash_of((format!("{replica:?}"), disk, current_write, starts, is_gone));
        *fingerprint.get_or_init(state)
    }

    pub(super) fn write(&mut self, write: DurableWrite) {
        match write {
            DurableWrite::Append(records) => self.disk.1.extend(records),
            DurableWrite::Checkpoint(state) => self.disk = (Some(state), Vec::new()),
        }
    }
}
