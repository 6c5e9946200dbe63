//! The sections that the agent holds for its proxy, guarded against controllers that cannot know everything: one
//! without a quorum, or one that has just become the link and may itself have just started. What such a controller
//! lists is added to what is held, and takes nothing away; its whole list stands once it knows better.

use std::collections::HashSet;

use whinspindle_distribution::{Fleet, Holder, Instances, Update, Versions};

/// For how long after it became the link a controller's lists take nothing away.
const SETTLING_MS: u64 = 3_000;

/// What is held, and the whole lists that wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct GuardedSections {
    holder: Holder,
    settled_at: u64,
    in_quorum: bool,
    waiting: Option<Waiting>,
}

/// The newest lists of the link, as they were received.
#[derive(Clone, Debug)]
struct Waiting {
    received_at: u64,
    instances: Option<Instances>,
    fleet: Option<Fleet>,
}

impl GuardedSections {
    /// Another controller is the link from now on.
    pub fn linked(&mut self, now: u64) {
        self.settled_at = now + SETTLING_MS;
        self.waiting = None;
    }

    /// Whether the controller of the link has a quorum. Returns the news that this brings.
    pub fn set_quorum(&mut self, now: u64, in_quorum: bool) -> Update {
        self.in_quorum = in_quorum;
        self.settle(now)
    }

    /// Takes an update of the link, and returns the news in it.
    pub fn apply(&mut self, now: u64, update: Update) -> Update {
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
        if !self.is_trusted(now) {
            return Update::default();
        }
        let Some(waiting) = self.waiting.take() else { return Update::default() };
        let elapsed_ms = now.saturating_sub(waiting.received_at);
        let instances = waiting.instances.map(|section| section.aged(elapsed_ms));
        self.holder.apply(now, Update { instances, fleet: waiting.fleet, ..Update::default() })
    }

    /// When `settle` is to be called.
    pub fn next_wake(&self) -> Option<u64> {
        (self.in_quorum && self.waiting.is_some()).then_some(self.settled_at)
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
