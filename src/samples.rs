//! The last samples of a measurement: rings, times within a span, means and ranks. Nothing is decided here.

use std::collections::VecDeque;

/// Keeps the last `most` items.
pub fn push<T>(ring: &mut VecDeque<T>, most: usize, item: T) {
    if ring.len() >= most {
        ring.pop_front();
    }
    ring.push_back(item);
}

/// Adds the present time to those of the last `span`.
pub fn note_time(times: &mut VecDeque<u64>, now: u64, span: u64) {
    count_times(times, now, span);
    times.push_back(now);
}

/// How many times lie in the last `span`; older ones are let go.
pub fn count_times(times: &mut VecDeque<u64>, now: u64, span: u64) -> f64 {
    while times.pop_front_if(|at| *at + span < now).is_some() {}
    times.len() as f64
}

/// Of nothing it is 0.
pub fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// The value above which this part of them lies below; none where there are none, or all lie below.
pub fn ranked<T: PartialOrd + Copy>(values: impl Iterator<Item = T>, rank: f64) -> Option<T> {
    let mut values: Vec<T> = values.collect();
    let at = (values.len() as f64 * rank) as usize;
    if at >= values.len() {
        return None;
    }
    let order = |a: &T, b: &T| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal);
    Some(*values.select_nth_unstable_by(at, order).1)
}

/// Events a second since then, by the sorted times of the last ones; `least` is the least span that counts.
pub fn rate(times: &VecDeque<u64>, now: u64, since: u64, least: u64) -> f64 {
    let recent = times.len() - times.partition_point(|&at| at < since);
    recent as f64 * 1e6 / (now - since).max(least) as f64
}

/// The line by weighted least squares through samples of weight, x and y: its slope, the mean x and y, and
/// the sum of the weights. Of samples all at one x the slope is 0.
pub fn fit(samples: impl Iterator<Item = (f64, f64, f64)> + Clone) -> (f64, f64, f64, f64) {
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

/// Runs of samples: their means, of which the least is a quiet time's.
pub struct Runs {
    run: Vec<f64>,
    begun: u64,
    latest: VecDeque<f64>,
    means: VecDeque<f64>,
}

impl Runs {
    /// So many samples are a run, so many runs and so many of the latest samples are remembered.
    const RUN: usize = 64;
    const RUNS: usize = 32;
    const LATEST: usize = 8;

    pub fn new(now: u64) -> Self {
        Runs { run: Vec::new(), begun: now, latest: VecDeque::new(), means: VecDeque::new() }
    }

    /// A run that stays short ends after `span`, if an eighth of it is there.
    pub fn note(&mut self, now: u64, sample: f64, span: u64) {
        self.run.push(sample);
        push(&mut self.latest, Self::LATEST, sample);
        let count = self.run.len();
        if count >= Self::RUN || (count >= Self::RUN / 8 && now - self.begun >= span) {
            // With its standard error: the least of many short runs would lie far under the usual.
            let middle = mean(self.run.iter().copied());
            let variance = mean(self.run.iter().map(|&t| (t - middle) * (t - middle)));
            push(&mut self.means, Self::RUNS, middle + (variance / count as f64).sqrt());
            self.run.clear();
            self.begun = now;
        }
    }

    /// The least mean of a run; without one, as long as can be.
    pub fn least(&self) -> f64 {
        self.means.iter().copied().fold(f64::MAX, f64::min)
    }

    /// The mean of the latest samples; without a run, infinite.
    pub fn latest(&self) -> f64 {
        if self.means.is_empty() { f64::INFINITY } else { mean(self.latest.iter().copied()) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rings_and_spans_let_go_of_what_is_old() {
        let (mut ring, mut times) = (VecDeque::new(), VecDeque::new());
        for (now, kept, counted) in [(10, [10].as_slice(), 1.0), (15, &[10, 15], 2.0), (30, &[15, 30], 1.0)] {
            push(&mut ring, 2, now);
            note_time(&mut times, now, 10);
            assert_eq!((ring.make_contiguous() as &[u64], times.len() as f64), (kept, counted), "{now}");
        }
        assert_eq!(count_times(&mut times, 41, 10), 0.0);
    }

    #[test]
    fn a_fit_goes_through_its_samples() {
        for (samples, slope, x, y, w) in [
            ([].as_slice(), 0.0, 0.0, 0.0, 0.0),
            (&[(2.0, 3.0, 5.0)], 0.0, 3.0, 5.0, 2.0),
            (&[(1.0, 1.0, 3.0), (1.0, 3.0, 7.0)], 2.0, 2.0, 5.0, 2.0),
            // A sample without weight tells nothing.
            (&[(1.0, 1.0, 3.0), (1.0, 3.0, 7.0), (0.0, 9.0, 0.0)], 2.0, 2.0, 5.0, 2.0),
        ] {
            assert_eq!(fit(samples.iter().copied()), (slope, x, y, w), "{samples:?}");
        }
    }

    #[test]
    fn runs_end_when_full_or_old_and_the_least_mean_counts() {
        let mut runs = Runs::new(0);
        // The time, how many samples of which length come then, and the least and the latest mean after them.
        for (now, count, sample, least, latest) in [
            (1, 63, 9.0, f64::MAX, f64::INFINITY),
            (2, 1, 9.0, 9.0, 9.0),
            (3, 7, 5.0, 9.0, 5.5),
            (40, 1, 5.0, 5.0, 5.0),
            (41, 64, 7.0, 5.0, 7.0),
        ] {
            (0..count).for_each(|_| runs.note(now, sample, 30));
            assert_eq!((runs.least(), runs.latest()), (least, latest), "{now}");
        }
    }

    #[test]
    fn rates_count_from_then_on() {
        let times = VecDeque::from([1_000_000, 2_000_000, 3_000_000]);
        for (since, least, per_second) in
            [(1_000_000, 1, 1.0), (2_500_000, 1, 2.0 / 3.0), (0, 8_000_000, 0.375)]
        {
            assert_eq!(rate(&times, 4_000_000, since, least), per_second, "{since}");
        }
    }

    #[test]
    fn means_and_ranks() {
        for (values, middle, rank, at) in [
            ([].as_slice(), 0.0, 0.5, None),
            (&[7.0], 7.0, 0.5, Some(7.0)),
            (&[7.0], 7.0, 1.0, None),
            (&[4.0, 1.0, 3.0, 2.0], 2.5, 0.5, Some(3.0)),
            (&[4.0, 1.0, 3.0, 2.0], 2.5, 0.9, Some(4.0)),
            (&[4.0, 1.0, 3.0, 2.0], 2.5, 0.0, Some(1.0)),
        ] {
            assert_eq!(mean(values.iter().copied()), middle, "{values:?}");
            assert_eq!(ranked(values.iter().copied(), rank), at, "{values:?} {rank}");
        }
    }
}
