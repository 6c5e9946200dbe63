//! Whether the changed units do worse than those not yet changed at the same time: a sequential test that may be
//! evaluated after every window, as often as one likes, with a stated chance of a false halt.
//!
//! In each window and stratum (zone and kind) the bad outcomes are counted on both sides. Were the builds
//! alike, each of them would fall on a changed unit with the chance that this side has in the executions;
//! drawn without replacement, which is dominated in the convex order by drawing with (W. Hoeffding, 1963,
//! section 6). So the likelihood ratio against "odds times `FACTORS`" has a mean of one at most, whatever the
//! load or the failures that hit both sides, and sums of such products that begin at each window with fixed
//! weights stay under `1 / error` for ever with the stated chance (Ville's inequality; mixtures over the
//! beginning as in Shiryaev and Roberts' detection).
//!
//! Bad outcomes don't come one by one: a server whose queue is long makes all of a moment slow. So those of
//! one unit in one window pass for one: the logarithm of the ratio is divided by the most that any unit has
//! in the window, which keeps the mean at one or below for clusters up to that size (Jensen: x to a power
//! below one is concave).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The odds ratios that are tested for. A build that is worse by less than the first is not found, by design.
const FACTORS: [f64; 3] = [1.5, 3.0, 9.0];
/// What can be bad about an execution, each tested with its part of the error.
pub const SYMPTOMS: [&str; 3] = ["fail", "are slow", "are turned away"];
/// The largest value of a sum or factor, so that their product stays finite.
const MAX_RATIO: f64 = 1e100;

/// Executions, and the bad ones of each sign.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// All executions.
    pub executions: u32,
    /// Those that were bad, by sign.
    pub bad: [u32; 3],
}

impl OutcomeCounts {
    /// Adds another count.
    pub fn add(&mut self, other: OutcomeCounts) {
        self.executions = self.executions.saturating_add(other.executions);
        self.bad.iter_mut().zip(other.bad).for_each(|(bad, more)| *bad = bad.saturating_add(more));
    }
}

/// The stratum of balancers: each reports on itself.
pub const BALANCER_STRATUM: u16 = u16::MAX;

/// What one member has observed of one side of one stratum since its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObservationRow {
    /// The zone and kind of the units, as a number; or `BALANCER_STRATUM`.
    pub stratum: u16,
    /// Whether they have the new build.
    pub changed: bool,
    /// Their counts together.
    pub count: OutcomeCounts,
    /// The most bad outcomes of each sign that one unit has.
    pub max_bad_per_unit: [u32; 3],
}

/// The rows of one member's report. Takes for each unit its stratum, whether it is changed, and its counts.
pub fn observation_rows(units: impl Iterator<Item = (u16, bool, OutcomeCounts)>) -> Vec<ObservationRow> {
    let mut rows: BTreeMap<(u16, bool), ObservationRow> = BTreeMap::new();
    for (stratum, changed, count) in units.filter(|(_, _, count)| count.executions > 0) {
        let none =
            ObservationRow { stratum, changed, count: OutcomeCounts::default(), max_bad_per_unit: [0; 3] };
        let row = rows.entry((stratum, changed)).or_insert(none);
        row.count.add(count);
        row.max_bad_per_unit.iter_mut().zip(count.bad).for_each(|(most, bad)| *most = (*most).max(bad));
    }
    rows.into_values().collect()
}

/// The test of a build, run by a voter on the reports of all members.
#[derive(Clone, Debug)]
pub struct BuildTest {
    error: f64,
    window: u64,
    /// The counts of this window by member and stratum: of unchanged and of changed units.
    strata: BTreeMap<(u16, u16), [OutcomeCounts; 2]>,
    /// By stratum and side: an upper bound of one unit's bad outcomes over all members.
    most: BTreeMap<(u16, bool), [u32; 3]>,
    /// The sums of likelihood ratios, by sign and factor.
    sums: [[f64; 3]; 3],
    /// What was counted at changed units.
    pub changed: OutcomeCounts,
    /// What was counted at unchanged units.
    pub unchanged: OutcomeCounts,
}

impl BuildTest {
    /// A test with this chance of a false halt over the whole release.
    pub fn new(error: f64) -> BuildTest {
        BuildTest {
            error,
            window: 0,
            strata: BTreeMap::new(),
            most: BTreeMap::new(),
            sums: [[0.0; 3]; 3],
            changed: OutcomeCounts::default(),
            unchanged: OutcomeCounts::default(),
        }
    }

    /// Takes a row of a member's report. Servers are compared only within one member's observations of one
    /// window, so that differences of members' clients, zones or time don't look like those of builds; balancers
    /// are compared with one another.
    pub fn add_row(&mut self, from: u16, row: ObservationRow) {
        let member = if row.stratum == BALANCER_STRATUM { u16::MAX } else { from };
        let count =
            OutcomeCounts { bad: row.count.bad.map(|bad| bad.min(row.count.executions)), ..row.count };
        let most = self.most.entry((row.stratum, row.changed)).or_default();
        for ((known, more), bad) in most.iter_mut().zip(row.max_bad_per_unit).zip(row.count.bad) {
            // All members observe the same servers, but each balancer is a unit of its own.
            let more = more.min(bad);
            *known =
                if row.stratum == BALANCER_STRATUM { (*known).max(more) } else { known.saturating_add(more) };
        }
        self.strata.entry((member, row.stratum)).or_default()[usize::from(row.changed)].add(count);
    }

    /// Closes the window and evaluates the test: the finding against the build for operators, if there is one.
    pub fn close_window(&mut self) -> Option<String> {
        self.window += 1;
        let mut logs = [[0.0; 3]; 3];
        // Each window counts for itself, however few executions it has. Guards against comparing different times:
        // when small counts were carried over, one side had the failures of a burst and the other those of
        // the calm before.
        let most = std::mem::take(&mut self.most);
        for ((_, stratum), [unchanged, changed]) in std::mem::take(&mut self.strata) {
            if unchanged.executions == 0 || changed.executions == 0 {
                continue;
            }
            self.changed.add(changed);
            self.unchanged.add(unchanged);
            let part = f64::from(changed.executions)
                / (f64::from(changed.executions) + f64::from(unchanged.executions));
            for (sign, logs) in logs.iter_mut().enumerate() {
                let of = |changed| most.get(&(stratum, changed)).map_or(0, |most| most[sign]);
                let cluster = f64::from(of(true).max(of(false)).max(1));
                let (x, y) = (f64::from(changed.bad[sign]), f64::from(unchanged.bad[sign]));
                for (log, factor) in logs.iter_mut().zip(FACTORS) {
                    let whole = factor * part + 1.0 - part;
                    *log += (x * (factor / whole).ln() - y * whole.ln()) / cluster;
                }
            }
        }
        // The weights of all windows as a possible start of the fault add up to one.
        let weight = 1.0 / (self.window as f64 * (self.window + 1) as f64);
        let mut against = None;
        for (sign, sums) in self.sums.iter_mut().enumerate() {
            for (sum, log) in sums.iter_mut().zip(logs[sign]) {
                *sum = (*sum + weight) * f64::exp(log).min(MAX_RATIO);
                *sum = sum.min(MAX_RATIO);
            }
            let mean = sums.iter().sum::<f64>() / FACTORS.len() as f64;
            if mean >= SYMPTOMS.len() as f64 / self.error && against.is_none() {
                against = Some(sign);
            }
        }
        against.map(|sign| {
            let part = |count: OutcomeCounts| {
                100.0 * f64::from(count.bad[sign]) / f64::from(count.executions.max(1))
            };
            format!(
                "{:.1}% of {} executions at changed units {}, {:.1}% of {} at the others",
                part(self.changed),
                self.changed.executions,
                SYMPTOMS[sign],
                part(self.unchanged),
                self.unchanged.executions
            )
        })
    }
}
