//! The world in real time: its servers, discovery and clients stand behind loopback sockets in this process,
//! and the real program balances them, one process a balancer. The parts of the world are those of virtual
//! time; only the clock and the network differ.

#![allow(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    reason = "functions from before the limit, to be split"
)]

mod clients;
mod discovery;
mod fleet;
mod http;
mod program;
mod release;
mod servers;
mod state;
mod troubles;

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use whinspindle_lab_report::Run;
use whinspindle_lab_scenario::Scenario;

use state::Stage;

/// Balancers must have come up after this time.
const READY_WITHIN: Duration = Duration::from_secs(15);
/// A timer that fires later than this at one moment in a hundred means that the machine was too slow.
const LATE_MOSTLY: u64 = 25_000;
/// And so does one that fires later than this once.
const LATE_ONCE: u64 = 500_000;

/// Plays the scenario with the program; `watch` is told once a second how far it is, from 0 to 1, and of
/// what.
pub fn play(scenario: &Scenario, program: &Path, watch: &mut dyn FnMut(f64, &str)) -> Result<Run, String> {
    if !program.is_file() {
        return Err(format!("{}: there is no such program; build it first", program.display()));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|fault| fault.to_string())?;
    LocalSet::new().block_on(&runtime, stand(scenario, program, watch))
}

async fn stand(scenario: &Scenario, program: &Path, watch: &mut dyn FnMut(f64, &str)) -> Result<Run, String> {
    let stage = Rc::new(Stage::new(scenario, program)?);
    servers::listen(&stage).await.map_err(|fault| format!("servers: {fault}"))?;
    discovery::listen(&stage).await.map_err(|fault| format!("discovery: {fault}"))?;
    watch(0.0, "balancers start");
    program::start_all(&stage).await?;
    clients::await_ready(&stage, READY_WITHIN).await?;
    fleet::found(&stage)?;
    stage.begin();
    spawn_local(servers::engine(Rc::clone(&stage)));
    spawn_local(program::guard(Rc::clone(&stage)));
    spawn_local(state::beat(Rc::clone(&stage)));
    fleet::acts(&stage);
    for stream in 0..scenario.loads.len() {
        spawn_local(clients::stream(Rc::clone(&stage), stream));
    }
    for number in 0..scenario.troubles.len() {
        spawn_local(troubles::play(Rc::clone(&stage), number));
    }
    let longest = scenario.products.iter().map(|product| product.statement_timeout).max().unwrap_or(0);
    let end = scenario.lasts + longest + 1_000_000;
    while stage.passed() < end {
        sleep(Duration::from_millis(1000)).await;
        watch(stage.passed() as f64 / end as f64, &stage.words());
        stage.sample();
    }
    let (broken, looked) = fleet::judge(&stage);
    program::end_all(&stage);
    let mut run = stage.finish(LATE_MOSTLY, LATE_ONCE)?;
    (run.verdict.fleet, run.verdict.fleet_looked) = (broken, looked);
    Ok(run)
}
