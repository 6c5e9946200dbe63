//! What operators and supervisors ask for at this member, and what other members pass on, until the record
//! knows it.

use super::{Member, MemberRules, Outside};
use crate::message::{Message, Want};
use crate::record::Wish;

/// Requests that a member holds at once.
const MOST_REQUESTS: usize = 64;

/// A request that the record does not know yet, and when it was asked for last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub(super) want: Want,
    pub(super) wish: Wish,
    pub(super) since: u64,
}

impl<O: Outside, L: MemberRules> Member<O, L> {
    /// An operator proposes a policy here. The wish is known by its serial number, drawn by the caller.
    pub fn propose(&mut self, now: u64, text: &[u8], serial: u64) -> Wish {
        let hash = self.texts.put(text);
        self.want(now, Want::Propose { hash, length: text.len() as u32 }, serial)
    }

    /// An operator withdraws the change under way.
    pub fn withdraw(&mut self, now: u64, number: u64, serial: u64) -> Wish {
        self.want(now, Want::Withdraw { number }, serial)
    }

    /// What an operator or a supervisor wants. Asking again with the same serial number is harmless.
    pub fn want(&mut self, now: u64, want: Want, serial: u64) -> Wish {
        let wish = Wish { by: self.terms.me, serial };
        match self.requests.iter_mut().find(|wanted| wanted.wish == wish) {
            Some(wanted) => wanted.since = now,
            None => self.requests.push(PendingRequest { want, wish, since: now }),
        }
        self.forward_requests(now);
        self.lead(now);
        wish
    }

    /// An operator founds the fleet: the voters of the file begin to agree, each of them, with whatever incarnation
    /// it has now. Goes on until it is done. Anew it is for a fleet whose voters have lost their memories: as
    /// each voter of the file has to promise, those with the incarnations of before can't be a majority of their
    /// own any more. What is known here of the founding before is taken over.
    pub fn found(&mut self, now: u64, nonce: u64) {
        self.found = Some(self.record.next_founding(nonce));
        self.lead(now);
    }

    /// The wishes made here go to all voters until the record knows them.
    pub(super) fn forward_requests(&mut self, now: u64) {
        let (record, give_up, pace) = (&self.record, self.terms.give_up, self.terms.pace);
        self.requests.retain(|wanted| {
            let open = match &wanted.want {
                Want::Propose { .. } => true,
                Want::Withdraw { number } => {
                    record.next.is_some_and(|change| change.policy.number == *number)
                }
                Want::Out { unit, .. } => record.out_as(*unit).is_none(),
                Want::Back { unit, .. } => record.out_as(*unit).is_some(),
                Want::Halt { .. } => record.halted.is_none(),
                Want::Resume => record.halted.is_some(),
                Want::Release { .. } => record.release.is_none(),
                Want::Turn { number } | Want::Leave { number } => {
                    record.release.as_ref().is_some_and(|release| release.number == *number)
                }
                Want::Voters { old, .. } => {
                    record.voter_sets.iter().flatten().any(|voter| voter.member == *old)
                }
            };
            // Guards against a unit let out when its supervisor has long given up: it has to go on asking.
            let lasts = if matches!(wanted.want, Want::Out { .. }) { 3 * pace } else { give_up };
            open && !record.knows(wanted.wish) && now < wanted.since + lasts
        });
        // Of those that have to be asked for again and again only the ones that just were: what is passed on
        // lasts anew.
        let fresh = |wanted: &&PendingRequest| {
            !matches!(wanted.want, Want::Out { .. }) || now < wanted.since + 2 * pace
        };
        let mine = self.requests.iter().filter(|wanted| wanted.wish.by == self.terms.me).filter(fresh);
        let mine: Vec<PendingRequest> = mine.cloned().collect();
        for voter in self.voters().into_iter().filter(|voter| *voter != self.terms.me) {
            for PendingRequest { want, wish, .. } in &mine {
                self.outside.send(voter, Message::Wanted { want: want.clone(), wish: *wish });
            }
        }
    }

    /// Another member passes a request on.
    pub(super) fn take_request(&mut self, now: u64, want: Want, wish: Wish) {
        let known = self.requests.iter_mut().find(|wanted| wanted.wish == wish);
        let asked_again = known.map(|wanted| wanted.since = now).is_some();
        if !asked_again && !self.record.knows(wish) && self.requests.len() < MOST_REQUESTS {
            self.requests.push(PendingRequest { want, wish, since: now });
            self.lead(now);
        }
    }
}
