//! Port and path of the metrics endpoint, as given on the command line.

use std::str::FromStr;

use snafu::{OptionExt, Snafu, ensure};

/// Port and path of the metrics endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    /// The port on the process's listen address.
    pub port: u16,
    /// The path, with its leading slash.
    pub path: String,
}

/// The error for a text that is not of the form `PORT/PATH`.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is no PORT/PATH, such as `9464/metrics`"))]
pub struct MetricsEndpointError {
    /// The rejected text.
    pub text: String,
}

impl FromStr for MetricsEndpoint {
    type Err = MetricsEndpointError;

    fn from_str(text: &str) -> Result<Self, MetricsEndpointError> {
        let (port, path) = text.split_once('/').context(MetricsEndpointSnafu { text })?;
        let port: u16 = port.parse().ok().filter(|&port| port > 0).context(MetricsEndpointSnafu { text })?;
        let is_plain = path.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"/-_.".contains(&byte));
        ensure!(!path.is_empty() && is_plain, MetricsEndpointSnafu { text });
        Ok(MetricsEndpoint { port, path: format!("/{path}") })
    }
}
