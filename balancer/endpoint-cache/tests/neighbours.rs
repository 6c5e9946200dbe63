//! The exchange of endpoint lists between neighbours, the startup limit, and the report of a recovery.

use std::net::SocketAddr;

use whinspindle::host::EndpointState;
use whinspindle_endpoint_cache::{
    AgeLimits, NeighbourExchange, NeighbourMessage, RecoveryTracker, SecondSummary, StartupLimit, Trust,
};
use whinspindle_protocol::endpoints::ListedServer;

const SECOND: u64 = 1_000_000;
const AGE_LIMITS: AgeLimits = AgeLimits { fresh_us: 10 * SECOND, old_us: 100 * SECOND };
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

/// Restarts member 0 beside four others, each with a list of some length and age in seconds, or none. Nearly
/// a third of the messages is lost. Returns the list that member 0 ends up with, and the number of messages.
fn restart_member(others: [Option<(usize, u64)>; 4]) -> (Option<(usize, Trust, u64)>, usize) {
    let mut members: Vec<NeighbourExchange> = (0..MEMBERS)
        .map(|member| NeighbourExchange::new(member, MEMBERS, AGE_LIMITS, u64::from(member), NOW))
        .collect();
    for (other, list_and_age) in others.iter().enumerate() {
        if let Some((count, age)) = list_and_age {
            let mut servers = list(*count);
            // The order of the servers must not matter.
            servers.rotate_left(other % count);
            members[other + 1].record_discovered(NOW - age * SECOND, &servers);
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
        if let Some((update, trust)) = members[0].take_list(now, 7 * SECOND) {
            assert!(update.is_complete && update.servers.iter().any(|s| s.state == EndpointState::Draining));
            taken = Some((update.servers.len(), trust, update.servers[0].started_at / SECOND));
        }
    }
    (taken, messages)
}

#[test]
fn lists_are_trusted_by_age_and_by_how_many_neighbours_agree() {
    use Trust::{Doubted, Full, Unverified};
    for (case, others, expected) in [
        ("two alike", [Some((300, 2)), Some((300, 3)), None, None], Some((300, Full, 5))),
        ("two alike, long ago", [Some((9, 50)), Some((9, 60)), None, None], Some((9, Full, 5))),
        ("two alike, too long ago", [Some((9, 500)), Some((9, 600)), None, None], Some((9, Unverified, 7))),
        ("one alone", [None, Some((30, 1)), None, None], Some((30, Doubted, 7))),
        ("a wrong one beside two", [Some((8, 1)), Some((9, 2)), Some((9, 2)), None], Some((9, Full, 5))),
        // The members of a zone return from a partition with their earlier list; the others have a later one.
        ("two from a cut", [Some((8, 90)), Some((8, 95)), Some((9, 1)), Some((9, 1))], Some((9, Full, 5))),
        ("all are new", [None, None, None, None], None),
    ] {
        let (taken, messages) = restart_member(others);
        assert_eq!(taken, expected, "{case}");
        assert!(messages < 1_500, "{case}: {messages} messages");
    }
}

#[test]
fn chunk_rate_is_limited_and_invalid_messages_are_ignored() {
    let mut member = NeighbourExchange::new(0, MEMBERS, AGE_LIMITS, 0, NOW);
    member.record_discovered(NOW, &list(3_000));
    let NeighbourMessage::Offer { hash, length, .. } =
        member.receive(NOW, 1, &NeighbourMessage::Ask.to_bytes()).remove(0)
    else {
        panic!("it has a list");
    };
    assert!(length > 50_000, "{length}");
    let sent_chunks: usize = (0..1_000)
        .map(|_| member.receive(NOW, 1, &NeighbourMessage::Fetch { hash, first_chunk: 0 }.to_bytes()).len())
        .sum();
    assert_eq!(sent_chunks, 4_000, "in one second");
    assert!(member.tick(NOW).is_empty(), "discovery has answered");
    let mut asker = NeighbourExchange::new(1, MEMBERS, AGE_LIMITS, 0, NOW);
    for bytes in [&[][..], &[9; 300], &[1; 5]] {
        assert!(asker.receive(NOW, 2, bytes).is_empty());
    }
    // Chunks that don't match the hash of their list are dropped, and the download starts over.
    asker.receive(NOW, 2, &NeighbourMessage::Offer { hash: [7; 16], length: 10, age_us: 0 }.to_bytes());
    let later = NOW + SECOND;
    assert!(
        asker
            .tick(later)
            .iter()
            .any(|(to, message)| *to == 2 && matches!(message, NeighbourMessage::Fetch { .. }))
    );
    asker.receive(
        later,
        2,
        &NeighbourMessage::Chunk { hash: [7; 16], chunk: 0, bytes: vec![1; 10] }.to_bytes(),
    );
    assert!(asker.take_list(later, 0).is_none());
}

#[test]
fn startup_limit_is_lifted_and_spreads_retries() {
    // The servers answer slower once they have more requests than their capacity; clients always send more.
    for (servers, capacity, max_steps) in [(12, 60, 40), (12, 6, 80), (1, 1000, 40)] {
        let mut startup_limit = StartupLimit::new(servers, 3, 150_000, 0);
        let (mut open, mut most, mut now) = (0_usize, 0, 0);
        let mut steps = 0;
        while !startup_limit.is_over() {
            now += 150_000;
            steps += 1;
            while steps < max_steps - 20
                && startup_limit.try_admit(now, open, 0.5).is_err() == (open > 200)
                && open <= 200
            {
                open += 1;
            }
            most = most.max(open);
            // Rejected clients are told when to retry.
            if let Err(wait) = startup_limit.try_admit(now, usize::MAX - 1, 0.5) {
                assert!((150_000..=600_000).contains(&wait));
            }
            let spent = 20_000 * (open / capacity).max(1) as u64;
            (0..open.min(16)).for_each(|_| startup_limit.record_completion(spent));
            open = 0;
            assert!(steps <= 100, "it ends");
        }
        assert!(most > 0 && startup_limit.rejected() > 0);
    }
}

#[test]
fn recovery_is_reported_once_with_its_delays() {
    let mut tracker = RecoveryTracker::new(0);
    let mut reports = Vec::new();
    // Four seconds with a cached list, two of them without a policy; later a second with half of the requests
    // rejected.
    for second in 1..=12_u64 {
        let summary = SecondSummary {
            is_list_authoritative: second > 4,
            has_policy: second > 2,
            admits_all: second > 3,
            completed: second * 100 - if second >= 6 { 50 } else { 0 },
            answered: second * 100,
        };
        reports.extend(tracker.record_second(second * SECOND, summary).map(|line| (second, line)));
    }
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!(reports[0].0, 9);
    assert!(
        reports[0].1.starts_with("whole after 6 s: 4 s without discovery's list, 2 s without a policy"),
        "{reports:?}"
    );
}
