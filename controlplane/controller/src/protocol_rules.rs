//! The rules for what a controller may say on its own. They are a type parameter, so that tests can show that each of
//! them is needed.

use std::fmt::Debug;

/// What must hold. The defaults are what the program runs; tests plant faults in their place.
pub trait ProtocolRules: Clone + Debug {
    /// Whether a balancer that has nothing is told the records, if by contact and time it `may` be.
    fn hands_out(may: bool) -> bool {
        may
    }

    /// Whether a departure is confirmed at once, by whether it `is_committed` as far as known here.
    fn confirms_departure(is_committed: bool) -> bool {
        is_committed
    }

    /// Whether a read of the configuration is answered from the records known here, without a pass of the chain.
    fn answers_reads_alone() -> bool {
        false
    }

    /// Whether a heartbeat is confirmed, by whether this controller is `in_quorum`.
    fn confirms_heartbeat(in_quorum: bool) -> bool {
        in_quorum
    }
}

/// The rules as the program keeps them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandardRules;

impl ProtocolRules for StandardRules {}
