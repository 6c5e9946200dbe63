//! Records acknowledged changes and checks that connected balancers have applied them.

use std::collections::BTreeMap;

use whinspindle_distribution::AppliedState;

/// A machine is in contact if no fault has affected it or the controllers for this long.
pub const CONTACT_MS: u64 = 4_000;
/// A balancer in contact has every configuration that was acknowledged at least this long ago.
pub const CONVERGE_MS: u64 = 2_500;
/// A balancer in contact sends no requests to an instance this long after its departure was acknowledged.
const DRAIN_MS: u64 = 2_500;
/// A balancer in contact has the state of a zone this long after it was acknowledged.
const EVACUATE_MS: u64 = 5_000;
/// An upstream is known to all balancers in contact once it has reached all controllers for this long.
pub const KNOWN_MS: u64 = 6_000;

/// The acknowledged changes so far.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    /// Acknowledged generations with the times of their acknowledgement, oldest first.
    configurations: Vec<(u64, u64)>,
    /// The acknowledged state of each zone without a pending command, with the time of its acknowledgement.
    zones: BTreeMap<String, (u64, bool)>,
    /// Upstreams whose departure a controller has acknowledged, with the time.
    departures: BTreeMap<String, u64>,
}

impl InvariantChecker {
    pub fn configured(&mut self, at: u64, generation: u64) {
        self.configurations.push((at, generation));
    }

    pub fn newest_generation(&self) -> u64 {
        self.configurations.last().map_or(0, |(_, generation)| *generation)
    }

    /// Records that a command for the zone is pending, so that its state is undetermined.
    pub fn evacuating(&mut self, zone: &str) {
        self.zones.remove(zone);
    }

    pub fn evacuated(&mut self, at: u64, zone: &str, evacuated: bool) {
        self.zones.insert(zone.to_owned(), (at, evacuated));
    }

    pub fn zones(&self) -> &BTreeMap<String, (u64, bool)> {
        &self.zones
    }

    pub fn left(&mut self, at: u64, upstream: &str) {
        self.departures.entry(upstream.to_owned()).or_insert(at);
    }

    pub fn departed_upstreams(&self) -> impl Iterator<Item = &String> {
        self.departures.keys()
    }

    /// Checks that a balancer in contact has all changes that were acknowledged long enough ago.
    pub fn check(&self, now: u64, applied: &AppliedState) -> Result<(), String> {
        self.check_configuration(now, applied)?;
        self.check_evacuations(now, applied)?;
        self.check_departures(now, applied)
    }

    pub fn check_configuration(&self, now: u64, applied: &AppliedState) -> Result<(), String> {
        let due = self.configurations.iter().filter(|(at, _)| at + CONVERGE_MS < now);
        let due = due.map(|(_, generation)| *generation).max().unwrap_or(0);
        let generation = applied_generation(applied);
        if generation < due {
            return Err(format!("holds configuration {generation}, {due} was acknowledged"));
        }
        Ok(())
    }

    fn check_evacuations(&self, now: u64, applied: &AppliedState) -> Result<(), String> {
        for (zone, (at, evacuated)) in &self.zones {
            let is_evacuated = applied.evacuations().is_some_and(|section| section.zones.contains(zone));
            if at + EVACUATE_MS < now && is_evacuated != *evacuated {
                return Err(format!("{zone} evacuated: {is_evacuated}, acknowledged: {evacuated}"));
            }
        }
        Ok(())
    }

    fn check_departures(&self, now: u64, applied: &AppliedState) -> Result<(), String> {
        let listed = applied.instances().map_or(&[][..], |section| &section.list);
        let is_due = |id: &String| self.departures.get(id).is_some_and(|at| at + DRAIN_MS < now);
        match listed.iter().find(|instance| !instance.draining && is_due(&instance.id)) {
            Some(instance) => Err(format!("{} takes requests, though it has left", instance.id)),
            None => Ok(()),
        }
    }
}

/// The generation of the configuration that a balancer has applied, or 0 without one.
pub fn applied_generation(applied: &AppliedState) -> u64 {
    let Some(section) = applied.configured() else { return 0 };
    let text = std::str::from_utf8(&section.body).expect("a configuration is text");
    let digits = text.split("\"generation\":").nth(1).expect("a generation");
    digits.split(',').next().and_then(|digits| digits.parse().ok()).expect("a number")
}
