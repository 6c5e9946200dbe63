//! Saving of the registries to the disk, and their restoration after a restart. This state is not replicated.

use whinspindle_distribution::{Gossip, decode_gossip, encode_gossip};

use super::Controller;
use super::event::Action;
use crate::gossip_records;
use crate::protocol_rules::ProtocolRules;
use crate::save_schedule::RegistryVersions;

impl<R: ProtocolRules> Controller<R> {
    /// Restores the state that an earlier process saved, and sends it to the other controllers. Undecodable
    /// state is ignored.
    pub(super) fn restore_state(&mut self, now: u64, state: &[u8]) {
        let Ok(gossip) = decode_gossip(state) else { return };
        self.merge_restored(now, gossip);
        for peer in self.peers() {
            self.send_restored(now, peer);
        }
    }

    /// Merges restored state of this or another controller. It only adds instances and balancers that have
    /// not been observed since the start.
    pub(super) fn merge_restored(&mut self, now: u64, gossip: Gossip) {
        if self.is_discovery_complete(now) {
            return;
        }
        for instance in gossip.instances {
            self.has_restored_state |= self.registry.restore(now, gossip_records::instance_record(instance));
        }
        for lease in gossip.leases {
            self.has_restored_state |= self.leases.restore(now, gossip_records::lease_record(lease));
        }
        self.publish(now);
    }

    /// Saves the state if a write is due.
    pub(super) fn save_state_if_due(&mut self, now: u64) {
        let versions = RegistryVersions { instances: self.registry.version(), leases: self.leases.version() };
        if !self.is_discovery_complete(now) || !self.save_schedule.is_due(now, versions) {
            return;
        }
        let gossip = gossip_records::saved_state(now, &self.registry, &self.leases);
        let slow_start_ms = gossip.instances.iter().map(|instance| instance.slow_start_ms).max();
        self.save_schedule.record_write_start(now, versions, slow_start_ms.unwrap_or(0));
        self.actions.push(Action::SaveState { state: encode_gossip(&gossip) });
    }
}
