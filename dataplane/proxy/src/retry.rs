//! What may be done after a send that gave no answer for the client: a pure table of how the send ended, what the
//! route allows, and what has happened to the request before.

/// Sends that may fail without a byte written, before the request is given up.
const MOST_UNSENT: u32 = 4;
/// Sends that may reach another instance than the one meant.
const MOST_MISDIRECTED: u32 = 3;
/// Sends that upstreams may reject before the request is given up.
const MOST_REJECTED: u32 = 2;

/// How a send ended that gave no answer for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Not a byte of the request was written.
    NotSent,
    /// Another instance has the address; it did not run the request.
    Misdirected,
    /// The upstream said that it did not and will not run the request.
    Rejected,
    /// The upstream answered with a failure of its own, which may be passed back.
    Failed,
    /// The connection broke, or what came is no answer to this request: it may have run.
    Broken,
}

/// What the route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The request may run more than once.
    pub idempotent: bool,
    /// The most upstreams on which the request may run.
    pub most_runs: u32,
}

/// What has become of the sends of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    pub unsent: u32,
    pub misdirected: u32,
    pub rejected: u32,
    /// Sends that may have run.
    pub runs: u32,
}

impl AttemptHistory {
    /// Notes how a send ended.
    pub fn record(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::NotSent => self.unsent += 1,
            AttemptEnd::Misdirected => self.misdirected += 1,
            AttemptEnd::Rejected => self.rejected += 1,
            AttemptEnd::Failed | AttemptEnd::Broken => self.record_run(),
        }
    }

    /// Notes an upstream that may run, or has run, the request.
    pub fn record_run(&mut self) {
        self.runs += 1;
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Choose another upstream, if the router grants one.
    Retry,
    /// Pass the upstream's failure back.
    PassBack,
    /// Answer with a failure of one's own.
    GiveUp(ProxyFailure),
}

/// A failure that no upstream gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyFailure {
    /// 503: the request has not run and never will.
    Rejected,
    /// 502: the request may have run.
    BadGateway,
    /// 504: the time is over, and the request may have run.
    TimedOut,
}

/// Decides what follows a send. `history` includes the send that has just ended.
pub fn next(retry_policy: RetryPolicy, history: AttemptHistory, end: AttemptEnd) -> Decision {
    let may_go_on = match end {
        AttemptEnd::NotSent => history.unsent < MOST_UNSENT,
        AttemptEnd::Misdirected => history.misdirected < MOST_MISDIRECTED,
        AttemptEnd::Rejected => history.rejected < MOST_REJECTED,
        AttemptEnd::Failed | AttemptEnd::Broken => true,
    };
    if may_go_on && may_run_again(retry_policy, history) {
        Decision::Retry
    } else if end == AttemptEnd::Failed {
        Decision::PassBack
    } else {
        Decision::GiveUp(give_up(history))
    }
}

/// Whether one more upstream may run the request.
pub fn may_run_again(retry_policy: RetryPolicy, history: AttemptHistory) -> bool {
    history.runs == 0 || (retry_policy.idempotent && history.runs < retry_policy.most_runs)
}

/// The failure for a request that goes to no further upstream.
pub fn give_up(history: AttemptHistory) -> ProxyFailure {
    if history.runs == 0 { ProxyFailure::Rejected } else { ProxyFailure::BadGateway }
}

/// The failure for a request whose time is over.
pub fn time_is_over(history: AttemptHistory) -> ProxyFailure {
    if history.runs == 0 { ProxyFailure::Rejected } else { ProxyFailure::TimedOut }
}
