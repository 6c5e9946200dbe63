//! Reads the settings file again while the agent runs.

use std::net::SocketAddr;
use std::path::Path;

use spdlog::warn;
use whinspindle_configuration::Settings;

/// The internal endpoints of the controllers in the settings.
pub fn internal_endpoints(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().map(|seed| settings.internal_endpoint(seed.ip())).collect()
}

/// The controllers in the file; none if it cannot be read or parsed, perhaps because it is being written.
pub fn read_seeds(path: &Path) -> Option<Vec<SocketAddr>> {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) => {
            warn!("{} cannot be read again: {error}", path.display());
            return None;
        }
    };
    match Settings::parse(&text) {
        Ok(settings) => Some(internal_endpoints(&settings)),
        Err(error) => {
            warn!("{} is not taken: {error}", path.display());
            None
        }
    }
}
