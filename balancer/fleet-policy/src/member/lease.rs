//! The lease by which a follower decides: renewed with the voters, granted by a majority of each voter set, and
//! expired by the follower's own clock when it isn't renewed.

use std::collections::{BTreeMap, BTreeSet};

use whinspindle_consensus::Voter;

use super::{Environment, Member, MemberRules};
use crate::message::{LeaseState, Message};
use crate::record::Record;

/// How often in a pace voters that have not answered are asked again.
const RETRIES: u64 = 2;

/// The grants of the voters for one policy by one voter set: a lease once a majority of each voter set has granted it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    pub(super) number: u64,
    pub(super) voter_set_version: u64,
    pub(super) voter_sets: Vec<Vec<Voter>>,
    /// Until when, and for which voter set and number.
    pub(super) grants: BTreeMap<Voter, (u64, (u64, u64))>,
}

impl Lease {
    pub(super) fn of(record: &Record) -> Lease {
        Lease {
            number: record.policy.number,
            voter_set_version: record.voter_set_version,
            voter_sets: record.voter_sets.clone(),
            grants: BTreeMap::new(),
        }
    }

    /// When the lease expires: it lasts as long as a majority of each voter set grants it.
    pub(super) fn until<L: MemberRules>(&self) -> u64 {
        let grant = |voter: &Voter| {
            let (until, granted) = self.grants.get(voter)?;
            L::is_grant_current(*granted, self.voter_set_version, self.number).then_some(*until)
        };
        let of_voter_set = |voter_set: &Vec<Voter>| {
            let mut ends: Vec<u64> = voter_set.iter().filter_map(grant).collect();
            ends.sort_unstable();
            let needed = (0..=voter_set.len()).find(|votes| L::is_majority(*votes, voter_set.len()));
            needed.and_then(|needed| ends.len().checked_sub(needed)).map_or(0, |index| ends[index])
        };
        self.voter_sets.iter().map(of_voter_set).min().unwrap_or(0)
    }
}

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// What a request that is taken now is decided by. To be called for each request: a process that was
    /// suspended finds its lease expired before it acts by it.
    pub fn lease_state(&self, now: u64) -> LeaseState {
        self.lease_state_until(now).0
    }

    /// The same, and when it ends if nothing more is received.
    pub fn lease_state_until(&self, now: u64) -> (LeaseState, u64) {
        let proved = |number: u64| number == 0 || matches!(self.verdicts.get(&number), Some(Ok(())));
        let held = [Some(&self.lease), self.previous_lease.as_ref()];
        let usable = held.into_iter().flatten().find(|h| proved(h.number) && now < h.until::<L>());
        let learned = self.began + self.settings.startup_timeout_us;
        match usable {
            Some(holding) => (LeaseState::Policy(holding.number), holding.until::<L>()),
            None if !self.had_lease && now < learned => (LeaseState::Learning, learned),
            None => (LeaseState::CutOff, u64::MAX),
        }
    }

    pub(super) fn voters(&self) -> BTreeSet<u16> {
        let agreed = self.record.voter_sets.iter().flatten().map(|voter| voter.member);
        if self.record.bootstrap_id == 0 {
            self.settings.voters.iter().copied().collect()
        } else {
            agreed.collect()
        }
    }

    pub(super) fn ask(&mut self, now: u64) {
        self.next_ask = now + self.settings.renewal_interval_us;
        (self.asked, self.again) = (now, 0);
        self.ask_those(now, self.voters());
    }

    /// Guards against lost datagrams in large fleets, where the pace is long against the lease: while the voters
    /// that answered are no majority, the others are asked again, `RETRIES` times at most.
    pub(super) fn retry_ask(&mut self, now: u64) {
        let due = self.asked + self.settings.renewal_interval_us / 4 * (self.again + 1);
        if self.again == RETRIES
            || now < due
            || self.lease.until::<L>() >= self.asked + self.settings.lease_us
        {
            return;
        }
        self.again += 1;
        let answered = |voter: &u16| {
            let grants = self.lease.grants.iter().filter(|(of, _)| of.member == *voter);
            grants.into_iter().any(|(_, (until, _))| *until >= self.asked + self.settings.lease_us)
        };
        let silent = self.voters().into_iter().filter(|voter| !answered(voter)).collect();
        self.ask_those(now, silent);
    }

    pub(super) fn ask_those(&mut self, now: u64, voters: BTreeSet<u16>) {
        for voter in voters {
            let question = self.question(now);
            if voter == self.settings.member {
                self.receive(now, voter, question);
            } else {
                self.environment.send(voter, question);
            }
        }
    }

    pub(super) fn question(&self, now: u64) -> Message {
        Message::RenewLease {
            asked_at: now,
            incarnation: self.memory.incarnation,
            start: self.start,
            bootstrap_id: self.record.bootstrap_id,
            version: self.record.version,
            lease_state: self.lease_state(now),
            readiness: self.readiness(),
        }
    }

    pub(super) fn granted(&mut self, now: u64, at: u64, voter: Voter, granted: (u64, u64)) {
        let until = L::lease_expiry(at, now, &self.settings);
        for held in [Some(&mut self.lease), self.previous_lease.as_mut()].into_iter().flatten() {
            let known = held.grants.entry(voter).or_insert((until, granted));
            if until > known.0 {
                *known = (until, granted);
            }
        }
        self.record_lease(now);
    }

    /// Notes a change of the lease. Once there is a lease for the present record, the previous one is dropped.
    pub(super) fn record_lease(&mut self, now: u64) {
        let right = self.lease_state(now);
        if right == LeaseState::Policy(self.lease.number) {
            self.previous_lease = None;
        }
        self.had_lease |= matches!(right, LeaseState::Policy(_));
        if right != self.logged_right {
            let line = match right {
                LeaseState::Learning => "learns what holds".to_string(),
                LeaseState::Policy(number) => format!("decides by policy {number}"),
                LeaseState::CutOff => format!("is cut off: {}", self.cut_off_reason(now)),
            };
            self.environment.log(line);
            self.logged_right = right;
        }
    }

    /// Why it holds no lease, for the log and for operators.
    pub fn cut_off_reason(&self, now: u64) -> String {
        let number = self.lease.number;
        if self.record.bootstrap_id == 0 {
            return "the fleet is not founded, or no voter answers".to_string();
        }
        if now >= self.lease.until::<L>() {
            return format!("no majority of the voters grants policy {number}");
        }
        match self.verdicts.get(&number) {
            Some(Err(no)) => format!("policy {number} can't be proved here: line {}: {}", no.line, no.reason),
            _ => format!("the text of policy {number} is not whole yet"),
        }
    }
}
