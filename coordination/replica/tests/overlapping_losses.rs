//! The only complete member of a chain loses its disk while the other joins, and the third, which was complete before, is
//! cut off: one disk of three is lost, so that commands are taken again, and nothing acknowledged is lost.

mod common;

use std::net::SocketAddr;

use common::clients::Clients;
use common::faulty::{DropsEntriesWhenLeftOut, TakesIncompleteLeaders};
use common::history::{Request, check};
use common::node::{Node, cluster, endpoint};
use whinspindle_lab_simulated_cluster::{Cluster, NetworkTiming};
use whinspindle_replica::{Message, ProtocolRules, StandardRules};

/// Each order of roles is played with so many seeds.
const SEEDS: u64 = 12;
/// All bootstrap members are in the chain by then, in milliseconds.
const STABLE_AFTER: u64 = 2_000;
/// A chain without a member that is cut off, and a chain with one that is back, are agreed on within this.
const AGREED: u64 = 6_000;
/// The lost disk is replaced by an empty one after this.
const WIPED_FOR: u64 = 500;
/// Once all machines are there again, a write is acknowledged within this.
const ACKNOWLEDGED_WITHIN: u64 = 3_000;
/// Between two commands.
const PAUSE: u64 = 7;
/// The judge's work grows fast with the operations on one register.
const REGISTERS: usize = 12;

/// Which replica has which fault.
#[derive(Clone, Copy, Debug)]
struct Roles {
    /// Partitioned first; then it joins.
    joiner: SocketAddr,
    /// In all chains; then its disk is lost.
    wiped: SocketAddr,
    /// Partitioned once the joiner is back.
    partitioned: SocketAddr,
    /// Whether that one is notified of what the others have committed before it is partitioned.
    is_notified: bool,
}

fn all_roles() -> Vec<Roles> {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    let roles = orders
        .into_iter()
        .flat_map(|order| [true, false].map(|is_notified| (order.map(endpoint), is_notified)));
    roles
        .map(|([joiner, wiped, partitioned], is_notified)| Roles { joiner, wiped, partitioned, is_notified })
        .collect()
}

struct Play<L: ProtocolRules> {
    cluster: Cluster<Node<L>>,
    clients: Clients,
    roles: Roles,
    asks_at: u64,
}

impl<L: ProtocolRules + 'static> Play<L> {
    /// Lets time pass while clients ask the replicas in turn.
    fn pass(&mut self, span: u64) {
        let until = self.cluster.now() + span;
        while self.cluster.now() < until {
            let next = self.cluster.now() + 1;
            self.clients.run_until(&mut self.cluster, next);
            if self.cluster.now() >= self.asks_at {
                self.asks_at = self.cluster.now() + PAUSE;
                self.ask();
            }
        }
    }

    fn ask(&mut self) {
        let number = self.clients.operations.len();
        let register = format!("register-{}", number % REGISTERS);
        let new = format!("v{}", number + 1);
        let asked = if number.is_multiple_of(5) { Request::Get } else { Request::Put(new) };
        self.clients.begin(&mut self.cluster, endpoint(number % 3), &register, asked);
    }

    fn pass_until(&mut self, holds: impl Fn(&Self) -> bool) -> Result<(), String> {
        let longest = self.cluster.now() + AGREED;
        while !holds(self) {
            if self.cluster.now() >= longest {
                return Err(format!("not within {AGREED} ms\n{}", self.describe()));
            }
            self.pass(1);
        }
        Ok(())
    }

    fn isolate(&mut self, at: SocketAddr) {
        for other in self.cluster.endpoints().into_iter().filter(|other| *other != at) {
            self.cluster.cut(at, other);
            self.cluster.cut(other, at);
        }
    }

    /// Whether the chain that a replica knows has one other and itself for members.
    fn is_in_chain_with(&self, at: SocketAddr, other: SocketAddr) -> bool {
        let Some(node) = self.cluster.process(at) else { return false };
        let view = node.replica.view();
        let chain: Vec<Option<SocketAddr>> =
            view.chain.iter().map(|link| view.endpoint(link.voter)).collect();
        chain.len() == 2 && chain.contains(&Some(at)) && chain.contains(&Some(other))
    }

    /// Two go on without the joiner; then the joiner and one of them are to go on, and that one loses its disk before
    /// it has brought the joiner up to date.
    fn lose(&mut self) -> Result<(), String> {
        let Roles { joiner, wiped, partitioned, is_notified } = self.roles;
        self.pass(STABLE_AFTER);
        self.isolate(joiner);
        self.pass_until(|play| {
            play.is_in_chain_with(wiped, partitioned) && play.is_in_chain_with(partitioned, wiped)
        })?;
        let tells =
            |message: &Message| matches!(message, Message::Acknowledge { .. } | Message::Heartbeat(_));
        self.cluster
            .network()
            .withhold(move |_, to, message| !is_notified && to == partitioned && tells(message));
        let answered = self.clients.answered();
        self.pass_until(|play| play.clients.answered() >= answered + 8)?;

        self.cluster.heal_all();
        self.isolate(partitioned);
        self.cluster.network().withhold(move |_, to, message| {
            let is_transfer = matches!(message, Message::Synchronize { .. } | Message::Learn { .. });
            to == joiner && is_transfer
        });
        self.pass_until(|play| play.is_in_chain_with(joiner, wiped))?;
        self.cluster.stop(wiped);
        self.cluster.wipe(wiped);
        self.pass(WIPED_FOR);
        self.cluster.network().withhold_nothing();
        self.cluster.start(wiped);
        self.cluster.heal_all();
        Ok(())
    }

    /// Writes are acknowledged by all, and all that was acknowledged is there.
    fn serves(&mut self) -> Result<(), String> {
        let Roles { joiner, wiped, partitioned, .. } = self.roles;
        for at in [joiner, wiped, partitioned] {
            if self.clients.write_within(&mut self.cluster, at, ACKNOWLEDGED_WITHIN).is_none() {
                check(&self.clients.history())?;
                return Err(format!("no write is acknowledged at {at}\n{}", self.describe()));
            }
        }
        for number in 0..REGISTERS {
            let register = format!("register-{number}");
            self.clients.begin(&mut self.cluster, joiner, &register, Request::Get);
        }
        let until = self.cluster.now() + 1_000;
        self.clients.run_until(&mut self.cluster, until);
        check(&self.clients.history())
    }

    fn describe(&self) -> String {
        let line = |at: SocketAddr| match self.cluster.process(at) {
            Some(node) => format!("{at}: {}", node.describe(self.cluster.now())),
            None => format!("{at}: down"),
        };
        self.cluster.endpoints().into_iter().map(line).collect::<Vec<_>>().join("\n")
    }
}

fn play<L: ProtocolRules + 'static>(seed: u64, roles: Roles) -> Result<(), String> {
    let network = NetworkTiming { shortest: 1, longest: 10, ..NetworkTiming::default() };
    let cluster = cluster(seed, 3, 1, network);
    let mut play = Play::<L> { cluster, clients: Clients::default(), roles, asks_at: 0 };
    play.lose().and_then(|()| play.serves()).map_err(|fault| format!("seed {seed}, {roles:?}: {fault}"))
}

fn all_plays() -> impl Iterator<Item = (u64, Roles)> {
    (0..SEEDS).flat_map(|seed| all_roles().into_iter().map(move |roles| (seed, roles)))
}

#[test]
fn a_member_of_the_chain_before_leads_where_no_other_has_everything() {
    for (seed, roles) in all_plays() {
        play::<StandardRules>(seed, roles).unwrap_or_else(|fault| panic!("{fault}"));
    }
}

/// Whether one of the plays shows a history that has no order.
fn loses_something<L: ProtocolRules + 'static>() -> bool {
    all_plays()
        .any(|(seed, roles)| play::<L>(seed, roles).is_err_and(|fault| fault.contains("not linearizable")))
}

#[test]
fn an_incomplete_leader_is_detected() {
    assert!(loses_something::<TakesIncompleteLeaders>());
}

#[test]
fn entries_dropped_by_a_member_outside_of_the_chain_are_detected() {
    assert!(loses_something::<DropsEntriesWhenLeftOut>());
}
