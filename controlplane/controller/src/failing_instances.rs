//! Outlier detection over all balancers: one balancer sees too little of an instance to judge it, so their failures are
//! summed here, and the instances that stand out are sent to all.

use std::collections::BTreeMap;

use whinspindle_registry::{Lease, ServiceSize};

/// The least number of balancers that have seen failures: the reports of one are not enough.
const MIN_REPORTERS: u32 = 2;
/// The least number of failures seen by all balancers together.
const MIN_FAILURES: u32 = 3;
/// The least ratio of an instance's failures to the mean over its service: where most instances fail, or all do now and
/// then, the fault lies elsewhere.
const MIN_RATIO_TO_MEAN: f64 = 3.0;

/// The failures of one instance, summed over the balancers.
#[derive(Clone, Copy, Debug, Default)]
struct FailureTotals {
    reporters: u32,
    failures: u32,
}

/// The ids of failing instances, in order. `service_of` returns the service of an instance, none if it is unknown.
pub fn detect<'a, 's>(
    leases: impl Iterator<Item = &'a Lease>,
    service_of: impl Fn(&str) -> Option<ServiceSize<'s>>,
) -> Vec<String> {
    let totals = totals_by_instance(leases);
    let mut failures_by_service: BTreeMap<&str, f64> = BTreeMap::new();
    for (id, total) in &totals {
        if let Some(ServiceSize { service, .. }) = service_of(id) {
            *failures_by_service.entry(service).or_default() += f64::from(total.failures);
        }
    }
    let stands_out = |id: &str, total: FailureTotals| {
        service_of(id).is_some_and(|ServiceSize { service, instance_count }| {
            let sum = failures_by_service.get(service).copied().unwrap_or_default();
            let mean = sum / instance_count.max(1) as f64;
            f64::from(total.failures) >= MIN_RATIO_TO_MEAN * mean
        })
    };
    let is_failing = |id: &str, total: FailureTotals| {
        total.reporters >= MIN_REPORTERS && total.failures >= MIN_FAILURES && stands_out(id, total)
    };
    totals.into_iter().filter(|&(id, total)| is_failing(id, total)).map(|(id, _)| id.to_owned()).collect()
}

fn totals_by_instance<'a>(leases: impl Iterator<Item = &'a Lease>) -> BTreeMap<&'a str, FailureTotals> {
    let mut totals: BTreeMap<&str, FailureTotals> = BTreeMap::new();
    for failing in leases.flat_map(|lease| &lease.observed_failures) {
        let total = totals.entry(&failing.instance).or_default();
        total.reporters += 1;
        total.failures = total.failures.saturating_add(failing.failed_requests);
    }
    totals
}
