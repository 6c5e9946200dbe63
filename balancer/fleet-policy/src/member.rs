//! One process of the fleet: as a follower it holds a lease that expires, as a voter it grants leases and agrees
//! on each step. `Member` is a state machine: it takes events (`tick`, `receive`, `proved`, operators' requests)
//! and acts through `Environment`; each module below has one part of it.

mod acceptor;
mod environment;
mod leader;
mod lease;
mod proposer;
mod record_update;
mod releases;
mod requests;
mod restarts;
mod rules;
mod texts;
mod timing;

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use whinspindle_consensus::{AcceptorState, StandardConsensusRules, Voter};

pub use acceptor::PeerReport;
pub use environment::{DurableState, Environment};
use lease::Lease;
use proposer::OngoingRound;
use releases::{CompleteWave, ReleaseTest};
use requests::PendingRequest;
pub use rules::MemberRules;
pub use timing::MemberSettings;

use crate::message::{LeaseState, Message, Objection};
use crate::record::{Hash, Record};
use crate::texts::Texts;

/// A member of the fleet: its record of what is agreed, its lease, and its part as a voter.
#[derive(Clone)]
pub struct Member<O: Environment, L: MemberRules = StandardConsensusRules> {
    /// What the member acts through; the shell looks after it between calls.
    pub environment: O,
    settings: MemberSettings,
    start: u64,
    began: u64,
    memory: DurableState,
    /// Whether the memory is durable as it stands.
    is_durable: bool,
    record: Record,
    /// When the policy in force was learned of.
    learned: u64,
    /// When the change under way was learned of.
    next_since: u64,
    /// The lease for the present record.
    lease: Lease,
    /// The lease for the record before, used until there is one for the present record.
    previous_lease: Option<Lease>,
    had_lease: bool,
    /// What the log was told last.
    logged_right: LeaseState,
    verdicts: BTreeMap<u64, Result<(), Objection>>,
    proving: BTreeSet<u64>,
    texts: Texts,
    received: Vec<Option<PeerReport>>,
    requests: Vec<PendingRequest>,
    /// The bootstrap that an operator has asked for, until it is agreed.
    pending_bootstrap: Option<u64>,
    release_test: Option<ReleaseTest>,
    /// The present wave, once it is complete.
    complete: Option<CompleteWave>,
    serial: u32,
    round: Option<OngoingRound>,
    quiet_until: u64,
    highest_round: u64,
    next_ask: u64,
    /// When it last asked all voters for the lease.
    asked: u64,
    /// How often it has asked again those that didn't answer.
    again: u64,
    next_fetch: u64,
    /// What was asked for last.
    fetching: Option<(Hash, u16, u64)>,
    fetches: usize,
    /// Who has sent chunks since they were last asked for.
    source: Option<u16>,
    rules: PhantomData<L>,
}

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// A member at the start of its process. `start` is a random number, another at each start; `memory` is
    /// what the member has made durable before, `now` the monotonic clock in microseconds.
    pub fn new(
        environment: O,
        settings: MemberSettings,
        memory: Option<DurableState>,
        start: u64,
        now: u64,
    ) -> Self {
        let memory = memory.unwrap_or_else(|| DurableState {
            incarnation: start,
            votes: AcceptorState::default(),
            record: Record::default(),
        });
        let record = memory.record.clone();
        let mut member = Member {
            environment,
            start,
            began: now,
            is_durable: false,
            lease: Lease::of(&record),
            previous_lease: None,
            had_lease: false,
            logged_right: LeaseState::Learning,
            learned: now,
            next_since: now,
            verdicts: BTreeMap::new(),
            proving: BTreeSet::new(),
            texts: Texts::default(),
            received: vec![None; settings.member_count as usize],
            requests: Vec::new(),
            pending_bootstrap: None,
            release_test: None,
            complete: None,
            serial: 0,
            round: None,
            quiet_until: 0,
            highest_round: 0,
            next_ask: now,
            asked: now,
            again: 0,
            next_fetch: now,
            fetching: None,
            fetches: settings.member as usize,
            source: None,
            rules: PhantomData,
            memory,
            record,
            settings,
        };
        member.persist();
        member
    }

    /// Makes the memory durable; false where the disk fails.
    fn persist(&mut self) -> bool {
        self.is_durable = self.environment.persist(&self.memory);
        if !self.is_durable {
            self.environment
                .log("what it has voted for can't be kept: it votes no more until it can".to_string());
        }
        self.is_durable
    }

    /// The settings that it was made with.
    pub fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// What it knows to be agreed.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// What it must not forget over a restart.
    pub fn durable_state(&self) -> &DurableState {
        &self.memory
    }

    /// How it counts as a voter: its number, and the incarnation of its memory.
    pub fn voter(&self) -> Voter {
        Voter { member: self.settings.member, incarnation: self.memory.incarnation }
    }

    /// What this member last received of each member; only voters receive reports.
    pub fn peer_reports(&self) -> &[Option<PeerReport>] {
        &self.received
    }

    /// Whether it votes, as far as it knows.
    pub fn is_voter(&self) -> bool {
        self.record.is_voter(self.voter())
    }

    /// Does what is due; to be called several times within `MemberSettings::renewal_interval_us`.
    pub fn tick(&mut self, now: u64) {
        if !self.is_durable {
            self.persist();
        }
        if now >= self.next_ask {
            self.ask(now);
            self.forward_requests(now);
            self.send_observations(now);
        }
        self.record_wave(now);
        self.retry_ask(now);
        self.report_return(now);
        self.fetch(now);
        self.lead(now);
        self.record_lease(now);
    }

    /// Handles a message of another member.
    pub fn receive(&mut self, now: u64, from: u16, message: Message) {
        if from >= self.settings.member_count {
            return;
        }
        match message {
            Message::RenewLease {
                asked_at: at,
                incarnation,
                start,
                bootstrap_id,
                version,
                lease_state: right,
                readiness,
            } => {
                let received = PeerReport {
                    received_at: now,
                    incarnation,
                    start,
                    bootstrap_id,
                    version,
                    lease_state: right,
                    readiness,
                };
                self.answer(now, from, at, received);
            }
            Message::GrantLease { asked_at: at, start, voter, voter_set_version, number } => {
                // Guards against a late answer to a request of an earlier start: that start's clock began at
                // another moment, and the lease would count from a time after its grant.
                if start == self.start {
                    self.granted(now, at, voter, (voter_set_version, number));
                }
            }
            Message::Update { record } => self.update_record(now, record),
            Message::Fetch { hash, chunk, missing } => self.send_chunks(from, hash, chunk, missing),
            Message::Chunk { hash, chunk, bytes, .. } => self.take_chunk(now, from, hash, chunk, bytes),
            Message::OperatorRequest { request, request_id } => self.take_request(now, request, request_id),
            Message::Observations { release, start, serial, rows } => {
                self.receive_observations(now, from, release, start, serial, rows);
            }
            Message::Opaque { bytes } => self.environment.opaque_message(from, bytes),
            Message::Prepare { ballot } => self.prepare(from, ballot),
            Message::Accept { ballot, record } => self.accept(from, ballot, record),
            Message::Promise { ballot, voter, accepted } => self.promised(now, ballot, voter, accepted),
            Message::Accepted { ballot, voter } => self.accepted(now, ballot, voter),
            Message::Refuse { ballot, promised } => self.refused(now, ballot, promised),
        }
    }
}

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// All that decides what the member does next, for the model checker to tell states apart.
    pub fn state(&self) -> impl std::hash::Hash + '_ {
        let held = (&self.lease, &self.previous_lease, self.had_lease);
        let known = (&self.memory, self.is_durable, &self.record, self.learned, self.next_since);
        let times =
            (self.quiet_until, self.highest_round, self.next_ask, self.next_fetch, self.began, self.again);
        let round = (&self.round, &self.requests, self.pending_bootstrap, self.start);
        let texts = (&self.verdicts, &self.proving, &self.texts, &self.received, &self.complete);
        (held, known, times, round, texts)
    }
}
