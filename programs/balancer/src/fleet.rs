//! Membership of a fleet: one thread owns the datagram socket, the record store and the state machine of the member.
//! Requests only read the state which that thread has published, so that no request waits for the network or a disk.

mod environment;
mod published;
mod requests;
mod start_error;
mod status;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Sender, SyncSender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use whinspindle_endpoint_cache::Trust;
use whinspindle_fleet_policy::LeaseState;
use whinspindle_operator_file::{FleetSettings, OperatorConfig, PartitionPolicy};
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};
use whinspindle_record_store::RecordStore;
use whinspindle_rollout::{OutcomeCounts, ServerStatus};

use crate::configuration::Configuration;
use crate::control::{Answer, Request};
use environment::build_of_this_program;
use published::{FleetClock, Published, lock};
pub use start_error::FleetStartError;
use worker::Worker;

/// Longest wait for a datagram, after which the thread runs its timers.
const WAKE: Duration = Duration::from_millis(20);

/// Added to a policy number while the process is isolated from its fleet, so that the rules for that case have
/// numbers apart from those of policies.
const ISOLATED_POLICY_BASE: u64 = 1 << 63;

/// The policy that requests are decided by now.
pub enum ActivePolicy {
    /// The operator file to apply, with a number that differs for each file: one already applied need not be applied
    /// again.
    Policy(u64, Arc<OperatorConfig>),
    /// The process may not know the policy in force, and its last policy says to reject requests then.
    Unknown,
}

/// Sends a request to the thread of the fleet, with the channel for its answer.
pub type RequestSender = Sender<(Request, SyncSender<Answer>)>;

/// Handle to the fleet member for the rest of the process.
pub struct Fleet {
    clock: FleetClock,
    published: Arc<Mutex<Published>>,
}

impl Fleet {
    /// The policy in force; called for each request. The right to a policy is compared with the present time here,
    /// since a process that was suspended may wake up after its right has expired.
    pub fn active_policy(&self) -> ActivePolicy {
        let published = lock(&self.published);
        if let (Some((number, operator)), LeaseState::Policy(right)) = (&published.policy, published.right)
            && *number == right
            && self.clock.now() < published.until
        {
            return ActivePolicy::Policy(*number, Arc::clone(operator));
        }
        match published.cut_off.partition_policy {
            PartitionPolicy::Reject => ActivePolicy::Unknown,
            PartitionPolicy::Routes(_) => {
                let number = published.policy.as_ref().map_or(0, |(number, _)| *number);
                ActivePolicy::Policy(ISOLATED_POLICY_BASE + number, Arc::clone(&published.cut_off))
            }
        }
    }

    /// The servers taken out by the fleet with the version of that set, if the version differs from `known`.
    pub fn taken_out_servers(&self, known: u64) -> Option<(u64, BTreeSet<u64>)> {
        let published = lock(&self.published);
        (published.taken_out_servers.0 != known).then(|| published.taken_out_servers.clone())
    }

    /// Whether the fleet has taken this balancer out, so that it must refuse new clients.
    pub fn is_taken_out(&self) -> bool {
        lock(&self.published).is_taken_out
    }

    /// Reports the servers listed here, which decide whether a unit may be taken out, and what was counted since the
    /// last report: for each server key and stratum, and for the process itself.
    pub fn report_servers(
        &self,
        places: Vec<ServerStatus>,
        counts: Vec<(u64, u16, OutcomeCounts)>,
        own: OutcomeCounts,
    ) {
        let mut published = lock(&self.published);
        published.listed_servers = places;
        published.own.add(own);
        for (key, stratum, count) in counts {
            published.counts.entry((key, stratum)).or_default().add(count);
        }
    }

    /// Whether the process has learned the policy in force, or has given up learning it.
    pub fn has_decided(&self) -> bool {
        let published = lock(&self.published);
        published.right != LeaseState::Learning || self.clock.now() >= published.until
    }

    /// Whether the process holds an unexpired right to decide by a policy.
    pub fn has_policy_right(&self) -> bool {
        let published = lock(&self.published);
        matches!(published.right, LeaseState::Policy(_)) && self.clock.now() < published.until
    }

    /// Reports the endpoint list from discovery, and for how many microseconds discovery has been silent since.
    pub fn report_endpoints(&self, servers: Vec<ListedServer>, silent: u64) {
        lock(&self.published).discovered_list = Some((servers, silent));
    }

    /// Takes the endpoint list that other balancers have sent, if there is a new one.
    pub fn neighbour_list(&self) -> Option<(EndpointUpdate, Trust)> {
        lock(&self.published).neighbour_list.take()
    }

    /// Starts the thread of the fleet member, and the one that listens on the control socket.
    pub fn start(configuration: &Configuration, operator: OperatorConfig) -> Result<Fleet, FleetStartError> {
        let Some(terms) = operator.fleet.clone() else { return Err(FleetStartError::NoTable) };
        let (listen, peers) = addresses(configuration, &terms)?;
        let store = RecordStore::open(&terms.store).map_err(FleetStartError::Store)?;
        let socket_fault = |fault| FleetStartError::Socket { address: listen, fault };
        let socket = UdpSocket::bind(listen).map_err(socket_fault)?;
        socket.set_read_timeout(Some(WAKE)).map_err(socket_fault)?;
        let (requests, received_requests) = channel();
        crate::control::listen(&terms.socket, requests).map_err(FleetStartError::Control)?;
        let clock = FleetClock(Instant::now());
        let cut_off = Arc::new(operator);
        let published = Arc::new(Mutex::new(Published {
            right: LeaseState::Learning,
            until: terms.startup_timeout_us,
            policy: None,
            cut_off: Arc::clone(&cut_off),
            taken_out_servers: (0, BTreeSet::new()),
            is_taken_out: false,
            discovered_list: None,
            neighbour_list: None,
            listed_servers: Vec::new(),
            counts: BTreeMap::new(),
            own: OutcomeCounts::default(),
        }));
        let deployment = configuration.deployment.clone();
        let build = build_of_this_program();
        let told = Arc::clone(&published);
        let run = move || {
            // Made in the thread: what the core holds never leaves it.
            let mut worker =
                Worker::new(terms, socket, peers, store, deployment, clock, told, cut_off, build);
            worker.run(&received_requests);
        };
        let spawned = thread::Builder::new().name("fleet".to_string()).spawn(run);
        spawned.map_err(FleetStartError::Thread)?;
        Ok(Fleet { clock, published })
    }
}

fn addresses(
    configuration: &Configuration,
    terms: &FleetSettings,
) -> Result<(SocketAddr, Vec<SocketAddr>), FleetStartError> {
    let peers = configuration.peers.clone();
    let Some(listen) = configuration.peer_listen else {
        return Err(FleetStartError::NoAddress);
    };
    if peers.len() != terms.member_count as usize {
        return Err(FleetStartError::PeerCount { addresses: peers.len(), members: terms.member_count });
    }
    Ok((listen, peers))
}
