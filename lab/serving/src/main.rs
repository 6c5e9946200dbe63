//! The program `whinspindle-lab-serving`.

use std::process::ExitCode;

use whinspindle_lab_serving::cluster;
use whinspindle_lab_serving::command_line::{Command, USAGE, parse};

const USAGE_STATUS: u8 = 2;

fn main() -> ExitCode {
    match parse(std::env::args_os().skip(1).collect()) {
        Ok(Command::Help) => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        Ok(Command::Cluster(options)) => cluster::main(&options),
        Err(error) => {
            eprintln!("whinspindle-lab-serving: {error}\n\n{USAGE}");
            ExitCode::from(USAGE_STATUS)
        }
    }
}
