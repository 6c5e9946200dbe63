//! A client's request and its matched route.

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

use crate::events::StreamPosition;
use crate::headers::{
    DEADLINE, EXPECT_INSTANCE, EXPECT_VERSION, LAST_EVENT_ID, PRIORITY, REQUEST_ID, number_header,
    number_value, prompt_parts, strip_hop_by_hop, token_counts,
};
use crate::retry::RetryPolicy;

/// Time before the client's deadline by which the answer must be sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Time by which an upstream's deadline is earlier than the proxy's, for the transmission of the answer.
const UPSTREAM_MARGIN: Duration = Duration::from_millis(10);
/// The largest value of the header `Priority`, which is the lowest priority.
const LOWEST_PRIORITY: u8 = 9;

/// A complete request of a client.
pub struct ClientRequest {
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// The host from the `Host` header or an absolute target.
    pub host: String,
    /// The headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The request's id, if the client gave one.
    pub id: Option<HeaderValue>,
    /// When the first bytes of the request were received.
    pub received_at: Instant,
    /// The client's time-out, if given.
    pub client_timeout: Option<Duration>,
    /// The input of the router, whose route is set for each attempt.
    pub request_info: RequestInfo,
}

impl ClientRequest {
    /// Creates a request; `received_at` is when its first bytes were received.
    pub fn new(parts: Parts, body: Bytes, received_at: Instant) -> Self {
        let mut headers = parts.headers;
        let host = host_of(&parts.uri, &headers);
        strip_hop_by_hop(&mut headers);
        let had_length = headers.remove(CONTENT_LENGTH).is_some();
        if had_length || !body.is_empty() {
            headers.insert(CONTENT_LENGTH, number_value(body.len() as u64));
        }
        let (prompt_tokens, max_output_tokens) = token_counts(&headers);
        let prompt = prompt_parts(&headers);
        let request_info = RequestInfo { prompt, prompt_tokens, max_output_tokens, ..RequestInfo::default() };
        ClientRequest {
            method: parts.method,
            target: origin_form(&parts.uri),
            host,
            id: headers.get(REQUEST_ID).cloned(),
            client_timeout: number_header(&headers, &DEADLINE).map(Duration::from_millis),
            request_info,
            headers,
            body,
            received_at,
        }
    }

    /// Releases the data that only another attempt would need.
    pub fn release(&mut self) {
        self.body = Bytes::new();
        self.headers = HeaderMap::new();
        self.request_info = RequestInfo::default();
    }

    /// Returns the deadline of the answer on a route with this time-out.
    pub fn deadline(&self, timeout: Duration) -> Instant {
        let client_timeout =
            self.client_timeout.map(|client_timeout| client_timeout.saturating_sub(ANSWER_MARGIN));
        self.received_at + client_timeout.map_or(timeout, |client_timeout| client_timeout.min(timeout))
    }

    /// Builds the request to forward to an upstream.
    pub fn to_upstream(
        &self,
        target: &InstanceTarget,
        matched_route: &MatchedRoute,
        deadline: Instant,
        resume: Option<StreamPosition>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        let time_left = deadline.saturating_duration_since(Instant::now()).saturating_sub(UPSTREAM_MARGIN);
        headers.insert(DEADLINE, number_value(time_left.as_millis() as u64));
        if let Ok(id) = HeaderValue::from_str(&target.id) {
            headers.insert(EXPECT_INSTANCE, id);
        }
        if !headers.contains_key(HOST) {
            set_host(&mut headers, &self.host, target.address);
        }
        if matched_route.service().engine.is_some() {
            let priority = matched_route.route().priority.min(LOWEST_PRIORITY);
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

fn set_resume(headers: &mut HeaderMap, resume: StreamPosition) {
    if let Some(id) = resume.last_id {
        headers.insert(LAST_EVENT_ID, number_value(id));
    }
    if let Some(versions) = resume.versions {
        headers.insert(EXPECT_VERSION, number_value(versions));
    }
}

/// Returns the host of a request, from the `Host` header or the target.
pub(crate) fn host_of(uri: &Uri, headers: &HeaderMap) -> String {
    let header = headers.get(HOST).and_then(|host| host.to_str().ok());
    header.or_else(|| uri.authority().map(|authority| authority.as_str())).unwrap_or_default().to_owned()
}

/// Converts the target to origin form (path and query), as upstreams expect it.
fn origin_form(uri: &Uri) -> Uri {
    if uri.authority().is_none() {
        return uri.clone();
    }
    uri.path_and_query().cloned().map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// The route of a request in a configuration, and the service that was chosen at random from its backends.
#[derive(Clone)]
pub struct MatchedRoute {
    /// The configuration that contains the route.
    pub configuration: Arc<Configuration>,
    /// Index into the configuration's routes.
    pub route: usize,
    /// Index into the configuration's services.
    pub service: usize,
}

impl MatchedRoute {
    /// Returns the route.
    pub fn route(&self) -> &Route {
        &self.configuration.routes[self.route]
    }

    /// Returns the service.
    pub fn service(&self) -> &Service {
        &self.configuration.services[self.service]
    }

    /// Returns the retry policy of the route.
    pub fn retry_policy(&self) -> RetryPolicy {
        let route = self.route();
        let idempotent = match route.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => route.resumable,
        };
        RetryPolicy { idempotent, max_runs: route.retries.max(1) }
    }

    /// Matches the request in a newer configuration, if the route there still has the same service as a
    /// backend.
    pub fn rematch(&self, newer: &Arc<Configuration>, host: &str, path: &str) -> Option<MatchedRoute> {
        let route = newer.find_route(host, path)?;
        let name = &self.service().name;
        let backends = &newer.routes[route].backends;
        let backend = backends.iter().find(|backend| &newer.services[backend.service].name == name)?;
        Some(MatchedRoute { configuration: Arc::clone(newer), route, service: backend.service })
    }
}
