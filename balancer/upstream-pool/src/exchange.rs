//! A connection to a server, which carries one request at a time.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};
use whinspindle_metered_sockets::{Meter, MeteredSocket};

use crate::failure::{Cause, ExchangeError, Progress};
use crate::memory_budget::MemoryBudget;
use crate::pool::PoolSettings;

/// Shows the progress of an exchange, even after its future was dropped.
#[derive(Clone, Default)]
pub struct ProgressHandle(Rc<RefCell<Option<RequestRange>>>);

struct RequestRange {
    meter: Rc<Meter>,
    start: u64,
    end: u64,
}

impl ProgressHandle {
    /// Progress of the request.
    pub fn progress(&self) -> Progress {
        match &*self.0.borrow() {
            Some(range) if range.meter.bytes_written.get() >= range.end => Progress::Complete,
            Some(range) if range.meter.bytes_written.get() > range.start => Progress::Partial,
            _ => Progress::NotStarted,
        }
    }

    fn start(&self, meter: &Rc<Meter>, size: u64) {
        let start = meter.bytes_written.get();
        *self.0.borrow_mut() = Some(RequestRange { meter: Rc::clone(meter), start, end: start + size });
    }

    pub(crate) fn error(&self, cause: Cause) -> ExchangeError {
        ExchangeError {
            progress: self.progress(),
            cause,
            is_stale_connection: false,
            response_started: false,
        }
    }
}

/// A connection that carries one request at a time. It has no task of its own: it is driven while an exchange
/// is polled, and closes when dropped.
pub struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Connection<TokioIo<MeteredSocket>, Full<Bytes>>>>,
    is_closed: bool,
    meter: Rc<Meter>,
    /// Whether the connection has carried a request before.
    was_used: bool,
}

impl ServerConnection {
    pub async fn open(socket: TcpStream) -> Result<ServerConnection, Cause> {
        // Not all kinds of sockets support this option, and it only reduces latency, so errors are ignored.
        let _ = socket.set_nodelay(true);
        let meter = Rc::new(Meter::default());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(64 * 1024)
            .handshake(TokioIo::new(MeteredSocket::new(socket, Rc::clone(&meter))))
            .await
            .map_err(Cause::Connection)?;
        Ok(ServerConnection {
            sender,
            connection: Box::pin(connection),
            is_closed: false,
            meter,
            was_used: false,
        })
    }

    /// Polls the connection together with a future that depends on it.
    async fn drive<F: Future>(
        &mut self,
        future: impl FnOnce(&mut SendRequest<Full<Bytes>>) -> F,
    ) -> F::Output {
        let mut future = pin!(future(&mut self.sender));
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            if !self.is_closed && self.connection.as_mut().poll(cx).is_ready() {
                self.is_closed = true;
            }
            future.as_mut().poll(cx)
        })
        .await
    }

    /// Whether an idle connection is still open. Yields first, so that the runtime polls the socket and
    /// detects a close by the server.
    pub async fn is_still_open(&mut self) -> bool {
        tokio::task::yield_now().await;
        self.is_open().await
    }

    async fn is_open(&mut self) -> bool {
        poll_fn(|cx| {
            self.is_closed = self.is_closed || self.connection.as_mut().poll(cx).is_ready();
            Poll::Ready(())
        })
        .await;
        !self.is_closed && !self.sender.is_closed()
    }

    /// Sends a request and waits for the response. Afterwards the connection may carry another request if it
    /// `is_reusable`.
    pub async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
        settings: &PoolSettings,
        progress: &ProgressHandle,
    ) -> Result<Response<Bytes>, ExchangeError> {
        progress.start(&self.meter, request_size(&request));
        self.meter.first_received_at.set(None);
        let monitor = AnswerMonitor {
            meter: Rc::clone(&self.meter),
            last_informational_at: Arc::new(Mutex::new(Instant::now())),
        };
        let last_informational_at = Arc::clone(&monitor.last_informational_at);
        hyper::ext::on_informational(&mut request, move |_| {
            *last_informational_at.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        });
        let result = tokio::select! {
            biased;
            result = self.receive_response(request, &settings.memory_budget) => result,
            () = monitor.stalled(settings.stall_timeout) => Err(Cause::Stalled),
        };
        let was_used = std::mem::replace(&mut self.was_used, true);
        result.map_err(|cause| {
            let response_started = self.meter.first_received_at.get().is_some();
            let is_stale_connection = was_used && !response_started && matches!(cause, Cause::Connection(_));
            ExchangeError { is_stale_connection, response_started, ..progress.error(cause) }
        })
    }

    async fn receive_response(
        &mut self,
        request: Request<Full<Bytes>>,
        memory: &MemoryBudget,
    ) -> Result<Response<Bytes>, Cause> {
        let response = self.drive(|sender| sender.send_request(request)).await.map_err(Cause::Connection)?;
        let (parts, body) = response.into_parts();
        if parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING) {
            return Err(Cause::ConflictingLengths);
        }
        Ok(Response::from_parts(parts, self.read_body(body, memory).await?))
    }

    /// Reads the complete body. Memory is allocated from the budget before it is read.
    async fn read_body(&mut self, mut body: Incoming, memory: &MemoryBudget) -> Result<Bytes, Cause> {
        let mut allocation = memory.allocation();
        let announced_bytes = body.size_hint().lower();
        if !usize::try_from(announced_bytes).is_ok_and(|bytes| allocation.grow_to(bytes)) {
            return Err(Cause::ResponseTooLong(announced_bytes));
        }
        let mut complete = BytesMut::with_capacity(announced_bytes as usize);
        while let Some(frame) = self.drive(|_| body.frame()).await {
            let Ok(data) = frame.map_err(Cause::Connection)?.into_data() else { continue };
            let bytes = complete.len() + data.len();
            if !allocation.grow_to(bytes) {
                return Err(Cause::ResponseTooLong(bytes as u64));
            }
            complete.extend_from_slice(&data);
        }
        Ok(allocation.attach_to(complete.freeze()))
    }

    pub async fn is_reusable(&mut self) -> bool {
        // One poll is enough: hyper is ready immediately after a response that keeps the connection open.
        self.is_open().await && self.sender.is_ready()
    }
}

/// Times of the last received bytes and of the last informational response (1xx).
struct AnswerMonitor {
    meter: Rc<Meter>,
    last_informational_at: Arc<Mutex<Instant>>,
}

impl AnswerMonitor {
    /// Completes when a response has started but no bytes were received for `stall_timeout`.
    async fn stalled(&self, stall_timeout: Duration) {
        loop {
            let last_informational_at =
                *self.last_informational_at.lock().unwrap_or_else(PoisonError::into_inner);
            match self
                .meter
                .last_received_at
                .get()
                .filter(|&at| at > last_informational_at)
                .map(|at| at + stall_timeout)
            {
                Some(stalled_at) if stalled_at <= Instant::now() => return,
                Some(stalled_at) => sleep_until(stalled_at).await,
                None => sleep(stall_timeout).await,
            }
        }
    }
}

/// Number of bytes that hyper writes for a request whose headers are all set.
fn request_size(request: &Request<Full<Bytes>>) -> u64 {
    let request_line =
        request.method().as_str().len() + request.uri().to_string().len() + "  HTTP/1.1\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    (request_line + headers + "\r\n".len()) as u64 + request.body().size_hint().exact().unwrap_or(0)
}

#[cfg(test)]
mod tests;
