//! A connection pool for upstream servers, and single request-response exchanges. This package never retries
//! a request.

mod exchange;
mod failure;
mod memory_budget;
mod pool;

pub use exchange::ProgressHandle;
pub use failure::{ExchangeError, Progress};
pub use memory_budget::MemoryBudget;
pub use pool::{ConnectionPool, PoolSettings, Upstream};
