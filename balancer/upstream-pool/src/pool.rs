//! The connection pool.

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

/// Limits and timeouts of a pool.
pub struct PoolSettings {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Idle time after which servers close a connection.
    pub server_idle_timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Silence after which a response that has started counts as stalled.
    pub stall_timeout: Duration,
    /// Time after a response before the connection is reused.
    pub reuse_delay: Duration,
    /// Memory budget for long response bodies.
    pub memory_budget: MemoryBudget,
}

/// A process of a server. A new process at the same address gets its own connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Upstream {
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// Number of the process, which distinguishes successive processes at the same address.
    pub process: u64,
}

/// Idle connections are closed after this fraction of the servers' idle timeout.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// A pool of connections to all servers.
pub struct ConnectionPool {
    settings: PoolSettings,
    open: Rc<Cell<usize>>,
    idle: RefCell<BTreeMap<Upstream, Vec<IdleConnection>>>,
}

struct IdleConnection {
    since: Instant,
    pooled: PooledConnection,
}

/// A connection that counts as open until it is dropped.
struct PooledConnection {
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
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        ConnectionPool { settings, open: Rc::default(), idle: RefCell::default() }
    }

    /// Sends a request once. `prepare` creates the request right before the first byte is sent, after
    /// connecting, and may return `None` if it is no longer needed.
    pub async fn exchange(
        &self,
        server: Upstream,
        prepare: impl FnOnce() -> Option<Request<Full<Bytes>>>,
        progress: &ProgressHandle,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let mut pooled = match self.take_idle(server).await {
            Some(pooled) => pooled,
            None => self.connect(server.address).await.map_err(|cause| progress.error(cause))?,
        };
        let Some(request) = prepare() else {
            self.return_connection(server, pooled).await;
            return Err(progress.error(Cause::NotNeeded));
        };
        let response = pooled.connection.exchange(request, &self.settings, progress).await?;
        self.return_connection(server, pooled).await;
        Ok(response)
    }

    async fn return_connection(&self, server: Upstream, mut pooled: PooledConnection) {
        if pooled.connection.is_reusable().await {
            let idle = IdleConnection { since: Instant::now(), pooled };
            self.idle.borrow_mut().entry(server).or_default().push(idle);
        }
    }

    /// Takes the most recently used idle connection, so that unneeded connections expire. Connections are not
    /// reused right after a response: a server could send a late second response, which would be taken for
    /// the response to the next request.
    async fn take_idle(&self, server: Upstream) -> Option<PooledConnection> {
        loop {
            let mut idle = {
                let mut all = self.idle.borrow_mut();
                let connections = all.get_mut(&server)?;
                let reusable =
                    connections.partition_point(|idle| idle.since.elapsed() >= self.settings.reuse_delay);
                connections.remove(reusable.checked_sub(1)?)
            };
            if self.is_reusable(&idle) && idle.pooled.connection.is_still_open().await {
                return Some(idle.pooled);
            }
        }
    }

    fn is_reusable(&self, idle: &IdleConnection) -> bool {
        idle.since.elapsed() < self.settings.server_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION)
    }

    async fn connect(&self, server: SocketAddr) -> Result<PooledConnection, Cause> {
        if self.open.get() >= self.settings.max_connections && !self.close_oldest_idle() {
            return Err(Cause::PoolExhausted);
        }
        self.open.set(self.open.get() + 1);
        let permit = OpenPermit(Rc::clone(&self.open));
        let socket = timeout(self.settings.connect_timeout, TcpStream::connect(server)).await;
        let socket = socket.map_err(|_| Cause::ConnectTimeOut)?.map_err(Cause::Connect)?;
        Ok(PooledConnection { connection: ServerConnection::open(socket).await?, _permit: permit })
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.iter().filter_map(|(server, connections)| Some((connections.first()?.since, *server))).min();
        oldest.is_some_and(|(_, server)| {
            let connections = idle.get_mut(&server);
            connections.map(|connections| connections.remove(0)).is_some()
        })
    }

    /// Closes connections that have been idle for too long. Must be called periodically.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| self.is_reusable(idle));
            !connections.is_empty()
        });
    }

    /// Number of open connections, including idle ones.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }
}
