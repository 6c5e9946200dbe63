//! The complete list of instances on each connection of a balancer: changes are applied to the previous list,
//! as an agent does.

use std::collections::HashMap;

use whinspindle_distribution::{Instances, SubscriberId, Update};

/// The newest list that was sent on each connection.
#[derive(Default)]
pub struct InstanceLists {
    sent: HashMap<SubscriberId, Instances>,
}

impl InstanceLists {
    /// Replaces the changes in an update with the complete list. The changes have to apply to the previous
    /// list.
    pub fn expand(&mut self, to: SubscriberId, mut update: Update) -> Update {
        if let Some(changes) = update.changes.take() {
            let sent = self.sent.get_mut(&to).expect("changes follow a list");
            assert!(changes.apply_to(sent), "changes apply to the previous list");
            update.instances = Some(sent.clone());
        }
        if let Some(section) = &update.instances {
            self.sent.insert(to, section.clone());
        }
        update
    }
}
