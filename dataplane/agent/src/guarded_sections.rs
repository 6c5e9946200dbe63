//! The sections that the agent has for its proxy, guarded against controllers with incomplete or old state.
//!
//! A controller without a quorum, or one that has just become the link and may have just started, is not trusted: its lists
//! add to the present ones and remove nothing. Its complete list replaces them once it is trusted. Its records
//! (configuration and evacuations) may be old: an agent without records waits some time for those of a controller in a
//! quorum, and takes none that are older than what its proxies have reported.

use std::collections::HashSet;
use std::marker::PhantomData;

use whinspindle_distribution::{AppliedState, Fleet, Instances, Update, Versions};

use crate::endpoint_list::EndpointList;
use crate::protocol_rules::{ProtocolRules, StandardRules};

/// For this time after a controller has become the link its lists remove nothing, in milliseconds.
const TRUST_DELAY_MS: u64 = 3_000;

/// For this time after the first link the records of a controller without a quorum are deferred, in milliseconds. All
/// reachable controllers have been attempted by then.
const RECORDS_WAIT_MS: u64 = 3_000;

/// The sections in force, and what is pending.
#[derive(Clone, Debug)]
pub(crate) struct GuardedSections<L = StandardRules> {
    rules: PhantomData<L>,
    applied_state: AppliedState,
    endpoint_list: EndpointList,
    trusted_at: u64,
    in_quorum: bool,
    pending_lists: Option<PendingLists>,
    /// When records of any controller are taken; none before the first link.
    records_open_at: Option<u64>,
    /// The newest records of a controller without a quorum, which are deferred.
    pending_records: Update,
    /// The newest positions that proxies of this agent have reported as applied.
    floor: Versions,
}

/// The newest complete lists of a link that is not trusted yet.
#[derive(Clone, Debug)]
struct PendingLists {
    received_at: u64,
    instances: Option<Instances>,
    fleet: Option<Fleet>,
}

impl<L: ProtocolRules> GuardedSections<L> {
    /// No sections.
    pub fn new() -> Self {
        GuardedSections {
            rules: PhantomData,
            applied_state: AppliedState::default(),
            endpoint_list: EndpointList::default(),
            trusted_at: 0,
            in_quorum: false,
            pending_lists: None,
            records_open_at: None,
            pending_records: Update::default(),
            floor: Versions::default(),
        }
    }

    /// Another controller has become the link.
    pub fn linked(&mut self, now: u64) {
        self.trusted_at = now + TRUST_DELAY_MS;
        self.endpoint_list = EndpointList::default();
        self.pending_lists = None;
        self.pending_records = Update::default();
        self.records_open_at.get_or_insert(now + RECORDS_WAIT_MS);
    }

    /// Records what a proxy has applied: nothing older is taken from now on.
    pub fn record_in_force(&mut self, applied: Versions) {
        self.floor.configured = self.floor.configured.max(applied.configured);
        self.floor.evacuations = self.floor.evacuations.max(applied.evacuations);
    }

    /// Sets whether the link's controller is in a quorum. Returns the changes for the proxy.
    pub fn set_quorum(&mut self, now: u64, in_quorum: bool) -> Update {
        self.in_quorum = in_quorum;
        self.release_pending(now)
    }

    /// Applies an update of the link. Returns the changes for the proxy.
    pub fn apply(&mut self, now: u64, update: Update) -> Update {
        let update = self.endpoint_list.complete(now, update);
        let mut update = self.defer_records(now, update);
        if let Some(section) = &mut update.instances {
            self.take_deregistrations(section);
        }
        if self.is_trusted(now) {
            self.pending_lists = None;
            return self.applied_state.apply(now, update);
        }
        self.keep_pending(now, &update);
        let instances = update.instances.map(|section| self.with_held_instances(now, section));
        let fleet = update.fleet.map(|section| self.with_held_balancers(section));
        self.applied_state.apply(now, Update { instances, fleet, ..update })
    }

    /// Applies pending lists and records once their controller is trusted. Returns the changes for the proxy.
    pub fn release_pending(&mut self, now: u64) -> Update {
        let mut due = self.release_records(now);
        if self.is_trusted(now)
            && let Some(waiting) = self.pending_lists.take()
        {
            let elapsed_ms = now.saturating_sub(waiting.received_at);
            due.instances = waiting.instances.map(|section| section.aged(elapsed_ms));
            due.fleet = waiting.fleet;
        }
        self.applied_state.apply(now, due)
    }

    /// When [`GuardedSections::release_pending`] is to be called.
    pub fn next_wake(&self) -> Option<u64> {
        let lists = (self.in_quorum && self.pending_lists.is_some()).then_some(self.trusted_at);
        let records = self.records_open_at.filter(|_| self.pending_records != Update::default());
        lists.into_iter().chain(records).min()
    }

    /// All sections, for a proxy that has just connected.
    pub fn snapshot(&self, now: u64) -> Update {
        self.applied_state.snapshot(now)
    }

    /// Versions of the sections.
    pub fn versions(&self) -> Versions {
        self.applied_state.versions()
    }

    /// Whether complete lists of the link replace what is held.
    fn is_trusted(&self, now: u64) -> bool {
        self.in_quorum && now >= self.trusted_at
    }

    /// Retires deregistered instances, also where the list itself removes nothing.
    fn take_deregistrations(&mut self, section: &mut Instances) {
        for ended in section.list.extract_if(.., |instance| instance.is_ended()) {
            self.applied_state.retire(&ended.id);
        }
    }

    /// The update without records that are old, or that are deferred.
    fn defer_records(&mut self, now: u64, mut update: Update) -> Update {
        self.drop_older_records(&mut update);
        if self.may_take_records(now) {
            return update;
        }
        if let Some(section) = update.configured.take() {
            self.pending_records.configured = Some(section);
        }
        if let Some(section) = update.evacuations.take() {
            self.pending_records.evacuations = Some(section);
        }
        update
    }

    fn release_records(&mut self, now: u64) -> Update {
        if !self.may_take_records(now) {
            return Update::default();
        }
        let mut due = std::mem::take(&mut self.pending_records);
        self.drop_older_records(&mut due);
        due
    }

    fn drop_older_records(&self, update: &mut Update) {
        update.configured.take_if(|section| section.sequence < self.floor.configured);
        update.evacuations.take_if(|section| section.sequence < self.floor.evacuations);
    }

    /// With records present, newer ones are taken from any controller.
    fn may_take_records(&self, now: u64) -> bool {
        let has_records = self.applied_state.configured().is_some();
        let has_waited = self.records_open_at.is_some_and(|at| now >= at);
        has_records || L::may_accept_initial_records(self.in_quorum || has_waited)
    }

    /// Keeps the newest lists of a controller that is not trusted yet.
    fn keep_pending(&mut self, now: u64, update: &Update) {
        let earlier = self.pending_lists.take();
        let (received_at, instances, fleet) = match earlier {
            Some(earlier) => (earlier.received_at, earlier.instances, earlier.fleet),
            None => (now, None, None),
        };
        let received_at = if update.instances.is_some() { now } else { received_at };
        let instances = update.instances.clone().or(instances);
        let fleet = update.fleet.clone().or(fleet);
        if instances.is_some() || fleet.is_some() {
            self.pending_lists = Some(PendingLists { received_at, instances, fleet });
        }
    }

    /// The list with the instances added that are held and that it lacks.
    fn with_held_instances(&self, now: u64, mut section: Instances) -> Instances {
        let Some(held) = self.applied_state.snapshot(now).instances else { return section };
        let listed: HashSet<_> = section.list.iter().map(|instance| instance.id.clone()).collect();
        section.list.extend(held.list.into_iter().filter(|instance| !listed.contains(&instance.id)));
        section
    }

    /// The fleet with at least the number of balancers that is held.
    fn with_held_balancers(&self, section: Fleet) -> Fleet {
        let held = self.applied_state.fleet().map_or(0, |held| held.balancers);
        Fleet { balancers: section.balancers.max(held), ..section }
    }
}
