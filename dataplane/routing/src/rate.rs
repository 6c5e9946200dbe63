//! Event rate over a sliding window.

/// Length of a bucket, in milliseconds.
const BUCKET_MS: u64 = 250;
/// Number of buckets in the window.
const BUCKETS: usize = 8;
/// Minimum time span of a rate, so that a single early event does not yield a high rate.
const MIN_SPAN_MS: u64 = 1_000;

/// Counts events in time buckets; the window covers about the last two seconds.
#[derive(Clone, Debug)]
pub(crate) struct RateCounter {
    started_at: u64,
    /// Number of the newest bucket.
    newest_bucket: u64,
    /// Event counts from the newest bucket to the oldest.
    counts: [u32; BUCKETS],
}

impl RateCounter {
    /// Creates a counter without events. Times are in milliseconds.
    pub(crate) fn new(now: u64) -> Self {
        RateCounter { started_at: now, newest_bucket: now / BUCKET_MS, counts: [0; BUCKETS] }
    }

    /// Counts one event.
    pub(crate) fn record(&mut self, now: u64) {
        self.advance(now);
        self.counts[0] += 1;
    }

    /// Returns the events per second in the window.
    pub(crate) fn per_second(&self, now: u64) -> f64 {
        let elapsed_buckets = (now / BUCKET_MS).saturating_sub(self.newest_bucket) as usize;
        let events: u32 = self.counts.iter().take(BUCKETS.saturating_sub(elapsed_buckets)).sum();
        let full_span = (BUCKETS as u64 - 1) * BUCKET_MS + now % BUCKET_MS;
        let span = full_span.min(now.saturating_sub(self.started_at)).max(MIN_SPAN_MS);
        f64::from(events) * 1_000.0 / span as f64
    }

    fn advance(&mut self, now: u64) {
        let bucket = now / BUCKET_MS;
        let elapsed_buckets = bucket.saturating_sub(self.newest_bucket).min(BUCKETS as u64) as usize;
        self.counts.rotate_right(elapsed_buckets);
        self.counts[..elapsed_buckets].fill(0);
        self.newest_bucket = self.newest_bucket.max(bucket);
    }
}
