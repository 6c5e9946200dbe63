//! Why the balancer could not start.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;

use crate::configuration::ConfigurationError;
use crate::fleet::FleetStartError;

/// Why the balancer could not start.
#[derive(Debug)]
pub enum StartError {
    /// The runtime could not be built.
    Runtime(io::Error),
    /// A signal could not be handled.
    Signal {
        /// Name of the signal.
        name: &'static str,
        /// The fault in installing its handler.
        fault: io::Error,
    },
    /// The configuration is invalid.
    Configuration(ConfigurationError),
    /// The operator file is invalid; the text shows every fault.
    OperatorFile(String),
    /// The address for clients could not be bound.
    Listen {
        /// The address to bind.
        address: SocketAddr,
        /// The fault in binding it.
        fault: io::Error,
    },
    /// The process could not join its fleet.
    Fleet(FleetStartError),
}

impl Display for StartError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Runtime(fault) => write!(f, "runtime: {fault}"),
            StartError::Signal { name, fault } => write!(f, "{name}: {fault}"),
            StartError::Configuration(fault) => write!(f, "{fault}"),
            StartError::OperatorFile(text) => write!(f, "{text}"),
            StartError::Listen { address, fault } => write!(f, "listen: {address}: {fault}"),
            StartError::Fleet(fault) => write!(f, "{fault}"),
        }
    }
}

impl std::error::Error for StartError {}
