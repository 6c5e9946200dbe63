//! Entry point of the serving system: the daemons `proxy`, `agent`, `controller` and `directory`, and the
//! operator commands, most of which call a running controller.
//!
//! This crate handles the command line, settings, logging and wiring. Each daemon has its own crate. The
//! binary passes its arguments to [`main`] if [`is_serving_command`] is true for the first one.

pub mod command_line;
mod daemon;
mod logging;
mod operator;
pub mod requirements;
pub mod status;

use std::ffi::OsString;
use std::process::ExitCode;

use crate::command_line::{Command, help};

/// Exit status for invalid arguments or settings.
const USAGE_STATUS: u8 = 2;
/// Exit status for a failed daemon or operator command.
const FAILURE_STATUS: u8 = 1;

/// Whether the first argument names a command of the serving system.
pub fn is_serving_command(argument: &OsString) -> bool {
    argument.to_str().is_some_and(|name| command_line::COMMANDS.contains(&name))
}

/// Parses and runs a command. The arguments exclude the program name.
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
