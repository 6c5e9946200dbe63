//! Balancers that start, stand still, go on, end and are killed.

use std::collections::HashMap;

use whinspindle::host::Outcome;
use whinspindle_lab_model::random::{Concern, RandomGenerator};
use whinspindle_lab_report::Told;

use super::Fleet;
use super::event::{Event, Step};
use super::state::{Node, QueryKey};
use crate::decider::Decider;
use crate::rules;

/// Clients' front notices only after this time that a balancer has died.
const FRONT_NOTICES: u64 = 2_000_000;

impl Fleet<'_> {
    /// The balancer of a server, for its calls to the next tier.
    pub(crate) fn add_node_of(&mut self, tier: usize, place: usize) {
        if tier + 1 < self.tiers.len() {
            let host = &mut self.tiers[tier].hosts[place];
            host.node = Some(self.nodes.len());
            let zone = host.zone;
            self.add_node(tier + 1, zone);
        }
    }

    pub(super) fn add_node(&mut self, tier: usize, zone: usize) {
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
        let seed = RandomGenerator::new(
            self.scenario.seed ^ (u64::from(incarnation) << 32),
            Concern::Balancer(node),
        )
        .bits();
        let random = RandomGenerator::new(seed, Concern::Policy(node));
        let terms = rules::terms(self.scenario, tier, zone, node);
        let n = &mut self.nodes[node];
        (n.up, n.stopped, n.incarnation) = (true, false, incarnation);
        let mut decider = Decider::new(self.policy, terms, seed, random, self.now);
        decider.route(rules::route(self.scenario));
        n.decider = Some(decider);
        n.qrys.clear();
        n.free.clear();
        n.kept.clear();
        let news = self.tiers[tier].registry.full_list();
        self.tell(node, news);
        self.carry_out(node);
    }

    /// Whether a balancer is there to take note of something now. What comes while it is stopped waits.
    pub(super) fn runs(&mut self, node: usize, incarnation: u32, event: Event) -> bool {
        let n = &mut self.nodes[node];
        if n.stopped && n.incarnation == incarnation {
            n.waiting.push(event);
        }
        n.up && !n.stopped && n.incarnation == incarnation
    }

    pub(crate) fn resume(&mut self, node: usize) {
        self.nodes[node].stopped = false;
        self.checker.balancer_resumed(self.now, node);
        for event in std::mem::take(&mut self.nodes[node].waiting) {
            self.queue.put(self.now, event);
        }
    }

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
        self.checker.balancer_ended(self.now, node);
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
