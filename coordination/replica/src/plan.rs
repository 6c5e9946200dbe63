//! Which view should come next, by what is known of the replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle_agreement::Voter;

use crate::view::{ChainLink, Member, View};

/// A joiner that lacks no more entries than these is let in at once.
const SMALL_LAG: u64 = 64;

/// A voter that takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The last view in which its log was durably complete.
    pub complete: u64,
    pub committed: u64,
    pub is_leaving: bool,
}

/// A replica that could become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub endpoint: SocketAddr,
    pub birth: u64,
    pub zone: String,
    pub region: String,
}

/// What is known of the replicas.
#[derive(Clone, Debug, Default)]
pub struct Situation {
    pub tolerated_losses: usize,
    /// Voters that take part; others are not to be in the next chain.
    pub present: BTreeMap<Voter, Standing>,
    /// Voters that may be replaced.
    pub lost: BTreeSet<Voter>,
    pub candidates: Vec<Candidate>,
    /// Pairs that do not hear each other.
    pub apart: BTreeSet<(Voter, Voter)>,
    /// What is known of zones and regions.
    pub places: BTreeMap<SocketAddr, (String, String)>,
}

impl Situation {
    fn are_apart(&self, one: Voter, other: Voter) -> bool {
        self.apart.contains(&(one, other)) || self.apart.contains(&(other, one))
    }

    fn is_leaving(&self, voter: Voter) -> bool {
        self.present.get(&voter).is_some_and(|standing| standing.is_leaving)
    }
}

/// The next view; none if too few take part for a chain that may take writes.
pub fn next_view(found: &View, situation: &Situation) -> Option<View> {
    let mut next = View { number: found.number + 1, ..found.clone() };
    plan_boards(&mut next, situation);
    plan_chain(found, &mut next, situation)?;
    forget_members(&mut next);
    learn_places(&mut next, situation);
    next.takes_writes(situation.tolerated_losses).then_some(next)
}

/// Ends a replacement of voters, or begins one.
fn plan_boards(next: &mut View, situation: &Situation) {
    if let [_, new] = next.boards.as_slice() {
        let present = new.iter().filter(|voter| situation.present.contains_key(voter)).count();
        if 2 * present > new.len() {
            next.boards.remove(0);
        }
        return;
    }
    let [old] = next.boards.as_slice() else { return };
    let mut new = old.clone();
    let mut candidates = situation.candidates.clone();
    let lost: Vec<Voter> = old.iter().filter(|voter| situation.lost.contains(voter)).copied().collect();
    for voter in lost {
        if let Some(candidate) = take_successor(next, voter, &mut candidates) {
            new.retain(|other| *other != voter);
            new.push(admit(next, candidate));
        }
    }
    grow(next, &mut new, candidates, situation.tolerated_losses);
    if next.boards[0] != new {
        next.boards.push(new);
    }
}

/// The best candidate for a lost voter's place: at its endpoint, else in its zone, else any.
fn take_successor(view: &View, lost: Voter, candidates: &mut Vec<Candidate>) -> Option<Candidate> {
    let member = view.member(lost)?;
    let at_endpoint = candidates.iter().position(|candidate| candidate.endpoint == member.endpoint);
    let in_zone = candidates.iter().position(|candidate| candidate.zone == member.zone);
    let any = (!candidates.is_empty()).then_some(0);
    at_endpoint.or(in_zone).or(any).map(|index| candidates.remove(index))
}

fn admit(view: &mut View, candidate: Candidate) -> Voter {
    let voter = Voter { member: view.next_member, birth: candidate.birth };
    let Candidate { endpoint, zone, region, .. } = candidate;
    view.members.push(Member { voter, endpoint, zone, region });
    view.next_member += 1;
    voter
}

/// Adds voters up to the wanted number, and keeps the number odd where it can.
fn grow(view: &mut View, board: &mut Vec<Voter>, candidates: Vec<Candidate>, tolerated_losses: usize) {
    let wanted = 2 * tolerated_losses + 1;
    let mut reached = (board.len() + candidates.len()).min(wanted);
    if reached.is_multiple_of(2) {
        reached -= 1;
    }
    let room = reached.saturating_sub(board.len());
    for candidate in candidates.into_iter().take(room) {
        board.push(admit(view, candidate));
    }
}

/// Survivors in their order, then those that join; the first of them has all that any of them has.
fn plan_chain(found: &View, next: &mut View, situation: &Situation) -> Option<()> {
    let voters = next.voters();
    let stays =
        |link: &&ChainLink| voters.contains(&link.voter) && situation.present.contains_key(&link.voter);
    let is_complete = |link: &ChainLink| situation.present[&link.voter].complete >= link.since;
    let kept: Vec<ChainLink> = found.chain.iter().filter(stays).copied().collect();
    let (complete, joining): (Vec<ChainLink>, Vec<ChainLink>) = kept.into_iter().partition(is_complete);
    let newest = complete.iter().map(|link| situation.present[&link.voter].committed).max()?;

    let mut chain = [complete, joining].concat();
    let mut late = Vec::new();
    for (voter, standing) in joiners(found, &voters, situation) {
        let last = chain.last()?.voter;
        let is_ready = standing.committed + SMALL_LAG >= newest && !situation.are_apart(last, voter);
        let link = ChainLink { voter, since: next.number };
        if is_ready {
            chain.push(link);
        } else {
            late.push(link);
        }
    }
    let required = next.required_chain(situation.tolerated_losses);
    drop_leaving(&mut chain, situation, required);
    let lacking = required.saturating_sub(chain.len());
    chain.extend(late.into_iter().take(lacking));
    next.chain = chain;
    Some(())
}

/// Voters that are not in the chain but could be, the most advanced first.
fn joiners(found: &View, voters: &[Voter], situation: &Situation) -> Vec<(Voter, Standing)> {
    let is_outside = |voter: &Voter| found.position(*voter).is_none() && !situation.is_leaving(*voter);
    let outside = voters.iter().copied().filter(is_outside);
    let mut joiners: Vec<(Voter, Standing)> = outside
        .filter_map(|voter| situation.present.get(&voter).map(|standing| (voter, *standing)))
        .collect();
    joiners.sort_by_key(|(_, standing)| std::cmp::Reverse(standing.committed));
    joiners
}

/// Those that are about to stop go at once where enough others stay, one of them with a complete log.
fn drop_leaving(chain: &mut Vec<ChainLink>, situation: &Situation, required: usize) {
    let is_complete = |link: &ChainLink| situation.present[&link.voter].complete >= link.since;
    let rest: Vec<ChainLink> =
        chain.iter().filter(|link| !situation.is_leaving(link.voter)).copied().collect();
    if rest.len() >= required && rest.iter().any(is_complete) {
        *chain = rest;
    }
}

fn forget_members(view: &mut View) {
    let voters = view.voters();
    view.members.retain(|member| voters.contains(&member.voter));
}

fn learn_places(view: &mut View, situation: &Situation) {
    for member in &mut view.members {
        if let Some((zone, region)) = situation.places.get(&member.endpoint) {
            member.zone.clone_from(zone);
            member.region.clone_from(region);
        }
    }
}
