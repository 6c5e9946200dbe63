//! What operators and supervisors ask for at this member, and what other members pass on, until the record
//! knows it.

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

    /// What an operator or a supervisor wants. Asking again with the same serial number is harmless.
    pub fn submit(&mut self, now: u64, request: RequestKind, serial: u64) -> RequestId {
        let request_id = RequestId { by: self.settings.me, serial };
        match self.requests.iter_mut().find(|wanted| wanted.request_id == request_id) {
            Some(wanted) => wanted.since = now,
            None => self.requests.push(PendingRequest { request, request_id, since: now }),
        }
        self.forward_requests(now);
        self.lead(now);
        request_id
    }

    /// An operator founds the fleet: the voters of the file begin to agree, each of them, with whatever incarnation
    /// it has now. Goes on until it is done. Anew it is for a fleet whose voters have lost their memories: as
    /// each voter of the file has to promise, those with the incarnations of before can't be a majority of their
    /// own any more. What is known here of the bootstrap before is taken over.
    pub fn found(&mut self, now: u64, nonce: u64) {
        self.found = Some(self.record.next_bootstrap_id(nonce));
        self.lead(now);
    }

    /// The wishes made here go to all voters until the record knows them.
    pub(super) fn forward_requests(&mut self, now: u64) {
        let (record, give_up, pace) = (&self.record, self.settings.give_up, self.settings.pace);
        self.requests.retain(|wanted| {
            let open = match &wanted.request {
                RequestKind::Propose { .. } => true,
                RequestKind::Withdraw { number } => {
                    record.next.is_some_and(|change| change.policy.number == *number)
                }
                RequestKind::Out { unit, .. } => record.out_as(*unit).is_none(),
                RequestKind::Back { unit, .. } => record.out_as(*unit).is_some(),
                RequestKind::Halt { .. } => record.halted.is_none(),
                RequestKind::Resume => record.halted.is_some(),
                RequestKind::Release { .. } => record.release.is_none(),
                RequestKind::Turn { number } | RequestKind::Leave { number } => {
                    record.release.as_ref().is_some_and(|release| release.number == *number)
                }
                RequestKind::Voters { old, .. } => {
                    record.voter_sets.iter().flatten().any(|voter| voter.member == *old)
                }
            };
            // Guards against a unit let out when its supervisor has long given up: it has to go on asking.
            let lasts = if matches!(wanted.request, RequestKind::Out { .. }) { 3 * pace } else { give_up };
            open && !record.knows(wanted.request_id) && now < wanted.since + lasts
        });
        // Of those that have to be asked for again and again only the ones that just were: what is passed on
        // lasts anew.
        let fresh = |wanted: &&PendingRequest| {
            !matches!(wanted.request, RequestKind::Out { .. }) || now < wanted.since + 2 * pace
        };
        let mine =
            self.requests.iter().filter(|wanted| wanted.request_id.by == self.settings.me).filter(fresh);
        let mine: Vec<PendingRequest> = mine.cloned().collect();
        for voter in self.voters().into_iter().filter(|voter| *voter != self.settings.me) {
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
        if !asked_again && !self.record.knows(request_id) && self.requests.len() < MOST_REQUESTS {
            self.requests.push(PendingRequest { request, request_id, since: now });
            self.lead(now);
        }
    }
}
