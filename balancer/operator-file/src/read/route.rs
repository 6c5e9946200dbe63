//! The parser of routes: their values, the defaults of unset values, and the proof of each route against the
//! rules.

use whinspindle::host::Effect;
use whinspindle_deployment_settings::{Deployment, index_of};
use whinspindle_routes::pattern::Pattern;
use whinspindle_routes::proof::{self, Field};
use whinspindle_routes::{
    Conditions, HedgePolicy, ProductSettings, RetryOn, Route, RouteMatch, RouteTable, ServerSelection,
};
use whinspindle_toml_config::units::Unit;
use whinspindle_toml_config::{Location, Table, units};

use crate::{MAX_BODY_BYTES, deployment_limits};

/// The most routes of a table, which are more than a person can maintain.
const MAX_ROUTES: usize = 10_000;

/// The locations of a route's values in the file, for errors that the proof finds.
struct RouteLocations {
    route: Location,
    fields: Vec<(Field, Location)>,
}

impl RouteLocations {
    fn of(&self, field: Field) -> &Location {
        self.fields.iter().find(|(known, _)| *known == field).map_or(&self.route, |(_, location)| location)
    }
}

/// Parses the routes of a table. Routes with the same name, or that tie, are errors.
pub fn routes(table: &Table, key: &str, deployment: &Deployment) -> RouteTable {
    let tables = table.tables(key);
    if tables.len() > MAX_ROUTES {
        let message = format!("there are {} routes", tables.len());
        table.report_error(&table.location_of(key), message, format!("at most {MAX_ROUTES}"));
    }
    let mut routes = Vec::new();
    let mut locations = Vec::new();
    for route_table in &tables {
        let (route, route_locations) = route(route_table, deployment);
        if let Some(earlier) = routes.iter().position(|known: &Route| known.name == route.name) {
            let location = route_table.location_of("name");
            route_table.report_error(
                &location,
                format!("the name {:?} is used twice", route.name),
                format!("a name of its own, not that of route {earlier}"),
            );
        }
        routes.push(route);
        locations.push(route_locations);
    }
    let routes = RouteTable::new(routes);
    for tie in routes.ties() {
        let other = &routes.routes()[tie.first].name;
        let message = format!("matches the same requests as {other:?}, and neither is more specific");
        let hint = "another path, or a method, product or tenant in one of them";
        table.report_error(&locations[tie.second].route, message, hint);
    }
    routes
}

/// The index of the value of a key among the names of the settings.
fn index_of_named(table: &Table, key: &str, names: &[String]) -> Option<usize> {
    if !table.contains_key(key) {
        return None;
    }
    let name = table.string(key, None);
    let index = index_of(names, &name);
    if index.is_none() && !name.is_empty() {
        let hint = format!("known to the settings: {}", names.join(", "));
        table.report_error(&table.location_of(key), format!("the settings have no {name:?}"), hint);
    }
    index
}

fn route(table: &Table, deployment: &Deployment) -> (Route, RouteLocations) {
    let text = table.string("path", Some("/*"));
    let path = Pattern::parse(&text).unwrap_or_else(|error| {
        let hint = "as in \"/orders\", \"/orders/{id}/items\" or \"/orders/*\"";
        table.report_error(&table.location_of("path"), error.to_string(), hint);
        Pattern { segments: Vec::new(), is_prefix: true }
    });
    let methods = [("GET", "GET"), ("POST", "POST")];
    let method = table.contains_key("method").then(|| table.one_of("method", &methods, None).to_string());
    let product = index_of_named(table, "product", &deployment.products);
    let tenant = index_of_named(table, "tenant", &deployment.tenants);
    let effect = product.map(|product| deployment.balancer_settings.products[product].effect);
    if method.as_deref() == Some("GET") && effect.is_some_and(|effect| effect != Effect::Idempotent) {
        let message = "no request can match: GET is only for products that are safe to repeat";
        table.report_error(&table.location_of("method"), message, "method = \"POST\", or another product");
    }
    let matches = RouteMatch { method, path, product, tenant };
    let (shared, given) = conditions(table, deployment);
    let location_of = |key: &str| table.location_of(key);
    let locations = RouteLocations {
        route: table.location(),
        fields: vec![
            (Field::Timeout, location_of("time")),
            (Field::ExecutionTimeout, location_of("execution-time")),
            (Field::MaxExecutions, location_of("executions")),
            (Field::RetryOn, location_of("repeat-after")),
            (Field::RetryDelay, location_of("wait")),
            (Field::Hedge, location_of("second-copy")),
            (Field::RetryBudget, location_of("budget")),
            (Field::MaxBody, location_of("largest-body")),
            (Field::Servers, location_of("servers")),
        ],
    };
    let limits = deployment_limits(deployment);
    let mut conditions_by_product = Vec::new();
    let mut reported: Vec<(Field, String)> = Vec::new();
    for (index, product) in deployment.balancer_settings.products.iter().enumerate() {
        let statement_timeout_us = deployment.statement_timeouts_us[index];
        let settings = ProductSettings {
            effect: product.effect,
            deduplication_us: product.dedup_window_us,
            statement_timeout_us,
        };
        let conditions = given.fill(&shared, &settings, deployment);
        let is_reachable = matches.product.is_none_or(|only| only == index)
            && (matches.method.as_deref() != Some("GET") || product.effect == Effect::Idempotent);
        if is_reachable {
            for refusal in proof::prove(&conditions, &settings, &limits) {
                let rule = match refusal.check.rule_number() {
                    0 => String::new(),
                    rule => format!("rule {rule}: "),
                };
                let product_name = &deployment.products[index];
                let message = format!("{rule}{} (product {product_name:?})", refusal.message);
                // An error that several products have is reported once.
                if !reported.contains(&(refusal.field, refusal.message.clone())) {
                    table.report_error(locations.of(refusal.field), message, refusal.hint.clone());
                    reported.push((refusal.field, refusal.message));
                }
            }
        }
        conditions_by_product.push(conditions);
    }
    (Route { name: table.string("name", None), matches, conditions: conditions_by_product }, locations)
}

/// The values that the file sets. The defaults of the others depend on the product or the deployment.
struct GivenValues {
    timeout_us: Option<u64>,
    execution_timeout_us: Option<u64>,
    max_executions: Option<usize>,
    retry_on: Option<RetryOn>,
    retry_scope: Option<RetryScope>,
}

/// The servers that retries may go to, relative to that of the first execution.
#[derive(Clone, Copy, PartialEq)]
enum RetryScope {
    Anywhere,
    Zone,
    Pod,
}

impl GivenValues {
    /// The conditions for one product, with the balancer's defaults for unset values.
    fn fill(&self, shared: &Conditions, product: &ProductSettings, deployment: &Deployment) -> Conditions {
        use whinspindle::host::ServerScope;
        let tick_us = deployment.balancer_settings.clock_resolution_us;
        let timeout_us = self.timeout_us.unwrap_or(product.statement_timeout_us.saturating_sub(tick_us));
        let is_repeatable = product.effect != Effect::NonIdempotent;
        let retry_on_by_effect = RetryOn {
            never_ran: true,
            error: is_repeatable,
            broken: is_repeatable,
            timed_out: is_repeatable,
        };
        let max_executions = self.max_executions.unwrap_or(deployment.balancer_settings.max_executions);
        let retry_on = match self.retry_on {
            Some(given) => given,
            None if max_executions == 1 => RetryOn::NONE,
            None => retry_on_by_effect,
        };
        // As without a route, retries stay among the servers that deduplicate them.
        let retry_scope = self.retry_scope.unwrap_or(match product.effect {
            Effect::Deduplicated(ServerScope::Zone) => RetryScope::Zone,
            Effect::Deduplicated(ServerScope::Cell) => RetryScope::Pod,
            _ => RetryScope::Anywhere,
        });
        let mut filled = Conditions {
            timeout_us,
            execution_timeout_us: self.execution_timeout_us.unwrap_or(timeout_us),
            max_executions,
            retry_on,
            servers: ServerSelection {
                retries_in_zone: retry_scope == RetryScope::Zone,
                retries_in_pod: retry_scope == RetryScope::Pod,
                ..shared.servers.clone()
            },
            ..shared.clone()
        };
        if self.max_executions.is_none() {
            // The file sets no number of executions: the default is as many as fit into the time-out and into
            // the servers' deduplication.
            let limits = crate::deployment_limits(deployment);
            let fits = |executions: usize| {
                let candidate = Conditions { max_executions: executions, ..filled.clone() };
                let worst = proof::worst_schedule(&candidate, &limits);
                let is_deduplicated = !matches!(product.effect, Effect::Deduplicated(_))
                    || worst.last_arrival_us < product.deduplication_us;
                executions == 1 || (worst.send_times_us.len() >= executions && is_deduplicated)
            };
            filled.max_executions =
                (1..=max_executions).rev().find(|&executions| fits(executions)).unwrap_or(1);
            if filled.max_executions == 1 && self.retry_on.is_none() {
                filled.retry_on = RetryOn::NONE;
            }
        }
        filled
    }
}

fn conditions(table: &Table, deployment: &Deployment) -> (Conditions, GivenValues) {
    let timeout_us = table.contains_key("time").then(|| table.duration_us("time", None));
    let execution_timeout_us =
        table.contains_key("execution-time").then(|| table.duration_us("execution-time", None));
    for (key, value) in [("time", timeout_us), ("execution-time", execution_timeout_us)] {
        if value == Some(0) {
            table.report_error(&table.location_of(key), "is zero", "more than 0");
        }
    }
    let max_executions =
        table.contains_key("executions").then(|| table.integer("executions", (1, 100), None) as usize);
    let given = GivenValues {
        timeout_us,
        execution_timeout_us,
        max_executions,
        retry_on: table.contains_key("repeat-after").then(|| retry_on(table)),
        retry_scope: None,
    };
    let servers = table.table_or_defaults("servers");
    let scopes = [("anywhere", RetryScope::Anywhere), ("zone", RetryScope::Zone), ("pod", RetryScope::Pod)];
    let retry_scope = servers.contains_key("repeats").then(|| servers.one_of("repeats", &scopes, None));
    let shared = Conditions {
        timeout_us: 0,
        execution_timeout_us: 0,
        max_executions: 1,
        retry_on: RetryOn::NONE,
        retry_delay_us: table.duration_us("wait", Some(0)),
        retry_jitter: table.float("spread", (0.0, 10.0), Some(0.0)),
        hedge: hedge(table),
        retry_budget: table.float("budget", (0.0, 100.0), Some(100.0)),
        max_body_bytes: table.size_bytes("largest-body", Some(MAX_BODY_BYTES)),
        servers: ServerSelection {
            zones: names(&servers, "zones", &deployment.zones),
            kinds: names(&servers, "kinds", &deployment.kinds),
            ..ServerSelection::default()
        },
    };
    (shared, GivenValues { retry_scope, ..given })
}

fn names(table: &Table, key: &str, known: &[String]) -> Vec<String> {
    let texts = table.strings(key);
    if texts.is_empty() && table.contains_key(key) {
        table.report_error(
            &table.location_of(key),
            "is empty, so that no server may take the requests",
            "leave it out for all",
        );
    }
    for (name, location) in &texts {
        if index_of(known, name).is_none() {
            let hint = format!("known to the settings: {}", known.join(", "));
            table.report_error(location, format!("the settings have no {name:?}"), hint);
        }
    }
    texts.into_iter().map(|(name, _)| name).collect()
}

fn retry_on(table: &Table) -> RetryOn {
    let mut retry_on = RetryOn::NONE;
    for (outcome, location) in table.strings("repeat-after") {
        match outcome.as_str() {
            "never-ran" => retry_on.never_ran = true,
            "error" => retry_on.error = true,
            "broken" => retry_on.broken = true,
            "timed-out" => retry_on.timed_out = true,
            _ => {
                let hint = "one of \"never-ran\", \"error\", \"broken\", \"timed-out\"";
                table.report_error(&location, format!("is not an outcome: {outcome:?}"), hint);
            }
        }
    }
    retry_on
}

/// When a hedged request is sent: `"100ms"`, or `"p95"` for the 95th percentile of answer times.
fn hedge(table: &Table) -> HedgePolicy {
    if !table.contains_key("second-copy") {
        return HedgePolicy::Never;
    }
    let text = table.string("second-copy", None);
    if let Some(number) = text.strip_prefix('p') {
        if let Some(percentile) =
            number.parse::<f64>().ok().filter(|percentile| *percentile >= 50.0 && *percentile < 100.0)
        {
            return HedgePolicy::Quantile(percentile / 100.0);
        }
    } else if let Ok(delay) = units::Time::parse(&text) {
        return HedgePolicy::After(delay);
    }
    let hint = "a time as in \"100ms\", or from \"p50\" to \"p99.9\"";
    table.report_error(
        &table.location_of("second-copy"),
        format!("is neither a time nor a quantile: {text:?}"),
        hint,
    );
    HedgePolicy::Never
}
