//! Releases in virtual time: a supervisor lets servers and balancers go as the trouble says, starts them anew
//! with the new build, and, where the release is agreed, asks the same core as the program does: waves,
//! limits, the verdict on what the balancers see, and the way back.

use std::collections::{BTreeMap, BTreeSet};

use whinspindle::host::Outcome;
use whinspindle_lab_scenario::{How, Release};
use whinspindle_rollout::{
    BuildTest, Direction, Limits, NextPhase, ObservedOutcomes, OutcomeCounts, Plan, Progress, RestartCheck,
    ServerStatus, Unit, UnitSet, observation_rows,
};

use crate::play::{BEGUN, Event, Fleet, Step};

/// Between two looks of the supervisor.
const LOOK: u64 = 100_000;

/// A release under way.
pub(crate) struct Supervised {
    trouble: usize,
    terms: Release,
    tier: usize,
    plan: Plan,
    way: Direction,
    wave: usize,
    changed: UnitSet,
    /// Units that have gone and are not yet in full service again, and whether each has been started anew.
    out: BTreeMap<usize, bool>,
    /// How many have gone by the other ways, which don't look.
    gone: usize,
    next_batch: u64,
    complete: Option<u64>,
    evidence: BuildTest,
    window: u64,
    /// What each balancer has seen since the window began.
    seen: Vec<ObservedOutcomes>,
    halted: Option<u64>,
    notes: Vec<String>,
}

impl Fleet<'_> {
    pub(crate) fn begin_release(&mut self, trouble: usize, places: &[usize], terms: &Release) {
        let tier = self.scenario.troubles[trouble].whom.tier;
        let mut units: Vec<Unit> = places.iter().map(|place| Unit::Server(*place as u64)).collect();
        units.extend(terms.balancers.iter().map(|node| Unit::Balancer(*node as u16)));
        let all = units.len();
        let mut waves = vec![1, all.div_ceil(10), all.div_ceil(2), all];
        waves.dedup();
        let plan = Plan {
            name: String::new(),
            unit_names: Vec::new(),
            units,
            wave_ends: waves,
            watch_us: terms.watch,
            false_halt_probability: 0.01,
            build: None,
        };
        self.supervised = Some(Supervised {
            trouble,
            terms: terms.clone(),
            tier,
            plan,
            way: Direction::Rollout,
            wave: 0,
            changed: UnitSet::default(),
            out: BTreeMap::new(),
            gone: 0,
            next_batch: self.now,
            complete: None,
            evidence: BuildTest::new(0.01),
            window: self.now,
            seen: (0..self.nodes.len()).map(|_| ObservedOutcomes::default()).collect(),
            halted: None,
            notes: Vec::new(),
        });
        self.supervise();
    }

    /// A balancer has heard how an execution ended.
    pub(crate) fn watch_execution(
        &mut self,
        node: usize,
        tier: usize,
        place: usize,
        product: usize,
        outcome: Outcome,
        spent: u64,
    ) {
        if let Some(on) = self.supervised.as_mut().filter(|on| on.tier == tier && on.halted.is_none()) {
            on.seen[node].record_execution(place, product, outcome, spent);
        }
    }

    fn is_full(&self, tier: usize, unit: Unit) -> bool {
        match unit {
            Unit::Server(place) => {
                let machine = &self.tiers[tier].hosts[place as usize].machine;
                machine.is_up() && !machine.draining && machine.warm_fraction(self.now) >= 1.0
            }
            Unit::Balancer(node) => self.nodes[node as usize].up && self.nodes[node as usize].dealt,
        }
    }

    /// Looks after the release; again in a moment, until it is over.
    pub(crate) fn supervise(&mut self) {
        let Some(mut on) = self.supervised.take() else { return };
        self.come_back(&mut on);
        self.judge(&mut on);
        if !self.advance(&mut on) {
            self.let_out(&mut on);
            self.queue.put(self.now + LOOK, Event::Later(Step::Supervise));
        }
        self.supervised = Some(on);
    }

    fn come_back(&mut self, on: &mut Supervised) {
        let back: Vec<usize> = on
            .out
            .iter()
            .filter(|(place, started)| **started && self.is_full(on.tier, on.plan.units[**place]))
            .map(|(place, _)| *place)
            .collect();
        for place in back {
            on.out.remove(&place);
            on.changed.set(place, on.way == Direction::Rollout);
        }
    }

    fn judge(&mut self, on: &mut Supervised) {
        if self.now < on.window + on.plan.window_us() {
            return;
        }
        on.window = self.now;
        let seen: Vec<BTreeMap<usize, OutcomeCounts>> =
            on.seen.iter_mut().map(|seen| seen.take().0).collect();
        if on.terms.how != How::Agreed || on.way == Direction::Rollback {
            return;
        }
        let mut of: BTreeMap<usize, Vec<(u16, bool, OutcomeCounts)>> = BTreeMap::new();
        let seen = seen.into_iter().enumerate();
        for (node, (place, count)) in seen.flat_map(|(node, of)| of.into_iter().map(move |one| (node, one))) {
            let host = &self.tiers[on.tier].hosts[place];
            let number = on.plan.index_of(Unit::Server(place as u64));
            let is_out = number.is_some_and(|number| on.out.contains_key(&number));
            if !is_out && self.is_full(on.tier, Unit::Server(place as u64)) {
                let stratum = (host.zone * self.scenario.kinds.len() + host.kind) as u16;
                let changed = number.is_some_and(|number| on.changed.contains(number));
                of.entry(node).or_default().push((stratum, changed, count));
            }
        }
        for (node, units) in of {
            observation_rows(units.into_iter())
                .into_iter()
                .for_each(|row| on.evidence.add_row(node as u16, row));
        }
        if let Some(why) = on.evidence.close_window()
            && on.halted.is_none()
        {
            on.halted = Some(self.now);
            let touched = on.changed.count() + on.out.len();
            let at = (self.now - BEGUN) as f64 / 1e6;
            on.notes.push(format!("halted at {at:.1} s, {touched} units touched: {why}"));
            on.way = Direction::Rollback;
            on.complete = None;
        }
    }

    /// True once the release is over.
    fn advance(&mut self, on: &mut Supervised) -> bool {
        let begun = BEGUN + self.scenario.troubles[on.trouble].at;
        let over = |on: &mut Supervised, now: u64, how: &str| {
            on.notes.push(format!("{how} after {:.1} s", (now - begun) as f64 / 1e6));
            true
        };
        if on.terms.how != How::Agreed {
            let all = on.gone == on.plan.units.len() && on.out.is_empty();
            return all && over(on, self.now, "all changed");
        }
        let out: Vec<Unit> = on.out.keys().map(|place| on.plan.units[*place]).collect();
        let progress = Progress {
            plan: &on.plan,
            direction: on.way,
            wave: on.wave,
            changed: &on.changed,
            out_of_service: &out,
        };
        let since = progress.next_phase(u64::MAX).map(|_| on.complete.unwrap_or(self.now));
        on.complete = since;
        match since.and_then(|since| progress.next_phase(self.now - since)) {
            Some(NextPhase::Wave(wave)) => (on.wave, on.complete) = (wave, None),
            Some(NextPhase::Complete) if on.way == Direction::Rollout => {
                return over(on, self.now, "all changed");
            }
            Some(NextPhase::Complete) => return over(on, self.now, "all taken back"),
            None => {}
        }
        false
    }

    fn let_out(&mut self, on: &mut Supervised) {
        let all = on.plan.units.len();
        match on.terms.how {
            How::Agreed => {
                for place in 0..all {
                    if on.out.contains_key(&place) {
                        continue;
                    }
                    let out: Vec<Unit> = on.out.keys().map(|place| on.plan.units[*place]).collect();
                    let (wave, changed) = (on.wave, &on.changed);
                    let progress =
                        Progress { plan: &on.plan, direction: on.way, wave, changed, out_of_service: &out };
                    if progress.check_restart(place).is_ok() && self.has_room(on, &out, on.plan.units[place])
                    {
                        self.go(on, place);
                    }
                }
            }
            How::AtOnce => {
                for place in on.gone..all {
                    self.go(on, place);
                }
                on.gone = all;
            }
            How::Batches => {
                if self.now >= on.next_batch && on.gone < all {
                    on.next_batch = self.now + on.terms.every;
                    let to = (on.gone + on.terms.most).min(all);
                    for place in on.gone..to {
                        self.go(on, place);
                    }
                    on.gone = to;
                }
            }
            How::OneByOne => {
                if on.out.is_empty() && on.gone < all {
                    self.go(on, on.gone);
                    on.gone += 1;
                }
            }
        }
    }

    /// By the limits, as the program asks them: the servers that the true state has out count.
    fn has_room(&self, on: &Supervised, out: &[Unit], unit: Unit) -> bool {
        let limits = Limits {
            servers: Some(on.terms.most),
            balancers: Some((self.scenario.tiers[0].balancers / 8).max(1)),
            ..Limits::default()
        };
        let hosts = self.tiers[on.tier].hosts.iter().enumerate();
        let places: Vec<ServerStatus> = hosts
            .map(|(place, host)| ServerStatus {
                key: place as u64,
                zone: self.scenario.zones[host.zone].clone(),
                pod: host.cell,
                is_in_service: self.is_full(on.tier, Unit::Server(place as u64)),
            })
            .collect();
        let fronts = 0..self.scenario.tiers[0].balancers as u16;
        let away: BTreeSet<u16> =
            fronts.filter(|node| !self.is_full(on.tier, Unit::Balancer(*node))).collect();
        let balancers = self.scenario.tiers[0].balancers;
        RestartCheck {
            limits: &limits,
            granted: out,
            absent: &away,
            balancer_count: balancers,
            servers: &places,
        }
        .check(unit)
        .is_ok()
    }

    fn go(&mut self, on: &mut Supervised, place: usize) {
        on.out.insert(place, false);
        match on.plan.units[place] {
            Unit::Server(server) => {
                self.drain(on.tier, server as usize);
                self.queue.put(self.now + on.terms.drains, Event::Later(Step::Released { place }));
            }
            Unit::Balancer(node) => {
                self.restart_front(node as usize);
                on.out.insert(place, true);
            }
        }
    }

    /// A server that was let out ends, and the next process at its address has the build that it went out
    /// for.
    pub(crate) fn released(&mut self, place: usize) {
        let Some(mut on) = self.supervised.take() else { return };
        if let Unit::Server(server) = on.plan.units[place] {
            let (tier, server) = (on.tier, server as usize);
            self.replace(tier, server);
            if on.way == Direction::Rollout {
                let (now, fails, slow) = (self.now, on.terms.fails, on.terms.slow);
                self.tiers[tier].hosts[server].machine.change(now, |machine| {
                    (machine.failure_rate, machine.slowdown) = (fails, slow);
                });
                self.schedule(tier, server);
            }
        }
        on.out.insert(place, true);
        self.supervised = Some(on);
    }

    pub(crate) fn release_notes(&self) -> Vec<String> {
        let on = self.supervised.iter();
        on.flat_map(|on| {
            let left = on.out.len();
            let more = (left > 0).then(|| format!("{left} units are still out"));
            on.notes.iter().cloned().chain(more).map(|note| format!("release: {note}"))
        })
        .collect()
    }
}
