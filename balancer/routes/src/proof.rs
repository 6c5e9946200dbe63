//! The proof of routes when they are loaded: the worst schedule that a route allows is checked against the rules.
//!
//! A route that passes `prove` can't break a rule whatever the servers do. For one that fails each `Refusal` has the
//! check, the calculation and the nearest value that would pass.

mod checks;
mod schedule;

use std::fmt;

use crate::{Bounds, Conditions, ProductRow};

pub use schedule::{Schedule, worst};

/// The value of a route that a refusal is about: see `Conditions`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// `time`.
    Time,
    /// `execution_time`.
    ExecutionTime,
    /// `executions`.
    Executions,
    /// `retry_on`.
    RetryOn,
    /// `wait`.
    Wait,
    /// `hedge`.
    HedgePolicy,
    /// `budget`.
    Budget,
    /// `largest_body`.
    LargestBody,
    /// `servers`.
    Servers,
}

/// One check of the proof, named by what it refuses or limits. Tests leave each out to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// An answer after the product's statement timeout.
    AnswerInTime,
    /// An execution that lasts longer than its request.
    ExecutionInTime,
    /// More executions than the deployment allows.
    Executions,
    /// A second execution of a non-idempotent request.
    NonIdempotent,
    /// A retry after the servers' deduplication has forgotten the first execution.
    Memory,
    /// A retry at servers that don't deduplicate with those of the first execution.
    Scope,
    /// Two executions in flight together.
    Overlap,
    /// A body larger than the deployment takes.
    Body,
    /// Retries that no execution is left for, or executions that there is no time for.
    Sense,
}

/// All checks, in the order of the proof.
pub const CHECKS: [Check; 9] = [
    Check::AnswerInTime,
    Check::ExecutionInTime,
    Check::Executions,
    Check::NonIdempotent,
    Check::Memory,
    Check::Scope,
    Check::Overlap,
    Check::Body,
    Check::Sense,
];

impl Check {
    /// The number of the rule that a refused route could break; 0 if it is only senseless or too large.
    pub fn rule(self) -> u8 {
        match self {
            Check::AnswerInTime | Check::ExecutionInTime => 1,
            Check::Executions | Check::NonIdempotent | Check::Memory | Check::Scope | Check::Overlap => 2,
            Check::Body | Check::Sense => 0,
        }
    }
}

/// Why a route is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The check that refuses it.
    pub check: Check,
    /// The value at fault.
    pub field: Field,
    /// What is wrong, with the calculation where there is one.
    pub fault: String,
    /// The nearest value that would pass.
    pub way_out: String,
}

impl fmt::Display for Refusal {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}; {}", self.fault, self.way_out)
    }
}

/// Checks the conditions of a route for the requests of one product.
pub fn prove(conditions: &Conditions, product: &ProductRow, bounds: &Bounds) -> Vec<Refusal> {
    CHECKS.iter().flat_map(|&check| prove_by(check, conditions, product, bounds)).collect()
}

/// The same by one check alone.
pub fn prove_by(
    check: Check,
    conditions: &Conditions,
    product: &ProductRow,
    bounds: &Bounds,
) -> Vec<Refusal> {
    checks::refusals(check, conditions, product, bounds)
}
