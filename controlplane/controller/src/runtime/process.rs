//! The controller process. Starts the node and its tasks, and shuts them down on SIGTERM.

use std::cell::RefCell;
use std::future::Future;
use std::hash::{BuildHasher, RandomState};
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};
use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc::UnboundedReceiver, watch};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};
use whinspindle_configuration::{Mechanism, Settings};
use whinspindle_distribution::ControllerAddress;
use whinspindle_metrics::MetricsEndpoint;
use whinspindle_replica::{Output, Replica, ReplicaSettings, Timing, Tolerance};
use whinspindle_storage::RecoveredState;

use super::clock::Clock;
use super::disk::{self, DiskError, DiskReport, OpenedDisk};
use super::http_server::{self, HttpServer};
use super::inbound;
use super::listen::{ListenError, listen};
use super::node::{Node, SharedNode};
use super::peer_links::PeerLinks;
use crate::commands::CommandApplication;
use crate::controller::{Action, Controller, ControllerSettings, Event};

/// The interval at which the state machine is advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The time for which callers are still served after SIGTERM, during which they find another controller.
pub(super) const SHUTDOWN_GRACE: Duration = Duration::from_millis(400);
/// The maximum time for which the process then waits for calls in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The interval at which the process checks for calls in flight while it waits for them.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An error that prevents the controller or the directory from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ControllerError {
    /// The settings define no folder for the controller's state.
    #[snafu(display("the settings contain no data_dir"))]
    NoDataDirectory,
    /// The settings define no address for the directory.
    #[snafu(display("the settings contain no directory address (listen.directory)"))]
    NoDirectoryAddress,
    /// Listening on an address failed.
    #[snafu(display("{source}"))]
    Listen {
        /// The address and the operating system's error.
        source: ListenError,
    },
    /// The disk thread failed.
    #[snafu(display("{source}"))]
    Disk {
        /// The error of the disk thread.
        source: DiskError,
    },
    /// The handlers of SIGTERM and SIGHUP could not be installed.
    #[snafu(display("could not install the signal handlers"))]
    Signals {
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// Runs the controller until SIGTERM. Must be called inside a `LocalSet`. Metrics are served at the endpoint
/// if one is given.
pub async fn run(settings: Settings, metrics: Option<MetricsEndpoint>) -> Result<(), ControllerError> {
    let mut terminate_signal = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut reload_signal = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let listeners = Listeners::open(&settings)?;
    let folder = settings.data_dir.clone().context(NoDataDirectorySnafu)?;
    let clock = Clock::start();
    let should_restore_state = settings.mechanisms.has(Mechanism::Recall);
    let Some(opened) =
        unless_terminated(&mut terminate_signal, disk::open(folder, should_restore_state)).await
    else {
        return Ok(());
    };
    let OpenedDisk { disk, recovered, was_damaged, reports } = opened.context(DiskSnafu)?;
    let bootstrap = settings.bootstrap && !was_damaged;
    let (controller, actions) = start_controller(&settings, bootstrap, recovered, clock.now());
    let own_address = settings.internal_endpoint(settings.ip);
    let node: SharedNode = Rc::new_cyclic(|node: &Weak<RefCell<Node>>| {
        RefCell::new(Node::new(clock, controller, PeerLinks::new(own_address, node.clone()), disk))
    });
    node.borrow_mut().perform(clock.now(), actions);
    let (shutdown_sender, shutdown_receiver) = watch::channel(false);
    let server = HttpServer::new(Rc::clone(&node), shutdown_receiver);
    listeners.accept_all(&node, &server);
    spawn_local(handle_disk_reports(reports, Rc::clone(&node)));
    spawn_local(tick(Rc::clone(&node)));
    if let Some(endpoint) = metrics {
        let metrics_node = Rc::clone(&node);
        spawn_local(whinspindle_metrics::serve(
            settings.ip,
            endpoint,
            Rc::new(move || metrics_node.borrow().metrics()),
        ));
    }
    info!(
        "controller {} listens on {} and {own_address}",
        settings.node,
        describe_address(settings.listen.control)
    );
    wait_for_termination(&mut terminate_signal, &mut reload_signal).await;
    info!("controller {} is shutting down", settings.node);
    shut_down(&node, &server, &shutdown_sender).await;
    Ok(())
}

/// Waits for a future. Returns its output, or none if SIGTERM is received first.
async fn unless_terminated<T>(terminate_signal: &mut Signal, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        output = future => Some(output),
        _ = terminate_signal.recv() => None,
    }
}

struct Listeners {
    internal: TcpListener,
    http: Vec<TcpListener>,
}

impl Listeners {
    fn open(settings: &Settings) -> Result<Listeners, ControllerError> {
        let internal = listen(settings.internal_endpoint(settings.ip)).context(ListenSnafu)?;
        let mut addresses: Vec<SocketAddr> =
            [settings.listen.control, settings.listen.directory].into_iter().flatten().collect();
        addresses.dedup();
        let http = addresses.into_iter().map(listen).collect::<Result<_, _>>().context(ListenSnafu)?;
        Ok(Listeners { internal, http })
    }

    fn accept_all(self, node: &SharedNode, server: &Rc<HttpServer>) {
        spawn_local(inbound::accept(self.internal, Rc::clone(node)));
        for listener in self.http {
            spawn_local(http_server::accept(listener, Rc::clone(server)));
        }
    }
}

fn start_controller(
    settings: &Settings,
    bootstrap: bool,
    recovered: RecoveredState,
    now: u64,
) -> (Controller, Vec<Action>) {
    let (replica, outputs) = start_replica(settings, bootstrap, recovered, now);
    let address = ControllerAddress {
        endpoint: settings.internal_endpoint(settings.ip),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    };
    let settings = ControllerSettings {
        node: settings.node.clone(),
        address,
        zones: settings.zones.clone(),
        heartbeat_ms: settings.heartbeat_ms,
    };
    Controller::new(settings, replica, outputs, now)
}

fn start_replica(
    settings: &Settings,
    bootstrap: bool,
    recovered: RecoveredState,
    now: u64,
) -> (Replica<CommandApplication>, Vec<Output>) {
    let mut replica_settings = ReplicaSettings {
        endpoint: settings.internal_endpoint(settings.ip),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        seeds: seed_endpoints(settings),
        bootstrap,
        incarnation: random_number(),
        start_id: random_number(),
        tolerance: tolerance(settings),
        timing: Timing::default(),
    };
    let stored = (recovered.checkpoint, recovered.log);
    let error = match Replica::new(replica_settings.clone(), CommandApplication, stored, now) {
        Ok(started) => return started,
        Err(error) => error,
    };
    // The replica joins with a new identity, like one whose disk was lost.
    warn!("the state on the disk is unusable, joining as a new replica: {error}");
    replica_settings.bootstrap = false;
    match Replica::new(replica_settings, CommandApplication, (None, Vec::new()), now) {
        Ok(started) => started,
        Err(error) => unreachable!("an empty disk can be read: {error}"),
    }
}

fn tolerance(settings: &Settings) -> Tolerance {
    let configured = settings.tolerate;
    Tolerance { machines: configured.machines, zones: configured.zones, regions: configured.regions }
}

fn seed_endpoints(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().map(|seed| settings.internal_endpoint(seed.ip())).collect()
}

fn random_number() -> u64 {
    // The keys of a `RandomState` are derived from random numbers of the operating system.
    RandomState::new().hash_one(IpAddr::from([0, 0, 0, 0]))
}

async fn handle_disk_reports(mut reports: UnboundedReceiver<DiskReport>, node: SharedNode) {
    while let Some(report) = reports.recv().await {
        node.borrow_mut().handle_disk_report(report);
    }
}

async fn tick(node: SharedNode) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.borrow_mut().tick();
    }
}

async fn wait_for_termination(terminate_signal: &mut Signal, reload_signal: &mut Signal) {
    loop {
        tokio::select! {
            _ = terminate_signal.recv() => return,
            _ = reload_signal.recv() => info!("SIGHUP ignored: settings are only read at the start"),
        }
    }
}

/// Hands the controller's roles over to others, waits for the calls in flight and closes the connections.
async fn shut_down(node: &SharedNode, server: &HttpServer, shutdown_sender: &watch::Sender<bool>) {
    node.borrow_mut().handle(Event::Shutdown);
    sleep(SHUTDOWN_GRACE).await;
    shutdown_sender.send_replace(true);
    let mut remaining_time = DRAIN_TIMEOUT;
    while !remaining_time.is_zero() && (node.borrow().has_calls() || !server.is_idle()) {
        sleep(DRAIN_POLL_INTERVAL).await;
        remaining_time = remaining_time.saturating_sub(DRAIN_POLL_INTERVAL);
    }
}

fn describe_address(address: Option<SocketAddr>) -> String {
    address.map_or_else(|| "no control address".to_owned(), |address| address.to_string())
}
