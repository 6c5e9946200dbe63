//! Messages and durable records as earlier sources sent and stored them: they mean the same, and the same bytes are
//! written again.

mod common;
mod fixtures;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use common::node::{Registers, cluster};
use serde::Serialize;
use serde::de::DeserializeOwned;
use whinspindle_consensus::{AcceptorState, Ballot};
use whinspindle_digests::{Digest, KeyRange, RangeDigest};
use whinspindle_lab_simulated_cluster::{Effect, Event, NetworkTiming, Process};
use whinspindle_replica::{
    Answer, ChainLink, Member, Message, Origin, Record, RecordWrite, Records, RecoverError, Replica,
    ReplicaSettings, StandardRules, Timing, Tolerance, View, Voter,
};

/// An entry as its fields: sequence, view, writes, answer and origin.
type EntryFields = (u64, u64, Vec<RecordWrite>, Answer, Origin);
/// An outcome as its fields: sequence, answer and origin.
type OutcomeFields = (u64, Answer, Origin);
/// The contents of a range as their fields.
type RangeFields = (KeyRange, Vec<(String, Record)>);
/// The durable state as its fields: incarnation, votes, decided, complete, records, committed, log and outcomes.
type StateFields =
    (u64, AcceptorState<View>, (Ballot, View), u64, Records, u64, Vec<EntryFields>, Vec<OutcomeFields>);

/// A value of a type without a public name, of its fields in their order.
fn made<T: DeserializeOwned>(fields: impl Serialize) -> T {
    postcard::from_bytes(&bytes(fields)).expect("the fields are those of the type")
}

fn bytes(value: impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(&value).expect("it can be written")
}

fn v4() -> SocketAddr {
    "10.1.2.3:7700".parse().unwrap()
}

fn v6() -> SocketAddr {
    "[2001:db8::5:6]:7701".parse().unwrap()
}

fn voter(member: u16) -> Voter {
    Voter { member, incarnation: 0x1122_3344_5566_0000 + u64::from(member) }
}

fn ballot(round: u64) -> Ballot {
    Ballot { epoch: 3, round, member: 0x0201, start_id: 0x0807_0605_0403_0201 }
}

fn link(member: u16, since_view: u64) -> ChainLink {
    ChainLink { voter: voter(member), since_view }
}

fn view() -> View {
    let member = |number: u16, endpoint, zone: &str, region: &str| Member {
        voter: voter(number),
        endpoint,
        zone: zone.to_string(),
        region: region.to_string(),
    };
    View {
        number: 41,
        members: vec![
            member(1, v4(), "zone-a", "north"),
            member(2, v6(), "zone-ü", "south"),
            member(3, v4(), "", ""),
        ],
        voter_sets: vec![vec![voter(1), voter(2), voter(3)], vec![voter(2)]],
        chain: vec![link(2, 40), link(1, 17)],
        former_chains: vec![vec![link(1, 16), link(3, 15)], vec![], vec![link(3, 14)]],
        next_member: 4,
    }
}

fn origin(ticket: u64) -> Origin {
    Origin { endpoint: if ticket.is_multiple_of(2) { v6() } else { v4() }, start_id: 0xfedc_ba98, ticket }
}

fn write(key: &str, value: Option<&[u8]>) -> RecordWrite {
    RecordWrite { key: key.to_string(), value: value.map(<[u8]>::to_vec) }
}

fn entries() -> Vec<EntryFields> {
    let writes =
        vec![write("key/one", Some(b"value \x00\xff")), write("key/two", None), write("", Some(b""))];
    vec![
        (901, 41, writes, Answer::Value(b"answer".to_vec()), origin(71)),
        (902, 40, vec![], Answer::Record("key/one".to_string()), origin(72)),
    ]
}

fn outcomes() -> Vec<OutcomeFields> {
    vec![
        (899, Answer::Value(vec![1, 2, 3]), origin(69)),
        (900, Answer::Record("key/zero".to_string()), origin(70)),
    ]
}

fn record(sequence: u64, value: &[u8]) -> Record {
    Record { sequence, value: value.to_vec().into() }
}

fn ranges() -> Vec<RangeFields> {
    let bounded = KeyRange { start: "key/a".to_string(), end: Some("key/m".to_string()) };
    let open = KeyRange { start: "key/m".to_string(), end: None };
    let records = vec![("key/b".to_string(), record(7, b"seven")), ("key/c".to_string(), record(8, b""))];
    vec![(bounded, records), (open, vec![])]
}

fn digests() -> Vec<RangeDigest> {
    let digest =
        |first: u8| Digest::from_bytes(&std::array::from_fn::<u8, 16, _>(|at| first + at as u8)).unwrap();
    let [(bounded, _), (open, _)] = ranges().try_into().unwrap();
    vec![
        RangeDigest { range: bounded, digest: digest(0x10) },
        RangeDigest { range: open, digest: digest(0xa0) },
    ]
}

/// Any message of a running replica that lists received heartbeats.
fn running_heartbeat() -> Message {
    let mut cluster = cluster::<StandardRules>(1, 3, 1, NetworkTiming::default());
    cluster.run_until(3_000);
    let now = cluster.now();
    let process = cluster.process_mut(common::node::endpoint(0)).unwrap();
    let effects = (0..40).flat_map(|tick| process.handle(now + 50 * tick, Event::Tick));
    let mut sent = effects.filter_map(|effect| match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.find(|message| matches!(message, Message::Heartbeat(heartbeat) if !heartbeat.received.is_empty()))
        .unwrap()
}

fn heartbeat() -> Message {
    let mut message = running_heartbeat();
    let Message::Heartbeat(heartbeat) = &mut message else { unreachable!("it was found as one") };
    heartbeat.incarnation = 0x0102_0304_0506_0708;
    heartbeat.start_id = 0x1112_1314_1516_1718;
    heartbeat.zone = "zone-a".to_string();
    heartbeat.region = "north".to_string();
    heartbeat.view = 41;
    heartbeat.report.complete_view = 40;
    heartbeat.report.committed = 900;
    heartbeat.sent_at = 123_456_789;
    heartbeat.is_fenced = true;
    heartbeat.is_stalled = false;
    heartbeat.is_shutting_down = true;
    // Releases before the field send nothing.
    heartbeat.protocol = 0;
    let (mut first, mut second) = (heartbeat.received[0], heartbeat.received[0]);
    (first.endpoint, first.start_id, first.sent_at) = (v4(), 0x21, 0x22);
    (second.endpoint, second.start_id, second.sent_at) = (v6(), 0x31, 0x32);
    heartbeat.received = vec![first, second];
    message
}

/// Another heartbeat, with each of the three states inverted and no heartbeat received.
fn other_heartbeat() -> Message {
    let mut message = heartbeat();
    let Message::Heartbeat(heartbeat) = &mut message else { unreachable!("it was made as one") };
    heartbeat.received.clear();
    heartbeat.is_fenced = false;
    heartbeat.is_stalled = true;
    heartbeat.is_shutting_down = false;
    message
}

/// A heartbeat of a release that tells the version of its protocol.
fn heartbeat_with_protocol() -> Message {
    let mut message = heartbeat();
    let Message::Heartbeat(heartbeat) = &mut message else { unreachable!("it was made as one") };
    heartbeat.protocol = 1;
    message
}

fn promise(accepted: Option<Box<(Ballot, View)>>) -> Message {
    let mut message =
        Message::Promise { voter: voter(2), ballot: ballot(6), accepted, report: Default::default() };
    let Message::Promise { report, .. } = &mut message else { unreachable!("it was made as one") };
    report.complete_view = 40;
    report.committed = 900;
    message
}

fn decided() -> Message {
    let mut message = Message::Decided(Default::default());
    let Message::Decided(decided) = &mut message else { unreachable!("it was made as one") };
    decided.ballot = ballot(11);
    decided.view = view();
    message
}

fn resume() -> Message {
    let mut message = Message::Resume { view: 41, state: Default::default() };
    let Message::Resume { state, .. } = &mut message else { unreachable!("it was made as one") };
    state.is_complete = true;
    state.last = 902;
    state.committed = 900;
    state.digests = digests();
    message
}

fn synchronize() -> Message {
    let mut message = Message::Synchronize { view: 41, transfer: Default::default() };
    let Message::Synchronize { transfer, .. } = &mut message else { unreachable!("it was made as one") };
    transfer.base = 850;
    transfer.ranges = made(ranges());
    transfer.position = 900;
    transfer.outcomes = made(outcomes());
    transfer.entries = made(entries());
    transfer.committed = 901;
    message
}

fn learn() -> Message {
    let Message::Synchronize { transfer, .. } = synchronize() else { unreachable!("it was made as one") };
    Message::Learn { view: 42, transfer }
}

fn append() -> Message {
    let reads = vec![
        (902_u64, Answer::Value(b"read".to_vec()), origin(81)),
        (903_u64, Answer::Record("key/one".to_string()), origin(82)),
    ];
    Message::Append { view: 41, entries: made(entries()), reads: made(reads) }
}

/// All fixtures of messages, by the names of their files.
fn messages() -> Vec<(&'static str, Message)> {
    let accepted = Some(Box::new((ballot(5), view())));
    vec![
        ("heartbeat", heartbeat()),
        ("heartbeat-hears-nobody", other_heartbeat()),
        ("heartbeat-protocol", heartbeat_with_protocol()),
        ("prepare", Message::Prepare { voter: voter(1), ballot: ballot(4), known_view: 39 }),
        ("promise", promise(accepted)),
        ("promise-nothing-accepted", promise(None)),
        ("accept", Message::Accept { voter: voter(2), ballot: ballot(7), view: view() }),
        ("accepted", Message::Accepted { voter: voter(3), ballot: ballot(8) }),
        ("rejected", Message::Rejected { ballot: ballot(9), promised: ballot(10) }),
        ("decided", decided()),
        ("submit", Message::Submit { origin: origin(73), command: b"a command \x00\xff".to_vec() }),
        (
            "replied",
            Message::Replied { start_id: 51, ticket: 52, sequence: 53, answer: b"an answer".to_vec() },
        ),
        ("append", append()),
        ("acknowledge", Message::Acknowledge { view: 41, last: 902, committed: 901 }),
        ("resume", resume()),
        ("synchronize", synchronize()),
        ("pull", Message::Pull { committed: 850, digests: digests() }),
        ("learn", learn()),
        ("voter-lost", Message::VoterLost { voter: voter(3), ballot: ballot(12) }),
    ]
}

const KINDS: usize = 16;

/// The number of the kind. A new kind or a new field of one does not compile until it is named here, and fails until
/// it has a fixture.
fn kind(message: &Message) -> usize {
    match message {
        Message::Heartbeat(_) => 0,
        Message::Prepare { voter: _, ballot: _, known_view: _ } => 1,
        Message::Promise { voter: _, ballot: _, accepted: _, report: _ } => 2,
        Message::Accept { voter: _, ballot: _, view: _ } => 3,
        Message::Accepted { voter: _, ballot: _ } => 4,
        Message::Rejected { ballot: _, promised: _ } => 5,
        Message::Decided(_) => 6,
        Message::Submit { origin: _, command: _ } => 7,
        Message::Replied { start_id: _, ticket: _, sequence: _, answer: _ } => 8,
        Message::Append { view: _, entries: _, reads: _ } => 9,
        Message::Acknowledge { view: _, last: _, committed: _ } => 10,
        Message::Resume { view: _, state: _ } => 11,
        Message::Synchronize { view: _, transfer: _ } => 12,
        Message::Pull { committed: _, digests: _ } => 13,
        Message::Learn { view: _, transfer: _ } => 14,
        Message::VoterLost { voter: _, ballot: _ } => 15,
    }
}

#[test]
fn messages_are_read_and_written_as_they_were() {
    for (name, message) in messages() {
        let stored = fixtures::read(&format!("message-{name}.bin"), &message.encode());
        let read = Message::decode(&stored).expect(name);
        assert_eq!(read, message, "{name}");
        assert_eq!(read.encode(), stored, "{name}");
    }
}

#[test]
fn each_kind_of_message_has_a_fixture() {
    let kinds: BTreeSet<usize> = messages().iter().map(|(_, message)| kind(message)).collect();
    assert_eq!(kinds, (0..KINDS).collect());
}

/// A replica that is no member of the view, so that it only follows.
fn settings() -> ReplicaSettings {
    ReplicaSettings {
        endpoint: "10.9.9.9:7700".parse().unwrap(),
        zone: "zone-c".to_string(),
        region: "south".to_string(),
        seeds: vec![v4()],
        bootstrap: false,
        incarnation: 5,
        start_id: 6,
        tolerance: Tolerance::machines_only(1),
        timing: Timing::default(),
    }
}

fn state() -> StateFields {
    let mut records = Records::default();
    records.apply(898, &[write("key/b", Some(b"old")), write("key/zero", Some(b"zero"))]);
    let votes = AcceptorState { promised: ballot(10), accepted: Some((ballot(9), view())) };
    (0x0102_0304_0506_0708, votes, (ballot(8), view()), 40, records, 900, entries(), outcomes())
}

/// The state as the replica writes it that found this on its disk.
fn rewritten(checkpoint: &[u8], log: Vec<Vec<u8>>) -> Vec<u8> {
    let (replica, _) = Replica::<_, StandardRules>::with_rules(
        settings(),
        Registers,
        (Some(checkpoint.to_vec()), log),
        1_000,
    )
    .expect("it can be read");
    replica.due_checkpoint(usize::MAX).expect("nothing waits for the disk")
}

#[test]
fn a_durable_state_is_read_and_written_as_it_was() {
    let stored = fixtures::read("durable-state.bin", &bytes(state()));
    assert_eq!(postcard::from_bytes::<StateFields>(&stored).unwrap(), state());
    assert_eq!(rewritten(&stored, Vec::new()), stored);
    let recovered = (Some(stored), Vec::new());
    let (replica, _) = Replica::new(settings(), Registers, recovered, 1_000).expect("it can be read");
    assert_eq!(replica.view(), &view());
    assert_eq!((replica.committed_sequence(), replica.newest_sequence()), (900, 902));
    assert_eq!(replica.committed_records(), &state().4);
}

/// Each kind of durable record as its number and fields, and what it makes of [`state`].
fn durable_records() -> Vec<(&'static str, Vec<u8>, StateFields)> {
    let mut other_view = view();
    other_view.number = 42;
    let changed = |change: &dyn Fn(&mut StateFields)| {
        let mut state = state();
        change(&mut state);
        state
    };
    let votes = AcceptorState { promised: ballot(21), accepted: Some((ballot(20), other_view.clone())) };
    let decided = (ballot(22), other_view);
    let entry: EntryFields = (903, 42, vec![write("key/d", Some(b"four"))], Answer::default(), origin(74));
    let replacement = (900_u64, ranges(), outcomes()[1..].to_vec());
    let log = entries();
    vec![
        ("votes", bytes((0_u32, &votes)), changed(&|state| state.1 = votes.clone())),
        ("decided", bytes((1_u32, &decided)), changed(&|state| state.2 = decided.clone())),
        ("entry", bytes((2_u32, &entry)), changed(&|state| state.6.push(entry.clone()))),
        (
            "committed",
            bytes((3_u32, 901_u64)),
            changed(&|state| {
                let (sequence, _, writes, answer, origin) = state.6.remove(0);
                state.4.apply(sequence, &writes);
                state.5 = 901;
                state.7.push((sequence, answer, origin));
            }),
        ),
        ("truncate", bytes((4_u32, 901_u64)), changed(&|state| state.6 = log[..1].to_vec())),
        (
            "replace",
            bytes((5_u32, &replacement)),
            changed(&|state| {
                state.4 = Records::default();
                // Before the first range and in it; the second takes `key/zero` away.
                state.4.apply(7, &[write("key/b", Some(b"seven"))]);
                state.4.apply(8, &[write("key/c", Some(b""))]);
                state.7 = replacement.2.clone();
            }),
        ),
        ("complete", bytes((6_u32, 41_u64)), changed(&|state| state.3 = 41)),
    ]
}

#[test]
fn durable_records_are_read_as_they_were() {
    let checkpoint = bytes(state());
    for (name, record, after) in durable_records() {
        let stored = fixtures::read(&format!("durable-record-{name}.bin"), &record);
        assert_eq!(stored, record, "{name}");
        let observed = rewritten(&checkpoint, vec![stored]);
        assert_eq!(postcard::from_bytes::<StateFields>(&observed).unwrap(), after, "{name}");
        assert_eq!(observed, bytes(after), "{name}");
    }
}

#[test]
fn a_durable_record_of_a_kind_without_a_fixture_is_rejected() {
    let record = bytes((durable_records().len() as u32, [0_u64; 16]));
    let observed = Replica::new(settings(), Registers, (None, vec![record]), 1_000);
    assert!(matches!(observed, Err(RecoverError::Log { index: 0, .. })));
}
