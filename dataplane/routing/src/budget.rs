//! The retry budget: this balancer's part of the retries that the whole fleet may make.

use whinspindle_configuration::Bounds;

/// Fraction used of the configured retry ratio and of the configured slack.
const USED_FRACTION: f64 = 0.5;
/// Number of balancers that is assumed while it is unknown.
const ASSUMED_BALANCERS: u32 = 64;

/// A token bucket; a retry costs one token. Within any span there are at most as many retries as the size of the bucket
/// and the tokens earned in that span.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
    balancers: u32,
    /// The number of balancers has been known; from then on a change of it adds no tokens.
    begun: bool,
}

impl RetryBudget {
    /// Sets the number of balancers that divide the slack among them; 0 while it is unknown.
    pub(crate) fn set_balancers(&mut self, balancers: u32, bounds: &Bounds) {
        self.balancers = if balancers == 0 { ASSUMED_BALANCERS } else { balancers };
        let size = self.size(bounds);
        self.tokens = if self.begun { self.tokens.min(size) } else { size };
        self.begun = self.begun || balancers > 0;
    }

    /// Adds what the arrival of a request earns.
    pub(crate) fn earn(&mut self, bounds: &Bounds) {
        let earned = self.tokens + bounds.retry_ratio * USED_FRACTION;
        self.tokens = self.tokens.max(earned.min(self.size(bounds)));
    }

    /// Tokens in the bucket.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whether a retry can be paid for.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Pays for a retry.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the token of a retry that did not reach its upstream.
    pub(crate) fn refund(&mut self) {
        self.tokens += 1.0;
    }

    fn size(&self, bounds: &Bounds) -> f64 {
        bounds.retry_slack * USED_FRACTION / f64::from(self.balancers.max(1))
    }
}
