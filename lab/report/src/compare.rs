//! Whether one thing is better than another, over pairs of runs with the same seeds.

use serde::{Deserialize, Serialize};

/// The mean difference over the pairs, with the interval in which it lies in 95 of 100 resamplings.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Difference {
    pub pairs: usize,
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

impl Difference {
    /// Whether the interval holds no difference at all.
    pub fn is_noise(&self) -> bool {
        self.low <= 0.0 && self.high >= 0.0
    }
}

const RESAMPLINGS: usize = 4_000;

/// Bootstrap over the pairs: `second` less `first`. `chance` gives a whole number below its argument.
pub fn bootstrap(first: &[f64], second: &[f64], mut chance: impl FnMut(usize) -> usize) -> Difference {
    let differences: Vec<f64> = first.iter().zip(second).map(|(a, b)| b - a).collect();
    let count = differences.len();
    if count == 0 {
        return Difference { pairs: 0, mean: 0.0, low: 0.0, high: 0.0 };
    }
    let mean = differences.iter().sum::<f64>() / count as f64;
    let mut means: Vec<f64> = (0..RESAMPLINGS)
        .map(|_| (0..count).map(|_| differences[chance(count)]).sum::<f64>() / count as f64)
        .collect();
    means.sort_unstable_by(f64::total_cmp);
    let (low, high) = (means[RESAMPLINGS / 40], means[RESAMPLINGS - 1 - RESAMPLINGS / 40]);
    Difference { pairs: count, mean, low, high }
}
