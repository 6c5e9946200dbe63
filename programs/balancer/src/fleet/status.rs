//! The JSON status of the fleet for `whinspindle fleet status` and other commands.

use serde_json::{Value, json};
use whinspindle_fleet_policy::{ChangeOutcome, Environment, LeaseState, Policy, Readiness, Unit};
use whinspindle_rollout::{Direction, OutcomeCounts};

use super::worker::Worker;

impl Worker {
    /// The present and the past releases.
    fn release_status(&self, now: u64) -> Value {
        let record = self.member.record();
        let side = |count: OutcomeCounts| json!({"executions": count.executions, "bad": count.bad});
        let release = record.release.as_ref().map(|release| {
            let plan = self.member.environment.plan(release.hash);
            let places = plan.iter().flat_map(|plan| plan.unit_names.iter().enumerate());
            let units: Vec<Value> = places
                .map(|(place, name)| {
                    let unit = plan.as_ref().and_then(|plan| plan.units.get(place)).copied();
                    let out = unit.is_some_and(|unit| record.grant_of(unit).is_some());
                    json!({"unit": name, "changed": release.changed.contains(place), "out": out})
                })
                .collect();
            json!({"number": release.number, "by": release.request_id.member, "serial": release.request_id.serial,
                "way": if release.direction == Direction::Rollout { "forth" } else { "back" }, "wave": release.wave + 1,
                "name": plan.as_ref().map(|plan| plan.name.clone()),
                "waves": plan.map(|plan| plan.wave_ends.clone()),
                "changed": release.changed.count(), "units": units, "watchedMs": self.member.watch_time_ms(now),
                "seen": self.member.build_test().map(|seen| json!([side(seen.unchanged), side(seen.changed)]))})
        });
        let past: Vec<Value> = record
            .past_releases
            .iter()
            .map(|past| {
                json!({"number": past.number, "serial": past.request_id.serial, "changed": past.changed,
                    "end": format!("{:?}", past.outcome)})
            })
            .collect();
        json!({"now": release, "past": past})
    }

    /// The state of the fleet as this member knows it.
    pub(super) fn status(&self, now: u64) -> Value {
        let member = &self.member;
        let record = member.record();
        let past: Vec<Value> = record
            .past_changes
            .iter()
            .map(|past| {
                let mut row =
                    change(past.change.policy, past.change.request_id.member, past.change.request_id.serial);
                row["fate"] = match past.outcome {
                    ChangeOutcome::InForce => json!("in force"),
                    ChangeOutcome::Withdrawn => json!("withdrawn"),
                    ChangeOutcome::Refused(member) => json!(format!("refused by member {member}")),
                    ChangeOutcome::GivenUp => json!("given up"),
                };
                row
            })
            .collect();
        let members: Vec<Value> = member
            .peer_reports()
            .iter()
            .enumerate()
            .map(|(number, report)| {
                let Some(report) = report else { return json!({"member": number, "heard": null}) };
                let mut row = json!({"member": number, "heardMsAgo": now.saturating_sub(report.received_at) / 1000,
                "version": report.version, "right": right_words(report.lease_state)});
                if let Readiness::Objected(number, no) = &report.readiness {
                    row["objects"] = json!({"number": number, "line": no.line, "words": no.reason});
                }
                row["ready"] = match report.readiness {
                    Readiness::Ready(number) => json!(number),
                    _ => Value::Null,
                };
                if let Readiness::MissingChunks(chunks) = report.readiness {
                    row["lacks"] = json!(chunks);
                }
                row
            })
            .collect();
        let out: Vec<Value> = record
            .grants
            .iter()
            .map(|out| match out.unit {
                Unit::Balancer(number) => json!({"balancer": number, "by": out.request_id.member}),
                Unit::Server(key) => json!({"server": format!("{key:016x}"), "by": out.request_id.member}),
            })
            .collect();
        let voters: Vec<u16> = record.voter_sets.iter().flatten().map(|voter| voter.member).collect();
        json!({"me": member.settings().member, "founded": record.bootstrap_id != 0, "epoch": record.epoch(), "version": record.version,
            "voters": voters, "isVoter": member.is_voter(), "right": right_words(member.lease_state(now)),
            "why": if member.lease_state(now) == LeaseState::CutOff { member.cut_off_reason(now) } else { String::new() },
            "policy": {"number": record.policy.number, "hash": record.policy.hash.to_string()},
            "next": record.pending_change.map(|next| change(next.policy, next.request_id.member, next.request_id.serial)),
            "past": past, "members": members, "out": out, "release": self.release_status(now),
            "build": member.environment.build,
            "halted": record.halt.as_ref().map(|halt| json!({"by": halt.request_id.member, "why": halt.reason})),
            "datagrams": {"sent": member.environment.sent, "received": self.received,
                "passedOver": member.environment.peers.dropped}})
    }
}

/// A change of the policy, with the member that proposed it.
fn change(policy: Policy, by: u16, serial: u64) -> Value {
    json!({"number": policy.number, "hash": policy.hash.to_string(), "bytes": policy.length, "by": by,
        "serial": serial})
}

fn right_words(right: LeaseState) -> String {
    match right {
        LeaseState::Learning => "learning".to_string(),
        LeaseState::Policy(number) => format!("policy {number}"),
        LeaseState::CutOff => "cut off".to_string(),
    }
}
