//! Clients: they come, try, wait, leave and try again.

use slotmap::Key;
use whinspindle_lab_model::arrivals::Arrival;
use whinspindle_lab_report::Told;
use whinspindle_lab_scenario::{Effect, ServerScope};

use super::event::Event;
use super::state::{ExecKey, Origin, Query, QueryKey, WantKey};
use super::{BEGUN, Fleet};

impl Fleet<'_> {
    pub(super) fn look_ahead(&mut self, stream: usize) {
        match self.arrivals[stream].next_arrival() {
            Some(Ok(wanted)) => {
                let wanted = Arrival { due: BEGUN + wanted.due, ..wanted };
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

    pub(super) fn try_it(&mut self, key: WantKey) {
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
        if let Some(way) = self.links.transit_time(from, to) {
            self.queue.put(self.now + way, Event::AtNode(query));
        }
        // A client waits a little longer than it says, so that an answer in the slack still finds it.
        let mut leaves = deadline + self.scenario.allowed.slack + 1_000;
        if self.clients.chance(self.scenario.clients.leaves) {
            leaves = self.now + (product.slo_time as f64 * self.clients.unit()) as u64;
        }
        self.queue.put(leaves, Event::Leaves(query));
    }

    pub(super) fn make(
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
            query_index: None,
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
    pub(super) fn leaves(&mut self, key: QueryKey) {
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
    pub(super) fn withdraw(&mut self, key: QueryKey) {
        let Some(query) = self.queries.get_mut(key) else { return };
        if query.answered {
            return;
        }
        query.answered = true;
        let (node, query_index, incarnation, id) =
            (query.node, query.query_index, query.incarnation, query.id);
        let Some(query_index) = query_index else {
            self.queries.remove(key);
            return;
        };
        self.note(1, id, 0);
        let n = &mut self.nodes[node];
        if n.up && n.incarnation == incarnation {
            self.checker.query_cancelled(self.now, id);
            if let Some(decider) = &mut n.decider {
                decider.withdrawn(self.now, query_index);
            }
            self.carry_out(node);
        }
        self.release(key);
    }

    /// A try is over for the client: it may try again.
    pub(super) fn tried(&mut self, key: WantKey, told: Told, advice: u64, reached_nobody: bool) {
        let Some(want) = self.wants.get_mut(key) else { return };
        let wanted = want.wanted;
        let clients = &self.scenario.clients;
        let effect = self.scenario.products[wanted.product].effect;
        let harmless = matches!(effect, Effect::Idempotent | Effect::Deduplicated(ServerScope::All));
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
    pub(super) fn heard(&mut self, key: QueryKey, told: Told, wait: u64) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let origin = std::mem::replace(&mut query.origin, Origin::Server(ExecKey::null()));
        match origin {
            Origin::Client(want) => self.tried(want, told, wait, false),
            Origin::Server(exec) => self.call_ended(exec, told == Told::Completed),
        }
        self.release(key);
    }
}
