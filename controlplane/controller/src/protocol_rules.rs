//! The safety rules of a controller, as a type parameter. Tests replace single rules by faulty ones to show
//! that each rule is necessary.

use std::fmt::Debug;

/// The decisions on which the safety of the protocol depends. The default implementations are the rules of
/// the production program.
pub trait ProtocolRules: Clone + Debug {
    /// Whether this controller serves its records to a balancer that has none, given whether its quorum
    /// contact permits it.
    fn should_serve_records(is_permitted: bool) -> bool {
        is_permitted
    }

    /// Whether a departure is confirmed immediately, given whether it is committed in this controller's
    /// records.
    fn should_confirm_departure(is_committed: bool) -> bool {
        is_committed
    }

    /// Whether a read of the configuration is answered from this controller's records, without passing
    /// through the chain.
    fn should_answer_reads_locally() -> bool {
        false
    }

    /// Whether a heartbeat is confirmed, given whether this controller is in a quorum.
    fn should_confirm_heartbeat(in_quorum: bool) -> bool {
        in_quorum
    }
}

/// The rules of the production program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandardRules;

impl ProtocolRules for StandardRules {}
