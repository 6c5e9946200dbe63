//! Sockets: how they are opened, and their TCP options.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// TCP user time-out of upstreams: unacknowledged bytes end the connection after this time.
const UPSTREAM_UNCONFIRMED: Duration = Duration::from_millis(1800);
/// The same for clients, which are further away.
const CLIENT_UNCONFIRMED: Duration = Duration::from_secs(6);
/// Keep-alive probes begin after this idle time.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// The time between two keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A bidirectional byte stream.
pub trait Socket: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> Socket for S {}

/// A byte stream of any kind.
pub type BoxedSocket = Box<dyn Socket>;
/// A connect under way.
pub type Connecting = Pin<Box<dyn Future<Output = std::io::Result<BoxedSocket>>>>;

/// Opens connections to upstreams.
pub trait Connect {
    /// Begins to connect to an upstream.
    fn connect(&self, address: SocketAddr) -> Connecting;
}

/// Connects by TCP.
pub struct TcpConnect;

impl Connect for TcpConnect {
    fn connect(&self, address: SocketAddr) -> Connecting {
        Box::pin(async move {
            let socket = TcpStream::connect(address).await?;
            set_up(&socket, UPSTREAM_UNCONFIRMED);
            Ok(Box::new(socket) as BoxedSocket)
        })
    }
}

/// Sets up an accepted connection.
pub fn accepted(socket: TcpStream) -> BoxedSocket {
    set_up(&socket, CLIENT_UNCONFIRMED);
    Box::new(socket)
}

/// Disables Nagle's algorithm, and detects peers that vanish without a close. Errors are ignored: the connection works
/// without these options as well.
fn set_up(socket: &TcpStream, unconfirmed: Duration) {
    let _ = socket.set_nodelay(true);
    let options = SockRef::from(socket);
    let _ = options.set_tcp_user_timeout(Some(unconfirmed));
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_INTERVAL);
    let _ = options.set_tcp_keepalive(&probes);
}
