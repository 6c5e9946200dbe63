//! The command line.

use std::ffi::OsString;
use std::path::PathBuf;

use whinspindle_lab_serving::command_line::{ClusterOptions, Command, CommandLineError, LogLevel, parse};

fn parse_text(text: &str) -> Result<Command, CommandLineError> {
    parse(text.split_whitespace().map(OsString::from).collect())
}

#[test]
fn options_have_defaults() {
    assert_eq!(parse_text("cluster").unwrap(), Command::Cluster(ClusterOptions::default()));
}

#[test]
fn options_are_read() {
    let text = "cluster --regions 2 --edges 3 --seconds 7 --requests-per-s 12.5 --program x/y --seed 9 --log-level debug --keep";
    let expected = ClusterOptions {
        regions: 2,
        edges: 3,
        seconds: 7,
        requests_per_s: 12.5,
        program: PathBuf::from("x/y"),
        seed: 9,
        log_level: LogLevel::Debug,
        keep: true,
    };
    assert_eq!(parse_text(text).unwrap(), Command::Cluster(expected));
}

#[test]
fn help_is_recognised() {
    assert_eq!(parse_text("--help").unwrap(), Command::Help);
    assert_eq!(parse_text("cluster -h").unwrap(), Command::Help);
}

#[test]
fn faults_name_what_is_wrong() {
    for (text, names) in [
        ("", "a command"),
        ("start", "`start`"),
        ("cluster --speed 3", "`--speed`"),
        ("cluster --regions 0", "`--regions`"),
        ("cluster --edges 51", "`--edges`"),
        ("cluster --seconds 0", "`--seconds`"),
        ("cluster --requests-per-s -1", "`--requests-per-s`"),
        ("cluster --seconds soon", "soon"),
        ("cluster --log-level loud", "`loud`"),
    ] {
        let message = parse_text(text).unwrap_err().to_string();
        assert!(message.contains(names), "`{text}`: {message}");
    }
}
