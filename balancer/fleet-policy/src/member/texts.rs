//! The texts of policies and plans, which are fetched in chunks from other members, sent to them, and handed
//! to the process to be proved.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::{Environment, Member, MemberRules};
use crate::message::{Message, Objection, Readiness};
use crate::record::{Hash, Policy};

/// The number of verdicts that are kept, those of the newest policies.
const MAX_VERDICTS: usize = 8;

impl<E: Environment, R: MemberRules> Member<E, R> {
    /// The text of a policy or plan, once it is complete here.
    pub fn text(&self, hash: Hash) -> Option<Rc<[u8]>> {
        self.texts.get(hash)
    }

    /// The result of proving a policy here, if it has been proved or refused.
    pub fn verdict(&self, number: u64) -> Option<&Result<(), Objection>> {
        self.verdicts.get(&number)
    }

    /// This member's progress with the change under way.
    pub fn readiness(&self) -> Readiness {
        let Some(change) = self.record.pending_change else { return Readiness::NoChange };
        let number = change.policy.number;
        match self.verdicts.get(&number) {
            Some(Ok(())) => Readiness::Ready(number),
            Some(Err(objection)) => Readiness::Objected(number, objection.clone()),
            None => Readiness::MissingChunks(self.texts.missing_chunk_count(change.policy.hash)),
        }
    }

    /// Adds a text that the process has stored on its own disk.
    pub fn add_text(&mut self, text: &[u8]) {
        self.texts.insert(text);
        self.begin_proofs();
    }

    /// Takes the result of a proof that `Environment::prove` has begun.
    pub fn proved(&mut self, now: u64, number: u64, verdict: Result<(), Objection>) {
        self.proofs_begun.remove(&number);
        match &verdict {
            Ok(()) => self.environment.log(format!("policy {number} is proved")),
            Err(objection) => {
                let Objection { line, reason } = objection;
                self.environment.log(format!("policy {number} can't be proved: line {line}: {reason}"));
            }
        }
        self.verdicts.insert(number, verdict);
        while self.verdicts.len() > MAX_VERDICTS {
            self.verdicts.pop_first();
        }
        self.renew_lease(now);
        self.drive_ballot(now);
    }

    /// The policies that have to be proved.
    pub(super) fn policies_to_prove(&self) -> impl Iterator<Item = Policy> + use<E, R> {
        let next = self.record.pending_change.map(|change| change.policy);
        let policies = [Some(self.record.policy), next].into_iter().flatten();
        policies.filter(|policy| policy.number > 0).collect::<Vec<_>>().into_iter()
    }

    pub(super) fn begin_proofs(&mut self) {
        for policy in self.policies_to_prove() {
            let Some(text) = self.texts.get(policy.hash) else { continue };
            if !self.verdicts.contains_key(&policy.number) && self.proofs_begun.insert(policy.number) {
                self.environment.prove(policy, text);
            }
        }
        let Some(hash) = self.record.release.as_ref().map(|release| release.hash) else { return };
        if let Some(text) = self.texts.get(hash).filter(|_| self.environment.plan(hash).is_none()) {
            self.environment.plan_received(hash, text);
        }
    }

    /// Requests missing chunks, from the member that last sent some, or else from the proposer and the voters
    /// in turn.
    pub(super) fn fetch_chunks(&mut self, now: u64) {
        if now < self.next_fetch_at {
            return;
        }
        let next = self.record.pending_change;
        let release = self.record.release.as_ref();
        let proposers = next
            .map(|change| change.request_id.member)
            .into_iter()
            .chain(release.map(|release| release.request_id.member));
        let sources: BTreeSet<u16> = self.voters().into_iter().chain(proposers).collect();
        let mut sources: Vec<u16> =
            sources.into_iter().filter(|source| *source != self.settings.member).collect();
        // Guards against a text that no voter has any more: every fourth request goes to one of all members.
        if self.fetch_count % 4 == 3 && self.chunk_source.is_none() {
            let member_count = usize::from(self.settings.member_count);
            sources = vec![(self.fetch_count / 4 % member_count) as u16];
            sources.retain(|source| *source != self.settings.member);
        }
        let plan = release.map(|release| (release.hash, release.length));
        let texts: Vec<(Hash, u32)> =
            self.policies_to_prove().map(|policy| (policy.hash, policy.length)).chain(plan).collect();
        for (hash, length) in texts {
            let Some((chunk, missing)) = self.texts.missing_chunks(hash, length) else { continue };
            self.fetch_count += 1;
            if sources.is_empty() {
                return;
            }
            let source = self.chunk_source.take().unwrap_or(sources[self.fetch_count % sources.len()]);
            self.next_fetch_at = now + self.settings.renewal_interval_us / 4;
            self.requested_chunks = Some((hash, chunk, missing));
            self.environment.send(source, Message::Fetch { hash, chunk, missing });
            return;
        }
        self.requested_chunks = None;
    }

    pub(super) fn send_chunks(&mut self, to: u16, hash: Hash, chunk: u16, missing: u64) {
        for offset in (0..64).filter(|offset| missing >> offset & 1 == 1) {
            let chunk = chunk.saturating_add(offset);
            let Some((length, bytes)) = self.texts.chunk(hash, chunk) else { return };
            self.environment.send(to, Message::Chunk { hash, chunk, length, bytes });
        }
    }

    /// Receives a chunk of a text. Once all requested chunks are here, requests the next ones.
    pub(super) fn receive_chunk(&mut self, now: u64, from: u16, hash: Hash, chunk: u16, bytes: Vec<u8>) {
        self.chunk_source = Some(from);
        if self.texts.add_chunk(hash, chunk, bytes) {
            self.begin_proofs();
        } else if let Some((requested, chunk, missing)) = self.requested_chunks
            && !self.texts.is_missing(requested, chunk, missing)
        {
            self.next_fetch_at = now;
            self.fetch_chunks(now);
        }
    }
}
