//! One connection, and one request on it for one response.

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

/// What an exchange leaves behind of how far it has come, also where its future is dropped.
#[derive(Clone, Default)]
pub struct ProgressHandle(Rc<RefCell<Option<Written>>>);

struct Written {
    meter: Rc<Meter>,
    begin: u64,
    end: u64,
}

impl ProgressHandle {
    /// How far the exchange has come.
    pub fn progress(&self) -> Progress {
        match &*self.0.borrow() {
            Some(written) if written.meter.bytes_written.get() >= written.end => Progress::Complete,
            Some(written) if written.meter.bytes_written.get() > written.begin => Progress::Partial,
            _ => Progress::NotStarted,
        }
    }

    fn begin(&self, meter: &Rc<Meter>, size: u64) {
        let begin = meter.bytes_written.get();
        *self.0.borrow_mut() = Some(Written { meter: Rc::clone(meter), begin, end: begin + size });
    }

    pub(crate) fn failure(&self, cause: Cause) -> ExchangeError {
        ExchangeError {
            progress: self.progress(),
            cause,
            is_stale_connection: false,
            response_started: false,
        }
    }
}

/// A connection that carries one request at a time. It has no task of its own: it moves while an exchange is
/// polled, and closes when dropped.
pub struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Connection<TokioIo<MeteredSocket>, Full<Bytes>>>>,
    ended: bool,
    meter: Rc<Meter>,
    /// It has carried an answer before.
    kept: bool,
}

impl ServerConnection {
    pub async fn open(socket: TcpStream) -> Result<ServerConnection, Cause> {
        // Guards against a system that has the connection and not the option, on which nothing but haste
        // hangs.
        let _ = socket.set_nodelay(true);
        let meter = Rc::new(Meter::default());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(64 * 1024)
            .handshake(TokioIo::new(MeteredSocket::new(socket, Rc::clone(&meter))))
            .await
            .map_err(Cause::Connection)?;
        Ok(ServerConnection { sender, connection: Box::pin(connection), ended: false, meter, kept: false })
    }

    /// Polls the connection beside the future, which waits on it.
    async fn drive<F: Future>(
        &mut self,
        future: impl FnOnce(&mut SendRequest<Full<Bytes>>) -> F,
    ) -> F::Output {
        let mut future = pin!(future(&mut self.sender));
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            if !self.ended && self.connection.as_mut().poll(cx).is_ready() {
                self.ended = true;
            }
            future.as_mut().poll(cx)
        })
        .await
    }

    /// Whether a connection that stood idle is still there. Guards against a server that has closed it: the
    /// runtime is let at its sockets first, since it may not have looked at them for a while.
    pub async fn is_still_open(&mut self) -> bool {
        tokio::task::yield_now().await;
        self.is_open().await
    }

    async fn is_open(&mut self) -> bool {
        poll_fn(|cx| {
            self.ended = self.ended || self.connection.as_mut().poll(cx).is_ready();
            Poll::Ready(())
        })
        .await;
        !self.ended && !self.sender.is_closed()
    }

    /// Afterwards the connection may carry the next request if it `is_reusable`.
    pub async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
        settings: &PoolSettings,
        progress: &ProgressHandle,
    ) -> Result<Response<Bytes>, ExchangeError> {
        progress.begin(&self.meter, size(&request));
        self.meter.first_received_at.set(None);
        let monitor =
            AnswerMonitor { meter: Rc::clone(&self.meter), announced: Arc::new(Mutex::new(Instant::now())) };
        let announced = Arc::clone(&monitor.announced);
        hyper::ext::on_informational(&mut request, move |_| {
            *announced.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        });
        let end = tokio::select! {
            biased;
            end = self.answer(request, &settings.memory_budget) => end,
            () = monitor.stalled(settings.stall_timeout) => Err(Cause::Stalled),
        };
        let kept = std::mem::replace(&mut self.kept, true);
        end.map_err(|cause| {
            let answered = self.meter.first_received_at.get().is_some();
            let stale = kept && !answered && matches!(cause, Cause::Connection(_));
            ExchangeError {
                is_stale_connection: stale,
                response_started: answered,
                ..progress.failure(cause)
            }
        })
    }

    async fn answer(
        &mut self,
        request: Request<Full<Bytes>>,
        memory: &MemoryBudget,
    ) -> Result<Response<Bytes>, Cause> {
        let response = self.drive(|sender| sender.send_request(request)).await.map_err(Cause::Connection)?;
        let (parts, body) = response.into_parts();
        if parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING) {
            return Err(Cause::ConflictingLengths);
        }
        Ok(Response::from_parts(parts, self.collect(body, memory).await?))
    }

    /// The complete body. Memory for it is allocated from the budget before it is read.
    async fn collect(&mut self, mut body: Incoming, memory: &MemoryBudget) -> Result<Bytes, Cause> {
        let mut allocation = memory.allocation();
        let announced = body.size_hint().lower();
        if !usize::try_from(announced).is_ok_and(|announced| allocation.grow_to(announced)) {
            return Err(Cause::ResponseTooLong(announced));
        }
        let mut complete = BytesMut::with_capacity(announced as usize);
        while let Some(frame) = self.drive(|_| body.frame()).await {
            let Ok(data) = frame.map_err(Cause::Connection)?.into_data() else { continue };
            let bytes = complete.len() + data.len();
            if !allocation.grow_to(bytes) {
                return Err(Cause::ResponseTooLong(bytes as u64));
            }
            complete.extend_from_slice(&data);
        }
        Ok(allocation.hold(complete.freeze()))
    }

    pub async fn is_reusable(&mut self) -> bool {
        // One poll is enough: hyper is ready at once after a response that leaves the connection open.
        self.is_open().await && self.sender.is_ready()
    }
}

/// When bytes were last received on a connection, and when an answer was last only announced (1xx).
struct AnswerMonitor {
    meter: Rc<Meter>,
    announced: Arc<Mutex<Instant>>,
}

impl AnswerMonitor {
    /// Guards against an answer that begins and never ends: its server keeps the connection open in silence.
    async fn stalled(&self, stall_time_out: Duration) {
        loop {
            let announced = *self.announced.lock().unwrap_or_else(PoisonError::into_inner);
            match self.meter.last_received_at.get().filter(|&at| at > announced).map(|at| at + stall_time_out)
            {
                Some(end) if end <= Instant::now() => return,
                Some(end) => sleep_until(end).await,
                None => sleep(stall_time_out).await,
            }
        }
    }
}

/// The bytes that hyper writes for a request whose headers are all set already.
fn size(request: &Request<Full<Bytes>>) -> u64 {
    let line = request.method().as_str().len() + request.uri().to_string().len() + "  HTTP/1.1\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    (line + headers + "\r\n".len()) as u64 + request.body().size_hint().exact().unwrap_or(0)
}

#[cfg(test)]
mod tests;
