//! Retry decisions: what follows an attempt without an answer, by its end, the policy of the route and the history of the
//! request. Pure functions without state.

/// Attempts without a byte written after which a request is given up.
const MOST_UNSENT: u32 = 4;
/// Attempts that reached another instance than the one meant, after which it is given up.
const MOST_MISDIRECTED: u32 = 3;
/// Attempts rejected by their upstreams after which it is given up.
const MOST_REJECTED: u32 = 2;

/// How an attempt without an answer for the client ended.
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
    /// The connection broke, or what was received is no answer to this request: it may have run.
    Broken,
}

/// What a route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The request may run more than once.
    pub idempotent: bool,
    /// The most upstreams on which the request may run.
    pub most_runs: u32,
}

/// The attempts of a request so far, by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Attempts of which not a byte was written.
    pub unsent: u32,
    /// Attempts that reached another instance.
    pub misdirected: u32,
    /// Attempts that their upstreams rejected.
    pub rejected: u32,
    /// Attempts that may have run.
    pub runs: u32,
}

impl AttemptHistory {
    /// Records how an attempt ended.
    pub fn record(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::NotSent => self.unsent += 1,
            AttemptEnd::Misdirected => self.misdirected += 1,
            AttemptEnd::Rejected => self.rejected += 1,
            AttemptEnd::Failed | AttemptEnd::Broken => self.record_run(),
        }
    }

    /// Records an attempt that may have run.
    pub fn record_run(&mut self) {
        self.runs += 1;
    }
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Retry at another upstream, if the router grants one.
    Retry,
    /// Pass the upstream's failure back.
    PassBack,
    /// Answer with a failure of the proxy's own.
    GiveUp(ProxyFailure),
}

/// A failure that the proxy answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyFailure {
    /// 503: the request has not run and never will.
    Rejected,
    /// 502: the request may have run.
    BadGateway,
    /// 504: the deadline has passed, and the request may have run.
    TimedOut,
}

/// Decides what follows an attempt. `history` includes the attempt that has just ended.
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

/// The failure for a request without further attempts.
pub fn give_up(history: AttemptHistory) -> ProxyFailure {
    if history.runs == 0 { ProxyFailure::Rejected } else { ProxyFailure::BadGateway }
}

/// The failure for a request whose deadline has passed.
pub fn time_is_over(history: AttemptHistory) -> ProxyFailure {
    if history.runs == 0 { ProxyFailure::Rejected } else { ProxyFailure::TimedOut }
}
