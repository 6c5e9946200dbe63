//! The balancers of the first tier as one fleet: their files, what operators do, the ways between them, and
//! the judge that asks each from outside by which policy it decides.

use std::collections::HashMap;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{spawn_blocking, spawn_local};
use whinspindle::host::Effect;
use whinspindle_lab_fault_proxies::{Question, Referee, Relays, Way};
use whinspindle_lab_scenario::{Deed, Ill, Ways};

use crate::state::Stage;

/// Where the judge asks. Each policy gets a route there whose longest body tells it from all others.
const ASKED: &str = "/judged-by";
/// The longest body of the policy that is proposed before all others; the following have the next numbers.
const FIRST: u64 = 100;
/// Each balancer is asked so often.
const ASK_EVERY: Duration = Duration::from_millis(40);
/// By how much clocks may differ; the program's own default.
const DRIFT: f64 = 0.01;

/// What a fleet on the stage has beside its processes.
pub struct Between {
    pub relays: Relays,
    judge: Option<Referee>,
    /// The troubles between balancers that are under way.
    troubles: Vec<usize>,
}

fn place(stage: &Stage, node: usize, what: &str) -> PathBuf {
    stage.folder.join(format!("n{node}.{what}"))
}

/// The operator's file of a balancer, if it is one of a fleet. Each balancer reaches each server at an
/// address of its own here, by which it is known; so lists of neighbours are of no use to it.
pub fn operator(stage: &Stage, node: usize) -> Result<Option<PathBuf>, String> {
    let Some(fleet) = stage.scenario.fleet.as_ref().filter(|_| node < stage.scenario.tiers[0].balancers)
    else {
        return Ok(None);
    };
    let voters: Vec<usize> = (0..fleet.voters).collect();
    let list = place(stage, node, "list");
    let keep = if fleet.keep { format!("[keep]\nfolder = {list:?}\n") } else { String::new() };
    let text = format!(
        "[fleet]\nname = \"lab\"\nvoters = {voters:?}\nright = \"{}us\"\nsocket = {:?}\nstore = {:?}\n\
         neighbours = false\nbegin-slowly = {}\n{}{}",
        fleet.right,
        place(stage, node, "sock"),
        place(stage, node, "store"),
        fleet.begin_slowly,
        keep,
        cut_off("")
    );
    let file = place(stage, node, "toml");
    std::fs::write(&file, text).map_err(|fault| fault.to_string())?;
    Ok(Some(file))
}

/// What a policy's terms for being cut off need so that the judge knows them; none where they reject.
fn cut_off(policy: &str) -> String {
    let route =
        format!("[[cut-off.route]]\nname = \"judged-by\"\npath = \"{ASKED}\"\nlargest-body = \"1B\"\n");
    match (policy.contains("[cut-off]"), policy.contains("\"reject\"")) {
        (true, true) => String::new(),
        (true, false) => route,
        (false, _) => format!("[cut-off]\nqueries = \"take\"\n{route}"),
    }
}

/// The policy with the route for the judge.
fn marked(policy: &str, number: u64) -> String {
    let longest = FIRST + number;
    let route = format!(
        "[[route]]\nname = \"judged-by\"\npath = \"{ASKED}\"\nlargest-body = \"{longest}B\"\n{}",
        cut_off(policy)
    );
    format!("{policy}\n{route}")
}

pub fn command(stage: &Stage, node: usize) -> Command {
    let mut command = Command::new(&stage.program);
    command.args(["fleet", "--socket"]).arg(place(stage, node, "sock"));
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Ways between the balancers of the first tier, before any is started.
pub fn lay(stage: &Stage) -> Result<(), String> {
    if stage.scenario.fleet.is_some() {
        let world = stage.world.borrow();
        let listens: Vec<_> =
            world.nodes[..stage.scenario.tiers[0].balancers].iter().map(|node| node.peer_listen).collect();
        let relays = Relays::new(&listens, stage.scenario.seed).map_err(|fault| fault.to_string())?;
        *stage.between.borrow_mut() = Some(Between { relays, judge: None, troubles: Vec::new() });
    }
    Ok(())
}

/// Founds the fleet before the scenario begins, and has it agree on a policy that the judge knows.
pub fn found(stage: &Stage) -> Result<(), String> {
    if stage.scenario.fleet.is_none() {
        return Ok(());
    }
    let first = write_policy(stage, "", 0)?;
    for words in
        [vec!["found", "--wait", "30"], vec!["propose", "--wait", "60", &first.display().to_string()]]
    {
        let done = command(stage, 0).args(&words).output().map_err(|fault| fault.to_string())?;
        if !done.status.success() {
            return Err(format!("fleet {}: {}", words[0], String::from_utf8_lossy(&done.stderr)));
        }
    }
    let product = &stage.scenario.products[0];
    let question = Question {
        path: ASKED.to_string(),
        product: product.name.clone(),
        keyed: matches!(product.effect, Effect::Deduplicated(_)),
        pause: ASK_EVERY,
    };
    let listens: Vec<_> = {
        let world = stage.world.borrow();
        world.nodes[..stage.scenario.tiers[0].balancers].iter().map(|node| node.listen).collect()
    };
    if let Some(between) = &mut *stage.between.borrow_mut() {
        between.judge = Some(Referee::asking(&listens, question));
    }
    Ok(())
}

fn write_policy(stage: &Stage, text: &str, number: u64) -> Result<PathBuf, String> {
    let file = stage.folder.join(format!("policy-{number}.toml"));
    std::fs::write(&file, marked(text, number)).map_err(|fault| fault.to_string())?;
    Ok(file)
}

/// Each act at its time, whatever the others do.
pub fn acts(stage: &Rc<Stage>) {
    let count = stage.scenario.fleet.as_ref().map_or(0, |fleet| fleet.acts.len());
    for number in 0..count {
        spawn_local(act(Rc::clone(stage), number));
    }
}

async fn act(stage: Rc<Stage>, number: usize) {
    let Some(act) = stage.scenario.fleet.as_ref().and_then(|fleet| fleet.acts.get(number)) else { return };
    stage.until(act.at).await;
    let mut told = command(&stage, act.balancer);
    let written = match &act.done {
        Deed::Propose(text) => write_policy(&stage, text, 1 + number as u64).map(|file| {
            told.args(["propose", "--wait", "0"]).arg(&file);
        }),
        Deed::Run(words) => {
            told.args(words);
            Ok(())
        }
    };
    // Not on the thread of the stage, whose timers it would hold up.
    let done = spawn_blocking(move || told.output()).await;
    let words = match (written, done) {
        (Err(fault), _) => fault,
        (_, Ok(Err(fault))) => fault.to_string(),
        (_, Err(fault)) => fault.to_string(),
        // Under way, which is no fault here.
        (_, Ok(Ok(output))) if output.status.code() == Some(3) || output.status.success() => return,
        (_, Ok(Ok(output))) => {
            let said = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
            format!("exit {}: {}", output.status.code().unwrap_or(-1), said.trim())
        }
    };
    stage.world.borrow_mut().faults.push(format!("act {number}: {words}"));
}

/// A trouble between balancers begins or ends: the ways are what all that are under way make of them.
pub fn trouble(stage: &Stage, number: usize, begins: bool) {
    let mut between = stage.between.borrow_mut();
    let Some(between) = &mut *between else { return };
    if begins {
        between.troubles.push(number);
    } else {
        between.troubles.retain(|known| *known != number);
    }
    let members = stage.scenario.tiers[0].balancers;
    for from in 0..members {
        for to in (0..members).filter(|to| *to != from) {
            let mut way = Way::default();
            for number in &between.troubles {
                match &stage.scenario.troubles[*number].ill {
                    Ill::PeerCut(of, ways) => {
                        let apart = of.contains(&from) != of.contains(&to);
                        let cut = match ways {
                            Ways::Both => true,
                            Ways::Out => of.contains(&from),
                            Ways::In => of.contains(&to),
                        };
                        way.cut |= apart && cut;
                    }
                    Ill::PeerLoss(part) => way.loss = 1.0 - (1.0 - way.loss) * (1.0 - part),
                    Ill::PeerRepeat(part) => way.repeats = way.repeats.max(*part),
                    Ill::PeerDelay(by) => way.late += Duration::from_micros(*by),
                    Ill::PeerReorder(by) => way.delay = way.delay.max(Duration::from_micros(*by)),
                    _ => {}
                }
            }
            between.relays.set(&[from], &[to], way);
        }
    }
}

/// Takes what a balancer keeps away; `keep` first makes a copy of it, `back` puts that copy in its place.
pub fn disk(stage: &Stage, node: usize, keep: bool, back: bool) -> std::io::Result<()> {
    let (store, copy) = (place(stage, node, "store"), place(stage, node, "store-before"));
    let copied = |from: &PathBuf, to: &PathBuf| -> std::io::Result<()> {
        std::fs::create_dir_all(to)?;
        for entry in std::fs::read_dir(from)?.flatten() {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
        Ok(())
    };
    if keep {
        return copied(&store, &copy);
    }
    std::fs::remove_dir_all(&store)?;
    if back { copied(&copy, &store) } else { Ok(()) }
}

/// What became of the changes, as the first balancer that answers tells an operator, and the judge's word.
pub fn judge(stage: &Stage) -> (Option<String>, u64) {
    let Some(fleet) = &stage.scenario.fleet else { return (None, 0) };
    let told = (0..stage.scenario.tiers[0].balancers).find_map(|node| {
        let output = command(stage, node).arg("history").output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    });
    let told = told.unwrap_or_else(|| "no balancer tells".to_string());
    stage.world.borrow_mut().faults.extend(told.lines().map(|line| format!("fleet: {line}")));
    let mut between = stage.between.borrow_mut();
    let Some(judge) = between.as_mut().and_then(|between| between.judge.take()) else { return (None, 0) };
    // The last changes are told with their hashes and numbers; one that is not among them never came into
    // force.
    let mut numbers: HashMap<u64, u64> = HashMap::new();
    for number in 0..=fleet.acts.len() as u64 {
        let Ok(text) = std::fs::read(stage.folder.join(format!("policy-{number}.toml"))) else { continue };
        let hash = blake3::hash(&text).to_hex();
        let line = told.lines().find(|line| line.contains(&hash[..12]) && line.ends_with("in force"));
        let known = line.and_then(|line| line.split(' ').nth(1)?.parse().ok());
        numbers.extend(known.map(|known: u64| (FIRST + number, known)));
    }
    let window = Duration::from_micros((fleet.right as f64 / (1.0 - DRIFT)).ceil() as u64);
    let looked = judge.seen().iter().flatten().filter(|seen| seen.limit.is_some()).count() as u64;
    (judge.judge_by(window, |limit| numbers.get(&limit).copied()).err(), looked)
}
