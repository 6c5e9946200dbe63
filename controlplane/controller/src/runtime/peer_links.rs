//! Outbound connections to the other controllers. Each controller writes to the connections that it has
//! opened, and reads from the connections that the others have opened.

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

/// The timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before the first attempt to reconnect. It doubles with each failed attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The maximum delay between two connection attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(300);
/// The time without a received frame after which the connection to a controller is replaced, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 1_500;
/// When a connection is established, messages that were queued longer ago than this are dropped, in
/// milliseconds.
const MAX_QUEUED_MS: u64 = 300;
/// The time without a sent message after which a connection to an unknown controller is closed, in
/// milliseconds.
const IDLE_TIMEOUT_MS: u64 = 10_000;
/// The maximum number of bytes queued for one controller. Above it, the oldest messages are dropped.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(display("{source}"))]
    Connect { source: ConnectError },
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    #[snafu(display("reading from the connection failed"))]
    Read { source: std::io::Error },
    #[snafu(display("the peer has closed the connection"))]
    Closed,
    #[snafu(display("nothing was received from the peer within the timeout"))]
    PeerTimeout,
}

/// An observer that is notified of established connections.
pub trait ConnectionObserver {
    /// Called when a connection to a controller is established, before any message is sent on it.
    fn on_connected(&self, link: &PeerLink);
}

/// The link to one other controller, shared by the node and the task of the connection.
pub struct PeerLink {
    peer: SocketAddr,
    send_queue: SendQueue,
    /// Closes the current connection when notified.
    disconnect: Notify,
    connected_at: Cell<Option<u64>>,
    last_received_at: Cell<u64>,
    last_used_at: Cell<u64>,
}

impl PeerLink {
    /// The address of the controller.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Records an established connection, and drops messages that were queued long ago.
    pub fn mark_connected(&self, now: u64) {
        self.connected_at.set(Some(now));
        self.send_queue.drop_before(now.saturating_sub(MAX_QUEUED_MS));
    }

    fn is_silent(&self, now: u64) -> bool {
        let was_connected_long_ago = self.connected_at.get().is_some_and(|at| at + PEER_TIMEOUT_MS < now);
        was_connected_long_ago && self.last_received_at.get() + PEER_TIMEOUT_MS < now
    }
}

/// The links to all other controllers.
pub struct PeerLinks {
    own_address: SocketAddr,
    observer: Weak<dyn ConnectionObserver>,
    links: HashMap<SocketAddr, Rc<PeerLink>>,
}

impl PeerLinks {
    /// Creates the links of the controller at `own_address`. The observer is notified of each established
    /// connection.
    pub fn new(own_address: SocketAddr, observer: Weak<dyn ConnectionObserver>) -> PeerLinks {
        PeerLinks { own_address, observer, links: HashMap::new() }
    }

    /// Queues a frame for a peer. The first frame opens the connection.
    pub fn send(&mut self, now: u64, to: SocketAddr, kind: FrameKind, payload: Bytes) {
        if to == self.own_address {
            return;
        }
        let link =
            self.links.entry(to).or_insert_with(|| open_link(self.own_address, to, self.observer.clone()));
        link.last_used_at.set(now);
        link.send_queue.push(now, kind, payload);
    }

    /// Records that a frame was received from a controller.
    pub fn record_frame(&mut self, now: u64, peer: SocketAddr) {
        if let Some(link) = self.links.get(&peer) {
            link.last_received_at.set(now);
        }
    }

    /// Replaces connections to silent peers, which may be broken without a reported error.
    pub fn reconnect_silent(&mut self, now: u64) {
        for link in self.links.values().filter(|link| link.is_silent(now)) {
            link.connected_at.set(None);
            link.disconnect.notify_one();
        }
    }

    /// Closes unused links to addresses that no longer belong to a known controller.
    pub fn close_unused(&mut self, now: u64, known: &[SocketAddr]) {
        let unused = self.links.extract_if(|peer, link| {
            link.last_used_at.get() + IDLE_TIMEOUT_MS < now && !known.contains(peer)
        });
        unused.for_each(|(_, link)| link.disconnect.notify_one());
    }
}

fn open_link(
    own_address: SocketAddr,
    peer: SocketAddr,
    observer: Weak<dyn ConnectionObserver>,
) -> Rc<PeerLink> {
    let link = Rc::new(PeerLink {
        peer,
        send_queue: SendQueue::new(MAX_QUEUED_BYTES),
        disconnect: Notify::new(),
        connected_at: Cell::new(None),
        last_received_at: Cell::new(0),
        last_used_at: Cell::new(0),
    });
    spawn_local(keep_connected(own_address, Rc::clone(&link), observer));
    link
}

/// Keeps the link connected until it is closed.
async fn keep_connected(own_address: SocketAddr, link: Rc<PeerLink>, observer: Weak<dyn ConnectionObserver>) {
    let mut backoff = MIN_BACKOFF;
    while Rc::strong_count(&link) > 1 {
        let error = run_connection(own_address, &link, &observer).await;
        if link.connected_at.take().is_some() {
            backoff = MIN_BACKOFF;
            info!("outbound connection to controller {} closed: {error}", link.peer);
        }
        sleep(backoff).await;
        backoff = (2 * backoff).min(MAX_BACKOFF);
    }
}

/// Opens a connection and writes to it until it fails or is closed.
async fn run_connection(
    own_address: SocketAddr,
    link: &Rc<PeerLink>,
    observer: &Weak<dyn ConnectionObserver>,
) -> LinkError {
    let mut stream = match connect(link.peer, CONNECT_TIMEOUT).await.context(ConnectSnafu) {
        Ok(stream) => stream,
        Err(error) => return error,
    };
    match observer.upgrade() {
        Some(observer) => observer.on_connected(link),
        None => return LinkError::Closed,
    }
    match write_frames(own_address, link, &mut stream).await {
        Ok(()) => LinkError::Closed,
        Err(error) => error,
    }
}

async fn write_frames(
    own_address: SocketAddr,
    link: &PeerLink,
    stream: &mut TcpStream,
) -> Result<(), LinkError> {
    let (mut reader, mut writer) = stream.split();
    let mut buffer = FrameBuffer::default();
    let mut discarded = [0; 64];
    let hello = encode_hello(&Hello { role: Role::Peer, endpoint: own_address });
    buffer.push(FrameKind::Hello, &hello).context(FrameSnafu)?;
    loop {
        let write_queued = async {
            if buffer.is_empty() {
                link.send_queue.wait_until_filled().await;
                link.send_queue.drain_into(&mut buffer)?;
            }
            buffer.write_to(&mut writer).await
        };
        tokio::select! {
            result = write_queued => result.context(FrameSnafu)?,
            read_result = reader.read(&mut discarded) => {
                if read_result.context(ReadSnafu)? == 0 {
                    return Err(LinkError::Closed);
                }
            }
            () = link.disconnect.notified() => return Err(LinkError::PeerTimeout),
        }
    }
}
