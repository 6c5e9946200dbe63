//! The connections that clients open: accepted up to a number, the longest idle closed at the brim, and all
//! brought to their end when the program stops.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};
use tower::Service;
use whinspindle_logline::log_line;

use crate::front::{self, Reply};
use crate::node::Node;
use crate::shares::Shares;

/// After the order to stop, connections may come for a while; quiet for so long, no more are expected.
const QUIET: Duration = Duration::from_millis(500);
/// More than the longest head that is reasonable, and a piece of a body.
const READ_BUFFER: usize = 32 * 1024;

/// The connections now open, by the order in which they came.
#[derive(Default)]
pub struct Accepted {
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    freed: Notify,
}

struct Client {
    /// Since when no query of it is in hand.
    idle_since: RefCell<Option<Instant>>,
    close: Notify,
}

impl Accepted {
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// At the brim the connection that has been idle longest makes room.
    fn close_longest_idle(&self) {
        let open = self.open.borrow();
        let idle =
            open.values().filter_map(|client| Some((client.idle_since.borrow().as_ref().copied()?, client)));
        if let Some((_, client)) = idle.min_by_key(|(since, _)| *since) {
            client.close.notify_one();
        }
    }

    fn close_idle(&self) {
        for client in self.open.borrow().values() {
            client.close.notify_one();
        }
    }

    async fn all_ended(&self) {
        while self.count() > 0 {
            self.freed.notified().await;
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
    let mut next = 0;
    let mut quiet_at = None;
    loop {
        let accept = async {
            while accepted.count() >= shares.accepted {
                accepted.close_longest_idle();
                accepted.freed.notified().await;
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
                    quiet_at = quiet_at.map(|_| Instant::now() + QUIET);
                    serve(next, socket, services.clone(), &accepted);
                }
                Err(e) => {
                    log_line!("accept", "{e}");
                    sleep(Duration::from_millis(10)).await;
                }
            },
            () = stop.notified() => quiet_at = Some(Instant::now() + QUIET),
            () = quiet => break,
        }
    }
    drop(listener);
    accepted.close_idle();
    accepted.all_ended().await;
}

fn serve<S>(number: u64, socket: TcpStream, services: S, accepted: &Rc<Accepted>)
where
    S: Service<Request<Incoming>, Response = Reply, Error = std::convert::Infallible> + Clone + 'static,
{
    let client = Rc::new(Client { idle_since: RefCell::new(Some(Instant::now())), close: Notify::new() });
    accepted.open.borrow_mut().insert(number, Rc::clone(&client));
    let accepted = Rc::clone(accepted);
    spawn_local(async move {
        let _ = socket.set_nodelay(true);
        let watched = Rc::clone(&client);
        let services = tower::service_fn(move |request| {
            let (client, mut services) = (Rc::clone(&watched), services.clone());
            async move {
                *client.idle_since.borrow_mut() = None;
                let reply = services.call(request).await;
                *client.idle_since.borrow_mut() = Some(Instant::now());
                reply
            }
        });
        let connection = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .serve_connection(TokioIo::new(socket), TowerToHyperService::new(services));
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = client.close.notified() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(fault) = ended
            && !fault.is_incomplete_message()
        {
            log_line!("client", "connection {number}: {fault}");
        }
        accepted.open.borrow_mut().remove(&number);
        accepted.freed.notify_one();
    });
}
