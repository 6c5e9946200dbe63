//! Inputs and results of routing decisions.

/// Identifies an instance inside one router; never reused for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceKey(pub u64);

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash or number that is equal for equal parts.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// What is known of a request before it is forwarded.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Generation of the configuration under which the request was matched.
    pub generation: u64,
    /// Index into the routes of that configuration.
    pub route: usize,
    /// Index into the services of that configuration, drawn once for the request by the weights of the route.
    pub service: usize,
    /// Parts of the prompt in order; the last one belongs to this request or session alone.
    pub prompt: Vec<PromptPart>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub max_output_tokens: u32,
    /// Time until the deadline of the request, in milliseconds.
    pub time_left_ms: u64,
    /// Number of earlier attempts that ended before a byte was written; an attempt after only such is no retry.
    pub unsent_attempts: usize,
}

/// Identifies one attempt, from [`Router::choose`](crate::Router::choose) to
/// [`Router::finish_attempt`](crate::Router::finish_attempt).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId(pub u64);

/// The decision about one attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Forward the request to the instance.
    Forward {
        /// The attempt that has begun with this.
        attempt: AttemptId,
        /// Where the request goes.
        instance: InstanceKey,
    },
    /// Reject the request.
    Reject(Rejection),
}

/// Why a request is rejected without having run, and when a retry by the client makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectionReason,
    /// Time after which the client may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectionReason {
    /// No instance of the service takes requests.
    NoUpstream,
    /// All instances that take requests are at capacity.
    Full,
    /// The only instances left are warming up, and this balancer's slow-start rate is used up.
    WarmingUp,
    /// The retry budget is used up.
    RetryBudget,
}

impl RejectionReason {
    /// The label of the reason in the served metrics.
    pub fn label(self) -> &'static str {
        match self {
            RejectionReason::NoUpstream => "NoUpstream",
            RejectionReason::Full => "Full",
            RejectionReason::WarmingUp => "Cold",
            RejectionReason::RetryBudget => "RetryBudget",
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer that is no failure.
    Served,
    /// A failure of the upstream itself (a 5xx with its stamp).
    Failed,
    /// The upstream has not run the request since it is full or the request is late (503 or 429 with Not-Run).
    Rejected,
    /// The address belongs to another instance (421).
    Misdirected,
    /// The connection was refused or could not be made.
    ConnectFailed,
    /// Connecting timed out: the connection was neither accepted nor refused.
    ConnectTimedOut,
    /// The connection broke or the answer was malformed.
    ConnectionBroken,
    /// The client disconnected or the deadline passed before an answer.
    Cancelled,
}
