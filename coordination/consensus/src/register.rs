//! The value that a register holds.

use crate::ballot::Voter;

/// A value that voters can agree on. It carries its own configuration: who votes on the value after it.
pub trait RegisterValue: Clone {
    /// The voter sets, a majority of each of which is required. There are two while voters are replaced.
    fn voter_sets(&self) -> &[Vec<Voter>];

    /// Whether this value was ever chosen.
    ///
    /// A change of a value that was not needs the promise of every voter: two bootstraps whose voter sets differ in the
    /// incarnation of one voter then still intersect in the others.
    fn is_bootstrapped(&self) -> bool;
}
