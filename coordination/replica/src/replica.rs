//! The state machine: inputs in, outputs out.

use std::collections::{BTreeSet, VecDeque};
use std::marker::PhantomData;
use std::net::SocketAddr;

use snafu::Snafu;
use whinspindle_consensus::Voter;

use crate::application::{Application, RecordWrite};
use crate::catch_up::CatchUpState;
use crate::disk::{AfterDurable, Disk};
use crate::durable::{DurableRecord, DurableState, DurableWrite, RecoverError};
use crate::entry::Origin;
use crate::jitter::Jitter;
use crate::message::{Heartbeat, Message, Report};
use crate::peers::Peers;
use crate::protocol_rules::{ProtocolRules, StandardRules};
use crate::recent_entries::RecentEntries;
use crate::records::Records;
use crate::session::Session;
use crate::settings::ReplicaSettings;
use crate::submissions::Submissions;
use crate::view::View;
use crate::view_change::ViewChange;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed; wanted at least every 50 ms.
    Tick,
    Message {
        from: SocketAddr,
        message: Message,
    },
    /// A command of a local caller.
    Submit {
        ticket: u64,
        command: Vec<u8>,
    },
    /// The write with this token is durable.
    Persisted {
        token: u64,
    },
    /// The write with this token failed, or it is unknown whether it is durable.
    PersistFailed {
        token: u64,
    },
    /// The process is about to stop.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// Writes are to be carried out in this order.
    Persist {
        token: u64,
        write: DurableWrite,
    },
    Reply {
        ticket: u64,
        result: Result<Reply, SubmitError>,
    },
    /// [`Replica::committed`] has moved on by one command.
    Committed {
        sequence: u64,
        writes: Vec<RecordWrite>,
    },
    /// [`Replica::committed`] was replaced as a whole.
    Replaced,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Position in the history: of the write, or as of which was read.
    pub sequence: u64,
    pub answer: Vec<u8>,
}

/// Why a command got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SubmitError {
    #[snafu(display("there was no chain to take the command; it has no effect"))]
    NoQuorum,
    #[snafu(display("no answer came in time; the command may have an effect"))]
    Unknown,
}

/// A replica is out of the quorum once it was behind the others for this long, in milliseconds.
const LAG_TOLERANCE: u64 = 500;

/// One replica.
#[derive(Clone, Debug)]
pub struct Replica<A, L = StandardRules> {
    pub(crate) application: A,
    rules: PhantomData<L>,
    pub(crate) settings: ReplicaSettings,
    pub(crate) state: DurableState,
    pub(crate) disk: Disk,
    /// The last entry that is durable.
    pub(crate) durable_last: u64,
    /// The last view in which the log is durably complete.
    pub(crate) durable_complete: u64,
    pub(crate) peers: Peers,
    pub(crate) session: Option<Session>,
    /// What is durable or committed here has changed, which the predecessor has to be told.
    pub(crate) acknowledgement_due: bool,
    pub(crate) recent_entries: RecentEntries,
    pub(crate) catch_up: CatchUpState,
    pub(crate) view_change: ViewChange,
    pub(crate) jitter: Jitter,
    pub(crate) is_shutting_down: bool,
    pub(crate) heartbeat_due: u64,
    pub(crate) outputs: Vec<Output>,
    submissions: Submissions,
    /// Messages to this replica itself.
    inbox: VecDeque<Message>,
    /// The identity is on the disk.
    is_started: bool,
    was_stalled: bool,
    /// A majority of the voters is heard: the seeds, some of which may be gone for good, are not needed.
    has_majority_contact: bool,
    behind_since: Option<u64>,
}

impl<A: Application> Replica<A> {
    /// Starts with what was found on the disk: the checkpoint and the log after it. What is committed by then is in
    /// [`Replica::committed`], and is not told by [`Output::Committed`].
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
    /// Like [`Replica::new`], under rules of the caller's choice.
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
            peers: Peers::new(settings.endpoint, settings.start, settings.timing, now),
            session: None,
            acknowledgement_due: false,
            recent_entries: RecentEntries::default(),
            catch_up: CatchUpState::default(),
            view_change: ViewChange::default(),
            jitter: Jitter::new(settings.start),
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

    /// Takes part, now that the identity is durable.
    fn start(&mut self, now: u64) {
        self.is_started = true;
        self.begin_session(now);
        self.send_heartbeats(now);
    }

    /// Takes in what has happened, and returns what is to be done, in this order.
    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message { from, message } => self.receive(now, from, message),
            Input::Submit { ticket, command } => {
                self.submissions.add(now, ticket, command);
                self.send_submissions(now);
            }
            Input::Persisted { token } => self.persisted(now, token),
            Input::PersistFailed { token } => self.disk.failed(now, token),
            Input::Leave => {
                self.is_shutting_down = true;
                self.send_heartbeats(now);
            }
        }
        self.advance(now);
        std::mem::take(&mut self.outputs)
    }

    /// The committed records.
    pub fn committed(&self) -> &Records {
        &self.state.records
    }

    pub fn committed_sequence(&self) -> u64 {
        self.state.committed
    }

    /// The position of the newest entry here, committed or not.
    pub fn newest_sequence(&self) -> u64 {
        self.state.last()
    }

    /// Whether this replica is up to date and in touch with a majority.
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

    /// Whether another replica has said that more is committed than is known here.
    pub fn is_behind(&self) -> bool {
        self.peers.iter().any(|(_, peer)| peer.heartbeat.report.committed > self.state.committed)
    }

    /// The newest view that is known here.
    pub fn view(&self) -> &View {
        &self.state.decided.view
    }

    /// Replicas that are heard, with their zone and region; members of the view or not.
    pub fn live_peers(&self, now: u64) -> impl Iterator<Item = (SocketAddr, &str, &str)> {
        let heard = self.peers.iter().filter(move |(endpoint, _)| self.peers.is_live(now, **endpoint));
        heard
            .map(|(endpoint, peer)| (*endpoint, peer.heartbeat.zone.as_str(), peer.heartbeat.region.as_str()))
    }

    /// The endpoints that messages may go to.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let members = self.view().members.iter().map(|member| member.endpoint);
        let heard = self.peers.iter().map(|(endpoint, _)| *endpoint);
        let seeds = self.settings.seeds.iter().copied().filter(|_| !self.has_majority_contact);
        let known = members.chain(heard).chain(seeds);
        let endpoints: BTreeSet<SocketAddr> =
            known.filter(|known| *known != self.settings.endpoint).collect();
        endpoints.into_iter().collect()
    }

    /// The whole state, if the log is so long that a checkpoint should replace it.
    ///
    /// The replica orders checkpoints itself ([`DurableWrite::Checkpoint`]); this is for a shell whose log has
    /// grown by more than the replica's records.
    pub fn checkpoint_due(&self, log_bytes: usize) -> Option<Vec<u8>> {
        let longest = LONGEST_LOG.max(4 * self.disk.checkpoint_bytes());
        (log_bytes > longest && self.disk.is_idle()).then(|| self.state.encode())
    }

    /// This replica as a voter of the view.
    pub(crate) fn me(&self) -> Option<Voter> {
        let member = self.view().member_at(self.settings.endpoint)?;
        L::is_same_incarnation(member.voter.incarnation, self.state.incarnation).then_some(member.voter)
    }

    pub(crate) fn report(&self) -> Report {
        Report { complete: self.state.complete, committed: self.state.committed }
    }

    pub(crate) fn is_disk_stalled(&self, now: u64) -> bool {
        self.disk.is_stalled(now, self.settings.timing.disk_stall)
    }

    /// Takes a step of the durable state. One that is not urgent is written with the next that is.
    pub(crate) fn record(&mut self, record: DurableRecord, urgent: bool) {
        self.disk.append(record.encode(), urgent);
        self.state.apply(record);
    }

    /// Does something once all steps so far are durable.
    pub(crate) fn after_durable(&mut self, now: u64, what: AfterDurable) {
        if self.disk.is_idle() {
            self.is_durable(now, what);
        } else {
            self.disk.after_durable(what);
        }
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        if to == self.settings.endpoint {
            self.inbox.push_back(message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    fn persisted(&mut self, now: u64, token: u64) {
        for what in self.disk.persisted(token) {
            self.is_durable(now, what);
        }
        if !self.is_started {
            self.start(now);
        }
    }

    fn is_durable(&mut self, now: u64, what: AfterDurable) {
        match what {
            AfterDurable::Send { to, message } => self.send(to, *message),
            AfterDurable::Entry(sequence) => {
                self.durable_last = self.durable_last.max(sequence);
                self.acknowledgement_due = true;
            }
            AfterDurable::Complete(view) => self.on_complete(now, view),
        }
    }

    /// Goes on until nothing more follows from what has happened.
    fn advance(&mut self, now: u64) {
        if self.is_started {
            self.advance_chain(now);
            while let Some(message) = self.inbox.pop_front() {
                self.receive(now, self.settings.endpoint, message);
                self.advance_chain(now);
            }
        }
        let state = &self.state;
        if let Some((token, write)) = self.disk.next_write(now, || state.encode()) {
            self.outputs.push(Output::Persist { token, write });
        }
    }

    fn tick(&mut self, now: u64) {
        for (ticket, error) in self.submissions.expired(now, &self.settings.timing) {
            self.outputs.push(Output::Reply { ticket, result: Err(error) });
        }
        if !self.is_started {
            return;
        }
        let is_stalled = self.is_disk_stalled(now);
        let has_news = is_stalled != self.was_stalled;
        self.was_stalled = is_stalled;
        if has_news || now >= self.heartbeat_due {
            self.send_heartbeats(now);
        }
        self.peers.remove_silent(now);
        self.has_majority_contact = self.is_connected_to_majority(now);
        self.update_lag(now);
        self.tick_resume(now);
        self.tick_catch_up(now);
        self.tick_view_change(now);
        self.send_submissions(now);
    }

    fn is_connected_to_majority(&self, now: u64) -> bool {
        let view = self.view();
        let me = self.me();
        view.has_majority(|voter| {
            me == Some(voter) || self.peers.healthy_heartbeat(now, view, voter).is_some()
        })
    }

    fn update_lag(&mut self, now: u64) {
        self.behind_since = self.is_behind().then(|| self.behind_since.unwrap_or(now));
    }

    fn send_heartbeats(&mut self, now: u64) {
        self.heartbeat_due = now + self.settings.timing.heartbeat;
        let heartbeat = self.heartbeat(now);
        for to in self.peers() {
            self.send(to, Message::Heartbeat(heartbeat.clone()));
        }
    }

    fn heartbeat(&self, now: u64) -> Heartbeat {
        Heartbeat {
            incarnation: self.state.incarnation,
            start: self.settings.start,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            view: self.view().number,
            report: self.report(),
            sent_at: now,
            received: self.peers.received_recently(now),
            is_fenced: self.state.is_fenced(),
            is_stalled: self.is_disk_stalled(now),
            is_shutting_down: self.is_shutting_down,
        }
    }

    /// Sends the commands that wait here to the head.
    fn send_submissions(&mut self, now: u64) {
        let view = self.view();
        let Some(head) = view.head().and_then(|head| view.endpoint(head)) else { return };
        if !self.is_started || self.is_chain_fenced(head) {
            return;
        }
        let (endpoint, start) = (self.settings.endpoint, L::start(&self.settings));
        let number = view.number;
        for (ticket, command) in self.submissions.due(now, number, &self.settings.timing) {
            let origin = Origin { endpoint, start, ticket };
            if L::tail_answers_reads() && self.answer_at_tail(origin, &command) {
                continue;
            }
            self.send(head, Message::Submit { origin, command });
        }
    }

    /// Whether the chain of the present view has come to its end, as far as this replica or the head has voted: the
    /// head would drop all commands, and large ones would hold up the votes.
    fn is_chain_fenced(&self, head: SocketAddr) -> bool {
        let heartbeat = self.peers.get(head).map(|peer| &peer.heartbeat);
        let number = self.view().number;
        let is_head_fenced = heartbeat.is_some_and(|peer| peer.view == number && peer.is_fenced);
        // A promise that was left over from an earlier view is of no account where this replica has no vote any more.
        let is_fenced_here = self.me().is_some() && self.state.is_fenced();
        is_fenced_here || is_head_fenced
    }

    fn receive(&mut self, now: u64, from: SocketAddr, message: Message) {
        if !self.is_started {
            return;
        }
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat),
            Message::Prepare { voter, ballot, known } => self.on_prepare(now, from, voter, ballot, known),
            Message::Promise { voter, ballot, accepted, report } => {
                self.on_promise(now, voter, ballot, accepted.map(|accepted| *accepted), report);
            }
            Message::Accept { voter, ballot, view } => self.on_accept(now, from, voter, ballot, view),
            Message::Accepted { voter, ballot } => self.on_accepted(now, voter, ballot),
            Message::Rejected { ballot, promised } => self.on_rejected(now, ballot, promised),
            Message::Decided(decided) => {
                self.adopt(now, decided);
                self.send_submissions(now);
            }
            Message::Submit { origin, command } => self.on_submit(origin, &command),
            Message::Replied { start, ticket, sequence, answer } => {
                self.on_replied(start, ticket, Reply { sequence, answer });
            }
            Message::Append { view, entries, reads } => self.on_append(now, from, view, entries, reads),
            Message::Acknowledge { view, last, committed } => {
                self.on_acknowledge(now, from, view, last, committed);
            }
            Message::Resume { view, state } => self.on_resume(now, from, view, &state),
            Message::Synchronize { view, transfer } => self.on_synchronize(from, view, transfer),
            Message::Pull { committed, digests } => self.on_pull(from, committed, &digests),
            Message::Learn { view, transfer } => self.on_learn(view, transfer),
        }
    }

    fn on_heartbeat(&mut self, now: u64, from: SocketAddr, heartbeat: Heartbeat) {
        if self.peers.is_overtaken(from, &heartbeat) {
            return;
        }
        let number = self.view().number;
        let knows_less = heartbeat.view < number;
        if heartbeat.view == number && self.session.as_ref().is_some_and(|session| session.is_complete) {
            // An acknowledgement may have been lost. What was committed up to this view is in a complete log.
            self.commit_up_to(heartbeat.report.committed);
        }
        let has_started = self.peers.record_heartbeat(now, from, heartbeat, L::contact);
        if knows_less {
            let decided = self.state.decided.clone();
            self.send(from, Message::Decided(decided));
        }
        if has_started {
            // Answered at once, it has contact a heartbeat's interval earlier.
            let heartbeat = self.heartbeat(now);
            self.send(from, Message::Heartbeat(heartbeat));
            self.on_restart(now, from);
        }
    }

    fn on_replied(&mut self, start: u64, ticket: u64, reply: Reply) {
        if start == L::start(&self.settings) && self.submissions.answered(ticket) {
            self.outputs.push(Output::Reply { ticket, result: Ok(reply) });
        }
    }
}

/// A log longer than this is worth a checkpoint even if the replica has not ordered one.
const LONGEST_LOG: usize = 256 * 1024;
