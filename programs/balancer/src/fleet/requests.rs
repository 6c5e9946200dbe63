//! Handles the requests of operators and supervisors from the control socket.

use std::collections::BTreeSet;

use serde_json::json;
use whinspindle_fleet_policy::{
    Environment, Hash, LeaseState, MAX_TEXT_BYTES, RequestKind, RestartRefusal, Unit,
};
use whinspindle_rollout::Direction;

use super::worker::{Worker, truncated};
use crate::control::{Answer, Request};

impl Worker {
    /// Answers one request; whatever it starts continues in the member.
    pub(super) fn serve(&mut self, request: Request) -> Answer {
        let now = self.clock.now();
        match request {
            Request::Status => Ok(self.status(now)),
            Request::Found { anew, sure } => self.bootstrap(now, anew, sure),
            Request::Propose { text, length, hash } => self.propose(now, &text, length, &hash),
            Request::Withdraw { number } => self.withdraw(now, number),
            Request::Out { unit, serial, release } => self.ask_out(now, unit, serial, release),
            Request::Back { unit, .. } if self.member.record().grant_of(unit).is_none() => {
                Err("it is not let out".to_string())
            }
            Request::Back { unit, done } => self.submit(now, RequestKind::Return { unit, done }),
            Request::Release { text, length, hash } => self.begin_release(now, &text, length, &hash),
            Request::Turn => self.turn_release(now),
            Request::Leave => self.leave_release(now),
            Request::Halt { why } => self.submit(now, RequestKind::Halt { reason: truncated(why) }),
            Request::Resume => self.submit(now, RequestKind::Resume),
            Request::Voters { old, new } => self.replace_voter(now, old, new),
        }
    }

    /// Submits a request to the voters under a new serial number.
    fn submit(&mut self, now: u64, request: RequestKind) -> Answer {
        self.member.submit(now, request, rand::random());
        Ok(json!({"begun": true}))
    }

    /// Bootstraps the fleet. With `anew` it is done again after most voters lost their stores, and unless `sure`
    /// only the known state is returned.
    fn bootstrap(&mut self, now: u64, anew: bool, sure: bool) -> Answer {
        let record = self.member.record();
        let is_bootstrapped = record.bootstrap_id != 0;
        if is_bootstrapped && !anew {
            return Err("the fleet is founded already".to_string());
        }
        if anew && !is_bootstrapped {
            return Err(
                "nothing is known here of a founding before; ask at a member that remembers".to_string()
            );
        }
        if anew && matches!(self.member.lease_state(now), LeaseState::Policy(_)) {
            return Err("a majority of the voters answers: nothing is to be founded anew".to_string());
        }
        if anew && !sure {
            return Ok(json!({"begun": false, "known": self.status(now)}));
        }
        let epoch = record.epoch();
        self.member.bootstrap(now, rand::random());
        Ok(json!({"begun": true, "epoch": epoch}))
    }

    fn propose(&mut self, now: u64, text: &str, length: usize, hash: &str) -> Answer {
        let record = self.member.record();
        if record.bootstrap_id == 0 {
            return Err("the fleet is not founded: whinspindle fleet found".to_string());
        }
        if !is_complete(text, length, hash) {
            return Err("the text did not come whole".to_string());
        }
        if text.len() > MAX_TEXT_BYTES {
            return Err(format!("{} bytes; a policy has {MAX_TEXT_BYTES} at most", text.len()));
        }
        // A policy that is invalid here is not proposed to others.
        if let Err(faults) = whinspindle_operator_file::parse_policy(text, &self.deployment) {
            let drawn = whinspindle_operator_file::render_faults("the policy", text, &faults);
            return Err(format!("{} faults\n{drawn}", faults.len()));
        }
        if let Some(change) = record.pending_change {
            return Err(format!("policy {} is under way; withdraw it or wait", change.policy.number));
        }
        let request_id = self.member.propose(now, text.as_bytes(), rand::random());
        Ok(json!({"by": request_id.member, "serial": request_id.serial}))
    }

    fn withdraw(&mut self, now: u64, number: u64) -> Answer {
        let record = self.member.record();
        if record.bootstrap_id == 0 {
            return Err("the fleet is not founded: whinspindle fleet found".to_string());
        }
        if record.pending_change.is_none_or(|change| change.policy.number != number) {
            return Err(format!("policy {number} is not under way"));
        }
        let request_id = self.member.withdraw(now, number, rand::random());
        Ok(json!({"by": request_id.member, "serial": request_id.serial}))
    }

    fn turn_release(&mut self, now: u64) -> Answer {
        let Some(release) = &self.member.record().release else {
            return Err("no release is under way".to_string());
        };
        let number = release.number;
        if release.direction == Direction::Rollback {
            return Err(format!("release {number} is on its way back already"));
        }
        self.member.submit(now, RequestKind::RollBack { number }, rand::random());
        Ok(json!({"number": number}))
    }

    fn leave_release(&mut self, now: u64) -> Answer {
        let Some(release) = &self.member.record().release else {
            return Err("no release is under way".to_string());
        };
        let number = release.number;
        self.member.submit(now, RequestKind::EndRelease { number }, rand::random());
        Ok(json!({"number": number}))
    }

    fn replace_voter(&mut self, now: u64, old: u16, new: u16) -> Answer {
        let record = self.member.record();
        let votes = |member: u16| record.voter_sets.iter().flatten().any(|voter| voter.member == member);
        if !votes(old) {
            return Err(format!("member {old} does not vote"));
        }
        if votes(new) || new >= self.member.settings().member_count {
            return Err(format!("member {new} votes already, or there is no such member"));
        }
        self.submit(now, RequestKind::ReplaceVoter { old, new })
    }

    /// Answers whether a supervisor may take a unit out. Idempotent by serial number, since an answer may be lost.
    fn ask_out(&mut self, now: u64, unit: Unit, serial: u64, release: Option<u64>) -> Answer {
        let record = self.member.record();
        if let Some(out) = record.grant_of(unit) {
            let way = out
                .release_part
                .map(|part| if part.direction == Direction::Rollout { "forth" } else { "back" });
            return match out.request_id.serial == serial {
                true => Ok(json!({"granted": true, "way": way})),
                false => Err("it is let out already, by another's wish".to_string()),
            };
        }
        // The earlier request may have gone through any member.
        if record.completed_requests.iter().any(|request_id| request_id.serial == serial) {
            return Err("this wish was granted, and its unit is back: ask with another word".to_string());
        }
        if let Some(halt) = &record.halt {
            return Ok(json!({"granted": false, "halted": halt.reason}));
        }
        if let Err(no) = self.member.release_part(now, unit, release) {
            return match no {
                RestartRefusal::WaveNotBegun { .. } | RestartRefusal::PlanUnknown => {
                    self.member.submit(now, RequestKind::TakeOut { unit, release }, serial);
                    Ok(json!({"granted": false, "waits": no.to_string()}))
                }
                _ => Err(no.to_string()),
            };
        }
        // The leader decides; the local view gives the likely reason for the wait.
        let waits = match self.member.environment.check_restart(record, unit, &BTreeSet::new()) {
            Err(no @ (RestartRefusal::NoLimit | RestartRefusal::UnknownUnit)) => return Err(no.to_string()),
            Err(no) => no.to_string(),
            Ok(()) => "the voters have not said so yet".to_string(),
        };
        self.member.submit(now, RequestKind::TakeOut { unit, release }, serial);
        Ok(json!({"granted": false, "waits": waits}))
    }

    fn begin_release(&mut self, now: u64, text: &str, length: usize, hash: &str) -> Answer {
        let record = self.member.record();
        if record.bootstrap_id == 0 {
            return Err("the fleet is not founded: whinspindle fleet found".to_string());
        }
        if !is_complete(text, length, hash) || length > MAX_TEXT_BYTES {
            return Err(format!("the text did not come whole, or is longer than {MAX_TEXT_BYTES} bytes"));
        }
        if let Some(release) = &record.release {
            return Err(format!("release {} is under way; leave it, or wait", release.number));
        }
        let members = self.member.settings().member_count as usize;
        let plan = whinspindle_operator_file::parse_plan(text, Some(members)).map_err(|faults| {
            format!(
                "{} faults\n{}",
                faults.len(),
                whinspindle_operator_file::render_faults("the plan", text, &faults)
            )
        })?;
        // A release that could never begin is rejected at once.
        for unit in &plan.units {
            if let Err(no @ (RestartRefusal::NoLimit | RestartRefusal::UnknownUnit)) =
                self.member.environment.check_restart(record, *unit, &BTreeSet::new())
            {
                let name = plan.index_of(*unit).map_or("", |place| plan.unit_names[place].as_str());
                return Err(format!("{name}: {no}"));
            }
        }
        self.member.add_text(text.as_bytes());
        let request = RequestKind::BeginRelease { hash: Hash::of(text.as_bytes()), length: length as u32 };
        let request_id = self.member.submit(now, request, rand::random());
        Ok(json!({"serial": request_id.serial}))
    }
}

/// Whether a text was received completely.
fn is_complete(text: &str, length: usize, hash: &str) -> bool {
    text.len() == length && Hash::of(text.as_bytes()).to_string() == hash
}
