//! The result of a check: the violations found, and how much was checked.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Violations that are kept in full; further ones are only counted.
const MAX_KEPT_VIOLATIONS: usize = 1_000;

/// The number of rules.
const RULES: usize = 4;

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// 1: one answer in time, nothing after it; 2: no effect twice; 3: nothing new for draining servers; 4: cold servers
    /// are not overloaded.
    pub rule: u8,
    /// What happened.
    pub what: String,
    /// When, in microseconds.
    pub at: u64,
    /// The query concerned.
    pub query: Option<u64>,
    /// The balancer concerned.
    pub balancer: Option<usize>,
    /// The server concerned.
    pub server: Option<usize>,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let seconds = self.at as f64 / MICROSECONDS_PER_SECOND;
        write!(formatter, "rule {} at {seconds:.3} s: {}", self.rule, self.what)?;
        for (name, number) in [("balancer", self.balancer), ("server", self.server)] {
            if let Some(number) = number {
                write!(formatter, ", {name} {number}")?;
            }
        }
        self.query.map_or(Ok(()), |query| write!(formatter, ", query {query}"))
    }
}

/// What the check of a whole run has found. The names of the fields are those of the report file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The first violations, in the order in which they were found.
    pub breaks: Vec<Violation>,
    /// The number of violations of each rule, beginning with rule 1.
    pub broken: [u64; RULES],
    /// How often each rule was checked: a clean verdict of a run in which nothing happened says nothing.
    pub looked: [u64; RULES],
    /// The promise that a fleet of balancers has broken, where balancers form one.
    #[serde(default)]
    pub fleet: Option<String>,
    /// The number of the fleet's decisions that were checked.
    #[serde(default)]
    pub fleet_looked: u64,
}

impl Verdict {
    /// Whether no violation was found.
    pub fn is_clean(&self) -> bool {
        self.broken.iter().all(|count| *count == 0) && self.fleet.is_none()
    }

    /// Adds the verdict of another run.
    pub fn add(&mut self, other: Verdict) {
        self.breaks.extend(other.breaks);
        self.breaks.truncate(MAX_KEPT_VIOLATIONS);
        self.fleet = self.fleet.take().or(other.fleet);
        self.fleet_looked += other.fleet_looked;
        for rule in 0..RULES {
            self.broken[rule] += other.broken[rule];
            self.looked[rule] += other.looked[rule];
        }
    }

    /// Counts one check of a rule.
    pub(crate) fn count_check(&mut self, rule: u8) {
        self.looked[index(rule)] += 1;
    }

    /// Counts a violation, and keeps it if there are not too many already.
    pub(crate) fn record(&mut self, violation: Violation) {
        self.broken[index(violation.rule)] += 1;
        if self.breaks.len() < MAX_KEPT_VIOLATIONS {
            self.breaks.push(violation);
        }
    }
}

fn index(rule: u8) -> usize {
    usize::from(rule) - 1
}
