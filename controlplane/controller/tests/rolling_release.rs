//! A release is rolled out over the controllers one by one and partly rolled back. Commands continue to
//! succeed, and no message is sent that the previous release can't read.

mod common;

use common::fleet::{Fleet, endpoint};
use common::*;
use http::StatusCode;
use whinspindle_controller::api::Call;
use whinspindle_distribution::SubscriberId;

const COMMAND_TIMEOUT_MS: u64 = 6_000;
/// Time before and after the restart of a controller.
const PAUSE_MS: u64 = 3_000;
/// Time between two commands.
const COMMAND_PAUSE_MS: u64 = 250;

/// A rollout, with the generation of the last acknowledged configuration.
struct Rollout {
    fleet: Fleet,
    generation: u64,
}

impl Rollout {
    /// Starts controllers of the previous release.
    fn begin(seed: u64, count: u8) -> Rollout {
        Rollout { fleet: Fleet::start_earlier_release(seed, count), generation: 0 }
    }

    /// Replaces the configuration repeatedly for a time; each command has to be acknowledged.
    fn replace_configurations_for(&mut self, span_ms: u64) {
        let end = self.fleet.cluster.now() + span_ms;
        while self.fleet.cluster.now() < end {
            let answer =
                self.fleet.complete(replace(self.generation, self.generation + 1), COMMAND_TIMEOUT_MS);
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
            self.generation += 1;
            self.fleet.pass(COMMAND_PAUSE_MS);
        }
    }

    /// Restarts a controller as another release, with commands before and after.
    fn change_release(&mut self, number: u8, is_earlier: bool) {
        self.replace_configurations_for(PAUSE_MS);
        self.fleet.change_release(endpoint(number), is_earlier);
        self.replace_configurations_for(PAUSE_MS);
    }

    /// Checks that the newest configuration is read, and that every controller sends it to a new balancer.
    fn check_newest_configuration(&mut self, count: u8) {
        for number in 1..=count {
            let read = self.fleet.complete(Call::Fetch, COMMAND_TIMEOUT_MS);
            assert_eq!(read.body, configuration(self.generation));
            let subscriber = 100 + u64::from(number);
            self.fleet.report(endpoint(number), subscriber, report(number, "zone-a"));
        }
        self.fleet.pass(PAUSE_MS);
        for number in 1..=count {
            let to = SubscriberId(100 + u64::from(number));
            let sent = self.fleet.updates.iter().filter(|(subscriber, _)| *subscriber == to);
            let newest = sent.filter_map(|(_, update)| update.configured.as_ref()).next_back();
            let newest = newest.map(|section| section.body.clone());
            assert_eq!(newest, Some(configuration(self.generation)), "at {number}");
        }
    }
}

#[test]
fn a_release_is_rolled_out_and_back_while_commands_go_on() {
    for seed in 1..=6 {
        let mut rollout = Rollout::begin(seed, 3);
        rollout.change_release(1, false);
        rollout.change_release(2, false);
        // One controller is rolled back, on a disk that the newer release has written.
        rollout.change_release(1, true);
        rollout.check_newest_configuration(3);
        for number in [1, 3] {
            rollout.change_release(number, false);
        }
        rollout.check_newest_configuration(3);
    }
}

/// A disk is lost while two releases run: the previous release must not be sent the message about a lost
/// voter.
#[test]
fn disk_loss_while_two_releases_run_is_tolerated() {
    for seed in 1..=6 {
        for lost in 1..=3 {
            let mut rollout = Rollout::begin(10 + seed, 3);
            rollout.change_release(1, false);
            rollout.fleet.cluster.stop(endpoint(lost));
            rollout.fleet.wipe(endpoint(lost));
            rollout.fleet.cluster.start(endpoint(lost));
            rollout.replace_configurations_for(PAUSE_MS);
            rollout.check_newest_configuration(3);
        }
    }
}

/// One of two controllers loses its disk while the other runs the previous release. Commands are refused
/// until that one is upgraded too, and no acknowledged configuration is lost.
#[test]
fn disk_loss_with_two_controllers_is_recovered_after_the_rollout() {
    let mut rollout = Rollout::begin(31, 2);
    rollout.change_release(2, false);
    rollout.fleet.cluster.stop(endpoint(2));
    rollout.fleet.wipe(endpoint(2));
    rollout.fleet.cluster.start(endpoint(2));
    rollout.fleet.pass(PAUSE_MS);
    let refused = rollout.fleet.ask(endpoint(2), evacuate("zone-b", true)).expect("an answer");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    rollout.fleet.change_release(endpoint(1), false);
    rollout.fleet.pass(PAUSE_MS);
    rollout.check_newest_configuration(2);
    rollout.replace_configurations_for(PAUSE_MS);
}
