//! Connections to the other controllers. Each controller writes on the connections that it opened and reads from those
//! that the others opened.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};
use spdlog::info;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use whinspindle_distribution::connect::{ConnectError, connect};
use whinspindle_distribution::frame::{FrameBuffer, FrameError, FrameKind};
use whinspindle_distribution::{Hello, Role, encode_hello};

use super::node::Node;
use super::outbox::Outbox;

const CONNECT_LIMIT: Duration = Duration::from_millis(500);
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const LONGEST_BACKOFF: Duration = Duration::from_millis(300);
/// A controller from which nothing was read for this long gets a new connection.
const SILENCE_MS: u64 = 1_500;
/// A message that waited longer than this for a connection is not sent any more.
const FRESH_MS: u64 = 300;
/// A connection to a process that is no known controller is given up after this time without a message to it.
const UNUSED_MS: u64 = 10_000;
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(display("{source}"))]
    Connect { source: ConnectError },
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    #[snafu(display("reading from the connection"))]
    Read { source: std::io::Error },
    #[snafu(display("the peer has closed the connection"))]
    Closed,
    #[snafu(display("the peer is silent"))]
    Silent,
}

/// One other controller, as the node and the task of its connection share it.
pub struct PeerLink {
    peer: SocketAddr,
    outbox: Outbox,
    /// Ends the present connection.
    renew: Notify,
    connected_at: Cell<Option<u64>>,
    heard_at: Cell<u64>,
    used_at: Cell<u64>,
}

impl PeerLink {
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// The connection stands: messages that were queued long before are of no use any more.
    pub fn connected(&self, now: u64) {
        self.connected_at.set(Some(now));
        self.outbox.drop_before(now.saturating_sub(FRESH_MS));
    }

    fn is_silent(&self, now: u64) -> bool {
        let connected_long = self.connected_at.get().is_some_and(|at| at + SILENCE_MS < now);
        connected_long && self.heard_at.get() + SILENCE_MS < now
    }
}

/// The links to all other controllers.
pub struct PeerLinks {
    own: SocketAddr,
    node: Weak<RefCell<Node>>,
    links: HashMap<SocketAddr, Rc<PeerLink>>,
}

impl PeerLinks {
    /// Links of the controller at `own`; its node is told of connections that stand.
    pub fn new(own: SocketAddr, node: Weak<RefCell<Node>>) -> PeerLinks {
        PeerLinks { own, node, links: HashMap::new() }
    }

    /// Sends a frame; the first one to a peer opens the connection.
    pub fn send(&mut self, now: u64, to: SocketAddr, kind: FrameKind, payload: Bytes) {
        if to == self.own {
            return;
        }
        let link = self.links.entry(to).or_insert_with(|| open(self.own, to, self.node.clone()));
        link.used_at.set(now);
        link.outbox.push(now, kind, payload);
    }

    pub fn heard(&mut self, now: u64, peer: SocketAddr) {
        if let Some(link) = self.links.get(&peer) {
            link.heard_at.set(now);
        }
    }

    /// Opens new connections to peers that have been silent: the present ones may be dead without a sign.
    pub fn renew_silent(&mut self, now: u64) {
        for link in self.links.values().filter(|link| link.is_silent(now)) {
            link.connected_at.set(None);
            link.renew.notify_one();
        }
    }

    /// Ends links to processes that are no controllers any more.
    pub fn end_unused(&mut self, now: u64, known: &[SocketAddr]) {
        let unused =
            self.links.extract_if(|peer, link| link.used_at.get() + UNUSED_MS < now && !known.contains(peer));
        unused.for_each(|(_, link)| link.renew.notify_one());
    }
}

fn open(own: SocketAddr, peer: SocketAddr, node: Weak<RefCell<Node>>) -> Rc<PeerLink> {
    let link = Rc::new(PeerLink {
        peer,
        outbox: Outbox::new(MAX_QUEUED_BYTES),
        renew: Notify::new(),
        connected_at: Cell::new(None),
        heard_at: Cell::new(0),
        used_at: Cell::new(0),
    });
    spawn_local(keep_connected(own, Rc::clone(&link), node));
    link
}

/// Runs until the node has given the link up.
async fn keep_connected(own: SocketAddr, link: Rc<PeerLink>, node: Weak<RefCell<Node>>) {
    let mut backoff = FIRST_BACKOFF;
    while Rc::strong_count(&link) > 1 {
        let failure = run_connection(own, &link, &node).await;
        if link.connected_at.take().is_some() {
            backoff = FIRST_BACKOFF;
            info!("connection to controller {} ended: {failure}", link.peer);
        }
        sleep(backoff).await;
        backoff = (2 * backoff).min(LONGEST_BACKOFF);
    }
}

/// Opens a connection and writes to it until it ends.
async fn run_connection(own: SocketAddr, link: &Rc<PeerLink>, node: &Weak<RefCell<Node>>) -> LinkError {
    let mut stream = match connect(link.peer, CONNECT_LIMIT).await.context(ConnectSnafu) {
        Ok(stream) => stream,
        Err(failure) => return failure,
    };
    let Some(node) = node.upgrade() else { return LinkError::Closed };
    node.borrow_mut().peer_connected(link);
    drop(node);
    match write_frames(own, link, &mut stream).await {
        Ok(()) => LinkError::Closed,
        Err(failure) => failure,
    }
}

async fn write_frames(own: SocketAddr, link: &PeerLink, stream: &mut TcpStream) -> Result<(), LinkError> {
    let (mut reader, mut writer) = stream.split();
    let mut buffer = FrameBuffer::default();
    let mut unexpected = [0; 64];
    let hello = encode_hello(&Hello { role: Role::Peer, endpoint: own });
    buffer.push(FrameKind::Hello, &hello).context(FrameSnafu)?;
    loop {
        let step = async {
            if buffer.is_empty() {
                link.outbox.filled().await;
                link.outbox.move_to(&mut buffer)?;
            }
            buffer.write_to(&mut writer).await
        };
        tokio::select! {
            written = step => written.context(FrameSnafu)?,
            read = reader.read(&mut unexpected) => {
                if read.context(ReadSnafu)? == 0 {
                    return Err(LinkError::Closed);
                }
            }
            () = link.renew.notified() => return Err(LinkError::Silent),
        }
    }
}
