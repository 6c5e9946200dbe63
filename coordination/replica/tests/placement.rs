//! Where the voters stand: they spread over regions and zones, and it is told which losses they don't bear.

mod common;

use std::collections::BTreeMap;

use common::clients::Clients;
use common::history::check;
use common::node::{Node, cluster_at, endpoint, failure_domain};
use whinspindle_lab_simulated_cluster::{Cluster, NetworkTiming};
use whinspindle_replica::{FailureDomain, LossKind, Tolerance};

/// All voters are where they should be by then, in milliseconds.
const STABLE_AFTER: u64 = 8_000;
/// A write must be acknowledged within this.
const ACKNOWLEDGED_WITHIN: u64 = 2_500;

const ONE_OF_EACH: Tolerance = Tolerance { machines: 1, zones: 1, regions: 1 };
const TWO_MACHINES: Tolerance = Tolerance { machines: 2, zones: 1, regions: 1 };

/// A zone and its region, for each replica.
type Layout = &'static [(&'static str, &'static str)];

struct Deployment {
    cluster: Cluster<Node>,
    clients: Clients,
    layout: Layout,
}

impl Deployment {
    fn start(seed: u64, layout: Layout, tolerance: Tolerance) -> Deployment {
        let network = NetworkTiming { min_delay_ms: 1, max_delay_ms: 40, ..NetworkTiming::default() };
        let at = |number: usize| failure_domain(layout[number].0, layout[number].1);
        let cluster = cluster_at(seed, layout.len(), tolerance, network, at);
        let mut deployment = Deployment { cluster, clients: Clients::default(), layout };
        deployment.pass(STABLE_AFTER);
        deployment
    }

    fn pass(&mut self, span: u64) {
        let until = self.cluster.now() + span;
        self.clients.run_until(&mut self.cluster, until);
    }

    fn node(&self, number: usize) -> &Node {
        self.cluster.process(endpoint(number)).expect("it runs")
    }

    fn numbers(&self, belongs: impl Fn(&FailureDomain) -> bool) -> Vec<usize> {
        let at = |number: &usize| failure_domain(self.layout[*number].0, self.layout[*number].1);
        (0..self.layout.len()).filter(|number| belongs(&at(number))).collect()
    }

    /// How many voters there are of each kind, as a running replica sees it.
    fn voters_by(&self, observer: usize, kind: impl Fn(&FailureDomain) -> String) -> BTreeMap<String, usize> {
        let view = self.node(observer).replica.view();
        assert_eq!(view.voter_sets.len(), 1, "{}", self.node(observer).describe(self.cluster.now()));
        let mut counts = BTreeMap::new();
        for voter in view.voters() {
            let member = view.member(voter).expect("voters are members");
            *counts.entry(kind(&member.failure_domain())).or_insert(0) += 1;
        }
        counts
    }

    /// Loses these at once and asks for a write at each of the others; then all come back.
    fn survives(&mut self, lost: &[usize]) {
        for number in lost {
            self.cluster.stop(endpoint(*number));
        }
        for number in (0..self.layout.len()).filter(|number| !lost.contains(number)) {
            let took = self.clients.write_within(&mut self.cluster, endpoint(number), ACKNOWLEDGED_WITHIN);
            assert!(took.is_some(), "{lost:?} lost: no write at {number}");
        }
        for number in lost {
            self.cluster.start(endpoint(*number));
        }
        self.pass(STABLE_AFTER);
        check(&self.clients.history()).unwrap_or_else(|fault| panic!("{lost:?} lost: {fault}"));
    }
}

fn zone(failure_domain: &FailureDomain) -> String {
    failure_domain.zone.clone()
}

fn region(failure_domain: &FailureDomain) -> String {
    failure_domain.region.clone()
}

/// Two seeds share a zone; the zone of the third holds two replicas; a zone of one has no seed.
const SEEDS_TOGETHER: Layout = &[("a", "x"), ("a", "x"), ("b", "y"), ("b", "y"), ("c", "z")];
/// Three replicas in each of three regions; all seeds stand in the first.
const SEEDS_IN_ONE_REGION: Layout = &[
    ("a", "x"),
    ("a", "x"),
    ("d", "x"),
    ("b", "y"),
    ("b", "y"),
    ("e", "y"),
    ("c", "z"),
    ("c", "z"),
    ("f", "z"),
];

#[test]
fn voters_that_share_a_zone_spread() {
    for seed in 0..4 {
        let mut deployment = Deployment::start(seed, SEEDS_TOGETHER, ONE_OF_EACH);
        let spread = BTreeMap::from(["a", "b", "c"].map(|zone| (zone.to_string(), 1)));
        assert_eq!(deployment.voters_by(0, zone), spread, "seed {seed}");
        for name in ["a", "b", "c"] {
            let lost = deployment.numbers(|failure_domain| failure_domain.zone == name);
            deployment.survives(&lost);
        }
    }
}

#[test]
fn five_voters_of_nine_replicas_outlive_any_region_and_any_two_machines() {
    let mut deployment = Deployment::start(1, SEEDS_IN_ONE_REGION, TWO_MACHINES);
    let regions = deployment.voters_by(0, region);
    assert_eq!(regions.values().sum::<usize>(), 5);
    assert_eq!(regions.values().max(), Some(&2), "{regions:?}");
    assert_eq!(deployment.voters_by(0, zone).values().max(), Some(&1));
    for name in ["x", "y", "z"] {
        let lost = deployment.numbers(|failure_domain| failure_domain.region == name);
        deployment.survives(&lost);
    }
    for one in 0..9 {
        deployment.survives(&[one, (one + 4) % 9]);
    }
}

#[test]
fn a_replacement_in_another_zone_hands_its_vote_back() {
    let mut deployment = Deployment::start(2, SEEDS_TOGETHER, ONE_OF_EACH);
    deployment.cluster.stop(endpoint(4));
    deployment.pass(STABLE_AFTER);
    let zones = deployment.voters_by(0, zone);
    assert_eq!(zones.values().copied().collect::<Vec<usize>>(), [2, 1], "{zones:?}");
    assert_eq!(deployment.node(0).replica.fatal_losses(), [LossKind::Zones, LossKind::Regions]);
    deployment.cluster.start(endpoint(4));
    deployment.pass(STABLE_AFTER);
    assert_eq!(deployment.voters_by(0, zone).len(), 3);
    assert_eq!(deployment.node(0).replica.fatal_losses(), []);
}

#[test]
fn voters_that_are_spread_stay_where_they_are() {
    let mut deployment = Deployment::start(3, SEEDS_IN_ONE_REGION, TWO_MACHINES);
    let number = deployment.node(0).replica.view().number;
    deployment.pass(30_000);
    assert_eq!(deployment.node(0).replica.view().number, number);
}

/// Which kinds of losses the settled voters of a layout don't bear, as each replica tells it.
fn fatal_losses(layout: Layout, tolerance: Tolerance) -> Vec<LossKind> {
    let deployment = Deployment::start(4, layout, tolerance);
    let told = deployment.node(0).replica.fatal_losses();
    for number in 0..layout.len() {
        assert_eq!(deployment.node(number).replica.fatal_losses(), told, "replica {number}");
    }
    told
}

#[test]
fn losses_that_cannot_be_tolerated_are_reported() {
    use LossKind::{Machines, Regions, Zones};
    let all = [Machines, Zones, Regions];
    assert_eq!(fatal_losses(&[("a", "x")], ONE_OF_EACH), all);
    assert_eq!(fatal_losses(&[("a", "x"), ("b", "y")], ONE_OF_EACH), all);
    assert_eq!(fatal_losses(&[("a", "x"); 5], ONE_OF_EACH), [Zones, Regions]);
    let two_zones: Layout = &[("a", "x"), ("a", "x"), ("a", "x"), ("b", "y"), ("b", "y")];
    assert_eq!(fatal_losses(two_zones, ONE_OF_EACH), [Zones, Regions]);
    let two_regions: Layout = &[("a", "x"), ("b", "x"), ("c", "y")];
    assert_eq!(fatal_losses(two_regions, ONE_OF_EACH), [Regions]);
    let three_for_two_losses: Layout = &[("a", "x"), ("b", "y"), ("c", "z")];
    assert_eq!(fatal_losses(three_for_two_losses, TWO_MACHINES), [Machines]);
    assert_eq!(fatal_losses(SEEDS_TOGETHER, ONE_OF_EACH), []);
    assert_eq!(fatal_losses(SEEDS_TOGETHER, TWO_MACHINES), []);
    assert_eq!(fatal_losses(SEEDS_IN_ONE_REGION, TWO_MACHINES), []);
    assert_eq!(fatal_losses(&[("a", "x")], Tolerance::default()), []);
}
