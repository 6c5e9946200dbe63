//! When the state of the fleet has changed enough to be told to the balancers.

use whinspindle_distribution::{Fleet, RegionLoad};

/// Loads are told at most this often.
const MIN_INTERVAL_MS: u64 = 1_000;
/// Balancers that come or go are told after so much for each subscriber.
const PAUSE_MS_PER_SUBSCRIBER: u64 = 2;
/// A load has changed if it differs by this share and by `MIN_DIFFERENCE_PER_S`.
const MIN_RELATIVE_DIFFERENCE: f64 = 0.1;
const MIN_DIFFERENCE_PER_S: f64 = 0.5;

/// Remembers what the balancers were told last.
#[derive(Debug, Default)]
pub struct FleetState {
    told: Fleet,
    told_at: u64,
}

impl FleetState {
    /// Whether the state may have to be told to so many subscribers. Balancers that come or go are told after a pause
    /// that grows with the messages that this takes: hundreds come together, and each would be told of each.
    pub fn is_due(&self, now: u64, balancers: u32, failing: &[String], subscribers: usize) -> bool {
        let pause_ms = (subscribers as u64 * PAUSE_MS_PER_SUBSCRIBER).min(MIN_INTERVAL_MS);
        let has_rested = self.told.version == 0 || now >= self.told_at + pause_ms;
        (self.is_urgent(balancers, failing) && has_rested) || now >= self.told_at + MIN_INTERVAL_MS
    }

    fn is_urgent(&self, balancers: u32, failing: &[String]) -> bool {
        self.told.version == 0 || balancers != self.told.balancers || failing != self.told.failing
    }

    /// The state to tell, if it differs from the one told last. To be called when it is due.
    pub fn update(
        &mut self,
        now: u64,
        balancers: u32,
        failing: Vec<String>,
        loads: Vec<RegionLoad>,
    ) -> Option<Fleet> {
        let is_due = now >= self.told_at + MIN_INTERVAL_MS;
        let is_worth_telling = self.is_urgent(balancers, &failing)
            || (is_due && is_materially_different(&self.told.loads, &loads));
        if !is_worth_telling {
            return None;
        }
        self.told = Fleet { version: self.told.version + 1, balancers, loads, failing };
        self.told_at = now;
        Some(self.told.clone())
    }
}

/// Both lists are sorted by target.
fn is_materially_different(told: &[RegionLoad], loads: &[RegionLoad]) -> bool {
    let same_targets =
        told.len() == loads.len() && told.iter().zip(loads).all(|(old, new)| old.target == new.target);
    !same_targets
        || told.iter().zip(loads).any(|(old, new)| has_moved(old.requests_per_s, new.requests_per_s))
}

fn has_moved(old: f64, new: f64) -> bool {
    let difference = (new - old).abs();
    difference > MIN_DIFFERENCE_PER_S && difference > MIN_RELATIVE_DIFFERENCE * old
}
