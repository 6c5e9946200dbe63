//! The minimum length of a chain that accepts writes. An acknowledged write is on all disks of the chain.

mod common;

use std::net::SocketAddr;

use common::clients::Clients;
use common::history::{Request, check};
use common::node::{cluster, endpoint};
use whinspindle_lab_simulated_cluster::NetworkTiming;
use whinspindle_replica::{ChainLink, StandardRules, View, Voter};

const MAX_VOTERS: u16 = 7;
const MAX_LOSSES: usize = 4;

fn voter(member: u16) -> Voter {
    Voter { member, incarnation: 0 }
}

fn voter_set(members: std::ops::Range<u16>) -> Vec<Voter> {
    members.map(voter).collect()
}

/// The voter sets of a stable system, and of a system whose voters are added, removed or partly replaced.
fn all_voter_sets() -> Vec<Vec<Vec<Voter>>> {
    let mut all = Vec::new();
    for count in 1..=MAX_VOTERS {
        all.push(vec![voter_set(0..count)]);
        for begin in 0..=2 {
            for end in begin + 1..=MAX_VOTERS {
                if end != count || begin > 0 {
                    all.push(vec![voter_set(0..count), voter_set(begin..end)]);
                }
            }
        }
    }
    all
}

/// All subsets of the members below [`MAX_VOTERS`].
fn all_subsets() -> impl Iterator<Item = Vec<Voter>> {
    let members = |set: u32| (0..MAX_VOTERS).filter(move |member| set >> member & 1 == 1);
    (0..1_u32 << MAX_VOTERS).map(move |set| members(set).map(voter).collect())
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

/// The views that accept writes, for all voter sets and all chains of their voters.
fn views_that_accept_writes(losses: usize) -> impl Iterator<Item = View> {
    let views = all_voter_sets().into_iter().flat_map(|voter_sets| {
        let voters = view(&voter_sets, &[]).voters();
        let chains = all_subsets().filter(move |chain| chain.iter().all(|voter| voters.contains(voter)));
        chains.map(move |chain| view(&voter_sets, &chain)).collect::<Vec<View>>()
    });
    views.filter(move |view| view.accepts_writes(losses))
}

/// After any losses, either no majority remains that could decide a view, or at least one of its voters was
/// in the chain and has every acknowledged write.
#[test]
fn every_remaining_majority_has_a_disk_of_the_chain() {
    for losses in 0..=MAX_LOSSES {
        for view in views_that_accept_writes(losses) {
            for remaining in all_subsets() {
                let has_majority = view.has_majority(|voter| remaining.contains(&voter));
                let has_disk = remaining.iter().any(|voter| view.chain_position(*voter).is_some());
                assert!(!has_majority || has_disk, "{remaining:?} remain of {view:?}");
            }
        }
    }
}

/// A chain with at most as many disks as tolerated losses accepts writes only if the voters are
/// too few for these losses, so that no majority survives them.
#[test]
fn a_chain_has_too_few_disks_only_if_no_majority_survives_the_losses() {
    for losses in 0..=MAX_LOSSES {
        for view in views_that_accept_writes(losses) {
            let smallest_voter_set = view.voter_sets.iter().map(Vec::len).min().unwrap_or(0);
            let largest_voter_set = view.voter_sets.iter().map(Vec::len).max().unwrap_or(0);
            if view.chain.len() <= losses {
                assert!(largest_voter_set <= 2 * losses, "{losses} losses and {view:?}");
            }
            if smallest_voter_set > 2 * losses {
                assert!(view.chain.len() > losses, "{losses} losses and {view:?}");
            }
        }
    }
}

/// Three voters are configured for two losses, which they cannot tolerate. A chain of two accepts writes and
/// loses both disks. Its records are lost, but no request is answered from an older state.
#[test]
fn nothing_is_answered_after_more_losses_than_the_voters_tolerate() {
    for seed in 0..8 {
        for outsider in 0..3 {
            let network = NetworkTiming { min_delay_ms: 1, max_delay_ms: 20, ..NetworkTiming::default() };
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
                clients.begin(&mut cluster, endpoint(number), "register-0", Request::Get);
            }
            let answered = clients.answered();
            let until = cluster.now() + 10_000;
            clients.run_until(&mut cluster, until);
            assert_eq!(clients.answered(), answered, "seed {seed}, {outsider} was outside of the chain");
            check(&clients.history()).unwrap_or_else(|fault| panic!("{fault}"));
        }
    }
}
