//! The checks of the proof, a function each.

use whinspindle::host::{Effect, ServerScope};

use super::{Check, Field, Refusal, Schedule, worst};
use crate::{Bounds, Conditions, HedgePolicy, ProductRow, RetryOn};

/// The refusals of one check.
pub fn refusals(
    check: Check,
    conditions: &Conditions,
    product: &ProductRow,
    bounds: &Bounds,
) -> Vec<Refusal> {
    let mut proof = Proof {
        check,
        conditions,
        product,
        bounds,
        schedule: worst(conditions, bounds),
        retries: conditions.executions > 1 && conditions.retry_on.allows_after_possible_run(),
        hedges: conditions.hedge != HedgePolicy::Never,
        refusals: Vec::new(),
    };
    match check {
        Check::AnswerInTime => proof.answer_in_time(),
        Check::ExecutionInTime => proof.execution_in_time(),
        Check::Executions => proof.executions(),
        Check::NonIdempotent => proof.non_idempotent(),
        Check::Memory => proof.memory(),
        Check::Scope => proof.scope(),
        Check::Overlap => proof.overlap(),
        Check::Body => proof.body(),
        Check::Sense => proof.sense(),
    }
    proof.refusals
}

/// One check of one route's conditions for one product.
struct Proof<'a> {
    check: Check,
    conditions: &'a Conditions,
    product: &'a ProductRow,
    bounds: &'a Bounds,
    schedule: Schedule,
    /// Whether a request may be retried after an execution that may have run.
    retries: bool,
    /// Whether hedged requests are sent.
    hedges: bool,
    refusals: Vec<Refusal>,
}

impl Proof<'_> {
    fn refuse(&mut self, field: Field, fault: impl Into<String>, way_out: impl Into<String>) {
        self.refusals.push(Refusal {
            check: self.check,
            field,
            fault: fault.into(),
            way_out: way_out.into(),
        });
    }

    fn answer_in_time(&mut self) {
        let (time, tick) = (self.conditions.time, self.bounds.tick);
        let statement_timeout = self.product.statement_timeout;
        if time + tick > statement_timeout {
            let sum = format!("time {} and a tick of {}", ms(time), ms(tick));
            let owed = format!("is answered after the {} that clients wait", ms(statement_timeout));
            let most = statement_timeout.saturating_sub(tick);
            self.refuse(Field::Time, format!("{sum}: {owed}"), format!("at most {}", ms(most)));
        }
    }

    fn execution_in_time(&mut self) {
        let Conditions { time, execution_time, .. } = *self.conditions;
        if execution_time > time {
            let fault = format!("an execution of {} outlives its query of {}", ms(execution_time), ms(time));
            self.refuse(Field::ExecutionTime, fault, format!("at most {}", ms(time)));
        }
    }

    fn executions(&mut self) {
        let (executions, allowed) = (self.conditions.executions, self.bounds.executions);
        if executions > allowed {
            let fault = format!("{executions} executions where the deployment allows {allowed}");
            self.refuse(Field::Executions, fault, format!("at most {allowed}"));
        }
    }

    fn non_idempotent(&mut self) {
        if self.product.effect != Effect::NonIdempotent {
            return;
        }
        if self.retries {
            let fault = "a non-idempotent query is sent again though it may have run";
            self.refuse(Field::RetryOn, fault, "repeat only after outcomes that never ran");
        }
        if self.hedges {
            let fault = "a non-idempotent query has a second copy";
            self.refuse(Field::HedgePolicy, fault, "leave it out");
        }
    }

    fn memory(&mut self) {
        // The servers' memory counts from the send of the first execution; the last must arrive before it ends.
        let deduplicated =
            matches!(self.product.effect, Effect::Deduplicated(_)) && (self.retries || self.hedges);
        if deduplicated && self.schedule.last_arrival >= self.product.memory_span {
            let last_send = self.schedule.sends.last().copied().unwrap_or(0);
            let fault = format!(
                "execution {} goes out at {} and arrives by {}, where repeats are forgotten after {}",
                self.schedule.sends.len(),
                ms(last_send),
                ms(self.schedule.last_arrival),
                ms(self.product.memory_span)
            );
            let way_out = nearest_execution_time(self.conditions, self.product, self.bounds);
            self.refuse(Field::ExecutionTime, fault, way_out);
        }
    }

    fn scope(&mut self) {
        let servers = &self.conditions.servers;
        let (scope, inside) = match self.product.effect {
            Effect::Deduplicated(ServerScope::Zone) => {
                ("zone", servers.repeats_in_zone || servers.repeats_in_pod)
            }
            Effect::Deduplicated(ServerScope::Cell) => ("pod", servers.repeats_in_pod),
            _ => return,
        };
        if (self.retries || self.hedges) && !inside {
            let fault = format!("a repeat may leave the {scope} whose servers know the first");
            self.refuse(Field::Servers, fault, format!("repeats = \"{scope}\""));
        }
    }

    fn overlap(&mut self) {
        if self.bounds.allow_hedging {
            return;
        }
        if self.hedges {
            let fault = "second copies are not allowed by the deployment";
            self.refuse(Field::HedgePolicy, fault, "leave it out");
        }
        let retries_time_outs = self.conditions.retry_on.timed_out && self.conditions.executions > 1;
        if retries_time_outs && !self.bounds.cancel {
            let fault = "an execution that has timed out is still out, as the deployment can't call it off";
            self.refuse(Field::RetryOn, fault, "not after \"timed-out\"");
        }
    }

    fn body(&mut self) {
        let (largest, taken) = (self.conditions.largest_body, self.bounds.largest_body);
        if largest > taken {
            let fault = format!("{largest} bytes, where the deployment takes {taken}");
            self.refuse(Field::LargestBody, fault, format!("at most {taken} B"));
        }
    }

    fn sense(&mut self) {
        let executions = self.conditions.executions;
        if executions == 1 && (self.conditions.retry_on != RetryOn::NONE || self.hedges) {
            let fault = "repeats are set, but no execution is left for them";
            self.refuse(Field::Executions, fault, "at least 2");
        }
        let possible = self.schedule.sends.len();
        if executions > possible {
            let time = ms(self.conditions.time);
            let fault = format!("of {executions} executions only {possible} can go out within {time}");
            self.refuse(Field::Executions, fault, format!("at most {possible}"));
        }
    }
}

fn ms(us: u64) -> String {
    format!("{:.3} ms", us as f64 / 1e3)
}

/// The longest execution time with which the last retry still arrives while the first execution is remembered.
fn nearest_execution_time(conditions: &Conditions, product: &ProductRow, bounds: &Bounds) -> String {
    let passes = |execution_time: u64| {
        let tried = Conditions { execution_time, ..conditions.clone() };
        worst(&tried, bounds).last_arrival < product.memory_span
    };
    if !passes(1) {
        return "fewer executions, or a shorter wait".to_string();
    }
    // The values that pass need not be contiguous, since fewer executions fit with longer ones; bisection finds
    // a value that passes where the next one doesn't.
    let (mut low, mut high) = (1, conditions.execution_time);
    while high - low > 1 {
        let middle = low + (high - low) / 2;
        if passes(middle) { low = middle } else { high = middle }
    }
    format!("at most {} with {} executions", ms(low), conditions.executions)
}
