//! Reads the complete body of a client's request within limits of length, memory and time.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::answers::{ProxyAnswer, RETRY_AFTER_MS};
use crate::limits::Reservation;

/// Reads a complete body of at most `max_bytes` and reserves memory for it.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    memory: &mut Reservation,
    deadline: Instant,
) -> Result<Bytes, ProxyAnswer> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced_bytes > max_bytes {
        return Err(ProxyAnswer::BodyTooLong);
    }
    if !memory.grow_to(announced_bytes) {
        return Err(ProxyAnswer::Rejected { retry_after_ms: RETRY_AFTER_MS });
    }
    let collecting = collect(body, announced_bytes, max_bytes, memory);
    timeout_at(deadline, collecting).await.unwrap_or_else(|_| Err(ProxyAnswer::BodyTimeout))
}

async fn collect(
    mut body: Incoming,
    announced_bytes: usize,
    max_bytes: usize,
    memory: &mut Reservation,
) -> Result<Bytes, ProxyAnswer> {
    let mut complete = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ProxyAnswer::IncompleteBody)?;
        let Ok(data) = frame.into_data() else { continue };
        if complete.is_empty() && data.len() == announced_bytes {
            return finish_body(body, data).await;
        }
        let total = complete.len() + data.len();
        if total > max_bytes {
            return Err(ProxyAnswer::BodyTooLong);
        }
        if !memory.grow_to(total) {
            return Err(ProxyAnswer::Rejected { retry_after_ms: RETRY_AFTER_MS });
        }
        complete.reserve(announced_bytes.saturating_sub(complete.len()));
        complete.extend_from_slice(&data);
    }
    Ok(complete.freeze())
}

/// Checks the end of a body that arrived in one chunk.
async fn finish_body(mut body: Incoming, data: Bytes) -> Result<Bytes, ProxyAnswer> {
    match body.frame().await {
        Some(Err(_)) => Err(ProxyAnswer::IncompleteBody),
        _ => Ok(data),
    }
}
