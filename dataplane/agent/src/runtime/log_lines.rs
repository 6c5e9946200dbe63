//! The agent's log lines.

use spdlog::{info, warn};

use crate::messages::Notice;
use crate::selector::LossReason;

/// Logs a notice.
pub fn log(notice: Notice) {
    match notice {
        Notice::Linked { endpoint, in_quorum: true } => info!("linked to controller {endpoint}"),
        Notice::Linked { endpoint, in_quorum: false } => {
            info!("linked to controller {endpoint}, which has no quorum");
        }
        Notice::LinkLost { endpoint, reason: LossReason::Closed } => {
            warn!("the link to controller {endpoint} was closed");
        }
        Notice::LinkLost { endpoint, reason: LossReason::TimedOut } => {
            warn!("the link to controller {endpoint} timed out")
        }
        Notice::QuorumChanged { in_quorum: true } => info!("the controller of the link has a quorum"),
        Notice::QuorumChanged { in_quorum: false } => warn!("the controller of the link has no quorum"),
        Notice::ProxyConnected => info!("the proxy has connected"),
        Notice::ProxyClosed => info!("the proxy's connection has ended"),
        Notice::Applied { configured, evacuations } => {
            info!("the proxy has applied configuration {configured}, evacuations {evacuations}");
        }
        Notice::ShuttingDown => info!("shutting down: the controller is notified"),
    }
}
