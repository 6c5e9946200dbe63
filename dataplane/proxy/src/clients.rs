//! Client connections: accepted up to the capacity, closed after their time-outs or to make way for others, and drained
//! when the process shuts down.
//!
//! [`connection`] holds the state of one connection, its submodule `serving` drives it with hyper.

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
use crate::connect::{BoxedSocket, accepted};
use crate::node::Node;

/// Backoff of the listener after an error of the system, such as a lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The open connections, by the order in which they were accepted.
#[derive(Default)]
pub struct Clients {
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    /// Notified when a connection has ended or has become idle.
    capacity_freed: Notify,
    /// In shutdown: the time by which the heads of the last requests must be complete.
    last_complete: Cell<Option<Instant>>,
}

impl Clients {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes connections whose time-out has passed; to be called regularly.
    pub fn sweep(&self, node: &Node) {
        let (now, times) = (Instant::now(), ClientTimeouts::of(node));
        self.open.borrow().values().for_each(|client| client.sweep(now, &times));
    }

    /// Closes the connection that is needed least: one that only lingers, else the longest idle of those that have had no
    /// request, else the longest idle of all.
    fn close_longest_idle(&self) {
        let open = self.open.borrow();
        let now = Instant::now();
        let candidates = open.values().filter(|client| client.may_make_way());
        let Some(client) = candidates.min_by_key(|client| client.eviction_order(now)) else { return };
        client.make_way();
    }

    fn close_all(&self) {
        self.open.borrow().values().for_each(|client| client.close());
    }

    async fn all_ended(&self) {
        while self.count() > 0 {
            self.capacity_freed.notified().await;
        }
    }

    async fn wait_for_capacity(&self, most: usize) {
        while self.count() >= most {
            self.close_longest_idle();
            self.capacity_freed.notified().await;
        }
    }

    /// Serves a connection in a task of its own.
    pub fn serve(self: &Rc<Self>, node: &Rc<Node>, socket: BoxedSocket) {
        let number = self.next.get();
        self.next.set(number + 1);
        let client = Rc::new(Client::new(ClientTimeouts::of(node).idle));
        self.open.borrow_mut().insert(number, Rc::clone(&client));
        let (clients, node) = (Rc::clone(self), Rc::clone(node));
        spawn_local(async move {
            serving::serve_connection(&clients, &node, &client, socket).await;
            clients.open.borrow_mut().remove(&number);
            clients.capacity_freed.notify_one();
        });
    }
}

/// Accepts connections until the process shuts down, and returns when all clients have their answers.
pub async fn run(listener: TcpListener, node: Rc<Node>, clients: Rc<Clients>) {
    let accepting_ends = node.shutdown.accepting_ends();
    tokio::pin!(accepting_ends);
    loop {
        let accept = async {
            clients.wait_for_capacity(node.capacities.clients).await;
            listener.accept().await
        };
        tokio::select! {
            socket = accept => match socket {
                Ok((socket, _)) => clients.serve(&node, accepted(socket)),
                Err(fault) => {
                    spdlog::warn!("accept: {fault}");
                    sleep(ACCEPT_BACKOFF).await;
                }
            },
            () = &mut accepting_ends => break,
        }
    }
    for socket in whinspindle_metered_sockets::close_listener(listener) {
        clients.serve(&node, accepted(socket));
    }
    finish(&node, &clients).await;
}

/// Closes all connections gracefully and waits for their end.
pub async fn finish(node: &Node, clients: &Clients) {
    clients.last_complete.set(Some(Instant::now() + ClientTimeouts::of(node).header));
    clients.close_all();
    clients.all_ended().await;
}
