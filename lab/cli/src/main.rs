//! `whinspindle-lab`: runs fleets that do not exist, in virtual time or behind loopback sockets, and tells
//! what would have become of their queries.

#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

mod compare;
mod file;
mod fleet;
mod hunt;
mod play;
mod recovery;
mod sweep;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

const LONG: &str = "Plays scenarios: fleets of servers and balancers, the load on them and a timetable of \
troubles, given in a TOML file. In virtual time hundreds of copies of the decisions are played event by \
event, faster than real time and the same way every time. With --real the program itself balances the same \
world behind loopback sockets.

Begin with:
  whinspindle-lab run lab/scenarios/three-servers.toml --out results
and open the page that it names.";

#[derive(Parser)]
#[command(name = "whinspindle-lab", version, about, long_about = LONG)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play one scenario and show its figures; exit 3 if a rule was broken, 4 if the run does not count
    Run(play::RunLine),
    /// Play a grid of values, over several seeds, on all cores
    Sweep(sweep::SweepLine),
    /// Set two policies or two builds against each other, on the same seeds
    Compare(compare::CompareLine),
    /// Search a scenario's ranges for broken rules and the worst loss, and shrink what is found
    Hunt(hunt::HuntLine),
    /// How long each trouble lasts beyond its end: each is played beside the same run without it
    Return(recovery::ReturnLine),
    /// Play a kept run again, and say whether it went the same way to the last digit
    Replay(play::ReplayLine),
    /// Make the table and the page of a kept run anew
    Report(play::ReportLine),
    /// Play the agreement of fleets in virtual time: how long a change takes at each size, and what it sends
    Fleet(fleet::FleetLine),
    /// Search the agreement of a fleet for broken promises; exit 3 if one is found
    Explore(fleet::ExploreLine),
    /// Read a scenario file and tell all its faults, each with its line; exit 2 if there are any
    Check(file::CheckLine),
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Run(line) => play::run(&line),
        Command::Sweep(line) => sweep::run(&line),
        Command::Compare(line) => compare::run(&line),
        Command::Hunt(line) => hunt::run(&line),
        Command::Return(line) => recovery::run(&line),
        Command::Replay(line) => play::replay(&line),
        Command::Report(line) => play::report(&line),
        Command::Fleet(line) => fleet::sizes(&line),
        Command::Explore(line) => fleet::explore(&line),
        Command::Check(line) => file::check(&line),
    };
    done.unwrap_or_else(|fault| {
        eprintln!("{fault}");
        ExitCode::from(2)
    })
}
