//! The settings in JSON, turned into the terms that the decisions are handed and the names and times that the
//! programs round them need.

use serde::Deserialize;
use whinspindle::host::{BalancerSettings, Effect, Product, ServerScope};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Options {
    balancers: usize,
    #[serde(default)]
    rank: usize,
    tier: usize,
    #[serde(default)]
    locality: usize,
    #[serde(default)]
    deductions: Deductions,
    membership_mode: String,
    tick_ns: u64,
    products: Vec<ProductOptions>,
    #[serde(default)]
    projects: Vec<ProjectOptions>,
    limits: LimitOptions,
    load_info: LoadOptions,
    obligations: Obligations,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Deductions {
    cross_zone: f64,
    late_fail: f64,
    probe: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ProductOptions {
    #[serde(default)]
    name: String,
    #[serde(default)]
    statement_timeout_ns: Option<u64>,
    effect: String,
    #[serde(default)]
    key_scope: Option<String>,
    #[serde(default)]
    memory_span_ns: Option<u64>,
    slo_time_ns: u64,
    #[serde(default)]
    tardy_importance: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ProjectOptions {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitOptions {
    cancel: bool,
    most_executions: usize,
    #[serde(default)]
    probes: bool,
    max_retry_after_ns: u64,
    retry_after: bool,
    second_copies: bool,
    #[serde(default)]
    conn_idle_ns: Option<u64>,
    #[serde(default)]
    connect_timeout_ns: Option<u64>,
    #[serde(default)]
    streams_per_conn: Option<usize>,
}

#[derive(Deserialize)]
struct LoadOptions {
    #[serde(default)]
    columns: Vec<String>,
    #[serde(default)]
    how: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Obligations {
    cold_from: f64,
    cold_ns: u64,
    fall_multiple: f64,
    #[serde(default)]
    must_ask_in_ns: Option<u64>,
    tip_after_ns: u64,
}

/// A name in the settings and the small index that stands for it.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// A server's place among the others, drawn from its id, so that neighbours by id are none by key.
pub fn server_key(id: &[u8]) -> u64 {
    let fold = |hash: u64, &byte: &u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    id.iter().fold(0xcbf2_9ce4_8422_2325, fold)
}

/// What the settings tell of a deployment.
#[derive(Clone)]
pub struct Deployment {
    /// What the decisions are given of it.
    pub balancer_settings: BalancerSettings,
    /// Names of the products, by index.
    pub products: Vec<String>,
    /// How long clients of a product wait at most, a row a product.
    pub statement_timeouts_us: Vec<u64>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Kinds of machines, by index.
    pub kinds: Vec<String>,
    /// The columns of a load report, in their order.
    pub load_columns: Vec<String>,
    /// Servers close a connection that has stood idle for so long.
    pub server_idle_timeout_us: u64,
    /// How long a connection to a server may take to come up, in microseconds.
    pub connect_timeout_us: u64,
}

fn statement_timeout(p: &ProductOptions) -> u64 {
    p.statement_timeout_ns.unwrap_or(p.slo_time_ns) / 1000
}

/// How far a product's effect may be repeated. Guards against a group that is not told, or not known, and
/// would pass for the widest.
fn effect(p: &ProductOptions) -> Result<Effect, String> {
    let group = match p.key_scope.as_deref() {
        Some("all") => Some(ServerScope::All),
        Some("zone") => Some(ServerScope::Zone),
        Some("cell") => Some(ServerScope::Cell),
        _ => None,
    };
    match (p.effect.as_str(), group) {
        ("safe", _) => Ok(Effect::Idempotent),
        ("unsafe", _) => Ok(Effect::NonIdempotent),
        ("keyed", Some(_)) if p.memory_span_ns.is_none() => {
            Err("memorySpanNs: missing for a keyed product: how long repeats of it are dropped".into())
        }
        ("keyed", Some(group)) => Ok(Effect::Deduplicated(group)),
        ("keyed", None) => Err(format!(
            "keyScope: {:?}: a keyed product has all, zone or cell",
            p.key_scope.as_deref().unwrap_or("")
        )),
        (other, _) => Err(format!("effect: unknown effect {other:?}: safe, keyed or unsafe")),
    }
}

/// In which time the list must be asked for, where it is.
fn must_ask_in(mode: &str, within: Option<u64>) -> Result<Option<u64>, String> {
    match (mode, within) {
        ("pushed", _) => Ok(None),
        ("on_request", Some(ns)) => Ok(Some(ns / 1000)),
        ("on_request", None) => {
            Err("obligations.mustAskInNs: missing where membershipMode is on_request".into())
        }
        (other, _) => Err(format!("membershipMode: {other:?}: pushed or on_request")),
    }
}

/// What is wrong in the settings that tell a deployment's shape, each with its field, the rule and a way out.
fn shape_faults(streams: usize, how: &str, rank: usize, balancers: usize) -> Vec<String> {
    let mut faults = Vec::new();
    if streams == 0 {
        faults.push(
            "limits.streamsPerConn: 0: a connection carries one query at least; 1, or leave it out".into(),
        );
    }
    if !["piggyback", "pull", "silent"].contains(&how) {
        faults.push(format!(
            "loadInfo.how: {how:?}: load is told with answers, to probes or not at all; piggyback, pull or silent"
        ));
    }
    // The rank decides only where a copy keeps to its part of the list.
    if streams > 1 && rank >= balancers {
        faults.push(format!(
            "rank: {rank}: balancers count from 0 and there are {balancers}; its own number below that"
        ));
    }
    faults
}

/// The table of products, at least one row.
fn products(options: &Options) -> Result<Vec<Product>, String> {
    let mut products = Vec::new();
    for (number, p) in options.products.iter().enumerate() {
        products.push(Product {
            effect: effect(p).map_err(|fault| format!("products[{number}].{fault}"))?,
            slo_time_us: p.slo_time_ns / 1000,
            dedup_window_us: p.memory_span_ns.unwrap_or(0) / 1000,
            late_answer_value: p.tardy_importance.unwrap_or(0.0),
        });
    }
    if products.is_empty() {
        return Err("products: none".into());
    }
    Ok(products)
}

/// Reads the settings in JSON. The error names each field at fault.
pub fn parse(json: &[u8]) -> Result<Deployment, String> {
    let options: Options = serde_json::from_slice(json).map_err(|e| e.to_string())?;
    let limits = &options.limits;
    let rules = &options.obligations;
    let products = products(&options)?;
    let streams = limits.streams_per_conn.unwrap_or(1);
    let how = options.load_info.how.as_deref().unwrap_or("piggyback");
    let probes_pay = limits.probes && 2.0 * options.deductions.probe < options.deductions.late_fail;
    let faults = shape_faults(streams, how, options.rank, options.balancers);
    if !faults.is_empty() {
        return Err(faults.join("; "));
    }
    let terms = BalancerSettings {
        balancers: options.balancers.max(1),
        rank: options.rank,
        streams_per_connection: streams,
        load_only_from_probes: how == "pull" && probes_pay,
        tier: options.tier,
        home_zone: options.locality,
        cross_zone_cost: options.deductions.cross_zone.max(0.0),
        products,
        tenant_quotas: options.projects.iter().map(|p| p.quota_per_s.unwrap_or(0.0)).collect(),
        max_executions: limits.most_executions,
        allow_hedging: limits.second_copies,
        allow_cancel: limits.cancel,
        allow_probes: probes_pay,
        single_probe: 4.0 * options.deductions.probe > options.deductions.late_fail,
        max_retry_after_us: if limits.retry_after { limits.max_retry_after_ns / 1000 } else { 0 },
        clock_resolution_us: options.tick_ns / 1000,
        watch_reopen_limit_us: must_ask_in(&options.membership_mode, rules.must_ask_in_ns)?,
        slow_start_initial_fraction: rules.cold_from,
        slow_start_duration_us: rules.cold_ns / 1000,
        slow_start_overload_factor: rules.fall_multiple,
        slow_start_window_us: rules.tip_after_ns / 1000,
    };
    let statement_timeouts: Vec<u64> = options.products.iter().map(statement_timeout).collect();
    // What is not told follows from what is: no query stays longer at a server than its longest time, and to
    // connect may take a part of the shortest one.
    let (longest, shortest) =
        (statement_timeouts.iter().max(), terms.products.iter().map(|p| p.slo_time_us).min());
    let idle_time = limits.conn_idle_ns.map(|ns| ns / 1000).or(longest.copied()).unwrap_or(0);
    let connect_time_out = limits.connect_timeout_ns.map(|ns| ns / 1000).or(shortest.map(|time| time / 4));
    Ok(Deployment {
        balancer_settings: terms,
        statement_timeouts_us: statement_timeouts,
        products: options.products.into_iter().map(|p| p.name).collect(),
        tenants: options.projects.into_iter().map(|p| p.name).collect(),
        zones: options.zones,
        kinds: options.kinds,
        load_columns: options.load_info.columns,
        server_idle_timeout_us: idle_time,
        connect_timeout_us: connect_time_out.unwrap_or(0),
    })
}
