//! This balancer's share of the budget of repeated sends.

use whinspindle_configuration::Bounds;

/// A first send earns this part of the ratio that the rule allows, and this part of the slack is used.
const USED_PART: f64 = 0.5;
/// Stands for the number of balancers while it is not known.
const ASSUMED_BALANCERS: u32 = 64;

/// A bucket of tokens, one a repeated send. Within any span the sends are at most its size plus what was earned then.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
    balancers: u32,
    begun: bool,
}

impl RetryBudget {
    /// The number of balancers that share the slack; 0 while it is not known.
    pub(crate) fn share_among(&mut self, balancers: u32, bounds: &Bounds) {
        self.balancers = if balancers == 0 { ASSUMED_BALANCERS } else { balancers };
        let size = self.size(bounds);
        self.tokens = if self.begun { self.tokens.min(size) } else { size };
        self.begun = self.begun || balancers > 0;
    }

    pub(crate) fn earn(&mut self, bounds: &Bounds) {
        let earned = self.tokens + bounds.retry_ratio * USED_PART;
        self.tokens = self.tokens.max(earned.min(self.size(bounds)));
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// A repeat that was paid for did not arrive.
    pub(crate) fn give_back(&mut self) {
        self.tokens += 1.0;
    }

    fn size(&self, bounds: &Bounds) -> f64 {
        bounds.retry_slack * USED_PART / f64::from(self.balancers.max(1))
    }
}
