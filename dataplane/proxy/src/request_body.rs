//! Reads the body of a client's request completely, within a limit of its length, memory and time.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::answers::{ProxyAnswer, RETRY_AFTER_MS};
use crate::limits::Reservation;

/// The complete body of a request of at most `most` bytes, for which memory is reserved.
pub async fn read_body(
    body: Incoming,
    most: usize,
    memory: &mut Reservation,
    deadline: Instant,
) -> Result<Bytes, ProxyAnswer> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > most {
        return Err(ProxyAnswer::BodyTooLong);
    }
    if !memory.grow_to(announced) {
        return Err(ProxyAnswer::Rejected { retry_after_ms: RETRY_AFTER_MS });
    }
    let collecting = collect(body, announced, most, memory);
    timeout_at(deadline, collecting).await.unwrap_or_else(|_| Err(ProxyAnswer::LateBody))
}

async fn collect(
    mut body: Incoming,
    announced: usize,
    most: usize,
    memory: &mut Reservation,
) -> Result<Bytes, ProxyAnswer> {
    let mut complete = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ProxyAnswer::BrokenBody)?;
        let Ok(data) = frame.into_data() else { continue };
        if complete.is_empty() && data.len() == announced {
            return end_of(body, data).await;
        }
        let total = complete.len() + data.len();
        if total > most {
            return Err(ProxyAnswer::BodyTooLong);
        }
        if !memory.grow_to(total) {
            return Err(ProxyAnswer::Rejected { retry_after_ms: RETRY_AFTER_MS });
        }
        complete.reserve(announced.saturating_sub(complete.len()));
        complete.extend_from_slice(&data);
    }
    Ok(complete.freeze())
}

/// The end of a body that came in one chunk.
async fn end_of(mut body: Incoming, data: Bytes) -> Result<Bytes, ProxyAnswer> {
    match body.frame().await {
        Some(Err(_)) => Err(ProxyAnswer::BrokenBody),
        _ => Ok(data),
    }
}
