//! The upstream instances that are known by their heartbeats.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use whinspindle_configuration::{Heartbeat, InstanceState};

use crate::ended::EndedInstances;
use crate::known::{COLD_TOLERANCE_MS, Known, KnownInstances, cold_end};
use crate::retired::{RetiredIds, Retirement};

/// An instance is taken for lost after this many heartbeat intervals without one, in halves.
const SILENT_HALF_INTERVALS: u64 = 7;
/// How many instances that leave or have ended are remembered.
const RETIRED_CAPACITY: usize = 4096;
/// How many instances are held at once.
const INSTANCE_CAPACITY: usize = 8192;

/// The intervals that a registry counts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistryTiming {
    /// Time between two heartbeats of an instance.
    pub heartbeat_ms: u64,
}

impl RegistryTiming {
    /// How long an instance may be silent before it is taken for lost.
    pub fn silence_ms(&self) -> u64 {
        self.heartbeat_ms * SILENT_HALF_INTERVALS / 2
    }
}

/// What a heartbeat came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// It is the newest; `changed` tells whether balancers see a difference. To be acknowledged.
    Accepted { changed: bool },
    /// A later heartbeat of the same instance is known, or the instance has ended. To be acknowledged all the same.
    Stale,
    /// The instance leaves and this is not committed yet: to be acknowledged once `InstanceRegistry::drained` was called.
    StartsDraining,
    /// More instances than the registry holds. Not to be acknowledged.
    Overfull,
}

/// One instance, as controllers tell it to each other and to balancers. Times are relative to the moment of export.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Of the instance's software.
    pub generation: String,
    pub slots: u32,
    /// Of the newest heartbeat.
    pub sequence: u64,
    /// Takes no new requests, now or ever again.
    pub draining: bool,
    /// For how much longer it is cold.
    pub slow_start_ms: u64,
    /// Time since a controller last heard of it.
    pub age_ms: u64,
}

/// Knows the instances from heartbeats sent here and from the records of other controllers.
#[derive(Debug)]
pub struct InstanceRegistry {
    timing: RegistryTiming,
    known: KnownInstances,
    retired: RetiredIds,
    ended: EndedInstances,
    /// Instances heard of here since the last `take_changes`.
    unsent: BTreeSet<String>,
    isolated: bool,
    expired_at: Option<u64>,
    version: u64,
    withdrawals: u64,
}

impl InstanceRegistry {
    pub fn new(timing: RegistryTiming) -> Self {
        InstanceRegistry {
            timing,
            known: KnownInstances::default(),
            retired: RetiredIds::new(RETIRED_CAPACITY),
            ended: EndedInstances::default(),
            unsent: BTreeSet::new(),
            isolated: false,
            expired_at: None,
            version: 1,
            withdrawals: 0,
        }
    }

    /// Takes a heartbeat that an instance sent to this controller.
    pub fn heartbeat(&mut self, now: u64, id: &str, heartbeat: &Heartbeat) -> HeartbeatEffect {
        if self.retired.is_gone(id) {
            return HeartbeatEffect::Stale;
        }
        if !self.known.contains(id) && self.known.len() >= INSTANCE_CAPACITY {
            return HeartbeatEffect::Overfull;
        }
        let leaves = heartbeat.state == InstanceState::Draining;
        let announced = leaves && self.retired.raise(id, Retirement::Announced);
        let stale = self.known.get(id).is_some_and(|known| known.sequence >= heartbeat.sequence);
        let changed = if stale { false } else { self.take(id, Known::heard(now, heartbeat)) };
        if announced || !stale {
            self.unsent.insert(id.to_owned());
        }
        self.bump_if(changed || announced);
        self.withdrawals += u64::from(announced);
        match self.retired.stage(id) {
            Some(Retirement::Announced) if leaves => HeartbeatEffect::StartsDraining,
            _ if stale => HeartbeatEffect::Stale,
            _ => HeartbeatEffect::Accepted { changed: changed || announced },
        }
    }

    /// It is committed that the instance takes no new requests, now or ever again.
    pub fn drained(&mut self, id: &str) {
        let begins = self.retired.stage(id).is_none();
        self.retired.raise(id, Retirement::Draining);
        self.bump_if(begins && self.known.contains(id));
        self.withdrawals += u64::from(begins);
    }

    /// The instance has ended. Later heartbeats and records of it count for nothing.
    pub fn gone(&mut self, id: &str) {
        let ends = self.retired.raise(id, Retirement::Gone);
        self.unsent.remove(id);
        if ends {
            self.ended.add(id);
        }
        let removed = self.known.remove(id);
        self.bump_if(ends || removed);
        self.withdrawals += u64::from(ends || removed);
    }

    /// Takes what another controller knows of an instance; answers whether balancers see a difference.
    pub fn merge(&mut self, now: u64, record: InstanceRecord) -> bool {
        if self.retired.is_gone(&record.id) {
            return false;
        }
        let announced = record.draining && self.retired.raise(&record.id, Retirement::Announced);
        let changed = self.merge_known(now, record);
        self.bump_if(changed || announced);
        self.withdrawals += u64::from(announced);
        changed || announced
    }

    /// Takes what was known before this controller started, as if the instance had just been heard of. Anything that is
    /// heard takes its place. Answers whether balancers see a difference.
    pub fn recall(&mut self, now: u64, record: InstanceRecord) -> bool {
        let is_known = self.known.contains(&record.id) || self.retired.is_gone(&record.id);
        let is_taken = self.known.holder_of(record.address).is_some();
        if is_known || is_taken || self.known.len() >= INSTANCE_CAPACITY {
            return false;
        }
        if record.draining {
            self.retired.raise(&record.id, Retirement::Announced);
        }
        let cold_until = cold_end(now, record.slow_start_ms);
        let id = record.id.clone();
        self.known.put(&id, Known { recalled: true, ..Known::recorded(record, now, cold_until) });
        self.version += 1;
        true
    }

    /// All that lives has been heard of: what is known from before the start alone has ended.
    pub fn drop_recalled(&mut self) {
        let dropped = self.known.retain(|known| !known.recalled);
        self.bump_if(dropped);
    }

    /// Records of what was heard here since the last call, for the other controllers.
    pub fn take_changes(&mut self, now: u64) -> Vec<InstanceRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent
            .iter()
            .filter_map(|id| self.known.get_key_value(id))
            .map(|(id, k)| self.record(now, id, k))
            .collect()
    }

    /// Whether something waits for `take_changes`.
    pub fn has_changes(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// The service of an instance, and how many instances of it are known.
    pub fn service_of(&self, id: &str) -> Option<(&str, usize)> {
        let service = self.known.get(id)?.service.as_str();
        let instances = self.known.iter().filter(|(_, known)| known.service == service).count();
        Some((service, instances))
    }

    /// How many instances are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All instances that are known and have not ended, those that leave included.
    pub fn snapshot(&self, now: u64) -> Vec<InstanceRecord> {
        self.known.iter().map(|(id, known)| self.record(now, id, known)).collect()
    }

    /// Instances that ended a short while ago, whether they were known here or not.
    pub fn ended(&self) -> impl Iterator<Item = &str> {
        self.ended.ids()
    }

    /// Those of `snapshot` that were heard of since this controller started.
    pub fn heard(&self, now: u64) -> Vec<InstanceRecord> {
        let heard = self.known.iter().filter(|(_, known)| !known.recalled);
        heard.map(|(id, known)| self.record(now, id, known)).collect()
    }

    /// Those of `snapshot` that are known from before the start alone.
    pub fn recalled(&self, now: u64) -> Vec<InstanceRecord> {
        let recalled = self.known.iter().filter(|(_, known)| known.recalled);
        recalled.map(|(id, known)| self.record(now, id, known)).collect()
    }

    /// While this controller is cut off from the others no instance is taken for lost, and each gets the whole time
    /// anew afterwards. What others are told of its age stays as it is: they may have heard no more of it than this one.
    pub fn set_isolated(&mut self, now: u64, isolated: bool) {
        if self.isolated && !isolated {
            self.known.update_all(|known| known.excused_until = now);
        }
        self.isolated = isolated;
    }

    /// Removes instances that have been silent for too long; answers whether there were any. To be called at least
    /// once a heartbeat interval: after a longer pause the silence is this process's own.
    pub fn expire(&mut self, now: u64) -> bool {
        self.excuse_own_pause(now);
        self.ended.expire(now);
        if self.isolated {
            return false;
        }
        let oldest = now.saturating_sub(self.timing.silence_ms());
        let expired = self.known.retain(|known| known.silent_since() >= oldest);
        self.bump_if(expired);
        expired
    }

    /// Rises with each difference that balancers see.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Rises with each instance that takes no new requests any more: balancers are to hear of it at once.
    pub fn withdrawals(&self) -> u64 {
        self.withdrawals
    }

    fn excuse_own_pause(&mut self, now: u64) {
        let pause = now - self.expired_at.replace(now).unwrap_or(now).min(now);
        if pause > self.timing.heartbeat_ms {
            self.known.update_all(|known| known.excused_until = now.min(known.silent_since() + pause));
        }
    }

    /// Replaces what is known of an instance; answers whether balancers see a difference. An address belongs to the
    /// instance that was heard of last there. One that was pushed out by a mistake (by a late heartbeat of one that has
    /// ended) comes back with its next heartbeat.
    fn take(&mut self, id: &str, known: Known) -> bool {
        let Some(held) = self.known.get(id) else {
            self.known.put(id, known);
            return true;
        };
        let changed = held.looks_other(&known);
        let heard_at = if held.recalled { known.heard_at } else { held.heard_at.max(known.heard_at) };
        let excused_until = held.excused_until;
        self.known.put(id, Known { heard_at, excused_until, ..known });
        changed
    }

    fn merge_known(&mut self, now: u64, record: InstanceRecord) -> bool {
        let heard_at = now.saturating_sub(record.age_ms);
        if heard_at + self.timing.silence_ms() < now || self.is_address_taken(&record, heard_at) {
            return false;
        }
        let cold_until = cold_end(now, record.slow_start_ms);
        match self.known.get(&record.id) {
            Some(held) if held.sequence > record.sequence => false,
            Some(held) if held.sequence == record.sequence => {
                let colder = cold_until > held.cold_until + COLD_TOLERANCE_MS;
                self.known
                    .update(&record.id, |held| held.heard_again(heard_at, colder.then_some(cold_until)));
                colder
            }
            None if self.known.len() >= INSTANCE_CAPACITY => false,
            _ => {
                let id = record.id.clone();
                self.take(&id, Known::recorded(record, heard_at, cold_until))
            }
        }
    }

    fn is_address_taken(&self, record: &InstanceRecord, heard_at: u64) -> bool {
        let holder = self.known.holder_of(record.address);
        holder.is_some_and(|(id, known)| *id != record.id && !known.recalled && known.heard_at >= heard_at)
    }

    fn record(&self, now: u64, id: &str, known: &Known) -> InstanceRecord {
        InstanceRecord {
            id: id.to_owned(),
            service: known.service.clone(),
            address: known.address,
            zone: known.zone.clone(),
            generation: known.generation.clone(),
            slots: known.slots,
            sequence: known.sequence,
            draining: self.retired.stage(id).is_some(),
            slow_start_ms: known.cold_until.saturating_sub(now),
            age_ms: now.saturating_sub(known.heard_at),
        }
    }

    fn bump_if(&mut self, changed: bool) {
        self.version += u64::from(changed);
    }
}
