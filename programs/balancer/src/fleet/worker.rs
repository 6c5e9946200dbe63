//! The fleet's thread: receives datagrams and control requests, drives the state machine of the member, and
//! publishes the policy that requests are decided by.

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::{Arc, Mutex};

use whinspindle_deployment_settings::Deployment;
use whinspindle_endpoint_cache::{Ages, Neighbours};
use whinspindle_fleet_policy::{
    DurableState, Environment, Member, MemberSettings, Message, Objection, Right, Unit,
};
use whinspindle_operator_file::{FleetTerms, Operator};
use whinspindle_peer_transport::PeerTransport;
use whinspindle_rate_limited_log::log_line;
use whinspindle_record_store::RecordStore;
use whinspindle_rollout::Count;

use super::environment::ProcessEnvironment;
use super::published::{FleetClock, Published, lock};
use crate::control::{Answer, Request};

/// Datagrams received in one turn of the loop at most.
const MAX_DATAGRAMS_PER_TURN: usize = 256;
/// Number of policy texts kept on disk.
const STORED_POLICIES: u64 = 4;
/// Maximum length of an objection's text in bytes.
const MAX_OBJECTION_LENGTH: usize = 120;

/// Ages in microseconds up to which a list is trusted if `[keep]` is not configured.
const DEFAULT_AGES: Ages = Ages { fresh: 10_000_000, old: 3_600_000_000 };

/// State of the thread.
pub(super) struct Worker {
    /// The state machine of the member.
    pub(super) member: Member<ProcessEnvironment>,
    /// Settings of the deployment.
    pub(super) deployment: Deployment,
    /// Clock of the fleet.
    pub(super) clock: FleetClock,
    /// State shared with requests.
    published: Arc<Mutex<Published>>,
    /// The validated policies, by number.
    operators: Vec<(u64, Arc<Operator>)>,
    /// The process's own file, whose rules apply while no policy is known.
    own: Arc<Operator>,
    /// Number of datagrams received.
    pub(super) received: u64,
    /// Exchange of endpoint lists with other balancers for processes that restart; none if disabled.
    neighbours: Option<Neighbours>,
}

impl Worker {
    /// Restores the member from the store, or starts a new one.
    #[expect(clippy::too_many_arguments, reason = "each is a part of the process that is handed over once")]
    pub(super) fn new(
        terms: FleetTerms,
        socket: UdpSocket,
        addresses: Vec<SocketAddr>,
        store: RecordStore,
        deployment: Deployment,
        clock: FleetClock,
        published: Arc<Mutex<Published>>,
        own: Arc<Operator>,
        build: String,
    ) -> Worker {
        let FleetTerms { me, members, ref name, ref secret, datagram, .. } = terms;
        let peers = PeerTransport::new(me, members, name, secret, rand::random(), datagram);
        let store = Rc::new(store);
        let memory = store.read("votes").and_then(|bytes| postcard::from_bytes::<DurableState>(&bytes).ok());
        let texts = (0..STORED_POLICIES).filter_map(|number| store.read(&format!("text-{number}")));
        let texts = texts.chain(store.read("plan"));
        let texts: Vec<Vec<u8>> = texts.collect();
        match &memory {
            Some(memory) => {
                log_line!("fleet", "member {me}: remembers policy {}", memory.record.policy.number)
            }
            None => log_line!("fleet", "member {me}: remembers nothing"),
        }
        let environment = ProcessEnvironment {
            me,
            socket,
            peers,
            addresses,
            store,
            unchecked_policies: Vec::new(),
            sent: 0,
            limits: Vec::new(),
            listed_servers: Vec::new(),
            plan: None,
            build,
            counts: BTreeMap::new(),
            own: Count::default(),
            neighbour_messages: Vec::new(),
        };
        let asks = terms.neighbours;
        let ages = own.keep.as_ref().map_or(DEFAULT_AGES, |keep| Ages { fresh: keep.fresh, old: keep.old });
        let terms = MemberSettings {
            me,
            members,
            voters: terms.voters,
            right: terms.right,
            drift: terms.drift,
            pace: terms.pace,
            absent: terms.absent,
            give_up: terms.give_up,
            learn: terms.learn,
        };
        // A incarnation of 0 would pass for none.
        let start = rand::random::<u64>() | 1;
        let mut member = Member::new(environment, terms, memory, start, clock.now());
        texts.iter().for_each(|text| member.hold(text));
        let neighbours = asks.then(|| Neighbours::new(me, members, ages, start, clock.now()));
        Worker { member, deployment, clock, published, operators: Vec::new(), own, received: 0, neighbours }
    }

    /// Runs until the process ends.
    pub(super) fn run(&mut self, requests: &Receiver<(Request, SyncSender<Answer>)>) {
        let mut buffer = [0; 2048];
        let mut next_tick = 0;
        // Validates the restored policy first, so that early requests are not answered as if there were no limits.
        self.prove();
        loop {
            for _ in 0..MAX_DATAGRAMS_PER_TURN {
                match self.member.environment.socket.recv_from(&mut buffer) {
                    Ok((length, from)) => self.take(&buffer[..length], from),
                    // Linux reports a peer that is down on the next receive; there is no datagram to read.
                    Err(fault) if fault.kind() == ErrorKind::ConnectionRefused => {}
                    Err(_) => break,
                }
                if self.clock.now() >= next_tick {
                    break;
                }
            }
            while let Ok((request, answer)) = requests.try_recv() {
                let _ = answer.try_send(self.serve(request));
            }
            let now = self.clock.now();
            if now >= next_tick {
                self.member.tick(now);
                self.ask_neighbours(now);
                next_tick = now + (self.member.settings().pace / 8).min(100_000);
            }
            self.prove();
            self.receive_from_neighbours();
            self.publish();
        }
    }

    /// Exchanges endpoint lists with other balancers.
    fn ask_neighbours(&mut self, now: u64) {
        let Some(neighbours) = &mut self.neighbours else { return };
        let discovered = lock(&self.published).discovered_list.take();
        if let Some((servers, silent)) = discovered {
            neighbours.told(now.saturating_sub(silent), &servers);
        }
        let unix = crate::clock::Clock::start().now();
        if let Some((update, trust)) = neighbours.take(now, unix) {
            log_line!("fleet", "neighbours tell {} servers, {trust}", update.servers.len());
            lock(&self.published).neighbour_list = Some((update, trust));
        }
        for (to, word) in neighbours.tick(now) {
            self.member.environment.send(to, Message::Aside { bytes: word.to_bytes() });
        }
    }

    /// Answers messages about endpoint lists.
    fn receive_from_neighbours(&mut self) {
        let neighbour_messages = std::mem::take(&mut self.member.environment.neighbour_messages);
        let Some(neighbours) = &mut self.neighbours else { return };
        let now = self.clock.now();
        for (from, bytes) in neighbour_messages {
            for word in neighbours.receive(now, from, &bytes) {
                self.member.environment.send(from, Message::Aside { bytes: word.to_bytes() });
            }
        }
    }

    /// Verifies a datagram and passes its message to the member.
    fn take(&mut self, datagram: &[u8], from: SocketAddr) {
        let now = self.clock.now();
        self.received += 1;
        let environment = &mut self.member.environment;
        let said = PeerTransport::sender(datagram);
        let known = said.filter(|said| environment.addresses.get(*said as usize) == Some(&from));
        let before = environment.peers.dropped;
        match environment.peers.take::<Message>(now / 1_000_000, known, datagram) {
            Some((from, message)) => self.member.received(now, from, message),
            None if environment.peers.dropped != before => {
                log_line!("peers", "a datagram from {from} is passed over: {:?}", environment.peers.dropped);
            }
            None => {}
        }
    }

    /// Validates policies that have arrived, and stores their texts.
    fn prove(&mut self) {
        for (policy, text) in std::mem::take(&mut self.member.environment.unchecked_policies) {
            let verdict = self.check_policy(&text);
            if let Err(fault) = self
                .member
                .environment
                .store
                .write(&format!("text-{}", policy.number % STORED_POLICIES), &text)
            {
                log_line!("store", "{fault}");
            }
            let verdict = verdict.map(|operator| {
                self.member.environment.limits.push((policy.number, operator.limits));
                let over = self.member.environment.limits.len().saturating_sub(STORED_POLICIES as usize);
                self.member.environment.limits.drain(..over);
                self.operators.push((policy.number, Arc::new(operator)));
                let over = self.operators.len().saturating_sub(STORED_POLICIES as usize);
                self.operators.drain(..over);
            });
            self.member.proved(self.clock.now(), policy.number, verdict);
        }
    }

    /// Validates the text of a policy against this process's settings.
    fn check_policy(&self, text: &[u8]) -> Result<Operator, Objection> {
        let Ok(text) = std::str::from_utf8(text) else {
            return Err(Objection { line: 0, words: "is not UTF-8 text".to_string() });
        };
        whinspindle_operator_file::read_policy(text, &self.deployment).map_err(|faults| {
            let first = faults.first();
            let words = first.map_or(String::new(), |fault| {
                format!("{}: {} ({} faults)", fault.field, fault.message, faults.len())
            });
            Objection { line: first.map_or(0, |fault| fault.line as u32), words: truncated(words) }
        })
    }

    /// Publishes the state of the member and takes the counts of the requests.
    fn publish(&mut self) {
        let (right, until) = self.member.right_until(self.clock.now());
        let of = |number: u64| match number {
            0 => Some(Arc::new(Operator::none())),
            _ => {
                self.operators.iter().find(|(known, _)| *known == number).map(|(_, known)| Arc::clone(known))
            }
        };
        let mut published = lock(&self.published);
        if let Right::Policy(number) = right
            && published.policy.as_ref().is_none_or(|(known, _)| *known != number)
            && let Some(operator) = of(number)
        {
            // Policy 0 has no rules for isolation, so the process's own file applies.
            published.cut_off = Arc::clone(if number == 0 { &self.own } else { &operator });
            published.policy = Some((number, operator));
        }
        (published.right, published.until) = (right, until);
        let servers = self.member.record().out.iter().filter_map(|out| match out.unit {
            Unit::Server(key) => Some(key),
            Unit::Balancer(_) => None,
        });
        let servers: BTreeSet<u64> = servers.collect();
        if servers != published.taken_out_servers.1 {
            published.taken_out_servers = (published.taken_out_servers.0 + 1, servers);
        }
        published.is_taken_out = self.member.is_taken_out();
        let watches = self.member.watched().is_some();
        let environment = &mut self.member.environment;
        environment.listed_servers.clone_from(&published.listed_servers);
        let (counts, own) = (std::mem::take(&mut published.counts), std::mem::take(&mut published.own));
        if watches {
            counts.into_iter().for_each(|(of, count)| environment.counts.entry(of).or_default().add(count));
            environment.own.add(own);
        } else {
            environment.counts.clear();
        }
    }
}

/// Truncates a text to the maximum length of an objection.
pub(super) fn truncated(mut words: String) -> String {
    while words.len() > MAX_OBJECTION_LENGTH {
        words.pop();
    }
    words
}
