//! The instances of each connection of a balancer, whole: the changes that are sent are put into the list before, as an
//! agent does.

use std::collections::HashMap;

use whinspindle_distribution::{Instances, SubscriberId, Update};

/// The newest list that was sent on each connection.
#[derive(Default)]
pub struct InstanceLists {
    sent: HashMap<SubscriberId, Instances>,
}

impl InstanceLists {
    /// The update with the complete list in place of the changes, which have to build on the list sent before.
    pub fn expand(&mut self, to: SubscriberId, mut update: Update) -> Update {
        if let Some(changes) = update.changes.take() {
            let sent = self.sent.get_mut(&to).expect("changes follow a list");
            assert!(changes.apply_to(sent), "changes build on the list before");
            update.instances = Some(sent.clone());
        }
        if let Some(section) = &update.instances {
            self.sent.insert(to, section.clone());
        }
        update
    }
}
