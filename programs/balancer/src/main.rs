//! The real balancer: one program for all tiers, told its place by the file that `ROUTER_CONFIG` names.

#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

mod accept;
mod clock;
mod command;
mod control;
mod fleet;
mod fleet_command;
mod front;
mod keeper;
mod node;
mod placement;

mod shares;
mod stop;
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
use whinspindle_operator_file::Operator;
use whinspindle_rate_limited_log::log_line;

use crate::accept::Accepted;
use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::keeper::Keeper;
use crate::node::Node;
use crate::placement::Placement;
use crate::shares::Shares;

/// Names the operator's file where no argument does.
const OPERATOR: &str = "WHINSPINDLE_OPERATOR";

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    if arguments.first().is_some_and(whinspindle_serving::handles) {
        return whinspindle_serving::main(arguments);
    }
    // The platform starts the program by its name alone.
    if !arguments.is_empty() {
        return command::run();
    }
    balance(std::env::var_os(OPERATOR).map(PathBuf::from))
}

/// Balances until it is told to stop, with the operator's file if there is one.
fn balance(file: Option<PathBuf>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ran = runtime.map_err(|e| format!("runtime: {e}")).and_then(|runtime| {
        LocalSet::new().block_on(&runtime, async {
            // First of all. Guards against a signal that comes while the program starts: it would end it.
            let signals = Signals::new()?;
            let placement = placement::read()?;
            let operator = file.as_ref().map(|file| operator(file, &placement.deployment)).transpose()?;
            run(placement, file.zip(operator), signals).await
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

/// Reads the operator's file; all its faults, drawn, if it has any.
fn operator(file: &Path, deployment: &Deployment) -> Result<Operator, String> {
    let text = command::text(file)?;
    whinspindle_operator_file::read(&text, deployment).map_err(|faults| {
        let name = file.display().to_string();
        format!("{name}: {} faults\n{}", faults.len(), whinspindle_operator_file::draw(&name, &text, &faults))
    })
}

/// What may be asked of the program by signals.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Self, String> {
        let heard = |kind, name: &str| signal(kind).map_err(|e| format!("{name}: {e}"));
        Ok(Signals {
            hangup: heard(SignalKind::hangup(), "SIGHUP")?,
            terminate: heard(SignalKind::terminate(), "SIGTERM")?,
            interrupt: heard(SignalKind::interrupt(), "SIGINT")?,
        })
    }
}

async fn run(
    mut placement: Placement,
    operated: Option<(PathBuf, Operator)>,
    signals: Signals,
) -> Result<(), String> {
    let shares = Shares::of(placement.limits);
    let Signals { hangup, mut terminate, mut interrupt } = signals;
    let stopped_early = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let listener = tokio::select! {
        listener = listen(placement.listen) => listener,
        () = stopped_early => return Ok(()),
    };
    let listener = listener.map_err(|e| format!("listen: {}: {e}", placement.listen))?;
    let keep = operated.as_ref().and_then(|(_, operator)| operator.keep.clone());
    let slowly = operated.as_ref().is_some_and(|(_, operator)| operator.begins_slowly());
    let (keeper, recalled) = keep.map_or((None, None), |keep| keeper::open(&keep, Clock::start().now()));
    let is_recalled = placement.known.is_none() && recalled.is_some();
    let (recalled, trust) = recalled.unzip();
    if is_recalled {
        placement.known = recalled;
    }
    // What could not be read of the known list, or was only remembered, is asked for again.
    let generation = placement.known.as_ref().filter(|known| known.faults.is_empty() && !is_recalled);
    let generation = generation.map(|known| known.generation);
    log_line!("start", "{} at {}, {shares:?}", placement.name, placement.listen);
    let source = Rc::new(EndpointWatch::new(placement.discovery, generation));
    let lasting = placement.lasting.clone();
    let (file, operator) = operated.unzip();
    let (fleet, operator) = match operator {
        Some(own) if own.fleet.is_some() => (Some(Fleet::start(&placement, own)?), None),
        other => (None, other),
    };
    let is_told = placement.known.is_some() && !is_recalled;
    let node = Node::new(placement, shares, fleet);
    node.discovered.set(is_told);
    node.trusted.set(trust.filter(|_| is_recalled).map(|trust| (trust, false)));
    node.begins.set(slowly);
    if let Some(operator) = operator {
        let name = file.as_deref().unwrap_or(Path::new("")).display();
        log_line!("start", "{name} with {} routes", operator.routes.routes().len());
        node.operate(Arc::new(operator));
    }
    let accepted = Rc::new(Accepted::default());

    let timed = Rc::clone(&node);
    spawn_local(unending("timers", move || Rc::clone(&timed).run_timers()));
    let told = Rc::clone(&node);
    let followed = Rc::clone(&source);
    spawn_local(unending("list", move || {
        let told = Rc::clone(&told);
        whinspindle_discovery::follow(Rc::clone(&followed), move |update| told.told(&update))
    }));
    let (waiting, tried) = (Rc::clone(&node), Rc::clone(&source));
    spawn_local(async move {
        tried.first_attempted().await;
        waiting.believe_known();
    });
    spawn_local(reload(hangup, Rc::clone(&source), lasting, Rc::clone(&node), file));
    spawn_local(Rc::clone(&node).follow_fleet(Rc::clone(&accepted)));
    spawn_local(upkeep(Rc::clone(&node), Rc::clone(&accepted), keeper, source));
    let stopped = Rc::clone(&node);
    spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log_line!("stop", "told to stop: serving those that are connected for a while");
        stopped.end();
    });
    accept::run(listener, Rc::clone(&node), accepted, shares).await;
    log_line!("stop", "all is answered, {:?}", node.core.borrow().tally());
    Ok(())
}

/// At each SIGHUP the file of the configuration is read again, and the list followed where it says now. The
/// listener, the open queries and all that is known of servers stay; so does the old file if the new one is
/// bad.
async fn reload(
    mut hangup: Signal,
    source: Rc<EndpointWatch>,
    lasting: Value,
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
                    node.operate(Arc::new(operator));
                }
                Err(faults) => log_line!("reload", "the operator's file stays as it was: {faults}"),
            }
        }
        match placement::read() {
            Ok(placement) => {
                log_line!("reload", "the configuration is read again");
                if placement.lasting != lasting {
                    log_line!("reload", "only discovery is taken over; the rest counts from the next start");
                }
                source.move_to(placement.discovery);
            }
            Err(fault) => log_line!("reload", "{fault}; all stays as it was"),
        }
    }
}

/// Guards against a restart that finds the process before it not quite ended: tries again for as long as a
/// stop may take, and somewhat more.
async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    const PACE: Duration = Duration::from_millis(50);
    let begun = Instant::now();
    while begun.elapsed() < stop::LONGEST + stop::LONGEST / 4 {
        match TcpListener::bind(address).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => sleep(PACE).await,
            bound => return bound,
        }
    }
    TcpListener::bind(address).await
}

/// Guards against a fault in what must never end: a panic there is logged, and it begins again.
async fn unending<F: Future<Output = ()>>(what: &str, mut begin: impl FnMut() -> F) {
    loop {
        let ended = AssertUnwindSafe(begin()).catch_unwind().await;
        log_line!("fault", "the task {what} ended ({ended:?}) and begins again");
        sleep(Duration::from_millis(10)).await;
    }
}

fn how_it_stands(node: &Node) -> SecondSummary {
    let tally = node.core.borrow().tally();
    SecondSummary {
        told: node.discovered.get(),
        settled: node.fleet.as_ref().is_none_or(Fleet::decides_by_a_policy),
        takes_all: node.takes_all(),
        completed: tally.completed,
        answered: tally.completed + tally.rejected + tally.aborted,
    }
}

/// Drops connections that stood idle for long, and tells now and then what has become of the queries.
async fn upkeep(
    node: Rc<Node>,
    accepted: Rc<Accepted>,
    mut keeper: Option<Keeper>,
    source: Rc<EndpointWatch>,
) {
    let mut told = Default::default();
    let mut whole =
        (keeper.is_some() || node.fleet.is_some()).then(|| RecoveryTracker::new(node.clock.now()));
    for second in 1_u64.. {
        sleep(Duration::from_secs(1)).await;
        if let Some(whole) = &mut whole
            && let Some(words) = whole.second(node.clock.now(), how_it_stands(&node))
        {
            log_line!("start", "{words}");
        }
        node.upstreams.sweep();
        if let Some(keeper) = &mut keeper {
            keeper.keep(node.core.borrow().complete_list(), node.clock.now());
        }
        let has_list = node.discovered.get() && node.core.borrow().has_list();
        if let Some(fleet) = node.fleet.as_ref().filter(|_| has_list) {
            let silent = source.silent_for().as_micros() as u64;
            fleet.tell_list(node.core.borrow().complete_list(), silent);
        }
        let tally = node.core.borrow().tally();
        if second % 10 == 0 && tally != told {
            told = tally;
            log_line!("state", "{tally:?}, clients {}, upstream {}", accepted.count(), node.upstreams.open());
        }
    }
}
