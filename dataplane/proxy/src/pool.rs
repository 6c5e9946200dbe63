//! The connection pool: idle connections to upstreams, and the limits of open ones.

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

/// A connection is not reused within this time after an answer, so that a surplus answer is noticed.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// An idle connection is closed after this fraction of the upstream's keep-alive time.
const IDLE_FRACTION: f64 = 0.7;
/// Keep-alive time of an upstream whose answers give none, which is less than a second.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Time-out of connecting; longer than a round trip between regions.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Why there is no connection to an upstream.
#[derive(Debug, Snafu)]
pub enum ConnectionError {
    /// The limit of connections is reached.
    #[snafu(display("all connections that may be open to the upstream are in use"))]
    Full,
    /// Connecting timed out.
    #[snafu(display("the upstream did not take the connection in time"))]
    Silent,
    /// The connection was refused or could not be made.
    #[snafu(display("the upstream did not take the connection"))]
    Refused {
        /// The error of the system.
        source: std::io::Error,
    },
    /// The connection could not be made ready for HTTP.
    #[snafu(display("the connection can't be made ready"))]
    Handshake {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
}

/// The most connections that may be open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// To all upstreams together.
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
    /// The upstream's keep-alive time, as its last answer on any connection gave it.
    keep_alive: Option<Duration>,
    /// Sorted by the time of the last use, the last used one last.
    idle: Vec<Idle>,
}

struct Idle {
    since: Instant,
    until: Instant,
    leased: Leased,
}

/// A connection in use; it counts as open until it is dropped.
pub struct Leased {
    /// The connection.
    pub connection: UpstreamConnection,
    /// The upstream's keep-alive time, as far as its answers give it.
    pub keep_alive: Option<Duration>,
    instance: InstanceKey,
    _slot: Slot,
}

impl Leased {
    /// The instance that it is connected to.
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
    /// An empty pool.
    pub fn new(connect: Box<dyn Connect>, limits: PoolLimits) -> Self {
        Pool { connect, limits, total: Rc::default(), instances: RefCell::default() }
    }

    /// A connection to the instance: an idle one, or a new one if fewer than `most` are open.
    ///
    /// Without `trusts_idle`, idle connections are closed first: a request that is written to an unreachable upstream may not
    /// be retried, while a new connection that does not come up costs little time.
    pub async fn lease(
        &self,
        instance: InstanceKey,
        address: SocketAddr,
        most: usize,
        trusts_idle: bool,
    ) -> Result<Leased, ConnectionError> {
        if !trusts_idle {
            self.drop_idle(instance);
        }
        while let Some(mut leased) = self.take_idle(instance) {
            if leased.connection.is_still_open().await {
                return Ok(leased);
            }
        }
        let place = self.take_slot(instance, most)?;
        let socket = timeout(CONNECT_LIMIT, self.connect.connect(address)).await;
        let socket = socket.map_err(|_| ConnectionError::Silent)?.context(RefusedSnafu)?;
        let connection = UpstreamConnection::open(socket).await.context(HandshakeSnafu)?;
        Ok(Leased { connection, keep_alive: None, instance, _slot: place })
    }

    /// Returns a connection that may carry another request to the pool.
    pub fn release(&self, leased: Leased) {
        let mut instances = self.instances.borrow_mut();
        let connections = instances.entry(leased.instance).or_default();
        connections.keep_alive = leased.keep_alive.or(connections.keep_alive);
        let since = Instant::now();
        let until = since + connections.keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).mul_f64(IDLE_FRACTION);
        connections.idle.push(Idle { since, until, leased });
    }

    /// Closes idle connections whose time is over, and those to instances that are no longer known.
    pub fn sweep(&self, is_known: impl Fn(InstanceKey) -> bool) {
        let now = Instant::now();
        self.instances.borrow_mut().retain(|&instance, connections| {
            connections.idle.retain(|idle| idle.until > now);
            let known = is_known(instance);
            if !known {
                connections.idle.clear();
            }
            known || connections.open.get() > 0
        });
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.total.get()
    }

    fn drop_idle(&self, instance: InstanceKey) {
        if let Some(connections) = self.instances.borrow_mut().get_mut(&instance) {
            connections.idle.clear();
        }
    }

    /// The idle connection that was used last, so that surplus ones reach their time-out.
    fn take_idle(&self, instance: InstanceKey) -> Option<Leased> {
        let now = Instant::now();
        let mut instances = self.instances.borrow_mut();
        let connections = instances.get_mut(&instance)?;
        connections.idle.retain(|idle| idle.until > now);
        let rested = connections.idle.iter().rposition(|idle| idle.since + REUSE_DELAY <= now)?;
        Some(connections.idle.remove(rested).leased)
    }

    fn take_slot(&self, instance: InstanceKey, most: usize) -> Result<Slot, ConnectionError> {
        if self.total.get() >= self.limits.total && !self.drop_oldest_idle() {
            return FullSnafu.fail();
        }
        let mut instances = self.instances.borrow_mut();
        let connections = instances.entry(instance).or_default();
        if connections.open.get() >= most {
            return FullSnafu.fail();
        }
        Ok(Slot::take(&self.total, &connections.open))
    }

    /// Closes the connection that has been idle longest, of any instance.
    fn drop_oldest_idle(&self) -> bool {
        let mut instances = self.instances.borrow_mut();
        let oldest = instances.values_mut().filter(|connections| !connections.idle.is_empty());
        let Some(connections) = oldest.min_by_key(|connections| connections.idle[0].since) else {
            return false;
        };
        connections.idle.remove(0);
        true
    }
}
