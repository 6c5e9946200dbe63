//! A scenario as settings of the balancers and as rules of the invariant checker.

use std::collections::BTreeSet;

use whinspindle::host::{
    BalancerSettings, Effect, EndpointState, HedgePolicy, Product, RetryOn, RoutePolicy, ServerScope,
};
use whinspindle_lab_invariants::{InvariantChecker, Listed, RetrySafety, Rules, Scope};
use whinspindle_lab_model::registry::{ListUpdate, Listing};
use whinspindle_lab_scenario::Scenario;

/// The shortest step of the clock that the decisions are told of.
const TICK: u64 = 1_000;

/// What a balancer of a tier in a zone is handed at its start.
pub fn terms(scenario: &Scenario, tier: usize, home: usize, rank: usize) -> BalancerSettings {
    let row = &scenario.tiers[tier];
    let moved = rank < row.moved;
    let products = scenario.products.iter().map(|product| Product {
        effect: product.effect,
        slo_time_us: product.slo_time,
        dedup_window_us: product.memory,
        late_answer_value: product.tardy_importance,
    });
    BalancerSettings {
        balancers: scenario.balancers(tier),
        rank,
        streams_per_connection: if moved { 100 } else { 1 },
        // As in the program: with nobody to be asked, nothing would bound what goes out.
        load_only_from_probes: moved && scenario.allowed.probes,
        tier,
        home_zone: home,
        cross_zone_cost: scenario.allowed.crossing,
        products: products.collect(),
        tenant_quotas: scenario.tenants.iter().map(|tenant| tenant.quota).collect(),
        max_executions: scenario.allowed.executions,
        allow_hedging: scenario.allowed.allow_hedging,
        allow_cancel: scenario.allowed.cancel,
        allow_probes: scenario.allowed.probes,
        single_probe: false,
        max_retry_after_us: scenario.allowed.retry_after,
        clock_resolution_us: TICK,
        watch_reopen_limit_us: None,
        slow_start_initial_fraction: row.cold.from,
        slow_start_duration_us: row.cold.lasts,
        slow_start_overload_factor: row.cold.multiple,
        slow_start_window_us: row.cold.tip_after,
    }
}

/// The number by which the invariant checker identifies a server: processes are numbered within their tier.
pub fn server_id(tier: usize, server: usize) -> usize {
    tier * 10_000_000 + server
}

/// The scenario's route, a row a product.
pub fn route(scenario: &Scenario) -> Option<Vec<RoutePolicy>> {
    let set = scenario.route.as_ref()?;
    let row = |product: &whinspindle_lab_scenario::Product| {
        let time = set.time.unwrap_or(product.statement_timeout).min(product.statement_timeout);
        RoutePolicy {
            timeout_us: time,
            execution_timeout_us: set.execution_time.unwrap_or(time),
            max_executions: set.executions.unwrap_or(scenario.allowed.executions),
            retry_on: RetryOn { never_ran: true, error: true, broken: true, timed_out: true },
            backoff_us: set.wait,
            jitter: set.spread,
            hedge: set.hedge.map_or(HedgePolicy::Never, HedgePolicy::After),
            retry_budget: set.budget,
            zones: Vec::new(),
            kinds: Vec::new(),
            retry_scope: ServerScope::All,
        }
    };
    Some(scenario.products.iter().map(row).collect())
}

/// The rules that the invariant checker holds a run against.
pub fn invariant_rules(scenario: &Scenario) -> Rules {
    let retry_safety = |product: &whinspindle_lab_scenario::Product| match product.effect {
        Effect::Idempotent => RetrySafety::Idempotent,
        Effect::NonIdempotent => RetrySafety::NonIdempotent,
        Effect::Deduplicated(group) => {
            let scope = match group {
                ServerScope::All => Scope::Everywhere,
                ServerScope::Zone => Scope::Zone,
                ServerScope::Cell => Scope::Pod,
            };
            RetrySafety::Deduplicated { scope, memory: product.memory }
        }
    };
    let cold = |of: fn(&whinspindle_lab_scenario::Cold) -> u64| {
        scenario.tiers.iter().map(|tier| of(&tier.cold)).max().unwrap_or(0)
    };
    Rules {
        products: scenario.products.iter().map(retry_safety).collect(),
        max_executions: scenario.allowed.executions,
        allow_hedging: scenario.allowed.allow_hedging,
        answer_slack: scenario.allowed.slack,
        drain_grace: scenario.allowed.grace,
        slow_start_time: cold(|cold| cold.lasts),
        overload_window: cold(|cold| cold.tip_after),
    }
}

/// Reports an update of a balancer's endpoint list to the invariant checker.
pub fn report_listing(checker: &mut InvariantChecker, now: u64, node: usize, tier: usize, news: &ListUpdate) {
    let id = |listing: &Listing| server_id(tier, listing.server);
    if news.is_full {
        let listed: BTreeSet<usize> = news.listings.iter().map(id).collect();
        checker.full_list_received(now, node, &listed);
    }
    for listing in &news.listings {
        let listed = match listing.standing {
            EndpointState::Ready => Listed::Ready,
            EndpointState::Draining => Listed::Draining,
            EndpointState::Gone => Listed::Gone,
        };
        checker.endpoint_listed(now, node, id(listing), listed, listing.zone, listing.cell);
    }
}
