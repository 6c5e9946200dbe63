//! Endpoint list of the link. Incremental changes apply to the last complete list of the same controller.

use whinspindle_distribution::{Instances, Update};

/// Newest endpoint list of the link.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointList {
    current: Option<Instances>,
    received_at: u64,
}

impl EndpointList {
    /// Replaces the changes in an update by the complete list. Drops changes that are based on another list
    /// than the last one; the controller sends its complete list once the acknowledgement is overdue.
    pub fn resolve_changes(&mut self, now: u64, mut update: Update) -> Update {
        if let Some(section) = &update.instances {
            self.current = Some(section.clone());
            self.received_at = now;
        }
        if let Some(changes) = update.changes.take() {
            let mut list = self.current.take().unwrap_or_default().aged(now.saturating_sub(self.received_at));
            if changes.apply_to(&mut list) {
                update.instances = Some(list.clone());
            }
            self.current = Some(list);
            self.received_at = now;
        }
        update
    }
}
