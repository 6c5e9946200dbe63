//! The value stored in a register.

use crate::ballot::Voter;

/// A value that voters can agree on. It contains the voter sets that decide on the next value.
pub trait RegisterValue: Clone {
    /// The voter sets. A majority of each is required; there are two while voters are being replaced.
    fn voter_sets(&self) -> &[Vec<Voter>];

    /// Whether this value was ever chosen.
    ///
    /// Changing a value that was never chosen requires the promise of every voter. Two bootstraps whose
    /// voter sets differ in the incarnation of one voter then still intersect in the other voters.
    fn is_bootstrapped(&self) -> bool;
}
