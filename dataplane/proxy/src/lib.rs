//! An HTTP/1.1 reverse proxy that forwards each request to an upstream instance and passes its answer or
//! event stream back.
//!
//! [`run`] is the entry point. [`clients`] accepts connections, [`handler`] reads a request and matches it
//! with a route, [`exchange`] makes attempts at upstreams over connections of the [`pool`], and [`stream`]
//! passes events on. [`control_link`] receives configurations, endpoint lists and fleet state from the agent
//! on the same machine. [`node`] holds the state that these modules share. All tasks run on one thread.

pub mod answers;
pub mod classify;
pub mod clients;
pub mod clock;
pub mod connect;
pub mod connection;
pub mod control_link;
pub mod events;
pub mod exchange;
pub mod handler;
pub mod headers;
pub mod limits;
pub mod merged_head;
pub mod metrics;
pub mod node;
pub mod pool;
pub mod readiness;
pub mod request;
pub mod request_body;
pub mod request_counts;
pub mod request_framing;
pub mod retry;
pub mod shutdown;
pub mod stream;

use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};
use whinspindle_configuration::Settings;
use whinspindle_metrics::MetricsEndpoint;

use crate::clients::Clients;
use crate::connect::TcpConnect;
use crate::control_link::Identity;
use crate::node::Node;

/// Interval of the periodic checks of time limits.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Why the proxy could not start.
#[derive(Debug, Snafu)]
pub enum ProxyError {
    /// The settings lack a listen address.
    #[snafu(display("the setting `listen.{name}` is missing"))]
    NoAddress {
        /// The missing key in the section `listen`.
        name: &'static str,
    },
    /// A listener could not be opened.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: std::io::Error,
    },
    /// Signal handlers could not be installed.
    #[snafu(display("cannot wait for signals"))]
    Signals {
        /// The error of the system.
        source: std::io::Error,
    },
}

/// Runs the proxy until a shutdown is requested and the clients have been answered.
///
/// Needs a single-threaded runtime. Serves metrics at `metrics`, if given.
pub async fn run(settings: Settings, metrics: Option<MetricsEndpoint>) -> Result<(), ProxyError> {
    LocalSet::new().run_until(serve(settings, metrics)).await
}

async fn serve(settings: Settings, metrics: Option<MetricsEndpoint>) -> Result<(), ProxyError> {
    let signals = Signals::register().context(SignalsSnafu)?;
    let front = settings.listen.front.context(NoAddressSnafu { name: "front" })?;
    let ready = settings.listen.ready.context(NoAddressSnafu { name: "ready" })?;
    let front_listener = listen(front).await?;
    let ready_listener = listen(ready).await?;
    let node = Rc::new(Node::new(settings, Box::new(TcpConnect), random_number()));
    let clients = Rc::new(Clients::default());
    spawn_local(signals.handle(Rc::clone(&node)));
    spawn_local(readiness::run(ready_listener, Rc::clone(&node)));
    spawn_local(control_link::run(Rc::clone(&node), Identity { front, incarnation: random_number() }));
    spawn_local(tick(Rc::clone(&node), Rc::clone(&clients)));
    if let Some(endpoint) = metrics {
        let metrics_node = Rc::clone(&node);
        let text = Rc::new(move || metrics::text(&metrics_node));
        spawn_local(whinspindle_metrics::serve(node.settings.ip, endpoint, text));
    }
    tokio::select! {
        () = clients::run(front_listener, Rc::clone(&node), clients) => {}
        () = node.shutdown.wait_for_answering_end() => spdlog::warn!("shutdown: unfinished answers dropped"),
    }
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ProxyError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

async fn tick(node: Rc<Node>, clients: Rc<Clients>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.tick();
        clients.sweep(&node);
    }
}

/// Returns a random number.
fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// The process signals that the proxy handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn register() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    async fn handle(mut self, node: Rc<Node>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => stop(&node),
                _ = self.interrupt.recv() => stop(&node),
                // No action: settings that can change at run time come from the agent.
                _ = self.hang_up.recv() => spdlog::info!("SIGHUP received: nothing to reload"),
            }
        }
    }
}

fn stop(node: &Node) {
    spdlog::info!("shutdown requested");
    node.shutdown.request();
    node.report_due.notify_one();
}
