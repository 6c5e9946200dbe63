//! Accepts client connections up to a limit. Connections are closed when they are idle for too long or when the
//! limit is reached, and drained when the process shuts down.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::{self, Connection};
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tower::{BoxError, Service};
use whinspindle_metered_sockets::{CloseWatcher, Meter, MeteredSocket, close_listener};
use whinspindle_rate_limited_log::log_line;

use crate::http_service::{self, BodyDeadline, Reply, ReplyBody};
use crate::node::Node;
use crate::resource_limits::ResourceLimits;

/// Minimum time after a shutdown request during which connections are still accepted.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);
/// While draining, the listener is closed after this time without a new connection. It is also the longest
/// lingering close.
const QUIET_TIME: Duration = Duration::from_millis(200);
/// A request must be complete this long after its first byte, and the first one this long after its client
/// connected. Otherwise clients could hold connections without sending anything, or with requests that never end.
const REQUEST_READ_TIME_OUT: Duration = Duration::from_millis(2000);
/// How often connections are checked for time-outs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Size of the read buffer in bytes: more than any reasonable request head.
const READ_BUFFER: usize = 32 * 1024;

/// The open client connections, in the order in which they were accepted.
#[derive(Default)]
pub struct ClientConnections {
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    /// Notified when a connection has ended or become idle.
    capacity_freed: Notify,
    /// During shutdown: by when the last requests must have been read completely.
    final_read_deadline: Cell<Option<Instant>>,
}

struct Client {
    /// Since when no request is in flight on it; none while one is.
    idle_since: Cell<Option<Instant>>,
    /// Whether no complete request head has arrived yet.
    no_request_yet: Cell<bool>,
    /// Records when the first bytes of an unanswered request were received.
    meter: Rc<Meter>,
    /// When the connection was asked to close.
    closing: Cell<Option<Instant>>,
    /// Asks for a graceful close.
    close: Notify,
    /// Asks for an immediate end.
    drop: Notify,
    /// Whether everything is answered and only the client's close is awaited.
    is_lingering: Cell<bool>,
}

impl Client {
    /// Whether no request is in flight on the connection.
    fn is_idle(&self) -> bool {
        self.idle_since.get().is_some()
    }

    /// Waits until the connection is to be dropped. A notification that arrives while a request is in flight is
    /// ignored, since that request was taken just before and must be answered.
    async fn dropped(&self) {
        loop {
            self.drop.notified().await;
            if self.is_idle() {
                return;
            }
        }
    }

    /// Whether a part of a request has been received, but not a complete head.
    fn has_partial_request(&self) -> bool {
        self.is_idle() && self.meter.first_received_at.get().is_some()
    }

    /// The time by which the present or the first request must have been read completely.
    fn read_deadline(&self) -> Option<Instant> {
        let connected = self.idle_since.get().filter(|_| self.no_request_yet.get());
        Some(connected.or(self.meter.first_received_at.get())? + REQUEST_READ_TIME_OUT)
    }

    /// Until when a connection that has sent nothing yet is given time for its first request.
    fn first_request_deadline(&self) -> Option<Instant> {
        let unheard = self.no_request_yet.get() && self.meter.first_received_at.get().is_none();
        self.idle_since.get().filter(|_| unheard).map(|came| came + SWEEP_INTERVAL)
    }

    /// Asks the connection to close; later calls have no effect.
    fn close(&self) {
        if self.closing.get().is_none() {
            self.closing.set(Some(Instant::now()));
            self.close.notify_one();
        }
    }
}

impl ClientConnections {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Drops connections that do not complete a request or do not read their answer in time; closes those that have
    /// been idle for longer than `idle_time`.
    fn sweep(&self, idle_time: Duration) {
        let now = Instant::now();
        for client in self.open.borrow().values() {
            let Some(since) = client.idle_since.get() else { continue };
            // A client whose answer was pending when the connection was asked to close gets the full time to read
            // it.
            let closing = client.closing.get().map(|at| at.max(since) + REQUEST_READ_TIME_OUT);
            let ends = client.read_deadline().into_iter().chain(closing).min();
            if ends.is_some_and(|at| at <= now) {
                client.drop.notify_one();
            } else if since + idle_time <= now {
                client.close();
            }
        }
    }

    /// Closes a connection when the limit is reached: the longest idle one among those that never sent a request,
    /// or else among all. Clients that open hundreds of connections without sending anything therefore cannot crowd
    /// out active clients, nor those whose first request is on its way. If only the newest connection could be
    /// closed, it is exempt for a short time; the end of that time is returned.
    fn close_longest_idle(&self) -> Option<Instant> {
        let open = self.open.borrow();
        // A connection that is closing already is skipped, so that a slow close does not block the next one.
        let idle = open.values().filter(|client| client.is_idle());
        let idle = idle.filter(|client| client.closing.get().is_none() || client.is_lingering.get());
        let now = Instant::now();
        let silent = |client: &Client| {
            client.no_request_yet.get()
                && client.idle_since.get().is_some_and(|at| at + SWEEP_INTERVAL <= now)
        };
        let order =
            |client: &&Rc<Client>| (!client.is_lingering.get(), !silent(client), client.idle_since.get());
        let client = idle.min_by_key(order)?;
        // Without this exemption no new client would be served while the others are slow to close.
        let newest = open.values().next_back().is_some_and(|newest| Rc::ptr_eq(newest, client));
        let exempt_until = client.first_request_deadline().filter(|until| newest && now < *until);
        if exempt_until.is_none() {
            // A lingering connection has nothing left to send, so it is dropped at once.
            let stop = if client.is_lingering.get() { &client.drop } else { &client.close };
            stop.notify_one();
            client.closing.set(client.closing.get().or(Some(now)));
        }
        exempt_until
    }

    /// Closes a connection at the limit, and waits until one has ended or an exempt one may be closed.
    async fn wait_for_capacity(&self) {
        match self.close_longest_idle() {
            Some(exempt_until) => drop(timeout_at(exempt_until, self.capacity_freed.notified()).await),
            None => self.capacity_freed.notified().await,
        }
    }

    /// Asks every connection to close once it has no request in flight.
    pub fn close_idle(&self) {
        self.open.borrow().values().for_each(|client| client.close());
    }

    /// Waits until every connection has ended.
    async fn all_ended(&self) {
        while self.count() > 0 {
            self.capacity_freed.notified().await;
        }
    }
}

/// Accepts connections until shutdown is requested, then drains: it continues while clients are connected or still
/// connect, within the time allowed. Returns when every client has its answer.
pub async fn run(
    listener: TcpListener,
    node: Rc<Node>,
    connections: Rc<ClientConnections>,
    resource_limits: ResourceLimits,
) {
    let services = http_service::services(&node, resource_limits);
    let idle_time = Duration::from_micros(node.deployment.server_idle_timeout_us);
    let watched = Rc::clone(&connections);
    spawn_local(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            watched.sweep(idle_time);
        }
    });
    let mut next = 0;
    // During shutdown: when to close the remaining connections, and when to check next whether any are left.
    let mut draining: Option<(Instant, Instant)> = None;
    loop {
        let accept = async {
            while connections.count() >= resource_limits.accepted {
                connections.wait_for_capacity().await;
            }
            listener.accept().await
        };
        let quiet = async {
            match draining {
                Some((_, look)) => sleep_until(look).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            socket = accept => match socket {
                Ok((socket, _)) => {
                    next += 1;
                    let later = Instant::now() + QUIET_TIME;
                    draining = draining.map(|(at, look)| (at, look.max(later).min(at + MIN_DRAIN_TIME)));
                    serve(next, socket, services.clone(), &connections);
                }
                Err(e) => {
                    log_line!("accept", "{e}");
                    sleep(Duration::from_millis(10)).await;
                }
            },
            at = node.shutdown.requested() => draining = Some((at, Instant::now() + MIN_DRAIN_TIME)),
            () = quiet => match draining {
                Some((at, _)) if Instant::now() < at && connections.count() > 0 => {
                    draining = Some((at, at.min(Instant::now() + QUIET_TIME)));
                }
                _ => break,
            },
        }
    }
    for socket in close_listener(listener) {
        next += 1;
        serve(next, socket, services.clone(), &connections);
    }
    connections
        .final_read_deadline
        .set(Some(Instant::now() + node.shutdown.time_left().min(REQUEST_READ_TIME_OUT)));
    connections.close_idle();
    connections.all_ended().await;
}

/// Serves one accepted connection in a task of its own.
fn serve<S>(number: u64, socket: TcpStream, services: S, connections: &Rc<ClientConnections>)
where
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible> + Clone + 'static,
{
    let idle_since = Cell::new(Some(Instant::now()));
    let client = Rc::new(Client {
        idle_since,
        no_request_yet: Cell::new(true),
        meter: Rc::default(),
        closing: Cell::default(),
        close: Notify::new(),
        drop: Notify::new(),
        is_lingering: Cell::default(),
    });
    connections.open.borrow_mut().insert(number, Rc::clone(&client));
    let connections = Rc::clone(connections);
    spawn_local(async move {
        let _ = socket.set_nodelay(true);
        let (watched, watching) = (Rc::clone(&client), Rc::clone(&connections));
        let services = tower::service_fn(move |mut request: Request<Incoming>| {
            let (client, connections, mut services) =
                (Rc::clone(&watched), Rc::clone(&watching), services.clone());
            async move {
                let read_deadline =
                    client.read_deadline().unwrap_or_else(|| Instant::now() + REQUEST_READ_TIME_OUT);
                request.extensions_mut().insert(BodyDeadline(read_deadline));
                client.idle_since.set(None);
                client.no_request_yet.set(false);
                let reply = services.call(request).await;
                client.idle_since.set(Some(Instant::now()));
                client.meter.first_received_at.set(None);
                connections.capacity_freed.notify_one();
                reply
            }
        });
        let socket = MeteredSocket::new(socket, Rc::clone(&client.meter));
        let ending = socket.close_watcher();
        let connection = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .serve_connection(TokioIo::new(socket), TowerToHyperService::new(services));
        let mut served = Served { connection: Box::pin(connection), ending, client: &client };
        let ended = served.run(&connections).await;
        if let Err(fault) = &ended
            && !fault.is_incomplete_message()
        {
            log_line!("client", "connection {number}: {fault}");
        }
        served.linger().await;
        connections.open.borrow_mut().remove(&number);
        connections.capacity_freed.notify_one();
    });
}

/// A client's connection while it is being served.
struct Served<'a, S: HttpService<Incoming>> {
    connection: Pin<Box<Connection<TokioIo<MeteredSocket>, S>>>,
    ending: CloseWatcher,
    client: &'a Client,
}

impl<S> Served<'_, S>
where
    S: HttpService<Incoming, ResBody = ReplyBody, Error: Into<BoxError>>,
{
    /// Drives the connection until it has ended or its client has disconnected. The socket is polled for the
    /// disconnect as well, since hyper does not notice it while unread bytes are buffered.
    async fn ended(&mut self) -> hyper::Result<()> {
        poll_fn(|cx| {
            if let Poll::Ready(ended) = self.connection.as_mut().poll(cx) {
                return Poll::Ready(ended);
            }
            if self.client.is_idle() { Poll::Pending } else { self.ending.poll(cx).map(Ok) }
        })
        .await
    }

    /// Serves requests until the connection ends, is dropped or is closed.
    async fn run(&mut self, connections: &ClientConnections) -> hyper::Result<()> {
        let client = self.client;
        // Biased, so that a request that has arrived is served before a pending close takes effect.
        tokio::select! {
            biased;
            ended = self.ended() => ended,
            () = client.dropped() => Ok(()),
            () = client.close.notified() => self.finish(connections).await,
        }
    }

    /// Shuts the connection down gracefully.
    async fn finish(&mut self, connections: &ClientConnections) -> hyper::Result<()> {
        let client = self.client;
        // Yields once, so that the runtime polls its sockets and hyper takes a request that has arrived already.
        tokio::select! {
            biased;
            ended = self.ended() => return ended,
            () = yield_now() => {}
        }
        // Connections that sent nothing close at once, so that a flood of them does not occupy the limit.
        if client.no_request_yet.get() && client.meter.first_received_at.get().is_none() {
            return Ok(());
        }
        // Waits for a partly received request: hyper's graceful shutdown would not wait for the rest of its head.
        let read_deadline =
            connections.final_read_deadline.get().unwrap_or_else(|| Instant::now() + REQUEST_READ_TIME_OUT);
        while client.has_partial_request() && Instant::now() < read_deadline {
            tokio::select! {
                biased;
                ended = self.ended() => return ended,
                () = client.dropped() => return Ok(()),
                () = sleep_until(read_deadline.min(Instant::now() + SWEEP_INTERVAL)) => {}
            }
        }
        self.connection.as_mut().graceful_shutdown();
        loop {
            tokio::select! {
                biased;
                ended = self.ended() => return ended,
                () = client.dropped() => return Ok(()),
                // Hyper would wait without limit for the rest of a first head.
                () = sleep(QUIET_TIME) => if client.no_request_yet.get() {
                    return Ok(());
                }
            }
        }
    }

    /// Lingering close: waits briefly for the client to close its side, so that a reset does not truncate its last
    /// answer. Whatever the client still sends is discarded.
    async fn linger(self) {
        let Served { connection, ending, client } = self;
        // Ends hyper's use of the socket before it is read here.
        drop(connection);
        if client.meter.bytes_written.get() == 0 {
            return;
        }
        client.is_lingering.set(true);
        tokio::select! {
            _ = timeout(QUIET_TIME, ending.lingering_close()) => {}
            () = client.drop.notified() => {}
        }
    }
}

#[cfg(test)]
mod tests;
