//! A client's request as it is forwarded, and the route that it matches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use tokio::time::Instant;
use whinspindle_configuration::{Configuration, Route, RouteKind, Service};
use whinspindle_routing::{InstanceTarget, RequestInfo};

use crate::events::Position;
use crate::headers::{
    DEADLINE, EXPECT_INSTANCE, EXPECT_VERSION, LAST_EVENT_ID, PRIORITY, REQUEST_ID, number, number_value,
    prompt_parts, strip_hop_by_hop, token_counts,
};
use crate::retry::RetryPolicy;

/// An answer has to leave this long before the client's deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// The deadline of an upstream is this much earlier, for the way back.
const UPSTREAM_MARGIN: Duration = Duration::from_millis(10);
/// The highest number that `Priority` may carry.
const LEAST_URGENT: u8 = 9;

/// A complete request of a client.
pub struct ClientRequest {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// Host by the `Host` header, or by an absolute target.
    pub host: String,
    /// Headers without those of the client's connection (hop-by-hop headers).
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The request's id, if the client gave one.
    pub id: Option<HeaderValue>,
    /// When its first bytes were received.
    pub received: Instant,
    /// How long the client waits, if it says so.
    pub client_timeout: Option<Duration>,
    /// The facts for the router; the route is filled in at each choice.
    pub facts: RequestInfo,
}

impl ClientRequest {
    /// A request of these parts; `received` is when its first bytes were received.
    pub fn new(parts: Parts, body: Bytes, received: Instant) -> Self {
        let mut headers = parts.headers;
        let host = host_of(&parts.uri, &headers);
        strip_hop_by_hop(&mut headers);
        let had_length = headers.remove(CONTENT_LENGTH).is_some();
        if had_length || !body.is_empty() {
            headers.insert(CONTENT_LENGTH, number_value(body.len() as u64));
        }
        let (prompt_tokens, max_output_tokens) = token_counts(&headers);
        let prompt = prompt_parts(&headers);
        let facts = RequestInfo { prompt, prompt_tokens, max_output_tokens, ..RequestInfo::default() };
        ClientRequest {
            method: parts.method,
            target: origin_form(&parts.uri),
            host,
            id: headers.get(REQUEST_ID).cloned(),
            client_timeout: number(&headers, &DEADLINE).map(Duration::from_millis),
            facts,
            headers,
            body,
            received,
        }
    }

    /// Releases what only another attempt would need.
    pub fn release(&mut self) {
        self.body = Bytes::new();
        self.headers = HeaderMap::new();
        self.facts = RequestInfo::default();
    }

    /// The deadline of the answer on a route with this time-out.
    pub fn deadline(&self, timeout: Duration) -> Instant {
        let client_timeout =
            self.client_timeout.map(|client_timeout| client_timeout.saturating_sub(ANSWER_MARGIN));
        self.received + client_timeout.map_or(timeout, |client_timeout| client_timeout.min(timeout))
    }

    /// The request as it is forwarded to an upstream.
    pub fn to_upstream(
        &self,
        target: &InstanceTarget,
        matched: &MatchedRoute,
        deadline: Instant,
        resume: Option<Position>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        let left = deadline.saturating_duration_since(Instant::now()).saturating_sub(UPSTREAM_MARGIN);
        headers.insert(DEADLINE, number_value(left.as_millis() as u64));
        if let Ok(id) = HeaderValue::from_str(&target.id) {
            headers.insert(EXPECT_INSTANCE, id);
        }
        if !headers.contains_key(HOST) {
            set_host(&mut headers, &self.host, target.address);
        }
        if matched.service().engine.is_some() {
            let priority = matched.route().priority.min(LEAST_URGENT);
            headers.insert(PRIORITY, number_value(priority.into()));
        }
        if let Some(resume) = resume {
            set_resume(&mut headers, resume);
        }
        *request.headers_mut() = headers;
        request
    }
}

fn set_host(headers: &mut HeaderMap, host: &str, address: SocketAddr) {
    let host = if host.is_empty() { address.to_string() } else { host.to_owned() };
    if let Ok(host) = HeaderValue::from_str(&host) {
        headers.insert(HOST, host);
    }
}

fn set_resume(headers: &mut HeaderMap, resume: Position) {
    if let Some(id) = resume.last_id {
        headers.insert(LAST_EVENT_ID, number_value(id));
    }
    if let Some(versions) = resume.versions {
        headers.insert(EXPECT_VERSION, number_value(versions));
    }
}

/// The host that a request names.
pub(crate) fn host_of(uri: &Uri, headers: &HeaderMap) -> String {
    let header = headers.get(HOST).and_then(|host| host.to_str().ok());
    header.or_else(|| uri.authority().map(|authority| authority.as_str())).unwrap_or_default().to_owned()
}

/// The target in origin form (path and query), as upstreams expect it.
fn origin_form(uri: &Uri) -> Uri {
    if uri.authority().is_none() {
        return uri.clone();
    }
    uri.path_and_query().cloned().map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// The route of a request in one configuration, and the service that was drawn for it.
#[derive(Clone)]
pub struct MatchedRoute {
    /// The configuration under which the request was matched.
    pub configuration: Arc<Configuration>,
    /// Index into the configuration's routes.
    pub route: usize,
    /// Index into the configuration's services.
    pub service: usize,
}

impl MatchedRoute {
    /// The route.
    pub fn route(&self) -> &Route {
        &self.configuration.routes[self.route]
    }

    /// The service.
    pub fn service(&self) -> &Service {
        &self.configuration.services[self.service]
    }

    /// The retry policy of the route.
    pub fn retry_policy(&self) -> RetryPolicy {
        let route = self.route();
        let idempotent = match route.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => route.resumable,
        };
        RetryPolicy { idempotent, most_runs: route.retries.max(1) }
    }

    /// The route in a newer configuration, if it still has the same service as a backend.
    pub fn moved_to(&self, newer: &Arc<Configuration>, host: &str, path: &str) -> Option<MatchedRoute> {
        let route = newer.find_route(host, path)?;
        let name = &self.service().name;
        let backends = &newer.routes[route].backends;
        let backend = backends.iter().find(|backend| &newer.services[backend.service].name == name)?;
        Some(MatchedRoute { configuration: Arc::clone(newer), route, service: backend.service })
    }
}
