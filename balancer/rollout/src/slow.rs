//! What counts as slow: longer than the 90th percentile of the last answers to the same product by any server.
//! Both sides of a comparison use the same threshold, so that a load that slows all moves the threshold and not
//! the result of the test.

/// Answers that a threshold is computed from, all new ones each time.
const ANSWERS: usize = 64;
/// The index of the 90th percentile among the sorted answers.
const PERCENTILE_90: usize = ANSWERS * 9 / 10;

/// The threshold of one product.
#[derive(Clone, Debug, Default)]
struct Threshold {
    /// Answer times since it was last computed, in microseconds.
    recent: Vec<u64>,
    /// Longer answers are slow, in microseconds.
    limit: Option<u64>,
}

/// The thresholds, by product.
#[derive(Clone, Debug, Default)]
pub struct SlowThresholds(Vec<Threshold>);

impl SlowThresholds {
    /// Whether an answer that took `spent` microseconds is slow; none is until there were enough answers.
    pub fn is_slow(&mut self, product: usize, spent: u64) -> bool {
        if self.0.len() <= product {
            self.0.resize(product + 1, Threshold::default());
        }
        let threshold = &mut self.0[product];
        let slow = threshold.limit.is_some_and(|limit| spent > limit);
        threshold.recent.push(spent);
        if threshold.recent.len() == ANSWERS {
            threshold.recent.sort_unstable();
            threshold.limit = Some(threshold.recent[PERCENTILE_90]);
            threshold.recent.clear();
        }
        slow
    }
}
