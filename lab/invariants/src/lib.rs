//! The referee: told what was taken, sent, run, answered and listed, it judges a run against the four rules.
//! It shares no code with the decisions or the reducer, and knows nothing of why anything was done.
//!
//! Times are microseconds of one clock, and what is told comes in its order. A query is known by a number
//! that is never used again; a server by the number of its process.

#![allow(missing_docs, reason = "not every public item is documented yet")]
#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

/// Breaks that are kept in full; further ones are counted.
const MOST_BREAKS: usize = 1_000;

/// A server that is gone for so long is as one that was never listed.
const GONE_FOR_LONG: u64 = 60_000_000;

/// How far the effect of a product may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Harmless,
    /// Dropped by the servers of a scope, for so long after the first send.
    Dropped(Scope, u64),
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Everywhere,
    Zone,
    Pod,
}

/// What the deployment demands.
#[derive(Clone, Debug)]
pub struct Demands {
    /// A row a product.
    pub products: Vec<Repeats>,
    pub executions: usize,
    pub allow_hedging: bool,
    /// A final answer may come so long after the client's time.
    pub slack: u64,
    /// Nothing is sent to a server so long after it was told to drain or gone.
    pub grace: u64,
    /// A server counts as cold for so long, and is pushed over by what came within such a span.
    pub cold_lasts: u64,
    pub tip_after: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Completed,
    Rejected,
    Aborted,
}

/// One broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Break {
    /// 1: one answer in time, nothing after; 2: no effect twice; 3: drains; 4: cold servers.
    pub rule: u8,
    pub what: String,
    pub at: u64,
    pub query: Option<u64>,
    pub balancer: Option<usize>,
    pub server: Option<usize>,
}

impl fmt::Display for Break {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "rule {} at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.what)?;
        for (name, number) in [("balancer", self.balancer), ("server", self.server)] {
            if let Some(number) = number {
                write!(to, ", {name} {number}")?;
            }
        }
        self.query.map_or(Ok(()), |query| write!(to, ", query {query}"))
    }
}

/// What the referee says of a whole run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    pub breaks: Vec<Break>,
    /// Broken rules by number, the first for rule 1.
    pub broken: [u64; 4],
    /// How often each rule was held against something: a verdict of a run in which nothing happened says
    /// nothing.
    pub looked: [u64; 4],
    /// Where balancers are a fleet: which of its promises is broken, and how many decisions were looked at.
    #[serde(default)]
    pub fleet: Option<String>,
    #[serde(default)]
    pub fleet_looked: u64,
}

impl Verdict {
    pub fn is_clean(&self) -> bool {
        self.broken.iter().all(|count| *count == 0) && self.fleet.is_none()
    }

    /// Both runs' breaks.
    pub fn add(&mut self, other: Verdict) {
        self.breaks.extend(other.breaks);
        self.breaks.truncate(MOST_BREAKS);
        self.fleet = self.fleet.take().or(other.fleet);
        self.fleet_looked += other.fleet_looked;
        for rule in 0..4 {
            self.broken[rule] += other.broken[rule];
            self.looked[rule] += other.looked[rule];
        }
    }
}

struct Sent {
    zone: usize,
    pod: usize,
    at: u64,
    /// Ended, and whether it may have run.
    ended: Option<bool>,
}

struct Query {
    balancer: usize,
    product: usize,
    due: u64,
    sent: Vec<Sent>,
    answer: Option<Final>,
    /// The client has left, or the balancer has died: nothing is owed.
    over: bool,
    /// Where and when it was run to its end.
    ran: Vec<(usize, u64)>,
}

#[derive(Clone, Copy)]
struct Place {
    zone: usize,
    pod: usize,
}

struct Cold {
    started: u64,
    /// When, by whom, how much work.
    came: VecDeque<(u64, usize, f64)>,
    /// The balancers told of this start.
    told: BTreeSet<usize>,
}

pub struct Referee {
    demands: Demands,
    verdict: Verdict,
    queries: HashMap<u64, Query>,
    /// By when each open query is owed its answer.
    owed: BTreeSet<(u64, u64)>,
    /// Balancers that are stopped by a signal, since when; and what came due there meanwhile.
    halted: HashMap<usize, u64>,
    parked: Vec<(u64, u64)>,
    /// When each query that is over may be forgotten.
    forget: VecDeque<(u64, u64)>,
    keep: u64,
    /// Since when a balancer has known that a server wants nothing new, and whether as gone.
    shunned: HashMap<(usize, usize), u64>,
    /// The same in the order of time, to be forgotten once they are gone for long.
    shunned_since: VecDeque<(u64, (usize, usize))>,
    /// What a balancer has listed as not gone.
    known: HashMap<usize, BTreeSet<usize>>,
    places: HashMap<usize, Place>,
    cold: BTreeMap<usize, Cold>,
}

impl Referee {
    pub fn new(demands: Demands) -> Self {
        let memory = |row: &Repeats| match row {
            Repeats::Dropped(_, memory) => *memory,
            _ => 0,
        };
        let longest = demands.products.iter().map(memory).max().unwrap_or(0);
        Referee {
            // What comes later than this after the answer is no longer looked at.
            keep: longest.max(10_000_000),
            demands,
            verdict: Verdict::default(),
            queries: HashMap::new(),
            owed: BTreeSet::new(),
            halted: HashMap::new(),
            parked: Vec::new(),
            forget: VecDeque::new(),
            shunned: HashMap::new(),
            shunned_since: VecDeque::new(),
            known: HashMap::new(),
            places: HashMap::new(),
            cold: BTreeMap::new(),
        }
    }

    fn broke(
        &mut self,
        rule: u8,
        what: impl Into<String>,
        at: u64,
        of: (Option<u64>, Option<usize>, Option<usize>),
    ) {
        self.verdict.broken[usize::from(rule) - 1] += 1;
        if self.verdict.breaks.len() < MOST_BREAKS {
            let (query, balancer, server) = of;
            self.verdict.breaks.push(Break { rule, what: what.into(), at, query, balancer, server });
        }
    }

    /// Time passes: what is owed and has not come is lost, what is over is forgotten.
    fn pass(&mut self, now: u64) {
        while let Some(&(due, id)) = self.owed.first()
            && due < now
        {
            self.owed.pop_first();
            let balancer = self.queries.get(&id).map(|query| query.balancer);
            if balancer.is_some_and(|balancer| self.halted.contains_key(&balancer)) {
                self.parked.push((due, id));
                continue;
            }
            self.broke(1, "no final answer in time", due, (Some(id), balancer, None));
        }
        while let Some(&(at, id)) = self.forget.front()
            && at < now
        {
            self.forget.pop_front();
            self.queries.remove(&id);
        }
    }

    // ---- the list

    /// A server has started, cold.
    pub fn started(&mut self, now: u64, server: usize) {
        self.verdict.looked[3] += 1;
        let cold = Cold { started: now, came: VecDeque::new(), told: BTreeSet::new() };
        self.cold.insert(server, cold);
        let oldest = now.saturating_sub(self.demands.cold_lasts + self.demands.tip_after);
        self.cold.retain(|_, cold| cold.started >= oldest);
    }

    /// A balancer was told of one server.
    pub fn told(
        &mut self,
        now: u64,
        balancer: usize,
        server: usize,
        listed: Listed,
        zone: usize,
        pod: usize,
    ) {
        self.places.insert(server, Place { zone, pod });
        let known = self.known.entry(balancer).or_default();
        match listed {
            Listed::Ready => {
                known.insert(server);
                self.shunned.remove(&(balancer, server));
                if let Some(cold) = self.cold.get_mut(&server) {
                    cold.told.insert(balancer);
                }
            }
            Listed::Draining => {
                known.insert(server);
                self.shun(now, balancer, server);
            }
            Listed::Gone => {
                known.remove(&server);
                self.shun(now, balancer, server);
            }
        }
    }

    fn shun(&mut self, now: u64, balancer: usize, server: usize) {
        if let Entry::Vacant(new) = self.shunned.entry((balancer, server)) {
            new.insert(now);
            self.shunned_since.push_back((now, (balancer, server)));
        }
        // One that is not listed for long is as one that never was: `sent` looks at the list itself.
        while let Some(&(at, of)) = self.shunned_since.front()
            && at + GONE_FOR_LONG < now
        {
            self.shunned_since.pop_front();
            let listed = self.known.get(&of.0).is_some_and(|known| known.contains(&of.1));
            match self.shunned.get(&of) {
                Some(&since) if listed || since + GONE_FOR_LONG >= now => {
                    self.shunned_since.push_back((now, of))
                }
                _ => {
                    self.shunned.remove(&of);
                }
            }
        }
    }

    /// A balancer was told a whole list: what it lacks is gone. The servers themselves are told with `told`.
    pub fn told_whole(&mut self, now: u64, balancer: usize, listed: &BTreeSet<usize>) {
        let known = self.known.entry(balancer).or_default();
        let gone: Vec<usize> = known.difference(listed).copied().collect();
        for &server in &gone {
            known.remove(&server);
        }
        for server in gone {
            self.shun(now, balancer, server);
        }
    }

    // ---- queries

    pub fn taken(&mut self, now: u64, balancer: usize, id: u64, product: usize, deadline: u64) {
        self.pass(now);
        self.verdict.looked[0] += 1;
        let due = deadline + self.demands.slack;
        let query =
            Query { balancer, product, due, sent: Vec::new(), answer: None, over: false, ran: Vec::new() };
        self.queries.insert(id, query);
        self.owed.insert((due, id));
    }

    /// An execution has gone out. They are numbered by query, from 0 in the order of sending.
    pub fn sent(&mut self, now: u64, id: u64, server: usize, work: f64) {
        self.pass(now);
        let place = self.places.get(&server).copied().unwrap_or(Place { zone: usize::MAX, pod: usize::MAX });
        let Some(query) = self.queries.get_mut(&id) else {
            return self.broke(1, "sent for a query that nobody asked", now, (Some(id), None, Some(server)));
        };
        let (balancer, product) = (query.balancer, query.product);
        let over = query.answer.is_some() || query.over;
        let repeats = self.demands.products.get(product).copied().unwrap_or(Repeats::Never);
        let overlaps = query.sent.iter().any(|sent| sent.ended.is_none());
        let mut fault = None;
        for sent in query.sent.iter().filter(|sent| sent.ended != Some(false)) {
            fault = fault.or(match repeats {
                Repeats::Harmless => None,
                Repeats::Never => Some("a non-idempotent query sent again though it may have run"),
                Repeats::Dropped(scope, memory) => {
                    let same = match scope {
                        Scope::Everywhere => true,
                        Scope::Zone => sent.zone == place.zone,
                        Scope::Pod => sent.pod == place.pod,
                    };
                    if !same {
                        Some("sent again where repeats of it are not known")
                    } else if now >= sent.at + memory {
                        Some("sent again after its repeats are forgotten")
                    } else {
                        None
                    }
                }
            });
        }
        let count = query.sent.len() + 1;
        query.sent.push(Sent { zone: place.zone, pod: place.pod, at: now, ended: None });
        let of = (Some(id), Some(balancer), Some(server));
        self.verdict.looked[1] += 1;
        self.verdict.looked[2] += 1;
        if over {
            self.broke(1, "sent after the query was over", now, of);
        }
        if let Some(fault) = fault {
            self.broke(2, fault, now, of);
        }
        if overlaps && !self.demands.allow_hedging {
            self.broke(2, "two executions of one query out together", now, of);
        }
        if count > self.demands.executions {
            self.broke(2, format!("execution {count} of at most {}", self.demands.executions), now, of);
        }
        match self.shunned.get(&(balancer, server)).copied() {
            Some(since) if now > since + self.demands.grace => {
                let late = (now - since) as f64 / 1e3;
                self.broke(3, format!("sent {late:.0} ms after it was told to drain or gone"), now, of);
            }
            None if self.known.get(&balancer).is_none_or(|known| !known.contains(&server)) => {
                self.broke(3, "sent to a server that the list does not have", now, of);
            }
            _ => {}
        }
        let (lasts, tip_after) = (self.demands.cold_lasts, self.demands.tip_after);
        if let Some(cold) = self.cold.get_mut(&server)
            && now < cold.started + lasts + tip_after
        {
            cold.came.push_back((now, balancer, work));
            while cold.came.pop_front_if(|(at, ..)| *at + tip_after < now).is_some() {}
        }
    }

    /// An execution has ended, and may have run or has surely not.
    pub fn ended(&mut self, now: u64, id: u64, execution: usize, may_have_run: bool) {
        self.pass(now);
        if let Some(sent) = self.queries.get_mut(&id).and_then(|query| query.sent.get_mut(execution)) {
            sent.ended = Some(may_have_run);
        }
    }

    /// A server has done the work of a query to its end.
    pub fn ran(&mut self, now: u64, server: usize, id: u64) {
        let place = self.places.get(&server).copied();
        let Some(query) = self.queries.get_mut(&id) else { return };
        let (product, balancer) = (query.product, query.balancer);
        let before = std::mem::take(&mut query.ran);
        let first = before.first().map(|&(server, at)| (self.places.get(&server).copied(), at));
        if let Some(query) = self.queries.get_mut(&id) {
            query.ran = before;
            query.ran.push((server, now));
        }
        let Some((earlier, at)) = first else { return };
        let fault = match self.demands.products.get(product) {
            Some(Repeats::Harmless) => None,
            Some(Repeats::Dropped(scope, _)) => {
                let same = earlier.zip(place).is_some_and(|(a, b)| match scope {
                    Scope::Everywhere => true,
                    Scope::Zone => a.zone == b.zone,
                    Scope::Pod => a.pod == b.pod,
                });
                // The memory counts from the send of the first; by the ends it may be a little longer.
                (!same).then_some("run twice by servers that don't know each other's repeats")
            }
            _ => Some("a non-idempotent query run twice"),
        };
        if let Some(fault) = fault {
            let since = (now - at) as f64 / 1e3;
            self.broke(
                2,
                format!("{fault}, {since:.0} ms apart"),
                now,
                (Some(id), Some(balancer), Some(server)),
            );
        }
    }

    /// The balancer's final answer.
    pub fn answered(&mut self, now: u64, id: u64, answer: Final) {
        self.pass(now);
        let Some(query) = self.queries.get_mut(&id) else {
            return self.broke(1, "answered a query that is long over", now, (Some(id), None, None));
        };
        let of = (Some(id), Some(query.balancer), None);
        if query.over {
            return;
        }
        if query.answer.is_some() {
            return self.broke(1, "answered twice", now, of);
        }
        query.answer = Some(answer);
        let (due, product) = (query.due, query.product);
        let may_have_run = query.sent.iter().any(|sent| sent.ended != Some(false));
        let ran = !query.ran.is_empty();
        self.settle(now, id, due);
        let repeats = self.demands.products.get(product).copied().unwrap_or(Repeats::Never);
        let harmless = matches!(repeats, Repeats::Harmless | Repeats::Dropped(Scope::Everywhere, _));
        self.verdict.looked[1] += 1;
        if answer == Final::Rejected && may_have_run && !harmless {
            self.broke(2, "rejected though it may have run", now, of);
        }
        if answer == Final::Completed && !ran {
            self.broke(1, "completed though no server has run it", now, of);
        }
    }

    fn settle(&mut self, now: u64, id: u64, due: u64) {
        // One that was overdue has been counted already.
        self.owed.remove(&(due, id));
        self.forget.push_back((now + self.keep, id));
    }

    /// The client has left; nothing is owed any more, and nothing may be sent.
    pub fn left(&mut self, now: u64, id: u64) {
        self.pass(now);
        if let Some(query) = self.queries.get_mut(&id).filter(|query| query.answer.is_none() && !query.over) {
            query.over = true;
            let due = query.due;
            self.settle(now, id, due);
        }
    }

    /// A balancer that was told to end is about to be killed: what it took and has not answered is lost.
    pub fn time_is_up(&mut self, now: u64, balancer: usize) {
        self.pass(now);
        let held = |id: &u64| self.queries.get(id).is_some_and(|query| query.balancer == balancer);
        let lost: Vec<u64> = self.owed.iter().map(|&(_, id)| id).filter(held).collect();
        for id in lost {
            self.broke(1, "told to end and killed before its answer", now, (Some(id), Some(balancer), None));
        }
    }

    /// A balancer was killed, or has ended by itself with nothing open: what it held is the clients' to
    /// repeat.
    pub fn balancer_ended(&mut self, now: u64, balancer: usize) {
        self.pass(now);
        let mut held: Vec<u64> = Vec::new();
        for &(_, id) in &self.owed {
            if self.queries.get(&id).is_some_and(|query| query.balancer == balancer) {
                held.push(id);
            }
        }
        for id in held {
            self.left(now, id);
        }
        self.halted.remove(&balancer);
        let queries = &self.queries;
        self.parked.retain(|(_, id)| queries.get(id).is_some_and(|query| query.balancer != balancer));
        self.known.remove(&balancer);
        self.shunned.retain(|(of, _), _| *of != balancer);
        for cold in self.cold.values_mut() {
            cold.told.remove(&balancer);
        }
    }

    /// A balancer is stopped, and can do nothing until it goes on.
    pub fn halted(&mut self, now: u64, balancer: usize) {
        self.pass(now);
        self.halted.entry(balancer).or_insert(now);
    }

    pub fn is_halted(&self, balancer: usize) -> bool {
        self.halted.contains_key(&balancer)
    }

    /// It goes on: what it holds has as much more time as it was stopped.
    pub fn resumed(&mut self, now: u64, balancer: usize) {
        self.pass(now);
        let Some(since) = self.halted.remove(&balancer) else { return };
        let of = |(_, id): &(u64, u64)| self.queries.get(id).is_some_and(|query| query.balancer == balancer);
        let mut later: Vec<(u64, u64)> = self.owed.iter().copied().filter(of).collect();
        later.iter().for_each(|owed| {
            self.owed.remove(owed);
        });
        let parked = std::mem::take(&mut self.parked);
        let (here, elsewhere): (Vec<_>, Vec<_>) = parked.into_iter().partition(of);
        self.parked = elsewhere;
        later.extend(here);
        for (due, id) in later {
            let due = due + (now - since);
            if let Some(query) =
                self.queries.get_mut(&id).filter(|query| query.answer.is_none() && !query.over)
            {
                query.due = due;
                self.owed.insert((due, id));
            }
        }
    }

    /// Open queries of a balancer, for one that ends without having been killed.
    pub fn open(&self, balancer: usize) -> usize {
        let of = |id: &u64| self.queries.get(id).is_some_and(|query| query.balancer == balancer);
        self.owed.iter().filter(|(_, id)| of(id)).count()
    }

    /// A balancer has ended by itself, which loses what it had taken.
    pub fn crashed(&mut self, now: u64, balancer: usize) {
        let held = self.open(balancer);
        self.broke(
            1,
            format!("the balancer ended with {held} queries open"),
            now,
            (None, Some(balancer), None),
        );
        self.balancer_ended(now, balancer);
    }

    /// A cold server has fallen over.
    pub fn fell(&mut self, now: u64, server: usize) {
        self.pass(now);
        let Some(cold) = self.cold.get(&server) else { return };
        let since = now.saturating_sub(self.demands.tip_after);
        let within = cold.came.iter().filter(|(at, ..)| *at >= since);
        let (mut all, mut told) = (0.0, 0.0);
        for (_, balancer, work) in within {
            all += work;
            if cold.told.contains(balancer) {
                told += work;
            }
        }
        if all > 0.0 && told >= all * 2.0 / 3.0 {
            let part = told / all * 100.0;
            let what = format!("a cold server pushed over, {part:.0}% of it by balancers told of its start");
            self.broke(4, what, now, (None, None, Some(server)));
        }
    }

    pub fn finish(mut self, now: u64) -> Verdict {
        self.pass(now);
        self.verdict
    }
}
