//! The replica: its state, how it starts, and what callers can ask of it.
//!
//! The protocol is in the submodules, one concern each.

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

/// A longer log is worth a checkpoint even if the replica has not requested one; in bytes.
const LONGEST_LOG: usize = 256 * 1024;
/// A replica counts as out of the quorum after being behind others for this long, in milliseconds.
const LAG_TOLERANCE: u64 = 500;

/// One replica: the state machine.
///
/// Create it with [`Replica::new`] from what the disk holds, then pass every input to [`Replica::handle`] and carry out
/// the outputs. Times are in milliseconds of one monotonic clock of the caller.
#[derive(Clone, Debug)]
pub struct Replica<A, L = StandardRules> {
    /// Evaluates commands.
    application: A,
    /// The protocol rules, which have no state.
    rules: PhantomData<L>,
    /// The settings it was started with.
    settings: ReplicaSettings,
    /// The durable state with all records handed out.
    state: DurableState,
    /// The queue in front of the disk.
    disk: Disk,
    /// The last durable entry.
    durable_last: u64,
    /// The last view in which the log is durably complete.
    durable_complete: u64,
    /// Failure detection.
    peers: Peers,
    /// The part in the chain; `None` outside of it.
    session: Option<Session>,
    /// The durable or the committed position has changed, which the predecessor must learn.
    acknowledgement_due: bool,
    /// Recently committed entries, for state transfers.
    recent_entries: RecentEntries,
    /// Outside of the chain: the state of catching up.
    catch_up: CatchUpState,
    /// The proposer's state.
    view_change: ViewChange,
    /// Voters that never come back, as an operator has declared.
    declared_lost: BTreeSet<Voter>,
    /// The jitter of delays.
    jitter: Jitter,
    /// The process is in graceful shutdown.
    is_shutting_down: bool,
    /// When the next heartbeats are due.
    heartbeat_due: u64,
    /// The outputs of the present input.
    outputs: Vec<Output>,
    /// Commands submitted here without an answer.
    submissions: Submissions,
    /// Messages to this replica itself.
    inbox: VecDeque<Message>,
    /// The identity is durable.
    is_started: bool,
    /// Whether the disk was stalled at the last tick.
    was_stalled: bool,
    /// A majority of the voters is healthy: the seeds, some of which may be gone for good, are not needed.
    has_majority_contact: bool,
    /// Since when this replica has been behind another.
    behind_since: Option<u64>,
}

impl<A: Application> Replica<A> {
    /// Starts with what the disk holds: the checkpoint and the records of the log after it.
    ///
    /// What is committed by then is in [`Replica::committed_records`], and not reported by [`Output::Committed`].
    ///
    /// # Errors
    ///
    /// The checkpoint or a record of the log cannot be decoded.
    pub fn new(
        settings: ReplicaSettings,
        application: A,
        recovered: (Option<Vec<u8>>, Vec<Vec<u8>>),
        now: u64,
    ) -> Result<(Self, Vec<Output>), RecoverError> {
        Replica::with_rules(settings, application, recovered, now)
    }
}

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Like [`Replica::new`], under protocol rules of the caller's choice.
    ///
    /// # Errors
    ///
    /// The checkpoint or a record of the log cannot be decoded.
    pub fn with_rules(
        settings: ReplicaSettings,
        application: A,
        recovered: (Option<Vec<u8>>, Vec<Vec<u8>>),
        now: u64,
    ) -> Result<(Self, Vec<Output>), RecoverError> {
        let (checkpoint, log) = recovered;
        let state = DurableState::recover(&settings, L::incarnation(&settings), checkpoint.as_deref(), &log)?;
        let log_bytes = log.iter().map(Vec::len).sum();
        let mut replica = Replica {
            application,
            rules: PhantomData,
            disk: Disk::new(log_bytes, checkpoint.as_ref().map_or(0, Vec::len)),
            durable_last: state.last(),
            durable_complete: state.complete,
            peers: Peers::new(settings.endpoint, settings.start_id, settings.timing, now),
            session: None,
            acknowledgement_due: false,
            recent_entries: RecentEntries::default(),
            catch_up: CatchUpState::default(),
            view_change: ViewChange::default(),
            declared_lost: BTreeSet::new(),
            jitter: Jitter::new(settings.start_id),
            is_shutting_down: false,
            heartbeat_due: now,
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

    /// Takes part in the protocol, now that the identity is durable.
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

    /// The position of the newest entry in the log, committed or not.
    pub fn newest_sequence(&self) -> u64 {
        self.state.last()
    }

    /// Whether this replica is up to date and in confirmed contact with a majority of the voters.
    pub fn is_in_quorum(&self, now: u64) -> bool {
        let view = self.view();
        let me = self.me();
        let is_agreed = |voter: Voter| {
            let heartbeat = self.peers.healthy_heartbeat(now, view, voter);
            let is_confirmed =
                view.endpoint(voter).is_some_and(|endpoint| self.peers.is_confirmed(now, endpoint));
            let agrees = heartbeat.is_some_and(|heartbeat| heartbeat.view == view.number);
            me == Some(voter) || (is_confirmed && agrees)
        };
        let is_behind = self.behind_since.is_some_and(|since| now > since + LAG_TOLERANCE);
        let is_synchronized = self.session.as_ref().is_none_or(|session| session.is_complete);
        view.is_known() && view.has_majority(is_agreed) && is_synchronized && !is_behind
    }

    /// Whether another replica has reported a later committed position.
    pub fn is_behind(&self) -> bool {
        self.peers.iter().any(|(_, peer)| peer.heartbeat.report.committed > self.state.committed)
    }

    /// The newest view that is known here.
    pub fn view(&self) -> &View {
        &self.state.decided.view
    }

    /// The endpoint, zone and region of each replica that heartbeats arrive from, member of the view or not.
    pub fn live_peers(&self, now: u64) -> impl Iterator<Item = (SocketAddr, &str, &str)> {
        let live = self.peers.iter().filter(move |(endpoint, _)| self.peers.is_live(now, **endpoint));
        live.map(|(endpoint, peer)| (*endpoint, peer.heartbeat.zone.as_str(), peer.heartbeat.region.as_str()))
    }

    /// The endpoints that messages may be sent to.
    pub fn peer_endpoints(&self) -> Vec<SocketAddr> {
        let members = self.view().members.iter().map(|member| member.endpoint);
        let peer_endpoints = self.peers.iter().map(|(endpoint, _)| *endpoint);
        let seeds = self.settings.seeds.iter().copied().filter(|_| !self.has_majority_contact);
        let known = members.chain(peer_endpoints).chain(seeds);
        let endpoints: BTreeSet<SocketAddr> =
            known.filter(|known| *known != self.settings.endpoint).collect();
        endpoints.into_iter().collect()
    }

    /// The encoded state, if a log of `log_bytes` should be replaced by a checkpoint.
    ///
    /// The replica requests checkpoints itself ([`crate::DurableWrite::Checkpoint`]); this is for callers that append to the
    /// same log more than the replica's records.
    pub fn due_checkpoint(&self, log_bytes: usize) -> Option<Vec<u8>> {
        let longest = LONGEST_LOG.max(4 * self.disk.checkpoint_bytes());
        (log_bytes > longest && self.disk.is_idle()).then(|| self.state.encode())
    }

    /// This replica as a voter of the view.
    fn me(&self) -> Option<Voter> {
        self.voter_in(self.view())
    }

    /// This replica as a voter of some view. While a voter is replaced at its own endpoint, both are members.
    fn voter_in(&self, view: &View) -> Option<Voter> {
        let is_here = |member: &&Member| {
            member.endpoint == self.settings.endpoint
                && L::is_same_incarnation(member.voter.incarnation, self.state.incarnation)
        };
        view.members.iter().find(is_here).map(|member| member.voter)
    }

    /// How far the log is, as heartbeats and promises say.
    fn report(&self) -> Report {
        Report { complete: self.state.complete, committed: self.state.committed }
    }
}
