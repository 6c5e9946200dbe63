//! The membership view: the voters, and the members of the chain in order.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use whinspindle_consensus::{ConsensusRules, RegisterValue, Voter};

use crate::placement::FailureDomain;

/// A voting replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The member's identity as a voter.
    pub voter: Voter,
    /// The address at which other replicas reach it.
    pub endpoint: SocketAddr,
    /// The zone; empty until a heartbeat has reported it.
    pub zone: String,
    /// The region; empty until a heartbeat has reported it.
    pub region: String,
}

impl Member {
    /// The zone and region of the member.
    pub fn failure_domain(&self) -> FailureDomain {
        FailureDomain { zone: self.zone.clone(), region: self.region.clone() }
    }
}

/// A member of the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChainLink {
    /// The member's identity as a voter.
    pub voter: Voter,
    /// The view since which the member has been in the chain without interruption.
    pub since_view: u64,
}

/// A membership view. It is the value of the register that the voters agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// Incremented with each view; 0 if no view is known yet.
    pub number: u64,
    /// All voters, with their endpoints.
    pub members: Vec<Member>,
    /// The voter sets. A majority of each set is required to decide; there are two sets while voters are
    /// being replaced (joint consensus).
    pub voter_sets: Vec<Vec<Voter>>,
    /// The chain, from head to tail.
    pub chain: Vec<ChainLink>,
    /// The chains of earlier views, oldest first. A member of these chains leads the next chain if no
    /// member of the current chain has all committed entries.
    pub former_chains: Vec<Vec<ChainLink>>,
    /// The member number that the next new member gets.
    pub next_member: u16,
}

/// The number of the first view of a system.
pub const BOOTSTRAP_VIEW: u64 = 1;

impl RegisterValue for View {
    fn voter_sets(&self) -> &[Vec<Voter>] {
        &self.voter_sets
    }

    /// Always true: all bootstrap members compute the same first view, so that it needs no agreement.
    fn is_bootstrapped(&self) -> bool {
        true
    }
}

impl View {
    /// Creates the first view. All seeds are voters and members of the chain, in the order of their
    /// endpoints.
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
        let link = |voter: &Voter| ChainLink { voter: *voter, since_view: BOOTSTRAP_VIEW };
        View {
            number: BOOTSTRAP_VIEW,
            chain: voters.iter().map(link).collect(),
            former_chains: Vec::new(),
            next_member: voters.len() as u16,
            voter_sets: vec![voters],
            members,
        }
    }

    /// Whether a view is known. False for the placeholder of a replica that knows no view yet.
    pub fn is_known(&self) -> bool {
        self.number > 0
    }

    /// The member with this identity as a voter.
    pub fn member(&self, voter: Voter) -> Option<&Member> {
        self.members.iter().find(|member| member.voter == voter)
    }

    /// The endpoint of a voter.
    pub fn endpoint(&self, voter: Voter) -> Option<SocketAddr> {
        self.member(voter).map(|member| member.endpoint)
    }

    /// The member at this endpoint.
    pub fn member_at(&self, endpoint: SocketAddr) -> Option<&Member> {
        self.members.iter().find(|member| member.endpoint == endpoint)
    }

    /// Whether the replica at an endpoint is a member with this incarnation.
    pub fn has_member(&self, endpoint: SocketAddr, incarnation: u64) -> bool {
        let is_match =
            |member: &Member| member.endpoint == endpoint && member.voter.incarnation == incarnation;
        self.members.iter().any(is_match)
    }

    /// The position of a voter in the chain, 0 at the head.
    pub fn chain_position(&self, voter: Voter) -> Option<usize> {
        self.chain.iter().position(|link| link.voter == voter)
    }

    /// The entry of a voter in the chain.
    pub fn chain_link(&self, voter: Voter) -> Option<&ChainLink> {
        self.chain.iter().find(|link| link.voter == voter)
    }

    /// The first member of the chain, which accepts commands.
    pub fn head(&self) -> Option<Voter> {
        self.chain.first().map(|link| link.voter)
    }

    /// The last member of the chain, which commits entries and answers commands.
    pub fn tail(&self) -> Option<Voter> {
        self.chain.last().map(|link| link.voter)
    }

    /// The member before a voter in the chain.
    pub fn predecessor(&self, voter: Voter) -> Option<Voter> {
        let position = self.chain_position(voter)?.checked_sub(1)?;
        Some(self.chain[position].voter)
    }

    /// The member after a voter in the chain.
    pub fn successor(&self, voter: Voter) -> Option<Voter> {
        let position = self.chain_position(voter)?;
        self.chain.get(position + 1).map(|link| link.voter)
    }

    /// The voters of all voter sets, without duplicates.
    pub fn voters(&self) -> Vec<Voter> {
        let mut voters: Vec<Voter> = self.voter_sets.iter().flatten().copied().collect();
        voters.sort_unstable();
        voters.dedup();
        voters
    }

    /// Whether a condition is true for a majority of each voter set.
    pub fn has_majority(&self, condition: impl Fn(Voter) -> bool) -> bool {
        let is_majority = |voter_set: &Vec<Voter>| {
            2 * voter_set.iter().filter(|voter| condition(**voter)).count() > voter_set.len()
        };
        !self.voter_sets.is_empty() && self.voter_sets.iter().all(is_majority)
    }

    /// Whether the voters for which a condition is true are a quorum of each voter set, given the
    /// permanently lost voters ([`ConsensusRules::is_quorum`]).
    pub fn has_quorum<Rules: ConsensusRules>(
        &self,
        condition: impl Fn(Voter) -> bool,
        is_lost: impl Fn(Voter) -> bool,
    ) -> bool {
        let has_quorum = |voter_set: &Vec<Voter>| {
            let votes = voter_set.iter().filter(|voter| condition(**voter)).count();
            let lost = voter_set.iter().filter(|voter| !condition(**voter) && is_lost(**voter)).count();
            Rules::is_quorum(votes, lost, voter_set.len())
        };
        !self.voter_sets.is_empty() && self.voter_sets.iter().all(has_quorum)
    }

    /// The minimum length of a chain that survives the tolerated losses and has a member in every majority.
    ///
    /// If there are too few voters for the tolerated losses, a majority of the voters suffices, because the
    /// missing voters count as lost already.
    pub fn required_chain_length(&self, tolerated_losses: usize) -> usize {
        let voters = self.voter_sets.iter().map(Vec::len).max().unwrap_or(0);
        (tolerated_losses + 1).min(voters / 2 + 1).max(voters.div_ceil(2))
    }

    /// Whether the chain accepts writes. It must survive the tolerated losses, and every majority that
    /// could decide on another view must include a member of the chain.
    pub fn accepts_writes(&self, tolerated_losses: usize) -> bool {
        let intersects_all_majorities = |voter_set: &Vec<Voter>| {
            let chain_voters =
                voter_set.iter().filter(|voter| self.chain_position(**voter).is_some()).count();
            let majority = voter_set.len() / 2 + 1;
            chain_voters + majority > voter_set.len()
        };
        let is_long_enough = self.chain.len() >= self.required_chain_length(tolerated_losses);
        is_long_enough && self.voter_sets.iter().any(intersects_all_majorities)
    }

    /// Whether the voter sets and the chain are the same as in another view.
    pub fn has_same_voters_and_chain(&self, other: &View) -> bool {
        let chain = |view: &View| view.chain.iter().map(|link| link.voter).collect::<Vec<Voter>>();
        self.voter_sets == other.voter_sets && chain(self) == chain(other)
    }
}
