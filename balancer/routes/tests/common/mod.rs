//! A valid route and the limits of a deployment, which the test cases change.

use whinspindle::host::{Effect, ServerScope};
use whinspindle_routes::pattern::Pattern;
use whinspindle_routes::{
    Conditions, DeploymentLimits, HedgePolicy, ProductSettings, RetryOn, Route, RouteMatch, ServerSelection,
};

#[allow(dead_code, reason = "each test file uses a part of it")]
pub const MS: u64 = 1_000;
#[allow(dead_code, reason = "each test file uses a part of it")]
pub const S: u64 = 1_000_000;

#[allow(dead_code, reason = "each test file uses a part of it")]
pub fn deployment_limits() -> DeploymentLimits {
    DeploymentLimits {
        max_executions: 4,
        allow_hedging: false,
        can_cancel: true,
        connect_timeout_us: 250 * MS,
        tick_us: 5 * MS,
        network_delay_us: 50 * MS,
        max_body_bytes: 64 * 1024,
    }
}

#[allow(dead_code, reason = "each test file uses a part of it")]
pub fn order_product() -> ProductSettings {
    ProductSettings {
        effect: Effect::Deduplicated(ServerScope::All),
        deduplication_us: 5 * S,
        statement_timeout_us: 3 * S,
    }
}

pub fn conditions() -> Conditions {
    Conditions {
        timeout_us: 2 * S,
        execution_timeout_us: 500 * MS,
        max_executions: 3,
        retry_on: RetryOn { never_ran: true, error: true, broken: true, timed_out: true },
        retry_delay_us: 20 * MS,
        retry_jitter: 0.5,
        hedge: HedgePolicy::Never,
        retry_budget: 0.2,
        max_body_bytes: 1024,
        servers: ServerSelection::default(),
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
    let path = Pattern::parse(path).unwrap_or_else(|fault| panic!("{path}: {fault}"));
    let method = method.map(str::to_string);
    Route {
        name: name.to_string(),
        matches: RouteMatch { method, path, product, tenant },
        conditions: vec![conditions()],
    }
}
