//! The rule for which records an agent takes. It is a type parameter, so that tests can show that it is needed.

use std::fmt::Debug;

/// What must hold. The default is what the program runs; tests plant a fault in its place.
pub trait ProtocolRules: Clone + Debug {
    /// Whether an agent that holds no records takes those of its link, if by quorum and time it `may`.
    fn takes_first_records(may: bool) -> bool {
        may
    }
}

/// The rules as the program keeps them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandardRules;

impl ProtocolRules for StandardRules {}
