//! The registry of upstream instances, fed by their heartbeats and by the records of other controllers.

use std::collections::BTreeSet;

use whinspindle_configuration::{Heartbeat, InstanceState};

use crate::departures::{DepartureStage, Departures};
use crate::instance_record::InstanceRecord;
use crate::known_instances::{KnownInstance, KnownInstances, SLOW_START_TOLERANCE_MS, slow_start_end};
use crate::recent_ends::RecentEnds;

/// The silence time-out, in halves of a heartbeat interval.
const SILENCE_TIMEOUT_HALF_INTERVALS: u64 = 7;
/// The number of departures that are kept.
const DEPARTURE_CAPACITY: usize = 4096;
/// The number of instances that are kept at once.
const INSTANCE_CAPACITY: usize = 8192;

/// The intervals that a registry relies on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistryTiming {
    /// The time between two heartbeats of an instance, in milliseconds.
    pub heartbeat_ms: u64,
}

impl RegistryTiming {
    /// How long an instance may send no heartbeat before it is removed, in milliseconds.
    pub fn silence_timeout_ms(&self) -> u64 {
        self.heartbeat_ms * SILENCE_TIMEOUT_HALF_INTERVALS / 2
    }
}

/// A service and its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceSize<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The number of its instances that are known.
    pub instance_count: usize,
}

/// The effect of a heartbeat, and whether it is to be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// It is the newest. To be acknowledged.
    Accepted {
        /// Whether balancers see a difference.
        changed: bool,
    },
    /// A later heartbeat of the same instance is known, or the instance is deregistered. To be acknowledged as well.
    Stale,
    /// The instance is draining and this is not committed yet: to be acknowledged after
    /// [`InstanceRegistry::mark_draining`].
    DrainingAnnounced,
    /// The registry is full and the instance is unknown. Not to be acknowledged.
    AtCapacity,
}

/// The instances that are known from heartbeats sent to this controller and from the records of others.
#[derive(Debug)]
pub struct InstanceRegistry {
    timing: RegistryTiming,
    known: KnownInstances,
    departures: Departures,
    recent_ends: RecentEnds,
    /// Instances whose heartbeats arrived here since the last `take_changes`.
    unsent: BTreeSet<String>,
    isolated: bool,
    expired_at: Option<u64>,
    version: u64,
    withdrawal_count: u64,
}

impl InstanceRegistry {
    /// An empty registry.
    pub fn new(timing: RegistryTiming) -> Self {
        InstanceRegistry {
            timing,
            known: KnownInstances::default(),
            departures: Departures::new(DEPARTURE_CAPACITY),
            recent_ends: RecentEnds::default(),
            unsent: BTreeSet::new(),
            isolated: false,
            expired_at: None,
            version: 1,
            withdrawal_count: 0,
        }
    }

    /// Applies a heartbeat that an instance sent to this controller.
    pub fn record_heartbeat(&mut self, now: u64, id: &str, heartbeat: &Heartbeat) -> HeartbeatEffect {
        if self.departures.is_deregistered(id) {
            return HeartbeatEffect::Stale;
        }
        if !self.known.contains(id) && self.known.len() >= INSTANCE_CAPACITY {
            return HeartbeatEffect::AtCapacity;
        }
        let is_draining = heartbeat.state == InstanceState::Draining;
        let announced = is_draining && self.departures.raise(id, DepartureStage::Announced);
        let stale = self.known.get(id).is_some_and(|known| known.sequence >= heartbeat.sequence);
        let changed =
            if stale { false } else { self.take(id, KnownInstance::from_heartbeat(now, heartbeat)) };
        if announced || !stale {
            self.unsent.insert(id.to_owned());
        }
        self.bump_if(changed || announced);
        self.withdrawal_count += u64::from(announced);
        match self.departures.stage(id) {
            Some(DepartureStage::Announced) if is_draining => HeartbeatEffect::DrainingAnnounced,
            _ if stale => HeartbeatEffect::Stale,
            _ => HeartbeatEffect::Accepted { changed: changed || announced },
        }
    }

    /// Applies the committed command that the instance takes no new requests, now or ever again.
    pub fn mark_draining(&mut self, id: &str) {
        let begins = self.departures.stage(id).is_none();
        self.departures.raise(id, DepartureStage::Draining);
        self.bump_if(begins && self.known.contains(id));
        self.withdrawal_count += u64::from(begins);
    }

    /// Removes an instance whose deregistration is committed. Later heartbeats and records of it are ignored.
    pub fn mark_deregistered(&mut self, id: &str) {
        let ends = self.departures.raise(id, DepartureStage::Deregistered);
        self.unsent.remove(id);
        if ends {
            self.recent_ends.add(id);
        }
        let removed = self.known.remove(id);
        self.bump_if(ends || removed);
        self.withdrawal_count += u64::from(ends || removed);
    }

    /// Merges the record of another controller; returns whether balancers see a difference.
    pub fn merge(&mut self, now: u64, record: InstanceRecord) -> bool {
        if self.departures.is_deregistered(&record.id) {
            return false;
        }
        let announced = record.draining && self.departures.raise(&record.id, DepartureStage::Announced);
        let changed = self.merge_known(now, record);
        self.bump_if(changed || announced);
        self.withdrawal_count += u64::from(announced);
        changed || announced
    }

    /// Restores a record of the saved state as if the instance had just sent a heartbeat. Any heartbeat or record of
    /// another controller replaces it. Returns whether balancers see a difference.
    pub fn restore(&mut self, now: u64, record: InstanceRecord) -> bool {
        let is_known = self.known.contains(&record.id) || self.departures.is_deregistered(&record.id);
        let is_taken = self.known.at_address(record.address).is_some();
        if is_known || is_taken || self.known.len() >= INSTANCE_CAPACITY {
            return false;
        }
        if record.draining {
            self.departures.raise(&record.id, DepartureStage::Announced);
        }
        let warm_at = slow_start_end(now, record.slow_start_ms);
        let id = record.id.clone();
        self.known
            .put(&id, KnownInstance { restored: true, ..KnownInstance::from_record(record, now, warm_at) });
        self.version += 1;
        true
    }

    /// Removes what is known from the saved state alone: by now every live instance has been observed.
    pub fn drop_restored(&mut self) {
        let dropped = self.known.retain(|known| !known.restored);
        self.bump_if(dropped);
    }

    /// Records of the instances whose heartbeats arrived here since the last call, for the other controllers.
    pub fn take_changes(&mut self, now: u64) -> Vec<InstanceRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent
            .iter()
            .filter_map(|id| self.known.get_key_value(id))
            .map(|(id, k)| self.record(now, id, k))
            .collect()
    }

    /// Whether `take_changes` would return any record.
    pub fn has_changes(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// The service of an instance, and the number of its instances that are known.
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

    /// Records of all known instances, draining ones included.
    pub fn snapshot(&self, now: u64) -> Vec<InstanceRecord> {
        self.known.iter().map(|(id, known)| self.record(now, id, known)).collect()
    }

    /// Ids of instances that were deregistered a short while ago, whether they were known here or not.
    pub fn recently_deregistered(&self) -> impl Iterator<Item = &str> {
        self.recent_ends.ids()
    }

    /// The records of `snapshot` that a heartbeat or another controller has confirmed since this process started.
    pub fn observed_records(&self, now: u64) -> Vec<InstanceRecord> {
        let observed = self.known.iter().filter(|(_, known)| !known.restored);
        observed.map(|(id, known)| self.record(now, id, known)).collect()
    }

    /// The records of `snapshot` that are known from the saved state alone.
    pub fn restored_records(&self, now: u64) -> Vec<InstanceRecord> {
        let restored = self.known.iter().filter(|(_, known)| known.restored);
        restored.map(|(id, known)| self.record(now, id, known)).collect()
    }

    /// While this controller is partitioned from the others no instance is removed for its silence, and the time-out of
    /// each begins anew afterwards. The age in its record stays true: the others may have no newer heartbeat either.
    pub fn set_isolated(&mut self, now: u64, isolated: bool) {
        if self.isolated && !isolated {
            self.known.update_all(|known| known.silence_ignored_until = now);
        }
        self.isolated = isolated;
    }

    /// Counts the silence of all instances from when they were last seen: whatever was seen elsewhere meanwhile is known.
    pub fn stop_ignoring_silence(&mut self) {
        self.known.update_all(|known| known.silence_ignored_until = 0);
    }

    /// Removes instances whose silence time-out has passed; returns whether there were any. To be called at least once a
    /// heartbeat interval: a longer gap between two calls is a pause of this process and is not counted as silence.
    pub fn expire(&mut self, now: u64) -> bool {
        self.discount_own_pause(now);
        self.recent_ends.expire(now);
        if self.isolated {
            return false;
        }
        let oldest = now.saturating_sub(self.timing.silence_timeout_ms());
        let expired = self.known.retain(|known| known.silent_since() >= oldest);
        self.bump_if(expired);
        expired
    }

    /// Rises with each change that balancers see.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Rises with each instance that begins to drain or ends: balancers are notified of these at once.
    pub fn withdrawal_count(&self) -> u64 {
        self.withdrawal_count
    }

    fn discount_own_pause(&mut self, now: u64) {
        let pause = now - self.expired_at.replace(now).unwrap_or(now).min(now);
        if pause > self.timing.heartbeat_ms {
            self.known
                .update_all(|known| known.silence_ignored_until = now.min(known.silent_since() + pause));
        }
    }

    /// Replaces the entry of an instance; returns whether balancers see a difference. An address belongs to the instance
    /// seen there last. One that was displaced wrongly (by a late heartbeat of an ended instance) comes back with its next
    /// heartbeat.
    fn take(&mut self, id: &str, known: KnownInstance) -> bool {
        let Some(present) = self.known.get(id) else {
            self.known.put(id, known);
            return true;
        };
        let changed = present.differs_visibly(&known);
        let last_seen_at =
            if present.restored { known.last_seen_at } else { present.last_seen_at.max(known.last_seen_at) };
        let silence_ignored_until = present.silence_ignored_until;
        self.known.put(id, KnownInstance { last_seen_at, silence_ignored_until, ..known });
        changed
    }

    fn merge_known(&mut self, now: u64, record: InstanceRecord) -> bool {
        let last_seen_at = now.saturating_sub(record.age_ms);
        if last_seen_at + self.timing.silence_timeout_ms() < now
            || self.is_address_taken(&record, last_seen_at)
        {
            return false;
        }
        let warm_at = slow_start_end(now, record.slow_start_ms);
        match self.known.get(&record.id) {
            Some(present) if present.sequence > record.sequence => false,
            Some(present) if present.sequence == record.sequence => {
                let extends_slow_start = warm_at > present.warm_at + SLOW_START_TOLERANCE_MS;
                self.known.update(&record.id, |present| {
                    present.seen_again(last_seen_at, extends_slow_start.then_some(warm_at))
                });
                extends_slow_start
            }
            None if self.known.len() >= INSTANCE_CAPACITY => false,
            _ => {
                let id = record.id.clone();
                self.take(&id, KnownInstance::from_record(record, last_seen_at, warm_at))
            }
        }
    }

    fn is_address_taken(&self, record: &InstanceRecord, last_seen_at: u64) -> bool {
        let holder = self.known.at_address(record.address);
        holder.is_some_and(|(id, known)| {
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
            slow_start_ms: known.warm_at.saturating_sub(now),
            age_ms: now.saturating_sub(known.last_seen_at),
        }
    }

    fn bump_if(&mut self, changed: bool) {
        self.version += u64::from(changed);
    }
}
