//! Log lines of the agent.

use spdlog::{info, warn};

use crate::messages::Notice;
use crate::selector::LossReason;

/// Logs a notice.
pub fn log(notice: Notice) {
    match notice {
        Notice::Linked { endpoint, in_quorum: true } => info!("linked to controller {endpoint}"),
        Notice::Linked { endpoint, in_quorum: false } => {
            info!("linked to controller {endpoint}, which is not in a quorum");
        }
        Notice::LinkLost { endpoint, reason: LossReason::Closed } => {
            warn!("link to controller {endpoint} closed");
        }
        Notice::LinkLost { endpoint, reason: LossReason::TimedOut } => {
            warn!("link to controller {endpoint} timed out")
        }
        Notice::QuorumChanged { in_quorum: true } => info!("linked controller is in a quorum"),
        Notice::QuorumChanged { in_quorum: false } => warn!("linked controller is not in a quorum"),
        Notice::ProxyConnected => info!("proxy connected"),
        Notice::ProxyClosed => info!("proxy disconnected"),
        Notice::Applied { configured, evacuations } => {
            info!("proxy applied configuration {configured}, evacuations {evacuations}");
        }
        Notice::ShuttingDown => info!("shutting down, notifying the controller"),
    }
}
