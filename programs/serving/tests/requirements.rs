//! Required settings of each daemon.

use whinspindle_configuration::Settings;
use whinspindle_serving::command_line::Program;
use whinspindle_serving::requirements::missing_keys;

fn settings(more: &str) -> Settings {
    let text = format!(
        r#"{{"node":"n","ip":"10.0.0.1","zone":"a","region":"north","port_range":[7700,7710]{more}}}"#
    );
    Settings::parse(text.as_bytes()).expect("what all programs need is there")
}

#[test]
fn all_missing_keys_are_listed() {
    let nothing = settings("");
    for (program, expected) in [
        (Program::Proxy, vec!["listen.front", "listen.ready"]),
        (Program::Agent, vec![]),
        (Program::Controller, vec!["data_dir"]),
        (Program::Directory, vec!["listen.directory"]),
    ] {
        assert_eq!(missing_keys(program, &nothing), expected, "{program:?}");
    }
    let addresses = r#","listen":{"front":"10.0.0.1:80","ready":"10.0.0.1:81","directory":"10.0.0.1:82"}"#;
    let all = settings(&format!(r#"{addresses},"data_dir":"/data""#));
    for program in [Program::Proxy, Program::Agent, Program::Controller, Program::Directory] {
        assert!(missing_keys(program, &all).is_empty(), "{program:?}");
    }
}
