//! Whole releases as the verdict sees them, drawn by seed: units in zones, a load that swings and bursts,
//! failures and slowness that come and go with it for all, and a build that may be bad. Only the counts are
//! drawn; what is judged is the evidence as it ships. Simulated.

use whinspindle_lab_model::random::{Concern, RandomGenerator};
use whinspindle_rollout::{
    BuildTest, Direction, OutcomeCounts, Plan, Progress, Unit, UnitSet, observation_rows,
};

/// What is wrong with a build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Build {
    Good,
    /// A third of its answers fail.
    Fails,
    /// Answers take three times as long: all but a few are slow.
    Slow,
    /// After a minute more and more answers are slow.
    Leaks,
    /// One product of four fails.
    OneProduct,
}

pub const BUILDS: [Build; 5] = [Build::Good, Build::Fails, Build::Slow, Build::Leaks, Build::OneProduct];

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub units: usize,
    pub zones: usize,
    /// Balancers that send to them and tell what they see.
    pub members: u16,
    /// Executions a second at one unit in the mean.
    pub rate: f64,
    /// Units differ in what is slow by up to this factor, from the beginning on and for good.
    pub own: f64,
    pub error: f64,
}

/// What became of a release.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct End {
    pub halted: bool,
    /// Units that carried the new build by then.
    pub touched: usize,
    /// Seconds from when the first unit was back.
    pub after: f64,
}

/// Seconds of a window, and that a unit is out and cold.
const WINDOW: f64 = 2.0;
const OUT: f64 = 8.0;
const WATCH: f64 = 60.0;

/// A count of events of this mean; by the normal law where there are many.
fn poisson(random: &mut RandomGenerator, mean: f64) -> u32 {
    if mean > 50.0 {
        let normal: f64 = (0..12).map(|_| random.unit()).sum::<f64>() - 6.0;
        return (mean + mean.sqrt() * normal).max(0.0).round() as u32;
    }
    let (limit, mut product, mut count) = ((-mean).exp(), random.unit(), 0);
    while product > limit {
        product *= random.unit();
        count += 1;
    }
    count
}

fn of(random: &mut RandomGenerator, all: u32, part: f64) -> u32 {
    (0..all).filter(|_| random.unit() < part).count() as u32
}

pub fn play(fleet: &Fleet, build: Build, seed: u64) -> End {
    let mut random = RandomGenerator::new(seed, Concern::Clients);
    let all = fleet.units;
    let mut waves = vec![1, all.div_ceil(10), all.div_ceil(2), all];
    waves.dedup();
    let plan = Plan {
        name: String::new(),
        units: (0..all as u64).map(Unit::Server).collect(),
        unit_names: Vec::new(),
        wave_ends: waves,
        watch_us: (WATCH * 1e6) as u64,
        false_halt_probability: fleet.error,
        build: None,
    };
    let own: Vec<f64> = (0..all).map(|_| fleet.own.powf(2.0 * random.unit() - 1.0)).collect();
    let mut evidence = BuildTest::new(fleet.error);
    let (mut changed, mut wave, mut watched) = (UnitSet::default(), 0, 0.0);
    let mut since: Vec<Option<f64>> = vec![None; all];
    let mut out: Vec<(usize, f64)> = Vec::new();
    let (mut now, mut first) = (0.0, None);
    let phase = random.unit();
    loop {
        now += WINDOW;
        // Load swings by a half, now and then a burst; what fails and what is slow follows it, for all alike.
        let swing = 1.0 + 0.5 * (std::f64::consts::TAU * (now / 97.0 + phase)).sin();
        let burst = if random.unit() < 0.05 { 1.0 + 3.0 * random.unit() } else { 1.0 };
        let load = swing * burst;
        let (fails, slow) = ((0.002 * load * load).min(0.3), (0.08 * load).min(0.6));
        let out_now: Vec<Unit> = out.iter().map(|(unit, _)| plan.units[*unit]).collect();
        let mut seen = vec![Vec::new(); usize::from(fleet.members)];
        for unit in 0..all {
            if out_now.contains(&plan.units[unit]) {
                continue;
            }
            let is_new = changed.contains(unit);
            let age = since[unit].map_or(0.0, |since| now - since);
            let bad = is_new && build != Build::Good;
            let fails = match build {
                Build::Fails if bad => 1.0 - (1.0 - fails) * (1.0 - 1.0 / 3.0),
                Build::OneProduct if bad => 1.0 - (1.0 - fails) * 0.75,
                _ => fails,
            };
            let slow = match build {
                Build::Slow if bad => 0.9,
                Build::Leaks if bad => (slow + ((age - 60.0) / 120.0).clamp(0.0, 0.6)).min(0.95),
                _ => slow,
            };
            let slow = (slow * own[unit]).min(0.95);
            for member in 0..fleet.members {
                let executions = poisson(&mut random, fleet.rate * load * WINDOW / f64::from(fleet.members));
                let bad = [of(&mut random, executions, fails), of(&mut random, executions, slow), 0];
                let stratum = (unit % fleet.zones) as u16;
                seen[usize::from(member)].push((stratum, is_new, OutcomeCounts { executions, bad }));
            }
        }
        for (member, units) in seen.into_iter().enumerate() {
            observation_rows(units.into_iter())
                .into_iter()
                .for_each(|row| evidence.add_row(member as u16, row));
        }
        let touched = changed.count();
        let after = first.map_or(0.0, |first| now - first);
        if evidence.close_window().is_some() {
            return End { halted: true, touched, after };
        }
        out.retain(|&(unit, until)| {
            if now >= until {
                changed.set(unit, true);
                since[unit] = Some(now);
                first = first.or(Some(now));
            }
            now < until
        });
        let out_now: Vec<Unit> = out.iter().map(|(unit, _)| plan.units[*unit]).collect();
        let progress = Progress {
            plan: &plan,
            direction: Direction::Rollout,
            wave,
            changed: &changed,
            out_of_service: &out_now,
        };
        watched = if progress.next_phase(u64::MAX).is_some() { watched + WINDOW } else { 0.0 };
        match progress.next_phase((watched * 1e6) as u64) {
            Some(whinspindle_rollout::NextPhase::Wave(next)) => (wave, watched) = (next, 0.0),
            Some(whinspindle_rollout::NextPhase::Complete) => {
                return End { halted: false, touched: all, after };
            }
            None => {}
        }
        // A tenth may be out at once.
        for place in 0..all {
            let waits = out.iter().all(|(unit, _)| *unit != place) && progress.check_restart(place).is_ok();
            if waits && out.len() < all.div_ceil(10) {
                out.push((place, now + OUT));
            }
        }
    }
}
