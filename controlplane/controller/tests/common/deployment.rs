//! A simulated deployment: controllers with edge machines, upstreams and operators on a network that can be
//! partitioned anywhere, observed by the invariant checker.

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
use whinspindle_lab_simulated_cluster::{Pcg, TimedAnswer};

pub use self::controller_faults::{Direction, Reach};
use self::operators::{Race, ZoneCommand};
use self::reads::Read;
use super::edge::Edge;
use super::fleet::{Answer, Fleet, SEEDS};
use super::invariant_checker::InvariantChecker;
use super::rules::{Rules, StandardRules};
use super::upstream::Upstream;

const STEP_MS: u64 = 10;
/// Interval of the directory requests to each controller.
const RESOLVE_MS: u64 = 500;

/// The machines, the network between them, and the state of the checks.
pub struct Deployment<R: Rules = StandardRules> {
    pub fleet: Fleet<R::Controller>,
    pub edges: Vec<Edge<R::Agent>>,
    pub upstreams: Vec<Upstream>,
    pub checker: InvariantChecker,
    /// The first violations of the invariants, each with its time.
    pub problems: Vec<String>,
    /// Confirmations to operators and upstreams so far.
    pub acknowledgements: usize,
    /// The controller that sent the last confirmation.
    pub acknowledged_by: Option<SocketAddr>,
    /// Operators submit no new commands.
    pub are_operators_stopped: bool,
    race: Option<Race>,
    zone_command: Option<ZoneCommand>,
    /// Pending reads of the configuration.
    reads: BTreeMap<CallId, Read>,
    read_at: u64,
    /// Delayed heartbeats, with the time at which they arrive.
    delayed_heartbeats: Vec<(u64, SocketAddr, Call)>,
    /// Random numbers for reads and delayed heartbeats.
    random: Pcg,
    /// Cut links between controllers and clients, as pairs of sender and receiver.
    cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    /// The number of starts of each controller.
    incarnations: BTreeMap<SocketAddr, u64>,
    /// The time until which each controller's process is paused.
    frozen: BTreeMap<SocketAddr, u64>,
    /// The time at which the messages to a paused process arrive, even if another process has replaced it by
    /// then.
    thaws: BTreeMap<SocketAddr, u64>,
    voters: Vec<SocketAddr>,
    /// Controllers with a lost disk that may not have become voters again.
    pub disks_lost: BTreeSet<SocketAddr>,
    voters_at: u64,
    resolved_at: u64,
    core_disturbed_at: u64,
    /// The last time at which each edge machine was started or stopped, or lost a process.
    edge_disturbed_at: BTreeMap<SocketAddr, u64>,
    /// The last time at which each edge machine was stopped.
    edge_ended_at: BTreeMap<SocketAddr, u64>,
    /// The last time at which each edge machine was paused or couldn't reach all controllers with a quorum.
    edge_unreached_at: BTreeMap<SocketAddr, u64>,
    upstream_disturbed_at: BTreeMap<SocketAddr, u64>,
    last_subscriber: u64,
}

impl Deployment {
    pub fn start(seed: u64, controllers: u8, edges: u8, upstreams: u8) -> Deployment {
        Deployment::with_rules(seed, controllers, edges, upstreams)
    }
}

impl<R: Rules> Deployment<R> {
    /// Like [`Deployment::start`], with these protocol rules.
    pub fn with_rules(seed: u64, controllers: u8, edges: u8, upstreams: u8) -> Self {
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
            are_operators_stopped: false,
            race: None,
            zone_command: None,
            reads: BTreeMap::new(),
            read_at: now,
            delayed_heartbeats: Vec::new(),
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

    /// Passes time until a controller confirms a call, for at most this long.
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
        self.deliver_delayed_heartbeats();
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

    fn route(&mut self, occurrence: TimedAnswer<Answer>) {
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

    /// Records a violation of the invariants.
    pub fn report_problem(&mut self, problem: String) {
        if self.problems.len() < 10 {
            self.problems.push(format!("at {}: {problem}", self.now()));
        }
    }
}

/// The part of the text between a key and the next end character.
fn text_between<'a>(text: &'a str, key: &str, end: char) -> &'a str {
    let rest = text.split(key).nth(1).expect("the text has the key");
    rest.split(end).next().unwrap_or(rest)
}
