//! The programs of the serving system: `proxy`, `agent` and `controller`, and the operator's commands that speak to
//! a running controller. Command line, settings, logs and wiring only; each program lives in its own crate.

#![allow(missing_docs, reason = "not every public item is documented yet")]

pub mod command_line;
mod daemon;
mod logging;
mod operator;
pub mod requirements;
pub mod status;

use std::ffi::OsString;
use std::process::ExitCode;

use crate::command_line::{Command, help};

/// Exit status for wrong arguments and for settings that cannot be used.
const USAGE_STATUS: u8 = 2;
/// Exit status for a program that ended by a failure, and for an order that was refused.
const FAILURE_STATUS: u8 = 1;

/// Whether the first argument names a command of the serving system.
pub fn handles(argument: &OsString) -> bool {
    argument.to_str().is_some_and(|name| command_line::COMMANDS.contains(&name))
}

/// Runs the command that the arguments name; the program's own name is not among them.
pub fn main(arguments: Vec<OsString>) -> ExitCode {
    let command = match command_line::parse(arguments) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("whinspindle: {error}\n\n{}", help());
            return ExitCode::from(USAGE_STATUS);
        }
    };
    match command {
        Command::Help => {
            println!("{}", help());
            ExitCode::SUCCESS
        }
        Command::Daemon(daemon) => daemon::run(&daemon),
        Command::Operator(order) => operator::run(&order),
    }
}
