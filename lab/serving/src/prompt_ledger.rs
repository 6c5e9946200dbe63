//! What the upstreams of a whole fleet read of prompts, and what of it had been read shortly before.

use std::collections::HashMap;

use crate::engine::{CachedPart, PartKey};

/// Reading a part again counts if its last use, anywhere, is no longer ago than this.
const AGAIN_MS: u64 = 10_000;

/// Counts of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptTokens {
    pub read: u64,
    /// Part of `read`: some upstream had read them before.
    pub read_again: u64,
    /// Found in a cache.
    pub reused: u64,
}

/// Follows the parts of prompts over all upstreams.
#[derive(Debug, Default)]
pub struct PromptLedger {
    last_uses: HashMap<PartKey, Use>,
    tokens: PromptTokens,
}

#[derive(Debug)]
struct Use {
    at: u64,
    tokens: u64,
}

impl PromptLedger {
    /// An upstream reads a part.
    pub fn read(&mut self, now: u64, part: &CachedPart) {
        self.tokens.read += part.tokens;
        let last = self.last_uses.insert(part.key, Use { at: now, tokens: part.tokens });
        if last.is_some_and(|last| now.saturating_sub(last.at) <= AGAIN_MS) {
            self.tokens.read_again += part.tokens;
        }
    }

    /// An upstream uses a part that it has cached.
    pub fn reuse(&mut self, now: u64, key: PartKey) {
        if let Some(last) = self.last_uses.get_mut(&key) {
            last.at = now;
            self.tokens.reused += last.tokens;
        }
    }

    /// The counts so far.
    pub fn tokens(&self) -> PromptTokens {
        self.tokens
    }
}
