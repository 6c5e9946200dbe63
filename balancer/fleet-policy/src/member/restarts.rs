//! Units that leave service to be restarted: the choice of the next one, and a balancer's report of its
//! return.

use std::collections::BTreeSet;

use whinspindle_rollout::{Direction, Unit};

use super::requests::PendingRequest;
use super::{Environment, Member, MemberRules};
use crate::message::{LeaseState, RequestKind};
use crate::record::{Halt, ReleasePart, RestartGrant, Step};

impl<E: Environment, R: MemberRules> Member<E, R> {
    /// The balancers that are not in full service, by the reports that this member has received.
    pub(super) fn absent_balancers(&self, now: u64) -> BTreeSet<u16> {
        let serves = |member: &u16| match &self.peer_reports[*member as usize] {
            _ if *member == self.settings.member => matches!(self.lease_state(now), LeaseState::Policy(_)),
            Some(report) => {
                self.is_present(now, *member) && matches!(report.lease_state, LeaseState::Policy(_))
            }
            None => false,
        };
        (0..self.settings.member_count).filter(|member| !serves(member)).collect()
    }

    /// The next step about units. A halt, a return or the end of a halt has priority over a grant.
    pub(super) fn unit_step(&self, now: u64) -> Option<Step> {
        let record = &self.record;
        let new_requests = || self.requests.iter().filter(|pending| !record.has_applied(pending.request_id));
        let urgent = new_requests().find_map(|pending| match &pending.request {
            RequestKind::Halt { reason } if record.halt.is_none() => {
                Some(Step::Halt { halt: Halt { request_id: pending.request_id, reason: reason.clone() } })
            }
            RequestKind::Return { unit, done } if record.grant_of(*unit).is_some() => {
                Some(Step::Return { unit: *unit, request_id: pending.request_id, done: *done })
            }
            RequestKind::Resume if record.halt.is_some() => {
                Some(Step::Resume { request_id: pending.request_id })
            }
            _ => None,
        });
        let knows_absent = now >= self.started_at + self.settings.absence_timeout_us;
        urgent.or_else(|| {
            let absent = R::out_without_grant(self.absent_balancers(now));
            new_requests().filter(|_| knows_absent).find_map(|pending| {
                let RequestKind::TakeOut { unit, release } = pending.request else { return None };
                let process_start = match unit {
                    Unit::Balancer(number) if number == self.settings.member => self.process_start,
                    Unit::Balancer(number) => self.peer_reports.get(number as usize)?.as_ref()?.start,
                    Unit::Server(_) => 0,
                };
                let is_allowed =
                    record.can_grant(unit) && self.environment.check_restart(record, unit, &absent).is_ok();
                let release_part = self.release_part(now, unit, release).ok().filter(|_| is_allowed)?;
                let request_id = R::recorded_request_id(pending.request_id, record);
                Some(Step::Grant { grant: RestartGrant { unit, request_id, process_start, release_part } })
            })
        })
    }

    /// Whether this balancer has to leave service, since it was granted a restart in this start of its
    /// process.
    pub fn is_taken_out(&self) -> bool {
        self.record
            .grant_of(Unit::Balancer(self.settings.member))
            .is_some_and(|grant| grant.process_start == self.process_start)
    }

    /// Reports the return of this balancer, if it was granted a restart, has restarted since and serves
    /// again.
    pub(super) fn report_return(&mut self, now: u64) {
        let unit = Unit::Balancer(self.settings.member);
        let Some(grant) =
            self.record.grant_of(unit).filter(|grant| grant.process_start != self.process_start)
        else {
            return;
        };
        let is_return = |pending: &PendingRequest| matches!(pending.request, RequestKind::Return { unit: other, .. } if other == unit);
        if !matches!(self.lease_state(now), LeaseState::Policy(_)) || self.requests.iter().any(is_return) {
            return;
        }
        let Some(done) = self.has_expected_build(grant.release_part) else { return };
        self.submit(now, RequestKind::Return { unit, done }, self.process_start);
    }

    /// Whether this process has the build that it was restarted for; none while the plan that names the build
    /// is unknown here. Guards against a restart with the old build, after which the unit has to restart
    /// again.
    pub(super) fn has_expected_build(&self, part: Option<ReleasePart>) -> Option<bool> {
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
