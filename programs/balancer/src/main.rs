//! The balancer in service: one program for all tiers, configured by the file that `ROUTER_CONFIG` names.

mod clock;
mod command;
mod configuration;
mod control;
mod endpoint_store;
mod fleet;
mod fleet_command;
mod http_service;
mod listener;
mod node;
mod resource_limits;
mod shutdown;
mod start_error;
mod timers;

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};
use whinspindle_deployment_settings::Deployment;
use whinspindle_discovery::EndpointWatch;
use whinspindle_endpoint_cache::{RecoveryTracker, SecondSummary};
use whinspindle_operator_file::OperatorConfig;
use whinspindle_rate_limited_log::log_line;

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::endpoint_store::EndpointStore;
use crate::fleet::Fleet;
use crate::listener::ClientConnections;
use crate::node::Node;
use crate::resource_limits::ResourceLimits;
use crate::start_error::StartError;

/// Environment variable that names the operator file if no argument does.
const OPERATOR_VARIABLE: &str = "WHINSPINDLE_OPERATOR";

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    if arguments.first().is_some_and(whinspindle_serving::is_serving_command) {
        return whinspindle_serving::main(arguments);
    }
    // The platform starts the program by its name alone.
    if !arguments.is_empty() {
        return command::run();
    }
    balance(std::env::var_os(OPERATOR_VARIABLE).map(PathBuf::from))
}

/// Runs the balancer until it is asked to stop, with an operator file if one is given.
fn balance(file: Option<PathBuf>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ran = runtime.map_err(StartError::Runtime).and_then(|runtime| {
        LocalSet::new().block_on(&runtime, async {
            // Installed first, since a signal during the start would otherwise end the process.
            let signals = Signals::new()?;
            let configuration = configuration::read().map_err(StartError::Configuration)?;
            let operator = file.as_ref().map(|file| operator(file, &configuration.deployment)).transpose()?;
            run(configuration, file.zip(operator), signals).await
        })
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("whinspindle: {fault}");
            ExitCode::from(2)
        }
    }
}

/// Reads the operator file; the error shows every fault in its text.
fn operator(file: &Path, deployment: &Deployment) -> Result<OperatorConfig, StartError> {
    let text = command::text(file).map_err(StartError::OperatorFile)?;
    whinspindle_operator_file::parse(&text, deployment).map_err(|faults| {
        let name = file.display().to_string();
        let drawn = whinspindle_operator_file::render_faults(&name, &text, &faults);
        StartError::OperatorFile(format!("{name}: {} faults\n{drawn}", faults.len()))
    })
}

/// The signals that the process handles.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Self, StartError> {
        let subscribe = |kind, name| signal(kind).map_err(|fault| StartError::Signal { name, fault });
        Ok(Signals {
            hangup: subscribe(SignalKind::hangup(), "SIGHUP")?,
            terminate: subscribe(SignalKind::terminate(), "SIGTERM")?,
            interrupt: subscribe(SignalKind::interrupt(), "SIGINT")?,
        })
    }
}

async fn run(
    mut configuration: Configuration,
    operator_file: Option<(PathBuf, OperatorConfig)>,
    signals: Signals,
) -> Result<(), StartError> {
    let resource_limits = ResourceLimits::divide(configuration.limits);
    let Signals { hangup, mut terminate, mut interrupt } = signals;
    let stopped_early = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let listener = tokio::select! {
        listener = listen(configuration.listen) => listener,
        () = stopped_early => return Ok(()),
    };
    let listener = listener.map_err(|fault| StartError::Listen { address: configuration.listen, fault })?;
    let keep = operator_file.as_ref().and_then(|(_, operator)| operator.endpoint_cache.clone());
    let starts_slowly = operator_file.as_ref().is_some_and(|(_, operator)| operator.has_slow_start());
    let (endpoint_store, restored) =
        keep.map_or((None, None), |keep| endpoint_store::open(&keep, Clock::start().now()));
    let is_restored = configuration.known_endpoints.is_none() && restored.is_some();
    let (restored, trust) = restored.unzip();
    if is_restored {
        configuration.known_endpoints = restored;
    }
    // Discovery is asked for the whole list if the known one has faults or was only restored.
    let generation =
        configuration.known_endpoints.as_ref().filter(|known| known.errors.is_empty() && !is_restored);
    let generation = generation.map(|known| known.generation);
    log_line!("start", "{} at {}, {resource_limits}", configuration.name, configuration.listen);
    let source = Rc::new(EndpointWatch::new(configuration.discovery, generation));
    let fixed_fields = configuration.fixed_fields.clone();
    let (file, operator) = operator_file.unzip();
    let (fleet, operator) = match operator {
        Some(own) if own.fleet.is_some() => {
            (Some(Fleet::start(&configuration, own).map_err(StartError::Fleet)?), None)
        }
        other => (None, other),
    };
    let is_list_given = configuration.known_endpoints.is_some() && !is_restored;
    let node = Node::new(configuration, resource_limits, fleet);
    node.is_list_discovered.set(is_list_given);
    node.list_trust.set(trust.filter(|_| is_restored).map(|trust| (trust, false)));
    node.slow_start_pending.set(starts_slowly);
    if let Some(operator) = operator {
        let name = file.as_deref().unwrap_or(Path::new("")).display();
        log_line!("start", "{name} with {} routes", operator.routes.routes().len());
        node.apply_operator_file(Arc::new(operator));
    }
    let connections = Rc::new(ClientConnections::default());
    spawn_core_tasks(&node, &source);
    spawn_local(reload(hangup, Rc::clone(&source), fixed_fields, Rc::clone(&node), file));
    spawn_local(Rc::clone(&node).follow_fleet(Rc::clone(&connections)));
    spawn_local(upkeep(Rc::clone(&node), Rc::clone(&connections), endpoint_store, source));
    spawn_shutdown(&node, terminate, interrupt);
    listener::run(listener, Rc::clone(&node), connections, resource_limits).await;
    log_line!("stop", "all is answered, {:?}", node.core.borrow().query_counts());
    Ok(())
}

/// Spawns the tasks that drive the core: timers, and the endpoint list from discovery.
fn spawn_core_tasks(node: &Rc<Node>, source: &Rc<EndpointWatch>) {
    let timed = Rc::clone(node);
    spawn_local(restart_on_end("timers", move || Rc::clone(&timed).run_timers()));
    let updated = Rc::clone(node);
    let followed = Rc::clone(source);
    spawn_local(restart_on_end("list", move || {
        let updated = Rc::clone(&updated);
        whinspindle_discovery::run(Rc::clone(&followed), move |update| updated.endpoints_updated(&update))
    }));
    let (waiting, tried) = (Rc::clone(node), Rc::clone(source));
    spawn_local(async move {
        tried.wait_for_first_attempt().await;
        waiting.apply_known_endpoints();
    });
}

/// Spawns the task that begins the graceful shutdown at SIGTERM or SIGINT.
fn spawn_shutdown(node: &Rc<Node>, mut terminate: Signal, mut interrupt: Signal) {
    let stopped = Rc::clone(node);
    spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log_line!("stop", "told to stop: serving those that are connected for a while");
        stopped.begin_shutdown();
    });
}

/// Reloads the operator file and the configuration at each SIGHUP; of the latter only the discovery address
/// changes. The listener, open requests and all state of servers are kept, and so is an old file if the new one is
/// invalid.
async fn reload(
    mut hangup: Signal,
    source: Rc<EndpointWatch>,
    fixed_fields: Value,
    node: Rc<Node>,
    file: Option<PathBuf>,
) {
    while hangup.recv().await.is_some() {
        if let Some(file) = &file {
            match operator(file, &node.deployment) {
                Ok(_) if node.fleet.is_some() => {
                    log_line!(
                        "reload",
                        "{}: of a fleet's file all counts from the next start",
                        file.display()
                    );
                }
                Ok(operator) if operator.fleet.is_some() => {
                    log_line!("reload", "{}: a fleet is joined at the next start", file.display());
                }
                Ok(operator) => {
                    log_line!("reload", "{}: {} routes", file.display(), operator.routes.routes().len());
                    node.apply_operator_file(Arc::new(operator));
                }
                Err(faults) => log_line!("reload", "the operator's file stays as it was: {faults}"),
            }
        }
        match configuration::read() {
            Ok(configuration) => {
                log_line!("reload", "the configuration is read again");
                if configuration.fixed_fields != fixed_fields {
                    log_line!("reload", "only discovery is taken over; the rest counts from the next start");
                }
                source.set_address(configuration.discovery);
            }
            Err(fault) => log_line!("reload", "{fault}; all stays as it was"),
        }
    }
}

/// Binds the listening address. Retries for somewhat longer than a graceful shutdown takes, since the previous
/// process may still hold the address after a restart.
async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
    let begun = Instant::now();
    while begun.elapsed() < shutdown::MAX_SHUTDOWN_TIME + shutdown::MAX_SHUTDOWN_TIME / 4 {
        match TcpListener::bind(address).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => sleep(BIND_RETRY_INTERVAL).await,
            bound => return bound,
        }
    }
    TcpListener::bind(address).await
}

/// Runs a task that must never end; a panic or an end is logged and the task restarts.
async fn restart_on_end<F: Future<Output = ()>>(what: &str, mut begin: impl FnMut() -> F) {
    loop {
        let ended = AssertUnwindSafe(begin()).catch_unwind().await;
        log_line!("fault", "the task {what} ended ({ended:?}) and begins again");
        sleep(Duration::from_millis(10)).await;
    }
}

fn second_summary(node: &Node) -> SecondSummary {
    let tally = node.core.borrow().query_counts();
    SecondSummary {
        is_list_authoritative: node.is_list_discovered.get(),
        has_policy: node.fleet.as_ref().is_none_or(Fleet::has_policy_right),
        admits_all: node.accepts_all(),
        completed: tally.completed,
        answered: tally.completed + tally.rejected + tally.aborted,
    }
}

/// Housekeeping once a second: closes idle upstream connections, saves the endpoint list, and logs the state.
async fn upkeep(
    node: Rc<Node>,
    connections: Rc<ClientConnections>,
    mut endpoint_store: Option<EndpointStore>,
    source: Rc<EndpointWatch>,
) {
    let mut told = Default::default();
    let mut recovery =
        (endpoint_store.is_some() || node.fleet.is_some()).then(|| RecoveryTracker::new(node.clock.now()));
    for second in 1_u64.. {
        sleep(Duration::from_secs(1)).await;
        if let Some(recovery) = &mut recovery
            && let Some(words) = recovery.record_second(node.clock.now(), second_summary(&node))
        {
            log_line!("start", "{words}");
        }
        node.upstreams.close_expired();
        if let Some(endpoint_store) = &mut endpoint_store {
            endpoint_store.save(node.core.borrow().endpoint_list(), node.clock.now());
        }
        let has_list = node.is_list_discovered.get() && node.core.borrow().has_list();
        if let Some(fleet) = node.fleet.as_ref().filter(|_| has_list) {
            let silent = source.time_since_message().as_micros() as u64;
            fleet.report_endpoints(node.core.borrow().endpoint_list(), silent);
        }
        let tally = node.core.borrow().query_counts();
        if second % 10 == 0 && tally != told {
            told = tally;
            log_line!(
                "state",
                "{tally:?}, clients {}, upstream {}",
                connections.count(),
                node.upstreams.open_connections()
            );
        }
    }
}
