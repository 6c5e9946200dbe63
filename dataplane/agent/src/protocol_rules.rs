//! Protocol rules as a type parameter, so that tests can replace a rule by a fault.

use std::fmt::Debug;

/// Safety rules of the protocol. The default methods are the rules of the program.
pub trait ProtocolRules: Clone + Debug {
    /// Whether an agent without records accepts the records of its link. `is_eligible` tells whether the
    /// controller is in a quorum or the waiting time is over.
    fn may_accept_initial_records(is_eligible: bool) -> bool {
        is_eligible
    }
}

/// Rules of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandardRules;

impl ProtocolRules for StandardRules {}
