//! The operator's configuration: routes, services and limits.

use std::borrow::Cow;
use std::collections::HashMap;

use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::json::JsonError;
use crate::raw_configuration::RawConfiguration;

/// A complete configuration, as one command of an operator carries it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The operator's number of the configuration; rises with each one.
    pub generation: u64,
    /// The routes, in the operator's order.
    pub routes: Vec<Route>,
    /// The services, in the operator's order.
    pub services: Vec<Service>,
    /// Bounds of what clients may send.
    pub limits: Limits,
    routes_by_host: HashMap<String, HostRoutes>,
}

/// The routes of one host.
#[derive(Clone, Debug, Default, PartialEq)]
struct HostRoutes {
    /// Index into `Configuration::routes`.
    by_prefix: HashMap<String, usize>,
    /// The distinct lengths of the prefixes, longest first.
    prefix_lengths: Vec<usize>,
}

/// Whether requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// A request may run at most once for each attempt of a client.
    Unsafe,
    /// The answer is a stream of events; as `Unsafe`, unless the route is resumable.
    Streaming,
}

/// A service that a route forwards to, and its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Index into `Configuration::services`.
    pub service: usize,
    /// The weight among the backends of the route.
    pub weight: f64,
}

/// The handling of requests for a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route; host and path prefix if the operator names none.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The start of the path.
    pub path_prefix: String,
    /// Whether requests may be retried.
    pub kind: RouteKind,
    /// The deadline of an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The latency target, in milliseconds; the time-out if the operator names none.
    pub target_ms: u64,
    /// The priority of requests; 0 is the highest.
    pub priority: u8,
    /// The services that requests are distributed to.
    pub backends: Vec<Backend>,
    /// The largest number of upstreams on which one attempt of a client may run.
    pub retries: u32,
    /// Whether requests have affinity to the upstream whose prefix cache they can use.
    pub sticky: bool,
    /// Whether a broken stream may be resumed on another upstream.
    pub resumable: bool,
    /// The target for the time between two events of a stream, in milliseconds.
    pub gap_aim_ms: Option<u64>,
    /// The regions in which requests may be served; empty for all.
    pub home_regions: Vec<String>,
}

/// A set of equivalent upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The name that routes and heartbeats use.
    pub name: String,
    /// The path of its health check.
    pub health_path: String,
    /// The largest number of connections of all balancers together to one upstream.
    pub max_conns: u32,
    /// The length of the slow start, in seconds.
    pub cold_s: f64,
    /// The requests a second that an upstream bears during its slow start.
    pub cold_per_s: f64,
    /// The batch engine, for a model service.
    pub engine: Option<Engine>,
}

/// The batch engine of a model service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// The capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// The number of tokens in one event of a stream.
    pub stride: u32,
}

/// Bounds of what a client may send, and of the time it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The largest size of a request's headers.
    pub max_header_bytes: usize,
    /// The largest size of a request's body.
    pub max_body_bytes: usize,
    /// The time in which the headers have to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// The time for which a connection may be idle, in milliseconds.
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
    /// The document is no JSON object of a configuration.
    #[snafu(display("the configuration can't be read: {source}"))]
    Unreadable {
        /// What is wrong, and where.
        source: JsonError,
    },

    /// The kind of a route is none of [`RouteKind`].
    #[snafu(display("route `{route}` has the unknown kind `{kind}`"))]
    UnknownKind {
        /// The name of the route.
        route: String,
        /// The value.
        kind: String,
    },

    /// A route names no service.
    #[snafu(display("route `{route}` names neither a backend nor a split"))]
    NoBackend {
        /// The name of the route.
        route: String,
    },

    /// A route names its services in both ways.
    #[snafu(display("route `{route}` names both a backend and a split"))]
    BackendAndSplit {
        /// The name of the route.
        route: String,
    },

    /// A route names a service that the configuration lacks.
    #[snafu(display("route `{route}` names the unknown service `{service}`"))]
    UnknownService {
        /// The name of the route.
        route: String,
        /// The name of the service.
        service: String,
    },

    /// A weight is negative or not finite.
    #[snafu(display("route `{route}` gives `{service}` the weight {weight}"))]
    InvalidWeight {
        /// The name of the route.
        route: String,
        /// The name of the service.
        service: String,
        /// The value.
        weight: f64,
    },

    /// The weights of a route are all 0, or not finite together.
    #[snafu(display("the weights of route `{route}` add up to {total}"))]
    InvalidTotalWeight {
        /// The name of the route.
        route: String,
        /// The sum of the weights.
        total: f64,
    },

    /// A route has the time-out 0.
    #[snafu(display("`timeout_ms` of route `{route}` is 0"))]
    NoTimeout {
        /// The name of the route.
        route: String,
    },

    /// Two routes have the same host and path prefix.
    #[snafu(display("routes `{first}` and `{second}` share host and path prefix"))]
    SharedPrefix {
        /// The name of the earlier route.
        first: String,
        /// The name of the later route.
        second: String,
    },

    /// Two services have the same name.
    #[snafu(display("two services have the name `{service}`"))]
    SharedServiceName {
        /// The name of the service.
        service: String,
    },

    /// A value of a service's slow start is negative or not finite.
    #[snafu(display("`{key}` of service `{service}` is {value}, expected a number that is not negative"))]
    InvalidSlowStart {
        /// The name of the service.
        service: String,
        /// The key of the value.
        key: &'static str,
        /// The value.
        value: f64,
    },

    /// The generation is the highest there is: none could follow.
    #[snafu(display("no generation is left above {generation}"))]
    LastGeneration {
        /// The generation.
        generation: u64,
    },
}

impl Configuration {
    /// Parses and validates a configuration. Whether its generation may follow the present one is left to the caller.
    pub fn parse(bytes: &[u8]) -> Result<Configuration, ConfigurationError> {
        let raw: RawConfiguration = crate::json::parse(bytes).context(UnreadableSnafu)?;
        raw.check()
    }

    /// Builds a configuration from its parts, and validates them.
    pub fn new(
        generation: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Configuration, ConfigurationError> {
        ensure!(generation < u64::MAX, LastGenerationSnafu { generation });
        for service in &services {
            check_slow_start(service, "cold_s", service.cold_s)?;
            check_slow_start(service, "cold_per_s", service.cold_per_s)?;
        }
        for route in &routes {
            check_route(route, &services)?;
        }
        let routes_by_host = index_routes(&routes)?;
        Ok(Configuration { generation, routes, services, limits, routes_by_host })
    }

    /// The route with the longest prefix of the path, as an index into `routes`. The host may have a port; the path comes
    /// without its query.
    pub fn find_route(&self, host: &str, path: &str) -> Option<usize> {
        let host_routes = self.routes_by_host.get(normalize_host(host).as_ref())?;
        host_routes
            .prefix_lengths
            .iter()
            .filter_map(|&length| path.get(..length))
            .find_map(|prefix| host_routes.by_prefix.get(prefix).copied())
    }
}

fn check_slow_start(service: &Service, key: &'static str, value: f64) -> Result<(), ConfigurationError> {
    let valid = value.is_finite() && value >= 0.0;
    ensure!(valid, InvalidSlowStartSnafu { service: &service.name, key, value });
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
