//! Reconfiguration that an operator forces: voters that never come back and are too many for the others to decide.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use snafu::{Snafu, ensure};
use whinspindle_consensus::Voter;

use super::Replica;
use crate::application::Application;
use crate::planning::{VoterState, next_view};
use crate::protocol_rules::ProtocolRules;
use crate::view::View;

/// What a forced reconfiguration would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForcedReconfiguration {
    /// The number of the view that it starts from.
    pub view: u64,
    /// Whether commands that were acknowledged may be lost, as all replicas that have them may be among the lost ones.
    pub may_lose_commands: bool,
}

/// Why a reconfiguration is not forced.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum ReconfigurationError {
    /// No voter has this endpoint.
    #[snafu(display("{endpoint} is no voter"))]
    NotAVoter {
        /// The endpoint.
        endpoint: SocketAddr,
    },
    /// Heartbeats of this voter arrive.
    #[snafu(display("{endpoint} is there"))]
    Alive {
        /// Its endpoint.
        endpoint: SocketAddr,
    },
    /// The voters can decide without it.
    #[snafu(display("the voters that are there can decide by themselves"))]
    NotNeeded,
    /// A voter is neither there nor declared lost.
    #[snafu(display("{endpoint} is neither there nor among the lost ones: bring it back, or name it too"))]
    Unreachable {
        /// Its endpoint.
        endpoint: SocketAddr,
    },
    /// Too few replicas are there for a chain that takes commands.
    #[snafu(display("too few controllers are there: start others in the place of the lost ones first"))]
    TooFewReplicas,
}

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// What [`crate::Input::DeclareLost`] would do at this replica.
    ///
    /// # Errors
    ///
    /// Why the reconfiguration can't be forced, or need not be.
    pub fn forced_reconfiguration(
        &self,
        now: u64,
        lost: &[SocketAddr],
    ) -> Result<ForcedReconfiguration, ReconfigurationError> {
        let view = self.view();
        for endpoint in lost {
            ensure!(!self.voters_at(*endpoint).is_empty(), NotAVoterSnafu { endpoint: *endpoint });
            let is_here = *endpoint == self.settings.endpoint;
            let has_voter = |voter: &Voter| self.peers.healthy_heartbeat(now, view, *voter).is_some();
            let is_alive = is_here || self.voters_at(*endpoint).iter().any(has_voter);
            ensure!(!is_alive, AliveSnafu { endpoint: *endpoint });
        }
        ensure!(!self.has_healthy_quorum(now), NotNeededSnafu);
        let declared: BTreeSet<Voter> = lost.iter().flat_map(|endpoint| self.voters_at(*endpoint)).collect();
        let is_there = |voter: Voter| self.is_healthy_voter(now, voter);
        let is_lost = |voter: Voter| declared.contains(&voter) || self.is_replaced(now, voter);
        let absent = view.voters().into_iter().find(|voter| !is_there(*voter) && !is_lost(*voter));
        if let Some(endpoint) = absent.and_then(|voter| view.endpoint(voter)) {
            return UnreachableSnafu { endpoint }.fail();
        }
        ensure!(self.plans_view_without(now, &declared), TooFewReplicasSnafu);
        let may_lose_commands = !view.has_quorum::<L::Consensus>(is_there, is_lost);
        Ok(ForcedReconfiguration { view: view.number, may_lose_commands })
    }

    /// Takes voters for lost for good, as an operator has declared. They are forgotten with the next view.
    pub(super) fn declare_lost(&mut self, now: u64, endpoints: &[SocketAddr]) {
        if self.forced_reconfiguration(now, endpoints).is_ok() {
            self.declared_lost = endpoints.iter().flat_map(|endpoint| self.voters_at(*endpoint)).collect();
            self.view_change.lost_contact();
        }
    }

    /// Whether a reconfiguration is forced: any number of voters decides.
    pub(super) fn is_forced(&self) -> bool {
        !self.declared_lost.is_empty()
    }

    /// The voters of the present view at an endpoint: two while one is replaced by another at the same endpoint.
    fn voters_at(&self, endpoint: SocketAddr) -> Vec<Voter> {
        let members = self.view().members.iter().filter(|member| member.endpoint == endpoint);
        members.map(|member| member.voter).collect()
    }

    /// Whether there is a next view with the replicas that are there, without these voters.
    fn plans_view_without(&self, now: u64, declared: &BTreeSet<Voter>) -> bool {
        let view: &View = self.view();
        let state = |voter: Voter| {
            let heartbeat = self.peers.healthy_heartbeat(now, view, voter)?;
            Some((voter, VoterState::promised(heartbeat.report, heartbeat.is_shutting_down)))
        };
        let own = self.me().map(|me| (me, VoterState::promised(self.report(), self.is_shutting_down)));
        let present = view.voters().into_iter().filter_map(state).chain(own).collect();
        let mut input = self.planning_input(now, view, present);
        input.lost.extend(declared);
        input.forces_leader = true;
        next_view(view, &input).is_some()
    }

    /// Whether each voter is there or known to be lost, where a reconfiguration is forced.
    pub(super) fn has_forced_quorum(&self, now: u64) -> bool {
        let is_known = |voter: Voter| {
            self.is_healthy_voter(now, voter)
                || self.declared_lost.contains(&voter)
                || self.is_replaced(now, voter)
        };
        self.is_forced() && self.view().voters().into_iter().all(is_known)
    }

    /// Whether a voter is this replica, or connected and not stalled.
    pub(super) fn is_healthy_voter(&self, now: u64, voter: Voter) -> bool {
        self.me() == Some(voter) || self.peers.healthy_heartbeat(now, self.view(), voter).is_some()
    }

    /// Whether another incarnation is connected at the endpoint of a voter, and can answer for it that it is lost.
    pub(super) fn is_replaced(&self, now: u64, voter: Voter) -> bool {
        self.view().member(voter).is_some_and(|member| {
            self.peers.has_new_incarnation(member) && self.peers.is_connected(now, member.endpoint)
        })
    }

    /// Forgets declared voters that the present view does not have any more.
    pub(super) fn forget_declared(&mut self) {
        let voters = self.state.decided.view.voters();
        self.declared_lost.retain(|voter| voters.contains(voter));
    }
}
