//! The process as a member of its fleet: a thread of its own with the socket for datagrams, the store and the
//! member's core. Queries only look at what it has published last, so that none waits for the network or the
//! disk.

mod environment;
mod published;
mod requests;
mod status;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Sender, SyncSender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use whinspindle_endpoint_cache::Trust;
use whinspindle_fleet_policy::Right;
use whinspindle_operator_file::{CutOff, FleetTerms, Operator};
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};
use whinspindle_record_store::RecordStore;
use whinspindle_rollout::{Count, Place};

use crate::control::{Answer, Request};
use crate::placement::Placement;
use environment::build_of_this_program;
use published::{FleetClock, Published, held};
use worker::Worker;

/// The thread looks after its clock at least so often.
const WAKE: Duration = Duration::from_millis(20);

/// Numbers of terms for being cut off lie apart from those of policies.
const CUT_OFF: u64 = 1 << 63;

/// By what queries are decided now.
pub enum By {
    /// The operator's file to go by, and a number that is another one for each: what was taken over need not
    /// be taken over again.
    Terms(u64, Arc<Operator>),
    /// The process may not know what holds, and the policy says that it rejects then.
    Nothing,
}

/// So that senders of requests need not know of channels.
pub type Asks = Sender<(Request, SyncSender<Answer>)>;

/// The fleet as the rest of the process sees it.
pub struct Fleet {
    clock: FleetClock,
    published: Arc<Mutex<Published>>,
}

impl Fleet {
    /// Asked for each query. Guards against a process that was stopped: its right is held against the clock
    /// of now.
    pub fn by(&self) -> By {
        let published = held(&self.published);
        if let (Some((number, operator)), Right::Policy(right)) = (&published.policy, published.right)
            && *number == right
            && self.clock.now() < published.until
        {
            return By::Terms(*number, Arc::clone(operator));
        }
        match published.cut_off.cut_off {
            CutOff::Rejects => By::Nothing,
            CutOff::Routes(_) => {
                let number = published.policy.as_ref().map_or(0, |(number, _)| *number);
                By::Terms(CUT_OFF + number, Arc::clone(&published.cut_off))
            }
        }
    }

    /// The servers that are let out, if they are others than at `known`, and the number of what is told.
    pub fn let_out(&self, known: u64) -> Option<(u64, BTreeSet<u64>)> {
        let published = held(&self.published);
        (published.let_out.0 != known).then(|| published.let_out.clone())
    }

    /// Whether this balancer is let out, and has to take itself out.
    pub fn is_taken_out(&self) -> bool {
        held(&self.published).is_taken_out
    }

    /// The servers as they are listed here, for the decision on who may be let out; what was counted of each
    /// since the last time, with its stratum, and of the process itself.
    pub fn tell(&self, places: Vec<Place>, counts: Vec<(u64, u16, Count)>, own: Count) {
        let mut published = held(&self.published);
        published.places = places;
        published.own.add(own);
        for (key, stratum, count) in counts {
            published.counts.entry((key, stratum)).or_default().add(count);
        }
    }

    /// Whether the process has learned what holds, or has given up learning it.
    pub fn is_settled(&self) -> bool {
        let published = held(&self.published);
        published.right != Right::Learning || self.clock.now() >= published.until
    }

    /// Whether it holds a right to a policy now, be it to none.
    pub fn decides_by_a_policy(&self) -> bool {
        let published = held(&self.published);
        matches!(published.right, Right::Policy(_)) && self.clock.now() < published.until
    }

    /// The list as discovery has told it here, and for how many microseconds it has been silent since.
    pub fn tell_list(&self, servers: Vec<ListedServer>, silent: u64) {
        held(&self.published).told_list = Some((servers, silent));
    }

    /// A list that neighbours have given, each once.
    pub fn given_list(&self) -> Option<(EndpointUpdate, Trust)> {
        held(&self.published).given_list.take()
    }

    /// Starts the thread, and the one that listens on the control socket.
    pub fn start(placement: &Placement, operator: Operator) -> Result<Fleet, String> {
        let Some(terms) = operator.fleet.clone() else { return Err("fleet: no table".to_string()) };
        let (listen, peers) = addresses(placement, &terms)?;
        let store = RecordStore::open(&terms.store).map_err(|fault| format!("fleet.store: {fault}"))?;
        let socket = UdpSocket::bind(listen).map_err(|fault| format!("peer_listen: {listen}: {fault}"))?;
        socket.set_read_timeout(Some(WAKE)).map_err(|fault| format!("peer_listen: {listen}: {fault}"))?;
        let (asks, asked) = channel();
        crate::control::listen(&terms.socket, asks)?;
        let clock = FleetClock(Instant::now());
        let cut_off = Arc::new(operator);
        let published = Arc::new(Mutex::new(Published {
            right: Right::Learning,
            until: terms.learn,
            policy: None,
            cut_off: Arc::clone(&cut_off),
            let_out: (0, BTreeSet::new()),
            is_taken_out: false,
            told_list: None,
            given_list: None,
            places: Vec::new(),
            counts: BTreeMap::new(),
            own: Count::default(),
        }));
        let deployment = placement.deployment.clone();
        let build = build_of_this_program();
        let told = Arc::clone(&published);
        let run = move || {
            // Made in the thread: what the core holds never leaves it.
            let mut worker =
                Worker::new(terms, socket, peers, store, deployment, clock, told, cut_off, build);
            worker.run(&asked);
        };
        let spawned = thread::Builder::new().name("fleet".to_string()).spawn(run);
        spawned.map_err(|fault| format!("fleet: {fault}"))?;
        Ok(Fleet { clock, published })
    }
}

fn addresses(placement: &Placement, terms: &FleetTerms) -> Result<(SocketAddr, Vec<SocketAddr>), String> {
    let peers = placement.peers.clone();
    let Some(listen) = placement.peer_listen else {
        return Err("peer_listen: missing, or not an address and port; a fleet needs it".to_string());
    };
    if peers.len() != terms.members as usize {
        return Err(format!("peers: {} addresses, settings.balancers says {}", peers.len(), terms.members));
    }
    Ok((listen, peers))
}
