//! An independent check of a run against the four rules of the system.
//!
//! The harness reports what it observes to an [`InvariantChecker`]: queries accepted and answered, executions sent and
//! ended, endpoint lists received. At the end of the run [`InvariantChecker::finish`] returns the [`Verdict`]. The checker
//! shares no code with the balancers and does not know why they decide as they do, so that a mistake in their logic cannot
//! hide itself.
//!
//! Times are microseconds of one clock, and observations are reported in the order of time. A query is identified by a
//! number that is never used again, a server by the number of its process.
//!
//! ```
//! use whinspindle_lab_invariants::{Final, InvariantChecker, Listed, RetrySafety, Rules};
//!
//! let mut checker = InvariantChecker::new(Rules {
//!     products: vec![RetrySafety::NonIdempotent],
//!     max_executions: 3,
//!     allow_hedging: false,
//!     answer_slack: 20_000,
//!     drain_grace: 300_000,
//!     slow_start_time: 8_000_000,
//!     overload_window: 3_000_000,
//! });
//! let (balancer, server, query, product) = (0, 0, 1, 0);
//! checker.endpoint_listed(0, balancer, server, Listed::Ready, 0, 0);
//! checker.query_accepted(1_000, balancer, query, product, 500_000);
//! checker.execution_sent(1_000, query, server, 20.0);
//! checker.query_executed(21_000, server, query);
//! checker.execution_ended(21_000, query, 0, true);
//! checker.query_answered(21_000, query, Final::Completed);
//! assert!(checker.finish(1_000_000).is_clean());
//! ```

mod checker;
mod rules;
mod verdict;

pub use checker::InvariantChecker;
pub use rules::{Final, Listed, RetrySafety, Rules, Scope};
pub use verdict::{Verdict, Violation};
