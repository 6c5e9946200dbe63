//! What the router is asked and what it answers.

/// Names an instance inside one router; never used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceKey(pub u64);

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// What is known of a request before it is sent.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts {
    /// Generation of the configuration under which the request was matched.
    pub generation: u64,
    /// Index into the routes of the configuration under which the request was matched.
    pub route: usize,
    /// Index into the services, drawn once for the request by the route's weights.
    pub service: usize,
    /// The prompt's parts in order; the last one is the request's or session's own.
    pub prompt: Vec<PromptPart>,
    pub prompt_tokens: u32,
    pub most_output_tokens: u32,
    /// Time left for the request, in milliseconds.
    pub time_left_ms: u64,
    /// How many of its sends so far were given up before a byte was written: one that follows only such is no repeat.
    pub unreached: usize,
}

/// Names one send of a request, from `Router::choose` to `Router::finished`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt(pub u64);

/// The answer to where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    Send { attempt: Attempt, instance: InstanceKey },
    Refuse(Refusal),
}

/// Why a request is given up without having run, and when another try is worth it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub reason: RefusalReason,
    pub retry_after_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No upstream of the service may be sent to.
    NoUpstream,
    /// All upstreams that may be sent to have no room.
    Full,
    /// All that are left are cold and have had their share.
    Cold,
    /// The budget of repeated sends is used up.
    RetryBudget,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer that was no failure.
    Served,
    /// The upstream's own failure (a 5xx with its stamp).
    Failed,
    /// The upstream said that the request has not run because it is full or late (503 or 429 with Not-Run).
    Rejected,
    /// The address belongs to another instance (421).
    Misdirected,
    /// No connection could be made.
    Unreachable,
    /// A new connection was neither taken nor turned down in time.
    Silent,
    /// The connection broke or the answer was spoilt.
    Broken,
    /// The client left or the time was over before an answer.
    Cancelled,
}
