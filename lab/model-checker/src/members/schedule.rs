//! What operators do and which faults there are: the parts of a schedule.

use whinspindle_fleet_policy::{MemberSettings, Plan as Release, Unit};

/// Steps of true time; in each every member ticks once and all that is due is delivered.
pub const STEPS: u64 = 30;
/// A wave of a release is watched for so many.
pub(super) const WATCHED: u64 = 5;
pub(super) const STEP: u64 = 16;
pub(super) const MEMBERS: u16 = 5;
pub(super) const VOTERS: u16 = 3;
pub(super) const RIGHT: u64 = 3 * STEP;
pub(super) const DRIFT: u64 = 250_000;

/// What a departure does to the message that is delivered next, or to the member that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    Lose,
    /// It comes so many steps later.
    Late(u64),
    /// It comes now and again so many steps later.
    Twice(u64),
    /// The member dies before it and is back after so many steps, with its disk or without.
    Crash(u64),
    LostDisk(u64),
    /// It stands still for so many steps; what it is sent waits.
    Stop(u64),
    /// For so many steps nothing passes to it or from it, or only what it sends.
    Cut(u64),
    Deaf(u64),
}

pub const FAULTS: [Fault; 12] = [
    Fault::Lose,
    Fault::Late(1),
    Fault::Late(4),
    Fault::Twice(3),
    Fault::Twice(8),
    Fault::Crash(2),
    Fault::Crash(9),
    Fault::LostDisk(2),
    Fault::Stop(7),
    Fault::Cut(3),
    Fault::Cut(9),
    Fault::Deaf(9),
];

/// A departure before this delivery, counted from the beginning.
pub type Departure = (usize, Fault);

/// A schedule of what operators do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// At which step member 3 proposes the first policy, member 4 the second.
    pub proposed: [u64; 2],
    /// Who can't prove the second.
    pub objects: Option<u16>,
    /// In steps: one unheard for so long is taken to be away.
    pub absent: u64,
    /// From which steps on members 3 and 4 are wanted out by supervisors, each once, where one may be out.
    pub outs: Option<[u64; 2]>,
    /// At which steps member 3 calls for a halt and member 4 for its end.
    pub halts: Option<[u64; 2]>,
    /// At which step member 3 wants voter 2 to make way for member 4.
    pub moves: Option<u64>,
    /// At which step member 3 begins a release of both followers, in two waves, and member 4 turns it back.
    pub release: Option<[u64; 2]>,
    pub steps: u64,
}

/// The release of the searches.
pub fn release() -> Release {
    Release {
        name: "r".to_string(),
        units: vec![Unit::Balancer(3), Unit::Balancer(4)],
        unit_names: vec!["balancer:3".to_string(), "balancer:4".to_string()],
        wave_ends: vec![1, 2],
        watch_us: WATCHED * STEP,
        false_halt_probability: 0.01,
        build: None,
    }
}

/// Founded, and nothing more.
pub const PLAIN: Plan = Plan {
    proposed: [99, 99],
    objects: None,
    absent: 3,
    outs: None,
    halts: None,
    moves: None,
    release: None,
    steps: STEPS,
};

impl Default for Plan {
    fn default() -> Self {
        Plan { proposed: [3, 4], ..PLAIN }
    }
}

pub(super) fn terms(me: u16, absent: u64) -> MemberSettings {
    MemberSettings {
        member: me,
        member_count: MEMBERS,
        voters: (0..VOTERS).collect(),
        lease_us: RIGHT,
        clock_drift_ppm: DRIFT,
        renewal_interval_us: STEP,
        absence_timeout_us: absent * STEP,
        change_timeout_us: 12 * STEP,
        startup_timeout_us: 3 * STEP,
    }
}

/// The member's own clock so many steps after its start: the leader's fast, the followers' slow.
pub(super) fn clock(me: u16, steps: u64) -> u64 {
    let time = steps * STEP;
    let (more, of) = [(5, 4), (1, 1), (1, 1), (3, 4), (3, 4)][me as usize];
    1 + time * more / of
}
