//! Sections that the agent sends to its proxy, guarded against controllers with incomplete or old state.
//!
//! A controller is not trusted while it has no quorum, or if it has just become the link and may have just
//! started. Lists of an untrusted controller add entries to the current lists and remove none. Its complete
//! lists replace the current lists once it is trusted. Its records (configuration and evacuations) may be
//! old. An agent without records therefore waits some time for the records of a controller in a quorum, and
//! never accepts records that are older than the records that its proxies have reported.

use std::collections::HashSet;
use std::marker::PhantomData;

use whinspindle_distribution::{AppliedState, Fleet, Instances, Update, Versions};

use crate::endpoint_list::EndpointList;
use crate::protocol_rules::{ProtocolRules, StandardRules};

/// Time after a controller has become the link in which its lists remove no entries, in milliseconds.
const TRUST_DELAY_MS: u64 = 3_000;

/// Time after the first link in which records of a controller without a quorum are deferred, in milliseconds.
/// It is long enough to try all reachable controllers.
const RECORDS_WAIT_MS: u64 = 3_000;

/// Current sections, and pending lists and records.
#[derive(Clone, Debug)]
pub(crate) struct GuardedSections<R = StandardRules> {
    rules: PhantomData<R>,
    applied_state: AppliedState,
    endpoint_list: EndpointList,
    trusted_at: u64,
    in_quorum: bool,
    pending_lists: Option<PendingLists>,
    /// Time from which records of any controller are accepted; `None` before the first link.
    records_accepted_at: Option<u64>,
    /// Newest deferred records of a controller without a quorum.
    pending_records: Update,
    /// Newest versions that the proxies of this agent have reported as applied; older records are dropped.
    min_versions: Versions,
}

/// Newest complete lists of a controller that is not trusted yet.
#[derive(Clone, Debug)]
struct PendingLists {
    received_at: u64,
    instances: Option<Instances>,
    fleet: Option<Fleet>,
}

impl<R: ProtocolRules> GuardedSections<R> {
    /// Creates an empty state.
    pub fn new() -> Self {
        GuardedSections {
            rules: PhantomData,
            applied_state: AppliedState::default(),
            endpoint_list: EndpointList::default(),
            trusted_at: 0,
            in_quorum: false,
            pending_lists: None,
            records_accepted_at: None,
            pending_records: Update::default(),
            min_versions: Versions::default(),
        }
    }

    /// Records that another controller has become the link.
    pub fn record_new_link(&mut self, now: u64) {
        self.trusted_at = now + TRUST_DELAY_MS;
        self.endpoint_list = EndpointList::default();
        self.pending_lists = None;
        self.pending_records = Update::default();
        self.records_accepted_at.get_or_insert(now + RECORDS_WAIT_MS);
    }

    /// Records the versions that a proxy has applied. Older records are dropped from now on.
    pub fn record_applied(&mut self, applied: Versions) {
        self.min_versions.configured = self.min_versions.configured.max(applied.configured);
        self.min_versions.evacuations = self.min_versions.evacuations.max(applied.evacuations);
    }

    /// Sets whether the linked controller is in a quorum. Returns the changes for the proxy.
    pub fn set_quorum(&mut self, now: u64, in_quorum: bool) -> Update {
        self.in_quorum = in_quorum;
        self.apply_pending(now)
    }

    /// Applies an update of the link. Returns the changes for the proxy.
    pub fn apply(&mut self, now: u64, update: Update) -> Update {
        let update = self.endpoint_list.resolve_changes(now, update);
        let mut update = self.defer_records(now, update);
        if let Some(section) = &mut update.instances {
            self.apply_deregistrations(section);
        }
        if self.is_trusted(now) {
            self.pending_lists = None;
            return self.applied_state.apply(now, update);
        }
        self.store_pending_lists(now, &update);
        let instances = update.instances.map(|section| self.with_current_instances(now, section));
        let fleet = update.fleet.map(|section| self.with_current_balancers(section));
        self.applied_state.apply(now, Update { instances, fleet, ..update })
    }

    /// Applies pending lists and records once their controller is trusted. Returns the changes for the proxy.
    pub fn apply_pending(&mut self, now: u64) -> Update {
        let mut changes = self.take_pending_records(now);
        if self.is_trusted(now)
            && let Some(pending) = self.pending_lists.take()
        {
            let elapsed_ms = now.saturating_sub(pending.received_at);
            changes.instances = pending.instances.map(|section| section.aged(elapsed_ms));
            changes.fleet = pending.fleet;
        }
        self.applied_state.apply(now, changes)
    }

    /// Returns the time of the next necessary call of [`GuardedSections::apply_pending`].
    pub fn next_wake(&self) -> Option<u64> {
        let lists = (self.in_quorum && self.pending_lists.is_some()).then_some(self.trusted_at);
        let records = self.records_accepted_at.filter(|_| self.pending_records != Update::default());
        lists.into_iter().chain(records).min()
    }

    /// Returns all sections, for a proxy that has just connected.
    pub fn snapshot(&self, now: u64) -> Update {
        self.applied_state.snapshot(now)
    }

    /// Returns the versions of the sections.
    pub fn versions(&self) -> Versions {
        self.applied_state.versions()
    }

    /// Whether complete lists of the link replace the current lists.
    fn is_trusted(&self, now: u64) -> bool {
        self.in_quorum && now >= self.trusted_at
    }

    /// Retires deregistered instances, even if the list itself removes no entries.
    fn apply_deregistrations(&mut self, section: &mut Instances) {
        for deregistered in section.list.extract_if(.., |instance| instance.is_ended()) {
            self.applied_state.mark_draining(&deregistered.id);
        }
    }

    /// Drops old records from the update, and defers its other records if they are not accepted yet.
    fn defer_records(&mut self, now: u64, mut update: Update) -> Update {
        self.drop_older_records(&mut update);
        if self.can_accept_records(now) {
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

    fn take_pending_records(&mut self, now: u64) -> Update {
        if !self.can_accept_records(now) {
            return Update::default();
        }
        let mut changes = std::mem::take(&mut self.pending_records);
        self.drop_older_records(&mut changes);
        changes
    }

    fn drop_older_records(&self, update: &mut Update) {
        update.configured.take_if(|section| section.sequence < self.min_versions.configured);
        update.evacuations.take_if(|section| section.sequence < self.min_versions.evacuations);
    }

    /// Whether records are accepted. An agent with records accepts newer ones from any controller.
    fn can_accept_records(&self, now: u64) -> bool {
        let has_records = self.applied_state.configured().is_some();
        let has_waited = self.records_accepted_at.is_some_and(|at| now >= at);
        has_records || R::may_accept_initial_records(self.in_quorum || has_waited)
    }

    /// Stores the newest lists of a controller that is not trusted yet.
    fn store_pending_lists(&mut self, now: u64, update: &Update) {
        let previous = self.pending_lists.take();
        let (received_at, instances, fleet) = match previous {
            Some(previous) => (previous.received_at, previous.instances, previous.fleet),
            None => (now, None, None),
        };
        let received_at = if update.instances.is_some() { now } else { received_at };
        let instances = update.instances.clone().or(instances);
        let fleet = update.fleet.clone().or(fleet);
        if instances.is_some() || fleet.is_some() {
            self.pending_lists = Some(PendingLists { received_at, instances, fleet });
        }
    }

    /// Adds the current instances that the list lacks.
    fn with_current_instances(&self, now: u64, mut section: Instances) -> Instances {
        let Some(current) = self.applied_state.snapshot(now).instances else { return section };
        let listed: HashSet<_> = section.list.iter().map(|instance| instance.id.clone()).collect();
        section.list.extend(current.list.into_iter().filter(|instance| !listed.contains(&instance.id)));
        section
    }

    /// Raises the number of balancers to at least the current number.
    fn with_current_balancers(&self, section: Fleet) -> Fleet {
        let current = self.applied_state.fleet().map_or(0, |current| current.balancers);
        Fleet { balancers: section.balancers.max(current), ..section }
    }
}
