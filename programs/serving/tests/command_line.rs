//! Which command an argument list names, and what is refused.

use std::ffi::OsString;
use std::path::PathBuf;

use whinspindle_serving::command_line::{
    Command, CommandLineError, DaemonCommand, LogLevel, OperatorCommand, Program, parse,
};

fn parsed(line: &str) -> Result<Command, CommandLineError> {
    parse(line.split_whitespace().map(OsString::from).collect())
}

#[test]
fn a_daemon_takes_its_settings_file_and_log_level() {
    let expected = DaemonCommand {
        program: Program::Controller,
        settings: PathBuf::from("a.json"),
        log_level: LogLevel::Debug,
    };
    let line = parsed("controller --settings a.json --log-level debug").unwrap();
    assert_eq!(line, Command::Daemon(expected));
}

#[test]
fn each_daemon_has_its_name() {
    for (name, program) in [
        ("proxy", Program::Proxy),
        ("agent", Program::Agent),
        ("controller", Program::Controller),
        ("directory", Program::Directory),
    ] {
        let Command::Daemon(daemon) = parsed(name).unwrap() else { panic!("{name} is a daemon") };
        assert_eq!((daemon.program, daemon.log_level), (program, LogLevel::Info));
    }
}

#[test]
fn operator_commands_name_a_controller() {
    let control = "10.0.0.1:8166".parse().unwrap();
    let cases = [
        ("status --control 10.0.0.1:8166", OperatorCommand::Status { control }),
        ("members --control 10.0.0.1:8166", OperatorCommand::Members { control }),
        ("config fetch --control 10.0.0.1:8166", OperatorCommand::ConfigFetch { control }),
        ("config check a.json", OperatorCommand::ConfigCheck { file: PathBuf::from("a.json") }),
        (
            "config replace a.json --base 7 --control 10.0.0.1:8166",
            OperatorCommand::ConfigReplace { control, file: PathBuf::from("a.json"), base: 7 },
        ),
        (
            "config diff a.json --control 10.0.0.1:8166",
            OperatorCommand::ConfigDiff { control, file: PathBuf::from("a.json") },
        ),
        (
            "evacuate begin hall --control 10.0.0.1:8166",
            OperatorCommand::EvacuateBegin { control, zone: "hall".to_owned() },
        ),
        (
            "evacuate finish hall --control 10.0.0.1:8166",
            OperatorCommand::EvacuateFinish { control, zone: "hall".to_owned() },
        ),
    ];
    for (line, expected) in cases {
        assert_eq!(parsed(line).unwrap(), Command::Operator(expected), "{line}");
    }
}

#[test]
fn what_names_no_command_is_refused() {
    let refused = [
        "",
        "nothing",
        "status",
        "status --control here",
        "config",
        "config replace a.json --control 10.0.0.1:8166",
        "evacuate begin --control 10.0.0.1:8166",
        "evacuate start hall --control 10.0.0.1:8166",
        "proxy surplus",
        "proxy --log-level loud",
    ];
    for line in refused {
        assert!(parsed(line).is_err(), "{line}");
    }
}

#[test]
fn help_is_told_before_anything_else() {
    assert_eq!(parsed("proxy --help").unwrap(), Command::Help);
    assert_eq!(parsed("serving-help").unwrap(), Command::Help);
}
