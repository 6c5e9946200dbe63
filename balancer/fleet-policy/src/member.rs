//! One process of the fleet. As a follower it holds a lease that expires; as a voter it also grants leases
//! and agrees with the other voters on each step.
//!
//! `Member` is a state machine: it takes events (`tick`, `receive`, `proved`, operators' requests) and acts
//! through an `Environment`. Each module below implements one part of it.

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

/// A member of the fleet: the agreed record as it knows it, its lease, and its state as a voter. Times are
/// microseconds of the process's monotonic clock.
#[derive(Clone)]
pub struct Member<E: Environment, R: MemberRules = StandardConsensusRules> {
    /// The process around the member, which the caller may use between calls.
    pub environment: E,
    settings: MemberSettings,
    /// The start number of this process.
    process_start: u64,
    started_at: u64,
    durable_state: DurableState,
    /// Whether `durable_state` is on disk in its present form.
    is_durable: bool,
    record: Record,
    /// When this member learned of the policy in force.
    policy_learned_at: u64,
    /// When this member learned of the change under way.
    change_learned_at: u64,
    /// The lease for the present record.
    lease: Lease,
    /// The lease for the previous record, used until there is one for the present record.
    previous_lease: Option<Lease>,
    had_lease: bool,
    /// The state in the last log line about the lease.
    logged_lease_state: LeaseState,
    verdicts: BTreeMap<u64, Result<(), Objection>>,
    /// The numbers of the policies whose proof has begun.
    proofs_begun: BTreeSet<u64>,
    texts: Texts,
    peer_reports: Vec<Option<PeerReport>>,
    requests: Vec<PendingRequest>,
    /// The id of the bootstrap that an operator has requested, until it is agreed.
    pending_bootstrap: Option<u64>,
    release_test: Option<ReleaseTest>,
    /// The present wave, once it is complete.
    complete_wave: Option<CompleteWave>,
    /// The serial number of the last observations sent.
    observations_serial: u32,
    round: Option<OngoingRound>,
    /// The time until which this member starts no ballot after a refusal by a voter.
    backoff_until: u64,
    highest_round: u64,
    next_renewal_at: u64,
    /// When all voters were last asked to renew the lease.
    renewal_asked_at: u64,
    /// How often the voters that didn't answer have been asked again since.
    renewal_retries: u64,
    next_fetch_at: u64,
    /// The chunks that were requested last: the hash of the text, the first chunk, and a bit for each chunk.
    requested_chunks: Option<(Hash, u16, u64)>,
    fetch_count: usize,
    /// The member that has sent chunks since the last request.
    chunk_source: Option<u16>,
    rules: PhantomData<R>,
}

impl<E: Environment, R: MemberRules> Member<E, R> {
    /// Creates the member at the start of its process. `process_start` is a random number, drawn at each
    /// start; `durable_state` is the state that the member persisted last, and `now` the monotonic clock in
    /// microseconds.
    pub fn new(
        environment: E,
        settings: MemberSettings,
        durable_state: Option<DurableState>,
        process_start: u64,
        now: u64,
    ) -> Self {
        let durable_state = durable_state.unwrap_or_else(|| DurableState {
            incarnation: process_start,
            votes: AcceptorState::default(),
            record: Record::default(),
        });
        let record = durable_state.record.clone();
        let mut member = Member {
            environment,
            process_start,
            started_at: now,
            is_durable: false,
            lease: Lease::for_record(&record),
            previous_lease: None,
            had_lease: false,
            logged_lease_state: LeaseState::Learning,
            policy_learned_at: now,
            change_learned_at: now,
            verdicts: BTreeMap::new(),
            proofs_begun: BTreeSet::new(),
            texts: Texts::default(),
            peer_reports: vec![None; settings.member_count as usize],
            requests: Vec::new(),
            pending_bootstrap: None,
            release_test: None,
            complete_wave: None,
            observations_serial: 0,
            round: None,
            backoff_until: 0,
            highest_round: 0,
            next_renewal_at: now,
            renewal_asked_at: now,
            renewal_retries: 0,
            next_fetch_at: now,
            requested_chunks: None,
            fetch_count: settings.member as usize,
            chunk_source: None,
            rules: PhantomData,
            durable_state,
            record,
            settings,
        };
        member.persist();
        member
    }

    /// Persists the durable state; returns false if the disk fails.
    fn persist(&mut self) -> bool {
        self.is_durable = self.environment.persist(&self.durable_state);
        if !self.is_durable {
            self.environment
                .log("the votes can't be persisted: no votes and no leases until they can".to_string());
        }
        self.is_durable
    }

    /// The settings that the member was created with.
    pub fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// The latest agreed record that this member knows.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The state that must survive a restart.
    pub fn durable_state(&self) -> &DurableState {
        &self.durable_state
    }

    /// This member's identity as a voter: its number, and the incarnation of its durable state.
    pub fn voter(&self) -> Voter {
        Voter { member: self.settings.member, incarnation: self.durable_state.incarnation }
    }

    /// The last report received from each member; only voters receive reports.
    pub fn peer_reports(&self) -> &[Option<PeerReport>] {
        &self.peer_reports
    }

    /// Whether this member votes, by the record that it knows.
    pub fn is_voter(&self) -> bool {
        self.record.is_voter(self.voter())
    }

    /// Does everything that is due. To be called several times within `MemberSettings::renewal_interval_us`.
    pub fn tick(&mut self, now: u64) {
        if !self.is_durable {
            self.persist();
        }
        if now >= self.next_renewal_at {
            self.renew_lease(now);
            self.forward_requests(now);
            self.send_observations(now);
        }
        self.update_complete_wave(now);
        self.retry_renewal(now);
        self.report_return(now);
        self.fetch_chunks(now);
        self.drive_ballot(now);
        self.update_lease_state(now);
    }

    /// Handles a message of another member.
    pub fn receive(&mut self, now: u64, from: u16, message: Message) {
        if from >= self.settings.member_count {
            return;
        }
        match message {
            Message::RenewLease {
                asked_at,
                incarnation,
                start,
                bootstrap_id,
                version,
                lease_state,
                readiness,
            } => {
                let report = PeerReport {
                    received_at: now,
                    incarnation,
                    start,
                    bootstrap_id,
                    version,
                    lease_state,
                    readiness,
                };
                self.answer_renewal(now, from, asked_at, report);
            }
            Message::GrantLease { asked_at, start, voter, voter_set_version, number } => {
                // Guards against a late answer to a request of an earlier start: the clock of that start
                // began at another moment, so the lease would count from a time after its grant.
                if start == self.process_start {
                    self.receive_grant(now, asked_at, voter, (voter_set_version, number));
                }
            }
            Message::Update { record } => self.update_record(now, record),
            Message::Fetch { hash, chunk, missing } => self.send_chunks(from, hash, chunk, missing),
            Message::Chunk { hash, chunk, bytes, .. } => self.receive_chunk(now, from, hash, chunk, bytes),
            Message::OperatorRequest { request, request_id } => {
                self.receive_request(now, request, request_id)
            }
            Message::Observations { release, start, serial, rows } => {
                self.receive_observations(now, from, release, start, serial, rows);
            }
            Message::Opaque { bytes } => self.environment.opaque_message(from, bytes),
            Message::Prepare { ballot } => self.receive_prepare(from, ballot),
            Message::Accept { ballot, record } => self.receive_accept(from, ballot, record),
            Message::Promise { ballot, voter, accepted } => {
                self.receive_promise(now, ballot, voter, accepted)
            }
            Message::Accepted { ballot, voter } => self.receive_accepted(now, ballot, voter),
            Message::Refuse { ballot, promised } => self.receive_refusal(now, ballot, promised),
        }
    }
}

impl<E: Environment, R: MemberRules> Member<E, R> {
    /// All state that decides the member's further behaviour. The model checker compares states by it.
    pub fn state(&self) -> impl std::hash::Hash + '_ {
        let leases = (&self.lease, &self.previous_lease, self.had_lease);
        let records = (
            &self.durable_state,
            self.is_durable,
            &self.record,
            self.policy_learned_at,
            self.change_learned_at,
        );
        let times = (
            self.backoff_until,
            self.highest_round,
            self.next_renewal_at,
            self.next_fetch_at,
            self.started_at,
            self.renewal_retries,
        );
        let round = (&self.round, &self.requests, self.pending_bootstrap, self.process_start);
        let texts =
            (&self.verdicts, &self.proofs_begun, &self.texts, &self.peer_reports, &self.complete_wave);
        (leases, records, times, round, texts)
    }
}
