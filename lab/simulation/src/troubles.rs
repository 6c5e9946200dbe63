//! The timetable: what each trouble does when it begins and when it is over.

use whinspindle::host::EndpointState;
use whinspindle_lab_model::machine::Machine;
use whinspindle_lab_model::random::{Concern, RandomGenerator};
use whinspindle_lab_scenario::{Ill, Trouble};

use crate::play::{DISCOVERY_NOTICES, Event, Fleet, Host, Step};

/// A balancer that was told to end is killed after the longest statement timeout, of which so much counts,
/// and the time beyond it; its last answers go out so long before.
const MOST_OF_LONGEST: u64 = 3_000_000;
const BEYOND_LONGEST: u64 = 700_000;
const LAST_ANSWERS: u64 = 200_000;
/// A balancer that was told to end takes so long to start again.
const NODE_STARTS_IN: u64 = 500_000;
/// Pods of servers that join have numbers from here on.
const NEW_PODS: usize = 1_000_000;

impl Fleet<'_> {
    /// The troubled servers; a list of numbers in a scenario names machines, not processes.
    fn troubled(&self, trouble: &Trouble) -> Vec<usize> {
        self.scenario.troubled(&trouble.whom)
    }

    fn change(&mut self, trouble: &Trouble, change: impl Fn(&mut Machine)) {
        let tier = trouble.whom.tier;
        for place in self.troubled(trouble) {
            let now = self.now;
            self.tiers[tier].hosts[place].machine.change(now, &change);
            self.schedule(tier, place);
        }
    }

    pub(crate) fn begins(&mut self, number: usize) {
        let trouble = self.scenario.troubles[number].clone();
        let tier = trouble.whom.tier;
        self.queue.put(self.now + trouble.lasts, Event::Ends(number));
        match &trouble.ill {
            Ill::Kill => {
                for place in self.troubled(&trouble) {
                    self.kill(tier, place);
                }
            }
            Ill::Vanish => self.change(&trouble, |machine| machine.silent = true),
            Ill::Hang => self.change(&trouble, |machine| machine.hung = true),
            Ill::Fail(part) => self.change(&trouble, |machine| machine.failure_rate = *part),
            Ill::Slow(factor) => self.change(&trouble, |machine| machine.slowdown = *factor),
            Ill::Pause(time) => {
                self.change(&trouble, |machine| machine.paused = true);
                self.queue
                    .put(self.now + time, Event::Later(Step::Pauses { trouble: number, paused: false }));
            }
            Ill::Neighbour(part) => self.change(&trouble, |machine| machine.neighbour_load = *part),
            Ill::Drain => {
                for place in self.troubled(&trouble) {
                    self.drain(tier, place);
                }
            }
            Ill::Replace(ends) => {
                for place in self.troubled(&trouble) {
                    self.drain(tier, place);
                    self.queue.put(self.now + ends, Event::Later(Step::Replaced { tier, place }));
                }
            }
            Ill::Join(count) => self.join(tier, *count),
            Ill::Cut(a, b) => self.links.partition(*a, *b),
            Ill::Loss(part) => self.links.loss_rate = *part,
            Ill::Resets(part) => self.links.reset_rate = *part,
            Ill::DiscoverySilent => self.registries(|registry| registry.silent = true),
            Ill::DiscoveryLate(by) => self.registries(|registry| registry.delay = *by),
            Ill::DiscoveryForgets(part) => {
                self.registries(|registry| registry.omitted_share = *part);
                self.tell_all_whole();
            }
            Ill::DiscoveryRepeats(ago) => {
                let at = self.now.saturating_sub(*ago);
                for node in 0..self.nodes.len() {
                    if self.nodes[node].up && !self.nodes[node].stopped {
                        let news = self.tiers[self.nodes[node].tier].registry.as_of(at);
                        self.tell(node, news);
                        self.carry_out(node);
                    }
                }
            }
            Ill::BalancerKill(of) | Ill::DiskLost(of) => of.iter().for_each(|&node| self.kill_node(node)),
            Ill::BalancerStop(of) => {
                for &node in of {
                    if self.nodes[node].up {
                        self.nodes[node].stopped = true;
                        self.checker.balancer_paused(self.now, node);
                    }
                }
            }
            Ill::BalancerRestart(of) => of.iter().for_each(|&node| self.restart_front(node)),
            Ill::Release(terms) => self.begin_release(number, &self.troubled(&trouble), terms),
            // In virtual time there is no file to read again.
            Ill::BalancerReload(_) => {}
            Ill::Surge(factor) => self.surge(*factor),
            // Nor do balancers speak to one another or keep anything; `lab/model-checker` plays that.
            Ill::PeerCut(..)
            | Ill::PeerLoss(_)
            | Ill::PeerRepeat(_)
            | Ill::PeerDelay(_)
            | Ill::PeerReorder(_)
            | Ill::DiskBack(_) => {}
        }
    }

    pub(crate) fn ends(&mut self, number: usize) {
        let trouble = self.scenario.troubles[number].clone();
        let tier = trouble.whom.tier;
        match &trouble.ill {
            Ill::Kill => {
                for place in self.troubled(&trouble) {
                    self.start(tier, place);
                }
            }
            Ill::Vanish => self.change(&trouble, |machine| machine.silent = false),
            Ill::Hang => self.change(&trouble, |machine| machine.hung = false),
            Ill::Fail(_) => self.change(&trouble, |machine| machine.failure_rate = 0.0),
            Ill::Slow(_) => self.change(&trouble, |machine| machine.slowdown = 1.0),
            Ill::Pause(_) => self.change(&trouble, |machine| machine.paused = false),
            Ill::Neighbour(_) => self.change(&trouble, |machine| machine.neighbour_load = 0.0),
            Ill::Drain => {
                for place in self.troubled(&trouble) {
                    let started_at = self.started_at(tier, place);
                    self.tiers[tier].hosts[place].machine.draining = false;
                    self.list(tier, place, EndpointState::Ready, started_at);
                }
            }
            Ill::Cut(a, b) => self.links.heal(*a, *b),
            Ill::Loss(_) => self.links.loss_rate = self.scenario.network.loss,
            Ill::Resets(_) => self.links.reset_rate = self.scenario.network.resets,
            Ill::DiscoverySilent => {
                self.registries(|registry| registry.silent = false);
                for tier in 0..self.tiers.len() {
                    self.spread_news(tier);
                }
            }
            Ill::DiscoveryLate(_) => self.registries(|registry| registry.delay = 0),
            Ill::DiscoveryForgets(_) => {
                self.registries(|registry| registry.omitted_share = 0.0);
                self.tell_all_whole();
            }
            Ill::DiscoveryRepeats(_) => self.tell_all_whole(),
            Ill::BalancerKill(of) | Ill::DiskLost(of) => {
                for &node in of {
                    self.start_front(node);
                }
            }
            Ill::BalancerStop(of) => of.iter().for_each(|&node| self.resume(node)),
            Ill::Surge(factor) => self.surge(1.0 / factor.max(1e-9)),
            Ill::Replace(_)
            | Ill::Release(_)
            | Ill::Join(_)
            | Ill::BalancerRestart(_)
            | Ill::BalancerReload(_)
            | Ill::PeerCut(..)
            | Ill::PeerLoss(_)
            | Ill::PeerRepeat(_)
            | Ill::PeerDelay(_)
            | Ill::PeerReorder(_)
            | Ill::DiskBack(_) => {}
        }
    }

    pub(crate) fn later(&mut self, step: Step) {
        match step {
            Step::Missed { tier, server } => {
                let place = self.tiers[tier].place_of[server];
                let host = &self.tiers[tier].hosts[place];
                if host.server == server && !host.machine.is_up() {
                    self.list(tier, place, EndpointState::Gone, 0);
                }
            }
            Step::Replaced { tier, place } => self.replace(tier, place),
            Step::Pauses { trouble: number, paused } => {
                let trouble = self.scenario.troubles[number].clone();
                let Ill::Pause(time) = trouble.ill else { return };
                if self.now < crate::play::BEGUN + trouble.at + trouble.lasts {
                    self.change(&trouble, |machine| machine.paused = paused);
                    let step = Step::Pauses { trouble: number, paused: !paused };
                    self.queue.put(self.now + time, Event::Later(step));
                }
            }
            Step::NodeEnds(node) => {
                self.checker.shutdown_grace_expired(self.now, node);
                self.kill_node(node);
                self.queue.put(self.now + NODE_STARTS_IN, Event::Later(Step::NodeStarts(node)));
            }
            Step::NodeStarts(node) => self.start_front(node),
            Step::Released { place } => self.released(place),
            Step::Supervise => self.supervise(),
            Step::FrontSees(node) => {
                if !self.nodes[node].up {
                    self.nodes[node].dealt = false;
                }
            }
        }
    }

    /// A balancer is told to end, and starts again when it has.
    pub(crate) fn restart_front(&mut self, node: usize) {
        let longest = self.scenario.products.iter().map(|p| p.statement_timeout).max().unwrap_or(0);
        let left = longest.min(MOST_OF_LONGEST) + BEYOND_LONGEST;
        self.nodes[node].dealt = false;
        self.stopping(node, self.now + left - LAST_ANSWERS);
        self.queue.put(self.now + left, Event::Later(Step::NodeEnds(node)));
    }

    fn start_front(&mut self, node: usize) {
        if !self.nodes[node].up {
            self.start_node(node);
        }
        self.nodes[node].dealt = true;
    }

    fn registries(&mut self, change: impl Fn(&mut whinspindle_lab_model::registry::Registry)) {
        self.tiers.iter_mut().for_each(|tier| change(&mut tier.registry));
    }

    fn tell_all_whole(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].up && !self.nodes[node].stopped {
                let news = self.tiers[self.nodes[node].tier].registry.full_list();
                self.tell(node, news);
                self.carry_out(node);
            }
        }
    }

    fn started_at(&self, tier: usize, place: usize) -> u64 {
        let registry = &self.tiers[tier].registry;
        registry.get(self.tiers[tier].hosts[place].server).map_or(0, |listing| listing.started_at)
    }

    pub(crate) fn drain(&mut self, tier: usize, place: usize) {
        let started_at = self.started_at(tier, place);
        self.tiers[tier].hosts[place].machine.draining = true;
        self.list(tier, place, EndpointState::Draining, started_at);
    }

    /// The process ends; so does the balancer of its calls.
    fn stop(&mut self, tier: usize, place: usize) {
        let held = self.tiers[tier].hosts[place].machine.drop_jobs();
        self.tiers[tier].hosts[place].machine.stop(self.now);
        self.schedule(tier, place);
        if let Some(node) = self.tiers[tier].hosts[place].node {
            self.kill_node(node);
        }
        self.break_all(held);
    }

    fn kill(&mut self, tier: usize, place: usize) {
        self.stop(tier, place);
        let server = self.tiers[tier].hosts[place].server;
        self.queue.put(self.now + DISCOVERY_NOTICES, Event::Later(Step::Missed { tier, server }));
    }

    /// A new process on a machine, cold, under a number of its own.
    fn start(&mut self, tier: usize, place: usize) {
        let server = self.tiers[tier].place_of.len();
        let old = self.tiers[tier].hosts[place].server;
        if self.tiers[tier].registry.get(old).is_some() {
            self.list(tier, place, EndpointState::Gone, 0);
        }
        self.tiers[tier].place_of.push(place);
        let now = self.now;
        let host = &mut self.tiers[tier].hosts[place];
        host.server = server;
        host.machine.start(now);
        if let Some(node) = host.node {
            self.start_front(node);
        }
        self.checker.server_started(now, crate::rules::server_id(tier, server));
        self.list(tier, place, EndpointState::Ready, now);
        self.schedule(tier, place);
    }

    pub(crate) fn replace(&mut self, tier: usize, place: usize) {
        self.stop(tier, place);
        self.list(tier, place, EndpointState::Gone, 0);
        self.start(tier, place);
    }

    /// New servers of the tier's first group, dealt out over its zones.
    fn join(&mut self, tier: usize, count: usize) {
        let group = self.scenario.tiers[tier].servers[0].clone();
        for n in 0..count {
            let place = self.tiers[tier].hosts.len();
            let random = RandomGenerator::new(self.scenario.seed, Concern::Machine(place + tier * 100_000));
            let kind = &self.scenario.kinds[group.kind];
            let mut machine = Machine::new(kind, &self.scenario.tiers[tier], random, 0);
            machine.stop(self.now);
            let zone = group.zones[n % group.zones.len()];
            // It has no process yet; `start` gives it one. Each is a pod of its own.
            self.tiers[tier].hosts.push(Host::new(machine, zone, group.kind, NEW_PODS + place, usize::MAX));
            self.add_node_of(tier, place);
            self.start(tier, place);
        }
    }
}
