//! The `whinspindle fleet` commands, which talk to a running balancer over its control socket.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand, ValueHint};
use serde_json::Value;
use whinspindle_fleet_policy::{Hash, Unit};
use whinspindle_operator_file::{draw, read_plan};

use crate::command;
use crate::control::{self, Request};

/// Interval at which the progress of a change is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Exit code of a change that ended otherwise than intended.
const EXIT_OTHER_OUTCOME: u8 = 1;
/// Exit code of a change that is still pending after the time waited.
const EXIT_PENDING: u8 = 3;

#[derive(Args)]
pub struct FleetArguments {
    /// The control socket of a running balancer, as its operator's file names it
    #[arg(long, value_hint = ValueHint::FilePath)]
    socket: PathBuf,
    #[command(subcommand)]
    what: FleetAction,
}

#[derive(Subcommand)]
enum FleetAction {
    /// What is agreed, by what this balancer decides, and, from a voter, how each balancer stands
    Status {
        #[arg(long)]
        json: bool,
    },
    /// The voters of the operator's file begin to agree; once in the life of a fleet
    Found {
        /// Again, after most voters have lost their stores: all voters of the file must be up
        #[arg(long)]
        anew: bool,
        /// With --anew: do it, and not only tell what this balancer knows and would go on from
        #[arg(long)]
        sure: bool,
        #[command(flatten)]
        wait: Wait,
    },
    /// Propose a policy: a file of routes. Exit 0 in force, 1 ended otherwise, 2 not proposed, 3 still under
    /// way
    Propose {
        #[arg(value_hint = ValueHint::FilePath)]
        file: PathBuf,
        #[command(flatten)]
        wait: Wait,
    },
    /// Withdraw the change under way, by its number
    Withdraw {
        number: u64,
        #[command(flatten)]
        wait: Wait,
    },
    /// Ask whether a unit may be taken out: balancer:NUMBER or server:ID. Exit 0 it may and is counted as
    /// out, 1 no, or grants are halted, 3 not yet. Asking again with the same word is harmless
    Out {
        unit: String,
        /// The supervisor's own word for this wish
        #[arg(long = "as")]
        word: String,
        /// As a part of the release with this number: it waits for its wave. Says "the new build" or "the old
        /// build"
        #[arg(long)]
        release: Option<u64>,
        #[command(flatten)]
        wait: Wait,
    },
    /// A unit that was let out is back. A balancer that was started anew says so by itself
    Back {
        unit: String,
        /// It is what it was before, and has to go out again for the release
        #[arg(long)]
        unchanged: bool,
    },
    /// Units changed in waves, each watched before the next
    Release {
        #[command(subcommand)]
        what: ReleaseAction,
    },
    /// Nothing is let out any more until it is resumed
    Halt {
        #[arg(long, default_value = "an operator's word")]
        why: String,
        #[command(flatten)]
        wait: Wait,
    },
    /// Units may be let out again
    Resume {
        #[command(flatten)]
        wait: Wait,
    },
    /// One voter makes way for another balancer. Exit 0 when both voter sets have agreed, 3 still under way
    Voter {
        old: u16,
        /// The one that votes in its place
        new: u16,
        #[command(flatten)]
        wait: Wait,
    },
    /// The last changes and what became of them
    History,
}

#[derive(Subcommand)]
enum ReleaseAction {
    /// What a plan would do, told without doing it. Exit 0 well, 2 faults
    Plan {
        #[arg(value_hint = ValueHint::FilePath)]
        file: PathBuf,
    },
    /// Begin a release; prints its number. Exit 0 begun, 2 not, 3 not agreed on yet
    Start {
        #[arg(value_hint = ValueHint::FilePath)]
        file: PathBuf,
        #[command(flatten)]
        wait: Wait,
    },
    /// How far it is, who is out, and what is seen. Exit 0 over or none, 1 halted, 3 under way
    Status {
        #[arg(long)]
        json: bool,
        /// Seconds to wait for its end or a halt
        #[arg(long, default_value_t = 0)]
        wait: u64,
    },
    /// The changed units return to what they were, the last wave first; a halt is lifted for it
    Back {
        #[command(flatten)]
        wait: Wait,
    },
    /// It ends as it stands: changed units stay changed
    Leave {
        #[command(flatten)]
        wait: Wait,
    },
}

#[derive(Args)]
struct Wait {
    /// Seconds to wait for the end; 0 returns at once
    #[arg(long, default_value_t = 90)]
    wait: u64,
}

/// Runs one command.
pub fn run(line: &FleetArguments) -> Result<ExitCode, String> {
    let ask = |request: &Request| control::ask(&line.socket, request).map_err(|fault| fault.to_string())?;
    match &line.what {
        FleetAction::Status { json } => {
            let status = ask(&Request::Status)?;
            if *json {
                println!("{status}")
            } else {
                print!("{}", table(&status))
            }
            Ok(ExitCode::SUCCESS)
        }
        FleetAction::History => {
            let status = ask(&Request::Status)?;
            status["past"].as_array().into_iter().flatten().for_each(|past| println!("{}", past_line(past)));
            Ok(ExitCode::SUCCESS)
        }
        FleetAction::Found { anew, sure, wait } => bootstrap(*anew, *sure, wait, ask),
        FleetAction::Propose { file, wait } => propose(file, wait, ask),
        FleetAction::Out { unit, word, release, wait } => out(unit, word, *release, wait, ask),
        FleetAction::Release { what } => release(what, ask),
        FleetAction::Back { unit: text, unchanged } => {
            ask(&Request::Back { unit: unit(text)?, done: !unchanged })?;
            Ok(ExitCode::SUCCESS)
        }
        FleetAction::Halt { why, wait } => {
            ask(&Request::Halt { why: why.clone() })?;
            waited(wait, ask, |status| status["halted"].is_object().then(|| ("halted".to_string(), 0)))
        }
        FleetAction::Resume { wait } => {
            ask(&Request::Resume)?;
            waited(wait, ask, |status| status["halted"].is_null().then(|| ("resumed".to_string(), 0)))
        }
        FleetAction::Voter { old, new, wait } => replace_voter(*old, *new, wait, ask),
        FleetAction::Withdraw { number, wait } => withdraw(*number, wait, ask),
    }
}

fn bootstrap(
    anew: bool,
    sure: bool,
    wait: &Wait,
    ask: impl Fn(&Request) -> Result<Value, String>,
) -> Result<ExitCode, String> {
    let begun = ask(&Request::Found { anew, sure })?;
    if begun["begun"] != true {
        print!("{}", table(&begun["known"]));
        println!("nothing is done; --sure founds the fleet anew from this, and what others knew is lost");
        return Ok(ExitCode::from(EXIT_OTHER_OUTCOME));
    }
    let before = begun["epoch"].as_u64();
    waited(wait, ask, |status| {
        let founded = status["epoch"].as_u64() > before;
        founded.then(|| ("the fleet is founded".to_string(), 0))
    })
}

fn propose(
    file: &Path,
    wait: &Wait,
    ask: impl Fn(&Request) -> Result<Value, String>,
) -> Result<ExitCode, String> {
    let (text, length, hash) = with_hash(file)?;
    let proposed = ask(&Request::Propose { text, length, hash })?;
    waited(wait, ask, |status| {
        let past = status["past"].as_array()?;
        let past = past.iter().find(|past| past["serial"] == proposed["serial"])?;
        Some((past_line(past), if past["fate"] == "in force" { 0 } else { EXIT_OTHER_OUTCOME }))
    })
}

fn replace_voter(
    old: u16,
    new: u16,
    wait: &Wait,
    ask: impl Fn(&Request) -> Result<Value, String>,
) -> Result<ExitCode, String> {
    ask(&Request::Voters { old, new })?;
    waited(wait, ask, |status| {
        let voters = status["voters"].as_array()?;
        let votes = |member: u16| voters.iter().any(|voter| *voter == member);
        // While both voter sets vote, the old voter is still named.
        (votes(new) && !votes(old)).then(|| (format!("member {new} votes in place of {old}"), 0))
    })
}

fn withdraw(
    number: u64,
    wait: &Wait,
    ask: impl Fn(&Request) -> Result<Value, String>,
) -> Result<ExitCode, String> {
    ask(&Request::Withdraw { number })?;
    waited(wait, ask, |status| {
        let past = status["past"].as_array()?;
        let past = past.iter().find(|past| past["number"] == number)?;
        Some((past_line(past), if past["fate"] == "withdrawn" { 0 } else { EXIT_OTHER_OUTCOME }))
    })
}

/// A file's text, with the length and hash by which the balancer verifies that it is complete.
fn with_hash(file: &Path) -> Result<(String, usize, String), String> {
    let text = command::text(file)?;
    let (length, hash) = (text.len(), Hash::of(text.as_bytes()).to_string());
    Ok((text, length, hash))
}

fn unit(text: &str) -> Result<Unit, String> {
    whinspindle_operator_file::unit(text)
        .ok_or_else(|| format!("{text:?} is no unit: balancer:NUMBER or server:ID"))
}

/// Asks repeatedly until the request is granted, refused or timed out.
fn out(
    text: &str,
    word: &str,
    release: Option<u64>,
    wait: &Wait,
    ask: impl Fn(&Request) -> Result<Value, String>,
) -> Result<ExitCode, String> {
    let unit = unit(text)?;
    let serial = whinspindle_deployment_settings::server_key(format!("{word} {text}").as_bytes());
    let until = Instant::now() + Duration::from_secs(wait.wait);
    loop {
        let answer = ask(&Request::Out { unit, serial, release })?;
        if answer["granted"] == true {
            let to = match answer["way"].as_str() {
                Some("forth") => ", for the new build",
                Some("back") => ", for the old build",
                _ => "",
            };
            println!("{text} is let out{to}");
            return Ok(ExitCode::SUCCESS);
        }
        if let Some(why) = answer["halted"].as_str() {
            println!("halted: {why}");
            return Ok(ExitCode::from(EXIT_OTHER_OUTCOME));
        }
        if Instant::now() >= until {
            println!("not yet: {}", answer["waits"].as_str().unwrap_or_default());
            return Ok(ExitCode::from(EXIT_PENDING));
        }
        sleep(POLL_INTERVAL);
    }
}

fn release(
    what: &ReleaseAction,
    ask: impl Fn(&Request) -> Result<Value, String>,
) -> Result<ExitCode, String> {
    match what {
        ReleaseAction::Plan { file } => show_plan(file),
        ReleaseAction::Start { file, wait } => {
            let (text, length, hash) = with_hash(file)?;
            let wish = ask(&Request::Release { text, length, hash })?;
            waited(wait, ask, |status| {
                let now = &status["release"]["now"];
                (now["serial"] == wish["serial"]).then(|| (format!("release {}", now["number"]), 0))
            })
        }
        ReleaseAction::Status { json, wait } => release_status(*json, *wait, ask),
        ReleaseAction::Back { wait } => {
            let number = ask(&Request::Turn)?["number"].clone();
            waited(wait, ask, |status| {
                let now = &status["release"]["now"];
                let turned = now["number"] != number || now["way"] == "back";
                turned.then(|| (format!("release {number} goes back"), 0))
            })
        }
        ReleaseAction::Leave { wait } => {
            let number = ask(&Request::Leave)?["number"].clone();
            waited(wait, ask, |status| {
                let left = status["release"]["now"]["number"] != number;
                left.then(|| (format!("release {number} is left as it stands"), 0))
            })
        }
    }
}

/// Shows what a plan would do.
fn show_plan(file: &Path) -> Result<ExitCode, String> {
    let text = command::text(file)?;
    let plan = match read_plan(&text, None) {
        Ok(plan) => plan,
        Err(faults) => return Err(draw(&file.display().to_string(), &text, &faults)),
    };
    let mut from = 0;
    for (wave, to) in plan.waves.iter().enumerate() {
        println!(
            "wave {}: {}, then watched for {} s",
            wave + 1,
            plan.names[from..*to].join(" "),
            plan.watch / 1_000_000
        );
        from = *to;
    }
    Ok(ExitCode::SUCCESS)
}

/// Shows how far the present release is, after waiting up to `wait` seconds for its end or a halt.
fn release_status(
    json: bool,
    wait: u64,
    ask: impl Fn(&Request) -> Result<Value, String>,
) -> Result<ExitCode, String> {
    let until = Instant::now() + Duration::from_secs(wait);
    loop {
        let status = ask(&Request::Status)?;
        let halted = status["halted"].is_object() && status["release"]["now"]["way"] == "forth";
        let over = status["release"]["now"].is_null();
        if !halted && !over && Instant::now() < until {
            sleep(POLL_INTERVAL);
            continue;
        }
        if json {
            println!("{}", status["release"])
        } else {
            print!("{}", release_table(&status))
        }
        let code = if over {
            0
        } else if halted {
            EXIT_OTHER_OUTCOME
        } else {
            EXIT_PENDING
        };
        return Ok(ExitCode::from(code));
    }
}

fn release_table(status: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
    let mut lines = Vec::new();
    for past in status["release"]["past"].as_array().into_iter().flatten() {
        lines.push(format!(
            "release {}: {}, {} changed",
            past["number"],
            text(&past["end"]),
            past["changed"]
        ));
    }
    let now = &status["release"]["now"];
    if now.is_object() {
        let waves = now["waves"].as_array().map_or(0, Vec::len);
        let units = || now["units"].as_array().into_iter().flatten();
        lines.push(format!(
            "release {} ({}), {}: wave {} of {waves}, {} of {} units changed",
            now["number"],
            text(&now["name"]),
            if now["way"] == "back" { "on its way back" } else { "on its way" },
            now["wave"],
            now["changed"],
            units().count()
        ));
        for (word, key) in [("out", "out"), ("changed", "changed")] {
            let of: Vec<String> =
                units().filter(|unit| unit[key] == true).map(|unit| text(&unit["unit"])).collect();
            if !of.is_empty() {
                lines.push(format!("  {word}: {}", of.join(" ")));
            }
        }
        match now["watchedMs"].as_u64() {
            Some(watched) => lines.push(format!("  the wave is whole, watched for {} s", watched / 1000)),
            None => lines.push("  the wave is not whole yet".to_string()),
        }
        let seen = &now["seen"];
        if seen.is_array() {
            let side = |side: &Value| {
                format!(
                    "{} executions, {} failed, {} slow, {} turned away",
                    side["executions"], side["bad"][0], side["bad"][1], side["bad"][2]
                )
            };
            lines.push(format!("  seen here of changed units: {}", side(&seen[1])));
            lines.push(format!("  of the others: {}", side(&seen[0])));
        }
    }
    if status["halted"].is_object() {
        lines.push(format!(
            "halted, by member {}: {}",
            status["halted"]["by"],
            text(&status["halted"]["why"])
        ));
    }
    if lines.is_empty() {
        lines.push("no release".to_string());
    }
    lines.join("\n") + "\n"
}

/// Waits for an end, with a line of progress where somebody looks.
fn waited(
    wait: &Wait,
    ask: impl Fn(&Request) -> Result<Value, String>,
    ended: impl Fn(&Value) -> Option<(String, u8)>,
) -> Result<ExitCode, String> {
    let until = Instant::now() + Duration::from_secs(wait.wait);
    let shown = std::io::stderr().is_terminal();
    loop {
        let status = ask(&Request::Status)?;
        if let Some((words, code)) = ended(&status) {
            if shown {
                eprintln!();
            }
            println!("{words}");
            return Ok(ExitCode::from(code));
        }
        if Instant::now() >= until {
            println!("still under way: {}", progress(&status));
            return Ok(ExitCode::from(EXIT_PENDING));
        }
        if shown {
            eprint!("\r{}\x1b[K", progress(&status));
            let _ = std::io::stderr().flush();
        }
        sleep(POLL_INTERVAL);
    }
}

fn progress(status: &Value) -> String {
    let Some(next) = status["next"].as_object() else { return "nothing is agreed on yet".to_string() };
    let members = status["members"].as_array().map_or(&[][..], Vec::as_slice);
    let ready = members.iter().filter(|member| member["ready"] == next["number"]).count();
    let heard = members.iter().filter(|member| member["heardMsAgo"].is_u64()).count();
    format!("policy {}: {ready} ready of {heard} heard", next["number"])
}

fn past_line(past: &Value) -> String {
    let text = |key: &str| past[key].as_str().unwrap_or_default().to_string();
    format!(
        "policy {} ({}), proposed by member {}: {}",
        past["number"],
        text("hash"),
        past["by"],
        text("fate")
    )
}

fn table(status: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
    let mut lines = vec![format!(
        "member {}, {}, decides by: {}",
        status["me"],
        if status["isVoter"] == true { "a voter" } else { "no voter" },
        text(&status["right"])
    )];
    if !text(&status["why"]).is_empty() {
        lines.push(format!("  {}", text(&status["why"])));
    }
    if status["founded"] != true {
        lines.push("the fleet is not founded".to_string());
    }
    let policy = &status["policy"];
    lines.push(format!("in force: policy {} ({})", policy["number"], text(&policy["hash"])));
    if status["next"].is_object() {
        lines.push(format!("under way: {}, {}", progress(status), text(&status["next"]["hash"])));
    }
    for out in status["out"].as_array().into_iter().flatten() {
        let what = if out["server"].is_string() { "server" } else { "balancer" };
        lines.push(format!("out: {what} {}, asked for at member {}", out[what], out["by"]));
    }
    if status["halted"].is_object() {
        lines.push(format!(
            "halted, by member {}: {}",
            status["halted"]["by"],
            text(&status["halted"]["why"])
        ));
    }
    for member in status["members"].as_array().into_iter().flatten() {
        let number = &member["member"];
        let Some(ago) = member["heardMsAgo"].as_u64() else {
            lines.push(format!("  {number:>4}  unheard"));
            continue;
        };
        let mut line = format!("  {number:>4}  {}, heard {ago} ms ago", text(&member["right"]));
        if member["ready"].is_u64() {
            line.push_str(&format!(", ready for {}", member["ready"]));
        }
        if member["lacks"].as_u64().is_some_and(|lacks| lacks > 0) {
            line.push_str(&format!(", lacks {} pieces", member["lacks"]));
        }
        let no = &member["objects"];
        if no.is_object() {
            line.push_str(&format!(
                ", objects to {}: line {}: {}",
                no["number"],
                no["line"],
                text(&no["words"])
            ));
        }
        lines.push(line);
    }
    lines.join("\n") + "\n"
}
