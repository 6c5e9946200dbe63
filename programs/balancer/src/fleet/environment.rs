//! The I/O of the fleet member: datagrams, the record store, and this process's knowledge of servers and releases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use whinspindle_fleet_policy::{
    DurableState, Environment, Hash, Message, Policy, Record, RestartRefusal, Unit,
};
use whinspindle_peer_transport::PeerTransport;
use whinspindle_rate_limited_log::log_line;
use whinspindle_record_store::RecordStore;
use whinspindle_rollout::{Count, Limits, OF_BALANCERS, ObservationRow, Place, Plan, RestartCheck};

/// Implements the member's [`Environment`].
pub(super) struct ProcessEnvironment {
    /// Member number of this process.
    pub(super) me: u16,
    /// Socket for datagrams.
    pub(super) socket: UdpSocket,
    /// Encoding and authentication of datagrams.
    pub(super) peers: PeerTransport,
    /// Addresses of all members, by member number.
    pub(super) addresses: Vec<SocketAddr>,
    /// The record store on disk.
    pub(super) store: Rc<RecordStore>,
    /// Policies whose texts are to be validated.
    pub(super) unchecked_policies: Vec<(Policy, Rc<[u8]>)>,
    /// Number of datagrams sent.
    pub(super) sent: u64,
    /// Limits of the known policies, by policy number.
    pub(super) limits: Vec<(u64, Limits)>,
    /// The servers listed by this balancer.
    pub(super) listed_servers: Vec<Place>,
    /// Plan of the present release, with the hash of its text.
    pub(super) plan: Option<(Hash, Rc<Plan>)>,
    /// Identifier of this build.
    pub(super) build: String,
    /// Counts since the last report, by server key and stratum.
    pub(super) counts: BTreeMap<(u64, u16), Count>,
    /// Counts of this process since the last report.
    pub(super) own: Count,
    /// Messages received for the exchange of endpoint lists, with their senders.
    pub(super) neighbour_messages: Vec<(u16, Vec<u8>)>,
}

/// Identifies this build in plans: the first twelve digits of the BLAKE3 hash of the executable.
pub(super) fn build_of_this_program() -> String {
    let program = std::env::current_exe().and_then(std::fs::read);
    program.map_or(String::new(), |bytes| blake3::hash(&bytes).to_hex()[..12].to_string())
}

impl Environment for ProcessEnvironment {
    fn send(&mut self, to: u16, message: Message) {
        let Some(address) = self.addresses.get(to as usize) else { return };
        for datagram in self.peers.datagrams(to, &message) {
            self.sent += 1;
            // Datagrams may be lost anyway; the member retries.
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
        self.unchecked_policies.push((policy, text));
    }

    fn may_go(&self, record: &Record, unit: Unit, away: &BTreeSet<u16>) -> Result<(), RestartRefusal> {
        let of = self.limits.iter().rev().find(|(number, _)| *number == record.policy.number);
        let limits = of.map(|(_, limits)| *limits).unwrap_or_default();
        let granted: Vec<Unit> = record.out.iter().map(|out| out.unit).collect();
        let (balancers, servers) = (self.addresses.len(), self.listed_servers.as_slice());
        RestartCheck { limits: &limits, granted: &granted, away, balancers, servers }.may_go(unit)
    }

    fn plan(&self, hash: Hash) -> Option<Rc<Plan>> {
        self.plan.as_ref().filter(|(known, _)| *known == hash).map(|(_, plan)| Rc::clone(plan))
    }

    fn plan_came(&mut self, hash: Hash, text: Rc<[u8]>) {
        let read =
            std::str::from_utf8(&text).ok().map(|text| whinspindle_operator_file::read_plan(text, None));
        match read {
            Some(Ok(plan)) => {
                // Stored, since a release cannot continue without its plan after all members restart.
                if let Err(fault) = self.store.write("plan", &text) {
                    log_line!("store", "{fault}");
                }
                self.plan = Some((hash, Rc::new(plan)));
                (self.counts, self.own) = (BTreeMap::new(), Count::default());
            }
            _ => log_line!("fleet", "the plan {hash} of the release can't be read here"),
        }
    }

    fn opaque_message(&mut self, from: u16, bytes: Vec<u8>) {
        self.neighbour_messages.push((from, bytes));
    }

    fn is_full(&self, key: u64) -> bool {
        self.listed_servers.iter().any(|place| place.key == key && place.full)
    }

    fn build(&self) -> String {
        self.build.clone()
    }

    fn observations(&mut self, record: &Record) -> Vec<ObservationRow> {
        let counts = std::mem::take(&mut self.counts);
        let own = std::mem::take(&mut self.own);
        let Some(release) = &record.release else { return Vec::new() };
        let Some(plan) = self.plan(release.hash) else { return Vec::new() };
        let is_changed = |unit: Unit| plan.place_of(unit).is_some_and(|place| release.changed.has(place));
        // Counts of a server that is taken out or in its slow start say nothing about its build.
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
        // Not rate-limited, since steps of the fleet and changes of the right are rare.
        whinspindle_rate_limited_log::write_line(format_args!(
            "whinspindle fleet: member {}: {words}",
            self.me
        ));
    }
}
