//! Test helpers: routers for small deployments.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use whinspindle_configuration::{
    Backend, Bounds, Configuration, Limits, Mechanisms, Route, RouteKind, Service,
};
use whinspindle_distribution::{Fleet, Instance, Instances, RegionLoad, ServiceRegion};
use whinspindle_routing::{
    AttemptId, Choice, InstanceKey, Outcome, PromptPart, Rejection, RequestInfo, Router, RouterSettings,
};

pub const SERVICE: &str = "model";
pub const GENERATION: u64 = 1;
pub const HEARTBEAT_MS: u64 = 1_000;

/// One zone in each of the regions a, b and c.
pub fn zones() -> BTreeMap<String, String> {
    ["a", "b", "c"].into_iter().map(|region| (format!("z{region}"), region.to_owned())).collect()
}

pub fn bounds() -> Bounds {
    Bounds {
        contact_ms: 4_000,
        ack_ms: 5_000,
        sync_ms: 4_000,
        drain_ms: 2_500,
        grace_ms: 8_000,
        converge_ms: 2_500,
        downgrade_ms: 250,
        retry_ratio: 0.2,
        retry_window_ms: 10_000,
        retry_slack: 52.0,
        cold_overrun: 1.5,
        cold_slack: 5.0,
        evac_ms: 5_000,
        recover_ms: 12_000,
        pass_ms: 250,
        again_ms: 10_000,
        ttl_max_ms: 5_000,
        seed_lag_ms: 3_000,
        reuse_after_ms: 2_000,
    }
}

pub fn settings(region: &str, seed: u64) -> RouterSettings {
    RouterSettings {
        zone: format!("z{region}"),
        region: region.to_owned(),
        zone_regions: zones(),
        bounds: bounds(),
        heartbeat_ms: HEARTBEAT_MS,
        mechanisms: Mechanisms::default(),
        seed,
    }
}

pub fn route(name: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout_ms: 6_000,
        target_ms: 400,
        priority: 0,
        backends: vec![Backend { service: 0, weight: 1.0 }],
        retries: 2,
        sticky: false,
        resumable: false,
        gap_aim_ms: None,
        home_regions: vec![],
    }
}

pub fn service(name: &str, cold_per_s: f64) -> Service {
    Service { name: name.to_owned(), cold_per_s, cold_s: 3.0, max_conns: 100, ..Service::default() }
}

pub fn configuration(generation: u64, routes: Vec<Route>, services: Vec<Service>) -> Arc<Configuration> {
    Arc::new(
        Configuration::new(generation, routes, services, Limits::default()).expect("a valid configuration"),
    )
}

/// Creates an instance of `SERVICE`; the number determines its id and address.
pub fn instance(number: u8, zone: &str) -> Instance {
    Instance {
        id: format!("i{number}"),
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        zone: zone.to_owned(),
        slots: 16,
        draining: false,
        slow_start_ms: 0,
    }
}

pub fn endpoint_list(list: Vec<Instance>) -> Instances {
    Instances { version: 1, list }
}

/// Creates instances in the regions a, b and c; `counts` gives their number in each region.
pub fn instances_by_region(counts: [u8; 3]) -> Vec<Instance> {
    let zone = |index: usize| ["za", "zb", "zc"][index];
    let instance_zones =
        (0..3).flat_map(|index| std::iter::repeat_n(zone(index), usize::from(counts[index])));
    instance_zones.enumerate().map(|(number, zone)| instance(number as u8 + 1, zone)).collect()
}

pub fn region_load(region: &str, requests_per_s: f64) -> RegionLoad {
    let target = ServiceRegion { service: SERVICE.to_owned(), region: region.to_owned() };
    RegionLoad { target, requests_per_s }
}

pub fn fleet(balancers: u32, loads: Vec<RegionLoad>) -> Fleet {
    Fleet { version: 1, balancers, loads, failing: vec![] }
}

/// Creates a router in region a with one route to `SERVICE` in a fleet of six balancers.
pub fn router(seed: u64, route: Route, instances: Vec<Instance>) -> Router {
    let mut router = Router::new(settings("a", seed), 0);
    router.set_configuration(0, &configuration(GENERATION, vec![route], vec![service(SERVICE, 0.0)]));
    router.set_instances(0, &endpoint_list(instances));
    router.set_fleet(0, &fleet(6, vec![]));
    router
}

pub fn request_info() -> RequestInfo {
    RequestInfo { generation: GENERATION, time_left_ms: 6_000, ..RequestInfo::default() }
}

pub fn with_prompt(parts: &[(u64, u32)]) -> RequestInfo {
    let prompt = parts.iter().map(|&(id, tokens)| PromptPart { id, tokens }).collect();
    let prompt_tokens = parts.iter().map(|part| part.1).sum();
    RequestInfo { prompt, prompt_tokens, ..request_info() }
}

/// Starts the first attempt of a request. Returns the attempt and its instance, or `None` if the request is
/// rejected.
pub fn send(router: &mut Router, now: u64, request_info: &RequestInfo) -> Option<(AttemptId, InstanceKey)> {
    match router.choose(now, request_info, &[]) {
        Choice::Forward { attempt, instance } => Some((attempt, instance)),
        Choice::Reject(_) => None,
    }
}

pub fn rejection(choice: Choice) -> Rejection {
    match choice {
        Choice::Reject(rejection) => rejection,
        Choice::Forward { .. } => panic!("expected a rejection"),
    }
}

/// Starts a first attempt that is served at once. Returns the id of its instance.
pub fn served_by(router: &mut Router, now: u64, request_info: &RequestInfo) -> Option<String> {
    let (attempt, key) = send(router, now, request_info)?;
    let id = router.target(key)?.id.clone();
    router.finish_attempt(now, attempt, Outcome::Served);
    Some(id)
}

pub fn region_of(router: &Router, key: InstanceKey) -> String {
    router.target(key).expect("a known instance").region.clone()
}
