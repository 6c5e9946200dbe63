//! Edge machines: their connections to controllers, and their starts and stops.

use whinspindle_agent::{ConnectionId, Input};
use whinspindle_distribution::{SubscriberId, ToBalancer};

use super::Deployment;
use crate::common::edge::{EdgeAction, Wire};
use crate::common::fleet::Command;
use crate::common::rules::Rules;

impl<R: Rules> Deployment<R> {
    pub(super) fn post_downward(&mut self, subscriber: SubscriberId, message: ToBalancer) {
        let wires = self.edges.iter_mut().flat_map(|edge| edge.wires.values_mut());
        if let Some(wire) = wires.into_iter().find(|wire| wire.subscriber == subscriber) {
            wire.downward.push_back(message);
        }
    }

    pub(super) fn run_edge(&mut self, now: u64, index: usize) {
        if self.edges[index].frozen_until > now {
            return;
        }
        let connections: Vec<ConnectionId> = self.edges[index].wires.keys().copied().collect();
        for connection in connections {
            self.run_wire(now, index, connection);
        }
        let actions = self.edges[index].tick(now);
        self.perform(index, actions);
    }

    fn run_wire(&mut self, now: u64, index: usize, connection: ConnectionId) {
        let edge = &mut self.edges[index];
        let Some(wire) = edge.wires.get_mut(&connection) else { return };
        let controller = wire.controller;
        let incarnation = self.incarnations.get(&controller).copied().unwrap_or(0);
        let is_running = self.fleet.cluster.is_running(controller);
        let goes_up = !self.cuts.contains(&(edge.address, controller));
        let goes_down = !self.cuts.contains(&(controller, edge.address));
        let is_established = wire.accepted_by == Some(incarnation) && is_running;
        if is_established {
            while goes_up && let Some(report) = wire.upward.front() {
                let command = Command::Report { subscriber: wire.subscriber, report: report.clone() };
                if !self.fleet.cluster.command(controller, command) {
                    break;
                }
                wire.upward.pop_front();
            }
            let arrived = if goes_down { std::mem::take(&mut wire.downward) } else { Default::default() };
            for message in arrived {
                let actions = self.edges[index].handle_input(now, Input::FromController(connection, message));
                self.perform(index, actions);
            }
        } else if goes_up && goes_down {
            let input = if wire.accepted_by.is_none() && is_running {
                wire.accepted_by = Some(incarnation);
                Input::Connected(connection)
            } else {
                edge.wires.remove(&connection);
                Input::Closed(connection)
            };
            let actions = self.edges[index].handle_input(now, input);
            self.perform(index, actions);
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<EdgeAction>) {
        for action in actions {
            match action {
                EdgeAction::Connect(connection, controller) => {
                    self.last_subscriber += 1;
                    let wire = Wire {
                        controller,
                        subscriber: SubscriberId(self.last_subscriber),
                        accepted_by: None,
                        upward: Default::default(),
                        downward: Default::default(),
                    };
                    self.edges[index].wires.insert(connection, wire);
                }
                EdgeAction::Closed(wire) => {
                    let incarnation = self.incarnations.get(&wire.controller).copied().unwrap_or(0);
                    let goes_up = !self.cuts.contains(&(self.edges[index].address, wire.controller));
                    if goes_up && wire.accepted_by == Some(incarnation) {
                        let command = Command::Closed { subscriber: wire.subscriber };
                        self.fleet.cluster.command(wire.controller, command);
                    }
                }
            }
        }
    }

    pub fn start_edge(&mut self, index: usize) {
        let now = self.now();
        self.disturb_edge(index);
        let actions = self.edges[index].start_agent(now);
        self.perform(index, actions);
        let actions = self.edges[index].start_proxy(now);
        self.perform(index, actions);
    }

    pub fn stop_edge(&mut self, index: usize) {
        self.disturb_edge(index);
        let now = self.now();
        self.edge_ended_at.insert(self.edges[index].address, now);
        let actions = self.edges[index].stop_agent();
        self.perform(index, actions);
        self.edges[index].stop_proxy(now);
    }

    pub fn restart_edge(&mut self, index: usize) {
        self.stop_edge(index);
        self.start_edge(index);
    }

    pub fn restart_agent(&mut self, index: usize) {
        self.disturb_edge(index);
        let now = self.now();
        let actions = self.edges[index].stop_agent();
        self.perform(index, actions);
        let actions = self.edges[index].start_agent(now);
        self.perform(index, actions);
    }

    pub fn restart_proxy(&mut self, index: usize) {
        self.disturb_edge(index);
        let now = self.now();
        let actions = self.edges[index].stop_proxy(now);
        self.perform(index, actions);
        let actions = self.edges[index].start_proxy(now);
        self.perform(index, actions);
    }

    pub fn freeze_edge(&mut self, index: usize, span_ms: u64) {
        self.edges[index].frozen_until = self.now() + span_ms;
    }
}
