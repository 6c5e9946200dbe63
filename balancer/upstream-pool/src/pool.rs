//! Which connections are open, which stand idle, and how many may be.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::exchange::{ProgressHandle, ServerConnection};
use crate::failure::{Cause, ExchangeError};
use crate::memory_budget::MemoryBudget;

/// Limits and times of a pool.
pub struct PoolSettings {
    /// Connections that may be open at once.
    pub max_connections: usize,
    /// Servers close a connection that has stood idle for so long.
    pub server_idle_timeout: Duration,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// An answer that has begun and is silent for so long does not end any more.
    pub stall_timeout: Duration,
    /// After an answer a connection carries nothing for so long.
    pub reuse_delay: Duration,
    /// Memory for long answers.
    pub memory_budget: MemoryBudget,
}

/// One process of a server: another one at the same address gets connections of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// Number of the process, so that a new one at the same address is told from the one before.
    pub process: u64,
}

/// Idle connections are dropped at this part of the time after which servers close them.
const IDLE_PART: f64 = 0.7;

/// A pool of connections to all servers.
pub struct ConnectionPool {
    settings: PoolSettings,
    open: Rc<Cell<usize>>,
    idle: RefCell<BTreeMap<Upstream, Vec<Idle>>>,
}

struct Idle {
    since: Instant,
    lease: Lease,
}

/// A connection that counts among the open ones until it is dropped.
struct Lease {
    connection: ServerConnection,
    _permit: OpenPermit,
}

struct OpenPermit(Rc<Cell<usize>>);

impl Drop for OpenPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new(settings: PoolSettings) -> Self {
        ConnectionPool { settings, open: Rc::default(), idle: RefCell::default() }
    }

    /// Sends one request once. `prepare` is asked for it right before the first byte, also after a slow
    /// connect, and may want nothing sent any more.
    pub async fn exchange(
        &self,
        server: Upstream,
        prepare: impl FnOnce() -> Option<Request<Full<Bytes>>>,
        progress: &ProgressHandle,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let mut lease = match self.take_idle(server).await {
            Some(lease) => lease,
            None => self.connect(server.address).await.map_err(|cause| progress.failure(cause))?,
        };
        let Some(request) = prepare() else {
            self.keep(server, lease).await;
            return Err(progress.failure(Cause::NotNeeded));
        };
        let response = lease.connection.exchange(request, &self.settings, progress).await?;
        self.keep(server, lease).await;
        Ok(response)
    }

    async fn keep(&self, server: Upstream, mut lease: Lease) {
        if lease.connection.is_reusable().await {
            let idle = Idle { since: Instant::now(), lease };
            self.idle.borrow_mut().entry(server).or_default().push(idle);
        }
    }

    /// The one used last, so that those that are not needed grow old; but not right after its answer. Guards
    /// against a server that answers twice, the second time somewhat late: it would pass for the answer to
    /// the next query.
    async fn take_idle(&self, server: Upstream) -> Option<Lease> {
        loop {
            let mut idle = {
                let mut all = self.idle.borrow_mut();
                let connections = all.get_mut(&server)?;
                let rested =
                    connections.partition_point(|idle| idle.since.elapsed() >= self.settings.reuse_delay);
                connections.remove(rested.checked_sub(1)?)
            };
            if self.is_fresh(&idle) && idle.lease.connection.is_still_open().await {
                return Some(idle.lease);
            }
        }
    }

    fn is_fresh(&self, idle: &Idle) -> bool {
        idle.since.elapsed() < self.settings.server_idle_timeout.mul_f64(IDLE_PART)
    }

    async fn connect(&self, server: SocketAddr) -> Result<Lease, Cause> {
        if self.open.get() >= self.settings.max_connections && !self.close_oldest_idle() {
            return Err(Cause::PoolExhausted);
        }
        self.open.set(self.open.get() + 1);
        let permit = OpenPermit(Rc::clone(&self.open));
        let socket = timeout(self.settings.connect_timeout, TcpStream::connect(server)).await;
        let socket = socket.map_err(|_| Cause::ConnectTimeOut)?.map_err(Cause::Connect)?;
        Ok(Lease { connection: ServerConnection::open(socket).await?, _permit: permit })
    }

    /// Where all connections are open, the oldest idle one is closed for a new one.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.iter().filter_map(|(server, connections)| Some((connections.first()?.since, *server))).min();
        oldest.is_some_and(|(_, server)| {
            let connections = idle.get_mut(&server);
            connections.map(|connections| connections.remove(0)).is_some()
        })
    }

    /// Drops what has stood idle for too long; to be called now and then.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| self.is_fresh(idle));
            !connections.is_empty()
        });
    }

    /// Connections that are open now, idle ones included.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }
}
