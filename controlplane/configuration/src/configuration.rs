//! The operator's configuration: routes, services and limits.

use std::borrow::Cow;
use std::collections::HashMap;

use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::json::JsonError;
use crate::raw_configuration::RawConfiguration;

/// A complete configuration, as an operator submits it in one command.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The number that the operator gives the configuration; each new configuration has a higher one.
    pub generation: u64,
    /// The routes, in the operator's order.
    pub routes: Vec<Route>,
    /// The services, in the operator's order.
    pub services: Vec<Service>,
    /// Limits for the requests and connections of clients.
    pub limits: Limits,
    routes_by_host: HashMap<String, HostRoutes>,
}

/// The routes of one host.
#[derive(Clone, Debug, Default, PartialEq)]
struct HostRoutes {
    /// Maps a path prefix to an index into `Configuration::routes`.
    by_prefix: HashMap<String, usize>,
    /// The distinct lengths of the prefixes, in descending order.
    prefix_lengths: Vec<usize>,
}

/// The kind of a route, which determines whether its requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// Not idempotent: a request may run at most once for each attempt of a client.
    Unsafe,
    /// The response is a stream of events. Requests are treated like `Unsafe` ones, unless the route is
    /// resumable.
    Streaming,
}

/// A service that a route forwards to, and its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The index of the service in `Configuration::services`.
    pub service: usize,
    /// The weight of this backend relative to the other backends of the route.
    pub weight: f64,
}

/// The handling of requests for a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route; by default the host followed by the path prefix.
    pub name: String,
    /// The host for which the route accepts requests.
    pub host: String,
    /// The prefix of the paths for which the route accepts requests.
    pub path_prefix: String,
    /// The kind of the route, which determines whether its requests may be retried.
    pub kind: RouteKind,
    /// The time limit for a response, in milliseconds.
    pub timeout_ms: u64,
    /// The latency target, in milliseconds; by default `timeout_ms`.
    pub target_ms: u64,
    /// The priority of requests; 0 is the highest priority.
    pub priority: u8,
    /// The services to which requests are distributed.
    pub backends: Vec<Backend>,
    /// The maximum number of upstreams on which one attempt of a client may run.
    pub retries: u32,
    /// Whether a request prefers the upstream whose prefix cache contains the start of its prompt.
    pub sticky: bool,
    /// Whether a broken stream may be resumed on another upstream.
    pub resumable: bool,
    /// The target for the time between two successive events of a stream, in milliseconds.
    pub gap_aim_ms: Option<u64>,
    /// The regions in which requests may be served; empty for all.
    pub home_regions: Vec<String>,
}

/// A set of equivalent upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The name by which routes and heartbeats refer to the service.
    pub name: String,
    /// The path of the health check.
    pub health_path: String,
    /// The maximum number of connections to one upstream, summed over all balancers.
    pub max_conns: u32,
    /// The duration of the slow start of an upstream, in seconds.
    pub cold_s: f64,
    /// The capacity of an upstream during its slow start, in requests per second.
    pub cold_per_s: f64,
    /// The batch engine; `None` for services that don't serve a model.
    pub engine: Option<Engine>,
}

/// The batch engine of a model service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// The maximum number of requests in one batch.
    pub slots: u32,
    /// The capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// The number of tokens in one event of a stream.
    pub stride: u32,
}

/// Limits for the requests and connections of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The time limit for receiving the headers of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// The maximum time for which a connection may be idle, in milliseconds.
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

/// The reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    /// The document is not a JSON object with the keys of a configuration.
    #[snafu(display("the configuration can't be read: {source}"))]
    Unreadable {
        /// The error of the JSON parser.
        source: JsonError,
    },

    /// The kind of a route is not one of `safe`, `unsafe` and `streaming`.
    #[snafu(display("route `{route}` has the unknown kind `{kind}`"))]
    UnknownKind {
        /// The name of the route.
        route: String,
        /// The unknown kind.
        kind: String,
    },

    /// A route has neither a backend nor a split.
    #[snafu(display("route `{route}` names neither a backend nor a split"))]
    NoBackend {
        /// The name of the route.
        route: String,
    },

    /// A route has both a backend and a split.
    #[snafu(display("route `{route}` names both a backend and a split"))]
    BackendAndSplit {
        /// The name of the route.
        route: String,
    },

    /// A route names a service that the configuration does not define.
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
        /// The invalid weight.
        weight: f64,
    },

    /// The sum of the weights of a route is 0 or not finite.
    #[snafu(display("the weights of route `{route}` add up to {total}"))]
    InvalidTotalWeight {
        /// The name of the route.
        route: String,
        /// The sum of the weights.
        total: f64,
    },

    /// The timeout of a route is 0.
    #[snafu(display("`timeout_ms` of route `{route}` is 0"))]
    ZeroTimeout {
        /// The name of the route.
        route: String,
    },

    /// Two routes have the same host and path prefix.
    #[snafu(display("routes `{first_route}` and `{second_route}` share host and path prefix"))]
    DuplicateRoute {
        /// The name of the earlier route.
        first_route: String,
        /// The name of the later route.
        second_route: String,
    },

    /// Two services have the same name.
    #[snafu(display("two services have the name `{service}`"))]
    DuplicateServiceName {
        /// The name of the service.
        service: String,
    },

    /// A slow start value of a service is negative or not finite.
    #[snafu(display("`{key}` of service `{service}` is {value}, expected a number that is not negative"))]
    InvalidSlowStart {
        /// The name of the service.
        service: String,
        /// The key of the value.
        key: &'static str,
        /// The invalid value.
        value: f64,
    },

    /// The generation is `u64::MAX`, so no later configuration could have a higher one.
    #[snafu(display("no generation is left above {generation}"))]
    GenerationTooHigh {
        /// The generation.
        generation: u64,
    },
}

impl Configuration {
    /// Parses and validates a configuration. The caller checks whether its generation is higher than the
    /// current one.
    pub fn parse(bytes: &[u8]) -> Result<Configuration, ConfigurationError> {
        let raw: RawConfiguration = crate::json::parse(bytes).context(UnreadableSnafu)?;
        raw.validate()
    }

    /// Creates a configuration from its parts and validates it.
    pub fn new(
        generation: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Configuration, ConfigurationError> {
        ensure!(generation < u64::MAX, GenerationTooHighSnafu { generation });
        for service in &services {
            check_slow_start_value(service, "cold_s", service.cold_s)?;
            check_slow_start_value(service, "cold_per_s", service.cold_per_s)?;
        }
        for route in &routes {
            check_route(route, &services)?;
        }
        let routes_by_host = index_routes(&routes)?;
        Ok(Configuration { generation, routes, services, limits, routes_by_host })
    }

    /// Returns the index in `routes` of the route with the longest matching path prefix. A port in `host` is
    /// ignored; `path` must not include the query string.
    pub fn find_route(&self, host: &str, path: &str) -> Option<usize> {
        let host_routes = self.routes_by_host.get(normalize_host(host).as_ref())?;
        host_routes
            .prefix_lengths
            .iter()
            .filter_map(|&length| path.get(..length))
            .find_map(|prefix| host_routes.by_prefix.get(prefix).copied())
    }
}

fn check_slow_start_value(
    service: &Service,
    key: &'static str,
    value: f64,
) -> Result<(), ConfigurationError> {
    let is_valid = value.is_finite() && value >= 0.0;
    ensure!(is_valid, InvalidSlowStartSnafu { service: &service.name, key, value });
    Ok(())
}

fn check_route(route: &Route, services: &[Service]) -> Result<(), ConfigurationError> {
    let name = &route.name;
    ensure!(route.timeout_ms > 0, ZeroTimeoutSnafu { route: name });
    ensure!(!route.backends.is_empty(), NoBackendSnafu { route: name });
    for backend in &route.backends {
        let service = services
            .get(backend.service)
            .with_context(|| UnknownServiceSnafu { route: name, service: backend.service.to_string() })?;
        let weight = backend.weight;
        let is_valid = weight.is_finite() && weight >= 0.0;
        ensure!(is_valid, InvalidWeightSnafu { route: name, service: &service.name, weight });
    }
    let total: f64 = route.backends.iter().map(|backend| backend.weight).sum();
    ensure!(total.is_finite() && total > 0.0, InvalidTotalWeightSnafu { route: name, total });
    Ok(())
}

fn index_routes(routes: &[Route]) -> Result<HashMap<String, HostRoutes>, ConfigurationError> {
    let mut by_host: HashMap<String, HostRoutes> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let host_routes = by_host.entry(normalize_host(&route.host).into_owned()).or_default();
        if let Some(first_index) = host_routes.by_prefix.insert(route.path_prefix.clone(), index) {
            return DuplicateRouteSnafu { first_route: &routes[first_index].name, second_route: &route.name }
                .fail();
        }
        host_routes.prefix_lengths.push(route.path_prefix.len());
    }
    for host_routes in by_host.values_mut() {
        host_routes.prefix_lengths.sort_unstable_by(|a, b| b.cmp(a));
        host_routes.prefix_lengths.dedup();
    }
    Ok(by_host)
}

/// Converts a host to lower case and removes its port.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let name = strip_port(host);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn strip_port(host: &str) -> &str {
    if host.starts_with('[') {
        return host.find(']').map_or(host, |end| &host[..=end]);
    }
    host.split_once(':').map_or(host, |(name, _)| name)
}
