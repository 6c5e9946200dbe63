//! Reloads the settings file while the agent runs.

use std::net::SocketAddr;
use std::path::Path;

use spdlog::warn;
use whinspindle_configuration::Settings;

/// Returns the internal endpoints of the controllers from the settings.
pub fn internal_endpoints(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().map(|seed| settings.internal_endpoint(seed.ip())).collect()
}

/// Reads the controllers from the file. Returns `None` if the file cannot be read or parsed, for example
/// while it is being written.
pub fn read_seeds(path: &Path) -> Option<Vec<SocketAddr>> {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) => {
            warn!("cannot reload {}: {error}", path.display());
            return None;
        }
    };
    match Settings::parse(&text) {
        Ok(settings) => Some(internal_endpoints(&settings)),
        Err(error) => {
            warn!("ignoring invalid settings in {}: {error}", path.display());
            None
        }
    }
}
