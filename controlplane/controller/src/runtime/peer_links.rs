//! Connections to the other controllers. Each controller writes on the connections that it opened and reads from those
//! that the others opened.

use std::cell::Cell;
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

use super::send_queue::SendQueue;

/// How long an attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The wait before the first attempt to connect again; it doubles with each failed one.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait between two attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_millis(300);
/// The connection to a controller from which nothing is received for this long is replaced.
const PEER_TIMEOUT_MS: u64 = 1_500;
/// Messages queued longer than this before a connection is established are dropped.
const MAX_QUEUED_MS: u64 = 300;
/// A connection to an address that belongs to no known controller is closed after this time without a message to it.
const IDLE_TIMEOUT_MS: u64 = 10_000;
/// Bytes queued for one controller beyond which the oldest messages are dropped.
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

/// What has to know of established connections: the node that sends over them.
pub trait ConnectionObserver {
    /// A connection to a controller is established; nothing has been sent on it yet.
    fn connected(&self, link: &PeerLink);
}

/// One other controller, as the node and the task of its connection share it.
pub struct PeerLink {
    peer: SocketAddr,
    send_queue: SendQueue,
    /// Closes the present connection.
    disconnect: Notify,
    connected_at: Cell<Option<u64>>,
    received_at: Cell<u64>,
    used_at: Cell<u64>,
}

impl PeerLink {
    /// The address of the controller.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Records an established connection, and drops messages that were queued long before it.
    pub fn mark_connected(&self, now: u64) {
        self.connected_at.set(Some(now));
        self.send_queue.drop_before(now.saturating_sub(MAX_QUEUED_MS));
    }

    fn is_silent(&self, now: u64) -> bool {
        let connected_long = self.connected_at.get().is_some_and(|at| at + PEER_TIMEOUT_MS < now);
        connected_long && self.received_at.get() + PEER_TIMEOUT_MS < now
    }
}

/// The links to all other controllers.
pub struct PeerLinks {
    own: SocketAddr,
    observer: Weak<dyn ConnectionObserver>,
    links: HashMap<SocketAddr, Rc<PeerLink>>,
}

impl PeerLinks {
    /// Links of the controller at `own`; the observer is notified of each established connection.
    pub fn new(own: SocketAddr, observer: Weak<dyn ConnectionObserver>) -> PeerLinks {
        PeerLinks { own, observer, links: HashMap::new() }
    }

    /// Sends a frame; the first one to a peer opens the connection.
    pub fn send(&mut self, now: u64, to: SocketAddr, kind: FrameKind, payload: Bytes) {
        if to == self.own {
            return;
        }
        let link = self.links.entry(to).or_insert_with(|| open(self.own, to, self.observer.clone()));
        link.used_at.set(now);
        link.send_queue.push(now, kind, payload);
    }

    /// Records that a frame was received from a controller.
    pub fn frame_received(&mut self, now: u64, peer: SocketAddr) {
        if let Some(link) = self.links.get(&peer) {
            link.received_at.set(now);
        }
    }

    /// Replaces connections to silent peers: they may be dead without an error.
    pub fn reconnect_silent(&mut self, now: u64) {
        for link in self.links.values().filter(|link| link.is_silent(now)) {
            link.connected_at.set(None);
            link.disconnect.notify_one();
        }
    }

    /// Closes links to addresses that are no controllers any more.
    pub fn close_unused(&mut self, now: u64, known: &[SocketAddr]) {
        let unused = self
            .links
            .extract_if(|peer, link| link.used_at.get() + IDLE_TIMEOUT_MS < now && !known.contains(peer));
        unused.for_each(|(_, link)| link.disconnect.notify_one());
    }
}

fn open(own: SocketAddr, peer: SocketAddr, observer: Weak<dyn ConnectionObserver>) -> Rc<PeerLink> {
    let link = Rc::new(PeerLink {
        peer,
        send_queue: SendQueue::new(MAX_QUEUED_BYTES),
        disconnect: Notify::new(),
        connected_at: Cell::new(None),
        received_at: Cell::new(0),
        used_at: Cell::new(0),
    });
    spawn_local(keep_connected(own, Rc::clone(&link), observer));
    link
}

/// Connects again and again until the link has been closed.
async fn keep_connected(own: SocketAddr, link: Rc<PeerLink>, observer: Weak<dyn ConnectionObserver>) {
    let mut backoff = MIN_BACKOFF;
    while Rc::strong_count(&link) > 1 {
        let failure = run_connection(own, &link, &observer).await;
        if link.connected_at.take().is_some() {
            backoff = MIN_BACKOFF;
            info!("connection to controller {} ended: {failure}", link.peer);
        }
        sleep(backoff).await;
        backoff = (2 * backoff).min(MAX_BACKOFF);
    }
}

/// Opens a connection and writes to it until it ends.
async fn run_connection(
    own: SocketAddr,
    link: &Rc<PeerLink>,
    observer: &Weak<dyn ConnectionObserver>,
) -> LinkError {
    let mut stream = match connect(link.peer, CONNECT_TIMEOUT).await.context(ConnectSnafu) {
        Ok(stream) => stream,
        Err(failure) => return failure,
    };
    match observer.upgrade() {
        Some(observer) => observer.connected(link),
        None => return LinkError::Closed,
    }
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
                link.send_queue.wait_until_filled().await;
                link.send_queue.drain_into(&mut buffer)?;
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
            () = link.disconnect.notified() => return Err(LinkError::Silent),
        }
    }
}
