//! The only complete member of a chain loses its disk while another member joins, and the third, which was
//! complete before, is partitioned. Only one disk of three is lost, so commands must be accepted again, and
//! no acknowledged command may be lost.

mod common;

use std::net::SocketAddr;

use common::clients::Clients;
use common::faulty::{DropsEntriesWhenLeftOut, TakesIncompleteLeaders};
use common::history::{Request, check};
use common::node::{Node, cluster, endpoint};
use whinspindle_lab_simulated_cluster::{Cluster, NetworkTiming};
use whinspindle_replica::{Message, ProtocolRules, StandardRules};

/// The number of seeds for each assignment of roles.
const SEEDS: u64 = 12;
/// The time by which all bootstrap members are in the chain.
const STABILIZATION_SPAN_MS: u64 = 2_000;
/// The time within which a chain without a partitioned member, or with a reconnected one, is decided.
const DECISION_TIMEOUT_MS: u64 = 6_000;
/// The time after which the lost disk is replaced by an empty one.
const DISK_REPLACEMENT_MS: u64 = 500;
/// The time within which a write is acknowledged after all machines are running and connected.
const ACKNOWLEDGE_TIMEOUT_MS: u64 = 3_000;
/// The time between two commands.
const COMMAND_INTERVAL_MS: u64 = 7;
/// The cost of the linearizability check grows fast with the number of operations on one register.
const REGISTERS: usize = 12;

/// The replica that each fault hits.
#[derive(Clone, Copy, Debug)]
struct Roles {
    /// Is partitioned first and joins later.
    joiner: SocketAddr,
    /// Is in all chains and then loses its disk.
    wiped: SocketAddr,
    /// Is partitioned after the joiner is reconnected.
    partitioned: SocketAddr,
    /// Whether `partitioned` learns the committed sequence before it is partitioned.
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
    next_command_at: u64,
}

impl<L: ProtocolRules + 'static> Play<L> {
    /// Runs the cluster for `span` milliseconds while clients send commands to the replicas in turn.
    fn pass(&mut self, span: u64) {
        let until = self.cluster.now() + span;
        while self.cluster.now() < until {
            let next = self.cluster.now() + 1;
            self.clients.run_until(&mut self.cluster, next);
            if self.cluster.now() >= self.next_command_at {
                self.next_command_at = self.cluster.now() + COMMAND_INTERVAL_MS;
                self.submit_command();
            }
        }
    }

    fn submit_command(&mut self) {
        let number = self.clients.operations.len();
        let register = format!("register-{}", number % REGISTERS);
        let new = format!("v{}", number + 1);
        let request = if number.is_multiple_of(5) { Request::Get } else { Request::Put(new) };
        self.clients.begin(&mut self.cluster, endpoint(number % 3), &register, request);
    }

    fn pass_until(&mut self, holds: impl Fn(&Self) -> bool) -> Result<(), String> {
        let deadline = self.cluster.now() + DECISION_TIMEOUT_MS;
        while !holds(self) {
            if self.cluster.now() >= deadline {
                return Err(format!("not within {DECISION_TIMEOUT_MS} ms\n{}", self.describe()));
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

    /// Whether the chain in the view of a replica consists of that replica and `other`.
    fn is_in_chain_with(&self, at: SocketAddr, other: SocketAddr) -> bool {
        let Some(node) = self.cluster.process(at) else { return false };
        let view = node.replica.view();
        let chain: Vec<Option<SocketAddr>> =
            view.chain.iter().map(|link| view.endpoint(link.voter)).collect();
        chain.len() == 2 && chain.contains(&Some(at)) && chain.contains(&Some(other))
    }

    /// Two members continue without the joiner. Then the joiner forms a chain with one of them, which loses
    /// its disk before it has transferred its records to the joiner.
    fn cause_overlapping_losses(&mut self) -> Result<(), String> {
        let Roles { joiner, wiped, partitioned, is_notified } = self.roles;
        self.pass(STABILIZATION_SPAN_MS);
        self.isolate(joiner);
        self.pass_until(|play| {
            play.is_in_chain_with(wiped, partitioned) && play.is_in_chain_with(partitioned, wiped)
        })?;
        let reports_commits =
            |message: &Message| matches!(message, Message::Acknowledge { .. } | Message::Heartbeat(_));
        self.cluster.network().set_drop_filter(move |_, to, message| {
            !is_notified && to == partitioned && reports_commits(message)
        });
        let answered = self.clients.answered();
        self.pass_until(|play| play.clients.answered() >= answered + 8)?;

        self.cluster.heal_all();
        self.isolate(partitioned);
        self.cluster.network().set_drop_filter(move |_, to, message| {
            let is_transfer = matches!(message, Message::Synchronize { .. } | Message::Learn { .. });
            to == joiner && is_transfer
        });
        self.pass_until(|play| play.is_in_chain_with(joiner, wiped))?;
        self.cluster.stop(wiped);
        self.cluster.wipe(wiped);
        self.pass(DISK_REPLACEMENT_MS);
        self.cluster.network().clear_drop_filter();
        self.cluster.start(wiped);
        self.cluster.heal_all();
        Ok(())
    }

    /// Checks that all replicas acknowledge writes and that no acknowledged command is lost.
    fn check_service(&mut self) -> Result<(), String> {
        let Roles { joiner, wiped, partitioned, .. } = self.roles;
        for at in [joiner, wiped, partitioned] {
            if self.clients.write_within(&mut self.cluster, at, ACKNOWLEDGE_TIMEOUT_MS).is_none() {
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
    let network = NetworkTiming { min_delay_ms: 1, max_delay_ms: 10, ..NetworkTiming::default() };
    let cluster = cluster(seed, 3, 1, network);
    let mut play = Play::<L> { cluster, clients: Clients::default(), roles, next_command_at: 0 };
    play.cause_overlapping_losses()
        .and_then(|()| play.check_service())
        .map_err(|fault| format!("seed {seed}, {roles:?}: {fault}"))
}

fn all_runs() -> impl Iterator<Item = (u64, Roles)> {
    (0..SEEDS).flat_map(|seed| all_roles().into_iter().map(move |roles| (seed, roles)))
}

#[test]
fn a_member_of_the_former_chain_leads_if_no_other_is_complete() {
    for (seed, roles) in all_runs() {
        play::<StandardRules>(seed, roles).unwrap_or_else(|fault| panic!("{fault}"));
    }
}

/// Whether one of the runs leads to a history that is not linearizable.
fn loses_commands<L: ProtocolRules + 'static>() -> bool {
    all_runs()
        .any(|(seed, roles)| play::<L>(seed, roles).is_err_and(|fault| fault.contains("not linearizable")))
}

#[test]
fn an_incomplete_leader_is_detected() {
    assert!(loses_commands::<TakesIncompleteLeaders>());
}

#[test]
fn entries_dropped_by_a_member_outside_of_the_chain_are_detected() {
    assert!(loses_commands::<DropsEntriesWhenLeftOut>());
}
