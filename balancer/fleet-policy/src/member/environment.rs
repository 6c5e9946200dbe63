//! The interface of a member to its process: the network, the disk, proofs of policies, and observations of
//! servers and balancers.

use std::collections::BTreeSet;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use whinspindle_consensus::AcceptorState;
use whinspindle_rollout::{ObservationRow, Plan, RestartRefusal, Unit};

use crate::message::Message;
use crate::record::{Hash, Policy, Record};

/// The state of a member that must survive a restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// A number drawn when this state is first written; a voter that lost its disk returns with another one.
    pub incarnation: u64,
    /// The member's promises and votes as a voter.
    pub votes: AcceptorState<Record>,
    /// The latest agreed record that the member knows.
    pub record: Record,
}

/// The process around a member. Tests and the model checker implement it in memory.
pub trait Environment {
    /// Sends a message to another member. The message may be lost, delayed, duplicated or reordered.
    fn send(&mut self, to: u16, message: Message);
    /// Makes the state durable before it returns; returns whether that succeeded. After a failure the member
    /// neither votes nor grants leases until a later call succeeds.
    fn persist(&mut self, state: &DurableState) -> bool;
    /// Proves a policy against the process's own settings; the process calls `Member::proved` with the
    /// result.
    fn prove(&mut self, policy: Policy, text: Rc<[u8]>);
    /// The plan with this hash, once it has been read.
    fn plan(&self, _: Hash) -> Option<Rc<Plan>> {
        None
    }
    /// Called when the text of a plan is complete.
    fn plan_received(&mut self, _: Hash, _: Rc<[u8]>) {}
    /// The observations of this process, since the last call, of the units of the release under way.
    fn observations(&mut self, _: &Record) -> Vec<ObservationRow> {
        Vec::new()
    }
    /// Passes the content of a `Message::Opaque` on to another part of the process.
    fn opaque_message(&mut self, _: u16, _: Vec<u8>) {}
    /// Whether the server with this key is listed as ready, and is warm.
    fn is_server_in_service(&self, _: u64) -> bool {
        true
    }
    /// The build of this process, as plans name it.
    fn build(&self) -> String {
        String::new()
    }
    /// Checks that the limits of the policy in force allow the unit to leave service while these balancers
    /// are absent.
    fn check_restart(
        &self,
        record: &Record,
        unit: Unit,
        absent: &BTreeSet<u16>,
    ) -> Result<(), RestartRefusal>;
    /// Writes one line to the log.
    fn log(&mut self, line: String);
}
