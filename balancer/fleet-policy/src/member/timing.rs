//! The settings of a member: the membership and the times of the lease protocol.

/// The settings of a member. Times are microseconds of a monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberSettings {
    /// The number of this member, from 0.
    pub me: u16,
    /// How many members there are.
    pub members: u16,
    /// The members that vote from the bootstrap on.
    pub voters: Vec<u16>,
    /// How long a lease lasts, from when it was asked for.
    pub right: u64,
    /// By how many millionths the rate of a clock may differ from true time, either way.
    pub drift: u64,
    /// Time between two requests to renew the lease; the messages of a ballot are repeated at this pace too.
    pub pace: u64,
    /// A member from which nothing was received for so long is taken to be away: a change doesn't wait for it.
    pub absent: u64,
    /// A change that isn't proved everywhere within this time is given up.
    pub give_up: u64,
    /// How long a process that has just started waits for its first lease before it acts as one in a partition.
    pub learn: u64,
}

impl MemberSettings {
    /// After this time by any member's clock all leases granted before it began have expired: the duration of a
    /// lease by the slowest clock, measured by the fastest.
    pub fn window(&self) -> u64 {
        let drift = self.drift as u128;
        let right = self.right as u128;
        (right * (1_000_000 + drift)).div_ceil(1_000_000 - drift) as u64
    }
}
