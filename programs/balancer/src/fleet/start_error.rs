//! Why a process cannot join its fleet.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;

use whinspindle_record_store::StoreError;

use crate::control::ControlError;

/// Why a process cannot join its fleet.
#[derive(Debug)]
pub enum FleetStartError {
    /// The operator file has no table for the fleet.
    NoTable,
    /// The configuration has no valid address for datagrams.
    NoAddress,
    /// The configuration lists another number of peers than the settings have balancers.
    PeerCount {
        /// Number of addresses in the configuration.
        addresses: usize,
        /// Number of balancers in the settings.
        members: u16,
    },
    /// The record store could not be opened.
    Store(StoreError),
    /// The socket for datagrams could not be opened.
    Socket {
        /// The address to bind.
        address: SocketAddr,
        /// The fault in binding it.
        fault: io::Error,
    },
    /// The control socket could not be opened.
    Control(ControlError),
    /// The thread could not be started.
    Thread(io::Error),
}

impl Display for FleetStartError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            FleetStartError::NoTable => write!(f, "fleet: no table"),
            FleetStartError::NoAddress => {
                write!(f, "peer_listen: missing, or not an address and port; a fleet needs it")
            }
            FleetStartError::PeerCount { addresses, members } => {
                write!(f, "peers: {addresses} addresses, settings.balancers says {members}")
            }
            FleetStartError::Store(fault) => write!(f, "fleet.store: {fault}"),
            FleetStartError::Socket { address, fault } => write!(f, "peer_listen: {address}: {fault}"),
            FleetStartError::Control(fault) => write!(f, "{fault}"),
            FleetStartError::Thread(fault) => write!(f, "fleet: {fault}"),
        }
    }
}

impl std::error::Error for FleetStartError {}
