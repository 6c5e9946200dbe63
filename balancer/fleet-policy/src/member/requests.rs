//! The requests of operators and supervisors, submitted here or forwarded by other members, and kept until
//! the record contains their result.

use super::{Environment, Member, MemberRules};
use crate::message::{Message, RequestKind};
use crate::record::RequestId;

/// The most requests that a member keeps at once.
const MAX_PENDING_REQUESTS: usize = 64;

/// A request that the record doesn't contain yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub(super) request: RequestKind,
    pub(super) request_id: RequestId,
    /// When the request was last submitted or received.
    pub(super) asked_at: u64,
}

impl<E: Environment, R: MemberRules> Member<E, R> {
    /// Submits an operator's proposal of a policy. `serial` is a number drawn by the caller that identifies
    /// the request.
    pub fn propose(&mut self, now: u64, text: &[u8], serial: u64) -> RequestId {
        let hash = self.texts.insert(text);
        self.submit(now, RequestKind::Propose { hash, length: text.len() as u32 }, serial)
    }

    /// Submits an operator's request to withdraw the change under way.
    pub fn withdraw(&mut self, now: u64, number: u64, serial: u64) -> RequestId {
        self.submit(now, RequestKind::Withdraw { number }, serial)
    }

    /// Submits a request of an operator or a supervisor. Repeating it with the same serial number is
    /// harmless.
    pub fn submit(&mut self, now: u64, request: RequestKind, serial: u64) -> RequestId {
        let request_id = RequestId { member: self.settings.member, serial };
        match self.requests.iter_mut().find(|pending| pending.request_id == request_id) {
            Some(pending) => pending.asked_at = now,
            None => self.requests.push(PendingRequest { request, request_id, asked_at: now }),
        }
        self.forward_requests(now);
        self.drive_ballot(now);
        request_id
    }

    /// Bootstraps the fleet with the voters of the settings, each with its present incarnation, and retries
    /// until that is agreed. A second bootstrap is for a fleet whose voters have lost their disks: since
    /// every voter of the settings has to promise, the earlier incarnations can't form a majority of their
    /// own any more. The new record continues the last one that this member knows.
    pub fn bootstrap(&mut self, now: u64, nonce: u64) {
        self.pending_bootstrap = Some(self.record.next_bootstrap_id(nonce));
        self.drive_ballot(now);
    }

    /// Sends the requests submitted here to all voters until the record contains their result.
    pub(super) fn forward_requests(&mut self, now: u64) {
        let (record, change_timeout_us, renewal_interval_us) =
            (&self.record, self.settings.change_timeout_us, self.settings.renewal_interval_us);
        self.requests.retain(|pending| {
            let is_open = match &pending.request {
                RequestKind::Propose { .. } => true,
                RequestKind::Withdraw { number } => {
                    record.pending_change.is_some_and(|change| change.policy.number == *number)
                }
                RequestKind::TakeOut { unit, .. } => record.grant_of(*unit).is_none(),
                RequestKind::Return { unit, .. } => record.grant_of(*unit).is_some(),
                RequestKind::Halt { .. } => record.halt.is_none(),
                RequestKind::Resume => record.halt.is_some(),
                RequestKind::BeginRelease { .. } => record.release.is_none(),
                RequestKind::RollBack { number } | RequestKind::EndRelease { number } => {
                    record.release.as_ref().is_some_and(|release| release.number == *number)
                }
                RequestKind::ReplaceVoter { old, .. } => {
                    record.voter_sets.iter().flatten().any(|voter| voter.member == *old)
                }
            };
            // Guards against a grant after the supervisor has given up: the request lapses unless the
            // supervisor repeats it.
            let lifetime_us = if matches!(pending.request, RequestKind::TakeOut { .. }) {
                3 * renewal_interval_us
            } else {
                change_timeout_us
            };
            is_open && !record.has_applied(pending.request_id) && now < pending.asked_at + lifetime_us
        });
        // A request for a restart is forwarded only while the supervisor repeats it, since a voter that
        // receives it keeps it for a while.
        let is_fresh = |pending: &&PendingRequest| {
            !matches!(pending.request, RequestKind::TakeOut { .. })
                || now < pending.asked_at + 2 * renewal_interval_us
        };
        let own_requests = self
            .requests
            .iter()
            .filter(|pending| pending.request_id.member == self.settings.member)
            .filter(is_fresh);
        let own_requests: Vec<PendingRequest> = own_requests.cloned().collect();
        for voter in self.voters().into_iter().filter(|voter| *voter != self.settings.member) {
            for PendingRequest { request, request_id, .. } in &own_requests {
                self.environment.send(
                    voter,
                    Message::OperatorRequest { request: request.clone(), request_id: *request_id },
                );
            }
        }
    }

    /// Receives a request that another member forwards.
    pub(super) fn receive_request(&mut self, now: u64, request: RequestKind, request_id: RequestId) {
        let known = self.requests.iter_mut().find(|pending| pending.request_id == request_id);
        let is_repeated = known.map(|pending| pending.asked_at = now).is_some();
        if !is_repeated && !self.record.has_applied(request_id) && self.requests.len() < MAX_PENDING_REQUESTS
        {
            self.requests.push(PendingRequest { request, request_id, asked_at: now });
            self.drive_ballot(now);
        }
    }
}
