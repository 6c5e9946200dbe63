//! The parser of the file's tables, which checks their values against each other and against the deployment.
//! Routes are parsed in the module `route`.

use std::path::PathBuf;

use whinspindle_deployment_settings::Deployment;
use whinspindle_rollout::Limits;
use whinspindle_routes::RouteTable;
use whinspindle_toml_config::Table;

use crate::{EndpointCacheSettings, OperatorConfig, PartitionPolicy};

mod route;

/// A second in microseconds.
const SECOND_US: u64 = 1_000_000;

/// Parses a balancer's own file, which may name its fleet, if `is_own_file` is set, and else the policy of a
/// fleet.
pub fn operator_config(table: &Table, deployment: &Deployment, is_own_file: bool) -> OperatorConfig {
    let fleet = is_own_file.then(|| crate::fleet::fleet(table, deployment)).flatten();
    if table.is_empty() {
        let hint = "at least a table, for example [cut-off]; a file that is still being written looks like this, \
                    so write it under another name and rename it";
        table.report_error(&table.location(), "the file is empty", hint);
    }
    let routes = route::routes(table, "route", deployment);
    if fleet.is_some() && table.contains_key("route") {
        let hint = "a file of their own for them: whinspindle fleet propose FILE";
        table.report_error(&table.location_of("route"), "routes are agreed on by the fleet", hint);
    }
    let partition_policy = match table.table("cut-off") {
        None => PartitionPolicy::Routes(RouteTable::new(Vec::new())),
        Some(cut_off) => {
            let rejects = cut_off.one_of("queries", &[("reject", true), ("take", false)], Some(false));
            if rejects && cut_off.contains_key("route") {
                cut_off.report_error(
                    &cut_off.location_of("route"),
                    "no request takes a route here, since all are rejected",
                    "queries = \"take\"",
                );
            }
            let routes = route::routes(&cut_off, "route", deployment);
            if rejects { PartitionPolicy::Reject } else { PartitionPolicy::Routes(routes) }
        }
    };
    let limits = table
        .table("limits")
        .and_then(|limits| limits.table("out"))
        .map(|limits_table| limits(&limits_table, deployment, is_own_file));
    let endpoint_cache = is_own_file.then(|| table.table("keep")).flatten().map(|keep| endpoint_cache(&keep));
    OperatorConfig { routes, partition_policy, limits: limits.unwrap_or_default(), fleet, endpoint_cache }
}

fn endpoint_cache(table: &Table) -> EndpointCacheSettings {
    let (fresh_us, old_us) =
        (table.duration_us("fresh", Some(10 * SECOND_US)), table.duration_us("old", Some(3600 * SECOND_US)));
    if fresh_us >= old_us {
        table.report_error(
            &table.location_of("fresh"),
            "a list would be fresh and old at the same age",
            "less than old",
        );
    }
    EndpointCacheSettings { folder: PathBuf::from(table.string("folder", None)), fresh_us, old_us }
}

/// The limits on units that are out of service at once. Limits that allow no or all units, or that contradict
/// one another, are errors.
fn limits(table: &Table, deployment: &Deployment, is_own_file: bool) -> Limits {
    if is_own_file {
        table.report_error(
            &table.location(),
            "limits are agreed on by the fleet",
            "in a policy: whinspindle fleet propose FILE",
        );
    }
    let limit = |key: &str| table.contains_key(key).then(|| table.integer(key, (1, 100_000), None) as usize);
    let limits = Limits {
        balancers: limit("balancers"),
        servers: limit("servers"),
        servers_per_zone: limit("servers-by-zone"),
        servers_per_pod: limit("servers-by-pod"),
        servers_fraction: table
            .contains_key("servers-part")
            .then(|| table.float("servers-part", (0.001, 0.9), None)),
    };
    let balancer_count = deployment.balancer_settings.balancers;
    if limits.balancers.is_some_and(|limit| limit >= balancer_count) {
        let hint = format!("at most {}", balancer_count.saturating_sub(1));
        table.report_error(
            &table.location_of("balancers"),
            format!("all {balancer_count} balancers could be out of service at once"),
            hint,
        );
    }
    for (key, inner_limit) in
        [("servers-by-zone", limits.servers_per_zone), ("servers-by-pod", limits.servers_per_pod)]
    {
        if let (Some(inner_limit), Some(limit)) = (inner_limit, limits.servers)
            && inner_limit > limit
        {
            let message = format!("{inner_limit} of one while {limit} in all may be out of service");
            table.report_error(&table.location_of(key), message, "no more than servers");
        }
        if inner_limit.is_some() && limits.servers.is_none() && limits.servers_fraction.is_none() {
            table.report_error(
                &table.location_of(key),
                "nothing says how many in all may be out of service",
                "servers, or servers-part",
            );
        }
    }
    limits
}
