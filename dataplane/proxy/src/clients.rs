//! Client connections are accepted up to the capacity, closed after time-outs or to free capacity, and
//! drained when the process shuts down.
//!
//! [`connection`] holds the state of one connection; `serving` drives the connection with hyper.

pub mod connection;
mod serving;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use self::connection::{Client, ClientTimeouts};
use crate::connect::{BoxedSocket, configure_client_socket};
use crate::node::Node;

/// Delay before the next accept after a system error, such as running out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The open client connections, keyed by the order in which they were accepted.
#[derive(Default)]
pub struct Clients {
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    next_number: Cell<u64>,
    /// Notified when a connection has closed or has become idle.
    capacity_freed: Notify,
    /// During shutdown, the deadline for complete heads of the last requests.
    head_deadline: Cell<Option<Instant>>,
}

impl Clients {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes connections whose time-out has passed. Must be called periodically.
    pub fn sweep(&self, node: &Node) {
        let (now, timeouts) = (Instant::now(), ClientTimeouts::in_force(node));
        self.open.borrow().values().for_each(|client| client.sweep(now, &timeouts));
    }

    /// Closes one idle connection: preferably one in lingering close, else the longest idle one without any
    /// request so far, else the longest idle one.
    fn evict_least_needed(&self) {
        let open = self.open.borrow();
        let now = Instant::now();
        let candidates = open.values().filter(|client| client.is_evictable());
        let Some(client) = candidates.min_by_key(|client| client.eviction_order(now)) else { return };
        client.evict();
    }

    fn close_all(&self) {
        self.open.borrow().values().for_each(|client| client.close());
    }

    async fn wait_until_all_closed(&self) {
        while self.count() > 0 {
            self.capacity_freed.notified().await;
        }
    }

    async fn wait_for_capacity(&self, max_connections: usize) {
        while self.count() >= max_connections {
            self.evict_least_needed();
            self.capacity_freed.notified().await;
        }
    }

    /// Spawns a task that serves the connection.
    pub fn serve(self: &Rc<Self>, node: &Rc<Node>, socket: BoxedSocket) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let client = Rc::new(Client::new(ClientTimeouts::in_force(node).idle));
        self.open.borrow_mut().insert(number, Rc::clone(&client));
        let (clients, node) = (Rc::clone(self), Rc::clone(node));
        spawn_local(async move {
            serving::serve_connection(&clients, &node, &client, socket).await;
            clients.open.borrow_mut().remove(&number);
            clients.capacity_freed.notify_one();
        });
    }
}

/// Accepts connections until the process shuts down, and returns once all connections are closed.
pub async fn run(listener: TcpListener, node: Rc<Node>, clients: Rc<Clients>) {
    let wait_for_accepting_end = node.shutdown.wait_for_accepting_end();
    tokio::pin!(wait_for_accepting_end);
    loop {
        let accept = async {
            clients.wait_for_capacity(node.capacities.clients).await;
            listener.accept().await
        };
        tokio::select! {
            socket = accept => match socket {
                Ok((socket, _)) => clients.serve(&node, configure_client_socket(socket)),
                Err(error) => {
                    spdlog::warn!("cannot accept a client connection: {error}");
                    sleep(ACCEPT_BACKOFF).await;
                }
            },
            () = &mut wait_for_accepting_end => break,
        }
    }
    for socket in whinspindle_metered_sockets::close_listener(listener) {
        clients.serve(&node, configure_client_socket(socket));
    }
    finish(&node, &clients).await;
}

/// Closes all connections gracefully and waits until they are closed.
pub async fn finish(node: &Node, clients: &Clients) {
    clients.head_deadline.set(Some(Instant::now() + ClientTimeouts::in_force(node).header));
    clients.close_all();
    clients.wait_until_all_closed().await;
}
