//! The state of the fleet (the number of balancers, their loads, and failing instances), and the decision
//! when it is sent to the balancers.

use whinspindle_distribution::{Fleet, RegionLoad};

/// The minimum time between two updates of the loads, in milliseconds.
const MIN_INTERVAL_MS: u64 = 1_000;
/// The minimum time between two updates of the number of balancers, in milliseconds per subscriber.
const INTERVAL_MS_PER_SUBSCRIBER: u64 = 2;
/// The minimum relative change of a load that is sent. The load must also change by [`MIN_DIFFERENCE_PER_S`].
const MIN_RELATIVE_DIFFERENCE: f64 = 0.1;
/// The minimum absolute change of a load that is sent, in requests per second.
const MIN_DIFFERENCE_PER_S: f64 = 0.5;

/// The state that was last sent to the balancers, and the time at which it was sent.
#[derive(Debug, Default)]
pub struct FleetState {
    last_sent: Fleet,
    last_sent_at: u64,
}

impl FleetState {
    /// Whether an update may be due for this number of subscribers. A change of the number of balancers is
    /// sent after an interval that grows with the number of messages that it takes. Otherwise, when hundreds
    /// of balancers start together, each of them would receive a message for each of the others.
    pub fn is_due(&self, now: u64, balancers: u32, failing: &[String], subscribers: usize) -> bool {
        let interval_ms = (subscribers as u64 * INTERVAL_MS_PER_SUBSCRIBER).min(MIN_INTERVAL_MS);
        let interval_elapsed = self.last_sent.version == 0 || now >= self.last_sent_at + interval_ms;
        (self.is_urgent(balancers, failing) && interval_elapsed) || now >= self.last_sent_at + MIN_INTERVAL_MS
    }

    fn is_urgent(&self, balancers: u32, failing: &[String]) -> bool {
        self.last_sent.version == 0
            || balancers != self.last_sent.balancers
            || failing != self.last_sent.failing
    }

    /// Returns the state to send, if it differs enough from the last one sent. Must be called only when an
    /// update is due.
    pub fn update(
        &mut self,
        now: u64,
        balancers: u32,
        failing: Vec<String>,
        loads: Vec<RegionLoad>,
    ) -> Option<Fleet> {
        let is_load_due = now >= self.last_sent_at + MIN_INTERVAL_MS;
        let is_changed = self.is_urgent(balancers, &failing)
            || (is_load_due && is_materially_different(&self.last_sent.loads, &loads));
        if !is_changed {
            return None;
        }
        self.last_sent = Fleet { version: self.last_sent.version + 1, balancers, loads, failing };
        self.last_sent_at = now;
        Some(self.last_sent.clone())
    }
}

/// Whether the targets differ, or any load has changed enough to be sent. Both lists are sorted by target.
fn is_materially_different(sent: &[RegionLoad], loads: &[RegionLoad]) -> bool {
    let same_targets =
        sent.len() == loads.len() && sent.iter().zip(loads).all(|(old, new)| old.target == new.target);
    !same_targets
        || sent.iter().zip(loads).any(|(old, new)| has_changed_enough(old.requests_per_s, new.requests_per_s))
}

fn has_changed_enough(old: f64, new: f64) -> bool {
    let difference = (new - old).abs();
    difference > MIN_DIFFERENCE_PER_S && difference > MIN_RELATIVE_DIFFERENCE * old
}
