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

/// Counts since the last line.
#[derive(Default)]
pub struct Tally {
    counts: RefCell<BTreeMap<Event, u64>>,
    looks: Cell<u32>,
}

/// A line is written every so many looks.
const LOOKS: u32 = 20;

impl Tally {
    pub fn note(&self, event: Event) {
        *self.counts.borrow_mut().entry(event).or_default() += 1;
    }

    /// What has been counted, once it is time for a line; to be called regularly.
    pub fn look(&self) -> Option<String> {
        self.looks.set(self.looks.get() + 1);
        if self.looks.get() < LOOKS {
            return None;
        }
        self.looks.set(0);
        let counts = self.counts.take();
        let words: Vec<String> = counts.iter().map(|(event, count)| format!("{event:?} {count}")).collect();
        (!words.is_empty()).then(|| words.join(", "))
    }
}
