//! Reads of the configuration at any controller, in touch or not: the newest, or 503.

mod common;

use std::net::SocketAddr;

use bytes::Bytes;
use common::fleet::{Fleet, endpoint};
use common::*;
use http::StatusCode;
use whinspindle_controller::api::Call;

const COMMAND_TIMEOUT_MS: u64 = 15_000;
/// A loss of contact is noticed within this time, and a return is made up for.
const NOTICED_MS: u64 = 2_000;
const READS: usize = 40;
const READ_MS: u64 = 50;

/// Three controllers with configuration 1 everywhere.
fn started(seed: u64) -> Fleet {
    let mut fleet = Fleet::start(seed, 3);
    fleet.complete(replace(0, 1), COMMAND_TIMEOUT_MS);
    fleet.pass(1_000);
    fleet
}

/// What a read at a controller is answered: the configuration, or none if it is not sure of the newest.
fn read(fleet: &mut Fleet, at: SocketAddr) -> Option<Bytes> {
    let answer = fleet.ask(at, Call::Fetch)?;
    assert!(matches!(answer.status, StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE), "{answer:?}");
    (answer.status == StatusCode::OK).then_some(answer.body)
}

/// From the start of the partition on; each of the controllers may be the head or the tail of the chain.
#[test]
fn partitioned_controller_reads_nothing_older_than_was_acknowledged() {
    for seed in 1..=5 {
        for cut_off in [1, 2, 3].map(endpoint) {
            let mut fleet = started(seed);
            fleet.set_partitioned(cut_off, true);
            fleet.complete(replace(1, 2), COMMAND_TIMEOUT_MS);
            for _ in 0..READS {
                assert_eq!(read(&mut fleet, cut_off), None, "it can't be sure of the newest");
                fleet.pass(READ_MS);
            }
            fleet.set_partitioned(cut_off, false);
            let mut answers = Vec::new();
            for _ in 0..READS {
                answers.extend(read(&mut fleet, cut_off));
                fleet.pass(READ_MS);
            }
            assert!(!answers.is_empty(), "it is in contact again");
            assert!(answers.iter().all(|body| *body == configuration(2)), "{answers:?}");
        }
    }
}

/// No half has a majority: one of the three is down.
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

/// Its disk has configuration 1, and the one in force is 2.
#[test]
fn controller_started_with_an_old_disk_reads_nothing_old() {
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
