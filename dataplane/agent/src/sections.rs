//! The sections that the agent holds for its proxy, guarded against controllers that cannot know everything: one
//! without a quorum, or one that has just become the link and may itself have just started. What such a controller
//! lists is added to what is held, and takes nothing away; its whole list stands once it knows better. Its configuration
//! and evacuations may be old: an agent that has none waits for a while for those of a controller in a quorum, and none
//! that are older than what its proxies have reported are taken.

use std::collections::HashSet;
use std::marker::PhantomData;

use whinspindle_distribution::{AppliedState, Fleet, Instances, Update, Versions};

use crate::link_list::LinkList;
use crate::protocol_rules::{ProtocolRules, StandardRules};

/// For how long after it became the link a controller's lists take nothing away.
const SETTLING_MS: u64 = 3_000;

/// For how long after the first link the records of a controller without a quorum wait for those of another. All that
/// are in reach have been tried by then.
const RECORDS_PATIENCE_MS: u64 = 3_000;

/// What is held, and what waits.
#[derive(Clone, Debug)]
pub(crate) struct GuardedSections<L = StandardRules> {
    rules: PhantomData<L>,
    holder: AppliedState,
    link_list: LinkList,
    settled_at: u64,
    in_quorum: bool,
    waiting: Option<Waiting>,
    /// When records are taken from any controller; none before the first link.
    records_open_at: Option<u64>,
    /// The newest records of a controller without a quorum, not taken yet.
    waiting_records: Update,
    /// The newest positions that the proxies of this agent have had in force.
    floor: Versions,
}

/// The newest lists of the link, as they were received.
#[derive(Clone, Debug)]
struct Waiting {
    received_at: u64,
    instances: Option<Instances>,
    fleet: Option<Fleet>,
}

impl<L: ProtocolRules> GuardedSections<L> {
    /// Nothing is held yet.
    pub fn new() -> Self {
        GuardedSections {
            rules: PhantomData,
            holder: AppliedState::default(),
            link_list: LinkList::default(),
            settled_at: 0,
            in_quorum: false,
            waiting: None,
            records_open_at: None,
            waiting_records: Update::default(),
            floor: Versions::default(),
        }
    }

    /// Another controller is the link from now on.
    pub fn linked(&mut self, now: u64) {
        self.settled_at = now + SETTLING_MS;
        self.link_list = LinkList::default();
        self.waiting = None;
        self.waiting_records = Update::default();
        self.records_open_at.get_or_insert(now + RECORDS_PATIENCE_MS);
    }

    /// A proxy has these in force: nothing older is taken from now on.
    pub fn in_force(&mut self, applied: Versions) {
        self.floor.configured = self.floor.configured.max(applied.configured);
        self.floor.evacuations = self.floor.evacuations.max(applied.evacuations);
    }

    /// Whether the controller of the link has a quorum. Returns the news that this brings.
    pub fn set_quorum(&mut self, now: u64, in_quorum: bool) -> Update {
        self.in_quorum = in_quorum;
        self.settle(now)
    }

    /// Takes an update of the link, and returns the news in it.
    pub fn apply(&mut self, now: u64, update: Update) -> Update {
        let update = self.link_list.complete(now, update);
        let mut update = self.hold_back_records(now, update);
        if let Some(section) = &mut update.instances {
            self.take_ends(section);
        }
        if self.is_trusted(now) {
            self.waiting = None;
            return self.holder.apply(now, update);
        }
        self.keep_waiting(now, &update);
        let instances = update.instances.map(|section| self.with_held_instances(now, section));
        let fleet = update.fleet.map(|section| self.with_held_balancers(section));
        self.holder.apply(now, Update { instances, fleet, ..update })
    }

    /// Lets the whole lists stand that have waited for the controller to know everything. Returns the news.
    pub fn settle(&mut self, now: u64) -> Update {
        let mut due = self.take_due_records(now);
        if self.is_trusted(now)
            && let Some(waiting) = self.waiting.take()
        {
            let elapsed_ms = now.saturating_sub(waiting.received_at);
            due.instances = waiting.instances.map(|section| section.aged(elapsed_ms));
            due.fleet = waiting.fleet;
        }
        self.holder.apply(now, due)
    }

    /// When `settle` is to be called.
    pub fn next_wake(&self) -> Option<u64> {
        let lists = (self.in_quorum && self.waiting.is_some()).then_some(self.settled_at);
        let records = self.records_open_at.filter(|_| self.waiting_records != Update::default());
        lists.into_iter().chain(records).min()
    }

    pub fn snapshot(&self, now: u64) -> Update {
        self.holder.snapshot(now)
    }

    pub fn versions(&self) -> Versions {
        self.holder.versions()
    }

    fn is_trusted(&self, now: u64) -> bool {
        self.in_quorum && now >= self.settled_at
    }

    /// What has ended takes no more requests, though a list that adds to what is held doesn't take it away.
    fn take_ends(&mut self, section: &mut Instances) {
        for ended in section.list.extract_if(.., |instance| instance.is_ended()) {
            self.holder.retire(&ended.id);
        }
    }

    /// The update without records that are not to be taken, or not yet.
    fn hold_back_records(&mut self, now: u64, mut update: Update) -> Update {
        self.drop_older_records(&mut update);
        if self.may_take_records(now) {
            return update;
        }
        if let Some(section) = update.configured.take() {
            self.waiting_records.configured = Some(section);
        }
        if let Some(section) = update.evacuations.take() {
            self.waiting_records.evacuations = Some(section);
        }
        update
    }

    fn take_due_records(&mut self, now: u64) -> Update {
        if !self.may_take_records(now) {
            return Update::default();
        }
        let mut due = std::mem::take(&mut self.waiting_records);
        self.drop_older_records(&mut due);
        due
    }

    fn drop_older_records(&self, update: &mut Update) {
        update.configured.take_if(|section| section.sequence < self.floor.configured);
        update.evacuations.take_if(|section| section.sequence < self.floor.evacuations);
    }

    /// Where something is held, what is newer can be taken from any controller.
    fn may_take_records(&self, now: u64) -> bool {
        let holds_some = self.holder.configured().is_some();
        let has_waited = self.records_open_at.is_some_and(|at| now >= at);
        holds_some || L::takes_first_records(self.in_quorum || has_waited)
    }

    fn keep_waiting(&mut self, now: u64, update: &Update) {
        let earlier = self.waiting.take();
        let (received_at, instances, fleet) = match earlier {
            Some(earlier) => (earlier.received_at, earlier.instances, earlier.fleet),
            None => (now, None, None),
        };
        let received_at = if update.instances.is_some() { now } else { received_at };
        let instances = update.instances.clone().or(instances);
        let fleet = update.fleet.clone().or(fleet);
        if instances.is_some() || fleet.is_some() {
            self.waiting = Some(Waiting { received_at, instances, fleet });
        }
    }

    fn with_held_instances(&self, now: u64, mut section: Instances) -> Instances {
        let Some(held) = self.holder.snapshot(now).instances else { return section };
        let listed: HashSet<_> = section.list.iter().map(|instance| instance.id.clone()).collect();
        section.list.extend(held.list.into_iter().filter(|instance| !listed.contains(&instance.id)));
        section
    }

    fn with_held_balancers(&self, section: Fleet) -> Fleet {
        let held = self.holder.fleet().map_or(0, |held| held.balancers);
        Fleet { balancers: section.balancers.max(held), ..section }
    }
}
