//! Reconfiguration forced by an operator, for when so many voters are permanently lost that the others
//! cannot decide.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use snafu::{Snafu, ensure};
use whinspindle_consensus::Voter;

use super::Replica;
use crate::application::Application;
use crate::planning::{VoterState, next_view};
use crate::protocol_rules::ProtocolRules;
use crate::view::View;

/// The consequences of a forced reconfiguration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForcedReconfiguration {
    /// The number of the view that the reconfiguration starts from.
    pub view: u64,
    /// Whether acknowledged commands may be lost, because all replicas that store them may be among the
    /// lost ones.
    pub may_lose_commands: bool,
}

/// Why a reconfiguration cannot be forced. The texts are sent to operators in HTTP answers.
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
        /// The endpoint of the voter.
        endpoint: SocketAddr,
    },
    /// The reachable voters can decide without a forced reconfiguration.
    #[snafu(display("the voters that are there can decide by themselves"))]
    NotNeeded,
    /// A voter is neither reachable nor declared lost.
    #[snafu(display("{endpoint} is neither there nor among the lost ones: bring it back, or name it too"))]
    Unreachable {
        /// The endpoint of the voter.
        endpoint: SocketAddr,
    },
    /// Too few replicas are reachable for a chain that accepts writes.
    #[snafu(display("too few controllers are there: start others in the place of the lost ones first"))]
    TooFewReplicas,
}

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Checks what [`crate::Input::DeclareLost`] would do at this replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the reconfiguration cannot be forced or is not necessary.
    pub fn forced_reconfiguration(
        &self,
        now: u64,
        lost: &[SocketAddr],
    ) -> Result<ForcedReconfiguration, ReconfigurationError> {
        let view = self.view();
        for endpoint in lost {
            ensure!(!self.voters_at(*endpoint).is_empty(), NotAVoterSnafu { endpoint: *endpoint });
            let is_own = *endpoint == self.settings.endpoint;
            let is_healthy = |voter: &Voter| self.peers.healthy_heartbeat(now, view, *voter).is_some();
            let is_alive = is_own || self.voters_at(*endpoint).iter().any(is_healthy);
            ensure!(!is_alive, AliveSnafu { endpoint: *endpoint });
        }
        ensure!(!self.has_healthy_quorum(now), NotNeededSnafu);
        let declared: BTreeSet<Voter> = lost.iter().flat_map(|endpoint| self.voters_at(*endpoint)).collect();
        let is_reachable = |voter: Voter| self.is_healthy_voter(now, voter);
        let is_lost = |voter: Voter| declared.contains(&voter) || self.is_replaced(now, voter);
        let unreachable = view.voters().into_iter().find(|voter| !is_reachable(*voter) && !is_lost(*voter));
        if let Some(endpoint) = unreachable.and_then(|voter| view.endpoint(voter)) {
            return UnreachableSnafu { endpoint }.fail();
        }
        ensure!(self.can_plan_view_without(now, &declared), TooFewReplicasSnafu);
        let may_lose_commands = !view.has_quorum::<Rules::Consensus>(is_reachable, is_lost);
        Ok(ForcedReconfiguration { view: view.number, may_lose_commands })
    }

    /// Handles that an operator declares voters permanently lost. The declaration is removed with the next
    /// view.
    pub(super) fn declare_lost(&mut self, now: u64, endpoints: &[SocketAddr]) {
        if self.forced_reconfiguration(now, endpoints).is_ok() {
            self.declared_lost = endpoints.iter().flat_map(|endpoint| self.voters_at(*endpoint)).collect();
            self.view_change.reset_backoff();
        }
    }

    /// Whether a reconfiguration is being forced, so that any number of voters is a quorum.
    pub(super) fn is_forced(&self) -> bool {
        !self.declared_lost.is_empty()
    }

    /// The voters of the current view at an endpoint. There are two while a voter is replaced at its
    /// endpoint.
    fn voters_at(&self, endpoint: SocketAddr) -> Vec<Voter> {
        let members = self.view().members.iter().filter(|member| member.endpoint == endpoint);
        members.map(|member| member.voter).collect()
    }

    /// Whether the reachable replicas can form a next view without the declared voters.
    fn can_plan_view_without(&self, now: u64, declared: &BTreeSet<Voter>) -> bool {
        let view: &View = self.view();
        let state = |voter: Voter| {
            let heartbeat = self.peers.healthy_heartbeat(now, view, voter)?;
            Some((voter, VoterState::promised(heartbeat.report, heartbeat.is_shutting_down)))
        };
        let own =
            self.own_voter().map(|voter| (voter, VoterState::promised(self.report(), self.is_shutting_down)));
        let present = view.voters().into_iter().filter_map(state).chain(own).collect();
        let mut input = self.planning_input(now, view, present);
        input.lost.extend(declared);
        input.forces_leader = true;
        next_view(view, &input).is_some()
    }

    /// Whether a reconfiguration is being forced and each voter is either healthy or known to be lost.
    pub(super) fn has_forced_quorum(&self, now: u64) -> bool {
        let is_state_known = |voter: Voter| {
            self.is_healthy_voter(now, voter)
                || self.declared_lost.contains(&voter)
                || self.is_replaced(now, voter)
        };
        self.is_forced() && self.view().voters().into_iter().all(is_state_known)
    }

    /// Whether a voter is this replica, or connected and not stalled.
    pub(super) fn is_healthy_voter(&self, now: u64, voter: Voter) -> bool {
        self.own_voter() == Some(voter) || self.peers.healthy_heartbeat(now, self.view(), voter).is_some()
    }

    /// Whether another incarnation is connected at the endpoint of a voter and can confirm that the voter
    /// is lost.
    pub(super) fn is_replaced(&self, now: u64, voter: Voter) -> bool {
        self.view().member(voter).is_some_and(|member| {
            self.peers.has_new_incarnation(member) && self.peers.is_connected(now, member.endpoint)
        })
    }

    /// Removes declarations of voters that are not in the current view.
    pub(super) fn prune_declared_lost(&mut self) {
        let voters = self.state.decided.view.voters();
        self.declared_lost.retain(|voter| voters.contains(voter));
    }
}
