//! The membership and the times that an installation sets for its members.

/// What an installation sets. Times are microseconds of a monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberSettings {
    /// The number of this member, from 0, and how many there are.
    pub me: u16,
    pub members: u16,
    /// Who votes from the bootstrap on.
    pub voters: Vec<u16>,
    /// How long a granted right lasts, from when it was asked for.
    pub right: u64,
    /// By how many millionths the rate of a clock may differ from true time, either way.
    pub drift: u64,
    /// Between two questions for the right; rounds of the voters are repeated at this pace too.
    pub pace: u64,
    /// One unheard for so long is taken to be away, and a change does not wait for it.
    pub absent: u64,
    /// A change that is not proved everywhere by then is given up.
    pub give_up: u64,
    /// A process that starts learns for so long what holds before it does as one that is cut off.
    pub learn: u64,
}

impl MemberSettings {
    /// After this time of any member's clock no right is left of those granted before it began: the longest
    /// that a right lasts by the slowest clock, counted by the fastest.
    pub fn window(&self) -> u64 {
        let drift = self.drift as u128;
        let right = self.right as u128;
        (right * (1_000_000 + drift)).div_ceil(1_000_000 - drift) as u64
    }
}
