//! The proof at load: the worst schedule that a route allows, set against the rules. A route that passes can
//! break none whatever the servers do; one that fails is told the rule, the sum, and the nearest value that
//! would pass.

use std::fmt;

use whinspindle::host::{Effect, Group};

use crate::{Bounds, Conditions, HedgePolicy, ProductRow};

/// What of a route a fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    Time,
    ExecutionTime,
    Executions,
    RetryOn,
    Wait,
    HedgePolicy,
    Budget,
    LargestBody,
    Servers,
}

/// One check of the proof. Each can be left out, to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// An answer later than owed.
    AnswerInTime,
    /// Executions past the statement timeout or the query's own time.
    ExecutionInTime,
    /// More executions than the deployment allows.
    Executions,
    /// A repeat of what must not run twice.
    NonIdempotent,
    /// A repeat after the servers have forgotten the first.
    Memory,
    /// A repeat where the first is not known.
    Scope,
    /// Two executions out together.
    Overlap,
    /// More than the deployment takes.
    Body,
    /// Repeats that no execution is left for, or executions that nothing may use.
    Sense,
}

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
    /// The rule that a fault breaks, by number; 0 for what is only senseless or too much.
    pub fn rule(self) -> u8 {
        match self {
            Check::AnswerInTime | Check::ExecutionInTime => 1,
            Check::Executions | Check::NonIdempotent | Check::Memory | Check::Scope | Check::Overlap => 2,
            Check::Body | Check::Sense => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub check: Check,
    pub field: Field,
    /// What is wrong, with the sum where there is one.
    pub fault: String,
    /// The nearest value that would pass.
    pub way_out: String,
}

impl fmt::Display for Refusal {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}; {}", self.fault, self.way_out)
    }
}

/// Times of the worst schedule that a route allows, from when the query was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// When each execution goes out at the latest, the first at 0.
    pub sends: Vec<u64>,
    /// When the last of them reaches a server at the latest.
    pub last_arrival: u64,
    /// When the last is over at the latest.
    pub last_end: u64,
    pub answer: u64,
}

/// Every timer of a schedule may fire a tick late, and an execution is over a tick after its time at the
/// latest.
pub fn worst(conditions: &Conditions, bounds: &Bounds) -> Schedule {
    let wait = conditions.wait + (conditions.wait as f64 * conditions.spread.max(0.0)).ceil() as u64;
    let step = conditions.execution_time.saturating_add(wait).saturating_add(2 * bounds.tick);
    // Nothing goes out within the last two ticks of the query's time.
    let last = conditions.time.saturating_sub(2 * bounds.tick);
    let sends: Vec<u64> = (0..conditions.executions.max(1) as u64)
        .map(|n| step.saturating_mul(n))
        .filter(|&at| at <= last)
        .collect();
    let last_send = sends.last().copied().unwrap_or(0);
    Schedule {
        last_arrival: last_send + bounds.connect_time_out.min(conditions.execution_time) + bounds.network,
        last_end: (last_send + conditions.execution_time).min(conditions.time) + bounds.tick,
        answer: conditions.time + bounds.tick,
        sends,
    }
}

fn ms(us: u64) -> String {
    format!("{:.3} ms", us as f64 / 1e3)
}

/// What is wrong with these conditions for the queries of one product.
pub fn prove(conditions: &Conditions, product: &ProductRow, bounds: &Bounds) -> Vec<Refusal> {
    CHECKS.iter().flat_map(|&check| prove_by(check, conditions, product, bounds)).collect()
}

/// The same by one check alone.
pub fn prove_by(check: Check, c: &Conditions, product: &ProductRow, bounds: &Bounds) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    let mut refuse = |field, fault: String, way_out: String| {
        refusals.push(Refusal { check, field, fault, way_out });
    };
    let schedule = worst(c, bounds);
    let repeats = c.executions > 1 && c.retry_on.may_have_run();
    let copies = c.hedge != HedgePolicy::Never;
    match check {
        Check::AnswerInTime => {
            if c.time + bounds.tick > product.statement_timeout {
                let most = product.statement_timeout.saturating_sub(bounds.tick);
                let sum = format!("time {} and a tick of {}", ms(c.time), ms(bounds.tick));
                let owed =
                    format!("is answered after the {} that clients wait", ms(product.statement_timeout));
                refuse(Field::Time, format!("{sum}: {owed}"), format!("at most {}", ms(most)));
            }
        }
        Check::ExecutionInTime => {
            if c.execution_time > c.time {
                let fault =
                    format!("an execution of {} outlives its query of {}", ms(c.execution_time), ms(c.time));
                refuse(Field::ExecutionTime, fault, format!("at most {}", ms(c.time)));
            }
        }
        Check::Executions => {
            if c.executions > bounds.executions {
                let fault =
                    format!("{} executions where the deployment allows {}", c.executions, bounds.executions);
                refuse(Field::Executions, fault, format!("at most {}", bounds.executions));
            }
        }
        Check::NonIdempotent => {
            if product.effect == Effect::NonIdempotent && repeats {
                let fault = "a non-idempotent query is sent again though it may have run".to_string();
                refuse(Field::RetryOn, fault, "repeat only after outcomes that never ran".to_string());
            }
            if product.effect == Effect::NonIdempotent && copies {
                let fault = "a non-idempotent query has a second copy".to_string();
                refuse(Field::HedgePolicy, fault, "leave it out".to_string());
            }
        }
        Check::Memory => {
            // Counted from the send of the first; the arrival of the last must come before.
            let kept = matches!(product.effect, Effect::Deduplicated(_)) && (repeats || copies);
            if kept && schedule.last_arrival >= product.memory_span {
                let last = schedule.sends.last().copied().unwrap_or(0);
                let sum = format!(
                    "execution {} goes out at {} and arrives by {}, where repeats are forgotten after {}",
                    schedule.sends.len(),
                    ms(last),
                    ms(schedule.last_arrival),
                    ms(product.memory_span)
                );
                refuse(Field::ExecutionTime, sum, nearest_execution_time(c, product, bounds));
            }
        }
        Check::Scope => {
            let inside = match product.effect {
                Effect::Deduplicated(Group::Zone) => c.servers.repeats_in_zone || c.servers.repeats_in_pod,
                Effect::Deduplicated(Group::Cell) => c.servers.repeats_in_pod,
                _ => true,
            };
            if (repeats || copies) && !inside {
                let (scope, setting) = match product.effect {
                    Effect::Deduplicated(Group::Cell) => ("pod", "pod"),
                    _ => ("zone", "zone"),
                };
                let fault = format!("a repeat may leave the {scope} whose servers know the first");
                refuse(Field::Servers, fault, format!("repeats = \"{setting}\""));
            }
        }
        Check::Overlap => {
            if copies && !bounds.allow_hedging {
                let fault = "second copies are not allowed by the deployment".to_string();
                refuse(Field::HedgePolicy, fault, "leave it out".to_string());
            }
            if c.retry_on.timed_out && c.executions > 1 && !bounds.cancel && !bounds.allow_hedging {
                let fault =
                    "an execution that has timed out is still out, as the deployment can't call it off";
                refuse(Field::RetryOn, fault.to_string(), "not after \"timed-out\"".to_string());
            }
        }
        Check::Body => {
            if c.largest_body > bounds.largest_body {
                let fault =
                    format!("{} bytes, where the deployment takes {}", c.largest_body, bounds.largest_body);
                refuse(Field::LargestBody, fault, format!("at most {} B", bounds.largest_body));
            }
        }
        Check::Sense => {
            if c.executions == 1 && (c.retry_on != crate::RetryOn::NOTHING || copies) {
                let fault = "repeats are set, but no execution is left for them".to_string();
                refuse(Field::Executions, fault, "at least 2".to_string());
            }
            if c.executions > schedule.sends.len() {
                let fault = format!(
                    "of {} executions only {} can go out within {}",
                    c.executions,
                    schedule.sends.len(),
                    ms(c.time)
                );
                refuse(Field::Executions, fault, format!("at most {}", schedule.sends.len()));
            }
        }
    }
    refusals
}

/// The longest time for an execution with which the last repeat still arrives while the first is remembered.
fn nearest_execution_time(c: &Conditions, product: &ProductRow, bounds: &Bounds) -> String {
    let passes = |execution_time: u64| {
        let tried = Conditions { execution_time, ..c.clone() };
        worst(&tried, bounds).last_arrival < product.memory_span
    };
    if !passes(1) {
        return "fewer executions, or a shorter wait".to_string();
    }
    // What passes need not be one run of values, since fewer executions fit with longer ones; the longest
    // below the present one from which on all shorter ones pass is found by halving.
    let (mut low, mut high) = (1, c.execution_time);
    while high - low > 1 {
        let middle = low + (high - low) / 2;
        if passes(middle) { low = middle } else { high = middle }
    }
    format!("at most {} with {} executions", ms(low), c.executions)
}
