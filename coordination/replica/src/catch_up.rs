//! The catch-up state of a learner.

/// The catch-up state of a replica outside the chain. Times are in milliseconds of the caller's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUpState {
    /// When the replica fell behind the chain.
    pub behind_since: Option<u64>,
    /// When the replica sent its last request for missing entries; `None` once it was answered.
    pub requested_at: Option<u64>,
}
