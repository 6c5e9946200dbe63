//! The balancers of the first tier as one fleet: their files, and what operators do.

use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::rc::Rc;

use tokio::task::spawn_blocking;

use crate::state::Stage;

fn place(stage: &Stage, node: usize, what: &str) -> PathBuf {
    stage.folder.join(format!("n{node}.{what}"))
}

/// The operator's file of a balancer, if it is one of a fleet.
pub fn operator(stage: &Stage, node: usize) -> Result<Option<PathBuf>, String> {
    let Some(fleet) = stage.scenario.fleet.as_ref().filter(|_| node < stage.scenario.tiers[0].balancers)
    else {
        return Ok(None);
    };
    let voters: Vec<usize> = (0..fleet.voters).collect();
    let text = format!(
        "[fleet]\nname = \"lab\"\nvoters = {voters:?}\nright = \"{}us\"\nsocket = {:?}\nstore = {:?}\n",
        fleet.right,
        place(stage, node, "sock"),
        place(stage, node, "store")
    );
    let file = place(stage, node, "toml");
    std::fs::write(&file, text).map_err(|fault| fault.to_string())?;
    Ok(Some(file))
}

fn command(stage: &Stage, node: usize) -> Command {
    let mut command = Command::new(&stage.program);
    command.args(["fleet", "--socket"]).arg(place(stage, node, "sock"));
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    command
}

/// Founds the fleet before the scenario begins.
pub fn found(stage: &Stage) -> Result<(), String> {
    if stage.scenario.fleet.is_none() {
        return Ok(());
    }
    let done =
        command(stage, 0).args(["found", "--wait", "30"]).status().map_err(|fault| fault.to_string())?;
    if done.success() { Ok(()) } else { Err("the fleet could not be founded".to_string()) }
}

/// Proposes each policy at its time.
pub async fn acts(stage: Rc<Stage>) {
    for (number, act) in stage.scenario.fleet.iter().flat_map(|fleet| &fleet.acts).enumerate() {
        stage.until(act.at).await;
        let file = stage.folder.join(format!("policy-{number}.toml"));
        let written = std::fs::write(&file, &act.policy);
        let mut propose = command(&stage, act.balancer);
        propose.args(["propose", "--wait", "0"]).arg(&file).stderr(Stdio::piped());
        // Not on the thread of the stage, whose timers it would hold up.
        let begun = spawn_blocking(move || propose.output()).await;
        let fault = match (written, begun) {
            (Err(fault), _) | (_, Ok(Err(fault))) => fault.to_string(),
            (_, Err(fault)) => fault.to_string(),
            // Under way, which is no fault here.
            (_, Ok(Ok(output))) if output.status.code() == Some(3) || output.status.success() => continue,
            (_, Ok(Ok(output))) => String::from_utf8_lossy(&output.stderr).into_owned(),
        };
        stage.world.borrow_mut().faults.push(format!("act {number}: {fault}"));
    }
}

/// How the fleet stands in the end, as its first balancer that answers tells it.
pub fn note(stage: &Stage) {
    if stage.scenario.fleet.is_none() {
        return;
    }
    let told = (0..stage.scenario.tiers[0].balancers).find_map(|node| {
        let output = command(stage, node).arg("history").stdout(Stdio::piped()).output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    });
    let told = told.unwrap_or_else(|| "no balancer tells".to_string());
    stage.world.borrow_mut().faults.extend(told.lines().map(|line| format!("fleet: {line}")));
}
