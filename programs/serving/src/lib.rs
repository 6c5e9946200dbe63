//! Entry point of the serving system: the daemons `proxy`, `agent`, `controller` and `directory`, and the operator's
//! commands, which call a running controller.
//!
//! Only command line, settings, logging and wiring; each daemon has a crate of its own. The binary asks [`is_serving_command`] for its
//! first argument, and passes the arguments to [`main`] if it does.

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
/// Exit status for a daemon that failed, and for a command that was rejected.
const FAILURE_STATUS: u8 = 1;

/// Whether the first argument names a command of the serving system.
pub fn is_serving_command(argument: &OsString) -> bool {
    argument.to_str().is_some_and(|name| command_line::COMMANDS.contains(&name))
}

/// Runs the command in the arguments, which exclude the program's name.
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
        Command::Operator(command) => operator::run(&command),
    }
}
