//! What a scenario means as terms for the decisions, and as demands for the referee.

use std::collections::BTreeSet;

use whinspindle::host::{
    BalancerSettings, Effect, EndpointState, Group, HedgePolicy, Product, RetryOn, RoutePolicy,
};
use whinspindle_lab_invariants::{Demands, Listed, Referee, Repeats, Scope};
use whinspindle_lab_model::registry::{Listing, News};
use whinspindle_lab_scenario::Scenario;

/// The shortest step of the clock that the decisions are told of.
const TICK: u64 = 1_000;

/// What a balancer of a tier in a zone is handed at its start.
pub fn terms(scenario: &Scenario, tier: usize, home: usize, rank: usize) -> BalancerSettings {
    let row = &scenario.tiers[tier];
    let moved = rank < row.moved;
    let products = scenario.products.iter().map(|product| Product {
        effect: product.effect,
        slo_time: product.slo_time,
        memory_span: product.memory,
        tardy_importance: product.tardy_importance,
    });
    BalancerSettings {
        balancers: scenario.balancers(tier),
        rank,
        streams: if moved { 100 } else { 1 },
        // As in the program: with nobody to be asked, nothing would bound what goes out.
        load_by_probe: moved && scenario.allowed.probes,
        tier,
        home,
        cross_zone: scenario.allowed.crossing,
        products: products.collect(),
        tenant_quotas: scenario.tenants.iter().map(|tenant| tenant.quota).collect(),
        max_executions: scenario.allowed.executions,
        allow_hedging: scenario.allowed.allow_hedging,
        cancel: scenario.allowed.cancel,
        probes_pay: scenario.allowed.probes,
        probe_dear: false,
        max_retry_after: scenario.allowed.retry_after,
        tick: TICK,
        must_ask_in: None,
        slow_start_from: row.cold.from,
        slow_start_time: row.cold.lasts,
        fall_multiple: row.cold.multiple,
        tip_after: row.cold.tip_after,
    }
}

/// What the referee knows a server by: the numbers of processes are counted by tier.
pub fn server_id(tier: usize, server: usize) -> usize {
    tier * 10_000_000 + server
}

/// The scenario's route, a row a product.
pub fn route(scenario: &Scenario) -> Option<Vec<RoutePolicy>> {
    let set = scenario.route.as_ref()?;
    let row = |product: &whinspindle_lab_scenario::Product| {
        let time = set.time.unwrap_or(product.statement_timeout).min(product.statement_timeout);
        RoutePolicy {
            time,
            execution_time: set.execution_time.unwrap_or(time),
            executions: set.executions.unwrap_or(scenario.allowed.executions),
            retry_on: RetryOn { never_ran: true, error: true, broken: true, timed_out: true },
            wait: set.wait,
            spread: set.spread,
            hedge: set.hedge.map_or(HedgePolicy::Never, HedgePolicy::After),
            budget: set.budget,
            zones: Vec::new(),
            kinds: Vec::new(),
            near: Group::All,
        }
    };
    Some(scenario.products.iter().map(row).collect())
}

/// What the referee holds a run against.
pub fn demands(scenario: &Scenario) -> Demands {
    let repeats = |product: &whinspindle_lab_scenario::Product| match product.effect {
        Effect::Idempotent => Repeats::Harmless,
        Effect::NonIdempotent => Repeats::Never,
        Effect::Deduplicated(group) => {
            let scope = match group {
                Group::All => Scope::Everywhere,
                Group::Zone => Scope::Zone,
                Group::Cell => Scope::Pod,
            };
            Repeats::Dropped(scope, product.memory)
        }
    };
    let cold = |of: fn(&whinspindle_lab_scenario::Cold) -> u64| {
        scenario.tiers.iter().map(|tier| of(&tier.cold)).max().unwrap_or(0)
    };
    Demands {
        products: scenario.products.iter().map(repeats).collect(),
        executions: scenario.allowed.executions,
        allow_hedging: scenario.allowed.allow_hedging,
        slack: scenario.allowed.slack,
        grace: scenario.allowed.grace,
        cold_lasts: cold(|cold| cold.lasts),
        tip_after: cold(|cold| cold.tip_after),
    }
}

/// The referee hears what list a balancer is told.
pub fn tell_referee(referee: &mut Referee, now: u64, node: usize, tier: usize, news: &News) {
    let id = |listing: &Listing| server_id(tier, listing.server);
    if news.whole {
        let listed: BTreeSet<usize> = news.listings.iter().map(id).collect();
        referee.told_whole(now, node, &listed);
    }
    for listing in &news.listings {
        let listed = match listing.standing {
            EndpointState::Ready => Listed::Ready,
            EndpointState::Draining => Listed::Draining,
            EndpointState::Gone => Listed::Gone,
        };
        referee.told(now, node, id(listing), listed, listing.zone, listing.cell);
    }
}
