//! Units that leave service to be restarted: which may do so now, and how a balancer reports its return.

use std::collections::BTreeSet;

use whinspindle_rollout::{Direction, Unit};

use super::requests::PendingRequest;
use super::{Environment, Member, MemberRules};
use crate::message::{LeaseState, RequestKind};
use crate::record::{Halt, ReleasePart, RestartGrant, Step};

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// Balancers that are not in full service, by what this leader has received of them.
    pub(super) fn away(&self, now: u64) -> BTreeSet<u16> {
        let serves = |member: &u16| match &self.received[*member as usize] {
            _ if *member == self.settings.member => matches!(self.lease_state(now), LeaseState::Policy(_)),
            Some(received) => {
                self.is_here(now, *member) && matches!(received.lease_state, LeaseState::Policy(_))
            }
            None => false,
        };
        (0..self.settings.member_count).filter(|member| !serves(member)).collect()
    }

    /// The next step about units: a halt, a return or the end of a halt goes before a grant.
    pub(super) fn units(&self, now: u64) -> Option<Step> {
        let record = &self.record;
        let new = || self.requests.iter().filter(|wanted| !record.has_applied(wanted.request_id));
        let halt = new().find_map(|wanted| match &wanted.request {
            RequestKind::Halt { reason: why } if record.halt.is_none() => {
                Some(Step::Halt { halt: Halt { request_id: wanted.request_id, reason: why.clone() } })
            }
            RequestKind::Return { unit, done } if record.grant_of(*unit).is_some() => {
                Some(Step::Return { unit: *unit, request_id: wanted.request_id, done: *done })
            }
            RequestKind::Resume if record.halt.is_some() => {
                Some(Step::Resume { request_id: wanted.request_id })
            }
            _ => None,
        });
        let knows = now >= self.began + self.settings.absence_timeout_us;
        halt.or_else(|| {
            let away = L::out_without_grant(self.away(now));
            new().filter(|_| knows).find_map(|wanted| {
                let RequestKind::TakeOut { unit, release } = wanted.request else { return None };
                let start = match unit {
                    Unit::Balancer(number) if number == self.settings.member => self.start,
                    Unit::Balancer(number) => self.received.get(number as usize)?.as_ref()?.start,
                    Unit::Server(_) => 0,
                };
                let may =
                    record.can_grant(unit) && self.environment.check_restart(record, unit, &away).is_ok();
                let part = self.release_part(now, unit, release).ok().filter(|_| may)?;
                let request_id = L::recorded_request_id(wanted.request_id, record);
                Some(Step::Grant {
                    grant: RestartGrant { unit, request_id, process_start: start, release_part: part },
                })
            })
        })
    }

    /// Whether this balancer has to leave service: it was granted leave in this start of its process.
    pub fn is_taken_out(&self) -> bool {
        self.record
            .grant_of(Unit::Balancer(self.settings.member))
            .is_some_and(|out| out.process_start == self.start)
    }

    /// A balancer that was granted leave and has restarted since reports its return, once it serves.
    pub(super) fn report_return(&mut self, now: u64) {
        let unit = Unit::Balancer(self.settings.member);
        let Some(out) = self.record.grant_of(unit).filter(|out| out.process_start != self.start) else {
            return;
        };
        let is_return = |wanted: &PendingRequest| matches!(wanted.request, RequestKind::Return { unit: back, .. } if back == unit);
        if !matches!(self.lease_state(now), LeaseState::Policy(_)) || self.requests.iter().any(is_return) {
            return;
        }
        let Some(done) = self.carries(out.release_part) else { return };
        self.submit(now, RequestKind::Return { unit, done }, self.start);
    }

    /// Whether this process has the build that it was restarted for; none while the plan that names it is not
    /// here. Guards against a restart with the old build: the unit has to restart again.
    pub(super) fn carries(&self, part: Option<ReleasePart>) -> Option<bool> {
        let release = self.record.release.as_ref();
        let Some((part, release)) =
            part.zip(release).filter(|(part, release)| part.release == release.number)
        else {
            return Some(true);
        };
        let plan = self.environment.plan(release.hash)?;
        let is_new = plan.build.as_ref().map(|build| *build == self.environment.build());
        Some(is_new.is_none_or(|is_new| is_new == (part.direction == Direction::Rollout)))
    }
}
