//! The settings in JSON, turned into the terms that the decisions are handed.

use serde::Deserialize;
use whinspindle::host::{Effect, Group, Product, Terms};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Options {
    balancers: usize,
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
}

#[derive(Deserialize)]
struct LoadOptions {
    #[serde(default)]
    columns: Vec<String>,
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

/// The terms, and the names of the load report's columns.
pub fn parse(json: &[u8]) -> Result<(Terms, Vec<String>), String> {
    let options: Options = serde_json::from_slice(json).map_err(|e| format!("attach: options: {e}"))?;
    let limits = &options.limits;
    let rules = &options.obligations;
    let mut products = Vec::new();
    for p in &options.products {
        let group = match p.key_scope.as_deref() {
            Some("zone") => Group::Zone,
            Some("cell") => Group::Cell,
            _ => Group::All,
        };
        products.push(Product {
            effect: match p.effect.as_str() {
                "safe" => Effect::Idempotent,
                "keyed" => Effect::Deduplicated(group),
                "unsafe" => Effect::NonIdempotent,
                other => return Err(format!("attach: options: unknown effect {other:?}")),
            },
            slo_time: p.slo_time_ns / 1000,
            memory_span: p.memory_span_ns.unwrap_or(0) / 1000,
            tardy_importance: p.tardy_importance.unwrap_or(0.0),
        });
    }
    if products.is_empty() {
        return Err("attach: options: products: none".into());
    }
    let terms = Terms {
        balancers: options.balancers.max(1),
        tier: options.tier,
        home: options.locality,
        cross_zone: options.deductions.cross_zone.max(0.0),
        products,
        tenant_quotas: options.projects.iter().map(|p| p.quota_per_s.unwrap_or(0.0)).collect(),
        most_executions: limits.most_executions,
        second_copies: limits.second_copies,
        cancel: limits.cancel,
        probes_pay: limits.probes && 2.0 * options.deductions.probe < options.deductions.late_fail,
        most_retry_after: if limits.retry_after { limits.max_retry_after_ns / 1000 } else { 0 },
        tick: options.tick_ns / 1000,
        must_ask_in: (options.membership_mode == "on_request")
            .then(|| rules.must_ask_in_ns.unwrap_or(10_000_000_000) / 1000),
        cold_from: rules.cold_from,
        cold_time: rules.cold_ns / 1000,
        fall_multiple: rules.fall_multiple,
        tip_after: rules.tip_after_ns / 1000,
    };
    Ok((terms, options.load_info.columns))
}
