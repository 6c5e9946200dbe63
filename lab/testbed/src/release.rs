//! A release on sockets: the program grants and watches, and a stand-in supervisor a server asks it by the
//! documented command, as a real one would, and starts the server anew.

use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::sleep;
use whinspindle_lab_scenario::Release;

use crate::state::Stage;
use crate::{discovery, fleet, troubles};

/// Between two questions of a supervisor.
const ASK: Duration = Duration::from_millis(300);

/// A command's exit code and what it said, without holding the stage up.
async fn command(stage: &Rc<Stage>, node: usize, words: Vec<String>) -> (i32, String) {
    let mut command = fleet::command(stage, node);
    command.args(words);
    match spawn_blocking(move || command.output()).await {
        Ok(Ok(output)) => {
            let said = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
            (output.status.code().unwrap_or(-1), said.into_owned())
        }
        Ok(Err(fault)) => (-1, fault.to_string()),
        Err(fault) => (-1, fault.to_string()),
    }
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| word.to_string()).collect()
}

/// The first balancer that runs; supervisors ask whoever is up.
fn asked(stage: &Stage) -> usize {
    let world = stage.world.borrow();
    (0..stage.scenario.tiers[0].balancers).find(|&node| world.nodes[node].process.is_some()).unwrap_or(0)
}

pub async fn play(stage: Rc<Stage>, tier: usize, places: Vec<usize>, terms: Release) {
    let unit = |place: &usize| {
        let server = stage.world.borrow().tiers[tier].hosts[*place].server;
        format!("server:{}", discovery::id(server))
    };
    let units: Vec<String> = places.iter().map(unit).collect();
    let plan = format!("name = \"lab\"\nunits = {units:?}\nwatch = \"{}us\"\n", terms.watch);
    let file = stage.folder.join("plan.toml");
    if let Err(fault) = std::fs::write(&file, plan) {
        stage.world.borrow_mut().faults.push(format!("release: {fault}"));
        return;
    }
    let begun =
        command(&stage, asked(&stage), words(&["release", "start", &file.display().to_string()])).await;
    let number = begun.1.trim().strip_prefix("release ").unwrap_or_default().to_string();
    if begun.0 != 0 {
        stage.world.borrow_mut().faults.push(format!("release: not begun: {}", begun.1.trim()));
        return;
    }
    for (place, unit) in places.into_iter().zip(units) {
        let (stage, terms, number) = (Rc::clone(&stage), terms.clone(), number.clone());
        spawn_local(async move { supervise(stage, tier, place, unit, number, terms).await });
    }
    spawn_local(async move { watch(stage).await });
}

/// Asks for its server, for the new build and for the old one, until the release is over.
async fn supervise(
    stage: Rc<Stage>,
    tier: usize,
    place: usize,
    unit: String,
    number: String,
    terms: Release,
) {
    for turn in 0.. {
        let word = format!("lab-{turn}");
        let build = loop {
            let ask = words(&["out", &unit, "--as", &word, "--release", &number, "--wait", "0"]);
            let (code, said) = command(&stage, asked(&stage), ask).await;
            match code {
                0 => break said,
                // That release is not under way any more.
                2 if said.contains("not under way") => return,
                _ => sleep(ASK).await,
            }
        };
        // The balancers have stopped sending by what the fleet agreed on; what it holds is answered
        // meanwhile.
        sleep(Duration::from_micros(terms.drains)).await;
        troubles::start_in_place(&stage, tier, place);
        if build.contains("new build") {
            let now = stage.now();
            let mut world = stage.world.borrow_mut();
            world.tiers[tier].hosts[place].machine.change(now, |machine| {
                (machine.failure_rate, machine.slowdown) = (terms.fails, terms.slow);
            });
            drop(world);
            stage.stirred.notify_one();
        }
        sleep(Duration::from_micros(stage.scenario.tiers[tier].cold.lasts)).await;
        while command(&stage, asked(&stage), words(&["back", &unit])).await.0 != 0 {
            sleep(ASK).await;
        }
    }
}

/// Notes when it was halted, and turns it back as an operator would; notes its end.
async fn watch(stage: Rc<Stage>) {
    let mut turned = false;
    loop {
        sleep(ASK).await;
        let (code, said) = command(&stage, asked(&stage), words(&["status", "--json"])).await;
        let Ok(status) = serde_json::from_str::<Value>(&said) else { continue };
        let at = stage.passed() as f64 / 1e6;
        let note = |words: String| stage.world.borrow_mut().faults.push(format!("release: {words}"));
        if status["halted"].is_object() && !turned {
            turned = true;
            let units = status["release"]["now"]["units"].as_array().cloned().unwrap_or_default();
            let touched = units.iter().filter(|unit| unit["changed"] == true || unit["out"] == true).count();
            note(format!("halted at {at:.1} s, {touched} units touched: {}", status["halted"]["why"]));
            command(&stage, asked(&stage), words(&["release", "back", "--wait", "20"])).await;
        }
        if code == 0 && status["release"]["now"].is_null() {
            note(format!("over at {at:.1} s: {}", status["release"]["past"]));
            return;
        }
    }
}
