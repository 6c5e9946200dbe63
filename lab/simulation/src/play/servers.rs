//! Servers: what they have done goes out, they call the next tier, and cold ones are pushed over.

use slotmap::{Key, KeyData};
use whinspindle::host::{EndpointState, Outcome};
use whinspindle_lab_model::machine::MachineEvent;
use whinspindle_lab_model::random::{Concern, RandomGenerator};

use super::Fleet;
use super::discovery::DISCOVERY_NOTICES;
use super::event::{Event, Step};
use super::state::{ExecKey, Origin};
use crate::rules;

impl Fleet<'_> {
    /// A cold server has been pushed over: what it held breaks, and it stays down.
    pub(super) fn fallen(&mut self, tier: usize, place: usize) {
        let server = self.tiers[tier].hosts[place].server;
        let held = self.tiers[tier].hosts[place].machine.drop_jobs();
        if !held.is_empty()
            || self.tiers[tier].registry.get(server).is_some_and(|l| l.standing == EndpointState::Ready)
        {
            self.checker.server_overloaded(self.now, rules::server_id(tier, server));
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

    pub(super) fn step(&mut self, tier: usize, place: usize) {
        let mut did = std::mem::take(&mut self.did);
        self.tiers[tier].hosts[place].machine.step(self.now, &mut did);
        self.serve(tier, place, &mut did);
        self.did = did;
        self.schedule(tier, place);
    }

    /// What a server has done goes out.
    pub(super) fn serve(&mut self, tier: usize, place: usize, did: &mut Vec<MachineEvent>) {
        for did in did.drain(..) {
            match did {
                MachineEvent::Answered(job, well) => {
                    let exec = ExecKey::from(KeyData::from_ffi(job));
                    let Some(e) = self.execs.get(exec) else { continue };
                    let id = self.queries[e.query].id;
                    if well {
                        self.checker.query_executed(self.now, rules::server_id(tier, e.server), id);
                        self.tally.work_done += e.work;
                    }
                    let report = self.tiers[tier].hosts[place].machine.report(self.now);
                    let broken = !self.execs[exec].fresh && self.links.resets_exchange();
                    let Some(way) = self.way_back(exec) else { continue };
                    if broken {
                        self.queue.put(self.now + way, Event::Ended(exec, Outcome::StaleConnection));
                    } else {
                        let outcome = if well { Outcome::Completed } else { Outcome::Error };
                        self.queue.put(self.now + way, Event::Reply(exec, outcome, report));
                    }
                }
                MachineEvent::Calls(job) => self.call(tier, place, job),
            }
        }
    }

    /// A server calls the next tier through its own balancer.
    pub(super) fn call(&mut self, tier: usize, place: usize, job: u64) {
        let exec = ExecKey::from(KeyData::from_ffi(job));
        let Some(node) = self.tiers[tier].hosts[place].node else { return };
        let Some(e) = self.execs.get(exec) else { return };
        let parent = &self.queries[e.query];
        let product = self.scenario.products[parent.product].calls_product;
        let row = &self.scenario.products[product];
        let deadline = parent.deadline.min(self.now + row.statement_timeout);
        let (tenant, mark) = (parent.tenant, parent.mark.rotate_left(17) ^ self.queries_made);
        let work = RandomGenerator::new(mark, Concern::Clients).varied(row.work as f64, row.varies).max(1.0);
        let query = self.make(Origin::Server(exec), node, product, tenant, deadline);
        let q = &mut self.queries[query];
        (q.work, q.mark) = (work, mark);
        self.queue.put(self.now + 1, Event::AtNode(query));
        self.queue.put(deadline + self.scenario.allowed.slack + 1_000, Event::Leaves(query));
    }

    pub(super) fn call_ended(&mut self, exec: ExecKey, well: bool) {
        let Some(e) = self.execs.get(exec) else { return };
        let (tier, place) = (e.tier, e.place);
        let mut did = std::mem::take(&mut self.did);
        let machine = &mut self.tiers[tier].hosts[place].machine;
        machine.call_returned(self.now, exec.data().as_ffi(), well, &mut did);
        self.serve(tier, place, &mut did);
        self.did = did;
        self.schedule(tier, place);
    }
}
