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
    pub(super) direction: Direction,
    /// When this member learned that the wave is complete.
    pub(super) complete_since: u64,
}

/// A voter's running test of a release's build.
#[derive(Clone, Debug)]
pub(super) struct ReleaseTest {
    /// The number of the release.
    pub(super) release: u64,
    pub(super) build_test: BuildTest,
    /// When the present window began.
    pub(super) window_begun_at: u64,
    /// The shortest duration of a window.
    pub(super) window_us: u64,
    /// The start and serial number of each member's last observations, so that duplicates count once.
    pub(super) last_observations: BTreeMap<u16, (u64, u32)>,
    /// Why the release has to be halted, and the serial number of the request for it.
    pub(super) halt_reason: Option<(String, u64)>,
}

impl<E: Environment, R: MemberRules> Member<E, R> {
    /// The number of the release whose units are observed now.
    pub fn watched_release(&self) -> Option<u64> {
        let rollout = self.record.release.as_ref().filter(|release| release.direction == Direction::Rollout);
        rollout.map(|release| release.number)
    }

    /// Calls `use_progress` with the progress of the release under way. Returns `None` without a release, or
    /// while its plan is unknown.
    pub fn progress<T>(&self, now: u64, use_progress: impl FnOnce(&Progress) -> T) -> Option<T> {
        let release = self.record.release.as_ref()?;
        let plan = self.environment.plan(release.hash)?;
        // A rollback waits only for units that this release has taken out of service: a unit that the release
        // never changed, and that is down for another cause, must not delay it.
        let is_rollout = release.direction == Direction::Rollout;
        let is_of_release =
            |part: Option<ReleasePart>| part.is_some_and(|part| part.release == release.number);
        let grants =
            self.record.grants.iter().filter(|grant| is_rollout || is_of_release(grant.release_part));
        let mut out_of_service: Vec<Unit> = grants.map(|grant| grant.unit).collect();
        let absent = self.absent_balancers(now);
        out_of_service.extend(plan.units.iter().filter(|unit| match unit {
            _ if !is_rollout => false,
            Unit::Balancer(number) => absent.contains(number),
            Unit::Server(key) => !self.environment.is_server_in_service(*key),
        }));
        let (wave, changed) = (release.wave as usize, &release.changed);
        Some(use_progress(&Progress {
            plan: &plan,
            direction: release.direction,
            wave,
            changed,
            out_of_service: &out_of_service,
        }))
    }

    /// The part that a unit would have in the release with this number if it restarted now, or why it may
    /// not. Guards against a request for a release that has ended: it must not be granted as one without a
    /// release.
    pub fn release_part(
        &self,
        now: u64,
        unit: Unit,
        release_number: Option<u64>,
    ) -> Result<Option<ReleasePart>, RestartRefusal> {
        let Some(number) = release_number else { return Ok(None) };
        let release = self
            .record
            .release
            .as_ref()
            .filter(|release| release.number == number)
            .ok_or(RestartRefusal::ReleaseNotUnderWay)?;
        let part_in = |progress: &Progress| {
            let unit_index = progress.plan.index_of(unit).ok_or(RestartRefusal::NotInPlan)?;
            R::check_release_order(progress, unit_index)?;
            Ok(Some(ReleasePart {
                release: release.number,
                unit_index: unit_index as u16,
                direction: release.direction,
            }))
        };
        self.progress(now, part_in).unwrap_or(Err(RestartRefusal::PlanUnknown))
    }

    pub(super) fn update_complete_wave(&mut self, now: u64) {
        let is_complete = self.progress(now, |progress| R::next_phase(progress, u64::MAX).is_some());
        let complete = self.record.release.as_ref().filter(|_| is_complete == Some(true));
        let complete = complete.map(|release| (release.number, release.wave, release.direction));
        let is_same = |known: &CompleteWave| complete == Some((known.release, known.wave, known.direction));
        if !self.complete_wave.as_ref().is_some_and(is_same) {
            self.complete_wave = complete.map(|(release, wave, direction)| CompleteWave {
                release,
                wave,
                direction,
                complete_since: now,
            });
        }
    }

    pub(super) fn send_observations(&mut self, now: u64) {
        let Some(release) = self.watched_release() else { return };
        let rows = self.environment.observations(&self.record);
        if !rows.is_empty() {
            self.observations_serial += 1;
            let (start, serial) = (self.process_start, self.observations_serial);
            for voter in self.voters() {
                let observations = Message::Observations { release, start, serial, rows: rows.clone() };
                if voter == self.settings.member {
                    self.receive(now, voter, observations);
                } else {
                    self.environment.send(voter, observations);
                }
            }
        }
        let due = self
            .release_test
            .as_mut()
            .filter(|release_test| now >= release_test.window_begun_at + release_test.window_us);
        let Some(release_test) = due else { return };
        release_test.window_begun_at = now;
        if let Some(reason) = release_test.build_test.close_window()
            && release_test.halt_reason.is_none()
        {
            release_test.halt_reason = Some((reason, self.process_start ^ now));
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
        let is_halted = self.record.halt.is_some();
        if Some(release) != self.watched_release() || !self.is_voter() || is_halted {
            return;
        }
        if self.release_test.is_none() {
            let Some(plan) =
                self.record.release.as_ref().and_then(|release| self.environment.plan(release.hash))
            else {
                return;
            };
            let (build_test, window_us) = (BuildTest::new(plan.false_halt_probability), plan.window_us());
            let last_observations = BTreeMap::new();
            self.release_test = Some(ReleaseTest {
                release,
                build_test,
                window_begun_at: now,
                window_us,
                last_observations,
                halt_reason: None,
            });
        }
        let Some(release_test) = &mut self.release_test else { return };
        let previous = release_test.last_observations.insert(from, (start, serial));
        if previous.is_some_and(|(previous_start, previous_serial)| {
            previous_start == start && serial <= previous_serial
        }) {
            release_test.last_observations.extend(previous.map(|previous| (from, previous)));
            return;
        }
        rows.into_iter().for_each(|row| release_test.build_test.add_row(from, row));
    }

    /// For how many milliseconds the present wave has been complete; none if it is not complete.
    pub fn watch_time_ms(&self, now: u64) -> Option<u64> {
        self.complete_wave.map(|wave| now.saturating_sub(wave.complete_since) / 1000)
    }

    /// This voter's test of the build of the release under way.
    pub fn build_test(&self) -> Option<&BuildTest> {
        self.release_test.as_ref().map(|release_test| &release_test.build_test)
    }

    /// The halt of a release whose changed units do worse than the others.
    pub(super) fn halt_step(&self) -> Option<Step> {
        let (reason, serial) = self.release_test.as_ref()?.halt_reason.as_ref()?;
        let request_id = RequestId { member: self.settings.member, serial: *serial };
        let is_new = self.record.halt.is_none() && !self.record.has_applied(request_id);
        is_new.then(|| Step::Halt { halt: Halt { request_id, reason: reason.clone() } })
    }

    /// The next step of the release. An operator's request has priority over the next wave.
    pub(super) fn release_step(&self, now: u64) -> Option<Step> {
        let new_requests =
            || self.requests.iter().filter(|pending| !self.record.has_applied(pending.request_id));
        let Some(release) = &self.record.release else {
            return new_requests().find_map(|pending| match pending.request {
                RequestKind::BeginRelease { hash, length } => {
                    Some(Step::BeginRelease { hash, length, request_id: pending.request_id })
                }
                _ => None,
            });
        };
        let number = release.number;
        let requested = new_requests().find_map(|pending| match pending.request {
            RequestKind::EndRelease { number: of } if of == number => Some(Step::EndRelease {
                number,
                outcome: ReleaseOutcome::Left,
                request_id: Some(pending.request_id),
            }),
            RequestKind::RollBack { number: of }
                if of == number && release.direction == Direction::Rollout =>
            {
                Some(Step::RollBack { number, request_id: pending.request_id })
            }
            _ => None,
        });
        // During a halt no wave begins. A rollback has no halt of its own.
        let is_halted = self.record.halt.is_some();
        // A leader that has just started can't know which members are absent.
        let knows_absent = now >= self.started_at + self.settings.absence_timeout_us;
        requested.or_else(|| {
            let CompleteWave { complete_since, .. } = self.complete_wave.filter(|known| {
                !is_halted
                    && knows_absent
                    && (known.release, known.wave, known.direction)
                        == (number, release.wave, release.direction)
            })?;
            Some(match self.progress(now, |progress| R::next_phase(progress, now - complete_since))?? {
                NextPhase::Wave(to) => Step::AdvanceWave { number, from: release.wave, to: to as u16 },
                NextPhase::Complete => {
                    let outcome = if release.direction == Direction::Rollout {
                        ReleaseOutcome::Done
                    } else {
                        ReleaseOutcome::TakenBack
                    };
                    Step::EndRelease { number, outcome, request_id: None }
                }
            })
        })
    }
}
