//! The test of whether changed units do worse than units that are still unchanged at the same time. It is a
//! sequential test with a stated probability of a false halt, and may be evaluated after every window.
//!
//! In each window and stratum (zone and kind) the bad outcomes are counted for changed and unchanged units.
//! If the builds are equally good, each bad outcome falls on a changed unit with a probability equal to the
//! share of changed units in the executions. The outcomes are drawn without replacement, which is dominated
//! in the convex order by drawing with replacement (W. Hoeffding, 1963, section 6). The likelihood ratio
//! against the odds multiplied by one of `FACTORS` therefore has a mean of at most one, whatever load or
//! failures affect both sides. The test multiplies the ratios from each window on, and sums these products
//! with fixed weights. The probability that the sum ever exceeds `1 / false_halt_probability` is at most
//! `false_halt_probability` (Ville's inequality; mixtures over the beginning as in the Shiryaev-Roberts
//! procedure).
//!
//! Bad outcomes come in clusters: a server with a long queue answers all requests of a moment slowly. The bad
//! outcomes of one unit in one window therefore count as one. The logarithm of the ratio is divided by the
//! largest number of bad outcomes of any unit in the window, which keeps the mean at one or below for
//! clusters up to that size (Jensen's inequality: x to a power below one is concave).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The odds ratios that are tested for. By design, a build that is worse by less than the first ratio is not
/// detected.
const FACTORS: [f64; 3] = [1.5, 3.0, 9.0];
/// The kinds of bad outcomes, as verbs of a log line. Each is tested with an equal part of the error
/// probability.
pub const SYMPTOMS: [&str; 3] = ["fail", "are slow", "are rejected"];
/// The largest value of a sum and of a factor, which keeps their product finite.
const MAX_RATIO: f64 = 1e100;

/// The number of executions, and of bad outcomes by symptom.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// The number of all executions.
    pub executions: u32,
    /// The number of bad outcomes, by index in `SYMPTOMS`.
    pub bad: [u32; 3],
}

impl OutcomeCounts {
    /// Adds other counts to these.
    pub fn add(&mut self, other: OutcomeCounts) {
        self.executions = self.executions.saturating_add(other.executions);
        self.bad.iter_mut().zip(other.bad).for_each(|(bad, added)| *bad = bad.saturating_add(added));
    }
}

/// The stratum of balancers, each of which reports on itself.
pub const BALANCER_STRATUM: u16 = u16::MAX;

/// One member's observations, since its last report, of the changed or the unchanged units of a stratum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObservationRow {
    /// The number of the units' zone and kind, or `BALANCER_STRATUM`.
    pub stratum: u16,
    /// Whether the units have the new build.
    pub changed: bool,
    /// The counts of all these units together.
    pub count: OutcomeCounts,
    /// The largest number of bad outcomes of a single unit, by symptom.
    pub max_bad_per_unit: [u32; 3],
}

/// Builds the rows of one member's report. Each item of `units` has the stratum of a unit, whether the unit
/// is changed, and its counts.
pub fn observation_rows(units: impl Iterator<Item = (u16, bool, OutcomeCounts)>) -> Vec<ObservationRow> {
    let mut rows: BTreeMap<(u16, bool), ObservationRow> = BTreeMap::new();
    for (stratum, changed, count) in units.filter(|(_, _, count)| count.executions > 0) {
        let empty =
            ObservationRow { stratum, changed, count: OutcomeCounts::default(), max_bad_per_unit: [0; 3] };
        let row = rows.entry((stratum, changed)).or_insert(empty);
        row.count.add(count);
        row.max_bad_per_unit.iter_mut().zip(count.bad).for_each(|(max, bad)| *max = (*max).max(bad));
    }
    rows.into_values().collect()
}

/// The test of a build, run by a voter on the reports of all members.
#[derive(Clone, Debug)]
pub struct BuildTest {
    false_halt_probability: f64,
    /// The number of windows so far.
    window_count: u64,
    /// The counts of unchanged and of changed units in this window, by member and stratum.
    strata: BTreeMap<(u16, u16), [OutcomeCounts; 2]>,
    /// An upper bound of one unit's bad outcomes over all members, by stratum and whether the unit is
    /// changed.
    max_bad_per_unit: BTreeMap<(u16, bool), [u32; 3]>,
    /// The sums of likelihood ratios, by symptom and factor.
    sums: [[f64; 3]; 3],
    /// The counts of changed units.
    pub changed: OutcomeCounts,
    /// The counts of unchanged units.
    pub unchanged: OutcomeCounts,
}

impl BuildTest {
    /// Creates a test with this probability of a false halt over the whole release.
    pub fn new(false_halt_probability: f64) -> BuildTest {
        BuildTest {
            false_halt_probability,
            window_count: 0,
            strata: BTreeMap::new(),
            max_bad_per_unit: BTreeMap::new(),
            sums: [[0.0; 3]; 3],
            changed: OutcomeCounts::default(),
            unchanged: OutcomeCounts::default(),
        }
    }

    /// Adds a row of a member's report. Servers are compared only within one member's observations of one
    /// window, so that differences between clients, zones or times are not mistaken for differences between
    /// builds. Balancers are compared with one another.
    pub fn add_row(&mut self, from: u16, row: ObservationRow) {
        let member = if row.stratum == BALANCER_STRATUM { u16::MAX } else { from };
        let count =
            OutcomeCounts { bad: row.count.bad.map(|bad| bad.min(row.count.executions)), ..row.count };
        let max_bad_per_unit = self.max_bad_per_unit.entry((row.stratum, row.changed)).or_default();
        for ((max, reported), bad) in max_bad_per_unit.iter_mut().zip(row.max_bad_per_unit).zip(row.count.bad)
        {
            // All members observe the same servers, but each balancer is a unit of its own.
            let reported = reported.min(bad);
            *max = if row.stratum == BALANCER_STRATUM {
                (*max).max(reported)
            } else {
                max.saturating_add(reported)
            };
        }
        self.strata.entry((member, row.stratum)).or_default()[usize::from(row.changed)].add(count);
    }

    /// Closes the window and evaluates the test. If the build does worse, returns the finding as a text for
    /// operators.
    pub fn close_window(&mut self) -> Option<String> {
        self.window_count += 1;
        let mut log_ratios = [[0.0; 3]; 3];
        // Windows are evaluated separately, however few executions they have. Guards against comparing
        // different times: if counts were carried over, one side could have the failures of a burst, and the
        // other side those of the calm before it.
        let max_bad_per_unit = std::mem::take(&mut self.max_bad_per_unit);
        for ((_, stratum), [unchanged, changed]) in std::mem::take(&mut self.strata) {
            if unchanged.executions == 0 || changed.executions == 0 {
                continue;
            }
            self.changed.add(changed);
            self.unchanged.add(unchanged);
            let changed_share = f64::from(changed.executions)
                / (f64::from(changed.executions) + f64::from(unchanged.executions));
            for (symptom, log_ratios) in log_ratios.iter_mut().enumerate() {
                let max_bad =
                    |changed| max_bad_per_unit.get(&(stratum, changed)).map_or(0, |max| max[symptom]);
                let cluster_size = f64::from(max_bad(true).max(max_bad(false)).max(1));
                let (changed_bad, unchanged_bad) =
                    (f64::from(changed.bad[symptom]), f64::from(unchanged.bad[symptom]));
                for (log_ratio, factor) in log_ratios.iter_mut().zip(FACTORS) {
                    let normalizer = factor * changed_share + 1.0 - changed_share;
                    *log_ratio += (changed_bad * (factor / normalizer).ln()
                        - unchanged_bad * normalizer.ln())
                        / cluster_size;
                }
            }
        }
        // Each window is a possible beginning of the fault; the weights of all windows add up to one.
        let weight = 1.0 / (self.window_count as f64 * (self.window_count + 1) as f64);
        let mut worse_symptom = None;
        for (symptom, sums) in self.sums.iter_mut().enumerate() {
            for (sum, log_ratio) in sums.iter_mut().zip(log_ratios[symptom]) {
                *sum = (*sum + weight) * f64::exp(log_ratio).min(MAX_RATIO);
                *sum = sum.min(MAX_RATIO);
            }
            let mean = sums.iter().sum::<f64>() / FACTORS.len() as f64;
            if mean >= SYMPTOMS.len() as f64 / self.false_halt_probability && worse_symptom.is_none() {
                worse_symptom = Some(symptom);
            }
        }
        worse_symptom.map(|symptom| {
            let percentage = |count: OutcomeCounts| {
                100.0 * f64::from(count.bad[symptom]) / f64::from(count.executions.max(1))
            };
            format!(
                "{:.1}% of {} executions at changed units {}, {:.1}% of {} at the others",
                percentage(self.changed),
                self.changed.executions,
                SYMPTOMS[symptom],
                percentage(self.unchanged),
                self.unchanged.executions
            )
        })
    }
}
