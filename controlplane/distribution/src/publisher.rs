//! The sender of updates: the newest sections, and what each subscriber was sent and has acknowledged.
//!
//! Sections are set as they change; [`Publisher::update_for`] then returns what a subscriber lacks, and its reports
//! acknowledge what it has applied. A section whose acknowledgement is overdue is sent again.

mod delivery;

use std::collections::BTreeMap;

use self::delivery::Delivery;
use crate::list_budget::ListBudget;
use crate::{Configured, Evacuations, Fleet, InstanceChanges, Instances, Report, Update, Versions};

/// Changes of the instances are sent in place of the list if the list is longer by more than this factor.
const MIN_CHANGE_SAVING: usize = 2;

/// A connection of a balancer, numbered by the owner of the connections; a number is not used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SubscriberId(pub u64);

/// The parts of an update.
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

/// A section that a subscriber was sent and has not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// The subscriber that lags.
    pub subscriber: SubscriberId,
    /// The section.
    pub section: Section,
    /// The version that was sent.
    pub version: u64,
    /// The time since the oldest unacknowledged version was sent, in milliseconds.
    pub waiting_ms: u64,
}

/// The newest sections and the delivery to each subscriber.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    configured: Option<Configured>,
    evacuations: Option<Evacuations>,
    instances: Option<Instances>,
    instances_at: u64,
    /// Limits the complete lists of instances.
    list_budget: ListBudget,
    /// The changes from the previous list to the present one, where these are much shorter.
    changes: Option<InstanceChanges>,
    fleet: Option<Fleet>,
    subscribers: BTreeMap<SubscriberId, Subscriber>,
}

/// One connection: what its balancer has applied, and the delivery of each section.
#[derive(Clone, Copy, Debug, Default)]
struct Subscriber {
    applied: Versions,
    configured: Delivery,
    evacuations: Delivery,
    instances: Delivery,
    fleet: Delivery,
}

impl Publisher {
    /// A publisher without sections and subscribers.
    pub fn new() -> Self {
        Publisher::default()
    }

    /// Sets the committed configuration; false, and no change, unless it is newer than the present one.
    pub fn set_configured(&mut self, section: Configured) -> bool {
        let newer = self.configured.as_ref().is_none_or(|present| section.sequence > present.sequence);
        if newer {
            self.configured = Some(section);
        }
        newer
    }

    /// Sets the committed evacuations; false, and no change, unless they are newer than the present ones.
    pub fn set_evacuations(&mut self, section: Evacuations) -> bool {
        let newer = self.evacuations.as_ref().is_none_or(|present| section.sequence > present.sequence);
        if newer {
            self.evacuations = Some(section);
        }
        newer
    }

    /// Sets the known instances, as of `now`.
    pub fn set_instances(&mut self, now: u64, section: Instances) {
        let elapsed_ms = now.saturating_sub(self.instances_at);
        let changes = self
            .instances
            .as_ref()
            .map(|present| InstanceChanges::between(&present.aged(elapsed_ms), &section));
        self.changes = changes.filter(|changes| changes.len() * MIN_CHANGE_SAVING < section.list.len());
        self.instances = Some(section);
        self.instances_at = now;
    }

    /// Sets the state of the fleet.
    pub fn set_fleet(&mut self, section: Fleet) {
        self.fleet = Some(section);
    }

    /// The versions of the newest sections.
    pub fn versions(&self) -> Versions {
        Versions {
            configured: self.configured.as_ref().map_or(0, |section| section.sequence),
            evacuations: self.evacuations.as_ref().map_or(0, |section| section.sequence),
            instances: self.instances.as_ref().map_or(0, |section| section.version),
            fleet: self.fleet.as_ref().map_or(0, |section| section.version),
        }
    }

    /// Adds a connection, with the versions of its first report. Configurations and evacuations that the balancer has
    /// applied already are not sent.
    pub fn subscribe(&mut self, subscriber: SubscriberId, applied: Versions) {
        self.subscribers.insert(subscriber, Subscriber { applied, ..Subscriber::default() });
    }

    /// Removes a connection.
    pub fn unsubscribe(&mut self, subscriber: SubscriberId) {
        self.subscribers.remove(&subscriber);
    }

    /// All connections, in the order of their numbers.
    pub fn subscribers(&self) -> impl Iterator<Item = SubscriberId> + '_ {
        self.subscribers.keys().copied()
    }

    /// Whether a subscriber has a configuration, sent on this connection or reported as applied.
    pub fn has_configuration(&self, subscriber: SubscriberId) -> bool {
        let state = self.subscribers.get(&subscriber);
        state.is_some_and(|state| state.applied.configured > 0 || state.configured.has_been_sent())
    }

    /// The update to send to a subscriber now: sections newer than those sent on this connection, and those whose
    /// acknowledgement is overdue; none if there is nothing to send. The instances are sent as changes on a connection on
    /// which the previous list was sent last and no acknowledgement is overdue, otherwise as a complete list.
    pub fn update_for(&mut self, now: u64, subscriber: SubscriberId) -> Option<Update> {
        let state = self.subscribers.get_mut(&subscriber)?;
        let configured = self.configured.as_ref().filter(|section| {
            section.sequence > state.applied.configured
                && state.configured.begin_if_due(now, section.sequence)
        });
        let evacuations = self.evacuations.as_ref().filter(|section| {
            section.sequence > state.applied.evacuations
                && state.evacuations.begin_if_due(now, section.sequence)
        });
        let base = state.instances.assumed_version(now);
        let changes = self.changes.as_ref().filter(|changes| Some(changes.base) == base);
        let list_budget = &mut self.list_budget;
        let instances = self.instances.as_ref().filter(|_| changes.is_some() || list_budget.has_any(now));
        let instances = instances.filter(|section| state.instances.begin_if_due(now, section.version));
        let changes = changes.filter(|_| instances.is_some());
        let instances = instances.filter(|_| changes.is_none());
        list_budget.spend(instances.map_or(0, |section| section.list.len()));
        let elapsed_ms = now.saturating_sub(self.instances_at);
        let fleet = self.fleet.as_ref().filter(|section| state.fleet.begin_if_due(now, section.version));
        let update = Update {
            configured: configured.cloned(),
            evacuations: evacuations.cloned(),
            instances: instances.map(|section| section.aged(elapsed_ms)),
            fleet: fleet.cloned(),
            changes: changes.map(|changes| changes.aged(elapsed_ms)),
        };
        (update != Update::default()).then_some(update)
    }

    /// Takes the versions that a subscriber has applied.
    pub fn acknowledge(&mut self, now: u64, subscriber: SubscriberId, applied: Versions) {
        let Some(state) = self.subscribers.get_mut(&subscriber) else { return };
        state.applied = applied;
        state.configured.acknowledge(now, applied.configured);
        state.evacuations.acknowledge(now, applied.evacuations);
        state.instances.acknowledge(now, applied.instances);
        state.fleet.acknowledge(now, applied.fleet);
    }

    /// Takes a report: subscribes its connection if that is new, and acknowledges what it has applied.
    pub fn handle_report(&mut self, now: u64, subscriber: SubscriberId, report: &Report) {
        if !self.subscribers.contains_key(&subscriber) {
            self.subscribe(subscriber, report.applied);
        }
        self.acknowledge(now, subscriber, report.applied);
    }

    /// The sections that were sent and have not been acknowledged, for logs and the status.
    pub fn lags(&self, now: u64) -> Vec<Lag> {
        self.subscribers.iter().flat_map(|(&subscriber, state)| state.lags(now, subscriber)).collect()
    }

    /// Whether every subscriber has applied the configuration of this sequence.
    pub fn is_configured_everywhere(&self, sequence: u64) -> bool {
        self.subscribers.values().all(|state| state.applied.configured >= sequence)
    }

    /// Whether every subscriber has applied the evacuations of this sequence.
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
            let waiting_ms = now.saturating_sub(sent.waiting_since);
            Some(Lag { subscriber, section, version: sent.version, waiting_ms })
        })
    }
}
