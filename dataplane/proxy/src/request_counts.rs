//! Counters of the outcomes of requests and attempts, for the metrics and a periodic log line.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// A counted event. Metrics and log lines use the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEvent {
    /// A complete answer was passed on, or a stream was started.
    Answered,
    /// A stream was passed on to its end.
    StreamComplete,
    /// A stream was resumed at another upstream.
    StreamResumed,
    /// A stream ended before it was complete.
    StreamTruncated,
    /// Answered 503: the request has not run.
    Rejected,
    /// Answered 502: the request may have run.
    BadGateway,
    /// Answered 504: the request may have run.
    TimedOut,
    /// Answered with another status by the proxy, since the request is invalid.
    InvalidRequest,
    /// An attempt whose upstream did not run the request.
    AttemptRejected,
    /// An attempt that reached another instance than the intended one.
    AttemptMisdirected,
    /// An attempt whose connection broke or whose answer was unusable.
    AttemptBroken,
    /// An attempt that ended before any byte was written.
    AttemptUnsent,
}

impl RequestEvent {
    /// Returns the label in metrics and log lines.
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

/// Counters since the start of the process, with their values at the last log line.
#[derive(Default)]
pub struct RequestCounts {
    totals: RefCell<BTreeMap<RequestEvent, u64>>,
    logged: RefCell<BTreeMap<RequestEvent, u64>>,
    /// Ticks since the last log line.
    ticks: Cell<u32>,
}

/// Number of ticks between two log lines.
const TICKS_PER_LINE: u32 = 20;

impl RequestCounts {
    /// Counts an event.
    pub fn record(&self, event: RequestEvent) {
        *self.totals.borrow_mut().entry(event).or_default() += 1;
    }

    /// Returns the counters since the start of the process.
    pub fn totals(&self) -> BTreeMap<RequestEvent, u64> {
        self.totals.borrow().clone()
    }

    /// Must be called periodically. When a log line is due, returns the events counted since the last one, if
    /// any.
    pub fn tick(&self) -> Option<String> {
        self.ticks.set(self.ticks.get() + 1);
        if self.ticks.get() < TICKS_PER_LINE {
            return None;
        }
        self.ticks.set(0);
        let totals = self.totals();
        let logged = self.logged.replace(totals.clone());
        let new_count =
            |(event, count): (&RequestEvent, &u64)| (*event, count - logged.get(event).unwrap_or(&0));
        let counts = totals.iter().map(new_count).filter(|(_, count)| *count > 0);
        let entries: Vec<String> =
            counts.map(|(event, count)| format!("{} {count}", event.label())).collect();
        (!entries.is_empty()).then(|| entries.join(", "))
    }
}
