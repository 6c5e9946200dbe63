//! One process of the fleet: as a follower it holds a lease that runs out, as a voter it grants leases and
//! agrees on each step. `Member` takes what happens (`tick`, `received`, `proved` and what operators ask for)
//! and acts through `Environment`; each module below has one part of what it does.

mod acceptor;
mod environment;
mod leader;
mod learn;
mod lease;
mod proposer;
mod releases;
mod requests;
mod restarts;
mod rules;
mod texts;
mod timing;

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use whinspindle_consensus::{AcceptorState, StandardConsensusRules, Voter};
use whinspindle_rollout::Way;

pub use acceptor::PeerReport;
pub use environment::{DurableState, Environment};
use lease::Lease;
use proposer::OngoingRound;
use releases::Case;
use requests::PendingRequest;
pub use rules::MemberRules;
pub use timing::MemberSettings;

use crate::message::{Message, Objection, Right};
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
    kept: bool,
    record: Record,
    /// When the policy in force, and the change under way, were learned of.
    learned: u64,
    next_since: u64,
    /// The rights for what is known, and those for what was before, until the new ones are there.
    lease: Lease,
    previous_lease: Option<Lease>,
    had_lease: bool,
    told: Right,
    verdicts: BTreeMap<u64, Result<(), Objection>>,
    proving: BTreeSet<u64>,
    texts: Texts,
    received: Vec<Option<PeerReport>>,
    requests: Vec<PendingRequest>,
    found: Option<u64>,
    case: Option<Case>,
    /// Since when the wave of now is complete, as this member knows it: release, wave and way.
    complete: Option<(u64, u16, Way, u64)>,
    serial: u32,
    round: Option<OngoingRound>,
    quiet_until: u64,
    highest_round: u64,
    next_ask: u64,
    /// When it asked last, and how often those that had not answered since.
    asked: u64,
    again: u64,
    next_fetch: u64,
    /// What was asked for last.
    fetching: Option<(Hash, u16, u64)>,
    fetches: usize,
    /// Who has given chunks since the last question for some.
    source: Option<u16>,
    rules: PhantomData<L>,
}

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// `start` is drawn anew at each start of the process.
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
            kept: false,
            lease: Lease::of(&record),
            previous_lease: None,
            had_lease: false,
            told: Right::Learning,
            learned: now,
            next_since: now,
            verdicts: BTreeMap::new(),
            proving: BTreeSet::new(),
            texts: Texts::default(),
            received: vec![None; settings.members as usize],
            requests: Vec::new(),
            found: None,
            case: None,
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
            fetches: settings.me as usize,
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
        self.kept = self.environment.keep(&self.memory);
        if !self.kept {
            self.environment
                .tell("what it has voted for can't be kept: it votes no more until it can".to_string());
        }
        self.kept
    }

    /// The times and the membership that it was made with.
    pub fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// What it knows to be agreed.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// What it must not forget over a restart.
    pub fn memory(&self) -> &DurableState {
        &self.memory
    }

    /// How it counts as a voter: its number, and the incarnation of its memory.
    pub fn voter(&self) -> Voter {
        Voter { member: self.settings.me, incarnation: self.memory.incarnation }
    }

    /// What this member last received of each; only voters are told.
    pub fn peer_reports(&self) -> &[Option<PeerReport>] {
        &self.received
    }

    /// Whether it votes, as far as it knows.
    pub fn is_voter(&self) -> bool {
        self.record.is_voter(self.voter())
    }

    /// Called a few times in each pace.
    pub fn tick(&mut self, now: u64) {
        if !self.kept {
            self.persist();
        }
        if now >= self.next_ask {
            self.ask(now);
            self.forward_requests(now);
            self.send_observations(now);
        }
        self.record_wave(now);
        self.retry_ask(now);
        self.come_back(now);
        self.fetch(now);
        self.lead(now);
        self.record_lease(now);
    }

    /// A message of another member has come.
    pub fn received(&mut self, now: u64, from: u16, message: Message) {
        if from >= self.settings.members {
            return;
        }
        match message {
            Message::Ask { at, incarnation, start, bootstrap_id, version, right, readiness } => {
                let received =
                    PeerReport { at: now, incarnation, start, bootstrap_id, version, right, readiness };
                self.answer(now, from, at, received);
            }
            Message::Grant { at, start, voter, voter_set_version, number } => {
                // Guards against an answer to a question of an earlier start, which was long under way: that
                // start's clock began at another moment, and the right would count from a time after its
                // grant.
                if start == self.start {
                    self.granted(now, at, voter, (voter_set_version, number));
                }
            }
            Message::Update { record } => self.learn(now, record),
            Message::Fetch { hash, chunk, missing } => self.give(from, hash, chunk, missing),
            Message::Chunk { hash, chunk, bytes, .. } => self.take_chunk(now, from, hash, chunk, bytes),
            Message::OperatorRequest { request, request_id } => self.take_request(now, request, request_id),
            Message::Observations { release, start, serial, rows } => {
                self.receive_observations(now, from, release, start, serial, rows);
            }
            Message::Aside { bytes } => self.environment.aside(from, bytes),
            Message::Prepare { ballot } => self.prepare(from, ballot),
            Message::Accept { ballot, record } => self.accept(from, ballot, record),
            Message::Promise { ballot, voter, accepted } => self.promised(now, ballot, voter, accepted),
            Message::Accepted { ballot, voter } => self.accepted(now, ballot, voter),
            Message::Refuse { ballot, promised } => self.refused(now, ballot, promised),
        }
    }
}

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// What two members must have in common to be alike for a search: all that decides what they do next.
    pub fn state(&self) -> impl std::hash::Hash + '_ {
        let held = (&self.lease, &self.previous_lease, self.had_lease);
        let known = (&self.memory, self.kept, &self.record, self.learned, self.next_since);
        let times =
            (self.quiet_until, self.highest_round, self.next_ask, self.next_fetch, self.began, self.again);
        let round = (&self.round, &self.requests, self.found, self.start);
        let texts = (&self.verdicts, &self.proving, &self.texts, &self.received, &self.complete);
        (held, known, times, round, texts)
    }
}
