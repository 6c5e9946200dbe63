//! The lease of a follower, which the voters renew: it is held while a majority of each voter set grants it,
//! and expires by the follower's own clock.

use std::collections::{BTreeMap, BTreeSet};

use whinspindle_consensus::Voter;

use super::{Environment, Member, MemberRules};
use crate::message::{LeaseState, Message};
use crate::record::Record;

/// How often voters that haven't answered are asked again within one renewal interval.
const RENEWAL_RETRIES: u64 = 2;

/// The voters' grants for one policy. They are a lease once a majority of each voter set has granted it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    pub(super) policy_number: u64,
    pub(super) voter_set_version: u64,
    pub(super) voter_sets: Vec<Vec<Voter>>,
    /// By voter: when its grant expires, and the voter set version and policy number that it is for.
    pub(super) grants: BTreeMap<Voter, (u64, (u64, u64))>,
}

impl Lease {
    /// A lease for the policy and voters of a record, without grants yet.
    pub(super) fn for_record(record: &Record) -> Lease {
        Lease {
            policy_number: record.policy.number,
            voter_set_version: record.voter_set_version,
            voter_sets: record.voter_sets.clone(),
            grants: BTreeMap::new(),
        }
    }

    /// When the lease expires: it lasts while a majority of each voter set grants it.
    pub(super) fn expires_at<R: MemberRules>(&self) -> u64 {
        let expiry_of = |voter: &Voter| {
            let (expiry, granted) = self.grants.get(voter)?;
            R::is_grant_current(*granted, self.voter_set_version, self.policy_number).then_some(*expiry)
        };
        let expiry_by_voter_set = |voter_set: &Vec<Voter>| {
            let mut expiries: Vec<u64> = voter_set.iter().filter_map(expiry_of).collect();
            expiries.sort_unstable();
            let majority = (0..=voter_set.len()).find(|votes| R::is_majority(*votes, voter_set.len()));
            majority
                .and_then(|majority| expiries.len().checked_sub(majority))
                .map_or(0, |index| expiries[index])
        };
        self.voter_sets.iter().map(expiry_by_voter_set).min().unwrap_or(0)
    }
}

impl<E: Environment, R: MemberRules> Member<E, R> {
    /// The state of the lease, which decides the policy for a request. To be called for each request, so that
    /// a process that was suspended finds its lease expired before it acts by it.
    pub fn lease_state(&self, now: u64) -> LeaseState {
        self.lease_state_until(now).0
    }

    /// The state of the lease, and the time until which it lasts without further messages.
    pub fn lease_state_until(&self, now: u64) -> (LeaseState, u64) {
        let is_proved = |number: u64| number == 0 || matches!(self.verdicts.get(&number), Some(Ok(())));
        let leases = [Some(&self.lease), self.previous_lease.as_ref()];
        let usable = leases
            .into_iter()
            .flatten()
            .find(|lease| is_proved(lease.policy_number) && now < lease.expires_at::<R>());
        let learning_until = self.started_at + self.settings.startup_timeout_us;
        match usable {
            Some(lease) => (LeaseState::Policy(lease.policy_number), lease.expires_at::<R>()),
            None if !self.had_lease && now < learning_until => (LeaseState::Learning, learning_until),
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

    pub(super) fn renew_lease(&mut self, now: u64) {
        self.next_renewal_at = now + self.settings.renewal_interval_us;
        (self.renewal_asked_at, self.renewal_retries) = (now, 0);
        self.ask_voters(now, self.voters());
    }

    /// Repeats the request to voters that haven't answered, up to `RENEWAL_RETRIES` times, until a majority
    /// has granted the lease. Guards against lost datagrams in large fleets, whose renewal interval is long
    /// compared with the lease.
    pub(super) fn retry_renewal(&mut self, now: u64) {
        let due_at =
            self.renewal_asked_at + self.settings.renewal_interval_us / 4 * (self.renewal_retries + 1);
        if self.renewal_retries == RENEWAL_RETRIES
            || now < due_at
            || self.lease.expires_at::<R>() >= self.renewal_asked_at + self.settings.lease_us
        {
            return;
        }
        self.renewal_retries += 1;
        let has_answered = |voter: &u16| {
            let grants = self.lease.grants.iter().filter(|(granter, _)| granter.member == *voter);
            grants
                .into_iter()
                .any(|(_, (expiry, _))| *expiry >= self.renewal_asked_at + self.settings.lease_us)
        };
        let silent = self.voters().into_iter().filter(|voter| !has_answered(voter)).collect();
        self.ask_voters(now, silent);
    }

    pub(super) fn ask_voters(&mut self, now: u64, voters: BTreeSet<u16>) {
        for voter in voters {
            let renewal = self.renewal_message(now);
            if voter == self.settings.member {
                self.receive(now, voter, renewal);
            } else {
                self.environment.send(voter, renewal);
            }
        }
    }

    pub(super) fn renewal_message(&self, now: u64) -> Message {
        Message::RenewLease {
            asked_at: now,
            incarnation: self.durable_state.incarnation,
            start: self.process_start,
            bootstrap_id: self.record.bootstrap_id,
            version: self.record.version,
            lease_state: self.lease_state(now),
            readiness: self.readiness(),
        }
    }

    /// Records a voter's grant, made for the voter set version and policy number `granted`.
    pub(super) fn receive_grant(&mut self, now: u64, asked_at: u64, voter: Voter, granted: (u64, u64)) {
        let expiry = R::lease_expiry(asked_at, now, &self.settings);
        for lease in [Some(&mut self.lease), self.previous_lease.as_mut()].into_iter().flatten() {
            let known = lease.grants.entry(voter).or_insert((expiry, granted));
            if expiry > known.0 {
                *known = (expiry, granted);
            }
        }
        self.update_lease_state(now);
    }

    /// Logs a change of the lease's state, and drops the previous lease once there is one for the present
    /// record.
    pub(super) fn update_lease_state(&mut self, now: u64) {
        let state = self.lease_state(now);
        if state == LeaseState::Policy(self.lease.policy_number) {
            self.previous_lease = None;
        }
        self.had_lease |= matches!(state, LeaseState::Policy(_));
        if state != self.logged_lease_state {
            let line = match state {
                LeaseState::Learning => "waits for its first lease".to_string(),
                LeaseState::Policy(number) => format!("decides by policy {number}"),
                LeaseState::CutOff => format!("is cut off: {}", self.cut_off_reason(now)),
            };
            self.environment.log(line);
            self.logged_lease_state = state;
        }
    }

    /// Why the member holds no lease, for the log and for operators.
    pub fn cut_off_reason(&self, now: u64) -> String {
        let number = self.lease.policy_number;
        if self.record.bootstrap_id == 0 {
            return "the fleet is not founded, or no voter answers".to_string();
        }
        if now >= self.lease.expires_at::<R>() {
            return format!("no majority of the voters grants policy {number}");
        }
        match self.verdicts.get(&number) {
            Some(Err(objection)) => {
                format!("policy {number} can't be proved here: line {}: {}", objection.line, objection.reason)
            }
            _ => format!("the text of policy {number} is not complete yet"),
        }
    }
}
