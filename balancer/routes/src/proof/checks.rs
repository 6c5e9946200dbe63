//! The checks of the proof, one function each.

use whinspindle::host::{Effect, ServerScope};

use super::{Check, Field, Refusal, Schedule, worst_schedule};
use crate::{Conditions, DeploymentLimits, HedgePolicy, ProductSettings, RetryOn};

/// The refusals of one check.
pub fn refusals(
    check: Check,
    conditions: &Conditions,
    product: &ProductSettings,
    limits: &DeploymentLimits,
) -> Vec<Refusal> {
    let mut proof = Proof {
        check,
        conditions,
        product,
        limits,
        schedule: worst_schedule(conditions, limits),
        has_retries: conditions.max_executions > 1 && conditions.retry_on.allows_after_possible_run(),
        has_hedging: conditions.hedge != HedgePolicy::Never,
        refusals: Vec::new(),
    };
    match check {
        Check::AnswerTimeout => proof.check_answer_timeout(),
        Check::ExecutionTimeout => proof.check_execution_timeout(),
        Check::ExecutionCount => proof.check_execution_count(),
        Check::NonIdempotent => proof.check_non_idempotent(),
        Check::DeduplicationSpan => proof.check_deduplication_span(),
        Check::DeduplicationScope => proof.check_deduplication_scope(),
        Check::Overlap => proof.check_overlap(),
        Check::BodySize => proof.check_body_size(),
        Check::Feasibility => proof.check_feasibility(),
    }
    proof.refusals
}

/// One check of one route's conditions for one product.
struct Proof<'a> {
    check: Check,
    conditions: &'a Conditions,
    product: &'a ProductSettings,
    limits: &'a DeploymentLimits,
    schedule: Schedule,
    /// Whether a request may be retried after an execution that may have run.
    has_retries: bool,
    /// Whether hedged requests are sent.
    has_hedging: bool,
    refusals: Vec<Refusal>,
}

impl Proof<'_> {
    fn refuse(&mut self, field: Field, message: impl Into<String>, hint: impl Into<String>) {
        self.refusals.push(Refusal { check: self.check, field, message: message.into(), hint: hint.into() });
    }

    fn check_answer_timeout(&mut self) {
        let (timeout_us, tick_us) = (self.conditions.timeout_us, self.limits.tick_us);
        let statement_timeout = self.product.statement_timeout_us;
        if timeout_us + tick_us > statement_timeout {
            let sum = format!("time {} and a tick of {}", ms(timeout_us), ms(tick_us));
            let excess = format!("the answer comes after the {} that clients wait", ms(statement_timeout));
            let longest = statement_timeout.saturating_sub(tick_us);
            self.refuse(Field::Timeout, format!("{sum}: {excess}"), format!("at most {}", ms(longest)));
        }
    }

    fn check_execution_timeout(&mut self) {
        let Conditions { timeout_us, execution_timeout_us, .. } = *self.conditions;
        if execution_timeout_us > timeout_us {
            let message = format!(
                "an execution of {} is longer than its request of {}",
                ms(execution_timeout_us),
                ms(timeout_us)
            );
            self.refuse(Field::ExecutionTimeout, message, format!("at most {}", ms(timeout_us)));
        }
    }

    fn check_execution_count(&mut self) {
        let (executions, allowed) = (self.conditions.max_executions, self.limits.max_executions);
        if executions > allowed {
            let message = format!("{executions} executions where the deployment allows {allowed}");
            self.refuse(Field::MaxExecutions, message, format!("at most {allowed}"));
        }
    }

    fn check_non_idempotent(&mut self) {
        if self.product.effect != Effect::NonIdempotent {
            return;
        }
        if self.has_retries {
            let message = "a non-idempotent request is retried though it may have run";
            self.refuse(Field::RetryOn, message, "repeat only after outcomes that never ran");
        }
        if self.has_hedging {
            let message = "a non-idempotent request is hedged by a second copy";
            self.refuse(Field::Hedge, message, "leave it out");
        }
    }

    fn check_deduplication_span(&mut self) {
        // Servers remember a request from the send of its first execution; the last must arrive within that
        // time.
        let is_deduplicated =
            matches!(self.product.effect, Effect::Deduplicated(_)) && (self.has_retries || self.has_hedging);
        if is_deduplicated && self.schedule.last_arrival_us >= self.product.deduplication_us {
            let last_send = self.schedule.send_times_us.last().copied().unwrap_or(0);
            let message = format!(
                "execution {} is sent at {} and arrives by {}, where repeats are forgotten after {}",
                self.schedule.send_times_us.len(),
                ms(last_send),
                ms(self.schedule.last_arrival_us),
                ms(self.product.deduplication_us)
            );
            let hint = nearest_execution_timeout(self.conditions, self.product, self.limits);
            self.refuse(Field::ExecutionTimeout, message, hint);
        }
    }

    fn check_deduplication_scope(&mut self) {
        let servers = &self.conditions.servers;
        let (scope, is_within) = match self.product.effect {
            Effect::Deduplicated(ServerScope::Zone) => {
                ("zone", servers.retries_in_zone || servers.retries_in_pod)
            }
            Effect::Deduplicated(ServerScope::Cell) => ("pod", servers.retries_in_pod),
            _ => return,
        };
        if (self.has_retries || self.has_hedging) && !is_within {
            let message =
                format!("a repeat may leave the {scope} whose servers remember the first execution");
            self.refuse(Field::Servers, message, format!("repeats = \"{scope}\""));
        }
    }

    fn check_overlap(&mut self) {
        if self.limits.allow_hedging {
            return;
        }
        if self.has_hedging {
            let message = "second copies are not allowed by the deployment";
            self.refuse(Field::Hedge, message, "leave it out");
        }
        let retries_timeouts = self.conditions.retry_on.timed_out && self.conditions.max_executions > 1;
        if retries_timeouts && !self.limits.can_cancel {
            let message = "an execution may still run after its time-out, as the deployment can't cancel it";
            self.refuse(Field::RetryOn, message, "not after \"timed-out\"");
        }
    }

    fn check_body_size(&mut self) {
        let (largest, allowed) = (self.conditions.max_body_bytes, self.limits.max_body_bytes);
        if largest > allowed {
            let message = format!("{largest} bytes, where the deployment takes {allowed}");
            self.refuse(Field::MaxBody, message, format!("at most {allowed} B"));
        }
    }

    fn check_feasibility(&mut self) {
        let executions = self.conditions.max_executions;
        if executions == 1 && (self.conditions.retry_on != RetryOn::NONE || self.has_hedging) {
            let message = "repeats are set, but no execution is left for them";
            self.refuse(Field::MaxExecutions, message, "at least 2");
        }
        let possible = self.schedule.send_times_us.len();
        if executions > possible {
            let timeout = ms(self.conditions.timeout_us);
            let message = format!("of {executions} executions only {possible} can be sent within {timeout}");
            self.refuse(Field::MaxExecutions, message, format!("at most {possible}"));
        }
    }
}

fn ms(us: u64) -> String {
    format!("{:.3} ms", us as f64 / 1e3)
}

/// The longest execution time-out with which the last retry still arrives while the first execution is
/// remembered.
fn nearest_execution_timeout(
    conditions: &Conditions,
    product: &ProductSettings,
    limits: &DeploymentLimits,
) -> String {
    let passes = |execution_timeout_us: u64| {
        let changed = Conditions { execution_timeout_us, ..conditions.clone() };
        worst_schedule(&changed, limits).last_arrival_us < product.deduplication_us
    };
    if !passes(1) {
        return "fewer executions, or a shorter wait".to_string();
    }
    // The values that pass need not be contiguous, since fewer executions fit with longer ones; bisection
    // finds a value that passes where the next one doesn't.
    let (mut low, mut high) = (1, conditions.execution_timeout_us);
    while high - low > 1 {
        let middle = low + (high - low) / 2;
        if passes(middle) { low = middle } else { high = middle }
    }
    format!("at most {} with {} executions", ms(low), conditions.max_executions)
}
