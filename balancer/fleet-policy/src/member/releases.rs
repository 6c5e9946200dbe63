//! A member's part in a release: its waves, the observations of changed units, and the halt of a bad build.

use std::collections::BTreeMap;

use whinspindle_rollout::{BuildTest, Direction, NextPhase, ObservationRow, Progress, RestartRefusal, Unit};

use super::{Environment, Member, MemberRules};
use crate::message::{Message, RequestKind};
use crate::record::{Halt, ReleaseOutcome, ReleasePart, RequestId, Step};

/// A wave whose units all have the release's build and are in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CompleteWave {
    /// The number of the release.
    pub(super) release: u64,
    pub(super) wave: u16,
    pub(super) way: Direction,
    /// When this member learned that it is complete.
    pub(super) since: u64,
}

/// The running test of a release's build at a voter.
#[derive(Clone, Debug)]
pub(super) struct ReleaseTest {
    pub(super) release: u64,
    pub(super) evidence: BuildTest,
    /// When the present window began.
    pub(super) opened: u64,
    /// How long a window lasts at least.
    pub(super) window: u64,
    /// The start and serial number of each member's last observations, so that duplicates count once.
    pub(super) taken: BTreeMap<u16, (u64, u32)>,
    /// Why the release has to be halted, and the serial number of that request.
    pub(super) against: Option<(String, u64)>,
}

impl<O: Environment, L: MemberRules> Member<O, L> {
    /// The release whose units are watched now.
    pub fn watched_release(&self) -> Option<u64> {
        let forth = self.record.release.as_ref().filter(|release| release.direction == Direction::Rollout);
        forth.map(|release| release.number)
    }

    /// Calls `see` with the progress of the release under way, with all its units that are not in full service.
    pub fn progress<T>(&self, now: u64, see: impl FnOnce(&Progress) -> T) -> Option<T> {
        let release = self.record.release.as_ref()?;
        let plan = self.environment.plan(release.hash)?;
        // A rollback waits only for units that this release has taken out of service: one that it never
        // touched, and that is down for another cause, must not delay it.
        let forth = release.direction == Direction::Rollout;
        let mine = |part: Option<ReleasePart>| part.is_some_and(|part| part.release == release.number);
        let out = self.record.grants.iter().filter(|out| forth || mine(out.release_part));
        let mut out: Vec<Unit> = out.map(|out| out.unit).collect();
        let away = self.away(now);
        out.extend(plan.units.iter().filter(|unit| match unit {
            _ if !forth => false,
            Unit::Balancer(number) => away.contains(number),
            Unit::Server(key) => !self.environment.is_server_in_service(*key),
        }));
        let (wave, changed) = (release.wave as usize, &release.changed);
        Some(see(&Progress {
            plan: &plan,
            direction: release.direction,
            wave,
            changed,
            out_of_service: &out,
        }))
    }

    /// The part of the release `of` that a unit would restart for, or why it may not. Guards against a request
    /// for a release that is over: it must not be granted as one for another cause.
    pub fn release_part(
        &self,
        now: u64,
        unit: Unit,
        of: Option<u64>,
    ) -> Result<Option<ReleasePart>, RestartRefusal> {
        let Some(number) = of else { return Ok(None) };
        let release = self
            .record
            .release
            .as_ref()
            .filter(|on| on.number == number)
            .ok_or(RestartRefusal::ReleaseNotUnderWay)?;
        let of = |progress: &Progress| {
            let place = progress.plan.index_of(unit).ok_or(RestartRefusal::NotInPlan)?;
            L::check_release_order(progress, place)?;
            Ok(Some(ReleasePart {
                release: release.number,
                unit_index: place as u16,
                direction: release.direction,
            }))
        };
        self.progress(now, of).unwrap_or(Err(RestartRefusal::PlanUnknown))
    }

    pub(super) fn record_wave(&mut self, now: u64) {
        let complete = self.progress(now, |progress| L::next_phase(progress, u64::MAX).is_some());
        let known = self.record.release.as_ref().filter(|_| complete == Some(true));
        let known = known.map(|release| (release.number, release.wave, release.direction));
        let same = |before: &CompleteWave| known == Some((before.release, before.wave, before.way));
        if !self.complete.as_ref().is_some_and(same) {
            self.complete = known.map(|(release, wave, way)| CompleteWave { release, wave, way, since: now });
        }
    }

    pub(super) fn send_observations(&mut self, now: u64) {
        let Some(release) = self.watched_release() else { return };
        let rows = self.environment.observations(&self.record);
        if !rows.is_empty() {
            self.serial += 1;
            let (start, serial) = (self.start, self.serial);
            for voter in self.voters() {
                let figures = Message::Observations { release, start, serial, rows: rows.clone() };
                if voter == self.settings.member {
                    self.receive(now, voter, figures);
                } else {
                    self.environment.send(voter, figures);
                }
            }
        }
        let due = self
            .release_test
            .as_mut()
            .filter(|release_test| now >= release_test.opened + release_test.window);
        let Some(release_test) = due else { return };
        release_test.opened = now;
        if let Some(why) = release_test.evidence.close_window()
            && release_test.against.is_none()
        {
            release_test.against = Some((why, self.start ^ now));
        }
    }

    pub(super) fn receive_observations(
        &mut self,
        now: u64,
        from: u16,
        release: u64,
        start: u64,
        serial: u32,
        rows: Vec<ObservationRow>,
    ) {
        let halted = self.record.halt.is_some();
        if Some(release) != self.watched_release() || !self.is_voter() || halted {
            return;
        }
        if self.release_test.is_none() {
            let Some(plan) = self.record.release.as_ref().and_then(|on| self.environment.plan(on.hash))
            else {
                return;
            };
            let (evidence, window) = (BuildTest::new(plan.false_halt_probability), plan.window_us());
            let taken = BTreeMap::new();
            self.release_test =
                Some(ReleaseTest { release, evidence, opened: now, window, taken, against: None });
        }
        let Some(release_test) = &mut self.release_test else { return };
        let before = release_test.taken.insert(from, (start, serial));
        if before.is_some_and(|(known, last)| known == start && serial <= last) {
            release_test.taken.extend(before.map(|before| (from, before)));
            return;
        }
        rows.into_iter().for_each(|row| release_test.evidence.add_row(from, row));
    }

    /// For how many milliseconds the present wave has been complete; none if it is not.
    pub fn watch_time_ms(&self, now: u64) -> Option<u64> {
        self.complete.map(|complete| now.saturating_sub(complete.since) / 1000)
    }

    /// The state of this voter's test of the build of the release under way.
    pub fn build_test(&self) -> Option<&BuildTest> {
        self.release_test.as_ref().map(|release_test| &release_test.evidence)
    }

    /// A release whose changed units do worse is halted.
    pub(super) fn halt_for_cause(&self) -> Option<Step> {
        let (why, serial) = self.release_test.as_ref()?.against.as_ref()?;
        let request_id = RequestId { member: self.settings.member, serial: *serial };
        let new = self.record.halt.is_none() && !self.record.has_applied(request_id);
        new.then(|| Step::Halt { halt: Halt { request_id, reason: why.clone() } })
    }

    /// The next step of the release: an operator's request goes before its next wave.
    pub(super) fn release(&self, now: u64) -> Option<Step> {
        let new = || self.requests.iter().filter(|wanted| !self.record.has_applied(wanted.request_id));
        let Some(release) = &self.record.release else {
            return new().find_map(|wanted| match wanted.request {
                RequestKind::BeginRelease { hash, length } => {
                    Some(Step::BeginRelease { hash, length, request_id: wanted.request_id })
                }
                _ => None,
            });
        };
        let number = release.number;
        let requested = new().find_map(|wanted| match wanted.request {
            RequestKind::EndRelease { number: of } if of == number => Some(Step::EndRelease {
                number,
                outcome: ReleaseOutcome::Left,
                request_id: Some(wanted.request_id),
            }),
            RequestKind::RollBack { number: of }
                if of == number && release.direction == Direction::Rollout =>
            {
                Some(Step::RollBack { number, request_id: wanted.request_id })
            }
            _ => None,
        });
        // During a halt no wave begins. A rollback has no halt of its own.
        let halted = self.record.halt.is_some();
        // A leader that has just started can't know who is absent.
        let knows = now >= self.began + self.settings.absence_timeout_us;
        requested.or_else(|| {
            let CompleteWave { since, .. } = self.complete.filter(|known| {
                !halted
                    && knows
                    && (known.release, known.wave, known.way) == (number, release.wave, release.direction)
            })?;
            Some(match self.progress(now, |progress| L::next_phase(progress, now - since))?? {
                NextPhase::Wave(to) => Step::AdvanceWave { number, from: release.wave, to: to as u16 },
                NextPhase::Complete => {
                    let close = if release.direction == Direction::Rollout {
                        ReleaseOutcome::Done
                    } else {
                        ReleaseOutcome::TakenBack
                    };
                    Step::EndRelease { number, outcome: close, request_id: None }
                }
            })
        })
    }
}
