//! The connections that clients open: accepted up to a number, closed when they are silent for too long or at
//! the brim, and all brought to their end when the program stops.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::{self, Connection};
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until};
use tower::{BoxError, Service};
use whinspindle_logline::log_line;
use whinspindle_sockets::{Meter, Metered};

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
}

impl Client {
    /// Until when the query that has begun, or is due, must be whole.
    fn due(&self) -> Option<Instant> {
        let connected = self.idle_since.get().filter(|_| self.fresh.get());
        Some(connected.or(self.meter.heard.get())? + WHOLE)
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

    /// Drops what has begun a query and does not end it, or does not read its answer; closes what has been idle
    /// for too long.
    fn sweep(&self, idle_time: Duration) {
        let now = Instant::now();
        for client in self.open.borrow().values() {
            let Some(since) = client.idle_since.get() else { continue };
            let ends = client.due().into_iter().chain(client.closing.get().map(|at| at + WHOLE)).min();
            if ends.is_some_and(|at| at <= now) {
                client.drop.notify_one();
            } else if since + idle_time <= now {
                client.close();
            }
        }
    }

    /// At the brim a connection makes room: the longest idle of those that have asked nothing for a while since
    /// they came, else of all. Guards against clients that connect by hundreds and say nothing: they can't crowd
    /// out those that ask, nor those whose first query is on its way.
    fn close_longest_idle(&self) {
        let open = self.open.borrow();
        // Should one end slowly, the next one is closed after it.
        let idle = open.values().filter(|client| client.idle_since.get().is_some());
        let idle = idle.filter(|client| client.closing.get().is_none());
        let now = Instant::now();
        let silent = |client: &Client| {
            client.fresh.get() && client.idle_since.get().is_some_and(|at| at + LOOK <= now)
        };
        if let Some(client) = idle.min_by_key(|client| (!silent(client), client.idle_since.get())) {
            client.close();
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
                accepted.close_longest_idle();
                accepted.eased.notified().await;
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
    // What the machine has accepted already counts as taken, so nothing may be left waiting there.
    while let Some(Ok((socket, _))) = listener.accept().now_or_never() {
        next += 1;
        serve(next, socket, services.clone(), &accepted);
    }
    drop(listener);
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
        let connection = http1::Builder::new().max_buf_size(READ_BUFFER).serve_connection(
            TokioIo::new(Metered::new(socket, Rc::clone(&client.meter))),
            TowerToHyperService::new(services),
        );
        let mut connection = pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = client.close.notified() => finish(connection, &client).await,
            () = client.drop.notified() => Ok(()),
        };
        if let Err(fault) = ended
            && !fault.is_incomplete_message()
        {
            log_line!("client", "connection {number}: {fault}");
        }
        accepted.open.borrow_mut().remove(&number);
        accepted.eased.notify_one();
    });
}

/// Lets a connection that is to close come to its end.
async fn finish<S>(
    mut connection: Pin<&mut Connection<TokioIo<Metered>, S>>,
    client: &Client,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = ReplyBody, Error: Into<BoxError>>,
{
    // A query that has come already is taken: the runtime is let at its sockets, and hyper at what is there.
    tokio::select! {
        biased;
        ended = connection.as_mut() => return ended,
        () = yield_now() => {}
    }
    // Guards against a flood of connections that say nothing, each of which would hold its place for a while.
    if client.fresh.get() && client.meter.heard.get().is_none() {
        return Ok(());
    }
    connection.as_mut().graceful_shutdown();
    loop {
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = client.drop.notified() => return Ok(()),
            // Guards against a first head that never becomes whole: hyper would wait for the rest of it.
            () = sleep(QUIET) => if client.fresh.get() {
                return Ok(());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};

    use super::*;

    /// A connection as a sweep sees it: what it did so many milliseconds ago.
    fn client(idle: Option<u64>, fresh: bool, heard: Option<u64>, closing: Option<u64>) -> Rc<Client> {
        let ago = |ms: Option<u64>| ms.map(|ms| Instant::now() - Duration::from_millis(ms));
        let meter = Rc::new(Meter::default());
        meter.heard.set(ago(heard));
        Rc::new(Client {
            idle_since: Cell::new(ago(idle)),
            fresh: Cell::new(fresh),
            meter,
            closing: Cell::new(ago(closing)),
            close: Notify::new(),
            drop: Notify::new(),
        })
    }

    #[test]
    fn silence_and_queries_without_an_end_have_a_limit() {
        for (idle, fresh, heard, closing, (closed, dropped)) in [
            (Some(1_000), true, None, None, (false, false)),
            (Some(2_000), true, None, None, (false, true)),
            (Some(2_000), true, Some(10), None, (false, true)),
            (Some(9_000), false, None, None, (false, false)),
            (Some(9_000), false, Some(1_000), None, (false, false)),
            (Some(9_000), false, Some(2_000), None, (false, true)),
            (Some(10_000), false, None, None, (true, false)),
            // Told to close, and its answer not read.
            (Some(10_000), false, None, Some(1_000), (false, false)),
            (Some(10_000), false, None, Some(2_000), (false, true)),
            // While a query is in hand its own time counts.
            (None, false, Some(30_000), Some(30_000), (false, false)),
        ] {
            let client = client(idle, fresh, heard, closing);
            let accepted = Accepted::default();
            accepted.open.borrow_mut().insert(1, Rc::clone(&client));
            accepted.sweep(Duration::from_secs(10));
            let told = (client.close.notified().now_or_never(), client.drop.notified().now_or_never());
            let told = (told.0.is_some(), told.1.is_some());
            assert_eq!(told, (closed, dropped), "{idle:?} {fresh} {heard:?} {closing:?}");
        }
    }

    #[test]
    fn at_the_brim_those_that_asked_nothing_make_room_first() {
        let clients = [
            client(Some(9_000), false, None, None),
            client(Some(300), true, None, None),
            client(Some(900), true, None, None),
            client(Some(0), true, None, None),
            client(None, false, None, None),
        ];
        // It has only just come, however slow this test is.
        clients[3].idle_since.set(Some(Instant::now() + Duration::from_secs(3600)));
        let accepted = Accepted::default();
        accepted.open.borrow_mut().extend((0..).zip(clients.iter().map(Rc::clone)));
        for next in [2, 1, 0, 3] {
            accepted.close_longest_idle();
            let closing = (0..5).filter(|&i| clients[i].close.notified().now_or_never().is_some());
            assert_eq!(closing.collect::<Vec<_>>(), [next]);
        }
    }

    #[tokio::test(flavor = "current_thread")]
    async fn a_query_that_has_come_is_answered_though_its_connection_is_to_close() {
        for sent in ["GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n", ""] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let mut client = std::net::TcpStream::connect(address).expect("a connection");
            client.write_all(sent.as_bytes()).expect("written");
            let accepted = Rc::new(Accepted::default());
            let services = tower::service_fn(|_| async { Ok(front::rejected_unseen()) });
            tokio::task::LocalSet::new()
                .run_until(async {
                    let (socket, _) = listener.accept().await.expect("a connection");
                    serve(1, socket, services, &accepted);
                    accepted.close_idle();
                    accepted.all_ended().await;
                })
                .await;
            let mut answer = String::new();
            // What was not whole may be reset.
            let _ = client.read_to_string(&mut answer);
            assert_eq!(answer.starts_with("HTTP/1.1 503"), sent.ends_with("\r\n\r\n"), "{sent:?}: {answer}");
        }
    }
}
