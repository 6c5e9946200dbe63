//! An execution or a probe as it goes to a server, and what comes back.

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

/// `wait` is how long this balancer waits for the reply, in microseconds.
pub fn encode_execution(query: &ForwardedQuery, server: SocketAddr, wait: u64) -> Request<Full<Bytes>> {
    let mut headers = query.headers.clone();
    headers.insert(HOST, host(server));
    headers.insert(headers::EXPIRES, HeaderValue::from(wait / 1000));
    if !query.body.is_empty() || query.method != Method::GET {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(query.body.len()));
    }
    let target = query.target.path_and_query().map_or("/", |target| target.as_str());
    request(query.method.clone(), target, headers, query.body.clone())
}

/// Asks a server for a sign of life, and for its load where the deployment has load reports.
pub fn encode_probe(server: SocketAddr, reports: bool) -> Request<Full<Bytes>> {
    let headers = HeaderMap::from_iter([(HOST, host(server))]);
    request(Method::GET, if reports { "/load" } else { "/healthz" }, headers, Bytes::new())
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

/// What a server sent back.
#[derive(Debug)]
pub struct Reply {
    /// What the reply means for the query.
    pub outcome: Outcome,
    /// The load that the server reported with it.
    pub report: LoadReport,
    /// Only with `Outcome::Completed`.
    pub response: Option<ServerResponse>,
}

impl Reply {
    /// Reads a server's response; `columns` names the load figures of the deployment.
    pub fn decode(response: Response<Bytes>, columns: &[String]) -> Reply {
        let (parts, body) = response.into_parts();
        let reports = parts.headers.get_all(headers::LOAD).iter().filter_map(|value| value.to_str().ok());
        let report = reports.fold(LoadReport::default(), |told, text| report::decode(text, columns).or(told));
        let never_ran = parts.headers.get(headers::NEVER_RAN).is_some_and(|value| value == "1");
        let outcome = match parts.status {
            StatusCode::OK => Outcome::Completed,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Outcome::Rejected,
            // Guards against one client's bad queries making all servers look broken.
            StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
            status if status.is_client_error() => Outcome::ClientError,
            _ => Outcome::Error,
        };
        let served = (outcome == Outcome::Completed)
            .then(|| ServerResponse { headers: headers::end_to_end(&parts.headers, headers::LOAD), body });
        Reply { outcome, report, response: served }
    }

    /// What a probe tells: whether the server is well, and its load.
    pub fn decode_probe(response: Response<Bytes>, columns: &[String]) -> (bool, LoadReport) {
        let text = String::from_utf8_lossy(response.body());
        (response.status() == StatusCode::OK, report::decode(&text, columns))
    }
}
