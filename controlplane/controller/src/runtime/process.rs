//! The controller process: starts the node and its tasks, and shuts them down on a signal.

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
const TICK: Duration = Duration::from_millis(50);
/// How long callers are still served after a signal to stop: they find another controller meanwhile.
pub(super) const SHUTDOWN_GRACE: Duration = Duration::from_millis(400);
/// How long the process then waits for calls in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The interval at which the calls in flight are counted while the process waits for them.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why the controller could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ControllerError {
    /// A controller needs a folder for its state.
    #[snafu(display("the settings name no data_dir"))]
    NoDataDirectory,
    /// A directory needs an address to listen on.
    #[snafu(display("the settings name no directory address to listen on"))]
    NoDirectoryAddress,
    /// An address can't be bound.
    #[snafu(display("{source}"))]
    Listen {
        /// The address, and what the system reports.
        source: ListenError,
    },
    /// The disk's thread can't be used.
    #[snafu(display("{source}"))]
    Disk {
        /// The failure of the thread.
        source: DiskError,
    },
    /// The handlers of SIGTERM and SIGHUP can't be installed.
    #[snafu(display("the signals of the process can't be watched"))]
    Signals {
        /// What the system reports.
        source: std::io::Error,
    },
}

/// Runs the controller until SIGTERM. To be called inside a `LocalSet`. Its metrics are served at the endpoint, if one is
/// given.
pub async fn run(settings: Settings, metrics: Option<MetricsEndpoint>) -> Result<(), ControllerError> {
    let mut stop = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut reload = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let listeners = Listeners::open(&settings)?;
    let folder = settings.data_dir.clone().context(NoDataDirectorySnafu)?;
    let clock = Clock::start();
    let restores_state = settings.mechanisms.has(Mechanism::Recall);
    let Some(opened) = unless_stopped(&mut stop, disk::open(folder, restores_state)).await else {
        return Ok(());
    };
    let OpenedDisk { disk, recovered, was_damaged, reports } = opened.context(DiskSnafu)?;
    let bootstrap = settings.bootstrap && !was_damaged;
    let (controller, actions) = start_controller(&settings, bootstrap, recovered, clock.now());
    let own = settings.internal_endpoint(settings.ip);
    let node: SharedNode = Rc::new_cyclic(|node: &Weak<RefCell<Node>>| {
        RefCell::new(Node::new(clock, controller, PeerLinks::new(own, node.clone()), disk))
    });
    node.borrow_mut().perform(clock.now(), actions);
    let (stopping, stopping_receiver) = watch::channel(false);
    let server = HttpServer::new(Rc::clone(&node), stopping_receiver);
    listeners.accept_all(&node, &server);
    spawn_local(take_disk_reports(reports, Rc::clone(&node)));
    spawn_local(tick(Rc::clone(&node)));
    if let Some(endpoint) = metrics {
        let observed = Rc::clone(&node);
        spawn_local(whinspindle_metrics::serve(
            settings.ip,
            endpoint,
            Rc::new(move || observed.borrow().metrics()),
        ));
    }
    info!("controller {} serves {} and {own}", settings.node, describe_address(settings.listen.control));
    wait_for_stop(&mut stop, &mut reload).await;
    info!("controller {} stops", settings.node);
    shut_down(&node, &server, &stopping).await;
    Ok(())
}

/// The output of a future, or none if SIGTERM comes first.
async fn unless_stopped<T>(stop: &mut Signal, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        output = future => Some(output),
        _ = stop.recv() => None,
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
        incarnation: random(),
        start_id: random(),
        tolerance: tolerance(settings),
        timing: Timing::default(),
    };
    let stored = (recovered.checkpoint, recovered.log);
    let failure = match Replica::new(replica_settings.clone(), CommandApplication, stored, now) {
        Ok(started) => return started,
        Err(failure) => failure,
    };
    // With a new identity the replica joins like one whose disk was lost.
    warn!("the state on the disk is of no use: {failure}");
    replica_settings.bootstrap = false;
    match Replica::new(replica_settings, CommandApplication, (None, Vec::new()), now) {
        Ok(started) => started,
        Err(failure) => unreachable!("an empty disk can be read: {failure}"),
    }
}

fn tolerance(settings: &Settings) -> Tolerance {
    let configured = settings.tolerate;
    Tolerance { machines: configured.machines, zones: configured.zones, regions: configured.regions }
}

fn seed_endpoints(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().map(|seed| settings.internal_endpoint(seed.ip())).collect()
}

fn random() -> u64 {
    // Each `RandomState` has keys of its own that the operating system drew at random.
    RandomState::new().hash_one(IpAddr::from([0, 0, 0, 0]))
}

async fn take_disk_reports(mut reports: UnboundedReceiver<DiskReport>, node: SharedNode) {
    while let Some(report) = reports.recv().await {
        node.borrow_mut().handle_disk_report(report);
    }
}

async fn tick(node: SharedNode) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.borrow_mut().tick();
    }
}

async fn wait_for_stop(stop: &mut Signal, reload: &mut Signal) {
    loop {
        tokio::select! {
            _ = stop.recv() => return,
            _ = reload.recv() => info!("settings are read anew at the next start"),
        }
    }
}

/// Hands the controller's roles over to others, finishes the calls in flight and closes the connections.
async fn shut_down(node: &SharedNode, server: &HttpServer, stopping: &watch::Sender<bool>) {
    node.borrow_mut().handle(Event::Shutdown);
    sleep(SHUTDOWN_GRACE).await;
    stopping.send_replace(true);
    let mut remaining = DRAIN_TIMEOUT;
    while !remaining.is_zero() && (node.borrow().has_calls() || !server.is_idle()) {
        sleep(DRAIN_POLL_INTERVAL).await;
        remaining = remaining.saturating_sub(DRAIN_POLL_INTERVAL);
    }
}

fn describe_address(address: Option<SocketAddr>) -> String {
    address.map_or_else(|| "no control address".to_owned(), |address| address.to_string())
}
