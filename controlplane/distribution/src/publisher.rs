//! The sender of updates. It stores the newest sections, and the versions that each subscriber was sent and
//! has acknowledged.
//!
//! The owner sets sections when they change. [`Publisher::update_for`] then returns the sections that a
//! subscriber needs, and the subscriber's reports acknowledge the sections that it has applied. A section
//! whose acknowledgement is overdue is sent again.

mod delivery;

use std::collections::BTreeMap;

use self::delivery::Delivery;
use crate::list_budget::ListBudget;
use crate::{Configured, Evacuations, Fleet, InstanceChanges, Instances, Report, Update, Versions};

/// Changes are sent in place of the complete list of instances if the list is longer by more than this
/// factor.
const MIN_LIST_TO_CHANGES_RATIO: usize = 2;

/// The ID of a balancer's connection. The owner of the connections assigns it and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SubscriberId(pub u64);

/// A section of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// The configuration.
    Configured,
    /// The evacuated zones.
    Evacuations,
    /// The upstream instances.
    Instances,
    /// The state of the fleet of balancers.
    Fleet,
}

/// A section that was sent to a subscriber but is not acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// The subscriber.
    pub subscriber: SubscriberId,
    /// The section.
    pub section: Section,
    /// The version that was sent.
    pub version: u64,
    /// The time since the oldest unacknowledged version was sent, in milliseconds.
    pub waiting_ms: u64,
}

/// The newest sections and the state of their delivery to each subscriber.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    configured: Option<Configured>,
    evacuations: Option<Evacuations>,
    instances: Option<Instances>,
    /// The time at which `instances` was set, in milliseconds.
    instances_set_at_ms: u64,
    /// Limits the rate of complete lists of instances.
    list_budget: ListBudget,
    /// The changes from the previous list to the current one, if they are much shorter than the list.
    changes: Option<InstanceChanges>,
    fleet: Option<Fleet>,
    subscribers: BTreeMap<SubscriberId, Subscriber>,
}

/// The sections that a subscriber has applied, and the state of their delivery on its connection.
#[derive(Clone, Copy, Debug, Default)]
struct Subscriber {
    applied: Versions,
    configured: Delivery,
    evacuations: Delivery,
    instances: Delivery,
    fleet: Delivery,
}

impl Publisher {
    /// Creates a publisher without sections and subscribers.
    pub fn new() -> Self {
        Publisher::default()
    }

    /// Sets the committed configuration. Returns false without a change if it is not newer than the current
    /// one.
    pub fn set_configured(&mut self, section: Configured) -> bool {
        let is_newer = self.configured.as_ref().is_none_or(|current| section.sequence > current.sequence);
        if is_newer {
            self.configured = Some(section);
        }
        is_newer
    }

    /// Sets the committed evacuations. Returns false without a change if they are not newer than the current
    /// ones.
    pub fn set_evacuations(&mut self, section: Evacuations) -> bool {
        let is_newer = self.evacuations.as_ref().is_none_or(|current| section.sequence > current.sequence);
        if is_newer {
            self.evacuations = Some(section);
        }
        is_newer
    }

    /// Sets the known instances as of `now`.
    pub fn set_instances(&mut self, now: u64, section: Instances) {
        let elapsed_ms = now.saturating_sub(self.instances_set_at_ms);
        let changes = self
            .instances
            .as_ref()
            .map(|current| InstanceChanges::between(&current.aged(elapsed_ms), &section));
        self.changes =
            changes.filter(|changes| changes.len() * MIN_LIST_TO_CHANGES_RATIO < section.list.len());
        self.instances = Some(section);
        self.instances_set_at_ms = now;
    }

    /// Sets the state of the fleet.
    pub fn set_fleet(&mut self, section: Fleet) {
        self.fleet = Some(section);
    }

    /// Returns the versions of the newest sections.
    pub fn versions(&self) -> Versions {
        Versions {
            configured: self.configured.as_ref().map_or(0, |section| section.sequence),
            evacuations: self.evacuations.as_ref().map_or(0, |section| section.sequence),
            instances: self.instances.as_ref().map_or(0, |section| section.version),
            fleet: self.fleet.as_ref().map_or(0, |section| section.version),
        }
    }

    /// Adds a subscriber with the versions from its first report. A configuration and evacuations that it has
    /// already applied are not sent.
    pub fn subscribe(&mut self, subscriber: SubscriberId, applied: Versions) {
        self.subscribers.insert(subscriber, Subscriber { applied, ..Subscriber::default() });
    }

    /// Removes a subscriber.
    pub fn unsubscribe(&mut self, subscriber: SubscriberId) {
        self.subscribers.remove(&subscriber);
    }

    /// Returns all subscribers in the order of their IDs.
    pub fn subscribers(&self) -> impl Iterator<Item = SubscriberId> + '_ {
        self.subscribers.keys().copied()
    }

    /// Whether a configuration was sent on the connection of a subscriber, or reported by the subscriber as
    /// applied.
    pub fn has_configuration(&self, subscriber: SubscriberId) -> bool {
        let state = self.subscribers.get(&subscriber);
        state.is_some_and(|state| state.applied.configured > 0 || state.configured.has_been_sent())
    }

    /// Returns the update to send to a subscriber now, or `None` if there is nothing to send. The update
    /// contains sections that are newer than those sent on this connection, and sections whose
    /// acknowledgement is overdue. Instances are sent as changes if the previous list was the last one sent
    /// on the connection and no acknowledgement is overdue, and otherwise as a complete list.
    pub fn update_for(&mut self, now: u64, subscriber: SubscriberId) -> Option<Update> {
        let state = self.subscribers.get_mut(&subscriber)?;
        let configured = self.configured.as_ref().filter(|section| {
            section.sequence > state.applied.configured
                && state.configured.mark_sent_if_due(now, section.sequence)
        });
        let evacuations = self.evacuations.as_ref().filter(|section| {
            section.sequence > state.applied.evacuations
                && state.evacuations.mark_sent_if_due(now, section.sequence)
        });
        let base = state.instances.assumed_version(now);
        let changes = self.changes.as_ref().filter(|changes| Some(changes.base) == base);
        let list_budget = &mut self.list_budget;
        let instances =
            self.instances.as_ref().filter(|_| changes.is_some() || list_budget.is_available(now));
        let instances = instances.filter(|section| state.instances.mark_sent_if_due(now, section.version));
        let changes = changes.filter(|_| instances.is_some());
        let instances = instances.filter(|_| changes.is_none());
        list_budget.spend(instances.map_or(0, |section| section.list.len()));
        let elapsed_ms = now.saturating_sub(self.instances_set_at_ms);
        let fleet = self.fleet.as_ref().filter(|section| state.fleet.mark_sent_if_due(now, section.version));
        let update = Update {
            configured: configured.cloned(),
            evacuations: evacuations.cloned(),
            instances: instances.map(|section| section.aged(elapsed_ms)),
            fleet: fleet.cloned(),
            changes: changes.map(|changes| changes.aged(elapsed_ms)),
        };
        (update != Update::default()).then_some(update)
    }

    /// Records the versions that a subscriber has applied.
    pub fn acknowledge(&mut self, now: u64, subscriber: SubscriberId, applied: Versions) {
        let Some(state) = self.subscribers.get_mut(&subscriber) else { return };
        state.applied = applied;
        state.configured.acknowledge(now, applied.configured);
        state.evacuations.acknowledge(now, applied.evacuations);
        state.instances.acknowledge(now, applied.instances);
        state.fleet.acknowledge(now, applied.fleet);
    }

    /// Processes a report: adds the subscriber if it is new, and records the versions that it has applied.
    pub fn handle_report(&mut self, now: u64, subscriber: SubscriberId, report: &Report) {
        if !self.subscribers.contains_key(&subscriber) {
            self.subscribe(subscriber, report.applied);
        }
        self.acknowledge(now, subscriber, report.applied);
    }

    /// Returns the sections that were sent but are not acknowledged, for logs and the status.
    pub fn lags(&self, now: u64) -> Vec<Lag> {
        self.subscribers.iter().flat_map(|(&subscriber, state)| state.lags(now, subscriber)).collect()
    }

    /// Whether every subscriber has applied the configuration with this sequence number or a newer one.
    pub fn is_configured_everywhere(&self, sequence: u64) -> bool {
        self.subscribers.values().all(|state| state.applied.configured >= sequence)
    }

    /// Whether every subscriber has applied the evacuations with this sequence number or newer ones.
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
        sections.into_iter().filter_map(move |(section, delivery)| {
            let sent = delivery.unacknowledged()?;
            let waiting_ms = now.saturating_sub(sent.waiting_since_ms);
            Some(Lag { subscriber, section, version: sent.version, waiting_ms })
        })
    }
}
