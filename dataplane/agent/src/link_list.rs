//! The instances as the controller of the link tells them: its newest list, made whole of the changes that it sends.

use whinspindle_distribution::{Instances, Update};

/// The newest list of the link.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkList {
    held: Option<Instances>,
    received_at: u64,
}

impl LinkList {
    /// Makes the instances of an update whole. Changes of another list than the one held are dropped; the controller
    /// sends its list once the acknowledgement is overdue.
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
