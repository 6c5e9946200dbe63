//! The settings of a member: the membership and the times of the lease protocol.

/// The settings of a member. Times are microseconds of a monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberSettings {
    /// The number of this member, from 0.
    pub member: u16,
    /// How many members there are.
    pub member_count: u16,
    /// The members that vote from the bootstrap on.
    pub voters: Vec<u16>,
    /// How long a lease lasts, from when it was asked for.
    pub lease_us: u64,
    /// By how many millionths the rate of a clock may differ from true time, either way.
    pub clock_drift_ppm: u64,
    /// Time between two requests to renew the lease; the messages of a ballot are repeated at this pace too.
    pub renewal_interval_us: u64,
    /// A member from which nothing was received for so long is taken to be away: a change doesn't wait for it.
    pub absence_timeout_us: u64,
    /// A change that isn't proved everywhere within this time is given up.
    pub change_timeout_us: u64,
    /// How long a process that has just started waits for its first lease before it acts as one in a partition.
    pub startup_timeout_us: u64,
}

impl MemberSettings {
    /// After this time by any member's clock all leases granted before it began have expired: the duration of a
    /// lease by the slowest clock, measured by the fastest.
    pub fn expiry_window_us(&self) -> u64 {
        let drift = self.clock_drift_ppm as u128;
        let right = self.lease_us as u128;
        (right * (1_000_000 + drift)).div_ceil(1_000_000 - drift) as u64
    }
}
