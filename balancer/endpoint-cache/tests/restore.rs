//! How far a saved list is believed.

use whinspindle::host::EndpointState::{self, Draining, Gone, Ready};
use whinspindle_endpoint_cache::{Ages, Trust, encode, restore};
use whinspindle_protocol::endpoints::ListedServer;

const SECOND: u64 = 1_000_000;
const NOW: u64 = 1_800_000_000 * SECOND;
const AGES: Ages = Ages { fresh: 10 * SECOND, old: 3600 * SECOND };

fn listed(name: &str, state: EndpointState, started_at: u64) -> ListedServer {
    ListedServer {
        name: name.to_string(),
        zone: "a".to_string(),
        kind: "m".to_string(),
        cell: 3,
        relative_capacity: 1.5,
        started_at,
        state,
        address: (name != "lost").then(|| ([127, 0, 0, 1], 80).into()),
    }
}

#[test]
fn the_older_a_list_the_less_of_it_is_believed_and_what_drained_stays_so() {
    let servers =
        [listed("r", Ready, 5), listed("d", Draining, 6), listed("g", Gone, 7), listed("lost", Ready, 8)];
    let day = 24 * 3600;
    for (age, trust, started_at) in [
        (2, Trust::Full, 5),
        (10, Trust::Full, 5),
        (120, Trust::Doubted, NOW),
        (2 * 3600, Trust::Unverified, NOW),
        (7 * day, Trust::Unverified, NOW),
        // Saved by a clock that was a day ahead.
        (-day, Trust::Unverified, NOW),
    ] {
        let bytes = encode(&servers, 41, (NOW as i64 - age * SECOND as i64) as u64);
        let (update, told) = restore(&bytes, NOW, &AGES).expect("a list");
        assert_eq!((told, update.is_complete, update.generation), (trust, true, 0), "{age}");
        let kept: Vec<_> = update.servers.iter().map(|s| (s.name.as_str(), s.state, s.started_at)).collect();
        let drained = if trust == Trust::Full { 6 } else { NOW };
        assert_eq!(kept, [("r", Ready, started_at), ("d", Draining, drained)], "{age}");
    }
}

#[test]
fn bytes_that_are_no_list_bring_nothing_and_end_nobody() {
    let whole = encode(&[listed("r", Ready, 5), listed("d", Draining, 6)], 41, NOW);
    for length in 0..whole.len() {
        assert!(restore(&whole[..length], NOW, &AGES).is_none(), "cut at {length}");
    }
    assert!(restore(&encode(&[], 1, NOW), NOW, &AGES).is_none());
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut spoilt = whole.clone();
            spoilt[at] ^= 1 << bit;
            let _ = restore(&spoilt, NOW, &AGES);
        }
    }
}
