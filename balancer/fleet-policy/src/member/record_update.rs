//! The replacement of the known record by a newer one: the lease, the texts and the proofs follow it, and
//! each change is logged.

use whinspindle_rollout::Direction;

use super::lease::Lease;
use super::{Environment, Member, MemberRules};
use crate::record::{Change, ChangeOutcome, PastRelease, Policy, Record};

impl<E: Environment, R: MemberRules> Member<E, R> {
    /// Takes over an agreed record, received from another member or agreed by this member's own ballot.
    pub(super) fn update_record(&mut self, now: u64, record: Record) {
        if record.order() <= self.record.order() {
            return;
        }
        if record.pending_change.is_some_and(|change| self.record.pending_change != Some(change)) {
            self.change_learned_at = now;
        }
        for line in describe_changes(&self.record, &record) {
            self.environment.log(line);
        }
        let (old, new) = (&self.record, &record);
        if old.policy.number != new.policy.number || old.bootstrap_id != new.bootstrap_id {
            self.policy_learned_at = now;
        }
        let lease_key =
            |record: &Record| (record.bootstrap_id, record.policy.number, record.voter_set_version);
        if lease_key(old) != lease_key(new) {
            let replaced = std::mem::replace(&mut self.lease, Lease::for_record(&record));
            // If neither lease is for the new record, only an unexpired one is of use.
            if now < replaced.expires_at::<R>() || self.previous_lease.is_none() {
                self.previous_lease = Some(replaced);
            }
        }
        self.record = record;
        self.durable_state.record = self.record.clone();
        self.persist();
        let plan = self.record.release.as_ref().map(|release| release.hash);
        let used = [
            Some(self.record.policy.hash),
            self.record.pending_change.map(|change| change.policy.hash),
            plan,
        ];
        if self.release_test.as_ref().is_some_and(|release_test| {
            Some(release_test.release) != self.watched_release() || self.record.halt.is_some()
        }) {
            self.release_test = None;
        }
        self.texts.evict(&used.into_iter().flatten().collect::<Vec<_>>());
        self.begin_proofs();
        self.next_fetch_at = now;
        self.renew_lease(now);
    }
}

/// The log lines for the changes of a newer record.
fn describe_changes(old: &Record, new: &Record) -> Vec<String> {
    let mut lines = Vec::new();
    if old.bootstrap_id != new.bootstrap_id {
        lines.push(format!("the fleet is founded, {} voters", new.voter_sets.iter().flatten().count()));
    }
    describe_policies(old, new, &mut lines);
    describe_units(old, new, &mut lines);
    describe_releases(old, new, &mut lines);
    match (&old.halt, &new.halt) {
        (None, Some(halt)) => {
            let member = halt.request_id.member;
            lines.push(format!("restarts are halted by member {member}: {}", halt.reason));
        }
        (Some(_), None) => lines.push("restarts are resumed".to_string()),
        _ => {}
    }
    if old.bootstrap_id == new.bootstrap_id && old.voter_set_version != new.voter_set_version {
        lines.push(format!("the voters change, voter set version {}", new.voter_set_version));
    }
    lines
}

fn describe_policies(old: &Record, new: &Record, lines: &mut Vec<String>) {
    for past in new.past_changes.iter().filter(|past| !old.past_changes.contains(past)) {
        let number = past.change.policy.number;
        lines.push(match past.outcome {
            ChangeOutcome::InForce => format!("policy {number} is in force"),
            ChangeOutcome::Withdrawn => format!("policy {number} is withdrawn"),
            ChangeOutcome::Refused(member) => format!("policy {number} is refused by member {member}"),
            ChangeOutcome::GivenUp => format!("policy {number} is given up: not proved everywhere in time"),
        });
    }
    if let Some(Change { policy, request_id }) =
        new.pending_change.filter(|change| old.pending_change != Some(*change))
    {
        let Policy { number, hash, .. } = policy;
        lines.push(format!("policy {number} ({hash}) is proposed by member {}", request_id.member));
    }
}

fn describe_units(old: &Record, new: &Record, lines: &mut Vec<String>) {
    for grant in new.grants.iter().filter(|grant| !old.grants.contains(grant)) {
        lines.push(format!("{:?} may restart, requested at member {}", grant.unit, grant.request_id.member));
    }
    for grant in old.grants.iter().filter(|grant| !new.grants.contains(grant)) {
        lines.push(format!("{:?} is back in service", grant.unit));
    }
}

fn describe_releases(old: &Record, new: &Record, lines: &mut Vec<String>) {
    match (&old.release, &new.release) {
        (None, Some(release)) => {
            let member = release.request_id.member;
            lines.push(format!("release {} begins, requested at member {member}", release.number));
        }
        (Some(old), Some(new)) if (old.wave, old.direction) != (new.wave, new.direction) => {
            let direction = if new.direction == Direction::Rollout { "rolls out" } else { "rolls back" };
            lines.push(format!("release {} {direction}, wave {}", new.number, new.wave + 1));
        }
        _ => {}
    }
    for past in new.past_releases.iter().filter(|past| !old.past_releases.contains(past)) {
        let PastRelease { number, outcome, changed, .. } = past;
        lines.push(format!("release {number} ends: {outcome:?}, {changed} units changed"));
    }
}
