//! Parsing of the command line.

use std::ffi::OsString;
use std::path::PathBuf;

use whinspindle_configuration::{Mechanism, Mechanisms};
use whinspindle_serving::command_line::{
    Command, CommandLineError, DaemonCommand, LogLevel, OperatorCommand, Program, help, parse,
};

fn parse_line(line: &str) -> Result<Command, CommandLineError> {
    parse(line.split_whitespace().map(OsString::from).collect())
}

#[test]
fn daemon_accepts_settings_file_and_log_level() {
    let expected = DaemonCommand {
        program: Program::Controller,
        settings: PathBuf::from("a.json"),
        log_level: LogLevel::Debug,
        mechanisms: Mechanisms::default(),
        metrics: None,
    };
    let command = parse_line("controller --settings a.json --log-level debug").unwrap();
    assert_eq!(command, Command::Daemon(expected));
}

#[test]
fn each_daemon_is_selected_by_name() {
    for (name, program) in [
        ("proxy", Program::Proxy),
        ("agent", Program::Agent),
        ("controller", Program::Controller),
        ("directory", Program::Directory),
    ] {
        let Command::Daemon(daemon) = parse_line(name).unwrap() else {
            panic!("{name} must parse as a daemon")
        };
        assert_eq!((daemon.program, daemon.log_level), (program, LogLevel::Info));
    }
}

#[test]
fn mechanisms_are_disabled_by_name() {
    let Command::Daemon(daemon) = parse_line("proxy --without holders,rests").unwrap() else {
        panic!("the line must parse as a daemon")
    };
    let disabled: Vec<_> = daemon.mechanisms.switched_off().collect();
    assert_eq!(disabled, [Mechanism::Holders, Mechanism::Rests]);
}

#[test]
fn each_program_accepts_only_its_own_mechanisms() {
    let cases = Mechanism::all().map(|mechanism| {
        let name = mechanism.name();
        let (own, other) =
            if mechanism == Mechanism::Recall { ("controller", "proxy") } else { ("proxy", "controller") };
        (format!("{own} --without {name}"), format!("{other} --without {name}"), name)
    });
    for (accepted, rejected, name) in cases {
        assert!(parse_line(&accepted).is_ok(), "{accepted}");
        let error = parse_line(&rejected).unwrap_err().to_string();
        assert!(error.starts_with(&format!("`--without`: `{name}` is not a mechanism of this")), "{error}");
    }
    for program in ["agent", "directory"] {
        let error = parse_line(&format!("{program} --without holders")).unwrap_err().to_string();
        assert!(error.contains("--without"), "{error}");
    }
}

#[test]
fn all_daemons_except_directory_accept_a_metrics_endpoint() {
    for name in ["proxy", "agent", "controller"] {
        let line = format!("{name} --metrics 9464/metrics");
        let Command::Daemon(daemon) = parse_line(&line).unwrap() else {
            panic!("the line must parse as a daemon")
        };
        assert_eq!(daemon.metrics, Some("9464/metrics".parse().unwrap()));
        let error = parse_line(&format!("{name} --metrics metrics")).unwrap_err().to_string();
        assert!(error.contains("PORT/PATH"), "{error}");
    }
    let error = parse_line("directory --metrics 9464/metrics").unwrap_err().to_string();
    assert!(error.contains("--metrics"), "{error}");
}

#[test]
fn unknown_mechanism_error_lists_all_known_names() {
    let error = parse_line("proxy --without holders,magic").unwrap_err().to_string();
    assert!(
        error.starts_with("`--without`: unknown mechanism `magic`; known: own-region-first, "),
        "{error}"
    );
    for mechanism in Mechanism::all() {
        assert!(error.contains(mechanism.name()), "{error}");
    }
}

#[test]
fn help_lists_each_mechanism_with_the_effect_of_disabling_it() {
    let help = help();
    for mechanism in Mechanism::all() {
        let line = format!("  {:<24}{}\n", mechanism.name(), mechanism.effect_when_off());
        assert!(help.contains(&line), "{line}");
    }
}

#[test]
fn operator_commands_are_parsed() {
    let control = "10.0.0.1:8166".parse().unwrap();
    let cases = [
        ("status --control 10.0.0.1:8166", OperatorCommand::Status { control }),
        ("members --control 10.0.0.1:8166", OperatorCommand::Members { control }),
        (
            "declare-lost 10.0.0.2:7400,10.0.0.3:7400 --control 10.0.0.1:8166 --confirm 9",
            OperatorCommand::DeclareLost {
                control,
                lost_voters: "10.0.0.2:7400,10.0.0.3:7400".to_owned(),
                confirmed_view: Some(9),
            },
        ),
        (
            "declare-lost 10.0.0.2:7400 --control 10.0.0.1:8166",
            OperatorCommand::DeclareLost {
                control,
                lost_voters: "10.0.0.2:7400".to_owned(),
                confirmed_view: None,
            },
        ),
        ("config fetch --control 10.0.0.1:8166", OperatorCommand::ConfigFetch { control }),
        ("config check a.json", OperatorCommand::ConfigCheck { file: PathBuf::from("a.json") }),
        (
            "config replace a.json --base 7 --control 10.0.0.1:8166",
            OperatorCommand::ConfigReplace { control, file: PathBuf::from("a.json"), base_generation: 7 },
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
        assert_eq!(parse_line(line).unwrap(), Command::Operator(expected), "{line}");
    }
}

#[test]
fn invalid_command_lines_are_rejected() {
    let invalid_lines = [
        "",
        "nothing",
        "status",
        "status --control here",
        "declare-lost --control 10.0.0.1:8166",
        "declare-lost 10.0.0.2:7400 --control 10.0.0.1:8166 --confirm soon",
        "config",
        "config replace a.json --control 10.0.0.1:8166",
        "evacuate begin --control 10.0.0.1:8166",
        "evacuate start hall --control 10.0.0.1:8166",
        "proxy surplus",
        "proxy --log-level loud",
    ];
    for line in invalid_lines {
        assert!(parse_line(line).is_err(), "{line}");
    }
}

#[test]
fn help_takes_precedence() {
    assert_eq!(parse_line("proxy --help").unwrap(), Command::Help);
    assert_eq!(parse_line("serving-help").unwrap(), Command::Help);
}
