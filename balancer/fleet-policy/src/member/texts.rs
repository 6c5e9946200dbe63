//! The texts of policies and plans: fetched in chunks from other members, sent to them, and handed to the
//! process to be proved.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::{Environment, Member, MemberRules};
use crate::message::{Message, Objection, Readiness};
use crate::record::{Hash, Policy};

/// Verdicts that are kept, those of the newest policies.
const MOST_VERDICTS: usize = 8;

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// The text of a policy or plan, once it is complete here.
    pub fn text(&self, hash: Hash) -> Option<Rc<[u8]>> {
        self.texts.get(hash)
    }

    /// The result of proving a policy here; none while there is none.
    pub fn verdict(&self, number: u64) -> Option<&Result<(), Objection>> {
        self.verdicts.get(&number)
    }

    /// How far this member is with the change under way.
    pub fn readiness(&self) -> Readiness {
        let Some(change) = self.record.pending_change else { return Readiness::NoChange };
        let number = change.policy.number;
        match self.verdicts.get(&number) {
            Some(Ok(())) => Readiness::Ready(number),
            Some(Err(objection)) => Readiness::Objected(number, objection.clone()),
            None => Readiness::MissingChunks(self.texts.lacks(change.policy.hash)),
        }
    }

    /// Takes a text that the process has on its own disk.
    pub fn add_text(&mut self, text: &[u8]) {
        self.texts.put(text);
        self.prove();
    }

    /// Takes the result of a proof: see `Environment::prove`.
    pub fn proved(&mut self, now: u64, number: u64, verdict: Result<(), Objection>) {
        self.proving.remove(&number);
        match &verdict {
            Ok(()) => self.environment.log(format!("policy {number} is proved")),
            Err(objection) => {
                let Objection { line, reason: words } = objection;
                self.environment.log(format!("policy {number} can't be proved: line {line}: {words}"));
            }
        }
        self.verdicts.insert(number, verdict);
        while self.verdicts.len() > MOST_VERDICTS {
            self.verdicts.pop_first();
        }
        self.ask(now);
        self.lead(now);
    }

    /// The policies that have to be proved.
    pub(super) fn policies_to_prove(&self) -> impl Iterator<Item = Policy> + use<O, L> {
        let next = self.record.pending_change.map(|change| change.policy);
        let wanted = [Some(self.record.policy), next].into_iter().flatten();
        wanted.filter(|policy| policy.number > 0).collect::<Vec<_>>().into_iter()
    }

    pub(super) fn prove(&mut self) {
        for policy in self.policies_to_prove() {
            let Some(text) = self.texts.get(policy.hash) else { continue };
            if !self.verdicts.contains_key(&policy.number) && self.proving.insert(policy.number) {
                self.environment.prove(policy, text);
            }
        }
        let Some(hash) = self.record.release.as_ref().map(|release| release.hash) else { return };
        if let Some(text) = self.texts.get(hash).filter(|_| self.environment.plan(hash).is_none()) {
            self.environment.plan_received(hash, text);
        }
    }

    /// Asks for the missing chunks: the member that sent some last, else in turn the proposer and the voters.
    pub(super) fn fetch(&mut self, now: u64) {
        if now < self.next_fetch {
            return;
        }
        let next = self.record.pending_change;
        let release = self.record.release.as_ref();
        let by = next
            .map(|change| change.request_id.member)
            .into_iter()
            .chain(release.map(|release| release.request_id.member));
        let sources: BTreeSet<u16> = self.voters().into_iter().chain(by).collect();
        let mut sources: Vec<u16> =
            sources.into_iter().filter(|source| *source != self.settings.member).collect();
        // Guards against a text that no voter has any more: now and then another member is asked for it.
        if self.fetches % 4 == 3 && self.source.is_none() {
            let all = usize::from(self.settings.member_count);
            sources = vec![(self.fetches / 4 % all) as u16];
            sources.retain(|source| *source != self.settings.member);
        }
        let plan = release.map(|release| (release.hash, release.length));
        let texts: Vec<(Hash, u32)> =
            self.policies_to_prove().map(|policy| (policy.hash, policy.length)).chain(plan).collect();
        for (hash, length) in texts {
            let Some((chunk, missing)) = self.texts.missing(hash, length) else { continue };
            self.fetches += 1;
            if sources.is_empty() {
                return;
            }
            let source = self.source.take().unwrap_or(sources[self.fetches % sources.len()]);
            self.next_fetch = now + self.settings.renewal_interval_us / 4;
            self.fetching = Some((hash, chunk, missing));
            self.environment.send(source, Message::Fetch { hash, chunk, missing });
            return;
        }
        self.fetching = None;
    }

    pub(super) fn send_chunks(&mut self, to: u16, hash: Hash, chunk: u16, missing: u64) {
        for at in (0..64).filter(|at| missing >> at & 1 == 1) {
            let chunk = chunk.saturating_add(at);
            let Some((length, bytes)) = self.texts.chunk(hash, chunk) else { return };
            self.environment.send(to, Message::Chunk { hash, chunk, length, bytes });
        }
    }

    /// Takes a chunk of a text; once all that were asked for are here, asks for the next ones.
    pub(super) fn take_chunk(&mut self, now: u64, from: u16, hash: Hash, chunk: u16, bytes: Vec<u8>) {
        self.source = Some(from);
        if self.texts.take(hash, chunk, bytes) {
            self.prove();
        } else if let Some((asked, chunk, missing)) = self.fetching
            && !self.texts.is_missing(asked, chunk, missing)
        {
            self.next_fetch = now;
            self.fetch(now);
        }
    }
}
