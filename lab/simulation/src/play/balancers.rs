//! Queries at their balancers: decided on, carried out and answered.

use whinspindle::host::{Arrival, Outcome};
use whinspindle_lab_invariants::Final;
use whinspindle_lab_report::Told;

use super::Fleet;
use super::event::Event;
use super::state::{Eyes, Origin, QueryKey};
use crate::decider::Wish;

impl Fleet<'_> {
    pub(super) fn at_node(&mut self, key: QueryKey) {
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
        let query_index = n.free.pop().unwrap_or_else(|| {
            n.qrys.push(None);
            n.qrys.len() - 1
        });
        n.qrys[query_index] = Some(key);
        let (tier, incarnation) = (n.tier, n.incarnation);
        let query = &mut self.queries[key];
        (query.query_index, query.came, query.incarnation) = (Some(query_index), self.now, incarnation);
        self.note(2, id, node as u64);
        self.tally.taken += u64::from(self.tally.counts(self.now));
        self.checker.query_accepted(self.now, node, id, product, deadline);
        let eyes = Eyes(&self.tiers[tier], self.now);
        if let Some(decider) = &mut self.nodes[node].decider {
            decider.query(
                self.now,
                query_index,
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

    pub(super) fn key_of(&self, node: usize, query_index: usize) -> Option<QueryKey> {
        self.nodes[node].qrys.get(query_index).copied().flatten()
    }

    pub(super) fn carry(&mut self, node: usize, wish: Wish) {
        match wish {
            Wish::Execute { query_index, server, time_out } => {
                if let Some(key) = self.key_of(node, query_index) {
                    self.execute(node, key, server, time_out);
                }
            }
            Wish::Cancel { query_index, exec } => {
                let key = self.key_of(node, query_index);
                let exec = key.and_then(|key| self.queries[key].execs.get(exec).copied());
                if let Some(exec) = exec {
                    self.call_off(exec, Outcome::Cancelled);
                }
            }
            Wish::Reject { query_index, retry_after } => {
                self.answer(node, query_index, Told::Rejected, retry_after)
            }
            Wish::Abort { query_index } => self.answer(node, query_index, Told::Failed, 0),
            Wish::Wake { wait, label } => {
                let incarnation = self.nodes[node].incarnation;
                self.queue.put(self.now + wait, Event::Wake(node, incarnation, label));
            }
            Wish::Probe { server } => self.probe(node, server),
        }
    }

    /// A final answer that is not a server's.
    pub(super) fn answer(&mut self, node: usize, query_index: usize, told: Told, wait: u64) {
        if let Some(key) = self.key_of(node, query_index) {
            self.say(node, key, told, wait);
        }
    }

    pub(super) fn say(&mut self, node: usize, key: QueryKey, told: Told, wait: u64) {
        let query = &mut self.queries[key];
        let word = match told {
            Told::Completed => Final::Completed,
            Told::Rejected => Final::Rejected,
            Told::Failed => Final::Aborted,
        };
        self.checker.query_answered(self.now, query.id, word);
        query.answered = true;
        let (id, product, came) = (query.id, query.product, query.came);
        let from = match query.origin {
            Origin::Client(want) => self.wants.get(want).map_or(0, |want| want.wanted.zone),
            Origin::Server(_) => self.nodes[node].zone,
        };
        self.note(3, id, told as u64);
        self.tally.tier(self.nodes[node].tier, node, product, came, self.now, told);
        match self.links.transit_time(self.nodes[node].zone, from) {
            Some(way) => self.queue.put(self.now + way, Event::Heard(key, told, wait)),
            // Cut off: the client finds out when its time is over.
            None => {
                let late = query_wait(self.queries[key].deadline, self.now);
                self.queue.put(self.now + late, Event::Heard(key, Told::Failed, 0));
            }
        }
        self.release(key);
    }

    pub(super) fn release(&mut self, key: QueryKey) {
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
        if let Some(query_index) = query.query_index {
            let n = &mut self.nodes[query.node];
            if n.incarnation == query.incarnation && n.qrys.get(query_index).copied().flatten() == Some(key) {
                n.qrys[query_index] = None;
                n.free.push(query_index);
            }
        }
        if heard && let Some(query) = self.queries.remove(key) {
            for exec in query.execs {
                self.execs.remove(exec);
            }
        }
    }
}

fn query_wait(deadline: u64, now: u64) -> u64 {
    deadline.saturating_sub(now).max(1)
}
