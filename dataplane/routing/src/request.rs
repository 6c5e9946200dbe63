//! Inputs and results of routing decisions.

/// Identifies an instance within one router. Keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceKey(pub u64);

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash or number that is equal for parts with equal content.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// Properties of a request that are known before it is forwarded.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Generation of the configuration under which the request was matched.
    pub generation: u64,
    /// Index into the routes of that configuration.
    pub route: usize,
    /// Index into the services of that configuration. It is drawn once for each request by the weights of the
    /// route.
    pub service: usize,
    /// Parts of the prompt in order. The last part belongs to this request or session alone.
    pub prompt: Vec<PromptPart>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the response, in tokens.
    pub max_output_tokens: u32,
    /// Time until the deadline of the request, in milliseconds.
    pub time_left_ms: u64,
    /// Number of earlier attempts that ended before a byte was written. An attempt after only such attempts
    /// is not a retry.
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
        /// Id of the attempt that this choice starts.
        attempt: AttemptId,
        /// Instance that receives the request.
        instance: InstanceKey,
    },
    /// Reject the request.
    Reject(Rejection),
}

/// Rejection of a request that has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Reason of the rejection.
    pub reason: RejectionReason,
    /// Time after which the client may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Reason of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectionReason {
    /// No instance of the service accepts requests.
    NoUpstream,
    /// All instances that accept requests are at capacity.
    Full,
    /// The only remaining instances are warming up, and this balancer's slow-start rate is used up.
    WarmingUp,
    /// The retry budget is used up.
    RetryBudget,
}

impl RejectionReason {
    /// Returns the label of the reason in the exported metrics.
    pub fn label(self) -> &'static str {
        match self {
            RejectionReason::NoUpstream => "NoUpstream",
            RejectionReason::Full => "Full",
            RejectionReason::WarmingUp => "Cold",
            RejectionReason::RetryBudget => "RetryBudget",
        }
    }
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream sent a complete response that is not a failure.
    Served,
    /// The upstream itself failed (a 5xx response with its stamp).
    Failed,
    /// The upstream did not run the request since it is full or the request is late (503 or 429 with
    /// Not-Run).
    Rejected,
    /// The address now belongs to another instance (421).
    Misdirected,
    /// The connection was refused or could not be established.
    ConnectFailed,
    /// The connection attempt timed out, neither accepted nor refused.
    ConnectTimedOut,
    /// The connection broke or the response was malformed.
    ConnectionBroken,
    /// The client disconnected, or the deadline passed, before a response.
    Cancelled,
}
