//! Statistics over recent samples: bounded buffers, event rates, quantiles, line fits and batch means.

use std::collections::VecDeque;

/// Appends an item and keeps at most `capacity` items.
pub fn push_bounded<T>(ring: &mut VecDeque<T>, capacity: usize, item: T) {
    if ring.len() >= capacity {
        ring.pop_front();
    }
    ring.push_back(item);
}

/// Records an event at `now` and drops events older than `window_us`.
pub fn record_event(times: &mut VecDeque<u64>, now: u64, window_us: u64) {
    count_recent(times, now, window_us);
    times.push_back(now);
}

/// Drops events older than `window_us` and counts the others.
pub fn count_recent(times: &mut VecDeque<u64>, now: u64, window_us: u64) -> f64 {
    while times.pop_front_if(|time| *time + window_us < now).is_some() {}
    times.len() as f64
}

/// The arithmetic mean; 0 for an empty iterator.
pub fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// The value with the fraction `rank` of all values below it; `None` if there are no values or `rank` is 1.
pub fn quantile<T: PartialOrd + Copy>(values: impl Iterator<Item = T>, rank: f64) -> Option<T> {
    let mut values: Vec<T> = values.collect();
    let index = (values.len() as f64 * rank) as usize;
    if index >= values.len() {
        return None;
    }
    let order = |a: &T, b: &T| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal);
    Some(*values.select_nth_unstable_by(index, order).1)
}

/// Events per second since the time `since`, from sorted event times. The divisor is at least
/// `min_window_us`.
pub fn event_rate(times: &VecDeque<u64>, now: u64, since: u64, min_window_us: u64) -> f64 {
    let recent = times.len() - times.partition_point(|&time| time < since);
    recent as f64 * 1e6 / (now - since).max(min_window_us) as f64
}

/// Converts samples of (time, x, y) to (weight, x, y) with exponentially decaying weights.
pub fn decay_weighted(
    samples: &VecDeque<(u64, f64, f64)>,
    now: u64,
    half_life_us: u64,
) -> impl Iterator<Item = (f64, f64, f64)> + Clone {
    let weight = move |time: u64| 0.5_f64.powf(now.saturating_sub(time) as f64 / half_life_us as f64);
    samples.iter().map(move |s| (weight(s.0), s.1, s.2))
}

/// Weighted least squares over samples of (weight, x, y). Returns the slope, the mean x, the mean y and the
/// sum of the weights. The slope is 0 if all samples have the same x.
pub fn fit_line(samples: impl Iterator<Item = (f64, f64, f64)> + Clone) -> (f64, f64, f64, f64) {
    let total_weight: f64 = samples.clone().map(|(weight, _, _)| weight).sum();
    if total_weight <= 0.0 {
        return (0.0, 0.0, 0.0, 0.0);
    }
    let mean_x = samples.clone().map(|(weight, x, _)| weight * x).sum::<f64>() / total_weight;
    let mean_y = samples.clone().map(|(weight, _, y)| weight * y).sum::<f64>() / total_weight;
    let variance: f64 = samples.clone().map(|(weight, x, _)| weight * (x - mean_x) * (x - mean_x)).sum();
    let covariance: f64 = samples.map(|(weight, x, y)| weight * (x - mean_x) * (y - mean_y)).sum();
    (
        if variance > 1e-9 * total_weight * mean_x * mean_x { covariance / variance } else { 0.0 },
        mean_x,
        mean_y,
        total_weight,
    )
}

/// A non-decreasing line fitted to weighted samples of load and latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyFit {
    /// Latency without load.
    pub base: f64,
    /// Additional latency per unit of load.
    pub slope: f64,
    /// Mean latency of the samples.
    pub mean: f64,
    /// Sum of the weights of the samples; 0 without samples.
    pub weight: f64,
}

/// Fits a line with [`fit_line`] and clamps its slope: at most the slope of a line through the origin, and at
/// least the fraction `min_slope_ratio` of it.
pub fn fit_increasing_line(
    samples: impl Iterator<Item = (f64, f64, f64)> + Clone,
    min_slope_ratio: f64,
) -> LatencyFit {
    let (slope, mean_x, mean_y, total_weight) = fit_line(samples);
    let slope_through_origin = mean_y / mean_x.max(0.01);
    let slope = slope.clamp(min_slope_ratio * slope_through_origin, slope_through_origin);
    LatencyFit { base: mean_y - slope * mean_x, slope, mean: mean_y, weight: total_weight }
}

/// Normalizes weights to a sum of 1 and raises positive shares to about `min_share`.
pub fn normalize_shares(mut weights: Vec<f64>, min_share: f64) -> Vec<f64> {
    let sum: f64 = weights.iter().sum();
    for weight in weights.iter_mut().filter(|weight| **weight > 0.0) {
        *weight = f64::max(*weight / sum, min_share);
    }
    let sum = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    weights.iter().map(|weight| weight / sum).collect()
}

/// Means of consecutive batches of samples. The lowest batch mean estimates the latency without load.
pub struct BatchMeans {
    batch: Vec<f64>,
    batch_started_at: u64,
    latest: VecDeque<f64>,
    means: VecDeque<f64>,
}

impl BatchMeans {
    /// Samples per batch.
    const BATCH_SIZE: usize = 64;
    /// Batch means that are kept.
    const KEPT_MEANS: usize = 32;
    /// Latest samples that are kept.
    const KEPT_SAMPLES: usize = 8;

    /// Starts the first batch at `now`.
    pub fn new(now: u64) -> Self {
        BatchMeans {
            batch: Vec::new(),
            batch_started_at: now,
            latest: VecDeque::new(),
            means: VecDeque::new(),
        }
    }

    /// Records a sample. A batch ends when it is full, or after `max_duration_us` if it has an eighth of its
    /// samples.
    pub fn record(&mut self, now: u64, sample: f64, max_duration_us: u64) {
        self.batch.push(sample);
        push_bounded(&mut self.latest, Self::KEPT_SAMPLES, sample);
        let count = self.batch.len();
        if count >= Self::BATCH_SIZE
            || (count >= Self::BATCH_SIZE / 8 && now - self.batch_started_at >= max_duration_us)
        {
            // Adds the standard error, because the minimum over many short batches would be far too low.
            let batch_mean = mean(self.batch.iter().copied());
            let variance = mean(self.batch.iter().map(|&t| (t - batch_mean) * (t - batch_mean)));
            push_bounded(&mut self.means, Self::KEPT_MEANS, batch_mean + (variance / count as f64).sqrt());
            self.batch.clear();
            self.batch_started_at = now;
        }
    }

    /// The lowest batch mean; `f64::MAX` before the first batch ends.
    pub fn lowest_mean(&self) -> f64 {
        self.means.iter().copied().fold(f64::MAX, f64::min)
    }

    /// The mean of the latest samples; infinite before the first batch ends.
    pub fn latest_mean(&self) -> f64 {
        if self.means.is_empty() { f64::INFINITY } else { mean(self.latest.iter().copied()) }
    }
}

#[cfg(test)]
mod tests;
