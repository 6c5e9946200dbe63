//! What can happen at a moment of virtual time.

use whinspindle::host::Outcome;
use whinspindle_lab_model::machine::Report;
use whinspindle_lab_report::Told;

use super::state::{ExecKey, QueryKey, WantKey};

/// What happens at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    Due(usize),
    /// A client tries, for the first time or again.
    Try(WantKey),
    AtNode(QueryKey),
    /// The client of a query leaves, or waits no longer.
    Leaves(QueryKey),
    /// An answer reaches the client.
    Heard(QueryKey, Told, u64),
    AtServer(ExecKey),
    Machine(usize, usize),
    /// An answer of a server reaches its balancer.
    Reply(ExecKey, Outcome, Option<Report>),
    TimeOut(ExecKey),
    Ended(ExecKey, Outcome),
    Wake(usize, u32, u32),
    ProbeAt(usize, u32, usize),
    Probed(usize, u32, usize, bool, Option<Report>),
    Told(usize, u32),
    Begins(usize),
    Ends(usize),
    Later(Step),
    Sample,
}

/// Parts of a trouble that come after its beginning.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Discovery has noticed that a process is gone.
    Missed {
        tier: usize,
        server: usize,
    },
    /// A drained server ends, and a new one takes its place.
    Replaced {
        tier: usize,
        place: usize,
    },
    Pauses {
        trouble: usize,
        paused: bool,
    },
    /// A unit of the release under way has drained; the release is looked after.
    Released {
        place: usize,
    },
    Supervise,
    NodeEnds(usize),
    NodeStarts(usize),
    FrontSees(usize),
}
