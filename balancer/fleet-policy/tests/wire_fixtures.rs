//! Each kind of message between members, as the datagrams that carry it: read, compared by every field, and
//! written as the same bytes again.

mod common {
    pub mod records;
}
#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;

use std::collections::BTreeSet;

use common::records::{before_bootstrap, hash, record};
use fixtures::fixture;
use whinspindle_fleet_policy::{
    Ballot, ChangeOutcome, Close, Direction, Message, Objection, ObservationRow, Readiness, RequestId,
    RequestKind, Right, Unit, Voter,
};
use whinspindle_peer_transport::{DroppedDatagrams, MAX_DATAGRAM_BYTES, PeerTransport};
use whinspindle_rollout::{Count, OF_BALANCERS};

const FROM: u16 = 2;
const TO: u16 = 1;

fn peers(me: u16) -> PeerTransport {
    PeerTransport::new(
        me,
        5,
        "fixtures",
        "a secret of members",
        0x0102_0304 + u32::from(me),
        MAX_DATAGRAM_BYTES,
    )
}

/// The name of a message kind's fixtures. A new kind doesn't compile here: it needs a name, a message in the list
/// below, and its file.
fn kind(message: &Message) -> &'static str {
    match message {
        Message::Ask { .. } => "ask",
        Message::Grant { .. } => "grant",
        Message::Update { .. } => "news",
        Message::Fetch { .. } => "fetch",
        Message::Chunk { .. } => "piece",
        Message::OperatorRequest { request, .. } => match request {
            RequestKind::Propose { .. } => "wanted-propose",
            RequestKind::Withdraw { .. } => "wanted-withdraw",
            RequestKind::Out { .. } => "wanted-out",
            RequestKind::Back { .. } => "wanted-back",
            RequestKind::Release { .. } => "wanted-release",
            RequestKind::Turn { .. } => "wanted-turn",
            RequestKind::Leave { .. } => "wanted-leave",
            RequestKind::Halt { .. } => "wanted-halt",
            RequestKind::Resume => "wanted-resume",
            RequestKind::Voters { .. } => "wanted-voters",
        },
        Message::Prepare { .. } => "prepare",
        Message::Promise { .. } => "promise",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Observations { .. } => "figures",
        Message::Aside { .. } => "aside",
        Message::Refuse { .. } => "refuse",
    }
}

/// Variants of `Message`, and of `RequestKind` below.
const MESSAGE_KINDS: u8 = 13;
const REQUEST_KINDS: u8 = 10;

fn ballot(first: u64) -> Ballot {
    Ballot { epoch: first, round: first + 1000, member: first as u16 + 2, start_id: first << 56 | 3 }
}

fn ask(right: Right, readiness: Readiness) -> Message {
    Message::Ask {
        at: 1_800_000_000_000_001,
        incarnation: 0xb1b2_b3b4_b5b6_b7b8,
        start: 0xc1c2_c3c4_c5c6_c7c9,
        bootstrap_id: 1 << 48 | 77,
        version: 300,
        right,
        readiness,
    }
}

fn request(by: u16, request: RequestKind) -> Message {
    Message::OperatorRequest {
        request,
        request_id: RequestId { by, serial: 0x5000_0000_0000_0000 + u64::from(by) },
    }
}

/// The messages, by what follows the kind in the fixture's name.
fn messages() -> Vec<(&'static str, Message)> {
    let objection = Objection { line: 40_000, words: "routes[2].to: no such zone: \"nörd\"".to_string() };
    let (voter, other) =
        (Voter { member: 4, incarnation: 0xd1d2_d3d4 }, Voter { member: 3, incarnation: 0xe1e2 });
    let rows = vec![
        ObservationRow {
            stratum: 7,
            changed: true,
            count: Count { executions: 100_001, bad: [11, 222, 3333] },
            most: [4, 55, 666],
        },
        ObservationRow {
            stratum: OF_BALANCERS,
            changed: false,
            count: Count { executions: u32::MAX, bad: [1, 2, 3] },
            most: [7, 8, 9],
        },
    ];
    vec![
        ("-learning", ask(Right::Learning, Readiness::Nothing)),
        ("-policy", ask(Right::Policy(1007), Readiness::Lacks(373))),
        ("-ready", ask(Right::Policy(1008), Readiness::Ready(1009))),
        ("-cut-off", ask(Right::CutOff, Readiness::Objects(1010, objection))),
        (
            "",
            Message::Grant {
                at: 5_000_000_001,
                start: 0xa1a2_a3a4_a5a6_a7a9,
                voter,
                voter_set_version: 9,
                number: 1007,
            },
        ),
        ("", Message::Update { record: record() }),
        ("-unfounded", Message::Update { record: before_bootstrap() }),
        ("", Message::Fetch { hash: hash(0x50), chunk: 300, missing: 0x8000_0000_0000_0005 }),
        (
            "",
            Message::Chunk { hash: hash(0x60), chunk: 301, length: 65_535, bytes: (0..176).rev().collect() },
        ),
        ("", request(1, RequestKind::Propose { hash: hash(0x70), length: 40_001 })),
        ("", request(2, RequestKind::Withdraw { number: 1011 })),
        ("", request(3, RequestKind::Out { unit: Unit::Server(0x0123_4567_89ab_cdef), release: Some(14) })),
        ("-for-a-cause", request(4, RequestKind::Out { unit: Unit::Balancer(258), release: None })),
        ("", request(5, RequestKind::Back { unit: Unit::Balancer(259), done: true })),
        ("-undone", request(6, RequestKind::Back { unit: Unit::Server(260), done: false })),
        ("", request(7, RequestKind::Release { hash: hash(0x80), length: 40_002 })),
        ("", request(8, RequestKind::Turn { number: 1012 })),
        ("", request(9, RequestKind::Leave { number: 1013 })),
        ("", request(10, RequestKind::Halt { why: "by hand: größer".to_string() })),
        ("", request(11, RequestKind::Resume)),
        ("", request(12, RequestKind::Voters { old: 261, new: 262 })),
        ("", Message::Prepare { ballot: ballot(1) }),
        ("", Message::Promise { ballot: ballot(2), voter, accepted: Some((ballot(3), record())) }),
        ("-of-nothing", Message::Promise { ballot: ballot(4), voter: other, accepted: None }),
        ("", Message::Accept { ballot: ballot(5), record: record() }),
        ("", Message::Accepted { ballot: ballot(6), voter: other }),
        ("", Message::Observations { release: 15, start: 0xf1f2_f3f4_f5f6_f7f9, serial: 0x0a0b_0c0d, rows }),
        ("", Message::Aside { bytes: vec![0, 255, 128, 127, 1] }),
        ("", Message::Refuse { ballot: ballot(7), promised: ballot(8) }),
    ]
}

#[test]
fn each_kind_of_message_is_read_from_its_datagrams_and_written_as_the_same_bytes() {
    let mut names = BTreeSet::new();
    for (of, message) in messages() {
        let name = format!("message-{}{of}.bin", kind(&message));
        let datagrams = peers(FROM).datagrams(TO, &message);
        assert!(datagrams.iter().all(|datagram| datagram.len() <= MAX_DATAGRAM_BYTES), "{name}");
        // Each datagram but the last has the largest size, so that they can be split again.
        let (last, full) = datagrams.split_last().expect("a datagram");
        assert!(
            full.iter().all(|datagram| datagram.len() == MAX_DATAGRAM_BYTES) && !last.is_empty(),
            "{name}"
        );
        let bytes = fixture(&name, &datagrams.concat());
        let mut to = peers(TO);
        let received: Vec<(u16, Message)> = bytes
            .chunks(MAX_DATAGRAM_BYTES)
            .filter_map(|datagram| to.take(0, Some(FROM), datagram))
            .collect();
        assert_eq!(received, [(FROM, message)], "{name}");
        assert_eq!(to.dropped, DroppedDatagrams::default(), "{name}");
        assert!(names.insert(name.clone()), "{name}: two messages have this name");
    }
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data");
    let files = std::fs::read_dir(folder).expect("the folder").map(|file| file.expect("a file").file_name());
    let files: BTreeSet<String> = files.map(|name| name.into_string().expect("UTF-8")).collect();
    assert_eq!(files, names, "a file for each message, and none else");
}

/// Whether these are the first bytes of some message whose other bytes are zeros.
fn is_received(first: [u8; 2]) -> bool {
    let datagrams = peers(FROM).datagrams(TO, &(first, [0u8; 32], [0u8; 32]));
    peers(TO).take::<Message>(0, Some(FROM), &datagrams[0]).is_some()
}

#[test]
fn every_message_and_request_number_has_a_fixture() {
    // The first byte of a message is the number of its kind; that of a request follows it.
    let payload = |message: &Message| peers(FROM).datagrams(TO, message)[0][17..19].to_vec();
    let known: BTreeSet<u8> = messages().iter().map(|(_, message)| payload(message)[0]).collect();
    assert_eq!(known, (0..MESSAGE_KINDS).collect());
    let requests =
        messages().into_iter().filter(|(_, message)| matches!(message, Message::OperatorRequest { .. }));
    let request_kinds: BTreeSet<u8> = requests.map(|(_, message)| payload(&message)[1]).collect();
    assert_eq!(request_kinds, (0..REQUEST_KINDS).collect());
    // Each of these numbers is one of a kind, and the next is not.
    let operator_request = payload(&messages()[9].1)[0];
    assert!((0..MESSAGE_KINDS).all(|kind| is_received([kind, 0])) && !is_received([MESSAGE_KINDS, 0]));
    assert!(
        (0..REQUEST_KINDS).all(|request| is_received([operator_request, request]))
            && !is_received([operator_request, REQUEST_KINDS])
    );
}

#[test]
fn the_fixtures_have_every_variant_of_every_field() {
    // A new variant doesn't compile here: it needs a record or message among the fixtures.
    let unit = |unit: Unit| match unit {
        Unit::Balancer(_) => 0,
        Unit::Server(_) => 1,
    };
    let way = |way: Direction| match way {
        Direction::Rollout => 0,
        Direction::Rollback => 1,
    };
    let outcome = |outcome: ChangeOutcome| match outcome {
        ChangeOutcome::InForce => 0,
        ChangeOutcome::Withdrawn => 1,
        ChangeOutcome::Refused(_) => 2,
        ChangeOutcome::GivenUp => 3,
    };
    let close = |close: Close| match close {
        Close::Done => 0,
        Close::TakenBack => 1,
        Close::Left => 2,
    };
    let right = |right: Right| match right {
        Right::Learning => 0,
        Right::Policy(_) => 1,
        Right::CutOff => 2,
    };
    let readiness = |readiness: Readiness| match readiness {
        Readiness::Nothing => 0,
        Readiness::Lacks(_) => 1,
        Readiness::Ready(_) => 2,
        Readiness::Objects(..) => 3,
    };
    let all = |count: usize| -> BTreeSet<usize> { (0..count).collect() };
    let known = record();
    assert_eq!(known.out.iter().map(|out| unit(out.unit)).collect::<BTreeSet<_>>(), all(2));
    let ways = known.out.iter().filter_map(|out| out.part).map(|part| way(part.way));
    assert_eq!(ways.collect::<BTreeSet<_>>(), all(2));
    assert_eq!(known.past.iter().map(|past| outcome(past.outcome)).collect::<BTreeSet<_>>(), all(4));
    assert_eq!(known.past_releases.iter().map(|past| close(past.close)).collect::<BTreeSet<_>>(), all(3));
    let asks = messages().into_iter().filter_map(|(_, message)| match message {
        Message::Ask { right, readiness, .. } => Some((right, readiness)),
        _ => None,
    });
    let (rights, states): (BTreeSet<_>, BTreeSet<_>) =
        asks.map(|(of, how)| (right(of), readiness(how))).unzip();
    assert_eq!((rights, states), (all(3), all(4)));
}
