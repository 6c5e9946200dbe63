//! The endpoint list of the link: incremental changes are applied to the last complete list of the same controller.

use whinspindle_distribution::{Instances, Update};

/// The newest endpoint list of the link.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointList {
    held: Option<Instances>,
    received_at: u64,
}

impl EndpointList {
    /// Replaces the changes in an update by the complete list. Changes of another list than the last one are dropped; the
    /// controller sends its complete list once the acknowledgement is overdue.
    pub fn complete(&mut self, now: u64, mut update: Update) -> Update {
        if let Some(section) = &update.instances {
            self.held = Some(section.clone());
            self.received_at = now;
        }
        if let Some(changes) = update.changes.take() {
            let mut list = self.held.take().unwrap_or_default().aged(now.saturating_sub(self.received_at));
            if changes.apply_to(&mut list) {
                update.instances = Some(list.clone());
            }
            self.held = Some(list);
            self.received_at = now;
        }
        update
    }
}
