//! Settings, inputs and outputs of the agent state machine.

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
    /// Internal endpoints of the controllers from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Grace period between the shutdown request and the kill, in milliseconds.
    pub grace_ms: u64,
    /// Number that differs for each start. It also spreads the first attempts of agents over the controllers.
    pub incarnation: u64,
}

/// Inputs of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// The time that [`Agent::next_wake`](crate::Agent::next_wake) returned is reached.
    Tick,
    /// A connection to a controller is established.
    Connected(ConnectionId),
    /// A connection has ended or could not be established.
    Closed(ConnectionId),
    /// A message from a controller.
    FromController(ConnectionId, ToBalancer),
    /// A proxy has connected and replaces any earlier one.
    ProxyConnected,
    /// The connection of the proxy has ended.
    ProxyClosed,
    /// A report from the proxy.
    FromProxy(Report),
    /// The settings were reloaded.
    SeedsReloaded(Vec<SocketAddr>),
    /// The process received a shutdown request.
    Terminate,
}

/// Outputs of the state machine. The caller carries them out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect to a controller.
    Connect {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Endpoint of the controller.
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
    /// Read the settings file and pass in its controllers as [`Input::SeedsReloaded`].
    ReadSettings,
    /// Write the queued frames and exit.
    Exit,
    /// Log a notice.
    Log(Notice),
}

/// Notices for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A controller has become the link.
    Linked {
        /// Endpoint of the controller.
        endpoint: SocketAddr,
        /// Whether the controller is in a quorum.
        in_quorum: bool,
    },
    /// The link has ended without a replacement.
    LinkLost {
        /// Endpoint of the controller.
        endpoint: SocketAddr,
        /// Reason of the loss.
        reason: LossReason,
    },
    /// The linked controller has lost or regained its quorum.
    QuorumChanged {
        /// Whether the controller is in a quorum now.
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
    /// The process is shutting down.
    ShuttingDown,
}
