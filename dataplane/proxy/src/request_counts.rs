//! Counters of how requests and attempts ended, for the metrics and for a regular log line.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// What is counted. The order is that of the metrics and the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEvent {
    /// A complete answer of an upstream was passed on, or a stream began.
    Answered,
    /// A stream was passed on to its end.
    StreamComplete,
    /// A stream was resumed at another upstream.
    StreamResumed,
    /// A stream ended before it was complete.
    StreamTruncated,
    /// Answered 503: not run.
    Rejected,
    /// Answered 502: may have run.
    BadGateway,
    /// Answered 504: may have run.
    TimedOut,
    /// Answered with another status of the proxy's own, since the request is invalid.
    InvalidRequest,
    /// An attempt whose upstream did not run the request.
    AttemptRejected,
    /// An attempt that reached another instance than the one meant.
    AttemptMisdirected,
    /// An attempt that broke, or whose answer could not be used.
    AttemptBroken,
    /// An attempt of which not a byte was written.
    AttemptUnsent,
}

impl RequestEvent {
    /// The label in the served metrics and in the log.
    pub fn label(self) -> &'static str {
        match self {
            RequestEvent::Answered => "Answered",
            RequestEvent::StreamComplete => "StreamComplete",
            RequestEvent::StreamResumed => "StreamResumed",
            RequestEvent::StreamTruncated => "StreamCut",
            RequestEvent::Rejected => "Refused",
            RequestEvent::BadGateway => "BadGateway",
            RequestEvent::TimedOut => "TimedOut",
            RequestEvent::InvalidRequest => "TurnedDown",
            RequestEvent::AttemptRejected => "SendRejected",
            RequestEvent::AttemptMisdirected => "SendMisdirected",
            RequestEvent::AttemptBroken => "SendBroken",
            RequestEvent::AttemptUnsent => "SendUnsent",
        }
    }
}

/// Counters since the start of the process, and their values at the last log line.
#[derive(Default)]
pub struct RequestCounts {
    totals: RefCell<BTreeMap<RequestEvent, u64>>,
    logged: RefCell<BTreeMap<RequestEvent, u64>>,
    /// Ticks since the last log line.
    ticks: Cell<u32>,
}

/// Ticks between two log lines.
const TICKS_PER_LINE: u32 = 20;

impl RequestCounts {
    /// Counts an event.
    pub fn record(&self, event: RequestEvent) {
        *self.totals.borrow_mut().entry(event).or_default() += 1;
    }

    /// The counters since the start of the process.
    pub fn totals(&self) -> BTreeMap<RequestEvent, u64> {
        self.totals.borrow().clone()
    }

    /// To be called regularly. Returns what has been counted since the last log line once the next one is due, and
    /// something has been counted.
    pub fn tick(&self) -> Option<String> {
        self.ticks.set(self.ticks.get() + 1);
        if self.ticks.get() < TICKS_PER_LINE {
            return None;
        }
        self.ticks.set(0);
        let totals = self.totals();
        let logged = self.logged.replace(totals.clone());
        let since = |(event, count): (&RequestEvent, &u64)| (*event, count - logged.get(event).unwrap_or(&0));
        let counts = totals.iter().map(since).filter(|(_, count)| *count > 0);
        let words: Vec<String> = counts.map(|(event, count)| format!("{} {count}", event.label())).collect();
        (!words.is_empty()).then(|| words.join(", "))
    }
}
