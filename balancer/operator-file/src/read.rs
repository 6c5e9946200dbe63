//! From the tables of the file to routes, with every check that looks at values of the file and the
//! deployment.

use std::path::PathBuf;

use whinspindle::host::Effect;
use whinspindle_deployment_settings::{Deployment, index};
use whinspindle_rollout::Limits;
use whinspindle_routes::pattern::Pattern;
use whinspindle_routes::proof::{self, Field};
use whinspindle_routes::{Conditions, HedgePolicy, Matches, ProductRow, RetryOn, Route, RouteTable, Servers};
use whinspindle_toml_config::units::Unit;
use whinspindle_toml_config::{Place, Table, units};

use crate::{CutOff, Keep, LARGEST_BODY, Operator, bounds};

/// More routes than this are no file that a person keeps.
const MOST_ROUTES: usize = 10_000;

/// Where the values of a route stand, for what the proof says of them.
struct Places {
    route: Place,
    fields: Vec<(Field, Place)>,
}

impl Places {
    fn of(&self, field: Field) -> &Place {
        self.fields.iter().find(|(known, _)| *known == field).map_or(&self.route, |(_, place)| place)
    }
}

/// `own`: the file is the balancer's own, in which the fleet may stand; else it is a policy for all.
pub fn operator(table: &Table, deployment: &Deployment, own: bool) -> Operator {
    let fleet = own.then(|| crate::fleet::fleet(table, deployment)).flatten();
    if table.is_empty() {
        let way_out = "a table at the least, [cut-off] for one; a file that is only being written looks like this, so \
                       write it beside and rename it";
        table.fault(&table.place(), "the file is empty", way_out);
    }
    let routes = routes(table, "route", deployment);
    if fleet.is_some() && table.holds("route") {
        let way_out = "a file of their own for them: whinspindle fleet propose FILE";
        table.fault(&table.place_of("route"), "routes are agreed on by the fleet", way_out);
    }
    let cut_off = match table.table("cut-off") {
        None => CutOff::Routes(RouteTable::new(Vec::new())),
        Some(t) => {
            let rejects = t.one_of("queries", &[("reject", true), ("take", false)], Some(false));
            if rejects && t.holds("route") {
                t.fault(&t.place_of("route"), "no query comes to a route here", "queries = \"take\"");
            }
            let routes = self::routes(&t, "route", deployment);
            if rejects { CutOff::Rejects } else { CutOff::Routes(routes) }
        }
    };
    let limits = table.table("limits").and_then(|t| t.table("out")).map(|t| limits(&t, deployment, own));
    let keep = own.then(|| table.table("keep")).flatten().map(|t| keep(&t));
    Operator { routes, cut_off, limits: limits.unwrap_or_default(), fleet, keep }
}

fn keep(t: &Table) -> Keep {
    let second = 1_000_000;
    let (fresh, old) = (t.time("fresh", Some(10 * second)), t.time("old", Some(3600 * second)));
    if fresh >= old {
        t.fault(&t.place_of("fresh"), "a list would be old before it is fresh no more", "less than old");
    }
    Keep { folder: PathBuf::from(t.text("folder", None)), fresh, old }
}

/// How many may be out at once: what would let nothing go, or all, or contradicts itself is a fault.
fn limits(t: &Table, deployment: &Deployment, own: bool) -> Limits {
    if own {
        t.fault(
            &t.place(),
            "limits are agreed on by the fleet",
            "in a policy: whinspindle fleet propose FILE",
        );
    }
    let most = |key: &str| t.holds(key).then(|| t.count(key, (1, 100_000), None) as usize);
    let limits = Limits {
        balancers: most("balancers"),
        servers: most("servers"),
        servers_by_zone: most("servers-by-zone"),
        servers_by_cell: most("servers-by-pod"),
        servers_part: t.holds("servers-part").then(|| t.number("servers-part", (0.001, 0.9), None)),
    };
    let all = deployment.terms.balancers;
    if limits.balancers.is_some_and(|most| most >= all) {
        let way_out = format!("{} at the most", all.saturating_sub(1));
        t.fault(&t.place_of("balancers"), format!("all {all} balancers could be out at once"), way_out);
    }
    for (key, inner) in
        [("servers-by-zone", limits.servers_by_zone), ("servers-by-pod", limits.servers_by_cell)]
    {
        if let (Some(inner), Some(most)) = (inner, limits.servers)
            && inner > most
        {
            let fault = format!("{inner} of one while {most} in all may be out");
            t.fault(&t.place_of(key), fault, "no more than servers");
        }
        if inner.is_some() && limits.servers.is_none() && limits.servers_part.is_none() {
            t.fault(&t.place_of(key), "nothing says how many in all may be out", "servers, or servers-part");
        }
    }
    limits
}

fn routes(table: &Table, key: &str, deployment: &Deployment) -> RouteTable {
    let tables = table.tables(key);
    if tables.len() > MOST_ROUTES {
        let fault = format!("there are {} routes", tables.len());
        table.fault(&table.place_of(key), fault, format!("at most {MOST_ROUTES}"));
    }
    let mut routes = Vec::new();
    let mut places = Vec::new();
    for t in &tables {
        let (route, place) = route(t, deployment);
        if let Some(before) = routes.iter().position(|known: &Route| known.name == route.name) {
            let place = t.place_of("name");
            t.fault(
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
        table.fault(&places[tie.second].route, fault, way_out);
    }
    routes
}

fn named(t: &Table, key: &str, names: &[String]) -> Option<usize> {
    if !t.holds(key) {
        return None;
    }
    let name = t.text(key, None);
    let found = index(names, &name);
    if found.is_none() && !name.is_empty() {
        let way_out = format!("known to the settings: {}", names.join(", "));
        t.fault(&t.place_of(key), format!("the settings know no {name:?}"), way_out);
    }
    found
}

fn route(t: &Table, deployment: &Deployment) -> (Route, Places) {
    let text = t.text("path", Some("/*"));
    let path = Pattern::read(&text).unwrap_or_else(|fault| {
        let way_out = "as in \"/orders\", \"/orders/{id}/items\" or \"/orders/*\"";
        t.fault(&t.place_of("path"), fault.to_string(), way_out);
        Pattern { segments: Vec::new(), below: true }
    });
    let methods = [("GET", "GET"), ("POST", "POST")];
    let method = t.holds("method").then(|| t.one_of("method", &methods, None).to_string());
    let product = named(t, "product", &deployment.products);
    let tenant = named(t, "tenant", &deployment.tenants);
    let effect = product.map(|product| deployment.terms.products[product].effect);
    if method.as_deref() == Some("GET") && effect.is_some_and(|effect| effect != Effect::Idempotent) {
        let fault = "no query can reach it: GET is only for products that are safe to repeat";
        t.fault(&t.place_of("method"), fault, "method = \"POST\", or another product");
    }
    let matches = Matches { method, path, product, tenant };
    let (shared, given) = conditions(t, deployment);
    let place_of = |key: &str| t.place_of(key);
    let places = Places {
        route: t.place(),
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
    let mut told: Vec<(Field, String)> = Vec::new();
    for (number, product) in deployment.terms.products.iter().enumerate() {
        let statement_timeout = deployment.statement_timeouts[number];
        let row = ProductRow { effect: product.effect, memory_span: product.memory_span, statement_timeout };
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
                // A fault that each product has alike is told once.
                if !told.contains(&(refusal.field, refusal.fault.clone())) {
                    t.fault(places.of(refusal.field), fault, refusal.way_out.clone());
                    told.push((refusal.field, refusal.fault));
                }
            }
        }
        rows.push(conditions);
    }
    (Route { name: t.text("name", None), matches, conditions: rows }, places)
}

/// What the file sets, where the product or the deployment decides otherwise.
struct Given {
    time: Option<u64>,
    execution_time: Option<u64>,
    executions: Option<usize>,
    retry_on: Option<RetryOn>,
    repeats: Option<Repeats>,
}

#[derive(Clone, Copy, PartialEq)]
enum Repeats {
    Anywhere,
    Zone,
    Pod,
}

impl Given {
    /// The conditions for one product. What is not set is what the balancer does without a route.
    fn fill(&self, shared: &Conditions, row: &ProductRow, deployment: &Deployment) -> Conditions {
        use whinspindle::host::Group;
        let tick = deployment.terms.tick;
        let time = self.time.unwrap_or(row.statement_timeout.saturating_sub(tick));
        let ever = row.effect != Effect::NonIdempotent;
        let by_effect = RetryOn { never_ran: true, error: ever, broken: ever, timed_out: ever };
        let executions = self.executions.unwrap_or(deployment.terms.max_executions);
        let retry_on = match self.retry_on {
            Some(set) => set,
            None if executions == 1 => RetryOn::NOTHING,
            None => by_effect,
        };
        // Without a route repeats stay where they are known by themselves.
        let repeats = self.repeats.unwrap_or(match row.effect {
            Effect::Deduplicated(Group::Zone) => Repeats::Zone,
            Effect::Deduplicated(Group::Cell) => Repeats::Pod,
            _ => Repeats::Anywhere,
        });
        let mut filled = Conditions {
            time,
            execution_time: self.execution_time.unwrap_or(time),
            executions,
            retry_on,
            servers: Servers {
                repeats_in_zone: repeats == Repeats::Zone,
                repeats_in_pod: repeats == Repeats::Pod,
                ..shared.servers.clone()
            },
            ..shared.clone()
        };
        if self.executions.is_none() {
            // As many as there is time for, and as the servers remember: nobody has asked for more.
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
                filled.retry_on = RetryOn::NOTHING;
            }
        }
        filled
    }
}

fn conditions(t: &Table, deployment: &Deployment) -> (Conditions, Given) {
    let time = t.holds("time").then(|| t.time("time", None));
    let execution_time = t.holds("execution-time").then(|| t.time("execution-time", None));
    for (key, value) in [("time", time), ("execution-time", execution_time)] {
        if value == Some(0) {
            t.fault(&t.place_of(key), "is nothing", "more than 0");
        }
    }
    let executions = t.holds("executions").then(|| t.count("executions", (1, 100), None) as usize);
    let given = Given {
        time,
        execution_time,
        executions,
        retry_on: t.holds("repeat-after").then(|| retry_on(t)),
        repeats: None,
    };
    let servers = t.table_or_defaults("servers");
    let words = [("anywhere", Repeats::Anywhere), ("zone", Repeats::Zone), ("pod", Repeats::Pod)];
    let repeats = servers.holds("repeats").then(|| servers.one_of("repeats", &words, None));
    let shared = Conditions {
        time: 0,
        execution_time: 0,
        executions: 1,
        retry_on: RetryOn::NOTHING,
        wait: t.time("wait", Some(0)),
        spread: t.number("spread", (0.0, 10.0), Some(0.0)),
        hedge: hedge(t),
        budget: t.number("budget", (0.0, 100.0), Some(100.0)),
        largest_body: t.size("largest-body", Some(LARGEST_BODY)),
        servers: Servers {
            zones: names(&servers, "zones", &deployment.zones),
            kinds: names(&servers, "kinds", &deployment.kinds),
            ..Servers::default()
        },
    };
    (shared, Given { repeats, ..given })
}

fn names(t: &Table, key: &str, known: &[String]) -> Vec<String> {
    let texts = t.texts(key);
    if texts.is_empty() && t.holds(key) {
        t.fault(
            &t.place_of(key),
            "names nobody, so that no server may take the queries",
            "leave it out for all",
        );
    }
    for (name, place) in &texts {
        if index(known, name).is_none() {
            let way_out = format!("known to the settings: {}", known.join(", "));
            t.fault(place, format!("the settings know no {name:?}"), way_out);
        }
    }
    texts.into_iter().map(|(name, _)| name).collect()
}

fn retry_on(t: &Table) -> RetryOn {
    let mut after = RetryOn::NOTHING;
    for (word, place) in t.texts("repeat-after") {
        match word.as_str() {
            "never-ran" => after.never_ran = true,
            "error" => after.error = true,
            "broken" => after.broken = true,
            "timed-out" => after.timed_out = true,
            _ => {
                let way_out = "one of \"never-ran\", \"error\", \"broken\", \"timed-out\"";
                t.fault(&place, format!("is no outcome: {word:?}"), way_out);
            }
        }
    }
    after
}

/// `"100ms"`, or `"p95"` for the time that 95 of 100 answers take at most.
fn hedge(t: &Table) -> HedgePolicy {
    if !t.holds("second-copy") {
        return HedgePolicy::Never;
    }
    let text = t.text("second-copy", None);
    if let Some(number) = text.strip_prefix('p') {
        if let Some(part) = number.parse::<f64>().ok().filter(|part| *part >= 50.0 && *part < 100.0) {
            return HedgePolicy::Quantile(part / 100.0);
        }
    } else if let Ok(after) = units::Time::read(&text) {
        return HedgePolicy::After(after);
    }
    let way_out = "a time as in \"100ms\", or from \"p50\" to \"p99.9\"";
    t.fault(&t.place_of("second-copy"), format!("is neither a time nor a quantile: {text:?}"), way_out);
    HedgePolicy::Never
}
