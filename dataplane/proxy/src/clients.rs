//! The connections that clients open: accepted up to a number, closed when they are silent for too long or at the
//! brim, and all brought to their end when the process stops.

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
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use whinspindle_metered_sockets::{Ending, Meter, Metered};

use crate::answers::{Answer, AnswerBody};
use crate::connect::{BoxedSocket, accepted};
use crate::front;
use crate::head_watch::{HeadWatch, Watched};
use crate::node::Node;

/// How long a connection's end is waited for once its last answer is out, so that the answer reaches the client whole;
/// and how long ago that answer may be.
const PARTING: Duration = Duration::from_millis(200);
/// How often a connection that is to close is looked at while a request on it is not whole.
const LOOK: Duration = Duration::from_millis(250);
/// More than clients are told: a close never meets a request that came in time.
const IDLE_SLACK: Duration = Duration::from_secs(1);
const HEADER_SLACK: Duration = Duration::from_secs(1);
/// An answer that is not read so long after its time was over is given up.
const UNREAD_SLACK: Duration = Duration::from_secs(1);
/// At the brim, connections that have been silent for so long since they came go first.
const SILENT: Duration = Duration::from_millis(500);
/// Room behind the longest head for a piece of a body.
const BODY_BUFFER: usize = 16 * 1024;
/// The listener rests so long after a fault of the system, such as a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The connections now open, by the order in which they came.
#[derive(Default)]
pub struct Clients {
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    /// One has ended, or has become idle.
    eased: Notify,
    /// Once the process stops: by when the last requests must be whole.
    last_whole: Cell<Option<Instant>>,
}

/// One connection of a client.
pub struct Client {
    /// Since when no request of it is in hand.
    idle_since: Cell<Option<Instant>>,
    /// Nothing of it has been a whole head yet.
    fresh: Cell<bool>,
    /// By when the answer under way has to be out.
    answer_due: Cell<Option<Instant>>,
    /// The longest idle time that has been in force since it came.
    idle_timeout: Cell<Duration>,
    /// Heard, if the first bytes of a request have come that is not answered yet.
    meter: Rc<Meter>,
    head: Rc<RefCell<HeadWatch>>,
    /// When it was told to come to its end.
    closing: Cell<Option<Instant>>,
    close: Notify,
    drop: Notify,
    /// All is answered, and only its end is waited for.
    parting: Cell<bool>,
}

/// A request of a client is in hand; the connection is idle again once this is dropped.
pub struct Busy {
    client: Rc<Client>,
    clients: Rc<Clients>,
}

impl Busy {
    fn begin(client: &Rc<Client>, clients: &Rc<Clients>) -> Busy {
        client.idle_since.set(None);
        client.fresh.set(false);
        Busy { client: Rc::clone(client), clients: Rc::clone(clients) }
    }

    /// When the first bytes of the request came.
    pub fn received(&self) -> Instant {
        self.client.meter.heard.get().unwrap_or_else(Instant::now)
    }

    /// The request's head names two kinds of length.
    pub fn is_ambiguous(&self) -> bool {
        self.client.head.borrow().is_ambiguous()
    }

    /// None may be served after the request on its connection.
    pub fn is_last(&self) -> bool {
        self.is_ambiguous() || self.client.head.borrow().is_lost()
    }

    /// Tells by when the answer has to be out.
    pub fn set_answer_due(&self, due: Instant) {
        self.client.answer_due.set(Some(due));
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.client.idle_since.set(Some(Instant::now()));
        self.client.answer_due.set(None);
        self.client.meter.heard.set(None);
        self.client.head.borrow_mut().restart();
        self.clients.eased.notify_one();
    }
}

impl Client {
    fn new(idle_timeout: Duration) -> Self {
        Client {
            idle_since: Cell::new(Some(Instant::now())),
            fresh: Cell::new(true),
            answer_due: Cell::default(),
            idle_timeout: Cell::new(idle_timeout),
            meter: Rc::default(),
            head: Rc::default(),
            closing: Cell::default(),
            close: Notify::new(),
            drop: Notify::new(),
            parting: Cell::default(),
        }
    }

    fn is_idle(&self) -> bool {
        self.idle_since.get().is_some()
    }

    /// The first bytes of a request have come that is not whole yet.
    fn has_begun(&self) -> bool {
        self.is_idle() && self.meter.heard.get().is_some()
    }

    /// Waits for an order to drop it that counts. One that meets a request just taken is void.
    async fn dropped(&self) {
        loop {
            self.drop.notified().await;
            let unread = self.answer_due.get().is_some_and(|due| due + UNREAD_SLACK <= Instant::now());
            if self.is_idle() || unread {
                return;
            }
        }
    }

    fn close(&self) {
        if self.closing.get().is_none() {
            self.closing.set(Some(Instant::now()));
            self.close.notify_one();
        }
    }

    /// Closes or drops the connection if a time of it is over.
    fn sweep(&self, now: Instant, times: &ClientTimes) {
        let Some(idle_since) = self.idle_since.get() else {
            if self.answer_due.get().is_some_and(|due| due + UNREAD_SLACK <= now) {
                self.drop.notify_one();
            }
            return;
        };
        self.idle_timeout.set(self.idle_timeout.get().max(times.idle));
        let begun = self.meter.heard.get();
        let late = begun.is_some_and(|begun| begun + times.header + HEADER_SLACK <= now);
        let unclosed = self.closing.get().is_some_and(|at| at.max(idle_since) + times.header <= now);
        if late || unclosed {
            self.drop.notify_one();
        } else if begun.is_none() && idle_since + self.idle_timeout.get() + IDLE_SLACK <= now {
            self.close();
        }
    }
}

/// For how long connections may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClientTimes {
    header: Duration,
    idle: Duration,
}

impl ClientTimes {
    fn of(node: &Node) -> Self {
        let limits = node.limits.borrow();
        ClientTimes {
            header: Duration::from_millis(limits.header_timeout_ms()),
            idle: Duration::from_millis(limits.idle_timeout_ms()),
        }
    }
}

impl Clients {
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Ends connections whose time is over; to be called now and then.
    pub fn sweep(&self, node: &Node) {
        let (now, times) = (Instant::now(), ClientTimes::of(node));
        self.open.borrow().values().for_each(|client| client.sweep(now, &times));
    }

    /// At the brim a connection makes room: one that is only parting, else the longest idle of those that have asked
    /// nothing since they came, else of all.
    fn close_longest_idle(&self) {
        let open = self.open.borrow();
        let now = Instant::now();
        let silent = |client: &Client| {
            client.fresh.get() && client.idle_since.get().is_some_and(|at| at + SILENT <= now)
        };
        let idle = open.values().filter(|client| client.is_idle());
        let idle = idle.filter(|client| client.closing.get().is_none() || client.parting.get());
        let order = |client: &&Rc<Client>| (!client.parting.get(), !silent(client), client.idle_since.get());
        let Some(client) = idle.min_by_key(order) else { return };
        if client.parting.get() {
            client.drop.notify_one();
        } else {
            client.close();
        }
    }

    fn close_all(&self) {
        self.open.borrow().values().for_each(|client| client.close());
    }

    async fn all_ended(&self) {
        while self.count() > 0 {
            self.eased.notified().await;
        }
    }

    async fn room(&self, most: usize) {
        while self.count() >= most {
            self.close_longest_idle();
            self.eased.notified().await;
        }
    }

    /// Serves a connection in a task of its own.
    pub fn serve(self: &Rc<Self>, node: &Rc<Node>, socket: BoxedSocket) {
        let number = self.next.get();
        self.next.set(number + 1);
        let client = Rc::new(Client::new(ClientTimes::of(node).idle));
        self.open.borrow_mut().insert(number, Rc::clone(&client));
        let (clients, node) = (Rc::clone(self), Rc::clone(node));
        spawn_local(async move {
            serve_connection(&clients, &node, &client, socket).await;
            clients.open.borrow_mut().remove(&number);
            clients.eased.notify_one();
        });
    }
}

/// Accepts connections until the process stops, and returns when all clients have their answers.
pub async fn run(listener: TcpListener, node: Rc<Node>, clients: Rc<Clients>) {
    let accepting_ends = node.stop.accepting_ends();
    tokio::pin!(accepting_ends);
    loop {
        let accept = async {
            clients.room(node.shares.clients).await;
            listener.accept().await
        };
        tokio::select! {
            socket = accept => match socket {
                Ok((socket, _)) => clients.serve(&node, accepted(socket)),
                Err(fault) => {
                    spdlog::warn!("accept: {fault}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            () = &mut accepting_ends => break,
        }
    }
    for socket in whinspindle_metered_sockets::drain(listener) {
        clients.serve(&node, accepted(socket));
    }
    finish(&node, &clients).await;
}

/// Brings all connections to their end.
pub async fn finish(node: &Node, clients: &Clients) {
    clients.last_whole.set(Some(Instant::now() + ClientTimes::of(node).header));
    clients.close_all();
    clients.all_ended().await;
}

async fn serve_connection(clients: &Rc<Clients>, node: &Rc<Node>, client: &Rc<Client>, socket: BoxedSocket) {
    let (watched, watching, shared) = (Rc::clone(client), Rc::clone(clients), Rc::clone(node));
    let service = service_fn(move |request: Request<Incoming>| {
        let busy = Busy::begin(&watched, &watching);
        answer(Rc::clone(&shared), request, busy)
    });
    let socket = Metered::new(socket, Rc::clone(&client.meter));
    let ending = socket.ending();
    let header_bytes = node.limits.borrow().header_bytes();
    let socket = Watched::new(socket, Rc::clone(&client.head));
    let connection = Builder::new()
        .auto_date_header(false)
        .max_buf_size(header_bytes * 2 + BODY_BUFFER)
        .serve_connection(TokioIo::new(socket), service);
    let mut served = Served { connection: Box::pin(connection), ending, client };
    served.run(clients).await;
    served.part().await;
}

async fn answer(node: Rc<Node>, request: Request<Incoming>, busy: Busy) -> Result<Answer, Infallible> {
    let answer = front::answer(&node, request, &busy).await;
    Ok(answer.map(|body| body.holding(busy)))
}

type Wire = TokioIo<Watched<Metered<BoxedSocket>>>;

/// A client's connection while it is served.
struct Served<'a, S: HttpService<Incoming>> {
    connection: Pin<Box<Connection<Wire, S>>>,
    ending: Ending<BoxedSocket>,
    client: &'a Client,
}

impl<S> Served<'_, S>
where
    S: HttpService<Incoming, ResBody = AnswerBody, Error = Infallible>,
{
    /// Moves the connection until it has ended, or its client has left. The end is looked for also behind bytes that
    /// nobody has read.
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
        // What has come goes before what was ordered meanwhile: a request that is in hand by then is served.
        tokio::select! {
            biased;
            () = self.ended() => {}
            () = client.dropped() => {}
            () = client.close.notified() => self.finish(clients).await,
        }
    }

    /// Lets a connection that is to close come to its end.
    async fn finish(&mut self, clients: &Clients) {
        let client = self.client;
        // A request that has come already is taken: the runtime is let at its sockets, and hyper at what is there.
        tokio::select! {
            biased;
            () = self.ended() => return,
            () = yield_now() => {}
        }
        // A connection that has said nothing has nothing to lose.
        if client.fresh.get() && client.meter.heard.get().is_none() {
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
                // Guards against a first head that never becomes whole: hyper would wait for the rest of it.
                () = sleep(LOOK) => if client.fresh.get() {
                    return;
                }
            }
        }
    }

    /// Waits for a request of which the client is still writing the head. False if the connection has ended.
    async fn wait_for_begun(&mut self, clients: &Clients) -> bool {
        let client = self.client;
        let whole_by = clients.last_whole.get().unwrap_or_else(|| Instant::now() + HEADER_SLACK);
        while client.has_begun() && Instant::now() < whole_by {
            tokio::select! {
                biased;
                () = self.ended() => return false,
                () = client.dropped() => return false,
                () = sleep_until(whole_by.min(Instant::now() + LOOK)) => {}
            }
        }
        true
    }

    /// Waits a while for the client to end its side too, so that its last answer reaches it whole. What it sends now
    /// is no request any more.
    async fn part(self) {
        let Served { connection, ending, client } = self;
        // Hyper is done with the socket, or does not get to it any more.
        drop(connection);
        // What comes in when no answer is on its way is not read: the client may send it again elsewhere.
        let rested = client.idle_since.get().is_some_and(|since| since + PARTING <= Instant::now());
        if rested || client.meter.written.get() == 0 {
            return;
        }
        client.parting.set(true);
        tokio::select! {
            _ = timeout(PARTING, ending.part()) => {}
            () = client.drop.notified() => {}
        }
    }
}
