//! Retry budget: this balancer's share of the retries that the fleet may make.

use whinspindle_configuration::Bounds;

/// Fraction of the configured retry ratio and slack that is used.
const USED_FRACTION: f64 = 0.5;
/// Number of balancers to assume while the number is unknown.
const ASSUMED_BALANCERS: u32 = 64;

/// A token bucket in which a retry costs one token. The number of retries in any time span is at most the
/// size of the bucket plus the tokens earned in that span.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
    balancers: u32,
    /// Whether the number of balancers has been known; from then on, changes of that number add no tokens.
    is_initialized: bool,
}

impl RetryBudget {
    /// Sets the number of balancers that share the slack; 0 while it is unknown.
    pub(crate) fn set_balancers(&mut self, balancers: u32, bounds: &Bounds) {
        self.balancers = if balancers == 0 { ASSUMED_BALANCERS } else { balancers };
        let size = self.size(bounds);
        self.tokens = if self.is_initialized { self.tokens.min(size) } else { size };
        self.is_initialized = self.is_initialized || balancers > 0;
    }

    /// Adds the tokens for the arrival of a request.
    pub(crate) fn earn(&mut self, bounds: &Bounds) {
        let earned = self.tokens + bounds.retry_ratio * USED_FRACTION;
        self.tokens = self.tokens.max(earned.min(self.size(bounds)));
    }

    /// Number of tokens in the bucket.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whether the budget allows a retry.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends a token on a retry.
    pub(crate) fn spend(&mut self) {
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
