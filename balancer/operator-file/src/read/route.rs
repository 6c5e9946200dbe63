//! The reader of routes: their values, the defaults of what is not set, and the proof of each route against the
//! rules.

use whinspindle::host::Effect;
use whinspindle_deployment_settings::{Deployment, index_of};
use whinspindle_routes::pattern::Pattern;
use whinspindle_routes::proof::{self, Field};
use whinspindle_routes::{Conditions, HedgePolicy, Matches, ProductRow, RetryOn, Route, RouteTable, Servers};
use whinspindle_toml_config::units::Unit;
use whinspindle_toml_config::{Location, Table, units};

use crate::{LARGEST_BODY, bounds};

/// The most routes of a table: a person maintains the file.
const MAX_ROUTES: usize = 10_000;

/// The places of a route's values in the file, for the faults that the proof finds.
struct RoutePlaces {
    route: Location,
    fields: Vec<(Field, Location)>,
}

impl RoutePlaces {
    fn of(&self, field: Field) -> &Location {
        self.fields.iter().find(|(known, _)| *known == field).map_or(&self.route, |(_, place)| place)
    }
}

/// The routes of a table; routes with the same name, or that tie, are faults.
pub fn routes(table: &Table, key: &str, deployment: &Deployment) -> RouteTable {
    let tables = table.tables(key);
    if tables.len() > MAX_ROUTES {
        let fault = format!("there are {} routes", tables.len());
        table.report_error(&table.location_of(key), fault, format!("at most {MAX_ROUTES}"));
    }
    let mut routes = Vec::new();
    let mut places = Vec::new();
    for t in &tables {
        let (route, place) = route(t, deployment);
        if let Some(before) = routes.iter().position(|known: &Route| known.name == route.name) {
            let place = t.location_of("name");
            t.report_error(
                &place,
                format!("{:?} is there twice", route.name),
                format!("a name of its own, not route {before}'s"),
            );
        }
        routes.push(route);
        places.push(place);
    }
    let routes = RouteTable::new(routes);
    for tie in routes.ties() {
        let other = &routes.routes()[tie.first].name;
        let fault = format!("matches the same queries as {other:?}, and neither is more particular");
        let way_out = "another path, or a method, product or tenant in one of them";
        table.report_error(&places[tie.second].route, fault, way_out);
    }
    routes
}

fn named(t: &Table, key: &str, names: &[String]) -> Option<usize> {
    if !t.contains_key(key) {
        return None;
    }
    let name = t.string(key, None);
    let found = index_of(names, &name);
    if found.is_none() && !name.is_empty() {
        let way_out = format!("known to the settings: {}", names.join(", "));
        t.report_error(&t.location_of(key), format!("the settings know no {name:?}"), way_out);
    }
    found
}

fn route(t: &Table, deployment: &Deployment) -> (Route, RoutePlaces) {
    let text = t.string("path", Some("/*"));
    let path = Pattern::read(&text).unwrap_or_else(|fault| {
        let way_out = "as in \"/orders\", \"/orders/{id}/items\" or \"/orders/*\"";
        t.report_error(&t.location_of("path"), fault.to_string(), way_out);
        Pattern { segments: Vec::new(), below: true }
    });
    let methods = [("GET", "GET"), ("POST", "POST")];
    let method = t.contains_key("method").then(|| t.one_of("method", &methods, None).to_string());
    let product = named(t, "product", &deployment.products);
    let tenant = named(t, "tenant", &deployment.tenants);
    let effect = product.map(|product| deployment.balancer_settings.products[product].effect);
    if method.as_deref() == Some("GET") && effect.is_some_and(|effect| effect != Effect::Idempotent) {
        let fault = "no query can reach it: GET is only for products that are safe to repeat";
        t.report_error(&t.location_of("method"), fault, "method = \"POST\", or another product");
    }
    let matches = Matches { method, path, product, tenant };
    let (shared, given) = conditions(t, deployment);
    let place_of = |key: &str| t.location_of(key);
    let places = RoutePlaces {
        route: t.location(),
        fields: vec![
            (Field::Time, place_of("time")),
            (Field::ExecutionTime, place_of("execution-time")),
            (Field::Executions, place_of("executions")),
            (Field::RetryOn, place_of("repeat-after")),
            (Field::Wait, place_of("wait")),
            (Field::HedgePolicy, place_of("second-copy")),
            (Field::Budget, place_of("budget")),
            (Field::LargestBody, place_of("largest-body")),
            (Field::Servers, place_of("servers")),
        ],
    };
    let bounds = bounds(deployment);
    let mut rows = Vec::new();
    let mut reported: Vec<(Field, String)> = Vec::new();
    for (number, product) in deployment.balancer_settings.products.iter().enumerate() {
        let statement_timeout = deployment.statement_timeouts_us[number];
        let row =
            ProductRow { effect: product.effect, memory_span: product.dedup_window_us, statement_timeout };
        let conditions = given.fill(&shared, &row, deployment);
        let meant = matches.product.is_none_or(|only| only == number)
            && (matches.method.as_deref() != Some("GET") || product.effect == Effect::Idempotent);
        if meant {
            for refusal in proof::prove(&conditions, &row, &bounds) {
                let rule = match refusal.check.rule() {
                    0 => String::new(),
                    rule => format!("rule {rule}: "),
                };
                let of = &deployment.products[number];
                let fault = format!("{rule}{} (product {of:?})", refusal.fault);
                // A fault that all products have is reported once.
                if !reported.contains(&(refusal.field, refusal.fault.clone())) {
                    t.report_error(places.of(refusal.field), fault, refusal.way_out.clone());
                    reported.push((refusal.field, refusal.fault));
                }
            }
        }
        rows.push(conditions);
    }
    (Route { name: t.string("name", None), matches, conditions: rows }, places)
}

/// What the file sets; what it doesn't is decided by the product or the deployment.
struct Given {
    time: Option<u64>,
    execution_time: Option<u64>,
    executions: Option<usize>,
    retry_on: Option<RetryOn>,
    retry_scope: Option<RetryScope>,
}

/// Where retries may go, by where the first attempt went.
#[derive(Clone, Copy, PartialEq)]
enum RetryScope {
    Anywhere,
    Zone,
    Pod,
}

impl Given {
    /// The conditions for one product, with the balancer's defaults where nothing is set.
    fn fill(&self, shared: &Conditions, row: &ProductRow, deployment: &Deployment) -> Conditions {
        use whinspindle::host::ServerScope;
        let tick = deployment.balancer_settings.clock_resolution_us;
        let time = self.time.unwrap_or(row.statement_timeout.saturating_sub(tick));
        let ever = row.effect != Effect::NonIdempotent;
        let by_effect = RetryOn { never_ran: true, error: ever, broken: ever, timed_out: ever };
        let executions = self.executions.unwrap_or(deployment.balancer_settings.max_executions);
        let retry_on = match self.retry_on {
            Some(set) => set,
            None if executions == 1 => RetryOn::NONE,
            None => by_effect,
        };
        // As without a route, retries stay among the servers that deduplicate them.
        let retry_scope = self.retry_scope.unwrap_or(match row.effect {
            Effect::Deduplicated(ServerScope::Zone) => RetryScope::Zone,
            Effect::Deduplicated(ServerScope::Cell) => RetryScope::Pod,
            _ => RetryScope::Anywhere,
        });
        let mut filled = Conditions {
            time,
            execution_time: self.execution_time.unwrap_or(time),
            executions,
            retry_on,
            servers: Servers {
                repeats_in_zone: retry_scope == RetryScope::Zone,
                repeats_in_pod: retry_scope == RetryScope::Pod,
                ..shared.servers.clone()
            },
            ..shared.clone()
        };
        if self.executions.is_none() {
            // As many as there is time for, and as the servers deduplicate: the file sets no number.
            let bounds = crate::bounds(deployment);
            let fits = |n: usize| {
                let tried = Conditions { executions: n, ..filled.clone() };
                let worst = proof::worst(&tried, &bounds);
                let known =
                    !matches!(row.effect, Effect::Deduplicated(_)) || worst.last_arrival < row.memory_span;
                n == 1 || (worst.sends.len() >= n && known)
            };
            filled.executions = (1..=executions).rev().find(|&n| fits(n)).unwrap_or(1);
            if filled.executions == 1 && self.retry_on.is_none() {
                filled.retry_on = RetryOn::NONE;
            }
        }
        filled
    }
}

fn conditions(t: &Table, deployment: &Deployment) -> (Conditions, Given) {
    let time = t.contains_key("time").then(|| t.duration_us("time", None));
    let execution_time = t.contains_key("execution-time").then(|| t.duration_us("execution-time", None));
    for (key, value) in [("time", time), ("execution-time", execution_time)] {
        if value == Some(0) {
            t.report_error(&t.location_of(key), "is nothing", "more than 0");
        }
    }
    let executions = t.contains_key("executions").then(|| t.integer("executions", (1, 100), None) as usize);
    let given = Given {
        time,
        execution_time,
        executions,
        retry_on: t.contains_key("repeat-after").then(|| retry_on(t)),
        retry_scope: None,
    };
    let servers = t.table_or_defaults("servers");
    let scopes = [("anywhere", RetryScope::Anywhere), ("zone", RetryScope::Zone), ("pod", RetryScope::Pod)];
    let retry_scope = servers.contains_key("repeats").then(|| servers.one_of("repeats", &scopes, None));
    let shared = Conditions {
        time: 0,
        execution_time: 0,
        executions: 1,
        retry_on: RetryOn::NONE,
        wait: t.duration_us("wait", Some(0)),
        spread: t.float("spread", (0.0, 10.0), Some(0.0)),
        hedge: hedge(t),
        budget: t.float("budget", (0.0, 100.0), Some(100.0)),
        largest_body: t.size_bytes("largest-body", Some(LARGEST_BODY)),
        servers: Servers {
            zones: names(&servers, "zones", &deployment.zones),
            kinds: names(&servers, "kinds", &deployment.kinds),
            ..Servers::default()
        },
    };
    (shared, Given { retry_scope, ..given })
}

fn names(t: &Table, key: &str, known: &[String]) -> Vec<String> {
    let texts = t.strings(key);
    if texts.is_empty() && t.contains_key(key) {
        t.report_error(
            &t.location_of(key),
            "names nobody, so that no server may take the queries",
            "leave it out for all",
        );
    }
    for (name, place) in &texts {
        if index_of(known, name).is_none() {
            let way_out = format!("known to the settings: {}", known.join(", "));
            t.report_error(place, format!("the settings know no {name:?}"), way_out);
        }
    }
    texts.into_iter().map(|(name, _)| name).collect()
}

fn retry_on(t: &Table) -> RetryOn {
    let mut after = RetryOn::NONE;
    for (outcome, place) in t.strings("repeat-after") {
        match outcome.as_str() {
            "never-ran" => after.never_ran = true,
            "error" => after.error = true,
            "broken" => after.broken = true,
            "timed-out" => after.timed_out = true,
            _ => {
                let way_out = "one of \"never-ran\", \"error\", \"broken\", \"timed-out\"";
                t.report_error(&place, format!("is no outcome: {outcome:?}"), way_out);
            }
        }
    }
    after
}

/// When a hedged request is sent: `"100ms"`, or `"p95"` for the 95th percentile of answer times.
fn hedge(t: &Table) -> HedgePolicy {
    if !t.contains_key("second-copy") {
        return HedgePolicy::Never;
    }
    let text = t.string("second-copy", None);
    if let Some(number) = text.strip_prefix('p') {
        if let Some(part) = number.parse::<f64>().ok().filter(|part| *part >= 50.0 && *part < 100.0) {
            return HedgePolicy::Quantile(part / 100.0);
        }
    } else if let Ok(after) = units::Time::parse(&text) {
        return HedgePolicy::After(after);
    }
    let way_out = "a time as in \"100ms\", or from \"p50\" to \"p99.9\"";
    t.report_error(
        &t.location_of("second-copy"),
        format!("is neither a time nor a quantile: {text:?}"),
        way_out,
    );
    HedgePolicy::Never
}
