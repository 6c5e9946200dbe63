//! A release is rolled out over the controllers one by one, and back while it is half done: commands go on, and nothing
//! is sent that the release before can not read.

mod common;

use common::fleet::{Fleet, endpoint};
use common::*;
use http::StatusCode;
use whinspindle_controller::api::Call;
use whinspindle_distribution::SubscriberId;

const COMMAND_TIMEOUT_MS: u64 = 6_000;
/// Between two controllers.
const PAUSE_MS: u64 = 3_000;
/// Between two commands.
const COMMAND_PAUSE_MS: u64 = 250;

/// A rollout, and the generation of the last configuration that was acknowledged.
struct Rollout {
    fleet: Fleet,
    generation: u64,
}

impl Rollout {
    /// Controllers of the release before.
    fn begin(seed: u64, count: u8) -> Rollout {
        Rollout { fleet: Fleet::start_earlier_release(seed, count), generation: 0 }
    }

    /// Configurations are put in place one after the other, each acknowledged, while time passes.
    fn command_for(&mut self, span_ms: u64) {
        let end = self.fleet.cluster.now() + span_ms;
        while self.fleet.cluster.now() < end {
            let answer =
                self.fleet.complete(replace(self.generation, self.generation + 1), COMMAND_TIMEOUT_MS);
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
            self.generation += 1;
            self.fleet.pass(COMMAND_PAUSE_MS);
        }
    }

    /// Starts a controller as another release, with commands before and after.
    fn change(&mut self, number: u8, is_earlier: bool) {
        self.command_for(PAUSE_MS);
        self.fleet.change_release(endpoint(number), is_earlier);
        self.command_for(PAUSE_MS);
    }

    /// All controllers answer the newest configuration, and send it to a balancer that has none.
    fn agrees(&mut self, count: u8) {
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
        rollout.change(1, false);
        rollout.change(2, false);
        // Half done: one of them goes back, on the disk that the later release has written.
        rollout.change(1, true);
        rollout.agrees(3);
        for number in [1, 3] {
            rollout.change(number, false);
        }
        rollout.agrees(3);
    }
}

/// Disks are lost while two releases run: nobody tells the release before of a lost voter.
#[test]
fn disks_are_lost_while_two_releases_run() {
    for seed in 1..=6 {
        for lost in 1..=3 {
            let mut rollout = Rollout::begin(10 + seed, 3);
            rollout.change(1, false);
            rollout.fleet.cluster.stop(endpoint(lost));
            rollout.fleet.wipe(endpoint(lost));
            rollout.fleet.cluster.start(endpoint(lost));
            rollout.command_for(PAUSE_MS);
            rollout.agrees(3);
        }
    }
}

/// One of two loses its disk while the other is of the release before: commands wait until that one is replaced too, and
/// nothing is lost.
#[test]
fn one_of_two_waits_for_the_rollout_after_the_other_has_lost_its_disk() {
    let mut rollout = Rollout::begin(31, 2);
    rollout.change(2, false);
    rollout.fleet.cluster.stop(endpoint(2));
    rollout.fleet.wipe(endpoint(2));
    rollout.fleet.cluster.start(endpoint(2));
    rollout.fleet.pass(PAUSE_MS);
    let refused = rollout.fleet.ask(endpoint(2), evacuate("zone-b", true)).expect("an answer");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    rollout.fleet.change_release(endpoint(1), false);
    rollout.fleet.pass(PAUSE_MS);
    rollout.agrees(2);
    rollout.command_for(PAUSE_MS);
}
