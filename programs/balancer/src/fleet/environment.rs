//! What the member acts through: the socket for datagrams, the store, and what this process knows of its
//! units.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use whinspindle_fleet_policy::{DurableState, Environment, Hash, Message, No, Policy, Record, Unit};
use whinspindle_peer_transport::PeerTransport;
use whinspindle_rate_limited_log::log_line;
use whinspindle_record_store::RecordStore;
use whinspindle_rollout::{Count, Limits, OF_BALANCERS, Place, Plan, Row, Scene};

/// The environment of the member's core.
pub(super) struct ProcessEnvironment {
    pub(super) me: u16,
    pub(super) socket: UdpSocket,
    pub(super) peers: PeerTransport,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) store: Rc<RecordStore>,
    pub(super) to_prove: Vec<(Policy, Rc<[u8]>)>,
    pub(super) sent: u64,
    /// The limits of each policy that is known, by its number, and the servers as they were told last.
    pub(super) limits: Vec<(u64, Limits)>,
    pub(super) places: Vec<Place>,
    /// The plan of the release under way, and what was counted since figures were told last.
    pub(super) plan: Option<(Hash, Rc<Plan>)>,
    pub(super) build: String,
    pub(super) counts: BTreeMap<(u64, u16), Count>,
    pub(super) own: Count,
    /// Words for the list's part of the process.
    pub(super) asides: Vec<(u16, Vec<u8>)>,
}

/// By what plans know a build: the first twelve digits of the BLAKE3 hash of the program's file.
pub(super) fn build_of_this_program() -> String {
    let program = std::env::current_exe().and_then(std::fs::read);
    program.map_or(String::new(), |bytes| blake3::hash(&bytes).to_hex()[..12].to_string())
}

impl Environment for ProcessEnvironment {
    fn send(&mut self, to: u16, message: Message) {
        let Some(address) = self.addresses.get(to as usize) else { return };
        for datagram in self.peers.datagrams(to, &message) {
            self.sent += 1;
            // What can't be sent is lost like any datagram.
            let _ = self.socket.send_to(&datagram, address);
        }
    }

    fn keep(&mut self, memory: &DurableState) -> bool {
        let written = postcard::to_stdvec(memory).map_err(|fault| fault.to_string());
        let written = written.and_then(|bytes| self.store.write("votes", &bytes).map_err(|f| f.to_string()));
        if let Err(fault) = &written {
            log_line!("store", "{fault}");
        }
        written.is_ok()
    }

    fn prove(&mut self, policy: Policy, text: Rc<[u8]>) {
        self.to_prove.push((policy, text));
    }

    fn may_go(&self, record: &Record, unit: Unit, away: &BTreeSet<u16>) -> Result<(), No> {
        let of = self.limits.iter().rev().find(|(number, _)| *number == record.policy.number);
        let limits = of.map(|(_, limits)| *limits).unwrap_or_default();
        let granted: Vec<Unit> = record.out.iter().map(|out| out.unit).collect();
        let (balancers, servers) = (self.addresses.len(), self.places.as_slice());
        Scene { limits: &limits, granted: &granted, away, balancers, servers }.may_go(unit)
    }

    fn plan(&self, hash: Hash) -> Option<Rc<Plan>> {
        self.plan.as_ref().filter(|(known, _)| *known == hash).map(|(_, plan)| Rc::clone(plan))
    }

    fn plan_came(&mut self, hash: Hash, text: Rc<[u8]>) {
        let read =
            std::str::from_utf8(&text).ok().map(|text| whinspindle_operator_file::read_plan(text, None));
        match read {
            Some(Ok(plan)) => {
                // It has to outlive a restart of all: nothing can go on without it.
                if let Err(fault) = self.store.write("plan", &text) {
                    log_line!("store", "{fault}");
                }
                self.plan = Some((hash, Rc::new(plan)));
                (self.counts, self.own) = (BTreeMap::new(), Count::default());
            }
            _ => log_line!("fleet", "the plan {hash} of the release can't be read here"),
        }
    }

    fn aside(&mut self, from: u16, bytes: Vec<u8>) {
        self.asides.push((from, bytes));
    }

    fn is_full(&self, key: u64) -> bool {
        self.places.iter().any(|place| place.key == key && place.full)
    }

    fn build(&self) -> String {
        self.build.clone()
    }

    fn figures(&mut self, record: &Record) -> Vec<Row> {
        let counts = std::mem::take(&mut self.counts);
        let own = std::mem::take(&mut self.own);
        let Some(release) = &record.release else { return Vec::new() };
        let Some(plan) = self.plan(release.hash) else { return Vec::new() };
        let is_changed = |unit: Unit| plan.place_of(unit).is_some_and(|place| release.changed.has(place));
        // What a server does while it is out, or cold, says nothing of its build.
        let servers = counts
            .into_iter()
            .filter(|((key, _), _)| record.out_as(Unit::Server(*key)).is_none() && self.is_full(*key));
        let me = Unit::Balancer(self.me);
        let has_balancers = plan.units.iter().any(|unit| matches!(unit, Unit::Balancer(_)));
        let own =
            (has_balancers && record.out_as(me).is_none()).then_some((OF_BALANCERS, is_changed(me), own));
        let servers = servers.map(|((key, stratum), count)| (stratum, is_changed(Unit::Server(key)), count));
        whinspindle_rollout::rows(servers.chain(own))
    }

    fn tell(&mut self, words: String) {
        // Each is a step of the fleet or a change of the right, which are few: none is kept back.
        whinspindle_rate_limited_log::write(format_args!("whinspindle fleet: member {}: {words}", self.me));
    }
}
