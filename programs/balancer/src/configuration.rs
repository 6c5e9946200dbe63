//! Reads the configuration of the process from the JSON file that `ROUTER_CONFIG` names: addresses, limits, a known
//! endpoint list and the settings of the deployment. Errors name the field.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use whinspindle_deployment_settings::Deployment;
use whinspindle_protocol::endpoints::EndpointUpdate;

/// The configuration of a balancer process.
pub struct Configuration {
    /// Name of this balancer in the log.
    pub name: String,
    /// Address on which clients are accepted.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random generator of the decisions.
    pub seed: u64,
    /// Limits on memory and sockets.
    pub limits: Limits,
    /// Endpoint list that the platform gives at the start.
    pub known_endpoints: Option<EndpointUpdate>,
    /// Settings of the deployment.
    pub deployment: Deployment,
    /// Address for datagrams from other balancers; only a fleet needs it.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all balancers of the fleet, by member number.
    pub peers: Vec<SocketAddr>,
    /// The fields that a reload does not change, as they were read.
    pub fixed_fields: Value,
}

/// Resources that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of open sockets.
    pub sockets: u64,
}

/// Least memory in megabytes that can be divided among the uses.
const MIN_MEMORY_MB: u64 = 8;
/// Least number of sockets that can be divided among the uses.
const MIN_SOCKETS: u64 = 40;

/// Why a configuration could not be read.
#[derive(Debug)]
pub enum ConfigurationError {
    /// `ROUTER_CONFIG` is not set.
    VariableNotSet,
    /// The file that `ROUTER_CONFIG` names could not be read.
    VariableFile {
        /// Path of the file.
        path: String,
        /// The fault in reading it.
        fault: io::Error,
    },
    /// The file could not be read.
    Unread(io::Error),
    /// The content is not JSON.
    NotJson(serde_json::Error),
    /// A field is invalid.
    Invalid {
        /// Name of the field.
        field: String,
        /// What is wrong about it.
        fault: String,
    },
}

impl ConfigurationError {
    fn invalid(field: &str, fault: impl Display) -> Self {
        ConfigurationError::Invalid { field: field.to_string(), fault: fault.to_string() }
    }
}

impl Display for ConfigurationError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationError::VariableNotSet => write!(f, "ROUTER_CONFIG: not set"),
            ConfigurationError::VariableFile { path, fault } => write!(f, "ROUTER_CONFIG: {path}: {fault}"),
            ConfigurationError::Unread(fault) => write!(f, "{fault}"),
            ConfigurationError::NotJson(fault) => write!(f, "not JSON: {fault}"),
            ConfigurationError::Invalid { field, fault } => write!(f, "{field}: {fault}"),
        }
    }
}

impl std::error::Error for ConfigurationError {}

/// Reads the file that `ROUTER_CONFIG` names.
pub fn read() -> Result<Configuration, ConfigurationError> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| ConfigurationError::VariableNotSet)?;
    read_file(Path::new(&path)).map_err(|fault| match fault {
        ConfigurationError::Unread(fault) => ConfigurationError::VariableFile { path, fault },
        other => other,
    })
}

/// Reads a configuration from a file.
pub fn read_file(path: &Path) -> Result<Configuration, ConfigurationError> {
    let text = std::fs::read(path).map_err(ConfigurationError::Unread)?;
    parse(&text)
}

fn parse(text: &[u8]) -> Result<Configuration, ConfigurationError> {
    let json: Value = serde_json::from_slice(text).map_err(ConfigurationError::NotJson)?;
    let mut fixed_fields = json.clone();
    for reloadable in ["discovery", "known", "seed"] {
        fixed_fields.as_object_mut().map(|fields| fields.remove(reloadable));
    }
    let limits = &json["limits"];
    let known = match &json["known"] {
        Value::Null => None,
        known => Some(
            EndpointUpdate::decode(known.to_string().as_bytes())
                .map_err(|e| ConfigurationError::invalid("known", e))?,
        ),
    };
    let settings = json["settings"].to_string();
    // Invalid peer addresses are an error only for a fleet, which checks them itself.
    let peer = |value: &Value| value.as_str().and_then(|text| text.parse().ok());
    let peers: Option<Vec<SocketAddr>> =
        json["peers"].as_array().and_then(|peers| peers.iter().map(peer).collect());
    Ok(Configuration {
        name: text_of(&json, "name")?.to_string(),
        listen: address(&json, "listen")?,
        discovery: address(&json, "discovery")?,
        seed: u64::from_str_radix(text_of(&json, "seed")?, 16)
            .map_err(|e| ConfigurationError::invalid("seed", e))?,
        limits: Limits {
            memory_mb: at_least(limits, "memory_mb", MIN_MEMORY_MB)?,
            sockets: at_least(limits, "sockets", MIN_SOCKETS)?,
        },
        known_endpoints: known,
        peer_listen: peer(&json["peer_listen"]),
        peers: peers.unwrap_or_default(),
        deployment: whinspindle_deployment_settings::parse(settings.as_bytes())
            .map_err(|e| ConfigurationError::invalid("settings", e))?,
        fixed_fields,
    })
}

fn text_of<'a>(json: &'a Value, field: &str) -> Result<&'a str, ConfigurationError> {
    json[field].as_str().ok_or_else(|| ConfigurationError::invalid(field, "missing, or not a string"))
}

fn address(json: &Value, field: &str) -> Result<SocketAddr, ConfigurationError> {
    let text = text_of(json, field)?;
    text.parse()
        .map_err(|_| ConfigurationError::invalid(field, format_args!("not an address and port: {text:?}")))
}

fn at_least(limits: &Value, field: &str, least: u64) -> Result<u64, ConfigurationError> {
    let invalid = |fault: &str| ConfigurationError::invalid(&format!("limits.{field}"), fault);
    let value = limits[field].as_f64().ok_or_else(|| invalid("missing, or not a number"))?;
    if value < least as f64 {
        return Err(invalid(&format!("{value} is less than {least}")));
    }
    Ok(value as u64)
}
