//! Decoding of queries from clients or from the tier above.

use std::fmt;

use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use whinspindle::host::Effect;
use whinspindle_deployment_settings::{Deployment, index_of};

use crate::headers;

/// Maximum body size of a query. Longer answers need memory from a separate budget.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A query without its body.
#[derive(Debug)]
pub struct QueryHead {
    /// Index of the product.
    pub product: usize,
    /// Index of the tenant; the number of tenants if the settings do not contain it.
    pub tenant: usize,
    /// How long the client waits after its last byte, in microseconds.
    pub client_timeout_us: u64,
    trace: HeaderValue,
    method: Method,
    target: Uri,
    headers: HeaderMap,
}

/// The parts of a query that are forwarded to servers; kept for retries.
#[derive(Debug)]
pub struct ForwardedQuery {
    /// Trace id, unique among open queries.
    pub trace: HeaderValue,
    /// The method.
    pub method: Method,
    /// The path and query string.
    pub target: Uri,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Why a query is refused.
#[derive(Debug, PartialEq, Eq)]
pub struct QueryError {
    /// HTTP status of the refusal.
    pub status: StatusCode,
    /// The invalid header or part.
    pub field: &'static str,
    /// Description of the problem.
    pub message: &'static str,
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

fn bad_request(field: &'static str, message: &'static str) -> QueryError {
    QueryError { status: StatusCode::BAD_REQUEST, field, message }
}

fn header<'a>(parts: &'a Parts, name: &'static str) -> Result<Option<&'a str>, QueryError> {
    headers::single(&parts.headers, name).map_err(|message| bad_request(name, message))
}

/// The error for a query whose trace id is used by an open query.
pub const DUPLICATE_TRACE: QueryError =
    QueryError { status: StatusCode::CONFLICT, field: headers::TRACE, message: "is that of an open query" };

impl QueryHead {
    /// Decodes and validates the head of a query.
    pub fn decode(parts: &Parts, deployment: &Deployment) -> Result<QueryHead, QueryError> {
        if parts.method != Method::GET && parts.method != Method::POST {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(QueryError { status, field: "method", message: "neither GET nor POST" });
        }
        if parts.uri.path_and_query().is_none() {
            return Err(bad_request("target", "has no path"));
        }
        // Prevents request smuggling: servers and balancers could interpret the length differently.
        if parts.headers.contains_key(TRANSFER_ENCODING) {
            let status = StatusCode::LENGTH_REQUIRED;
            return Err(QueryError {
                status,
                field: "transfer-encoding",
                message: "instead of a content-length",
            });
        }
        if header(parts, headers::TRACE)?.is_none_or(str::is_empty) {
            return Err(bad_request(headers::TRACE, "is missing"));
        }
        let trace = parts.headers[headers::TRACE].clone();
        let product =
            header(parts, headers::PRODUCT)?.ok_or_else(|| bad_request(headers::PRODUCT, "is missing"))?;
        let product = index_of(&deployment.products, product)
            .ok_or_else(|| bad_request(headers::PRODUCT, "is not a known class"))?;
        let effect = deployment.balancer_settings.products[product].effect;
        if parts.method == Method::GET && effect != Effect::Idempotent {
            return Err(bad_request("method", "GET for a class that is not safe to repeat"));
        }
        // Servers need the key to recognize duplicates.
        if matches!(effect, Effect::Deduplicated(_)) && header(parts, headers::KEY)?.is_none_or(str::is_empty)
        {
            return Err(bad_request(headers::KEY, "is missing"));
        }
        let tenant = header(parts, headers::TENANT)?.and_then(|name| index_of(&deployment.tenants, name));
        let max_timeout_us = deployment.statement_timeouts_us[product];
        let client_timeout_us = match header(parts, headers::EXPIRES)? {
            None => max_timeout_us,
            Some(ms) => ms
                .parse::<u64>()
                .map_err(|_| bad_request(headers::EXPIRES, "is not a whole number"))?
                .saturating_mul(1000)
                .min(max_timeout_us),
        };
        Ok(QueryHead {
            product,
            tenant: tenant.unwrap_or(deployment.tenants.len()),
            client_timeout_us,
            trace,
            method: parts.method.clone(),
            target: parts.uri.clone(),
            headers: headers::end_to_end(&parts.headers, headers::EXPIRES),
        })
    }

    /// Adds the complete body.
    pub fn with_body(self, body: Bytes) -> ForwardedQuery {
        let QueryHead { trace, method, target, headers, .. } = self;
        ForwardedQuery { trace, method, target, headers, body }
    }
}
