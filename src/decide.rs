//! All decisions of one balancer: one method for each thing that happens; it acts only by calling the `Host`
//! trait. `docs/design.md` tells what follows the design page, and when each exception acts.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use crate::host::*;
use crate::pcg::Pcg;
use crate::samples::{Runs, count_times, decayed, mean, note_time, push, ranked, rate, rising, shares};
use crate::search::{Moves, least_cost};

// The design's own figures: check period, settling time, change that counts, pass-over.
const CHECK: u64 = 5_000_000;
const SETTLE: u64 = 3_000_000;
const CHANGE: f64 = 0.2;
const PASS_OVER: f64 = 2.0;
// Left open by it: the floor share, the least slope against one through the origin. Then its tries and step.
pub const FLOOR_SHARE: f64 = 0.02;
const LEAST_SLOPE: f64 = 0.1;
const MOVES: Moves = Moves { tries: 10, step: 0.1, floor: FLOOR_SHARE };
// How many samples are kept: zone latencies, a server's results, its rates, a product's latencies.
const ZONE_SAMPLES: usize = 64;
const RESULTS: usize = 8;
const RATES: usize = 32;
const LATENCIES: usize = 32;
/// The first tier is full when what is in flight takes this many times the least mean time seen.
const FULL: f64 = 2.5;
/// For a tenant beyond its share it is full at this part of that: half way, by ratio, to the least time.
const BEYOND: f64 = 0.63;
/// A server is taken to do this many times the best rate it told of.
const PEAK: f64 = 1.5;
/// A copy that hears of a server less than once in so many SLO times asks so many before it sends, but not
/// while the last answers took less than this many times the least mean time.
const SELDOM: f64 = 4.0;
const ASKED: usize = 3;
const QUICK: f64 = 1.25;
/// How many servers an even copy reaches; the golden ratio spreads any row of ranks evenly over the list.
const REACH: f64 = 3.0;
const GOLDEN: f64 = 0.618_033_988_75;
/// Where load is told to probes alone, a server has room for what it serves in this part of the shortest SLO
/// time, and the share let in rises from none to all in so many of these times.
const ROOM: f64 = 3.0;
const RISE: f64 = 8.0;
/// A server silent for this many times what nine of ten queries take is taken for hung.
const SILENT: u64 = 3;

const LABEL_CHECK: u32 = 0;
const LABEL_LIST: u32 = 1;
const LABEL_QUERIES: u32 = 2;

#[derive(Default)]
struct Server {
    zone: usize,
    cell: usize,
    kind: usize,
    size: f64,
    key: u64,
    started_at: u64,
    /// Rounds this copy's part of the cold budget, up at as many copies as the budget needs.
    luck: f64,
    ready: bool,
    gone: bool,
    /// This copy's own calls in flight; when the last went out, and their product's work against the usual.
    own: usize,
    sent: VecDeque<(u64, f64)>,
    /// Whether the last executions came to something, and what completed ones took by their product's usual.
    results: VecDeque<bool>,
    took: VecDeque<f64>,
    last_answer: u64,
    aside_until: u64,
    strikes: u32,
    /// The queries that wait for its answer, and when they came.
    askers: VecDeque<(usize, u64)>,
    /// By the last reports: queries a second, these and how busy the cores were, what it could do by both.
    rates: VecDeque<f64>,
    busy: VecDeque<(f64, f64)>,
    told: Option<f64>,
    /// What it held by the last report, and when that came; only where load is told to probes alone.
    held: Option<(f64, u64)>,
}

#[derive(Default)]
struct Zone {
    /// Weight for each ready server against the other zones'; the zone's weight is this times their number.
    each: f64,
    /// Of queries: when served, the load then, the latency; and ready servers and latency last solved for.
    samples: VecDeque<(u64, f64, f64)>,
    solved: (f64, f64),
    /// The share of queries let in where load is told to probes alone, and when it last moved.
    passes: f64,
    moved: u64,
}

struct Exec {
    server: usize,
    zone: usize,
    cell: usize,
    sent: u64,
    /// How it ended, if it did, and whether it was counted against its server before.
    ended: Option<Outcome>,
    struck: bool,
}

/// A route: its conditions, a row a product, and when its last queries and their repeats came.
#[derive(Default)]
struct Lane {
    rows: Vec<RoutePolicy>,
    came: VecDeque<u64>,
    repeats: VecDeque<u64>,
}

#[derive(Default)]
struct Query {
    live: bool,
    product: usize,
    came: u64,
    deadline: u64,
    give_up: u64,
    next_look: u64,
    execs: Vec<Exec>,
    /// The conditions under which it came, whether it waits to be sent again, the servers asked for it, and
    /// how many answers are out.
    lane: Option<Rc<RefCell<Lane>>>,
    held: bool,
    asked: Vec<usize>,
    unheard: usize,
}

pub struct Balancer<H: Host> {
    pub host: H,
    terms: BalancerSettings,
    chance: Pcg,
    now: u64,
    start: u64,
    servers: Vec<Server>,
    /// The servers not gone, in the order of their indices, and those of them that this copy may send to.
    listed: Vec<usize>,
    reach: Vec<usize>,
    zones: Vec<Zone>,
    queries: Vec<Query>,
    lanes: Vec<Rc<RefCell<Lane>>>,
    /// The last served latencies, a row a product.
    latencies: Vec<VecDeque<u64>>,
    /// When the last queries came, when those let in did, and these by a row a tenant.
    arrivals: VecDeque<u64>,
    admitted: VecDeque<u64>,
    let_in: Vec<VecDeque<u64>>,
    /// When the last were served, what runs of them took, when probes went out and how long they took.
    served: VecDeque<u64>,
    runs: Runs,
    probes: VecDeque<u64>,
    waited: VecDeque<u64>,
    shortest: u64,
    solved_rate: f64,
}

impl<H: Host> Balancer<H> {
    pub fn new(host: H, terms: BalancerSettings, seed: u64, now: u64) -> Self {
        let mut balancer = Balancer {
            host,
            chance: Pcg::new(seed),
            now,
            start: now,
            servers: Vec::new(),
            listed: Vec::new(),
            reach: Vec::new(),
            zones: Vec::new(),
            queries: Vec::new(),
            lanes: Vec::new(),
            latencies: vec![VecDeque::new(); terms.products.len()],
            arrivals: VecDeque::new(),
            admitted: VecDeque::new(),
            let_in: vec![VecDeque::new(); terms.tenant_quotas.len()],
            served: VecDeque::new(),
            runs: Runs::new(now),
            probes: VecDeque::new(),
            waited: VecDeque::new(),
            shortest: terms.products.iter().map(|row| row.slo_time).min().unwrap_or(0),
            solved_rate: 0.0,
            terms,
        };
        balancer.wake_for_check();
        if balancer.terms.must_ask_in.is_some() {
            balancer.host.follow_endpoints();
        }
        balancer
    }

    pub fn endpoints_replaced(&mut self, now: u64, entries: &[Endpoint]) {
        for server in &mut self.servers {
            (server.ready, server.gone) = (false, true);
        }
        self.endpoints_changed(now, entries);
    }

    pub fn endpoints_changed(&mut self, now: u64, entries: &[Endpoint]) {
        self.now = now;
        for entry in entries {
            if entry.server >= self.servers.len() {
                self.servers.resize_with(entry.server + 1, || Server { gone: true, ..Server::default() });
            }
            if entry.zone >= self.zones.len() {
                self.zones.resize_with(entry.zone + 1, || Zone { each: 1.0, passes: 1.0, ..Zone::default() });
            }
            let s = &mut self.servers[entry.server];
            if s.started_at != entry.started_at {
                // A new start forgets what the process before it did, but not the calls still out.
                let askers = std::mem::take(&mut s.askers);
                *s = Server { own: s.own, askers, luck: self.chance.unit(), ..Server::default() };
            }
            let size = if entry.size.is_finite() && entry.size > 0.0 { entry.size } else { 1.0 };
            (s.zone, s.cell, s.kind, s.size) = (entry.zone, entry.cell, entry.kind, size);
            (s.key, s.started_at, s.ready) =
                (entry.key, entry.started_at, entry.state == EndpointState::Ready);
            s.gone = entry.state == EndpointState::Gone;
        }
        self.listed = (0..self.servers.len()).filter(|&i| !self.servers[i].gone).collect();
        self.draw_reach();
    }

    /// Where a connection carries many queries, a copy keeps to its part of the list: a row of servers in a
    /// zone, by its share of the queries, from the copy's place on. Guards against full tables of connections
    /// at which most executions find none, and new ones that cost as much as a query.
    fn draw_reach(&mut self) {
        if self.terms.streams <= 1 {
            self.reach = self.listed.clone();
            return;
        }
        self.reach.clear();
        let place = (self.terms.rank as f64 * GOLDEN).fract();
        let (weights, stays) = (self.weights(), self.stays(&self.listed));
        let many = REACH * self.part() * self.terms.balancers as f64;
        for (zone, weight) in weights.iter().enumerate() {
            let home = if zone == self.terms.home { stays } else { 0.0 };
            let mut wanted = (many * (home + (1.0 - stays) * weight)).max(1.0);
            let mut ring = self.listed.clone();
            ring.retain(|&i| self.servers[i].zone == zone);
            ring.sort_by_key(|&i| self.servers[i].key);
            let first = (place * ring.len() as f64) as usize;
            ring.rotate_left(first);
            for server in ring {
                if wanted > 0.5 {
                    self.reach.push(server);
                    // Resting and cold servers are made up for by more.
                    wanted -= self.able(server);
                }
            }
        }
    }

    /// Nothing in flight holds the server that is gone: its index may stand for another one now.
    pub fn endpoint_forgotten(&mut self, server: usize) {
        if let Some(s) = self.servers.get_mut(server) {
            *s = Server { gone: true, ..Server::default() };
        }
    }

    /// The list stays and is asked for again, at a time drawn so that the copies don't flood discovery.
    pub fn endpoint_watch_failed(&mut self, now: u64) {
        self.now = now;
        if let Some(within) = self.terms.must_ask_in {
            let wait = (1.0 + self.chance.unit()) * within as f64 / 8.0;
            self.host.wake(wait as u64, LABEL_LIST);
        }
    }

    pub fn routes(&mut self, routes: Vec<Vec<RoutePolicy>>) {
        let lane = |rows| Rc::new(RefCell::new(Lane { rows, ..Lane::default() }));
        self.lanes = routes.into_iter().map(lane).collect();
    }

    pub fn query(&mut self, now: u64, query: usize, arrival: Arrival) {
        self.now = now;
        if query >= self.queries.len() {
            self.queries.resize_with(query + 1, Query::default);
        }
        note_time(&mut self.arrivals, now, CHECK);
        let Arrival { product, tenant, mut deadline, route } = arrival;
        let lane = route.and_then(|route| self.lanes.get(route).cloned());
        if let Some(mut lane) = lane.as_ref().map(|lane| lane.borrow_mut()) {
            note_time(&mut lane.came, now, CHECK);
            deadline = lane.rows.get(product).map_or(deadline, |row| deadline.min(now + row.time));
        }
        // An answer that earns nothing is not worth a server's time.
        let earns = self.terms.products.get(product).filter(|row| row.tardy_importance == 0.0);
        let give_up = earns.map_or(deadline, |row| deadline.min(now + row.slo_time));
        let give_up = give_up.saturating_sub(2 * self.terms.tick);
        let known = product < self.terms.products.len();
        let product = product.min(self.terms.products.len() - 1);
        self.queries[query] =
            Query { live: true, product, came: now, deadline, give_up, lane, ..Query::default() };
        if !known
            || self.full(tenant)
            || !(self.ask(query) || (!self.terms.load_by_probe && self.place(query)))
        {
            return self.finish(query);
        }
        let times = self.let_in.get_mut(tenant).into_iter().chain([&mut self.admitted]);
        times.for_each(|times| note_time(times, now, CHECK));
    }

    pub fn started(&mut self, now: u64, query: usize, exec: usize) {
        self.now = now;
        let Some(q) = self.queries.get_mut(query) else { return };
        q.live = false;
        self.cancel_all_but(query, Some(exec));
    }

    pub fn completed(&mut self, now: u64, query: usize, exec: usize, ending: ExecutionEnd) {
        self.now = now;
        let Some(q) = self.queries.get_mut(query) else { return };
        let Some(e) = q.execs.get_mut(exec).filter(|e| e.ended.is_none()) else { return };
        e.ended = Some(ending.outcome);
        let (server, struck, product, was_live) = (e.server, e.struck, q.product, q.live);
        q.live &= !ending.over;
        self.servers[server].own = self.servers[server].own.saturating_sub(1);
        self.note_report(server, ending.report);
        match ending.outcome {
            Outcome::Completed => self.note_served(server, product, ending.spent),
            outcome if struck || outcome.says_nothing_of_server() => {}
            _ => self.note_failure(server),
        }
        let q = &self.queries[query];
        if was_live && ending.over {
            self.cancel_all_but(query, None);
        } else if q.live && q.execs.iter().all(|e| e.ended.is_some()) {
            let wait = self.wait_to_repeat(query, ending.outcome).unwrap_or(u64::MAX);
            let late = now.saturating_add(wait).saturating_add(self.usual_latency(product))
                >= self.queries[query].give_up;
            if late || ending.outcome == Outcome::Unfit || (wait == 0 && !self.place(query)) {
                self.finish(query);
            } else if wait > 0 {
                self.queries[query].held = true;
                self.look_in(query, wait);
            }
        }
    }

    pub fn withdrawn(&mut self, now: u64, query: usize) {
        self.now = now;
        if let Some(q) = self.queries.get_mut(query).filter(|q| q.live) {
            q.live = false;
            self.cancel_all_but(query, None);
        }
    }

    /// The program ends at `until`, and what is in hand must have its answer by then.
    pub fn stopping(&mut self, now: u64, until: u64) {
        self.now = now;
        for (query, q) in self.queries.iter_mut().enumerate().filter(|(_, q)| q.live && q.give_up > until) {
            (q.give_up, q.next_look) = (until, q.next_look.min(until));
            self.host.wake(until.saturating_sub(now), LABEL_QUERIES + query as u32);
        }
    }

    pub fn probed(&mut self, now: u64, server: usize, answered: bool, report: LoadReport) {
        self.now = now;
        let Some(_) = self.servers.get(server) else { return };
        self.note_report(server, report);
        let Some((query, came)) = self.servers[server].askers.pop_front() else { return };
        push(&mut self.waited, RESULTS, now - came);
        if answered {
            self.note_load(server);
        } else if self.terms.load_by_probe {
            self.note_failure(server);
        }
        let waits = self.queries.get(query).is_some_and(|q| q.live && q.came == came && q.execs.is_empty());
        if waits && self.terms.load_by_probe {
            self.queries[query].unheard = self.queries[query].unheard.saturating_sub(1);
            if self.queries[query].unheard == 0 && !self.settle(query) {
                self.finish(query);
            }
        } else if waits && answered && self.fit(server) {
            self.execute(query, server);
        }
    }

    pub fn timer(&mut self, now: u64, label: u32) {
        self.now = now;
        match label {
            LABEL_CHECK => self.check(),
            LABEL_LIST => self.host.follow_endpoints(),
            _ => self.look((label - LABEL_QUERIES) as usize),
        }
    }

    fn look(&mut self, query: usize) {
        let Some(q) = self.queries.get_mut(query).filter(|q| q.live) else { return };
        if self.now < q.next_look {
            return;
        }
        let asks = q.execs.is_empty() || q.held;
        let (product, count) = (q.product, q.execs.len());
        if self.now >= q.give_up || (asks && !self.settle(query)) {
            return self.finish(query);
        } else if asks {
            return;
        }
        let since = self.now.saturating_sub(self.patience(product));
        let silent = |e: &Exec| {
            e.ended.is_none() && !e.struck && e.sent <= since && self.servers[e.server].last_answer < e.sent
        };
        // Guards against a server that has answered nobody since; where no other may have the query, it waits.
        if let Some(exec) = self.queries[query].execs.iter().rposition(silent) {
            let e = &mut self.queries[query].execs[exec];
            e.struck = true;
            let server = e.server;
            self.note_failure(server);
            let time = self.now + self.usual_latency(product) < self.queries[query].give_up;
            let repeats = self.terms.products[product].effect != Effect::NonIdempotent;
            if time && repeats && count < self.terms.max_executions {
                if self.terms.allow_hedging && self.place(query) {
                    return;
                }
                if !self.terms.allow_hedging && self.terms.cancel && self.choose(query, &[], false).is_some()
                {
                    self.host.cancel(query, exec);
                }
            }
        }
        let copy_at = self.copy_at(query).filter(|&at| at <= self.now);
        if copy_at.is_some() && self.wait_to_repeat(query, Outcome::TimedOut).is_some() && self.place(query) {
            return;
        }
        self.look_in(query, self.patience(self.queries[query].product));
    }

    fn look_in(&mut self, query: usize, wait: u64) {
        let copy_at = self.copy_at(query).filter(|&at| at > self.now).unwrap_or(u64::MAX);
        let q = &mut self.queries[query];
        q.next_look = q.give_up.min(self.now + wait).min(copy_at).max(self.now + 1);
        self.host.wake(q.next_look - self.now, LABEL_QUERIES + query as u32);
    }

    fn conditions<T>(&self, query: usize, of: impl FnOnce(&RoutePolicy) -> T) -> Option<T> {
        let q = &self.queries[query];
        q.lane.as_ref().and_then(|lane| lane.borrow().rows.get(q.product).map(of))
    }

    /// The wait before another execution after this outcome; none where the route or its budget forbids one.
    /// Guards against repeats that multiply the traffic of an outage.
    fn wait_to_repeat(&mut self, query: usize, outcome: Outcome) -> Option<u64> {
        let q = &self.queries[query];
        let Some(mut lane) = q.lane.as_ref().map(|lane| lane.borrow_mut()) else { return Some(0) };
        let Lane { rows, came, repeats } = &mut *lane;
        let Some(row) = rows.get(q.product) else { return Some(0) };
        let room =
            count_times(repeats, self.now, CHECK) + 1.0 <= row.budget * count_times(came, self.now, CHECK);
        let spread = if row.wait > 0 { self.chance.unit() * row.spread } else { 0.0 };
        (room && row.retry_on.allows(outcome)).then(|| row.wait + (row.wait as f64 * spread) as u64)
    }

    /// When a second copy of a query is due; never where no answer has told yet what is long.
    fn copy_at(&self, query: usize) -> Option<u64> {
        let copy = self.conditions(query, |row| row.hedge)?;
        let q = &self.queries[query];
        let [first] = q.execs.as_slice() else { return None };
        let after = match copy {
            HedgePolicy::Never => None,
            HedgePolicy::After(after) => Some(after),
            HedgePolicy::Quantile(rank) => self.latency_rank(q.product, rank),
        };
        after.filter(|_| self.terms.allow_hedging && first.ended.is_none()).map(|after| first.sent + after)
    }

    /// Where a copy hears too seldom of each server, it asks some, and the first to answer gets the query, or
    /// `settle` decides. Guards against servers slower than listed, choked, hung or crowded by other copies.
    fn ask(&mut self, query: usize) -> bool {
        let slo_time = self.terms.products[self.queries[query].product].slo_time;
        let heard = SELDOM * slo_time as f64 * self.rate(&self.arrivals, CHECK) / 1e6;
        let quick = self.runs.latest() < QUICK * self.runs.least();
        let by_probe = self.terms.load_by_probe;
        if !self.terms.probes_pay || (!by_probe && (quick || heard >= self.reach.len() as f64)) {
            return false;
        }
        let many = if by_probe && self.terms.probe_dear { 1 } else { ASKED };
        let (mut asked, mut unheard) = (Vec::with_capacity(many), 0);
        while asked.len() < many
            && let Some(server) = self.choose(query, &asked, false)
        {
            asked.push(server);
            if self.load(server).is_none() {
                unheard += 1;
                self.servers[server].askers.push_back((query, self.now));
                note_time(&mut self.probes, self.now, CHECK);
                self.host.probe(server);
            }
        }
        self.look_in(query, if by_probe { self.shortest } else { slo_time } / 8);
        let any = !asked.is_empty();
        if by_probe {
            (self.queries[query].asked, self.queries[query].unheard) = (asked, unheard);
        }
        any && (unheard > 0 || self.settle(query))
    }

    /// Of the servers asked that told their load and have room, the one with least for its strength gets the
    /// query. Guards against servers that other copies fill, of which own calls say nothing.
    fn settle(&mut self, query: usize) -> bool {
        let asked = std::mem::take(&mut self.queries[query].asked);
        if asked.is_empty() {
            return self.place(query);
        }
        let told = |&i: &usize| self.fit(i) && self.load(i).is_some() && self.has_room(i);
        let told: Vec<usize> = asked.into_iter().filter(told).collect();
        let load = |(&i, strength)| ((self.load(i).unwrap_or(0.0) + 1.0) / strength, i);
        let least = told.iter().zip(self.strengths(&told)).map(load).min_by(|a, b| a.0.total_cmp(&b.0));
        least.is_some_and(|(_, server)| self.execute(query, server))
    }

    /// What the server holds by its last report and this copy's sends since, while that report is fresh.
    fn load(&self, server: usize) -> Option<f64> {
        let s = &self.servers[server];
        let (held, at) = s.held.filter(|&(_, at)| self.now <= at + self.shortest / 8)?;
        Some(held + s.sent.iter().rev().take_while(|sent| sent.0 >= at).count() as f64)
    }

    /// What a server serves in a part of the shortest SLO time, or in the time that counts as full if less.
    fn most_held(&self, server: usize) -> f64 {
        let s = &self.servers[server];
        let time = (FULL * self.runs.least()).min(self.shortest as f64 / ROOM) / 1e6;
        // Probes that wait as queries do are told among those served.
        let waits = self.waited.iter().any(|&time| time >= self.shortest / 32);
        let (probes, served) = (self.rate(&self.probes, CHECK), self.rate(&self.served, CHECK));
        let among = if waits { 1.0 + probes / served.max(1.0) } else { 1.0 };
        (time * s.told.or(s.rates.back().map(|rate| rate / among)).unwrap_or(f64::MAX)).max(1.0)
    }

    /// A zone's share let in falls while servers asked there hold too much, and rises slowly. Guards against
    /// overload where all copies see the same old reports: by these alone all would send at once, or none.
    fn note_load(&mut self, server: usize) {
        let Some((held, _)) = self.servers[server].held else { return };
        let (most, zone) = (self.most_held(server), self.servers[server].zone);
        let span = (self.now - self.zones[zone].moved).min(self.shortest) as f64 / self.shortest as f64;
        let fallen = if held > most { (-span).exp() } else { 1.0 };
        (self.zones[zone].passes, self.zones[zone].moved) = (self.share(zone) * fallen, self.now);
    }

    fn share(&self, zone: usize) -> f64 {
        // It rises by time alone: where hardly a query is let in, hardly a server is asked.
        let risen = (self.now - self.zones[zone].moved) as f64 / (RISE * self.shortest as f64);
        (self.zones[zone].passes + risen).min(1.0)
    }

    /// Sends the query somewhere, if any server may have it. Guards against groups so small that no other
    /// server may repeat what one has spoilt: that one may.
    fn place(&mut self, query: usize) -> bool {
        let spoilt = self.queries[query].execs.iter().any(|e| e.ended.is_some_and(Outcome::may_pass));
        let first = self.choose(query, &[], false);
        let server = if first.is_none() && spoilt { self.choose(query, &[], true) } else { first };
        server.is_some_and(|server| self.execute(query, server))
    }

    /// The one way out for executions: rules 2 to 4 and the query's state are checked here.
    fn execute(&mut self, query: usize, server: usize) -> bool {
        let q = &self.queries[query];
        let most = self.conditions(query, |row| row.executions).unwrap_or(usize::MAX);
        let open = q.live && self.now < q.give_up && q.execs.len() < most.min(self.terms.max_executions);
        let alone = self.terms.allow_hedging || q.execs.iter().all(|e| e.ended.is_some());
        let s = &self.servers[server];
        if !open || !alone || !s.ready || !self.may_repeat_at(query, server, None) || !self.cold_room(server)
        {
            return false;
        }
        let exec = Exec { server, zone: s.zone, cell: s.cell, sent: self.now, ended: None, struck: false };
        let usual = mean((0..self.latencies.len()).map(|product| self.usual_latency(product) as f64));
        let work = (self.usual_latency(q.product) as f64 / usual.max(1.0)).max(1.0);
        let longest = self.conditions(query, |row| row.execution_time).unwrap_or(u64::MAX);
        let q = &mut self.queries[query];
        if let Some(lane) = q.lane.as_ref().filter(|_| !q.execs.is_empty()) {
            note_time(&mut lane.borrow_mut().repeats, self.now, CHECK);
        }
        q.held = false;
        q.execs.push(exec);
        self.servers[server].own += 1;
        push(&mut self.servers[server].sent, 64, (self.now, work));
        self.host.execute(query, server, longest.min(q.deadline - self.now));
        self.look_in(query, self.patience(self.queries[query].product));
        true
    }

    /// Asked right before an execution's first byte. Guards against a connection that comes up too late.
    pub fn may_begin(&mut self, now: u64, query: usize, exec: usize) -> bool {
        self.now = now;
        self.may_repeat_at(query, self.queries[query].execs[exec].server, Some(exec))
    }

    /// Rule 2: whether another execution, or this one, on this server can do no harm after the others.
    fn may_repeat_at(&self, query: usize, server: usize, this: Option<usize>) -> bool {
        let (q, s) = (&self.queries[query], &self.servers[server]);
        let row = &self.terms.products[q.product];
        let others = q.execs.iter().enumerate().filter(|&(exec, _)| Some(exec) != this).map(|(_, e)| e);
        let mut ran = others.filter(|e| !e.ended.is_some_and(Outcome::never_ran));
        let within = |group: Group, e: &Exec| match group {
            Group::All => true,
            Group::Zone => e.zone == s.zone,
            Group::Cell => e.cell == s.cell,
        };
        let named = |names: &[usize], name: usize| names.is_empty() || names.contains(&name);
        let by_route = |row: &RoutePolicy| {
            let near = ran.clone().all(|e| within(row.near, e));
            near && named(&row.zones, s.zone) && named(&row.kinds, s.kind)
        };
        if self.conditions(query, by_route) == Some(false) {
            return false;
        }
        match row.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => ran.next().is_none(),
            Effect::Deduplicated(group) => {
                ran.all(|e| within(group, e) && self.now + 2 * self.terms.tick < e.sent + row.memory_span)
            }
        }
    }

    /// The one way out for final answers: a rejection where nothing can have happened, else an abort.
    fn finish(&mut self, query: usize) {
        let Some(q) = self.queries.get_mut(query).filter(|q| q.live) else { return };
        q.live = false;
        let row = &self.terms.products[q.product];
        let repeatable = matches!(row.effect, Effect::Idempotent | Effect::Deduplicated(Group::All));
        if repeatable || q.execs.iter().all(|e| e.ended.is_some_and(Outcome::never_ran)) {
            self.host.reject(query, (row.slo_time / 2).min(self.terms.max_retry_after));
        } else {
            self.host.abort(query);
        }
        self.cancel_all_but(query, None);
    }

    fn cancel_all_but(&mut self, query: usize, kept: Option<usize>) {
        for (exec, e) in self.queries[query].execs.iter().enumerate() {
            if self.terms.cancel && e.ended.is_none() && Some(exec) != kept {
                self.host.cancel(query, exec);
            }
        }
    }

    /// Guards against overload: by Little's law what is in flight over what is served is the time that one
    /// query more takes. Only the first tier rejects: what those below turn away is work lost above.
    fn full(&self, tenant: usize) -> bool {
        let least = self.runs.least();
        let recent = self.rate(&self.served, CHECK).max(self.rate(&self.served, CHECK / 4));
        let most = (FULL * least * recent / 1e6).max(self.listed.len() as f64 / self.terms.balancers as f64);
        // With few in flight chance alone brings their number above the limit by about its root.
        let most = most + most.sqrt().max(1.0);
        let held = self.servers.iter().map(|s| s.own).sum::<usize>() as f64;
        let rejects = self.terms.tier == 0 && !self.terms.load_by_probe && least < f64::MAX;
        rejects && (held > most || (held > BEYOND * most && self.beyond_share(tenant)))
    }

    /// This copy's part of the traffic: what it lets in, less what chance brings, of the rates that servers
    /// tell, else of all tenants' shares; an even part at the least. Guards against taking favoured copies
    /// for ones like the others.
    fn part(&self) -> f64 {
        let even = 1.0 / self.terms.balancers as f64;
        let told = mean(self.listed.iter().filter_map(|&i| self.servers[i].rates.back().copied()));
        let own = self.rate(&self.admitted, CHECK);
        let own = own - (own * 1e6 / CHECK as f64).sqrt();
        let quotas = self.terms.tenant_quotas.iter().sum();
        let all = if told > 0.0 { told * self.listed.len() as f64 } else { quotas };
        if all > 0.0 { (own / all).clamp(even, 1.0) } else { even }
    }

    /// Whether it has let in more of the tenant's queries than its part of the share, and than chance brings.
    fn beyond_share(&self, tenant: usize) -> bool {
        let part = self.terms.tenant_quotas.get(tenant).map_or(0.0, |quota| quota * self.part());
        part > 0.0 && self.rate(&self.let_in[tenant], CHECK) > part + (part * 1e6 / CHECK as f64).sqrt()
    }

    /// The design's ordinary path: a zone by its weight, inside it a random server (beside those `asked`, and
    /// those that had the query, but for spoilt answers if `again`), passing over the crowded.
    fn choose(&mut self, query: usize, asked: &[usize], again: bool) -> Option<usize> {
        let weights = self.weights();
        let mut fit: Vec<usize> = Vec::with_capacity(self.listed.len());
        let mut open = vec![0.0; weights.len()];
        let strict = self.terms.load_by_probe || self.reach.iter().any(|&i| self.fit(i) && self.has_room(i));
        for i in 0..self.reach.len() {
            let server = self.reach[i];
            let had = |e: &Exec| e.server == server && !(again && e.ended.is_some_and(Outcome::may_pass));
            let tried = self.queries[query].execs.iter().any(had) || asked.contains(&server);
            // Servers asked together share a zone, so that the ways to them are alike.
            let near = |&first: &usize| self.servers[first].zone == self.servers[server].zone;
            // A cold server gets the part of an even share that it can do.
            let warm = self.warmth(server) >= 1.0 || self.chance.unit() < self.warmth(server);
            let may = self.fit(server) && self.cold_room(server) && self.may_repeat_at(query, server, None);
            if may && warm && !tried && asked.first().is_none_or(near) && (!strict || self.has_room(server)) {
                fit.push(server);
                let zone = self.servers[server].zone;
                open[zone] = f64::max(weights[zone], f64::MIN_POSITIVE);
            }
        }
        let mut zone = self.chance.pick(&open)?;
        let (home, sheds) = (self.terms.home, self.terms.load_by_probe && asked.is_empty());
        let stays = self.stays(if self.terms.streams > 1 { &self.listed } else { &fit });
        let stays = stays * if sheds && home < self.zones.len() { self.share(home) } else { 1.0 };
        if stays > 0.0 && open.get(home).is_some_and(|&o| o > 0.0) && self.chance.unit() < stays {
            zone = home;
        } else if sheds && self.chance.unit() >= self.share(zone) {
            return None;
        }
        fit.retain(|&server| self.servers[server].zone == zone);
        let strengths = self.strengths(&fit);
        let own = |server: usize| self.servers[server].own as f64;
        let most = PASS_OVER * mean(fit.iter().zip(&strengths).map(|(&i, strength)| own(i) / strength));
        // A random draw in proportion to strength: the least of exponential times, each at its server's pace.
        let mut chosen = None;
        for (&server, strength) in fit.iter().zip(&strengths) {
            let time = -(1.0 - self.chance.unit()).ln() / strength;
            let crowded = (own(server) + 1.0) / strength > most;
            let rank = (if crowded { own(server) / strength } else { -1.0 }, time);
            if chosen.is_none_or(|(least, _)| rank < least) {
                chosen = Some((rank, server));
            }
        }
        chosen.map(|(_, server)| server)
    }

    /// Where crossings cost and zones have two copies, the chance that a query stays home: by its servers'
    /// part of all, for this copy and an even part of the rest for its others. Guards against crossings that
    /// a cut or a lost zone fails; of one copy a zone the loss would bring all to another's home. Where a
    /// first tier's answers take so long that tenants are rejected, home is too small, and weights decide.
    fn stays(&self, among: &[usize]) -> f64 {
        let all: f64 = among.iter().map(|&i| self.able(i)).sum();
        let home = among.iter().filter(|&&i| self.servers[i].zone == self.terms.home);
        let home: f64 = home.map(|&i| self.able(i)).sum();
        let strained = self.terms.tier == 0 && self.runs.latest() > BEYOND * FULL * self.runs.least();
        let pays = self.terms.cross_zone > 0.0 && self.terms.balancers >= 2 * self.zones.len();
        if strained || !pays || home <= 0.0 {
            return 0.0;
        }
        let (zones, part) = (self.zones.len() as f64, self.part());
        let all_but_it = (self.terms.balancers - 1) as f64;
        let others = (1.0 - part) * (self.terms.balancers as f64 / zones - 1.0) / all_but_it;
        (home / all / (part + others)).min(1.0)
    }

    /// What each server can do against the others: by its reports, else by its listed size and those of all;
    /// less where its last answers took longer than usual.
    fn strengths(&self, servers: &[usize]) -> Vec<f64> {
        let usual = self.usual_time();
        let told = self.listed.iter().map(|&i| &self.servers[i]).filter_map(|s| Some((s.told?, s.size)));
        let (all, sizes) = told.fold((0.0, 0.0), |sum, told| (sum.0 + told.0, sum.1 + told.1));
        let strength = |&i: &usize| {
            let s = &self.servers[i];
            let known = s.took.len() >= 3 && usual > 0.0;
            let pace = if known { (usual / mean(s.took.iter().copied())).clamp(0.25, 1.0) } else { 1.0 };
            s.told.unwrap_or(if sizes > 0.0 { all / sizes * s.size } else { s.size }) * pace
        };
        servers.iter().map(strength).collect()
    }

    fn usual_time(&self) -> f64 {
        let known = self.listed.iter().filter(|&&i| self.fit(i) && self.servers[i].took.len() >= 3);
        ranked(known.map(|&i| mean(self.servers[i].took.iter().copied())), 0.5).unwrap_or(0.0)
    }

    /// Guards against one good first-tier server taking the load of others with room: what it holds of this
    /// copy's, times the copies, must be served in the least mean time at the best rate that it told of.
    fn has_room(&self, server: usize) -> bool {
        let s = &self.servers[server];
        if self.terms.load_by_probe {
            // One that has not answered in time has no room either.
            let silent = s.askers.front().is_some_and(|&(_, came)| came + self.shortest / 8 <= self.now);
            return !silent && self.load(server).is_none_or(|load| load <= self.most_held(server));
        }
        let held = (s.own * self.terms.balancers) as f64;
        let best = s.rates.iter().copied().reduce(f64::max);
        self.terms.tier > 0
            || s.own == 0
            || best.is_none_or(|rate| held <= self.runs.least() / 1e6 * PEAK * rate)
    }

    fn fit(&self, server: usize) -> bool {
        self.servers[server].ready && !self.is_aside(server)
    }

    fn able(&self, server: usize) -> f64 {
        if self.fit(server) { self.warmth(server) } else { 0.0 }
    }

    /// Resting, or on trial with one call out.
    fn is_aside(&self, server: usize) -> bool {
        let s = &self.servers[server];
        self.now < s.aside_until || (s.strikes > 0 && s.own > 0)
    }

    /// The least part of its capacity that a server can have reached since its start.
    fn warmth(&self, server: usize) -> f64 {
        let started_at = self.servers[server].started_at;
        let age = self.now.saturating_sub(started_at);
        if started_at == 0 || age >= self.terms.slow_start_time {
            return 1.0;
        }
        self.terms.slow_start_from
            + (1.0 - self.terms.slow_start_from) * age as f64 / self.terms.slow_start_time as f64
    }

    /// Rule 4: whether this copy's part of a cold server's budget has room for one more execution. With many
    /// copies it is well under one call; chance rounds it, so that all together keep to the sum.
    fn cold_room(&self, server: usize) -> bool {
        let warmth = self.warmth(server);
        if warmth >= 1.0 {
            return true;
        }
        let since = self.now.saturating_sub(self.terms.tip_after);
        let s = &self.servers[server];
        let spent: f64 = s.sent.iter().filter(|sent| sent.0 >= since).map(|sent| sent.1).sum();
        // Half the multiple of what warm servers of like size serve of this copy's. What only came is no
        // measure in a jam, when callers repeat; it stands in while nothing was served, over a whole check.
        let sizes: f64 = self.listed.iter().map(|&i| self.servers[i].size).sum();
        let served = Some(self.rate(&self.served, CHECK)).filter(|&rate| rate > 0.0);
        let rate = served.unwrap_or(self.arrivals.len() as f64 * 1e6 / CHECK as f64);
        let even = rate * s.size / sizes * self.terms.tip_after as f64 / 1e6;
        spent + 1.0 <= even * warmth * self.terms.fall_multiple / 2.0 + s.luck
    }

    fn note_report(&mut self, server: usize, report: LoadReport) {
        let s = &mut self.servers[server];
        if self.terms.load_by_probe {
            s.held = report.held.map(|held| (held, self.now)).or(s.held);
        }
        if let Some(rate) = report.throughput.filter(|rate| s.rates.back() != Some(rate)) {
            push(&mut s.rates, RATES, rate);
        }
        if let (Some(rate), Some(busy)) = (report.throughput, report.utilization)
            && s.busy.back() != Some(&(rate, busy))
        {
            push(&mut s.busy, RESULTS, (rate, busy));
            let (rate, busy) = s.busy.iter().fold((0.0, 0.0), |sum, told| (sum.0 + told.0, sum.1 + told.1));
            s.told = (rate > 0.0 && busy > 0.0).then(|| rate / busy);
        }
    }

    fn note_served(&mut self, server: usize, product: usize, spent: u64) {
        push(&mut self.latencies[product], LATENCIES, spent);
        note_time(&mut self.served, self.now, CHECK);
        self.runs.note(self.now, spent as f64, CHECK);
        let took = spent as f64 / self.usual_latency(product).max(1) as f64;
        let s = &mut self.servers[server];
        let zone = s.zone;
        (s.last_answer, s.strikes) = (self.now, 0);
        push(&mut s.results, RESULTS, true);
        push(&mut s.took, RESULTS, took);
        let sample = (self.now, self.load_per_ready(zone), spent as f64);
        push(&mut self.zones[zone].samples, ZONE_SAMPLES, sample);
    }

    fn note_failure(&mut self, server: usize) {
        let results = &mut self.servers[server].results;
        push(results, RESULTS, false);
        // Guards against servers that fail quickly or answer nothing: few calls in flight attract more.
        let bad = results.iter().filter(|&&good| !good).count();
        let in_a_row = results.iter().rev().take_while(|&&good| !good).count();
        if in_a_row >= 2 || (bad >= 2 && 2 * bad >= results.len()) {
            self.set_aside(server);
        }
    }

    /// No new calls for the longest SLO time, doubled each time that the trial after it fails too; once half
    /// the list is aside the fault is not theirs.
    fn set_aside(&mut self, server: usize) {
        let aside = self.listed.iter().filter(|&&i| self.is_aside(i)).count();
        if aside < self.listed.len() / 2 {
            let rest = self.terms.products.iter().map(|p| p.slo_time).max().unwrap_or(0);
            let s = &mut self.servers[server];
            s.aside_until = self.now + (rest << s.strikes.min(3));
            s.strikes += 1;
            self.draw_reach();
        }
    }

    fn usual_latency(&self, product: usize) -> u64 {
        self.latency_rank(product, 0.5).unwrap_or(0)
    }

    /// How long an execution may be out before the silence of its server counts against it.
    fn patience(&self, product: usize) -> u64 {
        self.latency_rank(product, 0.9).map_or(self.terms.products[product].slo_time, |l| SILENT * l)
    }

    fn latency_rank(&self, product: usize, rank: f64) -> Option<u64> {
        ranked(self.latencies[product].iter().copied(), rank)
    }

    fn wake_for_check(&mut self) {
        // Parents settle first: each tier's checks come one settling time after those of the tier above.
        let phase = (self.terms.tier as u64 * SETTLE) % CHECK;
        self.host.wake(CHECK - (self.now + CHECK - phase) % CHECK, LABEL_CHECK);
    }

    fn rate(&self, times: &VecDeque<u64>, span: u64) -> f64 {
        rate(times, self.now, self.now.saturating_sub(span).max(self.start), CHECK / 10)
    }

    fn ready_count(&self, zone: usize) -> f64 {
        self.listed.iter().filter(|&&i| self.servers[i].zone == zone && self.fit(i)).count() as f64
    }

    /// The share of each zone: solved weight times ready servers, and a small floor.
    fn weights(&self) -> Vec<f64> {
        let mut weights = vec![0.0; self.zones.len()];
        for &i in self.listed.iter().filter(|&&i| self.fit(i)) {
            weights[self.servers[i].zone] += self.zones[self.servers[i].zone].each;
        }
        shares(weights, FLOOR_SHARE)
    }

    /// Queries a second on each ready server of the zone: as reported, else this copy's own for all copies.
    fn load_per_ready(&self, zone: usize) -> f64 {
        let ready = || self.listed.iter().filter(|&&i| self.servers[i].zone == zone && self.fit(i));
        let told = || ready().filter_map(|&i| self.servers[i].rates.back().copied());
        if told().next().is_some() {
            return mean(told());
        }
        let own = self.rate(&self.arrivals, CHECK) * self.weights()[zone] * self.terms.balancers as f64;
        own / self.ready_count(zone).max(1.0)
    }

    fn check(&mut self) {
        self.wake_for_check();
        self.draw_reach();
        let changed = |old: f64, new: f64| (new - old).abs() > CHANGE * old;
        let rate = self.rate(&self.arrivals, CHECK);
        let seen: Vec<_> = (0..self.zones.len()).map(|z| (self.ready_count(z), self.line(z).2)).collect();
        let mut zones = self.zones.iter().map(|z| z.solved).zip(&seen);
        let moved = zones.any(|(old, new)| changed(old.0, new.0) || changed(old.1, new.1));
        if moved || changed(self.solved_rate, rate) {
            self.solved_rate = rate;
            self.zones.iter_mut().zip(seen).for_each(|(z, seen)| z.solved = seen);
            self.solve(rate * self.terms.balancers as f64);
        }
    }

    /// Zone latency as a + b * load per ready server by decayed least squares; its mean, the samples' weight.
    fn line(&self, zone: usize) -> (f64, f64, f64, f64) {
        rising(decayed(&self.zones[zone].samples, self.now, 2 * CHECK), LEAST_SLOPE)
    }

    fn solve(&mut self, rate: f64) {
        // A crossing costs as if a query came late by that part of its SLO time.
        let slo_time = mean(self.terms.products.iter().map(|row| row.slo_time as f64));
        let place = |zone: usize| Place {
            ready: self.ready_count(zone),
            load: self.load_per_ready(zone),
            line: self.line(zone),
            crossing: if zone == self.terms.home { 0.0 } else { self.terms.cross_zone * slo_time },
        };
        let (places, weights): (Vec<_>, _) = ((0..self.zones.len()).map(place).collect(), self.weights());
        let solved = solve(&mut self.chance, &places, &weights, rate).into_iter().flatten();
        self.zones.iter_mut().zip(solved).for_each(|(zone, each)| zone.each = each);
    }
}

/// A zone or a region: its ready servers, the load on each, its `line`, and the cost of going there.
pub struct Place {
    pub ready: f64,
    pub load: f64,
    pub line: (f64, f64, f64, f64),
    pub crossing: f64,
}

/// Tries a few shifts of weight between two places and keeps the one with the lowest predicted latency: each
/// place's weight for a ready server. `rate` is all that the weights divide.
pub fn solve(chance: &mut Pcg, places: &[Place], weights: &[f64], rate: f64) -> Option<Vec<f64>> {
    let open: Vec<usize> = (0..places.len()).filter(|&z| places[z].ready > 0.0).collect();
    let known: f64 = places.iter().map(|place| place.line.3).sum();
    if open.len() < 2 || known <= 0.0 {
        return None;
    }
    // A fit whose samples have aged away leans on the others' mean.
    let a = places.iter().map(|place| place.line.3 * place.line.0).sum::<f64>() / known;
    let b = places.iter().map(|place| place.line.3 * place.line.1).sum::<f64>() / known;
    let predict = |shares: &[f64]| -> f64 {
        let latency = |&z: &usize| {
            let Place { ready, load, line, crossing } = &places[z];
            let load = load + (shares[z] - weights[z]) * rate / ready;
            let trust = line.3.min(1.0);
            let (a, b) = (trust * line.0 + (1.0 - trust) * a, trust * line.1 + (1.0 - trust) * b);
            shares[z] * (a + b * load.max(0.0) + crossing)
        };
        open.iter().map(latency).sum()
    };
    let best = least_cost(chance, weights, &open, &MOVES, predict);
    let all: f64 = places.iter().map(|place| place.ready).sum();
    let each = |(p, weight): (&Place, f64)| if p.ready > 0.0 { weight * all / p.ready } else { 1.0 };
    Some(places.iter().zip(best).map(each).collect())
}
