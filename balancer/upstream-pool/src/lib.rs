//! The connections to upstreams: a small pool, and one exchange of a request for a response. Nothing here
//! sends anything twice by itself.

mod exchange;
mod failure;
mod memory_budget;
mod pool;

pub use exchange::ProgressHandle;
pub use failure::{ExchangeError, Progress};
pub use memory_budget::MemoryBudget;
pub use pool::{ConnectionPool, PoolSettings, Upstream};
