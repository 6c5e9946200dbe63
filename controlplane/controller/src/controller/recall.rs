//! What outlives the process without being replicated.

use whinspindle_distribution::{Gossip, decode_gossip, encode_gossip};

use super::Controller;
use super::event::Action;
use crate::exchange;
use crate::protocol_rules::ProtocolRules;

impl<L: ProtocolRules> Controller<L> {
    pub(super) fn recall(&mut self, now: u64, memory: &[u8]) {
        let Ok(gossip) = decode_gossip(memory) else { return };
        self.take_recalled(now, gossip);
        for peer in self.peers() {
            self.send_recalled(now, peer);
        }
    }

    /// What was known before a start stands in for what is not heard of yet.
    pub(super) fn take_recalled(&mut self, now: u64, gossip: Gossip) {
        if self.has_heard_all(now) {
            return;
        }
        for instance in gossip.instances {
            self.has_recalled |= self.registry.recall(now, exchange::instance_record(instance));
        }
        for lease in gossip.leases {
            self.has_recalled |= self.leases.recall(now, exchange::lease_record(lease));
        }
        self.publish(now);
    }

    pub(super) fn remember(&mut self, now: u64) {
        let versions = (self.registry.version(), self.leases.version());
        if !self.has_heard_all(now) || !self.memory.is_due(now, versions) {
            return;
        }
        let gossip = exchange::memory(now, &self.registry, &self.leases);
        let slow_start_ms = gossip.instances.iter().map(|instance| instance.slow_start_ms).max();
        self.memory.writing(now, versions, slow_start_ms.unwrap_or(0));
        self.actions.push(Action::Remember { memory: encode_gossip(&gossip) });
    }
}
