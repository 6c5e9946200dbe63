//! The requests of operators and supervisors, made here or passed on by other members, kept until the record
//! has them.

use super::{Environment, Member, MemberRules};
use crate::message::{Message, RequestKind};
use crate::record::RequestId;

/// Requests that a member holds at once.
const MOST_REQUESTS: usize = 64;

/// A request that the record does not know yet, and when it was asked for last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub(super) request: RequestKind,
    pub(super) request_id: RequestId,
    pub(super) since: u64,
}

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// An operator proposes a policy here. The request is known by its serial number, drawn by the caller.
    pub fn propose(&mut self, now: u64, text: &[u8], serial: u64) -> RequestId {
        let hash = self.texts.put(text);
        self.submit(now, RequestKind::Propose { hash, length: text.len() as u32 }, serial)
    }

    /// An operator withdraws the change under way.
    pub fn withdraw(&mut self, now: u64, number: u64, serial: u64) -> RequestId {
        self.submit(now, RequestKind::Withdraw { number }, serial)
    }

    /// Takes a request of an operator or a supervisor. Asking again with the same serial number is harmless.
    pub fn submit(&mut self, now: u64, request: RequestKind, serial: u64) -> RequestId {
        let request_id = RequestId { member: self.settings.member, serial };
        match self.requests.iter_mut().find(|wanted| wanted.request_id == request_id) {
            Some(wanted) => wanted.since = now,
            None => self.requests.push(PendingRequest { request, request_id, since: now }),
        }
        self.forward_requests(now);
        self.lead(now);
        request_id
    }

    /// An operator bootstraps the fleet with the voters of the settings, each with its present incarnation; it is
    /// retried until it is agreed. A second bootstrap is for a fleet whose voters have lost their disks: since
    /// every voter of the settings has to promise, the earlier incarnations can't form a majority of their own
    /// any more. What this member knows of the earlier bootstrap is taken over.
    pub fn bootstrap(&mut self, now: u64, nonce: u64) {
        self.pending_bootstrap = Some(self.record.next_bootstrap_id(nonce));
        self.lead(now);
    }

    /// Sends the requests made here to all voters until the record has them.
    pub(super) fn forward_requests(&mut self, now: u64) {
        let (record, give_up, pace) =
            (&self.record, self.settings.change_timeout_us, self.settings.renewal_interval_us);
        self.requests.retain(|wanted| {
            let open = match &wanted.request {
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
            // Guards against a grant after the supervisor has given up: it has to go on asking.
            let lasts =
                if matches!(wanted.request, RequestKind::TakeOut { .. }) { 3 * pace } else { give_up };
            open && !record.has_applied(wanted.request_id) && now < wanted.since + lasts
        });
        // Requests for leave are passed on only while the supervisor repeats them, since a voter that receives
        // one keeps it for a while.
        let fresh = |wanted: &&PendingRequest| {
            !matches!(wanted.request, RequestKind::TakeOut { .. }) || now < wanted.since + 2 * pace
        };
        let mine = self
            .requests
            .iter()
            .filter(|wanted| wanted.request_id.member == self.settings.member)
            .filter(fresh);
        let mine: Vec<PendingRequest> = mine.cloned().collect();
        for voter in self.voters().into_iter().filter(|voter| *voter != self.settings.member) {
            for PendingRequest { request, request_id, .. } in &mine {
                self.environment.send(
                    voter,
                    Message::OperatorRequest { request: request.clone(), request_id: *request_id },
                );
            }
        }
    }

    /// Another member passes a request on.
    pub(super) fn take_request(&mut self, now: u64, request: RequestKind, request_id: RequestId) {
        let known = self.requests.iter_mut().find(|wanted| wanted.request_id == request_id);
        let asked_again = known.map(|wanted| wanted.since = now).is_some();
        if !asked_again && !self.record.has_applied(request_id) && self.requests.len() < MOST_REQUESTS {
            self.requests.push(PendingRequest { request, request_id, since: now });
            self.lead(now);
        }
    }
}
