//! Events a second over a sliding window.

/// Length of a bucket, in milliseconds.
const BUCKET_MS: u64 = 250;
/// Number of buckets in the window.
const BUCKETS: usize = 8;
/// The least time over which a rate is computed, so that a single early event makes no high rate.
const LEAST_SPAN_MS: u64 = 1_000;

/// Counts events in buckets of time; the window covers about the last two seconds.
#[derive(Clone, Debug)]
pub(crate) struct RateCounter {
    started_at: u64,
    /// The number of the newest bucket, and the counts from it backwards.
    newest: u64,
    counts: [u32; BUCKETS],
}

impl RateCounter {
    /// A counter without events; times are in milliseconds.
    pub(crate) fn new(now: u64) -> Self {
        RateCounter { started_at: now, newest: now / BUCKET_MS, counts: [0; BUCKETS] }
    }

    /// Counts one event.
    pub(crate) fn record(&mut self, now: u64) {
        self.advance(now);
        self.counts[0] += 1;
    }

    /// The rate over the window.
    pub(crate) fn per_second(&self, now: u64) -> f64 {
        let passed = (now / BUCKET_MS).saturating_sub(self.newest) as usize;
        let counted: u32 = self.counts.iter().take(BUCKETS.saturating_sub(passed)).sum();
        let full_span = (BUCKETS as u64 - 1) * BUCKET_MS + now % BUCKET_MS;
        let span = full_span.min(now.saturating_sub(self.started_at)).max(LEAST_SPAN_MS);
        f64::from(counted) * 1_000.0 / span as f64
    }

    fn advance(&mut self, now: u64) {
        let bucket = now / BUCKET_MS;
        let passed = bucket.saturating_sub(self.newest).min(BUCKETS as u64) as usize;
        self.counts.rotate_right(passed);
        self.counts[..passed].fill(0);
        self.newest = self.newest.max(bucket);
    }
}
