//! A simulated deployment: controllers with edge machines, upstreams and operators on a network that can be partitioned
//! anywhere, observed by the invariant checker.

mod checks;
mod controller_faults;
mod edges;
mod operators;
mod reachability;
mod reads;
mod upstreams;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle_controller::CallId;
use whinspindle_controller::api::Call;
use whinspindle_distribution::ToBalancer;
use whinspindle_lab_simulated_cluster::{Occurrence, Pcg};

pub use self::controller_faults::{Direction, Reach};
use self::operators::{Race, ZoneCommand};
use self::reads::Read;
use super::edge::Edge;
use super::fleet::{Answer, Fleet, SEEDS};
use super::invariant_checker::InvariantChecker;
use super::rules::{Rules, StandardRules};
use super::upstream::Upstream;

const STEP_MS: u64 = 10;
/// How often each controller is asked where clients connect.
const RESOLVE_MS: u64 = 500;

pub struct Deployment<R: Rules = StandardRules> {
    pub fleet: Fleet<R::Controller>,
    pub edges: Vec<Edge<R::Agent>>,
    pub upstreams: Vec<Upstream>,
    pub checker: InvariantChecker,
    /// What broke a rule, the first one of each kind.
    pub problems: Vec<String>,
    /// Confirmations to operators and upstreams so far.
    pub acknowledgements: usize,
    /// The controller that gave the last one.
    pub acknowledged_by: Option<SocketAddr>,
    /// Operators submit no new commands.
    pub are_operators_resting: bool,
    race: Option<Race>,
    zone_command: Option<ZoneCommand>,
    /// Reads of the configuration that have not been answered.
    reads: BTreeMap<CallId, Read>,
    read_at: u64,
    /// Delayed heartbeats, with the time at which they arrive.
    late_heartbeats: Vec<(u64, SocketAddr, Call)>,
    /// What is drawn for reads and late heartbeats.
    random: Pcg,
    cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Lives of the controllers' processes.
    incarnations: BTreeMap<SocketAddr, u64>,
    frozen: BTreeMap<SocketAddr, u64>,
    /// When what was sent to a frozen process arrives, also if another process has taken its place by then.
    thaws: BTreeMap<SocketAddr, u64>,
    voters: Vec<SocketAddr>,
    /// Controllers whose disk was lost, and which may not be voters again yet.
    pub disks_lost: BTreeSet<SocketAddr>,
    voters_at: u64,
    resolved_at: u64,
    core_disturbed_at: u64,
    /// When an edge machine was started, stopped, or lost a process.
    edge_disturbed_at: BTreeMap<SocketAddr, u64>,
    /// When an edge machine was stopped last.
    edge_ended_at: BTreeMap<SocketAddr, u64>,
    /// When an edge machine stood still, or lacked a path to a controller that serves.
    edge_unreached_at: BTreeMap<SocketAddr, u64>,
    upstream_disturbed_at: BTreeMap<SocketAddr, u64>,
    last_subscriber: u64,
}

impl Deployment {
    pub fn start(seed: u64, controllers: u8, edges: u8, upstreams: u8) -> Deployment {
        Deployment::under(seed, controllers, edges, upstreams)
    }
}

impl<R: Rules> Deployment<R> {
    /// Like [`Deployment::start`], under these rules.
    pub fn under(seed: u64, controllers: u8, edges: u8, upstreams: u8) -> Self {
        let fleet = Fleet::with_rules(seed, controllers);
        let now = fleet.cluster.now();
        let seeds: Vec<SocketAddr> = fleet.cluster.endpoints().into_iter().take(SEEDS).collect();
        let mut deployment = Deployment {
            fleet,
            edges: (1..=edges).map(|number| Edge::new(number, seeds.clone())).collect(),
            upstreams: (1..=upstreams).map(Upstream::new).collect(),
            checker: InvariantChecker::default(),
            problems: Vec::new(),
            acknowledgements: 0,
            acknowledged_by: None,
            are_operators_resting: false,
            race: None,
            zone_command: None,
            reads: BTreeMap::new(),
            read_at: now,
            late_heartbeats: Vec::new(),
            random: Pcg::new(seed ^ 0x4ead),
            cuts: BTreeSet::new(),
            incarnations: BTreeMap::new(),
            frozen: BTreeMap::new(),
            thaws: BTreeMap::new(),
            voters: Vec::new(),
            disks_lost: BTreeSet::new(),
            voters_at: 0,
            resolved_at: 0,
            core_disturbed_at: now,
            edge_disturbed_at: BTreeMap::new(),
            edge_ended_at: BTreeMap::new(),
            edge_unreached_at: BTreeMap::new(),
            upstream_disturbed_at: BTreeMap::new(),
            last_subscriber: 0,
        };
        for index in 0..deployment.edges.len() {
            deployment.start_edge(index);
        }
        deployment
    }

    pub fn now(&self) -> u64 {
        self.fleet.cluster.now()
    }

    pub fn pass(&mut self, span_ms: u64) {
        let end = self.now() + span_ms;
        while self.now() < end {
            self.step();
        }
    }

    /// Passes time until a controller has confirmed something, not longer than this.
    pub fn pass_until_acknowledgement(&mut self, span_ms: u64) {
        let end = self.now() + span_ms;
        let before = self.acknowledgements;
        while self.now() < end && self.acknowledgements == before {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now() + STEP_MS;
        self.submit_commands();
        self.fleet.send_waiting();
        self.read_configuration();
        self.deliver_late_heartbeats();
        self.call_for_upstreams();
        for occurrence in self.fleet.cluster.run_until(now) {
            self.route(occurrence);
        }
        for index in 0..self.edges.len() {
            self.run_edge(now, index);
        }
        self.take_outcomes();
        self.update_reachability(now);
        self.check_balancers(now);
        if now >= self.resolved_at + RESOLVE_MS {
            self.resolved_at = now;
            self.check_directory(now);
        }
    }

    fn route(&mut self, occurrence: Occurrence<Answer>) {
        match occurrence.answer {
            Answer::Response { id, response } => {
                self.take_response(occurrence.at, occurrence.endpoint, id, response)
            }
            Answer::Update { subscriber, update } => {
                self.post_downward(subscriber, ToBalancer::Update(update))
            }
            Answer::Link { subscriber, link } => self.post_downward(subscriber, ToBalancer::Link(link)),
        }
    }

    pub fn problem(&mut self, problem: String) {
        if self.problems.len() < 10 {
            self.problems.push(format!("at {}: {problem}", self.now()));
        }
    }
}

fn after<'a>(text: &'a str, key: &str, end: char) -> &'a str {
    let rest = text.split(key).nth(1).expect("the key is there");
    rest.split(end).next().unwrap_or(rest)
}
