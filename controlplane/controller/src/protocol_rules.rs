//! The safety rules of a controller, as a type parameter: tests replace one by a fault and show that it is needed.

use std::fmt::Debug;

/// The decisions that the safety of the protocol rests on. The defaults are what the program runs.
pub trait ProtocolRules: Clone + Debug {
    /// Whether a balancer without records is served those known here, given whether contact and time permit it.
    fn should_serve_records(may: bool) -> bool {
        may
    }

    /// Whether a departure is confirmed at once, given whether it is committed as far as known here.
    fn should_confirm_departure(is_committed: bool) -> bool {
        is_committed
    }

    /// Whether a read of the configuration is answered from the records known here, without the chain.
    fn should_answer_reads_locally() -> bool {
        false
    }

    /// Whether a heartbeat is confirmed, given whether this controller is in a quorum.
    fn should_confirm_heartbeat(in_quorum: bool) -> bool {
        in_quorum
    }
}

/// The rules that the program runs under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandardRules;

impl ProtocolRules for StandardRules {}
