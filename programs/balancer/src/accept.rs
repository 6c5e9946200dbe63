//! The connections that clients open: accepted up to a number, closed when they are silent for too long or at
//! the brim, and all brought to their end when the program stops.

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
use whinspindle_metered_sockets::{Ending, Meter, Metered, drain};
use whinspindle_rate_limited_log::log_line;

use crate::front::{self, Due, Reply, ReplyBody};
use crate::node::Node;
use crate::shares::Shares;

/// After the order to stop connections go on coming for so long at the least.
const STOPPING: Duration = Duration::from_millis(500);
/// A listener to which none has come for so long is taken to be left alone.
const QUIET: Duration = Duration::from_millis(200);
/// A query must be whole so long after its first byte, and the first one so long after its client connected.
/// Guards against clients that hold connections with nothing, or with queries without an end.
const WHOLE: Duration = Duration::from_millis(2000);
/// How often connections that have used up their time are looked for.
const LOOK: Duration = Duration::from_millis(250);
/// More than the longest head that is reasonable, and a piece of a body.
const READ_BUFFER: usize = 32 * 1024;

/// The connections now open, by the order in which they came.
#[derive(Default)]
pub struct Accepted {
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    /// One has ended, or has become idle.
    eased: Notify,
    /// Once the program stops: by when the last queries must be whole.
    last_whole: Cell<Option<Instant>>,
}

struct Client {
    /// Since when no query of it is in hand.
    idle_since: Cell<Option<Instant>>,
    /// Nothing of it has been a whole head yet.
    fresh: Cell<bool>,
    /// Heard, if the first bytes of a query have come that is not answered yet.
    meter: Rc<Meter>,
    /// When it was told to come to its end.
    closing: Cell<Option<Instant>>,
    close: Notify,
    drop: Notify,
    /// All is answered, and only its end is waited for.
    lingers: Cell<bool>,
}

impl Client {
    fn is_idle(&self) -> bool {
        self.idle_since.get().is_some()
    }

    /// Waits for an order to drop it that counts. One that meets a query just taken is void: the query is
    /// served.
    async fn dropped(&self) {
        loop {
            self.drop.notified().await;
            if self.is_idle() {
                return;
            }
        }
    }

    /// The first bytes of a query have come that is not whole yet.
    fn has_begun(&self) -> bool {
        self.is_idle() && self.meter.heard.get().is_some()
    }

    /// Until when the query that has begun, or is due, must be whole.
    fn due(&self) -> Option<Instant> {
        let connected = self.idle_since.get().filter(|_| self.fresh.get());
        Some(connected.or(self.meter.heard.get())? + WHOLE)
    }

    /// Until when its first query may be on its way, of one that has said nothing yet.
    fn first_query_until(&self) -> Option<Instant> {
        let unheard = self.fresh.get() && self.meter.heard.get().is_none();
        self.idle_since.get().filter(|_| unheard).map(|came| came + LOOK)
    }

    fn close(&self) {
        if self.closing.get().is_none() {
            self.closing.set(Some(Instant::now()));
            self.close.notify_one();
        }
    }
}

impl Accepted {
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Drops what has begun a query and does not end it, or does not read its answer; closes what has been
    /// idle for too long.
    fn sweep(&self, idle_time: Duration) {
        let now = Instant::now();
        for client in self.open.borrow().values() {
            let Some(since) = client.idle_since.get() else { continue };
            // An answer that was owed when its connection was to close has its time from then on.
            let closing = client.closing.get().map(|at| at.max(since) + WHOLE);
            let ends = client.due().into_iter().chain(closing).min();
            if ends.is_some_and(|at| at <= now) {
                client.drop.notify_one();
            } else if since + idle_time <= now {
                client.close();
            }
        }
    }

    /// At the brim a connection makes room: the longest idle of those that have asked nothing for a while
    /// since they came, else of all. Guards against clients that connect by hundreds and say nothing: they
    /// can't crowd out those that ask, nor those whose first query is on its way. Where nobody else can make
    /// room the newest is spared for a while; until when is returned.
    fn close_longest_idle(&self) -> Option<Instant> {
        let open = self.open.borrow();
        // Should one end slowly, the next one is closed after it.
        let idle = open.values().filter(|client| client.is_idle());
        let idle = idle.filter(|client| client.closing.get().is_none() || client.lingers.get());
        let now = Instant::now();
        let silent = |client: &Client| {
            client.fresh.get() && client.idle_since.get().is_some_and(|at| at + LOOK <= now)
        };
        let order = |client: &&Rc<Client>| (!client.lingers.get(), !silent(client), client.idle_since.get());
        let client = idle.min_by_key(order)?;
        // Guards against others that end slowly, with half a query: nobody who comes meanwhile would be heard.
        let newest = open.values().next_back().is_some_and(|newest| Rc::ptr_eq(newest, client));
        let spared_until = client.first_query_until().filter(|until| newest && now < *until);
        if spared_until.is_none() {
            // What lingers ends at once.
            let stop = if client.lingers.get() { &client.drop } else { &client.close };
            stop.notify_one();
            client.closing.set(client.closing.get().or(Some(now)));
        }
        spared_until
    }

    /// Makes room at the brim, and waits until a connection has ended, or one that is spared may be closed.
    async fn make_room(&self) {
        match self.close_longest_idle() {
            Some(spared_until) => drop(timeout_at(spared_until, self.eased.notified()).await),
            None => self.eased.notified().await,
        }
    }

    pub fn close_idle(&self) {
        self.open.borrow().values().for_each(|client| client.close());
    }

    async fn all_ended(&self) {
        while self.count() > 0 {
            self.eased.notified().await;
        }
    }
}

/// Accepts until told to stop, and then goes on while clients are connected, or still come, for the time that
/// is left for that; returns when all have their answer.
pub async fn run(listener: TcpListener, node: Rc<Node>, accepted: Rc<Accepted>, shares: Shares) {
    let services = front::services(&node, shares);
    let idle_time = Duration::from_micros(node.deployment.idle_time);
    let watched = Rc::clone(&accepted);
    spawn_local(async move {
        loop {
            sleep(LOOK).await;
            watched.sweep(idle_time);
        }
    });
    let mut next = 0;
    // Once told to stop: when to part with the clients, and when next to see whether any are left.
    let mut parting: Option<(Instant, Instant)> = None;
    loop {
        let accept = async {
            while accepted.count() >= shares.accepted {
                accepted.make_room().await;
            }
            listener.accept().await
        };
        let quiet = async {
            match parting {
                Some((_, look)) => sleep_until(look).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            socket = accept => match socket {
                Ok((socket, _)) => {
                    next += 1;
                    let later = Instant::now() + QUIET;
                    parting = parting.map(|(at, look)| (at, look.max(later).min(at + STOPPING)));
                    serve(next, socket, services.clone(), &accepted);
                }
                Err(e) => {
                    log_line!("accept", "{e}");
                    sleep(Duration::from_millis(10)).await;
                }
            },
            at = node.stop.ordered() => parting = Some((at, Instant::now() + STOPPING)),
            () = quiet => match parting {
                Some((at, _)) if Instant::now() < at && accepted.count() > 0 => {
                    parting = Some((at, at.min(Instant::now() + QUIET)));
                }
                _ => break,
            },
        }
    }
    for socket in drain(listener) {
        next += 1;
        serve(next, socket, services.clone(), &accepted);
    }
    accepted.last_whole.set(Some(Instant::now() + node.stop.client_gone().min(WHOLE)));
    accepted.close_idle();
    accepted.all_ended().await;
}

fn serve<S>(number: u64, socket: TcpStream, services: S, accepted: &Rc<Accepted>)
where
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible> + Clone + 'static,
{
    let idle_since = Cell::new(Some(Instant::now()));
    let client = Rc::new(Client {
        idle_since,
        fresh: Cell::new(true),
        meter: Rc::default(),
        closing: Cell::default(),
        close: Notify::new(),
        drop: Notify::new(),
        lingers: Cell::default(),
    });
    accepted.open.borrow_mut().insert(number, Rc::clone(&client));
    let accepted = Rc::clone(accepted);
    spawn_local(async move {
        let _ = socket.set_nodelay(true);
        let (watched, watching) = (Rc::clone(&client), Rc::clone(&accepted));
        let services = tower::service_fn(move |mut request: Request<Incoming>| {
            let (client, accepted, mut services) =
                (Rc::clone(&watched), Rc::clone(&watching), services.clone());
            async move {
                let due = client.due().unwrap_or_else(|| Instant::now() + WHOLE);
                request.extensions_mut().insert(Due(due));
                client.idle_since.set(None);
                client.fresh.set(false);
                let reply = services.call(request).await;
                client.idle_since.set(Some(Instant::now()));
                client.meter.heard.set(None);
                accepted.eased.notify_one();
                reply
            }
        });
        let socket = Metered::new(socket, Rc::clone(&client.meter));
        let ending = socket.ending();
        let connection = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .serve_connection(TokioIo::new(socket), TowerToHyperService::new(services));
        let mut served = Served { connection: Box::pin(connection), ending, client: &client };
        let ended = served.run(&accepted).await;
        if let Err(fault) = &ended
            && !fault.is_incomplete_message()
        {
            log_line!("client", "connection {number}: {fault}");
        }
        served.part().await;
        accepted.open.borrow_mut().remove(&number);
        accepted.eased.notify_one();
    });
}

/// A client's connection while it is served.
struct Served<'a, S: HttpService<Incoming>> {
    connection: Pin<Box<Connection<TokioIo<Metered>, S>>>,
    ending: Ending,
    client: &'a Client,
}

impl<S> Served<'_, S>
where
    S: HttpService<Incoming, ResBody = ReplyBody, Error: Into<BoxError>>,
{
    /// Moves the connection until it has ended, or its client has left. Guards against a client that sent
    /// more behind its query and left: hyper looks for its end only where nothing else has come.
    async fn ended(&mut self) -> hyper::Result<()> {
        poll_fn(|cx| {
            if let Poll::Ready(ended) = self.connection.as_mut().poll(cx) {
                return Poll::Ready(ended);
            }
            if self.client.is_idle() { Poll::Pending } else { self.ending.poll(cx).map(Ok) }
        })
        .await
    }

    async fn run(&mut self, accepted: &Accepted) -> hyper::Result<()> {
        let client = self.client;
        // What has come goes before what was ordered meanwhile: a query that is in hand by then is served.
        tokio::select! {
            biased;
            ended = self.ended() => ended,
            () = client.dropped() => Ok(()),
            () = client.close.notified() => self.finish(accepted).await,
        }
    }

    /// Lets a connection that is to close come to its end.
    async fn finish(&mut self, accepted: &Accepted) -> hyper::Result<()> {
        let client = self.client;
        // A query that has come already is taken: the runtime is let at its sockets, and hyper at what is
        // there.
        tokio::select! {
            biased;
            ended = self.ended() => return ended,
            () = yield_now() => {}
        }
        // Guards against a flood of connections that say nothing, each of which would hold its place for a
        // while.
        if client.fresh.get() && client.meter.heard.get().is_none() {
            return Ok(());
        }
        // Guards against a close in the middle of a query that the client is still writing: hyper would not
        // wait for the rest of its head.
        let whole_by = accepted.last_whole.get().unwrap_or_else(|| Instant::now() + WHOLE);
        while client.has_begun() && Instant::now() < whole_by {
            tokio::select! {
                biased;
                ended = self.ended() => return ended,
                () = client.dropped() => return Ok(()),
                () = sleep_until(whole_by.min(Instant::now() + LOOK)) => {}
            }
        }
        self.connection.as_mut().graceful_shutdown();
        loop {
            tokio::select! {
                biased;
                ended = self.ended() => return ended,
                () = client.dropped() => return Ok(()),
                // Guards against a first head that never becomes whole: hyper would wait for the rest of it.
                () = sleep(QUIET) => if client.fresh.get() {
                    return Ok(());
                }
            }
        }
    }

    /// Waits a while for the client to end its side too, so that its last answer reaches it whole. What it
    /// sends now is no query any more.
    async fn part(self) {
        let Served { connection, ending, client } = self;
        // Hyper is done with the socket, or does not get to it any more.
        drop(connection);
        if client.meter.written.get() == 0 {
            return;
        }
        client.lingers.set(true);
        tokio::select! {
            _ = timeout(QUIET, ending.part()) => {}
            () = client.drop.notified() => {}
        }
    }
}

#[cfg(test)]
mod tests;
