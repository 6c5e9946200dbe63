//! The safety rule for records as a type parameter, so that tests can replace it by a fault.

use std::fmt::Debug;

/// The rules of the protocol. The defaults are those of the program.
pub trait ProtocolRules: Clone + Debug {
    /// Whether an agent without records takes those of its link, where quorum and time allow it (`is_eligible`).
    fn may_accept_initial_records(is_eligible: bool) -> bool {
        is_eligible
    }
}

/// The rules of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandardRules;

impl ProtocolRules for StandardRules {}
