//! The rule for which records an agent takes. It is a type parameter, so that tests can show that it is needed.

use std::fmt::Debug;

/// What must hold. The default is what the program runs; tests plant a fault in its place.
pub trait Laws: Clone + Debug {
    /// Whether an agent that holds no records takes those of its link, if by quorum and time it `may`.
    fn takes_first_records(may: bool) -> bool {
        may
    }
}

/// The laws as the program keeps them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AsDesigned;

impl Laws for AsDesigned {}
