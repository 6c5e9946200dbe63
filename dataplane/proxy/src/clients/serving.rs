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

/// Time-out of a lingering close, which waits for the client to close after the last answer, so that the
/// answer arrives complete. Also the maximum age of the last answer for which a lingering close is needed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval of the checks of a closing connection with an incomplete request head.
const CLOSE_CHECK: Duration = Duration::from_millis(250);
/// Buffer size for a chunk of a body after the longest head, in bytes.
const BODY_BUFFER: usize = 16 * 1024;

/// Serves a connection until it is closed.
pub(super) async fn serve_connection(
    clients: &Rc<Clients>,
    node: &Rc<Node>,
    client: &Rc<Client>,
    socket: BoxedSocket,
) {
    let (client_state, client_list, shared_node) = (Rc::clone(client), Rc::clone(clients), Rc::clone(node));
    let service = service_fn(move |request: Request<Incoming>| {
        let in_progress = RequestInProgress::begin(&client_state, &client_list);
        answer(Rc::clone(&shared_node), request, in_progress)
    });
    let socket = MeteredSocket::new(socket, Rc::clone(&client.meter));
    let close_watcher = socket.close_watcher();
    let max_header_bytes = node.limits.borrow().max_header_bytes();
    let socket = ObservedSocket::new(socket, Rc::clone(&client.framing));
    let connection = Builder::new()
        .auto_date_header(false)
        .max_buf_size(max_header_bytes * 2 + BODY_BUFFER)
        .serve_connection(TokioIo::new(socket), service);
    let mut session = ClientSession { connection: Box::pin(connection), close_watcher, client };
    session.run(clients).await;
    session.linger().await;
}

async fn answer(
    node: Rc<Node>,
    request: Request<Incoming>,
    in_progress: RequestInProgress,
) -> Result<Answer, Infallible> {
    let answer = handler::answer(&node, request, &in_progress).await;
    Ok(answer.map(|body| body.with_request_in_progress(in_progress)))
}

type HyperIo = TokioIo<ObservedSocket<MeteredSocket<BoxedSocket>>>;

/// A client connection that is being served.
struct ClientSession<'a, S: HttpService<Incoming>> {
    connection: Pin<Box<Connection<HyperIo, S>>>,
    close_watcher: CloseWatcher<BoxedSocket>,
    client: &'a Client,
}

impl<S> ClientSession<'_, S>
where
    S: HttpService<Incoming, ResBody = AnswerBody, Error = Infallible>,
{
    /// Drives the connection until it has ended or the client has closed it. A close is detected even if
    /// unread bytes precede it.
    async fn wait_until_ended(&mut self) {
        poll_fn(|cx| {
            if self.connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            if self.client.is_idle() { Poll::Pending } else { self.close_watcher.poll(cx) }
        })
        .await
    }

    async fn run(&mut self, clients: &Clients) {
        let client = self.client;
        // Biased, so that a received request is served before a requested close.
        tokio::select! {
            biased;
            () = self.wait_until_ended() => {}
            () = client.wait_for_drop() => {}
            () = client.close.notified() => self.finish(clients).await,
        }
    }

    /// Closes the connection gracefully.
    async fn finish(&mut self, clients: &Clients) {
        let client = self.client;
        // Yield once, so that the runtime polls its sockets and hyper reads a request that has already
        // arrived.
        tokio::select! {
            biased;
            () = self.wait_until_ended() => return,
            () = yield_now() => {}
        }
        // If no byte has been received, no request can be lost.
        if client.is_fresh.get() && client.meter.first_received_at.get().is_none() {
            return;
        }
        if !self.wait_for_request_head(clients).await {
            return;
        }
        self.connection.as_mut().graceful_shutdown();
        loop {
            tokio::select! {
                biased;
                () = self.wait_until_ended() => return,
                () = client.wait_for_drop() => return,
                // Hyper would wait forever for the rest of an incomplete first head.
                () = sleep(CLOSE_CHECK) => if client.is_fresh.get() {
                    return;
                }
            }
        }
    }

    /// Waits for the complete head of a partially received request. Returns false if the connection has
    /// ended.
    async fn wait_for_request_head(&mut self, clients: &Clients) -> bool {
        let client = self.client;
        let complete_by = clients.head_deadline.get().unwrap_or_else(|| Instant::now() + HEADER_MARGIN);
        while client.has_partial_head() && Instant::now() < complete_by {
            tokio::select! {
                biased;
                () = self.wait_until_ended() => return false,
                () = client.wait_for_drop() => return false,
                () = sleep_until(complete_by.min(Instant::now() + CLOSE_CHECK)) => {}
            }
        }
        true
    }

    /// Waits for the client to close its side, so that the last answer arrives complete. Requests that arrive
    /// now are not served.
    async fn linger(self) {
        let ClientSession { connection, close_watcher, client } = self;
        // Hyper must not use the socket any more.
        drop(connection);
        // Without an answer in transit, waiting is unnecessary; the client may retry its request elsewhere.
        let is_answer_old =
            client.idle_since.get().is_some_and(|since| since + LINGER_TIMEOUT <= Instant::now());
        if is_answer_old || client.meter.bytes_written.get() == 0 {
            return;
        }
        client.lingering.set(true);
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, close_watcher.lingering_close()) => {}
            () = client.drop.notified() => {}
        }
    }
}
