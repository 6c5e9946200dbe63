//! The sender of updates: what is newest, and what each subscriber was sent and has acknowledged.

use std::collections::BTreeMap;

use crate::allowance::ListAllowance;
use crate::{Configured, Evacuations, Fleet, InstanceChanges, Instances, Report, Update, Versions};

/// A section that has not been acknowledged for this long is sent again.
const RESEND_MS: u64 = 1_000;
/// Changes of the instances are sent in place of the list if there are fewer of them than this part of it.
const LEAST_SAVING: usize = 2;
/// Each repeat doubles the wait, up to this.
const LONGEST_RESEND_MS: u64 = 8_000;

/// A connection of a balancer, numbered by the owner of the connections; a number is not used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SubscriberId(pub u64);

/// The parts of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    Configured,
    Evacuations,
    Instances,
    Fleet,
}

/// A section that a subscriber was sent and has not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    pub subscriber: SubscriberId,
    pub section: Section,
    /// The version that was sent.
    pub version: u64,
    /// Since the oldest version that has not been acknowledged was sent.
    pub waiting_ms: u64,
}

/// Holds the newest sections and decides what goes to which subscriber.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    configured: Option<Configured>,
    evacuations: Option<Evacuations>,
    instances: Option<Instances>,
    instances_at: u64,
    /// What may be sent of whole lists.
    allowance: ListAllowance,
    /// What leads from the list before to the one held, where that is less than the list.
    changes: Option<InstanceChanges>,
    fleet: Option<Fleet>,
    subscribers: BTreeMap<SubscriberId, Subscriber>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Subscriber {
    applied: Versions,
    configured: Progress,
    evacuations: Progress,
    instances: Progress,
    fleet: Progress,
}

/// How far one subscriber is with one section on its present connection.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    sent: Option<Sent>,
    /// The newest version of this connection that was acknowledged.
    acknowledged: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    first_version: u64,
    version: u64,
    /// When the oldest version that still waits for its acknowledgement was sent.
    waiting_since: u64,
    resend_at: u64,
    resend_after_ms: u64,
}

impl Publisher {
    pub fn new() -> Self {
        Publisher::default()
    }

    /// Takes a committed configuration; false if it is not newer than the one held.
    pub fn configure(&mut self, section: Configured) -> bool {
        let newer = self.configured.as_ref().is_none_or(|held| section.sequence > held.sequence);
        if newer {
            self.configured = Some(section);
        }
        newer
    }

    /// Takes the committed evacuations; false if they are not newer than those held.
    pub fn evacuate(&mut self, section: Evacuations) -> bool {
        let newer = self.evacuations.as_ref().is_none_or(|held| section.sequence > held.sequence);
        if newer {
            self.evacuations = Some(section);
        }
        newer
    }

    /// Takes the instances that are known now.
    pub fn set_instances(&mut self, now: u64, section: Instances) {
        let elapsed_ms = now.saturating_sub(self.instances_at);
        let changes =
            self.instances.as_ref().map(|held| InstanceChanges::between(&held.aged(elapsed_ms), &section));
        self.changes = changes.filter(|changes| changes.len() * LEAST_SAVING < section.list.len());
        self.instances = Some(section);
        self.instances_at = now;
    }

    /// Takes the state of the fleet.
    pub fn set_fleet(&mut self, section: Fleet) {
        self.fleet = Some(section);
    }

    /// Versions of the sections held.
    pub fn versions(&self) -> Versions {
        Versions {
            configured: self.configured.as_ref().map_or(0, |section| section.sequence),
            evacuations: self.evacuations.as_ref().map_or(0, |section| section.sequence),
            instances: self.instances.as_ref().map_or(0, |section| section.version),
            fleet: self.fleet.as_ref().map_or(0, |section| section.version),
        }
    }

    /// Adds a connection, with the versions of its first report. Sections of the replicated history that the balancer
    /// has already are not sent.
    pub fn subscribe(&mut self, subscriber: SubscriberId, applied: Versions) {
        self.subscribers.insert(subscriber, Subscriber { applied, ..Subscriber::default() });
    }

    pub fn unsubscribe(&mut self, subscriber: SubscriberId) {
        self.subscribers.remove(&subscriber);
    }

    pub fn subscribers(&self) -> impl Iterator<Item = SubscriberId> + '_ {
        self.subscribers.keys().copied()
    }

    /// Whether a subscriber has a configuration, sent on this connection or reported as applied.
    pub fn has_configuration(&self, subscriber: SubscriberId) -> bool {
        let state = self.subscribers.get(&subscriber);
        state.is_some_and(|state| state.applied.configured > 0 || state.configured.sent.is_some())
    }

    /// What is to be sent to a subscriber now: sections newer than those sent on this connection, and those whose
    /// acknowledgement is overdue. None where there is nothing to send. Of the instances the changes are sent to a
    /// connection on which the list before was sent last and no acknowledgement is overdue, else the list.
    pub fn update_for(&mut self, now: u64, subscriber: SubscriberId) -> Option<Update> {
        let state = self.subscribers.get_mut(&subscriber)?;
        let configured = self.configured.as_ref().filter(|section| {
            section.sequence > state.applied.configured && state.configured.due(now, section.sequence)
        });
        let evacuations = self.evacuations.as_ref().filter(|section| {
            section.sequence > state.applied.evacuations && state.evacuations.due(now, section.sequence)
        });
        let base = state.instances.relied_on(now);
        let changes = self.changes.as_ref().filter(|changes| Some(changes.base) == base);
        let allowance = &mut self.allowance;
        let instances = self.instances.as_ref().filter(|_| changes.is_some() || allowance.has_any(now));
        let instances = instances.filter(|section| state.instances.due(now, section.version));
        let changes = changes.filter(|_| instances.is_some());
        let instances = instances.filter(|_| changes.is_none());
        allowance.spend(instances.map_or(0, |section| section.list.len()));
        let elapsed_ms = now.saturating_sub(self.instances_at);
        let fleet = self.fleet.as_ref().filter(|section| state.fleet.due(now, section.version));
        let update = Update {
            configured: configured.cloned(),
            evacuations: evacuations.cloned(),
            instances: instances.map(|section| section.aged(elapsed_ms)),
            fleet: fleet.cloned(),
            changes: changes.map(|changes| changes.aged(elapsed_ms)),
        };
        (update != Update::default()).then_some(update)
    }

    /// Takes the versions that a subscriber's report says are in force there.
    pub fn acknowledge(&mut self, now: u64, subscriber: SubscriberId, applied: Versions) {
        let Some(state) = self.subscribers.get_mut(&subscriber) else { return };
        state.applied = applied;
        state.configured.acknowledge(now, applied.configured);
        state.evacuations.acknowledge(now, applied.evacuations);
        state.instances.acknowledge(now, applied.instances);
        state.fleet.acknowledge(now, applied.fleet);
    }

    /// As `acknowledge`, subscribing a connection that is new.
    pub fn reported(&mut self, now: u64, subscriber: SubscriberId, report: &Report) {
        if !self.subscribers.contains_key(&subscriber) {
            self.subscribe(subscriber, report.applied);
        }
        self.acknowledge(now, subscriber, report.applied);
    }

    /// What was sent and has not been acknowledged, for logs and status pages.
    pub fn lagging(&self, now: u64) -> Vec<Lag> {
        self.subscribers.iter().flat_map(|(&subscriber, state)| state.lags(now, subscriber)).collect()
    }

    /// Whether every subscriber has applied this position of the configuration.
    pub fn is_configured_everywhere(&self, sequence: u64) -> bool {
        self.subscribers.values().all(|state| state.applied.configured >= sequence)
    }

    /// Whether every subscriber has applied this position of the evacuations.
    pub fn is_evacuated_everywhere(&self, sequence: u64) -> bool {
        self.subscribers.values().all(|state| state.applied.evacuations >= sequence)
    }
}

impl Subscriber {
    fn lags(&self, now: u64, subscriber: SubscriberId) -> impl Iterator<Item = Lag> {
        let sections = [
            (Section::Configured, self.configured),
            (Section::Evacuations, self.evacuations),
            (Section::Instances, self.instances),
            (Section::Fleet, self.fleet),
        ];
        sections.into_iter().filter_map(move |(section, progress)| {
            let sent = progress.waiting()?;
            let waiting_ms = now.saturating_sub(sent.waiting_since);
            Some(Lag { subscriber, section, version: sent.version, waiting_ms })
        })
    }
}

impl Progress {
    /// What was sent last, if it has not been acknowledged.
    fn waiting(&self) -> Option<Sent> {
        self.sent.filter(|sent| self.acknowledged != Some(sent.version))
    }

    /// The version that the subscriber holds or is about to: the newest sent, unless it should have been acknowledged.
    /// A connection keeps the order, so what was sent comes before what builds on it.
    fn relied_on(&self, now: u64) -> Option<u64> {
        let is_overdue = self.waiting().is_some_and(|sent| now >= sent.waiting_since + RESEND_MS);
        self.sent.filter(|_| !is_overdue).map(|sent| sent.version)
    }

    /// Whether a version is to be sent now; if so, it is noted as sent.
    fn due(&mut self, now: u64, version: u64) -> bool {
        let Some(sent) = self.sent else {
            self.sent = Some(Sent::first(now, version));
            return true;
        };
        let waits = self.waiting().is_some();
        if sent.version != version {
            let waiting_since = if waits { sent.waiting_since } else { now };
            let first_version = sent.first_version;
            self.sent = Some(Sent { first_version, waiting_since, ..Sent::first(now, version) });
            return true;
        }
        if !waits || now < sent.resend_at {
            return false;
        }
        let resend_after_ms = (2 * sent.resend_after_ms).min(LONGEST_RESEND_MS);
        self.sent = Some(Sent { resend_at: now + resend_after_ms, resend_after_ms, ..sent });
        true
    }

    /// A version that this connection never carried is another controller's and says nothing.
    fn acknowledge(&mut self, now: u64, applied: u64) {
        let Some(sent) = &mut self.sent else { return };
        if !(sent.first_version..=sent.version).contains(&applied) || self.acknowledged == Some(applied) {
            return;
        }
        self.acknowledged = Some(applied);
        sent.waiting_since = now;
    }
}

impl Sent {
    fn first(now: u64, version: u64) -> Sent {
        Sent {
            first_version: version,
            version,
            waiting_since: now,
            resend_at: now + RESEND_MS,
            resend_after_ms: RESEND_MS,
        }
    }
}
