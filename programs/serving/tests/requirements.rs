//! Tests of the settings that each daemon requires.

use whinspindle_configuration::Settings;
use whinspindle_serving::command_line::Program;
use whinspindle_serving::requirements::missing_keys;

fn settings(extra_fields: &str) -> Settings {
    let text = format!(
        r#"{{"node":"n","ip":"10.0.0.1","zone":"a","region":"north","port_range":[7700,7710]{extra_fields}}}"#
    );
    Settings::parse(text.as_bytes()).expect("the common settings are valid")
}

#[test]
fn all_missing_keys_are_listed() {
    let common_settings = settings("");
    for (program, expected) in [
        (Program::Proxy, vec!["listen.front", "listen.ready"]),
        (Program::Agent, vec![]),
        (Program::Controller, vec!["data_dir"]),
        (Program::Directory, vec!["listen.directory"]),
    ] {
        assert_eq!(missing_keys(program, &common_settings), expected, "{program:?}");
    }
    let addresses = r#","listen":{"front":"10.0.0.1:80","ready":"10.0.0.1:81","directory":"10.0.0.1:82"}"#;
    let complete_settings = settings(&format!(r#"{addresses},"data_dir":"/data""#));
    for program in [Program::Proxy, Program::Agent, Program::Controller, Program::Directory] {
        assert!(missing_keys(program, &complete_settings).is_empty(), "{program:?}");
    }
}
