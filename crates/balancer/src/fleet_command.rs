//! `whinspindle fleet`: speaks to a running balancer over its control socket.

use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand, ValueHint};
use serde_json::Value;
use whinspindle_policy::{Hash, Unit};

use crate::command;
use crate::control::{self, Request};

/// Between two looks at how far a change is.
const LOOK: Duration = Duration::from_millis(100);
/// A change that ended otherwise than wished, and one that has not ended in the time waited.
const OTHERWISE: u8 = 1;
const WAITING: u8 = 3;

#[derive(Args)]
pub struct FleetLine {
    /// The control socket of a running balancer, as its operator's file names it
    #[arg(long, value_hint = ValueHint::FilePath)]
    socket: PathBuf,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
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
    /// Propose a policy: a file of routes. Exit 0 in force, 1 ended otherwise, 2 not proposed, 3 still under way
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
    /// Ask whether a unit may be taken out: balancer:NUMBER or server:ID. Exit 0 it may and is counted as out, 1 no,
    /// or grants are halted, 3 not yet. Asking again with the same word is harmless
    Out {
        unit: String,
        /// The supervisor's own word for this wish
        #[arg(long = "as")]
        word: String,
        #[command(flatten)]
        wait: Wait,
    },
    /// A unit that was let out is back. A balancer that was started anew says so by itself
    Back { unit: String },
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
    /// One voter makes way for another balancer. Exit 0 when both boards have agreed, 3 still under way
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

#[derive(Args)]
struct Wait {
    /// Seconds to wait for the end; 0 returns at once
    #[arg(long, default_value_t = 90)]
    wait: u64,
}

pub fn run(line: &FleetLine) -> Result<ExitCode, String> {
    let ask = |request: &Request| control::ask(&line.socket, request)?;
    match &line.what {
        What::Status { json } => {
            let status = ask(&Request::Status)?;
            if *json {
                println!("{status}")
            } else {
                print!("{}", table(&status))
            }
            Ok(ExitCode::SUCCESS)
        }
        What::History => {
            let status = ask(&Request::Status)?;
            status["past"].as_array().into_iter().flatten().for_each(|past| println!("{}", past_line(past)));
            Ok(ExitCode::SUCCESS)
        }
        What::Found { anew, sure, wait } => {
            let begun = ask(&Request::Found { anew: *anew, sure: *sure })?;
            if begun["begun"] != true {
                print!("{}", table(&begun["known"]));
                println!(
                    "nothing is done; --sure founds the fleet anew from this, and what others knew is lost"
                );
                return Ok(ExitCode::from(OTHERWISE));
            }
            let before = begun["epoch"].as_u64();
            waited(wait, ask, |status| {
                let founded = status["epoch"].as_u64() > before;
                founded.then(|| ("the fleet is founded".to_string(), 0))
            })
        }
        What::Propose { file, wait } => {
            let text = command::text(file)?;
            let hash = Hash::of(text.as_bytes()).to_string();
            let wish = ask(&Request::Propose { length: text.len(), hash, text })?;
            waited(wait, ask, |status| {
                let past = status["past"].as_array()?;
                let past = past.iter().find(|past| past["serial"] == wish["serial"])?;
                Some((past_line(past), if past["fate"] == "in force" { 0 } else { OTHERWISE }))
            })
        }
        What::Out { unit, word, wait } => out(unit, word, wait, ask),
        What::Back { unit: text } => {
            ask(&Request::Back { unit: unit(text)? })?;
            Ok(ExitCode::SUCCESS)
        }
        What::Halt { why, wait } => {
            ask(&Request::Halt { why: why.clone() })?;
            waited(wait, ask, |status| status["halted"].is_object().then(|| ("halted".to_string(), 0)))
        }
        What::Resume { wait } => {
            ask(&Request::Resume)?;
            waited(wait, ask, |status| status["halted"].is_null().then(|| ("resumed".to_string(), 0)))
        }
        What::Voter { old, new, wait } => {
            ask(&Request::Voters { old: *old, new: *new })?;
            waited(wait, ask, |status| {
                let voters = status["voters"].as_array()?;
                let votes = |member: &u16| voters.iter().any(|voter| *voter == *member);
                // While both boards vote, the old one is still named.
                (votes(new) && !votes(old)).then(|| (format!("member {new} votes in place of {old}"), 0))
            })
        }
        What::Withdraw { number, wait } => {
            ask(&Request::Withdraw { number: *number })?;
            waited(wait, ask, |status| {
                let past = status["past"].as_array()?;
                let past = past.iter().find(|past| past["number"] == *number)?;
                Some((past_line(past), if past["fate"] == "withdrawn" { 0 } else { OTHERWISE }))
            })
        }
    }
}

fn unit(text: &str) -> Result<Unit, String> {
    let unit = match text.split_once(':') {
        Some(("balancer", number)) => number.parse().ok().map(Unit::Balancer),
        Some(("server", id)) if !id.is_empty() => Some(Unit::Server(whinspindle_terms::key(id.as_bytes()))),
        _ => None,
    };
    unit.ok_or_else(|| format!("{text:?} is no unit: balancer:NUMBER or server:ID"))
}

/// Asks until it is granted, refused or the time is over.
fn out(
    text: &str,
    word: &str,
    wait: &Wait,
    ask: impl Fn(&Request) -> Result<Value, String>,
) -> Result<ExitCode, String> {
    let unit = unit(text)?;
    let serial = whinspindle_terms::key(format!("{word} {text}").as_bytes());
    let until = Instant::now() + Duration::from_secs(wait.wait);
    loop {
        let answer = ask(&Request::Out { unit, serial })?;
        if answer["granted"] == true {
            println!("{text} is let out");
            return Ok(ExitCode::SUCCESS);
        }
        if let Some(why) = answer["halted"].as_str() {
            println!("halted: {why}");
            return Ok(ExitCode::from(OTHERWISE));
        }
        if Instant::now() >= until {
            println!("not yet: {}", answer["waits"].as_str().unwrap_or_default());
            return Ok(ExitCode::from(WAITING));
        }
        sleep(LOOK);
    }
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
            return Ok(ExitCode::from(WAITING));
        }
        if shown {
            eprint!("\r{}\x1b[K", progress(&status));
            let _ = std::io::stderr().flush();
        }
        sleep(LOOK);
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
