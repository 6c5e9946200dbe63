//! Operators: pairs of concurrent commands on the same base, and evacuations.

use bytes::Bytes;
use http::StatusCode;
use whinspindle_controller::api::{Call, Response};

use super::Deployment;
use crate::common::rules::Rules;
use crate::common::{configuration, evacuate};

/// Two concurrent commands on the same base, of which one has to be confirmed.
pub(super) struct Race {
    pub(super) generation: u64,
    pub(super) attempts: [usize; 2],
    bodies: [Bytes; 2],
}

/// A pending evacuation command.
pub(super) struct ZoneCommand {
    zone: &'static str,
    evacuated: bool,
    attempt: usize,
}

impl<R: Rules> Deployment<R> {
    pub(super) fn submit_commands(&mut self) {
        if self.are_operators_stopped {
            return;
        }
        if self.race.is_none() {
            self.begin_race();
        }
        if self.zone_command.is_none() {
            self.begin_zone_command();
        }
    }

    fn begin_race(&mut self) {
        let base = self.checker.newest_generation();
        let generation = base + 1 + self.fleet.random.next_below(2) as u64;
        let bodies = ["one", "other"].map(|operator| {
            let text = String::from_utf8(configuration(generation).to_vec()).unwrap();
            Bytes::from(text.replacen('{', &format!("{{\"operator\":\"{operator}\","), 1))
        });
        let attempts = bodies.clone().map(|body| self.fleet.begin(Call::Replace { base, generation, body }));
        self.race = Some(Race { generation, attempts, bodies });
    }

    fn begin_zone_command(&mut self) {
        let zone = ["zone-a", "zone-b", "zone-c"][self.fleet.random.next_below(3)];
        let evacuated = !self.checker.zones().get(zone).is_some_and(|(_, evacuated)| *evacuated);
        self.checker.evacuating(zone);
        let attempt = self.fleet.begin(evacuate(zone, evacuated));
        self.zone_command = Some(ZoneCommand { zone, evacuated, attempt });
    }

    pub(super) fn answer_of(&self, attempt: usize) -> Option<(u64, Response)> {
        self.fleet.attempts[attempt].answered.clone()
    }

    pub(super) fn take_outcomes(&mut self) {
        if let Some(command) = &self.zone_command
            && let Some((at, answer)) = self.answer_of(command.attempt)
        {
            let ZoneCommand { zone, evacuated, .. } = *command;
            if answer.status != StatusCode::OK {
                self.report_problem(format!("an evacuation was answered {}", answer.status));
            }
            self.checker.evacuated(at, zone, evacuated);
            self.zone_command = None;
        }
        if let Some(race) = &self.race
            && let [Some(one), Some(other)] = race.attempts.map(|attempt| self.answer_of(attempt))
        {
            self.take_race(one, other);
        }
    }

    fn take_race(&mut self, one: (u64, Response), other: (u64, Response)) {
        let Some(race) = self.race.take() else { return };
        let statuses = (one.1.status, other.1.status);
        match statuses {
            (StatusCode::OK, StatusCode::PRECONDITION_FAILED) => {
                self.checker.configured(one.0, race.generation)
            }
            (StatusCode::PRECONDITION_FAILED, StatusCode::OK) => {
                self.checker.configured(other.0, race.generation);
            }
            _ => self.report_problem(format!("of two changes on one base: {statuses:?} {:?}", race.bodies)),
        }
    }

    /// Stops new commands and waits until no command is pending.
    pub fn finish_commands(&mut self, limit_ms: u64) {
        self.are_operators_stopped = true;
        let end = self.now() + limit_ms;
        while self.now() < end && (self.race.is_some() || self.zone_command.is_some()) {
            self.step();
        }
        if self.race.is_some() || self.zone_command.is_some() {
            self.report_problem(format!("a command has no outcome after {limit_ms} ms"));
        }
    }
}
