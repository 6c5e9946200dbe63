//! Connections of clients to balancers; a connection that has answered in full is used again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

pub type Sender = SendRequest<Full<Bytes>>;

/// The idle connections of the clients of one place.
#[derive(Default)]
pub struct Connections {
    idle: RefCell<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Connections {
    /// An idle connection to this address.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Gives a connection back that has answered in full.
    pub fn give_back(&self, address: SocketAddr, sender: Sender) {
        if !sender.is_closed() {
            self.idle.borrow_mut().entry(address).or_default().push(sender);
        }
    }

    /// Drops the idle connections to addresses that are no longer told.
    pub fn keep_only(&self, addresses: &[SocketAddr]) {
        self.idle.borrow_mut().retain(|address, _| addresses.contains(address));
    }
}

/// A new connection; none if it does not come up.
pub async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        let _ = connection.await;
    });
    Some(sender)
}
