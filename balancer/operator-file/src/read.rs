//! The reader of the file's tables, with the checks of their values against each other and the deployment; routes
//! are read in `route`.

use std::path::PathBuf;

use whinspindle_deployment_settings::Deployment;
use whinspindle_rollout::Limits;
use whinspindle_routes::RouteTable;
use whinspindle_toml_config::Table;

use crate::{CutOff, Keep, Operator};

mod route;

/// In microseconds.
const SECOND: u64 = 1_000_000;

/// Reads the file: a balancer's own if `own` is set, which may name its fleet; else the policy of a fleet.
pub fn operator(table: &Table, deployment: &Deployment, own: bool) -> Operator {
    let fleet = own.then(|| crate::fleet::fleet(table, deployment)).flatten();
    if table.is_empty() {
        let way_out = "a table at the least, [cut-off] for one; a file that is only being written looks like this, so \
                       write it beside and rename it";
        table.report_error(&table.location(), "the file is empty", way_out);
    }
    let routes = route::routes(table, "route", deployment);
    if fleet.is_some() && table.contains_key("route") {
        let way_out = "a file of their own for them: whinspindle fleet propose FILE";
        table.report_error(&table.location_of("route"), "routes are agreed on by the fleet", way_out);
    }
    let cut_off = match table.table("cut-off") {
        None => CutOff::Routes(RouteTable::new(Vec::new())),
        Some(t) => {
            let rejects = t.one_of("queries", &[("reject", true), ("take", false)], Some(false));
            if rejects && t.contains_key("route") {
                t.report_error(
                    &t.location_of("route"),
                    "no query comes to a route here",
                    "queries = \"take\"",
                );
            }
            let routes = route::routes(&t, "route", deployment);
            if rejects { CutOff::Rejects } else { CutOff::Routes(routes) }
        }
    };
    let limits = table.table("limits").and_then(|t| t.table("out")).map(|t| limits(&t, deployment, own));
    let keep = own.then(|| table.table("keep")).flatten().map(|t| keep(&t));
    Operator { routes, cut_off, limits: limits.unwrap_or_default(), fleet, keep }
}

fn keep(t: &Table) -> Keep {
    let (fresh, old) = (t.duration_us("fresh", Some(10 * SECOND)), t.duration_us("old", Some(3600 * SECOND)));
    if fresh >= old {
        t.report_error(
            &t.location_of("fresh"),
            "a list would be old before it is fresh no more",
            "less than old",
        );
    }
    Keep { folder: PathBuf::from(t.string("folder", None)), fresh, old }
}

/// How many units may be out of service at once. Limits that allow none or all, or contradict one another, are
/// faults.
fn limits(t: &Table, deployment: &Deployment, own: bool) -> Limits {
    if own {
        t.report_error(
            &t.location(),
            "limits are agreed on by the fleet",
            "in a policy: whinspindle fleet propose FILE",
        );
    }
    let most = |key: &str| t.contains_key(key).then(|| t.integer(key, (1, 100_000), None) as usize);
    let limits = Limits {
        balancers: most("balancers"),
        servers: most("servers"),
        servers_by_zone: most("servers-by-zone"),
        servers_by_cell: most("servers-by-pod"),
        servers_part: t.contains_key("servers-part").then(|| t.float("servers-part", (0.001, 0.9), None)),
    };
    let all = deployment.balancer_settings.balancers;
    if limits.balancers.is_some_and(|most| most >= all) {
        let way_out = format!("{} at the most", all.saturating_sub(1));
        t.report_error(
            &t.location_of("balancers"),
            format!("all {all} balancers could be out at once"),
            way_out,
        );
    }
    for (key, inner) in
        [("servers-by-zone", limits.servers_by_zone), ("servers-by-pod", limits.servers_by_cell)]
    {
        if let (Some(inner), Some(most)) = (inner, limits.servers)
            && inner > most
        {
            let fault = format!("{inner} of one while {most} in all may be out");
            t.report_error(&t.location_of(key), fault, "no more than servers");
        }
        if inner.is_some() && limits.servers.is_none() && limits.servers_part.is_none() {
            t.report_error(
                &t.location_of(key),
                "nothing says how many in all may be out",
                "servers, or servers-part",
            );
        }
    }
    limits
}
