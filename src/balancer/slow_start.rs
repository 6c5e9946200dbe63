//! Slow start: a restarted server gets fewer queries until it is warm.

use super::{Balancer, CHECK_PERIOD_US};
use crate::host::Host;

impl<H: Host> Balancer<H> {
    /// Current fraction of the server's warm capacity; 0 if the server is not available.
    pub(super) fn available_capacity(&self, server: usize) -> f64 {
        if self.is_available(server) { self.warm_fraction(server) } else { 0.0 }
    }

    /// Fraction of its warm capacity that the server has at least, by the time since its start.
    pub(super) fn warm_fraction(&self, server: usize) -> f64 {
        let started_at = self.servers[server].started_at;
        let age = self.now.saturating_sub(started_at);
        if started_at == 0 || age >= self.settings.slow_start_duration_us {
            return 1.0;
        }
        let initial = self.settings.slow_start_initial_fraction;
        initial + (1.0 - initial) * age as f64 / self.settings.slow_start_duration_us as f64
    }

    /// Rule 4 of the design: whether this balancer's share of the server's slow-start budget allows another
    /// execution. With many balancers the share is less than one execution, so it is rounded randomly; the
    /// sum over all balancers stays within the budget.
    pub(super) fn has_slow_start_budget(&self, server: usize) -> bool {
        let warm_fraction = self.warm_fraction(server);
        if warm_fraction >= 1.0 {
            return true;
        }
        let window_us = self.settings.slow_start_window_us;
        let since = self.now.saturating_sub(window_us);
        let server = &self.servers[server];
        let used_budget: f64 =
            server.recent_sends.iter().filter(|sent| sent.0 >= since).map(|sent| sent.1).sum();
        let total_capacity: f64 =
            self.listed.iter().map(|&listed| self.servers[listed].relative_capacity).sum();
        // The budget is half the overload factor times what warm servers of the same capacity serve of this
        // balancer's queries. It is based on completions, because arrivals include retries of clients during
        // an overload. Arrivals are used only if nothing completed within a check period.
        let completions = Some(self.rate(&self.completions, CHECK_PERIOD_US)).filter(|&rate| rate > 0.0);
        let rate = completions.unwrap_or(self.arrivals.len() as f64 * 1e6 / CHECK_PERIOD_US as f64);
        let even_share = rate * server.relative_capacity / total_capacity * window_us as f64 / 1e6;
        let budget = even_share * warm_fraction * self.settings.slow_start_overload_factor / 2.0;
        used_budget + 1.0 <= budget + server.budget_rounding
    }
}
