//! A single member that receives what the others would send.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use whinspindle_fleet_policy::{
    Ballot, DurableState, Environment, Member, MemberSettings, Message, Out, Policy, Readiness, Record,
    RequestId, RequestKind, RestartRefusal, Right, Unit, Voter,
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
    fn keep(&mut self, _: &DurableState) -> bool {
        !*self.disk_fails.borrow()
    }
    fn prove(&mut self, _: Policy, _: Rc<[u8]>) {}
    fn may_go(&self, record: &Record, _: Unit, _: &BTreeSet<u16>) -> Result<(), RestartRefusal> {
        if record.out.is_empty() { Ok(()) } else { Err(RestartRefusal::NoLimit) }
    }
    fn tell(&mut self, _: String) {}
}

fn settings() -> MemberSettings {
    MemberSettings {
        me: 0,
        members: 3,
        voters: vec![0, 1, 2],
        right: 10 * SECOND,
        drift: 10_000,
        pace: 2 * SECOND,
        absent: 10 * SECOND,
        give_up: 60 * SECOND,
        learn: 2 * SECOND,
    }
}

fn bootstrapped() -> Record {
    let voters = (0..3).map(|member| Voter { member, incarnation: 100 + u64::from(member) }).collect();
    Record { bootstrap_id: 1 << 48 | 7, version: 5, voter_sets: vec![voters], ..Record::default() }
}

/// The first voter of a bootstrapped fleet that has run for long and receives reports of the two others, and
/// the environment that records what it sends.
fn leader() -> (Member<RecordingEnvironment>, RecordingEnvironment) {
    let environment = RecordingEnvironment::default();
    let memory = DurableState { incarnation: 100, votes: Default::default(), record: bootstrapped() };
    let mut member = Member::new(environment.clone(), settings(), Some(memory), 9, 0);
    for now in [0, 20 * SECOND] {
        member.tick(now);
        for other in [1, 2] {
            let record = bootstrapped();
            let ask = Message::Ask {
                at: 1,
                incarnation: 100 + u64::from(other),
                start: 1,
                bootstrap_id: record.bootstrap_id,
                version: record.version,
                right: Right::Policy(0),
                readiness: Readiness::Nothing,
            };
            member.received(now, other, ask);
            let voter = Voter { member: other, incarnation: 100 + u64::from(other) };
            member.received(
                now,
                other,
                Message::Grant { at: now, start: 9, voter, voter_set_version: 0, number: 0 },
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

/// A step that was checked against one record must not be applied to another: between the start of a ballot
/// and its promises the member learned of another leader's step, and the limit was not checked again.
#[test]
fn a_step_is_applied_only_to_the_record_that_it_was_based_on() {
    for other_went_first in [false, true] {
        let (mut member, environment) = leader();
        let now = 20 * SECOND + 1;
        assert_eq!(member.right(now), Right::Policy(0));
        member.submit(now, RequestKind::Out { unit: Unit::Balancer(1), release: None }, 3);
        let prepared = environment.sent.take().into_iter().find_map(|(_, message)| match message {
            Message::Prepare { ballot } => Some(ballot),
            _ => None,
        });
        let ballot = prepared.expect("a ballot");
        let request_id = RequestId { by: 2, serial: 4 };
        let out = vec![Out { unit: Unit::Balancer(2), request_id, start: 1, part: None }];
        let other_record = Record { version: 6, out, done: vec![request_id], ..bootstrapped() };
        let earlier = Ballot { round: 0, ..ballot };
        let accepted = other_went_first.then(|| (earlier, other_record.clone()));
        if other_went_first {
            member.received(now, 1, Message::Update { record: other_record });
        }
        let voter = Voter { member: 1, incarnation: 101 };
        member.received(now, 1, Message::Promise { ballot, voter, accepted });
        let proposed = proposed_records(environment.sent.take());
        assert!(proposed.iter().all(|record| record.out.len() <= 1), "{proposed:?}");
        assert_eq!(proposed.is_empty(), other_went_first);
    }
}

/// A grant that was under way while its asker restarted: the request's time is by the clock of the start before,
/// and the lease would count from a moment at which nobody had granted anything.
#[test]
fn a_grant_to_an_earlier_start_is_no_lease() {
    for (start, right) in [(8, Right::CutOff), (9, Right::Policy(0))] {
        let (mut member, _) = leader();
        let now = 31 * SECOND;
        assert_eq!(member.right(now), Right::CutOff);
        for other in [1, 2] {
            let voter = Voter { member: other, incarnation: 100 + u64::from(other) };
            member.received(
                now,
                other,
                Message::Grant { at: 30 * SECOND, start, voter, voter_set_version: 0, number: 0 },
            );
        }
        assert_eq!(member.right(now), right, "{start}");
    }
}

#[test]
fn a_voter_whose_disk_fails_votes_and_grants_nothing_until_it_works() {
    let (mut member, environment) = leader();
    let now = 20 * SECOND + 1;
    let ballot = Ballot { epoch: 1, round: 9, member: 1, start_id: 5 };
    let ask = Message::Ask {
        at: 7,
        incarnation: 101,
        start: 1,
        bootstrap_id: bootstrapped().bootstrap_id,
        version: 5,
        right: Right::Policy(0),
        readiness: Readiness::Nothing,
    };
    let answers = |member: &mut Member<RecordingEnvironment>| {
        member.received(now, 1, Message::Prepare { ballot });
        member.received(now, 1, Message::Accept { ballot, record: Record { version: 6, ..bootstrapped() } });
        member.received(now, 1, ask.clone());
        let answers_to_asker = environment.sent.take().into_iter().filter(|(to, _)| *to == 1);
        let kinds = answers_to_asker.map(|(_, message)| match message {
            Message::Promise { .. } => "promise",
            Message::Accepted { .. } => "vote",
            Message::Grant { .. } => "grant",
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
fn the_window_outlasts_a_lease_by_the_slowest_clock() {
    for (right, drift, window) in
        [(10 * SECOND, 0, 10 * SECOND), (10 * SECOND, 10_000, 10_202_021), (SECOND, 200_000, 1_500_000)]
    {
        let settings = MemberSettings { right, drift, ..settings() };
        assert_eq!(settings.window(), window);
    }
}
