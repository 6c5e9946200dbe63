//! Records for the fixtures: one with a value in each field and each variant of its enums, and one before a
//! bootstrap.

use whinspindle_fleet_policy::{
    Change, ChangeOutcome, Direction, Halt, Hash, PastChange, PastRelease, Policy, Record, Release,
    ReleaseOutcome, ReleasePart, RequestId, RestartGrant, Unit, Voter,
};
use whinspindle_rollout::UnitSet;

pub const fn hash(first: u8) -> Hash {
    let mut bytes = [0; 16];
    let mut index = 0;
    while index < 16 {
        bytes[index] = first + index as u8;
        index += 1;
    }
    Hash(bytes)
}

/// A record whose ids, numbers and hashes differ from field to field, so that swapped fields are noticed.
#[allow(clippy::too_many_lines, reason = "a table of cases")]
pub fn record() -> Record {
    let past_change = |number, member, outcome| {
        let policy = Policy { number, hash: hash(number as u8), length: 1000 + number as u32 };
        PastChange {
            change: Change { policy, request_id: RequestId { member, serial: 70_000 + number } },
            outcome,
        }
    };
    let past_release = |number, member, outcome, changed| PastRelease {
        number,
        hash: hash(0x40 + number as u8),
        request_id: RequestId { member, serial: 90_000 + number },
        outcome,
        changed,
    };
    let mut changed = UnitSet::default();
    [0, 3, 63, 64, 130].into_iter().for_each(|index| changed.set(index, true));
    Record {
        bootstrap_id: 2 << 48 | 0x1234_5678_9abc,
        version: 301,
        voter_set_version: 9,
        voter_sets: vec![
            vec![
                Voter { member: 0, incarnation: 0xfeed_0000_0000_0001 },
                Voter { member: 2, incarnation: 17 },
                Voter { member: 4, incarnation: 0x8000_0000 },
            ],
            vec![
                Voter { member: 0, incarnation: 0xfeed_0000_0000_0001 },
                Voter { member: 2, incarnation: 17 },
                Voter { member: 300, incarnation: 19 },
            ],
        ],
        policy: Policy { number: 1007, hash: hash(0x10), length: 65_536 },
        pending_change: Some(Change {
            policy: Policy { number: 1008, hash: hash(0x20), length: 177 },
            request_id: RequestId { member: 3, serial: 0xdead_beef_0000_0001 },
        }),
        past_changes: vec![
            past_change(4, 1, ChangeOutcome::InForce),
            past_change(5, 2, ChangeOutcome::Withdrawn),
            past_change(6, 3, ChangeOutcome::Refused(513)),
            past_change(7, 4, ChangeOutcome::GivenUp),
        ],
        grants: vec![
            RestartGrant {
                unit: Unit::Balancer(5),
                request_id: RequestId { member: 6, serial: 600 },
                process_start: 0x7000_0000_0000_0007,
                release_part: Some(ReleasePart {
                    release: 12,
                    unit_index: 300,
                    direction: Direction::Rollback,
                }),
            },
            RestartGrant {
                unit: Unit::Server(0xabcd_ef01_2345_6789),
                request_id: RequestId { member: 8, serial: 800 },
                process_start: 0,
                release_part: Some(ReleasePart { release: 11, unit_index: 2, direction: Direction::Rollout }),
            },
            RestartGrant {
                unit: Unit::Server(9),
                request_id: RequestId { member: 10, serial: 1000 },
                process_start: 1,
                release_part: None,
            },
        ],
        halt: Some(Halt {
            request_id: RequestId { member: 11, serial: 1100 },
            reason: "more fail: größer".to_string(),
        }),
        release: Some(Release {
            number: 12,
            hash: hash(0x30),
            length: 412,
            request_id: RequestId { member: 12, serial: 1200 },
            direction: Direction::Rollback,
            wave: 258,
            changed,
        }),
        last_release_number: 13,
        past_releases: vec![
            past_release(1, 13, ReleaseOutcome::Done, 2048),
            past_release(2, 14, ReleaseOutcome::TakenBack, 0),
            past_release(3, 15, ReleaseOutcome::Left, 128),
        ],
        completed_requests: vec![
            RequestId { member: 16, serial: 1600 },
            RequestId { member: 65_535, serial: u64::MAX },
        ],
        highest_policy_number: 1009,
    }
}

/// A record with only its voter set.
pub fn before_bootstrap() -> Record {
    Record::before_bootstrap(vec![Voter { member: 1, incarnation: 21 }, Voter { member: 0, incarnation: 22 }])
}
