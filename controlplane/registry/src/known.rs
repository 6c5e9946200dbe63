//! The instances that are known, by id and by address: an address belongs to one of them at most.

use std::collections::HashMap;
use std::net::SocketAddr;

use indexmap::IndexMap;
use whinspindle_configuration::Heartbeat;

use crate::instances::InstanceRecord;

/// A change of the end of the cold time below this is not told to balancers.
pub(crate) const COLD_TOLERANCE_MS: u64 = 250;

/// What is known of one instance.
#[derive(Debug)]
pub(crate) struct Known {
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub generation: String,
    pub slots: u32,
    pub sequence: u64,
    /// 0 for one that is warm.
    pub cold_until: u64,
    /// When a controller heard of it last: what the others are told.
    pub heard_at: u64,
    /// Its silence before this time counts for nothing: this controller was cut off or stood still.
    pub excused_until: u64,
    /// Known from before the start of this controller alone.
    pub recalled: bool,
}

/// Known instances in the order in which they came.
#[derive(Debug, Default)]
pub(crate) struct KnownInstances {
    by_id: IndexMap<String, Known>,
    by_address: HashMap<SocketAddr, String>,
}

impl KnownInstances {
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    pub fn get(&self, id: &str) -> Option<&Known> {
        self.by_id.get(id)
    }

    pub fn get_key_value(&self, id: &str) -> Option<(&String, &Known)> {
        self.by_id.get_key_value(id)
    }

    /// The instance at an address.
    pub fn holder_of(&self, address: SocketAddr) -> Option<(&String, &Known)> {
        self.by_id.get_key_value(self.by_address.get(&address)?)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Known)> {
        self.by_id.iter()
    }

    /// Changes what is known of an instance, all but its address.
    pub fn update(&mut self, id: &str, change: impl FnOnce(&mut Known)) {
        if let Some(known) = self.by_id.get_mut(id) {
            change(known);
        }
    }

    /// Changes what is known of all instances, all but their addresses.
    pub fn update_all(&mut self, change: impl FnMut(&mut Known)) {
        self.by_id.values_mut().for_each(change);
    }

    /// Puts an instance in place of what was known of it, and of another one at its address.
    pub fn put(&mut self, id: &str, known: Known) {
        let address = known.address;
        if let Some((other, _)) = self.holder_of(address)
            && other != id
        {
            let other = other.clone();
            self.remove(&other);
        }
        self.forget_address(id);
        self.by_address.insert(address, id.to_owned());
        match self.by_id.get_mut(id) {
            Some(held) => *held = known,
            None => {
                self.by_id.insert(id.to_owned(), known);
            }
        }
    }

    /// Answers whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.forget_address(id);
        self.by_id.shift_remove(id).is_some()
    }

    /// Removes those that don't fulfil a condition; answers whether there were any.
    pub fn retain(&mut self, keeps: impl Fn(&Known) -> bool) -> bool {
        let by_address = &mut self.by_address;
        let count = self.by_id.len();
        self.by_id.retain(|_, known| {
            let is_kept = keeps(known);
            if !is_kept {
                by_address.remove(&known.address);
            }
            is_kept
        });
        self.by_id.len() < count
    }

    fn forget_address(&mut self, id: &str) {
        if let Some(known) = self.by_id.get(id) {
            self.by_address.remove(&known.address);
        }
    }
}

/// When an instance ceases to be cold. A warm one has no such time: a record that arrives late would else say that it
/// was cold until then.
pub(crate) fn cold_end(now: u64, slow_start_ms: u64) -> u64 {
    if slow_start_ms == 0 { 0 } else { now.saturating_add(slow_start_ms) }
}

impl Known {
    /// When the silence began that it may be taken for lost for.
    pub fn silent_since(&self) -> u64 {
        self.heard_at.max(self.excused_until)
    }

    /// As a heartbeat tells it.
    pub fn heard(now: u64, heartbeat: &Heartbeat) -> Self {
        Known {
            service: heartbeat.backend.clone(),
            address: heartbeat.address,
            zone: heartbeat.zone.clone(),
            generation: heartbeat.generation.clone(),
            slots: heartbeat.slots,
            sequence: heartbeat.sequence,
            cold_until: cold_end(now, heartbeat.slow_start_ms),
            heard_at: now,
            excused_until: 0,
            recalled: false,
        }
    }

    /// As another controller tells it.
    pub fn recorded(record: InstanceRecord, heard_at: u64, cold_until: u64) -> Self {
        Known {
            service: record.service,
            address: record.address,
            zone: record.zone,
            generation: record.generation,
            slots: record.slots,
            sequence: record.sequence,
            cold_until,
            heard_at,
            excused_until: 0,
            recalled: false,
        }
    }

    /// The same heartbeat was heard of by another way; it may tell that the instance is cold for longer.
    pub fn heard_again(&mut self, heard_at: u64, cold_until: Option<u64>) {
        let was_recalled = std::mem::take(&mut self.recalled);
        self.heard_at = if was_recalled { heard_at } else { self.heard_at.max(heard_at) };
        self.cold_until = self.cold_until.max(cold_until.unwrap_or(0));
    }

    /// Whether balancers see a difference.
    pub fn looks_other(&self, newer: &Known) -> bool {
        let cold_moved = self.cold_until.abs_diff(newer.cold_until) > COLD_TOLERANCE_MS;
        let was_cold = self.cold_until > newer.heard_at || newer.cold_until > newer.heard_at;
        (cold_moved && was_cold)
            || self.address != newer.address
            || self.slots != newer.slots
            || self.service != newer.service
            || self.zone != newer.zone
    }
}
