//! Placement of voters in failure domains, and the losses that the voters tolerate.

use std::collections::BTreeMap;

/// The losses that the voters should tolerate, meaning that a majority remains. Each kind of loss is
/// considered alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// The number of machines lost at the same time.
    pub machines: usize,
    /// The number of zones lost at the same time.
    pub zones: usize,
    /// The number of regions lost at the same time.
    pub regions: usize,
}

impl Tolerance {
    /// Tolerates lost machines, and no lost zones or regions.
    pub fn machines_only(machines: usize) -> Tolerance {
        Tolerance { machines, zones: 0, regions: 0 }
    }

    /// The minimum number of voters that tolerates the losses if they are spread evenly over enough failure
    /// domains.
    pub fn target_voters(&self) -> usize {
        2 * self.machines.max(self.zones).max(self.regions) + 1
    }
}

/// The zone and region of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FailureDomain {
    /// The zone; empty if unknown.
    pub zone: String,
    /// The region; empty if unknown.
    pub region: String,
}

impl FailureDomain {
    /// Whether the zone is known. For a bootstrap member, it is unknown until the first heartbeat.
    pub fn is_known(&self) -> bool {
        !self.zone.is_empty()
    }
}

/// How unevenly voters are spread over failure domains; less is better. Regions are compared before zones,
/// because a region contains whole zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crowding {
    /// The sum of the squared numbers of voters in each region.
    regions: usize,
    /// The sum of the squared numbers of voters in each zone.
    zones: usize,
}

impl Crowding {
    /// Computes the crowding of voters, given the failure domain of each.
    pub fn compute(failure_domains: &[&FailureDomain]) -> Crowding {
        let sum_of_squares = |counts: Vec<usize>| counts.iter().map(|count| count * count).sum();
        Crowding {
            regions: sum_of_squares(region_counts(failure_domains)),
            zones: sum_of_squares(zone_counts(failure_domains)),
        }
    }
}

/// A kind of loss that should be tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossKind {
    /// Loss of machines.
    Machines,
    /// Loss of zones.
    Zones,
    /// Loss of regions.
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

/// The kinds of losses that should be tolerated but would leave no majority of the voters, given the
/// failure domain of each voter.
pub fn fatal_losses(failure_domains: &[&FailureDomain], tolerance: Tolerance) -> Vec<LossKind> {
    let machines = vec![1; failure_domains.len()];
    let kinds = [
        (LossKind::Machines, machines, tolerance.machines),
        (LossKind::Zones, zone_counts(failure_domains), tolerance.zones),
        (LossKind::Regions, region_counts(failure_domains), tolerance.regions),
    ];
    let is_fatal =
        |counts: Vec<usize>, losses: usize| 2 * sum_of_largest(counts, losses) >= failure_domains.len();
    let fatal = kinds.into_iter().filter(|(_, counts, losses)| is_fatal(counts.clone(), *losses));
    fatal.map(|(kind, _, _)| kind).collect()
}

/// The sum of the `number` largest counts.
fn sum_of_largest(mut counts: Vec<usize>, number: usize) -> usize {
    counts.sort_unstable_by_key(|count| std::cmp::Reverse(*count));
    counts.into_iter().take(number).sum()
}

fn zone_counts(failure_domains: &[&FailureDomain]) -> Vec<usize> {
    count_by_name(failure_domains.iter().map(|domain| domain.zone.as_str()))
}

fn region_counts(failure_domains: &[&FailureDomain]) -> Vec<usize> {
    count_by_name(failure_domains.iter().map(|domain| domain.region.as_str()))
}

fn count_by_name<'a>(names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    counts.into_values().collect()
}
