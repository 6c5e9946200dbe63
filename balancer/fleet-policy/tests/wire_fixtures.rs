//! Fixtures of each kind of message between members, as the datagrams that carry it. Each is decoded,
//! compared by every field, and encoded to the same bytes again.

mod common {
    pub mod records;
}
#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;

use std::collections::BTreeSet;

use common::records::{before_bootstrap, hash, record};
use fixtures::fixture;
use whinspindle_fleet_policy::{
    Ballot, ChangeOutcome, Direction, LeaseState, Message, Objection, ObservationRow, Readiness,
    ReleaseOutcome, RequestId, RequestKind, Unit, Voter,
};
use whinspindle_peer_transport::{DroppedDatagrams, MAX_DATAGRAM_BYTES, PeerTransport};
use whinspindle_rollout::{BALANCER_STRATUM, OutcomeCounts};

const FROM: u16 = 2;
const TO: u16 = 1;

fn transport(member: u16) -> PeerTransport {
    PeerTransport::new(
        member,
        5,
        "fixtures",
        "a secret of members",
        0x0102_0304 + u32::from(member),
        MAX_DATAGRAM_BYTES,
    )
}

/// The name of a message kind's fixtures. A new kind doesn't compile here until it has a name; it also needs
/// a message in the list below, and its file.
fn kind(message: &Message) -> &'static str {
    match message {
        Message::RenewLease { .. } => "renew-lease",
        Message::GrantLease { .. } => "grant-lease",
        Message::Update { .. } => "update",
        Message::Fetch { .. } => "fetch",
        Message::Chunk { .. } => "chunk",
        Message::OperatorRequest { request, .. } => match request {
            RequestKind::Propose { .. } => "request-propose",
            RequestKind::Withdraw { .. } => "request-withdraw",
            RequestKind::TakeOut { .. } => "request-take-out",
            RequestKind::Return { .. } => "request-return",
            RequestKind::BeginRelease { .. } => "request-begin-release",
            RequestKind::RollBack { .. } => "request-roll-back",
            RequestKind::EndRelease { .. } => "request-end-release",
            RequestKind::Halt { .. } => "request-halt",
            RequestKind::Resume => "request-resume",
            RequestKind::ReplaceVoter { .. } => "request-replace-voter",
        },
        Message::Prepare { .. } => "prepare",
        Message::Promise { .. } => "promise",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Observations { .. } => "observations",
        Message::Opaque { .. } => "opaque",
        Message::Refuse { .. } => "refuse",
    }
}

/// The number of variants of `Message`.
const MESSAGE_KINDS: u8 = 13;
/// The number of variants of `RequestKind`.
const REQUEST_KINDS: u8 = 10;

fn ballot(first: u64) -> Ballot {
    Ballot { epoch: first, round: first + 1000, member: first as u16 + 2, start_id: first << 56 | 3 }
}

fn renew_lease(lease_state: LeaseState, readiness: Readiness) -> Message {
    Message::RenewLease {
        asked_at: 1_800_000_000_000_001,
        incarnation: 0xb1b2_b3b4_b5b6_b7b8,
        start: 0xc1c2_c3c4_c5c6_c7c9,
        bootstrap_id: 1 << 48 | 77,
        version: 300,
        lease_state,
        readiness,
    }
}

fn request(member: u16, request: RequestKind) -> Message {
    Message::OperatorRequest {
        request,
        request_id: RequestId { member, serial: 0x5000_0000_0000_0000 + u64::from(member) },
    }
}

/// The messages, each with the suffix of its fixture's name.
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn messages() -> Vec<(&'static str, Message)> {
    let objection = Objection { line: 40_000, reason: "routes[2].to: no such zone: \"nörd\"".to_string() };
    let (voter, other) =
        (Voter { member: 4, incarnation: 0xd1d2_d3d4 }, Voter { member: 3, incarnation: 0xe1e2 });
    let rows = vec![
        ObservationRow {
            stratum: 7,
            changed: true,
            count: OutcomeCounts { executions: 100_001, bad: [11, 222, 3333] },
            max_bad_per_unit: [4, 55, 666],
        },
        ObservationRow {
            stratum: BALANCER_STRATUM,
            changed: false,
            count: OutcomeCounts { executions: u32::MAX, bad: [1, 2, 3] },
            max_bad_per_unit: [7, 8, 9],
        },
    ];
    vec![
        ("-learning", renew_lease(LeaseState::Learning, Readiness::NoChange)),
        ("-policy", renew_lease(LeaseState::Policy(1007), Readiness::MissingChunks(373))),
        ("-ready", renew_lease(LeaseState::Policy(1008), Readiness::Ready(1009))),
        ("-cut-off", renew_lease(LeaseState::CutOff, Readiness::Objected(1010, objection))),
        (
            "",
            Message::GrantLease {
                asked_at: 5_000_000_001,
                start: 0xa1a2_a3a4_a5a6_a7a9,
                voter,
                voter_set_version: 9,
                number: 1007,
            },
        ),
        ("", Message::Update { record: record() }),
        ("-before-bootstrap", Message::Update { record: before_bootstrap() }),
        ("", Message::Fetch { hash: hash(0x50), chunk: 300, missing: 0x8000_0000_0000_0005 }),
        (
            "",
            Message::Chunk { hash: hash(0x60), chunk: 301, length: 65_535, bytes: (0..176).rev().collect() },
        ),
        ("", request(1, RequestKind::Propose { hash: hash(0x70), length: 40_001 })),
        ("", request(2, RequestKind::Withdraw { number: 1011 })),
        (
            "",
            request(3, RequestKind::TakeOut { unit: Unit::Server(0x0123_4567_89ab_cdef), release: Some(14) }),
        ),
        ("-without-release", request(4, RequestKind::TakeOut { unit: Unit::Balancer(258), release: None })),
        ("", request(5, RequestKind::Return { unit: Unit::Balancer(259), done: true })),
        ("-not-done", request(6, RequestKind::Return { unit: Unit::Server(260), done: false })),
        ("", request(7, RequestKind::BeginRelease { hash: hash(0x80), length: 40_002 })),
        ("", request(8, RequestKind::RollBack { number: 1012 })),
        ("", request(9, RequestKind::EndRelease { number: 1013 })),
        ("", request(10, RequestKind::Halt { reason: "by hand: größer".to_string() })),
        ("", request(11, RequestKind::Resume)),
        ("", request(12, RequestKind::ReplaceVoter { old: 261, new: 262 })),
        ("", Message::Prepare { ballot: ballot(1) }),
        ("", Message::Promise { ballot: ballot(2), voter, accepted: Some((ballot(3), record())) }),
        ("-without-record", Message::Promise { ballot: ballot(4), voter: other, accepted: None }),
        ("", Message::Accept { ballot: ballot(5), record: record() }),
        ("", Message::Accepted { ballot: ballot(6), voter: other }),
        ("", Message::Observations { release: 15, start: 0xf1f2_f3f4_f5f6_f7f9, serial: 0x0a0b_0c0d, rows }),
        ("", Message::Opaque { bytes: vec![0, 255, 128, 127, 1] }),
        ("", Message::Refuse { ballot: ballot(7), promised: ballot(8) }),
    ]
}

#[test]
fn each_message_kind_round_trips_through_its_fixture() {
    let mut names = BTreeSet::new();
    for (suffix, message) in messages() {
        let name = format!("message-{}{suffix}.bin", kind(&message));
        let datagrams = transport(FROM).encode(TO, &message);
        assert!(datagrams.iter().all(|datagram| datagram.len() <= MAX_DATAGRAM_BYTES), "{name}");
        // Each datagram but the last has the largest size, so that the file can be split again.
        let (last, full) = datagrams.split_last().expect("a datagram");
        assert!(
            full.iter().all(|datagram| datagram.len() == MAX_DATAGRAM_BYTES) && !last.is_empty(),
            "{name}"
        );
        let bytes = fixture(&name, &datagrams.concat());
        let mut to = transport(TO);
        let received: Vec<(u16, Message)> = bytes
            .chunks(MAX_DATAGRAM_BYTES)
            .filter_map(|datagram| to.receive(0, Some(FROM), datagram))
            .collect();
        assert_eq!(received, [(FROM, message)], "{name}");
        assert_eq!(to.dropped, DroppedDatagrams::default(), "{name}");
        assert!(names.insert(name.clone()), "{name}: two messages have this name");
    }
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data");
    let files = std::fs::read_dir(folder).expect("the folder").map(|file| file.expect("a file").file_name());
    let files: BTreeSet<String> = files.map(|name| name.into_string().expect("UTF-8")).collect();
    assert_eq!(files, names, "one file for each message, and no other file");
}

/// Whether these two bytes, followed by zeros, decode to a message.
fn is_decodable(first: [u8; 2]) -> bool {
    let datagrams = transport(FROM).encode(TO, &(first, [0u8; 32], [0u8; 32]));
    transport(TO).receive::<Message>(0, Some(FROM), &datagrams[0]).is_some()
}

#[test]
fn every_message_and_request_number_has_a_fixture() {
    // The first byte of a message is the number of its kind; in a request the number of the request's kind
    // follows.
    let payload = |message: &Message| transport(FROM).encode(TO, message)[0][17..19].to_vec();
    let known: BTreeSet<u8> = messages().iter().map(|(_, message)| payload(message)[0]).collect();
    assert_eq!(known, (0..MESSAGE_KINDS).collect());
    let requests =
        messages().into_iter().filter(|(_, message)| matches!(message, Message::OperatorRequest { .. }));
    let request_kinds: BTreeSet<u8> = requests.map(|(_, message)| payload(&message)[1]).collect();
    assert_eq!(request_kinds, (0..REQUEST_KINDS).collect());
    // Each of these numbers is that of a kind, and the next number is not.
    let operator_request = payload(&messages()[9].1)[0];
    assert!((0..MESSAGE_KINDS).all(|kind| is_decodable([kind, 0])) && !is_decodable([MESSAGE_KINDS, 0]));
    assert!(
        (0..REQUEST_KINDS).all(|request| is_decodable([operator_request, request]))
            && !is_decodable([operator_request, REQUEST_KINDS])
    );
}

#[test]
fn fixtures_cover_every_variant_of_every_field() {
    // A new variant doesn't compile here until it has a number; it also needs a record or message in the
    // fixtures.
    let unit = |unit: Unit| match unit {
        Unit::Balancer(_) => 0,
        Unit::Server(_) => 1,
    };
    let direction = |direction: Direction| match direction {
        Direction::Rollout => 0,
        Direction::Rollback => 1,
    };
    let change_outcome = |outcome: ChangeOutcome| match outcome {
        ChangeOutcome::InForce => 0,
        ChangeOutcome::Withdrawn => 1,
        ChangeOutcome::Refused(_) => 2,
        ChangeOutcome::GivenUp => 3,
    };
    let release_outcome = |outcome: ReleaseOutcome| match outcome {
        ReleaseOutcome::Done => 0,
        ReleaseOutcome::TakenBack => 1,
        ReleaseOutcome::Left => 2,
    };
    let lease_state = |state: LeaseState| match state {
        LeaseState::Learning => 0,
        LeaseState::Policy(_) => 1,
        LeaseState::CutOff => 2,
    };
    let readiness = |readiness: Readiness| match readiness {
        Readiness::NoChange => 0,
        Readiness::MissingChunks(_) => 1,
        Readiness::Ready(_) => 2,
        Readiness::Objected(..) => 3,
    };
    let all = |count: usize| -> BTreeSet<usize> { (0..count).collect() };
    let known = record();
    assert_eq!(known.grants.iter().map(|grant| unit(grant.unit)).collect::<BTreeSet<_>>(), all(2));
    let directions =
        known.grants.iter().filter_map(|grant| grant.release_part).map(|part| direction(part.direction));
    assert_eq!(directions.collect::<BTreeSet<_>>(), all(2));
    assert_eq!(
        known.past_changes.iter().map(|past| change_outcome(past.outcome)).collect::<BTreeSet<_>>(),
        all(4)
    );
    assert_eq!(
        known.past_releases.iter().map(|past| release_outcome(past.outcome)).collect::<BTreeSet<_>>(),
        all(3)
    );
    let renewals = messages().into_iter().filter_map(|(_, message)| match message {
        Message::RenewLease { lease_state, readiness, .. } => Some((lease_state, readiness)),
        _ => None,
    });
    let (lease_states, readiness_states): (BTreeSet<_>, BTreeSet<_>) =
        renewals.map(|(state, progress)| (lease_state(state), readiness(progress))).unzip();
    assert_eq!((lease_states, readiness_states), (all(3), all(4)));
}
