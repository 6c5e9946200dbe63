//! Admission: when queries are rejected on arrival, and whose.

use super::{Balancer, CHECK_PERIOD};
use crate::host::Host;

/// The first tier is overloaded when what is in flight takes this many times the least mean latency seen.
pub(super) const OVERLOAD_RATIO: f64 = 2.5;
/// For a tenant beyond its quota the limit is this part of that: half way, by ratio, to the least latency.
pub(super) const BEYOND_QUOTA_PART: f64 = 0.63;

impl<H: Host> Balancer<H> {
    /// Whether a query of this tenant has to be rejected. By Little's law, what is in flight over the rate of
    /// completions is the time that one query more takes. Only the first tier rejects: what the tiers below reject is
    /// work lost above.
    pub(super) fn is_overloaded(&self, tenant: usize) -> bool {
        let least = self.latency_runs.lowest_mean();
        let completions = &self.completions;
        let recent = self.rate(completions, CHECK_PERIOD).max(self.rate(completions, CHECK_PERIOD / 4));
        let even_part = self.listed.len() as f64 / self.settings.balancers as f64;
        let limit = (OVERLOAD_RATIO * least * recent / 1e6).max(even_part);
        // With few in flight, random arrivals alone exceed the limit by about its root.
        let limit = limit + limit.sqrt().max(1.0);
        let in_flight = self.servers.iter().map(|server| server.in_flight).sum::<usize>() as f64;
        let may_reject = self.settings.tier == 0 && !self.settings.load_only_from_probes && least < f64::MAX;
        let exceeds =
            in_flight > limit || (in_flight > BEYOND_QUOTA_PART * limit && self.exceeds_quota(tenant));
        may_reject && exceeds
    }

    /// This balancer's part of all traffic: the rate that it admits, less random excess, over the rates that servers
    /// report, else over the quotas of all tenants; an even part at the least. Guards against taking a balancer that
    /// clients prefer for one like the others.
    pub(super) fn traffic_share(&self) -> f64 {
        let even = 1.0 / self.settings.balancers as f64;
        let reported = self.mean_reported_rate(self.listed.iter());
        let own = self.rate(&self.admissions, CHECK_PERIOD);
        let own = own - (own * 1e6 / CHECK_PERIOD as f64).sqrt();
        let quotas = self.settings.tenant_quotas.iter().sum();
        let all = if reported > 0.0 { reported * self.listed.len() as f64 } else { quotas };
        if all > 0.0 { (own / all).clamp(even, 1.0) } else { even }
    }

    /// Whether more of the tenant's queries were admitted than this balancer's part of its quota, beyond random excess.
    fn exceeds_quota(&self, tenant: usize) -> bool {
        let quota = self.settings.tenant_quotas.get(tenant);
        let part = quota.map_or(0.0, |quota| quota * self.traffic_share());
        let excess = (part * 1e6 / CHECK_PERIOD as f64).sqrt();
        part > 0.0 && self.rate(&self.admissions_by_tenant[tenant], CHECK_PERIOD) > part + excess
    }
}
