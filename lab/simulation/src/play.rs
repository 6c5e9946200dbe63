//! The run itself: what happens at each moment, and what follows from it. `Fleet` holds the state; each module
//! below has one part of what happens to it.

mod balancers;
mod clients;
mod discovery;
mod event;
mod executions;
mod lifecycle;
mod probes;
mod servers;
mod state;

use slotmap::SlotMap;
use whinspindle::host::EndpointState;
use whinspindle_lab_invariants::InvariantChecker;
use whinspindle_lab_model::arrivals::{Arrival, Arrivals};
use whinspindle_lab_model::links::Links;
use whinspindle_lab_model::machine::{Machine, MachineEvent};
use whinspindle_lab_model::random::{Concern, RandomGenerator};
use whinspindle_lab_model::registry::Registry;
use whinspindle_lab_report::{Run, Tally};
use whinspindle_lab_scenario::Scenario;
use xxhash_rust::xxh3::Xxh3;

use crate::decider::Policy;
use crate::queue::Queue;
use crate::release::Supervised;
use crate::rules;
pub(crate) use discovery::{DISCOVERY_NOTICES, listing};
pub(crate) use event::{Event, Step};
pub(crate) use state::Host;
use state::{Exec, ExecKey, Node, Query, QueryKey, TierState, Want, WantKey, load};

/// Where the clock stands at the start: 0 as a start of a server means long ago.
pub const BEGUN: u64 = 1_000_000_000;

/// How far a run is.
pub struct Progress {
    pub part: f64,
    pub events: u64,
    pub queries: u64,
}

/// A whole fleet in virtual time.
pub struct Fleet<'s> {
    pub(crate) scenario: &'s Scenario,
    policy: Policy,
    pub(crate) now: u64,
    pub(crate) queue: Queue<Event>,
    pub(crate) tiers: Vec<TierState>,
    pub(crate) nodes: Vec<Node>,
    /// Balancers of the first tier by zone.
    fronts: Vec<Vec<usize>>,
    arrivals: Vec<Arrivals>,
    next: Vec<Option<Arrival>>,
    wants: SlotMap<WantKey, Want>,
    queries: SlotMap<QueryKey, Query>,
    execs: SlotMap<ExecKey, Exec>,
    queries_made: u64,
    pub(crate) links: Links,
    pub(crate) clients: RandomGenerator,
    pub(crate) discovery: RandomGenerator,
    pub(crate) checker: InvariantChecker,
    pub(crate) tally: Tally,
    pub(crate) supervised: Option<Supervised>,
    digest: Xxh3,
    did: Vec<MachineEvent>,
}

impl<'s> Fleet<'s> {
    pub fn new(scenario: &'s Scenario, policy: Policy) -> Self {
        let seed = scenario.seed;
        let mut fleet = Fleet {
            scenario,
            policy,
            now: BEGUN,
            queue: Queue::new(),
            tiers: Vec::new(),
            nodes: Vec::new(),
            fronts: vec![Vec::new(); scenario.zones.len()],
            arrivals: (0..scenario.loads.len()).map(|stream| Arrivals::new(scenario, stream)).collect(),
            next: vec![None; scenario.loads.len()],
            wants: SlotMap::with_key(),
            queries: SlotMap::with_key(),
            execs: SlotMap::with_key(),
            queries_made: 0,
            links: Links::new(&scenario.network, seed),
            clients: RandomGenerator::new(seed, Concern::Clients),
            discovery: RandomGenerator::new(seed, Concern::Discovery),
            checker: InvariantChecker::new(rules::invariant_rules(scenario)),
            tally: Tally::new(scenario, BEGUN),
            supervised: None,
            digest: Xxh3::new(),
            did: Vec::new(),
        };
        for tier in 0..scenario.tiers.len() {
            let mut state =
                TierState { registry: Registry::default(), hosts: Vec::new(), place_of: Vec::new() };
            let cells = scenario.cells(tier);
            for (place, (kind, zone)) in scenario.servers(tier).into_iter().enumerate() {
                let random = RandomGenerator::new(seed, Concern::Machine(place + tier * 100_000));
                let machine = Machine::new(&scenario.kinds[kind], &scenario.tiers[tier], random, 0);
                state.hosts.push(Host::new(machine, zone, kind, cells[place], place));
                state.place_of.push(place);
                let listing = listing(scenario, &state.hosts[place], place, EndpointState::Ready, 0);
                state.registry.set(BEGUN, listing);
            }
            fleet.tiers.push(state);
        }
        for n in 0..scenario.tiers[0].balancers {
            let zone = n % scenario.zones.len();
            fleet.fronts[zone].push(fleet.nodes.len());
            fleet.add_node(0, zone);
        }
        for tier in 1..scenario.tiers.len() {
            for place in 0..fleet.tiers[tier - 1].hosts.len() {
                fleet.add_node_of(tier - 1, place);
            }
        }
        fleet
    }

    /// Plays the scenario to its end; `watch` is told how far it is about once in a hundredth of the time.
    pub fn run(mut self, watch: &mut dyn FnMut(Progress)) -> Run {
        let begun = std::time::Instant::now();
        for stream in 0..self.arrivals.len() {
            self.look_ahead(stream);
        }
        for (number, trouble) in self.scenario.troubles.iter().enumerate() {
            self.queue.put(BEGUN + trouble.at, Event::Begins(number));
        }
        self.queue.put(BEGUN + self.tally.step(), Event::Sample);
        // What is open at the end still gets its answer, and what is owed comes due.
        let longest = self.scenario.products.iter().map(|p| p.statement_timeout).max().unwrap_or(0);
        let end = BEGUN + self.scenario.lasts + longest + 2_000_000;
        let mut told = 0;
        while let Some((at, event)) = self.queue.take() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(event);
            let part = (at - BEGUN) as f64 / (end - BEGUN) as f64;
            if (part * 100.0) as u64 > told {
                told = (part * 100.0) as u64;
                watch(Progress { part, events: self.queue.count(), queries: self.queries_made });
            }
        }
        self.finish(end, begun.elapsed().as_secs_f64())
    }

    fn finish(self, end: u64, wall_s: f64) -> Run {
        let events = self.queue.count();
        let notes = self.release_notes();
        let mut run = self.tally.finish(self.scenario, |_, _| 0.0);
        run.decided_by = self.policy.name().to_string();
        run.simulated = true;
        run.notes = notes;
        run.digest = format!("{:016x}", self.digest.digest());
        run.cost.events = events;
        run.cost.wall_s = wall_s;
        run.cost.events_a_second = events as f64 / wall_s.max(1e-9);
        run.verdict = self.checker.finish(end);
        // For people the run begins at 0.
        run.verdict.breaks.iter_mut().for_each(|broken| broken.at = broken.at.saturating_sub(BEGUN));
        run
    }

    /// Everything that is seen from outside goes into the digest.
    fn note(&mut self, what: u8, of: u64, with: u64) {
        let mut bytes = [0u8; 25];
        bytes[0] = what;
        bytes[1..9].copy_from_slice(&self.now.to_le_bytes());
        bytes[9..17].copy_from_slice(&of.to_le_bytes());
        bytes[17..25].copy_from_slice(&with.to_le_bytes());
        self.digest.update(&bytes);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Due(stream) => {
                if let Some(wanted) = self.next[stream].take() {
                    let tries_left = self.scenario.clients.retries;
                    let want = self.wants.insert(Want { wanted, tries_left });
                    self.try_it(want);
                }
                self.look_ahead(stream);
            }
            Event::Try(want) => self.try_it(want),
            Event::AtNode(query) => self.at_node(query),
            Event::Leaves(query) => self.leaves(query),
            Event::Heard(query, told, wait) => self.heard(query, told, wait),
            Event::AtServer(exec) => self.at_server(exec),
            Event::Machine(tier, place) => {
                if self.tiers[tier].hosts[place].due == self.now {
                    self.tiers[tier].hosts[place].due = u64::MAX;
                    self.step(tier, place);
                }
            }
            Event::Reply(exec, outcome, report) => self.reply(exec, outcome, report),
            Event::TimeOut(exec) => self.time_out(exec),
            Event::Ended(exec, outcome) => self.ended(exec, outcome, None, None),
            Event::Wake(node, incarnation, label) => {
                if self.runs(node, incarnation, event) {
                    let now = self.now;
                    if let Some(decider) = &mut self.nodes[node].decider {
                        decider.timer(now, label);
                    }
                    self.carry_out(node);
                }
            }
            Event::ProbeAt(node, incarnation, server) => self.probe_at(node, incarnation, server),
            Event::Probed(node, incarnation, server, answered, report) => {
                if self.runs(node, incarnation, event) {
                    let (now, report) = (self.now, load(report));
                    if let Some(decider) = &mut self.nodes[node].decider {
                        decider.probed(now, server, answered, report);
                    }
                    self.carry_out(node);
                }
            }
            Event::Told(node, incarnation) => {
                let tier = self.nodes[node].tier;
                if !self.tiers[tier].registry.silent && self.runs(node, incarnation, event) {
                    let news = self.tiers[tier].registry.since(self.nodes[node].generation);
                    self.tell(node, news);
                    self.carry_out(node);
                }
            }
            Event::Begins(trouble) => self.begins(trouble),
            Event::Ends(trouble) => self.ends(trouble),
            Event::Later(step) => self.later(step),
            Event::Sample => self.sample(),
        }
    }

    fn sample(&mut self) {
        let mut held = vec![0; self.scenario.zones.len()];
        let mut choked = 0;
        for host in self.tiers.iter().flat_map(|tier| &tier.hosts) {
            held[host.zone] += host.machine.open_jobs() as u64;
            choked += u64::from(host.machine.is_saturated());
        }
        self.tally.sample(self.now - 1, &held, choked);
        if self.now < BEGUN + self.scenario.lasts {
            self.queue.put(self.now + self.tally.step(), Event::Sample);
        }
    }
}
