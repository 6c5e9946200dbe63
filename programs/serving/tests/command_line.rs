//! Parsing of the command line.

use std::ffi::OsString;
use std::path::PathBuf;

use whinspindle_configuration::{Mechanism, Mechanisms};
use whinspindle_serving::command_line::{
    Command, CommandLineError, DaemonCommand, LogLevel, OperatorCommand, Program, help, parse,
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
        mechanisms: Mechanisms::default(),
        metrics: None,
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
fn mechanisms_are_switched_off_by_name() {
    let Command::Daemon(daemon) = parsed("proxy --without holders,rests").unwrap() else {
        panic!("a daemon")
    };
    let off: Vec<_> = daemon.mechanisms.switched_off().collect();
    assert_eq!(off, [Mechanism::Holders, Mechanism::Rests]);
}

#[test]
fn each_program_switches_its_own_mechanisms_off() {
    let all = Mechanism::all().map(|mechanism| {
        let name = mechanism.name();
        let (own, other) =
            if mechanism == Mechanism::Recall { ("controller", "proxy") } else { ("proxy", "controller") };
        (format!("{own} --without {name}"), format!("{other} --without {name}"), name)
    });
    for (accepted, rejected, name) in all {
        assert!(parsed(&accepted).is_ok(), "{accepted}");
        let failure = parsed(&rejected).unwrap_err().to_string();
        assert!(
            failure.starts_with(&format!("`--without`: `{name}` is not a mechanism of this")),
            "{failure}"
        );
    }
    for program in ["agent", "directory"] {
        let failure = parsed(&format!("{program} --without holders")).unwrap_err().to_string();
        assert!(failure.contains("--without"), "{failure}");
    }
}

#[test]
fn all_but_directories_take_an_endpoint_for_metrics() {
    for name in ["proxy", "agent", "controller"] {
        let line = format!("{name} --metrics 9464/metrics");
        let Command::Daemon(daemon) = parsed(&line).unwrap() else { panic!("a daemon") };
        assert_eq!(daemon.metrics, Some("9464/metrics".parse().unwrap()));
        let rejected = parsed(&format!("{name} --metrics metrics")).unwrap_err().to_string();
        assert!(rejected.contains("PORT/PATH"), "{rejected}");
    }
    let rejected = parsed("directory --metrics 9464/metrics").unwrap_err().to_string();
    assert!(rejected.contains("--metrics"), "{rejected}");
}

#[test]
fn an_unknown_mechanism_is_rejected_with_the_names_of_all() {
    let rejected = parsed("proxy --without holders,magic").unwrap_err().to_string();
    assert!(
        rejected.starts_with("`--without`: unknown mechanism `magic`; known: own-region-first, "),
        "{rejected}"
    );
    for mechanism in Mechanism::all() {
        assert!(rejected.contains(mechanism.name()), "{rejected}");
    }
}

#[test]
fn the_help_lists_each_mechanism_with_what_its_absence_does() {
    let help = help();
    for mechanism in Mechanism::all() {
        let line = format!("  {:<24}{}\n", mechanism.name(), mechanism.absence());
        assert!(help.contains(&line), "{line}");
    }
}

#[test]
fn operator_commands_name_a_controller() {
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
        assert_eq!(parsed(line).unwrap(), Command::Operator(expected), "{line}");
    }
}

#[test]
fn arguments_without_a_command_are_rejected() {
    let rejected = [
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
    for line in rejected {
        assert!(parsed(line).is_err(), "{line}");
    }
}

#[test]
fn help_takes_precedence() {
    assert_eq!(parsed("proxy --help").unwrap(), Command::Help);
    assert_eq!(parsed("serving-help").unwrap(), Command::Help);
}
