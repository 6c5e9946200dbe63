//! A query as it comes from a client or from the tier above.

use std::fmt;

use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use whinspindle::host::Effect;
use whinspindle_deployment_settings::{Deployment, index_of};

use crate::headers;

/// Longest body of a query, and what an answer usually has at most.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A query without its body.
#[derive(Debug)]
pub struct QueryHead {
    /// Index of its product.
    pub product: usize,
    /// A tenant that the settings don't name has the index after the last.
    pub tenant: usize,
    /// How long the client waits, in microseconds from the last byte.
    pub client_timeout_us: u64,
    trace: HeaderValue,
    method: Method,
    target: Uri,
    headers: HeaderMap,
}

/// What goes on to the servers unchanged; kept for further executions.
#[derive(Debug)]
pub struct ForwardedQuery {
    /// Which query this is; no other one has the same while it is open.
    pub trace: HeaderValue,
    /// Its method.
    pub method: Method,
    /// Its target, path and query.
    pub target: Uri,
    /// Its headers, less those of the connection.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
}

/// Why a query can't be taken.
#[derive(Debug, PartialEq, Eq)]
pub struct QueryError {
    /// The status of the refusal.
    pub status: StatusCode,
    /// The header or part at fault.
    pub field: &'static str,
    /// What is wrong with it.
    pub message: &'static str,
}

impl fmt::Display for QueryError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}: {}", self.field, self.message)
    }
}

fn malformed(field: &'static str, fault: &'static str) -> QueryError {
    QueryError { status: StatusCode::BAD_REQUEST, field, message: fault }
}

fn field<'a>(parts: &'a Parts, name: &'static str) -> Result<Option<&'a str>, QueryError> {
    headers::single(&parts.headers, name).map_err(|fault| malformed(name, fault))
}

/// Why a query can't be taken while another one is open under its id.
pub const DUPLICATE_TRACE: QueryError =
    QueryError { status: StatusCode::CONFLICT, field: headers::TRACE, message: "is that of an open query" };

impl QueryHead {
    /// Reads and checks the head of a query.
    pub fn decode(parts: &Parts, deployment: &Deployment) -> Result<QueryHead, QueryError> {
        if parts.method != Method::GET && parts.method != Method::POST {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(QueryError { status, field: "method", message: "neither GET nor POST" });
        }
        if parts.uri.path_and_query().is_none() {
            return Err(malformed("target", "has no path"));
        }
        // Guards against lengths that servers and balancers may read differently, which would hide a query in
        // the body of another.
        if parts.headers.contains_key(TRANSFER_ENCODING) {
            let status = StatusCode::LENGTH_REQUIRED;
            return Err(QueryError {
                status,
                field: "transfer-encoding",
                message: "instead of a content-length",
            });
        }
        if field(parts, headers::TRACE)?.is_none_or(str::is_empty) {
            return Err(malformed(headers::TRACE, "is missing"));
        }
        let trace = parts.headers[headers::TRACE].clone();
        let product =
            field(parts, headers::PRODUCT)?.ok_or_else(|| malformed(headers::PRODUCT, "is missing"))?;
        let product = index_of(&deployment.products, product)
            .ok_or_else(|| malformed(headers::PRODUCT, "is not a known class"))?;
        let effect = deployment.balancer_settings.products[product].effect;
        if parts.method == Method::GET && effect != Effect::Idempotent {
            return Err(malformed("method", "GET for a class that is not safe to repeat"));
        }
        // Without its key the servers would not know a repeat.
        if matches!(effect, Effect::Deduplicated(_)) && field(parts, headers::KEY)?.is_none_or(str::is_empty)
        {
            return Err(malformed(headers::KEY, "is missing"));
        }
        let tenant = field(parts, headers::TENANT)?.and_then(|name| index_of(&deployment.tenants, name));
        let longest = deployment.statement_timeouts_us[product];
        let patience = match field(parts, headers::EXPIRES)? {
            None => longest,
            Some(ms) => ms
                .parse::<u64>()
                .map_err(|_| malformed(headers::EXPIRES, "is not a whole number"))?
                .saturating_mul(1000)
                .min(longest),
        };
        Ok(QueryHead {
            product,
            tenant: tenant.unwrap_or(deployment.tenants.len()),
            client_timeout_us: patience,
            trace,
            method: parts.method.clone(),
            target: parts.uri.clone(),
            headers: headers::end_to_end(&parts.headers, headers::EXPIRES),
        })
    }

    /// The query with its complete body.
    pub fn with_body(self, body: Bytes) -> ForwardedQuery {
        let QueryHead { trace, method, target, headers, .. } = self;
        ForwardedQuery { trace, method, target, headers, body }
    }
}
