//! Executions: sent to servers, timed out, called off and ended.

use slotmap::Key;
use whinspindle::host::{ExecutionEnd, Outcome};
use whinspindle_lab_model::machine::{Admission, Report, Task};
use whinspindle_lab_report::Told;

use super::Fleet;
use super::event::Event;
use super::state::{Exec, ExecKey, Eyes, QueryKey, load};
use crate::rules;

/// A connection is used again up to this part of the time after which the server would close it.
const KEPT_FOR: f64 = 0.7;
/// Idle connections kept to one server.
const MOST_KEPT: usize = 64;

impl Fleet<'_> {
    pub(super) fn execute(&mut self, node: usize, key: QueryKey, server: usize, time_out: u64) {
        let tier = self.nodes[node].tier;
        let Some(&place) = self.tiers[tier].place_of.get(server) else { return };
        let host = &self.tiers[tier].hosts[place];
        let (from, to, alive) = (self.nodes[node].zone, host.zone, host.server == server);
        let query = &mut self.queries[key];
        let (id, work, number) = (query.id, query.work, query.execs.len());
        self.checker.execution_sent(self.now, id, rules::server_id(tier, server), work);
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
        let mut way = self.links.transit_time(from, to);
        if fresh {
            // There and back once before the query itself goes out.
            way = way.and_then(|way| {
                Some(way + self.links.transit_time(to, from)? + self.links.transit_time(from, to)?)
            });
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
    pub(super) fn arrives(&mut self, key: ExecKey) {
        if let Some(exec) = self.execs.get_mut(key).filter(|exec| exec.coming) {
            exec.coming = false;
            self.tiers[exec.tier].hosts[exec.place].coming -= 1;
        }
    }

    pub(super) fn at_server(&mut self, key: ExecKey) {
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
        let gone = if fresh { Outcome::NotConnected } else { Outcome::StaleConnection };
        let product = &self.scenario.products[self.queries[query].product];
        let task = Task { work, calls: product.calls, fresh };
        let taken = if host.server == server {
            host.machine.connections += usize::from(fresh);
            host.machine.admit(self.now, key.data().as_ffi(), task)
        } else {
            Admission::Down
        };
        self.note(5, server as u64, taken as u64);
        match taken {
            Admission::Accepted => {
                self.execs[key].arrived = true;
                self.schedule(tier, place);
            }
            Admission::Rejected => {
                if let Some(way) = self.way_back(key) {
                    self.queue.put(self.now + way, Event::Reply(key, Outcome::Rejected, None));
                }
            }
            Admission::Down => {
                if self.tiers[tier].hosts[place].machine.is_overloaded() {
                    self.fallen(tier, place);
                }
                if let Some(way) = self.way_back(key) {
                    self.queue.put(self.now + way, Event::Ended(key, gone));
                }
            }
        }
    }

    pub(super) fn way_back(&mut self, exec: ExecKey) -> Option<u64> {
        let e = &self.execs[exec];
        let (from, to) =
            (self.tiers[e.tier].hosts[e.place].zone, self.nodes[self.queries[e.query].node].zone);
        self.links.transit_time(from, to)
    }

    pub(super) fn time_out(&mut self, exec: ExecKey) {
        if self.execs.get(exec).is_some_and(|e| !e.ended) {
            self.call_off(exec, Outcome::TimedOut);
        }
    }

    /// The balancer stops waiting: it closes the connection.
    pub(super) fn call_off(&mut self, key: ExecKey, outcome: Outcome) {
        let Some(e) = self.execs.get(key).filter(|e| !e.ended) else { return };
        let (tier, place, server, arrived) = (e.tier, e.place, e.server, e.arrived);
        let host = &mut self.tiers[tier].hosts[place];
        if arrived && host.server == server {
            host.machine.connections = host.machine.connections.saturating_sub(1);
            host.machine.cancel(self.now, key.data().as_ffi());
            self.schedule(tier, place);
        }
        // What has not arrived yet is not known not to have: only a fresh connection shows that.
        let outcome = match outcome {
            Outcome::Cancelled if !arrived && self.execs[key].fresh => Outcome::NeverSent,
            other => other,
        };
        if outcome == Outcome::TimedOut {
            self.ended(key, outcome, None, None);
        } else {
            self.execs[key].arrived |= outcome != Outcome::NeverSent;
            self.queue.put(self.now, Event::Ended(key, outcome));
        }
    }

    pub(super) fn reply(&mut self, key: ExecKey, outcome: Outcome, report: Option<Report>) {
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
    pub(super) fn ended(
        &mut self,
        key: ExecKey,
        outcome: Outcome,
        report: Option<Report>,
        kept: Option<usize>,
    ) {
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
        if kept.is_none() && !matches!(outcome, Outcome::Cancelled | Outcome::TimedOut | Outcome::NeverSent) {
            // The connection broke: the others to that server are looked at again too.
            self.nodes[node].kept.remove(&server);
        }
        let host = &mut self.tiers[tier].hosts[place];
        if host.server == server
            && host.machine.is_up()
            && kept.is_none()
            && outcome == Outcome::StaleConnection
        {
            host.machine.connections = host.machine.connections.saturating_sub(1);
        }
        let q = &mut self.queries[query];
        q.out -= 1;
        if !alive {
            return self.release(query);
        }
        let (id, query_index, product) = (q.id, q.query_index.unwrap_or(0), q.product);
        self.watch_execution(node, tier, place, product, outcome, spent);
        self.note(6, id, outcome as u64);
        self.checker.execution_ended(self.now, id, number, !outcome.never_ran());
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
        let ending = ExecutionEnd { outcome, query_answered: over, elapsed_us: spent, report: load(report) };
        let eyes = Eyes(&self.tiers[tier], self.now);
        if let Some(decider) = &mut self.nodes[node].decider {
            decider.completed(self.now, query_index, number, ending, &eyes);
        }
        self.carry_out(node);
        self.release(query);
    }
}
