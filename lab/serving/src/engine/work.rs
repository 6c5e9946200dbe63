//! What an engine is asked to do.

/// Names a piece of work within one engine.
pub type WorkId = u64;

/// A part of a prompt; requests whose prompts begin with the same parts share what was read of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u64,
}

/// One generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    pub id: WorkId,
    /// 0 goes first.
    pub urgency: u8,
    pub prompt: Vec<PromptPart>,
    /// Tokens of the whole answer.
    pub output_tokens: u64,
    /// Events of the answer that the client has already; they are read like a prompt.
    pub skipped_events: u64,
    /// When the client gives up, in microseconds.
    pub deadline_us: u64,
}

impl Work {
    /// Tokens of the prompt's parts.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }
}
