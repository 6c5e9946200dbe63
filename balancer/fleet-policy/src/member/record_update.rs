//! A newer record replaces the known one: the lease, the texts and the proofs follow it, and the log has a line
//! for each change.

use whinspindle_rollout::Direction;

use super::lease::Lease;
use super::{Environment, Member, MemberRules};
use crate::record::{Change, ChangeOutcome, PastRelease, Policy, Record};

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// Takes an agreed record, received from another member or agreed by this member's own ballot.
    pub(super) fn update_record(&mut self, now: u64, record: Record) {
        if record.order() <= self.record.order() {
            return;
        }
        if record.pending_change.is_some_and(|change| self.record.pending_change != Some(change)) {
            self.next_since = now;
        }
        for line in describe_changes(&self.record, &record) {
            self.environment.log(line);
        }
        let (old, new) = (&self.record, &record);
        if old.policy.number != new.policy.number || old.bootstrap_id != new.bootstrap_id {
            self.learned = now;
        }
        let of = |record: &Record| (record.bootstrap_id, record.policy.number, record.voter_set_version);
        if of(old) != of(new) {
            let held = std::mem::replace(&mut self.lease, Lease::of(&record));
            // If neither lease is for the new record, only an unexpired one is of use.
            if now < held.until::<L>() || self.previous_lease.is_none() {
                self.previous_lease = Some(held);
            }
        }
        self.record = record;
        self.memory.record = self.record.clone();
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
        self.prove();
        self.next_fetch = now;
        self.ask(now);
    }
}

/// The log lines about what a newer record changes.
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
            let by = halt.request_id.member;
            lines.push(format!("nothing is let out any more, by member {by}: {}", halt.reason));
        }
        (Some(_), None) => lines.push("units may be let out again".to_string()),
        _ => {}
    }
    if old.bootstrap_id == new.bootstrap_id && old.voter_set_version != new.voter_set_version {
        lines.push(format!("the voters change, board {}", new.voter_set_version));
    }
    lines
}

fn describe_policies(old: &Record, new: &Record, lines: &mut Vec<String>) {
    for past in new.past_changes.iter().filter(|past| !old.past_changes.contains(past)) {
        let number = past.change.policy.number;
        lines.push(match past.outcome {
            ChangeOutcome::InForce => format!("policy {number} is in force"),
            ChangeOutcome::Withdrawn => format!("policy {number} is withdrawn"),
            ChangeOutcome::Refused(by) => format!("policy {number} is refused by member {by}"),
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
    for out in new.grants.iter().filter(|out| !old.grants.contains(out)) {
        lines.push(format!("{:?} is let out, asked for at member {}", out.unit, out.request_id.member));
    }
    for out in old.grants.iter().filter(|out| !new.grants.contains(out)) {
        lines.push(format!("{:?} is back", out.unit));
    }
}

fn describe_releases(old: &Record, new: &Record, lines: &mut Vec<String>) {
    match (&old.release, &new.release) {
        (None, Some(release)) => {
            let by = release.request_id.member;
            lines.push(format!("release {} begins, by member {by}", release.number));
        }
        (Some(old), Some(new)) if (old.wave, old.direction) != (new.wave, new.direction) => {
            let way = if new.direction == Direction::Rollout { "goes on" } else { "goes back" };
            lines.push(format!("release {} {way}, wave {}", new.number, new.wave + 1));
        }
        _ => {}
    }
    for past in new.past_releases.iter().filter(|past| !old.past_releases.contains(past)) {
        let PastRelease { number, outcome: close, changed, .. } = past;
        lines.push(format!("release {number} is over: {close:?}, {changed} units changed"));
    }
}
