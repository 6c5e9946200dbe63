//! Outlier detection over all balancers. A single balancer sends too few requests to an instance to detect
//! that it is failing, so the failures that all balancers observe are summed, and the outliers are sent to
//! all balancers.

use std::collections::BTreeMap;

use whinspindle_registry::{Lease, ServiceSize};

/// The minimum number of balancers that have observed failures of an instance. The reports of one balancer
/// are not enough.
const MIN_REPORTERS: u32 = 2;
/// The minimum number of failures of an instance, summed over all balancers.
const MIN_FAILURES: u32 = 3;
/// The minimum ratio of an instance's failures to the mean of its service. If most instances fail, or if all
/// fail occasionally, the cause is not the instance.
const MIN_RATIO_TO_MEAN: f64 = 3.0;

/// The failures of one instance, summed over all balancers.
#[derive(Clone, Copy, Debug, Default)]
struct FailureTotals {
    reporting_balancers: u32,
    failed_requests: u32,
}

/// Returns the ids of failing instances, sorted. `service_size` returns the service of an instance and its
/// size, or none for an unknown instance.
pub fn detect<'a, 's>(
    leases: impl Iterator<Item = &'a Lease>,
    service_size: impl Fn(&str) -> Option<ServiceSize<'s>>,
) -> Vec<String> {
    let totals = totals_by_instance(leases);
    let mut failures_by_service: BTreeMap<&str, f64> = BTreeMap::new();
    for (id, total) in &totals {
        if let Some(ServiceSize { service, .. }) = service_size(id) {
            *failures_by_service.entry(service).or_default() += f64::from(total.failed_requests);
        }
    }
    let is_outlier = |id: &str, total: FailureTotals| {
        service_size(id).is_some_and(|ServiceSize { service, instance_count }| {
            let sum = failures_by_service.get(service).copied().unwrap_or_default();
            let mean = sum / instance_count.max(1) as f64;
            f64::from(total.failed_requests) >= MIN_RATIO_TO_MEAN * mean
        })
    };
    let is_failing = |id: &str, total: FailureTotals| {
        total.reporting_balancers >= MIN_REPORTERS
            && total.failed_requests >= MIN_FAILURES
            && is_outlier(id, total)
    };
    totals.into_iter().filter(|&(id, total)| is_failing(id, total)).map(|(id, _)| id.to_owned()).collect()
}

fn totals_by_instance<'a>(leases: impl Iterator<Item = &'a Lease>) -> BTreeMap<&'a str, FailureTotals> {
    let mut totals: BTreeMap<&str, FailureTotals> = BTreeMap::new();
    for observed in leases.flat_map(|lease| &lease.observed_failures) {
        let total = totals.entry(&observed.instance).or_default();
        total.reporting_balancers += 1;
        total.failed_requests = total.failed_requests.saturating_add(observed.failed_requests);
    }
    totals
}
