//! How far a stored list is trusted after a restart.

use whinspindle::host::EndpointState::{self, Draining, Gone, Ready};
use whinspindle_endpoint_cache::{AgeLimits, Trust, encode, restore};
use whinspindle_protocol::endpoints::ListedServer;

const SECOND: u64 = 1_000_000;
const NOW: u64 = 1_800_000_000 * SECOND;
const AGE_LIMITS: AgeLimits = AgeLimits { fresh_us: 10 * SECOND, old_us: 3600 * SECOND };

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
fn trust_decreases_with_age_and_draining_servers_stay_draining() {
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
        let (update, restored_trust) = restore(&bytes, NOW, &AGE_LIMITS).expect("a list");
        assert_eq!((restored_trust, update.is_complete, update.generation), (trust, true, 0), "{age}");
        let restored: Vec<_> =
            update.servers.iter().map(|s| (s.name.as_str(), s.state, s.started_at)).collect();
        let draining_start = if trust == Trust::Full { 6 } else { NOW };
        assert_eq!(restored, [("r", Ready, started_at), ("d", Draining, draining_start)], "{age}");
    }
}

#[test]
fn corrupt_bytes_are_rejected_without_a_panic() {
    let complete = encode(&[listed("r", Ready, 5), listed("d", Draining, 6)], 41, NOW);
    for length in 0..complete.len() {
        assert!(restore(&complete[..length], NOW, &AGE_LIMITS).is_none(), "cut at {length}");
    }
    assert!(restore(&encode(&[], 1, NOW), NOW, &AGE_LIMITS).is_none());
    for at in 0..complete.len() {
        for bit in 0..8 {
            let mut corrupt = complete.clone();
            corrupt[at] ^= 1 << bit;
            let _ = restore(&corrupt, NOW, &AGE_LIMITS);
        }
    }
}
