//! The thresholds of slow answers. An answer is slow if it takes longer than the 90th percentile of the
//! recent answers for the same product by any server. Changed and unchanged units are compared by the same
//! threshold, so that load that slows all units down moves the threshold instead of the result of the test.

/// The number of answers that a threshold is computed from. Each threshold uses new answers.
const ANSWERS_PER_THRESHOLD: usize = 64;
/// The index of the 90th percentile among the sorted answers.
const PERCENTILE_90_INDEX: usize = ANSWERS_PER_THRESHOLD * 9 / 10;

/// The threshold of one product.
#[derive(Clone, Debug, Default)]
struct Threshold {
    /// Answer times since the threshold was last computed, in microseconds.
    recent_us: Vec<u64>,
    /// The threshold in microseconds, once it has been computed.
    limit_us: Option<u64>,
}

/// The thresholds of all products, by index.
#[derive(Clone, Debug, Default)]
pub struct SlowThresholds(Vec<Threshold>);

impl SlowThresholds {
    /// Whether an answer that took `elapsed_us` microseconds is slow. No answer is slow before the first
    /// threshold has been computed.
    pub fn is_slow(&mut self, product: usize, elapsed_us: u64) -> bool {
        if self.0.len() <= product {
            self.0.resize(product + 1, Threshold::default());
        }
        let threshold = &mut self.0[product];
        let is_slow = threshold.limit_us.is_some_and(|limit| elapsed_us > limit);
        threshold.recent_us.push(elapsed_us);
        if threshold.recent_us.len() == ANSWERS_PER_THRESHOLD {
            threshold.recent_us.sort_unstable();
            threshold.limit_us = Some(threshold.recent_us[PERCENTILE_90_INDEX]);
            threshold.recent_us.clear();
        }
        is_slow
    }
}
