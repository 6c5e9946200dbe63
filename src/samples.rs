//! The last samples of a measurement: rings, times within a span, means and ranks. Nothing is decided here.

use std::collections::VecDeque;

/// Keeps the last `most` items.
pub fn push_bounded<T>(ring: &mut VecDeque<T>, most: usize, item: T) {
    if ring.len() >= most {
        ring.pop_front();
    }
    ring.push_back(item);
}

/// Adds the present time to those of the last `span`.
pub fn record_event(times: &mut VecDeque<u64>, now: u64, span: u64) {
    count_recent(times, now, span);
    times.push_back(now);
}

/// How many times lie in the last `span`; older ones are let go.
pub fn count_recent(times: &mut VecDeque<u64>, now: u64, span: u64) -> f64 {
    while times.pop_front_if(|at| *at + span < now).is_some() {}
    times.len() as f64
}

/// Of nothing it is 0.
pub fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// The value above which this part of them lies below; none where there are none, or all lie below.
pub fn quantile<T: PartialOrd + Copy>(values: impl Iterator<Item = T>, rank: f64) -> Option<T> {
    let mut values: Vec<T> = values.collect();
    let at = (values.len() as f64 * rank) as usize;
    if at >= values.len() {
        return None;
    }
    let order = |a: &T, b: &T| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal);
    Some(*values.select_nth_unstable_by(at, order).1)
}

/// Events a second since then, by the sorted times of the last ones; `least` is the least span that counts.
pub fn event_rate(times: &VecDeque<u64>, now: u64, since: u64, least: u64) -> f64 {
    let recent = times.len() - times.partition_point(|&at| at < since);
    recent as f64 * 1e6 / (now - since).max(least) as f64
}

/// Samples of time, x and y with the time made a weight, which halves in each such span.
pub fn decay_weighted(
    samples: &VecDeque<(u64, f64, f64)>,
    now: u64,
    half_life: u64,
) -> impl Iterator<Item = (f64, f64, f64)> + Clone {
    let weight = move |at: u64| 0.5_f64.powf(now.saturating_sub(at) as f64 / half_life as f64);
    samples.iter().map(move |s| (weight(s.0), s.1, s.2))
}

/// The line by weighted least squares through samples of weight, x and y: its slope, the mean x and y, and
/// the sum of the weights. Of samples all at one x the slope is 0.
pub fn fit_line(samples: impl Iterator<Item = (f64, f64, f64)> + Clone) -> (f64, f64, f64, f64) {
    let w: f64 = samples.clone().map(|(k, _, _)| k).sum();
    if w <= 0.0 {
        return (0.0, 0.0, 0.0, 0.0);
    }
    let x = samples.clone().map(|(k, x, _)| k * x).sum::<f64>() / w;
    let y = samples.clone().map(|(k, _, y)| k * y).sum::<f64>() / w;
    let spread: f64 = samples.clone().map(|(k, at, _)| k * (at - x) * (at - x)).sum();
    let both: f64 = samples.map(|(k, at, of)| k * (at - x) * (of - y)).sum();
    (if spread > 1e-9 * w * x * x { both / spread } else { 0.0 }, x, y, w)
}

/// A rising line fitted to weighted samples of load and latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyFit {
    /// Latency without load.
    pub base: f64,
    /// Latency that each unit of load adds.
    pub slope: f64,
    /// Mean latency of the samples.
    pub mean: f64,
    /// Sum of the weights of the samples; 0 without samples.
    pub weight: f64,
}

/// The line through samples as [`fit`] finds it; its slope is at least this part of that of a line through the
/// origin, and at most that.
pub fn fit_increasing_line(samples: impl Iterator<Item = (f64, f64, f64)> + Clone, least: f64) -> LatencyFit {
    let (slope, x, y, w) = fit_line(samples);
    let through_origin = y / x.max(0.01);
    let slope = slope.clamp(least * through_origin, through_origin);
    LatencyFit { base: y - slope * x, slope, mean: y, weight: w }
}

/// The weights as parts of 1; what is above 0 has at least about the floor.
pub fn normalize_shares(mut weights: Vec<f64>, floor: f64) -> Vec<f64> {
    let sum: f64 = weights.iter().sum();
    for weight in weights.iter_mut().filter(|weight| **weight > 0.0) {
        *weight = f64::max(*weight / sum, floor);
    }
    let sum = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    weights.iter().map(|weight| weight / sum).collect()
}

/// Runs of samples: their means, of which the least is a quiet time's.
pub struct BatchMeans {
    run: Vec<f64>,
    begun: u64,
    latest: VecDeque<f64>,
    means: VecDeque<f64>,
}

impl BatchMeans {
    /// So many samples are a run, so many runs and so many of the latest samples are remembered.
    const RUN: usize = 64;
    const RUNS: usize = 32;
    const LATEST: usize = 8;

    /// No samples yet; the first run begins now.
    pub fn new(now: u64) -> Self {
        BatchMeans { run: Vec::new(), begun: now, latest: VecDeque::new(), means: VecDeque::new() }
    }

    /// A run that stays short ends after `span`, if an eighth of it is there.
    pub fn record(&mut self, now: u64, sample: f64, span: u64) {
        self.run.push(sample);
        push_bounded(&mut self.latest, Self::LATEST, sample);
        let count = self.run.len();
        if count >= Self::RUN || (count >= Self::RUN / 8 && now - self.begun >= span) {
            // With its standard error: the least of many short runs would lie far under the usual.
            let middle = mean(self.run.iter().copied());
            let variance = mean(self.run.iter().map(|&t| (t - middle) * (t - middle)));
            push_bounded(&mut self.means, Self::RUNS, middle + (variance / count as f64).sqrt());
            self.run.clear();
            self.begun = now;
        }
    }

    /// The least mean of a run; without one, as long as can be.
    pub fn lowest_mean(&self) -> f64 {
        self.means.iter().copied().fold(f64::MAX, f64::min)
    }

    /// The mean of the latest samples; without a run, infinite.
    pub fn latest_mean(&self) -> f64 {
        if self.means.is_empty() { f64::INFINITY } else { mean(self.latest.iter().copied()) }
    }
}

#[cfg(test)]
mod tests;
