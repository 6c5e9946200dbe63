//! A client's request as it is sent on, and the route it goes by.

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
use whinspindle_routing::{InstanceTarget, RequestFacts};

use crate::events::Position;
use crate::headers::{
    DEADLINE, EXPECT_INSTANCE, EXPECT_VERSION, LAST_EVENT_ID, PRIORITY, REQUEST_ID, number, number_value,
    prompt_parts, strip_hop_by_hop, token_counts,
};
use crate::retry::RetryPolicy;

/// An answer has to leave so long before the client gives the request up.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// So much less time is told to an upstream than there is, for the way back.
const UPSTREAM_MARGIN: Duration = Duration::from_millis(10);
const LEAST_URGENT: u8 = 9;

/// A whole request of a client.
pub struct ClientRequest {
    pub method: Method,
    /// Path and query, as they came.
    pub target: Uri,
    pub host: String,
    /// Without those that concern the client's connection.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub id: Option<HeaderValue>,
    pub received: Instant,
    /// For how long the client waits.
    pub client_timeout: Option<Duration>,
    /// What the router wants to know; the route is filled in when it is asked.
    pub facts: RequestFacts,
}

impl ClientRequest {
    /// Takes a request apart. `received` is when its first bytes came.
    pub fn new(parts: Parts, body: Bytes, received: Instant) -> Self {
        let mut headers = parts.headers;
        let host = host_of(&parts.uri, &headers);
        strip_hop_by_hop(&mut headers);
        let had_length = headers.remove(CONTENT_LENGTH).is_some();
        if had_length || !body.is_empty() {
            headers.insert(CONTENT_LENGTH, number_value(body.len() as u64));
        }
        let (prompt_tokens, most_output_tokens) = token_counts(&headers);
        let prompt = prompt_parts(&headers);
        let facts = RequestFacts { prompt, prompt_tokens, most_output_tokens, ..RequestFacts::default() };
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

    /// Gives up what only another send would need.
    pub fn release(&mut self) {
        self.body = Bytes::new();
        self.headers = HeaderMap::new();
        self.facts = RequestFacts::default();
    }

    /// When the request is to be answered at the latest on a route with this time-out.
    pub fn due(&self, timeout: Duration) -> Instant {
        let client_timeout =
            self.client_timeout.map(|client_timeout| client_timeout.saturating_sub(ANSWER_MARGIN));
        self.received + client_timeout.map_or(timeout, |client_timeout| client_timeout.min(timeout))
    }

    /// The request as it goes to an upstream.
    pub fn to_upstream(
        &self,
        target: &InstanceTarget,
        matched: &MatchedRoute,
        due: Instant,
        resume: Option<Position>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        let left = due.saturating_duration_since(Instant::now()).saturating_sub(UPSTREAM_MARGIN);
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

/// Path and query alone, as upstreams expect them.
fn origin_form(uri: &Uri) -> Uri {
    if uri.authority().is_none() {
        return uri.clone();
    }
    uri.path_and_query().cloned().map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// The route of a request in one configuration, and the service that was drawn for it.
#[derive(Clone)]
pub struct MatchedRoute {
    pub configuration: Arc<Configuration>,
    /// Index into the configuration's routes.
    pub route: usize,
    /// Index into the configuration's services.
    pub service: usize,
}

impl MatchedRoute {
    pub fn route(&self) -> &Route {
        &self.configuration.routes[self.route]
    }

    pub fn service(&self) -> &Service {
        &self.configuration.services[self.service]
    }

    /// What may be repeated of a request on this route.
    pub fn retry_policy(&self) -> RetryPolicy {
        let route = self.route();
        let idempotent = match route.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => route.resumable,
        };
        RetryPolicy { idempotent, most_runs: route.retries.max(1) }
    }

    /// The same route and service in a newer configuration, if both still belong together.
    pub fn moved_to(&self, newer: &Arc<Configuration>, host: &str, path: &str) -> Option<MatchedRoute> {
        let route = newer.find_route(host, path)?;
        let name = &self.service().name;
        let backends = &newer.routes[route].backends;
        let backend = backends.iter().find(|backend| &newer.services[backend.service].name == name)?;
        Some(MatchedRoute { configuration: Arc::clone(newer), route, service: backend.service })
    }
}
