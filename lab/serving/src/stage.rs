//! What all parts of a run share: the clock, the referee, the counts.

use std::cell::{Cell, RefCell};

use tokio::time::Instant;

use crate::prompt_ledger::PromptLedger;
use crate::referee::Referee;
use crate::tally::Tally;

/// Shared by upstreams, clients and the operator, which run on one thread.
pub struct Stage {
    started: Instant,
    pub referee: RefCell<Referee>,
    pub ledger: RefCell<PromptLedger>,
    pub tally: RefCell<Tally>,
    /// The generation whose routes clients use.
    pub generation: Cell<u64>,
}

impl Stage {
    /// A stage whose clock begins now.
    pub fn new(tally: Tally) -> Self {
        Stage {
            started: Instant::now(),
            referee: RefCell::default(),
            ledger: RefCell::default(),
            tally: RefCell::new(tally),
            generation: Cell::new(0),
        }
    }

    /// Microseconds since the start.
    pub fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.now_us() / 1_000
    }

    /// The moment of so many microseconds after the start.
    pub fn at_us(&self, now_us: u64) -> Instant {
        self.started + std::time::Duration::from_micros(now_us)
    }
}
