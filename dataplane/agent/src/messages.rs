//! Settings, inputs and outputs of the agent's state machine.

use std::net::{IpAddr, SocketAddr};

use whinspindle_distribution::{Report, ToBalancer};

use crate::connection::ConnectionId;
use crate::selector::LossReason;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the node.
    pub node: String,
    /// Address of the machine.
    pub machine_ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
    /// Internal endpoints of the controllers in the settings.
    pub seeds: Vec<SocketAddr>,
    /// Grace period between the request to shut down and the kill, in milliseconds.
    pub grace_ms: u64,
    /// A number that differs for each start; also spreads the first attempts over the controllers.
    pub incarnation: u64,
}

/// Inputs of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// The time of [`Agent::next_wake`](crate::Agent::next_wake) has come.
    Tick,
    /// A connection to a controller is established.
    Connected(ConnectionId),
    /// A connection has ended, or could not be made.
    Closed(ConnectionId),
    /// A message of a controller.
    FromController(ConnectionId, ToBalancer),
    /// A proxy has connected, in place of an earlier one.
    ProxyConnected,
    /// The connection of the proxy has ended.
    ProxyClosed,
    /// A report of the proxy.
    FromProxy(Report),
    /// The settings were read again.
    SeedsReloaded(Vec<SocketAddr>),
    /// The process is to shut down.
    Terminate,
}

/// Outputs of the state machine, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect to a controller.
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The controller's endpoint.
        endpoint: SocketAddr,
    },
    /// Close a connection.
    Close(ConnectionId),
    /// Send a hello, the first frame of a connection.
    SendHello(ConnectionId),
    /// Send a report to a controller.
    SendReport(ConnectionId, Report),
    /// Send a message to the proxy.
    SendToProxy(ToBalancer),
    /// Read the settings file and pass its controllers in as [`Input::SeedsReloaded`].
    ReadSettings,
    /// Write what is queued and exit.
    Exit,
    /// Log a notice.
    Log(Notice),
}

/// Notices for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A controller has become the link.
    Linked {
        /// The controller's endpoint.
        endpoint: SocketAddr,
        /// Whether it is in a quorum.
        in_quorum: bool,
    },
    /// The link has ended, and no other one is there.
    LinkLost {
        /// The controller's endpoint.
        endpoint: SocketAddr,
        /// Why.
        reason: LossReason,
    },
    /// The link's controller has lost or regained its quorum.
    QuorumChanged {
        /// Whether it is in a quorum now.
        in_quorum: bool,
    },
    /// A proxy has connected.
    ProxyConnected,
    /// The connection of the proxy has ended.
    ProxyClosed,
    /// The proxy has applied a newer configuration or newer evacuations.
    Applied {
        /// Sequence number of the configuration.
        configured: u64,
        /// Sequence number of the evacuations.
        evacuations: u64,
    },
    /// The process shuts down.
    ShuttingDown,
}
