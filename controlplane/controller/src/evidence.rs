//! Which instances fail requests of several balancers: what each of many balancers sees of an instance is too little, and
//! what they have seen together is told to all.

use std::collections::BTreeMap;

use whinspindle_registry::Lease;

/// One balancer's word doesn't take an instance out.
const LEAST_REPORTERS: u32 = 2;
const LEAST_FAILURES: u32 = 3;
/// An instance fails if it has so many times the failures of the mean over its service: where most fail, or all do now
/// and then, the fault is not theirs.
const TIMES_MEAN: f64 = 3.0;

/// What the balancers have seen of one instance.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    reporters: u32,
    failures: u32,
}

/// The ids of instances that fail, in order. `service_of` names an instance's service and how many instances that has.
pub fn failing<'a, 's>(
    leases: impl Iterator<Item = &'a Lease>,
    service_of: impl Fn(&str) -> Option<(&'s str, usize)>,
) -> Vec<String> {
    let mut seen: BTreeMap<&str, Seen> = BTreeMap::new();
    for failing in leases.flat_map(|lease| &lease.failing) {
        let seen = seen.entry(&failing.instance).or_default();
        seen.reporters += 1;
        seen.failures = seen.failures.saturating_add(failing.failures);
    }
    let mut sums: BTreeMap<&str, f64> = BTreeMap::new();
    for (id, seen) in &seen {
        if let Some((service, _)) = service_of(id) {
            *sums.entry(service).or_default() += f64::from(seen.failures);
        }
    }
    let stands_out = |id: &str, seen: Seen| {
        service_of(id).is_some_and(|(service, instances)| {
            let mean = sums.get(service).copied().unwrap_or_default() / instances.max(1) as f64;
            f64::from(seen.failures) >= TIMES_MEAN * mean
        })
    };
    let fails = |id: &str, seen: Seen| {
        seen.reporters >= LEAST_REPORTERS && seen.failures >= LEAST_FAILURES && stands_out(id, seen)
    };
    seen.into_iter().filter(|&(id, seen)| fails(id, seen)).map(|(id, _)| id.to_owned()).collect()
}
