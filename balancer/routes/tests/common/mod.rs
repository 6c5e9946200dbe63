//! A valid route and the bounds of a deployment, for the cases to change.

use whinspindle::host::{Effect, ServerScope};
use whinspindle_routes::pattern::Pattern;
use whinspindle_routes::{Bounds, Conditions, HedgePolicy, Matches, ProductRow, RetryOn, Route, Servers};

#[allow(dead_code, reason = "each test file uses a part of it")]
pub const MS: u64 = 1_000;
#[allow(dead_code, reason = "each test file uses a part of it")]
pub const S: u64 = 1_000_000;

#[allow(dead_code, reason = "each test file uses a part of it")]
pub fn bounds() -> Bounds {
    Bounds {
        executions: 4,
        allow_hedging: false,
        cancel: true,
        connect_time_out: 250 * MS,
        tick: 5 * MS,
        network: 50 * MS,
        largest_body: 64 * 1024,
    }
}

#[allow(dead_code, reason = "each test file uses a part of it")]
pub fn order() -> ProductRow {
    ProductRow {
        effect: Effect::Deduplicated(ServerScope::All),
        memory_span: 5 * S,
        statement_timeout: 3 * S,
    }
}

pub fn conditions() -> Conditions {
    Conditions {
        time: 2 * S,
        execution_time: 500 * MS,
        executions: 3,
        retry_on: RetryOn { never_ran: true, error: true, broken: true, timed_out: true },
        wait: 20 * MS,
        spread: 0.5,
        hedge: HedgePolicy::Never,
        budget: 0.2,
        largest_body: 1024,
        servers: Servers::default(),
    }
}

#[allow(dead_code, reason = "each test file uses a part of it")]
pub fn route(
    name: &str,
    method: Option<&str>,
    path: &str,
    product: Option<usize>,
    tenant: Option<usize>,
) -> Route {
    let path = Pattern::read(path).unwrap_or_else(|fault| panic!("{path}: {fault}"));
    let method = method.map(str::to_string);
    Route {
        name: name.to_string(),
        matches: Matches { method, path, product, tenant },
        conditions: vec![conditions()],
    }
}
