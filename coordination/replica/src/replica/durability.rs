//! Durable records, and actions that are deferred until the records are durable.

use super::Replica;
use crate::application::Application;
use crate::disk::DeferredAction;
use crate::durable::DurableRecord;
use crate::protocol_rules::ProtocolRules;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Applies a record to the durable state and queues it for writing. A record that is not urgent is
    /// written together with the next urgent one.
    pub(super) fn record(&mut self, record: DurableRecord, is_urgent: bool) {
        self.disk.append(record.encode(), is_urgent);
        self.state.apply(record);
    }

    /// Runs an action once all records appended so far are durable.
    pub(super) fn run_when_durable(&mut self, now: u64, action: DeferredAction) {
        if self.disk.is_idle() {
            self.run_deferred(now, action);
        } else {
            self.disk.defer_until_durable(action);
        }
    }

    /// Handles that the write with this token is durable.
    pub(super) fn on_persisted(&mut self, now: u64, token: u64) {
        for action in self.disk.complete_write(token) {
            self.run_deferred(now, action);
        }
        if !self.is_started {
            self.start(now);
        }
    }

    /// Runs a deferred action, now that all earlier records are durable.
    fn run_deferred(&mut self, now: u64, action: DeferredAction) {
        match action {
            DeferredAction::Send { to, message } => self.send(to, *message),
            DeferredAction::Entry(sequence) => {
                self.durable_last = self.durable_last.max(sequence);
                self.is_acknowledgement_due = true;
            }
            DeferredAction::Complete(view) => self.on_log_complete(now, view),
        }
    }

    /// Whether the last write has failed or the current one exceeds the time-out.
    pub(super) fn is_disk_stalled(&self, now: u64) -> bool {
        self.disk.is_stalled(now, self.settings.timing.disk_stall_timeout_ms)
    }
}
