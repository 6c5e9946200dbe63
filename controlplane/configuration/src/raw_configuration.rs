//! The JSON representation of the configuration, and its conversion to [`Configuration`].

// The code that `DeJson` derives uses `return Err(..)` in place of `?`.
#![allow(clippy::question_mark, reason = "code derived by nanoserde")]

use std::collections::HashMap;

use nanoserde::DeJson;
use snafu::{OptionExt, ensure};

use crate::configuration::{
    Backend, BackendAndSplitSnafu, Configuration, ConfigurationError, DuplicateServiceNameSnafu, Engine,
    Limits, NoBackendSnafu, Route, RouteKind, Service, UnknownKindSnafu, UnknownServiceSnafu,
};
use crate::number::{RoundedUp, WholeNumber};

/// The path of the health check if a service does not set `health_path`.
const DEFAULT_HEALTH_PATH: &str = "/healthz";

#[derive(DeJson)]
pub struct RawConfiguration {
    generation: WholeNumber,
    routes: Vec<RawRoute>,
    services: Vec<RawService>,
    limits: Option<RawLimits>,
}

#[derive(DeJson)]
struct RawRoute {
    name: Option<String>,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: RoundedUp,
    target_ms: Option<RoundedUp>,
    priority: Option<WholeNumber>,
    backend: Option<String>,
    split: Option<Vec<RawBackend>>,
    retries: Option<WholeNumber>,
    sticky: Option<bool>,
    resumable: Option<bool>,
    gap_aim_ms: Option<RoundedUp>,
    home_regions: Option<Vec<String>>,
}

#[derive(DeJson)]
struct RawBackend {
    backend: String,
    weight: f64,
}

#[derive(DeJson)]
struct RawService {
    name: String,
    health_path: Option<String>,
    max_conns: Option<WholeNumber>,
    cold_s: Option<f64>,
    cold_per_s: Option<f64>,
    engine: Option<RawEngine>,
}

#[derive(DeJson)]
struct RawEngine {
    slots: Option<WholeNumber>,
    kv_capacity: Option<WholeNumber>,
    stride: Option<WholeNumber>,
}

#[derive(DeJson)]
struct RawLimits {
    max_header_bytes: Option<WholeNumber>,
    max_body_bytes: Option<WholeNumber>,
    header_timeout_ms: Option<RoundedUp>,
    idle_timeout_ms: Option<RoundedUp>,
}

impl RawConfiguration {
    /// Replaces names of services with indices and validates the configuration.
    pub fn validate(self) -> Result<Configuration, ConfigurationError> {
        let services: Vec<Service> = self.services.into_iter().map(RawService::convert).collect();
        let indices = index_services(&services)?;
        let routes = self
            .routes
            .into_iter()
            .map(|route| route.convert(&indices))
            .collect::<Result<Vec<Route>, _>>()?;
        let limits = self.limits.map(RawLimits::convert).unwrap_or_default();
        Configuration::new(self.generation.0, routes, services, limits)
    }
}

fn index_services(services: &[Service]) -> Result<HashMap<&str, usize>, ConfigurationError> {
    let mut indices = HashMap::with_capacity(services.len());
    for (index, service) in services.iter().enumerate() {
        let previous = indices.insert(service.name.as_str(), index);
        ensure!(previous.is_none(), DuplicateServiceNameSnafu { service: &service.name });
    }
    Ok(indices)
}

impl RawRoute {
    fn convert(self, services: &HashMap<&str, usize>) -> Result<Route, ConfigurationError> {
        let name = self.name.unwrap_or_else(|| format!("{}{}", self.host, self.path_prefix));
        let backends = convert_backends(&name, self.backend, self.split, services)?;
        let kind = convert_kind(&name, &self.kind)?;
        Ok(Route {
            name,
            host: self.host,
            path_prefix: self.path_prefix,
            kind,
            timeout_ms: self.timeout_ms.0,
            target_ms: self.target_ms.unwrap_or(self.timeout_ms).0,
            priority: self.priority.unwrap_or_default().saturating_convert(),
            backends,
            retries: self.retries.unwrap_or(WholeNumber(1)).saturating_convert(),
            sticky: self.sticky.unwrap_or(false),
            resumable: self.resumable.unwrap_or(false),
            gap_aim_ms: self.gap_aim_ms.map(|gap| gap.0),
            home_regions: self.home_regions.unwrap_or_default(),
        })
    }
}

fn convert_backends(
    route: &str,
    backend: Option<String>,
    split: Option<Vec<RawBackend>>,
    services: &HashMap<&str, usize>,
) -> Result<Vec<Backend>, ConfigurationError> {
    let raw_backends = match (backend, split) {
        (Some(backend), None) => vec![RawBackend { backend, weight: 1.0 }],
        (None, Some(split)) => split,
        (None, None) => return NoBackendSnafu { route }.fail(),
        (Some(_), Some(_)) => return BackendAndSplitSnafu { route }.fail(),
    };
    raw_backends.into_iter().map(|backend| backend.convert(route, services)).collect()
}

impl RawBackend {
    fn convert(self, route: &str, services: &HashMap<&str, usize>) -> Result<Backend, ConfigurationError> {
        let service = services
            .get(self.backend.as_str())
            .copied()
            .with_context(|| UnknownServiceSnafu { route, service: &self.backend })?;
        Ok(Backend { service, weight: self.weight })
    }
}

fn convert_kind(route: &str, kind: &str) -> Result<RouteKind, ConfigurationError> {
    match kind {
        "safe" => Ok(RouteKind::Safe),
        "unsafe" => Ok(RouteKind::Unsafe),
        "streaming" => Ok(RouteKind::Streaming),
        _ => UnknownKindSnafu { route, kind }.fail(),
    }
}

impl RawService {
    fn convert(self) -> Service {
        Service {
            name: self.name,
            health_path: self.health_path.unwrap_or_else(|| DEFAULT_HEALTH_PATH.to_owned()),
            max_conns: self.max_conns.unwrap_or(WholeNumber(u64::MAX)).saturating_convert(),
            cold_s: self.cold_s.unwrap_or(0.0),
            cold_per_s: self.cold_per_s.unwrap_or(0.0),
            engine: self.engine.map(RawEngine::convert),
        }
    }
}

impl RawEngine {
    fn convert(self) -> Engine {
        Engine {
            slots: self.slots.unwrap_or_default().saturating_convert(),
            kv_capacity: self.kv_capacity.unwrap_or_default().0,
            stride: self.stride.unwrap_or_default().saturating_convert(),
        }
    }
}

impl RawLimits {
    fn convert(self) -> Limits {
        let default = Limits::default();
        Limits {
            max_header_bytes: self
                .max_header_bytes
                .map_or(default.max_header_bytes, WholeNumber::saturating_convert),
            max_body_bytes: self
                .max_body_bytes
                .map_or(default.max_body_bytes, WholeNumber::saturating_convert),
            header_timeout_ms: self.header_timeout_ms.map_or(default.header_timeout_ms, |timeout| timeout.0),
            idle_timeout_ms: self.idle_timeout_ms.map_or(default.idle_timeout_ms, |timeout| timeout.0),
        }
    }
}
