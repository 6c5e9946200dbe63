//! A read of the configuration at any controller, partitioned or not, returns the newest one or 503.

mod common;

use std::net::SocketAddr;

use bytes::Bytes;
use common::fleet::{Fleet, endpoint};
use common::*;
use http::StatusCode;
use whinspindle_controller::api::Call;

const COMMAND_TIMEOUT_MS: u64 = 15_000;
/// A loss of contact is detected, and a controller that returns catches up, within this time.
const NOTICED_MS: u64 = 2_000;
const READS: usize = 40;
const READ_MS: u64 = 50;

/// Three controllers that all have configuration 1.
fn started(seed: u64) -> Fleet {
    let mut fleet = Fleet::start(seed, 3);
    fleet.complete(replace(0, 1), COMMAND_TIMEOUT_MS);
    fleet.pass(1_000);
    fleet
}

/// The configuration that a controller returns, or none if it can't tell whether it has the newest one.
fn read(fleet: &mut Fleet, at: SocketAddr) -> Option<Bytes> {
    let answer = fleet.ask(at, Call::Fetch)?;
    assert!(matches!(answer.status, StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE), "{answer:?}");
    (answer.status == StatusCode::OK).then_some(answer.body)
}

/// Reads begin right after the partition. Each controller may be the head or the tail of the chain.
#[test]
fn partitioned_controller_returns_no_superseded_configuration() {
    for seed in 1..=5 {
        for partitioned in [1, 2, 3].map(endpoint) {
            let mut fleet = started(seed);
            fleet.set_partitioned(partitioned, true);
            fleet.complete(replace(1, 2), COMMAND_TIMEOUT_MS);
            for _ in 0..READS {
                assert_eq!(read(&mut fleet, partitioned), None, "it can't tell whether it has the newest");
                fleet.pass(READ_MS);
            }
            fleet.set_partitioned(partitioned, false);
            let mut answers = Vec::new();
            for _ in 0..READS {
                answers.extend(read(&mut fleet, partitioned));
                fleet.pass(READ_MS);
            }
            assert!(!answers.is_empty(), "it is in contact again");
            assert!(answers.iter().all(|body| *body == configuration(2)), "{answers:?}");
        }
    }
}

/// One of the three controllers is down, and the other two are partitioned from each other.
#[test]
fn no_controller_answers_a_read_without_a_majority() {
    let mut fleet = started(1);
    fleet.cluster.stop(endpoint(2));
    fleet.complete(replace(1, 2), COMMAND_TIMEOUT_MS);
    fleet.set_partitioned(endpoint(1), true);
    fleet.pass(NOTICED_MS);
    for at in [1, 3].map(endpoint) {
        for _ in 0..READS {
            assert_eq!(read(&mut fleet, at), None);
            fleet.pass(READ_MS);
        }
    }
    fleet.set_partitioned(endpoint(1), false);
    fleet.pass(NOTICED_MS);
    for at in [1, 3].map(endpoint) {
        assert_eq!(read(&mut fleet, at), Some(configuration(2)));
    }
}

/// The disk of the restarted controller has configuration 1, while configuration 2 is committed.
#[test]
fn controller_started_with_an_old_disk_returns_no_superseded_configuration() {
    for seed in 1..=5 {
        let mut fleet = started(seed);
        fleet.cluster.stop(endpoint(3));
        fleet.complete(replace(1, 2), COMMAND_TIMEOUT_MS);
        fleet.cluster.start(endpoint(3));
        let mut answers = Vec::new();
        for _ in 0..READS {
            answers.extend(read(&mut fleet, endpoint(3)));
            fleet.pass(READ_MS);
        }
        assert!(!answers.is_empty(), "it has caught up");
        assert!(answers.iter().all(|body| *body == configuration(2)), "{answers:?}");
    }
}
