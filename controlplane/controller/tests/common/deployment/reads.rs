//! Reads of the configuration at random controllers in any state.

use std::net::SocketAddr;

use http::StatusCode;
use whinspindle_controller::api::{Call, Response};

use super::{Deployment, text_between};
use crate::common::fleet::Command;
use crate::common::rules::Rules;

/// Interval between two reads of the configuration.
const READ_MS: u64 = 170;

/// A read of the configuration at one controller.
pub(super) struct Read {
    at: SocketAddr,
    sent_at: u64,
    /// The newest generation that had been acknowledged when it was sent.
    acknowledged: u64,
}

impl<R: Rules> Deployment<R> {
    pub(super) fn read_configuration(&mut self) {
        let now = self.now();
        if now < self.read_at {
            return;
        }
        self.read_at = now + READ_MS;
        let endpoints = self.fleet.cluster.endpoints();
        let at = endpoints[self.random.next_below(endpoints.len())];
        let id = self.fleet.next_call();
        let read = Read { at, sent_at: now, acknowledged: self.newest_acknowledged() };
        if self.fleet.cluster.send_command(at, Command::Call { id, call: Call::Fetch }) {
            self.reads.insert(id, read);
        }
    }

    /// The newest generation that was confirmed to an operator.
    fn newest_acknowledged(&self) -> u64 {
        let is_taken = |attempt: usize| {
            self.answer_of(attempt).is_some_and(|(_, answer)| answer.status == StatusCode::OK)
        };
        let raced = self.race.as_ref().filter(|race| race.attempts.into_iter().any(is_taken));
        raced.map_or(0, |race| race.generation).max(self.checker.newest_generation())
    }

    /// Checks that a read returns no older generation than was acknowledged before it was sent. 503 is always
    /// allowed.
    pub(super) fn take_read(&mut self, read: Read, response: &Response) {
        let text = String::from_utf8_lossy(&response.body);
        let generation = match response.status {
            StatusCode::OK => text_between(&text, "\"generation\":", ',').parse().expect("a number"),
            StatusCode::NOT_FOUND => 0,
            _ => return,
        };
        if generation < read.acknowledged {
            let Read { at, sent_at, acknowledged } = read;
            let read = format!("{at} was asked at {sent_at} and read {generation}");
            self.report_problem(format!("{read}, {acknowledged} was acknowledged"));
        }
    }
}
