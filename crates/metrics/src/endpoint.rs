//! Where figures are served: a port and a path, as a deploy file names them.

use std::str::FromStr;

use snafu::{OptionExt, Snafu, ensure};

/// A port of the machine's own address, and the path below it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    pub port: u16,
    /// With its leading slash.
    pub path: String,
}

/// A text that names no port and path.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is no PORT/PATH, such as `9464/metrics`"))]
pub struct MetricsEndpointError {
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
