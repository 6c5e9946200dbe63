//! Parses the deployment settings in JSON into the settings of the balancer, and the names and timeouts that
//! programs need.

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

/// Index of a name in a list of the settings.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|candidate| candidate == name)
}

/// Hash (FNV-1a) of a server's id, which orders the servers independently of the order of their ids.
pub fn server_key(id: &[u8]) -> u64 {
    let fold = |hash: u64, &byte: &u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    id.iter().fold(0xcbf2_9ce4_8422_2325, fold)
}

/// The settings of a deployment.
#[derive(Clone)]
pub struct Deployment {
    /// Settings of the balancer.
    pub balancer_settings: BalancerSettings,
    /// Names of the products, by index.
    pub products: Vec<String>,
    /// Maximum time that clients wait, per product.
    pub statement_timeouts_us: Vec<u64>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the machine kinds, by index.
    pub kinds: Vec<String>,
    /// Columns of a load report, in order.
    pub load_columns: Vec<String>,
    /// Idle time after which servers close a connection, in microseconds.
    pub server_idle_timeout_us: u64,
    /// Timeout for connecting to a server, in microseconds.
    pub connect_timeout_us: u64,
}

fn statement_timeout_us(p: &ProductOptions) -> u64 {
    p.statement_timeout_ns.unwrap_or(p.slo_time_ns) / 1000
}

/// Whether executions of a product may be repeated. A missing or unknown scope is an error rather than the
/// widest scope.
fn effect(p: &ProductOptions) -> Result<Effect, String> {
    let scope = match p.key_scope.as_deref() {
        Some("all") => Some(ServerScope::All),
        Some("zone") => Some(ServerScope::Zone),
        Some("cell") => Some(ServerScope::Cell),
        _ => None,
    };
    match (p.effect.as_str(), scope) {
        ("safe", _) => Ok(Effect::Idempotent),
        ("unsafe", _) => Ok(Effect::NonIdempotent),
        ("keyed", Some(_)) if p.memory_span_ns.is_none() => {
            Err("memorySpanNs: missing for a keyed product: how long servers drop duplicates".into())
        }
        ("keyed", Some(scope)) => Ok(Effect::Deduplicated(scope)),
        ("keyed", None) => Err(format!(
            "keyScope: {:?}: expected all, zone or cell for a keyed product",
            p.key_scope.as_deref().unwrap_or("")
        )),
        (other, _) => Err(format!("effect: unknown effect {other:?}: expected safe, keyed or unsafe")),
    }
}

/// The time within which a failed watch must be reopened, if the endpoint list must be watched.
fn watch_reopen_limit_us(mode: &str, limit_ns: Option<u64>) -> Result<Option<u64>, String> {
    match (mode, limit_ns) {
        ("pushed", _) => Ok(None),
        ("on_request", Some(ns)) => Ok(Some(ns / 1000)),
        ("on_request", None) => {
            Err("obligations.mustAskInNs: missing although membershipMode is on_request".into())
        }
        (other, _) => Err(format!("membershipMode: {other:?}: expected pushed or on_request")),
    }
}

/// Validates the number of streams, the mode of load reports and the rank. Each error names the field, the
/// rule and a valid value.
fn validate(streams_per_connection: usize, how: &str, rank: usize, balancers: usize) -> Vec<String> {
    let mut errors = Vec::new();
    if streams_per_connection == 0 {
        errors.push("limits.streamsPerConn: 0: must be at least 1; omit it for 1".into());
    }
    if !["piggyback", "pull", "silent"].contains(&how) {
        errors.push(format!(
            "loadInfo.how: {how:?}: load is told with answers, to probes or not at all; piggyback, pull or silent"
        ));
    }
    // The rank is used only if the balancer sends to a subset of the servers.
    if streams_per_connection > 1 && rank >= balancers {
        errors.push(format!("rank: {rank}: must be less than the number of balancers, {balancers}"));
    }
    errors
}

/// Converts the products, of which there must be at least one.
fn products(options: &Options) -> Result<Vec<Product>, String> {
    let mut products = Vec::new();
    for (index, p) in options.products.iter().enumerate() {
        products.push(Product {
            effect: effect(p).map_err(|error| format!("products[{index}].{error}"))?,
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

/// Parses settings in JSON. The error names each invalid field.
pub fn parse(json: &[u8]) -> Result<Deployment, String> {
    let options: Options = serde_json::from_slice(json).map_err(|e| e.to_string())?;
    let limits = &options.limits;
    let obligations = &options.obligations;
    let products = products(&options)?;
    let streams_per_connection = limits.streams_per_conn.unwrap_or(1);
    let how = options.load_info.how.as_deref().unwrap_or("piggyback");
    let allow_probes = limits.probes && 2.0 * options.deductions.probe < options.deductions.late_fail;
    let errors = validate(streams_per_connection, how, options.rank, options.balancers);
    if !errors.is_empty() {
        return Err(errors.join("; "));
    }
    let balancer_settings = BalancerSettings {
        balancers: options.balancers.max(1),
        rank: options.rank,
        streams_per_connection,
        load_only_from_probes: how == "pull" && allow_probes,
        tier: options.tier,
        home_zone: options.locality,
        cross_zone_cost: options.deductions.cross_zone.max(0.0),
        products,
        tenant_quotas: options.projects.iter().map(|p| p.quota_per_s.unwrap_or(0.0)).collect(),
        max_executions: limits.most_executions,
        allow_hedging: limits.second_copies,
        allow_cancel: limits.cancel,
        allow_probes,
        single_probe: 4.0 * options.deductions.probe > options.deductions.late_fail,
        max_retry_after_us: if limits.retry_after { limits.max_retry_after_ns / 1000 } else { 0 },
        clock_resolution_us: options.tick_ns / 1000,
        watch_reopen_limit_us: watch_reopen_limit_us(&options.membership_mode, obligations.must_ask_in_ns)?,
        slow_start_initial_fraction: obligations.cold_from,
        slow_start_duration_us: obligations.cold_ns / 1000,
        slow_start_overload_factor: obligations.fall_multiple,
        slow_start_window_us: obligations.tip_after_ns / 1000,
    };
    let statement_timeouts_us: Vec<u64> = options.products.iter().map(statement_timeout_us).collect();
    // Defaults for missing timeouts: no query stays at a server longer than the longest statement timeout,
    // and connecting may take a fraction of the shortest SLO time.
    let (max_statement_timeout_us, min_slo_time_us) =
        (statement_timeouts_us.iter().max(), balancer_settings.products.iter().map(|p| p.slo_time_us).min());
    let server_idle_timeout_us =
        limits.conn_idle_ns.map(|ns| ns / 1000).or(max_statement_timeout_us.copied()).unwrap_or(0);
    let connect_timeout_us =
        limits.connect_timeout_ns.map(|ns| ns / 1000).or(min_slo_time_us.map(|time| time / 4));
    Ok(Deployment {
        balancer_settings,
        statement_timeouts_us,
        products: options.products.into_iter().map(|p| p.name).collect(),
        tenants: options.projects.into_iter().map(|p| p.name).collect(),
        zones: options.zones,
        kinds: options.kinds,
        load_columns: options.load_info.columns,
        server_idle_timeout_us,
        connect_timeout_us: connect_timeout_us.unwrap_or(0),
    })
}
