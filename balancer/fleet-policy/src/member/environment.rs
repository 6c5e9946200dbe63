//! What a member needs from the process around it: network, disk, proofs, and what the process sees of its
//! units.

use std::collections::BTreeSet;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use whinspindle_consensus::AcceptorState;
use whinspindle_rollout::{No, Plan, Row, Unit};

use crate::message::Message;
use crate::record::{Hash, Policy, Record};

/// What a member must not forget over a restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// Drawn when the memory began; a voter that lost its memory comes back with another.
    pub incarnation: u64,
    /// What it has promised and accepted as a voter.
    pub votes: AcceptorState<Record>,
    /// What is known to be agreed.
    pub record: Record,
}

/// What a member does to the world.
pub trait Environment {
    /// Sends a message to another member; it may be lost, late, repeated or out of order.
    fn send(&mut self, to: u16, message: Message);
    /// Makes it durable. What follows from it is sent only after this returns; where it fails, the member
    /// votes and grants nothing until it succeeds.
    fn keep(&mut self, memory: &DurableState) -> bool;
    /// Proves a policy against the process's own settings; `Member::proved` tells what came of it.
    fn prove(&mut self, policy: Policy, text: Rc<[u8]>);
    /// The plan with this hash, once it has been read.
    fn plan(&self, _: Hash) -> Option<Rc<Plan>> {
        None
    }
    /// The text of a plan is complete.
    fn plan_came(&mut self, _: Hash, _: Rc<[u8]>) {}
    /// What this process has seen of the units of the release under way since it was asked last.
    fn figures(&mut self, _: &Record) -> Vec<Row> {
        Vec::new()
    }
    /// A word for another part of the process.
    fn aside(&mut self, _: u16, _: Vec<u8>) {}
    /// Whether a server is listed as ready, and warm.
    fn is_full(&self, _: u64) -> bool {
        true
    }
    /// The build of this process, as plans name it.
    fn build(&self) -> String {
        String::new()
    }
    /// Whether the policy in force lets one more unit out, with these balancers away.
    fn may_go(&self, record: &Record, unit: Unit, away: &BTreeSet<u16>) -> Result<(), No>;
    /// One line for the log.
    fn tell(&mut self, words: String);
}
