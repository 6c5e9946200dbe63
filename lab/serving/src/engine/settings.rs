//! How large and how fast an engine is.

/// Size and speed of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// The most requests of a batch.
    pub slots: usize,
    /// The most requests that wait for a place.
    pub queue: usize,
    /// Tokens that the memory holds: of running requests and cached parts together.
    pub memory_tokens: u64,
    /// The least length of a step, in microseconds.
    pub step_us: f64,
    /// What each running request adds to a step.
    pub step_us_per_request: f64,
    /// What each thousand tokens of context add to a step.
    pub step_us_per_thousand_tokens: f64,
    /// Tokens of prompts that are read in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// The most tokens of prompts that one step reads.
    pub prompt_tokens_per_step: u64,
    /// Tokens of an answer that one event holds.
    pub tokens_per_event: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            slots: 128,
            queue: 384,
            memory_tokens: 170_000,
            step_us: 6_000.0,
            step_us_per_request: 25.0,
            step_us_per_thousand_tokens: 13.0,
            prompt_tokens_per_ms: 32.0,
            prompt_tokens_per_step: 1_024,
            tokens_per_event: 4,
        }
    }
}
