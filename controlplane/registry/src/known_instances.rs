//! The known instances, indexed by id and by address: an address belongs to one of them at most.

use std::collections::HashMap;
use std::net::SocketAddr;

use indexmap::IndexMap;
use whinspindle_configuration::Heartbeat;

use crate::instance_record::InstanceRecord;

/// A change of the end of a slow start below this, in milliseconds, is not a change for balancers.
pub(crate) const SLOW_START_TOLERANCE_MS: u64 = 250;

/// The entry of one instance.
#[derive(Debug)]
pub(crate) struct KnownInstance {
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub generation: String,
    pub slots: u32,
    pub sequence: u64,
    /// When its slow start ends; 0 if it is warm.
    pub warm_at: u64,
    /// When a controller last received a heartbeat of it; the age in its record counts from here.
    pub last_seen_at: u64,
    /// Silence before this time is not counted: this controller was partitioned or did not run.
    pub silence_ignored_until: u64,
    /// Known from the saved state alone.
    pub restored: bool,
}

/// Known instances in the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct KnownInstances {
    by_id: IndexMap<String, KnownInstance>,
    by_address: HashMap<SocketAddr, String>,
}

impl KnownInstances {
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    pub fn get(&self, id: &str) -> Option<&KnownInstance> {
        self.by_id.get(id)
    }

    pub fn get_key_value(&self, id: &str) -> Option<(&String, &KnownInstance)> {
        self.by_id.get_key_value(id)
    }

    /// The instance at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<(&String, &KnownInstance)> {
        self.by_id.get_key_value(self.by_address.get(&address)?)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &KnownInstance)> {
        self.by_id.iter()
    }

    /// Changes the entry of an instance, all but its address.
    pub fn update(&mut self, id: &str, change: impl FnOnce(&mut KnownInstance)) {
        if let Some(known) = self.by_id.get_mut(id) {
            change(known);
        }
    }

    /// Changes the entries of all instances, all but their addresses.
    pub fn update_all(&mut self, change: impl FnMut(&mut KnownInstance)) {
        self.by_id.values_mut().for_each(change);
    }

    /// Inserts an instance in place of its former entry, and of another instance at its address.
    pub fn put(&mut self, id: &str, known: KnownInstance) {
        let address = known.address;
        if let Some((other, _)) = self.at_address(address)
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

    /// Returns whether the instance was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.forget_address(id);
        self.by_id.shift_remove(id).is_some()
    }

    /// Removes the instances that don't fulfil a condition; returns whether there were any.
    pub fn retain(&mut self, keeps: impl Fn(&KnownInstance) -> bool) -> bool {
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

/// When a slow start ends, 0 for a warm instance. With the present time in place of 0 a record that arrives late would
/// say that the instance was warming up until then.
pub(crate) fn slow_start_end(now: u64, slow_start_ms: u64) -> u64 {
    if slow_start_ms == 0 { 0 } else { now.saturating_add(slow_start_ms) }
}

impl KnownInstance {
    /// The time from which its silence time-out counts.
    pub fn silent_since(&self) -> u64 {
        self.last_seen_at.max(self.silence_ignored_until)
    }

    /// The entry after a heartbeat to this controller.
    pub fn from_heartbeat(now: u64, heartbeat: &Heartbeat) -> Self {
        KnownInstance {
            service: heartbeat.backend.clone(),
            address: heartbeat.address,
            zone: heartbeat.zone.clone(),
            generation: heartbeat.generation.clone(),
            slots: heartbeat.slots,
            sequence: heartbeat.sequence,
            warm_at: slow_start_end(now, heartbeat.slow_start_ms),
            last_seen_at: now,
            silence_ignored_until: 0,
            restored: false,
        }
    }

    /// The entry after the record of another controller.
    pub fn from_record(record: InstanceRecord, last_seen_at: u64, warm_at: u64) -> Self {
        KnownInstance {
            service: record.service,
            address: record.address,
            zone: record.zone,
            generation: record.generation,
            slots: record.slots,
            sequence: record.sequence,
            warm_at,
            last_seen_at,
            silence_ignored_until: 0,
            restored: false,
        }
    }

    /// The same heartbeat arrived by another way; it may name a later end of the slow start.
    pub fn seen_again(&mut self, last_seen_at: u64, warm_at: Option<u64>) {
        let was_recalled = std::mem::take(&mut self.restored);
        self.last_seen_at = if was_recalled { last_seen_at } else { self.last_seen_at.max(last_seen_at) };
        self.warm_at = self.warm_at.max(warm_at.unwrap_or(0));
    }

    /// Whether balancers see a difference.
    pub fn differs_visibly(&self, newer: &KnownInstance) -> bool {
        let slow_start_moved = self.warm_at.abs_diff(newer.warm_at) > SLOW_START_TOLERANCE_MS;
        let was_warming_up = self.warm_at > newer.last_seen_at || newer.warm_at > newer.last_seen_at;
        (slow_start_moved && was_warming_up)
            || self.address != newer.address
            || self.slots != newer.slots
            || self.service != newer.service
            || self.zone != newer.zone
    }
}
