//! How long a chain must be to take writes: an acknowledged write is on all of its disks.

mod common;

use std::net::SocketAddr;

use common::clients::Clients;
use common::history::{Asked, check};
use common::node::{cluster, endpoint};
use whinspindle_lab_simulated_cluster::NetworkTiming;
use whinspindle_replica::{ChainLink, StandardRules, View, Voter};

const MOST_VOTERS: u16 = 7;
const MOST_LOSSES: usize = 4;

fn voter(member: u16) -> Voter {
    Voter { member, incarnation: 0 }
}

fn voter_set(members: std::ops::Range<u16>) -> Vec<Voter> {
    members.map(voter).collect()
}

/// The voter_sets of a settled system, and of one whose voters grow, shrink or are replaced in part.
fn all_boards() -> Vec<Vec<Vec<Voter>>> {
    let mut all = Vec::new();
    for count in 1..=MOST_VOTERS {
        all.push(vec![voter_set(0..count)]);
        for begin in 0..=2 {
            for end in begin + 1..=MOST_VOTERS {
                if end != count || begin > 0 {
                    all.push(vec![voter_set(0..count), voter_set(begin..end)]);
                }
            }
        }
    }
    all
}

/// All sets of the members below [`MOST_VOTERS`].
fn all_sets() -> impl Iterator<Item = Vec<Voter>> {
    let members = |set: u32| (0..MOST_VOTERS).filter(move |member| set >> member & 1 == 1);
    (0..1_u32 << MOST_VOTERS).map(move |set| members(set).map(voter).collect())
}

fn view(voter_sets: &[Vec<Voter>], chain: &[Voter]) -> View {
    let link = |voter: &Voter| ChainLink { voter: *voter, since_view: 1 };
    View {
        number: 1,
        voter_sets: voter_sets.to_vec(),
        chain: chain.iter().map(link).collect(),
        ..View::default()
    }
}

/// The views that may take writes, of all voter_sets and all chains of their voters.
fn views_that_take_writes(losses: usize) -> impl Iterator<Item = View> {
    let views = all_boards().into_iter().flat_map(|voter_sets| {
        let voters = view(&voter_sets, &[]).voters();
        let chains = all_sets().filter(move |chain| chain.iter().all(|voter| voters.contains(voter)));
        chains.map(move |chain| view(&voter_sets, &chain)).collect::<Vec<View>>()
    });
    views.filter(move |view| view.accepts_writes(losses))
}

/// Whatever is lost, and however much: either no majority is left that could agree on a view, or one of its voters
/// was in the chain, so that it has every acknowledged write.
#[test]
fn every_majority_that_is_left_has_a_disk_of_the_chain() {
    for losses in 0..=MOST_LOSSES {
        for view in views_that_take_writes(losses) {
            for left in all_sets() {
                let has_majority = view.has_majority(|voter| left.contains(&voter));
                let has_disk = left.iter().any(|voter| view.chain_position(*voter).is_some());
                assert!(!has_majority || has_disk, "{left:?} left of {view:?}");
            }
        }
    }
}

/// A chain of fewer disks than the tolerated losses and one takes writes only where the voters are too few to bear
/// these losses: no majority outlives them.
#[test]
fn a_chain_is_shorter_than_the_losses_only_where_no_majority_outlives_them() {
    for losses in 0..=MOST_LOSSES {
        for view in views_that_take_writes(losses) {
            let fewest = view.voter_sets.iter().map(Vec::len).min().unwrap_or(0);
            let most = view.voter_sets.iter().map(Vec::len).max().unwrap_or(0);
            if view.chain.len() <= losses {
                assert!(most <= 2 * losses, "{losses} losses and {view:?}");
            }
            if fewest > 2 * losses {
                assert!(view.chain.len() > losses, "{losses} losses and {view:?}");
            }
        }
    }
}

/// Three voters are to bear two losses, which they can't: a chain of two takes writes, and both its disks are lost.
/// What they had is gone, but nobody is told of an older state.
#[test]
fn when_more_is_lost_than_the_voters_bear_nothing_is_answered() {
    for seed in 0..8 {
        for outsider in 0..3 {
            let network = NetworkTiming { shortest: 1, longest: 20, ..NetworkTiming::default() };
            let mut cluster = cluster::<StandardRules>(seed, 3, 2, network);
            let mut clients = Clients::default();
            clients.run_until(&mut cluster, 3_000);
            assert!(clients.write_within(&mut cluster, endpoint(0), 1_000).is_some());
            cluster.stop(endpoint(outsider));
            let members: Vec<SocketAddr> =
                (0..3).filter(|number| *number != outsider).map(endpoint).collect();
            assert!(clients.write_within(&mut cluster, members[0], 2_500).is_some(), "a chain of two");
            for member in &members {
                cluster.stop(*member);
                cluster.wipe(*member);
            }
            for number in 0..3 {
                cluster.start(endpoint(number));
            }
            for number in 0..3 {
                assert!(clients.write_within(&mut cluster, endpoint(number), 4_000).is_none());
                clients.begin(&mut cluster, endpoint(number), "register-0", Asked::Get);
            }
            let answered = clients.answered();
            let until = cluster.now() + 10_000;
            clients.run_until(&mut cluster, until);
            assert_eq!(clients.answered(), answered, "seed {seed}, {outsider} was outside of the chain");
            check(&clients.history()).unwrap_or_else(|fault| panic!("{fault}"));
        }
    }
}
