//! The instances of each connection of a balancer, whole: the changes that are sent are put into the list before, as an
//! agent does.

use std::collections::HashMap;

use whinspindle_distribution::{Instances, SubscriberId, Update};

/// The newest list that was sent on each connection.
#[derive(Default)]
pub struct InstanceLists {
    held: HashMap<SubscriberId, Instances>,
}

impl InstanceLists {
    /// The update with the whole list in place of the changes. Changes have to build on the list that was sent before.
    pub fn whole(&mut self, to: SubscriberId, mut update: Update) -> Update {
        if let Some(changes) = update.changes.take() {
            let held = self.held.get_mut(&to).expect("changes follow a list");
            assert!(changes.apply_to(held), "changes build on the list before");
            update.instances = Some(held.clone());
        }
        if let Some(section) = &update.instances {
            self.held.insert(to, section.clone());
        }
        update
    }
}
