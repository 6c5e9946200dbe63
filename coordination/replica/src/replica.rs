//! The replica: its state, its start, and its queries.
//!
//! Each submodule implements one part of the protocol.

mod acceptor;
mod chain;
mod chain_commit;
mod chain_forwarding;
mod chain_head;
mod dispatch;
mod durability;
mod forced_reconfiguration;
mod heartbeats;
mod learner;
mod proposer;
mod replica_survey;
mod state_transfer;
mod submission;
mod view_change;

use std::collections::{BTreeSet, VecDeque};
use std::marker::PhantomData;
use std::net::SocketAddr;

use whinspindle_consensus::Voter;

pub use self::forced_reconfiguration::{ForcedReconfiguration, ReconfigurationError};
use crate::application::Application;
use crate::catch_up::CatchUpState;
use crate::disk::Disk;
use crate::durable::{DurableState, RecoverError};
use crate::jitter::Jitter;
use crate::message::{Message, Report};
use crate::output::Output;
use crate::peers::Peers;
use crate::protocol_rules::{ProtocolRules, StandardRules};
use crate::recent_entries::RecentEntries;
use crate::records::Records;
use crate::session::Session;
use crate::settings::ReplicaSettings;
use crate::submissions::Submissions;
use crate::view::{Member, View};
use crate::view_change_state::ViewChange;

/// A longer log should be replaced by a checkpoint even if the replica has not requested one.
const MIN_SHARED_LOG_LIMIT_BYTES: usize = 256 * 1024;
/// A replica that has been behind another one for longer does not count as part of the quorum.
const MAX_LAG_MS: u64 = 500;

/// The state machine of one replica.
///
/// Create it with [`Replica::new`] from the content of the disk, then pass every input to
/// [`Replica::handle`] and carry out the outputs. Times are in milliseconds of one monotonic clock of the
/// caller.
#[derive(Clone, Debug)]
pub struct Replica<A, Rules = StandardRules> {
    /// The application, which evaluates commands.
    application: A,
    /// The protocol rules, which have no state.
    rules: PhantomData<Rules>,
    /// The settings of the replica.
    settings: ReplicaSettings,
    /// The durable state, including records that are not written yet.
    state: DurableState,
    /// The queue in front of the disk.
    disk: Disk,
    /// The last durable entry.
    durable_last: u64,
    /// The last view in which the log is durably complete.
    durable_complete: u64,
    /// Failure detection.
    peers: Peers,
    /// The state as a member of the chain; `None` outside the chain.
    session: Option<Session>,
    /// Whether the durable or the committed position has changed and must be sent to the predecessor.
    is_acknowledgement_due: bool,
    /// Recently committed entries, for state transfers.
    recent_entries: RecentEntries,
    /// The catch-up state, used outside the chain.
    catch_up: CatchUpState,
    /// The proposer's state.
    view_change: ViewChange,
    /// Voters that an operator has declared permanently lost.
    declared_lost: BTreeSet<Voter>,
    /// The source of jitter for delays.
    jitter: Jitter,
    /// Whether the process is in graceful shutdown.
    is_shutting_down: bool,
    /// When the next heartbeats are due.
    heartbeat_due_at: u64,
    /// The outputs for the current input.
    outputs: Vec<Output>,
    /// Commands that were submitted to this replica and are not answered yet.
    submissions: Submissions,
    /// Messages from this replica to itself.
    inbox: VecDeque<Message>,
    /// Whether the identity is durable, so that the replica takes part in the protocol.
    is_started: bool,
    /// Whether the disk was stalled at the last tick.
    was_stalled: bool,
    /// Whether a majority of the voters is healthy. Seeds, which may be permanently lost, are then not
    /// contacted.
    has_majority_contact: bool,
    /// Since when this replica has been behind another one.
    behind_since: Option<u64>,
}

impl<A: Application> Replica<A> {
    /// Starts a replica with the content of the disk: the checkpoint and the log records after it.
    ///
    /// Entries committed before the start are included in [`Replica::committed_records`] and not reported by
    /// [`Output::Committed`].
    ///
    /// # Errors
    ///
    /// Returns an error if the checkpoint or a record of the log cannot be decoded.
    pub fn new(
        settings: ReplicaSettings,
        application: A,
        recovered: (Option<Vec<u8>>, Vec<Vec<u8>>),
        now: u64,
    ) -> Result<(Self, Vec<Output>), RecoverError> {
        Replica::with_rules(settings, application, recovered, now)
    }
}

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Like [`Replica::new`], with other protocol rules.
    ///
    /// # Errors
    ///
    /// Returns an error if the checkpoint or a record of the log cannot be decoded.
    pub fn with_rules(
        settings: ReplicaSettings,
        application: A,
        recovered: (Option<Vec<u8>>, Vec<Vec<u8>>),
        now: u64,
    ) -> Result<(Self, Vec<Output>), RecoverError> {
        let (checkpoint, log) = recovered;
        let state =
            DurableState::recover(&settings, Rules::incarnation(&settings), checkpoint.as_deref(), &log)?;
        let log_bytes = log.iter().map(Vec::len).sum();
        let mut replica = Replica {
            application,
            rules: PhantomData,
            disk: Disk::new(log_bytes, checkpoint.as_ref().map_or(0, Vec::len)),
            durable_last: state.last_sequence(),
            durable_complete: state.complete_view,
            peers: Peers::new(settings.endpoint, settings.start_id, settings.timing, now),
            session: None,
            is_acknowledgement_due: false,
            recent_entries: RecentEntries::default(),
            catch_up: CatchUpState::default(),
            view_change: ViewChange::default(),
            declared_lost: BTreeSet::new(),
            jitter: Jitter::new(settings.start_id),
            is_shutting_down: false,
            heartbeat_due_at: now,
            outputs: Vec::new(),
            submissions: Submissions::default(),
            inbox: VecDeque::new(),
            is_started: checkpoint.is_some(),
            was_stalled: false,
            has_majority_contact: false,
            behind_since: None,
            state,
            settings,
        };
        if replica.is_started {
            replica.start(now);
        }
        replica.advance(now);
        let mut outputs = std::mem::take(&mut replica.outputs);
        outputs.retain(|output| !matches!(output, Output::Committed { .. }));
        Ok((replica, outputs))
    }

    /// Starts taking part in the protocol. Called once the identity is durable.
    fn start(&mut self, now: u64) {
        self.is_started = true;
        self.begin_session(now);
        self.send_heartbeats(now);
    }

    /// The committed records.
    pub fn committed_records(&self) -> &Records {
        &self.state.records
    }

    /// The position of the last committed entry in the history.
    pub fn committed_sequence(&self) -> u64 {
        self.state.committed
    }

    /// The position of the newest entry in the log, whether committed or not.
    pub fn newest_sequence(&self) -> u64 {
        self.state.last_sequence()
    }

    /// Whether this replica is up to date and in confirmed contact with a majority of the voters.
    pub fn is_in_quorum(&self, now: u64) -> bool {
        let view = self.view();
        let own_voter = self.own_voter();
        let is_in_agreement = |voter: Voter| {
            let heartbeat = self.peers.healthy_heartbeat(now, view, voter);
            let is_confirmed =
                view.endpoint(voter).is_some_and(|endpoint| self.peers.is_confirmed(now, endpoint));
            let has_same_view = heartbeat.is_some_and(|heartbeat| heartbeat.view == view.number);
            own_voter == Some(voter) || (is_confirmed && has_same_view)
        };
        let is_behind = self.behind_since.is_some_and(|since| now > since + MAX_LAG_MS);
        let is_synchronized = self.session.as_ref().is_none_or(|session| session.is_complete);
        view.is_known() && view.has_majority(is_in_agreement) && is_synchronized && !is_behind
    }

    /// Whether another replica has reported a later committed position.
    pub fn is_behind(&self) -> bool {
        self.peers.iter().any(|(_, peer)| peer.heartbeat.report.committed > self.state.committed)
    }

    /// The newest view known to this replica.
    pub fn view(&self) -> &View {
        &self.state.decided.view
    }

    /// The endpoint, zone and region of each replica whose heartbeats arrive, whether it is a member of the
    /// view or not.
    pub fn live_peers(&self, now: u64) -> impl Iterator<Item = (SocketAddr, &str, &str)> {
        let live = self.peers.iter().filter(move |(endpoint, _)| self.peers.is_live(now, **endpoint));
        live.map(|(endpoint, peer)| (*endpoint, peer.heartbeat.zone.as_str(), peer.heartbeat.region.as_str()))
    }

    /// The endpoints that this replica may send messages to.
    pub fn peer_endpoints(&self) -> Vec<SocketAddr> {
        let members = self.view().members.iter().map(|member| member.endpoint);
        let peer_endpoints = self.peers.iter().map(|(endpoint, _)| *endpoint);
        let seeds = self.settings.seeds.iter().copied().filter(|_| !self.has_majority_contact);
        let known = members.chain(peer_endpoints).chain(seeds);
        let endpoints: BTreeSet<SocketAddr> =
            known.filter(|known| *known != self.settings.endpoint).collect();
        endpoints.into_iter().collect()
    }

    /// The encoded state, if a checkpoint should replace a log of `log_bytes` bytes.
    ///
    /// The replica requests checkpoints itself ([`crate::DurableWrite::Checkpoint`]). This method is for
    /// callers that also append other records to the same log.
    pub fn due_checkpoint(&self, log_bytes: usize) -> Option<Vec<u8>> {
        let max_log_bytes = MIN_SHARED_LOG_LIMIT_BYTES.max(4 * self.disk.checkpoint_bytes());
        (log_bytes > max_log_bytes && self.disk.is_idle()).then(|| self.state.encode())
    }

    /// The identity of this replica as a voter of the current view.
    fn own_voter(&self) -> Option<Voter> {
        self.own_voter_in(self.view())
    }

    /// The identity of this replica as a voter of a view. While a voter is replaced at the same endpoint,
    /// both the old and the new voter are members, so the incarnation is compared too.
    fn own_voter_in(&self, view: &View) -> Option<Voter> {
        let is_own = |member: &&Member| {
            member.endpoint == self.settings.endpoint
                && Rules::is_same_incarnation(member.voter.incarnation, self.state.incarnation)
        };
        view.members.iter().find(is_own).map(|member| member.voter)
    }

    /// The progress of the log, as reported in heartbeats and promises.
    fn report(&self) -> Report {
        Report { complete_view: self.state.complete_view, committed: self.state.committed }
    }
}
