//! A newer record takes the place of the one known, and what changes by it is told in the log.

use whinspindle_rollout::Way;

use super::lease::Lease;
use super::{Environment, Member, MemberRules};
use crate::record::{Change, ChangeOutcome, Record};

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// What is agreed on, as another tells it or as this member's own round has brought it about.
    pub(super) fn learn(&mut self, now: u64, record: Record) {
        if record.order() <= self.record.order() {
            return;
        }
        if record.next.is_some_and(|change| self.record.next != Some(change)) {
            self.next_since = now;
        }
        for words in describe_changes(&self.record, &record) {
            self.environment.tell(words);
        }
        let (old, new) = (&self.record, &record);
        if old.policy.number != new.policy.number || old.bootstrap_id != new.bootstrap_id {
            self.learned = now;
        }
        let of = |record: &Record| (record.bootstrap_id, record.policy.number, record.voter_set_version);
        if of(old) != of(new) {
            let held = std::mem::replace(&mut self.lease, Lease::of(&record));
            // Of two that were both outrun only one with a right is of use.
            if now < held.until::<L>() || self.previous_lease.is_none() {
                self.previous_lease = Some(held);
            }
        }
        self.record = record;
        self.memory.record = self.record.clone();
        self.persist();
        let plan = self.record.release.as_ref().map(|release| release.hash);
        let used = [Some(self.record.policy.hash), self.record.next.map(|change| change.policy.hash), plan];
        if self
            .case
            .as_ref()
            .is_some_and(|case| Some(case.release) != self.watched() || self.record.halted.is_some())
        {
            self.case = None;
        }
        self.texts.evict(&used.into_iter().flatten().collect::<Vec<_>>());
        self.prove();
        self.next_fetch = now;
        self.ask(now);
    }
}

/// What a newer record changes, a line each.
fn describe_changes(old: &Record, new: &Record) -> Vec<String> {
    let mut words = Vec::new();
    if old.bootstrap_id != new.bootstrap_id {
        words.push(format!("the fleet is founded, {} voters", new.voter_sets.iter().flatten().count()));
    }
    for past in new.past.iter().filter(|past| !old.past.contains(past)) {
        let number = past.change.policy.number;
        words.push(match past.outcome {
            ChangeOutcome::InForce => format!("policy {number} is in force"),
            ChangeOutcome::Withdrawn => format!("policy {number} is withdrawn"),
            ChangeOutcome::Refused(by) => format!("policy {number} is refused by member {by}"),
            ChangeOutcome::GivenUp => format!("policy {number} is given up: not proved everywhere in time"),
        });
    }
    if let Some(change) = new.next.filter(|change| old.next != Some(*change)) {
        let Change { policy, request_id } = change;
        words.push(format!(
            "policy {} ({}) is proposed by member {}",
            policy.number, policy.hash, request_id.by
        ));
    }
    for out in new.out.iter().filter(|out| !old.out.contains(out)) {
        words.push(format!("{:?} is let out, asked for at member {}", out.unit, out.request_id.by));
    }
    for out in old.out.iter().filter(|out| !new.out.contains(out)) {
        words.push(format!("{:?} is back", out.unit));
    }
    match (&old.release, &new.release) {
        (None, Some(release)) => {
            let by = release.request_id.by;
            words.push(format!("release {} begins, by member {by}", release.number));
        }
        (Some(old), Some(new)) if (old.wave, old.way) != (new.wave, new.way) => {
            let way = if new.way == Way::Forth { "goes on" } else { "goes back" };
            words.push(format!("release {} {way}, wave {}", new.number, new.wave + 1));
        }
        _ => {}
    }
    for past in new.past_releases.iter().filter(|past| !old.past_releases.contains(past)) {
        words.push(format!(
            "release {} is over: {:?}, {} units changed",
            past.number, past.close, past.changed
        ));
    }
    match (&old.halted, &new.halted) {
        (None, Some(halt)) => {
            words
                .push(format!("nothing is let out any more, by member {}: {}", halt.request_id.by, halt.why));
        }
        (Some(_), None) => words.push("units may be let out again".to_string()),
        _ => {}
    }
    if old.bootstrap_id == new.bootstrap_id && old.voter_set_version != new.voter_set_version {
        words.push(format!("the voters change, board {}", new.voter_set_version));
    }
    words
}
