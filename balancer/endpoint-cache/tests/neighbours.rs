//! What is taken of what neighbours say, and how far; and the first seconds of a process that comes back.

use std::net::SocketAddr;

use whinspindle::host::EndpointState;
use whinspindle_endpoint_cache::{
    Ages, NeighbourMessage, Neighbours, RecoveryTracker, SecondSummary, StartupLimit, Trust,
};
use whinspindle_protocol::endpoints::ListedServer;

const SECOND: u64 = 1_000_000;
const AGES: Ages = Ages { fresh: 10 * SECOND, old: 100 * SECOND };
const MEMBERS: u16 = 5;
const NOW: u64 = 1_000 * SECOND;

fn list(count: usize) -> Vec<ListedServer> {
    let server = |number: usize| ListedServer {
        name: format!("s-{number}"),
        zone: "a".to_string(),
        kind: "m".to_string(),
        cell: 0,
        relative_capacity: 1.0,
        started_at: 5 * SECOND,
        state: if number == 1 { EndpointState::Draining } else { EndpointState::Ready },
        address: Some(SocketAddr::from(([127, 0, 0, 1], 9000 + number as u16))),
    };
    (0..count).map(server).collect()
}

/// Member 0 comes back; each other was told so many servers so many seconds ago, or knows nothing. Of the
/// messages nearly a third is lost. What it takes in the end, and how many messages that took.
fn back(others: [Option<(usize, u64)>; 4]) -> (Option<(usize, Trust, u64)>, usize) {
    let mut members: Vec<Neighbours> =
        (0..MEMBERS).map(|me| Neighbours::new(me, MEMBERS, AGES, u64::from(me), NOW)).collect();
    for (other, told) in others.iter().enumerate() {
        if let Some((count, ago)) = told {
            let mut servers = list(*count);
            // In whatever order discovery told them.
            servers.rotate_left(other % count);
            members[other + 1].told(NOW - ago * SECOND, &servers);
        }
    }
    let (mut taken, mut messages) = (None, 0);
    for step in 0..400 {
        let now = NOW + step * 10_000;
        let mut queue: Vec<(u16, u16, NeighbourMessage)> =
            members[0].tick(now).into_iter().map(|(to, message)| (0, to, message)).collect();
        while let Some((from, to, message)) = queue.pop() {
            messages += 1;
            if (messages as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60 < 5 {
                continue;
            }
            let answers = members[to as usize].receive(now, from, &message.to_bytes());
            queue.extend(answers.into_iter().map(|message| (to, from, message)));
        }
        if let Some((update, trust)) = members[0].take(now, 7 * SECOND) {
            assert!(update.is_complete && update.servers.iter().any(|s| s.state == EndpointState::Draining));
            taken = Some((update.servers.len(), trust, update.servers[0].started_at / SECOND));
        }
    }
    (taken, messages)
}

#[test]
fn two_that_agree_are_believed_one_is_doubted_and_nobody_makes_anything_up() {
    use Trust::{Doubted, Full, Unverified};
    for (what, others, wanted) in [
        ("two alike", [Some((300, 2)), Some((300, 3)), None, None], Some((300, Full, 5))),
        ("two alike, long ago", [Some((9, 50)), Some((9, 60)), None, None], Some((9, Full, 5))),
        ("two alike, too long ago", [Some((9, 500)), Some((9, 600)), None, None], Some((9, Unverified, 7))),
        ("one alone", [None, Some((30, 1)), None, None], Some((30, Doubted, 7))),
        ("a wrong one beside two", [Some((8, 1)), Some((9, 2)), Some((9, 2)), None], Some((9, Full, 5))),
        // A zone is back from a cut and has the list of before; the others were told last.
        ("two from a cut", [Some((8, 90)), Some((8, 95)), Some((9, 1)), Some((9, 1))], Some((9, Full, 5))),
        ("all are new", [None, None, None, None], None),
    ] {
        let (taken, messages) = back(others);
        assert_eq!(taken, wanted, "{what}");
        assert!(messages < 1_500, "{what}: {messages} messages");
    }
}

#[test]
fn those_that_return_do_not_push_a_member_over_and_garbage_is_nothing() {
    let mut member = Neighbours::new(0, MEMBERS, AGES, 0, NOW);
    member.told(NOW, &list(3_000));
    let NeighbourMessage::Has { name, length, .. } =
        member.receive(NOW, 1, &NeighbourMessage::Ask.to_bytes()).remove(0)
    else {
        panic!("it has a list");
    };
    assert!(length > 50_000, "{length}");
    let given: usize = (0..1_000)
        .map(|_| member.receive(NOW, 1, &NeighbourMessage::Fetch { name, from: 0 }.to_bytes()).len())
        .sum();
    assert_eq!(given, 4_000, "in one second");
    assert!(member.tick(NOW).is_empty(), "discovery has answered");
    let mut asks = Neighbours::new(1, MEMBERS, AGES, 0, NOW);
    for bytes in [&[][..], &[9; 300], &[1; 5]] {
        assert!(asks.receive(NOW, 2, bytes).is_empty());
    }
    // Pieces under the name of another list are thrown away, and the list is asked for anew.
    asks.receive(NOW, 2, &NeighbourMessage::Has { name: [7; 16], length: 10, age: 0 }.to_bytes());
    let later = NOW + SECOND;
    assert!(
        asks.tick(later)
            .iter()
            .any(|(to, message)| *to == 2 && matches!(message, NeighbourMessage::Fetch { .. }))
    );
    asks.receive(
        later,
        2,
        &NeighbourMessage::Chunk { name: [7; 16], chunk: 0, bytes: vec![1; 10] }.to_bytes(),
    );
    assert!(asks.take(later, 0).is_none());
}

#[test]
fn a_beginning_takes_more_as_long_as_answers_stay_fast() {
    // Servers that hold so many at once and answer the slower the more they hold; clients always want more.
    for (servers, room, over_by) in [(12, 60, 40), (12, 6, 80), (1, 1000, 40)] {
        let mut startup_limit = StartupLimit::new(servers, 3, 150_000, 0);
        let (mut open, mut most, mut now) = (0_usize, 0, 0);
        let mut steps = 0;
        while !startup_limit.is_over() {
            now += 150_000;
            steps += 1;
            while steps < over_by - 20
                && startup_limit.take(now, open, 0.5).is_err() == (open > 200)
                && open <= 200
            {
                open += 1;
            }
            most = most.max(open);
            // What is turned away is told when to come back, spread out.
            if let Err(wait) = startup_limit.take(now, usize::MAX - 1, 0.5) {
                assert!((150_000..=600_000).contains(&wait));
            }
            let spent = 20_000 * (open / room).max(1) as u64;
            (0..open.min(16)).for_each(|_| startup_limit.completed(spent));
            open = 0;
            assert!(steps <= 100, "it ends");
        }
        assert!(most > 0 && startup_limit.rejected() > 0);
    }
}

#[test]
fn a_process_is_whole_once_and_tells_what_it_waited_for() {
    let mut whole = RecoveryTracker::new(0);
    let mut told = Vec::new();
    // Four seconds by a kept list, of which two without a policy; then a second in which half is rejected.
    for second in 1..=12_u64 {
        let of = SecondSummary {
            told: second > 4,
            settled: second > 2,
            takes_all: second > 3,
            completed: second * 100 - if second >= 6 { 50 } else { 0 },
            answered: second * 100,
        };
        told.extend(whole.second(second * SECOND, of).map(|words| (second, words)));
    }
    assert_eq!(told.len(), 1, "{told:?}");
    assert_eq!(told[0].0, 9);
    assert!(
        told[0].1.starts_with("whole after 6 s: 4 s without discovery's list, 2 s without a policy"),
        "{told:?}"
    );
}
