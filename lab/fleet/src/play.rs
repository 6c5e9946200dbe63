//! The run itself: what happens at each moment, and what follows from it.

use std::collections::{BTreeSet, HashMap};

use slotmap::{Key, KeyData, SlotMap, new_key_type};
use whinspindle::host::{Arrival, Ending, Entry, LoadReport, Outcome, Standing};
use whinspindle_lab_figures::{Run, Tally, Told};
use whinspindle_lab_referee::{Final, Listed, Referee};
use whinspindle_lab_scenario::{Effect, Group, Scenario};
use whinspindle_lab_world::arrivals::{Arrivals, Wanted};
use whinspindle_lab_world::dice::{Concern, Dice};
use whinspindle_lab_world::links::Links;
use whinspindle_lab_world::machine::{Did, Machine, Report, Taken, Task};
use whinspindle_lab_world::registry::{Listing, News, Registry, Site};
use xxhash_rust::xxh3::Xxh3;

use crate::decider::{Decider, Policy, Sight, Wish};
use crate::queue::Queue;
use crate::release::Supervised;
use crate::rules;

/// Where the clock stands at the start: 0 as a start of a server means long ago.
pub const BEGUN: u64 = 1_000_000_000;
/// A connection is used again up to this part of the time after which the server would close it.
const KEPT_FOR: f64 = 0.7;
/// Clients' front notices only after this time that a balancer has died.
const FRONT_NOTICES: u64 = 2_000_000;
/// Idle connections kept to one server.
const MOST_KEPT: usize = 64;

new_key_type! {
    pub struct WantKey;
    pub struct QueryKey;
    pub struct ExecKey;
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    Due(usize),
    /// A client tries, for the first time or again.
    Try(WantKey),
    AtNode(QueryKey),
    /// The client of a query leaves, or waits no longer.
    Leaves(QueryKey),
    /// An answer reaches the client.
    Heard(QueryKey, Told, u64),
    AtServer(ExecKey),
    Machine(usize, usize),
    /// An answer of a server reaches its balancer.
    Reply(ExecKey, Outcome, Option<Report>),
    TimeOut(ExecKey),
    Ended(ExecKey, Outcome),
    Wake(usize, u32, u32),
    ProbeAt(usize, u32, usize),
    Probed(usize, u32, usize, bool, Option<Report>),
    Told(usize, u32),
    Begins(usize),
    Ends(usize),
    Later(Step),
    Sample,
}

/// Parts of a trouble that come after its beginning.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Discovery has noticed that a process is gone.
    Missed {
        tier: usize,
        server: usize,
    },
    /// A drained server ends, and a new one takes its place.
    Replaced {
        tier: usize,
        place: usize,
    },
    Pauses {
        trouble: usize,
        paused: bool,
    },
    /// A unit of the release under way has drained; the release is looked after.
    Released {
        place: usize,
    },
    Supervise,
    NodeEnds(usize),
    NodeStarts(usize),
    FrontSees(usize),
}

/// What a client wants, over all its tries.
struct Want {
    wanted: Wanted,
    tries_left: usize,
}

enum Origin {
    Client(WantKey),
    /// A query that a server made for an execution of the tier before.
    Server(ExecKey),
}

struct Query {
    id: u64,
    origin: Origin,
    node: usize,
    incarnation: u32,
    /// Index at its balancer, once it is there.
    qry: Option<usize>,
    product: usize,
    tenant: usize,
    came: u64,
    deadline: u64,
    work: f64,
    mark: u64,
    answered: bool,
    execs: Vec<ExecKey>,
    out: usize,
}

struct Exec {
    query: QueryKey,
    number: usize,
    /// The process it was sent to, and the machine.
    server: usize,
    place: usize,
    tier: usize,
    sent: u64,
    fresh: bool,
    coming: bool,
    /// The whole of it has reached the server.
    arrived: bool,
    ended: bool,
    work: f64,
}

/// A balancer.
pub(crate) struct Node {
    pub tier: usize,
    pub zone: usize,
    pub up: bool,
    pub incarnation: u32,
    /// Stopped by a signal; what comes waits.
    pub stopped: bool,
    waiting: Vec<Event>,
    /// Whether clients' front deals it new connections.
    pub dealt: bool,
    decider: Option<Decider>,
    qrys: Vec<Option<QueryKey>>,
    free: Vec<usize>,
    /// Idle connections by process: when each was last used.
    kept: HashMap<usize, Vec<u64>>,
    generation: u64,
}

/// A machine and the process on it.
pub(crate) struct Host {
    pub machine: Machine,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    /// Number of the process.
    pub server: usize,
    /// Executions on their way to it.
    coming: usize,
    due: u64,
    /// The balancer for the calls of this server, where there is a next tier.
    pub node: Option<usize>,
}

impl Host {
    pub fn new(machine: Machine, zone: usize, kind: usize, cell: usize, server: usize) -> Self {
        Host { machine, zone, kind, cell, server, coming: 0, due: u64::MAX, node: None }
    }
}

pub(crate) struct TierState {
    pub registry: Registry,
    pub hosts: Vec<Host>,
    /// The machine of each process.
    pub place_of: Vec<usize>,
}

/// How far a run is.
pub struct Progress {
    pub part: f64,
    pub events: u64,
    pub queries: u64,
}

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
    next: Vec<Option<Wanted>>,
    wants: SlotMap<WantKey, Want>,
    queries: SlotMap<QueryKey, Query>,
    execs: SlotMap<ExecKey, Exec>,
    queries_made: u64,
    pub(crate) links: Links,
    pub(crate) clients: Dice,
    pub(crate) discovery: Dice,
    pub(crate) referee: Referee,
    pub(crate) tally: Tally,
    pub(crate) supervised: Option<Supervised>,
    digest: Xxh3,
    did: Vec<Did>,
}

struct Eyes<'a>(&'a TierState, u64);

impl Sight for Eyes<'_> {
    fn burden(&self, server: usize) -> Option<f64> {
        let place = *self.0.place_of.get(server)?;
        let host = &self.0.hosts[place];
        let strength = host.machine.strength(self.1);
        let well = strength > 0.0 && host.machine.fails == 0.0;
        let alive = host.server == server && well && !host.machine.is_full(host.coming);
        alive.then(|| (host.machine.held() + host.coming + 1) as f64 / strength)
    }
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
            clients: Dice::new(seed, Concern::Clients),
            discovery: Dice::new(seed, Concern::Discovery),
            referee: Referee::new(rules::demands(scenario)),
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
                let dice = Dice::new(seed, Concern::Machine(place + tier * 100_000));
                let machine = Machine::new(&scenario.kinds[kind], &scenario.tiers[tier], dice, 0);
                state.hosts.push(Host::new(machine, zone, kind, cells[place], place));
                state.place_of.push(place);
                let listing = listing(scenario, &state.hosts[place], place, Standing::Ready, 0);
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

    /// The balancer of a server, for its calls to the next tier.
    pub(crate) fn add_node_of(&mut self, tier: usize, place: usize) {
        if tier + 1 < self.tiers.len() {
            let host = &mut self.tiers[tier].hosts[place];
            host.node = Some(self.nodes.len());
            let zone = host.zone;
            self.add_node(tier + 1, zone);
        }
    }

    fn add_node(&mut self, tier: usize, zone: usize) {
        let node = self.nodes.len();
        self.nodes.push(Node {
            tier,
            zone,
            up: false,
            incarnation: 0,
            stopped: false,
            waiting: Vec::new(),
            dealt: true,
            decider: None,
            qrys: Vec::new(),
            free: Vec::new(),
            kept: HashMap::new(),
            generation: 0,
        });
        self.start_node(node);
    }

    pub(crate) fn start_node(&mut self, node: usize) {
        let (tier, zone) = (self.nodes[node].tier, self.nodes[node].zone);
        let incarnation = self.nodes[node].incarnation + 1;
        let seed =
            Dice::new(self.scenario.seed ^ (u64::from(incarnation) << 32), Concern::Balancer(node)).bits();
        let dice = Dice::new(seed, Concern::Policy(node));
        let terms = rules::terms(self.scenario, tier, zone, node);
        let n = &mut self.nodes[node];
        (n.up, n.stopped, n.incarnation) = (true, false, incarnation);
        let mut decider = Decider::new(self.policy, terms, seed, dice, self.now);
        decider.route(rules::route(self.scenario));
        n.decider = Some(decider);
        n.qrys.clear();
        n.free.clear();
        n.kept.clear();
        let news = self.tiers[tier].registry.whole();
        self.tell(node, news);
        self.carry_out(node);
    }

    // ---- the run

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
        run.verdict = self.referee.finish(end);
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

    /// Whether a balancer is there to take note of something now. What comes while it is stopped waits.
    fn runs(&mut self, node: usize, incarnation: u32, event: Event) -> bool {
        let n = &mut self.nodes[node];
        if n.stopped && n.incarnation == incarnation {
            n.waiting.push(event);
        }
        n.up && !n.stopped && n.incarnation == incarnation
    }

    pub(crate) fn resume(&mut self, node: usize) {
        self.nodes[node].stopped = false;
        self.referee.resumed(self.now, node);
        for event in std::mem::take(&mut self.nodes[node].waiting) {
            self.queue.put(self.now, event);
        }
    }

    fn sample(&mut self) {
        let mut held = vec![0; self.scenario.zones.len()];
        let mut choked = 0;
        for host in self.tiers.iter().flat_map(|tier| &tier.hosts) {
            held[host.zone] += host.machine.held() as u64;
            choked += u64::from(host.machine.is_choked());
        }
        self.tally.sample(self.now - 1, &held, choked);
        if self.now < BEGUN + self.scenario.lasts {
            self.queue.put(self.now + self.tally.step(), Event::Sample);
        }
    }

    // ---- clients

    fn look_ahead(&mut self, stream: usize) {
        match self.arrivals[stream].ahead() {
            Some(Ok(wanted)) => {
                let wanted = Wanted { due: BEGUN + wanted.due, ..wanted };
                self.next[stream] = Some(wanted);
                self.queue.put(wanted.due, Event::Due(stream));
            }
            Some(Err(until)) => self.queue.put(BEGUN + until, Event::Due(stream)),
            None => {}
        }
    }

    pub(crate) fn surge(&mut self, factor: f64) {
        for arrivals in &mut self.arrivals {
            arrivals.surge *= factor;
        }
    }

    fn try_it(&mut self, key: WantKey) {
        let Some(want) = self.wants.get(key) else { return };
        let wanted = want.wanted;
        let in_zone = self.fronts[wanted.zone].iter().copied().filter(|&n| self.nodes[n].dealt);
        let mut nodes: Vec<usize> = in_zone.collect();
        if nodes.is_empty() {
            nodes = self.fronts.concat().into_iter().filter(|&n| self.nodes[n].dealt).collect();
        }
        // With none dealt the client finds nobody to connect to.
        // Without favours the draw is as it always was, so that kept runs replay.
        let chosen = match self.scenario.clients.favour {
            1.0 => self.clients.below(nodes.len()),
            _ => self.scenario.favoured(nodes.len(), self.clients.unit()),
        };
        let Some(&node) = nodes.get(chosen) else {
            return self.tried(key, Told::Failed, 0, true);
        };
        let product = &self.scenario.products[wanted.product];
        let deadline = self.now + product.statement_timeout;
        let query = self.make(Origin::Client(key), node, wanted.product, wanted.tenant, deadline);
        let q = &mut self.queries[query];
        (q.work, q.mark) = (wanted.work, wanted.mark);
        let (from, to) = (wanted.zone, self.nodes[node].zone);
        if let Some(way) = self.links.way(from, to) {
            self.queue.put(self.now + way, Event::AtNode(query));
        }
        // A client waits a little longer than it says, so that an answer in the slack still finds it.
        let mut leaves = deadline + self.scenario.allowed.slack + 1_000;
        if self.clients.chance(self.scenario.clients.leaves) {
            leaves = self.now + (product.slo_time as f64 * self.clients.unit()) as u64;
        }
        self.queue.put(leaves, Event::Leaves(query));
    }

    fn make(
        &mut self,
        origin: Origin,
        node: usize,
        product: usize,
        tenant: usize,
        deadline: u64,
    ) -> QueryKey {
        self.queries_made += 1;
        self.queries.insert(Query {
            id: self.queries_made,
            origin,
            node,
            incarnation: 0,
            qry: None,
            product,
            tenant,
            came: 0,
            deadline,
            work: 1.0,
            mark: 0,
            answered: false,
            execs: Vec::new(),
            out: 0,
        })
    }

    /// The client leaves, whether or not its query has come anywhere.
    fn leaves(&mut self, key: QueryKey) {
        let Some(query) = self.queries.get_mut(key) else { return };
        if query.answered {
            return;
        }
        let early = self.now < query.deadline;
        match std::mem::replace(&mut query.origin, Origin::Server(ExecKey::null())) {
            Origin::Client(want) => {
                // One that leaves early has no use for an answer any more.
                if early && let Some(want) = self.wants.get_mut(want) {
                    want.tries_left = 0;
                }
                self.tried(want, Told::Failed, 0, false);
            }
            Origin::Server(exec) => self.call_ended(exec, false),
        }
        self.withdraw(key);
    }

    /// Nobody waits for the query any more.
    fn withdraw(&mut self, key: QueryKey) {
        let Some(query) = self.queries.get_mut(key) else { return };
        if query.answered {
            return;
        }
        query.answered = true;
        let (node, qry, incarnation, id) = (query.node, query.qry, query.incarnation, query.id);
        let Some(qry) = qry else {
            self.queries.remove(key);
            return;
        };
        self.note(1, id, 0);
        let n = &mut self.nodes[node];
        if n.up && n.incarnation == incarnation {
            self.referee.left(self.now, id);
            if let Some(decider) = &mut n.decider {
                decider.withdrawn(self.now, qry);
            }
            self.carry_out(node);
        }
        self.release(key);
    }

    /// A try is over for the client: it may try again.
    fn tried(&mut self, key: WantKey, told: Told, advice: u64, reached_nobody: bool) {
        let Some(want) = self.wants.get_mut(key) else { return };
        let wanted = want.wanted;
        let clients = &self.scenario.clients;
        let effect = self.scenario.products[wanted.product].effect;
        let harmless = matches!(effect, Effect::Idempotent | Effect::Deduplicated(Group::All));
        let again = told == Told::Rejected || (told == Told::Failed && (harmless || reached_nobody));
        if told != Told::Completed && again && want.tries_left > 0 {
            want.tries_left -= 1;
            let wait = self.clients.spread(clients.wait, clients.spread);
            let advice = if clients.follow_retry_after { advice } else { 0 };
            self.tally.price.client_retries += 1;
            self.queue.put(self.now + wait.max(advice), Event::Try(key));
            return;
        }
        self.wants.remove(key);
        self.tally.client(wanted.due, self.now, wanted.product, wanted.tenant, told);
    }

    /// The answer reaches the client, or the server that asked.
    fn heard(&mut self, key: QueryKey, told: Told, wait: u64) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let origin = std::mem::replace(&mut query.origin, Origin::Server(ExecKey::null()));
        match origin {
            Origin::Client(want) => self.tried(want, told, wait, false),
            Origin::Server(exec) => self.call_ended(exec, told == Told::Completed),
        }
        self.release(key);
    }

    // ---- balancers

    fn at_node(&mut self, key: QueryKey) {
        let Some(query) = self.queries.get(key) else { return };
        let (node, id, product, deadline, tenant) =
            (query.node, query.id, query.product, query.deadline, query.tenant);
        if query.answered {
            self.queries.remove(key);
            return;
        }
        // One that comes after its time, to a balancer that was stopped or over a slow way, is nobody's any
        // more.
        if self.now >= deadline {
            return;
        }
        let n = &mut self.nodes[node];
        if n.stopped {
            n.waiting.push(Event::AtNode(key));
            return;
        }
        if !n.up {
            // Nobody listens: the client is told so at once.
            if let Some(query) = self.queries.remove(key) {
                match query.origin {
                    Origin::Client(want) => self.tried(want, Told::Failed, 0, true),
                    Origin::Server(exec) => self.call_ended(exec, false),
                }
            }
            return;
        }
        let qry = n.free.pop().unwrap_or_else(|| {
            n.qrys.push(None);
            n.qrys.len() - 1
        });
        n.qrys[qry] = Some(key);
        let (tier, incarnation) = (n.tier, n.incarnation);
        let query = &mut self.queries[key];
        (query.qry, query.came, query.incarnation) = (Some(qry), self.now, incarnation);
        self.note(2, id, node as u64);
        self.tally.taken += u64::from(self.tally.counts(self.now));
        self.referee.taken(self.now, node, id, product, deadline);
        let eyes = Eyes(&self.tiers[tier], self.now);
        if let Some(decider) = &mut self.nodes[node].decider {
            decider.query(
                self.now,
                qry,
                Arrival { product, tenant, deadline, route: self.scenario.route.as_ref().map(|_| 0) },
                &eyes,
            );
        }
        self.carry_out(node);
    }

    /// Carries out what a balancer has decided.
    pub(crate) fn carry_out(&mut self, node: usize) {
        loop {
            let Some(decider) = &mut self.nodes[node].decider else { return };
            let wishes = std::mem::take(decider.wishes());
            if wishes.is_empty() {
                return;
            }
            for wish in wishes {
                self.carry(node, wish);
            }
        }
    }

    fn key_of(&self, node: usize, qry: usize) -> Option<QueryKey> {
        self.nodes[node].qrys.get(qry).copied().flatten()
    }

    fn carry(&mut self, node: usize, wish: Wish) {
        match wish {
            Wish::Execute { qry, server, time_out } => {
                if let Some(key) = self.key_of(node, qry) {
                    self.execute(node, key, server, time_out);
                }
            }
            Wish::Cancel { qry, exec } => {
                let key = self.key_of(node, qry);
                let exec = key.and_then(|key| self.queries[key].execs.get(exec).copied());
                if let Some(exec) = exec {
                    self.call_off(exec, Outcome::Cancelled);
                }
            }
            Wish::Reject { qry, retry_after } => self.answer(node, qry, Told::Rejected, retry_after),
            Wish::Abort { qry } => self.answer(node, qry, Told::Failed, 0),
            Wish::Wake { wait, label } => {
                let incarnation = self.nodes[node].incarnation;
                self.queue.put(self.now + wait, Event::Wake(node, incarnation, label));
            }
            Wish::Probe { server } => self.probe(node, server),
        }
    }

    /// A final answer that is not a server's.
    fn answer(&mut self, node: usize, qry: usize, told: Told, wait: u64) {
        if let Some(key) = self.key_of(node, qry) {
            self.say(node, key, told, wait);
        }
    }

    fn say(&mut self, node: usize, key: QueryKey, told: Told, wait: u64) {
        let query = &mut self.queries[key];
        let word = match told {
            Told::Completed => Final::Completed,
            Told::Rejected => Final::Rejected,
            Told::Failed => Final::Aborted,
        };
        self.referee.answered(self.now, query.id, word);
        query.answered = true;
        let (id, product, came) = (query.id, query.product, query.came);
        let from = match query.origin {
            Origin::Client(want) => self.wants.get(want).map_or(0, |want| want.wanted.zone),
            Origin::Server(_) => self.nodes[node].zone,
        };
        self.note(3, id, told as u64);
        self.tally.tier(self.nodes[node].tier, node, product, came, self.now, told);
        match self.links.way(self.nodes[node].zone, from) {
            Some(way) => self.queue.put(self.now + way, Event::Heard(key, told, wait)),
            // Cut off: the client finds out when its time is over.
            None => {
                let late = query_wait(self.queries[key].deadline, self.now);
                self.queue.put(self.now + late, Event::Heard(key, Told::Failed, 0));
            }
        }
        self.release(key);
    }

    fn release(&mut self, key: QueryKey) {
        let Some(query) = self.queries.get(key) else { return };
        let heard = match query.origin {
            Origin::Client(want) => !self.wants.contains_key(want),
            Origin::Server(exec) => !self.execs.contains_key(exec),
        };
        if !query.answered || query.out > 0 {
            return;
        }
        // The index at the balancer is free as soon as nothing of it is out; the query itself stays until its
        // answer has arrived.
        if let Some(qry) = query.qry {
            let n = &mut self.nodes[query.node];
            if n.incarnation == query.incarnation && n.qrys.get(qry).copied().flatten() == Some(key) {
                n.qrys[qry] = None;
                n.free.push(qry);
            }
        }
        if heard && let Some(query) = self.queries.remove(key) {
            for exec in query.execs {
                self.execs.remove(exec);
            }
        }
    }

    // ---- executions

    fn execute(&mut self, node: usize, key: QueryKey, server: usize, time_out: u64) {
        let tier = self.nodes[node].tier;
        let Some(&place) = self.tiers[tier].place_of.get(server) else { return };
        let host = &self.tiers[tier].hosts[place];
        let (from, to, alive) = (self.nodes[node].zone, host.zone, host.server == server);
        let query = &mut self.queries[key];
        let (id, work, number) = (query.id, query.work, query.execs.len());
        self.referee.sent(self.now, id, rules::server_id(tier, server), work);
        let idle = self.scenario.tiers[tier].connections.idle as f64 * KEPT_FOR;
        let kept = self.nodes[node].kept.get_mut(&server);
        let kept = kept.and_then(|kept| kept.pop()).filter(|used| self.now - used < idle as u64);
        let fresh = kept.is_none();
        let exec = self.execs.insert(Exec {
            query: key,
            number,
            server,
            place,
            tier,
            sent: self.now,
            fresh,
            coming: true,
            arrived: false,
            ended: false,
            work,
        });
        self.tiers[tier].hosts[place].coming += 1;
        let query = &mut self.queries[key];
        query.execs.push(exec);
        query.out += 1;
        self.note(4, id, server as u64);
        self.tally.execution(self.now, tier, place, to, from != to, fresh);
        self.queue.put(self.now + time_out, Event::TimeOut(exec));
        let connect = self.scenario.tiers[tier].connections.time_out;
        let silent = alive && self.tiers[tier].hosts[place].machine.silent;
        let mut way = self.links.way(from, to);
        if fresh {
            // There and back once before the query itself goes out.
            way = way.and_then(|way| Some(way + self.links.way(to, from)? + self.links.way(from, to)?));
            if silent || way.is_none_or(|way| way > connect) {
                self.queue.put(self.now + connect, Event::Ended(exec, Outcome::NotConnected));
                return;
            }
        }
        if let Some(way) = way {
            self.queue.put(self.now + way, Event::AtServer(exec));
        }
    }

    /// An execution is no longer on its way: it has come, or will not.
    fn arrives(&mut self, key: ExecKey) {
        if let Some(exec) = self.execs.get_mut(key).filter(|exec| exec.coming) {
            exec.coming = false;
            self.tiers[exec.tier].hosts[exec.place].coming -= 1;
        }
    }

    fn at_server(&mut self, key: ExecKey) {
        self.arrives(key);
        let Some(exec) = self.execs.get(key) else { return };
        if exec.ended {
            return;
        }
        let (tier, place, server, query, fresh, work) =
            (exec.tier, exec.place, exec.server, exec.query, exec.fresh, exec.work);
        let host = &mut self.tiers[tier].hosts[place];
        if host.machine.silent && host.server == server {
            return;
        }
        let gone = if fresh { Outcome::NotConnected } else { Outcome::Stale };
        let product = &self.scenario.products[self.queries[query].product];
        let task = Task { work, calls: product.calls, fresh };
        let taken = if host.server == server {
            host.machine.connections += usize::from(fresh);
            host.machine.arrive(self.now, key.data().as_ffi(), task)
        } else {
            Taken::Down
        };
        self.note(5, server as u64, taken as u64);
        match taken {
            Taken::Taken => {
                self.execs[key].arrived = true;
                self.schedule(tier, place);
            }
            Taken::TurnedAway => {
                if let Some(way) = self.way_back(key) {
                    self.queue.put(self.now + way, Event::Reply(key, Outcome::TurnedAway, None));
                }
            }
            Taken::Down => {
                if self.tiers[tier].hosts[place].machine.has_fallen() {
                    self.fallen(tier, place);
                }
                if let Some(way) = self.way_back(key) {
                    self.queue.put(self.now + way, Event::Ended(key, gone));
                }
            }
        }
    }

    fn way_back(&mut self, exec: ExecKey) -> Option<u64> {
        let e = &self.execs[exec];
        let (from, to) =
            (self.tiers[e.tier].hosts[e.place].zone, self.nodes[self.queries[e.query].node].zone);
        self.links.way(from, to)
    }

    /// A cold server has been pushed over: what it held breaks, and it stays down.
    fn fallen(&mut self, tier: usize, place: usize) {
        let server = self.tiers[tier].hosts[place].server;
        let held = self.tiers[tier].hosts[place].machine.drop_all();
        if !held.is_empty()
            || self.tiers[tier].registry.get(server).is_some_and(|l| l.standing == Standing::Ready)
        {
            self.referee.fell(self.now, rules::server_id(tier, server));
            self.tally.price.fallen += 1;
            self.queue.put(self.now + DISCOVERY_NOTICES, Event::Later(Step::Missed { tier, server }));
        }
        self.break_all(held);
        self.schedule(tier, place);
    }

    /// Connections under these executions break.
    pub(crate) fn break_all(&mut self, jobs: Vec<u64>) {
        for job in jobs {
            let exec = ExecKey::from(KeyData::from_ffi(job));
            if self.execs.contains_key(exec)
                && let Some(way) = self.way_back(exec)
            {
                self.queue.put(self.now + way, Event::Ended(exec, Outcome::Broken));
            }
        }
    }

    pub(crate) fn schedule(&mut self, tier: usize, place: usize) {
        let host = &mut self.tiers[tier].hosts[place];
        let next = host.machine.next().max(self.now);
        if next != host.due {
            host.due = next;
            if next != u64::MAX {
                self.queue.put(next, Event::Machine(tier, place));
            }
        }
    }

    fn step(&mut self, tier: usize, place: usize) {
        let mut did = std::mem::take(&mut self.did);
        self.tiers[tier].hosts[place].machine.step(self.now, &mut did);
        self.serve(tier, place, &mut did);
        self.did = did;
        self.schedule(tier, place);
    }

    /// What a server has done goes out.
    fn serve(&mut self, tier: usize, place: usize, did: &mut Vec<Did>) {
        for did in did.drain(..) {
            match did {
                Did::Answered(job, well) => {
                    let exec = ExecKey::from(KeyData::from_ffi(job));
                    let Some(e) = self.execs.get(exec) else { continue };
                    let id = self.queries[e.query].id;
                    if well {
                        self.referee.ran(self.now, rules::server_id(tier, e.server), id);
                        self.tally.work_done += e.work;
                    }
                    let report = self.tiers[tier].hosts[place].machine.report(self.now);
                    let broken = !self.execs[exec].fresh && self.links.breaks();
                    let Some(way) = self.way_back(exec) else { continue };
                    if broken {
                        self.queue.put(self.now + way, Event::Ended(exec, Outcome::Stale));
                    } else {
                        let outcome = if well { Outcome::Completed } else { Outcome::Error };
                        self.queue.put(self.now + way, Event::Reply(exec, outcome, report));
                    }
                }
                Did::Calls(job) => self.call(tier, place, job),
            }
        }
    }

    /// A server calls the next tier through its own balancer.
    fn call(&mut self, tier: usize, place: usize, job: u64) {
        let exec = ExecKey::from(KeyData::from_ffi(job));
        let Some(node) = self.tiers[tier].hosts[place].node else { return };
        let Some(e) = self.execs.get(exec) else { return };
        let parent = &self.queries[e.query];
        let product = self.scenario.products[parent.product].calls_product;
        let row = &self.scenario.products[product];
        let deadline = parent.deadline.min(self.now + row.statement_timeout);
        let (tenant, mark) = (parent.tenant, parent.mark.rotate_left(17) ^ self.queries_made);
        let work = Dice::new(mark, Concern::Clients).varied(row.work as f64, row.varies).max(1.0);
        let query = self.make(Origin::Server(exec), node, product, tenant, deadline);
        let q = &mut self.queries[query];
        (q.work, q.mark) = (work, mark);
        self.queue.put(self.now + 1, Event::AtNode(query));
        self.queue.put(deadline + self.scenario.allowed.slack + 1_000, Event::Leaves(query));
    }

    fn call_ended(&mut self, exec: ExecKey, well: bool) {
        let Some(e) = self.execs.get(exec) else { return };
        let (tier, place) = (e.tier, e.place);
        let mut did = std::mem::take(&mut self.did);
        let machine = &mut self.tiers[tier].hosts[place].machine;
        machine.returned(self.now, exec.data().as_ffi(), well, &mut did);
        self.serve(tier, place, &mut did);
        self.did = did;
        self.schedule(tier, place);
    }

    fn time_out(&mut self, exec: ExecKey) {
        if self.execs.get(exec).is_some_and(|e| !e.ended) {
            self.call_off(exec, Outcome::TimedOut);
        }
    }

    /// The balancer stops waiting: it closes the connection.
    fn call_off(&mut self, key: ExecKey, outcome: Outcome) {
        let Some(e) = self.execs.get(key).filter(|e| !e.ended) else { return };
        let (tier, place, server, arrived) = (e.tier, e.place, e.server, e.arrived);
        let host = &mut self.tiers[tier].hosts[place];
        if arrived && host.server == server {
            host.machine.connections = host.machine.connections.saturating_sub(1);
            host.machine.leave(self.now, key.data().as_ffi());
            self.schedule(tier, place);
        }
        // What has not arrived yet is not known not to have: only a fresh connection shows that.
        let outcome = match outcome {
            Outcome::Cancelled if !arrived && self.execs[key].fresh => Outcome::Moot,
            other => other,
        };
        if outcome == Outcome::TimedOut {
            self.ended(key, outcome, None, None);
        } else {
            self.execs[key].arrived |= outcome != Outcome::Moot;
            self.queue.put(self.now, Event::Ended(key, outcome));
        }
    }

    fn reply(&mut self, key: ExecKey, outcome: Outcome, report: Option<Report>) {
        let Some(e) = self.execs.get(key) else { return };
        if e.ended {
            if outcome == Outcome::Completed {
                self.tally.work_wasted += e.work;
            }
            return;
        }
        let (server, query) = (e.server, e.query);
        let node = self.queries[query].node;
        if self.nodes[node].stopped {
            self.nodes[node].waiting.push(Event::Reply(key, outcome, report));
            return;
        }
        let kept = self.nodes[node].kept.entry(server).or_default();
        if kept.len() < MOST_KEPT {
            kept.push(self.now);
        }
        self.ended(key, outcome, report, Some(server));
    }

    /// An execution is over, and its balancer hears how.
    fn ended(&mut self, key: ExecKey, outcome: Outcome, report: Option<Report>, kept: Option<usize>) {
        self.arrives(key);
        let Some(e) = self.execs.get_mut(key).filter(|e| !e.ended) else { return };
        let (query, number, spent, server, tier, place) =
            (e.query, e.number, self.now - e.sent, e.server, e.tier, e.place);
        let node = self.queries[query].node;
        let incarnation = self.queries[query].incarnation;
        let n = &self.nodes[node];
        let alive = n.up && n.incarnation == incarnation;
        if alive && n.stopped {
            self.nodes[node].waiting.push(Event::Ended(key, outcome));
            return;
        }
        e.ended = true;
        if kept.is_none() && !matches!(outcome, Outcome::Cancelled | Outcome::TimedOut | Outcome::Moot) {
            // The connection broke: the others to that server are looked at again too.
            self.nodes[node].kept.remove(&server);
        }
        let host = &mut self.tiers[tier].hosts[place];
        if host.server == server && host.machine.is_up() && kept.is_none() && outcome == Outcome::Stale {
            host.machine.connections = host.machine.connections.saturating_sub(1);
        }
        let q = &mut self.queries[query];
        q.out -= 1;
        if !alive {
            return self.release(query);
        }
        let (id, qry, product) = (q.id, q.qry.unwrap_or(0), q.product);
        self.watch_execution(node, tier, place, product, outcome, spent);
        self.note(6, id, outcome as u64);
        self.referee.ended(self.now, id, number, !outcome.never_ran());
        if outcome == Outcome::Completed {
            if self.queries[query].answered {
                self.tally.work_wasted += self.queries[query].work;
            } else {
                self.say(node, query, Told::Completed, 0);
            }
        }
        let over = self.queries.get(query).is_none_or(|q| q.answered);
        // Those that have moved hear of load by probes alone.
        let report = report.filter(|_| node >= self.scenario.tiers[self.nodes[node].tier].moved);
        let ending = Ending { outcome, over, spent, report: load(report) };
        let eyes = Eyes(&self.tiers[tier], self.now);
        if let Some(decider) = &mut self.nodes[node].decider {
            decider.completed(self.now, qry, number, ending, &eyes);
        }
        self.carry_out(node);
        self.release(query);
    }

    // ---- probes

    fn probe(&mut self, node: usize, server: usize) {
        self.tally.price.probes += 1;
        let (tier, incarnation) = (self.nodes[node].tier, self.nodes[node].incarnation);
        let Some(&place) = self.tiers[tier].place_of.get(server) else { return };
        let way = self.links.way(self.nodes[node].zone, self.tiers[tier].hosts[place].zone);
        match way {
            Some(way) => self.queue.put(self.now + way, Event::ProbeAt(node, incarnation, server)),
            None => {
                let lost = self.scenario.tiers[tier].connections.time_out;
                self.queue.put(self.now + lost, Event::Probed(node, incarnation, server, false, None));
            }
        }
    }

    fn probe_at(&mut self, node: usize, incarnation: u32, server: usize) {
        let tier = self.nodes[node].tier;
        let Some(&place) = self.tiers[tier].place_of.get(server) else { return };
        let host = &mut self.tiers[tier].hosts[place];
        let up = host.server == server && host.machine.is_up();
        let says = up && !host.machine.silent && !host.machine.hung && !host.machine.paused;
        let report = if says { host.machine.report(self.now) } else { None };
        let (from, to) = (host.zone, self.nodes[node].zone);
        let lost = self.scenario.tiers[tier].connections.time_out;
        let back = if says || !up { self.links.way(from, to) } else { None };
        let at = self.now + back.unwrap_or(lost);
        self.queue.put(at, Event::Probed(node, incarnation, server, says && back.is_some(), report));
    }

    // ---- discovery

    pub(crate) fn tell(&mut self, node: usize, news: News) {
        let (scenario, tier) = (self.scenario, self.nodes[node].tier);
        let id = |listing: &Listing| rules::server_id(tier, listing.server);
        let mut entries = Vec::with_capacity(news.listings.len());
        if news.whole {
            let listed: BTreeSet<usize> = news.listings.iter().map(id).collect();
            self.referee.told_whole(self.now, node, &listed);
        }
        for listing in &news.listings {
            let listed = match listing.standing {
                Standing::Ready => Listed::Ready,
                Standing::Draining => Listed::Draining,
                Standing::Gone => Listed::Gone,
            };
            self.referee.told(self.now, node, id(listing), listed, listing.zone, listing.cell);
            entries.push(Entry {
                server: listing.server,
                key: listing.server as u64,
                zone: listing.zone,
                cell: listing.cell,
                kind: listing.kind,
                standing: listing.standing,
                size: scenario.kinds[listing.kind].listed,
                born: listing.born,
            });
            if listing.standing == Standing::Gone {
                self.nodes[node].kept.remove(&listing.server);
            }
        }
        self.note(7, node as u64, news.generation);
        let n = &mut self.nodes[node];
        n.generation = news.generation;
        if let Some(decider) = &mut n.decider {
            decider.list(self.now, news.whole, &entries);
        }
    }

    /// The list of a tier has changed: each of its balancers hears of it in its own time.
    pub(crate) fn spread_news(&mut self, tier: usize) {
        let registry = &self.tiers[tier].registry;
        if registry.silent {
            return;
        }
        let (late, discovery) = (registry.late, &self.scenario.discovery);
        for node in 0..self.nodes.len() {
            if self.nodes[node].tier == tier && self.nodes[node].up {
                let delay = self.discovery.spread(discovery.delay, discovery.spread) + late;
                let incarnation = self.nodes[node].incarnation;
                self.queue.put(self.now + delay, Event::Told(node, incarnation));
            }
        }
    }

    pub(crate) fn list(&mut self, tier: usize, place: usize, standing: Standing, born: u64) {
        let host = &self.tiers[tier].hosts[place];
        let listing = listing(self.scenario, host, place, standing, born);
        self.tiers[tier].registry.set(self.now, listing);
        self.spread_news(tier);
    }

    // ---- balancers that come and go

    /// The balancer is told to end, and must have answered by then.
    pub(crate) fn stopping(&mut self, node: usize, until: u64) {
        if let Some(decider) = &mut self.nodes[node].decider {
            decider.stopping(self.now, until);
            self.carry_out(node);
        }
    }

    /// The balancer is killed: what it held is the clients' to repeat.
    pub(crate) fn kill_node(&mut self, node: usize) {
        if !self.nodes[node].up {
            return;
        }
        self.referee.balancer_ended(self.now, node);
        let n = &mut self.nodes[node];
        n.up = false;
        n.stopped = false;
        n.decider = None;
        n.waiting.clear();
        let held: Vec<QueryKey> = n.qrys.iter().flatten().copied().collect();
        n.qrys.clear();
        n.free.clear();
        n.kept.clear();
        for key in held {
            let execs = self.queries[key].execs.clone();
            for exec in execs {
                if self.execs.get(exec).is_some_and(|e| !e.ended) {
                    self.call_off(exec, Outcome::Cancelled);
                }
            }
            let Some(query) = self.queries.get_mut(key) else { continue };
            if !query.answered {
                query.answered = true;
                // The connection is reset: the client notices at once.
                self.queue.put(self.now + 1, Event::Heard(key, Told::Failed, 0));
            }
        }
        self.queue.put(self.now + FRONT_NOTICES, Event::Later(Step::FrontSees(node)));
    }
}

/// Discovery notices after this time that a process has gone without a word.
pub(crate) const DISCOVERY_NOTICES: u64 = 2_000_000;

fn query_wait(deadline: u64, now: u64) -> u64 {
    deadline.saturating_sub(now).max(1)
}

pub(crate) fn listing(
    scenario: &Scenario,
    host: &Host,
    place: usize,
    standing: Standing,
    born: u64,
) -> Listing {
    let Host { zone, kind, cell, server, .. } = *host;
    Listing::new(scenario, Site { place, zone, kind, cell }, server, standing, born)
}

fn load(report: Option<Report>) -> LoadReport {
    report.map_or(LoadReport::default(), |report| LoadReport {
        utilization: report.utilization,
        throughput: report.throughput,
        held: Some((report.inflight + report.queue) as f64),
    })
}
