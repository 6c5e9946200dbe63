//! Plain policies to compare with. They keep the rules on repeats and drains, since a comparison with one
//! that breaks them would say nothing, and send a cold server a part of its share by its warmth.

use whinspindle::host::{
    Arrival, BalancerSettings, Effect, Endpoint, EndpointState, ExecutionEnd, Outcome, ServerScope,
};
use whinspindle_lab_model::random::RandomGenerator;

use crate::decider::{Policy, Sight, Wish};

#[derive(Clone)]
struct Server {
    entry: Endpoint,
    own: usize,
}

struct Execution {
    server: usize,
    sent: u64,
    ended: Option<Outcome>,
}

#[derive(Default)]
struct Query {
    live: bool,
    product: usize,
    deadline: u64,
    executions: Vec<Execution>,
}

pub struct Plain {
    policy: Policy,
    terms: BalancerSettings,
    random: RandomGenerator,
    servers: Vec<Option<Server>>,
    queries: Vec<Query>,
    turn: usize,
    pub wishes: Vec<Wish>,
}

impl Plain {
    pub fn new(policy: Policy, terms: BalancerSettings, random: RandomGenerator) -> Self {
        let (servers, queries, wishes) = Default::default();
        Plain { policy, terms, random, servers, queries, turn: 0, wishes }
    }

    pub fn list(&mut self, whole: bool, entries: &[Endpoint]) {
        if whole && self.policy != Policy::Reckless {
            for server in self.servers.iter_mut().flatten() {
                server.entry.state = EndpointState::Gone;
            }
        }
        for entry in entries {
            if entry.server >= self.servers.len() {
                self.servers.resize(entry.server + 1, None);
            }
            let own = self.servers[entry.server].as_ref().map_or(0, |server| server.own);
            let mut entry = *entry;
            if self.policy == Policy::Reckless {
                entry.state = EndpointState::Ready;
            }
            self.servers[entry.server] = Some(Server { entry, own });
        }
    }

    pub fn query(&mut self, now: u64, query_index: usize, arrival: Arrival, sight: &dyn Sight) {
        if query_index >= self.queries.len() {
            self.queries.resize_with(query_index + 1, Query::default);
        }
        let Arrival { product, deadline, .. } = arrival;
        self.queries[query_index] = Query { live: true, product, deadline, executions: Vec::new() };
        if !self.place(now, query_index, sight) {
            self.give_up(query_index);
        }
    }

    pub fn completed(
        &mut self,
        now: u64,
        query_index: usize,
        exec: usize,
        ending: ExecutionEnd,
        sight: &dyn Sight,
    ) {
        let Some(execution) = self.queries[query_index].executions.get_mut(exec) else { return };
        execution.ended = Some(ending.outcome);
        let server = execution.server;
        if let Some(server) = self.servers[server].as_mut() {
            server.own = server.own.saturating_sub(1);
        }
        if ending.query_answered {
            self.queries[query_index].live = false;
        }
        let query = &self.queries[query_index];
        if query.live
            && query.executions.iter().all(|e| e.ended.is_some())
            && !self.place(now, query_index, sight)
        {
            self.give_up(query_index);
        }
    }

    pub fn withdrawn(&mut self, query_index: usize) {
        self.queries[query_index].live = false;
        for (exec, execution) in self.queries[query_index].executions.iter().enumerate() {
            if execution.ended.is_none() && self.terms.allow_cancel {
                self.wishes.push(Wish::Cancel { query_index, exec });
            }
        }
    }

    fn give_up(&mut self, query_index: usize) {
        let query = &mut self.queries[query_index];
        query.live = false;
        let effect = self.terms.products[query.product].effect;
        let harmless = matches!(effect, Effect::Idempotent | Effect::Deduplicated(ServerScope::All));
        let never_ran = query.executions.iter().all(|e| e.ended.is_some_and(Outcome::never_ran));
        if harmless || never_ran || self.policy == Policy::Reckless {
            self.wishes.push(Wish::Reject { query_index, retry_after: 0 });
        } else {
            self.wishes.push(Wish::Abort { query_index });
        }
    }

    fn may_have(&self, now: u64, query: &Query, server: &Server) -> bool {
        if self.policy == Policy::Reckless {
            return true;
        }
        let row = &self.terms.products[query.product];
        let mut ran = query.executions.iter().filter(|e| !e.ended.is_some_and(Outcome::never_ran));
        match row.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => ran.next().is_none(),
            Effect::Deduplicated(group) => ran.all(|e| {
                let Some(before) = &self.servers[e.server] else { return false };
                let same = match group {
                    ServerScope::All => true,
                    ServerScope::Zone => before.entry.zone == server.entry.zone,
                    ServerScope::Cell => before.entry.cell == server.entry.cell,
                };
                same && now + self.terms.clock_resolution_us < e.sent + row.dedup_window_us
            }),
        }
    }

    fn fits(&self, now: u64, query_index: usize, number: usize) -> bool {
        let query = &self.queries[query_index];
        self.servers[number].as_ref().is_some_and(|server| {
            server.entry.state == EndpointState::Ready
                && !query.executions.iter().any(|e| e.server == number)
                && self.may_have(now, query, server)
        })
    }

    /// A cold server is taken as often as it is warm.
    fn is_warm(&mut self, now: u64, number: usize) -> bool {
        let Some(server) = &self.servers[number] else { return false };
        let age = now.saturating_sub(server.entry.started_at) as f64;
        let part = age / self.terms.slow_start_duration_us.max(1) as f64;
        let warmth =
            self.terms.slow_start_initial_fraction + (1.0 - self.terms.slow_start_initial_fraction) * part;
        server.entry.started_at == 0 || warmth >= 1.0 || self.random.unit() < warmth
    }

    fn place(&mut self, now: u64, query_index: usize, sight: &dyn Sight) -> bool {
        let margin = 2 * self.terms.clock_resolution_us;
        let query = &self.queries[query_index];
        if now + margin >= query.deadline || query.executions.len() >= self.terms.max_executions {
            return false;
        }
        // Where any server will do, a few are drawn and only if none of them fits are all looked at, so that the
        // lab's own cost does not grow with the fleet.
        let drawn = match self.policy {
            Policy::Random => 1,
            Policy::TwoChoices => 2,
            _ => 0,
        };
        let mut fit = Vec::new();
        for _ in 0..4 * drawn {
            let number = self.random.below(self.servers.len());
            if fit.len() < drawn && self.fits(now, query_index, number) && self.is_warm(now, number) {
                fit.push(number);
            }
        }
        if fit.is_empty() {
            fit = (0..self.servers.len()).filter(|&number| self.fits(now, query_index, number)).collect();
            if self.policy != Policy::Reckless {
                fit.retain(|&number| self.is_warm(now, number));
            }
        }
        let Some(server) = self.choose(&fit, sight) else { return false };
        let query = &mut self.queries[query_index];
        query.executions.push(Execution { server, sent: now, ended: None });
        if let Some(server) = self.servers[server].as_mut() {
            server.own += 1;
        }
        self.wishes.push(Wish::Execute { query_index, server, time_out: query.deadline - margin / 2 - now });
        true
    }

    fn choose(&mut self, fit: &[usize], sight: &dyn Sight) -> Option<usize> {
        if fit.is_empty() {
            return None;
        }
        let own = |server: usize| self.servers[server].as_ref().map_or(0, |server| server.own);
        let any = self.random.below(fit.len());
        Some(match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                fit[self.turn % fit.len()]
            }
            Policy::LeastRequests => {
                // From a random one on, so that equals get equal parts.
                let order = (0..fit.len()).map(|n| fit[(any + n) % fit.len()]);
                order.min_by_key(|&server| own(server)).unwrap_or(fit[any])
            }
            Policy::TwoChoices => {
                let other = fit[self.random.below(fit.len())];
                if own(other) < own(fit[any]) { other } else { fit[any] }
            }
            Policy::TrueState => {
                let order = (0..fit.len()).map(|n| fit[(any + n) % fit.len()]);
                let burdens = order.filter_map(|server| sight.burden(server).map(|burden| (burden, server)));
                let least = burdens.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, server)| server);
                // What a lower tier rejects is work lost above.
                return least.or((self.terms.tier > 0).then_some(fit[any]));
            }
            _ => fit[any],
        })
    }
}
