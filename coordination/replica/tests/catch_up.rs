//! A member that was away, or whose disk is slow, catches up under large changes that don't stop.

mod common;

use std::net::SocketAddr;

use common::changes::{Changes, Load};
use common::node::endpoint;
use whinspindle_lab_simulated_cluster::{DiskTiming, NetworkTiming};

/// A configuration of about 400 routes.
const BODY_BYTES: usize = 120_000;
/// A member that is back is in the chain and has everything within this, in milliseconds.
const CAUGHT_UP: u64 = 3_000;
/// After a loss of all power writes are acknowledged again within this.
const ALL_BACK: u64 = 3_000;
/// No write to a disk is larger, however long the disk stood still: what came together meanwhile is the state itself.
const LARGEST_WRITE: usize = 2_000_000;
/// Changes that are made while one is away, at least.
const AWAY_CHANGES: usize = 300;

fn wide() -> NetworkTiming {
    NetworkTiming { min_delay_ms: 1, max_delay_ms: 40, ..NetworkTiming::default() }
}

fn load(interval: u64) -> Load {
    Load { interval, body_bytes: BODY_BYTES, network: wide(), disks: DiskTiming::default() }
}

/// Why one was away.
#[derive(Clone, Copy, Debug)]
enum Absence {
    Down,
    Wiped,
    CutOff,
    Frozen,
    Stalled,
}

fn begin(changes: &mut Changes, victim: SocketAddr, absence: Absence, span: u64) {
    let until = changes.cluster.now() + span;
    match absence {
        Absence::Down => changes.cluster.stop(victim),
        Absence::Wiped => {
            changes.cluster.stop(victim);
            changes.cluster.wipe(victim);
        }
        Absence::CutOff => changes.isolate(victim),
        Absence::Frozen => changes.cluster.freeze(victim, until),
        Absence::Stalled => changes.cluster.disk(victim).unwrap().stall(until),
    }
}

fn end(changes: &mut Changes, victim: SocketAddr, absence: Absence) {
    match absence {
        Absence::Down | Absence::Wiped => changes.cluster.start(victim),
        Absence::CutOff => changes.cluster.heal_all(),
        Absence::Frozen | Absence::Stalled => {}
    }
}

/// One is away while changes are made, catches up under more of them, and all power is lost right after.
fn catches_up(victim: usize, absence: Absence, load: Load) {
    catches_up_after(victim, absence, load, AWAY_CHANGES);
}

fn catches_up_after(victim: usize, absence: Absence, load: Load, away_changes: usize) {
    let mut changes = Changes::rolled_over(victim as u64, 3, 1, load);
    let victim = endpoint(victim);
    changes.run(1_000);
    let before = changes.acknowledgements;
    changes.avoided = vec![victim];
    let span = away_changes as u64 * load.interval + 2_000;
    begin(&mut changes, victim, absence, span);
    changes.run(span);
    let made = changes.acknowledgements - before;
    assert!(made >= away_changes * 3 / 4, "{absence:?}: only {made} changes while one was away");
    let sent = changes.sent();
    end(&mut changes, victim, absence);
    let name = format!("{absence:?} {victim} every {} ms", load.interval);
    let took = changes.run_until(CAUGHT_UP, |changes| changes.is_caught_up(victim));
    let took = took.unwrap_or_else(|fault| panic!("{name}: {fault}"));
    let now_sent = changes.sent();
    println!(
        "{name}: caught up after {took} ms; {made} changes missed; {} transfers of {} KB, {} KB in all; \
         longest pause {} ms; {} views; largest write {} KB",
        now_sent.transfers - sent.transfers,
        (now_sent.transfer_bytes - sent.transfer_bytes) / 1_000,
        (now_sent.bytes - sent.bytes) / 1_000,
        changes.longest_pause,
        changes.views,
        changes.cluster.disk(victim).unwrap().traffic.largest_write / 1_000,
    );
    let largest_write = changes.cluster.disk(victim).unwrap().traffic.largest_write;
    assert!(largest_write <= LARGEST_WRITE, "{name}: {largest_write} bytes in one write");
    changes.avoided.clear();
    changes.lose_all_power();
    let acknowledged = changes.acknowledged;
    let took = changes.run_until(ALL_BACK, |changes| changes.acknowledged > acknowledged);
    took.unwrap_or_else(|fault| panic!("{name}, all power lost: {fault}"));
    changes.pass(6_000);
    changes.check_nothing_lost();
}

#[test]
fn a_member_that_was_down_catches_up() {
    (0..3).for_each(|victim| catches_up(victim, Absence::Down, load(50)));
}

#[test]
fn a_member_whose_disk_was_lost_catches_up() {
    (0..3).for_each(|victim| catches_up(victim, Absence::Wiped, load(50)));
}

#[test]
fn a_partitioned_member_catches_up() {
    (0..3).for_each(|victim| catches_up(victim, Absence::CutOff, load(50)));
}

#[test]
fn a_member_that_was_frozen_catches_up() {
    (0..3).for_each(|victim| catches_up(victim, Absence::Frozen, load(50)));
}

#[test]
fn a_member_whose_disk_stood_still_catches_up() {
    (0..3).for_each(|victim| catches_up(victim, Absence::Stalled, load(50)));
}

/// Changes after which outcomes and the history of changes, 512 of each, have rolled over twice more, and log and
/// checkpoints many times.
const ROLLED_OVER: usize = 1_400;

#[test]
fn a_member_catches_up_though_all_that_is_kept_rolled_over_meanwhile() {
    let load = Load { body_bytes: 2_000, ..load(20) };
    for victim in 0..3 {
        for absence in [Absence::Down, Absence::Wiped, Absence::CutOff, Absence::Frozen, Absence::Stalled] {
            catches_up_after(victim, absence, load, ROLLED_OVER);
        }
    }
}

/// Two replicas beyond the wanted voters follow what is committed. One that was away has everything again within a
/// second, and is never further behind afterwards than a joiner may be.
#[test]
fn a_replica_outside_of_the_chain_catches_up_and_keeps_up() {
    for absence in [Absence::Down, Absence::Wiped, Absence::CutOff] {
        let mut changes = Changes::rolled_over(3, 5, 1, load(50));
        let outside = changes.outside_of_the_chain()[0];
        begin(&mut changes, outside, absence, 0);
        changes.avoided = vec![outside];
        changes.run(8_000);
        let sent = changes.sent();
        end(&mut changes, outside, absence);
        let took = changes.run_until(CAUGHT_UP, |changes| changes.follows(outside));
        let took = took.unwrap_or_else(|fault| panic!("{absence:?}: {fault}"));
        let mut furthest = 0;
        for _ in 0..500 {
            changes.run(10);
            furthest = furthest.max(changes.lag(outside));
        }
        let now_sent = changes.sent();
        println!(
            "outside of the chain, {absence:?}: caught up after {took} ms, then {furthest} behind at most; \
             {} transfers of {} KB in 5 s",
            now_sent.transfers - sent.transfers,
            (now_sent.transfer_bytes - sent.transfer_bytes) / 1_000
        );
        assert!(changes.outside_of_the_chain().contains(&outside));
        assert!(furthest <= SMALL_LAG, "{absence:?}: {furthest} behind\n{}", changes.describe());
    }
}

/// A joiner may lack so many entries.
const SMALL_LAG: u64 = 64;

/// Links that carry little more than twice what the changes need, and disks that need time for each byte.
fn narrow() -> Load {
    let network = NetworkTiming { bytes_per_ms: Some(3_000), ..wide() };
    let disks = DiskTiming { bytes_per_ms: Some(20_000), ..DiskTiming::default() };
    Load { network, disks, ..load(100) }
}

#[test]
fn a_member_that_was_down_catches_up_over_narrow_links() {
    (0..3).for_each(|victim| catches_up(victim, Absence::Down, narrow()));
}

#[test]
fn a_member_whose_disk_was_lost_catches_up_over_narrow_links() {
    (0..3).for_each(|victim| catches_up(victim, Absence::Wiped, narrow()));
}

#[test]
fn a_partitioned_member_catches_up_over_narrow_links() {
    (0..3).for_each(|victim| catches_up(victim, Absence::CutOff, narrow()));
}

#[test]
fn a_member_that_was_frozen_catches_up_over_narrow_links() {
    (0..3).for_each(|victim| catches_up(victim, Absence::Frozen, narrow()));
}

#[test]
fn a_member_whose_disk_stood_still_catches_up_over_narrow_links() {
    (0..3).for_each(|victim| catches_up(victim, Absence::Stalled, narrow()));
}

/// A write takes thirty times as long as on a sound disk.
const SLOW_DISK: u64 = 145;

/// A member comes back with a slow disk: it is let in by one change of the view (two more where its disk was lost),
/// and stays. Without it the view changes again and again, each time to what it was.
fn catches_up_with_a_slow_disk(victim: usize, absence: Absence, most_views: usize) {
    let mut changes = Changes::rolled_over(victim as u64, 3, 1, narrow());
    let victim = endpoint(victim);
    changes.avoided = vec![victim];
    begin(&mut changes, victim, absence, 0);
    changes.run(10_000);
    changes.cluster.disk(victim).unwrap().extra_delay_ms = SLOW_DISK;
    let views = changes.views;
    end(&mut changes, victim, absence);
    let name = format!("slow disk, {absence:?} {victim}");
    let took = changes.run_until(CAUGHT_UP, |changes| changes.is_caught_up(victim));
    let took = took.unwrap_or_else(|fault| panic!("{name}: {fault}"));
    println!("{name}: caught up after {took} ms; {} views", changes.views - views);
    assert!(changes.views <= views + most_views, "{name}: {}", changes.describe());
    let views = changes.views;
    changes.longest_pause = 0;
    changes.run(10_000);
    assert_eq!(changes.views, views, "{name}: it stays in the chain");
    assert!(changes.longest_pause < 1_000, "{name}: {} ms", changes.longest_pause);
}

#[test]
fn a_member_with_a_slow_disk_catches_up() {
    for victim in 0..3 {
        catches_up_with_a_slow_disk(victim, Absence::Down, 1);
        catches_up_with_a_slow_disk(victim, Absence::CutOff, 1);
        catches_up_with_a_slow_disk(victim, Absence::Wiped, 3);
    }
}

/// Links that changes fill by two thirds, and a disk that takes eighty times as long as a sound one. Large commands that
/// are sent to a head that takes none, or again before they can have arrived, must not hold up the votes on the view:
/// else no view comes about any more.
#[test]
fn a_member_with_a_very_slow_disk_catches_up_over_full_links() {
    for victim in 0..3 {
        for absence in [Absence::Down, Absence::CutOff, Absence::Wiped] {
            catches_up_over_full_links(victim, absence, VERY_SLOW_DISK);
        }
    }
}

/// Like the one above, without a slow disk: commands that are sent again and again fill the links by themselves.
#[test]
fn a_member_whose_disk_was_lost_catches_up_over_full_links() {
    (0..3).for_each(|victim| catches_up_over_full_links(victim, Absence::Wiped, 0));
}

fn catches_up_over_full_links(victim: usize, absence: Absence, slowness: u64) {
    let network = NetworkTiming { bytes_per_ms: Some(1_800), ..wide() };
    let mut changes = Changes::rolled_over(victim as u64 + 7, 3, 1, Load { network, ..narrow() });
    let at = endpoint(victim);
    let name = format!("full links, disk slower by {slowness} ms, {absence:?} {victim}");
    changes.run(1_000);
    changes.avoided = vec![at];
    begin(&mut changes, at, absence, 0);
    changes.run(6_000);
    changes.cluster.disk(at).unwrap().extra_delay_ms = slowness;
    end(&mut changes, at, absence);
    let took = changes.run_until(CAUGHT_UP_AT_LAST, |changes| changes.is_caught_up(at));
    let took = took.unwrap_or_else(|fault| panic!("{name}: {fault}"));
    let (made, views) = (changes.acknowledgements, changes.views);
    changes.run(5_000);
    let made = changes.acknowledgements - made;
    println!("{name}: caught up after {took} ms; {made} changes in 5 s");
    assert_eq!(changes.views, views, "{name}: it stays in the chain");
    assert!(made >= 20, "{name}: only {made} changes in 5 s");
}

const VERY_SLOW_DISK: u64 = 400;
/// Within this a member with such a disk is in the chain and has everything.
const CAUGHT_UP_AT_LAST: u64 = 6_000;

/// A round of votes takes longer than a first round may where all disks are very slow. Later rounds have more time.
#[test]
fn the_view_changes_though_all_disks_are_very_slow() {
    for victim in 0..3 {
        let mut changes = Changes::rolled_over(7, 3, 1, load(200));
        for number in 0..3 {
            changes.cluster.disk(endpoint(number)).unwrap().extra_delay_ms = VERY_SLOW_DISK;
        }
        changes.run(3_000);
        changes.avoided = vec![endpoint(victim)];
        changes.cluster.stop(endpoint(victim));
        changes.run(1_000);
        let before = changes.acknowledgements;
        let took = changes.run_until(10_000, |changes| changes.acknowledgements > before + 5);
        let took = took.unwrap_or_else(|fault| panic!("{victim} killed: {fault}"));
        println!("all disks very slow, {victim} killed: {} ms", took + 1_000);
    }
}

/// Three hundred large changes at once, while a disk stands still: the head takes only so many bytes of them.
#[test]
fn the_log_of_pending_changes_is_bounded() {
    let network = NetworkTiming { bytes_per_ms: Some(100_000), ..wide() };
    let mut changes = Changes::rolled_over(1, 3, 1, Load { network, ..load(100) });
    let until = changes.cluster.now() + 3_000;
    changes.cluster.disk(endpoint(1)).unwrap().stall(until);
    changes.avoided = vec![endpoint(1), endpoint(2)];
    changes.burst(300);
    let mut most = 0;
    for _ in 0..500 {
        changes.pass(10);
        let head = &changes.cluster.process(endpoint(0)).unwrap().replica;
        most = most.max(head.newest_sequence() - head.committed_sequence());
    }
    println!("{most} changes pending at most, {} acknowledged", changes.acknowledgements);
    assert!(most as usize * BODY_BYTES < 18_000_000, "{most} changes pending");
    assert!(changes.acknowledgements > 100);
}
