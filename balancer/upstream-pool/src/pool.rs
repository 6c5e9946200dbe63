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

use crate::exchange::{Lane, Trail};
use crate::failure::{Cause, Failure};
use crate::room::Room;

pub struct Terms {
    pub most_open: usize,
    /// Servers close a connection that has stood idle for so long.
    pub idle_time: Duration,
    pub connect_time_out: Duration,
    /// An answer that has begun and is silent for so long does not end any more.
    pub stall: Duration,
    /// After an answer a connection carries nothing for so long.
    pub rest: Duration,
    pub room: Room,
}

/// One process of a server: another one at the same address gets connections of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Upstream {
    pub address: SocketAddr,
    pub process: u64,
}

/// Idle connections are dropped at this part of the time after which servers close them.
const IDLE_PART: f64 = 0.7;

pub struct Connections {
    terms: Terms,
    open: Rc<Cell<usize>>,
    idle: RefCell<BTreeMap<Upstream, Vec<Idle>>>,
}

struct Idle {
    since: Instant,
    lease: Lease,
}

/// A connection that counts among the open ones until it is dropped.
struct Lease {
    lane: Lane,
    _place: Place,
}

struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Connections {
    pub fn new(terms: Terms) -> Self {
        Connections { terms, open: Rc::default(), idle: RefCell::default() }
    }

    /// Sends one request once. `prepare` is asked for it right before the first byte, also after a slow
    /// connect, and may want nothing sent any more.
    pub async fn exchange(
        &self,
        server: Upstream,
        prepare: impl FnOnce() -> Option<Request<Full<Bytes>>>,
        trail: &Trail,
    ) -> Result<Response<Bytes>, Failure> {
        let mut lease = match self.take_idle(server).await {
            Some(lease) => lease,
            None => self.connect(server.address).await.map_err(|cause| trail.failure(cause))?,
        };
        let Some(request) = prepare() else {
            self.keep(server, lease).await;
            return Err(trail.failure(Cause::Unwanted));
        };
        let response = lease.lane.exchange(request, &self.terms, trail).await?;
        self.keep(server, lease).await;
        Ok(response)
    }

    async fn keep(&self, server: Upstream, mut lease: Lease) {
        if lease.lane.is_reusable().await {
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
                let lanes = all.get_mut(&server)?;
                let rested = lanes.partition_point(|idle| idle.since.elapsed() >= self.terms.rest);
                lanes.remove(rested.checked_sub(1)?)
            };
            if self.is_fresh(&idle) && idle.lease.lane.is_still_open().await {
                return Some(idle.lease);
            }
        }
    }

    fn is_fresh(&self, idle: &Idle) -> bool {
        idle.since.elapsed() < self.terms.idle_time.mul_f64(IDLE_PART)
    }

    async fn connect(&self, server: SocketAddr) -> Result<Lease, Cause> {
        if self.open.get() >= self.terms.most_open && !self.close_oldest_idle() {
            return Err(Cause::NoneFree);
        }
        self.open.set(self.open.get() + 1);
        let place = Place(Rc::clone(&self.open));
        let socket = timeout(self.terms.connect_time_out, TcpStream::connect(server)).await;
        let socket = socket.map_err(|_| Cause::ConnectTimeOut)?.map_err(Cause::Connect)?;
        Ok(Lease { lane: Lane::open(socket).await?, _place: place })
    }

    /// At the brim an idle connection makes room.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(server, lanes)| Some((lanes.first()?.since, *server))).min();
        oldest.is_some_and(|(_, server)| {
            let lanes = idle.get_mut(&server);
            lanes.map(|lanes| lanes.remove(0)).is_some()
        })
    }

    /// Drops what has stood idle for too long; to be called now and then.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, lanes| {
            lanes.retain(|idle| self.is_fresh(idle));
            !lanes.is_empty()
        });
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }
}
