//! Requests to servers (executions and probes) and their replies.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use whinspindle::host::{LoadReport, Outcome};

use crate::answer::ServerResponse;
use crate::headers;
use crate::query::ForwardedQuery;
use crate::report;

/// Encodes an execution. `timeout_us` is how long this balancer waits for the reply.
pub fn encode_execution(query: &ForwardedQuery, server: SocketAddr, timeout_us: u64) -> Request<Full<Bytes>> {
    let mut headers = query.headers.clone();
    headers.insert(HOST, host(server));
    headers.insert(headers::EXPIRES, HeaderValue::from(timeout_us / 1000));
    if !query.body.is_empty() || query.method != Method::GET {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(query.body.len()));
    }
    let target = query.target.path_and_query().map_or("/", |target| target.as_str());
    request(query.method.clone(), target, headers, query.body.clone())
}

/// Encodes a probe for liveness, and for load if the deployment has load reports.
pub fn encode_probe(server: SocketAddr, has_reports: bool) -> Request<Full<Bytes>> {
    let headers = HeaderMap::from_iter([(HOST, host(server))]);
    request(Method::GET, if has_reports { "/load" } else { "/healthz" }, headers, Bytes::new())
}

fn host(server: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&server.to_string()).unwrap_or(HeaderValue::from_static("upstream"))
}

fn request(method: Method, target: &str, headers: HeaderMap, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = target.parse().unwrap_or(Uri::from_static("/"));
    *request.headers_mut() = headers;
    request
}

/// A server's reply.
#[derive(Debug)]
pub struct Reply {
    /// Outcome of the execution.
    pub outcome: Outcome,
    /// Load report in the reply.
    pub report: LoadReport,
    /// The response for the client; only with `Outcome::Completed`.
    pub response: Option<ServerResponse>,
}

impl Reply {
    /// Decodes a server's response; `columns` names the load figures of the deployment.
    pub fn decode(response: Response<Bytes>, columns: &[String]) -> Reply {
        let (parts, body) = response.into_parts();
        let report_headers =
            parts.headers.get_all(headers::LOAD).iter().filter_map(|value| value.to_str().ok());
        let report = report_headers
            .fold(LoadReport::default(), |merged, text| report::decode(text, columns).or(merged));
        let never_ran = parts.headers.get(headers::NEVER_RAN).is_some_and(|value| value == "1");
        let outcome = match parts.status {
            StatusCode::OK => Outcome::Completed,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Outcome::Rejected,
            // Other client errors do not count against the server, so that one client's invalid queries do
            // not eject servers.
            StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
            status if status.is_client_error() => Outcome::ClientError,
            _ => Outcome::Error,
        };
        let response = (outcome == Outcome::Completed)
            .then(|| ServerResponse { headers: headers::end_to_end(&parts.headers, headers::LOAD), body });
        Reply { outcome, report, response }
    }

    /// Decodes the reply to a probe: whether the server is healthy, and its load.
    pub fn decode_probe(response: Response<Bytes>, columns: &[String]) -> (bool, LoadReport) {
        let text = String::from_utf8_lossy(response.body());
        (response.status() == StatusCode::OK, report::decode(&text, columns))
    }
}
