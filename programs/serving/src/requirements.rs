//! Settings that each daemon requires in addition to the common ones.

use whinspindle_configuration::Settings;

use crate::command_line::Program;

/// Returns the required keys that are missing from the settings of a daemon.
pub fn missing_keys(program: Program, settings: &Settings) -> Vec<&'static str> {
    let listen = &settings.listen;
    let required = match program {
        Program::Proxy => {
            vec![("listen.front", listen.front.is_some()), ("listen.ready", listen.ready.is_some())]
        }
        Program::Agent => Vec::new(),
        Program::Controller => vec![("data_dir", settings.data_dir.is_some())],
        Program::Directory => vec![("listen.directory", listen.directory.is_some())],
    };
    required.into_iter().filter(|(_, is_present)| !is_present).map(|(key, _)| key).collect()
}
