//! Calls of upstreams to controllers, and the responses to them.

use std::net::SocketAddr;

use http::StatusCode;
use whinspindle_controller::CallId;
use whinspindle_controller::api::{Call, Response};

use super::Deployment;
use crate::common::fleet::{Answer, Command};
use crate::common::rules::Rules;
use crate::common::upstream::{Phase, Upstream};

/// The share of heartbeats with a delayed copy.
const DELAYED_RATIO: f64 = 0.05;
/// The longest delay of a copy.
const MAX_DELAY_MS: usize = 6_000;

impl<R: Rules> Deployment<R> {
    pub(super) fn call_for_upstreams(&mut self) {
        let now = self.now();
        let endpoints = self.fleet.cluster.endpoints();
        for index in 0..self.upstreams.len() {
            let Some(call) = self.upstreams[index].due_call(now) else { continue };
            let at = endpoints[self.upstreams[index].target % endpoints.len()];
            let id = self.fleet.next_call();
            let reaches = !self.cuts.contains(&(self.upstreams[index].address, at));
            if reaches && !self.fleet.cluster.is_running(at) {
                self.upstreams[index].failed(now);
                continue;
            }
            self.upstreams[index].waiting = Some((id, at, now));
            if reaches {
                self.schedule_delayed_copy(now, &call);
                self.fleet.cluster.send_command(at, Command::Call { id, call });
            }
        }
    }

    /// Schedules a delayed copy of some heartbeats to a random controller.
    fn schedule_delayed_copy(&mut self, now: u64, call: &Call) {
        if matches!(call, Call::Heartbeat { .. }) && self.random.next_f64() < DELAYED_RATIO {
            let endpoints = self.fleet.cluster.endpoints();
            let at = endpoints[self.random.next_below(endpoints.len())];
            let due = now + self.random.next_below(MAX_DELAY_MS) as u64;
            self.delayed_heartbeats.push((due, at, call.clone()));
        }
    }

    /// The callers have already moved on, so the responses are dropped.
    pub(super) fn deliver_delayed_heartbeats(&mut self) {
        let now = self.now();
        let due: Vec<_> = self.delayed_heartbeats.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, at, call) in due {
            let id = self.fleet.next_call();
            self.fleet.cluster.send_command(at, Command::Call { id, call });
        }
    }

    pub(super) fn take_response(&mut self, at: u64, from: SocketAddr, id: CallId, response: Response) {
        if let Some(read) = self.reads.remove(&id) {
            self.take_read(read, &response);
            return;
        }
        if response.status == StatusCode::OK {
            self.acknowledgements += 1;
            self.acknowledged_by = Some(from);
        }
        let waits = |upstream: &Upstream| upstream.waiting.is_some_and(|(waiting, ..)| waiting == id);
        let Some(index) = self.upstreams.iter().position(waits) else {
            self.fleet.record(at, Answer::Response { id, response });
            return;
        };
        let upstream = &mut self.upstreams[index];
        if self.cuts.contains(&(from, upstream.address)) {
            return;
        }
        if response.status != StatusCode::OK {
            upstream.failed(at);
            return;
        }
        if upstream.phase != Phase::Serving {
            self.checker.left(at, &upstream.id);
        }
        upstream.acknowledged(at);
    }

    pub fn leave(&mut self, index: usize, announces_draining: bool) {
        let now = self.now();
        let count = self.upstreams.len();
        self.upstreams[index % count].leave(now, announces_draining);
    }
}
