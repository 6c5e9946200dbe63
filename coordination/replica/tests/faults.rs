//! Single faults: how soon a write is acknowledged again, and that nothing acknowledged is lost.

mod common;

use std::net::SocketAddr;

use common::clients::Clients;
use common::history::{Request, check};
use common::node::{Command, Node, cluster, endpoint};
use whinspindle_lab_simulated_cluster::{Cluster, NetworkTiming, Pcg};

/// Operations drawn at random go to so many registers.
const REGISTERS: usize = 2;
/// A write must be acknowledged within this, in milliseconds.
const ACKNOWLEDGED_WITHIN: u64 = 2_500;

/// The links of a deployment over three regions.
fn wide() -> NetworkTiming {
    NetworkTiming { min_delay_ms: 1, max_delay_ms: 40, ..NetworkTiming::default() }
}

fn stable_cluster(seed: u64, count: usize, tolerated_losses: usize) -> (Cluster<Node>, Clients) {
    let mut cluster = cluster(seed, count, tolerated_losses, wide());
    let mut clients = Clients::default();
    clients.run_until(&mut cluster, 4_000);
    for number in 0..count {
        let took = clients.write_within(&mut cluster, endpoint(number), 1_000);
        assert!(took.is_some_and(|took| took < 400), "before the fault: {took:?}\n{}", describe(&cluster));
    }
    (cluster, clients)
}

/// Writes at every running replica but these, and judges the history.
fn serves(cluster: &mut Cluster<Node>, clients: &mut Clients, but: &[SocketAddr], name: &str) -> u64 {
    let mut longest = 0;
    for at in cluster.endpoints() {
        if but.contains(&at) || !cluster.is_running(at) {
            continue;
        }
        let took = clients.write_within(cluster, at, 6_000);
        let took = took.unwrap_or_else(|| panic!("{name}: no write at {at}\n{}", describe(cluster)));
        longest = longest.max(took);
        clients.begin(cluster, at, "register-0", Request::Get);
    }
    let until = cluster.now() + 1_000;
    clients.run_until(cluster, until);
    check(&clients.history()).unwrap_or_else(|fault| panic!("{name}: {fault}"));
    assert!(longest < ACKNOWLEDGED_WITHIN, "{name}: {longest} ms\n{}", describe(cluster));
    longest
}

fn describe(cluster: &Cluster<Node>) -> String {
    let line = |at: SocketAddr| match cluster.process(at) {
        Some(node) => format!("{at}: {}", node.describe(cluster.now())),
        None => format!("{at}: down"),
    };
    cluster.endpoints().into_iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Lets the cluster settle and checks that all running replicas are alike and the chain has this length.
fn converges(cluster: &mut Cluster<Node>, clients: &mut Clients, length: usize, name: &str) {
    let until = cluster.now() + 6_000;
    clients.run_until(cluster, until);
    let running: Vec<&Node> = cluster.endpoints().iter().filter_map(|at| cluster.process(*at)).collect();
    for node in &running {
        let replica = &node.replica;
        assert_eq!(replica.view().chain.len(), length, "{name}\n{}", describe(cluster));
        assert_eq!(replica.view().voter_sets.len(), 1, "{name}\n{}", describe(cluster));
        assert_eq!(
            replica.committed_records(),
            running[0].replica.committed_records(),
            "{name}\n{}",
            describe(cluster)
        );
        assert!(replica.is_in_quorum(cluster.now()), "{name}\n{}", describe(cluster));
    }
}

#[test]
fn a_killed_member_is_excluded_and_admitted_again() {
    for victim in 0..3 {
        let (mut cluster, mut clients) = stable_cluster(victim as u64, 3, 1);
        cluster.stop(endpoint(victim));
        let took = serves(&mut cluster, &mut clients, &[], "killed");
        println!("member {victim} killed: {took} ms");
        let until = cluster.now() + 2_000;
        clients.run_until(&mut cluster, until);
        cluster.start(endpoint(victim));
        serves(&mut cluster, &mut clients, &[], "back");
        converges(&mut cluster, &mut clients, 3, "back");
    }
}

#[test]
fn a_member_that_restarts_at_once_resumes() {
    for victim in 0..3 {
        let (mut cluster, mut clients) = stable_cluster(victim as u64, 3, 1);
        cluster.stop(endpoint(victim));
        let until = cluster.now() + 300;
        clients.run_until(&mut cluster, until);
        cluster.start(endpoint(victim));
        let took = serves(&mut cluster, &mut clients, &[], "restarted");
        println!("member {victim} restarted: {took} ms");
        converges(&mut cluster, &mut clients, 3, "restarted");
    }
}

#[test]
fn a_member_with_a_stalled_disk_is_excluded() {
    for victim in 0..3 {
        let (mut cluster, mut clients) = stable_cluster(victim as u64, 3, 1);
        let until = cluster.now() + 8_000;
        cluster.disk(endpoint(victim)).unwrap().stall(until);
        let took = serves(&mut cluster, &mut clients, &[], "stalled");
        println!("disk {victim} stalled: {took} ms");
        clients.run_until(&mut cluster, until);
        converges(&mut cluster, &mut clients, 3, "stalled");
    }
}

#[test]
fn a_member_whose_disk_rejects_writes_is_excluded() {
    for victim in 0..3 {
        let (mut cluster, mut clients) = stable_cluster(victim as u64, 3, 1);
        let until = cluster.now() + 8_000;
        cluster.disk(endpoint(victim)).unwrap().fail(until);
        let took = serves(&mut cluster, &mut clients, &[], "failing");
        println!("disk {victim} failing: {took} ms");
        clients.run_until(&mut cluster, until);
        converges(&mut cluster, &mut clients, 3, "failing");
    }
}

#[test]
fn a_frozen_member_is_excluded() {
    for victim in 0..3 {
        let (mut cluster, mut clients) = stable_cluster(victim as u64, 3, 1);
        let until = cluster.now() + 10_000;
        cluster.freeze(endpoint(victim), until);
        let took = serves(&mut cluster, &mut clients, &[endpoint(victim)], "frozen");
        println!("member {victim} frozen: {took} ms");
        clients.run_until(&mut cluster, until);
        converges(&mut cluster, &mut clients, 3, "frozen");
    }
}

#[test]
fn a_partitioned_member_is_excluded() {
    for victim in 0..3 {
        let (mut cluster, mut clients) = stable_cluster(victim as u64, 3, 1);
        for other in (0..3).filter(|other| *other != victim) {
            cluster.cut(endpoint(victim), endpoint(other));
            cluster.cut(endpoint(other), endpoint(victim));
        }
        let took = serves(&mut cluster, &mut clients, &[endpoint(victim)], "cut off");
        println!("member {victim} cut off: {took} ms");
        assert!(!cluster.process(endpoint(victim)).unwrap().replica.is_in_quorum(cluster.now()));
        cluster.heal_all();
        serves(&mut cluster, &mut clients, &[], "joined again");
        converges(&mut cluster, &mut clients, 3, "joined again");
    }
}

#[test]
fn a_partition_of_one_link_stops_no_writes() {
    for (one, other) in [(0, 1), (0, 2), (1, 2), (1, 0), (2, 0), (2, 1)] {
        for both in [false, true] {
            let (mut cluster, mut clients) = stable_cluster(5, 3, 1);
            cluster.cut(endpoint(one), endpoint(other));
            if both {
                cluster.cut(endpoint(other), endpoint(one));
            }
            let name = format!("link {one} to {other} cut, both directions: {both}");
            // Those without a way to the head can't submit.
            let but: Vec<SocketAddr> = [one, other].map(endpoint).to_vec();
            let took = serves(&mut cluster, &mut clients, &but, &name);
            println!("{name}: {took} ms");
            cluster.heal_all();
            converges(&mut cluster, &mut clients, 3, &name);
        }
    }
}

#[test]
fn a_graceful_shutdown_hardly_delays_writes() {
    for victim in 0..3 {
        let (mut cluster, mut clients) = stable_cluster(victim as u64, 3, 1);
        cluster.command(endpoint(victim), Command::Leave);
        let until = cluster.now() + 1_000;
        clients.run_until(&mut cluster, until);
        cluster.stop(endpoint(victim));
        let took = serves(&mut cluster, &mut clients, &[], "left");
        println!("member {victim} left: {took} ms");
        assert!(took < 400, "{took}");
        cluster.start(endpoint(victim));
        serves(&mut cluster, &mut clients, &[], "back");
        converges(&mut cluster, &mut clients, 3, "back");
    }
}

#[test]
fn after_a_loss_of_all_power_everything_acknowledged_is_there() {
    let (mut cluster, mut clients) = stable_cluster(7, 3, 1);
    for number in 0..3 {
        cluster.stop(endpoint(number));
    }
    let until = cluster.now() + 3_000;
    clients.run_until(&mut cluster, until);
    for number in 0..3 {
        cluster.start(endpoint(number));
    }
    let took = serves(&mut cluster, &mut clients, &[], "power");
    println!("power lost by all: {took} ms");
    assert!(took < 2_000);
    converges(&mut cluster, &mut clients, 3, "power");
}

#[test]
fn one_disk_lost_while_all_others_lose_power_loses_nothing() {
    for victim in 0..3 {
        let (mut cluster, mut clients) = stable_cluster(victim as u64, 3, 1);
        for number in 0..3 {
            cluster.stop(endpoint(number));
        }
        cluster.wipe(endpoint(victim));
        let until = cluster.now() + 3_000;
        clients.run_until(&mut cluster, until);
        for number in 0..3 {
            cluster.start(endpoint(number));
        }
        let took = serves(&mut cluster, &mut clients, &[], "wiped");
        println!("disk {victim} lost with all power: {took} ms");
        converges(&mut cluster, &mut clients, 3, "wiped");
    }
}

/// Five voters for two losses, and a sixth replica that follows; power goes at the moment of an acknowledgement, or when
/// the next write is on its way.
#[test]
fn two_disks_lost_while_all_others_lose_power_at_that_moment_lose_nothing() {
    const REPLICAS: usize = 6;
    let pairs = (0..REPLICAS).flat_map(|one| (one + 1..REPLICAS).map(move |other| (one, other)));
    for (one, other) in pairs {
        let (mut cluster, mut clients) = stable_cluster((one * REPLICAS + other) as u64, REPLICAS, 2);
        let took = clients.write_within(&mut cluster, endpoint(other), 1_000);
        assert!(took.is_some(), "acknowledged before the loss");
        clients.begin(&mut cluster, endpoint(one), "register-0", Request::Get);
        let instant = cluster.now() + (one + 3 * other) as u64 % 20;
        clients.run_until(&mut cluster, instant);
        (0..REPLICAS).for_each(|number| cluster.stop(endpoint(number)));
        cluster.wipe(endpoint(one));
        cluster.wipe(endpoint(other));
        let until = cluster.now() + 3_000;
        clients.run_until(&mut cluster, until);
        (0..REPLICAS).for_each(|number| cluster.start(endpoint(number)));
        let took = serves(&mut cluster, &mut clients, &[], "two wiped");
        println!("disks {one} and {other} lost with all power: {took} ms");
        converges(&mut cluster, &mut clients, 5, "two wiped");
    }
}

/// Drawn: operations at all replicas, perhaps a member that is down or cut off for a while, so that the chain is another
/// one; then, with operations on their way, all lose power and as many disks are lost as may be. Twice in each play.
#[test]
fn any_disks_lost_while_all_others_lose_power_amid_operations_lose_nothing() {
    const PLAYS: u64 = 60;
    for seed in 0..PLAYS {
        let mut random = Pcg::new(seed);
        let losses = 1 + random.next_below(2);
        let replicas = 2 * losses + 1 + random.next_below(3);
        let (mut cluster, mut clients) = stable_cluster(seed, replicas, losses);
        for _ in 0..2 {
            let away = endpoint(random.next_below(replicas));
            let was_away = random.next_below(2) == 0;
            if was_away {
                cluster.stop(away);
            }
            operate(&mut cluster, &mut clients, &mut random, replicas, 1_500);
            if was_away {
                cluster.start(away);
                // It counts as lost until it has had this time.
                let until = cluster.now() + 4_000;
                clients.run_until(&mut cluster, until);
            }
            operate(&mut cluster, &mut clients, &mut random, replicas, 200);
            (0..replicas).for_each(|number| cluster.stop(endpoint(number)));
            let first = random.next_below(replicas);
            (0..losses).for_each(|more| cluster.wipe(endpoint((first + more) % replicas)));
            let until = cluster.now() + 500;
            clients.run_until(&mut cluster, until);
            (0..replicas).for_each(|number| cluster.start(endpoint(number)));
            let name = format!("seed {seed}: {losses} of {replicas}");
            serves(&mut cluster, &mut clients, &[], &name);
            let until = cluster.now() + 4_000;
            clients.run_until(&mut cluster, until);
        }
    }
}

/// Begins operations at drawn replicas for so long; the last of them are on their way at the end.
fn operate(
    cluster: &mut Cluster<Node>,
    clients: &mut Clients,
    random: &mut Pcg,
    replicas: usize,
    milliseconds: u64,
) {
    let end = cluster.now() + milliseconds;
    while cluster.now() < end {
        let at = endpoint(random.next_below(replicas));
        if cluster.is_running(at) {
            clients.begin_any(cluster, random, at, REGISTERS);
        }
        let until = (cluster.now() + 1 + random.next_below(40) as u64).min(end);
        clients.run_until(cluster, until);
    }
}

#[test]
fn an_empty_machine_at_another_address_replaces_a_member() {
    for victim in 0..3 {
        let (mut cluster, mut clients) = stable_cluster(victim as u64, 3, 1);
        cluster.remove(endpoint(victim));
        cluster.add(endpoint(3), false);
        cluster.start(endpoint(3));
        let took = serves(&mut cluster, &mut clients, &[], "replaced");
        println!("member {victim} replaced: {took} ms");
        let until = cluster.now() + 4_000;
        clients.run_until(&mut cluster, until);
        converges(&mut cluster, &mut clients, 3, "replaced");
        // The successor counts: another may be lost now.
        cluster.stop(endpoint((victim + 1) % 3));
        serves(&mut cluster, &mut clients, &[], "replaced and another lost");
    }
}

#[test]
fn five_replicas_with_three_seeds_all_become_voters_and_bear_two_losses() {
    let (mut cluster, mut clients) = stable_cluster(3, 5, 2);
    converges(&mut cluster, &mut clients, 5, "grown");
    cluster.stop(endpoint(0));
    cluster.stop(endpoint(3));
    let took = serves(&mut cluster, &mut clients, &[], "two lost");
    println!("two of five lost: {took} ms");
    cluster.wipe(endpoint(0));
    cluster.start(endpoint(0));
    cluster.start(endpoint(3));
    serves(&mut cluster, &mut clients, &[], "two back");
    converges(&mut cluster, &mut clients, 5, "two back");
}

#[test]
fn replicas_beyond_the_target_voters_learn_and_forward() {
    let (mut cluster, mut clients) = stable_cluster(4, 5, 1);
    converges(&mut cluster, &mut clients, 3, "learners");
    cluster.stop(endpoint(1));
    let took = serves(&mut cluster, &mut clients, &[], "a learner takes over");
    println!("one of three lost, two learners: {took} ms");
    converges(&mut cluster, &mut clients, 3, "a learner has taken over");
}

#[test]
fn with_fewer_replicas_than_the_losses_to_bear_a_majority_goes_on() {
    let (mut cluster, mut clients) = stable_cluster(6, 3, 2);
    converges(&mut cluster, &mut clients, 3, "three for two losses");
    cluster.stop(endpoint(1));
    serves(&mut cluster, &mut clients, &[], "one of three lost");
    let (mut cluster, mut clients) = stable_cluster(6, 1, 0);
    converges(&mut cluster, &mut clients, 1, "alone");
    cluster.stop(endpoint(0));
    cluster.start(endpoint(0));
    serves(&mut cluster, &mut clients, &[], "alone, restarted");
}

#[test]
fn all_members_are_replaced_one_after_the_other() {
    let (mut cluster, mut clients) = stable_cluster(8, 3, 1);
    for number in 0..4 {
        cluster.remove(endpoint(number));
        cluster.add(endpoint(number + 3), false);
        cluster.start(endpoint(number + 3));
        serves(&mut cluster, &mut clients, &[], "replaced");
        converges(&mut cluster, &mut clients, 3, "replaced");
    }
}
