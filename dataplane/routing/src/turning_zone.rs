//! Zones of which many instances turn cold at about the same time.

/// When so many instances of a zone, and this part of them, turn cold within a time, the others are taken for cold too.
const LEAST_TURNED_COLD: usize = 2;
const TURNED_COLD_PART: usize = 2;

/// How many instances of a zone have turned cold within a time.
#[derive(Debug, Default)]
pub(crate) struct TurningZone {
    instances: usize,
    turned: usize,
    /// When the last of these is warm again.
    pub(crate) cold_until: u64,
}

impl TurningZone {
    pub(crate) fn count(&mut self, cold_until: Option<u64>) {
        self.instances += 1;
        if let Some(until) = cold_until {
            self.turned += 1;
            self.cold_until = self.cold_until.max(until);
        }
    }

    pub(crate) fn turns_cold(&self) -> bool {
        self.turned >= LEAST_TURNED_COLD && self.turned * TURNED_COLD_PART >= self.instances
    }
}
