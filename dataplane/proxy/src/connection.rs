//! One HTTP/1.1 connection to an upstream. It carries one request at a time and has no task of its own: it makes progress
//! while an exchange is polled, and closes when it is dropped.

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

/// Read buffer: more than the longest head of an answer, and enough for what arrives between two reads.
const BUFFER_BYTES: usize = 64 * 1024;

type Wire = TokioIo<MeteredSocket<BoxedSocket>>;

/// A connection to an upstream, and how much it has carried.
pub struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Connection<Wire, Full<Bytes>>>>,
    ended: bool,
    meter: Rc<Meter>,
    answers: u64,
}

impl UpstreamConnection {
    /// Makes a connected socket ready for requests.
    pub async fn open(socket: BoxedSocket) -> hyper::Result<UpstreamConnection> {
        let meter = Rc::new(Meter::default());
        let wire = TokioIo::new(MeteredSocket::new(socket, Rc::clone(&meter)));
        let (sender, connection) = Builder::new().max_buf_size(BUFFER_BYTES).handshake(wire).await?;
        Ok(UpstreamConnection { sender, connection: Box::pin(connection), ended: false, meter, answers: 0 })
    }

    /// Whether it has carried no answer before the one in progress.
    pub fn is_fresh(&self) -> bool {
        self.answers == 0
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.meter.bytes_written.get()
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        let mut sending = pin!(self.sender.send_request(request));
        poll_fn(|cx| {
            if let Poll::Ready(answer) = sending.as_mut().poll(cx) {
                return Poll::Ready(answer);
            }
            advance(&mut self.connection, &mut self.ended, cx);
            sending.as_mut().poll(cx)
        })
        .await
    }

    /// The next chunk of an answer's body.
    pub fn poll_body(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let mut body = Pin::new(body);
        if let Poll::Ready(frame) = body.as_mut().poll_frame(cx) {
            return Poll::Ready(frame);
        }
        advance(&mut self.connection, &mut self.ended, cx);
        body.poll_frame(cx)
    }

    /// Counts a complete answer. Returns whether the connection may carry another request, which bytes behind the answer rule
    /// out.
    pub fn is_reusable(&mut self, cx: &mut Context<'_>) -> bool {
        self.answers += 1;
        self.is_open(cx) && self.sender.is_ready()
    }

    /// Whether an idle connection is still open. Yields first, since the runtime may not have polled its sockets for a while.
    pub async fn is_still_open(&mut self) -> bool {
        tokio::task::yield_now().await;
        poll_fn(|cx| Poll::Ready(self.is_open(cx))).await
    }

    fn is_open(&mut self, cx: &mut Context<'_>) -> bool {
        advance(&mut self.connection, &mut self.ended, cx);
        !self.ended && !self.sender.is_closed()
    }
}

fn advance(connection: &mut Pin<Box<Connection<Wire, Full<Bytes>>>>, ended: &mut bool, cx: &mut Context<'_>) {
    if !*ended && connection.as_mut().poll(cx).is_ready() {
        *ended = true;
    }
}
