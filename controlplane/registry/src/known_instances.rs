//! The known instances, indexed by id and by address. Each address belongs to at most one instance.

use std::collections::HashMap;
use std::net::SocketAddr;

use indexmap::IndexMap;
use whinspindle_configuration::Heartbeat;

use crate::instance_record::InstanceRecord;

/// Changes of a slow start's end up to this size, in milliseconds, are not published to balancers.
pub(crate) const SLOW_START_TOLERANCE_MS: u64 = 250;

/// The state of one instance.
#[derive(Debug)]
pub(crate) struct KnownInstance {
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub generation: String,
    pub slots: u32,
    pub sequence: u64,
    /// The time at which the slow start ends; 0 for a warm instance.
    pub slow_start_ends_at: u64,
    /// The time at which a controller last received a heartbeat. The age in the instance's record counts from
    /// it.
    pub last_seen_at: u64,
    /// Silence before this time does not count towards the timeout, because this controller was partitioned
    /// or paused.
    pub silence_ignored_until: u64,
    /// Whether the instance is known only from the saved state.
    pub restored: bool,
}

/// The known instances, in the order in which they were added.
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

    /// The id and the state of the instance at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<(&String, &KnownInstance)> {
        self.by_id.get_key_value(self.by_address.get(&address)?)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &KnownInstance)> {
        self.by_id.iter()
    }

    /// Modifies an instance. `change` must not modify the address.
    pub fn update(&mut self, id: &str, change: impl FnOnce(&mut KnownInstance)) {
        if let Some(known) = self.by_id.get_mut(id) {
            change(known);
        }
    }

    /// Modifies all instances. `change` must not modify the addresses.
    pub fn update_all(&mut self, change: impl FnMut(&mut KnownInstance)) {
        self.by_id.values_mut().for_each(change);
    }

    /// Inserts an instance. It replaces its previous entry and any other instance at the same address.
    pub fn insert(&mut self, id: &str, known: KnownInstance) {
        let address = known.address;
        if let Some((previous_id, _)) = self.at_address(address)
            && previous_id != id
        {
            let previous_id = previous_id.clone();
            self.remove(&previous_id);
        }
        self.remove_address(id);
        self.by_address.insert(address, id.to_owned());
        match self.by_id.get_mut(id) {
            Some(entry) => *entry = known,
            None => {
                self.by_id.insert(id.to_owned(), known);
            }
        }
    }

    /// Removes an instance; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.remove_address(id);
        self.by_id.shift_remove(id).is_some()
    }

    /// Removes the instances for which `should_keep` is false; returns whether any was removed.
    pub fn retain(&mut self, should_keep: impl Fn(&KnownInstance) -> bool) -> bool {
        let by_address = &mut self.by_address;
        let count = self.by_id.len();
        self.by_id.retain(|_, known| {
            let is_kept = should_keep(known);
            if !is_kept {
                by_address.remove(&known.address);
            }
            is_kept
        });
        self.by_id.len() < count
    }

    fn remove_address(&mut self, id: &str) {
        if let Some(known) = self.by_id.get(id) {
            self.by_address.remove(&known.address);
        }
    }
}

/// The time at which a slow start ends, or 0 for a warm instance. If `now` were used instead of 0, a delayed
/// record of a warm instance would appear to extend its slow start.
pub(crate) fn slow_start_end(now: u64, slow_start_ms: u64) -> u64 {
    if slow_start_ms == 0 { 0 } else { now.saturating_add(slow_start_ms) }
}

impl KnownInstance {
    /// The time from which the silence timeout counts.
    pub fn silent_since(&self) -> u64 {
        self.last_seen_at.max(self.silence_ignored_until)
    }

    /// Creates the state of an instance from a heartbeat that this controller has received.
    pub fn from_heartbeat(now: u64, heartbeat: &Heartbeat) -> Self {
        KnownInstance {
            service: heartbeat.backend.clone(),
            address: heartbeat.address,
            zone: heartbeat.zone.clone(),
            generation: heartbeat.generation.clone(),
            slots: heartbeat.slots,
            sequence: heartbeat.sequence,
            slow_start_ends_at: slow_start_end(now, heartbeat.slow_start_ms),
            last_seen_at: now,
            silence_ignored_until: 0,
            restored: false,
        }
    }

    /// Creates the state of an instance from the record of another controller or of the saved state.
    pub fn from_record(record: InstanceRecord, last_seen_at: u64, slow_start_ends_at: u64) -> Self {
        KnownInstance {
            service: record.service,
            address: record.address,
            zone: record.zone,
            generation: record.generation,
            slots: record.slots,
            sequence: record.sequence,
            slow_start_ends_at,
            last_seen_at,
            silence_ignored_until: 0,
            restored: false,
        }
    }

    /// Merges another copy of the newest heartbeat, which may extend the slow start.
    pub fn merge_duplicate(&mut self, last_seen_at: u64, extended_slow_start_end: Option<u64>) {
        let was_restored = std::mem::take(&mut self.restored);
        self.last_seen_at = if was_restored { last_seen_at } else { self.last_seen_at.max(last_seen_at) };
        self.slow_start_ends_at = self.slow_start_ends_at.max(extended_slow_start_end.unwrap_or(0));
    }

    /// Whether a newer state differs in a way that is published to balancers.
    pub fn differs_visibly(&self, newer: &KnownInstance) -> bool {
        let slow_start_changed =
            self.slow_start_ends_at.abs_diff(newer.slow_start_ends_at) > SLOW_START_TOLERANCE_MS;
        let was_in_slow_start =
            self.slow_start_ends_at > newer.last_seen_at || newer.slow_start_ends_at > newer.last_seen_at;
        (slow_start_changed && was_in_slow_start)
            || self.address != newer.address
            || self.slots != newer.slots
            || self.service != newer.service
            || self.zone != newer.zone
    }
}
