//! The operator's configuration: routes, services and limits.

use std::borrow::Cow;
use std::collections::HashMap;

use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::json::JsonError;
use crate::raw_configuration::RawConfiguration;

/// A whole configuration, as one order of the operator carries it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    pub generation: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Limits,
    routes_by_host: HashMap<String, HostRoutes>,
}

/// The routes of one host.
#[derive(Clone, Debug, Default, PartialEq)]
struct HostRoutes {
    /// Index into `Configuration::routes`.
    by_prefix: HashMap<String, usize>,
    /// The lengths that occur among the prefixes, longest first.
    prefix_lengths: Vec<usize>,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// May run at most once for each try of a client.
    Unsafe,
    /// Answers with events; as `Unsafe`, unless the route is resumable.
    Streaming,
}

/// A service that a route sends to, and its share of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Index into `Configuration::services`.
    pub service: usize,
    pub weight: f64,
}

/// What a host and a path prefix stand for.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub kind: RouteKind,
    pub timeout_ms: u64,
    pub target_ms: u64,
    /// 0 is the highest.
    pub priority: u8,
    pub backends: Vec<Backend>,
    /// The most upstreams on which one try may run.
    pub retries: u32,
    pub sticky: bool,
    pub resumable: bool,
    pub gap_aim_ms: Option<u64>,
    /// Empty: every region may serve.
    pub home_regions: Vec<String>,
}

/// A set of alike upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    pub max_conns: u32,
    pub cold_s: f64,
    pub cold_per_s: f64,
    pub engine: Option<Engine>,
}

/// The batch engine of a model service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    pub slots: u32,
    pub kv_capacity: u64,
    pub stride: u32,
}

/// Bounds of what a client may send and of how long it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    #[snafu(display("the configuration can't be read: {source}"))]
    Unreadable { source: JsonError },

    #[snafu(display("route `{route}` has the unknown kind `{kind}`"))]
    UnknownKind { route: String, kind: String },

    #[snafu(display("route `{route}` names neither a backend nor a split"))]
    NoBackend { route: String },

    #[snafu(display("route `{route}` names both a backend and a split"))]
    BackendAndSplit { route: String },

    #[snafu(display("route `{route}` names the unknown service `{service}`"))]
    UnknownService { route: String, service: String },

    #[snafu(display("route `{route}` gives `{service}` the weight {weight}"))]
    InvalidWeight { route: String, service: String, weight: f64 },

    #[snafu(display("the weights of route `{route}` add up to {total}"))]
    InvalidTotalWeight { route: String, total: f64 },

    #[snafu(display("`timeout_ms` of route `{route}` is 0"))]
    NoTimeout { route: String },

    #[snafu(display("routes `{first}` and `{second}` share host and path prefix"))]
    SharedPrefix { first: String, second: String },

    #[snafu(display("two services have the name `{service}`"))]
    SharedServiceName { service: String },

    #[snafu(display("`{key}` of service `{service}` is {value}, expected a number that is not negative"))]
    InvalidCold { service: String, key: &'static str, value: f64 },

    #[snafu(display("no generation is left above {generation}"))]
    LastGeneration { generation: u64 },
}

impl Configuration {
    /// Reads and checks an order of the operator. Whether its generation may follow the present one is left to the
    /// caller.
    pub fn parse(bytes: &[u8]) -> Result<Configuration, ConfigurationError> {
        let raw: RawConfiguration = crate::json::parse(bytes).context(UnreadableSnafu)?;
        raw.check()
    }

    /// Builds a configuration from parts that were checked, except for what concerns several routes.
    pub fn new(
        generation: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Configuration, ConfigurationError> {
        ensure!(generation < u64::MAX, LastGenerationSnafu { generation });
        for service in &services {
            check_cold(service, "cold_s", service.cold_s)?;
            check_cold(service, "cold_per_s", service.cold_per_s)?;
        }
        for route in &routes {
            check_route(route, &services)?;
        }
        let routes_by_host = index_routes(&routes)?;
        Ok(Configuration { generation, routes, services, limits, routes_by_host })
    }

    /// The route whose prefix is the longest among those that begin the path, as an index into `routes`. The host may
    /// carry a port; the path comes without its query.
    pub fn find_route(&self, host: &str, path: &str) -> Option<usize> {
        let host_routes = self.routes_by_host.get(normalize_host(host).as_ref())?;
        host_routes
            .prefix_lengths
            .iter()
            .filter_map(|&length| path.get(..length))
            .find_map(|prefix| host_routes.by_prefix.get(prefix).copied())
    }
}

fn check_cold(service: &Service, key: &'static str, value: f64) -> Result<(), ConfigurationError> {
    let valid = value.is_finite() && value >= 0.0;
    ensure!(valid, InvalidColdSnafu { service: &service.name, key, value });
    Ok(())
}

fn check_route(route: &Route, services: &[Service]) -> Result<(), ConfigurationError> {
    let name = &route.name;
    ensure!(route.timeout_ms > 0, NoTimeoutSnafu { route: name });
    ensure!(!route.backends.is_empty(), NoBackendSnafu { route: name });
    for backend in &route.backends {
        let service = services
            .get(backend.service)
            .with_context(|| UnknownServiceSnafu { route: name, service: backend.service.to_string() })?;
        let weight = backend.weight;
        let valid = weight.is_finite() && weight >= 0.0;
        ensure!(valid, InvalidWeightSnafu { route: name, service: &service.name, weight });
    }
    let total: f64 = route.backends.iter().map(|backend| backend.weight).sum();
    ensure!(total.is_finite() && total > 0.0, InvalidTotalWeightSnafu { route: name, total });
    Ok(())
}

fn index_routes(routes: &[Route]) -> Result<HashMap<String, HostRoutes>, ConfigurationError> {
    let mut by_host: HashMap<String, HostRoutes> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let host_routes = by_host.entry(normalize_host(&route.host).into_owned()).or_default();
        if let Some(first) = host_routes.by_prefix.insert(route.path_prefix.clone(), index) {
            return SharedPrefixSnafu { first: &routes[first].name, second: &route.name }.fail();
        }
        host_routes.prefix_lengths.push(route.path_prefix.len());
    }
    for host_routes in by_host.values_mut() {
        host_routes.prefix_lengths.sort_unstable_by(|a, b| b.cmp(a));
        host_routes.prefix_lengths.dedup();
    }
    Ok(by_host)
}

/// The host in lower case and without a port.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let name = without_port(host);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn without_port(host: &str) -> &str {
    if host.starts_with('[') {
        return host.find(']').map_or(host, |end| &host[..=end]);
    }
    host.split_once(':').map_or(host, |(name, _)| name)
}
