//! An HTTP/1.1 connection to an upstream.
//!
//! The connection carries one request at a time. It is driven by polling the exchange that uses it rather
//! than by its own task, and closes when it is dropped.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use whinspindle_metered_sockets::{Meter, MeteredSocket};

use crate::connect::BoxedSocket;

/// Size of the read buffer, larger than the longest answer head and the data that arrives between two reads.
const BUFFER_BYTES: usize = 64 * 1024;

type HyperIo = TokioIo<MeteredSocket<BoxedSocket>>;

/// A connection to an upstream, with its counts of answers and bytes.
pub struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Connection<HyperIo, Full<Bytes>>>>,
    has_ended: bool,
    meter: Rc<Meter>,
    answer_count: u64,
}

impl UpstreamConnection {
    /// Performs the HTTP handshake on a connected socket.
    pub async fn open(socket: BoxedSocket) -> hyper::Result<UpstreamConnection> {
        let meter = Rc::new(Meter::default());
        let wire = TokioIo::new(MeteredSocket::new(socket, Rc::clone(&meter)));
        let (sender, connection) = Builder::new().max_buf_size(BUFFER_BYTES).handshake(wire).await?;
        Ok(UpstreamConnection {
            sender,
            connection: Box::pin(connection),
            has_ended: false,
            meter,
            answer_count: 0,
        })
    }

    /// Whether the connection has not yet completed an answer.
    pub fn is_fresh(&self) -> bool {
        self.answer_count == 0
    }

    /// Returns the number of bytes written so far.
    pub fn bytes_written(&self) -> u64 {
        self.meter.bytes_written.get()
    }

    /// Sends a request and waits for the answer's head.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        let mut sending = pin!(self.sender.send_request(request));
        poll_fn(|cx| {
            if let Poll::Ready(answer) = sending.as_mut().poll(cx) {
                return Poll::Ready(answer);
            }
            poll_connection(&mut self.connection, &mut self.has_ended, cx);
            sending.as_mut().poll(cx)
        })
        .await
    }

    /// Polls for the next frame of an answer's body.
    pub fn poll_body(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let mut body = Pin::new(body);
        if let Poll::Ready(frame) = body.as_mut().poll_frame(cx) {
            return Poll::Ready(frame);
        }
        poll_connection(&mut self.connection, &mut self.has_ended, cx);
        body.poll_frame(cx)
    }

    /// Counts a complete answer. Returns whether the connection may carry another request; surplus bytes
    /// after the answer prevent this.
    pub fn is_reusable(&mut self, cx: &mut Context<'_>) -> bool {
        self.answer_count += 1;
        self.is_open(cx) && self.sender.is_ready()
    }

    /// Whether an idle connection is still open. Yields first, so that the runtime polls its sockets.
    pub async fn is_still_open(&mut self) -> bool {
        tokio::task::yield_now().await;
        poll_fn(|cx| Poll::Ready(self.is_open(cx))).await
    }

    fn is_open(&mut self, cx: &mut Context<'_>) -> bool {
        poll_connection(&mut self.connection, &mut self.has_ended, cx);
        !self.has_ended && !self.sender.is_closed()
    }
}

fn poll_connection(
    connection: &mut Pin<Box<Connection<HyperIo, Full<Bytes>>>>,
    has_ended: &mut bool,
    cx: &mut Context<'_>,
) {
    if !*has_ended && connection.as_mut().poll(cx).is_ready() {
        *has_ended = true;
    }
}
