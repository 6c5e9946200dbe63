//! The settings of a member: the membership and the times of the lease protocol.

/// The settings of a member. Times are microseconds of a monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberSettings {
    /// The number of this member, from 0.
    pub member: u16,
    /// The number of members in the fleet.
    pub member_count: u16,
    /// The members that vote from the bootstrap on.
    pub voters: Vec<u16>,
    /// The duration of a lease, from when it was asked for.
    pub lease_us: u64,
    /// The largest deviation of a clock's rate from true time, either way, in millionths.
    pub clock_drift_ppm: u64,
    /// The time between two requests to renew the lease, and between repeated messages of a ballot.
    pub renewal_interval_us: u64,
    /// A member counts as absent once nothing was received from it for this time. A change doesn't wait for
    /// it.
    pub absence_timeout_us: u64,
    /// A change that isn't proved everywhere within this time is given up.
    pub change_timeout_us: u64,
    /// How long a process that has just started waits for its first lease before it counts as cut off.
    pub startup_timeout_us: u64,
}

impl MemberSettings {
    /// The time by any member's clock after which all leases granted before have expired: the duration of a
    /// lease by the slowest clock, measured by the fastest.
    pub fn expiry_window_us(&self) -> u64 {
        let drift = self.clock_drift_ppm as u128;
        let lease = self.lease_us as u128;
        (lease * (1_000_000 + drift)).div_ceil(1_000_000 - drift) as u64
    }
}
