//! What a member needs from the process around it: network, disk, proofs of policies, and observations of
//! servers and balancers.

use std::collections::BTreeSet;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use whinspindle_consensus::AcceptorState;
use whinspindle_rollout::{ObservationRow, Plan, RestartRefusal, Unit};

use crate::message::Message;
use crate::record::{Hash, Policy, Record};

/// What a member must not forget over a restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// Drawn when this state was first written; a voter that lost its disk returns with another.
    pub incarnation: u64,
    /// What it has promised and accepted as a voter.
    pub votes: AcceptorState<Record>,
    /// What is known to be agreed.
    pub record: Record,
}

/// The process around a member: what it acts through. Tests and the model checker implement it in memory.
pub trait Environment {
    /// Sends a message to another member; it may be lost, late, duplicated or reordered.
    fn send(&mut self, to: u16, message: Message);
    /// Makes the state durable before it returns; true on success. Where it fails, the member votes and grants
    /// nothing until it succeeds.
    fn persist(&mut self, memory: &DurableState) -> bool;
    /// Proves a policy against the process's own settings; the process calls `Member::proved` with the result.
    fn prove(&mut self, policy: Policy, text: Rc<[u8]>);
    /// The plan with this hash, once it has been read.
    fn plan(&self, _: Hash) -> Option<Rc<Plan>> {
        None
    }
    /// Called when the text of a plan is complete.
    fn plan_received(&mut self, _: Hash, _: Rc<[u8]>) {}
    /// What this process has observed of the units of the release under way since the last call.
    fn observations(&mut self, _: &Record) -> Vec<ObservationRow> {
        Vec::new()
    }
    /// Passes a message on to another part of the process: `Message::Opaque`.
    fn opaque_message(&mut self, _: u16, _: Vec<u8>) {}
    /// Whether the server with this key is listed as ready, and warm.
    fn is_server_in_service(&self, _: u64) -> bool {
        true
    }
    /// The build of this process, as plans name it.
    fn build(&self) -> String {
        String::new()
    }
    /// Whether the limits of the policy in force allow one more unit out of service, with these balancers away.
    fn check_restart(&self, record: &Record, unit: Unit, away: &BTreeSet<u16>) -> Result<(), RestartRefusal>;
    /// Writes one line to the log.
    fn log(&mut self, line: String);
}
