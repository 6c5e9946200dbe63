//! Serves one client connection with hyper, from the accepted socket to its lingering close.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use whinspindle_metered_sockets::{CloseWatcher, MeteredSocket};

use super::Clients;
use super::connection::{Client, HEADER_MARGIN, RequestInProgress};
use crate::answers::{Answer, AnswerBody};
use crate::connect::BoxedSocket;
use crate::handler;
use crate::node::Node;
use crate::request_framing::ObservedSocket;

/// Lingering close: how long the client's end of a connection is waited for after the last answer, so that the answer
/// arrives complete; and how long ago that answer may be.
const LINGER: Duration = Duration::from_millis(200);
/// How often a connection that is to close is checked while the head of a request on it is incomplete.
const CLOSE_CHECK: Duration = Duration::from_millis(250);
/// Buffer for a chunk of a body behind the longest head.
const BODY_BUFFER: usize = 16 * 1024;

/// Serves a connection until it is closed.
pub(super) async fn serve_connection(
    clients: &Rc<Clients>,
    node: &Rc<Node>,
    client: &Rc<Client>,
    socket: BoxedSocket,
) {
    let (watched, watching, shared) = (Rc::clone(client), Rc::clone(clients), Rc::clone(node));
    let service = service_fn(move |request: Request<Incoming>| {
        let busy = RequestInProgress::begin(&watched, &watching);
        answer(Rc::clone(&shared), request, busy)
    });
    let socket = MeteredSocket::new(socket, Rc::clone(&client.meter));
    let ending = socket.close_watcher();
    let header_bytes = node.limits.borrow().header_bytes();
    let socket = ObservedSocket::new(socket, Rc::clone(&client.head));
    let connection = Builder::new()
        .auto_date_header(false)
        .max_buf_size(header_bytes * 2 + BODY_BUFFER)
        .serve_connection(TokioIo::new(socket), service);
    let mut served = ClientSession { connection: Box::pin(connection), ending, client };
    served.run(clients).await;
    served.part().await;
}

async fn answer(
    node: Rc<Node>,
    request: Request<Incoming>,
    busy: RequestInProgress,
) -> Result<Answer, Infallible> {
    let answer = handler::answer(&node, request, &busy).await;
    Ok(answer.map(|body| body.keeping_busy(busy)))
}

type Wire = TokioIo<ObservedSocket<MeteredSocket<BoxedSocket>>>;

/// A client's connection while it is served.
struct ClientSession<'a, S: HttpService<Incoming>> {
    connection: Pin<Box<Connection<Wire, S>>>,
    ending: CloseWatcher<BoxedSocket>,
    client: &'a Client,
}

impl<S> ClientSession<'_, S>
where
    S: HttpService<Incoming, ResBody = AnswerBody, Error = Infallible>,
{
    /// Drives the connection until it has ended or the client has closed it. The close is detected even behind unread bytes.
    async fn ended(&mut self) {
        poll_fn(|cx| {
            if self.connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            if self.client.is_idle() { Poll::Pending } else { self.ending.poll(cx) }
        })
        .await
    }

    async fn run(&mut self, clients: &Clients) {
        let client = self.client;
        // Biased: a request that has been received is served before an order to close is followed.
        tokio::select! {
            biased;
            () = self.ended() => {}
            () = client.dropped() => {}
            () = client.close.notified() => self.finish(clients).await,
        }
    }

    /// Closes the connection gracefully.
    async fn finish(&mut self, clients: &Clients) {
        let client = self.client;
        // Yield once, so that the runtime polls its sockets and hyper takes a request that has arrived already.
        tokio::select! {
            biased;
            () = self.ended() => return,
            () = yield_now() => {}
        }
        // Without a byte received there is no request to lose.
        if client.fresh.get() && client.meter.first_received_at.get().is_none() {
            return;
        }
        if !self.wait_for_begun(clients).await {
            return;
        }
        self.connection.as_mut().graceful_shutdown();
        loop {
            tokio::select! {
                biased;
                () = self.ended() => return,
                () = client.dropped() => return,
                // Hyper would wait forever for the rest of an incomplete first head.
                () = sleep(CLOSE_CHECK) => if client.fresh.get() {
                    return;
                }
            }
        }
    }

    /// Waits for the head of a request that has begun. Returns false if the connection has ended.
    async fn wait_for_begun(&mut self, clients: &Clients) -> bool {
        let client = self.client;
        let complete_by = clients.last_complete.get().unwrap_or_else(|| Instant::now() + HEADER_MARGIN);
        while client.has_begun() && Instant::now() < complete_by {
            tokio::select! {
                biased;
                () = self.ended() => return false,
                () = client.dropped() => return false,
                () = sleep_until(complete_by.min(Instant::now() + CLOSE_CHECK)) => {}
            }
        }
        true
    }

    /// Lingering close: waits for the client to close its side, so that the last answer arrives complete. What the client
    /// sends now is not served.
    async fn part(self) {
        let ClientSession { connection, ending, client } = self;
        // Hyper has finished with the socket, or is not to use it any more.
        drop(connection);
        // Without an answer on its way there is nothing to wait for; the client may send a request again elsewhere.
        let rested = client.idle_since.get().is_some_and(|since| since + LINGER <= Instant::now());
        if rested || client.meter.bytes_written.get() == 0 {
            return;
        }
        client.lingering.set(true);
        tokio::select! {
            _ = timeout(LINGER, ending.lingering_close()) => {}
            () = client.drop.notified() => {}
        }
    }
}
