//! All decisions of one balancer. The host builds a `Balancer` with the deployment's terms and its seed and
//! calls one method for each thing that happens: `list_cached`, `list_whole`, `list_changed`, `list_failed`,
//! `query`, `started`, `completed`, `withdrawn`, `probed`, `timer`. The balancer acts only by calling the
//! `Host` trait, which `host.rs` defines together with the plain types handed over.
//! `docs/design.md` tells what follows the design page and under which conditions an exception acts.

use std::collections::VecDeque;

use crate::host::{Arrival, Effect, Entry, Group, Host, LoadReport, Outcome, Standing, Terms};
use crate::pcg::Pcg;

// The design's own figures.
const CHECK: u64 = 5_000_000;
const SETTLE: u64 = 3_000_000;
const CHANGE: f64 = 0.2;
const STEP: f64 = 0.1;
const CANDIDATES: usize = 10;
const PASS_OVER: f64 = 2.0;
// Left open by the design.
const BEYOND: f64 = 0.5;
const SLACK: f64 = 1.0;
const SLOW: f64 = 3.0;
const WHOLE: f64 = 0.5;
const GAIN: f64 = 3.0;
const FLOOR_SHARE: f64 = 0.02;
const LEAST_SLOPE: f64 = 0.1;
const ZONE_SAMPLES: usize = 64;
const SERVER_RESULTS: usize = 8;
const REPORTS: usize = 32;
const PRODUCT_SAMPLES: usize = 32;

const LABEL_CHECK: u32 = 0;
const LABEL_LIST: u32 = 1;
const LABEL_QUERIES: u32 = 2;

struct Server {
    zone: usize,
    cell: usize,
    size: f64,
    born: u64,
    standing: Standing,
    /// This copy's own calls in flight.
    own: usize,
    /// Times of the last sends, kept while the server is cold.
    sent: VecDeque<u64>,
    /// The last outcomes: whether the server did its work.
    results: VecDeque<bool>,
    /// How long its last completed executions took.
    took: VecDeque<u64>,
    last_answer: u64,
    aside_until: u64,
    strikes: u32,
    report: LoadReport,
    /// The last reports that tell both: queries a second, and how busy the cores were with them.
    busy: VecDeque<(f64, f64)>,
}

struct Sample {
    at: u64,
    load: f64,
    latency: f64,
}

#[derive(Default)]
struct Zone {
    /// Weight for each ready server; the zone's weight is this times their number.
    each: f64,
    samples: VecDeque<Sample>,
    /// What the last solve saw.
    ready: f64,
    latency: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

struct Exec {
    server: usize,
    zone: usize,
    cell: usize,
    sent: u64,
    fate: Fate,
    /// Already counted against its server.
    struck: bool,
}

struct Query {
    live: bool,
    product: usize,
    arrived: u64,
    deadline: u64,
    give_up: u64,
    next_look: u64,
    execs: Vec<Exec>,
}

pub struct Balancer<H: Host> {
    pub host: H,
    terms: Terms,
    chance: Pcg,
    now: u64,
    start: u64,
    servers: Vec<Option<Server>>,
    listed: Vec<usize>,
    zones: Vec<Zone>,
    queries: Vec<Query>,
    /// The last served latencies, a row a product.
    latencies: Vec<VecDeque<u64>>,
    arrivals: VecDeque<u64>,
    /// The last arrivals, a row a tenant.
    by_tenant: Vec<VecDeque<u64>>,
    /// When the last queries were served.
    served: VecDeque<u64>,
    own_total: usize,
    /// Mean times of the last runs of served queries, in seconds.
    block_times: VecDeque<f64>,
    block: Vec<u64>,
    solved_rate: f64,
    asked: u64,
}

fn push<T>(ring: &mut VecDeque<T>, most: usize, item: T) {
    if ring.len() >= most {
        ring.pop_front();
    }
    ring.push_back(item);
}

/// What a server could do by its own reports: the rate it serves over the part of its cores that this takes.
fn told_strength(s: &Server) -> Option<f64> {
    let (rate, busy) = s.busy.iter().fold((0.0, 0.0), |sum, told| (sum.0 + told.0, sum.1 + told.1));
    (rate > 0.0 && busy > 0.0).then(|| rate / busy)
}

fn mean_took(s: &Server) -> f64 {
    s.took.iter().sum::<u64>() as f64 / s.took.len().max(1) as f64
}

/// Events a second over the last check period.
fn rate(times: &VecDeque<u64>, now: u64, start: u64) -> f64 {
    let since = now.saturating_sub(CHECK).max(start);
    let recent = times.iter().rev().take_while(|&&at| at >= since).count();
    recent as f64 * 1e6 / (now - since).max(CHECK / 10) as f64
}

impl<H: Host> Balancer<H> {
    pub fn new(host: H, terms: Terms, seed: u64, now: u64) -> Self {
        let zones = (0..terms.zones).map(|_| Zone { each: 1.0, ..Zone::default() }).collect();
        let by_tenant = terms.tenant_quotas.iter().map(|_| VecDeque::new()).collect();
        let latencies = terms.products.iter().map(|_| VecDeque::new()).collect();
        let mut balancer = Balancer {
            host,
            terms,
            chance: Pcg::new(seed),
            now,
            start: now,
            servers: Vec::new(),
            listed: Vec::new(),
            zones,
            queries: Vec::new(),
            latencies,
            arrivals: VecDeque::new(),
            by_tenant,
            served: VecDeque::new(),
            own_total: 0,
            block_times: VecDeque::new(),
            block: Vec::new(),
            solved_rate: 0.0,
            asked: now,
        };
        balancer.wake_for_check();
        balancer.ask_for_list();
        balancer
    }

    // ---- the list of servers

    /// The list as it was held last, perhaps out of date.
    pub fn list_cached(&mut self, now: u64, entries: &[Entry]) {
        self.list_whole(now, entries);
    }

    /// The complete list: whatever it lacks is gone.
    pub fn list_whole(&mut self, now: u64, entries: &[Entry]) {
        for &server in &self.listed {
            if let Some(s) = self.servers[server].as_mut() {
                s.standing = Standing::Gone;
            }
        }
        self.list_changed(now, entries);
    }

    pub fn list_changed(&mut self, now: u64, entries: &[Entry]) {
        self.now = now;
        for entry in entries {
            if entry.server >= self.servers.len() {
                self.servers.resize_with(entry.server + 1, || None);
            }
            if entry.zone >= self.zones.len() {
                self.zones.resize_with(entry.zone + 1, || Zone { each: 1.0, ..Zone::default() });
            }
            let slot = &mut self.servers[entry.server];
            match slot {
                Some(s) if s.born == entry.born => {}
                // A new start forgets what the process before it did, but not the calls still out.
                _ => {
                    let own = slot.as_ref().map_or(0, |s| s.own);
                    *slot = Some(Server {
                        zone: entry.zone,
                        cell: entry.cell,
                        size: entry.size,
                        born: entry.born,
                        standing: entry.standing,
                        own,
                        sent: VecDeque::new(),
                        results: VecDeque::new(),
                        took: VecDeque::new(),
                        last_answer: 0,
                        aside_until: 0,
                        strikes: 0,
                        report: LoadReport::default(),
                        busy: VecDeque::new(),
                    });
                }
            }
            if let Some(s) = slot {
                (s.zone, s.cell, s.size, s.standing) = (entry.zone, entry.cell, entry.size, entry.standing);
            }
        }
        let servers = &self.servers;
        let known =
            (0..servers.len()).filter(|&i| servers[i].as_ref().is_some_and(|s| s.standing != Standing::Gone));
        self.listed = known.collect();
    }

    /// The subscription or a call for the list failed: the list stays, and it is asked for again.
    pub fn list_failed(&mut self, now: u64) {
        self.now = now;
        // Spread over time, so that all copies together do not flood the list service.
        if let Some(within) = self.terms.must_ask_in {
            let wait = within / 8 + (self.chance.unit() * within as f64 / 8.0) as u64;
            self.host.wake(wait, LABEL_LIST);
        }
    }

    fn ask_for_list(&mut self) {
        if self.terms.must_ask_in.is_some() {
            self.asked = self.now;
            self.host.follow_list();
        }
    }

    // ---- queries

    pub fn query(&mut self, now: u64, qry: usize, arrival: Arrival) {
        self.now = now;
        if qry >= self.queries.len() {
            self.queries.resize_with(qry + 1, || Query {
                live: false,
                product: 0,
                arrived: 0,
                deadline: 0,
                give_up: 0,
                next_look: 0,
                execs: Vec::new(),
            });
        }
        push(&mut self.arrivals, 512, now);
        let known = arrival.product < self.terms.products.len();
        let product = if known { arrival.product } else { 0 };
        let margin = 2 * self.terms.tick;
        let mut give_up = arrival.deadline.saturating_sub(margin);
        // An answer that earns nothing is not worth a server's time.
        let row = &self.terms.products[product];
        if row.tardy_importance == 0.0 {
            give_up = give_up.min((now + row.slo_time).saturating_sub(margin));
        }
        let q = &mut self.queries[qry];
        q.execs.clear();
        q.live = true;
        (q.product, q.arrived, q.deadline, q.give_up) = (product, now, arrival.deadline, give_up);
        if !known || self.overfull(arrival.tenant) || !self.place(qry) {
            self.finish(qry);
            return;
        }
        if let Some(times) = self.by_tenant.get_mut(arrival.tenant) {
            push(times, 512, now);
        }
        self.look_again(qry);
    }

    pub fn started(&mut self, now: u64, qry: usize, exec: usize) {
        self.now = now;
        let Some(q) = self.queries.get_mut(qry) else { return };
        // A started stream belongs to the client and has no deadline.
        q.live = false;
        for other in (0..q.execs.len()).filter(|&e| e != exec) {
            if q.execs[other].fate == Fate::Out && self.terms.cancel {
                self.host.cancel(qry, other);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub fn completed(
        &mut self,
        now: u64,
        qry: usize,
        exec: usize,
        outcome: Outcome,
        over: bool,
        spent: u64,
        report: LoadReport,
    ) {
        self.now = now;
        let Some(q) = self.queries.get_mut(qry) else { return };
        let product = q.product;
        let Some(e) = q.execs.get_mut(exec) else { return };
        if e.fate != Fate::Out {
            return;
        }
        e.fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let (server, struck) = (e.server, e.struck);
        let was_live = q.live;
        q.live &= !over;
        self.note_report(server, report);
        self.own_total = self.own_total.saturating_sub(1);
        if let Some(s) = self.servers[server].as_mut() {
            s.own = s.own.saturating_sub(1);
        }
        match outcome {
            Outcome::Completed => {
                self.note_result(server, true);
                let slow = SLOW * self.usual();
                if let Some(s) = self.servers[server].as_mut() {
                    push(&mut s.took, SERVER_RESULTS, spent);
                    // Guards against a slow or choked server that holds much of what is in flight: it rests.
                    if slow > 0.0 && s.took.len() >= SERVER_RESULTS / 2 && mean_took(s) > slow {
                        s.took.clear();
                        self.set_aside(server);
                    }
                }
                self.block.push(spent);
                if self.block.len() >= 32 {
                    let mean = self.block.iter().sum::<u64>() as f64 / 32e6;
                    push(&mut self.block_times, 64, mean);
                    self.block.clear();
                }
                push(&mut self.served, 1024, now);
                push(&mut self.latencies[product], PRODUCT_SAMPLES, spent);
                if let Some(zone) = self.servers[server].as_ref().map(|s| s.zone) {
                    let load = self.load_per_ready(zone);
                    let sample = Sample { at: now, load, latency: spent as f64 };
                    push(&mut self.zones[zone].samples, ZONE_SAMPLES, sample);
                }
            }
            Outcome::Cancelled | Outcome::Moot => {}
            _ if struck => {}
            _ => self.note_result(server, false),
        }
        if was_live && over {
            self.cancel_rest(qry);
        } else if was_live && !self.queries[qry].execs.iter().any(|e| e.fate == Fate::Out) {
            let q = &self.queries[qry];
            if now + self.typical(product) >= q.give_up || !self.place(qry) {
                self.finish(qry);
            } else {
                self.look_again(qry);
            }
        }
    }

    /// The client has left; nothing is owed any more.
    pub fn withdrawn(&mut self, now: u64, qry: usize) {
        self.now = now;
        if self.queries.get(qry).is_some_and(|q| q.live) {
            self.queries[qry].live = false;
            self.cancel_rest(qry);
        }
    }

    pub fn probed(&mut self, now: u64, server: usize, _answered: bool, _spent: u64, report: LoadReport) {
        self.now = now;
        self.note_report(server, report);
    }

    pub fn timer(&mut self, now: u64, label: u32) {
        self.now = now;
        match label {
            LABEL_CHECK => {
                self.check();
                self.wake_for_check();
            }
            LABEL_LIST => self.ask_for_list(),
            _ => self.look((label - LABEL_QUERIES) as usize),
        }
    }

    /// What a query out for long needs: its final answer, or another execution.
    fn look(&mut self, qry: usize) {
        let Some(q) = self.queries.get(qry) else { return };
        if !q.live || self.now < q.next_look {
            return;
        }
        if self.now >= q.give_up {
            self.finish(qry);
            return;
        }
        let patience = self.patience(q.product);
        let late = q.execs.iter().rposition(|e| {
            let answered = self.servers[e.server].as_ref().map_or(0, |s| s.last_answer);
            e.fate == Fate::Out && !e.struck && self.now >= e.sent + patience && answered < e.sent
        });
        // Guards against a server that takes queries and answers none: it has answered nobody since.
        if let Some(exec) = late {
            self.queries[qry].execs[exec].struck = true;
            let server = self.queries[qry].execs[exec].server;
            self.note_result(server, false);
            let q = &self.queries[qry];
            let room = q.execs.len() < self.terms.most_executions;
            let time = self.now + self.typical(q.product) < q.give_up;
            let repeats = self.terms.products[q.product].effect != Effect::NonIdempotent;
            if room && time && repeats {
                if self.terms.second_copies {
                    self.place(qry);
                } else if self.terms.cancel {
                    self.host.cancel(qry, exec);
                }
            }
        }
        self.look_again(qry);
    }

    fn look_again(&mut self, qry: usize) {
        let patience = self.patience(self.queries[qry].product);
        let q = &mut self.queries[qry];
        let due = q.give_up.min(self.now + patience).max(self.now + 1);
        q.next_look = due;
        self.host.wake(due - self.now, LABEL_QUERIES + qry as u32);
    }

    /// Sends the query somewhere, if any server may have it.
    fn place(&mut self, qry: usize) -> bool {
        match self.choose(qry) {
            Some(server) => self.execute(qry, server),
            None => false,
        }
    }

    /// The one way out for executions: rules 2 to 4 and the query's state are checked here.
    fn execute(&mut self, qry: usize, server: usize) -> bool {
        let q = &self.queries[qry];
        if !q.live || self.now >= q.give_up || q.execs.len() >= self.terms.most_executions {
            return false;
        }
        if !self.terms.second_copies && q.execs.iter().any(|e| e.fate == Fate::Out) {
            return false;
        }
        if !self.may_repeat_at(qry, server) || !self.cold_room(server) {
            return false;
        }
        let Some(s) = self.servers[server].as_mut().filter(|s| s.standing == Standing::Ready) else {
            return false;
        };
        s.own += 1;
        self.own_total += 1;
        push(&mut s.sent, 64, self.now);
        let exec =
            Exec { server, zone: s.zone, cell: s.cell, sent: self.now, fate: Fate::Out, struck: false };
        let q = &mut self.queries[qry];
        q.execs.push(exec);
        self.host.execute(qry, server, q.deadline - self.now);
        true
    }

    /// Rule 2: whether another execution, on this server, can do no harm.
    fn may_repeat_at(&self, qry: usize, server: usize) -> bool {
        let q = &self.queries[qry];
        let row = &self.terms.products[q.product];
        let Some(s) = self.servers.get(server).and_then(Option::as_ref) else { return false };
        let mut ran = q.execs.iter().filter(|e| e.fate != Fate::NeverRan);
        match row.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => ran.next().is_none(),
            Effect::Deduplicated(group) => ran.all(|e| {
                let same = match group {
                    Group::All => true,
                    Group::Zone => e.zone == s.zone,
                    Group::Cell => e.cell == s.cell,
                };
                same && self.now + 2 * self.terms.tick < e.sent + row.memory_span
            }),
        }
    }

    /// The one way out for final answers: a rejection where nothing can have happened, else an abort.
    fn finish(&mut self, qry: usize) {
        let q = &mut self.queries[qry];
        if !q.live {
            return;
        }
        q.live = false;
        let row = &self.terms.products[q.product];
        let harmless = match row.effect {
            Effect::Idempotent | Effect::Deduplicated(Group::All) => true,
            _ => q.execs.iter().all(|e| e.fate == Fate::NeverRan),
        };
        if harmless {
            self.host.reject(qry, (row.slo_time / 2).min(self.terms.most_retry_after));
        } else {
            self.host.abort(qry);
        }
        self.cancel_rest(qry);
    }

    fn cancel_rest(&mut self, qry: usize) {
        for exec in 0..self.queries[qry].execs.len() {
            if self.terms.cancel && self.queries[qry].execs[exec].fate == Fate::Out {
                self.host.cancel(qry, exec);
            }
        }
    }

    /// Guards against overload: by Little's law what is in flight, over what is served, tells the time that one
    /// more query would take.
    fn overfull(&self, tenant: usize) -> bool {
        if self.terms.tier > 0 {
            return false;
        }
        let part = if self.beyond_share(tenant) { BEYOND } else { 1.0 };
        let least = self.block_times.iter().copied().fold(f64::MAX, f64::min);
        // What was learnt in a jam is no measure: never more than a part of the SLO time.
        let rows = &self.terms.products;
        let slo = rows.iter().map(|p| p.slo_time as f64 / 1e6).sum::<f64>() / rows.len().max(1) as f64;
        let most = ((GAIN * least).min(WHOLE * slo) * self.served_rate()).max(self.listed.len() as f64);
        self.own_total as f64 > part * most
    }

    /// The better of a whole check period and its last quarter, so that growth is not held back.
    fn served_rate(&self) -> f64 {
        let since = self.now.saturating_sub(CHECK / 4).max(self.start);
        let recent = self.served.iter().rev().take_while(|&&at| at >= since).count();
        let quick = recent as f64 * 1e6 / (self.now - since).max(CHECK / 10) as f64;
        quick.max(rate(&self.served, self.now, self.start))
    }

    /// Whether the tenant sends this copy more than its part of the tenant's share.
    fn beyond_share(&self, tenant: usize) -> bool {
        let (Some(times), Some(quota)) = (self.by_tenant.get(tenant), self.terms.tenant_quotas.get(tenant))
        else {
            return false;
        };
        *quota > 0.0 && rate(times, self.now, self.start) > SLACK * quota / self.terms.balancers as f64
    }

    // ---- choice of a server

    /// The design's ordinary path: a zone by its weight, inside it a random server, passing over the crowded.
    fn choose(&mut self, qry: usize) -> Option<usize> {
        let tried: Vec<usize> = self.queries[qry].execs.iter().map(|e| e.server).collect();
        let mut fit: Vec<usize> = Vec::with_capacity(self.listed.len());
        for i in 0..self.listed.len() {
            let server = self.listed[i];
            if self.ready(server) && !tried.contains(&server) && self.may_repeat_at(qry, server) {
                // A cold server gets the part of an even share that it can do.
                let warmth = self.warmth(server);
                if warmth >= 1.0 || (self.chance.unit() < warmth && self.cold_room(server)) {
                    fit.push(server);
                }
            }
        }
        let zone_of = |b: &Self, server: usize| b.servers[server].as_ref().map_or(0, |s| s.zone);
        let weights = self.weights();
        let mut open = vec![0.0; weights.len()];
        for &server in &fit {
            let zone = zone_of(self, server);
            open[zone] = weights[zone].max(f64::MIN_POSITIVE);
        }
        let mut at = self.chance.unit() * open.iter().sum::<f64>();
        let mut drawn = None;
        for (zone, &weight) in open.iter().enumerate().filter(|(_, w)| **w > 0.0) {
            drawn = Some(zone);
            at -= weight;
            if at < 0.0 {
                break;
            }
        }
        let drawn = drawn?;
        fit.retain(|&server| zone_of(self, server) == drawn);
        let strengths = self.strengths(&fit);
        let mean = strengths.iter().sum::<f64>() / fit.len() as f64;
        let mut drawn: Vec<(usize, f64)> = fit.into_iter().zip(strengths).collect();
        // Guards against an even share for a server that is far weaker than the others of its zone.
        let all = drawn.clone();
        drawn.retain(|&(_, strength)| self.chance.unit() * mean < strength);
        if drawn.is_empty() {
            drawn = all;
        }
        let own = |b: &Self, server: usize| b.servers[server].as_ref().map_or(0.0, |s| s.own as f64);
        let mean =
            drawn.iter().map(|&(s, strength)| own(self, s) / strength).sum::<f64>() / drawn.len() as f64;
        // Drawn in random order, so that ties among the fewest fall to chance.
        let mut best = None;
        while !drawn.is_empty() {
            let (server, strength) = drawn.swap_remove(self.chance.below(drawn.len()));
            if (own(self, server) + 1.0) / strength <= PASS_OVER * mean {
                return Some(server);
            }
            let load = own(self, server) / strength;
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, server));
            }
        }
        best.map(|(_, server)| server)
    }

    /// What each server can do against the others: by its reports, else by its listed size; less where its last
    /// answers took longer than usual.
    fn strengths(&self, servers: &[usize]) -> Vec<f64> {
        let usual = self.usual();
        let known: Vec<&Server> = servers.iter().filter_map(|&s| self.servers[s].as_ref()).collect();
        let told: Vec<Option<f64>> = known.iter().map(|s| told_strength(s)).collect();
        let (mut rates, mut sizes) = (0.0, 0.0);
        for (s, told) in known.iter().zip(&told).filter_map(|(s, told)| told.map(|told| (s, told))) {
            (rates, sizes) = (rates + told, sizes + s.size);
        }
        let of = |(s, told): (&&Server, &Option<f64>)| {
            told.map_or(s.size, |t| t * sizes / rates) * self.pace(s, usual)
        };
        known.iter().zip(&told).map(of).collect()
    }

    /// The mean time of the ready servers' last completed executions.
    fn usual(&self) -> f64 {
        let known = self.listed.iter().filter(|&&i| self.ready(i)).filter_map(|&i| self.servers[i].as_ref());
        let means = known.filter(|s| s.took.len() >= 3).map(mean_took);
        let (sum, count) = means.fold((0.0, 0.0), |(sum, count), mean| (sum + mean, count + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Under 1 for a server that takes longer than usual: what it holds counts for more.
    fn pace(&self, s: &Server, usual: f64) -> f64 {
        if s.took.len() < 3 || usual <= 0.0 { 1.0 } else { (usual / mean_took(s)).clamp(0.25, 1.0) }
    }

    fn ready(&self, server: usize) -> bool {
        self.servers[server].as_ref().is_some_and(|s| s.standing == Standing::Ready && !self.is_aside(s))
    }

    fn is_aside(&self, s: &Server) -> bool {
        self.now < s.aside_until || (s.strikes > 0 && s.own > 0)
    }

    /// The least part of its capacity that a server can have reached since its start.
    fn warmth(&self, server: usize) -> f64 {
        let Some(s) = self.servers[server].as_ref() else { return 0.0 };
        let age = self.now.saturating_sub(s.born);
        if s.born == 0 || age >= self.terms.cold_time {
            return 1.0;
        }
        let from = self.terms.cold_from;
        from + (1.0 - from) * age as f64 / self.terms.cold_time as f64
    }

    /// Rule 4: whether this copy's part of a cold server's budget has room for one more execution.
    fn cold_room(&self, server: usize) -> bool {
        let warmth = self.warmth(server);
        let Some(s) = self.servers[server].as_ref() else { return false };
        if warmth >= 1.0 {
            return true;
        }
        let since = self.now.saturating_sub(self.terms.tip_after);
        let spent = s.sent.iter().filter(|&&at| at >= since).count() as f64;
        let even = self.own_rate() / self.listed.len().max(1) as f64;
        let span = self.terms.tip_after as f64 / 1e6;
        spent < (even * span * warmth * self.terms.fall_multiple / 2.0).max(1.0)
    }

    // ---- what is seen of servers

    fn note_report(&mut self, server: usize, report: LoadReport) {
        let Some(s) = self.servers.get_mut(server).and_then(Option::as_mut) else { return };
        if report.throughput.is_some() || report.utilization.is_some() || report.outstanding.is_some() {
            s.report = report;
            if let (Some(rate), Some(busy)) = (report.throughput, report.utilization)
                && s.busy.back() != Some(&(rate, busy))
            {
                push(&mut s.busy, REPORTS, (rate, busy));
            }
        }
    }

    fn note_result(&mut self, server: usize, good: bool) {
        let now = self.now;
        let Some(s) = self.servers[server].as_mut() else { return };
        push(&mut s.results, SERVER_RESULTS, good);
        if good {
            s.last_answer = now;
            s.strikes = 0;
            return;
        }
        // Guards against servers that fail quickly or answer nothing: few calls in flight make them attractive.
        let bad = s.results.iter().filter(|&&good| !good).count();
        let trailing = s.results.iter().rev().take_while(|&&good| !good).count();
        if trailing >= 2 || (bad >= 2 && 2 * bad >= s.results.len()) {
            self.set_aside(server);
        }
    }

    /// No new calls for a longest SLO time, doubled each time that the trial after it fails too. Where half are
    /// aside the fault is not theirs.
    fn set_aside(&mut self, server: usize) {
        let aside =
            self.listed.iter().filter_map(|&i| self.servers[i].as_ref()).filter(|s| self.is_aside(s)).count();
        let rest = self.terms.products.iter().map(|p| p.slo_time).max().unwrap_or(0);
        let half = self.listed.len() / 2;
        if let Some(s) = self.servers[server].as_mut().filter(|_| aside < half) {
            s.aside_until = self.now + (rest << s.strikes.min(3));
            s.strikes += 1;
        }
    }

    fn typical(&self, product: usize) -> u64 {
        self.latency_rank(product, 0.5).unwrap_or(0)
    }

    /// How long an execution may be out before the silence of its server counts against it.
    fn patience(&self, product: usize) -> u64 {
        self.latency_rank(product, 0.9).map_or(self.terms.products[product].slo_time / 2, |l| 3 * l)
    }

    fn latency_rank(&self, product: usize, rank: f64) -> Option<u64> {
        let mut sorted: Vec<u64> = self.latencies[product].iter().copied().collect();
        sorted.sort_unstable();
        sorted.get((sorted.len() as f64 * rank) as usize).copied()
    }

    // ---- the weights

    fn wake_for_check(&mut self) {
        // Parents settle first: each tier's checks come one settling time after those of the tier above.
        let phase = (self.terms.tier as u64 * SETTLE) % CHECK;
        let wait = CHECK - (self.now + CHECK - phase) % CHECK;
        self.host.wake(wait, LABEL_CHECK);
    }

    fn own_rate(&self) -> f64 {
        rate(&self.arrivals, self.now, self.start)
    }

    fn ready_count(&self, zone: usize) -> f64 {
        let here = |&&i: &&usize| self.servers[i].as_ref().is_some_and(|s| s.zone == zone) && self.ready(i);
        self.listed.iter().filter(here).count() as f64
    }

    /// The share of each zone: solved weight times ready servers, and a small floor.
    fn weights(&self) -> Vec<f64> {
        let mut weights: Vec<f64> = vec![0.0; self.zones.len()];
        for &i in self.listed.iter().filter(|&&i| self.ready(i)) {
            if let Some(s) = self.servers[i].as_ref() {
                weights[s.zone] += self.zones[s.zone].each;
            }
        }
        let sum: f64 = weights.iter().sum();
        for weight in weights.iter_mut().filter(|w| **w > 0.0) {
            *weight = (*weight / sum).max(FLOOR_SHARE);
        }
        let sum: f64 = weights.iter().sum();
        weights.iter().map(|w| w / sum.max(f64::MIN_POSITIVE)).collect()
    }

    /// Queries a second on each ready server of the zone: as reported, else this copy's own for all copies.
    fn load_per_ready(&self, zone: usize) -> f64 {
        let (mut sum, mut told, mut ready) = (0.0, 0.0, 0.0);
        for &i in &self.listed {
            let Some(s) = self.servers[i].as_ref().filter(|s| s.zone == zone) else { continue };
            if self.ready(i) {
                ready += 1.0;
                if let Some(rate) = s.report.throughput {
                    sum += rate;
                    told += 1.0;
                }
            }
        }
        if told > 0.0 {
            return sum / told;
        }
        let own = self.own_rate() * self.weights().get(zone).copied().unwrap_or(0.0);
        own * self.terms.balancers as f64 / f64::max(ready, 1.0)
    }

    /// How much a sample of that age still counts.
    fn age_weight(&self, at: u64) -> f64 {
        0.5_f64.powf((self.now - at) as f64 / (2 * CHECK) as f64)
    }

    fn recent_latency(&self, zone: usize) -> f64 {
        let (mut sum, mut weight) = (0.0, 0.0);
        for sample in &self.zones[zone].samples {
            let w = self.age_weight(sample.at);
            sum += w * sample.latency;
            weight += w;
        }
        if weight > 0.0 { sum / weight } else { 0.0 }
    }

    fn check(&mut self) {
        let changed = |old: f64, new: f64| (new - old).abs() > CHANGE * old;
        let rate = self.own_rate();
        let mut due = changed(self.solved_rate, rate);
        for zone in 0..self.zones.len() {
            due |= changed(self.zones[zone].ready, self.ready_count(zone));
            due |= changed(self.zones[zone].latency, self.recent_latency(zone));
        }
        if due {
            self.solved_rate = rate;
            for zone in 0..self.zones.len() {
                self.zones[zone].ready = self.ready_count(zone);
                self.zones[zone].latency = self.recent_latency(zone);
            }
            self.solve(rate * self.terms.balancers as f64);
        }
    }

    /// Zone latency as a + b * load per ready server: decayed least squares over the served latencies.
    fn fit(&self, zone: usize) -> (f64, f64, f64) {
        let (mut w, mut x, mut y, mut xx, mut xy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for s in &self.zones[zone].samples {
            let k = self.age_weight(s.at);
            w += k;
            x += k * s.load;
            y += k * s.latency;
            xx += k * s.load * s.load;
            xy += k * s.load * s.latency;
        }
        if w <= 0.0 {
            return (0.0, 0.0, 0.0);
        }
        let (mean_x, mean_y) = (x / w, y / w);
        let spread = xx / w - mean_x * mean_x;
        let least = LEAST_SLOPE * mean_y / mean_x.max(f64::MIN_POSITIVE);
        let slope = if spread > 0.0 { (xy / w - mean_x * mean_y) / spread } else { 0.0 };
        let b = slope.clamp(least, (mean_y / mean_x.max(f64::MIN_POSITIVE)).max(least));
        (mean_y - b * mean_x, b, w)
    }

    fn solve(&mut self, rate: f64) {
        let ready: Vec<f64> = (0..self.zones.len()).map(|z| self.ready_count(z)).collect();
        let open: Vec<usize> = (0..ready.len()).filter(|&z| ready[z] > 0.0).collect();
        if open.len() < 2 {
            return;
        }
        let fits: Vec<(f64, f64, f64)> = (0..ready.len()).map(|z| self.fit(z)).collect();
        let loads: Vec<f64> = (0..ready.len()).map(|z| self.load_per_ready(z)).collect();
        // A fit whose samples have aged away leans on the others' mean.
        let (mut a, mut b, mut known) = (0.0, 0.0, 0.0);
        for &(fit_a, fit_b, w) in fits.iter().filter(|f| f.2 > 0.0) {
            (a, b, known) = (a + w * fit_a, b + w * fit_b, known + w);
        }
        if known <= 0.0 {
            return;
        }
        let (a, b) = (a / known, b / known);
        let model: Vec<(f64, f64)> = fits
            .iter()
            .map(|&(fit_a, fit_b, w)| {
                let trust = w.min(1.0);
                (trust * fit_a + (1.0 - trust) * a, trust * fit_b + (1.0 - trust) * b)
            })
            .collect();
        let weights = self.weights();
        let predict = |shares: &[f64]| -> f64 {
            let of = |&z: &usize| {
                let load = loads[z] + (shares[z] - weights[z]) * rate / ready[z];
                shares[z] * (model[z].0 + model[z].1 * load.max(0.0))
            };
            open.iter().map(of).sum()
        };
        let mut best = weights.clone();
        let mut least = predict(&best);
        for _ in 0..CANDIDATES {
            let from = open[self.chance.below(open.len())];
            let to = open[self.chance.below(open.len())];
            let step = (STEP * (1.0 - self.chance.unit())).min(weights[from] - FLOOR_SHARE);
            if from == to || step <= 0.0 {
                continue;
            }
            let mut shares = weights.clone();
            shares[from] -= step;
            shares[to] += step;
            let latency = predict(&shares);
            if latency < least {
                (best, least) = (shares, latency);
            }
        }
        let all: f64 = ready.iter().sum();
        for zone in 0..ready.len() {
            self.zones[zone].each = if ready[zone] > 0.0 { best[zone] * all / ready[zone] } else { 1.0 };
        }
    }
}
