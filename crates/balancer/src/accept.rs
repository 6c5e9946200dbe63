//! The connections that clients open: accepted up to a number, the longest idle closed at the brim, and all
//! brought to their end when the program stops.

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
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until};
use tower::{BoxError, Service};
use whinspindle_logline::log_line;

use crate::front::{self, Reply, ReplyBody};
use crate::node::Node;
use crate::shares::Shares;

/// After the order to stop connections are accepted for so long, and then until none has come for a while.
/// What comes later may not be answered before the program is killed.
const STOPPING: Duration = Duration::from_millis(500);
const QUIET: Duration = Duration::from_millis(200);
/// A head must be whole, and the next one begun, within this many times the servers' idle time.
const HEAD_TIME: u32 = 4;
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
    close: Notify,
}

impl Accepted {
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// At the brim the connection that has been idle longest makes room.
    fn close_longest_idle(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter_map(|client| Some((client.idle_since.get()?, client)));
        if let Some((_, client)) = idle.min_by_key(|(since, _)| *since) {
            client.close.notify_one();
            // Should it end slowly, the next one is closed after it.
            client.idle_since.set(None);
        }
    }

    fn close_idle(&self) {
        for client in self.open.borrow().values() {
            client.close.notify_one();
        }
    }

    async fn all_ended(&self) {
        while self.count() > 0 {
            self.eased.notified().await;
        }
    }
}

/// Accepts until told to stop, then for as long as connections still come, and returns when all have ended.
pub async fn run(
    listener: TcpListener,
    node: Rc<Node>,
    accepted: Rc<Accepted>,
    shares: Shares,
    stop: &Notify,
) {
    let services = front::services(&node, shares);
    let head_time = Duration::from_micros(node.deployment.idle_time) * HEAD_TIME;
    let mut next = 0;
    let mut quiet_at = None;
    loop {
        let accept = async {
            while accepted.count() >= shares.accepted {
                accepted.close_longest_idle();
                accepted.eased.notified().await;
            }
            listener.accept().await
        };
        let quiet = async {
            match quiet_at {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            socket = accept => match socket {
                Ok((socket, _)) => {
                    next += 1;
                    quiet_at = quiet_at.map(|at: Instant| at.max(Instant::now() + QUIET));
                    serve(next, socket, services.clone(), &accepted, head_time);
                }
                Err(e) => {
                    log_line!("accept", "{e}");
                    sleep(Duration::from_millis(10)).await;
                }
            },
            () = stop.notified() => quiet_at = Some(Instant::now() + STOPPING),
            () = quiet => break,
        }
    }
    // What the machine has accepted already counts as taken, so nothing may be left waiting there.
    while let Some(Ok((socket, _))) = listener.accept().now_or_never() {
        next += 1;
        serve(next, socket, services.clone(), &accepted, head_time);
    }
    drop(listener);
    accepted.close_idle();
    accepted.all_ended().await;
}

fn serve<S>(number: u64, socket: TcpStream, services: S, accepted: &Rc<Accepted>, head_time: Duration)
where
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible> + Clone + 'static,
{
    let idle_since = Cell::new(Some(Instant::now()));
    let client = Rc::new(Client { idle_since, fresh: Cell::new(true), close: Notify::new() });
    accepted.open.borrow_mut().insert(number, Rc::clone(&client));
    let accepted = Rc::clone(accepted);
    spawn_local(async move {
        let _ = socket.set_nodelay(true);
        let (watched, watching) = (Rc::clone(&client), Rc::clone(&accepted));
        let services = tower::service_fn(move |request| {
            let (client, accepted, mut services) =
                (Rc::clone(&watched), Rc::clone(&watching), services.clone());
            async move {
                client.idle_since.set(None);
                client.fresh.set(false);
                let reply = services.call(request).await;
                client.idle_since.set(Some(Instant::now()));
                accepted.eased.notify_one();
                reply
            }
        });
        let connection = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .timer(TokioTimer::new())
            .header_read_timeout(head_time)
            .serve_connection(TokioIo::new(socket), TowerToHyperService::new(services));
        let mut connection = pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = client.close.notified() => finish(connection, &client).await,
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
    mut connection: Pin<&mut Connection<TokioIo<TcpStream>, S>>,
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
    connection.as_mut().graceful_shutdown();
    loop {
        tokio::select! {
            ended = connection.as_mut() => return ended,
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
                    serve(1, socket, services, &accepted, STOPPING * 100);
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
