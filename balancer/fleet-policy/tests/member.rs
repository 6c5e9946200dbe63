//! A single member that receives the messages of simulated other members.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use whinspindle_fleet_policy::{
    Ballot, DurableState, Environment, LeaseState, Member, MemberSettings, Message, Policy, Readiness,
    Record, RequestId, RequestKind, RestartGrant, RestartRefusal, Unit, Voter,
};

const SECOND: u64 = 1_000_000;

#[derive(Clone, Default)]
struct RecordingEnvironment {
    sent: Rc<RefCell<Vec<(u16, Message)>>>,
    disk_fails: Rc<RefCell<bool>>,
}

impl Environment for RecordingEnvironment {
    fn send(&mut self, to: u16, message: Message) {
        self.sent.borrow_mut().push((to, message));
    }
    fn persist(&mut self, _: &DurableState) -> bool {
        !*self.disk_fails.borrow()
    }
    fn prove(&mut self, _: Policy, _: Rc<[u8]>) {}
    fn check_restart(&self, record: &Record, _: Unit, _: &BTreeSet<u16>) -> Result<(), RestartRefusal> {
        if record.grants.is_empty() { Ok(()) } else { Err(RestartRefusal::NoLimit) }
    }
    fn log(&mut self, _: String) {}
}

fn settings() -> MemberSettings {
    MemberSettings {
        member: 0,
        member_count: 3,
        voters: vec![0, 1, 2],
        lease_us: 10 * SECOND,
        clock_drift_ppm: 10_000,
        renewal_interval_us: 2 * SECOND,
        absence_timeout_us: 10 * SECOND,
        change_timeout_us: 60 * SECOND,
        startup_timeout_us: 2 * SECOND,
    }
}

fn bootstrapped() -> Record {
    let voters = (0..3).map(|member| Voter { member, incarnation: 100 + u64::from(member) }).collect();
    Record { bootstrap_id: 1 << 48 | 7, version: 5, voter_sets: vec![voters], ..Record::default() }
}

/// The first voter of a bootstrapped fleet, running for a while and in contact with the two other voters, and
/// the environment that records its messages.
fn leader() -> (Member<RecordingEnvironment>, RecordingEnvironment) {
    let environment = RecordingEnvironment::default();
    let memory = DurableState { incarnation: 100, votes: Default::default(), record: bootstrapped() };
    let mut member = Member::new(environment.clone(), settings(), Some(memory), 9, 0);
    for now in [0, 20 * SECOND] {
        member.tick(now);
        for other in [1, 2] {
            let record = bootstrapped();
            let ask = Message::RenewLease {
                asked_at: 1,
                incarnation: 100 + u64::from(other),
                start: 1,
                bootstrap_id: record.bootstrap_id,
                version: record.version,
                lease_state: LeaseState::Policy(0),
                readiness: Readiness::NoChange,
            };
            member.receive(now, other, ask);
            let voter = Voter { member: other, incarnation: 100 + u64::from(other) };
            member.receive(
                now,
                other,
                Message::GrantLease { asked_at: now, start: 9, voter, voter_set_version: 0, number: 0 },
            );
        }
    }
    environment.sent.take();
    (member, environment)
}

fn proposed_records(sent: Vec<(u16, Message)>) -> Vec<Record> {
    let records = sent.into_iter().filter_map(|(_, message)| match message {
        Message::Accept { record, .. } => Some(record),
        _ => None,
    });
    records.collect()
}

/// Guards against a step that was checked against one record and applied to another. That happens if the
/// member learns of another leader's step between the start of its ballot and the promises.
#[test]
fn step_is_applied_only_to_the_record_it_was_based_on() {
    for has_other_step in [false, true] {
        let (mut member, environment) = leader();
        let now = 20 * SECOND + 1;
        assert_eq!(member.lease_state(now), LeaseState::Policy(0));
        member.submit(now, RequestKind::TakeOut { unit: Unit::Balancer(1), release: None }, 3);
        let prepared = environment.sent.take().into_iter().find_map(|(_, message)| match message {
            Message::Prepare { ballot } => Some(ballot),
            _ => None,
        });
        let ballot = prepared.expect("a ballot");
        let request_id = RequestId { member: 2, serial: 4 };
        let grants =
            vec![RestartGrant { unit: Unit::Balancer(2), request_id, process_start: 1, release_part: None }];
        let other_record =
            Record { version: 6, grants, completed_requests: vec![request_id], ..bootstrapped() };
        let earlier_ballot = Ballot { round: 0, ..ballot };
        let accepted = has_other_step.then(|| (earlier_ballot, other_record.clone()));
        if has_other_step {
            member.receive(now, 1, Message::Update { record: other_record });
        }
        let voter = Voter { member: 1, incarnation: 101 };
        member.receive(now, 1, Message::Promise { ballot, voter, accepted });
        let proposed = proposed_records(environment.sent.take());
        assert!(proposed.iter().all(|record| record.grants.len() <= 1), "{proposed:?}");
        assert_eq!(proposed.is_empty(), has_other_step);
    }
}

/// Guards against a grant that arrives after its member has restarted. The time of the request is by the
/// clock of the earlier start, so the lease would count from a moment before which nothing was granted.
#[test]
fn grant_to_an_earlier_start_is_ignored() {
    for (start, lease_state) in [(8, LeaseState::CutOff), (9, LeaseState::Policy(0))] {
        let (mut member, _) = leader();
        let now = 31 * SECOND;
        assert_eq!(member.lease_state(now), LeaseState::CutOff);
        for other in [1, 2] {
            let voter = Voter { member: other, incarnation: 100 + u64::from(other) };
            member.receive(
                now,
                other,
                Message::GrantLease { asked_at: 30 * SECOND, start, voter, voter_set_version: 0, number: 0 },
            );
        }
        assert_eq!(member.lease_state(now), lease_state, "{start}");
    }
}

#[test]
fn voter_with_a_failed_disk_neither_votes_nor_grants() {
    let (mut member, environment) = leader();
    let now = 20 * SECOND + 1;
    let ballot = Ballot { epoch: 1, round: 9, member: 1, start_id: 5 };
    let ask = Message::RenewLease {
        asked_at: 7,
        incarnation: 101,
        start: 1,
        bootstrap_id: bootstrapped().bootstrap_id,
        version: 5,
        lease_state: LeaseState::Policy(0),
        readiness: Readiness::NoChange,
    };
    let answers = |member: &mut Member<RecordingEnvironment>| {
        member.receive(now, 1, Message::Prepare { ballot });
        member.receive(now, 1, Message::Accept { ballot, record: Record { version: 6, ..bootstrapped() } });
        member.receive(now, 1, ask.clone());
        let answers_to_member_1 = environment.sent.take().into_iter().filter(|(to, _)| *to == 1);
        let kinds = answers_to_member_1.map(|(_, message)| match message {
            Message::Promise { .. } => "promise",
            Message::Accepted { .. } => "vote",
            Message::GrantLease { .. } => "grant",
            _ => "other",
        });
        kinds.collect::<Vec<_>>()
    };
    *environment.disk_fails.borrow_mut() = true;
    assert!(answers(&mut member).is_empty());
    *environment.disk_fails.borrow_mut() = false;
    assert_eq!(answers(&mut member), ["promise", "vote", "grant"]);
}

#[test]
fn expiry_window_covers_a_lease_by_the_slowest_clock() {
    for (lease_us, clock_drift_ppm, window) in
        [(10 * SECOND, 0, 10 * SECOND), (10 * SECOND, 10_000, 10_202_021), (SECOND, 200_000, 1_500_000)]
    {
        let settings = MemberSettings { lease_us, clock_drift_ppm, ..settings() };
        assert_eq!(settings.expiry_window_us(), window);
    }
}
