//! When the state of the fleet (balancers, their loads, failing instances) has changed enough to be sent to the balancers.

use whinspindle_distribution::{Fleet, RegionLoad};

/// The least time between two updates of the loads, in milliseconds.
const MIN_INTERVAL_MS: u64 = 1_000;
/// The least time between two updates of the number of balancers, in milliseconds for each subscriber.
const INTERVAL_MS_PER_SUBSCRIBER: u64 = 2;
/// A load has changed if it differs by this ratio and by [`MIN_DIFFERENCE_PER_S`].
const MIN_RELATIVE_DIFFERENCE: f64 = 0.1;
/// The least change of a load, in requests a second.
const MIN_DIFFERENCE_PER_S: f64 = 0.5;

/// The state that was sent last, and when.
#[derive(Debug, Default)]
pub struct FleetState {
    sent: Fleet,
    sent_at: u64,
}

impl FleetState {
    /// Whether an update may be due for this number of subscribers. Balancers that come or go are announced after an
    /// interval that grows with the messages that this takes: hundreds come together, and each would be sent each change.
    pub fn is_due(&self, now: u64, balancers: u32, failing: &[String], subscribers: usize) -> bool {
        let interval_ms = (subscribers as u64 * INTERVAL_MS_PER_SUBSCRIBER).min(MIN_INTERVAL_MS);
        let interval_elapsed = self.sent.version == 0 || now >= self.sent_at + interval_ms;
        (self.is_urgent(balancers, failing) && interval_elapsed) || now >= self.sent_at + MIN_INTERVAL_MS
    }

    fn is_urgent(&self, balancers: u32, failing: &[String]) -> bool {
        self.sent.version == 0 || balancers != self.sent.balancers || failing != self.sent.failing
    }

    /// The state to send, if it differs enough from the one sent last. To be called when an update is due.
    pub fn update(
        &mut self,
        now: u64,
        balancers: u32,
        failing: Vec<String>,
        loads: Vec<RegionLoad>,
    ) -> Option<Fleet> {
        let is_load_due = now >= self.sent_at + MIN_INTERVAL_MS;
        let is_changed = self.is_urgent(balancers, &failing)
            || (is_load_due && is_materially_different(&self.sent.loads, &loads));
        if !is_changed {
            return None;
        }
        self.sent = Fleet { version: self.sent.version + 1, balancers, loads, failing };
        self.sent_at = now;
        Some(self.sent.clone())
    }
}

/// Whether targets or rates differ. Both lists are sorted by target.
fn is_materially_different(sent: &[RegionLoad], loads: &[RegionLoad]) -> bool {
    let same_targets =
        sent.len() == loads.len() && sent.iter().zip(loads).all(|(old, new)| old.target == new.target);
    !same_targets
        || sent.iter().zip(loads).any(|(old, new)| has_moved(old.requests_per_s, new.requests_per_s))
}

fn has_moved(old: f64, new: f64) -> bool {
    let difference = (new - old).abs();
    difference > MIN_DIFFERENCE_PER_S && difference > MIN_RELATIVE_DIFFERENCE * old
}
