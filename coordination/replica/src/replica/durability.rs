//! Durable records, and what waits until they are durable.

use super::Replica;
use crate::application::Application;
use crate::disk::AfterDurable;
use crate::durable::DurableRecord;
use crate::protocol_rules::ProtocolRules;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Applies a record to the durable state and queues it. One that is not urgent is written together with the next
    /// urgent one.
    pub(super) fn record(&mut self, record: DurableRecord, urgent: bool) {
        self.disk.append(record.encode(), urgent);
        self.state.apply(record);
    }

    /// Does something once all records so far are durable.
    pub(super) fn after_durable(&mut self, now: u64, what: AfterDurable) {
        if self.disk.is_idle() {
            self.on_durable(now, what);
        } else {
            self.disk.after_durable(what);
        }
    }

    /// The write with this token is durable.
    pub(super) fn persisted(&mut self, now: u64, token: u64) {
        for what in self.disk.persisted(token) {
            self.on_durable(now, what);
        }
        if !self.is_started {
            self.start(now);
        }
    }

    /// Does what had to wait for the records before it.
    fn on_durable(&mut self, now: u64, what: AfterDurable) {
        match what {
            AfterDurable::Send { to, message } => self.send(to, *message),
            AfterDurable::Entry(sequence) => {
                self.durable_last = self.durable_last.max(sequence);
                self.acknowledgement_due = true;
            }
            AfterDurable::Complete(view) => self.on_complete(now, view),
        }
    }

    /// Whether the disk does not answer in time.
    pub(super) fn is_disk_stalled(&self, now: u64) -> bool {
        self.disk.is_stalled(now, self.settings.timing.disk_stall_timeout_ms)
    }
}
