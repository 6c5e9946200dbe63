//! The registry of upstream instances. It is updated by their heartbeats and by the records of other
//! controllers.

use std::collections::BTreeSet;

use whinspindle_configuration::{Heartbeat, InstanceState};

use crate::departures::{DepartureStage, Departures};
use crate::instance_record::InstanceRecord;
use crate::known_instances::{KnownInstance, KnownInstances, SLOW_START_TOLERANCE_MS, slow_start_end};
use crate::recent_deregistrations::RecentDeregistrations;

/// The silence timeout, in half heartbeat intervals.
const SILENCE_TIMEOUT_HALF_INTERVALS: u64 = 7;
/// The maximum number of departures that are kept.
const DEPARTURE_CAPACITY: usize = 4096;
/// The maximum number of instances that are known at the same time.
const INSTANCE_CAPACITY: usize = 8192;

/// The intervals on which a registry relies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistryTiming {
    /// The time between two heartbeats of an instance, in milliseconds.
    pub heartbeat_ms: u64,
}

impl RegistryTiming {
    /// The time without a heartbeat after which an instance is removed, in milliseconds.
    pub fn silence_timeout_ms(&self) -> u64 {
        self.heartbeat_ms * SILENCE_TIMEOUT_HALF_INTERVALS / 2
    }
}

/// A service and the number of its instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceSize<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The number of known instances of the service.
    pub instance_count: usize,
}

/// The effect of a heartbeat. It also determines whether the heartbeat is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// The heartbeat is the newest one of its instance. It is acknowledged.
    Accepted {
        /// Whether the registry has changed in a way that is published to balancers.
        changed: bool,
    },
    /// A later heartbeat of the same instance is known, or the instance is deregistered. The heartbeat is
    /// acknowledged.
    Stale,
    /// The instance announces that it is draining, and no committed command confirms it yet. The heartbeat is
    /// acknowledged after [`InstanceRegistry::mark_draining`].
    DrainingAnnounced,
    /// The registry is full and the instance is unknown. The heartbeat is not acknowledged.
    AtCapacity,
}

/// The instances known from heartbeats that this controller has received, and from the records of other
/// controllers.
#[derive(Debug)]
pub struct InstanceRegistry {
    timing: RegistryTiming,
    known: KnownInstances,
    departures: Departures,
    recent_deregistrations: RecentDeregistrations,
    /// The ids of instances whose heartbeats this controller has received since the last `take_changes`.
    unsent: BTreeSet<String>,
    is_isolated: bool,
    last_expiry_at: Option<u64>,
    version: u64,
    withdrawal_count: u64,
}

impl InstanceRegistry {
    /// Creates an empty registry.
    pub fn new(timing: RegistryTiming) -> Self {
        InstanceRegistry {
            timing,
            known: KnownInstances::default(),
            departures: Departures::new(DEPARTURE_CAPACITY),
            recent_deregistrations: RecentDeregistrations::default(),
            unsent: BTreeSet::new(),
            is_isolated: false,
            last_expiry_at: None,
            version: 1,
            withdrawal_count: 0,
        }
    }

    /// Applies a heartbeat that an instance has sent to this controller.
    pub fn record_heartbeat(&mut self, now: u64, id: &str, heartbeat: &Heartbeat) -> HeartbeatEffect {
        if self.departures.is_deregistered(id) {
            return HeartbeatEffect::Stale;
        }
        if !self.known.contains(id) && self.known.len() >= INSTANCE_CAPACITY {
            return HeartbeatEffect::AtCapacity;
        }
        let is_draining = heartbeat.state == InstanceState::Draining;
        let drain_announced = is_draining && self.departures.advance(id, DepartureStage::Announced);
        let is_stale = self.known.get(id).is_some_and(|known| known.sequence >= heartbeat.sequence);
        let changed =
            if is_stale { false } else { self.replace(id, KnownInstance::from_heartbeat(now, heartbeat)) };
        if drain_announced || !is_stale {
            self.unsent.insert(id.to_owned());
        }
        self.bump_version_if(changed || drain_announced);
        self.withdrawal_count += u64::from(drain_announced);
        match self.departures.stage(id) {
            Some(DepartureStage::Announced) if is_draining => HeartbeatEffect::DrainingAnnounced,
            _ if is_stale => HeartbeatEffect::Stale,
            _ => HeartbeatEffect::Accepted { changed: changed || drain_announced },
        }
    }

    /// Marks an instance as draining, after the command for it is committed. The instance never accepts new
    /// requests again.
    pub fn mark_draining(&mut self, id: &str) {
        let is_new = self.departures.stage(id).is_none();
        self.departures.advance(id, DepartureStage::Draining);
        self.bump_version_if(is_new && self.known.contains(id));
        self.withdrawal_count += u64::from(is_new);
    }

    /// Removes an instance whose deregistration is committed. Its later heartbeats and records are ignored.
    pub fn mark_deregistered(&mut self, id: &str) {
        let is_new = self.departures.advance(id, DepartureStage::Deregistered);
        self.unsent.remove(id);
        if is_new {
            self.recent_deregistrations.add(id);
        }
        let was_known = self.known.remove(id);
        self.bump_version_if(is_new || was_known);
        self.withdrawal_count += u64::from(is_new || was_known);
    }

    /// Merges the record of another controller. Returns whether the registry has changed in a way that is
    /// published to balancers.
    pub fn merge(&mut self, now: u64, record: InstanceRecord) -> bool {
        if self.departures.is_deregistered(&record.id) {
            return false;
        }
        let drain_announced =
            record.draining && self.departures.advance(&record.id, DepartureStage::Announced);
        let changed = self.merge_record(now, record);
        self.bump_version_if(changed || drain_announced);
        self.withdrawal_count += u64::from(drain_announced);
        changed || drain_announced
    }

    /// Restores a record of the saved state as if the instance had just sent a heartbeat. Any heartbeat, and
    /// any record of another controller, replaces the restored entry. Returns whether the instance was added.
    pub fn restore(&mut self, now: u64, record: InstanceRecord) -> bool {
        let is_known = self.known.contains(&record.id) || self.departures.is_deregistered(&record.id);
        let is_address_taken = self.known.at_address(record.address).is_some();
        if is_known || is_address_taken || self.known.len() >= INSTANCE_CAPACITY {
            return false;
        }
        if record.draining {
            self.departures.advance(&record.id, DepartureStage::Announced);
        }
        let slow_start_ends_at = slow_start_end(now, record.slow_start_ms);
        let id = record.id.clone();
        self.known.insert(
            &id,
            KnownInstance { restored: true, ..KnownInstance::from_record(record, now, slow_start_ends_at) },
        );
        self.version += 1;
        true
    }

    /// Removes the instances that are known only from the saved state. The caller ensures that every live
    /// instance has been observed by now.
    pub fn drop_restored(&mut self) {
        let has_removed = self.known.retain(|known| !known.restored);
        self.bump_version_if(has_removed);
    }

    /// Returns records of the instances whose heartbeats this controller has received since the last call, to
    /// be sent to the other controllers.
    pub fn take_changes(&mut self, now: u64) -> Vec<InstanceRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent
            .iter()
            .filter_map(|id| self.known.get_key_value(id))
            .map(|(id, known)| self.record(now, id, known))
            .collect()
    }

    /// Whether [`take_changes`](Self::take_changes) would return any record.
    pub fn has_changes(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// The service to which an instance belongs, with the number of its known instances.
    pub fn service_size(&self, id: &str) -> Option<ServiceSize<'_>> {
        let service = self.known.get(id)?.service.as_str();
        let instance_count = self.known.iter().filter(|(_, known)| known.service == service).count();
        Some(ServiceSize { service, instance_count })
    }

    /// The number of known instances.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records of all known instances, including draining ones.
    pub fn snapshot(&self, now: u64) -> Vec<InstanceRecord> {
        self.known.iter().map(|(id, known)| self.record(now, id, known)).collect()
    }

    /// The ids of recently deregistered instances, including instances that were never known here.
    pub fn recently_deregistered(&self) -> impl Iterator<Item = &str> {
        self.recent_deregistrations.ids()
    }

    /// Records of the instances that a heartbeat or another controller has confirmed since this process
    /// started.
    pub fn observed_records(&self, now: u64) -> Vec<InstanceRecord> {
        let observed = self.known.iter().filter(|(_, known)| !known.restored);
        observed.map(|(id, known)| self.record(now, id, known)).collect()
    }

    /// Records of the instances that are known only from the saved state.
    pub fn restored_records(&self, now: u64) -> Vec<InstanceRecord> {
        let restored = self.known.iter().filter(|(_, known)| known.restored);
        restored.map(|(id, known)| self.record(now, id, known)).collect()
    }

    /// Sets whether this controller is partitioned from the others. During a partition no silent instance is
    /// removed, and afterwards every silence timeout restarts. The ages in the records still count from the
    /// last heartbeat, because the other controllers may not have received a newer one either.
    pub fn set_isolated(&mut self, now: u64, isolated: bool) {
        if self.is_isolated && !isolated {
            self.known.update_all(|known| known.silence_ignored_until = now);
        }
        self.is_isolated = isolated;
    }

    /// Counts the silence of every instance from its last heartbeat again. The caller ensures that all
    /// heartbeats received by other controllers in the meantime have been merged.
    pub fn stop_ignoring_silence(&mut self) {
        self.known.update_all(|known| known.silence_ignored_until = 0);
    }

    /// Removes instances whose silence timeout has passed; returns whether any was removed. Must be called at
    /// least once per heartbeat interval: a longer gap between two calls is treated as a pause of this
    /// process and does not count as silence.
    pub fn expire(&mut self, now: u64) -> bool {
        self.discount_own_pause(now);
        self.recent_deregistrations.expire(now);
        if self.is_isolated {
            return false;
        }
        let min_silent_since = now.saturating_sub(self.timing.silence_timeout_ms());
        let has_removed = self.known.retain(|known| known.silent_since() >= min_silent_since);
        self.bump_version_if(has_removed);
        has_removed
    }

    /// The version of the registry. It increases with each change that is published to balancers.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The number of instances that have started draining or were deregistered. Balancers are notified of
    /// these changes immediately.
    pub fn withdrawal_count(&self) -> u64 {
        self.withdrawal_count
    }

    fn discount_own_pause(&mut self, now: u64) {
        let pause_ms = now - self.last_expiry_at.replace(now).unwrap_or(now).min(now);
        if pause_ms > self.timing.heartbeat_ms {
            self.known
                .update_all(|known| known.silence_ignored_until = now.min(known.silent_since() + pause_ms));
        }
    }

    /// Replaces the entry of an instance. Returns whether the registry has changed in a way that is published
    /// to balancers. An address belongs to the instance that was last seen at it. An instance that was
    /// displaced wrongly, by a delayed heartbeat of a terminated instance, is added again with its next
    /// heartbeat.
    fn replace(&mut self, id: &str, known: KnownInstance) -> bool {
        let Some(current) = self.known.get(id) else {
            self.known.insert(id, known);
            return true;
        };
        let changed = current.differs_visibly(&known);
        let last_seen_at =
            if current.restored { known.last_seen_at } else { current.last_seen_at.max(known.last_seen_at) };
        let silence_ignored_until = current.silence_ignored_until;
        self.known.insert(id, KnownInstance { last_seen_at, silence_ignored_until, ..known });
        changed
    }

    fn merge_record(&mut self, now: u64, record: InstanceRecord) -> bool {
        let last_seen_at = now.saturating_sub(record.age_ms);
        if last_seen_at + self.timing.silence_timeout_ms() < now
            || self.is_address_taken(&record, last_seen_at)
        {
            return false;
        }
        let slow_start_ends_at = slow_start_end(now, record.slow_start_ms);
        match self.known.get(&record.id) {
            Some(current) if current.sequence > record.sequence => false,
            Some(current) if current.sequence == record.sequence => {
                let extends_slow_start =
                    slow_start_ends_at > current.slow_start_ends_at + SLOW_START_TOLERANCE_MS;
                self.known.update(&record.id, |current| {
                    current.merge_duplicate(last_seen_at, extends_slow_start.then_some(slow_start_ends_at))
                });
                extends_slow_start
            }
            None if self.known.len() >= INSTANCE_CAPACITY => false,
            _ => {
                let id = record.id.clone();
                self.replace(&id, KnownInstance::from_record(record, last_seen_at, slow_start_ends_at))
            }
        }
    }

    fn is_address_taken(&self, record: &InstanceRecord, last_seen_at: u64) -> bool {
        let occupant = self.known.at_address(record.address);
        occupant.is_some_and(|(id, known)| {
            *id != record.id && !known.restored && known.last_seen_at >= last_seen_at
        })
    }

    fn record(&self, now: u64, id: &str, known: &KnownInstance) -> InstanceRecord {
        InstanceRecord {
            id: id.to_owned(),
            service: known.service.clone(),
            address: known.address,
            zone: known.zone.clone(),
            generation: known.generation.clone(),
            slots: known.slots,
            sequence: known.sequence,
            draining: self.departures.stage(id).is_some(),
            slow_start_ms: known.slow_start_ends_at.saturating_sub(now),
            age_ms: now.saturating_sub(known.last_seen_at),
        }
    }

    fn bump_version_if(&mut self, changed: bool) {
        self.version += u64::from(changed);
    }
}
