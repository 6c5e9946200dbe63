//! A pool of connections to upstreams, with limits on open connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, timeout};
use whinspindle_routing::InstanceKey;

use crate::connect::Connect;
use crate::connection::UpstreamConnection;

/// Minimum time between an answer and the reuse of its connection, so that a surplus answer is detected.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Fraction of the upstream's keep-alive time after which an idle connection is closed.
const IDLE_FRACTION: f64 = 0.7;
/// Assumed keep-alive time of an upstream whose answers give none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Time-out for connecting; longer than a round trip between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Why no connection to an upstream is available.
#[derive(Debug, Snafu)]
pub enum ConnectionError {
    /// The limit of open connections is reached.
    #[snafu(display("the limit of open connections is reached"))]
    Full,
    /// Connecting timed out.
    #[snafu(display("connecting to the upstream timed out"))]
    TimedOut,
    /// The connection was refused or could not be made.
    #[snafu(display("cannot connect to the upstream"))]
    ConnectFailed {
        /// The error of the system.
        source: std::io::Error,
    },
    /// The HTTP handshake failed.
    #[snafu(display("the HTTP handshake failed"))]
    Handshake {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
}

/// Limits of open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum number of connections to all upstreams together.
    pub total: usize,
}

/// The connections to all upstreams.
pub struct Pool {
    connect: Box<dyn Connect>,
    limits: PoolLimits,
    total: Rc<Cell<usize>>,
    instances: RefCell<HashMap<InstanceKey, InstanceConnections>>,
}

#[derive(Default)]
struct InstanceConnections {
    open: Rc<Cell<usize>>,
    /// The upstream's keep-alive time, from its most recent answer on any connection.
    keep_alive: Option<Duration>,
    /// Sorted by time of last use, the most recently used connection last.
    idle: Vec<IdleConnection>,
}

struct IdleConnection {
    idle_since: Instant,
    expires_at: Instant,
    leased: LeasedConnection,
}

/// A connection in use, which counts as open until it is dropped.
pub struct LeasedConnection {
    /// The connection.
    pub connection: UpstreamConnection,
    /// The upstream's keep-alive time, if its answers give one.
    pub keep_alive: Option<Duration>,
    instance: InstanceKey,
    _slot: Slot,
}

impl LeasedConnection {
    /// Returns the connected instance.
    pub fn instance(&self) -> InstanceKey {
        self.instance
    }
}

/// Counts one open connection until it is dropped.
struct Slot {
    total: Rc<Cell<usize>>,
    open: Rc<Cell<usize>>,
}

impl Slot {
    fn take(total: &Rc<Cell<usize>>, open: &Rc<Cell<usize>>) -> Slot {
        total.set(total.get() + 1);
        open.set(open.get() + 1);
        Slot { total: Rc::clone(total), open: Rc::clone(open) }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.total.set(self.total.get() - 1);
        self.open.set(self.open.get() - 1);
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(connect: Box<dyn Connect>, limits: PoolLimits) -> Self {
        Pool { connect, limits, total: Rc::default(), instances: RefCell::default() }
    }

    /// Returns an idle connection to the instance, or opens one if fewer than `max_connections` are open.
    ///
    /// Without `may_use_idle`, idle connections are closed first, since a request that was written to an
    /// unreachable upstream may not be retried, while a failed attempt to connect takes little time.
    pub async fn lease(
        &self,
        instance: InstanceKey,
        address: SocketAddr,
        max_connections: usize,
        may_use_idle: bool,
    ) -> Result<LeasedConnection, ConnectionError> {
        if !may_use_idle {
            self.drop_idle(instance);
        }
        while let Some(mut leased) = self.take_idle(instance) {
            if leased.connection.is_still_open().await {
                return Ok(leased);
            }
        }
        let slot = self.take_slot(instance, max_connections)?;
        let socket = timeout(CONNECT_TIMEOUT, self.connect.connect(address)).await;
        let socket = socket.map_err(|_| ConnectionError::TimedOut)?.context(ConnectFailedSnafu)?;
        let connection = UpstreamConnection::open(socket).await.context(HandshakeSnafu)?;
        Ok(LeasedConnection { connection, keep_alive: None, instance, _slot: slot })
    }

    /// Returns a connection that may carry another request to the pool.
    pub fn release(&self, leased: LeasedConnection) {
        let mut instances = self.instances.borrow_mut();
        let connections = instances.entry(leased.instance).or_default();
        connections.keep_alive = leased.keep_alive.or(connections.keep_alive);
        let idle_since = Instant::now();
        let expires_at =
            idle_since + connections.keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).mul_f64(IDLE_FRACTION);
        connections.idle.push(IdleConnection { idle_since, expires_at, leased });
    }

    /// Closes expired idle connections, and idle connections to unknown instances.
    pub fn sweep(&self, is_known: impl Fn(InstanceKey) -> bool) {
        let now = Instant::now();
        self.instances.borrow_mut().retain(|&instance, connections| {
            connections.idle.retain(|idle| idle.expires_at > now);
            let known = is_known(instance);
            if !known {
                connections.idle.clear();
            }
            known || connections.open.get() > 0
        });
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.total.get()
    }

    fn drop_idle(&self, instance: InstanceKey) {
        if let Some(connections) = self.instances.borrow_mut().get_mut(&instance) {
            connections.idle.clear();
        }
    }

    /// Takes the most recently used idle connection, so that surplus connections expire.
    fn take_idle(&self, instance: InstanceKey) -> Option<LeasedConnection> {
        let now = Instant::now();
        let mut instances = self.instances.borrow_mut();
        let connections = instances.get_mut(&instance)?;
        connections.idle.retain(|idle| idle.expires_at > now);
        let index = connections.idle.iter().rposition(|idle| idle.idle_since + REUSE_DELAY <= now)?;
        Some(connections.idle.remove(index).leased)
    }

    fn take_slot(&self, instance: InstanceKey, max_connections: usize) -> Result<Slot, ConnectionError> {
        if self.total.get() >= self.limits.total && !self.drop_oldest_idle() {
            return FullSnafu.fail();
        }
        let mut instances = self.instances.borrow_mut();
        let connections = instances.entry(instance).or_default();
        if connections.open.get() >= max_connections {
            return FullSnafu.fail();
        }
        Ok(Slot::take(&self.total, &connections.open))
    }

    /// Closes the connection that has been idle longest, of any instance.
    fn drop_oldest_idle(&self) -> bool {
        let mut instances = self.instances.borrow_mut();
        let oldest = instances.values_mut().filter(|connections| !connections.idle.is_empty());
        let Some(connections) = oldest.min_by_key(|connections| connections.idle[0].idle_since) else {
            return false;
        };
        connections.idle.remove(0);
        true
    }
}
