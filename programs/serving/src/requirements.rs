//! The settings that each daemon requires in addition to the common ones.

use whinspindle_configuration::Settings;

use crate::command_line::Program;

/// The required keys that are missing in the settings of a daemon.
pub fn missing_keys(program: Program, settings: &Settings) -> Vec<&'static str> {
    let listen = &settings.listen;
    let needed = match program {
        Program::Proxy => {
            vec![("listen.front", listen.front.is_some()), ("listen.ready", listen.ready.is_some())]
        }
        Program::Agent => Vec::new(),
        Program::Controller => vec![("data_dir", settings.data_dir.is_some())],
        Program::Directory => vec![("listen.directory", listen.directory.is_some())],
    };
    needed.into_iter().filter(|(_, is_there)| !is_there).map(|(key, _)| key).collect()
}
