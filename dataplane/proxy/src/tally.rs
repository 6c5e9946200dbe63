//! Counts of how requests ended, for the log: one line now and then in place of one for each request.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// An answer of an upstream went back whole, or a stream began.
    Answered,
    StreamComplete,
    StreamResumed,
    StreamCut,
    /// Answered 503: not run.
    Refused,
    /// Answered 502: may have run.
    BadGateway,
    /// Answered 504: may have run.
    TimedOut,
    /// Answered with another status of the proxy's own.
    TurnedDown,
    /// A send on which the upstream said that it did not run the request.
    SendRejected,
    SendMisdirected,
    /// A send that broke, or whose answer could not be used.
    SendBroken,
    /// A send of which not a byte was written.
    SendUnsent,
}

/// Counts since the start of the process, and those that the last line told.
#[derive(Default)]
pub struct Tally {
    totals: RefCell<BTreeMap<Event, u64>>,
    told: RefCell<BTreeMap<Event, u64>>,
    looks: Cell<u32>,
}

/// A line is written every so many looks.
const LOOKS: u32 = 20;

impl Tally {
    pub fn note(&self, event: Event) {
        *self.totals.borrow_mut().entry(event).or_default() += 1;
    }

    /// What has been counted since the start of the process.
    pub fn totals(&self) -> BTreeMap<Event, u64> {
        self.totals.borrow().clone()
    }

    /// What has been counted since the last line, once it is time for a line; to be called regularly.
    pub fn look(&self) -> Option<String> {
        self.looks.set(self.looks.get() + 1);
        if self.looks.get() < LOOKS {
            return None;
        }
        self.looks.set(0);
        let totals = self.totals();
        let told = self.told.replace(totals.clone());
        let since = |(event, count): (&Event, &u64)| (*event, count - told.get(event).unwrap_or(&0));
        let counts = totals.iter().map(since).filter(|(_, count)| *count > 0);
        let words: Vec<String> = counts.map(|(event, count)| format!("{event:?} {count}")).collect();
        (!words.is_empty()).then(|| words.join(", "))
    }
}
