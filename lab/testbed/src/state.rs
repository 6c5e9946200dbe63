//! The state of the test bed: machines, lists, balancers, open executions, and the invariant checker that is told of
//! all.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::sleep;
use whinspindle::host::EndpointState;
use whinspindle_lab_invariants::InvariantChecker;
use whinspindle_lab_model::links::Links;
use whinspindle_lab_model::machine::Machine;
use whinspindle_lab_model::random::{Concern, RandomGenerator};
use whinspindle_lab_model::registry::{Listing, Registry, Site};
use whinspindle_lab_report::{Run, Tally};
use whinspindle_lab_scenario::Scenario;
use whinspindle_lab_simulation::invariant_rules;

use crate::fleet::Between;
use crate::program::Process;

/// On sockets each time limit of the rules is longer by this.
const SOCKET_MARGIN: u64 = 50_000;

/// A machine and the process on it.
pub struct Host {
    pub machine: Machine,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    pub server: usize,
    /// Where it listens for each balancer of its tier.
    pub addresses: HashMap<usize, SocketAddr>,
    /// The number of its process while it is up.
    pub up: watch::Sender<Option<usize>>,
    /// The balancer for its own calls.
    pub node: Option<usize>,
}

pub struct Tier {
    pub registry: Registry,
    pub hosts: Vec<Host>,
    pub place_of: Vec<usize>,
    /// Counts the changes of the list, for those that watch it.
    pub changed: watch::Sender<u64>,
}

/// A balancer.
pub struct Node {
    pub tier: usize,
    pub zone: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where datagrams of other balancers arrive, in a fleet.
    pub peer_listen: SocketAddr,
    pub process: Option<Process>,
    /// It was told to end, or killed, so that its end is no crash.
    pub may_end: bool,
    pub dealt: bool,
    /// Idle connections of its clients.
    pub idle: Vec<TcpStream>,
    /// Grows with each start.
    pub incarnation: u32,
}

/// What a server must know of a query beside what it is sent.
#[derive(Clone, Copy)]
pub struct Asked {
    pub product: usize,
    pub tenant: usize,
    pub node: usize,
    pub work: f64,
    pub mark: u64,
    pub deadline: u64,
    /// Executions that have reached a server.
    pub executions: usize,
}

/// An execution at a server whose answer has not gone out.
pub struct Out {
    pub socket: Rc<TcpStream>,
    pub number: usize,
}

pub struct World {
    pub tiers: Vec<Tier>,
    pub nodes: Vec<Node>,
    pub links: Links,
    pub random: RandomGenerator,
    pub checker: InvariantChecker,
    pub tally: Option<Tally>,
    pub asked: HashMap<u64, Asked>,
    pub out: HashMap<u64, Vec<Out>>,
    /// Who waits for what a server makes of a job.
    pub jobs: HashMap<u64, oneshot::Sender<bool>>,
    pub next_query: u64,
    pub next_job: u64,
    pub surge: f64,
    /// How late timers were, in the order of their lateness, and clients' queries that went out late.
    pub late: Vec<u64>,
    pub sent_late: u64,
    pub sent: u64,
    pub faults: Vec<String>,
    pub memory_mb: f64,
    pub descriptors: u64,
    pub cpu_us: f64,
}

pub struct Stage {
    pub scenario: Scenario,
    pub program: PathBuf,
    pub folder: PathBuf,
    started: Instant,
    /// Unix time of `started`, in microseconds.
    unix: u64,
    begun: Cell<u64>,
    pub world: RefCell<World>,
    /// What lies between the balancers of a fleet.
    pub between: RefCell<Option<Between>>,
    /// Something may be due sooner at a machine.
    pub stirred: Notify,
}

impl Stage {
    pub fn new(scenario: &Scenario, program: &Path) -> Result<Self, String> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64);
        let folder = std::env::temp_dir().join(format!("whinspindle-lab-{}-{unix}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|fault| format!("{}: {fault}", folder.display()))?;
        let program = program.canonicalize().map_err(|fault| format!("{}: {fault}", program.display()))?;
        let mut rules = invariant_rules(scenario);
        rules.answer_slack += SOCKET_MARGIN;
        rules.drain_grace += SOCKET_MARGIN;
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let (mut tiers, mut nodes): (Vec<Tier>, Vec<Node>) = (Vec::new(), Vec::new());
        let node = |tier: usize, zone: usize| Node {
            tier,
            zone,
            listen: nowhere,
            discovery: nowhere,
            peer_listen: nowhere,
            process: None,
            may_end: false,
            dealt: false,
            idle: Vec::new(),
            incarnation: 0,
        };
        nodes.extend((0..scenario.tiers[0].balancers).map(|n| node(0, n % scenario.zones.len())));
        for tier in 0..scenario.tiers.len() {
            let cells = scenario.cells(tier);
            let mut state = Tier {
                registry: Registry::default(),
                hosts: Vec::new(),
                place_of: Vec::new(),
                changed: watch::channel(0).0,
            };
            for (place, (kind, zone)) in scenario.servers(tier).into_iter().enumerate() {
                let random = RandomGenerator::new(scenario.seed, Concern::Machine(place + tier * 100_000));
                let mut host = Host {
                    machine: Machine::new(&scenario.kinds[kind], &scenario.tiers[tier], random, 0),
                    zone,
                    kind,
                    cell: cells[place],
                    server: place,
                    addresses: HashMap::new(),
                    up: watch::channel(Some(place)).0,
                    node: None,
                };
                if tier + 1 < scenario.tiers.len() {
                    host.node = Some(nodes.len());
                    nodes.push(node(tier + 1, zone));
                }
                state.registry.set(0, listing(scenario, &host, place, EndpointState::Ready, 0));
                state.hosts.push(host);
                state.place_of.push(place);
            }
            tiers.push(state);
        }
        let world = World {
            tiers,
            nodes,
            links: Links::new(&scenario.network, scenario.seed),
            random: RandomGenerator::new(scenario.seed, Concern::Clients),
            checker: InvariantChecker::new(rules),
            tally: None,
            asked: HashMap::new(),
            out: HashMap::new(),
            jobs: HashMap::new(),
            next_query: 1,
            next_job: 1,
            surge: 1.0,
            late: Vec::new(),
            sent_late: 0,
            sent: 0,
            faults: Vec::new(),
            memory_mb: 0.0,
            descriptors: 0,
            cpu_us: 0.0,
        };
        Ok(Stage {
            scenario: scenario.clone(),
            program,
            folder,
            started: Instant::now(),
            unix,
            begun: Cell::new(0),
            world: RefCell::new(world),
            between: RefCell::new(None),
            stirred: Notify::new(),
        })
    }

    /// Unix time in microseconds, from a clock that never steps.
    pub fn now(&self) -> u64 {
        self.unix + self.started.elapsed().as_micros() as u64
    }

    /// The scenario begins now.
    pub fn begin(&self) {
        self.begun.set(self.now());
        self.world.borrow_mut().tally = Some(Tally::new(&self.scenario, self.now()));
    }

    pub fn begun(&self) -> u64 {
        self.begun.get()
    }

    pub fn passed(&self) -> u64 {
        self.now().saturating_sub(self.begun.get())
    }

    /// Sleeps until a time of the scenario.
    pub async fn until(&self, at: u64) {
        let wait = at.saturating_sub(self.passed());
        sleep(Duration::from_micros(wait)).await;
    }

    /// How it stands, in a few words.
    pub fn words(&self) -> String {
        let world = self.world.borrow();
        let open = world.out.values().map(Vec::len).sum::<usize>();
        format!("{} queries sent, {open} at servers", world.sent)
    }

    pub fn sample(&self) {
        let now = self.now();
        let mut world = self.world.borrow_mut();
        let mut held = vec![0; self.scenario.zones.len()];
        let mut choked = 0;
        for host in world.tiers.iter().flat_map(|tier| &tier.hosts) {
            held[host.zone] += host.machine.open_jobs() as u64;
            choked += u64::from(host.machine.is_saturated());
        }
        if let Some(tally) = &mut world.tally {
            tally.sample(now, &held, choked);
        }
    }

    /// The list of a tier changes; those that watch it hear of it in their time.
    pub fn list(&self, tier: usize, place: usize, standing: EndpointState, started_at: u64) {
        let now = self.now();
        let mut world = self.world.borrow_mut();
        let state = &mut world.tiers[tier];
        let listing = listing(&self.scenario, &state.hosts[place], place, standing, started_at);
        state.registry.set(now, listing);
        state.changed.send_modify(|count| *count += 1);
    }

    pub fn finish(&self, mostly: u64, once: u64) -> Result<Run, String> {
        let mut world = self.world.borrow_mut();
        let tally = world.tally.take().ok_or("the run never began")?;
        let taken = tally.taken;
        let mut run = tally.finish(&self.scenario, |_, _| 0.0);
        let rules = invariant_rules(&self.scenario);
        let checker = std::mem::replace(&mut world.checker, InvariantChecker::new(rules));
        run.verdict = checker.finish(self.now());
        let begun = self.begun();
        run.verdict.breaks.iter_mut().for_each(|broken| broken.at = broken.at.saturating_sub(begun));
        run.decided_by = "program".to_string();
        run.digest = "none".to_string();
        run.cost.wall_s = self.passed() as f64 / 1e6;
        run.cost.balancer_memory_mb = world.memory_mb;
        run.cost.balancer_descriptors = world.descriptors;
        run.cost.balancer_cpu_us = world.cpu_us / taken.max(1) as f64;
        world.late.sort_unstable();
        let worst = world.late.last().copied().unwrap_or(0);
        let most = world.late.get(world.late.len() * 99 / 100).copied().unwrap_or(0);
        let late = world.sent_late as f64 / world.sent.max(1) as f64;
        if most > mostly || worst > once || late > 0.01 {
            run.void = Some(format!(
                "the machine was too slow: timers late by {} ms at worst and {} ms at one in a hundred, {:.1}% \
                 of the queries sent over 50 ms late",
                worst / 1000,
                most / 1000,
                late * 100.0
            ));
        }
        run.notes = std::mem::take(&mut world.faults);
        run.notes.truncate(20);
        let _ = std::fs::remove_dir_all(&self.folder);
        Ok(run)
    }
}

/// Notes how late timers are.
pub async fn beat(stage: Rc<Stage>) {
    const STEP: u64 = 10_000;
    loop {
        let before = stage.now();
        sleep(Duration::from_micros(STEP)).await;
        let late = (stage.now() - before).saturating_sub(STEP);
        stage.world.borrow_mut().late.push(late);
    }
}

pub fn listing(
    scenario: &Scenario,
    host: &Host,
    place: usize,
    standing: EndpointState,
    started_at: u64,
) -> Listing {
    let Host { zone, kind, cell, server, .. } = *host;
    Listing::new(scenario, Site { place, zone, kind, cell }, server, standing, started_at)
}
