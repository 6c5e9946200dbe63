//! Admission control: rejects queries on arrival during overload, first those of tenants beyond their quota.

use super::{Balancer, CHECK_PERIOD_US};
use crate::host::Host;

/// The first tier is overloaded if the queries in flight will take this multiple of the lowest mean latency.
pub(super) const OVERLOAD_RATIO: f64 = 2.5;
/// Fraction of the overload limit for tenants beyond their quota: the geometric mean of the limit and the
/// lowest latency.
pub(super) const BEYOND_QUOTA_FACTOR: f64 = 0.63;

impl<H: Host> Balancer<H> {
    /// Whether to reject a query of this tenant. By Little's law, the number of queries in flight divided by
    /// the rate of completions is the expected latency. Only the first tier rejects, because rejections in
    /// lower tiers waste the work done above them.
    pub(super) fn is_overloaded(&self, tenant: usize) -> bool {
        let lowest_latency = self.latency_batches.lowest_mean();
        let completions = &self.completions;
        let completion_rate =
            self.rate(completions, CHECK_PERIOD_US).max(self.rate(completions, CHECK_PERIOD_US / 4));
        let even_share = self.listed.len() as f64 / self.settings.balancers as f64;
        let limit = (OVERLOAD_RATIO * lowest_latency * completion_rate / 1e6).max(even_share);
        // Random arrivals exceed a small limit by about its square root.
        let limit = limit + limit.sqrt().max(1.0);
        let in_flight = self.servers.iter().map(|server| server.in_flight).sum::<usize>() as f64;
        let may_reject =
            self.settings.tier == 0 && !self.settings.load_only_from_probes && lowest_latency < f64::MAX;
        let is_over_limit =
            in_flight > limit || (in_flight > BEYOND_QUOTA_FACTOR * limit && self.exceeds_quota(tenant));
        may_reject && is_over_limit
    }

    /// This balancer's share of all traffic, at least an even share: its admission rate, reduced by one
    /// standard deviation, relative to the rates that servers report or else to the quotas of all tenants.
    /// Clients may prefer one balancer, so shares are not assumed to be even.
    pub(super) fn traffic_share(&self) -> f64 {
        let even_share = 1.0 / self.settings.balancers as f64;
        let reported_rate = self.mean_reported_rate(self.listed.iter());
        let own_rate = self.rate(&self.admissions, CHECK_PERIOD_US);
        let own_rate = own_rate - (own_rate * 1e6 / CHECK_PERIOD_US as f64).sqrt();
        let quotas = self.settings.tenant_quotas.iter().sum();
        let total_rate = if reported_rate > 0.0 { reported_rate * self.listed.len() as f64 } else { quotas };
        if total_rate > 0.0 { (own_rate / total_rate).clamp(even_share, 1.0) } else { even_share }
    }

    /// Whether the admitted queries of the tenant exceed this balancer's share of its quota by more than one
    /// standard deviation.
    fn exceeds_quota(&self, tenant: usize) -> bool {
        let quota = self.settings.tenant_quotas.get(tenant);
        let quota_share = quota.map_or(0.0, |quota| quota * self.traffic_share());
        let deviation = (quota_share * 1e6 / CHECK_PERIOD_US as f64).sqrt();
        quota_share > 0.0
            && self.rate(&self.admissions_by_tenant[tenant], CHECK_PERIOD_US) > quota_share + deviation
    }
}
