//! Placement of voters over failure domains, and the losses that leave a majority of them.

use std::collections::BTreeMap;

/// The losses that should leave a majority, each kind by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Number of machines lost at once.
    pub machines: usize,
    /// Number of zones lost at once.
    pub zones: usize,
    /// Number of regions lost at once.
    pub regions: usize,
}

impl Tolerance {
    /// Tolerance of lost machines; zones and regions are not considered.
    pub fn machines_only(machines: usize) -> Tolerance {
        Tolerance { machines, zones: 0, regions: 0 }
    }

    /// The least number of voters that can bear the losses, if they are spread evenly over enough failure domains.
    pub fn target_voters(&self) -> usize {
        2 * self.machines.max(self.zones).max(self.regions) + 1
    }
}

/// The zone and region of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FailureDomain {
    /// Its zone; empty if it is not known.
    pub zone: String,
    /// Its region; empty if it is not known.
    pub region: String,
}

impl FailureDomain {
    /// Whether it is known: that of a bootstrap member is not until its first heartbeat.
    pub fn is_known(&self) -> bool {
        !self.zone.is_empty()
    }
}

/// How unevenly voters are spread; less is better. Regions are compared first, since a region contains whole zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crowding {
    /// The sum of the squares of the voters in each region.
    regions: usize,
    /// The sum of the squares of the voters in each zone.
    zones: usize,
}

impl Crowding {
    /// The crowding of voters in these failure domains.
    pub fn of(failure_domains: &[&FailureDomain]) -> Crowding {
        let squares = |counts: Vec<usize>| counts.iter().map(|count| count * count).sum();
        Crowding {
            regions: squares(region_counts(failure_domains)),
            zones: squares(zone_counts(failure_domains)),
        }
    }
}

/// A kind of loss that should be tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossKind {
    /// Lost machines.
    Machines,
    /// Lost zones.
    Zones,
    /// Lost regions.
    Regions,
}

impl LossKind {
    /// The name in status reports and logs.
    pub fn name(self) -> &'static str {
        match self {
            LossKind::Machines => "machines",
            LossKind::Zones => "zones",
            LossKind::Regions => "regions",
        }
    }
}

/// The kinds of tolerated losses after which no majority of these voters would be left.
pub fn fatal_losses(failure_domains: &[&FailureDomain], tolerance: Tolerance) -> Vec<LossKind> {
    let machines = vec![1; failure_domains.len()];
    let kinds = [
        (LossKind::Machines, machines, tolerance.machines),
        (LossKind::Zones, zone_counts(failure_domains), tolerance.zones),
        (LossKind::Regions, region_counts(failure_domains), tolerance.regions),
    ];
    let is_fatal = |counts: Vec<usize>, losses: usize| 2 * largest(counts, losses) >= failure_domains.len();
    let fatal = kinds.into_iter().filter(|(_, counts, losses)| is_fatal(counts.clone(), *losses));
    fatal.map(|(kind, _, _)| kind).collect()
}

/// The sum of the `number` largest counts.
fn largest(mut counts: Vec<usize>, number: usize) -> usize {
    counts.sort_unstable_by_key(|count| std::cmp::Reverse(*count));
    counts.into_iter().take(number).sum()
}

fn zone_counts(failure_domains: &[&FailureDomain]) -> Vec<usize> {
    counts(failure_domains.iter().map(|domain| domain.zone.as_str()))
}

fn region_counts(failure_domains: &[&FailureDomain]) -> Vec<usize> {
    counts(failure_domains.iter().map(|domain| domain.region.as_str()))
}

fn counts<'a>(names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    counts.into_values().collect()
}
