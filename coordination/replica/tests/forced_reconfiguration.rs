//! A reconfiguration that an operator forces, where the voters that are left can not decide by themselves.

mod common;

use std::net::SocketAddr;

use common::clients::Clients;
use common::history::{Request, check};
use common::node::{Command, Node, cluster, endpoint};
use whinspindle_lab_simulated_cluster::{Cluster, NetworkTiming};
use whinspindle_replica::{ForcedReconfiguration, ReconfigurationError, StandardRules};

/// All replicas that are to vote do so by then, in milliseconds.
const GROWN: u64 = 8_000;
/// By then it is noticed who is there and who is not.
const NOTICED: u64 = 2_500;
/// Once a reconfiguration is forced, a write is acknowledged within this.
const ACKNOWLEDGED_WITHIN: u64 = 4_000;

struct Play {
    cluster: Cluster<Node<StandardRules>>,
    clients: Clients,
}

impl Play {
    /// Machines that have grown together and acknowledged a write.
    fn begin(seed: u64, machines: usize, losses: usize) -> Play {
        let network = NetworkTiming { min_delay_ms: 1, max_delay_ms: 20, ..NetworkTiming::default() };
        let mut play =
            Play { cluster: cluster(seed, machines, losses, network), clients: Clients::default() };
        play.pass(GROWN);
        assert!(play.writes(0, 1_000));
        play
    }

    fn pass(&mut self, span: u64) {
        let until = self.cluster.now() + span;
        self.clients.run_until(&mut self.cluster, until);
    }

    fn writes(&mut self, number: usize, within: u64) -> bool {
        self.clients.write_within(&mut self.cluster, endpoint(number), within).is_some()
    }

    /// Machines are gone for good, and an empty one comes at another address for each number of `new`.
    fn replace(&mut self, gone: &[usize], new: &[usize]) {
        gone.iter().for_each(|number| self.cluster.remove(endpoint(*number)));
        for number in new {
            self.cluster.add(endpoint(*number), false);
            self.cluster.start(endpoint(*number));
        }
        self.pass(NOTICED);
    }

    /// What it would do at the replica of this number.
    fn asks(&self, at: usize, lost: &[usize]) -> Result<ForcedReconfiguration, ReconfigurationError> {
        let node = self.cluster.process(endpoint(at)).expect("it runs");
        node.replica.forced_reconfiguration(self.cluster.now(), &endpoints(lost))
    }

    fn declares(&mut self, at: usize, lost: &[usize]) {
        self.cluster.command(endpoint(at), Command::DeclareLost(endpoints(lost)));
    }
}

fn endpoints(numbers: &[usize]) -> Vec<SocketAddr> {
    numbers.iter().map(|number| endpoint(*number)).collect()
}

/// One of two is gone for good: nothing is lost with it, and commands go on with the one that came in its place.
#[test]
fn one_of_two_goes_on_with_another_machine_once_the_other_is_declared_lost() {
    for seed in 0..12 {
        for left in 0..2 {
            let mut play = Play::begin(seed, 2, 1);
            play.replace(&[1 - left], &[2]);
            assert!(!play.writes(left, ACKNOWLEDGED_WITHIN), "seed {seed}, {left}: it can not know");
            let asked = play.asks(left, &[1 - left]).unwrap();
            assert!(!asked.may_lose_commands);
            play.declares(left, &[1 - left]);
            for number in [left, 2] {
                assert!(play.writes(number, ACKNOWLEDGED_WITHIN), "seed {seed}, {left}, at {number}");
            }
            play.clients.begin(&mut play.cluster, endpoint(2), "register-0", Request::Get);
            play.pass(1_000);
            check(&play.clients.history()).unwrap();
        }
    }
}

/// Two of three are gone for good: the operator is told that commands may be lost, and the last one goes on.
#[test]
fn one_of_three_goes_on_once_the_others_are_declared_lost() {
    for seed in 0..12 {
        for left in 0..3 {
            let mut play = Play::begin(seed, 3, 1);
            let gone: Vec<usize> = (0..3).filter(|number| *number != left).collect();
            play.replace(&gone, &[3, 4]);
            assert!(play.asks(left, &gone).unwrap().may_lose_commands);
            play.declares(left, &gone);
            for number in [left, 3, 4] {
                assert!(play.writes(number, ACKNOWLEDGED_WITHIN), "seed {seed}, {left}, at {number}");
            }
            // The view with both voter sets is left within this.
            play.pass(ACKNOWLEDGED_WITHIN);
            let view = play.cluster.process(endpoint(left)).unwrap().replica.view().clone();
            assert!(view.members.iter().all(|member| !endpoints(&gone).contains(&member.endpoint)));
        }
    }
}

/// One that was left behind goes on with what it has, where an operator says so.
#[test]
fn one_that_was_left_behind_goes_on_once_all_others_are_declared_lost() {
    let mut play = Play::begin(1, 3, 1);
    play.cluster.stop(endpoint(2));
    play.pass(NOTICED);
    assert!(play.writes(0, ACKNOWLEDGED_WITHIN));
    play.cluster.stop(endpoint(0));
    play.cluster.stop(endpoint(1));
    play.cluster.start(endpoint(2));
    play.replace(&[0, 1], &[3, 4]);
    assert!(play.asks(2, &[0, 1]).unwrap().may_lose_commands);
    play.declares(2, &[0, 1]);
    assert!(play.writes(2, ACKNOWLEDGED_WITHIN));
}

#[test]
fn a_reconfiguration_that_is_not_needed_or_not_possible_is_refused() {
    let mut play = Play::begin(1, 3, 1);
    let (first, last) = (endpoint(0), endpoint(2));
    assert_eq!(play.asks(0, &[7]), Err(ReconfigurationError::NotAVoter { endpoint: endpoint(7) }));
    assert_eq!(play.asks(0, &[2]), Err(ReconfigurationError::Alive { endpoint: last }));
    assert_eq!(play.asks(0, &[0]), Err(ReconfigurationError::Alive { endpoint: first }));
    play.cluster.stop(last);
    play.pass(NOTICED);
    assert_eq!(play.asks(0, &[2]), Err(ReconfigurationError::NotNeeded));
    play.cluster.stop(endpoint(1));
    play.pass(NOTICED);
    assert_eq!(play.asks(0, &[2]), Err(ReconfigurationError::Unreachable { endpoint: endpoint(1) }));
    assert_eq!(play.asks(0, &[1, 2]), Err(ReconfigurationError::TooFewReplicas));
    // A declaration that is refused has no effect.
    play.declares(0, &[1, 2]);
    play.declares(0, &[2]);
    assert!(!play.writes(0, ACKNOWLEDGED_WITHIN));
    play.cluster.start(endpoint(1));
    assert!(play.writes(0, ACKNOWLEDGED_WITHIN));
}
