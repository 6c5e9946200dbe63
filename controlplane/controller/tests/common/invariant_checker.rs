//! What was acknowledged, and whether a balancer that is in touch handles requests by it.

use std::collections::BTreeMap;

use whinspindle_distribution::AppliedState;

/// A machine is in touch if nothing has disturbed it or the core for this long.
pub const CONTACT_MS: u64 = 4_000;
/// A balancer in touch has what was acknowledged this long ago.
pub const CONVERGE_MS: u64 = 2_500;
const DRAIN_MS: u64 = 2_500;
const EVACUATE_MS: u64 = 5_000;
/// An upstream that could call any controller for this long is known everywhere.
pub const KNOWN_MS: u64 = 6_000;

#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    /// Acknowledged generations with the time, oldest first.
    configurations: Vec<(u64, u64)>,
    /// The newest acknowledged state of a zone, and since when no command for it is under way.
    zones: BTreeMap<String, (u64, bool)>,
    /// Upstreams of which a controller has acknowledged that they leave.
    left: BTreeMap<String, u64>,
}

impl InvariantChecker {
    pub fn configured(&mut self, at: u64, generation: u64) {
        self.configurations.push((at, generation));
    }

    pub fn newest_generation(&self) -> u64 {
        self.configurations.last().map_or(0, |(_, generation)| *generation)
    }

    /// From now on the zone's state is open.
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
        self.left.entry(upstream.to_owned()).or_insert(at);
    }

    pub fn departed_upstreams(&self) -> impl Iterator<Item = &String> {
        self.left.keys()
    }

    /// Whether what a balancer in touch holds is as new as it has to be.
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
            let holds = applied.evacuations().is_some_and(|section| section.zones.contains(zone));
            if at + EVACUATE_MS < now && holds != *evacuated {
                return Err(format!("{zone} evacuated: {holds}, acknowledged: {evacuated}"));
            }
        }
        Ok(())
    }

    fn check_departures(&self, now: u64, applied: &AppliedState) -> Result<(), String> {
        let listed = applied.instances().map_or(&[][..], |section| &section.list);
        let is_due = |id: &String| self.left.get(id).is_some_and(|at| at + DRAIN_MS < now);
        match listed.iter().find(|instance| !instance.draining && is_due(&instance.id)) {
            Some(instance) => Err(format!("{} takes requests, though it has left", instance.id)),
            None => Ok(()),
        }
    }
}

/// The generation of the configuration that a balancer holds, 0 without one.
pub fn applied_generation(applied: &AppliedState) -> u64 {
    let Some(section) = applied.configured() else { return 0 };
    let text = std::str::from_utf8(&section.body).expect("a configuration is text");
    let digits = text.split("\"generation\":").nth(1).expect("a generation");
    digits.split(',').next().and_then(|digits| digits.parse().ok()).expect("a number")
}
