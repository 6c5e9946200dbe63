//! What became of the clients' requests.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// How a request ended, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered in whole; `in_time` if within the objective and without long pauses.
    Served {
        in_time: bool,
        first_event_ms: u64,
    },
    /// The last try got a promise that it has not run.
    Refused {
        status: u16,
    },
    Failed(Failure),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    NoAddress,
    NoConnection,
    /// The connection ended, or broke off an answer.
    Cut,
    /// Nothing came for too long.
    Silent,
    /// The deadline passed.
    Late,
    /// The answer is not the one that was asked for.
    WrongAnswer,
    Status(u16),
}

/// A try that was not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedTry {
    /// When it began and ended, since the start of the run.
    pub from_ms: u64,
    pub to_ms: u64,
    pub kind: &'static str,
    pub request: String,
    /// The balancer that it went to.
    pub front: SocketAddr,
    /// How it ended, with what the balancer said.
    pub end: String,
}

/// Counts for one kind of request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindTally {
    pub requests: usize,
    pub in_time: usize,
    pub refusals: BTreeMap<u16, usize>,
    pub failures: BTreeMap<Failure, usize>,
    first_event_ms: Vec<u64>,
}

/// Counts for all kinds.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    kinds: Vec<(String, KindTally)>,
    pub retries: usize,
    pub failed_tries: Vec<FailedTry>,
}

impl Tally {
    /// Empty counts for these kinds.
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        let kinds = names.into_iter().map(|name| (name, KindTally::default())).collect();
        Tally { kinds, ..Tally::default() }
    }

    /// Counts a request.
    pub fn add(&mut self, kind: usize, outcome: Outcome) {
        let tally = &mut self.kinds[kind].1;
        tally.requests += 1;
        match outcome {
            Outcome::Served { in_time, first_event_ms } => {
                tally.in_time += usize::from(in_time);
                tally.first_event_ms.push(first_event_ms);
            }
            Outcome::Refused { status } => *tally.refusals.entry(status).or_default() += 1,
            Outcome::Failed(failure) => *tally.failures.entry(failure).or_default() += 1,
        }
    }

    /// The kinds with their counts.
    pub fn kinds(&self) -> impl Iterator<Item = (&str, &KindTally)> {
        self.kinds.iter().map(|(name, tally)| (name.as_str(), tally))
    }
}

impl fmt::Display for FailedTry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FailedTry { from_ms, to_ms, kind, request, front, end } = self;
        write!(formatter, "{from_ms:>6} to {to_ms:>6} ms  {kind} {request} at {front}: {end}")
    }
}

impl KindTally {
    pub fn served(&self) -> usize {
        self.first_event_ms.len()
    }

    pub fn refused(&self) -> usize {
        self.refusals.values().sum()
    }

    pub fn failed(&self) -> usize {
        self.failures.values().sum()
    }

    /// The time to the first event below which this share of the served requests lies; none if none was served.
    pub fn first_event_ms(&self, share: f64) -> Option<u64> {
        let mut times = self.first_event_ms.clone();
        times.sort_unstable();
        let rank = (times.len() as f64 * share).ceil() as usize;
        times.get(rank.saturating_sub(1)).copied()
    }
}
