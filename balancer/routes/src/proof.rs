//! The proof of routes when they are loaded: the worst schedule that a route allows is checked against the rules.
//!
//! A route that passes `prove` can't break a rule whatever the servers do. For one that fails each `Refusal` has the
//! check, the calculation and the nearest value that would pass.

mod checks;
mod schedule;

use std::fmt;

use crate::{Conditions, DeploymentLimits, ProductSettings};

pub use schedule::{Schedule, worst_schedule};

/// The value of a route that a refusal is about: see `Conditions`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// `timeout_us`.
    Timeout,
    /// `execution_timeout_us`.
    ExecutionTimeout,
    /// `max_executions`.
    MaxExecutions,
    /// `retry_on`.
    RetryOn,
    /// `retry_delay_us`.
    RetryDelay,
    /// `hedge`.
    Hedge,
    /// `retry_budget`.
    RetryBudget,
    /// `max_body_bytes`.
    MaxBody,
    /// `servers`.
    Servers,
}

/// One check of the proof, named by what it refuses or limits. Tests leave each out to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// An answer after the product's statement timeout.
    AnswerTimeout,
    /// An execution that lasts longer than its request.
    ExecutionTimeout,
    /// More executions than the deployment allows.
    ExecutionCount,
    /// A second execution of a non-idempotent request.
    NonIdempotent,
    /// A retry after the servers' deduplication has forgotten the first execution.
    DeduplicationSpan,
    /// A retry at servers that don't deduplicate with those of the first execution.
    DeduplicationScope,
    /// Two executions in flight together.
    Overlap,
    /// A body larger than the deployment takes.
    BodySize,
    /// Retries that no execution is left for, or executions that there is no time for.
    Feasibility,
}

/// All checks, in the order of the proof.
pub const ALL_CHECKS: [Check; 9] = [
    Check::AnswerTimeout,
    Check::ExecutionTimeout,
    Check::ExecutionCount,
    Check::NonIdempotent,
    Check::DeduplicationSpan,
    Check::DeduplicationScope,
    Check::Overlap,
    Check::BodySize,
    Check::Feasibility,
];

impl Check {
    /// The number of the rule that a refused route could break; 0 if it is only senseless or too large.
    pub fn rule(self) -> u8 {
        match self {
            Check::AnswerTimeout | Check::ExecutionTimeout => 1,
            Check::ExecutionCount
            | Check::NonIdempotent
            | Check::DeduplicationSpan
            | Check::DeduplicationScope
            | Check::Overlap => 2,
            Check::BodySize | Check::Feasibility => 0,
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
    pub suggestion: String,
}

impl fmt::Display for Refusal {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}; {}", self.fault, self.suggestion)
    }
}

/// Checks the conditions of a route for the requests of one product.
pub fn prove(conditions: &Conditions, product: &ProductSettings, bounds: &DeploymentLimits) -> Vec<Refusal> {
    ALL_CHECKS.iter().flat_map(|&check| run_check(check, conditions, product, bounds)).collect()
}

/// The same by one check alone.
pub fn run_check(
    check: Check,
    conditions: &Conditions,
    product: &ProductSettings,
    bounds: &DeploymentLimits,
) -> Vec<Refusal> {
    checks::refusals(check, conditions, product, bounds)
}
