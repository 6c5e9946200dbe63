//! The membership view: who votes, who is in the chain and in which order.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use whinspindle_consensus::{RegisterValue, Voter};

use crate::placement::FailureDomain;

/// A replica as the view knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    pub voter: Voter,
    pub endpoint: SocketAddr,
    /// Empty as long as it is not known.
    pub zone: String,
    pub region: String,
}

impl Member {
    pub fn failure_domain(&self) -> FailureDomain {
        FailureDomain { zone: self.zone.clone(), region: self.region.clone() }
    }
}

/// A place in the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChainLink {
    pub voter: Voter,
    /// The view since which it has been in the chain without a break.
    pub since: u64,
}

/// The value of the agreed register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// Grows by one with each change; 0 where no view is known yet.
    pub number: u64,
    pub members: Vec<Member>,
    /// Who votes: a majority of each. Two stand while voters are replaced.
    pub voter_sets: Vec<Vec<Voter>>,
    /// Head first, tail last.
    pub chain: Vec<ChainLink>,
    /// Chains of views before, oldest first, of which a member may be needed where no member of the present chain has
    /// all that was committed.
    pub former: Vec<Vec<ChainLink>>,
    /// The number that the next new member gets.
    pub next_member: u16,
}

/// The number of the view with which a system begins.
pub const BOOTSTRAP_VIEW: u64 = 1;

impl RegisterValue for View {
    fn voter_sets(&self) -> &[Vec<Voter>] {
        &self.voter_sets
    }

    /// All bootstrap members compute the same first view, so that it needs no agreement.
    fn is_bootstrapped(&self) -> bool {
        true
    }
}

impl View {
    /// The first view: all seeds vote and are in the chain, in the order of their endpoints.
    pub fn bootstrap(seeds: &[SocketAddr]) -> View {
        let mut endpoints = seeds.to_vec();
        endpoints.sort_unstable();
        endpoints.dedup();
        let member = |(number, endpoint): (usize, &SocketAddr)| Member {
            voter: Voter { member: number as u16, incarnation: 0 },
            endpoint: *endpoint,
            zone: String::new(),
            region: String::new(),
        };
        let members: Vec<Member> = endpoints.iter().enumerate().map(member).collect();
        let voters: Vec<Voter> = members.iter().map(|member| member.voter).collect();
        let link = |voter: &Voter| ChainLink { voter: *voter, since: BOOTSTRAP_VIEW };
        View {
            number: BOOTSTRAP_VIEW,
            chain: voters.iter().map(link).collect(),
            former: Vec::new(),
            next_member: voters.len() as u16,
            voter_sets: vec![voters],
            members,
        }
    }

    pub fn is_known(&self) -> bool {
        self.number > 0
    }

    pub fn member(&self, voter: Voter) -> Option<&Member> {
        self.members.iter().find(|member| member.voter == voter)
    }

    pub fn endpoint(&self, voter: Voter) -> Option<SocketAddr> {
        self.member(voter).map(|member| member.endpoint)
    }

    pub fn member_at(&self, endpoint: SocketAddr) -> Option<&Member> {
        self.members.iter().find(|member| member.endpoint == endpoint)
    }

    /// The place in the chain, from 0 at the head.
    pub fn position(&self, voter: Voter) -> Option<usize> {
        self.chain.iter().position(|link| link.voter == voter)
    }

    pub fn link(&self, voter: Voter) -> Option<&ChainLink> {
        self.chain.iter().find(|link| link.voter == voter)
    }

    pub fn head(&self) -> Option<Voter> {
        self.chain.first().map(|link| link.voter)
    }

    pub fn tail(&self) -> Option<Voter> {
        self.chain.last().map(|link| link.voter)
    }

    pub fn predecessor(&self, voter: Voter) -> Option<Voter> {
        let position = self.position(voter)?.checked_sub(1)?;
        Some(self.chain[position].voter)
    }

    pub fn successor(&self, voter: Voter) -> Option<Voter> {
        let position = self.position(voter)?;
        self.chain.get(position + 1).map(|link| link.voter)
    }

    /// All voters of all voter_sets, each once.
    pub fn voters(&self) -> Vec<Voter> {
        let mut voters: Vec<Voter> = self.voter_sets.iter().flatten().copied().collect();
        voters.sort_unstable();
        voters.dedup();
        voters
    }

    /// Whether the voters fulfil a condition in a majority of each voter_set.
    pub fn has_majority(&self, holds: impl Fn(Voter) -> bool) -> bool {
        let counts = |voter_set: &Vec<Voter>| {
            2 * voter_set.iter().filter(|voter| holds(**voter)).count() > voter_set.len()
        };
        !self.voter_sets.is_empty() && self.voter_sets.iter().all(counts)
    }

    /// The length of a chain that outlives the tolerated losses and has a member in every majority. Where there are too
    /// few voters for the tolerated losses, a majority of them is enough: those that are missing are lost already.
    pub fn required_chain(&self, tolerated_losses: usize) -> usize {
        let voters = self.voter_sets.iter().map(Vec::len).max().unwrap_or(0);
        (tolerated_losses + 1).min(voters / 2 + 1).max(voters.div_ceil(2))
    }

    /// Whether the chain may take writes: it outlives the tolerated losses, and no majority that might agree on
    /// another view can do so without a member of the chain.
    pub fn takes_writes(&self, tolerated_losses: usize) -> bool {
        let meets_all_majorities = |voter_set: &Vec<Voter>| {
            let inside = voter_set.iter().filter(|voter| self.position(**voter).is_some()).count();
            let majority = voter_set.len() / 2 + 1;
            inside + majority > voter_set.len()
        };
        let is_long_enough = self.chain.len() >= self.required_chain(tolerated_losses);
        is_long_enough && self.voter_sets.iter().any(meets_all_majorities)
    }

    /// Whether voters and chain are the same.
    pub fn is_alike(&self, other: &View) -> bool {
        let chain = |view: &View| view.chain.iter().map(|link| link.voter).collect::<Vec<Voter>>();
        self.voter_sets == other.voter_sets && chain(self) == chain(other)
    }
}
