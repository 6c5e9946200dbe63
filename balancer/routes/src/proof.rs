//! The proof of routes when they are loaded. The worst schedule that a route allows is checked against the
//! rules.
//!
//! A route that passes `prove` can't break a rule whatever the servers do. For a route that fails, each
//! `Refusal` has the check, the calculation and the nearest value that would pass.

mod checks;
mod schedule;

use std::fmt;

use crate::{Conditions, DeploymentLimits, ProductSettings};

pub use schedule::{Schedule, worst_schedule};

/// The field of `Conditions` that a refusal is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The time-out of a request.
    Timeout,
    /// The time-out of one execution.
    ExecutionTimeout,
    /// The maximum number of executions of a request.
    MaxExecutions,
    /// The outcomes after which a request is retried.
    RetryOn,
    /// The delay before a retry.
    RetryDelay,
    /// The policy for sending hedged requests.
    Hedge,
    /// The limit on retries as a fraction of the requests of the route.
    RetryBudget,
    /// The maximum size of a request body.
    MaxBody,
    /// The servers that may take the requests of the route.
    Servers,
}

/// One check of the proof. Tests leave each one out to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Refuses an answer after the product's statement timeout.
    AnswerTimeout,
    /// Refuses an execution that lasts longer than its request.
    ExecutionTimeout,
    /// Refuses more executions than the deployment allows.
    ExecutionCount,
    /// Refuses a second execution of a non-idempotent request.
    NonIdempotent,
    /// Refuses a retry that arrives after the servers have forgotten the first execution.
    DeduplicationSpan,
    /// Refuses a retry at servers that don't know the first execution.
    DeduplicationScope,
    /// Refuses two executions in flight at the same time, if the deployment does not allow them.
    Overlap,
    /// Refuses a body larger than the deployment takes.
    BodySize,
    /// Refuses retries without an execution left for them, and executions without time for them.
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
    /// The number of the rule that a refused route could break; 0 if it could break none.
    pub fn rule_number(self) -> u8 {
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
    /// The check that refuses the route.
    pub check: Check,
    /// The field at fault.
    pub field: Field,
    /// What is wrong, with the calculation if there is one.
    pub message: String,
    /// The nearest value that would pass.
    pub hint: String,
}

impl fmt::Display for Refusal {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}; {}", self.message, self.hint)
    }
}

/// Checks the conditions of a route for the requests of one product.
pub fn prove(conditions: &Conditions, product: &ProductSettings, limits: &DeploymentLimits) -> Vec<Refusal> {
    ALL_CHECKS.iter().flat_map(|&check| run_check(check, conditions, product, limits)).collect()
}

/// Checks the conditions of a route for the requests of one product by one check alone.
pub fn run_check(
    check: Check,
    conditions: &Conditions,
    product: &ProductSettings,
    limits: &DeploymentLimits,
) -> Vec<Refusal> {
    checks::refusals(check, conditions, product, limits)
}
