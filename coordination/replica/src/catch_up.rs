//! The state of a learner that catches up.

/// What a replica outside of the chain waits for.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUpState {
    /// Since when it has been behind the chain, in milliseconds of the caller's clock.
    pub behind_since: Option<u64>,
    /// When it last asked for what it lacks, unless that was answered.
    pub requested_at: Option<u64>,
}
