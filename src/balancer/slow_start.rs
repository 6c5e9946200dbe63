//! Slow start: a server just started gets less until it is warm.

use super::{Balancer, CHECK_PERIOD};
use crate::host::Host;

impl<H: Host> Balancer<H> {
    /// The part of a warm server's capacity that this one has now; 0 while it is not available.
    pub(super) fn available_capacity(&self, server: usize) -> f64 {
        if self.is_available(server) { self.warm_fraction(server) } else { 0.0 }
    }

    /// The least part of its capacity that a server can have reached since its start.
    pub(super) fn warm_fraction(&self, server: usize) -> f64 {
        let started_at = self.servers[server].started_at;
        let age = self.now.saturating_sub(started_at);
        if started_at == 0 || age >= self.settings.slow_start_duration_us {
            return 1.0;
        }
        let initial = self.settings.slow_start_initial_fraction;
        initial + (1.0 - initial) * age as f64 / self.settings.slow_start_duration_us as f64
    }

    /// Rule 4: whether this balancer's part of the server's slow-start budget allows one more execution. With many
    /// balancers that part is well under one execution; it is rounded at random, so that all together keep to the sum.
    pub(super) fn has_slow_start_budget(&self, server: usize) -> bool {
        let warm_fraction = self.warm_fraction(server);
        if warm_fraction >= 1.0 {
            return true;
        }
        let window = self.settings.slow_start_window_us;
        let since = self.now.saturating_sub(window);
        let server = &self.servers[server];
        let spent: f64 = server.recent_sends.iter().filter(|sent| sent.0 >= since).map(|sent| sent.1).sum();
        let sizes: f64 = self.listed.iter().map(|&listed| self.servers[listed].size).sum();
        // Half the multiple of what warm servers of like size serve of this balancer's queries. Arrivals are no measure in
        // an overload, when clients retry; they stand in while nothing was served, over a whole check period.
        let completions = Some(self.rate(&self.completions, CHECK_PERIOD)).filter(|&rate| rate > 0.0);
        let rate = completions.unwrap_or(self.arrivals.len() as f64 * 1e6 / CHECK_PERIOD as f64);
        let even = rate * server.size / sizes * window as f64 / 1e6;
        let budget = even * warm_fraction * self.settings.slow_start_overload_factor / 2.0;
        spent + 1.0 <= budget + server.budget_rounding
    }
}
